// The service "dispatcher": attempts and retries of a call at the entry node.
#include "dispatch/dispatch.h"

#include "dispatch/attempt_sinks.h"
#include "dispatch/hedged_exchange.h"
#include "hedging/hedging.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peer/peer.h"
#include "quarantine/quarantine.h"
#include "retry/retry.h"
#include "rollout_service/rollout_service.h"
#include "routing/routing.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasquay {

namespace {

// From this attempt on, a request may queue at its target; in earlier attempts
// it must start at once.
constexpr uint32_t kFirstQueuedAttempt = 3;

// State shared by the attempts of one request.
struct Progress
{
  RouteRequest m_route;
  TimePoint m_deadline;
  uint32_t m_attempts = 0;
  uint32_t m_dispatchedAttempts = 0; // attempts that may have run
  uint32_t m_refusedAttempts = 0;    // attempts that have provably not run
  bool m_reachedTarget = false;      // an attempt may have reached a target
  uint32_t m_candidates = 0;         // of the last choice
  RetryMarker m_marker = RetryMarker::None; // set by the previous layer
  CallResult m_lastResult;
};

// A target had no room for the request.
bool
IsOverload(ResultCode aCode)
{
  return aCode == ResultCode::Overloaded ||
         aCode == ResultCode::ShedByPriority || aCode == ResultCode::TargetShed;
}

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

  std::vector<std::string> RequiredServices() const override
  {
    return { "gateway", "peer_client" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override { co_return; }
  asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                     BodySource& aBody,
                                     ResponseSink& aResponse) override;

private:
  // Makes one attempt. True when another attempt follows.
  asio::awaitable<bool> RunAttempt(RequestHead& aHead,
                                   Progress& aProgress,
                                   BodySource& aBody,
                                   FailureBuffer& aResponse);
  asio::awaitable<CallResult> SendAttempt(RequestHead& aHead,
                                          TargetIndex aTarget,
                                          BodySource& aBody,
                                          ResponseSink& aResponse);
  // As SendAttempt; sends a second copy to another target after aDelay.
  asio::awaitable<CallResult> SendHedged(RequestHead& aHead,
                                         TargetIndex aTarget,
                                         Duration aDelay,
                                         Progress& aProgress,
                                         FailureBuffer& aResponse);
  asio::awaitable<void> SendCopy(HedgedExchange& aExchange,
                                 size_t aCopy,
                                 RequestHead& aHead,
                                 TargetIndex aTarget);
  asio::awaitable<void> SendSecondCopy(HedgedExchange& aExchange,
                                       const RequestHead& aHead,
                                       TargetIndex aFirst,
                                       Duration aDelay,
                                       Progress& aProgress);
  HedgeRequest MakeHedgeRequest(const RequestHead& aHead,
                                const Progress& aProgress) const;
  std::optional<Duration> HedgeDelay(const RequestHead& aHead,
                                     const Progress& aProgress);
  void RecordHedge(const RequestHead& aHead,
                   const HedgedExchange& aExchange,
                   size_t aWinner);
  // To be called once for each attempt.
  SplitChoice ChooseVersion(const std::string& aService,
                            uint32_t aRouteClass,
                            bool aIsRetry);
  RouteDecision Choose(RouteRequest& aRoute,
                       const SplitChoice& aAllowed,
                       TimePoint aNow);
  bool IsQuarantined(const RequestHead& aHead, Progress& aProgress);
  void RecordAttempt(const RequestHead& aHead,
                     TargetIndex aTarget,
                     Progress& aProgress);
  RetryDecision DecideRetry(const RequestHead& aHead,
                            const Progress& aProgress);
  void RecordRoute(const RequestHead& aHead,
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
  std::shared_ptr<Rollouts> m_rollouts;
  std::shared_ptr<HedgePolicy> m_hedging;
  std::shared_ptr<PeerClient> m_peers;
  std::shared_ptr<CallHandler> m_gateway;
  MetricCounter* m_attempts = nullptr;
  MetricCounter* m_retries = nullptr;
  MetricCounter* m_hedgesSent = nullptr;
  MetricCounter* m_hedgesWon = nullptr;
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
  m_rollouts = aKernel.Find<Rollouts>("rollouts");
  m_hedging = aKernel.Find<HedgePolicy>("hedging");
  m_peers = aKernel.Find<PeerClient>("peer_client");
  m_gateway = aKernel.Find<CallHandler>("gateway");
  const auto metrics = aKernel.Find<Metrics>("metrics");
  m_attempts = &metrics->Counter(
    "sassafrasquay_attempts_total", "Attempts sent to a target's node.", {});
  m_retries = &metrics->Counter(
    "sassafrasquay_retries_total", "Attempts after the first one.", {});
  m_hedgesSent = &metrics->Counter(
    "sassafrasquay_hedges_total", "Second copies of slow requests.", {});
  m_hedgesWon =
    &metrics->Counter("sassafrasquay_hedges_won_total",
                      "Second copies that responded before the first ones.",
                      {});
  co_return;
}

asio::awaitable<CallResult>
Dispatcher::Handle(const RequestHead& aHead,
                   BodySource& aBody,
                   ResponseSink& aResponse)
{
  RequestHead head = aHead;
  Progress progress;
  progress.m_deadline = m_clock->Now() + aHead.m_remaining;
  progress.m_route = MakeRouteRequest(head);
  progress.m_marker =
    head.m_retrySpent ? RetryMarker::Spent : RetryMarker::None;
  progress.m_lastResult.m_code = ResultCode::NoTarget;
  m_retry->OnRequest(head.m_service, progress.m_marker);
  if (head.m_hedgeShare > 0) {
    m_hedging->OnRequest(head.m_service, head.m_hedgeShare);
  }
  FailureBuffer buffer(aResponse, head.m_idempotent);
  bool more = true;
  while (more) {
    more = co_await RunAttempt(head, progress, aBody, buffer);
  }
  if (buffer.HasFailure()) {
    // The target's own failure response is more useful to the caller than the
    // outcome of the retries.
    const std::error_code error = co_await buffer.Flush();
    progress.m_lastResult.m_code =
      error ? ResultCode::CallerGone : ResultCode::Ok;
    progress.m_lastResult.m_executed = Executed::Yes;
  }
  co_return progress.m_lastResult;
}

// Sets the result when the request is quarantined. The request may have run
// before under the same identity, so its refusal does not always mean that it
// has not run.
bool
Dispatcher::IsQuarantined(const RequestHead& aHead, Progress& aProgress)
{
  const QuarantineDecision decision =
    m_quarantine->Check(aHead.m_identity, m_clock->Now());
  if (decision.m_verdict != QuarantineVerdict::Refused) {
    return false;
  }
  aProgress.m_lastResult.m_code = decision.m_code;
  const bool dispatched = aProgress.m_dispatchedAttempts > 0;
  aProgress.m_lastResult.m_executed =
    dispatched ? Executed::Maybe : decision.m_requestExecuted;
  return true;
}

SplitChoice
Dispatcher::ChooseVersion(const std::string& aService,
                          uint32_t aRouteClass,
                          bool aIsRetry)
{
  return m_rollouts->HasRollout(aService)
           ? m_rollouts->Choose(aService, aRouteClass, aIsRetry)
           : SplitChoice();
}

RouteDecision
Dispatcher::Choose(RouteRequest& aRoute,
                   const SplitChoice& aAllowed,
                   TimePoint aNow)
{
  aRoute.m_roles = aAllowed.m_preferred;
  RouteDecision decision = m_router->Choose(aRoute, aNow);
  if (decision.m_target == kNoTarget && aAllowed.m_fallback != kNoRole) {
    aRoute.m_roles = aAllowed.m_fallback;
    decision = m_router->Choose(aRoute, aNow);
  }
  return decision;
}

asio::awaitable<bool>
Dispatcher::RunAttempt(RequestHead& aHead,
                       Progress& aProgress,
                       BodySource& aBody,
                       FailureBuffer& aResponse)
{
  const TimePoint now = m_clock->Now();
  aHead.m_remaining = aProgress.m_deadline - now;
  if (aHead.m_remaining <= Duration::zero()) {
    if (aProgress.m_attempts == 0) {
      aProgress.m_lastResult.m_code = ResultCode::ExpiredBeforeRun;
    }
    co_return false;
  }
  if (IsQuarantined(aHead, aProgress)) {
    co_return false;
  }
  aHead.m_call = CallId{ m_origin, ++m_sequence };
  aHead.m_repeat = aProgress.m_reachedTarget;
  aProgress.m_route.m_remaining = aHead.m_remaining;
  aHead.m_knowsRollout = m_rollouts->HasRollout(aHead.m_service);
  const SplitChoice allowed = ChooseVersion(
    aHead.m_service, aHead.m_routeClass, aProgress.m_attempts > 0);
  RouteDecision decision = Choose(aProgress.m_route, allowed, now);
  aHead.m_mayQueue = aProgress.m_refusedAttempts + 1 >= kFirstQueuedAttempt ||
                     decision.m_candidates <= 1;
  if (decision.m_target == kNoTarget && aProgress.m_refusedAttempts > 0) {
    // Every target was tried once; now the busy ones may queue the request.
    aProgress.m_route.m_excludedCount = 0;
    aHead.m_mayQueue = true;
    decision = Choose(aProgress.m_route, allowed, now);
  }
  ++aProgress.m_attempts;
  RecordRoute(aHead, decision, aProgress.m_attempts);
  if (decision.m_target == kNoTarget) {
    co_return false;
  }
  aProgress.m_candidates = decision.m_candidates;
  const std::optional<Duration> hedgeDelay = HedgeDelay(aHead, aProgress);
  if (hedgeDelay) {
    aProgress.m_lastResult = co_await SendHedged(
      aHead, decision.m_target, *hedgeDelay, aProgress, aResponse);
  } else {
    aProgress.m_lastResult =
      co_await SendAttempt(aHead, decision.m_target, aBody, aResponse);
  }
  if (aProgress.m_lastResult.m_code == ResultCode::Ok &&
      aResponse.HasFailure()) {
    aProgress.m_lastResult.m_code = ResultCode::TargetFailed;
    aProgress.m_lastResult.m_responseStarted = false;
  }
  RecordAttempt(aHead, decision.m_target, aProgress);
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
Dispatcher::RecordAttempt(const RequestHead& aHead,
                          TargetIndex aTarget,
                          Progress& aProgress)
{
  CallResult& last = aProgress.m_lastResult;
  m_retry->OnResult(aHead.m_service, last.m_code);
  m_hedging->OnAttempt(aHead.m_service, IsOverload(last.m_code));
  aProgress.m_reachedTarget =
    aProgress.m_reachedTarget ||
    MayHaveReachedTarget(last.m_code, last.m_executed);
  if (last.m_executed == Executed::No) {
    ++aProgress.m_refusedAttempts;
  } else {
    ++aProgress.m_dispatchedAttempts;
  }
  if (last.m_code == ResultCode::Ok) {
    m_quarantine->OnResponse(aHead.m_identity, m_clock->Now());
  }
  // An earlier attempt may have run, even if the last one was refused.
  if (last.m_executed == Executed::No && aProgress.m_dispatchedAttempts > 0) {
    last.m_executed = Executed::Maybe;
  }
  RouteRequest& route = aProgress.m_route;
  if (!last.m_linkFailed && route.m_excludedCount < kMaxExcluded) {
    route.m_excluded[route.m_excludedCount++] = aTarget;
  }
}

RetryDecision
Dispatcher::DecideRetry(const RequestHead& aHead, const Progress& aProgress)
{
  const CallResult& last = aProgress.m_lastResult;
  if (last.m_code == ResultCode::Ok || last.m_code == ResultCode::CallerGone) {
    return {};
  }
  RetryAttempt attempt;
  attempt.m_service = aHead.m_service;
  attempt.m_code = last.m_code;
  attempt.m_executed = last.m_executed;
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
AttemptOutcomeOf(const CallResult& aResult)
{
  // A link fault or a disconnected caller is no evidence about the target.
  if (aResult.m_linkFailed || aResult.m_code == ResultCode::CallerGone) {
    return AttemptOutcome::Refused;
  }
  if (aResult.m_code == ResultCode::Ok) {
    return aResult.m_status >= 500 ? AttemptOutcome::Failed
                                   : AttemptOutcome::Succeeded;
  }
  if (aResult.m_code == ResultCode::TargetUnreachable) {
    return AttemptOutcome::Unreachable;
  }
  return aResult.m_executed == Executed::No ? AttemptOutcome::Refused
                                            : AttemptOutcome::Failed;
}

asio::awaitable<CallResult>
Dispatcher::SendAttempt(RequestHead& aHead,
                        TargetIndex aTarget,
                        BodySource& aBody,
                        ResponseSink& aResponse)
{
  const TargetInfo target = *m_router->Target(aTarget);
  m_router->OnSent(aTarget, m_clock->Now());
  m_attempts->Add();
  // Reports the end of the attempt to the router on every exit path, also on
  // cancellation.
  struct Guard
  {
    Dispatcher& m_dispatcher;
    TargetIndex m_target;
    RouteFeedback m_feedback;
    TimePoint m_start;
    bool m_ended = false;
    ~Guard()
    {
      const TimePoint now = m_dispatcher.m_clock->Now();
      if (!m_ended) {
        m_feedback.m_outcome = AttemptOutcome::Abandoned;
        m_feedback.m_latency = now - m_start;
      }
      m_dispatcher.m_router->OnEnd(m_target, m_feedback, now);
    }
  };
  Guard guard{ *this, aTarget, {}, m_clock->Now() };
  CountingSink sink(aResponse);
  CallResult result;
  if (target.m_node == m_settings.m_node) {
    aHead.m_nodeIncarnation = m_settings.m_nodeIncarnation;
    result = co_await m_gateway->Handle(aHead, aBody, sink);
  } else {
    result = co_await m_peers->Call(target.m_peer, aHead, aBody, sink);
  }
  guard.m_ended = true;
  guard.m_feedback.m_hasLoad = result.m_hasLoad;
  guard.m_feedback.m_load = result.m_load;
  guard.m_feedback.m_latency = result.m_latency;
  guard.m_feedback.m_outcome = AttemptOutcomeOf(result);
  if (result.m_code == ResultCode::Ok && result.m_status < 500) {
    m_hedging->OnResponse(
      aHead.m_service, aHead.m_routeClass, result.m_latency, m_clock->Now());
    guard.m_feedback.m_routeClass = aHead.m_routeClass;
    guard.m_feedback.m_responseBytes = sink.Bytes();
  }
  co_return result;
}

HedgeRequest
Dispatcher::MakeHedgeRequest(const RequestHead& aHead,
                             const Progress& aProgress) const
{
  HedgeRequest request;
  request.m_service = aHead.m_service;
  request.m_routeClass = aHead.m_routeClass;
  request.m_maxShare = aHead.m_hedgeShare;
  request.m_candidates = aProgress.m_candidates;
  request.m_remaining = aProgress.m_deadline - m_clock->Now();
  return request;
}

std::optional<Duration>
Dispatcher::HedgeDelay(const RequestHead& aHead, const Progress& aProgress)
{
  if (!MayBeHedged(aHead, aProgress.m_reachedTarget) ||
      aHead.m_hedgeShare <= 0) {
    return std::nullopt;
  }
  return m_hedging->DelayFor(MakeHedgeRequest(aHead, aProgress));
}

asio::awaitable<CallResult>
Dispatcher::SendHedged(RequestHead& aHead,
                       TargetIndex aTarget,
                       Duration aDelay,
                       Progress& aProgress,
                       FailureBuffer& aResponse)
{
  using namespace asio::experimental::awaitable_operators;
  HedgedExchange exchange(m_executor, aResponse);
  co_await (SendCopy(exchange, 0, aHead, aTarget) &&
            SendSecondCopy(exchange, aHead, aTarget, aDelay, aProgress));
  const size_t winner = co_await exchange.Finish();
  if (exchange.IsSecondSent()) {
    RecordHedge(aHead, exchange, winner);
    const std::optional<CallResult>& other = exchange.Result(1 - winner);
    if (!other || other->m_executed != Executed::No) {
      ++aProgress.m_dispatchedAttempts;
      aProgress.m_reachedTarget = true;
    }
  }
  co_return *exchange.Result(winner);
}

asio::awaitable<void>
Dispatcher::SendCopy(HedgedExchange& aExchange,
                     size_t aCopy,
                     RequestHead& aHead,
                     TargetIndex aTarget)
{
  using namespace asio::experimental::awaitable_operators;
  EmptyBodySource body; // the head contains the whole body
  const auto ended =
    co_await (SendAttempt(aHead, aTarget, body, aExchange.Sink(aCopy)) ||
              aExchange.WaitUntilLost(aCopy));
  if (ended.index() == 0) {
    aExchange.OnEnded(aCopy, std::get<0>(ended));
  }
}

asio::awaitable<void>
Dispatcher::SendSecondCopy(HedgedExchange& aExchange,
                           const RequestHead& aHead,
                           TargetIndex aFirst,
                           Duration aDelay,
                           Progress& aProgress)
{
  using namespace asio::experimental::awaitable_operators;
  asio::steady_timer timer(m_executor);
  timer.expires_after(aDelay);
  co_await (timer.async_wait(asio::use_awaitable) ||
            aExchange.WaitUntilSettled());
  if (aExchange.IsSettled()) {
    co_return;
  }
  RouteRequest route = aProgress.m_route;
  if (route.m_excludedCount < kMaxExcluded) {
    route.m_excluded[route.m_excludedCount++] = aFirst;
  }
  const TimePoint now = m_clock->Now();
  route.m_remaining = aProgress.m_deadline - now;
  // A second copy goes to the version in use.
  const SplitChoice choice =
    ChooseVersion(aHead.m_service, aHead.m_routeClass, true);
  const RouteDecision decision = Choose(route, choice, now);
  const bool allowed = decision.m_target != kNoTarget &&
                       m_hedging->TryTake(MakeHedgeRequest(aHead, aProgress));
  if (!allowed) {
    co_return;
  }
  RequestHead head = aHead;
  head.m_call = CallId{ m_origin, ++m_sequence };
  head.m_remaining = route.m_remaining;
  head.m_isHedge = true;
  head.m_repeat = true;
  head.m_retrySpent = true;
  head.m_mayQueue = false; // of use only if it starts at once
  m_hedgesSent->Add();
  aExchange.OnSecondSent();
  RecordRoute(head, decision, aProgress.m_attempts + 1);
  co_await SendCopy(aExchange, 1, head, decision.m_target);
}

void
Dispatcher::RecordHedge(const RequestHead& aHead,
                        const HedgedExchange& aExchange,
                        size_t aWinner)
{
  if (aExchange.HasWon(1)) {
    m_hedgesWon->Add();
  }
  if (m_logger->ShouldLogDecision()) {
    const std::optional<CallResult>& second = aExchange.Result(1);
    m_logger->Write(
      LogLevel::Info,
      "hedge",
      { { "id", aHead.m_requestId },
        { "service", aHead.m_service },
        { "won", aWinner == 1 },
        { "second_result",
          second ? ResultRowFor(second->m_code).m_name : "abandoned" } });
  }
}

// Counts a retry and logs the route decision.
void
Dispatcher::RecordRoute(const RequestHead& aHead,
                        const RouteDecision& aDecision,
                        uint32_t aAttempt)
{
  if (aAttempt > 1 && aDecision.m_target != kNoTarget) {
    m_retries->Add();
  }
  if (!m_logger->ShouldLogDecision()) {
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

// Writes one line for each attempt without a successful response.
void
Dispatcher::LogRetry(const RequestHead& aHead,
                     const Progress& aProgress,
                     const RetryDecision& aDecision)
{
  const CallResult& last = aProgress.m_lastResult;
  if (last.m_code == ResultCode::Ok || !m_logger->ShouldLogDecision()) {
    return;
  }
  m_logger->Write(
    LogLevel::Info,
    "retry",
    { { "id", aHead.m_requestId },
      { "call", ToString(aHead.m_call) },
      { "result", ResultRowFor(last.m_code).m_name },
      { "run", ToString(last.m_executed) },
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
