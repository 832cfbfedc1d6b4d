// Checks the lines of a response's head or trailer before they are parsed.
#include "httpbase/header_scanner.h"

#include <algorithm>
#include <cctype>

namespace sassafrasquay {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlanks = " \t";

bool
IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

// RFC 9110 section 5.6.2
bool
IsTokenCharacter(char aByte)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const bool isLetter =
    (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z');
  return isLetter || IsDigit(aByte) ||
         kSymbols.find(aByte) != std::string_view::npos;
}

bool
IsTextCharacter(char aByte)
{
  constexpr unsigned char kDelete = 0x7F;
  const auto byte = static_cast<unsigned char>(aByte);
  return (byte >= ' ' && byte != kDelete) || aByte == '\t';
}

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aFirst, unsigned char aSecond) {
                      return std::tolower(aFirst) == std::tolower(aSecond);
                    });
}

std::string_view
Trim(std::string_view aText)
{
  aText.remove_prefix(std::min(aText.find_first_not_of(kBlanks), aText.size()));
  aText.remove_suffix(aText.size() - 1 - aText.find_last_not_of(kBlanks));
  return aText;
}

} // namespace

HeaderScanner::HeaderScanner(Section aSection)
  : m_state(aSection == Section::Head ? State::StatusLine : State::LineStart)
{
}

size_t
HeaderScanner::Scan(std::string_view aBytes)
{
  size_t scanned = 0;
  while (scanned < aBytes.size() && !IsComplete() && !IsInvalid()) {
    m_state = Next(aBytes[scanned]);
    ++scanned;
  }
  return scanned;
}

HeaderScanner::State
HeaderScanner::NextInStatusLine(char aByte)
{
  // v: version 0 or 1, c: class of the status, d: digit
  constexpr std::string_view kForm = "HTTP/1.v cdd ";
  bool valid = false;
  switch (kForm[m_statusLineBytes]) {
    case 'v':
      valid = aByte == '0' || aByte == '1';
      break;
    case 'c':
      valid = aByte >= '1' && aByte <= '5';
      m_status = static_cast<unsigned>(aByte - '0');
      break;
    case 'd':
      valid = IsDigit(aByte);
      m_status = 10 * m_status + static_cast<unsigned>(aByte - '0');
      break;
    default:
      valid = aByte == kForm[m_statusLineBytes];
  }
  ++m_statusLineBytes;
  if (!valid) {
    return State::Invalid;
  }
  return m_statusLineBytes == kForm.size() ? State::Text : State::StatusLine;
}

HeaderScanner::State
HeaderScanner::Next(char aByte)
{
  switch (m_state) {
    case State::StatusLine:
      return NextInStatusLine(aByte);
    case State::LineStart:
      if (aByte == '\r') {
        return State::SectionEnd;
      }
      // A folded line begins with a blank, which is no token character.
      return IsTokenCharacter(aByte) ? State::Name : State::Invalid;
    case State::Name:
      if (aByte == ':') {
        return State::Text;
      }
      return IsTokenCharacter(aByte) ? State::Name : State::Invalid;
    case State::Text:
      if (aByte == '\r') {
        return State::LineEnd;
      }
      return IsTextCharacter(aByte) ? State::Text : State::Invalid;
    case State::LineEnd:
      return aByte == '\n' ? State::LineStart : State::Invalid;
    case State::SectionEnd:
      return aByte == '\n' ? State::Complete : State::Invalid;
    case State::Complete:
    case State::Invalid:
      break;
  }
  return m_state;
}

bool
HasValidTransferEncoding(std::string_view aHead)
{
  constexpr std::string_view kVersion = "HTTP/1.1";
  const bool mayHaveEncoding = aHead.substr(0, kVersion.size()) == kVersion;
  bool found = false;
  size_t lineEnd = aHead.find(kLineEnd);
  while (lineEnd != std::string_view::npos) {
    aHead.remove_prefix(lineEnd + kLineEnd.size());
    lineEnd = aHead.find(kLineEnd);
    const std::string_view line = aHead.substr(0, lineEnd);
    const size_t nameEnd = line.find(':');
    if (nameEnd == std::string_view::npos ||
        !EqualsIgnoringCase(line.substr(0, nameEnd), "Transfer-Encoding")) {
      continue;
    }
    const std::string_view coding = Trim(line.substr(nameEnd + 1));
    if (found || !mayHaveEncoding || !EqualsIgnoringCase(coding, "chunked")) {
      return false;
    }
    found = true;
  }
  return true;
}

} // namespace sassafrasquay
