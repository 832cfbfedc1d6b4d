// Reads and prints each setting of a service, and checks its range.
#include "config/fields.h"

#include <boost/json.hpp>
#include <cmath>

namespace sassafrasquay {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr size_t kMaxRules = 64; // each request is compared with all rules

int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

// A setting that is an integer in [Low, High].
template<auto Member, uint64_t Low, uint64_t High>
constexpr SettingField
IntegerField()
{
  return { [](const json::value& aValue, ServiceSettings& aSettings) {
            uint64_t result = 0;
            std::string problem = ReadInteger(aValue, Low, High, result);
            if (problem.empty()) {
              using Type = std::remove_reference_t<decltype(aSettings.*Member)>;
              aSettings.*Member = static_cast<Type>(result);
            }
            return problem;
          },
           [](const ServiceSettings& aFrom, ServiceSettings& aTo) {
             aTo.*Member = aFrom.*Member;
           },
           [](const ServiceSettings& aSettings) {
             return std::to_string(aSettings.*Member);
           } };
}

// A setting that is a number of milliseconds in [1 ms, 24 h].
template<auto Member>
constexpr SettingField
DurationField()
{
  return { [](const json::value& aValue, ServiceSettings& aSettings) {
            return ReadMilliseconds(aValue, 1ms, 24h, aSettings.*Member);
          },
           [](const ServiceSettings& aFrom, ServiceSettings& aTo) {
             aTo.*Member = aFrom.*Member;
           },
           [](const ServiceSettings& aSettings) {
             return std::to_string(Milliseconds(aSettings.*Member));
           } };
}

std::string
ReadQueuePerSlot(const json::value& aValue, ServiceSettings& aSettings)
{
  json::error_code error;
  const auto number = aValue.to_number<double>(error);
  if (error || !std::isfinite(number) || number < 0 || number > 100) {
    return "must be a number from 0 to 100";
  }
  aSettings.m_queuePerSlot = number;
  return {};
}

bool
IsMethod(std::string_view aText)
{
  return aText == "*" ||
         (!aText.empty() && aText.size() <= 32 &&
          aText.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") ==
            std::string_view::npos);
}

std::string
ReadRule(const json::object& aObject, IdempotencyRule& aRule)
{
  const json::value* method = aObject.if_contains("method");
  const json::value* prefix = aObject.if_contains("path_prefix");
  const json::value* idempotent = aObject.if_contains("idempotent");
  if (aObject.size() != 3 || !method || !prefix || !idempotent ||
      !method->is_string() || !prefix->is_string() || !idempotent->is_bool()) {
    return "each rule needs exactly the strings method and path_prefix and "
           "the boolean idempotent";
  }
  aRule.m_method = json::value_to<std::string>(*method);
  aRule.m_pathPrefix = json::value_to<std::string>(*prefix);
  aRule.m_idempotent = idempotent->as_bool();
  if (!IsMethod(aRule.m_method)) {
    return "method must be in upper case, or \"*\"";
  }
  if (aRule.m_pathPrefix.empty() || aRule.m_pathPrefix[0] != '/') {
    return "path_prefix must begin with /";
  }
  return {};
}

std::string
ReadRules(const json::value& aValue, ServiceSettings& aSettings)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() > kMaxRules) {
    return "must be an array of at most 64 rules";
  }
  std::vector<IdempotencyRule> rules;
  for (const json::value& value : *array) {
    if (!value.is_object()) {
      return "each rule must be an object";
    }
    IdempotencyRule rule;
    if (std::string problem = ReadRule(value.get_object(), rule);
        !problem.empty()) {
      return problem;
    }
    rules.push_back(std::move(rule));
  }
  aSettings.m_idempotencyRules = std::move(rules);
  return {};
}

std::string
FormatRules(const ServiceSettings& aSettings)
{
  json::array array;
  for (const IdempotencyRule& rule : aSettings.m_idempotencyRules) {
    array.push_back(json::object{ { "method", rule.m_method },
                                  { "path_prefix", rule.m_pathPrefix },
                                  { "idempotent", rule.m_idempotent } });
  }
  return json::serialize(array);
}

std::string
ReadHedgePaths(const json::value& aValue, ServiceSettings& aSettings)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() > kMaxRules) {
    return "must be an array of at most 64 path prefixes";
  }
  std::vector<std::string> paths;
  for (const json::value& value : *array) {
    if (!value.is_string() || !value.get_string().starts_with('/')) {
      return "each path prefix must be a string that begins with /";
    }
    paths.push_back(json::value_to<std::string>(value));
  }
  aSettings.m_hedgePaths = std::move(paths);
  return {};
}

std::string
FormatHedgePaths(const ServiceSettings& aSettings)
{
  return json::serialize(json::value_from(aSettings.m_hedgePaths));
}

std::string
FormatQueuePerSlot(const ServiceSettings& aSettings)
{
  std::string text = std::to_string(aSettings.m_queuePerSlot);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

} // namespace

std::string
ReadInteger(const json::value& aValue,
            uint64_t aLow,
            uint64_t aHigh,
            uint64_t& aResult)
{
  json::error_code error;
  const bool isInteger = aValue.is_int64() || aValue.is_uint64();
  const auto number = isInteger ? aValue.to_number<uint64_t>(error) : 0;
  if (!isInteger || error || number < aLow || number > aHigh) {
    return "must be an integer from " + std::to_string(aLow) + " to " +
           std::to_string(aHigh);
  }
  aResult = number;
  return {};
}

std::string
ReadMilliseconds(const json::value& aValue,
                 Duration aLow,
                 Duration aHigh,
                 Duration& aResult)
{
  uint64_t milliseconds = 0;
  std::string problem =
    ReadInteger(aValue, Milliseconds(aLow), Milliseconds(aHigh), milliseconds);
  if (problem.empty()) {
    aResult = std::chrono::milliseconds(milliseconds);
  }
  return problem;
}

const std::array<SettingField, kSettingCount>&
SettingFields()
{
  using S = ServiceSettings;
  static constexpr std::array<SettingField, kSettingCount> kFields = {
    IntegerField<&S::m_priority, 0, 255>(),
    DurationField<&S::m_defaultTimeout>(),
    DurationField<&S::m_maxTimeout>(),
    SettingField{
      ReadQueuePerSlot,
      [](const S& aFrom, S& aTo) { aTo.m_queuePerSlot = aFrom.m_queuePerSlot; },
      FormatQueuePerSlot },
    IntegerField<&S::m_coldLimit, 1, 1000>(),
    SettingField{ ReadRules,
                  [](const S& aFrom, S& aTo) {
                    aTo.m_idempotencyRules = aFrom.m_idempotencyRules;
                  },
                  FormatRules },
    IntegerField<&S::m_retryBudgetPercent, 0, 100>(),
    IntegerField<&S::m_crashLimit, 1, 100>(),
    IntegerField<&S::m_maxBodyBytes, 0, 1ULL << 40>(),
    IntegerField<&S::m_hedgePercent, 0, 20>(),
    SettingField{
      ReadHedgePaths,
      [](const S& aFrom, S& aTo) { aTo.m_hedgePaths = aFrom.m_hedgePaths; },
      FormatHedgePaths },
  };
  return kFields;
}

} // namespace sassafrasquay
