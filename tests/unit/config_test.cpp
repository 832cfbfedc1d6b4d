// Tests of parsing a configuration and of effective settings.
#include "config/config.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

bool
HasError(const ConfigParseResult& aResult, std::string_view aText)
{
  for (const ConfigError& configError : aResult.m_errors) {
    if (ToString(configError).starts_with(aText)) {
      return true;
    }
  }
  BOOST_TEST_MESSAGE("missing error: " << aText);
  return false;
}

std::string
ReadExample(const std::string& aName)
{
  std::ifstream file(SQ_SOURCE_DIR "/examples/" + aName);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(config)

BOOST_AUTO_TEST_SUITE(a_configuration_is_parsed)

// Guards against examples that operators copy and then cannot use.
BOOST_AUTO_TEST_CASE(the_examples_have_no_errors)
{
  for (const char* name : { "hattula.json", "ljubljana.json" }) {
    const ConfigParseResult result = ParseFleetConfig(ReadExample(name));
    for (const ConfigError& configError : result.m_errors) {
      BOOST_ERROR(name << ": " << ToString(configError));
    }
  }
}

// Guards against a parser that stops at the first error or reports a wrong
// path.
BOOST_AUTO_TEST_CASE(every_error_is_reported_with_its_path)
{
  const ConfigParseResult result = ParseFleetConfig(R"({
    "schema": 1, "colour": 3,
    "fleet": { "zones_out": [ { "zone": "z1", "reason": " " } ] },
    "defaults": { "priority": 256, "max_timeout_ms": 5000, "speed": 1 },
    "exceptions": [
      { "service": "a", "set": { "cold_limit": 0 } },
      { "reason": "why", "set": {} } ] })");
  BOOST_TEST(HasError(result, "colour: is not a known field"));
  BOOST_TEST(HasError(result, "fleet.zones_out[0].reason: must not be empty"));
  BOOST_TEST(HasError(result, "defaults.priority: must be an integer"));
  BOOST_TEST(HasError(result, "defaults.speed: is not a known field"));
  BOOST_TEST(HasError(result, "defaults.default_timeout_ms: exceeds"));
  BOOST_TEST(HasError(result, "exceptions[0].reason: is missing"));
  BOOST_TEST(
    HasError(result, "exceptions[0].set.cold_limit: must be an integer"));
  BOOST_TEST(HasError(result, "exceptions[1]: needs a service"));
  BOOST_TEST(result.m_errors.size() == 8U);
}

// Guards against a second key that replaces the first without an error.
BOOST_AUTO_TEST_CASE(a_key_that_occurs_twice_is_an_error)
{
  const ConfigParseResult result = ParseFleetConfig(R"({ "schema": 1,
    "exceptions": [
      { "service": "a", "reason": "r", "set": { "priority": 1 } },
      { "zone": "z", "reason": "r", "set": { "priority": 1, "priority": 2 } } ],
    "fleet": {}, "fleet": { "zones_out": [] } })");
  BOOST_TEST(HasError(result, "exceptions[1].set.priority: occurs twice"));
  BOOST_TEST(HasError(result, "fleet: occurs twice"));
  BOOST_TEST(result.m_errors.size() == 2U);
}

// Guards against syntax errors without a line number, and against a newer
// schema that is reported as a list of unknown fields.
BOOST_AUTO_TEST_CASE(syntax_errors_have_a_line_and_newer_schemas_a_result_code)
{
  BOOST_TEST(HasError(ParseFleetConfig("{\n\"schema\": 1,\n}"), "line 3: "));
  BOOST_TEST(HasError(ParseFleetConfig("{}\n{}"), "line 2: "));
  BOOST_TEST(HasError(ParseFleetConfig(""), "line 1: "));
  const ConfigParseResult newer = ParseFleetConfig("{\"schema\":2,\"new\":1}");
  BOOST_CHECK(newer.Code() == ResultCode::SchemaTooNew);
  BOOST_TEST(newer.m_errors.size() == 1U);
}

BOOST_AUTO_TEST_SUITE(and_overrides_are_combined)

// Guards against overrides that apply in the order of the file.
BOOST_AUTO_TEST_CASE(the_most_specific_override_sets_each_value)
{
  const FleetConfig config = ParseFleetConfig(R"({ "schema": 1,
    "exceptions": [
      { "target": "t9", "reason": "r", "set": { "priority": 4 } },
      { "service": "s", "zone": "z", "reason": "r", "set": { "priority": 3 } },
      { "service": "s", "reason": "r",
        "set": { "priority": 2, "cold_limit": 7 } },
      { "zone": "z", "reason": "r",
        "set": { "priority": 1, "crash_limit": 9 } } ] })")
                               .m_fleetConfig;
  const auto effective = [&](const char* aService, const char* aTarget) {
    return EffectiveSettings(config, aService, "z", aTarget);
  };
  BOOST_TEST(effective("s", "t9").m_priority == 4);
  BOOST_TEST(effective("s", "t1").m_priority == 3);
  BOOST_TEST(effective("s", "t9").m_coldLimit == 7U);
  BOOST_TEST(effective("s", "t9").m_crashLimit == 9U);
  BOOST_TEST(effective("other", "t1").m_priority == 1);
  const auto explained = ExplainSettings(config, "s", "z", "t9");
  BOOST_TEST(explained[0].m_override->m_target == "t9");
  BOOST_TEST(explained[1].m_override == nullptr);
}

// Guards against retries of a POST that must run once, and against no retries
// of a search.
BOOST_AUTO_TEST_CASE(the_longest_prefix_decides_whether_a_request_is_idempotent)
{
  ServiceSettings settings;
  settings.m_idempotencyRules = { { "*", "/a", true },
                                  { "POST", "/a/pay", false } };
  BOOST_TEST(!IsIdempotent(settings, "POST", "/b"));
  BOOST_TEST(IsIdempotent(settings, "POST", "/a/search"));
  BOOST_TEST(!IsIdempotent(settings, "POST", "/a/pay/1"));
  BOOST_TEST(IsIdempotent(settings, "PUT", "/b"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
