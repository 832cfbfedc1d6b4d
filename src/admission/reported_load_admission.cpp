// Admission for a target that reports its cold starts and its slowness.
#include "admission/admission.h"
#include "lifecycle/lifecycle.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace sassafrasquay {

namespace {

// Window over which the request rate of a cold target is limited.
constexpr Duration kRateWindow = std::chrono::seconds(1);
// Weight of one completion in the mean service time of its class.
constexpr double kServiceTimeWeight = 0.05;
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
// Weight of one completion in the relative service time at its concurrency;
// low, because single service times differ by a factor of two. The first ones
// weigh more, so that the limit is known within a second of overload.
constexpr double kRelativeTimeWeight = 0.05;
constexpr double kInitialSamples = 2; // weight of the assumed value of 1
// Share of its slots that a cold target gets. It is slow already, and some
// targets slow down further when they are nearly full; after a loss of power
// the node has not learnt yet whether its target does.
constexpr double kColdSlotShare = 0.8;
// Estimated gain in throughput that justifies a limit below the slots.
constexpr double kMinThroughputGain = 1.07;
// Once in this many starts, the limit is raised to the slots to measure the
// service time at high concurrency again.
constexpr uint64_t kExplorationInterval = 48;

double
ToSeconds(Duration aDuration)
{
  return FloatSeconds(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(FloatSeconds(aSeconds));
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
    return IsSlow() && !m_queue.empty() && HasFreeSlot();
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
  };

  ResultCode ClosedReason() const;
  bool IsCold() const { return m_now < m_coldUntil; }
  bool IsSlow() const { return m_now < m_slowUntil; }
  bool HasFreeSlot() const { return m_inFlight < ConcurrencyLimit(); }
  uint32_t ConcurrencyLimit() const
  {
    const auto coldLimit = static_cast<uint32_t>(kColdSlotShare * m_slots);
    return IsCold() ? std::clamp(coldLimit, 1U, std::max(1U, m_limit))
                    : m_limit;
  }
  bool CanStart() const
  {
    return HasFreeSlot() && IsWithinColdStartRate() && !IsSlow();
  }
  bool IsWithinColdStartRate() const;
  bool IsInProgress(const CallId& aCall) const;
  Duration ExpectedServiceTime(uint32_t aClass) const;
  Duration EstimateWait(const AdmissionRequest& aRequest) const;
  bool MeetsObjective(const AdmissionRequest& aRequest) const;
  bool GoesBefore(const AdmissionRequest& aLeft,
                  const AdmissionRequest& aRight) const;
  AdmissionResult Enqueue(const AdmissionRequest& aRequest);
  void UpdateEstimates(const RunningRequest& aRequest,
                       const FinishedRequest& aFinished);
  void UpdateLimit();
  uint32_t LowestSlowness() const;
  void ClearSlowness();
  void Start(const AdmissionRequest& aRequest);
  void Refuse(const CallId& aCall, ResultCode aCode)
  {
    m_pending.push_back({ aCall, false, aCode });
  }
  void RefuseQueued(ResultCode aCode);
  std::vector<QueuedCallVerdict> DispatchQueued(TimePoint aNow);
  void Advance(TimePoint aNow);

  AdmissionSettings m_settings;
  TargetLifecycle m_lifecycle;
  std::vector<AdmissionRequest> m_queue;
  std::unordered_map<CallId, RunningRequest> m_running;
  std::vector<QueuedCallVerdict> m_pending; // verdicts not returned yet
  std::deque<TimePoint> m_starts;           // within the last kRateWindow
  std::unordered_map<uint32_t, double> m_classMeans; // seconds, by class
  double m_overallMean = 0;  // seconds, over all classes
  uint64_t m_generation = 0; // counts the processes of this target
  uint32_t m_inFlight = 0;   // of the current generation
  uint32_t m_slots = 0;
  uint32_t m_limit = 0; // requests in flight, at most the slots
  // Service time with 1, 2, ... requests in flight / mean of its class.
  std::vector<double> m_relativeTimes;
  std::vector<uint32_t> m_relativeTimeSamples;
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
  if (aSlots != m_slots) {
    m_slots = aSlots;
    m_relativeTimes.assign(aSlots, 1.0);
    m_relativeTimeSamples.assign(aSlots, 0);
    m_limit = aSlots;
  }
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

Duration
ReportedLoadAdmission::ExpectedServiceTime(uint32_t aClass) const
{
  const auto found = m_classMeans.find(aClass);
  return FromSeconds(found == m_classMeans.end() ? m_overallMean
                                                 : found->second);
}

// Time until a slot is free for the request, after the queued ones that run
// before it.
Duration
ReportedLoadAdmission::EstimateWait(const AdmissionRequest& aRequest) const
{
  double work = ToSeconds(ExpectedServiceTime(aRequest.m_class));
  for (const AdmissionRequest& other : m_queue) {
    if (!GoesBefore(aRequest, other)) {
      work += ToSeconds(ExpectedServiceTime(other.m_class));
    }
  }
  return FromSeconds(work / std::max(1U, ConcurrencyLimit()));
}

bool
ReportedLoadAdmission::MeetsObjective(const AdmissionRequest& aRequest) const
{
  return aRequest.m_latencyObjective == TimePoint::max() ||
         m_now + ExpectedServiceTime(aRequest.m_class) <=
           aRequest.m_latencyObjective;
}

// Requests that can still be answered within their objective go first, then by
// priority, then by the earlier objective or deadline.
bool
ReportedLoadAdmission::GoesBefore(const AdmissionRequest& aLeft,
                                  const AdmissionRequest& aRight) const
{
  const bool left = MeetsObjective(aLeft);
  const bool right = MeetsObjective(aRight);
  if (left != right) {
    return left;
  }
  if (aLeft.m_priority != aRight.m_priority) {
    return aLeft.m_priority > aRight.m_priority;
  }
  return std::min(aLeft.m_latencyObjective, aLeft.m_deadline) <
         std::min(aRight.m_latencyObjective, aRight.m_deadline);
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
  const double serviceTime = ToSeconds(aFinished.m_serviceTime);
  double& classMean = m_classMeans[aRequest.m_class];
  double factor = 1; // by definition, up to half of the slots
  if (aRequest.m_concurrency > m_slots / 2 && classMean > 0 &&
      aRequest.m_concurrency <= m_relativeTimes.size()) {
    const size_t index = aRequest.m_concurrency - 1;
    double& relativeTime = m_relativeTimes[index];
    const double samples = kInitialSamples + ++m_relativeTimeSamples[index];
    relativeTime += std::max(kRelativeTimeWeight, 1 / samples) *
                    (serviceTime / classMean - relativeTime);
    factor = relativeTime;
    UpdateLimit();
  }
  const auto update = [](double& aMean, double aSample) {
    aMean =
      aMean <= 0 ? aSample : aMean + kServiceTimeWeight * (aSample - aMean);
  };
  update(classMean, serviceTime / factor);
  update(m_overallMean, serviceTime);
}

// Some targets slow down so much when nearly full that fewer concurrent
// requests give a higher throughput.
void
ReportedLoadAdmission::UpdateLimit()
{
  m_limit = m_slots;
  double bestThroughput = m_slots / m_relativeTimes.back() * kMinThroughputGain;
  for (uint32_t count = m_slots - 1; count > m_slots / 2; --count) {
    const double throughput = count / m_relativeTimes[count - 1];
    if (throughput > bestThroughput) {
      bestThroughput = throughput;
      m_limit = count;
    }
  }
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
  const auto same = [&aCall](const auto& aEntry) {
    return aEntry.m_call == aCall;
  };
  return m_running.contains(aCall) ||
         std::any_of(m_queue.begin(), m_queue.end(), same) ||
         std::any_of(m_pending.begin(), m_pending.end(), same);
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
  if (CanStart() && m_queue.empty()) {
    Start(aRequest);
    return { AdmissionVerdict::Admitted, ResultCode::Ok };
  }
  if (!aRequest.m_mayQueue) {
    return { AdmissionVerdict::Refused,
             IsSlow() ? ResultCode::TargetSlow : ResultCode::Overloaded };
  }
  return Enqueue(aRequest);
}

AdmissionResult
ReportedLoadAdmission::Enqueue(const AdmissionRequest& aRequest)
{
  const Duration wait = EstimateWait(aRequest);
  if (m_now + wait + ExpectedServiceTime(aRequest.m_class) >
      aRequest.m_deadline) {
    return { AdmissionVerdict::Refused, ResultCode::Overloaded };
  }
  const auto maxLength =
    static_cast<size_t>(m_settings.m_queuePerSlot * std::max(1U, m_slots));
  if (m_queue.size() >= maxLength) {
    // The request that would run last is refused.
    const auto last = std::max_element(
      m_queue.begin(), m_queue.end(), [this](const auto& aL, const auto& aR) {
        return GoesBefore(aL, aR);
      });
    if (last == m_queue.end() || !GoesBefore(aRequest, *last)) {
      return { AdmissionVerdict::Refused, ResultCode::Overloaded };
    }
    Refuse(last->m_call, ResultCode::ShedByPriority);
    m_queue.erase(last);
  }
  m_queue.push_back(aRequest);
  return { AdmissionVerdict::Queued, ResultCode::Ok };
}

void
ReportedLoadAdmission::Start(const AdmissionRequest& aRequest)
{
  m_lifecycle.MarkDispatched();
  ++m_inFlight;
  m_running.emplace(
    aRequest.m_call,
    RunningRequest{ m_generation, aRequest.m_class, m_inFlight, IsSlow() });
  m_starts.push_back(m_now);
  ++m_startCount;
  if (m_startCount % kExplorationInterval == 0) {
    m_limit = m_slots; // until the next completion
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
  const size_t queued = std::erase_if(m_queue, same);
  return pending + queued > 0;
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
  if (!m_queue.empty() && HasFreeSlot()) {
    const bool isRateLimited = !IsWithinColdStartRate() && !m_starts.empty();
    next = isRateLimited ? m_starts.front() + kRateWindow : m_now;
    next = std::max(next, m_slowUntil);
  }
  for (const AdmissionRequest& request : m_queue) {
    next = std::min(next, request.m_deadline);
  }
  return next;
}

LoadReport
ReportedLoadAdmission::Report(TimePoint /*aNow*/) const
{
  LoadReport report;
  const bool isAbsent = m_lifecycle.State() == TargetState::Absent;
  report.m_inFlight = m_inFlight;
  report.m_queued = static_cast<uint32_t>(m_queue.size());
  report.m_slots = isAbsent ? 0 : m_slots;
  report.m_limit = isAbsent ? 0 : ConcurrencyLimit();
  report.m_cold = IsCold();
  report.m_leaving = m_lifecycle.State() == TargetState::Leaving;
  report.m_latency = FromSeconds(m_overallMean);
  report.m_slowness = m_slowness;
  report.m_incarnation = m_lifecycle.Incarnation();
  return report;
}

void
ReportedLoadAdmission::RefuseQueued(ResultCode aCode)
{
  for (const AdmissionRequest& request : m_queue) {
    Refuse(request.m_call, aCode);
  }
  m_queue.clear();
}

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::DispatchQueued(TimePoint aNow)
{
  Advance(aNow);
  std::erase_if(m_queue, [this](const AdmissionRequest& aRequest) {
    const bool expired =
      aRequest.m_deadline < m_now + m_settings.m_minimumRemaining;
    if (expired) {
      Refuse(aRequest.m_call, ResultCode::ExpiredBeforeRun);
    }
    return expired;
  });
  while (!m_queue.empty() && CanStart()) {
    const auto first = std::min_element(
      m_queue.begin(), m_queue.end(), [this](const auto& aL, const auto& aR) {
        return GoesBefore(aL, aR);
      });
    Start(*first);
    m_pending.push_back({ first->m_call, true, ResultCode::Ok });
    m_queue.erase(first);
  }
  return std::exchange(m_pending, {});
}

} // namespace

std::unique_ptr<AdmissionController>
MakeReportedLoadAdmission(AdmissionSettings aSettings)
{
  return std::make_unique<ReportedLoadAdmission>(aSettings);
}

} // namespace sassafrasquay
