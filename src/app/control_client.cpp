// Sends one request to a node's control address.
#include "app/control_client.h"

#include "httpbase/response_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace sassafrasquay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr size_t kMaxHeadBytes = 8 * 1024;

auto
Redirect(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

asio::awaitable<void>
Fetch(const ControlRequest& aRequest, ControlResponse& aResponse)
{
  boost::system::error_code& error = aResponse.m_error;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aRequest.m_timeout);
  const Endpoint& control = aRequest.m_control;
  const auto address = asio::ip::make_address(control.m_address, error);
  if (error) {
    co_return;
  }
  const tcp::endpoint endpoint(address, control.m_port);
  co_await stream.async_connect(endpoint, Redirect(error));
  if (error) {
    co_return;
  }
  http::request<http::string_body> request(
    aRequest.m_body.empty() ? http::verb::get : http::verb::post,
    aRequest.m_path,
    11);
  request.set(http::field::host, ToString(control));
  request.body() = aRequest.m_body;
  request.prepare_payload();
  co_await http::async_write(stream, request, Redirect(error));
  if (error) {
    co_return;
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  ResponseReader reader(stream, buffer);
  error = co_await reader.ReadHead(parser, kMaxHeadBytes);
  if (!error) {
    error = co_await reader.ReadBody(parser);
  }
  if (!error) {
    aResponse.m_status = parser.get().result_int();
    aResponse.m_body = parser.release().body();
  }
}

} // namespace

ControlResponse
SendToControl(const ControlRequest& aRequest)
{
  ControlResponse response;
  asio::io_context context(1);
  asio::co_spawn(context, Fetch(aRequest, response), asio::detached);
  context.run();
  return response;
}

} // namespace sassafrasquay
