// Reuse and closing of connections to replicas.
#include "nutmegdrift/gateway/endpoint_pool.h"

#include <algorithm>

namespace nutmegdrift::gateway {

namespace {

/// Part of a replica's announced idle timeout within which it is reused.
constexpr double AnnouncedShare = 0.5;

} // namespace

void IdleLimit::onLostConnection() {
  m_value = std::max(m_value / 2, MinIdleTime);
}

void IdleLimit::onReuse() {
  m_value = std::min(
      std::chrono::duration_cast<Duration>(m_value * (1.0 + RecoveryRate)),
      MaxIdleTime);
}

EndpointPool::Connection
EndpointPool::acquire(const routing::ReplicaRecord &Replica, unsigned Bound,
                      bool MayRepeat) {
  PerReplica &Of = m_replicas[Replica.Id];
  const TimePoint Now = m_clock.now();
  while (!Of.Idle.empty()) {
    Connection Latest = Of.Idle.back();
    Of.Idle.pop_back();
    Duration Limit = m_idleLimit.value();
    if (!MayRepeat)
      Limit = std::min(Limit, MaxRunOnceIdle);
    if (const auto Announced = Latest->announcedIdleTimeout())
      Limit = std::min(Limit, std::chrono::duration_cast<Duration>(
                                  *Announced * AnnouncedShare));
    if (Latest->reusable() && Latest->peer() == Replica.Address &&
        Now - Latest->idleSince() < Limit) {
      ++Of.InUse;
      return Latest;
    }
    Latest->close();
  }
  if (Of.InUse >= Bound)
    return nullptr;
  ++Of.InUse;
  ++m_opened;
  return std::make_shared<net::ClientConnection>(m_loop, m_clock,
                                                 Replica.Address);
}

void EndpointPool::release(const routing::ReplicaId &Replica,
                           const Connection &Used) {
  const auto Found = m_replicas.find(Replica);
  if (Found == m_replicas.end()) {
    Used->close();
    return;
  }
  --Found->second.InUse;
  if (Used->reusable())
    Found->second.Idle.push_back(Used);
  else
    Used->close();
}

void EndpointPool::recordReuse(bool Lost) {
  if (Lost)
    m_idleLimit.onLostConnection();
  else
    m_idleLimit.onReuse();
}

void EndpointPool::sweep(const routing::ReplicaTable &Replicas) {
  const TimePoint Now = m_clock.now();
  for (auto At = m_replicas.begin(); At != m_replicas.end();) {
    PerReplica &Of = At->second;
    const bool Left = !Replicas.all().contains(At->first);
    std::erase_if(Of.Idle, [&](const Connection &Each) {
      const bool Rested = Now - Each->idleSince() >= m_idleLimit.value();
      if (!Left && !Rested && Each->reusable())
        return false;
      Each->close();
      return true;
    });
    if (Left && Of.InUse == 0)
      At = m_replicas.erase(At);
    else
      ++At;
  }
}

} // namespace nutmegdrift::gateway
