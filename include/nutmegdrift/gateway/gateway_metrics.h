// Counters, gauges and latency histograms of a gateway for Prometheus.
#ifndef NUTMEGDRIFT_GATEWAY_GATEWAY_METRICS_H
#define NUTMEGDRIFT_GATEWAY_GATEWAY_METRICS_H

#include "nutmegdrift/base/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegdrift::gateway {

/// Present values of the duties.
struct DutyGauges {
  bool Holds = false;
  std::uint64_t Epoch = 0;
  std::uint64_t DecidedWindow = 0;
  std::size_t PendingWindows = 0;
  std::size_t OverdueWindows = 0;
  /// Sum of the replicas that are ordered.
  std::uint64_t OrderedReplicas = 0;
};

/// Results of a call to the service of the duties.
enum class DutyCallResult { Accepted, Limited, Refused, Failed };

/// "accepted", "limited", "refused" or "failed".
std::string_view toString(DutyCallResult Result);

/// Not thread-safe, like all other parts of a gateway.
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
  void duties(const DutyGauges &Now);
  /// Duty is "usage" or "scale".
  void dutyCall(std::string_view Duty, DutyCallResult Result);
  /// The lease on the duties was claimed by this daemon.
  void dutiesClaimed();
  void desiredStateAge(double Seconds);
  void connectionsOpened(double Count);
  void logLinesSuppressed(double Count);
  /// Usage windows that have ended and are not known to be decided.
  void usageWindowsPending(double Count);
  /// A replica crashed while requests of this daemon ran on it.
  void replicaCrashed();
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
