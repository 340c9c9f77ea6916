// Lease timing on both sides: the holder counts from the time at which it sent
// a renewal, an observer from its first read of the renewal number.
#ifndef NUTMEGDRIFT_POLICY_LEASE_H
#define NUTMEGDRIFT_POLICY_LEASE_H

#include "nutmegdrift/base/clock.h"

#include <cstdint>
#include <map>
#include <optional>

namespace nutmegdrift::policy {

/// Durations that all daemons of a fleet have to agree on.
struct LeaseTimes {
  Duration Lease = std::chrono::seconds(3);
  /// Added on the observer's side only, so that the holder stops first.
  Duration Margin = std::chrono::milliseconds(500);
  /// Longest time between two reads that counts as readable time.
  Duration MaxReadGap = std::chrono::milliseconds(1500);
  /// Longest time between sending a renewal and its write to the platform. A
  /// renewal first read within this time plus a read gap after an outage may
  /// have been sent during the outage.
  Duration MaxRenewalAge = std::chrono::milliseconds(2500);
};

/// Lease as its holder counts it.
class LeaseHolder {
public:
  explicit LeaseHolder(LeaseTimes Times) : m_times(Times) {}

  /// Renewal \p Number was sent at \p Now.
  void recordSent(std::uint64_t Number, TimePoint Now);
  /// The platform holds renewal \p Number. Unknown numbers are ignored.
  void recordAcknowledged(std::uint64_t Number);
  /// Whether the lease is valid at \p Now; false before the first
  /// acknowledgement.
  [[nodiscard]] bool validAt(TimePoint Now) const;
  /// Send time of the newest acknowledged renewal.
  [[nodiscard]] std::optional<TimePoint> renewedAt() const {
    return m_renewedAt;
  }

private:
  LeaseTimes m_times;
  std::map<std::uint64_t, TimePoint> m_pending; ///< Sent, not acknowledged.
  std::optional<TimePoint> m_renewedAt;
};

/// Lease of one holder as an observer counts it.
class LeaseObserver {
public:
  explicit LeaseObserver(LeaseTimes Times) : m_times(Times) {}

  /// A read of the platform at \p Now returned this boot and renewal number.
  void recordRead(std::uint64_t Boot, std::uint64_t Renewal, TimePoint Now);
  /// A read of the platform failed; time up to the next read does not count.
  void recordReadFailure();

  /// Another daemon reported the platform as unreadable.
  void markInterrupted(TimePoint Now);

  [[nodiscard]] bool expired() const {
    return m_readableTime >= m_times.Lease + m_times.Margin;
  }
  /// Whether the platform may have been unreadable since the renewal was
  /// written. Also true for the first renewal read, whose age is unknown.
  [[nodiscard]] bool interrupted() const { return m_interrupted; }
  /// Readable time since the renewal was first read.
  [[nodiscard]] Duration readableTime() const { return m_readableTime; }

private:
  LeaseTimes m_times;
  std::uint64_t m_boot = 0;
  std::uint64_t m_renewal = 0;
  std::optional<TimePoint> m_lastRead; ///< Empty after a failed read.
  std::optional<TimePoint> m_lastInterruption;
  bool m_hasRenewal = false;
  bool m_interrupted = true;
  Duration m_readableTime{0};
};

} // namespace nutmegdrift::policy

#endif
