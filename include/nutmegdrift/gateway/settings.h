// Settings of a gateway daemon, in YAML.
#ifndef NUTMEGDRIFT_GATEWAY_SETTINGS_H
#define NUTMEGDRIFT_GATEWAY_SETTINGS_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/gateway/fleet_rollouts.h"
#include "nutmegdrift/routing/model_dispatcher.h"

namespace nutmegdrift::gateway {

using routing::Milliseconds;

/// Bounds required by the deployment.
struct GatewayBounds {
  /// Time after its revocation during which a key may still be accepted.
  Milliseconds KeyRevocation{5000};
  /// Whether KeyRevocation also binds a daemon that can't reach the store. If
  /// not, keys are accepted by the last desired state that is known.
  bool RevokeWhenPartitioned = true;
  /// Time after this daemon's connection to the store is restored by which it
  /// must act on what the store holds then.
  Milliseconds StoreCatchUp{3000};
  /// Time from a stop signal to the kill.
  Milliseconds StopGrace{8000};
  /// Time for which callers may cache a directory answer.
  std::chrono::seconds DirectoryTtl{2};
  /// Fleet-wide share of a service's requests that may be retries.
  double RetryShare = 0.2;
  Milliseconds RetryWindow{10000};
  /// Fleet-wide number of retries allowed in addition to the share.
  double RetryFloor = 0.0;
  /// Allowed multiple of a cold replica's rate.
  double ColdOverage = 1.5;
  /// Requests that a version may get before its rollout has ended.
  TrialBounds Trial{};

  friend bool operator==(const GatewayBounds &,
                         const GatewayBounds &) = default;
};

/// What callers together may use of the machine.
struct CallerShares {
  /// Of the memory, for requests and connections. Replicas' bytes have a
  /// quarter, and the rest is for the process itself and its allocator.
  double MemoryShare = 0.4;
  /// Of the descriptors, for connections to the listener for requests.
  double ConnectionShare = 0.7;
  /// See net::CallerMemory::Options.
  Milliseconds StallTime{1000};

  friend bool operator==(const CallerShares &, const CallerShares &) = default;
};

/// Duties that one daemon of the fleet holds for the deployment: it calls the
/// operators' service at Service.
struct DutySettings {
  HostPort Service;
  double CallsPerSecond = 50.0; ///< Accepted from all daemons together.
  bool ReportsUsage = false;    ///< Whether usage reports are a duty.
  bool ScalesReplicas = false;  ///< Whether the number of replicas is a duty.
  Milliseconds Lease{3000};
  /// Length of a usage window.
  Milliseconds UsageWindow{5000};
  /// Time from the end of a window to the time at which its report is due.
  Milliseconds UsageLate{10000};
  /// Allowed relative error of a workspace's count.
  double UsageTolerance = 0.05;

  friend bool operator==(const DutySettings &, const DutySettings &) = default;
};

struct GatewaySettings {
  DaemonName Name;
  std::string Zone;
  HostPort Front;     ///< For callers.
  HostPort Readiness; ///< For the platform's checks.
  HostPort Directory; ///< Directory of addresses for callers.
  HostPort Internal;  ///< UDP and TCP between daemons.
  HostPort Metrics;
  HostPort Store; ///< The platform's store.
  /// How long the store keeps changes that a watch may continue from.
  Milliseconds StoreHistory{20000};
  /// Hosts of other daemons; some may be unreachable.
  std::vector<std::string> Seeds;
  double ProcessorShare = 1.0;
  unsigned MemoryMegabytes = 256;
  unsigned Descriptors = 1024;
  CallerShares Callers;
  GatewayBounds Bounds;
  routing::DispatcherOptions Dispatch;
  std::optional<DutySettings> Duties{}; ///< Unset: there are no duties.

  friend bool operator==(const GatewaySettings &,
                         const GatewaySettings &) = default;
};

/// Parses settings; fails with InvalidSettings, naming the field and its line.
/// Unknown fields are ignored.
Result<GatewaySettings> parseGatewaySettings(const std::string &Yaml);

/// Reads and parses a file.
Result<GatewaySettings> loadGatewaySettings(const std::string &Path);

} // namespace nutmegdrift::gateway

#endif
