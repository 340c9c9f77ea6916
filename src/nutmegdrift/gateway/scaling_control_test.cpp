// Orders of replicas by a gateway that receives heartbeats on loopback.
#include "gateway_fixture.h"

namespace nutmegdrift::gateway {
namespace {

struct Scaling : GatewayFixture {
  void SetUp() override {
    Daemon.reset();
    Settings.Duties = DutySettings{.ScalesReplicas = true};
    Daemon.emplace(
        Loop, Clk, Log, Settings, Headers,
        Gateway::Hooks{
            .LatestProgress = [this] { return StoreProgress{.Era = Era}; },
            .OnStopped = [this] { Stopped = true; }});
    ASSERT_FALSE(errorOf([&] { return Daemon->start(); }));
    Daemon->setDesiredState(
        {.Version = 1,
         .Services = {{.Name = "s",
                       .Engine = EngineTraits,
                       .Scaling = routing::ScalingBounds{
                           .Minimum = 2, .Maximum = 9, .Startup = 100ms}}}});
    for (const std::string Zone : {"y", "z"})
      for (int I = 0; I < 4; ++I)
        Daemon->state().Replicas.upsert(
            {.Id = Zone + std::to_string(I),
             .Service = "s",
             .Address = {.Host = "127.0.0.1", .Port = 1},
             .Zone = Zone},
            Clk.now());
    Daemon->replicasChanged();
  }
  /// Receives heartbeats of another daemon that dispatches the service.
  void beat(double Replicas, Duration Length) {
    boost::asio::ip::udp::socket Other(Loop, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint Target(
        boost::asio::ip::make_address(Settings.Internal.Host),
        Settings.Internal.Port);
    const TimePoint End = Clk.now() + Length;
    TimePoint Next{};
    runUntil([&] {
      if (StoreAnswers)
        Daemon->stateConfirmed(Clk.now());
      if (Clk.now() >= Next) {
        Next = Clk.now() + 300ms;
        Heartbeat Sent{.Daemon = "d2",
                       .Boot = 5,
                       .Internal = {.Host = "127.0.0.1", .Port = 1},
                       .Ready = true};
        Sent.Demand = {{.Service = "s", .Replicas = Replicas, .Measured = 9s}};
        Other.send_to(boost::asio::buffer(encode(Sent)), Target);
      }
      return Clk.now() >= End;
    });
  }
  std::map<std::string, unsigned> orders() {
    std::map<std::string, unsigned> Out;
    for (const policy::ReplicaOrder &Order : Daemon->replicaOrders(Clk.now()))
      Out[Order.Zone] = Order.Count;
    return Out;
  }

  const routing::EngineTraits EngineTraits{.Slots = 8, .KvTokens = 100000};
  std::uint64_t Era = 1;
  bool StoreAnswers = true;
};

TEST_F(Scaling, OrdersWhatTheDispatcherReports) {
  beat(10.0, 5s);
  EXPECT_EQ(orders(), (std::map<std::string, unsigned>{{"y", 6}, {"z", 6}}));
}

// The replicas that a restored store lists may be those of an earlier time.
TEST_F(Scaling, ChangesNothingAfterTheStoreWasRestored) {
  beat(6.0, 1s);
  Era = 2;
  beat(14.0, 4s);
  EXPECT_TRUE(orders().empty());
}

TEST_F(Scaling, ChangesNothingWithoutTheStore) {
  StoreAnswers = false;
  beat(14.0, 5s);
  EXPECT_TRUE(orders().empty());
}

TEST_F(Scaling, ANewHolderKeepsTheOrdersInForce) {
  Daemon->setReplicaOrders({{"s", "y", 8, ""}});
  beat(6.0, 2s);
  EXPECT_EQ(orders(), (std::map<std::string, unsigned>{{"y", 8}}));
}

} // namespace
} // namespace nutmegdrift::gateway
