// Links between daemons and the choice between a remote and a local decision.
#include "nutmegdrift/gateway/placement.h"

#include <algorithm>
#include <cmath>

namespace nutmegdrift::gateway {

namespace {

using routing::ModelDecision;
using routing::ReplicaOutcome;
using routing::RequestKey;

constexpr Duration LinkConnectTimeout = std::chrono::milliseconds(300);
constexpr unsigned ClientShift = 32;
/// A daemon handles a decision late, and later the engine's first event.
constexpr int DelaysOfARemoteReport = 2;
/// A dispatcher decides for the whole fleet, so weaker VMs than this part of
/// the strongest one don't.
constexpr double LeastStrength = 0.8;

RequestKey clientKey(std::uint32_t Client, std::uint64_t Sequence) {
  return (std::uint64_t{Client} << ClientShift) | (Sequence & 0xFFFFFFFFU);
}

Milliseconds toMs(Duration Time) {
  return std::chrono::duration_cast<Milliseconds>(Time);
}

} // namespace

DaemonName chooseDispatcher(std::string_view Service,
                            const std::vector<DispatcherCandidate> &Among) {
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  const std::uint64_t Seed = hashText(Service);
  const DispatcherCandidate *Best = nullptr;
  double BestScore = 0.0;
  double Strongest = 0.0;
  for (const DispatcherCandidate &Each : Among)
    Strongest = std::max(Strongest, Each.Weight);
  for (const DispatcherCandidate &Each : Among) {
    if (Each.Weight < Strongest * LeastStrength)
      continue;
    const double Uniform =
        (static_cast<double>(hashText(Each.Name, Seed)) + 1.0) / HashRange;
    const double Score = -Each.Weight / std::log(std::min(Uniform, 0.9999999));
    if (!Best || Score > BestScore ||
        (Score == BestScore && Each.Name < Best->Name)) {
      Best = &Each;
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

  void open(const HostPort &To) { m_stream->connect(To, LinkConnectTimeout); }
  void send(const PlacementMessage &What) {
    m_stream->write(encodeFrame(What));
  }
  [[nodiscard]] const DaemonName &daemon() const { return m_daemon; }
  /// Whether requests may be sent.
  [[nodiscard]] bool usable() const { return m_up && !m_silent; }
  [[nodiscard]] bool up() const { return m_up; }
  [[nodiscard]] TimePoint failedAt() const { return m_failedAt; }
  [[nodiscard]] bool failed() const { return m_failed; }
  [[nodiscard]] TimePoint heard() const { return m_heard; }
  void setSilent() { m_silent = true; }
  [[nodiscard]] bool silent() const { return m_silent; }
  /// Restarts the silence count when an answer becomes owed.
  void owed(TimePoint Now) {
    if (m_owed++ == 0)
      m_heard = std::max(m_heard, Now);
  }
  void settled() { m_owed -= m_owed > 0 ? 1 : 0; }
  [[nodiscard]] std::size_t owing() const { return m_owed; }

  void onConnected() override {
    m_up = true;
    m_heard = m_owner.m_env.Clk.now();
    m_owner.announceRunning(*this);
  }
  void onConnectFailed() override { lost(); }
  void onEnd(net::StreamEnd) override { lost(); }
  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    m_heard = m_owner.m_env.Clk.now();
    m_silent = false;
    m_in.append(Data);
    bool Bad = false;
    while (const auto What = decodeFrame(m_in, Bad)) {
      m_owner.fromDispatcher(m_daemon, *What);
      if (m_failed)
        return;
    }
    if (Bad)
      lost();
  }
  void lost() {
    if (m_failed)
      return;
    auto Self = shared_from_this();
    m_stream->close();
    m_up = false;
    m_failed = true;
    m_owed = 0;
    m_failedAt = m_owner.m_env.Clk.now();
    m_owner.linkLost(m_daemon);
  }

private:
  Placement &m_owner;
  const DaemonName m_daemon;
  std::shared_ptr<net::ByteStream> m_stream;
  std::string m_in;
  bool m_up = false;
  bool m_failed = false;
  bool m_silent = false;
  std::size_t m_owed = 0; ///< Requests sent that have no decision yet.
  TimePoint m_heard{};
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
  void send(const PlacementMessage &What) {
    m_stream->write(encodeFrame(What));
  }
  [[nodiscard]] std::uint32_t number() const { return m_number; }
  [[nodiscard]] std::map<std::uint64_t, std::string> &requests() {
    return m_requests;
  }
  [[nodiscard]] std::size_t waiting() const { return m_waiting; }
  void changeWaiting(int By) {
    m_waiting = static_cast<std::size_t>(
        std::max<std::int64_t>(static_cast<std::int64_t>(m_waiting) + By, 0));
  }

  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    m_in.append(Data);
    bool Bad = false;
    while (const auto What = decodeFrame(m_in, Bad))
      m_owner.fromClient(*this, *What);
    if (Bad) {
      m_stream->close();
      m_owner.clientLost(*this);
    }
  }
  void onEnd(net::StreamEnd) override {
    auto Self = shared_from_this();
    m_owner.clientLost(*this);
  }

private:
  Placement &m_owner;
  const std::uint32_t m_number;
  std::shared_ptr<net::ByteStream> m_stream;
  std::string m_in;
  /// Service of each request that waits or runs, by sequence.
  std::map<std::uint64_t, std::string> m_requests;
  std::size_t m_waiting = 0;
};

Placement::Placement(Environment Env)
    : m_env(std::move(Env)),
      m_listener(m_env.Loop,
                 [this](net::TcpSocket Socket) {
                   const std::uint32_t Number = m_nextClient++;
                   auto From = std::make_shared<Client>(*this, Number,
                                                        std::move(Socket));
                   m_clients[Number] = From;
                   From->start();
                 }),
      m_pumpTimer(m_env.Loop), m_lookTimer(m_env.Loop),
      m_started(m_env.Clk.now()) {}

Placement::~Placement() = default;

bool Placement::start() {
  if (!m_listener.listen(m_env.Internal))
    return false;
  look();
  return true;
}

routing::ModelDispatcher &Placement::dispatcher(const std::string &Service) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    return Found->second;
  return m_dispatchers
      .try_emplace(Service, m_options, hashText(Service, m_env.Seed))
      .first->second;
}

void Placement::setReplicas(const routing::Service &Of,
                            const std::vector<routing::Replica *> &Usable) {
  dispatcher(Of.Name).setReplicas(Usable, Of);
  schedulePump();
}

void Placement::setOptions(const routing::DispatcherOptions &Options) {
  m_options = Options;
  updateShares();
}

DaemonName Placement::dispatcherOf(const std::string &Service) const {
  return chooseDispatcher(Service, m_env.Candidates());
}

void Placement::updateShares() {
  const std::size_t Daemons =
      std::max<std::size_t>(m_env.Candidates().size(), 1);
  for (auto &[Service, Each] : m_dispatchers) {
    routing::DispatcherOptions Options = m_options;
    const bool Dispatches = dispatcherOf(Service) == m_env.Self;
    if (!Dispatches)
      Options.Share = 1.0 / static_cast<double>(Daemons);
    Options.ColdShare =
        routing::coldShare(Dispatches, Daemons, m_env.Clk.now() - m_started,
                           hashText(m_env.Self, hashText(Service)));
    Each.setOptions(Options);
  }
}

Placement::Link *Placement::linkTo(const DaemonName &Daemon) {
  const auto Found = m_links.find(Daemon);
  if (Found != m_links.end()) {
    if (!Found->second->failed())
      return Found->second.get();
    if (m_env.Clk.now() - Found->second->failedAt() < ReconnectDelay)
      return nullptr;
    m_links.erase(Found);
  }
  const auto Address = m_env.AddressOf(Daemon);
  if (!Address)
    return nullptr;
  auto To = std::make_shared<Link>(*this, Daemon);
  m_links[Daemon] = To;
  To->open(*Address);
  return To.get();
}

RequestKey Placement::place(const std::string &Service,
                            routing::ModelRequest Request, OnDecision OnDone) {
  const RequestKey Key = m_nextSequence++;
  Request.Key = Key;
  Request.ReportDelay = m_lag;
  Own &Mine = m_own[Key];
  Mine.Service = Service;
  Mine.Request = std::move(Request);
  Mine.OnDone = std::move(OnDone);
  const DaemonName At = dispatcherOf(Service);
  Link *To = At.empty() || At == m_env.Self ? nullptr : linkTo(At);
  if (!To || !To->usable()) {
    offerHere(Service, Key);
    return Key;
  }
  const TimePoint Now = m_env.Clk.now();
  Mine.AskedAt = At;
  To->owed(Now);
  const routing::ModelRequest &Asked = Mine.Request;
  To->send(PlaceRequest{.Sequence = Key,
                        .Service = Service,
                        .Workspace = Asked.Workspace,
                        .Prompt = Asked.Prompt,
                        .PromptTokens = Asked.PromptTokens,
                        .OutputTokens = Asked.OutputTokens,
                        .Age = toMs(Now - Asked.Arrived),
                        .Target = toMs(Asked.FirstTokenTarget),
                        .RemainingWait = toMs(Asked.FirstTokenDeadline - Now),
                        .Tried = {Asked.Tried.begin(), Asked.Tried.end()},
                        .Repeated = Asked.Repeated,
                        .ReportDelay = toMs(m_lag * DelaysOfARemoteReport)});
  return Key;
}

void Placement::offerHere(const std::string &Service, RequestKey Key) {
  Own &Mine = m_own.at(Key);
  Mine.AskedAt.clear();
  const auto Refused = dispatcher(Service).offer(Mine.Request, m_env.Clk.now());
  if (!Refused) {
    schedulePump();
    return;
  }
  // Not at once: the caller of place() doesn't have the key yet.
  boost::asio::post(m_env.Loop,
                    [this, Made = *Refused] { decideOwn(Made.Key, Made); });
}

void Placement::decideOwn(RequestKey Key, const ModelDecision &Made) {
  const auto Found = m_own.find(Key);
  if (Found == m_own.end() || !Found->second.OnDone)
    return;
  const OnDecision OnDone = std::move(Found->second.OnDone);
  Found->second.OnDone = nullptr;
  Found->second.RunningOn = Made.Destination;
  if (Made.Destination.empty())
    m_own.erase(Found);
  OnDone(Made);
}

void Placement::decide(const std::string &, const ModelDecision &Made) {
  const auto Number = static_cast<std::uint32_t>(Made.Key >> ClientShift);
  if (Number == 0) {
    decideOwn(Made.Key, Made);
    return;
  }
  const auto Found = m_clients.find(Number);
  if (Found == m_clients.end())
    return;
  Client &To = *Found->second;
  const std::uint64_t Sequence = Made.Key & 0xFFFFFFFFU;
  To.changeWaiting(-1);
  if (Made.Destination.empty()) {
    To.requests().erase(Sequence);
    To.send(PlaceRefusal{.Sequence = Sequence, .RetryAfter = Made.RetryAfter});
    return;
  }
  To.send(PlaceGrant{.Sequence = Sequence,
                     .Replica = Made.Destination,
                     .FetchFrom = Made.FetchFrom});
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
  for (auto &[Service, Each] : m_dispatchers) {
    for (const ModelDecision &Made : Each.pump(Now))
      decide(Service, Made);
    Waiting = Waiting || Each.queued() > 0;
  }
  if (Waiting && !m_pumpTimer.armed())
    m_pumpTimer.callAfter(PumpInterval, [this] { pump(); });
}

void Placement::look() {
  m_lookTimer.callAfter(KeepAliveInterval / 2, [this] { look(); });
  const TimePoint Now = m_env.Clk.now();
  updateShares();
  const auto Links = m_links;
  for (const auto &[Daemon, To] : Links) {
    if (To->failed() || To->owing() == 0)
      continue;
    if (Now - To->heard() > LinkTimeout) {
      To->lost();
      continue;
    }
    if (!To->silent() && Now - To->heard() > DispatcherTimeout) {
      To->setSilent();
      m_env.Log.line(
          LogClass::Fault, "dispatcher.silent",
          {{"daemon", Daemon}, {"owing", std::to_string(To->owing())}});
      takeBack(Daemon);
    }
  }
  // A link is opened before the first request needs it.
  for (const auto &[Service, Each] : m_dispatchers)
    if (const DaemonName At = dispatcherOf(Service);
        !At.empty() && At != m_env.Self)
      linkTo(At);
  if (Now - m_lastSummary >= SummaryInterval) {
    m_lastSummary = Now;
    logSummary();
  }
  if (Now - m_lastAlive < KeepAliveInterval)
    return;
  m_lastAlive = Now;
  for (const auto &[Number, From] : m_clients)
    if (From->waiting() > 0)
      From->send(DispatcherKeepAlive{});
}

void Placement::logSummary() {
  for (const auto &[Service, Each] : m_dispatchers) {
    if (dispatcherOf(Service) != m_env.Self)
      continue;
    const routing::DispatcherTotals &Totals = Each.totals();
    m_env.Log.line(LogClass::Belief, "dispatcher.summary",
                   {{"service", Service},
                    {"placed", std::to_string(Totals.Placed)},
                    {"refused", std::to_string(Totals.Refused)},
                    {"late", std::to_string(Totals.MissedTarget)},
                    {"queued", std::to_string(Each.queued())},
                    {"running", std::to_string(Each.running())},
                    {"load", std::to_string(Each.load())},
                    {"tokens_read", std::to_string(Totals.TokensRead)},
                    {"tokens_known", std::to_string(Totals.TokensCached)},
                    {"tokens_reread", std::to_string(Totals.TokensReread)},
                    {"engines", Each.describeEngines()}});
  }
}

void Placement::takeBack(const DaemonName &From) {
  std::vector<RequestKey> Waiting;
  for (const auto &[Key, Each] : m_own)
    if (Each.AskedAt == From && Each.OnDone)
      Waiting.push_back(Key);
  for (const RequestKey Key : Waiting)
    offerHere(m_own.at(Key).Service, Key);
}

void Placement::linkLost(const DaemonName &Daemon) {
  m_env.Log.line(LogClass::Fault, "dispatcher.lost", {{"daemon", Daemon}});
  takeBack(Daemon);
}

void Placement::announceRunning(Link &To) {
  const TimePoint Now = m_env.Clk.now();
  for (auto &[Key, Each] : m_own) {
    if (Each.RunningOn.empty() || dispatcherOf(Each.Service) != To.daemon())
      continue;
    Each.AskedAt = To.daemon();
    const routing::ModelRequest &Request = Each.Request;
    To.send(PlaceRequest{.Sequence = Key,
                         .Service = Each.Service,
                         .Workspace = Request.Workspace,
                         .Prompt = Request.Prompt,
                         .PromptTokens = Request.PromptTokens,
                         .OutputTokens = Request.OutputTokens,
                         .Age = toMs(Now - Request.Arrived),
                         .Target = toMs(Request.FirstTokenTarget),
                         .RunningOn = Each.RunningOn,
                         .Started = Each.Started});
  }
}

void Placement::fromDispatcher(const DaemonName &Daemon,
                               const PlacementMessage &What) {
  const auto Found = m_links.find(Daemon);
  if (Found == m_links.end())
    return;
  Link &From = *Found->second;
  if (const auto *Granted = std::get_if<PlaceGrant>(&What)) {
    From.settled();
    const auto Mine = m_own.find(Granted->Sequence);
    if (Mine == m_own.end() || !Mine->second.OnDone ||
        Mine->second.AskedAt != Daemon) {
      // Placed here or given up meanwhile.
      From.send(EndedReport{.Sequence = Granted->Sequence,
                            .Outcome = ReplicaOutcome::Abandoned});
      return;
    }
    const TimePoint Now = m_env.Clk.now();
    dispatcher(Mine->second.Service)
        .recordPlacement(Mine->second.Request, Granted->Replica, Now);
    decideOwn(Granted->Sequence,
              {.Key = Granted->Sequence,
               .Destination = Granted->Replica,
               .FetchFrom = Granted->FetchFrom,
               .Waited = Now - Mine->second.Request.Arrived});
    return;
  }
  if (const auto *Refused = std::get_if<PlaceRefusal>(&What)) {
    From.settled();
    const auto Mine = m_own.find(Refused->Sequence);
    if (Mine != m_own.end() && Mine->second.AskedAt == Daemon)
      decideOwn(Refused->Sequence,
                {.Key = Refused->Sequence,
                 .RetryAfter = Refused->RetryAfter,
                 .Waited = m_env.Clk.now() - Mine->second.Request.Arrived});
  }
}

void Placement::fromClient(Client &From, const PlacementMessage &What) {
  const TimePoint Now = m_env.Clk.now();
  if (const auto *Asked = std::get_if<PlaceRequest>(&What)) {
    const RequestKey Key = clientKey(From.number(), Asked->Sequence);
    routing::ModelRequest Request{
        .Key = Key,
        .Workspace = Asked->Workspace,
        .Prompt = Asked->Prompt,
        .PromptTokens = Asked->PromptTokens,
        .OutputTokens = Asked->OutputTokens,
        .Arrived = Now - Asked->Age,
        .FirstTokenTarget = Asked->Target,
        .FirstTokenDeadline = Now + Asked->RemainingWait,
        .Tried = {Asked->Tried.begin(), Asked->Tried.end()},
        .Repeated = Asked->Repeated,
        .ReportDelay = Asked->ReportDelay};
    routing::ModelDispatcher &Of = dispatcher(Asked->Service);
    From.requests()[Asked->Sequence] = Asked->Service;
    if (!Asked->RunningOn.empty()) {
      Of.recordPlacement(Request, Asked->RunningOn, Now);
      if (Asked->Started)
        Of.started(Key, Now);
      return;
    }
    From.changeWaiting(1);
    if (const auto Refused = Of.offer(std::move(Request), Now))
      decide(Asked->Service, *Refused);
    else
      schedulePump();
    return;
  }
  auto ServiceOf = [&](std::uint64_t Sequence) -> const std::string * {
    const auto Found = From.requests().find(Sequence);
    return Found == From.requests().end() ? nullptr : &Found->second;
  };
  if (const auto *Gone = std::get_if<WithdrawRequest>(&What)) {
    const std::string *Service = ServiceOf(Gone->Sequence);
    if (!Service)
      return;
    const RequestKey Key = clientKey(From.number(), Gone->Sequence);
    if (dispatcher(*Service).withdraw(Key))
      From.changeWaiting(-1);
    else
      dispatcher(*Service).ended(Key, ReplicaOutcome::Abandoned, Now);
    From.requests().erase(Gone->Sequence);
    schedulePump();
  } else if (const auto *Began = std::get_if<StartedReport>(&What)) {
    if (const std::string *Service = ServiceOf(Began->Sequence))
      dispatcher(*Service).started(clientKey(From.number(), Began->Sequence),
                                   Now, Began->TimeToFirstEvent);
    schedulePump();
  } else if (const auto *Done = std::get_if<EndedReport>(&What)) {
    if (const std::string *Service = ServiceOf(Done->Sequence))
      dispatcher(*Service).ended(clientKey(From.number(), Done->Sequence),
                                 Done->Outcome, Now);
    From.requests().erase(Done->Sequence);
    schedulePump();
  }
}

void Placement::clientLost(Client &Gone) {
  const TimePoint Now = m_env.Clk.now();
  for (const auto &[Sequence, Service] : Gone.requests()) {
    const RequestKey Key = clientKey(Gone.number(), Sequence);
    if (!dispatcher(Service).withdraw(Key))
      dispatcher(Service).ended(Key, ReplicaOutcome::Abandoned, Now);
  }
  m_clients.erase(Gone.number());
  schedulePump();
}

void Placement::started(RequestKey Key, Duration TimeToFirstEvent) {
  const auto Found = m_own.find(Key);
  if (Found == m_own.end() || Found->second.Started)
    return;
  Found->second.Started = true;
  // The event was ready before this daemon came to it.
  TimeToFirstEvent = std::max(TimeToFirstEvent - m_lag, Duration{0});
  dispatcher(Found->second.Service)
      .started(Key, m_env.Clk.now(), TimeToFirstEvent);
  if (!Found->second.AskedAt.empty())
    if (const auto To = m_links.find(Found->second.AskedAt);
        To != m_links.end() && To->second->up())
      To->second->send(StartedReport{
          .Sequence = Key, .TimeToFirstEvent = toMs(TimeToFirstEvent)});
  schedulePump();
}

void Placement::ended(RequestKey Key, ReplicaOutcome Outcome) {
  const auto Found = m_own.find(Key);
  if (Found == m_own.end())
    return;
  Own Mine = std::move(Found->second);
  m_own.erase(Found);
  routing::ModelDispatcher &Of = dispatcher(Mine.Service);
  if (!Of.withdraw(Key))
    Of.ended(Key, Outcome, m_env.Clk.now());
  schedulePump();
  if (Mine.AskedAt.empty())
    return;
  const auto To = m_links.find(Mine.AskedAt);
  if (To == m_links.end() || !To->second->up())
    return;
  if (Mine.OnDone) {
    To->second->settled();
    To->second->send(WithdrawRequest{.Sequence = Key});
    return;
  }
  To->second->send(EndedReport{.Sequence = Key, .Outcome = Outcome});
}

std::size_t Placement::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(m_own.begin(), m_own.end(), [](const auto &Each) {
        return static_cast<bool>(Each.second.OnDone);
      }));
}

} // namespace nutmegdrift::gateway
