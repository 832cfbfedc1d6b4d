// Slots that short, urgent requests need at one target.
#include "admission/urgent_load.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

constexpr Duration kIntervalLength = std::chrono::milliseconds(200);
constexpr Duration kWindow = std::chrono::seconds(1);
// A request keeps others waiting only if it takes several times as long.
constexpr int kMinLengthRatio = 4;
// Part of the slots that is left to urgent requests at most.
constexpr uint32_t kMaxReservedPart = 3;

int64_t
IntervalOf(TimePoint aTime)
{
  return aTime.time_since_epoch() / kIntervalLength;
}

} // namespace

void
UrgentLoad::OnOffer(uint8_t aPriority, Duration aServiceTime, TimePoint aNow)
{
  const int64_t number = IntervalOf(aNow);
  Interval& interval =
    m_intervals[static_cast<size_t>(number) % m_intervals.size()];
  if (interval.m_number != number) {
    interval.m_number = number;
    interval.m_arrivals.clear();
  }
  Arrivals& arrivals = interval.m_arrivals[aPriority];
  arrivals.m_work += aServiceTime;
  ++arrivals.m_count;
}

uint32_t
UrgentLoad::SlotsAbove(uint8_t aPriority,
                       Duration aServiceTime,
                       uint32_t aSlots,
                       TimePoint aNow) const
{
  const int64_t oldest = IntervalOf(aNow) - static_cast<int64_t>(kIntervals);
  Duration work{};
  for (const Interval& interval : m_intervals) {
    if (interval.m_number <= oldest) {
      continue;
    }
    for (const auto& [priority, arrivals] : interval.m_arrivals) {
      if (priority > aPriority && kMinLengthRatio * arrivals.m_work <=
                                    aServiceTime * arrivals.m_count) {
        work += arrivals.m_work;
      }
    }
  }
  if (work <= Duration::zero()) {
    return 0;
  }
  // Arrivals vary by about the square root of their mean. Rounded, because a
  // few short requests are not worth a slot.
  const double mean = FloatSeconds(work) / FloatSeconds(kWindow);
  const auto needed = static_cast<uint32_t>(std::round(mean + std::sqrt(mean)));
  return std::min(needed, aSlots / kMaxReservedPart);
}

TimePoint
UrgentLoad::NextChange(TimePoint aNow) const
{
  return TimePoint((IntervalOf(aNow) + 1) * kIntervalLength);
}

} // namespace sassafrasquay
