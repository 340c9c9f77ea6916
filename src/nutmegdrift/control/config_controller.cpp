// Offers, fetches and the platform watch of the configuration.
#include "nutmegdrift/control/config_controller.h"

#include "nutmegdrift/config/documents.h"

#include <algorithm>

namespace nutmegdrift::control {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
/// Pause of the watch thread after a failure, or while other daemons watch.
constexpr std::chrono::milliseconds RetryPause{500};

template <class List> void run(const List &Actions) {
  for (const auto &Action : Actions)
    Action();
}

} // namespace

ConfigController::ConfigController(const Clock &Clk, EventLog &Log,
                                   platform::ObjectStore &Store,
                                   ConfigPeers &Peers, DaemonName Self)
    : m_clock(Clk), m_log(Log), m_peers(Peers), m_self(std::move(Self)),
      m_follower(Clk, Store, config::ConfigObjectName,
                 [this](const platform::Change &Item) {
                   if (Item.Value.Name == config::ConfigObjectName &&
                       !Item.Deleted)
                     apply({Item.Value.Version, Item.Value.Text}, "platform");
                 }),
      m_lastOffer(Clk.now()) {}

ConfigController::~ConfigController() { stop(); }

ConfigController::Snapshot ConfigController::current() const {
  const std::scoped_lock Lock(m_mutex);
  return m_current;
}

std::uint64_t ConfigController::version() const {
  const std::scoped_lock Lock(m_mutex);
  return m_currentText.Version;
}

void ConfigController::onApplied(std::function<void(Snapshot)> Handler) {
  m_onApplied = std::move(Handler);
}

void ConfigController::setZoneMembers(const std::vector<DaemonName> &Members) {
  const std::scoped_lock Lock(m_mutex);
  m_zoneMembers = Members;
}

bool ConfigController::watches() const {
  const std::scoped_lock Lock(m_mutex);
  return watchesLocked();
}

bool ConfigController::watchesLocked() const {
  if (m_zoneMembers.empty() || m_clock.now() - m_lastOffer > MaxOfferSilence)
    return true;
  const auto Rank = hashText(m_self);
  const auto LowerRanked = std::count_if(
      m_zoneMembers.begin(), m_zoneMembers.end(), [&](const auto &Name) {
        const auto Other = hashText(Name);
        return Other < Rank || (Other == Rank && Name < m_self);
      });
  return static_cast<std::size_t>(LowerRanked) < WatchersPerZone;
}

void ConfigController::apply(ConfigText Body, const std::string &Source) {
  const std::scoped_lock ApplyLock(m_applyMutex);
  {
    const std::scoped_lock Lock(m_mutex);
    if (Body.Version <= m_currentText.Version ||
        Body.Version == m_invalidVersion)
      return;
  }
  const auto Parsed = capture(
      [&] { return config::parseFleetConfig(Body.Text, Body.Version); });
  const auto Version = std::to_string(Body.Version);
  if (!Parsed) {
    m_log.event("config.invalid", {{"version", Version},
                                   {"source", Source},
                                   {"error", Parsed.Failure.Message}});
    const std::scoped_lock Lock(m_mutex);
    m_invalidVersion = std::max(m_invalidVersion, Body.Version);
    return;
  }
  const auto Next = std::make_shared<const config::FleetConfig>(*Parsed);
  {
    const std::scoped_lock Lock(m_mutex);
    m_current = Next;
    m_currentText = std::move(Body);
  }
  m_log.event("config.applied", {{"version", Version}, {"source", Source}});
  if (m_onApplied)
    m_onApplied(Next);
  m_peers.offerAll(Next->Version);
}

void ConfigController::onOffer(const DaemonName &From, std::uint64_t Version) {
  Actions Out;
  {
    const std::scoped_lock Lock(m_mutex);
    m_offers[From] = {Version, m_clock.now()};
    if (Version >= m_currentText.Version && Version > 0)
      m_lastOffer = m_clock.now();
    if (Version < m_currentText.Version)
      Out.emplace_back([this, From, HeldVersion = m_currentText.Version] {
        m_peers.offer(From, HeldVersion);
      });
    fetchIfBehind(Out);
  }
  run(Out);
}

void ConfigController::fetchIfBehind(Actions &Out) {
  const auto Now = m_clock.now();
  if (Now < m_fetchDeadline)
    return;
  std::erase_if(m_offers, [&](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > OfferLifetime;
  });
  std::vector<DaemonName> NewerPeers;
  for (const auto &[Name, Offered] : m_offers)
    if (Offered.Version > m_currentText.Version &&
        Offered.Version != m_invalidVersion)
      NewerPeers.push_back(Name);
  if (NewerPeers.empty())
    return;
  // In order of name, continues after the peer that did not reply.
  const auto Next =
      std::upper_bound(NewerPeers.begin(), NewerPeers.end(), m_fetchPeer);
  m_fetchPeer = Next == NewerPeers.end() ? NewerPeers.front() : *Next;
  m_fetchDeadline = Now + FetchTimeout;
  Out.emplace_back(
      [this, To = m_fetchPeer, HeldVersion = m_currentText.Version] {
        m_peers.fetch(To, HeldVersion);
      });
}

void ConfigController::onFetch(const DaemonName &From,
                               std::uint64_t HeldVersion) {
  ConfigText Body;
  {
    const std::scoped_lock Lock(m_mutex);
    if (m_currentText.Version <= HeldVersion)
      return;
    Body = m_currentText;
  }
  m_peers.send(From, Body);
}

void ConfigController::onBody(const DaemonName &From, const ConfigText &Body) {
  apply(Body, From);
  Actions Out;
  {
    const std::scoped_lock Lock(m_mutex);
    m_fetchDeadline = {};
    // The received version replaces the offered one. Otherwise a peer that
    // offers a version and sends a lower one would be queried forever.
    m_offers[From] = {Body.Version, m_clock.now()};
    fetchIfBehind(Out);
  }
  run(Out);
}

void ConfigController::tick() {
  Actions Out;
  {
    const std::scoped_lock Lock(m_mutex);
    fetchIfBehind(Out);
    if (!m_current && m_clock.now() >= m_nextInitialOffer) {
      m_nextInitialOffer = m_clock.now() + InitialOfferInterval;
      Out.emplace_back([this] { m_peers.offerAll(0); });
    }
  }
  run(Out);
}

bool ConfigController::watchStep(std::chrono::milliseconds Wait) {
  if (!watches())
    return false;
  const auto Failure = errorOf([&] { return m_follower.step(Wait); });
  if (Failure.has_value() != m_platformFailed) {
    m_platformFailed = Failure.has_value();
    if (Failure)
      m_log.event("config.platform_failed", {{"error", Failure->Message}});
    else
      m_log.event("config.platform_back", {});
  }
  return !Failure;
}

void ConfigController::start() {
  m_watchThread =
      std::jthread([this](const std::stop_token &Stop) { runWatch(Stop); });
  m_timerThread =
      std::jthread([this](const std::stop_token &Stop) { runTimer(Stop); });
}

void ConfigController::stop() {
  m_watchThread.request_stop();
  m_timerThread.request_stop();
  if (m_watchThread.joinable())
    m_watchThread.join();
  if (m_timerThread.joinable())
    m_timerThread.join();
}

void ConfigController::pause(const std::stop_token &Stop,
                             std::chrono::milliseconds Time) {
  std::unique_lock Lock(m_mutex);
  m_wake.wait_for(Lock, Stop, Time, [] { return false; });
}

void ConfigController::runWatch(const std::stop_token &Stop) {
  while (!Stop.stop_requested())
    if (!watchStep(WatchTimeout))
      pause(Stop, RetryPause);
}

void ConfigController::runTimer(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    tick();
    pause(Stop, TickInterval);
  }
}

} // namespace nutmegdrift::control
