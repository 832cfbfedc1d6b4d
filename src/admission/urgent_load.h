// Slots that short, urgent requests need at one target. Internal to admission.
//
// A queue in the order of urgency is not enough when long requests of low
// priority hold every slot: a short request then waits for one of them to end,
// longer than its caller can wait. While urgent requests arrive, long and less
// urgent ones leave the slots free that the urgent ones use.
#pragma once

#include "core/core.h"

#include <array>
#include <map>

namespace sassafrasquay {

class UrgentLoad
{
public:
  // Records the arrival of a request.
  void OnOffer(uint8_t aPriority, Duration aServiceTime, TimePoint aNow);
  // Slots to leave to requests of higher priority that are much shorter, as
  // they arrived in the last second. At most a third of aSlots.
  uint32_t SlotsAbove(uint8_t aPriority,
                      Duration aServiceTime,
                      uint32_t aSlots,
                      TimePoint aNow) const;
  // The result of SlotsAbove may fall at this time without further events.
  TimePoint NextChange(TimePoint aNow) const;

private:
  struct Arrivals
  {
    Duration m_work{};
    uint32_t m_count = 0;
  };
  struct Interval
  {
    int64_t m_number = -1;                  // since the epoch of TimePoint
    std::map<uint8_t, Arrivals> m_arrivals; // by priority
  };

  static constexpr size_t kIntervals = 5;

  std::array<Interval, kIntervals> m_intervals;
};

} // namespace sassafrasquay
