// Callers over kept connections.
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
// Beyond the time budget, until the caller gives up.
constexpr Duration kPatience = std::chrono::milliseconds(1000);
constexpr Duration kPause = std::chrono::milliseconds(25);
constexpr Duration kReconnectPause = std::chrono::milliseconds(60);
constexpr Duration kPartPause = std::chrono::milliseconds(15);
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
FormatHead(const Outcome& aRequest, const std::string& aHost, size_t aBody)
{
  const bool read = aRequest.m_kind == RequestKind::Read;
  std::string head = read ? "GET /safe/" : "POST /once/";
  head += aRequest.m_id + " HTTP/1.1\r\nHost: " + aHost;
  head += "\r\nSassafrasquay-Attempt-Id: " + aRequest.m_id;
  head += "\r\nSassafrasquay-Deadline-Ms: " +
          std::to_string(kTimeBudget / std::chrono::milliseconds(1));
  if (!read) {
    head += "\r\nContent-Length: " + std::to_string(aBody);
  }
  return head + "\r\n\r\n";
}

// Empty when the success is the instance's whole answer to this request.
std::string
CheckSuccess(const http::response<http::string_body>& aAnswer,
             const Outcome& aRequest,
             size_t aBody)
{
  if (aAnswer["Sassafrasquay-Server-Stamp"].empty()) {
    return "a success without the instance's stamp";
  }
  if (aAnswer["Sassafrasquay-Attempt-Id"] != aRequest.m_id) {
    return "a success of another request";
  }
  const std::string wanted =
    " identity=" + aRequest.m_id +
    " path=" + (aRequest.m_kind == RequestKind::Read ? "/safe/" : "/once/") +
    aRequest.m_id + " body=" + std::to_string(aBody) + "\n";
  return aAnswer.body().ends_with(wanted) ? "" : "a body that is not whole";
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
    co_await SendOne();
    co_await Pause(m_outcomes.back().m_connected ? kPause : kReconnectPause);
  }
}

asio::awaitable<void>
Caller::SendOne()
{
  Outcome outcome;
  outcome.m_node = m_node;
  outcome.m_id = m_name + "-" + std::to_string(m_outcomes.size());
  const uint64_t draw = m_random.Next() % 10;
  outcome.m_kind = draw < 5   ? RequestKind::Read
                   : draw < 8 ? RequestKind::Write
                              : RequestKind::Upload;
  const size_t parts = outcome.m_kind == RequestKind::Upload ? kUploadParts : 1;
  size_t body = 0;
  if (outcome.m_kind != RequestKind::Read) {
    body = outcome.m_kind == RequestKind::Upload ? parts * kPartBytes : 20;
  }
  const std::string host = m_services[m_random.Next() % m_services.size()];

  const auto executor = co_await asio::this_coro::executor;
  outcome.m_kept = m_socket != nullptr;
  beast::tcp_stream stream = outcome.m_kept
                               ? beast::tcp_stream(std::move(*m_socket))
                               : beast::tcp_stream(executor);
  m_socket.reset();
  stream.expires_after(kTimeBudget + kPatience);
  boost::system::error_code error;
  if (!outcome.m_kept) {
    const tcp::endpoint server(asio::ip::make_address(m_server.m_address),
                               m_server.m_port);
    const auto [connectError] = co_await stream.async_connect(server, kAwait);
    error = connectError;
  }
  outcome.m_connected = !error;
  outcome.m_began = Now();
  std::string piece = FormatHead(outcome, host, body);
  for (size_t part = 0; part < parts && !error; ++part) {
    if (part > 0) {
      co_await Pause(kPartPause);
    }
    piece.append(body / parts, 'b');
    const auto [writeError, written] =
      co_await asio::async_write(stream, asio::buffer(piece), kAwait);
    error = writeError;
    piece.clear();
  }
  if (!error) {
    outcome.m_sent = Now();
  }
  // An answer may come before the whole body has been taken.
  if (outcome.m_connected) {
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [readError, size] =
      co_await http::async_read(stream, buffer, answer, kAwait);
    outcome.m_timedOut = readError == beast::error::timeout;
    outcome.m_status = size > 0 ? answer.result_int() : 0;
    outcome.m_whole = !readError;
    if (outcome.m_whole && outcome.m_status < 300) {
      outcome.m_fault = CheckSuccess(answer, outcome, body);
    }
    if (outcome.m_whole && buffer.size() > 0) {
      outcome.m_fault = "bytes after the answer";
    }
    if (!error && !readError && answer.keep_alive()) {
      m_socket = std::make_unique<tcp::socket>(stream.release_socket());
    }
  }
  outcome.m_ended = Now();
  m_outcomes.push_back(std::move(outcome));
}

} // namespace sassafrasquay::soak
