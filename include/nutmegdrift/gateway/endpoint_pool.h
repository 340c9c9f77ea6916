// Pool of idle connections to replicas, kept for reuse for a bounded time.
#ifndef NUTMEGDRIFT_GATEWAY_ENDPOINT_POOL_H
#define NUTMEGDRIFT_GATEWAY_ENDPOINT_POOL_H

#include "nutmegdrift/net/client_connection.h"
#include "nutmegdrift/routing/replica_table.h"

namespace nutmegdrift::gateway {

/// Maximum idle time of connections that are reused. Some network paths drop
/// idle connections without notice, so that the next request on them fails. The
/// limit halves with each such loss and recovers with successful reuse.
class IdleLimit {
public:
  static constexpr Duration MaxIdleTime = std::chrono::seconds(4);
  static constexpr Duration MinIdleTime = std::chrono::milliseconds(100);
  /// Relative increase per successful reuse.
  static constexpr double RecoveryRate = 0.01;

  void onLostConnection();
  void onReuse();
  [[nodiscard]] Duration value() const { return m_value; }

private:
  Duration m_value = MaxIdleTime;
};

/// One pool for all replicas. Connections are kept by replica id, so that a
/// replica at a reused address never gets a connection of its predecessor.
class EndpointPool {
public:
  using Connection = std::shared_ptr<net::ClientConnection>;

  EndpointPool(net::EventLoop &Loop, const Clock &Clk,
               std::shared_ptr<net::BufferBudget> Buffers)
      : m_loop(Loop), m_clock(Clk), m_buffers(std::move(Buffers)) {}

  /// Maximum idle time of a connection for a request that may run only once. If
  /// the replica closes the connection meanwhile, it is unknown whether the
  /// request ran.
  static constexpr Duration MaxRunOnceIdle = std::chrono::milliseconds(200);

  /// Returns an idle or new connection, or null if the replica already uses
  /// Bound connections.
  Connection acquire(const routing::ReplicaRecord &Replica, unsigned Bound,
                     bool MayRepeat);
  /// Returns a connection to the pool, which keeps it if it is reusable.
  void release(const routing::ReplicaId &Replica, const Connection &Used);
  /// Records whether a reused connection turned out to be lost.
  void recordReuse(bool Lost);
  /// Closes connections above the idle limit and those of removed replicas.
  void sweep(const routing::ReplicaTable &Replicas);

  [[nodiscard]] std::uint64_t opened() const { return m_opened; }
  [[nodiscard]] Duration idleLimit() const { return m_idleLimit.value(); }

private:
  struct PerReplica {
    std::vector<Connection> Idle; ///< Most recently used last.
    unsigned InUse = 0;
    std::shared_ptr<net::SmallChunkLimit> Chunks =
        std::make_shared<net::SmallChunkLimit>();
  };

  net::EventLoop &m_loop;
  const Clock &m_clock;
  const std::shared_ptr<net::BufferBudget> m_buffers;
  IdleLimit m_idleLimit;
  std::map<routing::ReplicaId, PerReplica> m_replicas;
  std::uint64_t m_opened = 0;
};

} // namespace nutmegdrift::gateway

#endif
