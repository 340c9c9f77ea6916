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

std::size_t shareOf(std::size_t Bears, double Factor) {
  return static_cast<std::size_t>(static_cast<double>(Bears) * Factor);
}

} // namespace

std::size_t requestLimit(std::size_t Bears, double Factor, std::size_t Carry) {
  const auto Share = shareOf(Bears, Factor);
  return Share - std::min(Share, Carry);
}

std::size_t residualAfterClaim(std::size_t Bears, double Factor,
                               std::optional<std::size_t> Reported) {
  const auto Share = shareOf(Bears, Factor);
  if (!Reported)
    return Share - std::min<std::size_t>(Share, 1);
  const auto Room = Bears - std::min(Bears, *Reported);
  return Share - std::min(Share, Room);
}

} // namespace nutmegdrift::policy
