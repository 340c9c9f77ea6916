// A listening TCP socket.
#ifndef NUTMEGDRIFT_NET_TCP_LISTENER_H
#define NUTMEGDRIFT_NET_TCP_LISTENER_H

#include "nutmegdrift/net/event_loop.h"

namespace nutmegdrift::net {

/// Accepts connections until it is destroyed.
class TcpListener {
public:
  /// Delay after a failed accept. Without it, a process without free file
  /// descriptors would retry in a busy loop.
  static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);
  /// Connections that the kernel queues until they are accepted.
  static constexpr int Backlog = 512;
  /// Connections accepted before the loop runs other work. With one per turn, a
  /// loop with hundreds of busy connections accepts so slowly that the backlog
  /// overflows.
  static constexpr int MaxAcceptsPerTurn = 64;

  using OnSocket = std::function<void(TcpSocket)>;

  TcpListener(EventLoop &Loop, OnSocket OnAccepted);

  /// False if the host is no IP address or the address can't be bound.
  bool listen(const HostPort &Address);
  /// Accepts the connections that wait in the kernel's queue, and then no more.
  void stop();
  /// The bound port; 0 before listen().
  [[nodiscard]] std::uint16_t port() const;

private:
  void accept();
  void acceptPending();

  const OnSocket m_onAccepted;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Timer m_retry;
};

} // namespace nutmegdrift::net

#endif
