// Exchange of usage counts between the daemons.
#ifndef NUTMEGDRIFT_GATEWAY_USAGE_EXCHANGE_H
#define NUTMEGDRIFT_GATEWAY_USAGE_EXCHANGE_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/gateway/fleet_beacon.h"
#include "nutmegdrift/gateway/settings.h"
#include "nutmegdrift/policy/fleet_clock.h"

namespace nutmegdrift::gateway {

/// Counts the runs of this daemon's requests by the fleet's time and sends them
/// to the holder of the duty and to the next candidate. Not thread-safe.
class UsageExchange {
public:
  struct Environment {
    const Clock &Clk;
    DecisionLog &Log;
    FleetBeacon &Beacon;
    DaemonName Self;
    BootId Boot = 0;
    /// Whether this daemon accepts requests, see Gateway::confirmationRank().
    std::function<bool()> Accepts;
  };

  UsageExchange(Environment Env, const DutySettings &Duties);

  void count(const std::string &Workspace);
  void onHeartbeat(const Heartbeat &Received);
  void onCounts(const policy::UsageCounts &Received);
  /// To be called at intervals of at most UsageLedger::SendInterval.
  void tick();
  /// Sends all counts once more; this daemon counts no more.
  void sendLast();
  void setHolder(std::optional<DaemonName> Holder,
                 policy::WindowNumber LastDecided);
  /// See policy::UsageLedger::due().
  [[nodiscard]] std::vector<policy::UsageReport>
  due(TimePoint Now, policy::WindowNumber After);
  /// Pending windows that have ended.
  [[nodiscard]] std::size_t pending() const;

private:
  [[nodiscard]] policy::UsageLedger::Fleet fleet(TimePoint Now) const;
  /// The holder and the best other candidate, or the two best candidates while
  /// the holder is unknown; without this daemon.
  [[nodiscard]] std::vector<HostPort> targets(TimePoint Now) const;
  void send(const std::vector<policy::UsageCounts> &Messages);

  const Environment m_env;
  policy::FleetClock m_fleetClock;
  policy::UsageLedger m_ledger;
  std::optional<DaemonName> m_holder;
  std::vector<HostPort> m_targets;
  std::optional<TimePoint> m_lastSend;
  policy::WindowNumber m_lastIncomplete = 0; ///< For the log.
};

} // namespace nutmegdrift::gateway

#endif
