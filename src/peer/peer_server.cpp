// Accepting side: one coroutine for each link from another node.
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

// Added to the idle timeout, so that the connecting side closes an idle link
// first.
constexpr Duration kIdleMargin = std::chrono::seconds(30);
// Exceeds the transit time of a frame between two nodes.
constexpr Duration kClosingTimeout = std::chrono::milliseconds(300);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

// Passes body chunks from WatchLink to the gateway, one at a time, so that a
// slow target applies back pressure to the sender.
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
    m_chunkRequested = true;
    m_changed.Notify();
    while (!m_hasChunk && !m_error) {
      co_await m_changed.Wait();
    }
    if (m_error) {
      co_return BodyChunk{ m_error, {}, false };
    }
    m_hasChunk = false;
    co_return BodyChunk{ {}, m_chunk.m_bytes, m_chunk.m_last };
  }

  // Waits until the previous chunk has been consumed.
  asio::awaitable<void> Put(BodyChunkFrame aChunk)
  {
    while (!m_chunkRequested) {
      co_await m_changed.Wait();
    }
    m_chunkRequested = false;
    m_complete = aChunk.m_last;
    m_chunk = std::move(aChunk);
    m_hasChunk = true;
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
  BodyChunkFrame m_chunk;
  std::error_code m_error;
  bool m_hasChunk = false;       // m_chunk has not been read yet
  bool m_chunkRequested = false; // Read waits for the next chunk
  bool m_complete;               // the last chunk has been received
};

// Sends the response as frames. The head is sent with the first body chunk.
class PeerResponseSink : public ResponseSink
{
public:
  PeerResponseSink(Link& aLink, const CallId& aCall)
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
    m_link.Queue(m_call, ResponseChunkFrame{ std::string(aBytes), aLast });
    if (aLast) {
      co_return std::error_code(); // sent with the CallResultFrame
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
    return m_settings.m_grantsTokens
             ? std::vector<std::string>{ "gateway", "account_limits" }
             : std::vector<std::string>{ "gateway" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  void BeginStop() override;
  asio::awaitable<void> Stop() override;

private:
  asio::awaitable<void> AcceptLinks();
  asio::awaitable<void> CloseIdleLinks();
  asio::awaitable<void> ServeLink(std::shared_ptr<Link> aLink);
  asio::awaitable<bool> ServeFrame(Link& aLink, PeerFrame& aFrame);
  asio::awaitable<bool> ServeCall(Link& aLink, const RequestHead& aHead);
  asio::awaitable<bool> ServeQuery(Link& aLink, PeerFrame& aFrame);
  Duration AgeOnArrival(const Link& aLink, Duration aReportedAge) const;
  asio::awaitable<void> WatchLink(Link& aLink,
                                  const RequestHead& aHead,
                                  PeerBodySource& aBody);
  asio::awaitable<CallResult> RunCall(const RequestHead& aHead,
                                      PeerBodySource& aBody,
                                      PeerResponseSink& aResponse,
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
  std::shared_ptr<CallResolver> m_resolver;
  std::shared_ptr<PublishedConfigSource> m_configSource;
  std::shared_ptr<TokenSource> m_tokens; // null: requests for tokens are errors
  std::shared_ptr<RolloutPeer> m_rollouts; // likewise
  std::unique_ptr<tcp::acceptor> m_acceptor;
  // Notified when a link ends and when the idle links have been closed.
  std::unique_ptr<Event> m_linkEnded;
  std::set<std::shared_ptr<Link>> m_idleLinks;
  size_t m_linkCount = 0;
  bool m_stopping = false;
  bool m_closingIdleLinks = false;
};

asio::awaitable<void>
PeerServerService::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_logger = aKernel.Find<Logger>("logger");
  m_gateway = aKernel.Find<CallHandler>("gateway");
  m_resolver = aKernel.Find<CallResolver>("gateway");
  m_configSource = aKernel.Find<PublishedConfigSource>("operator_state");
  if (m_settings.m_grantsTokens) {
    m_tokens = aKernel.Find<TokenSource>("account_limits");
  }
  if (m_settings.m_hasRollouts) {
    m_rollouts = aKernel.Find<RolloutPeer>("rollouts");
  }
  m_linkEnded = std::make_unique<Event>(m_executor);
  const auto address = asio::ip::make_address(m_settings.m_listen.m_address);
  m_acceptor = std::make_unique<tcp::acceptor>(
    m_executor, tcp::endpoint(address, m_settings.m_listen.m_port));
  asio::co_spawn(m_executor, AcceptLinks(), asio::detached);
  co_return;
}

// Services that stop before this one may wait for slow requests of callers. A
// call that was accepted meanwhile could be cut at the limit of the shutdown.
void
PeerServerService::BeginStop()
{
  m_stopping = true;
  boost::system::error_code ignored;
  m_acceptor->close(ignored);
  m_closingIdleLinks = true;
  asio::co_spawn(m_executor, CloseIdleLinks(), asio::detached);
}

asio::awaitable<void>
PeerServerService::Stop()
{
  while (m_closingIdleLinks || m_linkCount > 0) {
    co_await m_linkEnded->Wait();
  }
}

asio::awaitable<void>
PeerServerService::CloseIdleLinks()
{
  // A copy, because links that their peer closes are removed from the set.
  const auto idle = m_idleLinks;
  for (const auto& link : idle) {
    co_await link->Send(CallId(), ClosingFrame{});
  }
  // Waits for frames in transit on the idle links; they are rejected. A busy
  // link sends its own ClosingFrame when its call ends.
  const TimePoint deadline = m_clock->Now() + kClosingTimeout;
  while (!m_idleLinks.empty() && m_clock->Now() < deadline) {
    co_await m_linkEnded->WaitFor(deadline - m_clock->Now());
  }
  for (const auto& link : m_idleLinks) {
    link->Close();
  }
  m_closingIdleLinks = false;
  m_linkEnded->Notify();
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
      // For example out of file descriptors: waits until a link closes.
      m_logger->Write(LogLevel::Error,
                      "peer_accept_failed",
                      { { "error", error.message() } });
      co_await m_linkEnded->WaitFor(kAcceptRetryDelay);
    }
  }
}

asio::awaitable<void>
PeerServerService::ServeLink(std::shared_ptr<Link> aLink)
{
  ++m_linkCount;
  const auto error = co_await AcceptHandshake(*aLink, m_settings, *m_random);
  if (error) {
    m_logger->Write(LogLevel::Warning,
                    "peer_handshake_failed",
                    { { "peer", aLink->m_peerHello.m_node.m_value },
                      { "error", error.message() } });
  } else {
    PeerFrame frame;
    bool open = true;
    while (open) {
      if (m_stopping) {
        co_await aLink->Send(CallId(), ClosingFrame{});
      }
      m_idleLinks.insert(aLink);
      const auto closed = co_await aLink->Receive(
        frame,
        m_stopping ? kClosingTimeout
                   : m_settings.m_idleLinkTimeout + kIdleMargin);
      m_idleLinks.erase(aLink);
      // A frame received during the stop was sent before the peer received the
      // ClosingFrame.
      open = !closed && !m_stopping;
      if (open) {
        open = co_await ServeFrame(*aLink, frame);
      }
    }
  }
  aLink->Close();
  --m_linkCount;
  m_linkEnded->Notify();
}

asio::awaitable<bool>
PeerServerService::ServeFrame(Link& aLink, PeerFrame& aFrame)
{
  if (auto* head = std::get_if<RequestHead>(&aFrame.m_content)) {
    head->m_age = AgeOnArrival(aLink, head->m_age);
    const bool open = co_await ServeCall(aLink, *head);
    co_return open;
  }
  if (auto* request = std::get_if<ResolveRequest>(&aFrame.m_content)) {
    request->m_age = AgeOnArrival(aLink, request->m_age);
    FrameContent reply = m_resolver->Resolve(*request);
    const auto error = co_await aLink.Send(aFrame.m_call, std::move(reply));
    co_return !error;
  }
  const bool open = co_await ServeQuery(aLink, aFrame);
  co_return open;
}

// Returns an upper bound of the age. The entry node computes the age and uses
// the link only after it has received this side's last frame, so the time since
// that frame covers every delay in transit.
Duration
PeerServerService::AgeOnArrival(const Link& aLink, Duration aReportedAge) const
{
  return aReportedAge + (m_clock->Now() - aLink.LastWriteStart());
}

asio::awaitable<bool>
PeerServerService::ServeQuery(Link& aLink, PeerFrame& aFrame)
{
  const HelloFrame& asker = aLink.m_peerHello;
  FrameContent response;
  const auto* evidence = std::get_if<RolloutEvidenceRequest>(&aFrame.m_content);
  const auto* decision = std::get_if<RolloutDecisionFrame>(&aFrame.m_content);
  const auto* tokens = std::get_if<TokenRequest>(&aFrame.m_content);
  if (tokens != nullptr && m_tokens) {
    response = m_tokens->Grant(asker.m_node, asker.m_incarnation, *tokens);
  } else if (evidence != nullptr && m_rollouts) {
    response = m_rollouts->OnEvidenceRequest(*evidence);
  } else if (decision != nullptr && m_rollouts) {
    response = m_rollouts->OnDecisionFrame(*decision);
  } else if (std::holds_alternative<ConfigRequestFrame>(aFrame.m_content)) {
    response = ConfigResponseFrame{ m_configSource->CurrentConfig() };
  } else {
    m_logger->Write(LogLevel::Warning,
                    "peer_frame_unexpected",
                    { { "peer", asker.m_node.m_value } });
    co_return false;
  }
  const auto error = co_await aLink.Send(aFrame.m_call, std::move(response));
  co_return !error;
}

asio::awaitable<bool>
PeerServerService::ServeCall(Link& aLink, const RequestHead& aHead)
{
  PeerBodySource body(m_executor, aHead.m_body.has_value());
  PeerResponseSink response(aLink, aHead.m_call);
  bool done = false;
  const auto winner = co_await (RunCall(aHead, body, response, done) ||
                                SendHeartbeats(aLink, aHead.m_call, done) ||
                                WatchLink(aLink, aHead, body));
  if (winner.index() != 0) {
    co_return false; // the link to the entry node failed; the call is cancelled
  }
  const CallResult& result = std::get<0>(winner);
  CallResultFrame frame;
  frame.m_code = result.m_code;
  frame.m_executed = result.m_executed;
  frame.m_hasLoad = result.m_hasLoad;
  frame.m_load = result.m_load;
  frame.m_retryAfter = result.m_retryAfter;
  const auto error = co_await aLink.Send(aHead.m_call, frame);
  // The body of a refused call is not sent, so its link stays usable.
  const bool inSync = body.IsComplete() || !result.m_admitted;
  co_return !error && inSync;
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
    const bool inSync = !error && frame.m_call == aHead.m_call;
    if (inSync && chunk != nullptr && !aBody.IsComplete()) {
      co_await aBody.Put(std::move(*chunk));
      continue;
    }
    if (aHead.m_idempotent) {
      co_return; // cancels the call; the caller may send it again
    }
    // A non-idempotent call runs to its end, so that its outcome is known. A
    // call that is still queued is withdrawn, because there is no connection
    // left for its response.
    ResolveRequest withdrawal;
    withdrawal.m_call = aHead.m_call;
    withdrawal.m_incarnation = aHead.m_nodeIncarnation;
    withdrawal.m_withdraw = true;
    m_resolver->Resolve(withdrawal);
    if (!aBody.IsComplete()) {
      aBody.Fail(make_error_code(ResultCode::CallerGone));
    }
    Event neverNotified(m_executor);
    co_await neverNotified.Wait();
  }
}

asio::awaitable<CallResult>
PeerServerService::RunCall(const RequestHead& aHead,
                           PeerBodySource& aBody,
                           PeerResponseSink& aResponse,
                           bool& aDone)
{
  CallResult result = co_await m_gateway->Handle(aHead, aBody, aResponse);
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
    // A partly sent heartbeat would make the link unusable for the response.
    co_await reset_cancellation_state(asio::disable_cancellation());
    if (!aLink.IsWriting()) {
      co_await aLink.Send(aCall, HeartbeatFrame{});
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
