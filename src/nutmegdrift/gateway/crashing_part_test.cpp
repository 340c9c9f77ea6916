// Requests whose prompts share a part that crashes every engine that begins to
// answer them, on real connections.
#include "gateway_fixture.h"

namespace nutmegdrift::gateway {
namespace {

using testing::AfterReply;
using testing::fieldOf;
using testing::RawReply;

struct CrashingPart : GatewayFixture {
  CrashingPart() {
    Daemon->setDesiredState(
        {.Version = 1,
         .Routes = {route("/stream/", routing::RequestKind::Stream),
                    route("/resume/", routing::RequestKind::ResumableStream)},
         .Services = {{.Name = "s",
                       .Engine = routing::EngineTraits{.Slots = 8,
                                                       .KvTokens = 100000}}}});
    while (Engines.size() < 3)
      startEngine();
  }

  /// Starts an engine that crashes if the prompt contains the deadly part.
  void startEngine() {
    const routing::ReplicaId Id = "e" + std::to_string(++Started);
    Engines[Id] = std::make_unique<testing::RawPeer>(
        Loop, [this, Id](const std::string &Request) {
          const std::string Prompt = "," + fieldOf(Request, "Prompt") + ",";
          if (Prompt.find(",7,") == std::string::npos)
            return RawReply{.Bytes = answerTo(Request),
                            .Then = AfterReply::Close};
          ++Crashes;
          boost::asio::post(Loop, [this, Id] { crash(Id); });
          return RawReply{.Then = AfterReply::Reset};
        });
    addReplica(Id, Engines.at(Id)->address());
  }
  void crash(const routing::ReplicaId &Id) { Engines.erase(Id); }
  static std::string answerTo(const std::string &Request) {
    return "HTTP/1.1 200 OK\r\nSig: x\r\nId: " + fieldOf(Request, "Id") +
           "\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n"
           "id: 1\ndata: done\n\n";
  }
  /// A request whose prompt ends with a part of its own.
  Answer ask(const std::string &Shared, const std::string &Path) {
    const std::string Own = std::to_string(1000 + ++LastOwn);
    return call(Path + Own, {{"Prompt", Shared + "," + Own}});
  }
  /// Sends sound requests with the deadly one's other parts, and brings crashed
  /// engines back. Returns the number of failed requests.
  int serveOthers() {
    int Failed = 0;
    for (int I = 0; I < 6; ++I)
      Failed += ask("1", "/stream/").Status == 200 ? 0 : 1;
    const TimePoint End = Clk.now() + 300ms;
    runUntil([&] { return Clk.now() >= End; });
    const auto Listed = Daemon->state().Replicas.all();
    for (const auto &[Id, Entry] : Listed)
      if (!Engines.contains(Id))
        Daemon->state().Replicas.remove(Id, std::nullopt);
    while (Engines.size() < 3)
      startEngine();
    Daemon->replicasChanged();
    return Failed;
  }

  /// Crashes after which requests with the part must not be sent any more.
  static constexpr int MaxCrashes = 5;

  std::map<routing::ReplicaId, std::unique_ptr<testing::RawPeer>> Engines;
  int Started = 0;
  int Crashes = 0;
  int LastOwn = 0;
};

// Requests with one part crashed replica after replica, because their bodies
// differed and each was counted by itself.
TEST_F(CrashingPart, NewRequestsWithThePartAreRefusedAfterAFewCrashes) {
  for (int Round = 0; Round < 10; ++Round) {
    ask("1,7", "/stream/");
    serveOthers();
  }
  EXPECT_LE(Crashes, MaxCrashes);
  const int Before = Crashes;
  const Answer Refused = ask("7,1", "/stream/");
  EXPECT_EQ(Refused.Status, 503);
  EXPECT_TRUE(Refused.Headers.find("Retry-After"));
  EXPECT_EQ(Crashes, Before);
  EXPECT_EQ(ask("1", "/stream/").Status, 200);
  EXPECT_EQ(ask("1,8", "/stream/").Status, 200);
}

// A stream that may be resumed is repeated by the daemon itself.
TEST_F(CrashingPart, RepeatsAreRefusedAsWell) {
  for (int Round = 0; Round < 10; ++Round) {
    ask("1,7", "/resume/");
    serveOthers();
  }
  EXPECT_LE(Crashes, MaxCrashes);
}

// Every request on a crashed engine is lost, and none of them is the cause.
TEST_F(CrashingPart, PartsOfSoundRequestsOnCrashedEnginesAreNotRefused) {
  for (int Round = 0; Round < 10; ++Round) {
    ask("1,7", "/stream/");
    serveOthers();
    EXPECT_EQ(ask("1", "/stream/").Status, 200);
  }
}

} // namespace
} // namespace nutmegdrift::gateway
