// Tests the distribution of the configuration: under faults of the platform and
// the peers it reaches every daemon within 7 s, and no daemon returns to an
// older version.
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
constexpr Duration MaxSpreadTime = 7s;

/// Daemons that exchange messages through a queue in virtual time. A message
/// takes PeerDelay and is lost with the given probability.
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
    for (Duration Elapsed{0}; Elapsed < Time; Elapsed += Step) {
      m_clock.advance(Step);
      deliver();
      for (auto &Daemon : m_nodes) {
        Daemon->Controller->watchStep(0ms);
        Daemon->Controller->tick();
      }
      if (++m_steps % 10 == 0) // Peer heartbeats, every second.
        for (auto &Daemon : m_nodes)
          Daemon->offerAll(Daemon->Controller->version());
      checkVersions();
    }
  }

  /// Writes a configuration with this plan as its only one. Returns its
  /// version, or 0 if the write failed.
  std::uint64_t write(const std::string &Plan) {
    const auto Stored = capture([&] { return Store.get("config"); });
    const auto Expected = Stored ? Stored->Version : 0;
    const auto Written = capture([&] {
      return Store.put("config",
                       config::printFleetConfig({.Version = 0,
                                                 .Plans = {{Plan, 1, 1}},
                                                 .Workspaces = {},
                                                 .AccessRules = {},
                                                 .Zones = {},
                                                 .Versions = {}}),
                       Expected);
    });
    return Written ? *Written : 0;
  }

  [[nodiscard]] std::uint64_t lowest() const {
    auto Lowest = UINT64_MAX;
    for (const auto &Daemon : m_nodes)
      Lowest = std::min(Lowest, Daemon->Controller->version());
    return Lowest;
  }

  /// Time until every daemon holds Version, at most MaxSpreadTime plus one
  /// step.
  Duration timeToAll(std::uint64_t Version) {
    Duration Elapsed{0};
    while (lowest() < Version && Elapsed <= MaxSpreadTime) {
      run(Step);
      Elapsed += Step;
    }
    return Elapsed;
  }

  std::size_t watchers() const {
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto &Daemon) {
          return Daemon->Controller->watches();
        }));
  }

  ConfigController &controller(std::size_t I) {
    return *m_nodes[I]->Controller;
  }

  platform::MemoryObjectStore Store;
  bool VersionDecreased = false;
  std::size_t BodiesSent = 0;

private:
  struct Node final : ConfigPeers {
    Node(Fleet &Parent, std::size_t Index) : Parent(Parent), Index(Index) {}
    void offerAll(std::uint64_t Version) override {
      for (std::size_t I = 0; I < Parent.m_nodes.size(); ++I)
        if (I != Index)
          offer(nameOf(I), Version);
    }
    void offer(const DaemonName &To, std::uint64_t Version) override {
      Parent.post([From = nameOf(Index),
                   Version](ConfigController &C) { C.onOffer(From, Version); },
                  To);
    }
    void fetch(const DaemonName &To, std::uint64_t HeldVersion) override {
      Parent.post([From = nameOf(Index), HeldVersion](
                      ConfigController &C) { C.onFetch(From, HeldVersion); },
                  To);
    }
    void send(const DaemonName &To, const ConfigText &Body) override {
      ++Parent.BodiesSent;
      Parent.post([From = nameOf(Index),
                   Body](ConfigController &C) { C.onBody(From, Body); },
                  To);
    }

    Fleet &Parent;
    std::size_t Index;
    std::optional<ConfigController> Controller;
    std::uint64_t Highest = 0;
  };

  struct Pending {
    TimePoint Due;
    std::size_t To;
    std::function<void(ConfigController &)> Deliver;
  };

  static DaemonName nameOf(std::size_t I) { return std::to_string(I); }

  void post(std::function<void(ConfigController &)> Deliver,
            const DaemonName &To) {
    if (uniform(m_random) >= m_loss)
      m_queue.push_back(
          {m_clock.now() + PeerDelay, std::stoul(To), std::move(Deliver)});
  }

  void deliver() {
    while (!m_queue.empty() && m_queue.front().Due <= m_clock.now()) {
      const auto Item = std::move(m_queue.front());
      m_queue.pop_front();
      if (m_nodes[Item.To]->Controller)
        Item.Deliver(*m_nodes[Item.To]->Controller);
    }
  }

  void checkVersions() {
    for (auto &Daemon : m_nodes) {
      const auto Now = Daemon->Controller->version();
      VersionDecreased = VersionDecreased || Now < Daemon->Highest;
      Daemon->Highest = Now;
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

/// The 3,300 changes of a day in fast motion, one about every second instead of
/// every 26 s, under stale reads, watch gaps, outages and restarts.
void spreadUnderFaults(std::size_t Daemons, int Changes) {
  Fleet Simulation(Daemons, 3, 0.1);
  Random Rng(7);
  Duration Worst{0};
  for (int I = 0; I < Changes; ++I) {
    const auto Version = Simulation.write("p" + std::to_string(I));
    ASSERT_GT(Version, 0U);
    const auto Fault = Rng() % 8;
    Simulation.Store.setFaults({.Down = false, .StaleReads = Fault == 0});
    if (Fault == 1)
      Simulation.restart(Rng() % Daemons);
    Worst = std::max(Worst, Simulation.timeToAll(Version));
    if (Fault == 2) { // An outage after the change has reached all daemons.
      Simulation.Store.setFaults({.Down = true});
      Simulation.run(4s);
    }
    Simulation.Store.setFaults({});
    Simulation.run(Rng() % 2 == 0 ? 100ms : 600ms);
  }
  EXPECT_LE(Worst, MaxSpreadTime);
  EXPECT_FALSE(Simulation.VersionDecreased);
  std::cout << "[figure] daemons=" << Daemons << " changes=" << Changes
            << " worst_ms=" << Worst / 1ms << "\n";
}

TEST(ConfigSpread, EightDaemonsUnderFaults) { spreadUnderFaults(8, 3300); }
TEST(ConfigSpread, FortyDaemonsUnderFaults) { spreadUnderFaults(40, 330); }

// Watches by all daemons would exceed the platform's call budget.
TEST(ConfigSpread, TwoWatchersPerZone) {
  Fleet Simulation(40, 3, 0);
  Simulation.write("p");
  Simulation.run(5s);
  EXPECT_EQ(Simulation.watchers(), 3 * ConfigController::WatchersPerZone);
  const auto Before = Simulation.BodiesSent;
  const auto Version = Simulation.write("q");
  EXPECT_LE(Simulation.timeToAll(Version), 1s);
  EXPECT_LE(Simulation.BodiesSent - Before, 40U);
}

TEST(ConfigSpread, StartsFromPeersWhilePlatformIsDown) {
  Fleet Simulation(8, 3, 0);
  const auto Version = Simulation.write("p");
  EXPECT_LE(Simulation.timeToAll(Version), MaxSpreadTime);
  Simulation.Store.setFaults({.Down = true});
  Simulation.restart(3);
  EXPECT_EQ(Simulation.controller(3).current(), nullptr);
  EXPECT_LE(Simulation.timeToAll(Version), 2s);
  EXPECT_EQ(Simulation.controller(3).current()->Plans[0].Name, "p");
}

// The watch has to list the objects, as the store's history is shorter than the
// gap.
TEST(ConfigSpread, RecoversFromWatchGapWithStaleList) {
  Fleet Simulation(8, 3, 0);
  EXPECT_LE(Simulation.timeToAll(Simulation.write("p")), MaxSpreadTime);
  for (std::size_t I = 0; I < platform::MemoryObjectStore::HistorySize + 10;
       ++I)
    Simulation.write("p" + std::to_string(I));
  const auto Version = Simulation.write("last");
  Simulation.Store.setFaults({.StaleReads = true});
  Simulation.run(1s); // The list after the gap misses the last change.
  Simulation.Store.setFaults({});
  EXPECT_LE(Simulation.timeToAll(Version), MaxSpreadTime);
  EXPECT_FALSE(Simulation.VersionDecreased);
}

// Of two updates of the same version one succeeds, and all daemons apply it.
TEST(ConfigSpread, RacingOperatorsAndLostAnswers) {
  Fleet Simulation(8, 3, 0);
  EXPECT_LE(Simulation.timeToAll(Simulation.write("p")), MaxSpreadTime);
  const auto First =
      Simulation.Store.put("config", "{\"plans\":[{\"name\":\"a\"}]}", 1);
  ASSERT_TRUE(First);
  EXPECT_EQ(
      errorOf([&] { return Simulation.Store.put("config", "{}", 1); })->Kind,
      ErrorKind::Conflict);
  Simulation.Store.setFaults({.LoseWriteAnswer = true});
  EXPECT_EQ(Simulation.write("b"), 0U);
  Simulation.Store.setFaults({});
  EXPECT_LE(Simulation.timeToAll(3), MaxSpreadTime);
  EXPECT_EQ(Simulation.controller(0).current()->Plans[0].Name, "b");
}

// A malformed document must neither replace the configuration nor be sent on.
TEST(ConfigController, KeepsConfigurationOnMalformedText) {
  Fleet Simulation(2, 1, 0);
  EXPECT_LE(Simulation.timeToAll(Simulation.write("p")), MaxSpreadTime);
  auto &Controller = Simulation.controller(0);
  ASSERT_TRUE(Simulation.Store.put("config", "{broken", 1));
  Controller.onBody("1", {9, "also broken"});
  Controller.onBody("1", {0, "{}"});
  Simulation.run(2s);
  EXPECT_EQ(Controller.version(), 1U);
  EXPECT_LE(Simulation.timeToAll(Simulation.write("q")), MaxSpreadTime);
}

TEST(ConfigController, ThreadsFollowThePlatform) {
  Fleet Simulation(1, 1, 0);
  auto &Controller = Simulation.controller(0);
  std::atomic<std::uint64_t> AppliedVersion{0};
  Controller.onApplied(
      [&](const auto &Next) { AppliedVersion = Next->Version; });
  Controller.start();
  Simulation.write("p");
  Simulation.write("q");
  for (int I = 0; I < 200 && AppliedVersion < 2; ++I)
    std::this_thread::sleep_for(10ms);
  EXPECT_EQ(AppliedVersion, 2U);
  Simulation.Store.setFaults({.Down = true}); // Ends the waiting watch.
  Controller.stop();
}

} // namespace
} // namespace nutmegdrift::control
