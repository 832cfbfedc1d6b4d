// Structured log lines.
//
// Index of this file
//   [1] Fields
//   [2] Logger interface
//   [3] Non-blocking output
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
  // Returns true when the next decision line is to be written: level Info or
  // lower, selected by the sample rate, and within the limit of lines per
  // second. Lines over the limit are counted and reported. Warnings and errors
  // have no such limit.
  virtual bool ShouldLogDecision() = 0;
  // Writes buffered lines and reports lost ones. Must be called periodically.
  virtual void Flush() = 0;
  virtual void SetLevel(LogLevel aLevel) = 0;
  // aShare: fraction of decision lines to write, from 0 to 1.
  virtual void SetDecisionSampleRate(double aShare) = 0;
};

//-----------------------------------------------------------------------------
// [3] Non-blocking output
//-----------------------------------------------------------------------------

// Line buffer for a file descriptor whose reader may stall. Writes only what
// the descriptor accepts without blocking. Lines that do not fit into the
// buffer are dropped and counted. Part of the capacity is reserved for
// important lines.
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
  bool ShouldFlush() const { return m_buffer.size() >= kFlushBytes; }
  // Returns the number of lines dropped since the last call.
  uint64_t TakeDropped();

private:
  // A writable pipe accepts this many bytes without blocking (PIPE_BUF).
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
  uint32_t m_decisionsPerSecond = 500; // limit for decision lines
};

// Returns false unless aText is debug, info, warning or error.
bool
ParseLogLevel(std::string_view aText, LogLevel& aLevel);

// Creates a logger that formats lines with easylogging++ and writes them to
// standard output. aRandom and aClock must outlive it.
std::unique_ptr<Logger>
MakeLogger(LoggerSettings aSettings, Random& aRandom, const Clock& aClock);

} // namespace sassafrasquay
