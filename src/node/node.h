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

// Validated settings of a node, taken from its flags.
struct NodeSettings
{
  NodeId m_node;
  std::string m_zone;
  std::string m_region;
  Endpoint m_listen;        // for callers
  Endpoint m_peerListen;    // for other nodes
  Endpoint m_peerAdvertise; // address of m_peerListen for other nodes
  Endpoint m_controlListen; // for the local target and administrators
  std::optional<Endpoint> m_readyListen; // additional, for readiness checks
  std::optional<Endpoint> m_adminListen; // additional, for metrics and status
  std::vector<Endpoint> m_seeds;         // peer addresses of other nodes
  PlatformSettings m_platform;
  std::string m_nodeFile;    // file of flags, reread at runtime; may be empty
  FleetConfig m_fleetConfig; // built-in defaults without a file
  std::string m_peerKey;
  std::string m_previousPeerKey;
  bool m_logJson = false;
  std::string m_logLevel;
  double m_decisionSampleRate = 1.0;
  uint32_t m_decisionsPerSecond = 0; // limit of decision log lines
  uint32_t m_maxHeadBytes = 0;
  uint64_t m_maxBodyBytes = 0;
  uint32_t m_maxConnections = 0;
  uint32_t m_pipelineDepth = 0; // requests under way on one caller connection
  uint64_t m_pipelineBytes = 0; // memory for responses that wait
  Duration m_headTimeout{};
  Duration m_idleTimeout{};
  Duration m_bodyTimeout{};
  Duration m_defaultTimeout{};
  Duration m_maxTimeout{};
  Duration m_uploadTimeout{};
  Duration m_leaveDelay{};  // from the signal until the listeners close
  Duration m_unreadyTime{}; // first part of m_leaveDelay: only readiness fails
  Duration m_shutdownLimit{}; // from the signal to a forced exit; 0: none
  Duration m_loadMaxAge{}; // of the target's reported load; 0: no load probes
};

// Reads and validates the flags; appends a message for each error to aErrors.
NodeSettings
ReadNodeSettings(std::vector<std::string>& aErrors);

// Sets flags from a file with one "--flag=value" per line; empty lines and
// lines that start with # are ignored. After an error, whose message names the
// line, returns false and changes no flag.
bool
ReadNodeFile(const std::string& aPath, std::vector<std::string>& aErrors);

//-----------------------------------------------------------------------------
// [2] Run
//-----------------------------------------------------------------------------

// Runs the node until SIGTERM or SIGINT and returns the exit code: 0 after a
// graceful shutdown, 1 when a service failed to start. Exits with 3 when a
// SIGINT during the shutdown, or m_shutdownLimit, forces an early end.
int
RunNode(const NodeSettings& aSettings);

} // namespace sassafrasquay
