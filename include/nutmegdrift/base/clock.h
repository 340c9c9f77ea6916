// Time sources. Decision logic never reads the system clock itself; it takes a
// Clock, so that tests run in virtual time.
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

/// Like SystemClock, but its monotonic time goes on while the machine is
/// suspended. Timers of the event loop don't, so they may seem late.
class SuspendAwareClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override;
  [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that moves only when told to. Thread-safe.
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
  /// Starts at one hour so that subtracting a window stays positive.
  Duration m_elapsed = std::chrono::hours(1);
};

} // namespace nutmegdrift

#endif
