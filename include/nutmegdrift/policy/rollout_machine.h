// The state machine of one rollout. It determines the new version's share of
// each route, the number of replicas that should run it, and its rollback.
#ifndef NUTMEGDRIFT_POLICY_ROLLOUT_MACHINE_H
#define NUTMEGDRIFT_POLICY_ROLLOUT_MACHINE_H

#include "nutmegdrift/policy/version_judge.h"

#include <map>
#include <string>

namespace nutmegdrift::policy {

enum class RolloutPhase { Loading, Canary, Ramp, Done, RolledBack };

/// "loading", "canary", "ramp", "done" or "taken-back".
std::string_view toString(RolloutPhase Phase);
std::optional<RolloutPhase> parseRolloutPhase(std::string_view Text);

/// The parameters of a rollout; constant while it runs.
struct RolloutPlan {
  std::string Target; ///< Text form of the target.
  std::string Version;
  std::string OldVersion{};
  Duration FinishWithin{0}; ///< From the start of the rollout.
  std::uint64_t Order = 0;  ///< VersionOrder::Id of the operator's order.

  friend bool operator==(const RolloutPlan &, const RolloutPlan &) = default;
};

/// Number of the target's replicas by the version that they serve. A loading
/// replica serves neither.
struct ReplicaCounts {
  std::size_t Old = 0;
  std::size_t New = 0;
  std::size_t Loading = 0;

  friend bool operator==(const ReplicaCounts &,
                         const ReplicaCounts &) = default;
};

/// State of a rollout from which another controller can continue.
struct RolloutProgress {
  RolloutPhase Phase = RolloutPhase::Loading;
  std::string Reason{};      ///< Why it is done or rolled back.
  std::string DelayReason{}; ///< Why it can't finish in time; empty if it can.
  Duration Elapsed{0};       ///< Since the start of the rollout.
  Duration CanaryStarted{0}; ///< In elapsed time, once in canary.
  Duration RampStarted{0};   ///< In elapsed time, once in ramp.
  std::vector<RouteJudgement> Routes{};

  friend bool operator==(const RolloutProgress &,
                         const RolloutProgress &) = default;
};

/// The shares and the number of replicas to apply now.
struct RolloutStep {
  /// Largest share of each route that the new version may get, 0 to 1. Routes
  /// that are not listed get OtherShare.
  std::map<RouteName, double> Shares;
  double OtherShare = 0.0;
  /// Replicas that should run the new version, loading ones included.
  std::size_t TargetNewReplicas = 0;

  friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// Least durations of the phases; see RolloutMachine for the reasons.
struct PhaseTimes {
  Duration MinCanary = std::chrono::seconds(60);
  Duration MinRamp = std::chrono::seconds(60);

  friend bool operator==(const PhaseTimes &, const PhaseTimes &) = default;
};

/// Advances one rollout through its phases. Not thread-safe.
///
/// The new version gets at most CanaryShare of a route until the route is
/// judged good. The ramp rises linearly with time, so that the last load ends
/// before the finish time. A route with too little traffic for the usual number
/// of pairs is judged by the pairs it has after SparseRouteWait, because its
/// traffic could never move otherwise; it stays under test. While a route is
/// not judged good, one old replica is kept for it.
class RolloutMachine {
public:
  /// Largest share of a route that is not judged good.
  static constexpr double CanaryShare = 0.05;
  /// A canary lasts at least this long, so that a fault that appears after some
  /// seconds is found while the share is small.
  static constexpr Duration MinCanary = PhaseTimes{}.MinCanary;
  /// A ramp lasts at least this long, so that a fault under load is found while
  /// the old version still runs.
  static constexpr Duration MinRamp = PhaseTimes{}.MinRamp;
  /// The ramp is planned to end after this part of FinishWithin.
  static constexpr double PlannedEnd = 0.8;
  /// Part of FinishWithin, counted from the start of the canary, after which a
  /// route is judged by the pairs it has.
  static constexpr double SparseRouteWait = 0.25;

  /// LoadInterval: least time between two load orders, from the rate of the
  /// weight store.
  RolloutMachine(RolloutPlan Plan, Duration LoadInterval,
                 RolloutProgress Saved = {}, PhaseTimes Times = {});

  void addSample(const VersionSample &Sample);
  /// Rolls the version back, in any phase.
  void rollBack(std::string Reason);
  /// Adds Step to the elapsed time and returns what to apply now.
  RolloutStep advance(Duration Step, const ReplicaCounts &Counts);
  /// The interval changes with the number of rollouts that share the weight
  /// store.
  void setLoadInterval(Duration Interval) { m_loadInterval = Interval; }

  [[nodiscard]] const RolloutPlan &plan() const { return m_plan; }
  [[nodiscard]] RolloutProgress progress() const;
  [[nodiscard]] RolloutPhase phase() const { return m_progress.Phase; }
  /// Whether the route may get more than CanaryShare.
  [[nodiscard]] bool judgedGood(const RouteName &Route) const;

private:
  void changePhase(const ReplicaCounts &Counts);
  [[nodiscard]] bool canaryPassed() const;
  [[nodiscard]] bool sparseTimePassed() const;
  [[nodiscard]] bool allJudgedGood() const;
  [[nodiscard]] double plannedShare(Duration Elapsed) const;
  [[nodiscard]] Duration rampTime() const;
  [[nodiscard]] double shareOf(const RouteName &Route, double Ramp) const;
  [[nodiscard]] RolloutStep step(const ReplicaCounts &Counts) const;
  [[nodiscard]] RolloutStep rollbackStep(const ReplicaCounts &Counts) const;
  void updateDelayReason(const ReplicaCounts &Counts);

  RolloutPlan m_plan;
  Duration m_loadInterval;
  PhaseTimes m_times;
  RolloutProgress m_progress; ///< Routes is filled only by progress().
  VersionJudge m_judge;
};

} // namespace nutmegdrift::policy

#endif
