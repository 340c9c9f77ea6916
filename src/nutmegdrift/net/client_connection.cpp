// Sends requests and assigns answers to them.
#include "nutmegdrift/net/client_connection.h"

#include <charconv>
#include <utility>

namespace nutmegdrift::net {

namespace {

/// The timeout in a Keep-Alive field such as "timeout=5, max=100".
std::optional<std::chrono::seconds> keepAliveTimeout(const HeaderList &Fields) {
  const auto Value = Fields.find("Keep-Alive");
  if (!Value)
    return std::nullopt;
  constexpr std::string_view Key = "timeout=";
  const std::size_t Position = Value->find(Key);
  if (Position == std::string_view::npos)
    return std::nullopt;
  unsigned Seconds = 0;
  const char *Begin = Value->data() + Position + Key.size();
  if (std::from_chars(Begin, Value->data() + Value->size(), Seconds).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace

std::string_view toString(ClientFailure Failure) {
  switch (Failure) {
  case ClientFailure::ConnectFailed:
    return "connect-failed";
  case ClientFailure::Reset:
    return "reset";
  case ClientFailure::Closed:
    return "closed";
  case ClientFailure::Malformed:
    return "malformed";
  }
  return "unknown";
}

ClientConnection::ClientConnection(EventLoop &Loop, const Clock &Clk,
                                   HostPort Peer)
    : ClientConnection(Loop, Clk, std::move(Peer), Limits{}) {}

ClientConnection::ClientConnection(EventLoop &Loop, const Clock &Clk,
                                   HostPort Peer, Limits Shared)
    : m_loop(Loop), m_clock(Clk), m_peer(std::move(Peer)),
      m_unreadShare(std::move(Shared.Unparsed)),
      m_chunks(std::move(Shared.Chunks)), m_chunkTimer(Loop) {}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::send(const std::string &Bytes, Duration ConnectTimeout,
                            Events Callbacks, bool HeadOnly,
                            std::shared_ptr<const std::string> Body) {
  m_events = std::move(Callbacks);
  m_busy = true;
  m_headOnly = HeadOnly;
  ++m_requests;
  m_sentAt = m_clock.now();
  m_foreignBytes = 0;
  startAnswer();
  if (!m_stream) {
    m_stream = std::make_shared<ByteStream>(m_loop, *this);
    m_stream->write(Bytes, std::move(Body));
    m_stream->connect(m_peer, ConnectTimeout);
    return;
  }
  if (m_events.MaySend && !m_events.MaySend()) {
    failUnsent();
    return;
  }
  m_stream->write(Bytes, std::move(Body));
}

void ClientConnection::failUnsent() {
  auto Self = shared_from_this();
  m_stream->reset();
  failRequest(ClientFailure::ConnectFailed);
}

void ClientConnection::reset() {
  if (m_stream)
    m_stream->reset();
  close();
}

void ClientConnection::close() {
  if (m_stream)
    m_stream->close();
  std::string().swap(m_unread);
  m_unreadShare.hold(0);
  m_busy = false;
  m_keepAlive = false;
}

bool ClientConnection::reusable() const {
  return !m_busy && m_keepAlive && m_stream && m_stream->open();
}

void ClientConnection::pauseReading() {
  m_paused = true;
  updateReading();
}

void ClientConnection::resumeReading() {
  m_paused = false;
  updateReading();
}

void ClientConnection::updateReading() {
  if (!m_stream)
    return;
  if (m_paused || m_chunkTimer.armed())
    m_stream->pauseReading();
  else
    m_stream->resumeReading();
}

void ClientConnection::addBody(std::string_view Part) {
  if (m_bodyPart.empty()) {
    m_bodyPart = Part;
    return;
  }
  if (m_joinedBody.empty())
    m_joinedBody = m_bodyPart;
  m_joinedBody.append(Part);
}

void ClientConnection::passBodyOn() {
  const std::string_view Part = std::exchange(m_bodyPart, {});
  const std::string Joined = std::exchange(m_joinedBody, {});
  if (!Part.empty() && m_events.OnBody)
    m_events.OnBody(Joined.empty() ? Part : std::string_view(Joined));
}

void ClientConnection::limitChunks() {
  const std::size_t Count = std::exchange(m_smallChunks, 0);
  if (Count == 0 || !m_chunks)
    return;
  const Duration Pause = m_chunks->add(Count, m_clock.now());
  if (Pause <= Duration{0})
    return;
  m_chunkTimer.callAfter(Pause, [this] { updateReading(); });
  updateReading();
}

void ClientConnection::startAnswer() {
  m_answerMatches = false;
  std::string().swap(m_unread);
  m_unreadShare.hold(0);
  m_bodyPart = {};
  m_joinedBody.clear();
  m_reader = std::make_unique<AnswerReader>(
      AnswerReader::Events{
          .OnHead =
              [this](HttpAnswerHead Head) { onAnswerHead(std::move(Head)); },
          .OnBody =
              [this](std::string_view Body) {
                if (m_answerMatches && m_busy)
                  addBody(Body);
              },
          .OnChunk =
              [this](std::uint64_t Length) {
                if (Length < SmallChunkLimit::SmallBytes)
                  ++m_smallChunks;
              }},
      m_headOnly);
}

void ClientConnection::onAnswerHead(HttpAnswerHead Head) {
  if (!m_busy)
    return;
  if (const auto Idle = keepAliveTimeout(Head.Headers))
    m_announcedIdleTimeout = Idle;
  constexpr int FirstFinalStatus = 200;
  m_answerMatches = Head.Status >= FirstFinalStatus &&
                    (!m_events.Accept || m_events.Accept(Head));
  if (m_answerMatches && m_events.OnHead)
    m_events.OnHead(std::move(Head));
}

void ClientConnection::onConnected() {
  m_sentAt = m_clock.now();
  if (m_events.MaySend && !m_events.MaySend())
    failUnsent();
}

void ClientConnection::onConnectFailed() {
  auto Self = shared_from_this();
  m_stream->close();
  failRequest(ClientFailure::ConnectFailed);
}

void ClientConnection::onData(std::string_view Received) {
  auto Self = shared_from_this();
  // The reader doesn't consume incomplete parts, such as half a chunk header.
  // They are kept and parsed again with the bytes that follow.
  std::string Joined;
  std::string_view Data = Received;
  if (!m_unread.empty()) {
    Joined = std::exchange(m_unread, {});
    Joined.append(Received);
    Data = Joined;
  }
  while (!Data.empty() && m_busy) {
    const std::size_t Used = m_reader->put(Data);
    Data.remove_prefix(Used);
    passBodyOn();
    limitChunks();
    if (!m_busy)
      return;
    if (!m_answerMatches)
      m_foreignBytes += Used;
    const std::size_t Unparsed = m_reader->done() ? 0 : Data.size();
    const bool TooMuch = m_foreignBytes > MaxForeignBytes ||
                         Unparsed > MaxUnparsedBytes ||
                         !m_unreadShare.hold(Unparsed);
    if (m_reader->failed() || TooMuch) {
      m_stream->close();
      failRequest(ClientFailure::Malformed);
      return;
    }
    if (!m_reader->done()) {
      if (Data.size() == Joined.size())
        m_unread = std::move(Joined);
      else
        m_unread.assign(Data);
      return;
    }
    if (!m_answerMatches) {
      startAnswer();
      continue;
    }
    m_keepAlive = m_reader->keepAlive();
    // Bytes after a complete answer belong to no request.
    if (!Data.empty() || !m_keepAlive)
      close();
    finish();
    return;
  }
  if (!Data.empty())
    close();
}

void ClientConnection::onEnd(StreamEnd End) {
  auto Self = shared_from_this();
  m_keepAlive = false;
  if (!m_busy)
    return;
  if (End == StreamEnd::Closed && m_reader->headerDone()) {
    m_reader->putEof();
    if (m_answerMatches && !m_reader->failed() && m_reader->done()) {
      finish();
      return;
    }
  }
  failRequest(End == StreamEnd::Closed ? ClientFailure::Closed
                                       : ClientFailure::Reset);
}

void ClientConnection::finish() {
  m_busy = false;
  resumeReading();
  m_idleSince = m_clock.now();
  const Events Callbacks = std::move(m_events);
  m_events = {};
  if (Callbacks.OnEnd)
    Callbacks.OnEnd();
}

void ClientConnection::failRequest(ClientFailure Failure) {
  if (!m_busy)
    return;
  m_busy = false;
  m_keepAlive = false;
  const Events Callbacks = std::move(m_events);
  m_events = {};
  if (Callbacks.OnFailure)
    Callbacks.OnFailure(Failure);
}

} // namespace nutmegdrift::net
