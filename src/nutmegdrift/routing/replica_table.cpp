// Replica records, their grace period after an outage, and replica health.
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
  const Duration Ejection =
      std::min(MinEjection * (1U << std::min(m_ejections, 4U)), MaxEjection);
  m_ejectedUntil = Now + Ejection;
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
  for (const auto &[Id, Entry] : m_replicas)
    if (!Listed.contains(Id))
      Missing.push_back(Id);
  for (const ReplicaId &Id : Missing)
    remove(Id, KeepUntil);
}

void ReplicaTable::restoreAll(const std::vector<ReplicaRecord> &Records,
                              TimePoint Now, TimePoint KeepUntil) {
  std::vector<ReplicaRecord> Current;
  for (const ReplicaRecord &Record : Records) {
    const auto Gone = m_departures.find(Record.Id);
    if (Gone == m_departures.end() ||
        Gone->second.StartMillis != Record.StartMillis)
      Current.push_back(Record);
  }
  replaceAll(Current, Now, KeepUntil);
}

bool ReplicaTable::leaves(const ReplicaRecord &Record) const {
  const auto Known = m_replicas.find(Record.Id);
  if (Known != m_replicas.end() &&
      Known->second.Record.StartMillis == Record.StartMillis)
    return Known->second.Record.Draining || Known->second.Leaving;
  const auto Gone = m_departures.find(Record.Id);
  return Gone != m_departures.end() && Gone->second.Leaving &&
         Gone->second.StartMillis == Record.StartMillis;
}

void ReplicaTable::upsert(const ReplicaRecord &Received, TimePoint Now) {
  ReplicaRecord Record = Received;
  // Two starts without a known time can't be told apart.
  Record.Draining =
      Record.Draining || (Record.StartMillis != 0 && leaves(Record));
  m_removalTimes.erase(Record.Id);
  m_departures.erase(Record.Id);
  const auto [Entry, Inserted] = m_replicas.try_emplace(Record.Id);
  Replica &Current = Entry->second;
  if (!Inserted && Current.Record == Record)
    return;
  // A process restarted under the same id is a new replica.
  if (!Inserted && Current.Record.StartMillis != Record.StartMillis) {
    Current.Health = {};
    Current.Leaving = false;
    Current.PausedUntil = {};
  }
  Current.Record = Record;
  Current.ColdUntil = Now + Record.ColdRemaining;
  ++m_generation;
}

void ReplicaTable::remove(const ReplicaId &Id,
                          std::optional<TimePoint> KeepUntil) {
  const auto Known = m_replicas.find(Id);
  if (Known == m_replicas.end())
    return;
  if (KeepUntil) {
    m_removalTimes.try_emplace(Id, *KeepUntil);
    return;
  }
  m_departures[Id] = {.StartMillis = Known->second.Record.StartMillis,
                      .Leaving = Known->second.Record.Draining ||
                                 Known->second.Leaving};
  m_replicas.erase(Known);
  m_removalTimes.erase(Id);
  ++m_generation;
}

std::vector<ReplicaId> ReplicaTable::expire(TimePoint Now) {
  for (auto &[Id, Left] : m_departures)
    Left.ForgetAt = Left.ForgetAt.value_or(Now + DepartureMemory);
  std::erase_if(m_departures, [&](const auto &Entry) {
    return *Entry.second.ForgetAt <= Now;
  });
  std::vector<ReplicaId> Removed;
  for (const auto &[Id, Until] : m_removalTimes)
    if (Until <= Now)
      Removed.push_back(Id);
  for (const ReplicaId &Id : Removed)
    remove(Id, std::nullopt);
  return Removed;
}

void ReplicaTable::setEvacuated(std::set<std::string> Zones) {
  m_evacuated = std::move(Zones);
  ++m_generation;
}

Replica *ReplicaTable::find(const ReplicaId &Id) {
  const auto Entry = m_replicas.find(Id);
  return Entry == m_replicas.end() ? nullptr : &Entry->second;
}

bool ReplicaTable::admits(const ReplicaRecord &Record) const {
  return !Record.Draining && !m_evacuated.contains(Record.Zone);
}

std::vector<Replica *> ReplicaTable::usable(std::string_view Service) {
  std::vector<Replica *> Usable;
  for (auto &[Id, Entry] : m_replicas)
    if (Entry.Record.Service == Service && admits(Entry.Record))
      Usable.push_back(&Entry);
  return Usable;
}

void ReplicaTable::addDeclining(std::string_view Service, TimePoint Now,
                                std::set<ReplicaId> &Declining) const {
  for (const auto &[Id, Entry] : m_replicas)
    if (Entry.declines(Now) && Entry.Record.Service == Service)
      Declining.insert(Id);
}

std::optional<TimePoint> ReplicaTable::pauseEnd(std::string_view Service,
                                                TimePoint Now) const {
  std::optional<TimePoint> First;
  for (const auto &[Id, Entry] : m_replicas)
    if (Entry.Record.Service == Service && !Entry.Leaving &&
        Now < Entry.PausedUntil && admits(Entry.Record))
      First = std::min(First.value_or(Entry.PausedUntil), Entry.PausedUntil);
  return First;
}

double ReplicaTable::othersFailureShare(const Replica &Excluded) const {
  double Sum = 0.0;
  std::size_t Count = 0;
  for (const auto &[Id, Other] : m_replicas) {
    if (&Other == &Excluded || Other.Record.Service != Excluded.Record.Service)
      continue;
    Sum += Other.Health.failureShare();
    ++Count;
  }
  return Count == 0 ? 1.0 : Sum / static_cast<double>(Count);
}

Replica *pickLeastUsed(const std::vector<Replica *> &Usable,
                       const PickLimits &Limits, TimePoint Now,
                       std::uint64_t Draw) {
  // Ejected replicas come last, so that requests are still sent when all
  // replicas of the service fail.
  auto Rank = [&](const Replica &Candidate) {
    const bool Busy =
        Candidate.Health.onProbation(Now) && Candidate.InFlight > 0;
    return std::make_tuple(Candidate.Health.ejected(Now) || Busy,
                           Candidate.InFlight,
                           hashText(Candidate.Record.Id, Draw));
  };
  auto Cold = [&](const Replica &Candidate) {
    return Limits.ColdPerSecond >= 0.0 && Now < Candidate.ColdUntil;
  };
  Replica *Best = nullptr;
  for (Replica *Candidate : Usable) {
    if (Limits.Tried.contains(Candidate->Record.Id))
      continue;
    if (Cold(*Candidate)) {
      Candidate->Cold.refill(Limits.ColdPerSecond, Now);
      if (!Candidate->Cold.available())
        continue;
    }
    if (!Best || Rank(*Candidate) < Rank(*Best))
      Best = Candidate;
  }
  if (Best && Cold(*Best))
    Best->Cold.consume();
  return Best;
}

} // namespace nutmegdrift::routing
