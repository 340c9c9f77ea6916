// Tests the merge of service counters and the retry budget.
#include "nutmegdrift/policy/retry_budget.h"
#include "nutmegdrift/policy/service_counters.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

const Target Model{Target::Kind::Model, "m"};

CounterEntry entry(BootId Boot, std::uint64_t Service,
                   std::uint64_t Backlog = 0) {
  return {"b", Boot, Model, "w", Service, Backlog};
}

// Repeated and reordered messages must not count service twice.
RC_GTEST_PROP(ServiceCountersProperty, MergeCountsEachTokenOnce,
              (const std::vector<std::uint16_t> &Values)) {
  ServiceCounters Counters("a", 1);
  std::uint64_t Merged = 0;
  std::uint64_t Largest = 0;
  for (const std::uint64_t Value : Values) {
    Merged += Counters.merge(entry(1, Value));
    Merged += Counters.merge(entry(1, Value));
    Largest = std::max(Largest, Value);
    RC_ASSERT(Merged == Largest);
  }
}

// A late message of an earlier boot must not restore its service and backlog.
TEST(ServiceCounters, ReplacedBootStaysReplaced) {
  ServiceCounters Counters("a", 1);
  EXPECT_EQ(Counters.merge(entry(7, 100, 4)), 100U);
  EXPECT_EQ(Counters.merge(entry(8, 10, 1)), 10U);
  EXPECT_EQ(Counters.merge(entry(7, 120, 4)), 0U);
  EXPECT_EQ(Counters.remoteBacklog(Model, "w").at("b"), 1U);
  Counters.clearBacklog("b");
  EXPECT_TRUE(Counters.remoteBacklog(Model, "w").empty());
}

// Unchanged entries in each message would break the bound on control bytes.
TEST(ServiceCounters, SendsOnlyChangedEntries) {
  ServiceCounters Counters("a", 1);
  Counters.setLocal(Model, "w", 10, 1);
  Counters.setLocal(Model, "x", 20, 0);
  const auto First = Counters.changesSince(0);
  EXPECT_EQ(First.Entries.size(), 2U);
  Counters.setLocal(Model, "w", 5, 1);
  EXPECT_TRUE(Counters.changesSince(First.Cursor).Entries.empty());
  Counters.setLocal(Model, "w", 5, 2);
  const auto Second = Counters.changesSince(First.Cursor).Entries;
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_EQ(Second[0], (CounterEntry{"a", 1, Model, "w", 10, 2}));
}

// Unbounded retries multiply the load when all endpoints fail.
TEST(RetryBudget, KeepsRetriesToATenthOfTheWindow) {
  ManualClock Clk;
  RetryBudget Budget;
  std::size_t Retries = 0;
  for (int I = 0; I < 100; ++I) {
    Budget.onFirstTry(Clk.now());
    Retries += Budget.tryRetry(Clk.now()) ? 1 : 0;
    Clk.advance(50ms);
  }
  EXPECT_EQ(Retries, 10U);
  Clk.advance(20s);
  EXPECT_FALSE(Budget.tryRetry(Clk.now())) << "old first tries count";
}

// At low rates the share alone allows no retry; the floor allows its number and
// no more.
// Daemons that start together each know only themselves at first. A floor that
// stayed at that count allowed the fleet many times its retries.
TEST(RetryBudget, AChangedFloorAppliesToTheCurrentWindow) {
  using namespace std::chrono_literals;
  RetryBudget Budget(0.1, 10s, 8);
  const TimePoint Now{1h};
  EXPECT_TRUE(Budget.tryRetry(Now));
  EXPECT_TRUE(Budget.tryRetry(Now));
  Budget.setFloor(2.2);
  EXPECT_FALSE(Budget.tryRetry(Now));
  Budget.setFloor(3.5);
  EXPECT_TRUE(Budget.tryRetry(Now));
  EXPECT_FALSE(Budget.tryRetry(Now));
}

TEST(RetryBudget, AllowsTheFloorAtLowRates) {
  ManualClock Clk;
  RetryBudget Budget(0.1, 10s, 3);
  Budget.onFirstTry(Clk.now());
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(Budget.tryRetry(Clk.now()));
  EXPECT_FALSE(Budget.tryRetry(Clk.now()));
  Clk.advance(20s);
  EXPECT_TRUE(Budget.tryRetry(Clk.now()));
}

} // namespace
} // namespace nutmegdrift::policy
