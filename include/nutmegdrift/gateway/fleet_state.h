// A daemon's view of the deployment: the desired state in force, when it was
// confirmed, and the replicas.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_STATE_H
#define NUTMEGDRIFT_GATEWAY_FLEET_STATE_H

#include "nutmegdrift/gateway/fleet_rollouts.h"
#include "nutmegdrift/routing/desired_state.h"
#include "nutmegdrift/routing/replica_limits.h"
#include "nutmegdrift/routing/replica_table.h"

#include <memory>

namespace nutmegdrift::gateway {

/// How long ago the store confirmed that the desired state in force is the
/// newest. Keys may be revoked at any time, so requests with keys are refused
/// when the confirmation is too old. Does no I/O.
class StateFreshness {
public:
  /// A longer gap between two ticks means that the process was stalled;
  /// messages received during the stall are older than they claim.
  static constexpr Duration StallThreshold = std::chrono::milliseconds(450);
  /// Interval at which tick() is called.
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Confirmations by other daemons are ignored for this long after a stall.
  static constexpr Duration PeerDistrustPeriod = std::chrono::milliseconds(200);

  /// Call every TickInterval. True if the process was stalled since the last
  /// call.
  bool tick(TimePoint Now);
  /// The store confirmed the version in force as of ConfirmedAt.
  void confirmed(TimePoint ConfirmedAt);
  /// Another daemon reports that the version in force was confirmed Age ago.
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
  /// Null until the first desired state is known. A request keeps the table it
  /// was matched against.
  std::shared_ptr<const routing::RoutingTable> Table;
  routing::ReplicaTable Replicas;
  routing::ReplicaLimits Limits;
  FleetRollouts Rollouts;
  StateFreshness Freshness;
  bool Stopping = false;
};

} // namespace nutmegdrift::gateway

#endif
