// Replicas that send late, endless, broken or foreign bytes, and callers that
// do, on real connections. Each test names the failure that it guards against.
#include "gateway_fixture.h"

#include <ctime>

namespace nutmegdrift::gateway {
namespace {

using testing::AfterReply;
using testing::fieldOf;
using testing::RawReply;

/// A complete answer to Request with its id as the body.
std::string answerTo(const std::string &Request) {
  const std::string Id = fieldOf(Request, "Id");
  return "HTTP/1.1 200 OK\r\nSig: x\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Id.size()) + "\r\n\r\n" + Id;
}

/// The head of an answer to Request, without its last empty line.
std::string headOf(const std::string &Request) {
  return "HTTP/1.1 200 OK\r\nSig: x\r\nId: " + fieldOf(Request, "Id") + "\r\n";
}

struct BrokenReplica : GatewayFixture {
  BrokenReplica() { apply(); }

  /// Writes Piece each 50 ms, Count times, and then ends the answer.
  void drip(net::ServerExchange &Exchange, const std::string &Piece,
            int Count) {
    Timers.push_back(std::make_unique<net::Timer>(Loop));
    net::Timer &Next = *Timers.back();
    Next.callAfter(50ms, [this, &Exchange, Piece, Count] {
      if (!Exchange.open())
        return;
      if (Count == 0) {
        Exchange.finish();
        return;
      }
      Exchange.write(Piece);
      drip(Exchange, Piece, Count - 1);
    });
  }

  /// Most bytes that may be read of something that is no answer, with what the
  /// sockets of both sides buffer.
  static constexpr std::uint64_t MaxForeignBytes = std::uint64_t{16} << 20U;
};

// A server sent a second copy of an answer, and the next caller on the
// connection got an answer that wasn't its own.
TEST_F(BrokenReplica, ALateSecondAnswerReachesNoOtherCaller) {
  for (const Duration Delay : {Duration(0ms), Duration(1ms), Duration(50ms)}) {
    auto &Only = rawReplica([Delay](const std::string &Request) {
      return RawReply{.Bytes = answerTo(Request),
                      .Late = answerTo(Request),
                      .LateAfter = Delay};
    });
    for (int I = 0; I < 40; ++I) {
      const std::string Id =
          "call-" + std::to_string(Delay.count()) + "-" + std::to_string(I);
      const Answer Received = call("/safe/x", {{"Id", Id}});
      EXPECT_EQ(Received.Status, 200);
      EXPECT_EQ(Received.Body, Id);
    }
    EXPECT_GE(Only.Requests, 40);
    Daemon->state().Replicas.remove("raw" + std::to_string(RawReplicas.size()),
                                    std::nullopt);
    Daemon->replicasChanged();
  }
}

// A second answer that arrives together with the first leaves the connection
// unusable, even though it could be skipped by its id.
TEST_F(BrokenReplica, AConnectionWithUnaskedBytesIsNotUsedAgain) {
  auto &Only = rawReplica([](const std::string &Request) {
    return RawReply{.Bytes = answerTo(Request) + answerTo(Request)};
  });
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(call("/safe/x").Status, 200);
  EXPECT_EQ(Only.Connections, 5);
}

// A replica stopped in the middle of its answer's head and closed, and callers
// got a success with an empty or short body.
TEST_F(BrokenReplica, AHeadCutAnywhereIsNoAnswer) {
  const std::vector<std::string> Framings = {
      "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
      "Content-Type: text/event-stream\r\n", ""};
  const std::vector<std::string> Interims = {
      "", "HTTP/1.1 102 Processing\r\nMore: x\r\n\r\n"};
  for (const char *Path : {"/safe/x", "/once/x", "/stream/x", "/resume/x"})
    for (const std::string &Interim : Interims)
      for (const std::string &Framing : Framings)
        for (const bool Kept : {false, true}) {
          SCOPED_TRACE(::testing::Message() << Path << ' ' << Framing << Interim
                                            << (Kept ? "kept" : "fresh"));
          const auto HeadFor = [&](const std::string &Request) {
            std::string Head = Interim;
            for (const std::string &Part :
                 {headOf(Request), Framing, std::string("\r\n")})
              Head += Part;
            return Head;
          };
          std::size_t Cut = 0;
          bool Whole = false;
          rawReplica([&](const std::string &Request) {
            if (Whole)
              return RawReply{.Bytes = answerTo(Request)};
            return RawReply{.Bytes = HeadFor(Request).substr(0, Cut),
                            .Then = AfterReply::Close};
          });
          const std::size_t Length = HeadFor("Id: same\r\n").size();
          for (Cut = 0; Cut < Length; ++Cut) {
            if (Kept) {
              Whole = true;
              EXPECT_EQ(call("/safe/x", {{"Id", "same"}}).Status, 200);
              Whole = false;
            }
            const Answer Received = call(Path, {{"Id", "same"}});
            EXPECT_TRUE(Received.Status == 0 || Received.Status >= 500)
                << Received.Status << " after a cut at " << Cut;
          }
          Daemon->state().Replicas.remove(
              "raw" + std::to_string(RawReplicas.size()), std::nullopt);
          Daemon->replicasChanged();
        }
}

struct EndlessCase {
  const char *Name;
  std::function<RawReply(const std::string &)> Reply;
};

// Bytes that are no answer came without end, and the daemon read them until
// its memory was full or the caller's deadline.
TEST_F(BrokenReplica, BytesWithoutEndAreCutOff) {
  const std::string Kilobyte(1024, 'x');
  const EndlessCase Cases[] = {
      {"noise",
       [&](const std::string &) { return RawReply{.Endless = Kilobyte}; }},
      {"a head without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = headOf(Request) + "Long: ",
                         .Endless = Kilobyte};
       }},
      {"header lines without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = headOf(Request),
                         .Endless = "More: " + Kilobyte + "\r\n"};
       }},
      {"interim heads without end",
       [&](const std::string &) {
         return RawReply{.Endless = "HTTP/1.1 102 Processing\r\n\r\n"};
       }},
      {"answers to nobody without end",
       [&](const std::string &) {
         return RawReply{.Endless = "HTTP/1.1 200 OK\r\nId: other\r\n"
                                    "Content-Length: 1024\r\n\r\n" +
                                    Kilobyte};
       }},
      {"a chunk extension without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = headOf(Request) +
                                  "Transfer-Encoding: chunked\r\n\r\n4;ext=",
                         .Endless = Kilobyte};
       }},
      {"a chunk length without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = headOf(Request) +
                                  "Transfer-Encoding: chunked\r\n\r\n",
                         .Endless = std::string(1024, '0')};
       }},
      {"a trailer without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = headOf(Request) +
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "4\r\ndata\r\n0\r\n",
                         .Endless = "More: " + Kilobyte + "\r\n"};
       }},
      {"an unsigned body without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = "HTTP/1.1 200 OK\r\nId: " +
                                  fieldOf(Request, "Id") + "\r\n\r\n",
                         .Endless = Kilobyte};
       }},
      {"a failure's body without end",
       [&](const std::string &Request) {
         return RawReply{.Bytes = "HTTP/1.1 500 Failed\r\nId: " +
                                  fieldOf(Request, "Id") + "\r\n\r\n",
                         .Endless = Kilobyte};
       }},
  };
  for (const EndlessCase &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    auto &Only = rawReplica(Case.Reply);
    const Answer Received = call("/once/x");
    EXPECT_EQ(Received.Status, 502) << Received.Body;
    runUntil([&] { return Only.openConnections() == 0; });
    EXPECT_EQ(Only.openConnections(), 0U);
    EXPECT_LT(Only.BytesWritten, MaxForeignBytes);
    Daemon->state().Replicas.remove("raw" + std::to_string(RawReplicas.size()),
                                    std::nullopt);
    Daemon->replicasChanged();
  }
}

// Each connection kept to its own bound, but together the bytes of one replica
// exceeded the memory of the process.
TEST_F(BrokenReplica, BytesWithoutEndOnAllConnectionsStayWithinTheBudget) {
  constexpr int Callers = 24;
  RouteTimeout = 800ms;
  Settings.MemoryMegabytes = 8;
  Daemon.reset();
  Daemon.emplace(Loop, Clk, Log, Settings, Headers, Gateway::Hooks{});
  ASSERT_FALSE(errorOf([&] { return Daemon->start(); }));
  apply();
  constexpr std::size_t Budget = std::size_t{2} << 20U;
  // One read of a connection may exceed its allowance.
  constexpr std::size_t MaxBuffered = Budget + Callers * std::size_t{64} * 1024;
  struct PausedCaller final : net::ByteStream::Listener {
    void onData(std::string_view) override { Stream->pauseReading(); }
    void onEnd(net::StreamEnd) override {}
    std::shared_ptr<net::ByteStream> Stream;
  };
  for (const char *Start : {"HTTP/1.1 200 OK\r\nSig: x\r\nId: i\r\n\r\n",
                            "HTTP/1.1 500 Failed\r\nSig: x\r\nId: i\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nSig: x\r\nId: i\r\nMore: ",
                            "HTTP/1.1 200 OK\r\nSig: x\r\nId: i\r\n"
                            "Content-Type: text/event-stream\r\n\r\ndata: ",
                            "HTTP/1.1 200 OK\r\nSig: x\r\nId: i\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n4;ext="})
    for (const char *Path : {"/once/x", "/resume/x"}) {
      SCOPED_TRACE(::testing::Message() << Path << ' ' << Start);
      auto &Only = rawReplica([Start](const std::string &) {
        return RawReply{.Bytes = Start, .Endless = std::string(4096, 'x')};
      });
      std::vector<std::unique_ptr<PausedCaller>> All;
      for (int I = 0; I < Callers; ++I) {
        All.push_back(std::make_unique<PausedCaller>());
        All.back()->Stream =
            std::make_shared<net::ByteStream>(Loop, *All.back());
        All.back()->Stream->write(std::string("GET ") + Path +
                                  " HTTP/1.1\r\nHost: h\r\nId: i\r\n\r\n");
        All.back()->Stream->connect(Settings.Front, 1s);
      }
      const TimePoint Began = Clk.now();
      runUntil([&] { return Clk.now() - Began > RouteTimeout + 100ms; });
      EXPECT_GT(Only.Requests, 0);
      EXPECT_LE(Daemon->buffers().peak(), MaxBuffered);
      for (const auto &Each : All)
        Each->Stream->close();
      Daemon->state().Replicas.remove(
          "raw" + std::to_string(RawReplicas.size()), std::nullopt);
      Daemon->replicasChanged();
      runUntil([&] { return Only.openConnections() == 0; });
      EXPECT_EQ(Only.openConnections(), 0U);
    }
  // Nothing stays counted.
  runUntil([&] { return Daemon->buffers().used() == 0; });
  EXPECT_EQ(Daemon->buffers().used(), 0U);
}

// The caller of a request that may be repeated must not wait for the end of
// bytes that have none.
TEST_F(BrokenReplica, ARepeatableRequestGoesElsewhere) {
  rawReplica([](const std::string &) {
    return RawReply{.Endless = std::string(1024, 'x')};
  });
  replica(answerDone);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(call("/safe/x").Status, 200);
}

// A broken answer looked like a complete success.
TEST_F(BrokenReplica, AnAnswerThatBreaksOffAnywhereIsNoSuccess) {
  const std::string Body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const std::string Heads[] = {
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n"};
  for (const std::string &Framing : Heads) {
    const bool Chunked = Framing.starts_with("Transfer");
    const std::string Framed =
        Chunked ? "1e\r\n" + Body + "\r\n0\r\n\r\n" : Body;
    ASSERT_EQ(Body.size(), 0x1EU);
    for (const AfterReply Then : {AfterReply::Close, AfterReply::Reset})
      for (std::size_t Sent = 0; Sent < Framed.size(); ++Sent) {
        auto &Only = rawReplica([&, Sent](const std::string &Request) {
          return RawReply{.Bytes = headOf(Request) + Framing +
                                   Framed.substr(0, Sent),
                          .Then = Then};
        });
        const Answer Received = call("/stream/x");
        EXPECT_TRUE(Received.Failure || Received.Status >= 500)
            << (Chunked ? "chunked" : "length") << " cut at " << Sent;
        EXPECT_EQ(Only.Requests, 1);
        Daemon->state().Replicas.remove(
            "raw" + std::to_string(RawReplicas.size()), std::nullopt);
        Daemon->replicasChanged();
        RawReplicas.pop_back();
      }
  }
}

// An HTTP/1.0 caller can't read chunks, and took the chunk sizes for the body.
TEST_F(BrokenReplica, AnHttp10CallerGetsABodyThatEndsWithTheConnection) {
  rawReplica([](const std::string &Request) {
    return RawReply{.Bytes = headOf(Request) +
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "4\r\ndata\r\n0\r\n\r\n"};
  });
  const std::string Text =
      rawCall("GET /stream/x HTTP/1.0\r\nHost: h\r\nId: i\r\n\r\n");
  EXPECT_EQ(Text.find("Transfer-Encoding"), std::string::npos) << Text;
  EXPECT_TRUE(Text.ends_with("\r\n\r\ndata")) << Text;
  EXPECT_EQ(RawEnd, net::StreamEnd::Closed);
}

TEST_F(BrokenReplica, ABrokenAnswerToAnHttp10CallerEndsWithAReset) {
  rawReplica([](const std::string &Request) {
    return RawReply{.Bytes = headOf(Request) +
                             "Transfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n",
                    .Then = AfterReply::Close};
  });
  rawCall("GET /stream/x HTTP/1.0\r\nHost: h\r\nId: i\r\n\r\n");
  EXPECT_EQ(RawEnd, net::StreamEnd::Reset);
}

// A replica crashed in an early answer without a length, while a part of the
// request was unsent. Callers got the part as a whole success.
TEST_F(BrokenReplica, AnEarlyAnswerThatBreaksOffIsNoSuccess) {
  constexpr std::size_t BodyBytes = std::size_t{32} << 20U;
  Daemon->setDesiredState(
      {.Version = 2,
       .Routes = {route("/once/", routing::RequestKind::RunOnce),
                  route("/stream/", routing::RequestKind::Stream)},
       .Services = {{.Name = "s"}},
       .Limits = {.MaxBodyBytes = BodyBytes}});
  for (const char *Path : {"/once/x", "/stream/x"}) {
    auto &Only = rawReplica([](const std::string &Request) {
      return RawReply{.Bytes = headOf(Request) +
                               "Content-Type: text/event-stream\r\n\r\n"
                               "data: a\n\n",
                      .Then = AfterReply::Reset,
                      .ThenAfter = 300ms};
    });
    const std::string Text = rawCall(
        std::string("POST ") + Path +
        " HTTP/1.1\r\nHost: h\r\nId: i\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x'));
    EXPECT_EQ(Only.Requests, 1);
    EXPECT_TRUE(RawEnd == net::StreamEnd::Reset ||
                Text.starts_with("HTTP/1.1 502"))
        << Path << ": " << Text.substr(0, 200);
    Daemon->state().Replicas.remove("raw" + std::to_string(RawReplicas.size()),
                                    std::nullopt);
    Daemon->replicasChanged();
  }
}

std::string unframedStream(const std::string &Request,
                           const std::string &Events) {
  return headOf(Request) + "Content-Type: text/event-stream\r\n\r\n" + Events;
}

// A stream that ended with its connection, within an event, looked complete.
TEST_F(BrokenReplica, AnUnframedStreamThatEndsWithinAnEventIsNotComplete) {
  const std::string Events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (std::size_t Sent = 0; Sent <= Events.size(); ++Sent) {
    rawReplica([&, Sent](const std::string &Request) {
      return RawReply{.Bytes = unframedStream(Request, Events.substr(0, Sent)),
                      .Then = AfterReply::Close};
    });
    const bool WithinEvent = Sent != 15 && Sent != Events.size();
    const Answer Received = call("/stream/x");
    EXPECT_EQ(Received.Failure || Received.Status >= 500, WithinEvent) << Sent;
    if (!WithinEvent) {
      EXPECT_EQ(Received.Body, Events.substr(0, Sent));
    }
    Daemon->state().Replicas.remove("raw" + std::to_string(RawReplicas.size()),
                                    std::nullopt);
    Daemon->replicasChanged();
  }
}

TEST_F(BrokenReplica, AnUnframedStreamThatBreaksOffIsResumed) {
  const auto Script = [](const std::string &Request) {
    const bool Resumed = fieldOf(Request, "After") == "1";
    return RawReply{
        .Bytes = unframedStream(Request, Resumed ? "id: 2\ndata: b\n\n"
                                                 : "id: 1\ndata: a\n\nid: 2\n"),
        .Then = AfterReply::Close};
  };
  rawReplica(Script);
  rawReplica(Script);
  const Answer Received = call("/resume/x");
  EXPECT_FALSE(Received.Failure);
  EXPECT_EQ(Received.Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// A stream broke off and the next replica answered with something else. The
// stream of the caller ended there as if it were complete.
TEST_F(BrokenReplica, AStreamContinuedByAnotherAnswerIsNotComplete) {
  const std::string Event = "id: 1\ndata: a\n\n";
  struct OtherAnswer {
    const char *Status;
    const char *Fields;
  };
  const OtherAnswer Cases[] = {
      {"404 Not Found", "Sig: x\r\nContent-Type: text/plain\r\n"},
      {"400 Bad Request", "Sig: x\r\nContent-Type: text/event-stream\r\n"},
      {"302 Found", "Sig: x\r\nLocation: /x\r\n"},
      {"500 Error", "Sig: x\r\nContent-Type: text/plain\r\n"},
      {"503 Busy", "Content-Type: text/event-stream\r\n"},
      {"200 OK", "Sig: x\r\nContent-Type: text/plain\r\n"},
      {"200 OK", "Content-Type: text/event-stream\r\n"}};
  int Number = 0;
  for (const OtherAnswer &Case : Cases) {
    ++Number;
    const auto Script = [&](const std::string &Request) {
      if (fieldOf(Request, "After") != "1")
        return RawReply{.Bytes =
                            unframedStream(Request, Event + "id: 2\ndata: b\n"),
                        .Then = AfterReply::Close};
      return RawReply{.Bytes = std::string("HTTP/1.1 ") + Case.Status +
                               "\r\nId: " + fieldOf(Request, "Id") + "\r\n" +
                               Case.Fields +
                               "Content-Length: 13\r\n\r\ndata: oops\n\n\n"};
    };
    rawReplica(Script);
    rawReplica(Script);
    const Answer Received = call("/resume/x");
    EXPECT_TRUE(Received.Failure) << Case.Status << " " << Number;
    EXPECT_EQ(Received.Body, Event) << Case.Status << " " << Number;
    for (std::size_t I = RawReplicas.size() - 1; I <= RawReplicas.size(); ++I)
      Daemon->state().Replicas.remove("raw" + std::to_string(I), std::nullopt);
    Daemon->replicasChanged();
  }
}

// A stream that is continued with a length and breaks off again was continued
// from the first break, so that events came twice.
TEST_F(BrokenReplica, AStreamThatBreaksTwiceHasEachEventOnce) {
  const auto Script = [](const std::string &Request) {
    const std::string After = fieldOf(Request, "After");
    if (After == "1")
      return RawReply{.Bytes = headOf(Request) +
                               "Content-Type: text/event-stream\r\n"
                               "Content-Length: 90\r\n\r\n"
                               "id: 2\ndata: b\n\nid: 3\nda",
                      .Then = AfterReply::Close};
    return RawReply{.Bytes = unframedStream(
                        Request, After == "2" ? "id: 3\ndata: c\n\n"
                                              : "id: 1\ndata: a\n\nid: 2\n"),
                    .Then = AfterReply::Close};
  };
  apply(2);
  for (int I = 0; I < 3; ++I)
    rawReplica(Script);
  const Answer Received = call("/resume/x");
  EXPECT_EQ(Received.Body,
            Received.Failure
                ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                : "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

// A faulty replica wrote an earlier refusal once more on a connection in use
// again. The next caller was told that its request had not run.
TEST_F(BrokenReplica, ARefusalWrittenOnceMoreIsNotTheNextRequests) {
  for (const Duration Delay : {Duration(0ms), Duration(1ms), Duration(20ms)}) {
    int Runs = 0;
    std::string Refusal;
    rawReplica([&, Delay](const std::string &Request) {
      const std::string Id = fieldOf(Request, "Id");
      if (Refusal.empty()) {
        Refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: " + Id +
                  "\r\nContent-Length: 0\r\n\r\n";
        return RawReply{.Bytes = Refusal};
      }
      ++Runs;
      return RawReply{.Bytes = Refusal,
                      .Late = answerTo(Request),
                      .LateAfter = Delay + 1ms};
    });
    EXPECT_GE(call("/once/x").Status, 429);
    constexpr int Calls = 10;
    for (int I = 0; I < Calls; ++I)
      EXPECT_EQ(call("/once/x").Status, 200);
    EXPECT_EQ(Runs, Calls);
    Daemon->state().Replicas.remove("raw" + std::to_string(RawReplicas.size()),
                                    std::nullopt);
    Daemon->replicasChanged();
  }
}

// An event was longer than what is held back, so its first part was passed on.
// Its replica crashed, and the stream went on at another replica with the next
// event, in the middle of the first one.
TEST_F(BrokenReplica, AStreamThatBreaksWithinAPassedOnEventIsNotContinued) {
  const std::string Part =
      "id: 2\ndata: " + std::string(EventCutter::MaxPartialBytes + 1, 'x');
  const auto Script = [&](const std::string &Request) {
    if (fieldOf(Request, "After") == "1")
      return RawReply{.Bytes =
                          unframedStream(Request, "id: 2\ndata: whole\n\n"),
                      .Then = AfterReply::Close};
    return RawReply{.Bytes =
                        unframedStream(Request, "id: 1\ndata: a\n\n" + Part),
                    .Then = AfterReply::Close};
  };
  rawReplica(Script);
  rawReplica(Script);
  const Answer Received = call("/resume/x");
  EXPECT_TRUE(Received.Failure);
  EXPECT_EQ(Received.Body.find("whole"), std::string::npos);
}

// Each part of an event was searched from the event's start: an event in small
// parts took a VM's processor.
TEST(EventCutter, AnEventInSmallPartsTakesTimeLinearInItsLength) {
  const auto TimeOf = [](std::size_t Length) {
    EventCutter Cutter;
    const std::clock_t Began = std::clock();
    for (std::size_t I = 0; I < Length; ++I)
      EXPECT_TRUE(Cutter.put("x").empty());
    EXPECT_EQ(Cutter.put("\n\n").size(), Length + 2);
    return std::max<std::clock_t>(std::clock() - Began, 1);
  };
  constexpr std::size_t Long = EventCutter::MaxPartialBytes - 2;
  TimeOf(Long);
  // 32 times the length; quadratic time would be 1,000 times as long.
  EXPECT_LT(TimeOf(Long), 200 * TimeOf(Long / 32));
}

TEST(EventCutter, FindsABoundaryInAnySplit) {
  const std::string Events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nd";
  for (std::size_t First = 0; First <= Events.size(); ++First)
    for (std::size_t Second = First; Second <= Events.size(); ++Second) {
      EventCutter Cutter;
      std::string Out = Cutter.put(Events.substr(0, First));
      Out += Cutter.put(Events.substr(First, Second - First));
      Out += Cutter.put(Events.substr(Second));
      EXPECT_EQ(Out, Events.substr(0, Events.size() - 1));
      EXPECT_EQ(Cutter.lastId(), "2");
      EXPECT_TRUE(Cutter.withinEvent());
    }
}

// A stream that sends a byte now and then, but no event, must end at the
// route's time, and its caller must be able to tell that it is not complete.
TEST_F(BrokenReplica, AStreamThatOnlyDripsEndsAtTheRoutesTime) {
  auto &Only = replica([this](net::ServerExchange &Exchange) {
    Exchange.begin(200, answerHeaders(Exchange), std::nullopt);
    Exchange.write("id: 1\ndata: a\n\n");
    drip(Exchange, "x", 10000);
  });
  const auto Began = Clk.now();
  const Answer Received = call("/resume/x");
  EXPECT_TRUE(Received.Failure);
  EXPECT_GE(Clk.now() - Began, Duration(RouteTimeout));
  runUntil([&] { return !Only.Exchanges.back()->open(); });
  EXPECT_FALSE(Only.Exchanges.back()->open());
}

// A replica whose answers begin at once and never end got its share of all
// requests for ever, unlike one that doesn't answer at all.
TEST_F(BrokenReplica, AReplicaWhoseAnswersNeverEndIsAvoidedLikeASilentOne) {
  RouteTimeout = 400ms;
  apply(2);
  replica(answerDone);
  const auto RequestsTo = [&](const RawReply &Reply) {
    auto &Faulty = rawReplica([&](const std::string &Request) {
      RawReply Own = Reply;
      if (!Own.Endless.empty())
        Own.Bytes = headOf(Request) + "Transfer-Encoding: chunked\r\n\r\n";
      return Own;
    });
    for (int I = 0; I < 20; ++I)
      call("/safe/x");
    Daemon->state().Replicas.remove("raw" + std::to_string(RawReplicas.size()),
                                    std::nullopt);
    Daemon->replicasChanged();
    return Faulty.Requests;
  };
  const int Silent = RequestsTo({});
  EXPECT_LE(RequestsTo({.Endless = "1\r\nx\r\n"}), Silent + 1);
}

// A slow stream whose events keep coming was cut.
TEST_F(BrokenReplica, ASlowStreamIsServedToItsEnd) {
  constexpr int Events = 20;
  replica([this](net::ServerExchange &Exchange) {
    Exchange.begin(200, answerHeaders(Exchange), std::nullopt);
    drip(Exchange, "data: a\n\n", Events);
  });
  const Answer Received = call("/stream/x");
  EXPECT_FALSE(Received.Failure);
  EXPECT_EQ(Received.Body.size(), Events * std::string("data: a\n\n").size());
}

// An exception in the handling of one request went through the event loop and
// ended the process.
TEST_F(BrokenReplica, AnUnexpectedErrorEndsOnlyItsOwnRequest) {
  replica(answerDone);
  EXPECT_EQ(call("/safe/x").Status, 200);
  int Errors = 0;
  net::Timer StopTimer(Loop);
  StopTimer.callAfter(200ms, [this] { Loop.stop(); });
  struct IgnoringCaller final : net::ByteStream::Listener {
    void onData(std::string_view) override {}
    void onEnd(net::StreamEnd Reason) override { Ended = Reason; }
    std::optional<net::StreamEnd> Ended;
  } Broken;
  const auto Stream = std::make_shared<net::ByteStream>(Loop, Broken);
  Stream->write("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: i\r\n"
                "Throw: 1\r\n\r\n");
  Stream->connect(Settings.Front, 1s);
  net::runGuarded(Loop, [&](const std::string &) { ++Errors; });
  Loop.restart();
  EXPECT_EQ(Errors, 1);
  EXPECT_TRUE(Broken.Ended);
  Stream->close();
  EXPECT_EQ(call("/safe/x").Status, 200);
  EXPECT_NE(call("/ready", {}, Settings.Readiness).Status, 0);
}

// A caller could fill the daemon's memory with a chunk extension.
TEST_F(BrokenReplica, ACallersBytesWithoutEndAreCutOff) {
  for (const char *Start :
       {"", "POST /once/x HTTP/1.1\r\nHost: h\r\nLong: ",
        "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n4;ext="}) {
    SCOPED_TRACE(Start);
    RawSent = 0;
    const std::string Text = rawCall(Start, std::string(4096, 'x'));
    EXPECT_TRUE(Text.starts_with("HTTP/1.1 4")) << Text.substr(0, 100);
    EXPECT_LT(RawSent, MaxForeignBytes);
  }
}

} // namespace
} // namespace nutmegdrift::gateway
