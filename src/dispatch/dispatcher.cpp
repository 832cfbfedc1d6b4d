// Life of a call at the entry node.
#include "dispatch/dispatch.h"

#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peer/peer.h"
#include "quarantine/quarantine.h"
#include "retry/retry.h"
#include "routing/routing.h"

#include <boost/asio/use_awaitable.hpp>

namespace sassafrasquay {

namespace {

// Targets that are asked to start a request at once, before it queues at one.
constexpr uint32_t kImmediateTries = 3;

// What the attempts of one request have in common.
struct Progress
{
  RouteRequest m_route;
  TimePoint m_deadline;
  uint32_t m_attempts = 0;
  uint32_t m_dispatchedAttempts = 0;        // attempts that may have run
  uint32_t m_refusedAttempts = 0;           // attempts proven not to have run
  RetryMarker m_marker = RetryMarker::None; // from the previous layer
  CallResult m_last;
};

// Holds back a failure that the target answered with, because another target
// may do better. Passes every other answer on.
class HeldAnswer : public ResponseSink
{
public:
  HeldAnswer(ResponseSink& aSink, bool aHoldsFailures)
    : m_sink(aSink)
    , m_holdsFailures(aHoldsFailures)
  {
  }

  asio::awaitable<void> Admitted() override { return m_sink.Admitted(); }
  asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) override
  {
    if (m_holdsFailures && aHead.m_status >= kFirstFailure) {
      m_head = std::move(aHead);
      m_body.clear();
      m_complete = false;
      co_return std::error_code();
    }
    m_passed = true;
    co_return co_await m_sink.WriteHead(std::move(aHead));
  }
  asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                             bool aLast) override
  {
    if (m_passed) {
      co_return co_await m_sink.WriteBody(aBytes, aLast);
    }
    m_body += aBytes;
    m_complete = aLast;
    if (m_body.size() > kMaxInlineBodyBytes) {
      co_return co_await Release();
    }
    co_return std::error_code();
  }

  // Whether a whole failure is held, and nothing was passed on.
  bool IsHeld() const { return !m_passed && m_complete; }
  asio::awaitable<std::error_code> Release()
  {
    m_passed = true;
    std::error_code error = co_await m_sink.WriteHead(std::move(*m_head));
    if (!error) {
      error = co_await m_sink.WriteBody(m_body, m_complete);
    }
    co_return error;
  }

private:
  static constexpr uint16_t kFirstFailure = 500;

  ResponseSink& m_sink;
  bool m_holdsFailures;
  std::optional<ResponseHead> m_head;
  std::string m_body;
  bool m_complete = false;
  bool m_passed = false;
};

class Dispatcher
  : public Service
  , public CallHandler
{
public:
  explicit Dispatcher(DispatchSettings aSettings)
    : m_settings(std::move(aSettings))
    , m_origin(
        StableHash(m_settings.m_node.m_value, m_settings.m_nodeIncarnation))
  {
  }

  std::vector<std::string> Requires() const override
  {
    return { "gateway", "peer_client" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override { co_return; }
  asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                     BodySource& aBody,
                                     ResponseSink& aAnswer) override;

private:
  // True when a further attempt is to be made at once.
  asio::awaitable<bool> TryOnce(RequestHead& aHead,
                                Progress& aProgress,
                                BodySource& aBody,
                                HeldAnswer& aAnswer);
  asio::awaitable<CallResult> Attempt(RequestHead& aHead,
                                      TargetIndex aTarget,
                                      BodySource& aBody,
                                      ResponseSink& aAnswer);
  bool IsQuarantined(const RequestHead& aHead, Progress& aProgress);
  void Count(const RequestHead& aHead,
             TargetIndex aTarget,
             Progress& aProgress);
  RetryDecision DecideRetry(const RequestHead& aHead,
                            const Progress& aProgress);
  void LogRoute(const RequestHead& aHead,
                const RouteDecision& aDecision,
                uint32_t aAttempt);
  void LogRetry(const RequestHead& aHead,
                const Progress& aProgress,
                const RetryDecision& aDecision);

  DispatchSettings m_settings;
  uint64_t m_origin;
  uint64_t m_sequence = 0;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Router> m_router;
  std::shared_ptr<RetryPolicy> m_retry;
  std::shared_ptr<Quarantine> m_quarantine;
  std::shared_ptr<PeerClient> m_peers;
  std::shared_ptr<CallHandler> m_gateway;
  MetricCounter* m_attempts = nullptr;
  MetricCounter* m_retries = nullptr;
};

asio::awaitable<void>
Dispatcher::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_router = aKernel.Find<Router>("router");
  m_retry = aKernel.Find<RetryPolicy>("retry");
  m_quarantine = aKernel.Find<Quarantine>("quarantine");
  m_peers = aKernel.Find<PeerClient>("peer_client");
  m_gateway = aKernel.Find<CallHandler>("gateway");
  const auto metrics = aKernel.Find<Metrics>("metrics");
  m_attempts = &metrics->Counter(
    "sassafrasquay_attempts_total", "Attempts sent to a target's node.", {});
  m_retries = &metrics->Counter(
    "sassafrasquay_retries_total", "Attempts after the first one.", {});
  co_return;
}

asio::awaitable<CallResult>
Dispatcher::Handle(const RequestHead& aHead,
                   BodySource& aBody,
                   ResponseSink& aAnswer)
{
  RequestHead head = aHead;
  Progress progress;
  progress.m_deadline = m_clock->Now() + aHead.m_remaining;
  progress.m_route.m_service = head.m_service;
  progress.m_marker =
    head.m_retrySpent ? RetryMarker::Spent : RetryMarker::None;
  progress.m_last.m_code = ResultCode::NoTarget;
  m_retry->OnRequest(head.m_service, progress.m_marker);
  HeldAnswer answer(aAnswer, head.m_idempotent);
  bool again = true;
  while (again) {
    again = co_await TryOnce(head, progress, aBody, answer);
  }
  if (answer.IsHeld()) {
    // The target's own failure says more than what became of the retries.
    const std::error_code error = co_await answer.Release();
    progress.m_last.m_code = error ? ResultCode::CallerGone : ResultCode::Ok;
    progress.m_last.m_run = Run::Yes;
  }
  co_return progress.m_last;
}

// The request itself may have run in an earlier send with the same identity,
// so a refusal of a suspect is not always "not run".
bool
Dispatcher::IsQuarantined(const RequestHead& aHead, Progress& aProgress)
{
  const QuarantineDecision checked =
    m_quarantine->Check(aHead.m_identity, m_clock->Now());
  if (checked.m_verdict != QuarantineVerdict::Refused) {
    return false;
  }
  aProgress.m_last.m_code = checked.m_code;
  const bool dispatched = aProgress.m_dispatchedAttempts > 0;
  aProgress.m_last.m_run = dispatched ? Run::Maybe : checked.m_requestRun;
  return true;
}

asio::awaitable<bool>
Dispatcher::TryOnce(RequestHead& aHead,
                    Progress& aProgress,
                    BodySource& aBody,
                    HeldAnswer& aAnswer)
{
  const TimePoint now = m_clock->Now();
  aHead.m_remaining = aProgress.m_deadline - now;
  if (aHead.m_remaining <= Duration::zero()) {
    if (aProgress.m_attempts == 0) {
      aProgress.m_last.m_code = ResultCode::ExpiredBeforeRun;
    }
    co_return false;
  }
  if (IsQuarantined(aHead, aProgress)) {
    co_return false;
  }
  aHead.m_call = CallId{ m_origin, ++m_sequence };
  aProgress.m_route.m_remaining = aHead.m_remaining;
  RouteDecision decision = m_router->Choose(aProgress.m_route, now);
  aHead.m_mayQueue = aProgress.m_refusedAttempts + 1 >= kImmediateTries ||
                     decision.m_candidates <= 1;
  if (decision.m_target == kNoTarget && aProgress.m_refusedAttempts > 0) {
    // Every target was asked once; those that were busy may take it to queue.
    aProgress.m_route.m_excludedCount = 0;
    aHead.m_mayQueue = true;
    decision = m_router->Choose(aProgress.m_route, now);
  }
  ++aProgress.m_attempts;
  LogRoute(aHead, decision, aProgress.m_attempts);
  if (decision.m_target == kNoTarget) {
    co_return false;
  }
  aProgress.m_last = co_await Attempt(aHead, decision.m_target, aBody, aAnswer);
  if (aProgress.m_last.m_code == ResultCode::Ok && aAnswer.IsHeld()) {
    aProgress.m_last.m_code = ResultCode::TargetFailed;
    aProgress.m_last.m_responseStarted = false;
  }
  Count(aHead, decision.m_target, aProgress);
  const RetryDecision retry = DecideRetry(aHead, aProgress);
  LogRetry(aHead, aProgress, retry);
  if (retry.m_action == RetryAction::Stop) {
    co_return false;
  }
  aHead.m_retrySpent = retry.m_marker == RetryMarker::Spent;
  if (retry.m_action == RetryAction::AfterDelay) {
    asio::steady_timer timer(m_executor);
    timer.expires_after(retry.m_delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return true;
}

void
Dispatcher::Count(const RequestHead& aHead,
                  TargetIndex aTarget,
                  Progress& aProgress)
{
  CallResult& last = aProgress.m_last;
  m_retry->OnResult(aHead.m_service, last.m_code);
  if (last.m_run == Run::No) {
    ++aProgress.m_refusedAttempts;
  } else {
    ++aProgress.m_dispatchedAttempts;
  }
  if (last.m_code == ResultCode::Ok) {
    m_quarantine->OnAnswered(aHead.m_identity, m_clock->Now());
  }
  // What an earlier attempt may have done stays true after a refusal.
  if (last.m_run == Run::No && aProgress.m_dispatchedAttempts > 0) {
    last.m_run = Run::Maybe;
  }
  RouteRequest& route = aProgress.m_route;
  if (!last.m_linkFailed && route.m_excludedCount < kMaxExcluded) {
    route.m_excluded[route.m_excludedCount++] = aTarget;
  }
}

RetryDecision
Dispatcher::DecideRetry(const RequestHead& aHead, const Progress& aProgress)
{
  const CallResult& last = aProgress.m_last;
  if (last.m_code == ResultCode::Ok || last.m_code == ResultCode::CallerGone) {
    return {};
  }
  RetryAttempt attempt;
  attempt.m_service = aHead.m_service;
  attempt.m_code = last.m_code;
  attempt.m_run = last.m_run;
  attempt.m_idempotent = aHead.m_idempotent;
  attempt.m_replayable = aHead.m_body.has_value() || !last.m_bodyConsumed;
  attempt.m_responseStarted = last.m_responseStarted;
  attempt.m_dispatchedAttempts = aProgress.m_dispatchedAttempts;
  attempt.m_refusedAttempts = aProgress.m_refusedAttempts;
  attempt.m_remaining = aProgress.m_deadline - m_clock->Now();
  attempt.m_expectedDuration =
    last.m_hasLoad ? last.m_load.m_latency : Duration::zero();
  attempt.m_marker = aProgress.m_marker;
  attempt.m_maxDispatchedAttempts = aHead.m_maxAttempts;
  return m_retry->Decide(attempt);
}

AttemptOutcome
EndOf(const CallResult& aResult)
{
  // A link fault or a caller that left says nothing about the target.
  if (aResult.m_linkFailed || aResult.m_code == ResultCode::CallerGone) {
    return AttemptOutcome::Refused;
  }
  if (aResult.m_code == ResultCode::Ok) {
    return aResult.m_status >= 500 ? AttemptOutcome::Failed
                                   : AttemptOutcome::Answered;
  }
  if (aResult.m_code == ResultCode::TargetUnreachable) {
    return AttemptOutcome::Unreachable;
  }
  return aResult.m_run == Run::No ? AttemptOutcome::Refused
                                  : AttemptOutcome::Failed;
}

asio::awaitable<CallResult>
Dispatcher::Attempt(RequestHead& aHead,
                    TargetIndex aTarget,
                    BodySource& aBody,
                    ResponseSink& aAnswer)
{
  const TargetInfo target = *m_router->Target(aTarget);
  m_router->OnSent(aTarget, m_clock->Now());
  m_attempts->Add();
  // Ends the attempt for the router on every way out, also on cancellation.
  struct Guard
  {
    Dispatcher& m_dispatcher;
    TargetIndex m_target;
    RouteFeedback m_feedback;
    ~Guard()
    {
      const TimePoint now = m_dispatcher.m_clock->Now();
      m_dispatcher.m_router->OnEnd(m_target, m_feedback, now);
    }
  };
  Guard guard{ *this, aTarget, {} };
  guard.m_feedback.m_end = AttemptOutcome::Refused;
  CallResult result;
  if (target.m_node == m_settings.m_node) {
    aHead.m_nodeIncarnation = m_settings.m_nodeIncarnation;
    result = co_await m_gateway->Handle(aHead, aBody, aAnswer);
  } else {
    result = co_await m_peers->Call(target.m_peer, aHead, aBody, aAnswer);
  }
  guard.m_feedback.m_hasLoad = result.m_hasLoad;
  guard.m_feedback.m_load = result.m_load;
  guard.m_feedback.m_latency = result.m_latency;
  guard.m_feedback.m_end = EndOf(result);
  co_return result;
}

void
Dispatcher::LogRoute(const RequestHead& aHead,
                     const RouteDecision& aDecision,
                     uint32_t aAttempt)
{
  if (aAttempt > 1 && aDecision.m_target != kNoTarget) {
    m_retries->Add();
  }
  if (!m_logger->WantsDecision()) {
    return;
  }
  const TargetInfo* target = m_router->Target(aDecision.m_target);
  m_logger->Write(LogLevel::Info,
                  "route",
                  { { "id", aHead.m_requestId },
                    { "call", ToString(aHead.m_call) },
                    { "service", aHead.m_service },
                    { "candidates", aDecision.m_candidates },
                    { "chosen", target ? target->m_node.m_value : "" },
                    { "reason", ToString(aDecision.m_reason) },
                    { "score", aDecision.m_score },
                    { "attempt", aAttempt },
                    { "remaining_ms", aHead.m_remaining } });
}

// One line for each attempt that did not give an answer.
void
Dispatcher::LogRetry(const RequestHead& aHead,
                     const Progress& aProgress,
                     const RetryDecision& aDecision)
{
  const CallResult& last = aProgress.m_last;
  if (last.m_code == ResultCode::Ok || !m_logger->WantsDecision()) {
    return;
  }
  m_logger->Write(
    LogLevel::Info,
    "retry",
    { { "id", aHead.m_requestId },
      { "call", ToString(aHead.m_call) },
      { "result", ResultRowFor(last.m_code).m_name },
      { "run", ToString(last.m_run) },
      { "again", aDecision.m_action != RetryAction::Stop },
      { "reason", ToString(aDecision.m_reason) },
      { "may_have_run", aProgress.m_dispatchedAttempts },
      { "refused", aProgress.m_refusedAttempts },
      { "tokens", m_retry->Tokens(aHead.m_service) },
      { "remaining_ms", aProgress.m_deadline - m_clock->Now() } });
}

} // namespace

std::shared_ptr<Service>
MakeDispatcher(DispatchSettings aSettings)
{
  return std::make_shared<Dispatcher>(std::move(aSettings));
}

} // namespace sassafrasquay
