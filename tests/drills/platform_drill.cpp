// The platform's protocol through real processes: a stand-in store, stand-in
// instances that speak the platform's dialect, and nodes.
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
Ask(const std::string& aPath, const std::string& aAttempt)
{
  HttpRequest request;
  request.m_host = "lessons";
  request.m_path = aPath;
  request.m_headers["Sassafrasquay-Attempt-Id"] = aAttempt;
  request.m_headers["Sassafrasquay-Deadline-Ms"] = "2000";
  return request;
}

HttpRequest
PostOnce(const std::string& aAttempt)
{
  HttpRequest request = Ask("/once/pay", aAttempt);
  request.m_method = "POST";
  request.m_body = "pay";
  return request;
}

uint64_t
PositionAt(Fleet& aFleet, const Instance& aInstance)
{
  boost::system::error_code error;
  const boost::json::value status =
    boost::json::parse(aFleet.Get(aInstance.m_control, "/status"), error);
  return error ? 0 : status.at("config_version").to_number<uint64_t>();
}

bool
AllReach(Fleet& aFleet, uint64_t aPosition)
{
  for (int i = 0; i < 200; ++i) {
    bool all = true;
    for (const Instance& instance : aFleet.All()) {
      all = all && PositionAt(aFleet, instance) >= aPosition;
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
  const std::string state = aFleet.Get(aInstance.m_target, "/standin/state");
  return boost::json::parse(state).at("requests").to_number<uint64_t>();
}

// One fleet serves all cases; each takes back its faults.
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

struct FaultEverywhere
{
  std::string m_name;
  uint64_t m_usual;
  FaultEverywhere(std::string aName, uint64_t aValue, uint64_t aUsual = 0)
    : m_name(std::move(aName))
    , m_usual(aUsual)
  {
    Set(aValue);
  }
  ~FaultEverywhere() { Set(m_usual); }
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

// Guards against an answer without the instance's stamp or of another request.
BOOST_AUTO_TEST_CASE(gets_the_instances_answer_through_any_node)
{
  for (size_t i = 0; i < 30; ++i) {
    const std::string id = "read-" + std::to_string(i);
    const HttpReply reply =
      Send(SharedFleet().At(i % 3).m_callers, Ask("/safe/1", id));
    BOOST_TEST(reply.m_whole);
    BOOST_TEST(reply.m_status == 200U);
    BOOST_TEST(reply.m_headers.at("sassafrasquay-server-stamp") == "stamp");
    BOOST_TEST(reply.m_headers.at("sassafrasquay-attempt-id") == id);
    BOOST_TEST(reply.m_body.find("identity=" + id + " ") != std::string::npos);
  }
}

// Guards against an instance that works on when its caller has given up,
// because the body was too large to travel with the head.
BOOST_AUTO_TEST_CASE(with_a_large_body_keeps_its_time_budget)
{
  HttpRequest upload = PostOnce("large");
  upload.m_body.assign(200 * 1024, 'u');
  upload.m_parts = 4;
  upload.m_pause = std::chrono::milliseconds(100);
  BOOST_TEST(Send(SharedFleet().At(0).m_callers, upload).m_status == 200U);
  const Instance& ran = SharedFleet().RanAt("large");
  const auto state =
    boost::json::parse(SharedFleet().Get(ran.m_target, "/standin/state"));
  const std::string stated(state.at("deadline_ms").as_string());
  BOOST_TEST(std::stoi(stated) <= 2000);
}

// Guards against a request without a route that gets anything but 404.
BOOST_AUTO_TEST_CASE(without_a_route_gets_404)
{
  const Endpoint node = SharedFleet().At(0).m_callers;
  BOOST_TEST(Send(node, Ask("/other/1", "a")).m_status == 404U);
  HttpRequest unknown = Ask("/safe/1", "b");
  unknown.m_host = "nowhere";
  BOOST_TEST(Send(node, unknown).m_status == 404U);
}

// Guards against a second answer on a connection that is handed to the next
// request.
BOOST_AUTO_TEST_CASE(never_gets_the_extra_answer_to_an_earlier_one)
{
  const FaultEverywhere fault("extra", 1);
  for (size_t i = 0; i < 30; ++i) {
    const std::string id = "extra-" + std::to_string(i);
    const HttpReply reply =
      Send(SharedFleet().At(0).m_callers, Ask("/safe/1", id));
    BOOST_TEST(reply.m_status == 200U);
    BOOST_TEST(reply.m_headers.at("sassafrasquay-attempt-id") == id);
  }
}

// Guards against "not run" for a request that ran, and against a second run.
BOOST_AUTO_TEST_CASE(that_may_not_repeat_and_loses_its_answer_gets_no_promise)
{
  const FaultEverywhere fault("close", 1);
  const HttpReply reply =
    Send(SharedFleet().At(0).m_callers, PostOnce("lost-1"));
  BOOST_TEST(reply.m_status == 502U);
  BOOST_TEST(SharedFleet().Runs()["lost-1"] == 1U);
}

// Guards against a refusal without the promise, or without a time to return.
BOOST_AUTO_TEST_CASE(that_every_instance_sheds_gets_503_and_did_not_run)
{
  const FaultEverywhere fault("shed", 1);
  const HttpReply reply =
    Send(SharedFleet().At(0).m_callers, PostOnce("shed-1"));
  BOOST_TEST(reply.m_status == 503U);
  BOOST_TEST(reply.m_headers.contains("retry-after"));
  BOOST_TEST(SharedFleet().Runs()["shed-1"] == 0U);
}

// Guards against a failure that another instance could have made good, and
// against an instance's failure that is replaced by one of the node's own.
BOOST_AUTO_TEST_CASE(
  that_may_repeat_is_sent_to_another_instance_after_a_failure)
{
  SharedFleet().SetFault(SharedFleet().At(1), "fail", 500);
  size_t served = 0;
  for (size_t i = 0; i < 12; ++i) {
    const HttpReply reply = Send(SharedFleet().At(0).m_callers,
                                 Ask("/safe/1", "fail-" + std::to_string(i)));
    served += reply.m_status == 200U ? 1 : 0;
    BOOST_TEST((reply.m_status == 200U || reply.m_status == 500U));
  }
  SharedFleet().SetFault(SharedFleet().At(1), "fail", 0);
  BOOST_TEST(served >= 10U); // the budget covers a few repeats
  const FaultEverywhere fault("fail", 500);
  const HttpReply reply =
    Send(SharedFleet().At(0).m_callers, Ask("/safe/1", "fail-all"));
  BOOST_TEST(reply.m_status == 500U);
  BOOST_TEST(reply.m_headers.contains("sassafrasquay-server-stamp"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_operators_state)

// Guards against a change that is missed or undone: a silent store, a history
// that is gone, and a node that starts meanwhile.
BOOST_AUTO_TEST_CASE(is_in_force_everywhere_and_never_goes_back)
{
  Fleet fleet;
  fleet.Add("lessons", 3);
  fleet.StartOnPlatform();
  const Endpoint entry = fleet.At(0).m_callers;
  fleet.PublishRoutes(4000);
  BOOST_TEST(AllReach(fleet, 2));

  // A zone that is to be emptied gets nothing new.
  fleet.TellStore("put?topic=keyed.op&key=evacuate/zone-2", "{}");
  BOOST_TEST(AllReach(fleet, 3));
  Sleep(300);
  const uint64_t before = RequestsAt(fleet, fleet.At(1));
  for (size_t i = 0; i < 40; ++i) {
    const HttpReply reply =
      Send(fleet.At(i % 3).m_callers, Ask("/safe/1", "z-" + std::to_string(i)));
    BOOST_TEST(reply.m_status == 200U);
  }
  BOOST_TEST(RequestsAt(fleet, fleet.At(1)) == before);

  // The store is silent: what is in force stays, and a node that starts takes
  // it from the others.
  fleet.TellStore("set?down=1");
  BOOST_TEST(Send(entry, Ask("/safe/1", "down")).m_status == 200U);
  fleet.At(2).m_nodeProcess->Signal(SIGKILL);
  fleet.At(2).m_nodeProcess->Wait();
  fleet.StartNode(fleet.At(2));
  BOOST_TEST(AllReach(fleet, 3));

  // Its history is gone when it returns.
  fleet.TellStore("drop?topic=keyed.op&key=evacuate/zone-2");
  fleet.PublishRoutes(3000);
  fleet.TellStore("compact");
  fleet.TellStore("set?down=0");
  BOOST_TEST(AllReach(fleet, 5));
  bool used = false;
  // The nearest target is preferred, so the zone's own node sends there first.
  for (int i = 0; i < 3000 && !used; ++i) {
    Send(fleet.At(1).m_callers, Ask("/safe/1", "back-" + std::to_string(i)));
    used = RequestsAt(fleet, fleet.At(1)) > before;
  }
  BOOST_TEST(used);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_that_is_told_to_stop)

// Guards against an instance that is out of use for as long as its node waits
// for callers to leave, and against a request that the stop cuts.
BOOST_AUTO_TEST_CASE(keeps_its_instance_in_use_until_its_callers_have_left)
{
  Fleet fleet;
  fleet.Add("fees", 1);
  fleet.Add("lessons", 1);
  fleet.StartOnPlatform({ "--leave_delay_ms=2500", "--unready_ms=1800" });
  const Instance& second = fleet.At(1);
  second.m_nodeProcess->Signal(SIGTERM);
  Sleep(100);
  BOOST_TEST(fleet.Get(second.m_control, "/-/readyz").find("shutting down") !=
             std::string::npos);
  for (size_t i = 0; second.m_nodeProcess->IsRunning() && i < 500; ++i) {
    const std::string id = "s-" + std::to_string(i);
    const HttpReply reply = Send(fleet.At(0).m_callers, Ask("/safe/1", id));
    BOOST_TEST((reply.m_status == 200U || (i > 40 && reply.m_status == 503U)));
    Sleep(20);
  }
  BOOST_TEST(second.m_nodeProcess->Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_drains)

// Guards against new requests after its leaving was acknowledged.
BOOST_AUTO_TEST_CASE(gets_nothing_new)
{
  Fleet fleet;
  fleet.Add("lessons", 2);
  fleet.StartOnPlatform();
  BOOST_TEST(fleet.Get(fleet.At(1).m_target, "/standin/drain") == "ok");
  Sleep(500);
  // The other node's metrics say so, too.
  const std::string metrics = fleet.Get(fleet.At(0).m_control, "/metrics");
  const std::string gauge = "sassafrasquay_service_targets{service=\"lessons\"";
  BOOST_TEST(metrics.find(gauge + ",state=\"leaving\"} 1") !=
             std::string::npos);
  const uint64_t before = RequestsAt(fleet, fleet.At(1));
  for (size_t i = 0; i < 40; ++i) {
    const HttpReply reply =
      Send(fleet.At(i % 2).m_callers, Ask("/safe/1", "d-" + std::to_string(i)));
    BOOST_TEST(reply.m_status == 200U);
  }
  BOOST_TEST(RequestsAt(fleet, fleet.At(1)) == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_leaves)

BOOST_AUTO_TEST_SUITE(while_its_node_has_just_started)

namespace {

// A fleet of two; the second node has started again, and its instance, which
// sends no reports, answers its health after a delay.
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

  // True once the second node says that its instance has left.
  bool Leave()
  {
    for (int i = 0; i < 200; ++i) {
      if (m_fleet.Get(m_fleet.At(1).m_target, "/standin/leave") == "ok") {
        return true;
      }
      Sleep(20);
    }
    return false;
  }

  // Runs at the second instance of requests sent through both nodes.
  uint64_t RunsAfterwards()
  {
    const uint64_t before = RequestsAt(m_fleet, m_fleet.At(1));
    for (size_t i = 0; i < 100; ++i) {
      const std::string id = "l-" + std::to_string(i);
      Send(m_fleet.At(i % 2).m_callers, Ask("/safe/1", id));
      Sleep(20);
    }
    return RequestsAt(m_fleet, m_fleet.At(1)) - before;
  }
};

} // namespace

// Guards against an acknowledged leave that is dropped because the node knows
// the instance by its health only.
BOOST_AUTO_TEST_CASE(and_knows_it_by_its_health_gets_nothing_new)
{
  RestartedNode restarted(Duration::zero());
  const Instance& second = restarted.m_fleet.At(1);
  restarted.m_fleet.WaitUntilListed(second, second);
  BOOST_TEST(restarted.Leave());
  BOOST_TEST(restarted.RunsAfterwards() == 0U);
}

// Guards against a health answer that brings back an instance that said it
// leaves before the node knew it.
BOOST_AUTO_TEST_CASE(and_does_not_know_it_yet_gets_nothing_new)
{
  RestartedNode restarted(std::chrono::milliseconds(400));
  BOOST_TEST(restarted.Leave());
  BOOST_TEST(restarted.RunsAfterwards() == 0U);
}

// Guards against a late report that brings back an instance whose leaving the
// process of the node before has acknowledged.
BOOST_AUTO_TEST_CASE(and_hears_late_word_of_it_gets_nothing_new)
{
  Fleet fleet;
  fleet.Add("lessons", 2);
  fleet.StartOnPlatform();
  Instance& second = fleet.At(1);
  BOOST_TEST(fleet.Get(second.m_target, "/standin/leave") == "ok");
  second.m_nodeProcess->Signal(SIGKILL);
  second.m_nodeProcess->Wait();
  fleet.StartNode(second);
  fleet.WaitUntilServing(second, "lessons"); // through the first node
  Sleep(300);                                // it has asked for the health
  HttpRequest late;
  late.m_method = "PUT";
  late.m_path = "/-/instances/i-" + second.m_node;
  late.m_host = "node";
  late.m_body =
    R"({"address":")" + ToString(second.m_target) +
    R"(","born":1000,"info":{"service":"lessons","version":"v1","zone":"z",)" +
    R"("slots":6},"status":{"state":"ready","sequence":1,"coldLeftMs":0}})";
  BOOST_TEST(Send(second.m_control, late).m_status == 200U);
  const uint64_t before = RequestsAt(fleet, second);
  for (size_t i = 0; i < 50; ++i) {
    const std::string id = "late-" + std::to_string(i);
    Send(fleet.At(i % 2).m_callers, Ask("/safe/1", id));
    Sleep(10);
  }
  BOOST_TEST(RequestsAt(fleet, second) == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(processes_fail_under_load)

// Guards against a second run, a false promise and a mixed-up answer when
// instances and nodes are killed, and the store is away.
BOOST_AUTO_TEST_CASE(and_every_promise_holds)
{
  Fleet fleet;
  fleet.Add("lessons", 4);
  fleet.StartOnPlatform();
  std::atomic<bool> stopping{ false };
  std::array<std::map<std::string, HttpReply>, 3> told;
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < told.size(); ++caller) {
    callers.emplace_back([&, caller]() {
      for (int i = 0; !stopping; ++i) {
        const std::string id =
          "c" + std::to_string(caller) + "-" + std::to_string(i);
        told[caller][id] = Send(fleet.At(caller).m_callers, PostOnce(id));
        Sleep(5);
      }
    });
  }
  Sleep(500);
  fleet.TellStore("set?down=1");
  fleet.At(3).m_nodeProcess->Signal(SIGKILL);
  Sleep(700);
  fleet.At(3).m_nodeProcess->Wait();
  fleet.StartNode(fleet.At(3));
  Sleep(1000);
  fleet.TellStore("set?down=0");
  fleet.At(2).m_nodeProcess->Signal(SIGSTOP);
  Sleep(1500);
  fleet.At(2).m_nodeProcess->Signal(SIGCONT);
  Sleep(1000);
  stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::map<std::string, uint64_t> runs = fleet.Runs();
  size_t answered = 0;
  for (const auto& replies : told) {
    for (const auto& [id, reply] : replies) {
      BOOST_TEST_CONTEXT("request " << id << " status " << reply.m_status)
      {
        BOOST_TEST(runs[id] <= 1U);
        if (reply.m_status == 503U) {
          BOOST_TEST(runs[id] == 0U);
        }
        if (reply.m_status == 200U) {
          ++answered;
          BOOST_TEST(runs[id] == 1U);
          BOOST_TEST(reply.m_headers.at("sassafrasquay-attempt-id") == id);
        }
      }
    }
  }
  BOOST_TEST(answered > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
