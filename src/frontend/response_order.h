// Requests of one connection in the order in which their responses are written.
// Internal to the front end.
//
// Index of this file
//   [1] One request
//   [2] Requests in order
#pragma once

#include "frontend/caller_body.h"
#include "frontend/caller_connection.h"
#include "frontend/caller_response.h"
#include "frontend/pipeline.h"

#include <boost/asio/cancellation_signal.hpp>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] One request
//-----------------------------------------------------------------------------

struct CallerRequest
{
  CallerParser m_parser; // declared before the body, which refers to it
  CallerBody m_body;
  CallerResponse m_response;
  RequestHead m_head;
  CallResult m_result;
  PipelineKind m_kind = PipelineKind::Alone;
  uint64_t m_configVersion = 0; // under which the head was read
  TimePoint m_readTime{};       // end of the head
  size_t m_aheadCount = 0;      // requests before it when it began
  bool m_isHead = false;        // method HEAD
  bool m_keepAlive = false;     // another request may follow on the connection
  bool m_isRecorded = false;    // counted and logged, or never to be
  bool m_isDone = false;        // m_result is final
  asio::cancellation_signal m_cancel; // ends its coroutine

  CallerRequest(boost::beast::tcp_stream& aStream,
                boost::beast::flat_buffer& aBuffer,
                ResponseOrder& aOrder,
                const FrontendSettings& aSettings);
};

//-----------------------------------------------------------------------------
// [2] Requests in order
//-----------------------------------------------------------------------------

// Only the first request writes to the connection. A coroutine that ends its
// request also writes what the requests after it have ready, up to the first
// one that is still running; that one then writes on its own.
class ResponseOrder
{
public:
  ResponseOrder(boost::beast::tcp_stream& aStream, FrontendShared& aShared);

  // A request has been read and will be added, or (false) none is expected.
  void SetNextExpected(bool aExpected) { m_nextExpected = aExpected; }
  // Appends a request that begins now.
  void Add(std::shared_ptr<CallerRequest> aRequest);
  // The result of aRequest is final. Writes every response that is ready.
  asio::awaitable<void> Finish(CallerRequest& aRequest, CallResult aResult);
  // Ends the connection: cancels the requests that are not answered and records
  // aCode for them.
  void Abort(ResultCode aCode);

  PipelineVerdict Decide(PipelineKind aKind) const
  {
    return m_pipeline.Decide(aKind);
  }
  bool IsEmpty() const { return m_requests.empty(); }
  // The connection closes: a response announced it, or broke off.
  bool HasEnded() const { return m_ended; }
  // A request has begun before the response to the previous one was complete.
  bool HasPipelined() const { return m_pipelined; }
  // Time of the last response or of the construction.
  TimePoint LastAnswerTime() const { return m_lastAnswerTime; }

  bool IsFirst(const CallerResponse& aResponse) const;
  bool MayWrite(const CallerResponse& aResponse) const
  {
    return IsFirst(aResponse) && !m_writing;
  }
  // Whether another request may follow a response whose head is written now.
  bool KeepsOpen(const CallerResponse& aResponse) const;

  // Notified when a response or a request body is complete, when another
  // response may be written and when the connection has ended.
  Event& Progressed() { return m_progressed; }
  // Notified when the connection has ended.
  Event& Ended() { return m_endedEvent; }

private:
  asio::awaitable<void> WriteReady();
  asio::awaitable<void> AnswerFirst();
  void Record(CallerRequest& aRequest);
  void End();

  boost::beast::tcp_stream& m_stream;
  FrontendShared& m_shared;
  Pipeline m_pipeline;
  Event m_progressed;
  Event m_endedEvent;
  std::deque<std::shared_ptr<CallerRequest>> m_requests;
  TimePoint m_lastAnswerTime;
  bool m_nextExpected = false;
  bool m_pipelined = false;
  bool m_writing = false; // WriteReady runs
  bool m_ended = false;
};

} // namespace sassafrasquay
