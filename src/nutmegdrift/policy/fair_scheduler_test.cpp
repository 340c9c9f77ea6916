// Guards queue bounds, deadlines, choice of replica and slot offers.
#include "nutmegdrift/policy/fair_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

const Target Model{Target::Kind::Model, "m"};

OwnedReplicaState replica(const ReplicaId &Id, std::size_t Bears = 1,
                          const std::string &Version = "1") {
  return {.Record = {.Id = Id,
                     .ServedTarget = Model,
                     .Address = {},
                     .Zone = "a",
                     .Version = Version,
                     .Capacity = Bears}};
}

WorkItem item(const std::string &Workspace, double Hint = 100.0) {
  return {.Workspace = Workspace, .Plan = "p", .CostHint = Hint};
}

class FairSchedulerTest : public ::testing::Test {
protected:
  WorkId add(const WorkItem &Item) {
    return *m_here.enqueue(Item, m_clk.now());
  }
  std::vector<Dispatch> dispatch() { return m_here.nextDispatch(m_clk.now()); }
  /// Runs an item to its end with the given cost.
  void complete(WorkId Work, double Cost) {
    m_clk.advance(100ms);
    m_here.charge(Work, Cost, m_clk.now());
    m_here.finish(Work, Outcome::Completed, m_clk.now());
  }
  void remoteWaits(const std::string &Workspace, std::uint64_t Service = 0) {
    m_here.merge({{"b", 2, Model, Workspace, Service, 3}});
  }

  ManualClock m_clk;
  FairScheduler m_here{Model, "a", 1};
};

// A flooding workspace must not use the memory of the others.
TEST_F(FairSchedulerTest, FullQueueRefusesWithATimeToComeBack) {
  m_here.setWorkspace("w", 1.0, 2);
  add(item("w"));
  add(item("w"));
  const auto Refused = m_here.enqueue(item("w"), m_clk.now());
  EXPECT_EQ(Refused.Failure.Kind, ErrorKind::QueueFull);
  EXPECT_TRUE(Refused.Failure.RetryAfter);
  EXPECT_TRUE(m_here.enqueue(item("x"), m_clk.now()));
}

// Waiting for a deadline that cannot be met only delays the refusal.
TEST_F(FairSchedulerTest, DeadlineBeyondTheMeasuredRateIsRefusedAtOnce) {
  m_here.setReplicas({replica("r")});
  for (int I = 0; I < 60; ++I)
    add(item("w"));
  for (int I = 0; I < 30; ++I)
    complete(dispatch().at(0).Work, 100.0);
  auto Late = item("w");
  Late.Deadline = m_clk.now() + 1s;
  const auto Refused = m_here.enqueue(Late, m_clk.now());
  EXPECT_EQ(Refused.Failure.Kind, ErrorKind::DeadlineUnreachable);
  EXPECT_GE(Refused.Failure.RetryAfter.value_or(0ms), 1s);
  Late.Deadline = m_clk.now() + 60s;
  EXPECT_TRUE(m_here.enqueue(Late, m_clk.now()));
}

TEST_F(FairSchedulerTest, ExpiredItemsLeaveAtOnce) {
  auto Item = item("w");
  Item.Deadline = m_clk.now() + 1s;
  const auto Id = add(Item);
  EXPECT_EQ(m_here.nextDeadline(), Item.Deadline);
  m_clk.advance(1s);
  EXPECT_EQ(m_here.expire(m_clk.now()), std::vector<WorkId>{Id});
  EXPECT_EQ(m_here.queued(), 0U);
  m_here.setReplicas({replica("r")});
  EXPECT_TRUE(dispatch().empty());
}

// P6: new work for a replica that is out of service is lost or late.
TEST_F(FairSchedulerTest, ReplicasOutOfServiceGetNothing) {
  auto Out = replica("out");
  Out.ZoneOutOfService = true;
  auto Leaving = replica("leaving");
  Leaving.Record.Leaving = true;
  m_here.setReplicas({Out, Leaving});
  add(item("w"));
  EXPECT_TRUE(dispatch().empty());
  m_here.setReplicas({replica("out"), Leaving});
  ASSERT_EQ(dispatch().size(), 1U);
}

// P4: a replica that is given up and taken back still runs its requests.
TEST_F(FairSchedulerTest, ReturningReplicaCountsWhatStillRuns) {
  m_here.setReplicas({replica("r", 4)});
  add(item("w"));
  add(item("w"));
  ASSERT_EQ(dispatch().size(), 1U);
  m_here.setReplicas({});
  m_here.setReplicas({replica("r", 4)});
  EXPECT_TRUE(dispatch().empty());
}

// P7: at no moment may a new version have more than its share of a route.
RC_GTEST_PROP(FairSchedulerProperty, VersionShareHoldsAtEveryMoment, ()) {
  ManualClock Clk;
  FairScheduler Here(Model, "a", 1);
  Here.setReplicas({replica("new", 4, "2"), replica("old", 4)});
  Here.setVersionShare("2", 0.05);
  std::size_t Total = 0;
  std::size_t Fresh = 0;
  const auto Rounds = *rc::gen::inRange(50, 300);
  for (int I = 0; I < Rounds; ++I) {
    RC_ASSERT(Here.enqueue(item("w"), Clk.now()));
    for (const auto &[Work, Replica] : Here.nextDispatch(Clk.now())) {
      ++Total;
      Fresh += Replica == "new" ? 1 : 0;
      RC_ASSERT(static_cast<double>(Fresh) <=
                0.05 * static_cast<double>(Total));
      Here.finish(Work, Outcome::Completed, Clk.now(), 10.0);
    }
  }
  RC_ASSERT(Fresh == Total / 20);
}

// Spreading a prefix over all replicas loses the endpoints' prefix cache.
TEST_F(FairSchedulerTest, PrefixKeepsItsReplica) {
  m_here.setReplicas({replica("r"), replica("s"), replica("t")});
  std::set<ReplicaId> Used;
  for (int I = 0; I < 10; ++I) {
    auto Item = item("w");
    Item.PrefixHash = 42;
    add(Item);
    const auto Started = dispatch().at(0);
    Used.insert(Started.Replica);
    complete(Started.Work, 10.0);
  }
  EXPECT_EQ(Used.size(), 1U);
}

// Hints that are too low by ten times must not buy ten times the service.
TEST_F(FairSchedulerTest, CostEstimateFollowsObservedCosts) {
  m_here.setReplicas({replica("r")});
  for (int I = 0; I < 20; ++I) {
    add(item("w", 10.0 + I));
    complete(dispatch().at(0).Work, 100.0 + 10.0 * I);
  }
  EXPECT_NEAR(m_here.expectedCost(item("w", 20.0)), 200.0, 60.0);
}

// Time without demand must not turn into a claim on all slots later.
TEST_F(FairSchedulerTest, IdleWorkspaceGetsNoCredit) {
  m_here.setReplicas({replica("r")});
  for (int I = 0; I < 11; ++I)
    add(item("busy"));
  for (int I = 0; I < 10; ++I)
    complete(dispatch().at(0).Work, 100.0);
  add(item("late"));
  EXPECT_NEAR(m_here.normalisedService("late"),
              m_here.normalisedService("busy"), 100.0);
}

// Credits of all peers together must not promise a slot twice.
TEST_F(FairSchedulerTest, SpareSlotsAreSplitOnce) {
  m_here.setReplicas({replica("r"), replica("s"), replica("t")});
  for (int Round = 0; Round < 4; ++Round) {
    std::uint32_t Sum = 0;
    for (const auto &Each : m_here.splitSpare(2)) {
      EXPECT_EQ(Each.Free, 3U);
      Sum += Each.Credit;
    }
    EXPECT_EQ(Sum, 3U);
  }
  add(item("w"));
  EXPECT_EQ(m_here.splitSpare(2), std::vector<SpareSlots>(2));
}

// Work that no local slot is free for moves once for each credit, and work
// that was relayed here does not move on.
TEST_F(FairSchedulerTest, QueuedWorkMovesOnCredit) {
  m_here.setReplicas({replica("r")});
  m_here.setPeerSpare("b", {2, 1}, m_clk.now());
  add(item("w"));
  EXPECT_TRUE(m_here.nextCreditMoves(m_clk.now()).empty())
      << "a local slot is free";
  EXPECT_EQ(dispatch().size(), 1U);
  auto Relayed = item("x");
  Relayed.Relayed = true;
  add(Relayed);
  EXPECT_TRUE(m_here.nextCreditMoves(m_clk.now()).empty());
  const auto Second = add(item("y"));
  add(item("z"));
  const auto Moves = m_here.nextCreditMoves(m_clk.now());
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].Work, Second);
  EXPECT_EQ(Moves[0].Receiver, "b");
  EXPECT_EQ(m_here.queued(), 2U);
}

// A report that no newer one followed must not draw work to an owner that may
// be gone, nor may a lost peer's.
TEST_F(FairSchedulerTest, OldCreditIsNotUsed) {
  m_here.setPeerSpare("b", {2, 2}, m_clk.now());
  m_here.setPeerSpare("c", {2, 2}, m_clk.now());
  add(item("w"));
  m_here.dropPeer("b");
  m_clk.advance(1s);
  EXPECT_TRUE(m_here.nextCreditMoves(m_clk.now()).empty());
  EXPECT_TRUE(m_here.peersToNotify(m_clk.now()).empty());
}

// A peer whose offers went to other requests must hear of the rest of an
// unchanged backlog, or the rest waits while the peer has free slots.
TEST_F(FairSchedulerTest, UnchangedBacklogIsReportedAgain) {
  add(item("w"));
  const auto First = m_here.changesSince(0);
  ASSERT_EQ(First.Entries.size(), 1U);
  const auto Again = m_here.changesSince(First.Cursor);
  EXPECT_EQ(Again.Entries, First.Entries);
}

// Early counters must stay within their pause, or a busy owner would send one
// for each request.
TEST_F(FairSchedulerTest, EarlyCountersKeepTheirPause) {
  for (const auto *Peer : {"b", "c", "d", "e"})
    m_here.setPeerSpare(Peer, {2, 0}, m_clk.now());
  EXPECT_TRUE(m_here.peersToNotify(m_clk.now()).empty()) << "nothing waits";
  add(item("w"));
  EXPECT_EQ(m_here.peersToNotify(m_clk.now()).size(), 3U);
  EXPECT_TRUE(m_here.peersToNotify(m_clk.now()).empty());
  m_clk.advance(100ms);
  EXPECT_EQ(m_here.peersToNotify(m_clk.now()).size(), 1U);
  m_clk.advance(100ms);
  EXPECT_TRUE(m_here.peersToNotify(m_clk.now()).empty()) << "all were told";
}

// After a partition a workspace must not wait until hours are paid back.
TEST_F(FairSchedulerTest, DebtAfterAPartitionIsBounded) {
  add(item("w"));
  add(item("x"));
  remoteWaits("w", 1);
  remoteWaits("w", 50'000'000);
  EXPECT_DOUBLE_EQ(m_here.normalisedService("w") -
                       m_here.normalisedService("x"),
                   SchedulerSettings{}.MaxDebt);
}

// What a peer served before it was first heard of is not a debt.
TEST_F(FairSchedulerTest, HistoryOfANewPeerIsNotCharged) {
  remoteWaits("w", 40'000);
  EXPECT_DOUBLE_EQ(m_here.normalisedService("w"), 0.0);
  remoteWaits("w", 40'100);
  EXPECT_DOUBLE_EQ(m_here.normalisedService("w"), 100.0);
}

TEST_F(FairSchedulerTest, FreeSlotIsOfferedUsedAndGivenBack) {
  m_here.setReplicas({replica("r")});
  remoteWaits("w");
  const auto Offers = m_here.nextOffers(m_clk.now());
  ASSERT_EQ(Offers.size(), 1U);
  EXPECT_EQ(Offers[0].Receiver, "b");
  EXPECT_EQ(Offers[0].Workspace, "w");
  add(item("local"));
  EXPECT_TRUE(dispatch().empty()) << "the slot is held";
  const auto Moved =
      m_here.enqueueOffered(Offers[0].Id, item("w"), m_clk.now());
  ASSERT_TRUE(Moved);
  const auto Started = dispatch();
  ASSERT_EQ(Started.size(), 1U);
  EXPECT_EQ(Started[0].Work, *Moved);
}

// The offered slot can vanish while the item is on its way.
TEST_F(FairSchedulerTest, OfferedItemWithoutASlotExpires) {
  m_here.setReplicas({replica("r")});
  remoteWaits("w");
  const auto Offers = m_here.nextOffers(m_clk.now());
  m_here.setReplicas({});
  auto Item = item("w");
  Item.Deadline = m_clk.now() + 200ms;
  const auto Moved = m_here.enqueueOffered(Offers.at(0).Id, Item, m_clk.now());
  EXPECT_TRUE(dispatch().empty());
  m_clk.advance(200ms);
  EXPECT_EQ(m_here.expire(m_clk.now()), std::vector<WorkId>{*Moved});
}

// P4: a full endpoint that turns cold must be noticed before its first token.
TEST_F(FairSchedulerTest, SilentReplicaIsColdBeforeItsFirstToken) {
  m_here.setReplicas({replica("r", 4)});
  for (int I = 0; I < 20; ++I)
    add(item("w"));
  complete(dispatch().at(0).Work, 100.0);
  EXPECT_EQ(m_here.limit("r"), 2U);
  const auto Started = dispatch();
  m_clk.advance(1s);
  m_here.cancel(Started.at(0).Work, m_clk.now());
  EXPECT_TRUE(dispatch().empty());
  EXPECT_EQ(m_here.limit("r"), 1U);
}

// A peer that does not answer must not hold slots again and again.
TEST_F(FairSchedulerTest, ExpiredOfferFreesTheSlotAndEndsOffers) {
  m_here.setReplicas({replica("r")});
  remoteWaits("w");
  const auto Offers = m_here.nextOffers(m_clk.now());
  add(item("local"));
  m_clk.advance(300ms);
  EXPECT_EQ(dispatch().size(), 1U);
  EXPECT_FALSE(m_here.enqueueOffered(Offers.at(0).Id, item("w"), m_clk.now()));
  EXPECT_TRUE(m_here.nextOffers(m_clk.now()).empty());
}

// A workspace far behind at another owner goes before the local queue.
TEST_F(FairSchedulerTest, SlotGoesToTheWorkspaceThatIsBehind) {
  add(item("local"));
  remoteWaits("w");
  m_here.merge({{"b", 2, Model, "local", 0, 0}});
  m_here.merge({{"b", 2, Model, "local", 5'000, 0}});
  m_here.setReplicas({replica("r")});
  const auto Offers = m_here.nextOffers(m_clk.now());
  ASSERT_EQ(Offers.size(), 1U);
  EXPECT_EQ(Offers[0].Workspace, "w");
  EXPECT_TRUE(dispatch().empty());
  m_here.declineOffer(Offers[0].Id);
  EXPECT_TRUE(m_here.nextOffers(m_clk.now()).empty());
  EXPECT_EQ(dispatch().size(), 1U);
}

// An offer names a workspace whose queue may have emptied since.
TEST_F(FairSchedulerTest, OfferTakesAnotherWorkspaceIfItsOwnIsEmpty) {
  const auto Id = add(item("x"));
  const auto Taken = m_here.popForOffer("w", m_clk.now());
  ASSERT_TRUE(Taken);
  EXPECT_EQ(Taken->Work, Id);
  EXPECT_FALSE(m_here.popForOffer("w", m_clk.now()));
}

} // namespace
} // namespace nutmegdrift::policy
