// Tests of a planned stop: what is still accepted, begun and answered.
#include "gateway_fixture.h"

#include <gtest/gtest.h>

namespace nutmegdrift::gateway {
namespace {

using namespace std::chrono_literals;

struct PlannedStop : GatewayFixture {
  /// Opens the connection of statusOnOpenConnection().
  void openConnection() {
    m_open = std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  }
  /// Sends a request that may run only once, and waits for its answer.
  int statusOnOpenConnection() {
    int Status = 0;
    bool Ended = false;
    m_open->send(
        "GET /once/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s,
        {.OnHead =
             [&](const net::HttpAnswerHead &Head) { Status = Head.Status; },
         .OnEnd = [&] { Ended = true; },
         .OnFailure = [&](net::ClientFailure) { Ended = true; }});
    runUntil([&] { return Ended; });
    return Status;
  }

private:
  std::shared_ptr<net::ClientConnection> m_open;
};

TEST_F(PlannedStop, AStopLeavesTheDirectoryAndServesRunningRequests) {
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
  Daemon->stop();
  EXPECT_EQ(call("/ready", {}, Settings.Readiness).Status, 503);
  EXPECT_EQ(call("/where", {}, Settings.Directory).Status, 503);
  EXPECT_FALSE(Stopped);
  answerDone(*Only.Exchanges.back());
  runUntil([&] { return Stopped; });
  EXPECT_TRUE(Served);
  EXPECT_TRUE(Stopped);
}

// Requests in progress at the end of the grace were cut off without an answer.
TEST_F(PlannedStop, TheEndOfTheGraceAnswersWhatIsInProgress) {
  apply();
  auto &Only = replica([](net::ServerExchange &) {});
  GatewaySettings Short = Settings;
  Short.Bounds.StopGrace = 1000ms;
  Daemon->reload(Short);
  Answer Received;
  bool Done = false;
  Caller = std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  Caller->send("GET /once/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s,
               {.OnHead =
                    [&](const net::HttpAnswerHead &Head) {
                      Received.Status = Head.Status;
                    },
                .OnEnd = [&] { Done = true; },
                .OnFailure =
                    [&](net::ClientFailure Failure) {
                      Received.Failure = Failure;
                      Done = true;
                    }});
  runUntil([&] { return Only.Requests == 1; });
  Daemon->stop();
  runUntil([&] { return Stopped; });
  EXPECT_TRUE(Stopped);
  runUntil([&] { return Done; });
  // It may have run, so it must not be promised that it has not.
  EXPECT_EQ(Received.Status, 502);
  EXPECT_FALSE(Received.Failure);
}

// With a short grace, requests were accepted until its end and then cut.
TEST_F(PlannedStop, ARequestLateInAShortGraceIsRefused) {
  apply();
  auto &Only = replica(answerDone);
  GatewaySettings Short = Settings;
  Short.Bounds.StopGrace = 2400ms;
  Daemon->reload(Short);
  openConnection();
  EXPECT_EQ(statusOnOpenConnection(), 200);
  Daemon->stop();
  Clk.pause(1000ms);
  EXPECT_EQ(statusOnOpenConnection(), 503);
  EXPECT_EQ(Only.Requests, 1);
}

// A stall of the loop made the daemon read the signal late, and a request that
// was sent more than 3 s after it was taken and cut at the end of the grace.
TEST_F(PlannedStop, AStallBeforeTheStopDoesNotProlongTheTimeToAccept) {
  apply();
  auto &Only = replica(answerDone);
  GatewaySettings Long = Settings;
  Long.Bounds.StopGrace = 8s;
  Daemon->reload(Long);
  openConnection();
  EXPECT_EQ(statusOnOpenConnection(), 200);
  const TimePoint TicksUntil = Clk.now() + 3 * StateFreshness::TickInterval;
  runUntil([&] { return Clk.now() > TicksUntil; });
  Clk.pause(800ms); // The signal comes at the beginning of it.
  Daemon->stop();
  Clk.pause(2300ms);
  EXPECT_EQ(statusOnOpenConnection(), 503);
  EXPECT_EQ(Only.Requests, 1);
}

// A request that may run only once was begun although the daemon stopped before
// its usual end, and was cut.
TEST_F(PlannedStop, ARequestThatCantEndBeforeTheStopIsNotBegun) {
  apply();
  auto &Only = replica([this](net::ServerExchange &Exchange) {
    Clk.pause(1300ms); // The time that each request takes.
    answerDone(Exchange);
  });
  GatewaySettings Short = Settings;
  Short.Bounds.StopGrace = 2000ms;
  Daemon->reload(Short);
  EXPECT_EQ(call("/once/x").Status, 200);
  const auto Open =
      std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  int Status = 0;
  Open->send("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s,
             {.OnHead = [&](const net::HttpAnswerHead &Head) {
               Status = Head.Status;
             }});
  runUntil([&] { return Status != 0; });
  Daemon->stop();
  Status = 0;
  Open->send("GET /once/x HTTP/1.1\r\nHost: h\r\nId: j\r\n\r\n", 1s,
             {.OnHead = [&](const net::HttpAnswerHead &Head) {
               Status = Head.Status;
             }});
  runUntil([&] { return Status != 0; });
  EXPECT_EQ(Status, 503);
  EXPECT_EQ(Only.Requests, 2);
}

TEST(RunTimeEstimate, ExpectsMoreThanTheMeanRun) {
  RunTimeEstimate Estimate;
  EXPECT_EQ(Estimate.expected(), Duration{0});
  for (int I = 0; I < 200; ++I)
    Estimate.record(I % 2 == 0 ? 100ms : 300ms);
  EXPECT_GT(Estimate.expected(), 250ms);
  EXPECT_LT(Estimate.expected(), 600ms);
}

// The mean of a route with a long tail was taken for the time that a request
// needs, and requests were begun in a stop that could not end before it.
TEST(RunTimeEstimate, CoversTheLongRunsOfARoute) {
  RunTimeEstimate Estimate;
  for (int I = 0; I < 200; ++I)
    Estimate.record(I % 16 == 0 ? 4s : 200ms);
  EXPECT_GE(Estimate.expected(), 4s);
}

TEST(RunTimeEstimate, AShortAnswerTakesLessThanTheLongestRun) {
  RunTimeEstimate Estimate;
  for (std::size_t I = 0; I < RunTimeEstimate::Runs; ++I)
    Estimate.record(I % 2 == 0 ? 8s : 1s, I % 2 == 0 ? 400 : 40);
  EXPECT_GE(Estimate.expected(20), 500ms);
  EXPECT_LT(Estimate.expected(20), 550ms);
  EXPECT_GE(Estimate.expected(4000), 8s);
  EXPECT_LT(Estimate.expected(4000), 9s);
  EXPECT_EQ(Estimate.expected(), Estimate.expected(4000));
}

// The number of tokens comes from the caller.
TEST(RunTimeEstimate, AHugeNumberOfTokensTakesTheLongestRun) {
  RunTimeEstimate Estimate;
  Estimate.record(12s, 1);
  for (const std::uint32_t Tokens : {1U << 30U, UINT32_MAX}) {
    EXPECT_GE(Estimate.expected(Tokens), 12s);
    EXPECT_LE(Estimate.expected(Tokens), 18s);
  }
}

TEST(RunTimeEstimate, ForgetsOldRuns) {
  RunTimeEstimate Estimate;
  Estimate.record(8s);
  for (std::size_t I = 0; I < RunTimeEstimate::Runs; ++I)
    Estimate.record(1s);
  EXPECT_LT(Estimate.expected(), 1100ms);
}

// A request whose caller is connected, but whose bytes come after the stop
// signal, is served like the others.
TEST_F(PlannedStop, AStopServesRequestsOnOpenConnections) {
  apply();
  replica(answerDone);
  const auto Open =
      std::make_shared<net::ClientConnection>(Loop, Clk, Settings.Front);
  int Served = 0;
  auto Send = [&] {
    Open->send("GET /once/x HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n", 1s,
               {.OnEnd = [&] { ++Served; }});
  };
  Send();
  runUntil([&] { return Served == 1; });
  Daemon->stop();
  Send();
  runUntil([&] { return Served == 2; });
  EXPECT_EQ(Served, 2);
}

} // namespace
} // namespace nutmegdrift::gateway
