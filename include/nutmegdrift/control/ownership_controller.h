// Exclusive ownership of endpoint replicas: claims, hand-overs that account for
// the requests of previous owners, and the check before every admission.
#ifndef NUTMEGDRIFT_CONTROL_OWNERSHIP_CONTROLLER_H
#define NUTMEGDRIFT_CONTROL_OWNERSHIP_CONTROLLER_H

#include "nutmegdrift/control/membership_controller.h"
#include "nutmegdrift/control/object_follower.h"
#include "nutmegdrift/policy/claim_rules.h"

namespace nutmegdrift::control {

/// A replica that this daemon may send requests to.
struct OwnedReplica {
  config::Replica Replica;
  double LimitFactor = 1.0;         ///< Share of the capacity that may be used.
  std::size_t ResidualRequests = 0; ///< Of previous owners, still running.
  /// Version of the zone object that first showed this ownership: constant for
  /// an owner, higher for each next owner.
  std::uint64_t FencingNumber = 0;

  friend bool operator==(const OwnedReplica &, const OwnedReplica &) = default;
  /// Maximum number of concurrent requests of this daemon on the replica.
  [[nodiscard]] std::size_t limit() const {
    return policy::requestLimit(Replica.Capacity, LimitFactor,
                                ResidualRequests);
  }
};

/// Source of the numbers of running requests. Implementations must not call
/// back into the controller.
class RunningCounts {
public:
  virtual ~RunningCounts() = default;
  /// Requests of this daemon on the replica. A request counts from before its
  /// mayAdmit() check until it ends.
  virtual std::size_t local(const config::ReplicaId &Id) = 0;
  /// Running requests of all daemons as the endpoint reports them; nothing if
  /// it reports none.
  virtual std::optional<std::size_t>
  reported(const config::Replica &Replica) = 0;
};

struct OwnershipOptions {
  /// Availability zones whose replicas this daemon's scope covers; empty: all.
  std::set<std::string> Zones;
  Duration EndpointReadInterval = std::chrono::seconds(2);
  Duration ProbeInterval = std::chrono::milliseconds(300);
  Duration ResidualReportInterval = std::chrono::milliseconds(500);
  /// A take-over has to be recorded within this time after the last
  /// confirmation of the outage. Confirmations end at most RecoveryDwell, one
  /// read and one lease after the outage, and the replaced owner reads the
  /// record at most one read later: in total less than
  /// MembershipController::stableReadTime().
  Duration TakeoverRecordTimeout = std::chrono::milliseconds(500);
  /// `limits.longest_request`: a count of residual requests expires after this
  /// time without an update.
  Duration MaxRequestDuration = std::chrono::seconds(120);
};

/// Thread-safe. tick() is called after MembershipController::tick(), by the
/// same thread.
class OwnershipController {
public:
  using ChangeHandler = std::function<void(const std::vector<OwnedReplica> &)>;

  OwnershipController(OwnershipOptions Options, MembershipController &Members,
                      const Clock &Clk, platform::ObjectStore &Store,
                      FleetChannel &Channel, RunningCounts &Running,
                      EventLog &Log);

  void tick();

  /// Sets the handler that tick() calls with all owned replicas after a change.
  void onChange(ChangeHandler Handler);

  /// Whether a request may be sent to the replica now. To be checked directly
  /// before the first byte is sent to the endpoint.
  [[nodiscard]] bool mayAdmit(const config::ReplicaId &Id) const;

  /// The owned replicas as of the last change.
  [[nodiscard]] std::vector<OwnedReplica> owned() const;
  /// All known endpoint replicas of the scope.
  [[nodiscard]] std::vector<config::Replica> endpoints() const;

  /// Sets the availability zones that operators have evacuated. Their replicas
  /// admit no requests.
  void setEvacuatedZones(std::set<std::string> Zones);

  void onResidualRequests(const DaemonName &From,
                          const ResidualRequestsMessage &Message);
  void onHandover(const DaemonName &From, const HandoverMessage &Message);

  /// For a planned stop: whether all replicas have been handed over.
  [[nodiscard]] bool drained() const;

private:
  /// A replica that this daemon owns or has taken over. Used only by the
  /// ticking thread.
  struct HeldReplica {
    double Factor = policy::FullLimitFactor;
    std::size_t ResidualRequests = 0;
    std::uint64_t Epoch = 0;
    TimePoint ResidualUntil{}; ///< ResidualRequests expires without an update.
    TimePoint FullLimitAt{};   ///< From then on no previous owner admits.
    std::uint64_t FencingNumber = 0;
    DaemonName Previous{};        ///< Reports the residual requests.
    bool Claimed = false;         ///< Not handed over by Previous.
    bool PreviousStopped = false; ///< It has ended or handed over.
    /// For a take-over during an outage that is not yet recorded: the owner
    /// that this daemon replaces.
    std::optional<DaemonName> ReplacedOwner{};
    /// Set while a hand-over is being written: admit nothing until a zone
    /// object above this version still names this daemon.
    std::optional<std::uint64_t> StoppedAtVersion{};
    /// Receiver of a direct hand-over. The record must name the same daemon.
    std::optional<DaemonName> Receiver{};
    HandoverMessage Handover{};
    bool HandoverAcked = false;
  };
  /// Requests of this daemon that still run on a replica of another owner.
  struct ResidualLoad {
    DaemonName NewOwner;
    std::uint64_t Epoch = 0;           ///< Of the new owner's record.
    std::size_t InheritedRequests = 0; ///< Of owners before this daemon.
    TimePoint InheritedUntil{};
    /// The final report of zero is repeated, since messages may be lost.
    int RemainingZeroReports = 3;
  };
  /// A claim that the rules allow, with the state of the zone object that it
  /// depends on.
  struct Claim {
    config::ReplicaId Id;
    std::optional<OwnershipRecord> ExpectedRecord{};
    std::uint64_t ExpectedRenewal = 0; ///< Of the owner; 0 if not a member.
    OwnershipRecord NewRecord{};
  };
  using Inbox = std::vector<std::pair<DaemonName, HandoverMessage>>;

  void readEndpoints();
  [[nodiscard]] bool inScope(const config::Replica &Replica) const;
  void applyEndpointChange(const platform::Change &Item);
  void processMessages();
  void applyResidualRequests(const DaemonName &From,
                             const ResidualRequestsMessage &Message);
  void applyHandover(const DaemonName &From, const HandoverMessage &Message);
  void reconcileRecords();
  void acquire(const config::ReplicaId &Id, HeldReplica Held);
  void raiseLimitFactor(HeldReplica &Held, TimePoint Now) const;
  void reconcileReplica(const config::ReplicaId &Id,
                        const OwnershipRecord &Record);
  void release(const config::ReplicaId &Id, const DaemonName &To,
               std::uint64_t Epoch);
  void dropExpiredTakeovers();
  void recordOutageChanges();
  bool recordOutageChange(ZoneObject &Next, const config::ReplicaId &Id,
                          const HeldReplica &Held) const;
  void probeOwners();
  void claimReplicas();
  std::optional<Claim> claimFor(const config::Replica &Replica);
  [[nodiscard]] policy::ClaimConditions
  claimConditions(const OwnershipRecord *Record) const;
  void takeOverInOutage();
  void handOverReplicas();
  [[nodiscard]] std::vector<config::ReplicaId>
  heldWithoutEndpoint(const std::vector<config::Replica> &Endpoints) const;
  void stopAdmissions(HeldReplica &Held, const config::ReplicaId &Id);
  void
  handOverByRecord(const std::map<config::ReplicaId, DaemonName> &Receivers);
  void handOverByMessage(const config::ReplicaId &Id, HeldReplica &Held,
                         const DaemonName &To);
  void reportResidualRequests();
  void publish();
  [[nodiscard]] std::size_t runningRequests(const config::ReplicaId &Id,
                                            const HeldReplica &Held) const;
  /// The first of the sorted Candidates in the replica's ranking that is not
  /// proven dead; empty if there is none.
  DaemonName preferredOwner(const config::Replica &Replica,
                            const std::vector<DaemonName> &Candidates,
                            const DaemonName &Excluded = {});
  const std::vector<DaemonName> &ranking(const config::Replica &Replica);
  void resetRankings();
  [[nodiscard]] bool provenDead(const DaemonName &Name, BootId Boot) const;
  [[nodiscard]] bool ownedBySelf(const OwnershipRecord &Record) const;
  [[nodiscard]] double effectiveFactor(const HeldReplica &Held,
                                       HoldState State) const;
  [[nodiscard]] OwnershipRecord recordFor(const HeldReplica &Held) const;
  [[nodiscard]] std::vector<DaemonName> cellSuccessors() const;

  OwnershipOptions m_options;
  MembershipController &m_members;
  const Clock &m_clock;
  FleetChannel &m_channel;
  RunningCounts &m_running;
  EventLog &m_log;

  // Used only by the ticking thread.
  ZoneObject m_zone; ///< As of this tick.
  std::uint64_t m_version = 0;
  TimePoint m_nextEndpointRead{};
  TimePoint m_nextProbe{};
  TimePoint m_nextResidualReport{};
  TimePoint m_lastOutageConfirmation{};
  /// Reads only changes: a list of all endpoints every two seconds took 71 KB/s
  /// per daemon at 740 replicas.
  ObjectFollower m_endpointObjects;
  std::map<std::string, config::Replica> m_endpointRecords; ///< By object name.
  std::vector<policy::PlanMember> m_rankedMembers; ///< Basis of m_rankings.
  std::map<config::ReplicaId, std::vector<DaemonName>> m_rankings;
  std::map<config::ReplicaId, HeldReplica> m_heldReplicas;
  std::map<config::ReplicaId, ResidualLoad> m_residualLoads;
  /// Boots whose process has provably ended.
  std::set<std::pair<DaemonName, BootId>> m_deadBoots;

  mutable std::mutex m_mutex; ///< Guards the members below.
  ChangeHandler m_handler;
  std::map<config::ReplicaId, config::Replica> m_endpoints;
  std::set<std::string> m_evacuatedZones;
  std::vector<std::pair<DaemonName, ResidualRequestsMessage>>
      m_residualMessages;
  Inbox m_handoverMessages;
  bool m_allHandedOver = true; ///< Also if nothing is held.
  std::map<config::ReplicaId, OwnedReplica> m_published;
  /// Replicas were removed from m_published since the handler was last called.
  bool m_withdrawn = false;
  /// Published replicas held by a take-over that is not yet recorded.
  std::set<config::ReplicaId> m_unrecordedTakeovers;
  HoldState m_publishedState = HoldState::Stopped;
};

} // namespace nutmegdrift::control

#endif
