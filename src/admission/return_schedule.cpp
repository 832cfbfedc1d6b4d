// Times at which refused callers should return to one target.
#include "admission/return_schedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace sassafrasquay {

namespace {

// Multiples of the golden ratio modulo 1 fill an interval evenly.
constexpr double kGoldenRatio = 0.6180339887498949;

} // namespace

Duration
ReturnSchedule::Book(const ReturnRequest& aRequest, TimePoint aNow)
{
  const Duration latest = std::max(Duration::zero(), aRequest.m_latest);
  const Duration earliest =
    std::clamp(aRequest.m_earliest, Duration::zero(), latest);
  const auto [next, isNew] = m_next.try_emplace(aRequest.m_priority);
  if (isNew && std::next(next) != m_next.end()) {
    next->second = std::next(next)->second;
  }
  const TimePoint time = std::max(next->second, aNow + earliest);
  if (time > aNow + latest || aRequest.m_perSecond <= 0) {
    m_position = std::fmod(m_position + kGoldenRatio, 1.0);
    return earliest + std::chrono::duration_cast<Duration>((latest - earliest) *
                                                           m_position);
  }
  const auto interval = std::chrono::duration_cast<Duration>(
    FloatSeconds(1 / aRequest.m_perSecond));
  for (auto lower = m_next.begin(); lower != std::next(next); ++lower) {
    lower->second = std::max(lower->second, time) + interval;
  }
  return time - aNow;
}

} // namespace sassafrasquay
