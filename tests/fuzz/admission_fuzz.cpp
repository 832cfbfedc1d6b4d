// Drives admission with random histories against a simple record of what each
// call was told. Guards against more in flight than slots or than the cold
// bound, lost or double verdicts, dispatch of expired calls, admission while
// closed, and free slots beside waiting calls.
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

enum class Kind
{
  Offer,
  OfferAgain, // a call id that is already known
  FinishGood,
  FinishBad,
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
  Kind m_kind;
  uint32_t m_a;
  uint32_t m_b;
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << "{" << static_cast<int>(aStep.m_kind) << "," << aStep.m_a
              << "," << aStep.m_b << "}";
}

rc::Gen<std::vector<Step>>
Steps()
{
  const auto kind =
    rc::gen::weightedElement<Kind>({ { 400, Kind::Offer },
                                     { 10, Kind::OfferAgain },
                                     { 350, Kind::FinishGood },
                                     { 30, Kind::FinishBad },
                                     { 30, Kind::RemoveQueued },
                                     { 60, Kind::Tick },
                                     { 60, Kind::Advance },
                                     { 5, Kind::Pause },
                                     { 5, Kind::ClockBack },
                                     { 5, Kind::Resize },
                                     { 3, Kind::NewIncarnation },
                                     { 3, Kind::TurnCold },
                                     { 8, Kind::Leaving },
                                     { 8, Kind::ZoneOut },
                                     { 3, Kind::Clear } });
  const auto step = rc::gen::construct<Step>(
    kind, rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
  return rc::gen::resize(1500, rc::gen::container<std::vector<Step>>(step));
}

constexpr AdmissionSettings kSettings{ .m_coldLimit = 2 };

struct Waiting
{
  TimePoint m_deadline;
  bool m_doomed = false; // the target was closed while it waited
};

class Story
{
public:
  void Run(const std::vector<Step>& aSteps);

private:
  void Do(const Step& aStep);
  void Offer(const CallId& aCall, const Step& aStep);
  void Finish(const Step& aStep, RequestOutcome aEnd);
  void RemoveQueued(uint32_t aIndex);
  void Announce(uint32_t aSlots, bool aIsNew);
  void Close(bool aClosed);
  void TurnCold();
  void Take(const std::vector<QueuedCallVerdict>& aEvents);
  void Admit(const CallId& aCall, TimePoint aDeadline);
  ResultCode Closed() const;
  TimePoint Now() const { return m_now - m_back; }
  uint32_t InFlight() const;
  void CheckAlways() const;
  void Finale();

  std::unique_ptr<AdmissionController> m_admission =
    MakeAdaptiveAdmission(kSettings);
  TimePoint m_now{ 1h };
  Duration m_back{}; // how far the clock passed in lies behind
  uint64_t m_next = 0;
  uint64_t m_incarnation = 0;
  uint32_t m_slots = 0;
  bool m_gone = true;
  bool m_leaving = false;
  bool m_zoneOut = false;
  uint32_t m_completed = 0;               // since the last certain cold start
  std::map<uint64_t, Waiting> m_waiting;  // by sequence of the call
  std::map<uint64_t, uint64_t> m_running; // with the incarnation they run on
};

void
Story::Run(const std::vector<Step>& aSteps)
{
  Announce(4, true);
  for (const Step& step : aSteps) {
    Do(step);
    CheckAlways();
  }
  Finale();
}

void
Story::Do(const Step& aStep)
{
  const Duration small = 20us * aStep.m_a;
  m_back = Duration(0);
  switch (aStep.m_kind) {
    case Kind::Offer:
      return Offer({ 1, ++m_next }, aStep);
    case Kind::OfferAgain:
      return Offer({ 1, m_next == 0 ? 1 : 1 + aStep.m_b % m_next }, aStep);
    case Kind::FinishGood:
      return Finish(aStep, RequestOutcome::Completed);
    case Kind::FinishBad:
      return Finish(aStep, static_cast<RequestOutcome>(1 + aStep.m_a % 5));
    case Kind::RemoveQueued:
      return RemoveQueued(aStep.m_b);
    case Kind::Tick:
      return Take(m_admission->Tick(m_now));
    case Kind::Advance:
      m_now += small;
      return;
    case Kind::Pause:
      m_now += 10s;
      return;
    case Kind::ClockBack:
      Take(m_admission->Tick(m_now));
      m_back = 1s;
      return Take(m_admission->Tick(Now()));
    case Kind::Resize:
      return Announce(aStep.m_a % 8, m_gone);
    case Kind::NewIncarnation:
      return Announce(1 + aStep.m_a % 8, true);
    case Kind::TurnCold:
      m_admission->EnterColdStart(m_now);
      return TurnCold();
    case Kind::Leaving:
      m_admission->SetLeaving(aStep.m_a % 2 == 0, m_now);
      if (!m_gone && m_leaving && aStep.m_a % 2 == 1) {
        TurnCold();
      }
      m_leaving = !m_gone && aStep.m_a % 2 == 0;
      return Close(m_leaving);
    case Kind::ZoneOut:
      m_admission->SetZoneOut(aStep.m_a % 2 == 0, m_now);
      if (m_zoneOut && aStep.m_a % 2 == 1) {
        TurnCold();
      }
      m_zoneOut = aStep.m_a % 2 == 0;
      return Close(m_zoneOut);
    case Kind::Clear:
      m_admission->ClearTarget(m_now);
      m_gone = true;
      m_leaving = false;
      return Close(true);
  }
}

void
Story::Offer(const CallId& aCall, const Step& aStep)
{
  const bool isKnown = m_waiting.contains(aCall.m_sequence) ||
                       m_running.contains(aCall.m_sequence);
  const TimePoint deadline = m_now + 30us * aStep.m_b - 1ms;
  const bool isIdle = InFlight() == 0 && m_waiting.empty() && m_slots > 0;
  const auto priority = static_cast<uint8_t>(aStep.m_a % 4);
  const auto result = m_admission->Offer({ aCall, deadline, priority }, Now());
  const bool isRefused = result.m_verdict == AdmissionVerdict::Refused;
  if (Closed() != ResultCode::Ok) {
    RC_ASSERT(isRefused);
    RC_ASSERT(result.m_code == Closed());
  } else if (isKnown) {
    RC_ASSERT(isRefused);
    RC_ASSERT(result.m_code == ResultCode::DuplicateInProgress);
  } else if (isIdle && deadline >= m_now + kSettings.m_minimumRemaining) {
    RC_ASSERT(result.m_verdict == AdmissionVerdict::Admitted);
  }
  if (result.m_verdict == AdmissionVerdict::Admitted) {
    Admit(aCall, deadline);
  } else if (!isRefused) {
    m_waiting[aCall.m_sequence] = { deadline };
  }
}

void
Story::Finish(const Step& aStep, RequestOutcome aEnd)
{
  if (m_running.empty()) {
    return;
  }
  const auto it = std::next(
    m_running.begin(), static_cast<ptrdiff_t>(aStep.m_b % m_running.size()));
  const CallId call{ 1, it->first };
  const bool isCurrent = it->second == m_incarnation && !m_gone;
  m_running.erase(it);
  // Mostly near 5 ms, sometimes far above it.
  const Duration took = 4ms + (aStep.m_a % 10 == 0 ? 50us : 2us) * aStep.m_a;
  m_now += took / 8;
  if (isCurrent && aEnd == RequestOutcome::Completed) {
    ++m_completed;
  }
  Take(m_admission->Finish(call, { aEnd, took }, m_now));
}

void
Story::RemoveQueued(uint32_t aIndex)
{
  if (m_waiting.empty()) {
    RC_ASSERT(!m_admission->RemoveQueued({ 2, aIndex }, m_now));
    return;
  }
  const auto it = std::next(m_waiting.begin(),
                            static_cast<ptrdiff_t>(aIndex % m_waiting.size()));
  RC_ASSERT(m_admission->RemoveQueued({ 1, it->first }, m_now));
  m_waiting.erase(it);
}

void
Story::Announce(uint32_t aSlots, bool aIsNew)
{
  m_incarnation += aIsNew ? 1 : 0;
  m_admission->SetTarget(aSlots, m_incarnation, m_now);
  m_slots = aSlots;
  m_gone = false;
  if (aIsNew) {
    m_leaving = false;
    TurnCold();
  }
}

void
Story::Close(bool aClosed)
{
  for (auto& [call, waiting] : m_waiting) {
    waiting.m_doomed = waiting.m_doomed || aClosed;
  }
}

void
Story::TurnCold()
{
  m_completed = 0;
}

void
Story::Take(const std::vector<QueuedCallVerdict>& aEvents)
{
  for (const QueuedCallVerdict& event : aEvents) {
    const auto it = m_waiting.find(event.m_call.m_sequence);
    RC_ASSERT(it != m_waiting.end()); // exactly one verdict for each call
    const Waiting waiting = it->second;
    m_waiting.erase(it);
    if (event.m_admitted) {
      RC_ASSERT(!waiting.m_doomed);
      Admit(event.m_call, waiting.m_deadline);
    } else {
      RC_ASSERT(event.m_code != ResultCode::Ok);
    }
  }
  // After a Finish or Tick no slot stays free beside a waiting call.
  const LoadReport report = m_admission->Report(Now());
  if (Closed() == ResultCode::Ok && report.m_inFlight < report.m_limit) {
    RC_ASSERT(m_waiting.empty());
  }
  RC_ASSERT(m_admission->NextTick() > m_now);
}

void
Story::Admit(const CallId& aCall, TimePoint aDeadline)
{
  RC_ASSERT(Closed() == ResultCode::Ok);
  RC_ASSERT(aDeadline > m_now);
  m_running[aCall.m_sequence] = m_incarnation;
  RC_ASSERT(InFlight() <= m_slots);
  if (m_admission->Report(Now()).m_cold) {
    RC_ASSERT(InFlight() <= kSettings.m_coldLimit);
  }
}

ResultCode
Story::Closed() const
{
  if (m_gone) {
    return ResultCode::NotReady;
  }
  if (m_zoneOut) {
    return ResultCode::ZoneOut;
  }
  return m_leaving ? ResultCode::TargetLeaving : ResultCode::Ok;
}

uint32_t
Story::InFlight() const
{
  return static_cast<uint32_t>(
    std::count_if(m_running.begin(), m_running.end(), [&](const auto& aEntry) {
      return aEntry.second == m_incarnation;
    }));
}

void
Story::CheckAlways() const
{
  const LoadReport report = m_admission->Report(Now());
  RC_ASSERT(report.m_leaving == m_leaving);
  RC_ASSERT(report.m_queued <= m_waiting.size());
  RC_ASSERT(report.m_queued <= kSettings.m_queuePerSlot * m_slots);
  if (m_gone) {
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
    RC_ASSERT(m_completed >= 8U); // warm only by completions
  }
  const bool isFree = report.m_inFlight < report.m_limit;
  if (Closed() == ResultCode::Ok && isFree && !m_waiting.empty()) {
    RC_ASSERT(m_admission->NextTick() <= m_now);
  }
}

// Time alone gives every waiting call its verdict.
void
Story::Finale()
{
  m_back = Duration(0);
  for (int i = 0; m_admission->NextTick() != TimePoint::max(); ++i) {
    RC_ASSERT(i < 1000);
    m_now = std::max(m_now, m_admission->NextTick());
    Take(m_admission->Tick(m_now));
  }
  RC_ASSERT(m_waiting.empty());
}

// A target under more demand than it can carry, whose service times follow a
// base that the test changes without notice.
class BusyTarget
{
public:
  BusyTarget(uint32_t aSlots, uint64_t aSeed)
    : m_slots(aSlots)
    , m_random(aSeed)
  {
    Restart();
  }

  void SetBase(Duration aBase) { m_base = aBase; }
  void Restart() { m_admission->SetTarget(m_slots, ++m_incarnation, m_now); }
  void Hint(Duration aTypical)
  {
    m_admission->SetReferenceLatency(aTypical, m_now);
  }
  // Returns the completions until aStop is true, at most aMost.
  int Serve(int aMost, const std::function<bool(const LoadReport&)>& aStop);
  LoadReport Report() const { return m_admission->Report(m_now); }

private:
  void Demand();
  void Start(uint64_t aCall);

  std::unique_ptr<AdmissionController> m_admission =
    MakeAdaptiveAdmission(kSettings);
  uint32_t m_slots;
  uint64_t m_incarnation = 0;
  SeededRandom m_random;
  TimePoint m_now{ 1h };
  Duration m_base = 5ms;
  uint64_t m_next = 0;
  // End of service with call and start.
  std::multimap<TimePoint, std::pair<uint64_t, TimePoint>> m_ends;
};

int
BusyTarget::Serve(int aMost,
                  const std::function<bool(const LoadReport&)>& aStop)
{
  int count = 0;
  Demand();
  for (; count < aMost && !aStop(Report()); ++count) {
    const auto [end, call] = *m_ends.begin();
    m_ends.erase(m_ends.begin());
    m_now = end;
    const FinishedRequest outcome{ RequestOutcome::Completed,
                                   m_now - call.second };
    const auto events = m_admission->Finish({ 1, call.first }, outcome, m_now);
    for (const QueuedCallVerdict& event : events) {
      if (event.m_admitted) {
        Start(event.m_call.m_sequence);
      }
    }
    Demand();
  }
  return count;
}

void
BusyTarget::Demand()
{
  while (true) {
    const AdmissionRequest request{ { 1, ++m_next }, m_now + 10s };
    const auto verdict = m_admission->Offer(request, m_now).m_verdict;
    if (verdict == AdmissionVerdict::Refused) {
      return;
    }
    if (verdict == AdmissionVerdict::Admitted) {
      Start(m_next);
    }
  }
}

// Service times vary by 30% around the base.
void
BusyTarget::Start(uint64_t aCall)
{
  const double factor = 0.7 + 0.6 * m_random.NextDouble();
  const auto took = std::chrono::duration_cast<Duration>(m_base * factor);
  m_ends.emplace(m_now + took, std::pair(aCall, m_now));
}

bool
Never(const LoadReport&)
{
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

RC_BOOST_PROP(every_call_gets_one_verdict_within_the_bounds, ())
{
  // Several histories in each of rapidcheck's 100 cases.
  for (int i = 0; i < 10; ++i) {
    Story().Run(*Steps());
  }
}

// Guards against load kept on a target that turns cold without notice, and
// against a target that never regains its slots.
RC_BOOST_PROP(a_target_that_turns_cold_is_held_at_the_bound, ())
{
  const auto slots = *rc::gen::inRange(2U, 17U);
  const Duration base = *rc::gen::inRange(2, 20) * 1ms;
  BusyTarget target(slots, *rc::gen::arbitrary<uint64_t>());
  target.SetBase(base);
  const auto isFull = [&](const LoadReport& aReport) {
    return aReport.m_limit == slots;
  };
  RC_ASSERT(target.Serve(600, isFull) < 600);
  target.Serve(100, Never);
  target.SetBase(*rc::gen::inRange(8, 20) * base);
  const int most = static_cast<int>(2 * slots) + 16;
  const auto isHeld = [](const LoadReport& aReport) {
    return aReport.m_cold && aReport.m_inFlight <= kSettings.m_coldLimit;
  };
  RC_ASSERT(target.Serve(most, isHeld) < most);
  const auto isLost = [&](const LoadReport& aReport) {
    return !isHeld(aReport);
  };
  RC_ASSERT(target.Serve(50, isLost) == 50);
  target.SetBase(base);
  RC_ASSERT(target.Serve(600, isFull) < 600);
}

// Guards against a new target that is loaded before it is warm, whether the
// level comes from its own history or from other targets.
RC_BOOST_PROP(a_new_target_is_held_until_it_is_as_fast_as_the_others, ())
{
  const auto slots = *rc::gen::inRange(2U, 17U);
  const Duration base = *rc::gen::inRange(2, 20) * 1ms;
  BusyTarget target(slots, *rc::gen::arbitrary<uint64_t>());
  target.SetBase(base);
  const auto isFull = [&](const LoadReport& aReport) {
    return aReport.m_limit == slots;
  };
  if (*rc::gen::arbitrary<bool>()) {
    target.Hint(base);
  } else {
    RC_ASSERT(target.Serve(600, isFull) < 600);
    target.Serve(100, Never);
    target.Restart();
  }
  target.SetBase(*rc::gen::inRange(4, 11) * base);
  const auto isOver = [](const LoadReport& aReport) {
    return !aReport.m_cold || aReport.m_inFlight > kSettings.m_coldLimit;
  };
  const int slow = *rc::gen::inRange(30, 100);
  RC_ASSERT(target.Serve(slow, isOver) == slow);
  target.SetBase(base);
  RC_ASSERT(target.Serve(600, isFull) < 600);
}

// Guards against a limit that does not follow a noisy neighbour, that treats it
// as a cold start, or that does not recover.
RC_BOOST_PROP(a_noisy_neighbour_lowers_the_limit_for_a_while, ())
{
  const auto slots = *rc::gen::inRange(4U, 17U);
  BusyTarget target(slots, *rc::gen::arbitrary<uint64_t>());
  const auto isFull = [&](const LoadReport& aReport) {
    return aReport.m_limit == slots;
  };
  RC_ASSERT(target.Serve(600, isFull) < 600);
  target.Serve(100, Never);
  target.SetBase(*rc::gen::inRange(25, 33) * 500us);
  const auto isLowered = [&](const LoadReport& aReport) {
    return aReport.m_limit < slots;
  };
  // Requests in flight at the change still end at their old speed.
  const int most = static_cast<int>(slots) + 10;
  RC_ASSERT(target.Serve(most, isLowered) < most);
  const auto isCold = [](const LoadReport& aReport) { return aReport.m_cold; };
  RC_ASSERT(target.Serve(100, isCold) == 100);
  target.SetBase(5ms);
  RC_ASSERT(target.Serve(600, isFull) < 600);
}

BOOST_AUTO_TEST_SUITE_END()
