// HTTP/1.1 requests to the local target. Internal to upstream.
#pragma once

#include "admission/admission.h"
#include "dialect/dialect.h"
#include "idempotency/idempotency.h"
#include "rollout/rollout.h"
#include "upstream/upstream.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>

namespace sassafrasquay {

struct SendResult
{
  RequestOutcome m_outcome = RequestOutcome::Broken;
  ResultCode m_code = ResultCode::TargetFailed;
  Executed m_executed = Executed::Maybe;
  bool m_responseStarted = false;
  bool m_bodyConsumed = false;
  uint16_t m_status = 0;
  std::optional<TargetLoad> m_load; // from the headers of the response
};

// The outcome to record in the call ledger.
CallOutcome
CallOutcomeOf(const SendResult& aResult);

// What the result tells about the version of the target.
TargetResult
EvidenceOf(const SendResult& aResult);

class TargetClient
{
public:
  virtual ~TargetClient() = default;
  // Sends the request and forwards the response to the sink. Calls
  // aOnResponseStart when the response head has arrived. aReadToEnd: reads the
  // response to its end even when the sink fails, so that the outcome is known.
  virtual asio::awaitable<SendResult> Send(
    const TargetAnnouncement& aTarget,
    const RequestHead& aHead,
    BodySource& aBody,
    ResponseSink& aResponse,
    TimePoint aDeadline,
    bool aReadToEnd,
    const std::function<void()>& aOnResponseStart) = 0;
  // Sends a cancel request to the target; failures are ignored.
  virtual asio::awaitable<void> Cancel(Endpoint aTarget, CallId aCall) = 0;
  // Requests the health page; nullopt when no response arrives in time.
  virtual asio::awaitable<std::optional<HealthReport>> Probe(
    Endpoint aTarget,
    std::string aPath) = 0;
  // Whether a new connection to the target can be opened and, if the target
  // ends it at once, another one.
  virtual asio::awaitable<bool> AcceptsConnections(Endpoint aTarget) = 0;
  virtual void CloseIdle() = 0;
};

std::unique_ptr<TargetClient>
MakeTargetClient(UpstreamSettings aSettings,
                 asio::any_io_executor aExecutor,
                 std::shared_ptr<Clock> aClock,
                 std::shared_ptr<TargetDialect> aDialect);

} // namespace sassafrasquay
