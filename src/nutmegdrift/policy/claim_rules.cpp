#include "nutmegdrift/policy/claim_rules.h"

#include <algorithm>

namespace nutmegdrift::policy {

std::optional<double> claimFactor(const ClaimConditions &Conditions) {
  if (Conditions.Unowned)
    return FullLimitFactor;
  if (!Conditions.ContinuousReads)
    return {};
  if (Conditions.ConnectionRefused || Conditions.Rebooted)
    return FullLimitFactor;
  if (!Conditions.LeaseExpired || Conditions.PeersReportOutage)
    return {};
  return Conditions.OutageSinceRenewal ? HalfLimitFactor : FullLimitFactor;
}

std::optional<double> outageFactor(const OutageConditions &Conditions) {
  const bool Unresponsive =
      Conditions.AllLeasesExpired &&
      Conditions.MembersWithoutHeartbeat >= majorityCount(Conditions.CellSize);
  if (Conditions.ConnectionRefused || Unresponsive)
    return HalfLimitFactor;
  return {};
}

namespace {

std::size_t scaledCapacity(std::size_t Capacity, double Factor) {
  return static_cast<std::size_t>(static_cast<double>(Capacity) * Factor);
}

} // namespace

std::size_t requestLimit(std::size_t Capacity, double Factor,
                         std::size_t ResidualRequests) {
  const auto Share = scaledCapacity(Capacity, Factor);
  return Share - std::min(Share, ResidualRequests);
}

std::size_t residualAfterClaim(std::size_t Capacity, double Factor,
                               std::optional<std::size_t> Reported) {
  const auto Share = scaledCapacity(Capacity, Factor);
  if (!Reported)
    return Share - std::min<std::size_t>(Share, 1);
  const auto FreeRequests = Capacity - std::min(Capacity, *Reported);
  return Share - std::min(Share, FreeRequests);
}

} // namespace nutmegdrift::policy
