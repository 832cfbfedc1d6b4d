// Several nodes, each with one target, one or two requests that crash every
// target and are resent through any node, innocent requests beside them, and
// news that arrives late, repeated and in any order. Guards against more
// targets lost to one request than docs/decisions/crashing-requests.md states,
// and against innocent requests that stay refused.
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
constexpr Duration kGossipEvery = 200ms;
constexpr size_t kSlots = 4;
constexpr QuarantineSettings kSettings{ .m_crashThreshold = 2,
                                        .m_initialDuration = 10s,
                                        .m_maxDuration = 40s,
                                        .m_retention = 600s };

struct Plan
{
  uint64_t m_seed;
  size_t m_nodes;
  size_t m_crashers;
  size_t m_resenders; // callers of each crasher
  size_t m_innocents; // callers of innocent requests
  Duration m_delay;   // of news, at most
  Duration m_resend;  // of a crasher, after each end
};

std::ostream&
operator<<(std::ostream& aOut, const Plan& aPlan)
{
  return aOut << "{seed " << aPlan.m_seed << ", nodes " << aPlan.m_nodes
              << ", crashers " << aPlan.m_crashers << ", resenders "
              << aPlan.m_resenders << ", innocents " << aPlan.m_innocents
              << ", delay " << aPlan.m_delay.count() << " ns, resend "
              << aPlan.m_resend.count() << " ns}";
}

struct Attempt
{
  size_t m_caller;
  RequestIdentity m_identity;
  size_t m_entry;
  TimePoint m_end;
};

struct Node
{
  std::unique_ptr<Quarantine> m_quarantine = MakeQuarantine(kSettings);
  std::vector<Attempt> m_running; // on the target beside the node
  uint64_t m_incarnation = 1;
  TimePoint m_back{}; // when the target has restarted
};

struct Caller
{
  bool m_crashThreshold;
  RequestIdentity m_identity;
  TimePoint m_next{}; // of the next attempt; max while one runs
};

class Fleet
{
public:
  explicit Fleet(const Plan& aPlan);

  void RunFor(Duration aDuration);
  void StopCrashers() { m_crashersStopped = true; }
  uint32_t Lost(size_t aCrasher) const { return m_lost[aCrasher]; }
  void CheckNoInnocentRefused() const;

private:
  void Send(size_t aCaller);
  bool Place(size_t aCaller, size_t aEntry, size_t aTarget);
  void EndAttempts(size_t aNode);
  void Crash(size_t aNode, const Attempt& aCause);
  void Complete(const Attempt& aAttempt, size_t aNode);
  void Gossip();
  void Carry(RequestIdentity aIdentity, size_t aFrom, size_t aTo);
  RequestIdentity NextInnocent();
  Duration UpTo(Duration aMost);

  Plan m_plan;
  SeededRandom m_random;
  TimePoint m_now{ 24h };
  TimePoint m_nextGossip = m_now;
  bool m_crashersStopped = false;
  uint64_t m_identities = 100;
  std::vector<Node> m_nodes;
  std::vector<Caller> m_callers;
  std::vector<uint32_t> m_lost; // targets, by the crasher at fault
  std::set<RequestIdentity> m_innocent;
  std::multimap<TimePoint, std::pair<size_t, SuspectUpdate>> m_news;
};

Fleet::Fleet(const Plan& aPlan)
  : m_plan(aPlan)
  , m_random(aPlan.m_seed)
  , m_nodes(aPlan.m_nodes)
  , m_lost(aPlan.m_crashers)
{
  for (size_t i = 0; i < aPlan.m_crashers * aPlan.m_resenders; ++i) {
    m_callers.push_back({ true, i % aPlan.m_crashers });
  }
  for (size_t i = 0; i < aPlan.m_innocents; ++i) {
    m_callers.push_back({ false, NextInnocent() });
  }
}

void
Fleet::RunFor(Duration aDuration)
{
  const TimePoint end = m_now + aDuration;
  for (; m_now < end; m_now += kStep) {
    while (!m_news.empty() && m_news.begin()->first <= m_now) {
      const auto [to, news] = m_news.begin()->second;
      m_nodes[to].m_quarantine->MergeUpdate(news, m_now);
      m_news.erase(m_news.begin());
    }
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      EndAttempts(i);
    }
    for (size_t i = 0; i < m_callers.size(); ++i) {
      if (m_callers[i].m_next <= m_now) {
        Send(i);
      }
    }
    if (m_nextGossip <= m_now) {
      m_nextGossip = m_now + kGossipEvery;
      Gossip();
    }
  }
}

void
Fleet::Send(size_t aCaller)
{
  Caller& caller = m_callers[aCaller];
  caller.m_next = m_now + (caller.m_crashThreshold ? m_plan.m_resend : 50ms);
  if (caller.m_crashThreshold && m_crashersStopped) {
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
    if (Place(aCaller, entry, (first + i) % m_nodes.size())) {
      return;
    }
  }
}

bool
Fleet::Place(size_t aCaller, size_t aEntry, size_t aTarget)
{
  Node& node = m_nodes[aTarget];
  Caller& caller = m_callers[aCaller];
  if (m_now < node.m_back || node.m_running.size() >= kSlots) {
    return false;
  }
  Carry(caller.m_identity, aEntry, aTarget);
  const auto decision = node.m_quarantine->Start(caller.m_identity, m_now);
  if (decision.m_verdict != QuarantineVerdict::Allowed) {
    RC_ASSERT(decision.m_attemptRun == Run::No);
    RC_ASSERT(decision.m_requestRun == Run::Maybe);
    return false;
  }
  const TimePoint end = m_now + 10ms + UpTo(60ms);
  node.m_running.push_back({ aCaller, caller.m_identity, aEntry, end });
  caller.m_next = TimePoint::max();
  return true;
}

void
Fleet::EndAttempts(size_t aNode)
{
  const std::vector<Attempt> running = m_nodes[aNode].m_running;
  for (const Attempt& attempt : running) {
    if (m_now < attempt.m_end) {
      continue;
    }
    if (m_callers[attempt.m_caller].m_crashThreshold) {
      return Crash(aNode, attempt);
    }
    Complete(attempt, aNode);
  }
}

void
Fleet::Crash(size_t aNode, const Attempt& aCause)
{
  ++m_lost[aCause.m_identity];
  Node& node = m_nodes[aNode];
  std::vector<RequestIdentity> inFlight;
  for (const Attempt& attempt : node.m_running) {
    inFlight.push_back(attempt.m_identity);
  }
  const CrashId crash =
    CrashIdOf({ std::to_string(aNode) }, node.m_incarnation++);
  node.m_quarantine->OnCrash(crash, inFlight, m_now);
  node.m_back = m_now + 500ms;
  for (const Attempt& attempt : std::exchange(node.m_running, {})) {
    Carry(attempt.m_identity, aNode, attempt.m_entry);
    Caller& caller = m_callers[attempt.m_caller];
    caller.m_next = m_now + (caller.m_crashThreshold ? m_plan.m_resend : kStep);
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
  m_nodes[aAttempt.m_entry].m_quarantine->OnAnswered(aAttempt.m_identity,
                                                     m_now);
  Caller& caller = m_callers[aAttempt.m_caller];
  caller.m_identity = NextInnocent();
  caller.m_next = m_now + UpTo(100ms);
}

void
Fleet::Gossip()
{
  for (size_t from = 0; from < m_nodes.size(); ++from) {
    for (const auto& news :
         m_nodes[from].m_quarantine->NextUpdates(64, m_now)) {
      for (size_t to = 0; to < m_nodes.size(); ++to) {
        SuspectUpdate late = news;
        const Duration delay = UpTo(m_plan.m_delay);
        late.m_age += m_random.NextBelow(2) == 0 ? delay : Duration(0);
        m_news.emplace(m_now + delay, std::pair(to, late));
      }
    }
  }
}

// News that travels with a call or with its failure.
void
Fleet::Carry(RequestIdentity aIdentity, size_t aFrom, size_t aTo)
{
  for (const auto& news :
       m_nodes[aFrom].m_quarantine->NewsOf(aIdentity, m_now)) {
    m_nodes[aTo].m_quarantine->MergeUpdate(news, m_now);
  }
}

// Every third request is a popular one that many callers send.
RequestIdentity
Fleet::NextInnocent()
{
  const RequestIdentity identity =
    m_random.NextBelow(3) == 0 ? 50 + m_random.NextBelow(3) : ++m_identities;
  m_innocent.insert(identity);
  return identity;
}

Duration
Fleet::UpTo(Duration aMost)
{
  return Duration(m_random.NextBelow(static_cast<uint64_t>(aMost.count()) + 1));
}

void
Fleet::CheckNoInnocentRefused() const
{
  for (const Node& node : m_nodes) {
    for (const RequestIdentity identity : m_innocent) {
      const auto decision = node.m_quarantine->Check(identity, m_now);
      RC_ASSERT(decision.m_verdict == QuarantineVerdict::Allowed);
      // Not merely allowed because a hold has passed.
      const auto news = node.m_quarantine->NewsOf(identity, m_now);
      const auto open =
        std::count_if(news.begin(), news.end(), [](const SuspectUpdate& aNews) {
          return !aNews.m_cleared;
        });
      RC_ASSERT(open < kSettings.m_crashThreshold);
    }
  }
}

// The bound of docs/decisions/crashing-requests.md for callers that each send
// one attempt at a time.
uint32_t
MostLost(const Plan& aPlan, Duration aDuration)
{
  const Duration unknown = kGossipEvery + aPlan.m_delay + kStep;
  const auto each = static_cast<uint32_t>(unknown / aPlan.m_resend) + 1;
  const auto meanwhile = static_cast<uint32_t>(aPlan.m_resenders) * each;
  uint32_t most = kSettings.m_crashThreshold + meanwhile;
  Duration hold = kSettings.m_initialDuration;
  for (Duration at = hold; at < aDuration; at += hold) {
    most += 1 + meanwhile;
    hold = std::min(2 * hold, kSettings.m_maxDuration);
  }
  return most;
}

rc::Gen<Plan>
Plans()
{
  const auto milliseconds = [](int aLow, int aHigh) {
    return rc::gen::map(rc::gen::inRange(aLow, aHigh),
                        [](int aCount) { return Duration(aCount * 1ms); });
  };
  return rc::gen::construct<Plan>(rc::gen::arbitrary<uint64_t>(),
                                  rc::gen::inRange<size_t>(2, 7),
                                  rc::gen::inRange<size_t>(1, 3),
                                  rc::gen::inRange<size_t>(1, 4),
                                  rc::gen::inRange<size_t>(0, 16),
                                  milliseconds(0, 2000),
                                  milliseconds(20, 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

RC_BOOST_PROP(a_crasher_is_bounded_and_the_innocent_go_free, ())
{
  const Plan plan = *Plans();
  Fleet fleet(plan);
  fleet.RunFor(100s);
  for (size_t i = 0; i < plan.m_crashers; ++i) {
    RC_ASSERT(fleet.Lost(i) <= MostLost(plan, 100s));
    RC_ASSERT(fleet.Lost(i) >=
              kSettings.m_crashThreshold); // the crasher did run
  }
  fleet.StopCrashers();
  fleet.RunFor(kSettings.m_maxDuration + 20s);
  fleet.CheckNoInnocentRefused();
}

BOOST_AUTO_TEST_SUITE_END()
