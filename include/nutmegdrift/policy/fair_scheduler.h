// Admission for one target: fair queues of workspaces, choice of replica and
// slot offers between owners.
#ifndef NUTMEGDRIFT_POLICY_FAIR_SCHEDULER_H
#define NUTMEGDRIFT_POLICY_FAIR_SCHEDULER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/error.h"
#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/policy/limiter.h"
#include "nutmegdrift/policy/service_counters.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegdrift::policy {

using config::ReplicaId;
using WorkId = std::uint64_t;
using OfferId = std::uint64_t;

/// A request as the scheduler sees it.
struct WorkItem {
  std::string Workspace;
  std::string Plan{};           ///< Names the route together with the target.
  double CostHint = 0.0;        ///< Tokens; 0 if there is no hint.
  std::uint64_t PrefixHash = 0; ///< Of the prompt's start; 0: no affinity.
  TimePoint Deadline = TimePoint::max();
  std::vector<ReplicaId>
      AvoidReplicas{};  ///< Replicas that an earlier try failed on.
  bool Relayed = false; ///< Came from another owner.
};

/// A replica that this daemon owns.
struct OwnedReplicaState {
  config::Replica Record;
  double LimitFactor = 1.0;
  std::size_t ResidualRequests = 0;
  bool ZoneOutOfService = false; ///< Its availability zone is out of service.
};

/// An item that may start on a replica now. The slot is taken.
struct Dispatch {
  WorkId Work = 0;
  ReplicaId Replica;

  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// Slots held for a queued request of another owner until \p Expires.
struct SlotOffer {
  OfferId Id = 0;
  DaemonName Receiver;
  std::string Workspace;
  TimePoint Expires{};

  friend bool operator==(const SlotOffer &, const SlotOffer &) = default;
};

/// An item popped from the queue for another owner's slot.
struct PoppedItem {
  WorkId Work = 0;
  WorkItem Item;
};

/// Free slots that an owner with an empty queue reports to one other owner.
struct SpareSlots {
  std::uint32_t Free = 0; ///< In total.
  /// Share of them that this receiver may send requests to without asking.
  /// The slots are not held.
  std::uint32_t Credit = 0;

  friend bool operator==(const SpareSlots &, const SpareSlots &) = default;
};

/// A queued item to send to an owner that has reported free slots.
struct CreditMove {
  WorkId Work = 0;
  DaemonName Receiver;
  WorkItem Item;
};

struct SchedulerSettings {
  LimiterSettings Limits{};
  double DefaultWeight = 1.0;
  std::size_t DefaultMaxQueued = 64;
  /// Expected cost in tokens before a workspace has observed costs or hints.
  double DefaultCost = 256.0;
  /// Normalised service (tokens at weight 1) by which a workspace may be ahead
  /// of the least served backlogged one after counters are merged.
  double MaxDebt = 100'000.0;
  /// Normalised service by which the least served local workspace has to be
  /// ahead of a remote one before a slot is offered to the remote one.
  double OfferThreshold = 1'000.0;
  Duration OfferLifetime = std::chrono::milliseconds(300);
  /// Two exchange intervals: a report that was followed by none is not used.
  Duration SpareLifetime = std::chrono::milliseconds(1'000);
  /// Counters sent early are limited to one message to each of this many
  /// owners in a pause, which bounds their cost (P11).
  Duration MinEarlyReportInterval = std::chrono::milliseconds(100);
  std::size_t MaxEarlyReceivers = 3;
  /// A replica takes requests by prefix until its load passes this multiple of
  /// the mean.
  double MaxAffinityLoad = 1.25;
};

/// Not thread-safe; wrap it with a mutex. After every call that may free or
/// fill a slot, call nextOffers() and then nextDispatch().
class FairScheduler {
public:
  FairScheduler(Target ServedTarget, DaemonName Daemon, BootId Boot,
                SchedulerSettings Settings = {});

  // Configuration.
  /// Replaces the owned replicas. Limits of replicas that stay are kept; one
  /// that returns from an availability zone out of service starts slowly.
  void setReplicas(const std::vector<OwnedReplicaState> &Replicas);
  void setWorkspace(const std::string &Workspace, double Weight,
                    std::size_t MaxQueued);
  /// Caps the share of dispatches that \p Version gets on each route and
  /// keeps what was earned before. A share of 1 or more removes the cap.
  void setVersionShare(const std::string &Version, double Share);
  /// As above, with shares of their own for the routes named by plan in
  /// \p Routes; all others get \p Share.
  void setVersionShare(const std::string &Version, double Share,
                       std::map<std::string, double> Routes);
  /// True if a usable replica may take the plan's next request by its share.
  [[nodiscard]] bool routeAvailable(const std::string &Plan) const;
  /// Adds dispatches on a route at other owners to the total that version
  /// shares refer to.
  void addRouteDispatches(const std::string &Plan, std::uint64_t Count);

  // Work.
  /// Queues an item. Errors: QueueFull, DeadlinePassed, DeadlineUnreachable,
  /// each with a time to come back.
  Expected<WorkId> enqueue(WorkItem Item, TimePoint Now);
  /// Items that may start now, each with its replica.
  std::vector<Dispatch> nextDispatch(TimePoint Now);
  /// Removes and returns the queued items that can no longer end in time: the
  /// deadline less the expected run time has passed.
  std::vector<WorkId> expire(TimePoint Now);
  /// When the next queued item expires, for a timed wait.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;
  /// Charges tokens that a running item has streamed since the last charge. The
  /// first charge is the item's first token.
  void charge(WorkId Work, double Tokens, TimePoint Now);
  /// Ends a running item and frees its slot. \p FinalCost, if above the sum of
  /// the charges, settles the difference.
  void finish(WorkId Work, Outcome Result, TimePoint Now,
              double FinalCost = 0.0);
  /// Removes a queued item, or ends a running one as cancelled.
  void cancel(WorkId Work, TimePoint Now);
  /// Load as a replica reports it, in requests.
  void reportLoad(const ReplicaId &Replica, std::size_t Running,
                  std::size_t Waiting, TimePoint Now);

  // Exchange with other owners.
  /// Own counters changed after \p Cursor, see ServiceCounters.
  CounterChanges changesSince(std::uint64_t Cursor);
  /// Merges a `Counters` message; entries of other targets are ignored.
  void merge(const std::vector<CounterEntry> &Entries);
  /// Forgets the backlog of a daemon that is gone, until its next message.
  void dropPeer(const DaemonName &Daemon);

  /// Slots to offer to other owners now. Each holds a free slot until it is
  /// used, declined or expired.
  std::vector<SlotOffer> nextOffers(TimePoint Now);
  /// At the owner that receives an offer: pops a queued item of \p Workspace,
  /// or else of the least served workspace; nothing if the queue is empty.
  std::optional<PoppedItem> popForOffer(const std::string &Workspace,
                                        TimePoint Now);
  /// At the offering owner: takes the item sent for an offer. It starts with
  /// the next nextDispatch(). Error NoEndpoint if the offer has expired.
  Expected<WorkId> enqueueOffered(OfferId Offer, WorkItem Item, TimePoint Now);
  /// The peer had nothing queued.
  void declineOffer(OfferId Offer);

  /// Splits the free slots that no local work needs over \p Peers other owners.
  /// The remainder goes to other peers each time.
  [[nodiscard]] std::vector<SpareSlots> splitSpare(std::size_t Peers);
  /// Stores the latest report of another owner.
  void setPeerSpare(const DaemonName &Daemon, SpareSlots Spare, TimePoint Now);
  /// Pops queued items that no local slot is free for and that another owner
  /// has given credit for. Call after nextDispatch(). An item that was relayed
  /// here stays.
  std::vector<CreditMove> nextCreditMoves(TimePoint Now);
  /// Owners to send counters to now instead of at the next interval, because
  /// work waits here and they have reported free slots; each once for a report.
  /// Call after nextCreditMoves().
  std::vector<DaemonName> peersToNotify(TimePoint Now);

  // State for metrics.
  [[nodiscard]] std::size_t queued() const { return m_queuedCount; }
  [[nodiscard]] std::size_t queued(const std::string &Workspace) const;
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] std::size_t freeSlots() const;
  [[nodiscard]] std::size_t limit() const;
  [[nodiscard]] std::size_t limit(const ReplicaId &Replica) const;
  /// Normalised service of a workspace as this owner sees it.
  [[nodiscard]] double normalisedService(const std::string &Workspace) const;
  /// Expected cost of an item in tokens.
  [[nodiscard]] double expectedCost(const WorkItem &Item) const;

private:
  /// Predicts costs by the mean and by the corrected hint, and uses the one
  /// with the smaller mean error.
  struct CostModel {
    double MeanCost = 0.0;
    double MeanHint = 0.0;
    double MeanError = 0.0;
    double HintError = 0.0;
    std::uint64_t Count = 0;
  };
  struct RemoteQueue {
    std::uint64_t Reported = 0; ///< From the latest message.
    /// Reported less the slots offered since. Kept apart, because an offer
    /// must not make the workspace look as if it had stopped waiting.
    std::uint64_t Offerable = 0;
  };
  struct Share {
    double Weight = 1.0;
    std::size_t MaxQueued = 0;
    /// Service charged here and merged from others, over the weight.
    double Service = 0.0;
    /// Expected cost still to come of items running here, in tokens.
    double Reserved = 0.0;
    /// Tokens charged here in this boot.
    double LocalService = 0.0;
    std::deque<WorkId> Queue;
    double QueuedCost = 0.0;
    /// Requests that wait at other owners.
    std::map<DaemonName, RemoteQueue> RemoteQueues;
    /// Waiting somewhere in the fleet, as far as known here.
    bool Backlogged = false;
    CostModel Costs;
  };
  struct Work {
    WorkItem Item;
    double Expected = 0.0;
    TimePoint LatestStart = TimePoint::max(); ///< By the deadline.
    double Charged = 0.0;
    ReplicaId Replica{}; ///< Empty while queued.
    TimePoint Started{};
    TimePoint LastCharge{};
    bool Offered = false; ///< Came from another owner for an offered slot.
  };
  struct ReplicaSlots {
    OwnedReplicaState State;
    Limiter Limit;
    /// Running items without a first token, oldest first.
    std::set<std::pair<TimePoint, WorkId>> AwaitingFirst;
    bool Removed = false; ///< No longer owned; kept while requests run.
    [[nodiscard]] bool usable() const;
    [[nodiscard]] std::size_t free() const;
  };
  /// Slots of a version with a smaller share are not offered, since the
  /// request that takes the offer would wait for the share to grow.
  static constexpr double MinOfferedShare = 0.1;
  /// Credit of a version whose replicas were busy; more would let it catch up
  /// in a burst above its share.
  static constexpr double MaxVersionCredit = 2.0;

  struct VersionCap {
    double DefaultShare = 1.0;
    std::map<std::string, double> RouteShares;
    /// Dispatches earned on each route and not used, by plan. They stay when
    /// the share changes: clearing them at every step of a ramp would keep a
    /// version without any request on routes with few.
    std::map<std::string, double> Credits;

    void setShares(double Default, std::map<std::string, double> ByPlan);
    [[nodiscard]] double shareFor(const std::string &Plan) const;
    [[nodiscard]] double maxShare() const;
  };
  struct PendingOffer {
    SlotOffer Offer;
    double Expected = 0.0;
  };
  struct PeerReport {
    SpareSlots Spare;
    TimePoint Expires{};
  };
  /// Service rate of the local queue, measured only while it is never empty.
  struct RateMeter {
    TimePoint BucketStart{};
    double Tokens = 0.0;
    bool Saturated = false;
    double Rate = 0.0; ///< Tokens a second; 0 until measured.
  };

  Share &share(const std::string &Workspace);
  [[nodiscard]] const Share *findShare(const std::string &Workspace) const;
  [[nodiscard]] static double serviceKey(const Share &WorkspaceShare);
  [[nodiscard]] double leastBackloggedKey() const;
  void updateBacklogged(Share &WorkspaceShare);
  void boundDebt();
  /// The least served workspace queued here, without those in \p Skip; end()
  /// if none.
  [[nodiscard]] std::map<std::string, Share>::iterator
  leastServedQueued(const std::set<std::string> &Skip = {});

  std::optional<Error> refusal(const Share &WorkspaceShare,
                               const WorkItem &Item, TimePoint Now) const;
  [[nodiscard]] Duration expectedWait(const Share &WorkspaceShare) const;
  /// How long the item is expected to run, with a margin while others wait.
  [[nodiscard]] Duration expectedRunTime(const Share &WorkspaceShare,
                                         const WorkItem &Item) const;
  void removeQueued(WorkId Id);
  /// Also for items that wait for their offered slot.
  void removeWaiting(WorkId Id);
  void push(Share &WorkspaceShare, WorkId Id);

  void updateReplica(ReplicaSlots &Replica, const OwnedReplicaState &State);
  [[nodiscard]] ReplicaSlots *chooseReplica(const WorkItem &Item);
  [[nodiscard]] std::vector<ReplicaSlots *> candidates(const WorkItem &Item);
  [[nodiscard]] static ReplicaSlots *
  byPrefix(const std::vector<ReplicaSlots *> &Candidates, std::uint64_t Prefix,
           double MaxLoad);
  void preferCapped(std::vector<ReplicaSlots *> &Candidates) const;
  /// Counts dispatches on a route towards the shares of all capped versions.
  void earnVersionCredit(const std::string &Plan, double Count);
  [[nodiscard]] bool versionAllowed(const std::string &Plan,
                                    const std::string &Version) const;
  Dispatch start(WorkId Id, ReplicaSlots &Replica, TimePoint Now);
  bool dispatchOffered(std::vector<Dispatch> &Started, TimePoint Now);
  bool dispatchQueued(std::vector<Dispatch> &Started, TimePoint Now);
  void detectCold(TimePoint Now);

  void observeStream(Work &Running, WorkId Id, double Tokens, TimePoint Now);
  void chargeShare(Work &Running, double Tokens);
  static void observeCost(CostModel &Model, double Hint, double Cost);
  [[nodiscard]] static double predictCost(const CostModel &Model, double Hint);
  void releaseSlot(const Work &Ended, WorkId Id, Outcome Result, TimePoint Now);
  void recordTokens(double Tokens, TimePoint Now);

  void expireOffers(TimePoint Now);
  void endOffer(std::map<OfferId, PendingOffer>::iterator Ended);
  void clearRemoteQueues(const DaemonName &Daemon);
  /// The least served workspace that waits elsewhere; end() if none.
  [[nodiscard]] std::map<std::string, Share>::iterator leastServedRemote();
  [[nodiscard]] std::size_t uncommittedSlots() const;
  [[nodiscard]] std::size_t offerableSlots() const;
  /// The peer with the most credit; null if none has any.
  [[nodiscard]] PeerReport *peerWithMostCredit(TimePoint Now, DaemonName &Name);
  /// The least served workspace whose first item may move; end() if none.
  [[nodiscard]] std::map<std::string, Share>::iterator leastServedMovable();
  /// Pops the first item of a queue for another owner.
  PoppedItem popQueued(const Share &WorkspaceShare, TimePoint Now);
  SlotOffer offerTo(const std::string &Workspace, Share &WorkspaceShare,
                    TimePoint Now);

  Target m_target;
  SchedulerSettings m_settings;
  ServiceCounters m_counters;
  std::map<std::string, Share> m_shares;
  std::map<WorkId, Work> m_work;
  std::map<ReplicaId, ReplicaSlots> m_replicas;
  /// Queued items by latest start.
  std::set<std::pair<TimePoint, WorkId>> m_deadlines;
  std::deque<WorkId> m_offeredQueue;
  std::map<OfferId, PendingOffer> m_offers;
  std::map<std::string, VersionCap> m_versionShares;
  std::map<DaemonName, PeerReport> m_peerSpare;
  std::size_t m_nextSparePeer = 0; ///< Peer that the next remainder starts at.
  std::optional<TimePoint> m_lastEarlyReport;
  RateMeter m_rate;
  /// Service key of the latest dispatch, for a workspace that becomes
  /// backlogged when no other is.
  double m_virtualTime = 0.0;
  double m_secondsPerToken = 0.0;
  double m_queuedCost = 0.0;
  std::size_t m_queuedCount = 0;
  WorkId m_lastWork = 0;
  OfferId m_lastOffer = 0;
};

} // namespace nutmegdrift::policy

#endif
