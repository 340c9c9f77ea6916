// Admission for one target: weighted fair queues of workspaces, replica
// selection and exchange of free slots between the owners of its replicas.
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
  std::string Plan{};    ///< Identifies the route together with the target.
  double CostHint = 0.0; ///< Expected tokens; 0 if there is no hint.
  /// Hash of the prompt's start; 0 for no prefix affinity.
  std::uint64_t PrefixHash = 0;
  TimePoint Deadline = TimePoint::max();
  /// Replicas on which an earlier try failed; used only if there are no others.
  std::vector<ReplicaId> AvoidReplicas{};
  bool Relayed = false; ///< Relayed here by another owner.
};

/// A replica that this daemon owns.
struct OwnedReplicaState {
  config::Replica Record;
  double LimitFactor = 1.0;
  /// Requests of previous owners that may still run there.
  std::size_t ResidualRequests = 0;
  bool ZoneOutOfService = false;
};

/// An item that may start on a replica now. Its slot is already acquired.
struct Dispatch {
  WorkId Work = 0;
  ReplicaId Replica;

  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// A slot reserved until \p Expires for a queued request of another owner.
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

/// Free slots that an owner with an empty queue reports to another owner.
struct SpareSlots {
  std::uint32_t Free = 0; ///< Total of this owner.
  /// Share of Free that this receiver may use without an offer. No slots are
  /// reserved for it.
  std::uint32_t Credit = 0;

  friend bool operator==(const SpareSlots &, const SpareSlots &) = default;
};

/// A queued item to send to an owner that has given credit for it.
struct CreditMove {
  WorkId Work = 0;
  DaemonName Receiver;
  WorkItem Item;
};

struct SchedulerSettings {
  LimiterSettings Limits{};
  double DefaultWeight = 1.0;
  std::size_t DefaultMaxQueued = 64;
  /// Expected cost in tokens of a workspace without observed costs or hints.
  double DefaultCost = 256.0;
  /// Normalised service (tokens at weight 1) by which a workspace may be ahead
  /// of the least served backlogged one after a merge of counters.
  double MaxDebt = 100'000.0;
  /// Normalised service by which the least served local workspace has to be
  /// ahead of a remote one before a slot is offered to the latter.
  double OfferThreshold = 1'000.0;
  Duration OfferLifetime = std::chrono::milliseconds(300);
  /// Two exchange intervals: a report that no newer one follows expires.
  Duration SpareLifetime = std::chrono::milliseconds(1'000);
  /// In this interval, counters are sent early to at most MaxEarlyReceivers
  /// owners, one message each, which bounds their cost (P11).
  Duration MinEarlyReportInterval = std::chrono::milliseconds(100);
  std::size_t MaxEarlyReceivers = 3;
  /// A replica gets requests by prefix until its load passes this multiple of
  /// the mean.
  double MaxAffinityLoad = 1.25;
};

/// Not thread-safe; guard it with a mutex. After each call that may release or
/// acquire a slot, call nextOffers() and then nextDispatch().
class FairScheduler {
public:
  FairScheduler(Target ServedTarget, DaemonName Daemon, BootId Boot,
                SchedulerSettings Settings = {});

  // Configuration.
  /// Replaces the owned replicas. Replicas that stay keep their limits; one
  /// that returns to service starts with slow start.
  void setReplicas(const std::vector<OwnedReplicaState> &Replicas);
  void setWorkspace(const std::string &Workspace, double Weight,
                    std::size_t MaxQueued);
  /// Caps the share of dispatches that \p Version gets on each route; credits
  /// earned before are kept. A share of 1 or more removes the cap.
  void setVersionShare(const std::string &Version, double Share);
  /// As above, with separate shares for the plans in \p Routes; all other
  /// routes get \p Share.
  void setVersionShare(const std::string &Version, double Share,
                       std::map<std::string, double> Routes);
  /// True if the version shares let a usable replica run the plan's next
  /// request.
  [[nodiscard]] bool routeAvailable(const std::string &Plan) const;
  /// Adds dispatches on a route at other owners to the total that version
  /// shares refer to.
  void addRouteDispatches(const std::string &Plan, std::uint64_t Count);

  // Work items.
  /// Queues an item. Errors: QueueFull, DeadlinePassed, DeadlineUnreachable,
  /// each with a retry-after time.
  Expected<WorkId> enqueue(WorkItem Item, TimePoint Now);
  /// Items to start now, each with its replica.
  std::vector<Dispatch> nextDispatch(TimePoint Now);
  /// Removes and returns the queued items that can no longer end in time: the
  /// deadline less the expected run time has passed.
  std::vector<WorkId> expire(TimePoint Now);
  /// When the next queued item expires, for a timed wait.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;
  /// Charges the tokens that a running item has streamed since the last charge.
  /// The first charge marks the item's first token.
  void charge(WorkId Work, double Tokens, TimePoint Now);
  /// Ends a running item and releases its slot. If \p FinalCost (tokens) is
  /// above the sum of the charges, the difference is charged.
  void finish(WorkId Work, Outcome Result, TimePoint Now,
              double FinalCost = 0.0);
  /// Removes a queued item, or ends a running one as cancelled.
  void cancel(WorkId Work, TimePoint Now);
  /// Records the load that a replica reports, in requests.
  void reportLoad(const ReplicaId &Replica, std::size_t Running,
                  std::size_t Waiting, TimePoint Now);

  // Exchange with other owners.
  /// Local counters changed after \p Cursor, see ServiceCounters.
  CounterChanges changesSince(std::uint64_t Cursor);
  /// Merges a `Counters` message; entries of other targets are ignored.
  void merge(const std::vector<CounterEntry> &Entries);
  /// Discards the backlog and spare slots of a lost daemon, until its next
  /// message.
  void dropPeer(const DaemonName &Daemon);

  /// Offers to send to other owners now. Each reserves a free slot until it is
  /// used, declined or expired.
  std::vector<SlotOffer> nextOffers(TimePoint Now);
  /// At the owner that receives an offer: pops a queued item of \p Workspace,
  /// else one of the least served workspace; empty if nothing is queued.
  std::optional<PoppedItem> popForOffer(const std::string &Workspace,
                                        TimePoint Now);
  /// At the offering owner: accepts the item sent for an offer; the next
  /// nextDispatch() starts it. Error NoEndpoint if the offer has expired.
  Expected<WorkId> enqueueOffered(OfferId Offer, WorkItem Item, TimePoint Now);
  /// The receiver of the offer had nothing queued.
  void declineOffer(OfferId Offer);

  /// Divides the free slots that no local item needs among \p Peers other
  /// owners. The remainder rotates among them.
  [[nodiscard]] std::vector<SpareSlots> splitSpare(std::size_t Peers);
  /// Stores the latest report of another owner.
  void setPeerSpare(const DaemonName &Daemon, SpareSlots Spare, TimePoint Now);
  /// Pops queued items that have no free slot here and for which another owner
  /// has given credit. Items that were relayed here stay. Call after
  /// nextDispatch().
  std::vector<CreditMove> nextCreditMoves(TimePoint Now);
  /// Owners to send counters to now instead of at the next interval, because
  /// items wait here and they have reported free slots; once for each report.
  /// Call after nextCreditMoves().
  std::vector<DaemonName> peersToNotify(TimePoint Now);

  // State for metrics.
  [[nodiscard]] std::size_t queued() const { return m_queuedCount; }
  [[nodiscard]] std::size_t queued(const std::string &Workspace) const;
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] std::size_t freeSlots() const;
  [[nodiscard]] std::size_t limit() const;
  [[nodiscard]] std::size_t limit(const ReplicaId &Replica) const;
  /// Normalised service of a workspace as far as this owner knows.
  [[nodiscard]] double normalisedService(const std::string &Workspace) const;
  /// Expected cost of an item in tokens.
  [[nodiscard]] double expectedCost(const WorkItem &Item) const;

private:
  /// Predicts costs from the mean or from the scaled hint, whichever has had
  /// the smaller mean error.
  struct CostModel {
    double MeanCost = 0.0;
    double MeanHint = 0.0;
    double MeanError = 0.0;
    double HintError = 0.0;
    std::uint64_t Count = 0;
  };
  struct RemoteQueue {
    std::uint64_t Reported = 0; ///< From the latest message.
    /// Reported less the slots offered since. Separate, because an offer must
    /// not make the workspace count as no longer backlogged.
    std::uint64_t Offerable = 0;
  };
  struct Share {
    double Weight = 1.0;
    std::size_t MaxQueued = 0;
    /// Service charged here and merged from other owners, over the weight.
    double Service = 0.0;
    /// Expected cost of running items that is not yet charged, in tokens.
    double Reserved = 0.0;
    /// Tokens charged here in this boot.
    double LocalService = 0.0;
    std::deque<WorkId> Queue;
    double QueuedCost = 0.0;
    /// Requests queued at other owners.
    std::map<DaemonName, RemoteQueue> RemoteQueues;
    /// Has queued requests at any owner, as far as known here.
    bool Backlogged = false;
    CostModel Costs;
  };
  struct Work {
    WorkItem Item;
    double Expected = 0.0;
    TimePoint LatestStart = TimePoint::max(); ///< To meet the deadline.
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
  /// Slots of a version with a smaller share are not offered, since a request
  /// sent for the offer would wait until the version may run it.
  static constexpr double MinOfferedShare = 0.1;
  /// Credit that a version keeps while its replicas are busy; more would let it
  /// catch up in a burst above its share.
  static constexpr double MaxVersionCredit = 2.0;

  struct VersionCap {
    double DefaultShare = 1.0;
    std::map<std::string, double> RouteShares;
    /// Dispatches earned and not used, by plan. They stay when the share
    /// changes: cleared at each step of a ramp, a version would get no request
    /// at all on routes with little traffic.
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
  /// Service rate of the local queue, sampled only over periods in which the
  /// queue is never empty.
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
  /// The least served workspace with queued items here, except those in \p
  /// Skip; end() if none.
  [[nodiscard]] std::map<std::string, Share>::iterator
  leastServedQueued(const std::set<std::string> &Skip = {});

  std::optional<Error> refusal(const Share &WorkspaceShare,
                               const WorkItem &Item, TimePoint Now) const;
  [[nodiscard]] Duration expectedWait(const Share &WorkspaceShare) const;
  /// Adds a margin for the error of the estimate while other items wait.
  [[nodiscard]] Duration expectedRunTime(const Share &WorkspaceShare,
                                         const WorkItem &Item) const;
  void removeQueued(WorkId Id);
  /// As removeQueued(), also for items that wait for their offered slot.
  void removeWaiting(WorkId Id);
  void push(Share &WorkspaceShare, WorkId Id);

  void updateReplica(ReplicaSlots &Replica, const OwnedReplicaState &State);
  [[nodiscard]] ReplicaSlots *chooseReplica(const WorkItem &Item);
  [[nodiscard]] std::vector<ReplicaSlots *> candidates(const WorkItem &Item);
  [[nodiscard]] static ReplicaSlots *
  chooseByPrefix(const std::vector<ReplicaSlots *> &Candidates,
                 std::uint64_t Prefix, double MaxLoad);
  void preferCapped(std::vector<ReplicaSlots *> &Candidates) const;
  /// Credits all capped versions with their share of dispatches on a route.
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
  /// The least served workspace with a backlog at another owner; end() if none.
  [[nodiscard]] std::map<std::string, Share>::iterator leastServedRemote();
  [[nodiscard]] std::size_t uncommittedSlots() const;
  [[nodiscard]] std::size_t offerableSlots() const;
  /// Null if no peer has credit.
  [[nodiscard]] PeerReport *peerWithMostCredit(TimePoint Now, DaemonName &Name);
  /// The least served workspace whose first item may go to another owner; end()
  /// if none.
  [[nodiscard]] std::map<std::string, Share>::iterator leastServedMovable();
  /// Pops the first item of the queue for another owner.
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
  std::size_t m_nextSparePeer = 0; ///< Gets the next remainder.
  std::optional<TimePoint> m_lastEarlyReport;
  RateMeter m_rate;
  /// Highest service key at a dispatch. A workspace gets at least this key if
  /// it becomes backlogged while no other one is.
  double m_virtualTime = 0.0;
  double m_secondsPerToken = 0.0;
  double m_queuedCost = 0.0;
  std::size_t m_queuedCount = 0;
  WorkId m_lastWork = 0;
  OfferId m_lastOffer = 0;
};

} // namespace nutmegdrift::policy

#endif
