// Tests the concurrency limit: growth, decreases, cold replicas, hand-over.
#include "nutmegdrift/policy/limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Capacity = 16;
constexpr Duration BaselineFirstToken = 300ms;

/// A limiter whose limit has grown to the capacity, with all slots in use.
Limiter fullyGrown(TimePoint Now) {
  Limiter Limited(Capacity);
  while (Limited.running() < Capacity) {
    Limited.onStart();
    Limited.onFirstToken(BaselineFirstToken, Now);
  }
  return Limited;
}

// P4: a new replica that gets all its requests at once is overloaded.
TEST(Limiter, StartsAtOneAndGrowsToCapacity) {
  const ManualClock Clk;
  EXPECT_EQ(Limiter(Capacity).limit(), 1U);
  EXPECT_EQ(fullyGrown(Clk.now()).limit(), Capacity);
}

// P4: the endpoint turns cold without notice under full load.
TEST(Limiter, LateFirstTokenRestartsSlowStart) {
  const ManualClock Clk;
  auto Cold = fullyGrown(Clk.now());
  Cold.onFirstToken(10 * BaselineFirstToken, Clk.now());
  EXPECT_TRUE(Cold.cold());
  EXPECT_EQ(Cold.limit(), 1U);
  auto Unresponsive = fullyGrown(Clk.now());
  Unresponsive.onFirstTokenPending(10 * BaselineFirstToken);
  EXPECT_EQ(Unresponsive.limit(), 1U);
  EXPECT_EQ(Unresponsive.free(), 0U);
}

// Inflated latency, an error and a refusal each have to lower the limit.
TEST(Limiter, DecreasesOnInflationErrorAndRefusal) {
  ManualClock Clk;
  auto Inflated = fullyGrown(Clk.now());
  for (int I = 0; I < 50; ++I)
    Inflated.onTokenInterval(30ms, Clk.now());
  EXPECT_EQ(Inflated.limit(), Capacity);
  for (int I = 0; I < 50; ++I)
    Inflated.onTokenInterval(90ms, Clk.now());
  EXPECT_EQ(Inflated.limit(), 11U) << "one decrease in one interval";
  for (const auto Result : {Outcome::Failed, Outcome::Refused}) {
    auto Broken = fullyGrown(Clk.now());
    Broken.onFinish(Result, Clk.now());
    EXPECT_EQ(Broken.limit(), 11U);
  }
}

// Reported load lags, so an empty queue must not raise the limit.
TEST(Limiter, ReportedLoadOnlyLowers) {
  const ManualClock Clk;
  auto Limited = fullyGrown(Clk.now());
  Limited.onReportedLoad(8, 3, Clk.now());
  EXPECT_EQ(Limited.limit(), 8U);
  Limited.onReportedLoad(16, 0, Clk.now());
  EXPECT_EQ(Limited.limit(), 8U);
}

// The requests of a previous owner and of this one share the capacity.
TEST(Limiter, OwnershipScalesAndResidualRequestsCount) {
  const ManualClock Clk;
  auto Limited = fullyGrown(Clk.now());
  Limited.setOwnership(0.5, 3);
  EXPECT_EQ(Limited.limit(), 5U);
  Limited.setOwnership(0.5, 100);
  EXPECT_EQ(Limited.limit(), 0U);
}

// P4 for any order of events.
RC_GTEST_PROP(LimiterProperty, NeverAboveCapacity,
              (const std::vector<std::uint8_t> &Events)) {
  ManualClock Clk;
  const auto Limit = *rc::gen::inRange<std::size_t>(1, 40);
  const auto ResidualRequests = *rc::gen::inRange<std::size_t>(0, 10);
  Limiter Limited(Limit);
  Limited.setOwnership(1.0, ResidualRequests);
  for (const auto Event : Events) {
    Clk.advance(Duration(100ms) * (Event / 8));
    switch (Event % 8) {
    case 0:
      Limited.onFinish(Outcome::Completed, Clk.now());
      break;
    case 1:
      Limited.onFinish(Outcome::Failed, Clk.now());
      break;
    case 2:
      Limited.onTokenInterval(Duration(1ms) * Event, Clk.now());
      break;
    case 3:
      Limited.onReportedLoad(Event, Event / 16, Clk.now());
      break;
    default:
      if (Limited.free() > 0)
        Limited.onStart();
      Limited.onFirstToken(Duration(10ms) * Event, Clk.now());
    }
    RC_ASSERT(Limited.limit() + ResidualRequests <=
              std::max(Limit, ResidualRequests));
    RC_ASSERT(Limited.running() + ResidualRequests <=
              std::max(Limit, ResidualRequests));
  }
}

} // namespace
} // namespace nutmegdrift::policy
