// Exclusive ownership of endpoint replicas: claims, hand-over with carry and
// the check before every admission.
#ifndef NUTMEGDRIFT_CONTROL_OWNERSHIP_CONTROLLER_H
#define NUTMEGDRIFT_CONTROL_OWNERSHIP_CONTROLLER_H

#include "nutmegdrift/control/membership_controller.h"
#include "nutmegdrift/control/object_follower.h"
#include "nutmegdrift/policy/claim_rules.h"

namespace nutmegdrift::control {

/// A replica that this daemon may send work to.
struct OwnedReplica {
  config::Replica Replica;
  double LimitFactor = 1.0;         ///< Share of Bears that may be used.
  std::size_t ResidualRequests = 0; ///< Of former owners, still running.
  /// Version of the zone object that first showed this ownership, so that it
  /// rises from owner to owner and stays the same for one of them.
  std::uint64_t FencingNumber = 0;

  friend bool operator==(const OwnedReplica &, const OwnedReplica &) = default;
  /// Requests that this daemon may run at once on the replica.
  [[nodiscard]] std::size_t limit() const {
    return policy::requestLimit(Replica.Bears, LimitFactor, ResidualRequests);
  }
};

/// Counts of running requests. Must not call back into the controller.
class RunningCounts {
public:
  virtual ~RunningCounts() = default;
  /// Requests of this daemon at the replica. A request counts from before its
  /// mayAdmit() check until its end.
  virtual std::size_t local(const config::ReplicaId &Id) = 0;
  /// Running count that the endpoint reports, of all daemons; nothing if it
  /// reports none.
  virtual std::optional<std::size_t>
  reported(const config::Replica &Replica) = 0;
};

struct OwnershipOptions {
  /// Availability zones whose replicas this daemon's scope owns; empty: all.
  std::set<std::string> Zones;
  Duration EndpointReadInterval = std::chrono::seconds(2);
  Duration ProbeInterval = std::chrono::milliseconds(300);
  Duration ResidualReportInterval = std::chrono::milliseconds(500);
  /// Time after the last confirmation of an outage within which a take-over has
  /// to be recorded. A confirmation lasts for at most a recovery dwell, a read
  /// and a lease after the outage, and the replaced owner reads the record up
  /// to a read later: together less than MembershipController's settle time.
  Duration TakeoverRecordTimeout = std::chrono::milliseconds(500);
  /// `limits.longest_request`: a carry without an update expires after it.
  Duration MaxRequestDuration = std::chrono::seconds(120);
};

/// Thread-safe. tick() is called after MembershipController::tick() by the
/// same thread.
class OwnershipController {
public:
  using ChangeHandler = std::function<void(const std::vector<OwnedReplica> &)>;

  OwnershipController(OwnershipOptions Options, MembershipController &Members,
                      const Clock &Clk, platform::ObjectStore &Store,
                      FleetChannel &Channel, RunningCounts &Running,
                      EventLog &Log);

  void tick();

  /// Called with all owned replicas after every change, from tick().
  void onChange(ChangeHandler Handler);

  /// Whether a request may go to the replica now. Checked directly before the
  /// first byte goes to the endpoint.
  [[nodiscard]] bool mayAdmit(const config::ReplicaId &Id) const;

  /// The replicas of the last change.
  [[nodiscard]] std::vector<OwnedReplica> owned() const;
  /// All known endpoint replicas of the scope.
  [[nodiscard]] std::vector<config::Replica> endpoints() const;

  /// Availability zones that operators took out of service: no admissions.
  void setEvacuatedZones(std::set<std::string> Zones);

  void onResidualRequests(const DaemonName &From,
                          const ResidualRequestsMessage &Message);
  void onHandover(const DaemonName &From, const HandoverMessage &Message);

  /// Planned stop: true once no replica is owned any more.
  [[nodiscard]] bool drained() const;

private:
  /// A replica in this daemon's hands. Used only by the ticking thread.
  struct Held {
    double Factor = policy::FullLimitFactor;
    std::size_t Carry = 0;
    std::uint64_t Epoch = 0;
    TimePoint CarryUntil{}; ///< The carry expires without an update.
    TimePoint FullAt{};     ///< From here on no former owner admits any more.
    std::uint64_t Fence = 0;
    DaemonName Previous{};     ///< Sends the carry updates.
    bool Claimed = false;      ///< Not handed over by Previous.
    bool PreviousGone = false; ///< It is dead or handed over itself.
    /// Taken during an outage and not yet recorded: the owner it replaces.
    std::optional<DaemonName> TakenFrom{};
    /// A hand-over is being written: admit nothing until a zone object above
    /// this version still names this daemon.
    std::optional<std::uint64_t> StoppedAt{};
    /// Receiver of a direct hand-over. The record must go to the same one.
    std::optional<DaemonName> GivenTo{};
    HandoverMessage Given{};
    bool GivenAcked = false;
  };
  /// Requests that still run here on a replica that has another owner.
  struct Trailing {
    DaemonName To;
    std::uint64_t Epoch = 0; ///< Of the new owner's record.
    std::size_t Extra = 0;   ///< Carry from owners before this one.
    TimePoint ExtraUntil{};
    int ZerosLeft = 3; ///< The final zero is repeated, since it may be lost.
  };
  /// A claim that the rules allow against one state of the zone object.
  struct Claim {
    config::ReplicaId Id;
    std::optional<OwnershipRecord> Seen{};
    std::uint64_t SeenRenewal = 0; ///< Of the owner, 0 without a member.
    OwnershipRecord Next{};
  };
  using Inbox = std::vector<std::pair<DaemonName, HandoverMessage>>;

  void readEndpoints();
  [[nodiscard]] bool inScope(const config::Replica &At) const;
  void takeEndpoint(const platform::Change &Item);
  void readMessages();
  void takeCarry(const DaemonName &From,
                 const ResidualRequestsMessage &Message);
  void takeHandover(const DaemonName &From, const HandoverMessage &Message);
  void followRecords();
  void startHolding(const config::ReplicaId &Id, Held Mine);
  void raiseFactor(Held &Mine, TimePoint Now) const;
  void followHeld(const config::ReplicaId &Id, const OwnershipRecord &Record);
  void release(const config::ReplicaId &Id, const DaemonName &To,
               std::uint64_t Epoch);
  void dropLateTakeovers();
  void recordTakeovers();
  bool recordTakeover(ZoneObject &Next, const config::ReplicaId &Id,
                      const Held &Mine) const;
  void probeOwners();
  void claimDue();
  std::optional<Claim> claimFor(const config::Replica &At);
  [[nodiscard]] policy::ClaimConditions
  factsFor(const OwnershipRecord *Record) const;
  void takeOverInOutage();
  void handOverDue();
  [[nodiscard]] std::vector<config::ReplicaId>
  withoutEndpoint(const std::vector<config::Replica> &Known) const;
  void stop(Held &Mine, const config::ReplicaId &Id);
  void giveByRecord(const std::map<config::ReplicaId, DaemonName> &Due);
  void giveByMessage(const config::ReplicaId &Id, Held &Mine,
                     const DaemonName &To);
  void sendCarries();
  void publish();
  [[nodiscard]] std::size_t runningAt(const config::ReplicaId &Id,
                                      const Held &Mine) const;
  /// The first in rank of the sorted Candidates that is not proven dead.
  DaemonName wantedOwner(const config::Replica &At,
                         const std::vector<DaemonName> &Candidates,
                         const DaemonName &Except = {});
  const std::vector<DaemonName> &ranking(const config::Replica &At);
  void resetRankings();
  [[nodiscard]] bool provenDead(const DaemonName &Name, BootId Boot) const;
  [[nodiscard]] bool ownedBySelf(const OwnershipRecord &Record) const;
  [[nodiscard]] double factorNow(const Held &Mine, HoldState State) const;
  [[nodiscard]] OwnershipRecord recordFor(const Held &Mine) const;
  [[nodiscard]] std::vector<DaemonName> cellSuccessors() const;

  OwnershipOptions m_options;
  MembershipController &m_members;
  const Clock &m_clock;
  FleetChannel &m_channel;
  RunningCounts &m_running;
  EventLog &m_log;

  // Used only by the ticking thread.
  ZoneObject m_zone; ///< The view of this tick.
  std::uint64_t m_version = 0;
  TimePoint m_nextEndpoints{};
  TimePoint m_nextProbe{};
  TimePoint m_nextCarry{};
  TimePoint m_confirmedAt{}; ///< When an outage was last seen confirmed.
  /// Reads only changes: a list of all endpoints every two seconds took 71 KB/s
  /// a daemon at 740 replicas.
  ObjectFollower m_endpointObjects;
  std::map<std::string, config::Replica> m_parsed; ///< By object name.
  std::vector<policy::PlanMember> m_ranked; ///< What m_rankings are over.
  std::map<config::ReplicaId, std::vector<DaemonName>> m_rankings;
  std::map<config::ReplicaId, Held> m_held;
  std::map<config::ReplicaId, Trailing> m_trailing;
  /// Boots whose process is proven to be gone.
  std::set<std::pair<DaemonName, BootId>> m_dead;

  mutable std::mutex m_mutex; ///< Guards the members below.
  ChangeHandler m_handler;
  std::map<config::ReplicaId, config::Replica> m_endpoints;
  std::set<std::string> m_zonesOut;
  std::vector<std::pair<DaemonName, ResidualRequestsMessage>> m_carries;
  Inbox m_handovers;
  bool m_empty = true; ///< Nothing is held.
  std::map<config::ReplicaId, OwnedReplica> m_published;
  /// Replicas left m_published since the handler was last called.
  bool m_withdrawn = false;
  /// Published replicas that are held only by an outage take-over.
  std::set<config::ReplicaId> m_unrecorded;
  HoldState m_publishedState = HoldState::Stopped;
};

} // namespace nutmegdrift::control

#endif
