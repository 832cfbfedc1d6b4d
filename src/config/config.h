// Configuration: the fleet's declaration, a file under version control that is
// deployed with the program.
//
// Index of this file
//   [1] Settings: what can be set for a service
//   [2] Declaration: defaults, exceptions, fleet-wide values
//   [3] Checking: text to declaration, every fault named
//   [4] Effective settings: which exception set which value
#pragma once

#include "core/core.h"

#include <memory>
#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Settings
//-----------------------------------------------------------------------------

// States whether requests with this method and path prefix may run twice,
// against the rule of RFC 9110 for the method.
struct IdempotencyRule
{
  std::string m_method; // "*" for any
  std::string m_pathPrefix;
  bool m_idempotent = false;

  bool operator==(const IdempotencyRule&) const = default;
};

// Defaults work without any declaration; ranges are in docs/configuration.md.
struct ServiceSettings
{
  uint8_t m_priority = 100; // higher is shed later
  Duration m_defaultTimeout = std::chrono::seconds(10);
  Duration m_maxTimeout = std::chrono::minutes(10);
  double m_queuePerSlot = 1.0; // queue length = slots * this
  uint32_t m_coldLimit = 1;    // concurrency at cold start
  std::vector<IdempotencyRule> m_idempotencyRules; // the longest prefix wins
  uint32_t m_retryBudgetPercent = 10;              // of the service's requests
  uint32_t m_crashLimit = 2;                       // crashes before refusal
  uint64_t m_maxBodyBytes = 2ULL << 30; // photograph uploads are 1 GiB

  bool operator==(const ServiceSettings&) const = default;
};

// Names of the fields in the declaration, in the order of ServiceSettings.
constexpr size_t kSettingCount = 9;
constexpr std::array<std::string_view, kSettingCount> kSettingNames = {
  "priority",
  "default_timeout_ms",
  "max_timeout_ms",
  "queue_per_slot",
  "cold_limit",
  "idempotency",
  "retry_budget_percent",
  "crash_limit",
  "max_body_bytes"
};

//-----------------------------------------------------------------------------
// [2] Declaration
//-----------------------------------------------------------------------------

constexpr uint32_t kSchema = 1;                   // newest schema understood
constexpr size_t kMaxDeclarationBytes = 64 << 10; // keeps a change every 10 s
                                                  // at half of 14 KB/s
constexpr size_t kMaxExceptions = 256;

// Deviation from the defaults for whatever matches all non-empty selectors.
struct SettingsException
{
  std::string m_service;
  std::string m_zone;
  std::string m_target;
  std::string m_reason;                    // never empty
  std::array<bool, kSettingCount> m_set{}; // which of m_values count
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
  Duration m_maxQuarantine = std::chrono::minutes(10); // of a crashing request

  bool IsOutOfService(std::string_view aZone) const;
};

struct FleetConfig
{
  uint32_t m_schema = kSchema;
  FleetSettings m_fleet;
  ServiceSettings m_defaults;
  std::vector<SettingsException> m_exceptions;
};

//-----------------------------------------------------------------------------
// [3] Checking
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
ToString(const ConfigError& aFault);

struct ConfigParseResult
{
  FleetConfig m_fleetConfig; // meaningful only without faults
  std::vector<ConfigError> m_errors;

  bool Ok() const { return m_errors.empty(); }
  // SchemaTooNew when that is among the faults, ConfigInvalid for others.
  ResultCode Code() const;
};

// Parses JSON with comments and reports every fault, not only the first.
ConfigParseResult
ParseFleetConfig(std::string_view aText);

// Result of editing a declaration's text; m_changed is false when the text
// already says so, and the text is then returned unchanged.
struct ZoneEdit
{
  std::string m_text;
  bool m_changed = false;
};
// The text must pass ParseFleetConfig. Comments are lost when text changes.
ZoneEdit
TakeZoneOut(std::string_view aText,
            std::string_view aZone,
            std::string_view aReason);
ZoneEdit
BringZoneIn(std::string_view aText, std::string_view aZone);

//-----------------------------------------------------------------------------
// [4] Effective settings
//-----------------------------------------------------------------------------

// An exception that names the target precedes one that names the service,
// which precedes one that names the zone; more selectors precede fewer.
ServiceSettings
EffectiveSettings(const FleetConfig& aDeclaration,
                  std::string_view aService,
                  std::string_view aZone,
                  std::string_view aTarget);

struct ExplainedSetting
{
  std::string_view m_name;
  std::string m_value;                           // as written in a declaration
  const SettingsException* m_override = nullptr; // null: set by the defaults
};
std::vector<ExplainedSetting>
ExplainSettings(const FleetConfig& aDeclaration,
                std::string_view aService,
                std::string_view aZone,
                std::string_view aTarget);

// Whether a request may run twice: rules first, then RFC 9110 by method.
bool
IsIdempotent(const ServiceSettings& aSettings,
             std::string_view aMethod,
             std::string_view aPath);

} // namespace sassafrasquay
