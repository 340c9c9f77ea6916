// Heartbeats over UDP.
#include "nutmegdrift/gateway/fleet_beacon.h"

#include <set>

namespace nutmegdrift::gateway {

namespace {

using boost::asio::ip::udp;

/// Members named in one heartbeat, for daemons that don't know them yet.
constexpr std::size_t MaxAdvertisedMembers = 8;
/// Heartbeats read before control returns to the event loop.
constexpr int MaxHeartbeatsPerTurn = 64;

} // namespace

void FleetView::record(const Heartbeat &Value, TimePoint Now) {
  m_members[Value.Daemon] = {.Status = Value, .LastHeartbeat = Now};
}

void FleetView::removeExpired(TimePoint Now) {
  std::erase_if(m_members, [&](const auto &Entry) {
    return Now - Entry.second.LastHeartbeat > MemberRetention;
  });
}

bool FleetView::lost(const DaemonName &Daemon, TimePoint Now) const {
  const auto Entry = m_members.find(Daemon);
  return Entry != m_members.end() && !alive(Entry->second, Now);
}

std::size_t FleetView::aliveCount(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Name, Peer] : m_members)
    Count += alive(Peer, Now) ? 1 : 0;
  return Count;
}

FleetBeacon::FleetBeacon(net::EventLoop &Loop, const Clock &Clk,
                         DecisionLog &Log, HostPort LocalAddress,
                         Hooks Callbacks)
    : m_clock(Clk), m_log(Log), m_localAddress(std::move(LocalAddress)),
      m_hooks(std::move(Callbacks)), m_socket(Loop), m_timer(Loop) {}

bool FleetBeacon::start() {
  const auto Address = net::tcpEndpoint(m_localAddress);
  if (!Address)
    return false;
  const udp::endpoint Local(Address->address(), Address->port());
  boost::system::error_code ErrorCode;
  m_socket.open(Local.protocol(), ErrorCode);
  if (!ErrorCode)
    m_socket.bind(Local, ErrorCode);
  if (!ErrorCode)
    m_socket.non_blocking(true, ErrorCode);
  if (ErrorCode)
    return false;
  receive();
  tick();
  return true;
}

void FleetBeacon::tick() {
  m_timer.callAfter(HeartbeatInterval, [this] { tick(); });
  sendAll();
  m_view.removeExpired(m_clock.now());
}

void FleetBeacon::sendNow() { sendAll(); }

void FleetBeacon::sendAll() {
  Heartbeat Value = m_hooks.Compose();
  Value.Peers = membersToAdvertise();
  const std::string Bytes = encode(Value);
  std::set<HostPort> Targets;
  for (const auto &[Name, Peer] : m_view.members())
    Targets.insert(Peer.Status.Internal);
  for (const std::string &Host : m_seeds)
    Targets.insert({.Host = Host, .Port = m_localAddress.Port});
  Targets.erase(m_localAddress);
  for (const HostPort &Target : Targets)
    sendTo(Target, Bytes);
}

std::vector<HostPort> FleetBeacon::membersToAdvertise() {
  std::vector<HostPort> Alive;
  const TimePoint Now = m_clock.now();
  for (const auto &[Name, Peer] : m_view.members())
    if (m_view.alive(Peer, Now))
      Alive.push_back(Peer.Status.Internal);
  std::vector<HostPort> Advertised;
  for (std::size_t I = 0; I < std::min(Alive.size(), MaxAdvertisedMembers); ++I)
    Advertised.push_back(Alive[(m_nextAdvertised + I) % Alive.size()]);
  m_nextAdvertised += MaxAdvertisedMembers;
  return Advertised;
}

void FleetBeacon::sendTo(const HostPort &Target, const std::string &Bytes) {
  const auto Address = net::tcpEndpoint(Target);
  if (!Address)
    return;
  // A heartbeat that can't be sent counts as lost; the next one follows soon.
  boost::system::error_code Ignored;
  m_socket.send_to(boost::asio::buffer(Bytes),
                   udp::endpoint(Address->address(), Address->port()), 0,
                   Ignored);
}

/// Continues to receive even if a heartbeat could not be handled.
struct FleetBeacon::ReceiveAgain {
  FleetBeacon &Owner;
  ~ReceiveAgain() { Owner.receive(); }
};

void FleetBeacon::receive() {
  m_socket.async_wait(
      udp::socket::wait_read,
      [this](const boost::system::error_code &WaitError) {
        if (WaitError == boost::asio::error::operation_aborted)
          return;
        const ReceiveAgain OnReturn{*this};
        for (int I = 0; I < MaxHeartbeatsPerTurn; ++I) {
          udp::endpoint Sender;
          boost::system::error_code ReadError;
          const std::size_t Size = m_socket.receive_from(
              boost::asio::buffer(m_buffer), Sender, 0, ReadError);
          if (ReadError == boost::asio::error::would_block ||
              ReadError == boost::asio::error::try_again)
            break;
          if (ReadError)
            continue;
          const auto Value = decodeHeartbeat({m_buffer.data(), Size});
          if (!Value) {
            m_log.line(LogClass::Fault, "beat.unreadable",
                       {{"from", Sender.address().to_string()},
                        {"bytes", std::to_string(Size)}});
            continue;
          }
          const TimePoint Now = m_clock.now();
          for (const HostPort &Peer : Value->Peers) {
            const bool IsKnown =
                Peer == m_localAddress ||
                std::any_of(m_view.members().begin(), m_view.members().end(),
                            [&](const auto &Entry) {
                              return Entry.second.Status.Internal == Peer;
                            });
            if (!IsKnown && net::tcpEndpoint(Peer))
              sendTo(Peer, encode(m_hooks.Compose()));
          }
          m_view.record(*Value, Now);
          m_hooks.OnHeartbeat(*Value);
        }
      });
}

} // namespace nutmegdrift::gateway
