// One HTTP connection to an endpoint with strict framing of the body.
#ifndef NUTMEGDRIFT_PROXY_ENDPOINT_SESSION_H
#define NUTMEGDRIFT_PROXY_ENDPOINT_SESSION_H

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <optional>
#include <string_view>

namespace nutmegdrift::proxy {

/// POCO's body streams report a connection that closed in the middle of a
/// chunked body as a normal end. This session reads the body itself, so that
/// a cut answer is never taken for a whole one.
class EndpointSession final : public Poco::Net::HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;

  /// Connects. A failure here is known to have carried no byte of a request.
  void open(const Poco::Net::SocketAddress &Address,
            const Poco::Timespan &Timeout);

  /// Receives the head of the final answer and prepares the body. The status
  /// may be any number. Throws Poco exceptions.
  void receiveHead(Poco::Net::HTTPResponse &Response);

  /// The next bytes of the body, empty at its end. Throws
  /// Poco::Net::MessageException if the connection closed before the end, and
  /// Poco::TimeoutException after the receive timeout.
  std::string_view readBody();

private:
  enum class Framing { Length, Chunked, UntilClose };

  std::string_view readUpTo(std::size_t Wanted);
  std::size_t readChunkHeader();
  std::string readLine();

  Framing m_framing = Framing::UntilClose;
  std::size_t m_remaining = 0; ///< Of the body, or of the current chunk.
  bool m_firstChunk = true;
  bool m_ended = false;
  std::array<char, 16384> m_buffer{};
};

} // namespace nutmegdrift::proxy

#endif
