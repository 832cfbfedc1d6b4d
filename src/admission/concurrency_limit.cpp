// Adaptive concurrency limit of one target.
#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

// Weight of a new sample in the recent mean: a threefold slowdown exceeds the
// tolerance after three requests.
constexpr double kRecentMeanWeight = 1.0 / 8;
// Cap of a single sample as a multiple of the baseline, so that one upload
// among lookups does not look like a cold start.
constexpr double kMaxSampleRatio = 8;
// Time constant of the baseline, and the maximum weight of one sample.
constexpr double kBaselineSeconds = 30;
// Time constant while the target is slow. The baseline still has to rise, so
// that a target that has become permanently slower does not stay in cold start.
constexpr double kSlowBaselineSeconds = 60;
constexpr uint32_t kBaselineMinSamples = 64; // for a reliable baseline
constexpr double kMaxBaselineWeight = 1.0 / 64;
// Below this ratio of recent mean to baseline, the baseline falls quickly. One
// that was measured during a slow start would hide a later slowdown.
constexpr double kBaselineTooHighRatio = 0.7;
// Slowdown that lowers the limit. Where service times vary much, so does their
// recent mean: its standard deviation is 0.26 of theirs, which is 1.36 mean
// deviations for exponential times, and four of it count as noise. With 1.9
// standard deviations, the limit was low most of the time without cause and
// goodput at 130% load fell to 76% of capacity (bench/admission_policy).
constexpr double kToleratedSlowdown = 1.5;
constexpr double kToleratedDeviations = 4 * 0.26 * 1.36;
// Delays up to this come from the scheduler of a shared VM. Without this
// allowance, a target with a service time of 0.1 ms was repeatedly taken for
// cold.
constexpr double kSchedulingNoiseSeconds = 0.001;
// Slowdown that counts as a new cold start, relative to the baseline and to the
// tolerated service time.
constexpr double kColdStartSlowdown = 4;
constexpr double kColdStartTolerance = 2;
// Three failures in a row exceed the rate: 1 - 0.75^3 = 0.58.
constexpr double kFailureWeight = 0.25;
constexpr double kColdStartFailureRate = 0.55;
// Successful completions that end a cold start when there is a baseline.
// Without one, the window over which service times must have stopped falling.
constexpr uint32_t kCompletionsToWarm = 8;
constexpr double kSteadyRatio = 0.8;
constexpr double kDecreaseFactor = 0.7;

FloatSeconds
InSeconds(Duration aDuration)
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
  m_limit = std::clamp(m_limit, MinLimit(), static_cast<double>(aSlots));
}

void
ConcurrencyLimit::EnterColdStart()
{
  m_cold = true;
  m_ramping = true;
  m_limit = MinLimit();
  m_failureRate = 0;
  m_successes = 0;
  m_windowSum = 0;
  m_lastWindowMean = 0;
}

void
ConcurrencyLimit::SetReferenceServiceTime(Duration aTypical)
{
  if (m_baseline > 0 || aTypical <= Duration(0)) {
    return;
  }
  m_baseline = InSeconds(aTypical).count();
  m_deviation = m_baseline / 2;
  m_baselineSamples = kCompletionsToWarm;
}

ColdStartTransition
ConcurrencyLimit::OnFinished(const FinishedRequest& aFinished,
                             uint32_t aInFlight,
                             TimePoint aNow)
{
  switch (aFinished.m_outcome) {
    case RequestOutcome::Completed:
      return OnSuccess(InSeconds(aFinished.m_serviceTime), aInFlight, aNow);
    case RequestOutcome::Broken:
    case RequestOutcome::TimedOut:
    case RequestOutcome::Cancelled:
      return OnFailure(aFinished, aNow);
    case RequestOutcome::Shed:
      DecreaseLimit(aNow);
      return ColdStartTransition::None;
    case RequestOutcome::Error:
      // A fast error shows neither free capacity nor overload.
      return ColdStartTransition::None;
  }
  return ColdStartTransition::None;
}

uint32_t
ConcurrencyLimit::Limit() const
{
  return static_cast<uint32_t>(m_limit);
}

Duration
ConcurrencyLimit::TypicalServiceTime() const
{
  return std::chrono::duration_cast<Duration>(FloatSeconds(m_recentMean));
}

ColdStartTransition
ConcurrencyLimit::OnSuccess(FloatSeconds aServiceTime,
                            uint32_t aInFlight,
                            TimePoint aNow)
{
  const FloatSeconds sample = AddSample(aServiceTime);
  m_failureRate -= kFailureWeight * m_failureRate;
  if (m_cold) {
    return UpdateColdStart(sample, aNow);
  }
  UpdateBaseline(sample, m_recentMean <= ToleratedServiceTime().count(), aNow);
  if (IsFarAboveBaseline()) {
    return ColdStartTransition::Started;
  }
  AdjustLimit(aInFlight, aNow);
  return ColdStartTransition::None;
}

void
ConcurrencyLimit::AdjustLimit(uint32_t aInFlight, TimePoint aNow)
{
  const double slowdown = m_recentMean / ToleratedServiceTime().count();
  if (slowdown <= 1) {
    if (aInFlight >= Limit()) {
      // The first rise doubles the limit within a service time, so that a burst
      // on a warm target does not wait; later rises are additive.
      const double step = m_ramping ? 1 : 1 / m_limit;
      m_limit = std::min<double>(m_slots, m_limit + step);
    }
    m_ramping = m_ramping && m_limit < m_slots;
    return;
  }
  m_limit = std::max(MinLimit(), std::min(m_limit, m_slots / slowdown));
  if (m_ramping) {
    DecreaseLimit(aNow); // the rise may have caused the slowdown
  }
}

ColdStartTransition
ConcurrencyLimit::OnFailure(const FinishedRequest& aFinished, TimePoint aNow)
{
  const FloatSeconds elapsed = InSeconds(aFinished.m_serviceTime);
  if (aFinished.m_outcome != RequestOutcome::Broken) {
    // A caller's short deadline is not the target's failure, unless the request
    // took clearly longer than usual.
    if (m_baseline == 0 || elapsed <= ToleratedServiceTime()) {
      return ColdStartTransition::None;
    }
    AddSample(elapsed);
  }
  m_failureRate += kFailureWeight * (1 - m_failureRate);
  m_successes = 0;
  if (m_cold) {
    return ColdStartTransition::None;
  }
  if (m_failureRate > kColdStartFailureRate || IsFarAboveBaseline()) {
    return ColdStartTransition::Started;
  }
  DecreaseLimit(aNow);
  return ColdStartTransition::None;
}

ColdStartTransition
ConcurrencyLimit::UpdateColdStart(FloatSeconds aSample, TimePoint aNow)
{
  if (m_baseline > 0) {
    const bool isNormal = m_recentMean <= ToleratedServiceTime().count();
    UpdateBaseline(aSample, isNormal, aNow);
    m_successes = isNormal ? m_successes + 1 : 0;
    if (m_successes < kCompletionsToWarm) {
      return ColdStartTransition::None;
    }
    m_cold = false;
    return ColdStartTransition::Finished;
  }
  m_windowSum += aSample.count();
  if (++m_successes % kCompletionsToWarm != 0) {
    return ColdStartTransition::None;
  }
  const double mean = m_windowSum / kCompletionsToWarm;
  const bool isSteady =
    m_lastWindowMean > 0 && mean >= kSteadyRatio * m_lastWindowMean;
  m_lastWindowMean = mean;
  m_windowSum = 0;
  if (!isSteady) {
    return ColdStartTransition::None;
  }
  m_cold = false;
  m_baseline = mean;
  m_deviation = mean / 2;
  m_baselineSamples = kCompletionsToWarm;
  return ColdStartTransition::Finished;
}

double
ConcurrencyLimit::MinLimit() const
{
  return std::min(std::max(1U, m_settings.m_coldLimit), m_slots);
}

FloatSeconds
ConcurrencyLimit::ToleratedServiceTime() const
{
  const double seconds =
    std::max({ kToleratedSlowdown * m_baseline,
               m_baseline + kToleratedDeviations * m_deviation,
               m_baseline + kSchedulingNoiseSeconds });
  return FloatSeconds(seconds);
}

bool
ConcurrencyLimit::IsFarAboveBaseline() const
{
  return m_baseline > 0 &&
         m_recentMean >
           std::max(kColdStartSlowdown * m_baseline,
                    kColdStartTolerance * ToleratedServiceTime().count());
}

FloatSeconds
ConcurrencyLimit::AddSample(FloatSeconds aServiceTime)
{
  const double cap =
    kMaxSampleRatio * std::max(m_baseline, kSchedulingNoiseSeconds);
  const double sample =
    m_baseline > 0 ? std::min(aServiceTime.count(), cap) : aServiceTime.count();
  m_recentMean = m_recentMean == 0
                   ? sample
                   : m_recentMean + kRecentMeanWeight * (sample - m_recentMean);
  return FloatSeconds(sample);
}

void
ConcurrencyLimit::UpdateBaseline(FloatSeconds aSample,
                                 bool aIsNormal,
                                 TimePoint aNow)
{
  const double elapsed =
    std::max(0.0, InSeconds(aNow - m_baselineUpdated).count());
  m_baselineUpdated = aNow;
  // A plain mean of the first samples, later a moving average over time.
  const double seconds = aIsNormal ? kBaselineSeconds : kSlowBaselineSeconds;
  double weight = std::min(kMaxBaselineWeight, elapsed / seconds);
  if (aIsNormal && m_baselineSamples < kBaselineMinSamples) {
    ++m_baselineSamples;
    weight = std::max(weight, 1.0 / m_baselineSamples);
  }
  m_baseline += weight * (aSample.count() - m_baseline);
  if (aIsNormal) { // a slowdown is not normal variation
    m_deviation +=
      weight * (std::abs(aSample.count() - m_baseline) - m_deviation);
  }
  if (m_recentMean < kBaselineTooHighRatio * m_baseline) {
    m_baseline += (m_recentMean - m_baseline) * kMaxBaselineWeight;
  }
}

void
ConcurrencyLimit::DecreaseLimit(TimePoint aNow)
{
  // At most once per typical service time, because all requests in flight
  // report the same event.
  if (aNow - m_decreased < TypicalServiceTime()) {
    return;
  }
  m_decreased = aNow;
  m_limit = std::max(MinLimit(), m_limit * kDecreaseFactor);
}

} // namespace sassafrasquay
