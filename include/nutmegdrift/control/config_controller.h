// Keeps a daemon's configuration at the highest version available from the
// platform or from peers.
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

/// The stored configuration object.
struct ConfigText {
  std::uint64_t Version = 0;
  std::string Text;
};

/// Sends configuration messages to other daemons. Called from several threads,
/// never under a lock of the controller; messages may be lost.
class ConfigPeers {
public:
  virtual ~ConfigPeers() = default;
  /// Sends a ConfigOffer to all known peers. Version 0 means that this daemon
  /// has no configuration.
  virtual void offerAll(std::uint64_t Version) = 0;
  virtual void offer(const DaemonName &To, std::uint64_t Version) = 0;
  /// Sends a ConfigFetch; the peer replies with its document if it is newer
  /// than HeldVersion.
  virtual void fetch(const DaemonName &From, std::uint64_t HeldVersion) = 0;
  virtual void send(const DaemonName &To, const ConfigText &Body) = 0;
};

/// Thread-safe. Driven either by start(), which runs the watch and the timer on
/// a thread each, or by calls of tick() and watchStep() (tests).
class ConfigController {
public:
  using Snapshot = std::shared_ptr<const config::FleetConfig>;

  /// Number of daemons of an availability zone that watch the platform.
  static constexpr std::size_t WatchersPerZone = 2;
  /// An unanswered fetch is repeated after this time, at another peer if there
  /// is one.
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(500);
  /// Interval of the offers to all peers while there is no configuration.
  static constexpr Duration InitialOfferInterval = std::chrono::seconds(1);
  /// A daemon that has received no offer for this time watches the platform.
  static constexpr Duration MaxOfferSilence = std::chrono::seconds(3);
  /// Older offers are dropped. A live peer repeats its offer every second; a
  /// peer that has stopped can't answer a fetch.
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
  /// Its version, 0 before the first one; sent with peer heartbeats.
  [[nodiscard]] std::uint64_t version() const;

  /// Sets the handler to call after each change, in order of version. To be
  /// called before any other function.
  void onApplied(std::function<void(Snapshot)> Handler);
  /// Sets the live daemons of this availability zone, including this daemon,
  /// which watches the platform until the first call.
  void setZoneMembers(const std::vector<DaemonName> &Members);
  /// Whether this daemon watches the platform now.
  [[nodiscard]] bool watches() const;

  /// Handles a ConfigOffer or the version in a peer heartbeat.
  void onOffer(const DaemonName &From, std::uint64_t Version);
  void onFetch(const DaemonName &From, std::uint64_t HeldVersion);
  void onBody(const DaemonName &From, const ConfigText &Body);

  /// Repeats fetches; without a configuration, requests offers of all peers.
  void tick();
  /// Watches the platform for at most Wait, if this daemon watches it. Returns
  /// false if it doesn't or if the platform failed.
  bool watchStep(std::chrono::milliseconds Wait);

  void start();
  void stop();

private:
  /// Calls to make after the lock is released.
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

  /// Held while a new version is applied, so that onApplied handlers run in
  /// order. Locked before m_mutex.
  std::mutex m_applyMutex;
  mutable std::mutex m_mutex;
  Snapshot m_current;                 ///< Its version never decreases.
  ConfigText m_currentText;           ///< The text of m_current.
  std::uint64_t m_invalidVersion = 0; ///< Highest malformed version.
  std::vector<DaemonName> m_zoneMembers;
  struct Offer {
    std::uint64_t Version = 0;
    TimePoint ReceivedAt;
  };
  std::map<DaemonName, Offer> m_offers; ///< Latest offer of each peer.
  DaemonName m_fetchPeer;               ///< Peer of the last fetch.
  TimePoint m_fetchDeadline{};          ///< No other fetch before.
  TimePoint m_nextInitialOffer{};
  TimePoint m_lastOffer{}; ///< Last offer from a peer that is not behind.
  bool m_platformFailed = false;

  std::condition_variable_any m_wake;
  std::jthread m_watchThread;
  std::jthread m_timerThread;
};

} // namespace nutmegdrift::control

#endif
