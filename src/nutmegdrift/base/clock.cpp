// System and manual clocks.
#include "nutmegdrift/base/clock.h"

#include <ctime>

namespace nutmegdrift {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

TimePoint SuspendAwareClock::now() const {
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

WallTime SuspendAwareClock::wallNow() const {
  return std::chrono::system_clock::now();
}

TimePoint ManualClock::now() const {
  const std::scoped_lock Lock(m_mutex);
  return TimePoint(m_elapsed);
}

WallTime ManualClock::wallNow() const {
  const std::scoped_lock Lock(m_mutex);
  return WallTime(std::chrono::duration_cast<WallTime::duration>(m_elapsed));
}

void ManualClock::advance(Duration Step) {
  const std::scoped_lock Lock(m_mutex);
  m_elapsed += Step;
}

} // namespace nutmegdrift
