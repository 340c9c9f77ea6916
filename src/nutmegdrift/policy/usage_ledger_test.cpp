// Tests of usage counts with daemons that are killed, paused or cut off, clocks
// that are wrong, and messages that are lost, repeated and reordered.
#include "nutmegdrift/base/random.h"
#include "nutmegdrift/policy/fleet_clock.h"
#include "nutmegdrift/policy/usage_ledger.h"

#include <gtest/gtest.h>

#include <cmath>
#include <memory>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 10ms;
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration LostAfter = 1700ms;
/// Relative error of a count that a report may have.
constexpr double Tolerance = 0.05;

WallTime trueTime(TimePoint Now) {
  return WallTime(1'700'000'000s + Now.time_since_epoch());
}

WindowNumber trueWindow(TimePoint Now) {
  return static_cast<WindowNumber>(trueTime(Now).time_since_epoch() / 5s);
}

/// Daemons on one virtual clock, each with a wall clock and ledger of its own.
struct UsageFleet {
  struct Daemon {
    DaemonName Name;
    BootId Boot = 0;
    Duration WallError{0};
    std::unique_ptr<UsageLedger> Ledger;
    FleetClock Clock;
    bool Running = true; ///< False: killed.
    bool CutOff = false;
    TimePoint NextSend{};
    std::map<DaemonName, std::pair<BootId, TimePoint>> Heard;
    std::vector<DaemonName> Targets;
  };
  struct Datagram {
    DaemonName To;
    UsageCounts Counts;
  };

  explicit UsageFleet(int Size) {
    for (int I = 0; I < Size; ++I)
      start("d" + std::to_string(I));
    Holder = "d0";
  }

  Daemon &start(const DaemonName &Name) {
    Daemon &New = Daemons[Name];
    New = Daemon{.Name = Name, .Boot = ++LastBoot, .NextSend = Now};
    New.Ledger =
        std::make_unique<UsageLedger>(Name, New.Boot, UsageLedger::Options{});
    New.Clock.observe(Name, trueTime(Now), Now);
    New.Clock.update(Now);
    New.Ledger->dropDecided(Decided);
    return New;
  }

  bool connected(const Daemon &A, const Daemon &B) const {
    return A.Running && B.Running && !A.CutOff && !B.CutOff;
  }

  UsageLedger::Fleet othersOf(const Daemon &Viewer) const {
    UsageLedger::Fleet Out;
    for (const auto &[Name, Known] : Viewer.Heard)
      Out[Known.first] = Now - Known.second < LostAfter;
    return Out;
  }

  void beat(Daemon &Sender) {
    for (auto &[Name, Peer] : Daemons)
      if (Name != Sender.Name && connected(Sender, Peer)) {
        Peer.Heard[Sender.Name] = {Sender.Boot, Now};
        Peer.Clock.observe(Sender.Name, trueTime(Now) + Sender.WallError - 3ms,
                           Now);
        Peer.Clock.update(Now);
      }
    Sender.Clock.observe(Sender.Name, trueTime(Now) + Sender.WallError, Now);
    Sender.Clock.update(Now);
  }

  void send(Daemon &Sender) {
    std::vector<DaemonName> Targets{Holder};
    for (const auto &[Name, Peer] : Daemons)
      if (Name != Holder && Peer.Running && Targets.size() < 2)
        Targets.push_back(Name);
    if (Targets != Sender.Targets)
      Sender.Ledger->resendAll();
    Sender.Targets = Targets;
    post(Sender, Sender.Ledger->takeMessages(Now, Sender.Clock.at(Now),
                                             othersOf(Sender)));
  }

  void post(Daemon &Sender, const std::vector<UsageCounts> &Messages) {
    for (const UsageCounts &Message : Messages)
      for (const DaemonName &Target : Sender.Targets) {
        if (Target == Sender.Name || !connected(Sender, Daemons[Target]))
          continue;
        const int Copies = uniform(Rng) < LostShare ? 0
                           : uniform(Rng) < 0.2     ? 2
                                                    : 1;
        for (int I = 0; I < Copies; ++I)
          InFlight.emplace(
              Now + 10ms +
                  std::chrono::duration_cast<Duration>(Delay * uniform(Rng)),
              Datagram{Target, Message});
      }
  }

  void step() {
    Now += Step;
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const Datagram &Next = InFlight.begin()->second;
      Daemon &Target = Daemons[Next.To];
      if (Target.Running)
        Target.Ledger->merge(Next.Counts, Target.Clock.at(Now));
      InFlight.erase(InFlight.begin());
    }
    for (auto &[Name, Each] : Daemons) {
      if (!Each.Running)
        continue;
      if (uniform(Rng) < 0.5) {
        const std::string Workspace =
            "w" + std::to_string(static_cast<int>(uniform(Rng) * 3));
        Each.Ledger->count(Workspace, Each.Clock.at(Now));
        ++Truth[trueWindow(Now)][Workspace];
      }
      if (Now >= Each.NextSend) {
        Each.NextSend = Now + HeartbeatInterval;
        beat(Each);
        send(Each);
      }
    }
    decide();
  }

  void decide() {
    Daemon &Current = Daemons[Holder];
    if (!Current.Running || !Decides)
      return;
    for (UsageReport &Report : Current.Ledger->due(
             Now, Current.Clock.at(Now), othersOf(Current), Decided)) {
      Decided = Report.Window;
      const Duration End = (Report.Window + 1) * 5s;
      Latest = std::max(Latest, trueTime(Now).time_since_epoch() - End);
      EXPECT_TRUE(Reports.emplace(Report.Window, Report).second);
    }
    for (auto &[Name, Each] : Daemons)
      if (!Each.CutOff)
        Each.Ledger->dropDecided(Decided);
  }

  void run(Duration Length) {
    const TimePoint End = Now + Length;
    while (Now < End)
      step();
  }

  /// Largest relative error over all reports; 1 if a window is missing between
  /// the first and the last one.
  double worstError() const {
    double Worst = 0.0;
    for (WindowNumber Window = Reports.begin()->first;
         Window <= Reports.rbegin()->first; ++Window) {
      if (!Reports.contains(Window))
        return 1.0;
      for (const auto &[Workspace, Count] : Truth.at(Window)) {
        const auto &Counts = Reports.at(Window).Counts;
        const auto Known = Counts.find(Workspace);
        const double Reported =
            Known == Counts.end() ? 0.0 : static_cast<double>(Known->second);
        Worst = std::max(Worst, std::abs(Reported - Count) / Count);
      }
    }
    return Worst;
  }

  TimePoint Now{1000s};
  Random Rng{7};
  std::map<DaemonName, Daemon> Daemons;
  std::multimap<TimePoint, Datagram> InFlight;
  std::map<WindowNumber, std::map<std::string, double>> Truth;
  std::map<WindowNumber, UsageReport> Reports;
  DaemonName Holder;
  WindowNumber Decided = 0;
  BootId LastBoot = 0;
  double LostShare = 0.0;
  Duration Delay{0};
  bool Decides = true;
  Duration Latest{0}; ///< Longest time from a window's end to its decision.
};

TEST(UsageLedger, ReportsEachWindowExactlyAndSoon) {
  UsageFleet Fleet(6);
  Fleet.run(32s);
  EXPECT_GE(Fleet.Reports.size(), 6U);
  EXPECT_LT(Fleet.worstError(), 0.01);
  EXPECT_LT(Fleet.Latest, 2s);
}

// Guards against counts that depend on the order or number of messages.
TEST(UsageLedger, LostRepeatedAndReorderedMessagesChangeNothing) {
  UsageFleet Fleet(6);
  Fleet.LostShare = 0.3;
  Fleet.Delay = 900ms;
  Fleet.run(42s);
  EXPECT_GE(Fleet.Reports.size(), 7U);
  EXPECT_LT(Fleet.worstError(), 0.01);
  EXPECT_LT(Fleet.Latest, 6s);
}

// A killed daemon may lose what it counted since its last message only.
TEST(UsageLedger, AKilledDaemonsCountsAreReported) {
  UsageFleet Fleet(6);
  Fleet.run(13s);
  Fleet.Daemons["d3"].Running = false;
  Fleet.run(30s);
  EXPECT_GE(Fleet.Reports.size(), 7U);
  EXPECT_LT(Fleet.worstError(), Tolerance);
  EXPECT_LT(Fleet.Latest, 6s);
}

// The next holder must know what the killed one and a daemon that was killed
// before it had counted.
TEST(UsageLedger, TheNextHolderKnowsTheCountsOfTheKilledOne) {
  UsageFleet Fleet(6);
  Fleet.run(12s);
  Fleet.Daemons["d4"].Running = false;
  Fleet.run(1s);
  Fleet.Daemons["d0"].Running = false;
  Fleet.run(4s);
  Fleet.Holder = "d1";
  Fleet.run(30s);
  EXPECT_GE(Fleet.Reports.size(), 7U);
  EXPECT_LT(Fleet.worstError(), Tolerance);
  EXPECT_LT(Fleet.Latest, 10s);
}

// A restarted daemon takes the duty back at once and must not report only what
// it counted since its start.
TEST(UsageLedger, ARestartedHolderWaitsForTheCountsOfOthers) {
  UsageFleet Fleet(6);
  Fleet.run(13500ms);
  Fleet.Daemons["d0"].Running = false;
  Fleet.run(1s);
  Fleet.start("d0");
  Fleet.run(30s);
  EXPECT_GE(Fleet.Reports.size(), 7U);
  EXPECT_LT(Fleet.worstError(), Tolerance);
  EXPECT_LT(Fleet.Latest, 6s);
}

// A holder that is cut off from the others, but not from the store, must not
// report its own counts as all.
TEST(UsageLedger, AHolderThatHearsNobodyWaits) {
  UsageFleet Fleet(6);
  Fleet.run(13s);
  Fleet.Daemons["d0"].CutOff = true;
  Fleet.run(6s);
  Fleet.Daemons["d0"].CutOff = false;
  Fleet.run(20s);
  EXPECT_GE(Fleet.Reports.size(), 6U);
  EXPECT_LT(Fleet.worstError(), Tolerance);
}

// Windows follow the clocks of most daemons.
TEST(UsageLedger, ClocksThatDifferAndJumpDoNotMoveCounts) {
  UsageFleet Fleet(7);
  Fleet.Daemons["d1"].WallError = 3s;
  Fleet.Daemons["d2"].WallError = -4s;
  Fleet.Daemons["d0"].WallError = 2s; // The holder.
  Fleet.run(17s);
  Fleet.Daemons["d0"].WallError = -3s;
  Fleet.run(30s);
  EXPECT_GE(Fleet.Reports.size(), 8U);
  EXPECT_LT(Fleet.worstError(), Tolerance);
}

// While the store is down no report is decided; all pending ones follow.
TEST(UsageLedger, PendingWindowsAreReportedAfterAnOutage) {
  UsageFleet Fleet(6);
  Fleet.run(8s);
  Fleet.Decides = false;
  Fleet.run(40s);
  Fleet.Decides = true;
  Fleet.run(4s);
  EXPECT_GE(Fleet.Reports.size(), 9U);
  EXPECT_LT(Fleet.worstError(), 0.01);
}

// A late decision must not make a daemon count again what is decided, nor
// report a window that it dropped.
TEST(UsageLedger, DropsDecidedWindows) {
  UsageLedger Ledger("d", 1, {});
  const TimePoint Start{1000s};
  Ledger.count("w", trueTime(Start));
  const WindowNumber Window = trueWindow(Start);
  Ledger.dropDecided(Window);
  Ledger.count("w", trueTime(Start));
  std::vector<UsageReport> Reports;
  for (TimePoint Now = Start; Now < Start + 20s; Now += 100ms)
    for (const UsageReport &Report : Ledger.due(Now, trueTime(Now), {}, 0)) {
      Ledger.dropDecided(Report.Window);
      Reports.push_back(Report);
    }
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports[0], (UsageReport{Window + 1, {{"w", 1}}}));
}

// A planned stop must not delay the reports or lose counts.
TEST(UsageLedger, AStoppedDaemonIsNotWaitedFor) {
  UsageFleet Fleet(6);
  Fleet.run(13s);
  auto &Stopped = Fleet.Daemons["d3"];
  Fleet.post(Stopped,
             Stopped.Ledger->lastMessages(Stopped.Clock.at(Fleet.Now)));
  Stopped.Running = false;
  Fleet.run(20s);
  EXPECT_LT(Fleet.worstError(), 0.01);
  EXPECT_LT(Fleet.Latest, 2s);
}

TEST(UsageLedger, IgnoresMessagesOfWindowsFarAhead) {
  UsageLedger Ledger("d", 1, {});
  const TimePoint Now{1000s};
  Ledger.count("w", trueTime(Now));
  for (WindowNumber Ahead = 3; Ahead < 100; ++Ahead)
    Ledger.merge({.Daemon = "e",
                  .Boot = 2,
                  .Window = trueWindow(Now) + Ahead,
                  .Counts = {{"w", 5}}},
                 trueTime(Now));
  EXPECT_EQ(Ledger.takeMessages(Now, trueTime(Now), {}).size(), 1U);
}

// Heartbeats queued during a pause make all other clocks look late.
TEST(FleetClock, APauseDoesNotMoveTheClock) {
  FleetClock Clock;
  TimePoint Now{1000s};
  const std::vector<DaemonName> Names{"a", "b", "c", "d", "e"};
  for (const DaemonName &Name : Names)
    Clock.observe(Name, trueTime(Now), Now);
  Clock.update(Now);
  const TimePoint Paused = Now;
  Now += 3s;
  for (const DaemonName &Name : Names)
    Clock.observe(Name, trueTime(Paused + 500ms), Now);
  Clock.update(Now);
  EXPECT_EQ(Clock.at(Now), trueTime(Now));
  Now += 500ms;
  for (const DaemonName &Name : Names)
    Clock.observe(Name, trueTime(Now), Now);
  Clock.update(Now);
  EXPECT_EQ(Clock.at(Now), trueTime(Now));
}

TEST(FleetClock, AWrongClockIsCorrectedByTheFirstOthers) {
  FleetClock Clock;
  const TimePoint Now{1000s};
  Clock.observe("a", trueTime(Now) + 3s, Now);
  Clock.update(Now);
  EXPECT_EQ(Clock.at(Now), trueTime(Now) + 3s);
  Clock.observe("b", trueTime(Now), Now);
  Clock.observe("c", trueTime(Now), Now);
  Clock.update(Now);
  EXPECT_EQ(Clock.at(Now), trueTime(Now));
}

} // namespace
} // namespace nutmegdrift::policy
