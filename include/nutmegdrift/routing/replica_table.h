// The replicas that may be used, as the platform's list and the requests sent
// to them show.
#ifndef NUTMEGDRIFT_ROUTING_REPLICA_TABLE_H
#define NUTMEGDRIFT_ROUTING_REPLICA_TABLE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/routing/cold_allowance.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegdrift::routing {

using ReplicaId = std::string;

/// One replica as it registered itself.
struct ReplicaRecord {
  ReplicaId Id;
  std::string Service;
  HostPort Address;
  std::string Zone;
  std::string Version; ///< Of its software.
  unsigned Slots = 1;
  bool Draining = false;
  Duration ColdRemaining{0};    ///< When the record was written.
  std::int64_t StartMillis = 0; ///< Unix time of its start; 0: unknown.

  friend bool operator==(const ReplicaRecord &,
                         const ReplicaRecord &) = default;
};

/// How a request at a replica ended, as far as the replica's health goes.
enum class ReplicaOutcome {
  Served,
  Refused,      ///< It said that it did not run the request.
  Failed,       ///< A server error, a broken or unreadable answer.
  Unreachable,  ///< No connection.
  Unresponsive, ///< No answer in time.
  Abandoned,    ///< Ended by the caller; says nothing about the replica.
};

/// "served", "refused", "failed", "unreachable", "silent" or "abandoned".
std::string_view toString(ReplicaOutcome Outcome);

/// Takes replicas that fail out for a while and tries them again with one
/// request at a time.
class ReplicaHealth {
public:
  /// Share of failures above that of the other replicas at which a replica is
  /// taken out. Services fail some requests in normal operation.
  static constexpr double ExcessFailureShare = 0.3;
  /// Weight of the newest outcome in the moving share of failures.
  static constexpr double Smoothing = 0.15;
  static constexpr Duration MinEjection = std::chrono::milliseconds(700);
  static constexpr Duration MaxEjection = std::chrono::seconds(5);

  void recordOutcome(ReplicaOutcome Outcome, double OthersFailureShare,
                     TimePoint Now);
  [[nodiscard]] bool ejected(TimePoint Now) const {
    return Now < m_ejectedUntil;
  }
  /// Back from a pause and not yet proved; takes one request at a time.
  [[nodiscard]] bool onProbation(TimePoint Now) const {
    return m_ejections > 0 && !ejected(Now);
  }
  [[nodiscard]] double failureShare() const { return m_failureShare; }

private:
  void eject(TimePoint Now);

  double m_failureShare = 0.0;
  unsigned m_ejections = 0; ///< In a row, without a served request since.
  TimePoint m_ejectedUntil{};
};

/// Part of the requests that the canary replicas of a new version get. A bad
/// version may get a tenth until its move is over; half of that leaves room for
/// the move itself and for daemons that count apart.
inline constexpr double CanaryShare = 0.05;

/// One replica and what this daemon knows of it.
struct Replica {
  ReplicaRecord Record;
  TimePoint ColdUntil{};
  ReplicaHealth Health{};
  unsigned InFlight = 0; ///< Requests of this daemon.
  ColdAllowance Cold{};  ///< For requests that need no dispatcher.
  bool Canary = false;   ///< Gets only CanaryShare of the requests.
};

/// All replicas by id. Not thread-safe.
class ReplicaTable {
public:
  /// Entries that lapsed while the platform's store was away are back by this
  /// time after its return if the replica lives.
  static constexpr Duration LapseGrace = std::chrono::milliseconds(2200);

  /// A whole list. Replicas missing from it leave, at once or at KeepUntil.
  void replaceAll(const std::vector<ReplicaRecord> &Records, TimePoint Now,
                  std::optional<TimePoint> KeepUntil);
  void upsert(const ReplicaRecord &Record, TimePoint Now);
  /// KeepUntil is a time and not a length: a replica that leaves just before
  /// the grace of an outage ends must not be used beyond it.
  void remove(const ReplicaId &Id, std::optional<TimePoint> KeepUntil);
  /// Removes replicas whose time has come; returns their ids.
  std::vector<ReplicaId> expire(TimePoint Now);
  void setEvacuated(std::set<std::string> Zones);

  [[nodiscard]] Replica *find(const ReplicaId &Id);
  [[nodiscard]] const std::map<ReplicaId, Replica> &all() const {
    return m_replicas;
  }
  [[nodiscard]] const std::set<std::string> &evacuated() const {
    return m_evacuated;
  }
  /// Whether new requests may go to the replica.
  [[nodiscard]] bool admits(const ReplicaRecord &Record) const;
  /// The replicas of a service that admit requests, by id.
  [[nodiscard]] std::vector<Replica *> usable(std::string_view Service);
  /// Mean share of failures of the other replicas of this one's service.
  [[nodiscard]] double othersFailureShare(const Replica &Of) const;
  /// Moves with each change of the set or of a record.
  [[nodiscard]] std::uint64_t generation() const { return m_generation; }

private:
  std::map<ReplicaId, Replica> m_replicas;
  std::map<ReplicaId, TimePoint> m_leaving; ///< Lapsed entries and their end.
  std::set<std::string> m_evacuated;
  std::uint64_t m_generation = 0;
};

/// What bounds a choice of pickLeastUsed.
struct PickLimits {
  std::set<ReplicaId> Tried{}; ///< Left out.
  /// Requests a second that this daemon may send to a cold replica; negative:
  /// no limit.
  double ColdPerSecond = -1.0;
};

/// Picks a replica of a plain service: the least used one of this daemon's
/// requests that is healthy. Null if none is left.
Replica *pickLeastUsed(const std::vector<Replica *> &Usable,
                       const PickLimits &Limits, TimePoint Now,
                       std::uint64_t Draw);

} // namespace nutmegdrift::routing

#endif
