// Private to src/config: how each setting of a service is read and printed, and
// helper functions of the parser.
#pragma once

#include "config/config.h"

#include <boost/json/fwd.hpp>
#include <boost/json/parse_options.hpp>

namespace sassafrasquay {

struct SettingField
{
  // Returns an error message, or an empty string.
  std::string (*m_read)(const boost::json::value&, ServiceSettings&);
  void (*m_copy)(const ServiceSettings& aFrom, ServiceSettings& aTo);
  std::string (*m_format)(const ServiceSettings&); // as JSON
};

// In the order of kSettingNames.
const std::array<SettingField, kSettingCount>&
SettingFields();

// These read an integer from aLow to aHigh and return an error message, or an
// empty string.
std::string
ReadInteger(const boost::json::value& aValue,
            uint64_t aLow,
            uint64_t aHigh,
            uint64_t& aResult);
std::string
ReadMilliseconds(const boost::json::value& aValue,
                 Duration aLow,
                 Duration aHigh,
                 Duration& aResult);

// Returns an error for each key that occurs twice in one object.
std::vector<ConfigError>
FindDuplicateKeys(std::string_view aText,
                  const boost::json::parse_options& aOptions);

} // namespace sassafrasquay
