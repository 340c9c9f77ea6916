// Replays a daemon that gets more requests than its processor bears.
#include "nutmegdrift/policy/load_shedder.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

/// An event loop that serves arrivals in their order; its lag is the work that
/// waits. Units are those of one tick of 100 ms.
struct BusyLoop {
  static constexpr Duration Interval = 100ms;
  /// Of a VM with 0.12 of a core, as seen on a grown day.
  static constexpr double Capacity = 12.0; ///< ms of processor time.
  static constexpr double CostOfServed = 0.084;
  static constexpr double CostOfRefused = 0.02;
  /// One request in as many is of the workspace that asks for little.
  static constexpr int LittleEvery = 50;

  /// Returns how many of Arrivals were served.
  int tick(int Arrivals, LoadShedder &By) {
    int Served = 0;
    for (int I = 0; I < Arrivals; ++I) {
      // Spread over 0 to 1 in an order that the workspaces don't follow.
      const double Draw = (I * 37 % Arrivals + 0.5) / Arrivals;
      const bool Little = I % LittleEvery == 0;
      const bool Refused = By.shouldRefuse(Little ? "little" : "much", 0, Draw);
      LittleRefused += Little && Refused ? 1 : 0;
      Waiting += Refused ? CostOfRefused : CostOfServed;
      Served += Refused ? 0 : 1;
    }
    Waiting = std::max(Waiting - Capacity, 0.0);
    By.tick(lag());
    return Served;
  }
  [[nodiscard]] Duration lag() const {
    return std::chrono::duration_cast<Duration>(Interval * Waiting / Capacity);
  }

  double Waiting = 0;
  int LittleRefused = 0;
};

// One VM of a zone got up to 2,500 requests a second on a grown day and
// answered nearly all of them too late.
TEST(LoadShedder, KeepsTheLagShortUnderTwiceTheLoad) {
  LoadShedder Shedder;
  BusyLoop Loop;
  constexpr int Arrivals = 250;
  int Served = 0;
  Duration Longest{0};
  for (int I = 0; I < 600; ++I) {
    const int Now = Loop.tick(Arrivals, Shedder);
    if (I < 100)
      continue;
    Served += Now;
    Longest = std::max(Longest, Loop.lag());
  }
  // What fits when just enough are refused.
  const double Fitting =
      (BusyLoop::Capacity - Arrivals * BusyLoop::CostOfRefused) /
      (BusyLoop::CostOfServed - BusyLoop::CostOfRefused);
  EXPECT_GT(Served / 500.0, 0.8 * Fitting);
  EXPECT_LT(Longest, 5 * LoadShedder::TargetLag);
}

// Refusing all workspaces' requests alike took from one that asked for a sixth
// of what another got more than half of its requests.
TEST(LoadShedder, AWorkspaceThatAsksForLittleLosesNothing) {
  LoadShedder Shedder;
  BusyLoop Loop;
  for (int I = 0; I < 600; ++I)
    Loop.tick(250, Shedder);
  EXPECT_GT(Shedder.refusedShare(), 0.2);
  EXPECT_EQ(Loop.LittleRefused, 0);
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

// Tokens are what workspaces are owed, requests are what the processor bears.
// Refusing large and small requests alike took half of its tokens from one.
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

// A daemon that was frozen must serve again within the time that callers wait.
TEST(LoadShedder, RefusesNothingTwoSecondsAfterAShortStall) {
  LoadShedder Shedder;
  // The mean lag stays above the target for six ticks after one late tick.
  for (int I = 0; I < 6; ++I)
    Shedder.tick(1s);
  EXPECT_GT(Shedder.refusedShare(), 0.0);
  for (int I = 0; I < 20; ++I)
    Shedder.tick(0ms);
  EXPECT_EQ(Shedder.refusedShare(), 0.0);
}

// Requests that pass are the only sign that the load has gone.
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
