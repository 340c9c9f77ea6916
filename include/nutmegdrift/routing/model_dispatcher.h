// Queueing, placement and refusal of the requests of one model service.
#ifndef NUTMEGDRIFT_ROUTING_MODEL_DISPATCHER_H
#define NUTMEGDRIFT_ROUTING_MODEL_DISPATCHER_H

#include "nutmegdrift/base/random.h"
#include "nutmegdrift/routing/cold_allowance.h"
#include "nutmegdrift/routing/demand_meter.h"
#include "nutmegdrift/routing/engine_estimate.h"
#include "nutmegdrift/routing/fair_share.h"
#include "nutmegdrift/routing/part_crashes.h"
#include "nutmegdrift/routing/replica_limits.h"
#include "nutmegdrift/routing/replica_table.h"
#include "nutmegdrift/routing/wait_limit.h"

#include <optional>
#include <set>
#include <unordered_set>

namespace nutmegdrift::routing {

/// A request that waits for a replica.
struct ModelRequest {
  RequestKey Key = 0;
  std::string Workspace;
  std::vector<PromptPart> Prompt;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; ///< Expected.
  TimePoint Arrived{};
  Duration FirstTokenTarget{0};
  /// The caller disconnects if it has no first token by then.
  TimePoint FirstTokenDeadline{};
  std::set<ReplicaId> Tried{};
  /// Another replica failed the request. It goes first and is not refused
  /// before FirstTokenDeadline, because the caller may have received part of
  /// the answer.
  bool Repeated = false;
  /// Delay that a busy sending daemon adds to the time between the decision
  /// and the report of the first token.
  Duration ReportDelay{0};

  friend bool operator==(const ModelRequest &, const ModelRequest &) = default;
};

/// The dispatcher's decision on one request.
struct ModelDecision {
  RequestKey Key = 0;
  ReplicaId Destination{}; ///< Empty: refused.
  /// An engine to fetch shared prompt parts from, because it caches more of
  /// them; empty: none.
  ReplicaId FetchFrom{};
  /// Refusals only: time until a slot is expected to be free.
  Milliseconds RetryAfter{0};
  Duration Waited{0};
  /// Time to the first token, as predicted when the decision was made.
  Duration PredictedFirstToken{0};

  friend bool operator==(const ModelDecision &,
                         const ModelDecision &) = default;
};

/// The terms of the placement cost are engine times, so that they add up.
struct DispatcherOptions {
  /// Prompt backlog up to which an engine accepts another request. A longer
  /// one is worked off in the order of arrival, without regard to priority; a
  /// shorter one leaves the engine idle between two messages.
  Duration TargetBacklog = std::chrono::milliseconds(60);
  /// Share of the time that an engine may spend on reading prompts. The rest
  /// is for output, so that long answers end before their deadline.
  double ReadingDuty = 0.75;
  /// Cost of reading 1000 shared tokens again, beside the time it takes.
  Duration RereadCost = std::chrono::milliseconds(60);
  /// Cost of fetching 1000 shared tokens from another engine, beside the time
  /// it takes. The charge alone is an eighteenth of that for reading, but each
  /// copy evicts other parts from an engine's memory.
  Duration FetchCost = std::chrono::milliseconds(30);
  /// Cost of a first token that misses its target, per 1000 tokens of the
  /// request's size.
  Duration MissedTargetCost = std::chrono::milliseconds(20);
  /// Weight of waiting time in the cost of an engine. Waiting that makes the
  /// first token miss its target costs MissedTargetCost in addition.
  double WaitWeight = 0.3;
  /// Share of the first-token target that a prediction may use up.
  double TargetShare = 0.9;
  /// Requests that can no longer meet their first-token target may wait this
  /// much longer before they are refused.
  Duration MissedTargetWait = std::chrono::milliseconds(20);
  /// Additional wait for the requests of an underserved workspace, see
  /// FairShare. Reading shared parts again counts less for them, too.
  Duration UnderservedWait = std::chrono::milliseconds(400);
  /// Share of an engine's memory that the requests on it may use.
  double MemoryShare = 0.92;
  /// Share of the fleet's requests that this dispatcher receives. Below 1 it
  /// uses that share of slots, memory and the capacity of cold replicas.
  double Share = 1.0;
  /// Share of a cold replica's request rate that this dispatcher may use.
  double ColdShare = 1.0;
  /// Share of the rate that a replica named which this dispatcher may use.
  double LimitShare = 1.0;
  /// Bounds of ModelDecision::RetryAfter.
  Milliseconds MinRetryAfter{250};
  Milliseconds MaxRetryAfter{3000};

  friend bool operator==(const DispatcherOptions &,
                         const DispatcherOptions &) = default;
};

/// Counters of a dispatcher, for logs and tests. Tokens are prompt tokens.
struct DispatcherTotals {
  std::uint64_t Placed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t MissedTarget = 0; ///< Placed with a prediction past the target.
  std::uint64_t TokensRead = 0;
  std::uint64_t TokensCached = 0;    ///< Cached by the chosen engine.
  std::uint64_t TokensReread = 0;    ///< Cached by other engines only.
  std::uint64_t TokensFetched = 0;   ///< Copied from another engine.
  std::uint64_t Choices = 0;         ///< Selections of an engine.
  std::uint64_t EnginesCompared = 0; ///< Over all selections.

  friend bool operator==(const DispatcherTotals &,
                         const DispatcherTotals &) = default;
};

/// What one workspace requested and got from a dispatcher since its start, for
/// logs. Tokens: of the prompt, and twice those of the output.
struct WorkspaceTotals {
  std::string Workspace;
  double RequestedTokens = 0.0;
  double PlacedTokens = 0.0;
  std::uint64_t Placed = 0;
  std::uint64_t Refused = 0;
  std::size_t Queued = 0;
  /// See FairShare::surplus().
  double SurplusTokens = 0.0;

  friend bool operator==(const WorkspaceTotals &,
                         const WorkspaceTotals &) = default;
};

/// Queues, places and refuses the requests of one model service. The workspace
/// that FairShare puts first goes first; within a workspace, requests that can
/// still meet their first-token target go first, the earliest target first.
/// Those that can't are placed after the requests of other workspaces that can,
/// unless their workspace is behind by the whole credit. A request is placed on
/// the engine with the lowest estimated cost, where cached shared parts count
/// as read. Not thread-safe; does no I/O.
class ModelDispatcher {
public:
  /// Limits: rates that replicas named, null: none. It must outlive this.
  ModelDispatcher(DispatcherOptions Options, std::uint64_t Seed,
                  const ReplicaLimits *Limits = nullptr);

  void setOptions(const DispatcherOptions &Options) { m_options = Options; }
  /// Replaces the set of usable replicas.
  void setReplicas(const std::vector<Replica *> &Usable, const Service &Traits);

  /// Queues a request, or returns its refusal.
  std::optional<ModelDecision> offer(ModelRequest Request, TimePoint Now);
  /// Places the queued requests that engines accept, and refuses those whose
  /// predicted first token exceeds their wait limit.
  std::vector<ModelDecision> pump(TimePoint Now);
  /// Removes a queued request whose caller has disconnected. False if the
  /// request is not queued.
  bool withdraw(RequestKey Key);

  /// Accounts for a request that another dispatcher placed. Started: its first
  /// event was received.
  void takeOver(const ModelRequest &Request, const ReplicaId &Destination,
                bool Started, TimePoint Now);
  /// Records the first event of a request. AtEngine: time from sending the
  /// request to that event, if the sending daemon measured it.
  void started(RequestKey Key, TimePoint Now,
               std::optional<Duration> AtEngine = std::nullopt);
  void ended(RequestKey Key, ReplicaOutcome Outcome, TimePoint Now);

  /// See PartCrashes::crashed().
  void crashed(const CrashedRequest &Request, TimePoint Now) {
    m_partCrashes.crashed(Request, Now);
  }
  std::vector<PartVerdict> takeVerdicts() {
    return m_partCrashes.takeVerdicts();
  }

  [[nodiscard]] std::size_t queued() const { return m_queued; }
  [[nodiscard]] std::size_t running() const { return m_engineByRequest.size(); }
  [[nodiscard]] const DispatcherTotals &totals() const { return m_totals; }
  /// Reading rate, overhead, requests and waiting prompts of a few engines, for
  /// logs.
  [[nodiscard]] std::string describeEngines() const;
  /// The workspaces with the largest RequestedTokens first, at most Max.
  [[nodiscard]] std::vector<WorkspaceTotals>
  workspaceTotals(std::size_t Max) const;
  [[nodiscard]] double load() const { return m_load; }
  /// The demand of the last second; Service is not set.
  [[nodiscard]] DemandSummary demand(TimePoint Now) const;
  [[nodiscard]] const DemandMeter &demandMeter() const { return m_demand; }
  [[nodiscard]] const EngineEstimate *engine(const ReplicaId &Id) const;
  /// The replica of a request that has not ended; empty if it is unknown.
  [[nodiscard]] ReplicaId replicaOf(RequestKey Key) const;

private:
  struct QueuedRequest {
    ModelRequest Request;
    SharedPrefix Prefix;
    bool Returned = false;      ///< Refused before and retried in time.
    double ReadingTokens = 0.0; ///< To be read at the best engine when offered.
    /// The last pump() in which the selected engine did not accept the request
    /// yet, and the last one in which it could not meet its target.
    std::uint64_t DeferredInPump = 0;
    std::uint64_t LateInPump = 0;
    // As predicted for the engine selected last.
    Duration LastPredictedFirstToken{0};
    Duration LastPredictedReading{0};
  };
  struct WorkspaceQueue {
    std::vector<QueuedRequest> Items;
    ShareAccount Account{};
    double QueuedTokens = 0.0; ///< Sum of ReadingTokens of Items.
    double QueuedCost = 0.0;   ///< What FairShare will charge for Items.
    /// The part of QueuedTokens and Items that belongs to returned requests.
    double ReturnedTokens = 0.0;
    std::size_t ReturnedItems = 0;
    WorkspaceTotals Totals{};
  };
  struct Engine {
    ReplicaId Id;
    EngineEstimate Estimate;
    std::uint64_t IdHash = 0;
    ReplicaHealth Health{};
    TimePoint ColdUntil{};
    std::int64_t StartMillis = 0;
    ColdAllowance Cold{};
    std::optional<double> PerSecond{}; ///< See ReplicaLimits.
    ColdAllowance Limited{};           ///< Used if PerSecond is set.
    /// Reading time and number of the queued requests that wait for this engine
    /// in the current pump. Without them every request would expect a short
    /// wait here, and other engines would become idle.
    Duration Reserved{0};
    std::size_t ReservedSlots = 0;
    /// Memory for these requests. Without it, smaller requests would take the
    /// memory for which a large one waits, again and again.
    std::uint64_t ReservedTokens = 0;
    bool Usable = true;  ///< False: kept until its requests have ended.
    bool Canary = false; ///< See Replica::CanaryShare.
  };
  struct EngineChoice {
    Engine *Destination = nullptr;
    Duration Cost{0};
    Duration FirstToken{0};
    Duration Reading{0};
    /// The part of FirstToken in which queued requests go before this one.
    Duration ReservedWait{0};
    bool AcceptsNow = false; ///< The engine accepts the request now.
    const Engine *FetchFrom = nullptr;
    std::uint32_t Fetched = 0; ///< Tokens fetched from FetchFrom.
  };

  [[nodiscard]] EngineChoice choose(const QueuedRequest &Queued,
                                    const WorkspaceQueue &Queue, TimePoint Now);
  /// Cost and times on one engine; AcceptsNow and FetchFrom are not set.
  /// Cached: shared tokens that count as cached there. Fetchable: shared tokens
  /// that it may fetch from another engine.
  [[nodiscard]] EngineChoice
  estimateCost(const QueuedRequest &Queued, Engine &Candidate,
               std::uint32_t Cached, std::uint32_t Fetchable,
               double RereadWeight, TimePoint Now) const;
  /// The candidate that has read most of the prefix; null if engines can't
  /// fetch.
  [[nodiscard]] const Engine *fetchSource(const QueuedRequest &Queued) const;
  [[nodiscard]] Engine *preferredEngine(const SharedPrefix &Prefix);
  /// Fills m_candidates with engines that cache the request's prefix and with
  /// the least busy ones.
  void collectCandidates(const QueuedRequest &Queued);
  void rankEngines(TimePoint Now);
  void dropReferences(const Engine &Removed);
  void updateLoad(TimePoint Now);
  void updateLimits(TimePoint Now);
  /// Time until the rate that the replica named allows one more request, after
  /// Reserved others.
  [[nodiscard]] Duration limitWait(const Engine &Candidate,
                                   std::size_t Reserved) const;
  void updateFairShare(TimePoint Now);
  /// Whether the next request may go to a canary replica.
  [[nodiscard]] bool canaryIsNext() const;
  /// Share of the engine's memory that it lacks for the request beside those on
  /// it and those that wait for it. An idle engine lacks nothing.
  [[nodiscard]] double memoryExcess(const Engine &Candidate,
                                    const ModelRequest &Request) const;
  [[nodiscard]] bool accepts(Engine &Candidate, const QueuedRequest &Queued,
                             TimePoint Now) const;
  [[nodiscard]] double tokensPerMs(TimePoint Now) const;
  [[nodiscard]] double requestsPerMs(TimePoint Now) const;
  /// Time until the queued requests that go before this one are placed.
  [[nodiscard]] Duration expectedWait(const WorkspaceQueue &Queue,
                                      const QueuedRequest &Next,
                                      TimePoint Now) const;
  /// Time after its arrival by which the request must get its first token;
  /// otherwise it is refused.
  [[nodiscard]] Duration queueWaitLimit(const QueuedRequest &Queued,
                                        const WorkspaceQueue &Queue,
                                        Duration Reading, TimePoint Now) const;
  ModelDecision refuse(const QueuedRequest &Refused, Duration Wait,
                       TimePoint Now);
  void place(const QueuedRequest &Placed, const EngineChoice &Choice,
             TimePoint Now);
  bool placeOne(WorkspaceQueue &Queue, bool TargetMissed, TimePoint Now,
                std::vector<ModelDecision> &Out);
  void placeInFairOrder(TimePoint Now, std::vector<ModelDecision> &Out);
  void refuseUnreachable(TimePoint Now, std::vector<ModelDecision> &Out);
  void removeItem(WorkspaceQueue &Queue, std::size_t Index);
  void pruneExpectedReturns(TimePoint Now);

  DispatcherOptions m_options;
  const ReplicaLimits *m_limits;
  DispatcherTotals m_totals;
  DemandMeter m_demand;
  Random m_random;
  double m_coldPerSecond = 0.0;
  Duration m_fetchPerThousand{0}; ///< 0: engines can't fetch.
  std::map<ReplicaId, Engine> m_engines;
  /// Engines on which a prefix was placed, by its last chain. They may have
  /// evicted it since.
  std::unordered_map<std::uint64_t, std::vector<Engine *>> m_prefixHolders;
  std::vector<std::pair<Duration, Engine *>>
      m_rankedEngines; ///< Least busy first.
  TimePoint m_rankedAt{};
  std::vector<Engine *> m_candidates; ///< Filled by collectCandidates().
  std::map<std::string, WorkspaceQueue> m_queues; ///< By workspace.
  std::size_t m_queued = 0;                       ///< Items in all queues.
  std::size_t m_canaries = 0;                     ///< Usable canary engines.
  double m_canaryShare = 0.0;                     ///< See Replica.
  // Requests due for the canary engines, by the placed ones since there are
  // any, and those placed on them.
  double m_dueOnCanaries = 0.0;
  std::uint64_t m_placedOnCanaries = 0;
  std::uint64_t m_pumps = 0;
  double m_load = 0.0; ///< Share of the engines that are busy reading.
  FairShare m_shares;
  WaitLimit m_waitLimit;
  std::unordered_map<RequestKey, ReplicaId> m_engineByRequest;
  PartCrashes m_partCrashes;
  /// Refused requests by the id of their last prompt part, with the time until
  /// which a retry counts as returned.
  std::unordered_map<std::uint64_t, TimePoint> m_expectedReturns;
};

} // namespace nutmegdrift::routing

#endif
