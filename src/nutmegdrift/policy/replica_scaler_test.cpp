// Replays of the loads for which the number of replicas is decided.
#include "nutmegdrift/policy/replica_scaler.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <numbers>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

constexpr unsigned Minimum = 20;
constexpr unsigned Maximum = 94;
constexpr Duration Startup = 8s;
const std::vector<std::string> ZoneNames{"a", "b", "c"};

/// A service in three zones whose orders are carried out after Startup.
struct ScaledService {
  /// Demand in replicas at a time since the start.
  using Load = std::function<double(double Seconds)>;

  explicit ScaledService(Load Demand) : Demand(std::move(Demand)) {}

  static Load wave(double Mean, double Phase = 0.0) {
    return [Mean, Phase](double Seconds) {
      return Mean * (1.0 + 0.27 * std::sin(2 * std::numbers::pi *
                                           (Seconds / 11.0 + Phase)));
    };
  }

  void carryOut() {
    for (const ReplicaOrder &Order : Scaler.orders()) {
      EXPECT_GE(Order.Count, Minimum);
      EXPECT_LE(Order.Count, Maximum);
      unsigned &Count = Ordered[Order.Zone];
      if (Order.Count > Count)
        Starting.emplace(Now + Startup, std::pair(Order.Zone, Order.Count));
      else if (Order.Count < Count)
        Zones[Order.Zone].Present =
            std::min(Zones[Order.Zone].Present, Order.Count);
      Count = Order.Count;
    }
    while (!Starting.empty() && Starting.begin()->first <= Now) {
      const auto &[Zone, Count] = Starting.begin()->second;
      Zones[Zone].Present =
          std::max(Zones[Zone].Present, std::min(Count, Ordered[Zone]));
      Starting.erase(Starting.begin());
    }
  }

  void step() {
    Now += ReplicaScaler::SampleInterval;
    const double Seconds = std::chrono::duration<double>(Now - Begin).count();
    const double Present = Demand(Seconds);
    double Serving = 0;
    for (const auto &[Zone, Replicas] : Zones)
      Serving +=
          Evacuated.contains(Zone) ? 0 : Replicas.Present - Replicas.Failing;
    Shortest = std::min(Shortest, Serving / Present);
    const double Unserved = std::max(0.0, 1.0 - Serving / Present);
    if (Dispatcher)
      Scaler.report("s", *Dispatcher,
                    {.Replicas = Present * Measured,
                     .UnservedShare = Unserved,
                     .Measured = Now - DispatcherSince},
                    Now);
    Scaler.update(Now, HeardShare,
                  {{.Service = "s",
                    .Bounds = {.Minimum = Minimum,
                               .Maximum = Maximum,
                               .Startup = Startup},
                    .Zones = Zones,
                    .Evacuated = Evacuated,
                    .InRollout = InRollout}});
    carryOut();
  }
  /// Returns the lowest total of the orders meanwhile.
  unsigned run(Duration Length) {
    unsigned Lowest = ordered();
    const TimePoint End = Now + Length;
    while (Now < End) {
      step();
      Lowest = std::min(Lowest, ordered());
    }
    return Lowest;
  }
  unsigned ordered() const {
    unsigned Sum = 0;
    for (const auto &[Zone, Count] : Ordered)
      Sum += Count;
    return Sum;
  }

  Load Demand;
  ReplicaScaler Scaler;
  const TimePoint Begin{1000s};
  TimePoint Now = Begin;
  std::optional<DaemonName> Dispatcher = "d1";
  TimePoint DispatcherSince = Begin;
  double Measured = 1.0; ///< Part of the demand that reaches the dispatcher.
  double HeardShare = 1.0;
  std::set<std::string> Evacuated;
  bool InRollout = false;
  std::map<std::string, ReplicaScaler::ZoneReplicas> Zones{
      {"a", {.Present = 47}}, {"b", {.Present = 47}}, {"c", {.Present = 46}}};
  std::map<std::string, unsigned> Ordered{{"a", 47}, {"b", 47}, {"c", 46}};
  std::multimap<TimePoint, std::pair<std::string, unsigned>> Starting;
  double Shortest = 1e9; ///< Lowest ratio of serving replicas to demand.
};

// While replicas still registered, the 34 of 47 that were listed in a zone were
// raised to the minimum of 39, which stopped eight of them before the first
// request.
TEST(ReplicaScaler, NothingIsOrderedBeforeTheFirstRequests) {
  ReplicaScaler Scaler;
  TimePoint Now{1000s};
  const auto Run = [&](unsigned Present, double Demand, Duration Length) {
    for (const TimePoint End = Now + Length; Now < End;
         Now += ReplicaScaler::SampleInterval) {
      Scaler.report("s", "d1", {.Replicas = Demand, .Measured = 10s}, Now);
      Scaler.update(
          Now, 1.0,
          {{.Service = "s",
            .Bounds = {.Minimum = 39, .Maximum = Maximum, .Startup = Startup},
            .Zones = {{"a", {.Present = Present}}}}});
    }
  };
  Run(34, 0.0, 10s);
  Run(47, 0.0, 3s);
  Run(47, 36.0, 2s);
  EXPECT_TRUE(Scaler.orders().empty());
}

// Guards against paying for unused replicas, and against removing in the wave's
// low point what its next crest needs, wherever in the wave the service starts.
TEST(ReplicaScaler, AWaveKeepsWhatItsCrestNeeds) {
  for (int Eighths = 0; Eighths < 8; ++Eighths) {
    const double Phase = Eighths / 8.0;
    ScaledService Service(ScaledService::wave(70, Phase));
    Service.run(10500ms);
    EXPECT_LE(Service.ordered(), 0.82 * 140) << Phase;
    Service.run(30s);
    EXPECT_LE(Service.ordered(), 0.78 * 140) << Phase;
    EXPECT_GE(Service.ordered(), 0.74 * 140) << Phase;
    EXPECT_GE(Service.Shortest, 1.1) << Phase;
  }
}

// Each change of an order costs a call, and replicas that start and stop serve
// nobody.
TEST(ReplicaScaler, OrdersOfASteadyWaveDoNotChange) {
  ScaledService Service(ScaledService::wave(100));
  Service.run(14s);
  const unsigned Settled = Service.ordered();
  EXPECT_EQ(Service.run(33s), Settled);
  EXPECT_EQ(Service.ordered(), Settled);
}

// New replicas would serve only after a burst has ended.
TEST(ReplicaScaler, ABurstOfASecondOrdersNothing) {
  ScaledService Service([](double Seconds) {
    return std::fmod(Seconds, 7.0) < 1.0 && Seconds > 7.0 ? 250.0 : 90.0;
  });
  Service.run(40s);
  EXPECT_LE(Service.ordered(), 140U);
}

TEST(ReplicaScaler, LastingDemandIsFollowedWithinTwoSeconds) {
  ScaledService Service(
      [](double Seconds) { return Seconds < 20.0 ? 100.0 : 150.0; });
  Service.run(20s);
  Service.run(2s);
  EXPECT_GE(Service.ordered(), 150 / 0.85);
}

TEST(ReplicaScaler, LastingOverloadOrdersTheMaximumAtOnce) {
  ScaledService Service(
      [](double Seconds) { return Seconds < 20.0 ? 100.0 : 260.0; });
  Service.run(22s);
  EXPECT_EQ(Service.ordered(), 3 * Maximum);
}

// After an overload the capacity is paid for only as long as it may be needed.
TEST(ReplicaScaler, GoesDownInStepsAfterAnOverload) {
  ScaledService Service([](double Seconds) {
    return Seconds > 10.0 && Seconds < 20.0 ? 300.0 : 60.0;
  });
  Service.run(24s);
  EXPECT_EQ(Service.ordered(), 3 * Maximum);
  unsigned Before = Service.ordered();
  for (int I = 0; I < 60; ++I) {
    Service.step();
    EXPECT_GE(Service.ordered(), 0.84 * Before - 3);
    Before = Service.ordered();
  }
  EXPECT_LE(Service.ordered(), 60 * 1.27 / 0.85 + 3);
}

// A killed dispatcher reports nothing, and its successor at first a part of the
// demand.
TEST(ReplicaScaler, ALostDispatcherDoesNotLowerOrders) {
  ScaledService Service(ScaledService::wave(110));
  Service.run(20s);
  const unsigned Before = Service.ordered();
  Service.Dispatcher.reset();
  EXPECT_GE(Service.run(2s), Before);
  Service.Dispatcher = "d2";
  Service.DispatcherSince = Service.Now;
  Service.Measured = 0.2;
  EXPECT_GE(Service.run(1s), Before);
  Service.Measured = 1.0;
  EXPECT_GE(Service.run(20s), Before);
  EXPECT_LE(Service.ordered(), Before + 9);
}

// The requests of daemons that are not heard are missing in the demand.
TEST(ReplicaScaler, DaemonsThatAreNotHeardDoNotLowerOrders) {
  for (const double Heard : {0.4, 0.6}) {
    ScaledService Service(ScaledService::wave(110));
    Service.run(20s);
    const unsigned Before = Service.ordered();
    Service.HeardShare = Heard;
    Service.Measured = Heard;
    EXPECT_EQ(Service.run(15s), Before) << Heard;
    Service.HeardShare = 1.0;
    Service.Measured = 1.0;
    EXPECT_EQ(Service.run(15s), Before) << Heard;
  }
}

// With fewer than half of the daemons nothing changes, more demand included.
TEST(ReplicaScaler, PartialKnowledgeChangesNothing) {
  ScaledService Service(
      [](double Seconds) { return Seconds < 20.0 ? 100.0 : 260.0; });
  Service.run(20s);
  const unsigned Before = Service.ordered();
  Service.HeardShare = 0.4;
  Service.run(10s);
  EXPECT_EQ(Service.ordered(), Before);
}

// A new holder knows neither the wave nor the rates of the engines.
TEST(ReplicaScaler, ANewHolderKeepsTheOrdersInForce) {
  ScaledService Service(ScaledService::wave(40));
  Service.Scaler.setOrders({{"s", "a", 70, ""}, {"s", "b", 70, ""}});
  Service.run(2500ms);
  EXPECT_EQ(Service.Ordered["a"], 70U);
  EXPECT_EQ(Service.Ordered["b"], 70U);
  EXPECT_EQ(Service.Ordered["c"], 46U);
}

// The other zones take over the load of an evacuated one, whose replicas are
// still there when it returns.
TEST(ReplicaScaler, AnEvacuatedZoneIsNotScaledDown) {
  ScaledService Service(ScaledService::wave(80));
  Service.run(20s);
  const unsigned Before = Service.Ordered["a"];
  Service.Evacuated = {"a"};
  Service.run(2s);
  EXPECT_GE(Service.Ordered["b"] + Service.Ordered["c"], 80 * 1.25 / 0.85);
  Service.run(20s);
  EXPECT_EQ(Service.Ordered["a"], Before);
  EXPECT_GE(Service.Ordered["b"] + Service.Ordered["c"], 80 * 1.25 / 0.85);
}

TEST(ReplicaScaler, ARolloutIsNotScaledDown) {
  ScaledService Service(ScaledService::wave(60));
  Service.InRollout = true;
  EXPECT_EQ(Service.run(30s), 140U);
}

// Replicas that fail must not count as spare capacity.
TEST(ReplicaScaler, FailingReplicasCountAsMissing) {
  ScaledService Service(ScaledService::wave(80));
  Service.run(20s);
  const unsigned Before = Service.Ordered["a"];
  Service.Zones["a"].Failing = 8;
  Service.run(3s);
  EXPECT_EQ(Service.Ordered["a"], Before + 8);
}

// Crashed replicas vanish from the list; the order must not follow them.
TEST(ReplicaScaler, CrashedReplicasDoNotLowerOrders) {
  ScaledService Service(ScaledService::wave(95));
  Service.run(2s);
  Service.Zones["a"].Present = 10;
  EXPECT_EQ(Service.run(1s), 140U);
  EXPECT_GE(Service.run(12s), 95 * 1.25 / 0.85);
}

} // namespace
} // namespace nutmegdrift::policy
