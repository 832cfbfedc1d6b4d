// Retries: whether, when and at what cost an attempt is repeated.
//
// Pure decision code: the caller passes the time, and the choice of the target
// stays with the router (earlier targets go into RouteRequest::m_excluded).
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
  None, // first attempt; the next layer may retry
  Spent // a retry, or below one: the next layer must not retry
};

// What is known once an attempt has ended without a usable answer.
struct RetryAttempt
{
  std::string_view m_service;
  ResultCode m_code = ResultCode::TargetFailed;
  Executed m_executed = Executed::Maybe;
  bool m_idempotent = false;
  bool m_replayable = false;      // the whole body can be sent again
  bool m_responseStarted = false; // the caller has received a part of an answer
  uint32_t m_dispatchedAttempts =
    0; // attempts that may have run, this one included
  uint32_t m_refusedAttempts = 0; // attempts proven not run, this one included
  Duration m_remaining{};         // caller's remaining time
  Duration m_expectedDuration{};  // time that a further attempt will take
  RetryMarker m_marker = RetryMarker::None; // from the previous layer
  uint32_t m_maxDispatchedAttempts =
    0; // the request's own bound; 0: the settings'
};

enum class RetryAction : uint8_t
{
  Stop,
  Now,
  AfterDelay // wait m_delay first
};

// Why, for the decision's log line.
enum class RetryReason : uint8_t
{
  Retry,         // the attempt is repeated
  NotRetryable,  // no other target would give another result
  NotIdempotent, // it may have run, and must not run twice
  NotReplayable, // the body is gone, or a part of the answer was sent
  NoTime,        // a further attempt does not fit the remaining time
  Spent,         // the previous layer retries
  Attempts,      // bound of attempts for one request
  Budget         // the service's budget is empty
};

std::string_view
ToString(RetryReason aReason);

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
  // A request enters the node; it earns a share of a retry, unless the
  // previous layer has spent the retry.
  virtual void OnRequest(std::string_view aService, RetryMarker aMarker) = 0;
  // An attempt ended, whether well or not; results that tell of overload
  // shrink what later requests earn.
  virtual void OnResult(std::string_view aService, ResultCode aCode) = 0;
  // Takes the cost from the budget when the decision is to retry.
  virtual RetryDecision Decide(const RetryAttempt& aAttempt) = 0;
  // How many nodes share RetrySettings::m_fleetMaxTokens.
  virtual void SetFleetSize(size_t /*aNodes*/) {}
  // Retries that the service could make now.
  virtual double Tokens(std::string_view aService) const = 0;
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct RetrySettings
{
  double m_tokenRatio = 0.10; // retries earned by each request
  double m_maxTokens = 10;    // at the start, and the most that can be saved up
  double m_fleetMaxTokens = 0; // of all nodes together, instead; 0: not used
  double m_refusalCost = 0.25; // a refused attempt cost the target nothing
  uint32_t m_maxDispatchedAttempts =
    2;                       // attempts of one request that may have run
  uint32_t m_maxRefused = 3; // further attempts after refusals
  Duration m_delay{ std::chrono::milliseconds(2) }; // doubles with each refusal
};

// aRandom must outlive the policy; it spreads the delays.
std::unique_ptr<RetryPolicy>
MakeRetryPolicy(RetrySettings aSettings, Random& aRandom);

} // namespace sassafrasquay
