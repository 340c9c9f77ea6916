// Prompt parts whose requests are refused because they crash replicas.
#ifndef NUTMEGDRIFT_GATEWAY_PROMPT_QUARANTINE_H
#define NUTMEGDRIFT_GATEWAY_PROMPT_QUARANTINE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/gateway/fleet_messages.h"

namespace nutmegdrift::gateway {

/// All daemons have the same entries: each reports those that it knows in its
/// heartbeats. Performs no I/O. Not thread-safe.
class PromptQuarantine {
public:
  /// Requests are admitted again this long after the last crash, because its
  /// cause may have been corrected.
  static constexpr Duration RefusalTime = std::chrono::hours(1);
  /// Entries in one heartbeat; if there are more, the next one goes on.
  static constexpr std::size_t MaxReported = 32;
  /// The entry whose crash is oldest goes first.
  static constexpr std::size_t MaxEntries = 1024;

  /// Adds or renews an entry of this daemon or of another one. True if it is
  /// new.
  bool merge(const QuarantinedParts &Entry, TimePoint Now);
  /// Parts: see routing::sharedParts().
  [[nodiscard]] bool refuses(const std::string &Service,
                             const std::vector<std::uint64_t> &Parts,
                             TimePoint Now) const;
  /// The entries to report to other daemons. Each has its present age.
  [[nodiscard]] std::vector<QuarantinedParts> report(TimePoint Now);
  [[nodiscard]] std::size_t size() const { return m_lastCrash.size(); }

private:
  /// Service and parts.
  using Key = std::pair<std::string, std::vector<std::uint64_t>>;

  std::map<Key, TimePoint> m_lastCrash;
  std::size_t m_nextReported = 0;
};

} // namespace nutmegdrift::gateway

#endif
