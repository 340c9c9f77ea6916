// Tests of the rollout controller with an in-memory store and simulated engines
// in virtual time.
#include "nutmegdrift/control/rollout_controller.h"
#include "nutmegdrift/platform/memory_object_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace nutmegdrift::control {
namespace {

using policy::RolloutPhase;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration Tick = milliseconds(200);
constexpr std::size_t ReplicaCount = 8;

struct SentOrder {
  TimePoint Time;
  config::ReplicaId Engine;
  std::string Version;
  std::uint64_t Fence;
};

/// Engines that execute an order Delay after it was sent. Those that check
/// fencing numbers reject orders with an old number on arrival.
class SimulatedFleet final : public EngineFleet {
public:
  SimulatedFleet(const Clock &Clk, bool Checks) : m_clock(Clk) {
    for (std::size_t I = 0; I < ReplicaCount; ++I)
      Engines["e" + std::to_string(I)] = {.Version = "v1", .Checks = Checks};
  }

  struct Engine {
    std::string Version;
    bool Checks = true;
    std::uint64_t Fence = 0;
  };

  std::vector<config::Replica> replicas(const std::string &) override {
    std::vector<config::Replica> Out;
    for (const auto &[Id, E] : Engines) {
      config::Replica R;
      R.Id = Id;
      R.ChecksFencing = E.Checks;
      Out.push_back(R);
    }
    return Out;
  }

  Result<void> orderLoad(const config::ReplicaId &Id,
                         const std::string &Version,
                         std::uint64_t Fence) override {
    auto &E = Engines.at(Id);
    if (E.Checks && Fence < E.Fence)
      return fail(ErrorKind::Conflict, "old fencing number");
    E.Fence = std::max(E.Fence, Fence);
    Orders.push_back({m_clock.now(), Id, Version, Fence});
    m_inFlight.push_back({m_clock.now() + Delay, Id, Version, Fence});
    return {};
  }

  Result<std::string> readVersion(const config::ReplicaId &Id) override {
    return Engines.at(Id).Version;
  }

  std::vector<policy::VersionSample>
  collectSamples(const std::string &) override {
    std::vector<policy::VersionSample> Out;
    for (const bool Fresh : {false, true})
      if (!Fresh || Share > 0)
        Out.push_back({.Route = "plan",
                       .FromNewVersion = Fresh,
                       .Failed = Fresh && Bad,
                       .FirstToken = milliseconds(100),
                       .TokenGap = milliseconds(10),
                       .CompletedAt = m_clock.now()});
    return Out;
  }

  void setShares(const policy::RolloutPlan &, const policy::RolloutStep &Step,
                 std::uint64_t Fence) override {
    if (Fence >= m_shareFence)
      Share = Step.OtherShare;
    m_shareFence = std::max(m_shareFence, Fence);
  }

  void deliver() {
    std::erase_if(m_inFlight, [&](const SentOrder &O) {
      auto &E = Engines.at(O.Engine);
      if (O.Time <= m_clock.now() && (!E.Checks || O.Fence >= E.Fence))
        E.Version = O.Version;
      return O.Time <= m_clock.now();
    });
  }

  [[nodiscard]] std::size_t running(const std::string &Version) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Engines, [&](const auto &E) { return E.second.Version == Version; }));
  }

  std::map<config::ReplicaId, Engine> Engines;
  std::vector<SentOrder> Orders;
  Duration Delay = seconds(5);
  double Share = 0.0;
  bool Bad = false;

private:
  const Clock &m_clock;
  std::vector<SentOrder> m_inFlight; ///< Time is the delivery time.
  std::uint64_t m_shareFence = 0;
};

class RolloutControllerTest : public testing::Test {
public:
  RolloutControllerTest() { start("v2"); }

  void start(const std::string &Version) {
    const auto Failure = errorOf([&] {
      return startRollout(Store, {.Target = "model:m",
                                  .Version = Version,
                                  .OldVersion = "v1",
                                  .FinishWithin = minutes(20)});
    });
    ASSERT_FALSE(Failure);
  }

  std::unique_ptr<RolloutController> controller(BootId Boot) {
    return std::make_unique<RolloutController>(Store, Clk, Fleet, Log, "d",
                                               Boot, Times);
  }

  void run(const std::vector<RolloutController *> &Live, Duration Time) {
    for (const auto End = Clk.now() + Time; Clk.now() < End;) {
      Clk.advance(Tick);
      Fleet.deliver();
      for (auto *Controller : Live)
        Controller->tick();
    }
  }

  /// Runs until the rollout has converged; fails after Limit.
  void runUntilConverged(const std::vector<RolloutController *> &Live,
                         Duration Limit = minutes(30)) {
    const auto End = Clk.now() + Limit;
    while (!record().Converged && Clk.now() < End)
      run(Live, seconds(1));
    EXPECT_TRUE(record().Converged) << describeRollout(record());
  }

  RolloutRecord record() {
    return *capture([&]() -> Result<RolloutRecord> {
      BOOST_LEAF_AUTO(Stored, Store.get("rollout/model:m"));
      return decodeRollout(Stored.Text);
    });
  }

  void expectLoadInterval() const {
    for (std::size_t I = 1; I < Fleet.Orders.size(); ++I)
      EXPECT_GE(Fleet.Orders[I].Time - Fleet.Orders[I - 1].Time,
                Times.LoadInterval);
  }

  ManualClock Clk;
  platform::MemoryObjectStore Store;
  SimulatedFleet Fleet{Clk, true};
  EventLog Log{Clk, "test", false};
  RolloutTimes Times;
};

// Guards against good versions that miss their finish time, and against loads
// faster than the weight store allows.
TEST_F(RolloutControllerTest, GoodVersionCompletesInTimeAtTheStoresRate) {
  const auto A = controller(1);
  const auto B = controller(2);
  runUntilConverged({A.get(), B.get()}, minutes(20));
  EXPECT_EQ(record().Progress.Phase, RolloutPhase::Done);
  EXPECT_NE(describeRollout(record()).find("all 8 replicas run version v2"),
            std::string::npos);
  EXPECT_EQ(Fleet.running("v2"), ReplicaCount);
  EXPECT_EQ(Fleet.Orders.size(), ReplicaCount);
  expectLoadInterval();
}

// Guards against replicas that keep a bad version, and against a status without
// the reason.
TEST_F(RolloutControllerTest, BadVersionIsRolledBackEverywhere) {
  Fleet.Bad = true;
  const auto A = controller(1);
  runUntilConverged({A.get()});
  EXPECT_EQ(record().Progress.Phase, RolloutPhase::RolledBack);
  EXPECT_NE(record().Progress.Reason.find("errors"), std::string::npos);
  EXPECT_EQ(Fleet.running("v1"), ReplicaCount);
  EXPECT_EQ(Fleet.Share, 0.0);
  expectLoadInterval();
}

// Guards against losing an operator's rollback while the controller writes, and
// against refusing one after the rollout is done.
TEST_F(RolloutControllerTest, OperatorRollsBackDuringAndAfter) {
  const auto A = controller(1);
  for (const auto Time : {minutes(8), minutes(25)}) {
    run({A.get()}, Time);
    ASSERT_GT(Fleet.running("v2"), 1U);
    EXPECT_FALSE(
        errorOf([&] { return requestRollback(Store, "model:m", "why"); }));
    run({A.get()}, seconds(1));
    runUntilConverged({A.get()});
    EXPECT_EQ(record().Progress.Reason, "operator: why");
    EXPECT_EQ(Fleet.running("v1"), ReplicaCount);
    start("v2");
  }
}

// Guards against a rollout that stops with its controller, a takeover by two
// controllers at once, and loads during the takeover that are faster than the
// weight store allows.
TEST_F(RolloutControllerTest, AnotherControllerContinuesAfterACrash) {
  const auto A = controller(1);
  const auto B = controller(2);
  const auto C = controller(3);
  run({A.get()}, minutes(6));
  const auto Before = record();
  run({B.get(), C.get()}, Times.Lease);
  EXPECT_EQ(B->heldCount() + C->heldCount(), 0U)
      << "the lease may still be valid";
  run({B.get(), C.get()}, seconds(2));
  EXPECT_EQ(B->heldCount() + C->heldCount(), 1U);
  EXPECT_GT(record().Fence, Before.Fence);
  EXPECT_GE(record().Progress.Elapsed, Before.Progress.Elapsed);
  runUntilConverged({B.get(), C.get()}, minutes(14));
  EXPECT_EQ(record().Progress.Phase, RolloutPhase::Done);
  expectLoadInterval();
}

// Guards against orders from a controller that was suspended past the end of
// its lease.
TEST_F(RolloutControllerTest, SuspendedControllerSendsNothingWithItsOldNumber) {
  const auto A = controller(1);
  const auto B = controller(2);
  run({A.get()}, minutes(6));
  run({B.get()}, seconds(30));
  ASSERT_EQ(B->heldCount(), 1U);
  runUntilConverged({A.get(), B.get()});
  EXPECT_EQ(A->heldCount(), 0U);
  for (std::size_t I = 1; I < Fleet.Orders.size(); ++I)
    EXPECT_GE(Fleet.Orders[I].Fence, Fleet.Orders[I - 1].Fence);
}

// Guards against a delayed order of the previous holder that undoes the new
// holder's order at an engine that ignores fencing numbers.
TEST_F(RolloutControllerTest, WaitsForOldOrdersOnEnginesThatIgnoreNumbers) {
  for (auto &[Id, Engine] : Fleet.Engines)
    Engine.Checks = false;
  const auto A = controller(1);
  const auto B = controller(2);
  run({A.get()}, minutes(6));
  Fleet.Delay = seconds(55);
  const auto Sent = Fleet.Orders.size();
  while (Fleet.Orders.size() == Sent)
    run({A.get()}, Tick);
  const auto Stopped = Clk.now();
  EXPECT_FALSE(
      errorOf([&] { return requestRollback(Store, "model:m", "why"); }));
  const auto Number = Fleet.Orders.back().Fence;
  Fleet.Delay = seconds(1);
  runUntilConverged({B.get()});
  run({B.get()}, minutes(2));
  EXPECT_EQ(Fleet.running("v1"), ReplicaCount);
  for (const auto &Order : Fleet.Orders)
    if (Order.Fence > Number) {
      EXPECT_GE(Order.Time, Stopped + Times.Lease + Times.MaxOrderTime);
    }
}

// Guards against treating a write whose answer was lost as failed or as done.
TEST_F(RolloutControllerTest, LostWriteAnswersAreReadBack) {
  Store.setFaults({.LoseWriteAnswer = true});
  const auto A = controller(1);
  const auto B = controller(2);
  run({A.get(), B.get()}, seconds(30));
  EXPECT_EQ(A->heldCount() + B->heldCount(), 1U);
  const auto Number = record().Fence;
  runUntilConverged({A.get(), B.get()}, minutes(20));
  EXPECT_EQ(record().Fence, Number) << "the lease was lost meanwhile";
  EXPECT_EQ(record().Progress.Phase, RolloutPhase::Done);
  EXPECT_EQ(Fleet.Orders.size(), ReplicaCount);
}

// Guards against orders without a lease while the platform is down, and against
// a rollout that does not continue afterwards.
TEST_F(RolloutControllerTest, WaitsWhileThePlatformIsDown) {
  const auto A = controller(1);
  run({A.get()}, minutes(6));
  Store.setFaults({.Down = true});
  run({A.get()}, Times.Lease);
  const auto Sent = Fleet.Orders.size();
  run({A.get()}, minutes(2));
  EXPECT_TRUE(A->waitingForPlatform());
  EXPECT_EQ(Fleet.Orders.size(), Sent);
  Store.setFaults({});
  runUntilConverged({A.get()});
  EXPECT_EQ(record().Progress.Phase, RolloutPhase::Done);
}

// Guards against overwriting a rollout in progress.
TEST_F(RolloutControllerTest, SecondStartIsRefusedWhileInProgress) {
  const auto Failure = errorOf([&] {
    return startRollout(Store, {.Target = "model:m", .Version = "v3"});
  });
  ASSERT_TRUE(Failure);
  EXPECT_EQ(Failure->Kind, ErrorKind::Conflict);
}

// Guards against a malformed object that stops the controller.
TEST_F(RolloutControllerTest, MalformedRecordIsSkipped) {
  EXPECT_FALSE(errorOf([&] { return Store.put("rollout/x", "{", 0); }));
  const auto A = controller(1);
  runUntilConverged({A.get()});
}

} // namespace
} // namespace nutmegdrift::control
