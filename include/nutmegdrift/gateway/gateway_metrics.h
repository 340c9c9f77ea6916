// Counters, gauges and latency histograms of a gateway for Prometheus.
#ifndef NUTMEGDRIFT_GATEWAY_GATEWAY_METRICS_H
#define NUTMEGDRIFT_GATEWAY_GATEWAY_METRICS_H

#include "nutmegdrift/base/error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace nutmegdrift::gateway {

/// Not thread-safe, like all other parts of a gateway.
/// Requests and connections of callers that exceeded the limits.
struct CallerLimitCounts {
  std::uint64_t MemoryRefused = 0;
  std::uint64_t MemoryGaveWay = 0;
  std::uint64_t ConnectionsClosed = 0;
  std::uint64_t ConnectionsNotAccepted = 0;
};

class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();

  void requestStarted();
  /// Number of requests started.
  [[nodiscard]] std::uint64_t requests() const;
  /// A complete response of a replica was passed on.
  void requestServed(int Status);
  /// The gateway responded with an error of its own.
  void requestRefused(ErrorKind Kind);
  void callerDisconnected();
  void retrySent();
  void streamResumed();
  void firstByte(double Seconds);
  void placementWait(double Seconds);
  void storeCall(bool Succeeded);
  void desiredStateAge(double Seconds);
  void connectionsOpened(double Count);
  void logLinesSuppressed(double Count);
  /// A replica crashed while requests of this daemon ran on it.
  void replicaCrashed();
  /// Adds to the counts of what limits of callers have refused or ended.
  void callerLimits(const CallerLimitCounts &Since);
  /// A callback of the event loop failed with an exception.
  void unexpectedError();

  /// All metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace nutmegdrift::gateway

#endif
