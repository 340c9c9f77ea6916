// Membership: each daemon tells all others over UDP that it lives and what it
// believes.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_BEACON_H
#define NUTMEGDRIFT_GATEWAY_FLEET_BEACON_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/gateway/fleet_messages.h"
#include "nutmegdrift/net/event_loop.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>

namespace nutmegdrift::gateway {

/// The daemons that are alive, by the beats heard. Decides without I/O.
class FleetView {
public:
  /// A daemon not heard for this long is gone. Three beats may be lost.
  static constexpr Duration MemberTimeout = std::chrono::milliseconds(1700);
  /// Beats are still sent to a daemon for this long, so that both sides of a
  /// healed partition find each other.
  static constexpr Duration MemberRetention = std::chrono::seconds(30);

  struct Member {
    Heartbeat Status;
    TimePoint LastHeartbeat{};
  };

  void record(const Heartbeat &Value, TimePoint Now);
  void removeExpired(TimePoint Now);
  [[nodiscard]] bool alive(const Member &Each, TimePoint Now) const {
    return Now - Each.LastHeartbeat < MemberTimeout;
  }
  [[nodiscard]] const std::map<DaemonName, Member> &members() const {
    return m_members;
  }
  /// Live daemons beside this one.
  [[nodiscard]] std::size_t aliveCount(TimePoint Now) const;

private:
  std::map<DaemonName, Member> m_members;
};

/// Sends and receives beats.
class FleetBeacon {
public:
  /// Time between two beats to each daemon.
  static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);

  struct Hooks {
    std::function<Heartbeat()> Compose;
    std::function<void(const Heartbeat &)> OnHeartbeat;
  };

  FleetBeacon(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
              HostPort Own, Hooks Calls);

  /// False if the port can't be bound.
  bool start();
  void setSeeds(std::vector<std::string> Hosts) { m_seeds = std::move(Hosts); }
  /// Tells all daemons at once, beside the usual beats.
  void sendNow();
  [[nodiscard]] FleetView &view() { return m_view; }

private:
  void tick();
  void receive();
  void sendAll();
  void sendTo(const HostPort &To, const std::string &Bytes);
  [[nodiscard]] std::vector<HostPort> someMembers();

  const Clock &m_clock;
  DecisionLog &m_log;
  const HostPort m_own;
  const Hooks m_hooks;
  boost::asio::ip::udp::socket m_socket;
  net::Timer m_timer;
  std::vector<std::string> m_seeds;
  FleetView m_view;
  std::array<char, 65536> m_buffer{};
  std::size_t m_nextTold = 0; ///< Rotates through the members told to others.
};

} // namespace nutmegdrift::gateway

#endif
