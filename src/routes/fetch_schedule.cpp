// When the published configuration is requested from its log, and when an era
// of the log has settled.
#include "routes/routes.h"

#include <algorithm>
#include <utility>

namespace sassafrasquay {

Duration
FetchSchedule::Pause(Duration& aBackoff) const
{
  return std::exchange(aBackoff, std::min(2 * aBackoff, m_maxBackoff));
}

Duration
FetchSchedule::OnOutcome(FetchOutcome aOutcome)
{
  const bool justRead = std::exchange(m_justRead, false);
  switch (aOutcome) {
    case FetchOutcome::Ok:
      m_failureBackoff = m_initialBackoff;
      if (m_next != FetchKind::Read) {
        m_rereadBackoff = m_initialBackoff;
      }
      m_justRead = m_next == FetchKind::Read;
      m_next = FetchKind::Watch;
      return Duration::zero();
    case FetchOutcome::HistoryGone:
      m_next = FetchKind::Read;
      if (justRead) {
        // The log ends before the configuration in force, for example one from
        // a peer: another read alone will not change that.
        return Pause(m_rereadBackoff);
      }
      // The log was compacted while a watch waited; a newer configuration may
      // be in force.
      m_rereadBackoff = m_initialBackoff;
      return Duration::zero();
    case FetchOutcome::Failed:
      OnPause();
      return Pause(m_failureBackoff);
  }
  return Duration::zero();
}

void
FetchSchedule::OnPause()
{
  if (m_next == FetchKind::Watch && m_hasEras) {
    m_next = FetchKind::Check;
  }
}

bool
SettlePeriod::OnResponse(uint64_t aEra, TimePoint aNow)
{
  if (aEra != m_era) {
    m_era = aEra;
    m_settled = false;
    m_end.reset();
  }
  if (m_settled) {
    return false;
  }
  if (!m_end) {
    m_end = aNow + m_length;
  }
  m_settled = aNow >= *m_end;
  return m_settled;
}

Duration
SettlePeriod::LimitWait(Duration aWait, TimePoint aNow) const
{
  if (m_settled || !m_end) {
    return aWait;
  }
  return std::clamp(*m_end - aNow, Duration::zero(), aWait);
}

} // namespace sassafrasquay
