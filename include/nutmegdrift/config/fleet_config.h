// Value types of the fleet's configuration documents. Parsing and validation
// are in documents.h.
#ifndef NUTMEGDRIFT_CONFIG_FLEET_CONFIG_H
#define NUTMEGDRIFT_CONFIG_FLEET_CONFIG_H

#include "nutmegdrift/base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegdrift::config {

/// A customer plan: its weight in fair scheduling and its queue limit.
struct Plan {
  std::string Name;
  double Weight = 1.0;        ///< Above 0; shares are in proportion to it.
  std::size_t MaxQueued = 64; ///< Per workspace and daemon.

  friend bool operator==(const Plan &, const Plan &) = default;
};

/// A workspace and its plan.
struct Workspace {
  std::string Name;
  std::string Plan;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

/// Access rule: the targets that a plan may use.
struct Access {
  std::string Plan;
  std::vector<Target> Targets;

  friend bool operator==(const Access &, const Access &) = default;
};

/// Whether an availability zone is evacuated, that is, out of service.
struct ZoneSetting {
  std::string Name;
  bool Evacuated = false;

  friend bool operator==(const ZoneSetting &, const ZoneSetting &) = default;
};

/// An operator's order to roll out a version of a target.
struct VersionOrder {
  Target RolloutTarget;
  std::string Version;
  /// Time from the start of the rollout until all traffic has to use Version.
  std::chrono::seconds FinishWithin{0};
  bool RollBack = false; ///< Return to the previous version.
  /// Distinguishes orders for the same version: one above the version of the
  /// configuration that the operator read, so that later orders have higher
  /// ids.
  std::uint64_t Id = 0;

  friend bool operator==(const VersionOrder &, const VersionOrder &) = default;
};

/// The current configuration. Immutable once published to other threads.
struct FleetConfig {
  /// Version of the platform object; a daemon never applies a lower one.
  std::uint64_t Version = 0;
  std::vector<Plan> Plans;
  std::vector<Workspace> Workspaces;
  std::vector<Access> AccessRules;
  std::vector<ZoneSetting> Zones;
  std::vector<VersionOrder> Versions;

  friend bool operator==(const FleetConfig &, const FleetConfig &) = default;
};

using ReplicaId = std::string;

/// One endpoint replica, from the platform object "endpoints/<id>".
struct Replica {
  ReplicaId Id;
  Target ServedTarget;
  HostPort Address;
  std::string Zone;
  std::string Version;
  /// Maximum number of concurrent requests when warm, set by its department.
  std::size_t Capacity = 1;
  bool Leaving = false;      ///< Its VM shuts down; it gets no new requests.
  bool ChecksFencing = true; ///< Rejects orders with old fencing numbers.
  /// Only for plain services: requests may be retried without a ticket or key.
  bool Repeatable = false;

  friend bool operator==(const Replica &, const Replica &) = default;
};

} // namespace nutmegdrift::config

#endif
