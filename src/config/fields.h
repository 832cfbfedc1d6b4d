// Private to this library: one row for each setting of a service, and parts of
// the check.
#pragma once

#include "config/config.h"

#include <boost/json/fwd.hpp>
#include <boost/json/parse_options.hpp>

namespace sassafrasquay {

struct Field
{
  // Reads a JSON value; a non-empty result says what is wrong with it.
  std::string (*m_read)(const boost::json::value&, ServiceSettings&);
  void (*m_copy)(const ServiceSettings& aFrom, ServiceSettings& aTo);
  std::string (*m_show)(const ServiceSettings&); // as JSON
};

// In the order of kSettingNames.
const std::array<Field, kSettingCount>&
Fields();

// Reads an integer within limits; a non-empty result says what is wrong.
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

std::vector<ConfigError>
FindDuplicateKeys(std::string_view aText,
                  const boost::json::parse_options& aOptions);

} // namespace sassafrasquay
