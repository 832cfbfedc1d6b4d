// Connection of one caller. Its coroutine reads the requests and begins each as
// soon as the earlier ones allow; each request runs in a coroutine of its own.
#include "frontend/caller_connection.h"

#include "frontend/response_order.h"
#include "httpbase/httpbase.h"
#include "quarantine/quarantine.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasquay {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr size_t kReadBytes = 4096;
// Room in the receive buffer beyond a request head.
constexpr size_t kReadAheadBytes = 32 * 1024;
constexpr size_t kMaxServiceNameBytes = 256;
// Limits of a lingering close, which reads on after the last response.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr size_t kLingerBytes = 4 * 1024 * 1024;

bool
HasSafeMethod(const CallerParser& aParser)
{
  const http::verb method = aParser.get().method();
  return method == http::verb::get || method == http::verb::head ||
         method == http::verb::options || method == http::verb::trace;
}

class HttpCallerConnection
  : public CallerConnection
  , public std::enable_shared_from_this<HttpCallerConnection>
{
public:
  HttpCallerConnection(tcp::socket aSocket, FrontendShared& aShared)
    : m_stream(std::move(aSocket))
    , m_buffer(kReadAheadBytes)
    , m_shared(aShared)
    , m_order(m_stream, aShared)
    , m_requestEnded(aShared.m_executor)
  {
    boost::system::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
  }

  asio::awaitable<void> Run() override;
  void BeginStop() override
  {
    m_order.Ended().Notify();
    m_order.Progressed().Notify();
  }

private:
  using RequestPtr = std::shared_ptr<CallerRequest>;

  // Reads the next request head. Empty when the connection ends before.
  asio::awaitable<RequestPtr> ReadRequest();
  // Begins aRequest as soon as the requests before it allow. False when it does
  // not begin because the connection ends.
  asio::awaitable<bool> BeginInTurn(RequestPtr aRequest);
  asio::awaitable<void> WaitForBody(RequestPtr aRequest);
  asio::awaitable<void> FinishRequests();
  asio::awaitable<void> Close();

  RequestPtr MakeRequest();
  bool MayReadHead(bool aHeadBegun) const;
  Duration TimeToRead(std::optional<TimePoint> aHeadStart) const;
  void ApplyPolicy(CallerRequest& aRequest);
  std::optional<ResultCode> FillHead(const CallerParser& aParser,
                                     RequestHead& aHead);
  static void Refuse(CallerRequest& aRequest, ResultCode aCode);

  // Waits until bytes have been received, the caller has left, aEvent has been
  // notified or aTimeout has passed.
  asio::awaitable<void> WaitForInput(Event& aEvent, Duration aTimeout);
  asio::awaitable<void> ReceiveSome();

  static asio::awaitable<void> Serve(
    std::shared_ptr<HttpCallerConnection> aConnection,
    RequestPtr aRequest);
  asio::awaitable<CallResult> Call(CallerRequest& aRequest);

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer; // received and not yet parsed
  FrontendShared& m_shared;
  ResponseOrder m_order;
  Event m_requestEnded;        // notified when a request's coroutine ends
  size_t m_running = 0;        // coroutines of requests
  size_t m_discardedBytes = 0; // received behind the last request
  bool m_callerGone = false;
  bool m_lingers = false; // the caller may still be sending
};

//-----------------------------------------------------------------------------
// The connection's coroutine
//-----------------------------------------------------------------------------

asio::awaitable<void>
HttpCallerConnection::Run()
{
  bool open = true;
  while (open) {
    const RequestPtr request = co_await ReadRequest();
    if (!request) {
      break;
    }
    const bool begun = co_await BeginInTurn(request);
    if (!begun) {
      break;
    }
    co_await WaitForBody(request);
    open = request->m_keepAlive && request->m_body.IsComplete();
    m_lingers = !request->m_body.IsComplete();
  }
  co_await FinishRequests();
  co_await Close();
}

asio::awaitable<std::shared_ptr<CallerRequest>>
HttpCallerConnection::ReadRequest()
{
  const RequestPtr request = MakeRequest();
  CallerParser& parser = request->m_parser;
  std::optional<TimePoint> headStart;
  std::optional<ResultCode> fault;
  while (!fault && !parser.is_header_done()) {
    if (m_buffer.size() > 0) {
      headStart = headStart.value_or(m_shared.m_clock->Now());
      boost::system::error_code error;
      m_buffer.consume(parser.put(m_buffer.data(), error));
      if (error == http::error::header_limit) {
        fault = ResultCode::HeadTooLarge;
      } else if (error == http::error::body_limit) {
        fault = ResultCode::BodyTooLarge;
      } else if (error && error != http::error::need_more) {
        fault = ResultCode::MalformedRequest;
      }
      if (fault || parser.is_header_done()) {
        continue;
      }
    }
    if (m_callerGone || !MayReadHead(headStart.has_value())) {
      co_return nullptr;
    }
    const Duration left = TimeToRead(headStart);
    if (left > Duration::zero()) {
      co_await WaitForInput(m_order.Ended(), left);
    } else if (headStart) {
      fault = ResultCode::SenderTooSlow;
    } else {
      co_return nullptr; // idle for too long
    }
  }
  request->m_readTime = m_shared.m_clock->Now();
  request->m_isHead = parser.get().method() == http::verb::head;
  if (!fault &&
      !HasValidTransferEncoding(parser.get(), parser.get().version())) {
    fault = ResultCode::MalformedRequest;
  }
  if (fault) {
    request->m_isRecorded = true; // not a request
    Refuse(*request, *fault);
    request->m_keepAlive = false;
    m_lingers = true;
    co_return request;
  }
  ApplyPolicy(*request);
  co_return request;
}

HttpCallerConnection::RequestPtr
HttpCallerConnection::MakeRequest()
{
  const FrontendSettings& settings = m_shared.m_settings;
  const CallerLimits limits = m_shared.m_policy->Limits();
  auto request =
    std::make_shared<CallerRequest>(m_stream, m_buffer, m_order, settings);
  const uint32_t maxHeadBytes =
    limits.m_maxHeadBytes > 0 ? limits.m_maxHeadBytes : settings.m_maxHeadBytes;
  request->m_parser.header_limit(maxHeadBytes);
  request->m_parser.body_limit(limits.m_maxBodyBytes > 0
                                 ? limits.m_maxBodyBytes
                                 : settings.m_maxBodyBytes);
  // Ends chunk headers and trailers, which the parser does not limit, and the
  // requests that are received ahead. Grows with the published limit and never
  // shrinks below the buffer's content.
  m_buffer.max_size(
    std::max<size_t>(m_buffer.max_size(), maxHeadBytes + kReadAheadBytes));
  return request;
}

bool
HttpCallerConnection::MayReadHead(bool aHeadBegun) const
{
  if (m_order.HasEnded()) {
    return false;
  }
  // A planned stop: the responses to the earlier requests are the last ones. A
  // head of which a part has been received is completed if none precedes it.
  return !m_shared.m_stopping || (aHeadBegun && m_order.IsEmpty());
}

// Time until the head is overdue or, before its first byte, until the
// connection has been idle for too long.
Duration
HttpCallerConnection::TimeToRead(std::optional<TimePoint> aHeadStart) const
{
  const CallerLimits limits = m_shared.m_policy->Limits();
  const FrontendSettings& settings = m_shared.m_settings;
  const auto timeout = [](Duration aPublished, Duration aSetting) {
    return aPublished > Duration::zero() ? aPublished : aSetting;
  };
  const Duration idle = timeout(limits.m_idleTimeout, settings.m_idleTimeout);
  const Duration head = timeout(limits.m_headTimeout, settings.m_headTimeout);
  const TimePoint now = m_shared.m_clock->Now();
  if (aHeadStart) {
    return *aHeadStart + head - now;
  }
  // While requests run, the connection is not idle: checked again later.
  return m_order.IsEmpty() ? m_order.LastAnswerTime() + idle - now : idle;
}

// Sets the head of a request from the message and the published configuration.
void
HttpCallerConnection::ApplyPolicy(CallerRequest& aRequest)
{
  const CallerParser& parser = aRequest.m_parser;
  aRequest.m_head = RequestHead();
  aRequest.m_isDone = false;
  aRequest.m_configVersion = m_shared.m_policy->ConfigVersion();
  aRequest.m_keepAlive = parser.keep_alive();
  const std::optional<ResultCode> rejection = FillHead(parser, aRequest.m_head);
  if (rejection) {
    Refuse(aRequest, *rejection);
    return;
  }
  const bool hasBody =
    !parser.is_done() || parser.get().count(http::field::expect) > 0;
  aRequest.m_kind = PipelineKindOf(
    aRequest.m_head.m_idempotent, HasSafeMethod(parser), hasBody);
}

void
HttpCallerConnection::Refuse(CallerRequest& aRequest, ResultCode aCode)
{
  aRequest.m_kind = PipelineKind::Refused;
  aRequest.m_result.m_code = aCode;
  aRequest.m_isDone = true;
}

asio::awaitable<bool>
HttpCallerConnection::BeginInTurn(RequestPtr aRequest)
{
  m_order.SetNextExpected(true);
  PipelineVerdict verdict = m_order.Decide(aRequest->m_kind);
  if (verdict != PipelineVerdict::Begin) {
    m_shared.m_onHeld(verdict);
  }
  for (; verdict != PipelineVerdict::Begin;
       verdict = m_order.Decide(aRequest->m_kind)) {
    co_await WaitForInput(m_order.Progressed(), Duration::max());
    if (m_callerGone || m_order.HasEnded()) {
      m_order.SetNextExpected(false);
      co_return false;
    }
    if (m_shared.m_stopping) {
      // Nothing of it has run, and the caller may use another node at once.
      Refuse(*aRequest, ResultCode::NodeStopping);
      aRequest->m_keepAlive = false;
    } else if (aRequest->m_parser.is_header_done() &&
               aRequest->m_configVersion !=
                 m_shared.m_policy->ConfigVersion()) {
      // Routes and keys may have been withdrawn meanwhile.
      ApplyPolicy(*aRequest);
    }
  }
  m_order.Add(aRequest);
  if (aRequest->m_isDone) {
    const CallResult result = aRequest->m_result;
    co_await m_order.Finish(*aRequest, result);
    co_return true;
  }
  ++m_running;
  asio::co_spawn(
    m_shared.m_executor,
    Serve(shared_from_this(), aRequest),
    asio::bind_cancellation_slot(aRequest->m_cancel.slot(), asio::detached));
  co_return true;
}

// The bytes of a body belong to its request: the next head is read behind them.
asio::awaitable<void>
HttpCallerConnection::WaitForBody(RequestPtr aRequest)
{
  while (!aRequest->m_body.IsComplete() && !aRequest->m_isDone) {
    co_await m_order.Progressed().Wait();
  }
}

// Waits until the requests that have begun are answered. What the caller sends
// behind them is not read as requests.
asio::awaitable<void>
HttpCallerConnection::FinishRequests()
{
  while (!m_order.IsEmpty() && !m_order.HasEnded() && !m_callerGone) {
    m_discardedBytes += m_buffer.size();
    m_buffer.clear();
    co_await WaitForInput(m_order.Progressed(), Duration::max());
  }
  // A caller that pipelines may be sending further requests.
  m_lingers = m_lingers || m_discardedBytes > 0 || m_buffer.size() > 0 ||
              m_order.HasPipelined();
  if (m_callerGone) {
    m_stream.close();
  }
  m_order.Abort(m_callerGone ? ResultCode::CallerGone
                             : ResultCode::ConnectionEnded);
  while (m_running > 0) {
    co_await m_requestEnded.Wait();
  }
}

asio::awaitable<void>
HttpCallerConnection::Close()
{
  boost::system::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  if (m_lingers && !m_callerGone) {
    // Reads the bytes that are still in transit. Closing a socket with unread
    // bytes resets the connection, and the caller may lose the response just
    // sent.
    boost::system::error_code error;
    std::array<char, kReadBytes> bytes;
    m_stream.expires_after(kLingerTime);
    for (size_t total = 0; !error && total < kLingerBytes;) {
      total += co_await m_stream.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    }
  }
  m_stream.close();
}

asio::awaitable<void>
HttpCallerConnection::WaitForInput(Event& aEvent, Duration aTimeout)
{
  using namespace asio::experimental::awaitable_operators;
  const bool full = m_buffer.size() + kReadBytes > m_buffer.max_size() ||
                    m_discardedBytes > kLingerBytes;
  if (full) {
    co_await aEvent.WaitFor(aTimeout);
  } else {
    co_await (ReceiveSome() || aEvent.WaitFor(aTimeout));
  }
}

asio::awaitable<void>
HttpCallerConnection::ReceiveSome()
{
  boost::system::error_code error;
  const size_t count = co_await m_stream.socket().async_read_some(
    m_buffer.prepare(kReadBytes),
    asio::redirect_error(asio::use_awaitable, error));
  m_buffer.commit(count);
  // Aborted: the wait for an event has ended, or the socket was closed by the
  // timeout of a write, which the next read reports.
  m_callerGone = error && error != asio::error::operation_aborted;
}

//-----------------------------------------------------------------------------
// The head of a request
//-----------------------------------------------------------------------------

std::optional<ResultCode>
HttpCallerConnection::FillHead(const CallerParser& aParser, RequestHead& aHead)
{
  const auto& message = aParser.get();
  const auto host = message.find(http::field::host);
  if (message.version() != 11 || host == message.end() ||
      message.count(http::field::host) != 1) {
    return ResultCode::MalformedRequest;
  }
  const std::string_view value = host->value();
  aHead.m_host = std::string(value);
  aHead.m_service = std::string(value.substr(0, value.find(':')));
  if (aHead.m_service.empty() ||
      aHead.m_service.size() > kMaxServiceNameBytes) {
    return ResultCode::MalformedRequest;
  }
  aHead.m_method = std::string(message.method_string());
  aHead.m_path = std::string(message.target());
  aHead.m_headers = EndToEndHeaders(message);
  const FrontendSettings& settings = m_shared.m_settings;
  std::optional<Duration> callerTimeout;
  if (const auto rejection =
        m_shared.m_dialect->ParseRequest(aHead, callerTimeout)) {
    return rejection;
  }
  if (callerTimeout) {
    callerTimeout = std::min(*callerTimeout, settings.m_maxTimeout);
  }
  aHead.m_remaining = callerTimeout.value_or(settings.m_defaultTimeout);
  if (const auto length = aParser.content_length()) {
    aHead.m_bodyLength = *length;
  }
  aHead.m_isSubrequest =
    m_shared.m_running->Contains(m_shared.m_dialect->ParentId(aHead));
  const auto rejection = m_shared.m_policy->Apply(aHead, callerTimeout);
  if (m_shared.m_policy->HasAccounts()) {
    m_shared.m_dialect->ReplaceCredentials(aHead);
  }
  return rejection;
}

//-----------------------------------------------------------------------------
// The coroutine of a request
//-----------------------------------------------------------------------------

asio::awaitable<void>
HttpCallerConnection::Serve(std::shared_ptr<HttpCallerConnection> aConnection,
                            RequestPtr aRequest)
{
  HttpCallerConnection& connection = *aConnection;
  try {
    const CallResult result = co_await connection.Call(*aRequest);
    co_await connection.m_order.Finish(*aRequest, result);
  } catch (const std::exception&) {
    // Cancelled, or an error inside the node: it gets no response.
    connection.m_order.Abort(ResultCode::ConnectionEnded);
  }
  --connection.m_running;
  connection.m_requestEnded.Notify();
}

asio::awaitable<CallResult>
HttpCallerConnection::Call(CallerRequest& aRequest)
{
  RequestHead& head = aRequest.m_head;
  CallerBody& body = aRequest.m_body;
  const http::fields& fields = aRequest.m_parser.get();
  if (beast::iequals(fields[http::field::expect], "100-continue")) {
    body.ExpectContinue();
  }
  CallResult result;
  result.m_code = co_await body.Prefetch(kMaxInlineBodyBytes);
  if (result.m_code != ResultCode::Ok) {
    co_return result;
  }
  // The caller's time runs while the request waits for earlier responses.
  const Duration elapsed = m_shared.m_clock->Now() - aRequest.m_readTime;
  head.m_remaining -= elapsed;
  if (head.m_latencyObjective > Duration::zero()) {
    // Zero means a request without a latency objective.
    head.m_latencyObjective =
      std::max(head.m_latencyObjective - elapsed, Duration(1));
  }
  head.m_identity = IdentityFromContent(
    head.m_host, head.m_method, head.m_path, body.Prefetched());
  if (body.IsComplete()) {
    head.m_body = std::move(body.Prefetched());
    body.Prefetched().clear();
  } else if (!head.m_hasExplicitTimeout) {
    head.m_remaining =
      std::max(head.m_remaining, m_shared.m_settings.m_uploadTimeout);
  }
  result =
    co_await m_shared.m_dispatcher->Handle(head, body, aRequest.m_response);
  co_return result;
}

} // namespace

std::shared_ptr<CallerConnection>
MakeCallerConnection(tcp::socket aSocket, FrontendShared& aShared)
{
  return std::make_shared<HttpCallerConnection>(std::move(aSocket), aShared);
}

} // namespace sassafrasquay
