// Which daemon should own a replica: weighted rendezvous hashing over the live
// daemons. A join or leave moves only the replicas of that daemon.
#ifndef NUTMEGDRIFT_POLICY_OWNERSHIP_PLAN_H
#define NUTMEGDRIFT_POLICY_OWNERSHIP_PLAN_H

#include "nutmegdrift/base/identifiers.h"

#include <string>
#include <vector>

namespace nutmegdrift::policy {

/// A daemon that may own replicas.
struct PlanMember {
  DaemonName Name;
  std::string Zone;
  double Weight = 1.0; ///< Above 0; shares are in proportion to it.

  friend bool operator==(const PlanMember &, const PlanMember &) = default;
};

/// Most daemons in one cell, so that heartbeats per daemon stay bounded.
inline constexpr std::size_t MaxCellSize = 16;

/// Rendezvous score of a daemon for a key; the greatest score ranks first.
double rendezvousScore(const DaemonName &Name, const std::string &Key,
                       double Weight);

/// All members in order of rank for the replica: those in its availability
/// zone first, then by score.
std::vector<DaemonName> rankDaemons(const std::string &ReplicaId,
                                    const std::string &Zone,
                                    const std::vector<PlanMember> &Members);

/// The daemon with the least rank for Key; empty without members.
DaemonName lowestRanked(const std::string &Key,
                        const std::vector<DaemonName> &Members);

/// The members of Self's cell, Self included: members sorted by hash and
/// divided evenly into cells of at most MaxCellSize.
std::vector<DaemonName> cellMembers(const DaemonName &Self,
                                    std::vector<DaemonName> Members);

} // namespace nutmegdrift::policy

#endif
