// Fair queueing, placement by predicted first token, and early refusal.
#include "nutmegdrift/routing/model_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace nutmegdrift::routing {

namespace {

/// Items of one workspace that are tried before the next workspace's turn.
constexpr std::size_t ItemsTried = 8;
/// A refused request counts as returning for this long after its time.
constexpr Duration ReturnWindow = std::chrono::seconds(2);
/// Refused requests remembered; older ones are dropped first.
constexpr std::size_t MaxReturns = 4096;
/// Part of the prompts' overdue time that is added to a replica's cost, so that
/// a replica that has gone silent loses its requests to others.
constexpr double OverdueWeight = 1.0;
/// Part of a prefix that nobody is known to have and that counts as known at
/// its home by rendezvous hashing. Dispatchers that don't know what earlier
/// ones placed, and daemons that place alone, so choose the same engine.
constexpr double HomeTrust = 0.5;
/// Engines that hold a request's prefix and are looked at for it.
constexpr std::size_t MostHolders = 3;
/// Time to open a transfer between two engines.
constexpr Duration FetchSetup = std::chrono::milliseconds(2);
/// Least busy engines that are looked at for one request.
constexpr std::size_t FreeCandidates = 8;
/// The ranking of engines is made anew after this time.
constexpr Duration RankingAge = std::chrono::milliseconds(5);
/// Reading again counts this much for a workspace that is behind the others.
constexpr double BehindRereadWeight = 0.2;
/// Weight of the newest look in the moving share of busy engines.
constexpr double LoadSmoothing = 0.05;
/// Engine time is never free.
constexpr double LeastLoad = 0.2;
/// A large prompt that can't be read within the target gets this much beyond
/// its own reading time.
constexpr Duration LargePromptSlack = std::chrono::milliseconds(250);

/// What a request is worth grows with its size; an output token counts more
/// than a prompt token.
double sizeOf(const ModelRequest &Request) {
  return Request.PromptTokens + 10.0 * Request.OutputTokens;
}

double costInTokens(const ModelRequest &Request) {
  // An output token takes about as much engine time as two prompt tokens.
  return static_cast<double>(Request.PromptTokens) +
         2.0 * static_cast<double>(Request.OutputTokens);
}

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

double inMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// Time until a slot is free for one more request, after those that wait.
Duration slotWait(const EngineEstimate &Estimate, std::size_t Waiting,
                  double Share) {
  const double Slots = std::max(1.0, Estimate.traits().Slots * Share);
  const double Over =
      static_cast<double>(Estimate.requests() + Waiting + 1) - Slots;
  return Over <= 0 ? Duration{0}
                   : scaled(Estimate.meanResidenceTime(), Over / Slots);
}

std::uint64_t ownPart(const ModelRequest &Request) {
  return Request.Prompt.empty() ? 0 : Request.Prompt.back().Id;
}

} // namespace

ModelDispatcher::ModelDispatcher(DispatcherOptions Options, std::uint64_t Seed)
    : m_options(Options), m_random(Seed) {}

void ModelDispatcher::setReplicas(const std::vector<Replica *> &Usable,
                                  const Service &Traits) {
  m_coldPerSecond = Traits.ColdPerSecond;
  m_fetchPerThousand =
      Traits.Engine ? Traits.Engine->FetchPerThousand : Duration{0};
  for (auto &[Id, Each] : m_engines)
    Each.Usable = false;
  const auto Canaries = static_cast<std::size_t>(
      std::count_if(Usable.begin(), Usable.end(),
                    [](const Replica *Each) { return Each->Canary; }));
  if (m_canaries == 0)
    m_placedSinceCanaries = m_placedOnCanaries = 0;
  m_canaries = Canaries;
  double Rate = EngineEstimate::InitialRate;
  if (!m_engines.empty())
    Rate = m_engines.begin()->second.Estimate.tokensPerMs();
  for (const Replica *Each : Usable) {
    const EngineTraits Engine = Traits.Engine.value_or(
        EngineTraits{.Slots = Each->Record.Slots, .KvTokens = 0});
    auto Found = m_engines.find(Each->Record.Id);
    if (Found != m_engines.end() &&
        Found->second.StartMillis != Each->Record.StartMillis) {
      dropReferences(Found->second);
      m_engines.erase(Found);
      Found = m_engines.end();
    }
    if (Found == m_engines.end())
      Found = m_engines
                  .emplace(Each->Record.Id,
                           ModelDispatcher::Engine{
                               .Id = Each->Record.Id,
                               .Estimate = EngineEstimate(Engine, Rate),
                               .IdHash = hashText(Each->Record.Id),
                               .StartMillis = Each->Record.StartMillis})
                  .first;
    Found->second.Usable = true;
    Found->second.Canary = Each->Canary;
    Found->second.ColdUntil = Each->ColdUntil;
  }
  std::erase_if(m_engines, [this](const auto &Each) {
    const bool Gone =
        !Each.second.Usable && Each.second.Estimate.requests() == 0;
    if (Gone)
      dropReferences(Each.second);
    return Gone;
  });
  m_rankedAt = TimePoint{};
}

const EngineEstimate *ModelDispatcher::engine(const ReplicaId &Id) const {
  const auto Found = m_engines.find(Id);
  return Found == m_engines.end() ? nullptr : &Found->second.Estimate;
}

bool ModelDispatcher::canaryIsNext() const {
  return m_canaries > 0 &&
         static_cast<double>(m_placedOnCanaries + 1) <=
             CanaryShare * static_cast<double>(m_placedSinceCanaries + 1);
}

bool ModelDispatcher::accepts(Engine &Each, const QueuedRequest &Wanted,
                              TimePoint Now) const {
  const EngineEstimate &Estimate = Each.Estimate;
  if (Each.Health.onProbation(Now) && Estimate.requests() > 0)
    return false;
  const double Slots = std::max(1.0, Estimate.traits().Slots * m_options.Share);
  if (static_cast<double>(Estimate.requests()) >= Slots)
    return false;
  const double Memory = static_cast<double>(Estimate.traits().KvTokens) *
                        m_options.MemoryShare * m_options.Share;
  const double Needed =
      static_cast<double>(Estimate.heldTokens() + Wanted.Request.PromptTokens +
                          Wanted.Request.OutputTokens);
  if (Memory > 0 && Needed > Memory && Estimate.requests() > 0)
    return false;
  if (Now < Each.ColdUntil && m_coldPerSecond > 0) {
    Each.Cold.refill(m_coldPerSecond * m_options.ColdShare, Now);
    if (!Each.Cold.available())
      return false;
  }
  if (Estimate.readingAllowanceSpent())
    return false;
  return Estimate.waiting() == 0 ||
         Estimate.backlog(Now) <
             scaled(m_options.TargetBacklog, m_options.Share);
}

void ModelDispatcher::updateLoad(TimePoint Now) {
  std::size_t Busy = 0;
  std::size_t Count = 0;
  for (auto &[Id, Each] : m_engines) {
    Each.Estimate.refillReading(m_options.ReadingDuty * m_options.Share, Now);
    if (!Each.Usable || Each.Health.ejected(Now))
      continue;
    ++Count;
    Busy += Each.Estimate.waiting() > 0 || Each.Estimate.readingAllowanceSpent()
                ? 1
                : 0;
  }
  const double Load =
      Count == 0 ? 1.0 : static_cast<double>(Busy) / static_cast<double>(Count);
  m_load += LoadSmoothing * (Load - m_load);
}

ModelDispatcher::EngineChoice
ModelDispatcher::estimateCost(const QueuedRequest &Wanted, Engine &At,
                              std::uint32_t Known, std::uint32_t Elsewhere,
                              double RereadWeight, TimePoint Now) const {
  const ModelRequest &Request = Wanted.Request;
  const EngineEstimate &Estimate = At.Estimate;
  const std::uint32_t Shared =
      std::min(Wanted.Prefix.tokens(), Request.PromptTokens);
  Known = std::min(Known, Shared);
  const std::uint32_t Fetched =
      std::min(Elsewhere - std::min(Known, Elsewhere), Shared - Known);
  const Duration Own =
      Estimate.timeToRead(Request.PromptTokens - Known - Fetched) +
      (Fetched > 0 ? FetchSetup + scaled(m_fetchPerThousand, Fetched / 1000.0)
                   : Duration{0});
  const Duration Waiting =
      scaled(Estimate.backlog(Now), 1.0 / m_options.Share) + At.Reserved +
      slotWait(Estimate, At.ReservedSlots, m_options.Share) +
      scaled(Estimate.overdue(Now), OverdueWeight);
  const Duration FirstToken = Waiting + Own + Estimate.overhead();
  const Duration Left =
      scaled(Request.FirstTokenTarget, m_options.TargetShare) -
      (Now - Request.Arrived);
  Duration Cost = scaled(Waiting, m_options.WaitWeight) +
                  scaled(Own, std::max(m_load, LeastLoad)) +
                  scaled(m_options.RereadCost,
                         RereadWeight * (Shared - Known - Fetched) / 1000.0) +
                  scaled(m_options.FetchCost, Fetched / 1000.0) +
                  std::chrono::microseconds(200) * Estimate.requests();
  if (FirstToken > Left)
    Cost += scaled(m_options.MissedTargetCost, sizeOf(Request) / 1000.0);
  return {.Where = &At,
          .Cost = Cost,
          .FirstToken = FirstToken,
          .Reading = Own,
          .Fetched = Fetched};
}

const ModelDispatcher::Engine *
ModelDispatcher::fetchSource(const QueuedRequest &Wanted) const {
  if (m_fetchPerThousand == Duration{0})
    return nullptr;
  const Engine *Source = nullptr;
  std::uint32_t Most = 0;
  for (const Engine *Each : m_candidates) {
    const std::uint32_t Read = Each->Estimate.readTokens(Wanted.Prefix);
    if (Read > Most) {
      Source = Each;
      Most = Read;
    }
  }
  return Source;
}

ModelDispatcher::Engine *
ModelDispatcher::preferredEngine(const SharedPrefix &Prefix) {
  if (Prefix.levels().empty())
    return nullptr;
  const std::uint64_t Chain = Prefix.levels().back().Chain;
  Engine *Home = nullptr;
  std::uint64_t Best = 0;
  for (auto &[Id, Each] : m_engines) {
    if (!Each.Usable || Each.Canary)
      continue;
    // A multiplicative mix of two hashes is enough to rank the engines.
    std::uint64_t Rank = (Each.IdHash ^ Chain) * 0x9E3779B97F4A7C15ULL;
    Rank ^= Rank >> 32U;
    if (!Home || Rank > Best) {
      Home = &Each;
      Best = Rank;
    }
  }
  return Home;
}

void ModelDispatcher::decay(WorkspaceQueue &Of, TimePoint Now) const {
  const double Elapsed =
      std::chrono::duration<double>(Now - Of.DecayedAt).count();
  const double Time =
      std::chrono::duration<double>(m_options.FairnessWindow).count();
  const double Factor =
      Of.DecayedAt == TimePoint{} ? 0.0 : std::exp(-Elapsed / Time);
  Of.Requested *= Factor;
  Of.Served *= Factor;
  Of.DecayedAt = Now;
}

bool ModelDispatcher::isUnderserved(const WorkspaceQueue &Of) const {
  return Of.Served < m_options.FairShare * std::min(Of.Requested, m_maxServed);
}

void ModelDispatcher::rankEngines(TimePoint Now) {
  m_rankedAt = Now;
  m_rankedEngines.clear();
  for (auto &[Id, Each] : m_engines) {
    if (!Each.Usable)
      continue;
    const EngineEstimate &Estimate = Each.Estimate;
    m_rankedEngines.emplace_back(
        Estimate.backlog(Now) + Estimate.overdue(Now) +
            slotWait(Estimate, Each.ReservedSlots, m_options.Share) +
            std::chrono::microseconds(200) * Estimate.requests(),
        &Each);
  }
  std::sort(m_rankedEngines.begin(), m_rankedEngines.end(),
            [](const auto &A, const auto &B) {
              return std::tie(A.first, A.second->Id) <
                     std::tie(B.first, B.second->Id);
            });
}

void ModelDispatcher::collectCandidates(const QueuedRequest &Wanted) {
  m_candidates.clear();
  auto Add = [this](Engine *Each) {
    if (Each->Usable && std::find(m_candidates.begin(), m_candidates.end(),
                                  Each) == m_candidates.end())
      m_candidates.push_back(Each);
  };
  if (!Wanted.Prefix.levels().empty()) {
    const auto Holders =
        m_prefixHolders.find(Wanted.Prefix.levels().back().Chain);
    if (Holders != m_prefixHolders.end()) {
      std::erase_if(Holders->second, [&](const Engine *Each) {
        return Each->Estimate.cachedTokens(Wanted.Prefix) <
               Wanted.Prefix.tokens();
      });
      // The latest holders are the likeliest to hold it still.
      const std::size_t Count = Holders->second.size();
      for (std::size_t I = Count - std::min(Count, MostHolders); I < Count; ++I)
        Add(Holders->second[I]);
      if (Holders->second.empty())
        m_prefixHolders.erase(Holders);
    }
  }
  // Engines that were filled since the ranking are passed over.
  std::size_t Free = 0;
  for (std::size_t I = 0; I < m_rankedEngines.size() && Free < FreeCandidates;
       ++I) {
    Engine *Each = m_rankedEngines[I].second;
    Add(Each);
    if (Each->Reserved == Duration{0})
      ++Free;
  }
}

ModelDispatcher::EngineChoice
ModelDispatcher::choose(const QueuedRequest &Wanted, const WorkspaceQueue &Of,
                        TimePoint Now) {
  const double RereadWeight = isUnderserved(Of) ? BehindRereadWeight : 1.0;
  collectCandidates(Wanted);
  std::uint32_t Anywhere = 0;
  for (const Engine *Each : m_candidates)
    Anywhere = std::max(Anywhere, Each->Estimate.cachedTokens(Wanted.Prefix));
  Engine *Home = Anywhere < Wanted.Prefix.tokens()
                     ? preferredEngine(Wanted.Prefix)
                     : nullptr;
  if (Home && std::find(m_candidates.begin(), m_candidates.end(), Home) ==
                  m_candidates.end())
    m_candidates.push_back(Home);
  ++m_totals.Choices;
  m_totals.EnginesCompared += m_candidates.size();
  const Engine *Source = fetchSource(Wanted);
  const std::uint32_t Elsewhere =
      Source ? Source->Estimate.readTokens(Wanted.Prefix) : 0;
  EngineChoice Best;
  bool BestOut = true;
  const bool CanaryTurn = canaryIsNext() && !Wanted.Request.Repeated;
  for (Engine *Each : m_candidates) {
    if (Wanted.Request.Tried.contains(Each->Id))
      continue;
    if (Each->Canary && (!CanaryTurn || !accepts(*Each, Wanted, Now)))
      continue;
    const bool Out = Each->Health.ejected(Now);
    if (Out && !BestOut)
      continue;
    std::uint32_t Known = Each->Estimate.cachedTokens(Wanted.Prefix);
    if (Each == Home)
      Known += static_cast<std::uint32_t>(HomeTrust *
                                          (Wanted.Prefix.tokens() - Known));
    EngineChoice Here =
        estimateCost(Wanted, *Each, Known, Each == Source ? 0 : Elsewhere,
                     RereadWeight, Now);
    Here.FetchFrom = Here.Fetched > 0 ? Source : nullptr;
    const bool Before = Best.Where && Best.Where->Canary != Each->Canary
                            ? Each->Canary
                            : Here.Cost < Best.Cost;
    if (Best.Where && Out == BestOut && !Before)
      continue;
    BestOut = Out;
    Best = Here;
  }
  if (Best.Where)
    Best.Now = accepts(*Best.Where, Wanted, Now);
  return Best;
}

void ModelDispatcher::dropReferences(const Engine &Gone) {
  for (auto &[Chain, Holders] : m_prefixHolders)
    std::erase(Holders, &Gone);
  std::erase_if(m_rankedEngines,
                [&](const auto &Each) { return Each.second == &Gone; });
}

std::string ModelDispatcher::describeEngines() const {
  constexpr std::size_t Described = 4;
  std::string Out;
  std::size_t Count = 0;
  for (const auto &[Id, Each] : m_engines) {
    if (!Each.Usable)
      continue;
    if (Count++ == Described)
      break;
    const EngineEstimate &Estimate = Each.Estimate;
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

double ModelDispatcher::tokensPerMs(TimePoint Now) const {
  double Sum = 0.0;
  for (const auto &[Id, Each] : m_engines)
    if (Each.Usable && !Each.Health.ejected(Now))
      Sum += Each.Estimate.tokensPerMs();
  return std::max(Sum * m_options.Share * m_options.ReadingDuty,
                  EngineEstimate::MinRate);
}

Duration ModelDispatcher::expectedWait(const WorkspaceQueue &Of, double Tokens,
                                       TimePoint Now) const {
  // With equal service, each other workspace gets at most as much before this
  // request as its own workspace does.
  const double Own = Of.Tokens + Tokens;
  double Ahead = Of.Tokens;
  std::size_t RequestsAhead = Of.Items.size();
  for (const auto &[Name, Each] : m_queues) {
    if (&Each == &Of)
      continue;
    Ahead += std::min(Each.Tokens, Own);
    RequestsAhead += std::min(Each.Items.size(), Of.Items.size() + 1);
  }
  const double Reading = Ahead / tokensPerMs(Now);
  const double Slots = static_cast<double>(RequestsAhead) / requestsPerMs(Now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::max(Reading, Slots)));
}

double ModelDispatcher::requestsPerMs(TimePoint Now) const {
  double Sum = 0.0;
  for (const auto &[Id, Each] : m_engines)
    if (Each.Usable && !Each.Health.ejected(Now))
      Sum += Each.Estimate.traits().Slots /
             std::max(1.0, inMs(Each.Estimate.meanResidenceTime()));
  return std::max(Sum * m_options.Share, 0.001);
}

Duration ModelDispatcher::queueWaitLimit(const QueuedRequest &Waiting,
                                         const WorkspaceQueue &Of,
                                         Duration Reading) const {
  const ModelRequest &Request = Waiting.Request;
  if (Request.Repeated)
    return Request.FirstTokenDeadline - Request.Arrived;
  const Duration Target =
      std::max(Request.FirstTokenTarget, Reading + LargePromptSlack);
  Duration Late = Waiting.Returned ? m_options.MissedTargetWait * 2
                                   : m_options.MissedTargetWait;
  if (isUnderserved(Of))
    Late += m_options.UnderservedWait;
  return std::min<Duration>(Target + Late,
                            Request.FirstTokenDeadline - Request.Arrived);
}

std::optional<ModelDecision> ModelDispatcher::offer(ModelRequest Request,
                                                    TimePoint Now) {
  QueuedRequest Offered{.Request = std::move(Request)};
  Offered.Prefix = SharedPrefix(Offered.Request.Prompt);
  Offered.Returned = Offered.Request.Repeated;
  const auto Told = m_expectedReturns.find(ownPart(Offered.Request));
  if (Told != m_expectedReturns.end()) {
    Offered.Returned = Offered.Returned || Now < Told->second;
    m_expectedReturns.erase(Told);
  }
  WorkspaceQueue &Own = m_queues[Offered.Request.Workspace];
  if (Now - m_rankedAt >= RankingAge)
    rankEngines(Now);
  decay(Own, Now);
  Own.Requested += costInTokens(Offered.Request);
  const EngineChoice Best = choose(Offered, Own, Now);
  const double Tokens =
      Best.Where
          ? std::chrono::duration<double, std::milli>(Best.Reading).count() *
                Best.Where->Estimate.tokensPerMs()
          : Offered.Request.PromptTokens;
  Offered.ReadingTokens = Tokens;
  const Duration Wait = expectedWait(Own, Tokens, Now);
  const bool Hopeless =
      !Best.Where || (Now - Offered.Request.Arrived) + Wait + Best.FirstToken >
                         queueWaitLimit(Offered, Own, Best.Reading);
  if (Hopeless)
    return refuse(Offered, Wait + Best.FirstToken, Now);
  Own.Tokens += Tokens;
  Own.Items.push_back(std::move(Offered));
  ++m_queued;
  return std::nullopt;
}

ModelDecision ModelDispatcher::refuse(const QueuedRequest &Refused,
                                      Duration Wait, TimePoint Now) {
  // Spread over twice the expected wait, so that callers don't return together.
  const double Spread = 0.75 + 0.75 * uniform(m_random);
  const auto Back =
      std::clamp(std::chrono::duration_cast<Milliseconds>(scaled(Wait, Spread)),
                 m_options.MinRetryAfter, m_options.MaxRetryAfter);
  ++m_totals.Refused;
  if (const std::uint64_t Part = ownPart(Refused.Request)) {
    pruneExpectedReturns(Now);
    m_expectedReturns[Part] = Now + Back + ReturnWindow;
  }
  return {.Key = Refused.Request.Key,
          .RetryAfter = Back,
          .Waited = Now - Refused.Request.Arrived,
          .PredictedFirstToken = Wait};
}

void ModelDispatcher::pruneExpectedReturns(TimePoint Now) {
  if (m_expectedReturns.size() < MaxReturns)
    return;
  std::erase_if(m_expectedReturns,
                [&](const auto &Each) { return Each.second <= Now; });
  if (m_expectedReturns.size() >= MaxReturns)
    m_expectedReturns.clear();
}

void ModelDispatcher::removeItem(WorkspaceQueue &From, std::size_t Index) {
  From.Tokens -= From.Items[Index].ReadingTokens;
  From.Items.erase(From.Items.begin() + static_cast<std::ptrdiff_t>(Index));
  if (From.Items.empty())
    From.Tokens = 0.0;
  --m_queued;
}

void ModelDispatcher::place(const QueuedRequest &Placed,
                            const EngineChoice &Where, TimePoint Now) {
  const std::uint32_t Known = Where.Where->Estimate.cachedTokens(Placed.Prefix);
  std::uint32_t Anywhere = Known;
  if (!Placed.Prefix.levels().empty()) {
    auto &Holders = m_prefixHolders[Placed.Prefix.levels().back().Chain];
    for (const Engine *Each : Holders)
      Anywhere = std::max(Anywhere, Each->Estimate.cachedTokens(Placed.Prefix));
    if (std::find(Holders.begin(), Holders.end(), Where.Where) == Holders.end())
      Holders.push_back(Where.Where);
  }
  ++m_totals.Placed;
  m_placedSinceCanaries += m_canaries > 0 ? 1 : 0;
  m_placedOnCanaries += Where.Where->Canary ? 1 : 0;
  m_totals.TokensCached += Known;
  m_totals.TokensFetched += Where.Fetched;
  m_totals.TokensReread += Anywhere - std::min(Known + Where.Fetched, Anywhere);
  m_totals.TokensRead +=
      Placed.Request.PromptTokens -
      std::min(Known + Where.Fetched, Placed.Request.PromptTokens);
  if (Now - Placed.Request.Arrived + Where.FirstToken >
      Placed.Request.FirstTokenTarget)
    ++m_totals.MissedTarget;
  Where.Where->Estimate.placed(Placed.Request.Key, Placed.Prefix,
                               Placed.Request.PromptTokens,
                               Placed.Request.OutputTokens, Now, Where.Fetched,
                               Placed.Request.ReportDelay);
  if (Now < Where.Where->ColdUntil && m_coldPerSecond > 0)
    Where.Where->Cold.consume();
  m_engineByRequest[Placed.Request.Key] = Where.Where->Id;
}

bool ModelDispatcher::placeOne(WorkspaceQueue &From, bool Late, TimePoint Now,
                               std::vector<ModelDecision> &Out) {
  struct Candidate {
    std::size_t Index;
    bool Fresh; ///< Not returned after a refusal.
    TimePoint Due;
  };
  std::vector<Candidate> Candidates;
  for (std::size_t I = 0; I < From.Items.size(); ++I) {
    const ModelRequest &Request = From.Items[I].Request;
    Candidates.push_back({.Index = I,
                          .Fresh = !From.Items[I].Returned,
                          .Due = Request.Arrived + Request.FirstTokenTarget});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &A, const Candidate &B) {
              return std::tie(A.Fresh, A.Due) < std::tie(B.Fresh, B.Due);
            });
  std::size_t Tried = 0;
  for (const Candidate &Each : Candidates) {
    QueuedRequest &Wanted = From.Items[Each.Index];
    if (Wanted.DeferredInPump == m_pumps)
      continue;
    const EngineChoice Best = choose(Wanted, From, Now);
    if (!Best.Where)
      continue;
    const bool CanMeet = Wanted.Returned || Now + Best.FirstToken <= Each.Due;
    if (CanMeet == Late)
      continue;
    if (!Best.Now) {
      Wanted.DeferredInPump = m_pumps;
      Wanted.LastPredictedFirstToken = Best.FirstToken;
      Wanted.LastPredictedReading = Best.Reading;
      Best.Where->Reserved += Best.Reading;
      ++Best.Where->ReservedSlots;
      if (++Tried >= ItemsTried)
        return false;
      continue;
    }
    Out.push_back(
        {.Key = Wanted.Request.Key,
         .Destination = Best.Where->Id,
         .FetchFrom = Best.FetchFrom ? Best.FetchFrom->Id : ReplicaId(),
         .Waited = Now - Wanted.Request.Arrived,
         .PredictedFirstToken = Best.FirstToken});
    place(Wanted, Best, Now);
    From.Served += costInTokens(Wanted.Request);
    removeItem(From, Each.Index);
    return true;
  }
  return false;
}

void ModelDispatcher::refuseUnreachable(TimePoint Now,
                                        std::vector<ModelDecision> &Out) {
  for (auto &[Name, Each] : m_queues)
    for (std::size_t I = 0; I < Each.Items.size();) {
      QueuedRequest &Waiting = Each.Items[I];
      const Duration Waited = Now - Waiting.Request.Arrived;
      // Judged by the last look first, because most requests can wait on.
      if (Waited + Waiting.LastPredictedFirstToken <=
          queueWaitLimit(Waiting, Each, Waiting.LastPredictedReading)) {
        ++I;
        continue;
      }
      const EngineChoice Best = choose(Waiting, Each, Now);
      Waiting.LastPredictedFirstToken = Best.FirstToken;
      Waiting.LastPredictedReading = Best.Reading;
      if (Best.Where && Waited + Best.FirstToken <=
                            queueWaitLimit(Waiting, Each, Best.Reading)) {
        ++I;
        continue;
      }
      Out.push_back(refuse(Waiting, Best.FirstToken, Now));
      removeItem(Each, I);
    }
}

std::vector<ModelDecision> ModelDispatcher::pump(TimePoint Now) {
  std::vector<ModelDecision> Out;
  updateLoad(Now);
  ++m_pumps;
  for (auto &[Id, Each] : m_engines) {
    Each.Reserved = Duration{0};
    Each.ReservedSlots = 0;
  }
  rankEngines(Now);
  m_maxServed = 0.0;
  for (auto &[Name, Each] : m_queues) {
    decay(Each, Now);
    m_maxServed = std::max(m_maxServed, Each.Served);
  }
  if (m_queued == 0)
    return Out;
  // Requests that can still meet their target first; late ones use what is
  // left.
  for (const bool Late : {false, true}) {
    std::set<const WorkspaceQueue *> Stuck;
    while (m_queued > 0) {
      WorkspaceQueue *Least = nullptr;
      for (auto &[Name, Each] : m_queues)
        if (!Each.Items.empty() && !Stuck.contains(&Each) &&
            (!Least || Each.Served < Least->Served))
          Least = &Each;
      if (!Least)
        break;
      if (!placeOne(*Least, Late, Now, Out))
        Stuck.insert(Least);
    }
  }
  refuseUnreachable(Now, Out);
  return Out;
}

bool ModelDispatcher::withdraw(RequestKey Key) {
  for (auto &[Name, Each] : m_queues)
    for (std::size_t I = 0; I < Each.Items.size(); ++I)
      if (Each.Items[I].Request.Key == Key) {
        removeItem(Each, I);
        return true;
      }
  return false;
}

void ModelDispatcher::recordPlacement(const ModelRequest &Request,
                                      const ReplicaId &Where, TimePoint Now) {
  const auto Found = m_engines.find(Where);
  if (Found == m_engines.end() || m_engineByRequest.contains(Request.Key))
    return;
  const SharedPrefix Prefix(Request.Prompt);
  if (!Prefix.levels().empty()) {
    auto &Holders = m_prefixHolders[Prefix.levels().back().Chain];
    if (std::find(Holders.begin(), Holders.end(), &Found->second) ==
        Holders.end())
      Holders.push_back(&Found->second);
  }
  Found->second.Estimate.placed(Request.Key, Prefix, Request.PromptTokens,
                                Request.OutputTokens, Now, 0,
                                Request.ReportDelay);
  m_engineByRequest[Request.Key] = Where;
}

void ModelDispatcher::started(RequestKey Key, TimePoint Now,
                              std::optional<Duration> AtEngine) {
  const auto Placed = m_engineByRequest.find(Key);
  if (Placed == m_engineByRequest.end())
    return;
  const auto Found = m_engines.find(Placed->second);
  if (Found != m_engines.end())
    Found->second.Estimate.started(Key, Now, AtEngine);
}

void ModelDispatcher::ended(RequestKey Key, ReplicaOutcome Outcome,
                            TimePoint Now) {
  const auto Placed = m_engineByRequest.find(Key);
  if (Placed == m_engineByRequest.end())
    return;
  const auto Found = m_engines.find(Placed->second);
  m_engineByRequest.erase(Placed);
  if (Found == m_engines.end())
    return;
  Engine &Where = Found->second;
  Where.Estimate.ended(Key, Now);
  double Sum = 0.0;
  std::size_t Others = 0;
  for (const auto &[Id, Each] : m_engines)
    if (&Each != &Where && Each.Usable) {
      Sum += Each.Health.failureShare();
      ++Others;
    }
  Where.Health.recordOutcome(
      Outcome, Others == 0 ? 1.0 : Sum / static_cast<double>(Others), Now);
  if (!Where.Usable && Where.Estimate.requests() == 0) {
    dropReferences(Where);
    m_engines.erase(Found);
  }
}

} // namespace nutmegdrift::routing
