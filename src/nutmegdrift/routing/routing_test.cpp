// Tests of route lookup, replica records, engine estimates and the dispatcher.
#include "nutmegdrift/routing/model_dispatcher.h"

#include <gtest/gtest.h>

#include <functional>

namespace nutmegdrift::routing {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

TEST(RoutingTable, PicksTheLongestPrefixOfTheHost) {
  const RoutingTable Table({.Version = 1,
                            .Routes = {{.Name = "short",
                                        .Host = "a.example",
                                        .PathPrefix = "/x/",
                                        .Shares = {{"s", 1}}},
                                       {.Name = "long",
                                        .Host = "a.example",
                                        .PathPrefix = "/x/y/",
                                        .Shares = {{"s", 1}}}}});
  EXPECT_EQ(Table.match("A.example:80", "/x/y/z?q=1")->Name, "long");
  EXPECT_EQ(Table.match("a.example", "/x/z")->Name, "short");
  EXPECT_EQ(Table.match("b.example", "/x/z"), nullptr);
  EXPECT_EQ(Table.match("a.example", "/x?/y/"), nullptr);
}

TEST(RoutingTable, SplitsByWeight) {
  const Route Split{.Shares = {{"a", 90}, {"b", 10}}};
  EXPECT_EQ(RoutingTable::pickService(Split, 0.899), "a");
  EXPECT_EQ(RoutingTable::pickService(Split, 0.901), "b");
}

ReplicaRecord record(const ReplicaId &Id, const std::string &Zone = "z") {
  return {.Id = Id,
          .Service = "s",
          .Address = {.Host = "127.0.0.1", .Port = 1},
          .Zone = Zone,
          .Slots = 4};
}

TEST(ReplicaTable, KeepsEntriesThatLapsedDuringAnOutage) {
  // During an outage of the store, entries of live replicas expire.
  ReplicaTable Table;
  Table.replaceAll({record("a"), record("b")}, Start, std::nullopt);
  Table.replaceAll({record("a")}, Start + 1s, Start + 3s);
  EXPECT_EQ(Table.usable("s").size(), 2U);
  Table.upsert(record("b"), Start + 2s);
  EXPECT_TRUE(Table.expire(Start + 10s).empty());
  Table.replaceAll({record("a")}, Start + 20s, Start + 22s);
  EXPECT_EQ(Table.expire(Start + 22s).size(), 1U);
  EXPECT_EQ(Table.usable("s").size(), 1U);
}

TEST(ReplicaLimits, ALimitStaysUntilAnswersComeWithoutIt) {
  ReplicaLimits Limits;
  Limits.observe("s", "r", 5.0, Start);
  // Sent before the replica was in need, received after.
  Limits.observe("s", "r", std::nullopt, Start + 200ms);
  EXPECT_EQ(Limits.find("r", Start + 300ms), 5.0);
  Limits.observe("s", "r", std::nullopt, Start + 1200ms);
  EXPECT_FALSE(Limits.limited("s", Start + 1300ms));
}

TEST(ReplicaLimits, ASilentReplicaKeepsItsLimitForAFewRequests) {
  ReplicaLimits Limits;
  Limits.observe("s", "fast", 5.0, Start);
  Limits.observe("s", "slow", 0.1, Start);
  EXPECT_EQ(Limits.find("fast", Start + 9s), 5.0);
  EXPECT_FALSE(Limits.find("fast", Start + 11s));
  EXPECT_EQ(Limits.find("slow", Start + 25s), 0.1);
  EXPECT_FALSE(Limits.find("slow", Start + 31s));
}

// A daemon reported an old limit again and again, so that it never ended.
TEST(ReplicaLimits, AReportedLimitKeepsItsAge) {
  ReplicaLimits First;
  ReplicaLimits Second;
  First.observe("s", "r", 5.0, Start);
  for (TimePoint Now = Start; Now < Start + 12s; Now += 500ms) {
    for (const NamedLimit &Limit : First.of("s", Now))
      Second.merge(Limit, Now);
    for (const NamedLimit &Limit : Second.of("s", Now))
      First.merge(Limit, Now);
  }
  EXPECT_FALSE(First.limited("s", Start + 12s));
  EXPECT_FALSE(Second.limited("s", Start + 12s));
}

// The copy from which a store was restored shows replicas as they were: ready
// ones that have begun to drain since, and some that have left.
TEST(ReplicaTable, ARestoredListDoesNotBringBackReplicasThatLeave) {
  ReplicaTable Table;
  const auto Record = [](const char *Id, bool Draining, std::int64_t Start) {
    return ReplicaRecord{
        .Id = Id, .Service = "s", .Draining = Draining, .StartMillis = Start};
  };
  const TimePoint Now{std::chrono::hours(1)};
  Table.replaceAll({Record("drains", true, 1), Record("leaves", false, 1),
                    Record("stays", false, 1)},
                   Now, std::nullopt);
  Table.remove("leaves", std::nullopt);
  Table.restoreAll({Record("drains", false, 1), Record("leaves", false, 1)},
                   Now, Now + ReplicaTable::LapseGrace);
  ASSERT_EQ(Table.usable("s").size(), 1U);
  EXPECT_EQ(Table.usable("s").at(0)->Record.Id, "stays");
  // Both have started again.
  Table.restoreAll({Record("drains", false, 2), Record("leaves", false, 2)},
                   Now, Now + ReplicaTable::LapseGrace);
  EXPECT_EQ(Table.usable("s").size(), 3U);
  Table.expire(Now + ReplicaTable::LapseGrace);
  EXPECT_FALSE(Table.find("stays"));
}

// A replica got requests again after it had said that it leaves, because a
// later record of the same start said that it was ready.
TEST(ReplicaTable, AStartThatLeavesIsNeverUsedAgain) {
  const auto Record = [](std::int64_t StartMillis, bool Draining = false) {
    ReplicaRecord Made = record("a");
    Made.StartMillis = StartMillis;
    Made.Draining = Draining;
    return Made;
  };
  using Step = std::function<void(ReplicaTable &)>;
  const Step Drains = [&](ReplicaTable &T) {
    T.upsert(Record(1, true), Start);
  };
  const Step Answers = [](ReplicaTable &T) { T.find("a")->Leaving = true; };
  const Step Goes = [](ReplicaTable &T) { T.remove("a", std::nullopt); };
  const Step Lapses = [](ReplicaTable &T) {
    T.remove("a", Start + 1s);
    T.expire(Start + 1s);
  };
  const Step Missing = [](ReplicaTable &T) {
    T.replaceAll({}, Start, std::nullopt);
  };
  const Step Changes = [&](ReplicaTable &T) {
    ReplicaRecord Warm = Record(1);
    Warm.ColdRemaining = 1s;
    T.upsert(Warm, Start);
  };
  const Step Listed = [&](ReplicaTable &T) {
    T.replaceAll({Record(1)}, Start, std::nullopt);
  };
  for (const Step &Leaves : {Drains, Answers})
    for (const Step &Then : {Changes, Goes, Lapses, Missing})
      for (const Step &Back : {Listed, Changes}) {
        ReplicaTable Table;
        Table.upsert(Record(1), Start);
        Leaves(Table);
        Then(Table);
        Back(Table);
        EXPECT_TRUE(Table.usable("s").empty());
        Table.upsert(Record(2), Start);
        EXPECT_EQ(Table.usable("s").size(), 1U);
      }
  // An entry that only lapsed may be renewed.
  ReplicaTable Table;
  Table.upsert(Record(1), Start);
  Lapses(Table);
  Listed(Table);
  EXPECT_EQ(Table.usable("s").size(), 1U);
}

TEST(ReplicaTable, LeavesOutDrainingReplicasAndEvacuatedZones) {
  ReplicaTable Table;
  ReplicaRecord DrainingRecord = record("a");
  DrainingRecord.Draining = true;
  Table.replaceAll({DrainingRecord, record("b", "out"), record("c")}, Start,
                   std::nullopt);
  Table.setEvacuated({"out"});
  const auto Usable = Table.usable("s");
  ASSERT_EQ(Usable.size(), 1U);
  EXPECT_EQ(Usable[0]->Record.Id, "c");
}

TEST(ReplicaHealth, EjectsAReplicaThatFailsMoreThanTheOthers) {
  ReplicaHealth Failing;
  TimePoint Now = Start;
  for (int I = 0; I < 12 && !Failing.ejected(Now); ++I)
    Failing.recordOutcome(
        I % 2 == 0 ? ReplicaOutcome::Failed : ReplicaOutcome::Served, 0.0, Now);
  EXPECT_TRUE(Failing.ejected(Now));
  Now += ReplicaHealth::MinEjection;
  EXPECT_TRUE(Failing.onProbation(Now));
  Failing.recordOutcome(ReplicaOutcome::Served, 0.0, Now);
  EXPECT_FALSE(Failing.onProbation(Now));
}

TEST(ReplicaHealth, KeepsAReplicaThatFailsLikeTheOthers) {
  // Some services fail a share of their requests in normal operation.
  ReplicaHealth Typical;
  for (int I = 0; I < 200; ++I)
    Typical.recordOutcome(I % 4 == 0 ? ReplicaOutcome::Failed
                                     : ReplicaOutcome::Served,
                          0.25, Start);
  EXPECT_FALSE(Typical.ejected(Start));
}

TEST(PickLeastUsed, PicksAnEjectedReplicaIfThereIsNoOther) {
  ReplicaTable Table;
  Table.replaceAll({record("a"), record("b")}, Start, std::nullopt);
  for (Replica *Candidate : Table.usable("s"))
    Candidate->Health.recordOutcome(ReplicaOutcome::Unreachable, 0.0, Start);
  EXPECT_NE(pickLeastUsed(Table.usable("s"), {}, Start, 1), nullptr);
  EXPECT_EQ(pickLeastUsed(Table.usable("s"), {.Tried = {"a", "b"}}, Start, 1),
            nullptr);
}

std::vector<PromptPart> prompt(std::uint64_t Shared, std::uint32_t Tokens,
                               std::uint64_t Own = 999) {
  return {{.Id = Shared, .Tokens = Tokens}, {.Id = Own, .Tokens = 100}};
}

TEST(ColdShare, DaemonsTogetherStayWithinAColdReplicasCapacity) {
  // Guards against an overload of cold replicas after a power loss, when each
  // daemon knows no other yet and sends a cold replica its full rate.
  for (const std::size_t Daemons : {1U, 8U, 81U, 370U}) {
    double Rate = coldShare(true, Daemons, 10s, 0);
    double BurstRequests = 2.0;
    for (std::uint64_t Daemon = 1; Daemon < Daemons; ++Daemon) {
      const double Share = coldShare(false, Daemons, 10s, Daemon);
      Rate += Share;
      BurstRequests += Share > 0.0 ? 1.0 : 0.0;
      EXPECT_EQ(coldShare(true, 1, 500ms, Daemon), 0.0);
    }
    // 14 requests per second, with an allowed overage of half of that and 5
    // requests.
    EXPECT_LE(14 * Rate + BurstRequests, 14 * 1.5 + 5) << Daemons;
  }
}

TEST(EngineEstimate, CountsCachedPartsAsRead) {
  EngineEstimate Engine({.Slots = 8, .KvTokens = 100000}, 50.0);
  const SharedPrefix Prefix(prompt(1, 5000));
  Engine.placed(1, Prefix, 5100, 10, Start);
  EXPECT_EQ(Engine.cachedTokens(Prefix), 5000U);
  EXPECT_EQ(Engine.backlog(Start), 102ms);
  Engine.placed(2, Prefix, 5100, 10, Start);
  EXPECT_EQ(Engine.backlog(Start), 104ms);
  EXPECT_EQ(Engine.backlog(Start + 100ms), 4ms);
}

TEST(EngineEstimate, EvictsTheLeastRecentlyUsedParts) {
  EngineEstimate Engine({.Slots = 8, .KvTokens = 10000}, 50.0);
  const SharedPrefix First(prompt(1, 4000));
  const SharedPrefix Second(prompt(2, 4000));
  Engine.placed(1, First, 4100, 10, Start);
  Engine.ended(1, Start + 1s);
  Engine.placed(2, Second, 4100, 10, Start + 1s);
  Engine.placed(3, SharedPrefix(prompt(3, 100)), 200, 10, Start + 1s);
  EXPECT_EQ(Engine.cachedTokens(First), 0U);
  EXPECT_EQ(Engine.cachedTokens(Second), 4000U);
}

TEST(EngineEstimate, LearnsASlowerRate) {
  EngineEstimate Engine({.Slots = 8, .KvTokens = 1000000}, 50.0);
  TimePoint Now = Start;
  for (RequestKey Key = 1; Key < 60; ++Key) {
    Engine.placed(Key, SharedPrefix(), 2000, 10, Now);
    Now += 200ms; // 10 tokens per millisecond.
    Engine.started(Key, Now);
    Engine.ended(Key, Now);
  }
  EXPECT_LT(Engine.tokensPerMs(), 25.0);
}

TEST(EngineEstimate, LateReportsDoNotLowerTheRate) {
  // Guards against refusals while engines are idle: a VM that got half of all
  // requests handled each event 100 ms late, and the engines seemed to read at
  // a tenth of their rate.
  EngineEstimate Engine({.Slots = 8, .KvTokens = 1000000}, 50.0);
  TimePoint Now = Start;
  for (RequestKey Key = 1; Key < 60; ++Key) {
    Engine.placed(Key, SharedPrefix(), 2000, 10, Now, 0, 200ms);
    EXPECT_EQ(Engine.overdue(Now + 200ms), 0ms);
    Now += 240ms; // Read in 40 ms.
    Engine.started(Key, Now);
    Engine.ended(Key, Now);
  }
  EXPECT_GT(Engine.tokensPerMs(), 40.0);
}

TEST(EngineEstimate, UsesTheTimeMeasuredByTheDaemon) {
  // The lag of the sending daemon varies from report to report.
  EngineEstimate Engine({.Slots = 8, .KvTokens = 1000000}, 50.0);
  TimePoint Now = Start;
  for (RequestKey Key = 1; Key < 60; ++Key) {
    Engine.placed(Key, SharedPrefix(), 2000, 10, Now, 0, 100ms);
    Now += 100ms + Key % 5 * 100ms;
    // Read in 40 ms; the first event takes 20 ms more.
    Engine.started(Key, Now, 60ms);
    Engine.ended(Key, Now);
  }
  EXPECT_NEAR(Engine.tokensPerMs(), 50.0, 10.0);
}

TEST(EngineEstimate, ContinuesReadingWhileAReportIsDelayed) {
  EngineEstimate Engine({.Slots = 8, .KvTokens = 1000000}, 50.0);
  Engine.placed(1, SharedPrefix(), 1000, 10, Start, 0, 200ms);
  Engine.placed(2, SharedPrefix(), 1000, 10, Start, 0, 200ms);
  EXPECT_EQ(Engine.backlog(Start + 10ms), 30ms);
  EXPECT_EQ(Engine.backlog(Start + 100ms), 0ms);
  // Without an expected delay the second prompt counts as unread until the
  // first report.
  EngineEstimate Prompt({.Slots = 8, .KvTokens = 1000000}, 50.0);
  Prompt.placed(1, SharedPrefix(), 1000, 10, Start);
  Prompt.placed(2, SharedPrefix(), 1000, 10, Start);
  EXPECT_EQ(Prompt.backlog(Start + 100ms), 20ms);
}

TEST(EngineEstimate, PromptsThatStartTogetherDoNotRaiseTheRate) {
  // Guards against an engine that gets all requests: a large prompt whose first
  // event arrived together with that of the following small one seemed to be
  // read in no time.
  EngineEstimate Engine({.Slots = 8, .KvTokens = 1000000}, 50.0);
  TimePoint Now = Start;
  for (RequestKey Key = 1; Key < 200; Key += 2) {
    Engine.placed(Key, SharedPrefix(), 5000, 10, Now);
    Engine.placed(Key + 1, SharedPrefix(), 100, 10, Now);
    Now += 122ms;
    Engine.started(Key + 1, Now);
    Engine.started(Key, Now);
    Engine.ended(Key, Now);
    Engine.ended(Key + 1, Now);
  }
  EXPECT_NEAR(Engine.tokensPerMs(), 50.0, 5.0);
}

TEST(EngineEstimate, ReportsAnOverduePrompt) {
  EngineEstimate Engine({.Slots = 8, .KvTokens = 100000}, 50.0);
  Engine.placed(1, SharedPrefix(), 1000, 10, Start);
  EXPECT_EQ(Engine.overdue(Start + 20ms), 0ms);
  EXPECT_GT(Engine.overdue(Start + 2s), 1500ms);
}

struct DispatcherFixture : ::testing::Test {
  void replicas(int Count) {
    std::vector<ReplicaRecord> Records;
    Records.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Records.push_back(record("r" + std::to_string(I)));
    Table.replaceAll(Records, Now, std::nullopt);
    refresh();
  }
  void refresh() {
    Dispatcher.setReplicas(
        Table.usable("s"),
        {.Name = "s",
         .ColdPerSecond = 14,
         .Engine = EngineTraits{.Slots = 16,
                                .KvTokens = 500000,
                                .FetchPerThousand = FetchPerThousand}});
  }
  ModelRequest request(const std::string &Workspace, std::uint64_t Shared = 1,
                       std::uint32_t SharedTokens = 1000,
                       std::uint32_t OwnTokens = 1000) {
    const RequestKey Key = ++LastKey;
    return {.Key = Key,
            .Workspace = Workspace,
            .Prompt = {{.Id = Shared, .Tokens = SharedTokens},
                       {.Id = 1000000 + Key, .Tokens = OwnTokens}},
            .PromptTokens = SharedTokens + OwnTokens,
            .OutputTokens = 100,
            .Arrived = Now,
            .FirstTokenTarget = 400ms,
            .FirstTokenDeadline = Now + 3s};
  }
  /// Starts and ends the placed requests after 60 ms.
  void serve(const std::vector<ModelDecision> &Decisions) {
    for (const ModelDecision &Decision : Decisions)
      if (!Decision.Destination.empty())
        Running.emplace_back(Decision.Key, Now + 60ms);
    std::erase_if(Running, [&](const auto &Entry) {
      if (Entry.second > Now)
        return false;
      Dispatcher.started(Entry.first, Now);
      Dispatcher.ended(Entry.first, ReplicaOutcome::Served, Now);
      return true;
    });
  }

  TimePoint Now = Start;
  Duration FetchPerThousand{0};
  ReplicaTable Table;
  ModelDispatcher Dispatcher{{}, 1};
  RequestKey LastKey = 0;
  std::vector<std::pair<RequestKey, TimePoint>> Running;
  std::set<RequestKey> SmallKeys;
};

TEST_F(DispatcherFixture, SendsTheSamePrefixToTheSameReplica) {
  replicas(6);
  std::set<ReplicaId> Destinations;
  for (int I = 0; I < 20; ++I) {
    EXPECT_FALSE(Dispatcher.offer(request("w", 7, 5000, 200), Now));
    const auto Decisions = Dispatcher.pump(Now);
    ASSERT_EQ(Decisions.size(), 1U);
    Destinations.insert(Decisions[0].Destination);
    serve(Decisions);
    Now += 200ms;
    serve({});
  }
  EXPECT_EQ(Destinations.size(), 1U);
}

TEST_F(DispatcherFixture, ComparesFewEnginesHoweverManyThereAre) {
  // Guards against a dispatcher that compares all engines for each request:
  // with 140 engines and 260 queued requests this took all of its processor
  // share.
  // Holders of the prefix, the preferred engine and eight free ones.
  constexpr std::uint64_t MaxCompared = 12;
  replicas(140);
  for (int Round = 0; Round < 20; ++Round) {
    for (std::uint64_t I = 0; I < 260; ++I)
      Dispatcher.offer(request("w" + std::to_string(I % 16), I % 90, 3000),
                       Now);
    serve(Dispatcher.pump(Now));
    Now += 50ms;
    serve({});
  }
  const DispatcherTotals &Totals = Dispatcher.totals();
  EXPECT_GT(Totals.Choices, 5000U);
  EXPECT_LE(Totals.EnginesCompared, Totals.Choices * MaxCompared);
}

TEST_F(DispatcherFixture, FetchesWhatAnotherEngineHasRead) {
  // Reading a shared part again takes ten times as long as fetching it, and is
  // charged.
  FetchPerThousand = 1ms;
  replicas(3);
  std::set<ReplicaId> Used;
  const auto PlaceElsewhere = [&]() -> ModelDecision {
    ModelRequest Next = request("w", 7, 6000, 100);
    Next.Tried = Used;
    Dispatcher.offer(std::move(Next), Now);
    const auto Decisions = Dispatcher.pump(Now);
    EXPECT_EQ(Decisions.size(), 1U);
    Used.insert(Decisions.at(0).Destination);
    return Decisions.at(0);
  };
  const ModelDecision First = PlaceElsewhere();
  // The parts have not been read yet, so they can't be fetched.
  EXPECT_TRUE(PlaceElsewhere().FetchFrom.empty());
  Now += 150ms;
  Dispatcher.started(First.Key, Now);
  EXPECT_EQ(PlaceElsewhere().FetchFrom, First.Destination);
  EXPECT_EQ(Dispatcher.totals().TokensFetched, 6000U);
  EXPECT_EQ(Dispatcher.totals().TokensReread, 6000U);
}

TEST_F(DispatcherFixture, GivesCanaryReplicasTheirShareOnly) {
  // Guards against a bad version that gets most requests, because an idle
  // canary replica has the lowest cost for each of them.
  replicas(6);
  Table.find("r0")->CanaryShare = CanaryShare;
  refresh();
  int Canary = 0;
  for (int I = 0; I < 400; ++I) {
    ModelRequest Next = request("w", 100 + static_cast<std::uint64_t>(I) % 40);
    Next.Repeated = I % 2 == 1;
    const bool Repeated = Next.Repeated;
    Dispatcher.offer(std::move(Next), Now);
    const auto Decisions = Dispatcher.pump(Now);
    ASSERT_EQ(Decisions.size(), 1U);
    ASSERT_FALSE(Decisions[0].Destination.empty());
    Canary += Decisions[0].Destination == "r0" ? 1 : 0;
    EXPECT_FALSE(Repeated && Decisions[0].Destination == "r0");
    serve(Decisions);
    Now += 20ms;
    serve({});
  }
  EXPECT_GE(Canary, 10);
  EXPECT_LE(Canary, 20);
}

TEST_F(DispatcherFixture, ANewDispatcherChoosesTheEnginesOfTheOldOne) {
  // Guards against a new dispatcher that knows no cached prefix and has all of
  // them read again on other engines.
  replicas(6);
  ModelDispatcher Other({}, 99);
  Other.setReplicas(
      Table.usable("s"),
      {.Name = "s", .Engine = EngineTraits{.Slots = 16, .KvTokens = 500000}});
  for (std::uint64_t Shared = 1; Shared <= 30; ++Shared) {
    Dispatcher.offer(request("w", Shared, 5000, 200), Now);
    const auto Decisions = Dispatcher.pump(Now);
    Other.offer(request("w", Shared, 5000, 200), Now);
    const auto OtherDecisions = Other.pump(Now);
    ASSERT_EQ(Decisions.size(), 1U);
    ASSERT_EQ(OtherDecisions.size(), 1U);
    EXPECT_EQ(Decisions[0].Destination, OtherDecisions[0].Destination);
    Now += 150ms;
    for (ModelDispatcher *Tested : {&Dispatcher, &Other}) {
      const RequestKey Key = Tested == &Other ? LastKey : LastKey - 1;
      Tested->started(Key, Now);
      Tested->ended(Key, ReplicaOutcome::Served, Now);
    }
    Now += 300ms;
  }
}

// Prompts that were already read were charged to the reading allowance of their
// engines and lowered the learned overhead, so a dispatcher that took over from
// another one placed nothing for seconds.
TEST_F(DispatcherFixture, ANewDispatcherPlacesAtOnceAfterTakingOver) {
  constexpr int PerEngine = 12;
  replicas(4);
  std::vector<RequestKey> Taken;
  for (int I = 0; I < 4 * PerEngine; ++I) {
    const ModelRequest Running = request("w", 1, 1000, 10000);
    Dispatcher.takeOver(Running, "r" + std::to_string(I % 4), true, Now);
    Taken.push_back(Running.Key);
  }
  EXPECT_EQ(Dispatcher.running(), Taken.size());
  Now += 10ms;
  for (const RequestKey Key : Taken)
    Dispatcher.ended(Key, ReplicaOutcome::Served, Now);
  EXPECT_EQ(Dispatcher.running(), 0U);
  EXPECT_EQ(Dispatcher.engine("r0")->overhead(),
            EngineEstimate::InitialOverhead);
  EXPECT_FALSE(Dispatcher.offer(request("w", 1, 1000, 5000), Now));
  EXPECT_EQ(Dispatcher.pump(Now).size(), 1U);
}

TEST_F(DispatcherFixture, PlacesNothingOnReplicasThatFailed) {
  replicas(2);
  Dispatcher.offer(request("w"), Now);
  const auto First = Dispatcher.pump(Now);
  ASSERT_EQ(First.size(), 1U);
  Dispatcher.ended(First[0].Key, ReplicaOutcome::Unreachable, Now);
  for (int I = 0; I < 3; ++I) {
    Dispatcher.offer(request("w"), Now);
    const auto Next = Dispatcher.pump(Now);
    ASSERT_EQ(Next.size(), 1U);
    EXPECT_NE(Next[0].Destination, First[0].Destination);
    Dispatcher.started(Next[0].Key, Now);
    Dispatcher.ended(Next[0].Key, ReplicaOutcome::Served, Now);
    Now += 100ms;
    Dispatcher.pump(Now);
  }
}

TEST_F(DispatcherFixture, RefusesWithARetryTimeIfThereAreNoReplicas) {
  const auto Refused = Dispatcher.offer(request("w"), Now);
  ASSERT_TRUE(Refused);
  EXPECT_TRUE(Refused->Destination.empty());
  EXPECT_GE(Refused->RetryAfter, DispatcherOptions{}.MinRetryAfter);
}

TEST_F(DispatcherFixture, AFloodingWorkspaceDoesNotStarveTheOthers) {
  // One workspace requests ten times the capacity of all engines, another
  // little.
  replicas(2);
  std::map<std::string, int> Placed;
  int OfferedSmall = 0;
  for (int Step = 0; Step < 400; ++Step) {
    std::vector<ModelDecision> Decisions;
    std::map<RequestKey, std::string> Owner;
    for (int I = 0; I < 4; ++I)
      Dispatcher.offer(request("flood", 100 + LastKey % 9), Now);
    if (Step % 5 == 0) {
      ++OfferedSmall;
      Dispatcher.offer(request("small", 50, 200, 300), Now);
      SmallKeys.insert(LastKey);
    }
    for (const ModelDecision &Decision : Dispatcher.pump(Now)) {
      Decisions.push_back(Decision);
      if (!Decision.Destination.empty())
        ++Placed[SmallKeys.contains(Decision.Key) ? "small" : "flood"];
    }
    serve(Decisions);
    Now += 10ms;
  }
  // The small workspace is far below its fair share, so nearly all of its
  // requests must be served.
  EXPECT_GE(Placed["small"], OfferedSmall * 9 / 10);
  EXPECT_GT(Placed["flood"], Placed["small"]);
}

// Guards against starvation of long prompts: a workspace whose prompts are too
// long to meet their target got less than half of its requests placed, because
// requests of others that could still meet theirs all went first.
TEST_F(DispatcherFixture, LatePromptsAreNotStarvedByThoseInTime) {
  replicas(2);
  int Offered = 0;
  int Placed = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    for (int I = 0; I < 4; ++I)
      Dispatcher.offer(request("flood", 100 + LastKey % 9), Now);
    if (Step % 100 == 0) {
      ++Offered;
      Dispatcher.offer(request("long", 50, 200, 25000), Now);
      SmallKeys.insert(LastKey);
    }
    const auto Decisions = Dispatcher.pump(Now);
    for (const ModelDecision &Decision : Decisions)
      if (!Decision.Destination.empty() && SmallKeys.contains(Decision.Key))
        ++Placed;
    serve(Decisions);
    Now += 10ms;
  }
  EXPECT_GE(Placed, Offered / 2);
}

// Under an overload of seconds, callers that came back after a refusal went
// first. Their target had passed, so all capacity went into late answers, and
// the requests that could still be served in time were refused and came back.
TEST_F(DispatcherFixture, ReturnedRequestsDoNotDisplaceThoseInTime) {
  constexpr int Replicas = 4;
  constexpr Duration Residence = 800ms;
  constexpr double SlotsPerSecond = Replicas * 16 / 0.8;
  constexpr double Overload = 1.5;
  constexpr Duration Length = 12s;
  replicas(Replicas);
  struct Caller {
    ModelRequest Request;
    TimePoint FirstArrival;
    bool Returned = false;
  };
  std::map<RequestKey, Caller> Callers;
  std::multimap<TimePoint, Caller> Returning;
  std::multimap<TimePoint, RequestKey> Ends;
  int InTime = 0;
  int Late = 0;
  const auto Decide = [&](const ModelDecision &Decision) {
    Caller Decided = Callers.at(Decision.Key);
    Callers.erase(Decision.Key);
    if (!Decision.Destination.empty()) {
      Dispatcher.started(Decision.Key, Now);
      Ends.emplace(Now + Residence, Decision.Key);
      const bool Met =
          Now <= Decided.FirstArrival + Decided.Request.FirstTokenTarget;
      (Met ? InTime : Late) += 1;
    } else if (!Decided.Returned) {
      Decided.Returned = true;
      Returning.emplace(Now + Decision.RetryAfter, std::move(Decided));
    }
  };
  const auto Offer = [&](Caller Next) {
    Next.Request.Key = ++LastKey;
    Next.Request.Arrived = Now;
    Next.Request.FirstTokenDeadline = Now + 3s;
    const ModelRequest Offered = Next.Request;
    Callers[Offered.Key] = std::move(Next);
    if (const auto Refusal = Dispatcher.offer(Offered, Now))
      Decide(*Refusal);
  };
  const TimePoint End = Now + Length;
  double Owed = 0.0;
  for (; Now < End; Now += 5ms) {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      Dispatcher.ended(Ends.begin()->second, ReplicaOutcome::Served, Now);
      Ends.erase(Ends.begin());
    }
    while (!Returning.empty() && Returning.begin()->first <= Now) {
      Caller Back = std::move(Returning.begin()->second);
      Returning.erase(Returning.begin());
      Offer(std::move(Back));
    }
    Owed += SlotsPerSecond * Overload * 0.005;
    while (Owed >= 1.0) {
      Offer({.Request = request("w", 1, 100, 100), .FirstArrival = Now});
      Owed -= 1.0;
    }
    for (const ModelDecision &Decision : Dispatcher.pump(Now))
      Decide(Decision);
  }
  const double Capacity = SlotsPerSecond * 12;
  EXPECT_GE(InTime, 0.85 * Capacity);
  // What is left is not wasted either.
  EXPECT_GE(InTime + Late, 0.95 * Capacity);
}

TEST_F(DispatcherFixture, AnInterruptedStreamResumesUnderOverload) {
  // Guards against refusing streams that another replica could resume, because
  // their callers arrived seconds ago: a quarter of the engines crash under
  // overload.
  replicas(1);
  for (int I = 0; I < 30; ++I)
    Dispatcher.offer(request("flood", 100 + LastKey, 0, 4000), Now);
  ModelRequest Interrupted = request("w", 1, 100, 500);
  Interrupted.Repeated = true;
  Interrupted.Arrived = Now - 1s;
  Interrupted.FirstTokenDeadline = Now + 2s;
  const RequestKey Key = Interrupted.Key;
  EXPECT_FALSE(Dispatcher.offer(std::move(Interrupted), Now));
  bool Placed = false;
  for (int Step = 0; Step < 150 && !Placed; ++Step) {
    Dispatcher.offer(request("w", 100 + LastKey, 0, 3000), Now);
    const auto Decisions = Dispatcher.pump(Now);
    for (const ModelDecision &Decision : Decisions)
      Placed = Placed || (Decision.Key == Key && !Decision.Destination.empty());
    serve(Decisions);
    Now += 10ms;
  }
  EXPECT_TRUE(Placed);
}

TEST_F(DispatcherFixture, AColdReplicaGetsNoMoreThanItsCapacity) {
  std::vector<ReplicaRecord> Records{record("r0")};
  Records[0].ColdRemaining = 5s;
  Table.replaceAll(Records, Now, std::nullopt);
  refresh();
  int Placed = 0;
  for (int Step = 0; Step < 100; ++Step) {
    Dispatcher.offer(request("w", 1, 10, 10), Now);
    const auto Decisions = Dispatcher.pump(Now);
    for (const ModelDecision &Decision : Decisions)
      Placed += Decision.Destination.empty() ? 0 : 1;
    serve(Decisions);
    Now += 10ms;
  }
  EXPECT_LE(Placed, 15);
  EXPECT_GT(Placed, 4);
}

TEST_F(DispatcherFixture, LeavesEnginesTimeForOutput) {
  // Prompts arrive faster than the engine may read them. Without the limit all
  // engine time is spent on reading, and long answers miss their deadlines.
  replicas(1);
  double ReadingMs = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    auto Next = request("w", LastKey, 0, 2000);
    Dispatcher.offer(std::move(Next), Now);
    const auto Decisions = Dispatcher.pump(Now);
    for (const ModelDecision &Decision : Decisions)
      if (!Decision.Destination.empty())
        ReadingMs += 2000 / Dispatcher.engine("r0")->tokensPerMs();
    serve(Decisions);
    Now += 10ms;
  }
  // The burst and one prompt may exceed the limit.
  EXPECT_LE(ReadingMs, 10000 * DispatcherOptions{}.ReadingDuty + 600);
}

TEST_F(DispatcherFixture, ABusyPreferredEngineDoesNotLeaveOthersIdle) {
  // Guards against refusals in a burst of requests with one prefix: if each one
  // waits for the engine that caches the prefix, most are refused.
  replicas(4);
  std::set<ReplicaId> Used;
  int Placed = 0;
  for (int Step = 0; Step < 40; ++Step) {
    if (Step < 12)
      for (int I = 0; I < 2; ++I)
        Dispatcher.offer(request("w" + std::to_string(Step % 4), 7, 2000, 1500),
                         Now);
    const auto Decisions = Dispatcher.pump(Now);
    for (const ModelDecision &Decision : Decisions)
      if (!Decision.Destination.empty()) {
        Used.insert(Decision.Destination);
        ++Placed;
      }
    serve(Decisions);
    Now += 10ms;
  }
  EXPECT_GT(Used.size(), 1U);
  EXPECT_GE(Placed, 22);
}

TEST_F(DispatcherFixture, ARestartedReplicaIsANewOne) {
  replicas(1);
  Dispatcher.offer(request("w", 7, 5000, 200), Now);
  Dispatcher.pump(Now);
  EXPECT_EQ(Dispatcher.engine("r0")->requests(), 1U);
  ReplicaRecord Restarted = record("r0");
  Restarted.StartMillis = 5;
  Table.upsert(Restarted, Now);
  refresh();
  EXPECT_EQ(Dispatcher.engine("r0")->requests(), 0U);
}

} // namespace
} // namespace nutmegdrift::routing
