// Admission control for one target, at the node beside it.
//
// All requests for a target pass through its node, so the free slots are known
// exactly there. Contains decisions only: the caller passes in events with
// their time and carries out the verdicts.
//
// Index of this file
//   [1] Requests and verdicts
//   [2] Outcomes of requests
//   [3] Settings
//   [4] AdmissionController
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
  TimePoint m_deadline;     // a response after it is useless
  uint8_t m_priority = 100; // higher first; from the service settings
  // A response after it has little value; max(): none.
  TimePoint m_latencyObjective = TimePoint::max();
  uint32_t m_class = 0;        // requests of one class take similar time
  bool m_mayQueue = true;      // false: refused unless it can start at once
  uint64_t m_account = 0;      // hash of the client account; 0: none
  double m_accountWeight = 1;  // share of the account relative to others
  bool m_isSubrequest = false; // a running request waits for it
  bool m_isHedge = false;      // second copy of a request that is running
};

enum class AdmissionVerdict : uint8_t
{
  Admitted, // dispatch it now and call Finish when it has ended
  Queued,   // a QueuedCallVerdict for this call follows
  Refused   // not run and never will be; m_code is the reason
};

struct AdmissionResult
{
  AdmissionVerdict m_verdict = AdmissionVerdict::Refused;
  ResultCode m_code = ResultCode::Overloaded; // only when refused
  // After a refusal for lack of room: when the caller should return. 0:
  // unknown.
  Duration m_retryAfter{};
};

// Verdict on a call that was queued.
struct QueuedCallVerdict
{
  CallId m_call;
  bool m_admitted = false;                    // dispatch it now; else refused
  ResultCode m_code = ResultCode::Overloaded; // only when refused
  Duration m_retryAfter{};                    // as in AdmissionResult
};

//-----------------------------------------------------------------------------
// [2] Outcomes of requests
//-----------------------------------------------------------------------------

enum class RequestOutcome : uint8_t
{
  Completed, // complete response with a status below 500
  Error,     // complete response with a status of 500 or above
  Broken,    // connection failed or could not be opened
  TimedOut,  // deadline passed while the target was working
  Shed,      // target reported that it did not run the request
  Cancelled  // cancelled by the caller
};

struct FinishedRequest
{
  RequestOutcome m_outcome = RequestOutcome::Completed;
  Duration m_serviceTime{}; // dispatch to the start of the response
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct AdmissionSettings
{
  // Maximum queue length, per request of the concurrency limit, or per slot
  // with reported load.
  double m_queuePerSlot = 2;
  uint32_t m_coldLimit = 1; // requests in flight during a cold start
  // Requests with less time to their deadline are refused.
  Duration m_minimumRemaining{ std::chrono::milliseconds(1) };
};

// Limit of the requests that a cold target gets in any second:
// m_perSecond * m_burstFactor + m_burstAllowance.
struct ColdStartRate
{
  double m_perSecond = 0; // 0: unknown; AdmissionSettings::m_coldLimit applies
  double m_burstFactor = 1;
  double m_burstAllowance = 0; // requests
};

//-----------------------------------------------------------------------------
// [4] AdmissionController
//-----------------------------------------------------------------------------

// Decides which requests one target gets, and when.
//
// Some verdicts on queued calls arise outside of Finish and Tick: a call is
// refused because the target leaves or a more important call takes its place,
// or it is admitted because the limit has risen. They are returned by the next
// Finish or Tick, and NextTick is then due at once. Callers therefore check
// NextTick after every other call.
//
// When the target stops accepting requests (it leaves, its zone is out of
// service, or it is lost), queued calls are refused with the same code as new
// ones: they have not run, so their entry node can still try another target.
// Requests in flight finish.
class AdmissionController : public Component
{
public:
  // The target has announced itself. A new incarnation starts cold and is not
  // leaving. Requests in flight on an older incarnation still need their
  // Finish, but no longer occupy slots, because their process has ended.
  virtual void SetTarget(uint32_t aSlots,
                         uint64_t aIncarnation,
                         TimePoint aNow) = 0;
  // There is no target: every request is refused with NotReady.
  virtual void ClearTarget(TimePoint aNow) = 0;
  virtual void SetLeaving(bool aLeaving, TimePoint aNow) = 0;
  // A target whose zone returns to service starts cold.
  virtual void SetZoneOut(bool aOut, TimePoint aNow) = 0;
  // Takes effect with the next decision; a new cold limit takes effect with the
  // next cold start.
  virtual void SetSettings(const AdmissionSettings& aSettings) = 0;
  // The target reports that it is in a cold start again.
  virtual void EnterColdStart(TimePoint aNow) = 0;
  // The target reports the time left in its cold start; zero: it is warm.
  virtual void SetColdStartRemaining(Duration aRemaining, TimePoint aNow)
  {
    if (aRemaining > Duration::zero()) {
      EnterColdStart(aNow);
    }
  }
  virtual void SetColdStartRate(const ColdStartRate& /*aRate*/) {}
  // Current service time as the target reports it, in % of the normal one.
  virtual void SetSlowness(uint32_t /*aPercent*/, TimePoint /*aNow*/) {}
  // True while calls are queued although a slot is free, because the target is
  // slow. A new report of its slowness may start them.
  virtual bool IsBlockedBySlowness() const { return false; }

  // Typical service time of warm targets of the same service, from their load
  // reports. A target without a baseline of its own is warm only when its
  // service times come near this one; without a reference, when they have
  // stopped falling. Ignored once there is a baseline.
  virtual void SetReferenceLatency(Duration /*aTypical*/, TimePoint /*aNow*/) {}

  virtual AdmissionResult Offer(const AdmissionRequest& aRequest,
                                TimePoint aNow) = 0;
  // Records the end of an admitted call; may admit or expire queued calls.
  virtual std::vector<QueuedCallVerdict> Finish(
    const CallId& aCall,
    const FinishedRequest& aFinished,
    TimePoint aNow) = 0;
  // Removes a queued call, for example when its caller has disconnected; no
  // verdict on it follows. False when it is not queued. A call whose verdict
  // has not been returned yet counts as queued.
  virtual bool RemoveQueued(const CallId& aCall, TimePoint aNow) = 0;
  // Expires queued calls; must be called at NextTick.
  virtual std::vector<QueuedCallVerdict> Tick(TimePoint aNow) = 0;
  // TimePoint::max() when nothing is due.
  virtual TimePoint NextTick() const = 0;
  virtual LoadReport Report(TimePoint aNow) const = 0;
};

//-----------------------------------------------------------------------------
// [5] Factory
//-----------------------------------------------------------------------------

// Derives the concurrency limit and cold starts from service times and
// failures.
std::unique_ptr<AdmissionController>
MakeAdaptiveAdmission(AdmissionSettings aSettings);

// For targets that report their cold starts and their slowness. Divides a full
// target among client accounts, and leaves room to short, urgent requests. A
// cold target gets requests at the rate configured for its service. The time a
// request takes depends on how slow the target is when the request starts, so
// none starts while the target reports that it is slow. The limit is the number
// of concurrent requests with the highest throughput.
std::unique_ptr<AdmissionController>
MakeReportedLoadAdmission(AdmissionSettings aSettings);

} // namespace sassafrasquay
