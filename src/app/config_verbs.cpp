// Verbs for the declaration.
#include "app/config_verbs.h"

#include <fstream>
#include <ostream>
#include <sstream>

namespace sassafrasquay {

namespace {

// Reads and checks a file; prints every fault. nullopt when it has any.
std::optional<FleetConfig>
LoadChecked(const std::string& aPath, std::ostream& aErr)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    aErr << "cannot read " << aPath << '\n';
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  ConfigParseResult checked = ParseFleetConfig(text.str());
  if (checked.Ok()) {
    return std::move(checked.m_fleetConfig);
  }
  const ResultRow& row = ResultRowFor(checked.Code());
  aErr << row.m_name << " (" << static_cast<int>(row.m_code) << "): " << aPath
       << " has " << checked.m_errors.size() << " fault(s)\n";
  for (const ConfigError& fault : checked.m_errors) {
    aErr << "  " << ToString(fault) << '\n';
  }
  return std::nullopt;
}

} // namespace

int
RunConfigCheck(const std::string& aFile, std::ostream& aOut, std::ostream& aErr)
{
  if (!LoadChecked(aFile, aErr)) {
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
  const auto declaration = LoadChecked(aSettings.m_file, aErr);
  if (!declaration) {
    return kExitInvalid;
  }
  for (const ExplainedSetting& one : ExplainSettings(*declaration,
                                                     aSettings.m_service,
                                                     aSettings.m_zone,
                                                     aSettings.m_target)) {
    aOut << one.m_name << " = " << one.m_value;
    if (one.m_override != nullptr) {
      aOut << "  (exception: " << one.m_override->m_reason << ")";
    }
    aOut << '\n';
  }
  return kExitOk;
}

} // namespace sassafrasquay
