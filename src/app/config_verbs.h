// Verbs for the declaration: check a file, explain what it sets.
#pragma once

#include "config/config.h"

#include <iosfwd>
#include <optional>

namespace sassafrasquay {

// Exit codes; 2 is left to the program for wrong usage.
constexpr int kExitOk = 0;
constexpr int kExitInvalid = 1;

struct ShowSettings
{
  std::string m_file;
  std::string m_service;
  std::string m_zone;
  std::string m_target;
};

// Names every fault of a declaration.
int
RunConfigCheck(const std::string& aFile,
               std::ostream& aOut,
               std::ostream& aErr);
// Prints each setting of a service with the exception that set it.
int
RunConfigShow(const ShowSettings& aSettings,
              std::ostream& aOut,
              std::ostream& aErr);

} // namespace sassafrasquay
