// Tests that a non-idempotent request runs at most once.
#include "idempotency/idempotency.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };
const NodeInstance kNode{ { "n1" }, 7 };

IncomingCall
MakeCall(uint64_t aSequence)
{
  IncomingCall call;
  call.m_call = { 1, aSequence };
  call.m_incarnation = kNode.m_incarnation;
  return call;
}

ResolveRequest
MakeResolveRequest(uint64_t aSequence,
                   Duration aAge = 1s,
                   bool aWithdraw = false)
{
  return { { 1, aSequence }, kNode.m_incarnation, aAge, aWithdraw };
}

struct LedgerFixture
{
  IdempotencyLimits m_limits;
  std::unique_ptr<CallLedger> m_ledger = MakeCallLedger(kNode, m_limits);

  void LimitRecords(size_t aCalls, size_t aRefused)
  {
    m_limits.m_maxCalls = aCalls;
    m_limits.m_maxRefused = aRefused;
    m_ledger = MakeCallLedger(kNode, m_limits);
  }
  void RunCall(uint64_t aSequence, TimePoint aNow)
  {
    BOOST_REQUIRE(m_ledger->Register(MakeCall(aSequence), aNow).m_verdict ==
                  RegisterVerdict::Accepted);
    BOOST_REQUIRE(m_ledger->Start({ 1, aSequence }, aNow).m_mayDispatch);
    m_ledger->Finish({ 1, aSequence }, CallOutcome::Completed, aNow);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(idempotency)

BOOST_FIXTURE_TEST_SUITE(in_the_ledger_of_the_targets_node, LedgerFixture)

// Guards against a call that runs after it was reported as not run.
BOOST_AUTO_TEST_CASE(a_call_that_arrives_after_its_resolve_request_is_refused)
{
  BOOST_CHECK(m_ledger->Resolve(MakeResolveRequest(1), kStart).m_state ==
              CallState::NeverReceived);
  const RegisterResult late =
    m_ledger->Register(MakeCall(1), kStart + m_limits.m_retention - 1s);
  BOOST_CHECK(late.m_verdict == RegisterVerdict::Refused);
}

// Guards against a call that arrives after its tombstone expired, and runs.
BOOST_AUTO_TEST_CASE(a_call_older_than_the_retention_time_is_unverifiable)
{
  m_ledger->Resolve(MakeResolveRequest(1), kStart);
  IncomingCall late = MakeCall(1);
  late.m_age = m_limits.m_retention;
  BOOST_CHECK(
    m_ledger->Register(late, kStart + m_limits.m_retention).m_verdict ==
    RegisterVerdict::Unverifiable);
}

// Guards against "never received" for a call whose record has expired.
BOOST_AUTO_TEST_CASE(a_call_with_an_expired_record_is_unknown)
{
  RunCall(1, kStart);
  const ResolveReply reply =
    m_ledger->Resolve(MakeResolveRequest(1, m_limits.m_retention),
                      kStart + m_limits.m_retention + 1s);
  BOOST_CHECK(reply.m_state == CallState::Unknown);
}

// Guards against claims about calls that were sent to the process before a
// restart, whose records are lost.
BOOST_AUTO_TEST_CASE(a_call_to_an_earlier_incarnation_is_unknown)
{
  ResolveRequest request = MakeResolveRequest(1);
  request.m_incarnation = 6;
  BOOST_CHECK(m_ledger->Resolve(request, kStart).m_state == CallState::Unknown);
  IncomingCall call = MakeCall(1);
  call.m_incarnation = 6;
  BOOST_CHECK(m_ledger->Register(call, kStart).m_verdict ==
              RegisterVerdict::Unverifiable);
}

// Guards against a start after the node paused beyond the deadline.
BOOST_AUTO_TEST_CASE(a_queued_call_expires_at_its_deadline)
{
  IncomingCall call = MakeCall(1);
  call.m_deadline = kStart + 2s;
  m_ledger->Register(call, kStart);
  BOOST_TEST(!m_ledger->Start({ 1, 1 }, kStart + 2s).m_mayDispatch);
  BOOST_CHECK(m_ledger->Resolve(MakeResolveRequest(1), kStart + 3s).m_state ==
              CallState::Refused);
}

// Guards against a start of a withdrawn call that is still in the admission
// queue.
BOOST_AUTO_TEST_CASE(a_withdrawn_call_never_starts)
{
  m_ledger->Register(MakeCall(1), kStart);
  BOOST_TEST(
    m_ledger->Resolve(MakeResolveRequest(1, 1s, true), kStart).m_withdrawn);
  BOOST_TEST(!m_ledger->Start({ 1, 1 }, kStart).m_mayDispatch);
}

// Guards against dropping the record of a call that ran to make room for a new
// one.
BOOST_AUTO_TEST_CASE(a_new_call_is_refused_when_the_ledger_is_full)
{
  LimitRecords(2, 1);
  RunCall(1, kStart);
  RunCall(2, kStart);
  const RegisterResult result = m_ledger->Register(MakeCall(3), kStart);
  BOOST_CHECK(result.m_code == ResultCode::Overloaded);
  BOOST_CHECK(m_ledger->Resolve(MakeResolveRequest(1), kStart).m_state ==
              CallState::Completed);
  // Uses the last record that is reserved for tombstones.
  m_ledger->Resolve(MakeResolveRequest(4), kStart);
  BOOST_CHECK(m_ledger->Resolve(MakeResolveRequest(5), kStart).m_state ==
              CallState::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection_to_a_target)

// Guards against a request that meets the late copy of its own rejection.
BOOST_AUTO_TEST_CASE(carries_each_request_once)
{
  CarriedRequests carried;
  BOOST_TEST(carried.MayCarry("a"));
  carried.Add("a");
  carried.Add("b");
  BOOST_TEST(!carried.MayCarry("a"));
  BOOST_TEST(!carried.MayCarry("b"));
  BOOST_TEST(carried.MayCarry("c"));
}

// Guards against ids that are forgotten, or remembered without a bound, on a
// connection that lives long.
BOOST_AUTO_TEST_CASE(is_full_before_it_forgets_a_request)
{
  CarriedRequests carried;
  size_t count = 0;
  while (!carried.IsFull() && count < 10000) {
    carried.Add(std::to_string(count++));
  }
  BOOST_TEST(carried.IsFull());
  BOOST_TEST(!carried.MayCarry("0"));
  BOOST_TEST(!carried.MayCarry("new"));
}

// Guards against a further request after one whose copy nothing identifies.
BOOST_AUTO_TEST_CASE(is_full_after_a_request_without_an_id)
{
  CarriedRequests carried;
  carried.Add("");
  BOOST_TEST(carried.IsFull());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
