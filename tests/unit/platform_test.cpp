// Formats of the platform: documents, header fields and records.
#include "platform/dialects.h"
#include "platform/documents.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

const std::string kConfiguration = R"({
  "version": "r7",
  "services": [{ "name": "lessons", "healthPath": "/healthz",
                 "maxConnections": 240, "protocol": "h1", "tls": false,
                 "coldS": 3.5, "coldPerS": 28.0 }],
  "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
              "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
  "virtualHosts": [
    { "host": "a.example", "paths": [
      { "name": "r-1", "pathPrefix": "/x/", "routeType": "safe",
        "timeoutMs": 1200, "targetLatencyMs": 300, "priority": 2,
        "weightedSplit": [{ "service": "lessons", "weight": 90 },
                          { "service": "other", "weight": 10 }],
        "maxAttempts": 2 },
      { "name": "r-2", "pathPrefix": "/y/", "routeType": "upload",
        "service": "lessons" }] }] })";

const std::string kReport =
  R"({ "address": "10.0.0.9:8080", "born": 1700000000123,
       "info": { "service": "lessons", "version": "v1", "zone": "z",
                 "slots": 12 },
       "status": { "state": "draining", "sequence": 4,
                   "coldLeftMs": 1500 } })";

std::string
ReplaceText(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const size_t at = aText.find(aOld);
  BOOST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

bool
IsReport(const std::string& aText)
{
  std::string message;
  return DecodeStatusReport("i-1", aText, message).has_value();
}

bool
IsConfiguration(const std::string& aText)
{
  std::string message;
  return DecodeRouteTable(aText, message).has_value();
}

RequestHead
MakeHead()
{
  RequestHead head;
  head.m_requestId = "attempt-1";
  return head;
}

ResponseKind
KindOf(uint16_t aStatus, std::vector<HeaderField> aFields)
{
  ResponseHead response;
  response.m_status = aStatus;
  response.m_headers = std::move(aFields);
  return MakePlatformTargetDialect()
    ->ParseResponse(MakeHead(), response)
    .m_kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform)

BOOST_AUTO_TEST_SUITE(the_operators_configuration)

// Guards against a field that is decoded from the wrong name or with the wrong
// unit.
BOOST_AUTO_TEST_CASE(is_decoded_into_a_route_table)
{
  std::string message;
  const auto table = DecodeRouteTable(kConfiguration, message);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->m_version == 7U);
  const ServiceConfig& config = table->m_services.at("lessons");
  BOOST_TEST(config.m_healthPath == "/healthz");
  BOOST_TEST(config.m_maxConnections == 240U);
  BOOST_TEST((config.m_coldStartDuration == 3500ms));
  BOOST_TEST(config.m_coldRequestsPerSecond == 28.0);
  BOOST_TEST((table->m_limits.m_idleTimeout == 15s));
  const std::vector<Route>& routes = table->m_hosts.at("a.example");
  BOOST_REQUIRE_EQUAL(routes.size(), 2U);
  BOOST_TEST(routes[0].m_idempotent);
  BOOST_TEST((routes[0].m_timeout == 1200ms));
  BOOST_TEST((routes[0].m_latencyObjective == 300ms));
  BOOST_TEST(routes[0].m_priorityRank == 2U);
  BOOST_TEST(routes[0].m_maxAttempts == 2U);
  BOOST_TEST(routes[0].m_services.at(1).m_weight == 10.0);
  BOOST_TEST(!routes[1].m_idempotent); // uploads run at most once
  BOOST_TEST(routes[1].m_maxAttempts == 1U);
}

// Guards against unrelated or truncated data being accepted as a configuration.
BOOST_AUTO_TEST_CASE(is_rejected_when_it_is_incomplete_or_malformed)
{
  BOOST_TEST(!IsConfiguration(""));
  BOOST_TEST(!IsConfiguration("[]"));
  BOOST_TEST(!IsConfiguration(kConfiguration.substr(0, 200)));
  BOOST_TEST(!IsConfiguration(ReplaceText(kConfiguration, "\"r7\"", "7")));
  BOOST_TEST(!IsConfiguration(ReplaceText(kConfiguration, "\"r7\"", "\"7r\"")));
  BOOST_TEST(!IsConfiguration(ReplaceText(kConfiguration, "1200", "-1")));
  BOOST_TEST(
    !IsConfiguration(ReplaceText(kConfiguration, "\"host\"", "\"hots\"")));
  BOOST_TEST(!IsConfiguration(
    ReplaceText(kConfiguration, "\"service\": \"lessons\",", "")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_status_report)

BOOST_AUTO_TEST_CASE(is_decoded_with_every_field)
{
  std::string message;
  const auto report = DecodeStatusReport("i-1", kReport, message);
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->m_id == "i-1");
  BOOST_TEST((report->m_processStart == WallTime(1700000000123ms)));
  BOOST_TEST(report->m_sequence == 4U);
  BOOST_TEST(report->m_service == "lessons");
  BOOST_TEST((report->m_address == Endpoint{ "10.0.0.9", 8080 }));
  BOOST_TEST(report->m_slots == 12U);
  BOOST_TEST(report->m_draining);
  BOOST_TEST((report->m_coldStartRemaining == 1500ms));
}

// Guards against malformed data that would announce a target.
BOOST_AUTO_TEST_CASE(is_rejected_when_a_field_is_missing_or_of_another_type)
{
  BOOST_TEST(!IsReport("\xff\xfe"));
  BOOST_TEST(!IsReport("null"));
  BOOST_TEST(!IsReport(ReplaceText(kReport, "\"draining\"", "\"resting\"")));
  BOOST_TEST(!IsReport(ReplaceText(kReport, "\"state\"", "\"stat\"")));
  BOOST_TEST(
    !IsReport(ReplaceText(kReport, "\"slots\": 12", "\"slots\": \"12\"")));
  BOOST_TEST(!IsReport(ReplaceText(kReport, "\"slots\": 12", "\"slots\": 0")));
  BOOST_TEST(
    !IsReport(ReplaceText(kReport, "\"sequence\": 4", "\"sequence\": -4")));
  BOOST_TEST(!IsReport(ReplaceText(kReport, "1700000000123", "1.5")));
  BOOST_TEST(!IsReport(ReplaceText(kReport, "10.0.0.9:8080", "nowhere")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_response_of_a_target)

// Guards against a response that reaches a caller although it belongs to
// another request or target, and against "not executed" without the target's
// statement.
BOOST_AUTO_TEST_CASE(is_matched_to_its_request)
{
  const HeaderField ownId{ std::string(kAttemptIdHeader), "attempt-1" };
  const HeaderField otherId{ std::string(kAttemptIdHeader), "attempt-0" };
  const HeaderField stamp{ std::string(kServerStampHeader), "s" };
  const HeaderField notExecuted{ std::string(kNotExecutedHeader), "1" };
  BOOST_CHECK(KindOf(200, { ownId, stamp }) == ResponseKind::Matching);
  BOOST_CHECK(KindOf(200, { ownId }) == ResponseKind::Invalid);
  BOOST_CHECK(KindOf(200, { otherId, stamp }) == ResponseKind::Stale);
  BOOST_CHECK(KindOf(503, { ownId, notExecuted }) == ResponseKind::NotExecuted);
  BOOST_CHECK(KindOf(503, { ownId, stamp }) == ResponseKind::Matching);
  BOOST_CHECK(KindOf(421, {}) == ResponseKind::WrongTarget);
  const HeaderField encoded{ "Content-Encoding", "gzip" };
  BOOST_CHECK(KindOf(200, { ownId, stamp, encoded }) == ResponseKind::Invalid);
}

// Guards against a load that is decoded from malformed numbers.
BOOST_AUTO_TEST_CASE(carries_the_load_in_three_or_four_numbers)
{
  const auto load = [](const std::string& aText) {
    ResponseHead response;
    response.m_status = 200;
    response.m_headers = { { std::string(kServerLoadHeader), aText } };
    return MakePlatformTargetDialect()->ParseHealth(response).m_load;
  };
  BOOST_REQUIRE(load("3,1,8,500").has_value());
  BOOST_TEST(load("3,1,8,500")->m_slowness == 500U);
  BOOST_TEST(load("3,1,8")->m_slowness == 100U);
  BOOST_TEST(load("3,1,8")->m_slots == 8U);
  BOOST_TEST(!load("3,1").has_value());
  BOOST_TEST(!load("a,b,c").has_value());
  BOOST_TEST(!load("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_caller_dialect)

// Guards against a status that states "not executed" without proof.
BOOST_AUTO_TEST_CASE(reports_a_request_as_not_executed_only_with_proof)
{
  const auto dialect = MakePlatformCallerDialect("lessons");
  for (const ResultRow& row : ResultTable()) {
    for (const Executed run : { Executed::Maybe, Executed::Yes }) {
      CallResult result;
      result.m_code = row.m_code;
      result.m_executed = run;
      const uint16_t status =
        dialect->MakeLocalReply(MakeHead(), result).m_status;
      BOOST_TEST(status != 503);
      BOOST_TEST(status != 429);
      BOOST_TEST(status != 408);
    }
  }
}

// Guards against forged values of header fields that only the system sets.
BOOST_AUTO_TEST_CASE(ignores_system_fields_that_a_caller_sets)
{
  RequestHead head;
  head.m_headers = { { std::string(kCallerServiceHeader), "forged" },
                     { std::string(kExpectInstanceHeader), "forged" },
                     { std::string(kDeadlineMsHeader), "1200" },
                     { std::string(kAttemptIdHeader), "attempt-1" } };
  std::optional<Duration> timeout;
  const auto dialect = MakePlatformCallerDialect("lessons");
  BOOST_TEST(!dialect->ParseRequest(head, timeout).has_value());
  BOOST_TEST((timeout == 1200ms));
  BOOST_TEST(head.m_requestId == "attempt-1");
  BOOST_TEST(*FindHeader(head.m_headers, kCallerServiceHeader) == "lessons");
  BOOST_TEST(!FindHeader(head.m_headers, kExpectInstanceHeader).has_value());
  head.m_headers = { { std::string(kDeadlineMsHeader), "soon" } };
  BOOST_TEST(dialect->ParseRequest(head, timeout).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(records_of_the_store)

// Guards against decoding a record without a value, which deletes its key, as
// one with an empty value, and against malformed bytes.
BOOST_AUTO_TEST_CASE(keep_key_and_value)
{
  std::string bytes;
  EncodeKeyedRecord({ "config", "text" }, bytes);
  EncodeKeyedRecord({ "evacuate/z", std::nullopt }, bytes);
  std::vector<KeyedRecord> records;
  BOOST_TEST(DecodeKeyedRecords(bytes, records));
  BOOST_REQUIRE_EQUAL(records.size(), 2U);
  BOOST_TEST(records[0].m_key == "config");
  BOOST_TEST(records[0].m_value.value_or("") == "text");
  BOOST_TEST(!records[1].m_value.has_value());
  for (size_t size = 1; size < bytes.size(); ++size) {
    records.clear();
    const bool whole = DecodeKeyedRecords(bytes.substr(0, size), records);
    BOOST_TEST(whole == (size == 15)); // only after the first record
  }
  records.clear();
  BOOST_TEST(!DecodeKeyedRecords(std::string("\0\0\0\2\5a", 6), records));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
