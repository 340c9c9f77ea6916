// Which daemons of a fleet read the platform's store for the others. Each
// daemon decides for itself, by its own calls and by the heartbeats of the
// others. Does no I/O.
#ifndef NUTMEGDRIFT_POLICY_STORE_READERS_H
#define NUTMEGDRIFT_POLICY_STORE_READERS_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"

#include <optional>
#include <string_view>
#include <tuple>

namespace nutmegdrift::policy {

/// How changes in the store reach a daemon by its own calls, whatever the other
/// daemons tell it.
enum class StoreContact {
  Late,    ///< Its watches may be answered late.
  Current, ///< Its watches are answered at once.
  Lost,    ///< Its calls fail.
};

/// "late", "current" or "lost".
std::string_view toString(StoreContact Contact);

/// A daemon's place in the order of readers; the lowest reads first.
struct ReaderPlace {
  bool LostStore = false;
  bool Refusing = false; ///< It accepts no requests.
  DaemonName Daemon;

  friend bool operator==(const ReaderPlace &, const ReaderPlace &) = default;
  friend bool operator<(const ReaderPlace &A, const ReaderPlace &B) {
    return std::tie(A.LostStore, A.Refusing, A.Daemon) <
           std::tie(B.LostStore, B.Refusing, B.Daemon);
  }
};

/// Judges by the outcomes of a daemon's calls whether the store answers it.
class StoreReach {
public:
  /// A single failure may concern only one connection.
  static constexpr unsigned FailuresUntilLost = 2;
  /// All connections may break at once while the store answers on new ones.
  static constexpr Duration MinLossTime = std::chrono::milliseconds(250);

  void callEnded(bool Answered, TimePoint Now);
  [[nodiscard]] bool lost(TimePoint Now) const;

private:
  unsigned m_failures = 0;    ///< Since the last answer.
  TimePoint m_firstFailure{}; ///< Valid while m_failures > 0.
};

/// Decides whether a daemon's watches have to be current.
class ReaderRole {
public:
  /// Number of daemons whose watches are current.
  static constexpr std::size_t Readers = 2;
  /// A daemon that has just started doesn't know its rank, and the watches of
  /// all daemons that start together would be current.
  static constexpr Duration DiscoveryTime = std::chrono::seconds(2);
  /// A daemon becomes a reader once it is among the first for this long. In an
  /// outage daemons notice the loss one after another, and those that notice it
  /// last are first in the order for a moment.
  static constexpr Duration PromotionDelay = std::chrono::milliseconds(500);
  /// A daemon that confirmed the desired state itself reads for this long if it
  /// knows no reader: the others may be alive and not receive changes.
  static constexpr Duration ReadTimeAfterConfirm = std::chrono::seconds(5);
  /// A reader without a heartbeat for this long no longer counts as one.
  static constexpr Duration ReaderTimeout = std::chrono::milliseconds(2500);

  enum class Reason {
    JustStarted,
    FirstInOrder,  ///< Among the first Readers for PromotionDelay.
    NoKnownReader, ///< The store answers this daemon, and no earlier one reads.
    OtherReader,   ///< The store answers this daemon, but an earlier one reads.
    NotFirst,
  };
  struct Decision {
    bool Current = false; ///< Whether watches have to be current.
    Reason Because = Reason::JustStarted;

    friend bool operator==(const Decision &, const Decision &) = default;
  };

  explicit ReaderRole(TimePoint Started) : m_started(Started) {}

  /// The store has answered this daemon's own question for the newest state.
  void confirmedHere(TimePoint Now) { m_confirmed = Now; }
  /// The store answers no calls of this daemon, see StoreReach: an earlier
  /// confirmation no longer says that it would.
  void lostStore() { m_confirmed.reset(); }
  /// A heartbeat of a daemon that is before this one in the order.
  void heardEarlier(StoreContact Contact, TimePoint Now);
  /// Rank: number of daemons before this one in the order.
  [[nodiscard]] Decision decide(std::size_t Rank, TimePoint Now);

private:
  TimePoint m_started;
  std::optional<TimePoint> m_confirmed;   ///< By this daemon.
  std::optional<TimePoint> m_readerHeard; ///< Heartbeat of an earlier reader.
  std::optional<TimePoint> m_firstSince;  ///< Set while among the first.
};

/// "just started", "first in order", "no known reader", "another daemon reads"
/// or "not first".
std::string_view toString(ReaderRole::Reason Reason);

} // namespace nutmegdrift::policy

#endif
