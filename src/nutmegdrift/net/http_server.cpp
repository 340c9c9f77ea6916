// Connections of callers and their exchanges.
#include "nutmegdrift/net/http_server.h"

#include <algorithm>
#include <charconv>

namespace nutmegdrift::net {

namespace {

/// Pipelined bytes buffered while a request is in progress.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
/// Time for a caller to read the last answer before its connection is closed.
constexpr Duration LingerTime = std::chrono::seconds(1);

} // namespace

class ServerConnection final
    : public ByteStream::Listener,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(HttpServer &Server, TcpSocket Socket)
      : m_server(Server), m_stream(std::make_shared<ByteStream>(
                              std::move(Socket), *this, Server.m_budget)),
        m_timer(Server.m_loop) {}
  ~ServerConnection() override { m_stream->close(); }

  void start() {
    startReader();
    waitIdle();
    m_stream->startReading();
  }

  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    if (m_lingering)
      return;
    m_in.append(Data);
    if (m_exchange) {
      if (m_in.size() > MaxPipelinedBytes)
        m_stream->pauseReading();
      return;
    }
    parse();
  }

  void onDrained() override {
    if (m_exchange && m_exchange->OnDrained)
      m_exchange->OnDrained();
  }

  void onEnd(StreamEnd) override { drop(); }

  void drop() {
    auto Self = shared_from_this();
    m_stream->close();
    m_timer.cancel();
    m_server.m_connections.erase(Self);
    if (auto Exchange = std::move(m_exchange)) {
      --m_server.m_active;
      Exchange->m_done = true;
      Exchange->m_connection.reset();
      if (Exchange->OnCallerDisconnected)
        Exchange->OnCallerDisconnected();
    }
  }

  void reset() {
    m_stream->reset();
    if (m_exchange) {
      m_exchange->OnCallerDisconnected = nullptr;
      m_exchange->OnDrained = nullptr;
    }
    drop();
  }

  [[nodiscard]] bool idle() const {
    return !m_exchange && !m_requestStarted && m_in.empty() &&
           !m_stream->hasUnreadBytes();
  }
  [[nodiscard]] bool lingering() const { return m_lingering; }
  [[nodiscard]] std::shared_ptr<ServerExchange> exchange() const {
    return m_exchange;
  }
  [[nodiscard]] TimePoint idleSince() const { return m_idleSince; }
  [[nodiscard]] bool closeAfterAnswer() const {
    return m_server.m_draining || !m_keepAlive;
  }
  /// Only the close shows the caller that the answer is complete.
  void endAnswerByClose() {
    m_keepAlive = false;
    m_stream->resetUnlessFinished();
  }
  ByteStream &stream() { return *m_stream; }
  [[nodiscard]] std::shared_ptr<ByteStream> sharedStream() const {
    return m_stream;
  }

  void onAnswered() {
    auto Self = shared_from_this();
    --m_server.m_active;
    if (m_exchange) {
      m_exchange->OnCallerDisconnected = nullptr;
      m_exchange->OnDrained = nullptr;
      m_exchange->OnStopping = nullptr;
      m_exchange->m_connection.reset();
    }
    m_exchange.reset();
    if (closeAfterAnswer()) {
      linger();
      return;
    }
    startReader();
    waitIdle();
    m_stream->resumeReading();
    if (m_in.empty())
      return;
    // Not parsed here, because the handler's call may still be on the stack.
    boost::asio::post(m_server.m_loop, [Self] {
      if (!Self->m_exchange && !Self->m_lingering)
        Self->parse();
    });
  }

private:
  void startReader() {
    m_reader = std::make_unique<RequestReader>(m_server.m_options.Limits);
    m_requestStarted = false;
    m_continued = false;
  }

  void waitIdle() {
    m_idleSince = m_server.m_clock.now();
    m_timer.callAfter(m_server.m_options.IdleTimeout, [this] { drop(); });
  }

  void parse() {
    if (m_in.empty())
      return;
    if (!m_requestStarted) {
      m_requestStarted = true;
      m_timer.callAfter(m_server.m_options.HeaderTimeout,
                        [this] { timedOut(); });
    }
    const bool HadHeader = m_reader->headerDone();
    const std::size_t Used = m_reader->put(m_in);
    m_in.erase(0, Used);
    if (m_reader->error() != HttpParseError::None) {
      reject();
      return;
    }
    if (m_reader->done()) {
      dispatch();
      return;
    }
    if (m_in.size() > MaxUnparsedBytes) {
      sendError(400, "malformed request\n");
      return;
    }
    if (HadHeader || !m_reader->headerDone())
      return;
    m_timer.callAfter(m_server.m_options.RequestTimeout,
                      [this] { timedOut(); });
    if (m_reader->expectsContinue() && !m_continued) {
      m_continued = true;
      m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void dispatch() {
    auto Self = shared_from_this();
    m_timer.cancel();
    HttpRequest Request = m_reader->take();
    m_keepAlive = Request.KeepAlive;
    m_exchange = std::make_shared<ServerExchange>(std::move(Request),
                                                  m_server.m_clock.now());
    m_exchange->m_connection = weak_from_this();
    ++m_server.m_active;
    // The handler may answer immediately, which resets m_exchange.
    const auto Exchange = m_exchange;
    try {
      m_server.m_handler(Exchange);
    } catch (...) {
      Exchange->abort();
      throw;
    }
  }

  void timedOut() { sendError(408, "request not received in time\n"); }

  void reject() {
    switch (m_reader->error()) {
    case HttpParseError::HeaderTooLarge:
      sendError(431, "header too large\n");
      return;
    case HttpParseError::BodyTooLarge:
      sendError(413, "body too large\n");
      return;
    default:
      sendError(400, "malformed request\n");
    }
  }

  void sendError(int Status, std::string_view Text) {
    m_stream->write(serialiseHead(
        Status, {{"Connection", "close"},
                 {"Content-Type", "text/plain"},
                 {"Content-Length", std::to_string(Text.size())}}));
    m_stream->write(Text);
    linger();
  }

  /// Closing a socket with unread bytes would reset the connection and lose the
  /// answer, so incoming bytes are read and dropped for LingerTime.
  void linger() {
    m_lingering = true;
    m_in.clear();
    m_stream->finishWriting();
    m_stream->resumeReading();
    m_timer.callAfter(LingerTime, [this] { drop(); });
  }

  HttpServer &m_server;
  std::shared_ptr<ByteStream> m_stream;
  Timer m_timer;
  std::unique_ptr<RequestReader> m_reader;
  std::string m_in;                           ///< Received, not yet parsed.
  std::shared_ptr<ServerExchange> m_exchange; ///< The request in progress.
  bool m_requestStarted = false; ///< Parsing of the next request has begun.
  bool m_continued = false;
  bool m_keepAlive = true;
  bool m_lingering = false;
  /// End of the last answer, or start of the connection.
  TimePoint m_idleSince{};
};

void ServerExchange::answer(int Status, HeaderList Headers,
                            std::string_view Body) {
  {
    const WriteBatch Batch = batch();
    begin(Status, std::move(Headers), Body.size());
    if (m_request.Method != "HEAD")
      write(Body);
  }
  finish();
}

WriteBatch ServerExchange::batch() const {
  const auto Connection = m_connection.lock();
  return WriteBatch(Connection ? Connection->sharedStream() : nullptr);
}

void ServerExchange::begin(int Status, HeaderList Headers,
                           std::optional<std::uint64_t> Length) {
  const auto Connection = m_connection.lock();
  if (!Connection || m_done)
    return;
  m_begun = true;
  m_chunked = !Length && !m_request.Http10;
  if (Length)
    Headers.add("Content-Length", std::to_string(*Length));
  else if (m_chunked)
    Headers.add("Transfer-Encoding", "chunked");
  else
    Connection->endAnswerByClose();
  if (Connection->closeAfterAnswer())
    Headers.add("Connection", "close");
  Connection->stream().write(serialiseHead(Status, Headers));
}

void ServerExchange::write(std::string_view Bytes) {
  const auto Connection = m_connection.lock();
  if (!Connection || m_done || Bytes.empty())
    return;
  if (!m_chunked) {
    Connection->stream().write(Bytes);
    return;
  }
  std::array<char, 20> Size{};
  const auto End =
      std::to_chars(Size.data(), Size.data() + Size.size(), Bytes.size(), 16);
  std::string Chunk(Size.data(), End.ptr);
  Chunk.reserve(Chunk.size() + Bytes.size() + 4);
  Chunk += "\r\n";
  Chunk += Bytes;
  Chunk += "\r\n";
  Connection->stream().write(Chunk);
}

void ServerExchange::finish() {
  const auto Connection = m_connection.lock();
  if (!Connection || m_done)
    return;
  m_done = true;
  if (m_chunked)
    Connection->stream().write("0\r\n\r\n");
  Connection->onAnswered();
}

void ServerExchange::abort() {
  const auto Connection = m_connection.lock();
  if (!Connection || m_done)
    return;
  m_done = true;
  Connection->reset();
}

std::size_t ServerExchange::unsentBytes() const {
  const auto Connection = m_connection.lock();
  return Connection ? Connection->stream().unsentBytes() : 0;
}

bool ServerExchange::callerDisconnected() const {
  const auto Connection = m_connection.lock();
  return !Connection || Connection->stream().peerClosed();
}

HttpServer::HttpServer(EventLoop &Loop, const Clock &Clk, Handler OnRequest)
    : m_loop(Loop), m_clock(Clk), m_handler(std::move(OnRequest)),
      m_listener(Loop, [this](TcpSocket Socket) {
        auto Connection =
            std::make_shared<ServerConnection>(*this, std::move(Socket));
        m_connections.insert(Connection);
        Connection->start();
      }) {}

HttpServer::~HttpServer() {
  while (!m_connections.empty())
    (*m_connections.begin())->drop();
}

void HttpServer::startDraining() { m_draining = true; }

bool HttpServer::quiet() const {
  return std::all_of(m_connections.begin(), m_connections.end(),
                     [](const auto &Connection) {
                       return Connection->lingering() || Connection->idle();
                     });
}

void HttpServer::endRequests() {
  const auto Connections = m_connections;
  for (const auto &Connection : Connections)
    if (const auto Exchange = Connection->exchange();
        Exchange && Exchange->OnStopping)
      Exchange->OnStopping();
}

void HttpServer::closeIdle() {
  const auto Connections = m_connections;
  for (const auto &Connection : Connections)
    if (Connection->idle())
      Connection->drop();
}

void HttpServer::closeIdleAbove(std::size_t MaxConnections) {
  if (m_connections.size() <= MaxConnections)
    return;
  std::vector<std::shared_ptr<ServerConnection>> Idle;
  for (const auto &Connection : m_connections)
    if (Connection->idle())
      Idle.push_back(Connection);
  const std::size_t CloseCount =
      std::min(m_connections.size() - MaxConnections, Idle.size());
  std::partial_sort(Idle.begin(),
                    Idle.begin() + static_cast<std::ptrdiff_t>(CloseCount),
                    Idle.end(), [](const auto &A, const auto &B) {
                      return A->idleSince() < B->idleSince();
                    });
  Idle.resize(CloseCount);
  for (const auto &Connection : Idle)
    Connection->drop();
}

} // namespace nutmegdrift::net
