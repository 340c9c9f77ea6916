// The platform's object API as the rest of the system sees it: versioned
// objects, conditional updates and watches.
#ifndef NUTMEGDRIFT_PLATFORM_OBJECT_STORE_H
#define NUTMEGDRIFT_PLATFORM_OBJECT_STORE_H

#include "nutmegdrift/base/error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegdrift::platform {

/// The store's revision at the object's last write; rises over all objects.
using ObjectVersion = std::uint64_t;

/// One object as read.
struct Object {
  std::string Name;
  ObjectVersion Version = 0;
  std::string Text; ///< JSON, at most 1 MB.

  friend bool operator==(const Object &, const Object &) = default;
};

/// All objects under a prefix at one revision.
struct Listing {
  ObjectVersion Revision = 0;
  std::vector<Object> Objects;
};

/// One change seen by a watch.
struct Change {
  Object Value;
  bool Deleted = false;
};

/// Changes after the requested revision, oldest first.
struct Changes {
  ObjectVersion Revision = 0; ///< Where the next watch continues.
  std::vector<Change> Items;  ///< Empty if the wait ended without a change.
};

/// Errors: NotFound (get), Conflict (put and remove: another version is
/// stored; watch: the revision is too old, list again), PlatformUnavailable
/// (nothing was written), PlatformOutcomeUnknown (the write may have taken
/// effect; read back before repeating it). Thread-safe.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  virtual Result<Object> get(const std::string &Name) = 0;
  virtual Result<Listing> list(const std::string &Prefix) = 0;

  /// Writes Text if the stored version is Expected; 0 means that the object
  /// must not exist. Returns the new version.
  virtual Result<ObjectVersion> put(const std::string &Name,
                                    const std::string &Text,
                                    ObjectVersion Expected) = 0;
  virtual Result<void> remove(const std::string &Name,
                              ObjectVersion Expected) = 0;

  /// Waits up to Wait for changes under Prefix after revision After.
  virtual Result<Changes> watch(const std::string &Prefix, ObjectVersion After,
                                std::chrono::milliseconds Wait) = 0;
};

} // namespace nutmegdrift::platform

#endif
