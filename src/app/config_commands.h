// Commands for the declaration file: check it, show its effective settings.
#pragma once

#include "config/config.h"

#include <iosfwd>
#include <optional>

namespace sassafrasquay {

// Exit codes; the program uses 2 for invalid usage.
constexpr int kExitOk = 0;
constexpr int kExitInvalid = 1;

struct ShowSettings
{
  std::string m_file;
  std::string m_service;
  std::string m_zone;
  std::string m_target;
};

// Reports all errors of a declaration file.
int
RunConfigCheck(const std::string& aFile,
               std::ostream& aOut,
               std::ostream& aErr);
// Prints each setting of a service with the reason of the override that set it.
int
RunConfigShow(const ShowSettings& aSettings,
              std::ostream& aOut,
              std::ostream& aErr);

} // namespace sassafrasquay
