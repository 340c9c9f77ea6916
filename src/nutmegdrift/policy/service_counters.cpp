#include "nutmegdrift/policy/service_counters.h"

#include <algorithm>
#include <utility>

namespace nutmegdrift::policy {

namespace {
/// Replaced boots kept for each daemon. Messages live for seconds, and a daemon
/// does not restart this often in that time.
constexpr std::size_t MaxReplacedBoots = 8;
} // namespace

ServiceCounters::ServiceCounters(DaemonName Daemon, BootId Boot)
    : m_daemon(std::move(Daemon)), m_boot(Boot) {}

void ServiceCounters::setLocal(const Target &ServedTarget,
                               const std::string &Workspace,
                               std::uint64_t Service, std::uint64_t Backlog) {
  auto &Local = m_local[Key{toString(ServedTarget), Workspace}];
  const auto Raised = std::max(Local.Service, Service);
  if (Local.Revision != 0 && Raised == Local.Service &&
      Backlog == Local.Backlog)
    return;
  Local = {ServedTarget, Raised, Backlog, ++m_revision};
}

void ServiceCounters::markBacklogChanged() {
  for (auto &[Name, Value] : m_local)
    if (Value.Backlog > 0)
      Value.Revision = ++m_revision;
}

CounterChanges ServiceCounters::changesSince(std::uint64_t Cursor) const {
  CounterChanges Changes{.Entries = {}, .Cursor = m_revision};
  for (const auto &[Name, Value] : m_local)
    if (Value.Revision > Cursor)
      Changes.Entries.push_back({m_daemon, m_boot, Value.ServedTarget,
                                 Name.second, Value.Service, Value.Backlog});
  return Changes;
}

bool ServiceCounters::admitBoot(Peer &Source, BootId Boot) {
  if (Source.Boot == Boot)
    return true;
  if (std::ranges::find(Source.ReplacedBoots, Boot) !=
      Source.ReplacedBoots.end())
    return false;
  if (Source.Boot != 0)
    Source.ReplacedBoots.push_back(Source.Boot);
  if (Source.ReplacedBoots.size() > MaxReplacedBoots)
    Source.ReplacedBoots.pop_front();
  Source.Boot = Boot;
  Source.Counters.clear();
  return true;
}

std::uint64_t ServiceCounters::merge(const CounterEntry &Entry) {
  if (Entry.Daemon == m_daemon)
    return 0;
  auto &Source = m_peers[Entry.Daemon];
  if (!admitBoot(Source, Entry.Boot))
    return 0;
  auto &Merged =
      Source.Counters[Key{toString(Entry.ServedTarget), Entry.Workspace}];
  const auto Before = Merged.Service;
  Merged.Service = std::max(Before, Entry.Service);
  Merged.Backlog = Entry.Backlog;
  return Merged.Service - Before;
}

bool ServiceCounters::hasMerged(const DaemonName &Daemon, BootId Boot) const {
  const auto Match = m_peers.find(Daemon);
  return Match != m_peers.end() && Match->second.Boot == Boot;
}

std::map<DaemonName, std::uint64_t>
ServiceCounters::remoteBacklog(const Target &ServedTarget,
                               const std::string &Workspace) const {
  std::map<DaemonName, std::uint64_t> Waiting;
  for (const auto &[Daemon, Source] : m_peers) {
    const auto Match =
        Source.Counters.find(Key{toString(ServedTarget), Workspace});
    if (Match != Source.Counters.end() && Match->second.Backlog > 0)
      Waiting.emplace(Daemon, Match->second.Backlog);
  }
  return Waiting;
}

void ServiceCounters::clearBacklog(const DaemonName &Daemon) {
  const auto Match = m_peers.find(Daemon);
  if (Match == m_peers.end())
    return;
  for (auto &[Name, Value] : Match->second.Counters)
    Value.Backlog = 0;
}

} // namespace nutmegdrift::policy
