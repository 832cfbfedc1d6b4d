// From text to a declaration: syntax, fields, ranges, reasons.
#include "config/config.h"
#include "config/fields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace sassafrasquay {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxReasonBytes = 1024;
constexpr size_t kMaxZonesOut = 64;

json::parse_options
ParseOptions()
{
  json::parse_options options;
  options.allow_comments = true;
  options.max_depth = 16;
  return options;
}

// Collects faults under a path that grows and shrinks with the position.
class Checker
{
public:
  explicit Checker(ConfigParseResult& aResult)
    : m_result(aResult)
  {
  }

  void Fail(const std::string& aPath,
            std::string aMessage,
            ResultCode aCode = ResultCode::ConfigInvalid)
  {
    m_result.m_errors.push_back({ aPath, 0, std::move(aMessage), aCode });
  }

  const json::object* Object(const json::value& aValue,
                             const std::string& aPath)
  {
    if (!aValue.is_object()) {
      Fail(aPath, "must be an object");
      return nullptr;
    }
    return &aValue.get_object();
  }

  // A string with something other than spaces in it.
  bool Text(const json::value* aValue,
            const std::string& aPath,
            size_t aMaxBytes,
            std::string& aText)
  {
    if (aValue == nullptr || !aValue->is_string() ||
        aValue->get_string().size() > aMaxBytes) {
      Fail(aPath,
           "must be a string of at most " + std::to_string(aMaxBytes) +
             " bytes");
      return false;
    }
    aText = json::value_to<std::string>(*aValue);
    if (aText.find_first_not_of(" \t\r\n") == std::string::npos) {
      Fail(aPath, "must not be empty");
      return false;
    }
    return true;
  }

  void Document(const json::value& aValue);

private:
  void Fleet(const json::value& aValue);
  void ZonesOut(const json::value& aValue, const std::string& aPath);
  void Settings(const json::value& aValue,
                const std::string& aPath,
                ServiceSettings& aSettings,
                std::array<bool, kSettingCount>& aSet);
  void Exceptions(const json::value& aValue);
  void OneException(const json::object& aObject, const std::string& aPath);
  void Timeouts(const ServiceSettings& aSettings, const std::string& aPath);

  ConfigParseResult& m_result;
};

void
Checker::Document(const json::value& aValue)
{
  const json::object* root = Object(aValue, "(document)");
  if (root == nullptr) {
    return;
  }
  FleetConfig& declaration = m_result.m_fleetConfig;
  const json::value* schema = root->if_contains("schema");
  uint64_t number = 0;
  if (schema == nullptr) {
    Fail("schema", "is missing");
  } else if (auto problem = ReadInteger(*schema, 1, UINT32_MAX, number);
             !problem.empty()) {
    Fail("schema", problem);
  } else if (number > kSchema) {
    // Later fields are unknown to this program; naming them would mislead.
    Fail("schema",
         "is " + std::to_string(number) + "; this program understands " +
           std::to_string(kSchema),
         ResultCode::SchemaTooNew);
    return;
  }
  declaration.m_schema = static_cast<uint32_t>(number);
  for (const auto& [key, value] : *root) {
    if (key == "fleet") {
      Fleet(value);
    } else if (key == "defaults") {
      std::array<bool, kSettingCount> set{};
      Settings(value, "defaults", declaration.m_defaults, set);
      Timeouts(declaration.m_defaults, "defaults");
    } else if (key != "schema" && key != "exceptions") {
      Fail(std::string(key), "is not a known field");
    }
  }
  if (const json::value* exceptions = root->if_contains("exceptions")) {
    Exceptions(*exceptions);
  }
}

void
Checker::Fleet(const json::value& aValue)
{
  const json::object* object = Object(aValue, "fleet");
  if (object == nullptr) {
    return;
  }
  FleetSettings& fleet = m_result.m_fleetConfig.m_fleet;
  for (const auto& [key, value] : *object) {
    const std::string path = "fleet." + std::string(key);
    std::string problem;
    if (key == "zones_out") {
      ZonesOut(value, path);
    } else if (key == "quarantine_ms") {
      problem = ReadMilliseconds(value, 1s, 24h, fleet.m_maxQuarantine);
    } else {
      problem = "is not a known field";
    }
    if (!problem.empty()) {
      Fail(path, problem);
    }
  }
}

void
Checker::ZonesOut(const json::value& aValue, const std::string& aPath)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() > kMaxZonesOut) {
    Fail(aPath, "must be an array of at most 64 zones");
    return;
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < array->size(); ++i) {
    const std::string path = aPath + "[" + std::to_string(i) + "]";
    const json::object* object = Object((*array)[i], path);
    if (object == nullptr) {
      continue;
    }
    ZoneOutOfService out;
    Text(
      object->if_contains("zone"), path + ".zone", kMaxNameBytes, out.m_zone);
    Text(object->if_contains("reason"),
         path + ".reason",
         kMaxReasonBytes,
         out.m_reason);
    for (const auto& [key, value] : *object) {
      if (key != "zone" && key != "reason") {
        Fail(path + "." + std::string(key), "is not a known field");
      }
    }
    if (!out.m_zone.empty() && !seen.insert(out.m_zone).second) {
      Fail(path + ".zone", "is listed twice");
    }
    m_result.m_fleetConfig.m_fleet.m_zonesOut.push_back(std::move(out));
  }
}

void
Checker::Settings(const json::value& aValue,
                  const std::string& aPath,
                  ServiceSettings& aSettings,
                  std::array<bool, kSettingCount>& aSet)
{
  const json::object* object = Object(aValue, aPath);
  if (object == nullptr) {
    return;
  }
  for (const auto& [key, value] : *object) {
    const std::string path = aPath + "." + std::string(key);
    const auto name = std::find(kSettingNames.begin(),
                                kSettingNames.end(),
                                std::string_view(key.data(), key.size()));
    if (name == kSettingNames.end()) {
      Fail(path, "is not a known field");
      continue;
    }
    const size_t field = name - kSettingNames.begin();
    const std::string problem = Fields()[field].m_read(value, aSettings);
    if (!problem.empty()) {
      Fail(path, problem);
      continue;
    }
    aSet[field] = true;
  }
}

void
Checker::Exceptions(const json::value& aValue)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() > kMaxExceptions) {
    Fail("exceptions",
         "must be an array of at most " + std::to_string(kMaxExceptions) +
           " exceptions");
    return;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    const std::string path = "exceptions[" + std::to_string(i) + "]";
    if (const json::object* object = Object((*array)[i], path)) {
      OneException(*object, path);
    }
  }
  const FleetConfig& declaration = m_result.m_fleetConfig;
  if (!m_result.Ok()) {
    return; // the checks below would repeat the same faults
  }
  std::set<std::array<std::string, 3>> seen;
  for (size_t i = 0; i < declaration.m_exceptions.size(); ++i) {
    const SettingsException& one = declaration.m_exceptions[i];
    const std::string path = "exceptions[" + std::to_string(i) + "]";
    if (!seen.insert({ one.m_service, one.m_zone, one.m_target }).second) {
      Fail(path, "has the same service, zone and target as an earlier one");
    }
    // Not EffectiveSettings, which limits the default timeout itself.
    ServiceSettings settings = declaration.m_defaults;
    for (size_t field = 0; field < kSettingCount; ++field) {
      if (one.m_set[field]) {
        Fields()[field].m_copy(one.m_values, settings);
      }
    }
    Timeouts(settings, path + ".set");
  }
}

void
Checker::OneException(const json::object& aObject, const std::string& aPath)
{
  SettingsException one;
  bool hasSet = false;
  for (const auto& [key, value] : aObject) {
    const std::string path = aPath + "." + std::string(key);
    if (key == "service") {
      Text(&value, path, kMaxNameBytes, one.m_service);
    } else if (key == "zone") {
      Text(&value, path, kMaxNameBytes, one.m_zone);
    } else if (key == "target") {
      Text(&value, path, kMaxNameBytes, one.m_target);
    } else if (key == "set") {
      hasSet = true;
      Settings(value, path, one.m_values, one.m_set);
    } else if (key != "reason") {
      Fail(path, "is not a known field");
    }
  }
  if (!aObject.contains("reason")) {
    Fail(aPath + ".reason", "is missing; every exception needs a reason");
  } else {
    Text(aObject.if_contains("reason"),
         aPath + ".reason",
         kMaxReasonBytes,
         one.m_reason);
  }
  if (!aObject.contains("service") && !aObject.contains("zone") &&
      !aObject.contains("target")) {
    Fail(aPath, "needs a service, a zone or a target");
  }
  if (!hasSet) {
    Fail(aPath + ".set", "is missing");
  }
  m_result.m_fleetConfig.m_exceptions.push_back(std::move(one));
}

void
Checker::Timeouts(const ServiceSettings& aSettings, const std::string& aPath)
{
  if (aSettings.m_defaultTimeout > aSettings.m_maxTimeout) {
    Fail(aPath + ".default_timeout_ms", "exceeds max_timeout_ms");
  }
}

// Parses the text; null with a fault when it is not JSON.
std::optional<json::value>
Parse(std::string_view aText, ConfigParseResult& aResult)
{
  json::parser parser({}, ParseOptions());
  json::error_code error;
  const size_t read = parser.write_some(aText, error);
  const std::string_view rest = aText.substr(std::min(read, aText.size()));
  if (!error && rest.find_first_not_of(" \t\r\n") != std::string_view::npos) {
    error = json::error::extra_data;
  }
  if (!error) {
    return parser.release();
  }
  const auto end =
    aText.begin() + static_cast<std::ptrdiff_t>(std::min(read, aText.size()));
  const size_t line = 1 + std::count(aText.begin(), end, '\n');
  aResult.m_errors.push_back(
    { "", line, "is not valid JSON: " + error.message() });
  return std::nullopt;
}

//-----------------------------------------------------------------------------
// Editing
//-----------------------------------------------------------------------------

void
PrettyPrint(const json::value& aValue, size_t aIndent, std::string& aText)
{
  const std::string inner(aIndent + 2, ' ');
  const char* separator = "\n";
  if (const json::object* object = aValue.if_object();
      object != nullptr && !object->empty()) {
    aText += '{';
    for (const auto& [key, value] : *object) {
      aText += separator + inner + json::serialize(json::string(key)) + ": ";
      PrettyPrint(value, aIndent + 2, aText);
      separator = ",\n";
    }
    aText += '\n' + std::string(aIndent, ' ') + '}';
  } else if (const json::array* array = aValue.if_array();
             array != nullptr && !array->empty()) {
    aText += '[';
    for (const json::value& value : *array) {
      aText += separator + inner;
      PrettyPrint(value, aIndent + 2, aText);
      separator = ",\n";
    }
    aText += '\n' + std::string(aIndent, ' ') + ']';
  } else {
    aText += json::serialize(aValue);
  }
}

// The document and, inside it, the list of zones, created when missing.
json::array&
ZoneList(json::value& aDocument)
{
  json::value& fleet = aDocument.as_object()["fleet"];
  if (fleet.is_null()) {
    fleet = json::object();
  }
  json::value& zones = fleet.as_object()["zones_out"];
  if (zones.is_null()) {
    zones = json::array();
  }
  return zones.as_array();
}

json::array::iterator
FindZone(json::array& aZones, std::string_view aZone)
{
  return std::find_if(
    aZones.begin(), aZones.end(), [&](const json::value& aOne) {
      return aOne.at("zone").as_string() == aZone;
    });
}

ZoneEdit
Print(const json::value& aDocument)
{
  ZoneEdit edit;
  PrettyPrint(aDocument, 0, edit.m_text);
  edit.m_text += '\n';
  edit.m_changed = true;
  return edit;
}

} // namespace

std::string
ToString(const ConfigError& aFault)
{
  const std::string place = aFault.m_line != 0
                              ? "line " + std::to_string(aFault.m_line)
                              : aFault.m_path;
  return place + ": " + aFault.m_message;
}

ResultCode
ConfigParseResult::Code() const
{
  if (Ok()) {
    return ResultCode::Ok;
  }
  const bool tooNew = std::any_of(
    m_errors.begin(), m_errors.end(), [](const ConfigError& aFault) {
      return aFault.m_code == ResultCode::SchemaTooNew;
    });
  return tooNew ? ResultCode::SchemaTooNew : ResultCode::ConfigInvalid;
}

ConfigParseResult
ParseFleetConfig(std::string_view aText)
{
  ConfigParseResult result;
  if (aText.size() > kMaxDeclarationBytes) {
    result.m_errors.push_back(
      { "(document)",
        0,
        "exceeds " + std::to_string(kMaxDeclarationBytes) + " bytes" });
    return result;
  }
  if (const std::optional<json::value> document = Parse(aText, result)) {
    result.m_errors = FindDuplicateKeys(aText, ParseOptions());
    Checker(result).Document(*document);
  }
  return result;
}

ZoneEdit
TakeZoneOut(std::string_view aText,
            std::string_view aZone,
            std::string_view aReason)
{
  json::value document = json::parse(aText, {}, ParseOptions());
  json::array& zones = ZoneList(document);
  if (FindZone(zones, aZone) != zones.end()) {
    return { std::string(aText), false };
  }
  zones.push_back(json::object{ { "zone", aZone }, { "reason", aReason } });
  return Print(document);
}

ZoneEdit
BringZoneIn(std::string_view aText, std::string_view aZone)
{
  json::value document = json::parse(aText, {}, ParseOptions());
  json::array& zones = ZoneList(document);
  const auto found = FindZone(zones, aZone);
  if (found == zones.end()) {
    return { std::string(aText), false };
  }
  zones.erase(found);
  return Print(document);
}

} // namespace sassafrasquay
