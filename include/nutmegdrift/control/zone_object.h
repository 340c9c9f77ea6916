// The platform object of a zone's members and replica ownership, with its
// JSON form.
#ifndef NUTMEGDRIFT_CONTROL_ZONE_OBJECT_H
#define NUTMEGDRIFT_CONTROL_ZONE_OBJECT_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/config/fleet_config.h"

#include <cstdint>
#include <map>
#include <string>

namespace nutmegdrift::control {

/// Membership of one daemon in the zone.
struct MemberRecord {
  DaemonName Daemon;
  BootId Boot = 0;
  std::string Zone; ///< Availability zone.
  std::string Host;
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t AdminPort = 0;
  std::uint64_t Renewal = 0; ///< Incremented with each renewal of this boot.
  bool Leaving = false;      ///< Planned stop: gets no replicas.

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Ownership of one replica.
struct OwnershipRecord {
  DaemonName Owner;        ///< Empty: released.
  BootId Boot = 0;         ///< The owner's boot.
  std::uint64_t Epoch = 0; ///< Incremented with each change of owner.
  /// Requests of previous owners still running at the last change.
  std::size_t ResidualRequests = 0;
  double Factor = 1.0; ///< The owner's limit factor.
  /// The previous owner; sends updates of its residual requests.
  DaemonName Previous;
  /// Claimed without hand-over: Previous may still admit requests.
  bool Claimed = false;

  friend bool operator==(const OwnershipRecord &,
                         const OwnershipRecord &) = default;
};

/// Content of the platform object "fleet/<zone>".
struct ZoneObject {
  std::map<DaemonName, MemberRecord> Members;
  std::map<config::ReplicaId, OwnershipRecord> Records;
  std::string Nonce; ///< Identifies the last write when it is read back.

  friend bool operator==(const ZoneObject &, const ZoneObject &) = default;
};

std::string toJson(const ZoneObject &Value);
/// Errors: InvalidDocument.
Result<ZoneObject> parseZoneObject(const std::string &Text);

} // namespace nutmegdrift::control

#endif
