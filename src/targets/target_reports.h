// Which of the reports that arrive about the target beside a node counts: they
// may be late, repeated, from an earlier process or from another writer.
//
// Pure decision code.
//
// Index of this file
//   [1] Reports
//   [2] TargetReportFilter: the target that counts
//   [3] AnnouncementPolicy: what speaks against a target that is not announced
#pragma once

#include "core/core.h"

#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Reports
//-----------------------------------------------------------------------------

// What a target says about itself at one moment.
struct TargetReport
{
  std::string m_id;          // may be used again by a later process
  WallTime m_processStart{}; // start of the process; the epoch: not stated
  uint64_t m_sequence = 0;   // rises with each report of one process
  std::string m_service;
  Endpoint m_address;
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
  Stale,     // late, or of an earlier process
  Update,    // newer word of the known process
  NewProcess // another process has taken the place
};

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
  // The target says that it ends. False when it is not the known one: late
  // word of an earlier process, or the node has started after the last report.
  // In the second case no report of a process that was born by then counts.
  bool OnLeave(std::string_view aId, WallTime aNow);

  // The last report that counted; none before the first and after OnLeave.
  const std::optional<TargetReport>& Last() const { return m_last; }

private:
  std::string m_service;
  std::optional<Endpoint> m_address;
  std::optional<TargetReport> m_last;
  std::optional<TargetReport> m_left; // the last known one that said it ends
  std::string m_unknownLeft;          // id of one that was not known
  WallTime m_unknownLeftAt{};         // it was born before
};

//-----------------------------------------------------------------------------
// [3] AnnouncementPolicy
//-----------------------------------------------------------------------------

// Decides whether a target that is not announced may become it. A node that has
// started again does not know what its process before has acknowledged.
class AnnouncementPolicy
{
public:
  // The target was told to get no new work.
  void OnLeave(std::string_view aId) { m_left = aId; }
  // A health answer of a target that is not announced.
  void OnHealth(std::string_view aId, bool aHealthy)
  {
    m_unhealthy = aHealthy ? "" : aId;
  }

  bool HealthMayAnnounce(std::string_view aId) const { return aId != m_left; }
  // False for the first report of a target that says it is not healthy: it may
  // be late, from before a leave. A target that lives reports again.
  bool ReportMayAnnounce(std::string_view aId);

private:
  std::string m_left;
  std::string m_unhealthy;
  std::string m_doubted; // its first report did not count
};

} // namespace sassafrasquay
