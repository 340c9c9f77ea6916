// Lease counting on both sides: the holder counts from the time at which it
// sent a renewal, an observer from its first sight of the renewal number.
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
  /// Added to the observer's count only, so that the holder stops first.
  Duration Margin = std::chrono::milliseconds(500);
  /// Longest time between two reads that still counts as readable time.
  Duration MaxReadGap = std::chrono::milliseconds(1500);
  /// Longest time between the sending of a heartbeat and its write. A renewal
  /// first seen within this time plus a read gap after an outage may have been
  /// sent during the outage.
  Duration MaxHeartbeatAge = std::chrono::milliseconds(2500);
};

/// The holder's own count.
class LeaseHolder {
public:
  explicit LeaseHolder(LeaseTimes Times) : m_times(Times) {}

  /// Starts renewal Number, sent at Now.
  void recordSent(std::uint64_t Number, TimePoint Now);
  /// The platform holds renewal Number. Unknown numbers are ignored.
  void recordAcknowledged(std::uint64_t Number);
  /// Whether the lease runs at Now; false before the first acknowledgement.
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

/// An observer's count of one holder's lease.
class LeaseObserver {
public:
  explicit LeaseObserver(LeaseTimes Times) : m_times(Times) {}

  /// A read of the platform at Now showed this boot and renewal number.
  void recordRead(std::uint64_t Boot, std::uint64_t Renewal, TimePoint Now);
  /// A read of the platform failed: time up to the next read does not count.
  void recordReadFailure();

  /// Another daemon reported that it could not read the platform.
  void markInterrupted(TimePoint Now);

  [[nodiscard]] bool expired() const {
    return m_readableTime >= m_times.Lease + m_times.Margin;
  }
  /// Whether the platform may have been unreadable since the renewal was
  /// written. Also true for the first renewal seen, whose age is unknown.
  [[nodiscard]] bool interrupted() const { return m_interrupted; }
  /// Readable time since the renewal was first seen.
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
