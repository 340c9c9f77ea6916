// Assignment of replicas to daemons by weighted rendezvous hashing over the
// live daemons. A join or leave moves only the replicas of that daemon.
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

/// Bounds the heartbeats that each daemon exchanges.
inline constexpr std::size_t MaxCellSize = 16;

/// Rendezvous score of a daemon for a key; the highest score ranks first.
double rendezvousScore(const DaemonName &Name, const std::string &Key,
                       double Weight);

/// All members in the order in which they should own the replica: those in its
/// availability zone first, then by descending score.
std::vector<DaemonName> rankDaemons(const std::string &ReplicaId,
                                    const std::string &Zone,
                                    const std::vector<PlanMember> &Members);

/// The member with the lowest hash for \p Key; empty without members.
DaemonName lowestRanked(const std::string &Key,
                        const std::vector<DaemonName> &Members);

/// The members of the cell of \p Self, which is included. Members are sorted by
/// hash and divided evenly into cells of at most MaxCellSize.
std::vector<DaemonName> cellMembers(const DaemonName &Self,
                                    std::vector<DaemonName> Members);

} // namespace nutmegdrift::policy

#endif
