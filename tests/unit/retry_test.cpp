// Guards the retry rules, one in each case.
#include "retry/retry.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;

namespace {

// An idempotent request whose first attempt failed while it ran.
RetryAttempt
FailedRead()
{
  RetryAttempt attempt;
  attempt.m_service = "s";
  attempt.m_idempotent = true;
  attempt.m_replayable = true;
  attempt.m_dispatchedAttempts = 1;
  attempt.m_remaining = std::chrono::seconds(1);
  attempt.m_expectedDuration = std::chrono::milliseconds(20);
  return attempt;
}

// A non-idempotent request that a target refused before dispatch.
RetryAttempt
RefusedWrite(uint32_t aRefused)
{
  RetryAttempt attempt = FailedRead();
  attempt.m_code = ResultCode::Overloaded;
  attempt.m_executed = Executed::No;
  attempt.m_idempotent = false;
  attempt.m_dispatchedAttempts = 0;
  attempt.m_refusedAttempts = aRefused;
  return attempt;
}

struct Policy
{
  SeededRandom m_random{ 3 };
  std::unique_ptr<RetryPolicy> m_policy = MakeRetryPolicy({}, m_random);

  RetryReason Reason(const RetryAttempt& aAttempt)
  {
    return m_policy->Decide(aAttempt).m_reason;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(retry)

BOOST_AUTO_TEST_SUITE(an_attempt_that_may_have_run)

// Guards against a retry without the marker, which lower layers would repeat.
BOOST_AUTO_TEST_CASE(is_repeated_once_with_the_marker)
{
  Policy policy;
  const RetryDecision decision = policy.m_policy->Decide(FailedRead());
  BOOST_CHECK(decision.m_action == RetryAction::Now);
  BOOST_CHECK(decision.m_marker == RetryMarker::Spent);
  RetryAttempt second = FailedRead();
  second.m_dispatchedAttempts = 2;
  BOOST_CHECK(policy.Reason(second) == RetryReason::Attempts);
}

// Guards against work that runs twice.
BOOST_AUTO_TEST_CASE(is_not_repeated_without_idempotence)
{
  Policy policy;
  RetryAttempt attempt = FailedRead();
  attempt.m_idempotent = false;
  BOOST_CHECK(policy.Reason(attempt) == RetryReason::NotIdempotent);
  // A later refusal proves nothing about the first attempt.
  RetryAttempt refused = RefusedWrite(1);
  refused.m_dispatchedAttempts = 1;
  BOOST_CHECK(policy.Reason(refused) == RetryReason::NotIdempotent);
}

// Guards against retries that nobody waits for, that cannot be sent again, or
// that the previous layer makes as well.
BOOST_AUTO_TEST_CASE(is_not_repeated_when_it_cannot_help)
{
  Policy policy;
  RetryAttempt late = FailedRead();
  late.m_remaining = std::chrono::milliseconds(10);
  BOOST_CHECK(policy.Reason(late) == RetryReason::NoTime);
  RetryAttempt gone = FailedRead();
  gone.m_replayable = false;
  BOOST_CHECK(policy.Reason(gone) == RetryReason::NotReplayable);
  RetryAttempt spent = FailedRead();
  spent.m_marker = RetryMarker::Spent;
  BOOST_CHECK(policy.Reason(spent) == RetryReason::Spent);
  RetryAttempt crash = FailedRead();
  crash.m_code = ResultCode::CrashSuspect;
  BOOST_CHECK(policy.Reason(crash) == RetryReason::NotRetryable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_attempt_that_was_refused)

// Guards against a refused write that is dropped, and against an endless
// search for a target that accepts it.
BOOST_AUTO_TEST_CASE(is_repeated_elsewhere_at_most_three_times)
{
  Policy policy;
  BOOST_CHECK(policy.m_policy->Decide(RefusedWrite(1)).m_action ==
              RetryAction::Now);
  const RetryDecision second = policy.m_policy->Decide(RefusedWrite(2));
  BOOST_CHECK(second.m_action == RetryAction::AfterDelay);
  BOOST_CHECK(second.m_delay <= std::chrono::milliseconds(2));
  BOOST_CHECK(policy.Reason(RefusedWrite(3)) == RetryReason::Retry);
  BOOST_CHECK(policy.Reason(RefusedWrite(4)) == RetryReason::Attempts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_budget)

// Guards against a budget that does not shrink while targets are overloaded.
BOOST_AUTO_TEST_CASE(grows_by_a_tenth_and_less_under_overload)
{
  Policy policy;
  while (policy.m_policy->Decide(FailedRead()).m_action != RetryAction::Stop) {
  }
  const double empty = policy.m_policy->Tokens("s");
  for (int i = 0; i < 50; ++i) {
    policy.m_policy->OnRequest("s", RetryMarker::None);
  }
  BOOST_TEST(policy.m_policy->Tokens("s") - empty == 5.0,
             boost::test_tools::tolerance(0.001));
  for (int i = 0; i < 200; ++i) {
    policy.m_policy->OnResult("s", ResultCode::Overloaded);
  }
  const double before = policy.m_policy->Tokens("s");
  for (int i = 0; i < 50; ++i) {
    policy.m_policy->OnRequest("s", RetryMarker::None);
  }
  BOOST_TEST(policy.m_policy->Tokens("s") - before < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_reserve_of_a_fleet)

// Guards against nodes that together spend more than the fleet may.
BOOST_AUTO_TEST_CASE(is_shared_by_its_nodes)
{
  SeededRandom random{ 3 };
  RetrySettings settings;
  settings.m_fleetMaxTokens = 40;
  const auto policy = MakeRetryPolicy(settings, random);
  policy->OnRequest("s", RetryMarker::None);
  policy->SetFleetSize(10);
  BOOST_TEST(policy->Tokens("s") == 4.0);
  policy->SetFleetSize(100);
  BOOST_TEST(policy->Tokens("s") == 1.0); // one can always be saved up
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_attempt_that_the_target_turned_away)

// Guards against more arrivals at the targets than the budget allows: one that
// a target turns away has reached it all the same, unlike a refusal of the node
// beside it.
BOOST_AUTO_TEST_CASE(costs_as_much_as_one_that_ran)
{
  SeededRandom random{ 3 };
  RetrySettings settings;
  settings.m_maxTokens = 1;
  settings.m_tokenRatio = 0;
  settings.m_refusalCost = 0;
  const auto policy = MakeRetryPolicy(settings, random);
  RetryAttempt refused = RefusedWrite(1);
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(policy->Decide(refused).m_action != RetryAction::Stop);
  }
  RetryAttempt shed = RefusedWrite(1);
  shed.m_code = ResultCode::TargetShed;
  BOOST_CHECK(policy->Decide(shed).m_action != RetryAction::Stop);
  BOOST_CHECK(policy->Decide(shed).m_reason == RetryReason::Budget);
  shed.m_code = ResultCode::WrongTarget;
  BOOST_CHECK(policy->Decide(shed).m_reason == RetryReason::Budget);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
