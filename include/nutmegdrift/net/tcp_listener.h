// A listening TCP socket.
#ifndef NUTMEGDRIFT_NET_TCP_LISTENER_H
#define NUTMEGDRIFT_NET_TCP_LISTENER_H

#include "nutmegdrift/net/event_loop.h"

namespace nutmegdrift::net {

/// Accepts connections until it is destroyed.
class TcpListener {
public:
  /// Pause after a failed accept. Without it a process that has no descriptors
  /// left would spin.
  static constexpr Duration AcceptPause = std::chrono::milliseconds(50);
  /// Connections that the kernel holds until they are accepted.
  static constexpr int Backlog = 512;

  using OnSocket = std::function<void(TcpSocket)>;

  TcpListener(EventLoop &Loop, OnSocket Taken);

  /// False if the address is no IP number or can't be bound.
  bool listen(const HostPort &Address);
  /// The bound port; 0 before listen().
  [[nodiscard]] std::uint16_t port() const;

private:
  void accept();

  const OnSocket m_taken;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Timer m_retry;
};

} // namespace nutmegdrift::net

#endif
