// Usage counts of gateways on loopback, and their messages.
#include "gateway_fixture.h"

namespace nutmegdrift::gateway {
namespace {

const policy::UsageCounts Example{.Daemon = "d",
                                  .Boot = ~0ULL,
                                  .Window = 7,
                                  .First = 5,
                                  .Newest = 8,
                                  .CompleteUpTo = WallTime(40s),
                                  .Ended = true,
                                  .Counts = {{"w1", 3}, {"w2", 70000}}};

TEST(UsageMessages, RoundTripThroughTheirEncoding) {
  const std::string Bytes = encode(Example);
  EXPECT_TRUE(isUsageCounts(Bytes));
  EXPECT_EQ(decodeUsageCounts(Bytes), Example);
  EXPECT_FALSE(decodeHeartbeat(Bytes));
  EXPECT_FALSE(isUsageCounts(encode(Heartbeat{.Daemon = "d"})));
}

// One damaged message must not end the process or be read beyond its end.
TEST(UsageMessages, DamagedMessagesAreReadOrRefused) {
  Random Rng(7);
  const std::string Valid = encode(Example);
  for (int I = 0; I < 5000; ++I) {
    std::string Bytes = Valid;
    Bytes[Rng() % Bytes.size()] = static_cast<char>(Rng());
    decodeUsageCounts(Bytes);
    decodeUsageCounts(std::string_view(Valid).substr(0, Rng() % Valid.size()));
  }
}

// A message of 220 workspaces has to fit into one datagram.
TEST(UsageMessages, AreSmall) {
  policy::UsageCounts Large = Example;
  for (int I = 0; I < 220; ++I)
    Large.Counts["workspace" + std::to_string(I)] = 1000;
  EXPECT_LT(encode(Large).size(), 4096U);
}

struct Usage : GatewayFixture {
  static constexpr Milliseconds Window{500};

  void SetUp() override {
    Daemon.reset();
    Settings.Duties = DutySettings{.ReportsUsage = true,
                                   .UsageWindow = Window,
                                   .UsageLate = Milliseconds(10000)};
    Settings.Bounds.RevokeWhenPartitioned = false;
    Daemon.emplace(Loop, Clk, Log, Settings, Headers,
                   Gateway::Hooks{.OnStopped = [this] { Stopped = true; }});
    ASSERT_FALSE(errorOf([&] { return Daemon->start(); }));
  }
  void applyKeys(bool Engine) {
    routing::Service Target{.Name = "s"};
    if (Engine)
      Target.Engine = routing::EngineTraits{.Slots = 8, .KvTokens = 100000};
    routing::Route Open = route("/open/", routing::RequestKind::Idempotent);
    Open.AllowAnonymous = true;
    Daemon->setDesiredState(
        {.Version = 1,
         .Routes = {route("/once/", routing::RequestKind::RunOnce),
                    route("/stream/", routing::RequestKind::Stream), Open},
         .Services = {Target},
         .Workspaces = {{{.Name = "w", .Keys = {"k"}}}}});
  }
  /// Requests of all windows that the daemon reports within some seconds.
  std::map<std::string, std::uint64_t> reported() {
    std::map<std::string, std::uint64_t> Sum;
    std::uint64_t Last = 0;
    const TimePoint End = Clk.now() + 4s;
    runUntil([&] {
      for (const auto &Report : Daemon->dueUsage(Clk.now(), Last)) {
        Last = Report.Window;
        for (const auto &[Workspace, Count] : Report.Counts)
          Sum[Workspace] += Count;
      }
      return !Sum.empty() || Clk.now() >= End;
    });
    return Sum;
  }
};

// Guards against counting what did not run, or has no workspace.
TEST_F(Usage, CountsPlainRequestsThatRan) {
  applyKeys(false);
  replica([](net::ServerExchange &Exchange) {
    if (!Exchange.request().Headers.find("Decline"))
      return answerDone(Exchange);
    net::HeaderList Answer = answerHeaders(Exchange);
    Answer.add("Not-Run", "yes");
    Exchange.answer(503, Answer, "");
  });
  EXPECT_EQ(call("/once/", {{"Key", "k"}}).Status, 200);
  EXPECT_EQ(call("/open/").Status, 200);
  EXPECT_NE(call("/once/", {{"Key", "k"}, {"Decline", "x"}}).Status, 200);
  EXPECT_EQ(call("/once/", {{"Key", "other"}}).Status, 401);
  EXPECT_EQ(reported(), (std::map<std::string, std::uint64_t>{{"w", 1}}));
}

TEST_F(Usage, CountsModelRequestsWithAnEvent) {
  applyKeys(true);
  replica([](net::ServerExchange &Exchange) {
    const bool Fails = Exchange.request().Headers.find("Fail").has_value();
    Exchange.answer(Fails ? 500 : 200, answerHeaders(Exchange), "data: x\n\n");
  });
  for (const char *Outcome : {"Fine", "Fail"})
    call("/stream/", {{"Key", "k"}, {"Tokens", "10"}, {Outcome, "x"}});
  EXPECT_EQ(reported(), (std::map<std::string, std::uint64_t>{{"w", 1}}));
}

// The counts of another daemon arrive as datagrams on the internal port.
TEST_F(Usage, ReportsTheCountsOfOtherDaemons) {
  applyKeys(false);
  boost::asio::ip::udp::socket Other(Loop, boost::asio::ip::udp::v4());
  const boost::asio::ip::udp::endpoint Target(
      boost::asio::ip::make_address(Settings.Internal.Host),
      Settings.Internal.Port);
  policy::UsageCounts Counts{.Daemon = "d2", .Boot = 9, .Counts = {{"w", 5}}};
  Counts.Window =
      static_cast<std::uint64_t>(Clk.wallNow().time_since_epoch() / Window);
  Counts.First = Counts.Window;
  Counts.Newest = Counts.Window;
  Other.send_to(boost::asio::buffer(encode(Counts)), Target);
  EXPECT_EQ(reported(), (std::map<std::string, std::uint64_t>{{"w", 5}}));
}

// A decided window must not be reported again with other counts.
TEST_F(Usage, DoesNotReportDecidedWindows) {
  applyKeys(false);
  replica(answerDone);
  EXPECT_EQ(call("/once/", {{"Key", "k"}}).Status, 200);
  Daemon->setDutyHolder("d1", static_cast<std::uint64_t>(
                                  Clk.wallNow().time_since_epoch() / Window));
  EXPECT_TRUE(reported().empty());
}

// Without duties nothing is counted, and heartbeats carry no clock.
TEST_F(GatewayFixture, WithoutDutiesNothingIsReported) {
  apply();
  replica(answerDone);
  EXPECT_EQ(call("/once/").Status, 200);
  EXPECT_TRUE(Daemon->dueUsage(Clk.now(), 0).empty());
}

} // namespace
} // namespace nutmegdrift::gateway
