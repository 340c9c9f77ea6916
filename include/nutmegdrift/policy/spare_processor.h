// How much of its processor a daemon has left for the work of others.
#ifndef NUTMEGDRIFT_POLICY_SPARE_PROCESSOR_H
#define NUTMEGDRIFT_POLICY_SPARE_PROCESSOR_H

#include "nutmegdrift/base/clock.h"

#include <optional>

namespace nutmegdrift::policy {

/// Decides the weight with which a daemon is a candidate for dispatching, by
/// its measured processor time. A dispatcher decides for the whole fleet, so a
/// VM that is overloaded by its own callers must not be one. Not thread-safe;
/// does no I/O.
class SpareProcessor {
public:
  /// Use of the share above which the daemon counts as overloaded. A VM that
  /// may use a part of a core is paused once it has used it up, so its use
  /// stays near 1 however much more it would need.
  static constexpr double BusyAbove = 0.9;
  /// Use below which it counts as calm again. The dispatcher's own work must
  /// not make the difference, or the role would move back and forth.
  static constexpr double CalmBelow = 0.5;
  /// Time for which the use must stay beyond a bound: longer than a burst.
  static constexpr Duration BusyFor = std::chrono::seconds(1);
  /// Longer than BusyFor, because each move of the role costs late placements.
  static constexpr Duration CalmFor = std::chrono::seconds(5);
  /// Weight of an overloaded daemon in relation to its share. Below the
  /// relative weight that a candidate needs, but above zero, so that fleets in
  /// which all daemons are overloaded still agree on one.
  static constexpr double BusyWeight = 0.5;

  /// Share: of a core that the daemon may use.
  explicit SpareProcessor(double Share) : m_share(Share) {}

  /// Used: processor time of the process since its start. To be called at
  /// regular intervals of BusyFor or less.
  void observe(Duration Used, TimePoint Now);
  [[nodiscard]] bool overloaded() const { return m_overloaded; }
  /// The share itself, exactly, while the daemon is not overloaded.
  [[nodiscard]] double weight() const {
    return m_overloaded ? m_share * BusyWeight : m_share;
  }

private:
  const double m_share;
  std::optional<TimePoint> m_lastSample;
  Duration m_lastUsed{0};
  bool m_overloaded = false;
  /// Since when each sample was beyond the bound of the other state.
  std::optional<TimePoint> m_beyondSince;
};

} // namespace nutmegdrift::policy

#endif
