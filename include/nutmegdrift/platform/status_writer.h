// Writes status objects to the platform, merged per object.
#ifndef NUTMEGDRIFT_PLATFORM_STATUS_WRITER_H
#define NUTMEGDRIFT_PLATFORM_STATUS_WRITER_H

#include "nutmegdrift/platform/object_store.h"

#include <map>
#include <mutex>
#include <string>

namespace nutmegdrift::platform {

/// Keeps the newest text of each object until flush() has written it, so the
/// number of writes depends on the number of objects, not of changes. For
/// objects that only this process writes. Thread-safe.
class StatusWriter {
public:
  /// MaxPendingBytes bounds the names and texts that wait to be written.
  StatusWriter(ObjectStore &Store, std::size_t MaxPendingBytes);

  /// Replaces the text to write. False, and nothing is kept, if that would
  /// exceed the bound; an older pending text of the object then stays.
  bool set(const std::string &Name, const std::string &Text);

  /// Writes at most MostObjects pending objects, each once. Returns the number
  /// written. What could not be written stays pending unless replaced.
  std::size_t flush(std::size_t MostObjects);

  [[nodiscard]] std::size_t pendingBytes() const;

private:
  bool write(const std::string &Name, const std::string &Text);
  std::map<std::string, std::string> takePending(std::size_t Most);
  void putBack(const std::string &Name, const std::string &Text);

  ObjectStore &m_store;
  const std::size_t m_maxPendingBytes;
  std::mutex m_flushMutex; ///< One flush at a time; guards m_versions.
  std::map<std::string, ObjectVersion> m_versions; ///< Last known, by name.
  mutable std::mutex m_mutex;
  std::map<std::string, std::string> m_pending;
  std::size_t m_pendingBytes = 0; ///< Of m_pending, at most the bound.
  std::string m_cursor; ///< Name last written; the next flush goes on after it.
};

} // namespace nutmegdrift::platform

#endif
