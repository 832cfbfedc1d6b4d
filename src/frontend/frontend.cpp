// The service "frontend": accepts connections of callers.
#include "frontend/frontend.h"

#include "frontend/caller_connection.h"
#include "logging/logging.h"
#include "metrics/metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace sassafrasquay {

namespace {

using asio::ip::tcp;

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

class Frontend : public Service
{
public:
  explicit Frontend(FrontendSettings aSettings)
  {
    m_shared.m_settings = std::move(aSettings);
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { m_shared.m_settings.m_handler };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  void BeginStop() override;
  asio::awaitable<void> Stop() override;

private:
  asio::awaitable<void> AcceptCallers();
  asio::awaitable<void> ServeCaller(tcp::socket aSocket);
  void RecordResult(const RequestHead& aHead,
                    const CallResult& aResult,
                    size_t aAheadCount);
  void RecordHeld(PipelineVerdict aVerdict);

  FrontendShared m_shared;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Metrics> m_metrics;
  std::unique_ptr<tcp::acceptor> m_acceptor;
  std::unique_ptr<Event> m_connectionEnded;
  std::set<std::shared_ptr<CallerConnection>> m_connections;
};

asio::awaitable<void>
Frontend::Start(Kernel& aKernel)
{
  m_shared.m_executor = aKernel.Executor();
  m_shared.m_clock = aKernel.Find<Clock>("clock");
  m_shared.m_dispatcher =
    aKernel.Find<CallHandler>(m_shared.m_settings.m_handler);
  m_shared.m_policy = aKernel.Find<CallPolicy>("call_policy");
  m_shared.m_dialect = aKernel.Find<CallerDialect>("caller_dialect");
  m_shared.m_running = aKernel.Find<RunningRequests>("running_requests");
  m_shared.m_onResult = [this](const RequestHead& aHead,
                               const CallResult& aResult,
                               size_t aAheadCount) {
    RecordResult(aHead, aResult, aAheadCount);
  };
  m_shared.m_onHeld = [this](PipelineVerdict aVerdict) {
    RecordHeld(aVerdict);
  };
  m_shared.m_waitingMemory =
    std::make_shared<WaitingMemory>(m_shared.m_settings.m_pipelineBytes);
  m_logger = aKernel.Find<Logger>("logger");
  m_metrics = aKernel.Find<Metrics>("metrics");
  m_connectionEnded = std::make_unique<Event>(m_shared.m_executor);
  const Endpoint& listen = m_shared.m_settings.m_listen;
  m_acceptor = std::make_unique<tcp::acceptor>(
    m_shared.m_executor,
    tcp::endpoint(asio::ip::make_address(listen.m_address), listen.m_port));
  asio::co_spawn(m_shared.m_executor, AcceptCallers(), asio::detached);
  co_return;
}

void
Frontend::BeginStop()
{
  m_shared.m_stopping = true;
  boost::system::error_code ignored;
  m_acceptor->close(ignored);
  for (const auto& connection : m_connections) {
    connection->BeginStop();
  }
}

asio::awaitable<void>
Frontend::Stop()
{
  while (!m_connections.empty()) {
    co_await m_connectionEnded->Wait();
  }
}

asio::awaitable<void>
Frontend::AcceptCallers()
{
  while (!m_shared.m_stopping) {
    if (m_connections.size() >= m_shared.m_settings.m_maxConnections) {
      co_await m_connectionEnded->Wait();
      continue;
    }
    boost::system::error_code error;
    tcp::socket socket = co_await m_acceptor->async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      asio::co_spawn(
        m_shared.m_executor, ServeCaller(std::move(socket)), asio::detached);
    } else if (!m_shared.m_stopping) {
      // For example out of file descriptors: waits for a connection to end.
      m_logger->Write(
        LogLevel::Error, "accept_failed", { { "error", error.message() } });
      co_await m_connectionEnded->WaitFor(kAcceptRetryDelay);
    }
  }
}

asio::awaitable<void>
Frontend::ServeCaller(tcp::socket aSocket)
{
  const auto connection = MakeCallerConnection(std::move(aSocket), m_shared);
  m_connections.insert(connection);
  co_await connection->Run();
  m_connections.erase(connection);
  m_connectionEnded->Notify();
}

void
Frontend::RecordResult(const RequestHead& aHead,
                       const CallResult& aResult,
                       size_t aAheadCount)
{
  const std::string code = std::to_string(static_cast<int>(aResult.m_code));
  // The caller chooses the Host header, so only known service names become a
  // label.
  const bool known = aResult.m_code == ResultCode::Ok || aResult.m_hasLoad;
  const std::string service = known ? aHead.m_service : "other";
  m_metrics
    ->Histogram("sassafrasquay_request_seconds",
                "Time from the head of a request to the end of its response.",
                { { "service", service } })
    .Observe(aResult.m_totalDuration);
  m_metrics
    ->Counter("sassafrasquay_requests_total",
              "Requests of callers by result code.",
              { { "service", service }, { "code", code } })
    .Add();
  if (aAheadCount > 0) {
    m_metrics
      ->Counter("sassafrasquay_pipelined_requests_total",
                "Requests that began before earlier ones of their connection "
                "were answered, by the number of these.",
                { { "ahead", std::to_string(aAheadCount) } })
      .Add();
  }
  if (aResult.m_code != ResultCode::Ok) {
    m_logger->Write(LogLevel::Warning,
                    "request_failed",
                    { { "id", aHead.m_requestId },
                      { "service", aHead.m_service },
                      { "account", aHead.m_account },
                      { "method", aHead.m_method },
                      { "result", code },
                      { "name", ResultRowFor(aResult.m_code).m_name },
                      { "run", ToString(aResult.m_executed) },
                      { "remaining_ms", aHead.m_remaining },
                      { "ahead", static_cast<uint64_t>(aAheadCount) },
                      { "config", m_shared.m_policy->ConfigVersion() } });
  }
}

void
Frontend::RecordHeld(PipelineVerdict aVerdict)
{
  const bool memory = aVerdict == PipelineVerdict::WaitForMemory;
  m_metrics
    ->Counter("sassafrasquay_pipeline_held_total",
              "Requests that were read but had to wait for earlier responses "
              "of their connection, or for memory.",
              { { "until", memory ? "memory" : "responses" } })
    .Add();
}

} // namespace

std::shared_ptr<Service>
MakeFrontend(FrontendSettings aSettings)
{
  return std::make_shared<Frontend>(std::move(aSettings));
}

} // namespace sassafrasquay
