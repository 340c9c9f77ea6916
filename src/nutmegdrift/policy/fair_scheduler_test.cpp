// Tests queue bounds, deadlines, replica selection and slot offers.
#include "nutmegdrift/policy/fair_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

const Target Model{Target::Kind::Model, "m"};

OwnedReplicaState replica(const ReplicaId &Id, std::size_t Capacity = 1,
                          const std::string &Version = "1") {
  return {.Record = {.Id = Id,
                     .ServedTarget = Model,
                     .Address = {},
                     .Zone = "a",
                     .Version = Version,
                     .Capacity = Capacity}};
}

WorkItem item(const std::string &Workspace, double Hint = 100.0) {
  return {.Workspace = Workspace, .Plan = "p", .CostHint = Hint};
}

class FairSchedulerTest : public ::testing::Test {
protected:
  WorkId add(const WorkItem &Item) {
    return *m_scheduler.enqueue(Item, m_clock.now());
  }
  std::vector<Dispatch> dispatch() {
    return m_scheduler.nextDispatch(m_clock.now());
  }
  /// Completes a running item with the given cost in tokens.
  void complete(WorkId Work, double Cost) {
    m_clock.advance(100ms);
    m_scheduler.charge(Work, Cost, m_clock.now());
    m_scheduler.finish(Work, Outcome::Completed, m_clock.now());
  }
  void mergeRemoteBacklog(const std::string &Workspace,
                          std::uint64_t Service = 0) {
    m_scheduler.merge({{"b", 2, Model, Workspace, Service, 3}});
  }

  ManualClock m_clock;
  FairScheduler m_scheduler{Model, "a", 1};
};

// Without a bound for each workspace, one that floods would exhaust the memory
// of all.
TEST_F(FairSchedulerTest, FullQueueRefusesWithRetryAfter) {
  m_scheduler.setWorkspace("w", 1.0, 2);
  add(item("w"));
  add(item("w"));
  const auto Refused = m_scheduler.enqueue(item("w"), m_clock.now());
  EXPECT_EQ(Refused.Failure.Kind, ErrorKind::QueueFull);
  EXPECT_TRUE(Refused.Failure.RetryAfter);
  EXPECT_TRUE(m_scheduler.enqueue(item("x"), m_clock.now()));
}

// Queueing a request that can no longer meet its deadline only delays the
// refusal.
TEST_F(FairSchedulerTest, DeadlineBeyondTheMeasuredRateIsRefusedAtOnce) {
  m_scheduler.setReplicas({replica("r")});
  for (int I = 0; I < 60; ++I)
    add(item("w"));
  for (int I = 0; I < 30; ++I)
    complete(dispatch().at(0).Work, 100.0);
  auto Urgent = item("w");
  Urgent.Deadline = m_clock.now() + 1s;
  const auto Refused = m_scheduler.enqueue(Urgent, m_clock.now());
  EXPECT_EQ(Refused.Failure.Kind, ErrorKind::DeadlineUnreachable);
  EXPECT_GE(Refused.Failure.RetryAfter.value_or(0ms), 1s);
  Urgent.Deadline = m_clock.now() + 60s;
  EXPECT_TRUE(m_scheduler.enqueue(Urgent, m_clock.now()));
}

TEST_F(FairSchedulerTest, ExpiredItemsAreRemoved) {
  auto Item = item("w");
  Item.Deadline = m_clock.now() + 1s;
  const auto Id = add(Item);
  EXPECT_EQ(m_scheduler.nextDeadline(), Item.Deadline);
  m_clock.advance(1s);
  EXPECT_EQ(m_scheduler.expire(m_clock.now()), std::vector<WorkId>{Id});
  EXPECT_EQ(m_scheduler.queued(), 0U);
  m_scheduler.setReplicas({replica("r")});
  EXPECT_TRUE(dispatch().empty());
}

// P6: requests sent to a replica that is out of service are lost or miss their
// deadline.
TEST_F(FairSchedulerTest, ReplicasOutOfServiceGetNoItems) {
  auto Unavailable = replica("out");
  Unavailable.ZoneOutOfService = true;
  auto Leaving = replica("leaving");
  Leaving.Record.Leaving = true;
  m_scheduler.setReplicas({Unavailable, Leaving});
  add(item("w"));
  EXPECT_TRUE(dispatch().empty());
  m_scheduler.setReplicas({replica("out"), Leaving});
  ASSERT_EQ(dispatch().size(), 1U);
}

// P4: a replica that is released and acquired again still runs its requests.
TEST_F(FairSchedulerTest, ReturningReplicaCountsRunningItems) {
  m_scheduler.setReplicas({replica("r", 4)});
  add(item("w"));
  add(item("w"));
  ASSERT_EQ(dispatch().size(), 1U);
  m_scheduler.setReplicas({});
  m_scheduler.setReplicas({replica("r", 4)});
  EXPECT_TRUE(dispatch().empty());
}

// P7: a new version must never have had more than its share of a route.
RC_GTEST_PROP(FairSchedulerProperty, VersionShareHoldsAtEveryMoment, ()) {
  ManualClock Clk;
  FairScheduler Scheduler(Model, "a", 1);
  Scheduler.setReplicas({replica("new", 4, "2"), replica("old", 4)});
  Scheduler.setVersionShare("2", 0.05);
  std::size_t Total = 0;
  std::size_t OnNewVersion = 0;
  const auto Rounds = *rc::gen::inRange(50, 300);
  for (int I = 0; I < Rounds; ++I) {
    RC_ASSERT(Scheduler.enqueue(item("w"), Clk.now()));
    for (const auto &[Work, Replica] : Scheduler.nextDispatch(Clk.now())) {
      ++Total;
      OnNewVersion += Replica == "new" ? 1 : 0;
      RC_ASSERT(static_cast<double>(OnNewVersion) <=
                0.05 * static_cast<double>(Total));
      Scheduler.finish(Work, Outcome::Completed, Clk.now(), 10.0);
    }
  }
  RC_ASSERT(OnNewVersion == Total / 20);
}

// Spreading a prefix over all replicas makes the endpoints' prefix caches
// useless.
TEST_F(FairSchedulerTest, PrefixKeepsItsReplica) {
  m_scheduler.setReplicas({replica("r"), replica("s"), replica("t")});
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

// A workspace whose hints are ten times too low must not get ten times the
// service.
TEST_F(FairSchedulerTest, CostEstimateFollowsObservedCosts) {
  m_scheduler.setReplicas({replica("r")});
  for (int I = 0; I < 20; ++I) {
    add(item("w", 10.0 + I));
    complete(dispatch().at(0).Work, 100.0 + 10.0 * I);
  }
  EXPECT_NEAR(m_scheduler.expectedCost(item("w", 20.0)), 200.0, 60.0);
}

// A workspace must not get all slots after a time without demand.
TEST_F(FairSchedulerTest, IdleWorkspaceGetsNoCredit) {
  m_scheduler.setReplicas({replica("r")});
  for (int I = 0; I < 11; ++I)
    add(item("busy"));
  for (int I = 0; I < 10; ++I)
    complete(dispatch().at(0).Work, 100.0);
  add(item("late"));
  EXPECT_NEAR(m_scheduler.normalisedService("late"),
              m_scheduler.normalisedService("busy"), 100.0);
}

// The credits of all peers together must not exceed the free slots.
TEST_F(FairSchedulerTest, SpareSlotsAreSplitOnce) {
  m_scheduler.setReplicas({replica("r"), replica("s"), replica("t")});
  for (int Round = 0; Round < 4; ++Round) {
    std::uint32_t TotalCredit = 0;
    for (const auto &Report : m_scheduler.splitSpare(2)) {
      EXPECT_EQ(Report.Free, 3U);
      TotalCredit += Report.Credit;
    }
    EXPECT_EQ(TotalCredit, 3U);
  }
  add(item("w"));
  EXPECT_EQ(m_scheduler.splitSpare(2), std::vector<SpareSlots>(2));
}

// Items without a free local slot move once for each credit; items that were
// relayed here do not move again.
TEST_F(FairSchedulerTest, QueuedWorkMovesOnCredit) {
  m_scheduler.setReplicas({replica("r")});
  m_scheduler.setPeerSpare("b", {2, 1}, m_clock.now());
  add(item("w"));
  EXPECT_TRUE(m_scheduler.nextCreditMoves(m_clock.now()).empty())
      << "a local slot is free";
  EXPECT_EQ(dispatch().size(), 1U);
  auto Relayed = item("x");
  Relayed.Relayed = true;
  add(Relayed);
  EXPECT_TRUE(m_scheduler.nextCreditMoves(m_clock.now()).empty());
  const auto Second = add(item("y"));
  add(item("z"));
  const auto Moves = m_scheduler.nextCreditMoves(m_clock.now());
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].Work, Second);
  EXPECT_EQ(Moves[0].Receiver, "b");
  EXPECT_EQ(m_scheduler.queued(), 2U);
}

// An expired report, or one of a lost peer, must not send items to an owner
// that may no longer exist.
TEST_F(FairSchedulerTest, OldCreditIsNotUsed) {
  m_scheduler.setPeerSpare("b", {2, 2}, m_clock.now());
  m_scheduler.setPeerSpare("c", {2, 2}, m_clock.now());
  add(item("w"));
  m_scheduler.dropPeer("b");
  m_clock.advance(1s);
  EXPECT_TRUE(m_scheduler.nextCreditMoves(m_clock.now()).empty());
  EXPECT_TRUE(m_scheduler.peersToNotify(m_clock.now()).empty());
}

// If the offers of a peer went to other requests, an unchanged backlog must be
// reported again; else it waits while the peer has free slots.
TEST_F(FairSchedulerTest, UnchangedBacklogIsReportedAgain) {
  add(item("w"));
  const auto First = m_scheduler.changesSince(0);
  ASSERT_EQ(First.Entries.size(), 1U);
  const auto Again = m_scheduler.changesSince(First.Cursor);
  EXPECT_EQ(Again.Entries, First.Entries);
}

// Without a minimum interval, a busy owner would send early counters for each
// request.
TEST_F(FairSchedulerTest, EarlyCountersKeepTheirInterval) {
  for (const auto *Peer : {"b", "c", "d", "e"})
    m_scheduler.setPeerSpare(Peer, {2, 0}, m_clock.now());
  EXPECT_TRUE(m_scheduler.peersToNotify(m_clock.now()).empty())
      << "nothing waits";
  add(item("w"));
  EXPECT_EQ(m_scheduler.peersToNotify(m_clock.now()).size(), 3U);
  EXPECT_TRUE(m_scheduler.peersToNotify(m_clock.now()).empty());
  m_clock.advance(100ms);
  EXPECT_EQ(m_scheduler.peersToNotify(m_clock.now()).size(), 1U);
  m_clock.advance(100ms);
  EXPECT_TRUE(m_scheduler.peersToNotify(m_clock.now()).empty())
      << "all have counters";
}

// After a partition, a workspace must not wait for hours until the others have
// caught up.
TEST_F(FairSchedulerTest, DebtAfterAPartitionIsBounded) {
  add(item("w"));
  add(item("x"));
  mergeRemoteBacklog("w", 1);
  mergeRemoteBacklog("w", 50'000'000);
  EXPECT_DOUBLE_EQ(m_scheduler.normalisedService("w") -
                       m_scheduler.normalisedService("x"),
                   SchedulerSettings{}.MaxDebt);
}

// Service of a peer before its first message is not charged.
TEST_F(FairSchedulerTest, HistoryOfANewPeerIsNotCharged) {
  mergeRemoteBacklog("w", 40'000);
  EXPECT_DOUBLE_EQ(m_scheduler.normalisedService("w"), 0.0);
  mergeRemoteBacklog("w", 40'100);
  EXPECT_DOUBLE_EQ(m_scheduler.normalisedService("w"), 100.0);
}

TEST_F(FairSchedulerTest, FreeSlotIsOfferedUsedAndGivenBack) {
  m_scheduler.setReplicas({replica("r")});
  mergeRemoteBacklog("w");
  const auto Offers = m_scheduler.nextOffers(m_clock.now());
  ASSERT_EQ(Offers.size(), 1U);
  EXPECT_EQ(Offers[0].Receiver, "b");
  EXPECT_EQ(Offers[0].Workspace, "w");
  add(item("local"));
  EXPECT_TRUE(dispatch().empty()) << "the slot is held";
  const auto Moved =
      m_scheduler.enqueueOffered(Offers[0].Id, item("w"), m_clock.now());
  ASSERT_TRUE(Moved);
  const auto Started = dispatch();
  ASSERT_EQ(Started.size(), 1U);
  EXPECT_EQ(Started[0].Work, *Moved);
}

// The offered slot can be lost while the item is in transit.
TEST_F(FairSchedulerTest, OfferedItemWithoutASlotExpires) {
  m_scheduler.setReplicas({replica("r")});
  mergeRemoteBacklog("w");
  const auto Offers = m_scheduler.nextOffers(m_clock.now());
  m_scheduler.setReplicas({});
  auto Item = item("w");
  Item.Deadline = m_clock.now() + 200ms;
  const auto Moved =
      m_scheduler.enqueueOffered(Offers.at(0).Id, Item, m_clock.now());
  EXPECT_TRUE(dispatch().empty());
  m_clock.advance(200ms);
  EXPECT_EQ(m_scheduler.expire(m_clock.now()), std::vector<WorkId>{*Moved});
}

// P4: an endpoint that turns cold under full load must be detected before its
// next first token.
TEST_F(FairSchedulerTest, UnresponsiveReplicaIsColdBeforeItsFirstToken) {
  m_scheduler.setReplicas({replica("r", 4)});
  for (int I = 0; I < 20; ++I)
    add(item("w"));
  complete(dispatch().at(0).Work, 100.0);
  EXPECT_EQ(m_scheduler.limit("r"), 2U);
  const auto Started = dispatch();
  m_clock.advance(1s);
  m_scheduler.cancel(Started.at(0).Work, m_clock.now());
  EXPECT_TRUE(dispatch().empty());
  EXPECT_EQ(m_scheduler.limit("r"), 1U);
}

// A peer that does not answer must not block slots repeatedly.
TEST_F(FairSchedulerTest, ExpiredOfferFreesTheSlotAndEndsOffers) {
  m_scheduler.setReplicas({replica("r")});
  mergeRemoteBacklog("w");
  const auto Offers = m_scheduler.nextOffers(m_clock.now());
  add(item("local"));
  m_clock.advance(300ms);
  EXPECT_EQ(dispatch().size(), 1U);
  EXPECT_FALSE(
      m_scheduler.enqueueOffered(Offers.at(0).Id, item("w"), m_clock.now()));
  EXPECT_TRUE(m_scheduler.nextOffers(m_clock.now()).empty());
}

// A workspace at another owner that is far behind precedes the local queue.
TEST_F(FairSchedulerTest, SlotGoesToTheWorkspaceThatIsBehind) {
  add(item("local"));
  mergeRemoteBacklog("w");
  m_scheduler.merge({{"b", 2, Model, "local", 0, 0}});
  m_scheduler.merge({{"b", 2, Model, "local", 5'000, 0}});
  m_scheduler.setReplicas({replica("r")});
  const auto Offers = m_scheduler.nextOffers(m_clock.now());
  ASSERT_EQ(Offers.size(), 1U);
  EXPECT_EQ(Offers[0].Workspace, "w");
  EXPECT_TRUE(dispatch().empty());
  m_scheduler.declineOffer(Offers[0].Id);
  EXPECT_TRUE(m_scheduler.nextOffers(m_clock.now()).empty());
  EXPECT_EQ(dispatch().size(), 1U);
}

// The queue of the workspace that an offer names may be empty by now.
TEST_F(FairSchedulerTest, OfferPopsAnotherWorkspaceIfItsQueueIsEmpty) {
  const auto Id = add(item("x"));
  const auto Popped = m_scheduler.popForOffer("w", m_clock.now());
  ASSERT_TRUE(Popped);
  EXPECT_EQ(Popped->Work, Id);
  EXPECT_FALSE(m_scheduler.popForOffer("w", m_clock.now()));
}

} // namespace
} // namespace nutmegdrift::policy
