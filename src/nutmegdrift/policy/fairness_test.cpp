// Tests promises P4, P5 and P12 over several owners in virtual time. Cost hints
// are wrong by a factor of up to ten in all runs.
#include "nutmegdrift/policy/fairness_driver.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy::testing {
namespace {

constexpr double MinUtilisation = 0.95;
constexpr double MinGoodput = 0.9;

Measured expectPromises(const Scenario &S) {
  const auto Result = FairnessDriver(S).run();
  EXPECT_LE(Result.Gap, gapBound(S));
  EXPECT_GE(Result.Utilisation, MinUtilisation);
  EXPECT_LE(Result.MaxDispatchWait, waitBound(S));
  EXPECT_LE(Result.PeakRunning, S.Capacity);
  EXPECT_GT(Result.Completed, 0U);
  return Result;
}

TEST(Fairness, FloodingWorkspaceAmongSixteen) { expectPromises({}); }

TEST(Fairness, TwelveReplicas) { expectPromises({.Replicas = 12}); }

TEST(Fairness, TwoHundredAndTwentyWorkspaces) {
  expectPromises({.Workspaces = 220, .Active = 22, .Flooder = 20});
}

// Without the fair queue, or without the exchange between the owners, the same
// load must break the bound; else the other tests prove nothing.
TEST(Fairness, BaselinesBreakTheBound) {
  for (const auto Policy : {Queueing::NoExchange, Queueing::FirstCome}) {
    const Scenario S{.Policy = Policy};
    EXPECT_GT(FairnessDriver(S).run().Gap, gapBound(S));
  }
}

// Requests that all arrive at two owners must use the slots of all owners.
TEST(Fairness, OwnersWithFreeSlotsGetQueuedWork) {
  Scenario S{
      .Demand = 1.5, .EntryOwners = 2, .FloodFactor = 1.0, .Length = 120s};
  expectPromises(S);
  S.Policy = Queueing::NoExchange;
  EXPECT_LT(FairnessDriver(S).run().Utilisation, 0.5);
}

// Below saturation, requests must not wait at one owner for the next counters
// while another owner has free slots. Without credits they do.
TEST(Fairness, QueuesDoNotWaitNextToFreeSlots) {
  constexpr double MaxIdleWait = 0.1;
  for (const double Demand : {0.5, 0.8, 0.95}) {
    Scenario S{.Demand = Demand, .FloodFactor = 1.0, .Length = 120s};
    const auto Result = FairnessDriver(S).run();
    EXPECT_TRUE(Result.IdleWait <= MaxIdleWait ||
                Result.Utilisation >= MinUtilisation)
        << Demand << ": " << Result.IdleWait << " s, " << Result.Utilisation;
    EXPECT_LE(Result.Gap, gapBound(S));
    EXPECT_EQ(Result.Refused, 0U);
    S.Policy = Queueing::NoCredit;
    const auto Baseline = FairnessDriver(S).run();
    EXPECT_GT(Baseline.IdleWait, MaxIdleWait);
    EXPECT_LT(Result.IdleShare, 0.6 * Baseline.IdleShare);
  }
}

TEST(Fairness, OneOwnerLost) {
  expectPromises({.Length = 180s, .OwnerLostAt = 60s});
}

TEST(Fairness, PartitionOfTheExchangeHeals) {
  expectPromises({.Length = 180s, .PartitionFrom = 60s, .PartitionTo = 100s});
}

// P4: no request may join a running one at a replica that is detectably cold.
TEST(Fairness, EndpointTurnsColdAgain) {
  const auto Result = expectPromises({.Length = 120s, .ColdAt = 60s});
  EXPECT_EQ(Result.StartsWhileCold, 0U);
}

// P12: running requests that miss their deadline would lower goodput, and
// refusals without a retry-after time would make callers retry at once.
TEST(Fairness, GoodputUnderOverload) {
  Scenario S{.Demand = 1.0,
             .FloodFactor = 1.0,
             .RequestDeadline = 40s,
             .Length = 180s};
  double Peak = FairnessDriver(S).run().Goodput;
  std::vector<double> Loaded;
  for (const double Demand : {2.0, 4.0}) {
    S.Demand = Demand;
    const auto Result = expectPromises(S);
    EXPECT_GT(Result.Refused, 0U);
    EXPECT_EQ(Result.RefusedWithoutRetryAfter, 0U);
    Loaded.push_back(Result.Goodput);
    Peak = std::max(Peak, Result.Goodput);
  }
  for (const double Goodput : Loaded)
    EXPECT_GE(Goodput, MinGoodput * Peak);
}

} // namespace
} // namespace nutmegdrift::policy::testing
