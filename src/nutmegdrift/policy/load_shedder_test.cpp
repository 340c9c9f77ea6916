// Tests of the load shedder with a daemon that gets more requests than its
// processor can handle.
#include "nutmegdrift/policy/load_shedder.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

/// An event loop that serves requests in the order of arrival. Its lag is the
/// time of the queued work. Figures are per tick of 100 ms.
struct BusyLoop {
  static constexpr Duration TickInterval = 100ms;
  /// Of a VM with 0.12 of a core.
  static constexpr double Capacity = 12.0; ///< ms of processor time.
  static constexpr double CostOfServed = 0.084;
  static constexpr double CostOfRefused = 0.02;
  /// One request in this many is from the workspace with little demand.
  static constexpr int SmallPeriod = 50;

  /// Returns how many of Arrivals were served.
  int tick(int Arrivals, LoadShedder &Shedder) {
    int Served = 0;
    for (int I = 0; I < Arrivals; ++I) {
      // Spread over 0 to 1 in an order that is independent of the workspace.
      const double Draw = (I * 37 % Arrivals + 0.5) / Arrivals;
      const bool IsSmall = I % SmallPeriod == 0;
      const bool Refused =
          Shedder.shouldRefuse(IsSmall ? "little" : "much", 0, Draw);
      SmallRefused += IsSmall && Refused ? 1 : 0;
      Waiting += Refused ? CostOfRefused : CostOfServed;
      Served += Refused ? 0 : 1;
    }
    Waiting = std::max(Waiting - Capacity, 0.0);
    Shedder.tick(lag());
    return Served;
  }
  [[nodiscard]] Duration lag() const {
    return std::chrono::duration_cast<Duration>(TickInterval * Waiting /
                                                Capacity);
  }

  double Waiting = 0;
  int SmallRefused = 0;
};

// Guards against a daemon that answers nearly all requests too late, as one
// with up to 2,500 requests per second did on its VM.
TEST(LoadShedder, KeepsTheLagShortUnderTwiceTheLoad) {
  LoadShedder Shedder;
  BusyLoop Loop;
  constexpr int Arrivals = 250;
  int Served = 0;
  Duration MaxLag{0};
  for (int I = 0; I < 600; ++I) {
    const int Now = Loop.tick(Arrivals, Shedder);
    if (I < 100)
      continue;
    Served += Now;
    MaxLag = std::max(MaxLag, Loop.lag());
  }
  // Requests per tick that can be served if just enough are refused.
  const double MaxServed =
      (BusyLoop::Capacity - Arrivals * BusyLoop::CostOfRefused) /
      (BusyLoop::CostOfServed - BusyLoop::CostOfRefused);
  EXPECT_GT(Served / 500.0, 0.8 * MaxServed);
  EXPECT_LT(MaxLag, 5 * LoadShedder::TargetLag);
}

// Guards against refusing the same share of all workspaces: one with a sixth of
// another's demand lost more than half of its requests.
TEST(LoadShedder, AWorkspaceWithLittleDemandLosesNothing) {
  LoadShedder Shedder;
  BusyLoop Loop;
  for (int I = 0; I < 600; ++I)
    Loop.tick(250, Shedder);
  EXPECT_GT(Shedder.refusedShare(), 0.2);
  EXPECT_EQ(Loop.SmallRefused, 0);
}

TEST(LoadShedder, EqualWorkspacesLoseEqualParts) {
  LoadShedder Shedder;
  int Refused[2] = {};
  for (int Tick = 0; Tick < 200; ++Tick) {
    Shedder.tick(1s);
    for (int I = 0; I < 100; ++I)
      for (int W = 0; W < 2; ++W)
        Refused[W] +=
            Shedder.shouldRefuse(W == 0 ? "a" : "b", 500, (I + 0.5) / 100) ? 1
                                                                           : 0;
  }
  EXPECT_EQ(Refused[0], Refused[1]);
  EXPECT_GT(Refused[0], 10000);
}

// Workspaces are compared by tokens, but the processor is loaded by requests.
// Guards against refusing large and small requests alike, which cost a
// workspace half of its tokens.
TEST(LoadShedder, LargeRequestsAreRefusedLess) {
  LoadShedder Shedder;
  int Small = 0;
  int Large = 0;
  for (int Tick = 0; Tick < 200; ++Tick) {
    Shedder.tick(1s);
    for (int I = 0; I < 100; ++I) {
      Small += Shedder.shouldRefuse("a", 500, (I + 0.5) / 100) ? 1 : 0;
      Large += Shedder.shouldRefuse("a", 50000, (I + 0.5) / 100) ? 1 : 0;
    }
  }
  EXPECT_GT(Large, 0);
  EXPECT_LT(Large, 0.6 * Small);
}

TEST(LoadShedder, RefusesNothingBelowTheTarget) {
  LoadShedder Shedder;
  for (int I = 0; I < 100; ++I) {
    Shedder.tick(LoadShedder::TargetLag - 1ms);
    EXPECT_FALSE(Shedder.shouldRefuse("a", 0, 1.0));
  }
}

// Guards against a daemon that keeps refusing requests, after a stall, for
// longer than callers wait.
TEST(LoadShedder, RefusesNothingTwoSecondsAfterAShortStall) {
  LoadShedder Shedder;
  // After one late tick the mean lag stays above the target for six ticks.
  for (int I = 0; I < 6; ++I)
    Shedder.tick(1s);
  EXPECT_GT(Shedder.refusedShare(), 0.0);
  for (int I = 0; I < 20; ++I)
    Shedder.tick(0ms);
  EXPECT_EQ(Shedder.refusedShare(), 0.0);
}

// Without requests that pass, a daemon can't observe that the load has fallen.
TEST(LoadShedder, AlwaysLetsSomePass) {
  LoadShedder Shedder;
  int Passed = 0;
  for (int Tick = 0; Tick < 100; ++Tick) {
    Shedder.tick(10s);
    for (int I = 0; I < 100; ++I)
      Passed += Shedder.shouldRefuse("a", 0, (I + 0.5) / 100) ? 0 : 1;
  }
  EXPECT_GT(Passed, 900);
}

} // namespace
} // namespace nutmegdrift::policy
