// Counting of crashes by request.
#include "nutmegdrift/gateway/crash_watch.h"

#include <algorithm>

namespace nutmegdrift::gateway {

CrashWatch::Suspect &CrashWatch::suspect(std::uint64_t Fingerprint,
                                         TimePoint Now) {
  std::erase_if(m_suspects, [&](const auto &Each) {
    return Now - Each.second.Seen > SuspectRetention;
  });
  if (m_suspects.size() >= MaxSuspects && !m_suspects.contains(Fingerprint))
    m_suspects.erase(m_suspects.begin());
  return m_suspects[Fingerprint];
}

void CrashWatch::connectionBroke(std::uint64_t Fingerprint,
                                 const std::string &Replica, TimePoint Now) {
  std::erase_if(m_broken, [&](const auto &Each) {
    return Now - Each.second.At > ConfirmationWindow;
  });
  m_broken.emplace(Replica, Broken{.Fingerprint = Fingerprint, .At = Now});
}

void CrashWatch::markUnreachable(const std::string &Replica, TimePoint Now) {
  const auto [Begin, End] = m_broken.equal_range(Replica);
  for (auto At = Begin; At != End; ++At) {
    if (Now - At->second.At > ConfirmationWindow)
      continue;
    Suspect &Of = suspect(At->second.Fingerprint, Now);
    Of.Crashed.insert(Replica);
    Of.Seen = Now;
  }
  m_broken.erase(Begin, End);
}

void CrashWatch::markAlive(const std::string &Replica) {
  m_broken.erase(Replica);
}

bool CrashWatch::refuses(std::uint64_t Fingerprint, TimePoint Now) const {
  const auto Found = m_suspects.find(Fingerprint);
  return Found != m_suspects.end() &&
         Now - Found->second.Seen <= SuspectRetention &&
         Found->second.Crashed.size() >= MaxCrashes;
}

void CrashWatch::merge(const SuspectCount &FromPeer, TimePoint Now) {
  Suspect &Of = suspect(FromPeer.Fingerprint, Now);
  const std::size_t Before = Of.Crashed.size();
  Of.Crashed.insert(FromPeer.Crashed.begin(), FromPeer.Crashed.end());
  if (Before == 0 || Of.Crashed.size() != Before)
    Of.Seen = Now;
}

std::vector<SuspectCount> CrashWatch::newestSuspects(TimePoint Now) const {
  std::vector<std::pair<TimePoint, SuspectCount>> Newest;
  for (const auto &[Fingerprint, Each] : m_suspects)
    if (Now - Each.Seen <= SuspectRetention)
      Newest.emplace_back(
          Each.Seen,
          SuspectCount{.Fingerprint = Fingerprint,
                       .Crashed = {Each.Crashed.begin(), Each.Crashed.end()}});
  std::sort(Newest.begin(), Newest.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<SuspectCount> Out;
  for (std::size_t I = 0; I < std::min(Newest.size(), MaxReported); ++I)
    Out.push_back(std::move(Newest[I].second));
  return Out;
}

} // namespace nutmegdrift::gateway
