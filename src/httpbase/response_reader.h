// Reads HTTP responses of a target, the store or a control address.
//
// Internal to the code that uses Beast: the header is expensive to compile.
#pragma once

#include "httpbase/header_scanner.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace sassafrasquay {

// Reads the responses to one request on one connection. Responses whose head or
// trailer violates RFC 9112 end with an error before any of that section is
// passed on. The connection must be closed after any error except need_buffer.
class ResponseReader
{
public:
  using Parser = boost::beast::http::basic_parser<false>;

  // Both must outlive the reader.
  ResponseReader(boost::beast::tcp_stream& aStream,
                 boost::beast::flat_buffer& aBuffer)
    : m_stream(aStream)
    , m_buffer(aBuffer)
  {
  }

  // Records how a write on the connection ended. A failed write may have taken
  // the socket's error; the kernel then reports a reset as an orderly end.
  void OnWriteEnded(const boost::system::error_code& aError);

  // Reads and parses the head of the next final response. Skips interim
  // responses.
  boost::asio::awaitable<boost::system::error_code> ReadHead(
    Parser& aParser,
    size_t aMaxHeadBytes);
  // Reads a part of the body and adds the number of received bytes that were
  // parsed to aParsed. Returns need_buffer when a buffer_body is full.
  boost::asio::awaitable<boost::system::error_code> ReadSome(Parser& aParser,
                                                             size_t& aParsed);
  // Reads the whole body into a parser whose body has no buffer to fill.
  boost::asio::awaitable<boost::system::error_code> ReadBody(Parser& aParser);

private:
  boost::asio::awaitable<boost::system::error_code>
  ScanHead(HeaderScanner& aScanner, size_t aMaxHeadBytes, size_t& aHeadBytes);
  boost::asio::awaitable<boost::system::error_code> Receive();
  std::string_view Received() const;

  boost::beast::tcp_stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  bool m_writeFailed = false;
};

// True when the bytes received are no valid response, as opposed to a response
// that was cut off or is longer than its reader wants.
bool
IsMalformedResponse(const boost::system::error_code& aError);

} // namespace sassafrasquay
