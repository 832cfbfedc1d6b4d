// Sends a request to the local target and forwards the response.
#include "upstream/target_request.h"

#include "httpbase/httpbase.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <charconv>

namespace sassafrasquay {

namespace {

constexpr size_t kReadChunkBytes = 32 * 1024;
// Responses up to this size are buffered whole before any byte is forwarded, so
// that the request can still be retried when the response breaks off.
constexpr size_t kMaxBufferedResponseBytes = 64 * 1024;
// Late responses to earlier requests that are skipped before the response to
// the current request.
constexpr int kMaxStaleResponses = 4;
// Bytes read only to keep a connection usable: bodies of rejections and stale
// responses, and the rest of a response whose caller has disconnected. Includes
// chunk headers and trailers. A target may send without end.
constexpr size_t kMaxDiscardedBytes = 256 * 1024;
// A target may close an idle connection at any moment after its advertised
// keep-alive timeout. The margin keeps a request from racing with that close.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(1500);

} // namespace

void
TargetRequest::ResetParser()
{
  m_parser.emplace();
  m_parser->body_limit(boost::none);
  m_parser->skip(m_head.m_method == "HEAD");
}

void
TargetRequest::BuildRequest(const std::string& aTargetId, Duration aRemaining)
{
  m_request.version(11);
  m_request.method_string(m_head.m_method);
  m_request.target(m_head.m_path);
  std::vector<HeaderField> fields = m_head.m_headers;
  m_dialect.AddRequestHeaders(m_head, aTargetId, aRemaining, fields);
  for (const HeaderField& field : fields) {
    m_request.insert(field.m_name, field.m_value);
  }
  if (m_head.m_body) {
    const bool mayHaveBody =
      m_head.m_method != "GET" && m_head.m_method != "HEAD";
    if (!m_head.m_body->empty() || mayHaveBody) {
      m_request.content_length(m_head.m_body->size());
    }
  } else if (m_head.m_bodyLength) {
    m_request.content_length(*m_head.m_bodyLength);
  } else {
    m_request.chunked(true);
  }
}

asio::awaitable<boost::system::error_code>
TargetRequest::WriteFullRequest()
{
  boost::system::error_code error;
  auto& body = m_request.body();
  // The writer takes a mutable pointer but does not change the bytes.
  body.data = const_cast<char*>(m_head.m_body->data());
  body.size = m_head.m_body->size();
  body.more = false;
  http::request_serializer<http::buffer_body> serializer(m_request);
  co_await http::async_write(
    m_connection.m_stream, serializer, Redirect(error));
  m_reader.OnWriteEnded(error);
  co_return error;
}

// Returns only when the body ended early; otherwise waits until it is cancelled
// by the arrival of the response head.
asio::awaitable<ResultCode>
TargetRequest::WriteStreamedRequest()
{
  boost::system::error_code error;
  auto& body = m_request.body();
  body.data = nullptr;
  body.more = true;
  http::request_serializer<http::buffer_body> serializer(m_request);
  co_await http::async_write_header(
    m_connection.m_stream, serializer, Redirect(error));
  m_reader.OnWriteEnded(error);
  bool last = false;
  while (!last && (!error || error == http::error::need_buffer)) {
    const BodyChunk chunk = co_await m_body.Read();
    if (chunk.m_error) {
      co_return static_cast<ResultCode>(chunk.m_error.value());
    }
    m_result.m_bodyConsumed = true;
    last = chunk.m_last;
    body.data = const_cast<char*>(chunk.m_bytes.data());
    body.size = chunk.m_bytes.size();
    body.more = !last;
    if (!last && chunk.m_bytes.empty()) {
      continue;
    }
    co_await http::async_write(
      m_connection.m_stream, serializer, Redirect(error));
    m_reader.OnWriteEnded(error);
    m_bodySent = last && !error;
  }
  Event neverNotified(m_connection.m_stream.get_executor());
  co_await neverNotified.Wait();
  co_return ResultCode::Ok;
}

// Reads response heads until one belongs to this request.
asio::awaitable<boost::system::error_code>
TargetRequest::ReadHead()
{
  int skipped = 0;
  while (true) {
    boost::system::error_code error =
      co_await m_reader.ReadHead(*m_parser, m_settings.m_maxHeadBytes);
    if (error) {
      co_return error;
    }
    m_responseHead = MakeResponseHead();
    m_info = m_dialect.ParseResponse(m_head, m_responseHead);
    if (m_info.m_kind != ResponseKind::Stale || skipped == kMaxStaleResponses) {
      co_return error;
    }
    ++skipped;
    error = co_await SkipBody();
    if (error) {
      co_return error;
    }
    ResetParser();
  }
}

asio::awaitable<boost::system::error_code>
TargetRequest::SkipBody()
{
  std::array<char, kReadChunkBytes> bytes;
  size_t discarded = 0;
  while (!m_parser->is_done()) {
    if (discarded > kMaxDiscardedBytes) {
      co_return http::make_error_code(http::error::body_limit);
    }
    auto& body = m_parser->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    const boost::system::error_code error =
      co_await m_reader.ReadSome(*m_parser, discarded);
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
  }
  co_return boost::system::error_code();
}

SendResult
TargetRequest::MakeFailure(const boost::system::error_code& aError) const
{
  SendResult result = m_result;
  result.m_executed = Executed::Maybe;
  if (aError == beast::error::timeout) {
    result.m_outcome = RequestOutcome::TimedOut;
    result.m_code = ResultCode::DeadlineExceeded;
  } else {
    result.m_outcome = RequestOutcome::Broken;
    result.m_code = IsMalformedResponse(aError) ? ResultCode::AnswerInvalid
                                                : ResultCode::TargetFailed;
  }
  if (m_result.m_responseStarted) {
    result.m_code = ResultCode::AnswerTruncated;
    result.m_executed = Executed::Yes;
  }
  return result;
}

asio::awaitable<SendResult>
TargetRequest::Run(const std::string& aTargetId, Duration aRemaining)
{
  using namespace asio::experimental::awaitable_operators;
  m_connection.m_carried.Add(m_dialect.ResponseId(m_head));
  BuildRequest(aTargetId, aRemaining);
  m_connection.m_stream.expires_after(aRemaining);
  m_bodyEnd = m_clock.Now() + aRemaining + m_settings.m_responseOverrun;
  boost::system::error_code error;
  if (m_head.m_body) {
    // Even after a failed write the target may have sent an early response.
    m_bodySent = !co_await WriteFullRequest();
    error = co_await ReadHead();
  } else {
    const auto winner = co_await (WriteStreamedRequest() || ReadHead());
    if (winner.index() == 0) {
      m_result.m_outcome = RequestOutcome::Cancelled;
      m_result.m_code = std::get<0>(winner);
      m_result.m_executed = Executed::Maybe;
      co_return m_result;
    }
    error = std::get<1>(winner);
  }
  if (error) {
    co_return MakeFailure(error);
  }
  SendResult result = co_await ForwardResponse();
  m_reusable = m_reusable && m_bodySent;
  co_return result;
}

ResponseHead
TargetRequest::MakeResponseHead() const
{
  const auto& message = m_parser->get();
  ResponseHead head;
  head.m_status = static_cast<uint16_t>(message.result_int());
  head.m_headers = EndToEndHeaders(message);
  if (const auto length = m_parser->content_length()) {
    head.m_bodyLength = *length;
  }
  head.m_hasBody =
    m_head.m_method != "HEAD" && head.m_status != 204 && head.m_status != 304;
  return head;
}

SendResult
TargetRequest::FinishNotExecuted(ResultCode aCode)
{
  m_result.m_outcome = RequestOutcome::Shed;
  m_result.m_code = aCode;
  m_result.m_executed = Executed::No;
  return m_result;
}

SendResult
TargetRequest::FinishInvalid()
{
  m_result.m_outcome = RequestOutcome::Broken;
  m_result.m_code = ResultCode::AnswerInvalid;
  m_result.m_executed = Executed::Maybe;
  return m_result;
}

// Reads how long the target keeps an idle connection open (Keep-Alive header).
void
TargetRequest::ParseKeepAlive()
{
  const std::string_view value = m_parser->get()[http::field::keep_alive];
  static constexpr std::string_view kTimeout = "timeout=";
  const size_t position = value.find(kTimeout);
  if (position == std::string_view::npos) {
    return;
  }
  const std::string_view digits = value.substr(position + kTimeout.size());
  uint32_t seconds = 0;
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec == std::errc()) {
    m_keepAlive = std::chrono::seconds(seconds) - kKeepAliveMargin;
  }
}

asio::awaitable<SendResult>
TargetRequest::ForwardResponse()
{
  m_onResponseStart();
  ParseKeepAlive();
  m_result.m_status = m_responseHead.m_status;
  m_result.m_load = m_info.m_load;
  switch (m_info.m_kind) {
    case ResponseKind::Matching:
      break;
    case ResponseKind::NotExecuted: {
      const boost::system::error_code error = co_await SkipBody();
      if (IsMalformedResponse(error)) {
        co_return FinishInvalid();
      }
      // A second copy without an id would reject the next request as well.
      m_reusable = !error && m_parser->keep_alive() && m_info.m_hasRequestId;
      co_return FinishNotExecuted(ResultCode::TargetShed);
    }
    case ResponseKind::WrongTarget:
      co_return FinishNotExecuted(ResultCode::WrongTarget);
    case ResponseKind::Stale:
    case ResponseKind::Invalid:
      co_return FinishInvalid();
  }
  const bool complete = co_await ForwardBody();
  if (!complete) {
    m_result.m_outcome = RequestOutcome::Broken;
    m_result.m_code = m_sinkFailed && !m_readToEnd
                        ? ResultCode::CallerGone
                        : ResultCode::AnswerTruncated;
    m_result.m_executed = Executed::Yes;
    co_return m_result;
  }
  m_reusable = m_parser->keep_alive();
  m_result.m_outcome = m_result.m_status >= 500 ? RequestOutcome::Error
                                                : RequestOutcome::Completed;
  m_result.m_code = m_sinkFailed ? ResultCode::CallerGone : ResultCode::Ok;
  m_result.m_executed = Executed::Yes;
  co_return m_result;
}

// Forwards a chunk of the response, or buffers it until the response is
// complete or exceeds the buffer limit. False when the sink failed.
asio::awaitable<bool>
TargetRequest::ForwardChunk(std::string_view aBytes, bool aLast)
{
  if (!m_result.m_responseStarted) {
    m_buffered += aBytes;
    if (!aLast && m_buffered.size() < kMaxBufferedResponseBytes) {
      co_return true;
    }
    if (aLast && !m_responseHead.m_bodyLength && m_responseHead.m_hasBody) {
      m_responseHead.m_bodyLength = m_buffered.size();
    }
    m_result.m_responseStarted = true;
    const std::error_code error = co_await m_sink.WriteHead(m_responseHead);
    if (error) {
      co_return false;
    }
    const std::error_code failed = co_await m_sink.WriteBody(m_buffered, aLast);
    co_return !failed;
  }
  const std::error_code failed = co_await m_sink.WriteBody(aBytes, aLast);
  co_return !failed;
}

// False when the response ended early or did not end in time, or when the sink
// failed and the rest is not needed.
asio::awaitable<bool>
TargetRequest::ForwardBody()
{
  std::array<char, kReadChunkBytes> bytes;
  auto& body = m_parser->get().body();
  size_t discarded = 0; // after the sink has failed
  while (true) {
    boost::system::error_code error;
    size_t parsed = 0;
    size_t count = 0;
    if (!m_parser->is_done()) {
      body.data = bytes.data();
      body.size = bytes.size();
      body.more = true;
      error = co_await m_reader.ReadSome(*m_parser, parsed);
      if (error && error != http::error::need_buffer) {
        co_return false;
      }
      count = bytes.size() - body.size;
    }
    const bool last = m_parser->is_done();
    if (!m_sinkFailed && (count > 0 || last)) {
      const bool forwarded =
        co_await ForwardChunk(std::string_view(bytes.data(), count), last);
      m_sinkFailed = !forwarded;
    }
    if (last) {
      co_return true;
    }
    discarded += m_sinkFailed ? parsed : 0;
    if (m_sinkFailed && (!m_readToEnd || discarded > kMaxDiscardedBytes)) {
      co_return false;
    }
    if (m_result.m_responseStarted) {
      const Duration left = m_bodyEnd - m_clock.Now();
      if (left <= Duration::zero()) {
        co_return false;
      }
      m_connection.m_stream.expires_after(
        std::min(left, m_settings.m_bodyIdleTimeout));
    }
  }
}

} // namespace sassafrasquay
