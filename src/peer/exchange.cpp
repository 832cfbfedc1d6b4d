// One attempt on one link, connecting side.
#include "peer/exchange.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace sassafrasquay {

Exchange::Exchange(Link& aLink,
                   const RequestHead& aHead,
                   BodySource& aBody,
                   ResponseSink& aAnswer,
                   TimePoint aBegun,
                   const PeerSettings& aSettings,
                   Clock& aClock,
                   const asio::any_io_executor& aExecutor)
  : m_link(aLink)
  , m_head(aHead)
  , m_body(aBody)
  , m_answer(aAnswer)
  , m_settings(aSettings)
  , m_clock(aClock)
  , m_bodyMayStart(aExecutor)
  , m_never(aExecutor)
  , m_begun(aBegun)
  , m_started(aClock.Now())
{
}

asio::awaitable<CallResult>
Exchange::Run()
{
  using namespace asio::experimental::awaitable_operators;
  m_bodyDone = m_head.m_body.has_value();
  RequestHead head = m_head;
  head.m_nodeIncarnation = m_link.m_peer.m_incarnation;
  head.m_age = m_clock.Now() - m_begun;
  const auto error = co_await m_link.Send(m_head.m_call, std::move(head));
  if (error) {
    HandleLinkError(error);
    co_return m_result;
  }
  if (m_bodyDone) {
    CallResult result = co_await ReadAnswer();
    co_return result;
  }
  const auto winner = co_await (SendBody() || ReadAnswer());
  if (winner.index() == 1) {
    co_return std::get<1>(winner);
  }
  // The request body ended early; the target sees it end early as well.
  m_result.m_code = std::get<0>(winner);
  m_result.m_executed = Executed::Maybe;
  co_return m_result;
}

asio::awaitable<ResultCode>
Exchange::SendBody()
{
  while (!m_admitted) {
    co_await m_bodyMayStart.Wait();
  }
  while (!m_bodyDone) {
    const BodyChunk part = co_await m_body.Read();
    if (part.m_error) {
      co_return static_cast<ResultCode>(part.m_error.value());
    }
    m_result.m_bodyConsumed = true;
    FrameContent chunk =
      BodyChunkFrame{ std::string(part.m_bytes), part.m_last };
    const auto error = co_await m_link.Send(m_head.m_call, std::move(chunk));
    if (error) {
      break; // the reading branch sees the same failure and reports it
    }
    m_bodyDone = part.m_last;
  }
  co_await m_never.Wait();
  co_return ResultCode::Ok;
}

Duration
Exchange::ReceiveTimeout() const
{
  if (m_result.m_responseStarted) {
    return m_settings.m_heartbeatTimeout;
  }
  const Duration elapsed = m_clock.Now() - m_started;
  const Duration left = m_head.m_remaining - elapsed;
  return std::clamp(left, Duration::zero(), m_settings.m_heartbeatTimeout);
}

asio::awaitable<CallResult>
Exchange::ReadAnswer()
{
  PeerFrame frame;
  while (true) {
    const Duration timeout = ReceiveTimeout();
    const auto error = co_await m_link.Receive(frame, timeout);
    if (error) {
      HandleLinkError(error);
      co_return m_result;
    }
    if (std::holds_alternative<ClosingFrame>(frame.m_content)) {
      HandleClosing();
      co_return m_result;
    }
    if (frame.m_call != m_head.m_call) {
      HandleLinkError(ResultCode::MalformedFrame);
      co_return m_result;
    }
    const bool ended = co_await HandleFrame(frame);
    if (ended) {
      co_return m_result;
    }
  }
}

asio::awaitable<bool>
Exchange::HandleFrame(const PeerFrame& aFrame)
{
  if (std::holds_alternative<WorkingFrame>(aFrame.m_content)) {
    co_return false;
  }
  if (std::holds_alternative<AdmittedFrame>(aFrame.m_content)) {
    m_admitted = true;
    m_bodyMayStart.Notify();
    co_await m_answer.Admitted();
    co_return false;
  }
  if (const auto* head = std::get_if<ResponseHead>(&aFrame.m_content)) {
    m_result.m_responseStarted = true;
    m_result.m_status = head->m_status;
    m_result.m_latency = m_clock.Now() - m_started;
    const auto error = co_await m_answer.WriteHead(*head);
    if (error) {
      m_result.m_code = ResultCode::CallerGone;
      m_result.m_executed = Executed::Maybe;
      co_return true;
    }
    co_return false;
  }
  if (const auto* chunk = std::get_if<AnswerChunkFrame>(&aFrame.m_content)) {
    co_return co_await PassChunk(*chunk);
  }
  if (const auto* ended = std::get_if<EndedFrame>(&aFrame.m_content)) {
    HandleEnd(*ended);
    co_return true;
  }
  HandleLinkError(ResultCode::MalformedFrame);
  co_return true;
}

asio::awaitable<bool>
Exchange::PassChunk(const AnswerChunkFrame& aChunk)
{
  if (!m_result.m_responseStarted || m_answerComplete) {
    HandleLinkError(ResultCode::MalformedFrame);
    co_return true;
  }
  m_answerComplete = aChunk.m_last;
  const auto error = co_await m_answer.WriteBody(aChunk.m_bytes, aChunk.m_last);
  if (error) {
    m_result.m_code = ResultCode::CallerGone;
    m_result.m_executed = Executed::Maybe;
    co_return true;
  }
  co_return false;
}

void
Exchange::HandleEnd(const EndedFrame& aFrame)
{
  m_result.m_code = aFrame.m_code;
  m_result.m_executed = aFrame.m_executed;
  m_result.m_hasLoad = aFrame.m_hasLoad;
  m_result.m_load = aFrame.m_load;
  if (m_result.m_latency == Duration::zero()) {
    m_result.m_latency = m_clock.Now() - m_started;
  }
  m_clean = m_bodyDone || !m_admitted;
}

// The peer had closed the link for calls before it received this one.
void
Exchange::HandleClosing()
{
  if (m_admitted || m_result.m_responseStarted) {
    HandleLinkError(ResultCode::MalformedFrame);
    return;
  }
  m_result.m_code = ResultCode::NodeStopping;
  m_result.m_executed = Executed::No;
}

void
Exchange::HandleLinkError(const std::error_code& aError)
{
  m_result.m_executed = Executed::Maybe;
  if (m_result.m_responseStarted) {
    m_result.m_code = ResultCode::AnswerTruncated;
    return;
  }
  const bool timedOut = aError == std::errc::timed_out;
  if (timedOut && m_clock.Now() - m_started >= m_head.m_remaining) {
    m_result.m_code = ResultCode::DeadlineExceeded;
    return;
  }
  m_result.m_code = ResultCode::PeerLost;
  m_fateUnknown = true;
}

} // namespace sassafrasquay
