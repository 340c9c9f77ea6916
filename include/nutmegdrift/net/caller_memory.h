// A limit on the bytes that all callers together make a process keep.
#ifndef NUTMEGDRIFT_NET_CALLER_MEMORY_H
#define NUTMEGDRIFT_NET_CALLER_MEMORY_H

#include "nutmegdrift/base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace nutmegdrift::net {

/// Decides which requests are read when memory is short. A body is read only
/// with bytes reserved for it. If there are too few, unfinished bodies without
/// progress give theirs back, and otherwise the reservation fails. Complete
/// requests never have to give way.
class CallerMemory {
public:
  struct Options {
    std::size_t Limit = SIZE_MAX; ///< Bytes.
    /// An unfinished body that received less than MinProgress in this time may
    /// have to give way.
    Duration StallTime = std::chrono::seconds(1);
  };

  /// A request up to this size is small: it isn't charged to its owner, and
  /// the part of the limit that is left to small ones is for it.
  static constexpr std::size_t SmallBytes = std::size_t{64} * 1024;
  /// Share of the limit for requests that aren't small, so that they never keep
  /// the small ones out.
  static constexpr double LargeShare = 0.75;
  static constexpr std::size_t MinProgress = std::size_t{16} * 1024;

  explicit CallerMemory(Options Limits) : m_options(Limits) {}
  CallerMemory(const CallerMemory &) = delete;
  CallerMemory &operator=(const CallerMemory &) = delete;

  /// The bytes of one request or connection.
  class Share {
  public:
    /// Without a CallerMemory nothing is counted or limited.
    explicit Share(std::shared_ptr<CallerMemory> Memory)
        : m_memory(std::move(Memory)) {}
    ~Share() { release(); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets the reserved bytes of an unfinished request. False, and nothing is
    /// changed, if there are too few. Received: bytes of the request so far.
    bool reserve(std::size_t Bytes, std::size_t Received, const Clock &Clk);
    /// Sets the bytes of what has to be kept: a complete request, or a
    /// connection. It no longer has to give way.
    void keep(std::size_t Bytes);
    void release() { keep(0); }
    /// Whose share a large request counts towards. Set before it is large.
    void setOwner(std::string Owner) {
      if (!large())
        m_owner = std::move(Owner);
    }
    [[nodiscard]] const std::string &owner() const { return m_owner; }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

    /// The request has to give way. The call must release the share.
    std::function<void()> OnGiveWay{};

  private:
    friend class CallerMemory;
    void set(std::size_t Bytes);
    [[nodiscard]] bool large() const { return m_bytes > SmallBytes; }

    std::shared_ptr<CallerMemory> m_memory;
    std::size_t m_bytes = 0;
    std::string m_owner;
    /// When, and with how many bytes, it last made progress.
    TimePoint m_progressAt{};
    std::size_t m_progressBytes = 0;
  };

  [[nodiscard]] std::size_t used() const { return m_used; }
  /// Largest value of used() since the last call.
  std::size_t takePeak() { return std::exchange(m_peak, m_used); }
  /// Reservations that failed, and requests that had to give way.
  [[nodiscard]] std::uint64_t refused() const { return m_refused; }
  [[nodiscard]] std::uint64_t gaveWay() const { return m_gaveWay; }

private:
  /// Whether the share may have this many bytes.
  [[nodiscard]] bool fits(const Share &Asking, std::size_t Bytes) const;
  /// The stalled body with the most bytes times seconds without progress.
  [[nodiscard]] Share *stalled(const Share &Asking, TimePoint Now) const;

  const Options m_options;
  std::size_t m_used = 0;
  std::size_t m_peak = 0;
  std::size_t m_large = 0;                     ///< Of large requests.
  std::map<std::string, std::size_t> m_owners; ///< Of large requests, by owner.
  std::set<Share *> m_unfinished;              ///< Large ones.
  std::uint64_t m_refused = 0;
  std::uint64_t m_gaveWay = 0;
};

} // namespace nutmegdrift::net

#endif
