// Settings that hold for one target, and where each value comes from.
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
Precedence(const SettingsException& aException)
{
  return (aException.m_target.empty() ? 0 : 4) +
         (aException.m_service.empty() ? 0 : 2) +
         (aException.m_zone.empty() ? 0 : 1);
}

// Matching exceptions, the one with the highest precedence last. Two of them
// never have the same precedence, because their selectors would be equal.
std::vector<const SettingsException*>
MatchingExceptions(const FleetConfig& aDeclaration,
                   std::string_view aService,
                   std::string_view aZone,
                   std::string_view aTarget)
{
  std::vector<const SettingsException*> matching;
  for (const SettingsException& one : aDeclaration.m_exceptions) {
    if (Matches(one.m_service, aService) && Matches(one.m_zone, aZone) &&
        Matches(one.m_target, aTarget)) {
      matching.push_back(&one);
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
  return std::any_of(m_zonesOut.begin(),
                     m_zonesOut.end(),
                     [&](const auto& aOut) { return aOut.m_zone == aZone; });
}

ServiceSettings
EffectiveSettings(const FleetConfig& aDeclaration,
                  std::string_view aService,
                  std::string_view aZone,
                  std::string_view aTarget)
{
  ServiceSettings settings = aDeclaration.m_defaults;
  for (const SettingsException* one :
       MatchingExceptions(aDeclaration, aService, aZone, aTarget)) {
    for (size_t field = 0; field < kSettingCount; ++field) {
      if (one->m_set[field]) {
        Fields()[field].m_copy(one->m_values, settings);
      }
    }
  }
  // Two exceptions that are valid alone may cross when they are combined.
  settings.m_defaultTimeout =
    std::min(settings.m_defaultTimeout, settings.m_maxTimeout);
  return settings;
}

std::vector<ExplainedSetting>
ExplainSettings(const FleetConfig& aDeclaration,
                std::string_view aService,
                std::string_view aZone,
                std::string_view aTarget)
{
  const ServiceSettings settings =
    EffectiveSettings(aDeclaration, aService, aZone, aTarget);
  const auto matching =
    MatchingExceptions(aDeclaration, aService, aZone, aTarget);
  std::vector<ExplainedSetting> explained;
  for (size_t field = 0; field < kSettingCount; ++field) {
    ExplainedSetting one;
    one.m_name = kSettingNames[field];
    one.m_value = Fields()[field].m_show(settings);
    for (const SettingsException* exception : matching) {
      one.m_override = exception->m_set[field] ? exception : one.m_override;
    }
    explained.push_back(std::move(one));
  }
  return explained;
}

bool
IsIdempotent(const ServiceSettings& aSettings,
             std::string_view aMethod,
             std::string_view aPath)
{
  const IdempotencyRule* best = nullptr;
  for (const IdempotencyRule& rule : aSettings.m_idempotencyRules) {
    const bool applies =
      (rule.m_method == "*" || rule.m_method == aMethod) &&
      aPath.substr(0, rule.m_pathPrefix.size()) == rule.m_pathPrefix;
    const bool better =
      best == nullptr || rule.m_pathPrefix.size() > best->m_pathPrefix.size() ||
      (rule.m_pathPrefix.size() == best->m_pathPrefix.size() &&
       best->m_method == "*");
    if (applies && better) {
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
