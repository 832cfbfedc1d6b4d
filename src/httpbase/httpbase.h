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

// False when a request has a Transfer-Encoding other than one "chunked" in
// HTTP/1.1, so that the end of its body is not known (RFC 9112 section 6.3).
// Beast takes "gzip, chunked" for chunked, and reads a request with any other
// coding as one without a body. aVersion: 10 or 11.
bool
HasValidTransferEncoding(const boost::beast::http::fields& aFields,
                         unsigned aVersion);

// Whole milliseconds, rounded down; at least 1 for a positive duration.
std::string
FormatMilliseconds(Duration aDuration);
// Parses a number of milliseconds from 1 to one day; false for any other text.
bool
ParseMilliseconds(std::string_view aText, Duration& aDuration);

} // namespace sassafrasquay
