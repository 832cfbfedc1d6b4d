// Mean service times of one target, by class of request.
#include "admission/service_times.h"

namespace sassafrasquay {

namespace {

// Weight of one completion in the mean service time of its class.
constexpr double kWeight = 0.05;

Duration
Scale(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(FloatSeconds(aDuration) *
                                              aFactor);
}

void
Update(Duration& aMean, Duration aSample)
{
  aMean = aMean <= Duration::zero() ? aSample
                                    : aMean + Scale(aSample - aMean, kWeight);
}

} // namespace

void
ServiceTimes::Add(uint32_t aClass, Duration aServiceTime, double aRelativeTime)
{
  Update(m_classMeans[aClass], Scale(aServiceTime, 1 / aRelativeTime));
  Update(m_mean, aServiceTime);
}

Duration
ServiceTimes::Expected(uint32_t aClass) const
{
  const Duration classMean = ClassMean(aClass);
  return classMean > Duration::zero() ? classMean : m_mean;
}

Duration
ServiceTimes::ClassMean(uint32_t aClass) const
{
  const auto found = m_classMeans.find(aClass);
  return found == m_classMeans.end() ? Duration::zero() : found->second;
}

} // namespace sassafrasquay
