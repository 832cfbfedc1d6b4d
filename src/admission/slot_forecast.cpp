// Expected start times of queued requests at one target.
#include "admission/slot_forecast.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sassafrasquay {

SlotForecast::SlotForecast(std::vector<TimePoint> aSlotFree)
  : m_slotFree(std::move(aSlotFree))
{
  std::make_heap(m_slotFree.begin(), m_slotFree.end(), std::greater<>());
}

void
SlotForecast::Place(Duration aServiceTime)
{
  std::pop_heap(m_slotFree.begin(), m_slotFree.end(), std::greater<>());
  m_slotFree.back() += aServiceTime;
  std::push_heap(m_slotFree.begin(), m_slotFree.end(), std::greater<>());
}

} // namespace sassafrasquay
