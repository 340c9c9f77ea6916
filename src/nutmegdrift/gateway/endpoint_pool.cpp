// Reuse and closing of idle connections to replicas.
#include "nutmegdrift/gateway/endpoint_pool.h"

#include <algorithm>

namespace nutmegdrift::gateway {

namespace {

/// Share of the idle timeout announced by a replica within which a connection
/// is reused.
constexpr double AnnouncedIdleShare = 0.5;

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
  PerReplica &Connections = m_replicas[Replica.Id];
  const TimePoint Now = m_clock.now();
  while (!Connections.Idle.empty()) {
    Connection Latest = Connections.Idle.back();
    Connections.Idle.pop_back();
    Duration Limit = m_idleLimit.value();
    if (!MayRepeat)
      Limit = std::min(Limit, MaxRunOnceIdle);
    if (const auto Announced = Latest->announcedIdleTimeout())
      Limit = std::min(Limit, std::chrono::duration_cast<Duration>(
                                  *Announced * AnnouncedIdleShare));
    if (Latest->reusable() && Latest->peer() == Replica.Address &&
        Now - Latest->idleSince() < Limit) {
      ++Connections.InUse;
      return Latest;
    }
    Latest->close();
  }
  if (Connections.InUse >= Bound)
    return nullptr;
  ++Connections.InUse;
  ++m_opened;
  return std::make_shared<net::ClientConnection>(
      m_loop, m_clock, Replica.Address,
      net::ClientConnection::Limits{.Chunks = Connections.Chunks,
                                    .Unparsed = m_buffers});
}

void EndpointPool::release(const routing::ReplicaId &Replica,
                           const Connection &Used) {
  const auto Entry = m_replicas.find(Replica);
  if (Entry == m_replicas.end()) {
    Used->close();
    return;
  }
  --Entry->second.InUse;
  if (Used->reusable())
    Entry->second.Idle.push_back(Used);
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
  for (auto It = m_replicas.begin(); It != m_replicas.end();) {
    PerReplica &Connections = It->second;
    const bool Removed = !Replicas.all().contains(It->first);
    std::erase_if(Connections.Idle, [&](const Connection &Candidate) {
      const bool IdleTooLong =
          Now - Candidate->idleSince() >= m_idleLimit.value();
      if (!Removed && !IdleTooLong && Candidate->reusable())
        return false;
      Candidate->close();
      return true;
    });
    if (Removed && Connections.InUse == 0)
      It = m_replicas.erase(It);
    else
      ++It;
  }
}

} // namespace nutmegdrift::gateway
