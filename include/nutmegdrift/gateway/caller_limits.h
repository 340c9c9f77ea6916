// What all callers together may use of a daemon.
#ifndef NUTMEGDRIFT_GATEWAY_CALLER_LIMITS_H
#define NUTMEGDRIFT_GATEWAY_CALLER_LIMITS_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/gateway/gateway_metrics.h"
#include "nutmegdrift/gateway/settings.h"
#include "nutmegdrift/net/http_server.h"

namespace nutmegdrift::gateway {

/// Derives the limits from the settings, and reports when they apply.
class CallerLimits {
public:
  explicit CallerLimits(const GatewaySettings &Settings);

  /// Limits of the listener for requests.
  [[nodiscard]] net::SharedCallerLimits
  front(std::function<std::string(const net::HeaderList &)> OwnerOf) const;
  /// Limits of a listener that uses this share of the descriptors.
  [[nodiscard]] net::SharedCallerLimits other(double DescriptorShare) const;

  /// Counts and logs what happened since the last call, and returns memory that
  /// the allocator keeps to the system.
  void sweep(const net::HttpServer &Front, DecisionLog &Log,
             GatewayMetrics &Metrics);

private:
  const std::shared_ptr<net::CallerMemory> m_memory;
  const std::size_t m_descriptors;
  const double m_connectionShare;
  std::uint64_t m_refused = 0;
  std::uint64_t m_gaveWay = 0;
  std::uint64_t m_closed = 0;
  std::uint64_t m_notAccepted = 0;
};

} // namespace nutmegdrift::gateway

#endif
