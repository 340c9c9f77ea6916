// One gateway daemon: its listeners, its heartbeats and its calls.
#ifndef NUTMEGDRIFT_GATEWAY_GATEWAY_H
#define NUTMEGDRIFT_GATEWAY_GATEWAY_H

#include "nutmegdrift/gateway/call.h"
#include "nutmegdrift/gateway/caller_limits.h"
#include "nutmegdrift/gateway/loop_lag.h"
#include "nutmegdrift/gateway/scaling_control.h"
#include "nutmegdrift/gateway/usage_exchange.h"
#include "nutmegdrift/policy/spare_processor.h"

namespace nutmegdrift::gateway {

/// Newest store revisions received, by watched kind.
/// What a daemon has received of the platform's store, see Heartbeat.
struct StoreProgress {
  std::uint64_t Era = 0;
  std::vector<std::uint64_t> Revisions{};
  policy::DutyView Duties{};
};

/// Serves callers. A platform adapter supplies the view of the deployment
/// through the functions below.
class Gateway {
public:
  struct Hooks {
    /// Newest revisions received, sent to the other daemons in heartbeats.
    std::function<StoreProgress()> LatestProgress;
    /// A heartbeat of another daemon was received.
    std::function<void(const Heartbeat &)> OnHeartbeat;
    /// The process may end.
    std::function<void()> OnStopped;
    /// The state of the duties as JSON. Empty: there are no duties.
    std::function<std::string()> DutyStatus{};
  };

  Gateway(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
          GatewaySettings Settings, const Dialect &Headers, Hooks Callbacks);
  ~Gateway();

  /// Binds all listeners; fails with InvalidSettings if one can't be bound.
  Result<void> start();
  /// Starts to drain: running requests are served, later ones refused, then
  /// OnStopped is called.
  void stop();
  /// Applies new seeds, bounds and dispatch options; addresses don't change.
  void reload(const GatewaySettings &Settings);

  /// Applies a newer desired state. Older ones are ignored.
  void setDesiredState(routing::DesiredState State);
  [[nodiscard]] FleetState &state() { return m_state; }
  /// Call after changes of the replicas in state().
  void replicasChanged();
  /// Call after a change of the rollouts in state().
  void rolloutsChanged();
  /// The store confirmed the desired state in force as of ConfirmedAt.
  void stateConfirmed(TimePoint ConfirmedAt) {
    m_state.Freshness.confirmed(ConfirmedAt);
  }
  [[nodiscard]] GatewayMetrics &metrics() { return m_metrics; }
  /// Number of live daemons, this one included.
  [[nodiscard]] std::size_t daemons();
  /// How changes in the store reach this daemon by its own calls.
  void setStoreContact(policy::StoreContact Contact) {
    m_storeContact = Contact;
  }
  /// This daemon's rank in the order in which daemons read the store and
  /// request a confirmation from it; 0 is first. Daemons come last that the
  /// store does not answer, as told by their own calls: they may accept
  /// requests, because the confirmations of the others reach them. Then those
  /// that accept no requests. In an outage names decide.
  [[nodiscard]] std::size_t confirmationRank();
  /// Whether the live daemon comes before this one in that order.
  [[nodiscard]] bool precedes(const Heartbeat &Peer) const;
  /// Usage reports of windows after After that can be decided now, oldest
  /// first. To be called at short intervals while this daemon holds the duties;
  /// empty while it does not know enough. A window of which no live daemon has
  /// counts is left out.
  [[nodiscard]] std::vector<policy::UsageReport> dueUsage(TimePoint Now,
                                                          std::uint64_t After);
  /// The holder of the duties as far as it is known, and the newest window
  /// whose report is decided.
  void setDutyHolder(std::optional<DaemonName> Holder,
                     std::uint64_t LastDecidedWindow);
  /// The numbers of replicas that should be in force now, as far as they were
  /// changed; those of an earlier call while this daemon does not know enough.
  [[nodiscard]] std::vector<policy::ReplicaOrder> replicaOrders(TimePoint Now);
  /// The orders in force, as a new holder of the duties reads them from the
  /// store. Without it, a holder begins with the numbers that it found.
  void setReplicaOrders(const std::vector<policy::ReplicaOrder> &InForce);
  /// Sends an extra heartbeat to all other daemons now.
  void broadcastHeartbeat() { m_beacon.sendNow(); }
  /// Whether the directory may list this daemon.
  [[nodiscard]] bool accepts(TimePoint Now) const;
  /// Whether readiness checks succeed.
  [[nodiscard]] const net::BufferBudget &buffers() const { return *m_buffers; }
  [[nodiscard]] bool ready() const;

private:
  void onRequest(const std::shared_ptr<net::ServerExchange> &Exchange);
  void onDirectory(net::ServerExchange &Exchange);
  void onReadiness(net::ServerExchange &Exchange);
  void onMetrics(net::ServerExchange &Exchange);
  [[nodiscard]] Heartbeat composeHeartbeat();
  void onHeartbeat(const Heartbeat &Received);
  void setReplicas(const std::string &Name);
  [[nodiscard]] std::vector<routing::NamedLimit>
  dispatchedLimits(TimePoint Now);
  void onQuarantine(const std::string &Service,
                    const routing::PartVerdict &Verdict);
  [[nodiscard]] std::vector<DispatcherCandidate> candidates();
  [[nodiscard]] std::optional<HostPort> addressOf(const DaemonName &Daemon);
  [[nodiscard]] std::vector<HostPort> directoryAddresses();
  void tick();
  void logLoad(TimePoint Now);
  void checkStopped();
  void observeProcessor(TimePoint Now);
  /// See FleetBeacon::Hooks.
  [[nodiscard]] bool leads();
  [[nodiscard]] double retryFloor();
  void updateRetryFloors();
  void applyLimits();
  /// The workspace of a request, or nothing if it has no valid key.
  [[nodiscard]] std::string ownerOf(const net::HeaderList &Headers) const;

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
  PromptQuarantine m_quarantine;
  /// Of bytes that replicas have sent.
  const std::shared_ptr<net::BufferBudget> m_buffers;
  EndpointPool m_pool;
  ReplicaProbe m_probe;
  FleetBeacon m_beacon;
  Placement m_placement;
  std::map<std::string, policy::RetryBudget> m_budgets;
  std::optional<ScalingControl> m_scaling; ///< If scaling is a duty.
  std::optional<UsageExchange> m_usage;    ///< If usage reports are a duty.
  CallEnvironment m_callEnvironment;
  CallerLimits m_callerLimits;
  net::HttpServer m_front;
  net::HttpServer m_readiness;
  net::HttpServer m_directory;
  net::HttpServer m_metricsServer;
  net::Timer m_tickTimer;
  bool m_listening = true;      ///< Until the end of a planned stop.
  bool m_endedRequests = false; ///< The grace of a planned stop is over.
  TimePoint m_lastSweep{};
  LoopLag m_lag{StateFreshness::TickInterval};
  /// Expires with the gateway; for net::callInTurn().
  const std::shared_ptr<void> m_tickOwner = std::make_shared<int>();
  policy::LoadShedder m_shedder;
  policy::SpareProcessor m_spareProcessor{m_settings.ProcessorShare};
  TimePoint m_lastLoadLog{};
  std::uint64_t m_loggedRequests = 0; ///< Started until m_lastLoadLog.
  TimePoint m_lastOutcomeBroadcast{}; ///< By an extra heartbeat.
  std::optional<DaemonName> m_dutyHolder{};
  policy::StoreContact m_storeContact = policy::StoreContact::Late;
};

} // namespace nutmegdrift::gateway

#endif
