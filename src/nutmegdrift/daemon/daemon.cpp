#include "nutmegdrift/daemon/daemon.h"

#include "adapters.h"

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/control/config_controller.h"
#include "nutmegdrift/control/key_store.h"
#include "nutmegdrift/control/membership_controller.h"
#include "nutmegdrift/control/ownership_controller.h"
#include "nutmegdrift/daemon/admin_server.h"
#include "nutmegdrift/daemon/directory.h"
#include "nutmegdrift/daemon/exchange.h"
#include "nutmegdrift/daemon/fleet_link.h"
#include "nutmegdrift/daemon/load_reader.h"
#include "nutmegdrift/daemon/loop.h"
#include "nutmegdrift/daemon/metrics.h"
#include "nutmegdrift/daemon/relay_bridge.h"
#include "nutmegdrift/daemon/rollout_link.h"
#include "nutmegdrift/platform/http_object_store.h"
#include "nutmegdrift/proxy/http_frontend.h"
#include "nutmegdrift/proxy/run_once_filter.h"
#include "nutmegdrift/proxy/suspect_filter.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>
#include <tuple>

#include <nlohmann/json.hpp>

namespace nutmegdrift::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds ControlInterval{100};
constexpr milliseconds AdmissionInterval{50};
constexpr milliseconds LoadInterval{1000};
/// How long callers keep an address answer. A planned stop keeps serving for
/// longer than this after it left the answers.
constexpr milliseconds AddressValidity{2000};
constexpr milliseconds LeaveGrace{3000};
constexpr milliseconds StopStep{50};
constexpr milliseconds TicketHandoverWait{3000};
constexpr milliseconds HandoverWait{5000};

std::string hexBoot(BootId Boot) {
  const auto Text = toString(Ticket{"b", Boot, 0});
  return Text.substr(2, Text.rfind('.') - 2);
}

control::MembershipOptions
membershipOptions(const config::DaemonSettings &Settings, BootId Boot) {
  return {.Self = {.Daemon = Settings.Name,
                   .Boot = Boot,
                   .Zone = Settings.Zone,
                   .Host = Settings.Advertised.Host,
                   .CallerPort = Settings.Advertised.Port,
                   .PeerPort = Settings.Listen.Peer.Port,
                   .AdminPort = Settings.Listen.Admin.Port},
          .Scope = Settings.Region,
          .Times = {.Lease = Settings.Lease.Length,
                    .Margin = Settings.Lease.Margin},
          .Seed = Boot};
}

peer::PeerOptions peerOptions(const config::DaemonSettings &Settings,
                              BootId Boot) {
  return {.Self = Settings.Name,
          .Boot = Boot,
          .Zone = Settings.Zone,
          .Listen = Settings.Listen.Peer};
}

/// The seeds without this daemon's own address.
std::vector<HostPort> seedsOf(const config::DaemonSettings &Settings) {
  auto Out = Settings.Peers.Seeds;
  std::erase(Out, Settings.Listen.Peer);
  return Out;
}

proxy::FrontendOptions frontendOptions(const config::DaemonSettings &Settings) {
  const auto &Limits = Settings.Limits;
  return {.Listen = Settings.Listen.Caller,
          .MaxActiveRequests = static_cast<int>(Limits.MaxActiveRequests),
          .MaxBodyBytes = Limits.MaxBodyBytes,
          .MaxHeaderBytes = Limits.MaxHeaderBytes,
          .ReadTimeout = Limits.HeaderTimeout,
          .WriteTimeout = Limits.WriteDeadline,
          .KeepAliveTimeout = Limits.IdleTimeout,
          .DefaultDeadline = Limits.DefaultDeadline,
          .LongestRequest = Limits.MaxRequestDuration};
}

json eventJson(const Event &Entry) {
  json Fields = json::object();
  for (const auto &[Key, Value] : Entry.Fields)
    Fields[Key] = Value;
  return {{"wall_us", Entry.WallMicros},
          {"seq", Entry.Sequence},
          {"name", Entry.Name},
          {"fields", Fields}};
}

std::string print(const json &Body) {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

class Daemon::Impl {
public:
  explicit Impl(config::DaemonSettings Settings);

  Result<void> start();
  void stop();

private:
  proxy::AdmissionHooks admissionHooks();
  proxy::FrontendHooks frontendHooks();
  std::map<std::string, AdminHandler> adminHandlers();
  Result<proxy::AddressAnswer> address(const std::string &Workspace,
                                       const Target &What,
                                       std::uint64_t Tickets);
  void onMessage(const peer::PeerOrigin &From, const wire::Message &Message);
  void passReplicas();
  void controlStep();
  void loadStep();
  void followDirectory();
  void countEnd(const proxy::RequestContext &Request,
                const std::optional<Error> &Failure);
  void startLoops();
  void applyConfig(const config::FleetConfig &Config);
  void sendSuspects(const std::vector<policy::SuspectEntry> &Entries);
  void mergeSuspects(const wire::Suspects &Message);
  void broadcast(const wire::Message &Message);
  void takeTickets(const peer::PeerOrigin &From,
                   const wire::TicketTableHandover &Part);
  void noteTicketAck(const wire::TicketHandoverAck &Ack);
  [[nodiscard]] bool ready() const;
  [[nodiscard]] AdminAnswer status() const;
  AdminAnswer events(const AdminQuery &Query) const;
  AdminAnswer renderMetrics();
  void handOverTickets();
  void waitUntil(milliseconds AtMost, const std::function<bool()> &Done) const;

  const config::DaemonSettings m_settings;
  SystemClock m_clock;
  Random m_random = makeRandom();
  const BootId m_boot = makeBootId(m_random);
  EventLog m_log;
  Metrics m_metrics;
  platform::HttpObjectStore m_store;
  peer::PeerNetwork m_network;
  FleetLink m_link;
  Directory m_directory;
  proxy::SuspectDesk m_suspects;
  proxy::Admission m_admission;
  EndpointCounts m_counts;
  control::MembershipController m_members;
  control::OwnershipController m_ownership;
  ConfigLink m_configPeers;
  control::ConfigController m_config;
  Exchange m_exchange;
  peer::RelayClient m_relayClient;
  RelaySender m_relaySender;
  HomeForwarder m_homes;
  proxy::TicketDesk m_tickets;
  control::KeyStore m_keyStore;
  StoredKeys m_keys;
  SharedRetryBudget m_retries;
  proxy::VersionSampler m_sampler;
  proxy::EndpointClient m_endpoints;
  RolloutLink m_rollouts;
  proxy::FilterChain m_chain;
  RelayReceiver m_relayReceiver;
  peer::RelayServer m_relayServer;
  proxy::HttpFrontend m_frontend;
  AdminServer m_admin;
  std::atomic<bool> m_stopping{false};
  std::mutex m_replicasMutex; ///< Held while admission is told its replicas.
  std::mutex m_handoverMutex; ///< Guards m_ackedParts.
  std::set<std::tuple<DaemonName, BootId, std::uint32_t>> m_ackedParts;
  std::vector<std::unique_ptr<Loop>> m_loops; ///< Ended before the rest.
};

Daemon::Impl::Impl(config::DaemonSettings Settings)
    : m_settings(std::move(Settings)), m_log(m_clock, m_settings.Name),
      m_store({.Address = m_settings.Platform}),
      m_network(peerOptions(m_settings, m_boot), m_clock, m_log),
      m_link(m_network, [this] { return m_config.version(); }),
      m_directory(m_settings.Name, seedsOf(m_settings)),
      m_suspects(m_settings.Name, m_boot, m_clock, m_log,
                 [this](const auto &Entries) { sendSuspects(Entries); }),
      m_admission(m_clock, m_log, m_settings.Name, m_boot, {},
                  admissionHooks()),
      m_counts(m_admission), m_members(membershipOptions(m_settings, m_boot),
                                       m_clock, m_store, m_link, m_log),
      m_ownership({.Zones = {},
                   .MaxRequestDuration = m_settings.Limits.MaxRequestDuration},
                  m_members, m_clock, m_store, m_link, m_counts, m_log),
      m_configPeers(m_network, m_directory),
      m_config(m_clock, m_log, m_store, m_configPeers, m_settings.Name),
      m_exchange(m_network, m_admission, m_directory),
      m_relayClient(m_network, m_boot),
      m_relaySender(m_clock, m_relayClient,
                    [this](const auto &Owner, const auto &What) {
                      m_directory.noteRefusal(Owner, What, m_clock.now());
                    }),
      m_homes(m_relaySender),
      m_tickets(m_settings.Name, m_boot, m_clock,
                {.MaxTickets = m_settings.Limits.MaxTickets,
                 .Lifetime = m_settings.Limits.TicketExpiry}),
      m_keyStore(m_store, m_clock, m_boot), m_keys(m_keyStore),
      m_retries(m_clock, m_metrics), m_sampler(m_clock),
      m_endpoints(m_clock,
                  {.FirstByteTimeout = m_settings.Limits.FirstTokenDeadline,
                   .ProgressTimeout = m_settings.Limits.ProgressDeadline},
                  &m_sampler),
      m_rollouts({.Store = m_store,
                  .Time = m_clock,
                  .Log = m_log,
                  .Network = m_network,
                  .Known = m_directory,
                  .Members = m_members,
                  .Ownership = m_ownership,
                  .Slots = m_admission,
                  .Sampler = m_sampler,
                  .ReplicasChanged = [this] { passReplicas(); }},
                 m_settings, m_boot),
      m_chain({std::make_shared<proxy::AccessFilter>(),
               std::make_shared<proxy::SuspectFilter>(m_suspects),
               std::make_shared<proxy::RunOnceFilter>(
                   m_clock, m_log, m_tickets, m_keys, m_homes,
                   proxy::RunOnceHooks{[this](const Target &What) {
                     return m_directory.repeatable(What);
                   }}),
               std::make_shared<proxy::DispatchFilter>(
                   m_clock, m_admission, m_endpoints, m_relaySender, m_retries,
                   m_log)}),
      m_relayReceiver(m_clock, m_log, m_chain,
                      {.CurrentConfig = [this] { return m_config.current(); },
                       .Ended =
                           [this](const auto &Request, const auto &Failure) {
                             countEnd(Request, Failure);
                           }}),
      m_relayServer(m_network,
                    [this](std::shared_ptr<peer::RelayStream> Stream) {
                      m_relayReceiver.accept(std::move(Stream));
                    }),
      m_frontend(m_clock, m_log, {m_settings.Name, m_boot},
                 frontendOptions(m_settings), m_chain, frontendHooks()),
      m_admin(m_settings.Listen.Admin, adminHandlers()) {}

proxy::AdmissionHooks Daemon::Impl::admissionHooks() {
  return {
      .MayStart =
          [this](const config::ReplicaId &Id) {
            return m_ownership.mayAdmit(Id);
          },
      .OtherOwners =
          [this](const Target &What) { return m_directory.otherOwners(What); },
      .HasEndpoint =
          [this](const Target &What) { return m_directory.hasEndpoint(What); },
      .SendOffer =
          [this](const Target &What, const policy::SlotOffer &Offer) {
            m_exchange.sendOffer(What, Offer);
          },
      .DeclineOffer =
          [this](const DaemonName &To, const Target &What,
                 policy::OfferId Offer) {
            m_exchange.declineOffer(To, What, Offer);
          },
      .Suspects = m_suspects,
      .TellPeers =
          [this](const Target &What, const std::vector<DaemonName> &Peers) {
            m_exchange.tell(What, Peers);
          }};
}

proxy::FrontendHooks Daemon::Impl::frontendHooks() {
  return {.CurrentConfig = [this] { return m_config.current(); },
          .Address =
              [this](const std::string &Workspace, const Target &What,
                     std::uint64_t Tickets) {
                return address(Workspace, What, Tickets);
              },
          .OtherAddresses = [this] { return m_directory.otherAddresses(); },
          .Ended = [this](const auto &Request,
                          const auto &Failure) { countEnd(Request, Failure); }};
}

std::map<std::string, AdminHandler> Daemon::Impl::adminHandlers() {
  return {
      {"GET /healthz",
       [](const AdminQuery &) {
         return AdminAnswer{.Body = R"({"status":"ok"})"};
       }},
      {"GET /readyz",
       [this](const AdminQuery &) {
         return ready()
                    ? AdminAnswer{.Body = R"({"ready":true})"}
                    : AdminAnswer{.Status = 503, .Body = R"({"ready":false})"};
       }},
      {"GET /metrics", [this](const AdminQuery &) { return renderMetrics(); }},
      {"GET /admin/status", [this](const AdminQuery &) { return status(); }},
      {"GET /admin/events",
       [this](const AdminQuery &Query) { return events(Query); }}};
}

Result<void> Daemon::Impl::start() {
  if (m_settings.Listen.Caller.Port == 0 || m_settings.Listen.Peer.Port == 0)
    return fail(ErrorKind::InvalidSettings,
                "listen.caller and listen.peer need a port, since other "
                "processes are told about them");
  m_config.onApplied([this](const auto &Config) { applyConfig(*Config); });
  m_ownership.onChange([this](const auto & /*Owned*/) { passReplicas(); });
  m_network.onMessage([this](const auto &From, const auto &Message) {
    onMessage(From, Message);
  });
  BOOST_LEAF_CHECK(m_network.start());
  try {
    m_admin.start();
    m_frontend.start();
  } catch (const Poco::Exception &Caught) {
    return fail(ErrorKind::InvalidSettings, Caught.displayText());
  }
  m_log.event("daemon.started",
              {{"boot", hexBoot(m_boot)}, {"zone", m_settings.Zone}});
  m_config.start();
  startLoops();
  return {};
}

void Daemon::Impl::startLoops() {
  const auto Every = [this](milliseconds Interval, auto Step) {
    m_loops.push_back(std::make_unique<Loop>(Interval, Step));
  };
  Every(ControlInterval, [this] { controlStep(); });
  Every(AdmissionInterval, [this] { m_admission.tick(); });
  Every(Exchange::Interval, [this] { m_exchange.tick(); });
  Every(LoadInterval, [this] { loadStep(); });
  Every(RolloutLink::ControllerInterval,
        [this] { m_rollouts.controllerStep(); });
  Every(RolloutLink::ReadInterval, [this] { m_rollouts.readUnread(); });
  Every(RolloutLink::SampleInterval, [this] { m_rollouts.sampleStep(); });
}

/// Membership, ownership and what follows from them.
void Daemon::Impl::controlStep() {
  m_members.tick();
  m_ownership.tick();
  followDirectory();
}

void Daemon::Impl::followDirectory() {
  std::map<config::ReplicaId, config::Replica> Endpoints;
  for (auto &One : m_ownership.endpoints())
    Endpoints.emplace(One.Id, One);
  m_directory.setEndpoints(std::move(Endpoints));
  m_directory.setZone(m_settings.Region, m_members.zone());
  m_network.setPeers(m_directory.peerAddresses());
  m_config.setZoneMembers(m_members.liveMembers(false));
}

void Daemon::Impl::loadStep() {
  for (const auto &Owned : m_ownership.owned())
    if (const auto Load = readLoad(Owned.Replica, LoadTimeout)) {
      m_admission.reportLoad(Owned.Replica.ServedTarget, Owned.Replica.Id,
                             Load->Running, Load->Waiting);
      m_rollouts.noteVersion(Owned.Replica.Id, Load->Version);
    }
}

void Daemon::Impl::applyConfig(const config::FleetConfig &Config) {
  std::set<std::string> Out;
  for (const auto &Zone : Config.Zones)
    if (Zone.Evacuated)
      Out.insert(Zone.Name);
  m_ownership.setEvacuatedZones(Out);
  m_directory.setZonesOut(Out);
  m_admission.setZonesOut(Out);
  m_admission.setConfig(Config);
  m_rollouts.applyConfig(Config);
}

/// The list is read under the lock, because reports of two threads may arrive
/// in the other order and leave the older one in force.
void Daemon::Impl::passReplicas() {
  const std::scoped_lock Lock(m_replicasMutex);
  std::vector<policy::OwnedReplicaState> States;
  for (const auto &One : m_ownership.owned())
    States.push_back({.Record = One.Replica,
                      .LimitFactor = One.LimitFactor,
                      .ResidualRequests = One.ResidualRequests});
  m_admission.setReplicas(m_rollouts.overlay(std::move(States)));
}

void Daemon::Impl::onMessage(const peer::PeerOrigin &From,
                             const wire::Message &Message) {
  // Daemons that do not watch the platform learn of a newer configuration from
  // beats.
  if (const auto *Beat = std::get_if<wire::Beat>(&Message))
    m_config.onOffer(From.Daemon, Beat->ConfigVersion);
  if (deliverFleetMessage(From, Message, m_members, m_ownership) ||
      m_rollouts.onMessage(From, Message))
    return;
  if (const auto *Counters = std::get_if<wire::Counters>(&Message))
    m_exchange.onCounters(From, *Counters);
  else if (const auto *Offer = std::get_if<wire::SlotOffer>(&Message))
    m_exchange.onOffer(From.Daemon, *Offer);
  else if (const auto *Known = std::get_if<wire::ConfigOffer>(&Message))
    m_config.onOffer(From.Daemon, Known->Version);
  else if (const auto *Wanted = std::get_if<wire::ConfigFetch>(&Message))
    m_config.onFetch(From.Daemon, Wanted->Version);
  else if (const auto *Body = std::get_if<wire::ConfigBody>(&Message))
    m_config.onBody(From.Daemon, {Body->Version, Body->Document});
  else if (const auto *Suspects = std::get_if<wire::Suspects>(&Message))
    mergeSuspects(*Suspects);
  else if (const auto *Part = std::get_if<wire::TicketTableHandover>(&Message))
    takeTickets(From, *Part);
  else if (const auto *Ack = std::get_if<wire::TicketHandoverAck>(&Message))
    noteTicketAck(*Ack);
  else if (const auto *Successor = std::get_if<wire::TicketSuccessor>(&Message))
    m_homes.setSuccessor(*Successor);
}

void Daemon::Impl::sendSuspects(
    const std::vector<policy::SuspectEntry> &Entries) {
  wire::Suspects Out;
  for (const auto &Entry : Entries)
    Out.Entries.push_back(
        {Entry.Request, {Entry.Crashes.begin(), Entry.Crashes.end()}});
  broadcast(Out);
}

void Daemon::Impl::mergeSuspects(const wire::Suspects &Message) {
  std::vector<policy::SuspectEntry> Entries;
  Entries.reserve(Message.Entries.size());
  for (const auto &Entry : Message.Entries)
    Entries.push_back(
        {.Request = Entry.Fingerprint,
         .Crashes = {Entry.Crashes.begin(), Entry.Crashes.end()}});
  m_suspects.merge(Entries);
}

void Daemon::Impl::broadcast(const wire::Message &Message) {
  for (const auto &[Name, Address] : m_directory.peerAddresses())
    (void)errorOf([&, &To = Name] { return m_network.send(To, Message); });
}

Result<proxy::AddressAnswer> Daemon::Impl::address(const std::string &Workspace,
                                                   const Target &What,
                                                   std::uint64_t Tickets) {
  const auto Config = m_config.current();
  if (!Config)
    return fail(ErrorKind::NotReady, "no configuration yet");
  const auto *Plan = proxy::findPlan(*Config, Workspace);
  if (Plan == nullptr)
    return fail(ErrorKind::UnknownWorkspace,
                "workspace " + Workspace + " is not configured");
  if (!proxy::mayUse(*Config, Plan->Name, What))
    return fail(ErrorKind::AccessDenied,
                "plan " + Plan->Name + " does not include " + toString(What));
  proxy::AddressAnswer Out{.Addresses = m_directory.callerAddresses(What),
                           .ValidFor = AddressValidity};
  if (Tickets == 0)
    return Out;
  BOOST_LEAF_AUTO(Range, m_tickets.grant(Tickets));
  Out.TicketHome = m_settings.Name;
  Out.TicketBoot = m_boot;
  Out.TicketFirst = Range.First;
  Out.TicketCount = Range.Count;
  Out.TicketExpiry = Range.ExpiresIn;
  return Out;
}

void Daemon::Impl::countEnd(const proxy::RequestContext &Request,
                            const std::optional<Error> &Failure) {
  m_metrics.countRequest(Request.What, Failure);
}

bool Daemon::Impl::ready() const {
  return !m_stopping && m_config.current() != nullptr &&
         m_members.holdState() != control::HoldState::Stopped;
}

AdminAnswer Daemon::Impl::status() const {
  json Owned = json::array();
  for (const auto &One : m_ownership.owned())
    Owned.push_back({{"replica", One.Replica.Id},
                     {"target", toString(One.Replica.ServedTarget)},
                     {"version", One.Replica.Version},
                     {"limit", One.limit()},
                     {"carry", One.ResidualRequests},
                     {"running", m_admission.running(One.Replica.Id)}});
  json Targets = json::array();
  for (const auto &One : m_admission.figures())
    Targets.push_back({{"target", toString(One.What)},
                       {"limit", One.Limit},
                       {"running", One.Running},
                       {"queued", One.Queued}});
  json Rollouts = json::array();
  for (const auto &One : m_rollouts.figures())
    Rollouts.push_back({{"target", toString(One.What)},
                        {"version", One.Version},
                        {"phase", One.Phase},
                        {"reason", One.Reason},
                        {"share", One.Share}});
  const json Body = {{"daemon", m_settings.Name},
                     {"boot", hexBoot(m_boot)},
                     {"zone", m_settings.Zone},
                     {"ready", ready()},
                     {"stopping", m_stopping.load()},
                     {"config_version", m_config.version()},
                     {"platform_readable", m_members.platformReadable()},
                     {"active_requests", m_frontend.activeRequests()},
                     {"members", m_members.liveMembers(true)},
                     {"owned", Owned},
                     {"targets", Targets},
                     {"rollouts", Rollouts}};
  return {.Body = print(Body)};
}

AdminAnswer Daemon::Impl::events(const AdminQuery &Query) const {
  std::uint64_t After = 0;
  if (const auto Found = Query.find("after"); Found != Query.end())
    After = std::strtoull(Found->second.c_str(), nullptr, 10);
  json List = json::array();
  for (const auto &Entry : m_log.since(After))
    List.push_back(eventJson(Entry));
  return {.Body = print({{"process", m_log.process()}, {"events", List}})};
}

AdminAnswer Daemon::Impl::renderMetrics() {
  const auto Platform = m_store.counts();
  const MetricsSnapshot Now{.Targets = m_admission.figures(),
                            .Traffic = m_network.traffic(),
                            .PlatformCalls = Platform.Calls,
                            .PlatformBytes =
                                Platform.BytesSent + Platform.BytesReceived,
                            .ConfigVersion = m_config.version(),
                            .TicketsHeld = m_tickets.size(),
                            .ActiveRequests = m_frontend.activeRequests(),
                            .OwnedReplicas = m_ownership.owned().size()};
  return {.ContentType = "text/plain; version=0.0.4",
          .Body = m_metrics.render(Now)};
}

void Daemon::Impl::takeTickets(const peer::PeerOrigin &From,
                               const wire::TicketTableHandover &Part) {
  const auto Taken = capture([&] { return m_tickets.import(Part); });
  if (!Taken) {
    m_log.event("ticket.handover_refused",
                {{"from", From.Daemon}, {"detail", Taken.Failure.Message}});
    return;
  }
  (void)errorOf([&] { return m_network.send(From.Daemon, *Taken); });
  if (m_tickets.answersFor({Part.Home, Part.Boot, 0}))
    broadcast(wire::TicketSuccessor{
        .Home = Part.Home, .Boot = Part.Boot, .Successor = m_settings.Name});
}

void Daemon::Impl::noteTicketAck(const wire::TicketHandoverAck &Ack) {
  const std::scoped_lock Lock(m_handoverMutex);
  m_ackedParts.insert({Ack.Home, Ack.Boot, Ack.Part});
}

/// Hands the ticket table to one live member and waits until it has it.
void Daemon::Impl::handOverTickets() {
  for (const auto &To : m_members.liveMembers(false)) {
    const auto Boot = m_network.bootOf(To);
    if (To == m_settings.Name || !Boot)
      continue;
    const auto Parts = m_tickets.exportTo(To, *Boot);
    const auto AllAcked = [&] {
      const std::scoped_lock Lock(m_handoverMutex);
      return std::all_of(Parts.begin(), Parts.end(), [&](const auto &Part) {
        return m_ackedParts.contains({Part.Home, Part.Boot, Part.Part});
      });
    };
    for (const auto &Part : Parts)
      (void)errorOf([&] { return m_network.send(To, Part); });
    waitUntil(TicketHandoverWait, AllAcked);
    m_log.event("ticket.handed_over", {{"successor", To},
                                       {"parts", std::to_string(Parts.size())},
                                       {"acked", AllAcked() ? "yes" : "no"}});
    return;
  }
}

void Daemon::Impl::waitUntil(milliseconds AtMost,
                             const std::function<bool()> &Done) const {
  const auto Limit = m_clock.now() + AtMost;
  while (!Done() && m_clock.now() < Limit)
    std::this_thread::sleep_for(StopStep);
}

void Daemon::Impl::stop() {
  m_log.event("daemon.stopping", {});
  m_stopping = true;
  m_members.leave();
  m_rollouts.release();
  // Callers may still use addresses that they were told before.
  std::this_thread::sleep_for(LeaveGrace);
  m_frontend.drain();
  m_admission.drain();
  const auto &Longest = m_settings.Limits.MaxRequestDuration;
  waitUntil(Longest, [this] {
    return m_frontend.activeRequests() == 0 && m_relayServer.running() == 0;
  });
  handOverTickets();
  waitUntil(HandoverWait, [this] { return m_ownership.drained(); });
  m_frontend.stop(milliseconds(0));
  m_relayReceiver.stop();
  m_config.stop();
  m_loops.clear();
  m_network.stop();
  m_admin.stop();
  m_log.event("daemon.stopped", {});
}

Daemon::Daemon(config::DaemonSettings Settings)
    : m_impl(std::make_unique<Impl>(std::move(Settings))) {}

Daemon::~Daemon() = default;

Result<void> Daemon::start() { return m_impl->start(); }

void Daemon::stop() { m_impl->stop(); }

} // namespace nutmegdrift::daemon
