// Stages of rollouts, the share of a version that is tried, and verdicts.
#include "nutmegdrift/gateway/fleet_rollouts.h"

#include <gtest/gtest.h>

namespace nutmegdrift::gateway {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

/// Six old and six new replicas of a service, and an order for a rollout.
class Rollouts : public ::testing::Test {
protected:
  Rollouts() {
    for (int I = 0; I < 12; ++I)
      m_replicas.upsert({.Id = "r" + std::to_string(I),
                         .Service = "s",
                         .Version = I < 6 ? "v1" : "v2"},
                        Start);
    m_rollouts.applyOrder(m_order, Start);
  }
  /// Sends requests at an even rate and returns how many the new version got.
  int send(FleetRollouts &Fleet, int Count, const std::string &Route = "r") {
    int SentToNew = 0;
    for (int I = 0; I < Count; ++I) {
      const auto Candidates =
          Fleet.selectForRequest("s", Route, m_replicas.usable("s"), false);
      const auto &Target =
          Candidates.at(static_cast<std::size_t>(I) % Candidates.size());
      Fleet.recordSent(Target->Record);
      SentToNew += Target->Record.Version == "v2" ? 1 : 0;
    }
    return SentToNew;
  }
  static policy::VersionSample sample(bool Failed, TimePoint Now) {
    return {
        .Route = "r", .Failed = Failed, .FirstToken = 10ms, .CompletedAt = Now};
  }
  /// Plays 40 requests a second to a good version, from where it ended.
  void playGoodTrial(TimePoint Until) {
    for (; m_playedUntil < Until; m_playedUntil += 25ms) {
      m_rollouts.tick(m_replicas, m_playedUntil);
      const bool ToNew = send(m_rollouts, 1) == 1;
      m_rollouts.recordOutcome("s", ToNew ? "v2" : "v1",
                               sample(false, m_playedUntil));
    }
  }
  RolloutStage reportedStage(TimePoint Now) {
    return m_rollouts.reports(Now).at(0).Stage;
  }

  const RolloutOrder m_order{.Service = "s", .Version = "v2", .Length = 16s};
  routing::ReplicaTable m_replicas;
  FleetRollouts m_rollouts;
  TimePoint m_playedUntil = Start;
};

// A bad version must not get more than a tenth of the requests until the
// rollout is completed, and one new replica must have its usual load, or a
// fault under load is not detected.
TEST_F(Rollouts, NewVersionGetsItsShareOnFewReplicas) {
  EXPECT_EQ(send(m_rollouts, 1000), 50);
  const auto Candidates = m_rollouts.select("s", m_replicas.usable("s"));
  EXPECT_EQ(Candidates.size(), 7U);
  EXPECT_EQ(std::count_if(Candidates.begin(), Candidates.end(),
                          [](const auto *Candidate) {
                            return Candidate->CanaryShare > 0;
                          }),
            1);
  // A request that failed on a bad version must not be retried on it.
  for (int I = 0; I < 100; ++I)
    for (const auto *Candidate :
         m_rollouts.selectForRequest("s", "r", m_replicas.usable("s"), true))
      EXPECT_EQ(Candidate->Record.Version, "v1");
}

// Requests move before the old replicas are stopped, and the new version gets
// less than a tenth of them until then.
TEST_F(Rollouts, GoodVersionMovesAndCompletesInTime) {
  int SentToNew = 0;
  TimePoint Completed{};
  for (int Ms = 0; Ms < 16000; Ms += 100) {
    const TimePoint Now = Start + std::chrono::milliseconds(Ms);
    m_rollouts.tick(m_replicas, Now);
    for (int I = 0; I < 10; ++I) {
      const int ToNew = send(m_rollouts, 1);
      SentToNew += ToNew;
      m_rollouts.recordOutcome("s", ToNew == 1 ? "v2" : "v1",
                               sample(false, Now));
    }
    if (reportedStage(Now) == RolloutStage::Completed) {
      Completed = Now;
      break;
    }
  }
  EXPECT_GT(Completed, Start + 8s);
  EXPECT_LT(Completed, Start + 15s);
  // A tenth of the requests of the whole rollout, plus 50.
  EXPECT_LE(SentToNew, 160 + 50);
  m_rollouts.recordResult("s", "v2", RolloutStage::Completed, m_replicas);
  EXPECT_EQ(send(m_rollouts, 20), 20);
  EXPECT_FALSE(m_rollouts.admits({.Service = "s", .Version = "v1"}));
  // Replicas of a later version don't count as old.
  EXPECT_TRUE(m_rollouts.admits({.Service = "s", .Version = "v3"}));
}

// One daemon has too few requests to judge, so the outcomes of all daemons
// decide, and a version that one daemon rolls back gets no requests anywhere.
TEST_F(Rollouts, BadVersionIsRolledBackByTheOutcomesOfAll) {
  FleetRollouts Other;
  Other.applyOrder(m_order, Start);
  FleetRollouts Third;
  Third.applyOrder(m_order, Start);
  TimePoint Now = Start;
  while (Now < Start + 10s && reportedStage(Now) != RolloutStage::RolledBack) {
    Now += 100ms;
    Other.recordOutcome("s", "v1", sample(false, Now));
    Other.recordOutcome("s", "v2", sample(true, Now));
    m_rollouts.receive(2, Other.statuses(Now), Other.drainOutcomes(), Now);
    m_rollouts.tick(m_replicas, Now);
  }
  EXPECT_LT(Now, Start + 4s);
  EXPECT_TRUE(Third.receive(1, m_rollouts.statuses(Now), {}, Now));
  EXPECT_EQ(send(Third, 100), 0);
  EXPECT_FALSE(Third.admits({.Service = "s", .Version = "v2"}));
  EXPECT_TRUE(Third.admits({.Service = "s", .Version = "v1"}));
}

// A fault that occurs only when the new version gets all requests of a small
// service. The canary is too small to reveal it, so the requests must move
// early enough for their outcomes to be judged before completion is reported.
TEST_F(Rollouts, FaultUnderLoadIsDetectedBeforeCompletionIsReported) {
  int Requests = 0;
  int SentToNew = 0;
  TimePoint Now = Start;
  for (; reportedStage(Now) == RolloutStage::Canary && Now < Start + 16s;
       Now += 25ms) {
    m_rollouts.tick(m_replicas, Now);
    ++Requests;
    const bool ToNew = send(m_rollouts, 1) == 1;
    SentToNew += ToNew ? 1 : 0;
    const bool AllMoved =
        m_rollouts.statuses(Now).at(0).Stage == RolloutStage::Moving;
    m_rollouts.recordOutcome("s", ToNew ? "v2" : "v1",
                             sample(AllMoved && Requests % 2 == 0, Now));
  }
  EXPECT_EQ(reportedStage(Now), RolloutStage::RolledBack);
  // A tenth of the requests of the whole rollout, plus 50.
  EXPECT_LE(SentToNew, 64 + 50);
}

// One daemon reported a version as completed in the moment in which another
// found it bad. The old replicas were stopped, and no daemon sent requests to
// the new.
TEST_F(Rollouts, AResultInTheStoreIsNotChangedByALateFinding) {
  FleetRollouts Other;
  Other.applyOrder(m_order, Start);
  TimePoint Now = Start;
  for (int I = 0; I < 60; ++I, Now += 100ms) {
    Other.recordOutcome("s", "v1", sample(false, Now));
    Other.recordOutcome("s", "v2", sample(true, Now));
  }
  Other.tick(m_replicas, Now);
  ASSERT_EQ(Other.statuses(Now).at(0).Stage, RolloutStage::RolledBack);
  m_rollouts.recordResult("s", "v2", RolloutStage::Completed, m_replicas);
  EXPECT_FALSE(m_rollouts.receive(2, Other.statuses(Now), {}, Now));
  Other.recordResult("s", "v2", RolloutStage::Completed, m_replicas);
  for (FleetRollouts *Daemon : {&m_rollouts, &Other}) {
    EXPECT_TRUE(Daemon->admits({.Service = "s", .Version = "v2"}));
    EXPECT_EQ(send(*Daemon, 10), 10);
  }
}

// A few new replicas can't bear the load of all old ones.
TEST_F(Rollouts, WaitsForEnoughNewReplicas) {
  for (int I = 7; I < 12; ++I)
    m_replicas.remove("r" + std::to_string(I), std::nullopt);
  EXPECT_FALSE(m_rollouts.tick(m_replicas, Start + 15s));
  EXPECT_EQ(reportedStage(Start + 15s), RolloutStage::Canary);
}

// A daemon that the store refuses learns of the order and of the new replicas
// only at the end. It must not move the requests to a version that hardly any
// request has tried.
TEST_F(Rollouts, VersionThatWasHardlyTriedIsNotCompleted) {
  FleetRollouts Late;
  TimePoint Now = Start + 12s;
  Late.applyOrder(m_order, Now);
  Late.receive(1, m_rollouts.statuses(Now), {}, Now);
  for (; Now < Start + 16s; Now += 20ms) {
    Late.tick(m_replicas, Now);
    ASSERT_NE(Late.statuses(Now).at(0).Stage, RolloutStage::Moving);
    const bool ToNew = send(Late, 1) == 1;
    Late.recordOutcome("s", ToNew ? "v2" : "v1", sample(false, Now));
  }
  EXPECT_EQ(Late.reports(Now).at(0).Stage, RolloutStage::RolledBack);
}

// A daemon that had restarted, or was cut off, rolled back a good version that
// the others had tried and were about to complete.
TEST_F(Rollouts, DaemonThatSawNoTrialLeavesTheDecisionToTheOthers) {
  FleetRollouts Late;
  Late.applyOrder(m_order, Start + 11s);
  for (TimePoint Now = Start; Now < Start + 14s; Now += 20ms) {
    const bool ToNew = send(m_rollouts, 1) == 1;
    const auto Sample = sample(false, Now);
    m_rollouts.recordOutcome("s", ToNew ? "v2" : "v1", Sample);
    m_rollouts.tick(m_replicas, Now);
    if (Now < Start + 11s)
      continue;
    // The heartbeats of the others are lost until they complete the rollout.
    Late.receive(3, {{.Service = "s", .Version = "v2", .Elapsed = 11000ms}}, {},
                 Start + 11s);
    Late.recordOutcome("s", "v1", Sample);
    Late.tick(m_replicas, Now);
  }
  ASSERT_EQ(reportedStage(Start + 14s), RolloutStage::Completed);
  EXPECT_EQ(Late.statuses(Start + 14s).at(0).Stage, RolloutStage::Canary);
}

// A version whose replicas answer nothing yields no outcomes.
TEST_F(Rollouts, VersionWithoutOutcomesIsNotCompleted) {
  TimePoint Now = Start;
  for (; Now < Start + 16s; Now += 20ms) {
    m_rollouts.tick(m_replicas, Now);
    if (send(m_rollouts, 1) == 0)
      m_rollouts.recordOutcome("s", "v1", sample(false, Now));
  }
  EXPECT_EQ(reportedStage(Now), RolloutStage::RolledBack);
}

// The old replicas accept few requests, and the new ones get what has waited as
// soon as the requests move: many more than the rate before suggests.
TEST_F(Rollouts, WaitingRequestsDoNotExceedTheTrialOfAVersion) {
  FleetRollouts Other;
  Other.applyOrder(m_order, Start);
  int All = 0;
  int New = 0;
  for (TimePoint Now = Start;
       reportedStage(Now) == RolloutStage::Canary && Now < Start + 16s;
       Now += 20ms) {
    const bool Moving =
        m_rollouts.statuses(Now).at(0).Stage == RolloutStage::Moving;
    for (FleetRollouts *Daemon : {&m_rollouts, &Other})
      for (int I = 0; I < (Moving ? 4 : 1); ++I) {
        const int ToNew = send(*Daemon, 1);
        ++All;
        New += ToNew;
        Daemon->recordOutcome("s", ToNew == 1 ? "v2" : "v1",
                              sample(false, Now));
      }
    if ((Now - Start) % 100ms == 0ms)
      for (FleetRollouts *Daemon : {&m_rollouts, &Other})
        Daemon->tick(m_replicas, Now);
    if ((Now - Start) % 200ms == 0ms) {
      m_rollouts.receive(2, Other.statuses(Now), Other.drainOutcomes(), Now);
      Other.receive(1, m_rollouts.statuses(Now), m_rollouts.drainOutcomes(),
                    Now);
    }
  }
  EXPECT_EQ(reportedStage(Start + 15s), RolloutStage::Completed);
  EXPECT_LE(New, All / 10 + 50);
}

// All old replicas are gone while a version is tried. It must not get more than
// a trial either, until the order has ended.
TEST_F(Rollouts, VersionWithoutAnOldOneBesideItGetsNoMoreThanATrial) {
  for (int I = 0; I < 6; ++I)
    m_replicas.remove("r" + std::to_string(I), std::nullopt);
  int New = 0;
  for (TimePoint Now = Start; Now < Start + 12s; Now += 20ms) {
    m_rollouts.tick(m_replicas, Now);
    if (!m_rollouts.selectForRequest("s", "r", m_replicas.usable("s"), false)
             .empty())
      New += send(m_rollouts, 1);
  }
  EXPECT_GT(New, 20);
  EXPECT_LE(New, New / 10 + 50);
  m_rollouts.tick(m_replicas, Start + 17s);
  EXPECT_EQ(send(m_rollouts, 10), 10);
}

// A daemon that restarts during a rollout must not begin it again, and goes by
// the verdict of the others, as it has seen nothing itself.
TEST_F(Rollouts, RestartedDaemonContinuesAtTheStageOfTheOthers) {
  playGoodTrial(Start + 14s);
  auto Status = m_rollouts.statuses(Start + 14s).at(0);
  ASSERT_EQ(Status.Stage, RolloutStage::Moving);
  ASSERT_EQ(Status.Verdict, TrialVerdict::Proven);
  FleetRollouts Restarted;
  Status.Verdict = TrialVerdict::Open;
  Restarted.receive(1, {Status}, {}, Start + 14s);
  Restarted.applyOrder(m_order, Start + 14s + 200ms);
  EXPECT_EQ(send(Restarted, 10), 10);
  Restarted.receive(1, {Status}, {}, Start + 14s + 500ms);
  EXPECT_EQ(Restarted.reports(Start + 14s + 500ms).at(0).Stage,
            RolloutStage::Canary);
  Status.Verdict = TrialVerdict::Proven;
  Restarted.receive(1, {Status}, {}, Start + 14s + 600ms);
  EXPECT_EQ(Restarted.reports(Start + 14s + 600ms).at(0).Stage,
            RolloutStage::Completed);
}

// The evidence against a version was below its bound, and so was the evidence
// for it.
TEST_F(Rollouts, AVersionWithAnOpenVerdictIsRolledBack) {
  TimePoint Now = Start;
  for (int I = 0; Now < Start + 16s; Now += 25ms, ++I) {
    m_rollouts.tick(m_replicas, Now);
    if (send(m_rollouts, 1) == 0)
      m_rollouts.recordOutcome("s", "v1", sample(I % 10 == 0, Now));
    else if (Now < Start + 2s) // Later requests end without an outcome.
      m_rollouts.recordOutcome("s", "v2", sample(false, Now));
    ASSERT_NE(reportedStage(Now), RolloutStage::Completed);
  }
  EXPECT_EQ(reportedStage(Now), RolloutStage::RolledBack);
  EXPECT_EQ(m_rollouts.reports(Now).at(0).Reason.rfind("not shown", 0), 0U);
}

// A service with few requests on eight daemons got less than its share, because
// each daemon rounded down.
TEST_F(Rollouts, DaemonsWithFewRequestsSendTheMeantShareTogether) {
  std::vector<FleetRollouts> Fleet(8);
  int SentToNew = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    Fleet[I].setPhase(static_cast<double>(I) / 8.0);
    Fleet[I].applyOrder(m_order, Start);
    SentToNew += send(Fleet[I], 15);
  }
  EXPECT_EQ(SentToNew, 6);
}

// With a share of 5 % a route with few requests has no verdict at the end.
TEST_F(Rollouts, EachRouteGetsEnoughRequestsToBeJudged) {
  std::map<std::string, int> New;
  const std::map<std::string, int> Every = {{"busy", 2}, {"rare", 16}};
  int Requests = 0;
  for (TimePoint Now = Start; Now < Start + 12s; Now += 25ms, ++Requests) {
    m_rollouts.tick(m_replicas, Now);
    for (const auto &[Route, Interval] : Every) {
      if (Requests % Interval != 0)
        continue;
      const bool ToNew = send(m_rollouts, 1, Route) == 1;
      New[Route] += ToNew ? 1 : 0;
      auto Sample = sample(false, Now);
      Sample.Route = Route;
      m_rollouts.recordOutcome("s", ToNew ? "v2" : "v1", Sample);
    }
  }
  EXPECT_GE(New["rare"], 5);
  EXPECT_GE(New["busy"], 12);
  EXPECT_LE(New["rare"] + New["busy"], 27 + 50);
}

// The share fell in steps too small to be applied, and the dispatchers kept the
// share of the beginning.
TEST_F(Rollouts, TheShareOfTheCanaryFallsWhenTheVersionIsShownToBeGood) {
  playGoodTrial(Start + 550ms);
  EXPECT_GT(m_rollouts.reports(Start + 550ms).at(0).CanaryShare,
            2 * routing::CanaryShare);
  playGoodTrial(Start + 10s);
  EXPECT_LT(m_rollouts.reports(Start + 10s).at(0).CanaryShare,
            routing::CanaryShare + FleetRollouts::MinShareChange);
}

// Requests that were meant for a canary waited for it, although the old
// replicas were free.
TEST_F(Rollouts, RequestsDoNotWaitForACanaryThatDeclines) {
  std::set<routing::ReplicaId> Declining;
  for (int I = 6; I < 12; ++I)
    Declining.insert("r" + std::to_string(I));
  for (int I = 0; I < 100; ++I)
    EXPECT_FALSE(m_rollouts
                     .selectForRequest("s", "r", m_replicas.usable("s"), false,
                                       Declining)
                     .empty());
}

// Of a fleet in which most daemons have no verdict, one must not complete the
// version by its own.
TEST_F(Rollouts, AVersionIsNotCompletedAgainstTheVerdictOfTheOthers) {
  TimePoint Now = Start;
  const auto Others = [&](TrialVerdict Verdict) {
    for (BootId Boot = 2; Boot < 6; ++Boot)
      m_rollouts.receive(
          Boot,
          {{.Service = "s",
            .Version = "v2",
            .Elapsed = std::chrono::duration_cast<Milliseconds>(Now - Start),
            .Verdict = Verdict}},
          {}, Now);
  };
  for (; Now < Start + 16s; Now += 25ms) {
    Others(TrialVerdict::Open);
    m_rollouts.tick(m_replicas, Now);
    const bool ToNew = send(m_rollouts, 1) == 1;
    m_rollouts.recordOutcome("s", ToNew ? "v2" : "v1", sample(false, Now));
    ASSERT_NE(reportedStage(Now), RolloutStage::Completed);
  }
  EXPECT_EQ(reportedStage(Now), RolloutStage::RolledBack);
}

// An order that is written again with another length is about the same version.
TEST_F(Rollouts, AnOrderWithAnotherLengthKeepsWhatIsKnownOfTheVersion) {
  TimePoint Now = Start;
  for (; Now < Start + 2s; Now += 25ms) {
    m_rollouts.recordOutcome("s", "v1", sample(false, Now));
    send(m_rollouts, 1);
  }
  RolloutOrder Longer = m_order;
  Longer.Length = 20s;
  m_rollouts.applyOrder(Longer, Now);
  EXPECT_EQ(m_rollouts.reports(Now).at(0).Old.All, 80U);
  EXPECT_EQ(m_rollouts.reports(Now).at(0).Sent.All, 80U);
  EXPECT_EQ(m_rollouts.reports(Now).at(0).Order, Longer);
}

} // namespace
} // namespace nutmegdrift::gateway
