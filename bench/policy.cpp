// Compares routing policies on a queueing model in virtual time. The model has
// entry nodes with one router each, and targets with slots and a short queue
// that refuse requests when the queue is full. Traffic and slow phases depend
// only on the seed, so they are the same for every policy. A refused request is
// retried at once, on up to three further targets.
#include "routing/routing.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <gflags/gflags.h>
#include <map>
#include <queue>

DEFINE_string(preset, "hattula", "hattula, ljubljana or fleet");
DEFINE_string(scenario, "", "one scenario by name; empty for all");
DEFINE_string(policy, "", "one policy by name; empty for all");
DEFINE_uint64(seed, 1, "seed of traffic, slow phases and routers");
DEFINE_double(load, 0, "offered load / capacity; 0: the scenario's");
DEFINE_uint32(targets, 0, "number of targets; 0: the preset's");
DEFINE_uint32(slots, 0, "slots per target; 0: the preset's");
DEFINE_uint32(entries, 0, "number of entry nodes; 0: the preset's");
DEFINE_double(seconds, 60, "measured virtual time, seconds");
DEFINE_double(sigma, 0.5, "shape of the log-normal service time");
DEFINE_double(noise_on_ms, 30, "mean length of a slow phase, ms");
DEFINE_double(noise_off_ms, 70, "mean time between slow phases, ms");
DEFINE_double(noise_slowdown, 10, "slowdown factor during a slow phase");
DEFINE_bool(json, false, "one JSON object per line instead of a table");

using namespace sassafrasquay;

namespace {

// A response within this time counts as goodput.
constexpr double kDeadlineSeconds = 1;
constexpr double kWarmUpSeconds = 5; // not measured
constexpr double kColdStartSeconds = 5;
constexpr double kColdStartSlowdown = 4; // factor on the service time
// After this time, every entry node has received a change of the targets.
constexpr double kMaximumGossipSeconds = 2;
constexpr double kLocalLatencySeconds = 0.0001; // one way, within a zone

struct Preset
{
  uint32_t m_zones, m_slots, m_targets, m_entries;
  double m_zoneLatency, m_meanServiceTime; // seconds
};

const std::map<std::string, Preset> kPresets = {
  { "hattula", { 3, 6, 5, 12, 0.0005, 0.020 } },
  { "ljubljana", { 3, 12, 5, 12, 0.0014, 0.040 } },
  { "fleet", { 3, 12, 16, 64, 0.0005, 0.040 } }
};

using Scenario = std::pair<std::string, double>; // name, load / capacity
const std::vector<Scenario>
  kScenarios = { { "calm", 0.70 },         { "noisy", 0.70 },
                 { "load95", 0.95 },       { "load130", 1.30 },
                 { "third_leaves", 0.55 }, // two of five: the others run at 92%
                 { "restart_cold", 0.70 }, { "fail_fast", 0.70 } };

using RouterFactory = std::unique_ptr<Router> (*)(RouterSettings, Random&);
constexpr std::array<std::pair<const char*, RouterFactory>, 5> kPolicies = {
  { { "production", MakeRouter },
    { "random", MakeRandomRouter },
    { "round_robin", MakeRoundRobinRouter },
    { "least_outstanding", MakeLeastOutstandingRouter },
    { "two_choices", MakeTwoChoicesRouter } }
};

Duration
ToDuration(double aSeconds)
{
  return Duration(std::llround(aSeconds * 1e9));
}

double
DrawExponential(Random& aRandom, double aMean)
{
  return -std::log(1 - aRandom.NextDouble()) * aMean;
}

// Returns a log-normal value with a mean of 1.
double
DrawLogNormal(Random& aRandom, double aSigma)
{
  const double radius = std::sqrt(2 * DrawExponential(aRandom, 1));
  const double normal = radius * std::cos(2 * M_PI * aRandom.NextDouble());
  return std::exp(aSigma * normal - aSigma * aSigma / 2);
}

struct Call
{
  uint32_t m_entry = 0;
  double m_start = 0, m_sent = 0, m_work = 0;
  TargetIndex m_target = kNoTarget;
  uint64_t m_incarnation = 0; // of the target that runs it
  RouteRequest m_request;
  RouteFeedback m_feedback;
};

struct Target
{
  TargetInfo m_info;
  uint32_t m_inFlight = 0;
  std::deque<uint32_t> m_queue;
  std::vector<bool> m_slowPhases; // by millisecond; empty: never slow

  uint32_t Limit() const { return m_info.m_cold ? 1 : m_info.m_slots; }
};

struct Simulation
{
  using Handler = void (Simulation::*)(uint32_t);
  Preset m_preset;
  Scenario m_scenario;
  double m_rate; // requests per second
  double m_now = 0, m_end = kWarmUpSeconds + FLAGS_seconds;
  uint64_t m_nextEventOrder = 0;
  bool m_firstTargetFails = false; // every request, at once
  SeededRandom m_trafficRandom{ FLAGS_seed };
  std::map<std::pair<double, uint64_t>, std::pair<Handler, uint32_t>> m_events;
  std::vector<Target> m_targets;
  std::deque<SeededRandom> m_routerRandoms;
  std::vector<std::unique_ptr<Router>> m_routers; // of the entry nodes
  std::deque<Call> m_calls;
  std::vector<double> m_latenciesMs; // of successful requests
  double m_requestCount = 0, m_inTimeCount = 0, m_refusalCount = 0,
         m_probeCount = 0;
  // Requests that reached a cold target, and those of them above its limit.
  double m_coldSentCount = 0, m_coldOverLimitCount = 0;

  Simulation(const Preset& aPreset,
             const Scenario& aScenario,
             RouterFactory aFactory)
    : m_preset(aPreset)
    , m_scenario(aScenario)
    , m_rate((FLAGS_load > 0 ? FLAGS_load : aScenario.second) *
             aPreset.m_targets * aPreset.m_slots / aPreset.m_meanServiceTime)
    , m_targets(aPreset.m_targets)
  {
    for (uint32_t i = 0; i < aPreset.m_targets; ++i) {
      TargetInfo& info = m_targets[i].m_info;
      info = { { "t" + std::to_string(i) }, "s", Zone(i), "r" };
      info.m_slots = aPreset.m_slots;
      info.m_incarnation = 1;
    }
    SeededRandom random(FLAGS_seed + 2);
    std::vector<bool>& slowPhases = m_targets[0].m_slowPhases;
    const double coveredMs =
      aScenario.first == "noisy" ? 1000 * (m_end + 60) : 0;
    for (bool slow = false; slowPhases.size() < static_cast<size_t>(coveredMs);
         slow = !slow) {
      const double mean = slow ? FLAGS_noise_on_ms : FLAGS_noise_off_ms;
      const double length = 1 + DrawExponential(random, mean);
      slowPhases.resize(slowPhases.size() + static_cast<size_t>(length), slow);
    }
    for (uint32_t i = 0; i < aPreset.m_entries; ++i) {
      m_routerRandoms.emplace_back(FLAGS_seed * 1000 + i);
      m_routers.push_back(
        aFactory({ Zone(i), "r", ToDuration(aPreset.m_zoneLatency) },
                 m_routerRandoms.back()));
      UpdateTargets(i);
    }
  }

  std::string Zone(uint32_t aIndex) const
  {
    return "z" + std::to_string(aIndex % m_preset.m_zones);
  }
  void Push(double aDelay, Handler aHandler, uint32_t aId)
  {
    m_events[{ m_now + aDelay, m_nextEventOrder++ }] = { aHandler, aId };
  }
  TimePoint Now() const { return TimePoint(ToDuration(m_now)); }
  double OneWayLatency(const Call& aCall) const
  {
    return Zone(aCall.m_entry) == Zone(aCall.m_target) ? kLocalLatencySeconds
                                                       : m_preset.m_zoneLatency;
  }
  // Time from now until aWork seconds of work are done; slow phases extend it.
  double ProcessingTime(const Target& aTarget, double aWork) const
  {
    double time = m_now;
    auto millisecond = static_cast<size_t>(time * 1000);
    while (millisecond < aTarget.m_slowPhases.size()) {
      const double speed =
        aTarget.m_slowPhases[millisecond++] ? 1 / FLAGS_noise_slowdown : 1;
      const double length = static_cast<double>(millisecond) / 1000 - time;
      if (aWork <= length * speed) {
        return time + aWork / speed - m_now;
      }
      aWork -= length * speed;
      time += length;
    }
    return time + aWork - m_now;
  }

  void OnArrival(uint32_t)
  {
    if (m_now > m_end) {
      return;
    }
    Push(
      DrawExponential(m_trafficRandom, 1 / m_rate), &Simulation::OnArrival, 0);
    Call& call = m_calls.emplace_back();
    call.m_entry =
      static_cast<uint32_t>(m_trafficRandom.NextBelow(m_preset.m_entries));
    call.m_work =
      m_preset.m_meanServiceTime * DrawLogNormal(m_trafficRandom, FLAGS_sigma);
    call.m_start = m_now;
    call.m_request.m_service = "s";
    m_requestCount += m_now >= kWarmUpSeconds ? 1 : 0;
    Send(static_cast<uint32_t>(m_calls.size() - 1));
  }

  void Send(uint32_t aCall)
  {
    Call& call = m_calls[aCall];
    Router& router = *m_routers[call.m_entry];
    call.m_target = router.Choose(call.m_request, Now()).m_target;
    if (call.m_target != kNoTarget) {
      router.OnSent(call.m_target, Now());
      call.m_sent = m_now;
      Push(OneWayLatency(call), &Simulation::OnTargetReceived, aCall);
    }
  }

  void OnTargetReceived(uint32_t aCall)
  {
    Target& target = m_targets[m_calls[aCall].m_target];
    const bool isFull = target.m_inFlight >= target.Limit();
    const size_t queueLimit = target.m_info.m_cold ? 0 : 2 * m_preset.m_slots;
    m_coldSentCount += target.m_info.m_cold ? 1 : 0;
    m_coldOverLimitCount += target.m_info.m_cold && isFull ? 1 : 0;
    if (target.m_info.m_leaving ||
        (isFull && target.m_queue.size() >= queueLimit)) {
      Respond(aCall, AttemptOutcome::Refused);
    } else if (m_firstTargetFails && &target == m_targets.data()) {
      Respond(aCall, AttemptOutcome::Failed);
    } else {
      target.m_queue.push_back(aCall);
      StartQueued(target);
    }
  }

  void StartQueued(Target& aTarget)
  {
    while (!aTarget.m_queue.empty() && aTarget.m_inFlight < aTarget.Limit()) {
      const uint32_t next = aTarget.m_queue.front();
      aTarget.m_queue.pop_front();
      ++aTarget.m_inFlight;
      m_calls[next].m_incarnation = aTarget.m_info.m_incarnation;
      const double work =
        m_calls[next].m_work * (aTarget.m_info.m_cold ? kColdStartSlowdown : 1);
      Push(ProcessingTime(aTarget, work), &Simulation::OnFinished, next);
    }
  }

  void OnFinished(uint32_t aCall)
  {
    Target& target = m_targets[m_calls[aCall].m_target];
    const bool isLost =
      m_calls[aCall].m_incarnation != target.m_info.m_incarnation;
    if (!isLost) {
      --target.m_inFlight;
      StartQueued(target);
    }
    Respond(aCall, isLost ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
  }

  void Respond(uint32_t aCall, AttemptOutcome aOutcome)
  {
    Call& call = m_calls[aCall];
    const Target& target = m_targets[call.m_target];
    LoadReport& load = call.m_feedback.m_load;
    load.m_inFlight = target.m_inFlight;
    load.m_queued = static_cast<uint32_t>(target.m_queue.size());
    load.m_limit = target.Limit();
    load.m_slots = m_preset.m_slots;
    load.m_cold = target.m_info.m_cold;
    load.m_leaving = target.m_info.m_leaving;
    load.m_incarnation = target.m_info.m_incarnation;
    call.m_feedback.m_hasLoad = true;
    call.m_feedback.m_outcome = aOutcome;
    Push(OneWayLatency(call), &Simulation::OnResponse, aCall);
  }

  void OnResponse(uint32_t aCall)
  {
    Call& call = m_calls[aCall];
    const AttemptOutcome outcome = call.m_feedback.m_outcome;
    const bool isMeasured = call.m_start >= kWarmUpSeconds;
    call.m_feedback.m_latency = ToDuration(m_now - call.m_sent);
    m_routers[call.m_entry]->OnEnd(call.m_target, call.m_feedback, Now());
    if (isMeasured && outcome == AttemptOutcome::Succeeded) {
      m_latenciesMs.push_back(1000 * (m_now - call.m_start));
      m_inTimeCount += m_now - call.m_start <= kDeadlineSeconds ? 1 : 0;
    }
    m_refusalCount += isMeasured && outcome == AttemptOutcome::Refused ? 1 : 0;
    size_t& excluded = call.m_request.m_excludedCount;
    if (outcome == AttemptOutcome::Refused && excluded + 1 < kMaxExcluded) {
      call.m_request.m_excluded[excluded++] = call.m_target;
      Send(aCall);
    }
  }
  // Applies one step of the scenario. Step 0 runs after a third of the
  // measured time and step 1 after two thirds. Steps 2 and 3 end the cold
  // starts of steps 0 and 1.
  void ApplyStep(uint32_t aStep)
  {
    const bool thirdLeaves = m_scenario.first == "third_leaves";
    for (size_t i = 0; thirdLeaves && i < (m_targets.size() + 1) / 3; ++i) {
      m_targets[i].m_info.m_leaving = aStep == 0;
    }
    m_firstTargetFails = aStep == 0 && m_scenario.first == "fail_fast";
    if (aStep > 1) {
      m_targets[aStep - 2].m_info.m_cold = false;
    } else if (m_scenario.first == "restart_cold") {
      Target& target = m_targets[aStep];
      for (const uint32_t call : target.m_queue) {
        Respond(call, AttemptOutcome::Refused);
      }
      target.m_queue.clear();
      target.m_inFlight = 0;
      target.m_info.m_cold = true;
      Push(kColdStartSeconds, &Simulation::ApplyStep, aStep + 2);
      ++target.m_info.m_incarnation;
    }
    for (uint32_t i = 0; i < m_preset.m_entries; ++i) {
      Push(m_trafficRandom.NextDouble() * kMaximumGossipSeconds,
           &Simulation::UpdateTargets,
           i);
    }
  }
  void UpdateTargets(uint32_t aEntry)
  {
    std::vector<TargetInfo> infos;
    for (const Target& target : m_targets) {
      infos.push_back(target.m_info);
    }
    m_routers[aEntry]->SetTargets("s", infos, Now());
  }
  void Run()
  {
    Push(0, &Simulation::OnArrival, 0);
    Push(kWarmUpSeconds + FLAGS_seconds / 3, &Simulation::ApplyStep, 0);
    Push(kWarmUpSeconds + FLAGS_seconds * 2 / 3, &Simulation::ApplyStep, 1);
    while (!m_events.empty()) {
      const auto event = m_events.begin();
      const auto [handler, id] = event->second;
      m_now = event->first.first;
      m_events.erase(event);
      (this->*handler)(id);
    }
    std::sort(m_latenciesMs.begin(), m_latenciesMs.end());
  }
};

void
Print(const Simulation& aSimulation, const char* aPolicy)
{
  const auto percentile = [&aSimulation](double aQuantile) {
    const std::vector<double>& sorted = aSimulation.m_latenciesMs;
    const double position = aQuantile * static_cast<double>(sorted.size());
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(position)];
  };
  const std::array<std::pair<const char*, double>, 8> columns = {
    { { "p50_ms", percentile(0.5) },
      { "p99_ms", percentile(0.99) },
      { "p999_ms", percentile(0.999) },
      { "goodput_percent",
        100 * aSimulation.m_inTimeCount / aSimulation.m_requestCount },
      { "refusals_per_request",
        aSimulation.m_refusalCount / aSimulation.m_requestCount },
      { "probes_per_request",
        aSimulation.m_probeCount / aSimulation.m_requestCount },
      { "cold_sent", aSimulation.m_coldSentCount },
      { "cold_over", aSimulation.m_coldOverLimitCount } }
  };
  std::printf(FLAGS_json ? R"({"scenario":"%s","policy":"%s")" : "| %s | %s",
              aSimulation.m_scenario.first.c_str(),
              aPolicy);
  for (const auto& [name, value] : columns) {
    std::printf(FLAGS_json ? R"(,"%s":%g)" : " | %.0s%.4g", name, value);
  }
  std::printf(FLAGS_json ? "}\n" : " |\n");
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  if (kPresets.find(FLAGS_preset) == kPresets.end()) {
    std::fprintf(stderr, "unknown --preset %s\n", FLAGS_preset.c_str());
    return 2;
  }
  Preset preset = kPresets.at(FLAGS_preset);
  preset.m_slots = FLAGS_slots > 0 ? FLAGS_slots : preset.m_slots;
  preset.m_targets = FLAGS_targets > 0 ? FLAGS_targets : preset.m_targets;
  preset.m_entries = FLAGS_entries > 0 ? FLAGS_entries : preset.m_entries;
  if (!FLAGS_json) {
    std::printf("| scenario | policy | p50 ms | p99 ms | p99.9 ms | goodput %% "
                "| refusals/request | probes/request | cold sent | cold over "
                "|\n|-|-|-|-|-|-|-|-|-|-|\n");
  }
  for (const Scenario& scenario : kScenarios) {
    for (const auto& [name, factory] : kPolicies) {
      if ((FLAGS_scenario.empty() || FLAGS_scenario == scenario.first) &&
          (FLAGS_policy.empty() || FLAGS_policy == name)) {
        Simulation simulation(preset, scenario, factory);
        simulation.Run();
        Print(simulation, name);
      }
    }
  }
}
