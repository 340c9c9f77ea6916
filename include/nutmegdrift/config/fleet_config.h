// The documents that operators and the platform keep for the fleet, as value
// types. Parsing and checks are in documents.h.
#ifndef NUTMEGDRIFT_CONFIG_FLEET_CONFIG_H
#define NUTMEGDRIFT_CONFIG_FLEET_CONFIG_H

#include "nutmegdrift/base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegdrift::config {

/// A customers' plan: its weight in fair service and its queue bound.
struct Plan {
  std::string Name;
  double Weight = 1.0;        ///< Above 0; shares are in proportion to it.
  std::size_t MaxQueued = 64; ///< Waiting requests a workspace and daemon.

  friend bool operator==(const Plan &, const Plan &) = default;
};

/// A workspace and the plan it is on.
struct Workspace {
  std::string Name;
  std::string Plan;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

/// What one plan may use.
struct Access {
  std::string Plan;
  std::vector<Target> Targets;

  friend bool operator==(const Access &, const Access &) = default;
};

/// Whether an availability zone is taken out of service.
struct ZoneSetting {
  std::string Name;
  bool Evacuated = false;

  friend bool operator==(const ZoneSetting &, const ZoneSetting &) = default;
};

/// An operator's order to move a target to a new version by a given time.
struct VersionOrder {
  Target What;
  std::string Version;
  /// Time from the start of the move by which all traffic has to be on it.
  std::chrono::seconds FinishWithin{0};
  bool RollBack = false; ///< The operator asked for the old version again.
  /// Tells this order from an earlier one of the same version: one above the
  /// version of the configuration that the operator read, so it rises.
  std::uint64_t Id = 0;

  friend bool operator==(const VersionOrder &, const VersionOrder &) = default;
};

/// The configuration in force. Immutable once published to other threads.
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
  Target What;
  HostPort Address;
  std::string Zone;
  std::string Version;
  /// Requests it bears at once when warm, from its department's settings.
  std::size_t Capacity = 1;
  bool Leaving = false;      ///< Its VM is going; it gets no new work.
  bool ChecksFencing = true; ///< Refuses an order with an old fencing number.
  /// Plain services only: calls may be repeated without a ticket or key.
  bool Repeatable = false;

  friend bool operator==(const Replica &, const Replica &) = default;
};

} // namespace nutmegdrift::config

#endif
