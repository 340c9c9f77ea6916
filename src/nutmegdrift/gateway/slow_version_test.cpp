// A rollout of a version whose streams are several times slower, on real
// connections.
#include "gateway_fixture.h"

namespace nutmegdrift::gateway {
namespace {

struct SlowVersion : GatewayFixture {
  /// Writes an event each Gap, until there are Count.
  void stream(const std::shared_ptr<net::ServerExchange> &Exchange,
              Duration Gap, int Count) {
    if (!Exchange->open())
      return;
    if (Count == 0) {
      Exchange->finish();
      return;
    }
    Exchange->write("data: " + std::string(60, 'x') + "\n\n");
    Timers.push_back(std::make_unique<net::Timer>(Loop));
    Timers.back()->callAfter(Gap, [this, Exchange, Gap, Count] {
      stream(Exchange, Gap, Count - 1);
    });
  }
  void version(const std::string &Version, Duration Gap) {
    auto &Added = replica([](net::ServerExchange &Exchange) {
      Exchange.begin(200, answerHeaders(Exchange), std::nullopt);
    });
    const routing::ReplicaId Id = "r" + std::to_string(Replicas.size());
    routing::ReplicaRecord Record = Daemon->state().Replicas.find(Id)->Record;
    Record.Version = Version;
    Daemon->state().Replicas.upsert(Record, Clk.now());
    Added.AfterRequest = [this, &Added, Gap] {
      stream(Added.Exchanges.back(), Gap, Events);
    };
  }
  /// Sends requests side by side and waits until all have ended.
  void callSideBySide(int Count) {
    std::vector<std::shared_ptr<net::ClientConnection>> Callers;
    int Running = Count;
    for (int I = 0; I < Count; ++I) {
      Callers.push_back(
          std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front));
      net::HttpRequest Request{.Method = "GET", .Target = "/stream/x"};
      Request.Headers.add("Host", "h");
      Request.Headers.add("Id", "id" + std::to_string(++LastId));
      Callers.back()->send(
          net::serialise(Request), 1s,
          {.OnEnd = [&] { --Running; },
           .OnFailure = [&](net::ClientFailure) { --Running; }});
    }
    runUntil([&] { return Running == 0; });
    EXPECT_EQ(Running, 0);
    for (const auto &Each : Callers)
      Each->close();
  }
  bool rolledBack() const {
    return std::any_of(Lines.begin(), Lines.end(), [](const auto &Line) {
      return Line.find("stage=rolled-back") != std::string::npos;
    });
  }
  void order() {
    Daemon->state().Rollouts.applyOrder(
        {.Service = "s", .Version = "v2", .Length = 60s}, Clk.now());
    Daemon->rolloutsChanged();
  }

  static constexpr int Events = 10;
};

// A version whose streams are too slow to end was kept, because only streams
// that ended were compared.
TEST_F(SlowVersion, AVersionWhoseStreamsAreCutBeforeTheyEndIsRolledBack) {
  apply();
  version("v1", 40ms);
  version("v2", 400ms);
  order();
  for (int I = 0; I < 3 && !rolledBack(); ++I)
    callSideBySide(250);
  runUntil([&] { return rolledBack(); });
  EXPECT_TRUE(rolledBack());
}

TEST_F(SlowVersion, AVersionAsFastAsTheOldOneIsKept) {
  apply();
  version("v1", 40ms);
  version("v2", 40ms);
  order();
  for (int I = 0; I < 4; ++I)
    callSideBySide(250);
  EXPECT_FALSE(rolledBack());
}

struct PlainVersion : SlowVersion {
  void plainVersion(const std::string &Version,
                    const ScriptedReplica::Reaction &OnRequest) {
    replica(OnRequest);
    const routing::ReplicaId Id = "r" + std::to_string(Replicas.size());
    routing::ReplicaRecord Record = Daemon->state().Replicas.find(Id)->Record;
    Record.Version = Version;
    Daemon->state().Replicas.upsert(Record, Clk.now());
  }
  /// Sends a request and leaves after Patience.
  void callAndLeave(Duration Patience) {
    const auto Caller =
        std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
    net::HttpRequest Request{.Method = "GET", .Target = "/safe/x"};
    Request.Headers.add("Host", "h");
    Request.Headers.add("Id", "id" + std::to_string(++LastId));
    bool Done = false;
    Caller->send(net::serialise(Request), 1s,
                 {.OnEnd = [&] { Done = true; },
                  .OnFailure = [&](net::ClientFailure) { Done = true; }});
    const TimePoint Until = Clk.now() + Patience;
    runUntil([&] { return Done || Clk.now() >= Until; });
    Caller->close();
  }
};

// The callers of a version that hardly answers left before they had an outcome,
// and the version was kept.
TEST_F(PlainVersion, AVersionWhoseSlowAnswersAreNotAwaitedIsRolledBack) {
  apply();
  plainVersion("v1", answerDone);
  plainVersion("v2", [](net::ServerExchange &) {});
  order();
  for (int I = 0; I < 600 && !rolledBack(); ++I)
    callAndLeave(60ms);
  runUntil([&] { return rolledBack(); });
  EXPECT_TRUE(rolledBack());
}

// A request that fails at each replica made a good version look bad, as each
// of its attempts was an outcome.
TEST_F(PlainVersion, FailedAttemptsOfOneRequestAreOneOutcome) {
  apply();
  for (int I = 0; I < 2; ++I)
    plainVersion("v1", [](net::ServerExchange &Exchange) {
      Exchange.answer(500, answerHeaders(Exchange), "no");
    });
  order();
  EXPECT_EQ(call("/safe/x").Status, 500);
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 2);
  EXPECT_EQ(Daemon->state().Rollouts.reports(Clk.now()).at(0).Old.All, 1U);
}

} // namespace
} // namespace nutmegdrift::gateway
