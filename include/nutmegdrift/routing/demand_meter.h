// The demand for a service, in replicas that it would keep busy.
#ifndef NUTMEGDRIFT_ROUTING_DEMAND_METER_H
#define NUTMEGDRIFT_ROUTING_DEMAND_METER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/routing/replica_table.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::routing {

/// What a dispatcher measured in the last second.
struct DemandSummary {
  std::string Service;
  /// Replicas that the offered requests would keep busy.
  double Replicas = 0.0;
  /// Part of the offered requests that were refused or still wait.
  double UnservedShare = 0.0;
  std::chrono::milliseconds Measured{0}; ///< Since the first offered request.
  /// Replicas that serve no requests although they are listed.
  std::vector<ReplicaId> Failing;

  friend bool operator==(const DemandSummary &,
                         const DemandSummary &) = default;
};

/// Sums the requests that are offered to a dispatcher. A request that returns
/// after a refusal is not counted again. Not thread-safe.
class DemandMeter {
public:
  /// The sums cover this time, in steps of its part; heartbeats of a dispatcher
  /// are twice as frequent.
  static constexpr Duration Length = std::chrono::seconds(1);
  static constexpr std::size_t Buckets = 4;

  /// Of a mean replica.
  struct Capacity {
    double ReadTokensPerSecond = 0.0;
    double Slots = 0.0;
    double HeldTokens = 0.0;   ///< Memory; 0: without a limit.
    Duration ResidenceTime{0}; ///< Mean time of a request on a replica.
  };

  /// ReadingTokens: to be read at the best replica. HeldTokens: memory while
  /// the request runs.
  void offered(double ReadingTokens, double HeldTokens, TimePoint Now);
  void refused(TimePoint Now);
  /// Sets all fields but Service and Failing. Waiting: queued requests.
  [[nodiscard]] DemandSummary summary(const Capacity &Mean, std::size_t Waiting,
                                      TimePoint Now) const;
  /// Whether a request was offered within the last Length.
  [[nodiscard]] bool active(TimePoint Now) const {
    return m_last && Now - *m_last < Length;
  }

private:
  struct Bucket {
    std::int64_t Number = -1; ///< Since the clock's start.
    double Requests = 0.0;
    double ReadingTokens = 0.0;
    double HeldTokens = 0.0;
    double Refused = 0.0;
  };

  [[nodiscard]] static std::int64_t bucketNumber(TimePoint Now);
  Bucket &bucket(TimePoint Now);

  /// One more than Buckets: the newest is not complete.
  std::array<Bucket, Buckets + 1> m_buckets;
  std::optional<TimePoint> m_first;
  std::optional<TimePoint> m_last;
};

} // namespace nutmegdrift::routing

#endif
