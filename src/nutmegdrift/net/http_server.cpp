// Connections of callers and their exchanges.
#include "nutmegdrift/net/http_server.h"
#include "nutmegdrift/net/connection_limit.h"

#include <algorithm>
#include <charconv>

namespace nutmegdrift::net {

namespace {

/// Pipelined bytes buffered while a request is in progress.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
/// Memory of a connection without its buffers: the connection, its reader and
/// their timers.
constexpr std::size_t ConnectionBytes = std::size_t{4} * 1024;
/// An empty input buffer with a larger capacity is freed.
constexpr std::size_t MaxIdleBufferBytes = std::size_t{4} * 1024;
/// Bytes of small chunks that are parsed before the loop serves others: some
/// 700 chunks, which take about as long as one ordinary request.
constexpr std::size_t SmallChunkSlice = std::size_t{4} * 1024;
/// Connections above the limit are closed in groups of this part of it, because
/// the choice looks at all of them.
constexpr std::size_t CloseGroups = 16;
/// Seconds of Retry-After, in turn, so that callers refused together do not
/// return together.
constexpr std::uint64_t MaxRetryAfter = 3;
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
        m_timer(Server.m_loop), m_memory(Server.m_shared.Memory) {
    m_memory.keep(ConnectionBytes);
    m_memory.OnGiveWay = [this] { timedOut(); };
  }
  ~ServerConnection() override { m_stream->close(); }

  void start() {
    startReader();
    waitIdle();
    m_stream->startReading();
  }

  void onData(std::string_view Data) override {
    auto Self = shared_from_this();
    if (m_lingering) {
      m_dropped += Data.size();
      if (m_dropped > m_server.m_options.Limits.MaxBodyBytes)
        m_stream->pauseReading();
      return;
    }
    m_in.append(Data);
    if (m_exchange) {
      if (m_in.size() > MaxPipelinedBytes ||
          !m_memory.reserve(ConnectionBytes + m_in.size(), 0, m_server.m_clock))
        m_stream->pauseReading();
      return;
    }
    if (!m_sliced)
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
    m_memory.release();
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
    const ConnectionUse Use = state().Use;
    return (Use == ConnectionUse::Idle || Use == ConnectionUse::Unknown) &&
           !m_requestStarted && !m_stream->hasUnreadBytes();
  }
  /// All is sent, and the caller need only close.
  [[nodiscard]] bool lingering() const {
    return m_lingering && m_stream->unsentBytes() == 0;
  }
  [[nodiscard]] ConnectionState state() const {
    // A request that has begun, or the start of one after an answer.
    const bool Receiving =
        m_requestStarted ? m_served || m_reader->headerDone() : !m_in.empty();
    const bool Sent = m_stream->unsentBytes() == 0;
    ConnectionUse Use = m_served ? ConnectionUse::Idle : ConnectionUse::Unknown;
    if (m_lingering && Sent)
      Use = ConnectionUse::Ending;
    else if (m_exchange || Receiving || !Sent)
      Use = ConnectionUse::Busy;
    return {.Use = Use, .Since = m_idleSince};
  }
  [[nodiscard]] bool hasUnreadBytes() const {
    return !m_lingering && m_stream->hasUnreadBytes();
  }
  [[nodiscard]] std::shared_ptr<ServerExchange> exchange() const {
    return m_exchange;
  }
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
    m_memory.keep(ConnectionBytes);
    dropUnlessRead(m_stream->unsentBytes());
  }

  /// Drops an idle connection after IdleTimeout, unless its caller has read
  /// some of the last answer meanwhile.
  void dropUnlessRead(std::size_t Unsent) {
    m_timer.callAfter(m_server.m_options.IdleTimeout, [this, Unsent] {
      const std::size_t Left = m_stream->unsentBytes();
      if (Left < Unsent)
        dropUnlessRead(Left);
      else
        drop();
    });
  }

  /// Reserves the memory of the request that is being received.
  bool reserve() {
    const std::size_t Bytes =
        ConnectionBytes + m_in.size() + m_reader->heldBytes();
    if (Bytes > CallerMemory::SmallBytes && m_reader->headerDone() &&
        m_memory.bytes() <= CallerMemory::SmallBytes &&
        m_server.m_shared.OwnerOf)
      m_memory.setOwner(m_server.m_shared.OwnerOf(m_reader->headers()));
    return m_memory.reserve(Bytes, m_reader->bodyBytes(), m_server.m_clock);
  }

  /// Passes bytes to the reader. Of small chunks only a part is read, and the
  /// loop serves others before the rest.
  void readInput() {
    std::string_view Slice = m_in;
    if (m_reader->sendsSmallChunks())
      Slice = Slice.substr(0, SmallChunkSlice);
    std::size_t Used = m_reader->put(Slice);
    if (Used == 0 && Slice.size() < m_in.size())
      Used = m_reader->put(m_in);
    m_sliced = Used > 0 && Slice.size() < m_in.size();
    m_in.erase(0, Used);
    if (m_in.empty() && m_in.capacity() > MaxIdleBufferBytes)
      std::string().swap(m_in);
  }

  void readRestLater() {
    m_stream->pauseReading();
    boost::asio::post(m_server.m_loop, [Self = shared_from_this()] {
      Self->m_sliced = false;
      if (!Self->m_stream->open() || Self->m_lingering)
        return;
      Self->parse();
      if (!Self->m_sliced && !Self->m_lingering)
        Self->m_stream->resumeReading();
    });
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
    readInput();
    if (m_reader->error() != HttpParseError::None) {
      reject();
      return;
    }
    if (!m_sliced && !m_reader->done() && m_in.size() > MaxUnparsedBytes) {
      sendError(400, "malformed request\n");
      return;
    }
    if (!reserve()) {
      sendError(503, "too little memory for this request\n");
      return;
    }
    if (m_reader->done()) {
      dispatch();
      return;
    }
    if (m_sliced)
      readRestLater();
    if (HadHeader || !m_reader->headerDone())
      return;
    m_reader->reserveBody();
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
    m_sliced = false;
    m_served = true;
    const std::size_t Bytes = m_reader->heldBytes();
    HttpRequest Request = m_reader->take();
    m_keepAlive = Request.KeepAlive;
    m_exchange = std::make_shared<ServerExchange>(
        std::move(Request), m_server.m_clock.now(), m_server.m_shared.Memory);
    m_memory.keep(ConnectionBytes);
    m_exchange->m_memory.setOwner(m_memory.owner());
    m_exchange->m_memory.keep(Bytes);
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
    HeaderList Fields{{"Connection", "close"},
                      {"Content-Type", "text/plain"},
                      {"Content-Length", std::to_string(Text.size())}};
    if (Status == 408 || Status == 503)
      Fields.add("Retry-After",
                 std::to_string(1 + m_server.m_retryTurn++ % MaxRetryAfter));
    m_stream->write(serialiseHead(Status, Fields));
    m_stream->write(Text);
    linger();
  }

  /// Closing a socket with unread bytes would reset the connection and lose the
  /// answer, so incoming bytes are read and dropped for LingerTime, up to the
  /// largest body of a request.
  void linger() {
    m_lingering = true;
    m_sliced = false;
    std::string().swap(m_in);
    startReader(); // Frees the body.
    m_memory.keep(ConnectionBytes);
    m_stream->finishWriting();
    m_stream->resumeReading();
    dropWhenSent(m_stream->unsentBytes(), m_server.m_clock.now());
  }

  /// Drops the connection LingerTime after all was sent, or when its caller has
  /// read nothing for IdleTimeout.
  void dropWhenSent(std::size_t Unsent, TimePoint Progress) {
    m_timer.callAfter(LingerTime, [this, Unsent, Progress] {
      const std::size_t Left = m_stream->unsentBytes();
      const TimePoint Now = m_server.m_clock.now();
      if (Unsent == 0 ||
          (Left >= Unsent && Now - Progress >= m_server.m_options.IdleTimeout))
        drop();
      else
        dropWhenSent(Left, Left < Unsent ? Now : Progress);
    });
  }

  HttpServer &m_server;
  std::shared_ptr<ByteStream> m_stream;
  Timer m_timer;
  /// Of the connection and a request that is being received.
  CallerMemory::Share m_memory;
  std::unique_ptr<RequestReader> m_reader;
  std::string m_in;                           ///< Received, not yet parsed.
  std::shared_ptr<ServerExchange> m_exchange; ///< The request in progress.
  bool m_requestStarted = false; ///< Parsing of the next request has begun.
  bool m_continued = false;
  bool m_keepAlive = true;
  bool m_lingering = false;
  bool m_served = false;     ///< A whole request was received.
  bool m_sliced = false;     ///< The rest of m_in is read in a later turn.
  std::size_t m_dropped = 0; ///< Bytes received while lingering.
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
      m_listener(Loop,
                 [this](TcpSocket Socket) { accept(std::move(Socket)); }) {}

HttpServer::~HttpServer() {
  while (!m_connections.empty())
    (*m_connections.begin())->drop();
}

void HttpServer::accept(TcpSocket Socket) {
  const std::size_t Most = m_shared.MaxConnections;
  if (m_connections.size() >= Most) {
    closeIdleAbove(Most - Most / CloseGroups - 1);
    if (m_connections.size() >= Most) {
      ++m_notAccepted;
      return;
    }
  }
  auto Connection =
      std::make_shared<ServerConnection>(*this, std::move(Socket));
  m_connections.insert(Connection);
  Connection->start();
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
  const std::vector<std::shared_ptr<ServerConnection>> All(
      m_connections.begin(), m_connections.end());
  std::vector<ConnectionState> States;
  States.reserve(All.size());
  for (const auto &Connection : All)
    States.push_back(Connection->state());
  for (const std::size_t Chosen :
       chooseConnectionsToClose(States, m_connections.size() - MaxConnections))
    if (!All[Chosen]->hasUnreadBytes()) {
      ++m_closed;
      All[Chosen]->drop();
    }
}

} // namespace nutmegdrift::net
