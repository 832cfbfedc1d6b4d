// Admission beside a target that states its cold starts and its load.
#include "admission/admission.h"
#include "lifecycle/lifecycle.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace sassafrasquay {

namespace {

// Window of the rate at which a cold target gets requests.
constexpr Duration kRateWindow = std::chrono::seconds(1);
// Weight of one completion in what is typical of its class.
constexpr double kTypicalGain = 0.05;
// A request waits or goes elsewhere when work takes this many times as long as
// at the best of the last moments. A target that is slow all the time, for
// example in a cold start, is thus used as it is.
constexpr double kSlowFactor = 1.6;
constexpr uint32_t kUsualPercent = 100;
// Spells end by then; a target that is still slow is slow for good.
constexpr Duration kSlowWindow = std::chrono::seconds(1);
// A statement that the target is slow counts no longer than this: when no newer
// one comes, nothing is known.
constexpr Duration kSlowValid = std::chrono::milliseconds(250);
// Weight of one completion in the time at its concurrency; low, because single
// times differ by a factor of two.
constexpr double kCurveGain = 0.05;
// A limit below the slots has to promise this much more throughput.
constexpr double kCurveBenefit = 1.07;
// One start in so many may exceed the limit, to learn whether it still holds.
constexpr uint64_t kCurveExplore = 48;

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
  void SetColdStartRemaining(Duration aLeft, TimePoint aNow) override;
  void SetColdStartRate(double aPerSecond) override { m_coldRate = aPerSecond; }
  void SetSlowness(uint32_t aPercent, TimePoint aNow) override;
  bool IsBlockedBySlowness() const override
  {
    return IsSlow() && !m_queue.empty() && HasFreeSlot();
  }
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
  struct Running
  {
    uint64_t m_generation = 0;
    uint32_t m_class = 0;
    uint32_t m_concurrency = 0; // with this request, when it began
    bool m_slow = false;        // the target was slow when it began
  };

  ResultCode Closed() const;
  bool IsCold() const { return m_now < m_coldUntil; }
  bool IsSlow() const { return m_now < m_slowUntil; }
  bool HasFreeSlot() const { return m_inFlight < m_limit; }
  bool CanStart() const { return HasFreeSlot() && HasColdToken() && !IsSlow(); }
  bool HasColdToken() const;
  bool IsKnown(const CallId& aCall) const;
  Duration Expected(uint32_t aClass) const;
  Duration WaitFor(const AdmissionRequest& aRequest) const;
  bool MakesGoal(const AdmissionRequest& aRequest) const;
  bool GoesBefore(const AdmissionRequest& aLeft,
                  const AdmissionRequest& aRight) const;
  AdmissionResult Enqueue(const AdmissionRequest& aRequest);
  void Learn(const Running& aRequest, const FinishedRequest& aOutcome);
  void ChooseLimit();
  uint32_t BestSlowness() const;
  void ForgetSlowness();
  void Start(const AdmissionRequest& aRequest);
  void Refuse(const CallId& aCall, ResultCode aCode)
  {
    m_pending.push_back({ aCall, false, aCode });
  }
  void RefuseAll(ResultCode aCode);
  std::vector<QueuedCallVerdict> Pump(TimePoint aNow);
  void Advance(TimePoint aNow);

  AdmissionSettings m_settings;
  TargetLifecycle m_life;
  std::vector<AdmissionRequest> m_queue;
  std::unordered_map<CallId, Running> m_running;
  std::vector<QueuedCallVerdict>
    m_pending;                    // verdicts that no call has returned
  std::deque<TimePoint> m_starts; // within the last kRateWindow
  std::unordered_map<uint32_t, double> m_typical; // seconds, by class
  double m_mean = 0;                              // seconds, of all classes
  uint64_t m_generation = 0; // counts the processes behind this target
  uint32_t m_inFlight = 0;   // of the current generation
  uint32_t m_slots = 0;
  uint32_t m_limit = 0;        // requests in flight, at most the slots
  std::vector<double> m_curve; // time at 1, 2, ... in flight, against typical
  uint64_t m_startCount = 0;

  uint32_t m_slowness = kUsualPercent;
  std::deque<std::pair<TimePoint, uint32_t>> m_statements; // of the window
  TimePoint m_slowUntil{}; // the last statement that it is slow counts
  double m_coldRate = 0;   // requests per second; 0: not stated
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
    m_curve.assign(aSlots, 1.0);
    m_limit = aSlots;
  }
  // A target that was wrongly taken for lost still works on what it has.
  const bool sameProcess = m_life.Incarnation() == aIncarnation;
  if (m_life.Announce(aIncarnation) && !sameProcess) {
    ++m_generation;
    m_inFlight = 0;
    ForgetSlowness();
  }
}

void
ReportedLoadAdmission::ClearTarget(TimePoint aNow)
{
  Advance(aNow);
  m_life.Lose();
  RefuseAll(Closed());
}

void
ReportedLoadAdmission::SetLeaving(bool aLeaving, TimePoint aNow)
{
  Advance(aNow);
  if (!aLeaving) {
    m_life.Stay();
  } else if (m_life.Leave()) {
    RefuseAll(ResultCode::TargetLeaving);
  }
}

void
ReportedLoadAdmission::SetZoneOut(bool aOut, TimePoint aNow)
{
  Advance(aNow);
  if (aOut != m_zoneOut && aOut) {
    RefuseAll(ResultCode::ZoneOut);
  }
  m_zoneOut = aOut;
}

void
ReportedLoadAdmission::EnterColdStart(TimePoint aNow)
{
  Advance(aNow);
  m_coldUntil = TimePoint::max();
  m_life.TurnCold();
}

void
ReportedLoadAdmission::SetColdStartRemaining(Duration aLeft, TimePoint aNow)
{
  Advance(aNow);
  const bool wasCold = IsCold();
  m_coldUntil = m_now + aLeft;
  if (aLeft > Duration::zero()) {
    m_life.TurnCold();
    if (!wasCold) {
      ForgetSlowness(); // what it stated was about a warm target
    }
  } else {
    m_life.WarmUp();
  }
}

void
ReportedLoadAdmission::SetSlowness(uint32_t aPercent, TimePoint aNow)
{
  Advance(aNow);
  m_slowness = aPercent;
  while (!m_statements.empty() &&
         m_now - m_statements.front().first >= kSlowWindow) {
    m_statements.pop_front();
  }
  if (m_statements.empty()) {
    // Nothing to compare with: a warm target is expected at the usual speed.
    const uint32_t best =
      IsCold() ? aPercent : std::min(aPercent, kUsualPercent);
    m_statements.emplace_back(m_now, best);
  }
  m_statements.emplace_back(m_now, aPercent);
  const bool slow = aPercent >= kSlowFactor * BestSlowness();
  m_slowUntil = slow ? m_now + kSlowValid : TimePoint();
}

uint32_t
ReportedLoadAdmission::BestSlowness() const
{
  const auto best = std::min_element(m_statements.begin(),
                                     m_statements.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
  return best->second;
}

void
ReportedLoadAdmission::ForgetSlowness()
{
  m_slowness = kUsualPercent;
  m_slowUntil = {};
  m_statements.clear();
}

ResultCode
ReportedLoadAdmission::Closed() const
{
  if (m_life.State() == TargetState::Gone) {
    return ResultCode::NotReady;
  }
  if (m_zoneOut) {
    return ResultCode::ZoneOut;
  }
  return m_life.State() == TargetState::Leaving ? ResultCode::TargetLeaving
                                                : ResultCode::Ok;
}

//-----------------------------------------------------------------------------
// Estimates
//-----------------------------------------------------------------------------

Duration
ReportedLoadAdmission::Expected(uint32_t aClass) const
{
  const auto found = m_typical.find(aClass);
  return FromSeconds(found == m_typical.end() ? m_mean : found->second);
}

// Time until a slot is free for the request, behind those that go before it.
Duration
ReportedLoadAdmission::WaitFor(const AdmissionRequest& aRequest) const
{
  double work = ToSeconds(Expected(aRequest.m_class));
  for (const AdmissionRequest& other : m_queue) {
    if (!GoesBefore(aRequest, other)) {
      work += ToSeconds(Expected(other.m_class));
    }
  }
  return FromSeconds(work / std::max(1U, m_limit));
}

bool
ReportedLoadAdmission::MakesGoal(const AdmissionRequest& aRequest) const
{
  return aRequest.m_latencyObjective == TimePoint::max() ||
         m_now + Expected(aRequest.m_class) <= aRequest.m_latencyObjective;
}

// Requests that can still be answered within their objective go first, then by
// priority, then by the earlier objective or deadline.
bool
ReportedLoadAdmission::GoesBefore(const AdmissionRequest& aLeft,
                                  const AdmissionRequest& aRight) const
{
  const bool left = MakesGoal(aLeft);
  const bool right = MakesGoal(aRight);
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
ReportedLoadAdmission::Learn(const Running& aRequest,
                             const FinishedRequest& aOutcome)
{
  const bool whole = aOutcome.m_end == RequestOutcome::Completed ||
                     aOutcome.m_end == RequestOutcome::Error;
  if (!whole || aRequest.m_slow) {
    return; // says nothing about the usual time
  }
  const double took = ToSeconds(aOutcome.m_serviceTime);
  double& typical = m_typical[aRequest.m_class];
  double factor = 1; // up to half of the slots, by definition
  if (aRequest.m_concurrency > m_slots / 2 && typical > 0 &&
      aRequest.m_concurrency <= m_curve.size()) {
    double& known = m_curve[aRequest.m_concurrency - 1];
    known += kCurveGain * (took / typical - known);
    factor = known;
    ChooseLimit();
  }
  const auto learn = [](double& aMean, double aSample) {
    aMean = aMean <= 0 ? aSample : aMean + kTypicalGain * (aSample - aMean);
  };
  learn(typical, took / factor);
  learn(m_mean, took);
}

// Some targets work much slower when they are nearly full: then fewer requests
// at once get more done.
void
ReportedLoadAdmission::ChooseLimit()
{
  m_limit = m_slots;
  double most = m_slots / m_curve.back() * kCurveBenefit;
  for (uint32_t count = m_slots - 1; count > m_slots / 2; --count) {
    const double done = count / m_curve[count - 1];
    if (done > most) {
      most = done;
      m_limit = count;
    }
  }
}

//-----------------------------------------------------------------------------
// Offer
//-----------------------------------------------------------------------------

bool
ReportedLoadAdmission::HasColdToken() const
{
  if (!IsCold()) {
    return true;
  }
  if (m_coldRate <= 0) {
    return m_inFlight < m_settings.m_coldLimit;
  }
  return static_cast<double>(m_starts.size()) + 1 <= m_coldRate;
}

bool
ReportedLoadAdmission::IsKnown(const CallId& aCall) const
{
  const auto same = [&aCall](const auto& aOne) { return aOne.m_call == aCall; };
  return m_running.contains(aCall) ||
         std::any_of(m_queue.begin(), m_queue.end(), same) ||
         std::any_of(m_pending.begin(), m_pending.end(), same);
}

AdmissionResult
ReportedLoadAdmission::Offer(const AdmissionRequest& aRequest, TimePoint aNow)
{
  Advance(aNow);
  const ResultCode closed = Closed();
  if (closed != ResultCode::Ok) {
    return { AdmissionVerdict::Refused, closed };
  }
  if (IsKnown(aRequest.m_call)) {
    return { AdmissionVerdict::Refused, ResultCode::DuplicateInProgress };
  }
  if (aRequest.m_deadline < m_now + m_settings.m_minimumRemaining) {
    return { AdmissionVerdict::Refused, ResultCode::ExpiredBeforeRun };
  }
  if (!HasColdToken()) {
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
  const Duration wait = WaitFor(aRequest);
  if (m_now + wait + Expected(aRequest.m_class) > aRequest.m_deadline) {
    return { AdmissionVerdict::Refused, ResultCode::Overloaded };
  }
  const auto bound =
    static_cast<size_t>(m_settings.m_queuePerSlot * std::max(1U, m_slots));
  if (m_queue.size() >= bound) {
    // The one that would go last gives way.
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
  m_life.Start();
  ++m_inFlight;
  m_running.emplace(
    aRequest.m_call,
    Running{ m_generation, aRequest.m_class, m_inFlight, IsSlow() });
  m_starts.push_back(m_now);
  ++m_startCount;
  if (m_startCount % kCurveExplore == 0) {
    m_limit = m_slots; // until the next completion
  }
}

//-----------------------------------------------------------------------------
// Ends and time
//-----------------------------------------------------------------------------

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::Finish(const CallId& aCall,
                              const FinishedRequest& aOutcome,
                              TimePoint aNow)
{
  Advance(aNow);
  const auto found = m_running.find(aCall);
  if (found != m_running.end()) {
    if (found->second.m_generation == m_generation) {
      --m_inFlight;
      Learn(found->second, aOutcome);
    }
    m_running.erase(found);
  }
  return Pump(aNow);
}

bool
ReportedLoadAdmission::RemoveQueued(const CallId& aCall, TimePoint aNow)
{
  Advance(aNow);
  const auto same = [&aCall](const auto& aOne) { return aOne.m_call == aCall; };
  const size_t pending = std::erase_if(m_pending, same);
  const size_t queued = std::erase_if(m_queue, same);
  return pending + queued > 0;
}

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::Tick(TimePoint aNow)
{
  return Pump(aNow);
}

TimePoint
ReportedLoadAdmission::NextTick() const
{
  if (!m_pending.empty()) {
    return m_now;
  }
  TimePoint next = TimePoint::max();
  if (!m_queue.empty() && HasFreeSlot()) {
    const bool waits = !HasColdToken() && !m_starts.empty();
    next = waits ? m_starts.front() + kRateWindow : m_now;
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
  const bool gone = m_life.State() == TargetState::Gone;
  report.m_inFlight = m_inFlight;
  report.m_queued = static_cast<uint32_t>(m_queue.size());
  report.m_slots = gone ? 0 : m_slots;
  report.m_limit = gone ? 0 : m_limit;
  report.m_cold = IsCold();
  report.m_leaving = m_life.State() == TargetState::Leaving;
  report.m_latency = FromSeconds(m_mean);
  report.m_slowness = m_slowness;
  report.m_incarnation = m_life.Incarnation();
  return report;
}

void
ReportedLoadAdmission::RefuseAll(ResultCode aCode)
{
  for (const AdmissionRequest& request : m_queue) {
    Refuse(request.m_call, aCode);
  }
  m_queue.clear();
}

std::vector<QueuedCallVerdict>
ReportedLoadAdmission::Pump(TimePoint aNow)
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
