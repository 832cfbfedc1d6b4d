// The platform's protocols through real processes: the stand-in store, stand-in
// targets that use the platform's HTTP dialect, and nodes.
#include "drills/fleet.h"

#include <atomic>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace sassafrasquay;
using namespace sassafrasquay::drills;

namespace {

void
Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

HttpRequest
MakeRequest(const std::string& aPath, const std::string& aAttempt)
{
  HttpRequest request;
  request.m_host = "lessons";
  request.m_path = aPath;
  request.m_headers["Sassafrasquay-Attempt-Id"] = aAttempt;
  request.m_headers["Sassafrasquay-Deadline-Ms"] = "2000";
  return request;
}

HttpRequest
MakePostRequest(const std::string& aAttempt)
{
  HttpRequest request = MakeRequest("/once/pay", aAttempt);
  request.m_method = "POST";
  request.m_body = "pay";
  return request;
}

uint64_t
ConfigVersionAt(Fleet& aFleet, const Instance& aInstance)
{
  boost::system::error_code error;
  const boost::json::value status = boost::json::parse(
    aFleet.FetchBody(aInstance.m_controlEndpoint, "/status"), error);
  return error ? 0 : status.at("config_version").to_number<uint64_t>();
}

bool
AllNodesReach(Fleet& aFleet, uint64_t aVersion)
{
  for (int i = 0; i < 200; ++i) {
    bool all = true;
    for (const Instance& instance : aFleet.All()) {
      all = all && ConfigVersionAt(aFleet, instance) >= aVersion;
    }
    if (all) {
      return true;
    }
    Sleep(100);
  }
  return false;
}

uint64_t
RequestsAt(Fleet& aFleet, const Instance& aInstance)
{
  const std::string state =
    aFleet.FetchBody(aInstance.m_targetEndpoint, "/standin/state");
  return boost::json::parse(state).at("requests").to_number<uint64_t>();
}

// Fleet shared by all cases. Each case clears its faults at the end.
Fleet&
SharedFleet()
{
  static const auto fleet = []() {
    auto made = std::make_unique<Fleet>();
    made->Add("lessons", 3);
    made->StartOnPlatform();
    return made;
  }();
  return *fleet;
}

// Sets a fault at every target for the lifetime of the object.
struct FaultEverywhere
{
  std::string m_name;
  uint64_t m_normalValue;
  FaultEverywhere(std::string aName, uint64_t aValue, uint64_t aNormalValue = 0)
    : m_name(std::move(aName))
    , m_normalValue(aNormalValue)
  {
    Set(aValue);
  }
  ~FaultEverywhere() { Set(m_normalValue); }
  void Set(uint64_t aValue) const
  {
    for (const Instance& instance : SharedFleet().All()) {
      SharedFleet().SetFault(instance, m_name, aValue);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(on_the_platform)

BOOST_AUTO_TEST_SUITE(a_request)

// Guards against a response without the instance's stamp or to another request.
BOOST_AUTO_TEST_CASE(gets_the_instances_response_through_any_node)
{
  for (size_t i = 0; i < 30; ++i) {
    const std::string id = "read-" + std::to_string(i);
    const HttpResponse response = Send(SharedFleet().At(i % 3).m_callerEndpoint,
                                       MakeRequest("/safe/1", id));
    BOOST_TEST(response.m_complete);
    BOOST_TEST(response.m_status == 200U);
    BOOST_TEST(response.m_headers.at("sassafrasquay-server-stamp") == "stamp");
    BOOST_TEST(response.m_headers.at("sassafrasquay-attempt-id") == id);
    BOOST_TEST(response.m_body.find("identity=" + id + " ") !=
               std::string::npos);
  }
}

// Guards against a deadline that is lost when the body is too large to be
// forwarded with the head: the instance would work on after the caller's
// timeout.
BOOST_AUTO_TEST_CASE(with_a_large_body_keeps_its_time_budget)
{
  HttpRequest upload = MakePostRequest("large");
  upload.m_body.assign(200 * 1024, 'u');
  upload.m_bodyParts = 4;
  upload.m_partInterval = std::chrono::milliseconds(100);
  BOOST_TEST(Send(SharedFleet().At(0).m_callerEndpoint, upload).m_status ==
             200U);
  const Instance& ran = SharedFleet().InstanceThatRan("large");
  const auto state = boost::json::parse(
    SharedFleet().FetchBody(ran.m_targetEndpoint, "/standin/state"));
  const std::string deadlineMs(state.at("deadline_ms").as_string());
  BOOST_TEST(std::stoi(deadlineMs) <= 2000);
}

// Guards against another status than 404 for a request without a route.
BOOST_AUTO_TEST_CASE(without_a_route_gets_404)
{
  const Endpoint node = SharedFleet().At(0).m_callerEndpoint;
  BOOST_TEST(Send(node, MakeRequest("/other/1", "a")).m_status == 404U);
  HttpRequest unknown = MakeRequest("/safe/1", "b");
  unknown.m_host = "nowhere";
  BOOST_TEST(Send(node, unknown).m_status == 404U);
}

// Guards against an extra response on a keep-alive connection that is returned
// to the next request.
BOOST_AUTO_TEST_CASE(never_gets_an_extra_response_to_an_earlier_one)
{
  const FaultEverywhere fault("extra", 1);
  for (size_t i = 0; i < 30; ++i) {
    const std::string id = "extra-" + std::to_string(i);
    const HttpResponse response =
      Send(SharedFleet().At(0).m_callerEndpoint, MakeRequest("/safe/1", id));
    BOOST_TEST(response.m_status == 200U);
    BOOST_TEST(response.m_headers.at("sassafrasquay-attempt-id") == id);
  }
}

// Guards against "not run" for a request that ran, and against a second run.
BOOST_AUTO_TEST_CASE(that_is_not_idempotent_gets_502_when_its_response_is_lost)
{
  const FaultEverywhere fault("close", 1);
  const HttpResponse response =
    Send(SharedFleet().At(0).m_callerEndpoint, MakePostRequest("lost-1"));
  BOOST_TEST(response.m_status == 502U);
  BOOST_TEST(SharedFleet().RunCounts()["lost-1"] == 1U);
}

// Guards against a rejection with a status that doesn't mean "not run", or
// without Retry-After.
BOOST_AUTO_TEST_CASE(that_every_instance_sheds_gets_503_and_does_not_run)
{
  const FaultEverywhere fault("shed", 1);
  const HttpResponse response =
    Send(SharedFleet().At(0).m_callerEndpoint, MakePostRequest("shed-1"));
  BOOST_TEST(response.m_status == 503U);
  BOOST_TEST(response.m_headers.contains("retry-after"));
  BOOST_TEST(SharedFleet().RunCounts()["shed-1"] == 0U);
}

// Guards against a failure that a retry at another instance would have avoided,
// and against a local reply in place of an instance's error response.
BOOST_AUTO_TEST_CASE(
  that_is_idempotent_is_retried_at_another_instance_after_a_failure)
{
  SharedFleet().SetFault(SharedFleet().At(1), "fail", 500);
  size_t served = 0;
  for (size_t i = 0; i < 12; ++i) {
    const HttpResponse response =
      Send(SharedFleet().At(0).m_callerEndpoint,
           MakeRequest("/safe/1", "fail-" + std::to_string(i)));
    served += response.m_status == 200U ? 1 : 0;
    BOOST_TEST((response.m_status == 200U || response.m_status == 500U));
  }
  SharedFleet().SetFault(SharedFleet().At(1), "fail", 0);
  BOOST_TEST(served >= 10U); // the retry budget covers a few retries
  const FaultEverywhere fault("fail", 500);
  const HttpResponse response = Send(SharedFleet().At(0).m_callerEndpoint,
                                     MakeRequest("/safe/1", "fail-all"));
  BOOST_TEST(response.m_status == 500U);
  BOOST_TEST(response.m_headers.contains("sassafrasquay-server-stamp"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_published_configuration)

// Guards against a configuration change that is missed or undone when the store
// doesn't respond, its log is compacted, or a node starts meanwhile.
BOOST_AUTO_TEST_CASE(is_applied_by_every_node_and_never_reverts)
{
  Fleet fleet;
  fleet.Add("lessons", 3);
  fleet.StartOnPlatform();
  const Endpoint entry = fleet.At(0).m_callerEndpoint;
  fleet.PublishRoutes(4000);
  BOOST_TEST(AllNodesReach(fleet, 2));

  // A zone under evacuation gets no new requests.
  fleet.SendStoreCommand("put?topic=keyed.op&key=evacuate/zone-2", "{}");
  BOOST_TEST(AllNodesReach(fleet, 3));
  Sleep(300);
  const uint64_t before = RequestsAt(fleet, fleet.At(1));
  for (size_t i = 0; i < 40; ++i) {
    const HttpResponse response =
      Send(fleet.At(i % 3).m_callerEndpoint,
           MakeRequest("/safe/1", "z-" + std::to_string(i)));
    BOOST_TEST(response.m_status == 200U);
  }
  BOOST_TEST(RequestsAt(fleet, fleet.At(1)) == before);

  // While the store doesn't respond, nodes keep their configuration, and a node
  // that starts gets it from its peers.
  fleet.SendStoreCommand("set?down=1");
  BOOST_TEST(Send(entry, MakeRequest("/safe/1", "down")).m_status == 200U);
  fleet.At(2).m_nodeProcess->Signal(SIGKILL);
  fleet.At(2).m_nodeProcess->Wait();
  fleet.StartNode(fleet.At(2));
  BOOST_TEST(AllNodesReach(fleet, 3));

  // When the store responds again, the records that the nodes missed have been
  // compacted away.
  fleet.SendStoreCommand("drop?topic=keyed.op&key=evacuate/zone-2");
  fleet.PublishRoutes(3000);
  fleet.SendStoreCommand("compact");
  fleet.SendStoreCommand("set?down=0");
  BOOST_TEST(AllNodesReach(fleet, 5));
  bool used = false;
  // Routing prefers the nearest target, so requests go through that zone's
  // node.
  for (int i = 0; i < 3000 && !used; ++i) {
    Send(fleet.At(1).m_callerEndpoint,
         MakeRequest("/safe/1", "back-" + std::to_string(i)));
    used = RequestsAt(fleet, fleet.At(1)) > before;
  }
  BOOST_TEST(used);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_that_shuts_down)

// Guards against an instance that gets no requests while its node waits for
// callers to disconnect, and against a request that the shutdown interrupts.
BOOST_AUTO_TEST_CASE(
  keeps_its_instance_in_use_until_its_callers_have_disconnected)
{
  Fleet fleet;
  fleet.Add("fees", 1);
  fleet.Add("lessons", 1);
  fleet.StartOnPlatform({ "--leave_delay_ms=2500", "--unready_ms=1800" });
  const Instance& second = fleet.At(1);
  second.m_nodeProcess->Signal(SIGTERM);
  Sleep(100);
  BOOST_TEST(fleet.FetchBody(second.m_controlEndpoint, "/-/readyz")
               .find("shutting down") != std::string::npos);
  for (size_t i = 0; second.m_nodeProcess->IsRunning() && i < 500; ++i) {
    const std::string id = "s-" + std::to_string(i);
    const HttpResponse response =
      Send(fleet.At(0).m_callerEndpoint, MakeRequest("/safe/1", id));
    BOOST_TEST(
      (response.m_status == 200U || (i > 40 && response.m_status == 503U)));
    Sleep(20);
  }
  BOOST_TEST(second.m_nodeProcess->Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_drains)

// Guards against new requests after the node has acknowledged the drain.
BOOST_AUTO_TEST_CASE(gets_no_new_requests)
{
  Fleet fleet;
  fleet.Add("lessons", 2);
  fleet.StartOnPlatform();
  BOOST_TEST(fleet.FetchBody(fleet.At(1).m_targetEndpoint, "/standin/drain") ==
             "ok");
  Sleep(500);
  // The metrics of the other node show it as well.
  const std::string metrics =
    fleet.FetchBody(fleet.At(0).m_controlEndpoint, "/metrics");
  const std::string gauge = "sassafrasquay_service_targets{service=\"lessons\"";
  BOOST_TEST(metrics.find(gauge + ",state=\"leaving\"} 1") !=
             std::string::npos);
  const uint64_t before = RequestsAt(fleet, fleet.At(1));
  for (size_t i = 0; i < 40; ++i) {
    const HttpResponse response =
      Send(fleet.At(i % 2).m_callerEndpoint,
           MakeRequest("/safe/1", "d-" + std::to_string(i)));
    BOOST_TEST(response.m_status == 200U);
  }
  BOOST_TEST(RequestsAt(fleet, fleet.At(1)) == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_leaves)

BOOST_AUTO_TEST_SUITE(while_its_node_has_just_started)

namespace {

// Fleet of two whose second node has been restarted. The second instance sends
// no status reports and responds to health checks after a delay.
struct RestartedNode
{
  Fleet m_fleet;

  explicit RestartedNode(Duration aHealthDelay)
  {
    m_fleet.Add("lessons", 2);
    m_fleet.StartOnPlatform();
    Instance& second = m_fleet.At(1);
    m_fleet.SetFault(second, "mute_reports", 1);
    m_fleet.SetFault(
      second, "health_ms", aHealthDelay / std::chrono::milliseconds(1));
    second.m_nodeProcess->Signal(SIGKILL);
    second.m_nodeProcess->Wait();
    m_fleet.StartNode(second);
  }

  // Returns true once the second node has acknowledged that its instance
  // leaves.
  bool Leave()
  {
    for (int i = 0; i < 200; ++i) {
      if (m_fleet.FetchBody(m_fleet.At(1).m_targetEndpoint, "/standin/leave") ==
          "ok") {
        return true;
      }
      Sleep(20);
    }
    return false;
  }

  // Sends requests through both nodes; returns how many reach the second
  // instance.
  uint64_t CountRunsAfterLeave()
  {
    const uint64_t before = RequestsAt(m_fleet, m_fleet.At(1));
    for (size_t i = 0; i < 100; ++i) {
      const std::string id = "l-" + std::to_string(i);
      Send(m_fleet.At(i % 2).m_callerEndpoint, MakeRequest("/safe/1", id));
      Sleep(20);
    }
    return RequestsAt(m_fleet, m_fleet.At(1)) - before;
  }
};

} // namespace

// Guards against an acknowledged leave that is ignored because the node has
// discovered the instance by a health check only.
BOOST_AUTO_TEST_CASE(and_has_only_checked_its_health_gets_no_new_requests)
{
  RestartedNode restarted(Duration::zero());
  const Instance& second = restarted.m_fleet.At(1);
  restarted.m_fleet.WaitUntilListed(second, second);
  BOOST_TEST(restarted.Leave());
  BOOST_TEST(restarted.CountRunsAfterLeave() == 0U);
}

// Guards against a health response that adds an instance again whose leave
// arrived before the node had discovered the instance.
BOOST_AUTO_TEST_CASE(and_has_not_discovered_it_yet_gets_no_new_requests)
{
  RestartedNode restarted(std::chrono::milliseconds(400));
  BOOST_TEST(restarted.Leave());
  BOOST_TEST(restarted.CountRunsAfterLeave() == 0U);
}

// Guards against late status reports, each newer than the last, that add an
// instance again whose leave was acknowledged by the previous process of the
// node.
BOOST_AUTO_TEST_CASE(and_receives_late_reports_gets_no_new_requests)
{
  Fleet fleet;
  fleet.Add("lessons", 2);
  fleet.StartOnPlatform();
  Instance& second = fleet.At(1);
  BOOST_TEST(fleet.FetchBody(second.m_targetEndpoint, "/standin/leave") ==
             "ok");
  second.m_nodeProcess->Signal(SIGKILL);
  second.m_nodeProcess->Wait();
  fleet.StartNode(second);
  fleet.WaitUntilServing(second, "lessons"); // through the first node
  Sleep(300);                                // a health check has been sent
  HttpRequest late;
  late.m_method = "PUT";
  late.m_path = "/-/instances/i-" + second.m_nodeId;
  late.m_host = "node";
  for (const char* sequence : { "1", "2", "3" }) {
    late.m_body =
      R"({"address":")" + ToString(second.m_targetEndpoint) +
      R"(","born":1000,"info":{"service":"lessons","version":"v1","zone":"z",)" +
      R"("slots":6},"status":{"state":"ready","coldLeftMs":0,"sequence":)" +
      sequence + "}}";
    BOOST_TEST(Send(second.m_controlEndpoint, late).m_status == 200U);
  }
  const uint64_t before = RequestsAt(fleet, second);
  for (size_t i = 0; i < 50; ++i) {
    const std::string id = "late-" + std::to_string(i);
    Send(fleet.At(i % 2).m_callerEndpoint, MakeRequest("/safe/1", id));
    Sleep(10);
  }
  BOOST_TEST(RequestsAt(fleet, second) == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(processes_fail_under_load)

// Guards against a second run, a false "not run" and a response to another
// request when nodes are killed or suspended and the store doesn't respond.
BOOST_AUTO_TEST_CASE(and_every_guarantee_holds)
{
  Fleet fleet;
  fleet.Add("lessons", 4);
  fleet.StartOnPlatform();
  std::atomic<bool> stopping{ false };
  std::array<std::map<std::string, HttpResponse>, 3> responses;
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < responses.size(); ++caller) {
    callers.emplace_back([&, caller]() {
      for (int i = 0; !stopping; ++i) {
        const std::string id =
          "c" + std::to_string(caller) + "-" + std::to_string(i);
        responses[caller][id] =
          Send(fleet.At(caller).m_callerEndpoint, MakePostRequest(id));
        Sleep(5);
      }
    });
  }
  Sleep(500);
  fleet.SendStoreCommand("set?down=1");
  fleet.At(3).m_nodeProcess->Signal(SIGKILL);
  Sleep(700);
  fleet.At(3).m_nodeProcess->Wait();
  fleet.StartNode(fleet.At(3));
  Sleep(1000);
  fleet.SendStoreCommand("set?down=0");
  fleet.At(2).m_nodeProcess->Signal(SIGSTOP);
  Sleep(1500);
  fleet.At(2).m_nodeProcess->Signal(SIGCONT);
  Sleep(1000);
  stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::map<std::string, uint64_t> runs = fleet.RunCounts();
  size_t succeeded = 0;
  for (const auto& callerResponses : responses) {
    for (const auto& [id, response] : callerResponses) {
      BOOST_TEST_CONTEXT("request " << id << " status " << response.m_status)
      {
        BOOST_TEST(runs[id] <= 1U);
        if (response.m_status == 503U) {
          BOOST_TEST(runs[id] == 0U);
        }
        if (response.m_status == 200U) {
          ++succeeded;
          BOOST_TEST(runs[id] == 1U);
          BOOST_TEST(response.m_headers.at("sassafrasquay-attempt-id") == id);
        }
      }
    }
  }
  BOOST_TEST(succeeded > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
