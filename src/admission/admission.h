// Admission beside the target: the only place that knows its slots exactly.
//
// Pure decision code: events with their time in, actions out.
//
// Index of this file
//   [1] Requests and verdicts
//   [2] Ends of requests
//   [3] Settings
//   [4] Admission interface
//   [5] Factory
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Requests and verdicts
//-----------------------------------------------------------------------------

struct AdmissionRequest
{
  CallId m_call;
  TimePoint m_deadline;     // past it the answer is worthless
  uint8_t m_priority = 100; // higher is more important; by service settings
  // Past it the answer is worth little; max(): no latency objective.
  TimePoint m_latencyObjective = TimePoint::max();
  uint32_t m_class = 0;   // requests of one class take similar work
  bool m_mayQueue = true; // else refused when it cannot start at once
};

enum class AdmissionVerdict : uint8_t
{
  Admitted, // dispatch now; Finish must follow
  Queued,   // an QueuedCallVerdict for this call follows
  Refused   // not run and will not run; m_code says why
};

struct AdmissionResult
{
  AdmissionVerdict m_verdict = AdmissionVerdict::Refused;
  ResultCode m_code = ResultCode::Overloaded; // only when refused
};

// What became of a queued call.
struct QueuedCallVerdict
{
  CallId m_call;
  bool m_admitted = false;                    // dispatch now, or refused
  ResultCode m_code = ResultCode::Overloaded; // only when refused
};

//-----------------------------------------------------------------------------
// [2] Ends of requests
//-----------------------------------------------------------------------------

enum class RequestOutcome : uint8_t
{
  Completed, // whole answer with a status below 500
  Error,     // whole answer with a status of 500 or above
  Broken,    // connection broke or could not be opened
  TimedOut,  // deadline passed while the target worked
  Shed,      // the target stated that it did not run the request
  Cancelled  // the caller gave up
};

struct FinishedRequest
{
  RequestOutcome m_end = RequestOutcome::Completed;
  Duration m_serviceTime{}; // dispatch to the start of the answer
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct AdmissionSettings
{
  double m_queuePerSlot = 2; // queue bound as a factor of the limit in force
  uint32_t m_coldLimit = 1;  // requests in flight on a cold target
  Duration m_minimumRemaining{ std::chrono::milliseconds(1) }; // else refused
};

//-----------------------------------------------------------------------------
// [4] Admission interface
//-----------------------------------------------------------------------------

// Verdicts that a call cannot return (a queued call refused because the target
// leaves or a more important call takes its place, or admitted because the
// limit rose) are kept for the next Finish or Tick, and NextTick is then due at
// once. Look at NextTick after every other call.
//
// When new work is closed off (leaving, zone out, no target), calls that are
// queued at that moment are refused with the same code as new ones: they have
// not run, and their entry node can still try another target. Requests in
// flight finish.
class AdmissionController : public Component
{
public:
  // A target has announced itself; a new incarnation starts cold and is not
  // leaving. Requests in flight on an older incarnation still need their
  // Finish, but no longer occupy slots: their process is gone.
  virtual void SetTarget(uint32_t aSlots,
                         uint64_t aIncarnation,
                         TimePoint aNow) = 0;
  // No announced target: everything is refused with NotReady.
  virtual void ClearTarget(TimePoint aNow) = 0;
  virtual void SetLeaving(bool aLeaving, TimePoint aNow) = 0;
  // A target whose zone returns starts cold.
  virtual void SetZoneOut(bool aOut, TimePoint aNow) = 0;
  // Takes effect for the next decision; a new cold limit with the next cold
  // start.
  virtual void SetSettings(const AdmissionSettings& aSettings) = 0;
  // The target says that it is in a cold start again.
  virtual void EnterColdStart(TimePoint aNow) = 0;
  // The target states how long its cold start lasts; zero: it is warm.
  virtual void SetColdStartRemaining(Duration aLeft, TimePoint aNow)
  {
    if (aLeft > Duration::zero()) {
      EnterColdStart(aNow);
    }
  }
  // Requests per second that the target bears while it is cold; 0: unknown.
  virtual void SetColdStartRate(double /*aPerSecond*/) {}
  // Time that work takes at this moment, in % of the usual.
  virtual void SetSlowness(uint32_t /*aPercent*/, TimePoint /*aNow*/) {}
  // True while queued calls wait for a better word about the slowness.
  virtual bool IsBlockedBySlowness() const { return false; }

  // Typical service time of warm targets of the same service, from their load
  // reports. A target without a history of its own is then warm only when it
  // comes near this level; without the hint, when its service times have
  // stopped falling. Ignored once there is a history.
  virtual void SetReferenceLatency(Duration /*aTypical*/, TimePoint /*aNow*/) {}

  virtual AdmissionResult Offer(const AdmissionRequest& aRequest,
                                TimePoint aNow) = 0;
  // Ends an admitted call; may admit or expire queued ones.
  virtual std::vector<QueuedCallVerdict> Finish(const CallId& aCall,
                                                const FinishedRequest& aOutcome,
                                                TimePoint aNow) = 0;
  // Removes a queued call, for example when its caller is gone; no event for
  // it follows. False when it is not queued; a call that waits for its event
  // counts as queued.
  virtual bool RemoveQueued(const CallId& aCall, TimePoint aNow) = 0;
  // Expires queued calls; to be called at NextTick.
  virtual std::vector<QueuedCallVerdict> Tick(TimePoint aNow) = 0;
  // TimePoint::max() when nothing is due.
  virtual TimePoint NextTick() const = 0;
  virtual LoadReport Report(TimePoint aNow) const = 0;
};

//-----------------------------------------------------------------------------
// [5] Factory
//-----------------------------------------------------------------------------

// Finds the target's limit and its cold starts from latency and failures.
std::unique_ptr<AdmissionController>
MakeAdaptiveAdmission(AdmissionSettings aSettings);

// For targets that state their cold starts and their load. A cold target gets
// requests at the stated rate. How long work takes is settled when it begins,
// so nothing begins while the target states that it is slow, and the limit is
// the number of requests at which the target gets most done.
std::unique_ptr<AdmissionController>
MakeReportedLoadAdmission(AdmissionSettings aSettings);

} // namespace sassafrasquay
