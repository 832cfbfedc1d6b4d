// Body of one request of a caller. Internal to the front end.
#pragma once

#include "call/call.h"
#include "frontend/frontend.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace sassafrasquay {

using CallerParser =
  boost::beast::http::request_parser<boost::beast::http::buffer_body>;

// Reads the request body on demand.
class CallerBody : public BodySource
{
public:
  // aChanged is notified when the body is complete.
  CallerBody(boost::beast::tcp_stream& aStream,
             boost::beast::flat_buffer& aBuffer,
             CallerParser& aParser,
             const FrontendSettings& aSettings,
             Event& aChanged)
    : m_stream(aStream)
    , m_buffer(aBuffer)
    , m_parser(aParser)
    , m_settings(aSettings)
    , m_changed(aChanged)
  {
  }

  asio::awaitable<BodyChunk> Read() override;
  // Reads ahead up to aLimit bytes, which Read returns first. Returns a code
  // other than Ok when the body ended early.
  asio::awaitable<ResultCode> Prefetch(size_t aLimit);

  bool IsComplete() const { return m_parser.is_done(); }
  std::string& Prefetched() { return m_prefetched; }
  void ExpectContinue() { m_expectContinue = true; }

private:
  asio::awaitable<ResultCode> ReadChunk(size_t aMaxBytes, size_t& aCount);

  boost::beast::tcp_stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  CallerParser& m_parser;
  const FrontendSettings& m_settings;
  Event& m_changed;
  std::string m_prefetched;
  std::vector<char> m_chunk; // allocated by the first read
  bool m_expectContinue = false;
};

} // namespace sassafrasquay
