// Tests of the HTTP readers, and of client and server over real sockets.
#include "nutmegdrift/net/client_connection.h"
#include "nutmegdrift/net/http_server.h"

#include "nutmegdrift/base/random.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <sys/resource.h>

namespace nutmegdrift::net {
namespace {

using namespace std::chrono_literals;

TEST(TcpListener, RetriesWithADelayWithoutDescriptors) {
  // Without free descriptors accepting fails. Immediate retries would take all
  // processor time from the requests in progress.
  EventLoop Loop(1);
  int Accepted = 0;
  TcpListener Listener(Loop, [&](TcpSocket) { ++Accepted; });
  ASSERT_TRUE(Listener.listen({.Host = "127.0.0.1", .Port = 0}));
  TcpSocket Caller(Loop);
  Caller.connect(*tcpEndpoint({.Host = "127.0.0.1", .Port = Listener.port()}));
  rlimit Before{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &Before), 0);
  rlimit None = Before;
  None.rlim_cur = 0;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &None), 0);
  std::size_t Steps = 0;
  const auto End = std::chrono::steady_clock::now() + 300ms;
  while (std::chrono::steady_clock::now() < End)
    Steps += Loop.run_one_for(20ms);
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &Before), 0);
  EXPECT_EQ(Accepted, 0);
  EXPECT_LE(Steps, 30U);
  const auto Deadline = std::chrono::steady_clock::now() + 2s;
  while (Accepted == 0 && std::chrono::steady_clock::now() < Deadline)
    Loop.run_one_for(20ms);
  EXPECT_EQ(Accepted, 1);
}

TEST(TcpListener, AcceptsManyConnectionsInATurn) {
  // With one accept per turn, a daemon with hundreds of streams, whose turns
  // are long, accepted fewer connections than arrived, and callers failed to
  // connect.
  constexpr int Callers = 100;
  EventLoop Loop(1);
  std::vector<TcpSocket> Accepted;
  TcpListener Listener(
      Loop, [&](TcpSocket Socket) { Accepted.push_back(std::move(Socket)); });
  ASSERT_TRUE(Listener.listen({.Host = "127.0.0.1", .Port = 0}));
  std::vector<TcpSocket> Waiting;
  for (int I = 0; I < Callers; ++I) {
    Waiting.emplace_back(Loop);
    Waiting.back().connect(
        *tcpEndpoint({.Host = "127.0.0.1", .Port = Listener.port()}));
  }
  std::size_t Turns = 0;
  while (Accepted.size() < Callers && Turns < Callers)
    Turns += Loop.run_one_for(1s);
  EXPECT_EQ(Accepted.size(), std::size_t{Callers});
  EXPECT_LE(Turns, std::size_t{Callers} / 4);
}

TEST(RequestReader, StopsAtTheEndOfTheMessage) {
  RequestReader Reader({});
  const std::string Two = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                          "\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::size_t Used = Reader.put(Two);
  ASSERT_TRUE(Reader.done());
  EXPECT_EQ(Two.substr(Used, 6), "GET /b");
  EXPECT_EQ(Reader.take().Body, "abc");
}

TEST(RequestReader, RejectsTwoFramings) {
  // A replica may parse a request with both a length and chunks differently,
  // which allows request smuggling.
  RequestReader Reader({});
  Reader.put("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(Reader.error(), HttpParseError::Malformed);
}

// A body with another coding was taken for no body, and its bytes ran as a
// further request that no caller had sent.
TEST(RequestReader, RejectsACodingThatHidesTheEnd) {
  for (const char *Coding :
       {"gzip", "identity", "chunked, identity", "gzip, chunked", "chunked;q=1",
        "", "chunked\r\nTransfer-Encoding: chunked"}) {
    RequestReader Reader({});
    Reader.put("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " +
               std::string(Coding) + "\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(Reader.error(), HttpParseError::Malformed) << Coding;
  }
  RequestReader Old({});
  Old.put("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(Old.error(), HttpParseError::Malformed);
  RequestReader Sound({});
  Sound.put("POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\nx\r\n0"
            "\r\n\r\n");
  EXPECT_TRUE(Sound.done());
  EXPECT_EQ(Sound.take().Body, "x");
}

// A trailer could add fields after the checks, such as a second key.
TEST(RequestReader, FieldsOfATrailerAreNoFieldsOfTheRequest) {
  RequestReader Reader({});
  Reader.put("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "1\r\nx\r\n0\r\nHost: other\r\nMore: y\r\n\r\n");
  ASSERT_TRUE(Reader.done());
  const HttpRequest Request = Reader.take();
  EXPECT_EQ(Request.Headers,
            (HeaderList{{"Host", "h"}, {"Transfer-Encoding", "chunked"}}));
}

TEST(RequestReader, ReportsTheExceededLimit) {
  RequestReader Header({.MaxHeaderBytes = 128});
  Header.put("GET / HTTP/1.1\r\nA: " + std::string(200, 'x') + "\r\n\r\n");
  EXPECT_EQ(Header.error(), HttpParseError::HeaderTooLarge);
  RequestReader Body({.MaxBodyBytes = 10});
  Body.put("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  EXPECT_EQ(Body.error(), HttpParseError::BodyTooLarge);
}

// Damaged bytes in any split must end in a message or an error, and a reader
// must not ask for the same bytes for ever.
TEST(Readers, DamagedMessagesEndInAMessageOrAnError) {
  Random Rng(11);
  const std::string Request =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nT: v\r\n\r\n";
  const std::string Response = "HTTP/1.1 200 OK\r\nId: i\r\nContent-Length: "
                               "4\r\n\r\nbody";
  std::size_t Done = 0;
  std::size_t Failed = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Bytes = I % 2 == 0 ? Request : Response;
    for (std::uint64_t Change = Rng() % 3; Change > 0; --Change)
      Bytes[Rng() % Bytes.size()] = static_cast<char>(Rng());
    RequestReader Requests{{}};
    AnswerReader Answers{{.OnHead = [](const HttpAnswerHead &) {},
                          .OnBody = [](std::string_view) {}}};
    std::string Unread;
    for (std::size_t At = 0; At < Bytes.size();) {
      const std::size_t Count = std::min(1 + Rng() % 40, Bytes.size() - At);
      Unread += Bytes.substr(At, Count);
      At += Count;
      const std::size_t Used =
          I % 2 == 0 ? Requests.put(Unread) : Answers.put(Unread);
      ASSERT_LE(Used, Unread.size());
      Unread.erase(0, Used);
    }
    Done += Requests.done() || Answers.done() ? 1 : 0;
    Failed += Requests.error() != HttpParseError::None || Answers.failed();
  }
  EXPECT_GT(Done, 0U);
  EXPECT_GT(Failed, 0U);
}

// A value from a document could add fields to a request, or end its head.
TEST(SerialiseHead, AValueStaysOneField) {
  const HttpRequest Request{
      .Method = "GET",
      .Target = "/",
      .Headers = {{"A", std::string("b\r\nX-Evil: 1\r\n\r\nGET /\0", 22)}}};
  EXPECT_EQ(serialise(Request),
            "GET / HTTP/1.1\r\nA: b  X-Evil: 1    GET / \r\n\r\n");
}

TEST(IsFieldValue, RefusesWhatAReceiverReadsOtherwise) {
  for (const char *Text : {"", "a", "a&b +#%", "a\tb", "\xc3\xbc"})
    EXPECT_TRUE(isFieldValue(Text)) << Text;
  for (const char *Text : {" a", "a ", "\ta", "a\r\nb", "a\nb", "\x1b", "\x7f"})
    EXPECT_FALSE(isFieldValue(Text)) << Text;
  EXPECT_FALSE(isFieldValue(std::string_view("a\0", 2)));
}

TEST(HeaderList, DropsFieldsNamedByConnection) {
  const HeaderList Received{{"Connection", "close, X-Hop"},
                            {"X-Hop", "1"},
                            {"Keep-Alive", "timeout=5"},
                            {"X-End", "2"}};
  const HeaderList EndToEnd = endToEndFields(Received);
  ASSERT_EQ(EndToEnd.all().size(), 1U);
  EXPECT_EQ(EndToEnd.all()[0].Name, "X-End");
}

/// A server whose output the test defines.
class RawServer final : public ByteStream::Listener {
public:
  explicit RawServer(EventLoop &Loop)
      : m_acceptor(Loop, boost::asio::ip::tcp::endpoint(
                             boost::asio::ip::make_address("127.0.0.1"), 0)) {
    m_acceptor.async_accept(
        [this](const boost::system::error_code &Failed, TcpSocket Socket) {
          if (Failed)
            return;
          m_stream = std::make_shared<ByteStream>(std::move(Socket), *this);
          m_stream->startReading();
        });
  }
  void onData(std::string_view Data) override {
    Received.append(Data);
    if (OnRequest)
      OnRequest();
  }
  void onEnd(StreamEnd) override {}
  ByteStream &stream() { return *m_stream; }
  HostPort address() const {
    return {.Host = "127.0.0.1", .Port = m_acceptor.local_endpoint().port()};
  }

  std::string Received;
  std::function<void()> OnRequest;

private:
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<ByteStream> m_stream;
};

struct ClientFixture : ::testing::Test {
  ClientConnection::Events events() {
    return {
        .Accept =
            [](const HttpAnswerHead &Head) {
              return Head.Headers.find("Id") == "mine";
            },
        .OnHead = [this](const HttpAnswerHead &Head) { Status = Head.Status; },
        .OnBody = [this](std::string_view Part) { Body.append(Part); },
        .OnEnd =
            [this] {
              Ended = true;
              Loop.stop();
            },
        .OnFailure =
            [this](ClientFailure Reason) {
              Failure = Reason;
              Loop.stop();
            }};
  }
  void run() { Loop.run_for(5s); }

  EventLoop Loop{1};
  SystemClock Clk;
  RawServer Server{Loop};
  std::shared_ptr<ClientConnection> Client =
      std::make_shared<ClientConnection>(Loop, Clk, Server.address());
  int Status = 0;
  std::string Body;
  bool Ended = false;
  std::optional<ClientFailure> Failure;
};

TEST_F(ClientFixture, ReadsChunksSplitAnywhere) {
  // Guards against truncated streams when half a chunk header arrives alone.
  const std::string Answer =
      "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  std::size_t Sent = 0;
  Timer Next(Loop);
  std::function<void()> SendOne = [&] {
    if (Sent == Answer.size())
      return;
    Server.stream().write(Answer.substr(Sent++, 1));
    Next.callAfter(100us, SendOne);
  };
  Server.OnRequest = [&] { SendOne(); };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Body, "hello world");
}

TEST_F(ClientFixture, SkipsAnswersOfOtherRequests) {
  Server.OnRequest = [&] {
    Server.stream().write("HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: "
                          "5\r\n\r\nwrongHTTP/1.1 200 OK\r\nId: "
                          "mine\r\nContent-Length: 5\r\n\r\nright");
  };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Body, "right");
  EXPECT_TRUE(Client->reusable());
}

TEST_F(ClientFixture, BytesAfterACompleteAnswerEndTheConnection) {
  Server.OnRequest = [&] {
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: "
                          "2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n");
  };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Body, "ok");
  EXPECT_FALSE(Client->reusable());
}

TEST_F(ClientFixture, AnAnswerWithoutLengthEndsWithAnOrderlyCloseOnly) {
  Server.OnRequest = [&] {
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart");
    Timer *Later = new Timer(Loop);
    Later->callAfter(20ms, [&, Later] {
      Server.stream().reset();
      delete Later;
    });
  };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_FALSE(Ended);
  EXPECT_EQ(Failure, ClientFailure::Reset);
}

// A server reset the connection while a part of the request was unsent. The
// write got the error, the next read looked like an orderly close, and half of
// an answer without a length passed for the whole.
TEST_F(ClientFixture, AResetSeenByAWriteIsNoOrderlyEnd) {
  // More than the buffers of both sockets take.
  const std::string LongRequest(std::size_t{32} << 20U, 'x');
  Timer Crash(Loop);
  Server.OnRequest = [&] {
    Server.stream().pauseReading();
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart");
    Crash.callAfter(100ms, [&] { Server.stream().reset(); });
  };
  Client->send("POST / HTTP/1.1\r\n\r\n" + LongRequest, 1s, events());
  run();
  EXPECT_EQ(Body, "part");
  EXPECT_FALSE(Ended);
  EXPECT_EQ(Failure, ClientFailure::Reset);
}

// The counterpart: a whole answer, and a close that is followed by a reset
// because more of the request arrives, must not be lost.
TEST_F(ClientFixture, AnOrderlyCloseBeforeTheWholeRequestIsSentEndsAnAnswer) {
  const std::string LongRequest(std::size_t{32} << 20U, 'x');
  Timer Close(Loop);
  Server.OnRequest = [&] {
    if (Status != 0 || Close.armed())
      return;
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole");
    Server.stream().finishWriting();
    Close.callAfter(5s, [] {});
  };
  Client->send("POST / HTTP/1.1\r\n\r\n" + LongRequest, 1s, events());
  run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Body, "whole");
}

TEST_F(ClientFixture, ATruncatedAnswerFails) {
  Server.OnRequest = [&] {
    Server.stream().write(
        "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nshort");
    Server.stream().finishWriting();
  };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_EQ(Failure, ClientFailure::Closed);
}

// Each chunk was passed on by itself, with a write to the caller: one-byte
// chunks without end took the event loop from all other requests.
TEST_F(ClientFixture, ChunksThatArriveTogetherArePassedOnTogether) {
  std::string Chunks;
  for (int I = 0; I < 1000; ++I)
    Chunks += "1\r\nx\r\n";
  Server.OnRequest = [&] {
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n" +
                          Chunks + "0\r\n\r\n");
  };
  int Parts = 0;
  ClientConnection::Events Counting = events();
  Counting.OnBody = [&](std::string_view Part) {
    ++Parts;
    Body.append(Part);
  };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, Counting);
  run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Body, std::string(1000, 'x'));
  EXPECT_LE(Parts, 2);
}

// Each connection kept to its own limit, and their sum exceeded the memory of
// the process.
TEST(BufferBudget, TheSumOfAnyNumberOfBuffersIsBounded) {
  constexpr std::size_t Limit = std::size_t{16} << 20U;
  constexpr std::size_t Step = std::size_t{8} * 1024;
  const auto Budget = std::make_shared<BufferBudget>(Limit);
  std::vector<std::unique_ptr<BufferBudget::Share>> Shares;
  std::vector<std::size_t> Held(500);
  for (std::size_t I = 0; I < Held.size(); ++I)
    Shares.push_back(std::make_unique<BufferBudget::Share>(Budget));
  // All grow for as long as they may.
  for (bool Grown = true; Grown;) {
    Grown = false;
    for (std::size_t I = 0; I < Held.size(); ++I)
      if (Shares[I]->hold(Held[I] + Step)) {
        Held[I] += Step;
        Grown = true;
      } else {
        Shares[I]->hold(Held[I]);
      }
  }
  EXPECT_LE(Budget->peak(), Limit + Step);
  EXPECT_GT(Budget->used(), Limit / 2);
  // A short answer still passes.
  BufferBudget::Share Short(Budget);
  EXPECT_TRUE(Short.hold(BufferBudget::MinAllowance));
  Shares.clear();
  EXPECT_EQ(Budget->used(), BufferBudget::MinAllowance);
}

// Calls and connections that the event loop still holds are destroyed later.
TEST(BufferBudget, AShareMayOutliveTheOwnerOfTheBudget) {
  auto Budget = std::make_shared<BufferBudget>(1000);
  BufferBudget::Share Late(Budget);
  Late.hold(10);
  Budget.reset();
  EXPECT_TRUE(Late.hold(0));
}

TEST(SmallChunkLimit, BoundsTheRateOfAllConnectionsTogether) {
  SmallChunkLimit Limit;
  ManualClock Clk;
  std::size_t Read = 0;
  const TimePoint Start = Clk.now();
  constexpr auto Length = 10s;
  while (Clk.now() - Start < Length) {
    constexpr std::size_t Arrived = 5000;
    Read += Arrived;
    if (const Duration Pause = Limit.add(Arrived, Clk.now());
        Pause > Duration{0})
      Clk.advance(Pause);
  }
  const double Allowed =
      SmallChunkLimit::PerSecond * Length.count() + SmallChunkLimit::Burst;
  EXPECT_GT(static_cast<double>(Read), 0.9 * Allowed);
  EXPECT_LT(static_cast<double>(Read), 1.1 * Allowed);
}

// An engine at the target size must never be slowed down.
TEST(SmallChunkLimit, NeverPausesAnEngineWithAChunkForEachToken) {
  SmallChunkLimit Limit;
  ManualClock Clk;
  for (int Step = 0; Step < 1000; ++Step) {
    EXPECT_LE(Limit.add(90, Clk.now()), Duration{0});
    Clk.advance(30ms);
  }
}

TEST_F(ClientFixture, SmallChunksWithoutEndAreReadAtABoundedRate) {
  auto Chunks = std::make_shared<SmallChunkLimit>();
  Client = std::make_shared<ClientConnection>(
      Loop, Clk, Server.address(), ClientConnection::Limits{.Chunks = Chunks});
  std::string Piece;
  for (int I = 0; I < 4000; ++I)
    Piece += "1\r\nx\r\n";
  Timer Next(Loop);
  std::function<void()> Write = [&] {
    if (Server.stream().unsentBytes() == 0)
      Server.stream().write(Piece);
    Next.callAfter(1ms, Write);
  };
  Server.OnRequest = [&] {
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n");
    Write();
  };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  const TimePoint Start = Clk.now();
  Loop.run_for(1500ms);
  const std::chrono::duration<double> Lasted = Clk.now() - Start;
  // One read may exceed the limit.
  constexpr double OneTurn = 128.0 * 1024 / 6;
  EXPECT_LT(static_cast<double>(Body.size()),
            SmallChunkLimit::Burst +
                SmallChunkLimit::PerSecond * Lasted.count() + OneTurn);
  EXPECT_GT(Body.size(), std::size_t{10000});
  Client->close();
}

// Reading was paused for a slow caller in the same read that ended the answer.
// The connection was used again, and its next answer was never read.
TEST_F(ClientFixture, AConnectionPausedAtTheEndOfAnAnswerReadsTheNextOne) {
  Server.OnRequest = [&] {
    Server.stream().write("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: "
                          "2\r\n\r\nok");
  };
  ClientConnection::Events Pausing = events();
  Pausing.OnBody = [&](std::string_view) { Client->pauseReading(); };
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, Pausing);
  run();
  ASSERT_TRUE(Ended && Client->reusable());
  Ended = false;
  Loop.restart();
  Client->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(Body, "ok");
}

TEST_F(ClientFixture, NoListenerIsAConnectFailure) {
  auto Nobody = std::make_shared<ClientConnection>(
      Loop, Clk, HostPort{.Host = "127.0.0.1", .Port = 1});
  Nobody->send("GET / HTTP/1.1\r\n\r\n", 1s, events());
  run();
  EXPECT_EQ(Failure, ClientFailure::ConnectFailed);
}

// A look at the socket took the error of a reset, and the end that was reported
// afterwards was an orderly one.
TEST(ByteStream, LookingAtAResetConnectionKeepsTheReset) {
  EventLoop Loop(1);
  struct Recorder final : ByteStream::Listener {
    void onData(std::string_view) override {}
    void onEnd(StreamEnd Reason) override { End = Reason; }
    std::optional<StreamEnd> End;
  } Owner;
  std::shared_ptr<ByteStream> Accepted;
  TcpListener Listener(Loop, [&](TcpSocket Socket) {
    Accepted = std::make_shared<ByteStream>(std::move(Socket), Owner);
  });
  ASSERT_TRUE(Listener.listen({.Host = "127.0.0.1", .Port = 0}));
  for (const bool AskForBytes : {false, true}) {
    Owner.End.reset();
    Accepted.reset();
    TcpSocket Peer(Loop);
    Peer.connect(*tcpEndpoint({.Host = "127.0.0.1", .Port = Listener.port()}));
    while (!Accepted)
      Loop.run_one_for(1s);
    Peer.set_option(boost::asio::socket_base::linger(true, 0));
    Peer.close();
    if (AskForBytes)
      EXPECT_FALSE(Accepted->hasUnreadBytes());
    else
      EXPECT_TRUE(Accepted->peerClosed());
    Accepted->startReading();
    for (int Step = 0; Step < 100 && !Owner.End; ++Step)
      Loop.run_one_for(50ms);
    EXPECT_EQ(Owner.End, StreamEnd::Reset);
  }
}

struct ServerFixture : ::testing::Test {
  ServerFixture() {
    EXPECT_TRUE(Server.listen({.Host = "127.0.0.1", .Port = 0}));
    Caller.connect({.Host = "127.0.0.1", .Port = Server.port()});
  }
  /// Sends bytes and returns what the caller received until the connection
  /// ended or Awaited arrived.
  std::string talk(const std::string &Bytes, std::string_view Awaited = "") {
    Caller.Received.clear();
    Caller.Stream->write(Bytes);
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (
        !Caller.Ended && std::chrono::steady_clock::now() < End &&
        (Awaited.empty() || Caller.Received.find(Awaited) == std::string::npos))
      Loop.run_one_for(50ms);
    return Caller.Received;
  }

  struct RawCaller final : ByteStream::Listener {
    explicit RawCaller(EventLoop &Loop)
        : Stream(std::make_shared<ByteStream>(Loop, *this)) {}
    void connect(const HostPort &Peer) { Stream->connect(Peer, 1s); }
    void onData(std::string_view Data) override { Received.append(Data); }
    void onEnd(StreamEnd End) override {
      Ended = true;
      Reason = End;
    }
    std::shared_ptr<ByteStream> Stream;
    std::string Received;
    bool Ended = false;
    std::optional<StreamEnd> Reason;
  };

  EventLoop Loop{1};
  SystemClock Clk;
  std::vector<std::shared_ptr<ServerExchange>> Exchanges;
  HttpServer Server{Loop, Clk,
                    [this](const std::shared_ptr<ServerExchange> &Exchange) {
                      Exchanges.push_back(Exchange);
                      if (Answer)
                        Answer(*Exchange);
                    }};
  std::function<void(ServerExchange &)> Answer;
  RawCaller Caller{Loop};
};

TEST_F(ServerFixture, AnswersPipelinedRequestsInOrder) {
  Answer = [](ServerExchange &Exchange) {
    Exchange.answer(200, {}, Exchange.request().Target);
  };
  const std::string Received =
      talk("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: "
           "h\r\n\r\n",
           "/2");
  EXPECT_LT(Received.find("/1"), Received.find("/2"));
  EXPECT_NE(Received.find("/2"), std::string::npos);
}

TEST_F(ServerFixture, ARefusalOfALargeBodyArrives) {
  // Closing a socket with unread bytes resets the connection and loses the
  // answer.
  Server.setOptions({.Limits = {.MaxBodyBytes = 1000}});
  auto Fresh = std::make_shared<ByteStream>(Loop, Caller);
  Caller.Stream->close();
  Caller.Stream = Fresh;
  Caller.connect({.Host = "127.0.0.1", .Port = Server.port()});
  const std::string Body(std::size_t{600} * 1024, 'x');
  const std::string Received =
      talk("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body);
  EXPECT_EQ(Received.substr(0, 12), "HTTP/1.1 413");
}

TEST_F(ServerFixture, AHiddenRequestDoesNotRun) {
  Answer = [](ServerExchange &Exchange) { Exchange.answer(200, {}, "done"); };
  const std::string Received =
      talk("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nPOST "
           "/b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(Received.substr(0, 12), "HTTP/1.1 400");
  EXPECT_TRUE(Caller.Ended);
  EXPECT_TRUE(Exchanges.empty());
}

TEST_F(ServerFixture, AnAbortedAnswerNeverLooksComplete) {
  Answer = [](ServerExchange &Exchange) {
    Exchange.begin(200, {}, std::nullopt);
    Exchange.write("part");
    Exchange.abort();
  };
  const std::string Received = talk("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(Caller.Ended);
  EXPECT_EQ(Received.find("0\r\n\r\n"), std::string::npos);
}

// An HTTP/1.0 caller that read slowly lost the rest of its answer when the
// server closed the connection, and took the part for the whole.
TEST_F(ServerFixture, AnAnswerWithoutALengthThatIsCutEndsWithAReset) {
  constexpr std::size_t LongAnswer = std::size_t{32} << 20U;
  for (const bool Cut : {false, true}) {
    auto Fresh = std::make_shared<ByteStream>(Loop, Caller);
    Caller.Stream->close();
    Caller.Stream = Fresh;
    Caller.Ended = false;
    Caller.Received.clear();
    Caller.connect({.Host = "127.0.0.1", .Port = Server.port()});
    Answer = [&](ServerExchange &Exchange) {
      Exchange.begin(200, {}, std::nullopt);
      Exchange.write(std::string(LongAnswer, 'x'));
      Exchange.finish();
      if (Cut)
        Caller.Stream->pauseReading();
    };
    Caller.Stream->write("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    const auto End = std::chrono::steady_clock::now() + 5s;
    const auto Done = [&] {
      return Cut ? !Exchanges.empty() && Server.connections() == 0
                 : Caller.Ended;
    };
    while (!Done() && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(50ms);
    Caller.Stream->resumeReading();
    while (!Caller.Ended && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(50ms);
    EXPECT_EQ(Caller.Reason, Cut ? StreamEnd::Reset : StreamEnd::Closed);
    EXPECT_EQ(Caller.Received.size() > LongAnswer, !Cut);
    Exchanges.clear();
  }
}

// Guards against running out of descriptors: callers of a busy VM kept
// thousands of idle connections open until it could accept no new ones.
TEST_F(ServerFixture, ClosesTheLongestIdleConnections) {
  Answer = [](ServerExchange &Exchange) { Exchange.answer(200, {}, "body"); };
  const auto RunUntil = [this](const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(50ms);
    return Condition();
  };
  // The fixture's caller has been idle longest.
  ASSERT_TRUE(RunUntil([this] { return Server.connections() == 1; }));
  std::vector<std::shared_ptr<ClientConnection>> Callers;
  for (int I = 0; I < 3; ++I) {
    bool Done = false;
    Callers.push_back(std::make_shared<ClientConnection>(
        Loop, Clk, HostPort{.Host = "127.0.0.1", .Port = Server.port()}));
    Callers.back()->send(serialise({.Method = "GET",
                                    .Target = "/",
                                    .Headers = {{"Host", "h"}},
                                    .Body = {}}),
                         1s, {.OnEnd = [&Done] { Done = true; }});
    ASSERT_TRUE(RunUntil([&] { return Done; }));
  }
  Server.closeIdleAbove(4);
  EXPECT_EQ(Server.connections(), 4U);
  Server.closeIdleAbove(2);
  EXPECT_EQ(Server.connections(), 2U);
  EXPECT_TRUE(
      RunUntil([&] { return Caller.Ended && !Callers[0]->connected(); }));
  EXPECT_TRUE(Callers[1]->connected() && Callers[2]->connected());
}

TEST_F(ServerFixture, DetectsThatTheCallerDisconnected) {
  bool Disconnected = false;
  Answer = [&](ServerExchange &Exchange) {
    Exchange.OnCallerDisconnected = [&] { Disconnected = true; };
    Caller.Stream->close();
    Caller.Ended = true;
  };
  talk("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto End = std::chrono::steady_clock::now() + 5s;
  while (!Disconnected && std::chrono::steady_clock::now() < End)
    Loop.run_one_for(50ms);
  EXPECT_TRUE(Disconnected);
  EXPECT_EQ(Server.activeRequests(), 0U);
}

// A planned stop closed idle connections on which a request had arrived that
// was not read yet, and the caller got no answer.
TEST_F(ServerFixture, ClosingIdleConnectionsSparesAnUnreadRequest) {
  const std::string Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  Answer = [](ServerExchange &Exchange) { Exchange.answer(200, {}, "done"); };
  talk(Request, "done");
  // Written to the socket, but not read by the server.
  Caller.Received.clear();
  Caller.Stream->write(Request);
  Server.closeIdle();
  EXPECT_EQ(Server.connections(), 1U);
  const auto End = std::chrono::steady_clock::now() + 5s;
  while (Caller.Received.empty() && !Caller.Ended &&
         std::chrono::steady_clock::now() < End)
    Loop.run_one_for(50ms);
  EXPECT_NE(Caller.Received.find("done"), std::string::npos);
  Server.closeIdle();
  EXPECT_EQ(Server.connections(), 0U);
}

// A planned stop and the limit of connections took a caller that still read its
// answer for an idle one and cut the answer, with and without a kept
// connection.
TEST_F(ServerFixture, AnUnsentAnswerIsNotCut) {
  constexpr std::size_t LongAnswer = std::size_t{32} << 20U;
  constexpr auto LongerThanLingering = 1200ms;
  for (const bool Draining : {false, true}) {
    if (Draining)
      Server.startDraining();
    Answer = [&](ServerExchange &Exchange) {
      Exchange.answer(200, {}, std::string(LongAnswer, 'x'));
      Caller.Stream->pauseReading();
    };
    Exchanges.clear();
    Caller.Received.clear();
    Caller.Stream->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto Until = std::chrono::steady_clock::now() + LongerThanLingering;
    while (Exchanges.empty() || std::chrono::steady_clock::now() < Until)
      Loop.run_one_for(50ms);
    Server.closeIdle();
    Server.closeIdleAbove(0);
    EXPECT_FALSE(Server.quiet());
    ASSERT_EQ(Server.connections(), 1U);
    Caller.Stream->resumeReading();
    const auto End = std::chrono::steady_clock::now() + 10s;
    const auto Whole = [&] {
      return Caller.Received.size() ==
             Caller.Received.find("\r\n\r\n") + 4 + LongAnswer;
    };
    while (!Whole() && !Caller.Ended && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(50ms);
    EXPECT_TRUE(Whole()) << Caller.Received.size();
  }
}

// Connections that the kernel had accepted were reset when the process ended.
TEST_F(ServerFixture, WhatWasConnectedBeforeTheEndOfListeningIsAnswered) {
  Answer = [](ServerExchange &Exchange) { Exchange.answer(200, {}, "done"); };
  const auto Endpoint =
      tcpEndpoint({.Host = "127.0.0.1", .Port = Server.port()});
  TcpSocket Early(Loop);
  Early.connect(*Endpoint);
  boost::asio::write(Early, boost::asio::buffer(std::string_view(
                                "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  Server.startDraining();
  Server.stopListening();
  EXPECT_FALSE(Server.quiet());
  Early.non_blocking(true);
  std::string Received;
  const auto End = std::chrono::steady_clock::now() + 5s;
  while (Received.empty() && std::chrono::steady_clock::now() < End) {
    Loop.run_one_for(20ms);
    std::array<char, 1024> Buffer{};
    boost::system::error_code Failed;
    const std::size_t Count =
        Early.read_some(boost::asio::buffer(Buffer), Failed);
    Received.append(Buffer.data(), Failed ? 0 : Count);
  }
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 200")) << Received;
  EXPECT_NE(Received.find("Connection: close"), std::string::npos);
  TcpSocket Late(Loop);
  boost::system::error_code Refused;
  Late.connect(*Endpoint, Refused);
  EXPECT_TRUE(Refused);
}

TEST_F(ServerFixture, DrainingRequestsThatTheCallerClose) {
  Answer = [](ServerExchange &Exchange) { Exchange.answer(200, {}, "ok"); };
  Server.startDraining();
  const std::string Received = talk("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "ok");
  EXPECT_NE(Received.find("Connection: close"), std::string::npos);
}

} // namespace
} // namespace nutmegdrift::net
