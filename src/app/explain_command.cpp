// The command "explain".
#include "app/explain_command.h"

#include "app/control_client.h"
#include "explain/explain_json.h"

#include <boost/json.hpp>
#include <iomanip>
#include <ostream>

namespace sassafrasquay {

namespace json = boost::json;

namespace {

std::string
Text(const json::object& aObject, std::string_view aName)
{
  const json::value& value = aObject.at(aName);
  return value.is_string() ? std::string(value.as_string())
         : value.is_null() ? "-"
                           : json::serialize(value);
}

double
Number(const json::object& aObject, std::string_view aName)
{
  return aObject.at(aName).to_number<double>();
}

bool
IsTrue(const json::object& aObject, std::string_view aName)
{
  return aObject.at(aName).as_bool();
}

void
PrintRequest(const json::object& aFrom, std::ostream& aOut)
{
  const json::object& request = aFrom.at("request").as_object();
  aOut << "node      " << Text(aFrom, "node") << " in zone "
       << Text(aFrom, "zone") << ", config version "
       << Text(aFrom, "config_version") << "\n";
  if (!Text(aFrom, "not_ready").empty()) {
    aOut << "not ready " << Text(aFrom, "not_ready") << "\n";
  }
  aOut << "request   " << Text(request, "method") << " "
       << Text(request, "host") << Text(request, "path") << ", "
       << Text(request, "body_bytes") << " bytes of body\n";
  if (const json::object* route = aFrom.at("route").if_object()) {
    aOut << "route     " << Text(*route, "name") << " (prefix "
         << Text(*route, "prefix")
         << (IsTrue(*route, "public") ? ", no key needed" : "") << ")";
    for (const json::value& value : route->at("services").as_array()) {
      const json::object& service = value.as_object();
      aOut << " " << Text(service, "service") << "="
           << Number(service, "weight");
    }
    aOut << "\n";
  }
  aOut << "service   " << Text(aFrom, "service") << ", priority "
       << Text(aFrom, "priority")
       << (IsTrue(aFrom, "idempotent") ? ", may run again" : ", runs once")
       << ", " << Number(aFrom, "timeout_ms") << " ms\n";
}

void
PrintAccount(const json::object& aFrom, std::ostream& aOut)
{
  const std::string account = Text(aFrom, "account");
  if (IsTrue(aFrom, "key_unknown")) {
    aOut << "account   no account holds the key; a peer is asked for a newer "
            "configuration first\n";
    return;
  }
  aOut << "account   " << (account.empty() ? "none" : account);
  const json::object* limit = aFrom.at("account_limit").if_object();
  if (limit == nullptr) {
    aOut << ", no limit\n";
    return;
  }
  aOut << ", " << Number(*limit, "requests_per_second") << "/s, burst "
       << Number(*limit, "burst") << "; tokens here "
       << Text(*limit, "tokens_here") << ", owner " << Text(*limit, "owner")
       << (IsTrue(*limit, "is_owner") ? " (this node)" : "");
  if (limit->contains("bucket_tokens")) {
    aOut << ", tokens in its bucket " << Number(*limit, "bucket_tokens");
  }
  const std::string verdict = Text(*limit, "verdict");
  if (verdict == "owner_decides") {
    aOut << "; asks the owner and waits up to " << Number(*limit, "max_wait_ms")
         << " ms\n";
  } else if (verdict == "admitted") {
    aOut << "; admitted"
         << (IsTrue(*limit, "without_owner") ? " without the owner" : "")
         << "\n";
  } else {
    aOut << "; " << verdict << ", retry after "
         << Number(*limit, "retry_after_ms") << " ms\n";
  }
}

void
PrintTargets(const json::object& aRouting, std::ostream& aOut)
{
  const json::array& targets = aRouting.at("targets").as_array();
  if (targets.empty()) {
    return;
  }
  constexpr int kName = 24;
  constexpr int kZone = 10;
  constexpr int kColumn = 9;
  aOut << "\n"
       << std::left << std::setw(kName) << "TARGET" << std::setw(kZone)
       << "ZONE" << std::right;
  for (const char* title : { "SCORE",
                             "LATENCY",
                             "QUEUE",
                             "NETWORK",
                             "ZONE",
                             "FAILURE",
                             "REFUSAL",
                             "LOAD",
                             "SHARE",
                             "CHANCE" }) {
    aOut << std::setw(kColumn) << title;
  }
  aOut << "  (times in ms)\n" << std::fixed << std::setprecision(2);
  for (const json::value& value : targets) {
    const json::object& target = value.as_object();
    aOut << std::left << std::setw(kName) << Text(target, "target")
         << std::setw(kZone) << Text(target, "zone") << std::right;
    for (const char* name : { "score_ms",
                              "latency_ms",
                              "queue_ms",
                              "round_trip_ms",
                              "zone_ms",
                              "failure_ms",
                              "refusal_ms",
                              "load",
                              "share",
                              "probability" }) {
      aOut << std::setw(kColumn) << Number(target, name);
    }
    const std::string excluded = Text(target, "excluded");
    aOut << (excluded != "none" ? "  excluded: " + excluded : "")
         << (IsTrue(target, "cold") ? "  cold" : "")
         << (IsTrue(target, "sampled") ? "  sampled" : "")
         << (IsTrue(target, "chosen") ? "  chosen" : "") << "\n";
  }
  aOut << std::defaultfloat;
}

void
PrintFurtherAttempts(const json::object& aFrom, std::ostream& aOut)
{
  aOut << "\n";
  for (const json::value& value : aFrom.at("retries").as_array()) {
    const json::object& retry = value.as_object();
    aOut << "after " << Text(retry, "after") << " (run " << Text(retry, "run")
         << "): ";
    if (IsTrue(retry, "repeats")) {
      const double delay = Number(retry, "max_delay_ms");
      aOut << "retry at " << Text(retry, "target");
      if (delay > 0) {
        aOut << " within " << delay << " ms";
      }
      aOut << "\n";
    } else {
      aOut << "no retry: " << Text(retry, "reason") << "\n";
    }
  }
  const json::object& hedge = aFrom.at("hedge").as_object();
  aOut << "second copy: ";
  if (hedge.at("delay_ms").is_null()) {
    aOut << "none, " << Text(hedge, "reason") << "\n";
  } else {
    aOut << "after " << Number(hedge, "delay_ms") << " ms at "
         << Text(hedge, "target") << ", " << Text(hedge, "reason") << "\n";
  }
}

void
Print(const json::object& aFrom, std::ostream& aOut)
{
  PrintRequest(aFrom, aOut);
  PrintAccount(aFrom, aOut);
  const json::object& routing = aFrom.at("routing").as_object();
  if (const json::object* refused = aFrom.at("refused").if_object()) {
    aOut << "refused   by " << Text(*refused, "by") << ": "
         << Text(*refused, "code") << " " << Text(*refused, "name")
         << ", status " << Text(*refused, "status") << "\n";
    PrintTargets(routing, aOut);
    return;
  }
  aOut << "chosen    " << Text(routing, "chosen") << " ("
       << Text(routing, "reason") << ", " << Text(routing, "candidates")
       << " candidates)\n";
  PrintTargets(routing, aOut);
  PrintFurtherAttempts(aFrom, aOut);
}

} // namespace

int
RunExplain(const ExplainCommandSettings& aSettings,
           std::ostream& aOut,
           std::ostream& aErr)
{
  ControlRequest request;
  request.m_control = aSettings.m_control;
  request.m_timeout = aSettings.m_timeout;
  request.m_path = "/v1/explain";
  request.m_body = json::serialize(ToJson(aSettings.m_query));
  const ControlResponse response = SendToControl(request);
  boost::system::error_code error = response.m_error;
  constexpr unsigned kOk = 200;
  if (!error && response.m_status != kOk) {
    aErr << "sassafrasquay explain: " << response.m_body;
    return 1;
  }
  const json::value explanation =
    error ? json::value() : json::parse(response.m_body, error);
  if (error || !explanation.is_object()) {
    aErr << "sassafrasquay explain: no valid response from "
         << ToString(aSettings.m_control) << ": " << error.message()
         << "; check --control and that the node is running\n";
    return 1;
  }
  if (aSettings.m_json) {
    aOut << response.m_body;
    return 0;
  }
  try {
    Print(explanation.as_object(), aOut);
  } catch (const std::exception&) {
    aErr << "sassafrasquay explain: the node is of another version; use "
            "--json\n";
    return 1;
  }
  return 0;
}

} // namespace sassafrasquay
