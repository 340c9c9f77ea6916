// Moves of services to another version: which replicas take new requests while
// a version is tried, and when the move is over or taken back.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_ROLLOUTS_H
#define NUTMEGDRIFT_GATEWAY_FLEET_ROLLOUTS_H

#include "nutmegdrift/gateway/fleet_messages.h"
#include "nutmegdrift/routing/replica_table.h"

#include <map>

namespace nutmegdrift::gateway {

/// The operators' order to move a service to another version.
struct RolloutOrder {
  std::string Service;
  std::string Version; ///< The one to move to.
  Duration Length{0};  ///< Time after the order by which the move is over.

  friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// All roll-outs that this daemon knows of. Every daemon judges by the outcomes
/// that all daemons tell each other, and each may take a version back; one
/// daemon reports to the operators. Decides without I/O; not thread-safe.
///
/// Canary: some new replicas get CanaryShare of the requests, so that each of
/// them bears its usual load and a fault under load shows. Moving: all new
/// requests go to the new version, so that the old replicas run empty before
/// they are stopped, and a fault shows that the canary's load did not bring
/// out. The time of Moving is short, because until the end of the move a bad
/// version must not get more than a tenth of all requests and a fixed number.
class FleetRollouts {
public:
  /// Part of an order's length after which the move is reported as completed.
  /// What is left is time for reports that are lost.
  static constexpr double CompletionFraction = 0.84;
  /// Least and greatest part of an order's length for which requests move
  /// before that. With CanaryShare the new version gets 8 % of the requests
  /// until then.
  static constexpr double MinMovingFraction = 0.04;
  static constexpr double MaxMovingFraction = 0.30;
  /// Requests beside MinMovingFraction that the new version gets while they
  /// move: a few more than half of the fixed number allowed. A small service
  /// would get too few otherwise to show a fault.
  static constexpr double MovingRequestAllowance = 30;
  /// Time between two beats while requests move and outcomes are to be told.
  static constexpr Duration MovingHeartbeatInterval =
      std::chrono::milliseconds(200);
  /// Requests move only if at least this many new replicas take requests for
  /// each old one; fewer could not bear the load.
  static constexpr double MinNewReplicaRatio = 0.5;
  /// Outcomes told in one beat, so that a beat fits into a datagram. Those of
  /// the new version are rarer and decide, so they go first.
  static constexpr std::size_t MaxReportedNew = 48;
  static constexpr std::size_t MaxReportedOld = 24;

  /// Takes an order, or a changed one, which starts anew.
  void applyOrder(const RolloutOrder &Order, TimePoint Now);
  /// The operators withdrew the order.
  void withdraw(const std::string &Service);
  /// The platform's store reports how the order ended.
  void recordResult(const std::string &Service, const std::string &Version,
                    RolloutStage Stage, const routing::ReplicaTable &Replicas);

  /// The outcome of a request of this daemon. Ignored without an order.
  void recordOutcome(const std::string &Service, const std::string &Version,
                     policy::VersionSample Sample);
  /// Outcomes noted since the last call, for all other daemons.
  [[nodiscard]] std::vector<RolloutOutcome> drainOutcomes();
  [[nodiscard]] std::vector<RolloutStatus> statuses(TimePoint Now) const;
  /// Another daemon's beat. True if a stage changed.
  bool receive(const std::vector<RolloutStatus> &News,
               const std::vector<RolloutOutcome> &Outcomes, TimePoint Now);

  /// Lets time pass. True if a stage changed. Daemons: live ones, this one
  /// included.
  bool tick(const routing::ReplicaTable &Replicas, std::size_t Daemons,
            TimePoint Now);
  /// Whether outcomes should be told at once.
  [[nodiscard]] bool hasUrgentOutcomes() const;

  /// The replicas that may take new requests, with Replica::Canary set on those
  /// that get only CanaryShare.
  [[nodiscard]] std::vector<routing::Replica *>
  select(const std::string &Service,
         const std::vector<routing::Replica *> &Usable) const;
  /// The same for one request that needs no dispatcher. Repeated requests go to
  /// the old version.
  [[nodiscard]] std::vector<routing::Replica *>
  selectForRequest(const std::string &Service,
                   const std::vector<routing::Replica *> &Usable,
                   bool Repeated) const;
  /// A request of this daemon that needed no dispatcher was sent.
  void recordSent(const routing::ReplicaRecord &To);
  /// Whether a replica may get a request, whoever chose it.
  [[nodiscard]] bool admits(const routing::ReplicaRecord &Record) const;

  /// What should be reported about an order.
  struct Report {
    RolloutOrder Order;
    RolloutStage Stage = RolloutStage::Canary; ///< Moving is not reported.
    TimePoint Since{};                         ///< When this became the report.
    std::string Reason; ///< Of a version that was taken back.
  };
  [[nodiscard]] std::vector<Report> reports(TimePoint Now) const;

private:
  struct Move {
    RolloutOrder Order;
    TimePoint Started{};
    RolloutStage Stage = RolloutStage::Canary;
    TimePoint StageSince{};
    std::string Reason{};
    policy::VersionJudge Judge{};
    /// Versions beside the ordered one when it was completed.
    std::set<std::string> OldVersions{};
    std::uint64_t Sent = 0;       ///< By this daemon, without a dispatcher.
    std::uint64_t SentCanary = 0; ///< Of these, to the new version.
    std::uint64_t Answered = 0;   ///< Outcomes of this daemon.
  };

  void changeStage(Move &Of, RolloutStage To, TimePoint Now);
  [[nodiscard]] static TimePoint after(const Move &Of, double Part);
  /// Part of the order's length for which requests move.
  [[nodiscard]] static double movingPart(const Move &Of, std::size_t Daemons,
                                         TimePoint Now);

  std::map<std::string, Move> m_moves; ///< By service.
  /// News of orders that this daemon has not seen yet.
  std::map<std::string, std::pair<RolloutStatus, TimePoint>> m_early;
  std::vector<RolloutOutcome> m_noted; ///< Not told yet.
};

} // namespace nutmegdrift::gateway

#endif
