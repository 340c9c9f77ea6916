// One gateway daemon: its listeners, its beats and its calls.
#ifndef NUTMEGDRIFT_GATEWAY_GATEWAY_H
#define NUTMEGDRIFT_GATEWAY_GATEWAY_H

#include "nutmegdrift/gateway/call.h"
#include "nutmegdrift/gateway/loop_lag.h"

namespace nutmegdrift::gateway {

/// Newest store revisions seen, by watched kind.
using Revisions = std::vector<std::uint64_t>;

/// Serves callers. What it believes of the deployment is fed in by the
/// functions below, whatever the platform is.
class Gateway {
public:
  struct Hooks {
    /// Newest revisions seen, told to the other daemons.
    std::function<Revisions()> LatestRevisions;
    /// Another daemon has seen these revisions.
    std::function<void(const Heartbeat &)> OnHeartbeat;
    /// The process may end.
    std::function<void()> OnStopped;
  };

  Gateway(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
          GatewaySettings Settings, const Dialect &Headers, Hooks Calls);
  ~Gateway();

  /// Binds all listeners; fails with InvalidSettings if one can't be bound.
  Result<void> start();
  /// Serves what is under way, refuses what comes late, and then calls
  /// OnStopped.
  void stop();
  /// New seeds and bounds; addresses stay.
  void reload(const GatewaySettings &Settings);

  /// A newer desired state is in force from now on. Older ones are ignored.
  void setDesiredState(routing::DesiredState State);
  [[nodiscard]] FleetState &state() { return m_state; }
  /// Call after changes of the replicas in state().
  void replicasChanged();
  /// Call after a change of the roll-outs in state().
  void rolloutsChanged();
  /// The store confirmed the desired state in force for the time At.
  void stateConfirmed(TimePoint At) { m_state.Freshness.confirmed(At); }
  [[nodiscard]] GatewayMetrics &metrics() { return m_metrics; }
  /// Live daemons, this one included.
  [[nodiscard]] std::size_t daemons();
  /// This daemon's place in the order in which daemons ask the store for
  /// confirmation; 0 asks first. Those that accept requests come first: one
  /// that the store turns away stops accepting. In an outage none accepts, and
  /// their names decide.
  [[nodiscard]] std::size_t confirmationRank();
  /// Tells the other daemons at once what this one believes.
  void broadcastHeartbeat() { m_beacon.sendNow(); }
  /// Whether the directory may name this daemon.
  [[nodiscard]] bool accepts(TimePoint Now) const;
  /// Whether readiness checks succeed.
  [[nodiscard]] bool ready() const;

private:
  void onRequest(const std::shared_ptr<net::ServerExchange> &Exchange);
  void onDirectory(net::ServerExchange &Exchange);
  void onReadiness(net::ServerExchange &Exchange);
  void onMetrics(net::ServerExchange &Exchange);
  [[nodiscard]] Heartbeat composeHeartbeat();
  void onHeartbeat(const Heartbeat &From);
  [[nodiscard]] std::vector<DispatcherCandidate> candidates();
  [[nodiscard]] std::optional<HostPort> addressOf(const DaemonName &Daemon);
  [[nodiscard]] std::vector<HostPort> directoryAddresses();
  void tick();
  void logLoad(TimePoint Now);
  void checkStopped();
  void applyLimits();

  net::EventLoop &m_loop;
  const Clock &m_clock;
  DecisionLog &m_log;
  GatewaySettings m_settings;
  const Dialect &m_headers;
  const Hooks m_hooks;
  const BootId m_boot;
  Random m_random;
  FleetState m_state;
  GatewayMetrics m_metrics;
  CrashWatch m_crashes;
  EndpointPool m_pool;
  FleetBeacon m_beacon;
  Placement m_placement;
  std::map<std::string, policy::RetryBudget> m_budgets;
  CallEnvironment m_calls;
  net::HttpServer m_front;
  net::HttpServer m_readiness;
  net::HttpServer m_directory;
  net::HttpServer m_metricsServer;
  net::Timer m_tickTimer;
  TimePoint m_lastSweep{};
  LoopLag m_lag{StateFreshness::TickInterval};
  policy::LoadShedder m_shedder;
  TimePoint m_lastLoad{};             ///< When the load was logged.
  std::uint64_t m_loggedRequests = 0; ///< Started by then.
  TimePoint m_lastOutcomes{};         ///< Told beside the usual beats.
};

} // namespace nutmegdrift::gateway

#endif
