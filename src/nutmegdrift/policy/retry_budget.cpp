// Counts first tries and retries in the buckets of a sliding window.
#include "nutmegdrift/policy/retry_budget.h"

#include <algorithm>

namespace nutmegdrift::policy {

RetryBudget::RetryBudget(double Share, Duration Window, double Floor)
    : m_share(Share), m_floor(Floor),
      m_bucketLength(
          std::max(Window / static_cast<int>(BucketCount), Duration(1))) {}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint Now) {
  const std::int64_t Number = Now.time_since_epoch() / m_bucketLength;
  auto &Slot = m_buckets[static_cast<std::size_t>(Number) % BucketCount];
  if (Slot.Number != Number)
    Slot = {.Number = Number};
  return Slot;
}

void RetryBudget::onFirstTry(TimePoint Now) { ++bucketAt(Now).FirstTries; }

bool RetryBudget::tryRetry(TimePoint Now) {
  auto &Current = bucketAt(Now);
  const auto Oldest = Current.Number - static_cast<std::int64_t>(BucketCount);
  std::uint64_t FirstTries = 0;
  std::uint64_t Retries = 0;
  for (const auto &Entry : m_buckets) {
    if (Entry.Number <= Oldest)
      continue;
    FirstTries += Entry.FirstTries;
    Retries += Entry.Retries;
  }
  const double Allowed =
      std::max(m_floor, m_share * static_cast<double>(FirstTries));
  if (static_cast<double>(Retries + 1) > Allowed)
    return false;
  ++Current.Retries;
  return true;
}

} // namespace nutmegdrift::policy
