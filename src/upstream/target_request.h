// One request to the local target on one connection. Internal to upstream.
//
// Index of this file
//   [1] Connection
//   [2] TargetRequest
#pragma once

#include "httpbase/response_reader.h"
#include "upstream/target_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace sassafrasquay {

namespace beast = boost::beast;
namespace http = boost::beast::http;

//-----------------------------------------------------------------------------
// [1] Connection
//-----------------------------------------------------------------------------

// One keep-alive connection to the target.
struct Connection
{
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer; // bytes received and not parsed yet
  TimePoint m_idleDeadline;    // an idle connection is not reused after this
  CarriedRequests m_carried;

  // A target may send a head, a chunk header or a trailer without end. Beast
  // limits only heads; the rest ends with buffer_overflow at aMaxBufferBytes.
  Connection(const asio::any_io_executor& aExecutor, size_t aMaxBufferBytes)
    : m_stream(aExecutor)
    , m_buffer(aMaxBufferBytes)
  {
  }

  // False when the target has closed the connection, or has sent bytes that
  // belong to no request.
  bool IsUsable()
  {
    char byte = 0;
    const int socket = m_stream.socket().native_handle();
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return m_buffer.size() == 0 && count < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

using ConnectionPtr = std::unique_ptr<Connection>;

inline auto
Redirect(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

//-----------------------------------------------------------------------------
// [2] TargetRequest
//-----------------------------------------------------------------------------

// Used without a Keep-Alive header, which counts in whole seconds: a target
// that sends none may have a timeout below one second.
inline constexpr Duration kDefaultKeepAlive = std::chrono::milliseconds(100);

// One request on one connection.
class TargetRequest
{
public:
  TargetRequest(Connection& aConnection,
                const RequestHead& aHead,
                BodySource& aBody,
                ResponseSink& aResponse,
                const UpstreamSettings& aSettings,
                const TargetDialect& aDialect,
                const Clock& aClock,
                bool aReadToEnd,
                const std::function<void()>& aOnResponseStart)
    : m_connection(aConnection)
    , m_head(aHead)
    , m_body(aBody)
    , m_sink(aResponse)
    , m_settings(aSettings)
    , m_dialect(aDialect)
    , m_clock(aClock)
    , m_readToEnd(aReadToEnd)
    , m_onResponseStart(aOnResponseStart)
    , m_reader(aConnection.m_stream, aConnection.m_buffer)
  {
    ResetParser();
  }

  asio::awaitable<SendResult> Run(const std::string& aTargetId,
                                  Duration aRemaining);
  bool CanReuse() const { return m_reusable; }
  Duration KeepAlive() const { return m_keepAlive; }

private:
  void ResetParser();
  void BuildRequest(const std::string& aTargetId, Duration aRemaining);
  asio::awaitable<boost::system::error_code> WriteFullRequest();
  asio::awaitable<ResultCode> WriteStreamedRequest();
  asio::awaitable<boost::system::error_code> ReadHead();
  asio::awaitable<SendResult> ForwardResponse();
  asio::awaitable<boost::system::error_code> SkipBody();
  asio::awaitable<bool> ForwardBody();
  asio::awaitable<bool> ForwardChunk(std::string_view aBytes, bool aLast);
  SendResult FinishNotExecuted(ResultCode aCode);
  SendResult FinishInvalid();
  void ParseKeepAlive();
  ResponseHead MakeResponseHead() const;
  SendResult MakeFailure(const boost::system::error_code& aError) const;

  Connection& m_connection;
  const RequestHead& m_head;
  BodySource& m_body;
  ResponseSink& m_sink;
  const UpstreamSettings& m_settings;
  const TargetDialect& m_dialect;
  const Clock& m_clock;
  bool m_readToEnd;
  const std::function<void()>& m_onResponseStart;
  http::request<http::buffer_body> m_request;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  ResponseReader m_reader;
  SendResult m_result;
  TimePoint m_bodyEnd; // the response has ended by then, or is cut
  ResponseHead m_responseHead;
  ResponseInfo m_info;
  std::string m_buffered; // response body that is not forwarded yet
  Duration m_keepAlive = kDefaultKeepAlive;
  bool m_sinkFailed = false;
  bool m_bodySent = false;
  bool m_reusable = false;
};

} // namespace sassafrasquay
