// Reservations of callers' requests.
#include "nutmegdrift/net/caller_memory.h"

#include <algorithm>

namespace nutmegdrift::net {

bool CallerMemory::fits(const Share &Asking, std::size_t Bytes) const {
  const std::size_t Used = m_used - Asking.m_bytes + Bytes;
  if (Used > m_options.Limit)
    return false;
  if (Bytes <= SmallBytes)
    return true;
  const std::size_t Before = Asking.large() ? Asking.m_bytes : 0;
  const std::size_t Large = m_large - Before + Bytes;
  const auto LargeLimit = static_cast<std::size_t>(
      static_cast<double>(m_options.Limit) * LargeShare);
  if (Large > LargeLimit)
    return false;
  // An owner may have twice what is left free: two thirds if it is alone, and
  // a third is left for others. N owners that take all they may leave a part of
  // 2N + 1.
  const auto Known = m_owners.find(Asking.m_owner);
  const std::size_t Owned =
      (Known == m_owners.end() ? 0 : Known->second) - Before + Bytes;
  return Owned <= 2 * (LargeLimit - Large);
}

CallerMemory::Share *CallerMemory::stalled(const Share &Asking,
                                           TimePoint Now) const {
  Share *Chosen = nullptr;
  double Most = 0.0;
  for (Share *Each : m_unfinished) {
    const std::chrono::duration<double> Since = Now - Each->m_progressAt;
    const double Cost = static_cast<double>(Each->m_bytes) * Since.count();
    if (Each == &Asking || Since < m_options.StallTime || Cost <= Most)
      continue;
    Chosen = Each;
    Most = Cost;
  }
  return Chosen;
}

bool CallerMemory::Share::reserve(std::size_t Bytes, std::size_t Received,
                                  const Clock &Clk) {
  if (!m_memory)
    return true;
  if (Bytes > SmallBytes &&
      (!large() || Received >= m_progressBytes + MinProgress)) {
    m_progressAt = Clk.now();
    m_progressBytes = Received;
  }
  if (Bytes == m_bytes)
    return true;
  while (Bytes > m_bytes && !m_memory->fits(*this, Bytes)) {
    Share *GivesWay = m_memory->stalled(*this, Clk.now());
    if (!GivesWay) {
      ++m_memory->m_refused;
      return false;
    }
    ++m_memory->m_gaveWay;
    // The callback may replace the function that it is called through.
    const auto OnGiveWay = GivesWay->OnGiveWay;
    GivesWay->release();
    if (OnGiveWay)
      OnGiveWay();
  }
  set(Bytes);
  if (large())
    m_memory->m_unfinished.insert(this);
  return true;
}

void CallerMemory::Share::keep(std::size_t Bytes) {
  if (!m_memory)
    return;
  m_memory->m_unfinished.erase(this);
  m_progressBytes = 0;
  set(Bytes);
}

void CallerMemory::Share::set(std::size_t Bytes) {
  CallerMemory &All = *m_memory;
  if (large()) {
    All.m_large -= m_bytes;
    const auto Owned = All.m_owners.find(m_owner);
    Owned->second -= m_bytes;
    if (Owned->second == 0)
      All.m_owners.erase(Owned);
  }
  All.m_used = All.m_used - m_bytes + Bytes;
  All.m_peak = std::max(All.m_peak, All.m_used);
  m_bytes = Bytes;
  if (large()) {
    All.m_large += Bytes;
    All.m_owners[m_owner] += Bytes;
  }
}

} // namespace nutmegdrift::net
