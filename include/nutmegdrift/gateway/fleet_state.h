// What a daemon believes of the deployment: the desired state in force, the
// replicas, and how fresh its knowledge is.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_STATE_H
#define NUTMEGDRIFT_GATEWAY_FLEET_STATE_H

#include "nutmegdrift/gateway/fleet_rollouts.h"
#include "nutmegdrift/routing/desired_state.h"
#include "nutmegdrift/routing/replica_table.h"

#include <memory>

namespace nutmegdrift::gateway {

/// How long ago the store confirmed that the desired state in force is the
/// newest. Keys may be taken away at any time, so requests with keys stop when
/// the confirmation is too old. Decides without I/O.
class StateFreshness {
public:
  /// A gap between two ticks above this means that the process stood still;
  /// messages that waited meanwhile are older than they seem.
  static constexpr Duration StallThreshold = std::chrono::milliseconds(450);
  /// Interval at which tick() is called.
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Confirmations by other daemons don't count for this long after a stall.
  static constexpr Duration PeerDistrustPeriod = std::chrono::milliseconds(200);

  /// Call regularly. True if the process stood still since the last call.
  bool tick(TimePoint Now);
  /// The store confirmed the version in force for the time At.
  void confirmed(TimePoint At);
  /// Another daemon says that the version in force was confirmed Age ago.
  void confirmedByPeer(Duration Age, TimePoint Now);
  /// The version in force is not the newest.
  void invalidate() { m_confirmed.reset(); }
  /// Age of the newest confirmation; nothing if there is none.
  [[nodiscard]] std::optional<Duration> age(TimePoint Now) const;

private:
  std::optional<TimePoint> m_confirmed;
  std::optional<TimePoint> m_lastTick;
  TimePoint m_distrustUntil{};
};

/// Shared by all parts of a gateway. Not thread-safe.
struct FleetState {
  /// Null until the first desired state is known. Requests keep the table that
  /// they were matched with.
  std::shared_ptr<const routing::RoutingTable> Table;
  routing::ReplicaTable Replicas;
  FleetRollouts Rollouts;
  StateFreshness Freshness;
  bool Stopping = false;
};

} // namespace nutmegdrift::gateway

#endif
