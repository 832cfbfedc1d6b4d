// Orders in force and their progress.
#include "rollout/rollout.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// Earlier orders of a service that are recognized when an older copy of the log
// shows them again.
constexpr size_t kMaxReplaced = 16;

bool
IsValid(const RolloutOrder& aOrder)
{
  return !aOrder.m_service.empty() && !aOrder.m_version.empty() &&
         aOrder.m_period > Duration::zero() &&
         aOrder.m_position != LogPosition();
}

} // namespace

bool
IsSameOrder(const RolloutOrder& aLeft, const RolloutOrder& aRight)
{
  return aLeft.m_service == aRight.m_service &&
         aLeft.m_version == aRight.m_version &&
         aLeft.m_period == aRight.m_period &&
         IsSameOrder(aLeft.m_position, aRight.m_position);
}

bool
IsSameOrder(const LogPosition& aLeft, const LogPosition& aRight)
{
  return aLeft.m_era != aRight.m_era || aLeft.m_offset == aRight.m_offset ||
         aLeft.m_retained || aRight.m_retained;
}

std::string_view
ToString(RolloutStep aStep)
{
  switch (aStep) {
    case RolloutStep::Canary:
      return "canary";
    case RolloutStep::Promoting:
      return "promoting";
    case RolloutStep::Completed:
      return "completed";
    case RolloutStep::RolledBack:
      return "rolled back";
  }
  return "unknown";
}

RolloutDecision
Rollout::Decision() const
{
  return { m_order.m_service, m_order.m_version, m_order.m_position, m_step,
           m_round,           m_stored };
}

bool
RolloutTable::Update(std::span<const RolloutOrder> aOrders, TimePoint aNow)
{
  bool changed = false;
  for (const RolloutOrder& order : aOrders) {
    if (!IsValid(order)) {
      continue;
    }
    const auto [entry, isNew] = m_rollouts.try_emplace(order.m_service);
    Rollout& current = entry->second;
    if (isNew) {
      current.m_order = order;
      current.m_learnedAt = aNow;
      changed = true;
      continue;
    }
    LogPosition& position = current.m_order.m_position;
    if (order.m_position <= position) {
      continue;
    }
    changed = true;
    if (IsSameOrder(current.m_order, order)) {
      position = order.m_position;
      continue;
    }
    History& history = m_history[order.m_service];
    // Until the current order is written in a new era, the log shows orders
    // from before it, or the operators write these again.
    const bool isBehind =
      position.m_retained || position.m_era < order.m_position.m_era;
    const bool isReplaced =
      std::any_of(history.m_replaced.begin(),
                  history.m_replaced.end(),
                  [&](const RolloutOrder& aOld) {
                    return aOld.m_position.m_era < order.m_position.m_era &&
                           IsSameOrder(aOld, order);
                  });
    if (isBehind && isReplaced) {
      position = order.m_position;
      position.m_retained = true;
      continue;
    }
    history.m_replaced.push_back(current.m_order);
    if (history.m_replaced.size() > kMaxReplaced) {
      history.m_replaced.erase(history.m_replaced.begin());
    }
    if (current.m_step != RolloutStep::Completed) {
      history.m_abandoned.insert(current.m_order.m_version);
    }
    history.m_abandoned.erase(order.m_version);
    current = Rollout();
    current.m_order = order;
    current.m_learnedAt = aNow;
  }
  return changed;
}

bool
RolloutTable::Decide(const RolloutDecision& aDecision,
                     std::optional<TimePoint> aNow)
{
  const auto entry = m_rollouts.find(aDecision.m_service);
  if (entry == m_rollouts.end()) {
    return false;
  }
  Rollout& current = entry->second;
  if (current.m_stored || current.m_order.m_version != aDecision.m_version ||
      !IsSameOrder(current.m_order.m_position, aDecision.m_position)) {
    return false;
  }
  const Rollout before = current;
  RolloutStep step = aDecision.m_step;
  const bool isVerdict =
    step == RolloutStep::Completed || step == RolloutStep::RolledBack;
  if (isVerdict && aDecision.m_stored) {
    current.m_step = step;
    current.m_stored = true;
  } else if (current.m_step != RolloutStep::RolledBack) {
    if (step == RolloutStep::Completed) {
      step = RolloutStep::Promoting;
    }
    current.m_step = std::max(current.m_step, step);
  }
  if (current.m_step == RolloutStep::Promoting && !current.m_promotedAt) {
    current.m_promotedAt = aNow;
  }
  current.m_round = std::max(current.m_round, aDecision.m_round);
  return current.m_step != before.m_step || current.m_round != before.m_round ||
         current.m_stored != before.m_stored;
}

const Rollout*
RolloutTable::Find(std::string_view aService) const
{
  const auto entry = m_rollouts.find(aService);
  return entry == m_rollouts.end() ? nullptr : &entry->second;
}

std::vector<RolloutOrder>
RolloutTable::Orders() const
{
  std::vector<RolloutOrder> orders;
  for (const auto& [service, rollout] : m_rollouts) {
    orders.push_back(rollout.m_order);
  }
  return orders;
}

std::vector<std::string>
RolloutTable::AbandonedVersions(std::string_view aService) const
{
  const auto entry = m_history.find(aService);
  if (entry == m_history.end()) {
    return {};
  }
  const std::set<std::string>& versions = entry->second.m_abandoned;
  return { versions.begin(), versions.end() };
}

} // namespace sassafrasquay
