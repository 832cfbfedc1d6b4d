// Names of routing reasons, and the probe budget.
#include "routing/routing.h"

#include <algorithm>

namespace sassafrasquay {

std::string_view
ToString(RouteReason aReason)
{
  switch (aReason) {
    case RouteReason::None:
      break;
    case RouteReason::OnlyCandidate:
      return "only_candidate";
    case RouteReason::OwnZone:
      return "own_zone";
    case RouteReason::OtherZone:
      return "other_zone";
    case RouteReason::LowestScore:
      return "lowest_score";
    case RouteReason::LastResort:
      return "last_resort";
    case RouteReason::Exploration:
      return "exploration";
  }
  return "none";
}

ProbeBudget::ProbeBudget(ProbeBudgetSettings aSettings, TimePoint aNow)
  : m_settings(aSettings)
  , m_lastRefillAt(aNow)
  , m_rateTokens(aSettings.m_burst)
  , m_requestTokens(aSettings.m_burst)
{
}

void
ProbeBudget::OnRequest()
{
  m_requestTokens =
    std::min(m_settings.m_burst, m_requestTokens + m_settings.m_perRequest);
}

bool
ProbeBudget::TryAcquire(TimePoint aNow)
{
  // An earlier time than the last one must not add the same tokens twice.
  if (aNow > m_lastRefillAt) {
    const std::chrono::duration<double> passed = aNow - m_lastRefillAt;
    m_rateTokens =
      std::min(m_settings.m_burst,
               m_rateTokens + m_settings.m_perSecond * passed.count());
    m_lastRefillAt = aNow;
  }
  if (m_rateTokens < 1 || m_requestTokens < 1) {
    return false;
  }
  m_rateTokens -= 1;
  m_requestTokens -= 1;
  ++m_acquiredCount;
  return true;
}

} // namespace sassafrasquay
