// Selection of the reports of the target beside a node.
#include "targets/target_reports.h"

namespace sassafrasquay {

namespace {

bool
IsSameProcess(const TargetReport& aLeft, const TargetReport& aRight)
{
  return aLeft.m_id == aRight.m_id &&
         aLeft.m_processStart == aRight.m_processStart;
}

} // namespace

ReportVerdict
TargetReportFilter::OnReport(const TargetReport& aReport)
{
  const bool isForeign =
    (!m_service.empty() && aReport.m_service != m_service) ||
    (m_address && aReport.m_address != *m_address);
  if (isForeign) {
    return ReportVerdict::Foreign;
  }
  if (m_ended && (IsSameProcess(*m_ended, aReport) ||
                  aReport.m_processStart < m_ended->m_processStart)) {
    return ReportVerdict::Stale;
  }
  if (aReport.m_id == m_unreportedLeaveId &&
      aReport.m_processStart <= m_unreportedLeaveTime) {
    return ReportVerdict::Stale;
  }
  if (m_last && IsSameProcess(*m_last, aReport)) {
    if (aReport.m_sequence <= m_last->m_sequence) {
      return ReportVerdict::Stale;
    }
    m_last = aReport;
    return ReportVerdict::Update;
  }
  if (m_last && aReport.m_processStart < m_last->m_processStart) {
    return ReportVerdict::Stale;
  }
  m_last = aReport;
  return ReportVerdict::NewProcess;
}

bool
TargetReportFilter::OnLeave(std::string_view aId, WallTime aNow)
{
  if (!m_last) {
    m_unreportedLeaveId = aId;
    m_unreportedLeaveTime = aNow;
    return false;
  }
  if (m_last->m_id != aId) {
    return false;
  }
  m_ended = std::move(m_last);
  m_last.reset();
  return true;
}

bool
AnnouncementPolicy::ReportMayAnnounce(std::string_view aId,
                                      WallTime aProcessStart,
                                      TimePoint aNow) const
{
  return aNow >= m_lateReportsEnd || aProcessStart > m_nodeStart ||
         (!aId.empty() && aId == m_healthyId);
}

} // namespace sassafrasquay
