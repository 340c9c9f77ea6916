// A TCP connection on the event loop with buffered writes.
#ifndef NUTMEGDRIFT_NET_BYTE_STREAM_H
#define NUTMEGDRIFT_NET_BYTE_STREAM_H

#include "nutmegdrift/net/buffer_budget.h"
#include "nutmegdrift/net/event_loop.h"

#include <string>
#include <string_view>

#include <sys/types.h>

namespace nutmegdrift::net {

/// How a connection ended.
enum class StreamEnd {
  Closed, ///< Closed by the peer in an orderly way.
  Reset,  ///< Reset, timed out or otherwise lost.
};

/// Reads bytes as they arrive and writes without blocking. Idle streams hold
/// no read buffer: all streams of a thread share one.
///
/// The listener must outlive the stream or detach itself with close(). It is
/// not called after close(). If it throws while it handles data, its connection
/// ends like a reset one, and the exception goes on to the event loop.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
public:
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onConnected() {}
    virtual void onConnectFailed() {}
    virtual void onData(std::string_view Data) = 0;
    /// All written bytes have been passed to the operating system.
    virtual void onDrained() {}
    virtual void onEnd(StreamEnd End) = 0;
  };

  ByteStream(EventLoop &Loop, Listener &Owner);
  /// Takes over a socket that a TcpListener accepted. Call startReading()
  /// afterwards. Bytes that
  /// are not sent yet count towards Unsent, if it isn't null.
  ByteStream(TcpSocket Socket, Listener &Owner,
             std::shared_ptr<BufferBudget> Unsent = nullptr);

  void connect(const HostPort &Peer, Duration Timeout);
  void startReading();
  /// Stops reading, so that TCP flow control holds the peer back.
  void pauseReading() { m_paused = true; }
  void resumeReading();
  void write(std::string_view Bytes);
  /// Writes Bytes and then Body, which is not copied.
  void write(std::string_view Bytes, std::shared_ptr<const std::string> Body);
  [[nodiscard]] std::size_t unsentBytes() const {
    return m_out.size() + (m_body ? m_body->size() - m_bodySent : 0);
  }
  [[nodiscard]] bool open() const { return m_listener && m_connected; }
  /// Whether the peer has closed the connection and all its bytes have been
  /// read, even if the loop has not processed the end yet.
  [[nodiscard]] bool peerClosed();
  /// Whether the peer has sent bytes that have not been read.
  [[nodiscard]] bool hasUnreadBytes();
  /// Until finishWriting() has been carried out, any close resets the
  /// connection, also the one at the end of the process. For bytes whose end
  /// only the close shows.
  void resetUnlessFinished();
  /// Shuts down the sending side once the buffered bytes have been sent.
  void finishWriting();
  /// Detaches the listener and closes the connection.
  void close();
  /// Like close(), but resets the connection.
  void reset();

private:
  friend class WriteBatch;

  void waitReadable();
  void readAvailable();
  /// The result of a recv() that leaves the bytes unread.
  ssize_t peek();
  void flush();
  void flushBatch();
  void waitWritable();
  void end(StreamEnd Reason);
  void shutdownWhenFlushed();
  void setResetOnClose(bool Reset);

  TcpSocket m_socket;
  Timer m_connectTimer;
  /// Null once closed; operations then have no effect.
  Listener *m_listener;
  std::string m_out; ///< Bytes passed to write() and not yet sent.
  std::shared_ptr<const std::string> m_body{}; ///< Sent after m_out, or null.
  std::size_t m_bodySent = 0;
  BufferBudget::Share m_outShare;
  bool m_connected = false;
  /// A write or a look at the socket reported that the connection is lost. The
  /// operating system reports this only once, and a later read looks like an
  /// orderly close.
  bool m_lost = false;
  bool m_paused = false;
  bool m_waitingReadable = false;
  bool m_waitingWritable = false;
  bool m_finishing = false;
  bool m_resetUnlessFinished = false;
  int m_batches = 0; ///< Present WriteBatch objects.
};

/// While it exists, written bytes are kept, so that they leave in one write at
/// its end.
class WriteBatch {
public:
  /// A null stream is left alone.
  explicit WriteBatch(std::shared_ptr<ByteStream> Stream);
  ~WriteBatch();
  WriteBatch(const WriteBatch &) = delete;
  WriteBatch &operator=(const WriteBatch &) = delete;

private:
  const std::shared_ptr<ByteStream> m_stream;
};

} // namespace nutmegdrift::net

#endif
