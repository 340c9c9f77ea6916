// Limits retries to a share of first tries over a sliding window.
#ifndef NUTMEGDRIFT_POLICY_RETRY_BUDGET_H
#define NUTMEGDRIFT_POLICY_RETRY_BUDGET_H

#include "nutmegdrift/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace nutmegdrift::policy {

/// Retries in the window never exceed the larger of Floor and the share of
/// first tries in the window, so a fault of all endpoints cannot multiply the
/// load. Not thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(double Share = 0.1,
                       Duration Window = std::chrono::seconds(10),
                       double Floor = 0.0);
  /// Replaces the number of retries that are allowed whatever the share, for
  /// example when the number of daemons that divide it has changed.
  void setFloor(double Floor) { m_floor = Floor; }

  /// Records a first try.
  void onFirstTry(TimePoint Now);
  /// Records a retry and returns true if it is within the budget; otherwise
  /// returns false.
  bool tryRetry(TimePoint Now);

private:
  static constexpr std::size_t BucketCount = 10;
  struct Bucket {
    std::int64_t Number = -1; ///< Index since the clock's epoch.
    std::uint64_t FirstTries = 0;
    std::uint64_t Retries = 0;
  };
  Bucket &bucketAt(TimePoint Now);

  double m_share;
  double m_floor;
  Duration m_bucketLength;
  std::array<Bucket, BucketCount> m_buckets{};
};

} // namespace nutmegdrift::policy

#endif
