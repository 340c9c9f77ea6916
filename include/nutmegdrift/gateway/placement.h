// Placement of model requests on replicas: by the service's dispatcher, which
// is one of the live daemons, or by this daemon while the dispatcher can't be
// reached.
#ifndef NUTMEGDRIFT_GATEWAY_PLACEMENT_H
#define NUTMEGDRIFT_GATEWAY_PLACEMENT_H

#include "nutmegdrift/gateway/fleet_beacon.h"
#include "nutmegdrift/net/byte_stream.h"
#include "nutmegdrift/net/tcp_listener.h"

namespace nutmegdrift::gateway {

/// A daemon that may become the dispatcher of a service.
struct DispatcherCandidate {
  DaemonName Name;
  double Weight = 1.0;

  friend bool operator==(const DispatcherCandidate &,
                         const DispatcherCandidate &) = default;
};

/// Chooses the dispatcher of a service by weighted rendezvous hashing, so that
/// few services change their dispatcher when a daemon joins or is lost. Empty
/// if there is no candidate.
DaemonName chooseDispatcher(std::string_view Service,
                            const std::vector<DispatcherCandidate> &Candidates);

/// Places the requests of this daemon and, for services that it dispatches,
/// those of all daemons. Two dispatchers of one service at a time only cost
/// efficiency, because engines limit their own load.
class Placement {
public:
  /// If a dispatcher sends nothing for this long while requests wait there,
  /// they are placed locally.
  static constexpr Duration DispatcherTimeout = std::chrono::milliseconds(250);
  /// A link without data for this long while requests wait is reconnected.
  static constexpr Duration LinkTimeout = std::chrono::milliseconds(1500);
  /// Interval of the dispatcher's keep-alive messages while requests wait.
  static constexpr Duration KeepAliveInterval = std::chrono::milliseconds(80);
  /// Delay before a failed link is reconnected.
  static constexpr Duration ReconnectDelay = std::chrono::milliseconds(300);
  /// Time between two passes over the waiting requests.
  static constexpr Duration PumpInterval = std::chrono::milliseconds(5);

  /// Reports that arrive within this time are handled in one pass, because the
  /// cost of a pass grows with the number of waiting requests.
  static constexpr Duration MinPumpInterval = std::chrono::milliseconds(2);
  /// A lost dispatcher that is not the first choice is tried again after this.
  static constexpr Duration LostDispatcherRetry = std::chrono::seconds(5);
  /// A daemon that requested a placement within this time counts as one that
  /// uses this dispatcher.
  static constexpr Duration ActiveClientTime = std::chrono::seconds(1);
  /// The requests of a daemon whose heartbeats are missed count as ended if it
  /// has also sent nothing on its connection for this long.
  static constexpr Duration LostClientSilence = std::chrono::seconds(2);
  /// A check that is this late shows a stall of the daemon, after which it
  /// doesn't judge others by missed heartbeats for CatchUpTime.
  static constexpr Duration StallTime = std::chrono::milliseconds(500);
  static constexpr Duration CatchUpTime = std::chrono::seconds(1);
  /// Time between two log lines about each dispatched service.
  static constexpr Duration SummaryInterval = std::chrono::seconds(2);

  using OnDecision = std::function<void(const routing::ModelDecision &)>;

  struct Environment {
    net::EventLoop &Loop;
    const Clock &Clk;
    DecisionLog &Log;
    DaemonName Self;
    HostPort Internal;
    /// Daemons that may dispatch, possibly this one.
    std::function<std::vector<DispatcherCandidate>()> Candidates;
    /// Address of a live daemon.
    std::function<std::optional<HostPort>(const DaemonName &)> AddressOf;
    /// Whether the daemon's heartbeats were received once and are missed now.
    std::function<bool(const DaemonName &)> IsLost;
    /// Requests of the service with these prompt parts crash replicas.
    std::function<void(const std::string &Service,
                       const routing::PartVerdict &)>
        OnQuarantine;
    /// Rates that replicas named; null: none.
    routing::ReplicaLimits *Limits = nullptr;
    /// Calls setReplicas() for a service that is dispatched for the first time.
    std::function<void(const std::string &Service)> OnNewService;
    std::uint64_t Seed = 0;
  };

  explicit Placement(Environment Env);
  ~Placement();

  /// Listens for other daemons. False if the port can't be bound.
  bool start();
  /// Replaces the usable replicas of one service.
  void setReplicas(const routing::Service &Service,
                   const std::vector<routing::Replica *> &Usable);
  /// The mean lag of this daemon's event loop, see LoopLag.
  void setLag(Duration Mean) { m_lag = Mean; }
  void setOptions(const routing::DispatcherOptions &Options);

  /// Requests a replica. Sets and returns Request.Key. OnDone is called once,
  /// after place() has returned.
  routing::RequestKey place(const std::string &Service,
                            routing::ModelRequest Request, OnDecision OnDone);
  /// The request ended, or its caller disconnected while it waited.
  /// RateLimit: as the replica named it in its answer, if it did.
  void ended(routing::RequestKey Key, routing::ReplicaOutcome Outcome,
             std::optional<double> RateLimit = std::nullopt);
  /// The request's first event was received. TimeToFirstEvent counts from the
  /// sending of the request.
  void started(routing::RequestKey Key, Duration TimeToFirstEvent,
               std::optional<double> RateLimit = std::nullopt);

  /// The replica of a request crashed before the answer had begun, or just
  /// after.
  void crashed(const std::string &Service,
               const routing::CrashedRequest &Request);

  /// The service's dispatcher in this daemon's view: the best candidate that
  /// this daemon can reach. Empty before the first replicas are known.
  [[nodiscard]] DaemonName dispatcherOf(const std::string &Service) const;
  /// Whether this daemon is the dispatcher of the service in its own view.
  [[nodiscard]] bool dispatches(const std::string &Service) const;
  /// Whether this daemon is the dispatcher of a service in its own view.
  [[nodiscard]] bool dispatchesAny() const;
  /// Whether requests of the service were placed, here or for other daemons.
  [[nodiscard]] bool knows(const std::string &Service) const {
    return m_dispatchers.contains(Service);
  }
  [[nodiscard]] std::size_t waiting() const;
  /// The demand for the service as this daemon measures it; nothing if it
  /// neither dispatches the service nor has placed requests of it lately.
  [[nodiscard]] std::optional<routing::DemandSummary>
  demand(const std::string &Service) const;
  /// Requests that this daemon counts as running on the service's replicas,
  /// those of other daemons included.
  [[nodiscard]] std::size_t running(const std::string &Service) const;

private:
  class Link;   // A connection to a dispatcher.
  class Client; // A connection from another daemon.

  struct LocalRequest {
    std::string Service;
    routing::ModelRequest Request;
    OnDecision OnDone;     ///< Empty after the decision.
    DaemonName Dispatcher; ///< Empty: this daemon.
    bool Started = false;
    routing::ReplicaId RunningOn{};
  };

  /// Who dispatches a service, as of the last updateRoles().
  struct Role {
    DaemonName FirstChoice; ///< Of all candidates, reachable or not.
    DaemonName Dispatcher;

    friend bool operator==(const Role &, const Role &) = default;
  };

  routing::ModelDispatcher &dispatcher(const std::string &Service);
  void updateRoles();
  void updateRole(const std::string &Service, Role &Current);
  /// An answer to a request of another daemon named a rate, or none.
  void observeLimit(const std::string &Service, routing::RequestKey Key,
                    std::optional<double> RateLimit);
  void offerLocally(const std::string &Service, routing::RequestKey Key);
  void deliver(const std::string &Service,
               const routing::ModelDecision &Decision);
  void deliverLocally(routing::RequestKey Key,
                      const routing::ModelDecision &Decision);
  void schedulePump();
  void pump();
  void checkLinks();
  void updateShares();
  /// The part of the daemons that place the service's requests here.
  [[nodiscard]] double shareOf(const std::string &Service) const;
  Link *linkTo(const DaemonName &Daemon);
  /// Reports the running requests of the services that Target dispatches, and
  /// withdraws them from their former dispatchers.
  void reportRunning(Link &Target);
  void withdrawReport(routing::RequestKey Key, const DaemonName &Former);
  void dropLostClients(TimePoint Now);
  void onLinkFailed(const DaemonName &Daemon);
  void onDispatcherLost(const DaemonName &Daemon);
  /// The link was opened, or its daemon answers again.
  void onLinkResponsive(Link &Restored);
  void onDispatcherMessage(const DaemonName &Daemon,
                           const PlacementMessage &Message);
  void onClientMessage(Client &Requester, const PlacementMessage &Message);
  void onClientDisconnected(Client &Lost);
  void countCrash(const std::string &Service,
                  const routing::CrashedRequest &Request);
  void reportVerdicts(const std::string &Service);
  void reclaimRequests(const DaemonName &DispatcherName);
  void logSummary();

  const Environment m_env;
  routing::DispatcherOptions m_options;
  Duration m_lag{0};
  net::TcpListener m_listener;
  net::Timer m_pumpTimer;
  net::Timer m_checkTimer;
  TimePoint m_lastPump{};
  TimePoint m_lastCheck{};
  /// Until then the heartbeats of others may be unread after a stall.
  TimePoint m_catchingUpUntil{};
  std::vector<DispatcherCandidate> m_candidates; ///< Of the last updateRoles().
  std::map<std::string, Role> m_roles;           ///< By service.
  /// Daemons that could not be reached or did not answer as dispatchers, with
  /// the time of the loss. They don't dispatch for this daemon until they
  /// answer again.
  std::map<DaemonName, TimePoint> m_lostDispatchers;
  std::map<std::string, routing::ModelDispatcher> m_dispatchers;
  std::map<routing::RequestKey, LocalRequest> m_localRequests;
  std::map<DaemonName, std::shared_ptr<Link>> m_links;
  std::map<std::uint32_t, std::shared_ptr<Client>> m_clients;
  std::uint32_t m_nextSequence = 1;
  /// The upper half of a request's key is the number of its client, or 0 for
  /// requests of this daemon.
  std::uint32_t m_nextClient = 1;
  TimePoint m_lastKeepAlive{};
  TimePoint m_lastSummary{};
  const TimePoint m_started;
};

} // namespace nutmegdrift::gateway

#endif
