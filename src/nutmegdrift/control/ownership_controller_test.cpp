// Tests exclusive ownership under faults: the limits of all daemons that may
// admit to a replica plus residual requests never exceed the replica's
// capacity, a replica has no owner for a bounded time only, and platform calls
// stay within the budget.
#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/fleet_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace nutmegdrift::control {
namespace {

using namespace std::chrono_literals;
using NodeState = FleetSimulation::NodeState;

const std::set<std::string> Zones{"a", "b", "c"};

/// Daemons d0, d1, ... in three availability zones that form one cell, and six
/// replicas.
class Ownership : public ::testing::Test {
protected:
  void boot(int Daemons) {
    for (int I = 0; I < 6; ++I)
      m_sim.addReplica("r" + std::to_string(I), zoneOf(I), 4);
    for (int I = 0; I < Daemons; ++I)
      start("d" + std::to_string(I));
    m_sim.run(8s);
    for (const auto &[Id, Replica] : m_sim.Replicas)
      ASSERT_EQ(m_sim.admittingDaemons(Id).size(), 1U) << Id;
  }
  static std::string zoneOf(int I) { return {static_cast<char>('a' + I % 3)}; }
  FleetSimulation::Node &start(const DaemonName &Name) {
    return m_sim.start(Name, zoneOf(Name[1] - '0'), "region", Zones);
  }
  DaemonName ownerOf(const std::string &Id) {
    const auto Admitting = m_sim.admittingDaemons(Id);
    return Admitting.empty() ? "" : Admitting.front();
  }
  /// Time until a live daemon other than OldOwner may admit to the replica.
  Duration idleAfter(const std::string &Id, const DaemonName &OldOwner) {
    for (Duration Time{0}; Time < 20s; Time += FleetSimulation::Step) {
      const auto Admitting = m_sim.admittingDaemons(Id);
      if (!Admitting.empty() && Admitting.front() != OldOwner)
        return Time;
      m_sim.step();
    }
    return 20s;
  }
  void TearDown() override { EXPECT_EQ(m_sim.Violation, ""); }

  FleetSimulation m_sim;
};

// A refused connection proves that the process has ended. Waiting for the end
// of its lease would leave the replica idle for 4 s.
TEST_F(Ownership, TakesOverWithinASecondOfARefusedConnection) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.setState(OldOwner, NodeState::Exited);
  EXPECT_LE(idleAfter("r0", OldOwner), 1s);
}

TEST_F(Ownership, TakesOverWithinFourSecondsOfSilence) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.setState(OldOwner, NodeState::Vanished);
  EXPECT_LE(idleAfter("r0", OldOwner), 4s);
}

// An owner that resumes must not admit requests in parallel to its successor.
TEST_F(Ownership, PausedHolderStopsBeforeItAdmits) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.setState(OldOwner, NodeState::Paused);
  m_sim.run(10s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 1U);
  EXPECT_NE(ownerOf("r0"), OldOwner);
  m_sim.setState(OldOwner, NodeState::Running);
  m_sim.run(10s);
}

// While the platform is up, a partition between daemons must not move replicas.
TEST_F(Ownership, PartitionBetweenDaemonsKeepsOwners) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.Isolated = {OldOwner};
  m_sim.run(20s);
  EXPECT_EQ(ownerOf("r0"), OldOwner);
}

// The zone writer writes the renewals of a daemon without platform access.
TEST_F(Ownership, HolderCutFromThePlatformAloneKeepsItsLease) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.Nodes.at(OldOwner)->Access->Disconnected = true;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 1U);
}

// A daemon without links to platform and peers must not treat this as an
// outage.
TEST_F(Ownership, HolderCutFromEverythingStops) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.Nodes.at(OldOwner)->Access->Disconnected = true;
  m_sim.Isolated = {OldOwner};
  EXPECT_LE(idleAfter("r0", OldOwner), 4s);
}

// Neither a platform outage nor its end may interrupt ownership.
TEST_F(Ownership, HoldersKeepTheirReplicasThroughAnOutage) {
  boot(8);
  FaultyAccess::Down = true;
  for (int I = 0; I < 300; ++I) {
    m_sim.step();
    for (const auto &[Id, Replica] : m_sim.Replicas)
      ASSERT_EQ(m_sim.admittingDaemons(Id).size(), 1U)
          << Id << " at step " << I;
  }
  FaultyAccess::Down = false;
  m_sim.run(10s);
  for (const auto &[Id, Replica] : m_sim.Replicas)
    EXPECT_EQ(m_sim.admittingDaemons(Id).size(), 1U) << Id;
}

TEST_F(Ownership, OutageAndDeathGiveTheSuccessorHalf) {
  boot(8);
  FaultyAccess::Down = true;
  m_sim.run(10s);
  const auto OldOwner = ownerOf("r0");
  m_sim.setState(OldOwner, NodeState::Exited);
  EXPECT_LE(idleAfter("r0", OldOwner), 1s);
  const auto NewOwner = ownerOf("r0");
  for (const auto &Item : m_sim.Nodes.at(NewOwner)->Ownership->owned())
    EXPECT_TRUE(Item.Replica.Id != "r0" ||
                Item.limit() + Item.ResidualRequests == 2U);
  FaultyAccess::Down = false;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 1U);
}

// The limits of the isolated owner and its successor must fit the capacity.
TEST_F(Ownership, OutageAndIsolationHalveBoth) {
  boot(8);
  FaultyAccess::Down = true;
  m_sim.run(10s);
  m_sim.Isolated = {ownerOf("r0")};
  m_sim.run(10s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 2U);
  FaultyAccess::Down = false;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 1U);
}

TEST_F(Ownership, LostAnswersAndStaleReads) {
  boot(8);
  for (auto &[Name, N] : m_sim.Nodes) {
    N->Access->StaleReads = true;
    N->Access->AnswersToLose = 5;
  }
  m_sim.setState(ownerOf("r0"), NodeState::Vanished);
  m_sim.run(10s);
  for (auto &[Name, N] : m_sim.Nodes)
    N->Access->StaleReads = false;
  m_sim.run(10s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 1U);
}

// Records of the previous boot must not count as those of the new boot.
TEST_F(Ownership, RestartedEmptyClaimsAgain) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.setState(OldOwner, NodeState::Exited);
  start(OldOwner);
  m_sim.run(15s);
  EXPECT_EQ(ownerOf("r0"), OldOwner);
}

TEST_F(Ownership, JoinerGetsItsShareByHandOver) {
  boot(7);
  start("d7");
  m_sim.run(10s);
  std::size_t Owned = m_sim.Nodes.at("d7")->Ownership->owned().size();
  start("d8");
  m_sim.run(10s);
  Owned += m_sim.Nodes.at("d8")->Ownership->owned().size();
  EXPECT_GE(Owned, 1U);
}

TEST_F(Ownership, PlannedLeaveHandsEverythingOver) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.Nodes.at(OldOwner)->Membership->leave();
  m_sim.Nodes.at(OldOwner)->Access->AnswersToLose = 3;
  EXPECT_LE(idleAfter("r0", OldOwner), 1s);
  m_sim.run(5s);
  EXPECT_TRUE(m_sim.Nodes.at(OldOwner)->Ownership->drained());
}

// The write takes effect, but its response is lost and the read after it is
// stale: the sender must not conclude that it still owns the replica and admit.
TEST_F(Ownership, PlannedLeaveWithLostAnswerAndStaleReads) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  auto &Sender = *m_sim.Nodes.at(OldOwner);
  Sender.Access->StaleGetsAfterLoss = 4;
  Sender.Access->AnswersToLose = 3;
  Sender.Membership->leave();
  EXPECT_LE(idleAfter("r0", OldOwner), 4s);
  m_sim.run(5s);
}

// During an outage hand-overs are sent as messages whose acks may be lost.
TEST_F(Ownership, PlannedLeaveInAnOutageWithLostAcks) {
  boot(8);
  FaultyAccess::Down = true;
  m_sim.run(10s);
  const auto OldOwner = ownerOf("r0");
  m_sim.LoseAcks = true;
  m_sim.Nodes.at(OldOwner)->Membership->leave();
  EXPECT_LE(idleAfter("r0", OldOwner), 1s);
  m_sim.run(5s);
  EXPECT_FALSE(m_sim.Nodes.at(OldOwner)->Ownership->drained());
  m_sim.LoseAcks = false;
  m_sim.run(2s);
  EXPECT_TRUE(m_sim.Nodes.at(OldOwner)->Ownership->drained());
  m_sim.setState(OldOwner, NodeState::Exited);
  FaultyAccess::Down = false;
  m_sim.run(20s);
  EXPECT_EQ(m_sim.admittingDaemons("r0").size(), 1U);
}

// Replicas of evacuated zones and leaving replicas get no new requests.
TEST_F(Ownership, EvacuatedZonesAndLeavingReplicasGetNoRequests) {
  boot(8);
  for (auto &[Name, N] : m_sim.Nodes)
    N->Ownership->setEvacuatedZones({"a"});
  auto Leaving = m_sim.Replicas.at("r1");
  Leaving.Leaving = true;
  const auto Stored = capture([&] { return m_sim.Store.get("endpoints/r1"); });
  std::ignore = capture([&] {
    return m_sim.Store.put("endpoints/r1", config::printReplica(Leaving),
                           Stored->Version);
  });
  m_sim.run(3s);
  EXPECT_EQ(ownerOf("r0"), "");
  EXPECT_EQ(ownerOf("r1"), "");
  EXPECT_NE(ownerOf("r2"), "");
}

// A replica that is handed over must be reported as removed. Otherwise the data
// path still chooses it and refuses all requests placed there.
TEST_F(Ownership, HandedOverReplicasAreReportedAsRemoved) {
  boot(8);
  const auto OldOwner = ownerOf("r0");
  m_sim.Nodes.at(OldOwner)->Membership->leave();
  m_sim.run(5s);
  EXPECT_TRUE(m_sim.Nodes.at(OldOwner)->Ownership->owned().empty());
  for (const auto &[Name, N] : m_sim.Nodes)
    EXPECT_EQ(N->LastReported, N->Ownership->owned()) << Name;
}

// Each call of the handler makes the data path rebuild its replicas.
TEST_F(Ownership, QuietFleetReportsNoChanges) {
  boot(8);
  m_sim.run(10s);
  const auto Before = m_sim.Nodes.at("d0")->Changes;
  m_sim.run(10s);
  EXPECT_EQ(m_sim.Nodes.at("d0")->Changes, Before);
}

/// Starts or ends a fault: Kind selects the fault, Who the daemons.
void applyFault(FleetSimulation &Sim, int Kind, int Who) {
  const auto Name = "d" + std::to_string(Who % 5);
  auto &N = *Sim.Nodes.at(Name);
  const auto Other = "d" + std::to_string((Who / 5) % 5);
  switch (Kind) {
  case 0:
    FaultyAccess::Down = !FaultyAccess::Down;
    break;
  case 1:
    if (N.State == NodeState::Running || N.State == NodeState::Paused)
      N.State = N.State == NodeState::Running ? NodeState::Paused
                                              : NodeState::Running;
    break;
  case 2:
    if (!Sim.CutLinks.erase({Name, Other}))
      Sim.CutLinks.insert({Name, Other});
    break;
  case 3:
    if (!Sim.Isolated.erase(Name))
      Sim.Isolated.insert(Name);
    break;
  case 4:
    N.Access->AnswersToLose = 2;
    break;
  case 5:
    N.Access->StaleReads = !N.Access->StaleReads;
    break;
  case 6:
    Sim.setState(Name, NodeState::Exited);
    break;
  case 7:
    Sim.setState(Name, NodeState::Exited);
    Sim.start(Name, N.Membership->self().Zone, "region", Zones);
    break;
  case 8:
    N.Membership->leave();
    break;
  case 9:
    Sim.LoseAcks = !Sim.LoseAcks;
    break;
  default:
    N.Access->Disconnected = !N.Access->Disconnected;
  }
}

using Faults = std::vector<std::tuple<int, int, int>>;

/// Runs five daemons and four replicas under faults (kind, who, steps). Returns
/// the first violation, or an empty string.
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

/// An outage during which the zone writer d2 is paused and the owner d4 is
/// isolated. The outage ends more than a lease before d2 reads its messages.
Faults outageWithPausedWriter() {
  return {{0, 0, 2}, {1, 2, 27}, {5, 4, 1}, {3, 4, 1}, {0, 0, 7}, {3, 6, 30}};
}

// Renewals sent during the outage that wait at the paused zone writer must not
// be written as new ones: the successor would get the full limit while the
// isolated owner still has half.
TEST(LateRenewals, ResumedWriterWritesNone) {
  auto Sequence = outageWithPausedWriter();
  Sequence.emplace_back(1, 2, 38);
  EXPECT_EQ(violationUnder(Sequence), "");
}

TEST(LateRenewals, RestartedWriterWritesNone) {
  auto Sequence = outageWithPausedWriter();
  Sequence.emplace_back(7, 7, 38);
  EXPECT_EQ(violationUnder(Sequence), "");
}

// An owner without platform access loses its lease and another daemon claims at
// half the limit. A following outage must not make the previous owner admit
// again.
TEST(OutageAfterClaim, FormerHolderStaysStopped) {
  EXPECT_EQ(violationUnder(
                {{0, 0, 1}, {10, 0, 1}, {0, 0, 3}, {3, 7, 56}, {0, 0, 11}}),
            "");
}

// The zone writer takes over during an outage, is paused at once and resumes
// after the isolated owner has returned to its full limit. It must not record
// its take-over then.
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

// A daemon without other live members confirms an outage alone. After a pause
// as long as the lease this confirmation must be void, or the daemon admits in
// parallel to the one that claimed after the outage.
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

// The platform recovers while a daemon is paused, and fails again. The pause
// must not count towards the time after which all leases have expired.
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

// The time for which only this daemon had no platform access must not count
// towards the time after which all leases have expired in an outage.
TEST(OutageAfterCut, LeasesRunFromTheOutage) {
  EXPECT_EQ(violationUnder({{3, 0, 1}, {10, 18, 30}, {0, 0, 10}}), "");
}

// A daemon without platform access learns the version only from the zone
// writer, and must keep its lease when the writer restarts without state.
TEST_F(Ownership, CutHolderKeepsItsLeaseWhenTheZoneWriterRestarts) {
  boot(8);
  std::vector<DaemonName> Names;
  for (const auto &[Name, N] : m_sim.Nodes)
    Names.push_back(Name);
  const auto Writer = policy::lowestRanked("region", Names);
  const auto *const Id = ownerOf("r0") == Writer ? "r1" : "r0";
  const auto OldOwner = ownerOf(Id);
  ASSERT_NE(OldOwner, Writer);
  m_sim.Nodes.at(OldOwner)->Access->Disconnected = true;
  m_sim.run(5s);
  m_sim.setState(Writer, NodeState::Exited);
  start(Writer);
  m_sim.run(20s);
  EXPECT_EQ(ownerOf(Id), OldOwner);
  EXPECT_EQ(m_sim.Nodes.at(OldOwner)->Membership->holdState(),
            HoldState::Leased);
}

// Random sequences of faults.
TEST(OwnershipFuzz, LimitsNeverExceedBears) {
  const bool Held =
      rc::check("limits plus residual requests stay within the capacity", [] {
        const auto Sequence = *rc::gen::container<Faults>(
            rc::gen::tuple(rc::gen::inRange(0, 11), rc::gen::inRange(0, 25),
                           rc::gen::inRange(1, 60)));
        if (const auto Violation = violationUnder(Sequence); !Violation.empty())
          RC_FAIL(Violation);
      });
  EXPECT_TRUE(Held);
}

struct FleetSize {
  int Daemons;
  int ZoneCount;
};

class PlatformBudget : public ::testing::TestWithParam<FleetSize> {};

// The platform allows several hundred writes and about 2000 reads per second
// for the fleet.
TEST_P(PlatformBudget, StaysWithin) {
  constexpr double MaxReads = 2000;
  constexpr double MaxWrites = 300;
  constexpr int Seconds = 5;
  const auto [Daemons, ZoneCount] = GetParam();
  FleetSimulation Sim;
  Sim.GenerateLoad = false;
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
