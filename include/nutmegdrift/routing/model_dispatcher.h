// Decides for one model service which request goes to which replica and when,
// and which requests are refused.
#ifndef NUTMEGDRIFT_ROUTING_MODEL_DISPATCHER_H
#define NUTMEGDRIFT_ROUTING_MODEL_DISPATCHER_H

#include "nutmegdrift/base/random.h"
#include "nutmegdrift/routing/cold_allowance.h"
#include "nutmegdrift/routing/engine_estimate.h"
#include "nutmegdrift/routing/replica_table.h"

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
  TimePoint FirstTokenDeadline{}; ///< The caller leaves without a first token
                                  ///< by then.
  std::set<ReplicaId> Tried{};
  /// Another replica failed it. It goes first and is not refused before the
  /// caller gives up, because part of its answer may be with the caller.
  bool Repeated = false;
  /// How much longer than at the engine the time from the decision to the
  /// report of the first token is, because the daemon that sends the request is
  /// busy.
  Duration ReportDelay{0};

  friend bool operator==(const ModelRequest &, const ModelRequest &) = default;
};

/// What becomes of a request.
struct ModelDecision {
  RequestKey Key = 0;
  ReplicaId Destination{}; ///< Empty: refused.
  /// An engine whose memory has more of the prompt's shared parts, to fetch
  /// them from; empty: none.
  ReplicaId FetchFrom{};
  /// Of a refusal: when a place is expected.
  Milliseconds RetryAfter{0};
  Duration Waited{0};
  /// Predicted time to the first token at the time of the decision.
  Duration PredictedFirstToken{0};

  friend bool operator==(const ModelDecision &,
                         const ModelDecision &) = default;
};

/// Weights of a choice are in engine time, so that they can be added up.
struct DispatcherOptions {
  /// Prompt work placed at a replica ahead of a request. More hides the order
  /// of requests in the engine, which knows none; less lets it run dry between
  /// two messages.
  Duration TargetBacklog = std::chrono::milliseconds(60);
  /// Part of the time that an engine may spend on reading prompts. The rest is
  /// left for output, which requests with long answers need before their
  /// deadline.
  double ReadingDuty = 0.75;
  /// What reading 1000 shared tokens again costs beside the time it takes.
  Duration RereadCost = std::chrono::milliseconds(60);
  /// What fetching 1000 shared tokens from another engine costs beside the
  /// time it takes. The charge alone is an eighteenth of that for reading, but
  /// each copy pushes other parts out of an engine's memory.
  Duration FetchCost = std::chrono::milliseconds(30);
  /// What a late first token costs for each 1000 tokens of a request's size.
  Duration MissedTargetCost = std::chrono::milliseconds(20);
  /// Weight of waiting that does not make a request late.
  double WaitWeight = 0.3;
  /// Part of the target that a prediction may use up.
  double TargetShare = 0.9;
  /// Requests that can't meet their first-token target any more may wait this
  /// much longer; the others are refused.
  Duration MissedTargetWait = std::chrono::milliseconds(20);
  /// Time over which the service of workspaces is compared.
  Duration FairnessWindow = std::chrono::seconds(3);
  /// A workspace that got less than this part of what it asked for, or of what
  /// the best served one got, may have shared parts read again and wait longer.
  double FairShare = 0.7;
  /// Longer wait of such a workspace.
  Duration UnderservedWait = std::chrono::milliseconds(400);
  /// Share of an engine's memory that requests may hold.
  double MemoryShare = 0.92;
  /// Part of the fleet's requests that this dispatcher sees. Below 1 it keeps
  /// to that part of slots, memory and what cold replicas bear.
  double Share = 1.0;
  /// Part of a cold replica's rate that this dispatcher may use.
  double ColdShare = 1.0;
  /// Least and greatest time to come back.
  Milliseconds MinRetryAfter{250};
  Milliseconds MaxRetryAfter{3000};

  friend bool operator==(const DispatcherOptions &,
                         const DispatcherOptions &) = default;
};

/// What a dispatcher has done, for logs and tests. Tokens are prompt tokens.
struct DispatcherTotals {
  std::uint64_t Placed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t MissedTarget =
      0; ///< Placed though their target could not be met.
  std::uint64_t TokensRead = 0;
  std::uint64_t TokensCached = 0;    ///< In the chosen engine's memory.
  std::uint64_t TokensReread = 0;    ///< Only in another engine's memory.
  std::uint64_t TokensFetched = 0;   ///< From another engine's memory.
  std::uint64_t Choices = 0;         ///< Times that an engine was sought.
  std::uint64_t EnginesCompared = 0; ///< Engines compared in these.

  friend bool operator==(const DispatcherTotals &,
                         const DispatcherTotals &) = default;
};

/// Queue, placement and refusal for one model service. The workspace that got
/// least in the last seconds goes first; inside a workspace requests
/// that can still meet their target go first, by the time left for it. A
/// request goes where its first token is predicted soonest, with shared parts
/// that are in an engine's memory counted as read. Not thread-safe, no I/O.
class ModelDispatcher {
public:
  ModelDispatcher(DispatcherOptions Options, std::uint64_t Seed);

  void setOptions(const DispatcherOptions &Options) { m_options = Options; }
  /// Takes over the service's usable replicas.
  void setReplicas(const std::vector<Replica *> &Usable, const Service &Traits);

  /// Queues a request, or refuses it at once.
  std::optional<ModelDecision> offer(ModelRequest Request, TimePoint Now);
  /// Places what can be placed and refuses what has become hopeless.
  std::vector<ModelDecision> pump(TimePoint Now);
  /// The caller left while the request waited. False if it does not wait.
  bool withdraw(RequestKey Key);

  /// Accounts for a request that was placed elsewhere.
  void recordPlacement(const ModelRequest &Request, const ReplicaId &Where,
                       TimePoint Now);
  /// AtEngine: from sending the request to its first event, if its daemon
  /// measured it.
  void started(RequestKey Key, TimePoint Now,
               std::optional<Duration> AtEngine = std::nullopt);
  void ended(RequestKey Key, ReplicaOutcome Outcome, TimePoint Now);

  [[nodiscard]] std::size_t queued() const { return m_queued; }
  [[nodiscard]] std::size_t running() const { return m_engineByRequest.size(); }
  [[nodiscard]] const DispatcherTotals &totals() const { return m_totals; }
  /// Rate, overhead, requests and backlog of some engines, for logs.
  [[nodiscard]] std::string describeEngines() const;
  [[nodiscard]] double load() const { return m_load; }
  [[nodiscard]] const EngineEstimate *engine(const ReplicaId &Id) const;

private:
  struct QueuedRequest {
    ModelRequest Request;
    SharedPrefix Prefix;
    bool Returned = false;      ///< Was refused before and came back in time.
    double ReadingTokens = 0.0; ///< To be read at the best engine when offered.
    /// The last pump in which the request was kept waiting for its engine, and
    /// the first token predicted there.
    std::uint64_t DeferredInPump = 0;
    Duration LastPredictedFirstToken{0};
    Duration LastPredictedReading{0};
  };
  struct WorkspaceQueue {
    std::vector<QueuedRequest> Items;
    // Tokens of the last seconds, fading out over FairnessWindow.
    double Requested = 0.0;
    double Served = 0.0;
    TimePoint DecayedAt{};
    double Tokens = 0.0; ///< Sum of ReadingTokens of Items.
  };
  struct Engine {
    ReplicaId Id;
    EngineEstimate Estimate;
    std::uint64_t IdHash = 0;
    ReplicaHealth Health{};
    TimePoint ColdUntil{};
    std::int64_t StartMillis = 0;
    ColdAllowance Cold{};
    /// Reading time and number of the requests that wait for this engine.
    /// Without them each would find waiting cheap, and other engines would run
    /// dry.
    Duration Reserved{0};
    std::size_t ReservedSlots = 0;
    bool Usable = true;  ///< Kept for its requests when false.
    bool Canary = false; ///< See Replica::Canary.
  };
  struct EngineChoice {
    Engine *Where = nullptr;
    Duration Cost{0};
    Duration FirstToken{0};
    Duration Reading{0};
    Duration SlotWait{0};
    bool Now = false; ///< The engine takes it now.
    const Engine *FetchFrom = nullptr;
    std::uint32_t Fetched = 0; ///< Tokens fetched from there.
  };

  [[nodiscard]] EngineChoice choose(const QueuedRequest &Wanted,
                                    const WorkspaceQueue &Of, TimePoint Now);
  /// Cost and times at one engine; Now is not set. Known: shared tokens that
  /// count as in its memory. Elsewhere: shared tokens that it may fetch.
  [[nodiscard]] EngineChoice estimateCost(const QueuedRequest &Wanted,
                                          Engine &At, std::uint32_t Known,
                                          std::uint32_t Elsewhere,
                                          double RereadWeight,
                                          TimePoint Now) const;
  /// The candidate with most of the prefix read, if engines can fetch.
  [[nodiscard]] const Engine *fetchSource(const QueuedRequest &Wanted) const;
  [[nodiscard]] Engine *preferredEngine(const SharedPrefix &Prefix);
  /// Engines worth a look for a request: those that hold its prefix, its home,
  /// and the least busy ones.
  void collectCandidates(const QueuedRequest &Wanted);
  void rankEngines(TimePoint Now);
  void dropReferences(const Engine &Gone);
  void updateLoad(TimePoint Now);
  void decay(WorkspaceQueue &Of, TimePoint Now) const;
  [[nodiscard]] bool isUnderserved(const WorkspaceQueue &Of) const;
  /// Whether the next request is for a canary replica.
  [[nodiscard]] bool canaryIsNext() const;
  [[nodiscard]] bool accepts(Engine &Each, const QueuedRequest &Wanted,
                             TimePoint Now) const;
  [[nodiscard]] double tokensPerMs(TimePoint Now) const;
  [[nodiscard]] double requestsPerMs(TimePoint Now) const;
  [[nodiscard]] Duration expectedWait(const WorkspaceQueue &Of, double Tokens,
                                      TimePoint Now) const;
  [[nodiscard]] Duration queueWaitLimit(const QueuedRequest &Waiting,
                                        const WorkspaceQueue &Of,
                                        Duration Reading) const;
  ModelDecision refuse(const QueuedRequest &Refused, Duration Wait,
                       TimePoint Now);
  void place(const QueuedRequest &Placed, const EngineChoice &Where,
             TimePoint Now);
  bool placeOne(WorkspaceQueue &From, bool Late, TimePoint Now,
                std::vector<ModelDecision> &Out);
  void refuseUnreachable(TimePoint Now, std::vector<ModelDecision> &Out);
  void removeItem(WorkspaceQueue &From, std::size_t Index);
  void pruneExpectedReturns(TimePoint Now);

  DispatcherOptions m_options;
  DispatcherTotals m_totals;
  Random m_random;
  double m_coldPerSecond = 0.0;
  Duration m_fetchPerThousand{0}; ///< 0: engines can't fetch.
  std::map<ReplicaId, Engine> m_engines;
  /// Engines that were given a prefix, by its last chain. Memory may have been
  /// evicted since.
  std::unordered_map<std::uint64_t, std::vector<Engine *>> m_prefixHolders;
  std::vector<std::pair<Duration, Engine *>>
      m_rankedEngines; ///< Least busy first.
  TimePoint m_rankedAt{};
  std::vector<Engine *> m_candidates;             ///< Of collectCandidates().
  std::map<std::string, WorkspaceQueue> m_queues; ///< By workspace.
  std::size_t m_queued = 0;                       ///< Items in all queues.
  std::size_t m_canaries = 0;                     ///< Usable canary engines.
  // Requests placed since there are canary engines, and those placed there.
  std::uint64_t m_placedSinceCanaries = 0;
  std::uint64_t m_placedOnCanaries = 0;
  std::uint64_t m_pumps = 0;
  double m_load = 0.0;      ///< Share of the engines that are busy reading.
  double m_maxServed = 0.0; ///< Greatest Got of a queue, as of the last pump.
  std::unordered_map<RequestKey, ReplicaId> m_engineByRequest;
  /// Refused requests by their own prompt part, and until when they count as
  /// returning.
  std::unordered_map<std::uint64_t, TimePoint> m_expectedReturns;
};

} // namespace nutmegdrift::routing

#endif
