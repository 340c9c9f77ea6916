// Heartbeats over UDP.
#include "nutmegdrift/gateway/fleet_beacon.h"

#include <algorithm>

namespace nutmegdrift::gateway {

namespace {

using boost::asio::ip::udp;

/// Members named in one heartbeat, for daemons that don't know them yet.
constexpr std::size_t MaxAdvertisedMembers = 8;
/// Endpoints of daemons that may have left are dropped above this number.
constexpr std::size_t MaxCachedEndpoints = 4096;
/// Heartbeats read before control returns to the event loop.
constexpr int MaxHeartbeatsPerTurn = 64;

/// Whether both name the same crashes, however long ago.
bool sameSuspects(const std::vector<SuspectCount> &A,
                  const std::vector<SuspectCount> &B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](const SuspectCount &X, const SuspectCount &Y) {
                      return X.Fingerprint == Y.Fingerprint &&
                             X.Crashed == Y.Crashed;
                    });
}

} // namespace

void FleetView::record(const Heartbeat &Value, TimePoint Now) {
  Member &Known = m_members[Value.Daemon];
  if (Known.Status.Internal != Value.Internal) {
    m_addresses.erase(Known.Status.Internal);
    m_addresses[Value.Internal] = Value.Daemon;
  }
  Known = {.Status = Value, .LastHeartbeat = Now};
}

void FleetView::removeExpired(TimePoint Now) {
  std::erase_if(m_members, [&](const auto &Entry) {
    const bool Expired = Now - Entry.second.LastHeartbeat > MemberRetention;
    if (Expired)
      m_addresses.erase(Entry.second.Status.Internal);
    return Expired;
  });
}

Milliseconds HeartbeatSchedule::interval(std::size_t Daemons, bool Leads) {
  const double Factor =
      Leads ? 1.0
            : std::max(1.0, static_cast<double>(Daemons) /
                                static_cast<double>(FullRateDaemons));
  return std::chrono::duration_cast<Milliseconds>(std::min<Duration>(
      std::chrono::duration_cast<Duration>(ShortInterval * Factor),
      MaxInterval));
}

bool HeartbeatSchedule::due(Heartbeat &Current, std::size_t Daemons, bool Leads,
                            TimePoint Now) const {
  Current.Interval = interval(Daemons, Leads);
  if (!m_sentAt || Now - *m_sentAt + ShortInterval / 2 >= Current.Interval)
    return true;
  // Rollouts are judged by the outcomes of all daemons.
  return !Current.Rollouts.empty() || Current.Ready != m_last.Ready ||
         Current.Stopping != m_last.Stopping ||
         Current.Contact != m_last.Contact ||
         !sameSuspects(Current.Suspects, m_last.Suspects);
}

void HeartbeatSchedule::sent(const Heartbeat &Value, TimePoint Now) {
  m_last = Value;
  m_sentAt = Now;
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
  m_timer.callAfter(HeartbeatSchedule::ShortInterval, [this] { tick(); });
  const TimePoint Now = m_clock.now();
  m_view.removeExpired(Now);
  Heartbeat Value = m_hooks.Compose();
  if (m_schedule.due(Value, m_view.aliveCount(Now) + 1, m_hooks.Leads(), Now))
    sendAll(std::move(Value));
}

void FleetBeacon::sendNow() {
  Heartbeat Value = m_hooks.Compose();
  Value.Interval = HeartbeatSchedule::interval(
      m_view.aliveCount(m_clock.now()) + 1, m_hooks.Leads());
  sendAll(std::move(Value));
}

void FleetBeacon::sendAll(Heartbeat Value) {
  Value.Peers = membersToAdvertise();
  Value.Outcomes = m_hooks.TakeOutcomes();
  m_schedule.sent(Value, m_clock.now());
  const std::string Bytes = encode(Value);
  for (const auto &[Name, Peer] : m_view.members())
    if (Peer.Status.Internal != m_localAddress)
      sendTo(Peer.Status.Internal, Bytes);
  for (const std::string &Host : m_seeds)
    if (const HostPort Seed{.Host = Host, .Port = m_localAddress.Port};
        Seed != m_localAddress && !m_view.knows(Seed))
      sendTo(Seed, Bytes);
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
  auto Known = m_endpoints.find(Target);
  if (Known == m_endpoints.end()) {
    const auto Address = net::tcpEndpoint(Target);
    if (!Address)
      return;
    if (m_endpoints.size() >= MaxCachedEndpoints)
      m_endpoints.clear();
    Known =
        m_endpoints
            .emplace(Target, udp::endpoint(Address->address(), Address->port()))
            .first;
  }
  // A heartbeat that can't be sent counts as lost; the next one follows soon.
  boost::system::error_code Ignored;
  m_socket.send_to(boost::asio::buffer(Bytes), Known->second, 0, Ignored);
}

void FleetBeacon::greet(const Heartbeat &Received, TimePoint Now) {
  std::vector<HostPort> Strangers;
  const auto Known = m_view.members().find(Received.Daemon);
  if (Known == m_view.members().end() || !m_view.alive(Known->second, Now) ||
      Known->second.Status.Boot != Received.Boot)
    Strangers.push_back(Received.Internal);
  for (const HostPort &Peer : Received.Peers)
    if (Peer != m_localAddress && !m_view.knows(Peer))
      Strangers.push_back(Peer);
  if (Strangers.empty())
    return;
  // Composed now: the age of the desired state in an earlier heartbeat would
  // make it look confirmed later than it was.
  Heartbeat Value = m_hooks.Compose();
  Value.Interval =
      HeartbeatSchedule::interval(m_view.aliveCount(Now) + 1, m_hooks.Leads());
  const std::string Bytes = encode(Value);
  for (const HostPort &Stranger : Strangers)
    sendTo(Stranger, Bytes);
}

/// Continues to receive even if a heartbeat could not be handled.
struct FleetBeacon::ReceiveAgain {
  FleetBeacon &Owner;
  ~ReceiveAgain() { Owner.receive(); }
};

void FleetBeacon::receive() {
  m_socket.async_wait(udp::socket::wait_read,
                      [this](const boost::system::error_code &WaitError) {
                        if (WaitError == boost::asio::error::operation_aborted)
                          return;
                        const ReceiveAgain OnReturn{*this};
                        for (int I = 0; I < MaxHeartbeatsPerTurn; ++I) {
                          udp::endpoint Sender;
                          boost::system::error_code ReadError;
                          const std::size_t Size = m_socket.receive_from(
                              boost::asio::buffer(m_buffer), Sender, 0,
                              ReadError);
                          if (ReadError == boost::asio::error::would_block ||
                              ReadError == boost::asio::error::try_again)
                            break;
                          if (ReadError)
                            continue;
                          onDatagram({m_buffer.data(), Size}, Sender);
                        }
                      });
}

void FleetBeacon::onDatagram(std::string_view Bytes,
                             const udp::endpoint &Sender) {
  if (m_hooks.OnUsage && isUsageCounts(Bytes)) {
    if (const auto Counts = decodeUsageCounts(Bytes)) {
      m_hooks.OnUsage(*Counts);
      return;
    }
  }
  const auto Value = decodeHeartbeat(Bytes);
  if (!Value) {
    m_log.line(LogClass::Fault, "beat.unreadable",
               {{"from", Sender.address().to_string()},
                {"bytes", std::to_string(Bytes.size())}});
    return;
  }
  const TimePoint Now = m_clock.now();
  greet(*Value, Now);
  m_view.record(*Value, Now);
  m_hooks.OnHeartbeat(*Value);
}

} // namespace nutmegdrift::gateway
