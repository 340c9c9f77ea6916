// The settings of one daemon, from YAML files. A process learns its name,
// addresses and availability zone only from here.
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

/// Addresses that a daemon listens on; port 0 lets the system choose.
struct ListenSettings {
  HostPort Caller;
  HostPort Peer;
  HostPort Admin;

  friend bool operator==(const ListenSettings &,
                         const ListenSettings &) = default;
};

/// How a daemon finds the others.
struct PeerSettings {
  /// Read member records from the platform objects fleet/<zone>.
  bool FromPlatform = true;
  /// Peer ports to try first, and the only ones while the platform is down
  /// and the daemon knows no members.
  std::vector<HostPort> Seeds;

  friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/// Bounds on requests and connections.
struct LimitSettings {
  std::size_t MaxActiveRequests = 512;
  std::size_t MaxBodyBytes = std::size_t{512} << 10U;
  std::size_t MaxHeaderBytes = std::size_t{16} << 10U;
  /// At 459 bytes for a started ticket a full table takes 30 MB.
  std::size_t MaxTickets = 65'536;
  /// Time for the whole request head and body to arrive.
  std::chrono::milliseconds HeaderTimeout{5'000};
  /// Idle time after which a kept connection is closed.
  std::chrono::milliseconds IdleTimeout{5'000};
  /// Bound on silence of a stream before its first token.
  std::chrono::milliseconds FirstTokenDeadline{30'000};
  /// Bound on silence of a stream after its first token.
  std::chrono::milliseconds ProgressDeadline{5'000};
  /// Bound on a write to a caller that makes no progress.
  std::chrono::milliseconds WriteDeadline{10'000};
  /// Deadline of a request that names none.
  std::chrono::milliseconds DefaultDeadline{60'000};
  /// No request runs longer; a carry without updates expires after it.
  std::chrono::milliseconds MaxRequestDuration{120'000};
  std::chrono::milliseconds TicketExpiry{600'000};

  friend bool operator==(const LimitSettings &,
                         const LimitSettings &) = default;
};

/// The lease of section 6 of the design.
struct LeaseSettings {
  std::chrono::milliseconds Length{3'000};
  /// Added by observers only, never by the holder.
  std::chrono::milliseconds Margin{500};

  friend bool operator==(const LeaseSettings &,
                         const LeaseSettings &) = default;
};

/// Times of rollouts; section 9 of the design.
struct RolloutSettings {
  std::chrono::milliseconds MinCanary{60'000};
  std::chrono::milliseconds MinRamp{60'000};
  /// Time between loads that the weight store allows.
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
  /// The address that callers and other daemons are told for the caller port;
  /// the listen address if the settings name no other.
  HostPort Advertised;
  HostPort Platform;
  PeerSettings Peers;
  LimitSettings Limits;
  LeaseSettings Lease;
  RolloutSettings Rollout;

  friend bool operator==(const DaemonSettings &,
                         const DaemonSettings &) = default;
};

/// Parses and checks settings. A field in a later file replaces the same field
/// of an earlier one, so a fleet shares a template. Error: InvalidSettings,
/// "FILE:LINE: FIELD: PROBLEM" for each problem.
Result<DaemonSettings> parseSettings(const std::vector<NamedText> &Files);

/// Reads and parses the files at Paths. Errors: NotFound, InvalidSettings.
Result<DaemonSettings> loadSettings(const std::vector<std::string> &Paths);

/// "250 ms", "3 s", "10 min" or "2 h"; the space may be left out.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &Text);

} // namespace nutmegdrift::config

#endif
