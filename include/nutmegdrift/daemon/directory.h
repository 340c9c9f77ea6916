// What this daemon knows about the others: who owns replicas of which target,
// and at which addresses callers and daemons reach them.
#ifndef NUTMEGDRIFT_DAEMON_DIRECTORY_H
#define NUTMEGDRIFT_DAEMON_DIRECTORY_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/control/zone_object.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace nutmegdrift::daemon {

/// Load of one owner of a target, from its latest counters message.
struct OwnerLoad {
  std::uint64_t Queued = 0;

  friend bool operator==(const OwnerLoad &, const OwnerLoad &) = default;
};

/// Thread-safe view over the latest zone objects and endpoints.
class Directory {
public:
  /// Seeds are peer ports to try while no other member is known.
  Directory(DaemonName Self, std::vector<HostPort> Seeds)
      : m_self(std::move(Self)), m_seeds(std::move(Seeds)) {}

  void setEndpoints(std::map<config::ReplicaId, config::Replica> Endpoints);
  void setZone(const std::string &Scope, const control::ZoneObject &Zone);
  /// Owners of nothing but replicas in these availability zones get no
  /// requests.
  void setZonesOut(std::set<std::string> Zones);
  void setLoad(const DaemonName &Daemon, const Target &What, OwnerLoad Load);

  /// Notes that an owner refused a request for the target, because its replicas
  /// load or are held back. For a while it is named last.
  void noteRefusal(const DaemonName &Owner, const Target &What, TimePoint Now);

  /// Live owners of replicas of the target other than this daemon, those with
  /// the shortest queue per replica first.
  [[nodiscard]] std::vector<DaemonName> otherOwners(const Target &What) const;
  /// Caller addresses, owners of the target first, then other daemons. A
  /// leaving daemon is not named.
  [[nodiscard]] std::vector<HostPort> callerAddresses(const Target &What) const;
  /// Caller addresses of the other daemons.
  [[nodiscard]] std::vector<HostPort> otherAddresses() const;
  /// Peer addresses of the other daemons by name, or the seeds by their
  /// address while none is known.
  [[nodiscard]] std::map<DaemonName, HostPort> peerAddresses() const;
  [[nodiscard]] std::vector<DaemonName> members() const;
  /// True if any endpoint of this target is known.
  [[nodiscard]] bool hasEndpoint(const Target &What) const;
  /// True if calls to the service may be repeated freely.
  [[nodiscard]] bool repeatable(const Target &What) const;

private:
  [[nodiscard]] std::map<DaemonName, std::size_t>
  ownersOf(const Target &What) const;
  [[nodiscard]] std::vector<const control::MemberRecord *>
  activeMembers() const;

  const DaemonName m_self;
  const std::vector<HostPort> m_seeds;
  mutable std::mutex m_mutex; ///< Guards all below.
  std::map<config::ReplicaId, config::Replica> m_endpoints;
  std::set<std::string> m_zonesOut;
  std::map<std::string, control::ZoneObject> m_zones; ///< By scope.
  std::map<std::pair<DaemonName, Target>, OwnerLoad> m_loads;
  mutable std::map<std::pair<DaemonName, Target>, TimePoint> m_refusals;
};

} // namespace nutmegdrift::daemon

#endif
