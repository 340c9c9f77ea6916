// When a daemon may claim a replica and at what share of its limit.
#ifndef NUTMEGDRIFT_POLICY_CLAIM_RULES_H
#define NUTMEGDRIFT_POLICY_CLAIM_RULES_H

#include <cstddef>
#include <optional>

namespace nutmegdrift::policy {

/// Limit factors of an owner.
inline constexpr double FullLimitFactor = 1.0;
/// Held by a successor that cannot exclude that the former owner still admits,
/// and by a holder that cannot exclude a successor.
inline constexpr double HalfLimitFactor = 0.5;

/// What the claimer knows about the current owner.
struct ClaimConditions {
  bool Unowned = false;           ///< No record, or the record is released.
  bool LeaseExpired = false;      ///< Its lease is observed to have expired.
  bool ConnectionRefused = false; ///< Its peer port refused a connection.
  bool Rebooted = false; ///< The members show a newer boot of the daemon.
  /// The platform was unreadable at some time since the owner's renewal was
  /// first seen, so the owner may hold without a lease.
  bool OutageSinceRenewal = false;
  /// The claimer has read the platform without a gap for lease plus margin, so
  /// owners that took over during an outage have written their records.
  bool ContinuousReads = false;
  /// So many cell members report now that they cannot read the platform that
  /// the owner may hold without a lease.
  bool PeersReportOutage = false;

  friend bool operator==(const ClaimConditions &,
                         const ClaimConditions &) = default;
};

/// The limit factor of a claim while the platform is readable; nothing if the
/// claim is not allowed.
std::optional<double> claimFactor(const ClaimConditions &Facts);

/// What the members of the owner's cell know during a platform outage.
struct OutageConditions {
  bool ConnectionRefused =
      false; ///< The owner's peer port refused a connection.
  /// The claimer could not read the platform for lease plus margin, so that
  /// every lease has run out.
  bool AllLeasesExpired = false;
  std::size_t CellSize = 0; ///< Last known members, the owner included.
  std::size_t MembersWithoutHeartbeat =
      0; ///< Members, the claimer included, that have not
         ///< heard the owner for lease plus margin.

  friend bool operator==(const OutageConditions &,
                         const OutageConditions &) = default;
};

/// The limit factor of the next daemon in rank during a platform outage;
/// nothing if it may not take over.
std::optional<double> outageFactor(const OutageConditions &Facts);

/// More than half of the cell.
constexpr std::size_t majorityCount(std::size_t CellSize) {
  return CellSize / 2 + 1;
}

/// Requests that an owner may run: its share of Bears, less Carry.
std::size_t requestLimit(std::size_t Capacity, double Factor,
                         std::size_t ResidualRequests);

/// Carry of a successor without hand-over. Reported is the number of requests
/// running at the endpoint. At half the limit, the other half of Bears covers
/// what the former owner runs. Without a report the successor starts with room
/// for one request.
std::size_t residualAfterClaim(std::size_t Capacity, double Factor,
                               std::optional<std::size_t> Reported);

} // namespace nutmegdrift::policy

#endif
