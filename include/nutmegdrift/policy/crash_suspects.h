// Containment of requests that crash endpoints: counts the crashes during which
// each request was running and refuses it after the second.
#ifndef NUTMEGDRIFT_POLICY_CRASH_SUSPECTS_H
#define NUTMEGDRIFT_POLICY_CRASH_SUSPECTS_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/error.h"
#include "nutmegdrift/config/fleet_config.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegdrift::policy {

/// xxhash of workspace, target and body.
using Fingerprint = std::uint64_t;

Fingerprint fingerprintOf(std::string_view Workspace,
                          const Target &RequestTarget, std::string_view Body);

/// Identifies one crash of an endpoint: "daemon-boot-counter" of the daemon
/// that detected it.
using CrashId = std::string;

/// The crashes of one fingerprint, as daemons send them to each other. Merging
/// is idempotent.
struct SuspectEntry {
  Fingerprint Request = 0;
  std::set<CrashId> Crashes; ///< At most CrashSuspects::MaxCrashes.

  friend bool operator==(const SuspectEntry &, const SuspectEntry &) = default;
};

/// Crash counts by fingerprint and the requests that run on each replica of
/// this daemon. Not thread-safe.
///
/// A daemon sends drainChanges() to its peers before it answers the failed
/// request, so that the count is known to the daemon that receives a resend.
/// The limit of two endpoints holds for resends that follow the answer. It does
/// not cover identical requests that run on several endpoints before the first
/// crash, or on both sides of a partition.
class CrashSuspects {
public:
  /// Crashes after which a request is refused.
  static constexpr std::size_t MaxCrashes = 2;
  /// Time after its last request or crash at which a fingerprint expires. A
  /// resend through any daemon renews it, so a caller that resends at least
  /// every EntryLifetime - AdvertiseInterval stays refused.
  static constexpr Duration EntryLifetime = std::chrono::hours(1);
  /// Least time between two reports of the same resent fingerprint to peers.
  static constexpr Duration AdvertiseInterval = std::chrono::minutes(15);
  /// Fingerprints kept. Only crashes add entries, a few per crash.
  static constexpr std::size_t MaxEntries = 16384;

  /// Identifies this daemon's crashes; a boot id never repeats.
  CrashSuspects(DaemonName Daemon, BootId Boot);

  /// Fails with SuspectedCrash if the request must be refused.
  Result<void> check(Fingerprint Request, TimePoint Now);

  /// Number of crashes during which this request was running.
  [[nodiscard]] std::size_t crashes(Fingerprint Request) const;

  /// Whether the request may start on Replica. Candidates are the replicas of
  /// its target that could accept it now, including Replica.
  [[nodiscard]] bool
  mayStart(Fingerprint Request, const config::ReplicaId &Replica,
           const std::vector<config::ReplicaId> &Candidates) const;

  void started(Fingerprint Request, const config::ReplicaId &Replica);
  void ended(Fingerprint Request, const config::ReplicaId &Replica);

  /// Counts a crash against every request that was running on the replica, and
  /// removes these from it.
  void crashed(const config::ReplicaId &Replica, TimePoint Now);

  /// Returns the entries changed since the last call, to be sent to all peers.
  std::vector<SuspectEntry> drainChanges();
  /// All entries, for a peer that connects.
  [[nodiscard]] std::vector<SuspectEntry> all() const;
  /// Merges a peer's entries. drainChanges() does not return them again.
  void merge(const std::vector<SuspectEntry> &Entries, TimePoint Now);

private:
  struct Suspect {
    std::set<CrashId> Crashes;
    TimePoint LastSeen{};
    /// When the entry was last sent to peers or received from one.
    TimePoint LastAdvertised{};
  };

  bool addCrash(Fingerprint Request, const CrashId &Crash, TimePoint Now);
  void expireEntries(TimePoint Now);
  [[nodiscard]] bool runsSuspect(const config::ReplicaId &Replica) const;
  [[nodiscard]] bool runsAnywhere(Fingerprint Request) const;
  [[nodiscard]] bool idle(const config::ReplicaId &Replica) const;

  const DaemonName m_daemon;
  const BootId m_boot;
  std::uint64_t m_counter = 0;
  std::map<Fingerprint, Suspect> m_suspects;
  std::set<Fingerprint> m_changed;
  /// Running fingerprints by replica; never holds empty sets.
  std::map<config::ReplicaId, std::multiset<Fingerprint>> m_running;
};

} // namespace nutmegdrift::policy

#endif
