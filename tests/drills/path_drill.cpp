// A request through real processes: the contract with callers.
#include "drills/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace sassafrasquay;
using namespace sassafrasquay::drills;

namespace {

// One fleet serves all cases; faults are taken back at the end of each.
Fleet&
SharedFleet()
{
  static const auto fleet = []() {
    auto made = std::make_unique<Fleet>();
    made->Add("catalogue", 3);
    made->Start({ "--max_head_bytes=2048", "--head_timeout_ms=500" });
    return made;
  }();
  return *fleet;
}

HttpRequest
Get(const std::string& aPath)
{
  HttpRequest request;
  request.m_host = "catalogue";
  request.m_path = aPath;
  return request;
}

HttpRequest
Post(const std::string& aIdentity, const std::string& aBody)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_host = "catalogue";
  request.m_headers["X-Identity"] = aIdentity;
  request.m_body = aBody;
  return request;
}

// Sets a fault at every target for the life of the object.
struct FaultEverywhere
{
  std::string m_name;
  FaultEverywhere(std::string aName, uint64_t aValue)
    : m_name(std::move(aName))
  {
    Set(aValue);
  }
  ~FaultEverywhere() { Set(0); }
  void Set(uint64_t aValue) const
  {
    for (const Instance& instance : SharedFleet().All()) {
      SharedFleet().SetFault(instance, m_name, aValue);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_travels_the_whole_path)

BOOST_AUTO_TEST_SUITE(when_all_is_well)

// Guards against an answer that belongs to another request.
BOOST_AUTO_TEST_CASE(any_node_returns_the_answer_to_its_own_request)
{
  for (int i = 0; i < 60; ++i) {
    const Instance& entry = SharedFleet().At(static_cast<size_t>(i) % 3);
    const std::string path = "/page-" + std::to_string(i);
    const HttpReply reply = Send(entry.m_callers, Get(path));
    BOOST_TEST(reply.m_whole);
    BOOST_TEST(reply.m_status == 200U);
    BOOST_TEST(reply.m_body.find("path=" + path + " ") != std::string::npos);
  }
}

// Guards against bodies cut or grown on the way, above and below the size
// that travels with the head.
BOOST_AUTO_TEST_CASE(bodies_of_all_sizes_arrive_whole)
{
  for (const size_t size : { 0UL, 1UL, 65535UL, 65536UL, 65537UL, 5000000UL }) {
    HttpRequest request = Post("upload-" + std::to_string(size), "");
    request.m_body = std::string(size, 'b');
    const HttpReply reply = Send(SharedFleet().At(0).m_callers, request);
    BOOST_TEST(reply.m_status == 200U);
    BOOST_TEST(reply.m_body.find("body=" + std::to_string(size) + "\n") !=
               std::string::npos);
  }
}

// Guards against an answer body mixed into a HEAD answer.
BOOST_AUTO_TEST_CASE(a_head_request_gets_no_body)
{
  HttpRequest request = Get("/head");
  request.m_method = "HEAD";
  const HttpReply reply = Send(SharedFleet().At(1).m_callers, request);
  BOOST_TEST(reply.m_whole);
  BOOST_TEST(reply.m_status == 200U);
  BOOST_TEST(reply.m_body.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_input_is_bad)

// Guards against a crash, a hang or a dispatch caused by invalid requests.
BOOST_AUTO_TEST_CASE(each_fault_gets_its_numbered_code)
{
  const Endpoint node = SharedFleet().At(0).m_callers;
  HttpRequest unknown = Get("/");
  unknown.m_host = "nowhere";
  BOOST_TEST(Send(node, unknown).Result() == 104);
  BOOST_TEST(Send(node, unknown).Run() == "no");

  HttpRequest timeout = Get("/");
  timeout.m_headers["Sassafrasquay-Timeout-Ms"] = "soon";
  BOOST_TEST(Send(node, timeout).Result() == 106);

  HttpRequest large = Get("/");
  large.m_headers["X-Large"] = std::string(4000, 'x');
  BOOST_TEST(Send(node, large).Result() == 102);

  const std::string raw = SendRaw(node, "this is not HTTP\r\n\r\n");
  BOOST_TEST(raw.find("Sassafrasquay-Result: 101") != std::string::npos);
  const std::string noHost = SendRaw(node, "GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(noHost.find("Sassafrasquay-Result: 101") != std::string::npos);
}

// Guards against a slow sender that holds a connection for ever.
BOOST_AUTO_TEST_CASE(a_slow_head_ends_the_connection)
{
  const Endpoint node = SharedFleet().At(0).m_callers;
  const std::string reply = SendRaw(node, "GET / HTTP/1.1\r\nHost: cat");
  BOOST_TEST(reply.find(" 200 ") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_target_misbehaves)

// Guards against a cut answer that looks complete to its caller. One that is
// small enough to be held becomes a failure of the node's own.
BOOST_AUTO_TEST_CASE(a_truncated_answer_never_looks_complete)
{
  const FaultEverywhere fault("truncate", 1);
  const HttpReply small = Send(SharedFleet().At(0).m_callers, Get("/cut"));
  BOOST_TEST(small.m_status == 502U);
  BOOST_TEST(small.Result() == 304);
  const FaultEverywhere large("answer_bytes", 400000);
  const HttpReply reply = Send(SharedFleet().At(0).m_callers, Get("/cut"));
  BOOST_TEST(reply.m_status == 200U);
  BOOST_TEST(!reply.m_whole);
}

// Guards against a refusal that says "not run" after the target ran it.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_reported_as_maybe_and_not_repeated)
{
  const FaultEverywhere fault("close", 1);
  const HttpReply reply =
    Send(SharedFleet().At(0).m_callers, Post("lost-1", "confirm"));
  BOOST_TEST(reply.Run() == "maybe");
  BOOST_TEST(SharedFleet().Runs()["lost-1"] == 1U);
}

// Guards against a shed request that is reported as possibly run.
BOOST_AUTO_TEST_CASE(a_shed_request_is_reported_as_not_run)
{
  const FaultEverywhere fault("shed", 1);
  const HttpReply reply =
    Send(SharedFleet().At(0).m_callers, Post("shed-1", "confirm"));
  BOOST_TEST(reply.Result() == 305);
  BOOST_TEST(reply.Run() == "no");
  BOOST_TEST(SharedFleet().Runs().count("shed-1") == 0U);
}

// Guards against an answer that never comes when the target stays silent.
BOOST_AUTO_TEST_CASE(the_deadline_ends_a_silent_request)
{
  const FaultEverywhere fault("silent", 1);
  HttpRequest request = Post("silent-1", "confirm");
  request.m_headers["Sassafrasquay-Timeout-Ms"] = "300";
  const HttpReply reply = Send(SharedFleet().At(0).m_callers, request);
  BOOST_TEST(reply.Result() == 301);
  BOOST_TEST(reply.Run() == "maybe");
  BOOST_TEST(SharedFleet().Runs()["silent-1"] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_planned_stop_cuts_nothing)

// Guards against a shutdown that cuts an upload in progress, at the entry node
// and at the target's node, and against a second stop that overlaps the first.
BOOST_AUTO_TEST_CASE(an_upload_in_progress_finishes)
{
  Fleet fleet;
  fleet.Add("uploads", 2);
  fleet.Start();
  HttpRequest request;
  request.m_method = "POST";
  request.m_host = "uploads";
  request.m_headers["X-Identity"] = "photo-1";
  request.m_body = std::string(1000000, 'p');
  request.m_parts = 20;
  request.m_pause = std::chrono::milliseconds(100);
  HttpReply reply;
  std::thread caller([&]() { reply = Send(fleet.At(0).m_callers, request); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  fleet.At(0).m_nodeProcess->Signal(SIGTERM);
  fleet.At(1).m_nodeProcess->Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.At(0).m_nodeProcess->Signal(SIGTERM);
  fleet.At(1).m_nodeProcess->Signal(SIGTERM);
  caller.join();
  BOOST_TEST(reply.m_whole);
  BOOST_TEST(reply.m_status == 200U);
  BOOST_TEST(reply.m_body.find("body=1000000\n") != std::string::npos);
  BOOST_TEST(fleet.At(0).m_nodeProcess->Wait() == 0);
  BOOST_TEST(fleet.At(1).m_nodeProcess->Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
