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

double unjudgedShareExcess(const Outcome &Run) {
  double MaxExcess = 0;
  for (const auto &[Name, Route] : Run.Routes)
    MaxExcess =
        std::max(MaxExcess, static_cast<double>(Route.UnjudgedNewVersion) -
                                RolloutMachine::CanaryShare *
                                    static_cast<double>(Route.Unjudged));
  return MaxExcess;
}

class BadVersions : public testing::TestWithParam<VersionFault> {};

// Guards against bad versions that are not rolled back, get more than 5% of a
// route before they are judged, or still get requests after the rollback.
TEST_P(BadVersions, AreRolledBack) {
  for (std::uint64_t Seed = 1; Seed <= BadSeeds; ++Seed) {
    const auto Run = simulate({.Fault = GetParam(), .Seed = Seed});
    EXPECT_EQ(Run.Phase, RolloutPhase::RolledBack) << "seed " << Seed;
    EXPECT_FALSE(Run.Reason.empty());
    EXPECT_LE(unjudgedShareExcess(Run), 1.0) << "seed " << Seed;
    EXPECT_EQ(Run.RequestsAfterRollback, 0U) << "seed " << Seed;
    if (GetParam().FromSeconds > 0 || GetParam().AboveShare > 0) {
      EXPECT_LE(Run.DetectionSeconds, MaxRampDetection) << "seed " << Seed;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds, BadVersions, testing::ValuesIn(FaultKinds),
                         [](const auto &Info) {
                           return "Kind" + std::to_string(Info.index);
                         });

int falseAlarms(const VersionFault &Fault) {
  int Alarms = 0;
  for (int Seed = 1; Seed <= GoodSeeds; ++Seed) {
    const Setup In{.Fault = Fault, .Seed = static_cast<std::uint64_t>(Seed)};
    const auto Run = simulate(In);
    const bool RolledBack = Run.Phase == RolloutPhase::RolledBack;
    Alarms += RolledBack ? 1 : 0;
    EXPECT_TRUE(RolledBack ||
                (Run.Phase == RolloutPhase::Done &&
                 std::chrono::duration<double>(Run.Seconds) <= In.FinishWithin))
        << "seed " << Seed << " took " << Run.Seconds << " s";
  }
  return Alarms;
}

// Guards against false rollbacks, also during error bursts and load waves that
// affect both versions, and against good versions that miss their finish time.
TEST(GoodVersions, FinishInTimeAndAreRarelyRolledBack) {
  EXPECT_LE(falseAlarms({}), VersionJudge::FalseAlarm * GoodSeeds);
}

// Guards against a test that keeps its false-alarm rate only for versions that
// are clearly good.
TEST(GoodVersions, AtTheToleranceAreRarelyRolledBack) {
  EXPECT_LE(falseAlarms({.Name = "at the tolerance",
                         .FirstToken = VersionJudge::Tolerance,
                         .TokenGap = VersionJudge::Tolerance}),
            VersionJudge::FalseAlarm * GoodSeeds);
}

const RolloutPlan Plan{.Target = "model:m",
                       .Version = "v2",
                       .OldVersion = "v1",
                       .FinishWithin = minutes(30)};

// Guards against a rollout that reports its delay only at its finish time.
TEST(RolloutMachine, ReportsEarlyThatItCannotFinish) {
  RolloutMachine Machine(Plan, minutes(5));
  Machine.advance(seconds(1), {.Old = 10});
  EXPECT_NE(Machine.progress().DelayReason, "");
  Machine.setLoadInterval(seconds(20));
  Machine.advance(seconds(1), {.Old = 10});
  EXPECT_EQ(Machine.progress().DelayReason, "");
}

// Guards against an operator's rollback that is delayed or rejected in some
// phase.
TEST(RolloutMachine, OperatorRollsBackFromAnyPhase) {
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

// Guards against a target that can't serve because its only replica runs the
// new version.
TEST(RolloutMachine, OneReplicaMovesAsAWhole) {
  RolloutMachine Machine(Plan, seconds(20));
  EXPECT_EQ(Machine.advance(seconds(1), {.Old = 1}).TargetNewReplicas, 1U);
  EXPECT_EQ(Machine.advance(seconds(1), {.New = 1}).OtherShare, 1.0);
}

// Guards against a failover that loses evidence or judgements.
TEST(VersionJudge, ContinuesFromItsState) {
  VersionJudge First;
  VersionJudge Uninterrupted;
  for (int I = 0; I < 20; ++I) {
    VersionSample Old{.Route = "p", .CompletedAt = TimePoint(seconds(I))};
    auto New = Old;
    New.FromNewVersion = New.Failed = true;
    if (I == 6)
      First = VersionJudge(First.state());
    for (const auto &Sample : {Old, New}) {
      First.add(Sample);
      Uninterrupted.add(Sample);
    }
  }
  EXPECT_TRUE(First.finding());
  EXPECT_EQ(First.finding(), Uninterrupted.finding());
  EXPECT_EQ(First.state(), Uninterrupted.state());
}

} // namespace
} // namespace nutmegdrift::policy
