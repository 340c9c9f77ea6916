// Keeps one daemon's configuration at the highest version it has seen, from
// the platform and from peers.
#ifndef NUTMEGDRIFT_CONTROL_CONFIG_CONTROLLER_H
#define NUTMEGDRIFT_CONTROL_CONFIG_CONTROLLER_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/control/object_follower.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace nutmegdrift::control {

/// The configuration as stored: the object's version and its text.
struct ConfigText {
  std::uint64_t Version = 0;
  std::string Text;
};

/// Sends configuration messages to other daemons. Calls come from several
/// threads, never under a lock of the controller; messages may be lost.
class ConfigPeers {
public:
  virtual ~ConfigPeers() = default;
  /// ConfigOffer to all known peers. Version 0: this daemon has none.
  virtual void offerAll(std::uint64_t Version) = 0;
  virtual void offer(const DaemonName &To, std::uint64_t Version) = 0;
  /// ConfigFetch; the peer answers with its document if it is newer.
  virtual void fetch(const DaemonName &From, std::uint64_t HeldVersion) = 0;
  virtual void send(const DaemonName &To, const ConfigText &Body) = 0;
};

/// Thread-safe. Drive it either by start(), which runs the watch and the timer
/// on a thread each, or by calling tick() and watchStep() (tests).
class ConfigController {
public:
  using Snapshot = std::shared_ptr<const config::FleetConfig>;

  /// Daemons of an availability zone that watch the platform.
  static constexpr std::size_t WatchersPerZone = 2;
  /// A fetch without answer is repeated, at another peer if there is one.
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(500);
  /// Interval of offers to all while no configuration is held.
  static constexpr Duration InitialOfferInterval = std::chrono::seconds(1);
  /// A daemon that has heard no offer for this time watches by itself.
  static constexpr Duration MaxOfferSilence = std::chrono::seconds(3);
  /// Offers older than this are dropped; a live peer repeats its offer every
  /// second, and a peer that has left cannot answer a fetch.
  static constexpr Duration OfferLifetime = std::chrono::seconds(5);
  static constexpr std::chrono::milliseconds WatchTimeout{5'000};

  ConfigController(const Clock &Clk, EventLog &Log,
                   platform::ObjectStore &Store, ConfigPeers &Peers,
                   DaemonName Self);
  ~ConfigController();
  ConfigController(const ConfigController &) = delete;
  ConfigController &operator=(const ConfigController &) = delete;

  /// The configuration in force; null before the first one.
  [[nodiscard]] Snapshot current() const;
  /// Its version, 0 before the first one; Beat messages carry it.
  [[nodiscard]] std::uint64_t version() const;

  /// Called after each change, in order of version. Set before any other call.
  void onApplied(std::function<void(Snapshot)> Handler);
  /// Live daemons of the own availability zone, with this one. Until the first
  /// call this daemon watches.
  void setZoneMembers(const std::vector<DaemonName> &Members);
  /// Whether this daemon watches the platform now.
  [[nodiscard]] bool watches() const;

  /// A ConfigOffer, or the version in a Beat.
  void onOffer(const DaemonName &From, std::uint64_t Version);
  void onFetch(const DaemonName &From, std::uint64_t HeldVersion);
  void onBody(const DaemonName &From, const ConfigText &Body);

  /// Repeats fetches and, without a configuration, asks all peers.
  void tick();
  /// Follows the platform for at most Wait if this daemon watches. Returns
  /// false if there was nothing to wait for or the platform failed.
  bool watchStep(std::chrono::milliseconds Wait);

  void start();
  void stop();

private:
  /// Calls to make once the lock is released.
  using Actions = std::vector<std::function<void()>>;

  void apply(ConfigText Body, const std::string &Source);
  void fetchIfBehind(Actions &Out);
  bool watchesLocked() const;
  void runWatch(const std::stop_token &Stop);
  void runTimer(const std::stop_token &Stop);
  void pause(const std::stop_token &Stop, std::chrono::milliseconds Time);

  const Clock &m_clock;
  EventLog &m_log;
  ConfigPeers &m_peers;
  const DaemonName m_self;
  std::function<void(Snapshot)> m_onApplied;
  ObjectFollower m_follower; ///< Used by watchStep only.

  /// Held while a new version is put in force, so that onApplied runs in
  /// order. Taken before m_mutex.
  std::mutex m_applyMutex;
  mutable std::mutex m_mutex;
  Snapshot m_current;      ///< Its version only rises.
  ConfigText m_held;       ///< The text of m_current.
  std::uint64_t m_bad = 0; ///< Highest version whose text was malformed.
  std::vector<DaemonName> m_members;
  struct Offer {
    std::uint64_t Version = 0;
    TimePoint Heard;
  };
  std::map<DaemonName, Offer> m_offers; ///< Latest of each peer.
  DaemonName m_asked;                   ///< Peer of the last fetch.
  TimePoint m_fetchUntil{};             ///< A fetch is outstanding until then.
  TimePoint m_nextAsk{};
  TimePoint m_heard{}; ///< Last offer of a peer that is not behind.
  bool m_platformFailed = false;

  std::condition_variable_any m_wake;
  std::jthread m_watchThread;
  std::jthread m_timerThread;
};

} // namespace nutmegdrift::control

#endif
