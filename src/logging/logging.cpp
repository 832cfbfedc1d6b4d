// Structured log lines, written with easylogging++.
#include "logging/logging.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <cerrno>
#include <cstdio>
#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace sassafrasquay {

LogField::LogField(std::string_view aName, std::string_view aValue)
  : m_name(aName)
  , m_value(aValue)
  , m_isText(true)
{
}

LogField::LogField(std::string_view aName, const char* aValue)
  : LogField(aName, std::string_view(aValue))
{
}

LogField::LogField(std::string_view aName, const std::string& aValue)
  : LogField(aName, std::string_view(aValue))
{
}

LogField::LogField(std::string_view aName, uint64_t aValue)
  : m_name(aName)
  , m_value(std::to_string(aValue))
{
}

LogField::LogField(std::string_view aName, uint32_t aValue)
  : LogField(aName, static_cast<uint64_t>(aValue))
{
}

LogField::LogField(std::string_view aName, int aValue)
  : m_name(aName)
  , m_value(std::to_string(aValue))
{
}

LogField::LogField(std::string_view aName, double aValue)
  : m_name(aName)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", aValue);
  m_value = text.data();
}

LogField::LogField(std::string_view aName, bool aValue)
  : m_name(aName)
  , m_value(aValue ? "true" : "false")
{
}

LogField::LogField(std::string_view aName, Duration aValue)
  : LogField(aName, std::chrono::duration<double, std::milli>(aValue).count())
{
}

//-----------------------------------------------------------------------------
// Output
//-----------------------------------------------------------------------------

void
LogOutput::Add(std::string_view aLine, bool aIsImportant)
{
  const size_t limit = aIsImportant ? m_capacity : m_capacity - m_reserved;
  if (m_buffer.size() + aLine.size() > limit) {
    ++m_dropped;
    return;
  }
  m_buffer += aLine;
}

void
LogOutput::Flush()
{
  size_t written = 0;
  while (written < m_buffer.size()) {
    pollfd ready{ m_descriptor, POLLOUT, 0 };
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break; // the pipe is full; the rest stays in the buffer
    }
    const size_t size = std::min(kFlushBytes, m_buffer.size() - written);
    const auto count = ::write(m_descriptor, m_buffer.data() + written, size);
    if (count < 0 && errno != EINTR) {
      break;
    }
    written += count > 0 ? static_cast<size_t>(count) : 0;
  }
  m_buffer.erase(0, written);
}

uint64_t
LogOutput::TakeDropped()
{
  return std::exchange(m_dropped, 0);
}

namespace {

constexpr size_t kOutputBytes = 256 * 1024;
constexpr size_t kReservedBytes = 64 * 1024; // for warnings and errors
constexpr Duration kLossReportInterval = std::chrono::seconds(1);

LogOutput&
StandardOutput()
{
  static LogOutput output(STDOUT_FILENO, kOutputBytes, kReservedBytes);
  return output;
}

// Receives the lines formatted by easylogging++.
class OutputCallback : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override // NOLINT: library name
  {
    const el::LogMessage* message = aData->logMessage();
    const el::Level level = message->level();
    const bool important =
      level == el::Level::Warning || level == el::Level::Error;
    StandardOutput().Add(message->logger()->logBuilder()->build(message, true),
                         important);
    if (important || StandardOutput().ShouldFlush()) {
      StandardOutput().Flush();
    }
  }
};

class EasyLogger : public Logger
{
public:
  EasyLogger(LoggerSettings aSettings, Random& aRandom, const Clock& aClock);
  ~EasyLogger() override { StandardOutput().Flush(); }

  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields) override;
  bool ShouldLogDecision() override;
  void Flush() override;
  void SetLevel(LogLevel aLevel) override { m_settings.m_level = aLevel; }
  void SetDecisionSampleRate(double aShare) override
  {
    m_settings.m_decisionSampleRate = aShare;
  }

private:
  void Append(std::string_view aName, std::string_view aValue, bool aIsText);

  LoggerSettings m_settings;
  Random& m_random;
  const Clock& m_clock;
  TimePoint m_rateWindowStart{};    // start of the current one-second window
  uint32_t m_decisionsInWindow = 0; // lines written in it
  uint64_t m_suppressed = 0;        // lines over the limit, not yet reported
  TimePoint m_lastLossReport{};
  std::string m_line; // reused to avoid an allocation for each line
};

EasyLogger::EasyLogger(LoggerSettings aSettings,
                       Random& aRandom,
                       const Clock& aClock)
  : m_settings(aSettings)
  , m_random(aRandom)
  , m_clock(aClock)
{
  el::Configurations configuration;
  configuration.setToDefault();
  const std::string format = m_settings.m_json
                               ? "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\""
                                 ",\"level\":\"%level\",%msg}"
                               : "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} "
                                 "level=%level %msg";
  configuration.setGlobally(el::ConfigurationType::Format, format);
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<OutputCallback>("OutputCallback");
}

bool
EasyLogger::ShouldLogDecision()
{
  const bool sampled =
    m_settings.m_level <= LogLevel::Info &&
    (m_settings.m_decisionSampleRate >= 1.0 ||
     m_random.NextDouble() < m_settings.m_decisionSampleRate);
  if (!sampled) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  if (now - m_rateWindowStart >= std::chrono::seconds(1)) {
    m_rateWindowStart = now;
    m_decisionsInWindow = 0;
  }
  if (m_decisionsInWindow >= m_settings.m_decisionsPerSecond) {
    ++m_suppressed;
    return false;
  }
  ++m_decisionsInWindow;
  return true;
}

void
EasyLogger::Flush()
{
  const TimePoint now = m_clock.Now();
  if (now - m_lastLossReport >= kLossReportInterval) {
    m_lastLossReport = now;
    const uint64_t dropped = StandardOutput().TakeDropped();
    if (dropped > 0 || m_suppressed > 0) {
      Write(LogLevel::Warning,
            "log_lines_lost",
            { { "output_full", dropped },
              { "beyond_rate", std::exchange(m_suppressed, 0) } });
    }
  }
  StandardOutput().Flush();
}

void
EasyLogger::Append(std::string_view aName,
                   std::string_view aValue,
                   bool aIsText)
{
  const char separator = m_settings.m_json ? ',' : ' ';
  if (!m_line.empty()) {
    m_line += separator;
  }
  if (m_settings.m_json) {
    m_line += '"';
    m_line += aName;
    m_line += "\":";
  } else {
    m_line += aName;
    m_line += '=';
  }
  const bool plain =
    !m_settings.m_json &&
    aValue.find_first_of(" \"=\\\n\r\t") == std::string_view::npos &&
    !aValue.empty();
  if (!aIsText || plain) {
    m_line += aValue;
  } else {
    m_line += boost::json::serialize(boost::json::string(aValue));
  }
}

void
EasyLogger::Write(LogLevel aLevel,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields)
{
  if (aLevel < m_settings.m_level) {
    return;
  }
  m_line.clear();
  Append("event", aEvent, true);
  for (const LogField& field : aFields) {
    Append(field.m_name, field.m_value, field.m_isText);
  }
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << m_line;
      break;
    case LogLevel::Info:
      LOG(INFO) << m_line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << m_line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << m_line;
      break;
  }
}

} // namespace

bool
ParseLogLevel(std::string_view aText, LogLevel& aLevel)
{
  static constexpr std::array<std::string_view, 4> kNames = {
    "debug", "info", "warning", "error"
  };
  for (size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == aText) {
      aLevel = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

std::unique_ptr<Logger>
MakeLogger(LoggerSettings aSettings, Random& aRandom, const Clock& aClock)
{
  return std::make_unique<EasyLogger>(aSettings, aRandom, aClock);
}

} // namespace sassafrasquay
