// Structured, rate-limited logging that never blocks the event loop.
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

/// The subject of a line. Each class has its own rate limit.
enum class LogClass {
  Request, ///< A decision about one request.
  /// A change of what the process knows of the deployment; start, stop, reload.
  State,
  Fault, ///< A lost dependency, invalid input or failed call.
};
inline constexpr std::size_t LogClassCount = 3;

/// Maximum of lines per second, on average, of each class; further ones are
/// dropped and counted.
struct LogBudget {
  double RequestLines = 20.0;
  double StateLines = 50.0;
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
  /// A field; callers format numbers with std::to_string.
  struct Field {
    std::string_view Key;
    std::string Value;
  };
  /// Writes a line that ends in a newline; returns false if it was dropped.
  using Sink = std::function<bool(std::string_view)>;

  DecisionLog(const Clock &Clk, std::string Process, LogBudget Budget,
              Sink Write);

  void line(LogClass Class, std::string_view Event,
            std::initializer_list<Field> Fields);

  /// Whether a line of the class would be dropped now because of the rate
  /// limit. It then counts as dropped. For lines that come in such numbers that
  /// their text would cost more than the decision they report.
  [[nodiscard]] bool suppress(LogClass Class);

  /// Lines dropped because of the rate limit or a full pipe.
  [[nodiscard]] std::uint64_t suppressed() const { return m_suppressed; }

private:
  struct Bucket {
    double PerSecond = 0.0;
    double Tokens = 0.0;
    TimePoint Refilled{};
    std::uint64_t Suppressed = 0; ///< Since the last line written of the class.
  };

  /// Whether a line may be written.
  bool refill(Bucket &Source);
  void countSuppressed(Bucket &Source);

  const Clock &m_clock;
  const std::string m_process;
  const Sink m_write;
  std::map<LogClass, Bucket> m_buckets;
  std::uint64_t m_suppressed = 0;
};

/// A sink that writes to a descriptor without blocking. A line that finds
/// the pipe full is dropped as a whole.
DecisionLog::Sink nonBlockingSink(int Descriptor);

} // namespace nutmegdrift

#endif
