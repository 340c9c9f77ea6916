#include "nutmegdrift/policy/lease.h"

namespace nutmegdrift::policy {

void LeaseHolder::recordSent(std::uint64_t Number, TimePoint Now) {
  m_pending.emplace(Number, Now);
  // Renewals older than the lease cannot extend it.
  std::erase_if(m_pending, [&](const auto &Renewal) {
    return Now - Renewal.second >= m_times.Lease;
  });
}

void LeaseHolder::recordAcknowledged(std::uint64_t Number) {
  const auto Match = m_pending.find(Number);
  if (Match == m_pending.end())
    return;
  m_renewedAt = Match->second;
  m_pending.erase(m_pending.begin(), std::next(Match));
}

bool LeaseHolder::validAt(TimePoint Now) const {
  return m_renewedAt && Now - *m_renewedAt < m_times.Lease;
}

void LeaseObserver::recordRead(std::uint64_t Boot, std::uint64_t Renewal,
                               TimePoint Now) {
  const bool Continuous = m_lastRead && Now - *m_lastRead <= m_times.MaxReadGap;
  if (!Continuous)
    m_lastInterruption = Now;
  if (!m_hasRenewal || Boot != m_boot || Renewal != m_renewal) {
    // A renewal first read soon after a gap may be older than the gap, because
    // the zone writer keeps renewals until it can write.
    const bool RecentlyInterrupted =
        m_lastInterruption &&
        Now - *m_lastInterruption < m_times.MaxRenewalAge + m_times.MaxReadGap;
    m_readableTime = Duration(0);
    m_interrupted = RecentlyInterrupted;
  } else if (Continuous) {
    m_readableTime += Now - *m_lastRead;
  } else {
    m_interrupted = true;
  }
  m_hasRenewal = true;
  m_boot = Boot;
  m_renewal = Renewal;
  m_lastRead = Now;
}

void LeaseObserver::markInterrupted(TimePoint Now) {
  m_lastInterruption = Now;
  m_interrupted = true;
}

void LeaseObserver::recordReadFailure() {
  m_lastRead.reset();
  m_interrupted = true;
}

} // namespace nutmegdrift::policy
