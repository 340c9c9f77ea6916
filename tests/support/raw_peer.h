// A scripted server for tests: it writes the bytes that a test chooses, whether
// they are an answer or not.
#ifndef NUTMEGDRIFT_TESTS_SUPPORT_RAW_PEER_H
#define NUTMEGDRIFT_TESTS_SUPPORT_RAW_PEER_H

#include "nutmegdrift/net/byte_stream.h"
#include "nutmegdrift/net/tcp_listener.h"

#include <map>

namespace nutmegdrift::testing {

/// What a RawPeer does after it has written its bytes.
enum class AfterReply { KeepOpen, Close, Reset };

/// The reaction to one request.
struct RawReply {
  std::string Bytes;
  /// Written again and again while the other side reads; empty: nothing.
  std::string Endless{};
  AfterReply Then = AfterReply::KeepOpen;
  /// If not 0, nothing more is read until then.
  Duration ThenAfter{0};
  /// Written later on the same connection.
  std::string Late{};
  Duration LateAfter{0};
};

/// Listens on loopback and replies to each request by a script. A request is
/// everything up to an empty line; its body is not read apart.
class RawPeer {
public:
  using Script = std::function<RawReply(const std::string &Request)>;

  RawPeer(net::EventLoop &Loop, Script OnRequest);
  ~RawPeer();
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  [[nodiscard]] HostPort address() const;
  [[nodiscard]] std::size_t openConnections() const {
    return m_connections.size();
  }

  int Requests = 0;
  int Connections = 0;
  std::uint64_t BytesWritten = 0;

private:
  class Connection;

  net::EventLoop &m_loop;
  const Script m_script;
  net::TcpListener m_listener;
  std::map<int, std::shared_ptr<Connection>> m_connections; ///< By number.
};

/// The value of a field in the text of a request; empty if it has none.
std::string fieldOf(const std::string &Request, const std::string &Name);

} // namespace nutmegdrift::testing

#endif
