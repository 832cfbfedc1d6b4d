// What is in force for calls: the declaration, and on top of it the operators'
// published routes and zones.
#pragma once

#include "config/config.h"
#include "frontend/frontend.h"
#include "peer/peer.h"

namespace sassafrasquay {

struct PolicySettings
{
  NodeId m_node;
  std::string m_zone;
  std::string m_service;     // expected beside this node; may be empty
  FleetConfig m_fleetConfig; // the built-in defaults when no file is given
};

// The service "call_policy" (CallPolicy) and "operator_state"
// (PublishedConfigSource). Finds "router", "admission" and "gateway".
class NodePolicy
  : public Service
  , public CallPolicy
  , public PublishedConfigSource
{
public:
  // False while routes are expected and none are known.
  virtual bool IsKnown() const = 0;
  // Takes over a state that is newer than the one in force; aSource is named
  // in the log.
  virtual void Offer(PublishedConfig aState, std::string_view aSource) = 0;
  // Wakes when the state in force has changed.
  virtual Event& Changed() = 0;
};

// Host names the service; only the declaration counts.
std::shared_ptr<NodePolicy>
MakeStaticPolicy(PolicySettings aSettings);

// Routes are published. Also finds "route_documents".
std::shared_ptr<NodePolicy>
MakePublishedPolicy(PolicySettings aSettings);

} // namespace sassafrasquay
