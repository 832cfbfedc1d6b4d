// Reads HTTP responses of a target, the store or a control address.
#include "httpbase/response_reader.h"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace sassafrasquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadBytes = 64 * 1024;
constexpr int kMaxInterimResponses = 32; // 1xx heads before a response
// Never requested, so it begins no response.
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;

// aEnd is what Beast parsed last: the last chunk and the trailer, preceded by
// the line end of the chunk before.
bool
IsValidTrailer(std::string_view aEnd)
{
  constexpr std::string_view kLineEnd = "\r\n";
  if (aEnd.substr(0, kLineEnd.size()) == kLineEnd) {
    aEnd.remove_prefix(kLineEnd.size());
  }
  const size_t sizeEnd = aEnd.find(kLineEnd);
  if (sizeEnd == std::string_view::npos) {
    return false;
  }
  aEnd.remove_prefix(sizeEnd + kLineEnd.size());
  HeaderScanner scanner(HeaderScanner::Section::Trailer);
  return scanner.Scan(aEnd) == aEnd.size() && scanner.IsComplete();
}

} // namespace

void
ResponseReader::OnWriteEnded(const boost::system::error_code& aError)
{
  // An aborted write was not attempted, and need_buffer ends a part of a body.
  if (aError && aError != asio::error::operation_aborted &&
      aError != http::error::need_buffer) {
    m_writeFailed = true;
  }
}

std::string_view
ResponseReader::Received() const
{
  return { static_cast<const char*>(m_buffer.data().data()), m_buffer.size() };
}

asio::awaitable<boost::system::error_code>
ResponseReader::Receive()
{
  boost::system::error_code error;
  const size_t size = boost::beast::read_size(m_buffer, kReadBytes);
  if (size == 0) {
    co_return http::make_error_code(http::error::buffer_overflow);
  }
  const size_t count = co_await m_stream.async_read_some(
    m_buffer.prepare(size), asio::redirect_error(asio::use_awaitable, error));
  m_buffer.commit(count);
  co_return error;
}

// Receives a whole head. aHeadBytes is its size.
asio::awaitable<boost::system::error_code>
ResponseReader::ScanHead(HeaderScanner& aScanner,
                         size_t aMaxHeadBytes,
                         size_t& aHeadBytes)
{
  while (true) {
    aHeadBytes +=
      aScanner.Scan(Received().substr(0, aMaxHeadBytes).substr(aHeadBytes));
    if (aScanner.IsComplete()) {
      co_return boost::system::error_code();
    }
    if (aScanner.IsInvalid()) {
      co_return http::make_error_code(http::error::bad_field);
    }
    if (aHeadBytes == aMaxHeadBytes) {
      co_return http::make_error_code(http::error::header_limit);
    }
    const boost::system::error_code error = co_await Receive();
    if (error == asio::error::eof) {
      co_return http::make_error_code(m_buffer.size() == 0
                                        ? http::error::end_of_stream
                                        : http::error::partial_message);
    }
    if (error) {
      co_return error;
    }
  }
}

asio::awaitable<boost::system::error_code>
ResponseReader::ReadHead(Parser& aParser, size_t aMaxHeadBytes)
{
  aParser.eager(false);
  aParser.header_limit(static_cast<uint32_t>(aMaxHeadBytes));
  int interim = 0;
  while (true) {
    HeaderScanner scanner(HeaderScanner::Section::Head);
    size_t headBytes = 0;
    boost::system::error_code error =
      co_await ScanHead(scanner, aMaxHeadBytes, headBytes);
    if (error) {
      co_return error;
    }
    if (scanner.Status() == kSwitchingProtocols) {
      co_return http::make_error_code(http::error::bad_status);
    }
    if (scanner.Status() < kFirstFinalStatus) {
      if (++interim > kMaxInterimResponses) {
        co_return http::make_error_code(http::error::header_limit);
      }
      m_buffer.consume(headBytes);
      continue;
    }
    const std::string_view head = Received().substr(0, headBytes);
    if (!HasValidTransferEncoding(head)) {
      co_return http::make_error_code(http::error::bad_transfer_encoding);
    }
    aParser.put(asio::buffer(head), error);
    m_buffer.consume(headBytes);
    co_return error;
  }
}

asio::awaitable<boost::system::error_code>
ResponseReader::ReadSome(Parser& aParser, size_t& aParsed)
{
  boost::system::error_code error;
  while (true) {
    if (m_buffer.size() > 0) {
      const size_t parsed = aParser.put(m_buffer.data(), error);
      const bool trailerParsed = aParser.chunked() && aParser.is_done();
      if (!error && trailerParsed &&
          !IsValidTrailer(Received().substr(0, parsed))) {
        error = http::make_error_code(http::error::bad_field);
      }
      m_buffer.consume(parsed);
      aParsed += parsed;
      if (error != http::error::need_more) {
        co_return error;
      }
    }
    error = co_await Receive();
    if (error == asio::error::eof) {
      if (m_writeFailed) {
        co_return http::make_error_code(http::error::partial_message);
      }
      error.clear();
      aParser.put_eof(error);
      co_return error;
    }
    if (error) {
      co_return error;
    }
  }
}

asio::awaitable<boost::system::error_code>
ResponseReader::ReadBody(Parser& aParser)
{
  boost::system::error_code error;
  size_t parsed = 0;
  while (!error && !aParser.is_done()) {
    error = co_await ReadSome(aParser, parsed);
  }
  co_return error;
}

bool
IsMalformedResponse(const boost::system::error_code& aError)
{
  static const auto& category =
    http::make_error_code(http::error::bad_field).category();
  return aError && aError.category() == category &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message &&
         aError != http::error::header_limit &&
         aError != http::error::body_limit &&
         aError != http::error::buffer_overflow;
}

} // namespace sassafrasquay
