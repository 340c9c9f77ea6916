// Cumulative service of each workspace at each daemon, exchanged between the
// owners of one target and merged by maximum.
#ifndef NUTMEGDRIFT_POLICY_SERVICE_COUNTERS_H
#define NUTMEGDRIFT_POLICY_SERVICE_COUNTERS_H

#include "nutmegdrift/base/identifiers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace nutmegdrift::policy {

/// One entry of a `Counters` message.
struct CounterEntry {
  DaemonName Daemon;
  BootId Boot = 0;
  Target ServedTarget;
  std::string Workspace;
  std::uint64_t Service = 0; ///< Tokens since the boot; never decreases.
  std::uint64_t Backlog = 0; ///< Queued requests.

  friend bool operator==(const CounterEntry &, const CounterEntry &) = default;
};

/// Entries that changed after a cursor, and the next cursor.
struct CounterChanges {
  std::vector<CounterEntry> Entries;
  std::uint64_t Cursor = 0;
};

/// Not thread-safe. Memory: one entry for each daemon, target and workspace.
/// The entries of an earlier boot are removed with the first message of a later
/// one.
class ServiceCounters {
public:
  ServiceCounters(DaemonName Daemon, BootId Boot);

  /// Raises this daemon's service to \p Service (a lower value is ignored) and
  /// replaces its backlog.
  void setLocal(const Target &ServedTarget, const std::string &Workspace,
                std::uint64_t Service, std::uint64_t Backlog);

  /// Marks local entries with a backlog as changed, so that they are sent
  /// again. The slots that a receiver offered for a backlog may have gone to
  /// other requests.
  void markBacklogChanged();

  /// Local entries changed after \p Cursor. Keep one cursor for each peer and
  /// reset it to 0 when the connection to the peer is re-established.
  [[nodiscard]] CounterChanges changesSince(std::uint64_t Cursor) const;

  /// Merges one remote entry. Returns the service that is new to this daemon; 0
  /// for local entries and replaced boots.
  std::uint64_t merge(const CounterEntry &Entry);

  /// True if an entry of this boot has been merged and no later boot's since.
  [[nodiscard]] bool hasMerged(const DaemonName &Daemon, BootId Boot) const;

  /// Merged backlog by daemon for one target and workspace, without zeros.
  [[nodiscard]] std::map<DaemonName, std::uint64_t>
  remoteBacklog(const Target &ServedTarget, const std::string &Workspace) const;

  /// Sets all merged backlog of a daemon to 0, for one that is lost.
  void clearBacklog(const DaemonName &Daemon);

private:
  /// Target as text, and workspace.
  using Key = std::pair<std::string, std::string>;
  struct Counter {
    Target ServedTarget;
    std::uint64_t Service = 0;
    std::uint64_t Backlog = 0;
    std::uint64_t Revision = 0;
  };
  struct Peer {
    BootId Boot = 0;
    std::map<Key, Counter> Counters;
    /// Earlier boots, so that a late message does not restore their entries.
    std::deque<BootId> ReplacedBoots;
  };
  bool admitBoot(Peer &Source, BootId Boot);

  DaemonName m_daemon;
  BootId m_boot;
  std::uint64_t m_revision = 0;
  std::map<Key, Counter> m_local;
  std::map<DaemonName, Peer> m_peers;
};

} // namespace nutmegdrift::policy

#endif
