// Conditional updates of the configuration by operators.
#ifndef NUTMEGDRIFT_CTL_CONFIG_CHANGE_H
#define NUTMEGDRIFT_CTL_CONFIG_CHANGE_H

#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/platform/object_store.h"

#include <functional>

namespace nutmegdrift::ctl {

/// Reads the object "config"; an object that does not exist is an empty
/// configuration with version 0. Errors: PlatformUnavailable, InvalidDocument.
Result<config::ConfigDocument> readConfig(platform::ObjectStore &Store);

/// What an update did.
struct Applied {
  std::uint64_t Version = 0;        ///< The version now in force.
  std::vector<std::string> Changes; ///< Empty: nothing differed, no write.
};

/// Writes After if the platform still has the version of Before. A lost answer
/// is resolved by reading back and comparing Note.Nonce. Errors: Conflict, with
/// a message that names the winning version, its author and what it changed;
/// PlatformOutcomeUnknown if the write may have taken effect and was followed
/// by another; PlatformUnavailable.
Result<Applied> writeConfig(platform::ObjectStore &Store,
                            const config::FleetConfig &Before,
                            const config::FleetConfig &After,
                            config::ChangeNote Note);

} // namespace nutmegdrift::ctl

#endif
