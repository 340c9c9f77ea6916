// Formatting of events and the ring of recent ones.
#include "nutmegdrift/base/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace nutmegdrift {

namespace {

constexpr auto Pattern = LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q} %m%n");

std::string quoted(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"=\n\r\t") == std::string::npos)
    return Value;
  std::string Out = "\"";
  for (const char C : Value) {
    if (C == '\n' || C == '\r' || C == '\t') {
      Out += ' ';
      continue;
    }
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C;
  }
  return Out + "\"";
}

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance = log4cplus::Logger::getRoot();
  return Instance;
}

} // namespace

std::string formatEvent(const Event &Value) {
  std::string Line = "event=" + Value.Name;
  for (const auto &[Key, Text] : Value.Fields)
    Line += " " + Key + "=" + quoted(Text);
  return Line;
}

EventLog::EventLog(const Clock &Clk, std::string Process, bool Print)
    : m_clock(Clk), m_process(std::move(Process)), m_print(Print) {}

void EventLog::event(std::string_view Name, EventFields Fields) {
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          m_clock.wallNow().time_since_epoch())
                          .count();
  Event Entry{.WallMicros = Micros,
              .Name = std::string(Name),
              .Fields = std::move(Fields)};
  if (m_print)
    LOG4CPLUS_INFO(logger(), "process=" + m_process + " " + formatEvent(Entry));
  const std::scoped_lock Lock(m_mutex);
  Entry.Sequence = m_next++;
  m_ring.push_back(std::move(Entry));
  if (m_ring.size() > RingSize)
    m_ring.pop_front();
}

std::vector<Event> EventLog::since(std::uint64_t After) const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<Event> Out;
  for (const auto &Entry : m_ring)
    if (Entry.Sequence > After)
      Out.push_back(Entry);
  return Out;
}

void initialiseLogging() {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  logger().addAppender(Appender);
  logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

} // namespace nutmegdrift
