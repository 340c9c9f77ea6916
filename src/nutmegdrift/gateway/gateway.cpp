// Listeners, heartbeats and the shutdown of a gateway daemon.
#include "nutmegdrift/gateway/gateway.h"
#include "nutmegdrift/net/call_in_turn.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace nutmegdrift::gateway {

namespace {

/// Addresses in one directory answer; callers read at most this many.
constexpr std::size_t MaxDirectoryAddresses = 64;
/// Time after a stop signal from which on idle connections are closed and the
/// daemon may end: longer than the default DirectoryTtl, so that callers no
/// longer use directory answers that list this daemon.
constexpr Duration CloseIdleAfter = std::chrono::milliseconds(2500);
constexpr Duration SweepInterval = std::chrono::milliseconds(500);
/// Share of the descriptors that callers' connections may use before the
/// longest idle ones are closed. The rest is for replicas, peers and a burst of
/// new callers.
constexpr double MaxCallerDescriptorShare = 0.5;
/// Time between two log lines of the daemon's load.
constexpr Duration LoadLogInterval = std::chrono::seconds(2);
/// A daemon that has just started does not know yet how many others share the
/// fleet's retries, so it uses no part of their fixed number.
constexpr Duration DiscoveryTime = std::chrono::seconds(2);
/// Lower bound of a candidate's weight, for daemons whose weight is unknown.
constexpr double MinDispatchWeight = 0.01;

/// On the metrics address.
constexpr char DutyStatusPath[] = "/duties";

/// Share of the process's memory that the replicas' bytes may use. The rest is
/// for requests, connections, the fleet's state, and what the allocator keeps.
constexpr double BufferMemoryShare = 0.25;

/// Share of the descriptors for each listener that isn't for requests. Callers
/// ask the directory every two seconds and close, so this is 96 at once on the
/// smallest machines.
constexpr double OtherListenerShare = 1.0 / 32;
/// Requests to these listeners have no body that is read.
constexpr std::uint64_t MaxOtherBodyBytes = std::uint64_t{64} * 1024;

/// Of this process since its start.
Duration processorTime() {
  timespec Used{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

std::size_t bufferBytes(const GatewaySettings &Settings) {
  constexpr double Megabyte = 1024.0 * 1024.0;
  return static_cast<std::size_t>(Settings.MemoryMegabytes * Megabyte *
                                  BufferMemoryShare);
}

net::HttpServerOptions serverOptions(const routing::CallerLimits &Limits) {
  return {.Limits = {.MaxHeaderBytes = Limits.MaxHeaderBytes,
                     .MaxBodyBytes = Limits.MaxBodyBytes},
          .HeaderTimeout = Limits.HeaderTimeout,
          .IdleTimeout = Limits.IdleTimeout};
}

/// "ROUTE=FAILED/ALL,FAILED/ALL ...": outcomes at both versions and at the new
/// one, of the first routes.
std::string routesText(const FleetRollouts::Report &Report) {
  constexpr std::size_t MaxRoutes = 8;
  std::string Out;
  std::size_t Count = 0;
  for (const auto &[Name, Route] : Report.Routes) {
    if (++Count > MaxRoutes)
      break;
    Out += (Out.empty() ? "" : " ") + Name + "=" +
           std::to_string(Route.Failed) + "/" + std::to_string(Route.All) +
           "," + std::to_string(Route.NewFailed) + "/" +
           std::to_string(Route.New);
  }
  return Out;
}

} // namespace

Gateway::Gateway(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
                 GatewaySettings Settings, const Dialect &Headers,
                 Hooks Callbacks)
    : m_loop(Loop), m_clock(Clk), m_log(Log), m_settings(std::move(Settings)),
      m_headers(Headers), m_hooks(std::move(Callbacks)),
      m_boot(hashText(m_settings.Name,
                      static_cast<std::uint64_t>(
                          Clk.wallNow().time_since_epoch().count()))),
      m_random(m_boot),
      m_buffers(std::make_shared<net::BufferBudget>(bufferBytes(m_settings))),
      m_pool(Loop, Clk, m_buffers), m_probe(Loop, Clk),
      m_beacon(
          Loop, Clk, Log, m_settings.Internal,
          {.Compose = [this] { return composeHeartbeat(); },
           .TakeOutcomes = [this] { return m_state.Rollouts.drainOutcomes(); },
           .Leads = [this] { return leads(); },
           .OnHeartbeat =
               [this](const Heartbeat &Received) { onHeartbeat(Received); },
           .OnUsage =
               [this](const policy::UsageCounts &Received) {
                 if (m_usage)
                   m_usage->onCounts(Received);
               }}),
      m_placement(
          {.Loop = Loop,
           .Clk = Clk,
           .Log = Log,
           .Self = m_settings.Name,
           .Internal = m_settings.Internal,
           .Candidates = [this] { return candidates(); },
           .AddressOf =
               [this](const DaemonName &Daemon) { return addressOf(Daemon); },
           .IsLost =
               [this](const DaemonName &Daemon) {
                 return m_beacon.view().lost(Daemon, m_clock.now());
               },
           .OnQuarantine =
               [this](const std::string &Service,
                      const routing::PartVerdict &Verdict) {
                 onQuarantine(Service, Verdict);
               },
           .Limits = &m_state.Limits,
           .OnNewService =
               [this](const std::string &Service) { setReplicas(Service); },
           .Seed = m_boot}),
      m_callEnvironment{.Loop = Loop,
                        .Clk = Clk,
                        .Log = Log,
                        .Settings = m_settings,
                        .Headers = Headers,
                        .State = m_state,
                        .Buffers = m_buffers,
                        .Pool = m_pool,
                        .Probe = m_probe,
                        .ModelPlacement = m_placement,
                        .Crashes = m_crashes,
                        .Quarantine = m_quarantine,
                        .Shedder = m_shedder,
                        .Metrics = m_metrics,
                        .Rng = m_random,
                        .Budgets = m_budgets,
                        .Daemons = [this] { return daemons(); },
                        .RetryFloor = [this] { return retryFloor(); },
                        .Started = Clk.now()},
      m_callerLimits(m_settings),
      m_front(Loop, Clk,
              [this](const std::shared_ptr<net::ServerExchange> &Exchange) {
                onRequest(Exchange);
              }),
      m_readiness(Loop, Clk,
                  [this](const std::shared_ptr<net::ServerExchange> &Exchange) {
                    onReadiness(*Exchange);
                  }),
      m_directory(Loop, Clk,
                  [this](const std::shared_ptr<net::ServerExchange> &Exchange) {
                    onDirectory(*Exchange);
                  }),
      m_metricsServer(
          Loop, Clk,
          [this](const std::shared_ptr<net::ServerExchange> &Exchange) {
            onMetrics(*Exchange);
          }),
      m_tickTimer(Loop) {
  if (m_settings.Duties && m_settings.Duties->ScalesReplicas)
    m_scaling.emplace(ScalingControl::Environment{
        .Clk = Clk,
        .Log = Log,
        .Beacon = m_beacon,
        .State = m_state,
        .Self = m_settings.Name,
        .StoreEra =
            [this] {
              return m_hooks.LatestProgress ? m_hooks.LatestProgress().Era : 0;
            },
        .Demand =
            [this](const std::string &Service) {
              return m_placement.demand(Service);
            }});
  if (!m_settings.Duties || !m_settings.Duties->ReportsUsage)
    return;
  m_usage.emplace(
      UsageExchange::Environment{
          .Clk = Clk,
          .Log = Log,
          .Beacon = m_beacon,
          .Self = m_settings.Name,
          .Boot = m_boot,
          .Accepts = [this] { return accepts(m_clock.now()); }},
      *m_settings.Duties);
  m_callEnvironment.OnRunBegan = [this](const std::string &Workspace) {
    m_usage->count(Workspace);
  };
}

Gateway::~Gateway() = default;

Result<void> Gateway::start() {
  m_front.setBudget(m_buffers);
  m_front.setSharedLimits(m_callerLimits.front(
      [this](const net::HeaderList &Headers) { return ownerOf(Headers); }));
  for (net::HttpServer *Server :
       {&m_readiness, &m_directory, &m_metricsServer}) {
    Server->setSharedLimits(m_callerLimits.other(OtherListenerShare));
    Server->setOptions({.Limits = {.MaxBodyBytes = MaxOtherBodyBytes}});
  }
  const std::pair<net::HttpServer *, const HostPort *> Listeners[] = {
      {&m_front, &m_settings.Front},
      {&m_readiness, &m_settings.Readiness},
      {&m_directory, &m_settings.Directory},
      {&m_metricsServer, &m_settings.Metrics}};
  for (const auto &[Server, Address] : Listeners)
    if (!Server->listen(*Address))
      return fail(ErrorKind::InvalidSettings,
                  "can't listen on " + toString(*Address));
  m_placement.setOptions(m_settings.Dispatch);
  m_state.Rollouts.setTrialBounds(m_settings.Bounds.Trial);
  m_state.Rollouts.setPhase(uniform(m_random));
  m_beacon.setSeeds(m_settings.Seeds);
  if (!m_beacon.start() || !m_placement.start())
    return fail(ErrorKind::InvalidSettings,
                "can't use " + toString(m_settings.Internal));
  m_log.line(LogClass::State, "daemon.started",
             {{"front", toString(m_settings.Front)},
              {"zone", m_settings.Zone},
              {"seeds", std::to_string(m_settings.Seeds.size())}});
  tick();
  return {};
}

void Gateway::reload(const GatewaySettings &Settings) {
  m_settings.Bounds = Settings.Bounds;
  m_settings.Dispatch = Settings.Dispatch;
  m_placement.setOptions(m_settings.Dispatch);
  m_state.Rollouts.setTrialBounds(m_settings.Bounds.Trial);
  m_settings.Seeds = Settings.Seeds;
  m_beacon.setSeeds(m_settings.Seeds);
  m_log.line(LogClass::State, "settings.reloaded",
             {{"seeds", std::to_string(Settings.Seeds.size())}});
}

bool Gateway::ready() const {
  return m_state.Table != nullptr && !m_state.Stopping;
}

std::size_t Gateway::daemons() {
  return m_beacon.view().aliveCount(m_clock.now()) + 1;
}

bool Gateway::leads() {
  return m_placement.dispatchesAny() || m_dutyHolder == m_settings.Name ||
         m_storeContact == policy::StoreContact::Current ||
         confirmationRank() < policy::ReaderRole::Readers;
}

double Gateway::retryFloor() {
  const bool Alone =
      std::all_of(m_settings.Seeds.begin(), m_settings.Seeds.end(),
                  [this](const std::string &Host) {
                    return Host == m_settings.Internal.Host;
                  });
  if (!Alone && m_clock.now() - m_callEnvironment.Started < DiscoveryTime)
    return 0.0;
  return m_settings.Bounds.RetryFloor / static_cast<double>(daemons());
}

void Gateway::updateRetryFloors() {
  const double Floor = retryFloor();
  for (auto &[Service, Budget] : m_budgets)
    Budget.setFloor(Floor);
}

std::size_t Gateway::confirmationRank() {
  const TimePoint Now = m_clock.now();
  const auto &Members = m_beacon.view().members();
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return m_beacon.view().alive(Entry.second, Now) &&
               precedes(Entry.second.Status);
      }));
}

bool Gateway::precedes(const Heartbeat &Peer) const {
  using policy::ReaderPlace;
  using policy::StoreContact;
  const ReaderPlace Theirs{.LostStore = Peer.Contact == StoreContact::Lost,
                           .Refusing = !Peer.Ready,
                           .Daemon = Peer.Daemon};
  const ReaderPlace Own{.LostStore = m_storeContact == StoreContact::Lost,
                        .Refusing = !accepts(m_clock.now()),
                        .Daemon = m_settings.Name};
  return !Peer.Stopping && Theirs < Own;
}

bool Gateway::accepts(TimePoint Now) const {
  const auto Age = m_state.Freshness.age(Now);
  const auto KeyBound = std::chrono::duration_cast<Duration>(
      m_settings.Bounds.KeyRevocation * Call::KeyTrustFraction);
  const bool KeysWork =
      m_state.Table &&
      (!m_state.Table->keysRequired() ||
       !m_settings.Bounds.RevokeWhenPartitioned || (Age && *Age < KeyBound));
  return ready() && KeysWork;
}

void Gateway::onRequest(const std::shared_ptr<net::ServerExchange> &Exchange) {
  std::make_shared<Call>(m_callEnvironment, Exchange)->start();
}

std::string Gateway::ownerOf(const net::HeaderList &Headers) const {
  const auto Metadata = capture([&] { return m_headers.readRequest(Headers); });
  const std::string *Workspace = Metadata && m_state.Table
                                     ? m_state.Table->workspaceOf(Metadata->Key)
                                     : nullptr;
  return Workspace ? *Workspace : std::string();
}

void Gateway::onReadiness(net::ServerExchange &Exchange) {
  const std::string_view Target = Exchange.request().Target;
  if (Target.substr(0, Target.find('?')) != m_headers.readinessPath()) {
    Exchange.answer(404, {}, "");
    return;
  }
  Exchange.answer(ready() ? 200 : 503, {{"Content-Type", "text/plain"}},
                  ready() ? "ready\n" : "not ready\n");
}

void Gateway::onMetrics(net::ServerExchange &Exchange) {
  if (Exchange.request().Target == DutyStatusPath) {
    if (m_hooks.DutyStatus)
      Exchange.answer(200, {{"Content-Type", "application/json"}},
                      m_hooks.DutyStatus());
    else
      Exchange.answer(404, {}, "");
    return;
  }
  if (const auto Age = m_state.Freshness.age(m_clock.now()))
    m_metrics.desiredStateAge(std::chrono::duration<double>(*Age).count());
  m_metrics.connectionsOpened(static_cast<double>(m_pool.opened()));
  if (m_usage)
    m_metrics.usageWindowsPending(static_cast<double>(m_usage->pending()));
  m_metrics.logLinesSuppressed(static_cast<double>(m_log.suppressed()));
  Exchange.answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                  m_metrics.text());
}

std::vector<HostPort> Gateway::directoryAddresses() {
  std::vector<HostPort> Ready;
  std::vector<HostPort> Alive;
  const TimePoint Now = m_clock.now();
  for (const auto &[Name, Peer] : m_beacon.view().members()) {
    if (!m_beacon.view().alive(Peer, Now) || Peer.Status.Stopping)
      continue;
    Alive.push_back(Peer.Status.Front);
    if (Peer.Status.Ready)
      Ready.push_back(Peer.Status.Front);
  }
  if (!m_state.Stopping) {
    Alive.push_back(m_settings.Front);
    if (composeHeartbeat().Ready)
      Ready.push_back(m_settings.Front);
  }
  std::vector<HostPort> &Listed = Ready.empty() ? Alive : Ready;
  std::shuffle(Listed.begin(), Listed.end(), m_random);
  if (Listed.size() > MaxDirectoryAddresses)
    Listed.resize(MaxDirectoryAddresses);
  return Listed;
}

void Gateway::onDirectory(net::ServerExchange &Exchange) {
  const std::string_view Target = Exchange.request().Target;
  if (Target.substr(0, Target.find('?')) != m_headers.directoryPath()) {
    Exchange.answer(404, {}, "");
    return;
  }
  const std::vector<HostPort> Addresses = directoryAddresses();
  if (Addresses.empty()) {
    Exchange.answer(503, {{"Retry-After", "1"}}, "");
    return;
  }
  Exchange.answer(
      200, {{"Content-Type", "application/json"}},
      m_headers.directoryBody(Addresses, m_settings.Bounds.DirectoryTtl));
}

Heartbeat Gateway::composeHeartbeat() {
  const TimePoint Now = m_clock.now();
  const auto Age = m_state.Freshness.age(Now);
  StoreProgress Progress =
      m_hooks.LatestProgress ? m_hooks.LatestProgress() : StoreProgress{};
  return {.Daemon = m_settings.Name,
          .Boot = m_boot,
          .Front = m_settings.Front,
          .Internal = m_settings.Internal,
          .Ready = accepts(Now),
          .Stopping = m_state.Stopping,
          .Weight = m_spareProcessor.weight(),
          .StateVersion = m_state.Table ? m_state.Table->state().Version : 0,
          .StateAge = Age ? std::chrono::duration_cast<Milliseconds>(*Age) +
                                Milliseconds(1)
                          : Milliseconds(-1),
          .Revisions = std::move(Progress.Revisions),
          .Suspects = m_crashes.newestSuspects(Now),
          .Rollouts = m_state.Rollouts.statuses(Now),
          .Quarantine = m_quarantine.report(Now),
          .Limits = dispatchedLimits(Now),
          .StoreEra = Progress.Era,
          .WallMicros =
              m_usage ? std::chrono::duration_cast<std::chrono::microseconds>(
                            m_clock.wallNow().time_since_epoch())
                            .count()
                      : 0,
          .Demand = m_scaling ? m_scaling->demand()
                              : std::vector<routing::DemandSummary>{},

          .Duties = std::move(Progress.Duties),
          .Contact = m_storeContact};
}

void Gateway::onHeartbeat(const Heartbeat &Received) {
  const TimePoint Now = m_clock.now();
  for (const SuspectCount &Suspect : Received.Suspects)
    m_crashes.merge(Suspect, Now);
  for (const routing::NamedLimit &Limit : Received.Limits)
    m_state.Limits.merge(Limit, Now);
  for (const QuarantinedParts &Entry : Received.Quarantine)
    if (m_quarantine.merge(Entry, Now))
      m_log.line(LogClass::State, "prompt.quarantine_received",
                 {{"service", Entry.Service}, {"from", Received.Daemon}});
  if (m_state.Table && Received.StateAge.count() >= 0 &&
      Received.StateVersion == m_state.Table->state().Version)
    m_state.Freshness.confirmedByPeer(Received.StateAge, Now);
  if (m_state.Rollouts.receive(Received.Boot, Received.Rollouts,
                               Received.Outcomes, Now))
    rolloutsChanged();
  if (m_usage)
    m_usage->onHeartbeat(Received);
  if (m_scaling)
    m_scaling->onHeartbeat(Received);
  if (m_hooks.OnHeartbeat)
    m_hooks.OnHeartbeat(Received);
}

void Gateway::onQuarantine(const std::string &Service,
                           const routing::PartVerdict &Verdict) {
  std::string Parts;
  for (const std::uint64_t Part : Verdict.Parts)
    Parts += (Parts.empty() ? "" : " ") + std::to_string(Part);
  std::string Replicas;
  for (const routing::ReplicaId &Replica : Verdict.Crashed)
    Replicas += (Replicas.empty() ? "" : " ") + Replica;
  m_log.line(LogClass::State, "prompt.quarantined",
             {{"service", Service}, {"parts", Parts}, {"crashed", Replicas}});
  m_quarantine.merge({.Service = Service, .Parts = Verdict.Parts},
                     m_clock.now());
  m_beacon.sendNow();
}

std::vector<policy::UsageReport> Gateway::dueUsage(TimePoint Now,
                                                   std::uint64_t After) {
  return m_usage ? m_usage->due(Now, After)
                 : std::vector<policy::UsageReport>{};
}

void Gateway::setDutyHolder(std::optional<DaemonName> Holder,
                            std::uint64_t LastDecidedWindow) {
  m_dutyHolder = Holder;
  if (m_usage)
    m_usage->setHolder(std::move(Holder), LastDecidedWindow);
}

std::vector<policy::ReplicaOrder> Gateway::replicaOrders(TimePoint) {
  return m_scaling ? m_scaling->orders() : std::vector<policy::ReplicaOrder>{};
}

void Gateway::setReplicaOrders(
    const std::vector<policy::ReplicaOrder> &InForce) {
  if (m_scaling)
    m_scaling->setOrders(InForce);
}

std::vector<DispatcherCandidate> Gateway::candidates() {
  std::vector<DispatcherCandidate> Out;
  const TimePoint Now = m_clock.now();
  if (!m_state.Stopping)
    Out.push_back(
        {.Name = m_settings.Name,
         .Weight = std::max(m_spareProcessor.weight(), MinDispatchWeight)});
  for (const auto &[Name, Peer] : m_beacon.view().members())
    if (m_beacon.view().alive(Peer, Now) && Peer.Status.Ready &&
        !Peer.Status.Stopping)
      Out.push_back(
          {.Name = Name,
           .Weight = std::max(Peer.Status.Weight, MinDispatchWeight)});
  return Out;
}

std::optional<HostPort> Gateway::addressOf(const DaemonName &Daemon) {
  const auto &Members = m_beacon.view().members();
  const auto Entry = Members.find(Daemon);
  if (Entry == Members.end())
    return std::nullopt;
  return Entry->second.Status.Internal;
}

void Gateway::setDesiredState(routing::DesiredState State) {
  if (m_state.Table && State.Version <= m_state.Table->state().Version)
    return;
  m_log.line(LogClass::State, "state.applied",
             {{"version", std::to_string(State.Version)},
              {"routes", std::to_string(State.Routes.size())},
              {"workspaces", State.Workspaces
                                 ? std::to_string(State.Workspaces->size())
                                 : std::string("none")}});
  m_state.Table =
      std::make_shared<const routing::RoutingTable>(std::move(State));
  applyLimits();
  replicasChanged();
  m_beacon.sendNow();
}

void Gateway::applyLimits() {
  m_front.setOptions(serverOptions(m_state.Table->state().Limits));
}

void Gateway::replicasChanged() {
  if (!m_state.Table)
    return;
  for (const routing::Service &Service : m_state.Table->state().Services)
    if (Service.Engine || m_placement.knows(Service.Name))
      setReplicas(Service.Name);
}

void Gateway::setReplicas(const std::string &Name) {
  const routing::Service *Service =
      m_state.Table ? m_state.Table->service(Name) : nullptr;
  if (Service)
    m_placement.setReplicas(
        *Service, m_state.Rollouts.select(Name, m_state.Replicas.usable(Name)));
}

std::vector<routing::NamedLimit> Gateway::dispatchedLimits(TimePoint Now) {
  std::vector<routing::NamedLimit> Limits;
  if (m_state.Limits.empty() || !m_state.Table)
    return Limits;
  for (const routing::Service &Service : m_state.Table->state().Services)
    if (m_placement.dispatches(Service.Name))
      std::ranges::move(m_state.Limits.of(Service.Name, Now),
                        std::back_inserter(Limits));
  return Limits;
}

void Gateway::rolloutsChanged() {
  for (const auto &Report : m_state.Rollouts.reports(m_clock.now()))
    m_log.line(LogClass::State, "rollout.stage",
               {{"service", Report.Order.Service},
                {"version", Report.Order.Version},
                {"stage", std::string(toString(Report.Stage))},
                {"phase", std::string(toString(Report.Phase))},
                {"sent", std::to_string(Report.Sent.All)},
                {"sent_new", std::to_string(Report.Sent.New)},
                {"new_outcomes", std::to_string(Report.New.All)},
                {"new_failed", std::to_string(Report.New.Failed)},
                {"old_outcomes", std::to_string(Report.Old.All)},
                {"old_failed", std::to_string(Report.Old.Failed)},
                {"evidence", std::to_string(Report.Evidence)},
                {"open", Report.Doubt ? policy::toString(*Report.Doubt) : "no"},
                {"canary_share", std::to_string(Report.CanaryShare)},
                {"routes", routesText(Report)},
                {"reason", Report.Reason}});
  replicasChanged();
  m_beacon.sendNow();
}

void Gateway::logLoad(TimePoint Now) {
  const std::uint64_t Requests = m_metrics.requests();
  m_log.line(
      LogClass::State, "daemon.load",
      {{"requests", std::to_string(Requests - m_loggedRequests)},
       {"active", std::to_string(m_front.activeRequests())},
       {"connections", std::to_string(m_front.connections())},
       {"waiting", std::to_string(m_placement.waiting())},
       {"daemons", std::to_string(daemons())},
       {"suspects", std::to_string(m_crashes.suspects())},
       {"limited_replicas", std::to_string(m_state.Limits.size())},
       {"quarantined", std::to_string(m_quarantine.size())},
       {"buffered_kb", std::to_string(m_buffers->used() / 1024)},
       {"most_buffered_kb", std::to_string(m_buffers->peak() / 1024)},
       {"refused_percent",
        std::to_string(static_cast<int>(100 * m_shedder.refusedShare()))},
       {"lag_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_lag.resetWorst())
                           .count())}});
  m_loggedRequests = Requests;
  m_lastLoadLog = Now;
}

void Gateway::tick() {
  // Set first, so that an exception below doesn't end the ticks.
  // Exactly and in turn, because the delay of this tick is the loop's lag.
  m_tickTimer.callExactlyAfter(StateFreshness::TickInterval, [this] {
    net::callInTurn(m_loop, m_tickOwner, [this] { tick(); });
  });
  const TimePoint Now = m_clock.now();
  m_lag.tick(Now);
  m_placement.setLag(m_lag.mean());
  if (m_usage)
    m_usage->tick();
  if (m_scaling)
    m_scaling->tick();
  m_shedder.tick(m_lag.mean());
  if (Now - m_lastLoadLog >= LoadLogInterval)
    logLoad(Now);
  if (m_state.Freshness.tick(Now))
    m_log.line(LogClass::Fault, "daemon.stalled", {});
  if (m_state.Rollouts.tick(m_state.Replicas, Now))
    rolloutsChanged();
  if (m_state.Rollouts.hasUrgentOutcomes() &&
      Now - m_lastOutcomeBroadcast >= FleetRollouts::MovingHeartbeatInterval) {
    m_lastOutcomeBroadcast = Now;
    m_beacon.sendNow();
  }
  const auto Removed = m_state.Replicas.expire(Now);
  for (const routing::ReplicaId &Id : Removed)
    m_log.line(LogClass::State, "replica.gone", {{"replica", Id}});
  if (!Removed.empty())
    replicasChanged();
  if (Now - m_lastSweep >= SweepInterval) {
    m_lastSweep = Now;
    observeProcessor(Now);
    updateRetryFloors();
    m_state.Limits.expire(Now);
    m_pool.sweep(m_state.Replicas);
    m_front.closeIdleAbove(
        static_cast<std::size_t>(MaxCallerDescriptorShare *
                                 static_cast<double>(m_settings.Descriptors)));
    m_callerLimits.sweep(m_front, m_log, m_metrics);
  }
  if (m_state.Stopping)
    checkStopped();
}

void Gateway::observeProcessor(TimePoint Now) {
  const bool Before = m_spareProcessor.overloaded();
  m_spareProcessor.observe(processorTime(), Now);
  if (m_spareProcessor.overloaded() != Before)
    m_log.line(LogClass::State, "daemon.weight_changed",
               {{"overloaded", Before ? "no" : "yes"},
                {"weight", std::to_string(m_spareProcessor.weight())}});
}

void Gateway::stop() {
  if (m_state.Stopping)
    return;
  m_state.Stopping = true;
  // A busy daemon reads the signal late.
  const TimePoint Signalled = m_clock.now() - m_lag.mean();
  m_callEnvironment.Stop = {
      .Signalled = Signalled,
      .NotSignalledBefore =
          std::min(Signalled, m_lag.handledUntil().value_or(Signalled)),
      .Grace = m_settings.Bounds.StopGrace};
  m_front.startDraining();
  m_beacon.sendNow();
  m_log.line(
      LogClass::State, "daemon.stopping",
      {{"requests", std::to_string(m_front.activeRequests())},
       {"signal_age_ms",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                m_clock.now() - m_callEnvironment.Stop.NotSignalledBefore)
                .count())}});
}

void Gateway::checkStopped() {
  const StopSchedule &Stop = m_callEnvironment.Stop;
  const Duration Since = m_clock.now() - Stop.Signalled;
  const bool GraceEnds = m_clock.now() >= Stop.end();
  if (GraceEnds && !m_endedRequests) {
    m_endedRequests = true;
    m_log.line(LogClass::State, "daemon.ended_requests",
               {{"requests", std::to_string(m_front.activeRequests())}});
    m_front.endRequests();
    return; // The answers are sent until the next tick.
  }
  if (!GraceEnds) {
    if (Since <= CloseIdleAfter)
      return;
    m_front.closeIdle();
    if (!m_front.quiet())
      return;
    // What was connected meanwhile is accepted and answered first.
    if (std::exchange(m_listening, false)) {
      m_front.stopListening();
      return;
    }
  }
  if (m_usage)
    m_usage->sendLast();
  m_log.line(LogClass::State, "daemon.stopped",
             {{"cut", std::to_string(m_front.activeRequests())}});
  m_hooks.OnStopped();
}

} // namespace nutmegdrift::gateway
