// Guards admission beside a target that states its cold starts and its load.
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
  uint64_t m_next = 0;

  AdmissionFixture() { m_admission->SetTarget(2, 1, kStart); }

  AdmissionRequest Request(uint8_t aPriority = 100)
  {
    AdmissionRequest request;
    request.m_call = { 1, ++m_next };
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
                                        Duration aTook = 10ms)
  {
    return m_admission->Finish(
      { 1, aCall }, { RequestOutcome::Completed, aTook }, aNow);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stated_admission, AdmissionFixture)

BOOST_AUTO_TEST_SUITE(a_warm_target)

// Guards against more requests at the target than it has slots.
BOOST_AUTO_TEST_CASE(gets_a_request_for_each_slot_and_the_rest_queues)
{
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  const auto events = Finish(1, kStart + 10ms);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_TEST(events[0].m_admitted);
  BOOST_CHECK(events[0].m_call == (CallId{ 1, 3 }));
}

// Guards against urgent requests that wait behind less urgent ones.
BOOST_AUTO_TEST_CASE(runs_the_more_urgent_request_first)
{
  Offer();
  Offer();
  Offer(kStart, 100);
  Offer(kStart, 200);
  const auto events = Finish(1, kStart + 10ms);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_CHECK(events[0].m_call == (CallId{ 1, 4 }));
}

// Guards against slots spent on requests whose objective has passed while
// others can still be answered within theirs.
BOOST_AUTO_TEST_CASE(prefers_requests_that_can_meet_their_objective)
{
  Offer();
  Offer();
  AdmissionRequest late = Request();
  late.m_latencyObjective = kStart + 5ms;
  m_admission->Offer(late, kStart);
  AdmissionRequest timely = Request();
  timely.m_latencyObjective = kStart + 5s;
  m_admission->Offer(timely, kStart);
  const auto events = Finish(1, kStart + 10ms);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_CHECK(events[0].m_call == timely.m_call);
}

// Guards against a queue in which requests wait past their deadline.
BOOST_AUTO_TEST_CASE(refuses_what_cannot_be_answered_in_time)
{
  Offer();
  Offer();
  Finish(1, kStart, 2s); // work takes two seconds here
  Offer();
  AdmissionRequest hurried = Request();
  hurried.m_deadline = kStart + 1s;
  BOOST_CHECK(m_admission->Offer(hurried, kStart).m_verdict ==
              AdmissionVerdict::Refused);
}

// Guards against a queued call that is neither admitted nor refused when its
// time is over.
BOOST_AUTO_TEST_CASE(refuses_queued_requests_at_their_deadline)
{
  Offer();
  Offer();
  Offer();
  BOOST_CHECK(m_admission->NextTick() == kStart + 10s);
  const auto events = m_admission->Tick(kStart + 10s);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_TEST(!events[0].m_admitted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_in_a_spell_of_slowness)

// Guards against work that takes several times as long because it begins a
// moment too early, while another target could begin it at once.
BOOST_AUTO_TEST_CASE(begins_nothing_and_refuses_what_must_not_queue)
{
  m_admission->SetSlowness(500, kStart);
  AdmissionRequest hurried = Request();
  hurried.m_mayQueue = false;
  const AdmissionResult refused = m_admission->Offer(hurried, kStart);
  BOOST_CHECK(refused.m_code == ResultCode::TargetSlow);
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  BOOST_TEST(m_admission->IsBlockedBySlowness());
  m_admission->SetSlowness(100, kStart + 50ms);
  BOOST_TEST(m_admission->Tick(kStart + 50ms).size() == 1U);
  BOOST_TEST(!m_admission->IsBlockedBySlowness());
}

// Guards against a target that is never used again because it says nothing
// more about its load.
BOOST_AUTO_TEST_CASE(is_used_again_when_its_word_has_expired)
{
  m_admission->SetSlowness(500, kStart);
  BOOST_CHECK(Offer() == AdmissionVerdict::Queued);
  const TimePoint next = m_admission->NextTick();
  BOOST_TEST((next > kStart && next <= kStart + 1s));
  BOOST_TEST(m_admission->Tick(next).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_that_is_slow_all_the_time)

// Guards against a target in its cold start, or one that stays slow, that gets
// no work at all.
BOOST_AUTO_TEST_CASE(is_used_as_it_is)
{
  m_admission->SetColdStartRemaining(5s, kStart);
  m_admission->SetColdStartRate(100);
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

BOOST_AUTO_TEST_SUITE(a_target_that_slows_down_when_it_is_nearly_full)

// Guards against filling every slot where fewer requests at once get more done,
// and against leaving slots empty where they do not.
BOOST_AUTO_TEST_CASE(gets_the_number_of_requests_at_which_most_is_done)
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
        const bool full = i >= 4;
        const Duration took = slowsDown && full ? 170ms : 100ms;
        admission->Finish(
          calls[i], { RequestOutcome::Completed, took }, kStart);
      }
    }
    BOOST_TEST(admission->Report(kStart).m_limit == (slowsDown ? 4U : 6U));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cold_target)

// Guards against more requests in a second than a cold target bears; requests
// from before it turned cold count as well.
BOOST_AUTO_TEST_CASE(gets_requests_at_its_stated_rate)
{
  m_admission->SetColdStartRate(3);
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

// Guards against a target that stays at its cold rate for ever.
BOOST_AUTO_TEST_CASE(is_warm_when_the_stated_time_is_over)
{
  m_admission->SetColdStartRate(1);
  m_admission->SetColdStartRemaining(1s, kStart);
  BOOST_TEST(m_admission->Report(kStart).m_cold);
  BOOST_CHECK(Offer() == AdmissionVerdict::Admitted);
  BOOST_CHECK(Offer(kStart + 500ms) == AdmissionVerdict::Refused);
  BOOST_CHECK(Offer(kStart + 1s) == AdmissionVerdict::Admitted);
  BOOST_TEST(!m_admission->Report(kStart).m_cold);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_that_takes_no_work)

// Guards against requests at a target that leaves, that is out of service or
// that is gone; queued ones are refused as well, so that they can go elsewhere.
BOOST_AUTO_TEST_CASE(refuses_new_and_queued_requests)
{
  Offer();
  Offer();
  Offer();
  m_admission->SetLeaving(true, kStart);
  const auto events = m_admission->Tick(kStart);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_CHECK(events[0].m_code == ResultCode::TargetLeaving);
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
