// A TCP connection on the event loop with buffered writes.
#ifndef NUTMEGDRIFT_NET_BYTE_STREAM_H
#define NUTMEGDRIFT_NET_BYTE_STREAM_H

#include "nutmegdrift/net/event_loop.h"

#include <string>
#include <string_view>

namespace nutmegdrift::net {

/// How a connection ended.
enum class StreamEnd {
  Closed, ///< The peer closed it in order.
  Reset,  ///< Reset, timed out or otherwise lost.
};

/// Reads all bytes as they arrive and writes without blocking. Idle streams
/// hold no buffer: all streams of the thread read into one.
///
/// The listener must outlive the stream or detach itself with close(). No call
/// reaches it after close().
class ByteStream : public std::enable_shared_from_this<ByteStream> {
public:
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onConnected() {}
    virtual void onConnectFailed() {}
    virtual void onData(std::string_view Data) = 0;
    /// All written bytes have been handed to the system.
    virtual void onDrained() {}
    virtual void onEnd(StreamEnd End) = 0;
  };

  ByteStream(EventLoop &Loop, Listener &Owner);
  /// Takes an accepted socket. Call startReading() afterwards.
  ByteStream(TcpSocket Socket, Listener &Owner);

  void connect(const HostPort &To, Duration Timeout);
  void startReading();
  /// Stops reading, so that the peer's window fills up.
  void pauseReading() { m_paused = true; }
  void resumeReading();
  void write(std::string_view Bytes);
  [[nodiscard]] std::size_t unsentBytes() const { return m_out.size(); }
  [[nodiscard]] bool open() const { return m_listener && m_connected; }
  /// Whether the peer's end of the connection has arrived, behind no unread
  /// bytes, though the loop has not come to it yet.
  [[nodiscard]] bool peerEnded();
  /// Ends the sending side after the buffered bytes.
  void finishWriting();
  /// Detaches the listener and closes the connection.
  void close();
  /// Like close(), but the peer sees a reset.
  void reset();

private:
  void waitReadable();
  void readAvailable();
  void flush();
  void waitWritable();
  void end(StreamEnd How);
  void shutdownWhenFlushed();

  TcpSocket m_socket;
  Timer m_connectTimer;
  /// Null once closed; then no operation has an effect.
  Listener *m_listener;
  std::string m_out; ///< Accepted by write() and not yet sent.
  bool m_connected = false;
  bool m_paused = false;
  bool m_waitingReadable = false;
  bool m_waitingWritable = false;
  bool m_finishing = false;
};

} // namespace nutmegdrift::net

#endif
