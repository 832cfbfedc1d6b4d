// Times at which refused callers should return to one target. Internal to
// admission.
//
// Callers that are refused together and told the same delay return together
// and are refused again. Each refused caller gets a time of its own, at the
// rate at which the target can take requests.
#pragma once

#include "core/core.h"

#include <map>

namespace sassafrasquay {

struct ReturnRequest
{
  Duration m_earliest{};  // until room is expected
  Duration m_latest{};    // a later return is of no use to the caller
  double m_perSecond = 0; // requests that the target completes
  uint8_t m_priority = 0; // takes the times of callers of lower priority
};

class ReturnSchedule
{
public:
  // Delay until the caller should return. When all times up to m_latest are
  // taken, the callers that are left over are spread evenly over the time that
  // they have, as earlier ones may not return.
  Duration Book(const ReturnRequest& aRequest, TimePoint aNow);

private:
  // First time that is not taken by the same or a higher priority.
  std::map<uint8_t, TimePoint> m_next;
  double m_position = 0; // of the last caller without a time of its own, 0 to 1
};

} // namespace sassafrasquay
