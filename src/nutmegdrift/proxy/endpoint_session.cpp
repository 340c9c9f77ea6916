#include "nutmegdrift/proxy/endpoint_session.h"

#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>

#include <algorithm>

namespace nutmegdrift::proxy {

namespace {
constexpr std::size_t MaxChunkLine = 256;
/// Interim answers before the final one; more are no sound answer.
constexpr int MaxInterimAnswers = 8;

/// Whether another answer to the same request follows. An answer with 101
/// would be the last one in HTTP, and no request asks for it.
bool isInterim(int Status) {
  return Status > Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS &&
         Status < Poco::Net::HTTPResponse::HTTP_OK;
}
} // namespace

void EndpointSession::open(const Poco::Net::SocketAddress &Address,
                           const Poco::Timespan &Timeout) {
  Poco::Net::StreamSocket Socket;
  Socket.connect(Address, Timeout);
  Socket.setNoDelay(true);
  attachSocket(Socket);
}

void EndpointSession::receiveHead(Poco::Net::HTTPResponse &Response) {
  receiveResponse(Response);
  for (int I = 0; I < MaxInterimAnswers && isInterim(Response.getStatus()); ++I)
    receiveResponse(Response);
  const auto Status = Response.getStatus();
  m_firstChunk = true;
  m_ended = Status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
            Status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
  if (Response.getChunkedTransferEncoding()) {
    m_framing = Framing::Chunked;
    m_remaining = 0;
  } else if (Response.hasContentLength()) {
    m_framing = Framing::Length;
    m_remaining = static_cast<std::size_t>(Response.getContentLength64());
    m_ended = m_ended || m_remaining == 0;
  } else {
    m_framing = Framing::UntilClose;
  }
}

std::string_view EndpointSession::readBody() {
  if (m_ended)
    return {};
  if (m_framing == Framing::UntilClose)
    throw Poco::Net::MessageException("answer without length or chunks");
  if (m_framing == Framing::Chunked && m_remaining == 0) {
    m_remaining = readChunkHeader();
    if (m_remaining == 0) {
      readLine();
      m_ended = true;
      return {};
    }
  }
  const auto Part = readUpTo(m_remaining);
  m_remaining -= Part.size();
  if (m_framing == Framing::Length && m_remaining == 0)
    m_ended = true;
  return Part;
}

std::string_view EndpointSession::readUpTo(std::size_t Wanted) {
  const auto Length = static_cast<std::streamsize>(
      std::min<std::size_t>(Wanted, m_buffer.size()));
  const int Got = read(m_buffer.data(), Length);
  if (Got <= 0)
    throw Poco::Net::MessageException("connection closed inside the body");
  return {m_buffer.data(), static_cast<std::size_t>(Got)};
}

std::size_t EndpointSession::readChunkHeader() {
  if (!m_firstChunk)
    readLine();
  m_firstChunk = false;
  const auto Line = readLine();
  Poco::UInt64 Size = 0;
  if (!Poco::NumberParser::tryParseHex64(Line.substr(0, Line.find(';')), Size))
    throw Poco::Net::MessageException("bad chunk header");
  return static_cast<std::size_t>(Size);
}

std::string EndpointSession::readLine() {
  std::string Line;
  for (int C = get(); C != '\n'; C = get()) {
    if (C < 0)
      throw Poco::Net::MessageException("connection closed inside the body");
    if (C != '\r')
      Line += static_cast<char>(C);
    if (Line.size() > MaxChunkLine)
      throw Poco::Net::MessageException("chunk header too long");
  }
  return Line;
}

} // namespace nutmegdrift::proxy
