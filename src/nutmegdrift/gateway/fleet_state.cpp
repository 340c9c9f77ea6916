// Freshness of the desired state.
#include "nutmegdrift/gateway/fleet_state.h"

#include <algorithm>

namespace nutmegdrift::gateway {

bool StateFreshness::tick(TimePoint Now) {
  const bool Stalled = m_lastTick && Now - *m_lastTick > StallThreshold;
  m_lastTick = Now;
  if (Stalled)
    m_distrustUntil = Now + PeerDistrustPeriod;
  return Stalled;
}

void StateFreshness::confirmed(TimePoint ConfirmedAt) {
  m_confirmed = m_confirmed ? std::max(*m_confirmed, ConfirmedAt) : ConfirmedAt;
}

void StateFreshness::confirmedByPeer(Duration Age, TimePoint Now) {
  const bool Stalled = m_lastTick && Now - *m_lastTick > StallThreshold;
  if (!Stalled && Now >= m_distrustUntil)
    confirmed(Now - Age);
}

std::optional<Duration> StateFreshness::age(TimePoint Now) const {
  if (!m_confirmed)
    return std::nullopt;
  return Now - *m_confirmed;
}

} // namespace nutmegdrift::gateway
