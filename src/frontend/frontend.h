// HTTP/1.1 server for callers, with one coroutine for each connection.
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "routes/routes.h"

namespace sassafrasquay {

struct FrontendSettings
{
  Endpoint m_listen;
  std::string m_handler = "dispatcher"; // name of the service for requests
  uint32_t m_maxHeadBytes = 16 * 1024;
  uint64_t m_maxBodyBytes = 4ULL << 30;
  uint32_t m_maxConnections = 10000;
  // Requests of one connection under way at the same time; 1: one by one.
  uint32_t m_pipelineDepth = 8;
  // Of all connections together, for responses that wait for an earlier one.
  uint64_t m_pipelineBytes = 32ULL << 20;
  Duration m_headTimeout{ std::chrono::seconds(10) }; // first to last head byte
  Duration m_idleTimeout{ std::chrono::seconds(60) }; // between requests
  Duration m_bodyTimeout{ std::chrono::seconds(30) }; // between body chunks
  Duration m_writeTimeout{ std::chrono::seconds(30) };   // of one write
  Duration m_defaultTimeout{ std::chrono::seconds(10) }; // when none is given
  Duration m_maxTimeout{ std::chrono::minutes(5) }; // that a caller may set
  // Minimum timeout of a request with a streamed body and no explicit timeout.
  Duration m_uploadTimeout{ std::chrono::minutes(15) };
};

// Applies the configuration to a request.
class CallPolicy : public virtual Component
{
public:
  // Sets service, priority, idempotency, latency objective and remaining time
  // of a head whose host, method and path are set. aTimeout is the timeout set
  // by the caller, if any. Returns the reason when the request is refused:
  // NoRoute, UnknownKey, UnknownService or NotReady.
  virtual std::optional<ResultCode> Apply(RequestHead& aHead,
                                          std::optional<Duration> aTimeout) = 0;
  // True when callers identify themselves by keys, which targets must not see.
  virtual bool HasAccounts() const { return false; }
  // Published limits, which override those of the settings.
  virtual CallerLimits Limits() const { return {}; }
  // Version of the published configuration in use; 0: none.
  virtual uint64_t ConfigVersion() const = 0;
};

// What CallPolicy::Apply would do with a request.
struct CallPreview
{
  RequestHead m_head; // as Apply would leave it
  std::optional<ResultCode> m_refusal;
  std::optional<Route> m_route; // absent without published routes
};

// Registered in the kernel as "call_policy".
class CallPreviewer : public virtual Component
{
public:
  // As CallPolicy::Apply, but changes nothing: the next Apply makes the same
  // choice. A head with an account in place of a key gets a key of the account.
  virtual CallPreview Preview(const RequestHead& aHead,
                              std::optional<Duration> aTimeout) const = 0;
};

// The service "frontend". Looks up "call_policy", "caller_dialect",
// "running_requests", "clock", "logger" and "metrics"; requires m_handler
// (CallHandler).
std::shared_ptr<Service>
MakeFrontend(FrontendSettings aSettings);

} // namespace sassafrasquay
