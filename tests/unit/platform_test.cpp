// Guards the formats of the platform: documents, header fields and records.
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

// The text with one part replaced.
std::string
With(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const size_t at = aText.find(aOld);
  BOOST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

bool
IsReport(const std::string& aText)
{
  std::string fault;
  return DecodeStatusReport("i-1", aText, fault).has_value();
}

bool
IsConfiguration(const std::string& aText)
{
  std::string fault;
  return DecodeRouteTable(aText, fault).has_value();
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
  ResponseHead answer;
  answer.m_status = aStatus;
  answer.m_headers = std::move(aFields);
  return MakePlatformTargetDialect()->ParseResponse(MakeHead(), answer).m_kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform)

BOOST_AUTO_TEST_SUITE(the_operators_configuration)

// Guards against a field that is read under the wrong name or unit.
BOOST_AUTO_TEST_CASE(is_decoded_into_a_route_table)
{
  std::string fault;
  const auto table = DecodeRouteTable(kConfiguration, fault);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->m_version == 7U);
  const ServiceConfig& traits = table->m_services.at("lessons");
  BOOST_TEST(traits.m_healthPath == "/healthz");
  BOOST_TEST(traits.m_maxConnections == 240U);
  BOOST_TEST((traits.m_coldStartDuration == 3500ms));
  BOOST_TEST(traits.m_coldRequestsPerSecond == 28.0);
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

// Guards against bytes of another writer that are taken for a configuration.
BOOST_AUTO_TEST_CASE(is_refused_when_it_is_not_whole)
{
  BOOST_TEST(!IsConfiguration(""));
  BOOST_TEST(!IsConfiguration("[]"));
  BOOST_TEST(!IsConfiguration(kConfiguration.substr(0, 200)));
  BOOST_TEST(!IsConfiguration(With(kConfiguration, "\"r7\"", "7")));
  BOOST_TEST(!IsConfiguration(With(kConfiguration, "\"r7\"", "\"7r\"")));
  BOOST_TEST(!IsConfiguration(With(kConfiguration, "1200", "-1")));
  BOOST_TEST(!IsConfiguration(With(kConfiguration, "\"host\"", "\"hots\"")));
  BOOST_TEST(
    !IsConfiguration(With(kConfiguration, "\"service\": \"lessons\",", "")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_status_report)

BOOST_AUTO_TEST_CASE(is_decoded_with_every_field)
{
  std::string fault;
  const auto report = DecodeStatusReport("i-1", kReport, fault);
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

// Guards against a report of another writer that names an instance to use.
BOOST_AUTO_TEST_CASE(is_refused_when_a_field_is_missing_or_of_another_type)
{
  BOOST_TEST(!IsReport("\xff\xfe"));
  BOOST_TEST(!IsReport("null"));
  BOOST_TEST(!IsReport(With(kReport, "\"draining\"", "\"resting\"")));
  BOOST_TEST(!IsReport(With(kReport, "\"state\"", "\"stat\"")));
  BOOST_TEST(!IsReport(With(kReport, "\"slots\": 12", "\"slots\": \"12\"")));
  BOOST_TEST(!IsReport(With(kReport, "\"slots\": 12", "\"slots\": 0")));
  BOOST_TEST(!IsReport(With(kReport, "\"sequence\": 4", "\"sequence\": -4")));
  BOOST_TEST(!IsReport(With(kReport, "1700000000123", "1.5")));
  BOOST_TEST(!IsReport(With(kReport, "10.0.0.9:8080", "nowhere")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_of_a_target)

// Guards against bytes that reach a caller though its target did not answer
// them, and against "not run" without the target's word.
BOOST_AUTO_TEST_CASE(is_told_from_what_is_not_its_own)
{
  const HeaderField own{ std::string(kAttemptIdHeader), "attempt-1" };
  const HeaderField other{ std::string(kAttemptIdHeader), "attempt-0" };
  const HeaderField stamp{ std::string(kServerStampHeader), "s" };
  const HeaderField notRun{ std::string(kNotExecutedHeader), "1" };
  BOOST_CHECK(KindOf(200, { own, stamp }) == ResponseKind::Matching);
  BOOST_CHECK(KindOf(200, { own }) == ResponseKind::Invalid);
  BOOST_CHECK(KindOf(200, { other, stamp }) == ResponseKind::Stale);
  BOOST_CHECK(KindOf(503, { own, notRun }) == ResponseKind::NotExecuted);
  BOOST_CHECK(KindOf(503, { own, stamp }) == ResponseKind::Matching);
  BOOST_CHECK(KindOf(421, {}) == ResponseKind::WrongTarget);
  const HeaderField encoded{ "Content-Encoding", "gzip" };
  BOOST_CHECK(KindOf(200, { own, stamp, encoded }) == ResponseKind::Invalid);
}

// Guards against a load that is read from malformed figures.
BOOST_AUTO_TEST_CASE(carries_the_load_in_three_or_four_figures)
{
  const auto load = [](const std::string& aText) {
    ResponseHead answer;
    answer.m_status = 200;
    answer.m_headers = { { std::string(kServerLoadHeader), aText } };
    return MakePlatformTargetDialect()->ParseHealth(answer).m_load;
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

BOOST_AUTO_TEST_SUITE(an_answer_of_the_node)

// Guards against a status that promises "not run" without proof.
BOOST_AUTO_TEST_CASE(promises_that_a_request_has_not_run_only_with_proof)
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

// Guards against what a client says under names that only the system sets.
BOOST_AUTO_TEST_CASE(and_the_callers_own_system_fields_do_not_count)
{
  RequestHead head;
  head.m_headers = { { std::string(kCallerServiceHeader), "forged" },
                     { std::string(kExpectInstanceHeader), "forged" },
                     { std::string(kDeadlineMsHeader), "1200" },
                     { std::string(kAttemptIdHeader), "attempt-1" } };
  std::optional<Duration> asked;
  const auto dialect = MakePlatformCallerDialect("lessons");
  BOOST_TEST(!dialect->ParseRequest(head, asked).has_value());
  BOOST_TEST((asked == 1200ms));
  BOOST_TEST(head.m_requestId == "attempt-1");
  BOOST_TEST(*FindHeader(head.m_headers, kCallerServiceHeader) == "lessons");
  BOOST_TEST(!FindHeader(head.m_headers, kExpectInstanceHeader).has_value());
  head.m_headers = { { std::string(kDeadlineMsHeader), "soon" } };
  BOOST_TEST(dialect->ParseRequest(head, asked).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(records_of_the_store)

// Guards against a record without a value, which drops its key, being read as
// one with an empty value, and against bytes of another writer.
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
