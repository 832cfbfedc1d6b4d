// Compares routing policies on a queueing model in virtual time: entry nodes
// with a router each, and targets with slots, a short queue and refusal. The
// seed alone makes traffic and noisy spells, so every policy meets the same. A
// refused request goes to up to three further targets at once.
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
DEFINE_uint64(seed, 1, "seed of traffic, spells and routers");
DEFINE_double(load, 0, "offered load as a share of capacity; 0: scenario's");
DEFINE_uint32(targets, 0, "targets; 0: preset's");
DEFINE_uint32(slots, 0, "slots of a target; 0: preset's");
DEFINE_uint32(entries, 0, "entry nodes; 0: preset's");
DEFINE_double(seconds, 60, "virtual time that is measured, seconds");
DEFINE_double(sigma, 0.5, "shape of the log-normal service time");
DEFINE_double(noise_on_ms, 30, "mean length of a noisy spell, ms");
DEFINE_double(noise_off_ms, 70, "mean time between noisy spells, ms");
DEFINE_double(noise_slowdown, 10, "slowdown during a noisy spell");
DEFINE_bool(json, false, "one JSON object per line instead of a table");

using namespace sassafrasquay;

namespace {

constexpr double kDeadline = 1;   // seconds that a caller waits
constexpr double kWarmUp = 5;     // seconds before measuring starts
constexpr double kColdTime = 5;   // seconds until a cold target is warm
constexpr double kColdSlow = 4;   // service time of a cold target, as a factor
constexpr double kGossip = 2;     // seconds until every entry node knows
constexpr double kLocal = 0.0001; // one-way latency within a zone, seconds

struct Preset
{
  uint32_t m_zones, m_slots, m_targets, m_entries;
  double m_zoneLatency, m_service; // seconds
};

const std::map<std::string, Preset> kPresets = {
  { "hattula", { 3, 6, 5, 12, 0.0005, 0.020 } },
  { "ljubljana", { 3, 12, 5, 12, 0.0014, 0.040 } },
  { "fleet", { 3, 12, 16, 64, 0.0005, 0.040 } }
};

using Scenario = std::pair<std::string, double>; // name, load of capacity
const std::vector<Scenario>
  kScenarios = { { "calm", 0.70 },         { "noisy", 0.70 },
                 { "load95", 0.95 },       { "load130", 1.30 },
                 { "third_leaves", 0.55 }, // two of five: the rest runs at 92%
                 { "restart_cold", 0.70 }, { "fail_fast", 0.70 } };

using Factory = std::unique_ptr<Router> (*)(RouterSettings, Random&);
constexpr std::array<std::pair<const char*, Factory>, 5> kPolicies = {
  { { "production", MakeRouter },
    { "random", MakeRandomRouter },
    { "round_robin", MakeRoundRobinRouter },
    { "least_outstanding", MakeLeastOutstandingRouter },
    { "two_choices", MakeTwoChoicesRouter } }
};

Duration
Span(double aSeconds)
{
  return Duration(std::llround(aSeconds * 1e9));
}

double
Exponential(Random& aRandom, double aMean)
{
  return -std::log(1 - aRandom.NextDouble()) * aMean;
}

// With a mean of 1.
double
LogNormal(Random& aRandom, double aSigma)
{
  const double radius = std::sqrt(2 * Exponential(aRandom, 1));
  const double normal = radius * std::cos(2 * M_PI * aRandom.NextDouble());
  return std::exp(aSigma * normal - aSigma * aSigma / 2);
}

struct Call
{
  uint32_t m_entry = 0;
  double m_start = 0, m_sent = 0, m_work = 0;
  TargetIndex m_target = kNoTarget;
  uint64_t m_life = 0; // incarnation that runs it
  RouteRequest m_route;
  RouteFeedback m_feedback;
};

struct Target
{
  TargetInfo m_info;
  uint32_t m_busy = 0;
  std::deque<uint32_t> m_queue;
  std::vector<bool> m_slow; // by millisecond; empty without spells

  uint32_t Limit() const { return m_info.m_cold ? 1 : m_info.m_slots; }
};

struct World
{
  using Handler = void (World::*)(uint32_t);
  Preset m_preset;
  Scenario m_scenario;
  double m_rate; // requests per second
  double m_now = 0, m_end = kWarmUp + FLAGS_seconds;
  uint64_t m_order = 0;
  bool m_failsFast = false; // the first target
  SeededRandom m_traffic{ FLAGS_seed };
  std::map<std::pair<double, uint64_t>, std::pair<Handler, uint32_t>> m_events;
  std::vector<Target> m_targets;
  std::deque<SeededRandom> m_randoms;
  std::vector<std::unique_ptr<Router>> m_routers; // of the entry nodes
  std::deque<Call> m_calls;
  std::vector<double> m_latency; // of answered requests, ms
  double m_requests = 0, m_good = 0, m_refusals = 0, m_probes = 0;
  double m_coldSent = 0, m_coldOver = 0; // over: past the cold target's bound

  World(const Preset& aPreset, const Scenario& aScenario, Factory aFactory)
    : m_preset(aPreset)
    , m_scenario(aScenario)
    , m_rate((FLAGS_load > 0 ? FLAGS_load : aScenario.second) *
             aPreset.m_targets * aPreset.m_slots / aPreset.m_service)
    , m_targets(aPreset.m_targets)
  {
    for (uint32_t i = 0; i < aPreset.m_targets; ++i) {
      TargetInfo& info = m_targets[i].m_info;
      info = { { "t" + std::to_string(i) }, "s", Zone(i), "r" };
      info.m_slots = aPreset.m_slots;
      info.m_incarnation = 1;
    }
    SeededRandom random(FLAGS_seed + 2);
    std::vector<bool>& spells = m_targets[0].m_slow;
    const double noisy = aScenario.first == "noisy" ? 1000 * (m_end + 60) : 0;
    for (bool slow = false; spells.size() < static_cast<size_t>(noisy);
         slow = !slow) {
      const double mean = slow ? FLAGS_noise_on_ms : FLAGS_noise_off_ms;
      const double length = 1 + Exponential(random, mean);
      spells.resize(spells.size() + static_cast<size_t>(length), slow);
    }
    for (uint32_t i = 0; i < aPreset.m_entries; ++i) {
      m_randoms.emplace_back(FLAGS_seed * 1000 + i);
      m_routers.push_back(aFactory(
        { Zone(i), "r", Span(aPreset.m_zoneLatency) }, m_randoms.back()));
      Learn(i);
    }
  }

  std::string Zone(uint32_t aIndex) const
  {
    return "z" + std::to_string(aIndex % m_preset.m_zones);
  }
  void Push(double aDelay, Handler aHandler, uint32_t aId)
  {
    m_events[{ m_now + aDelay, m_order++ }] = { aHandler, aId };
  }
  TimePoint Now() const { return TimePoint(Span(m_now)); }
  double Distance(const Call& aCall) const
  {
    return Zone(aCall.m_entry) == Zone(aCall.m_target) ? kLocal
                                                       : m_preset.m_zoneLatency;
  }
  // Time for work that starts now, slowed down in every spell that it meets.
  double TimeFor(const Target& aTarget, double aWork) const
  {
    double time = m_now;
    auto at = static_cast<size_t>(time * 1000);
    while (at < aTarget.m_slow.size()) {
      const double speed = aTarget.m_slow[at++] ? 1 / FLAGS_noise_slowdown : 1;
      const double length = static_cast<double>(at) / 1000 - time;
      if (aWork <= length * speed) {
        return time + aWork / speed - m_now;
      }
      aWork -= length * speed;
      time += length;
    }
    return time + aWork - m_now;
  }

  void Arrive(uint32_t)
  {
    if (m_now > m_end) {
      return;
    }
    Push(Exponential(m_traffic, 1 / m_rate), &World::Arrive, 0);
    Call& call = m_calls.emplace_back();
    call.m_entry =
      static_cast<uint32_t>(m_traffic.NextBelow(m_preset.m_entries));
    call.m_work = m_preset.m_service * LogNormal(m_traffic, FLAGS_sigma);
    call.m_start = m_now;
    call.m_route.m_service = "s";
    m_requests += m_now >= kWarmUp ? 1 : 0;
    Send(static_cast<uint32_t>(m_calls.size() - 1));
  }

  void Send(uint32_t aCall)
  {
    Call& call = m_calls[aCall];
    Router& router = *m_routers[call.m_entry];
    call.m_target = router.Choose(call.m_route, Now()).m_target;
    if (call.m_target != kNoTarget) {
      router.OnSent(call.m_target, Now());
      call.m_sent = m_now;
      Push(Distance(call), &World::Reach, aCall);
    }
  }

  void Reach(uint32_t aCall)
  {
    Target& target = m_targets[m_calls[aCall].m_target];
    const bool full = target.m_busy >= target.Limit();
    const size_t room = target.m_info.m_cold ? 0 : 2 * m_preset.m_slots;
    m_coldSent += target.m_info.m_cold ? 1 : 0;
    m_coldOver += target.m_info.m_cold && full ? 1 : 0;
    if (target.m_info.m_leaving || (full && target.m_queue.size() >= room)) {
      Answer(aCall, AttemptOutcome::Refused);
    } else if (m_failsFast && &target == m_targets.data()) {
      Answer(aCall, AttemptOutcome::Failed);
    } else {
      target.m_queue.push_back(aCall);
      Serve(target);
    }
  }

  void Serve(Target& aTarget)
  {
    while (!aTarget.m_queue.empty() && aTarget.m_busy < aTarget.Limit()) {
      const uint32_t next = aTarget.m_queue.front();
      aTarget.m_queue.pop_front();
      ++aTarget.m_busy;
      m_calls[next].m_life = aTarget.m_info.m_incarnation;
      const double work =
        m_calls[next].m_work * (aTarget.m_info.m_cold ? kColdSlow : 1);
      Push(TimeFor(aTarget, work), &World::Finish, next);
    }
  }

  void Finish(uint32_t aCall)
  {
    Target& target = m_targets[m_calls[aCall].m_target];
    const bool lost = m_calls[aCall].m_life != target.m_info.m_incarnation;
    if (!lost) {
      --target.m_busy;
      Serve(target);
    }
    Answer(aCall, lost ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
  }

  void Answer(uint32_t aCall, AttemptOutcome aEnd)
  {
    Call& call = m_calls[aCall];
    const Target& target = m_targets[call.m_target];
    LoadReport& load = call.m_feedback.m_load;
    load.m_inFlight = target.m_busy;
    load.m_queued = static_cast<uint32_t>(target.m_queue.size());
    load.m_limit = target.Limit();
    load.m_slots = m_preset.m_slots;
    load.m_cold = target.m_info.m_cold;
    load.m_leaving = target.m_info.m_leaving;
    load.m_incarnation = target.m_info.m_incarnation;
    call.m_feedback.m_hasLoad = true;
    call.m_feedback.m_outcome = aEnd;
    Push(Distance(call), &World::Return, aCall);
  }

  void Return(uint32_t aCall)
  {
    Call& call = m_calls[aCall];
    const AttemptOutcome end = call.m_feedback.m_outcome;
    const bool counts = call.m_start >= kWarmUp;
    call.m_feedback.m_latency = Span(m_now - call.m_sent);
    m_routers[call.m_entry]->OnEnd(call.m_target, call.m_feedback, Now());
    if (counts && end == AttemptOutcome::Succeeded) {
      m_latency.push_back(1000 * (m_now - call.m_start));
      m_good += m_now - call.m_start <= kDeadline ? 1 : 0;
    }
    m_refusals += counts && end == AttemptOutcome::Refused ? 1 : 0;
    size_t& excluded = call.m_route.m_excludedCount;
    if (end == AttemptOutcome::Refused && excluded + 1 < kMaxExcluded) {
      call.m_route.m_excluded[excluded++] = call.m_target;
      Send(aCall);
    }
  }
  // Step 0 happens after a third of the time, step 1 after two thirds; steps 2
  // and 3 end the cold starts of steps 0 and 1.
  void Change(uint32_t aStep)
  {
    const bool third = m_scenario.first == "third_leaves";
    for (size_t i = 0; third && i < (m_targets.size() + 1) / 3; ++i) {
      m_targets[i].m_info.m_leaving = aStep == 0;
    }
    m_failsFast = aStep == 0 && m_scenario.first == "fail_fast";
    if (aStep > 1) {
      m_targets[aStep - 2].m_info.m_cold = false;
    } else if (m_scenario.first == "restart_cold") {
      Target& target = m_targets[aStep];
      for (const uint32_t call : target.m_queue) {
        Answer(call, AttemptOutcome::Refused);
      }
      target.m_queue.clear();
      target.m_busy = 0;
      target.m_info.m_cold = true;
      Push(kColdTime, &World::Change, aStep + 2);
      ++target.m_info.m_incarnation;
    }
    for (uint32_t i = 0; i < m_preset.m_entries; ++i) {
      Push(m_traffic.NextDouble() * kGossip, &World::Learn, i);
    }
  }
  void Learn(uint32_t aEntry)
  {
    std::vector<TargetInfo> infos;
    for (const Target& target : m_targets) {
      infos.push_back(target.m_info);
    }
    m_routers[aEntry]->SetTargets("s", infos, Now());
  }
  void Run()
  {
    Push(0, &World::Arrive, 0);
    Push(kWarmUp + FLAGS_seconds / 3, &World::Change, 0);
    Push(kWarmUp + FLAGS_seconds * 2 / 3, &World::Change, 1);
    while (!m_events.empty()) {
      const auto event = m_events.begin();
      const auto [handler, id] = event->second;
      m_now = event->first.first;
      m_events.erase(event);
      (this->*handler)(id);
    }
    std::sort(m_latency.begin(), m_latency.end());
  }
};

void
Print(const World& aWorld, const char* aPolicy)
{
  const auto percentile = [&aWorld](double aShare) {
    const std::vector<double>& all = aWorld.m_latency;
    const double at = aShare * static_cast<double>(all.size());
    return all.empty() ? 0 : all[static_cast<size_t>(at)];
  };
  const std::array<std::pair<const char*, double>, 8> columns = {
    { { "p50_ms", percentile(0.5) },
      { "p99_ms", percentile(0.99) },
      { "p999_ms", percentile(0.999) },
      { "goodput_percent", 100 * aWorld.m_good / aWorld.m_requests },
      { "refusals_per_request", aWorld.m_refusals / aWorld.m_requests },
      { "probes_per_request", aWorld.m_probes / aWorld.m_requests },
      { "cold_sent", aWorld.m_coldSent },
      { "cold_over", aWorld.m_coldOver } }
  };
  std::printf(FLAGS_json ? R"({"scenario":"%s","policy":"%s")" : "| %s | %s",
              aWorld.m_scenario.first.c_str(),
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
        World world(preset, scenario, factory);
        world.Run();
        Print(world, name);
      }
    }
  }
}
