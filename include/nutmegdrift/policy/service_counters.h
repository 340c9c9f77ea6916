// Cumulative service of every workspace at every daemon, exchanged between the
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
  std::uint64_t Service = 0; ///< Tokens since the boot; never falls.
  std::uint64_t Backlog = 0; ///< Requests that wait now.

  friend bool operator==(const CounterEntry &, const CounterEntry &) = default;
};

/// Entries that changed after a cursor, and the next cursor.
struct CounterChanges {
  std::vector<CounterEntry> Entries;
  std::uint64_t Cursor = 0;
};

/// Not thread-safe. Memory: one entry for each daemon, target and workspace; an
/// earlier boot's entries go when a later boot of the daemon is heard.
class ServiceCounters {
public:
  ServiceCounters(DaemonName Daemon, BootId Boot);

  /// Raises this daemon's own service to \p Service (a lower value is ignored)
  /// and replaces its backlog.
  void setLocal(const Target &ServedTarget, const std::string &Workspace,
                std::uint64_t Service, std::uint64_t Backlog);

  /// Marks own entries with a backlog as changed. A receiver may have offered
  /// slots for an unchanged backlog that went to other requests.
  void markBacklogChanged();

  /// Own entries changed after \p Cursor. Keep one cursor for each peer and
  /// reset it to 0 when the connection to the peer is made anew.
  [[nodiscard]] CounterChanges changesSince(std::uint64_t Cursor) const;

  /// Merges one remote entry and returns the service that is new to this
  /// daemon; 0 for own entries and replaced boots.
  std::uint64_t merge(const CounterEntry &Entry);

  /// True if an entry of this boot has been merged.
  [[nodiscard]] bool hasMerged(const DaemonName &Daemon, BootId Boot) const;

  /// Merged backlog by daemon for one target and workspace, without zeros.
  [[nodiscard]] std::map<DaemonName, std::uint64_t>
  remoteBacklog(const Target &ServedTarget, const std::string &Workspace) const;

  /// Sets all merged backlog of a daemon to 0, because it is gone.
  void clearBacklog(const DaemonName &Daemon);

private:
  /// Text of the target, and workspace.
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
    /// Earlier boots, so that a late message does not bring one back.
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
