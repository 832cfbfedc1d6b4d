// Tests for identifiers, the result table and the kernel.
#include "core/core.h"
#include "kernel/kernel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace sassafrasquay;

BOOST_AUTO_TEST_SUITE(core)

BOOST_AUTO_TEST_SUITE(identities)

// Guards against a call id that changes when it is formatted and parsed.
BOOST_AUTO_TEST_CASE(a_call_id_round_trips_through_text)
{
  const CallId id{ 0x0123456789ABCDEF, 42 };
  CallId parsed;
  BOOST_TEST(ParseCallId(ToString(id), parsed));
  BOOST_CHECK(parsed == id);
  BOOST_TEST(!ParseCallId("0123", parsed));
}

// Guards against accepting an endpoint whose port is missing or out of range.
BOOST_AUTO_TEST_CASE(an_endpoint_needs_address_and_port)
{
  Endpoint endpoint;
  BOOST_TEST(ParseEndpoint("[::1]:8080", endpoint));
  BOOST_TEST(ToString(endpoint) == "[::1]:8080");
  BOOST_TEST(!ParseEndpoint("127.0.0.1", endpoint));
  BOOST_TEST(!ParseEndpoint("127.0.0.1:", endpoint));
  BOOST_TEST(!ParseEndpoint("127.0.0.1:70000", endpoint));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(results)

// Guards against a documentation page that differs from the result table.
BOOST_AUTO_TEST_CASE(the_documentation_page_shows_the_result_table)
{
  std::ifstream file(SQ_SOURCE_DIR "/docs/result-codes.md");
  std::stringstream page;
  page << file.rdbuf();
  BOOST_TEST(page.str().find(ResultTableMarkdown()) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(kernel)

struct Recorder : Service
{
  std::vector<std::string> m_required;
  std::string m_label;
  std::vector<std::string>* m_history = nullptr;

  std::vector<std::string> RequiredServices() const override
  {
    return m_required;
  }
  asio::awaitable<void> Start(Kernel&) override
  {
    m_history->push_back("+" + m_label);
    co_return;
  }
  void BeginStop() override { m_history->push_back("~" + m_label); }
  asio::awaitable<void> Stop() override
  {
    m_history->push_back("-" + m_label);
    co_return;
  }
};

std::shared_ptr<Recorder>
MakeRecorder(std::string aLabel,
             std::vector<std::string> aRequired,
             std::vector<std::string>& aHistory)
{
  auto recorder = std::make_shared<Recorder>();
  recorder->m_label = std::move(aLabel);
  recorder->m_required = std::move(aRequired);
  recorder->m_history = &aHistory;
  return recorder;
}

// Guards against a service that starts before the services it requires, and
// against one that still accepts work while another one is being stopped.
BOOST_AUTO_TEST_CASE(services_start_after_those_they_require)
{
  asio::io_context context;
  Kernel kernel(context.get_executor());
  std::vector<std::string> history;
  kernel.Add("a", MakeRecorder("a", { "c" }, history));
  kernel.Add("b", MakeRecorder("b", {}, history));
  kernel.Add("c", MakeRecorder("c", { "b" }, history));
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      co_await kernel.StartAll();
      co_await kernel.StopAll();
    },
    asio::detached);
  context.run();
  const std::vector<std::string> expected{ "+b", "+c", "+a", "~a", "~c",
                                           "~b", "-a", "-c", "-b" };
  BOOST_TEST(history == expected, boost::test_tools::per_element());
}

// Guards against a lookup that returns a component without the requested
// interface.
BOOST_AUTO_TEST_CASE(a_lookup_checks_name_and_interface)
{
  asio::io_context context;
  Kernel kernel(context.get_executor());
  kernel.Add("clock", std::make_shared<SystemClock>());
  BOOST_CHECK_NO_THROW(kernel.Find<Clock>("clock"));
  BOOST_CHECK_THROW(kernel.Find<Random>("clock"), KernelError);
  BOOST_CHECK_THROW(kernel.Find<Clock>("time"), KernelError);
}

// Guards against a lost wake-up and against a wait that ignores its timeout.
BOOST_AUTO_TEST_CASE(an_event_wakes_waiters_and_times_out)
{
  asio::io_context context;
  Event event(context.get_executor());
  bool notified = false;
  bool timedOut = false;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      notified = co_await event.WaitFor(std::chrono::hours(1));
      timedOut = !co_await event.WaitFor(std::chrono::milliseconds(1));
    },
    asio::detached);
  context.poll();
  event.Notify();
  context.run();
  BOOST_TEST(notified);
  BOOST_TEST(timedOut);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
