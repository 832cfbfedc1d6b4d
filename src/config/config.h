// Configuration of the fleet: the file of the flag --declaration. It is kept
// under version control and deployed with the program.
//
// Index of this file
//   [1] Service settings
//   [2] Fleet configuration: defaults, overrides, fleet-wide settings
//   [3] Parsing: from text to a configuration, with all errors
//   [4] Effective settings, and which override set each value
#pragma once

#include "core/core.h"

#include <memory>
#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Service settings
//-----------------------------------------------------------------------------

// States whether requests with this method and path prefix may run twice.
// Replaces the rule of RFC 9110 for the method.
struct IdempotencyRule
{
  std::string m_method; // "*" for any
  std::string m_pathPrefix;
  bool m_idempotent = false;

  bool operator==(const IdempotencyRule&) const = default;
};

// The default values apply without a file. docs/configuration.md lists the
// ranges.
struct ServiceSettings
{
  uint8_t m_priority = 100; // higher values are shed later
  Duration m_defaultTimeout = std::chrono::seconds(10);
  Duration m_maxTimeout = std::chrono::minutes(10);
  double m_queuePerSlot = 1.0; // maximum queue length, per slot
  uint32_t m_coldLimit = 1;    // concurrency limit at cold start
  std::vector<IdempotencyRule> m_idempotencyRules; // longest prefix wins
  uint32_t m_retryBudgetPercent = 10;              // of the service's requests
  uint32_t m_crashLimit = 2;            // crashes before a request is refused
  uint64_t m_maxBodyBytes = 2ULL << 30; // photo uploads take 1 GiB
  uint32_t m_hedgePercent = 0; // of the service's requests; 0: no hedging
  std::vector<std::string> m_hedgePaths; // path prefixes; empty: all paths

  bool operator==(const ServiceSettings&) const = default;
};

// Names of the fields in the file, in the order of ServiceSettings.
constexpr size_t kSettingCount = 11;
constexpr std::array<std::string_view, kSettingCount> kSettingNames = {
  "priority",
  "default_timeout_ms",
  "max_timeout_ms",
  "queue_per_slot",
  "cold_limit",
  "idempotency",
  "retry_budget_percent",
  "crash_limit",
  "max_body_bytes",
  "hedge_percent",
  "hedge_paths"
};

//-----------------------------------------------------------------------------
// [2] Fleet configuration
//-----------------------------------------------------------------------------

constexpr uint32_t kNewestSchema = 1; // newest supported schema
// A change every 10 s then takes at most half of the 14 KB/s allowed for a
// node's control traffic.
constexpr size_t kMaxConfigBytes = 64 << 10;
constexpr size_t kMaxOverrides = 256;

// Values that replace the defaults for every target that matches all non-empty
// selectors. An element of "exceptions" in the file.
struct SettingsOverride
{
  std::string m_service;
  std::string m_zone;
  std::string m_target;
  std::string m_reason;                      // never empty
  std::array<bool, kSettingCount> m_isSet{}; // which of m_values apply
  ServiceSettings m_values;
};

struct ZoneOutOfService
{
  std::string m_zone;
  std::string m_reason; // never empty
};

struct FleetSettings
{
  std::vector<ZoneOutOfService> m_zonesOut;
  Duration m_maxQuarantine = std::chrono::minutes(10); // longest refusal

  bool IsOutOfService(std::string_view aZone) const;
};

struct FleetConfig
{
  uint32_t m_schema = kNewestSchema;
  FleetSettings m_fleet;
  ServiceSettings m_defaults;
  std::vector<SettingsOverride> m_overrides;
};

//-----------------------------------------------------------------------------
// [3] Parsing
//-----------------------------------------------------------------------------

struct ConfigError
{
  std::string m_path; // for example "exceptions[2].set.priority"
  size_t m_line = 0;  // 1-based, only for syntax errors
  std::string m_message;
  ResultCode m_code = ResultCode::ConfigInvalid; // or SchemaTooNew
};

// "path: message" or "line 3: message".
std::string
ToString(const ConfigError& aError);

struct ConfigParseResult
{
  FleetConfig m_fleetConfig; // valid only without errors
  std::vector<ConfigError> m_errors;

  bool Ok() const { return m_errors.empty(); }
  // Ok, SchemaTooNew when it is among the errors, else ConfigInvalid.
  ResultCode Code() const;
};

// Parses JSON with comments. Reports all errors, not only the first.
ConfigParseResult
ParseFleetConfig(std::string_view aText);

// Edited text of a configuration. m_changed is false when the text already had
// the wanted content; m_text is then the original text.
struct ConfigEdit
{
  std::string m_text;
  bool m_changed = false;
};
// ParseFleetConfig must accept the text. A change removes comments from it.
ConfigEdit
TakeZoneOutOfService(std::string_view aText,
                     std::string_view aZone,
                     std::string_view aReason);
ConfigEdit
ReturnZoneToService(std::string_view aText, std::string_view aZone);

//-----------------------------------------------------------------------------
// [4] Effective settings
//-----------------------------------------------------------------------------

// An override that names the target takes precedence over one that does not.
// Among equal ones, the service counts next, then the zone.
ServiceSettings
EffectiveSettings(const FleetConfig& aConfig,
                  std::string_view aService,
                  std::string_view aZone,
                  std::string_view aTarget);

struct ExplainedSetting
{
  std::string_view m_name;
  std::string m_value;                          // as JSON
  const SettingsOverride* m_override = nullptr; // null: a default
};
std::vector<ExplainedSetting>
ExplainSettings(const FleetConfig& aConfig,
                std::string_view aService,
                std::string_view aZone,
                std::string_view aTarget);

// Share of requests with this path that may be hedged; 0: none.
double
HedgeShare(const ServiceSettings& aSettings, std::string_view aPath);

// True when a request may run twice by the rules of the service, or without a
// matching rule by its method (RFC 9110).
bool
IsIdempotent(const ServiceSettings& aSettings,
             std::string_view aMethod,
             std::string_view aPath);

} // namespace sassafrasquay
