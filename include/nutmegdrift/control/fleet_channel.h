// Abstract interface for the messages that membership and ownership exchange
// between daemons. The daemon module implements it on the peer network.
#ifndef NUTMEGDRIFT_CONTROL_FLEET_CHANNEL_H
#define NUTMEGDRIFT_CONTROL_FLEET_CHANNEL_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/config/fleet_config.h"

#include <map>

namespace nutmegdrift::control {

/// To the zone writer: a renewal to write to the zone object.
struct LeaseRenewalMessage {
  BootId Boot = 0;
  std::uint64_t Renewal = 0;
  bool Leaving = false;
  /// Newest version of the zone object that the sender has seen. The message is
  /// not older than that version.
  std::uint64_t Version = 0;

  friend bool operator==(const LeaseRenewalMessage &,
                         const LeaseRenewalMessage &) = default;
};

/// Confirms that the zone object of this version holds the renewal. Renewal 0
/// rejects a renewal whose age is not bounded and only reports the version.
struct LeaseAckMessage {
  BootId Boot = 0; ///< Boot of the lease holder.
  std::uint64_t Version = 0;
  std::uint64_t Renewal = 0;

  friend bool operator==(const LeaseAckMessage &,
                         const LeaseAckMessage &) = default;
};

/// To every member of the cell, once a second.
struct PeerHeartbeatMessage {
  BootId Boot = 0;
  std::uint64_t Sequence = 0;
  /// Time since the last heartbeat of each peer.
  std::map<DaemonName, Duration> HeartbeatAges;

  friend bool operator==(const PeerHeartbeatMessage &,
                         const PeerHeartbeatMessage &) = default;
};

/// Answer to a peer heartbeat, also while the platform is readable.
struct PeerHeartbeatEchoMessage {
  BootId Boot = 0; ///< The boot that sent the heartbeat.
  std::uint64_t Sequence = 0;
  /// The sender of the echo cannot read the platform.
  bool PlatformUnreadable = false;

  friend bool operator==(const PeerHeartbeatEchoMessage &,
                         const PeerHeartbeatEchoMessage &) = default;
};

/// From a previous owner: requests that it still runs on the replica.
struct ResidualRequestsMessage {
  config::ReplicaId Replica;
  std::uint64_t Epoch = 0; ///< Epoch of the new owner's record.
  std::size_t Running = 0;

  friend bool operator==(const ResidualRequestsMessage &,
                         const ResidualRequestsMessage &) = default;
};

/// Direct hand-over during a platform outage. The receiver returns the message
/// with Ack set.
struct HandoverMessage {
  config::ReplicaId Replica;
  std::uint64_t Epoch = 0; ///< Epoch of the receiver's record.
  BootId Boot = 0;         ///< The receiver's boot.
  double Factor = 1.0;     ///< The sender's limit factor.
  std::size_t Running = 0;
  bool Ack = false;

  friend bool operator==(const HandoverMessage &,
                         const HandoverMessage &) = default;
};

/// Result of connecting to a daemon's peer port.
enum class ProbeResult {
  Alive,    ///< The connection was accepted.
  NoAnswer, ///< No answer in time; proves nothing.
  Refused,  ///< No process listens on the port: the process has ended.
};

/// Sends messages without blocking; any message may be lost. Implementations
/// must not call back into a controller from within these functions.
class FleetChannel {
public:
  virtual ~FleetChannel() = default;
  virtual void send(const DaemonName &To,
                    const LeaseRenewalMessage &Message) = 0;
  virtual void send(const DaemonName &To, const LeaseAckMessage &Message) = 0;
  virtual void send(const DaemonName &To,
                    const PeerHeartbeatMessage &Message) = 0;
  virtual void send(const DaemonName &To,
                    const PeerHeartbeatEchoMessage &Message) = 0;
  virtual void send(const DaemonName &To,
                    const ResidualRequestsMessage &Message) = 0;
  virtual void send(const DaemonName &To, const HandoverMessage &Message) = 0;
  /// Connects to the daemon's peer port; returns within 100 ms. The result is
  /// Refused only if a connection attempt was made and refused.
  virtual ProbeResult probe(const DaemonName &Name) = 0;
};

} // namespace nutmegdrift::control

#endif
