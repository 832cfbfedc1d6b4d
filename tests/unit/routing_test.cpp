// Guards the production router's preferences, one property in each case.
#include "routing/routing.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace sassafrasquay;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

TargetInfo
MakeTarget(int aNumber, std::string aZone = "z0")
{
  TargetInfo info;
  info.m_node.m_value = "t" + std::to_string(aNumber);
  info.m_service = "s";
  info.m_zone = std::move(aZone);
  info.m_region = "r";
  info.m_slots = 6;
  info.m_incarnation = 1;
  return info;
}

// A service of five targets, and a virtual clock that advances 2 ms a request.
struct Service
{
  SeededRandom m_random{ 7 };
  std::unique_ptr<Router> m_router = MakeRouter({ "z0", "r" }, m_random);
  std::vector<TargetInfo> m_targets;
  TimePoint m_now = kStart;
  std::map<std::string, RouteFeedback> m_answers;  // where not the usual one
  std::string m_silent;                            // answers nothing
  Duration m_step{ std::chrono::milliseconds(2) }; // between requests

  explicit Service(int aCount = 5)
  {
    for (int i = 0; i < aCount; ++i) {
      m_targets.push_back(MakeTarget(i));
    }
    Tell();
  }
  void Tell() { m_router->SetTargets("s", m_targets, m_now); }
  static RouteFeedback Usual()
  {
    RouteFeedback feedback;
    feedback.m_latency = std::chrono::milliseconds(20);
    feedback.m_load = { 2, 0, 6, 6, false, false, {}, 100, 1 };
    feedback.m_hasLoad = true;
    return feedback;
  }
  // Sends aCount requests, one after the other; how many each target got.
  std::map<std::string, int> Send(int aCount)
  {
    std::map<std::string, int> sent;
    for (int i = 0; i < aCount; ++i) {
      RouteRequest request;
      request.m_service = "s";
      const TargetIndex index = m_router->Choose(request, m_now).m_target;
      const std::string node = m_router->Target(index)->m_node.m_value;
      ++sent[node];
      m_router->OnSent(index, m_now);
      m_now += m_step;
      if (node == m_silent) {
        continue;
      }
      const auto other = m_answers.find(node);
      m_router->OnEnd(
        index, other == m_answers.end() ? Usual() : other->second, m_now);
    }
    return sent;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_SUITE(a_service_in_use)

// Guards against a preference for one of several equal targets.
BOOST_AUTO_TEST_CASE(equal_targets_get_about_equal_shares)
{
  Service service;
  for (const auto& [node, count] : service.Send(5000)) {
    BOOST_TEST(count > 500, node);
  }
}

BOOST_AUTO_TEST_SUITE(then_a_target_changes)

// Guards against a fast failure that looks like an idle target.
BOOST_AUTO_TEST_CASE(one_that_fails_fast_loses_its_share)
{
  Service service;
  service.Send(500);
  service.m_answers["t0"] = Service::Usual();
  service.m_answers["t0"].m_outcome = AttemptOutcome::Failed;
  service.m_answers["t0"].m_latency = std::chrono::microseconds(200);
  service.m_answers["t0"].m_load.m_inFlight = 0;
  BOOST_TEST(service.Send(5000)["t0"] < 100);
}

// Guards against a slow target whose reports claim that it is idle.
BOOST_AUTO_TEST_CASE(one_that_slows_down_loses_its_share_despite_its_reports)
{
  Service service;
  service.Send(500);
  service.m_answers["t0"] = Service::Usual();
  service.m_answers["t0"].m_latency = std::chrono::milliseconds(200);
  service.m_answers["t0"].m_load.m_inFlight = 0;
  BOOST_TEST(service.Send(5000)["t0"] < 100);
  // Guards against a target that stays shut out after its recovery.
  service.m_answers.clear();
  service.Send(20000);
  BOOST_TEST(service.Send(5000)["t0"] > 300);
}

// Guards against requests for a target that accepts them and hangs: no end of
// an attempt tells of it before the deadline.
BOOST_AUTO_TEST_CASE(one_that_falls_silent_loses_its_share_at_once)
{
  Service service;
  for (const char* busy : { "t1", "t2", "t3", "t4" }) {
    service.m_answers[busy] = Service::Usual();
    service.m_answers[busy].m_load.m_inFlight = 6;
  }
  service.Send(500);
  service.m_silent = "t0";
  service.m_step = std::chrono::milliseconds(100); // answers take 20 ms
  BOOST_TEST(service.Send(50)["t0"] == 1);
}

// Guards against a herd on a cold target.
BOOST_AUTO_TEST_CASE(one_that_returns_to_cold_keeps_a_small_share)
{
  Service service;
  service.Send(500);
  service.m_answers["t0"] = Service::Usual();
  service.m_answers["t0"].m_load.m_cold = true;
  service.m_answers["t0"].m_load.m_limit = 1;
  service.Send(100);
  const int cold = service.Send(1000)["t0"];
  BOOST_TEST(cold < 60);
  service.m_answers.clear();
  service.Send(10000);
  BOOST_TEST(service.Send(1000)["t0"] > 100);
}

// Guards against a new target that gets its full share at once.
BOOST_AUTO_TEST_CASE(one_that_joins_ramps_up)
{
  Service service;
  service.Send(500);
  service.m_targets.push_back(MakeTarget(5));
  service.Tell();
  const int first = service.Send(500)["t5"]; // 1 s of a ramp of 10 s
  service.Send(5000);
  const int later = service.Send(500)["t5"];
  BOOST_TEST(first < later / 2);
  BOOST_TEST(later > 40);
}

// Guards against work for a draining target before membership knows.
BOOST_AUTO_TEST_CASE(one_that_reports_leaving_gets_nothing_more)
{
  Service service;
  service.Send(500);
  service.m_answers["t0"] = Service::Usual();
  service.m_answers["t0"].m_load.m_leaving = true;
  service.Send(100);
  BOOST_TEST(service.Send(2000)["t0"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(nothing_to_choose)

// Guards against a choice where no target may be used.
BOOST_AUTO_TEST_CASE(a_service_whose_zone_is_out_has_no_target)
{
  Service service;
  service.m_router->SetZonesOut({ "z0" }, service.m_now);
  RouteRequest request;
  request.m_service = "s";
  const RouteDecision decision =
    service.m_router->Choose(request, service.m_now);
  BOOST_TEST(decision.m_target == kNoTarget);
  BOOST_CHECK(decision.m_reason == RouteReason::None);
  BOOST_TEST(service.m_router->HasService("s"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
