// Replicas that name a request rate in their answers, on real connections.
#include "gateway_fixture.h"

namespace nutmegdrift::gateway {
namespace {

struct RateLimits : GatewayFixture {
  void applyServices(bool Engine) {
    routing::Service Target{.Name = "s"};
    if (Engine)
      Target.Engine = routing::EngineTraits{.Slots = 8, .KvTokens = 100000};
    Daemon->setDesiredState(
        {.Version = 1,
         .Routes = {route("/safe/", routing::RequestKind::Idempotent),
                    route("/once/", routing::RequestKind::RunOnce),
                    route("/stream/", routing::RequestKind::Stream)},
         .Services = {Target}});
  }
  ScriptedReplica &limitedReplica(const std::string &PerSecond) {
    return replica([PerSecond](net::ServerExchange &Exchange) {
      net::HeaderList Headers = answerHeaders(Exchange);
      if (!PerSecond.empty())
        Headers.add("Limit", PerSecond);
      Exchange.answer(200, Headers, "done");
    });
  }
  /// Sends requests one after the other for Length; returns the statuses.
  std::map<int, int> callFor(const std::string &Path, Duration Length) {
    std::map<int, int> Statuses;
    const TimePoint End = Clk.now() + Length;
    while (Clk.now() < End) {
      const Answer Received = call(Path, {{"Tokens", "100"}});
      ++Statuses[Received.Status];
      const TimePoint Next = Clk.now() + 10ms;
      runUntil([&] { return Clk.now() >= Next; });
    }
    return Statuses;
  }
  void expectRefusals(const std::string &Path) {
    // The next request may be sent after 500 ms, which is longer than one
    // waits.
    ScriptedReplica &Only = limitedReplica("2");
    const auto Statuses = callFor(Path, 2s);
    EXPECT_LE(Only.Requests, bound(2, 2s));
    EXPECT_GE(Only.Requests, 3);
    int Refused = 0;
    for (const auto &[Status, Count] : Statuses) {
      EXPECT_TRUE(Status == 200 || Status == 429 || Status == 503) << Status;
      Refused += Status == 200 ? 0 : Count;
    }
    EXPECT_GT(Refused, 10);
  }
  /// The most that a replica may get in a time, by the operators' bound.
  static int bound(double PerSecond, Duration Length) {
    return static_cast<int>(
        1.5 * PerSecond * std::chrono::duration<double>(Length).count() + 5.0);
  }
};

// A back end got far more requests than the limit that it had named.
TEST_F(RateLimits, AnEngineGetsNoMoreThanItNamed) {
  applyServices(true);
  ScriptedReplica &Limited = limitedReplica("4.5");
  ScriptedReplica &Other = limitedReplica("");
  const auto Statuses = callFor("/stream/x", 2s);
  EXPECT_LE(Limited.Requests, bound(4.5, 2s));
  EXPECT_GE(Limited.Requests, 4);
  EXPECT_GT(Other.Requests, 40);
  EXPECT_EQ(Statuses.size(), 1U);
  EXPECT_TRUE(Statuses.contains(200));
}

TEST_F(RateLimits, APlainReplicaGetsNoMoreThanItNamed) {
  applyServices(false);
  ScriptedReplica &Limited = limitedReplica("4.5");
  ScriptedReplica &Other = limitedReplica("");
  for (const char *Path : {"/safe/x", "/once/x"}) {
    Limited.Requests = 0;
    const auto Statuses = callFor(Path, 2s);
    EXPECT_LE(Limited.Requests, bound(4.5, 2s));
    EXPECT_GT(Other.Requests, 40);
    EXPECT_EQ(Statuses.size(), 1U);
    EXPECT_TRUE(Statuses.contains(200));
  }
}

// With all replicas at their limits, the rest is refused at once.
TEST_F(RateLimits, WhatNoEngineMayTakeIsRefused) {
  applyServices(true);
  expectRefusals("/stream/x");
}

TEST_F(RateLimits, WhatNoPlainReplicaMayTakeIsRefused) {
  applyServices(false);
  expectRefusals("/safe/x");
}

} // namespace
} // namespace nutmegdrift::gateway
