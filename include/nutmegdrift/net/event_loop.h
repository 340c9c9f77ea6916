// The single-threaded event loop that all connections of a daemon live on.
#ifndef NUTMEGDRIFT_NET_EVENT_LOOP_H
#define NUTMEGDRIFT_NET_EVENT_LOOP_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace nutmegdrift::net {

using EventLoop = boost::asio::io_context;
using TcpSocket = boost::asio::ip::tcp::socket;

/// A one-shot timer. Setting it again replaces the earlier call; destroying it
/// cancels the call. The callback runs on the loop.
class Timer {
public:
  explicit Timer(EventLoop &Loop) : m_timer(Loop) {}
  ~Timer() { cancel(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  void callAfter(Duration Delay, std::function<void()> Callback);
  void cancel();
  [[nodiscard]] bool armed() const { return m_armed != nullptr; }

private:
  boost::asio::steady_timer m_timer;
  /// Shared with the pending wait, which is void once this is replaced.
  std::shared_ptr<bool> m_armed;
};

/// Times after which a silent TCP peer counts as gone.
struct KeepAlive {
  std::chrono::seconds Idle{1};
  std::chrono::seconds Interval{1};
  int Probes = 2;
};

/// Turns off Nagle's algorithm and sets keep-alive probes and
/// TCP_USER_TIMEOUT, so that a connection that went silent is found without
/// traffic of its own. Options that the system refuses are left out.
void tuneSocket(TcpSocket &Socket, const KeepAlive &Probes = {});

/// The TCP endpoint of an IP number and port, if the text is an IP number.
std::optional<boost::asio::ip::tcp::endpoint>
tcpEndpoint(const HostPort &Address);

} // namespace nutmegdrift::net

#endif
