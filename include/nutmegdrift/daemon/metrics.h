// The daemon's metrics in the Prometheus text format.
#ifndef NUTMEGDRIFT_DAEMON_METRICS_H
#define NUTMEGDRIFT_DAEMON_METRICS_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/peer/peer_network.h"
#include "nutmegdrift/proxy/admission.h"

#include <memory>
#include <optional>
#include <string>

namespace nutmegdrift::daemon {

/// Figures that are read when metrics are collected.
struct MetricsSnapshot {
  std::vector<proxy::TargetFigures> Targets;
  peer::PeerTraffic Traffic;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t PlatformBytes = 0; ///< Bodies of both directions.
  std::uint64_t ConfigVersion = 0;
  std::uint64_t TicketsHeld = 0;
  int ActiveRequests = 0;
  std::size_t OwnedReplicas = 0;
};

/// Thread-safe. Labels are targets, error kinds and workspaces of the
/// configuration, all of bounded number.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void countRequest(const Target &What, const std::optional<Error> &Failure);
  void countRelayed(const Target &What);
  void countRetry();
  /// The text for /metrics.
  std::string render(const MetricsSnapshot &Now);

private:
  void renderPeerTraffic(const peer::PeerTraffic &Traffic);

  struct Families;
  std::unique_ptr<Families> m_families;
};

} // namespace nutmegdrift::daemon

#endif
