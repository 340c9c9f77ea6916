// Decides which requests an overloaded daemon refuses on arrival.
#ifndef NUTMEGDRIFT_POLICY_LOAD_SHEDDER_H
#define NUTMEGDRIFT_POLICY_LOAD_SHEDDER_H

#include "nutmegdrift/base/clock.h"

#include <limits>
#include <map>
#include <string>

namespace nutmegdrift::policy {

/// Controls the refused share of the demand by the lag of the event loop. A
/// daemon whose processor can't handle its requests would answer all of them
/// too late; refusing a share of them on arrival leaves time for the others.
/// The remaining demand is divided between the workspaces by max-min fairness,
/// so a workspace with little demand loses nothing. A large request takes
/// hardly more processor time than a small one, so fewer large ones are
/// refused. Not thread-safe; does no I/O.
class LoadShedder {
public:
  /// Lag above which the refused share rises. A VM with a tenth of a core is
  /// paused for up to 90 ms of each 100 ms, half of that on average.
  static constexpr Duration TargetLag = std::chrono::milliseconds(40);
  /// Largest increase per tick, at a lag of twice the target or more. With
  /// ticks of 100 ms, MaxRefusedShare is reached within three seconds.
  static constexpr double Rise = 0.03;
  /// Decrease per tick below the target. Slower than the rise, so that callers
  /// who were refused don't return to the same overload.
  static constexpr double Fall = 0.01;
  /// Some requests always pass, so that their load can be observed.
  static constexpr double MaxRefusedShare = 0.9;
  /// Weight of the previous demand after each tick. With ticks of 100 ms, the
  /// last second counts most.
  static constexpr double DemandRetention = 0.9;
  /// Demand, in tokens, of a request beside its own tokens: the size of a short
  /// prompt.
  static constexpr double BaseRequestTokens = 1000;
  /// Weight of the newest request in the moving mean of sizes. The last hundred
  /// count most.
  static constexpr double SizeSmoothing = 0.01;

  /// To be called at regular intervals. MeanLag: see gateway::LoopLag.
  void tick(Duration MeanLag);
  /// Records a request of the workspace and returns whether to refuse it.
  /// Tokens: of the prompt and the longest output. Draw: uniform in 0 to 1.
  bool shouldRefuse(const std::string &Workspace, double Tokens, double Draw);
  /// Share of the demand that is refused, 0 to MaxRefusedShare.
  [[nodiscard]] double refusedShare() const { return m_refusedShare; }

private:
  void updateServedDemand();

  double m_refusedShare = 0;
  /// Tokens by workspace, decayed by DemandRetention per tick.
  std::map<std::string, double> m_demand;
  double m_meanSize = BaseRequestTokens;
  /// Demand up to which a workspace is served in full.
  double m_servedDemand = std::numeric_limits<double>::infinity();
};

} // namespace nutmegdrift::policy

#endif
