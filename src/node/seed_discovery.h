// Discovers other nodes through the node directory, which outlives them.
#pragma once

#include "kernel/kernel.h"

namespace sassafrasquay {

struct SeedDiscoverySettings
{
  Endpoint m_self; // peer address of this node
  // Delay between the first registration of a node and its second read of the
  // directory, so that nodes that start together discover each other.
  Duration m_settleTime{ std::chrono::milliseconds(500) };
  Duration m_timeout{ std::chrono::seconds(1) };
  Duration m_initialBackoff{ std::chrono::milliseconds(500) };
  Duration m_maxBackoff{ std::chrono::seconds(4) };
  // Between reads of the directory while no other node is known.
  Duration m_rereadInterval{ std::chrono::seconds(5) };
};

// The service "seed_finder". Finds "node_directory"; requires "gossip".
std::shared_ptr<Service>
MakeSeedDiscovery(SeedDiscoverySettings aSettings);

} // namespace sassafrasquay
