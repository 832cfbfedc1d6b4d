// Call policy of a node: applies the fleet configuration to calls and to the
// local target, with the operators' published routes and zones on top of it.
#pragma once

#include "accounts/accounts.h"
#include "config/config.h"
#include "frontend/frontend.h"
#include "peer/peer.h"

namespace sassafrasquay {

struct PolicySettings
{
  NodeId m_node;
  std::string m_zone;
  std::string m_service;     // expected on this VM; may be empty
  FleetConfig m_fleetConfig; // built-in defaults without a file
};

// Registered as "call_policy" (CallPolicy, CallPreviewer and AccountDirectory)
// and "operator_state" (PublishedConfigSource). Finds "router" and "admission";
// requires "gateway" (TargetControl).
class NodePolicy
  : public Service
  , public CallPolicy
  , public CallPreviewer
  , public AccountDirectory
  , public PublishedConfigSource
{
public:
  uint64_t ConfigVersion() const override = 0; // for callers and accounts
  // False while published routes are required and none have been received.
  virtual bool IsReady() const = 0;
  // Applies a published configuration that is newer than the current one;
  // aSource is logged.
  virtual void Offer(PublishedConfig aConfig, std::string_view aSource) = 0;
  // The operators have had time to write again what their log has lost.
  virtual void Settle() {}
  // Of the configuration in force.
  virtual LogPosition ConfigPosition() const = 0;
  // Notified when the published configuration has changed.
  virtual Event& Changed() = 0;
};

// The Host field names the service; only the fleet configuration applies.
std::shared_ptr<NodePolicy>
MakeStaticPolicy(PolicySettings aSettings);

// Routes are published by operators. Also finds "route_documents".
std::shared_ptr<NodePolicy>
MakePublishedPolicy(PolicySettings aSettings);

} // namespace sassafrasquay
