// Guards the concurrency limit: growth, cuts, cold replicas, hand-over.
#include "nutmegdrift/policy/limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Bears = 16;
constexpr Duration Usual = 300ms;

/// A limiter that has grown to what the replica bears, with all slots taken.
Limiter warm(TimePoint Now) {
  Limiter Made(Bears);
  while (Made.running() < Bears) {
    Made.onStart();
    Made.onFirstToken(Usual, Now);
  }
  return Made;
}

// P4: a fresh replica that gets all its requests at once is overloaded.
TEST(Limiter, StartsAtOneAndGrowsToWhatTheReplicaBears) {
  const ManualClock Clk;
  EXPECT_EQ(Limiter(Bears).limit(), 1U);
  EXPECT_EQ(warm(Clk.now()).limit(), Bears);
}

// P4: the endpoint turns cold without warning while it is full.
TEST(Limiter, LateFirstTokenMeansSlowStartAgain) {
  const ManualClock Clk;
  auto Late = warm(Clk.now());
  Late.onFirstToken(10 * Usual, Clk.now());
  EXPECT_TRUE(Late.cold());
  EXPECT_EQ(Late.limit(), 1U);
  auto Silent = warm(Clk.now());
  Silent.onFirstTokenPending(10 * Usual);
  EXPECT_EQ(Silent.limit(), 1U);
  EXPECT_EQ(Silent.free(), 0U);
}

// A latency rise, an error and a refusal each have to lower the limit.
TEST(Limiter, CutsOnInflationErrorAndRefusal) {
  ManualClock Clk;
  auto Slow = warm(Clk.now());
  for (int I = 0; I < 50; ++I)
    Slow.onTokenInterval(30ms, Clk.now());
  EXPECT_EQ(Slow.limit(), Bears);
  for (int I = 0; I < 50; ++I)
    Slow.onTokenInterval(90ms, Clk.now());
  EXPECT_EQ(Slow.limit(), 11U) << "one cut in one pause";
  for (const auto Result : {Outcome::Failed, Outcome::Refused}) {
    auto Broken = warm(Clk.now());
    Broken.onFinish(Result, Clk.now());
    EXPECT_EQ(Broken.limit(), 11U);
  }
}

// Reported load lags: an empty queue there must not raise the limit.
TEST(Limiter, ReportedLoadOnlyLowers) {
  const ManualClock Clk;
  auto Made = warm(Clk.now());
  Made.onReportedLoad(8, 3, Clk.now());
  EXPECT_EQ(Made.limit(), 8U);
  Made.onReportedLoad(16, 0, Clk.now());
  EXPECT_EQ(Made.limit(), 8U);
}

// The requests of an earlier owner and of this one must fit together.
TEST(Limiter, OwnershipScalesAndCarryCounts) {
  const ManualClock Clk;
  auto Made = warm(Clk.now());
  Made.setOwnership(0.5, 3);
  EXPECT_EQ(Made.limit(), 5U);
  Made.setOwnership(0.5, 100);
  EXPECT_EQ(Made.limit(), 0U);
}

// P4 over any order of events.
RC_GTEST_PROP(LimiterProperty, NeverAboveWhatTheReplicaBears,
              (const std::vector<std::uint8_t> &Events)) {
  ManualClock Clk;
  const auto Limit = *rc::gen::inRange<std::size_t>(1, 40);
  const auto Carry = *rc::gen::inRange<std::size_t>(0, 10);
  Limiter Made(Limit);
  Made.setOwnership(1.0, Carry);
  for (const auto Event : Events) {
    Clk.advance(Duration(100ms) * (Event / 8));
    switch (Event % 8) {
    case 0:
      Made.onFinish(Outcome::Completed, Clk.now());
      break;
    case 1:
      Made.onFinish(Outcome::Failed, Clk.now());
      break;
    case 2:
      Made.onTokenInterval(Duration(1ms) * Event, Clk.now());
      break;
    case 3:
      Made.onReportedLoad(Event, Event / 16, Clk.now());
      break;
    default:
      if (Made.free() > 0)
        Made.onStart();
      Made.onFirstToken(Duration(10ms) * Event, Clk.now());
    }
    RC_ASSERT(Made.limit() + Carry <= std::max(Limit, Carry));
    RC_ASSERT(Made.running() + Carry <= std::max(Limit, Carry));
  }
}

} // namespace
} // namespace nutmegdrift::policy
