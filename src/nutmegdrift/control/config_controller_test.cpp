// Guards the spread of the configuration: it reaches every daemon within 7 s,
// and no daemon steps back, whatever the platform and the peers answer.
#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/config_controller.h"
#include "nutmegdrift/platform/memory_object_store.h"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <optional>

namespace nutmegdrift::control {
namespace {

using namespace std::chrono_literals;

constexpr auto Step = 100ms;
constexpr auto PeerDelay = 5ms;
constexpr Duration Bound = 7s;

/// Daemons that exchange messages through a queue in virtual time. Each hop
/// takes PeerDelay, and messages are lost with the given probability.
class Fleet {
public:
  Fleet(std::size_t Daemons, std::size_t Zones, double Loss)
      : m_zones(Zones), m_loss(Loss) {
    for (std::size_t I = 0; I < Daemons; ++I)
      m_nodes.push_back(std::make_unique<Node>(*this, I));
    for (std::size_t I = 0; I < Daemons; ++I)
      restart(I);
  }

  void restart(std::size_t Index) {
    m_nodes[Index]->Controller.emplace(m_clock, m_log, Store, *m_nodes[Index],
                                       nameOf(Index));
    m_nodes[Index]->Highest = 0;
    std::vector<DaemonName> Members;
    for (auto I = Index % m_zones; I < m_nodes.size(); I += m_zones)
      Members.push_back(nameOf(I));
    m_nodes[Index]->Controller->setZoneMembers(Members);
  }

  void run(Duration Time) {
    for (Duration Spent{0}; Spent < Time; Spent += Step) {
      m_clock.advance(Step);
      deliver();
      for (auto &Each : m_nodes) {
        Each->Controller->watchStep(0ms);
        Each->Controller->tick();
      }
      if (++m_steps % 10 == 0) // Beat messages, every second.
        for (auto &Each : m_nodes)
          Each->offerAll(Each->Controller->version());
      checkOrder();
    }
  }

  /// Writes a configuration whose only plan is named; returns its version.
  std::uint64_t write(const std::string &Plan) {
    const auto Stored = capture([&] { return Store.get("config"); });
    const auto Expected = Stored ? Stored->Version : 0;
    const auto Done = capture([&] {
      return Store.put("config",
                       config::printFleetConfig({.Version = 0,
                                                 .Plans = {{Plan, 1, 1}},
                                                 .Workspaces = {},
                                                 .AccessRules = {},
                                                 .Zones = {},
                                                 .Versions = {}}),
                       Expected);
    });
    return Done ? *Done : 0;
  }

  [[nodiscard]] std::uint64_t lowest() const {
    auto Out = UINT64_MAX;
    for (const auto &Each : m_nodes)
      Out = std::min(Out, Each->Controller->version());
    return Out;
  }

  /// Time until every daemon holds Version, at most Bound plus one step.
  Duration timeToAll(std::uint64_t Version) {
    Duration Spent{0};
    while (lowest() < Version && Spent <= Bound) {
      run(Step);
      Spent += Step;
    }
    return Spent;
  }

  std::size_t watchers() const {
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto &Each) {
          return Each->Controller->watches();
        }));
  }

  ConfigController &controller(std::size_t I) {
    return *m_nodes[I]->Controller;
  }

  platform::MemoryObjectStore Store;
  bool StepBack = false;
  std::size_t Bodies = 0;

private:
  struct Node final : ConfigPeers {
    Node(Fleet &Owner, std::size_t Index) : Owner(Owner), Index(Index) {}
    void offerAll(std::uint64_t Version) override {
      for (std::size_t I = 0; I < Owner.m_nodes.size(); ++I)
        if (I != Index)
          offer(nameOf(I), Version);
    }
    void offer(const DaemonName &To, std::uint64_t Version) override {
      Owner.post([From = nameOf(Index),
                  Version](ConfigController &C) { C.onOffer(From, Version); },
                 To);
    }
    void fetch(const DaemonName &To, std::uint64_t HeldVersion) override {
      Owner.post([From = nameOf(Index), HeldVersion](
                     ConfigController &C) { C.onFetch(From, HeldVersion); },
                 To);
    }
    void send(const DaemonName &To, const ConfigText &Body) override {
      ++Owner.Bodies;
      Owner.post([From = nameOf(Index),
                  Body](ConfigController &C) { C.onBody(From, Body); },
                 To);
    }

    Fleet &Owner;
    std::size_t Index;
    std::optional<ConfigController> Controller;
    std::uint64_t Highest = 0;
  };

  struct Pending {
    TimePoint Due;
    std::size_t To;
    std::function<void(ConfigController &)> Run;
  };

  static DaemonName nameOf(std::size_t I) { return std::to_string(I); }

  void post(std::function<void(ConfigController &)> Run, const DaemonName &To) {
    if (uniform(m_random) >= m_loss)
      m_queue.push_back(
          {m_clock.now() + PeerDelay, std::stoul(To), std::move(Run)});
  }

  void deliver() {
    while (!m_queue.empty() && m_queue.front().Due <= m_clock.now()) {
      const auto Item = std::move(m_queue.front());
      m_queue.pop_front();
      if (m_nodes[Item.To]->Controller)
        Item.Run(*m_nodes[Item.To]->Controller);
    }
  }

  void checkOrder() {
    for (auto &Each : m_nodes) {
      const auto Now = Each->Controller->version();
      StepBack = StepBack || Now < Each->Highest;
      Each->Highest = Now;
    }
  }

  ManualClock m_clock;
  EventLog m_log{m_clock, "test", false};
  Random m_random{20261204};
  const std::size_t m_zones;
  const double m_loss;
  std::size_t m_steps = 0;
  std::deque<Pending> m_queue;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

/// Rate of 3,300 changes a day, compressed: a change every second or so instead
/// of every 26 s, under stale reads, watch gaps, outages and restarts.
void spreadUnderFaults(std::size_t Daemons, int Changes) {
  Fleet All(Daemons, 3, 0.1);
  Random Rng(7);
  Duration Worst{0};
  for (int I = 0; I < Changes; ++I) {
    const auto Version = All.write("p" + std::to_string(I));
    ASSERT_GT(Version, 0U);
    const auto Fault = Rng() % 8;
    All.Store.setFaults({.Down = false, .StaleReads = Fault == 0});
    if (Fault == 1)
      All.restart(Rng() % Daemons);
    Worst = std::max(Worst, All.timeToAll(Version));
    if (Fault == 2) { // The accepted configuration has spread; then an outage.
      All.Store.setFaults({.Down = true});
      All.run(4s);
    }
    All.Store.setFaults({});
    All.run(Rng() % 2 == 0 ? 100ms : 600ms);
  }
  EXPECT_LE(Worst, Bound);
  EXPECT_FALSE(All.StepBack);
  std::cout << "[figure] daemons=" << Daemons << " changes=" << Changes
            << " worst_ms=" << Worst / 1ms << "\n";
}

TEST(ConfigSpread, EightDaemonsUnderFaults) { spreadUnderFaults(8, 3300); }
TEST(ConfigSpread, FortyDaemonsUnderFaults) { spreadUnderFaults(40, 330); }

// All daemons watching would exceed the platform's call budget.
TEST(ConfigSpread, TwoWatchersPerZone) {
  Fleet All(40, 3, 0);
  All.write("p");
  All.run(5s);
  EXPECT_EQ(All.watchers(), 3 * ConfigController::WatchersPerZone);
  const auto Before = All.Bodies;
  const auto Version = All.write("q");
  EXPECT_LE(All.timeToAll(Version), 1s);
  EXPECT_LE(All.Bodies - Before, 40U);
}

TEST(ConfigSpread, StartsFromPeersWhilePlatformIsDown) {
  Fleet All(8, 3, 0);
  const auto Version = All.write("p");
  EXPECT_LE(All.timeToAll(Version), Bound);
  All.Store.setFaults({.Down = true});
  All.restart(3);
  EXPECT_EQ(All.controller(3).current(), nullptr);
  EXPECT_LE(All.timeToAll(Version), 2s);
  EXPECT_EQ(All.controller(3).current()->Plans[0].Name, "p");
}

// The history of the store is shorter than the gap: the watch has to list.
TEST(ConfigSpread, RecoversFromWatchGapWithStaleList) {
  Fleet All(8, 3, 0);
  EXPECT_LE(All.timeToAll(All.write("p")), Bound);
  for (std::size_t I = 0; I < platform::MemoryObjectStore::HistorySize + 10;
       ++I)
    All.write("p" + std::to_string(I));
  const auto Version = All.write("last");
  All.Store.setFaults({.StaleReads = true});
  All.run(1s); // The list after the gap misses the last change.
  All.Store.setFaults({});
  EXPECT_LE(All.timeToAll(Version), Bound);
  EXPECT_FALSE(All.StepBack);
}

// Two operators update against the same version: one wins, all agree.
TEST(ConfigSpread, RacingOperatorsAndLostAnswers) {
  Fleet All(8, 3, 0);
  EXPECT_LE(All.timeToAll(All.write("p")), Bound);
  const auto First =
      All.Store.put("config", "{\"plans\":[{\"name\":\"a\"}]}", 1);
  ASSERT_TRUE(First);
  EXPECT_EQ(errorOf([&] { return All.Store.put("config", "{}", 1); })->Kind,
            ErrorKind::Conflict);
  All.Store.setFaults({.LoseWriteAnswer = true});
  EXPECT_EQ(All.write("b"), 0U);
  All.Store.setFaults({});
  EXPECT_LE(All.timeToAll(3), Bound);
  EXPECT_EQ(All.controller(0).current()->Plans[0].Name, "b");
}

// A malformed document must neither replace the configuration nor spread.
TEST(ConfigController, KeepsConfigurationOnMalformedText) {
  Fleet All(2, 1, 0);
  EXPECT_LE(All.timeToAll(All.write("p")), Bound);
  auto &One = All.controller(0);
  ASSERT_TRUE(All.Store.put("config", "{broken", 1));
  One.onBody("1", {9, "also broken"});
  One.onBody("1", {0, "{}"});
  All.run(2s);
  EXPECT_EQ(One.version(), 1U);
  EXPECT_LE(All.timeToAll(All.write("q")), Bound);
}

TEST(ConfigController, ThreadsFollowThePlatform) {
  Fleet All(1, 1, 0);
  auto &One = All.controller(0);
  std::atomic<std::uint64_t> Seen{0};
  One.onApplied([&](const auto &Next) { Seen = Next->Version; });
  One.start();
  All.write("p");
  All.write("q");
  for (int I = 0; I < 200 && Seen < 2; ++I)
    std::this_thread::sleep_for(10ms);
  EXPECT_EQ(Seen, 2U);
  All.Store.setFaults({.Down = true}); // Ends the waiting watch.
  One.stop();
}

} // namespace
} // namespace nutmegdrift::control
