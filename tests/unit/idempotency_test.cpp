// Guards the promise that a non-idempotent request runs at most once.
#include "idempotency/idempotency.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };
const NodeInstance kNode{ { "n1" }, 7 };

IncomingCall
Head(uint64_t aSequence)
{
  IncomingCall head;
  head.m_call = { 1, aSequence };
  head.m_incarnation = kNode.m_incarnation;
  return head;
}

ResolveRequest
Ask(uint64_t aSequence, Duration aAge = 1s, bool aWithdraw = false)
{
  return { { 1, aSequence }, kNode.m_incarnation, aAge, aWithdraw };
}

struct LedgerFixture
{
  IdempotencyLimits m_limits;
  std::unique_ptr<CallLedger> m_ledger = MakeCallLedger(kNode, m_limits);

  void Limit(size_t aCalls, size_t aRefused)
  {
    m_limits.m_maxCalls = aCalls;
    m_limits.m_maxRefused = aRefused;
    m_ledger = MakeCallLedger(kNode, m_limits);
  }
  void Run(uint64_t aSequence, TimePoint aNow)
  {
    BOOST_REQUIRE(m_ledger->Register(Head(aSequence), aNow).m_verdict ==
                  RegisterVerdict::Accepted);
    BOOST_REQUIRE(m_ledger->Start({ 1, aSequence }, aNow).m_mayDispatch);
    m_ledger->Finish({ 1, aSequence }, CallOutcome::Completed, aNow);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(idempotency)

BOOST_FIXTURE_TEST_SUITE(a_target_node_keeps_a_ledger, LedgerFixture)

// Guards against a call that runs after its entry node was told otherwise.
BOOST_AUTO_TEST_CASE(an_unseen_call_is_forbidden_when_resolved)
{
  BOOST_CHECK(m_ledger->Resolve(Ask(1), kStart).m_state ==
              CallState::NeverReceived);
  const RegisterResult late =
    m_ledger->Register(Head(1), kStart + m_limits.m_retention - 1s);
  BOOST_CHECK(late.m_verdict == RegisterVerdict::Refused);
}

// Guards against a tombstone that expires before the call it forbids arrives.
BOOST_AUTO_TEST_CASE(a_call_older_than_its_tombstone_never_starts)
{
  m_ledger->Resolve(Ask(1), kStart);
  IncomingCall late = Head(1);
  late.m_age = m_limits.m_retention;
  BOOST_CHECK(
    m_ledger->Register(late, kStart + m_limits.m_retention).m_verdict ==
    RegisterVerdict::Unproven);
}

// Guards against "unseen" for a call whose record has expired.
BOOST_AUTO_TEST_CASE(an_expired_record_is_unknown_and_not_unseen)
{
  Run(1, kStart);
  const ResolveReply reply = m_ledger->Resolve(
    Ask(1, m_limits.m_retention), kStart + m_limits.m_retention + 1s);
  BOOST_CHECK(reply.m_state == CallState::Unknown);
}

// Guards against proof given on behalf of the process before a restart.
BOOST_AUTO_TEST_CASE(a_restarted_node_knows_nothing_of_its_predecessor)
{
  ResolveRequest request = Ask(1);
  request.m_incarnation = 6;
  BOOST_CHECK(m_ledger->Resolve(request, kStart).m_state == CallState::Unknown);
  IncomingCall head = Head(1);
  head.m_incarnation = 6;
  BOOST_CHECK(m_ledger->Register(head, kStart).m_verdict ==
              RegisterVerdict::Unproven);
}

// Guards against a start after a pause that outlasted the deadline.
BOOST_AUTO_TEST_CASE(a_queued_call_expires_instead_of_starting_late)
{
  IncomingCall head = Head(1);
  head.m_deadline = kStart + 2s;
  m_ledger->Register(head, kStart);
  BOOST_TEST(!m_ledger->Start({ 1, 1 }, kStart + 2s).m_mayDispatch);
  BOOST_CHECK(m_ledger->Resolve(Ask(1), kStart + 3s).m_state ==
              CallState::Refused);
}

// Guards against a withdrawn call that starts from the admission queue.
BOOST_AUTO_TEST_CASE(a_withdrawn_call_never_starts)
{
  m_ledger->Register(Head(1), kStart);
  BOOST_TEST(m_ledger->Resolve(Ask(1, 1s, true), kStart).m_withdrawn);
  BOOST_TEST(!m_ledger->Start({ 1, 1 }, kStart).m_mayDispatch);
}

// Guards against forgetting a call that ran in order to take a new one.
BOOST_AUTO_TEST_CASE(a_full_ledger_refuses_instead_of_forgetting)
{
  Limit(2, 1);
  Run(1, kStart);
  Run(2, kStart);
  const RegisterResult result = m_ledger->Register(Head(3), kStart);
  BOOST_CHECK(result.m_code == ResultCode::Overloaded);
  BOOST_CHECK(m_ledger->Resolve(Ask(1), kStart).m_state ==
              CallState::Completed);
  m_ledger->Resolve(Ask(4), kStart); // the last place for a tombstone
  BOOST_CHECK(m_ledger->Resolve(Ask(5), kStart).m_state == CallState::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
