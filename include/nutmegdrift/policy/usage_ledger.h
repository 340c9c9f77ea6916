// Counts of the requests that began to run, by workspace and time window, and
// when the counts of a window suffice for its report.
#ifndef NUTMEGDRIFT_POLICY_USAGE_LEDGER_H
#define NUTMEGDRIFT_POLICY_USAGE_LEDGER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::policy {

/// Window k begins k window lengths after the start of 1970, in the fleet's
/// time.
using WindowNumber = std::uint64_t;

/// Requests that began to run in a window, by workspace.
struct UsageReport {
  std::uint64_t Window = 0;
  std::map<std::string, std::uint64_t> Counts;

  friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

/// What one start of a daemon counted in one window. Counts only grow, so two
/// states of it are merged by the larger number, in any order.
struct UsageCounts {
  DaemonName Daemon;
  BootId Boot = 0;
  WindowNumber Window = 0;
  WindowNumber First = 0;  ///< The start counted in no window before this one.
  WindowNumber Newest = 0; ///< The newest window in which it counted.
  /// Counts holds all requests that began before this time of the fleet.
  WallTime CompleteUpTo{};
  bool Ended = false; ///< The daemon stops and counts no more.
  std::map<std::string, std::uint64_t> Counts;

  friend bool operator==(const UsageCounts &, const UsageCounts &) = default;
};

/// Counts this daemon's requests and merges the counts of others. Any daemon
/// may become the holder of the duty, so each has a ledger; only the holder and
/// the next candidate receive the counts of others. Does no I/O; not
/// thread-safe.
class UsageLedger {
public:
  struct Options {
    Duration Window = std::chrono::seconds(5);
    /// Time from the end of a window to the time at which its report is due.
    Duration Late = std::chrono::seconds(10);
  };

  /// Interval at which counts are sent.
  static constexpr Duration SendInterval = std::chrono::milliseconds(500);
  /// A window whose end is further back is sent less often: within this time,
  /// several messages in a row must be lost for a target to miss it.
  static constexpr Duration FrequentAfterEnd = std::chrono::seconds(3);
  /// Interval for such windows, and for the counts of lost daemons.
  static constexpr Duration SlowSendInterval = std::chrono::milliseconds(2500);
  /// A window is not decided before this time after its end: the daemons' views
  /// of the fleet's time differ by the delay of heartbeats.
  static constexpr Duration DecisionDelay = std::chrono::milliseconds(300);
  /// A daemon decides only after it has been asked for reports for this long
  /// without a gap. A new holder gets the counts of all within SendInterval,
  /// and one that was paused has missed some.
  static constexpr Duration HolderDelay = std::chrono::milliseconds(1500);
  static constexpr Duration MaxAskGap = std::chrono::seconds(1);
  /// Fractions of Options::Late. Lost daemons are waited for up to the first
  /// one, because a short loss of the network is likelier than a kill; live
  /// ones up to the second; and up to the third while counts of fewer than half
  /// of the daemons are known, because a report that is far off is of no use.
  static constexpr double LostWait = 0.3;
  static constexpr double AliveWait = 0.6;
  static constexpr double MajorityWait = 0.9;
  /// Older pending windows are dropped. Bounds the memory of a holder in a long
  /// outage of the store.
  static constexpr std::size_t MaxPendingWindows = 60;
  /// Messages of windows that are further ahead are ignored: a daemon that
  /// knows no clock but its own may be wrong by seconds.
  static constexpr WindowNumber MaxWindowsAhead = 2;
  /// Workspaces beyond this number are not counted.
  static constexpr std::size_t MaxWorkspaces = 4096;

  UsageLedger(DaemonName Self, BootId Boot, const Options &Settings);

  /// Counts a request of this daemon that began to run at Began.
  void count(const std::string &Workspace, WallTime Began);
  /// Merges the counts of another daemon.
  void merge(const UsageCounts &Received, WallTime FleetTime);
  /// Drops the windows up to Last: their reports are decided.
  void dropDecided(WindowNumber Last);

  /// Whether the daemons of these starts, all known except this one, send
  /// heartbeats.
  using Fleet = std::map<BootId, bool>;
  /// The messages that are due: this daemon's counts, and those of lost daemons
  /// that it knows. To be called each SendInterval.
  [[nodiscard]] std::vector<UsageCounts>
  takeMessages(TimePoint Now, WallTime FleetTime, const Fleet &Others);
  /// This daemon's counts of all pending windows, before it ends.
  [[nodiscard]] std::vector<UsageCounts> lastMessages(WallTime FleetTime);
  /// All messages become due, as there is a new target.
  void resendAll();

  /// Reports of windows after After that can be decided, oldest first. To be
  /// called at short intervals while this daemon holds the duty.
  [[nodiscard]] std::vector<UsageReport> due(TimePoint Now, WallTime FleetTime,
                                             const Fleet &Others,
                                             WindowNumber After);
  /// Other daemons whose counts of the window are not complete.
  [[nodiscard]] std::size_t missing(WindowNumber Window, WallTime FleetTime,
                                    const Fleet &Others) const;
  /// Pending windows that have ended.
  [[nodiscard]] std::size_t pending(WallTime FleetTime) const;

private:
  struct WindowCounts {
    std::vector<std::uint32_t> ByWorkspace; ///< Index: m_workspaces.
    WallTime CompleteUpTo{};
    std::optional<TimePoint> SentAt{};
  };
  struct Start {
    DaemonName Daemon;
    WindowNumber First = 0;
    WindowNumber Newest = 0;
    bool Ended = false;
    std::map<WindowNumber, WindowCounts> Windows;
  };
  enum class Readiness { Open, Unknown, Ready };

  [[nodiscard]] WindowNumber windowAt(WallTime Time) const;
  [[nodiscard]] WallTime endOf(WindowNumber Window) const;
  std::optional<std::size_t> indexOf(const std::string &Workspace);
  void openWindows(WindowNumber Current);
  static void dropOldest(Start &Known);
  [[nodiscard]] UsageCounts message(BootId Boot, const Start &Sender,
                                    WindowNumber Window) const;
  [[nodiscard]] bool complete(BootId Boot, WindowNumber Window,
                              WallTime FleetTime) const;
  [[nodiscard]] Readiness readiness(WindowNumber Window, WallTime FleetTime,
                                    const Fleet &Others) const;
  [[nodiscard]] UsageReport report(WindowNumber Window) const;
  [[nodiscard]] std::optional<WindowNumber> oldestKnown() const;

  const BootId m_boot;
  const Options m_options;
  std::map<BootId, Start> m_starts;             ///< m_boot included.
  bool m_counting = false;                      ///< First of m_boot is known.
  std::map<std::string, std::size_t> m_indexes; ///< Of m_workspaces.
  std::vector<std::string> m_workspaces;
  WindowNumber m_decided = 0;
  std::optional<TimePoint> m_askedSince;
  TimePoint m_lastAsked{};
};

} // namespace nutmegdrift::policy

#endif
