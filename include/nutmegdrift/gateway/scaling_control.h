// Feeds the replica scaler with what the daemons report and the store lists.
#ifndef NUTMEGDRIFT_GATEWAY_SCALING_CONTROL_H
#define NUTMEGDRIFT_GATEWAY_SCALING_CONTROL_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/gateway/fleet_beacon.h"
#include "nutmegdrift/gateway/fleet_state.h"
#include "nutmegdrift/policy/replica_scaler.h"

namespace nutmegdrift::gateway {

/// Runs in every daemon, so that one that becomes the holder of the duty knows
/// the demand of the last seconds. Not thread-safe.
class ScalingControl {
public:
  /// The lists of replicas and services count as out of date if the store has
  /// not confirmed the desired state for longer.
  static constexpr Duration MaxStateAge = std::chrono::seconds(5);
  /// Nothing is changed for this long after the store was restored; by then the
  /// live replicas have renewed their entries.
  static constexpr Duration RestoreDelay = std::chrono::seconds(5);

  struct Environment {
    const Clock &Clk;
    DecisionLog &Log;
    FleetBeacon &Beacon;
    FleetState &State;
    DaemonName Self;
    std::function<std::uint64_t()> StoreEra; ///< See Heartbeat::StoreEra.
    /// See Placement::demand().
    std::function<std::optional<routing::DemandSummary>(const std::string &)>
        Demand;
  };

  explicit ScalingControl(Environment Env) : m_env(std::move(Env)) {}

  /// This daemon's demand of the scaled services, for its heartbeats.
  [[nodiscard]] std::vector<routing::DemandSummary> demand() const;
  void onHeartbeat(const Heartbeat &Received);
  void tick();
  [[nodiscard]] std::vector<policy::ReplicaOrder> orders() const {
    return m_scaler.orders();
  }
  void setOrders(const std::vector<policy::ReplicaOrder> &InForce) {
    m_scaler.setOrders(InForce);
  }

private:
  void record(const DaemonName &Daemon,
              const std::vector<routing::DemandSummary> &Demand);
  [[nodiscard]] double heardShare(TimePoint Now);
  [[nodiscard]] std::vector<policy::ReplicaScaler::ServiceState>
  services(TimePoint Now) const;
  void logChanges(const std::vector<policy::ReplicaOrder> &Before);

  const Environment m_env;
  policy::ReplicaScaler m_scaler;
  /// Failing replicas by the daemon that reports them, with the time.
  std::map<DaemonName, std::pair<std::set<routing::ReplicaId>, TimePoint>>
      m_failing;
  std::optional<TimePoint> m_lastUpdate;
  std::uint64_t m_storeEra = 0;
  TimePoint m_restored{}; ///< When the era last rose.
};

} // namespace nutmegdrift::gateway

#endif
