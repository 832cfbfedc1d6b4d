// Goodput of admission in virtual time, against a queue in order of arrival
// with a fixed limit, a long queue and no shedding.
//
// One target with 12 slots and exponential service times of 5 ms on average.
// Calls arrive at random with 20 to 80 ms left. Goodput counts calls that are
// answered before their deadline, as a share of the capacity of the slots.
#include "admission/admission.h"

#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <string_view>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kSlots = 12;
constexpr Duration kService = 5ms;
constexpr Duration kRun = 120s;
constexpr Duration kWarmUp = 10s; // not counted

// First come, first served; refuses only when the long queue is full. Not a
// part of the program: it shows what shedding is worth.
class FixedQueue : public AdmissionController
{
public:
  void SetTarget(uint32_t aSlots, uint64_t, TimePoint) override
  {
    m_slots = aSlots;
  }
  void ClearTarget(TimePoint) override {}
  void SetLeaving(bool, TimePoint) override {}
  void SetZoneOut(bool, TimePoint) override {}
  void SetSettings(const AdmissionSettings&) override {}
  void EnterColdStart(TimePoint) override {}
  AdmissionResult Offer(const AdmissionRequest& aRequest, TimePoint) override
  {
    if (m_inFlight < m_slots) {
      ++m_inFlight;
      return { AdmissionVerdict::Admitted, ResultCode::Ok };
    }
    if (m_queue.size() >= size_t{ 100 } * m_slots) {
      return { AdmissionVerdict::Refused, ResultCode::Overloaded };
    }
    m_queue.push_back(aRequest.m_call);
    return { AdmissionVerdict::Queued, ResultCode::Ok };
  }
  std::vector<QueuedCallVerdict> Finish(const CallId&,
                                        const FinishedRequest&,
                                        TimePoint) override
  {
    if (m_queue.empty()) {
      --m_inFlight;
      return {};
    }
    const CallId next = m_queue.front();
    m_queue.pop_front();
    return { { next, true, ResultCode::Ok } };
  }
  bool RemoveQueued(const CallId&, TimePoint) override { return false; }
  std::vector<QueuedCallVerdict> Tick(TimePoint) override { return {}; }
  TimePoint NextTick() const override { return TimePoint::max(); }
  LoadReport Report(TimePoint) const override { return {}; }

private:
  uint32_t m_slots = 0;
  uint32_t m_inFlight = 0;
  std::deque<CallId> m_queue;
};

struct End
{
  TimePoint m_at;
  uint64_t m_call;
  TimePoint m_started;

  bool operator>(const End& aOther) const { return m_at > aOther.m_at; }
};

struct Result
{
  double m_goodput = 0; // share of capacity
  double m_late = 0;    // share of capacity spent on late answers
  double m_top = 0;     // answered in time, of the higher priority
};

class Simulation
{
public:
  Simulation(AdmissionController& aAdmission, double aLoad, uint64_t aSeed)
    : m_admission(aAdmission)
    , m_random(aSeed)
    , m_load(aLoad)
  {
  }

  Result Run();

private:
  Duration Exponential(Duration aMean)
  {
    const double factor = -std::log(1 - m_random.NextDouble());
    return std::chrono::duration_cast<Duration>(aMean * factor);
  }
  void Arrive();
  void Start(uint64_t aCall);
  void Finish();
  void Take(const std::vector<QueuedCallVerdict>& aEvents);
  bool IsCounted() const { return m_now >= m_start + kWarmUp; }
  static bool IsTop(uint64_t aCall) { return aCall % 5 == 0; }

  AdmissionController& m_admission;
  SeededRandom m_random;
  double m_load;
  TimePoint m_start{ 1h };
  TimePoint m_now = m_start;
  uint64_t m_next = 0;
  uint64_t m_top = 0; // offered with the higher priority
  uint64_t m_topGood = 0;
  uint64_t m_good = 0;
  uint64_t m_lateCount = 0;
  std::map<uint64_t, TimePoint> m_deadlines;
  std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
};

Result
Simulation::Run()
{
  m_admission.SetTarget(kSlots, 1, m_now);
  const auto mean =
    std::chrono::duration_cast<Duration>(kService / (kSlots * m_load));
  TimePoint arrival = m_now + Exponential(mean);
  while (m_now < m_start + kRun) {
    const TimePoint tick = m_admission.NextTick();
    const TimePoint end = m_ends.empty() ? TimePoint::max() : m_ends.top().m_at;
    if (tick <= end && tick <= arrival) {
      m_now = std::max(m_now, tick);
      Take(m_admission.Tick(m_now));
    } else if (end <= arrival) {
      m_now = end;
      Finish();
    } else {
      m_now = arrival;
      arrival += Exponential(mean);
      Arrive();
    }
  }
  const double capacity = kSlots * ((kRun - kWarmUp) / kService);
  return { static_cast<double>(m_good) / capacity,
           static_cast<double>(m_lateCount) / capacity,
           static_cast<double>(m_topGood) / static_cast<double>(m_top) };
}

void
Simulation::Arrive()
{
  const uint64_t call = ++m_next;
  const TimePoint deadline =
    m_now + 20ms + Duration(m_random.NextBelow(60ms / 1ns));
  const auto priority = static_cast<uint8_t>(IsTop(call) ? 200 : 100);
  m_top += IsCounted() && IsTop(call) ? 1 : 0;
  const auto verdict =
    m_admission.Offer({ { 1, call }, deadline, priority }, m_now).m_verdict;
  if (verdict == AdmissionVerdict::Refused) {
    return;
  }
  m_deadlines[call] = deadline;
  if (verdict == AdmissionVerdict::Admitted) {
    Start(call);
  }
}

void
Simulation::Start(uint64_t aCall)
{
  m_ends.push({ m_now + Exponential(kService), aCall, m_now });
}

void
Simulation::Finish()
{
  const End end = m_ends.top();
  m_ends.pop();
  const bool isGood = m_now <= m_deadlines[end.m_call];
  m_deadlines.erase(end.m_call);
  if (IsCounted()) {
    m_good += isGood ? 1 : 0;
    m_lateCount += isGood ? 0 : 1;
    m_topGood += isGood && IsTop(end.m_call) ? 1 : 0;
  }
  const FinishedRequest outcome{ RequestOutcome::Completed,
                                 m_now - end.m_started };
  Take(m_admission.Finish({ 1, end.m_call }, outcome, m_now));
}

void
Simulation::Take(const std::vector<QueuedCallVerdict>& aEvents)
{
  for (const QueuedCallVerdict& event : aEvents) {
    if (event.m_admitted) {
      Start(event.m_call.m_sequence);
    } else {
      m_deadlines.erase(event.m_call.m_sequence);
    }
  }
}

void
Print(std::string_view aName, double aLoad, const Result& aResult)
{
  std::printf("| %3.0f%% | %.*s | %5.1f%% | %5.1f%% | %5.1f%% |\n",
              aLoad * 100,
              static_cast<int>(aName.size()),
              aName.data(),
              aResult.m_goodput * 100,
              aResult.m_late * 100,
              aResult.m_top * 100);
}

} // namespace

int
main()
{
  std::printf("| load | policy | goodput, of capacity | late, of capacity | "
              "higher priority in time |\n|---|---|---|---|---|\n");
  for (const double load : { 0.7, 0.95, 1.0, 1.3, 2.0 }) {
    FixedQueue fixed;
    Print("fixed queue", load, Simulation(fixed, load, 1).Run());
    const auto admission = MakeAdaptiveAdmission({});
    Print("admission", load, Simulation(*admission, load, 1).Run());
  }
}
