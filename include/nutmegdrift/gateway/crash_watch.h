// Requests that crash the replicas that run them, counted over the fleet.
#ifndef NUTMEGDRIFT_GATEWAY_CRASH_WATCH_H
#define NUTMEGDRIFT_GATEWAY_CRASH_WATCH_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/gateway/fleet_messages.h"

#include <map>
#include <set>

namespace nutmegdrift::gateway {

/// A request under way when its replica's connection broke may have crashed it.
/// One that broke at several replicas that then could not be reached is
/// refused. Decides without I/O. Not thread-safe.
class CrashWatch {
public:
  /// Crashes after which a request is refused.
  static constexpr std::size_t MaxCrashes = 2;
  /// A broken request counts only if its replica can't be reached within this
  /// time.
  static constexpr Duration ConfirmationWindow = std::chrono::seconds(2);
  static constexpr Duration SuspectRetention = std::chrono::minutes(2);
  /// Entries told to other daemons in one beat.
  static constexpr std::size_t MaxReported = 8;
  static constexpr std::size_t MaxSuspects = 2048;

  /// The request's connection to the replica broke while it ran. Replica names
  /// one start of it.
  void connectionBroke(std::uint64_t Fingerprint, const std::string &Replica,
                       TimePoint Now);
  /// The replica can't be reached, or started anew.
  void markUnreachable(const std::string &Replica, TimePoint Now);
  /// The replica serves, so it did not crash.
  void markAlive(const std::string &Replica);
  [[nodiscard]] bool refuses(std::uint64_t Fingerprint, TimePoint Now) const;
  void merge(const SuspectCount &FromPeer, TimePoint Now);
  /// The newest entries, for the other daemons.
  [[nodiscard]] std::vector<SuspectCount> newestSuspects(TimePoint Now) const;

private:
  struct Suspect {
    std::set<std::string> Crashed;
    TimePoint Seen{};
  };
  struct Broken {
    std::uint64_t Fingerprint;
    TimePoint At;
  };

  Suspect &suspect(std::uint64_t Fingerprint, TimePoint Now);

  std::map<std::uint64_t, Suspect> m_suspects;
  std::multimap<std::string, Broken> m_broken; ///< By replica.
};

} // namespace nutmegdrift::gateway

#endif
