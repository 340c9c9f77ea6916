// Connections of a scripted server.
#include "support/raw_peer.h"

namespace nutmegdrift::testing {

class RawPeer::Connection final
    : public net::ByteStream::Listener,
      public std::enable_shared_from_this<Connection> {
public:
  Connection(RawPeer &Owner, int Number, net::TcpSocket Socket)
      : m_owner(Owner), m_number(Number),
        m_stream(std::make_shared<net::ByteStream>(std::move(Socket), *this)),
        m_lateTimer(Owner.m_loop), m_endlessTimer(Owner.m_loop),
        m_endTimer(Owner.m_loop) {}
  ~Connection() override { m_stream->close(); }

  void start() { m_stream->startReading(); }

  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    m_received.append(Data);
    constexpr std::string_view EmptyLine = "\r\n\r\n";
    for (auto End = m_received.find(EmptyLine); End != std::string::npos;
         End = m_received.find(EmptyLine)) {
      const std::string Request = m_received.substr(0, End);
      m_received.erase(0, End + EmptyLine.size());
      ++m_owner.Requests;
      reply(m_owner.m_script(Request));
    }
  }

  void onEnd(net::StreamEnd) override {
    auto Self = shared_from_this();
    m_owner.m_connections.erase(m_number);
  }

private:
  void reply(RawReply Reply) {
    write(Reply.Bytes);
    m_endless = std::move(Reply.Endless);
    writeEndless();
    if (!Reply.Late.empty())
      m_lateTimer.callAfter(Reply.LateAfter,
                            [this, Late = Reply.Late] { write(Late); });
    if (Reply.ThenAfter == Duration{0}) {
      end(Reply.Then);
      return;
    }
    m_stream->pauseReading();
    m_endTimer.callAfter(Reply.ThenAfter,
                         [this, Then = Reply.Then] { end(Then); });
  }

  void end(AfterReply Then) {
    if (Then == AfterReply::Reset)
      m_stream->reset();
    if (Then == AfterReply::Close)
      m_stream->finishWriting();
  }

  void write(const std::string &Bytes) {
    m_stream->write(Bytes);
    m_owner.BytesWritten += Bytes.size();
  }

  void writeEndless() {
    constexpr std::size_t MaxUnsent = std::size_t{64} * 1024;
    constexpr Duration Pause = std::chrono::milliseconds(1);
    if (m_endless.empty() || !m_stream->open())
      return;
    while (m_stream->unsentBytes() < MaxUnsent && m_stream->open() &&
           m_writtenInTurn < MaxUnsent) {
      write(m_endless);
      m_writtenInTurn += m_endless.size();
    }
    m_writtenInTurn = 0;
    m_endlessTimer.callAfter(Pause, [this] { writeEndless(); });
  }

  RawPeer &m_owner;
  const int m_number;
  std::shared_ptr<net::ByteStream> m_stream;
  std::string m_received;
  std::string m_endless;
  std::size_t m_writtenInTurn = 0;
  net::Timer m_lateTimer;
  net::Timer m_endlessTimer;
  net::Timer m_endTimer;
};

RawPeer::RawPeer(net::EventLoop &Loop, Script OnRequest)
    : m_loop(Loop), m_script(std::move(OnRequest)),
      m_listener(Loop, [this](net::TcpSocket Socket) {
        const int Number = ++Connections;
        auto Accepted =
            std::make_shared<Connection>(*this, Number, std::move(Socket));
        m_connections[Number] = Accepted;
        Accepted->start();
      }) {
  m_listener.listen({.Host = "127.0.0.1", .Port = 0});
}

RawPeer::~RawPeer() = default;

HostPort RawPeer::address() const {
  return {.Host = "127.0.0.1", .Port = m_listener.port()};
}

std::string fieldOf(const std::string &Request, const std::string &Name) {
  const std::string Key = "\r\n" + Name + ": ";
  const auto Position = Request.find(Key);
  if (Position == std::string::npos)
    return "";
  const auto Begin = Position + Key.size();
  return Request.substr(Begin, Request.find("\r\n", Begin) - Begin);
}

} // namespace nutmegdrift::testing
