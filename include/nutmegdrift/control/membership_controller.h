// Membership of one zone: renews this daemon's lease in the platform object
// "fleet/<zone>", writes the renewals of other members while this daemon is the
// zone writer, and tracks the leases and heartbeats of the other members.
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

/// How a daemon may use the replicas it owns.
enum class HoldState {
  Stopped,    ///< No lease, and another daemon may claim: admit nothing.
  Leased,     ///< The lease is valid.
  OutageFull, ///< Platform outage confirmed by a majority of the cell.
  OutageHalf, ///< Platform outage, and isolated: half the limit.
};

struct MembershipOptions {
  MemberRecord Self; ///< Renewal and Leaving are set by the controller.
  /// Name after "fleet/": the availability zone, or the region if it has at
  /// most policy::MaxCellSize daemons.
  std::string Scope;
  policy::LeaseTimes Times{};
  Duration RenewInterval = std::chrono::seconds(1);
  /// Short enough that an outage is confirmed before the lease expires.
  Duration ReadInterval = std::chrono::milliseconds(500);
  Duration HeartbeatInterval = std::chrono::seconds(1);
  Duration OutageHeartbeatInterval = std::chrono::milliseconds(500);
  /// Reads that fail for OutageDwell count as an outage; a peer's outage is
  /// over once the peer has read again for RecoveryDwell.
  Duration OutageDwell = std::chrono::milliseconds(500);
  Duration RecoveryDwell = std::chrono::seconds(1);
  /// Time for which the zone writer collects renewals before it writes them.
  Duration WriteBatchInterval = std::chrono::milliseconds(400);
  /// Bounds of the random delay after a write that lost a race.
  Duration MinRetryDelay = std::chrono::milliseconds(100);
  Duration MaxRetryDelay = std::chrono::milliseconds(500);
  /// An isolated owner stops admitting after this time without a lease.
  Duration MaxIsolationTime = std::chrono::seconds(120);
  /// Members without a renewal for this time are removed from the zone object.
  /// Above MaxIsolationTime, so that a removed member admits nothing.
  Duration MemberTimeout = std::chrono::seconds(180);
  std::uint64_t Seed = 1; ///< Of the random delays.
};

/// Thread-safe. One thread calls tick() about every 100 ms.
class MembershipController {
public:
  MembershipController(MembershipOptions Options, const Clock &Clk,
                       platform::ObjectStore &Store, FleetChannel &Channel,
                       EventLog &Log);

  /// Runs the reads, renewals, writes and heartbeats that are due.
  void tick();

  /// Starts a planned leave: marks this daemon's member record as leaving.
  void leave();

  void onLeaseRenewal(const DaemonName &From,
                      const LeaseRenewalMessage &Message);
  void onLeaseAck(const DaemonName &From, const LeaseAckMessage &Message);
  void onPeerHeartbeat(const DaemonName &From,
                       const PeerHeartbeatMessage &Message);
  void onPeerHeartbeatEcho(const DaemonName &From,
                           const PeerHeartbeatEchoMessage &Message);

  /// How the owned replicas may be used now.
  [[nodiscard]] HoldState holdState() const;
  /// The newest zone object read and its version, 0 before the first read. The
  /// version is the fencing number of orders to engines.
  [[nodiscard]] ZoneObject zone() const;
  [[nodiscard]] std::uint64_t version() const;
  /// Whether the latest read of the platform succeeded, at most MaxReadGap ago.
  [[nodiscard]] bool platformReadable() const;
  /// Whether the platform has been read without a gap for so long that every
  /// successor of an outage has recorded its take-over or stopped.
  [[nodiscard]] bool stableReads() const;
  /// Whether a majority of the cell confirms a platform outage now.
  [[nodiscard]] bool outageConfirmed() const;
  /// Whether the platform was unreadable for lease plus margin without a
  /// break, here and at all peers that answer, so that every lease has expired.
  [[nodiscard]] bool leasesExpired() const;
  /// Whether Owner may be part of a majority of the cell that reports that it
  /// cannot read the platform.
  [[nodiscard]] bool peersInOutage(const DaemonName &Owner) const;
  /// This observer's view of a member's lease; nothing for unknown members.
  [[nodiscard]] std::optional<policy::LeaseObserver>
  leaseOf(const DaemonName &Name) const;
  /// Members with a valid lease, Self included.
  [[nodiscard]] std::vector<DaemonName> liveMembers(bool IncludeLeaving) const;
  /// The members of this daemon's cell, Self included.
  [[nodiscard]] std::vector<DaemonName> cell() const;
  /// Cell members, Self included, that have received no heartbeat of Name for
  /// lease plus margin, by their latest heartbeats. They do not echo heartbeats
  /// of Name until the platform is readable, so that Name loses its majority.
  [[nodiscard]] std::size_t
  membersWithoutHeartbeatFrom(const DaemonName &Name) const;
  /// This daemon's member record without its renewal.
  [[nodiscard]] const MemberRecord &self() const { return m_options.Self; }
  [[nodiscard]] const MembershipOptions &options() const { return m_options; }

  /// Changes the zone object by a conditional write. Change edits the newest
  /// zone object and returns false to write nothing; after a lost race it runs
  /// again on the object of the winner. Returns true if the change is known to
  /// be stored. Only for the thread that calls tick().
  bool update(const std::function<bool(ZoneObject &)> &Change);

private:
  struct PeerState {
    std::optional<TimePoint> LastHeartbeat; ///< Time of receipt.
    /// Send time of this daemon's newest heartbeat that the peer echoed.
    std::optional<TimePoint> EchoedSendTime;
    /// First echo of its current run that reports a readable platform.
    std::optional<TimePoint> ReadableSince;
    std::map<DaemonName, Duration> HeartbeatAges;
    std::optional<TimePoint> AgesReceivedAt;
    bool EchoSuppressed = false; ///< No echoes until the platform is readable.
  };
  enum class WriteResult { Written, NotWritten, LostRace };
  struct PendingRenewal {
    LeaseRenewalMessage Message;
    TimePoint MinSendTime; ///< Lower bound of the send time.
  };

  bool read();
  void applyZoneObject(ZoneObject Zone, std::uint64_t Version);
  void onReadSucceeded();
  void onPlatformFailure();
  void applyAck(std::uint64_t Renewal, std::uint64_t Version);
  WriteResult tryUpdate(const std::function<bool(ZoneObject &)> &Change);
  WriteResult writeZoneObject(ZoneObject Next);
  bool confirmWrite(const std::string &Nonce, TimePoint Started);
  void recordOwnWrite(std::uint64_t Version, TimePoint Started);
  [[nodiscard]] std::optional<TimePoint>
  minSendTime(std::uint64_t Version) const;
  [[nodiscard]] bool tooOld(const PendingRenewal &Item, TimePoint Now) const;
  bool readDue();
  void renew();
  [[nodiscard]] bool needsOwnWrite() const;
  void writeRenewals();
  void applyRenewals(ZoneObject &Zone) const;
  void acknowledgeRenewals();
  void sendHeartbeats();
  void resetAfterPause();
  void updateOutageHold();
  void suppressUnresponsivePeers();
  [[nodiscard]] bool readableAt(TimePoint Now) const;
  [[nodiscard]] bool readsStableAt(TimePoint Now) const;
  [[nodiscard]] std::vector<DaemonName> cellLocked() const;
  [[nodiscard]] std::vector<DaemonName> liveLocked(bool IncludeLeaving) const;
  [[nodiscard]] bool hasRecentEcho(const PeerState &Peer, TimePoint Now) const;
  [[nodiscard]] bool hasMajorityAt(TimePoint Now) const;
  [[nodiscard]] bool peerReadsPlatformAt(TimePoint Now) const;
  [[nodiscard]] bool isOutageAt(TimePoint Now) const;
  [[nodiscard]] HoldState holdStateAt(TimePoint Now) const;
  [[nodiscard]] Duration unresponsiveTimeout() const {
    return m_options.Times.Lease + m_options.Times.Margin;
  }
  /// The last echo that confirms an outage is sent at most RecoveryDwell and
  /// one ReadInterval after the end of the outage, and counts for a lease. The
  /// record of a take-over is read at most one ReadInterval after its write.
  [[nodiscard]] Duration stableReadTime() const {
    return unresponsiveTimeout() + m_options.RecoveryDwell +
           2 * m_options.ReadInterval;
  }

  MembershipOptions m_options;
  const Clock &m_clock;
  platform::ObjectStore &m_store;
  FleetChannel &m_channel;
  EventLog &m_log;
  const std::string m_objectName;

  /// Not held during calls of the store, so that a slow platform does not
  /// delay holdState(). The zone object changes only in the ticking thread.
  mutable std::mutex m_mutex;
  Random m_random;
  ZoneObject m_zone;
  std::uint64_t m_version = 0;
  std::uint64_t m_writes = 0;             ///< Part of the nonce.
  std::optional<TimePoint> m_lastRead;    ///< Empty after a failed read.
  std::optional<TimePoint> m_lastFailure; ///< Of a read.
  /// Last echo that reports a readable platform.
  TimePoint m_lastPeerRead{};
  std::optional<TimePoint> m_readableSince; ///< Without a gap.
  std::optional<TimePoint> m_failingSince;  ///< Without a successful read.
  std::optional<TimePoint> m_lastTick;
  TimePoint m_nextRead{};
  TimePoint m_nextRenewal{};
  TimePoint m_nextHeartbeat{};
  TimePoint m_nextWrite{};
  std::map<DaemonName, policy::LeaseObserver> m_leaseObservers;
  policy::LeaseHolder m_holder;
  std::uint64_t m_renewal = 0;
  /// The lease expired. Ownership is valid again only once a zone object of at
  /// least m_requiredVersion was read, since a claim may have been written.
  bool m_leaseLapsed = true;
  std::optional<std::uint64_t> m_requiredVersion;
  /// Last time at which a majority confirmed the outage; only during one.
  std::optional<TimePoint> m_lastConfirmation;
  /// A peer read the platform after the lease had expired, so a claim may be
  /// written. Stays set until the lease is valid again, even if the peer fails.
  bool m_claimsPossible = false;
  bool m_isolated = false; ///< Stays set until reads are stable again.
  std::map<DaemonName, PendingRenewal> m_pendingRenewals; ///< Not yet written.
  /// Versions that this daemon wrote, with the start of each write. Every
  /// higher version was written later, which holds even with stale reads.
  std::map<std::uint64_t, TimePoint> m_ownWrites;
  std::uint64_t m_newestVersion = 0; ///< Newest read or acknowledged.
  std::map<DaemonName, PeerState> m_peers;
  std::uint64_t m_heartbeatSequence = 0;
  /// Send times within the lease, by sequence number.
  std::map<std::uint64_t, TimePoint> m_heartbeatSendTimes;
};

} // namespace nutmegdrift::control

#endif
