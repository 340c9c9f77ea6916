// Finds out whether a replica whose connection broke still runs.
#ifndef NUTMEGDRIFT_GATEWAY_REPLICA_PROBE_H
#define NUTMEGDRIFT_GATEWAY_REPLICA_PROBE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/net/byte_stream.h"

#include <map>
#include <string>

namespace nutmegdrift::gateway {

/// Opens a connection to a replica and closes it again. A replica that crashed
/// refuses it at once. Not thread-safe.
class ReplicaProbe {
public:
  /// A connection attempt without any reply for this long shows a broken
  /// network or a stopped host, but not a crash.
  static constexpr Duration Timeout = std::chrono::seconds(1);

  /// Called once if the replica refuses connections, and otherwise not at all.
  using OnRefused = std::function<void()>;

  ReplicaProbe(net::EventLoop &Loop, const Clock &Clk);
  ~ReplicaProbe();
  ReplicaProbe(const ReplicaProbe &) = delete;
  ReplicaProbe &operator=(const ReplicaProbe &) = delete;

  /// Calls for a replica that is being probed share one connection.
  void start(const std::string &Replica, const HostPort &Address,
             OnRefused Callback);

private:
  class Attempt;

  void finish(const std::string &Replica, bool Refused);

  net::EventLoop &m_loop;
  const Clock &m_clock;
  std::map<std::string, std::unique_ptr<Attempt>> m_attempts; ///< By replica.
};

} // namespace nutmegdrift::gateway

#endif
