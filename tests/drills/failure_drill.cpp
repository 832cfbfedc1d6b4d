// Faults of processes under load: what ran against what callers were told.
#include "drills/fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace sassafrasquay;
using namespace sassafrasquay::drills;

namespace {

constexpr Duration kPause = std::chrono::milliseconds(10);

struct Told
{
  unsigned m_status = 0;
  std::string m_run;
  bool m_whole = false;
  bool m_own = false; // the answer names this request
};

// Steady load of non-idempotent requests, each sent once.
class Load
{
public:
  Load(Fleet& aFleet, std::string aService)
    : m_fleet(aFleet)
    , m_service(std::move(aService))
  {
    for (size_t i = 0; i < 4; ++i) {
      m_threads.emplace_back([this, i]() { SendRequests(i); });
    }
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  std::map<std::string, Told> Stop()
  {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return m_told;
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
      const HttpReply reply = Send(m_fleet.At(entry).m_callers, request);
      const bool own =
        reply.m_body.find("identity=" + identity + " ") != std::string::npos;
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_told[identity] = { reply.m_status, reply.Run(), reply.m_whole, own };
      std::this_thread::sleep_for(kPause);
    }
  }

  Fleet& m_fleet;
  std::string m_service;
  std::atomic<bool> m_stopping{ false };
  std::mutex m_mutex;
  std::map<std::string, Told> m_told;
  std::vector<std::thread> m_threads;
};

// The oracle: nothing ran twice, every "no" is true, every answer is whole and
// the request's own. aLostCounts: a target took its counts with it, so that a
// request with a whole answer may be missing from the counts.
void
CheckPromises(const std::map<std::string, Told>& aTold,
              std::map<std::string, uint64_t> aRuns,
              bool aLostCounts = false)
{
  size_t answered = 0;
  for (const auto& [identity, told] : aTold) {
    const uint64_t runs = aRuns[identity];
    BOOST_TEST_CONTEXT("request " << identity << " status " << told.m_status
                                  << " run " << told.m_run)
    {
      BOOST_TEST(runs <= 1U);
      if (told.m_run == "no") {
        BOOST_TEST(runs == 0U);
      }
      if (told.m_status == 200) {
        ++answered;
        BOOST_TEST(told.m_whole);
        BOOST_TEST(told.m_own);
        BOOST_TEST((runs == 1U || aLostCounts));
      }
    }
  }
  BOOST_TEST(answered > 0U);
  BOOST_TEST_MESSAGE(answered << " of " << aTold.size() << " answered");
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

// Guards against a request run twice, or a false "not run", when the target
// dies with requests in flight.
BOOST_AUTO_TEST_CASE(a_target_is_killed_and_returns)
{
  Fleet fleet;
  fleet.Add("bookings", 3);
  fleet.Start();
  Load load(fleet, "bookings");
  Sleep(500);
  fleet.At(1).m_targetProcess->Signal(SIGKILL);
  Sleep(500);
  fleet.StartTarget(fleet.At(1));
  Sleep(1500);
  const auto told = load.Stop();
  CheckPromises(told, fleet.Runs(), true);
}

// Guards against the same when a node dies: its links close and its memory of
// dispatched calls is gone.
BOOST_AUTO_TEST_CASE(a_node_is_killed_and_returns)
{
  Fleet fleet;
  fleet.Add("bookings", 3);
  fleet.Start();
  Load load(fleet, "bookings");
  Sleep(500);
  fleet.At(2).m_nodeProcess->Signal(SIGKILL);
  Sleep(500);
  fleet.StartNode(fleet.At(2));
  Sleep(1500);
  const auto told = load.Stop();
  CheckPromises(told, fleet.Runs());
}

// Guards against a call that a paused node dispatches after its entry node was
// told, or has told its caller, that it did not run.
BOOST_AUTO_TEST_CASE(a_node_pauses_and_wakes)
{
  Fleet fleet;
  fleet.Add("bookings", 3);
  fleet.Start();
  Load load(fleet, "bookings");
  Sleep(500);
  fleet.At(1).m_nodeProcess->Signal(SIGSTOP);
  Sleep(6000);
  fleet.At(1).m_nodeProcess->Signal(SIGCONT);
  Sleep(1500);
  const auto told = load.Stop();
  CheckPromises(told, fleet.Runs());
}

// Guards against an entry node that goes on sending work to a node that stops
// until gossip tells it: the answers tell it at once.
BOOST_AUTO_TEST_CASE(answers_tell_that_a_node_stops)
{
  Fleet fleet;
  fleet.Add("entry", 1);
  fleet.Add("bookings", 3);
  fleet.Start();
  for (size_t i = 1; i < 4; ++i) {
    fleet.WaitUntilListed(fleet.At(0), fleet.At(i));
  }
  const std::string stopped = "target=" + ToString(fleet.At(1).m_target) + " ";
  fleet.At(1).m_nodeProcess->Signal(SIGTERM);
  Sleep(10);
  int reached = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string identity = "s" + std::to_string(i);
    const HttpRequest request = PostTo("bookings", identity, identity);
    const HttpReply reply = Send(fleet.At(0).m_callers, request);
    BOOST_TEST(reply.m_status == 200U);
    reached += reply.m_body.find(stopped) != std::string::npos ? 1 : 0;
  }
  BOOST_TEST(reached <= 1);
}

// Guards against a planned stop that cuts a request: every node is replaced in
// turn and no caller of a running node may see a failure.
BOOST_AUTO_TEST_CASE(every_target_node_is_replaced_in_turn)
{
  Fleet fleet;
  fleet.Add("entry", 1);
  fleet.Add("bookings", 3);
  fleet.Start();
  std::atomic<bool> stopping{ false };
  std::map<std::string, Told> told;
  std::thread caller([&]() {
    for (int i = 0; !stopping; ++i) {
      const std::string identity = "r" + std::to_string(i);
      const HttpRequest request = PostTo("bookings", identity, identity);
      const HttpReply reply = Send(fleet.At(0).m_callers, request);
      const bool own =
        reply.m_body.find("identity=" + identity + " ") != std::string::npos;
      told[identity] = { reply.m_status, reply.Run(), reply.m_whole, own };
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
  CheckPromises(told, fleet.Runs());
  for (const auto& [identity, answer] : told) {
    BOOST_TEST(answer.m_status == 200U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_targets)

// Guards against a resent request that takes out every target of its service.
BOOST_AUTO_TEST_CASE(is_refused_after_few_crashes_and_others_are_served)
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
  HttpRequest innocent = crashing;
  innocent.m_path = "/lesson";
  size_t crashes = 0;
  for (int i = 0; i < 12; ++i) {
    Send(fleet.At(static_cast<size_t>(i) % 3).m_callers, crashing);
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
  BOOST_TEST(crashes <= 4U); // two attempts of one request may both crash
  BOOST_TEST(Send(fleet.At(0).m_callers, crashing).Result() == 404);
  BOOST_TEST(Send(fleet.At(0).m_callers, innocent).m_status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
