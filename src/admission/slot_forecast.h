// Expected start times of queued requests at one target. Internal to admission.
#pragma once

#include "core/core.h"

namespace sassafrasquay {

class SlotForecast
{
public:
  // aSlotFree: for each slot, when its running request is expected to end.
  explicit SlotForecast(std::vector<TimePoint> aSlotFree);

  // Start of the next request in the queue.
  TimePoint NextStart() const { return m_slotFree.front(); }
  // Puts the next request into its slot.
  void Place(Duration aServiceTime);

private:
  std::vector<TimePoint> m_slotFree; // a heap, the earliest first
};

} // namespace sassafrasquay
