// What the HTTP front end and the target client share: header rules and names.
#pragma once

#include "call/call.h"

#include <boost/beast/http/fields.hpp>

namespace sassafrasquay {

inline constexpr std::string_view kResultHeader = "Sassafrasquay-Result";
inline constexpr std::string_view kRunHeader = "Sassafrasquay-Run";
inline constexpr std::string_view kTimeoutHeader = "Sassafrasquay-Timeout-Ms";
inline constexpr std::string_view kRetryHeader = "Sassafrasquay-Retry";
inline constexpr std::string_view kRequestIdHeader = "Sassafrasquay-Request-Id";
inline constexpr std::string_view kShedHeader = "Sassafrasquay-Shed";

// Copies every field that belongs to the message and not to the connection
// (RFC 9110 section 7.6.1). Content-Length is left out: the body's framing is
// carried on its own.
std::vector<HeaderField>
EndToEndHeaders(const boost::beast::http::fields& aFields);

// Whole milliseconds, rounded down; at least 1 for a positive duration.
std::string
FormatMilliseconds(Duration aDuration);
// False when aText is not a number from 1 to one day in milliseconds.
bool
ParseMilliseconds(std::string_view aText, Duration& aDuration);

} // namespace sassafrasquay
