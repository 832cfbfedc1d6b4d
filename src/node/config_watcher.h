// Keeps the operators' published configuration up to date, from the store or
// from a peer that has a newer one.
#pragma once

#include "kernel/kernel.h"
#include "routes/routes.h"

namespace sassafrasquay {

struct ConfigWatcherSettings
{
  // Maximum wait for a change in one request to the store. Dead connections
  // are detected by their keep-alive probes, not by this time.
  Duration m_wait{ std::chrono::seconds(25) };
  Duration m_timeout{ std::chrono::seconds(1) };
  // Time for the operators to write again what the store has lost when it came
  // back from an older copy. They do so as soon as it responds.
  Duration m_settleTime{ std::chrono::seconds(10) };
  Duration m_initialBackoff{ std::chrono::milliseconds(250) };
  Duration m_maxBackoff{ std::chrono::seconds(2) };
  NodeId m_node;
  std::string m_zone; // of this node; peers of the same zone are preferred
  WatchDutySettings m_duty;
};

// The service "operator_follower", also ConfigRefresher. Finds "clock",
// "random" and "operator_feed";
// requires "call_policy", "gossip" and "peer_client".
std::shared_ptr<Service>
MakeConfigWatcher(ConfigWatcherSettings aSettings);

} // namespace sassafrasquay
