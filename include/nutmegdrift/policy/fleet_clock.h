// The time that most daemons of the fleet agree on.
#ifndef NUTMEGDRIFT_POLICY_FLEET_CLOCK_H
#define NUTMEGDRIFT_POLICY_FLEET_CLOCK_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"

#include <map>
#include <optional>

namespace nutmegdrift::policy {

/// Wall time by the median of all daemons' clocks. It is kept as an offset from
/// this daemon's monotonic time, so that a jump of its own wall clock counts as
/// the jump of one daemon. Does no I/O; not thread-safe.
class FleetClock {
public:
  /// Smaller changes of the median are adopted at once; heartbeats are delayed
  /// by a few milliseconds, on a busy VM by up to 100 ms.
  static constexpr Duration SmallChange = std::chrono::milliseconds(100);
  /// A larger change of the median must last this long, unless more clocks than
  /// before support it. Heartbeats that were queued while this daemon was
  /// paused make all other clocks look late until the next ones.
  static constexpr Duration ConfirmationTime = std::chrono::seconds(2);
  /// An offset is used for this long; daemons of a large fleet send heartbeats
  /// every three seconds.
  static constexpr Duration Retention = std::chrono::seconds(30);

  /// Records the wall clock of a daemon, this one included.
  void observe(const DaemonName &Daemon, WallTime Wall, TimePoint Now);
  /// Adopts a changed median if it is due. To be called at regular intervals.
  void update(TimePoint Now);
  /// The fleet's time; the start of 1970 before the first update().
  [[nodiscard]] WallTime at(TimePoint Now) const;

private:
  struct Offset {
    Duration FromMonotonic{0};
    TimePoint Observed{};
  };

  [[nodiscard]] Duration median() const;

  std::map<DaemonName, Offset> m_offsets;
  Duration m_adopted{0};
  std::size_t m_supporters = 0; ///< Clocks known when m_adopted was adopted.
  std::optional<TimePoint> m_differsSince;
};

} // namespace nutmegdrift::policy

#endif
