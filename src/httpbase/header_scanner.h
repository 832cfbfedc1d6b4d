// Checks the lines of a response's head or trailer before they are parsed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafrasquay {

// Accepts what RFC 9112 allows a server to send, byte by byte. Beast's parser
// also accepts any status of three digits, and appends a line that begins with
// a blank to the field before it.
class HeaderScanner
{
public:
  enum class Section : uint8_t
  {
    Head, // a status line and fields
    Trailer
  };

  explicit HeaderScanner(Section aSection);

  // Returns the number of bytes scanned. Stops after the empty line that ends
  // the section, and at the first invalid byte.
  size_t Scan(std::string_view aBytes);

  bool IsComplete() const { return m_state == State::Complete; }
  bool IsInvalid() const { return m_state == State::Invalid; }
  // 100 to 599, valid once the status line has been scanned.
  unsigned Status() const { return m_status; }

private:
  enum class State : uint8_t
  {
    StatusLine, // up to the blank after the status
    LineStart,
    Name,
    Text, // a field's value or the reason phrase
    LineEnd,
    SectionEnd,
    Complete,
    Invalid
  };

  State Next(char aByte);
  State NextInStatusLine(char aByte);

  State m_state;
  size_t m_statusLineBytes = 0;
  unsigned m_status = 0;
};

// False when a complete head has a Transfer-Encoding other than one "chunked"
// in HTTP/1.1. Beast takes "gzip, chunked" for chunked, and reads a body with
// any other coding until the connection ends.
bool
HasValidTransferEncoding(std::string_view aHead);

} // namespace sassafrasquay
