// Membership: each daemon sends heartbeats with its status to all others over
// UDP. In a large fleet most daemons send fewer of them, because the messages
// of all grow with the square of their number.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_BEACON_H
#define NUTMEGDRIFT_GATEWAY_FLEET_BEACON_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/gateway/fleet_messages.h"
#include "nutmegdrift/net/event_loop.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <optional>

namespace nutmegdrift::gateway {

/// The live daemons, by the heartbeats received. Does no I/O.
class FleetView {
public:
  /// A daemon without a heartbeat for this many of its intervals is lost.
  /// Allows for three lost heartbeats.
  static constexpr double LostAfterIntervals = 3.4;
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
    return Now - Peer.LastHeartbeat < Peer.Status.Interval * LostAfterIntervals;
  }
  /// Whether a known daemon has this internal address.
  [[nodiscard]] bool knows(const HostPort &Internal) const {
    return m_addresses.contains(Internal);
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
  std::map<HostPort, DaemonName> m_addresses; ///< Internal ones of m_members.
};

/// When a daemon sends its status to all others.
class HeartbeatSchedule {
public:
  /// Interval of a daemon that leads, and of all daemons of a small fleet.
  static constexpr Duration ShortInterval = std::chrono::milliseconds(500);
  /// Above this number of daemons the interval grows with the number, so that a
  /// daemon receives the same number of heartbeats.
  static constexpr std::size_t FullRateDaemons = 64;
  static constexpr Duration MaxInterval = std::chrono::seconds(3);

  /// The interval of a daemon with no news. Leads: other daemons rely on its
  /// status, see FleetBeacon::Hooks.
  [[nodiscard]] static Milliseconds interval(std::size_t Daemons, bool Leads);
  /// Whether Current must be sent now. Sets its Interval.
  [[nodiscard]] bool due(Heartbeat &Current, std::size_t Daemons, bool Leads,
                         TimePoint Now) const;
  void sent(const Heartbeat &Value, TimePoint Now);

private:
  Heartbeat m_last;
  std::optional<TimePoint> m_sentAt;
};

/// Sends and receives heartbeats.
class FleetBeacon {
public:
  struct Hooks {
    /// The present status, without outcomes.
    std::function<Heartbeat()> Compose;
    /// Outcomes since the last call; they are sent to all daemons.
    std::function<std::vector<RolloutOutcome>()> TakeOutcomes;
    /// Whether the other daemons rely on the status of this one: it dispatches
    /// a service, or reads the store for the others.
    std::function<bool()> Leads;
    std::function<void(const Heartbeat &)> OnHeartbeat;
    /// Unset: usage counts are ignored.
    std::function<void(const policy::UsageCounts &)> OnUsage{};
  };

  FleetBeacon(net::EventLoop &Loop, const Clock &Clk, DecisionLog &Log,
              HostPort LocalAddress, Hooks Callbacks);

  /// False if the port can't be bound.
  bool start();
  void setSeeds(std::vector<std::string> Hosts) { m_seeds = std::move(Hosts); }
  /// Sends an extra heartbeat to all daemons now.
  void sendNow();
  /// Sends a datagram to the internal port of a daemon; it may be lost.
  void sendTo(const HostPort &Target, const std::string &Bytes);
  [[nodiscard]] FleetView &view() { return m_view; }

private:
  struct ReceiveAgain;

  void tick();
  void receive();
  void sendAll(Heartbeat Value);
  void onDatagram(std::string_view Bytes,
                  const boost::asio::ip::udp::endpoint &Sender);
  /// Answers a daemon that this one did not know, or took for lost.
  void greet(const Heartbeat &Received, TimePoint Now);
  [[nodiscard]] std::vector<HostPort> membersToAdvertise();

  const Clock &m_clock;
  DecisionLog &m_log;
  const HostPort m_localAddress;
  const Hooks m_hooks;
  boost::asio::ip::udp::socket m_socket;
  net::Timer m_timer;
  std::vector<std::string> m_seeds;
  FleetView m_view;
  HeartbeatSchedule m_schedule;
  std::map<HostPort, boost::asio::ip::udp::endpoint> m_endpoints;
  std::array<char, 65536> m_buffer{};
  /// Rotates through the members named in heartbeats.
  std::size_t m_nextAdvertised = 0;
};

} // namespace nutmegdrift::gateway

#endif
