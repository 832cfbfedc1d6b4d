// Connection pool of the local target.
#include "upstream/target_client.h"

#include "httpbase/httpbase.h"
#include "httpbase/response_reader.h"
#include "upstream/target_request.h"

namespace sassafrasquay {

using asio::ip::tcp;

namespace {

// Room in a connection's buffer beside the longest head.
constexpr size_t kBodyBufferBytes = 32 * 1024;
// Of a health response or the response to a cancel request.
constexpr uint64_t kMaxSmallBodyBytes = 64 * 1024;

class PooledTargetClient : public TargetClient
{
public:
  PooledTargetClient(UpstreamSettings aSettings,
                     asio::any_io_executor aExecutor,
                     std::shared_ptr<Clock> aClock,
                     std::shared_ptr<TargetDialect> aDialect)
    : m_settings(std::move(aSettings))
    , m_executor(std::move(aExecutor))
    , m_clock(std::move(aClock))
    , m_dialect(std::move(aDialect))
  {
  }

  asio::awaitable<SendResult> Send(
    const TargetAnnouncement& aTarget,
    const RequestHead& aHead,
    BodySource& aBody,
    ResponseSink& aResponse,
    TimePoint aDeadline,
    bool aReadToEnd,
    const std::function<void()>& aOnResponseStart) override;
  asio::awaitable<void> Cancel(Endpoint aTarget, CallId aCall) override;
  asio::awaitable<std::optional<HealthReport>> Probe(
    Endpoint aTarget,
    std::string aPath) override;
  asio::awaitable<bool> AcceptsConnections(Endpoint aTarget) override;
  void CloseIdle() override { m_idle.clear(); }

private:
  ConnectionPtr TakeIdle(const Endpoint& aTarget,
                         const std::string& aResponseId);
  asio::awaitable<ConnectionPtr> Open(const Endpoint& aTarget);
  // Whether the target ends the connection within aTime.
  static asio::awaitable<bool> EndsWithin(Connection& aConnection,
                                          Duration aTime);
  asio::awaitable<boost::system::error_code> Exchange(
    Connection& aConnection,
    http::request<http::empty_body> aRequest,
    http::response_header<>& aResponse,
    bool& aKeepAlive) const;

  UpstreamSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<TargetDialect> m_dialect;
  Endpoint m_idleTarget; // address of the idle connections
  std::vector<ConnectionPtr> m_idle;
  Endpoint m_probeTarget;
  ConnectionPtr m_probeConnection; // idle between two probes
};

// Returns a usable connection that has not carried the request, or null.
ConnectionPtr
PooledTargetClient::TakeIdle(const Endpoint& aTarget,
                             const std::string& aResponseId)
{
  if (m_idleTarget != aTarget) {
    m_idle.clear();
    m_idleTarget = aTarget;
  }
  const TimePoint now = m_clock->Now();
  for (size_t i = m_idle.size(); i > 0; --i) {
    if (!m_idle[i - 1]->m_carried.MayCarry(aResponseId)) {
      continue;
    }
    ConnectionPtr connection = std::move(m_idle[i - 1]);
    m_idle.erase(m_idle.begin() + static_cast<ptrdiff_t>(i - 1));
    if (now < connection->m_idleDeadline && connection->IsUsable()) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<ConnectionPtr>
PooledTargetClient::Open(const Endpoint& aTarget)
{
  auto connection = std::make_unique<Connection>(
    m_executor, m_settings.m_maxHeadBytes + kBodyBufferBytes);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTarget.m_address, error);
  if (error) {
    co_return nullptr;
  }
  connection->m_stream.expires_after(m_settings.m_connectTimeout);
  co_await connection->m_stream.async_connect(
    tcp::endpoint(address, aTarget.m_port), Redirect(error));
  if (error) {
    co_return nullptr;
  }
  connection->m_stream.socket().set_option(tcp::no_delay(true), error);
  co_return connection;
}

// A full target may reset a connection as well, but accepts the next one.
asio::awaitable<bool>
PooledTargetClient::AcceptsConnections(Endpoint aTarget)
{
  const ConnectionPtr first = co_await Open(aTarget);
  if (!first) {
    co_return false;
  }
  const bool ended = co_await EndsWithin(*first, m_settings.m_crashCheckTime);
  if (!ended) {
    co_return true;
  }
  const ConnectionPtr second = co_await Open(aTarget);
  co_return second != nullptr;
}

asio::awaitable<bool>
PooledTargetClient::EndsWithin(Connection& aConnection, Duration aTime)
{
  char byte = 0;
  boost::system::error_code error;
  aConnection.m_stream.expires_after(aTime);
  co_await aConnection.m_stream.async_read_some(asio::buffer(&byte, 1),
                                                Redirect(error));
  co_return error&& error != boost::beast::error::timeout;
}

// Sends a request and reads a response whose body is not needed.
asio::awaitable<boost::system::error_code>
PooledTargetClient::Exchange(Connection& aConnection,
                             http::request<http::empty_body> aRequest,
                             http::response_header<>& aResponse,
                             bool& aKeepAlive) const
{
  boost::system::error_code error;
  co_await http::async_write(aConnection.m_stream, aRequest, Redirect(error));
  if (error) {
    co_return error;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxSmallBodyBytes);
  ResponseReader reader(aConnection.m_stream, aConnection.m_buffer);
  error = co_await reader.ReadHead(parser, m_settings.m_maxHeadBytes);
  if (error) {
    co_return error;
  }
  aResponse = parser.get().base(); // without fields of the trailer
  error = co_await reader.ReadBody(parser);
  aKeepAlive = !error && parser.keep_alive();
  co_return error;
}

asio::awaitable<SendResult>
PooledTargetClient::Send(const TargetAnnouncement& aTarget,
                         const RequestHead& aHead,
                         BodySource& aBody,
                         ResponseSink& aResponse,
                         TimePoint aDeadline,
                         bool aReadToEnd,
                         const std::function<void()>& aOnResponseStart)
{
  const Endpoint address = aTarget.m_address;
  const std::string id = aTarget.m_id;
  ConnectionPtr connection = TakeIdle(address, m_dialect->ResponseId(aHead));
  if (!connection) {
    connection = co_await Open(address);
  }
  SendResult result;
  if (!connection) {
    result.m_code = ResultCode::TargetUnreachable;
    result.m_executed = Executed::No;
    co_return result;
  }
  const Duration remaining = aDeadline - m_clock->Now();
  if (remaining <= Duration::zero()) {
    result.m_outcome = RequestOutcome::Cancelled;
    result.m_code = ResultCode::ExpiredBeforeRun;
    result.m_executed = Executed::No;
    co_return result;
  }
  TargetRequest request(*connection,
                        aHead,
                        aBody,
                        aResponse,
                        m_settings,
                        *m_dialect,
                        *m_clock,
                        aReadToEnd,
                        aOnResponseStart);
  result = co_await request.Run(id, remaining);
  const bool reusable = request.CanReuse() && !connection->m_carried.IsFull() &&
                        m_idleTarget == address &&
                        m_idle.size() < m_settings.m_maxIdleConnections;
  if (reusable) {
    const Duration idle =
      std::min(request.KeepAlive(), m_settings.m_idleConnectionTimeout);
    connection->m_idleDeadline = m_clock->Now() + idle;
    connection->m_stream.expires_never();
    m_idle.push_back(std::move(connection));
  }
  co_return result;
}

asio::awaitable<void>
PooledTargetClient::Cancel(Endpoint aTarget, CallId aCall)
{
  const std::string path = m_dialect->CancelPath(aCall);
  if (path.empty()) {
    co_return;
  }
  const ConnectionPtr connection = co_await Open(aTarget);
  if (!connection) {
    co_return;
  }
  http::request<http::empty_body> request(http::verb::post, path, 11);
  request.set(http::field::host, ToString(aTarget));
  request.prepare_payload();
  connection->m_stream.expires_after(m_settings.m_cancelTimeout);
  http::response_header<> ignored;
  bool keepAlive = false;
  co_await Exchange(*connection, std::move(request), ignored, keepAlive);
}

asio::awaitable<std::optional<HealthReport>>
PooledTargetClient::Probe(Endpoint aTarget, std::string aPath)
{
  ConnectionPtr connection = std::move(m_probeConnection);
  const bool reused = connection && m_probeTarget == aTarget &&
                      m_clock->Now() < connection->m_idleDeadline &&
                      connection->IsUsable();
  if (!reused) {
    connection = co_await Open(aTarget);
  }
  if (!connection) {
    co_return std::nullopt;
  }
  http::request<http::empty_body> request(http::verb::get, aPath, 11);
  request.set(http::field::host, ToString(aTarget));
  connection->m_stream.expires_after(m_settings.m_probeTimeout);
  http::response_header<> response;
  bool keepAlive = false;
  const boost::system::error_code error =
    co_await Exchange(*connection, std::move(request), response, keepAlive);
  if (error) {
    co_return std::nullopt;
  }
  ResponseHead head;
  head.m_status = static_cast<uint16_t>(response.result_int());
  head.m_headers = EndToEndHeaders(response);
  if (keepAlive) {
    connection->m_stream.expires_never();
    connection->m_idleDeadline = m_clock->Now() + m_settings.m_probeIdleTimeout;
    m_probeConnection = std::move(connection);
    m_probeTarget = aTarget;
  }
  co_return m_dialect->ParseHealth(head);
}

} // namespace

CallOutcome
CallOutcomeOf(const SendResult& aResult)
{
  if (aResult.m_outcome == RequestOutcome::Shed) {
    return CallOutcome::Shed;
  }
  if (aResult.m_executed == Executed::No) {
    return CallOutcome::Unsent;
  }
  const bool complete = aResult.m_outcome == RequestOutcome::Completed ||
                        aResult.m_outcome == RequestOutcome::Error;
  return complete ? CallOutcome::Completed : CallOutcome::Broken;
}

TargetResult
EvidenceOf(const SendResult& aResult)
{
  const bool isUnsent = aResult.m_executed == Executed::No ||
                        aResult.m_code == ResultCode::CallerGone;
  if (isUnsent) {
    return TargetResult::Ignored;
  }
  constexpr unsigned kMinFailureStatus = 500;
  return aResult.m_code == ResultCode::Ok &&
             aResult.m_status < kMinFailureStatus
           ? TargetResult::Good
           : TargetResult::Failed;
}

std::unique_ptr<TargetClient>
MakeTargetClient(UpstreamSettings aSettings,
                 asio::any_io_executor aExecutor,
                 std::shared_ptr<Clock> aClock,
                 std::shared_ptr<TargetDialect> aDialect)
{
  return std::make_unique<PooledTargetClient>(std::move(aSettings),
                                              std::move(aExecutor),
                                              std::move(aClock),
                                              std::move(aDialect));
}

} // namespace sassafrasquay
