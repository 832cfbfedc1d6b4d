// Administrative HTTP server of a node.
#include "control/control.h"

#include "explain/explain_json.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "upstream/upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace sassafrasquay {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
// Bytes received and not parsed yet. Exceeds the parser's head limit, and ends
// chunk headers and trailers, which the parser does not limit.
constexpr size_t kMaxBufferBytes = 64 * 1024;

using Request = http::request<http::string_body>;
using Response = PageResponse;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnavailable = 503;

Response
Success()
{
  return { 200, "ok\n" };
}

Response
BadRequest(std::string aReason)
{
  return { kBadRequest, std::move(aReason) + "\n" };
}

// Reads an unsigned number; false when missing or out of range.
bool
ReadNumber(const json::object& aObject, std::string_view aName, uint64_t& aOut)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return false;
  }
  boost::system::error_code error;
  aOut = value->to_number<uint64_t>(error);
  return !error;
}

bool
ReadText(const json::object& aObject, std::string_view aName, std::string& aOut)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return false;
  }
  aOut = std::string(value->as_string());
  return true;
}

class Control : public Service
{
public:
  explicit Control(ControlSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gateway" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;

private:
  asio::awaitable<void> AcceptConnections(tcp::acceptor& aAcceptor);
  asio::awaitable<void> Serve(tcp::socket aSocket);
  Response Handle(const Request& aRequest);
  Response HandleGet(std::string_view aPath);
  Response HandlePost(std::string_view aPath, const json::object& aBody);
  Response Announce(const json::object& aBody);
  Response SetLog(const json::object& aBody);
  Response Explain(const json::object& aBody) const;

  ControlSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Metrics> m_metrics;
  std::shared_ptr<TargetControl> m_target;
  std::shared_ptr<NodeStatus> m_nodeStatus;
  std::shared_ptr<Explainer> m_explainer;
  std::shared_ptr<AdminPages> m_adminPages; // may be empty
  std::vector<std::unique_ptr<tcp::acceptor>> m_acceptors;
  std::unique_ptr<Event> m_stopped;
  bool m_stopping = false;
};

asio::awaitable<void>
Control::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_logger = aKernel.Find<Logger>("logger");
  m_metrics = aKernel.Find<Metrics>("metrics");
  m_target = aKernel.Find<TargetControl>("gateway");
  m_nodeStatus = aKernel.Find<NodeStatus>("node_state");
  m_explainer = aKernel.Find<Explainer>("explain");
  m_stopped = std::make_unique<Event>(m_executor);
  if (m_settings.m_hasAdminPages) {
    m_adminPages = aKernel.Find<AdminPages>("extra_pages");
  }
  for (const Endpoint& listen : m_settings.m_listen) {
    m_acceptors.push_back(std::make_unique<tcp::acceptor>(
      m_executor,
      tcp::endpoint(asio::ip::make_address(listen.m_address), listen.m_port)));
    asio::co_spawn(
      m_executor, AcceptConnections(*m_acceptors.back()), asio::detached);
  }
  co_return;
}

asio::awaitable<void>
Control::Stop()
{
  m_stopping = true;
  boost::system::error_code ignored;
  for (const auto& acceptor : m_acceptors) {
    acceptor->close(ignored);
  }
  m_stopped->Notify();
  co_return;
}

asio::awaitable<void>
Control::AcceptConnections(tcp::acceptor& aAcceptor)
{
  while (!m_stopping) {
    boost::system::error_code error;
    tcp::socket socket = co_await aAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      asio::co_spawn(m_executor, Serve(std::move(socket)), asio::detached);
    } else if (!m_stopping) {
      co_await m_stopped->WaitFor(kAcceptRetryDelay);
    }
  }
}

asio::awaitable<void>
Control::Serve(tcp::socket aSocket)
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer(kMaxBufferBytes);
  boost::system::error_code error;
  bool open = true;
  while (open && !error && !m_stopping) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(m_settings.m_maxBodyBytes);
    stream.expires_after(m_settings.m_timeout);
    co_await http::async_read(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    Response page = Handle(parser.get());
    http::response<http::string_body> response;
    response.version(11);
    response.result(page.m_status);
    response.set(http::field::content_type, page.m_contentType);
    response.keep_alive(parser.keep_alive());
    response.body() = std::move(page.m_body);
    response.prepare_payload();
    open = parser.keep_alive();
    co_await http::async_write(
      stream, response, asio::redirect_error(asio::use_awaitable, error));
  }
}

Response
Control::Handle(const Request& aRequest)
{
  const std::string_view path = aRequest.target();
  if (m_adminPages) {
    auto adminPage =
      m_adminPages->Handle(aRequest.method_string(), path, aRequest.body());
    if (adminPage) {
      return std::move(*adminPage);
    }
  }
  if (aRequest.method() == http::verb::get) {
    return HandleGet(path);
  }
  if (aRequest.method() != http::verb::post) {
    return { kMethodNotAllowed, "use GET or POST\n" };
  }
  boost::system::error_code error;
  json::value body = json::object();
  if (!aRequest.body().empty()) {
    body = json::parse(aRequest.body(), error);
  }
  if (error || !body.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  return HandlePost(path, body.as_object());
}

Response
Control::HandleGet(std::string_view aPath)
{
  if (aPath == "/healthz") {
    return Success();
  }
  if (aPath == "/readyz") {
    const std::string reason = m_nodeStatus->NotReadyReason();
    if (reason.empty()) {
      return Success();
    }
    return { kUnavailable, reason + "\n" };
  }
  if (aPath == "/metrics") {
    m_nodeStatus->UpdateMetrics();
    return { 200, m_metrics->PrometheusText(), "text/plain; version=0.0.4" };
  }
  if (aPath == "/status") {
    return { 200, m_nodeStatus->StatusJson(), "application/json" };
  }
  return { kNotFound, "no such page\n" };
}

Response
Control::HandlePost(std::string_view aPath, const json::object& aBody)
{
  if (aPath == "/v1/target/announce") {
    return Announce(aBody);
  }
  if (aPath == "/v1/log") {
    return SetLog(aBody);
  }
  if (aPath == "/v1/explain") {
    return Explain(aBody);
  }
  if (aPath == "/v1/target/drain") {
    m_target->Drain("");
    return Success();
  }
  if (aPath == "/v1/target/cold") {
    m_target->MarkCold();
    return Success();
  }
  if (aPath == "/v1/target/load") {
    uint64_t inUse = 0;
    uint64_t queued = 0;
    if (!ReadNumber(aBody, "in_use", inUse) ||
        !ReadNumber(aBody, "queued", queued)) {
      return BadRequest("in_use and queued must be unsigned numbers");
    }
    m_target->ReportLoad(static_cast<uint32_t>(inUse),
                         static_cast<uint32_t>(queued));
    return Success();
  }
  return { kNotFound, "no such action\n" };
}

Response
Control::Announce(const json::object& aBody)
{
  TargetAnnouncement target;
  uint64_t slots = 0;
  std::string address;
  if (!ReadText(aBody, "service", target.m_service) ||
      !ReadText(aBody, "address", address) ||
      !ReadNumber(aBody, "slots", slots) ||
      !ReadNumber(aBody, "incarnation", target.m_incarnation)) {
    return BadRequest("service, address, slots and incarnation are required");
  }
  if (!ParseEndpoint(address, target.m_address)) {
    return BadRequest("address must be IP:port");
  }
  target.m_slots = static_cast<uint32_t>(std::min<uint64_t>(slots, UINT32_MAX));
  if (m_target->Announce(target)) {
    return BadRequest("service must be set and slots from 1 to 4096");
  }
  return Success();
}

Response
Control::SetLog(const json::object& aBody)
{
  std::string level;
  if (ReadText(aBody, "level", level)) {
    LogLevel parsed = LogLevel::Info;
    if (!ParseLogLevel(level, parsed)) {
      return BadRequest("level must be debug, info, warning or error");
    }
    m_logger->SetLevel(parsed);
  }
  if (const json::value* sample = aBody.if_contains("decision_sample")) {
    boost::system::error_code error;
    const double share = sample->to_number<double>(error);
    if (error || share < 0 || share > 1) {
      return BadRequest("decision_sample must be from 0 to 1");
    }
    m_logger->SetDecisionSampleRate(share);
  }
  return Success();
}

// The body may contain a key, so it is not logged.
Response
Control::Explain(const json::object& aBody) const
{
  std::string fault;
  const std::optional<ExplainQuery> query = ParseExplainQuery(aBody, fault);
  if (!query) {
    return BadRequest(std::move(fault));
  }
  const auto explanation = m_explainer->Explain(*query);
  if (!explanation) {
    return { kUnavailable, "the node is starting\n" };
  }
  json::object object = ToJson(*explanation);
  object["not_ready"] = m_nodeStatus->NotReadyReason();
  return { 200, json::serialize(object) + "\n", "application/json" };
}

} // namespace

std::shared_ptr<Service>
MakeControl(ControlSettings aSettings)
{
  return std::make_shared<Control>(std::move(aSettings));
}

} // namespace sassafrasquay
