// Guards the peer network and relays over real loopback sockets: crossed and
// late frames, lost connections, silent peers and slow readers.
#include "nutmegdrift/peer/relay.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <thread>

namespace nutmegdrift::peer {
namespace {

using namespace std::chrono_literals;

const SystemClock Clk;
const HostPort Loopback{"127.0.0.1", 0};

TimePoint within(Duration Wait) { return Clk.now() + Wait; }

/// Waits until Done or 5 s.
bool eventually(const std::function<bool()> &Done) {
  for (const auto Limit = within(5s); Clk.now() < Limit;) {
    if (Done())
      return true;
    std::this_thread::sleep_for(2ms);
  }
  return Done();
}

/// One daemon with a thread per relayed request, as the proxy has.
struct Node {
  using Work = std::function<void(RelayStream &)>;

  explicit Node(const DaemonName &Name, BootId Boot, const Work &Task = {},
                Duration Progress = 4s)
      : Log(Clk, Name, false), Net({.Self = Name,
                                    .Boot = Boot,
                                    .Zone = "z",
                                    .Listen = Loopback,
                                    .KeepAliveAfter = Progress / 4,
                                    .ProgressDeadline = Progress},
                                   Clk, Log),
        Client(Net, Boot),
        Server(Net, [this, Task](std::shared_ptr<RelayStream> Stream) {
          if (Task)
            Threads.emplace_back(
                [Task, Own = std::move(Stream)] { Task(*Own); });
        }) {
    EXPECT_TRUE(Net.start());
  }
  ~Node() {
    Net.stop();
    for (auto &Thread : Threads)
      Thread.join();
  }
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  EventLog Log;
  PeerNetwork Net;
  RelayClient Client;
  std::vector<std::thread> Threads; ///< Filled by the poll thread.
  RelayServer Server;
};

/// Answers with the request's body, Repeat times.
Node::Work echo(int Repeat) {
  return [Repeat](RelayStream &Stream) {
    const auto Sent = errorOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(Stream.head(200, "text/plain", within(10s)));
      for (int I = 0; I < Repeat; ++I)
        BOOST_LEAF_CHECK(Stream.write(Stream.body(), within(10s)));
      return {};
    });
    Stream.end(Sent, 1.5, within(10s));
  };
}

/// The whole answer, or its failure.
Expected<std::string> readAll(RelayReader &Reader, Duration Wait = 10s) {
  return capture([&]() -> Result<std::string> {
    BOOST_LEAF_CHECK(Reader.head(within(Wait)));
    std::string Out;
    for (;;) {
      BOOST_LEAF_AUTO(Piece, Reader.read(within(Wait)));
      if (!Piece)
        return Out;
      Out += *Piece;
    }
  });
}

std::shared_ptr<RelayReader> openTo(Node &From, const DaemonName &To,
                                    const std::string &Body) {
  const auto Opened =
      capture([&] { return From.Client.open(To, wire::RelayContext{}, Body); });
  return Opened ? *Opened : nullptr;
}

TEST(Relay, CarriesAnAnswerLargerThanTheWindow) {
  Node Owner("b", 2, echo(300));
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Owner.Net.address()}});
  const auto Reader = openTo(Entry, "b", std::string(1000, 'x'));
  ASSERT_TRUE(Reader);
  EXPECT_EQ(readAll(*Reader)->size(), 300'000U);
  EXPECT_EQ(Reader->cost(), 1.5);
  EXPECT_EQ(Entry.Client.running(), 0U);
}

// One answer must never hold another request's bytes (P1).
TEST(Relay, FiveHundredConcurrentRelaysStayApart) {
  constexpr int Count = 500;
  Node Owner("b", 2, echo(20));
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Owner.Net.address()}});
  std::atomic<int> Right = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Callers.emplace_back([&, I] {
      const auto Body = std::to_string(I) + ";";
      std::string Wanted;
      for (int Part = 0; Part < 20; ++Part)
        Wanted += Body;
      const auto Reader = openTo(Entry, "b", Body);
      const auto Got = Reader ? readAll(*Reader) : Expected<std::string>{};
      Right += Got && *Got == Wanted ? 1 : 0;
    });
  for (auto &Caller : Callers)
    Caller.join();
  EXPECT_EQ(Right, Count);
  EXPECT_EQ(Entry.Client.counts().Ended, static_cast<std::uint64_t>(Count));
}

// Credits keep a slow reader from holding up other streams.
TEST(Relay, SlowReaderDoesNotHoldUpAnother) {
  Node Owner("b", 2, echo(10'000));
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Owner.Net.address()}});
  const auto Slow = openTo(Entry, "b", std::string(1000, 's'));
  ASSERT_TRUE(Slow->head(within(5s)));
  const auto Quick = openTo(Entry, "b", std::string(100, 'q'));
  EXPECT_EQ(readAll(*Quick)->size(), 1'000'000U);
  // What waits for the slow reader is bounded by its window.
  EXPECT_LT(Entry.Net.traffic().Received[9].Bytes, 1'400'000U);
  Slow->cancel("test ends");
}

TEST(Relay, CancelStopsTheOwner) {
  std::atomic<int> Stopped = 0;
  Node Owner("b", 2, [&](RelayStream &Stream) {
    const auto Failure = errorOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(Stream.head(200, "", within(5s)));
      for (;;)
        BOOST_LEAF_CHECK(Stream.write(std::string(5000, 'x'), within(5s)));
    });
    Stopped += Failure->Kind == ErrorKind::CallerDisconnected ? 1 : 0;
  });
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Owner.Net.address()}});
  auto Reader = openTo(Entry, "b", "x");
  ASSERT_TRUE(Reader->head(within(5s)));
  Reader.reset();
  EXPECT_TRUE(eventually([&] { return Stopped == 1; }));
}

TEST(Relay, FailureOfTheOwnerArrives) {
  Node Owner("b", 2, [](RelayStream &Stream) {
    Stream.end(Error{ErrorKind::QueueFull, "50 waiting"}, 0, within(1s));
  });
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Owner.Net.address()}});
  const auto Got = readAll(*openTo(Entry, "b", "x"));
  EXPECT_EQ(Got.Failure.Kind, ErrorKind::QueueFull);
  EXPECT_EQ(Got.Failure.Message, "50 waiting");
}

TEST(Relay, UnknownPeerIsRefusedAndNotLost) {
  Node Entry("a", 1);
  const auto Opened = capture(
      [&] { return Entry.Client.open("b", wire::RelayContext{}, "x"); });
  EXPECT_EQ(Opened.Failure.Kind, ErrorKind::RelayRefused);
}

// A connection cut midway ends every open relay once; a truncated answer is
// never complete.
TEST(Relay, CutConnectionEndsEachRelayOnce) {
  constexpr int Count = 20;
  auto Owner = std::make_unique<Node>("b", 2, [](RelayStream &Stream) {
    (void)errorOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(Stream.head(200, "", within(5s)));
      BOOST_LEAF_CHECK(Stream.write("half", within(5s)));
      while (!Stream.cancelled())
        std::this_thread::sleep_for(1ms);
      return {};
    });
  });
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Owner->Net.address()}});
  std::vector<std::shared_ptr<RelayReader>> Readers;
  Readers.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Readers.push_back(openTo(Entry, "b", "x"));
  for (const auto &Reader : Readers)
    ASSERT_TRUE(Reader->head(within(5s)));
  Owner.reset();
  for (const auto &Reader : Readers)
    EXPECT_EQ(readAll(*Reader).Failure.Kind, ErrorKind::RelayLost);
  const auto Counts = Entry.Client.counts();
  EXPECT_EQ(Counts.Lost, static_cast<std::uint64_t>(Count));
  EXPECT_EQ(Counts.Ended, static_cast<std::uint64_t>(Count));
}

/// A peer that speaks the protocol by hand, to send what a correct daemon
/// never sends.
struct RawPeer {
  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::StreamSocket Stream;

  [[nodiscard]] HostPort address() const {
    return {"127.0.0.1", Listener.address().port()};
  }
  void accept() {
    // Without a bound a missing connection would hang the test.
    if (!Listener.poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_READ))
      throw std::runtime_error("no connection");
    Stream = Listener.acceptConnection();
    Stream.setReceiveTimeout(Poco::Timespan(5, 0));
  }
  void send(const wire::Message &Value) {
    const auto Bytes = wire::frame(wire::encode(Value)).value();
    Stream.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  }
  /// The next message that is not a keep-alive.
  wire::Message receive() {
    std::array<char, 4096> Buffer{};
    for (;;) {
      auto Next = Reader.next().value();
      if (Next && !Next->empty())
        return wire::decode(*Next).value();
      if (Next)
        continue;
      const int Count = Stream.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        throw std::runtime_error("closed");
      Reader.append({Buffer.data(), static_cast<std::size_t>(Count)});
    }
  }
  wire::FrameReader Reader;
};

// Frames of an older request, another boot or another connection must not
// reach a newer request.
TEST(Relay, LateAndCrossedFramesAreDropped) {
  RawPeer Peer;
  Node Entry("a", 7);
  Entry.Net.setPeers({{"b", Peer.address()}});
  const auto Old = openTo(Entry, "b", "old");
  Peer.accept();
  Peer.send(wire::Hello{"b", 2, "", wire::SchemaVersion});
  EXPECT_TRUE(std::holds_alternative<wire::Hello>(Peer.receive()));
  const auto OldId = std::get<wire::RelayRequest>(Peer.receive()).Id;
  Old->cancel("test");
  const auto New = openTo(Entry, "b", "new");
  EXPECT_TRUE(std::holds_alternative<wire::RelayCancel>(Peer.receive()));
  const auto Id = std::get<wire::RelayRequest>(Peer.receive()).Id;
  Peer.send(wire::RelayHead{OldId, 7, 200, "old"});
  Peer.send(wire::RelayHead{Id, 6, 200, "other boot"});
  Peer.send(wire::RelayHead{Id, 7, 200, "right"});
  Peer.send(wire::RelayChunk{Id, 6, 0, "wrong"});
  Peer.send(wire::RelayChunk{Id, 7, 0, "right"});
  Peer.send(wire::RelayEnd{Id, 7, 1, std::nullopt, "", 0ms, 0});
  EXPECT_EQ(New->head(within(5s))->ContentType, "right");
  EXPECT_EQ(*readAll(*New), "right");
  EXPECT_EQ(Entry.Client.counts().Dropped, 3U);
}

// A lost chunk must not give a shorter answer that looks complete (P1).
TEST(Relay, MissingChunkIsALoss) {
  RawPeer Peer;
  Node Entry("a", 7);
  Entry.Net.setPeers({{"b", Peer.address()}});
  const auto Gap = openTo(Entry, "b", "x");
  const auto Short = openTo(Entry, "b", "x");
  Peer.accept();
  Peer.send(wire::Hello{"b", 2, "", wire::SchemaVersion});
  for (const wire::RelayId Id : {1U, 2U})
    Peer.send(wire::RelayHead{Id, 7, 200, ""});
  Peer.send(wire::RelayChunk{1, 7, 1, "second"});
  Peer.send(wire::RelayChunk{2, 7, 0, "first"});
  Peer.send(wire::RelayEnd{2, 7, 2, std::nullopt, "", 0ms, 0});
  EXPECT_EQ(readAll(*Gap).Failure.Kind, ErrorKind::RelayLost);
  EXPECT_EQ(readAll(*Short).Failure.Kind, ErrorKind::RelayLost);
}

// Repeated and foreign requests must not start a second run at the owner.
TEST(Relay, RepeatedRequestRunsOnce) {
  std::atomic<int> Runs = 0;
  Node Owner("b", 2, [&](RelayStream &) { ++Runs; });
  RawPeer Peer;
  const auto Address = Owner.Net.address();
  Peer.Stream.connect(Poco::Net::SocketAddress(Address.Host, Address.Port));
  Peer.send(wire::Hello{"a", 7, "", wire::SchemaVersion});
  for (const BootId Boot : {7U, 7U, 6U})
    Peer.send(wire::RelayRequest{1, Boot, {}, "x"});
  EXPECT_TRUE(eventually([&] { return Owner.Server.dropped() == 2; }));
  EXPECT_TRUE(eventually([&] { return Runs == 1; }));
}

// A process that accepts but never answers: its requests were not sent, and
// a new connection is made once it is back.
TEST(PeerNetwork, SilentPeerIsClosedAndConnectedAgain) {
  RawPeer Peer;
  Node Entry("a", 7, {}, 300ms);
  Entry.Net.setPeers({{"b", Peer.address()}});
  EXPECT_EQ(readAll(*openTo(Entry, "b", "x")).Failure.Kind,
            ErrorKind::RelayRefused);
  EXPECT_TRUE(eventually(
      [&] { return Entry.Net.send("b", wire::ConfigOffer{9}).has_value(); }));
  Peer.accept(); // The connection that was given up.
  Peer.accept();
  Peer.send(wire::Hello{"b", 2, "", wire::SchemaVersion});
  EXPECT_TRUE(std::holds_alternative<wire::Hello>(Peer.receive()));
  EXPECT_EQ(Peer.receive(), wire::Message(wire::ConfigOffer{9}));
}

// A peer that falls silent in the middle of an answer is a loss; keep-alives
// hold an idle connection open.
TEST(PeerNetwork, SilenceMidwayIsALossAndKeepAlivesAreNot) {
  RawPeer Peer;
  Node Entry("a", 7, {}, 300ms);
  Node Other("c", 3, {}, 300ms);
  Entry.Net.setPeers({{"b", Peer.address()}, {"c", Other.Net.address()}});
  const auto Kept =
      capture([&] { return Entry.Net.send("c", wire::ConfigOffer{1}); });
  const auto Reader = openTo(Entry, "b", "x");
  Peer.accept();
  Peer.send(wire::Hello{"b", 2, "", wire::SchemaVersion});
  EXPECT_EQ(readAll(*Reader).Failure.Kind, ErrorKind::RelayLost);
  std::this_thread::sleep_for(600ms);
  EXPECT_TRUE(Entry.Net.sendOn(*Kept, wire::ConfigOffer{2}));
}

TEST(PeerNetwork, FullQueueIsAClearErrorAndControlStillFits) {
  RawPeer Peer;
  Node Entry("a", 7);
  Entry.Net.setPeers({{"b", Peer.address()}});
  const std::string Large(500'000, 'x');
  Expected<std::shared_ptr<RelayReader>> Opened;
  std::vector<std::shared_ptr<RelayReader>> Readers;
  do {
    Opened = capture([&] { return Entry.Client.open("b", {}, Large); });
    if (Opened)
      Readers.push_back(*Opened);
  } while (Opened && Readers.size() < 100);
  EXPECT_EQ(Opened.Failure.Kind, ErrorKind::RelayRefused);
  EXPECT_TRUE(Entry.Net.send("b", wire::ConfigOffer{1}));
}

TEST(PeerNetwork, ProbeTellsAliveSilentAndRefused) {
  Node Alive("b", 2);
  RawPeer Silent;
  HostPort Gone;
  {
    const RawPeer Closed;
    Gone = Closed.address();
  }
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Alive.Net.address()},
                      {"c", Silent.address()},
                      {"d", Gone},
                      {"e", Alive.Net.address()}});
  EXPECT_EQ(Entry.Net.probe("b"), PeerLiveness::Alive);
  EXPECT_EQ(Entry.Net.probe("c", 100ms), PeerLiveness::Silent);
  EXPECT_EQ(Entry.Net.probe("d"), PeerLiveness::Refused);
  // Another daemon at the address does not prove that "e" lives.
  EXPECT_EQ(Entry.Net.probe("e"), PeerLiveness::Silent);
  EXPECT_EQ(Entry.Net.probe("unknown"), PeerLiveness::Silent);
}

TEST(PeerNetwork, MalformedFramesCloseTheConnection) {
  Node Owner("b", 2);
  const auto Address = Owner.Net.address();
  for (const auto &Bytes :
       {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\1x", 5),
        wire::frame(wire::encode(wire::ConfigOffer{1})).value()}) {
    RawPeer Peer;
    Peer.Stream.connect(Poco::Net::SocketAddress(Address.Host, Address.Port));
    Peer.Stream.setReceiveTimeout(Poco::Timespan(5, 0));
    EXPECT_TRUE(std::holds_alternative<wire::Hello>(Peer.receive()));
    Peer.Stream.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    EXPECT_ANY_THROW(Peer.receive());
  }
  Node Entry("a", 1);
  Entry.Net.setPeers({{"b", Address}});
  EXPECT_EQ(Entry.Net.probe("b"), PeerLiveness::Alive);
}

} // namespace
} // namespace nutmegdrift::peer
