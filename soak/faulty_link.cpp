// Pairs of connections with delayed and held-up bytes.
#include "faulty_link.h"

#include "nutmegdrift/net/tcp_listener.h"

#include <algorithm>
#include <deque>

namespace nutmegdrift::soak {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(2);

} // namespace

/// One caller's connection and the one made for it.
class FaultyLink::Pair : public std::enable_shared_from_this<Pair> {
public:
  Pair(FaultyLink &Owner, net::TcpSocket Caller)
      : m_owner(Owner), m_there(*this, true), m_back(*this, false) {
    m_there.From =
        std::make_shared<net::ByteStream>(std::move(Caller), m_there);
    m_back.From = std::make_shared<net::ByteStream>(Owner.m_loop, m_back);
    m_back.Connected = false;
  }

  void start() {
    m_there.From->startReading();
    m_back.From->connect(m_owner.m_target, ConnectTimeout);
  }
  /// The fault changed; bytes may go on.
  void wake() {
    auto Self = shared_from_this();
    m_there.forward();
    m_back.forward();
  }
  void mute() {
    if (!std::exchange(m_mute, true))
      ++m_owner.m_muted;
  }
  /// Also ends the timers, which must not outlive the link.
  void reset() {
    for (Direction *Each : {&m_there, &m_back}) {
      Each->Timer.cancel();
      Each->From->reset();
    }
  }

private:
  /// One direction: reads From one end and writes to the other.
  struct Direction final : net::ByteStream::Listener {
    Direction(Pair &Of, bool There)
        : Owner(Of), There(There), Timer(Of.m_owner.m_loop) {}

    void onConnected() override {
      Connected = true;
      Owner.wake();
    }
    void onConnectFailed() override { Owner.close(true); }
    void onData(std::string_view Data) override {
      Data = Owner.keep(Data, There);
      if (Data.empty())
        return;
      Waiting.push_back(
          {Owner.m_owner.m_clock.now() + Owner.m_owner.m_fault.Delay,
           std::string(Data)});
      forward();
    }
    void onEnd(net::StreamEnd How) override {
      Ended = true;
      Reset = How == net::StreamEnd::Reset;
      forward();
    }
    [[nodiscard]] bool cut() const {
      const LinkFault &Fault = Owner.m_owner.m_fault;
      return There ? Fault.CutThere : Fault.CutBack;
    }
    void forward() {
      const auto Self = Owner.shared_from_this();
      Direction &Other = There ? Owner.m_back : Owner.m_there;
      if (cut() || !Other.Connected)
        return;
      const TimePoint Now = Owner.m_owner.m_clock.now();
      while (!Waiting.empty() && Waiting.front().first <= Now) {
        Other.From->write(Waiting.front().second);
        Waiting.pop_front();
      }
      if (!Waiting.empty()) {
        Timer.callAfter(Waiting.front().first - Now,
                        [Held = std::weak_ptr<Pair>(Self), this] {
                          if (const auto Alive = Held.lock())
                            forward();
                        });
        return;
      }
      if (Ended)
        Owner.close(Reset);
    }

    Pair &Owner;
    const bool There; ///< From the caller to the target.
    std::shared_ptr<net::ByteStream> From;
    std::deque<std::pair<TimePoint, std::string>> Waiting;
    net::Timer Timer;
    bool Connected = true; ///< Bytes may be written to From.
    bool Ended = false;
    bool Reset = false;
  };

  /// The part of the bytes that the link carries.
  std::string_view keep(std::string_view Data, bool There) {
    const LinkFault &Fault = m_owner.m_fault;
    if (m_mute)
      return {};
    if (!Fault.Lose || (There && Fault.PassedBack > 0))
      return Data;
    if (There) {
      mute();
      return {};
    }
    const std::size_t Left =
        Fault.PassedBack - std::min(Fault.PassedBack, m_passedBack);
    m_passedBack += std::min(Left, Data.size());
    if (Data.size() > Left)
      mute();
    return Data.substr(0, Left);
  }

  /// An end closes both sides; half-open connections are not needed here.
  void close(bool Reset) {
    auto Self = shared_from_this();
    for (Direction *Each : {&m_there, &m_back}) {
      if (Reset)
        Each->From->reset();
      else
        Each->From->finishWriting();
    }
    if (!Reset) {
      // Bytes written before must leave first.
      m_there.Timer.callAfter(std::chrono::milliseconds(100),
                              [Self] { Self->drop(); });
      return;
    }
    drop();
  }
  void drop() {
    auto Self = shared_from_this();
    m_there.From->close();
    m_back.From->close();
    m_owner.m_pairs.erase(Self);
  }

  FaultyLink &m_owner;
  Direction m_there;
  Direction m_back;
  bool m_mute = false;          ///< Carries nothing further.
  std::size_t m_passedBack = 0; ///< Carried back while bytes are lost.
};

FaultyLink::FaultyLink(net::EventLoop &Loop, const Clock &Clk, HostPort Target)
    : m_loop(Loop), m_clock(Clk), m_target(std::move(Target)),
      m_acceptor(Loop) {}

FaultyLink::~FaultyLink() { resetAll(); }

bool FaultyLink::start(const std::string &Host) {
  m_host = Host;
  const auto Endpoint = net::tcpEndpoint({.Host = Host, .Port = 0});
  boost::system::error_code Failed;
  if (!Endpoint || m_acceptor.open(Endpoint->protocol(), Failed) ||
      m_acceptor.bind(*Endpoint, Failed) ||
      m_acceptor.listen(net::TcpListener::Backlog, Failed) ||
      m_acceptor.non_blocking(true, Failed))
    return false;
  accept();
  return true;
}

HostPort FaultyLink::address() const {
  boost::system::error_code Failed;
  const auto Endpoint = m_acceptor.local_endpoint(Failed);
  return {.Host = m_host, .Port = Failed ? std::uint16_t{0} : Endpoint.port()};
}

void FaultyLink::accept() {
  m_acceptor.async_wait(boost::asio::socket_base::wait_read,
                        [this](const boost::system::error_code &Ended) {
                          if (Ended || m_fault.AcceptNone)
                            return; // setFault() goes on.
                          boost::system::error_code Failed;
                          while (true) {
                            net::TcpSocket Caller = m_acceptor.accept(Failed);
                            if (Failed)
                              break;
                            const auto Made = std::make_shared<Pair>(
                                *this, std::move(Caller));
                            m_pairs.insert(Made);
                            Made->start();
                          }
                          accept();
                        });
}

void FaultyLink::setQueue(int Length) {
  // Also changes the queue of a socket that listens already.
  boost::system::error_code Ignored;
  m_acceptor.listen(Length, Ignored);
}

void FaultyLink::setFault(const LinkFault &Fault) {
  const bool Accepted = !m_fault.AcceptNone;
  m_fault = Fault;
  if (Accepted && m_fault.AcceptNone) {
    // The shortest queue holds one connection. The system leaves further ones
    // without an answer.
    setQueue(0);
    boost::system::error_code Ignored;
    const auto Own = m_acceptor.local_endpoint(Ignored);
    for (int I = 0; I < 2; ++I) {
      m_fillers.emplace_back(m_loop, Own.protocol());
      m_fillers.back().non_blocking(true, Ignored);
      m_fillers.back().connect(Own, Ignored);
    }
  } else if (!Accepted && !m_fault.AcceptNone) {
    m_fillers.clear();
    setQueue(net::TcpListener::Backlog);
    m_acceptor.cancel();
    accept();
  }
  const auto Pairs = m_pairs;
  for (const auto &Each : Pairs)
    Each->wake();
}

void FaultyLink::muteAll() {
  for (const auto &Each : m_pairs)
    Each->mute();
}

void FaultyLink::resetAll() {
  const auto Pairs = std::exchange(m_pairs, {});
  for (const auto &Each : Pairs)
    Each->reset();
}

} // namespace nutmegdrift::soak
