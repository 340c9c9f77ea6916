// Connects the controllers' abstract message interfaces to the peer network.
#ifndef NUTMEGDRIFT_DAEMON_FLEET_LINK_H
#define NUTMEGDRIFT_DAEMON_FLEET_LINK_H

#include "nutmegdrift/control/membership_controller.h"
#include "nutmegdrift/control/ownership_controller.h"
#include "nutmegdrift/peer/peer_network.h"

#include <functional>
#include <utility>

namespace nutmegdrift::daemon {

/// Sends the fleet messages over the peer network.
class FleetLink final : public control::FleetChannel {
public:
  /// ConfigVersion gives the version in force, which every beat carries.
  FleetLink(peer::PeerNetwork &Network,
            std::function<std::uint64_t()> ConfigVersion)
      : m_network(Network), m_configVersion(std::move(ConfigVersion)) {}

  void send(const DaemonName &To,
            const control::LeaseRenewalMessage &Message) override;
  void send(const DaemonName &To,
            const control::LeaseAckMessage &Message) override;
  void send(const DaemonName &To,
            const control::PeerHeartbeatMessage &Message) override;
  void send(const DaemonName &To,
            const control::PeerHeartbeatEchoMessage &Message) override;
  void send(const DaemonName &To,
            const control::ResidualRequestsMessage &Message) override;
  void send(const DaemonName &To,
            const control::HandoverMessage &Message) override;
  control::ProbeResult probe(const DaemonName &Name) override;

private:
  /// A message that cannot be sent is lost, as the channel allows.
  void post(const DaemonName &To, const wire::Message &Message);

  peer::PeerNetwork &m_network;
  const std::function<std::uint64_t()> m_configVersion;
};

/// Passes a fleet message to its controller; false if it is none. The
/// configuration version of a beat is left to the caller.
bool deliverFleetMessage(const peer::PeerOrigin &From,
                         const wire::Message &Message,
                         control::MembershipController &Members,
                         control::OwnershipController &Ownership);

} // namespace nutmegdrift::daemon

#endif
