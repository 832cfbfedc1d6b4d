// The service "explain": collects the decisions about a request.
#include "explain/explain.h"

#include "dispatch/dispatch.h"
#include "quarantine/quarantine.h"

namespace sassafrasquay {

namespace {

// Ends of a first attempt that lead to different decisions.
struct AttemptEnd
{
  ResultCode m_code;
  Executed m_executed;
};
constexpr std::array<AttemptEnd, 3> kAttemptEnds = { {
  { ResultCode::Overloaded, Executed::No },
  { ResultCode::TargetUnreachable, Executed::No },
  { ResultCode::TargetFailed, Executed::Yes },
} };

class ExplainService
  : public Service
  , public Explainer
{
public:
  explicit ExplainService(ExplainerSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    std::vector<std::string> names = { "call_policy" };
    if (m_settings.m_hasAccounts) {
      names.emplace_back("account_limits");
    }
    return names;
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override { co_return; }
  std::optional<RequestExplanation> Explain(
    const ExplainQuery& aQuery) const override;

private:
  static RequestHead MakeHead(const ExplainQuery& aQuery);
  static void Describe(const CallPreview& aCall,
                       RequestExplanation& aExplanation);
  // Sets what would refuse the request before a target is chosen.
  void CheckEntry(const CallPreview& aCall,
                  RequestExplanation& aExplanation) const;
  void ExplainTargets(const RequestHead& aHead,
                      RequestExplanation& aExplanation) const;
  RetryExplanation ExplainRetry(const RequestHead& aHead,
                                const AttemptEnd& aEnd,
                                const RouteRequest& aNext,
                                const Random& aRandom) const;
  std::optional<NodeId> NodeOf(const RouteDecision& aDecision) const;

  ExplainerSettings m_settings;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::shared_ptr<CallPreviewer> m_policy;
  std::shared_ptr<AccountDirectory> m_directory;
  std::shared_ptr<AccountPreviewer> m_accounts; // may be empty
  std::shared_ptr<Router> m_router;
  std::shared_ptr<RetryPolicy> m_retry;
  std::shared_ptr<HedgePolicy> m_hedging;
  std::shared_ptr<Quarantine> m_quarantine;
  bool m_started = false;
};

asio::awaitable<void>
ExplainService::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_policy = aKernel.Find<CallPreviewer>("call_policy");
  m_directory = aKernel.Find<AccountDirectory>("call_policy");
  if (m_settings.m_hasAccounts) {
    m_accounts = aKernel.Find<AccountPreviewer>("account_limits");
  }
  m_router = aKernel.Find<Router>("router");
  m_retry = aKernel.Find<RetryPolicy>("retry");
  m_hedging = aKernel.Find<HedgePolicy>("hedging");
  m_quarantine = aKernel.Find<Quarantine>("quarantine");
  m_started = true;
  co_return;
}

std::optional<RequestExplanation>
ExplainService::Explain(const ExplainQuery& aQuery) const
{
  if (!m_started) {
    return std::nullopt;
  }
  RequestExplanation explanation;
  explanation.m_node = m_settings.m_node;
  explanation.m_zone = m_settings.m_zone;
  explanation.m_configVersion = m_directory->ConfigVersion();
  explanation.m_query = aQuery;
  explanation.m_query.m_key.clear();
  const CallPreview call =
    m_policy->Preview(MakeHead(aQuery), aQuery.m_timeout);
  Describe(call, explanation);
  CheckEntry(call, explanation);
  if (explanation.m_refusedBy == ExplainStage::None) {
    ExplainTargets(call.m_head, explanation);
  }
  return explanation;
}

RequestHead
ExplainService::MakeHead(const ExplainQuery& aQuery)
{
  RequestHead head;
  head.m_host = aQuery.m_host;
  head.m_service = aQuery.m_host.substr(0, aQuery.m_host.find(':'));
  head.m_method = aQuery.m_method;
  head.m_path = aQuery.m_path;
  head.m_apiKey = aQuery.m_key;
  head.m_account = aQuery.m_account;
  head.m_bodyLength = aQuery.m_bodyBytes;
  if (aQuery.m_bodyBytes <= kMaxInlineBodyBytes) {
    head.m_body = std::string(aQuery.m_bodyBytes, ' ');
  }
  return head;
}

void
ExplainService::Describe(const CallPreview& aCall,
                         RequestExplanation& aExplanation)
{
  const RequestHead& head = aCall.m_head;
  aExplanation.m_route = aCall.m_route;
  aExplanation.m_isKeyUnknown = head.m_isKeyUnknown;
  aExplanation.m_account = head.m_account;
  aExplanation.m_service = head.m_service;
  aExplanation.m_priority = head.m_priority;
  aExplanation.m_idempotent = head.m_idempotent;
  aExplanation.m_maxAttempts = head.m_maxAttempts;
  aExplanation.m_timeout = head.m_remaining;
  aExplanation.m_latencyObjective = head.m_latencyObjective;
  aExplanation.m_hedgeShare = head.m_hedgeShare;
}

void
ExplainService::CheckEntry(const CallPreview& aCall,
                           RequestExplanation& aExplanation) const
{
  const RequestHead& head = aCall.m_head;
  const auto refuse = [&](ExplainStage aStage, ResultCode aCode) {
    if (aExplanation.m_refusedBy == ExplainStage::None) {
      aExplanation.m_refusedBy = aStage;
      aExplanation.m_refusal = aCode;
    }
  };
  if (aCall.m_refusal) {
    const bool lacksKey = *aCall.m_refusal == ResultCode::UnknownKey;
    refuse(lacksKey ? ExplainStage::Key : ExplainStage::Route,
           *aCall.m_refusal);
    return;
  }
  if (head.m_isKeyUnknown) {
    refuse(ExplainStage::Key, ResultCode::UnknownKey);
    return;
  }
  if (m_accounts) {
    aExplanation.m_limit = m_accounts->Preview(head);
  }
  if (aExplanation.m_limit) {
    const TokenVerdict verdict = aExplanation.m_limit->m_verdict;
    if (verdict == TokenVerdict::Limited) {
      refuse(ExplainStage::AccountLimit, ResultCode::QuotaExceeded);
    } else if (verdict == TokenVerdict::Unreachable) {
      refuse(ExplainStage::AccountLimit, ResultCode::LimitUnavailable);
    }
  }
  // The identity of a request with a body depends on its content.
  const bool hasIdentity = aExplanation.m_query.m_bodyBytes == 0;
  const QuarantineDecision decision = m_quarantine->Check(
    IdentityFromContent(head.m_host, head.m_method, head.m_path, ""),
    m_clock->Now());
  if (hasIdentity && decision.m_verdict == QuarantineVerdict::Refused) {
    refuse(ExplainStage::Quarantine, decision.m_code);
  }
}

// Takes the random values that the dispatcher would take now.
void
ExplainService::ExplainTargets(const RequestHead& aHead,
                               RequestExplanation& aExplanation) const
{
  const std::unique_ptr<Random> random = m_random->Copy();
  RouteRequest request = MakeRouteRequest(aHead);
  request.m_remaining = aHead.m_remaining;
  aExplanation.m_routing = m_router->Explain(request, m_clock->Now(), *random);
  const RouteDecision& first = aExplanation.m_routing.m_decision;
  if (first.m_target == kNoTarget) {
    aExplanation.m_refusedBy = ExplainStage::Targets;
    aExplanation.m_refusal = ResultCode::NoTarget;
    return;
  }
  RouteRequest next = request;
  next.m_excluded[next.m_excludedCount++] = first.m_target;
  aExplanation.m_retryTokens = m_retry->Tokens(aHead.m_service);
  for (const AttemptEnd& end : kAttemptEnds) {
    aExplanation.m_retries.push_back(ExplainRetry(aHead, end, next, *random));
  }
  HedgeExplanation& hedge = aExplanation.m_hedge;
  hedge.m_mayRunTwice = MayBeHedged(aHead, false);
  HedgeRequest copy;
  copy.m_service = aHead.m_service;
  copy.m_routeClass = aHead.m_routeClass;
  copy.m_maxShare = aHead.m_hedgeShare;
  copy.m_candidates = first.m_candidates;
  copy.m_remaining = aHead.m_remaining;
  hedge.m_decision = m_hedging->Explain(copy);
  if (hedge.m_mayRunTwice && hedge.m_decision.m_delay) {
    const std::unique_ptr<Random> later = random->Copy();
    hedge.m_target =
      NodeOf(m_router->Explain(next, m_clock->Now(), *later).m_decision);
  }
}

RetryExplanation
ExplainService::ExplainRetry(const RequestHead& aHead,
                             const AttemptEnd& aEnd,
                             const RouteRequest& aNext,
                             const Random& aRandom) const
{
  const bool refused = aEnd.m_executed == Executed::No;
  RetryAttempt attempt;
  attempt.m_service = aHead.m_service;
  attempt.m_code = aEnd.m_code;
  attempt.m_executed = aEnd.m_executed;
  attempt.m_idempotent = aHead.m_idempotent;
  // A body that is not sent with the head has been read by the first attempt,
  // unless it was refused.
  attempt.m_replayable = aHead.m_body.has_value() || refused;
  attempt.m_dispatchedAttempts = refused ? 0 : 1;
  attempt.m_refusedAttempts = refused ? 1 : 0;
  attempt.m_remaining = aHead.m_remaining;
  attempt.m_maxDispatchedAttempts = aHead.m_maxAttempts;
  RetryExplanation explanation;
  explanation.m_code = aEnd.m_code;
  explanation.m_executed = aEnd.m_executed;
  explanation.m_decision = m_retry->Preview(attempt);
  if (explanation.m_decision.m_action != RetryAction::Stop) {
    const std::unique_ptr<Random> random = aRandom.Copy();
    const TimePoint now = m_clock->Now();
    explanation.m_route = m_router->Explain(aNext, now, *random).m_decision;
    if (explanation.m_route.m_target == kNoTarget && refused) {
      // Every target was tried once; they are tried again.
      RouteRequest again = aNext;
      again.m_excludedCount = 0;
      explanation.m_route = m_router->Explain(again, now, *random).m_decision;
    }
    explanation.m_target = NodeOf(explanation.m_route);
  }
  return explanation;
}

std::optional<NodeId>
ExplainService::NodeOf(const RouteDecision& aDecision) const
{
  const TargetInfo* target = m_router->Target(aDecision.m_target);
  return target != nullptr ? std::optional(target->m_node) : std::nullopt;
}

} // namespace

std::string_view
ToString(ExplainStage aStage)
{
  switch (aStage) {
    case ExplainStage::None:
      break;
    case ExplainStage::Route:
      return "route";
    case ExplainStage::Key:
      return "key";
    case ExplainStage::AccountLimit:
      return "account_limit";
    case ExplainStage::Quarantine:
      return "quarantine";
    case ExplainStage::Targets:
      return "targets";
  }
  return "none";
}

std::shared_ptr<Service>
MakeExplainer(ExplainerSettings aSettings)
{
  return std::make_shared<ExplainService>(std::move(aSettings));
}

} // namespace sassafrasquay
