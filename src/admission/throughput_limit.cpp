// Number of concurrent requests with the highest throughput of one target.
#include "admission/throughput_limit.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// Weight of one completion in the relative service time at its concurrency;
// low, because single service times differ by a factor of two. The first ones
// weigh more, so that the limit is known within a second of overload.
constexpr double kRelativeTimeWeight = 0.05;
constexpr double kInitialSamples = 2; // weight of the assumed value of 1
// Estimated gain in throughput that justifies a limit below the slots.
constexpr double kMinThroughputGain = 1.07;

} // namespace

void
ThroughputLimit::SetSlots(uint32_t aSlots)
{
  if (aSlots != m_slots) {
    m_slots = aSlots;
    m_relativeTimes.assign(aSlots, 1.0);
    m_samples.assign(aSlots, 0);
    m_limit = aSlots;
  }
}

double
ThroughputLimit::Add(uint32_t aConcurrency, double aRelativeTime)
{
  if (aConcurrency <= m_slots / 2 || aConcurrency > m_slots) {
    return 1;
  }
  double& relativeTime = m_relativeTimes[aConcurrency - 1];
  const double samples = kInitialSamples + ++m_samples[aConcurrency - 1];
  relativeTime +=
    std::max(kRelativeTimeWeight, 1 / samples) * (aRelativeTime - relativeTime);
  Update();
  return relativeTime;
}

void
ThroughputLimit::Update()
{
  m_limit = m_slots;
  double bestThroughput = m_slots / m_relativeTimes.back() * kMinThroughputGain;
  for (uint32_t count = m_slots - 1; count > m_slots / 2; --count) {
    const double throughput = count / m_relativeTimes[count - 1];
    if (throughput > bestThroughput) {
      bestThroughput = throughput;
      m_limit = count;
    }
  }
}

} // namespace sassafrasquay
