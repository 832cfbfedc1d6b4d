// Real processes on loopback: nodes and stand-in targets, with faults.
//
// Index of this file
//   [1] HTTP client
//   [2] Processes
//   [3] Fleet
#pragma once

#include "core/core.h"

#include <map>
#include <memory>
#include <optional>
#include <sys/types.h>

namespace sassafrasquay::drills {

//-----------------------------------------------------------------------------
// [1] HTTP client
//-----------------------------------------------------------------------------

struct HttpReply
{
  bool m_whole = false; // the answer arrived and ended as HTTP requires
  unsigned m_status = 0;
  std::map<std::string, std::string> m_headers; // names in lower case
  std::string m_body;

  // Value of Sassafrasquay-Run, or empty.
  std::string Run() const;
  // Number of Sassafrasquay-Result, or -1.
  int Result() const;
};

struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_path = "/";
  std::string m_host;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  size_t m_parts = 1; // the body is sent in so many parts
  Duration m_pause{}; // before each part but the first
  Duration m_timeout{ std::chrono::seconds(20) };
};

HttpReply
Send(const Endpoint& aServer, const HttpRequest& aRequest);
// Sends raw bytes and reads until the server closes or 20 s have passed.
std::string
SendRaw(const Endpoint& aServer, const std::string& aBytes);

//-----------------------------------------------------------------------------
// [2] Processes
//-----------------------------------------------------------------------------

// Path of a program of this build.
std::string
Binary(const std::string& aName);

class Process
{
public:
  Process(std::vector<std::string> aArguments, const std::string& aLogFile);
  ~Process(); // ends the process at once
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal);
  // The exit code, or minus the signal's number.
  int Wait();
  bool IsRunning();

private:
  pid_t m_pid = -1;
  std::optional<int> m_exit;
};

//-----------------------------------------------------------------------------
// [3] Fleet
//-----------------------------------------------------------------------------

struct Instance
{
  std::string m_node;
  std::string m_service;
  std::string m_zone;
  Endpoint m_callers;
  Endpoint m_peer;
  Endpoint m_control;
  Endpoint m_target;
  uint32_t m_slots = 6;
  // Addresses that the others are given instead, for example of a proxy.
  std::optional<Endpoint> m_peerAdvertised;
  std::optional<Endpoint> m_targetAdvertised;
  std::optional<Endpoint> m_storeAdvertised; // of the store, to this node
  std::unique_ptr<Process> m_nodeProcess;
  std::unique_ptr<Process> m_targetProcess;
};

// Every fleet of every test run has addresses of its own in 127.0.0.0/8.
class Fleet
{
public:
  Fleet();

  void Add(const std::string& aService, uint32_t aCount, uint32_t aSlots = 6);
  // Starts all processes and waits until each service answers at each node.
  void Start(std::vector<std::string> aExtraFlags = {});
  // The same on the platform: the nodes find each other and the routes through
  // a stand-in store, and the targets speak the platform's dialect. Each
  // service has a host of its name, with the routes /safe/ and /once/.
  void StartOnPlatform(std::vector<std::string> aExtraFlags = {});
  // Starts the stand-in store; StartOnPlatform does it otherwise.
  Endpoint StartStore();
  // Publishes those routes again, as the next version.
  void PublishRoutes(uint32_t aTimeoutMs = 5000);
  // Sends a command to the stand-in store.
  void TellStore(const std::string& aCommand, const std::string& aBody = "");
  // aFirst: starts the fleet; every other node joins through the rest.
  void StartNode(Instance& aInstance, bool aFirst = false);
  void StartTarget(Instance& aInstance);
  // Waits until the entry node lists the instance's target as usable.
  void WaitUntilListed(const Instance& aEntry, const Instance& aInstance);
  void WaitUntilServing(const Instance& aEntry, const std::string& aService);

  std::vector<Instance>& All() { return m_instances; }
  Instance& At(size_t aIndex) { return m_instances[aIndex]; }
  // Sets a fault of a stand-in target; see tools/standin_target.cpp.
  void SetFault(const Instance& aInstance,
                const std::string& aName,
                uint64_t aValue);
  // Runs by request identity, summed over all running targets.
  std::map<std::string, uint64_t> Runs();
  // Adds the counts of a target that is about to be killed to Runs.
  void KeepRuns(const Instance& aInstance);
  // File with a line for each run at a target on the platform: steady clock in
  // ms, instance, identity. Outlasts the target's process.
  std::string RunsLog(const Instance& aInstance) const;
  // The instance whose target ran the request; throws when none did.
  Instance& RanAt(const std::string& aIdentity);
  std::string Get(const Endpoint& aServer, const std::string& aPath);
  // An address of this fleet that nothing else uses.
  Endpoint ReserveEndpoint();
  const std::string& Logs() const { return m_logs; }

private:
  std::string SeedsFor(const Instance& aInstance) const;
  std::vector<std::string> PlatformFlags(const Instance& aInstance) const;

  std::vector<Instance> m_instances;
  std::vector<std::string> m_extraFlags;
  std::unique_ptr<Process> m_store; // only on the platform
  Endpoint m_storeAddress;
  uint64_t m_routesVersion = 0;
  std::map<std::string, uint64_t> m_keptRuns;
  std::string m_logs;
  uint16_t m_nextPort;
};

} // namespace sassafrasquay::drills
