// Connects the rollout controller to engines, owners and the configuration.
#ifndef NUTMEGDRIFT_DAEMON_ROLLOUT_LINK_H
#define NUTMEGDRIFT_DAEMON_ROLLOUT_LINK_H

#include "nutmegdrift/config/settings.h"
#include "nutmegdrift/control/membership_controller.h"
#include "nutmegdrift/control/ownership_controller.h"
#include "nutmegdrift/control/rollout_controller.h"
#include "nutmegdrift/daemon/directory.h"
#include "nutmegdrift/daemon/load_reader.h"
#include "nutmegdrift/peer/peer_network.h"
#include "nutmegdrift/proxy/admission.h"
#include "nutmegdrift/proxy/version_sampler.h"

#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <set>

namespace nutmegdrift::daemon {

/// The parts of the daemon that rollouts touch; all outlive the link.
struct RolloutParts {
  platform::ObjectStore &Store;
  const Clock &Time;
  EventLog &Log;
  peer::PeerNetwork &Network;
  const Directory &Known;
  const control::MembershipController &Members;
  const control::OwnershipController &Ownership;
  proxy::Admission &Slots;
  proxy::VersionSampler &Sampler;
  /// Has the owned replicas passed to admission again, through overlay().
  std::function<void()> ReplicasChanged;
};

/// One rollout as this daemon knows it.
struct RolloutFigures {
  Target What;
  std::string Version;
  std::string Phase;
  std::string Reason;
  double Share = 0.0;

  friend bool operator==(const RolloutFigures &,
                         const RolloutFigures &) = default;
};

/// Both sides of a rollout. As owner of replicas: applies the shares that the
/// controller sends, withholds replicas that load a version, and sends samples
/// once a second. As one of the region's few controller daemons: turns version
/// orders of the configuration into rollouts and runs the controller.
///
/// The version that a replica serves is what the engine reports; it is kept
/// here over the endpoint's record, which belongs to the platform. Thread-safe.
class RolloutLink final : public control::EngineFleet {
public:
  static constexpr std::chrono::milliseconds ControllerInterval{250};
  static constexpr std::chrono::milliseconds SampleInterval{1000};
  static constexpr std::chrono::milliseconds ReadInterval{100};
  /// Daemons of a region that run the controller, so that listings of the
  /// platform don't grow with the fleet.
  static constexpr std::size_t ControllerDaemons = 2;

  RolloutLink(RolloutParts Parts, const config::DaemonSettings &Settings,
              BootId Boot);

  /// Called every ControllerInterval.
  void controllerStep();
  /// Called every SampleInterval.
  void sampleStep();
  /// Reads the version of owned engines that is not known or about to change;
  /// called every ReadInterval. Such a replica gets no work during a rollout.
  void readUnread();
  /// Gives back the leases, for a planned stop.
  void release();

  void applyConfig(const config::FleetConfig &Config);
  /// False if the message is of another kind.
  bool onMessage(const peer::PeerOrigin &From, const wire::Message &Message);
  /// The version that an owned engine reports.
  void noteVersion(const config::ReplicaId &Id, const std::string &Version);
  /// Owned replicas with the versions that they serve. Those that load, or
  /// serve a version without share, are marked as leaving: no new work.
  std::vector<policy::OwnedReplicaState>
  overlay(std::vector<policy::OwnedReplicaState> Owned);
  [[nodiscard]] std::vector<RolloutFigures> figures() const;

  // EngineFleet.
  std::vector<config::Replica> replicas(const std::string &TargetText) override;
  Result<void> orderLoad(const config::ReplicaId &Id,
                         const std::string &Version,
                         std::uint64_t Fence) override;
  Result<std::string> readVersion(const config::ReplicaId &Id) override;
  std::vector<policy::VersionSample>
  collectSamples(const std::string &TargetText) override;
  void setShares(const policy::RolloutPlan &Plan,
                 const policy::RolloutStep &Step, std::uint64_t Fence) override;

private:
  struct Loading {
    std::string Version;
    TimePoint Since;
  };
  /// The decision in force at this owner.
  struct Applied {
    wire::VersionShares Shares;
    DaemonName From;
  };
  /// What an owner last sent.
  struct OwnerReport {
    bool ServesFresh = false;
    TimePoint At;
    std::map<std::string, std::uint64_t> Dispatches; ///< Since the broadcast.
  };
  struct Reading {
    std::string Version;
    TimePoint At;
  };
  /// The controller's side of one target.
  struct Steering {
    wire::VersionShares Last;
    TimePoint SentAt{};
    TimePoint SentToAllAt{};
    /// Owners that have the message of a settled rollout, by boot.
    std::map<DaemonName, BootId> Informed;
    std::vector<policy::VersionSample> Inbox;
    std::map<DaemonName, OwnerReport> Owners;
    std::map<config::ReplicaId, Loading> Loads;
  };

  [[nodiscard]] bool isController() const;
  void readRecords();
  void followOrder(const config::VersionOrder &Order);
  void startOrder(const config::VersionOrder &Order);
  std::string oldVersion(const config::VersionOrder &Order);
  void repeatSettled();
  void broadcast(wire::VersionShares Message, bool Settled = false);
  std::vector<DaemonName> recipients(Steering &Of,
                                     const wire::VersionShares &Message,
                                     bool Settled) const;
  bool noteLoads(const wire::VersionShares &Message);
  void addElsewhere(Steering &Of, wire::VersionShares &Message) const;
  void addLoads(Steering &Of, wire::VersionShares &Message) const;
  void onShares(const DaemonName &From, const wire::VersionShares &Message);
  void onSamples(const DaemonName &From, const wire::VersionSamples &Message);
  void applyShares(const wire::VersionShares &Message,
                   const std::optional<wire::VersionShares> &Before,
                   bool ServesFresh);
  void sendSamples(const Target &What, const DaemonName &To);
  [[nodiscard]] bool servesFresh(const Target &What,
                                 const std::string &Version) const;
  void watchTargets();

  const RolloutParts m_parts;
  const DaemonName m_self;
  const Duration m_longestOrder;
  mutable std::mutex m_mutex; ///< Guards the members up to m_steering.
  std::vector<config::VersionOrder> m_orders;
  std::map<Target, Applied> m_applied;
  std::map<config::ReplicaId, Loading> m_loading;
  std::map<config::ReplicaId, std::string> m_versions;
  std::map<config::ReplicaId, config::Replica> m_owned;
  std::map<Target, control::RolloutRecord> m_records;
  std::map<Target, Steering> m_steering;
  std::mutex m_controllerMutex; ///< Guards all below; taken before m_mutex.
  std::map<config::ReplicaId, Reading> m_readings;
  std::vector<std::future<void>> m_posts;
  TimePoint m_recordsRead{};
  bool m_recordsKnown = false;
  bool m_stopped = false;
  control::RolloutController m_controller;
};

} // namespace nutmegdrift::daemon

#endif
