// An HTTP/1.1 server on the event loop.
#ifndef NUTMEGDRIFT_NET_HTTP_SERVER_H
#define NUTMEGDRIFT_NET_HTTP_SERVER_H

#include "nutmegdrift/net/byte_stream.h"
#include "nutmegdrift/net/http_message.h"
#include "nutmegdrift/net/tcp_listener.h"

#include <set>

namespace nutmegdrift::net {

class ServerConnection;

/// One request of a caller and the way to answer it. Valid until answered;
/// calls after the caller left have no effect.
class ServerExchange {
public:
  explicit ServerExchange(HttpRequest Request, TimePoint Received)
      : m_request(std::move(Request)), m_received(Received) {}

  [[nodiscard]] HttpRequest &request() { return m_request; }
  [[nodiscard]] TimePoint received() const { return m_received; }

  /// Sends a whole answer.
  void answer(int Status, HeaderList Headers, std::string_view Body);
  /// Sends a head. Without a length the body is sent in chunks.
  void begin(int Status, HeaderList Headers,
             std::optional<std::uint64_t> Length);
  void write(std::string_view Bytes);
  void finish();
  /// Breaks the connection, so that a started answer can't look complete.
  void abort();
  [[nodiscard]] bool begun() const { return m_begun; }
  [[nodiscard]] bool open() const { return !m_connection.expired() && !m_done; }
  [[nodiscard]] std::size_t unsentBytes() const;
  /// Whether the caller has closed its connection, also if the loop has not
  /// come to that yet.
  [[nodiscard]] bool callerGone() const;

  /// Called when the caller closed its connection before the answer's end.
  std::function<void()> OnCallerGone{};
  /// Called when written bytes have left.
  std::function<void()> OnDrained{};

private:
  friend class ServerConnection;

  HttpRequest m_request;
  const TimePoint m_received;
  std::weak_ptr<ServerConnection> m_connection;
  bool m_begun = false;
  bool m_chunked = false;
  bool m_done = false;
};

struct HttpServerOptions {
  HttpLimits Limits{};
  /// From the first byte of a request to the end of its header.
  Duration HeaderTimeout = std::chrono::seconds(3);
  /// From the first byte of a request to its end.
  Duration RequestTimeout = std::chrono::seconds(20);
  /// Between requests.
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// Accepts connections and hands each request to a handler.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  HttpServer(EventLoop &Loop, const Clock &Clk, Handler OnRequest);
  ~HttpServer();

  /// False if the address can't be bound.
  bool listen(const HostPort &Address) { return m_listener.listen(Address); }
  void setOptions(const HttpServerOptions &Options) { m_options = Options; }
  /// From now on each answer asks the caller to close its connection.
  void startDraining();
  /// Closes connections without a request under way.
  void closeIdle();
  /// Closes connections without a request under way, those that have rested
  /// longest first, until at most Most connections are left.
  void closeIdleBeyond(std::size_t Most);
  [[nodiscard]] bool draining() const { return m_draining; }
  [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
  [[nodiscard]] std::size_t activeRequests() const { return m_active; }
  /// Port that was bound, for tests that bind port 0.
  [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

private:
  friend class ServerConnection;

  EventLoop &m_loop;
  const Clock &m_clock;
  Handler m_handler;
  HttpServerOptions m_options;
  TcpListener m_listener;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  std::size_t m_active = 0;
  bool m_draining = false;
};

} // namespace nutmegdrift::net

#endif
