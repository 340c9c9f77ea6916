// Sends one answer to a caller over HTTP.
#ifndef NUTMEGDRIFT_PROXY_HTTP_SINK_H
#define NUTMEGDRIFT_PROXY_HTTP_SINK_H

#include "nutmegdrift/proxy/request.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <functional>

namespace nutmegdrift::proxy {

/// Writes the head through POCO and the body straight to the socket, since
/// POCO's streams do not report a write that timed out after a part of it.
class HttpSink final : public ResponseSink {
public:
  HttpSink(const Clock &Clk, Poco::Net::HTTPServerRequestImpl &Request,
           Poco::Net::HTTPServerResponse &Response, std::string RequestId,
           std::chrono::milliseconds WriteTimeout,
           std::function<std::vector<HostPort>()> OtherAddresses);

  Result<void> begin(const ResponseHead &Head) override;
  Result<void> write(std::string_view Bytes) override;
  Result<void> finish() override;
  /// Ends a connection whose request was not read to its end: tells the caller
  /// that no more comes and discards, within bounds, what it still sends.
  /// Closing at once would reset the connection and lose the refusal.
  void discardRest();
  /// True if the caller has closed its connection.
  [[nodiscard]] bool callerGone();
  void abort(const Error &Failure) override;
  [[nodiscard]] bool started() const override { return m_started; }

private:
  Result<void> sendAll(std::string_view Bytes);
  void refuse(const Error &Failure);
  void cut(const Error &Failure);

  const Clock &m_clock;
  Poco::Net::StreamSocket m_socket;
  Poco::Net::HTTPServerResponse &m_response;
  const std::string m_requestId;
  const std::chrono::milliseconds m_writeTimeout;
  const std::function<std::vector<HostPort>()> m_otherAddresses;
  bool m_started = false;
  bool m_chunked = false;
};

} // namespace nutmegdrift::proxy

#endif
