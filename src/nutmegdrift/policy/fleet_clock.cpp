// Median of the daemons' clocks.
#include "nutmegdrift/policy/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace nutmegdrift::policy {

void FleetClock::observe(const DaemonName &Daemon, WallTime Wall,
                         TimePoint Now) {
  m_offsets[Daemon] = {.FromMonotonic = std::chrono::duration_cast<Duration>(
                                            Wall.time_since_epoch()) -
                                        Now.time_since_epoch(),
                       .Observed = Now};
}

Duration FleetClock::median() const {
  std::vector<Duration> Sorted;
  Sorted.reserve(m_offsets.size());
  for (const auto &[Daemon, Known] : m_offsets)
    Sorted.push_back(Known.FromMonotonic);
  const auto Middle =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  return *Middle;
}

void FleetClock::update(TimePoint Now) {
  std::erase_if(m_offsets, [&](const auto &Entry) {
    return Now - Entry.second.Observed > Retention;
  });
  if (m_offsets.empty())
    return;
  const Duration Median = median();
  const bool Near = std::chrono::abs(Median - m_adopted) <= SmallChange;
  if (!Near && m_offsets.size() <= m_supporters) {
    if (!m_differsSince)
      m_differsSince = Now;
    if (Now - *m_differsSince < ConfirmationTime)
      return;
  }
  m_differsSince.reset();
  m_adopted = Median;
  m_supporters = m_offsets.size();
}

WallTime FleetClock::at(TimePoint Now) const {
  if (m_supporters == 0)
    return WallTime{};
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      Now.time_since_epoch() + m_adopted));
}

} // namespace nutmegdrift::policy
