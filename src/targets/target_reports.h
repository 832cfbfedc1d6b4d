// Selects which reports and announcements of the target beside a node apply.
// They may arrive late or repeated, or come from an earlier process of the
// target or from another target.
//
// Contains decisions only.
//
// Index of this file
//   [1] Reports
//   [2] TargetReportFilter: order of the reports
//   [3] AnnouncementPolicy: whether an unannounced target may be announced
#pragma once

#include "core/core.h"

#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Reports
//-----------------------------------------------------------------------------

// State of a target as it reports it.
struct TargetReport
{
  std::string m_id;          // a later process may use it again
  WallTime m_processStart{}; // the epoch: unknown
  uint64_t m_sequence = 0;   // increases with each report of one process
  std::string m_service;
  Endpoint m_address;
  std::string m_version; // of its software; empty: not reported
  uint32_t m_slots = 0;
  bool m_draining = false;
  Duration m_coldStartRemaining{}; // zero: warm

  bool operator==(const TargetReport&) const = default;
};

//-----------------------------------------------------------------------------
// [2] TargetReportFilter
//-----------------------------------------------------------------------------

enum class ReportVerdict : uint8_t
{
  Foreign,   // not about the target beside this node
  Stale,     // late, repeated or from an earlier process
  Update,    // newer report of the same process
  NewProcess // first report of another process
};

// Keeps the newest report of the newest process of the target.
class TargetReportFilter
{
public:
  // The target beside this node; an empty service or address matches any.
  TargetReportFilter(std::string aService, std::optional<Endpoint> aAddress)
    : m_service(std::move(aService))
    , m_address(std::move(aAddress))
  {
  }

  ReportVerdict OnReport(const TargetReport& aReport);
  // The target reports that it ends; its later reports are stale. False when
  // Last() is not a report of this target: either an earlier process sent this
  // late, or the node has started after the last report. In the second case,
  // reports with this id from processes that started up to aNow are stale.
  bool OnLeave(std::string_view aId, WallTime aNow);

  // The newest report; none before the first one and after OnLeave.
  const std::optional<TargetReport>& Last() const { return m_last; }

private:
  std::string m_service;
  std::optional<Endpoint> m_address;
  std::optional<TargetReport> m_last;
  std::optional<TargetReport> m_ended; // last report of the last ended process
  std::string m_unreportedLeaveId;     // left without a report to this node
  WallTime m_unreportedLeaveTime{};    // time of its leave
};

//-----------------------------------------------------------------------------
// [3] AnnouncementPolicy
//-----------------------------------------------------------------------------

// Decides whether a target that is not announced may be announced. After a
// restart, a node has no record of the leaves that it acknowledged before, and
// reports from before such a leave may still arrive.
class AnnouncementPolicy
{
public:
  // aNow, aWallNow: start of the node. aMaxReportDelay: a report arrives at
  // most this long after it was sent; zero: every report may announce its
  // target.
  AnnouncementPolicy(TimePoint aNow,
                     WallTime aWallNow,
                     Duration aMaxReportDelay)
    : m_lateReportsEnd(aNow + aMaxReportDelay)
    , m_nodeStart(aWallNow)
  {
  }

  // The target must get no new work.
  void OnLeave(std::string_view aId) { m_drainedId = aId; }
  // Result of the last health check of a target that is not announced. A target
  // that has left fails it.
  void OnHealth(std::string_view aId, bool aHealthy)
  {
    m_healthyId = aHealthy ? aId : "";
  }

  bool HealthMayAnnounce(std::string_view aId) const
  {
    return aId != m_drainedId;
  }
  // True when the report proves that this node has not acknowledged the
  // target's leave before its own start: the target has started since, it has
  // passed its last health check, or the report was sent since. So a target
  // whose health check wrongly fails waits until late reports have arrived.
  bool ReportMayAnnounce(std::string_view aId,
                         WallTime aProcessStart,
                         TimePoint aNow) const;

private:
  TimePoint m_lateReportsEnd; // reports were sent after the node's start
  WallTime m_nodeStart;
  std::string m_drainedId;
  std::string m_healthyId;
};

} // namespace sassafrasquay
