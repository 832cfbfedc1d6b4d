// HTTP/1.1 requests to the node's own target. Internal to upstream.
#pragma once

#include "admission/admission.h"
#include "dialect/dialect.h"
#include "idempotency/idempotency.h"
#include "upstream/upstream.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>

namespace sassafrasquay {

struct TargetResult
{
  RequestOutcome m_end = RequestOutcome::Broken;
  ResultCode m_code = ResultCode::TargetFailed;
  Run m_run = Run::Maybe;
  bool m_responseStarted = false;
  bool m_bodyConsumed = false;
  uint16_t m_status = 0;
  std::optional<TargetLoad> m_load; // as the target states it on its answer
};

// What the ledger learns from it.
CallOutcome
CallOutcomeOf(const TargetResult& aSent);

class TargetClient
{
public:
  virtual ~TargetClient() = default;
  // Sends the request and passes the answer on. aAnswerBegan is called with
  // the arrival of the answer's head. aKeepReading: reads the answer to its
  // end even when the sink fails, so that the outcome is known.
  virtual asio::awaitable<TargetResult> Send(
    const TargetAnnouncement& aTarget,
    const RequestHead& aHead,
    BodySource& aBody,
    ResponseSink& aAnswer,
    TimePoint aDeadline,
    bool aKeepReading,
    const std::function<void()>& aAnswerBegan) = 0;
  // Tells the target to cancel; failures are ignored.
  virtual asio::awaitable<void> Cancel(Endpoint aTarget, CallId aCall) = 0;
  // Asks the target for its health; nullopt without an answer in time.
  virtual asio::awaitable<std::optional<HealthReport>> Probe(
    Endpoint aTarget,
    std::string aPath) = 0;
  // Whether the target accepts a new connection.
  virtual asio::awaitable<bool> Accepts(Endpoint aTarget) = 0;
  virtual void CloseIdle() = 0;
};

std::unique_ptr<TargetClient>
MakeTargetClient(UpstreamSettings aSettings,
                 asio::any_io_executor aExecutor,
                 std::shared_ptr<Clock> aClock,
                 std::shared_ptr<TargetDialect> aDialect);

} // namespace sassafrasquay
