// Follows the platform objects under a prefix by list and watch.
#ifndef NUTMEGDRIFT_CONTROL_OBJECT_FOLLOWER_H
#define NUTMEGDRIFT_CONTROL_OBJECT_FOLLOWER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/platform/object_store.h"

#include <functional>
#include <map>
#include <string>

namespace nutmegdrift::control {

/// Reports each object whose version increases, and never an older state:
/// results of lists and watches are compared with the newest version received
/// of each object, so that stale reads are dropped. Not thread-safe.
class ObjectFollower {
public:
  /// After a gap in the watch, the list may be stale; the new watch then starts
  /// after a change that the list lacks. The list is therefore repeated after
  /// this time, then at doubling intervals up to MaxRelistInterval.
  static constexpr Duration MinRelistInterval = std::chrono::seconds(2);
  static constexpr Duration MaxRelistInterval = std::chrono::seconds(64);

  using Handler = std::function<void(const platform::Change &)>;

  ObjectFollower(const Clock &Clk, platform::ObjectStore &Store,
                 std::string Prefix, Handler OnChange);

  /// Lists if a list is due, then watches for at most Wait. Errors:
  /// PlatformUnavailable.
  Result<void> step(std::chrono::milliseconds Wait);

private:
  Result<void> list();
  Result<void> watch(std::chrono::milliseconds Wait);
  void apply(const platform::Change &Item);
  void removeMissing(const platform::Listing &Listed);

  const Clock &m_clock;
  platform::ObjectStore &m_store;
  const std::string m_prefix;
  const Handler m_onChange;
  struct NewestVersion {
    platform::ObjectVersion Version = 0;
    bool Deleted = false;
  };
  std::map<std::string, NewestVersion> m_newest; ///< By object name.
  platform::ObjectVersion m_watchFrom =
      0; ///< Revision from which the watch continues.
  bool m_listed = false;
  Duration m_relistInterval = MinRelistInterval;
  TimePoint m_nextList{};
};

} // namespace nutmegdrift::control

#endif
