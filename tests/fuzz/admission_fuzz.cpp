// Checks adaptive admission against a simple model under random events. Guards
// against more calls in flight than slots or than the cold limit, missing or
// duplicate verdicts, dispatch of expired calls, admission while the target
// accepts no requests, and free slots while calls are queued.
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

enum class StepKind
{
  Offer,
  OfferAgain, // a call id that was used before
  FinishCompleted,
  FinishFailed,
  RemoveQueued,
  Tick,
  Advance,
  Pause,
  ClockBack,
  Resize,
  NewIncarnation,
  TurnCold,
  Leaving,
  ZoneOut,
  Clear
};

struct Step
{
  StepKind m_kind;
  uint32_t m_first; // random arguments of the step
  uint32_t m_second;
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << "{" << static_cast<int>(aStep.m_kind) << "," << aStep.m_first
              << "," << aStep.m_second << "}";
}

rc::Gen<std::vector<Step>>
Steps()
{
  const auto kind =
    rc::gen::weightedElement<StepKind>({ { 400, StepKind::Offer },
                                         { 10, StepKind::OfferAgain },
                                         { 350, StepKind::FinishCompleted },
                                         { 30, StepKind::FinishFailed },
                                         { 30, StepKind::RemoveQueued },
                                         { 60, StepKind::Tick },
                                         { 60, StepKind::Advance },
                                         { 5, StepKind::Pause },
                                         { 5, StepKind::ClockBack },
                                         { 5, StepKind::Resize },
                                         { 3, StepKind::NewIncarnation },
                                         { 3, StepKind::TurnCold },
                                         { 8, StepKind::Leaving },
                                         { 8, StepKind::ZoneOut },
                                         { 3, StepKind::Clear } });
  const auto step = rc::gen::construct<Step>(
    kind, rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
  return rc::gen::resize(1500, rc::gen::container<std::vector<Step>>(step));
}

constexpr AdmissionSettings kSettings{ .m_coldLimit = 2 };

struct QueuedCall
{
  TimePoint m_deadline;
  bool m_mustBeRefused = false; // the target was closed while it was queued
};

class Model
{
public:
  void Run(const std::vector<Step>& aSteps);

private:
  void Apply(const Step& aStep);
  void Offer(const CallId& aCall, const Step& aStep);
  void Finish(const Step& aStep, RequestOutcome aOutcome);
  void RemoveQueued(uint32_t aIndex);
  void Announce(uint32_t aSlots, bool aIsNew);
  void MarkQueuedAsRefused(bool aClosed);
  void TurnCold();
  void HandleVerdicts(const std::vector<QueuedCallVerdict>& aVerdicts);
  void Admit(const CallId& aCall, TimePoint aDeadline);
  ResultCode ClosedReason() const;
  TimePoint Now() const { return m_now - m_clockLag; }
  uint32_t InFlight() const;
  void CheckInvariants() const;
  void DrainQueue();

  std::unique_ptr<AdmissionController> m_admission =
    MakeAdaptiveAdmission(kSettings);
  TimePoint m_now{ 1h };
  Duration m_clockLag{}; // lag of the passed-in time behind m_now
  uint64_t m_lastCall = 0;
  uint64_t m_incarnation = 0;
  uint32_t m_slots = 0;
  bool m_absent = true;
  bool m_leaving = false;
  bool m_zoneOut = false;
  uint32_t m_completed = 0; // since the last cold start caused by the test
  std::map<uint64_t, QueuedCall> m_queued; // by call sequence
  std::map<uint64_t, uint64_t> m_running;  // sequence to incarnation
};

void
Model::Run(const std::vector<Step>& aSteps)
{
  Announce(4, true);
  for (const Step& step : aSteps) {
    Apply(step);
    CheckInvariants();
  }
  DrainQueue();
}

void
Model::Apply(const Step& aStep)
{
  const Duration small = 20us * aStep.m_first;
  m_clockLag = Duration(0);
  switch (aStep.m_kind) {
    case StepKind::Offer:
      return Offer({ 1, ++m_lastCall }, aStep);
    case StepKind::OfferAgain:
      return Offer({ 1, m_lastCall == 0 ? 1 : 1 + aStep.m_second % m_lastCall },
                   aStep);
    case StepKind::FinishCompleted:
      return Finish(aStep, RequestOutcome::Completed);
    case StepKind::FinishFailed:
      return Finish(aStep, static_cast<RequestOutcome>(1 + aStep.m_first % 5));
    case StepKind::RemoveQueued:
      return RemoveQueued(aStep.m_second);
    case StepKind::Tick:
      return HandleVerdicts(m_admission->Tick(m_now));
    case StepKind::Advance:
      m_now += small;
      return;
    case StepKind::Pause:
      m_now += 10s;
      return;
    case StepKind::ClockBack:
      HandleVerdicts(m_admission->Tick(m_now));
      m_clockLag = 1s;
      return HandleVerdicts(m_admission->Tick(Now()));
    case StepKind::Resize:
      return Announce(aStep.m_first % 8, m_absent);
    case StepKind::NewIncarnation:
      return Announce(1 + aStep.m_first % 8, true);
    case StepKind::TurnCold:
      m_admission->EnterColdStart(m_now);
      return TurnCold();
    case StepKind::Leaving:
      m_admission->SetLeaving(aStep.m_first % 2 == 0, m_now);
      if (!m_absent && m_leaving && aStep.m_first % 2 == 1) {
        TurnCold();
      }
      m_leaving = !m_absent && aStep.m_first % 2 == 0;
      return MarkQueuedAsRefused(m_leaving);
    case StepKind::ZoneOut:
      m_admission->SetZoneOut(aStep.m_first % 2 == 0, m_now);
      if (m_zoneOut && aStep.m_first % 2 == 1) {
        TurnCold();
      }
      m_zoneOut = aStep.m_first % 2 == 0;
      return MarkQueuedAsRefused(m_zoneOut);
    case StepKind::Clear:
      m_admission->ClearTarget(m_now);
      m_absent = true;
      m_leaving = false;
      return MarkQueuedAsRefused(true);
  }
}

void
Model::Offer(const CallId& aCall, const Step& aStep)
{
  const bool isInProgress =
    m_queued.contains(aCall.m_sequence) || m_running.contains(aCall.m_sequence);
  const TimePoint deadline = m_now + 30us * aStep.m_second - 1ms;
  const bool isIdle = InFlight() == 0 && m_queued.empty() && m_slots > 0;
  const auto priority = static_cast<uint8_t>(aStep.m_first % 4);
  const auto result = m_admission->Offer({ aCall, deadline, priority }, Now());
  const bool isRefused = result.m_verdict == AdmissionVerdict::Refused;
  if (ClosedReason() != ResultCode::Ok) {
    RC_ASSERT(isRefused);
    RC_ASSERT(result.m_code == ClosedReason());
  } else if (isInProgress) {
    RC_ASSERT(isRefused);
    RC_ASSERT(result.m_code == ResultCode::DuplicateInProgress);
  } else if (isIdle && deadline >= m_now + kSettings.m_minimumRemaining) {
    RC_ASSERT(result.m_verdict == AdmissionVerdict::Admitted);
  }
  if (result.m_verdict == AdmissionVerdict::Admitted) {
    Admit(aCall, deadline);
  } else if (!isRefused) {
    m_queued[aCall.m_sequence] = { deadline };
  }
}

void
Model::Finish(const Step& aStep, RequestOutcome aOutcome)
{
  if (m_running.empty()) {
    return;
  }
  const auto it =
    std::next(m_running.begin(),
              static_cast<ptrdiff_t>(aStep.m_second % m_running.size()));
  const CallId call{ 1, it->first };
  const bool isCurrent = it->second == m_incarnation && !m_absent;
  m_running.erase(it);
  // Mostly near 5 ms, sometimes far above.
  const Duration serviceTime =
    4ms + (aStep.m_first % 10 == 0 ? 50us : 2us) * aStep.m_first;
  m_now += serviceTime / 8;
  if (isCurrent && aOutcome == RequestOutcome::Completed) {
    ++m_completed;
  }
  HandleVerdicts(m_admission->Finish(call, { aOutcome, serviceTime }, m_now));
}

void
Model::RemoveQueued(uint32_t aIndex)
{
  if (m_queued.empty()) {
    RC_ASSERT(!m_admission->RemoveQueued({ 2, aIndex }, m_now));
    return;
  }
  const auto it = std::next(m_queued.begin(),
                            static_cast<ptrdiff_t>(aIndex % m_queued.size()));
  RC_ASSERT(m_admission->RemoveQueued({ 1, it->first }, m_now));
  m_queued.erase(it);
}

void
Model::Announce(uint32_t aSlots, bool aIsNew)
{
  m_incarnation += aIsNew ? 1 : 0;
  m_admission->SetTarget(aSlots, m_incarnation, m_now);
  m_slots = aSlots;
  m_absent = false;
  if (aIsNew) {
    m_leaving = false;
    TurnCold();
  }
}

void
Model::MarkQueuedAsRefused(bool aClosed)
{
  for (auto& [call, queued] : m_queued) {
    queued.m_mustBeRefused = queued.m_mustBeRefused || aClosed;
  }
}

void
Model::TurnCold()
{
  m_completed = 0;
}

void
Model::HandleVerdicts(const std::vector<QueuedCallVerdict>& aVerdicts)
{
  for (const QueuedCallVerdict& verdict : aVerdicts) {
    const auto it = m_queued.find(verdict.m_call.m_sequence);
    RC_ASSERT(it != m_queued.end()); // exactly one verdict for each call
    const QueuedCall queued = it->second;
    m_queued.erase(it);
    if (verdict.m_admitted) {
      RC_ASSERT(!queued.m_mustBeRefused);
      Admit(verdict.m_call, queued.m_deadline);
    } else {
      RC_ASSERT(verdict.m_code != ResultCode::Ok);
    }
  }
  // After Finish or Tick, no slot is free while a call is queued.
  const LoadReport report = m_admission->Report(Now());
  if (ClosedReason() == ResultCode::Ok && report.m_inFlight < report.m_limit) {
    RC_ASSERT(m_queued.empty());
  }
  RC_ASSERT(m_admission->NextTick() > m_now);
}

void
Model::Admit(const CallId& aCall, TimePoint aDeadline)
{
  RC_ASSERT(ClosedReason() == ResultCode::Ok);
  RC_ASSERT(aDeadline > m_now);
  m_running[aCall.m_sequence] = m_incarnation;
  RC_ASSERT(InFlight() <= m_slots);
  if (m_admission->Report(Now()).m_cold) {
    RC_ASSERT(InFlight() <= kSettings.m_coldLimit);
  }
}

ResultCode
Model::ClosedReason() const
{
  if (m_absent) {
    return ResultCode::NotReady;
  }
  if (m_zoneOut) {
    return ResultCode::ZoneOut;
  }
  return m_leaving ? ResultCode::TargetLeaving : ResultCode::Ok;
}

uint32_t
Model::InFlight() const
{
  return static_cast<uint32_t>(
    std::count_if(m_running.begin(), m_running.end(), [&](const auto& aEntry) {
      return aEntry.second == m_incarnation;
    }));
}

void
Model::CheckInvariants() const
{
  const LoadReport report = m_admission->Report(Now());
  RC_ASSERT(report.m_leaving == m_leaving);
  RC_ASSERT(report.m_queued <= m_queued.size());
  RC_ASSERT(report.m_queued <= kSettings.m_queuePerSlot * m_slots);
  if (m_absent) {
    RC_ASSERT(report.m_limit == 0U);
    return;
  }
  RC_ASSERT(report.m_inFlight == InFlight());
  RC_ASSERT(report.m_slots == m_slots);
  RC_ASSERT(report.m_limit <= m_slots);
  RC_ASSERT(report.m_limit >= std::min(1U, m_slots));
  if (report.m_cold) {
    RC_ASSERT(report.m_limit <= kSettings.m_coldLimit);
  } else if (!m_leaving) {
    RC_ASSERT(m_completed >= 8U); // warm only after completions
  }
  const bool isFree = report.m_inFlight < report.m_limit;
  if (ClosedReason() == ResultCode::Ok && isFree && !m_queued.empty()) {
    RC_ASSERT(m_admission->NextTick() <= m_now);
  }
}

// Every queued call gets a verdict by the passing of time alone.
void
Model::DrainQueue()
{
  m_clockLag = Duration(0);
  for (int i = 0; m_admission->NextTick() != TimePoint::max(); ++i) {
    RC_ASSERT(i < 1000);
    m_now = std::max(m_now, m_admission->NextTick());
    HandleVerdicts(m_admission->Tick(m_now));
  }
  RC_ASSERT(m_queued.empty());
}

// A target under overload. Its service times vary around a base that the test
// changes without informing admission.
class OverloadedTarget
{
public:
  OverloadedTarget(uint32_t aSlots, uint64_t aSeed)
    : m_slots(aSlots)
    , m_random(aSeed)
  {
    Restart();
  }

  void SetBase(Duration aBase) { m_base = aBase; }
  void Restart() { m_admission->SetTarget(m_slots, ++m_incarnation, m_now); }
  void SetReferenceLatency(Duration aTypical)
  {
    m_admission->SetReferenceLatency(aTypical, m_now);
  }
  // Returns the number of completions until aIsDone is true, at most aMaxCount.
  int Serve(int aMaxCount,
            const std::function<bool(const LoadReport&)>& aIsDone);
  LoadReport Report() const { return m_admission->Report(m_now); }

private:
  void OfferUntilRefused();
  void Start(uint64_t aCall);

  std::unique_ptr<AdmissionController> m_admission =
    MakeAdaptiveAdmission(kSettings);
  uint32_t m_slots;
  uint64_t m_incarnation = 0;
  SeededRandom m_random;
  TimePoint m_now{ 1h };
  Duration m_base = 5ms;
  uint64_t m_lastCall = 0;
  // End of service to call sequence and start.
  std::multimap<TimePoint, std::pair<uint64_t, TimePoint>> m_ends;
};

int
OverloadedTarget::Serve(int aMaxCount,
                        const std::function<bool(const LoadReport&)>& aIsDone)
{
  int count = 0;
  OfferUntilRefused();
  for (; count < aMaxCount && !aIsDone(Report()); ++count) {
    const auto [end, call] = *m_ends.begin();
    m_ends.erase(m_ends.begin());
    m_now = end;
    const FinishedRequest finished{ RequestOutcome::Completed,
                                    m_now - call.second };
    const auto events = m_admission->Finish({ 1, call.first }, finished, m_now);
    for (const QueuedCallVerdict& verdict : events) {
      if (verdict.m_admitted) {
        Start(verdict.m_call.m_sequence);
      }
    }
    OfferUntilRefused();
  }
  return count;
}

void
OverloadedTarget::OfferUntilRefused()
{
  while (true) {
    const AdmissionRequest request{ { 1, ++m_lastCall }, m_now + 10s };
    const auto verdict = m_admission->Offer(request, m_now).m_verdict;
    if (verdict == AdmissionVerdict::Refused) {
      return;
    }
    if (verdict == AdmissionVerdict::Admitted) {
      Start(m_lastCall);
    }
  }
}

// Service times vary by 30% around the base.
void
OverloadedTarget::Start(uint64_t aCall)
{
  const double factor = 0.7 + 0.6 * m_random.NextDouble();
  const auto serviceTime =
    std::chrono::duration_cast<Duration>(m_base * factor);
  m_ends.emplace(m_now + serviceTime, std::pair(aCall, m_now));
}

bool
Never(const LoadReport&)
{
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

RC_BOOST_PROP(every_call_gets_one_verdict_within_the_limits, ())
{
  // Several sequences in each of rapidcheck's 100 cases.
  for (int i = 0; i < 10; ++i) {
    Model().Run(*Steps());
  }
}

// Guards against full load for a target that turns cold without reporting it,
// and against a target that never regains its full limit.
RC_BOOST_PROP(a_target_that_turns_cold_returns_to_the_cold_limit, ())
{
  const auto slots = *rc::gen::inRange(2U, 17U);
  const Duration base = *rc::gen::inRange(2, 20) * 1ms;
  OverloadedTarget target(slots, *rc::gen::arbitrary<uint64_t>());
  target.SetBase(base);
  const auto isFull = [&](const LoadReport& aReport) {
    return aReport.m_limit == slots;
  };
  RC_ASSERT(target.Serve(600, isFull) < 600);
  target.Serve(100, Never);
  target.SetBase(*rc::gen::inRange(8, 20) * base);
  const int maxCount = static_cast<int>(2 * slots) + 16;
  const auto isAtColdLimit = [](const LoadReport& aReport) {
    return aReport.m_cold && aReport.m_inFlight <= kSettings.m_coldLimit;
  };
  RC_ASSERT(target.Serve(maxCount, isAtColdLimit) < maxCount);
  const auto isAboveColdLimit = [&](const LoadReport& aReport) {
    return !isAtColdLimit(aReport);
  };
  RC_ASSERT(target.Serve(50, isAboveColdLimit) == 50);
  target.SetBase(base);
  RC_ASSERT(target.Serve(600, isFull) < 600);
}

// Guards against full load for a new target before it is warm, whether the
// baseline comes from its own service times or from other targets.
RC_BOOST_PROP(a_new_target_stays_cold_until_it_is_as_fast_as_the_others, ())
{
  const auto slots = *rc::gen::inRange(2U, 17U);
  const Duration base = *rc::gen::inRange(2, 20) * 1ms;
  OverloadedTarget target(slots, *rc::gen::arbitrary<uint64_t>());
  target.SetBase(base);
  const auto isFull = [&](const LoadReport& aReport) {
    return aReport.m_limit == slots;
  };
  if (*rc::gen::arbitrary<bool>()) {
    target.SetReferenceLatency(base);
  } else {
    RC_ASSERT(target.Serve(600, isFull) < 600);
    target.Serve(100, Never);
    target.Restart();
  }
  target.SetBase(*rc::gen::inRange(4, 11) * base);
  const auto isAboveColdLimit = [](const LoadReport& aReport) {
    return !aReport.m_cold || aReport.m_inFlight > kSettings.m_coldLimit;
  };
  const int slowCount = *rc::gen::inRange(30, 100);
  RC_ASSERT(target.Serve(slowCount, isAboveColdLimit) == slowCount);
  target.SetBase(base);
  RC_ASSERT(target.Serve(600, isFull) < 600);
}

// Guards against a limit that does not follow a noisy neighbour, that treats it
// as a cold start, or that does not recover.
RC_BOOST_PROP(a_noisy_neighbour_lowers_the_limit_for_a_while, ())
{
  const auto slots = *rc::gen::inRange(4U, 17U);
  OverloadedTarget target(slots, *rc::gen::arbitrary<uint64_t>());
  const auto isFull = [&](const LoadReport& aReport) {
    return aReport.m_limit == slots;
  };
  RC_ASSERT(target.Serve(600, isFull) < 600);
  target.Serve(100, Never);
  target.SetBase(*rc::gen::inRange(25, 33) * 500us);
  const auto isLowered = [&](const LoadReport& aReport) {
    return aReport.m_limit < slots;
  };
  // Requests in flight at the change end at the previous speed.
  const int maxCount = static_cast<int>(slots) + 10;
  RC_ASSERT(target.Serve(maxCount, isLowered) < maxCount);
  const auto isCold = [](const LoadReport& aReport) { return aReport.m_cold; };
  RC_ASSERT(target.Serve(100, isCold) == 100);
  target.SetBase(5ms);
  RC_ASSERT(target.Serve(600, isFull) < 600);
}

BOOST_AUTO_TEST_SUITE_END()
