// Header names and helpers shared by the HTTP front end, the target client and
// the dialects.
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

// Copies the end-to-end fields of a message (RFC 9110 section 7.6.1), without
// Content-Length, since the body's framing is passed separately.
std::vector<HeaderField>
EndToEndHeaders(const boost::beast::http::fields& aFields);

// Whole milliseconds, rounded down; at least 1 for a positive duration.
std::string
FormatMilliseconds(Duration aDuration);
// Parses a number of milliseconds from 1 to one day; false for any other text.
bool
ParseMilliseconds(std::string_view aText, Duration& aDuration);

} // namespace sassafrasquay
