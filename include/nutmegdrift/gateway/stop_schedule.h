// What a stopping daemon may still accept and begin.
#ifndef NUTMEGDRIFT_GATEWAY_STOP_SCHEDULE_H
#define NUTMEGDRIFT_GATEWAY_STOP_SCHEDULE_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>

namespace nutmegdrift::gateway {

/// Estimates how long the requests of a route run: the sum of a moving mean and
/// of the mean deviation from it.
class RunTimeEstimate {
public:
  /// Weight of the latest run.
  static constexpr double Smoothing = 0.1;

  void record(Duration Run) {
    if (!m_known) {
      m_known = true;
      m_mean = Run;
      m_deviation = Run / 2;
      return;
    }
    m_deviation += scaled(std::chrono::abs(Run - m_mean) - m_deviation);
    m_mean += scaled(Run - m_mean);
  }
  /// 0 before the first run.
  [[nodiscard]] Duration expected() const { return m_mean + m_deviation; }

private:
  static Duration scaled(Duration Change) {
    return std::chrono::duration_cast<Duration>(Smoothing * Change);
  }

  bool m_known = false;
  Duration m_mean{0};
  Duration m_deviation{0};
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
