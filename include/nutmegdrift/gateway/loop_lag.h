// How late work that is ready gets its turn on the event loop.
#ifndef NUTMEGDRIFT_GATEWAY_LOOP_LAG_H
#define NUTMEGDRIFT_GATEWAY_LOOP_LAG_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace nutmegdrift::gateway {

/// Measured by how late a regular tick comes. Decides without I/O.
class LoopLag {
public:
  /// Weight of the newest tick in the mean.
  static constexpr double Smoothing = 0.3;
  /// A longer lag is a freeze of the VM, not the load of the loop.
  static constexpr Duration MaxLag = std::chrono::seconds(1);

  explicit LoopLag(Duration Interval) : m_interval(Interval) {}

  void tick(TimePoint Now) {
    if (m_last) {
      const Duration Late = std::max(Now - *m_last - m_interval, Duration{0});
      m_worst = std::max(m_worst, Late);
      m_mean += std::chrono::duration_cast<Duration>(
          Smoothing * (std::min(Late, MaxLag) - m_mean));
    }
    m_last = Now;
  }
  [[nodiscard]] Duration mean() const { return m_mean; }
  /// Of the ticks since the last call.
  [[nodiscard]] Duration resetWorst() { return std::exchange(m_worst, {}); }

private:
  const Duration m_interval;
  std::optional<TimePoint> m_last;
  Duration m_mean{0};
  Duration m_worst{0};
};

} // namespace nutmegdrift::gateway

#endif
