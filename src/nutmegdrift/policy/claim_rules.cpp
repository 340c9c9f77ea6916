#include "nutmegdrift/policy/claim_rules.h"

#include <algorithm>

namespace nutmegdrift::policy {

std::optional<double> claimFactor(const ClaimConditions &Facts) {
  if (Facts.Unowned)
    return FullLimitFactor;
  if (!Facts.ContinuousReads)
    return {};
  if (Facts.ConnectionRefused || Facts.Rebooted)
    return FullLimitFactor;
  if (!Facts.LeaseExpired || Facts.PeersReportOutage)
    return {};
  return Facts.OutageSinceRenewal ? HalfLimitFactor : FullLimitFactor;
}

std::optional<double> outageFactor(const OutageConditions &Facts) {
  const bool Silent =
      Facts.AllLeasesExpired &&
      Facts.MembersWithoutHeartbeat >= majorityCount(Facts.CellSize);
  if (Facts.ConnectionRefused || Silent)
    return HalfLimitFactor;
  return {};
}

namespace {

std::size_t shareOf(std::size_t Capacity, double Factor) {
  return static_cast<std::size_t>(static_cast<double>(Capacity) * Factor);
}

} // namespace

std::size_t requestLimit(std::size_t Capacity, double Factor,
                         std::size_t ResidualRequests) {
  const auto Share = shareOf(Capacity, Factor);
  return Share - std::min(Share, ResidualRequests);
}

std::size_t residualAfterClaim(std::size_t Capacity, double Factor,
                               std::optional<std::size_t> Reported) {
  const auto Share = shareOf(Capacity, Factor);
  if (!Reported)
    return Share - std::min<std::size_t>(Share, 1);
  const auto Room = Capacity - std::min(Capacity, *Reported);
  return Share - std::min(Share, Room);
}

} // namespace nutmegdrift::policy
