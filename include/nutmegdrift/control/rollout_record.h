// The platform object "rollout/<target>": plan, progress, lease and fencing
// number of one rollout, and the operators' requests to roll it back.
#ifndef NUTMEGDRIFT_CONTROL_ROLLOUT_RECORD_H
#define NUTMEGDRIFT_CONTROL_ROLLOUT_RECORD_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/platform/object_store.h"
#include "nutmegdrift/policy/rollout_machine.h"

#include <string>

namespace nutmegdrift::control {

inline constexpr std::string_view RolloutPrefix = "rollout/";

/// "rollout/<target>".
std::string rolloutObjectName(const std::string &Target);

struct RolloutRecord {
  policy::RolloutPlan Plan;
  policy::RolloutProgress Progress{};
  std::string Holder{}; ///< Daemon and boot of the controller; empty: none.
  /// Fencing number, sent with orders. It is the object's version before the
  /// claim, so that it increases with each claim, even if the object is deleted
  /// and created again.
  std::uint64_t Fence = 0;
  std::string Nonce{};          ///< Identifies a controller's last write.
  std::string RollbackReason{}; ///< Given by an operator; empty: no rollback
                                ///< was requested.
  /// All replicas run the version that the phase requires.
  bool Converged = false;
  double Share = 0.0; ///< Largest share of any route, shown to operators.

  friend bool operator==(const RolloutRecord &,
                         const RolloutRecord &) = default;
};

/// Whether a controller has to work on the rollout.
bool needsController(const RolloutRecord &Record);

std::string encodeRollout(const RolloutRecord &Record);
/// Errors: InvalidDocument.
Result<RolloutRecord> decodeRollout(const std::string &Text);

/// A line for operators: phase, reason, and whether the rollout will miss its
/// finish time.
std::string describeRollout(const RolloutRecord &Record);

/// Creates the rollout, or replaces a converged one. Errors: Conflict (another
/// is in progress, or the object changed meanwhile) and those of
/// ObjectStore::put.
Result<platform::ObjectVersion> startRollout(platform::ObjectStore &Store,
                                             const policy::RolloutPlan &Plan);

/// Requests a rollback. Errors: NotFound, Conflict (the object changed
/// meanwhile; repeat the call) and those of ObjectStore::put.
Result<platform::ObjectVersion> requestRollback(platform::ObjectStore &Store,
                                                const std::string &Target,
                                                const std::string &Reason);

} // namespace nutmegdrift::control

#endif
