// Admission for a target that reports its cold starts and its slowness.
#include "admission/request_queue.h"
#include "admission/return_schedule.h"
#include "admission/slot_forecast.h"
#include "admission/throughput_limit.h"
#include "admission/urgent_load.h"
#include "lifecycle/lifecycle.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace sassafrasquay {

namespace {

// Window over which the request rate of a cold target is limited.
constexpr Duration kRateWindow = std::chrono::seconds(1);
// A target counts as slow when its slowness is this many times the lowest one
// reported within kSlownessWindow. Requests then wait or try another target. A
// target that is always slow, for example in a cold start, is used normally.
constexpr double kSlowRatio = 1.6;
constexpr uint32_t kNormalPercent = 100;
// Slow phases are shorter than this. A target that has been slow for longer is
// permanently slow.
constexpr Duration kSlownessWindow = std::chrono::seconds(1);
// A report that the target is slow expires after this time without a newer one.
constexpr Duration kSlownessValidity = std::chrono::milliseconds(250);
// Share of its slots that a cold target gets. It is slow already, and some
// targets slow down further when they are nearly full; after a loss of power
// the node has not learnt yet whether its target does.
constexpr double kColdSlotShare = 0.8;
// Once in this many starts, the limit is raised to the slots to measure the
// service time at high concurrency again.
constexpr uint64_t kExplorationInterval = 48;
// A refused caller returns within this part of its remaining time, so that a
// second refusal leaves time for another attempt.
constexpr int kReturnPart = 3;
// While the objective can be met, it returns within this part of what is left
// of it: another target may be faster.
constexpr int kReturnObjectivePart = 2;

// Refused for lack of room, which a later attempt may find.
bool
IsForLackOfRoom(ResultCode aCode)
{
  return aCode == ResultCode::Overloaded || aCode == ResultCode::ShedByPriority;
}

class ReportedLoadAdmission : public AdmissionController
{
public:
  explicit ReportedLoadAdmission(AdmissionSettings aSettings)
    : m_settings(aSettings)
  {
  }

  void SetTarget(uint32_t aSlots,
                 uint64_t aIncarnation,
                 TimePoint aNow) override;
  void ClearTarget(TimePoint aNow) override;
  void SetLeaving(bool aLeaving, TimePoint aNow) override;
  void SetZoneOut(bool aOut, TimePoint aNow) override;
  void SetSettings(const AdmissionSettings& aSettings) override
  {
    m_settings = aSettings;
  }
  void EnterColdStart(TimePoint aNow) override;
  void SetColdStartRemaining(Duration aRemaining, TimePoint aNow) override;
  void SetColdStartRate(const ColdStartRate& aRate) override
  {
    m_coldStartRate = aRate;
  }
  void SetSlowness(uint32_t aPercent, TimePoint aNow) override;
  bool IsBlockedBySlowness() const override
  {
    return IsSlow() && !m_queue.IsEmpty() && HasFreeSlot();
  }
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
  struct RunningRequest
  {
    uint64_t m_generation = 0;
    uint32_t m_class = 0;
    uint32_t m_concurrency = 0; // at the start, with this request
    bool m_startedSlow = false; // the target was slow at the start
    uint8_t m_priority = 0;
    TimePoint m_startTime;
  };

  ResultCode ClosedReason() const;
  bool IsCold() const { return m_now < m_coldUntil; }
  bool IsSlow() const { return m_now < m_slowUntil; }
  bool HasFreeSlot() const { return m_inFlight < ConcurrencyLimit(); }
  uint32_t ConcurrencyLimit() const
  {
    const uint32_t limit = m_throughput.Limit();
    const auto coldLimit =
      static_cast<uint32_t>(kColdSlotShare * m_throughput.Slots());
    return IsCold() ? std::clamp(coldLimit, 1U, std::max(1U, limit)) : limit;
  }
  bool CanStart() const
  {
    return HasFreeSlot() && IsWithinColdStartRate() && !IsSlow();
  }
  bool IsWithinColdStartRate() const;
  bool IsInProgress(const CallId& aCall) const;
  bool MayUseSlot(const AdmissionRequest& aRequest) const;
  std::optional<size_t> FirstStartable() const;
  bool CanStartNow(const AdmissionRequest& aRequest) const;
  SlotForecast ForecastSlots() const;
  AdmissionResult Enqueue(const AdmissionRequest& aRequest);
  AdmissionResult MakeRefusal(const AdmissionRequest& aRequest,
                              ResultCode aCode);
  Duration ReturnDelay(const AdmissionRequest& aRequest);
  void RefuseHopeless();
  void UpdateEstimates(const RunningRequest& aRequest,
                       const FinishedRequest& aFinished);
  uint32_t LowestSlowness() const;
  void ClearSlowness();
  void Start(const AdmissionRequest& aRequest);
  void Refuse(const AdmissionRequest& aRequest, ResultCode aCode)
  {
    const AdmissionResult result = MakeRefusal(aRequest, aCode);
    m_pending.push_back(
      { aRequest.m_call, false, result.m_code, result.m_retryAfter });
  }
  void RefuseQueued(ResultCode aCode);
  std::vector<QueuedCallVerdict> DispatchQueued(TimePoint aNow);
  void Advance(TimePoint aNow);

  AdmissionSettings m_settings;
  TargetLifecycle m_lifecycle;
  ThroughputLimit m_throughput;
  ServiceTimes m_serviceTimes;
  RequestQueue m_queue{ m_serviceTimes };
  UrgentLoad m_urgentLoad;
  ReturnSchedule m_returns;
  std::unordered_map<CallId, RunningRequest> m_running;
  std::vector<QueuedCallVerdict> m_pending; // verdicts not returned yet
  std::deque<TimePoint> m_starts;           // within the last kRateWindow
  uint64_t m_generation = 0; // counts the processes of this target
  uint32_t m_inFlight = 0;   // of the current generation
  uint64_t m_startCount = 0;

  uint32_t m_slowness = kNormalPercent;
  // Within kSlownessWindow.
  std::deque<std::pair<TimePoint, uint32_t>> m_slownessReports;
  TimePoint m_slowUntil{}; // expiry of the last report that it is slow
  ColdStartRate m_coldStartRate;
  TimePoint m_coldUntil{};
  bool m_zoneOut = false;
  TimePoint m_now{}; // latest time seen
};

//-----------------------------------------------------------------------------
// State of the target
//-----------------------------------------------------------------------------

void
ReportedLoadAdmission::Advance(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  while (!m_starts.empty() && m_now - m_starts.front() >= kRateWindow) {
    m_starts.pop_front();
  }
}

void
ReportedLoadAdmission::SetTarget(uint32_t aSlots,
                                 uint64_t aIncarnation,
                                 TimePoint aNow)
{
  Advance(aNow);
  m_throughput.SetSlots(aSlots);
  // A target that was wrongly taken for lost still runs its requests.
  const bool sameProcess = m_lifecycle.Incarnation() == aIncarnation;
  if (m_lifecycle.Announce(aIncarnation) && !sameProcess) {
    ++m_generation;
    m_inFlight = 0;
    ClearSlowness();
  }
}

void
ReportedLoadAdmission::ClearTarget(TimePoint aNow)
{
  Advance(aNow);
  m_lifecycle.MarkLost();
  RefuseQueued(ClosedReason());
}

void
ReportedLoadAdmission::SetLeaving(bool aLeaving, TimePoint aNow)
{
  Advance(aNow);
  if (!aLeaving) {
    m_lifecycle.CancelLeaving();
  } else if (m_lifecycle.StartLeaving()) {
    RefuseQueued(ResultCode::TargetLeaving);
  }
}

void
ReportedLoadAdmission::SetZoneOut(bool aOut, TimePoint aNow)
{
  Advance(aNow);
  if (aOut != m_zoneOut && aOut) {
    RefuseQueued(ResultCode::ZoneOut);
  }
  m_zoneOut = aOut;
}

void
ReportedLoadAdmission::EnterColdStart(TimePoint aNow)
{
  Advance(aNow);
  m_coldUntil = TimePoint::max();
  m_lifecycle.MarkCold();
}

void
ReportedLoadAdmission::SetColdStartRemaining(Duration aRemaining,
                                             TimePoint aNow)
{
  Advance(aNow);
  const bool wasCold = IsCold();
  m_coldUntil = m_now + aRemaining;
  if (aRemaining > Duration::zero()) {
    m_lifecycle.MarkCold();
    if (!wasCold) {
      ClearSlowness(); // reports from before the cold start do not apply
    }
  } else {
    m_lifecycle.MarkWarm();
  }
}

void
ReportedLoadAdmission::SetSlowness(uint32_t aPercent, TimePoint aNow)
{
  Advance(aNow);
  m_slowness = aPercent;
  while (!m_slownessReports.empty() &&
         m_now - m_slownessReports.front().first >= kSlownessWindow) {
    m_slownessReports.pop_front();
  }
  if (m_slownessReports.empty()) {
    // No report to compare with: a warm target is assumed to have normal speed.
    const uint32_t lowest =
      IsCold() ? aPercent : std::min(aPercent, kNormalPercent);
    m_slownessReports.emplace_back(m_now, lowest);
  }
  m_slownessReports.emplace_back(m_now, aPercent);
  const bool isSlow = aPercent >= kSlowRatio * LowestSlowness();
  m_slowUntil = isSlow ? m_now + kSlownessValidity : TimePoint();
}

uint32_t
ReportedLoadAdmission::LowestSlowness() const
{
  const auto lowest =
    std::min_element(m_slownessReports.begin(),
                     m_slownessReports.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  return lowest->second;
}

void
ReportedLoadAdmission::ClearSlowness()
{
  m_slowness = kNormalPercent;
  m_slowUntil = {};
  m_slownessReports.clear();
}

ResultCode
ReportedLoadAdmission::ClosedReason() const
{
  if (m_lifecycle.State() == TargetState::Absent) {
    return ResultCode::NotReady;
  }
  if (m_zoneOut) {
    return ResultCode::ZoneOut;
  }
  return m_lifecycle.State() == TargetState::Leaving ? ResultCode::TargetLeaving
                                                     : ResultCode::Ok;
}

//-----------------------------------------------------------------------------
// Estimates
//-----------------------------------------------------------------------------

// When the slots are expected to be free. A request that takes longer than
// expected is assumed to take as long again as it is late.
SlotForecast
ReportedLoadAdmission::ForecastSlots() const
{
  std::vector<TimePoint> slotFree;
  for (const auto& [call, running] : m_running) {
    if (running.m_generation == m_generation) {
      const TimePoint expected =
        running.m_startTime + m_serviceTimes.Expected(running.m_class);
      slotFree.push_back(expected >= m_now ? expected
                                           : m_now + (m_now - expected));
    }
  }
  const size_t slots = std::max(1U, ConcurrencyLimit());
  slotFree.resize(std::max(slots, slotFree.size()), m_now);
  return SlotForecast(std::move(slotFree));
}

void
ReportedLoadAdmission::UpdateEstimates(const RunningRequest& aRequest,
                                       const FinishedRequest& aFinished)
{
  const bool isComplete = aFinished.m_outcome == RequestOutcome::Completed ||
                          aFinished.m_outcome == RequestOutcome::Error;
  if (!isComplete || aRequest.m_startedSlow) {
    return; // not a normal service time
  }
  const Duration classMean = m_serviceTimes.ClassMean(aRequest.m_class);
  double factor = 1;
  if (classMean > Duration::zero()) {
    factor = m_throughput.Add(aRequest.m_concurrency,
                              FloatSeconds(aFinished.m_serviceTime) /
                                FloatSeconds(classMean));
  }
  m_serviceTimes.Add(aRequest.m_class, aFinished.m_serviceTime, factor);
}

//-----------------------------------------------------------------------------
// Offer
//-----------------------------------------------------------------------------

bool
ReportedLoadAdmission::IsWithinColdStartRate() const
{
  if (!IsCold()) {
    return true;
  }
  const ColdStartRate& rate = m_coldStartRate;
  if (rate.m_perSecond <= 0) {
    return m_inFlight < m_settings.m_coldLimit;
  }
  return static_cast<double>(m_starts.size()) + 1 <=
         rate.m_perSecond * rate.m_burstFactor + rate.m_burstAllowance;
}

bool
ReportedLoadAdmission::IsInProgress(const CallId& aCall) const
{
  return m_running.contains(aCall) || m_queue.Contains(aCall) ||
         std::any_of(
           m_pending.begin(), m_pending.end(), [&aCall](const auto& aEntry) {
             return aEntry.m_call == aCall;
           });
}

// Long, less urgent requests leave slots to short, urgent ones that arrive.
bool
ReportedLoadAdmission::MayUseSlot(const AdmissionRequest& aRequest) const
{
  if (aRequest.m_isSubrequest) {
    return true;
  }
  const uint32_t limit = ConcurrencyLimit();
  const uint32_t reserved =
    m_urgentLoad.SlotsAbove(aRequest.m_priority,
                            m_serviceTimes.Expected(aRequest.m_class),
                            limit,
                            m_now);
  if (reserved == 0) {
    return true;
  }
  const auto used = static_cast<uint32_t>(std::count_if(
    m_running.begin(), m_running.end(), [&aRequest](const auto& aEntry) {
      return aEntry.second.m_priority > aRequest.m_priority;
    }));
  return m_inFlight + 1 + reserved - std::min(reserved, used) <= limit;
}

// Index in the queue of the next request that may use a slot.
std::optional<size_t>
ReportedLoadAdmission::FirstStartable() const
{
  const std::vector<AdmissionRequest>& queue = m_queue.Entries();
  const auto found =
    std::find_if(queue.begin(), queue.end(), [this](const auto& aRequest) {
      return MayUseSlot(aRequest);
    });
  if (found == queue.end()) {
    return std::nullopt;
  }
  return static_cast<size_t>(found - queue.begin());
}

// A second copy of a request must leave a slot to other requests.
bool
ReportedLoadAdmission::CanStartNow(const AdmissionRequest& aRequest) const
{
  if (aRequest.m_isHedge &&
      (!m_queue.IsEmpty() || m_inFlight + 1 >= ConcurrencyLimit())) {
    return false;
  }
  return CanStart() && MayUseSlot(aRequest) && !FirstStartable();
}

AdmissionResult
ReportedLoadAdmission::Offer(const AdmissionRequest& aRequest, TimePoint aNow)
{
  Advance(aNow);
  const ResultCode closed = ClosedReason();
  if (closed != ResultCode::Ok) {
    return { AdmissionVerdict::Refused, closed };
  }
  if (IsInProgress(aRequest.m_call)) {
    return { AdmissionVerdict::Refused, ResultCode::DuplicateInProgress };
  }
  if (aRequest.m_deadline < m_now + m_settings.m_minimumRemaining) {
    return { AdmissionVerdict::Refused, ResultCode::ExpiredBeforeRun };
  }
  if (!IsWithinColdStartRate()) {
    return { AdmissionVerdict::Refused, ResultCode::TargetCold };
  }
  if (!aRequest.m_isHedge) {
    m_urgentLoad.OnOffer(
      aRequest.m_priority, m_serviceTimes.Expected(aRequest.m_class), m_now);
  }
  if (CanStartNow(aRequest)) {
    Start(aRequest);
    return { AdmissionVerdict::Admitted, ResultCode::Ok };
  }
  if (!aRequest.m_mayQueue || aRequest.m_isHedge) {
    return MakeRefusal(
      aRequest, IsSlow() ? ResultCode::TargetSlow : ResultCode::Overloaded);
  }
  return Enqueue(aRequest);
}

AdmissionResult
ReportedLoadAdmission::MakeRefusal(const AdmissionRequest& aRequest,
                                   ResultCode aCode)
{
  AdmissionResult result;
  result.m_code = aCode;
  // One that may not queue tries another target now.
  if (aRequest.m_mayQueue && IsForLackOfRoom(aCode)) {
    result.m_retryAfter = ReturnDelay(aRequest);
  }
  return result;
}

// Until room is expected for the caller, who returns to any target of the
// service: the queue here stands for theirs, but not the requests that run
// here, which may be stuck.
Duration
ReportedLoadAdmission::ReturnDelay(const AdmissionRequest& aRequest)
{
  const Duration mean = m_serviceTimes.Mean();
  if (mean <= Duration::zero()) {
    return Duration::zero();
  }
  Duration work = mean;
  for (const AdmissionRequest& queued : m_queue.Entries()) {
    if (queued.m_priority >= aRequest.m_priority) {
      work += m_serviceTimes.Expected(queued.m_class);
    }
  }
  ReturnRequest request;
  request.m_earliest = work / std::max(1U, ConcurrencyLimit());
  request.m_latest = (aRequest.m_deadline - m_now) / kReturnPart;
  if (aRequest.m_latencyObjective > m_now) {
    request.m_latest =
      std::min(request.m_latest,
               (aRequest.m_latencyObjective - m_now) / kReturnObjectivePart);
  }
  request.m_perSecond =
    std::max(1U, ConcurrencyLimit()) / FloatSeconds(mean).count();
  request.m_priority = aRequest.m_priority;
  return m_returns.Book(request, m_now);
}

AdmissionResult
ReportedLoadAdmission::Enqueue(const AdmissionRequest& aRequest)
{
  m_queue.Insert(aRequest);
  m_queue.Sort(m_now);
  RefuseHopeless();
  const auto maxLength = static_cast<size_t>(
    m_settings.m_queuePerSlot * std::max(1U, m_throughput.Slots()));
  if (m_queue.Size() > maxLength) {
    const AdmissionRequest last = m_queue.Take(m_queue.Size() - 1);
    Refuse(last,
           last.m_call == aRequest.m_call ? ResultCode::Overloaded
                                          : ResultCode::ShedByPriority);
  }
  if (m_queue.Contains(aRequest.m_call)) {
    return { AdmissionVerdict::Queued, ResultCode::Ok };
  }
  const auto own = std::find_if(
    m_pending.begin(), m_pending.end(), [&aRequest](const auto& aVerdict) {
      return aVerdict.m_call == aRequest.m_call;
    });
  const AdmissionResult result{ AdmissionVerdict::Refused,
                                own->m_code,
                                own->m_retryAfter };
  m_pending.erase(own);
  return result;
}

// Refuses the queued requests that can't be answered before their deadline.
// Expects a sorted queue.
void
ReportedLoadAdmission::RefuseHopeless()
{
  SlotForecast slots = ForecastSlots();
  size_t index = 0;
  while (index < m_queue.Size()) {
    const AdmissionRequest& request = m_queue.Entries()[index];
    const Duration serviceTime = m_serviceTimes.Expected(request.m_class);
    if (slots.NextStart() + serviceTime >= request.m_deadline) {
      Refuse(m_queue.Take(index), ResultCode::Overloaded);
    } else {
      slots.Place(serviceTime);
      ++index;
    }
  }
}

void
ReportedLoadAdmission::Start(const AdmissionRequest& aRequest)
{
  m_lifecycle.MarkDispatched();
  ++m_inFlight;
  m_running.emplace(aRequest.m_call,
                    RunningRequest{ m_generation,
                                    aRequest.m_class,
                                    m_inFlight,
                                    IsSlow(),
                                    aRequest.m_priority,
                                    m_now });
  m_queue.OnStart(aRequest);
  m_starts.push_back(m_now);
  ++m_startCount;
  if (m_startCount % kExplorationInterval == 0) {
    m_throughput.Explore();
  }
}

//-----------------------------------------------------------------------------
// Completion and timers
//-----------------------------------------------------------------------------

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::Finish(const CallId& aCall,
                              const FinishedRequest& aFinished,
                              TimePoint aNow)
{
  Advance(aNow);
  const auto found = m_running.find(aCall);
  if (found != m_running.end()) {
    if (found->second.m_generation == m_generation) {
      --m_inFlight;
      UpdateEstimates(found->second, aFinished);
    }
    m_running.erase(found);
  }
  return DispatchQueued(aNow);
}

bool
ReportedLoadAdmission::RemoveQueued(const CallId& aCall, TimePoint aNow)
{
  Advance(aNow);
  const auto same = [&aCall](const auto& aEntry) {
    return aEntry.m_call == aCall;
  };
  const size_t pending = std::erase_if(m_pending, same);
  const bool queued = m_queue.Remove(aCall);
  return pending > 0 || queued;
}

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::Tick(TimePoint aNow)
{
  return DispatchQueued(aNow);
}

TimePoint
ReportedLoadAdmission::NextTick() const
{
  if (!m_pending.empty()) {
    return m_now;
  }
  TimePoint next = TimePoint::max();
  if (!m_queue.IsEmpty() && HasFreeSlot()) {
    if (!IsWithinColdStartRate() && !m_starts.empty()) {
      next = m_starts.front() + kRateWindow;
    } else {
      next = FirstStartable() ? m_now : m_urgentLoad.NextChange(m_now);
    }
    next = std::max(next, m_slowUntil);
  }
  for (const AdmissionRequest& request : m_queue.Entries()) {
    const TimePoint latestStart =
      request.m_deadline - m_serviceTimes.Expected(request.m_class);
    next = std::min(next, std::max(latestStart, m_now));
  }
  return next;
}

LoadReport
ReportedLoadAdmission::Report(TimePoint /*aNow*/) const
{
  LoadReport report;
  const bool isAbsent = m_lifecycle.State() == TargetState::Absent;
  report.m_inFlight = m_inFlight;
  report.m_queued = static_cast<uint32_t>(m_queue.Size());
  report.m_slots = isAbsent ? 0 : m_throughput.Slots();
  report.m_limit = isAbsent ? 0 : ConcurrencyLimit();
  report.m_cold = IsCold();
  report.m_leaving = m_lifecycle.State() == TargetState::Leaving;
  report.m_latency = m_serviceTimes.Mean();
  report.m_slowness = m_slowness;
  report.m_incarnation = m_lifecycle.Incarnation();
  return report;
}

void
ReportedLoadAdmission::RefuseQueued(ResultCode aCode)
{
  for (const AdmissionRequest& request : m_queue.Clear()) {
    Refuse(request, aCode);
  }
}

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::DispatchQueued(TimePoint aNow)
{
  Advance(aNow);
  for (size_t i = m_queue.Size(); i-- > 0;) {
    if (m_queue.Entries()[i].m_deadline <
        m_now + m_settings.m_minimumRemaining) {
      Refuse(m_queue.Take(i), ResultCode::ExpiredBeforeRun);
    }
  }
  while (!m_queue.IsEmpty()) {
    m_queue.Sort(m_now); // each start changes the shares
    const std::optional<size_t> first = FirstStartable();
    if (!first || !CanStart()) {
      break;
    }
    const AdmissionRequest request = m_queue.Take(*first);
    Start(request);
    m_pending.push_back({ request.m_call, true, ResultCode::Ok });
  }
  RefuseHopeless();
  return std::exchange(m_pending, {});
}

} // namespace

std::unique_ptr<AdmissionController>
MakeReportedLoadAdmission(AdmissionSettings aSettings)
{
  return std::make_unique<ReportedLoadAdmission>(aSettings);
}

} // namespace sassafrasquay
