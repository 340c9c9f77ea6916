// Tests of the containment of crashing requests.
#include "nutmegdrift/policy/crash_suspects.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy {
namespace {

const Target Model{Target::Kind::Model, "m"};
const std::vector<config::ReplicaId> Replicas = {"r0", "r1"};

bool refused(CrashSuspects &Daemon, Fingerprint Request, TimePoint Now) {
  return errorOf([&] { return Daemon.check(Request, Now); }).has_value();
}

// Guards against a request that crashes one endpoint after the other because
// its caller resends it through a different daemon each time, also when a
// single daemon receives it less often than once per EntryLifetime.
TEST(CrashSuspects, ResentThroughDaemonsLosesAtMostTwoEndpoints) {
  ManualClock Clk;
  std::vector<CrashSuspects> Daemons;
  for (BootId Boot = 1; Boot <= 4; ++Boot)
    Daemons.emplace_back("d" + std::to_string(Boot), Boot);
  const auto Request = fingerprintOf("w", Model, "poison");
  int CrashedEndpoints = 0;
  for (int Try = 0; Try < 20; ++Try) {
    Clk.advance(std::chrono::minutes(20));
    auto &Entry = Daemons.at(static_cast<std::size_t>(Try) % Daemons.size());
    if (!refused(Entry, Request, Clk.now())) {
      const auto Replica = "r" + std::to_string(CrashedEndpoints++);
      Entry.started(Request, Replica);
      Entry.crashed(Replica, Clk.now());
    }
    for (const auto Changed = Entry.drainChanges(); auto &Peer : Daemons)
      Peer.merge(Changed, Clk.now());
  }
  EXPECT_EQ(CrashedEndpoints, 2);
}

// Guards against counting one crash twice when two peers report it.
TEST(CrashSuspects, MergingAgainChangesNothing) {
  ManualClock Clk;
  CrashSuspects A("a", 1);
  CrashSuspects B("b", 2);
  A.started(7, "r0");
  A.crashed("r0", Clk.now());
  const auto Changed = A.drainChanges();
  for (int I = 0; I < 3; ++I)
    B.merge(Changed, Clk.now());
  EXPECT_EQ(B.crashes(7), 1U);
  EXPECT_TRUE(B.drainChanges().empty());
  EXPECT_EQ(B.all(), A.all());
}

// Guards against counting two crashes against an innocent request because
// suspects run on the same endpoint.
TEST(CrashSuspects, SuspectsRunApart) {
  ManualClock Clk;
  CrashSuspects D("a", 1);
  D.started(1, "r0");
  D.started(2, "r0");
  D.crashed("r0", Clk.now());
  D.started(3, "r0");
  EXPECT_FALSE(D.mayStart(1, "r0", Replicas)) << "r1 is idle";
  EXPECT_TRUE(D.mayStart(1, "r1", Replicas));
  D.started(1, "r1");
  EXPECT_FALSE(D.mayStart(2, "r1", Replicas)) << "r1 runs another suspect";
  EXPECT_TRUE(D.mayStart(2, "r0", Replicas)) << "no replica is idle";
  EXPECT_FALSE(D.mayStart(1, "r0", Replicas)) << "a second copy of a suspect";
  D.ended(3, "r0");
  EXPECT_FALSE(D.mayStart(4, "r1", Replicas)) << "r0 is idle";
  EXPECT_TRUE(D.mayStart(4, "r0", Replicas));
}

// Guards against unbounded growth and against refusing a request for ever.
TEST(CrashSuspects, ForgetsEntriesAfterAnHour) {
  ManualClock Clk;
  CrashSuspects D("a", 1);
  for (int I = 0; I < 2; ++I) {
    D.started(9, "r0");
    D.crashed("r0", Clk.now());
  }
  Clk.advance(CrashSuspects::EntryLifetime - std::chrono::minutes(1));
  EXPECT_TRUE(refused(D, 9, Clk.now()));
  Clk.advance(CrashSuspects::EntryLifetime + std::chrono::minutes(1));
  EXPECT_FALSE(refused(D, 9, Clk.now()));
}

// Guards against equal fingerprints for different workspaces, targets or
// bodies.
TEST(CrashSuspects, FingerprintCoversWorkspaceTargetAndBody) {
  const auto F = fingerprintOf("w", Model, "b");
  EXPECT_EQ(F, fingerprintOf("w", Model, "b"));
  EXPECT_NE(F, fingerprintOf("x", Model, "b"));
  EXPECT_NE(F, fingerprintOf("w", {Target::Kind::Service, "m"}, "b"));
  EXPECT_NE(F, fingerprintOf("w", Model, "c"));
}

} // namespace
} // namespace nutmegdrift::policy
