// Tests the verdicts of adaptive admission; tests/fuzz/admission_fuzz.cpp tests
// its invariants.
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(admission)

struct AdmissionFixture
{
  std::unique_ptr<AdmissionController> m_admission = MakeAdaptiveAdmission({});
  TimePoint m_now{ 1h };
  uint64_t m_lastCall = 0;

  AdmissionFixture() { m_admission->SetTarget(4, 1, m_now); }

  AdmissionResult Offer(Duration aRemaining = 1s, uint8_t aPriority = 100)
  {
    const AdmissionRequest request{ { 1, ++m_lastCall },
                                    m_now + aRemaining,
                                    aPriority };
    return m_admission->Offer(request, m_now);
  }

  std::vector<QueuedCallVerdict> Finish(
    uint64_t aCall,
    Duration aServiceTime = 5ms,
    RequestOutcome aOutcome = RequestOutcome::Completed)
  {
    m_now += aServiceTime;
    return m_admission->Finish({ 1, aCall }, { aOutcome, aServiceTime }, m_now);
  }

  // Keeps the target fully loaded until it is warm at its full limit.
  void WarmUp()
  {
    for (int i = 0; i < 40; ++i) {
      std::vector<uint64_t> calls;
      while (Offer().m_verdict == AdmissionVerdict::Admitted) {
        calls.push_back(m_lastCall);
      }
      BOOST_TEST(m_admission->RemoveQueued({ 1, m_lastCall }, m_now));
      m_now += 5ms;
      for (const uint64_t call : calls) {
        m_admission->Finish(
          { 1, call }, { RequestOutcome::Completed, 5ms }, m_now);
      }
    }
  }
};

BOOST_AUTO_TEST_SUITE(a_target)

// Guards against full load for a target that has just started.
BOOST_AUTO_TEST_CASE(starts_at_the_cold_limit_and_becomes_warm_by_its_responses)
{
  AdmissionFixture fixture;
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_cold);
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_limit == 1U);
  fixture.m_now += 1h;
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_limit == 1U);
  fixture.WarmUp();
  BOOST_TEST(!fixture.m_admission->Report(fixture.m_now).m_cold);
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_limit == 4U);
}

BOOST_AUTO_TEST_SUITE(that_is_warm)

// Guards against full load for a target that restarts without an announcement.
BOOST_AUTO_TEST_CASE(returns_to_the_cold_limit_when_its_connections_fail)
{
  AdmissionFixture fixture;
  fixture.WarmUp();
  for (int i = 0; i < 3; ++i) {
    fixture.Offer();
    fixture.Finish(fixture.m_lastCall, 1ms, RequestOutcome::Broken);
  }
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_cold);
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_limit == 1U);
}

// Guards against scheduling noise that is taken for a cold start: service times
// of 0.1 ms, every fifth delayed to 0.8 ms.
BOOST_AUTO_TEST_CASE(stays_warm_when_short_service_times_vary)
{
  AdmissionFixture fixture;
  for (int i = 0; i < 1000; ++i) {
    fixture.Offer();
    fixture.Finish(fixture.m_lastCall, i % 5 == 4 ? 800us : 100us);
    const bool isWarm = i > 100;
    BOOST_TEST((!isWarm || !fixture.m_admission->Report(fixture.m_now).m_cold));
  }
}

// Guards against a limit that ignores a noisy neighbour or stays low after it.
BOOST_AUTO_TEST_CASE(lowers_its_limit_while_it_is_slow)
{
  AdmissionFixture fixture;
  fixture.WarmUp();
  for (int i = 0; i < 4; ++i) {
    fixture.Offer();
    fixture.Finish(fixture.m_lastCall, 15ms);
  }
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_limit < 4U);
  BOOST_TEST(!fixture.m_admission->Report(fixture.m_now).m_cold);
  fixture.WarmUp();
  BOOST_TEST(fixture.m_admission->Report(fixture.m_now).m_limit == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_full_target)

// Guards against dispatch in order of arrival and after the deadline.
BOOST_AUTO_TEST_CASE(serves_by_deadline_and_refuses_expired_calls_after_a_pause)
{
  AdmissionFixture fixture;
  fixture.Offer();
  fixture.Offer(2s);
  fixture.Offer(1s);
  const auto next = fixture.Finish(1);
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next[0].m_admitted);
  BOOST_TEST(next[0].m_call.m_sequence == 3U);
  fixture.m_now += 10s;
  const auto late = fixture.m_admission->Tick(fixture.m_now);
  BOOST_REQUIRE(late.size() == 1);
  BOOST_TEST(!late[0].m_admitted);
  BOOST_CHECK(late[0].m_code == ResultCode::ExpiredBeforeRun);
}

// Guards against a call that is refused while calls of lower priority are
// queued.
BOOST_AUTO_TEST_CASE(sheds_the_lowest_priority)
{
  AdmissionFixture fixture;
  fixture.Offer();
  fixture.Offer(1s, 10);
  fixture.Offer(1s, 50);
  BOOST_CHECK(fixture.Offer(1s, 10).m_code == ResultCode::TargetCold);
  BOOST_CHECK(fixture.Offer(1s, 200).m_verdict == AdmissionVerdict::Queued);
  BOOST_CHECK(fixture.m_admission->NextTick() <= fixture.m_now);
  const auto shed = fixture.m_admission->Tick(fixture.m_now);
  BOOST_REQUIRE(shed.size() == 1);
  BOOST_TEST(shed[0].m_call.m_sequence == 2U);
  BOOST_CHECK(shed[0].m_code == ResultCode::ShedByPriority);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_closed_target)

// Guards against new work, and against queued calls that get no verdict.
BOOST_AUTO_TEST_CASE(refuses_with_the_code_of_its_state)
{
  AdmissionFixture fixture;
  fixture.Offer();
  fixture.Offer();
  fixture.m_admission->SetLeaving(true, fixture.m_now);
  BOOST_CHECK(fixture.Offer().m_code == ResultCode::TargetLeaving);
  const auto queued = fixture.m_admission->Tick(fixture.m_now);
  BOOST_REQUIRE(queued.size() == 1);
  BOOST_CHECK(queued[0].m_code == ResultCode::TargetLeaving);
  fixture.m_admission->SetZoneOut(true, fixture.m_now);
  BOOST_CHECK(fixture.Offer().m_code == ResultCode::ZoneOut);
  fixture.m_admission->ClearTarget(fixture.m_now);
  BOOST_CHECK(fixture.Offer().m_code == ResultCode::NotReady);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
