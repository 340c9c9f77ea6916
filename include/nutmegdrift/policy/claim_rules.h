// Rules for claiming a replica, and the share of its limit that a claim gives.
#ifndef NUTMEGDRIFT_POLICY_CLAIM_RULES_H
#define NUTMEGDRIFT_POLICY_CLAIM_RULES_H

#include <cstddef>
#include <optional>

namespace nutmegdrift::policy {

/// Limit factor of an owner that excludes any other.
inline constexpr double FullLimitFactor = 1.0;
/// Limit factor of a successor if the previous owner may still admit requests,
/// and of an owner that may already have a successor.
inline constexpr double HalfLimitFactor = 0.5;

/// What the claiming daemon knows about the current owner.
struct ClaimConditions {
  bool Unowned = false;           ///< No record, or the record is released.
  bool LeaseExpired = false;      ///< Its lease has expired for this observer.
  bool ConnectionRefused = false; ///< Its peer port refused a connection.
  bool Rebooted = false; ///< Membership shows a newer boot of the owner.
  /// The platform was unreadable at some time since the owner's renewal was
  /// first read, so the owner may still serve without a lease.
  bool OutageSinceRenewal = false;
  /// The claiming daemon has read the platform without a gap for more than
  /// lease plus margin, so owners that took over during an outage have written
  /// their records.
  bool ContinuousReads = false;
  /// So many cell members now report the platform as unreadable that the owner
  /// may serve without a lease.
  bool PeersReportOutage = false;

  friend bool operator==(const ClaimConditions &,
                         const ClaimConditions &) = default;
};

/// Limit factor of a claim while the platform is readable; empty if the claim
/// is not allowed.
std::optional<double> claimFactor(const ClaimConditions &Conditions);

/// What the members of the owner's cell know about the owner during a platform
/// outage.
struct OutageConditions {
  /// The owner's peer port refused a connection.
  bool ConnectionRefused = false;
  /// The claiming daemon could not read the platform for lease plus margin, so
  /// every lease has expired.
  bool AllLeasesExpired = false;
  std::size_t CellSize = 0; ///< Last known members, the owner included.
  /// Members, the claiming daemon included, that have had no heartbeat of the
  /// owner for lease plus margin.
  std::size_t MembersWithoutHeartbeat = 0;

  friend bool operator==(const OutageConditions &,
                         const OutageConditions &) = default;
};

/// Limit factor of the next daemon in rank during a platform outage; empty if
/// it may not take over.
std::optional<double> outageFactor(const OutageConditions &Conditions);

/// Smallest number of members that is more than half of the cell.
constexpr std::size_t majorityCount(std::size_t CellSize) {
  return CellSize / 2 + 1;
}

/// Requests that an owner may run: its share of \p Capacity, less the requests
/// of previous owners that may still run.
std::size_t requestLimit(std::size_t Capacity, double Factor,
                         std::size_t ResidualRequests);

/// Residual requests that a successor without hand-over has to assume.
/// \p Reported is the number of requests running at the endpoint. At half the
/// limit, the other half of \p Capacity covers what the previous owner runs.
/// Without a report the successor starts with room for one request.
std::size_t residualAfterClaim(std::size_t Capacity, double Factor,
                               std::optional<std::size_t> Reported);

} // namespace nutmegdrift::policy

#endif
