// Membership of one zone: renews this daemon's lease in the platform object
// "fleet/<zone>", writes renewals of others when this daemon is the zone
// writer, and keeps what is known about the other members.
#ifndef NUTMEGDRIFT_CONTROL_MEMBERSHIP_CONTROLLER_H
#define NUTMEGDRIFT_CONTROL_MEMBERSHIP_CONTROLLER_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/control/fleet_channel.h"
#include "nutmegdrift/control/zone_object.h"
#include "nutmegdrift/platform/object_store.h"
#include "nutmegdrift/policy/lease.h"
#include "nutmegdrift/policy/ownership_plan.h"

#include <functional>
#include <mutex>
#include <set>

namespace nutmegdrift::control {

/// What a daemon may do with the replicas it owns.
enum class HoldState {
  Stopped,    ///< No lease and no proof that nobody can claim: admit nothing.
  Leased,     ///< The lease runs.
  OutageFull, ///< Platform down; a majority of the cell confirms it.
  OutageHalf, ///< Platform down and isolated: half the limit.
};

struct MembershipOptions {
  MemberRecord Self; ///< Renewal and Leaving are set by the controller.
  /// Name behind "fleet/": the availability zone, or the region if it has at
  /// most policy::MaxCellSize daemons.
  std::string Scope;
  policy::LeaseTimes Times{};
  Duration RenewInterval = std::chrono::seconds(1);
  /// Short enough that a confirmed outage is known before the lease runs out.
  Duration ReadInterval = std::chrono::milliseconds(500);
  Duration HeartbeatInterval = std::chrono::seconds(1);
  Duration OutageHeartbeatInterval = std::chrono::milliseconds(500);
  /// Time for which a read has to fail before it counts as an outage, and for
  /// which a peer has to read again before its outage counts as over.
  Duration OutageDwell = std::chrono::milliseconds(500);
  Duration RecoveryDwell = std::chrono::seconds(1);
  /// The zone writer collects renewals for this long before it writes.
  Duration WriteBatchInterval = std::chrono::milliseconds(400);
  /// Bounds of the random wait after a write that lost a race.
  Duration MinRetryDelay = std::chrono::milliseconds(100);
  Duration MaxRetryDelay = std::chrono::milliseconds(500);
  /// An isolated holder stops after this time without a lease.
  Duration MaxIsolationTime = std::chrono::seconds(120);
  /// Members without a renewal for this long are removed from the object.
  /// Above MaxIsolationTime, so that a missing member admits nothing.
  Duration MemberTimeout = std::chrono::seconds(180);
  std::uint64_t Seed = 1; ///< Of the random waits.
};

/// Thread-safe. tick() is called about every 100 ms by one thread.
class MembershipController {
public:
  MembershipController(MembershipOptions Options, const Clock &Clk,
                       platform::ObjectStore &Store, FleetChannel &Channel,
                       EventLog &Log);

  /// Reads, renews and sends what is due.
  void tick();

  /// Starts a planned leave: the member record turns to leaving.
  void leave();

  void onLeaseRenewal(const DaemonName &From,
                      const LeaseRenewalMessage &Message);
  void onLeaseAck(const DaemonName &From, const LeaseAckMessage &Message);
  void onPeerHeartbeat(const DaemonName &From,
                       const PeerHeartbeatMessage &Message);
  void onPeerHeartbeatEcho(const DaemonName &From,
                           const PeerHeartbeatEchoMessage &Message);

  /// What may be done with owned replicas now.
  [[nodiscard]] HoldState holdState() const;
  /// The newest zone object read, and its version (0: none yet). The version
  /// is the fencing number on engine orders.
  [[nodiscard]] ZoneObject zone() const;
  [[nodiscard]] std::uint64_t version() const;
  /// Whether a read of the platform succeeded lately.
  [[nodiscard]] bool platformReadable() const;
  /// Whether the platform has been read without a gap for so long that every
  /// successor from an outage has recorded its take-over or stopped.
  [[nodiscard]] bool stableReads() const;
  /// Whether the platform is down and a majority of the cell confirms it now.
  [[nodiscard]] bool outageConfirmed() const;
  /// Whether the platform was unreadable for lease plus margin without a
  /// break, here and at the peers heard, so that every lease has run out.
  [[nodiscard]] bool leasesExpired() const;
  /// Whether Owner may have a majority of the cell, itself included, that
  /// reports that it cannot read the platform.
  [[nodiscard]] bool peersInOutage(const DaemonName &Owner) const;
  /// The observer's count of a member's lease; nothing if it was never seen.
  [[nodiscard]] std::optional<policy::LeaseObserver>
  leaseOf(const DaemonName &Name) const;
  /// Members whose lease runs, Self included; leaving ones only if asked for.
  [[nodiscard]] std::vector<DaemonName> liveMembers(bool WithLeaving) const;
  /// The members of this daemon's cell, Self included.
  [[nodiscard]] std::vector<DaemonName> cell() const;
  /// Cell members, Self included, that have not heard Name for lease plus
  /// margin, by their latest beats. Whoever counts here answers no beat of
  /// Name until the platform is back, so that Name loses its majority.
  [[nodiscard]] std::size_t
  membersWithoutHeartbeatFrom(const DaemonName &Name) const;
  /// This daemon's member record without its renewal.
  [[nodiscard]] const MemberRecord &self() const { return m_options.Self; }
  [[nodiscard]] const MembershipOptions &options() const { return m_options; }

  /// Changes the zone object by one conditional update. Change gets the newest
  /// zone object and returns false to write nothing; it runs again after a
  /// lost race, with the object that won. True if the change is known to be
  /// stored. Called only by the thread that calls tick().
  bool update(const std::function<bool(ZoneObject &)> &Change);

private:
  struct PeerState {
    std::optional<TimePoint> HeardAt; ///< Receipt of its last beat.
    std::optional<TimePoint> EchoOf;  ///< Send time of the last echoed beat.
    /// First of its latest run of echoes that say the platform is readable.
    std::optional<TimePoint> ReadableSince;
    std::map<DaemonName, Duration> HeartbeatAges;
    std::optional<TimePoint> AgesAt;
    bool Suppressed = false; ///< Gets no echo until the platform is back.
  };
  enum class Stored { Yes, No, LostRace };
  struct WaitingHeartbeat {
    LeaseRenewalMessage Message;
    TimePoint SentAfter; ///< Lower bound of its send time.
  };

  bool read();
  void adopt(ZoneObject Zone, std::uint64_t Version);
  void noteSeen();
  void noteUnreadable();
  void noteAck(std::uint64_t Renewal, std::uint64_t Version);
  Stored attempt(const std::function<bool(ZoneObject &)> &Change);
  Stored store(ZoneObject Next);
  bool readBack(const std::string &Nonce, TimePoint Started);
  void noteOwnWrite(std::uint64_t Version, TimePoint Started);
  [[nodiscard]] std::optional<TimePoint> sentAfter(std::uint64_t Known) const;
  [[nodiscard]] bool tooOld(const WaitingHeartbeat &Item, TimePoint Now) const;
  bool readDue();
  void renew();
  [[nodiscard]] bool needsOwnWrite() const;
  void writeRenewals();
  void applyRenewals(ZoneObject &Zone) const;
  void acknowledgeHeartbeats();
  void sendBeats();
  void forgiveOwnPause();
  void holdThroughOutage();
  void suppressSilent();
  [[nodiscard]] bool readableAt(TimePoint Now) const;
  [[nodiscard]] bool settledAt(TimePoint Now) const;
  [[nodiscard]] std::vector<DaemonName> cellLocked() const;
  [[nodiscard]] std::vector<DaemonName> liveLocked(bool WithLeaving) const;
  [[nodiscard]] bool echoFresh(const PeerState &Peer, TimePoint Now) const;
  [[nodiscard]] bool confirmedAt(TimePoint Now) const;
  [[nodiscard]] bool contradictedAt(TimePoint Now) const;
  [[nodiscard]] bool outageAt(TimePoint Now) const;
  [[nodiscard]] HoldState holdAt(TimePoint Now) const;
  [[nodiscard]] Duration longSilence() const {
    return m_options.Times.Lease + m_options.Times.Margin;
  }
  /// The last echo that confirms an outage is sent up to a recovery dwell and
  /// a read after its end, and counts for a lease.
  [[nodiscard]] Duration settleTime() const {
    return longSilence() + m_options.RecoveryDwell + 2 * m_options.ReadInterval;
  }

  MembershipOptions m_options;
  const Clock &m_clock;
  platform::ObjectStore &m_store;
  FleetChannel &m_channel;
  EventLog &m_log;
  const std::string m_object;

  /// Never held during a call of the store, so that a slow platform does not
  /// delay holdState(). The zone object changes only in the ticking thread.
  mutable std::mutex m_mutex;
  Random m_random;
  ZoneObject m_zone;
  std::uint64_t m_version = 0;
  std::uint64_t m_writes = 0;             ///< Part of the nonce.
  std::optional<TimePoint> m_lastRead;    ///< Empty after a failed read.
  std::optional<TimePoint> m_lastFailure; ///< Of a read.
  TimePoint m_peerReadAt{}; ///< Last echo that says a peer reads the platform.
  std::optional<TimePoint> m_readableSince; ///< Without a gap.
  std::optional<TimePoint> m_failingSince;  ///< Without a successful read.
  std::optional<TimePoint> m_lastTick;
  TimePoint m_nextRead{};
  TimePoint m_nextRenewal{};
  TimePoint m_nextBeat{};
  TimePoint m_nextWrite{};
  std::map<DaemonName, policy::LeaseObserver> m_views;
  policy::LeaseHolder m_holder;
  std::uint64_t m_renewal = 0;
  /// The lease ran out: ownership counts again only once a zone object of at
  /// least m_needVersion was read, since a claim may have been written.
  bool m_lapsed = true;
  std::optional<std::uint64_t> m_needVersion;
  /// Last time at which a majority confirmed the outage, while one lasts.
  std::optional<TimePoint> m_confirmedAt;
  /// A peer read the platform after the lease had run out, so a claim may be
  /// written. Stays set until the lease runs again, also if the peer fails.
  bool m_contradicted = false;
  bool m_isolated = false; ///< Stays set until reads have settled again.
  std::map<DaemonName, WaitingHeartbeat> m_heartbeats; ///< To be written.
  /// Versions that this daemon wrote, and when it started each write. Every
  /// higher version was written later, which holds even with stale reads.
  std::map<std::uint64_t, TimePoint> m_ownWrites;
  std::uint64_t m_knownVersion = 0; ///< Newest read or acknowledged.
  std::map<DaemonName, PeerState> m_peers;
  std::uint64_t m_beat = 0;
  std::map<std::uint64_t, TimePoint> m_beatTimes; ///< Within the lease.
};

} // namespace nutmegdrift::control

#endif
