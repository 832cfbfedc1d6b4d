// Goodput of adaptive admission control in virtual time, compared with a FIFO
// queue that has a fixed limit, a long queue and no shedding.
//
// The model is one target with 12 slots and exponential service times with a
// mean of 5 ms. Calls arrive as a Poisson process, with 20 to 80 ms to their
// deadline. Goodput is the number of calls completed before their deadline, as
// a share of the capacity of the slots.
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
constexpr Duration kMeanServiceTime = 5ms;
constexpr Duration kRunTime = 120s;
constexpr Duration kWarmUp = 10s; // not measured

// Baseline without shedding, not part of the product: serves calls in order of
// arrival and refuses only when its long queue is full.
class FifoAdmission : public AdmissionController
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

struct Completion
{
  TimePoint m_at;
  uint64_t m_call;
  TimePoint m_startedAt;

  bool operator>(const Completion& aOther) const { return m_at > aOther.m_at; }
};

struct Result
{
  double m_goodputShare = 0; // completed in time / capacity
  double m_lateShare = 0;    // completed late / capacity
  // High-priority calls: completed in time / offered.
  double m_highPriorityShare = 0;
};

class Simulation
{
public:
  Simulation(AdmissionController& aAdmission, double aLoad, uint64_t aSeed)
    : m_admission(aAdmission)
    , m_random(aSeed)
    , m_offeredLoad(aLoad)
  {
  }

  Result Run();

private:
  Duration DrawExponential(Duration aMean)
  {
    const double factor = -std::log(1 - m_random.NextDouble());
    return std::chrono::duration_cast<Duration>(aMean * factor);
  }
  void Arrive();
  void Start(uint64_t aCall);
  void Finish();
  void ApplyVerdicts(const std::vector<QueuedCallVerdict>& aVerdicts);
  bool IsMeasuring() const { return m_now >= m_start + kWarmUp; }
  static bool IsHighPriority(uint64_t aCall) { return aCall % 5 == 0; }

  AdmissionController& m_admission;
  SeededRandom m_random;
  double m_offeredLoad;
  TimePoint m_start{ 1h };
  TimePoint m_now = m_start;
  uint64_t m_lastCall = 0;
  uint64_t m_highPriorityOffered = 0;
  uint64_t m_highPriorityInTime = 0;
  uint64_t m_inTimeCount = 0;
  uint64_t m_lateCount = 0;
  std::map<uint64_t, TimePoint> m_deadlines;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    m_completions;
};

Result
Simulation::Run()
{
  m_admission.SetTarget(kSlots, 1, m_now);
  const auto mean = std::chrono::duration_cast<Duration>(
    kMeanServiceTime / (kSlots * m_offeredLoad));
  TimePoint arrival = m_now + DrawExponential(mean);
  while (m_now < m_start + kRunTime) {
    const TimePoint tick = m_admission.NextTick();
    const TimePoint nextCompletion =
      m_completions.empty() ? TimePoint::max() : m_completions.top().m_at;
    if (tick <= nextCompletion && tick <= arrival) {
      m_now = std::max(m_now, tick);
      ApplyVerdicts(m_admission.Tick(m_now));
    } else if (nextCompletion <= arrival) {
      m_now = nextCompletion;
      Finish();
    } else {
      m_now = arrival;
      arrival += DrawExponential(mean);
      Arrive();
    }
  }
  const double capacity = kSlots * ((kRunTime - kWarmUp) / kMeanServiceTime);
  return { static_cast<double>(m_inTimeCount) / capacity,
           static_cast<double>(m_lateCount) / capacity,
           static_cast<double>(m_highPriorityInTime) /
             static_cast<double>(m_highPriorityOffered) };
}

void
Simulation::Arrive()
{
  const uint64_t call = ++m_lastCall;
  const TimePoint deadline =
    m_now + 20ms + Duration(m_random.NextBelow(60ms / 1ns));
  const auto priority = static_cast<uint8_t>(IsHighPriority(call) ? 200 : 100);
  m_highPriorityOffered += IsMeasuring() && IsHighPriority(call) ? 1 : 0;
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
  m_completions.push(
    { m_now + DrawExponential(kMeanServiceTime), aCall, m_now });
}

void
Simulation::Finish()
{
  const Completion completion = m_completions.top();
  m_completions.pop();
  const bool isInTime = m_now <= m_deadlines[completion.m_call];
  m_deadlines.erase(completion.m_call);
  if (IsMeasuring()) {
    m_inTimeCount += isInTime ? 1 : 0;
    m_lateCount += isInTime ? 0 : 1;
    m_highPriorityInTime +=
      isInTime && IsHighPriority(completion.m_call) ? 1 : 0;
  }
  const FinishedRequest finished{ RequestOutcome::Completed,
                                  m_now - completion.m_startedAt };
  ApplyVerdicts(m_admission.Finish({ 1, completion.m_call }, finished, m_now));
}

void
Simulation::ApplyVerdicts(const std::vector<QueuedCallVerdict>& aVerdicts)
{
  for (const QueuedCallVerdict& verdict : aVerdicts) {
    if (verdict.m_admitted) {
      Start(verdict.m_call.m_sequence);
    } else {
      m_deadlines.erase(verdict.m_call.m_sequence);
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
              aResult.m_goodputShare * 100,
              aResult.m_lateShare * 100,
              aResult.m_highPriorityShare * 100);
}

} // namespace

int
main()
{
  std::printf("| load | policy | goodput, of capacity | late, of capacity | "
              "higher priority in time |\n|---|---|---|---|---|\n");
  for (const double load : { 0.7, 0.95, 1.0, 1.3, 2.0 }) {
    FifoAdmission fifo;
    Print("fixed queue", load, Simulation(fifo, load, 1).Run());
    const auto admission = MakeAdaptiveAdmission({});
    Print("admission", load, Simulation(*admission, load, 1).Run());
  }
}
