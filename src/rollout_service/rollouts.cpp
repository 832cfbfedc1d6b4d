// The component "rollouts": orders in force and their effect in one node.
#include "rollout_service/rollout_service.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// Used share of the exposure that a deployment allows: entry nodes see
// different targets for a moment, and targets restart.
constexpr double kUsedExposure = 0.8;

RolloutSettings
DecisionSettingsOf(const RolloutServiceSettings& aSettings)
{
  RolloutSettings decisions = aSettings.m_decisions;
  if (aSettings.m_maxExposure > 0) {
    decisions.m_canaryShare = std::min(decisions.m_canaryShare,
                                       kUsedExposure * aSettings.m_maxExposure);
  }
  return decisions;
}

class NodeRollouts : public Rollouts
{
public:
  NodeRollouts(const RolloutServiceSettings& aSettings,
               asio::any_io_executor aExecutor,
               std::shared_ptr<Clock> aClock)
    : m_settings(aSettings)
    , m_clock(std::move(aClock))
    , m_split(MakeRolloutSplit(DecisionSettingsOf(aSettings), aSettings.m_node))
    , m_changed(std::move(aExecutor))
    , m_countersIncarnation(aSettings.m_nodeIncarnation)
  {
  }

  void SetConfig(const PublishedConfig& aConfig) override;
  bool Decide(const RolloutDecision& aDecision) override;
  const RolloutTable& Table() const override { return m_table; }
  Event& Changed() override { return m_changed; }

  bool HasRollout(std::string_view aService) const override
  {
    return m_table.Find(aService) != nullptr;
  }
  void AssignRoles(std::string_view aService,
                   std::vector<TargetInfo>& aTargets) override;
  SplitChoice Choose(std::string_view aService,
                     uint32_t aRouteClass,
                     bool aIsRetry) override
  {
    return m_split->Choose(aService, aRouteClass, aIsRetry, m_clock->Now());
  }
  double Share(std::string_view aService) const override
  {
    return m_split->Share(aService, m_clock->Now());
  }

  void SetLocalTarget(const std::string& aService,
                      const std::string& aVersion) override;
  bool MayServe(bool aSenderKnowsRollout) const override;
  void OnResult(uint32_t aRouteClass,
                TargetResult aResult,
                Duration aLatency,
                bool aCold,
                uint32_t aSlowness) override
  {
    m_counter.OnResult(aRouteClass, aResult, aLatency, aCold, aSlowness);
  }

  RolloutEvidenceReply OnEvidenceRequest(
    const RolloutEvidenceRequest& aRequest) override;
  RolloutDecisionFrame OnDecisionFrame(
    const RolloutDecisionFrame& aFrame) override;

private:
  void Publish();
  void AdmitLaterTargets(const Rollout& aRollout,
                         std::vector<TargetInfo>& aTargets);
  bool IsZoneOut(const std::string& aZone) const
  {
    return std::binary_search(m_zonesOut.begin(), m_zonesOut.end(), aZone);
  }
  RolloutDecision OwnDecision(const std::string& aService) const;

  RolloutServiceSettings m_settings;
  std::shared_ptr<Clock> m_clock;
  RolloutTable m_table;
  std::unique_ptr<RolloutSplit> m_split;
  Event m_changed;
  // Targets that a roll-out replaces, by service; node and incarnation.
  std::map<std::string, std::set<std::pair<NodeId, uint64_t>>> m_replaced;
  std::vector<std::string> m_zonesOut; // sorted
  uint64_t m_era = 0;                  // of the log
  std::string m_localService;
  std::string m_localVersion;
  EvidenceCounter m_counter;
  uint64_t m_countersIncarnation; // rises when the counters begin anew
};

void
NodeRollouts::SetConfig(const PublishedConfig& aConfig)
{
  const bool zonesChanged = m_zonesOut != aConfig.m_zonesOut;
  // The log may have lost the status of a roll-out.
  const bool isNewEra = aConfig.m_position.m_era > m_era;
  m_era = aConfig.m_position.m_era;
  m_zonesOut = aConfig.m_zonesOut;
  const bool ordersChanged = m_table.Update(aConfig.m_rollouts, m_clock->Now());
  if (ordersChanged || ((zonesChanged || isNewEra) && !m_table.Empty())) {
    Publish();
  }
}

bool
NodeRollouts::Decide(const RolloutDecision& aDecision)
{
  const bool changed = m_table.Decide(aDecision, m_clock->Now());
  if (changed) {
    Publish();
  }
  return changed;
}

void
NodeRollouts::Publish()
{
  m_split->SetRollouts(m_table, m_clock->Now());
  m_counter.SetOrder(m_table.Find(m_localService));
  m_changed.Notify();
}

void
NodeRollouts::AssignRoles(std::string_view aService,
                          std::vector<TargetInfo>& aTargets)
{
  if (!HasRollout(aService)) {
    return;
  }
  const Rollout& rollout = *m_table.Find(aService);
  std::vector<SplitTarget> targets;
  bool hasOld = false; // a usable target of another version
  for (const TargetInfo& info : aTargets) {
    // Without a version it counts as old, so that its service does not appear
    // to have the new version only.
    const bool isKnown = !info.m_version.empty();
    const bool isUsable = isKnown && !info.m_leaving && !IsZoneOut(info.m_zone);
    targets.push_back({ info.m_node, info.m_version, isUsable, info.m_cold });
    hasOld |= isUsable && info.m_version != rollout.m_order.m_version;
  }
  m_split->SetTargets(aService, targets, m_clock->Now());
  for (TargetInfo& info : aTargets) {
    // A node that has just started does not know the version of its target
    // until the target's next report. Until then the target is used only if
    // there is no other of the old version.
    info.m_roles = info.m_version.empty() && hasOld
                     ? kNoRole
                     : m_split->RoleOf(aService, info.m_node);
  }
  AdmitLaterTargets(rollout, aTargets);
}

// Targets of other versions that start after the end of a completed roll-out
// are none of those that it replaced. Those were seen while it was promoted.
void
NodeRollouts::AdmitLaterTargets(const Rollout& aRollout,
                                std::vector<TargetInfo>& aTargets)
{
  auto& replaced = m_replaced[aRollout.m_order.m_service];
  if (aRollout.m_step != RolloutStep::Completed) {
    replaced.clear();
  }
  for (TargetInfo& info : aTargets) {
    if (aRollout.m_step == RolloutStep::Promoting) {
      replaced.emplace(info.m_node, info.m_incarnation);
    } else if (info.m_roles == static_cast<TargetRoles>(TargetRole::Replaced) &&
               !replaced.contains({ info.m_node, info.m_incarnation })) {
      info.m_roles = static_cast<TargetRoles>(TargetRole::Normal);
    }
  }
}

void
NodeRollouts::SetLocalTarget(const std::string& aService,
                             const std::string& aVersion)
{
  if (aService == m_localService && aVersion == m_localVersion) {
    return;
  }
  m_localService = aService;
  m_localVersion = aVersion;
  m_counter = EvidenceCounter();
  ++m_countersIncarnation;
  m_counter.SetOrder(m_table.Find(m_localService));
}

// The last check before a request reaches the target. An entry node may lack
// the order or the verdict.
bool
NodeRollouts::MayServe(bool aSenderKnowsRollout) const
{
  const Rollout* rollout = m_table.Find(m_localService);
  if (rollout == nullptr || m_localVersion.empty()) {
    return true;
  }
  if (rollout->m_order.m_version == m_localVersion) {
    return rollout->m_step == RolloutStep::Completed ||
           (rollout->m_step != RolloutStep::RolledBack && aSenderKnowsRollout);
  }
  const std::vector<std::string> abandoned =
    m_table.AbandonedVersions(m_localService);
  return std::find(abandoned.begin(), abandoned.end(), m_localVersion) ==
         abandoned.end();
}

// A decision of this node that does not exist names no service.
RolloutDecision
NodeRollouts::OwnDecision(const std::string& aService) const
{
  const Rollout* rollout = m_table.Find(aService);
  return rollout != nullptr ? rollout->Decision() : RolloutDecision();
}

RolloutEvidenceReply
NodeRollouts::OnEvidenceRequest(const RolloutEvidenceRequest& aRequest)
{
  Decide(aRequest.m_decision);
  RolloutEvidenceReply reply;
  reply.m_decision = OwnDecision(aRequest.m_decision.m_service);
  if (m_localService == aRequest.m_decision.m_service &&
      !m_localVersion.empty()) {
    reply.m_evidence = m_counter.Evidence(m_clock->Now());
  }
  if (reply.m_evidence) {
    reply.m_evidence->m_incarnation = m_countersIncarnation;
    reply.m_evidence->m_version = m_localVersion;
  }
  return reply;
}

RolloutDecisionFrame
NodeRollouts::OnDecisionFrame(const RolloutDecisionFrame& aFrame)
{
  Decide(aFrame.m_decision);
  return { OwnDecision(aFrame.m_decision.m_service) };
}

} // namespace

std::shared_ptr<Rollouts>
MakeRollouts(const RolloutServiceSettings& aSettings,
             asio::any_io_executor aExecutor,
             std::shared_ptr<Clock> aClock)
{
  return std::make_shared<NodeRollouts>(
    aSettings, std::move(aExecutor), std::move(aClock));
}

} // namespace sassafrasquay
