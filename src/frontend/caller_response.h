// Response to one request of a caller. Internal to the front end.
#pragma once

#include "call/call.h"
#include "dialect/dialect.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace sassafrasquay {

class ResponseOrder;

// Writes the response to the connection while it is the first in order; the
// head is sent with the first body bytes. Before that it keeps the bytes up to
// kMaxKeptResponseBytes; a sender with more waits.
class CallerResponse : public ResponseSink
{
public:
  CallerResponse(boost::beast::tcp_stream& aStream,
                 ResponseOrder& aOrder,
                 Duration aWriteTimeout);

  asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) override;
  asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                             bool aLast) override;

  // The following are called when the response is the first in order.

  // Writes the kept bytes. An error is reported by the next WriteBody, and the
  // response stays incomplete.
  asio::awaitable<void> WriteKept();
  // Writes a response of the node itself in place of one that has not begun.
  // aIsHead: the request has the method HEAD.
  asio::awaitable<void> WriteLocalReply(LocalReply aReply,
                                        bool aKeepAlive,
                                        bool aIsHead);

  // True when all of it is kept and nothing has been written.
  bool IsKeptWhole() const { return m_hasKept && m_keptLast; }
  // True when a part of it may have reached the caller.
  bool HasBegun() const { return m_begun; }
  bool IsComplete() const { return m_complete; }
  // True when the head that was written announces the end of the connection.
  bool ClosesConnection() const { return m_closesConnection; }

private:
  asio::awaitable<std::error_code> WriteNow(std::string_view aBytes,
                                            bool aLast);

  boost::beast::tcp_stream& m_stream;
  ResponseOrder& m_order;
  Duration m_writeTimeout;
  boost::beast::http::response<boost::beast::http::buffer_body> m_response;
  boost::beast::http::response_serializer<boost::beast::http::buffer_body>
    m_serializer;
  std::string m_kept;
  bool m_hasKept = false; // also true for a kept end without bytes
  bool m_keptLast = false;
  bool m_hasBody = true;
  bool m_begun = false;
  bool m_complete = false;
  bool m_closesConnection = false;
  std::error_code m_error; // of an earlier write
};

} // namespace sassafrasquay
