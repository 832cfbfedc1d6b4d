// Stateful fuzzing of at-most-once execution. Simulates the call ledgers of
// several nodes, entry nodes that resolve calls without a response, and a
// network that drops, duplicates and delays messages. An oracle compares the
// requests that ran with the results that were reported to callers.
#include "idempotency/idempotency.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 4;
constexpr Duration kCallerTimeout = 30s;

//-----------------------------------------------------------------------------
// Oracle: which requests ran and which results were reported to callers
//-----------------------------------------------------------------------------

struct Oracle
{
  std::map<uint64_t, int> m_runCounts; // by request
  std::set<uint64_t> m_reportedNotRun; // ids of requests
  std::string m_violation;             // the first one
  int m_sent = 0;
  int m_reportedRun = 0;

  void Fail(const std::string& aText)
  {
    m_violation = m_violation.empty() ? aText : m_violation;
  }
  void OnRun(uint64_t aRequest)
  {
    if (++m_runCounts[aRequest] > 1) {
      Fail("ran twice: request " + std::to_string(aRequest));
    }
    if (m_reportedNotRun.contains(aRequest)) {
      Fail("ran after 'not run': request " + std::to_string(aRequest));
    }
  }
  void OnReport(uint64_t aRequest, Executed aExecuted)
  {
    if (aExecuted == Executed::No && m_runCounts[aRequest] > 0) {
      Fail("'not run' after it ran: request " + std::to_string(aRequest));
    }
    if (aExecuted == Executed::Yes && m_runCounts[aRequest] == 0) {
      Fail("'ran' before it ran: request " + std::to_string(aRequest));
    }
    if (aExecuted == Executed::No) {
      m_reportedNotRun.insert(aRequest);
    }
    m_reportedRun += aExecuted == Executed::Yes ? 1 : 0;
  }
};

//-----------------------------------------------------------------------------
// Simulation
//-----------------------------------------------------------------------------

struct Request
{
  uint64_t m_id = 0;
  int m_target = 0;
  uint64_t m_incarnation = 0; // of the target's node at the time of sending
  CallId m_call;
  TimePoint m_sendTime;
  TimePoint m_deadline;
  int m_attempts = 0;
  bool m_isResolving = false; // after the link was lost
};

struct Node
{
  NodeInstance m_instance;
  bool m_alive = true;
  TimePoint m_pausedUntil;
  uint64_t m_targetIncarnation = 1;
  uint64_t m_sequence = 0;
  std::unique_ptr<CallLedger> m_ledger;
  std::map<uint64_t, Request> m_requests;
};

class Simulation
{
public:
  Simulation(uint64_t aSeed, bool aFaults)
    : m_random(aSeed)
    , m_hasFaults(aFaults)
  {
    for (int i = 0; i < kNodes; ++i) {
      m_nodes[i].m_instance = { { "n" + std::to_string(i) }, 1 };
      m_nodes[i].m_ledger = MakeCallLedger(m_nodes[i].m_instance, m_limits);
    }
  }

  void SendRequest(int aNode);
  void Crash(int aNode, bool aTargetToo)
  {
    m_nodes[aNode].m_alive = false;
    m_nodes[aNode].m_requests.clear();
    m_nodes[aNode].m_targetIncarnation += aTargetToo ? 1 : 0;
  }
  void Restart(int aNode);
  void CrashTarget(int aNode) { ++m_nodes[aNode].m_targetIncarnation; }
  void Pause(int aNode, Duration aTime)
  {
    m_nodes[aNode].m_pausedUntil = m_now + aTime;
  }
  void Advance(Duration aTime);

  Oracle m_oracle;
  // Shares of messages.
  unsigned m_dropPercent = 0;
  unsigned m_duplicatePercent = 0;
  unsigned m_slowPercent = 0; // delayed by up to 20 s instead of 20 ms

private:
  using Action = std::function<void(Node&)>;
  struct Event
  {
    int m_node = 0;
    uint64_t m_incarnation = 0; // 0: any
    Action m_action;
  };

  bool RandomBool(unsigned aPercent)
  {
    return m_random.NextBelow(100) < aPercent;
  }
  Duration RandomDuration(Duration aLow, Duration aHigh)
  {
    const auto range = static_cast<uint64_t>((aHigh - aLow).count()) + 1;
    return aLow + Duration(static_cast<int64_t>(m_random.NextBelow(range)));
  }
  int IndexOf(const Node& aNode) const
  {
    return std::stoi(aNode.m_instance.m_node.m_value.substr(1));
  }
  void ScheduleOnNode(Duration aDelay,
                      int aNode,
                      uint64_t aIncarnation,
                      Action aAction)
  {
    m_events.emplace(std::pair{ m_now + aDelay, ++m_order },
                     Event{ aNode, aIncarnation, std::move(aAction) });
  }
  void Schedule(Duration aDelay, const Node& aNode, Action aAction)
  {
    ScheduleOnNode(aDelay,
                   IndexOf(aNode),
                   aNode.m_instance.m_incarnation,
                   std::move(aAction));
  }
  void Send(int aTo, const Action& aAction);
  void SendToRequest(int aEntry,
                     uint64_t aId,
                     CallId aCall,
                     const std::function<void(Node&, Request&)>& aAction);

  // Entry node
  void StartAttempt(Node& aNode, uint64_t aId);
  void WatchForTimeout(Node& aNode, uint64_t aId, CallId aCall);
  void ResolveOutcome(Node& aNode, uint64_t aId);
  void OnResolved(Node& aNode, uint64_t aId, const ResolveReply& aReply);
  void OnRefused(Node& aNode, uint64_t aId);
  void ReportToCaller(Node& aNode, uint64_t aId, Executed aExecuted);

  // Target's node
  void OnCall(Node& aNode, int aEntry, const Request& aRequest);
  void Start(Node& aNode, int aEntry, const Request& aRequest);
  void RunAtTarget(int aNode, int aEntry, const Request& aRequest);
  void SendRefusal(int aEntry, const Request& aRequest);

  SeededRandom m_random;
  IdempotencyLimits m_limits;
  bool m_hasFaults;
  TimePoint m_now{ std::chrono::hours(1) };
  uint64_t m_order = 0;
  uint64_t m_nextId = 1;
  std::map<std::pair<TimePoint, uint64_t>, Event> m_events;
  std::array<Node, kNodes> m_nodes;
};

void
Simulation::Send(int aTo, const Action& aAction)
{
  if (RandomBool(m_dropPercent)) {
    return;
  }
  for (int copies = RandomBool(m_duplicatePercent) ? 2 : 1; copies > 0;
       --copies) {
    const Duration delay = RandomBool(m_slowPercent)
                             ? RandomDuration(1s, 20s)
                             : RandomDuration(100us, 20ms);
    ScheduleOnNode(delay, aTo, 0, aAction);
  }
}

void
Simulation::Advance(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  while (!m_events.empty() && m_events.begin()->first.first <= end) {
    auto entry = m_events.extract(m_events.begin());
    m_now = std::max(m_now, entry.key().first);
    Event& event = entry.mapped();
    Node& node = m_nodes[event.m_node];
    if (!node.m_alive ||
        (event.m_incarnation != 0 &&
         event.m_incarnation != node.m_instance.m_incarnation)) {
      continue;
    }
    if (node.m_pausedUntil > m_now) { // deferred, in the same order
      m_events.emplace(std::pair{ node.m_pausedUntil, ++m_order },
                       std::move(event));
      continue;
    }
    event.m_action(node);
  }
  m_now = end;
}

void
Simulation::Restart(int aNode)
{
  Node& node = m_nodes[aNode];
  if (!node.m_alive) {
    ++node.m_instance.m_incarnation;
    node.m_ledger = MakeCallLedger(node.m_instance, m_limits);
    node.m_alive = true;
    node.m_pausedUntil = {};
  }
}

//-----------------------------------------------------------------------------
// Entry node: one attempt at a time; a lost attempt is resolved before a retry
//-----------------------------------------------------------------------------

void
Simulation::SendRequest(int aNode)
{
  Node& node = m_nodes[aNode];
  if (!node.m_alive || node.m_pausedUntil > m_now) {
    return;
  }
  ++m_oracle.m_sent;
  Request request;
  request.m_id = m_nextId++;
  request.m_deadline = m_now + kCallerTimeout;
  const uint64_t id = request.m_id;
  node.m_requests.emplace(id, request);
  Schedule(kCallerTimeout, node, [this, id](Node& aSelf) {
    if (aSelf.m_requests.contains(id)) {
      ReportToCaller(aSelf, id, Executed::Maybe);
    }
  });
  StartAttempt(node, id);
}

void
Simulation::SendToRequest(int aEntry,
                          uint64_t aId,
                          CallId aCall,
                          const std::function<void(Node&, Request&)>& aAction)
{
  Send(aEntry, [aId, aCall, aAction](Node& aNode) {
    const auto found = aNode.m_requests.find(aId);
    if (found != aNode.m_requests.end() && found->second.m_call == aCall) {
      aAction(aNode, found->second);
    }
  });
}

void
Simulation::StartAttempt(Node& aNode, uint64_t aId)
{
  Request& request = aNode.m_requests.at(aId);
  if (++request.m_attempts > 4) {
    ReportToCaller(aNode, aId, Executed::No);
    return;
  }
  request.m_target = static_cast<int>(m_random.NextBelow(kNodes));
  request.m_incarnation = m_nodes[request.m_target].m_instance.m_incarnation;
  request.m_call = { StableHash(aNode.m_instance.m_node.m_value,
                                aNode.m_instance.m_incarnation),
                     ++aNode.m_sequence };
  request.m_sendTime = m_now;
  request.m_isResolving = false;
  const Request copy = request;
  const int entry = IndexOf(aNode);
  Send(request.m_target,
       [this, entry, copy](Node& aTarget) { OnCall(aTarget, entry, copy); });
  WatchForTimeout(aNode, aId, request.m_call);
}

// Treats the link as lost after some time without a response.
void
Simulation::WatchForTimeout(Node& aNode, uint64_t aId, CallId aCall)
{
  Schedule(RandomDuration(500ms, 4s), aNode, [this, aId, aCall](Node& aSelf) {
    const auto found = aSelf.m_requests.find(aId);
    if (found != aSelf.m_requests.end() && found->second.m_call == aCall &&
        !found->second.m_isResolving) {
      found->second.m_isResolving = true;
      ResolveOutcome(aSelf, aId);
    }
  });
}

void
Simulation::ResolveOutcome(Node& aNode, uint64_t aId)
{
  const auto found = aNode.m_requests.find(aId);
  if (found == aNode.m_requests.end() || !found->second.m_isResolving) {
    return;
  }
  const Request request = found->second;
  const int entry = IndexOf(aNode);
  Send(request.m_target, [this, request, entry](Node& aTarget) {
    ResolveRequest query;
    query.m_call = request.m_call;
    query.m_incarnation = request.m_incarnation;
    query.m_age = m_now - request.m_sendTime;
    query.m_withdraw = true;
    const ResolveReply reply = aTarget.m_ledger->Resolve(query, m_now);
    SendToRequest(entry,
                  request.m_id,
                  request.m_call,
                  [this, reply](Node& aEntry, Request& aRequest) {
                    OnResolved(aEntry, aRequest.m_id, reply);
                  });
  });
  Schedule(1s, aNode, [this, aId](Node& aSelf) { ResolveOutcome(aSelf, aId); });
}

void
Simulation::OnResolved(Node& aNode, uint64_t aId, const ResolveReply& aReply)
{
  if (!aNode.m_requests.at(aId).m_isResolving) {
    return;
  }
  if (ProvesNotRun(aReply.m_state)) {
    OnRefused(aNode, aId);
  } else if (aReply.m_state == CallState::Completed) {
    ReportToCaller(aNode, aId, Executed::Yes);
  } else if (aReply.m_state != CallState::Running) {
    ReportToCaller(aNode, aId, Executed::Maybe);
  }
}

void
Simulation::OnRefused(Node& aNode, uint64_t aId)
{
  aNode.m_requests.at(aId).m_isResolving = false;
  aNode.m_requests.at(aId).m_call = {};
  Schedule(RandomDuration(0s, 1s), aNode, [this, aId](Node& aSelf) {
    if (aSelf.m_requests.contains(aId)) {
      StartAttempt(aSelf, aId);
    }
  });
}

void
Simulation::ReportToCaller(Node& aNode, uint64_t aId, Executed aExecuted)
{
  m_oracle.OnReport(aId, aExecuted);
  aNode.m_requests.erase(aId);
}

//-----------------------------------------------------------------------------
// Target's node
//-----------------------------------------------------------------------------

void
Simulation::SendRefusal(int aEntry, const Request& aRequest)
{
  SendToRequest(aEntry,
                aRequest.m_id,
                aRequest.m_call,
                [this](Node& aNode, Request& aRequestAtEntry) {
                  OnRefused(aNode, aRequestAtEntry.m_id);
                });
}

void
Simulation::OnCall(Node& aNode, int aEntry, const Request& aRequest)
{
  IncomingCall call;
  call.m_call = aRequest.m_call;
  call.m_incarnation = aRequest.m_incarnation;
  call.m_age = m_now - aRequest.m_sendTime + RandomDuration(0s, 100ms);
  call.m_deadline = m_now + (aRequest.m_deadline - aRequest.m_sendTime);
  const RegisterResult registered = aNode.m_ledger->Register(call, m_now);
  if (registered.m_verdict == RegisterVerdict::Refused) {
    SendRefusal(aEntry, aRequest);
  }
  if (registered.m_verdict != RegisterVerdict::Accepted) {
    return; // a duplicate or unverifiable: the entry node resolves it
  }
  const Duration queued =
    m_hasFaults && RandomBool(30) ? RandomDuration(0s, 8s) : 0s;
  Schedule(queued, aNode, [this, aEntry, aRequest](Node& aSelf) {
    Start(aSelf, aEntry, aRequest);
  });
}

void
Simulation::Start(Node& aNode, int aEntry, const Request& aRequest)
{
  const bool isRefused = m_hasFaults && RandomBool(5);
  if (isRefused &&
      aNode.m_ledger->Refuse(aRequest.m_call, ResultCode::Overloaded, m_now)) {
    SendRefusal(aEntry, aRequest);
    return;
  }
  const StartResult started = aNode.m_ledger->Start(aRequest.m_call, m_now);
  if (!started.m_mayDispatch) {
    SendRefusal(aEntry, aRequest);
    return;
  }
  RunAtTarget(IndexOf(aNode), aEntry, aRequest);
}

// The target runs the request even if the node beside it crashes meanwhile.
void
Simulation::RunAtTarget(int aNode, int aEntry, const Request& aRequest)
{
  Node& node = m_nodes[aNode];
  const bool isShed = m_hasFaults && RandomBool(10);
  if (!isShed) {
    m_oracle.OnRun(aRequest.m_id);
  }
  const uint64_t targetIncarnation = node.m_targetIncarnation;
  const Duration time = m_hasFaults && RandomBool(20)
                          ? RandomDuration(1s, 25s)
                          : RandomDuration(1ms, 200ms);
  Schedule(
    time,
    node,
    [this, aEntry, aRequest, targetIncarnation, isShed](Node& aSelf) {
      const bool isBroken = aSelf.m_targetIncarnation != targetIncarnation;
      const CallOutcome outcome = isBroken ? CallOutcome::Broken
                                  : isShed ? CallOutcome::Shed
                                           : CallOutcome::Completed;
      aSelf.m_ledger->Finish(aRequest.m_call, outcome, m_now);
      if (outcome == CallOutcome::Shed) {
        SendRefusal(aEntry, aRequest);
        return;
      }
      const Executed run =
        outcome == CallOutcome::Completed ? Executed::Yes : Executed::Maybe;
      SendToRequest(aEntry,
                    aRequest.m_id,
                    aRequest.m_call,
                    [this, run](Node& aEntryNode, Request& aRequestAtEntry) {
                      ReportToCaller(aEntryNode, aRequestAtEntry.m_id, run);
                    });
    });
}

//-----------------------------------------------------------------------------
// Operations
//-----------------------------------------------------------------------------

struct Model // without state: every operation is always possible
{};

enum class Operation : uint8_t
{
  Send,
  AdvanceBriefly,
  AdvanceSeconds,
  AdvanceMinutes,
  Crash,
  CrashNodeAndTarget,
  Restart,
  CrashTarget,
  Pause,
  DisturbNetwork,
  RestoreNetwork
};

void
Apply(Simulation& aSimulation, Operation aOperation, unsigned aValue)
{
  const int node = static_cast<int>(aValue % kNodes);
  switch (aOperation) {
    case Operation::Send:
      return aSimulation.SendRequest(node);
    case Operation::AdvanceBriefly:
      return aSimulation.Advance(std::chrono::milliseconds(aValue % 300));
    case Operation::AdvanceSeconds:
      return aSimulation.Advance(std::chrono::milliseconds(aValue % 12000));
    case Operation::AdvanceMinutes:
      return aSimulation.Advance(std::chrono::seconds(20 + aValue % 100));
    case Operation::Crash:
      return aSimulation.Crash(node, false);
    case Operation::CrashNodeAndTarget:
      return aSimulation.Crash(node, true);
    case Operation::Restart:
      return aSimulation.Restart(node);
    case Operation::CrashTarget:
      return aSimulation.CrashTarget(node);
    case Operation::Pause:
      return aSimulation.Pause(node, std::chrono::seconds(1 + aValue % 60));
    case Operation::DisturbNetwork:
      aSimulation.m_dropPercent = aValue % 20;
      aSimulation.m_duplicatePercent = aValue / 20 % 20;
      aSimulation.m_slowPercent = aValue / 400 % 20;
      return;
    case Operation::RestoreNetwork:
      aSimulation.m_dropPercent = aSimulation.m_duplicatePercent =
        aSimulation.m_slowPercent = 0;
      return;
  }
}

struct RandomOperation : rc::state::Command<Model, Simulation>
{
  Operation m_operation =
    *rc::gen::weightedElement<Operation>({ { 30, Operation::Send },
                                           { 16, Operation::AdvanceBriefly },
                                           { 12, Operation::AdvanceSeconds },
                                           { 2, Operation::AdvanceMinutes },
                                           { 3, Operation::Crash },
                                           { 1, Operation::CrashNodeAndTarget },
                                           { 6, Operation::Restart },
                                           { 2, Operation::CrashTarget },
                                           { 4, Operation::Pause },
                                           { 4, Operation::DisturbNetwork },
                                           { 4, Operation::RestoreNetwork } });
  unsigned m_value = *rc::gen::inRange(0U, 100000U);

  void run(const Model&, Simulation& aSimulation) const override
  {
    Apply(aSimulation, m_operation, m_value);
    RC_ASSERT(aSimulation.m_oracle.m_violation == std::string());
  }
  void show(std::ostream& aStream) const override
  {
    aStream << static_cast<int>(m_operation) << ' ' << m_value;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(idempotency)

BOOST_AUTO_TEST_SUITE(with_faults)

// Guards against a second run of a request and a false report of "not run".
BOOST_AUTO_TEST_CASE(
  a_request_runs_at_most_once_and_never_when_reported_as_not_run)
{
  int sent = 0;
  int reportedRun = 0;
  BOOST_TEST(rc::check("at most once", [&] {
    Simulation simulation(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()),
                          true);
    const auto steps = *rc::gen::scale(
      5.0,
      rc::state::gen::commands(
        Model{}, rc::state::gen::execOneOfWithArgs<RandomOperation>()));
    rc::state::runAll(steps, Model{}, simulation);
    simulation.m_dropPercent = simulation.m_duplicatePercent =
      simulation.m_slowPercent = 0;
    simulation.Advance(60s); // delivers late calls and responses
    RC_ASSERT(simulation.m_oracle.m_violation == std::string());
    sent += simulation.m_oracle.m_sent;
    reportedRun += simulation.m_oracle.m_reportedRun;
  }));
  std::cout << sent << " requests, " << reportedRun << " known to have run\n";
  // Guards against so many faults that the properties hold trivially.
  BOOST_TEST(reportedRun * 4 > sent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_faults)

// Guards against refusals that no fault justifies.
BOOST_AUTO_TEST_CASE(every_request_is_answered_and_runs_once)
{
  BOOST_TEST(rc::check("answered once", [] {
    Simulation simulation(*rc::gen::arbitrary<uint64_t>(), false);
    const auto values =
      *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100000U));
    for (const unsigned value : values) {
      Apply(simulation, Operation::Send, value);
      Apply(simulation, Operation::AdvanceBriefly, value);
    }
    simulation.Advance(10s);
    RC_ASSERT(simulation.m_oracle.m_violation == std::string());
    RC_ASSERT(simulation.m_oracle.m_reportedRun == simulation.m_oracle.m_sent);
    for (const auto& [request, runs] : simulation.m_oracle.m_runCounts) {
      RC_ASSERT(runs == 1);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
