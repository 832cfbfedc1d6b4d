// Tests the shutdown of a link between two nodes over real sockets.
#include "peer/link.h"

#include "logging/logging.h"
#include "unit/call_fakes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

// A gateway that counts the calls it receives.
class CountingGateway
  : public Service
  , public CallHandler
  , public CallResolver
  , public PublishedConfigSource
{
public:
  asio::awaitable<void> Start(Kernel& /*aKernel*/) override { co_return; }
  asio::awaitable<void> Stop() override { co_return; }
  asio::awaitable<CallResult> Handle(const RequestHead& /*aHead*/,
                                     BodySource& /*aBody*/,
                                     ResponseSink& /*aResponse*/) override
  {
    ++m_calls;
    co_return CallResult();
  }
  ResolveReply Resolve(const ResolveRequest& /*aRequest*/) override
  {
    return {};
  }
  std::optional<PublishedConfig> CurrentConfig() const override
  {
    return std::nullopt;
  }

  int m_calls = 0;
};

// A service whose Stop does not return before the test allows it, like a front
// end that waits for a slow request of a caller.
class SlowService : public Service
{
public:
  std::vector<std::string> RequiredServices() const override
  {
    return { "peer_server" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override
  {
    m_mayStop = std::make_unique<Event>(aKernel.Executor());
    co_return;
  }
  asio::awaitable<void> Stop() override
  {
    while (!m_released) {
      co_await m_mayStop->Wait();
    }
  }
  void Release()
  {
    m_released = true;
    m_mayStop->Notify();
  }

private:
  std::unique_ptr<Event> m_mayStop;
  bool m_released = false;
};

RequestHead
MakeCall()
{
  RequestHead head;
  head.m_call = { 1, 7 };
  head.m_service = "bookings";
  head.m_method = "POST";
  head.m_path = "/once/1";
  head.m_body = "pay";
  head.m_remaining = 1s;
  return head;
}

// Returns a port that is not in use at this moment.
uint16_t
FreePort(asio::io_context& aContext)
{
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  return tcp::acceptor(aContext, any).local_endpoint().port();
}

struct PeerFixture
{
  asio::io_context m_context{ 1 };
  Kernel m_kernel{ m_context.get_executor() };
  std::shared_ptr<SystemClock> m_clock = std::make_shared<SystemClock>();
  std::shared_ptr<SeededRandom> m_random = std::make_shared<SeededRandom>(1);
  std::shared_ptr<CountingGateway> m_gateway =
    std::make_shared<CountingGateway>();
  PeerSettings m_settings;

  PeerFixture()
  {
    m_settings.m_node = { "b" };
    m_settings.m_incarnation = 2;
    m_settings.m_key = "unit-test-key-0123456789";
    m_settings.m_listen = { "127.0.0.1", FreePort(m_context) };
    m_kernel.Add("clock", m_clock);
    m_kernel.Add("random", m_random);
    m_kernel.Add("logger", MakeLogger({}, *m_random, *m_clock));
    m_kernel.Add("gateway", m_gateway);
    m_kernel.Add("operator_state", m_gateway);
  }

  template<class Scenario>
  void Run(Scenario aScenario)
  {
    std::exception_ptr failed;
    asio::co_spawn(
      m_context, aScenario(), [&failed](const std::exception_ptr& aError) {
        failed = aError;
      });
    m_context.run();
    if (failed) {
      std::rethrow_exception(failed);
    }
  }

  // Opens a link to a server and stops the server after aIdleTime. Sends a call
  // when the stop begins, before it reads the server's ClosingFrame. The
  // AuthenticateFrame is sent together with the call, so the server is still in
  // the handshake when it stops.
  asio::awaitable<void> SendCallDuringStop(Duration aIdleTime)
  {
    const auto server = MakePeerServer(m_settings);
    m_kernel.Add("peer_server", server);
    co_await m_kernel.StartAll();
    tcp::socket socket(m_context);
    const auto address = asio::ip::make_address(m_settings.m_listen.m_address);
    co_await socket.async_connect(
      tcp::endpoint(address, m_settings.m_listen.m_port), asio::use_awaitable);
    Link link(std::move(socket), *m_clock);
    PeerSettings clientSettings = m_settings;
    clientSettings.m_node = { "a" };
    const auto handshakeError =
      co_await ConnectHandshake(link, clientSettings, *m_random);
    BOOST_TEST(!handshakeError);
    asio::steady_timer timer(m_context, aIdleTime);
    co_await timer.async_wait(asio::use_awaitable);

    asio::co_spawn(m_context, m_kernel.StopAll(), asio::detached);
    RequestHead head = MakeCall();
    const auto sendError = co_await link.Send(CallId{ 1, 7 }, std::move(head));
    BOOST_TEST(!sendError);
    PeerFrame frame;
    const auto error = co_await link.Receive(frame, 2s);
    BOOST_TEST(!error);
    BOOST_TEST(std::holds_alternative<ClosingFrame>(frame.m_content));
    link.Close();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_link_between_nodes, PeerFixture)

BOOST_AUTO_TEST_SUITE(whose_accepting_side_stops)

// Guards against a call that is started, or gets no ClosingFrame, when the
// server stops on a link that has been unused for some time.
BOOST_AUTO_TEST_CASE(rejects_a_call_on_an_unused_link)
{
  Run([this]() { return SendCallDuringStop(50ms); });
  BOOST_TEST(m_gateway->m_calls == 0);
}

// Guards against the same failure on a link that has just been opened.
BOOST_AUTO_TEST_CASE(rejects_a_call_on_a_new_link)
{
  Run([this]() { return SendCallDuringStop(0ms); });
  BOOST_TEST(m_gateway->m_calls == 0);
}

// Guards against a call that is accepted late in a planned stop, while an
// earlier service waits for a slow request, and is cut at the stop's end.
BOOST_AUTO_TEST_CASE(rejects_a_call_while_another_service_still_stops)
{
  const auto slow = std::make_shared<SlowService>();
  m_kernel.Add("slow", slow);
  Run([this, slow]() -> asio::awaitable<void> {
    co_await SendCallDuringStop(50ms);
    slow->Release();
  });
  BOOST_TEST(m_gateway->m_calls == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_connecting_side_has_just_sent_a_call)

// Guards against the result "maybe executed" for a call that was certainly not
// executed: the call could then not be retried at another node.
BOOST_AUTO_TEST_CASE(treats_a_closing_frame_as_proof_of_no_execution)
{
  CallResult result;
  Run([&]() -> asio::awaitable<void> {
    const auto client = MakePeerClient(m_settings);
    m_kernel.Add("peer_client", client);
    co_await m_kernel.StartAll();
    const tcp::endpoint listen(
      asio::ip::make_address(m_settings.m_listen.m_address),
      m_settings.m_listen.m_port);
    tcp::acceptor acceptor(m_context, listen);
    asio::co_spawn(
      m_context,
      [&]() -> asio::awaitable<void> {
        tcp::socket socket =
          co_await acceptor.async_accept(asio::use_awaitable);
        Link link(std::move(socket), *m_clock);
        const auto handshakeError =
          co_await AcceptHandshake(link, m_settings, *m_random);
        BOOST_TEST(!handshakeError);
        co_await link.Send(CallId(), ClosingFrame{});
        PeerFrame frame;
        co_await link.Receive(frame, 2s);
        link.Close();
      },
      asio::detached);
    EmptyBody body;
    DiscardingSink sink;
    const RequestHead head = MakeCall();
    const auto peers = m_kernel.Find<PeerClient>("peer_client");
    result = co_await peers->Call(m_settings.m_listen, head, body, sink);
    co_await m_kernel.StopAll();
  });
  BOOST_CHECK(result.m_code == ResultCode::NodeStopping);
  BOOST_CHECK(result.m_executed == Executed::No);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
