// Expected time to a target's response.
#include "routing/score.h"

#include <cmath>

namespace sassafrasquay {

namespace {

// Expected number of requests at the target. Without a recent report the
// average utilisation of the service is assumed, so that the target does not
// count as idle.
double
LoadOf(const TargetEstimate& aEstimate,
       uint32_t aInFlight,
       const ServiceAverages& aAverages,
       TimePoint aNow)
{
  const double usualLoad = aAverages.m_utilisation * aEstimate.m_limit;
  if (!aEstimate.m_hasLoad) {
    return usualLoad + aInFlight;
  }
  // The reported load is outdated after about one service time, its moving
  // average after several seconds.
  const FloatSeconds age = aNow - aEstimate.m_loadAt;
  const double mean = usualLoad + (aEstimate.m_loadMean - usualLoad) *
                                    ExponentialDecay(age, kLoadMeanDecay);
  const double load =
    mean + (aEstimate.m_load - mean) *
             ExponentialDecay(age, FloatSeconds(aAverages.m_latency));
  return std::max<double>(aInFlight, load + aEstimate.m_sentSinceReport);
}

} // namespace

double
ShareOf(const TargetEstimate& aEstimate,
        const RouterSettings& aSettings,
        TimePoint aNow)
{
  const bool full =
    aEstimate.m_rampStartShare >= 1 || aSettings.m_slowStartWindow.count() <= 0;
  if (!aEstimate.m_cold && full) {
    return 1;
  }
  const double age = ToSeconds(aNow - aEstimate.m_rampStartAt);
  if (!aEstimate.m_cold) {
    const double rise = age / ToSeconds(aSettings.m_slowStartWindow);
    return std::min(1.0,
                    aEstimate.m_rampStartShare +
                      rise * (1 - aEstimate.m_rampStartShare));
  }
  const double bound =
    std::min(kMaxColdShare, aEstimate.m_limit / aEstimate.m_slots);
  return std::min(bound, kColdShare + kColdShareGrowth * age);
}

double
LatencyOf(const TargetEstimate& aEstimate,
          double aTypicalLatency,
          const RouterSettings& aSettings,
          TimePoint aNow)
{
  if (aEstimate.m_latency <= 0) {
    return std::max(aTypicalLatency, aEstimate.m_reportedLatency);
  }
  const double decay =
    ExponentialDecay(FloatSeconds(aNow - aEstimate.m_latencyAt),
                     FloatSeconds(aSettings.m_latencyDecay));
  return aTypicalLatency + (aEstimate.m_latency - aTypicalLatency) * decay;
}

ScoreParts
ScoreTarget(const TargetEstimate& aEstimate,
            uint32_t aInFlight,
            const ServiceAverages& aAverages,
            const RouterSettings& aSettings,
            TimePoint aNow)
{
  const double typicalLatency = aAverages.m_latency;
  double latency =
    typicalLatency *
    DampedLatencyRatio(LatencyOf(aEstimate, typicalLatency, aSettings, aNow) /
                       typicalLatency);
  if (aInFlight > 0) {
    // The time without any response is a lower bound of the latency.
    const double silence = ToSeconds(aNow - aEstimate.m_noResponseSince);
    latency = std::max(latency, silence - aEstimate.m_roundTrip);
  }
  ScoreParts parts;
  parts.m_roundTrip = FloatSeconds(aEstimate.m_roundTrip);
  parts.m_latency = FloatSeconds(latency);
  parts.m_limit = aEstimate.m_limit;
  parts.m_load = LoadOf(aEstimate, aInFlight, aAverages, aNow);
  // Number of requests that must end before this one starts; a smoothed maximum
  // of 0 and the excess, because the load is uncertain.
  const double excess = parts.m_load + 1 - aEstimate.m_limit;
  const double width = aEstimate.m_limit;
  const double waiting =
    0.5 * (excess + std::sqrt(excess * excess + width * width));
  parts.m_queue = FloatSeconds(latency * waiting / aEstimate.m_limit);
  if (aEstimate.m_failure > 0) {
    const double failure =
      aEstimate.m_failure *
      ExponentialDecay(FloatSeconds(aNow - aEstimate.m_failureAt),
                       FloatSeconds(aSettings.m_failureDecay));
    parts.m_failure =
      FloatSeconds(typicalLatency * kFailureCost * failure * failure);
  }
  if (aEstimate.m_refusal > 0) {
    parts.m_refusal =
      FloatSeconds(typicalLatency * kRefusalCost * aEstimate.m_refusal *
                   ExponentialDecay(FloatSeconds(aNow - aEstimate.m_refusalAt),
                                    kRefusalDecay));
  }
  return parts;
}

} // namespace sassafrasquay
