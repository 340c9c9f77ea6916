// Connections to replicas, kept for reuse within bounds.
#ifndef NUTMEGDRIFT_GATEWAY_ENDPOINT_POOL_H
#define NUTMEGDRIFT_GATEWAY_ENDPOINT_POOL_H

#include "nutmegdrift/net/client_connection.h"
#include "nutmegdrift/routing/replica_table.h"

namespace nutmegdrift::gateway {

/// How long connections may rest before they are used again. Some paths drop
/// resting connections without notice, which costs the next request; the bound
/// halves with each such loss and recovers with use.
class IdleLimit {
public:
  static constexpr Duration MaxIdleTime = std::chrono::seconds(4);
  static constexpr Duration MinIdleTime = std::chrono::milliseconds(100);
  /// Each successful reuse adds this part.
  static constexpr double RecoveryRate = 0.01;

  void onLostConnection();
  void onReuse();
  [[nodiscard]] Duration value() const { return m_value; }

private:
  Duration m_value = MaxIdleTime;
};

/// One pool for all replicas. Connections belong to a replica's id, so that a
/// reused address never meets an old connection.
class EndpointPool {
public:
  using Connection = std::shared_ptr<net::ClientConnection>;

  EndpointPool(net::EventLoop &Loop, const Clock &Clk)
      : m_loop(Loop), m_clock(Clk) {}

  /// Longest rest of a connection that carries a request which may run once
  /// only: if the replica closes it meanwhile, nobody knows whether it ran.
  static constexpr Duration MaxRunOnceIdle = std::chrono::milliseconds(200);

  /// A connection that is not busy, or null if the replica's bound is reached.
  Connection acquire(const routing::ReplicaRecord &Replica, unsigned Bound,
                     bool MayRepeat);
  /// Gives a connection back; it is kept if it can carry another request.
  void release(const routing::ReplicaId &Replica, const Connection &Used);
  /// Notes how a request on a reused connection went.
  void recordReuse(bool Lost);
  /// Closes connections that rested too long and those of replicas that left.
  void sweep(const routing::ReplicaTable &Known);

  [[nodiscard]] std::uint64_t opened() const { return m_opened; }
  [[nodiscard]] Duration idleLimit() const { return m_idleLimit.value(); }

private:
  struct PerReplica {
    std::vector<Connection> Idle; ///< The latest used last.
    unsigned InUse = 0;
  };

  net::EventLoop &m_loop;
  const Clock &m_clock;
  IdleLimit m_idleLimit;
  std::map<routing::ReplicaId, PerReplica> m_replicas;
  std::uint64_t m_opened = 0;
};

} // namespace nutmegdrift::gateway

#endif
