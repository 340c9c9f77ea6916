// Which requests a busy daemon refuses at once.
#ifndef NUTMEGDRIFT_POLICY_LOAD_SHEDDER_H
#define NUTMEGDRIFT_POLICY_LOAD_SHEDDER_H

#include "nutmegdrift/base/clock.h"

#include <limits>
#include <map>
#include <string>

namespace nutmegdrift::policy {

/// Follows the lag of the event loop. A daemon whose processor can't bear its
/// requests would answer all of them late; refused at once, a part of them
/// leaves time for the others. What is left is shared max-min between the
/// workspaces, so one that asks for little loses nothing. A large request costs
/// the processor hardly more than a small one, so fewer large ones are refused.
/// Not thread-safe; decides without I/O.
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
  static constexpr double MaxRefusedShare = 0.9;
  /// Weight of the demand of the ticks before in each new tick: at a tick of
  /// 100 ms, a second counts most.
  static constexpr double DemandRetention = 0.9;
  /// What a request without tokens counts beside those with tokens: the size of
  /// a short prompt.
  static constexpr double BaseRequestTokens = 1000;
  /// Weight of the newest request in the mean size: the last hundred count
  /// most.
  static constexpr double SizeSmoothing = 0.01;

  /// Call at regular times. MeanLag: see gateway::LoopLag.
  void tick(Duration MeanLag);
  /// Notes a request of the workspace and tells whether it is refused. Tokens:
  /// prompt and most output. Draw: even over 0 to 1.
  bool shouldRefuse(const std::string &Workspace, double Tokens, double Draw);
  /// Part of the demand that is refused, 0 to MostRefused.
  [[nodiscard]] double refusedShare() const { return m_refusedShare; }

private:
  void updateServedDemand();

  double m_refusedShare = 0;
  /// Tokens by workspace, older ones weighted less.
  std::map<std::string, double> m_demand;
  double m_meanSize = BaseRequestTokens;
  /// Demand up to which a workspace is served in full.
  double m_servedDemand = std::numeric_limits<double>::infinity();
};

} // namespace nutmegdrift::policy

#endif
