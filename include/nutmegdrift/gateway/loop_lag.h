// Measures the delay with which the event loop runs work that is ready.
#ifndef NUTMEGDRIFT_GATEWAY_LOOP_LAG_H
#define NUTMEGDRIFT_GATEWAY_LOOP_LAG_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace nutmegdrift::gateway {

/// The lag is the delay of a periodic tick. Performs no I/O.
class LoopLag {
public:
  /// Weight of the latest tick in the mean.
  static constexpr double Smoothing = 0.3;
  /// A longer delay comes from a frozen VM and not from load, so it counts as
  /// this much.
  static constexpr Duration MaxLag = std::chrono::seconds(1);

  explicit LoopLag(Duration Interval) : m_interval(Interval) {}

  void tick(TimePoint Now) {
    if (m_lastTick) {
      const Duration Lag =
          std::max(Now - *m_lastTick - m_interval, Duration{0});
      m_worstLag = std::max(m_worstLag, Lag);
      m_meanLag += std::chrono::duration_cast<Duration>(
          Smoothing * (std::min(Lag, MaxLag) - m_meanLag));
    }
    m_tickBeforeLast = std::exchange(m_lastTick, Now);
  }
  /// The loop has handled all that reached the process before this time, the
  /// tick before the last: a turn of the loop handles what came before it
  /// began. Empty before the second tick.
  [[nodiscard]] std::optional<TimePoint> handledUntil() const {
    return m_tickBeforeLast;
  }
  [[nodiscard]] Duration mean() const { return m_meanLag; }
  /// Returns the worst lag since the last call.
  [[nodiscard]] Duration resetWorst() { return std::exchange(m_worstLag, {}); }

private:
  const Duration m_interval;
  std::optional<TimePoint> m_lastTick{};
  std::optional<TimePoint> m_tickBeforeLast{};
  Duration m_meanLag{0};
  Duration m_worstLag{0};
};

} // namespace nutmegdrift::gateway

#endif
