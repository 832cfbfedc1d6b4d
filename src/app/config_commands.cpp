// Commands for the declaration file.
#include "app/config_commands.h"

#include <fstream>
#include <ostream>
#include <sstream>

namespace sassafrasquay {

namespace {

// Loads and validates a file. On errors, prints all of them and returns
// nullopt.
std::optional<FleetConfig>
LoadFleetConfig(const std::string& aPath, std::ostream& aErr)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    aErr << "cannot read " << aPath << '\n';
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  ConfigParseResult parsed = ParseFleetConfig(text.str());
  if (parsed.Ok()) {
    return std::move(parsed.m_fleetConfig);
  }
  const ResultRow& row = ResultRowFor(parsed.Code());
  aErr << row.m_name << " (" << static_cast<int>(row.m_code) << "): " << aPath
       << " has " << parsed.m_errors.size() << " fault(s)\n";
  for (const ConfigError& configError : parsed.m_errors) {
    aErr << "  " << ToString(configError) << '\n';
  }
  return std::nullopt;
}

} // namespace

int
RunConfigCheck(const std::string& aFile, std::ostream& aOut, std::ostream& aErr)
{
  if (!LoadFleetConfig(aFile, aErr)) {
    return kExitInvalid;
  }
  aOut << aFile << " has no faults\n";
  return kExitOk;
}

int
RunConfigShow(const ShowSettings& aSettings,
              std::ostream& aOut,
              std::ostream& aErr)
{
  const auto fleetConfig = LoadFleetConfig(aSettings.m_file, aErr);
  if (!fleetConfig) {
    return kExitInvalid;
  }
  for (const ExplainedSetting& setting : ExplainSettings(*fleetConfig,
                                                         aSettings.m_service,
                                                         aSettings.m_zone,
                                                         aSettings.m_target)) {
    aOut << setting.m_name << " = " << setting.m_value;
    if (setting.m_override != nullptr) {
      aOut << "  (exception: " << setting.m_override->m_reason << ")";
    }
    aOut << '\n';
  }
  return kExitOk;
}

} // namespace sassafrasquay
