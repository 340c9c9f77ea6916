// Guards the soak's own parts: a checker that overlooks a broken promise, and a
// link that shows no fault, would let every run pass.
#include "daemon_process.h"
#include "fake_store.h"

#include "nutmegdrift/net/client_connection.h"
#include "nutmegdrift/net/http_server.h"

#include "support/child_process.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace nutmegdrift::soak {
namespace {

using namespace std::chrono_literals;
using routing::RequestKind;

struct PromiseCheckerTest : ::testing::Test {
  void SetUp() override { Checker.Workspaces["k"] = "w"; }
  void send(const std::string &Id, RequestKind Kind, const char *Route = "r") {
    Checker.sent({.Id = Id,
                  .Daemon = "d",
                  .Key = "k",
                  .Route = Route,
                  .Kind = Kind,
                  .At = Clk.now(),
                  .Deadline = Clk.now() + 1s});
  }
  [[nodiscard]] bool violated(const std::string &Promise) const {
    return Checker.violations().size() == 1 &&
           Checker.violations().front().find(" promise=" + Promise + " ") !=
               std::string::npos;
  }

  /// Call right after something was added: requests may be denied for the bound
  /// of two seconds, and no longer.
  void expectDenialsOnlyWithinTheBound() {
    Clk.advance(1900ms);
    send("a", RequestKind::RunOnce);
    Checker.ended("a", Ending::Denied, "");
    EXPECT_EQ(Checker.violationCount(), 0U);
    Clk.advance(200ms);
    send("b", RequestKind::RunOnce);
    Checker.ended("b", Ending::Denied, "");
    EXPECT_TRUE(violated("allowed"));
  }

  /// Call right after a change that forbids replica x: requests may run there
  /// for the bound, and no longer.
  void expectRunsOnlyWithin(Duration Bound, const std::string &Promise) {
    Clk.advance(Bound - 100ms);
    send("a", RequestKind::RunOnce);
    Checker.ran("a", "x", "w");
    EXPECT_EQ(Checker.violationCount(), 0U);
    Clk.advance(200ms);
    send("b", RequestKind::RunOnce);
    Checker.ran("b", "x", "w");
    EXPECT_TRUE(violated(Promise));
  }

  ManualClock Clk;
  Disturbances Disturbed;
  PromiseChecker Checker{Clk, Disturbed, {}};
};

TEST_F(PromiseCheckerTest, SeesASecondRun) {
  send("a", RequestKind::RunOnce);
  Checker.ran("a", "x", "w");
  EXPECT_EQ(Checker.violationCount(), 0U);
  Checker.ran("a", "y", "w");
  EXPECT_TRUE(violated("run-once"));
}

TEST_F(PromiseCheckerTest, AllowsARepeatOfAnIdempotentRequest) {
  send("a", RequestKind::Idempotent);
  Checker.ran("a", "x", "w");
  Checker.ran("a", "y", "w");
  EXPECT_EQ(Checker.violationCount(), 0U);
}

TEST_F(PromiseCheckerTest, SeesARefusalOfARequestThatRan) {
  send("a", RequestKind::RunOnce);
  Checker.ran("a", "x", "w");
  Checker.ended("a", Ending::NotRun, "");
  EXPECT_TRUE(violated("not-run"));
}

TEST_F(PromiseCheckerTest, SeesARunAfterARefusal) {
  send("a", RequestKind::Idempotent);
  Checker.ended("a", Ending::NotRun, "");
  Checker.ran("a", "x", "w");
  EXPECT_TRUE(violated("not-run"));
}

TEST_F(PromiseCheckerTest, SeesARemovedKeyWhateverIsDisturbed) {
  Disturbed.begin("d", Clk.now());
  Checker.keyRemoved("k");
  expectRunsOnlyWithin(5000ms, "key-removed");
}

TEST_F(PromiseCheckerTest, SeesARequestAtAReplicaThatLeft) {
  Checker.replicaLeft("x");
  expectRunsOnlyWithin(2000ms, "replica-left");
}

TEST_F(PromiseCheckerTest, SeesARequestInAnEvacuatedZone) {
  Checker.replicaInZone("x", "z");
  Checker.zoneEvacuated("z");
  expectRunsOnlyWithin(5000ms, "evacuated");
  Checker.zoneTakenBack("z");
  send("c", RequestKind::RunOnce);
  Checker.ran("c", "x", "w");
  EXPECT_EQ(Checker.violationCount(), 1U);
}

// A daemon that was disturbed has time to learn what it missed, but not for
// ever.
TEST_F(PromiseCheckerTest, ExcusesDisturbedDaemonsForAWhile) {
  Disturbed.begin("d", Clk.now());
  Checker.routeRemoved("r");
  Clk.advance(3s);
  send("a", RequestKind::RunOnce);
  Checker.ran("a", "x", "w");
  EXPECT_EQ(Checker.violationCount(), 0U);
  Disturbed.end("d", Clk.now());
  Clk.advance(1min);
  Checker.routeRemoved("r");
  Clk.advance(3s);
  send("b", RequestKind::RunOnce);
  Checker.ran("b", "x", "w");
  EXPECT_TRUE(violated("route-removed"));
}

TEST_F(PromiseCheckerTest, SeesADeniedRequestOnAnAddedRoute) {
  Checker.routeAdded("r");
  expectDenialsOnlyWithinTheBound();
}

TEST_F(PromiseCheckerTest, SeesADeniedRequestWithAnAddedKey) {
  Checker.keyAdded("k");
  expectDenialsOnlyWithinTheBound();
}

TEST_F(PromiseCheckerTest, SeesARequestWithoutAnAnswer) {
  send("a", RequestKind::RunOnce);
  Clk.advance(1400ms);
  Checker.sweep();
  EXPECT_EQ(Checker.violationCount(), 0U);
  Clk.advance(200ms);
  Checker.sweep();
  EXPECT_TRUE(violated("answered-by-deadline"));
}

TEST_F(PromiseCheckerTest, SeesARequestThatAStopCut) {
  send("a", RequestKind::RunOnce);
  Checker.ran("a", "x", "w");
  Checker.stopping("d");
  Clk.advance(100ms);
  Checker.ended("a", Ending::Cut, "");
  EXPECT_TRUE(violated("stop-loses-nothing"));
}

TEST_F(PromiseCheckerTest, SeesAnotherWorkspace) {
  send("a", RequestKind::RunOnce);
  Checker.ran("a", "x", "other");
  EXPECT_TRUE(violated("workspace"));
}

// A daemon that was stopping at the end of the faults was never started again,
// and a run in which all of them were failed without a fault of theirs.
TEST(DaemonProcessTest, AStoppingProcessIsStartedAgain) {
  net::EventLoop Loop{1};
  SystemClock Clk;
  Disturbances Disturbed;
  PromiseChecker Checker{Clk, Disturbed, {}};
  platform::FakeStore Store(Loop, Clk);
  ASSERT_TRUE(Store.start());
  const std::string Directory = ::testing::TempDir() + "daemon_process_test";
  std::filesystem::create_directories(Directory);
  std::filesystem::remove(Directory + "/d0.log");
  const std::string Host = "127.9.0.1";
  DaemonProcess Tested(Loop, Clk, Disturbed, Checker,
                       {.Name = "d0",
                        .Host = Host,
                        .Zone = "z0",
                        .Seeds = {Host},
                        .Store = Store.address(),
                        .Directory = Directory,
                        .Program = DaemonProcess::BuiltProgram});
  const auto Starts = [&] {
    std::ifstream In(Directory + "/d0.log");
    int Found = 0;
    for (std::string Line; std::getline(In, Line);)
      Found += Line.find("event=daemon.started") != std::string::npos ? 1 : 0;
    return Found;
  };
  const auto Wait = [&](int Wanted) {
    const auto End = std::chrono::steady_clock::now() + 30s;
    while (Starts() < Wanted && std::chrono::steady_clock::now() < End) {
      Loop.run_for(20ms);
      Tested.poll();
    }
    return Starts() == Wanted;
  };
  Tested.start();
  ASSERT_TRUE(Wait(1));
  Tested.terminate();
  Tested.startWhenStopped();
  EXPECT_TRUE(Wait(2));
  EXPECT_EQ(Tested.unexplainedEnds(), 0U);
}

struct LinkTest : ::testing::Test {
  LinkTest() {
    EXPECT_TRUE(Server.listen({.Host = "127.0.0.1", .Port = 0}));
    Link.setTarget({.Host = "127.0.0.1", .Port = Server.port()});
    EXPECT_TRUE(Link.start("127.0.0.1"));
  }
  void send() {
    Outcome.clear();
    Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Link.address());
    Caller->send(
        net::serialise({.Method = "GET",
                        .Target = "/",
                        .Headers = {{"Host", "h"}},
                        .Body = {}}),
        1s,
        {.OnEnd = [this] { Outcome = "answered"; },
         .OnFailure =
             [this](net::ClientFailure Why) { Outcome = net::toString(Why); }});
  }
  std::string wait(Duration Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (Outcome.empty() && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(5ms);
    return Outcome;
  }

  net::EventLoop Loop{1};
  SystemClock Clk;
  int Requests = 0;
  net::HttpServer Server{
      Loop, Clk, [this](const std::shared_ptr<net::ServerExchange> &Each) {
        ++Requests;
        Each->answer(200, {}, "body");
      }};
  FaultyLink Link{Loop, Clk, {}};
  std::shared_ptr<net::ClientConnection> Caller;
  std::string Outcome;
};

TEST_F(LinkTest, CarriesARequestAndItsAnswer) {
  send();
  EXPECT_EQ(wait(10s), "answered");
}

TEST_F(LinkTest, HoldsAnAnswerBackUntilTheCutEnds) {
  Link.setFault({.CutBack = true});
  send();
  EXPECT_EQ(wait(200ms), "");
  EXPECT_EQ(Requests, 1);
  Link.setFault({});
  EXPECT_EQ(wait(10s), "answered");
}

TEST_F(LinkTest, HoldsARequestBackUntilTheCutEnds) {
  Link.setFault({.CutThere = true});
  send();
  EXPECT_EQ(wait(200ms), "");
  EXPECT_EQ(Requests, 0);
  Link.setFault({});
  EXPECT_EQ(wait(10s), "answered");
}

TEST_F(LinkTest, ResetsConnections) {
  Link.setFault({.CutBack = true});
  send();
  EXPECT_EQ(wait(100ms), "");
  Link.resetAll();
  EXPECT_EQ(wait(10s), "reset");
}

// A reset in the middle of answers, at any moment, must reach both ends.
TEST_F(LinkTest, ResetsConnectionsWhileBytesFlow) {
  constexpr int Rounds = 20;
  constexpr int Callers = 50;
  int Begun = 0;
  int Left = 0;
  const auto Write = [this](const std::shared_ptr<net::ServerExchange> &To,
                            const std::shared_ptr<net::Timer> &Next,
                            const auto &Again) -> void {
    if (!To->open())
      return;
    To->write("event\n");
    Next->callAfter(1ms, [To, Next, Again] { Again(To, Next, Again); });
  };
  net::HttpServer Streams(
      Loop, Clk, [&](const std::shared_ptr<net::ServerExchange> &Each) {
        Each->OnCallerDisconnected = [&Left] { ++Left; };
        ++Begun;
        Each->begin(200, {}, std::nullopt);
        Write(Each, std::make_shared<net::Timer>(Loop), Write);
      });
  ASSERT_TRUE(Streams.listen({.Host = "127.0.0.1", .Port = 0}));
  Link.setTarget({.Host = "127.0.0.1", .Port = Streams.port()});
  for (int I = 0; I < Rounds; ++I) {
    int Reset = 0;
    std::vector<std::shared_ptr<net::ClientConnection>> Open;
    for (int J = 0; J < Callers; ++J) {
      Open.push_back(
          std::make_shared<net::ClientConnection>(Loop, Clk, Link.address()));
      Open.back()->send(
          net::serialise({.Method = "GET",
                          .Target = "/",
                          .Headers = {{"Host", "h"}},
                          .Body = {}}),
          1s, {.OnFailure = [&Reset](net::ClientFailure) { ++Reset; }});
    }
    // A reset can only reach both ends of connections that have both.
    const auto BegunBy = std::chrono::steady_clock::now() + 10s;
    while (Begun < (I + 1) * Callers &&
           std::chrono::steady_clock::now() < BegunBy)
      Loop.run_one_for(1ms);
    ASSERT_EQ(Begun, (I + 1) * Callers);
    const auto ResetAt = std::chrono::steady_clock::now() + 20ms + I * 50us;
    while (std::chrono::steady_clock::now() < ResetAt)
      Loop.run_one_for(1ms);
    Link.resetAll();
    const auto End = std::chrono::steady_clock::now() + 2s;
    while (Reset < Callers && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(5ms);
    ASSERT_EQ(Reset, Callers) << "round " << I;
  }
  const auto End = std::chrono::steady_clock::now() + 5s;
  while (Left < Rounds * Callers && std::chrono::steady_clock::now() < End)
    Loop.run_one_for(5ms);
  EXPECT_EQ(Left, Rounds * Callers);
}

// Sockets that a started daemon inherited stayed open after the link had closed
// them, so callers waited for an answer that had been broken off.
TEST_F(LinkTest, StartedProcessesDontKeepConnectionsOpen) {
  Link.setFault({.CutBack = true});
  send();
  EXPECT_EQ(wait(100ms), "");
  const nutmegdrift::testing::ChildProcess Child("/bin/sleep", {"20"},
                                                 "/dev/null");
  Link.resetAll();
  EXPECT_EQ(wait(5s), "reset");
}

// A channel on which the store loses an answer returns nothing further.
TEST_F(LinkTest, AConnectionThatLostBytesStaysSilent) {
  Link.setFault({.Lose = true});
  send();
  EXPECT_EQ(wait(200ms), "");
  Link.setFault({});
  EXPECT_EQ(wait(300ms), "");
  send();
  EXPECT_EQ(wait(10s), "answered");
}

TEST_F(LinkTest, AcceptsNoConnectionUntilTheFaultEnds) {
  Link.setFault({.AcceptNone = true});
  const TimePoint Began = Clk.now();
  send();
  EXPECT_EQ(wait(5s), "connect-failed");
  EXPECT_GE(Clk.now() - Began, 900ms); // Not refused, but left waiting.
  EXPECT_EQ(Requests, 0);
  Link.setFault({});
  send();
  EXPECT_EQ(wait(10s), "answered");
}

TEST_F(LinkTest, AWaitingConnectionThatLostNothingGoesOn) {
  std::shared_ptr<net::ServerExchange> Waiting;
  net::HttpServer Slow(Loop, Clk,
                       [&](const std::shared_ptr<net::ServerExchange> &Each) {
                         Waiting = Each;
                       });
  ASSERT_TRUE(Slow.listen({.Host = "127.0.0.1", .Port = 0}));
  Link.setTarget({.Host = "127.0.0.1", .Port = Slow.port()});
  send();
  EXPECT_EQ(wait(200ms), "");
  ASSERT_TRUE(Waiting);
  Link.setFault({.Lose = true});
  EXPECT_EQ(wait(50ms), "");
  Link.setFault({});
  Waiting->answer(200, {}, "body");
  EXPECT_EQ(wait(10s), "answered");
}

TEST_F(LinkTest, LosesTheRestOfAnAnswer) {
  std::size_t Received = 0;
  Link.setFault({.Lose = true, .PassedBack = 10});
  Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Link.address());
  Caller->send(
      net::serialise({.Method = "GET",
                      .Target = "/",
                      .Headers = {{"Host", "h"}},
                      .Body = {}}),
      1s,
      {.OnBody = [&](std::string_view Part) { Received += Part.size(); },
       .OnEnd = [this] { Outcome = "answered"; }});
  EXPECT_EQ(wait(300ms), "");
  EXPECT_EQ(Requests, 1);
  EXPECT_EQ(Received, 0U);
}

TEST_F(LinkTest, DelaysBothWays) {
  Link.setFault({.Delay = 100ms});
  const TimePoint Began = Clk.now();
  send();
  EXPECT_EQ(wait(10s), "answered");
  EXPECT_GE(Clk.now() - Began, 200ms);
}

} // namespace
} // namespace nutmegdrift::soak
