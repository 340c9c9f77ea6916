// Records idempotency keys in the platform before their requests are sent.
#ifndef NUTMEGDRIFT_CONTROL_KEY_STORE_H
#define NUTMEGDRIFT_CONTROL_KEY_STORE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/platform/object_store.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::control {

/// Number of the shard objects "keys/0", "keys/1" and so on. It determines a
/// key's shard, so a change would allow recorded keys to be recorded again.
inline constexpr std::size_t KeyShardCount = 64;

struct KeyStoreOptions {
  /// How long a record is kept. Measured by wall time, because records outlive
  /// the daemon that wrote them. A request repeated later runs again.
  std::chrono::seconds Retention = std::chrono::hours(24);
  /// The platform accepts values of up to 1 MB.
  std::size_t MaxShardBytes = 900'000;
  /// Attempts to read and conditionally update a shard for one batch.
  int MaxAttempts = 6;
};

/// Records each key at most once across all daemons. Thread-safe; concurrent
/// claims of one shard share a write.
///
/// \code
///   BOOST_LEAF_CHECK(Keys.claim(Workspace, Key)); // then send the request
/// \endcode
class KeyStore {
public:
  KeyStore(platform::ObjectStore &Store, const Clock &Clk, BootId Boot,
           KeyStoreOptions Options = {});

  /// Success means that the key was recorded by this call and by no other.
  /// Errors: KeyOutcomeUnknown (recorded by another call, whose request may
  /// have run), KeyStoreUnavailable (the platform is down or too slow, or the
  /// shard is full; the request must not be sent).
  Result<void> claim(const std::string &Workspace, const std::string &Key);

private:
  struct Record {
    std::string Nonce;         ///< Identifies the claim that wrote the record.
    std::int64_t Recorded = 0; ///< Seconds since the Unix epoch.
  };
  /// A shard object as last read or written.
  struct Document {
    platform::ObjectVersion Version = 0;
    std::map<std::string, Record> Records; ///< By hash of workspace and key.
  };
  struct Claim {
    std::string Hash;
    std::string Nonce;
    bool Decided = false; ///< Used by the writing thread until Done is set.
    std::optional<Error> Failure; ///< Access as for Decided.
    /// Guarded by the shard's mutex. Set when the whole batch is decided, since
    /// Decided is written without the mutex.
    bool Done = false;
  };
  using Batch = std::vector<std::shared_ptr<Claim>>;
  struct Shard {
    std::mutex Mutex;
    std::condition_variable Changed;
    Batch Waiting;
    bool Writing = false;           ///< A thread is recording a batch.
    std::optional<Document> Cached; ///< Used by the writing thread only.
  };

  void recordBatch(const std::string &Name, Shard &KeyShard,
                   const Batch &Claims);
  bool tryRecord(const std::string &Name, Shard &KeyShard, const Batch &Claims);
  Result<Document> load(const std::string &Name) const;
  void removeExpired(Document &Current) const;
  static bool decide(const Document &Current, const Batch &Claims);
  static void failAll(const Batch &Claims, const std::string &Reason);
  [[nodiscard]] std::int64_t wallSeconds() const;
  static std::string toText(const Document &Value);

  platform::ObjectStore &m_store;
  const Clock &m_clock;
  const BootId m_boot;
  const KeyStoreOptions m_options;
  std::atomic<std::uint64_t> m_nextClaim = 1;
  std::array<Shard, KeyShardCount> m_shards;
};

} // namespace nutmegdrift::control

#endif
