// Writes the responses of one connection in the order of its requests.
#include "frontend/response_order.h"

namespace sassafrasquay {

CallerRequest::CallerRequest(boost::beast::tcp_stream& aStream,
                             boost::beast::flat_buffer& aBuffer,
                             ResponseOrder& aOrder,
                             const FrontendSettings& aSettings)
  : m_body(aStream, aBuffer, m_parser, aSettings, aOrder.Progressed())
  , m_response(aStream, aOrder, aSettings.m_writeTimeout)
{
}

ResponseOrder::ResponseOrder(boost::beast::tcp_stream& aStream,
                             FrontendShared& aShared)
  : m_stream(aStream)
  , m_shared(aShared)
  , m_pipeline(aShared.m_settings.m_pipelineDepth, *aShared.m_waitingMemory)
  , m_progressed(aShared.m_executor)
  , m_endedEvent(aShared.m_executor)
  , m_lastAnswerTime(aShared.m_clock->Now())
{
}

void
ResponseOrder::Add(std::shared_ptr<CallerRequest> aRequest)
{
  aRequest->m_aheadCount = m_requests.size();
  m_pipelined = m_pipelined || !m_requests.empty();
  m_pipeline.OnBegin(aRequest->m_kind);
  m_requests.push_back(std::move(aRequest));
  m_nextExpected = false;
}

bool
ResponseOrder::IsFirst(const CallerResponse& aResponse) const
{
  return !m_requests.empty() && &m_requests.front()->m_response == &aResponse;
}

bool
ResponseOrder::KeepsOpen(const CallerResponse& aResponse) const
{
  const CallerRequest& last = *m_requests.back();
  const bool isLast = &last.m_response == &aResponse && !m_nextExpected;
  return !isLast || (last.m_keepAlive && !m_shared.m_stopping);
}

asio::awaitable<void>
ResponseOrder::Finish(CallerRequest& aRequest, CallResult aResult)
{
  aRequest.m_result = aResult;
  aRequest.m_isDone = true;
  if (MayWrite(aRequest.m_response)) {
    co_await WriteReady();
  }
}

asio::awaitable<void>
ResponseOrder::WriteReady()
{
  m_writing = true;
  while (!m_ended && !m_requests.empty()) {
    // Held here, because Abort removes it from the queue.
    const std::shared_ptr<CallerRequest> first = m_requests.front();
    CallerResponse& response = first->m_response;
    // Of a response that broke off, nothing is written if nothing was yet.
    if (!first->m_isDone || response.IsKeptWhole()) {
      co_await response.WriteKept();
    }
    if (!first->m_isDone) {
      break;
    }
    if (!m_ended) {
      co_await AnswerFirst();
    }
  }
  m_writing = false;
  m_progressed.Notify();
}

// Ends the response to the first request and removes the request.
asio::awaitable<void>
ResponseOrder::AnswerFirst()
{
  const std::shared_ptr<CallerRequest> first = m_requests.front();
  CallerResponse& response = first->m_response;
  CallResult& result = first->m_result;
  if (!response.HasBegun() && result.m_code == ResultCode::CallerGone) {
    Record(*first);
    End();
  } else if (!response.HasBegun()) {
    // Also replaces a response that broke off before a byte of it was written.
    Record(*first);
    const bool keepAlive = first->m_body.IsComplete() && KeepsOpen(response);
    LocalReply reply =
      m_shared.m_dialect->MakeLocalReply(first->m_head, result);
    co_await response.WriteLocalReply(
      std::move(reply), keepAlive, first->m_isHead);
  } else {
    if (!response.IsComplete() && result.m_code == ResultCode::Ok) {
      result.m_code = ResultCode::CallerGone; // the write of the rest failed
    }
    Record(*first);
  }
  if (m_ended) {
    co_return; // aborted meanwhile
  }
  // An incomplete response must be recognizable: the connection closes without
  // the last chunk or with bytes missing. Unread bytes of a body would be taken
  // for the next request.
  const bool usable = response.IsComplete() && first->m_body.IsComplete() &&
                      !response.ClosesConnection();
  m_requests.pop_front();
  m_pipeline.OnAnswered();
  m_lastAnswerTime = m_shared.m_clock->Now();
  if (!usable) {
    End();
  }
}

void
ResponseOrder::Record(CallerRequest& aRequest)
{
  if (aRequest.m_isRecorded) {
    return;
  }
  aRequest.m_isRecorded = true;
  CallResult& result = aRequest.m_result;
  result.m_totalDuration = m_shared.m_clock->Now() - aRequest.m_readTime;
  m_shared.m_onResult(aRequest.m_head, result, aRequest.m_aheadCount);
}

void
ResponseOrder::Abort(ResultCode aCode)
{
  End();
  const auto requests = std::move(m_requests);
  m_requests.clear();
  for (const auto& request : requests) {
    if (!request->m_isDone) {
      request->m_result.m_executed = Executed::Maybe;
      request->m_isDone = true;
    }
    request->m_result.m_code = aCode;
    Record(*request);
    request->m_cancel.emit(asio::cancellation_type::terminal);
  }
}

void
ResponseOrder::End()
{
  m_ended = true;
  m_endedEvent.Notify();
  m_progressed.Notify();
}

} // namespace sassafrasquay
