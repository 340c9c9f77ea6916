// Tests of a gateway's parts without I/O, and of whole calls between a raw
// caller and a scripted replica on real sockets.
#include "nutmegdrift/gateway/gateway.h"

#include "support/child_process.h"

#include <gtest/gtest.h>

#include <thread>

namespace nutmegdrift::gateway {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

TEST(Settings, NamesTheFieldAndItsLine) {
  const auto Bad = errorOf([] {
    return parseGatewaySettings(
        "name: a\nzone: z\nlisten:\n  front: nowhere\n");
  });
  ASSERT_TRUE(Bad);
  EXPECT_EQ(Bad->Kind, ErrorKind::InvalidSettings);
  EXPECT_NE(Bad->Message.find("front"), std::string::npos);
  EXPECT_NE(Bad->Message.find("line 4"), std::string::npos);
}

TEST(Settings, RefusesValuesThatCannotWork) {
  const std::string Good = "name: a\nzone: z\nstore: 127.0.0.1:1\nlisten:\n"
                           "  front: 127.0.0.1:2\n  readiness: 127.0.0.1:3\n"
                           "  directory: 127.0.0.1:4\n  internal: 127.0.0.1:5\n"
                           "  metrics: 127.0.0.1:6\n";
  EXPECT_FALSE(errorOf([&] { return parseGatewaySettings(Good); }));
  EXPECT_TRUE(errorOf([&] {
    return parseGatewaySettings(Good + "bounds:\n  stop_grace_ms: 0\n");
  }));
  EXPECT_TRUE(errorOf([&] {
    return parseGatewaySettings(Good + "dispatch:\n  reading_duty: fast\n");
  }));
}

TEST(FleetMessages, SurviveTheWire) {
  const Heartbeat Sent{
      .Daemon = "d",
      .Boot = 7,
      .Front = {.Host = "10.0.0.1", .Port = 1},
      .Internal = {.Host = "10.0.0.1", .Port = 2},
      .Ready = true,
      .Weight = 0.25,
      .StateVersion = 9,
      .StateAge = 12ms,
      .Revisions = {1, 2, 3},
      .Peers = {{.Host = "10.0.0.2", .Port = 2}},
      .Suspects = {{.Fingerprint = 5, .Crashed = {"r1", "r2"}}},
      .Rollouts = {{.Service = "s",
                    .Version = "v2",
                    .Stage = RolloutStage::Moving,
                    .Elapsed = 900ms}},
      .Outcomes = {{.Service = "s",
                    .Version = "v2",
                    .Sample = {.Route = "r",
                               .FromNewVersion = true,
                               .Failed = true,
                               .FirstToken = 3ms,
                               .TokenGap = 2us}}}};
  EXPECT_EQ(decodeHeartbeat(encode(Sent)), Sent);
  EXPECT_FALSE(decodeHeartbeat("no beat"));
  const PlacementMessage Messages[] = {
      PlaceRequest{.Sequence = 1,
                   .Service = "s",
                   .Workspace = "w",
                   .Prompt = {{.Id = ~0ULL, .Tokens = 5}},
                   .PromptTokens = 5,
                   .Tried = {"r"},
                   .RunningOn = "r2",
                   .Started = true,
                   .Repeated = true,
                   .ReportDelay = Milliseconds(70)},
      WithdrawRequest{.Sequence = 2},
      StartedReport{.Sequence = 3, .TimeToFirstEvent = Milliseconds(40)},
      EndedReport{.Sequence = 4,
                  .Outcome = routing::ReplicaOutcome::Unresponsive},
      PlaceGrant{.Sequence = 5, .Replica = "r", .FetchFrom = "r2"},
      PlaceRefusal{.Sequence = 6, .RetryAfter = 400ms},
      DispatcherKeepAlive{}};
  std::string Buffer;
  for (const PlacementMessage &Each : Messages)
    Buffer += encodeFrame(Each);
  bool Bad = false;
  for (const PlacementMessage &Each : Messages)
    EXPECT_EQ(decodeFrame(Buffer, Bad), Each);
  EXPECT_FALSE(Bad);
  Buffer = std::string("\0\0\0\2zz", 6);
  EXPECT_FALSE(decodeFrame(Buffer, Bad));
  EXPECT_TRUE(Bad);
}

/// Six old and six new replicas of a service, and an order to move it.
class Rollouts : public ::testing::Test {
protected:
  Rollouts() {
    for (int I = 0; I < 12; ++I)
      m_replicas.upsert({.Id = "r" + std::to_string(I),
                         .Service = "s",
                         .Version = I < 6 ? "v1" : "v2"},
                        Start);
    m_rollouts.applyOrder(m_order, Start);
  }
  /// Sends requests at an even rate and returns how many the new version got.
  int send(FleetRollouts &By, int Count) {
    int Fresh = 0;
    for (int I = 0; I < Count; ++I) {
      const auto Among =
          By.selectForRequest("s", m_replicas.usable("s"), false);
      const auto &To = Among.at(static_cast<std::size_t>(I) % Among.size());
      By.recordSent(To->Record);
      Fresh += To->Record.Version == "v2" ? 1 : 0;
    }
    return Fresh;
  }
  static policy::VersionSample sample(bool Failed, TimePoint At) {
    return {
        .Route = "r", .Failed = Failed, .FirstToken = 10ms, .CompletedAt = At};
  }
  RolloutStage reported(TimePoint At) {
    return m_rollouts.reports(At).at(0).Stage;
  }

  const RolloutOrder m_order{.Service = "s", .Version = "v2", .Length = 16s};
  routing::ReplicaTable m_replicas;
  FleetRollouts m_rollouts;
};

// A bad version must not get more than a tenth of the requests until the move
// is over, and one new replica has to bear its usual load, or a fault under
// load stays hidden.
TEST_F(Rollouts, NewVersionGetsItsShareOnFewReplicas) {
  EXPECT_EQ(send(m_rollouts, 1000), 50);
  const auto Among = m_rollouts.select("s", m_replicas.usable("s"));
  EXPECT_EQ(Among.size(), 7U);
  EXPECT_EQ(std::count_if(Among.begin(), Among.end(),
                          [](const auto *Each) { return Each->Canary; }),
            1);
  // A repeated request must not meet a bad version a second time.
  for (int I = 0; I < 100; ++I)
    for (const auto *Each :
         m_rollouts.selectForRequest("s", m_replicas.usable("s"), true))
      EXPECT_EQ(Each->Record.Version, "v1");
}

// Requests move before the old replicas are stopped, and what the new version
// gets until then stays below a tenth.
TEST_F(Rollouts, GoodVersionMovesAndCompletesInTime) {
  int Fresh = 0;
  TimePoint Completed{};
  for (int Ms = 0; Ms < 16000; Ms += 100) {
    const TimePoint At = Start + std::chrono::milliseconds(Ms);
    m_rollouts.tick(m_replicas, 1, At);
    for (int I = 0; I < 10; ++I) {
      const int ToFresh = send(m_rollouts, 1);
      Fresh += ToFresh;
      m_rollouts.recordOutcome("s", ToFresh == 1 ? "v2" : "v1",
                               sample(false, At));
    }
    if (reported(At) == RolloutStage::Completed) {
      Completed = At;
      break;
    }
  }
  EXPECT_GT(Completed, Start + 8s);
  EXPECT_LT(Completed, Start + 15s);
  // A tenth of the requests of the whole time, and 50.
  EXPECT_LE(Fresh, 160 + 50);
  m_rollouts.recordResult("s", "v2", RolloutStage::Completed, m_replicas);
  EXPECT_EQ(send(m_rollouts, 20), 20);
  EXPECT_FALSE(m_rollouts.admits({.Service = "s", .Version = "v1"}));
  // Replicas of a later version are no old ones.
  EXPECT_TRUE(m_rollouts.admits({.Service = "s", .Version = "v3"}));
}

// One daemon sees too few requests to judge; the outcomes of all daemons
// decide, and a version that one daemon takes back gets nothing anywhere.
TEST_F(Rollouts, BadVersionIsTakenBackByTheOutcomesOfAll) {
  FleetRollouts Other;
  Other.applyOrder(m_order, Start);
  FleetRollouts Third;
  Third.applyOrder(m_order, Start);
  TimePoint At = Start;
  while (At < Start + 10s && reported(At) != RolloutStage::RolledBack) {
    At += 100ms;
    Other.recordOutcome("s", "v1", sample(false, At));
    Other.recordOutcome("s", "v2", sample(true, At));
    m_rollouts.receive(Other.statuses(At), Other.drainOutcomes(), At);
    m_rollouts.tick(m_replicas, 1, At);
  }
  EXPECT_LT(At, Start + 4s);
  EXPECT_TRUE(Third.receive(m_rollouts.statuses(At), {}, At));
  EXPECT_EQ(send(Third, 100), 0);
  EXPECT_FALSE(Third.admits({.Service = "s", .Version = "v2"}));
  EXPECT_TRUE(Third.admits({.Service = "s", .Version = "v1"}));
}

// A fault that shows only when the new version bears all requests of a small
// service: the canary is too small to bring it out, so the requests have to
// move early enough for the outcomes to be judged before the move is reported.
TEST_F(Rollouts, FaultUnderLoadIsFoundBeforeTheMoveIsReported) {
  int Requests = 0;
  int Fresh = 0;
  TimePoint At = Start;
  for (; reported(At) == RolloutStage::Canary && At < Start + 16s; At += 25ms) {
    m_rollouts.tick(m_replicas, 1, At);
    ++Requests;
    const bool ToFresh = send(m_rollouts, 1) == 1;
    Fresh += ToFresh ? 1 : 0;
    const bool BearsAll =
        m_rollouts.statuses(At).at(0).Stage == RolloutStage::Moving;
    m_rollouts.recordOutcome("s", ToFresh ? "v2" : "v1",
                             sample(BearsAll && Requests % 2 == 0, At));
  }
  EXPECT_EQ(reported(At), RolloutStage::RolledBack);
  // A tenth of the requests of the whole time, and 50.
  EXPECT_LE(Fresh, 64 + 50);
}

// Too few new replicas could not bear the load of the old ones.
TEST_F(Rollouts, WaitsForEnoughNewReplicas) {
  for (int I = 7; I < 12; ++I)
    m_replicas.remove("r" + std::to_string(I), std::nullopt);
  EXPECT_FALSE(m_rollouts.tick(m_replicas, 1, Start + 15s));
  EXPECT_EQ(reported(Start + 15s), RolloutStage::Canary);
}

// A daemon that starts in the middle of a move must not begin it anew.
TEST_F(Rollouts, RestartedDaemonGoesOnWhereTheOthersAre) {
  m_rollouts.tick(m_replicas, 1, Start + 13s);
  FleetRollouts Empty;
  Empty.receive(m_rollouts.statuses(Start + 13s), {}, Start + 13s);
  Empty.applyOrder(m_order, Start + 13s + 200ms);
  EXPECT_EQ(send(Empty, 10), 10);
  EXPECT_EQ(Empty.reports(Start + 14s).at(0).Stage, RolloutStage::Completed);
}

TEST(StateFreshness, MessagesThatWaitedThroughAFreezeDoNotCount) {
  // A daemon that stood still reads beats that are seconds old when it wakes;
  // trusting them would accept keys that were taken away meanwhile.
  StateFreshness Fresh;
  Fresh.tick(Start);
  Fresh.confirmedByPeer(10ms, Start + 100ms);
  EXPECT_EQ(Fresh.age(Start + 100ms), Duration(10ms));
  Fresh.confirmedByPeer(10ms, Start + 6s);
  EXPECT_GT(Fresh.age(Start + 6s), Duration(5s));
  EXPECT_TRUE(Fresh.tick(Start + 6s));
  Fresh.confirmedByPeer(10ms, Start + 6s + 50ms);
  EXPECT_GT(Fresh.age(Start + 6s + 50ms), Duration(5s));
  Fresh.tick(Start + 6s + 100ms);
  Fresh.tick(Start + 6s + 200ms);
  Fresh.confirmedByPeer(10ms, Start + 6s + 250ms);
  EXPECT_EQ(Fresh.age(Start + 6s + 250ms), Duration(10ms));
}

TEST(CrashWatch, CountsOnlyReplicasThatCouldNotBeReached) {
  CrashWatch Watch;
  Watch.connectionBroke(1, "a", Start);
  Watch.markAlive("a");
  Watch.markUnreachable("a", Start);
  Watch.connectionBroke(1, "b", Start);
  Watch.markUnreachable("b", Start + 100ms);
  EXPECT_FALSE(Watch.refuses(1, Start + 1s));
  Watch.connectionBroke(1, "c", Start + 1s);
  Watch.markUnreachable("c", Start + 1100ms);
  EXPECT_TRUE(Watch.refuses(1, Start + 2s));
  EXPECT_FALSE(Watch.refuses(2, Start + 2s));
  CrashWatch Peer;
  for (const SuspectCount &Each : Watch.newestSuspects(Start + 2s))
    Peer.merge(Each, Start + 2s);
  EXPECT_TRUE(Peer.refuses(1, Start + 3s));
}

TEST(IdleLimit, ShrinksWithLossesAndRecovers) {
  IdleLimit Limit;
  for (int I = 0; I < 10; ++I)
    Limit.onLostConnection();
  EXPECT_EQ(Limit.value(), IdleLimit::MinIdleTime);
  for (int I = 0; I < 1000; ++I)
    Limit.onReuse();
  EXPECT_EQ(Limit.value(), IdleLimit::MaxIdleTime);
}

TEST(EventCutter, HoldsBackTheBytesOfAnUnfinishedEvent) {
  EventCutter Cutter;
  EXPECT_EQ(Cutter.put("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(Cutter.lastId(), "1");
  EXPECT_EQ(Cutter.put("ta: id:9\n"), "");
  EXPECT_EQ(Cutter.put("\n"), "id: 2\ndata: id:9\n\n");
  EXPECT_EQ(Cutter.lastId(), "2");
}

TEST(ChooseDispatcher, MovesFewServicesWhenADaemonLeaves) {
  std::vector<DispatcherCandidate> All;
  All.reserve(10);
  for (int I = 0; I < 10; ++I)
    All.push_back({.Name = "d" + std::to_string(I)});
  std::vector<DispatcherCandidate> Fewer(All.begin(), All.end() - 1);
  int Moved = 0;
  for (int I = 0; I < 200; ++I) {
    const std::string Service = "s" + std::to_string(I);
    const DaemonName Before = chooseDispatcher(Service, All);
    if (Before != All.back().Name)
      EXPECT_EQ(chooseDispatcher(Service, Fewer), Before);
    else
      ++Moved;
  }
  EXPECT_GT(Moved, 0);
  EXPECT_EQ(chooseDispatcher("s", {}), "");
}

/// A dialect with short names, so that these tests need no platform.
class PlainDialect final : public Dialect {
public:
  Result<RequestMetadata>
  readRequest(const net::HeaderList &Headers) const override {
    RequestMetadata Facts;
    const auto Id = Headers.find("Id");
    if (!Id)
      return fail(ErrorKind::MalformedRequest, "no id");
    Facts.Id = *Id;
    Facts.Key = std::string(Headers.find("Key").value_or(""));
    if (const auto Tokens = Headers.find("Tokens")) {
      Facts.PromptTokens =
          static_cast<std::uint32_t>(std::stoul(std::string(*Tokens)));
      Facts.OutputTokens = 10;
      Facts.Prompt = {{.Id = 1, .Tokens = Facts.PromptTokens}};
    }
    return Facts;
  }
  net::HeaderList forward(const net::HeaderList &Received,
                          const ForwardMetadata &Facts) const override {
    net::HeaderList Out = net::endToEndFields(Received);
    Out.set("Replica", Facts.Replica);
    if (Facts.Workspace)
      Out.set("Workspace", *Facts.Workspace);
    if (!Facts.ResumeAfter.empty())
      Out.set("After", Facts.ResumeAfter);
    return Out;
  }
  AnswerMetadata readAnswer(const net::HttpAnswerHead &Head) const override {
    return {.Id = std::string(Head.Headers.find("Id").value_or("")),
            .NotRun = Head.Headers.find("Not-Run").has_value(),
            .Signed = Head.Headers.find("Sig").has_value()};
  }
  net::HeaderList answerHeaders(const net::HeaderList &Headers) const override {
    return net::endToEndFields(Headers);
  }
  std::string_view directoryPath() const override { return "/where"; }
  std::string directoryBody(const std::vector<HostPort> &Addresses,
                            std::chrono::seconds) const override {
    std::string Out;
    for (const HostPort &Each : Addresses)
      Out += toString(Each) + "\n";
    return Out;
  }
  std::string_view readinessPath() const override { return "/ready"; }
};

/// A replica whose reaction to each request the test chooses.
class ScriptedReplica {
public:
  using Reaction = std::function<void(net::ServerExchange &)>;

  ScriptedReplica(net::EventLoop &Loop, const Clock &Clk, const Reaction &React)
      : m_server(
            Loop, Clk,
            [this, React](const std::shared_ptr<net::ServerExchange> &Each) {
              ++Requests;
              Seen = Each->request().Headers;
              Kept.push_back(Each);
              React(*Each);
            }) {
    EXPECT_TRUE(m_server.listen({.Host = "127.0.0.1", .Port = 0}));
  }
  HostPort address() const {
    return {.Host = "127.0.0.1", .Port = m_server.port()};
  }

  int Requests = 0;
  net::HeaderList Seen;
  std::vector<std::shared_ptr<net::ServerExchange>> Kept;

private:
  net::HttpServer m_server;
};

struct GatewayFixture : ::testing::Test {
  GatewayFixture() {
    auto Port = [&] {
      return HostPort{.Host = "127.0.0.1",
                      .Port = nutmegdrift::testing::freePort()};
    };
    Settings = {.Name = "d1",
                .Zone = "z",
                .Front = Port(),
                .Readiness = Port(),
                .Directory = Port(),
                .Internal = Port(),
                .Metrics = Port(),
                .Store = Port()};
    Settings.Bounds.RetryFloor = 100;
    Gate.emplace(Loop, Clk, Log, Settings, Headers,
                 Gateway::Hooks{.OnStopped = [this] { Stopped = true; }});
    EXPECT_FALSE(errorOf([&] { return Gate->start(); }));
  }

  routing::Route route(const std::string &Prefix, routing::RequestKind Kind,
                       unsigned Replicas = 2) {
    return {.Name = Prefix,
            .Host = "h",
            .PathPrefix = Prefix,
            .Kind = Kind,
            .Timeout = 1500ms,
            .FirstByteTarget = 100ms,
            .Shares = {{"s", 1}},
            .MaxReplicas = Replicas};
  }
  void apply(std::uint64_t Version = 1,
             std::vector<routing::Workspace> Workspaces = {}) {
    using routing::RequestKind;
    Gate->setDesiredState(
        {.Version = Version,
         .Routes = {route("/safe/", RequestKind::Idempotent),
                    route("/once/", RequestKind::RunOnce),
                    route("/stream/", RequestKind::Stream),
                    route("/resume/", RequestKind::ResumableStream)},
         .Services = {{.Name = "s"}},
         .Workspaces = std::move(Workspaces)});
  }
  ScriptedReplica &replica(const ScriptedReplica::Reaction &React) {
    Replicas.push_back(std::make_unique<ScriptedReplica>(Loop, Clk, React));
    Gate->state().Replicas.upsert({.Id = "r" + std::to_string(Replicas.size()),
                                   .Service = "s",
                                   .Address = Replicas.back()->address(),
                                   .Zone = "z"},
                                  Clk.now());
    Gate->replicasChanged();
    return *Replicas.back();
  }
  static void good(net::ServerExchange &Each) {
    Each.answer(200, answerHeaders(Each), "done");
  }
  static net::HeaderList answerHeaders(net::ServerExchange &Each) {
    return {{"Id", std::string(Each.request().Headers.find("Id").value_or(""))},
            {"Sig", "x"}};
  }

  struct Answer {
    int Status = 0;
    std::string Body;
    net::HeaderList Headers;
    std::optional<net::ClientFailure> Failure;
  };
  Answer call(const std::string &Path, net::HeaderList Extra = {},
              const std::optional<HostPort> &To = std::nullopt) {
    Answer Got;
    bool Done = false;
    Caller = std::make_shared<net::ClientConnection>(
        Loop, Clk, To.value_or(Settings.Front));
    net::HttpRequest Request{.Method = "GET", .Target = Path};
    Request.Headers = std::move(Extra);
    Request.Headers.add("Host", "h");
    if (!Request.Headers.find("Id"))
      Request.Headers.add("Id", "id" + std::to_string(++LastId));
    Caller->send(net::serialise(Request), 1s,
                 {.OnHead =
                      [&](const net::HttpAnswerHead &Head) {
                        Got.Status = Head.Status;
                        Got.Headers = Head.Headers;
                      },
                  .OnBody = [&](std::string_view B) { Got.Body.append(B); },
                  .OnEnd = [&] { Done = true; },
                  .OnFailure =
                      [&](net::ClientFailure Why) {
                        Got.Failure = Why;
                        Done = true;
                      }});
    runUntil([&] { return Done; });
    EXPECT_TRUE(Done);
    Caller->close();
    return Got;
  }
  void runUntil(const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + 8s;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(20ms);
  }

  net::EventLoop Loop{1};
  SystemClock Clk;
  std::vector<std::string> Lines;
  DecisionLog Log{Clk,
                  "d1",
                  {.RequestLines = 1e6, .StateLines = 1e6, .FaultLines = 1e6},
                  [this](std::string_view Line) {
                    Lines.emplace_back(Line);
                    return true;
                  }};
  PlainDialect Headers;
  GatewaySettings Settings;
  std::vector<std::unique_ptr<ScriptedReplica>> Replicas;
  std::optional<Gateway> Gate;
  std::shared_ptr<net::ClientConnection> Caller;
  int LastId = 0;
  std::vector<std::unique_ptr<net::Timer>> Later;
  bool Stopped = false;
};

TEST_F(GatewayFixture, PassesAWholeAnswerOn) {
  apply();
  auto &Only = replica(good);
  const Answer Got = call("/safe/x");
  EXPECT_EQ(Got.Status, 200);
  EXPECT_EQ(Got.Body, "done");
  EXPECT_EQ(Only.Seen.find("Replica"), "r1");
}

TEST_F(GatewayFixture, KnowsNoDesiredStateIsNotAMissingRoute) {
  EXPECT_EQ(call("/safe/x").Status, 503);
  apply();
  EXPECT_EQ(call("/other/x").Status, 404);
}

TEST_F(GatewayFixture, KeysNeedAConfirmationOfTheStore) {
  // Without it a key that was taken away would be accepted on a VM that is cut
  // off from the store.
  apply(1, {{.Name = "w", .Keys = {"k"}}});
  auto &Only = replica(good);
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 503);
  Gate->stateConfirmed(Clk.now());
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 200);
  EXPECT_EQ(Only.Seen.find("Workspace"), "w");
  EXPECT_EQ(call("/safe/x", {{"Key", "other"}}).Status, 401);
  apply(2, {{.Name = "w", .Keys = {"k2"}}});
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 401);
}

TEST_F(GatewayFixture, AnOlderDesiredStateNeverReturns) {
  apply(5);
  Gate->setDesiredState({.Version = 4});
  replica(good);
  EXPECT_EQ(call("/safe/x").Status, 200);
}

TEST_F(GatewayFixture, RepeatsOnlyWhatMayRunTwice) {
  apply();
  auto Break = [](net::ServerExchange &Each) { Each.abort(); };
  replica(Break);
  replica(Break);
  EXPECT_EQ(call("/once/x").Status, 502);
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 1);
  call("/safe/x");
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 3);
}

TEST_F(GatewayFixture, ARefusedRequestGoesElsewhereAndIsPromisedNotToHaveRun) {
  apply();
  auto Refuse = [](net::ServerExchange &Each) {
    net::HeaderList Out = answerHeaders(Each);
    Out.add("Not-Run", "1");
    Each.answer(503, Out, "");
  };
  replica(Refuse);
  const Answer Refused = call("/once/x");
  EXPECT_EQ(Refused.Status, 429);
  EXPECT_TRUE(Refused.Headers.find("Retry-After"));
  replica(good);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(call("/once/x").Status, 200);
}

TEST_F(GatewayFixture, ASuccessWithoutASignatureIsNotPassedOn) {
  apply();
  replica([](net::ServerExchange &Each) {
    net::HeaderList Out = answerHeaders(Each);
    Out.remove("Sig");
    Each.answer(200, Out, "wrong");
  });
  const Answer Got = call("/once/x");
  EXPECT_EQ(Got.Status, 502);
  EXPECT_EQ(Got.Body.find("wrong"), std::string::npos);
}

TEST_F(GatewayFixture, AFailureOfAReplicaKeepsItsStatusAndBody) {
  apply();
  replica([](net::ServerExchange &Each) {
    Each.answer(500, answerHeaders(Each), "reason");
  });
  const Answer Got = call("/once/x");
  EXPECT_EQ(Got.Status, 500);
  EXPECT_EQ(Got.Body, "reason");
}

TEST_F(GatewayFixture, AnswersAtTheRoutesTimeout) {
  apply();
  replica([](net::ServerExchange &) {});
  const auto Began = Clk.now();
  EXPECT_EQ(call("/once/x").Status, 504);
  EXPECT_GE(Clk.now() - Began, Duration(1400ms));
}

TEST_F(GatewayFixture, AStreamGoesOnAfterTheLastWholeEvent) {
  apply();
  auto Serve = [this](net::ServerExchange &Each) {
    const auto After = Each.request().Headers.find("After");
    Each.begin(200, answerHeaders(Each), std::nullopt);
    if (After) {
      Each.write("id: 2\ndata: b\n\n");
      Each.finish();
      return;
    }
    Each.write("id: 1\ndata: a\n\nid: 2\nda");
    // The bytes leave before the connection breaks.
    Later.push_back(std::make_unique<net::Timer>(Loop));
    Later.back()->callAfter(50ms, [this] {
      for (const auto &Server : Replicas)
        for (const auto &Kept : Server->Kept)
          if (Kept->open())
            Kept->abort();
    });
  };
  replica(Serve);
  replica(Serve);
  const Answer Got = call("/resume/x");
  EXPECT_EQ(Got.Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_FALSE(Got.Failure);
}

TEST_F(GatewayFixture, ABrokenStreamThatMayNotBeResumedLooksBroken) {
  apply();
  replica([this](net::ServerExchange &Each) {
    Each.begin(200, answerHeaders(Each), std::nullopt);
    Each.write("id: 1\ndata: a\n\n");
    Later.push_back(std::make_unique<net::Timer>(Loop));
    Later.back()->callAfter(50ms,
                            [this] { Replicas[0]->Kept.back()->abort(); });
  });
  const Answer Got = call("/stream/x");
  EXPECT_TRUE(Got.Failure);
  EXPECT_EQ(Replicas[0]->Requests, 1);
}

TEST_F(GatewayFixture, TheReplicasWorkEndsWhenTheCallerLeaves) {
  apply();
  auto &Only = replica([](net::ServerExchange &) {});
  Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  Caller->send("GET /once/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s, {});
  runUntil([&] { return Only.Requests == 1; });
  Caller->close();
  runUntil([&] { return !Only.Kept.back()->open(); });
  EXPECT_FALSE(Only.Kept.back()->open());
}

TEST_F(GatewayFixture, ARequestWhoseCallerHasLeftIsNotSent) {
  // On a VM that was busy for over half a second, requests were read together
  // with the end of their connections and still sent on.
  apply();
  auto &Only = replica(good);
  Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  Caller->send("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s, {});
  // The connection is made and the request written, but the gateway's loop has
  // not read it when the caller closes.
  while (Lines.empty() || !Caller->connected())
    Loop.run_one_for(20ms);
  Caller->close();
  const auto End = Clk.now() + 200ms;
  runUntil([&] { return Clk.now() > End; });
  EXPECT_EQ(Only.Requests, 0);
}

TEST_F(GatewayFixture, AStopLeavesTheDirectoryAndServesWhatIsUnderWay) {
  apply();
  auto &Only = replica([](net::ServerExchange &) {});
  EXPECT_EQ(call("/ready", {}, Settings.Readiness).Status, 200);
  EXPECT_EQ(call("/where", {}, Settings.Directory).Body,
            toString(Settings.Front) + "\n");
  bool Served = false;
  Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  Caller->send("GET /once/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s,
               {.OnEnd = [&] { Served = true; }});
  runUntil([&] { return Only.Requests == 1; });
  const auto Serving = Caller;
  Gate->stop();
  EXPECT_EQ(call("/ready", {}, Settings.Readiness).Status, 503);
  EXPECT_EQ(call("/where", {}, Settings.Directory).Status, 503);
  EXPECT_FALSE(Stopped);
  good(*Only.Kept.back());
  runUntil([&] { return Stopped; });
  EXPECT_TRUE(Served);
  EXPECT_TRUE(Stopped);
}

TEST_F(GatewayFixture, ARequestThatRunsOnceTakesNoRestedConnection) {
  // The replica had closed the connection meanwhile, and a payment was answered
  // with 502 though it may have run.
  apply();
  replica(good);
  auto Opened = [&] { return call("/metrics", {}, Settings.Metrics).Body; };
  call("/once/x");
  const auto Rested = Clk.now() + EndpointPool::MaxRunOnceIdle + 50ms;
  runUntil([&] { return Clk.now() > Rested; });
  call("/safe/x");
  EXPECT_NE(Opened().find("connections-opened\"} 1"), std::string::npos);
  const auto Again = Clk.now() + EndpointPool::MaxRunOnceIdle + 50ms;
  runUntil([&] { return Clk.now() > Again; });
  call("/once/x");
  EXPECT_NE(Opened().find("connections-opened\"} 2"), std::string::npos);
}

TEST_F(GatewayFixture, EachRefusalHasALineWithItsRequest) {
  apply();
  call("/safe/x", {{"Id", "lost-one"}});
  bool Found = false;
  for (const std::string &Line : Lines)
    Found = Found || (Line.find("request=lost-one") != std::string::npos &&
                      Line.find("error=no-endpoint") != std::string::npos);
  EXPECT_TRUE(Found);
}

// A VM that got more requests than its processor bears answered all of them
// late, where it could have served a part in time.
TEST_F(GatewayFixture, ABusyDaemonRefusesAPartAtOnceWithATime) {
  apply();
  auto &Only = replica(good);
  // Each tick comes 100 ms late, which adds 0.03 to the part that is refused.
  const auto End = Clk.now() + 4s;
  while (Clk.now() < End) {
    std::this_thread::sleep_for(200ms);
    Loop.poll();
  }
  int Served = 0;
  int Refused = 0;
  for (int I = 0; I < 40; ++I) {
    // The demand of the workspaces is looked at with each tick.
    Loop.run_for(20ms);
    const Answer Got = call("/safe/x");
    if (Got.Status == 200) {
      ++Served;
      continue;
    }
    ++Refused;
    EXPECT_EQ(Got.Status, 429);
    EXPECT_TRUE(Got.Headers.find("Retry-After"));
  }
  EXPECT_GT(Served, 0);
  EXPECT_GT(Refused, 0);
  EXPECT_EQ(Only.Requests, Served);
}

TEST_F(GatewayFixture, MetricsAreServed) {
  apply();
  replica(good);
  call("/safe/x");
  const Answer Got = call("/metrics", {}, Settings.Metrics);
  EXPECT_NE(Got.Body.find("nutmegdrift_answers_total{status=\"200\"} 1"),
            std::string::npos);
}

} // namespace
} // namespace nutmegdrift::gateway
