// Tests of the demand that a dispatcher reports.
#include "nutmegdrift/routing/model_dispatcher.h"

#include <gtest/gtest.h>

namespace nutmegdrift::routing {
namespace {

using namespace std::chrono_literals;

constexpr DemandMeter::Capacity Mean{.ReadTokensPerSecond = 1000,
                                     .Slots = 10,
                                     .HeldTokens = 5000,
                                     .ResidenceTime = 2s};

// The scarcest of reading time, slots and memory counts.
TEST(DemandMeter, CountsTheScarcestResource) {
  for (const auto &[Reading, Held, Expected] :
       {std::tuple(500.0, 1.0, 10.0), std::tuple(1.0, 1.0, 4.0),
        std::tuple(1.0, 5000.0, 40.0)}) {
    DemandMeter Meter;
    TimePoint Now{100s};
    // 20 requests a second.
    for (; Now < TimePoint{102s}; Now += 50ms)
      Meter.offered(Reading, Held, Now);
    EXPECT_NEAR(Meter.summary(Mean, 0, Now).Replicas, Expected, 1e-6);
    EXPECT_EQ(Meter.summary(Mean, 0, Now).Measured, 2s);
    EXPECT_EQ(Meter.summary(Mean, 0, Now + 2s).Replicas, 0.0);
  }
}

TEST(DemandMeter, WaitingAndRefusedRequestsAreUnserved) {
  DemandMeter Meter;
  TimePoint Now{100s};
  for (int I = 0; Now < TimePoint{101s}; Now += 50ms, ++I) {
    Meter.offered(10, 10, Now);
    if (I % 4 == 0)
      Meter.refused(Now);
  }
  EXPECT_NEAR(Meter.summary(Mean, 3, Now).UnservedShare, 0.4, 1e-6);
}

struct DemandOfDispatcher : ::testing::Test {
  DemandOfDispatcher() {
    for (int I = 0; I < 2; ++I)
      Replicas.push_back({.Record = {.Id = "r" + std::to_string(I)}});
    Dispatcher.setReplicas(
        {&Replicas[0], &Replicas[1]},
        {.Name = "s",
         .Engine = EngineTraits{.Slots = 64, .KvTokens = 1000000}});
  }
  std::optional<ModelDecision> offer(std::uint64_t Id, TimePoint Now) {
    return Dispatcher.offer({.Key = ++LastKey,
                             .Prompt = {{.Id = Id, .Tokens = 3000}},
                             .PromptTokens = 3000,
                             .OutputTokens = 10,
                             .Arrived = Now,
                             .FirstTokenTarget = 300ms,
                             .FirstTokenDeadline = Now + 2s},
                            Now);
  }

  std::vector<Replica> Replicas;
  ModelDispatcher Dispatcher{{}, 1};
  RequestKey LastKey = 0;
};

// Callers come back once after a refusal; counted again, they would double the
// demand of an overload.
TEST_F(DemandOfDispatcher, AReturnedRequestIsNotCountedAgain) {
  TimePoint Now{100s};
  std::vector<std::uint64_t> Refused;
  for (std::uint64_t I = 1; I <= 100; ++I, Now += 5ms) {
    if (offer(I, Now))
      Refused.push_back(I);
    Dispatcher.pump(Now);
  }
  ASSERT_GT(Refused.size(), 20U);
  for (const std::uint64_t Id : Refused)
    offer(Id, Now);
  // 100 prompts of 3000 tokens at 50 tokens/ms and a duty of 0.75.
  EXPECT_NEAR(Dispatcher.demand(Now + 300ms).Replicas, 8.0, 0.1);
  EXPECT_GT(Dispatcher.demand(Now + 300ms).UnservedShare, 0.2);
}

// Replicas that answer nothing must not count as capacity.
TEST_F(DemandOfDispatcher, ASilentReplicaIsReportedAsFailing) {
  TimePoint Now{100s};
  offer(1, Now);
  const auto Placed = Dispatcher.pump(Now);
  ASSERT_EQ(Placed.size(), 1U);
  EXPECT_TRUE(Dispatcher.demand(Now).Failing.empty());
  EXPECT_EQ(Dispatcher.demand(Now + 3s).Failing,
            std::vector{Placed[0].Destination});
}

} // namespace
} // namespace nutmegdrift::routing
