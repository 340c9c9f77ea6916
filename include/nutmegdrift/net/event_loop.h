// The single-threaded event loop of a daemon's connections.
#ifndef NUTMEGDRIFT_NET_EVENT_LOOP_H
#define NUTMEGDRIFT_NET_EVENT_LOOP_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/net/timer_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace nutmegdrift::net {

using EventLoop = boost::asio::io_context;
using TcpSocket = boost::asio::ip::tcp::socket;

/// A one-shot timer. Setting it again replaces the pending call; destroying it
/// cancels the call. The callback runs on the loop, never early, and up to a
/// tenth of the delay late, at most TimerQueue::MaxSlack.
class Timer {
public:
  explicit Timer(EventLoop &Loop) : m_queue(TimerQueue::of(Loop)) {}
  ~Timer() { cancel(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  void callAfter(Duration Delay, std::function<void()> Callback);
  /// Without a delay on purpose, for measurements of time.
  void callExactlyAfter(Duration Delay, std::function<void()> Callback);
  void cancel() { m_queue.cancel(m_entry); }
  [[nodiscard]] bool armed() const { return m_entry.pending(); }

private:
  TimerQueue &m_queue;
  TimerEntry m_entry;
};

/// Times after which an unresponsive TCP peer counts as lost.
struct KeepAlive {
  std::chrono::seconds Idle{1};
  std::chrono::seconds Interval{1};
  int Probes = 2;
};

/// Disables Nagle's algorithm and sets keep-alive probes and TCP_USER_TIMEOUT,
/// so that an unresponsive peer is detected even on an idle connection. Options
/// that the system rejects are skipped.
void tuneSocket(TcpSocket::native_handle_type Socket,
                const KeepAlive &Probes = {});

/// Runs the loop until it is stopped. An exception of a callback is passed to
/// OnError and the loop continues: it must not end what other callers wait for.
void runGuarded(EventLoop &Loop,
                const std::function<void(const std::string &Cause)> &OnError);

/// The TCP endpoint of an address, or nothing if its host is no IP address.
std::optional<boost::asio::ip::tcp::endpoint>
tcpEndpoint(const HostPort &Address);

} // namespace nutmegdrift::net

#endif
