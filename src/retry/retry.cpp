// Retry decisions and the retry budget of each service.
#include "retry/retry.h"

#include <algorithm>
#include <map>

namespace sassafrasquay {

namespace {

// Weight of one attempt in the service's share of overloaded attempts.
constexpr double kOverloadGain = 0.05;

// What a result says about a further attempt at another target.
enum class Repeat : uint8_t
{
  Never,
  Elsewhere, // another target may give another result
  Later      // likewise, but the targets asked so far are busy
};

Repeat
RepeatOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Overloaded:
    case ResultCode::ShedByPriority:
    case ResultCode::TargetShed:
      return Repeat::Later;
    case ResultCode::ZoneOut:
    case ResultCode::TargetLeaving:
    case ResultCode::TargetCold:
    case ResultCode::TargetSlow:
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
      return Repeat::Elsewhere;
    default:
      return Repeat::Never;
  }
}

// Whether a refusal came from the target itself, so that the attempt arrived
// there, and not from the node beside it.
bool
ReachedTarget(ResultCode aCode)
{
  return aCode == ResultCode::TargetShed || aCode == ResultCode::WrongTarget;
}

struct Budget
{
  double m_tokens = 0;
  double m_overload = 0; // share of attempts that met overload, 0 to 1
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
  void SetFleetSize(size_t aNodes) override;
  double Tokens(std::string_view aService) const override;

private:
  Budget& Of(std::string_view aService);
  bool Take(std::string_view aService, double aCost);
  RetryDecision AfterRefusal(const RetryAttempt& aAttempt);
  RetryDecision AfterDispatch(const RetryAttempt& aAttempt);

  RetrySettings m_settings;
  Random& m_random;
  std::map<std::string, Budget, std::less<>> m_budgets;
};

Budget&
BudgetedRetryPolicy::Of(std::string_view aService)
{
  const auto found = m_budgets.find(aService);
  if (found != m_budgets.end()) {
    return found->second;
  }
  return m_budgets
    .emplace(std::string(aService), Budget{ m_settings.m_maxTokens, 0 })
    .first->second;
}

void
BudgetedRetryPolicy::SetFleetSize(size_t aNodes)
{
  if (m_settings.m_fleetMaxTokens <= 0) {
    return;
  }
  const auto nodes = static_cast<double>(std::max<size_t>(1, aNodes));
  m_settings.m_maxTokens = std::max(1.0, m_settings.m_fleetMaxTokens / nodes);
  for (auto& [service, budget] : m_budgets) {
    budget.m_tokens = std::min(budget.m_tokens, m_settings.m_maxTokens);
  }
}

double
BudgetedRetryPolicy::Tokens(std::string_view aService) const
{
  const auto found = m_budgets.find(aService);
  return found == m_budgets.end() ? m_settings.m_maxTokens
                                  : found->second.m_tokens;
}

bool
BudgetedRetryPolicy::Take(std::string_view aService, double aCost)
{
  Budget& budget = Of(aService);
  if (budget.m_tokens < aCost) {
    return false;
  }
  budget.m_tokens -= aCost;
  return true;
}

void
BudgetedRetryPolicy::OnRequest(std::string_view aService, RetryMarker aMarker)
{
  Budget& budget = Of(aService);
  // A request below a retry earns nothing, so that retries earn no retries.
  if (aMarker == RetryMarker::None) {
    const double earned = m_settings.m_tokenRatio * (1 - budget.m_overload);
    budget.m_tokens =
      std::min(m_settings.m_maxTokens, budget.m_tokens + earned);
  }
}

void
BudgetedRetryPolicy::OnResult(std::string_view aService, ResultCode aCode)
{
  Budget& budget = Of(aService);
  const double met = RepeatOf(aCode) == Repeat::Later ? 1 : 0;
  budget.m_overload += kOverloadGain * (met - budget.m_overload);
}

RetryDecision
BudgetedRetryPolicy::Decide(const RetryAttempt& aAttempt)
{
  if (RepeatOf(aAttempt.m_code) == Repeat::Never) {
    return Stop(RetryReason::NotRetryable);
  }
  if (!aAttempt.m_replayable || aAttempt.m_responseStarted) {
    return Stop(RetryReason::NotReplayable);
  }
  return aAttempt.m_executed == Executed::No ? AfterRefusal(aAttempt)
                                             : AfterDispatch(aAttempt);
}

// The attempt provably did not run, so the marker of the previous layer does
// not matter: nothing was sent further down.
RetryDecision
BudgetedRetryPolicy::AfterRefusal(const RetryAttempt& aAttempt)
{
  // An earlier attempt of the same request may have run.
  if (!aAttempt.m_idempotent && aAttempt.m_dispatchedAttempts > 0) {
    return Stop(RetryReason::NotIdempotent);
  }
  if (aAttempt.m_refusedAttempts > m_settings.m_maxRefused) {
    return Stop(RetryReason::Attempts);
  }
  RetryDecision decision{
    RetryAction::Now, Duration(), RetryReason::Retry, RetryMarker::None
  };
  // The first busy target may be an exception; two are a sign of load.
  if (RepeatOf(aAttempt.m_code) == Repeat::Later &&
      aAttempt.m_refusedAttempts > 1) {
    const uint32_t doublings = std::min(10U, aAttempt.m_refusedAttempts - 2);
    const auto most = m_settings.m_delay * (1 << doublings);
    decision.m_action = RetryAction::AfterDelay;
    decision.m_delay =
      most / 2 + Duration(m_random.NextBelow(
                   static_cast<uint64_t>((most / 2).count()) + 1));
  }
  if (aAttempt.m_remaining < decision.m_delay + aAttempt.m_expectedDuration) {
    return Stop(RetryReason::NoTime);
  }
  const double cost =
    ReachedTarget(aAttempt.m_code) ? 1 : m_settings.m_refusalCost;
  if (!Take(aAttempt.m_service, cost)) {
    return Stop(RetryReason::Budget);
  }
  // Below an attempt that may have run, the retry stays spent.
  const bool first = aAttempt.m_dispatchedAttempts == 0 &&
                     aAttempt.m_marker == RetryMarker::None;
  decision.m_marker = first ? RetryMarker::None : RetryMarker::Spent;
  return decision;
}

RetryDecision
BudgetedRetryPolicy::AfterDispatch(const RetryAttempt& aAttempt)
{
  if (!aAttempt.m_idempotent) {
    return Stop(RetryReason::NotIdempotent);
  }
  if (aAttempt.m_marker == RetryMarker::Spent) {
    return Stop(RetryReason::Spent);
  }
  const uint32_t most = aAttempt.m_maxDispatchedAttempts > 0
                          ? aAttempt.m_maxDispatchedAttempts
                          : m_settings.m_maxDispatchedAttempts;
  if (aAttempt.m_dispatchedAttempts >= most) {
    return Stop(RetryReason::Attempts);
  }
  if (aAttempt.m_remaining < aAttempt.m_expectedDuration) {
    return Stop(RetryReason::NoTime);
  }
  if (!Take(aAttempt.m_service, 1)) {
    return Stop(RetryReason::Budget);
  }
  return {
    RetryAction::Now, Duration(), RetryReason::Retry, RetryMarker::Spent
  };
}

} // namespace

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
    case RetryReason::NoTime:
      return "no_time";
    case RetryReason::Spent:
      return "spent";
    case RetryReason::Attempts:
      return "attempts";
    case RetryReason::Budget:
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
