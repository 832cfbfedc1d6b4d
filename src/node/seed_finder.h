// Finds the other nodes through the directory that outlasts them.
#pragma once

#include "kernel/kernel.h"

namespace sassafrasquay {

struct SeedDiscoverySettings
{
  Endpoint m_self; // peer address of this node
  // A node that is new to the directory reads it a second time after this:
  // nodes that start together then find each other.
  Duration m_settle{ std::chrono::milliseconds(500) };
  Duration m_timeout{ std::chrono::seconds(1) };
  Duration m_firstBackoff{ std::chrono::milliseconds(500) };
  Duration m_lastBackoff{ std::chrono::seconds(4) };
  // While no other node is known, the directory is read again after this.
  Duration m_aloneAgain{ std::chrono::seconds(5) };
};

// The service "seed_finder". Finds "node_directory"; requires "gossip".
std::shared_ptr<Service>
MakeSeedDiscovery(SeedDiscoverySettings aSettings);

} // namespace sassafrasquay
