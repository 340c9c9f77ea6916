// Tests of the placement of model requests over several daemons, with their
// real messages on loopback.
#include "nutmegdrift/gateway/placement.h"

#include "support/child_process.h"

#include <gtest/gtest.h>

namespace nutmegdrift::gateway {
namespace {

using namespace std::chrono_literals;
using routing::ModelDecision;
using routing::ReplicaOutcome;
using routing::RequestKey;

constexpr const char *ServiceName = "s";
constexpr unsigned SlotsPerReplica = 4;
constexpr int ReplicaCount = 4;
constexpr int AllSlots = ReplicaCount * static_cast<int>(SlotsPerReplica);

/// One daemon's placement. Its view of the candidates can be replaced.
struct Node {
  Node(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
       const DaemonName &Name, std::map<DaemonName, HostPort> &Addresses,
       std::vector<DispatcherCandidate> &Candidates,
       std::set<DaemonName> &LostDaemons)
      : Tested({.Loop = Loop,
                .Clk = Clk,
                .Log = Log,
                .Self = Name,
                .Internal = Addresses.at(Name),
                .Candidates = [&Candidates] { return Candidates; },
                .AddressOf = [&Addresses](const DaemonName &Daemon)
                    -> std::optional<HostPort> { return Addresses.at(Daemon); },
                .IsLost =
                    [&LostDaemons](const DaemonName &Daemon) {
                      return LostDaemons.contains(Daemon);
                    }}) {
    Tested.setOptions({});
    EXPECT_TRUE(Tested.start());
  }

  Placement Tested;
};

struct PlacementFixture : ::testing::Test {
  PlacementFixture() {
    for (const char *Name : {"a", "b", "c"})
      Addresses[Name] = {.Host = "127.0.0.1",
                         .Port = nutmegdrift::testing::freePort()};
    dispatchBy("a");
    for (const char *Name : {"a", "b", "c"})
      start(Name);
  }
  /// From now on all daemons take Name for the dispatcher.
  void dispatchBy(const DaemonName &Name) { Candidates = {{.Name = Name}}; }
  void start(const DaemonName &Name) {
    Nodes[Name] = std::make_unique<Node>(Loop, Clk, Log, Name, Addresses,
                                         Candidates, LostDaemons);
    std::vector<routing::ReplicaRecord> Records;
    Records.reserve(ReplicaCount);
    for (int I = 0; I < ReplicaCount; ++I)
      Records.push_back({.Id = "r" + std::to_string(I),
                         .Service = ServiceName,
                         .Slots = SlotsPerReplica});
    Table.replaceAll(Records, Clk.now(), std::nullopt);
    Nodes[Name]->Tested.setReplicas(
        {.Name = ServiceName,
         .Engine = routing::EngineTraits{.Slots = SlotsPerReplica,
                                         .KvTokens = 1000000}},
        Table.usable(ServiceName));
  }
  Placement &at(const DaemonName &Name) { return Nodes.at(Name)->Tested; }

  /// Requests a replica at the daemon and waits for the decision.
  ModelDecision place(const DaemonName &Daemon, std::uint32_t Tokens = 2000) {
    std::optional<ModelDecision> Decided;
    const TimePoint Now = Clk.now();
    const RequestKey Key = at(Daemon).place(
        ServiceName,
        {.Workspace = "w",
         .Prompt = {{.Id = ++LastPart, .Tokens = Tokens}},
         .PromptTokens = Tokens,
         .OutputTokens = 100,
         .Arrived = Now,
         .FirstTokenTarget = 400ms,
         .FirstTokenDeadline = Now + 2s},
        [&Decided](const ModelDecision &Decision) { Decided = Decision; });
    runUntil([&] { return Decided.has_value(); });
    if (!Decided)
      return {.Key = Key};
    Decided->Key = Key;
    return *Decided;
  }
  /// Places requests and starts them; returns their keys.
  std::vector<RequestKey> run(const DaemonName &Daemon, int Count) {
    std::vector<RequestKey> Keys;
    for (int I = 0; I < Count; ++I) {
      const ModelDecision Decision = place(Daemon);
      EXPECT_FALSE(Decision.Destination.empty()) << "request " << I;
      at(Daemon).started(Decision.Key, 20ms);
      Keys.push_back(Decision.Key);
    }
    return Keys;
  }
  void end(const DaemonName &Daemon, const std::vector<RequestKey> &Keys) {
    for (const RequestKey Key : Keys)
      at(Daemon).ended(Key, ReplicaOutcome::Served);
  }
  void runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(5)) {
    const TimePoint End = Clk.now() + Limit;
    while (!Condition() && Clk.now() < End)
      Loop.run_one_for(10ms);
  }
  void runFor(Duration Time) {
    runUntil([] { return false; }, Time);
  }

  net::EventLoop Loop{1};
  SystemClock Clk;
  std::vector<std::string> Lines;
  DecisionLog Log{Clk,
                  "test",
                  {.RequestLines = 1e6, .StateLines = 1e6, .FaultLines = 1e6},
                  [this](std::string_view Line) {
                    Lines.emplace_back(Line);
                    return true;
                  }};
  std::map<DaemonName, HostPort> Addresses;
  std::vector<DispatcherCandidate> Candidates;
  std::set<DaemonName> LostDaemons;
  routing::ReplicaTable Table;
  std::map<DaemonName, std::unique_ptr<Node>> Nodes;
  std::uint64_t LastPart = 0;
};

// Requests that ended while another daemon dispatched stayed counted at the old
// dispatcher, and when the role returned it refused nearly everything, because
// all slots seemed to be taken.
TEST_F(PlacementFixture, ARequestThatEndsAfterARoleChangeFreesItsSlot) {
  runFor(200ms);
  const auto Keys = run("c", AllSlots);
  ASSERT_EQ(at("a").running(ServiceName), Keys.size());
  dispatchBy("b");
  runFor(300ms);
  EXPECT_EQ(at("b").running(ServiceName), Keys.size());
  end("c", Keys);
  runUntil([&] { return at("b").running(ServiceName) == 0; });
  EXPECT_EQ(at("b").running(ServiceName), 0U);
  dispatchBy("a");
  runFor(300ms);
  EXPECT_EQ(at("a").running(ServiceName), 0U);
  EXPECT_FALSE(place("c").Destination.empty());
}

// A dispatcher that took the role again did not know the requests that were
// placed meanwhile, and placed more than the engines have slots for.
TEST_F(PlacementFixture, ARoleThatReturnsBringsTheRequestsPlacedMeanwhile) {
  runFor(200ms);
  end("c", run("c", 2));
  dispatchBy("b");
  runFor(300ms);
  const auto Keys = run("c", AllSlots);
  ASSERT_EQ(at("b").running(ServiceName), Keys.size());
  dispatchBy("a");
  runFor(300ms);
  EXPECT_EQ(at("a").running(ServiceName), Keys.size());
  EXPECT_EQ(at("b").running(ServiceName), 0U);
  end("c", Keys);
  runFor(100ms);
  EXPECT_EQ(at("a").running(ServiceName), 0U);
}

// While the dispatcher was killed, every daemon placed on its own with a small
// share of each engine, until the heartbeats of the dispatcher were missed.
TEST_F(PlacementFixture, TheNextCandidateDispatchesWhenTheFirstIsLost) {
  Candidates = {{.Name = "a"}, {.Name = "b"}};
  const DaemonName First = chooseDispatcher(ServiceName, Candidates);
  const DaemonName Next = First == "a" ? "b" : "a";
  runFor(200ms);
  const auto Keys = run("c", AllSlots / 2);
  EXPECT_EQ(at(First).running(ServiceName), Keys.size());
  Nodes.erase(First);
  runUntil([&] { return at(Next).running(ServiceName) == Keys.size(); }, 1s);
  EXPECT_EQ(at(Next).running(ServiceName), Keys.size());
  const auto More = run("c", AllSlots / 2);
  EXPECT_EQ(at(Next).running(ServiceName), Keys.size() + More.size());
  // The first one restarts and takes over again.
  start(First);
  runUntil([&] { return at(First).running(ServiceName) > 0; }, 2s);
  EXPECT_EQ(at(First).running(ServiceName), Keys.size() + More.size());
  EXPECT_EQ(at(Next).running(ServiceName), 0U);
}

// A daemon that died without closing its connection kept the slots of its
// requests at the dispatcher.
TEST_F(PlacementFixture, ALostDaemonsRequestsFreeTheirSlots) {
  runFor(200ms);
  const auto Keys = run("c", AllSlots);
  ASSERT_EQ(at("a").running(ServiceName), Keys.size());
  LostDaemons.insert("c");
  runUntil([&] { return at("a").running(ServiceName) == 0; },
           Placement::LostClientSilence * 2);
  EXPECT_EQ(at("a").running(ServiceName), 0U);
}

// On a link that loses datagrams, heartbeats are missed of daemons that are
// alive. What they run must stay counted while their connection shows it.
TEST_F(PlacementFixture, MissedHeartbeatsAloneEndNoRequests) {
  runFor(200ms);
  const auto Keys = run("c", AllSlots / 2);
  LostDaemons.insert("c");
  for (const RequestKey Key : Keys) {
    runFor(Placement::LostClientSilence / 4);
    at("c").ended(Key, ReplicaOutcome::Served);
  }
  runFor(100ms);
  EXPECT_EQ(at("a").running(ServiceName), 0U);
  EXPECT_EQ(std::count_if(Lines.begin(), Lines.end(),
                          [](const std::string &Line) {
                            return Line.find("client_lost") !=
                                   std::string::npos;
                          }),
            0);
}

} // namespace
} // namespace nutmegdrift::gateway
