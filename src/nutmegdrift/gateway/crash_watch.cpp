// Assigns crashes of replicas to the requests that ran on them.
#include "nutmegdrift/gateway/crash_watch.h"

#include <algorithm>

namespace nutmegdrift::gateway {

CrashWatch::Suspect &CrashWatch::suspect(std::uint64_t Fingerprint,
                                         TimePoint Now) {
  std::erase_if(m_suspects, [&](const auto &Entry) {
    return Now - Entry.second.LastCrash > SuspectRetention;
  });
  if (m_suspects.size() >= MaxSuspects && !m_suspects.contains(Fingerprint))
    m_suspects.erase(m_suspects.begin());
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
  return It != m_suspects.end() &&
         Now - It->second.LastCrash <= SuspectRetention &&
         It->second.Crashed.size() >= MaxCrashes;
}

void CrashWatch::merge(const SuspectCount &FromPeer, TimePoint Now) {
  Suspect &Suspected = suspect(FromPeer.Fingerprint, Now);
  const std::size_t Before = Suspected.Crashed.size();
  Suspected.Crashed.insert(FromPeer.Crashed.begin(), FromPeer.Crashed.end());
  if (Before == 0 || Suspected.Crashed.size() != Before)
    Suspected.LastCrash = Now;
}

std::vector<SuspectCount> CrashWatch::newestSuspects(TimePoint Now) const {
  std::vector<std::pair<TimePoint, SuspectCount>> Newest;
  for (const auto &[Fingerprint, Entry] : m_suspects)
    if (Now - Entry.LastCrash <= SuspectRetention)
      Newest.emplace_back(Entry.LastCrash,
                          SuspectCount{.Fingerprint = Fingerprint,
                                       .Crashed = {Entry.Crashed.begin(),
                                                   Entry.Crashed.end()}});
  std::sort(Newest.begin(), Newest.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<SuspectCount> Out;
  for (std::size_t I = 0; I < std::min(Newest.size(), MaxReported); ++I)
    Out.push_back(std::move(Newest[I].second));
  return Out;
}

} // namespace nutmegdrift::gateway
