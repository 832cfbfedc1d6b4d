// Stateful fuzzing of the at-most-once decisions: the ledgers of several nodes,
// entry nodes that ask for lost outcomes, and a network that loses, repeats and
// delays messages, against a list of what ran and what was said.
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
constexpr Duration kCallerPatience = 30s;

//-----------------------------------------------------------------------------
// Oracle: what ran and what was said
//-----------------------------------------------------------------------------

struct Oracle
{
  std::map<uint64_t, int> m_runs; // by request
  std::set<uint64_t> m_saidNo;    // requests
  std::string m_violation;        // the first one
  int m_sent = 0;
  int m_answered = 0;

  void Fail(const std::string& aText)
  {
    m_violation = m_violation.empty() ? aText : m_violation;
  }
  void Ran(uint64_t aRequest)
  {
    if (++m_runs[aRequest] > 1) {
      Fail("ran twice: request " + std::to_string(aRequest));
    }
    if (m_saidNo.contains(aRequest)) {
      Fail("ran after 'not run': request " + std::to_string(aRequest));
    }
  }
  void Said(uint64_t aRequest, Run aRun)
  {
    if (aRun == Run::No && m_runs[aRequest] > 0) {
      Fail("'not run' after it ran: request " + std::to_string(aRequest));
    }
    if (aRun == Run::Yes && m_runs[aRequest] == 0) {
      Fail("'ran' before it ran: request " + std::to_string(aRequest));
    }
    if (aRun == Run::No) {
      m_saidNo.insert(aRequest);
    }
    m_answered += aRun == Run::Yes ? 1 : 0;
  }
};

//-----------------------------------------------------------------------------
// World
//-----------------------------------------------------------------------------

struct Request
{
  uint64_t m_id = 0;
  int m_target = 0;
  uint64_t m_incarnation = 0; // of the target's node when it was sent
  CallId m_call;
  TimePoint m_begun;
  TimePoint m_deadline;
  int m_attempts = 0;
  bool m_asking = false; // the link was lost; the outcome is asked for
};

struct Node
{
  NodeInstance m_ref;
  bool m_alive = true;
  TimePoint m_pausedUntil;
  uint64_t m_targetRun = 1; // incarnation of its target
  uint64_t m_sequence = 0;
  std::unique_ptr<CallLedger> m_ledger;
  std::map<uint64_t, Request> m_requests;
};

class World
{
public:
  World(uint64_t aSeed, bool aFaults)
    : m_random(aSeed)
    , m_faults(aFaults)
  {
    for (int i = 0; i < kNodes; ++i) {
      m_nodes[i].m_ref = { { "n" + std::to_string(i) }, 1 };
      m_nodes[i].m_ledger = MakeCallLedger(m_nodes[i].m_ref, m_limits);
    }
  }

  void SendRequest(int aNode);
  void Crash(int aNode, bool aTargetToo)
  {
    m_nodes[aNode].m_alive = false;
    m_nodes[aNode].m_requests.clear();
    m_nodes[aNode].m_targetRun += aTargetToo ? 1 : 0;
  }
  void Restart(int aNode);
  void CrashTarget(int aNode) { ++m_nodes[aNode].m_targetRun; }
  void Pause(int aNode, Duration aTime)
  {
    m_nodes[aNode].m_pausedUntil = m_now + aTime;
  }
  void Advance(Duration aTime);

  Oracle m_oracle;
  unsigned m_drop = 0; // percent of messages
  unsigned m_duplicate = 0;
  unsigned m_slow = 0; // up to 20 s instead of 20 ms

private:
  using Action = std::function<void(Node&)>;
  struct Event
  {
    int m_node = 0;
    uint64_t m_incarnation = 0; // 0: any
    Action m_action;
  };

  bool Chance(unsigned aPercent) { return m_random.NextBelow(100) < aPercent; }
  Duration Random(Duration aLow, Duration aHigh)
  {
    const auto range = static_cast<uint64_t>((aHigh - aLow).count()) + 1;
    return aLow + Duration(static_cast<int64_t>(m_random.NextBelow(range)));
  }
  int IndexOf(const Node& aNode) const
  {
    return std::stoi(aNode.m_ref.m_node.m_value.substr(1));
  }
  void At(Duration aDelay, int aNode, uint64_t aIncarnation, Action aAction)
  {
    m_events.emplace(std::pair{ m_now + aDelay, ++m_order },
                     Event{ aNode, aIncarnation, std::move(aAction) });
  }
  void Later(Duration aDelay, const Node& aNode, Action aAction)
  {
    At(aDelay, IndexOf(aNode), aNode.m_ref.m_incarnation, std::move(aAction));
  }
  void Send(int aTo, const Action& aAction);
  void WithRequest(int aEntry,
                   uint64_t aId,
                   CallId aCall,
                   const std::function<void(Node&, Request&)>& aAction);

  // Entry node
  void Attempt(Node& aNode, uint64_t aId);
  void Watch(Node& aNode, uint64_t aId, CallId aCall);
  void Ask(Node& aNode, uint64_t aId);
  void OnResolved(Node& aNode, uint64_t aId, const ResolveReply& aReply);
  void OnRefused(Node& aNode, uint64_t aId);
  void Answer(Node& aNode, uint64_t aId, Run aRun);

  // Target's node
  void OnCall(Node& aNode, int aEntry, const Request& aRequest);
  void Start(Node& aNode, int aEntry, const Request& aRequest);
  void RunAtTarget(int aNode, int aEntry, const Request& aRequest);
  void TellRefused(int aEntry, const Request& aRequest);

  SeededRandom m_random;
  IdempotencyLimits m_limits;
  bool m_faults;
  TimePoint m_now{ std::chrono::hours(1) };
  uint64_t m_order = 0;
  uint64_t m_nextId = 1;
  std::map<std::pair<TimePoint, uint64_t>, Event> m_events;
  std::array<Node, kNodes> m_nodes;
};

void
World::Send(int aTo, const Action& aAction)
{
  if (Chance(m_drop)) {
    return;
  }
  for (int copies = Chance(m_duplicate) ? 2 : 1; copies > 0; --copies) {
    const Duration delay =
      Chance(m_slow) ? Random(1s, 20s) : Random(100us, 20ms);
    At(delay, aTo, 0, aAction);
  }
}

void
World::Advance(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  while (!m_events.empty() && m_events.begin()->first.first <= end) {
    auto entry = m_events.extract(m_events.begin());
    m_now = std::max(m_now, entry.key().first);
    Event& event = entry.mapped();
    Node& node = m_nodes[event.m_node];
    if (!node.m_alive || (event.m_incarnation != 0 &&
                          event.m_incarnation != node.m_ref.m_incarnation)) {
      continue;
    }
    if (node.m_pausedUntil > m_now) { // handled on waking, in the same order
      m_events.emplace(std::pair{ node.m_pausedUntil, ++m_order },
                       std::move(event));
      continue;
    }
    event.m_action(node);
  }
  m_now = end;
}

void
World::Restart(int aNode)
{
  Node& node = m_nodes[aNode];
  if (!node.m_alive) {
    ++node.m_ref.m_incarnation;
    node.m_ledger = MakeCallLedger(node.m_ref, m_limits);
    node.m_alive = true;
    node.m_pausedUntil = {};
  }
}

//-----------------------------------------------------------------------------
// Entry node: one attempt at a time; a lost one is resolved before another
//-----------------------------------------------------------------------------

void
World::SendRequest(int aNode)
{
  Node& node = m_nodes[aNode];
  if (!node.m_alive || node.m_pausedUntil > m_now) {
    return;
  }
  ++m_oracle.m_sent;
  Request request;
  request.m_id = m_nextId++;
  request.m_deadline = m_now + kCallerPatience;
  const uint64_t id = request.m_id;
  node.m_requests.emplace(id, request);
  Later(kCallerPatience, node, [this, id](Node& aSelf) {
    if (aSelf.m_requests.contains(id)) {
      Answer(aSelf, id, Run::Maybe);
    }
  });
  Attempt(node, id);
}

void
World::WithRequest(int aEntry,
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
World::Attempt(Node& aNode, uint64_t aId)
{
  Request& request = aNode.m_requests.at(aId);
  if (++request.m_attempts > 4) {
    Answer(aNode, aId, Run::No);
    return;
  }
  request.m_target = static_cast<int>(m_random.NextBelow(kNodes));
  request.m_incarnation = m_nodes[request.m_target].m_ref.m_incarnation;
  request.m_call = { StableHash(aNode.m_ref.m_node.m_value,
                                aNode.m_ref.m_incarnation),
                     ++aNode.m_sequence };
  request.m_begun = m_now;
  request.m_asking = false;
  const Request copy = request;
  const int entry = IndexOf(aNode);
  Send(request.m_target,
       [this, entry, copy](Node& aTarget) { OnCall(aTarget, entry, copy); });
  Watch(aNode, aId, request.m_call);
}

// The link counts as lost after some time without an answer.
void
World::Watch(Node& aNode, uint64_t aId, CallId aCall)
{
  Later(Random(500ms, 4s), aNode, [this, aId, aCall](Node& aSelf) {
    const auto found = aSelf.m_requests.find(aId);
    if (found != aSelf.m_requests.end() && found->second.m_call == aCall &&
        !found->second.m_asking) {
      found->second.m_asking = true;
      Ask(aSelf, aId);
    }
  });
}

void
World::Ask(Node& aNode, uint64_t aId)
{
  const auto found = aNode.m_requests.find(aId);
  if (found == aNode.m_requests.end() || !found->second.m_asking) {
    return;
  }
  const Request request = found->second;
  const int entry = IndexOf(aNode);
  Send(request.m_target, [this, request, entry](Node& aTarget) {
    ResolveRequest question;
    question.m_call = request.m_call;
    question.m_incarnation = request.m_incarnation;
    question.m_age = m_now - request.m_begun;
    question.m_withdraw = true;
    const ResolveReply reply = aTarget.m_ledger->Resolve(question, m_now);
    WithRequest(entry,
                request.m_id,
                request.m_call,
                [this, reply](Node& aEntry, Request& aRequest) {
                  OnResolved(aEntry, aRequest.m_id, reply);
                });
  });
  Later(1s, aNode, [this, aId](Node& aSelf) { Ask(aSelf, aId); });
}

void
World::OnResolved(Node& aNode, uint64_t aId, const ResolveReply& aReply)
{
  if (!aNode.m_requests.at(aId).m_asking) {
    return;
  }
  if (ProvesNotRun(aReply.m_state)) {
    OnRefused(aNode, aId);
  } else if (aReply.m_state == CallState::Completed) {
    Answer(aNode, aId, Run::Yes);
  } else if (aReply.m_state != CallState::Running) {
    Answer(aNode, aId, Run::Maybe);
  }
}

void
World::OnRefused(Node& aNode, uint64_t aId)
{
  aNode.m_requests.at(aId).m_asking = false;
  aNode.m_requests.at(aId).m_call = {};
  Later(Random(0s, 1s), aNode, [this, aId](Node& aSelf) {
    if (aSelf.m_requests.contains(aId)) {
      Attempt(aSelf, aId);
    }
  });
}

void
World::Answer(Node& aNode, uint64_t aId, Run aRun)
{
  m_oracle.Said(aId, aRun);
  aNode.m_requests.erase(aId);
}

//-----------------------------------------------------------------------------
// Target's node
//-----------------------------------------------------------------------------

void
World::TellRefused(int aEntry, const Request& aRequest)
{
  WithRequest(
    aEntry,
    aRequest.m_id,
    aRequest.m_call,
    [this](Node& aNode, Request& aOpen) { OnRefused(aNode, aOpen.m_id); });
}

void
World::OnCall(Node& aNode, int aEntry, const Request& aRequest)
{
  IncomingCall head;
  head.m_call = aRequest.m_call;
  head.m_incarnation = aRequest.m_incarnation;
  head.m_age = m_now - aRequest.m_begun + Random(0s, 100ms);
  head.m_deadline = m_now + (aRequest.m_deadline - aRequest.m_begun);
  const RegisterResult begun = aNode.m_ledger->Register(head, m_now);
  if (begun.m_verdict == RegisterVerdict::Refused) {
    TellRefused(aEntry, aRequest);
  }
  if (begun.m_verdict != RegisterVerdict::Accepted) {
    return; // a repeat, or unproven: the entry node asks
  }
  const Duration queued = m_faults && Chance(30) ? Random(0s, 8s) : 0s;
  Later(queued, aNode, [this, aEntry, aRequest](Node& aSelf) {
    Start(aSelf, aEntry, aRequest);
  });
}

void
World::Start(Node& aNode, int aEntry, const Request& aRequest)
{
  const bool refuses = m_faults && Chance(5);
  if (refuses &&
      aNode.m_ledger->Refuse(aRequest.m_call, ResultCode::Overloaded, m_now)) {
    TellRefused(aEntry, aRequest);
    return;
  }
  const StartResult started = aNode.m_ledger->Start(aRequest.m_call, m_now);
  if (!started.m_mayDispatch) {
    TellRefused(aEntry, aRequest);
    return;
  }
  RunAtTarget(IndexOf(aNode), aEntry, aRequest);
}

// The target runs it whether or not the node beside it lives on.
void
World::RunAtTarget(int aNode, int aEntry, const Request& aRequest)
{
  Node& node = m_nodes[aNode];
  const bool sheds = m_faults && Chance(10);
  if (!sheds) {
    m_oracle.Ran(aRequest.m_id);
  }
  const uint64_t run = node.m_targetRun;
  const Duration time =
    m_faults && Chance(20) ? Random(1s, 25s) : Random(1ms, 200ms);
  Later(time, node, [this, aEntry, aRequest, run, sheds](Node& aSelf) {
    const bool broken = aSelf.m_targetRun != run;
    const CallOutcome end = broken  ? CallOutcome::Broken
                            : sheds ? CallOutcome::Shed
                                    : CallOutcome::Completed;
    aSelf.m_ledger->Finish(aRequest.m_call, end, m_now);
    if (end == CallOutcome::Shed) {
      TellRefused(aEntry, aRequest);
      return;
    }
    const Run known = end == CallOutcome::Completed ? Run::Yes : Run::Maybe;
    WithRequest(aEntry,
                aRequest.m_id,
                aRequest.m_call,
                [this, known](Node& aEntryNode, Request& aOpen) {
                  Answer(aEntryNode, aOpen.m_id, known);
                });
  });
}

//-----------------------------------------------------------------------------
// Steps
//-----------------------------------------------------------------------------

struct Model // every operation is always possible
{};

enum class Op : uint8_t
{
  Send,
  Moment,
  Seconds,
  Minute,
  Crash,
  CrashBoth,
  Restart,
  CrashTarget,
  Pause,
  Disturb,
  Heal
};

void
Apply(World& aWorld, Op aOp, unsigned aValue)
{
  const int node = static_cast<int>(aValue % kNodes);
  switch (aOp) {
    case Op::Send:
      return aWorld.SendRequest(node);
    case Op::Moment:
      return aWorld.Advance(std::chrono::milliseconds(aValue % 300));
    case Op::Seconds:
      return aWorld.Advance(std::chrono::milliseconds(aValue % 12000));
    case Op::Minute:
      return aWorld.Advance(std::chrono::seconds(20 + aValue % 100));
    case Op::Crash:
      return aWorld.Crash(node, false);
    case Op::CrashBoth:
      return aWorld.Crash(node, true);
    case Op::Restart:
      return aWorld.Restart(node);
    case Op::CrashTarget:
      return aWorld.CrashTarget(node);
    case Op::Pause:
      return aWorld.Pause(node, std::chrono::seconds(1 + aValue % 60));
    case Op::Disturb:
      aWorld.m_drop = aValue % 20;
      aWorld.m_duplicate = aValue / 20 % 20;
      aWorld.m_slow = aValue / 400 % 20;
      return;
    case Op::Heal:
      aWorld.m_drop = aWorld.m_duplicate = aWorld.m_slow = 0;
      return;
  }
}

struct Step : rc::state::Command<Model, World>
{
  Op m_op = *rc::gen::weightedElement<Op>({ { 30, Op::Send },
                                            { 16, Op::Moment },
                                            { 12, Op::Seconds },
                                            { 2, Op::Minute },
                                            { 3, Op::Crash },
                                            { 1, Op::CrashBoth },
                                            { 6, Op::Restart },
                                            { 2, Op::CrashTarget },
                                            { 4, Op::Pause },
                                            { 4, Op::Disturb },
                                            { 4, Op::Heal } });
  unsigned m_value = *rc::gen::inRange(0U, 100000U);

  void run(const Model&, World& aWorld) const override
  {
    Apply(aWorld, m_op, m_value);
    RC_ASSERT(aWorld.m_oracle.m_violation == std::string());
  }
  void show(std::ostream& aStream) const override
  {
    aStream << static_cast<int>(m_op) << ' ' << m_value;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(idempotency)

BOOST_AUTO_TEST_SUITE(with_faults)

// Guards against a second run and a false "not run".
BOOST_AUTO_TEST_CASE(a_request_runs_at_most_once_and_no_is_true)
{
  int sent = 0;
  int answered = 0;
  BOOST_TEST(rc::check("at most once", [&] {
    World world(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()), true);
    const auto steps =
      *rc::gen::scale(5.0,
                      rc::state::gen::commands(
                        Model{}, rc::state::gen::execOneOfWithArgs<Step>()));
    rc::state::runAll(steps, Model{}, world);
    world.m_drop = world.m_duplicate = world.m_slow = 0;
    world.Advance(60s); // late calls and answers
    RC_ASSERT(world.m_oracle.m_violation == std::string());
    sent += world.m_oracle.m_sent;
    answered += world.m_oracle.m_answered;
  }));
  std::cout << sent << " requests, " << answered << " known to have run\n";
  // Guards against faults so heavy that the properties hold trivially.
  BOOST_TEST(answered * 4 > sent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_faults)

// Guards against safety that is bought with refusals.
BOOST_AUTO_TEST_CASE(every_request_is_answered_and_runs_once)
{
  BOOST_TEST(rc::check("answered once", [] {
    World world(*rc::gen::arbitrary<uint64_t>(), false);
    const auto values =
      *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100000U));
    for (const unsigned value : values) {
      Apply(world, Op::Send, value);
      Apply(world, Op::Moment, value);
    }
    world.Advance(10s);
    RC_ASSERT(world.m_oracle.m_violation == std::string());
    RC_ASSERT(world.m_oracle.m_answered == world.m_oracle.m_sent);
    for (const auto& [request, runs] : world.m_oracle.m_runs) {
      RC_ASSERT(runs == 1);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
