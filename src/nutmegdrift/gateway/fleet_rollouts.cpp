// Stages of roll-outs and the choice of replicas in each.
#include "nutmegdrift/gateway/fleet_rollouts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegdrift::gateway {

namespace {

using routing::Replica;

/// A stage that a higher one replaces. A version that one daemon found bad is
/// bad for all.
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

TimePoint FleetRollouts::after(const Move &Of, double Part) {
  return Of.Started +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Of.Order.Length) * Part);
}

double FleetRollouts::movingPart(const Move &Of, std::size_t Daemons,
                                 TimePoint Now) {
  const double Elapsed =
      std::chrono::duration<double>(Now - Of.Started).count();
  const double Length = std::chrono::duration<double>(Of.Order.Length).count();
  if (Of.Answered == 0 || Elapsed <= 0.0)
    return MaxMovingFraction;
  const double Requests =
      static_cast<double>(Of.Answered * Daemons) / Elapsed * Length;
  return std::min(MinMovingFraction + MovingRequestAllowance / Requests,
                  MaxMovingFraction);
}

bool FleetRollouts::hasUrgentOutcomes() const {
  return !m_noted.empty() &&
         std::any_of(m_moves.begin(), m_moves.end(), [](const auto &Each) {
           return Each.second.Stage == RolloutStage::Moving;
         });
}

void FleetRollouts::applyOrder(const RolloutOrder &Order, TimePoint Now) {
  const auto Known = m_moves.find(Order.Service);
  if (Known != m_moves.end() && Known->second.Order == Order)
    return;
  Move Fresh{.Order = Order, .Started = Now, .StageSince = Now};
  const auto Early = m_early.find(Order.Service);
  if (Early != m_early.end()) {
    const auto &[Said, At] = Early->second;
    if (Said.Version == Order.Version) {
      Fresh.Started = At - Said.Elapsed;
      Fresh.Stage = Said.Stage;
    }
    m_early.erase(Early);
  }
  m_moves[Order.Service] = std::move(Fresh);
}

void FleetRollouts::withdraw(const std::string &Service) {
  m_moves.erase(Service);
  m_early.erase(Service);
}

void FleetRollouts::changeStage(Move &Of, RolloutStage To, TimePoint Now) {
  Of.Stage = To;
  Of.StageSince = Now;
}

void FleetRollouts::recordResult(const std::string &Service,
                                 const std::string &Version, RolloutStage Stage,
                                 const routing::ReplicaTable &Replicas) {
  const auto Found = m_moves.find(Service);
  if (Found == m_moves.end() || Found->second.Order.Version != Version)
    return;
  Move &Of = Found->second;
  if (Stage == RolloutStage::Completed)
    for (const auto &[Id, Each] : Replicas.all())
      if (Each.Record.Service == Service && Each.Record.Version != Version)
        Of.OldVersions.insert(Each.Record.Version);
  Of.Stage = Stage;
}

void FleetRollouts::recordOutcome(const std::string &Service,
                                  const std::string &Version,
                                  policy::VersionSample Sample) {
  const auto Found = m_moves.find(Service);
  if (Found == m_moves.end() || rankOf(Found->second.Stage) > 1)
    return;
  ++Found->second.Answered;
  Sample.FromNewVersion = Version == Found->second.Order.Version;
  Found->second.Judge.add(Sample);
  const auto Told =
      std::count_if(m_noted.begin(), m_noted.end(), [&](const auto &Each) {
        return Each.Sample.FromNewVersion == Sample.FromNewVersion;
      });
  if (static_cast<std::size_t>(Told) <
      (Sample.FromNewVersion ? MaxReportedNew : MaxReportedOld))
    m_noted.push_back({.Service = Service,
                       .Version = Found->second.Order.Version,
                       .Sample = std::move(Sample)});
}

std::vector<RolloutOutcome> FleetRollouts::drainOutcomes() {
  return std::exchange(m_noted, {});
}

std::vector<RolloutStatus> FleetRollouts::statuses(TimePoint Now) const {
  std::vector<RolloutStatus> Out;
  for (const auto &[Service, Of] : m_moves)
    Out.push_back({.Service = Service,
                   .Version = Of.Order.Version,
                   .Stage = Of.Stage,
                   .Elapsed = std::chrono::duration_cast<Milliseconds>(
                       Now - Of.Started)});
  return Out;
}

bool FleetRollouts::receive(const std::vector<RolloutStatus> &News,
                            const std::vector<RolloutOutcome> &Outcomes,
                            TimePoint Now) {
  bool Changed = false;
  for (const RolloutStatus &Said : News) {
    const auto Found = m_moves.find(Said.Service);
    if (Found == m_moves.end()) {
      m_early[Said.Service] = {Said, Now};
      continue;
    }
    Move &Of = Found->second;
    if (Of.Order.Version != Said.Version)
      continue;
    Of.Started = std::min(Of.Started, Now - Said.Elapsed);
    if (rankOf(Said.Stage) <= rankOf(Of.Stage))
      continue;
    if (Said.Stage == RolloutStage::RolledBack)
      Of.Reason = "found by another daemon";
    changeStage(Of, Said.Stage, Now);
    Changed = true;
  }
  for (const RolloutOutcome &Each : Outcomes) {
    const auto Found = m_moves.find(Each.Service);
    if (Found == m_moves.end() || Found->second.Order.Version != Each.Version ||
        rankOf(Found->second.Stage) > 1)
      continue;
    policy::VersionSample Sample = Each.Sample;
    Sample.CompletedAt = Now;
    Found->second.Judge.add(Sample);
  }
  return Changed;
}

bool FleetRollouts::tick(const routing::ReplicaTable &Replicas,
                         std::size_t Daemons, TimePoint Now) {
  bool Changed = false;
  for (auto &[Service, Of] : m_moves) {
    if (rankOf(Of.Stage) > 1)
      continue;
    if (const auto &Finding = Of.Judge.finding()) {
      Of.Reason = std::string(toString(Finding->Signal)) + " on " +
                  Finding->Route + " after " + std::to_string(Finding->Pairs) +
                  " pairs";
      changeStage(Of, RolloutStage::RolledBack, Now);
      Changed = true;
      continue;
    }
    if (Of.Stage != RolloutStage::Canary ||
        Now < after(Of, CompletionFraction - movingPart(Of, Daemons, Now)))
      continue;
    std::size_t Fresh = 0;
    std::size_t Old = 0;
    for (const auto &[Id, Each] : Replicas.all())
      if (Each.Record.Service == Service && Replicas.admits(Each.Record))
        ++(Each.Record.Version == Of.Order.Version ? Fresh : Old);
    if (Fresh == 0 || static_cast<double>(Fresh) <
                          MinNewReplicaRatio * static_cast<double>(Old))
      continue;
    changeStage(Of, RolloutStage::Moving, Now);
    Changed = true;
  }
  return Changed;
}

std::vector<Replica *>
FleetRollouts::select(const std::string &Service,
                      const std::vector<Replica *> &Usable) const {
  for (Replica *Each : Usable)
    Each->Canary = false;
  const auto Found = m_moves.find(Service);
  if (Found == m_moves.end())
    return Usable;
  const Move &Of = Found->second;
  std::vector<Replica *> Old;
  std::vector<Replica *> Fresh;
  for (Replica *Each : Usable)
    (Each->Record.Version == Of.Order.Version ? Fresh : Old).push_back(Each);
  switch (Of.Stage) {
  case RolloutStage::RolledBack:
    return Old;
  case RolloutStage::Completed:
    std::erase_if(Old, [&](const Replica *Each) {
      return Of.OldVersions.contains(Each->Record.Version);
    });
    Fresh.insert(Fresh.end(), Old.begin(), Old.end());
    return Fresh.empty() ? Usable : Fresh;
  case RolloutStage::Moving:
    return Fresh.empty() ? Old : Fresh;
  case RolloutStage::Canary:
    break;
  }
  // Without an old replica the new ones are all there is.
  if (Old.empty() || Fresh.empty())
    return Usable;
  const auto Canaries = static_cast<std::size_t>(
      std::ceil(routing::CanaryShare * static_cast<double>(Fresh.size())));
  std::sort(Fresh.begin(), Fresh.end(), [](const Replica *A, const Replica *B) {
    return hashText(A->Record.Id) < hashText(B->Record.Id);
  });
  for (std::size_t I = 0; I < Canaries; ++I) {
    Fresh[I]->Canary = true;
    Old.push_back(Fresh[I]);
  }
  return Old;
}

std::vector<Replica *>
FleetRollouts::selectForRequest(const std::string &Service,
                                const std::vector<Replica *> &Usable,
                                bool Repeated) const {
  std::vector<Replica *> Out = select(Service, Usable);
  const auto Found = m_moves.find(Service);
  if (Found == m_moves.end() || Found->second.Stage != RolloutStage::Canary)
    return Out;
  const Move &Of = Found->second;
  const bool Turn =
      !Repeated && static_cast<double>(Of.SentCanary + 1) <=
                       routing::CanaryShare * static_cast<double>(Of.Sent + 1);
  const bool Any = std::any_of(
      Out.begin(), Out.end(), [](const Replica *Each) { return Each->Canary; });
  if (Any)
    std::erase_if(Out,
                  [&](const Replica *Each) { return Each->Canary != Turn; });
  return Out;
}

void FleetRollouts::recordSent(const routing::ReplicaRecord &To) {
  const auto Found = m_moves.find(To.Service);
  if (Found == m_moves.end())
    return;
  ++Found->second.Sent;
  Found->second.SentCanary +=
      To.Version == Found->second.Order.Version ? 1U : 0U;
}

bool FleetRollouts::admits(const routing::ReplicaRecord &Record) const {
  const auto Found = m_moves.find(Record.Service);
  if (Found == m_moves.end())
    return true;
  const Move &Of = Found->second;
  if (Of.Stage == RolloutStage::RolledBack)
    return Record.Version != Of.Order.Version;
  if (Of.Stage == RolloutStage::Completed)
    return !Of.OldVersions.contains(Record.Version);
  return true;
}

std::vector<FleetRollouts::Report> FleetRollouts::reports(TimePoint Now) const {
  std::vector<Report> Out;
  for (const auto &[Service, Of] : m_moves) {
    Report Next{.Order = Of.Order,
                .Stage = Of.Stage,
                .Since = Of.StageSince,
                .Reason = Of.Reason};
    // A move that began late still takes its least time.
    const TimePoint Done =
        std::max(after(Of, CompletionFraction),
                 Of.StageSince + (after(Of, MinMovingFraction) - Of.Started));
    if (Of.Stage == RolloutStage::Moving) {
      Next.Stage = Now >= Done ? RolloutStage::Completed : RolloutStage::Canary;
      Next.Since = Now >= Done ? Done : Of.Started;
    }
    Out.push_back(std::move(Next));
  }
  return Out;
}

} // namespace nutmegdrift::gateway
