// Parses and checks a configuration file, and edits its text.
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

// Reads a configuration from a JSON document. Adds an error with its path for
// each invalid value.
class ConfigReader
{
public:
  explicit ConfigReader(ConfigParseResult& aResult)
    : m_result(aResult)
  {
  }

  void AddError(const std::string& aPath,
                std::string aMessage,
                ResultCode aCode = ResultCode::ConfigInvalid)
  {
    m_result.m_errors.push_back({ aPath, 0, std::move(aMessage), aCode });
  }

  const json::object* ReadObject(const json::value& aValue,
                                 const std::string& aPath)
  {
    if (!aValue.is_object()) {
      AddError(aPath, "must be an object");
      return nullptr;
    }
    return &aValue.get_object();
  }

  // Reads a string that is not blank.
  bool ReadText(const json::value* aValue,
                const std::string& aPath,
                size_t aMaxBytes,
                std::string& aText)
  {
    if (aValue == nullptr || !aValue->is_string() ||
        aValue->get_string().size() > aMaxBytes) {
      AddError(aPath,
               "must be a string of at most " + std::to_string(aMaxBytes) +
                 " bytes");
      return false;
    }
    aText = json::value_to<std::string>(*aValue);
    if (aText.find_first_not_of(" \t\r\n") == std::string::npos) {
      AddError(aPath, "must not be empty");
      return false;
    }
    return true;
  }

  void ReadDocument(const json::value& aValue);

private:
  void ReadFleet(const json::value& aValue);
  void ReadZonesOut(const json::value& aValue, const std::string& aPath);
  void ReadSettings(const json::value& aValue,
                    const std::string& aPath,
                    ServiceSettings& aSettings,
                    std::array<bool, kSettingCount>& aSet);
  void ReadOverrides(const json::value& aValue);
  void ReadOverride(const json::object& aObject, const std::string& aPath);
  void CheckTimeouts(const ServiceSettings& aSettings,
                     const std::string& aPath);

  ConfigParseResult& m_result;
};

void
ConfigReader::ReadDocument(const json::value& aValue)
{
  const json::object* root = ReadObject(aValue, "(document)");
  if (root == nullptr) {
    return;
  }
  FleetConfig& config = m_result.m_fleetConfig;
  const json::value* schema = root->if_contains("schema");
  uint64_t number = 0;
  if (schema == nullptr) {
    AddError("schema", "is missing");
  } else if (auto problem = ReadInteger(*schema, 1, UINT32_MAX, number);
             !problem.empty()) {
    AddError("schema", problem);
  } else if (number > kNewestSchema) {
    // Fields of newer schemas would be reported as unknown, which misleads.
    AddError("schema",
             "is " + std::to_string(number) +
               "; the newest supported schema is " +
               std::to_string(kNewestSchema),
             ResultCode::SchemaTooNew);
    return;
  }
  config.m_schema = static_cast<uint32_t>(number);
  for (const auto& [key, value] : *root) {
    if (key == "fleet") {
      ReadFleet(value);
    } else if (key == "defaults") {
      std::array<bool, kSettingCount> set{};
      ReadSettings(value, "defaults", config.m_defaults, set);
      CheckTimeouts(config.m_defaults, "defaults");
    } else if (key != "schema" && key != "exceptions") {
      AddError(std::string(key), "is not a known field");
    }
  }
  if (const json::value* exceptions = root->if_contains("exceptions")) {
    ReadOverrides(*exceptions);
  }
}

void
ConfigReader::ReadFleet(const json::value& aValue)
{
  const json::object* object = ReadObject(aValue, "fleet");
  if (object == nullptr) {
    return;
  }
  FleetSettings& fleet = m_result.m_fleetConfig.m_fleet;
  for (const auto& [key, value] : *object) {
    const std::string path = "fleet." + std::string(key);
    std::string problem;
    if (key == "zones_out") {
      ReadZonesOut(value, path);
    } else if (key == "quarantine_ms") {
      problem = ReadMilliseconds(value, 1s, 24h, fleet.m_maxQuarantine);
    } else {
      problem = "is not a known field";
    }
    if (!problem.empty()) {
      AddError(path, problem);
    }
  }
}

void
ConfigReader::ReadZonesOut(const json::value& aValue, const std::string& aPath)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() > kMaxZonesOut) {
    AddError(aPath, "must be an array of at most 64 zones");
    return;
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < array->size(); ++i) {
    const std::string path = aPath + "[" + std::to_string(i) + "]";
    const json::object* object = ReadObject((*array)[i], path);
    if (object == nullptr) {
      continue;
    }
    ZoneOutOfService out;
    ReadText(
      object->if_contains("zone"), path + ".zone", kMaxNameBytes, out.m_zone);
    ReadText(object->if_contains("reason"),
             path + ".reason",
             kMaxReasonBytes,
             out.m_reason);
    for (const auto& [key, value] : *object) {
      if (key != "zone" && key != "reason") {
        AddError(path + "." + std::string(key), "is not a known field");
      }
    }
    if (!out.m_zone.empty() && !seen.insert(out.m_zone).second) {
      AddError(path + ".zone", "is listed twice");
    }
    m_result.m_fleetConfig.m_fleet.m_zonesOut.push_back(std::move(out));
  }
}

void
ConfigReader::ReadSettings(const json::value& aValue,
                           const std::string& aPath,
                           ServiceSettings& aSettings,
                           std::array<bool, kSettingCount>& aSet)
{
  const json::object* object = ReadObject(aValue, aPath);
  if (object == nullptr) {
    return;
  }
  for (const auto& [key, value] : *object) {
    const std::string path = aPath + "." + std::string(key);
    const auto name = std::find(kSettingNames.begin(),
                                kSettingNames.end(),
                                std::string_view(key.data(), key.size()));
    if (name == kSettingNames.end()) {
      AddError(path, "is not a known field");
      continue;
    }
    const size_t field = name - kSettingNames.begin();
    const std::string problem = SettingFields()[field].m_read(value, aSettings);
    if (!problem.empty()) {
      AddError(path, problem);
      continue;
    }
    aSet[field] = true;
  }
}

void
ConfigReader::ReadOverrides(const json::value& aValue)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() > kMaxOverrides) {
    AddError("exceptions",
             "must be an array of at most " + std::to_string(kMaxOverrides) +
               " exceptions");
    return;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    const std::string path = "exceptions[" + std::to_string(i) + "]";
    if (const json::object* object = ReadObject((*array)[i], path)) {
      ReadOverride(*object, path);
    }
  }
  const FleetConfig& config = m_result.m_fleetConfig;
  if (!m_result.Ok()) {
    return; // the checks below would repeat these errors
  }
  std::set<std::array<std::string, 3>> seen;
  for (size_t i = 0; i < config.m_overrides.size(); ++i) {
    const SettingsOverride& entry = config.m_overrides[i];
    const std::string path = "exceptions[" + std::to_string(i) + "]";
    if (!seen.insert({ entry.m_service, entry.m_zone, entry.m_target })
           .second) {
      AddError(path, "has the same service, zone and target as an earlier one");
    }
    // EffectiveSettings would hide the error, because it limits the default
    // timeout to the maximum.
    ServiceSettings settings = config.m_defaults;
    for (size_t field = 0; field < kSettingCount; ++field) {
      if (entry.m_isSet[field]) {
        SettingFields()[field].m_copy(entry.m_values, settings);
      }
    }
    CheckTimeouts(settings, path + ".set");
  }
}

void
ConfigReader::ReadOverride(const json::object& aObject,
                           const std::string& aPath)
{
  SettingsOverride entry;
  bool hasSet = false;
  for (const auto& [key, value] : aObject) {
    const std::string path = aPath + "." + std::string(key);
    if (key == "service") {
      ReadText(&value, path, kMaxNameBytes, entry.m_service);
    } else if (key == "zone") {
      ReadText(&value, path, kMaxNameBytes, entry.m_zone);
    } else if (key == "target") {
      ReadText(&value, path, kMaxNameBytes, entry.m_target);
    } else if (key == "set") {
      hasSet = true;
      ReadSettings(value, path, entry.m_values, entry.m_isSet);
    } else if (key != "reason") {
      AddError(path, "is not a known field");
    }
  }
  if (!aObject.contains("reason")) {
    AddError(aPath + ".reason", "is missing; every exception needs a reason");
  } else {
    ReadText(aObject.if_contains("reason"),
             aPath + ".reason",
             kMaxReasonBytes,
             entry.m_reason);
  }
  if (!aObject.contains("service") && !aObject.contains("zone") &&
      !aObject.contains("target")) {
    AddError(aPath, "needs a service, a zone or a target");
  }
  if (!hasSet) {
    AddError(aPath + ".set", "is missing");
  }
  m_result.m_fleetConfig.m_overrides.push_back(std::move(entry));
}

void
ConfigReader::CheckTimeouts(const ServiceSettings& aSettings,
                            const std::string& aPath)
{
  if (aSettings.m_defaultTimeout > aSettings.m_maxTimeout) {
    AddError(aPath + ".default_timeout_ms", "exceeds max_timeout_ms");
  }
}

// Returns nullopt and adds an error when the text is not JSON.
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

// Returns "zones_out" of the document, which is added when missing.
json::array&
GetOrCreateZonesOut(json::value& aDocument)
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
    aZones.begin(), aZones.end(), [&](const json::value& aEntry) {
      return aEntry.at("zone").as_string() == aZone;
    });
}

ConfigEdit
MakeEdit(const json::value& aDocument)
{
  ConfigEdit edit;
  PrettyPrint(aDocument, 0, edit.m_text);
  edit.m_text += '\n';
  edit.m_changed = true;
  return edit;
}

} // namespace

std::string
ToString(const ConfigError& aError)
{
  const std::string location = aError.m_line != 0
                                 ? "line " + std::to_string(aError.m_line)
                                 : aError.m_path;
  return location + ": " + aError.m_message;
}

ResultCode
ConfigParseResult::Code() const
{
  if (Ok()) {
    return ResultCode::Ok;
  }
  const bool isTooNew = std::any_of(
    m_errors.begin(), m_errors.end(), [](const ConfigError& aError) {
      return aError.m_code == ResultCode::SchemaTooNew;
    });
  return isTooNew ? ResultCode::SchemaTooNew : ResultCode::ConfigInvalid;
}

ConfigParseResult
ParseFleetConfig(std::string_view aText)
{
  ConfigParseResult result;
  if (aText.size() > kMaxConfigBytes) {
    result.m_errors.push_back(
      { "(document)",
        0,
        "exceeds " + std::to_string(kMaxConfigBytes) + " bytes" });
    return result;
  }
  if (const std::optional<json::value> document = Parse(aText, result)) {
    result.m_errors = FindDuplicateKeys(aText, ParseOptions());
    ConfigReader(result).ReadDocument(*document);
  }
  return result;
}

ConfigEdit
TakeZoneOutOfService(std::string_view aText,
                     std::string_view aZone,
                     std::string_view aReason)
{
  json::value document = json::parse(aText, {}, ParseOptions());
  json::array& zones = GetOrCreateZonesOut(document);
  if (FindZone(zones, aZone) != zones.end()) {
    return { std::string(aText), false };
  }
  zones.push_back(json::object{ { "zone", aZone }, { "reason", aReason } });
  return MakeEdit(document);
}

ConfigEdit
ReturnZoneToService(std::string_view aText, std::string_view aZone)
{
  json::value document = json::parse(aText, {}, ParseOptions());
  json::array& zones = GetOrCreateZonesOut(document);
  const auto found = FindZone(zones, aZone);
  if (found == zones.end()) {
    return { std::string(aText), false };
  }
  zones.erase(found);
  return MakeEdit(document);
}

} // namespace sassafrasquay
