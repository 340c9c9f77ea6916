// Stages of rollouts and the choice of replicas in each.
#include "nutmegdrift/gateway/fleet_rollouts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegdrift::gateway {

namespace {

using routing::Replica;

/// Rank of a stage; a higher one replaces a lower one. RolledBack is the
/// highest, so that a version judged bad by one daemon is rolled back by all. A
/// rollout with a rank above 1 has ended.
int rankOf(RolloutStage Stage) {
  switch (Stage) {
  case RolloutStage::Canary:
    return 0;
  case RolloutStage::Moving:
    return 1;
  case RolloutStage::Completed:
    return 2;
  case RolloutStage::RolledBack:
    return 3;
  }
  return 0;
}

/// Against the rounding of a sum of shares.
constexpr double DueRounding = 1e-6;

} // namespace

std::string_view toString(RolloutStage Stage) {
  switch (Stage) {
  case RolloutStage::Canary:
    return "canary";
  case RolloutStage::Moving:
    return "moving";
  case RolloutStage::Completed:
    return "completed";
  case RolloutStage::RolledBack:
    return "rolled-back";
  }
  return "unknown";
}

VersionRequests FleetRollouts::RolloutState::fleetSent() const {
  VersionRequests Sum = Sent;
  for (const auto &[Boot, Remote] : RemoteSent)
    Sum += Remote;
  return Sum;
}

TimePoint FleetRollouts::timeAtFraction(const RolloutState &Rollout,
                                        double Fraction) {
  return Rollout.Started +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Rollout.Order.Length) * Fraction);
}

TimePoint FleetRollouts::completionTime(const RolloutState &Rollout) {
  // A Moving stage that began late still takes its time.
  return std::max(timeAtFraction(Rollout, CompletionFraction),
                  Rollout.StageSince + Rollout.MovingTime);
}

void FleetRollouts::rollBack(RolloutState &Rollout, std::string Reason,
                             TimePoint Now) {
  Rollout.Reason = std::move(Reason);
  changeStage(Rollout, RolloutStage::RolledBack, Now);
}

double FleetRollouts::movingFraction(const RolloutState &Rollout,
                                     TimePoint Now) const {
  const double Elapsed =
      std::chrono::duration<double>(Now - Rollout.Started).count();
  const double Length =
      std::chrono::duration<double>(Rollout.Order.Length).count();
  const auto Sent = static_cast<double>(Rollout.fleetSent().All);
  if (Sent <= 0.0 || Elapsed <= 0.0)
    return MaxMovingFraction;
  const double Requests = Sent / Elapsed * Length;
  const double Left = m_trialBounds.Share * UsableTrialShare * Requests +
                      m_trialBounds.Requests * UsableTrialRequests -
                      static_cast<double>(Rollout.fleetSent().New);
  return std::clamp(Left * MovingPart / Requests, MinMovingFraction,
                    MaxMovingFraction);
}

bool FleetRollouts::hasUrgentOutcomes() const {
  return !m_unsentOutcomes.empty() &&
         std::any_of(m_rollouts.begin(), m_rollouts.end(),
                     [](const auto &Entry) {
                       return Entry.second.Stage == RolloutStage::Moving;
                     });
}

void FleetRollouts::applyOrder(const RolloutOrder &Order, TimePoint Now) {
  const auto Existing = m_rollouts.find(Order.Service);
  if (Existing != m_rollouts.end()) {
    RolloutState &Known = Existing->second;
    if (Known.Order == Order)
      return;
    // What is known of the version holds for another length too.
    if (Known.Order.Version == Order.Version && rankOf(Known.Stage) <= 1) {
      Known.Order = Order;
      Known.Started = Now;
      changeStage(Known, RolloutStage::Canary, Now);
      return;
    }
  }
  RolloutState Rollout{
      .Order = Order, .Started = Now, .Known = Now, .StageSince = Now};
  const auto Early = m_earlyStatuses.find(Order.Service);
  if (Early != m_earlyStatuses.end()) {
    const auto &[Status, ReceivedAt] = Early->second;
    if (Status.Version == Order.Version) {
      Rollout.Started = ReceivedAt - Status.Elapsed;
      Rollout.Stage = Status.Stage;
    }
    m_earlyStatuses.erase(Early);
  }
  m_rollouts[Order.Service] = std::move(Rollout);
}

void FleetRollouts::withdraw(const std::string &Service) {
  m_rollouts.erase(Service);
  m_earlyStatuses.erase(Service);
}

void FleetRollouts::changeStage(RolloutState &Rollout, RolloutStage NewStage,
                                TimePoint Now) {
  Rollout.Stage = NewStage;
  Rollout.StageSince = Now;
  if (NewStage != RolloutStage::Moving)
    return;
  Rollout.Judge.requireMoreProof();
  Rollout.MovingTime =
      timeAtFraction(Rollout, movingFraction(Rollout, Now)) - Rollout.Started;
  // The canary has spent its own part only.
  Rollout.TrialSpent = false;
}

void FleetRollouts::recordResult(const std::string &Service,
                                 const std::string &Version, RolloutStage Stage,
                                 const routing::ReplicaTable &Replicas) {
  const auto Entry = m_rollouts.find(Service);
  if (Entry == m_rollouts.end() || Entry->second.Order.Version != Version)
    return;
  RolloutState &Rollout = Entry->second;
  if (Stage == RolloutStage::Completed)
    for (const auto &[Id, Candidate] : Replicas.all())
      if (Candidate.Record.Service == Service &&
          Candidate.Record.Version != Version)
        Rollout.OldVersions.insert(Candidate.Record.Version);
  Rollout.Stage = Stage;
  Rollout.ResultStored = true;
}

void FleetRollouts::recordOutcome(const std::string &Service,
                                  const std::string &Version,
                                  policy::VersionSample Sample) {
  const auto Entry = m_rollouts.find(Service);
  if (Entry == m_rollouts.end() || rankOf(Entry->second.Stage) > 1)
    return;
  addSample(Entry->second, Service, Version, std::move(Sample));
}

void FleetRollouts::recordPace(const std::string &Service,
                               const std::string &Version,
                               policy::VersionSample Sample) {
  const auto Entry = m_rollouts.find(Service);
  if (Entry != m_rollouts.end() && rankOf(Entry->second.Stage) <= 1)
    addSample(Entry->second, Service, Version, std::move(Sample));
}

void FleetRollouts::recordWait(const std::string &Service,
                               const std::string &Version,
                               policy::VersionSample Sample) {
  Sample.WaitOnly = true;
  recordPace(Service, Version, std::move(Sample));
}

std::optional<Duration>
FleetRollouts::slowAfter(const std::string &Service,
                         const policy::RouteName &Route) const {
  const auto Entry = m_rollouts.find(Service);
  if (Entry == m_rollouts.end() || rankOf(Entry->second.Stage) > 1)
    return std::nullopt;
  return Entry->second.Judge.slowTime(Route);
}

void FleetRollouts::addSample(RolloutState &Rollout, const std::string &Service,
                              const std::string &Version,
                              policy::VersionSample Sample) {
  Sample.FromNewVersion = Version == Rollout.Order.Version;
  addToJudge(Rollout, Sample);
  const auto Queued = std::count_if(
      m_unsentOutcomes.begin(), m_unsentOutcomes.end(),
      [&](const auto &Outcome) {
        return Outcome.Sample.FromNewVersion == Sample.FromNewVersion;
      });
  if (static_cast<std::size_t>(Queued) <
      (Sample.FromNewVersion ? MaxReportedNew : MaxReportedOld))
    m_unsentOutcomes.push_back({.Service = Service,
                                .Version = Rollout.Order.Version,
                                .Sample = std::move(Sample)});
}

std::vector<RolloutOutcome> FleetRollouts::drainOutcomes() {
  return std::exchange(m_unsentOutcomes, {});
}

std::vector<RolloutStatus> FleetRollouts::statuses(TimePoint Now) const {
  std::vector<RolloutStatus> Out;
  for (const auto &[Service, Rollout] : m_rollouts)
    Out.push_back({.Service = Service,
                   .Version = Rollout.Order.Version,
                   .Stage = Rollout.Stage,
                   .Elapsed = std::chrono::duration_cast<Milliseconds>(
                       Now - Rollout.Started),
                   .Sent = Rollout.Sent,
                   .Verdict = verdict(Rollout, Now)});
  return Out;
}

bool FleetRollouts::receive(BootId Sender,
                            const std::vector<RolloutStatus> &Statuses,
                            const std::vector<RolloutOutcome> &Outcomes,
                            TimePoint Now) {
  bool Changed = false;
  for (const RolloutStatus &Status : Statuses) {
    const auto Entry = m_rollouts.find(Status.Service);
    if (Entry == m_rollouts.end()) {
      m_earlyStatuses[Status.Service] = {Status, Now};
      continue;
    }
    RolloutState &Rollout = Entry->second;
    if (Rollout.Order.Version != Status.Version)
      continue;
    Rollout.Started = std::min(Rollout.Started, Now - Status.Elapsed);
    Rollout.RemoteSent[Sender] = Status.Sent;
    Rollout.RemoteVerdicts[Sender] = {Status.Verdict, Now};
    if (Rollout.ResultStored || rankOf(Status.Stage) <= rankOf(Rollout.Stage))
      continue;
    if (Status.Stage == RolloutStage::RolledBack)
      Rollout.Reason = "found by another daemon";
    changeStage(Rollout, Status.Stage, Now);
    Changed = true;
  }
  for (const RolloutOutcome &Outcome : Outcomes) {
    const auto Entry = m_rollouts.find(Outcome.Service);
    if (Entry == m_rollouts.end() ||
        Entry->second.Order.Version != Outcome.Version ||
        rankOf(Entry->second.Stage) > 1)
      continue;
    policy::VersionSample Sample = Outcome.Sample;
    Sample.CompletedAt = Now;
    addToJudge(Entry->second, Sample);
  }
  return Changed;
}

void FleetRollouts::addToJudge(RolloutState &Rollout,
                               const policy::VersionSample &Sample) {
  Rollout.Judge.add(Sample);
  if (Sample.FromNewVersion && !Sample.WaitOnly && !Rollout.FirstNewOutcome)
    Rollout.FirstNewOutcome = Sample.CompletedAt;
}

std::string FleetRollouts::unproven(const RolloutState &Rollout,
                                    TimePoint Now) {
  const policy::VersionJudge &Judge = Rollout.Judge;
  if (Judge.starved(routing::CanaryShare))
    return "too few streams, " + std::to_string(Judge.comparedPaces()) +
           " compared";
  if (const auto Doubt = Judge.doubt())
    return "not shown to be good: " + policy::toString(*Doubt);
  if (Now < Rollout.FirstNewOutcome.value_or(Now) +
                (timeAtFraction(Rollout, MinTrialFraction) - Rollout.Started))
    return "tried too short";
  return {};
}

TrialVerdict FleetRollouts::verdict(const RolloutState &Rollout,
                                    TimePoint Now) {
  if (unproven(Rollout, Now).empty())
    return TrialVerdict::Proven;
  return Rollout.Known > timeAtFraction(Rollout, MinTrialFraction)
             ? TrialVerdict::Unknown
             : TrialVerdict::Open;
}

double FleetRollouts::provenPart(const RolloutState &Rollout, TimePoint Now) {
  std::size_t Proven = 0;
  std::size_t Known = 0;
  const auto Count = [&](TrialVerdict Verdict) {
    Known += Verdict == TrialVerdict::Unknown ? 0 : 1;
    Proven += Verdict == TrialVerdict::Proven ? 1 : 0;
  };
  Count(verdict(Rollout, Now));
  for (const auto &[Boot, Remote] : Rollout.RemoteVerdicts)
    if (Now - Remote.second <= VerdictAge)
      Count(Remote.first);
  return Known == 0 ? 0.0
                    : static_cast<double>(Proven) / static_cast<double>(Known);
}

bool FleetRollouts::trialSpent(const RolloutState &Rollout,
                               const VersionReplicas &Usable,
                               TimePoint Now) const {
  // The bounds hold until the order ends. After that the new version serves
  // rather than none.
  if (Now >= Rollout.Started + Rollout.Order.Length)
    return Rollout.TrialSpent && Usable.Old > 0;
  const bool Moving = Rollout.Stage == RolloutStage::Moving;
  if (Rollout.TrialSpent && Moving)
    return true;
  const bool Beside = !Moving && Usable.Old > 0;
  const VersionRequests Sent = Rollout.fleetSent();
  return static_cast<double>(Sent.New) >=
         m_trialBounds.Share * (Beside ? CanaryTrialShare : UsableTrialShare) *
                 static_cast<double>(Sent.All) +
             m_trialBounds.Requests *
                 (Beside ? CanaryTrialRequests : UsableTrialRequests);
}

bool FleetRollouts::updateShares(RolloutState &Rollout, TimePoint Now) const {
  const auto &Outcomes = Rollout.Judge.routeOutcomes();
  const Duration Elapsed = Now - Rollout.Known;
  if (Elapsed < RateTime || Outcomes.empty())
    return false;
  const double EarlyPart =
      std::chrono::duration<double>(Rollout.Order.Length).count() *
      EarlyFraction / std::chrono::duration<double>(Elapsed).count();
  const double Early =
      std::max(EarlyOutcomes / static_cast<double>(Outcomes.size()),
               MinEarlyOutcomesOfRoute);
  double All = 0.0;
  double New = 0.0;
  for (const auto &[Name, Route] : Outcomes) {
    const auto Seen = static_cast<double>(Route.All);
    const auto Old = static_cast<double>(Route.All - Route.New);
    const auto OldFailed = static_cast<double>(Route.Failed - Route.NewFailed);
    // Where the old version hardly serves, more requests would show nothing.
    const bool Judgeable = OldFailed < MaxOldFailures * Old;
    const double Share =
        Judgeable && Rollout.Judge.doubtOn(Name)
            ? std::min(routing::CanaryShare + Early / (Seen * EarlyPart),
                       MaxCanaryShare)
            : routing::CanaryShare;
    Rollout.Routes.try_emplace(Name, RouteTrial{.Due = m_phase})
        .first->second.Share = Share;
    All += Seen;
    New += Share * Seen;
  }
  // Each change makes the dispatchers choose anew.
  if (std::abs(New / All - Rollout.CanaryShare) < MinShareChange)
    return false;
  Rollout.CanaryShare = New / All;
  return true;
}

FleetRollouts::VersionReplicas
FleetRollouts::countReplicas(const RolloutState &Rollout,
                             const routing::ReplicaTable &Replicas) {
  VersionReplicas Count;
  for (const auto &[Id, Candidate] : Replicas.all())
    if (Candidate.Record.Service == Rollout.Order.Service &&
        Replicas.admits(Candidate.Record))
      ++(Candidate.Record.Version == Rollout.Order.Version ? Count.New
                                                           : Count.Old);
  return Count;
}

double FleetRollouts::requiredPart(const RolloutState &Rollout, TimePoint Now) {
  return Now < timeAtFraction(Rollout, Rollout.Stage == RolloutStage::Canary
                                           ? MajorityFraction
                                           : UnprovenRollbackFraction)
             ? 1.0
             : ProvenMajority;
}

double FleetRollouts::rollbackFraction(const RolloutState &Rollout,
                                       TimePoint Now) {
  return Rollout.Stage == RolloutStage::Moving ||
                 verdict(Rollout, Now) == TrialVerdict::Unknown
             ? LateRollbackFraction
             : UnprovenRollbackFraction;
}

bool FleetRollouts::advance(RolloutState &Rollout,
                            const routing::ReplicaTable &Replicas,
                            TimePoint Now) {
  if (const auto &Finding = Rollout.Judge.finding()) {
    rollBack(Rollout,
             std::string(toString(Finding->Signal)) + " on " + Finding->Route +
                 " after " + std::to_string(Finding->Pairs) + " pairs",
             Now);
    return true;
  }
  const VersionReplicas Usable = countReplicas(Rollout, Replicas);
  const bool Spent = trialSpent(Rollout, Usable, Now);
  const bool SpentChanged = std::exchange(Rollout.TrialSpent, Spent) != Spent;
  const bool Canary = Rollout.Stage == RolloutStage::Canary;
  const bool Changed = (Canary && updateShares(Rollout, Now)) || SpentChanged;
  const TimePoint TrialEnd =
      Canary ? timeAtFraction(Rollout,
                              CompletionFraction - movingFraction(Rollout, Now))
             : completionTime(Rollout);
  if (Now < TrialEnd)
    return Changed;
  // What is not certainly bad may be tried, but must not be kept.
  if (const auto Suspicion = Rollout.Judge.suspicion()) {
    rollBack(Rollout, std::string(toString(*Suspicion)) + " suspected", Now);
    return true;
  }
  const bool EnoughReplicas =
      Usable.New > 0 &&
      static_cast<double>(Usable.New) >=
          MinNewReplicaRatio * static_cast<double>(Usable.Old);
  if (Canary && !EnoughReplicas)
    return Changed;
  const double Proven = provenPart(Rollout, Now);
  if (Proven >= requiredPart(Rollout, Now)) {
    if (!Canary)
      return Changed;
    changeStage(Rollout, RolloutStage::Moving, Now);
    return true;
  }
  // Without an old replica there is nothing to roll back to.
  if (Usable.Old == 0 ||
      Now < timeAtFraction(Rollout, rollbackFraction(Rollout, Now)))
    return Changed;
  const std::string Open = unproven(Rollout, Now);
  rollBack(Rollout,
           Open.empty() ? "not shown to be good to most daemons" : Open, Now);
  return true;
}

bool FleetRollouts::tick(const routing::ReplicaTable &Replicas, TimePoint Now) {
  bool Changed = false;
  for (auto &[Service, Rollout] : m_rollouts)
    if (rankOf(Rollout.Stage) <= 1)
      Changed = advance(Rollout, Replicas, Now) || Changed;
  return Changed;
}

std::vector<Replica *>
FleetRollouts::select(const std::string &Service,
                      const std::vector<Replica *> &Usable) const {
  for (Replica *Candidate : Usable)
    Candidate->CanaryShare = 0.0;
  const auto Entry = m_rollouts.find(Service);
  if (Entry == m_rollouts.end())
    return Usable;
  const RolloutState &Rollout = Entry->second;
  std::vector<Replica *> Old;
  std::vector<Replica *> New;
  for (Replica *Candidate : Usable)
    (Candidate->Record.Version == Rollout.Order.Version ? New : Old)
        .push_back(Candidate);
  switch (Rollout.Stage) {
  case RolloutStage::RolledBack:
    return Old;
  case RolloutStage::Completed:
    std::erase_if(Old, [&](const Replica *Candidate) {
      return Rollout.OldVersions.contains(Candidate->Record.Version);
    });
    New.insert(New.end(), Old.begin(), Old.end());
    return New.empty() ? Usable : New;
  case RolloutStage::Moving:
    if (Rollout.TrialSpent)
      return Old;
    return New.empty() ? Old : New;
  case RolloutStage::Canary:
    break;
  }
  if (Rollout.TrialSpent)
    return Old;
  // With replicas of only one version there is nothing to split.
  if (Old.empty() || New.empty())
    return Usable;
  const auto Canaries = static_cast<std::size_t>(
      std::ceil(Rollout.CanaryShare * static_cast<double>(New.size())));
  std::sort(New.begin(), New.end(), [](const Replica *A, const Replica *B) {
    return hashText(A->Record.Id) < hashText(B->Record.Id);
  });
  for (std::size_t I = 0; I < Canaries; ++I) {
    New[I]->CanaryShare = Rollout.CanaryShare;
    Old.push_back(New[I]);
  }
  return Old;
}

std::vector<Replica *> FleetRollouts::selectForRequest(
    const std::string &Service, const policy::RouteName &Route,
    const std::vector<Replica *> &Usable, bool Repeated,
    const std::set<routing::ReplicaId> &Excluded) {
  std::vector<Replica *> Out = select(Service, Usable);
  std::erase_if(Out, [&](const Replica *Candidate) {
    return Excluded.contains(Candidate->Record.Id);
  });
  const auto Entry = m_rollouts.find(Service);
  if (Entry == m_rollouts.end() || Entry->second.Stage != RolloutStage::Canary)
    return Out;
  const bool HasCanary = std::ranges::any_of(
      Out, [](const Replica *Candidate) { return Candidate->CanaryShare > 0; });
  if (!HasCanary)
    return Out;
  bool UseCanary = false;
  if (!Repeated) {
    RouteTrial &Trial =
        Entry->second.Routes.try_emplace(Route, RouteTrial{.Due = m_phase})
            .first->second;
    Trial.Due += Trial.Share;
    UseCanary = static_cast<double>(Trial.New + 1) <= Trial.Due + DueRounding;
    Trial.New += UseCanary ? 1U : 0U;
  }
  std::erase_if(Out, [&](const Replica *Candidate) {
    return (Candidate->CanaryShare > 0) != UseCanary;
  });
  return Out;
}

void FleetRollouts::recordSent(const routing::ReplicaRecord &Target) {
  const auto Entry = m_rollouts.find(Target.Service);
  if (Entry == m_rollouts.end())
    return;
  VersionRequests &Sent = Entry->second.Sent;
  ++Sent.All;
  Sent.New += Target.Version == Entry->second.Order.Version ? 1U : 0U;
}

bool FleetRollouts::admits(const routing::ReplicaRecord &Record) const {
  const auto Entry = m_rollouts.find(Record.Service);
  if (Entry == m_rollouts.end())
    return true;
  const RolloutState &Rollout = Entry->second;
  if (Rollout.Stage == RolloutStage::RolledBack)
    return Record.Version != Rollout.Order.Version;
  if (Rollout.Stage == RolloutStage::Completed)
    return !Rollout.OldVersions.contains(Record.Version);
  return true;
}

std::vector<FleetRollouts::Report> FleetRollouts::reports(TimePoint Now) const {
  std::vector<Report> Out;
  for (const auto &[Service, Rollout] : m_rollouts) {
    Report Next{.Order = Rollout.Order,
                .Stage = Rollout.Stage,
                .Since = Rollout.StageSince,
                .Reason = Rollout.Reason,
                .Phase = Rollout.Stage,
                .Sent = Rollout.fleetSent(),
                .New = Rollout.Judge.newOutcomes(),
                .Old = Rollout.Judge.oldOutcomes(),
                .Evidence = Rollout.Judge.evidence(),
                .Doubt = Rollout.Judge.doubt(),
                .CanaryShare = Rollout.CanaryShare,
                .Routes = Rollout.Judge.routeOutcomes()};
    const TimePoint Done = completionTime(Rollout);
    if (Rollout.Stage == RolloutStage::Moving) {
      const bool Complete =
          Now >= Done && !Rollout.Judge.finding() &&
          !Rollout.Judge.suspicion() &&
          provenPart(Rollout, Now) >= requiredPart(Rollout, Now);
      Next.Stage = Complete ? RolloutStage::Completed : RolloutStage::Canary;
      Next.Since = Complete ? Done : Rollout.Started;
    }
    Out.push_back(std::move(Next));
  }
  return Out;
}

} // namespace nutmegdrift::gateway
