// Targets by service: membership, zones, requests in flight.
#include "routing/table.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// Membership spreads a leaving target within 5 s; twice that covers a slow
// gossip round without keeping a target out after a drain was called off.
constexpr Duration kLeavingWord = std::chrono::seconds(10);

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

TargetIndex
TargetTable::Allocate()
{
  if (!m_free.empty()) {
    const TargetIndex index = m_free.back();
    m_free.pop_back();
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
    m_free.push_back(aTarget);
  }
}

TargetIndex
TargetTable::Place(uint32_t aService,
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
      { index, aOld.empty() ? TargetChange::Known : TargetChange::Added });
    return index;
  }
  Entry& entry = m_entries[*same];
  // A restarted node has no record of its target's warmth and is not leaving.
  const bool restarted =
    entry.m_info.m_incarnation != aInfo.m_incarnation ||
    entry.m_info.m_nodeIncarnation != aInfo.m_nodeIncarnation;
  if (restarted) {
    entry.m_saidLeaving = false;
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
  auto found = m_names.find(aService);
  if (found == m_names.end()) {
    if (aTargets.empty()) {
      return changes;
    }
    const auto index = static_cast<uint32_t>(m_services.size());
    found = m_names.emplace(std::string(aService), index).first;
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
      service.m_all.push_back(Place(found->second, info, old, changes));
    }
  }
  for (const TargetIndex index : old) {
    if (std::find(service.m_all.begin(), service.m_all.end(), index) ==
        service.m_all.end()) {
      Remove(index);
    }
  }
  Refresh(service, aNow, &changes);
  return changes;
}

std::vector<ChangedTarget>
TargetTable::SetZonesOut(const std::vector<std::string>& aZones, TimePoint aNow)
{
  m_zonesOut = aZones;
  std::vector<ChangedTarget> changes;
  for (Service& service : m_services) {
    Refresh(service, aNow, &changes);
  }
  return changes;
}

void
TargetTable::Refresh(Service& aService,
                     TimePoint aNow,
                     std::vector<ChangedTarget>* aChanges)
{
  aService.m_usable.clear();
  aService.m_usable.reserve(aService.m_all.size());
  aService.m_recheckAt = TimePoint::max();
  for (const TargetIndex index : aService.m_all) {
    Entry& entry = m_entries[index];
    if (entry.m_saidLeaving && aNow >= entry.m_saidLeavingAt + kLeavingWord) {
      entry.m_saidLeaving = false;
    }
    if (entry.m_saidLeaving) {
      aService.m_recheckAt =
        std::min(aService.m_recheckAt, entry.m_saidLeavingAt + kLeavingWord);
    }
    const bool out =
      std::find(m_zonesOut.begin(), m_zonesOut.end(), entry.m_info.m_zone) !=
      m_zonesOut.end();
    const bool usable = !entry.m_info.m_leaving && !entry.m_saidLeaving && !out;
    const bool returned = usable && !entry.m_usable;
    entry.m_usable = usable;
    if (usable) {
      aService.m_usable.push_back(index);
    }
    if (returned && aChanges != nullptr &&
        std::none_of(aChanges->begin(),
                     aChanges->end(),
                     [index](const ChangedTarget& aChange) {
                       return aChange.m_target == index;
                     })) {
      aChanges->push_back({ index, TargetChange::Returned });
    }
  }
}

void
TargetTable::SayLeaving(TargetIndex aTarget, TimePoint aNow)
{
  Entry& entry = m_entries[aTarget];
  entry.m_saidLeaving = true;
  entry.m_saidLeavingAt = aNow;
  Refresh(m_services[entry.m_service], aNow, nullptr);
}

void
TargetTable::Recheck(Service& aService, TimePoint aNow)
{
  if (aNow >= aService.m_recheckAt) {
    Refresh(aService, aNow, nullptr);
  }
}

TargetTable::Service*
TargetTable::Find(std::string_view aService)
{
  const auto found = m_names.find(aService);
  return found == m_names.end() ? nullptr : &m_services[found->second];
}

bool
TargetTable::HasService(std::string_view aService) const
{
  const auto found = m_names.find(aService);
  return found != m_names.end() && !m_services[found->second].m_all.empty();
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
    m_free.push_back(aTarget);
  }
  return entry.m_present;
}

uint32_t
TargetTable::InFlight(TargetIndex aTarget) const
{
  return aTarget < m_entries.size() ? m_entries[aTarget].m_inFlight : 0;
}

} // namespace sassafrasquay
