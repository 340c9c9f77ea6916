// An HTTP/1.1 client connection to an endpoint or to the platform.
#ifndef NUTMEGDRIFT_NET_CLIENT_CONNECTION_H
#define NUTMEGDRIFT_NET_CLIENT_CONNECTION_H

#include "nutmegdrift/net/byte_stream.h"
#include "nutmegdrift/net/http_message.h"
#include "nutmegdrift/net/small_chunk_limit.h"

namespace nutmegdrift::net {

enum class ClientFailure {
  ConnectFailed, ///< No byte of the request was sent.
  Reset,         ///< Lost after bytes may have been sent.
  Closed,        ///< Orderly close before the answer was complete.
  Malformed,     ///< The bytes are not a valid answer.
};

/// "connect-failed", "reset", "closed" or "malformed".
std::string_view toString(ClientFailure Failure);

/// Runs one request at a time. Answers to other requests are read and dropped;
/// bytes that arrive while no request is in progress end the connection.
class ClientConnection final
    : public ByteStream::Listener,
      public std::enable_shared_from_this<ClientConnection> {
public:
  /// Bytes of other answers and interim heads that are read and dropped for one
  /// request. With more the request fails, because they may come without end.
  static constexpr std::size_t MaxForeignBytes = std::size_t{256} * 1024;

  /// Callbacks of one request. The last call is either OnEnd or OnFailure.
  struct Events {
    /// Asked right before the request is written to the open connection; if
    /// not, the request fails like one that could not connect. Empty: always.
    std::function<bool()> MaySend{};
    /// Whether the answer belongs to this request. Empty: always.
    std::function<bool(const HttpAnswerHead &)> Accept{};
    std::function<void(HttpAnswerHead)> OnHead{};
    /// Called once for all chunks that arrive together.
    std::function<void(std::string_view)> OnBody{};
    std::function<void()> OnEnd{};
    std::function<void(ClientFailure)> OnFailure{};
  };

  /// Limits shared with other connections; null: none.
  struct Limits {
    std::shared_ptr<SmallChunkLimit> Chunks{}; ///< Of the endpoint.
    std::shared_ptr<BufferBudget> Unparsed{};  ///< Of the process.
  };

  ClientConnection(EventLoop &Loop, const Clock &Clk, HostPort Peer);
  ClientConnection(EventLoop &Loop, const Clock &Clk, HostPort Peer,
                   Limits Shared);
  ~ClientConnection() override;

  /// Sends a request and connects first if needed. Must not be called while
  /// busy().
  /// Body, if any, is sent after Bytes and not copied.
  void send(const std::string &Bytes, Duration ConnectTimeout, Events Callbacks,
            bool HeadOnly = false,
            std::shared_ptr<const std::string> Body = nullptr);
  /// Closes without further callbacks.
  void close();
  /// Like close(), but bytes that were not transmitted are dropped.
  void reset();
  /// Whether a request is in progress.
  [[nodiscard]] bool busy() const { return m_busy; }
  [[nodiscard]] bool connected() const { return m_stream && m_stream->open(); }
  /// Whether another request may be sent on the open connection.
  [[nodiscard]] bool reusable() const;
  /// Whether the current request was sent on a connection used before.
  [[nodiscard]] bool reused() const { return m_requests > 1; }
  /// When the current request was written to the open connection.
  [[nodiscard]] TimePoint sentAt() const { return m_sentAt; }
  [[nodiscard]] TimePoint idleSince() const { return m_idleSince; }
  [[nodiscard]] const HostPort &peer() const { return m_peer; }
  /// The endpoint's announced idle timeout, if any.
  [[nodiscard]] std::optional<std::chrono::seconds>
  announcedIdleTimeout() const {
    return m_announcedIdleTimeout;
  }
  void pauseReading();
  void resumeReading();

  void onConnected() override;
  void onConnectFailed() override;
  void onData(std::string_view Received) override;
  void onEnd(StreamEnd End) override;

private:
  /// Fails the request before any byte of it was sent.
  void failUnsent();
  void startAnswer();
  void onAnswerHead(HttpAnswerHead Head);
  /// Keeps a part of the body until passBodyOn().
  void addBody(std::string_view Part);
  void passBodyOn();
  /// Pauses reading if the endpoint sends too many small chunks.
  void limitChunks();
  void updateReading();
  void finish();
  void failRequest(ClientFailure Failure);

  EventLoop &m_loop;
  const Clock &m_clock;
  const HostPort m_peer;
  std::shared_ptr<ByteStream> m_stream;
  std::unique_ptr<AnswerReader> m_reader; ///< Set while busy.
  std::string m_unread; ///< Bytes that the reader has not consumed.
  BufferBudget::Share m_unreadShare;
  std::size_t m_foreignBytes = 0; ///< Dropped for the current request.
  Events m_events;
  std::string_view m_bodyPart; ///< Of the bytes that are being read.
  std::string m_joinedBody;    ///< Several parts; empty if m_bodyPart is all.
  const std::shared_ptr<SmallChunkLimit> m_chunks;
  std::size_t m_smallChunks = 0; ///< Not yet counted by m_chunks.
  Timer m_chunkTimer;            ///< Until the limit allows reading again.
  bool m_paused = false;         ///< By pauseReading().
  bool m_busy = false;
  /// The answer being read belongs to the request.
  bool m_answerMatches = false;
  bool m_headOnly = false;
  bool m_keepAlive = true;
  std::size_t m_requests = 0;
  TimePoint m_sentAt{};
  TimePoint m_idleSince{};
  std::optional<std::chrono::seconds> m_announcedIdleTimeout;
};

} // namespace nutmegdrift::net

#endif
