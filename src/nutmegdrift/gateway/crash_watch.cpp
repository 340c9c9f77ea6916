// Assigns crashes of replicas to the requests that ran on them.
#include "nutmegdrift/gateway/crash_watch.h"

#include <algorithm>

namespace nutmegdrift::gateway {

CrashWatch::Suspect &CrashWatch::suspect(std::uint64_t Fingerprint,
                                         TimePoint Now) {
  const auto Known = m_suspects.find(Fingerprint);
  if (Known != m_suspects.end() && !expired(Known->second, Now))
    return Known->second;
  std::erase_if(m_suspects,
                [&](const auto &Entry) { return expired(Entry.second, Now); });
  if (m_suspects.size() >= MaxSuspects)
    m_suspects.erase(std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto &A, const auto &B) {
          return std::pair(A.second.Crashed.size(), A.second.LastCrash) <
                 std::pair(B.second.Crashed.size(), B.second.LastCrash);
        }));
  return m_suspects[Fingerprint];
}

void CrashWatch::connectionBroke(std::uint64_t Fingerprint,
                                 const std::string &Replica, TimePoint Now) {
  std::erase_if(m_brokenConnections, [&](const auto &Entry) {
    return Now - Entry.second.BrokeAt > ConfirmationWindow;
  });
  m_brokenConnections.emplace(
      Replica, BrokenConnection{.Fingerprint = Fingerprint, .BrokeAt = Now});
}

std::vector<std::size_t> CrashWatch::markUnreachable(const std::string &Replica,
                                                     TimePoint Now) {
  std::vector<std::size_t> Crashes;
  const auto [Begin, End] = m_brokenConnections.equal_range(Replica);
  for (auto It = Begin; It != End; ++It) {
    if (Now - It->second.BrokeAt > ConfirmationWindow)
      continue;
    Suspect &Suspected = suspect(It->second.Fingerprint, Now);
    Suspected.Crashed.insert(Replica);
    Suspected.LastCrash = Now;
    Crashes.push_back(Suspected.Crashed.size());
  }
  m_brokenConnections.erase(Begin, End);
  return Crashes;
}

void CrashWatch::markAlive(const std::string &Replica) {
  m_brokenConnections.erase(Replica);
}

bool CrashWatch::refuses(std::uint64_t Fingerprint, TimePoint Now) const {
  const auto It = m_suspects.find(Fingerprint);
  return It != m_suspects.end() && !expired(It->second, Now) &&
         It->second.Crashed.size() >= MaxCrashes;
}

void CrashWatch::merge(const SuspectCount &FromPeer, TimePoint Now) {
  // Without its age, a suspect would return from each daemon that has not
  // dropped it yet, and never expire.
  const TimePoint LastCrash = Now - FromPeer.Age;
  Suspect Received{
      .Crashed = {FromPeer.Crashed.begin(), FromPeer.Crashed.end()},
      .LastCrash = LastCrash};
  if (expired(Received, Now))
    return;
  Suspect &Suspected = suspect(FromPeer.Fingerprint, Now);
  Suspected.Crashed.merge(Received.Crashed);
  Suspected.LastCrash = std::max(Suspected.LastCrash, LastCrash);
}

std::vector<SuspectCount> CrashWatch::newestSuspects(TimePoint Now) const {
  std::vector<std::pair<std::uint64_t, const Suspect *>> Ranked;
  for (const auto &[Fingerprint, Entry] : m_suspects)
    if (!expired(Entry, Now))
      Ranked.emplace_back(Fingerprint, &Entry);
  const auto Rank = [](const auto &Entry) {
    return std::tuple(Entry.second->Crashed.size() >= MaxCrashes,
                      Entry.second->LastCrash, Entry.first);
  };
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const auto &A, const auto &B) { return Rank(A) > Rank(B); });
  if (Ranked.size() > MaxReported)
    Ranked.resize(MaxReported);
  std::vector<SuspectCount> Out;
  Out.reserve(Ranked.size());
  for (const auto &[Fingerprint, Entry] : Ranked)
    Out.push_back({.Fingerprint = Fingerprint,
                   .Crashed = {Entry->Crashed.begin(), Entry->Crashed.end()},
                   .Age = std::chrono::duration_cast<Milliseconds>(
                       Now - Entry->LastCrash)});
  return Out;
}

} // namespace nutmegdrift::gateway
