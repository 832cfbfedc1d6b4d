// Tests of quarantine decisions. tests/fuzz/quarantine_fuzz.cpp checks how many
// targets one request can crash.
#include "quarantine/quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::QuarantineVerdict)

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_SUITE(identities)

// Guards against different requests with equal identities, which would all be
// suspected of the same crash.
BOOST_AUTO_TEST_CASE(differ_between_services_keys_and_contents)
{
  const auto content = IdentityFromContent("a", "GET", "/x", "");
  BOOST_TEST(content == IdentityFromContent("a", "GET", "/x", ""));
  BOOST_TEST(content != IdentityFromContent("b", "GET", "/x", ""));
  BOOST_TEST(content != IdentityFromContent("a", "GET", "/", "x"));
  BOOST_TEST(IdentityFromKey("a", "k") != IdentityFromKey("b", "k"));
  BOOST_TEST(CrashIdOf({ "0" }, 2) != CrashIdOf({ "1" }, 3));
}

BOOST_AUTO_TEST_SUITE_END()

struct QuarantineFixture
{
  std::unique_ptr<Quarantine> m_quarantine = MakeQuarantine({});
  TimePoint m_now{ 24h };

  void Crash(CrashId aCrash, std::vector<RequestIdentity> aInFlight)
  {
    m_quarantine->OnCrash(aCrash, aInFlight, m_now);
  }
  QuarantineVerdict Check(RequestIdentity aIdentity) const
  {
    return m_quarantine->Check(aIdentity, m_now).m_verdict;
  }
};

BOOST_FIXTURE_TEST_SUITE(a_request_in_flight_at_two_crashes, QuarantineFixture)

// Guards against dispatching a request that crashes its targets, and against a
// refusal that reports the request as not run.
BOOST_AUTO_TEST_CASE(is_refused_temporarily_and_may_have_run)
{
  Crash(1, { 7, 8 });
  Crash(1, { 7, 8 });
  BOOST_TEST(Check(7) == QuarantineVerdict::Allowed);
  Crash(2, { 7, 9 });
  BOOST_TEST(Check(7) == QuarantineVerdict::Refused);
  BOOST_TEST(Check(8) == QuarantineVerdict::Allowed);
  const auto decision = m_quarantine->Check(7, m_now);
  BOOST_CHECK(decision.m_code == ResultCode::CrashSuspect);
  BOOST_CHECK(decision.m_attemptRun == Executed::No);
  BOOST_CHECK(decision.m_requestRun == Executed::Maybe);
  m_now += decision.m_retryAfter;
  BOOST_TEST(Check(7) == QuarantineVerdict::Allowed);
}

// Guards against a node that refuses a request after it completed elsewhere.
BOOST_AUTO_TEST_CASE(is_cleared_on_every_node_by_one_completion)
{
  Crash(1, { 7 });
  Crash(2, { 7 });
  const auto otherNode = MakeQuarantine({});
  for (const SuspectUpdate& update : m_quarantine->NextUpdates(8, m_now)) {
    BOOST_TEST(otherNode->MergeUpdate(update, m_now));
    BOOST_TEST(!otherNode->MergeUpdate(update, m_now));
  }
  BOOST_CHECK(otherNode->Check(7, m_now).m_verdict ==
              QuarantineVerdict::Refused);
  otherNode->OnAnswered(7, m_now);
  for (const SuspectUpdate& update : otherNode->NextUpdates(8, m_now)) {
    m_quarantine->MergeUpdate(update, m_now);
  }
  BOOST_TEST(Check(7) == QuarantineVerdict::Allowed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(two_suspects, QuarantineFixture)

// Guards against a harmless suspect that is in flight at a crash which another
// suspect caused.
BOOST_AUTO_TEST_CASE(do_not_run_on_the_same_target)
{
  Crash(1, { 7, 8 });
  const auto start = [&](RequestIdentity aIdentity) {
    return m_quarantine->Start(aIdentity, m_now).m_verdict;
  };
  BOOST_TEST(start(7) == QuarantineVerdict::Allowed);
  BOOST_TEST(start(8) == QuarantineVerdict::TryAnotherTarget);
  m_quarantine->OnFinished(7, true, m_now);
  BOOST_TEST(start(8) == QuarantineVerdict::Allowed);
}

// Guards against memory that grows with the number of crashes.
BOOST_AUTO_TEST_CASE(are_removed_after_the_retention_time)
{
  Crash(1, { 7, 8 });
  m_now += 2h;
  m_quarantine->RemoveExpired(m_now);
  BOOST_TEST(m_quarantine->Size() == 0U);
  BOOST_TEST(!m_quarantine->MergeUpdate({ 7, 1, false, 2h }, m_now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
