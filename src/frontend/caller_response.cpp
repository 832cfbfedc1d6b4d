// Writes responses to callers.
#include "frontend/caller_response.h"

#include "frontend/response_order.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace sassafrasquay {

namespace http = boost::beast::http;

namespace {

auto
Redirect(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

} // namespace

CallerResponse::CallerResponse(boost::beast::tcp_stream& aStream,
                               ResponseOrder& aOrder,
                               Duration aWriteTimeout)
  : m_stream(aStream)
  , m_order(aOrder)
  , m_writeTimeout(aWriteTimeout)
  , m_serializer(m_response)
{
  m_response.version(11);
}

asio::awaitable<std::error_code>
CallerResponse::WriteHead(ResponseHead aHead)
{
  m_response.result(aHead.m_status);
  for (const HeaderField& field : aHead.m_headers) {
    m_response.insert(field.m_name, field.m_value);
  }
  if (aHead.m_bodyLength) {
    m_response.content_length(*aHead.m_bodyLength);
  } else if (aHead.m_hasBody) {
    m_response.chunked(true);
  }
  m_hasBody = aHead.m_hasBody;
  co_return std::error_code();
}

asio::awaitable<std::error_code>
CallerResponse::WriteBody(std::string_view aBytes, bool aLast)
{
  while (!m_order.MayWrite(*this)) {
    const bool fits = m_kept.size() + aBytes.size() <= kMaxKeptResponseBytes;
    if (fits && !m_order.IsFirst(*this)) {
      m_kept += aBytes;
      m_hasKept = true;
      m_keptLast = aLast;
      co_return std::error_code();
    }
    co_await m_order.Progressed().Wait();
  }
  co_return co_await WriteNow(aBytes, aLast);
}

asio::awaitable<void>
CallerResponse::WriteKept()
{
  if (!m_hasKept) {
    co_return;
  }
  m_hasKept = false;
  const std::string bytes = std::move(m_kept);
  m_kept.clear();
  co_await WriteNow(bytes, m_keptLast);
}

asio::awaitable<std::error_code>
CallerResponse::WriteNow(std::string_view aBytes, bool aLast)
{
  if (m_error) {
    co_return m_error;
  }
  if (!m_begun) {
    m_begun = true;
    m_closesConnection = !m_order.KeepsOpen(*this);
    m_response.keep_alive(!m_closesConnection);
  }
  auto& body = m_response.body();
  const bool empty = aBytes.empty() || !m_hasBody;
  // The writer takes a mutable pointer but does not change the bytes.
  body.data = empty ? nullptr : const_cast<char*>(aBytes.data());
  body.size = empty ? 0 : aBytes.size();
  body.more = !aLast;
  boost::system::error_code error;
  m_stream.expires_after(m_writeTimeout);
  if (!m_hasBody) {
    co_await http::async_write_header(m_stream, m_serializer, Redirect(error));
  } else {
    co_await http::async_write(m_stream, m_serializer, Redirect(error));
  }
  m_stream.expires_never();
  if (error == http::error::need_buffer) {
    error = {};
  }
  m_error = error;
  m_complete = aLast && !error;
  co_return m_error;
}

asio::awaitable<void>
CallerResponse::WriteLocalReply(LocalReply aReply,
                                bool aKeepAlive,
                                bool aIsHead)
{
  m_begun = true;
  m_closesConnection = !aKeepAlive;
  http::response<http::string_body> response;
  response.version(11);
  response.result(aReply.m_status);
  response.set(http::field::content_type, "text/plain");
  for (const HeaderField& field : aReply.m_headers) {
    response.set(field.m_name, field.m_value);
  }
  response.keep_alive(aKeepAlive);
  response.body() = std::move(aReply.m_body);
  response.prepare_payload();
  if (aIsHead) {
    response.body().clear(); // Content-Length stays as for a GET
  }
  boost::system::error_code error;
  m_stream.expires_after(m_writeTimeout);
  co_await http::async_write(m_stream, response, Redirect(error));
  m_stream.expires_never();
  m_complete = !error;
}

} // namespace sassafrasquay
