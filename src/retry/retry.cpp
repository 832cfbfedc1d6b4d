// Retry decisions and the retry budgets of the services.
#include "retry/retry.h"

#include <algorithm>
#include <map>

namespace sassafrasquay {

namespace {

// Weight of one attempt in the moving average Budget::m_overloadShare.
constexpr double kOverloadGain = 0.05;

// Whether a result allows a further attempt at another target.
enum class RetryClass : uint8_t
{
  Never,
  OtherTarget,          // another target may give another result
  OtherTargetAfterDelay // the same, but the target was overloaded
};

RetryClass
RetryClassOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Overloaded:
    case ResultCode::ShedByPriority:
    case ResultCode::TargetShed:
      return RetryClass::OtherTargetAfterDelay;
    case ResultCode::ZoneOut:
    case ResultCode::TargetLeaving:
    case ResultCode::TargetCold:
    case ResultCode::TargetSlow:
    case ResultCode::RetryLimit:
    case ResultCode::WrongTarget:
    case ResultCode::AnswerInvalid:
    case ResultCode::NodeStopping:
    case ResultCode::NotReady:
    case ResultCode::TargetFailed:
    case ResultCode::PeerLost:
    case ResultCode::AnswerTruncated:
    case ResultCode::TargetUnreachable:
    case ResultCode::ProtocolMismatch:
    case ResultCode::MalformedFrame:
    case ResultCode::PeerNotAuthentic:
      return RetryClass::OtherTarget;
    default:
      return RetryClass::Never;
  }
}

struct Budget
{
  double m_tokens = 0;
  double m_overloadShare = 0; // share of attempts with overload results, 0 to 1
};

RetryDecision
Stop(RetryReason aReason)
{
  return { RetryAction::Stop, Duration(), aReason, RetryMarker::None };
}

class BudgetedRetryPolicy : public RetryPolicy
{
public:
  BudgetedRetryPolicy(RetrySettings aSettings, Random& aRandom)
    : m_settings(aSettings)
    , m_random(aRandom)
  {
  }

  void OnRequest(std::string_view aService, RetryMarker aMarker) override;
  void OnResult(std::string_view aService, ResultCode aCode) override;
  RetryDecision Decide(const RetryAttempt& aAttempt) override;
  RetryDecision Preview(const RetryAttempt& aAttempt) const override;
  double Tokens(std::string_view aService) const override;

private:
  Budget& BudgetOf(std::string_view aService);
  // Decides without the budget. aRandom: null for the longest delay.
  RetryDecision DecideAfterRefusal(const RetryAttempt& aAttempt,
                                   Random* aRandom) const;
  RetryDecision DecideAfterDispatch(const RetryAttempt& aAttempt) const;
  RetryDecision DecideUnlimited(const RetryAttempt& aAttempt,
                                Random* aRandom) const;
  // Tokens that the next attempt takes.
  double CostOf(const RetryAttempt& aAttempt) const;

  RetrySettings m_settings;
  Random& m_random;
  std::map<std::string, Budget, std::less<>> m_budgets;
};

Budget&
BudgetedRetryPolicy::BudgetOf(std::string_view aService)
{
  const auto found = m_budgets.find(aService);
  if (found != m_budgets.end()) {
    return found->second;
  }
  return m_budgets
    .emplace(std::string(aService), Budget{ m_settings.m_maxTokens, 0 })
    .first->second;
}

double
BudgetedRetryPolicy::Tokens(std::string_view aService) const
{
  const auto found = m_budgets.find(aService);
  return found == m_budgets.end() ? m_settings.m_maxTokens
                                  : found->second.m_tokens;
}

double
BudgetedRetryPolicy::CostOf(const RetryAttempt& aAttempt) const
{
  if (m_settings.m_budgetAtTarget) {
    return 0;
  }
  const bool hasReached =
    MayHaveReachedTarget(aAttempt.m_code, aAttempt.m_executed);
  return hasReached ? 1 : m_settings.m_refusalCost;
}

void
BudgetedRetryPolicy::OnRequest(std::string_view aService, RetryMarker aMarker)
{
  Budget& budget = BudgetOf(aService);
  // A request that is part of a retry adds nothing, so that retries do not
  // allow further retries.
  if (aMarker == RetryMarker::None) {
    const double added = m_settings.m_tokenRatio * (1 - budget.m_overloadShare);
    budget.m_tokens = std::min(m_settings.m_maxTokens, budget.m_tokens + added);
  }
}

void
BudgetedRetryPolicy::OnResult(std::string_view aService, ResultCode aCode)
{
  Budget& budget = BudgetOf(aService);
  const double overloaded =
    RetryClassOf(aCode) == RetryClass::OtherTargetAfterDelay ? 1 : 0;
  budget.m_overloadShare +=
    kOverloadGain * (overloaded - budget.m_overloadShare);
}

RetryDecision
BudgetedRetryPolicy::Decide(const RetryAttempt& aAttempt)
{
  const RetryDecision decision = DecideUnlimited(aAttempt, &m_random);
  const double cost = CostOf(aAttempt);
  if (decision.m_action == RetryAction::Stop || cost <= 0) {
    return decision;
  }
  Budget& budget = BudgetOf(aAttempt.m_service);
  if (budget.m_tokens < cost) {
    return Stop(RetryReason::BudgetExhausted);
  }
  budget.m_tokens -= cost;
  return decision;
}

RetryDecision
BudgetedRetryPolicy::Preview(const RetryAttempt& aAttempt) const
{
  const RetryDecision decision = DecideUnlimited(aAttempt, nullptr);
  const double cost = CostOf(aAttempt);
  const bool exhausted = decision.m_action != RetryAction::Stop && cost > 0 &&
                         Tokens(aAttempt.m_service) < cost;
  return exhausted ? Stop(RetryReason::BudgetExhausted) : decision;
}

RetryDecision
BudgetedRetryPolicy::DecideUnlimited(const RetryAttempt& aAttempt,
                                     Random* aRandom) const
{
  if (RetryClassOf(aAttempt.m_code) == RetryClass::Never) {
    return Stop(RetryReason::NotRetryable);
  }
  if (!aAttempt.m_replayable || aAttempt.m_responseStarted) {
    return Stop(RetryReason::NotReplayable);
  }
  return aAttempt.m_executed == Executed::No
           ? DecideAfterRefusal(aAttempt, aRandom)
           : DecideAfterDispatch(aAttempt);
}

// The attempt was not executed, so it caused no calls to further layers. The
// marker of the previous layer is therefore ignored.
RetryDecision
BudgetedRetryPolicy::DecideAfterRefusal(const RetryAttempt& aAttempt,
                                        Random* aRandom) const
{
  // An earlier attempt of the same request may have been executed.
  if (!aAttempt.m_idempotent && aAttempt.m_dispatchedAttempts > 0) {
    return Stop(RetryReason::NotIdempotent);
  }
  if (aAttempt.m_refusedAttempts > m_settings.m_maxRefused) {
    return Stop(RetryReason::AttemptLimit);
  }
  RetryDecision decision{
    RetryAction::Now, Duration(), RetryReason::Retry, RetryMarker::None
  };
  // One overloaded target may be an exception; two indicate overload of the
  // service.
  if (RetryClassOf(aAttempt.m_code) == RetryClass::OtherTargetAfterDelay &&
      aAttempt.m_refusedAttempts > 1) {
    const uint32_t doublingCount =
      std::min(10U, aAttempt.m_refusedAttempts - 2);
    const auto maxDelay = m_settings.m_delay * (1 << doublingCount);
    decision.m_action = RetryAction::AfterDelay;
    const Duration jitter = maxDelay / 2;
    decision.m_delay =
      maxDelay / 2 + (aRandom == nullptr
                        ? jitter
                        : Duration(aRandom->NextBelow(
                            static_cast<uint64_t>(jitter.count()) + 1)));
  }
  if (aAttempt.m_remaining < decision.m_delay + aAttempt.m_expectedDuration) {
    return Stop(RetryReason::NoTimeLeft);
  }
  // The marker stays set when an earlier attempt may have been executed.
  const bool first = aAttempt.m_dispatchedAttempts == 0 &&
                     aAttempt.m_marker == RetryMarker::None;
  decision.m_marker = first ? RetryMarker::None : RetryMarker::Spent;
  return decision;
}

RetryDecision
BudgetedRetryPolicy::DecideAfterDispatch(const RetryAttempt& aAttempt) const
{
  if (!aAttempt.m_idempotent) {
    return Stop(RetryReason::NotIdempotent);
  }
  if (aAttempt.m_marker == RetryMarker::Spent) {
    return Stop(RetryReason::Spent);
  }
  const uint32_t maxAttempts = aAttempt.m_maxDispatchedAttempts > 0
                                 ? aAttempt.m_maxDispatchedAttempts
                                 : m_settings.m_maxDispatchedAttempts;
  if (aAttempt.m_dispatchedAttempts >= maxAttempts ||
      aAttempt.m_refusedAttempts > m_settings.m_maxRefused) {
    return Stop(RetryReason::AttemptLimit);
  }
  if (aAttempt.m_remaining < aAttempt.m_expectedDuration) {
    return Stop(RetryReason::NoTimeLeft);
  }
  return {
    RetryAction::Now, Duration(), RetryReason::Retry, RetryMarker::Spent
  };
}

} // namespace

bool
MayHaveReachedTarget(ResultCode aCode, Executed aExecuted)
{
  return aExecuted != Executed::No || aCode == ResultCode::TargetShed ||
         aCode == ResultCode::WrongTarget;
}

std::string_view
ToString(RetryReason aReason)
{
  switch (aReason) {
    case RetryReason::Retry:
      return "retry";
    case RetryReason::NotRetryable:
      break;
    case RetryReason::NotIdempotent:
      return "not_idempotent";
    case RetryReason::NotReplayable:
      return "not_replayable";
    case RetryReason::NoTimeLeft:
      return "no_time";
    case RetryReason::Spent:
      return "spent";
    case RetryReason::AttemptLimit:
      return "attempts";
    case RetryReason::BudgetExhausted:
      return "budget";
  }
  return "not_retryable";
}

std::unique_ptr<RetryPolicy>
MakeRetryPolicy(RetrySettings aSettings, Random& aRandom)
{
  return std::make_unique<BudgetedRetryPolicy>(aSettings, aRandom);
}

} // namespace sassafrasquay
