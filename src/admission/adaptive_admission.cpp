// Admission beside one target: slots, queue, limit and life cycle together.
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
                                        const FinishedRequest& aOutcome,
                                        TimePoint aNow) override;
  bool RemoveQueued(const CallId& aCall, TimePoint aNow) override;
  std::vector<QueuedCallVerdict> Tick(TimePoint aNow) override;
  TimePoint NextTick() const override;
  LoadReport Report(TimePoint aNow) const override;

private:
  // Whether new work is refused whatever the load, and why.
  ResultCode Closed() const;
  bool IsOpen() const { return Closed() == ResultCode::Ok; }
  bool IsCold() const;
  bool IsKnown(const CallId& aCall) const;
  bool HasFreeSlot() const;
  bool IsExpired(const AdmissionRequest& aRequest, TimePoint aNow) const;
  size_t QueueBound() const;
  ResultCode FullCode() const;

  AdmissionResult Enqueue(const AdmissionRequest& aRequest, TimePoint aNow);
  bool Fits(const AdmissionRequest& aRequest,
            unsigned aLowestPriority,
            TimePoint aNow) const;
  bool EvictFor(const AdmissionRequest& aRequest, TimePoint aLatest);
  bool IsHopeless(const AdmissionRequest& aRequest, TimePoint aNow) const;

  void Start(const AdmissionRequest& aRequest);
  void Observe(const FinishedRequest& aOutcome, TimePoint aNow);
  void GoCold();
  void RefuseAll(ResultCode aCode);
  void RefuseExpired(TimePoint aNow);
  void Trim();
  void Refuse(const AdmissionRequest& aRequest, ResultCode aCode);
  std::vector<QueuedCallVerdict> Pump(TimePoint aNow);

  AdmissionSettings m_settings;
  TargetLifecycle m_life;
  ConcurrencyLimit m_limit;
  DeadlineQueue m_queue;
  // Calls in flight with the generation of the target that they run on.
  std::unordered_map<CallId, uint64_t> m_running;
  std::vector<QueuedCallVerdict>
    m_pending;               // verdicts that no call has returned
  uint64_t m_generation = 0; // counts the processes behind this target
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
  if (m_life.Announce(aIncarnation)) {
    ++m_generation;
    m_inFlight = 0;
    m_limit.StartCold();
  }
  Trim();
}

void
AdaptiveAdmission::ClearTarget(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_life.Lose();
  RefuseAll(Closed());
}

void
AdaptiveAdmission::SetLeaving(bool aLeaving, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  if (!aLeaving) {
    if (m_life.Stay()) {
      m_limit.StartCold();
    }
    return;
  }
  if (m_life.Leave()) {
    RefuseAll(ResultCode::TargetLeaving);
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
    RefuseAll(ResultCode::ZoneOut);
  } else {
    GoCold(); // a returning zone regains its share by the ramp
  }
}

void
AdaptiveAdmission::EnterColdStart(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  GoCold();
}

void
AdaptiveAdmission::SetReferenceLatency(Duration aTypical, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_limit.HintLevel(aTypical);
}

void
AdaptiveAdmission::GoCold()
{
  m_life.TurnCold();
  m_limit.StartCold();
  Trim();
}

//-----------------------------------------------------------------------------
// Offer
//-----------------------------------------------------------------------------

AdmissionResult
AdaptiveAdmission::Offer(const AdmissionRequest& aRequest, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  const ResultCode closed = Closed();
  if (closed != ResultCode::Ok) {
    return { AdmissionVerdict::Refused, closed };
  }
  if (IsKnown(aRequest.m_call)) {
    return { AdmissionVerdict::Refused, ResultCode::DuplicateInProgress };
  }
  if (IsExpired(aRequest, m_now)) {
    return { AdmissionVerdict::Refused, ResultCode::ExpiredBeforeRun };
  }
  // Calls that wait for a Tick after a change of state keep their turn.
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
  if (!Fits(aRequest, aRequest.m_priority, aNow)) {
    return { AdmissionVerdict::Refused, FullCode() };
  }
  while (!Fits(aRequest, 0, aNow)) {
    EvictFor(aRequest, aRequest.m_deadline);
  }
  while (m_queue.Size() >= QueueBound()) {
    if (!EvictFor(aRequest, TimePoint::max())) {
      return { AdmissionVerdict::Refused, FullCode() };
    }
  }
  m_queue.Insert(aRequest);
  return { AdmissionVerdict::Queued, ResultCode::Ok };
}

// Whether the call would be answered in time behind the queued calls of at
// least the given priority.
bool
AdaptiveAdmission::Fits(const AdmissionRequest& aRequest,
                        unsigned aLowestPriority,
                        TimePoint aNow) const
{
  const Duration typical = m_limit.Typical();
  const auto ahead = m_queue.Ahead(aRequest.m_deadline, aLowestPriority);
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
AdaptiveAdmission::IsHopeless(const AdmissionRequest& aRequest,
                              TimePoint aNow) const
{
  return aRequest.m_deadline - aNow < m_limit.Typical();
}

//-----------------------------------------------------------------------------
// Ends and time
//-----------------------------------------------------------------------------

std::vector<QueuedCallVerdict>
AdaptiveAdmission::Finish(const CallId& aCall,
                          const FinishedRequest& aOutcome,
                          TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  const auto found = m_running.find(aCall);
  if (found != m_running.end()) {
    const bool isCurrent = found->second == m_generation;
    m_running.erase(found);
    if (isCurrent) {
      Observe(aOutcome, m_now);
      --m_inFlight;
    }
  }
  return Pump(m_now);
}

void
AdaptiveAdmission::Observe(const FinishedRequest& aOutcome, TimePoint aNow)
{
  switch (m_limit.OnEnd(aOutcome, m_inFlight, aNow)) {
    case LimitSignal::None:
      break;
    case LimitSignal::TurnedCold:
      GoCold();
      break;
    case LimitSignal::WarmedUp:
      m_life.WarmUp();
      break;
  }
  Trim();
}

bool
AdaptiveAdmission::RemoveQueued(const CallId& aCall, TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  const bool hadVerdict =
    std::erase_if(m_pending, [&](const QueuedCallVerdict& aEvent) {
      return aEvent.m_call == aCall;
    }) > 0;
  return m_queue.Remove(aCall) || hadVerdict;
}

std::vector<QueuedCallVerdict>
AdaptiveAdmission::Tick(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  return Pump(m_now);
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
  const bool isGone = m_life.State() == TargetState::Gone;
  report.m_inFlight = m_inFlight;
  report.m_queued = static_cast<uint32_t>(m_queue.Size());
  report.m_limit = isGone ? 0 : m_limit.Limit();
  report.m_slots = isGone ? 0 : m_slots;
  report.m_cold = IsCold();
  report.m_leaving = m_life.State() == TargetState::Leaving;
  report.m_latency = m_limit.Typical();
  report.m_incarnation = m_life.Incarnation();
  return report;
}

//-----------------------------------------------------------------------------
// Queue and slots
//-----------------------------------------------------------------------------

ResultCode
AdaptiveAdmission::Closed() const
{
  if (m_life.State() == TargetState::Gone) {
    return ResultCode::NotReady;
  }
  if (m_zoneOut) {
    return ResultCode::ZoneOut;
  }
  if (m_life.State() == TargetState::Leaving) {
    return ResultCode::TargetLeaving;
  }
  return ResultCode::Ok;
}

bool
AdaptiveAdmission::IsCold() const
{
  return m_life.State() == TargetState::Announced ||
         m_life.State() == TargetState::Cold;
}

bool
AdaptiveAdmission::IsKnown(const CallId& aCall) const
{
  return m_running.contains(aCall) || m_queue.Contains(aCall) ||
         std::any_of(
           m_pending.begin(), m_pending.end(), [&](const auto& aEvent) {
             return aEvent.m_call == aCall;
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
AdaptiveAdmission::QueueBound() const
{
  return static_cast<size_t>(m_settings.m_queuePerSlot * m_limit.Limit());
}

ResultCode
AdaptiveAdmission::FullCode() const
{
  return IsCold() ? ResultCode::TargetCold : ResultCode::Overloaded;
}

void
AdaptiveAdmission::Start(const AdmissionRequest& aRequest)
{
  m_life.Start();
  m_running.emplace(aRequest.m_call, m_generation);
  ++m_inFlight;
}

void
AdaptiveAdmission::Refuse(const AdmissionRequest& aRequest, ResultCode aCode)
{
  m_pending.push_back({ aRequest.m_call, false, aCode });
}

void
AdaptiveAdmission::RefuseAll(ResultCode aCode)
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

// Refuses what exceeds the queue bound after the limit has fallen; these calls
// have not run and still have time for another target.
void
AdaptiveAdmission::Trim()
{
  while (m_queue.Size() > QueueBound()) {
    const auto victim = m_queue.EvictBelow(kAnyPriority, TimePoint::max());
    Refuse(*victim, FullCode());
  }
}

std::vector<QueuedCallVerdict>
AdaptiveAdmission::Pump(TimePoint aNow)
{
  RefuseExpired(aNow);
  while (!m_queue.IsEmpty() && HasFreeSlot()) {
    const AdmissionRequest request = m_queue.PopFront();
    // Under overload a slot is worth more to a call that can still be
    // answered in time than to one that will miss its deadline.
    if (IsHopeless(request, aNow) && !m_queue.IsEmpty() &&
        !IsHopeless(m_queue.Back(), aNow)) {
      Refuse(request, FullCode());
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
