#include "nutmegdrift/daemon/fleet_link.h"

namespace nutmegdrift::daemon {

namespace {

wire::Millis millis(Duration Value) {
  return std::chrono::duration_cast<wire::Millis>(Value);
}

} // namespace

void FleetLink::post(const DaemonName &To, const wire::Message &Message) {
  (void)errorOf([&] { return m_network.send(To, Message); });
}

void FleetLink::send(const DaemonName &To,
                     const control::LeaseRenewalMessage &Message) {
  post(To, wire::Heartbeat{Message.Renewal,
                           Message.Leaving ? wire::MemberState::Leaving
                                           : wire::MemberState::Active,
                           Message.Version});
}

void FleetLink::send(const DaemonName &To,
                     const control::LeaseAckMessage &Message) {
  post(To, wire::LeaseAck{Message.Version, Message.Renewal, Message.Boot});
}

void FleetLink::send(const DaemonName &To,
                     const control::PeerHeartbeatMessage &Message) {
  wire::Beat Out{
      .Seq = Message.Sequence, .ConfigVersion = m_configVersion(), .Ages = {}};
  for (const auto &[Name, Age] : Message.HeartbeatAges)
    Out.Ages.push_back({Name, millis(Age)});
  post(To, Out);
}

void FleetLink::send(const DaemonName &To,
                     const control::PeerHeartbeatEchoMessage &Message) {
  post(To, wire::BeatEcho{.Seq = Message.Sequence,
                          .Boot = Message.Boot,
                          .PlatformUnreadable = Message.PlatformUnreadable});
}

void FleetLink::send(const DaemonName &To,
                     const control::ResidualRequestsMessage &Message) {
  post(To, wire::Carry{Message.Replica, Message.Epoch, Message.Running});
}

void FleetLink::send(const DaemonName &To,
                     const control::HandoverMessage &Message) {
  post(To, wire::OwnershipHandover{.Replica = Message.Replica,
                                   .Epoch = Message.Epoch,
                                   .Running = Message.Running,
                                   .Boot = Message.Boot,
                                   .Factor = Message.Factor,
                                   .Ack = Message.Ack});
}

control::ProbeResult FleetLink::probe(const DaemonName &Name) {
  constexpr std::chrono::milliseconds Timeout{100};
  switch (m_network.probe(Name, Timeout)) {
  case peer::PeerLiveness::Alive:
    return control::ProbeResult::Alive;
  case peer::PeerLiveness::Refused:
    return control::ProbeResult::Refused;
  case peer::PeerLiveness::Silent:
    break;
  }
  return control::ProbeResult::NoAnswer;
}

namespace {

/// One overload for each fleet message.
struct Delivery {
  const peer::PeerOrigin &From;
  control::MembershipController &Members;
  control::OwnershipController &Ownership;

  bool operator()(const wire::Heartbeat &Message) const {
    Members.onLeaseRenewal(
        From.Daemon, {.Boot = From.Boot,
                      .Renewal = Message.Renewal,
                      .Leaving = Message.State == wire::MemberState::Leaving,
                      .Version = Message.Version});
    return true;
  }
  bool operator()(const wire::LeaseAck &Message) const {
    Members.onLeaseAck(From.Daemon, {.Boot = Message.Boot,
                                     .Version = Message.Version,
                                     .Renewal = Message.Renewal});
    return true;
  }
  bool operator()(const wire::Beat &Message) const {
    control::PeerHeartbeatMessage Out{.Boot = From.Boot,
                                      .Sequence = Message.Seq};
    for (const auto &Age : Message.Ages)
      Out.HeartbeatAges[Age.Daemon] = Age.Age;
    Members.onPeerHeartbeat(From.Daemon, Out);
    return true;
  }
  bool operator()(const wire::BeatEcho &Message) const {
    Members.onPeerHeartbeatEcho(
        From.Daemon, {.Boot = Message.Boot,
                      .Sequence = Message.Seq,
                      .PlatformUnreadable = Message.PlatformUnreadable});
    return true;
  }
  bool operator()(const wire::Carry &Message) const {
    Ownership.onResidualRequests(
        From.Daemon, {Message.Replica, Message.Epoch, Message.Running});
    return true;
  }
  bool operator()(const wire::OwnershipHandover &Message) const {
    Ownership.onHandover(From.Daemon, {.Replica = Message.Replica,
                                       .Epoch = Message.Epoch,
                                       .Boot = Message.Boot,
                                       .Factor = Message.Factor,
                                       .Running = Message.Running,
                                       .Ack = Message.Ack});
    return true;
  }
  template <class Other> bool operator()(const Other & /*Message*/) const {
    return false;
  }
};

} // namespace

bool deliverFleetMessage(const peer::PeerOrigin &From,
                         const wire::Message &Message,
                         control::MembershipController &Members,
                         control::OwnershipController &Ownership) {
  return std::visit(Delivery{From, Members, Ownership}, Message);
}

} // namespace nutmegdrift::daemon
