// The result code table and its error category.
#include "core/core.h"

#include <algorithm>
#include <array>

namespace sassafrasquay {

namespace {

using RC = ResultCode;

// clang-format off
constexpr std::array kRows = {
  ResultRow{ RC::Ok, "Ok", 200, "yes", "The answer is the target's own.", "not needed", "nothing" },
  ResultRow{ RC::MalformedRequest, "MalformedRequest", 400, "no", "The request is not valid HTTP/1.1.", "after correcting it", "nothing" },
  ResultRow{ RC::HeadTooLarge, "HeadTooLarge", 431, "no", "The request head exceeds --max_head_bytes.", "with a smaller head", "raise --max_head_bytes if callers need it" },
  ResultRow{ RC::BodyTooLarge, "BodyTooLarge", 413, "no or maybe", "The request body exceeds --max_body_bytes.", "with a smaller body", "raise --max_body_bytes if callers need it" },
  ResultRow{ RC::UnknownService, "UnknownService", 404, "no", "No target of the service named by Host is known.", "after the service exists", "check the Host header and that targets announce the service" },
  ResultRow{ RC::SenderTooSlow, "SenderTooSlow", 408, "no or maybe", "The caller did not send its request within the time limit.", "yes", "nothing" },
  ResultRow{ RC::InvalidHeader, "InvalidHeader", 400, "no", "A Sassafrasquay header has an invalid value.", "after correcting it", "nothing" },
  ResultRow{ RC::NoRoute, "NoRoute", 404, "no", "No route of the published configuration matches host and path.", "after the route exists", "check the routes that are in force" },
  ResultRow{ RC::UnknownKey, "UnknownKey", 401, "no", "The request carries no key of a client account, and its route is not public.", "with a valid key", "check the client account's keys in the configuration" },
  ResultRow{ RC::NoTarget, "NoTarget", 503, "no", "Every known target of the service is leaving, out or unreachable.", "yes, later", "check the targets and zones of the service" },
  ResultRow{ RC::Overloaded, "Overloaded", 503, "no", "The targets that were asked have no capacity left.", "yes, with backoff", "add capacity if it lasts" },
  ResultRow{ RC::ExpiredBeforeRun, "ExpiredBeforeRun", 504, "no", "The caller's remaining time ended before the request was dispatched.", "yes", "check for overload" },
  ResultRow{ RC::ZoneOut, "ZoneOut", 503, "no", "The target's availability zone is out of service.", "yes", "nothing; the zone was taken out" },
  ResultRow{ RC::TargetLeaving, "TargetLeaving", 503, "no", "The target is draining.", "yes", "nothing" },
  ResultRow{ RC::TargetCold, "TargetCold", 503, "no", "The target is in its cold start and at its bound.", "yes, with backoff", "nothing, unless every target is cold" },
  ResultRow{ RC::NodeStopping, "NodeStopping", 503, "no", "The node is shutting down.", "yes, at another node", "nothing" },
  ResultRow{ RC::ShedByPriority, "ShedByPriority", 503, "no", "Shed in favour of requests with a higher priority.", "yes, with backoff", "add capacity if it lasts" },
  ResultRow{ RC::NotReady, "NotReady", 503, "no", "The node has no configuration or no target yet.", "yes, at another node", "check the store and the seed nodes" },
  ResultRow{ RC::TargetSlow, "TargetSlow", 503, "no", "The target works far slower than usual at this moment.", "yes", "look for a noisy neighbour if it lasts" },
  ResultRow{ RC::RetryLimit, "RetryLimit", 503, "no", "The targets that were asked take no further repeated requests.", "yes, with backoff", "look for failing or shedding targets" },
  ResultRow{ RC::QuotaExceeded, "QuotaExceeded", 429, "no", "The client account has used up its rate limit.", "after Retry-After", "raise the client account's limit if it is too low" },
  ResultRow{ RC::LimitUnavailable, "LimitUnavailable", 503, "no", "The node that keeps the rate limit of the client account does not respond.", "after Retry-After", "check the VM of the account's owner" },
  ResultRow{ RC::DeadlineExceeded, "DeadlineExceeded", 504, "maybe", "The deadline passed while the target was working.", "idempotent requests", "check the target's latency" },
  ResultRow{ RC::TargetFailed, "TargetFailed", 502, "maybe", "The target closed the connection before its answer began.", "idempotent requests", "check the target" },
  ResultRow{ RC::PeerLost, "PeerLost", 502, "maybe", "The node beside the target was lost and the fate of the request is unknown.", "idempotent requests", "check the VM" },
  ResultRow{ RC::AnswerTruncated, "AnswerTruncated", 502, "yes", "The target ended its answer early.", "idempotent requests", "check the target" },
  ResultRow{ RC::TargetShed, "TargetShed", 503, "no", "The target stated that it did not run the request.", "yes, with backoff", "check the target's load" },
  ResultRow{ RC::TargetUnreachable, "TargetUnreachable", 502, "no", "No connection to the target or its node could be opened.", "yes", "check the VM" },
  ResultRow{ RC::CallerGone, "CallerGone", 499, "no or maybe", "The caller closed its connection.", "idempotent requests", "nothing" },
  ResultRow{ RC::AnswerInvalid, "AnswerInvalid", 502, "maybe", "The target's answer is not valid or belongs to another request.", "idempotent requests", "check the target" },
  ResultRow{ RC::WrongTarget, "WrongTarget", 503, "no", "The address now belongs to another target, which did not run the request.", "yes", "nothing; follows the replacement of a target" },
  ResultRow{ RC::ConnectionEnded, "ConnectionEnded", 499, "no or maybe", "An earlier answer on the caller's connection broke off, which ended the connection.", "idempotent requests", "see the earlier request of that connection" },
  ResultRow{ RC::DuplicateInProgress, "DuplicateInProgress", 409, "maybe", "The same call arrived twice at the target's node; the first one runs.", "no", "nothing" },
  ResultRow{ RC::CrashSuspect, "CrashSuspect", 503, "no or maybe", "Targets crashed while running this request; it is refused for a while.", "no", "find the request in the log and repair the target" },
  ResultRow{ RC::ConfigInvalid, "ConfigInvalid", 400, "-", "The declaration has faults; each is listed.", "after correcting it", "correct the declaration" },
  ResultRow{ RC::LogUnavailable, "LogUnavailable", 503, "-", "The store did not answer in time, or refused.", "yes", "check the store" },
  ResultRow{ RC::SchemaTooNew, "SchemaTooNew", 400, "-", "The declaration uses a newer schema than this program.", "after an upgrade", "upgrade the nodes first" },
  ResultRow{ RC::LogHistoryGone, "LogHistoryGone", 503, "-", "The store no longer keeps the changes that were asked for.", "after reading the whole state", "nothing" },
  ResultRow{ RC::ProtocolMismatch, "ProtocolMismatch", 502, "no", "The peers share no protocol version.", "yes", "upgrade the older node" },
  ResultRow{ RC::MalformedFrame, "MalformedFrame", 502, "maybe", "A peer sent bytes that are not a valid frame.", "idempotent requests", "check the peer's version" },
  ResultRow{ RC::PeerNotAuthentic, "PeerNotAuthentic", 502, "no", "A peer did not prove that it holds the peer key.", "no", "check the peer keys of both nodes" },
  ResultRow{ RC::FrameTooLarge, "FrameTooLarge", 502, "maybe", "A peer sent a frame above the size limit.", "no", "check the peer's version" },
};
// clang-format on

class ResultErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "sassafrasquay"; }
  std::string message(int aValue) const override
  {
    return std::string(ResultRowFor(static_cast<ResultCode>(aValue)).m_meaning);
  }
};

} // namespace

std::span<const ResultRow>
ResultTable()
{
  return kRows;
}

const ResultRow&
ResultRowFor(ResultCode aCode)
{
  const auto found =
    std::find_if(kRows.begin(), kRows.end(), [aCode](const ResultRow& aRow) {
      return aRow.m_code == aCode;
    });
  return found == kRows.end() ? kRows.front() : *found;
}

std::string
ResultTableMarkdown()
{
  std::string text =
    "| number | name | HTTP status | Run | meaning | resend | operator |\n"
    "|---|---|---|---|---|---|---|\n";
  for (const ResultRow& row : kRows) {
    text += "| " + std::to_string(static_cast<int>(row.m_code)) + " | ";
    text += std::string(row.m_name) + " | ";
    text += std::to_string(row.m_httpStatus) + " | ";
    text += std::string(row.m_executed) + " | ";
    text += std::string(row.m_meaning) + " | ";
    text += std::string(row.m_retryAdvice) + " | ";
    text += std::string(row.m_operatorAction) + " |\n";
  }
  return text;
}

std::string_view
ToString(Executed aExecuted)
{
  switch (aExecuted) {
    case Executed::No:
      return "no";
    case Executed::Yes:
      return "yes";
    case Executed::Maybe:
      break;
  }
  return "maybe";
}

const std::error_category&
ResultCategory() noexcept
{
  static const ResultErrorCategory category;
  return category;
}

std::error_code
make_error_code(ResultCode aCode) noexcept
{
  return { static_cast<int>(aCode), ResultCategory() };
}

} // namespace sassafrasquay
