// Retries: decides whether and when an attempt is repeated, and what that costs
// the retry budget.
//
// Each service in a chain of services that call each other is a layer. Layers
// mark retries, so that the retries of several layers do not multiply.
//
// Decision code without I/O. The router chooses the target of the next attempt;
// earlier targets are passed to it in RouteRequest::m_excluded.
//
// Index of this file
//   [1] Attempts and decisions
//   [2] Policy interface
//   [3] Settings
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Attempts and decisions
//-----------------------------------------------------------------------------

// Value of the Sassafrasquay-Retry header.
enum class RetryMarker : uint8_t
{
  None, // not part of a retry; the next layer may retry
  Spent // part of a retry; the next layer must not retry
};

// An attempt that ended without a usable response.
struct RetryAttempt
{
  std::string_view m_service;
  ResultCode m_code = ResultCode::TargetFailed;
  Executed m_executed = Executed::Maybe;
  bool m_idempotent = false;
  bool m_replayable = false;      // the whole request body can be sent again
  bool m_responseStarted = false; // the caller received a part of a response
  // Attempts of the request that may have been executed, and those that were
  // not. This attempt is counted.
  uint32_t m_dispatchedAttempts = 0;
  uint32_t m_refusedAttempts = 0;
  Duration m_remaining{};        // caller's remaining time
  Duration m_expectedDuration{}; // expected duration of a further attempt
  RetryMarker m_marker = RetryMarker::None; // from the previous layer
  // Limit of the request; 0: the limit in RetrySettings.
  uint32_t m_maxDispatchedAttempts = 0;
};

enum class RetryAction : uint8_t
{
  Stop,
  Now,
  AfterDelay // wait m_delay first
};

// Reason of a decision; logged with it.
enum class RetryReason : uint8_t
{
  Retry,          // the attempt is repeated
  NotRetryable,   // another target would give the same result
  NotIdempotent,  // it may have been executed, and must not be executed twice
  NotReplayable,  // the body cannot be resent, or a response has started
  NoTimeLeft,     // a further attempt takes longer than the remaining time
  Spent,          // a previous layer retries
  AttemptLimit,   // maximum number of attempts of one request
  BudgetExhausted // the retry budget of the service is empty
};

std::string_view
ToString(RetryReason aReason);

// False when the attempt provably ended before the target: the node on the
// target's VM refused it, or no connection could be opened. aExecuted: of this
// attempt alone.
bool
MayHaveReachedTarget(ResultCode aCode, Executed aExecuted);

struct RetryDecision
{
  RetryAction m_action = RetryAction::Stop;
  Duration m_delay{};
  RetryReason m_reason = RetryReason::NotRetryable;
  RetryMarker m_marker = RetryMarker::None; // to send with the next attempt
};

//-----------------------------------------------------------------------------
// [2] Policy interface
//-----------------------------------------------------------------------------

class RetryPolicy : public Component
{
public:
  // Must be called for each request that enters the node. Adds a fraction of a
  // retry to the budget, unless aMarker shows that a previous layer retries.
  virtual void OnRequest(std::string_view aService, RetryMarker aMarker) = 0;
  // Must be called for each attempt that ends, successful or not. Overload
  // results reduce what later requests add to the budget.
  virtual void OnResult(std::string_view aService, ResultCode aCode) = 0;
  // Takes the cost from the budget when the decision is to retry.
  virtual RetryDecision Decide(const RetryAttempt& aAttempt) = 0;
  // Returns what Decide would, with the longest delay. Takes nothing from the
  // budget.
  virtual RetryDecision Preview(const RetryAttempt& aAttempt) const = 0;
  // Returns the current budget of the service, in retries.
  virtual double Tokens(std::string_view aService) const = 0;
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct RetrySettings
{
  double m_tokenRatio = 0.10; // tokens added by each request; a retry costs 1
  double m_maxTokens = 10;    // initial and maximum tokens of a service
  // Cost of a retry after a refusal by the target's node: the attempt caused no
  // work at the target.
  double m_refusalCost = 0.25;
  // The nodes beside the targets limit the repeats (RepeatBudget), so a retry
  // takes no tokens here.
  bool m_budgetAtTarget = false;
  // Maximum number of attempts of one request that may be executed.
  uint32_t m_maxDispatchedAttempts = 2;
  // Maximum number of further attempts of one request after refusals.
  uint32_t m_maxRefused = 3;
  // Maximum delay after the second refusal, if it shows overload; doubles with
  // each further refusal. A delay is at least half of its maximum.
  Duration m_delay{ std::chrono::milliseconds(2) };
};

// aRandom must outlive the policy; it provides the jitter of the delays.
std::unique_ptr<RetryPolicy>
MakeRetryPolicy(RetrySettings aSettings, Random& aRandom);

} // namespace sassafrasquay
