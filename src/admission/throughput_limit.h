// Number of concurrent requests with the highest throughput of one target.
// Internal to admission.
//
// Some targets slow down so much when nearly full that fewer concurrent
// requests give a higher throughput.
#pragma once

#include "core/core.h"

namespace sassafrasquay {

class ThroughputLimit
{
public:
  // Starts anew when the number of slots changes.
  void SetSlots(uint32_t aSlots);
  // Records the service time of a request divided by the mean of its class.
  // aConcurrency: requests in flight when it started, with itself. Returns what
  // is expected of this ratio at that concurrency; 1 up to half of the slots.
  double Add(uint32_t aConcurrency, double aRelativeTime);
  // Raises the limit to the slots until the next Add, to measure service times
  // at high concurrency again.
  void Explore() { m_limit = m_slots; }
  uint32_t Slots() const { return m_slots; }
  uint32_t Limit() const { return m_limit; }

private:
  void Update();

  uint32_t m_slots = 0;
  uint32_t m_limit = 0; // at most the slots
  // With 1, 2, ... requests in flight.
  std::vector<double> m_relativeTimes;
  std::vector<uint32_t> m_samples;
};

} // namespace sassafrasquay
