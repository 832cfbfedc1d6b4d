// Names of reasons, and the probe budget.
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
  , m_refilled(aNow)
  , m_byRate(aSettings.m_burst)
  , m_byRequest(aSettings.m_burst)
{
}

void
ProbeBudget::OnRequest()
{
  m_byRequest =
    std::min(m_settings.m_burst, m_byRequest + m_settings.m_perRequest);
}

bool
ProbeBudget::TryAcquire(TimePoint aNow)
{
  // A clock reading from before the last one must not add tokens twice.
  if (aNow > m_refilled) {
    const std::chrono::duration<double> passed = aNow - m_refilled;
    m_byRate = std::min(m_settings.m_burst,
                        m_byRate + m_settings.m_perSecond * passed.count());
    m_refilled = aNow;
  }
  if (m_byRate < 1 || m_byRequest < 1) {
    return false;
  }
  m_byRate -= 1;
  m_byRequest -= 1;
  ++m_taken;
  return true;
}

} // namespace sassafrasquay
