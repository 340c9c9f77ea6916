// Counts the crashes of each prompt part since an answer with it last began.
#include "nutmegdrift/routing/part_crashes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegdrift::routing {

std::vector<std::uint64_t> sharedParts(const std::vector<PromptPart> &Prompt) {
  std::vector<std::uint64_t> Parts;
  for (std::size_t I = 0; I + 1 < Prompt.size(); ++I)
    if (std::find(Parts.begin(), Parts.end(), Prompt[I].Id) == Parts.end())
      Parts.push_back(Prompt[I].Id);
  return Parts;
}

void PartCrashes::sent(RequestKey Key, const std::vector<PromptPart> &Prompt) {
  if (Prompt.size() > 1)
    m_running[Key] = sharedParts(Prompt);
}

void PartCrashes::started(RequestKey Key, TimePoint Now) {
  ++m_starts;
  applyStarts(Now);
  const auto Running = m_running.find(Key);
  if (Running != m_running.end())
    m_recentStarts.push_back({.Key = Key, .At = Now, .Parts = Running->second});
}

void PartCrashes::applyStarts(TimePoint Now) {
  while (!m_recentStarts.empty() &&
         Now - m_recentStarts.front().At >= ProofDelay) {
    const Start Proven = std::move(m_recentStarts.front());
    m_recentStarts.pop_front();
    for (const std::uint64_t Part : Proven.Parts) {
      const auto Entry = m_suspects.find(Part);
      if (Entry == m_suspects.end())
        continue;
      removeCrashes(Entry->second,
                    [&](const Crash &C) { return C.At < Proven.At; });
      if (!Entry->second.Crashes.empty())
        continue;
      m_suspects.erase(Entry);
      exonerate(Part);
    }
  }
}

void PartCrashes::removeCrashes(
    Suspect &From, const std::function<bool(const Crash &)> &Removable) {
  if (std::erase_if(From.Crashes, Removable) > 0)
    From.Lost = From.Crashes.size();
}

void PartCrashes::expire(TimePoint Now) {
  for (auto &[Part, Value] : m_suspects)
    removeCrashes(
        Value, [&](const Crash &C) { return Now - C.At > EvidenceRetention; });
  std::erase_if(m_suspects,
                [](const auto &Entry) { return Entry.second.Crashes.empty(); });
  while (m_suspects.size() > MaxParts)
    m_suspects.erase(std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto &A, const auto &B) {
          return A.second.Crashes.back().At < B.second.Crashes.back().At;
        }));
}

bool PartCrashes::certain(std::uint64_t Part, const Suspect &Value) const {
  if (Value.Crashes.size() < MinCrashes)
    return false;
  // An answer has begun, and its replica may survive it.
  if (std::any_of(m_recentStarts.begin(), m_recentStarts.end(),
                  [&](const Start &S) {
                    return std::find(S.Parts.begin(), S.Parts.end(), Part) !=
                           S.Parts.end();
                  }))
    return false;
  const Crash &First = Value.Crashes.front();
  const auto Starts = static_cast<double>(m_starts - First.StartsBefore);
  if (Starts < MinStartsPerCrash * static_cast<double>(Value.Crashes.size()))
    return false;
  const std::uint64_t AllLost = m_lost - First.LostBefore;
  const auto OthersLost =
      static_cast<double>(AllLost - std::min(Value.Lost, AllLost));
  // One more of each, so that a few requests prove nothing.
  const double ShareLost = (OthersLost + 1.0) / (Starts + OthersLost + 2.0);
  return std::pow(ShareLost, static_cast<double>(Value.Crashes.size())) <=
         ChanceLimit;
}

void PartCrashes::crashed(const CrashedRequest &Request, TimePoint Now) {
  std::erase_if(m_recentStarts,
                [&](const Start &S) { return S.Key == Request.Key; });
  applyStarts(Now);
  expire(Now);
  bool Counted = false;
  for (const std::uint64_t Part : Request.Parts) {
    Suspect &Value = m_suspects[Part];
    ++Value.Lost;
    // A request that was sent before the last crash failed beside it, and not
    // after it.
    if (!Value.Crashes.empty() && Request.SentAt <= Value.Crashes.back().At)
      continue;
    Value.Crashes.push_back({.At = Now,
                             .Replica = Request.Replica,
                             .StartsBefore = m_starts,
                             .LostBefore = m_lost});
    Counted = true;
  }
  ++m_lost;
  if (Counted)
    judge(Request.Parts);
}

void PartCrashes::judge(const std::vector<std::uint64_t> &Parts) {
  PartVerdict Verdict;
  std::size_t Most = 0;
  for (const std::uint64_t Part : Parts) {
    const Suspect &Value = m_suspects.at(Part);
    if (!certain(Part, Value) || Value.Crashes.size() < Most)
      continue;
    // The crashes of a part with fewer of them are explained by this one.
    if (Value.Crashes.size() > Most)
      Verdict.Parts.clear();
    Most = Value.Crashes.size();
    Verdict.Parts.push_back(Part);
  }
  if (Verdict.Parts.empty())
    return;
  for (const Crash &C : m_suspects.at(Verdict.Parts.front()).Crashes)
    Verdict.Crashed.push_back(C.Replica);
  std::sort(Verdict.Parts.begin(), Verdict.Parts.end());
  if (Verdict.Parts.size() > 1) {
    std::erase_if(m_ambiguous, [&](const PartVerdict &Former) {
      return Former.Parts == Verdict.Parts;
    });
    m_ambiguous.push_back(Verdict);
    if (m_ambiguous.size() > MaxAmbiguous)
      m_ambiguous.erase(m_ambiguous.begin());
  }
  m_verdicts.push_back(std::move(Verdict));
}

void PartCrashes::exonerate(std::uint64_t Part) {
  for (PartVerdict &Verdict : m_ambiguous)
    if (std::erase(Verdict.Parts, Part) > 0 && !Verdict.Parts.empty())
      m_verdicts.push_back(Verdict);
  std::erase_if(m_ambiguous, [](const PartVerdict &Verdict) {
    return Verdict.Parts.size() < 2;
  });
}

std::vector<PartVerdict> PartCrashes::takeVerdicts() {
  return std::exchange(m_verdicts, {});
}

} // namespace nutmegdrift::routing
