// Events, written as key=value log lines and kept in a ring in memory, from
// which the time line of all processes is built.
#ifndef NUTMEGDRIFT_BASE_EVENT_LOG_H
#define NUTMEGDRIFT_BASE_EVENT_LOG_H

#include "nutmegdrift/base/clock.h"

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegdrift {

using EventFields = std::vector<std::pair<std::string, std::string>>;

/// An event as kept in memory.
struct Event {
  std::int64_t WallMicros = 0; ///< Microseconds since the Unix epoch.
  std::uint64_t Sequence = 0;  ///< Order within the process.
  std::string Name;            ///< For example "request.admitted".
  EventFields Fields;

  friend bool operator==(const Event &, const Event &) = default;
};

/// "event=NAME key=value ..."; values with spaces or quotes are quoted.
std::string formatEvent(const Event &Value);

/// Writes events to log4cplus and keeps the most recent ones. Thread-safe.
///
/// \code
///   Log.event("request.admitted", {{"request", Id}, {"workspace", W}});
/// \endcode
class EventLog {
public:
  /// Events kept in memory for the time line.
  static constexpr std::size_t RingSize = 8192;

  EventLog(const Clock &Clk, std::string Process, bool Print = true);

  void event(std::string_view Name, EventFields Fields);

  /// Events with a sequence above After, oldest first.
  [[nodiscard]] std::vector<Event> since(std::uint64_t After) const;

  [[nodiscard]] const std::string &process() const { return m_process; }

private:
  const Clock &m_clock;
  const std::string m_process;
  const bool m_print;
  mutable std::mutex m_mutex;
  std::deque<Event> m_ring; ///< Ordered by Sequence, at most RingSize.
  std::uint64_t m_next = 1;
};

/// Sends log lines to standard error. Call once, before the first EventLog.
void initialiseLogging();

} // namespace nutmegdrift

#endif
