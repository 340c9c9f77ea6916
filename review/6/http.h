// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#ifndef NUTMEGDRIFT_REVIEW_6_HTTP_H
#define NUTMEGDRIFT_REVIEW_6_HTTP_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds since the start of the case.
inline double nowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

inline void sleepMs(double Time) {
  if (Time > 0)
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(Time));
}
inline void sleepUntil(double At) { sleepMs(At - nowMs()); }

struct Message {
  std::string First;                         ///< Request line or status line.
  std::map<std::string, std::string> Fields; ///< Names in lower case.
  std::string Body;

  [[nodiscard]] std::string field(std::string Name) const {
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
  /// Word 0 to 2 of the first line.
  [[nodiscard]] std::string word(int Index) const {
    std::size_t At = 0;
    for (; Index > 0; --Index) {
      At = First.find(' ', At);
      if (At == std::string::npos)
        return {};
      ++At;
    }
    return First.substr(At, First.find(' ', At) - At);
  }
  [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket.
class Channel {
public:
  explicit Channel(int Socket) : m_socket(Socket) {}
  ~Channel() { close(); }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  static int connectTo(const std::string &Host, std::uint16_t Port) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    ::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) != 0) {
      ::close(Socket);
      return -1;
    }
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    return Socket;
  }

  [[nodiscard]] bool open() const { return m_socket >= 0; }
  void close() {
    if (m_socket >= 0)
      ::close(m_socket);
    m_socket = -1;
  }
  /// Ends the connection with a reset.
  void reset() {
    const linger Now{.l_onoff = 1, .l_linger = 0};
    if (m_socket >= 0)
      ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
    close();
  }
  [[nodiscard]] int socket() const { return m_socket; }

  bool send(const std::string &Bytes) {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const ssize_t Count = ::send(m_socket, Bytes.data() + Sent,
                                   Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Whether fill() has found the end of the connection.
  [[nodiscard]] bool ended() const { return m_ended; }

  /// Reads more bytes. False at the end, after a failure or at the time.
  bool fill(double Until) {
    pollfd Wait{.fd = m_socket, .events = POLLIN, .revents = 0};
    const double Left = Until - nowMs();
    if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left) + 1) <= 0)
      return false;
    char Buffer[16384];
    const ssize_t Count = ::recv(m_socket, Buffer, sizeof Buffer, 0);
    m_ended = Count <= 0;
    if (m_ended)
      return false;
    m_in.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }

  /// The next message, or nothing if it does not arrive whole.
  std::optional<Message> read(double Until) {
    std::size_t End = 0;
    while ((End = m_in.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Until))
        return std::nullopt;
    Message Out = head(m_in.substr(0, End));
    m_in.erase(0, End + 4);
    if (Out.field("Transfer-Encoding") == "chunked") {
      if (!readChunks(Out, Until))
        return std::nullopt;
      return Out;
    }
    const auto Length = static_cast<std::size_t>(
        std::strtoull(Out.field("Content-Length").c_str(), nullptr, 10));
    while (m_in.size() < Length)
      if (!fill(Until))
        return std::nullopt;
    Out.Body = m_in.substr(0, Length);
    m_in.erase(0, Length);
    return Out;
  }

private:
  static Message head(const std::string &Text) {
    Message Out;
    std::size_t At = Text.find("\r\n");
    Out.First = Text.substr(0, At);
    while (At != std::string::npos) {
      const std::size_t Begin = At + 2;
      At = Text.find("\r\n", Begin);
      const std::string Line = Text.substr(Begin, At - Begin);
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(),
                     [](unsigned char C) { return std::tolower(C); });
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Out.Fields[Name] =
          Value == std::string::npos ? std::string() : Line.substr(Value);
    }
    return Out;
  }

  bool readChunks(Message &Out, double Until) {
    for (;;) {
      std::size_t End = 0;
      while ((End = m_in.find("\r\n")) == std::string::npos)
        if (!fill(Until))
          return false;
      const std::size_t Size = std::strtoull(m_in.c_str(), nullptr, 16);
      while (m_in.size() < End + 2 + Size + 2)
        if (!fill(Until))
          return false;
      Out.Body += m_in.substr(End + 2, Size);
      m_in.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }

  int m_socket;
  std::string m_in;
  bool m_ended = false;
};

/// A thread for each connection.
class Server {
public:
  /// Answers one request on its channel; false ends the connection.
  using Handler = std::function<bool(const Message &, Channel &)>;

  Server(std::string Host, Handler OnRequest)
      : m_host(std::move(Host)), m_handler(std::move(OnRequest)) {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    ::inet_pton(AF_INET, m_host.c_str(), &Address.sin_addr);
    auto *Plain = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof Address;
    if (::bind(m_listener, Plain, Size) != 0 ||
        ::listen(m_listener, 512) != 0 ||
        ::getsockname(m_listener, Plain, &Size) != 0)
      std::exit(2); // NOLINT(concurrency-mt-unsafe)
    m_port = ntohs(Address.sin_port);
    m_accepting = std::thread([this] { accept(); });
  }
  ~Server() {
    stop();
    if (m_accepting.joinable())
      m_accepting.join();
    for (std::thread &Each : m_threads)
      Each.join();
  }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  [[nodiscard]] std::string address() const {
    return m_host + ":" + std::to_string(m_port);
  }
  [[nodiscard]] std::uint16_t port() const { return m_port; }
  [[nodiscard]] bool stopped() const { return m_stopped; }
  /// Ends listening and all connections at once, as the end of a process does.
  void stop() {
    if (m_stopped.exchange(true))
      return;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    dropConnections();
  }
  /// Ends the open connections.
  void dropConnections() {
    const std::scoped_lock Lock(m_mutex);
    for (const int Each : m_open)
      ::shutdown(Each, SHUT_RDWR);
  }

private:
  void accept() {
    while (!m_stopped) {
      const int Socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      const std::scoped_lock Lock(m_mutex);
      if (m_stopped) {
        ::close(Socket);
        return;
      }
      m_open.insert(Socket);
      m_threads.emplace_back([this, Socket] { serve(Socket); });
    }
  }
  void serve(int Socket) {
    Channel Peer(Socket);
    constexpr double Long = 1e9;
    for (;;) {
      const auto Request = Peer.read(Long);
      if (!Request || m_stopped || !m_handler(*Request, Peer))
        break;
    }
    const std::scoped_lock Lock(m_mutex);
    m_open.erase(Socket);
    Peer.close();
  }

  const std::string m_host;
  const Handler m_handler;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopped = false;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::thread m_accepting;
  std::vector<std::thread> m_threads;
};

} // namespace review

#endif
