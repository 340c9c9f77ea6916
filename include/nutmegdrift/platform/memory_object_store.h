// An ObjectStore in memory with fault switches, for tests and the fake
// platform.
#ifndef NUTMEGDRIFT_PLATFORM_MEMORY_OBJECT_STORE_H
#define NUTMEGDRIFT_PLATFORM_MEMORY_OBJECT_STORE_H

#include "nutmegdrift/platform/object_store.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace nutmegdrift::platform {

/// Faults that a test switches on. All are off by default.
struct StoreFaults {
  bool Down = false;            ///< Every call fails and writes nothing.
  bool LoseWriteAnswer = false; ///< Writes take effect, their answer is lost.
  bool StaleReads = false; ///< get and list answer the state before the last
                           ///< write of each object.
};

/// Calls served, for tests of the platform's budget.
struct StoreCalls {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;

  friend bool operator==(const StoreCalls &, const StoreCalls &) = default;
};

class MemoryObjectStore final : public ObjectStore {
public:
  /// Changes kept for watches; an older revision has to list again.
  static constexpr std::size_t HistorySize = 1024;

  Result<Object> get(const std::string &Name) override;
  Result<Listing> list(const std::string &Prefix) override;
  Result<ObjectVersion> put(const std::string &Name, const std::string &Text,
                            ObjectVersion Expected) override;
  Result<void> remove(const std::string &Name, ObjectVersion Expected) override;
  Result<Changes> watch(const std::string &Prefix, ObjectVersion After,
                        std::chrono::milliseconds Wait) override;

  void setFaults(const StoreFaults &Faults);
  [[nodiscard]] StoreCalls calls() const;

private:
  struct Entry {
    Object Latest;
    std::optional<Object> Previous;
  };

  Result<void> checkWrite(const std::string &Name, ObjectVersion Expected);
  void record(const Object &Value, bool Deleted);
  [[nodiscard]] std::vector<Change> changesAfter(const std::string &Prefix,
                                                 ObjectVersion After) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  std::deque<Change> m_history; ///< In order of revision.
  ObjectVersion m_revision = 0;
  ObjectVersion m_oldest = 0; ///< Watches from below this have to list again.
  StoreFaults m_faults;
  StoreCalls m_calls;
};

} // namespace nutmegdrift::platform

#endif
