// Adaptive concurrency limit of one target. Internal to admission.
//
// Compares a mean of recent service times with the target's long-term baseline.
// The limit falls in proportion to the slowdown (gradient), falls by a factor
// when the target sheds or fails, and rises by one for each round of successful
// completions under load (additive increase).
#pragma once

#include "admission/admission.h"

namespace sassafrasquay {

// Change of the cold start that a finished request causes.
enum class ColdStartTransition : uint8_t
{
  None,
  Started, // service times far above the baseline, or repeated failures
  Finished // enough successful completions in the cold start
};

class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const AdmissionSettings& aSettings);

  void SetSlots(uint32_t aSlots);
  void SetSettings(const AdmissionSettings& aSettings)
  {
    m_settings = aSettings;
  }
  // Lowers the limit to that of a cold start and restarts the count of
  // successful completions. The baseline is kept: it is a property of the
  // service, not of the process.
  void EnterColdStart();
  // Baseline of other targets of the service, used while this one has none.
  void SetReferenceServiceTime(Duration aTypical);
  // aInFlight includes the finished request.
  ColdStartTransition OnFinished(const FinishedRequest& aFinished,
                                 uint32_t aInFlight,
                                 TimePoint aNow);

  uint32_t Limit() const; // 1 to the number of slots; 0 without slots
  bool IsCold() const { return m_cold; }
  Duration TypicalServiceTime() const; // recent mean; zero: unknown

private:
  ColdStartTransition OnSuccess(FloatSeconds aServiceTime,
                                uint32_t aInFlight,
                                TimePoint aNow);
  ColdStartTransition OnFailure(const FinishedRequest& aFinished,
                                TimePoint aNow);
  ColdStartTransition UpdateColdStart(FloatSeconds aSample, TimePoint aNow);
  double MinLimit() const;
  FloatSeconds ToleratedServiceTime() const; // highest normal recent mean
  bool IsFarAboveBaseline() const;
  FloatSeconds AddSample(FloatSeconds aServiceTime);
  void UpdateBaseline(FloatSeconds aSample, bool aIsNormal, TimePoint aNow);
  void AdjustLimit(uint32_t aInFlight, TimePoint aNow);
  void DecreaseLimit(TimePoint aNow);

  AdmissionSettings m_settings;
  uint32_t m_slots = 0;
  double m_limit = 0;
  bool m_cold = true;
  bool m_ramping = true;   // until the limit has reached the slots once
  double m_recentMean = 0; // in seconds; 0 = unknown
  double m_baseline = 0;   // in seconds; 0 = unknown
  double m_deviation = 0;  // mean deviation from the baseline
  uint32_t m_baselineSamples = 0;
  double m_failureRate = 0;      // share of recent requests
  uint32_t m_successes = 0;      // since the cold start
  double m_windowSum = 0;        // of the current window of the cold start
  double m_lastWindowMean = 0;   // 0 = none
  TimePoint m_baselineUpdated{}; // time of the last update
  TimePoint m_decreased{};       // time of the last DecreaseLimit
};

} // namespace sassafrasquay
