// Roll-outs in a node: the orders in force, their effect on routing and on the
// local target, and the service that decides them for the fleet.
//
// Index of this file
//   [1] Rollouts: state of a node
//   [2] RolloutDecider: polls the targets' nodes and writes the verdict
#pragma once

#include "kernel/kernel.h"
#include "peer/peer.h"
#include "rollout/rollout.h"
#include "routes/routes.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Rollouts
//-----------------------------------------------------------------------------

// Registered in the kernel as "rollouts". Without orders every call returns at
// once.
class Rollouts : public RolloutPeer
{
public:
  // Takes the orders and the zones of the configuration in force.
  virtual void SetConfig(const PublishedConfig& aConfig) = 0;
  // Takes a decision of the deciding node or of the log. Returns true when it
  // changed the progress of its order.
  virtual bool Decide(const RolloutDecision& aDecision) = 0;
  virtual const RolloutTable& Table() const = 0;
  // Notified after each change of the table.
  virtual Event& Changed() = 0;

  // Routing.
  virtual bool HasRollout(std::string_view aService) const = 0;
  // Replaces the targets of the service and sets their roles.
  virtual void AssignRoles(std::string_view aService,
                           std::vector<TargetInfo>& aTargets) = 0;
  // Must be called once for each attempt for a service with a roll-out.
  virtual SplitChoice Choose(std::string_view aService,
                             uint32_t aRouteClass,
                             bool aIsRetry) = 0;
  virtual double Share(std::string_view aService) const = 0;

  // Local target.
  virtual void SetLocalTarget(const std::string& aService,
                              const std::string& aVersion) = 0;
  // False when no configuration received by the sender or this node allows the
  // local target to run a request, or when the verdict excludes its version.
  virtual bool MayServe(bool aSenderKnowsRollout) const = 0;
  // Counts a request that was sent to the local target; see EvidenceCounter.
  virtual void OnResult(uint32_t aRouteClass,
                        TargetResult aResult,
                        Duration aLatency,
                        bool aCold,
                        uint32_t aSlowness) = 0;
};

struct RolloutServiceSettings
{
  NodeId m_node;
  uint64_t m_nodeIncarnation = 0;
  RolloutSettings m_decisions;
  // Share of the requests of a service that a bad version may get; zero: the
  // default of RolloutSettings applies.
  double m_maxExposure = 0;
  Duration m_pollInterval{ std::chrono::milliseconds(500) };
  Duration m_queryTimeout{ std::chrono::milliseconds(400) };
  Duration m_storeTimeout{ std::chrono::seconds(1) };
  // Without a verdict, the deciding node reads the status in this interval, so
  // that it knows whether the store responds and whether another node has
  // decided.
  Duration m_storeCheckInterval{ std::chrono::seconds(3) };
  // Pause after a failed call to the store or to a member.
  Duration m_retryInterval{ std::chrono::milliseconds(500) };
};

std::shared_ptr<Rollouts>
MakeRollouts(const RolloutServiceSettings& aSettings,
             asio::any_io_executor aExecutor,
             std::shared_ptr<Clock> aClock);

//-----------------------------------------------------------------------------
// [2] RolloutDecider
//-----------------------------------------------------------------------------

// Progress of the roll-outs that this node decides, for /status.
class RolloutStatusPage : public virtual Component
{
public:
  // A JSON array with one object for each order.
  virtual std::string StatusJson() const = 0;
  virtual void UpdateMetrics() = 0;
};

// The service "rollout_decider" (RolloutStatusPage). Among the nodes beside
// targets of a service, one decides the roll-out of the service: it collects
// the evidence, writes the status, and tells every member. It makes no call
// and sets no timer while there is no order. Finds "rollouts", "clock",
// "logger", "metrics", "rollout_status" and "operator_state"; requires "gossip"
// and "peer_client".
std::shared_ptr<Service>
MakeRolloutDecider(RolloutServiceSettings aSettings);

} // namespace sassafrasquay
