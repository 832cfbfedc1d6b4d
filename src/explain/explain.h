// Explains what a node would do with a request, without sending it.
//
// An explanation takes the decisions of the real path on the state of the
// moment, and on a copy of the random source, so it changes nothing.
//
// Index of this file
//   [1] Queries
//   [2] Explanations
//   [3] Explainer
#pragma once

#include "accounts/accounts.h"
#include "frontend/frontend.h"
#include "hedging/hedging.h"
#include "retry/retry.h"
#include "routing/routing.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Queries
//-----------------------------------------------------------------------------

// A request that could enter at this node.
struct ExplainQuery
{
  std::string m_host;
  std::string m_method = "GET";
  std::string m_path = "/"; // request target, with the query
  std::string m_key;        // of a client account; not part of an explanation
  std::string m_account;    // in place of a key
  uint64_t m_bodyBytes = 0;
  std::optional<Duration> m_timeout; // set by the caller
};

//-----------------------------------------------------------------------------
// [2] Explanations
//-----------------------------------------------------------------------------

// Who refuses the request.
enum class ExplainStage : uint8_t
{
  None,
  Route,
  Key,
  AccountLimit,
  Quarantine,
  Targets // no usable target
};

std::string_view
ToString(ExplainStage aStage);

// What follows the first attempt if it ends in this way.
struct RetryExplanation
{
  ResultCode m_code = ResultCode::Ok; // of the first attempt
  Executed m_executed = Executed::No;
  RetryDecision m_decision;       // with the longest delay
  RouteDecision m_route;          // of the next attempt, if there is one
  std::optional<NodeId> m_target; // of the next attempt
};

// The second copy of a slow request.
struct HedgeExplanation
{
  bool m_mayRunTwice = false; // else no copy is ever sent
  HedgeDecision m_decision;
  std::optional<NodeId> m_target; // if it were sent now
};

struct RequestExplanation
{
  NodeId m_node; // the entry node
  std::string m_zone;
  uint64_t m_configVersion = 0;
  ExplainQuery m_query; // without the key
  std::optional<Route> m_route;
  std::string m_account;
  bool m_isKeyUnknown = false;
  std::string m_service;
  uint8_t m_priority = 0;
  bool m_idempotent = false;
  uint32_t m_maxAttempts = 0; // 0: no limit
  Duration m_timeout{};
  Duration m_latencyObjective{};
  double m_hedgeShare = 0;
  std::optional<AccountPreview> m_limit;
  ExplainStage m_refusedBy = ExplainStage::None;
  ResultCode m_refusal = ResultCode::Ok;
  RouteExplanation m_routing; // empty when an earlier stage has refused
  double m_retryTokens = 0;   // of the service
  std::vector<RetryExplanation> m_retries;
  HedgeExplanation m_hedge;
};

//-----------------------------------------------------------------------------
// [3] Explainer
//-----------------------------------------------------------------------------

// Registered in the kernel as "explain".
class Explainer : public virtual Component
{
public:
  // Returns nullopt while the node is starting.
  virtual std::optional<RequestExplanation> Explain(
    const ExplainQuery& aQuery) const = 0;
};

struct ExplainerSettings
{
  NodeId m_node;
  std::string m_zone;
  bool m_hasAccounts = false; // "account_limits" is registered
};

// The service "explain". Finds "clock", "random", "call_policy" (CallPreviewer
// and AccountDirectory), "router", "retry", "hedging" and "quarantine";
// requires "call_policy" and, if the node has accounts, "account_limits"
// (AccountPreviewer).
std::shared_ptr<Service>
MakeExplainer(ExplainerSettings aSettings);

} // namespace sassafrasquay
