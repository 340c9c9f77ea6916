// Timers and socket options.
#include "nutmegdrift/net/event_loop.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegdrift::net {

void Timer::callAfter(Duration Delay, std::function<void()> Callback) {
  const Duration Slack =
      std::min(std::chrono::duration_cast<Duration>(
                   std::max(Delay, Duration{0}) * TimerQueue::SlackShare),
               TimerQueue::MaxSlack);
  m_queue.add(m_entry, Delay, Slack, std::move(Callback));
}

void Timer::callExactlyAfter(Duration Delay, std::function<void()> Callback) {
  m_queue.add(m_entry, Delay, Duration{0}, std::move(Callback));
}

void tuneSocket(TcpSocket::native_handle_type Socket, const KeepAlive &Probes) {
  auto Set = [Socket](int Level, int Option, int Value) {
    ::setsockopt(Socket, Level, Option, &Value, sizeof(Value));
  };
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(Probes.Idle.count()));
  Set(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(Probes.Interval.count()));
  Set(IPPROTO_TCP, TCP_KEEPCNT, Probes.Probes);
  const auto Total = Probes.Idle + Probes.Interval * Probes.Probes;
  Set(IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(std::chrono::milliseconds(Total).count()));
}

void runGuarded(EventLoop &Loop,
                const std::function<void(const std::string &Cause)> &OnError) {
  for (;;) {
    try {
      TimerQueue::of(Loop).run();
      return;
    } catch (const std::exception &Caught) {
      OnError(Caught.what());
    }
  }
}

std::optional<boost::asio::ip::tcp::endpoint>
tcpEndpoint(const HostPort &Address) {
  boost::system::error_code Bad;
  auto Ip = boost::asio::ip::make_address(Address.Host, Bad);
  if (Bad)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Ip, Address.Port);
}

} // namespace nutmegdrift::net
