// Connecting side: link pool, exchanges, outcomes of calls, and questions.
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

constexpr Duration kSweepInterval = std::chrono::seconds(10);

struct IdleLink
{
  std::shared_ptr<Link> m_link;
  TimePoint m_since;
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
                                   ResponseSink& aAnswer) override;
  asio::awaitable<std::optional<PeerResponse>> Query(
    const Endpoint& aPeer,
    FrameContent aQuestion,
    Duration aTimeout) override;

private:
  std::shared_ptr<Link> TakeIdle(const Endpoint& aPeer);
  asio::awaitable<std::error_code> Open(const Endpoint& aPeer,
                                        std::shared_ptr<Link>& aLink);
  void Release(const Endpoint& aPeer, std::shared_ptr<Link> aLink);
  asio::awaitable<std::optional<PeerResponse>> AskOnce(
    const Endpoint& aPeer,
    std::shared_ptr<Link> aLink,
    const FrameContent& aQuestion,
    Duration aTimeout);
  asio::awaitable<std::error_code> Converse(Link& aLink,
                                            CallId aCall,
                                            const FrameContent& aQuestion,
                                            FrameContent& aAnswer);
  asio::awaitable<void> SettleLost(const Endpoint& aPeer,
                                   const RequestHead& aHead,
                                   uint64_t aIncarnation,
                                   TimePoint aBegun,
                                   TimePoint aDeadline,
                                   CallResult& aResult);
  asio::awaitable<std::optional<ResolveReply>> Resolve(
    const Endpoint& aPeer,
    std::shared_ptr<Link>& aLink,
    const ResolveRequest& aRequest);
  static void ApplyOutcome(const ResolveReply& aReply, CallResult& aResult);
  asio::awaitable<void> SweepIdle();

  PeerSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::map<Endpoint, std::vector<IdleLink>> m_idle;
  std::unique_ptr<Event> m_stopped;
  uint64_t m_questions = 0; // distinguishes the questions on a link
};

asio::awaitable<void>
PeerClientService::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_stopped = std::make_unique<Event>(m_executor);
  asio::co_spawn(m_executor, SweepIdle(), asio::detached);
  co_return;
}

asio::awaitable<void>
PeerClientService::Stop()
{
  m_stopped->Notify();
  m_idle.clear();
  co_return;
}

asio::awaitable<void>
PeerClientService::SweepIdle()
{
  while (true) {
    const bool stopped = co_await m_stopped->WaitFor(kSweepInterval);
    if (stopped) {
      co_return;
    }
    const TimePoint oldest = m_clock->Now() - m_settings.m_idleLink;
    for (auto& [peer, links] : m_idle) {
      std::erase_if(links, [oldest](const IdleLink& aIdle) {
        return aIdle.m_since < oldest || !aIdle.m_link->IsIdleAndOpen();
      });
    }
    std::erase_if(m_idle,
                  [](const auto& aEntry) { return aEntry.second.empty(); });
  }
}

std::shared_ptr<Link>
PeerClientService::TakeIdle(const Endpoint& aPeer)
{
  const auto found = m_idle.find(aPeer);
  if (found == m_idle.end()) {
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
PeerClientService::Release(const Endpoint& aPeer, std::shared_ptr<Link> aLink)
{
  auto& links = m_idle[aPeer];
  if (links.size() < m_settings.m_maxIdlePerPeer) {
    links.push_back({ std::move(aLink), m_clock->Now() });
  }
}

asio::awaitable<std::error_code>
PeerClientService::Open(const Endpoint& aPeer, std::shared_ptr<Link>& aLink)
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
  const auto refused = co_await ConnectHandshake(*link, m_settings, *m_random);
  if (!refused) {
    aLink = std::move(link);
  }
  co_return refused;
}

asio::awaitable<CallResult>
PeerClientService::Call(const Endpoint& aPeer,
                        const RequestHead& aHead,
                        BodySource& aBody,
                        ResponseSink& aAnswer)
{
  CallResult result;
  const TimePoint started = m_clock->Now();
  const TimePoint begun = started - aHead.m_age;
  std::shared_ptr<Link> link = TakeIdle(aPeer);
  if (!link) {
    const auto error = co_await Open(aPeer, link);
    if (error) {
      // Nothing was sent, so nothing can have run.
      const bool own = error.category() == ResultCategory();
      result.m_code = own ? static_cast<ResultCode>(error.value())
                          : ResultCode::TargetUnreachable;
      result.m_executed = Executed::No;
      co_return result;
    }
  }
  Exchange exchange(
    *link, aHead, aBody, aAnswer, begun, m_settings, *m_clock, m_executor);
  result = co_await exchange.Run();
  if (exchange.IsClean()) {
    Release(aPeer, std::move(link));
    co_return result;
  }
  link->Close();
  if (exchange.IsFateUnknown()) {
    co_await SettleLost(aPeer,
                        aHead,
                        link->m_peer.m_incarnation,
                        begun,
                        started + aHead.m_remaining,
                        result);
  }
  co_return result;
}

//-----------------------------------------------------------------------------
// Outcome of a call whose link was lost
//-----------------------------------------------------------------------------

asio::awaitable<void>
PeerClientService::SettleLost(const Endpoint& aPeer,
                              const RequestHead& aHead,
                              uint64_t aIncarnation,
                              TimePoint aBegun,
                              TimePoint aDeadline,
                              CallResult& aResult)
{
  if (aHead.m_idempotent) {
    // It may run again, so only the link's part in the failure matters.
    std::shared_ptr<Link> link;
    const std::error_code error = co_await Open(aPeer, link);
    aResult.m_linkFailed = !error;
    if (!error) {
      Release(aPeer, std::move(link));
    }
    co_return;
  }
  asio::steady_timer timer(m_executor);
  std::shared_ptr<Link> link; // never a pooled one: it may be silent as well
  Duration pause = m_settings.m_resolvePause;
  while (true) {
    ResolveRequest request;
    request.m_call = aHead.m_call;
    request.m_incarnation = aIncarnation;
    request.m_age = m_clock->Now() - aBegun;
    request.m_withdraw = true;
    const bool fresh = !link;
    const std::optional<ResolveReply> reply =
      co_await Resolve(aPeer, link, request);
    if (!reply && fresh) {
      co_return;
    }
    if (!reply) {
      link.reset(); // silent since the last answer
      continue;
    }
    ApplyOutcome(*reply, aResult);
    if (reply->m_state != CallState::Running) {
      break;
    }
    const Duration left = aDeadline - m_clock->Now();
    if (left <= Duration::zero()) {
      aResult.m_code = ResultCode::DeadlineExceeded;
      break;
    }
    timer.expires_after(std::min(pause, left));
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(2 * pause, m_settings.m_heartbeatInterval);
  }
  Release(aPeer, std::move(link));
}

void
PeerClientService::ApplyOutcome(const ResolveReply& aReply, CallResult& aResult)
{
  // The node answers, so the link was at fault and not the target.
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

// Opens aLink when it is empty. nullopt without an answer over it.
asio::awaitable<std::optional<ResolveReply>>
PeerClientService::Resolve(const Endpoint& aPeer,
                           std::shared_ptr<Link>& aLink,
                           const ResolveRequest& aRequest)
{
  std::error_code error;
  if (!aLink) {
    error = co_await Open(aPeer, aLink);
  }
  if (error) {
    co_return std::nullopt;
  }
  FrameContent question = aRequest;
  error = co_await aLink->Send(aRequest.m_call, std::move(question));
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
// Questions
//-----------------------------------------------------------------------------

asio::awaitable<std::optional<PeerResponse>>
PeerClientService::Query(const Endpoint& aPeer,
                         FrameContent aQuestion,
                         Duration aTimeout)
{
  std::optional<PeerResponse> answer;
  std::shared_ptr<Link> link = TakeIdle(aPeer);
  if (link) {
    answer = co_await AskOnce(aPeer, std::move(link), aQuestion, aTimeout);
  }
  if (answer) {
    co_return answer;
  }
  const std::error_code error = co_await Open(aPeer, link);
  if (error) {
    co_return std::nullopt;
  }
  answer = co_await AskOnce(aPeer, std::move(link), aQuestion, aTimeout);
  co_return answer;
}

asio::awaitable<std::optional<PeerResponse>>
PeerClientService::AskOnce(const Endpoint& aPeer,
                           std::shared_ptr<Link> aLink,
                           const FrameContent& aQuestion,
                           Duration aTimeout)
{
  PeerResponse answer;
  const HelloFrame& hello = aLink->m_peer;
  answer.m_from = NodeInstance{ hello.m_node, hello.m_incarnation };
  CallId question{ 0, ++m_questions };
  if (const auto* resolve = std::get_if<ResolveRequest>(&aQuestion)) {
    question = resolve->m_call; // the frame names the call in question
  }
  asio::steady_timer timer(m_executor);
  timer.expires_after(aTimeout);
  const auto winner =
    co_await (Converse(*aLink, question, aQuestion, answer.m_content) ||
              timer.async_wait(asio::use_awaitable));
  if (winner.index() == 1 || std::get<0>(winner)) {
    aLink->Close();
    co_return std::nullopt;
  }
  Release(aPeer, std::move(aLink));
  co_return answer;
}

asio::awaitable<std::error_code>
PeerClientService::Converse(Link& aLink,
                            CallId aCall,
                            const FrameContent& aQuestion,
                            FrameContent& aAnswer)
{
  FrameContent question = aQuestion;
  std::error_code error = co_await aLink.Send(aCall, std::move(question));
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
  aAnswer = std::move(frame.m_content);
  co_return std::error_code();
}

} // namespace

std::shared_ptr<Service>
MakePeerClient(PeerSettings aSettings)
{
  return std::make_shared<PeerClientService>(std::move(aSettings));
}

} // namespace sassafrasquay
