// Rollouts of services: which replicas get new requests while a version is
// tried, and when the rollout is completed or rolled back.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_ROLLOUTS_H
#define NUTMEGDRIFT_GATEWAY_FLEET_ROLLOUTS_H

#include "nutmegdrift/gateway/fleet_messages.h"
#include "nutmegdrift/routing/replica_table.h"

#include <map>

namespace nutmegdrift::gateway {

/// The operators' order to roll out a version of a service.
struct RolloutOrder {
  std::string Service;
  std::string Version; ///< The version to roll out.
  Duration Length{0};  ///< Time after the order by which it must be completed.

  friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// Requests that a version may get until its order has ended.
struct TrialBounds {
  double Share = 0.1;   ///< Of all requests to the service.
  double Requests = 50; ///< In addition to the share.

  friend bool operator==(const TrialBounds &, const TrialBounds &) = default;
};

/// All rollouts known to this daemon. Daemons send each other the outcomes of
/// their requests; each daemon judges by all of them and may roll a version
/// back. One daemon reports to the operators. Does no I/O; not thread-safe.
///
/// Canary: some new replicas get a share of the requests of each route, at
/// first more of those with few requests, so that all routes are judged early
/// and with the old version beside the new one. There are as many of these
/// replicas as that share needs, so that each has its usual load and faults
/// under load become visible. Moving: all new requests go to the new version,
/// so that the old replicas drain before they are stopped and faults that need
/// more load than the canary's become visible. Moving is short, because until
/// the end of the rollout a bad version must not get more than a tenth of all
/// requests plus a fixed number.
///
/// A version is moved to, and completed, only if it is shown to be good (see
/// policy::VersionJudge). If that is still open near the end, it is rolled
/// back.
class FleetRollouts {
public:
  /// Fraction of an order's length after which the rollout is reported as
  /// completed. The rest is reserve for lost reports.
  static constexpr double CompletionFraction = 0.84;
  /// A version is moved to and completed when all daemons find it shown to be
  /// good, or after these fractions of the order's length, when most do. Each
  /// misses some outcomes.
  static constexpr double MajorityFraction = 0.88;
  static constexpr double ProvenMajority = 0.75;
  /// A verdict of another daemon counts for this time.
  static constexpr Duration VerdictAge = std::chrono::seconds(2);
  /// Fraction after which a version that is not shown to be good is rolled
  /// back; the later one is for the Moving stage, and for daemons that saw less
  /// of the trial than the others.
  static constexpr double UnprovenRollbackFraction = 0.92;
  static constexpr double LateRollbackFraction = 0.96;
  /// Limits of the Moving stage as a fraction of the order's length; it ends at
  /// CompletionFraction. With CanaryShare the new version gets 8 % of the
  /// requests until then.
  static constexpr double MinMovingFraction = 0.04;
  static constexpr double MaxMovingFraction = 0.30;
  /// Part of what the canary has left of the TrialBounds that the Moving stage
  /// uses. A small service needs it to show a fault.
  static constexpr double MovingPart = 0.8;
  /// Time between heartbeats in the Moving stage while outcomes are unsent.
  static constexpr Duration MovingHeartbeatInterval =
      std::chrono::milliseconds(200);
  /// Moving starts only after the new version has been tried, as far as this
  /// daemon knows, for this fraction of the order's length. A daemon that
  /// learned of the order late, or a version without requests, shows nothing.
  static constexpr double MinTrialFraction = 0.25;
  /// Outcomes of the new version that the canary should yield in addition to
  /// CanaryShare, over all routes and on one route, within this fraction of the
  /// order's length. It goes on at this rate on routes on which the version is
  /// not shown to be good.
  static constexpr double EarlyOutcomes = 30;
  static constexpr double MinEarlyOutcomesOfRoute = 4;
  static constexpr double EarlyFraction = 0.25;
  /// A route on which the old version fails more often gets no more than
  /// CanaryShare.
  static constexpr double MaxOldFailures = 0.8;
  /// Largest share of a route that the canary gets.
  static constexpr double MaxCanaryShare = 0.5;
  /// Smaller changes of the share of all routes together are not applied.
  static constexpr double MinShareChange = 0.01;
  /// The rates of routes are known after this time.
  static constexpr Duration RateTime = std::chrono::milliseconds(500);
  /// Moving starts only with at least this many new replicas per old one; fewer
  /// don't have the capacity.
  static constexpr double MinNewReplicaRatio = 0.5;
  /// Limits of the outcomes in one heartbeat, so that it fits into a datagram.
  /// The new version gets more room because its outcomes are rarer and decide.
  static constexpr std::size_t MaxReportedNew = 48;
  static constexpr std::size_t MaxReportedOld = 24;

  /// Parts of the TrialBounds after which the old version gets all requests
  /// again, in the canary and in all. The rest is for those that other daemons
  /// have sent meanwhile.
  static constexpr double CanaryTrialShare = 0.4;
  static constexpr double CanaryTrialRequests = 0.7;
  static constexpr double UsableTrialShare = 0.8;
  static constexpr double UsableTrialRequests = 0.9;

  /// Phase: of this daemon's first request to a canary, 0 to 1. With different
  /// phases the daemons of a small service send the meant share together.
  void setPhase(double Phase) { m_phase = Phase; }
  void setTrialBounds(const TrialBounds &Bounds) { m_trialBounds = Bounds; }
  /// Starts a rollout. If only the length of an order changed, its time begins
  /// anew and the outcomes so far count.
  void applyOrder(const RolloutOrder &Order, TimePoint Now);
  /// The operators withdrew the order.
  void withdraw(const std::string &Service);
  /// Records the result of an order as the platform's store has it. It is
  /// final: the platform stops the replicas of the other version at once.
  void recordResult(const std::string &Service, const std::string &Version,
                    RolloutStage Stage, const routing::ReplicaTable &Replicas);

  /// Records the outcome of a request of this daemon. Ignored without an order.
  void recordOutcome(const std::string &Service, const std::string &Version,
                     policy::VersionSample Sample);
  /// Records the pace of a stream of this daemon, which is no outcome yet.
  void recordPace(const std::string &Service, const std::string &Version,
                  policy::VersionSample Sample);
  /// Records that an answer to this daemon has not begun for Sample.FirstToken.
  void recordWait(const std::string &Service, const std::string &Version,
                  policy::VersionSample Sample);
  /// The time after which recordWait() should be called for a request that has
  /// no answer; nothing if no version of the service is tried.
  [[nodiscard]] std::optional<Duration>
  slowAfter(const std::string &Service, const policy::RouteName &Route) const;
  /// Outcomes recorded since the last call, for all other daemons.
  [[nodiscard]] std::vector<RolloutOutcome> drainOutcomes();
  [[nodiscard]] std::vector<RolloutStatus> statuses(TimePoint Now) const;
  /// Applies the contents of another daemon's heartbeat. Sender: its BootId.
  /// True if a stage changed.
  bool receive(BootId Sender, const std::vector<RolloutStatus> &Statuses,
               const std::vector<RolloutOutcome> &Outcomes, TimePoint Now);

  /// Applies changes that are due. True if a stage or the choice of replicas
  /// changed.
  bool tick(const routing::ReplicaTable &Replicas, TimePoint Now);
  /// Whether outcomes should be sent before the next regular heartbeat.
  [[nodiscard]] bool hasUrgentOutcomes() const;

  /// The replicas that may get new requests, with Replica::CanaryShare set on
  /// those that get only a share.
  [[nodiscard]] std::vector<routing::Replica *>
  select(const std::string &Service,
         const std::vector<routing::Replica *> &Usable) const;
  /// The same for one request that needs no dispatcher, without the replicas in
  /// Excluded. Retried requests go to the old version.
  [[nodiscard]] std::vector<routing::Replica *>
  selectForRequest(const std::string &Service, const policy::RouteName &Route,
                   const std::vector<routing::Replica *> &Usable, bool Repeated,
                   const std::set<routing::ReplicaId> &Excluded = {});
  /// Counts a request of this daemon.
  void recordSent(const routing::ReplicaRecord &Target);
  /// Whether a replica may get a request, whichever daemon chose it.
  [[nodiscard]] bool admits(const routing::ReplicaRecord &Record) const;

  /// The status of an order for the operators.
  struct Report {
    RolloutOrder Order;
    RolloutStage Stage = RolloutStage::Canary; ///< Moving is not reported.
    TimePoint Since{};  ///< Time of the last change of the report.
    std::string Reason; ///< Of a roll-back.
    /// For the log.
    RolloutStage Phase = RolloutStage::Canary; ///< Stage, but may be Moving.
    VersionRequests Sent{};                    ///< By all daemons.
    policy::OutcomeCounts New{};
    policy::OutcomeCounts Old{};
    double Evidence = 0.0; ///< See policy::VersionJudge.
    std::optional<policy::VersionDoubt> Doubt{};
    double CanaryShare = 0.0; ///< Of the requests, in the Canary stage.
    std::map<policy::RouteName, policy::VersionJudge::RouteOutcomes> Routes{};
  };
  [[nodiscard]] std::vector<Report> reports(TimePoint Now) const;

private:
  /// The requests of this daemon on one route in the Canary stage.
  struct RouteTrial {
    double Share = routing::CanaryShare; ///< Meant for the new version.
    double Due = 0.0;                    ///< Sum of Share over the requests.
    std::uint64_t New = 0;               ///< Sent to the new version.
  };

  struct RolloutState {
    RolloutOrder Order;
    TimePoint Started{};
    TimePoint Known{}; ///< When this daemon received the order.
    /// When this daemon learned of the first outcome of the new version.
    std::optional<TimePoint> FirstNewOutcome{};
    RolloutStage Stage = RolloutStage::Canary;
    bool ResultStored = false; ///< Stage is the result that the store has.
    TimePoint StageSince{};
    Duration MovingTime{0}; ///< Length of the Moving stage, at least.
    std::string Reason{};
    policy::VersionJudge Judge{};
    /// Other versions that existed when the rollout was completed.
    std::set<std::string> OldVersions{};
    VersionRequests Sent{}; ///< By this daemon.
    /// By each start of another daemon.
    std::map<BootId, VersionRequests> RemoteSent{};
    /// The same; with the time of the heartbeat.
    std::map<BootId, std::pair<TrialVerdict, TimePoint>> RemoteVerdicts{};
    std::map<policy::RouteName, RouteTrial> Routes{};
    double CanaryShare = routing::CanaryShare; ///< Of all routes together.
    /// The new version has got what it may get, see TrialBounds. In the Moving
    /// stage this is final.
    bool TrialSpent = false;

    [[nodiscard]] VersionRequests fleetSent() const;
  };

  /// Replicas of the service that may get requests.
  struct VersionReplicas {
    std::size_t Old = 0;
    std::size_t New = 0;
  };

  void addSample(RolloutState &Rollout, const std::string &Service,
                 const std::string &Version, policy::VersionSample Sample);
  void changeStage(RolloutState &Rollout, RolloutStage NewStage, TimePoint Now);
  void rollBack(RolloutState &Rollout, std::string Reason, TimePoint Now);
  /// When a rollout in the Moving stage may be completed.
  [[nodiscard]] static TimePoint completionTime(const RolloutState &Rollout);
  /// Whether the new version has got all requests that it may get until the
  /// order ends.
  [[nodiscard]] bool trialSpent(const RolloutState &Rollout,
                                const VersionReplicas &Usable,
                                TimePoint Now) const;
  /// Why the version must not be kept yet; empty if it is shown to be good.
  [[nodiscard]] static std::string unproven(const RolloutState &Rollout,
                                            TimePoint Now);
  [[nodiscard]] static TrialVerdict verdict(const RolloutState &Rollout,
                                            TimePoint Now);
  /// The part of the daemons with a verdict that find the version shown to be
  /// good, and the part that has to.
  [[nodiscard]] static double provenPart(const RolloutState &Rollout,
                                         TimePoint Now);
  [[nodiscard]] static double requiredPart(const RolloutState &Rollout,
                                           TimePoint Now);
  [[nodiscard]] static double rollbackFraction(const RolloutState &Rollout,
                                               TimePoint Now);
  /// Sets the share of each route. True if the number of canary replicas may
  /// change.
  bool updateShares(RolloutState &Rollout, TimePoint Now) const;
  /// Advances one rollout that has not ended. True if its stage changed.
  bool advance(RolloutState &Rollout, const routing::ReplicaTable &Replicas,
               TimePoint Now);
  [[nodiscard]] static VersionReplicas
  countReplicas(const RolloutState &Rollout,
                const routing::ReplicaTable &Replicas);
  static void addToJudge(RolloutState &Rollout,
                         const policy::VersionSample &Sample);
  [[nodiscard]] static TimePoint timeAtFraction(const RolloutState &Rollout,
                                                double Fraction);
  /// Length of the Moving stage as a fraction of the order's length.
  [[nodiscard]] double movingFraction(const RolloutState &Rollout,
                                      TimePoint Now) const;

  std::map<std::string, RolloutState> m_rollouts; ///< By service.
  TrialBounds m_trialBounds;
  double m_phase = 0.0;
  /// Statuses of orders that this daemon has not received yet.
  std::map<std::string, std::pair<RolloutStatus, TimePoint>> m_earlyStatuses;
  std::vector<RolloutOutcome> m_unsentOutcomes;
};

} // namespace nutmegdrift::gateway

#endif
