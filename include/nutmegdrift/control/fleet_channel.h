// Messages between daemons that membership and ownership need, as an abstract
// interface. The daemon connects it to the peer module.
#ifndef NUTMEGDRIFT_CONTROL_FLEET_CHANNEL_H
#define NUTMEGDRIFT_CONTROL_FLEET_CHANNEL_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/config/fleet_config.h"

#include <map>

namespace nutmegdrift::control {

/// To the zone writer: please write this renewal.
struct LeaseRenewalMessage {
  BootId Boot = 0;
  std::uint64_t Renewal = 0;
  bool Leaving = false;
  /// Newest version of the zone object known to the sender. The message is
  /// not older than that version.
  std::uint64_t Version = 0;

  friend bool operator==(const LeaseRenewalMessage &,
                         const LeaseRenewalMessage &) = default;
};

/// The zone object holds the renewal at this version. Renewal 0 refuses a
/// heartbeat whose age is not bounded and only tells the version.
struct LeaseAckMessage {
  BootId Boot = 0; ///< The holder's boot.
  std::uint64_t Version = 0;
  std::uint64_t Renewal = 0;

  friend bool operator==(const LeaseAckMessage &,
                         const LeaseAckMessage &) = default;
};

/// To every member of the cell, once a second.
struct PeerHeartbeatMessage {
  BootId Boot = 0;
  std::uint64_t Sequence = 0;
  std::map<DaemonName, Duration>
      HeartbeatAges; ///< Time since each was last heard.

  friend bool operator==(const PeerHeartbeatMessage &,
                         const PeerHeartbeatMessage &) = default;
};

/// Answer to a beat. Sent also while the platform is readable.
struct PeerHeartbeatEchoMessage {
  BootId Boot = 0; ///< The boot that sent the beat.
  std::uint64_t Sequence = 0;
  /// The sender of the echo cannot read the platform.
  bool PlatformUnreadable = false;

  friend bool operator==(const PeerHeartbeatEchoMessage &,
                         const PeerHeartbeatEchoMessage &) = default;
};

/// From a former owner: requests that it still runs on the replica.
struct ResidualRequestsMessage {
  config::ReplicaId Replica;
  std::uint64_t Epoch = 0; ///< Epoch of the new owner's record.
  std::size_t Running = 0;

  friend bool operator==(const ResidualRequestsMessage &,
                         const ResidualRequestsMessage &) = default;
};

/// Direct hand-over during a platform outage. Ack: the receiver has it.
struct HandoverMessage {
  config::ReplicaId Replica;
  std::uint64_t Epoch = 0; ///< Epoch of the receiver's record.
  BootId Boot = 0;         ///< The receiver's boot.
  double Factor = 1.0;     ///< The giver's limit factor.
  std::size_t Running = 0;
  bool Ack = false;

  friend bool operator==(const HandoverMessage &,
                         const HandoverMessage &) = default;
};

/// Result of connecting to a daemon's peer port.
enum class ProbeResult {
  Alive,    ///< It accepted the connection.
  NoAnswer, ///< No answer in time; proves nothing.
  Refused,  ///< No process listens on the port: the process is gone.
};

/// Sends messages without waiting; any message may be lost. Implementations
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
  /// Probes the peer port of this boot of the daemon. Refused only if a
  /// connection attempt was made and refused; returns within 100 ms.
  virtual ProbeResult probe(const DaemonName &Name) = 0;
};

} // namespace nutmegdrift::control

#endif
