// Limits the requests to a cold replica.
#ifndef NUTMEGDRIFT_ROUTING_COLD_ALLOWANCE_H
#define NUTMEGDRIFT_ROUTING_COLD_ALLOWANCE_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>

namespace nutmegdrift::routing {

/// A token bucket for one cold replica. It starts empty, so that daemons that
/// start together do not all send at once.
class ColdAllowance {
public:
  /// Adds requests at the rate PerSecond. The bucket holds at most one request
  /// or the requests of an eighth of a second, whichever is more.
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
  /// Requests that may be sent now.
  [[nodiscard]] double value() const { return m_allowance; }

private:
  double m_allowance = 0.0;
  TimePoint m_refilled{};
};

/// Share of a cold replica's request rate that one daemon may use. The
/// service's dispatcher gets most of it; the rest is for daemons that can't
/// reach the dispatcher or take themselves for it.
double coldShare(bool IsDispatcher, std::size_t Daemons, Duration Uptime,
                 std::uint64_t Draw);

/// Share of the rate that a replica named which one daemon may use. The
/// dispatcher gets all of it, and the daemons that can't reach it a part of the
/// excess that replicas accept.
double limitShare(bool IsDispatcher, std::size_t Daemons, std::uint64_t Draw);

} // namespace nutmegdrift::routing

#endif
