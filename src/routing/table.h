// Targets by service, shared by every router. Internal to this library.
#pragma once

#include "routing/routing.h"

#include <map>

namespace sassafrasquay {

// What a change of membership or zones means for a target's estimates.
enum class TargetChange : uint8_t
{
  Known,     // belongs to a service that had no target before
  Added,     // joined a service that is already in use
  Restarted, // same node, new incarnation
  Returned   // was leaving or in a zone that was out
};

struct ChangedTarget
{
  TargetIndex m_target = kNoTarget;
  TargetChange m_change = TargetChange::Known;
};

class TargetTable
{
public:
  struct Entry
  {
    TargetInfo m_info;
    uint32_t m_service = 0; // index into Services
    uint32_t m_inFlight = 0;
    bool m_present = false;
    bool m_usable = false;       // present, not leaving, zone not out
    bool m_saidLeaving = false;  // a load report said so
    TimePoint m_saidLeavingAt{}; // when
  };
  struct Service
  {
    std::vector<TargetIndex> m_all;
    std::vector<TargetIndex> m_usable;
    // Earliest end of a target's own word that it leaves.
    TimePoint m_recheckAt = TimePoint::max();
  };

  std::vector<ChangedTarget> SetTargets(std::string_view aService,
                                        const std::vector<TargetInfo>& aTargets,
                                        TimePoint aNow);
  std::vector<ChangedTarget> SetZonesOut(const std::vector<std::string>& aZones,
                                         TimePoint aNow);
  // A load report said that the target leaves, before membership did. The
  // statement expires, because membership knows within a few seconds.
  void SayLeaving(TargetIndex aTarget, TimePoint aNow);
  void Recheck(Service& aService, TimePoint aNow);

  // Nullptr when the service has no target.
  Service* Find(std::string_view aService);
  const Service* Of(TargetIndex aTarget) const
  {
    return &m_services[m_entries[aTarget].m_service];
  }
  bool HasService(std::string_view aService) const;
  const TargetInfo* Target(TargetIndex aTarget) const;
  Entry& At(TargetIndex aTarget) { return m_entries[aTarget]; }
  const Entry& At(TargetIndex aTarget) const { return m_entries[aTarget]; }
  size_t Size() const { return m_entries.size(); }
  size_t Services() const { return m_services.size(); }

  void OnSent(TargetIndex aTarget);
  // False when the target has been removed or the attempt is not counted.
  bool OnEnd(TargetIndex aTarget);
  uint32_t InFlight(TargetIndex aTarget) const;

private:
  TargetIndex Place(uint32_t aService,
                    const TargetInfo& aInfo,
                    const std::vector<TargetIndex>& aOld,
                    std::vector<ChangedTarget>& aChanges);
  TargetIndex Allocate();
  void Remove(TargetIndex aTarget);
  void Refresh(Service& aService,
               TimePoint aNow,
               std::vector<ChangedTarget>* aChanges);

  std::vector<Entry> m_entries;
  std::vector<TargetIndex> m_free; // removed, with nothing in flight
  std::vector<Service> m_services;
  std::map<std::string, uint32_t, std::less<>> m_names;
  std::vector<std::string> m_zonesOut;
};

// True when an earlier attempt of the request used the target.
bool
IsExcluded(const RouteRequest& aRequest, TargetIndex aTarget);

} // namespace sassafrasquay
