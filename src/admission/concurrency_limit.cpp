// Adaptive concurrency limit of one target.
#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

// Weight of a new sample in the short-term mean: a threefold slowdown passes
// the tolerance after three requests.
constexpr double kShortWeight = 1.0 / 8;
// A single sample counts at most this many levels, so that one upload among
// lookups does not look like a cold target.
constexpr double kSampleCap = 8;
// Long-term level: time constant, and the most that one sample may weigh.
constexpr double kLevelSeconds = 30;
// While the target looks slow the level follows more slowly, but it follows: a
// target that has become slower for good must not stay in cold start.
constexpr double kSlowLevelSeconds = 60;
constexpr uint32_t kLevelLearnt = 64; // samples that make a level reliable
constexpr double kLevelWeight = 1.0 / 64;
// Below this ratio the level follows the short-term mean quickly; a level
// learnt in a slow start would hide a later slowdown.
constexpr double kLevelTooHigh = 0.7;
// Slowdown that lowers the limit. Where service times vary much, so does their
// short-term mean: its standard deviation is 0.26 of theirs, which is 1.36 mean
// deviations for exponential times, and four of it are taken for noise. With
// 1.9 standard deviations, the limit was low most of the time without cause and
// goodput at 130% load fell to 76% of capacity (bench/admission_policy).
constexpr double kTolerance = 1.5;
constexpr double kNoise = 4 * 0.26 * 1.36;
// Slowdowns below this come from the scheduler of a shared VM, in seconds. A
// target with a service time of 0.1 ms was taken for cold again and again.
constexpr double kSchedulingNoise = 0.001;
// Slowdown that counts as a return to cold start, against the level and against
// what is tolerated.
constexpr double kColdFactor = 4;
constexpr double kColdTolerated = 2;
// Three failures in a row reach it: 1 - 0.75^3 = 0.58.
constexpr double kFailureWeight = 0.25;
constexpr double kFailuresOfCold = 0.55;
// Good completions that end a cold start when the level is known, and the
// window over which service times must have stopped falling when it is not.
constexpr uint32_t kGoodToWarm = 8;
constexpr double kSteadyRatio = 0.8;
constexpr double kDecrease = 0.7;

FloatSeconds
Seconds(Duration aDuration)
{
  return { aDuration };
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const AdmissionSettings& aSettings)
  : m_settings(aSettings)
{
}

void
ConcurrencyLimit::SetSlots(uint32_t aSlots)
{
  m_slots = aSlots;
  m_limit = std::clamp(m_limit, Floor(), static_cast<double>(aSlots));
}

void
ConcurrencyLimit::StartCold()
{
  m_cold = true;
  m_ramping = true;
  m_limit = Floor();
  m_failures = 0;
  m_good = 0;
  m_windowSum = 0;
  m_lastWindow = 0;
}

void
ConcurrencyLimit::HintLevel(Duration aTypical)
{
  if (m_level > 0 || aTypical <= Duration(0)) {
    return;
  }
  m_level = Seconds(aTypical).count();
  m_deviation = m_level / 2;
  m_levelCount = kGoodToWarm;
}

LimitSignal
ConcurrencyLimit::OnEnd(const FinishedRequest& aOutcome,
                        uint32_t aInFlight,
                        TimePoint aNow)
{
  switch (aOutcome.m_end) {
    case RequestOutcome::Completed:
      return OnGood(Seconds(aOutcome.m_serviceTime), aInFlight, aNow);
    case RequestOutcome::Broken:
    case RequestOutcome::TimedOut:
    case RequestOutcome::Cancelled:
      return OnFailure(aOutcome, aNow);
    case RequestOutcome::Shed:
      Decrease(aNow);
      return LimitSignal::None;
    case RequestOutcome::Error:
      // A fast error says nothing about capacity in either direction.
      return LimitSignal::None;
  }
  return LimitSignal::None;
}

uint32_t
ConcurrencyLimit::Limit() const
{
  return static_cast<uint32_t>(m_limit);
}

Duration
ConcurrencyLimit::Typical() const
{
  return std::chrono::duration_cast<Duration>(FloatSeconds(m_short));
}

LimitSignal
ConcurrencyLimit::OnGood(FloatSeconds aTook, uint32_t aInFlight, TimePoint aNow)
{
  const FloatSeconds sample = Sample(aTook);
  m_failures -= kFailureWeight * m_failures;
  if (m_cold) {
    return ColdEvidence(sample, aNow);
  }
  LearnLevel(sample, m_short <= Tolerated().count(), aNow);
  if (IsFarAboveLevel()) {
    return LimitSignal::TurnedCold;
  }
  Adapt(aInFlight, aNow);
  return LimitSignal::None;
}

void
ConcurrencyLimit::Adapt(uint32_t aInFlight, TimePoint aNow)
{
  const double slowdown = m_short / Tolerated().count();
  if (slowdown <= 1) {
    if (aInFlight >= Limit()) {
      // The first rise doubles within a service time, since a burst on a warm
      // target must not wait for a slow rise; later ones are additive.
      const double step = m_ramping ? 1 : 1 / m_limit;
      m_limit = std::min<double>(m_slots, m_limit + step);
    }
    m_ramping = m_ramping && m_limit < m_slots;
    return;
  }
  m_limit = std::max(Floor(), std::min(m_limit, m_slots / slowdown));
  if (m_ramping) {
    Decrease(aNow); // the rise itself may be what made it slow
  }
}

LimitSignal
ConcurrencyLimit::OnFailure(const FinishedRequest& aOutcome, TimePoint aNow)
{
  const FloatSeconds elapsed = Seconds(aOutcome.m_serviceTime);
  if (aOutcome.m_end != RequestOutcome::Broken) {
    // A caller's short deadline is no evidence against the target, unless it
    // waited clearly longer than the target usually takes.
    if (m_level == 0 || elapsed <= Tolerated()) {
      return LimitSignal::None;
    }
    Sample(elapsed);
  }
  m_failures += kFailureWeight * (1 - m_failures);
  m_good = 0;
  if (m_cold) {
    return LimitSignal::None;
  }
  if (m_failures > kFailuresOfCold || IsFarAboveLevel()) {
    return LimitSignal::TurnedCold;
  }
  Decrease(aNow);
  return LimitSignal::None;
}

LimitSignal
ConcurrencyLimit::ColdEvidence(FloatSeconds aSample, TimePoint aNow)
{
  if (m_level > 0) {
    const bool isNormal = m_short <= Tolerated().count();
    LearnLevel(aSample, isNormal, aNow);
    m_good = isNormal ? m_good + 1 : 0;
    if (m_good < kGoodToWarm) {
      return LimitSignal::None;
    }
    m_cold = false;
    return LimitSignal::WarmedUp;
  }
  m_windowSum += aSample.count();
  if (++m_good % kGoodToWarm != 0) {
    return LimitSignal::None;
  }
  const double mean = m_windowSum / kGoodToWarm;
  const bool isSteady = m_lastWindow > 0 && mean >= kSteadyRatio * m_lastWindow;
  m_lastWindow = mean;
  m_windowSum = 0;
  if (!isSteady) {
    return LimitSignal::None;
  }
  m_cold = false;
  m_level = mean;
  m_deviation = mean / 2;
  m_levelCount = kGoodToWarm;
  return LimitSignal::WarmedUp;
}

double
ConcurrencyLimit::Floor() const
{
  return std::min(std::max(1U, m_settings.m_coldLimit), m_slots);
}

FloatSeconds
ConcurrencyLimit::Tolerated() const
{
  const double seconds = std::max({ kTolerance * m_level,
                                    m_level + kNoise * m_deviation,
                                    m_level + kSchedulingNoise });
  return FloatSeconds(seconds);
}

bool
ConcurrencyLimit::IsFarAboveLevel() const
{
  return m_level > 0 &&
         m_short > std::max(kColdFactor * m_level,
                            kColdTolerated * Tolerated().count());
}

FloatSeconds
ConcurrencyLimit::Sample(FloatSeconds aTook)
{
  const double cap = kSampleCap * std::max(m_level, kSchedulingNoise);
  const double sample =
    m_level > 0 ? std::min(aTook.count(), cap) : aTook.count();
  m_short = m_short == 0 ? sample : m_short + kShortWeight * (sample - m_short);
  return FloatSeconds(sample);
}

void
ConcurrencyLimit::LearnLevel(FloatSeconds aSample,
                             bool aIsNormal,
                             TimePoint aNow)
{
  const double elapsed = std::max(0.0, Seconds(aNow - m_learned).count());
  m_learned = aNow;
  // The mean of all samples at first, later an average over time.
  const double seconds = aIsNormal ? kLevelSeconds : kSlowLevelSeconds;
  double weight = std::min(kLevelWeight, elapsed / seconds);
  if (aIsNormal && m_levelCount < kLevelLearnt) {
    ++m_levelCount;
    weight = std::max(weight, 1.0 / m_levelCount);
  }
  m_level += weight * (aSample.count() - m_level);
  if (aIsNormal) { // a slowdown must not pass for the usual spread
    m_deviation += weight * (std::abs(aSample.count() - m_level) - m_deviation);
  }
  if (m_short < kLevelTooHigh * m_level) {
    m_level += (m_short - m_level) * kLevelWeight;
  }
}

void
ConcurrencyLimit::Decrease(TimePoint aNow)
{
  // At most once for each typical service time: the requests in flight
  // together report the same event.
  if (aNow - m_decreased < Typical()) {
    return;
  }
  m_decreased = aNow;
  m_limit = std::max(Floor(), m_limit * kDecrease);
}

} // namespace sassafrasquay
