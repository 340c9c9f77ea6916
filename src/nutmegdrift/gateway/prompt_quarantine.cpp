// Entries by service and parts, with the time of their last crash.
#include "nutmegdrift/gateway/prompt_quarantine.h"

#include <algorithm>

namespace nutmegdrift::gateway {

bool PromptQuarantine::merge(const QuarantinedParts &Entry, TimePoint Now) {
  std::erase_if(m_lastCrash, [&](const auto &Known) {
    return Now - Known.second > RefusalTime;
  });
  if (Entry.Parts.empty() || Entry.Age > RefusalTime)
    return false;
  const TimePoint LastCrash = Now - Entry.Age;
  const auto [Known, New] =
      m_lastCrash.try_emplace({Entry.Service, Entry.Parts}, LastCrash);
  Known->second = std::max(Known->second, LastCrash);
  if (m_lastCrash.size() > MaxEntries)
    m_lastCrash.erase(std::min_element(
        m_lastCrash.begin(), m_lastCrash.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  return New;
}

bool PromptQuarantine::refuses(const std::string &Service,
                               const std::vector<std::uint64_t> &Parts,
                               TimePoint Now) const {
  return std::any_of(
      m_lastCrash.begin(), m_lastCrash.end(), [&](const auto &Known) {
        const auto &[EntryService, EntryParts] = Known.first;
        return EntryService == Service && Now - Known.second <= RefusalTime &&
               std::all_of(EntryParts.begin(), EntryParts.end(),
                           [&](std::uint64_t Part) {
                             return std::find(Parts.begin(), Parts.end(),
                                              Part) != Parts.end();
                           });
      });
}

std::vector<QuarantinedParts> PromptQuarantine::report(TimePoint Now) {
  std::vector<QuarantinedParts> All;
  for (const auto &[Entry, LastCrash] : m_lastCrash)
    if (Now - LastCrash <= RefusalTime)
      All.push_back(
          {.Service = Entry.first,
           .Parts = Entry.second,
           .Age = std::chrono::duration_cast<Milliseconds>(Now - LastCrash)});
  if (All.size() <= MaxReported)
    return All;
  std::rotate(All.begin(),
              All.begin() +
                  static_cast<std::ptrdiff_t>(m_nextReported % All.size()),
              All.end());
  m_nextReported = (m_nextReported + MaxReported) % All.size();
  All.resize(MaxReported);
  return All;
}

} // namespace nutmegdrift::gateway
