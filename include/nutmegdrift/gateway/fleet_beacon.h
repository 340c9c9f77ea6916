// Membership: each daemon sends heartbeats with its status to all others over
// UDP.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_BEACON_H
#define NUTMEGDRIFT_GATEWAY_FLEET_BEACON_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/gateway/fleet_messages.h"
#include "nutmegdrift/net/event_loop.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>

namespace nutmegdrift::gateway {

/// The live daemons, by the heartbeats received. Does no I/O.
class FleetView {
public:
  /// A daemon without a heartbeat for this long is lost. Allows for three lost
  /// heartbeats.
  static constexpr Duration MemberTimeout = std::chrono::milliseconds(1700);
  /// Heartbeats are sent to a lost daemon for this long, so that both sides of
  /// a network partition find each other when it ends.
  static constexpr Duration MemberRetention = std::chrono::seconds(30);

  struct Member {
    Heartbeat Status; ///< The latest one.
    TimePoint LastHeartbeat{};
  };

  void record(const Heartbeat &Value, TimePoint Now);
  void removeExpired(TimePoint Now);
  [[nodiscard]] bool alive(const Member &Peer, TimePoint Now) const {
    return Now - Peer.LastHeartbeat < MemberTimeout;
  }
  /// Whether the daemon is known and its heartbeats are missed.
  [[nodiscard]] bool lost(const DaemonName &Daemon, TimePoint Now) const;
  [[nodiscard]] const std::map<DaemonName, Member> &members() const {
    return m_members;
  }
  /// Number of live daemons, this one not included.
  [[nodiscard]] std::size_t aliveCount(TimePoint Now) const;

private:
  std::map<DaemonName, Member> m_members;
};

/// Sends and receives heartbeats.
class FleetBeacon {
public:
  static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);

  struct Hooks {
    std::function<Heartbeat()> Compose;
    std::function<void(const Heartbeat &)> OnHeartbeat;
  };

  FleetBeacon(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
              HostPort LocalAddress, Hooks Callbacks);

  /// False if the port can't be bound.
  bool start();
  void setSeeds(std::vector<std::string> Hosts) { m_seeds = std::move(Hosts); }
  /// Sends an extra heartbeat to all daemons now.
  void sendNow();
  [[nodiscard]] FleetView &view() { return m_view; }

private:
  struct ReceiveAgain;

  void tick();
  void receive();
  void sendAll();
  void sendTo(const HostPort &Target, const std::string &Bytes);
  [[nodiscard]] std::vector<HostPort> membersToAdvertise();

  const Clock &m_clock;
  DecisionLog &m_log;
  const HostPort m_localAddress;
  const Hooks m_hooks;
  boost::asio::ip::udp::socket m_socket;
  net::Timer m_timer;
  std::vector<std::string> m_seeds;
  FleetView m_view;
  std::array<char, 65536> m_buffer{};
  /// Rotates through the members named in heartbeats.
  std::size_t m_nextAdvertised = 0;
};

} // namespace nutmegdrift::gateway

#endif
