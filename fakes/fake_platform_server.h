// A stand-in for the platform's object API: HTTP over a MemoryObjectStore.
//
//   POST /faults  {"down":B, "slow_ms":N, "lose_write_answer":B,
//                  "stale_reads":B, "watch_gap":N}; fields left out stay.
//                  watch_gap: the next N watches answer 410.
//   GET  /faults  the current switches
//   GET  /calls   {"reads":N, "writes":N, "watches":N}
//
// DELETE /objects/<name> with X-If-Version removes an object.
#ifndef NUTMEGDRIFT_FAKES_FAKE_PLATFORM_SERVER_H
#define NUTMEGDRIFT_FAKES_FAKE_PLATFORM_SERVER_H

#include "nutmegdrift/platform/memory_object_store.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>

namespace nutmegdrift::fakes {

/// Fault switches beyond those of the store.
struct PlatformFaults {
  platform::StoreFaults Store;
  std::chrono::milliseconds Slow{0}; ///< Delay before each call is served.
  unsigned WatchGaps = 0;            ///< Watches left that answer 410.
};

/// Serves on 127.0.0.1 until destroyed.
class FakePlatformServer {
public:
  /// Port 0 lets the system choose.
  explicit FakePlatformServer(std::uint16_t Port);
  ~FakePlatformServer();
  FakePlatformServer(const FakePlatformServer &) = delete;
  FakePlatformServer &operator=(const FakePlatformServer &) = delete;

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] platform::MemoryObjectStore &store() { return m_store; }

  void setFaults(const PlatformFaults &Faults);
  [[nodiscard]] PlatformFaults faults() const;
  /// True if this watch has to answer 410; uses up one of WatchGaps.
  bool takeWatchGap();

private:
  platform::MemoryObjectStore m_store;
  mutable std::mutex m_mutex;
  PlatformFaults m_faults;
  Poco::ThreadPool m_threads;
  std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace nutmegdrift::fakes

#endif
