// The default HTTP dialect.
#include "dialect/dialect.h"

#include "httpbase/httpbase.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace sassafrasquay {

namespace {

using boost::beast::iequals;

// Retry-After of 503 replies, in whole seconds.
constexpr std::string_view kRetryAfterSeconds = "1";

class DefaultCallerDialect : public CallerDialect
{
public:
  std::optional<ResultCode> ParseRequest(
    RequestHead& aHead,
    std::optional<Duration>& aTimeout) const override
  {
    if (const auto value = FindHeader(aHead.m_headers, kTimeoutHeader)) {
      Duration timeout{};
      if (!ParseMilliseconds(*value, timeout)) {
        return ResultCode::InvalidHeader;
      }
      aTimeout = timeout;
    }
    if (const auto value = FindHeader(aHead.m_headers, kRequestIdHeader)) {
      aHead.m_requestId = std::string(*value);
    }
    aHead.m_retrySpent = FindHeader(aHead.m_headers, kRetryHeader).has_value();
    for (const std::string_view name :
         { kTimeoutHeader, kRetryHeader, kRequestIdHeader }) {
      RemoveHeader(aHead.m_headers, name);
    }
    return std::nullopt;
  }

  LocalReply MakeLocalReply(const RequestHead& /*aHead*/,
                            const CallResult& aResult) const override
  {
    const ResultRow& row = ResultRowFor(aResult.m_code);
    LocalReply reply;
    reply.m_status = row.m_httpStatus;
    reply.m_headers = {
      { std::string(kResultHeader),
        std::to_string(static_cast<int>(row.m_code)) },
      { std::string(kRunHeader), std::string(ToString(aResult.m_executed)) },
    };
    if (row.m_httpStatus == 503) {
      reply.m_headers.push_back(
        { "Retry-After", std::string(kRetryAfterSeconds) });
    }
    reply.m_body =
      std::string(row.m_name) + ": " + std::string(row.m_meaning) + "\n";
    return reply;
  }
};

class DefaultTargetDialect : public TargetDialect
{
public:
  void AddRequestHeaders(const RequestHead& aHead,
                         const std::string& /*aTargetId*/,
                         Duration aRemaining,
                         std::vector<HeaderField>& aFields) const override
  {
    aFields.push_back(
      { std::string(kRequestIdHeader), ToString(aHead.m_call) });
    aFields.push_back(
      { std::string(kTimeoutHeader), FormatMilliseconds(aRemaining) });
    if (aHead.m_retrySpent) {
      aFields.push_back({ std::string(kRetryHeader), "spent" });
    }
  }

  std::string ResponseId(const RequestHead& aHead) const override
  {
    return ToString(aHead.m_call);
  }

  ResponseInfo ParseResponse(const RequestHead& aHead,
                             const ResponseHead& aResponse) const override
  {
    ResponseInfo info;
    const bool shed =
      aResponse.m_status == 503 && FindHeader(aResponse.m_headers, kShedHeader);
    const auto id = FindHeader(aResponse.m_headers, kRequestIdHeader);
    info.m_hasRequestId = id.has_value();
    if (id && *id != ResponseId(aHead)) {
      info.m_kind = ResponseKind::Stale;
    } else if (shed) {
      info.m_kind = ResponseKind::NotExecuted;
    }
    return info;
  }

  HealthReport ParseHealth(const ResponseHead& aResponse) const override
  {
    HealthReport report;
    report.m_healthy = aResponse.m_status == 200;
    return report;
  }

  std::string CancelPath(const CallId& aCall) const override
  {
    return "/sassafrasquay/cancel/" + ToString(aCall);
  }
};

} // namespace

std::optional<std::string_view>
FindHeader(const std::vector<HeaderField>& aFields, std::string_view aName)
{
  for (const HeaderField& field : aFields) {
    if (iequals(field.m_name, aName)) {
      return field.m_value;
    }
  }
  return std::nullopt;
}

void
RemoveHeader(std::vector<HeaderField>& aFields, std::string_view aName)
{
  std::erase_if(aFields, [aName](const HeaderField& aField) {
    return iequals(aField.m_name, aName);
  });
}

std::shared_ptr<CallerDialect>
MakeCallerDialect()
{
  return std::make_shared<DefaultCallerDialect>();
}

std::shared_ptr<TargetDialect>
MakeTargetDialect()
{
  return std::make_shared<DefaultTargetDialect>();
}

} // namespace sassafrasquay
