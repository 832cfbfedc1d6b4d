// Simulates several nodes with one target each. One or two requests (crashers)
// crash every target and are sent again through any node, among harmless
// requests. Updates between nodes arrive late, repeated and in any order.
//
// Guards against one request that crashes more targets than
// docs/decisions/crashing-requests.md states, and against harmless requests
// that stay refused.
#include "quarantine/quarantine.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <set>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kGossipInterval = 200ms;
constexpr size_t kSlotsPerTarget = 4;
constexpr QuarantineSettings kSettings{ .m_crashThreshold = 2,
                                        .m_initialDuration = 10s,
                                        .m_maxDuration = 40s,
                                        .m_retention = 600s };

struct Scenario
{
  uint64_t m_seed;
  size_t m_nodes;
  size_t m_crashers;
  size_t m_callersPerCrasher; // that send the same crasher
  size_t m_harmlessCallers;   // that send requests which complete
  Duration m_maxGossipDelay;  // of updates between nodes
  Duration m_resendDelay;     // of a crasher, after each attempt
};

std::ostream&
operator<<(std::ostream& aOut, const Scenario& aScenario)
{
  return aOut << "{seed " << aScenario.m_seed << ", nodes " << aScenario.m_nodes
              << ", crashers " << aScenario.m_crashers
              << ", callers per crasher " << aScenario.m_callersPerCrasher
              << ", harmless callers " << aScenario.m_harmlessCallers
              << ", max gossip delay " << aScenario.m_maxGossipDelay.count()
              << " ns, resend delay " << aScenario.m_resendDelay.count()
              << " ns}";
}

struct Attempt
{
  size_t m_caller;
  RequestIdentity m_identity;
  size_t m_entryNode;
  TimePoint m_endTime;
};

struct Node
{
  std::unique_ptr<Quarantine> m_quarantine = MakeQuarantine(kSettings);
  std::vector<Attempt> m_running; // on the target beside the node
  uint64_t m_incarnation = 1;
  TimePoint m_restartTime{}; // of the target; later it serves
};

struct Caller
{
  bool m_crashesTarget;
  RequestIdentity m_identity;
  TimePoint m_nextSendTime{}; // max while an attempt runs
};

class Fleet
{
public:
  explicit Fleet(const Scenario& aScenario);

  void RunFor(Duration aDuration);
  void StopCrashers() { m_areCrashersStopped = true; }
  uint32_t CrashedTargets(size_t aCrasher) const
  {
    return m_crashedTargets[aCrasher];
  }
  void CheckHarmlessRequestsAllowed() const;

private:
  void Send(size_t aCaller);
  bool TryDispatch(size_t aCaller, size_t aEntry, size_t aTarget);
  void EndAttempts(size_t aNode);
  void Crash(size_t aNode, const Attempt& aCause);
  void Complete(const Attempt& aAttempt, size_t aNode);
  void Gossip();
  void SendUpdatesFor(RequestIdentity aIdentity, size_t aFrom, size_t aTo);
  RequestIdentity NextHarmlessIdentity();
  Duration RandomDuration(Duration aMax);

  Scenario m_scenario;
  SeededRandom m_random;
  TimePoint m_now{ 24h };
  TimePoint m_nextGossipTime = m_now;
  bool m_areCrashersStopped = false;
  uint64_t m_lastIdentity = 100;
  std::vector<Node> m_nodes;
  std::vector<Caller> m_callers;
  std::vector<uint32_t> m_crashedTargets; // by crasher
  std::set<RequestIdentity> m_harmless;
  std::multimap<TimePoint, std::pair<size_t, SuspectUpdate>> m_updatesInTransit;
};

Fleet::Fleet(const Scenario& aScenario)
  : m_scenario(aScenario)
  , m_random(aScenario.m_seed)
  , m_nodes(aScenario.m_nodes)
  , m_crashedTargets(aScenario.m_crashers)
{
  for (size_t i = 0; i < aScenario.m_crashers * aScenario.m_callersPerCrasher;
       ++i) {
    m_callers.push_back({ true, i % aScenario.m_crashers });
  }
  for (size_t i = 0; i < aScenario.m_harmlessCallers; ++i) {
    m_callers.push_back({ false, NextHarmlessIdentity() });
  }
}

void
Fleet::RunFor(Duration aDuration)
{
  const TimePoint end = m_now + aDuration;
  for (; m_now < end; m_now += kStep) {
    while (!m_updatesInTransit.empty() &&
           m_updatesInTransit.begin()->first <= m_now) {
      const auto [to, update] = m_updatesInTransit.begin()->second;
      m_nodes[to].m_quarantine->MergeUpdate(update, m_now);
      m_updatesInTransit.erase(m_updatesInTransit.begin());
    }
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      EndAttempts(i);
    }
    for (size_t i = 0; i < m_callers.size(); ++i) {
      if (m_callers[i].m_nextSendTime <= m_now) {
        Send(i);
      }
    }
    if (m_nextGossipTime <= m_now) {
      m_nextGossipTime = m_now + kGossipInterval;
      Gossip();
    }
  }
}

void
Fleet::Send(size_t aCaller)
{
  Caller& caller = m_callers[aCaller];
  caller.m_nextSendTime =
    m_now + (caller.m_crashesTarget ? m_scenario.m_resendDelay : 50ms);
  if (caller.m_crashesTarget && m_areCrashersStopped) {
    return;
  }
  const size_t entry = m_random.NextBelow(m_nodes.size());
  const auto decision =
    m_nodes[entry].m_quarantine->Check(caller.m_identity, m_now);
  if (decision.m_verdict == QuarantineVerdict::Refused) {
    return;
  }
  const size_t first = m_random.NextBelow(m_nodes.size());
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    if (TryDispatch(aCaller, entry, (first + i) % m_nodes.size())) {
      return;
    }
  }
}

bool
Fleet::TryDispatch(size_t aCaller, size_t aEntry, size_t aTarget)
{
  Node& node = m_nodes[aTarget];
  Caller& caller = m_callers[aCaller];
  if (m_now < node.m_restartTime || node.m_running.size() >= kSlotsPerTarget) {
    return false;
  }
  SendUpdatesFor(caller.m_identity, aEntry, aTarget);
  const auto decision = node.m_quarantine->Start(caller.m_identity, m_now);
  if (decision.m_verdict != QuarantineVerdict::Allowed) {
    RC_ASSERT(decision.m_attemptExecuted == Executed::No);
    RC_ASSERT(decision.m_requestExecuted == Executed::Maybe);
    return false;
  }
  const TimePoint end = m_now + 10ms + RandomDuration(60ms);
  node.m_running.push_back({ aCaller, caller.m_identity, aEntry, end });
  caller.m_nextSendTime = TimePoint::max();
  return true;
}

void
Fleet::EndAttempts(size_t aNode)
{
  const std::vector<Attempt> running = m_nodes[aNode].m_running;
  for (const Attempt& attempt : running) {
    if (m_now < attempt.m_endTime) {
      continue;
    }
    if (m_callers[attempt.m_caller].m_crashesTarget) {
      return Crash(aNode, attempt);
    }
    Complete(attempt, aNode);
  }
}

void
Fleet::Crash(size_t aNode, const Attempt& aCause)
{
  ++m_crashedTargets[aCause.m_identity];
  Node& node = m_nodes[aNode];
  std::vector<RequestIdentity> inFlight;
  for (const Attempt& attempt : node.m_running) {
    inFlight.push_back(attempt.m_identity);
  }
  const CrashId crash =
    CrashIdOf({ std::to_string(aNode) }, node.m_incarnation++);
  node.m_quarantine->OnCrash(crash, inFlight, m_now);
  node.m_restartTime = m_now + 500ms;
  for (const Attempt& attempt : std::exchange(node.m_running, {})) {
    SendUpdatesFor(attempt.m_identity, aNode, attempt.m_entryNode);
    Caller& caller = m_callers[attempt.m_caller];
    caller.m_nextSendTime =
      m_now + (caller.m_crashesTarget ? m_scenario.m_resendDelay : kStep);
  }
}

void
Fleet::Complete(const Attempt& aAttempt, size_t aNode)
{
  Node& node = m_nodes[aNode];
  std::erase_if(node.m_running, [&](const Attempt& aOther) {
    return aOther.m_caller == aAttempt.m_caller;
  });
  node.m_quarantine->OnFinished(aAttempt.m_identity, true, m_now);
  m_nodes[aAttempt.m_entryNode].m_quarantine->OnResponse(aAttempt.m_identity,
                                                         m_now);
  Caller& caller = m_callers[aAttempt.m_caller];
  caller.m_identity = NextHarmlessIdentity();
  caller.m_nextSendTime = m_now + RandomDuration(100ms);
}

void
Fleet::Gossip()
{
  for (size_t from = 0; from < m_nodes.size(); ++from) {
    for (const auto& update :
         m_nodes[from].m_quarantine->NextUpdates(64, m_now)) {
      for (size_t to = 0; to < m_nodes.size(); ++to) {
        SuspectUpdate delayed = update;
        const Duration delay = RandomDuration(m_scenario.m_maxGossipDelay);
        delayed.m_age += m_random.NextBelow(2) == 0 ? delay : Duration(0);
        m_updatesInTransit.emplace(m_now + delay, std::pair(to, delayed));
      }
    }
  }
}

// Delivers the updates that a call or its failure carries.
void
Fleet::SendUpdatesFor(RequestIdentity aIdentity, size_t aFrom, size_t aTo)
{
  for (const auto& update :
       m_nodes[aFrom].m_quarantine->UpdatesFor(aIdentity, m_now)) {
    m_nodes[aTo].m_quarantine->MergeUpdate(update, m_now);
  }
}

// One third of the requests are equal ones that many callers send.
RequestIdentity
Fleet::NextHarmlessIdentity()
{
  const RequestIdentity identity =
    m_random.NextBelow(3) == 0 ? 50 + m_random.NextBelow(3) : ++m_lastIdentity;
  m_harmless.insert(identity);
  return identity;
}

Duration
Fleet::RandomDuration(Duration aMax)
{
  return Duration(m_random.NextBelow(static_cast<uint64_t>(aMax.count()) + 1));
}

void
Fleet::CheckHarmlessRequestsAllowed() const
{
  for (const Node& node : m_nodes) {
    for (const RequestIdentity identity : m_harmless) {
      const auto decision = node.m_quarantine->Check(identity, m_now);
      RC_ASSERT(decision.m_verdict == QuarantineVerdict::Allowed);
      // An expired refusal is not enough: the request has to be cleared.
      const auto updates = node.m_quarantine->UpdatesFor(identity, m_now);
      const auto uncleared = std::count_if(
        updates.begin(), updates.end(), [](const SuspectUpdate& aUpdate) {
          return !aUpdate.m_cleared;
        });
      RC_ASSERT(uncleared < kSettings.m_crashThreshold);
    }
  }
}

// Upper bound of docs/decisions/crashing-requests.md, for callers that each
// have one attempt in flight at a time.
uint32_t
MaxCrashedTargets(const Scenario& aScenario, Duration aDuration)
{
  const Duration propagationDelay =
    kGossipInterval + aScenario.m_maxGossipDelay + kStep;
  const auto attemptsPerCaller =
    static_cast<uint32_t>(propagationDelay / aScenario.m_resendDelay) + 1;
  const auto duringPropagation =
    static_cast<uint32_t>(aScenario.m_callersPerCrasher) * attemptsPerCaller;
  uint32_t bound = kSettings.m_crashThreshold + duringPropagation;
  Duration duration = kSettings.m_initialDuration;
  for (Duration at = duration; at < aDuration; at += duration) {
    bound += 1 + duringPropagation;
    duration = std::min(2 * duration, kSettings.m_maxDuration);
  }
  return bound;
}

rc::Gen<Scenario>
ArbitraryScenario()
{
  const auto milliseconds = [](int aLow, int aHigh) {
    return rc::gen::map(rc::gen::inRange(aLow, aHigh),
                        [](int aCount) { return Duration(aCount * 1ms); });
  };
  return rc::gen::construct<Scenario>(rc::gen::arbitrary<uint64_t>(),
                                      rc::gen::inRange<size_t>(2, 7),
                                      rc::gen::inRange<size_t>(1, 3),
                                      rc::gen::inRange<size_t>(1, 4),
                                      rc::gen::inRange<size_t>(0, 16),
                                      milliseconds(0, 2000),
                                      milliseconds(20, 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

RC_BOOST_PROP(crashes_are_bounded_and_harmless_requests_stay_allowed, ())
{
  const Scenario scenario = *ArbitraryScenario();
  Fleet fleet(scenario);
  fleet.RunFor(100s);
  for (size_t i = 0; i < scenario.m_crashers; ++i) {
    RC_ASSERT(fleet.CrashedTargets(i) <= MaxCrashedTargets(scenario, 100s));
    // The crasher did run.
    RC_ASSERT(fleet.CrashedTargets(i) >= kSettings.m_crashThreshold);
  }
  fleet.StopCrashers();
  fleet.RunFor(kSettings.m_maxDuration + 20s);
  fleet.CheckHarmlessRequestsAllowed();
}

BOOST_AUTO_TEST_SUITE_END()
