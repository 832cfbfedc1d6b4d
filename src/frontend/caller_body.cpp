// Reads request bodies of callers.
#include "frontend/caller_body.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace sassafrasquay {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadChunkBytes = 32 * 1024;

auto
Redirect(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

ResultCode
ResultCodeOf(const boost::system::error_code& aError)
{
  if (!aError || aError == http::error::need_buffer) {
    return ResultCode::Ok;
  }
  if (aError == beast::error::timeout) {
    return ResultCode::SenderTooSlow;
  }
  if (aError == http::error::body_limit) {
    return ResultCode::BodyTooLarge;
  }
  const bool closed =
    aError == http::error::partial_message ||
    aError == http::error::end_of_stream ||
    aError.category() !=
      http::make_error_code(http::error::end_of_stream).category();
  return closed ? ResultCode::CallerGone : ResultCode::MalformedRequest;
}

} // namespace

// Reads into m_chunk.
asio::awaitable<ResultCode>
CallerBody::ReadChunk(size_t aMaxBytes, size_t& aCount)
{
  boost::system::error_code error;
  if (m_expectContinue) {
    m_expectContinue = false;
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
      m_stream, asio::buffer(kContinue), Redirect(error));
  }
  m_chunk.resize(kReadChunkBytes);
  const size_t size = std::min(aMaxBytes, m_chunk.size());
  auto& body = m_parser.get().body();
  body.data = m_chunk.data();
  body.size = size;
  body.more = true;
  m_stream.expires_after(m_settings.m_bodyTimeout);
  co_await http::async_read_some(m_stream, m_buffer, m_parser, Redirect(error));
  aCount = size - body.size;
  if (m_parser.is_done()) {
    m_stream.expires_never();
    m_changed.Notify();
  }
  co_return ResultCodeOf(error);
}

asio::awaitable<ResultCode>
CallerBody::Prefetch(size_t aLimit)
{
  while (!m_parser.is_done() && m_prefetched.size() < aLimit) {
    size_t count = 0;
    const ResultCode code =
      co_await ReadChunk(aLimit - m_prefetched.size(), count);
    m_prefetched.append(m_chunk.data(), count);
    if (code != ResultCode::Ok) {
      co_return code;
    }
  }
  co_return ResultCode::Ok;
}

asio::awaitable<BodyChunk>
CallerBody::Read()
{
  BodyChunk chunk;
  size_t count = 0;
  if (!m_prefetched.empty()) {
    m_chunk.resize(kReadChunkBytes);
    count = m_prefetched.copy(m_chunk.data(), m_chunk.size());
    m_prefetched.erase(0, count);
  } else if (!m_parser.is_done()) {
    const ResultCode code = co_await ReadChunk(kReadChunkBytes, count);
    if (code != ResultCode::Ok) {
      chunk.m_error = code;
      co_return chunk;
    }
  }
  chunk.m_bytes = { m_chunk.data(), count };
  chunk.m_last = m_prefetched.empty() && m_parser.is_done();
  co_return chunk;
}

} // namespace sassafrasquay
