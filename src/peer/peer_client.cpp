// Connecting side: link pool, calls, resolution of lost calls, and queries.
#include "peer/exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

namespace sassafrasquay {

namespace {

using namespace asio::experimental::awaitable_operators;

constexpr Duration kIdleCheckInterval = std::chrono::seconds(10);

struct IdleLink
{
  std::shared_ptr<Link> m_link;
  TimePoint m_idleSince;
};

class PeerClientService
  : public Service
  , public PeerClient
{
public:
  explicit PeerClientService(PeerSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  asio::awaitable<CallResult> Call(const Endpoint& aPeer,
                                   const RequestHead& aHead,
                                   BodySource& aBody,
                                   ResponseSink& aResponse) override;
  asio::awaitable<std::optional<PeerResponse>> Query(
    const Endpoint& aPeer,
    FrameContent aRequest,
    Duration aTimeout) override;

private:
  std::shared_ptr<Link> TakeIdleLink(const Endpoint& aPeer);
  asio::awaitable<std::error_code> OpenLink(const Endpoint& aPeer,
                                            std::shared_ptr<Link>& aLink);
  void ReturnToPool(const Endpoint& aPeer, std::shared_ptr<Link> aLink);
  asio::awaitable<std::optional<PeerResponse>> QueryOnce(
    const Endpoint& aPeer,
    std::shared_ptr<Link> aLink,
    const FrameContent& aRequest,
    Duration aTimeout);
  asio::awaitable<std::error_code> SendAndReceive(Link& aLink,
                                                  CallId aCall,
                                                  const FrameContent& aRequest,
                                                  FrameContent& aResponse);
  asio::awaitable<void> ResolveLostCall(const Endpoint& aPeer,
                                        const RequestHead& aHead,
                                        uint64_t aIncarnation,
                                        TimePoint aAttemptStart,
                                        TimePoint aDeadline,
                                        CallResult& aResult);
  asio::awaitable<std::optional<ResolveReply>> Resolve(
    const Endpoint& aPeer,
    std::shared_ptr<Link>& aLink,
    const ResolveRequest& aRequest);
  static void ApplyResolveReply(const ResolveReply& aReply,
                                CallResult& aResult);
  asio::awaitable<void> CloseExpiredLinks();

  PeerSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::map<Endpoint, std::vector<IdleLink>> m_idleLinks;
  std::unique_ptr<Event> m_stopped;
  uint64_t m_lastQueryId = 0; // matches responses to queries
};

asio::awaitable<void>
PeerClientService::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_stopped = std::make_unique<Event>(m_executor);
  asio::co_spawn(m_executor, CloseExpiredLinks(), asio::detached);
  co_return;
}

asio::awaitable<void>
PeerClientService::Stop()
{
  m_stopped->Notify();
  m_idleLinks.clear();
  co_return;
}

asio::awaitable<void>
PeerClientService::CloseExpiredLinks()
{
  while (true) {
    const bool stopped = co_await m_stopped->WaitFor(kIdleCheckInterval);
    if (stopped) {
      co_return;
    }
    const TimePoint oldest = m_clock->Now() - m_settings.m_idleLinkTimeout;
    for (auto& [peer, links] : m_idleLinks) {
      std::erase_if(links, [oldest](const IdleLink& aIdle) {
        return aIdle.m_idleSince < oldest || !aIdle.m_link->IsIdleAndOpen();
      });
    }
    std::erase_if(m_idleLinks,
                  [](const auto& aEntry) { return aEntry.second.empty(); });
  }
}

std::shared_ptr<Link>
PeerClientService::TakeIdleLink(const Endpoint& aPeer)
{
  const auto found = m_idleLinks.find(aPeer);
  if (found == m_idleLinks.end()) {
    return nullptr;
  }
  while (!found->second.empty()) {
    std::shared_ptr<Link> link = std::move(found->second.back().m_link);
    found->second.pop_back();
    if (link->IsIdleAndOpen()) {
      return link;
    }
  }
  return nullptr;
}

void
PeerClientService::ReturnToPool(const Endpoint& aPeer,
                                std::shared_ptr<Link> aLink)
{
  auto& links = m_idleLinks[aPeer];
  if (links.size() < m_settings.m_maxIdleLinksPerPeer) {
    links.push_back({ std::move(aLink), m_clock->Now() });
  }
}

asio::awaitable<std::error_code>
PeerClientService::OpenLink(const Endpoint& aPeer, std::shared_ptr<Link>& aLink)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aPeer.m_address, error);
  if (error) {
    co_return error;
  }
  tcp::socket socket(m_executor);
  asio::steady_timer timer(m_executor);
  timer.expires_after(m_settings.m_connectTimeout);
  const auto winner = co_await (
    socket.async_connect(tcp::endpoint(address, aPeer.m_port),
                         asio::redirect_error(asio::use_awaitable, error)) ||
    timer.async_wait(asio::use_awaitable));
  if (winner.index() == 1) {
    co_return std::make_error_code(std::errc::timed_out);
  }
  if (error) {
    co_return error;
  }
  auto link = std::make_shared<Link>(std::move(socket), *m_clock);
  const auto handshakeError =
    co_await ConnectHandshake(*link, m_settings, *m_random);
  if (!handshakeError) {
    aLink = std::move(link);
  }
  co_return handshakeError;
}

asio::awaitable<CallResult>
PeerClientService::Call(const Endpoint& aPeer,
                        const RequestHead& aHead,
                        BodySource& aBody,
                        ResponseSink& aResponse)
{
  CallResult result;
  const TimePoint started = m_clock->Now();
  const TimePoint attemptStart = started - aHead.m_age;
  std::shared_ptr<Link> link = TakeIdleLink(aPeer);
  if (!link) {
    const auto error = co_await OpenLink(aPeer, link);
    if (error) {
      // The request was not sent, so it cannot have been executed.
      const bool isResultCode = error.category() == ResultCategory();
      result.m_code = isResultCode ? static_cast<ResultCode>(error.value())
                                   : ResultCode::TargetUnreachable;
      result.m_executed = Executed::No;
      co_return result;
    }
  }
  Exchange exchange(*link,
                    aHead,
                    aBody,
                    aResponse,
                    attemptStart,
                    m_settings,
                    *m_clock,
                    m_executor);
  result = co_await exchange.Run();
  if (exchange.IsLinkReusable()) {
    ReturnToPool(aPeer, std::move(link));
    co_return result;
  }
  link->Close();
  if (exchange.IsOutcomeUnknown()) {
    co_await ResolveLostCall(aPeer,
                             aHead,
                             link->m_peerHello.m_incarnation,
                             attemptStart,
                             started + aHead.m_remaining,
                             result);
  }
  co_return result;
}

//-----------------------------------------------------------------------------
// Resolution of lost calls
//-----------------------------------------------------------------------------

// Finds out whether a call whose link failed was executed.
asio::awaitable<void>
PeerClientService::ResolveLostCall(const Endpoint& aPeer,
                                   const RequestHead& aHead,
                                   uint64_t aIncarnation,
                                   TimePoint aAttemptStart,
                                   TimePoint aDeadline,
                                   CallResult& aResult)
{
  if (aHead.m_idempotent) {
    // An idempotent call may be executed again. The new link only shows whether
    // the old link or the node failed.
    std::shared_ptr<Link> link;
    const std::error_code error = co_await OpenLink(aPeer, link);
    aResult.m_linkFailed = !error;
    if (!error) {
      ReturnToPool(aPeer, std::move(link));
    }
    co_return;
  }
  asio::steady_timer timer(m_executor);
  std::shared_ptr<Link> link; // not from the pool: those may be stale as well
  Duration delay = m_settings.m_firstResolveDelay;
  while (true) {
    ResolveRequest request;
    request.m_call = aHead.m_call;
    request.m_incarnation = aIncarnation;
    request.m_age = m_clock->Now() - aAttemptStart;
    request.m_withdraw = true;
    const bool isNewLink = !link;
    const std::optional<ResolveReply> reply =
      co_await Resolve(aPeer, link, request);
    if (!reply && isNewLink) {
      co_return;
    }
    if (!reply) {
      link.reset(); // failed after an earlier reply; try a new link
      continue;
    }
    ApplyResolveReply(*reply, aResult);
    if (reply->m_state != CallState::Running) {
      break;
    }
    const Duration left = aDeadline - m_clock->Now();
    if (left <= Duration::zero()) {
      aResult.m_code = ResultCode::DeadlineExceeded;
      break;
    }
    timer.expires_after(std::min(delay, left));
    co_await timer.async_wait(asio::use_awaitable);
    delay = std::min(2 * delay, m_settings.m_heartbeatInterval);
  }
  ReturnToPool(aPeer, std::move(link));
}

void
PeerClientService::ApplyResolveReply(const ResolveReply& aReply,
                                     CallResult& aResult)
{
  // A node that can resolve the call is running, so the link failed and not the
  // target.
  aResult.m_linkFailed = aReply.m_state != CallState::Unknown;
  aResult.m_executed = Executed::Maybe;
  if (ProvesNotRun(aReply.m_state)) {
    aResult.m_executed = Executed::No;
  } else if (aReply.m_state == CallState::Completed) {
    aResult.m_executed = Executed::Yes;
  }
  if (aReply.m_state == CallState::Refused && !aReply.m_withdrawn) {
    aResult.m_code = aReply.m_code;
  }
}

// Opens aLink when it is empty. Returns nullopt when no reply arrives on it.
asio::awaitable<std::optional<ResolveReply>>
PeerClientService::Resolve(const Endpoint& aPeer,
                           std::shared_ptr<Link>& aLink,
                           const ResolveRequest& aRequest)
{
  std::error_code error;
  if (!aLink) {
    error = co_await OpenLink(aPeer, aLink);
  }
  if (error) {
    co_return std::nullopt;
  }
  FrameContent content = aRequest;
  error = co_await aLink->Send(aRequest.m_call, std::move(content));
  PeerFrame frame;
  if (!error) {
    error = co_await aLink->Receive(frame, m_settings.m_handshakeTimeout);
  }
  auto* reply = std::get_if<ResolveReply>(&frame.m_content);
  if (error || reply == nullptr || frame.m_call != aRequest.m_call) {
    co_return std::nullopt;
  }
  co_return *reply;
}

//-----------------------------------------------------------------------------
// Queries
//-----------------------------------------------------------------------------

asio::awaitable<std::optional<PeerResponse>>
PeerClientService::Query(const Endpoint& aPeer,
                         FrameContent aRequest,
                         Duration aTimeout)
{
  std::optional<PeerResponse> response;
  std::shared_ptr<Link> link = TakeIdleLink(aPeer);
  if (link) {
    response = co_await QueryOnce(aPeer, std::move(link), aRequest, aTimeout);
  }
  if (response) {
    co_return response;
  }
  const std::error_code error = co_await OpenLink(aPeer, link);
  if (error) {
    co_return std::nullopt;
  }
  response = co_await QueryOnce(aPeer, std::move(link), aRequest, aTimeout);
  co_return response;
}

asio::awaitable<std::optional<PeerResponse>>
PeerClientService::QueryOnce(const Endpoint& aPeer,
                             std::shared_ptr<Link> aLink,
                             const FrameContent& aRequest,
                             Duration aTimeout)
{
  PeerResponse response;
  const HelloFrame& hello = aLink->m_peerHello;
  response.m_sender = NodeInstance{ hello.m_node, hello.m_incarnation };
  CallId queryId{ 0, ++m_lastQueryId };
  if (const auto* resolve = std::get_if<ResolveRequest>(&aRequest)) {
    queryId = resolve->m_call; // a resolve frame has the id of its call
  }
  asio::steady_timer timer(m_executor);
  timer.expires_after(aTimeout);
  const auto winner =
    co_await (SendAndReceive(*aLink, queryId, aRequest, response.m_content) ||
              timer.async_wait(asio::use_awaitable));
  if (winner.index() == 1 || std::get<0>(winner)) {
    aLink->Close();
    co_return std::nullopt;
  }
  ReturnToPool(aPeer, std::move(aLink));
  co_return response;
}

asio::awaitable<std::error_code>
PeerClientService::SendAndReceive(Link& aLink,
                                  CallId aCall,
                                  const FrameContent& aRequest,
                                  FrameContent& aResponse)
{
  FrameContent content = aRequest;
  std::error_code error = co_await aLink.Send(aCall, std::move(content));
  if (error) {
    co_return error;
  }
  PeerFrame frame;
  error = co_await aLink.Receive(frame, Duration::max());
  if (error) {
    co_return error;
  }
  if (frame.m_call != aCall) {
    co_return ResultCode::MalformedFrame;
  }
  aResponse = std::move(frame.m_content);
  co_return std::error_code();
}

} // namespace

std::shared_ptr<Service>
MakePeerClient(PeerSettings aSettings)
{
  return std::make_shared<PeerClientService>(std::move(aSettings));
}

} // namespace sassafrasquay
