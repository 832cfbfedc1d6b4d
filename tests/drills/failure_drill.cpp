// Process faults under load: compares the runs at the targets with the
// responses to the callers.
#include "drills/fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace sassafrasquay;
using namespace sassafrasquay::drills;

namespace {

constexpr Duration kSendInterval = std::chrono::milliseconds(10);

struct ObservedResponse
{
  unsigned m_status = 0;
  std::string m_runHeader;
  bool m_complete = false;
  bool m_matchesRequest = false; // the body names this request
};

// Sends non-idempotent requests from four threads, each request once.
class LoadGenerator
{
public:
  LoadGenerator(Fleet& aFleet, std::string aService)
    : m_fleet(aFleet)
    , m_service(std::move(aService))
  {
    for (size_t i = 0; i < 4; ++i) {
      m_threads.emplace_back([this, i]() { SendRequests(i); });
    }
  }
  ~LoadGenerator() { Stop(); }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  std::map<std::string, ObservedResponse> Stop()
  {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return m_responses;
  }

private:
  void SendRequests(size_t aSender)
  {
    for (int i = 0; !m_stopping; ++i) {
      const std::string identity =
        "s" + std::to_string(aSender) + "-" + std::to_string(i);
      HttpRequest request;
      request.m_method = "POST";
      request.m_host = m_service;
      request.m_headers["X-Identity"] = identity;
      request.m_headers["Sassafrasquay-Timeout-Ms"] = "3000";
      request.m_body = identity;
      const size_t entry = aSender % m_fleet.All().size();
      const HttpResponse response =
        Send(m_fleet.At(entry).m_callerEndpoint, request);
      const bool matchesRequest =
        response.m_body.find("identity=" + identity + " ") != std::string::npos;
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_responses[identity] = { response.m_status,
                                response.RunHeader(),
                                response.m_complete,
                                matchesRequest };
      std::this_thread::sleep_for(kSendInterval);
    }
  }

  Fleet& m_fleet;
  std::string m_service;
  std::atomic<bool> m_stopping{ false };
  std::mutex m_mutex;
  std::map<std::string, ObservedResponse> m_responses;
  std::vector<std::thread> m_threads;
};

// Checks that no request runs twice, every "not run" is true, and every success
// is complete and belongs to its request. aCountsIncomplete: the counts of a
// killed target are lost, so a request with a complete response may be missing
// from them.
void
CheckGuarantees(const std::map<std::string, ObservedResponse>& aResponses,
                std::map<std::string, uint64_t> aRuns,
                bool aCountsIncomplete = false)
{
  size_t succeeded = 0;
  for (const auto& [identity, response] : aResponses) {
    const uint64_t runs = aRuns[identity];
    BOOST_TEST_CONTEXT("request " << identity << " status " << response.m_status
                                  << " run " << response.m_runHeader)
    {
      BOOST_TEST(runs <= 1U);
      if (response.m_runHeader == "no") {
        BOOST_TEST(runs == 0U);
      }
      if (response.m_status == 200) {
        ++succeeded;
        BOOST_TEST(response.m_complete);
        BOOST_TEST(response.m_matchesRequest);
        BOOST_TEST((runs == 1U || aCountsIncomplete));
      }
    }
  }
  BOOST_TEST(succeeded > 0U);
  BOOST_TEST_MESSAGE(succeeded << " of " << aResponses.size() << " succeeded");
}

void
Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

HttpRequest
PostTo(const std::string& aService,
       const std::string& aIdentity,
       const std::string& aBody)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_host = aService;
  request.m_headers["X-Identity"] = aIdentity;
  request.m_body = aBody;
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(promises_hold_when_processes_fail)

// Guards against a request that runs twice, or a false "not run", when a target
// is killed with requests in flight.
BOOST_AUTO_TEST_CASE(a_target_is_killed_and_returns)
{
  Fleet fleet;
  fleet.Add("bookings", 3);
  fleet.Start();
  LoadGenerator load(fleet, "bookings");
  Sleep(500);
  fleet.At(1).m_targetProcess->Signal(SIGKILL);
  Sleep(500);
  fleet.StartTarget(fleet.At(1));
  Sleep(1500);
  const auto responses = load.Stop();
  CheckGuarantees(responses, fleet.RunCounts(), true);
}

// Guards against a request that runs twice, or a false "not run", when a node
// is killed: its peer connections close and its call ledger is lost.
BOOST_AUTO_TEST_CASE(a_node_is_killed_and_returns)
{
  Fleet fleet;
  fleet.Add("bookings", 3);
  fleet.Start();
  LoadGenerator load(fleet, "bookings");
  Sleep(500);
  fleet.At(2).m_nodeProcess->Signal(SIGKILL);
  Sleep(500);
  fleet.StartNode(fleet.At(2));
  Sleep(1500);
  const auto responses = load.Stop();
  CheckGuarantees(responses, fleet.RunCounts());
}

// Guards against a call that a suspended node dispatches after its entry node
// has received, or has sent to the caller, the result that it did not run.
BOOST_AUTO_TEST_CASE(a_node_is_suspended_and_resumes)
{
  Fleet fleet;
  fleet.Add("bookings", 3);
  fleet.Start();
  LoadGenerator load(fleet, "bookings");
  Sleep(500);
  fleet.At(1).m_nodeProcess->Signal(SIGSTOP);
  Sleep(6000);
  fleet.At(1).m_nodeProcess->Signal(SIGCONT);
  Sleep(1500);
  const auto responses = load.Stop();
  CheckGuarantees(responses, fleet.RunCounts());
}

// Guards against an entry node that keeps sending calls to a node that shuts
// down until gossip reports it. The responses of that node report it earlier.
BOOST_AUTO_TEST_CASE(responses_report_that_a_node_shuts_down)
{
  Fleet fleet;
  fleet.Add("entry", 1);
  fleet.Add("bookings", 3);
  fleet.Start();
  for (size_t i = 1; i < 4; ++i) {
    fleet.WaitUntilListed(fleet.At(0), fleet.At(i));
  }
  const std::string stoppedTarget =
    "target=" + ToString(fleet.At(1).m_targetEndpoint) + " ";
  fleet.At(1).m_nodeProcess->Signal(SIGTERM);
  Sleep(10);
  int reached = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string identity = "s" + std::to_string(i);
    const HttpRequest request = PostTo("bookings", identity, identity);
    const HttpResponse response = Send(fleet.At(0).m_callerEndpoint, request);
    BOOST_TEST(response.m_status == 200U);
    reached += response.m_body.find(stoppedTarget) != std::string::npos ? 1 : 0;
  }
  BOOST_TEST(reached <= 1);
}

// Guards against a graceful shutdown that interrupts a request: every target
// node is restarted in turn, and the caller of the entry node gets no failure.
BOOST_AUTO_TEST_CASE(every_target_node_is_restarted_in_turn)
{
  Fleet fleet;
  fleet.Add("entry", 1);
  fleet.Add("bookings", 3);
  fleet.Start();
  std::atomic<bool> stopping{ false };
  std::map<std::string, ObservedResponse> responses;
  std::thread caller([&]() {
    for (int i = 0; !stopping; ++i) {
      const std::string identity = "r" + std::to_string(i);
      const HttpRequest request = PostTo("bookings", identity, identity);
      const HttpResponse response = Send(fleet.At(0).m_callerEndpoint, request);
      const bool matchesRequest =
        response.m_body.find("identity=" + identity + " ") != std::string::npos;
      responses[identity] = { response.m_status,
                              response.RunHeader(),
                              response.m_complete,
                              matchesRequest };
    }
  });
  for (size_t i = 1; i < 4; ++i) {
    fleet.At(i).m_nodeProcess->Signal(SIGTERM);
    BOOST_TEST(fleet.At(i).m_nodeProcess->Wait() == 0);
    fleet.StartNode(fleet.At(i));
    fleet.WaitUntilListed(fleet.At(0), fleet.At(i));
  }
  stopping = true;
  caller.join();
  CheckGuarantees(responses, fleet.RunCounts());
  for (const auto& [identity, response] : responses) {
    BOOST_TEST(response.m_status == 200U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_targets)

// Guards against retries of one request that crash every target of its service.
BOOST_AUTO_TEST_CASE(is_rejected_after_a_few_crashes_and_others_are_served)
{
  Fleet fleet;
  fleet.Add("lessons", 3);
  fleet.Start();
  for (const Instance& instance : fleet.All()) {
    fleet.SetFault(instance, "crash_path", 1);
  }
  HttpRequest crashing;
  crashing.m_host = "lessons";
  crashing.m_path = "/crash";
  HttpRequest harmless = crashing;
  harmless.m_path = "/lesson";
  size_t crashes = 0;
  for (int i = 0; i < 12; ++i) {
    Send(fleet.At(static_cast<size_t>(i) % 3).m_callerEndpoint, crashing);
    Sleep(300);
    for (Instance& instance : fleet.All()) {
      if (!instance.m_targetProcess->IsRunning()) {
        ++crashes;
        fleet.StartTarget(instance);
        Sleep(1500);
        fleet.SetFault(instance, "crash_path", 1);
      }
    }
  }
  // Two attempts of one request may both crash a target.
  BOOST_TEST(crashes <= 4U);
  BOOST_TEST(Send(fleet.At(0).m_callerEndpoint, crashing).ResultCode() == 404);
  BOOST_TEST(Send(fleet.At(0).m_callerEndpoint, harmless).m_status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
