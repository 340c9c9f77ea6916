// Non-blocking reads and writes, driven by readiness notifications.
#include "nutmegdrift/net/byte_stream.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace nutmegdrift::net {

namespace {

/// Size of the read buffer.
constexpr std::size_t ReadBytes = std::size_t{32} * 1024;
/// Reads of one stream before the loop serves other streams.
constexpr int MaxReadsPerTurn = 1;

std::array<char, ReadBytes> &readBuffer() {
  thread_local std::array<char, ReadBytes> Buffer;
  return Buffer;
}

} // namespace

ByteStream::ByteStream(EventLoop &Loop, Listener &Owner)
    : m_socket(Loop), m_connectTimer(Loop), m_listener(&Owner),
      m_outShare(nullptr) {}

ByteStream::ByteStream(TcpSocket Socket, Listener &Owner,
                       std::shared_ptr<BufferBudget> Unsent)
    : m_socket(std::move(Socket)), m_connectTimer(static_cast<EventLoop &>(
                                       m_socket.get_executor().context())),
      m_listener(&Owner), m_outShare(std::move(Unsent)), m_connected(true) {
  boost::system::error_code Ignored;
  m_socket.non_blocking(true, Ignored);
}

void ByteStream::connect(const HostPort &Peer, Duration Timeout) {
  auto Self = shared_from_this();
  const auto Endpoint = tcpEndpoint(Peer);
  if (!Endpoint) {
    boost::asio::post(m_socket.get_executor(), [Self] {
      if (Self->m_listener)
        Self->m_listener->onConnectFailed();
    });
    return;
  }
  m_connectTimer.callAfter(Timeout, [Self] {
    if (!Self->m_listener || Self->m_connected)
      return;
    boost::system::error_code Ignored;
    Self->m_socket.close(Ignored);
    Self->m_listener->onConnectFailed();
  });
  m_socket.async_connect(
      *Endpoint, [Self](const boost::system::error_code &Failed) {
        // After a timeout the listener has already been notified.
        if (!Self->m_listener || !Self->m_connectTimer.armed())
          return;
        Self->m_connectTimer.cancel();
        if (Failed) {
          Self->m_listener->onConnectFailed();
          return;
        }
        boost::system::error_code Ignored;
        Self->m_socket.non_blocking(true, Ignored);
        tuneSocket(Self->m_socket.native_handle());
        Self->m_connected = true;
        Self->m_listener->onConnected();
        Self->startReading();
        if (Self->m_listener && Self->unsentBytes() > 0)
          Self->flush();
      });
}

void ByteStream::startReading() {
  if (open() && !m_waitingReadable && !m_paused)
    waitReadable();
}

void ByteStream::resumeReading() {
  m_paused = false;
  startReading();
}

void ByteStream::waitReadable() {
  m_waitingReadable = true;
  m_socket.async_wait(
      TcpSocket::wait_read,
      [Self = shared_from_this()](const boost::system::error_code &Failed) {
        Self->m_waitingReadable = false;
        if (!Self->m_listener)
          return;
        if (Failed)
          Self->end(StreamEnd::Reset);
        else
          Self->readAvailable();
      });
}

void ByteStream::readAvailable() {
  auto Self = shared_from_this();
  auto &Buffer = readBuffer();
  for (int Read = 0; Read < MaxReadsPerTurn && open() && !m_paused; ++Read) {
    boost::system::error_code Failed;
    const std::size_t Count =
        m_socket.read_some(boost::asio::buffer(Buffer), Failed);
    if (Failed == boost::asio::error::would_block ||
        Failed == boost::asio::error::try_again)
      break;
    if (Failed) {
      const bool Orderly = Failed == boost::asio::error::eof && !m_lost;
      end(Orderly ? StreamEnd::Closed : StreamEnd::Reset);
      return;
    }
    try {
      m_listener->onData({Buffer.data(), Count});
    } catch (...) {
      end(StreamEnd::Reset);
      throw;
    }
    if (Count < Buffer.size())
      break;
  }
  startReading();
}

void ByteStream::write(std::string_view Bytes) { write(Bytes, nullptr); }

void ByteStream::write(std::string_view Bytes,
                       std::shared_ptr<const std::string> Body) {
  if (!m_listener)
    return;
  const bool WasEmpty = unsentBytes() == 0;
  if (const auto Before = std::exchange(m_body, std::move(Body)))
    m_out.append(*Before, m_bodySent);
  m_bodySent = 0;
  m_out.append(Bytes);
  if (m_connected && WasEmpty && m_batches == 0)
    flush();
  m_outShare.hold(m_out.capacity());
}

WriteBatch::WriteBatch(std::shared_ptr<ByteStream> Stream)
    : m_stream(std::move(Stream)) {
  if (m_stream)
    ++m_stream->m_batches;
}

WriteBatch::~WriteBatch() {
  if (m_stream && --m_stream->m_batches == 0)
    m_stream->flushBatch();
}

void ByteStream::flushBatch() {
  if (m_listener && m_connected && !m_out.empty() && !m_waitingWritable)
    flush();
}

void ByteStream::flush() {
  auto Self = shared_from_this();
  std::size_t Sent = 0; // Of m_out.
  while (Sent < unsentBytes()) {
    boost::system::error_code Failed;
    const boost::asio::const_buffer First =
        boost::asio::buffer(m_out) + std::min(Sent, m_out.size());
    std::size_t Written = 0;
    if (m_body)
      Written = m_socket.write_some(
          std::array{First, boost::asio::buffer(*m_body) + m_bodySent}, Failed);
    else
      Written =
          m_socket.write_some(boost::asio::const_buffers_1(First), Failed);
    if (Failed == boost::asio::error::would_block ||
        Failed == boost::asio::error::try_again)
      break;
    if (Failed) {
      // The loss is reported by the reading side, once all received bytes
      // have been read.
      // EPIPE alone means that the peer closed in order before it reset.
      m_lost = m_lost || Failed != boost::asio::error::broken_pipe;
      std::string().swap(m_out);
      m_body.reset();
      m_outShare.hold(0);
      m_finishing = false;
      return;
    }
    const std::size_t OfOut = std::min(Written, m_out.size() - Sent);
    Sent += OfOut;
    m_bodySent += Written - OfOut;
  }
  m_out.erase(0, Sent);
  m_outShare.hold(m_out.capacity());
  if (unsentBytes() > 0) {
    waitWritable();
    return;
  }
  std::string().swap(m_out);
  m_body.reset();
  m_outShare.hold(0);
  shutdownWhenFlushed();
}

void ByteStream::waitWritable() {
  if (m_waitingWritable)
    return;
  m_waitingWritable = true;
  m_socket.async_wait(
      TcpSocket::wait_write,
      [Self = shared_from_this()](const boost::system::error_code &Failed) {
        Self->m_waitingWritable = false;
        if (!Self->m_listener || Failed)
          return;
        Self->flush();
        if (Self->m_listener && Self->unsentBytes() == 0)
          Self->m_listener->onDrained();
      });
}

ssize_t ByteStream::peek() {
  char Next = 0;
  const ssize_t Count =
      ::recv(m_socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    m_lost = true;
  return Count;
}

bool ByteStream::peerClosed() { return !open() || peek() == 0 || m_lost; }

bool ByteStream::hasUnreadBytes() { return open() && peek() > 0; }

void ByteStream::resetUnlessFinished() {
  m_resetUnlessFinished = true;
  setResetOnClose(true);
}

void ByteStream::setResetOnClose(bool Reset) {
  boost::system::error_code Ignored;
  if (m_socket.is_open())
    m_socket.set_option(boost::asio::socket_base::linger(Reset, 0), Ignored);
}

void ByteStream::finishWriting() {
  m_finishing = true;
  if (unsentBytes() == 0)
    shutdownWhenFlushed();
}

void ByteStream::shutdownWhenFlushed() {
  if (!m_finishing || !m_connected)
    return;
  m_finishing = false;
  boost::system::error_code Ignored;
  m_socket.shutdown(TcpSocket::shutdown_send, Ignored);
  if (std::exchange(m_resetUnlessFinished, false))
    setResetOnClose(false);
}

void ByteStream::end(StreamEnd Reason) {
  Listener *Owner = m_listener;
  close();
  if (Owner)
    Owner->onEnd(Reason);
}

void ByteStream::close() {
  m_listener = nullptr;
  m_body.reset();
  m_connectTimer.cancel();
  boost::system::error_code Ignored;
  m_socket.close(Ignored);
}

void ByteStream::reset() {
  setResetOnClose(true);
  close();
}

} // namespace nutmegdrift::net
