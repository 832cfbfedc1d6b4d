// Table of targets by service, used by every router. Internal to this library.
#pragma once

#include "routing/routing.h"

#include <map>

namespace sassafrasquay {

// Change of a target that affects its estimates.
enum class TargetChange : uint8_t
{
  Initial,   // added to a service that had no targets
  Added,     // added to a service that had targets
  Restarted, // same node, new incarnation
  Returned   // was leaving or in a zone that was out of service
};

struct ChangedTarget
{
  TargetIndex m_target = kNoTarget;
  TargetChange m_change = TargetChange::Initial;
};

class TargetTable
{
public:
  // aZone: availability zone of the entry node.
  explicit TargetTable(std::string aZone = "")
    : m_zone(std::move(aZone))
  {
  }

  struct Entry
  {
    TargetInfo m_info;
    uint32_t m_service = 0; // index into m_services
    uint32_t m_inFlight = 0;
    bool m_present = false;
    bool m_usable = false;           // present, not leaving, zone in service
    bool m_reportedLeaving = false;  // by a load report
    TimePoint m_leavingReportedAt{}; // time of that report
  };
  // Usable targets that a request may use.
  struct Pool
  {
    std::vector<TargetIndex> m_usable;
    std::vector<TargetIndex> m_near; // those of m_usable in the entry zone
  };
  // Its own pool has the targets of all roles.
  struct Service : Pool
  {
    std::vector<TargetIndex> m_all;
    // By the roles of a request; built on first use after a change. Unused
    // while all usable targets have the default role.
    mutable std::map<uint8_t, Pool> m_poolsByRoles;
    bool m_hasRoles = false;
    // Earliest time at which m_reportedLeaving of one of the targets expires.
    TimePoint m_nextUpdateAt = TimePoint::max();
  };

  std::vector<ChangedTarget> SetTargets(std::string_view aService,
                                        const std::vector<TargetInfo>& aTargets,
                                        TimePoint aNow);
  std::vector<ChangedTarget> SetZonesOut(const std::vector<std::string>& aZones,
                                         TimePoint aNow);
  // Marks a target whose load report shows that it is leaving, before
  // membership lists it as leaving. The mark expires, because membership lists
  // it within a few seconds.
  void MarkReportedLeaving(TargetIndex aTarget, TimePoint aNow);
  // Updates the usable targets if a mark has expired.
  void UpdateUsableIfDue(Service& aService, TimePoint aNow);

  // Returns nullptr when the service never had a target.
  Service* Find(std::string_view aService);
  const Service* Find(std::string_view aService) const;
  // The targets of the service that a request with these roles may use.
  const Pool& PoolFor(const Service& aService, uint8_t aRoles) const;
  // Returns the service as UpdateUsableIfDue would leave it.
  Service ServiceAt(const Service& aService, TimePoint aNow) const;
  // Why the target gets no requests; None for a usable one.
  RouteExclusion ExclusionOf(TargetIndex aTarget, TimePoint aNow) const;
  bool HasService(std::string_view aService) const;
  const TargetInfo* Target(TargetIndex aTarget) const;
  Entry& At(TargetIndex aTarget) { return m_entries[aTarget]; }
  const Entry& At(TargetIndex aTarget) const { return m_entries[aTarget]; }
  size_t Size() const { return m_entries.size(); }
  size_t ServiceCount() const { return m_services.size(); }

  void OnSent(TargetIndex aTarget);
  // Returns false when the target has been removed or has no attempt in flight.
  bool OnEnd(TargetIndex aTarget);
  uint32_t InFlight(TargetIndex aTarget) const;

private:
  TargetIndex AddOrUpdate(uint32_t aService,
                          const TargetInfo& aInfo,
                          const std::vector<TargetIndex>& aOld,
                          std::vector<ChangedTarget>& aChanges);
  TargetIndex Allocate();
  void Remove(TargetIndex aTarget);
  void UpdateUsable(Service& aService,
                    TimePoint aNow,
                    std::vector<ChangedTarget>* aChanges);
  // Sets the lists of usable targets.
  void ListUsable(Service& aService, TimePoint aNow) const;

  std::string m_zone;
  std::vector<Entry> m_entries;
  std::vector<TargetIndex> m_freeIndices; // removed, no request in flight
  std::vector<Service> m_services;
  std::map<std::string, uint32_t, std::less<>> m_serviceIndices;
  std::vector<std::string> m_zonesOut;
};

// Returns true when an earlier attempt of the request used the target.
bool
IsExcluded(const RouteRequest& aRequest, TargetIndex aTarget);

} // namespace sassafrasquay
