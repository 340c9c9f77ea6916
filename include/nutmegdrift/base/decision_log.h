// Structured log lines with a bounded rate that never block the event loop.
#ifndef NUTMEGDRIFT_BASE_DECISION_LOG_H
#define NUTMEGDRIFT_BASE_DECISION_LOG_H

#include "nutmegdrift/base/clock.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace nutmegdrift {

/// What a line is about; each class has a budget of its own.
enum class LogClass {
  Request, ///< A decision about one request.
  Belief,  ///< A change of what the process believes, start, stop, reload.
  Fault,   ///< A lost dependency, bad input or failed call.
};
inline constexpr std::size_t LogClassCount = 3;

/// Lines a second of each class that are written; what is left out is counted.
struct LogBudget {
  double RequestLines = 20.0;
  double BeliefLines = 50.0;
  double FaultLines = 30.0;

  friend bool operator==(const LogBudget &, const LogBudget &) = default;
};

/// Writes key=value lines to a sink. Not thread-safe.
///
/// \code
///   Log.line(LogClass::Request, "request.refused",
///            {{"request", Id}, {"reason", "queue-full"}});
/// \endcode
class DecisionLog {
public:
  /// A field; numbers are formatted by the caller with std::to_string.
  struct Field {
    std::string_view Key;
    std::string Value;
  };
  /// Takes one line with its newline; false if it had to be dropped.
  using Sink = std::function<bool(std::string_view)>;

  DecisionLog(const Clock &Clk, std::string Process, LogBudget Budget,
              Sink Write);

  void line(LogClass Class, std::string_view Event,
            std::initializer_list<Field> Fields);

  /// Lines left out by the budget or by a full pipe.
  [[nodiscard]] std::uint64_t suppressed() const { return m_suppressed; }

private:
  struct Bucket {
    double PerSecond = 0.0;
    double Tokens = 0.0;
    TimePoint Refilled{};
    std::uint64_t LeftOut = 0; ///< Since the last written line of the class.
  };

  bool take(Bucket &From);

  const Clock &m_clock;
  const std::string m_process;
  const Sink m_write;
  std::map<LogClass, Bucket> m_buckets;
  std::uint64_t m_suppressed = 0;
};

/// A sink that writes to a descriptor without blocking; lines that don't fit
/// into a full pipe are dropped whole.
DecisionLog::Sink nonBlockingSink(int Descriptor);

} // namespace nutmegdrift

#endif
