// Tests of a gateway's parts without I/O, and of complete calls between a raw
// caller and a scripted replica on real sockets.
#include "gateway_fixture.h"

#include <gtest/gtest.h>

#include <thread>

namespace nutmegdrift::gateway {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

TEST(Settings, NamesTheFieldAndItsLine) {
  const auto Failure = errorOf([] {
    return parseGatewaySettings(
        "name: a\nzone: z\nlisten:\n  front: nowhere\n");
  });
  ASSERT_TRUE(Failure);
  EXPECT_EQ(Failure->Kind, ErrorKind::InvalidSettings);
  EXPECT_NE(Failure->Message.find("front"), std::string::npos);
  EXPECT_NE(Failure->Message.find("line 4"), std::string::npos);
}

TEST(Settings, RefusesValuesThatCannotWork) {
  const std::string ValidSettings =
      "name: a\nzone: z\nstore: 127.0.0.1:1\nlisten:\n"
      "  front: 127.0.0.1:2\n  readiness: 127.0.0.1:3\n"
      "  directory: 127.0.0.1:4\n  internal: 127.0.0.1:5\n"
      "  metrics: 127.0.0.1:6\n";
  EXPECT_FALSE(errorOf([&] { return parseGatewaySettings(ValidSettings); }));
  EXPECT_TRUE(errorOf([&] {
    return parseGatewaySettings(ValidSettings +
                                "bounds:\n  stop_grace_ms: -1\n");
  }));
  EXPECT_TRUE(errorOf([&] {
    return parseGatewaySettings(ValidSettings +
                                "bounds:\n  retry_floor: .inf\n");
  }));
  EXPECT_TRUE(errorOf([&] {
    return parseGatewaySettings(ValidSettings +
                                "dispatch:\n  reading_duty: fast\n");
  }));
}

// A deployment may have any bounds; a daemon that does not start serves nobody.
TEST(Settings, AcceptsFractionsZeroAndLargeBounds) {
  const std::string Text =
      "name: a\nzone: z\nstore: 127.0.0.1:1\nlisten:\n"
      "  front: 127.0.0.1:2\n  readiness: 127.0.0.1:3\n"
      "  directory: 127.0.0.1:4\n  internal: 127.0.0.1:5\n"
      "  metrics: 127.0.0.1:6\nmemory_mb: 160.5\ndescriptors: 1e12\n"
      "bounds:\n  key_revocation_ms: 5000.5\n  stop_grace_s: 7.5\n"
      "  store_catch_up_ms: 0\n"
      "  retry_share: 0\n  retry_window_s: 2.5\n  retry_floor: 35.8\n"
      "  cold_overage: 0\n  revoke_when_partitioned: false\n"
      "callers:\n  memory_share: 0.25\n  stall_ms: 500.5\n";
  GatewaySettings Read;
  EXPECT_FALSE(errorOf([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(Read, parseGatewaySettings(Text));
    return {};
  }));
  EXPECT_EQ(Read.Bounds.KeyRevocation, 5000ms);
  EXPECT_EQ(Read.Bounds.StopGrace, 7500ms);
  EXPECT_EQ(Read.Bounds.StoreCatchUp, 0ms);
  EXPECT_EQ(Read.Bounds.RetryWindow, 2500ms);
  EXPECT_DOUBLE_EQ(Read.Bounds.RetryFloor, 35.8);
  EXPECT_FALSE(Read.Bounds.RevokeWhenPartitioned);
  EXPECT_EQ(Read.MemoryMegabytes, 160U);
  EXPECT_EQ(Read.Callers,
            (CallerShares{.MemoryShare = 0.25, .StallTime = 500ms}));
}

TEST(FleetMessages, RoundTripThroughTheirEncoding) {
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
      .Suspects = {{.Fingerprint = 5, .Crashed = {"r1", "r2"}, .Age = 70ms}},
      .Rollouts = {{.Service = "s",
                    .Version = "v2",
                    .Stage = RolloutStage::Moving,
                    .Elapsed = 900ms,
                    .Sent = {.All = 40, .New = 2}}},
      .Outcomes = {{.Service = "s",
                    .Version = "v2",
                    .Sample = {.Route = "r",
                               .FromNewVersion = true,
                               .Failed = true,
                               .FirstToken = 3ms,
                               .TokenGap = 2us}}},
      .Quarantine = {{.Service = "s", .Parts = {1, ~0ULL}, .Age = 5ms}},
      .Limits =
          {{.Service = "s", .Replica = "r", .PerSecond = 6.7, .Age = 9ms}},
      .WallMicros = 1'700'000'000'000'000,
      .Demand = {{.Service = "s",
                  .Replicas = 61.5,
                  .UnservedShare = 0.25,
                  .Measured = 1500ms,
                  .Failing = {"r1", "r2"}}},
      .Contact = policy::StoreContact::Lost};
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
                   .ReportDelay = Milliseconds(70),
                   .Sender = "d"},
      WithdrawRequest{.Sequence = 2},
      StartedReport{.Sequence = 3, .TimeToFirstEvent = Milliseconds(40)},
      StartedReport{.Sequence = 3, .RateLimit = 2.5},
      EndedReport{.Sequence = 3, .RateLimit = 0.0},
      EndedReport{.Sequence = 4,
                  .Outcome = routing::ReplicaOutcome::Unresponsive},
      EndedReport{.Sequence = 4,
                  .Outcome = routing::ReplicaOutcome::Failed,
                  .Crash = CrashReport{.Service = "s",
                                       .Replica = "r",
                                       .Parts = {1, ~0ULL},
                                       .SentAgo = Milliseconds(3)}},
      PlaceGrant{.Sequence = 5, .Replica = "r", .FetchFrom = "r2"},
      PlaceRefusal{
          .Sequence = 6, .RetryAfter = 400ms, .PredictedFirstToken = 900ms},
      DispatcherKeepAlive{}};
  std::string Buffer;
  for (const PlacementMessage &Message : Messages)
    Buffer += encodeFrame(Message);
  bool Malformed = false;
  for (const PlacementMessage &Message : Messages)
    EXPECT_EQ(decodeFrame(Buffer, Malformed), Message);
  EXPECT_FALSE(Malformed);
  Buffer = std::string("\0\0\0\2zz", 6);
  EXPECT_FALSE(decodeFrame(Buffer, Malformed));
  EXPECT_TRUE(Malformed);
}

// Heartbeats of all daemons to all others grow with the square of the fleet.
TEST(HeartbeatSchedule, ADaemonReceivesAsManyHeartbeatsInALargeFleet) {
  constexpr double Bound = 2.0 * HeartbeatSchedule::FullRateDaemons;
  for (const std::size_t Daemons : {8U, 64U, 195U, 370U}) {
    HeartbeatSchedule Schedule;
    int Sent = 0;
    for (TimePoint Now = Start; Now < Start + 60s;
         Now += HeartbeatSchedule::ShortInterval) {
      Heartbeat Value{.Ready = true};
      if (!Schedule.due(Value, Daemons, false, Now))
        continue;
      Schedule.sent(Value, Now);
      ++Sent;
    }
    EXPECT_LE(Sent / 60.0 * static_cast<double>(Daemons), Bound * 1.1)
        << Daemons << " daemons";
    EXPECT_GE(Sent, 20) << Daemons << " daemons";
  }
}

// News must not wait for the long interval, and the daemons on which others
// rely keep the short one.
TEST(HeartbeatSchedule, SendsNewsAtOnce) {
  HeartbeatSchedule Schedule;
  Heartbeat Value{.Ready = true};
  Schedule.sent(Value, Start);
  EXPECT_FALSE(Schedule.due(Value, 195, false, Start + 500ms));
  EXPECT_TRUE(Schedule.due(Value, 195, true, Start + 500ms));
  EXPECT_EQ(Value.Interval, 500ms);
  Heartbeat Stopping = Value;
  Stopping.Stopping = true;
  EXPECT_TRUE(Schedule.due(Stopping, 195, false, Start + 500ms));
  Heartbeat Rollout = Value;
  Rollout.Rollouts = {{.Service = "s", .Version = "v2"}};
  EXPECT_TRUE(Schedule.due(Rollout, 195, false, Start + 500ms));
  Heartbeat Lost = Value;
  Lost.Contact = policy::StoreContact::Lost;
  EXPECT_TRUE(Schedule.due(Lost, 195, false, Start + 500ms));
}

// A daemon that announces a long interval is not lost in between, and one that
// announces none is judged by the short one.
TEST(FleetView, JudgesADaemonByItsOwnInterval) {
  FleetView View;
  View.record({.Daemon = "slow", .Interval = 1500ms}, Start);
  View.record({.Daemon = "fast"}, Start);
  EXPECT_FALSE(View.lost("slow", Start + 4s));
  EXPECT_TRUE(View.lost("fast", Start + 1800ms));
  EXPECT_TRUE(View.lost("slow", Start + 5200ms));
  EXPECT_FALSE(View.lost("unknown", Start));
}

// The library's msgpack reader recurses once per level: one datagram of nested
// arrays overflowed the stack of every daemon that it reached.
TEST(FleetMessages, DeepNestingIsMalformed) {
  EXPECT_FALSE(decodeHeartbeat(std::string(65000, '\x91')));
  const std::string Nested(1000000, '\x91');
  std::string Buffer;
  for (const unsigned Shift : {24U, 16U, 8U, 0U})
    Buffer += static_cast<char>((Nested.size() >> Shift) & 0xFFU);
  Buffer += Nested;
  bool Malformed = false;
  EXPECT_FALSE(decodeFrame(Buffer, Malformed));
  EXPECT_TRUE(Malformed);
}

/// Changes, removes or repeats a few bytes.
std::string mutate(std::string Bytes, Random &Rng) {
  const std::uint64_t Changes = 1 + Rng() % 4;
  for (std::uint64_t I = 0; I < Changes && !Bytes.empty(); ++I) {
    const std::size_t At = Rng() % Bytes.size();
    switch (Rng() % 4) {
    case 0:
      Bytes[At] = static_cast<char>(Rng());
      break;
    case 1:
      Bytes.erase(At, 1 + Rng() % 8);
      break;
    case 2:
      Bytes.insert(At, Bytes.substr(At, 1 + Rng() % 64));
      break;
    default:
      Bytes.resize(At);
    }
  }
  return Bytes;
}

// One damaged message must not end the process or be read beyond its end.
TEST(FleetMessages, DamagedMessagesAreReadOrRefused) {
  Random Rng(7);
  const std::string Beat =
      encode({.Daemon = "d",
              .Revisions = {1, 2},
              .Peers = {{.Host = "10.0.0.2", .Port = 2}},
              .Suspects = {{.Fingerprint = 5, .Crashed = {"r1"}}},
              .Rollouts = {{.Service = "s", .Version = "v"}},
              .Outcomes = {{.Service = "s", .Sample = {.Route = "r"}}}});
  const std::string Frame =
      encodeFrame(PlaceRequest{.Sequence = 1,
                               .Service = "s",
                               .Prompt = {{.Id = 9, .Tokens = 5}},
                               .Tried = {"r"}}) +
      encodeFrame(EndedReport{.Sequence = 4});
  std::size_t Read = 0;
  for (int I = 0; I < 20000; ++I) {
    Read += decodeHeartbeat(mutate(Beat, Rng)) ? 1 : 0;
    std::string Buffer = mutate(Frame, Rng);
    bool Malformed = false;
    std::size_t Left = Buffer.size();
    while (!Malformed && decodeFrame(Buffer, Malformed)) {
      ASSERT_LT(Buffer.size(), Left);
      Left = Buffer.size();
    }
  }
  EXPECT_GT(Read, 0U);
}

TEST(Settings, DamagedSettingsAreReadOrRefused) {
  Random Rng(7);
  const std::string Valid =
      "name: a\nzone: z\nstore: 127.0.0.1:1\nlisten:\n"
      "  front: 127.0.0.1:2\n  readiness: 127.0.0.1:3\n"
      "  directory: 127.0.0.1:4\n  internal: 127.0.0.1:5\n"
      "  metrics: 127.0.0.1:6\nseeds:\n  - \"127.0.0.1:7\"\n"
      "bounds:\n  retry_floor: 3\ndispatch:\n  reading_duty: 0.5\n";
  std::size_t Refused = 0;
  for (int I = 0; I < 3000; ++I)
    if (errorOf([&] { return parseGatewaySettings(mutate(Valid, Rng)); }))
      ++Refused;
  EXPECT_GT(Refused, 0U);
}

// A time that overflows when it is added to the clock's is undefined behaviour,
// and a weight that is no number would make a daemon the dispatcher for good.
TEST(FleetMessages, ValuesOutOfRangeAreLimitedOrMalformed) {
  std::string Buffer =
      encodeFrame(PlaceRequest{.Sequence = 1, .Age = Milliseconds::max()});
  bool Malformed = false;
  const auto Decoded = decodeFrame(Buffer, Malformed);
  ASSERT_TRUE(Decoded);
  EXPECT_LT(std::get<PlaceRequest>(*Decoded).Age, std::chrono::hours(10000));
  Heartbeat Invalid{.Daemon = "d", .Weight = std::nan("")};
  EXPECT_FALSE(decodeHeartbeat(encode(Invalid)));
  EXPECT_FALSE(decodeHeartbeat(encode({.Daemon = "d", .Interval = 0ms})));
  EXPECT_FALSE(decodeHeartbeat(encode({.Daemon = "d", .Interval = 1h})));
  const auto NoContact = static_cast<policy::StoreContact>(
      static_cast<int>(policy::StoreContact::Lost) + 1);
  EXPECT_FALSE(decodeHeartbeat(encode({.Daemon = "d", .Contact = NoContact})));
}

TEST(StateFreshness, MessagesReceivedDuringAStallAreIgnored) {
  // After a stall a daemon reads heartbeats that are seconds old. Trusting them
  // would accept keys that were revoked meanwhile.
  StateFreshness Freshness;
  Freshness.tick(Start);
  Freshness.confirmedByPeer(10ms, Start + 100ms);
  EXPECT_EQ(Freshness.age(Start + 100ms), Duration(10ms));
  Freshness.confirmedByPeer(10ms, Start + 6s);
  EXPECT_GT(Freshness.age(Start + 6s), Duration(5s));
  EXPECT_TRUE(Freshness.tick(Start + 6s));
  Freshness.confirmedByPeer(10ms, Start + 6s + 50ms);
  EXPECT_GT(Freshness.age(Start + 6s + 50ms), Duration(5s));
  Freshness.tick(Start + 6s + 100ms);
  Freshness.tick(Start + 6s + 200ms);
  Freshness.confirmedByPeer(10ms, Start + 6s + 250ms);
  EXPECT_EQ(Freshness.age(Start + 6s + 250ms), Duration(10ms));
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
  for (const SuspectCount &Suspect : Watch.newestSuspects(Start + 2s))
    Peer.merge(Suspect, Start + 2s);
  EXPECT_TRUE(Peer.refuses(1, Start + 3s));
}

TEST(CrashWatch, ARefusalIsReportedHoweverManySuspectsAreNewer) {
  CrashWatch Watch;
  constexpr std::uint64_t Refused = 9999999;
  Watch.merge({.Fingerprint = Refused, .Crashed = {"a", "b"}}, Start);
  for (std::uint64_t I = 0; I < 5000; ++I) {
    const std::string Replica = std::to_string(I);
    Watch.connectionBroke(I, Replica, Start + 1s);
    Watch.markUnreachable(Replica, Start + 1s);
  }
  EXPECT_TRUE(Watch.refuses(Refused, Start + 2s));
  const auto Reported = Watch.newestSuspects(Start + 2s);
  ASSERT_FALSE(Reported.empty());
  EXPECT_EQ(Reported.front().Fingerprint, Refused);
  EXPECT_EQ(Reported.front().Age, 2s);
  EXPECT_LE(Reported.size(), CrashWatch::MaxReported);
}

// Two daemons that drop a suspect at different times must not hand it back and
// forth.
TEST(CrashWatch, ASuspectThatOthersStillReportExpires) {
  CrashWatch Early;
  CrashWatch Late;
  Early.merge({.Fingerprint = 5, .Crashed = {"a", "b"}}, Start);
  for (TimePoint Now = Start; Now < Start + 2 * CrashWatch::RefusalTime;
       Now += 10s) {
    for (const SuspectCount &Suspect : Early.newestSuspects(Now))
      Late.merge(Suspect, Now + 100ms);
    for (const SuspectCount &Suspect : Late.newestSuspects(Now + 200ms))
      Early.merge(Suspect, Now + 300ms);
  }
  const TimePoint End = Start + 2 * CrashWatch::RefusalTime;
  EXPECT_FALSE(Early.refuses(5, End));
  EXPECT_FALSE(Late.refuses(5, End));
}

TEST(PromptQuarantine, RefusesOnlyPromptsWithAllParts) {
  PromptQuarantine Entries;
  EXPECT_TRUE(Entries.merge({.Service = "s", .Parts = {7, 9}}, Start));
  EXPECT_FALSE(Entries.merge({.Service = "s", .Parts = {7, 9}}, Start));
  EXPECT_TRUE(Entries.refuses("s", {1, 9, 7}, Start + 1s));
  EXPECT_FALSE(Entries.refuses("s", {1, 9}, Start + 1s));
  EXPECT_FALSE(Entries.refuses("other", {7, 9}, Start + 1s));
}

// Two daemons that drop an entry at different times must not hand it back and
// forth, and one that starts later learns of it.
TEST(PromptQuarantine, ReachesOthersAndExpires) {
  PromptQuarantine Early;
  PromptQuarantine Late;
  for (std::uint64_t Part = 1; Part <= 100; ++Part)
    Early.merge({.Service = "s", .Parts = {Part}}, Start);
  TimePoint Now = Start + 10min;
  for (; Now < Start + 12min; Now += 500ms)
    for (const QuarantinedParts &Entry : Early.report(Now))
      Late.merge(Entry, Now + 100ms);
  for (std::uint64_t Part = 1; Part <= 100; ++Part)
    EXPECT_TRUE(Late.refuses("s", {Part}, Now));
  for (; Now < Start + 2 * PromptQuarantine::RefusalTime; Now += 10s) {
    for (const QuarantinedParts &Entry : Early.report(Now))
      Late.merge(Entry, Now + 100ms);
    for (const QuarantinedParts &Entry : Late.report(Now + 200ms))
      Early.merge(Entry, Now + 300ms);
  }
  EXPECT_FALSE(Early.refuses("s", {7}, Now));
  EXPECT_FALSE(Late.refuses("s", {7}, Now));
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
    const DaemonName Chosen = chooseDispatcher(Service, All);
    if (Chosen != All.back().Name)
      EXPECT_EQ(chooseDispatcher(Service, Fewer), Chosen);
    else
      ++Moved;
  }
  EXPECT_GT(Moved, 0);
  EXPECT_EQ(chooseDispatcher("s", {}), "");
}

TEST_F(GatewayFixture, ForwardsACompleteAnswer) {
  apply();
  auto &Only = replica(answerDone);
  const Answer Received = call("/safe/x");
  EXPECT_EQ(Received.Status, 200);
  EXPECT_EQ(Received.Body, "done");
  EXPECT_EQ(Only.LastHeaders.find("Replica"), "r1");
}

TEST_F(GatewayFixture, MissingDesiredStateIsNotAMissingRoute) {
  EXPECT_EQ(call("/safe/x").Status, 503);
  apply();
  EXPECT_EQ(call("/other/x").Status, 404);
}

TEST_F(GatewayFixture, KeysNeedAConfirmationOfTheStore) {
  // Without it a revoked key would be accepted on a VM that is cut off from the
  // store.
  apply(1, {{{.Name = "w", .Keys = {"k"}}}});
  auto &Only = replica(answerDone);
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 503);
  Daemon->stateConfirmed(Clk.now());
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 200);
  EXPECT_EQ(Only.LastHeaders.find("Workspace"), "w");
  EXPECT_EQ(call("/safe/x", {{"Key", "other"}}).Status, 401);
  apply(2, {{{.Name = "w", .Keys = {"k2"}}}});
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 401);
}

// The last workspace was taken away, and with it every key: revoked and unknown
// keys were accepted, and passed on to replicas.
TEST_F(GatewayFixture, WithoutAWorkspaceNoKeyIsValid) {
  apply(1, {{{.Name = "w", .Keys = {"k"}}}});
  auto &Only = replica(answerDone);
  Daemon->stateConfirmed(Clk.now());
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 200);
  apply(2, std::vector<routing::Workspace>{});
  const auto RunBefore = Only.Requests;
  for (const char *Key : {"k", "other"})
    EXPECT_EQ(call("/safe/x", {{"Key", Key}}).Status, 401) << Key;
  EXPECT_EQ(call("/safe/x").Status, 401);
  EXPECT_EQ(Only.Requests, RunBefore);
}

// Where revocation need not hold behind a partition, refusing all keys in an
// outage of the store would only take service away.
TEST_F(GatewayFixture, KeysAreTrustedInAnOutageWhereTheDeploymentAllowsIt) {
  GatewaySettings Trusting = Settings;
  Trusting.Bounds.RevokeWhenPartitioned = false;
  Daemon->reload(Trusting);
  apply(1, {{{.Name = "w", .Keys = {"k"}}}});
  replica(answerDone);
  EXPECT_EQ(call("/safe/x", {{"Key", "k"}}).Status, 200);
  EXPECT_EQ(call("/safe/x", {{"Key", "other"}}).Status, 401);
}

TEST_F(GatewayFixture, AnOlderDesiredStateIsIgnored) {
  apply(5);
  Daemon->setDesiredState({.Version = 4});
  replica(answerDone);
  EXPECT_EQ(call("/safe/x").Status, 200);
}

TEST_F(GatewayFixture, RetriesOnlyRequestsThatMayRunTwice) {
  apply();
  auto Break = [](net::ServerExchange &Exchange) { Exchange.abort(); };
  replica(Break);
  replica(Break);
  EXPECT_EQ(call("/once/x").Status, 502);
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 1);
  call("/safe/x");
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 3);
}

TEST_F(GatewayFixture, ARefusedRequestGoesElsewhereAndIsPromisedNotToHaveRun) {
  apply();
  auto Refuse = [](net::ServerExchange &Exchange) {
    net::HeaderList Out = answerHeaders(Exchange);
    Out.add("Not-Run", "1");
    Exchange.answer(503, Out, "");
  };
  replica(Refuse);
  const Answer Refused = call("/once/x");
  EXPECT_EQ(Refused.Status, 429);
  EXPECT_TRUE(Refused.Headers.find("Retry-After"));
  replica(answerDone);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(call("/once/x").Status, 200);
}

TEST_F(GatewayFixture, ASuccessWithoutASignatureIsNotForwarded) {
  apply();
  replica([](net::ServerExchange &Exchange) {
    net::HeaderList Out = answerHeaders(Exchange);
    Out.remove("Sig");
    Exchange.answer(200, Out, "wrong");
  });
  const Answer Received = call("/once/x");
  EXPECT_EQ(Received.Status, 502);
  EXPECT_EQ(Received.Body.find("wrong"), std::string::npos);
}

TEST_F(GatewayFixture, AFailureOfAReplicaKeepsItsStatusAndBody) {
  apply();
  replica([](net::ServerExchange &Exchange) {
    Exchange.answer(500, answerHeaders(Exchange), "reason");
  });
  const Answer Received = call("/once/x");
  EXPECT_EQ(Received.Status, 500);
  EXPECT_EQ(Received.Body, "reason");
}

TEST_F(GatewayFixture, AnswersAtTheRoutesTimeout) {
  apply();
  replica([](net::ServerExchange &) {});
  const auto Began = Clk.now();
  EXPECT_EQ(call("/once/x").Status, 504);
  EXPECT_GE(Clk.now() - Began, Duration(1400ms));
}

TEST_F(GatewayFixture, AStreamResumesAfterTheLastCompleteEvent) {
  apply();
  auto Serve = [this](net::ServerExchange &Exchange) {
    const auto After = Exchange.request().Headers.find("After");
    Exchange.begin(200, answerHeaders(Exchange), std::nullopt);
    if (After) {
      Exchange.write("id: 2\ndata: b\n\n");
      Exchange.finish();
      return;
    }
    Exchange.write("id: 1\ndata: a\n\nid: 2\nda");
    // The delay lets the bytes arrive before the connection breaks.
    Timers.push_back(std::make_unique<net::Timer>(Loop));
    Timers.back()->callAfter(50ms, [this] {
      for (const auto &Server : Replicas)
        for (const auto &Pending : Server->Exchanges)
          if (Pending->open())
            Pending->abort();
    });
  };
  replica(Serve);
  replica(Serve);
  const Answer Received = call("/resume/x");
  EXPECT_EQ(Received.Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_FALSE(Received.Failure);
}

TEST_F(GatewayFixture, ABrokenStreamThatMayNotBeResumedIsAborted) {
  apply();
  replica([this](net::ServerExchange &Exchange) {
    Exchange.begin(200, answerHeaders(Exchange), std::nullopt);
    Exchange.write("id: 1\ndata: a\n\n");
    Timers.push_back(std::make_unique<net::Timer>(Loop));
    Timers.back()->callAfter(
        50ms, [this] { Replicas[0]->Exchanges.back()->abort(); });
  });
  const Answer Received = call("/stream/x");
  EXPECT_TRUE(Received.Failure);
  EXPECT_EQ(Replicas[0]->Requests, 1);
}

TEST_F(GatewayFixture, TheReplicaIsDisconnectedWhenTheCallerDisconnects) {
  apply();
  auto &Only = replica([](net::ServerExchange &) {});
  Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  Caller->send("GET /once/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s, {});
  runUntil([&] { return Only.Requests == 1; });
  Caller->close();
  runUntil([&] { return !Only.Exchanges.back()->open(); });
  EXPECT_FALSE(Only.Exchanges.back()->open());
}

TEST_F(GatewayFixture, ARequestWhoseCallerHasDisconnectedIsNotSent) {
  // On a VM that was busy for over half a second, requests were read together
  // with the end of their connections and still forwarded.
  apply();
  auto &Only = replica(answerDone);
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

// A process that was paused for seconds between the check of a key and the next
// attempt sent the request on a permission that had run out.
TEST_F(GatewayFixture, APausedProcessDoesNotUseAnExpiredPermission) {
  RouteTimeout = 60s;
  apply(1, {{{.Name = "w", .Keys = {"k"}}}});
  Daemon->stateConfirmed(Clk.now());
  auto PauseAndRefuse = [this](net::ServerExchange &Exchange) {
    Clk.pause(Settings.Bounds.KeyRevocation + 100ms);
    net::HeaderList Out = answerHeaders(Exchange);
    Out.add("Not-Run", "1");
    Exchange.answer(503, Out, "");
  };
  replica(PauseAndRefuse);
  replica(PauseAndRefuse);
  const Answer Received = call("/once/x", {{"Key", "k"}});
  EXPECT_EQ(Received.Status, 503) << Received.Body;
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 1);
}

TEST_F(GatewayFixture, AKeyThatIsRevokedWhileARequestWaitsIsNotUsed) {
  apply(1, {{{.Name = "w", .Keys = {"k"}}}});
  Daemon->stateConfirmed(Clk.now());
  auto RevokeAndRefuse = [this](net::ServerExchange &Exchange) {
    apply(2, {{{.Name = "w", .Keys = {"k2"}}}});
    net::HeaderList Out = answerHeaders(Exchange);
    Out.add("Not-Run", "1");
    Exchange.answer(503, Out, "");
  };
  replica(RevokeAndRefuse);
  replica(RevokeAndRefuse);
  EXPECT_EQ(call("/once/x", {{"Key", "k"}}).Status, 401);
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 1);
}

// A deadline that passed while the process was paused must not start another
// attempt that nobody waits for.
TEST_F(GatewayFixture, APausedProcessDoesNotSendAfterTheDeadline) {
  apply();
  auto PauseAndRefuse = [this](net::ServerExchange &Exchange) {
    Clk.pause(10s);
    net::HeaderList Out = answerHeaders(Exchange);
    Out.add("Not-Run", "1");
    Exchange.answer(503, Out, "");
  };
  replica(PauseAndRefuse);
  replica(PauseAndRefuse);
  call("/safe/x");
  EXPECT_EQ(Replicas[0]->Requests + Replicas[1]->Requests, 1);
}

TEST_F(GatewayFixture, ARunOnceRequestUsesNoLongIdleConnection) {
  // The replica may have closed an idle connection. A payment that was sent on
  // one was answered with 502, which leaves open whether it has run.
  apply();
  replica(answerDone);
  auto MetricsText = [&] {
    return call("/metrics", {}, Settings.Metrics).Body;
  };
  call("/once/x");
  const auto IdleUntil = Clk.now() + EndpointPool::MaxRunOnceIdle + 50ms;
  runUntil([&] { return Clk.now() > IdleUntil; });
  call("/safe/x");
  EXPECT_NE(MetricsText().find("connections-opened\"} 1"), std::string::npos);
  const auto IdleUntilAgain = Clk.now() + EndpointPool::MaxRunOnceIdle + 50ms;
  runUntil([&] { return Clk.now() > IdleUntilAgain; });
  call("/once/x");
  EXPECT_NE(MetricsText().find("connections-opened\"} 2"), std::string::npos);
}

TEST_F(GatewayFixture, EachRefusalHasALineWithItsRequest) {
  apply();
  call("/safe/x", {{"Id", "lost-one"}});
  bool HasLine = false;
  for (const std::string &Line : Lines)
    HasLine = HasLine || (Line.find("request=lost-one") != std::string::npos &&
                          Line.find("error=no-endpoint") != std::string::npos);
  EXPECT_TRUE(HasLine);
}

// Without shedding, a VM with more requests than its processor can handle
// answers all of them late, where it could serve a part in time.
TEST_F(GatewayFixture, AnOverloadedDaemonRefusesAShareWithRetryAfter) {
  apply();
  auto &Only = replica(answerDone);
  // Each tick is 100 ms late, which adds 0.03 to the share that is refused.
  const auto End = Clk.now() + 4s;
  while (Clk.now() < End) {
    std::this_thread::sleep_for(200ms);
    Loop.poll();
  }
  int Served = 0;
  int Refused = 0;
  for (int I = 0; I < 40; ++I) {
    // Each tick evaluates the demand of the workspaces.
    Loop.run_for(20ms);
    const Answer Received = call("/safe/x");
    if (Received.Status == 200) {
      ++Served;
      continue;
    }
    ++Refused;
    EXPECT_EQ(Received.Status, 429);
    EXPECT_TRUE(Received.Headers.find("Retry-After"));
  }
  EXPECT_GT(Served, 0);
  EXPECT_GT(Refused, 0);
  EXPECT_EQ(Only.Requests, Served);
}

TEST_F(GatewayFixture, MetricsAreServed) {
  apply();
  replica(answerDone);
  call("/safe/x");
  const Answer Received = call("/metrics", {}, Settings.Metrics);
  EXPECT_NE(Received.Body.find("nutmegdrift_answers_total{status=\"200\"} 1"),
            std::string::npos);
}

} // namespace
} // namespace nutmegdrift::gateway
