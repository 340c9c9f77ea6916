// An HTTP/1.1 server on the event loop.
#ifndef NUTMEGDRIFT_NET_HTTP_SERVER_H
#define NUTMEGDRIFT_NET_HTTP_SERVER_H

#include "nutmegdrift/net/byte_stream.h"
#include "nutmegdrift/net/caller_memory.h"
#include "nutmegdrift/net/http_message.h"
#include "nutmegdrift/net/tcp_listener.h"

#include <set>

namespace nutmegdrift::net {

class ServerConnection;

/// A caller's request and the means to answer it. Valid until answered; calls
/// after the caller disconnected have no effect.
class ServerExchange {
public:
  ServerExchange(HttpRequest Request, TimePoint Received,
                 std::shared_ptr<CallerMemory> Memory)
      : m_request(std::move(Request)), m_received(Received),
        m_memory(std::move(Memory)) {}

  [[nodiscard]] HttpRequest &request() { return m_request; }
  [[nodiscard]] TimePoint received() const { return m_received; }

  /// Sends a complete answer.
  void answer(int Status, HeaderList Headers, std::string_view Body);
  /// Sends a head. Without a length the body is sent in chunked encoding.
  void begin(int Status, HeaderList Headers,
             std::optional<std::uint64_t> Length);
  void write(std::string_view Bytes);
  /// Until its end, what is written here is kept to leave in one write.
  [[nodiscard]] WriteBatch batch() const;
  void finish();
  /// Resets the connection, so that a started answer can't appear complete.
  void abort();
  [[nodiscard]] bool begun() const { return m_begun; }
  [[nodiscard]] bool open() const { return !m_connection.expired() && !m_done; }
  [[nodiscard]] std::size_t unsentBytes() const;
  /// Whether the caller has closed its connection, even if the loop has not
  /// processed that yet.
  [[nodiscard]] bool callerDisconnected() const;

  /// Called when the caller disconnects before the end of the answer.
  std::function<void()> OnCallerDisconnected{};
  /// Called when all written bytes have been passed to the operating system.
  std::function<void()> OnDrained{};
  /// Called when the server ends: the request must be answered or aborted now.
  std::function<void()> OnStopping{};

private:
  friend class ServerConnection;

  HttpRequest m_request;
  const TimePoint m_received;
  CallerMemory::Share m_memory; ///< Of the request.
  std::weak_ptr<ServerConnection> m_connection;
  bool m_begun = false;
  bool m_chunked = false;
  bool m_done = false;
};

struct HttpServerOptions {
  HttpLimits Limits{};
  /// From the first byte of a request to the end of its header.
  Duration HeaderTimeout = std::chrono::seconds(3);
  /// From the end of a header to the end of the request.
  Duration RequestTimeout = std::chrono::seconds(20);
  /// Between requests. Also the time after which a caller that reads nothing
  /// of an answer is disconnected.
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// What callers together may use of a process.
struct SharedCallerLimits {
  std::shared_ptr<CallerMemory> Memory{}; ///< Null: not limited.
  /// Whose share of the memory a request counts towards.
  std::function<std::string(const HeaderList &)> OwnerOf{};
  std::size_t MaxConnections = SIZE_MAX;
};

/// Accepts connections and passes each request to a handler.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  HttpServer(EventLoop &Loop, const Clock &Clk, Handler OnRequest);
  ~HttpServer();

  /// Unsent bytes of connections accepted from now on count towards Unsent.
  void setBudget(std::shared_ptr<BufferBudget> Unsent) {
    m_budget = std::move(Unsent);
  }
  /// Applies to connections accepted from now on.
  void setSharedLimits(SharedCallerLimits Limits) {
    m_shared = std::move(Limits);
  }
  /// False if the address can't be bound.
  bool listen(const HostPort &Address) { return m_listener.listen(Address); }
  void setOptions(const HttpServerOptions &Options) { m_options = Options; }
  /// From now on, each answer requests that the caller close its connection.
  void startDraining();
  /// Accepts the connections that have been made, and then no more.
  void stopListening() { m_listener.stop(); }
  /// Closes connections without a request in progress. One whose caller has
  /// sent bytes that are not read yet stays open.
  void closeIdle();
  /// Whether no request is in progress, partly received or unread.
  [[nodiscard]] bool quiet() const;
  /// Calls OnStopping of each request in progress.
  void endRequests();
  /// Closes connections without a request in progress until at most
  /// MaxConnections remain, in the order of chooseConnectionsToClose().
  void closeIdleAbove(std::size_t MaxConnections);
  /// Connections that were closed or not accepted because there were too many.
  [[nodiscard]] std::uint64_t closedForOthers() const { return m_closed; }
  [[nodiscard]] std::uint64_t notAccepted() const { return m_notAccepted; }
  [[nodiscard]] bool draining() const { return m_draining; }
  [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
  [[nodiscard]] std::size_t activeRequests() const { return m_active; }
  /// The bound port, for tests that bind port 0.
  [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

private:
  friend class ServerConnection;

  void accept(TcpSocket Socket);

  EventLoop &m_loop;
  const Clock &m_clock;
  Handler m_handler;
  HttpServerOptions m_options;
  std::shared_ptr<BufferBudget> m_budget; ///< Null: none.
  SharedCallerLimits m_shared;
  TcpListener m_listener;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  std::size_t m_active = 0;
  std::uint64_t m_closed = 0;
  std::uint64_t m_notAccepted = 0;
  std::uint64_t m_retryTurn = 0;
  bool m_draining = false;
};

} // namespace nutmegdrift::net

#endif
