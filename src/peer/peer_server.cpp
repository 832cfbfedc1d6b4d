// Accepting side: one coroutine for each link of another node.
#include "logging/logging.h"
#include "peer/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace sassafrasquay {

namespace {

using namespace asio::experimental::awaitable_operators;

// Longer than the connecting side keeps an idle link, so that it closes first.
constexpr Duration kIdleMargin = std::chrono::seconds(30);
// Longer than a frame is on its way between two nodes.
constexpr Duration kClosingTime = std::chrono::milliseconds(300);
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

// Hands body frames from the reading branch to the gateway, one at a time, so
// that a slow target holds back the sender.
class PeerBodySource : public BodySource
{
public:
  PeerBodySource(const asio::any_io_executor& aExecutor, bool aComplete)
    : m_changed(aExecutor)
    , m_complete(aComplete)
  {
  }

  asio::awaitable<BodyChunk> Read() override
  {
    m_taken = true;
    m_changed.Notify();
    while (!m_filled && !m_error) {
      co_await m_changed.Wait();
    }
    if (m_error) {
      co_return BodyChunk{ m_error, {}, false };
    }
    m_filled = false;
    co_return BodyChunk{ {}, m_current.m_bytes, m_current.m_last };
  }

  // Waits until the previous part has been used.
  asio::awaitable<void> Put(BodyChunkFrame aChunk)
  {
    while (!m_taken) {
      co_await m_changed.Wait();
    }
    m_taken = false;
    m_complete = aChunk.m_last;
    m_current = std::move(aChunk);
    m_filled = true;
    m_changed.Notify();
  }

  void Fail(std::error_code aError)
  {
    m_error = aError;
    m_changed.Notify();
  }

  bool IsComplete() const { return m_complete; }

private:
  Event m_changed;
  BodyChunkFrame m_current;
  std::error_code m_error;
  bool m_filled = false; // m_current waits for Read
  bool m_taken = false;  // the reader has asked for the next part
  bool m_complete;       // the last part has arrived
};

// Sends the answer as frames; the head travels with the first bytes.
class PeerAnswerSink : public ResponseSink
{
public:
  PeerAnswerSink(Link& aLink, const CallId& aCall)
    : m_link(aLink)
    , m_call(aCall)
  {
  }

  asio::awaitable<void> Admitted() override
  {
    co_await m_link.Send(m_call, AdmittedFrame{});
  }
  asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) override
  {
    m_link.Queue(m_call, std::move(aHead));
    co_return std::error_code();
  }
  asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                             bool aLast) override
  {
    m_link.Queue(m_call, AnswerChunkFrame{ std::string(aBytes), aLast });
    if (aLast) {
      co_return std::error_code(); // leaves with the final frame
    }
    co_return co_await m_link.Flush();
  }

private:
  Link& m_link;
  CallId m_call;
};

class PeerServerService : public Service
{
public:
  explicit PeerServerService(PeerSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gateway" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;

private:
  asio::awaitable<void> AcceptLinks();
  asio::awaitable<void> ServeLink(std::shared_ptr<Link> aLink);
  asio::awaitable<bool> ServeFrame(Link& aLink, PeerFrame& aFrame);
  asio::awaitable<bool> ServeCall(Link& aLink, const RequestHead& aHead);
  asio::awaitable<bool> ServeQuestion(Link& aLink, PeerFrame& aFrame);
  Duration AgeOf(const Link& aLink, Duration aStated) const;
  asio::awaitable<void> WatchLink(Link& aLink,
                                  const RequestHead& aHead,
                                  PeerBodySource& aBody);
  asio::awaitable<CallResult> RunCall(const RequestHead& aHead,
                                      PeerBodySource& aBody,
                                      PeerAnswerSink& aAnswer,
                                      bool& aDone);
  asio::awaitable<void> SendHeartbeats(Link& aLink,
                                       const CallId& aCall,
                                       const bool& aDone);

  PeerSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<CallHandler> m_gateway;
  std::shared_ptr<CallResolver> m_fates;
  std::shared_ptr<PublishedConfigSource> m_operators;
  std::unique_ptr<tcp::acceptor> m_acceptor;
  std::unique_ptr<Event> m_changed; // a link has ended
  std::set<std::shared_ptr<Link>> m_idle;
  size_t m_links = 0;
  bool m_stopping = false;
};

asio::awaitable<void>
PeerServerService::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_logger = aKernel.Find<Logger>("logger");
  m_gateway = aKernel.Find<CallHandler>("gateway");
  m_fates = aKernel.Find<CallResolver>("gateway");
  m_operators = aKernel.Find<PublishedConfigSource>("operator_state");
  m_changed = std::make_unique<Event>(m_executor);
  const auto address = asio::ip::make_address(m_settings.m_listen.m_address);
  m_acceptor = std::make_unique<tcp::acceptor>(
    m_executor, tcp::endpoint(address, m_settings.m_listen.m_port));
  asio::co_spawn(m_executor, AcceptLinks(), asio::detached);
  co_return;
}

asio::awaitable<void>
PeerServerService::Stop()
{
  m_stopping = true;
  boost::system::error_code ignored;
  m_acceptor->close(ignored);
  const auto idle = m_idle; // a link leaves the set when its peer closes it
  for (const auto& link : idle) {
    co_await link->Send(CallId(), ClosingFrame{});
  }
  // What is on its way on these links meets the frame above. A link that ends
  // a call later says the same for itself.
  const TimePoint limit = m_clock->Now() + kClosingTime;
  while (!m_idle.empty() && m_clock->Now() < limit) {
    co_await m_changed->WaitFor(limit - m_clock->Now());
  }
  for (const auto& link : m_idle) {
    link->Close();
  }
  while (m_links > 0) {
    co_await m_changed->Wait();
  }
}

asio::awaitable<void>
PeerServerService::AcceptLinks()
{
  while (!m_stopping) {
    boost::system::error_code error;
    tcp::socket socket = co_await m_acceptor->async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      auto link = std::make_shared<Link>(std::move(socket), *m_clock);
      asio::co_spawn(m_executor, ServeLink(std::move(link)), asio::detached);
    } else if (!m_stopping) {
      // Out of descriptors, for example: waits for links to end.
      m_logger->Write(LogLevel::Error,
                      "peer_accept_failed",
                      { { "error", error.message() } });
      co_await m_changed->WaitFor(kAcceptPause);
    }
  }
}

asio::awaitable<void>
PeerServerService::ServeLink(std::shared_ptr<Link> aLink)
{
  ++m_links;
  const auto error = co_await AcceptHandshake(*aLink, m_settings, *m_random);
  if (error) {
    m_logger->Write(LogLevel::Warning,
                    "peer_handshake_failed",
                    { { "peer", aLink->m_peer.m_node.m_value },
                      { "error", error.message() } });
  } else {
    PeerFrame frame;
    bool open = true;
    while (open) {
      if (m_stopping) {
        co_await aLink->Send(CallId(), ClosingFrame{});
      }
      m_idle.insert(aLink);
      const auto failed = co_await aLink->Receive(
        frame, m_stopping ? kClosingTime : m_settings.m_idleLink + kIdleMargin);
      m_idle.erase(aLink);
      // A frame that arrives while this side stops has crossed the closing one.
      open = !failed && !m_stopping;
      if (open) {
        open = co_await ServeFrame(*aLink, frame);
      }
    }
  }
  aLink->Close();
  --m_links;
  m_changed->Notify();
}

asio::awaitable<bool>
PeerServerService::ServeFrame(Link& aLink, PeerFrame& aFrame)
{
  if (auto* head = std::get_if<RequestHead>(&aFrame.m_content)) {
    head->m_age = AgeOf(aLink, head->m_age);
    const bool open = co_await ServeCall(aLink, *head);
    co_return open;
  }
  if (auto* request = std::get_if<ResolveRequest>(&aFrame.m_content)) {
    request->m_age = AgeOf(aLink, request->m_age);
    FrameContent reply = m_fates->Resolve(*request);
    const auto error = co_await aLink.Send(aFrame.m_call, std::move(reply));
    co_return !error;
  }
  const bool open = co_await ServeQuestion(aLink, aFrame);
  co_return open;
}

// The entry node took the link after this side's last frame had reached it, so
// the time since then covers everything that delayed the frame on its way.
Duration
PeerServerService::AgeOf(const Link& aLink, Duration aStated) const
{
  return aStated + (m_clock->Now() - aLink.LastSent());
}

asio::awaitable<bool>
PeerServerService::ServeQuestion(Link& aLink, PeerFrame& aFrame)
{
  if (!std::holds_alternative<ConfigRequestFrame>(aFrame.m_content)) {
    m_logger->Write(LogLevel::Warning,
                    "peer_frame_unexpected",
                    { { "peer", aLink.m_peer.m_node.m_value } });
    co_return false;
  }
  FrameContent answer = ConfigResponseFrame{ m_operators->CurrentConfig() };
  const auto error = co_await aLink.Send(aFrame.m_call, std::move(answer));
  co_return !error;
}

asio::awaitable<bool>
PeerServerService::ServeCall(Link& aLink, const RequestHead& aHead)
{
  PeerBodySource body(m_executor, aHead.m_body.has_value());
  PeerAnswerSink answer(aLink, aHead.m_call);
  bool done = false;
  const auto winner = co_await (RunCall(aHead, body, answer, done) ||
                                SendHeartbeats(aLink, aHead.m_call, done) ||
                                WatchLink(aLink, aHead, body));
  if (winner.index() != 0) {
    co_return false; // the entry node is gone and the call was cancelled
  }
  const CallResult& result = std::get<0>(winner);
  EndedFrame ended;
  ended.m_code = result.m_code;
  ended.m_executed = result.m_executed;
  ended.m_hasLoad = result.m_hasLoad;
  ended.m_load = result.m_load;
  const auto error = co_await aLink.Send(aHead.m_call, ended);
  // A refused call sends no body, so its link stays in step.
  const bool inStep = body.IsComplete() || !result.m_admitted;
  co_return !error && inStep;
}

asio::awaitable<void>
PeerServerService::WatchLink(Link& aLink,
                             const RequestHead& aHead,
                             PeerBodySource& aBody)
{
  PeerFrame frame;
  while (true) {
    const auto error = co_await aLink.Receive(frame, Duration::max());
    auto* chunk = std::get_if<BodyChunkFrame>(&frame.m_content);
    const bool inStep = !error && frame.m_call == aHead.m_call;
    if (inStep && chunk != nullptr && !aBody.IsComplete()) {
      co_await aBody.Put(std::move(*chunk));
      continue;
    }
    if (aHead.m_idempotent) {
      co_return; // cancels the call
    }
    // Work that must not repeat runs to its end, so that its fate is known; a
    // call that still waits for a slot is withdrawn, because nobody is left to
    // answer.
    ResolveRequest withdrawal;
    withdrawal.m_call = aHead.m_call;
    withdrawal.m_incarnation = aHead.m_nodeIncarnation;
    withdrawal.m_withdraw = true;
    m_fates->Resolve(withdrawal);
    if (!aBody.IsComplete()) {
      aBody.Fail(make_error_code(ResultCode::CallerGone));
    }
    Event never(m_executor);
    co_await never.Wait();
  }
}

asio::awaitable<CallResult>
PeerServerService::RunCall(const RequestHead& aHead,
                           PeerBodySource& aBody,
                           PeerAnswerSink& aAnswer,
                           bool& aDone)
{
  CallResult result = co_await m_gateway->Handle(aHead, aBody, aAnswer);
  aDone = true;
  co_return result;
}

asio::awaitable<void>
PeerServerService::SendHeartbeats(Link& aLink,
                                  const CallId& aCall,
                                  const bool& aDone)
{
  using asio::this_coro::reset_cancellation_state;
  asio::steady_timer timer(m_executor);
  while (!aDone) {
    co_await reset_cancellation_state(asio::enable_terminal_cancellation());
    timer.expires_after(m_settings.m_heartbeatInterval);
    co_await timer.async_wait(asio::use_awaitable);
    // A heartbeat cut short would spoil the link for the answer.
    co_await reset_cancellation_state(asio::disable_cancellation());
    if (!aLink.IsWriting()) {
      co_await aLink.Send(aCall, WorkingFrame{});
    }
  }
}

} // namespace

std::shared_ptr<Service>
MakePeerServer(PeerSettings aSettings)
{
  return std::make_shared<PeerServerService>(std::move(aSettings));
}

} // namespace sassafrasquay
