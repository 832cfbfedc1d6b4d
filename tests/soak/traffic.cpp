// Callers over keep-alive connections.
#include "soak/traffic.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace sassafrasquay::soak {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kTimeBudget = std::chrono::milliseconds(1500);
// The caller times out this much later than its time budget.
constexpr Duration kTimeoutMargin = std::chrono::milliseconds(1000);
constexpr Duration kRequestInterval = std::chrono::milliseconds(25);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(60);
constexpr Duration kPartInterval = std::chrono::milliseconds(15);
constexpr size_t kUploadParts = 5;
constexpr size_t kPartBytes = 24 * 1024;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

asio::awaitable<void>
Pause(Duration aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  co_await timer.async_wait(kAwait);
}

std::string
FormatHead(const Outcome& aRequest, const std::string& aHost, size_t aBodyBytes)
{
  const bool read = aRequest.m_kind == RequestKind::Read;
  std::string head = read ? "GET /safe/" : "POST /once/";
  head += aRequest.m_id + " HTTP/1.1\r\nHost: " + aHost;
  head += "\r\nSassafrasquay-Attempt-Id: " + aRequest.m_id;
  head += "\r\nSassafrasquay-Deadline-Ms: " +
          std::to_string(kTimeBudget / std::chrono::milliseconds(1));
  if (!read) {
    head += "\r\nContent-Length: " + std::to_string(aBodyBytes);
  }
  return head + "\r\n\r\n";
}

// Returns why a success isn't the instance's complete response to this request;
// empty if it is.
std::string
ValidateResponse(const http::response<http::string_body>& aResponse,
                 const Outcome& aRequest,
                 size_t aBodyBytes)
{
  if (aResponse["Sassafrasquay-Server-Stamp"].empty()) {
    return "success without the instance's stamp";
  }
  if (aResponse["Sassafrasquay-Attempt-Id"] != aRequest.m_id) {
    return "success for another request";
  }
  const std::string expected =
    " identity=" + aRequest.m_id +
    " path=" + (aRequest.m_kind == RequestKind::Read ? "/safe/" : "/once/") +
    aRequest.m_id + " body=" + std::to_string(aBodyBytes) + "\n";
  return aResponse.body().ends_with(expected) ? "" : "incomplete body";
}

} // namespace

Caller::Caller(size_t aNode,
               Endpoint aServer,
               std::vector<std::string> aServices,
               std::string aName,
               uint64_t aSeed)
  : m_node(aNode)
  , m_server(std::move(aServer))
  , m_services(std::move(aServices))
  , m_name(std::move(aName))
  , m_random(aSeed)
{
}

asio::awaitable<void>
Caller::Run()
{
  while (!m_stopping) {
    co_await SendNextRequest();
    co_await Pause(m_outcomes.back().m_connected ? kRequestInterval
                                                 : kReconnectDelay);
  }
}

asio::awaitable<void>
Caller::SendNextRequest()
{
  Outcome outcome;
  outcome.m_node = m_node;
  outcome.m_id = m_name + "-" + std::to_string(m_outcomes.size());
  const uint64_t choice = m_random.Next() % 10;
  outcome.m_kind = choice < 5   ? RequestKind::Read
                   : choice < 8 ? RequestKind::Write
                                : RequestKind::Upload;
  const size_t parts = outcome.m_kind == RequestKind::Upload ? kUploadParts : 1;
  size_t bodyBytes = 0;
  if (outcome.m_kind != RequestKind::Read) {
    bodyBytes = outcome.m_kind == RequestKind::Upload ? parts * kPartBytes : 20;
  }
  const std::string host = m_services[m_random.Next() % m_services.size()];

  const auto executor = co_await asio::this_coro::executor;
  outcome.m_reusedConnection = m_socket != nullptr;
  beast::tcp_stream stream = outcome.m_reusedConnection
                               ? beast::tcp_stream(std::move(*m_socket))
                               : beast::tcp_stream(executor);
  m_socket.reset();
  stream.expires_after(kTimeBudget + kTimeoutMargin);
  boost::system::error_code error;
  if (!outcome.m_reusedConnection) {
    const tcp::endpoint server(asio::ip::make_address(m_server.m_address),
                               m_server.m_port);
    const auto [connectError] = co_await stream.async_connect(server, kAwait);
    error = connectError;
  }
  outcome.m_connected = !error;
  outcome.m_startedAt = Now();
  std::string piece = FormatHead(outcome, host, bodyBytes);
  for (size_t part = 0; part < parts && !error; ++part) {
    if (part > 0) {
      co_await Pause(kPartInterval);
    }
    piece.append(bodyBytes / parts, 'b');
    const auto [writeError, written] =
      co_await asio::async_write(stream, asio::buffer(piece), kAwait);
    error = writeError;
    piece.clear();
  }
  if (!error) {
    outcome.m_sentAt = Now();
  }
  // A response may arrive before the whole body has been sent.
  if (outcome.m_connected) {
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [readError, size] =
      co_await http::async_read(stream, buffer, response, kAwait);
    outcome.m_timedOut = readError == beast::error::timeout;
    outcome.m_status = size > 0 ? response.result_int() : 0;
    outcome.m_complete = !readError;
    if (outcome.m_complete && outcome.m_status < 300) {
      outcome.m_responseError = ValidateResponse(response, outcome, bodyBytes);
    }
    if (outcome.m_complete && buffer.size() > 0) {
      outcome.m_responseError = "bytes after the response";
    }
    if (!error && !readError && response.keep_alive()) {
      m_socket = std::make_unique<tcp::socket>(stream.release_socket());
    }
  }
  outcome.m_endedAt = Now();
  m_outcomes.push_back(std::move(outcome));
}

} // namespace sassafrasquay::soak
