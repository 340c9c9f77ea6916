// Tests of the version judge and the rollout state machine over simulated
// rollouts in virtual time.
#include "nutmegdrift/policy/rollout_simulation.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace simulation;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t BadSeeds = 20;
constexpr int GoodSeeds = 300;

double openShareExcess(const Outcome &Run) {
  double Most = 0;
  for (const auto &[Name, Route] : Run.Routes)
    Most = std::max(Most, static_cast<double>(Route.OpenFresh) -
                              RolloutMachine::CanaryShare *
                                  static_cast<double>(Route.OpenRequests));
  return Most;
}

class BadVersions : public testing::TestWithParam<Badness> {};

// Guards against bad versions that go on, take more than 5% of a route before
// they are judged, or still get requests after the rollback.
TEST_P(BadVersions, AreTakenBack) {
  for (std::uint64_t Seed = 1; Seed <= BadSeeds; ++Seed) {
    const auto Run = simulate({.Kind = GetParam(), .Seed = Seed});
    EXPECT_EQ(Run.Phase, RolloutPhase::RolledBack) << "seed " << Seed;
    EXPECT_FALSE(Run.Reason.empty());
    EXPECT_LE(openShareExcess(Run), 1.0) << "seed " << Seed;
    EXPECT_EQ(Run.FreshAfter, 0U) << "seed " << Seed;
    if (GetParam().FromSeconds > 0 || GetParam().AboveShare > 0) {
      EXPECT_LE(Run.DetectionSeconds, MaxRampDetection) << "seed " << Seed;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds, BadVersions, testing::ValuesIn(BadKinds),
                         [](const auto &Info) {
                           return "Kind" + std::to_string(Info.index);
                         });

int falseAlarms(const Badness &Kind) {
  int Alarms = 0;
  for (int Seed = 1; Seed <= GoodSeeds; ++Seed) {
    const Setup In{.Kind = Kind, .Seed = static_cast<std::uint64_t>(Seed)};
    const auto Run = simulate(In);
    const bool Back = Run.Phase == RolloutPhase::RolledBack;
    Alarms += Back ? 1 : 0;
    EXPECT_TRUE(Back ||
                (Run.Phase == RolloutPhase::Done &&
                 std::chrono::duration<double>(Run.Seconds) <= In.FinishWithin))
        << "seed " << Seed << " took " << Run.Seconds << " s";
  }
  return Alarms;
}

// Guards against false rollbacks, also during error bursts and load waves that
// hit both versions, and against good versions that miss their finish time.
TEST(GoodVersions, FinishInTimeAndAreRarelyTakenBack) {
  EXPECT_LE(falseAlarms({}), VersionJudge::FalseAlarm * GoodSeeds);
}

// Guards against a test that holds its rate only for clearly good versions.
TEST(GoodVersions, AtTheToleranceAreRarelyTakenBack) {
  EXPECT_LE(falseAlarms({.Name = "at the tolerance",
                         .FirstToken = VersionJudge::Tolerance,
                         .TokenGap = VersionJudge::Tolerance}),
            VersionJudge::FalseAlarm * GoodSeeds);
}

const RolloutPlan Plan{.Target = "model:m",
                       .Version = "v2",
                       .OldVersion = "v1",
                       .FinishWithin = minutes(30)};

// Guards against a rollout that reports only at its finish time that it is
// late.
TEST(RolloutMachine, ReportsEarlyThatItCannotFinish) {
  RolloutMachine Machine(Plan, minutes(5));
  Machine.advance(seconds(1), {.Old = 10});
  EXPECT_NE(Machine.progress().DelayReason, "");
  Machine.setLoadInterval(seconds(20));
  Machine.advance(seconds(1), {.Old = 10});
  EXPECT_EQ(Machine.progress().DelayReason, "");
}

// Guards against an operator's rollback that waits or is not possible in some
// state.
TEST(RolloutMachine, OperatorTakesBackFromAnyState) {
  for (const auto Phase : {RolloutPhase::Loading, RolloutPhase::Canary,
                           RolloutPhase::Ramp, RolloutPhase::Done}) {
    RolloutMachine Machine(Plan, seconds(20), {.Phase = Phase});
    Machine.rollBack("operator");
    const auto Step = Machine.advance(seconds(1), {.Old = 5, .New = 5});
    EXPECT_EQ(Machine.phase(), RolloutPhase::RolledBack);
    EXPECT_EQ(Machine.progress().Reason, "operator");
    EXPECT_EQ(Step.OtherShare, 0.0);
    EXPECT_EQ(Step.TargetNewReplicas, 0U);
  }
}

// Guards against a target that can't serve while its only replica has the new
// version.
TEST(RolloutMachine, OneReplicaMovesAsAWhole) {
  RolloutMachine Machine(Plan, seconds(20));
  EXPECT_EQ(Machine.advance(seconds(1), {.Old = 1}).TargetNewReplicas, 1U);
  EXPECT_EQ(Machine.advance(seconds(1), {.New = 1}).OtherShare, 1.0);
}

// Guards against a failover that forgets evidence or judgements.
TEST(VersionJudge, ContinuesFromItsState) {
  VersionJudge First;
  VersionJudge Whole;
  for (int I = 0; I < 20; ++I) {
    VersionSample Old{.Route = "p", .CompletedAt = TimePoint(seconds(I))};
    auto New = Old;
    New.FromNewVersion = New.Failed = true;
    if (I == 6)
      First = VersionJudge(First.state());
    for (const auto &Sample : {Old, New}) {
      First.add(Sample);
      Whole.add(Sample);
    }
  }
  EXPECT_TRUE(First.finding());
  EXPECT_EQ(First.finding(), Whole.finding());
  EXPECT_EQ(First.state(), Whole.state());
}

} // namespace
} // namespace nutmegdrift::policy
