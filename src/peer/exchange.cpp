// One call attempt on one link, connecting side.
#include "peer/exchange.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace sassafrasquay {

Exchange::Exchange(Link& aLink,
                   const RequestHead& aHead,
                   BodySource& aBody,
                   ResponseSink& aResponse,
                   TimePoint aAttemptStart,
                   const PeerSettings& aSettings,
                   Clock& aClock,
                   const asio::any_io_executor& aExecutor)
  : m_link(aLink)
  , m_head(aHead)
  , m_body(aBody)
  , m_response(aResponse)
  , m_settings(aSettings)
  , m_clock(aClock)
  , m_admittedEvent(aExecutor)
  , m_neverNotified(aExecutor)
  , m_attemptStart(aAttemptStart)
  , m_sendStart(aClock.Now())
{
}

asio::awaitable<CallResult>
Exchange::Run()
{
  using namespace asio::experimental::awaitable_operators;
  m_bodyDone = m_head.m_body.has_value();
  RequestHead head = m_head;
  head.m_nodeIncarnation = m_link.m_peerHello.m_incarnation;
  head.m_age = m_clock.Now() - m_attemptStart;
  const auto error = co_await m_link.Send(m_head.m_call, std::move(head));
  if (error) {
    HandleLinkError(error);
    co_return m_result;
  }
  if (m_bodyDone) {
    CallResult result = co_await ReadResponse();
    co_return result;
  }
  const auto winner = co_await (SendBody() || ReadResponse());
  if (winner.index() == 1) {
    co_return std::get<1>(winner);
  }
  // The request body ended early, so the target receives a truncated request.
  m_result.m_code = std::get<0>(winner);
  m_result.m_executed = Executed::Maybe;
  co_return m_result;
}

asio::awaitable<ResultCode>
Exchange::SendBody()
{
  while (!m_admitted) {
    co_await m_admittedEvent.Wait();
  }
  while (!m_bodyDone) {
    const BodyChunk chunk = co_await m_body.Read();
    if (chunk.m_error) {
      co_return static_cast<ResultCode>(chunk.m_error.value());
    }
    m_result.m_bodyConsumed = true;
    FrameContent content =
      BodyChunkFrame{ std::string(chunk.m_bytes), chunk.m_last };
    const auto error = co_await m_link.Send(m_head.m_call, std::move(content));
    if (error) {
      break; // ReadResponse detects and reports the link failure
    }
    m_bodyDone = chunk.m_last;
  }
  co_await m_neverNotified.Wait();
  co_return ResultCode::Ok;
}

Duration
Exchange::ReceiveTimeout() const
{
  if (m_result.m_responseStarted) {
    return m_settings.m_heartbeatTimeout;
  }
  const Duration elapsed = m_clock.Now() - m_sendStart;
  const Duration left = m_head.m_remaining - elapsed;
  return std::clamp(left, Duration::zero(), m_settings.m_heartbeatTimeout);
}

asio::awaitable<CallResult>
Exchange::ReadResponse()
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
    const bool callEnded = co_await HandleFrame(frame);
    if (callEnded) {
      co_return m_result;
    }
  }
}

asio::awaitable<bool>
Exchange::HandleFrame(const PeerFrame& aFrame)
{
  if (std::holds_alternative<HeartbeatFrame>(aFrame.m_content)) {
    co_return false;
  }
  if (std::holds_alternative<AdmittedFrame>(aFrame.m_content)) {
    m_admitted = true;
    m_admittedEvent.Notify();
    co_await m_response.Admitted();
    co_return false;
  }
  if (const auto* head = std::get_if<ResponseHead>(&aFrame.m_content)) {
    m_result.m_responseStarted = true;
    m_result.m_status = head->m_status;
    m_result.m_latency = m_clock.Now() - m_sendStart;
    const auto error = co_await m_response.WriteHead(*head);
    if (error) {
      m_result.m_code = ResultCode::CallerGone;
      m_result.m_executed = Executed::Maybe;
      co_return true;
    }
    co_return false;
  }
  if (const auto* chunk = std::get_if<ResponseChunkFrame>(&aFrame.m_content)) {
    co_return co_await ForwardChunk(*chunk);
  }
  if (const auto* callResult =
        std::get_if<CallResultFrame>(&aFrame.m_content)) {
    HandleResult(*callResult);
    co_return true;
  }
  HandleLinkError(ResultCode::MalformedFrame);
  co_return true;
}

asio::awaitable<bool>
Exchange::ForwardChunk(const ResponseChunkFrame& aChunk)
{
  if (!m_result.m_responseStarted || m_responseComplete) {
    HandleLinkError(ResultCode::MalformedFrame);
    co_return true;
  }
  m_responseComplete = aChunk.m_last;
  const auto error =
    co_await m_response.WriteBody(aChunk.m_bytes, aChunk.m_last);
  if (error) {
    m_result.m_code = ResultCode::CallerGone;
    m_result.m_executed = Executed::Maybe;
    co_return true;
  }
  co_return false;
}

void
Exchange::HandleResult(const CallResultFrame& aFrame)
{
  m_result.m_code = aFrame.m_code;
  m_result.m_executed = aFrame.m_executed;
  m_result.m_hasLoad = aFrame.m_hasLoad;
  m_result.m_load = aFrame.m_load;
  m_result.m_retryAfter = aFrame.m_retryAfter;
  if (m_result.m_latency == Duration::zero()) {
    m_result.m_latency = m_clock.Now() - m_sendStart;
  }
  m_linkReusable = m_bodyDone || !m_admitted;
}

// The peer closed the link to new calls before it received this one.
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
  if (timedOut && m_clock.Now() - m_sendStart >= m_head.m_remaining) {
    m_result.m_code = ResultCode::DeadlineExceeded;
    return;
  }
  m_result.m_code = ResultCode::PeerLost;
  m_outcomeUnknown = true;
}

} // namespace sassafrasquay
