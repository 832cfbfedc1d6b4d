// JSON form of queries and explanations.
#include "explain/explain_json.h"

#include <boost/json.hpp>

namespace sassafrasquay {

namespace json = boost::json;

namespace {

double
Milliseconds(FloatSeconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

json::value
NameOf(const std::optional<NodeId>& aNode)
{
  return aNode ? json::value(aNode->m_value) : json::value();
}

std::string_view
NameOf(TokenVerdict aVerdict)
{
  switch (aVerdict) {
    case TokenVerdict::Taken:
      return "admitted";
    case TokenVerdict::Ask:
      break;
    case TokenVerdict::Limited:
      return "limited";
    case TokenVerdict::Unreachable:
      return "owner_silent";
  }
  return "owner_decides";
}

json::object
ToJson(const Route& aRoute)
{
  json::array services;
  for (const WeightedService& service : aRoute.m_services) {
    services.push_back(
      { { "service", service.m_service }, { "weight", service.m_weight } });
  }
  return { { "name", aRoute.m_name },
           { "prefix", aRoute.m_prefix },
           { "public", aRoute.m_public },
           { "services", std::move(services) } };
}

json::object
ToJson(const AccountPreview& aPreview)
{
  json::object object = {
    { "requests_per_second", aPreview.m_limit.m_requestsPerSecond },
    { "burst", aPreview.m_limit.m_burst },
    { "verdict", NameOf(aPreview.m_verdict) },
    { "tokens_here", aPreview.m_held },
    { "without_owner", aPreview.m_isWithoutOwner },
    { "owner",
      aPreview.m_owner ? json::value(ToString(*aPreview.m_owner))
                       : json::value() },
    { "is_owner", aPreview.m_isOwner },
    { "max_wait_ms", Milliseconds(aPreview.m_maxWait) },
    { "retry_after_ms", Milliseconds(aPreview.m_retryAfter) },
  };
  if (aPreview.m_bucket) {
    object["bucket_tokens"] = aPreview.m_bucket->m_tokens;
    object["bucket_granted"] = aPreview.m_bucket->m_granted;
  }
  return object;
}

json::object
ToJson(const TargetExplanation& aTarget, bool aIsChosen)
{
  const ScoreParts& parts = aTarget.m_parts;
  return { { "target", aTarget.m_info.m_node.m_value },
           { "zone", aTarget.m_info.m_zone },
           { "version", aTarget.m_info.m_version },
           { "excluded", ToString(aTarget.m_exclusion) },
           { "chosen", aIsChosen },
           { "sampled", aTarget.m_sampled },
           { "probability", aTarget.m_probability },
           { "score_ms", Milliseconds(aTarget.m_score) },
           { "latency_ms", Milliseconds(parts.m_latency) },
           { "queue_ms", Milliseconds(parts.m_queue) },
           { "round_trip_ms", Milliseconds(parts.m_roundTrip) },
           { "zone_ms", Milliseconds(aTarget.m_zonePenalty) },
           { "failure_ms", Milliseconds(parts.m_failure) },
           { "refusal_ms", Milliseconds(parts.m_refusal) },
           { "load", parts.m_load },
           { "limit", parts.m_limit },
           { "cold", aTarget.m_info.m_cold },
           { "share", aTarget.m_share } };
}

json::object
ToJson(const RouteExplanation& aRouting)
{
  const RouteDecision& decision = aRouting.m_decision;
  json::value chosen;
  json::array targets;
  for (const TargetExplanation& target : aRouting.m_targets) {
    const bool isChosen = target.m_target == decision.m_target;
    if (isChosen) {
      chosen = target.m_info.m_node.m_value;
    }
    targets.push_back(ToJson(target, isChosen));
  }
  return { { "chosen", std::move(chosen) },
           { "reason", ToString(decision.m_reason) },
           { "candidates", decision.m_candidates },
           { "usual_latency_ms", Milliseconds(aRouting.m_usualLatency) },
           { "utilisation", aRouting.m_utilisation },
           { "targets", std::move(targets) } };
}

json::object
ToJson(const RetryExplanation& aRetry)
{
  const bool repeats = aRetry.m_decision.m_action != RetryAction::Stop;
  return { { "after", ResultRowFor(aRetry.m_code).m_name },
           { "run", ToString(aRetry.m_executed) },
           { "repeats", repeats },
           { "reason", ToString(aRetry.m_decision.m_reason) },
           { "max_delay_ms", Milliseconds(aRetry.m_decision.m_delay) },
           { "target", NameOf(aRetry.m_target) } };
}

json::object
ToJson(const HedgeExplanation& aHedge)
{
  const HedgeDecision& decision = aHedge.m_decision;
  const bool possible =
    aHedge.m_mayRunTwice || decision.m_reason == HedgeReason::Off;
  return { { "reason",
             possible ? ToString(decision.m_reason) : "may_not_run_twice" },
           { "delay_ms",
             aHedge.m_mayRunTwice && decision.m_delay
               ? json::value(Milliseconds(*decision.m_delay))
               : json::value() },
           { "copies_allowed_now", decision.m_tokens },
           { "target", NameOf(aHedge.m_target) } };
}

// Reads an optional member; false when it is there but not a string.
bool
ReadText(const json::object& aObject, std::string_view aName, std::string& aOut)
{
  const json::value* value = aObject.if_contains(aName);
  if (value != nullptr && value->is_string()) {
    aOut = std::string(value->as_string());
  }
  return value == nullptr || value->is_string();
}

bool
ReadNumber(const json::object& aObject,
           std::string_view aName,
           std::optional<uint64_t>& aOut)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return true;
  }
  boost::system::error_code error;
  aOut = value->to_number<uint64_t>(error);
  return !error;
}

} // namespace

std::optional<ExplainQuery>
ParseExplainQuery(const json::object& aObject, std::string& aFault)
{
  constexpr uint64_t kMaxTimeoutMs = 24 * 3600 * 1000;
  ExplainQuery query;
  std::optional<uint64_t> bodyBytes;
  std::optional<uint64_t> timeout;
  if (!ReadText(aObject, "host", query.m_host) ||
      !ReadText(aObject, "method", query.m_method) ||
      !ReadText(aObject, "path", query.m_path) ||
      !ReadText(aObject, "key", query.m_key) ||
      !ReadText(aObject, "account", query.m_account)) {
    aFault = "host, method, path, key and account must be strings";
  } else if (query.m_host.empty()) {
    aFault = "host is required";
  } else if (!query.m_key.empty() && !query.m_account.empty()) {
    aFault = "give a key or an account, not both";
  } else if (!ReadNumber(aObject, "body_bytes", bodyBytes) ||
             !ReadNumber(aObject, "timeout_ms", timeout) ||
             timeout.value_or(0) > kMaxTimeoutMs) {
    aFault = "body_bytes and timeout_ms must be unsigned numbers; timeout_ms "
             "at most a day";
  }
  if (!aFault.empty()) {
    return std::nullopt;
  }
  query.m_bodyBytes = bodyBytes.value_or(0);
  if (timeout) {
    query.m_timeout = std::chrono::milliseconds(*timeout);
  }
  return query;
}

json::object
ToJson(const ExplainQuery& aQuery)
{
  json::object object = { { "host", aQuery.m_host },
                          { "method", aQuery.m_method },
                          { "path", aQuery.m_path },
                          { "body_bytes", aQuery.m_bodyBytes } };
  if (!aQuery.m_key.empty()) {
    object["key"] = aQuery.m_key;
  }
  if (!aQuery.m_account.empty()) {
    object["account"] = aQuery.m_account;
  }
  if (aQuery.m_timeout) {
    object["timeout_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(*aQuery.m_timeout)
        .count();
  }
  return object;
}

json::object
ToJson(const RequestExplanation& aExplanation)
{
  const RequestExplanation& from = aExplanation;
  json::array retries;
  for (const RetryExplanation& retry : from.m_retries) {
    retries.push_back(ToJson(retry));
  }
  const bool refused = from.m_refusedBy != ExplainStage::None;
  json::object refusal;
  if (refused) {
    const ResultRow& row = ResultRowFor(from.m_refusal);
    refusal = { { "by", ToString(from.m_refusedBy) },
                { "code", static_cast<unsigned>(row.m_code) },
                { "name", row.m_name },
                { "status", row.m_httpStatus } };
  }
  return {
    { "node", from.m_node.m_value },
    { "zone", from.m_zone },
    { "config_version", from.m_configVersion },
    { "request", ToJson(from.m_query) },
    { "route",
      from.m_route ? json::value(ToJson(*from.m_route)) : json::value() },
    { "service", from.m_service },
    { "account", from.m_account },
    { "key_unknown", from.m_isKeyUnknown },
    { "priority", from.m_priority },
    { "idempotent", from.m_idempotent },
    { "max_attempts", from.m_maxAttempts },
    { "timeout_ms", Milliseconds(from.m_timeout) },
    { "latency_objective_ms", Milliseconds(from.m_latencyObjective) },
    { "account_limit",
      from.m_limit ? json::value(ToJson(*from.m_limit)) : json::value() },
    { "refused", refused ? json::value(std::move(refusal)) : json::value() },
    { "routing", ToJson(from.m_routing) },
    { "retry_tokens", from.m_retryTokens },
    { "retries", std::move(retries) },
    { "hedge", ToJson(from.m_hedge) },
  };
}

} // namespace sassafrasquay
