// Runs one request at an endpoint over HTTP and passes the answer on.
#ifndef NUTMEGDRIFT_PROXY_ENDPOINT_CLIENT_H
#define NUTMEGDRIFT_PROXY_ENDPOINT_CLIENT_H

#include "nutmegdrift/proxy/slot_source.h"
#include "nutmegdrift/proxy/version_sampler.h"

namespace nutmegdrift::proxy {

/// Progress deadlines and bounds of an exchange with an endpoint.
struct EndpointOptions {
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Silence before the first byte of the body.
  std::chrono::milliseconds FirstByteTimeout{30000};
  /// Silence between two parts of a stream.
  std::chrono::milliseconds ProgressTimeout{5000};
  /// Answers that are not streamed are held whole, so that a cut one is never
  /// passed on; longer ones are refused.
  std::size_t MaxBufferedAnswer = 1024UL * 1024UL;
};

/// Sends Request to the replica of Slot and its answer to Sink, charging the
/// slot while tokens stream. Thread-safe; each call uses its own connection.
///
/// Errors: EndpointRefused (not started), LeaseLost (not sent),
/// EndpointFailed, EndpointTimeout, EndpointTruncated, AnswerTooLarge, and
/// those of the sink.
class EndpointClient {
public:
  /// Sampler may be null; else it outlives the client.
  EndpointClient(const Clock &Clk, EndpointOptions Options,
                 VersionSampler *Sampler = nullptr);
  Result<void> run(const RequestContext &Request, Slot &Where,
                   ResponseSink &Sink) const;

private:
  const Clock &m_clock;
  const EndpointOptions m_options;
  VersionSampler *const m_sampler;
};

} // namespace nutmegdrift::proxy

#endif
