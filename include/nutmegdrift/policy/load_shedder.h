// Which part of the requests a busy daemon refuses at once.
#ifndef NUTMEGDRIFT_POLICY_LOAD_SHEDDER_H
#define NUTMEGDRIFT_POLICY_LOAD_SHEDDER_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>

namespace nutmegdrift::policy {

/// Follows the lag of the event loop. A daemon whose processor can't bear its
/// requests would answer all of them late; refused at once, a part of them
/// leaves time for the others. Not thread-safe; decides without I/O.
class LoadShedder {
public:
  /// Lag above which more is refused. A VM with a tenth of a core is at rest
  /// for up to 90 ms of each 100 ms, half of that on average.
  static constexpr Duration TargetLag = std::chrono::milliseconds(40);
  /// Most that one tick adds, when the lag is twice the target or more. At a
  /// tick of 100 ms the greatest part is reached within three seconds.
  static constexpr double Rise = 0.03;
  /// What one tick below the target takes away; slower than the rise, so that
  /// the callers who were refused don't come back to the same overload.
  static constexpr double Fall = 0.01;
  /// Some requests always pass, so that what they cost is seen.
  static constexpr double MostRefused = 0.9;

  /// Call at regular times. MeanLag: see gateway::LoopLag.
  void tick(Duration MeanLag) {
    const double Over = std::chrono::duration<double>(MeanLag) /
                            std::chrono::duration<double>(TargetLag) -
                        1.0;
    m_part += Over > 0 ? Rise * std::min(Over, 1.0) : -Fall;
    m_part = std::clamp(m_part, 0.0, MostRefused);
  }
  /// Draw: even over 0 to 1.
  [[nodiscard]] bool refuses(double Draw) const { return Draw < m_part; }
  /// Part of the requests that is refused, 0 to MostRefused.
  [[nodiscard]] double part() const { return m_part; }

private:
  double m_part = 0;
};

} // namespace nutmegdrift::policy

#endif
