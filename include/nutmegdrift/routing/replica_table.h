// The replicas listed by the platform, with their health as requests show it.
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

/// A replica's own registration.
struct ReplicaRecord {
  ReplicaId Id;
  std::string Service;
  HostPort Address;
  std::string Zone;
  std::string Version; ///< Of its software.
  unsigned Slots = 1;
  bool Draining = false;
  Duration ColdRemaining{0};    ///< As of the writing of the record.
  std::int64_t StartMillis = 0; ///< Unix time of its start; 0: unknown.

  friend bool operator==(const ReplicaRecord &,
                         const ReplicaRecord &) = default;
};

/// The result of a request, as it affects the health of its replica.
enum class ReplicaOutcome {
  Served,
  Refused,      ///< The replica reported that it did not run the request.
  Failed,       ///< Server error, or a truncated or malformed answer.
  Unreachable,  ///< No connection.
  Unresponsive, ///< No answer in time.
  Abandoned,    ///< Ended by the caller; does not affect the health.
};

/// "served", "refused", "failed", "unreachable", "silent" or "abandoned".
std::string_view toString(ReplicaOutcome Outcome);

/// Ejects a failing replica for some time, then admits one request at a time
/// until one is served.
class ReplicaHealth {
public:
  /// A replica is ejected if its share of failures exceeds that of the other
  /// replicas by more than this. Services fail some requests in normal
  /// operation.
  static constexpr double ExcessFailureShare = 0.3;
  /// Weight of the newest outcome in the moving average of failures.
  static constexpr double Smoothing = 0.15;
  static constexpr Duration MinEjection = std::chrono::milliseconds(700);
  static constexpr Duration MaxEjection = std::chrono::seconds(5);

  void recordOutcome(ReplicaOutcome Outcome, double OthersFailureShare,
                     TimePoint Now);
  [[nodiscard]] bool ejected(TimePoint Now) const {
    return Now < m_ejectedUntil;
  }
  /// Whether an ejection is over and no request has been served since. The
  /// replica then gets one request at a time.
  [[nodiscard]] bool onProbation(TimePoint Now) const {
    return m_ejections > 0 && !ejected(Now);
  }
  [[nodiscard]] double failureShare() const { return m_failureShare; }

private:
  void eject(TimePoint Now);

  double m_failureShare = 0.0;
  unsigned m_ejections = 0; ///< Since the last served request.
  TimePoint m_ejectedUntil{};
};

/// Share of the requests that the canary replicas of a new version get, after a
/// larger one at first. A bad version may get a tenth until its rollout has
/// ended; half of that leaves room for the rollout itself and for daemons that
/// count separately.
inline constexpr double CanaryShare = 0.05;

/// A replica with this daemon's state of it.
struct Replica {
  ReplicaRecord Record;
  TimePoint ColdUntil{};
  ReplicaHealth Health{};
  unsigned InFlight = 0; ///< This daemon's requests.
  ColdAllowance Cold{};  ///< For requests without a dispatcher.
  /// Share of the requests that the canary replicas of its service get
  /// together; 0 if it is none.
  double CanaryShare = 0.0;
  /// As this start of the replica said in its answers to this daemon.
  bool Leaving = false;
  TimePoint PausedUntil{};

  /// Whether the replica asked this daemon for no more requests.
  [[nodiscard]] bool declines(TimePoint Now) const {
    return Leaving || Now < PausedUntil;
  }
};

/// All replicas by id. Not thread-safe.
class ReplicaTable {
public:
  /// Time after an outage of the platform's store in which live replicas renew
  /// the entries that lapsed during it.
  static constexpr Duration LapseGrace = std::chrono::milliseconds(2200);
  /// Replicas that left within this time are remembered for restoreAll().
  static constexpr Duration DepartureMemory = std::chrono::seconds(60);

  /// Applies a complete list. Replicas missing from it are removed, at once or
  /// at KeepUntil.
  void replaceAll(const std::vector<ReplicaRecord> &Records, TimePoint Now,
                  std::optional<TimePoint> KeepUntil);
  /// Applies a complete list of a store that was restored from an older copy. A
  /// replica that was gone before stays so, as long as the list has the same
  /// start of it. Replicas missing from it are removed at KeepUntil.
  void restoreAll(const std::vector<ReplicaRecord> &Records, TimePoint Now,
                  TimePoint KeepUntil);
  /// Applies one record. A start of a replica that was draining stays so,
  /// whatever later records of it say.
  void upsert(const ReplicaRecord &Record, TimePoint Now);
  /// Removes a replica, at once or at KeepUntil. This is a time and not a
  /// length, so that a replica that lapses just before the grace period of an
  /// outage ends is not used beyond it.
  void remove(const ReplicaId &Id, std::optional<TimePoint> KeepUntil);
  /// Removes the replicas whose KeepUntil has passed; returns their ids.
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
  /// Adds the replicas of a service that decline requests to Declining.
  void addDeclining(std::string_view Service, TimePoint Now,
                    std::set<ReplicaId> &Declining) const;
  /// When the first of a service's paused replicas accepts requests again; none
  /// if no replica is paused.
  [[nodiscard]] std::optional<TimePoint> pauseEnd(std::string_view Service,
                                                  TimePoint Now) const;
  /// Mean share of failures of the other replicas of Excluded's service; 1 if
  /// there are none.
  [[nodiscard]] double othersFailureShare(const Replica &Excluded) const;
  /// Incremented with each change of the set or of a record.
  [[nodiscard]] std::uint64_t generation() const { return m_generation; }

private:
  /// Whether this start of the replica was draining or said that it leaves.
  [[nodiscard]] bool leaves(const ReplicaRecord &Record) const;

  std::map<ReplicaId, Replica> m_replicas;
  std::map<ReplicaId, TimePoint> m_removalTimes; ///< Of lapsed entries.
  struct Departure {
    std::int64_t StartMillis = 0;
    bool Leaving = false; ///< It was draining, or said that it leaves.
    std::optional<TimePoint> ForgetAt{}; ///< Set by the next expire().
  };
  std::map<ReplicaId, Departure> m_departures;
  std::set<std::string> m_evacuated;
  std::uint64_t m_generation = 0;
};

/// Constraints of pickLeastUsed().
struct PickLimits {
  std::set<ReplicaId> Tried{}; ///< Not picked again.
  /// Requests per second that this daemon may send to a cold replica; negative:
  /// no limit.
  double ColdPerSecond = -1.0;
};

/// Picks a replica of a plain service: a healthy one with the fewest requests
/// of this daemon, or an ejected one if there is no other. Null if Limits
/// exclude all. Draw breaks ties.
Replica *pickLeastUsed(const std::vector<Replica *> &Usable,
                       const PickLimits &Limits, TimePoint Now,
                       std::uint64_t Draw);

} // namespace nutmegdrift::routing

#endif
