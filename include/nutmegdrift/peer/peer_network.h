// Connections between daemons: one poll loop over non-blocking sockets.
#ifndef NUTMEGDRIFT_PEER_PEER_NETWORK_H
#define NUTMEGDRIFT_PEER_PEER_NETWORK_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/wire/messages.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::peer {

/// Number of one connection, never reused within a PeerNetwork.
using ConnectionId = std::uint64_t;

/// Where a message came from.
struct PeerOrigin {
  DaemonName Daemon;
  BootId Boot = 0;
  ConnectionId Connection = 0;

  friend bool operator==(const PeerOrigin &, const PeerOrigin &) = default;
};

/// The end of a connection to a daemon.
struct PeerLoss {
  DaemonName Daemon;
  ConnectionId Connection = 0;
  std::string Reason;
  /// Relay requests of which no byte was handed to the socket.
  std::vector<wire::RelayId> Unsent;
};

enum class PeerLiveness {
  Alive,   ///< The daemon of that name sent its Hello.
  Silent,  ///< No answer in time; proves nothing.
  Refused, ///< The peer port refuses connections: the process is gone.
};

struct PeerOptions {
  DaemonName Self;
  BootId Boot = 0;
  std::string Zone;
  HostPort Listen; ///< Port 0 picks a free port.
  /// Bytes waiting for one connection. Relay frames may fill three quarters of
  /// it, so that they cannot push out control messages.
  std::size_t MaxQueuedBytes = std::size_t{4} << 20U;
  std::size_t MaxConnections = 1024;
  Duration KeepAliveAfter = std::chrono::seconds(1);
  /// A connection without any byte received for this long is closed. Longer
  /// than three keep-alives, so that one late keep-alive is no loss.
  Duration ProgressDeadline = std::chrono::seconds(4);
  Duration BackoffMin = std::chrono::milliseconds(50);
  Duration BackoffMax = std::chrono::seconds(2);
};

struct TrafficCount {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0; ///< With length prefixes, without TCP headers.
};

/// Traffic since the start, by message type (index in wire::Message).
struct PeerTraffic {
  std::array<TrafficCount, wire::MessageTypes> Sent{};
  std::array<TrafficCount, wire::MessageTypes> Received{};
  TrafficCount KeepAlivesSent;
  TrafficCount KeepAlivesReceived;

  /// Bytes of both directions that carry no relayed request.
  [[nodiscard]] std::uint64_t controlBytes() const;
  /// Bytes of both directions that carry relayed requests.
  [[nodiscard]] std::uint64_t relayedBytes() const;
};

/// Connects to other daemons on demand and moves messages. Thread-safe. The
/// handlers run on the poll thread: they must not block, and may call send.
///
/// \code
///   PeerNetwork Net(Options, Clk, Log);
///   Net.onMessage([&](const PeerOrigin &From, wire::Message Value) {...});
///   BOOST_LEAF_CHECK(Net.start());
///   Net.setPeers({{"cph2", {"10.0.0.2", 7100}}});
///   BOOST_LEAF_CHECK(Net.send("cph2", wire::ConfigOffer{7}));
/// \endcode
class PeerNetwork {
public:
  using MessageHandler =
      std::function<void(const PeerOrigin &, const wire::Message &)>;
  using LossHandler = std::function<void(const PeerLoss &)>;

  PeerNetwork(PeerOptions Options, const Clock &Clk, EventLog &Log);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Adds a handler; every handler sees every message. Before start() only.
  void onMessage(MessageHandler Handler);
  /// Adds a handler for lost connections. Before start() only.
  void onLoss(LossHandler Handler);

  /// Listens and starts the poll thread. Errors: InvalidSettings if the
  /// address cannot be bound.
  Result<void> start();
  /// Closes all connections, reports them as lost, and ends the poll thread.
  void stop();

  /// The address listened on, with the port that was picked.
  [[nodiscard]] HostPort address() const;

  /// Replaces the addresses of the other daemons. A name in the form
  /// "host:port" stands for whichever daemon answers there; once its Hello has
  /// come, it is reached by its own name over the same connection.
  void setPeers(const std::map<DaemonName, HostPort> &Peers);

  /// Queues a message, connecting if needed, and returns the connection that
  /// takes it. Errors, after which the message was certainly not sent:
  /// PeerUnreachable (no address, or waiting to connect again), QueueFull,
  /// BadFrame (message above the frame limit).
  Result<ConnectionId> send(const DaemonName &To, const wire::Message &Value);

  /// Queues a message on one connection. Errors: PeerUnreachable if the
  /// connection is gone, QueueFull, BadFrame.
  Result<void> sendOn(ConnectionId Connection, const wire::Message &Value);

  /// Like sendOn, but waits until the queue has room or Deadline.
  Result<void> sendOnWithin(ConnectionId Connection, const wire::Message &Value,
                            TimePoint Deadline);

  /// Makes a fresh TCP connection to the daemon and waits for its Hello.
  /// Blocks for up to Timeout; not for the poll thread. A daemon without
  /// known address is Silent.
  PeerLiveness probe(const DaemonName &Name,
                     std::chrono::milliseconds Timeout = DefaultProbeTimeout);

  /// The boot of the daemon's latest Hello, if any.
  [[nodiscard]] std::optional<BootId> bootOf(const DaemonName &Name) const;

  [[nodiscard]] PeerTraffic traffic() const;

  static constexpr std::chrono::milliseconds DefaultProbeTimeout{500};

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace nutmegdrift::peer

#endif
