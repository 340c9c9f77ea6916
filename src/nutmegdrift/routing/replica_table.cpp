// Replica records, their grace after an outage, and health from outcomes.
#include "nutmegdrift/routing/replica_table.h"

#include <algorithm>

namespace nutmegdrift::routing {

std::string_view toString(ReplicaOutcome Outcome) {
  switch (Outcome) {
  case ReplicaOutcome::Served:
    return "served";
  case ReplicaOutcome::Refused:
    return "refused";
  case ReplicaOutcome::Failed:
    return "failed";
  case ReplicaOutcome::Unreachable:
    return "unreachable";
  case ReplicaOutcome::Unresponsive:
    return "silent";
  case ReplicaOutcome::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

void ReplicaHealth::recordOutcome(ReplicaOutcome Outcome,
                                  double OthersFailureShare, TimePoint Now) {
  switch (Outcome) {
  case ReplicaOutcome::Abandoned:
  case ReplicaOutcome::Refused:
    return;
  case ReplicaOutcome::Served:
    m_failureShare -= Smoothing * m_failureShare;
    if (!ejected(Now))
      m_ejections = 0;
    return;
  case ReplicaOutcome::Unreachable:
  case ReplicaOutcome::Unresponsive:
    m_failureShare += Smoothing * (1.0 - m_failureShare);
    eject(Now);
    return;
  case ReplicaOutcome::Failed:
    m_failureShare += Smoothing * (1.0 - m_failureShare);
    if (onProbation(Now) ||
        m_failureShare > OthersFailureShare + ExcessFailureShare)
      eject(Now);
    return;
  }
}

void ReplicaHealth::eject(TimePoint Now) {
  if (ejected(Now))
    return;
  const Duration Pause =
      std::min(MinEjection * (1U << std::min(m_ejections, 4U)), MaxEjection);
  m_ejectedUntil = Now + Pause;
  ++m_ejections;
}

void ReplicaTable::replaceAll(const std::vector<ReplicaRecord> &Records,
                              TimePoint Now,
                              std::optional<TimePoint> KeepUntil) {
  std::set<ReplicaId> Listed;
  for (const ReplicaRecord &Record : Records) {
    Listed.insert(Record.Id);
    upsert(Record, Now);
  }
  std::vector<ReplicaId> Missing;
  for (const auto &[Id, Each] : m_replicas)
    if (!Listed.contains(Id))
      Missing.push_back(Id);
  for (const ReplicaId &Id : Missing)
    remove(Id, KeepUntil);
}

void ReplicaTable::upsert(const ReplicaRecord &Record, TimePoint Now) {
  m_leaving.erase(Record.Id);
  const auto [At, Inserted] = m_replicas.try_emplace(Record.Id);
  Replica &Each = At->second;
  if (!Inserted && Each.Record == Record)
    return;
  // A start under the same id is another replica.
  if (!Inserted && Each.Record.StartMillis != Record.StartMillis)
    Each.Health = {};
  Each.Record = Record;
  Each.ColdUntil = Now + Record.ColdRemaining;
  ++m_generation;
}

void ReplicaTable::remove(const ReplicaId &Id,
                          std::optional<TimePoint> KeepUntil) {
  if (!m_replicas.contains(Id))
    return;
  if (KeepUntil) {
    m_leaving.try_emplace(Id, *KeepUntil);
    return;
  }
  m_replicas.erase(Id);
  m_leaving.erase(Id);
  ++m_generation;
}

std::vector<ReplicaId> ReplicaTable::expire(TimePoint Now) {
  std::vector<ReplicaId> Gone;
  for (const auto &[Id, Until] : m_leaving)
    if (Until <= Now)
      Gone.push_back(Id);
  for (const ReplicaId &Id : Gone)
    remove(Id, std::nullopt);
  return Gone;
}

void ReplicaTable::setEvacuated(std::set<std::string> Zones) {
  m_evacuated = std::move(Zones);
  ++m_generation;
}

Replica *ReplicaTable::find(const ReplicaId &Id) {
  const auto Found = m_replicas.find(Id);
  return Found == m_replicas.end() ? nullptr : &Found->second;
}

bool ReplicaTable::admits(const ReplicaRecord &Record) const {
  return !Record.Draining && !m_evacuated.contains(Record.Zone);
}

std::vector<Replica *> ReplicaTable::usable(std::string_view Service) {
  std::vector<Replica *> Found;
  for (auto &[Id, Each] : m_replicas)
    if (Each.Record.Service == Service && admits(Each.Record))
      Found.push_back(&Each);
  return Found;
}

double ReplicaTable::othersFailureShare(const Replica &Of) const {
  double Sum = 0.0;
  std::size_t Count = 0;
  for (const auto &[Id, Each] : m_replicas) {
    if (&Each == &Of || Each.Record.Service != Of.Record.Service)
      continue;
    Sum += Each.Health.failureShare();
    ++Count;
  }
  return Count == 0 ? 1.0 : Sum / static_cast<double>(Count);
}

Replica *pickLeastUsed(const std::vector<Replica *> &Usable,
                       const PickLimits &Limits, TimePoint Now,
                       std::uint64_t Draw) {
  // Replicas that are out come last, so that a service of which all replicas
  // fail is still tried.
  auto Rank = [&](const Replica &Each) {
    const bool Busy = Each.Health.onProbation(Now) && Each.InFlight > 0;
    return std::make_tuple(Each.Health.ejected(Now) || Busy, Each.InFlight,
                           hashText(Each.Record.Id, Draw));
  };
  auto Cold = [&](const Replica &Each) {
    return Limits.ColdPerSecond >= 0.0 && Now < Each.ColdUntil;
  };
  Replica *Best = nullptr;
  for (Replica *Each : Usable) {
    if (Limits.Tried.contains(Each->Record.Id))
      continue;
    if (Cold(*Each)) {
      Each->Cold.refill(Limits.ColdPerSecond, Now);
      if (!Each->Cold.available())
        continue;
    }
    if (!Best || Rank(*Each) < Rank(*Best))
      Best = Each;
  }
  if (Best && Cold(*Best))
    Best->Cold.consume();
  return Best;
}

} // namespace nutmegdrift::routing
