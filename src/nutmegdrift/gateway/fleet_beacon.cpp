// Beats over UDP.
#include "nutmegdrift/gateway/fleet_beacon.h"

#include <set>

namespace nutmegdrift::gateway {

namespace {

using boost::asio::ip::udp;

/// Members named in one beat, for daemons that don't know them yet.
constexpr std::size_t MembersTold = 8;
/// Beats read before other work gets its turn.
constexpr int BeatsInARow = 64;

} // namespace

void FleetView::record(const Heartbeat &Value, TimePoint Now) {
  m_members[Value.Daemon] = {.Status = Value, .LastHeartbeat = Now};
}

void FleetView::removeExpired(TimePoint Now) {
  std::erase_if(m_members, [&](const auto &Each) {
    return Now - Each.second.LastHeartbeat > MemberRetention;
  });
}

std::size_t FleetView::aliveCount(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Name, Each] : m_members)
    Count += alive(Each, Now) ? 1 : 0;
  return Count;
}

FleetBeacon::FleetBeacon(net::EventLoop &Loop, const Clock &Clk,
                         DecisionLog &Log, HostPort Own, Hooks Calls)
    : m_clock(Clk), m_log(Log), m_own(std::move(Own)),
      m_hooks(std::move(Calls)), m_socket(Loop), m_timer(Loop) {}

bool FleetBeacon::start() {
  const auto Address = net::tcpEndpoint(m_own);
  if (!Address)
    return false;
  const udp::endpoint Local(Address->address(), Address->port());
  boost::system::error_code Failed;
  m_socket.open(Local.protocol(), Failed);
  if (!Failed)
    m_socket.bind(Local, Failed);
  if (!Failed)
    m_socket.non_blocking(true, Failed);
  if (Failed)
    return false;
  receive();
  tick();
  return true;
}

void FleetBeacon::tick() {
  sendAll();
  m_view.removeExpired(m_clock.now());
  m_timer.callAfter(HeartbeatInterval, [this] { tick(); });
}

void FleetBeacon::sendNow() { sendAll(); }

void FleetBeacon::sendAll() {
  Heartbeat Value = m_hooks.Compose();
  Value.Peers = someMembers();
  const std::string Bytes = encode(Value);
  std::set<HostPort> Targets;
  for (const auto &[Name, Each] : m_view.members())
    Targets.insert(Each.Status.Internal);
  for (const std::string &Host : m_seeds)
    Targets.insert({.Host = Host, .Port = m_own.Port});
  Targets.erase(m_own);
  for (const HostPort &To : Targets)
    sendTo(To, Bytes);
}

std::vector<HostPort> FleetBeacon::someMembers() {
  std::vector<HostPort> Alive;
  const TimePoint Now = m_clock.now();
  for (const auto &[Name, Each] : m_view.members())
    if (m_view.alive(Each, Now))
      Alive.push_back(Each.Status.Internal);
  std::vector<HostPort> Told;
  for (std::size_t I = 0; I < std::min(Alive.size(), MembersTold); ++I)
    Told.push_back(Alive[(m_nextTold + I) % Alive.size()]);
  m_nextTold += MembersTold;
  return Told;
}

void FleetBeacon::sendTo(const HostPort &To, const std::string &Bytes) {
  const auto Address = net::tcpEndpoint(To);
  if (!Address)
    return;
  // A beat that can't be sent is as good as lost; the next one follows soon.
  boost::system::error_code Lost;
  m_socket.send_to(boost::asio::buffer(Bytes),
                   udp::endpoint(Address->address(), Address->port()), 0, Lost);
}

void FleetBeacon::receive() {
  m_socket.async_wait(
      udp::socket::wait_read, [this](const boost::system::error_code &Failed) {
        if (Failed == boost::asio::error::operation_aborted)
          return;
        for (int I = 0; I < BeatsInARow; ++I) {
          udp::endpoint From;
          boost::system::error_code Empty;
          const std::size_t Got = m_socket.receive_from(
              boost::asio::buffer(m_buffer), From, 0, Empty);
          if (Empty == boost::asio::error::would_block ||
              Empty == boost::asio::error::try_again)
            break;
          if (Empty)
            continue;
          const auto Value = decodeHeartbeat({m_buffer.data(), Got});
          if (!Value) {
            m_log.line(LogClass::Fault, "beat.unreadable",
                       {{"from", From.address().to_string()},
                        {"bytes", std::to_string(Got)}});
            continue;
          }
          const TimePoint Now = m_clock.now();
          for (const HostPort &Other : Value->Peers) {
            const bool Known =
                Other == m_own ||
                std::any_of(m_view.members().begin(), m_view.members().end(),
                            [&](const auto &Each) {
                              return Each.second.Status.Internal == Other;
                            });
            if (!Known && net::tcpEndpoint(Other))
              sendTo(Other, encode(m_hooks.Compose()));
          }
          m_view.record(*Value, Now);
          m_hooks.OnHeartbeat(*Value);
        }
        receive();
      });
}

} // namespace nutmegdrift::gateway
