// Calls that wait for their admission at the node beside the target. Internal
// to upstream.
//
// Runs the timers of the admission controller and passes its verdicts to the
// coroutines of the queued calls.
#pragma once

#include "admission/admission.h"
#include "kernel/kernel.h"

#include <optional>
#include <unordered_map>

namespace sassafrasquay {

class CallQueue
{
public:
  CallQueue(asio::any_io_executor aExecutor,
            std::shared_ptr<Clock> aClock,
            std::shared_ptr<AdmissionController> aAdmission);

  // Runs until Stop. Call once.
  asio::awaitable<void> Run();
  void Stop();

  // Offers the call to the admission controller. Returns Queued when Wait has
  // to follow.
  AdmissionResult Offer(const AdmissionRequest& aRequest);
  // Returns the verdict on a queued call. A call whose coroutine is cancelled
  // leaves the queue, or frees the slot that it has got meanwhile.
  asio::awaitable<AdmissionResult> Wait(CallId aCall);
  // Records the end of an admitted call.
  void Finish(const CallId& aCall, const FinishedRequest& aFinished);
  // Ends the wait of a queued call with a refusal. Does nothing for others.
  void Withdraw(const CallId& aCall, ResultCode aCode);
  // Must be called after each call to the admission controller from outside.
  void Reschedule();
  // Waits until calls may be blocked by the slowness of the target.
  asio::awaitable<void> WaitForChange();

private:
  struct QueuedCall
  {
    Event m_event;
    std::optional<QueuedCallVerdict> m_verdict;

    explicit QueuedCall(const asio::any_io_executor& aExecutor)
      : m_event(aExecutor)
    {
    }
  };
  class QueuedCallGuard;

  void Deliver(const std::vector<QueuedCallVerdict>& aVerdicts);

  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<AdmissionController> m_admission;
  std::unordered_map<CallId, QueuedCall*> m_calls;
  TimePoint m_nextWakeUp = TimePoint::max();
  Event m_changed;
  bool m_stopping = false;
};

} // namespace sassafrasquay
