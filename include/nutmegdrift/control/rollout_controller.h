// Runs the rollouts stored in the platform's "rollout/<target>" objects. A
// lease and a fencing number ensure that one controller at a time runs a
// rollout.
#ifndef NUTMEGDRIFT_CONTROL_ROLLOUT_CONTROLLER_H
#define NUTMEGDRIFT_CONTROL_ROLLOUT_CONTROLLER_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/control/rollout_record.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegdrift::control {

/// A controller's interface to engines and daemons.
class EngineFleet {
public:
  virtual ~EngineFleet() = default;

  /// Replicas of the target that are not leaving.
  virtual std::vector<config::Replica> replicas(const std::string &Target) = 0;

  /// Orders the replica to load a version; returns before it is loaded.
  /// Errors: Conflict (the replica has received a higher fencing number),
  /// EndpointRefused (the order was rejected). After any other error, the order
  /// may or may not have been accepted.
  virtual Result<void> orderLoad(const config::ReplicaId &Id,
                                 const std::string &Version,
                                 std::uint64_t Fence) = 0;

  /// The version that the engine reports to serve.
  virtual Result<std::string> readVersion(const config::ReplicaId &Id) = 0;

  /// Samples of the target that daemons have sent since the last call.
  virtual std::vector<policy::VersionSample>
  collectSamples(const std::string &Target) = 0;

  /// Sends the shares to the daemons, which keep those with the highest Fence.
  virtual void setShares(const policy::RolloutPlan &Plan,
                         const policy::RolloutStep &Step,
                         std::uint64_t Fence) = 0;
};

/// Timing of a rollout controller.
struct RolloutTimes {
  Duration Lease = std::chrono::seconds(3);
  /// Other controllers consider a lease expired this long after its end.
  Duration Margin = std::chrono::milliseconds(500);
  Duration RenewalInterval = std::chrono::seconds(1);
  /// The longest time from sending an order until the engine has executed it.
  Duration MaxOrderTime = std::chrono::seconds(60);
  /// Minimum time between two loads from the weight store, over all rollouts.
  Duration LoadInterval = std::chrono::seconds(20);
  policy::PhaseTimes Phases{};
};

/// tick() must be called several times a second. Not thread-safe.
///
/// A controller that was suspended past the end of its lease detects this
/// before it sends anything. Engines that ignore fencing numbers get no order
/// from a new holder until the old lease plus RolloutTimes::MaxOrderTime has
/// passed; then their version is read, as that of all engines is before
/// each decision.
class RolloutController {
public:
  RolloutController(platform::ObjectStore &Store, const Clock &Clk,
                    EngineFleet &Fleet, EventLog &Log, const DaemonName &Name,
                    BootId Boot, const RolloutTimes &Times = {});

  void tick();
  /// Releases all leases before a planned stop, so that another controller can
  /// continue without waiting for their end.
  void release();

  /// Number of rollouts whose lease this controller holds.
  [[nodiscard]] std::size_t heldCount() const { return m_held.size(); }
  /// Whether rollouts are waiting because the platform can't be read.
  [[nodiscard]] bool waitingForPlatform() const { return m_waiting; }

private:
  struct Order {
    std::string Version;
    TimePoint SentAt;
  };
  /// A rollout whose lease this controller holds.
  struct HeldRollout {
    platform::ObjectVersion Version = 0;
    RolloutRecord Record;
    policy::RolloutMachine Machine;
    /// When the write that last renewed the lease was sent.
    TimePoint LeaseStart;
    TimePoint LastAdvance;
    TimePoint NextLoad;
    TimePoint NextWrite;
    /// Engines that ignore fencing numbers get no order before this time.
    TimePoint UnfencedOrdersFrom;
    /// Not yet confirmed by the engine's version.
    std::map<config::ReplicaId, Order> Orders{};
    /// Of the last write, to find out whether it took effect.
    std::string PendingNonce{};
    TimePoint PendingSent{};
  };
  /// The state of a rollout's lease as observed by this controller.
  struct Observed {
    platform::ObjectVersion Version = 0;
    /// Counts only time in which the platform was readable.
    Duration Unchanged{0};
  };
  struct Claim {
    std::string Nonce;
    TimePoint SentAt;
    bool HadHolder = false;
  };
  struct Survey {
    policy::ReplicaCounts Counts;
    /// May get an order to load the new version.
    std::vector<config::Replica> OnOldVersion;
    /// May get an order to load the old version.
    std::vector<config::Replica> OnNewVersion;
  };

  void readRollouts();
  void observe(const platform::Object &Stored, Duration Readable);
  void reconcile(HeldRollout &Rollout, const platform::Object &Stored,
                 const RolloutRecord &Record);
  [[nodiscard]] bool claimable(const RolloutRecord &Record,
                               const Observed &Observation) const;
  void claim(const platform::Object &Stored, RolloutRecord Record,
             const Observed &Observation);
  void acquire(const std::string &Name, platform::ObjectVersion Version,
               const RolloutRecord &Record, const Claim &Attempt);
  void advanceRollout(const std::string &Name);
  [[nodiscard]] Survey survey(HeldRollout &Rollout);
  void classify(HeldRollout &Rollout, const config::Replica &Engine,
                Survey &Out);
  void orderNextLoad(HeldRollout &Rollout, const Survey &Engines,
                     const policy::RolloutStep &Step);
  void sendLoadOrder(HeldRollout &Rollout, const config::Replica &Engine,
                     const std::string &Version);
  void logProgress(const HeldRollout &Rollout, const std::string &Name,
                   policy::RolloutPhase Before,
                   const std::string &PreviousDelay);
  void writeRecord(const std::string &Name);
  void resolveWrite(const std::string &Name, const Error &Failure);
  void drop(const std::string &Name, std::string_view Reason);
  [[nodiscard]] bool leaseValid(const HeldRollout &Rollout) const;
  [[nodiscard]] Duration loadInterval() const;
  std::string nextNonce();

  platform::ObjectStore &m_store;
  const Clock &m_clock;
  EngineFleet &m_fleet;
  EventLog &m_log;
  const std::string m_self; ///< Daemon and boot.
  const RolloutTimes m_times;
  std::uint64_t m_nonceCount = 0;
  std::map<std::string, HeldRollout> m_held;
  std::map<std::string, Observed> m_observed;
  /// Claims without a response.
  std::map<std::string, Claim> m_unconfirmedClaims;
  std::size_t m_activeRollouts = 1; ///< Rollouts that share the weight store.
  bool m_waiting = false;
  TimePoint m_lastRead{};
};

} // namespace nutmegdrift::control

#endif
