// Finds replicas for model requests: through the service's dispatcher, one of
// the live daemons, or by this daemon alone while that one can't be reached.
#ifndef NUTMEGDRIFT_GATEWAY_PLACEMENT_H
#define NUTMEGDRIFT_GATEWAY_PLACEMENT_H

#include "nutmegdrift/gateway/fleet_beacon.h"
#include "nutmegdrift/net/byte_stream.h"
#include "nutmegdrift/net/tcp_listener.h"

namespace nutmegdrift::gateway {

/// A daemon that may dispatch.
struct DispatcherCandidate {
  DaemonName Name;
  double Weight = 1.0;

  friend bool operator==(const DispatcherCandidate &,
                         const DispatcherCandidate &) = default;
};

/// The dispatcher of a service among the live daemons: weighted rendezvous
/// hashing, so that few services move when a daemon comes or goes. Empty if
/// there is no candidate.
DaemonName chooseDispatcher(std::string_view Service,
                            const std::vector<DispatcherCandidate> &Among);

/// Places the requests of this daemon and, where it is the dispatcher, those of
/// all daemons. Two daemons that both believe they dispatch cost efficiency
/// only: engines bound themselves.
class Placement {
public:
  /// A dispatcher that owes an answer and is silent for this long has its
  /// requests placed here.
  static constexpr Duration DispatcherTimeout = std::chrono::milliseconds(250);
  /// A link silent for this long while answers are owed is opened anew.
  static constexpr Duration LinkTimeout = std::chrono::milliseconds(1500);
  /// Interval of the dispatcher's signs of life while requests wait.
  static constexpr Duration KeepAliveInterval = std::chrono::milliseconds(80);
  /// Pause before a failed link is opened again.
  static constexpr Duration ReconnectDelay = std::chrono::milliseconds(300);
  /// Time between looks at waiting requests.
  static constexpr Duration PumpInterval = std::chrono::milliseconds(5);

  /// Reports that come within this time are looked at together, because a look
  /// costs the more the more requests wait.
  static constexpr Duration MinPumpInterval = std::chrono::milliseconds(2);
  /// Time between two lines about each dispatched service.
  static constexpr Duration SummaryInterval = std::chrono::seconds(2);

  using OnDecision = std::function<void(const routing::ModelDecision &)>;

  struct Environment {
    net::EventLoop &Loop;
    const Clock &Clk;
    DecisionLog &Log;
    DaemonName Self;
    HostPort Internal;
    /// Daemons that may dispatch, this one among them.
    std::function<std::vector<DispatcherCandidate>()> Candidates;
    /// Address of a live daemon.
    std::function<std::optional<HostPort>(const DaemonName &)> AddressOf;
    std::uint64_t Seed = 0;
  };

  explicit Placement(Environment Env);
  ~Placement();

  /// Listens for other daemons; false if the port can't be bound.
  bool start();
  /// Takes over the usable replicas of one service.
  void setReplicas(const routing::Service &Of,
                   const std::vector<routing::Replica *> &Usable);
  /// How late this daemon handles what is ready, see LoopLag.
  void setLag(Duration Mean) { m_lag = Mean; }
  void setOptions(const routing::DispatcherOptions &Options);

  /// Finds a replica; OnDone is called once, possibly at once. Request.Key is
  /// set here and returned.
  routing::RequestKey place(const std::string &Service,
                            routing::ModelRequest Request, OnDecision OnDone);
  /// The caller left while the request waited, or the request is over.
  void ended(routing::RequestKey Key, routing::ReplicaOutcome Outcome);
  /// TimeToFirstEvent: from sending the request to its first event.
  void started(routing::RequestKey Key, Duration TimeToFirstEvent);

  /// The service's dispatcher as believed now.
  [[nodiscard]] DaemonName dispatcherOf(const std::string &Service) const;
  [[nodiscard]] std::size_t waiting() const;

private:
  class Link;   // To a dispatcher.
  class Client; // From another daemon.

  struct Own {
    std::string Service;
    routing::ModelRequest Request;
    OnDecision OnDone;  ///< Empty once decided.
    DaemonName AskedAt; ///< Dispatcher that was asked; empty: this daemon.
    bool Started = false;
    routing::ReplicaId RunningOn{};
  };

  routing::ModelDispatcher &dispatcher(const std::string &Service);
  void offerHere(const std::string &Service, routing::RequestKey Key);
  void decide(const std::string &Service, const routing::ModelDecision &Made);
  void decideOwn(routing::RequestKey Key, const routing::ModelDecision &Made);
  void schedulePump();
  void pump();
  void look();
  void updateShares();
  Link *linkTo(const DaemonName &Daemon);
  void announceRunning(Link &To);
  void linkLost(const DaemonName &Daemon);
  void fromDispatcher(const DaemonName &Daemon, const PlacementMessage &What);
  void fromClient(Client &From, const PlacementMessage &What);
  void clientLost(Client &Gone);
  void takeBack(const DaemonName &From);
  void logSummary();

  const Environment m_env;
  routing::DispatcherOptions m_options;
  Duration m_lag{0};
  net::TcpListener m_listener;
  net::Timer m_pumpTimer;
  net::Timer m_lookTimer;
  TimePoint m_lastPump{};
  std::map<std::string, routing::ModelDispatcher> m_dispatchers;
  std::map<routing::RequestKey, Own> m_own;
  std::map<DaemonName, std::shared_ptr<Link>> m_links;
  std::map<std::uint32_t, std::shared_ptr<Client>> m_clients;
  std::uint32_t m_nextSequence = 1;
  /// Requests of other daemons have their client's number in the upper half of
  /// their key; own ones have 0 there.
  std::uint32_t m_nextClient = 1;
  TimePoint m_lastAlive{};
  TimePoint m_lastSummary{};
  const TimePoint m_started;
};

} // namespace nutmegdrift::gateway

#endif
