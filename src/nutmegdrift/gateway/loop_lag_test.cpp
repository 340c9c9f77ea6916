// Tests the lag by which reports of busy daemons are corrected.
#include "nutmegdrift/gateway/loop_lag.h"

#include <gtest/gtest.h>

namespace nutmegdrift::gateway {
namespace {

using namespace std::chrono_literals;

TEST(LoopLag, FollowsHowLateTicksCome) {
  LoopLag Lag(100ms);
  TimePoint Now{1h};
  Lag.tick(Now);
  EXPECT_EQ(Lag.mean(), 0ms);
  for (int I = 0; I < 30; ++I)
    Lag.tick(Now += 180ms);
  EXPECT_GT(Lag.mean(), 75ms);
  EXPECT_LE(Lag.mean(), 80ms);
  EXPECT_EQ(Lag.resetWorst(), 80ms);
  for (int I = 0; I < 30; ++I)
    Lag.tick(Now += 100ms);
  EXPECT_LT(Lag.mean(), 1ms);
  EXPECT_EQ(Lag.resetWorst(), 0ms);
}

// What came during a stall must not count as having come after it.
TEST(LoopLag, KnowsUntilWhenEventsHaveBeenHandled) {
  LoopLag Lag(100ms);
  const TimePoint Start{1h};
  EXPECT_FALSE(Lag.handledUntil());
  Lag.tick(Start);
  EXPECT_FALSE(Lag.handledUntil());
  Lag.tick(Start + 100ms);
  EXPECT_EQ(Lag.handledUntil(), Start);
  Lag.tick(Start + 900ms);
  EXPECT_EQ(Lag.handledUntil(), Start + 100ms);
}

// After a freeze of the VM its lag must return to normal soon, or its reports
// are corrected by too much.
TEST(LoopLag, AFreezeIsForgottenWithinTwoSeconds) {
  LoopLag Lag(100ms);
  TimePoint Now{1h};
  Lag.tick(Now);
  Lag.tick(Now += 10s);
  for (int I = 0; I < 20; ++I)
    Lag.tick(Now += 100ms);
  EXPECT_LT(Lag.mean(), 1ms);
}

} // namespace
} // namespace nutmegdrift::gateway
