// Structured log lines.
//
// Index of this file
//   [1] Fields
//   [2] Logger interface
//   [3] Output that never blocks
//   [4] Settings and factory
#pragma once

#include "core/core.h"

#include <initializer_list>
#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Fields
//-----------------------------------------------------------------------------

struct LogField
{
  std::string_view m_name;
  std::string m_value;
  bool m_isText = false; // quoted in the output

  LogField(std::string_view aName, std::string_view aValue);
  LogField(std::string_view aName, const char* aValue);
  LogField(std::string_view aName, const std::string& aValue);
  LogField(std::string_view aName, uint64_t aValue);
  LogField(std::string_view aName, uint32_t aValue);
  LogField(std::string_view aName, int aValue);
  LogField(std::string_view aName, double aValue);
  LogField(std::string_view aName, bool aValue);
  LogField(std::string_view aName, Duration aValue); // as milliseconds
};

//-----------------------------------------------------------------------------
// [2] Logger interface
//-----------------------------------------------------------------------------

enum class LogLevel : uint8_t
{
  Debug,
  Info,
  Warning,
  Error
};

class Logger : public Component
{
public:
  virtual void Write(LogLevel aLevel,
                     std::string_view aEvent,
                     std::initializer_list<LogField> aFields) = 0;
  // Whether the next decision line is wanted: level Info, in the sample and
  // within the bound of lines per second. Lines beyond the bound are counted
  // and reported; warnings and errors have no such bound.
  virtual bool ShouldLogDecision() = 0;
  // Passes on what is buffered; to be called now and then.
  virtual void Flush() = 0;
  virtual void SetLevel(LogLevel aLevel) = 0;
  // Share of decision lines written, from 0 to 1.
  virtual void SetDecisionSampleRate(double aShare) = 0;
};

//-----------------------------------------------------------------------------
// [3] Output that never blocks
//-----------------------------------------------------------------------------

// Buffers lines for a file descriptor whose reader may stop reading. Writes
// only what the descriptor takes at once. When the buffer is full, lines are
// dropped and counted; a part of it is kept free for important ones.
class LogOutput
{
public:
  LogOutput(int aDescriptor, size_t aCapacity, size_t aReserved)
    : m_descriptor(aDescriptor)
    , m_capacity(aCapacity)
    , m_reserved(aReserved)
  {
  }

  void Add(std::string_view aLine, bool aIsImportant);
  void Flush();
  bool IsWorthAFlush() const { return m_buffer.size() >= kFlushBytes; }
  // Lines dropped since the last call.
  uint64_t TakeDropped();

private:
  // A pipe that is writable takes so many bytes without blocking (PIPE_BUF).
  static constexpr size_t kFlushBytes = 4096;

  int m_descriptor;
  size_t m_capacity; // bytes
  size_t m_reserved; // bytes of the capacity
  std::string m_buffer;
  uint64_t m_dropped = 0;
};

//-----------------------------------------------------------------------------
// [4] Settings and factory
//-----------------------------------------------------------------------------

struct LoggerSettings
{
  bool m_json = false; // logfmt otherwise
  LogLevel m_level = LogLevel::Info;
  double m_decisionSampleRate = 1.0;
  uint32_t m_decisionsPerSecond = 500; // at most
};

// False when aText is none of debug, info, warning, error.
bool
ParseLogLevel(std::string_view aText, LogLevel& aLevel);

// Writes to standard output through easylogging++. aRandom and aClock must
// outlive the logger.
std::unique_ptr<Logger>
MakeLogger(LoggerSettings aSettings, Random& aRandom, const Clock& aClock);

} // namespace sassafrasquay
