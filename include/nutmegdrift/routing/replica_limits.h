// Request rates that replicas name in their answers.
#ifndef NUTMEGDRIFT_ROUTING_REPLICA_LIMITS_H
#define NUTMEGDRIFT_ROUTING_REPLICA_LIMITS_H

#include "nutmegdrift/routing/replica_table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::routing {

/// The limit of one replica.
struct NamedLimit {
  std::string Service;
  ReplicaId Replica;
  double PerSecond = 0.0; ///< Requests, from all callers together.
  Duration Age{0};        ///< Since the replica last named it.

  friend bool operator==(const NamedLimit &, const NamedLimit &) = default;
};

/// The newest limit of each replica, from answers and from other daemons. Not
/// thread-safe.
class ReplicaLimits {
public:
  /// A limit is in force until answers have come without it for this long,
  /// because answers on several connections overtake each other.
  static constexpr Duration ClearDelay = std::chrono::seconds(1);
  /// A limit without any further answer is dropped after this time, or the
  /// time of RetainedRequests at its rate.
  static constexpr Duration MinRetention = std::chrono::seconds(10);
  static constexpr double RetainedRequests = 3.0;

  /// An answer of the replica was received. Limit: as it named it, if it did.
  void observe(const std::string &Service, const ReplicaId &Replica,
               std::optional<double> Limit, TimePoint Now);
  /// Another daemon reports a limit.
  void merge(const NamedLimit &Reported, TimePoint Now);
  [[nodiscard]] bool empty() const { return m_limits.empty(); }
  [[nodiscard]] std::optional<double> find(const ReplicaId &Replica,
                                           TimePoint Now) const;
  /// Whether a replica of the service has a limit.
  [[nodiscard]] bool limited(const std::string &Service, TimePoint Now) const;
  /// The limits of a service's replicas.
  [[nodiscard]] std::vector<NamedLimit> of(const std::string &Service,
                                           TimePoint Now) const;
  [[nodiscard]] std::size_t size() const { return m_limits.size(); }
  /// Drops limits that are no longer in force.
  void expire(TimePoint Now);

private:
  struct Entry {
    std::string Service;
    double PerSecond = 0.0;
    TimePoint NamedAt{};
  };

  [[nodiscard]] static bool inForce(const Entry &Value, TimePoint Now);

  std::map<ReplicaId, Entry> m_limits;
};

} // namespace nutmegdrift::routing

#endif
