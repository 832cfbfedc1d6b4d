// Calls that wait for their admission at the node beside the target.
#include "upstream/call_queue.h"

#include <algorithm>
#include <utility>

namespace sassafrasquay {

// Dequeues the call on every exit; frees a slot granted during cancellation.
class CallQueue::QueuedCallGuard
{
public:
  QueuedCallGuard(CallQueue& aQueue, const CallId& aCall, QueuedCall& aQueued)
    : m_queue(aQueue)
    , m_call(aCall)
    , m_queued(aQueued)
  {
    m_queue.m_calls.emplace(m_call, &m_queued);
  }
  QueuedCallGuard(const QueuedCallGuard&) = delete;
  QueuedCallGuard& operator=(const QueuedCallGuard&) = delete;
  ~QueuedCallGuard()
  {
    m_queue.m_calls.erase(m_call);
    if (m_hasVerdict) {
      return;
    }
    const TimePoint now = m_queue.m_clock->Now();
    if (!m_queue.m_admission->RemoveQueued(m_call, now) && m_queued.m_verdict &&
        m_queued.m_verdict->m_admitted) {
      m_queue.Finish(m_call, { RequestOutcome::Cancelled, Duration::zero() });
    }
  }
  void OnVerdict() { m_hasVerdict = true; }

private:
  CallQueue& m_queue;
  CallId m_call;
  QueuedCall& m_queued;
  bool m_hasVerdict = false;
};

CallQueue::CallQueue(asio::any_io_executor aExecutor,
                     std::shared_ptr<Clock> aClock,
                     std::shared_ptr<AdmissionController> aAdmission)
  : m_executor(std::move(aExecutor))
  , m_clock(std::move(aClock))
  , m_admission(std::move(aAdmission))
  , m_changed(m_executor)
{
}

asio::awaitable<void>
CallQueue::Run()
{
  while (!m_stopping) {
    m_nextWakeUp = m_admission->NextTick();
    Duration delay = Duration::max();
    if (m_nextWakeUp != TimePoint::max()) {
      delay = std::max(m_nextWakeUp - m_clock->Now(), Duration::zero());
    }
    const bool rescheduled = co_await m_changed.WaitFor(delay);
    if (!rescheduled) {
      Deliver(m_admission->Tick(m_clock->Now()));
    }
  }
}

void
CallQueue::Stop()
{
  m_stopping = true;
  m_changed.Notify();
}

AdmissionResult
CallQueue::Offer(const AdmissionRequest& aRequest)
{
  const AdmissionResult result = m_admission->Offer(aRequest, m_clock->Now());
  Reschedule(); // the offer may have displaced queued calls
  return result;
}

asio::awaitable<AdmissionResult>
CallQueue::Wait(CallId aCall)
{
  QueuedCall queued(m_executor);
  QueuedCallGuard guard(*this, aCall, queued);
  Reschedule();
  if (m_admission->IsBlockedBySlowness()) {
    m_changed.Notify();
  }
  while (!queued.m_verdict) {
    co_await queued.m_event.Wait();
  }
  guard.OnVerdict();
  AdmissionResult result;
  result.m_verdict = queued.m_verdict->m_admitted ? AdmissionVerdict::Admitted
                                                  : AdmissionVerdict::Refused;
  result.m_code = queued.m_verdict->m_code;
  result.m_retryAfter = queued.m_verdict->m_retryAfter;
  co_return result;
}

void
CallQueue::Finish(const CallId& aCall, const FinishedRequest& aFinished)
{
  Deliver(m_admission->Finish(aCall, aFinished, m_clock->Now()));
}

void
CallQueue::Withdraw(const CallId& aCall, ResultCode aCode)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return;
  }
  m_admission->RemoveQueued(aCall, m_clock->Now());
  found->second->m_verdict = QueuedCallVerdict{ aCall, false, aCode };
  found->second->m_event.Notify();
}

// Wakes the timer when the next tick is due before its wake-up time.
void
CallQueue::Reschedule()
{
  if (m_admission->NextTick() < m_nextWakeUp) {
    m_changed.Notify();
  }
}

asio::awaitable<void>
CallQueue::WaitForChange()
{
  co_await m_changed.Wait();
}

void
CallQueue::Deliver(const std::vector<QueuedCallVerdict>& aVerdicts)
{
  for (const QueuedCallVerdict& verdict : aVerdicts) {
    const auto found = m_calls.find(verdict.m_call);
    if (found != m_calls.end()) {
      found->second->m_verdict = verdict;
      found->second->m_event.Notify();
    }
  }
  Reschedule();
}

} // namespace sassafrasquay
