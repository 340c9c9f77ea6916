// Fair queueing, placement by estimated cost, and early refusal.
#include "nutmegdrift/routing/model_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace nutmegdrift::routing {

namespace {

/// Requests of one workspace that may be deferred before the next workspace is
/// served.
constexpr std::size_t MaxItemsTried = 8;
/// A retry counts as returned up to this long after its RetryAfter.
constexpr Duration ReturnWindow = std::chrono::seconds(2);
/// Refused requests kept in m_expectedReturns. Expired ones are dropped first.
constexpr std::size_t MaxReturns = 4096;
/// Weight of the oldest prompt's overdue time in the waiting time of an engine,
/// so that the requests of an unresponsive engine go to others.
constexpr double OverdueWeight = 1.0;
/// Share of a prefix's uncached part that counts as cached by its preferred
/// engine if no candidate is known to cache the whole prefix. Rendezvous
/// hashing selects that engine, so that new dispatchers, which don't know
/// earlier placements, and daemons without a dispatcher choose the same one.
constexpr double AssumedCachedShare = 0.5;
/// Engines that cache a request's prefix and are compared for it.
constexpr std::size_t MaxHolders = 3;
/// Time to set up a transfer between two engines.
constexpr Duration FetchSetup = std::chrono::milliseconds(2);
/// Least busy engines that are compared for one request.
constexpr std::size_t MaxFreeCandidates = 8;
/// The engines are ranked again after this time.
constexpr Duration MaxRankingAge = std::chrono::milliseconds(5);
/// Weight of DispatcherOptions::RereadCost for an underserved workspace.
constexpr double UnderservedRereadWeight = 0.2;
/// Weight of the newest sample in the moving average of the busy share.
constexpr double LoadSmoothing = 0.05;
/// Lower bound of the weight of reading time: engine time always has a cost.
constexpr double MinLoad = 0.2;
/// Lower bound of a rate that a replica named, in requests per second, for the
/// computation of waiting times.
constexpr double MinLimit = 0.01;
/// An engine whose oldest prompt is overdue by this much serves nothing.
constexpr Duration FailingOverdue = std::chrono::seconds(1);

/// Requests that will arrive later and go first, as a share of those that wait.
constexpr double LaterRequests = 0.5;

/// Size of a request for the cost of a missed target. An output token counts
/// more than a prompt token.
double sizeOf(const ModelRequest &Request) {
  return Request.PromptTokens + 10.0 * Request.OutputTokens;
}

double costInTokens(const ModelRequest &Request) {
  // An output token takes about as much engine time as two prompt tokens.
  // Requests of plain services have no tokens and are counted.
  return std::max(1.0, static_cast<double>(Request.PromptTokens) +
                           2.0 * static_cast<double>(Request.OutputTokens));
}

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

double inMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// Time until a slot is free for one more request, after Reserved others.
Duration slotWait(const EngineEstimate &Estimate, std::size_t Reserved,
                  double Share) {
  const double Slots = std::max(1.0, Estimate.traits().Slots * Share);
  const double Excess =
      static_cast<double>(Estimate.requests() + Reserved + 1) - Slots;
  return Excess <= 0 ? Duration{0}
                     : scaled(Estimate.meanResidenceTime(), Excess / Slots);
}

std::uint64_t lastPartId(const ModelRequest &Request) {
  return Request.Prompt.empty() ? 0 : Request.Prompt.back().Id;
}

/// Against the rounding of a sum of shares.
constexpr double DueRounding = 1e-6;

} // namespace

ModelDispatcher::ModelDispatcher(DispatcherOptions Options, std::uint64_t Seed,
                                 const ReplicaLimits *Limits)
    : m_options(Options), m_limits(Limits), m_random(Seed) {}

void ModelDispatcher::setReplicas(const std::vector<Replica *> &Usable,
                                  const Service &Traits) {
  m_coldPerSecond = Traits.ColdPerSecond;
  m_fetchPerThousand =
      Traits.Engine ? Traits.Engine->FetchPerThousand : Duration{0};
  for (auto &[Id, Tracked] : m_engines)
    Tracked.Usable = false;
  if (m_canaries == 0) {
    m_dueOnCanaries = 0.0;
    m_placedOnCanaries = 0;
  }
  m_canaries = 0;
  for (const Replica *Listed : Usable)
    if (Listed->CanaryShare > 0) {
      ++m_canaries;
      m_canaryShare = Listed->CanaryShare;
    }
  double Rate = EngineEstimate::InitialRate;
  if (!m_engines.empty())
    Rate = m_engines.begin()->second.Estimate.tokensPerMs();
  for (const Replica *Listed : Usable) {
    const EngineTraits ReplicaTraits = Traits.Engine.value_or(
        EngineTraits{.Slots = Listed->Record.Slots, .KvTokens = 0});
    auto Tracked = m_engines.find(Listed->Record.Id);
    if (Tracked != m_engines.end() &&
        Tracked->second.StartMillis != Listed->Record.StartMillis) {
      dropReferences(Tracked->second);
      m_engines.erase(Tracked);
      Tracked = m_engines.end();
    }
    if (Tracked == m_engines.end())
      Tracked =
          m_engines
              .emplace(Listed->Record.Id,
                       ModelDispatcher::Engine{
                           .Id = Listed->Record.Id,
                           .Estimate = EngineEstimate(ReplicaTraits, Rate),
                           .IdHash = hashText(Listed->Record.Id),
                           .StartMillis = Listed->Record.StartMillis})
              .first;
    Tracked->second.Usable = true;
    Tracked->second.Canary = Listed->CanaryShare > 0;
    Tracked->second.ColdUntil = Listed->ColdUntil;
  }
  std::erase_if(m_engines, [this](const auto &Entry) {
    const bool Removable =
        !Entry.second.Usable && Entry.second.Estimate.requests() == 0;
    if (Removable)
      dropReferences(Entry.second);
    return Removable;
  });
  m_rankedAt = TimePoint{};
}

const EngineEstimate *ModelDispatcher::engine(const ReplicaId &Id) const {
  const auto Entry = m_engines.find(Id);
  return Entry == m_engines.end() ? nullptr : &Entry->second.Estimate;
}

ReplicaId ModelDispatcher::replicaOf(RequestKey Key) const {
  const auto Entry = m_engineByRequest.find(Key);
  return Entry == m_engineByRequest.end() ? ReplicaId() : Entry->second;
}

void ModelDispatcher::updateLimits(TimePoint Now) {
  if (!m_limits)
    return;
  for (auto &[Id, Tracked] : m_engines) {
    const bool WasLimited = Tracked.PerSecond.has_value();
    Tracked.PerSecond = m_limits->find(Id, Now);
    if (!Tracked.PerSecond)
      continue;
    if (!WasLimited)
      Tracked.Limited = {};
    Tracked.Limited.refill(*Tracked.PerSecond * m_options.LimitShare, Now);
  }
}

Duration ModelDispatcher::limitWait(const Engine &Candidate,
                                    std::size_t Reserved) const {
  if (!Candidate.PerSecond)
    return Duration{0};
  const double Missing =
      1.0 + static_cast<double>(Reserved) - Candidate.Limited.value();
  if (Missing <= 0.0)
    return Duration{0};
  const double PerSecond =
      std::max(*Candidate.PerSecond * m_options.LimitShare, MinLimit);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / PerSecond));
}

bool ModelDispatcher::canaryIsNext() const {
  return m_canaries > 0 && static_cast<double>(m_placedOnCanaries + 1) <=
                               m_dueOnCanaries + m_canaryShare + DueRounding;
}

double ModelDispatcher::memoryExcess(const Engine &Candidate,
                                     const ModelRequest &Request) const {
  const EngineEstimate &Estimate = Candidate.Estimate;
  const double Memory = static_cast<double>(Estimate.traits().KvTokens) *
                        m_options.MemoryShare * m_options.Share;
  if (Memory <= 0.0 || Estimate.requests() == 0)
    return 0.0;
  const std::uint64_t Needed = Estimate.heldTokens() +
                               Candidate.ReservedTokens + Request.PromptTokens +
                               Request.OutputTokens;
  return std::max(static_cast<double>(Needed) / Memory - 1.0, 0.0);
}

bool ModelDispatcher::accepts(Engine &Candidate, const QueuedRequest &Queued,
                              TimePoint Now) const {
  const EngineEstimate &Estimate = Candidate.Estimate;
  if (Candidate.Health.onProbation(Now) && Estimate.requests() > 0)
    return false;
  const double Slots = std::max(1.0, Estimate.traits().Slots * m_options.Share);
  if (static_cast<double>(Estimate.requests()) >= Slots)
    return false;
  if (memoryExcess(Candidate, Queued.Request) > 0.0)
    return false;
  if (Now < Candidate.ColdUntil && m_coldPerSecond > 0) {
    Candidate.Cold.refill(m_coldPerSecond * m_options.ColdShare, Now);
    if (!Candidate.Cold.available())
      return false;
  }
  if (Candidate.PerSecond && !Candidate.Limited.available())
    return false;
  if (Estimate.readingAllowanceSpent())
    return false;
  return Estimate.waiting() == 0 ||
         Estimate.backlog(Now) <
             scaled(m_options.TargetBacklog, m_options.Share);
}

void ModelDispatcher::updateLoad(TimePoint Now) {
  std::size_t Busy = 0;
  std::size_t Count = 0;
  for (auto &[Id, Tracked] : m_engines) {
    Tracked.Estimate.refillReading(m_options.ReadingDuty * m_options.Share,
                                   Now);
    if (!Tracked.Usable || Tracked.Health.ejected(Now))
      continue;
    ++Count;
    Busy += Tracked.Estimate.waiting() > 0 ||
                    Tracked.Estimate.readingAllowanceSpent()
                ? 1
                : 0;
  }
  const double Load =
      Count == 0 ? 1.0 : static_cast<double>(Busy) / static_cast<double>(Count);
  m_load += LoadSmoothing * (Load - m_load);
}

ModelDispatcher::EngineChoice
ModelDispatcher::estimateCost(const QueuedRequest &Queued, Engine &Candidate,
                              std::uint32_t Cached, std::uint32_t Fetchable,
                              double RereadWeight, TimePoint Now) const {
  const ModelRequest &Request = Queued.Request;
  const EngineEstimate &Estimate = Candidate.Estimate;
  const std::uint32_t Shared =
      std::min(Queued.Prefix.tokens(), Request.PromptTokens);
  Cached = std::min(Cached, Shared);
  const std::uint32_t Fetched =
      std::min(Fetchable - std::min(Cached, Fetchable), Shared - Cached);
  const Duration Reading =
      Estimate.timeToRead(Request.PromptTokens - Cached - Fetched) +
      (Fetched > 0 ? FetchSetup + scaled(m_fetchPerThousand, Fetched / 1000.0)
                   : Duration{0});
  const Duration SlotWait =
      limitWait(Candidate, Candidate.ReservedSlots) +
      slotWait(Estimate, Candidate.ReservedSlots, m_options.Share);
  const Duration MemoryWait =
      scaled(Estimate.meanResidenceTime(),
             std::min(memoryExcess(Candidate, Request), 1.0));
  const Duration ReservedWait = Candidate.Reserved + SlotWait -
                                limitWait(Candidate, 0) -
                                slotWait(Estimate, 0, m_options.Share);
  const Duration Waiting =
      scaled(Estimate.backlog(Now), 1.0 / m_options.Share) +
      Candidate.Reserved + SlotWait + MemoryWait +
      scaled(Estimate.overdue(Now), OverdueWeight);
  const Duration FirstToken = Waiting + Reading + Estimate.overhead();
  const Duration RemainingTime =
      scaled(Request.FirstTokenTarget, m_options.TargetShare) -
      (Now - Request.Arrived);
  Duration Cost = scaled(Waiting, m_options.WaitWeight) +
                  scaled(Reading, std::max(m_load, MinLoad)) +
                  scaled(m_options.RereadCost,
                         RereadWeight * (Shared - Cached - Fetched) / 1000.0) +
                  scaled(m_options.FetchCost, Fetched / 1000.0) +
                  std::chrono::microseconds(200) * Estimate.requests();
  if (FirstToken > RemainingTime)
    Cost += scaled(m_options.MissedTargetCost, sizeOf(Request) / 1000.0);
  return {.Destination = &Candidate,
          .Cost = Cost,
          .FirstToken = FirstToken,
          .Reading = Reading,
          .ReservedWait = ReservedWait,
          .Fetched = Fetched};
}

const ModelDispatcher::Engine *
ModelDispatcher::fetchSource(const QueuedRequest &Queued) const {
  if (m_fetchPerThousand == Duration{0})
    return nullptr;
  const Engine *Source = nullptr;
  std::uint32_t MaxRead = 0;
  for (const Engine *Candidate : m_candidates) {
    const std::uint32_t Read = Candidate->Estimate.readTokens(Queued.Prefix);
    if (Read > MaxRead) {
      Source = Candidate;
      MaxRead = Read;
    }
  }
  return Source;
}

ModelDispatcher::Engine *
ModelDispatcher::preferredEngine(const SharedPrefix &Prefix) {
  if (Prefix.levels().empty())
    return nullptr;
  const std::uint64_t Chain = Prefix.levels().back().Chain;
  Engine *Preferred = nullptr;
  std::uint64_t MaxRank = 0;
  for (auto &[Id, Candidate] : m_engines) {
    if (!Candidate.Usable || Candidate.Canary)
      continue;
    // A multiplicative mix of two hashes is enough to rank the engines.
    std::uint64_t Rank = (Candidate.IdHash ^ Chain) * 0x9E3779B97F4A7C15ULL;
    Rank ^= Rank >> 32U;
    if (!Preferred || Rank > MaxRank) {
      Preferred = &Candidate;
      MaxRank = Rank;
    }
  }
  return Preferred;
}

void ModelDispatcher::updateFairShare(TimePoint Now) {
  const auto Competing = static_cast<std::size_t>(
      std::count_if(m_queues.begin(), m_queues.end(), [Now](const auto &Entry) {
        return !Entry.second.Items.empty() ||
               FairShare::isUnmet(Entry.second.Account, Now);
      }));
  m_shares.update(Competing, Now);
}

void ModelDispatcher::rankEngines(TimePoint Now) {
  m_rankedAt = Now;
  updateLimits(Now);
  m_rankedEngines.clear();
  for (auto &[Id, Candidate] : m_engines) {
    if (!Candidate.Usable)
      continue;
    const EngineEstimate &Estimate = Candidate.Estimate;
    m_rankedEngines.emplace_back(
        Estimate.backlog(Now) + Estimate.overdue(Now) +
            limitWait(Candidate, Candidate.ReservedSlots) +
            slotWait(Estimate, Candidate.ReservedSlots, m_options.Share) +
            std::chrono::microseconds(200) * Estimate.requests(),
        &Candidate);
  }
  std::sort(m_rankedEngines.begin(), m_rankedEngines.end(),
            [](const auto &A, const auto &B) {
              return std::tie(A.first, A.second->Id) <
                     std::tie(B.first, B.second->Id);
            });
}

void ModelDispatcher::collectCandidates(const QueuedRequest &Queued) {
  m_candidates.clear();
  auto Add = [&](Engine *Candidate) {
    if (Candidate->Usable && !Queued.Request.Tried.contains(Candidate->Id) &&
        std::find(m_candidates.begin(), m_candidates.end(), Candidate) ==
            m_candidates.end())
      m_candidates.push_back(Candidate);
  };
  if (!Queued.Prefix.levels().empty()) {
    const auto Holders =
        m_prefixHolders.find(Queued.Prefix.levels().back().Chain);
    if (Holders != m_prefixHolders.end()) {
      std::erase_if(Holders->second, [&](const Engine *Candidate) {
        return Candidate->Estimate.cachedTokens(Queued.Prefix) <
               Queued.Prefix.tokens();
      });
      // Recent holders are the least likely to have evicted the prefix.
      const std::size_t Count = Holders->second.size();
      for (std::size_t I = Count - std::min(Count, MaxHolders); I < Count; ++I)
        Add(Holders->second[I]);
      if (Holders->second.empty())
        m_prefixHolders.erase(Holders);
    }
  }
  // Engines that were reserved since the ranking don't count as free.
  std::size_t Free = 0;
  for (std::size_t I = 0;
       I < m_rankedEngines.size() && Free < MaxFreeCandidates; ++I) {
    Engine *Candidate = m_rankedEngines[I].second;
    Add(Candidate);
    if (Candidate->Reserved == Duration{0} &&
        !Queued.Request.Tried.contains(Candidate->Id))
      ++Free;
  }
}

ModelDispatcher::EngineChoice
ModelDispatcher::choose(const QueuedRequest &Queued,
                        const WorkspaceQueue &Queue, TimePoint Now) {
  const double RereadWeight = m_shares.isUnderserved(Queue.Account, Now)
                                  ? UnderservedRereadWeight
                                  : 1.0;
  collectCandidates(Queued);
  std::uint32_t MaxCached = 0;
  for (const Engine *Candidate : m_candidates)
    MaxCached =
        std::max(MaxCached, Candidate->Estimate.cachedTokens(Queued.Prefix));
  Engine *Preferred = MaxCached < Queued.Prefix.tokens()
                          ? preferredEngine(Queued.Prefix)
                          : nullptr;
  if (Preferred && std::find(m_candidates.begin(), m_candidates.end(),
                             Preferred) == m_candidates.end())
    m_candidates.push_back(Preferred);
  ++m_totals.Choices;
  m_totals.EnginesCompared += m_candidates.size();
  const Engine *Source = fetchSource(Queued);
  const std::uint32_t Fetchable =
      Source ? Source->Estimate.readTokens(Queued.Prefix) : 0;
  EngineChoice Best;
  bool BestEjected = true;
  const bool CanaryTurn = canaryIsNext() && !Queued.Request.Repeated;
  for (Engine *Candidate : m_candidates) {
    if (Queued.Request.Tried.contains(Candidate->Id))
      continue;
    if (Candidate->Canary && (!CanaryTurn || !accepts(*Candidate, Queued, Now)))
      continue;
    const bool Ejected = Candidate->Health.ejected(Now);
    if (Ejected && !BestEjected)
      continue;
    std::uint32_t Cached = Candidate->Estimate.cachedTokens(Queued.Prefix);
    if (Candidate == Preferred)
      Cached += static_cast<std::uint32_t>(AssumedCachedShare *
                                           (Queued.Prefix.tokens() - Cached));
    EngineChoice Choice =
        estimateCost(Queued, *Candidate, Cached,
                     Candidate == Source ? 0 : Fetchable, RereadWeight, Now);
    Choice.FetchFrom = Choice.Fetched > 0 ? Source : nullptr;
    const bool Better =
        Best.Destination && Best.Destination->Canary != Candidate->Canary
            ? Candidate->Canary
            : Choice.Cost < Best.Cost;
    if (Best.Destination && Ejected == BestEjected && !Better)
      continue;
    BestEjected = Ejected;
    Best = Choice;
  }
  if (Best.Destination)
    Best.AcceptsNow = accepts(*Best.Destination, Queued, Now);
  return Best;
}

void ModelDispatcher::dropReferences(const Engine &Removed) {
  for (auto &[Chain, Holders] : m_prefixHolders)
    std::erase(Holders, &Removed);
  std::erase_if(m_rankedEngines,
                [&](const auto &Ranked) { return Ranked.second == &Removed; });
}

std::string ModelDispatcher::describeEngines() const {
  constexpr std::size_t MaxDescribed = 4;
  std::string Out;
  std::size_t Count = 0;
  for (const auto &[Id, Tracked] : m_engines) {
    if (!Tracked.Usable)
      continue;
    if (Count++ == MaxDescribed)
      break;
    const EngineEstimate &Estimate = Tracked.Estimate;
    const auto Overhead =
        std::chrono::duration_cast<Milliseconds>(Estimate.overhead());
    Out += (Out.empty() ? "" : " ") + Id + ":" +
           std::to_string(static_cast<int>(Estimate.tokensPerMs())) + "/ms," +
           std::to_string(Overhead.count()) + "ms," +
           std::to_string(Estimate.requests()) + "," +
           std::to_string(Estimate.waiting());
  }
  return Out;
}

std::vector<WorkspaceTotals>
ModelDispatcher::workspaceTotals(std::size_t Max) const {
  std::vector<WorkspaceTotals> All;
  for (const auto &[Name, Queue] : m_queues) {
    WorkspaceTotals &Added = All.emplace_back(Queue.Totals);
    Added.Workspace = Name;
    Added.Queued = Queue.Items.size();
    Added.SurplusTokens = m_shares.surplus(Queue.Account);
  }
  const auto Kept = std::min(Max, All.size());
  std::partial_sort(All.begin(),
                    All.begin() + static_cast<std::ptrdiff_t>(Kept), All.end(),
                    [](const WorkspaceTotals &A, const WorkspaceTotals &B) {
                      return A.RequestedTokens > B.RequestedTokens;
                    });
  All.resize(Kept);
  return All;
}

DemandSummary ModelDispatcher::demand(TimePoint Now) const {
  DemandMeter::Capacity Mean;
  std::vector<ReplicaId> Failing;
  double Count = 0.0;
  double Residence = 0.0;
  for (const auto &[Id, Tracked] : m_engines) {
    if (!Tracked.Usable)
      continue;
    const EngineEstimate &Estimate = Tracked.Estimate;
    if (Tracked.Health.ejected(Now) || Estimate.overdue(Now) > FailingOverdue) {
      Failing.push_back(Id);
      continue;
    }
    ++Count;
    Mean.ReadTokensPerSecond +=
        Estimate.tokensPerMs() * 1000.0 * m_options.ReadingDuty;
    Mean.Slots += Estimate.traits().Slots;
    Mean.HeldTokens +=
        static_cast<double>(Estimate.traits().KvTokens) * m_options.MemoryShare;
    Residence += inMs(Estimate.meanResidenceTime());
  }
  if (Count > 0.0) {
    Mean.ReadTokensPerSecond /= Count;
    Mean.Slots /= Count;
    Mean.HeldTokens /= Count;
    Mean.ResidenceTime = scaled(Milliseconds(1), Residence / Count);
  }
  DemandSummary Out = m_demand.summary(Mean, m_queued, Now);
  Out.Failing = std::move(Failing);
  return Out;
}

double ModelDispatcher::tokensPerMs(TimePoint Now) const {
  double Sum = 0.0;
  for (const auto &[Id, Tracked] : m_engines)
    if (Tracked.Usable && !Tracked.Health.ejected(Now))
      Sum += Tracked.Estimate.tokensPerMs();
  return std::max(Sum * m_options.Share * m_options.ReadingDuty,
                  EngineEstimate::MinRate);
}

Duration ModelDispatcher::expectedWait(const WorkspaceQueue &Queue,
                                       const QueuedRequest &Next,
                                       TimePoint Now) const {
  struct Load {
    double Tokens;
    double Requests;
  };
  // Returned requests are placed after those that can meet their target.
  const auto LoadAhead = [&Next](const WorkspaceQueue &Waiting) -> Load {
    const auto Requests = static_cast<double>(Waiting.Items.size());
    if (Next.Returned)
      return {.Tokens = Waiting.QueuedTokens, .Requests = Requests};
    return {.Tokens = Waiting.QueuedTokens - Waiting.ReturnedTokens,
            .Requests = Requests - static_cast<double>(Waiting.ReturnedItems)};
  };
  // Another workspace is served before this request until it has got as much as
  // this one will have then.
  const double Level = m_shares.nextStart(Queue.Account) + Queue.QueuedCost +
                       costInTokens(Next.Request) +
                       (Next.Returned ? m_shares.credit() : 0.0);
  Load Ahead = LoadAhead(Queue);
  for (const auto &[Name, Other] : m_queues) {
    if (&Other == &Queue || Other.Items.empty())
      continue;
    const double Part = std::clamp((Level - m_shares.nextStart(Other.Account)) /
                                       std::max(Other.QueuedCost, 1.0),
                                   0.0, 1.0);
    const Load Waiting = LoadAhead(Other);
    Ahead.Tokens += Part * Waiting.Tokens;
    Ahead.Requests += Part * Waiting.Requests;
  }
  const double Reading = Ahead.Tokens / tokensPerMs(Now);
  const double Slots = Ahead.Requests / requestsPerMs(Now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::max(Reading, Slots)));
}

double ModelDispatcher::requestsPerMs(TimePoint Now) const {
  double Sum = 0.0;
  for (const auto &[Id, Tracked] : m_engines)
    if (Tracked.Usable && !Tracked.Health.ejected(Now)) {
      const double PerMs =
          Tracked.Estimate.traits().Slots /
          std::max(1.0, inMs(Tracked.Estimate.meanResidenceTime()));
      Sum += Tracked.PerSecond ? std::min(PerMs, *Tracked.PerSecond / 1000.0)
                               : PerMs;
    }
  return std::max(Sum * m_options.Share, 0.001);
}

Duration ModelDispatcher::queueWaitLimit(const QueuedRequest &Queued,
                                         const WorkspaceQueue &Queue,
                                         Duration Reading,
                                         TimePoint Now) const {
  const ModelRequest &Request = Queued.Request;
  if (Request.Repeated)
    return Request.FirstTokenDeadline - Request.Arrived;
  const Duration Target =
      WaitLimit::firstToken(Request.FirstTokenTarget, Reading);
  Duration MissedTargetWait = Queued.Returned ? m_options.MissedTargetWait * 2
                                              : m_options.MissedTargetWait;
  if (m_shares.isUnderserved(Queue.Account, Now))
    MissedTargetWait += m_options.UnderservedWait;
  return std::min<Duration>(Target + MissedTargetWait,
                            Request.FirstTokenDeadline - Request.Arrived);
}

std::optional<ModelDecision> ModelDispatcher::offer(ModelRequest Request,
                                                    TimePoint Now) {
  QueuedRequest Queued{.Request = std::move(Request)};
  Queued.Prefix = SharedPrefix(Queued.Request.Prompt);
  Queued.Returned = Queued.Request.Repeated;
  const auto Expected = m_expectedReturns.find(lastPartId(Queued.Request));
  if (Expected != m_expectedReturns.end()) {
    Queued.Returned = Queued.Returned || Now < Expected->second;
    m_expectedReturns.erase(Expected);
  }
  WorkspaceQueue &Queue = m_queues[Queued.Request.Workspace];
  if (Now - m_rankedAt >= MaxRankingAge)
    rankEngines(Now);
  Queue.Totals.RequestedTokens += costInTokens(Queued.Request);
  const EngineChoice Best = choose(Queued, Queue, Now);
  const double Tokens =
      Best.Destination
          ? std::chrono::duration<double, std::milli>(Best.Reading).count() *
                Best.Destination->Estimate.tokensPerMs()
          : Queued.Request.PromptTokens;
  Queued.ReadingTokens = Tokens;
  // What returns after a refusal was counted when it was offered first.
  if (!Queued.Returned || Queued.Request.Repeated)
    m_demand.offered(
        Tokens, Queued.Request.PromptTokens + Queued.Request.OutputTokens, Now);
  Queued.LastPredictedReading = Best.Reading;
  if (Best.Destination)
    m_waitLimit.observe(Queued.Request.FirstTokenTarget, Best.Reading);
  // The queued requests have reserved engine time in the last pump, too.
  const Duration Ahead = expectedWait(Queue, Queued, Now);
  const Duration Wait =
      Ahead - scaled(std::min(Ahead, Best.ReservedWait), 1.0 - LaterRequests);
  Duration Limit = queueWaitLimit(Queued, Queue, Best.Reading, Now);
  if (!Queued.Request.Repeated && FairShare::isUnmet(Queue.Account, Now))
    Limit -= m_waitLimit.surplus(Queued.Request.FirstTokenTarget, Best.Reading);
  const bool Unreachable =
      !Best.Destination ||
      (Now - Queued.Request.Arrived) + Wait + Best.FirstToken > Limit;
  if (Unreachable)
    return refuse(Queued, Wait + Best.FirstToken, Now);
  Queue.QueuedTokens += Tokens;
  Queue.QueuedCost += costInTokens(Queued.Request);
  if (Queued.Returned) {
    Queue.ReturnedTokens += Tokens;
    ++Queue.ReturnedItems;
  }
  Queue.Items.push_back(std::move(Queued));
  ++m_queued;
  return std::nullopt;
}

ModelDecision ModelDispatcher::refuse(const QueuedRequest &Refused,
                                      Duration Wait, TimePoint Now) {
  // A random 0.75 to 1.5 times the expected wait, so that callers don't retry
  // at the same time.
  const double Spread = 0.75 + 0.75 * uniform(m_random);
  const auto RetryAfter =
      std::clamp(std::chrono::duration_cast<Milliseconds>(scaled(Wait, Spread)),
                 m_options.MinRetryAfter, m_options.MaxRetryAfter);
  ++m_totals.Refused;
  if (!Refused.Returned)
    m_demand.refused(Now);
  WorkspaceQueue &Queue = m_queues[Refused.Request.Workspace];
  ++Queue.Totals.Refused;
  Queue.Account.LastUnmet = Now;
  if (const std::uint64_t Part = lastPartId(Refused.Request)) {
    pruneExpectedReturns(Now);
    m_expectedReturns[Part] = Now + RetryAfter + ReturnWindow;
  }
  return {.Key = Refused.Request.Key,
          .RetryAfter = RetryAfter,
          .Waited = Now - Refused.Request.Arrived,
          .PredictedFirstToken = Wait};
}

void ModelDispatcher::pruneExpectedReturns(TimePoint Now) {
  if (m_expectedReturns.size() < MaxReturns)
    return;
  std::erase_if(m_expectedReturns,
                [&](const auto &Entry) { return Entry.second <= Now; });
  if (m_expectedReturns.size() >= MaxReturns)
    m_expectedReturns.clear();
}

void ModelDispatcher::removeItem(WorkspaceQueue &Queue, std::size_t Index) {
  const QueuedRequest &Removed = Queue.Items[Index];
  Queue.QueuedTokens -= Removed.ReadingTokens;
  Queue.QueuedCost -= costInTokens(Removed.Request);
  if (Removed.Returned) {
    Queue.ReturnedTokens -= Removed.ReadingTokens;
    --Queue.ReturnedItems;
  }
  Queue.Items.erase(Queue.Items.begin() + static_cast<std::ptrdiff_t>(Index));
  // Rounding errors must not add up.
  if (Queue.ReturnedItems == 0)
    Queue.ReturnedTokens = 0.0;
  if (Queue.Items.empty())
    Queue.QueuedTokens = Queue.QueuedCost = 0.0;
  --m_queued;
}

void ModelDispatcher::place(const QueuedRequest &Placed,
                            const EngineChoice &Choice, TimePoint Now) {
  const std::uint32_t Cached =
      Choice.Destination->Estimate.cachedTokens(Placed.Prefix);
  std::uint32_t MaxCached = Cached;
  if (!Placed.Prefix.levels().empty()) {
    auto &Holders = m_prefixHolders[Placed.Prefix.levels().back().Chain];
    for (const Engine *Holder : Holders)
      MaxCached =
          std::max(MaxCached, Holder->Estimate.cachedTokens(Placed.Prefix));
    if (std::find(Holders.begin(), Holders.end(), Choice.Destination) ==
        Holders.end())
      Holders.push_back(Choice.Destination);
  }
  ++m_totals.Placed;
  m_dueOnCanaries += m_canaries > 0 ? m_canaryShare : 0.0;
  m_placedOnCanaries += Choice.Destination->Canary ? 1 : 0;
  m_totals.TokensCached += Cached;
  m_totals.TokensFetched += Choice.Fetched;
  m_totals.TokensReread +=
      MaxCached - std::min(Cached + Choice.Fetched, MaxCached);
  m_totals.TokensRead +=
      Placed.Request.PromptTokens -
      std::min(Cached + Choice.Fetched, Placed.Request.PromptTokens);
  if (Now - Placed.Request.Arrived + Choice.FirstToken >
      Placed.Request.FirstTokenTarget)
    ++m_totals.MissedTarget;
  Choice.Destination->Estimate.placed(
      Placed.Request.Key, Placed.Prefix, Placed.Request.PromptTokens,
      Placed.Request.OutputTokens, Now, Choice.Fetched,
      Placed.Request.ReportDelay);
  if (Now < Choice.Destination->ColdUntil && m_coldPerSecond > 0)
    Choice.Destination->Cold.consume();
  if (Choice.Destination->PerSecond)
    Choice.Destination->Limited.consume();
  m_engineByRequest[Placed.Request.Key] = Choice.Destination->Id;
  m_partCrashes.sent(Placed.Request.Key, Placed.Request.Prompt);
}

bool ModelDispatcher::placeOne(WorkspaceQueue &Queue, bool TargetMissed,
                               TimePoint Now, std::vector<ModelDecision> &Out) {
  struct QueueEntry {
    std::size_t Index;
    bool FirstAttempt; ///< Not a retry after a refusal.
    TimePoint LatestStart;
  };
  std::vector<QueueEntry> Entries;
  for (std::size_t I = 0; I < Queue.Items.size(); ++I) {
    const QueuedRequest &Queued = Queue.Items[I];
    Entries.push_back(
        {.Index = I,
         .FirstAttempt = !Queued.Returned,
         .LatestStart = Queued.Request.Arrived +
                        WaitLimit::waiting(Queued.Request.FirstTokenTarget,
                                           Queued.LastPredictedReading)});
  }
  std::sort(Entries.begin(), Entries.end(),
            [](const QueueEntry &A, const QueueEntry &B) {
              return std::tie(A.FirstAttempt, A.LatestStart) <
                     std::tie(B.FirstAttempt, B.LatestStart);
            });
  std::size_t Tried = 0;
  for (const QueueEntry &Entry : Entries) {
    QueuedRequest &Queued = Queue.Items[Entry.Index];
    if (Queued.Returned && !Queued.Request.Repeated)
      Queued.LateInPump = m_pumps;
    const bool KnownLate = Queued.LateInPump == m_pumps;
    if (Queued.DeferredInPump == m_pumps || KnownLate != TargetMissed)
      continue;
    const EngineChoice Best = choose(Queued, Queue, Now);
    if (!Best.Destination)
      continue;
    const bool MeetsTarget =
        Queued.Request.Repeated ||
        (!Queued.Returned &&
         Now + Best.FirstToken <=
             Queued.Request.Arrived + Queued.Request.FirstTokenTarget);
    if (!MeetsTarget && !TargetMissed) {
      Queued.LateInPump = m_pumps;
      continue;
    }
    if (!Best.AcceptsNow) {
      Queued.DeferredInPump = m_pumps;
      Queued.LastPredictedFirstToken = Best.FirstToken;
      Queued.LastPredictedReading = Best.Reading;
      Best.Destination->Reserved += Best.Reading;
      ++Best.Destination->ReservedSlots;
      Best.Destination->ReservedTokens +=
          Queued.Request.PromptTokens + Queued.Request.OutputTokens;
      if (++Tried >= MaxItemsTried)
        return false;
      continue;
    }
    Out.push_back(
        {.Key = Queued.Request.Key,
         .Destination = Best.Destination->Id,
         .FetchFrom = Best.FetchFrom ? Best.FetchFrom->Id : ReplicaId(),
         .Waited = Now - Queued.Request.Arrived,
         .PredictedFirstToken = Best.FirstToken});
    place(Queued, Best, Now);
    m_shares.serve(Queue.Account, costInTokens(Queued.Request));
    if (TargetMissed)
      Queue.Account.LastUnmet = Now;
    Queue.Totals.PlacedTokens += costInTokens(Queued.Request);
    ++Queue.Totals.Placed;
    removeItem(Queue, Entry.Index);
    return true;
  }
  return false;
}

void ModelDispatcher::refuseUnreachable(TimePoint Now,
                                        std::vector<ModelDecision> &Out) {
  for (auto &[Name, Queue] : m_queues)
    for (std::size_t I = 0; I < Queue.Items.size();) {
      QueuedRequest &Queued = Queue.Items[I];
      const Duration Waited = Now - Queued.Request.Arrived;
      // The last prediction is checked first, because it is cheap and most
      // requests pass.
      if (Waited + Queued.LastPredictedFirstToken <=
          queueWaitLimit(Queued, Queue, Queued.LastPredictedReading, Now)) {
        ++I;
        continue;
      }
      const EngineChoice Best = choose(Queued, Queue, Now);
      Queued.LastPredictedFirstToken = Best.FirstToken;
      Queued.LastPredictedReading = Best.Reading;
      if (Best.Destination &&
          Waited + Best.FirstToken <=
              queueWaitLimit(Queued, Queue, Best.Reading, Now)) {
        ++I;
        continue;
      }
      Out.push_back(refuse(Queued, Best.FirstToken, Now));
      removeItem(Queue, I);
    }
}

void ModelDispatcher::placeInFairOrder(TimePoint Now,
                                       std::vector<ModelDecision> &Out) {
  struct Candidate {
    WorkspaceQueue *Queue;
    bool TargetMissed;
  };
  std::vector<Candidate> Candidates;
  for (auto &[Name, Queue] : m_queues)
    if (!Queue.Items.empty())
      for (const bool TargetMissed : {false, true})
        Candidates.push_back({&Queue, TargetMissed});
  const auto StartOf = [this](const Candidate &Waiting) {
    return m_shares.nextStart(Waiting.Queue->Account) +
           (Waiting.TargetMissed ? m_shares.credit() : 0.0);
  };
  while (m_queued > 0 && !Candidates.empty()) {
    const auto First =
        std::min_element(Candidates.begin(), Candidates.end(),
                         [&](const Candidate &A, const Candidate &B) {
                           return std::pair(StartOf(A), A.TargetMissed) <
                                  std::pair(StartOf(B), B.TargetMissed);
                         });
    if (First->Queue->Items.empty() ||
        !placeOne(*First->Queue, First->TargetMissed, Now, Out))
      Candidates.erase(First);
  }
}

std::vector<ModelDecision> ModelDispatcher::pump(TimePoint Now) {
  std::vector<ModelDecision> Out;
  updateLoad(Now);
  updateFairShare(Now);
  ++m_pumps;
  for (auto &[Id, Tracked] : m_engines) {
    Tracked.Reserved = Duration{0};
    Tracked.ReservedSlots = 0;
    Tracked.ReservedTokens = 0;
  }
  rankEngines(Now);
  if (m_queued == 0)
    return Out;
  placeInFairOrder(Now, Out);
  refuseUnreachable(Now, Out);
  return Out;
}

bool ModelDispatcher::withdraw(RequestKey Key) {
  for (auto &[Name, Queue] : m_queues)
    for (std::size_t I = 0; I < Queue.Items.size(); ++I)
      if (Queue.Items[I].Request.Key == Key) {
        removeItem(Queue, I);
        return true;
      }
  return false;
}

void ModelDispatcher::takeOver(const ModelRequest &Request,
                               const ReplicaId &Destination, bool Started,
                               TimePoint Now) {
  const auto Entry = m_engines.find(Destination);
  if (Entry == m_engines.end() || m_engineByRequest.contains(Request.Key))
    return;
  const SharedPrefix Prefix(Request.Prompt);
  if (!Prefix.levels().empty()) {
    auto &Holders = m_prefixHolders[Prefix.levels().back().Chain];
    if (std::find(Holders.begin(), Holders.end(), &Entry->second) ==
        Holders.end())
      Holders.push_back(&Entry->second);
  }
  Entry->second.Estimate.takenOver(Request.Key, Prefix, Request.PromptTokens,
                                   Request.OutputTokens, Started, Now,
                                   Request.ReportDelay);
  m_engineByRequest[Request.Key] = Destination;
  m_partCrashes.sent(Request.Key, Request.Prompt);
}

void ModelDispatcher::started(RequestKey Key, TimePoint Now,
                              std::optional<Duration> AtEngine) {
  m_partCrashes.started(Key, Now);
  const auto Placed = m_engineByRequest.find(Key);
  if (Placed == m_engineByRequest.end())
    return;
  const auto Entry = m_engines.find(Placed->second);
  if (Entry != m_engines.end())
    Entry->second.Estimate.started(Key, Now, AtEngine);
}

void ModelDispatcher::ended(RequestKey Key, ReplicaOutcome Outcome,
                            TimePoint Now) {
  m_partCrashes.ended(Key);
  const auto Placed = m_engineByRequest.find(Key);
  if (Placed == m_engineByRequest.end())
    return;
  const auto Entry = m_engines.find(Placed->second);
  m_engineByRequest.erase(Placed);
  if (Entry == m_engines.end())
    return;
  Engine &Assigned = Entry->second;
  Assigned.Estimate.ended(Key, Now);
  double Sum = 0.0;
  std::size_t Others = 0;
  for (const auto &[Id, Tracked] : m_engines)
    if (&Tracked != &Assigned && Tracked.Usable) {
      Sum += Tracked.Health.failureShare();
      ++Others;
    }
  Assigned.Health.recordOutcome(
      Outcome, Others == 0 ? 1.0 : Sum / static_cast<double>(Others), Now);
  if (!Assigned.Usable && Assigned.Estimate.requests() == 0) {
    dropReferences(Assigned);
    m_engines.erase(Entry);
  }
}

} // namespace nutmegdrift::routing
