// The node program: settings, registration of services, signals.
//
// Index of this file
//   [1] Settings
//   [2] Run
#pragma once

#include "config/config.h"
#include "platform/platform.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Settings
//-----------------------------------------------------------------------------

// All settings of a node, checked. Durations and sizes as the flags give them.
struct NodeSettings
{
  NodeId m_node;
  std::string m_zone;
  std::string m_region;
  Endpoint m_listen;                     // callers
  Endpoint m_peerListen;                 // other nodes
  Endpoint m_peerAdvertise;              // where they reach m_peerListen
  Endpoint m_controlListen;              // the target and administrators
  std::optional<Endpoint> m_readyListen; // readiness checks only
  std::optional<Endpoint> m_adminListen; // metrics and status only
  std::vector<Endpoint> m_seeds;         // peer addresses of other nodes
  PlatformSettings m_platform;
  std::string m_nodeFile;    // flags, read again on SIGHUP; may be empty
  FleetConfig m_fleetConfig; // the built-in defaults without a file
  std::string m_peerKey;
  std::string m_previousPeerKey;
  bool m_logJson = false;
  std::string m_logLevel;
  double m_decisionSampleRate = 1.0;
  uint32_t m_decisionsPerSecond = 0; // lines about decisions, at most
  uint32_t m_maxHeadBytes = 0;
  uint64_t m_maxBodyBytes = 0;
  uint32_t m_maxConnections = 0;
  Duration m_headTimeout{};
  Duration m_idleTimeout{};
  Duration m_bodyTimeout{};
  Duration m_defaultTimeout{};
  Duration m_maxTimeout{};
  Duration m_uploadTimeout{};
  Duration m_leaveDelay{};    // from the signal to the listeners' end
  Duration m_unreadyTime{};   // part of it in which other nodes go on as before
  Duration m_shutdownLimit{}; // from the signal to a forced end; 0: none
  Duration m_loadMaxAge{};    // of the target's stated load; 0: never asked
};

// Reads the flags; appends one sentence for each fault to aFaults.
NodeSettings
ReadNodeSettings(std::vector<std::string>& aFaults);

// Sets the flags that a file names, one "--flag=value" a line; lines that are
// empty or begin with # do not count. With a fault, which names the line, no
// flag is changed. False when there was a fault.
bool
ReadNodeFile(const std::string& aPath, std::vector<std::string>& aFaults);

//-----------------------------------------------------------------------------
// [2] Run
//-----------------------------------------------------------------------------

// Runs the node until SIGTERM or SIGINT; returns the exit code: 0 after a
// graceful shutdown, 1 when a service could not start, 3 when SIGINT during the
// shutdown, or its limit, ended it early.
int
RunNode(const NodeSettings& aSettings);

} // namespace sassafrasquay
