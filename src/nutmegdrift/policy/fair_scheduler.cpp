#include "nutmegdrift/policy/fair_scheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>

namespace nutmegdrift::policy {

namespace {

constexpr double Infinite = std::numeric_limits<double>::infinity();
/// Weight of a new sample in moving means of costs, rates and errors.
constexpr double SampleWeight = 0.1;
/// Multiple of the mean error that is added to the expected cost under load.
constexpr double CostMargin = 3.0;
/// Period of one sample of the service rate.
constexpr Duration RateSamplePeriod = std::chrono::seconds(1);
/// Sums of shares such as 0.05 can end just below a whole number.
constexpr double CreditRounding = 1e-9;
/// Bounds of the retry-after time of a refusal.
constexpr std::chrono::milliseconds MinRetryAfter{100};
constexpr std::chrono::milliseconds MaxRetryAfter{60'000};
/// Longer waits are clamped to this, to keep durations in range.
constexpr double MaxWaitSeconds = 86'400.0;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxWaitSeconds)));
}

Error refuse(ErrorKind Kind, std::string Message, Duration RetryAfter) {
  const auto Rounded =
      std::chrono::duration_cast<std::chrono::milliseconds>(RetryAfter);
  return {Kind, std::move(Message),
          std::clamp(Rounded, MinRetryAfter, MaxRetryAfter)};
}

void updateMean(double &Mean, double Sample) {
  Mean += SampleWeight * (Sample - Mean);
}

} // namespace

FairScheduler::FairScheduler(Target ServedTarget, DaemonName Daemon,
                             BootId Boot, SchedulerSettings Settings)
    : m_target(std::move(ServedTarget)), m_settings(Settings),
      m_counters(std::move(Daemon), Boot) {}

// Replicas.

bool FairScheduler::ReplicaSlots::usable() const {
  return !Removed && !State.ZoneOutOfService && !State.Record.Leaving;
}

std::size_t FairScheduler::ReplicaSlots::free() const {
  return usable() ? Limit.free() : 0;
}

void FairScheduler::updateReplica(ReplicaSlots &Replica,
                                  const OwnedReplicaState &State) {
  const bool WasUsable = Replica.usable();
  Replica.State = State;
  Replica.Removed = false;
  Replica.Limit.setCapacity(State.Record.Capacity);
  Replica.Limit.setOwnership(State.LimitFactor, State.ResidualRequests);
  if (!WasUsable && Replica.usable())
    Replica.Limit.restartSlowStart();
}

void FairScheduler::setReplicas(
    const std::vector<OwnedReplicaState> &Replicas) {
  std::set<ReplicaId> Owned;
  for (const auto &State : Replicas) {
    Owned.insert(State.Record.Id);
    const auto [Entry, Added] = m_replicas.try_emplace(
        State.Record.Id,
        ReplicaSlots{
            State, Limiter(State.Record.Capacity, m_settings.Limits), {}});
    updateReplica(Entry->second, State);
  }
  for (auto &[Id, Replica] : m_replicas)
    Replica.Removed = !Owned.contains(Id);
  std::erase_if(m_replicas, [](const auto &Entry) {
    return Entry.second.Removed && Entry.second.Limit.running() == 0;
  });
}

std::size_t FairScheduler::running() const {
  return std::accumulate(m_replicas.begin(), m_replicas.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Entry) {
                           return Sum + Entry.second.Limit.running();
                         });
}

std::size_t FairScheduler::freeSlots() const {
  return std::accumulate(m_replicas.begin(), m_replicas.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Entry) {
                           return Sum + Entry.second.free();
                         });
}

std::size_t FairScheduler::limit() const {
  return std::accumulate(m_replicas.begin(), m_replicas.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Entry) {
                           return Entry.second.usable()
                                      ? Sum + Entry.second.Limit.limit()
                                      : Sum;
                         });
}

std::size_t FairScheduler::limit(const ReplicaId &Replica) const {
  const auto Entry = m_replicas.find(Replica);
  return Entry != m_replicas.end() && Entry->second.usable()
             ? Entry->second.Limit.limit()
             : 0;
}

void FairScheduler::reportLoad(const ReplicaId &Replica, std::size_t Running,
                               std::size_t Waiting, TimePoint Now) {
  if (const auto Entry = m_replicas.find(Replica); Entry != m_replicas.end())
    Entry->second.Limit.onReportedLoad(Running, Waiting, Now);
}

void FairScheduler::detectCold(TimePoint Now) {
  for (auto &[Id, Replica] : m_replicas)
    if (!Replica.AwaitingFirst.empty())
      Replica.Limit.onFirstTokenPending(Now -
                                        Replica.AwaitingFirst.begin()->first);
}

bool FairScheduler::versionAllowed(const std::string &Plan,
                                   const std::string &Version) const {
  const auto Cap = m_versionShares.find(Version);
  if (Cap == m_versionShares.end())
    return true;
  const auto Share = Cap->second.shareFor(Plan);
  const auto Credit = Cap->second.Credits.find(Plan);
  const auto Earned =
      Credit == Cap->second.Credits.end() ? 0.0 : Credit->second;
  return Share > 0.0 && Earned + Share >= 1.0 - CreditRounding;
}

void FairScheduler::earnVersionCredit(const std::string &Plan, double Count) {
  for (auto &[Version, Cap] : m_versionShares) {
    auto &Credit = Cap.Credits[Plan];
    Credit = std::min(Credit + Count * Cap.shareFor(Plan), MaxVersionCredit);
  }
}

double FairScheduler::VersionCap::shareFor(const std::string &Plan) const {
  const auto Entry = RouteShares.find(Plan);
  return Entry == RouteShares.end() ? DefaultShare : Entry->second;
}

void FairScheduler::VersionCap::setShares(
    double Default, std::map<std::string, double> ByPlan) {
  DefaultShare = Default;
  RouteShares = std::move(ByPlan);
}

double FairScheduler::VersionCap::maxShare() const {
  return std::accumulate(RouteShares.begin(), RouteShares.end(), DefaultShare,
                         [](double Max, const auto &Entry) {
                           return std::max(Max, Entry.second);
                         });
}

void FairScheduler::setVersionShare(const std::string &Version, double Share) {
  setVersionShare(Version, Share, {});
}

void FairScheduler::setVersionShare(const std::string &Version, double Share,
                                    std::map<std::string, double> Routes) {
  const bool Uncapped =
      Share >= 1.0 && std::ranges::all_of(Routes, [](const auto &Entry) {
        return Entry.second >= 1.0;
      });
  if (Uncapped)
    m_versionShares.erase(Version);
  else
    m_versionShares[Version].setShares(Share, std::move(Routes));
}

bool FairScheduler::routeAvailable(const std::string &Plan) const {
  return std::ranges::any_of(m_replicas, [&](const auto &Entry) {
    return Entry.second.usable() &&
           versionAllowed(Plan, Entry.second.State.Record.Version);
  });
}

void FairScheduler::addRouteDispatches(const std::string &Plan,
                                       std::uint64_t Count) {
  earnVersionCredit(Plan, static_cast<double>(Count));
}

std::vector<FairScheduler::ReplicaSlots *>
FairScheduler::candidates(const WorkItem &Item) {
  std::vector<ReplicaSlots *> Preferred;
  std::vector<ReplicaSlots *> Avoided;
  bool PreferredExists = false;
  for (auto &[Id, Replica] : m_replicas) {
    if (!Replica.usable() ||
        !versionAllowed(Item.Plan, Replica.State.Record.Version))
      continue;
    const bool Avoid =
        std::ranges::find(Item.AvoidReplicas, Id) != Item.AvoidReplicas.end();
    PreferredExists = PreferredExists || !Avoid;
    if (Replica.free() > 0)
      (Avoid ? Avoided : Preferred).push_back(&Replica);
  }
  return PreferredExists ? Preferred : Avoided;
}

/// Prefers capped versions that have earned a request on the route. With prefix
/// affinity alone, a route whose prompts share a prefix would never reach the
/// new version, and the verdict on it would have no samples.
void FairScheduler::preferCapped(
    std::vector<ReplicaSlots *> &Candidates) const {
  const auto Capped = [&](const ReplicaSlots *Candidate) {
    return m_versionShares.contains(Candidate->State.Record.Version);
  };
  if (std::ranges::any_of(Candidates, Capped))
    std::erase_if(Candidates, [&](const ReplicaSlots *Candidate) {
      return !Capped(Candidate);
    });
}

FairScheduler::ReplicaSlots *
FairScheduler::chooseByPrefix(const std::vector<ReplicaSlots *> &Candidates,
                              std::uint64_t Prefix, double MaxLoad) {
  ReplicaSlots *Best = nullptr;
  std::uint64_t BestRank = 0;
  for (auto *Candidate : Candidates) {
    const auto Allowed =
        std::ceil(MaxLoad * static_cast<double>(Candidate->Limit.limit()));
    if (static_cast<double>(Candidate->Limit.running()) >= Allowed)
      continue;
    const auto Rank = hashText(Candidate->State.Record.Id, Prefix);
    if (Best == nullptr || Rank > BestRank) {
      Best = Candidate;
      BestRank = Rank;
    }
  }
  return Best;
}

FairScheduler::ReplicaSlots *
FairScheduler::chooseReplica(const WorkItem &Item) {
  auto Candidates = candidates(Item);
  if (Candidates.empty())
    return nullptr;
  preferCapped(Candidates);
  if (Item.PrefixHash != 0) {
    const double MeanLoad =
        static_cast<double>(running() + 1) /
        static_cast<double>(std::max<std::size_t>(limit(), 1));
    if (auto *Best = chooseByPrefix(Candidates, Item.PrefixHash,
                                    MeanLoad * m_settings.MaxAffinityLoad))
      return Best;
  }
  return *std::ranges::min_element(
      Candidates, {}, [](const ReplicaSlots *Candidate) {
        return static_cast<double>(Candidate->Limit.running()) /
               static_cast<double>(Candidate->Limit.limit());
      });
}

// Shares of workspaces.

FairScheduler::Share &FairScheduler::share(const std::string &Workspace) {
  const auto [Entry, Added] = m_shares.try_emplace(Workspace);
  if (Added) {
    Entry->second.Weight = m_settings.DefaultWeight;
    Entry->second.MaxQueued = m_settings.DefaultMaxQueued;
  }
  return Entry->second;
}

const FairScheduler::Share *
FairScheduler::findShare(const std::string &Workspace) const {
  const auto Entry = m_shares.find(Workspace);
  return Entry == m_shares.end() ? nullptr : &Entry->second;
}

void FairScheduler::setWorkspace(const std::string &Workspace, double Weight,
                                 std::size_t MaxQueued) {
  auto &WorkspaceShare = share(Workspace);
  if (Weight > 0.0)
    WorkspaceShare.Weight = Weight;
  WorkspaceShare.MaxQueued = MaxQueued;
}

double FairScheduler::serviceKey(const Share &WorkspaceShare) {
  return WorkspaceShare.Service +
         WorkspaceShare.Reserved / WorkspaceShare.Weight;
}

double FairScheduler::normalisedService(const std::string &Workspace) const {
  const auto *WorkspaceShare = findShare(Workspace);
  return WorkspaceShare == nullptr ? 0.0 : serviceKey(*WorkspaceShare);
}

std::size_t FairScheduler::queued(const std::string &Workspace) const {
  const auto *WorkspaceShare = findShare(Workspace);
  return WorkspaceShare == nullptr ? 0 : WorkspaceShare->Queue.size();
}

double FairScheduler::leastBackloggedKey() const {
  double Least = Infinite;
  for (const auto &[Name, WorkspaceShare] : m_shares)
    if (WorkspaceShare.Backlogged)
      Least = std::min(Least, serviceKey(WorkspaceShare));
  return Least;
}

void FairScheduler::updateBacklogged(Share &WorkspaceShare) {
  const bool Waits =
      !WorkspaceShare.Queue.empty() ||
      std::ranges::any_of(WorkspaceShare.RemoteQueues, [](const auto &Entry) {
        return Entry.second.Reported > 0;
      });
  if (Waits && !WorkspaceShare.Backlogged) {
    const double Least = leastBackloggedKey();
    const double Floor = Least == Infinite ? m_virtualTime : Least;
    WorkspaceShare.Service += std::max(0.0, Floor - serviceKey(WorkspaceShare));
  }
  WorkspaceShare.Backlogged = Waits;
}

void FairScheduler::boundDebt() {
  const double Least = leastBackloggedKey();
  if (Least == Infinite)
    return;
  for (auto &[Name, WorkspaceShare] : m_shares)
    WorkspaceShare.Service -=
        std::max(0.0, serviceKey(WorkspaceShare) - Least - m_settings.MaxDebt);
}

std::map<std::string, FairScheduler::Share>::iterator
FairScheduler::leastServedQueued(const std::set<std::string> &Skip) {
  auto Best = m_shares.end();
  for (auto Candidate = m_shares.begin(); Candidate != m_shares.end();
       ++Candidate)
    if (!Candidate->second.Queue.empty() && !Skip.contains(Candidate->first) &&
        (Best == m_shares.end() ||
         serviceKey(Candidate->second) < serviceKey(Best->second)))
      Best = Candidate;
  return Best;
}

// Costs and rates.

double FairScheduler::predictCost(const CostModel &Model, double Hint) {
  if (Model.Count == 0)
    return Hint;
  if (Hint <= 0.0 || Model.MeanHint <= 0.0 ||
      Model.MeanError <= Model.HintError)
    return Model.MeanCost;
  return Hint * Model.MeanCost / Model.MeanHint;
}

double FairScheduler::expectedCost(const WorkItem &Item) const {
  const auto *WorkspaceShare = findShare(Item.Workspace);
  const double Cost = WorkspaceShare == nullptr
                          ? Item.CostHint
                          : predictCost(WorkspaceShare->Costs, Item.CostHint);
  return Cost > 0.0 ? Cost : m_settings.DefaultCost;
}

Duration FairScheduler::expectedRunTime(const Share &WorkspaceShare,
                                        const WorkItem &Item) const {
  double Cost = expectedCost(Item);
  // While other items wait, a slot should go to a request that is likely to
  // finish in time; one that is cancelled at its deadline wastes the slot.
  if (m_queuedCount > 0)
    Cost += CostMargin * std::min(WorkspaceShare.Costs.MeanError,
                                  WorkspaceShare.Costs.HintError);
  return fromSeconds(Cost * m_secondsPerToken);
}

void FairScheduler::observeCost(CostModel &Model, double Hint, double Cost) {
  if (Model.Count++ == 0) {
    Model.MeanCost = Cost;
    Model.MeanHint = Hint;
    // A single sample has no spread, so assume a wide one.
    Model.MeanError = Cost;
    Model.HintError = Cost;
    return;
  }
  updateMean(Model.MeanError, std::abs(Model.MeanCost - Cost));
  if (Hint > 0.0 && Model.MeanHint > 0.0)
    updateMean(Model.HintError,
               std::abs(Hint * Model.MeanCost / Model.MeanHint - Cost));
  updateMean(Model.MeanCost, Cost);
  if (Hint > 0.0)
    updateMean(Model.MeanHint, Hint);
}

void FairScheduler::recordTokens(double Tokens, TimePoint Now) {
  m_rate.Tokens += Tokens;
  const auto Elapsed = Now - m_rate.BucketStart;
  if (Elapsed < RateSamplePeriod)
    return;
  if (m_rate.Saturated) {
    const double Sample = m_rate.Tokens / seconds(Elapsed);
    m_rate.Rate +=
        (m_rate.Rate == 0.0 ? 1.0 : SampleWeight) * (Sample - m_rate.Rate);
  }
  m_rate.BucketStart = Now;
  m_rate.Tokens = 0.0;
  m_rate.Saturated = m_queuedCount > 0;
}

Duration FairScheduler::expectedWait(const Share &WorkspaceShare) const {
  if (m_rate.Rate <= 0.0)
    return {};
  double Weights = WorkspaceShare.Queue.empty() ? WorkspaceShare.Weight : 0.0;
  for (const auto &[Name, Other] : m_shares)
    Weights += Other.Queue.empty() ? 0.0 : Other.Weight;
  const double FairShareCost =
      WorkspaceShare.QueuedCost * Weights / WorkspaceShare.Weight;
  return fromSeconds(std::min(FairShareCost, m_queuedCost) / m_rate.Rate);
}

// Queues.

std::optional<Error> FairScheduler::refusal(const Share &WorkspaceShare,
                                            const WorkItem &Item,
                                            TimePoint Now) const {
  if (Item.Deadline <= Now)
    return refuse(ErrorKind::DeadlinePassed, "the deadline has passed", {});
  const auto Wait = expectedWait(WorkspaceShare);
  if (WorkspaceShare.Queue.size() >= WorkspaceShare.MaxQueued)
    return refuse(ErrorKind::QueueFull,
                  std::to_string(WorkspaceShare.Queue.size()) +
                      " requests are queued",
                  Wait / std::max<std::size_t>(WorkspaceShare.Queue.size(), 1));
  const auto RunTime = expectedRunTime(WorkspaceShare, Item);
  const auto Remaining = Item.Deadline - Now;
  if (Wait + RunTime > Remaining)
    return refuse(ErrorKind::DeadlineUnreachable,
                  "expected wait and run time exceed the time to the deadline",
                  Wait + RunTime - Remaining);
  return std::nullopt;
}

void FairScheduler::push(Share &WorkspaceShare, WorkId Id) {
  const auto &Queued = m_work.at(Id);
  WorkspaceShare.Queue.push_back(Id);
  WorkspaceShare.QueuedCost += Queued.Expected;
  m_queuedCost += Queued.Expected;
  ++m_queuedCount;
  m_deadlines.emplace(Queued.LatestStart, Id);
  updateBacklogged(WorkspaceShare);
}

Expected<WorkId> FairScheduler::enqueue(WorkItem Item, TimePoint Now) {
  auto &WorkspaceShare = share(Item.Workspace);
  if (auto Refusal = refusal(WorkspaceShare, Item, Now))
    return {.Failure = std::move(*Refusal)};
  const auto Id = ++m_lastWork;
  const double Cost = expectedCost(Item);
  const auto LatestStart =
      Item.Deadline - expectedRunTime(WorkspaceShare, Item);
  m_work.emplace(Id, Work{.Item = std::move(Item),
                          .Expected = Cost,
                          .LatestStart = LatestStart});
  push(WorkspaceShare, Id);
  return {.Value = Id};
}

void FairScheduler::removeQueued(WorkId Id) {
  const auto &Queued = m_work.at(Id);
  auto &WorkspaceShare = share(Queued.Item.Workspace);
  std::erase(WorkspaceShare.Queue, Id);
  // Rounding must not leave a cost in an empty queue.
  WorkspaceShare.QueuedCost = WorkspaceShare.Queue.empty()
                                  ? 0.0
                                  : WorkspaceShare.QueuedCost - Queued.Expected;
  --m_queuedCount;
  m_queuedCost = m_queuedCount == 0 ? 0.0 : m_queuedCost - Queued.Expected;
  m_rate.Saturated = m_rate.Saturated && m_queuedCount > 0;
  m_deadlines.erase({Queued.LatestStart, Id});
  updateBacklogged(WorkspaceShare);
}

void FairScheduler::removeWaiting(WorkId Id) {
  const auto &Waiting = m_work.at(Id);
  if (!Waiting.Offered) {
    removeQueued(Id);
    return;
  }
  std::erase(m_offeredQueue, Id);
  m_deadlines.erase({Waiting.LatestStart, Id});
}

std::vector<WorkId> FairScheduler::expire(TimePoint Now) {
  std::vector<WorkId> Expired;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= Now) {
    const auto Id = m_deadlines.begin()->second;
    removeWaiting(Id);
    m_work.erase(Id);
    Expired.push_back(Id);
  }
  return Expired;
}

std::optional<TimePoint> FairScheduler::nextDeadline() const {
  if (m_deadlines.empty())
    return std::nullopt;
  return m_deadlines.begin()->first;
}

// Running items.

Dispatch FairScheduler::start(WorkId Id, ReplicaSlots &Replica, TimePoint Now) {
  auto &Starting = m_work.at(Id);
  Starting.Replica = Replica.State.Record.Id;
  Starting.Started = Now;
  Starting.LastCharge = Now;
  Replica.Limit.onStart();
  Replica.AwaitingFirst.emplace(Now, Id);
  auto &WorkspaceShare = share(Starting.Item.Workspace);
  m_virtualTime = std::max(m_virtualTime, serviceKey(WorkspaceShare));
  WorkspaceShare.Reserved += Starting.Expected;
  earnVersionCredit(Starting.Item.Plan, 1.0);
  if (const auto Cap = m_versionShares.find(Replica.State.Record.Version);
      Cap != m_versionShares.end())
    Cap->second.Credits[Starting.Item.Plan] -= 1.0;
  return {Id, Starting.Replica};
}

bool FairScheduler::dispatchOffered(std::vector<Dispatch> &Started,
                                    TimePoint Now) {
  if (m_offeredQueue.empty())
    return false;
  const auto Id = m_offeredQueue.front();
  auto *Replica = chooseReplica(m_work.at(Id).Item);
  if (Replica == nullptr)
    return false;
  removeWaiting(Id);
  Started.push_back(start(Id, *Replica, Now));
  return true;
}

bool FairScheduler::dispatchQueued(std::vector<Dispatch> &Started,
                                   TimePoint Now) {
  std::set<std::string> Skip;
  while (uncommittedSlots() > 0) {
    const auto Next = leastServedQueued(Skip);
    if (Next == m_shares.end())
      return false;
    const auto Id = Next->second.Queue.front();
    if (auto *Replica = chooseReplica(m_work.at(Id).Item)) {
      Started.push_back(start(Id, *Replica, Now));
      removeQueued(Id);
      return true;
    }
    Skip.insert(Next->first);
  }
  return false;
}

std::vector<Dispatch> FairScheduler::nextDispatch(TimePoint Now) {
  detectCold(Now);
  expireOffers(Now);
  std::vector<Dispatch> Started;
  while (dispatchOffered(Started, Now) || dispatchQueued(Started, Now)) {
  }
  return Started;
}

void FairScheduler::observeStream(Work &Running, WorkId Id, double Tokens,
                                  TimePoint Now) {
  const auto Entry = m_replicas.find(Running.Replica);
  if (Entry == m_replicas.end())
    return;
  auto &Replica = Entry->second;
  if (Replica.AwaitingFirst.erase({Running.Started, Id}) > 0)
    Replica.Limit.onFirstToken(Now - Running.Started, Now);
  else
    Replica.Limit.onTokenInterval(
        fromSeconds(seconds(Now - Running.LastCharge) / Tokens), Now);
}

void FairScheduler::chargeShare(Work &Running, double Tokens) {
  auto &WorkspaceShare = share(Running.Item.Workspace);
  const double Covered =
      std::clamp(Running.Expected - Running.Charged, 0.0, Tokens);
  WorkspaceShare.Reserved = std::max(0.0, WorkspaceShare.Reserved - Covered);
  WorkspaceShare.Service += Tokens / WorkspaceShare.Weight;
  WorkspaceShare.LocalService += Tokens;
  Running.Charged += Tokens;
}

void FairScheduler::charge(WorkId Id, double Tokens, TimePoint Now) {
  const auto Entry = m_work.find(Id);
  if (Entry == m_work.end() || Entry->second.Replica.empty() || Tokens <= 0.0)
    return;
  auto &Running = Entry->second;
  observeStream(Running, Id, Tokens, Now);
  chargeShare(Running, Tokens);
  Running.LastCharge = Now;
  if (!Running.Offered)
    recordTokens(Tokens, Now);
}

void FairScheduler::releaseSlot(const Work &Ended, WorkId Id, Outcome Result,
                                TimePoint Now) {
  const auto Entry = m_replicas.find(Ended.Replica);
  if (Entry == m_replicas.end())
    return;
  auto &Replica = Entry->second;
  Replica.AwaitingFirst.erase({Ended.Started, Id});
  Replica.Limit.onFinish(Result, Now);
  if (Replica.Removed && Replica.Limit.running() == 0)
    m_replicas.erase(Entry);
}

void FairScheduler::finish(WorkId Id, Outcome Result, TimePoint Now,
                           double FinalCost) {
  const auto Entry = m_work.find(Id);
  if (Entry == m_work.end() || Entry->second.Replica.empty())
    return;
  auto &Ended = Entry->second;
  if (FinalCost > Ended.Charged)
    chargeShare(Ended, FinalCost - Ended.Charged);
  auto &WorkspaceShare = share(Ended.Item.Workspace);
  WorkspaceShare.Reserved -= std::max(0.0, Ended.Expected - Ended.Charged);
  WorkspaceShare.Reserved = std::max(0.0, WorkspaceShare.Reserved);
  if (Result == Outcome::Completed && Ended.Charged > 0.0) {
    observeCost(WorkspaceShare.Costs, Ended.Item.CostHint, Ended.Charged);
    updateMean(m_secondsPerToken, seconds(Now - Ended.Started) / Ended.Charged);
  }
  releaseSlot(Ended, Id, Result, Now);
  m_work.erase(Entry);
}

void FairScheduler::cancel(WorkId Id, TimePoint Now) {
  const auto Entry = m_work.find(Id);
  if (Entry == m_work.end())
    return;
  if (!Entry->second.Replica.empty()) {
    finish(Id, Outcome::Cancelled, Now);
    return;
  }
  removeWaiting(Id);
  m_work.erase(Entry);
}

// Exchange with other owners.

CounterChanges FairScheduler::changesSince(std::uint64_t Cursor) {
  // Reservations are reported as service; otherwise all owners would serve the
  // same workspace until they receive the count of its first tokens.
  for (const auto &[Name, WorkspaceShare] : m_shares)
    m_counters.setLocal(m_target, Name,
                        static_cast<std::uint64_t>(WorkspaceShare.LocalService +
                                                   WorkspaceShare.Reserved),
                        WorkspaceShare.Queue.size());
  m_counters.markBacklogChanged();
  return m_counters.changesSince(Cursor);
}

void FairScheduler::merge(const std::vector<CounterEntry> &Entries) {
  // Service of a boot before its first message to this daemon is not charged.
  std::set<std::pair<DaemonName, BootId>> NewBoots;
  for (const auto &Entry : Entries) {
    if (Entry.ServedTarget != m_target)
      continue;
    const bool AlreadyMerged = m_counters.hasMerged(Entry.Daemon, Entry.Boot);
    const auto NewService = m_counters.merge(Entry);
    if (!m_counters.hasMerged(Entry.Daemon, Entry.Boot))
      continue;
    if (!AlreadyMerged) {
      clearRemoteQueues(Entry.Daemon);
      NewBoots.emplace(Entry.Daemon, Entry.Boot);
    }
    auto &WorkspaceShare = share(Entry.Workspace);
    if (!NewBoots.contains({Entry.Daemon, Entry.Boot}))
      WorkspaceShare.Service +=
          static_cast<double>(NewService) / WorkspaceShare.Weight;
    WorkspaceShare.RemoteQueues[Entry.Daemon] = {Entry.Backlog, Entry.Backlog};
    updateBacklogged(WorkspaceShare);
  }
  boundDebt();
}

void FairScheduler::clearRemoteQueues(const DaemonName &Daemon) {
  m_counters.clearBacklog(Daemon);
  for (auto &[Name, WorkspaceShare] : m_shares) {
    WorkspaceShare.RemoteQueues.erase(Daemon);
    updateBacklogged(WorkspaceShare);
  }
}

void FairScheduler::dropPeer(const DaemonName &Daemon) {
  clearRemoteQueues(Daemon);
  m_peerSpare.erase(Daemon);
}

std::size_t FairScheduler::uncommittedSlots() const {
  const auto Committed = m_offers.size() + m_offeredQueue.size();
  const auto Free = freeSlots();
  return Free > Committed ? Free - Committed : 0;
}

std::size_t FairScheduler::offerableSlots() const {
  const auto LowShareSlots = std::accumulate(
      m_replicas.begin(), m_replicas.end(), std::size_t{0},
      [this](std::size_t Sum, const auto &Entry) {
        const auto Cap =
            m_versionShares.find(Entry.second.State.Record.Version);
        const bool LowShare = Cap != m_versionShares.end() &&
                              Cap->second.maxShare() < MinOfferedShare;
        return LowShare ? Sum + Entry.second.free() : Sum;
      });
  const auto Free = uncommittedSlots();
  return Free > LowShareSlots ? Free - LowShareSlots : 0;
}

std::map<std::string, FairScheduler::Share>::iterator
FairScheduler::leastServedRemote() {
  const auto Waits = [](const Share &WorkspaceShare) {
    return std::ranges::any_of(
        WorkspaceShare.RemoteQueues,
        [](const auto &Entry) { return Entry.second.Offerable > 0; });
  };
  auto Best = m_shares.end();
  for (auto Candidate = m_shares.begin(); Candidate != m_shares.end();
       ++Candidate)
    if (Waits(Candidate->second) &&
        (Best == m_shares.end() ||
         serviceKey(Candidate->second) < serviceKey(Best->second)))
      Best = Candidate;
  return Best;
}

SlotOffer FairScheduler::offerTo(const std::string &Workspace,
                                 Share &WorkspaceShare, TimePoint Now) {
  const auto LongestQueue = std::ranges::max_element(
      WorkspaceShare.RemoteQueues, {},
      [](const auto &Entry) { return Entry.second.Offerable; });
  --LongestQueue->second.Offerable;
  SlotOffer Offer{++m_lastOffer, LongestQueue->first, Workspace,
                  Now + m_settings.OfferLifetime};
  const double Cost = expectedCost({.Workspace = Workspace});
  WorkspaceShare.Reserved += Cost;
  m_offers.emplace(Offer.Id, PendingOffer{Offer, Cost});
  return Offer;
}

std::vector<SlotOffer> FairScheduler::nextOffers(TimePoint Now) {
  detectCold(Now);
  expireOffers(Now);
  std::vector<SlotOffer> Offers;
  for (auto Free = offerableSlots(); Free > 0; --Free) {
    const auto Remote = leastServedRemote();
    if (Remote == m_shares.end())
      break;
    const auto Local = leastServedQueued();
    const bool SpareSlot = m_queuedCount < Free;
    if (!SpareSlot && serviceKey(Local->second) - serviceKey(Remote->second) <=
                          m_settings.OfferThreshold)
      break;
    Offers.push_back(offerTo(Remote->first, Remote->second, Now));
  }
  return Offers;
}

void FairScheduler::endOffer(std::map<OfferId, PendingOffer>::iterator Ended) {
  auto &WorkspaceShare = share(Ended->second.Offer.Workspace);
  WorkspaceShare.Reserved =
      std::max(0.0, WorkspaceShare.Reserved - Ended->second.Expected);
  m_offers.erase(Ended);
}

void FairScheduler::declineOffer(OfferId Id) {
  const auto Entry = m_offers.find(Id);
  if (Entry == m_offers.end())
    return;
  clearRemoteQueues(Entry->second.Offer.Receiver);
  endOffer(Entry);
}

void FairScheduler::expireOffers(TimePoint Now) {
  // Ids increase with time, so the first offer is the oldest.
  while (!m_offers.empty() && m_offers.begin()->second.Offer.Expires <= Now)
    declineOffer(m_offers.begin()->first);
}

std::optional<PoppedItem>
FairScheduler::popForOffer(const std::string &Workspace, TimePoint Now) {
  auto Source = m_shares.find(Workspace);
  if (Source == m_shares.end() || Source->second.Queue.empty())
    Source = leastServedQueued();
  if (Source == m_shares.end())
    return std::nullopt;
  return popQueued(Source->second, Now);
}

PoppedItem FairScheduler::popQueued(const Share &WorkspaceShare,
                                    TimePoint Now) {
  const auto Id = WorkspaceShare.Queue.front();
  removeQueued(Id);
  auto Entry = m_work.find(Id);
  recordTokens(Entry->second.Expected, Now);
  PoppedItem Popped{Id, std::move(Entry->second.Item)};
  m_work.erase(Entry);
  return Popped;
}

std::vector<SpareSlots> FairScheduler::splitSpare(std::size_t Peers) {
  std::vector<SpareSlots> Out(Peers);
  if (Peers == 0 || m_queuedCount > 0)
    return Out;
  const auto Spare = offerableSlots();
  for (auto &Report : Out)
    Report = {static_cast<std::uint32_t>(Spare),
              static_cast<std::uint32_t>(Spare / Peers)};
  for (auto Remainder = Spare % Peers; Remainder > 0; --Remainder)
    ++Out[m_nextSparePeer++ % Peers].Credit;
  return Out;
}

void FairScheduler::setPeerSpare(const DaemonName &Daemon, SpareSlots Spare,
                                 TimePoint Now) {
  m_peerSpare[Daemon] = {Spare, Now + m_settings.SpareLifetime};
}

FairScheduler::PeerReport *FairScheduler::peerWithMostCredit(TimePoint Now,
                                                             DaemonName &Name) {
  PeerReport *Best = nullptr;
  for (auto &[Daemon, Report] : m_peerSpare)
    if (Report.Expires > Now &&
        Report.Spare.Credit > (Best ? Best->Spare.Credit : 0U)) {
      Best = &Report;
      Name = Daemon;
    }
  return Best;
}

std::map<std::string, FairScheduler::Share>::iterator
FairScheduler::leastServedMovable() {
  std::set<std::string> Skip;
  auto Next = leastServedQueued();
  while (Next != m_shares.end() &&
         m_work.at(Next->second.Queue.front()).Item.Relayed) {
    Skip.insert(Next->first);
    Next = leastServedQueued(Skip);
  }
  return Next;
}

std::vector<CreditMove> FairScheduler::nextCreditMoves(TimePoint Now) {
  std::vector<CreditMove> Moves;
  while (m_queuedCount > 0 && uncommittedSlots() == 0) {
    DaemonName Receiver;
    auto *Report = peerWithMostCredit(Now, Receiver);
    const auto Source = leastServedMovable();
    if (Report == nullptr || Source == m_shares.end())
      break;
    --Report->Spare.Credit;
    auto Popped = popQueued(Source->second, Now);
    Moves.push_back({Popped.Work, std::move(Receiver), std::move(Popped.Item)});
  }
  return Moves;
}

std::vector<DaemonName> FairScheduler::peersToNotify(TimePoint Now) {
  if (m_queuedCount == 0 || uncommittedSlots() > 0 ||
      (m_lastEarlyReport &&
       Now - *m_lastEarlyReport < m_settings.MinEarlyReportInterval))
    return {};
  std::vector<std::pair<std::uint32_t, DaemonName>> Candidates;
  for (const auto &[Daemon, Report] : m_peerSpare)
    if (Report.Expires > Now && Report.Spare.Free > 0)
      Candidates.emplace_back(Report.Spare.Free, Daemon);
  std::ranges::sort(Candidates, std::greater<>());
  Candidates.resize(std::min(Candidates.size(), m_settings.MaxEarlyReceivers));
  std::vector<DaemonName> Out;
  Out.reserve(Candidates.size());
  for (auto &[FreeSlots, Daemon] : Candidates) {
    // Once for each report, so that early counters at most double the regular
    // ones.
    m_peerSpare[Daemon].Spare.Free = 0;
    Out.push_back(std::move(Daemon));
  }
  if (!Out.empty())
    m_lastEarlyReport = Now;
  return Out;
}

Expected<WorkId> FairScheduler::enqueueOffered(OfferId Offer, WorkItem Item,
                                               TimePoint Now) {
  expireOffers(Now);
  const auto Entry = m_offers.find(Offer);
  if (Entry == m_offers.end())
    return {.Failure = Error{ErrorKind::NoEndpoint, "the offer has expired"}};
  endOffer(Entry);
  const auto Id = ++m_lastWork;
  const double Cost = expectedCost(Item);
  const auto LatestStart = Item.Deadline;
  m_work.emplace(Id, Work{.Item = std::move(Item),
                          .Expected = Cost,
                          .LatestStart = LatestStart,
                          .Offered = true});
  m_deadlines.emplace(LatestStart, Id);
  m_offeredQueue.push_back(Id);
  return {.Value = Id};
}

} // namespace nutmegdrift::policy
