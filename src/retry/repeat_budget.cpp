// Sliding windows of first arrivals and repeats at one target.
#include "retry/repeat_budget.h"

#include <algorithm>
#include <deque>

namespace sassafrasquay {

namespace {

class WindowedRepeatBudget : public RepeatBudget
{
public:
  WindowedRepeatBudget(RepeatBudgetSettings aSettings, TimePoint aStart)
    : m_settings(aSettings)
    , m_start(aStart)
  {
  }

  void SetTargetCount(size_t aTargets, TimePoint aNow) override;
  void OnFirstArrival(bool aRejected, TimePoint aNow) override
  {
    Expire(aNow);
    if (!aRejected) {
      m_firstArrivals.push_back(aNow);
    }
  }
  bool HasRoom(RepeatKind aKind, TimePoint aNow) override;
  bool TryTake(RepeatKind aKind, TimePoint aNow) override;

private:
  struct TargetCount
  {
    TimePoint m_replacedAt; // when a later count took its place
    size_t m_targets = 0;
  };

  void Expire(TimePoint aNow);
  bool IsBelow(const RepeatLimit& aLimit,
               const std::deque<TimePoint>& aRepeats,
               TimePoint aNow) const;

  RepeatBudgetSettings m_settings;
  TimePoint m_start;
  std::deque<TimePoint> m_firstArrivals;   // not rejected; in the last window
  std::deque<TimePoint> m_repeats;         // within the last window
  std::deque<TimePoint> m_executedRepeats; // not of rejected requests
  size_t m_targets = 0;
  std::deque<TargetCount> m_earlierCounts; // in force within the last window
};

void
WindowedRepeatBudget::Expire(TimePoint aNow)
{
  const TimePoint oldest = aNow - m_settings.m_window;
  for (std::deque<TimePoint>* events :
       { &m_firstArrivals, &m_repeats, &m_executedRepeats }) {
    while (!events->empty() && events->front() <= oldest) {
      events->pop_front();
    }
  }
  while (!m_earlierCounts.empty() &&
         m_earlierCounts.front().m_replacedAt <= oldest) {
    m_earlierCounts.pop_front();
  }
}

void
WindowedRepeatBudget::SetTargetCount(size_t aTargets, TimePoint aNow)
{
  if (aTargets == m_targets) {
    return;
  }
  Expire(aNow);
  if (aTargets < m_targets) {
    // Smaller earlier counts have no effect beside this one.
    while (!m_earlierCounts.empty() &&
           m_earlierCounts.back().m_targets <= m_targets) {
      m_earlierCounts.pop_back();
    }
    m_earlierCounts.push_back({ aNow, m_targets });
  }
  m_targets = aTargets;
}

bool
WindowedRepeatBudget::IsBelow(const RepeatLimit& aLimit,
                              const std::deque<TimePoint>& aRepeats,
                              TimePoint aNow) const
{
  if (aLimit.m_ratio <= 0) {
    return true;
  }
  double limit = aLimit.m_ratio * static_cast<double>(m_firstArrivals.size());
  if (m_targets > 0 && aNow - m_start >= m_settings.m_window) {
    // The earlier counts fall from front to back.
    const size_t targets =
      m_earlierCounts.empty()
        ? m_targets
        : std::max(m_targets, m_earlierCounts.front().m_targets);
    limit += aLimit.m_burst / static_cast<double>(targets);
  }
  return static_cast<double>(aRepeats.size()) + 1 <= limit;
}

bool
WindowedRepeatBudget::HasRoom(RepeatKind aKind, TimePoint aNow)
{
  Expire(aNow);
  if (!IsBelow(m_settings.m_all, m_repeats, aNow)) {
    return false;
  }
  if (aKind == RepeatKind::Rejected) {
    return true;
  }
  return IsBelow(m_settings.m_executed, m_executedRepeats, aNow) &&
         (aKind == RepeatKind::Executed ||
          IsBelow(m_settings.m_extraCopies, m_executedRepeats, aNow));
}

bool
WindowedRepeatBudget::TryTake(RepeatKind aKind, TimePoint aNow)
{
  if (!HasRoom(aKind, aNow)) {
    return false;
  }
  m_repeats.push_back(aNow);
  if (aKind != RepeatKind::Rejected) {
    m_executedRepeats.push_back(aNow);
  }
  return true;
}

RepeatLimit
Share(const RepeatLimit& aLimit, double aShare)
{
  return { aShare * aLimit.m_ratio, aShare * aLimit.m_burst };
}

} // namespace

RepeatBudgetSettings
RepeatBudgetFor(const RepeatLimit& aDeployment, Duration aWindow)
{
  // Every repeat may be executed, also the first execution of a request that a
  // target rejected before, and the calls of that execution count as repeats at
  // the services that it calls. With two calls each, a called service gets its
  // own repeats and twice those of its caller.
  constexpr double kUsedShare = 1.0 / 3;
  constexpr double kExecutedShare = 0.25;
  // Retries after failures find at least half of their part unused.
  constexpr double kExtraCopyShare = kExecutedShare / 2;
  RepeatBudgetSettings settings;
  settings.m_all = Share(aDeployment, kUsedShare);
  settings.m_executed = Share(aDeployment, kExecutedShare);
  settings.m_extraCopies = Share(aDeployment, kExtraCopyShare);
  if (aWindow > Duration::zero()) {
    settings.m_window = aWindow;
  }
  return settings;
}

std::unique_ptr<RepeatBudget>
MakeRepeatBudget(RepeatBudgetSettings aSettings, TimePoint aStart)
{
  return std::make_unique<WindowedRepeatBudget>(aSettings, aStart);
}

} // namespace sassafrasquay
