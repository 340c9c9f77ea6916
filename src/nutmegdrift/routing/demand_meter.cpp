// Sums over the last second.
#include "nutmegdrift/routing/demand_meter.h"

#include <algorithm>

namespace nutmegdrift::routing {

namespace {

constexpr Duration BucketLength = DemandMeter::Length / DemandMeter::Buckets;

} // namespace

std::int64_t DemandMeter::bucketNumber(TimePoint Now) {
  return Now.time_since_epoch() / BucketLength;
}

DemandMeter::Bucket &DemandMeter::bucket(TimePoint Now) {
  const std::int64_t Number = bucketNumber(Now);
  Bucket &Current =
      m_buckets[static_cast<std::size_t>(Number) % m_buckets.size()];
  if (Current.Number != Number)
    Current = {.Number = Number};
  return Current;
}

void DemandMeter::offered(double ReadingTokens, double HeldTokens,
                          TimePoint Now) {
  // A pause without requests may be one of the daemon.
  if (!m_first || !active(Now))
    m_first = Now;
  m_last = Now;
  Bucket &Current = bucket(Now);
  Current.Requests += 1.0;
  Current.ReadingTokens += ReadingTokens;
  Current.HeldTokens += HeldTokens;
}

void DemandMeter::refused(TimePoint Now) { bucket(Now).Refused += 1.0; }

DemandSummary DemandMeter::summary(const Capacity &Mean, std::size_t Waiting,
                                   TimePoint Now) const {
  const std::int64_t Current = bucketNumber(Now);
  Bucket Sum;
  for (const Bucket &Each : m_buckets)
    if (Each.Number < Current &&
        Each.Number >= Current - static_cast<std::int64_t>(Buckets)) {
      Sum.Requests += Each.Requests;
      Sum.ReadingTokens += Each.ReadingTokens;
      Sum.HeldTokens += Each.HeldTokens;
      Sum.Refused += Each.Refused;
    }
  const double Residence =
      std::chrono::duration<double>(Mean.ResidenceTime).count();
  DemandSummary Out;
  if (Mean.ReadTokensPerSecond > 0.0)
    Out.Replicas = Sum.ReadingTokens / Mean.ReadTokensPerSecond;
  if (Mean.Slots > 0.0)
    Out.Replicas =
        std::max(Out.Replicas, Sum.Requests * Residence / Mean.Slots);
  if (Mean.HeldTokens > 0.0)
    Out.Replicas =
        std::max(Out.Replicas, Sum.HeldTokens * Residence / Mean.HeldTokens);
  if (Sum.Requests > 0.0)
    Out.UnservedShare = std::min(
        1.0, (Sum.Refused + static_cast<double>(Waiting)) / Sum.Requests);
  if (m_first)
    Out.Measured =
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - *m_first);
  return Out;
}

} // namespace nutmegdrift::routing
