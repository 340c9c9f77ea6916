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
  /// Connections accepted before other work gets its turn. With one in each
  /// turn, a loop with hundreds of busy connections accepts so slowly that the
  /// backlog overflows.
  static constexpr int AcceptedInARow = 64;

  using OnSocket = std::function<void(TcpSocket)>;

  TcpListener(EventLoop &Loop, OnSocket Taken);

  /// False if the address is no IP number or can't be bound.
  bool listen(const HostPort &Address);
  /// The bound port; 0 before listen().
  [[nodiscard]] std::uint16_t port() const;

private:
  void accept();
  void acceptWaiting();

  const OnSocket m_taken;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Timer m_retry;
};

} // namespace nutmegdrift::net

#endif
