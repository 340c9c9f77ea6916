// The platform's object API over HTTP (section 14 of the design).
#ifndef NUTMEGDRIFT_PLATFORM_HTTP_OBJECT_STORE_H
#define NUTMEGDRIFT_PLATFORM_HTTP_OBJECT_STORE_H

#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/platform/object_store.h"

#include <atomic>

namespace nutmegdrift::platform {

/// Bounds on one call.
struct HttpStoreOptions {
  HostPort Address;
  std::chrono::milliseconds ConnectTimeout{500};
  /// Longest silence while a call is sent or answered; a watch adds its wait.
  std::chrono::milliseconds CallTimeout{2'000};
  /// Longest answer, which is a listing.
  std::size_t MaxAnswerBytes = std::size_t{32} << 20U;
};

/// Calls and bytes of this client, for the control cost in the metrics.
struct HttpStoreCounts {
  std::uint64_t Calls = 0;
  std::uint64_t BytesSent = 0;     ///< Bodies only.
  std::uint64_t BytesReceived = 0; ///< Bodies only.
};

/// Each call uses its own connection. A kept connection that the platform has
/// closed would turn the next write into one of unknown outcome, and a daemon
/// makes only a few calls a second.
///
/// A write that fails before its first byte is sent, and one answered with
/// 503, is PlatformUnavailable; any later failure, and any other answer
/// from 500 up, is PlatformOutcomeUnknown. Thread-safe.
class HttpObjectStore final : public ObjectStore {
public:
  explicit HttpObjectStore(HttpStoreOptions Options);

  Result<Object> get(const std::string &Name) override;
  Result<Listing> list(const std::string &Prefix) override;
  Result<ObjectVersion> put(const std::string &Name, const std::string &Text,
                            ObjectVersion Expected) override;
  Result<void> remove(const std::string &Name, ObjectVersion Expected) override;
  Result<Changes> watch(const std::string &Prefix, ObjectVersion After,
                        std::chrono::milliseconds Wait) override;

  [[nodiscard]] HttpStoreCounts counts() const;

private:
  struct Call;
  struct Answer;

  Result<Answer> perform(const Call &What);
  Result<Answer> exchange(const Call &What, bool &Sent) const;

  const HttpStoreOptions m_options;
  std::atomic<std::uint64_t> m_calls{0};
  std::atomic<std::uint64_t> m_bytesSent{0};
  std::atomic<std::uint64_t> m_bytesReceived{0};
};

} // namespace nutmegdrift::platform

#endif
