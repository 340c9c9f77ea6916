// Time sources. Decision logic takes a Clock instead of reading the system
// clock, so that tests run in virtual time.
#ifndef NUTMEGDRIFT_BASE_CLOCK_H
#define NUTMEGDRIFT_BASE_CLOCK_H

#include <chrono>
#include <mutex>

namespace nutmegdrift {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::system_clock::time_point;

/// Source of monotonic and wall time.
class Clock {
public:
  virtual ~Clock() = default;
  /// Monotonic time. Leases, deadlines and expiries use only this.
  [[nodiscard]] virtual TimePoint now() const = 0;
  /// Wall time, for logs and the time line only.
  [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override;
  [[nodiscard]] WallTime wallNow() const override;
};

/// Like SystemClock, but its monotonic time advances while the machine is
/// suspended. Timers of the event loop do not advance then, so they may fire
/// late by this clock.
class SuspendAwareClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override;
  [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that advances only by advance(). Thread-safe.
///
/// \code
///   ManualClock Clk;
///   Clk.advance(std::chrono::seconds(3));
/// \endcode
class ManualClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override;
  [[nodiscard]] WallTime wallNow() const override;
  void advance(Duration Step);

private:
  mutable std::mutex m_mutex;
  /// Starts at one hour, so that a time minus a window stays positive.
  Duration m_elapsed = std::chrono::hours(1);
};

} // namespace nutmegdrift

#endif
