// Table of targets: membership, zones and requests in flight.
#include "routing/table.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// Membership propagates a leaving target within 5 s. Twice that covers a slow
// gossip round, and is short enough that a target is used again soon after a
// cancelled drain.
constexpr Duration kLeavingReportLifetime = std::chrono::seconds(10);
constexpr uint8_t kDefaultRole = 1;

} // namespace

bool
IsExcluded(const RouteRequest& aRequest, TargetIndex aTarget)
{
  for (size_t i = 0; i < aRequest.m_excludedCount && i < kMaxExcluded; ++i) {
    if (aRequest.m_excluded[i] == aTarget) {
      return true;
    }
  }
  return false;
}

std::string_view
ToString(RouteExclusion aExclusion)
{
  switch (aExclusion) {
    case RouteExclusion::None:
      break;
    case RouteExclusion::Leaving:
      return "leaving";
    case RouteExclusion::ReportedLeaving:
      return "reported_leaving";
    case RouteExclusion::ZoneOut:
      return "zone_out";
    case RouteExclusion::EarlierAttempt:
      return "earlier_attempt";
    case RouteExclusion::OtherVersion:
      return "other_version";
  }
  return "none";
}

TargetIndex
TargetTable::Allocate()
{
  if (!m_freeIndices.empty()) {
    const TargetIndex index = m_freeIndices.back();
    m_freeIndices.pop_back();
    m_entries[index] = Entry();
    return index;
  }
  m_entries.emplace_back();
  return static_cast<TargetIndex>(m_entries.size() - 1);
}

void
TargetTable::Remove(TargetIndex aTarget)
{
  Entry& entry = m_entries[aTarget];
  entry.m_present = false;
  entry.m_usable = false;
  if (entry.m_inFlight == 0) {
    m_freeIndices.push_back(aTarget);
  }
}

TargetIndex
TargetTable::AddOrUpdate(uint32_t aService,
                         const TargetInfo& aInfo,
                         const std::vector<TargetIndex>& aOld,
                         std::vector<ChangedTarget>& aChanges)
{
  const auto same =
    std::find_if(aOld.begin(), aOld.end(), [&](TargetIndex aIndex) {
      return m_entries[aIndex].m_info.m_node == aInfo.m_node;
    });
  if (same == aOld.end()) {
    const TargetIndex index = Allocate();
    m_entries[index].m_service = aService;
    m_entries[index].m_info = aInfo;
    m_entries[index].m_present = true;
    aChanges.push_back(
      { index, aOld.empty() ? TargetChange::Initial : TargetChange::Added });
    return index;
  }
  Entry& entry = m_entries[*same];
  // A restarted node has no record of whether its target is warm, and it is not
  // leaving.
  const bool restarted =
    entry.m_info.m_incarnation != aInfo.m_incarnation ||
    entry.m_info.m_nodeIncarnation != aInfo.m_nodeIncarnation;
  if (restarted) {
    entry.m_reportedLeaving = false;
    aChanges.push_back({ *same, TargetChange::Restarted });
  }
  entry.m_info = aInfo;
  return *same;
}

std::vector<ChangedTarget>
TargetTable::SetTargets(std::string_view aService,
                        const std::vector<TargetInfo>& aTargets,
                        TimePoint aNow)
{
  std::vector<ChangedTarget> changes;
  auto found = m_serviceIndices.find(aService);
  if (found == m_serviceIndices.end()) {
    if (aTargets.empty()) {
      return changes;
    }
    const auto index = static_cast<uint32_t>(m_services.size());
    found = m_serviceIndices.emplace(std::string(aService), index).first;
    m_services.emplace_back();
  }
  Service& service = m_services[found->second];
  const std::vector<TargetIndex> old = std::move(service.m_all);
  service.m_all.clear();
  for (const TargetInfo& info : aTargets) {
    const bool repeated = std::any_of(
      service.m_all.begin(), service.m_all.end(), [&](TargetIndex aIndex) {
        return m_entries[aIndex].m_info.m_node == info.m_node;
      });
    if (!repeated) {
      service.m_all.push_back(AddOrUpdate(found->second, info, old, changes));
    }
  }
  for (const TargetIndex index : old) {
    if (std::find(service.m_all.begin(), service.m_all.end(), index) ==
        service.m_all.end()) {
      Remove(index);
    }
  }
  UpdateUsable(service, aNow, &changes);
  return changes;
}

std::vector<ChangedTarget>
TargetTable::SetZonesOut(const std::vector<std::string>& aZones, TimePoint aNow)
{
  m_zonesOut = aZones;
  std::vector<ChangedTarget> changes;
  for (Service& service : m_services) {
    UpdateUsable(service, aNow, &changes);
  }
  return changes;
}

void
TargetTable::UpdateUsable(Service& aService,
                          TimePoint aNow,
                          std::vector<ChangedTarget>* aChanges)
{
  aService.m_nextUpdateAt = TimePoint::max();
  for (const TargetIndex index : aService.m_all) {
    Entry& entry = m_entries[index];
    if (entry.m_reportedLeaving &&
        aNow >= entry.m_leavingReportedAt + kLeavingReportLifetime) {
      entry.m_reportedLeaving = false;
    }
    if (entry.m_reportedLeaving) {
      aService.m_nextUpdateAt =
        std::min(aService.m_nextUpdateAt,
                 entry.m_leavingReportedAt + kLeavingReportLifetime);
    }
    const bool usable = ExclusionOf(index, aNow) == RouteExclusion::None;
    const bool returned = usable && !entry.m_usable;
    entry.m_usable = usable;
    if (returned && aChanges != nullptr &&
        std::none_of(aChanges->begin(),
                     aChanges->end(),
                     [index](const ChangedTarget& aChange) {
                       return aChange.m_target == index;
                     })) {
      aChanges->push_back({ index, TargetChange::Returned });
    }
  }
  ListUsable(aService, aNow);
}

void
TargetTable::ListUsable(Service& aService, TimePoint aNow) const
{
  aService.m_usable.clear();
  aService.m_near.clear();
  aService.m_usable.reserve(aService.m_all.size());
  aService.m_poolsByRoles.clear();
  aService.m_hasRoles = false;
  for (const TargetIndex index : aService.m_all) {
    if (ExclusionOf(index, aNow) == RouteExclusion::None) {
      aService.m_usable.push_back(index);
      aService.m_hasRoles |= m_entries[index].m_info.m_roles != kDefaultRole;
      if (m_entries[index].m_info.m_zone == m_zone) {
        aService.m_near.push_back(index);
      }
    }
  }
}

RouteExclusion
TargetTable::ExclusionOf(TargetIndex aTarget, TimePoint aNow) const
{
  const Entry& entry = m_entries[aTarget];
  if (entry.m_info.m_leaving) {
    return RouteExclusion::Leaving;
  }
  if (entry.m_reportedLeaving &&
      aNow < entry.m_leavingReportedAt + kLeavingReportLifetime) {
    return RouteExclusion::ReportedLeaving;
  }
  const bool out =
    std::find(m_zonesOut.begin(), m_zonesOut.end(), entry.m_info.m_zone) !=
    m_zonesOut.end();
  return out ? RouteExclusion::ZoneOut : RouteExclusion::None;
}

const TargetTable::Pool&
TargetTable::PoolFor(const Service& aService, uint8_t aRoles) const
{
  if (!aService.m_hasRoles && (aRoles & kDefaultRole) != 0) {
    return aService;
  }
  const auto [entry, isNew] = aService.m_poolsByRoles.try_emplace(aRoles);
  Pool& pool = entry->second;
  if (isNew) {
    const auto hasRole = [&](TargetIndex aIndex) {
      return (m_entries[aIndex].m_info.m_roles & aRoles) != 0;
    };
    std::copy_if(aService.m_usable.begin(),
                 aService.m_usable.end(),
                 std::back_inserter(pool.m_usable),
                 hasRole);
    std::copy_if(aService.m_near.begin(),
                 aService.m_near.end(),
                 std::back_inserter(pool.m_near),
                 hasRole);
  }
  return pool;
}

TargetTable::Service
TargetTable::ServiceAt(const Service& aService, TimePoint aNow) const
{
  Service service;
  service.m_all = aService.m_all;
  ListUsable(service, aNow);
  return service;
}

void
TargetTable::MarkReportedLeaving(TargetIndex aTarget, TimePoint aNow)
{
  Entry& entry = m_entries[aTarget];
  entry.m_reportedLeaving = true;
  entry.m_leavingReportedAt = aNow;
  UpdateUsable(m_services[entry.m_service], aNow, nullptr);
}

void
TargetTable::UpdateUsableIfDue(Service& aService, TimePoint aNow)
{
  if (aNow >= aService.m_nextUpdateAt) {
    UpdateUsable(aService, aNow, nullptr);
  }
}

TargetTable::Service*
TargetTable::Find(std::string_view aService)
{
  const auto found = m_serviceIndices.find(aService);
  return found == m_serviceIndices.end() ? nullptr : &m_services[found->second];
}

const TargetTable::Service*
TargetTable::Find(std::string_view aService) const
{
  const auto found = m_serviceIndices.find(aService);
  return found == m_serviceIndices.end() ? nullptr : &m_services[found->second];
}

bool
TargetTable::HasService(std::string_view aService) const
{
  const auto found = m_serviceIndices.find(aService);
  return found != m_serviceIndices.end() &&
         !m_services[found->second].m_all.empty();
}

const TargetInfo*
TargetTable::Target(TargetIndex aTarget) const
{
  const bool valid = aTarget < m_entries.size() && m_entries[aTarget].m_present;
  return valid ? &m_entries[aTarget].m_info : nullptr;
}

void
TargetTable::OnSent(TargetIndex aTarget)
{
  if (Target(aTarget) != nullptr) {
    ++m_entries[aTarget].m_inFlight;
  }
}

bool
TargetTable::OnEnd(TargetIndex aTarget)
{
  if (aTarget >= m_entries.size() || m_entries[aTarget].m_inFlight == 0) {
    return false;
  }
  Entry& entry = m_entries[aTarget];
  --entry.m_inFlight;
  if (!entry.m_present && entry.m_inFlight == 0) {
    m_freeIndices.push_back(aTarget);
  }
  return entry.m_present;
}

uint32_t
TargetTable::InFlight(TargetIndex aTarget) const
{
  return aTarget < m_entries.size() ? m_entries[aTarget].m_inFlight : 0;
}

} // namespace sassafrasquay
