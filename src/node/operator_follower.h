// Keeps the operators' published state up to date: from the store that holds
// it, or from a node that knows a newer one.
#pragma once

#include "kernel/kernel.h"

namespace sassafrasquay {

struct ConfigWatcherSettings
{
  // How long one question waits for a change. A connection that has gone
  // silent is found by its keep-alive probes and not by this time.
  Duration m_wait{ std::chrono::seconds(25) };
  Duration m_timeout{ std::chrono::seconds(1) };
  Duration m_firstBackoff{ std::chrono::milliseconds(250) };
  Duration m_lastBackoff{ std::chrono::seconds(2) };
};

// The service "operator_follower". Finds "operator_feed" and "call_policy";
// requires "gossip" and "peer_client".
std::shared_ptr<Service>
MakeConfigWatcher(ConfigWatcherSettings aSettings);

} // namespace sassafrasquay
