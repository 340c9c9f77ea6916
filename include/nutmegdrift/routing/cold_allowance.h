// Bounds what a cold replica gets.
#ifndef NUTMEGDRIFT_ROUTING_COLD_ALLOWANCE_H
#define NUTMEGDRIFT_ROUTING_COLD_ALLOWANCE_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>

namespace nutmegdrift::routing {

/// A token bucket that starts empty, because daemons that start together must
/// not all send at once.
class ColdAllowance {
public:
  /// Lets the allowance grow at PerSecond. At most one request, or an eighth of
  /// a second's worth, is saved up.
  void refill(double PerSecond, TimePoint Now) {
    if (m_refilled != TimePoint{}) {
      const double Elapsed =
          std::chrono::duration<double>(Now - m_refilled).count();
      m_allowance = std::min(m_allowance + PerSecond * Elapsed,
                             std::max(1.0, PerSecond / 8));
    }
    m_refilled = Now;
  }
  [[nodiscard]] bool available() const { return m_allowance >= 1.0; }
  void consume() { m_allowance -= 1.0; }

private:
  double m_allowance = 0.0;
  TimePoint m_refilled{};
};

/// The part of a cold replica's rate that one daemon may use. The dispatcher
/// of a service gets most of it; the rest is for daemons that can't reach it,
/// or believe that they dispatch.
double coldShare(bool IsDispatcher, std::size_t Daemons, Duration Uptime,
                 std::uint64_t Draw);

} // namespace nutmegdrift::routing

#endif
