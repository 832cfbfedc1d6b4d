// Mean service times of one target, by class of request. Internal to admission.
#pragma once

#include "core/core.h"

#include <unordered_map>

namespace sassafrasquay {

class ServiceTimes
{
public:
  // aRelativeTime: expected ratio of this service time to the mean of its
  // class, because of the requests that ran beside it.
  void Add(uint32_t aClass, Duration aServiceTime, double aRelativeTime);
  // Mean of the class; of all classes when the class has none. Zero before the
  // first completion.
  Duration Expected(uint32_t aClass) const;
  // Zero when no request of the class has completed.
  Duration ClassMean(uint32_t aClass) const;
  Duration Mean() const { return m_mean; }

private:
  std::unordered_map<uint32_t, Duration> m_classMeans;
  Duration m_mean{}; // over all classes
};

} // namespace sassafrasquay
