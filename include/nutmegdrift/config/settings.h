// Settings of a daemon from YAML files, the only source of its name, addresses
// and availability zone.
#ifndef NUTMEGDRIFT_CONFIG_SETTINGS_H
#define NUTMEGDRIFT_CONFIG_SETTINGS_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/config/documents.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::config {

/// Listen addresses of a daemon; port 0 lets the system choose.
struct ListenSettings {
  HostPort Caller;
  HostPort Peer;
  HostPort Admin;

  friend bool operator==(const ListenSettings &,
                         const ListenSettings &) = default;
};

/// Discovery of other daemons.
struct PeerSettings {
  /// Read member records from the platform objects fleet/<zone>.
  bool FromPlatform = true;
  /// Peer addresses to try first, and the only ones while the platform is down
  /// and the daemon knows no members.
  std::vector<HostPort> Seeds;

  friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/// Limits of requests and connections.
struct LimitSettings {
  std::size_t MaxActiveRequests = 512;
  std::size_t MaxBodyBytes = std::size_t{512} << 10U;
  std::size_t MaxHeaderBytes = std::size_t{16} << 10U;
  /// A full table takes 30 MB, at 459 bytes per started ticket.
  std::size_t MaxTickets = 65'536;
  /// Time limit for receiving the complete request head and body.
  std::chrono::milliseconds HeaderTimeout{5'000};
  /// Idle time after which a persistent connection is closed.
  std::chrono::milliseconds IdleTimeout{5'000};
  /// Maximum time until the first token of a stream.
  std::chrono::milliseconds FirstTokenDeadline{30'000};
  /// Maximum time between later tokens of a stream.
  std::chrono::milliseconds ProgressDeadline{5'000};
  /// Maximum time for which a write to a caller may make no progress.
  std::chrono::milliseconds WriteDeadline{10'000};
  /// Deadline of requests without one.
  std::chrono::milliseconds DefaultDeadline{60'000};
  /// Maximum run time of a request. Counts of residual requests expire after
  /// this time without an update.
  std::chrono::milliseconds MaxRequestDuration{120'000};
  std::chrono::milliseconds TicketExpiry{600'000};

  friend bool operator==(const LimitSettings &,
                         const LimitSettings &) = default;
};

/// The membership lease; see section 6 of the design.
struct LeaseSettings {
  std::chrono::milliseconds Length{3'000};
  /// Added by observers only, not by the holder.
  std::chrono::milliseconds Margin{500};

  friend bool operator==(const LeaseSettings &,
                         const LeaseSettings &) = default;
};

/// Times of rollouts; see section 9 of the design.
struct RolloutSettings {
  std::chrono::milliseconds MinCanary{60'000};
  std::chrono::milliseconds MinRamp{60'000};
  /// Minimum time between loads that the weight store allows.
  std::chrono::milliseconds LoadInterval{20'000};
  std::chrono::milliseconds MaxOrderTime{60'000};

  friend bool operator==(const RolloutSettings &,
                         const RolloutSettings &) = default;
};

/// All settings of one daemon.
struct DaemonSettings {
  DaemonName Name;
  std::string Zone;
  std::string Region;
  ListenSettings Listen;
  /// Address of the caller port that is advertised to callers and other
  /// daemons; by default the listen address.
  HostPort Advertised;
  HostPort Platform;
  PeerSettings Peers;
  LimitSettings Limits;
  LeaseSettings Lease;
  RolloutSettings Rollout;

  friend bool operator==(const DaemonSettings &,
                         const DaemonSettings &) = default;
};

/// Parses and validates settings. Fields of later files replace those of
/// earlier ones, so that a fleet can share a template. Error: InvalidSettings,
/// "FILE:LINE: FIELD: PROBLEM" for each problem.
Result<DaemonSettings> parseSettings(const std::vector<NamedText> &Files);

/// Reads and parses files. Errors: NotFound, InvalidSettings.
Result<DaemonSettings> loadSettings(const std::vector<std::string> &Paths);

/// Parses "250 ms", "3 s", "10 min" or "2 h"; the space is optional.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &Text);

} // namespace nutmegdrift::config

#endif
