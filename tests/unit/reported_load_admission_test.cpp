// Tests admission for a target that reports its cold starts and its slowness.
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };

struct AdmissionFixture
{
  std::unique_ptr<AdmissionController> m_admission =
    MakeReportedLoadAdmission(AdmissionSettings());
  uint64_t m_lastCall = 0;

  AdmissionFixture() { m_admission->SetTarget(2, 1, kStart); }

  AdmissionRequest Request(uint8_t aPriority = 100)
  {
    AdmissionRequest request;
    request.m_call = { 1, ++m_lastCall };
    request.m_deadline = kStart + 10s;
    request.m_priority = aPriority;
    return request;
  }
  AdmissionVerdict Offer(TimePoint aNow = kStart, uint8_t aPriority = 100)
  {
    return m_admission->Offer(Request(aPriority), aNow).m_verdict;
  }
  std::vector<QueuedCallVerdict> Finish(uint64_t aCall,
                                        TimePoint aNow,
                                        Duration aServiceTime = 10ms)
  {
    return m_admission->Finish(
      { 1, aCall }, { RequestOutcome::Completed, aServiceTime }, aNow);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reported_load_admission, AdmissionFixture)

BOOST_AUTO_TEST_SUITE(a_warm_target)

// Guards against more requests in flight than slots.
BOOST_AUTO_TEST_CASE(gets_a_request_for_each_slot_and_the_rest_are_queued)
{
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  const auto verdicts = Finish(1, kStart + 10ms);
  BOOST_REQUIRE_EQUAL(verdicts.size(), 1U);
  BOOST_TEST(verdicts[0].m_admitted);
  BOOST_CHECK(verdicts[0].m_call == (CallId{ 1, 3 }));
}

// Guards against requests that wait behind ones of lower priority.
BOOST_AUTO_TEST_CASE(runs_the_request_of_higher_priority_first)
{
  Offer();
  Offer();
  Offer(kStart, 100);
  Offer(kStart, 200);
  const auto verdicts = Finish(1, kStart + 10ms);
  BOOST_REQUIRE_EQUAL(verdicts.size(), 1U);
  BOOST_CHECK(verdicts[0].m_call == (CallId{ 1, 4 }));
}

// Guards against giving slots to requests that have missed their latency
// objective while others can still meet theirs.
BOOST_AUTO_TEST_CASE(prefers_requests_that_can_meet_their_latency_objective)
{
  Offer();
  Offer();
  AdmissionRequest late = Request();
  late.m_latencyObjective = kStart + 5ms;
  m_admission->Offer(late, kStart);
  AdmissionRequest timely = Request();
  timely.m_latencyObjective = kStart + 5s;
  m_admission->Offer(timely, kStart);
  const auto verdicts = Finish(1, kStart + 10ms);
  BOOST_REQUIRE_EQUAL(verdicts.size(), 1U);
  BOOST_CHECK(verdicts[0].m_call == timely.m_call);
}

// Guards against a queue in which requests wait past their deadline.
BOOST_AUTO_TEST_CASE(refuses_requests_that_cannot_be_answered_in_time)
{
  Offer();
  Offer();
  Finish(1, kStart, 2s); // service time of two seconds
  Offer();
  AdmissionRequest urgent = Request();
  urgent.m_deadline = kStart + 1s;
  BOOST_CHECK(m_admission->Offer(urgent, kStart).m_verdict ==
              AdmissionVerdict::Refused);
}

// Guards against a queued call that has no verdict at its deadline.
BOOST_AUTO_TEST_CASE(refuses_queued_requests_at_their_deadline)
{
  Offer();
  Offer();
  Offer();
  BOOST_CHECK(m_admission->NextTick() == kStart + 10s);
  const auto verdicts = m_admission->Tick(kStart + 10s);
  BOOST_REQUIRE_EQUAL(verdicts.size(), 1U);
  BOOST_TEST(!verdicts[0].m_admitted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_in_a_slow_phase)

// Guards against a request that takes several times as long because it starts
// shortly before the end of a slow phase, or while another target could start
// it at once.
BOOST_AUTO_TEST_CASE(starts_no_request_and_refuses_those_that_may_not_queue)
{
  m_admission->SetSlowness(500, kStart);
  AdmissionRequest urgent = Request();
  urgent.m_mayQueue = false;
  const AdmissionResult refused = m_admission->Offer(urgent, kStart);
  BOOST_CHECK(refused.m_code == ResultCode::TargetSlow);
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  BOOST_TEST(m_admission->IsBlockedBySlowness());
  m_admission->SetSlowness(100, kStart + 50ms);
  BOOST_TEST(m_admission->Tick(kStart + 50ms).size() == 1U);
  BOOST_TEST(!m_admission->IsBlockedBySlowness());
}

// Guards against a target that gets no more requests because it does not report
// its slowness again.
BOOST_AUTO_TEST_CASE(is_used_again_when_its_report_has_expired)
{
  m_admission->SetSlowness(500, kStart);
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  const TimePoint next = m_admission->NextTick();
  BOOST_TEST((next > kStart && next <= kStart + 1s));
  BOOST_TEST(m_admission->Tick(next).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_that_is_always_slow)

// Guards against a target that gets no requests because it is in a cold start
// or always slow.
BOOST_AUTO_TEST_CASE(is_used_as_usual)
{
  m_admission->SetColdStartRemaining(5s, kStart);
  m_admission->SetColdStartRate({ 100 });
  m_admission->SetSlowness(200, kStart);
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  m_admission->SetSlowness(1000, kStart + 50ms);
  BOOST_CHECK(Offer(kStart + 50ms) == AdmissionVerdict::Queued);

  const auto warm = MakeReportedLoadAdmission(AdmissionSettings());
  warm->SetTarget(2, 1, kStart);
  TimePoint now = kStart;
  for (; now < kStart + 2s; now += 100ms) {
    warm->SetSlowness(400, now);
  }
  BOOST_CHECK(warm->Offer(Request(), now).m_verdict ==
              AdmissionVerdict::Admitted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_that_slows_down_when_nearly_full)

// Guards against filling all slots when fewer concurrent requests give a higher
// throughput, and against empty slots when they do not.
BOOST_AUTO_TEST_CASE(gets_the_number_of_requests_with_the_highest_throughput)
{
  for (const bool slowsDown : { true, false }) {
    const auto admission = MakeReportedLoadAdmission(AdmissionSettings());
    admission->SetTarget(6, 1, kStart);
    for (int round = 0; round < 400; ++round) {
      std::vector<CallId> calls;
      const uint32_t count = 1 + static_cast<uint32_t>(round % 6);
      for (uint32_t i = 0; i < count; ++i) {
        const AdmissionRequest request = Request();
        if (admission->Offer(request, kStart).m_verdict ==
            AdmissionVerdict::Admitted) {
          calls.push_back(request.m_call);
        }
      }
      for (size_t i = 0; i < calls.size(); ++i) {
        const bool isNearlyFull = i >= 4;
        const Duration serviceTime = slowsDown && isNearlyFull ? 170ms : 100ms;
        admission->Finish(
          calls[i], { RequestOutcome::Completed, serviceTime }, kStart);
      }
    }
    BOOST_TEST(admission->Report(kStart).m_limit == (slowsDown ? 4U : 6U));
  }
}

// Guards against a burst that is served at the slower speed for as long as it
// lasts, because a target is nearly full only then.
BOOST_AUTO_TEST_CASE(is_known_after_twenty_completions_when_nearly_full)
{
  const auto admission = MakeReportedLoadAdmission(AdmissionSettings());
  admission->SetTarget(4, 1, kStart);
  for (int round = 0; round < 20; ++round) {
    std::vector<CallId> calls;
    for (uint32_t i = 0; i < 4; ++i) {
      const AdmissionRequest request = Request();
      if (admission->Offer(request, kStart).m_verdict ==
          AdmissionVerdict::Admitted) {
        calls.push_back(request.m_call);
      }
    }
    for (size_t i = 0; i < calls.size(); ++i) {
      const Duration serviceTime = i == 3 ? 150ms : 100ms;
      admission->Finish(
        calls[i], { RequestOutcome::Completed, serviceTime }, kStart);
    }
  }
  BOOST_TEST(admission->Report(kStart).m_limit == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cold_target)

// Guards against more requests per second than a cold target can serve;
// requests from before the cold start count as well.
BOOST_AUTO_TEST_CASE(gets_requests_at_its_configured_rate)
{
  m_admission->SetColdStartRate({ 3 });
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  Finish(1, kStart);
  m_admission->SetColdStartRemaining(5s, kStart);
  for (uint64_t call = 2; call <= 3; ++call) {
    BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
    Finish(call, kStart);
  }
  BOOST_CHECK(Offer() == AdmissionVerdict::Refused);
  BOOST_CHECK(Offer(kStart + 999ms) == AdmissionVerdict::Refused);
  BOOST_CHECK(Offer(kStart + 1s) == AdmissionVerdict::Admitted);
}

// Guards against cold targets that serve far less than the deployment allows
// in the seconds after a loss of power, when no other target is warm, and
// against more requests than that.
BOOST_AUTO_TEST_CASE(gets_the_burst_that_the_deployment_allows_in_any_second)
{
  m_admission->SetTarget(20, 1, kStart);
  m_admission->SetColdStartRate({ 4, 1.5, 2 }); // 8 requests
  m_admission->SetColdStartRemaining(5s, kStart);
  const auto countAdmitted = [this](TimePoint aNow) {
    int admitted = 0;
    while (Offer(aNow) == AdmissionVerdict::Admitted) {
      ++admitted;
      Finish(m_lastCall, aNow);
    }
    return admitted;
  };
  BOOST_TEST(countAdmitted(kStart) == 8);
  BOOST_TEST(countAdmitted(kStart + 999ms) == 0);
  BOOST_TEST(countAdmitted(kStart + 1s) == 8);
}

// Guards against filling a cold target while it is not known whether it slows
// down further when nearly full, and against a limit that outlasts the cold
// start.
BOOST_AUTO_TEST_CASE(leaves_a_part_of_its_slots_free)
{
  m_admission->SetTarget(6, 1, kStart);
  m_admission->SetColdStartRate({ 100 });
  m_admission->SetColdStartRemaining(1s, kStart);
  BOOST_TEST(m_admission->Report(kStart).m_limit == 4U);
  for (int i = 0; i < 4; ++i) {
    BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  }
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  BOOST_TEST(m_admission->Tick(kStart + 1s).size() == 1U);
  BOOST_CHECK(Offer(kStart + 1s) == AdmissionVerdict::Admitted);
}

// Guards against a target that stays at its cold start rate.
BOOST_AUTO_TEST_CASE(is_warm_when_the_reported_time_is_over)
{
  m_admission->SetColdStartRate({ 1 });
  m_admission->SetColdStartRemaining(1s, kStart);
  BOOST_TEST(m_admission->Report(kStart).m_cold);
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  BOOST_CHECK(Offer(kStart + 500ms) == AdmissionVerdict::Refused);
  BOOST_CHECK(Offer(kStart + 1s) == AdmissionVerdict::Admitted);
  BOOST_TEST(!m_admission->Report(kStart).m_cold);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_that_accepts_no_requests)

// Guards against requests to a target that leaves, is lost or whose zone is out
// of service. Queued ones are refused as well, so that they can try another
// target.
BOOST_AUTO_TEST_CASE(refuses_new_and_queued_requests)
{
  Offer();
  Offer();
  Offer();
  m_admission->SetLeaving(true, kStart);
  const auto verdicts = m_admission->Tick(kStart);
  BOOST_REQUIRE_EQUAL(verdicts.size(), 1U);
  BOOST_CHECK(verdicts[0].m_code == ResultCode::TargetLeaving);
  BOOST_CHECK(Offer() == AdmissionVerdict::Refused);
  m_admission->SetTarget(2, 2, kStart); // the next process
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  m_admission->SetZoneOut(true, kStart);
  BOOST_CHECK(Offer() == AdmissionVerdict::Refused);
  m_admission->SetZoneOut(false, kStart);
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  m_admission->ClearTarget(kStart);
  BOOST_CHECK(Offer() == AdmissionVerdict::Refused);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
