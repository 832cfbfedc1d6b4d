// Adaptive concurrency limit of one target. Internal to admission.
//
// Compares a short-term mean of service times with the target's own long-term
// level. The limit falls in proportion to the slowdown (gradient), falls by a
// factor when the target sheds or fails, and rises by one for each round of
// good completions under load (additive increase).
#pragma once

#include "admission/admission.h"

namespace sassafrasquay {

// What one completed request says about the state of the target.
enum class LimitSignal : uint8_t
{
  None,
  TurnedCold, // latency far above the level, or repeated failures
  WarmedUp    // enough good completions in cold start
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
  // Falls to the cold bound and discards the evidence of warmth. The long-term
  // level is kept: it belongs to the service, not to the process.
  void StartCold();
  // Takes the level of other targets of the service while there is no own one.
  void HintLevel(Duration aTypical);
  // aInFlight includes the request that has just ended.
  LimitSignal OnEnd(const FinishedRequest& aOutcome,
                    uint32_t aInFlight,
                    TimePoint aNow);

  uint32_t Limit() const; // at least 1 with slots, at most the slots
  bool IsCold() const { return m_cold; }
  Duration Typical() const; // short-term mean; zero while unknown

private:
  LimitSignal OnGood(FloatSeconds aTook, uint32_t aInFlight, TimePoint aNow);
  LimitSignal OnFailure(const FinishedRequest& aOutcome, TimePoint aNow);
  LimitSignal ColdEvidence(FloatSeconds aSample, TimePoint aNow);
  double Floor() const;
  FloatSeconds Tolerated() const; // short-term mean that counts as normal
  bool IsFarAboveLevel() const;
  FloatSeconds Sample(FloatSeconds aTook);
  void LearnLevel(FloatSeconds aSample, bool aIsNormal, TimePoint aNow);
  void Adapt(uint32_t aInFlight, TimePoint aNow);
  void Decrease(TimePoint aNow);

  AdmissionSettings m_settings;
  uint32_t m_slots = 0;
  double m_limit = 0;
  bool m_cold = true;
  bool m_ramping = true;  // until the limit has reached the slots once
  double m_short = 0;     // short-term mean in seconds; 0 = unknown
  double m_level = 0;     // long-term level in seconds; 0 = unknown
  double m_deviation = 0; // long-term mean deviation from the level
  uint32_t m_levelCount = 0;
  double m_failures = 0;   // share of recent requests that failed
  uint32_t m_good = 0;     // good completions since the cold start
  double m_windowSum = 0;  // of the current window of a cold start
  double m_lastWindow = 0; // mean of the window before; 0 = none
  TimePoint m_learned{};   // when the level was last updated
  TimePoint m_decreased{}; // when a failure last lowered the limit
};

} // namespace sassafrasquay
