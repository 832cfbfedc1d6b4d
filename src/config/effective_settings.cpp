// Combines defaults and overrides into the settings of one target.
#include "config/config.h"
#include "config/fields.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

bool
Matches(std::string_view aSelector, std::string_view aName)
{
  return aSelector.empty() || aSelector == aName;
}

int
Precedence(const SettingsOverride& aOverride)
{
  return (aOverride.m_target.empty() ? 0 : 4) +
         (aOverride.m_service.empty() ? 0 : 2) +
         (aOverride.m_zone.empty() ? 0 : 1);
}

// Returns the matching overrides in ascending precedence. No two have the same
// precedence, because their selectors would be equal.
std::vector<const SettingsOverride*>
MatchingOverrides(const FleetConfig& aConfig,
                  std::string_view aService,
                  std::string_view aZone,
                  std::string_view aTarget)
{
  std::vector<const SettingsOverride*> matching;
  for (const SettingsOverride& entry : aConfig.m_overrides) {
    if (Matches(entry.m_service, aService) && Matches(entry.m_zone, aZone) &&
        Matches(entry.m_target, aTarget)) {
      matching.push_back(&entry);
    }
  }
  std::sort(matching.begin(), matching.end(), [](auto* aLeft, auto* aRight) {
    return Precedence(*aLeft) < Precedence(*aRight);
  });
  return matching;
}

} // namespace

bool
FleetSettings::IsOutOfService(std::string_view aZone) const
{
  return std::any_of(
    m_zonesOut.begin(), m_zonesOut.end(), [&](const auto& aEntry) {
      return aEntry.m_zone == aZone;
    });
}

ServiceSettings
EffectiveSettings(const FleetConfig& aConfig,
                  std::string_view aService,
                  std::string_view aZone,
                  std::string_view aTarget)
{
  ServiceSettings settings = aConfig.m_defaults;
  for (const SettingsOverride* entry :
       MatchingOverrides(aConfig, aService, aZone, aTarget)) {
    for (size_t field = 0; field < kSettingCount; ++field) {
      if (entry->m_isSet[field]) {
        SettingFields()[field].m_copy(entry->m_values, settings);
      }
    }
  }
  // Two overrides that are valid alone may set a default timeout above the
  // maximum when they are combined.
  settings.m_defaultTimeout =
    std::min(settings.m_defaultTimeout, settings.m_maxTimeout);
  return settings;
}

std::vector<ExplainedSetting>
ExplainSettings(const FleetConfig& aConfig,
                std::string_view aService,
                std::string_view aZone,
                std::string_view aTarget)
{
  const ServiceSettings settings =
    EffectiveSettings(aConfig, aService, aZone, aTarget);
  const auto matching = MatchingOverrides(aConfig, aService, aZone, aTarget);
  std::vector<ExplainedSetting> explained;
  for (size_t field = 0; field < kSettingCount; ++field) {
    ExplainedSetting setting;
    setting.m_name = kSettingNames[field];
    setting.m_value = SettingFields()[field].m_format(settings);
    for (const SettingsOverride* entry : matching) {
      setting.m_override = entry->m_isSet[field] ? entry : setting.m_override;
    }
    explained.push_back(std::move(setting));
  }
  return explained;
}

double
HedgeShare(const ServiceSettings& aSettings, std::string_view aPath)
{
  const auto& paths = aSettings.m_hedgePaths;
  const bool applies =
    paths.empty() || std::any_of(paths.begin(),
                                 paths.end(),
                                 [aPath](const std::string& aPrefix) {
                                   return aPath.starts_with(aPrefix);
                                 });
  return applies ? aSettings.m_hedgePercent / 100.0 : 0;
}

bool
IsIdempotent(const ServiceSettings& aSettings,
             std::string_view aMethod,
             std::string_view aPath)
{
  const IdempotencyRule* best = nullptr;
  for (const IdempotencyRule& rule : aSettings.m_idempotencyRules) {
    const bool isMatch =
      (rule.m_method == "*" || rule.m_method == aMethod) &&
      aPath.substr(0, rule.m_pathPrefix.size()) == rule.m_pathPrefix;
    const bool isBetter =
      best == nullptr || rule.m_pathPrefix.size() > best->m_pathPrefix.size() ||
      (rule.m_pathPrefix.size() == best->m_pathPrefix.size() &&
       best->m_method == "*");
    if (isMatch && isBetter) {
      best = &rule;
    }
  }
  if (best != nullptr) {
    return best->m_idempotent;
  }
  constexpr std::array<std::string_view, 6> kIdempotent = {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"
  };
  return std::find(kIdempotent.begin(), kIdempotent.end(), aMethod) !=
         kIdempotent.end();
}

} // namespace sassafrasquay
