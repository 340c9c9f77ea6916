// Admission at an owner of replicas: wraps the fair scheduler of each target
// for request threads, which wait here for their slot.
#ifndef NUTMEGDRIFT_PROXY_ADMISSION_H
#define NUTMEGDRIFT_PROXY_ADMISSION_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/policy/fair_scheduler.h"
#include "nutmegdrift/proxy/slot_source.h"
#include "nutmegdrift/proxy/suspect_filter.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace nutmegdrift::proxy {

/// What admission needs from the rest of the daemon. The hooks are called
/// without a lock of Admission held.
struct AdmissionHooks {
  /// True if the daemon's right to the replica holds at this moment.
  std::function<bool(const config::ReplicaId &)> MayStart;
  /// Owners of the target other than this daemon, best first.
  std::function<std::vector<DaemonName>(const Target &)> OtherOwners;
  /// True if any replica of the target is known, owned or not.
  std::function<bool(const Target &)> HasEndpoint;
  /// Tells another owner that a slot is held for one of its requests.
  std::function<void(const Target &, const policy::SlotOffer &)> SendOffer;
  /// Tells the offering owner that nothing is queued here.
  std::function<void(const DaemonName &To, const Target &, policy::OfferId)>
      DeclineOffer;
  /// Requests that may crash endpoints; outlives the admission.
  SuspectDesk &Suspects;
  /// Sends counters to these owners now, because work waits here.
  std::function<void(const Target &, const std::vector<DaemonName> &)>
      TellPeers{};
};

/// Figures of one target for metrics and the address answers.
struct TargetFigures {
  Target What;
  std::size_t Limit = 0;
  std::size_t Running = 0;
  std::size_t Queued = 0;
  std::size_t Replicas = 0;
  /// Normalised service of the workspaces that have requests waiting.
  std::map<std::string, double> ServiceByWorkspace;
};

class Admission final : public SlotSource {
public:
  Admission(const Clock &Clk, EventLog &Log, DaemonName Self, BootId Boot,
            policy::SchedulerSettings Settings, AdmissionHooks Hooks);
  ~Admission() override;
  Admission(const Admission &) = delete;
  Admission &operator=(const Admission &) = delete;

  Result<Route> acquire(const RequestContext &Request,
                        const config::FleetConfig &Config) override;

  /// The replicas that this daemon owns now, of all targets.
  void setReplicas(const std::vector<policy::OwnedReplicaState> &Replicas);
  void setConfig(const config::FleetConfig &Config);
  /// Replicas in these availability zones get no new work.
  void setZonesOut(const std::set<std::string> &Zones);
  /// Share of each route that a version may get.
  void setVersionShare(const Target &What, const std::string &Version,
                       double Share);
  /// As above, with shares of their own for the routes named by plan.
  void setVersionShare(const Target &What, const std::string &Version,
                       double Share, std::map<std::string, double> Routes);
  /// Adds requests of a plan that started at other owners.
  void addRouteDispatches(const Target &What, const std::string &Plan,
                          std::uint64_t Count);
  void reportLoad(const Target &What, const config::ReplicaId &Replica,
                  std::size_t Running, std::size_t Waiting);

  /// Sends what waits, and what still comes, to other owners; for a planned
  /// stop.
  void drain();

  // Exchange with other owners.
  policy::CounterChanges changesSince(const Target &What, std::uint64_t Cursor);
  void merge(const Target &What,
             const std::vector<policy::CounterEntry> &Entries);
  std::vector<policy::SpareSlots> splitSpare(const Target &What,
                                             std::size_t Peers);
  /// Free slots that another owner has reported. Call before merge(), which
  /// moves requests.
  void setPeerSpare(const Target &What, const DaemonName &From,
                    policy::SpareSlots Spare);
  void dropPeer(const DaemonName &Daemon);
  void onOffer(const DaemonName &From, const Target &What,
               policy::OfferId Offer, const std::string &Workspace);
  void onDecline(const Target &What, policy::OfferId Offer);

  /// Makes and expires offers; call every 20 to 100 ms.
  void tick();

  [[nodiscard]] std::vector<TargetFigures> figures() const;
  /// Requests running now on a replica that this daemon owns or owned.
  [[nodiscard]] std::size_t running(const config::ReplicaId &Replica) const;

private:
  struct Waiter;
  struct Lane;
  class LocalSlot;

  std::shared_ptr<Lane> lane(const Target &What);
  [[nodiscard]] std::shared_ptr<Lane> findLane(const Target &What) const;
  [[nodiscard]] std::vector<std::shared_ptr<Lane>> lanes() const;
  Result<Route> waitForSlot(const std::shared_ptr<Lane> &Where,
                            const RequestContext &Request);
  Result<Route> leaveQueue(Lane &Where, policy::WorkId Work);
  [[nodiscard]] bool draining() const;
  Result<Route> relayRoute(const RequestContext &Request);
  void pump(Lane &Where, std::unique_lock<std::mutex> &Lock);
  void spreadReplicas();
  void setLaneReplicas(Lane &Where,
                       const std::vector<policy::OwnedReplicaState> &Owned);
  void displaceAll(Lane &Where);
  void applyConfig(Lane &Where, const config::FleetConfig &Config) const;

  const Clock &m_clock;
  EventLog &m_log;
  const DaemonName m_self;
  const BootId m_boot;
  const policy::SchedulerSettings m_settings;
  const AdmissionHooks m_hooks;
  std::mutex m_spreadMutex;   ///< Taken before all others.
  mutable std::mutex m_mutex; ///< Guards the members up to m_draining.
  std::map<Target, std::shared_ptr<Lane>> m_lanes;
  std::vector<policy::OwnedReplicaState> m_owned;
  std::set<std::string> m_zonesOut;
  config::FleetConfig m_config;
  bool m_draining = false;
  mutable std::mutex m_runningMutex;
  std::map<config::ReplicaId, std::size_t> m_runningByReplica;
};

} // namespace nutmegdrift::proxy

#endif
