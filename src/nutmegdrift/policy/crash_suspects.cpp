// Counts crashes as sets of crash ids, so that merging is commutative and
// idempotent.
#include "nutmegdrift/policy/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace nutmegdrift::policy {

Fingerprint fingerprintOf(std::string_view Workspace,
                          const Target &RequestTarget, std::string_view Body) {
  // The hash of each part seeds the next one, so that moving text between parts
  // changes the fingerprint.
  return hashText(Body, hashText(toString(RequestTarget), hashText(Workspace)));
}

CrashSuspects::CrashSuspects(DaemonName Daemon, BootId Boot)
    : m_daemon(std::move(Daemon)), m_boot(Boot) {}

Result<void> CrashSuspects::check(Fingerprint Request, TimePoint Now) {
  const auto Entry = m_suspects.find(Request);
  if (Entry == m_suspects.end())
    return {};
  if (Now - Entry->second.LastSeen > EntryLifetime) {
    m_suspects.erase(Entry);
    return {};
  }
  Entry->second.LastSeen = Now;
  if (Now - Entry->second.LastAdvertised >= AdvertiseInterval) {
    Entry->second.LastAdvertised = Now;
    m_changed.insert(Request);
  }
  if (Entry->second.Crashes.size() < MaxCrashes)
    return {};
  return fail(ErrorKind::SuspectedCrash, "this request was running during " +
                                             std::to_string(MaxCrashes) +
                                             " endpoint crashes");
}

std::size_t CrashSuspects::crashes(Fingerprint Request) const {
  const auto Entry = m_suspects.find(Request);
  return Entry == m_suspects.end() ? 0 : Entry->second.Crashes.size();
}

bool CrashSuspects::idle(const config::ReplicaId &Replica) const {
  return !m_running.contains(Replica);
}

bool CrashSuspects::runsSuspect(const config::ReplicaId &Replica) const {
  const auto Running = m_running.find(Replica);
  return Running != m_running.end() &&
         std::ranges::any_of(Running->second,
                             [&](Fingerprint F) { return crashes(F) > 0; });
}

bool CrashSuspects::runsAnywhere(Fingerprint Request) const {
  return std::ranges::any_of(m_running, [&](const auto &Entry) {
    return Entry.second.contains(Request);
  });
}

bool CrashSuspects::mayStart(
    Fingerprint Request, const config::ReplicaId &Replica,
    const std::vector<config::ReplicaId> &Candidates) const {
  if (idle(Replica) && crashes(Request) == 0)
    return true;
  const bool IdleExists = std::ranges::any_of(
      Candidates, [&](const config::ReplicaId &R) { return idle(R); });
  if (crashes(Request) == 0)
    return !runsSuspect(Replica) || !IdleExists;
  // A second copy of a suspect could crash a second endpoint at the same time.
  if (crashes(Request) >= MaxCrashes || runsAnywhere(Request))
    return false;
  return idle(Replica) || (!runsSuspect(Replica) && !IdleExists);
}

void CrashSuspects::started(Fingerprint Request,
                            const config::ReplicaId &Replica) {
  m_running[Replica].insert(Request);
}

void CrashSuspects::ended(Fingerprint Request,
                          const config::ReplicaId &Replica) {
  const auto Running = m_running.find(Replica);
  if (Running == m_running.end())
    return;
  if (const auto Copy = Running->second.find(Request);
      Copy != Running->second.end())
    Running->second.erase(Copy);
  if (Running->second.empty())
    m_running.erase(Running);
}

void CrashSuspects::crashed(const config::ReplicaId &Replica, TimePoint Now) {
  const auto Running = m_running.find(Replica);
  if (Running == m_running.end())
    return;
  const auto Crash = makeRequestId(m_daemon, m_boot, ++m_counter);
  for (const auto Request : Running->second)
    if (addCrash(Request, Crash, Now))
      m_changed.insert(Request);
  m_running.erase(Running);
  expireEntries(Now);
}

bool CrashSuspects::addCrash(Fingerprint Request, const CrashId &Crash,
                             TimePoint Now) {
  auto &Entry = m_suspects[Request];
  Entry.LastSeen = Entry.LastAdvertised = Now;
  return Entry.Crashes.size() < MaxCrashes &&
         Entry.Crashes.insert(Crash).second;
}

void CrashSuspects::expireEntries(TimePoint Now) {
  std::erase_if(m_suspects, [&](const auto &Entry) {
    return Now - Entry.second.LastSeen > EntryLifetime;
  });
  while (m_suspects.size() > MaxEntries)
    m_suspects.erase(
        std::ranges::min_element(m_suspects, {}, [](const auto &Entry) {
          return std::pair(Entry.second.Crashes.size(), Entry.second.LastSeen);
        }));
}

std::vector<SuspectEntry> CrashSuspects::drainChanges() {
  std::vector<SuspectEntry> Out;
  for (const auto Request : std::exchange(m_changed, {}))
    if (const auto It = m_suspects.find(Request); It != m_suspects.end())
      Out.push_back({Request, It->second.Crashes});
  return Out;
}

std::vector<SuspectEntry> CrashSuspects::all() const {
  std::vector<SuspectEntry> Out;
  for (const auto &[Request, Entry] : m_suspects)
    Out.push_back({Request, Entry.Crashes});
  return Out;
}

void CrashSuspects::merge(const std::vector<SuspectEntry> &Entries,
                          TimePoint Now) {
  for (const auto &Entry : Entries)
    for (const auto &Crash : Entry.Crashes)
      addCrash(Entry.Request, Crash, Now);
  expireEntries(Now);
}

} // namespace nutmegdrift::policy
