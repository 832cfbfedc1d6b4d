// Estimates that the production router keeps of targets and services. Internal
// to this library.
//
// Index of this file
//   [1] Constants and formulas
//   [2] Estimates
#pragma once

#include "core/core.h"

#include <algorithm>
#include <unordered_map>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Constants and formulas
//-----------------------------------------------------------------------------

// Gains of the latency estimate. A slow response has a high weight and a fast
// one a low weight, so the estimate follows a target's tail latency, not its
// mean.
inline constexpr double kLatencyRiseGain = 0.25;
inline constexpr double kLatencyFallGain = 0.02;
// Latency estimates of equal targets differ by about this fraction by chance.
inline constexpr double kLatencyTolerance = 0.25;
// Limits the penalty of a slow target, so that it is still used when the queues
// of the others are full: at 95% load with a noisy neighbour (bench/policy,
// seed 2) goodput is 96.9% with this limit and 96.2% without it.
inline constexpr double kMaxLatencyRatio = 2;
// Weight of one sample in the averages of a service.
inline constexpr double kAverageGain = 0.02;
// Latency estimate until the first response, in seconds.
inline constexpr double kInitialLatency = 0.010;

// With 0.3, a failure rate of 5% at all targets unbalances the load: in
// bench/policy in calm p99 rises from 60 to 65 ms.
inline constexpr double kFailureGain = 0.15;
// Higher than kFailureGain: a failed connection is stronger evidence of a
// broken target than one failed response.
inline constexpr double kUnreachableGain = 0.6;
// Each successful response multiplies the failure score by this factor.
inline constexpr double kSuccessFactor = 0.8;
// Penalty for a failure score of 1, in average latencies of the service.
inline constexpr double kFailureCost = 20;

inline constexpr double kRefusalGain = 0.3;
inline constexpr FloatSeconds kRefusalDecay{ 1 };
inline constexpr double kRefusalCost = 1; // in average latencies
inline constexpr double kLoadMeanGain = 0.1;
inline constexpr FloatSeconds kLoadMeanDecay{ 10 };

// Share of a cold target's requests, relative to a warm one. It is small
// because the concurrency limit of a cold target is about a sixth of its slots
// and each request takes several times as long.
inline constexpr double kColdShare = 0.03;
inline constexpr double kColdShareGrowth = 0.01; // per second
inline constexpr double kMaxColdShare = 0.2;
// Share of a new, restarted or returned target when its slow start begins.
inline constexpr double kRampStartShare = 0.05;

// More candidates are drawn while the best score exceeds the average latency of
// the service by this factor.
inline constexpr double kExtraDrawThreshold = 1.3;

// One choice in 128 explores a random target if it was not chosen for 10 s, so
// that the recovery of a slow target is noticed.
inline constexpr uint64_t kExploreMask = 127;
inline constexpr Duration kExploreIdle = std::chrono::seconds(10);

// Choices that an explanation samples for its probabilities; about a
// millisecond of work.
inline constexpr int kExplainTrials = 1000;

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// exp(-x) for x = age / time constant, approximated as (1 + x / 16)^-16. The
// hot path computes it up to four times for each candidate: a decision among 16
// targets takes 819 ns with std::exp and 651 ns with the approximation.
inline double
ExponentialDecay(FloatSeconds aAge, FloatSeconds aTimeConstant)
{
  const double age = std::max(0.0, aAge.count());
  const double base =
    1 / (1 + age / (16 * std::max(aTimeConstant.count(), 1e-9)));
  const double fourth = base * base * base * base;
  return fourth * fourth * fourth * fourth;
}

// Reduces the deviation of a latency ratio from 1 by the tolerance, and limits
// the result. A ratio within the tolerance becomes 1.
inline double
DampedLatencyRatio(double aRatio)
{
  if (aRatio > 1 + kLatencyTolerance) {
    return std::min(kMaxLatencyRatio, aRatio - kLatencyTolerance);
  }
  return aRatio < 1 - kLatencyTolerance ? aRatio + kLatencyTolerance : 1;
}

//-----------------------------------------------------------------------------
// [2] Estimates
//-----------------------------------------------------------------------------

struct TargetEstimate
{
  double m_roundTrip = 0;  // network round trip time, seconds
  double m_latency = 0;    // tail of the service time, seconds; 0: unknown
  TimePoint m_latencyAt{}; // time of the last sample
  double m_reportedLatency = 0;
  double m_load = 0;     // reported requests, in flight and queued
  double m_loadMean = 0; // moving average of m_load
  double m_limit = 1;    // reported concurrency limit, or slots
  double m_slots = 1;
  TimePoint m_loadAt{};
  bool m_hasLoad = false;
  uint32_t m_sentSinceReport = 0; // requests of this node since the report
  double m_failure = 0;           // failure score, 0 to 1
  TimePoint m_failureAt{};
  double m_refusal = 0; // refusal score, 0 to 1
  TimePoint m_refusalAt{};
  bool m_cold = false;
  bool m_membershipCold = false; // last value from membership
  double m_rampStartShare = 1;   // share at m_rampStartAt
  TimePoint m_rampStartAt{};
  TimePoint m_lastChosenAt{};
  // Last end of an attempt, or the send time of the first request in flight.
  TimePoint m_noResponseSince{};
  uint64_t m_incarnation = 0;
};

// Averages over the targets of a service.
struct ServiceAverages
{
  double m_latency = kInitialLatency; // latency estimate, seconds
  double m_utilisation = 0;        // reported load as a fraction of the limit
  double m_latencySamples = 0;     // number of samples in m_latency
  double m_utilisationSamples = 0; // number of samples in m_utilisation

  // Counts a sample and returns its weight. The first samples have equal
  // weights; otherwise the first one would dominate for minutes on an entry
  // node with little traffic.
  static double Gain(double& aCount)
  {
    aCount += 1;
    return std::max(kAverageGain, 1 / aCount);
  }
};

// Mean response size of each class of requests.
class ClassSizes
{
public:
  // In bytes; 0 for a class without samples.
  double Mean(uint32_t aClass) const
  {
    const auto found = m_means.find(aClass);
    return found == m_means.end() ? 0 : found->second;
  }
  void Add(uint32_t aClass, uint64_t aBytes)
  {
    // The operators choose the classes; bounds the memory all the same.
    if (m_means.size() >= kMaxClasses && !m_means.contains(aClass)) {
      m_means.clear();
    }
    const auto bytes = static_cast<double>(aBytes);
    const auto [entry, isNew] = m_means.try_emplace(aClass, bytes);
    entry->second += isNew ? 0 : kAverageGain * (bytes - entry->second);
  }

private:
  static constexpr size_t kMaxClasses = 1024;

  std::unordered_map<uint32_t, double> m_means;
};

} // namespace sassafrasquay
