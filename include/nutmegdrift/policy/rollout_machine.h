// The state machine of one rollout: which share of each route the new version
// gets, how many replicas should run it, and when it is rolled back.
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

/// What does not change during a rollout.
struct RolloutPlan {
  std::string Target; ///< Text form of the target.
  std::string Version;
  std::string OldVersion{};
  Duration FinishWithin{0}; ///< From the start of the rollout.
  std::uint64_t Order = 0;  ///< VersionOrder::Id that it carries out.

  friend bool operator==(const RolloutPlan &, const RolloutPlan &) = default;
};

/// Replicas of the target by what they run. A replica that is loading serves
/// neither version.
struct ReplicaCounts {
  std::size_t Old = 0;
  std::size_t New = 0;
  std::size_t Loading = 0;

  friend bool operator==(const ReplicaCounts &,
                         const ReplicaCounts &) = default;
};

/// The part of a rollout that another controller continues from.
struct RolloutProgress {
  RolloutPhase Phase = RolloutPhase::Loading;
  std::string Reason{};      ///< Why it is done or taken back.
  std::string DelayReason{}; ///< Why it can't finish in time; empty if it can.
  Duration Elapsed{0};       ///< Since the start of the rollout.
  Duration CanaryStarted{0}; ///< In elapsed time, once in canary.
  Duration RampStarted{0};   ///< In elapsed time, once in ramp.
  std::vector<RouteJudgement> Routes{};

  friend bool operator==(const RolloutProgress &,
                         const RolloutProgress &) = default;
};

/// What the rest of the system has to do now.
struct RolloutStep {
  /// Largest share of each route that the new version may get, 0 to 1.
  /// Routes not named get OtherShare.
  std::map<RouteName, double> Shares;
  double OtherShare = 0.0;
  /// Replicas that should run the new version, loading ones included.
  std::size_t TargetNewReplicas = 0;

  friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// Shortest times of the phases; RolloutMachine gives the reasons.
struct PhaseTimes {
  Duration MinCanary = std::chrono::seconds(60);
  Duration MinRamp = std::chrono::seconds(60);

  friend bool operator==(const PhaseTimes &, const PhaseTimes &) = default;
};

/// Decides the course of one rollout. Not thread-safe.
///
/// A route gets at most CanaryShare until it is judged good. The ramp rises in
/// proportion to time, so that the last load ends before the finish time. A
/// route with too little traffic for the usual number of pairs is judged by the
/// pairs it has after a quarter of the finish time, because it could never be
/// moved otherwise; it stays under test. While a route is not judged good, one
/// old replica is kept for it.
class RolloutMachine {
public:
  /// Bound on the share of a route that is not judged good.
  static constexpr double CanaryShare = 0.05;
  /// A canary takes at least this long, so that a fault that shows after some
  /// seconds is still found at the small share.
  static constexpr Duration MinCanary = PhaseTimes{}.MinCanary;
  /// A ramp takes at least this long, so that a fault under load is found
  /// before the old version is gone.
  static constexpr Duration MinRamp = PhaseTimes{}.MinRamp;
  /// The ramp is planned to end at this part of the finish time.
  static constexpr double PlannedEnd = 0.8;
  /// Part of the finish time after which a route is judged by what it has.
  static constexpr double SparseRouteWait = 0.25;

  /// LoadInterval: time between two load orders at the weight store's rate.
  RolloutMachine(RolloutPlan Plan, Duration LoadInterval,
                 RolloutProgress Saved = {}, PhaseTimes Times = {});

  void addSample(const VersionSample &Sample);
  /// Rolls back; also after the rollout is done.
  void rollBack(std::string Reason);
  /// Lets Elapsed pass and decides.
  RolloutStep advance(Duration Step, const ReplicaCounts &Counts);
  /// The weight store's rate changes with the number of rollouts.
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
