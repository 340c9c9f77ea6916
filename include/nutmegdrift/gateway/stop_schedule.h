// What a stopping daemon may still accept and begin.
#ifndef NUTMEGDRIFT_GATEWAY_STOP_SCHEDULE_H
#define NUTMEGDRIFT_GATEWAY_STOP_SCHEDULE_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace nutmegdrift::gateway {

/// Tells how long the requests of a route may run, by its latest runs. A mean
/// would not do: the times of streams have a long tail.
class RunTimeEstimate {
public:
  /// Runs that are kept.
  static constexpr std::size_t Runs = 64;

  /// Tokens: the most that the answer may have had; 0: not known.
  void record(Duration Run, std::uint32_t Tokens = 0) {
    m_runs[m_next++ % Runs] = {.Time = Run, .Tokens = Tokens};
  }
  /// The longest of the latest runs, or less if an answer of this many tokens
  /// takes less time even at the slowest pace. A part that shrinks with the
  /// number of runs is added, because the next may be longer. 0 before the
  /// first run.
  [[nodiscard]] Duration expected(std::uint32_t Tokens = 0) const {
    const auto Known = static_cast<std::int64_t>(std::min(m_next, Runs));
    if (Known == 0)
      return Duration{0};
    Duration Longest{0};
    double SlowestPace = 0; // Ticks of Duration for a token.
    for (std::int64_t I = 0; I < Known; ++I) {
      const Run &Each = m_runs[static_cast<std::size_t>(I)];
      Longest = std::max(Longest, Each.Time);
      SlowestPace = std::max(
          SlowestPace, static_cast<double>(Each.Time.count()) /
                           static_cast<double>(std::max(Each.Tokens, 1U)));
    }
    // In floating point, because callers choose the number of tokens.
    const double AtSlowestPace = SlowestPace * static_cast<double>(Tokens);
    Duration Most = Longest;
    if (Tokens > 0 && AtSlowestPace < static_cast<double>(Longest.count()))
      Most = Duration(static_cast<Duration::rep>(AtSlowestPace));
    return Most + Most / (2 * Known);
  }

private:
  struct Run {
    Duration Time;
    std::uint32_t Tokens;
  };

  std::array<Run, Runs> m_runs{};
  std::size_t m_next = 0; ///< Number of runs so far.
};

/// The times of a planned stop. Requests that are refused go to other daemons;
/// requests that are cut may have run.
struct StopSchedule {
  /// Callers that still use an open connection have learned of the stop by
  /// then, or after this share of a short grace.
  static constexpr Duration MaxAcceptTime = std::chrono::seconds(3);
  static constexpr double AcceptShare = 0.375;
  /// The last answers are sent in this time before the kill.
  static constexpr Duration KillMargin = std::chrono::milliseconds(500);

  TimePoint Signalled{}; ///< Estimate.
  /// The signal was sent at this time or later. Not after Signalled.
  TimePoint NotSignalledBefore{};
  Duration Grace{0}; ///< From the signal to the kill.

  /// Requests received later are refused.
  [[nodiscard]] TimePoint acceptEnd() const {
    return NotSignalledBefore +
           std::min(MaxAcceptTime,
                    std::chrono::duration_cast<Duration>(AcceptShare * Grace));
  }
  /// Requests that still run are ended.
  [[nodiscard]] TimePoint end() const { return Signalled + Grace - KillMargin; }
  /// Whether a request that is expected to run for this long may begin.
  [[nodiscard]] bool mayBegin(Duration Expected, TimePoint Now) const {
    return Now + Expected <= NotSignalledBefore + Grace - KillMargin;
  }

  friend bool operator==(const StopSchedule &, const StopSchedule &) = default;
};

} // namespace nutmegdrift::gateway

#endif
