// Connections between daemons, and the choice between a remote and a local
// decision.
#include "nutmegdrift/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegdrift::gateway {

namespace {

using routing::ModelDecision;
using routing::ReplicaOutcome;
using routing::RequestKey;

constexpr Duration LinkConnectTimeout = std::chrono::milliseconds(300);
constexpr unsigned ClientShift = 32;
/// The lag of a remote daemon counts twice: when it handles the decision and
/// when it handles the engine's first event.
constexpr int RemoteReportDelayFactor = 2;
/// A dispatcher decides for the whole fleet, so daemons with less than this
/// fraction of the greatest weight don't dispatch.
constexpr double MinRelativeWeight = 0.8;
/// Workspaces of a service that each summary describes.
constexpr std::size_t MaxWorkspacesLogged = 6;

std::string wholeNumber(double Value) {
  return std::to_string(std::llround(Value));
}

RequestKey clientKey(std::uint32_t Client, std::uint64_t Sequence) {
  return (std::uint64_t{Client} << ClientShift) | (Sequence & 0xFFFFFFFFU);
}

Milliseconds toMs(Duration Time) {
  return std::chrono::duration_cast<Milliseconds>(Time);
}

} // namespace

DaemonName
chooseDispatcher(std::string_view Service,
                 const std::vector<DispatcherCandidate> &Candidates) {
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  const std::uint64_t Seed = hashText(Service);
  const DispatcherCandidate *Best = nullptr;
  double BestScore = 0.0;
  double MaxWeight = 0.0;
  for (const DispatcherCandidate &Candidate : Candidates)
    MaxWeight = std::max(MaxWeight, Candidate.Weight);
  for (const DispatcherCandidate &Candidate : Candidates) {
    if (Candidate.Weight < MaxWeight * MinRelativeWeight)
      continue;
    const double Uniform =
        (static_cast<double>(hashText(Candidate.Name, Seed)) + 1.0) / HashRange;
    const double Score =
        -Candidate.Weight / std::log(std::min(Uniform, 0.9999999));
    if (!Best || Score > BestScore ||
        (Score == BestScore && Candidate.Name < Best->Name)) {
      Best = &Candidate;
      BestScore = Score;
    }
  }
  return Best ? Best->Name : DaemonName();
}

/// A connection to a dispatcher.
class Placement::Link final : public net::ByteStream::Listener,
                              public std::enable_shared_from_this<Link> {
public:
  Link(Placement &Owner, DaemonName Daemon)
      : m_owner(Owner), m_daemon(std::move(Daemon)),
        m_stream(std::make_shared<net::ByteStream>(Owner.m_env.Loop, *this)) {}
  ~Link() override { m_stream->close(); }

  void open(const HostPort &Address) {
    m_stream->connect(Address, LinkConnectTimeout);
  }
  void send(const PlacementMessage &Message) {
    m_stream->write(encodeFrame(Message));
  }
  [[nodiscard]] const DaemonName &daemon() const { return m_daemon; }
  /// Whether requests may be sent.
  [[nodiscard]] bool usable() const { return m_connected && !m_unresponsive; }
  [[nodiscard]] bool connected() const { return m_connected; }
  [[nodiscard]] TimePoint failedAt() const { return m_failedAt; }
  [[nodiscard]] bool failed() const { return m_failed; }
  [[nodiscard]] TimePoint lastReceived() const { return m_lastReceived; }
  void setUnresponsive() { m_unresponsive = true; }
  [[nodiscard]] bool unresponsive() const { return m_unresponsive; }
  /// Restarts the timeout if no other request is pending.
  void requestSent(TimePoint Now) {
    if (m_pendingRequests++ == 0)
      m_lastReceived = std::max(m_lastReceived, Now);
  }
  void requestDecided() { m_pendingRequests -= m_pendingRequests > 0 ? 1 : 0; }
  [[nodiscard]] std::size_t pendingRequests() const {
    return m_pendingRequests;
  }

  void onConnected() override {
    m_connected = true;
    m_lastReceived = m_owner.m_env.Clk.now();
    m_owner.onLinkResponsive(*this);
  }
  void onConnectFailed() override { disconnect(); }
  void onEnd(net::StreamEnd) override { disconnect(); }
  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    m_lastReceived = m_owner.m_env.Clk.now();
    if (std::exchange(m_unresponsive, false))
      m_owner.onLinkResponsive(*this);
    m_received.append(Data);
    bool Malformed = false;
    while (const auto Message = decodeFrame(m_received, Malformed)) {
      m_owner.onDispatcherMessage(m_daemon, *Message);
      if (m_failed)
        return;
    }
    if (Malformed)
      disconnect();
  }
  void disconnect() {
    if (m_failed)
      return;
    auto Self = shared_from_this();
    m_stream->close();
    m_connected = false;
    m_failed = true;
    m_pendingRequests = 0;
    m_failedAt = m_owner.m_env.Clk.now();
    m_owner.onLinkFailed(m_daemon);
  }

private:
  Placement &m_owner;
  const DaemonName m_daemon;
  std::shared_ptr<net::ByteStream> m_stream;
  std::string m_received;
  bool m_connected = false;
  bool m_failed = false;
  bool m_unresponsive = false;
  std::size_t m_pendingRequests = 0; ///< Sent, without a decision yet.
  TimePoint m_lastReceived{};
  TimePoint m_failedAt{};
};

/// A connection from another daemon.
class Placement::Client final : public net::ByteStream::Listener,
                                public std::enable_shared_from_this<Client> {
public:
  Client(Placement &Owner, std::uint32_t Number, net::TcpSocket Socket)
      : m_owner(Owner), m_number(Number),
        m_stream(std::make_shared<net::ByteStream>(std::move(Socket), *this)) {}
  ~Client() override { m_stream->close(); }

  void start() { m_stream->startReading(); }
  void send(const PlacementMessage &Message) {
    m_stream->write(encodeFrame(Message));
  }
  [[nodiscard]] std::uint32_t number() const { return m_number; }
  [[nodiscard]] std::map<std::uint64_t, std::string> &requests() {
    return m_requests;
  }
  [[nodiscard]] std::size_t waiting() const { return m_waiting; }
  [[nodiscard]] TimePoint lastReceived() const { return m_lastReceived; }
  /// Name of the daemon; empty until its first request.
  [[nodiscard]] const DaemonName &daemon() const { return m_daemon; }
  void requested(const PlaceRequest &Request, TimePoint Now) {
    if (m_daemon != Request.Sender)
      m_daemon = Request.Sender;
    if (Request.RunningOn.empty())
      m_lastRequested[Request.Service] = Now;
  }
  [[nodiscard]] bool active(const std::string &Service, TimePoint Now) const {
    const auto Entry = m_lastRequested.find(Service);
    return Entry != m_lastRequested.end() &&
           Now - Entry->second < ActiveClientTime;
  }
  void disconnect() {
    auto Self = shared_from_this();
    m_stream->close();
    m_owner.onClientDisconnected(*this);
  }
  void changeWaiting(int Delta) {
    m_waiting = static_cast<std::size_t>(std::max<std::int64_t>(
        static_cast<std::int64_t>(m_waiting) + Delta, 0));
  }

  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    m_lastReceived = m_owner.m_env.Clk.now();
    m_received.append(Data);
    bool Malformed = false;
    while (const auto Message = decodeFrame(m_received, Malformed))
      m_owner.onClientMessage(*this, *Message);
    if (Malformed)
      disconnect();
  }
  void onEnd(net::StreamEnd) override { disconnect(); }

private:
  Placement &m_owner;
  const std::uint32_t m_number;
  std::shared_ptr<net::ByteStream> m_stream;
  std::string m_received;
  /// Service of each waiting or running request, by sequence.
  std::map<std::uint64_t, std::string> m_requests;
  std::size_t m_waiting = 0;
  DaemonName m_daemon;
  TimePoint m_lastReceived{};
  std::map<std::string, TimePoint> m_lastRequested; ///< By service.
};

Placement::Placement(Environment Env)
    : m_env(std::move(Env)),
      m_listener(m_env.Loop,
                 [this](net::TcpSocket Socket) {
                   const std::uint32_t Number = m_nextClient++;
                   auto NewClient = std::make_shared<Client>(*this, Number,
                                                             std::move(Socket));
                   m_clients[Number] = NewClient;
                   NewClient->start();
                 }),
      m_pumpTimer(m_env.Loop), m_checkTimer(m_env.Loop),
      m_started(m_env.Clk.now()) {}

Placement::~Placement() = default;

bool Placement::start() {
  if (!m_listener.listen(m_env.Internal))
    return false;
  checkLinks();
  return true;
}

routing::ModelDispatcher &Placement::dispatcher(const std::string &Service) {
  const auto Existing = m_dispatchers.find(Service);
  if (Existing != m_dispatchers.end())
    return Existing->second;
  routing::ModelDispatcher &Created =
      m_dispatchers
          .try_emplace(Service, m_options, hashText(Service, m_env.Seed),
                       m_env.Limits)
          .first->second;
  if (m_env.OnNewService)
    m_env.OnNewService(Service);
  return Created;
}

void Placement::setReplicas(const routing::Service &Service,
                            const std::vector<routing::Replica *> &Usable) {
  dispatcher(Service.Name).setReplicas(Usable, Service);
  if (!m_roles.contains(Service.Name))
    updateRoles();
  schedulePump();
}

void Placement::setOptions(const routing::DispatcherOptions &Options) {
  m_options = Options;
  updateShares();
}

DaemonName Placement::dispatcherOf(const std::string &Service) const {
  const auto Entry = m_roles.find(Service);
  return Entry == m_roles.end() ? DaemonName() : Entry->second.Dispatcher;
}

bool Placement::dispatches(const std::string &Service) const {
  return dispatcherOf(Service) == m_env.Self;
}

bool Placement::dispatchesAny() const {
  return std::any_of(m_roles.begin(), m_roles.end(), [this](const auto &Entry) {
    return dispatches(Entry.first);
  });
}

void Placement::updateRoles() {
  const TimePoint Now = m_env.Clk.now();
  m_candidates = m_env.Candidates();
  for (const auto &[Service, Dispatcher] : m_dispatchers)
    updateRole(Service, m_roles[Service]);
  std::erase_if(m_lostDispatchers, [&](const auto &Entry) {
    return Now - Entry.second > LostDispatcherRetry;
  });
  updateShares();
}

void Placement::updateRole(const std::string &Service, Role &Current) {
  Current.FirstChoice = chooseDispatcher(Service, m_candidates);
  DaemonName Next = Current.FirstChoice;
  if (m_lostDispatchers.contains(Next)) {
    std::vector<DispatcherCandidate> Reachable = m_candidates;
    std::erase_if(Reachable, [this](const DispatcherCandidate &Candidate) {
      return m_lostDispatchers.contains(Candidate.Name);
    });
    Next = chooseDispatcher(Service, Reachable);
  }
  if (Next == Current.Dispatcher)
    return;
  m_env.Log.line(LogClass::State, "dispatcher.changed",
                 {{"service", Service},
                  {"from", Current.Dispatcher},
                  {"to", Next},
                  {"first_choice", Current.FirstChoice}});
  Current.Dispatcher = Next;
  if (Next == m_env.Self || Next.empty()) {
    for (auto &[Key, Local] : m_localRequests)
      if (Local.Service == Service && !Local.RunningOn.empty())
        withdrawReport(Key, std::exchange(Local.Dispatcher, {}));
    return;
  }
  if (Link *Target = linkTo(Next); Target && Target->connected())
    reportRunning(*Target);
}

double Placement::shareOf(const std::string &Service) const {
  if (dispatches(Service))
    return 1.0;
  // Daemons that lost the dispatcher may place here although this daemon still
  // reaches it.
  const TimePoint Now = m_env.Clk.now();
  const auto Placing =
      1 +
      std::count_if(m_clients.begin(), m_clients.end(), [&](const auto &Entry) {
        return Entry.second->active(Service, Now);
      });
  const auto Daemons = std::max<std::size_t>(m_candidates.size(), 1);
  return std::min(1.0,
                  static_cast<double>(Placing) / static_cast<double>(Daemons));
}

void Placement::updateShares() {
  const std::size_t Daemons = std::max<std::size_t>(m_candidates.size(), 1);
  for (auto &[Service, Dispatcher] : m_dispatchers) {
    routing::DispatcherOptions Options = m_options;
    Options.Share = shareOf(Service);
    Options.LimitShare = routing::limitShare(
        dispatches(Service), Daemons, hashText(m_env.Self, hashText(Service)));
    // By the first choice, on which all daemons agree, because together they
    // must not exceed a cold replica's rate.
    Options.ColdShare = routing::coldShare(
        m_roles[Service].FirstChoice == m_env.Self, Daemons,
        m_env.Clk.now() - m_started, hashText(m_env.Self, hashText(Service)));
    Dispatcher.setOptions(Options);
  }
}

Placement::Link *Placement::linkTo(const DaemonName &Daemon) {
  const auto Existing = m_links.find(Daemon);
  if (Existing != m_links.end()) {
    if (!Existing->second->failed())
      return Existing->second.get();
    if (m_env.Clk.now() - Existing->second->failedAt() < ReconnectDelay)
      return nullptr;
    m_links.erase(Existing);
  }
  const auto Address = m_env.AddressOf(Daemon);
  if (!Address)
    return nullptr;
  auto NewLink = std::make_shared<Link>(*this, Daemon);
  m_links[Daemon] = NewLink;
  NewLink->open(*Address);
  return NewLink.get();
}

RequestKey Placement::place(const std::string &Service,
                            routing::ModelRequest Request, OnDecision OnDone) {
  const RequestKey Key = m_nextSequence++;
  Request.Key = Key;
  Request.ReportDelay = m_lag;
  LocalRequest &Local = m_localRequests[Key];
  Local.Service = Service;
  Local.Request = std::move(Request);
  Local.OnDone = std::move(OnDone);
  const DaemonName DispatcherName = dispatcherOf(Service);
  Link *Target = DispatcherName.empty() || DispatcherName == m_env.Self
                     ? nullptr
                     : linkTo(DispatcherName);
  if (!Target || !Target->usable()) {
    offerLocally(Service, Key);
    return Key;
  }
  const TimePoint Now = m_env.Clk.now();
  Local.Dispatcher = DispatcherName;
  Target->requestSent(Now);
  const routing::ModelRequest &Stored = Local.Request;
  Target->send(
      PlaceRequest{.Sequence = Key,
                   .Service = Service,
                   .Workspace = Stored.Workspace,
                   .Prompt = Stored.Prompt,
                   .PromptTokens = Stored.PromptTokens,
                   .OutputTokens = Stored.OutputTokens,
                   .Age = toMs(Now - Stored.Arrived),
                   .Target = toMs(Stored.FirstTokenTarget),
                   .RemainingWait = toMs(Stored.FirstTokenDeadline - Now),
                   .Tried = {Stored.Tried.begin(), Stored.Tried.end()},
                   .Repeated = Stored.Repeated,
                   .ReportDelay = toMs(m_lag * RemoteReportDelayFactor),
                   .Sender = m_env.Self});
  return Key;
}

void Placement::offerLocally(const std::string &Service, RequestKey Key) {
  LocalRequest &Local = m_localRequests.at(Key);
  Local.Dispatcher.clear();
  const auto Refusal =
      dispatcher(Service).offer(Local.Request, m_env.Clk.now());
  if (!Refusal) {
    schedulePump();
    return;
  }
  // Posted, because the caller of place() doesn't have the key yet.
  boost::asio::post(m_env.Loop, [this, Decision = *Refusal] {
    deliverLocally(Decision.Key, Decision);
  });
}

void Placement::deliverLocally(RequestKey Key, const ModelDecision &Decision) {
  const auto Entry = m_localRequests.find(Key);
  if (Entry == m_localRequests.end() || !Entry->second.OnDone)
    return;
  const OnDecision OnDone = std::move(Entry->second.OnDone);
  Entry->second.OnDone = nullptr;
  Entry->second.RunningOn = Decision.Destination;
  if (Decision.Destination.empty())
    m_localRequests.erase(Entry);
  OnDone(Decision);
}

void Placement::deliver(const std::string &, const ModelDecision &Decision) {
  const auto Number = static_cast<std::uint32_t>(Decision.Key >> ClientShift);
  if (Number == 0) {
    deliverLocally(Decision.Key, Decision);
    return;
  }
  const auto Entry = m_clients.find(Number);
  if (Entry == m_clients.end())
    return;
  Client &Recipient = *Entry->second;
  const std::uint64_t Sequence = Decision.Key & 0xFFFFFFFFU;
  Recipient.changeWaiting(-1);
  if (Decision.Destination.empty()) {
    Recipient.requests().erase(Sequence);
    Recipient.send(PlaceRefusal{.Sequence = Sequence,
                                .RetryAfter = Decision.RetryAfter,
                                .PredictedFirstToken =
                                    toMs(Decision.PredictedFirstToken)});
    return;
  }
  Recipient.send(PlaceGrant{.Sequence = Sequence,
                            .Replica = Decision.Destination,
                            .FetchFrom = Decision.FetchFrom});
}

void Placement::schedulePump() {
  if (m_pumpTimer.armed())
    return;
  const Duration Since = m_env.Clk.now() - m_lastPump;
  m_pumpTimer.callAfter(std::max(MinPumpInterval - Since, Duration{0}),
                        [this] { pump(); });
}

void Placement::pump() {
  const TimePoint Now = m_env.Clk.now();
  m_lastPump = Now;
  bool Waiting = false;
  for (auto &[Service, Dispatcher] : m_dispatchers) {
    for (const ModelDecision &Decision : Dispatcher.pump(Now))
      deliver(Service, Decision);
    Waiting = Waiting || Dispatcher.queued() > 0;
  }
  if (Waiting && !m_pumpTimer.armed())
    m_pumpTimer.callAfter(PumpInterval, [this] { pump(); });
}

void Placement::checkLinks() {
  m_checkTimer.callAfter(KeepAliveInterval / 2, [this] { checkLinks(); });
  const TimePoint Now = m_env.Clk.now();
  dropLostClients(Now);
  updateRoles();
  const auto Links = m_links;
  for (const auto &[Daemon, Target] : Links) {
    if (Target->failed() || Target->pendingRequests() == 0)
      continue;
    if (Now - Target->lastReceived() > LinkTimeout) {
      Target->disconnect();
      continue;
    }
    if (!Target->unresponsive() &&
        Now - Target->lastReceived() > DispatcherTimeout) {
      Target->setUnresponsive();
      m_env.Log.line(LogClass::Fault, "dispatcher.silent",
                     {{"daemon", Daemon},
                      {"owing", std::to_string(Target->pendingRequests())}});
      onDispatcherLost(Daemon);
    }
  }
  // Connect before the first request needs the link, and try the first choice
  // again if another daemon dispatches in its place.
  for (const auto &[Service, Current] : m_roles)
    for (const DaemonName &Daemon : {Current.Dispatcher, Current.FirstChoice})
      if (!Daemon.empty() && Daemon != m_env.Self)
        linkTo(Daemon);
  if (Now - m_lastSummary >= SummaryInterval) {
    m_lastSummary = Now;
    logSummary();
  }
  if (Now - m_lastKeepAlive < KeepAliveInterval)
    return;
  m_lastKeepAlive = Now;
  for (const auto &[Number, Requester] : m_clients)
    if (Requester->waiting() > 0)
      Requester->send(DispatcherKeepAlive{});
}

void Placement::logSummary() {
  for (const auto &[Service, Dispatcher] : m_dispatchers) {
    if (!dispatches(Service))
      continue;
    const routing::DispatcherTotals &Totals = Dispatcher.totals();
    m_env.Log.line(LogClass::State, "dispatcher.summary",
                   {{"service", Service},
                    {"placed", std::to_string(Totals.Placed)},
                    {"refused", std::to_string(Totals.Refused)},
                    {"late", std::to_string(Totals.MissedTarget)},
                    {"queued", std::to_string(Dispatcher.queued())},
                    {"running", std::to_string(Dispatcher.running())},
                    {"load", std::to_string(Dispatcher.load())},
                    {"tokens_read", std::to_string(Totals.TokensRead)},
                    {"tokens_known", std::to_string(Totals.TokensCached)},
                    {"tokens_reread", std::to_string(Totals.TokensReread)},
                    {"engines", Dispatcher.describeEngines()}});
    for (const routing::WorkspaceTotals &Workspace :
         Dispatcher.workspaceTotals(MaxWorkspacesLogged))
      m_env.Log.line(
          LogClass::State, "dispatcher.workspace",
          {{"service", Service},
           {"workspace", Workspace.Workspace},
           {"requested_tokens", wholeNumber(Workspace.RequestedTokens)},
           {"placed_tokens", wholeNumber(Workspace.PlacedTokens)},
           {"placed", std::to_string(Workspace.Placed)},
           {"refused", std::to_string(Workspace.Refused)},
           {"queued", std::to_string(Workspace.Queued)},
           {"surplus_tokens", wholeNumber(Workspace.SurplusTokens)}});
  }
}

void Placement::reclaimRequests(const DaemonName &DispatcherName) {
  std::vector<RequestKey> Waiting;
  for (const auto &[Key, Local] : m_localRequests)
    if (Local.Dispatcher == DispatcherName && Local.OnDone)
      Waiting.push_back(Key);
  for (const RequestKey Key : Waiting)
    offerLocally(m_localRequests.at(Key).Service, Key);
}

void Placement::onLinkFailed(const DaemonName &Daemon) {
  m_env.Log.line(LogClass::Fault, "dispatcher.lost", {{"daemon", Daemon}});
  onDispatcherLost(Daemon);
}

void Placement::onDispatcherLost(const DaemonName &Daemon) {
  m_lostDispatchers[Daemon] = m_env.Clk.now();
  updateRoles();
  reclaimRequests(Daemon);
}

void Placement::onLinkResponsive(Link &Restored) {
  m_lostDispatchers.erase(Restored.daemon());
  const auto RolesBefore = m_roles;
  updateRoles();
  // A role that changes to the restored dispatcher reports by itself.
  if (m_roles == RolesBefore)
    reportRunning(Restored);
}

void Placement::withdrawReport(RequestKey Key, const DaemonName &Former) {
  const auto FormerLink = m_links.find(Former);
  if (FormerLink != m_links.end() && FormerLink->second->connected())
    FormerLink->second->send(
        EndedReport{.Sequence = Key, .Outcome = ReplicaOutcome::Abandoned});
}

void Placement::dropLostClients(TimePoint Now) {
  const TimePoint Previous = std::exchange(m_lastCheck, Now);
  if (Previous != TimePoint{} && Now - Previous > StallTime)
    m_catchingUpUntil = Now + CatchUpTime;
  if (Now < m_catchingUpUntil)
    return;
  const auto Clients = m_clients;
  for (const auto &[Number, Connected] : Clients) {
    if (Connected->daemon().empty() ||
        Now - Connected->lastReceived() < LostClientSilence ||
        !m_env.IsLost(Connected->daemon()))
      continue;
    m_env.Log.line(
        LogClass::Fault, "dispatcher.client_lost",
        {{"daemon", Connected->daemon()},
         {"requests", std::to_string(Connected->requests().size())}});
    Connected->disconnect();
  }
}

void Placement::reportRunning(Link &Target) {
  const TimePoint Now = m_env.Clk.now();
  for (auto &[Key, Local] : m_localRequests) {
    if (Local.RunningOn.empty() ||
        dispatcherOf(Local.Service) != Target.daemon())
      continue;
    if (Local.Dispatcher != Target.daemon())
      withdrawReport(Key, std::exchange(Local.Dispatcher, Target.daemon()));
    const routing::ModelRequest &Request = Local.Request;
    Target.send(PlaceRequest{.Sequence = Key,
                             .Service = Local.Service,
                             .Workspace = Request.Workspace,
                             .Prompt = Request.Prompt,
                             .PromptTokens = Request.PromptTokens,
                             .OutputTokens = Request.OutputTokens,
                             .Age = toMs(Now - Request.Arrived),
                             .Target = toMs(Request.FirstTokenTarget),
                             .RunningOn = Local.RunningOn,
                             .Started = Local.Started,
                             .Sender = m_env.Self});
  }
}

void Placement::onDispatcherMessage(const DaemonName &Daemon,
                                    const PlacementMessage &Message) {
  const auto Entry = m_links.find(Daemon);
  if (Entry == m_links.end())
    return;
  Link &Source = *Entry->second;
  if (const auto *Grant = std::get_if<PlaceGrant>(&Message)) {
    Source.requestDecided();
    const auto Local = m_localRequests.find(Grant->Sequence);
    if (Local == m_localRequests.end() || !Local->second.OnDone ||
        Local->second.Dispatcher != Daemon) {
      // Placed locally or ended meanwhile.
      Source.send(EndedReport{.Sequence = Grant->Sequence,
                              .Outcome = ReplicaOutcome::Abandoned});
      return;
    }
    const TimePoint Now = m_env.Clk.now();
    dispatcher(Local->second.Service)
        .takeOver(Local->second.Request, Grant->Replica, false, Now);
    deliverLocally(Grant->Sequence,
                   {.Key = Grant->Sequence,
                    .Destination = Grant->Replica,
                    .FetchFrom = Grant->FetchFrom,
                    .Waited = Now - Local->second.Request.Arrived});
    return;
  }
  if (const auto *Refusal = std::get_if<PlaceRefusal>(&Message)) {
    Source.requestDecided();
    const auto Local = m_localRequests.find(Refusal->Sequence);
    if (Local != m_localRequests.end() && Local->second.Dispatcher == Daemon)
      deliverLocally(Refusal->Sequence,
                     {.Key = Refusal->Sequence,
                      .RetryAfter = Refusal->RetryAfter,
                      .Waited = m_env.Clk.now() - Local->second.Request.Arrived,
                      .PredictedFirstToken = Refusal->PredictedFirstToken});
  }
}

void Placement::onClientMessage(Client &Requester,
                                const PlacementMessage &Message) {
  const TimePoint Now = m_env.Clk.now();
  if (const auto *Place = std::get_if<PlaceRequest>(&Message)) {
    const RequestKey Key = clientKey(Requester.number(), Place->Sequence);
    routing::ModelRequest Request{
        .Key = Key,
        .Workspace = Place->Workspace,
        .Prompt = Place->Prompt,
        .PromptTokens = Place->PromptTokens,
        .OutputTokens = Place->OutputTokens,
        .Arrived = Now - Place->Age,
        .FirstTokenTarget = Place->Target,
        .FirstTokenDeadline = Now + Place->RemainingWait,
        .Tried = {Place->Tried.begin(), Place->Tried.end()},
        .Repeated = Place->Repeated,
        .ReportDelay = Place->ReportDelay};
    routing::ModelDispatcher &Target = dispatcher(Place->Service);
    Requester.requests()[Place->Sequence] = Place->Service;
    Requester.requested(*Place, Now);
    if (!Place->RunningOn.empty()) {
      Target.takeOver(Request, Place->RunningOn, Place->Started, Now);
      return;
    }
    Requester.changeWaiting(1);
    if (const auto Refusal = Target.offer(std::move(Request), Now))
      deliver(Place->Service, *Refusal);
    else
      schedulePump();
    return;
  }
  auto ServiceOf = [&](std::uint64_t Sequence) -> const std::string * {
    const auto Entry = Requester.requests().find(Sequence);
    return Entry == Requester.requests().end() ? nullptr : &Entry->second;
  };
  if (const auto *Withdrawn = std::get_if<WithdrawRequest>(&Message)) {
    const std::string *Service = ServiceOf(Withdrawn->Sequence);
    if (!Service)
      return;
    const RequestKey Key = clientKey(Requester.number(), Withdrawn->Sequence);
    if (dispatcher(*Service).withdraw(Key))
      Requester.changeWaiting(-1);
    else
      dispatcher(*Service).ended(Key, ReplicaOutcome::Abandoned, Now);
    Requester.requests().erase(Withdrawn->Sequence);
    schedulePump();
  } else if (const auto *Started = std::get_if<StartedReport>(&Message)) {
    if (const std::string *Service = ServiceOf(Started->Sequence)) {
      const RequestKey Key = clientKey(Requester.number(), Started->Sequence);
      observeLimit(*Service, Key, Started->RateLimit);
      dispatcher(*Service).started(Key, Now, Started->TimeToFirstEvent);
      reportVerdicts(*Service);
    }
    schedulePump();
  } else if (const auto *Ended = std::get_if<EndedReport>(&Message)) {
    if (Ended->Crash)
      countCrash(Ended->Crash->Service,
                 {.Key = clientKey(Requester.number(), Ended->Sequence),
                  .Replica = Ended->Crash->Replica,
                  .Parts = Ended->Crash->Parts,
                  .SentAt = Now - Ended->Crash->SentAgo});
    if (const std::string *Service = ServiceOf(Ended->Sequence)) {
      const RequestKey Key = clientKey(Requester.number(), Ended->Sequence);
      if (Ended->RateLimit)
        observeLimit(*Service, Key, Ended->RateLimit);
      dispatcher(*Service).ended(Key, Ended->Outcome, Now);
    }
    Requester.requests().erase(Ended->Sequence);
    schedulePump();
  }
}

void Placement::onClientDisconnected(Client &Lost) {
  const TimePoint Now = m_env.Clk.now();
  for (const auto &[Sequence, Service] : Lost.requests()) {
    const RequestKey Key = clientKey(Lost.number(), Sequence);
    if (!dispatcher(Service).withdraw(Key))
      dispatcher(Service).ended(Key, ReplicaOutcome::Abandoned, Now);
  }
  m_clients.erase(Lost.number());
  schedulePump();
}

void Placement::started(RequestKey Key, Duration TimeToFirstEvent,
                        std::optional<double> RateLimit) {
  const auto Entry = m_localRequests.find(Key);
  if (Entry == m_localRequests.end() || Entry->second.Started)
    return;
  Entry->second.Started = true;
  // The event waited for this daemon's event loop; that isn't engine time.
  TimeToFirstEvent = std::max(TimeToFirstEvent - m_lag, Duration{0});
  dispatcher(Entry->second.Service)
      .started(Key, m_env.Clk.now(), TimeToFirstEvent);
  reportVerdicts(Entry->second.Service);
  if (!Entry->second.Dispatcher.empty())
    if (const auto Target = m_links.find(Entry->second.Dispatcher);
        Target != m_links.end() && Target->second->connected())
      Target->second->send(
          StartedReport{.Sequence = Key,
                        .TimeToFirstEvent = toMs(TimeToFirstEvent),
                        .RateLimit = RateLimit});
  schedulePump();
}

void Placement::ended(RequestKey Key, ReplicaOutcome Outcome,
                      std::optional<double> RateLimit) {
  const auto Entry = m_localRequests.find(Key);
  if (Entry == m_localRequests.end())
    return;
  LocalRequest Local = std::move(Entry->second);
  m_localRequests.erase(Entry);
  routing::ModelDispatcher &Target = dispatcher(Local.Service);
  if (!Target.withdraw(Key))
    Target.ended(Key, Outcome, m_env.Clk.now());
  schedulePump();
  if (Local.Dispatcher.empty())
    return;
  const auto DispatcherLink = m_links.find(Local.Dispatcher);
  if (DispatcherLink == m_links.end() || !DispatcherLink->second->connected())
    return;
  if (Local.OnDone) {
    DispatcherLink->second->requestDecided();
    DispatcherLink->second->send(WithdrawRequest{.Sequence = Key});
    return;
  }
  DispatcherLink->second->send(
      EndedReport{.Sequence = Key, .Outcome = Outcome, .RateLimit = RateLimit});
}

void Placement::observeLimit(const std::string &Service, RequestKey Key,
                             std::optional<double> RateLimit) {
  const routing::ReplicaId Replica = dispatcher(Service).replicaOf(Key);
  if (m_env.Limits && !Replica.empty())
    m_env.Limits->observe(Service, Replica, RateLimit, m_env.Clk.now());
}

void Placement::countCrash(const std::string &Service,
                           const routing::CrashedRequest &Request) {
  dispatcher(Service).crashed(Request, m_env.Clk.now());
  reportVerdicts(Service);
}

void Placement::reportVerdicts(const std::string &Service) {
  for (const routing::PartVerdict &Verdict : dispatcher(Service).takeVerdicts())
    m_env.OnQuarantine(Service, Verdict);
}

void Placement::crashed(const std::string &Service,
                        const routing::CrashedRequest &Request) {
  countCrash(Service, Request);
  const auto Target = m_links.find(dispatcherOf(Service));
  if (Target == m_links.end() || !Target->second->connected())
    return;
  Target->second->send(EndedReport{
      .Sequence = Request.Key,
      .Outcome = ReplicaOutcome::Failed,
      .Crash = CrashReport{.Service = Service,
                           .Replica = Request.Replica,
                           .Parts = Request.Parts,
                           .SentAgo = toMs(m_env.Clk.now() - Request.SentAt)}});
}

std::size_t Placement::waiting() const {
  return static_cast<std::size_t>(std::count_if(
      m_localRequests.begin(), m_localRequests.end(), [](const auto &Entry) {
        return static_cast<bool>(Entry.second.OnDone);
      }));
}

std::optional<routing::DemandSummary>
Placement::demand(const std::string &Service) const {
  const TimePoint Now = m_env.Clk.now();
  const auto Entry = m_dispatchers.find(Service);
  if (Entry == m_dispatchers.end() ||
      (!dispatches(Service) && !Entry->second.demandMeter().active(Now)))
    return std::nullopt;
  routing::DemandSummary Out = Entry->second.demand(Now);
  Out.Service = Service;
  return Out;
}

std::size_t Placement::running(const std::string &Service) const {
  const auto Entry = m_dispatchers.find(Service);
  return Entry == m_dispatchers.end() ? 0 : Entry->second.running();
}

} // namespace nutmegdrift::gateway
