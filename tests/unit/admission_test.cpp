// Guards the verdicts of admission; its invariants are fuzzed in
// tests/fuzz/admission_fuzz.cpp.
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(admission)

struct Node
{
  std::unique_ptr<AdmissionController> m_admission = MakeAdaptiveAdmission({});
  TimePoint m_now{ 1h };
  uint64_t m_next = 0;

  Node() { m_admission->SetTarget(4, 1, m_now); }

  AdmissionResult Offer(Duration aRemaining = 1s, uint8_t aPriority = 100)
  {
    const AdmissionRequest request{ { 1, ++m_next },
                                    m_now + aRemaining,
                                    aPriority };
    return m_admission->Offer(request, m_now);
  }

  std::vector<QueuedCallVerdict> Finish(
    uint64_t aCall,
    Duration aTook = 5ms,
    RequestOutcome aEnd = RequestOutcome::Completed)
  {
    m_now += aTook;
    return m_admission->Finish({ 1, aCall }, { aEnd, aTook }, m_now);
  }

  // Serves one request at a time until the target is warm at its full limit.
  void WarmUp()
  {
    for (int i = 0; i < 40; ++i) {
      std::vector<uint64_t> calls;
      while (Offer().m_verdict == AdmissionVerdict::Admitted) {
        calls.push_back(m_next);
      }
      BOOST_TEST(m_admission->RemoveQueued({ 1, m_next }, m_now));
      m_now += 5ms;
      for (const uint64_t call : calls) {
        m_admission->Finish(
          { 1, call }, { RequestOutcome::Completed, 5ms }, m_now);
      }
    }
  }
};

BOOST_AUTO_TEST_SUITE(a_new_target)

// Guards against full load on a target that has just started.
BOOST_AUTO_TEST_CASE(starts_at_the_cold_bound_and_warms_by_its_answers)
{
  Node node;
  BOOST_TEST(node.m_admission->Report(node.m_now).m_cold);
  BOOST_TEST(node.m_admission->Report(node.m_now).m_limit == 1U);
  node.m_now += 1h;
  BOOST_TEST(node.m_admission->Report(node.m_now).m_limit == 1U);
  node.WarmUp();
  BOOST_TEST(!node.m_admission->Report(node.m_now).m_cold);
  BOOST_TEST(node.m_admission->Report(node.m_now).m_limit == 4U);
}

BOOST_AUTO_TEST_SUITE(that_was_warm)

// Guards against load kept on a target that restarted without notice.
BOOST_AUTO_TEST_CASE(falls_back_when_its_connections_break)
{
  Node node;
  node.WarmUp();
  for (int i = 0; i < 3; ++i) {
    node.Offer();
    node.Finish(node.m_next, 1ms, RequestOutcome::Broken);
  }
  BOOST_TEST(node.m_admission->Report(node.m_now).m_cold);
  BOOST_TEST(node.m_admission->Report(node.m_now).m_limit == 1U);
}

// Guards against scheduling noise that passes for a cold start: service times
// of 0.1 ms with a delay of 0.8 ms now and then.
BOOST_AUTO_TEST_CASE(stays_warm_when_short_service_times_vary)
{
  Node node;
  for (int i = 0; i < 1000; ++i) {
    node.Offer();
    node.Finish(node.m_next, i % 5 == 4 ? 800us : 100us);
    const bool warmedUp = i > 100;
    BOOST_TEST((!warmedUp || !node.m_admission->Report(node.m_now).m_cold));
  }
}

// Guards against a limit that ignores a noisy neighbour, or stays low.
BOOST_AUTO_TEST_CASE(lowers_its_limit_while_it_is_slow)
{
  Node node;
  node.WarmUp();
  for (int i = 0; i < 4; ++i) {
    node.Offer();
    node.Finish(node.m_next, 15ms);
  }
  BOOST_TEST(node.m_admission->Report(node.m_now).m_limit < 4U);
  BOOST_TEST(!node.m_admission->Report(node.m_now).m_cold);
  node.WarmUp();
  BOOST_TEST(node.m_admission->Report(node.m_now).m_limit == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_full_target)

// Guards against service in order of arrival and against late dispatch.
BOOST_AUTO_TEST_CASE(serves_by_deadline_and_drops_expired_calls_after_a_pause)
{
  Node node;
  node.Offer();
  node.Offer(2s);
  node.Offer(1s);
  const auto next = node.Finish(1);
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next[0].m_admitted);
  BOOST_TEST(next[0].m_call.m_sequence == 3U);
  node.m_now += 10s;
  const auto late = node.m_admission->Tick(node.m_now);
  BOOST_REQUIRE(late.size() == 1);
  BOOST_TEST(!late[0].m_admitted);
  BOOST_CHECK(late[0].m_code == ResultCode::ExpiredBeforeRun);
}

// Guards against an important call refused while unimportant ones wait.
BOOST_AUTO_TEST_CASE(sheds_the_lowest_priority)
{
  Node node;
  node.Offer();
  node.Offer(1s, 10);
  node.Offer(1s, 50);
  BOOST_CHECK(node.Offer(1s, 10).m_code == ResultCode::TargetCold);
  BOOST_CHECK(node.Offer(1s, 200).m_verdict == AdmissionVerdict::Queued);
  BOOST_CHECK(node.m_admission->NextTick() <= node.m_now);
  const auto shed = node.m_admission->Tick(node.m_now);
  BOOST_REQUIRE(shed.size() == 1);
  BOOST_TEST(shed[0].m_call.m_sequence == 2U);
  BOOST_CHECK(shed[0].m_code == ResultCode::ShedByPriority);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_closed_target)

// Guards against new work, and against queued calls that are forgotten.
BOOST_AUTO_TEST_CASE(refuses_with_the_right_code)
{
  Node node;
  node.Offer();
  node.Offer();
  node.m_admission->SetLeaving(true, node.m_now);
  BOOST_CHECK(node.Offer().m_code == ResultCode::TargetLeaving);
  const auto queued = node.m_admission->Tick(node.m_now);
  BOOST_REQUIRE(queued.size() == 1);
  BOOST_CHECK(queued[0].m_code == ResultCode::TargetLeaving);
  node.m_admission->SetZoneOut(true, node.m_now);
  BOOST_CHECK(node.Offer().m_code == ResultCode::ZoneOut);
  node.m_admission->ClearTarget(node.m_now);
  BOOST_CHECK(node.Offer().m_code == ResultCode::NotReady);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
