// Containment of requests that crash endpoints: counts the crashes that each
// request was part of and refuses it after the second.
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

/// One crash of an endpoint, "daemon-boot-counter" of the daemon that saw it.
using CrashId = std::string;

/// What daemons tell each other about one fingerprint. Merging the same entry
/// twice changes nothing.
struct SuspectEntry {
  Fingerprint Request = 0;
  std::set<CrashId> Crashes; ///< At most CrashSuspects::MaxCrashes.

  friend bool operator==(const SuspectEntry &, const SuspectEntry &) = default;
};

/// Crash counts by fingerprint and the requests that run on each replica of
/// this daemon. Not thread-safe.
///
/// A daemon sends takeChanged() to its peers before it answers the request
/// that failed, so that a resend through another daemon finds the count. The
/// bound of two endpoints holds for resends that follow the answer; identical
/// requests that run on several endpoints before the first crash, or on both
/// sides of a partition, are not covered.
class CrashSuspects {
public:
  /// Crashes after which a request is refused.
  static constexpr std::size_t MaxCrashes = 2;
  /// A fingerprint is forgotten when it was not seen for this long. A resend
  /// through any daemon renews it, so a caller that resends at least every
  /// Memory - TellEvery stays refused.
  static constexpr Duration EntryLifetime = std::chrono::hours(1);
  /// Peers are told of a resend if they were not told for this long.
  static constexpr Duration AdvertiseInterval = std::chrono::minutes(15);
  /// Fingerprints kept. Only crashes add entries, a few for each crash.
  static constexpr std::size_t MaxEntries = 16384;

  /// Identifies this daemon's crashes; a boot id never repeats.
  CrashSuspects(DaemonName Daemon, BootId Boot);

  /// Fails with SuspectedCrash if the request has to be refused.
  Result<void> check(Fingerprint Request, TimePoint Now);

  /// Crashes that this request was part of.
  [[nodiscard]] std::size_t crashes(Fingerprint Request) const;

  /// Whether the request may start on Where. Candidates are the replicas of
  /// its target that could take it now, Where among them.
  [[nodiscard]] bool
  mayStart(Fingerprint Request, const config::ReplicaId &Replica,
           const std::vector<config::ReplicaId> &Candidates) const;

  void started(Fingerprint Request, const config::ReplicaId &Replica);
  void ended(Fingerprint Request, const config::ReplicaId &Replica);

  /// Counts a crash against every request that ran on the replica, which then
  /// runs none.
  void crashed(const config::ReplicaId &Replica, TimePoint Now);

  /// Entries changed since the last call, for all peers.
  std::vector<SuspectEntry> drainChanges();
  /// All entries, for a peer that connects.
  [[nodiscard]] std::vector<SuspectEntry> all() const;
  /// Takes a peer's entries. They are not in takeChanged() again.
  void merge(const std::vector<SuspectEntry> &Entries, TimePoint Now);

private:
  struct Suspect {
    std::set<CrashId> Crashes;
    TimePoint LastSeen{};
    TimePoint
        LastAdvertised{}; ///< When the daemons last told each other of it.
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
  /// Fingerprints running on each replica; no empty sets.
  std::map<config::ReplicaId, std::multiset<Fingerprint>> m_running;
};

} // namespace nutmegdrift::policy

#endif
