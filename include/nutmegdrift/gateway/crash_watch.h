// Fleet-wide detection of requests that crash the replicas that run them.
#ifndef NUTMEGDRIFT_GATEWAY_CRASH_WATCH_H
#define NUTMEGDRIFT_GATEWAY_CRASH_WATCH_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/gateway/fleet_messages.h"

#include <map>
#include <set>

namespace nutmegdrift::gateway {

/// A request whose connection to a replica broke may have crashed the replica.
/// A request is refused after several replicas became unreachable in this way.
/// The daemons share these counts.
/// Performs no I/O. Not thread-safe.
class CrashWatch {
public:
  /// A request with this many crashes or more is refused.
  static constexpr std::size_t MaxCrashes = 2;
  /// A broken connection counts as a crash only if the replica becomes
  /// unreachable within this time.
  static constexpr Duration ConfirmationWindow = std::chrono::seconds(2);
  static constexpr Duration SuspectRetention = std::chrono::minutes(2);
  /// What is refused is admitted again this long after its last crash, because
  /// its cause may have been corrected.
  static constexpr Duration RefusalTime = std::chrono::hours(1);
  /// Maximum number of suspects in a heartbeat to other daemons.
  static constexpr std::size_t MaxReported = 32;
  static constexpr std::size_t MaxSuspects = 2048;

  /// The connection to the replica broke while the request ran. Replica
  /// identifies one start of the replica.
  void connectionBroke(std::uint64_t Fingerprint, const std::string &Replica,
                       TimePoint Now);
  /// The replica is unreachable or has restarted. Returns the crashes counted
  /// so far for each request whose connection to it broke before.
  std::vector<std::size_t> markUnreachable(const std::string &Replica,
                                           TimePoint Now);
  /// The replica serves requests, so it did not crash.
  void markAlive(const std::string &Replica);
  [[nodiscard]] bool refuses(std::uint64_t Fingerprint, TimePoint Now) const;
  void merge(const SuspectCount &FromPeer, TimePoint Now);
  [[nodiscard]] std::size_t suspects() const { return m_suspects.size(); }
  /// To report to other daemons: what is refused and then the other suspects,
  /// the most recent ones first.
  [[nodiscard]] std::vector<SuspectCount> newestSuspects(TimePoint Now) const;

private:
  struct Suspect {
    std::set<std::string> Crashed;
    TimePoint LastCrash{};
  };
  struct BrokenConnection {
    std::uint64_t Fingerprint;
    TimePoint BrokeAt;
  };

  [[nodiscard]] static bool expired(const Suspect &Value, TimePoint Now) {
    return Now - Value.LastCrash > (Value.Crashed.size() >= MaxCrashes
                                        ? RefusalTime
                                        : SuspectRetention);
  }
  Suspect &suspect(std::uint64_t Fingerprint, TimePoint Now);

  std::map<std::uint64_t, Suspect> m_suspects;
  /// By replica.
  std::multimap<std::string, BrokenConnection> m_brokenConnections;
};

} // namespace nutmegdrift::gateway

#endif
