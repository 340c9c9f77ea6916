// Guards exclusive ownership: under faults the limits of all daemons that may
// admit to a replica, plus carry, never exceed what it bears; a replica without
// owner is idle for a bounded time; platform calls stay within the budget.
#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/fleet_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace nutmegdrift::control {
namespace {

using namespace std::chrono_literals;
using Life = FleetSimulation::Life;

const std::set<std::string> Zones{"a", "b", "c"};

/// Daemons d0.. in three availability zones that form one cell, six replicas.
class Ownership : public ::testing::Test {
protected:
  void boot(int Daemons) {
    for (int I = 0; I < 6; ++I)
      m_sim.addReplica("r" + std::to_string(I), zoneOf(I), 4);
    for (int I = 0; I < Daemons; ++I)
      start("d" + std::to_string(I));
    m_sim.run(8s);
    for (const auto &[Id, At] : m_sim.Replicas)
      ASSERT_EQ(m_sim.admitters(Id).size(), 1U) << Id;
  }
  static std::string zoneOf(int I) { return {static_cast<char>('a' + I % 3)}; }
  FleetSimulation::Node &start(const DaemonName &Name) {
    return m_sim.start(Name, zoneOf(Name[1] - '0'), "region", Zones);
  }
  DaemonName ownerOf(const std::string &Id) {
    const auto Who = m_sim.admitters(Id);
    return Who.empty() ? "" : Who.front();
  }
  /// Time until a live daemon other than Old may admit to the replica.
  Duration idleAfter(const std::string &Id, const DaemonName &Old) {
    for (Duration Time{0}; Time < 20s; Time += FleetSimulation::Step) {
      const auto Who = m_sim.admitters(Id);
      if (!Who.empty() && Who.front() != Old)
        return Time;
      m_sim.step();
    }
    return 20s;
  }
  void TearDown() override { EXPECT_EQ(m_sim.Violation, ""); }

  FleetSimulation m_sim;
};

// A refused connection proves death; waiting for the lease would idle 4 s.
TEST_F(Ownership, TakesOverWithinASecondOfARefusedConnection) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.kill(Old, Life::Died);
  EXPECT_LE(idleAfter("r0", Old), 1s);
}

TEST_F(Ownership, TakesOverWithinFourSecondsOfSilence) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.kill(Old, Life::Vanished);
  EXPECT_LE(idleAfter("r0", Old), 4s);
}

// A holder that resumes must not admit beside its successor.
TEST_F(Ownership, PausedHolderStopsBeforeItAdmits) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.kill(Old, Life::Paused);
  m_sim.run(10s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 1U);
  EXPECT_NE(ownerOf("r0"), Old);
  m_sim.kill(Old, Life::Runs);
  m_sim.run(10s);
}

// With the platform up a partition between daemons moves nothing.
TEST_F(Ownership, PartitionBetweenDaemonsKeepsOwners) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.Isolated = {Old};
  m_sim.run(20s);
  EXPECT_EQ(ownerOf("r0"), Old);
}

// The zone writer renews for a daemon that cannot reach the platform.
TEST_F(Ownership, HolderCutFromThePlatformAloneKeepsItsLease) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.Nodes.at(Old)->Access->Cut = true;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 1U);
}

// Cut from platform and peers it must not take its own cut for an outage.
TEST_F(Ownership, HolderCutFromEverythingStops) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.Nodes.at(Old)->Access->Cut = true;
  m_sim.Isolated = {Old};
  EXPECT_LE(idleAfter("r0", Old), 4s);
}

// A platform outage must not stop the fleet, nor its end reset it.
TEST_F(Ownership, HoldersKeepTheirReplicasThroughAnOutage) {
  boot(8);
  FaultyAccess::Down = true;
  for (int I = 0; I < 300; ++I) {
    m_sim.step();
    for (const auto &[Id, At] : m_sim.Replicas)
      ASSERT_EQ(m_sim.admitters(Id).size(), 1U) << Id << " at step " << I;
  }
  FaultyAccess::Down = false;
  m_sim.run(10s);
  for (const auto &[Id, At] : m_sim.Replicas)
    EXPECT_EQ(m_sim.admitters(Id).size(), 1U) << Id;
}

TEST_F(Ownership, OutageAndDeathGiveTheSuccessorHalf) {
  boot(8);
  FaultyAccess::Down = true;
  m_sim.run(10s);
  const auto Old = ownerOf("r0");
  m_sim.kill(Old, Life::Died);
  EXPECT_LE(idleAfter("r0", Old), 1s);
  const auto New = ownerOf("r0");
  for (const auto &Item : m_sim.Nodes.at(New)->Owner->owned())
    EXPECT_TRUE(Item.Replica.Id != "r0" ||
                Item.limit() + Item.ResidualRequests == 2U);
  FaultyAccess::Down = false;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 1U);
}

// The isolated holder and its successor must fit together.
TEST_F(Ownership, OutageAndIsolationHalveBoth) {
  boot(8);
  FaultyAccess::Down = true;
  m_sim.run(10s);
  m_sim.Isolated = {ownerOf("r0")};
  m_sim.run(10s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 2U);
  FaultyAccess::Down = false;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 1U);
}

TEST_F(Ownership, LostAnswersAndStaleReads) {
  boot(8);
  for (auto &[Name, N] : m_sim.Nodes) {
    N->Access->Stale = true;
    N->Access->LoseAnswers = 5;
  }
  m_sim.kill(ownerOf("r0"), Life::Vanished);
  m_sim.run(10s);
  for (auto &[Name, N] : m_sim.Nodes)
    N->Access->Stale = false;
  m_sim.run(10s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 1U);
}

// The old boot's records must not be taken for the new boot's.
TEST_F(Ownership, RestartedEmptyClaimsAgain) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.kill(Old, Life::Died);
  start(Old);
  m_sim.run(15s);
  EXPECT_EQ(ownerOf("r0"), Old);
}

TEST_F(Ownership, JoinerGetsItsShareByHandOver) {
  boot(7);
  start("d7");
  m_sim.run(10s);
  std::size_t Owned = m_sim.Nodes.at("d7")->Owner->owned().size();
  start("d8");
  m_sim.run(10s);
  Owned += m_sim.Nodes.at("d8")->Owner->owned().size();
  EXPECT_GE(Owned, 1U);
}

TEST_F(Ownership, PlannedLeaveHandsEverythingOver) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.Nodes.at(Old)->Members->leave();
  m_sim.Nodes.at(Old)->Access->LoseAnswers = 3;
  EXPECT_LE(idleAfter("r0", Old), 1s);
  m_sim.run(5s);
  EXPECT_TRUE(m_sim.Nodes.at(Old)->Owner->drained());
}

// The write took effect but the read-back shows the object before it: the
// giver must not take its replica for unwritten and admit again.
TEST_F(Ownership, PlannedLeaveWithLostAnswerAndStaleReads) {
  boot(8);
  const auto Old = ownerOf("r0");
  auto &Giver = *m_sim.Nodes.at(Old);
  Giver.Access->StaleAfterLoss = 4;
  Giver.Access->LoseAnswers = 3;
  Giver.Members->leave();
  EXPECT_LE(idleAfter("r0", Old), 4s);
  m_sim.run(5s);
}

// During an outage the hand-over goes by message and its ack may be lost.
TEST_F(Ownership, PlannedLeaveInAnOutageWithLostAcks) {
  boot(8);
  FaultyAccess::Down = true;
  m_sim.run(10s);
  const auto Old = ownerOf("r0");
  m_sim.LoseAcks = true;
  m_sim.Nodes.at(Old)->Members->leave();
  EXPECT_LE(idleAfter("r0", Old), 1s);
  m_sim.run(5s);
  EXPECT_FALSE(m_sim.Nodes.at(Old)->Owner->drained());
  m_sim.LoseAcks = false;
  m_sim.run(2s);
  EXPECT_TRUE(m_sim.Nodes.at(Old)->Owner->drained());
  m_sim.kill(Old, Life::Died);
  FaultyAccess::Down = false;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admitters("r0").size(), 1U);
}

// Availability zones that are out and leaving replicas get no new work.
TEST_F(Ownership, OutAndLeavingGetNoWork) {
  boot(8);
  for (auto &[Name, N] : m_sim.Nodes)
    N->Owner->setEvacuatedZones({"a"});
  auto Leaving = m_sim.Replicas.at("r1");
  Leaving.Leaving = true;
  const auto Now = capture([&] { return m_sim.Store.get("endpoints/r1"); });
  std::ignore = capture([&] {
    return m_sim.Store.put("endpoints/r1", config::printReplica(Leaving),
                           Now->Version);
  });
  m_sim.run(3s);
  EXPECT_EQ(ownerOf("r0"), "");
  EXPECT_EQ(ownerOf("r1"), "");
  EXPECT_NE(ownerOf("r2"), "");
}

// A replica that is handed over must be reported as gone, or the data path goes
// on choosing it and refuses every request that it chose it for.
TEST_F(Ownership, HandedOverReplicasAreReportedAsGone) {
  boot(8);
  const auto Old = ownerOf("r0");
  m_sim.Nodes.at(Old)->Members->leave();
  m_sim.run(5s);
  EXPECT_TRUE(m_sim.Nodes.at(Old)->Owner->owned().empty());
  for (const auto &[Name, N] : m_sim.Nodes)
    EXPECT_EQ(N->Reported, N->Owner->owned()) << Name;
}

// A callback a tick would make the data path rebuild its replicas each time.
TEST_F(Ownership, QuietFleetReportsNoChanges) {
  boot(8);
  m_sim.run(10s);
  const auto Before = m_sim.Nodes.at("d0")->Changes;
  m_sim.run(10s);
  EXPECT_EQ(m_sim.Nodes.at("d0")->Changes, Before);
}

/// One fault or its end, chosen by two numbers.
void applyFault(FleetSimulation &Sim, int Kind, int Who) {
  const auto Name = "d" + std::to_string(Who % 5);
  auto &N = *Sim.Nodes.at(Name);
  const auto Other = "d" + std::to_string((Who / 5) % 5);
  switch (Kind) {
  case 0:
    FaultyAccess::Down = !FaultyAccess::Down;
    break;
  case 1:
    if (N.State == Life::Runs || N.State == Life::Paused)
      N.State = N.State == Life::Runs ? Life::Paused : Life::Runs;
    break;
  case 2:
    if (!Sim.Cuts.erase({Name, Other}))
      Sim.Cuts.insert({Name, Other});
    break;
  case 3:
    if (!Sim.Isolated.erase(Name))
      Sim.Isolated.insert(Name);
    break;
  case 4:
    N.Access->LoseAnswers = 2;
    break;
  case 5:
    N.Access->Stale = !N.Access->Stale;
    break;
  case 6:
    Sim.kill(Name, Life::Died);
    break;
  case 7:
    Sim.kill(Name, Life::Died);
    Sim.start(Name, N.Members->self().Zone, "region", Zones);
    break;
  case 8:
    N.Members->leave();
    break;
  case 9:
    Sim.LoseAcks = !Sim.LoseAcks;
    break;
  default:
    N.Access->Cut = !N.Access->Cut;
  }
}

using Faults = std::vector<std::tuple<int, int, int>>;

/// Five daemons and four replicas under the faults (kind, who, steps). The
/// first violation; empty if there is none.
std::string violationUnder(const Faults &Sequence) {
  FleetSimulation Sim;
  for (int I = 0; I < 4; ++I)
    Sim.addReplica("r" + std::to_string(I), "a", 4);
  for (int I = 0; I < 5; ++I)
    Sim.start("d" + std::to_string(I), "a", "region", {"a"});
  Sim.run(8s);
  for (const auto &[Kind, Who, Steps] : Sequence) {
    applyFault(Sim, Kind, Who);
    for (int I = 0; I < Steps; ++I)
      Sim.step();
    if (!Sim.Violation.empty())
      return Sim.Violation;
  }
  return "";
}

/// An outage during which the zone writer d2 is paused and the holder d4 is
/// isolated. The outage ends more than a lease before d2 reads its messages.
Faults outageWithPausedWriter() {
  return {{0, 0, 2}, {1, 2, 27}, {5, 4, 1}, {3, 4, 1}, {0, 0, 7}, {3, 6, 30}};
}

// Heartbeats of the outage that wait at the paused zone writer must not be
// written as fresh renewals: the successor would take the full limit beside
// the isolated holder at half.
TEST(LateHeartbeats, ResumedWriterWritesNone) {
  auto Sequence = outageWithPausedWriter();
  Sequence.emplace_back(1, 2, 38);
  EXPECT_EQ(violationUnder(Sequence), "");
}

TEST(LateHeartbeats, RestartedWriterWritesNone) {
  auto Sequence = outageWithPausedWriter();
  Sequence.emplace_back(7, 7, 38);
  EXPECT_EQ(violationUnder(Sequence), "");
}

// A holder cut from the platform loses its lease and another daemon claims at
// half. An outage that follows must not make the former holder admit again.
TEST(OutageAfterClaim, FormerHolderStaysStopped) {
  EXPECT_EQ(violationUnder(
                {{0, 0, 1}, {10, 0, 1}, {0, 0, 3}, {3, 7, 56}, {0, 0, 11}}),
            "");
}

// The writer takes over during an outage, is paused at once and resumes after
// the isolated holder went back to its full limit. It must not record then what
// it took over.
TEST(LateTakeOver, IsNotRecordedAfterAPause) {
  EXPECT_EQ(violationUnder({{3, 2, 2},
                            {3, 9, 5},
                            {3, 7, 1},
                            {0, 0, 19},
                            {1, 0, 18},
                            {1, 2, 1},
                            {0, 0, 3},
                            {1, 0, 26},
                            {1, 0, 26},
                            {1, 2, 4}}),
            "");
}

// A daemon that knows no other live one confirms an outage alone. Once paused
// for a lease it must not count as confirmed, or it admits beside the daemon
// that claimed after the outage.
TEST(CellOfOne, PauseOfALeaseEndsItsConfirmation) {
  EXPECT_EQ(violationUnder({{1, 4, 1},
                            {1, 6, 1},
                            {1, 2, 1},
                            {1, 0, 8},
                            {2, 0, 25},
                            {0, 0, 14},
                            {1, 0, 10},
                            {1, 1, 1},
                            {0, 0, 1},
                            {1, 3, 11},
                            {2, 0, 15},
                            {2, 0, 27},
                            {1, 6, 4}}),
            "");
  EXPECT_EQ(violationUnder({{5, 13, 1},
                            {5, 16, 1},
                            {6, 14, 1},
                            {6, 17, 38},
                            {0, 0, 30},
                            {1, 0, 1},
                            {0, 0, 1},
                            {7, 1, 14},
                            {1, 2, 4},
                            {7, 7, 38}}),
            "");
}

// The platform comes back while a daemon is paused, and fails again. The pause
// must not count towards the time after which every lease has run out.
TEST(OutageAfterPause, LeasesRunFromTheEndOfThePause) {
  EXPECT_EQ(violationUnder({{2, 3, 1},
                            {2, 2, 11},
                            {2, 1, 11},
                            {0, 0, 14},
                            {1, 3, 4},
                            {0, 0, 8},
                            {1, 0, 4},
                            {0, 0, 7},
                            {1, 3, 1}}),
            "");
}

// A daemon cut from the platform alone must not count its own cut towards the
// time after which every lease has run out in an outage.
TEST(OutageAfterCut, LeasesRunFromTheOutage) {
  EXPECT_EQ(violationUnder({{3, 0, 1}, {10, 18, 30}, {0, 0, 10}}), "");
}

// A daemon that is cut from the platform knows the version only from answers
// of the zone writer, and must keep its lease when that restarts empty.
TEST_F(Ownership, CutHolderKeepsItsLeaseWhenTheZoneWriterRestarts) {
  boot(8);
  std::vector<DaemonName> Names;
  for (const auto &[Name, N] : m_sim.Nodes)
    Names.push_back(Name);
  const auto Writer = policy::lowestRanked("region", Names);
  const auto *const Id = ownerOf("r0") == Writer ? "r1" : "r0";
  const auto Old = ownerOf(Id);
  ASSERT_NE(Old, Writer);
  m_sim.Nodes.at(Old)->Access->Cut = true;
  m_sim.run(5s);
  m_sim.kill(Writer, Life::Died);
  start(Writer);
  m_sim.run(20s);
  EXPECT_EQ(ownerOf(Id), Old);
  EXPECT_EQ(m_sim.Nodes.at(Old)->Members->holdState(), HoldState::Leased);
}

// Sequences of faults that no single test thought of.
TEST(OwnershipFuzz, LimitsNeverExceedBears) {
  const bool Held = rc::check("limits plus carry stay within Bears", [] {
    const auto Sequence = *rc::gen::container<Faults>(
        rc::gen::tuple(rc::gen::inRange(0, 11), rc::gen::inRange(0, 25),
                       rc::gen::inRange(1, 60)));
    if (const auto Seen = violationUnder(Sequence); !Seen.empty())
      RC_FAIL(Seen);
  });
  EXPECT_TRUE(Held);
}

struct FleetSize {
  int Daemons;
  int ZoneCount;
};

class PlatformBudget : public ::testing::TestWithParam<FleetSize> {};

// Several hundred writes and about two thousand reads a second, fleet-wide.
TEST_P(PlatformBudget, StaysWithin) {
  constexpr double MaxReads = 2000;
  constexpr double MaxWrites = 300;
  constexpr int Seconds = 5;
  const auto [Daemons, ZoneCount] = GetParam();
  FleetSimulation Sim;
  Sim.Load = false;
  for (int I = 0; I < 2 * Daemons; ++I)
    Sim.addReplica("r" + std::to_string(I), "z" + std::to_string(I % ZoneCount),
                   4);
  for (int I = 0; I < Daemons; ++I) {
    const auto Zone = "z" + std::to_string(I % ZoneCount);
    Sim.start("d" + std::to_string(I), Zone, Zone, {Zone});
  }
  Sim.run(8s);
  const auto Before = Sim.Store.calls();
  Sim.run(std::chrono::seconds(Seconds));
  const auto After = Sim.Store.calls();
  const double Reads = static_cast<double>(After.Reads - Before.Reads +
                                           After.Watches - Before.Watches) /
                       Seconds;
  const double Writes =
      static_cast<double>(After.Writes - Before.Writes) / Seconds;
  std::cout << Daemons << " daemons: " << Reads << " reads/s, " << Writes
            << " writes/s, " << (Reads + Writes) / Daemons
            << " calls/s a daemon\n";
  EXPECT_LE(Reads, MaxReads);
  EXPECT_LE(Writes, MaxWrites);
  EXPECT_EQ(Sim.violation(), "");
}

INSTANTIATE_TEST_SUITE_P(Sizes, PlatformBudget,
                         ::testing::Values(FleetSize{8, 3}, FleetSize{16, 3},
                                           FleetSize{40, 7},
                                           FleetSize{370, 7}));

} // namespace
} // namespace nutmegdrift::control
