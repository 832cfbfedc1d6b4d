// Header helpers shared by the HTTP front end, the target client and the
// dialects.
#include "httpbase/httpbase.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace sassafrasquay {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

constexpr std::array<std::string_view, 10> kHopByHop = { "Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Expect" };

bool
IsHopByHop(const http::fields& aFields, std::string_view aName)
{
  for (const std::string_view name : kHopByHop) {
    if (iequals(name, aName)) {
      return true;
    }
  }
  // Fields listed in Connection are hop-by-hop as well.
  const auto connection = aFields.find(http::field::connection);
  return connection != aFields.end() &&
         http::token_list(connection->value()).exists(aName);
}

} // namespace

std::vector<HeaderField>
EndToEndHeaders(const http::fields& aFields)
{
  std::vector<HeaderField> fields;
  for (const auto& field : aFields) {
    const std::string_view name = field.name_string();
    if (!IsHopByHop(aFields, name) && !iequals(name, "Content-Length")) {
      fields.push_back({ std::string(name), std::string(field.value()) });
    }
  }
  return fields;
}

bool
HasValidTransferEncoding(const http::fields& aFields, unsigned aVersion)
{
  constexpr unsigned kFirstVersion = 11;
  const size_t count = aFields.count(http::field::transfer_encoding);
  return count == 0 ||
         (count == 1 && aVersion >= kFirstVersion &&
          iequals(aFields[http::field::transfer_encoding], "chunked"));
}

std::string
FormatMilliseconds(Duration aDuration)
{
  using std::chrono::milliseconds;
  const auto whole = std::chrono::duration_cast<milliseconds>(aDuration);
  const bool roundedToZero = whole.count() == 0 && aDuration.count() > 0;
  return std::to_string(roundedToZero ? 1 : whole.count());
}

bool
ParseMilliseconds(std::string_view aText, Duration& aDuration)
{
  constexpr std::chrono::milliseconds kMax = std::chrono::hours(24);
  int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
      value > kMax.count()) {
    return false;
  }
  aDuration = std::chrono::milliseconds(value);
  return true;
}

} // namespace sassafrasquay
