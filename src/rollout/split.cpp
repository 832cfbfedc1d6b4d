// Which targets an entry node uses for a request of a service with a roll-out.
#include "rollout/rollout.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

// Bounds the memory for classes, which the operators choose. Further classes
// share the credit of the first one.
constexpr size_t kMaxClasses = 256;

// Bounds the share of a rare route.
constexpr double kMaxClassWeight = 3;

constexpr TargetRoles kNormal = static_cast<TargetRoles>(TargetRole::Normal);
constexpr TargetRoles kCanary = static_cast<TargetRoles>(TargetRole::Canary);
constexpr TargetRoles kWaiting = static_cast<TargetRoles>(TargetRole::Waiting);
constexpr TargetRoles kReplaced =
  static_cast<TargetRoles>(TargetRole::Replaced);

class CanarySplit : public RolloutSplit
{
public:
  CanarySplit(RolloutSettings aSettings, const NodeId& aNode)
    : m_settings(aSettings)
    , m_nodeHash(StableHash(aNode.m_value))
  {
  }

  void SetRollouts(const RolloutTable& aTable, TimePoint aNow) override;
  void SetTargets(std::string_view aService,
                  std::span<const SplitTarget> aTargets,
                  TimePoint aNow) override;
  bool HasRollout(std::string_view aService) const override
  {
    return Find(aService) != nullptr;
  }
  TargetRoles RoleOf(std::string_view aService,
                     const NodeId& aTarget) const override;
  SplitChoice Choose(std::string_view aService,
                     uint32_t aRouteClass,
                     bool aIsRetry,
                     TimePoint aNow) override;
  double Share(std::string_view aService, TimePoint aNow) const override;

private:
  struct RouteClass
  {
    double m_requests = 0; // since the order
    // Requests owed to the new version. Classes have a credit each, so that
    // every route is compared.
    double m_credit = 0;
  };
  struct Service
  {
    std::optional<Rollout> m_rollout;
    std::vector<std::string> m_abandoned; // versions
    TimePoint m_promotedAt;               // when this node learned of it
    std::vector<SplitTarget> m_targets;
    // Results of Assign.
    std::map<NodeId, TargetRoles> m_roles;
    double m_canaryShare = 0;
    bool m_hasNormal = false; // listed targets, usable or not
    bool m_hasNew = false;    // usable targets of the new version
    std::map<uint32_t, RouteClass> m_classes;
    double m_requests = 0; // of all classes, since the order
    double m_rootSum = 0;  // of the square roots of the classes' requests
  };

  const Service* Find(std::string_view aService) const;
  void Assign(Service& aService) const;
  void AssignCanaries(Service& aService, size_t aOldTargets) const;
  double ShareOf(const Service& aService, TimePoint aNow) const;
  RouteClass& Count(std::string_view aName,
                    Service& aService,
                    uint32_t aRouteClass) const;
  static double WeightOf(const Service& aService, const RouteClass& aClass);

  RolloutSettings m_settings;
  uint64_t m_nodeHash;
  std::map<std::string, Service, std::less<>> m_services;
};

const CanarySplit::Service*
CanarySplit::Find(std::string_view aService) const
{
  const auto entry = m_services.find(aService);
  return entry != m_services.end() && entry->second.m_rollout ? &entry->second
                                                              : nullptr;
}

void
CanarySplit::SetRollouts(const RolloutTable& aTable, TimePoint aNow)
{
  for (const auto& [name, rollout] : aTable.All()) {
    Service& service = m_services[name];
    const bool wasSame =
      service.m_rollout &&
      IsSameOrder(service.m_rollout->m_order, rollout.m_order);
    const bool wasPromoting =
      wasSame && service.m_rollout->m_step == RolloutStep::Promoting;
    if (rollout.m_step == RolloutStep::Promoting && !wasPromoting) {
      service.m_promotedAt = aNow;
    }
    if (!wasSame) {
      service.m_classes.clear();
      service.m_requests = 0;
      service.m_rootSum = 0;
    }
    service.m_rollout = rollout;
    service.m_abandoned = aTable.AbandonedVersions(name);
    Assign(service);
  }
}

void
CanarySplit::SetTargets(std::string_view aService,
                        std::span<const SplitTarget> aTargets,
                        TimePoint /*aNow*/)
{
  Service& service = m_services[std::string(aService)];
  service.m_targets.assign(aTargets.begin(), aTargets.end());
  Assign(service);
}

// Sets the roles of the targets and the canary share.
void
CanarySplit::Assign(Service& aService) const
{
  aService.m_roles.clear();
  aService.m_canaryShare = 0;
  aService.m_hasNormal = false;
  aService.m_hasNew = false;
  if (!aService.m_rollout) {
    return;
  }
  const std::string& newVersion = aService.m_rollout->m_order.m_version;
  const RolloutStep step = aService.m_rollout->m_step;
  size_t oldTargets = 0; // that take their full share
  for (const SplitTarget& target : aService.m_targets) {
    TargetRoles role = kNormal;
    if (target.m_version == newVersion) {
      role = step == RolloutStep::RolledBack  ? kNoRole
             : step == RolloutStep::Completed ? kNormal
                                              : kWaiting;
      aService.m_hasNew |= role != kNoRole && target.m_usable;
    } else if (std::find(aService.m_abandoned.begin(),
                         aService.m_abandoned.end(),
                         target.m_version) != aService.m_abandoned.end()) {
      role = kNoRole;
    } else if (step == RolloutStep::Completed) {
      role = kReplaced;
    } else {
      oldTargets += target.m_usable && !target.m_cold ? 1 : 0;
    }
    aService.m_hasNormal |= role == kNormal;
    aService.m_roles[target.m_node] = role;
  }
  if (!aService.m_hasNormal) {
    // There is no old version that could serve instead.
    for (auto& [node, role] : aService.m_roles) {
      role = role == kWaiting ? kNormal : role;
    }
  } else if (step == RolloutStep::Canary || step == RolloutStep::Promoting) {
    AssignCanaries(aService, oldTargets);
  }
}

void
CanarySplit::AssignCanaries(Service& aService, size_t aOldTargets) const
{
  const Rollout& rollout = *aService.m_rollout;
  const uint64_t seed = StableHash(rollout.m_order.m_version);
  std::vector<std::pair<uint64_t, const NodeId*>> ranked;
  for (const SplitTarget& target : aService.m_targets) {
    if (target.m_usable && !target.m_cold &&
        aService.m_roles[target.m_node] == kWaiting) {
      ranked.emplace_back(StableHash(target.m_node.m_value, seed),
                          &target.m_node);
    }
  }
  if (ranked.empty() || aOldTargets == 0) {
    return;
  }
  std::sort(ranked.begin(), ranked.end());
  const double wanted =
    m_settings.m_canaryShare * static_cast<double>(aOldTargets);
  const size_t count =
    std::clamp(static_cast<size_t>(wanted / m_settings.m_canaryLoad),
               size_t(1),
               ranked.size());
  const size_t first = rollout.m_round * count;
  for (size_t i = 0; i < count; ++i) {
    aService.m_roles[*ranked[(first + i) % ranked.size()].second] = kCanary;
  }
  aService.m_canaryShare =
    std::min(m_settings.m_canaryShare,
             m_settings.m_canaryLoad * static_cast<double>(count) /
               static_cast<double>(aOldTargets));
}

TargetRoles
CanarySplit::RoleOf(std::string_view aService, const NodeId& aTarget) const
{
  const Service* service = Find(aService);
  if (!service) {
    return kNormal;
  }
  const auto role = service->m_roles.find(aTarget);
  return role == service->m_roles.end() ? kNoRole : role->second;
}

double
CanarySplit::ShareOf(const Service& aService, TimePoint aNow) const
{
  switch (aService.m_rollout->m_step) {
    case RolloutStep::Canary:
      return aService.m_canaryShare;
    case RolloutStep::Promoting: {
      const double ramp = FloatSeconds(aNow - aService.m_promotedAt) /
                          FloatSeconds(m_settings.m_rampTime);
      return aService.m_hasNew ? std::clamp(ramp, aService.m_canaryShare, 1.0)
                               : 0;
    }
    case RolloutStep::Completed:
      return 1;
    case RolloutStep::RolledBack:
      break;
  }
  return 0;
}

double
CanarySplit::Share(std::string_view aService, TimePoint aNow) const
{
  const Service* service = Find(aService);
  return service ? ShareOf(*service, aNow) : 0;
}

CanarySplit::RouteClass&
CanarySplit::Count(std::string_view aName,
                   Service& aService,
                   uint32_t aRouteClass) const
{
  if (aService.m_classes.size() >= kMaxClasses &&
      !aService.m_classes.contains(aRouteClass)) {
    aRouteClass = aService.m_classes.begin()->first;
  }
  const auto [entry, isNew] = aService.m_classes.try_emplace(aRouteClass);
  RouteClass& routeClass = entry->second;
  if (isNew) {
    // Entry nodes begin at different points: with equal credits, their first
    // requests to the canaries would come at the same time.
    const uint64_t hash =
      StableHash(aName, m_nodeHash ^ (uint64_t(aRouteClass) << 32U));
    routeClass.m_credit = std::ldexp(static_cast<double>(hash >> 11U), -53);
  }
  aService.m_rootSum -= std::sqrt(routeClass.m_requests);
  routeClass.m_requests += 1;
  aService.m_rootSum += std::sqrt(routeClass.m_requests);
  aService.m_requests += 1;
  return routeClass;
}

// Rare routes get more of the canary share than frequent ones, so that a fault
// on a rare route shows in time. Over all requests the mean is 1.
double
CanarySplit::WeightOf(const Service& aService, const RouteClass& aClass)
{
  return std::min(aService.m_requests /
                    (std::sqrt(aClass.m_requests) * aService.m_rootSum),
                  kMaxClassWeight);
}

SplitChoice
CanarySplit::Choose(std::string_view aService,
                    uint32_t aRouteClass,
                    bool aIsRetry,
                    TimePoint aNow)
{
  const auto entry = m_services.find(aService);
  if (entry == m_services.end() || !entry->second.m_rollout) {
    return {};
  }
  Service& service = entry->second;
  const RolloutStep step = service.m_rollout->m_step;
  if (step == RolloutStep::Completed) {
    return { kNormal, kReplaced };
  }
  if (step == RolloutStep::RolledBack || !service.m_hasNormal) {
    return {};
  }
  const TargetRoles promoted = kCanary | kWaiting;
  const bool isPromoting = step == RolloutStep::Promoting;
  if (aIsRetry) {
    return { kNormal, isPromoting ? promoted : kNoRole };
  }
  RouteClass& routeClass = Count(aService, service, aRouteClass);
  routeClass.m_credit +=
    ShareOf(service, aNow) * (isPromoting ? 1 : WeightOf(service, routeClass));
  if (routeClass.m_credit < 1) {
    return { kNormal, isPromoting ? promoted : kNoRole };
  }
  routeClass.m_credit -= 1;
  return { isPromoting ? promoted : kCanary, kNormal };
}

} // namespace

std::unique_ptr<RolloutSplit>
MakeRolloutSplit(RolloutSettings aSettings, const NodeId& aNode)
{
  return std::make_unique<CanarySplit>(aSettings, aNode);
}

} // namespace sassafrasquay
