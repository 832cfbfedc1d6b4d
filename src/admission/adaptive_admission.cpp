// Admission with a limit derived from service times: combines the slots, queue,
// concurrency limit and life cycle of one target.
#include "admission/concurrency_limit.h"
#include "admission/deadline_queue.h"
#include "lifecycle/lifecycle.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace sassafrasquay {

namespace {

class AdaptiveAdmission : public AdmissionController
{
public:
  explicit AdaptiveAdmission(AdmissionSettings aSettings);

  void SetTarget(uint32_t aSlots,
                 uint64_t aIncarnation,
                 TimePoint aNow) override;
  void ClearTarget(TimePoint aNow) override;
  void SetLeaving(bool aLeaving, TimePoint aNow) override;
  void SetZoneOut(bool aOut, TimePoint aNow) override;
  void SetSettings(const AdmissionSettings& aSettings) override
  {
    m_settings = aSettings;
    m_limit.SetSettings(aSettings);
  }
  void EnterColdStart(TimePoint aNow) override;
  void SetReferenceLatency(Duration aTypical, TimePoint aNow) override;
  AdmissionResult Offer(const AdmissionRequest& aRequest,
                        TimePoint aNow) override;
  std::vector<QueuedCallVerdict> Finish(const CallId& aCall,
                                        const FinishedRequest& aFinished,
                                        TimePoint aNow) override;
  bool RemoveQueued(const CallId& aCall, TimePoint aNow) override;
  std::vector<QueuedCallVerdict> Tick(TimePoint aNow) override;
  TimePoint NextTick() const override;
  LoadReport Report(TimePoint aNow) const override;

private:
  // Reason to refuse all new requests whatever the load; Ok: none.
  ResultCode ClosedReason() const;
  bool IsOpen() const { return ClosedReason() == ResultCode::Ok; }
  bool IsCold() const;
  bool IsInProgress(const CallId& aCall) const;
  bool HasFreeSlot() const;
  bool IsExpired(const AdmissionRequest& aRequest, TimePoint aNow) const;
  size_t MaxQueueLength() const;
  ResultCode OverloadCode() const;

  AdmissionResult Enqueue(const AdmissionRequest& aRequest, TimePoint aNow);
  bool MeetsDeadline(const AdmissionRequest& aRequest,
                     unsigned aLowestPriority,
                     TimePoint aNow) const;
  bool EvictFor(const AdmissionRequest& aRequest, TimePoint aLatest);
  bool WillMissDeadline(const AdmissionRequest& aRequest, TimePoint aNow) const;

  void Start(const AdmissionRequest& aRequest);
  void UpdateLimit(const FinishedRequest& aFinished, TimePoint aNow);
  void ResetToColdStart();
  void RefuseQueued(ResultCode aCode);
  void RefuseExpired(TimePoint aNow);
  void TrimQueue();
  void Refuse(const AdmissionRequest& aRequest, ResultCode aCode);
  std::vector<QueuedCallVerdict> DispatchQueued(TimePoint aNow);

  AdmissionSettings m_settings;
  TargetLifecycle m_lifecycle;
  ConcurrencyLimit m_limit;
  DeadlineQueue m_queue;
  // Calls in flight, with the generation of the process that they run on.
  std::unordered_map<CallId, uint64_t> m_running;
  std::vector<QueuedCallVerdict> m_pending; // verdicts not returned yet
  uint64_t m_generation = 0; // counts the processes of this target
  uint32_t m_inFlight = 0;   // of the current generation
  uint32_t m_slots = 0;
  bool m_zoneOut = false;
  TimePoint m_now{}; // latest time seen
};

AdaptiveAdmission::AdaptiveAdmission(AdmissionSettings aSettings)
  : m_settings(aSettings)
  , m_limit(aSettings)
{
}

//-----------------------------------------------------------------------------
// State of the target
//-----------------------------------------------------------------------------

void
AdaptiveAdmission::SetTarget(uint32_t aSlots,
                             uint64_t aIncarnation,
                             TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_slots = aSlots;
  m_limit.SetSlots(aSlots);
  if (m_lifecycle.Announce(aIncarnation)) {
    ++m_generation;
    m_inFlight = 0;
    m_limit.EnterColdStart();
  }
  TrimQueue();
}

void
AdaptiveAdmission::ClearTarget(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_lifecycle.MarkLost();
  RefuseQueued(ClosedReason());
}

void
AdaptiveAdmission::SetLeaving(bool aLeaving, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  if (!aLeaving) {
    if (m_lifecycle.CancelLeaving()) {
      m_limit.EnterColdStart();
    }
    return;
  }
  if (m_lifecycle.StartLeaving()) {
    RefuseQueued(ResultCode::TargetLeaving);
  }
}

void
AdaptiveAdmission::SetZoneOut(bool aOut, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  if (aOut == m_zoneOut) {
    return;
  }
  m_zoneOut = aOut;
  if (aOut) {
    RefuseQueued(ResultCode::ZoneOut);
  } else {
    ResetToColdStart(); // a returning zone regains its share gradually
  }
}

void
AdaptiveAdmission::EnterColdStart(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  ResetToColdStart();
}

void
AdaptiveAdmission::SetReferenceLatency(Duration aTypical, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_limit.SetReferenceServiceTime(aTypical);
}

void
AdaptiveAdmission::ResetToColdStart()
{
  m_lifecycle.MarkCold();
  m_limit.EnterColdStart();
  TrimQueue();
}

//-----------------------------------------------------------------------------
// Offer
//-----------------------------------------------------------------------------

AdmissionResult
AdaptiveAdmission::Offer(const AdmissionRequest& aRequest, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  const ResultCode closed = ClosedReason();
  if (closed != ResultCode::Ok) {
    return { AdmissionVerdict::Refused, closed };
  }
  if (IsInProgress(aRequest.m_call)) {
    return { AdmissionVerdict::Refused, ResultCode::DuplicateInProgress };
  }
  if (IsExpired(aRequest, m_now)) {
    return { AdmissionVerdict::Refused, ResultCode::ExpiredBeforeRun };
  }
  // After a change of state, slots may be free while calls are queued until the
  // next Tick. The queued calls go first.
  if (m_inFlight + m_queue.Size() < m_limit.Limit()) {
    Start(aRequest);
    return { AdmissionVerdict::Admitted, ResultCode::Ok };
  }
  return Enqueue(aRequest, m_now);
}

AdmissionResult
AdaptiveAdmission::Enqueue(const AdmissionRequest& aRequest, TimePoint aNow)
{
  RefuseExpired(aNow);
  if (!MeetsDeadline(aRequest, aRequest.m_priority, aNow)) {
    return { AdmissionVerdict::Refused, OverloadCode() };
  }
  while (!MeetsDeadline(aRequest, 0, aNow)) {
    EvictFor(aRequest, aRequest.m_deadline);
  }
  while (m_queue.Size() >= MaxQueueLength()) {
    if (!EvictFor(aRequest, TimePoint::max())) {
      return { AdmissionVerdict::Refused, OverloadCode() };
    }
  }
  m_queue.Insert(aRequest);
  return { AdmissionVerdict::Queued, ResultCode::Ok };
}

// True when the call would be answered in time if only queued calls of at least
// the given priority went first.
bool
AdaptiveAdmission::MeetsDeadline(const AdmissionRequest& aRequest,
                                 unsigned aLowestPriority,
                                 TimePoint aNow) const
{
  const Duration typical = m_limit.TypicalServiceTime();
  const auto ahead = m_queue.CountAhead(aRequest.m_deadline, aLowestPriority);
  const Duration wait = typical * (ahead + 1) / std::max(1U, m_limit.Limit());
  return wait + typical <= aRequest.m_deadline - aNow;
}

bool
AdaptiveAdmission::EvictFor(const AdmissionRequest& aRequest, TimePoint aLatest)
{
  const auto victim = m_queue.EvictBelow(aRequest.m_priority, aLatest);
  if (victim) {
    Refuse(*victim, ResultCode::ShedByPriority);
  }
  return victim.has_value();
}

bool
AdaptiveAdmission::WillMissDeadline(const AdmissionRequest& aRequest,
                                    TimePoint aNow) const
{
  return aRequest.m_deadline - aNow < m_limit.TypicalServiceTime();
}

//-----------------------------------------------------------------------------
// Completion and timers
//-----------------------------------------------------------------------------

std::vector<QueuedCallVerdict>
AdaptiveAdmission::Finish(const CallId& aCall,
                          const FinishedRequest& aFinished,
                          TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  const auto found = m_running.find(aCall);
  if (found != m_running.end()) {
    const bool isCurrent = found->second == m_generation;
    m_running.erase(found);
    if (isCurrent) {
      UpdateLimit(aFinished, m_now);
      --m_inFlight;
    }
  }
  return DispatchQueued(m_now);
}

void
AdaptiveAdmission::UpdateLimit(const FinishedRequest& aFinished, TimePoint aNow)
{
  switch (m_limit.OnFinished(aFinished, m_inFlight, aNow)) {
    case ColdStartTransition::None:
      break;
    case ColdStartTransition::Started:
      ResetToColdStart();
      break;
    case ColdStartTransition::Finished:
      m_lifecycle.MarkWarm();
      break;
  }
  TrimQueue();
}

bool
AdaptiveAdmission::RemoveQueued(const CallId& aCall, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  const bool hadPendingVerdict =
    std::erase_if(m_pending, [&](const QueuedCallVerdict& aVerdict) {
      return aVerdict.m_call == aCall;
    }) > 0;
  return m_queue.Remove(aCall) || hadPendingVerdict;
}

std::vector<QueuedCallVerdict>
AdaptiveAdmission::Tick(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  return DispatchQueued(m_now);
}

TimePoint
AdaptiveAdmission::NextTick() const
{
  if (!m_pending.empty() || (!m_queue.IsEmpty() && HasFreeSlot())) {
    return m_now;
  }
  if (m_queue.IsEmpty()) {
    return TimePoint::max();
  }
  return m_queue.Front().m_deadline - m_settings.m_minimumRemaining +
         Duration(1);
}

LoadReport
AdaptiveAdmission::Report(TimePoint /*aNow*/) const
{
  LoadReport report;
  const bool isAbsent = m_lifecycle.State() == TargetState::Absent;
  report.m_inFlight = m_inFlight;
  report.m_queued = static_cast<uint32_t>(m_queue.Size());
  report.m_limit = isAbsent ? 0 : m_limit.Limit();
  report.m_slots = isAbsent ? 0 : m_slots;
  report.m_cold = IsCold();
  report.m_leaving = m_lifecycle.State() == TargetState::Leaving;
  report.m_latency = m_limit.TypicalServiceTime();
  report.m_incarnation = m_lifecycle.Incarnation();
  return report;
}

//-----------------------------------------------------------------------------
// Queue and slots
//-----------------------------------------------------------------------------

ResultCode
AdaptiveAdmission::ClosedReason() const
{
  if (m_lifecycle.State() == TargetState::Absent) {
    return ResultCode::NotReady;
  }
  if (m_zoneOut) {
    return ResultCode::ZoneOut;
  }
  if (m_lifecycle.State() == TargetState::Leaving) {
    return ResultCode::TargetLeaving;
  }
  return ResultCode::Ok;
}

bool
AdaptiveAdmission::IsCold() const
{
  return m_lifecycle.State() == TargetState::Announced ||
         m_lifecycle.State() == TargetState::Cold;
}

bool
AdaptiveAdmission::IsInProgress(const CallId& aCall) const
{
  return m_running.contains(aCall) || m_queue.Contains(aCall) ||
         std::any_of(
           m_pending.begin(), m_pending.end(), [&](const auto& aVerdict) {
             return aVerdict.m_call == aCall;
           });
}

bool
AdaptiveAdmission::HasFreeSlot() const
{
  return IsOpen() && m_inFlight < m_limit.Limit();
}

bool
AdaptiveAdmission::IsExpired(const AdmissionRequest& aRequest,
                             TimePoint aNow) const
{
  return aRequest.m_deadline < aNow + m_settings.m_minimumRemaining;
}

size_t
AdaptiveAdmission::MaxQueueLength() const
{
  return static_cast<size_t>(m_settings.m_queuePerSlot * m_limit.Limit());
}

ResultCode
AdaptiveAdmission::OverloadCode() const
{
  return IsCold() ? ResultCode::TargetCold : ResultCode::Overloaded;
}

void
AdaptiveAdmission::Start(const AdmissionRequest& aRequest)
{
  m_lifecycle.MarkDispatched();
  m_running.emplace(aRequest.m_call, m_generation);
  ++m_inFlight;
}

void
AdaptiveAdmission::Refuse(const AdmissionRequest& aRequest, ResultCode aCode)
{
  m_pending.push_back({ aRequest.m_call, false, aCode });
}

void
AdaptiveAdmission::RefuseQueued(ResultCode aCode)
{
  for (const AdmissionRequest& request : m_queue.Clear()) {
    Refuse(request, aCode);
  }
}

void
AdaptiveAdmission::RefuseExpired(TimePoint aNow)
{
  while (!m_queue.IsEmpty() && IsExpired(m_queue.Front(), aNow)) {
    Refuse(m_queue.PopFront(), ResultCode::ExpiredBeforeRun);
  }
}

// Refuses calls above the maximum queue length after the limit has fallen. They
// have not run and still have time to try another target.
void
AdaptiveAdmission::TrimQueue()
{
  while (m_queue.Size() > MaxQueueLength()) {
    const auto victim =
      m_queue.EvictBelow(kAboveAllPriorities, TimePoint::max());
    Refuse(*victim, OverloadCode());
  }
}

std::vector<QueuedCallVerdict>
AdaptiveAdmission::DispatchQueued(TimePoint aNow)
{
  RefuseExpired(aNow);
  while (!m_queue.IsEmpty() && HasFreeSlot()) {
    const AdmissionRequest request = m_queue.PopFront();
    // Under overload, slots go to calls that can still be answered in time,
    // not to calls that will miss their deadline.
    if (WillMissDeadline(request, aNow) && !m_queue.IsEmpty() &&
        !WillMissDeadline(m_queue.Back(), aNow)) {
      Refuse(request, OverloadCode());
      continue;
    }
    Start(request);
    m_pending.push_back({ request.m_call, true, ResultCode::Ok });
  }
  return std::exchange(m_pending, {});
}

} // namespace

std::unique_ptr<AdmissionController>
MakeAdaptiveAdmission(AdmissionSettings aSettings)
{
  return std::make_unique<AdaptiveAdmission>(aSettings);
}

} // namespace sassafrasquay
