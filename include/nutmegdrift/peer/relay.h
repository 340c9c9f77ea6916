// Relay channels: one request to another daemon and its streamed answer.
#ifndef NUTMEGDRIFT_PEER_RELAY_H
#define NUTMEGDRIFT_PEER_RELAY_H

#include "nutmegdrift/peer/peer_network.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace nutmegdrift::peer {

/// Answer bytes that may be on their way or unread for one relay. Both sides
/// start from it; RelayCredit adds what was read.
inline constexpr std::size_t RelayWindowBytes = std::size_t{64} << 10U;

class RelayClient;
class RelayServer;

/// The reading end of one relay, for one waiting thread. Dropping the pointer
/// got from RelayClient before the end cancels the relay.
class RelayReader {
public:
  RelayReader(RelayClient &Client, PeerNetwork &Network, wire::RelayId Id,
              BootId Boot);
  ~RelayReader() = default;
  RelayReader(const RelayReader &) = delete;
  RelayReader &operator=(const RelayReader &) = delete;

  /// Waits for status and content type. Errors: the failure told by the other
  /// daemon, RelayRefused (certainly not sent), RelayLost (connection lost or
  /// frames missing), EndpointTimeout at the deadline, which cancels.
  Result<wire::RelayHead> head(TimePoint Deadline);

  /// Waits for the next piece of the answer; nothing at its complete end.
  /// Errors as for head().
  Result<std::optional<std::string>> read(TimePoint Deadline);

  /// Service charged by the other daemon; known after the complete end.
  [[nodiscard]] double cost() const;

  /// Tells the other daemon that the answer is no longer wanted.
  void cancel(const std::string &Reason);

private:
  friend class RelayClient;

  void takeHead(const wire::RelayHead &Head);
  void takeChunk(const wire::RelayChunk &Chunk);
  void takeEnd(const wire::RelayEnd &End);
  /// The first end wins; later ones are ignored.
  void finish(const std::optional<Error> &Failure);
  Result<void> waitFor(std::unique_lock<std::mutex> &Lock, TimePoint Deadline,
                       const std::function<bool()> &Ready);
  /// Gives credit for read bytes once half a window has been read.
  std::uint64_t dueCredit(std::size_t Read);

  RelayClient &m_client;
  PeerNetwork &m_network;
  const wire::RelayId m_id;
  const BootId m_boot;
  ConnectionId m_connection = 0; ///< Set before other threads see this.

  mutable std::mutex m_mutex; ///< May be held when taking the client's.
  std::condition_variable m_changed;
  std::optional<wire::RelayHead> m_head;
  std::deque<std::string> m_chunks;
  std::size_t m_buffered = 0; ///< Bytes in m_chunks, at most a window.
  std::uint64_t m_nextSeq = 0;
  std::uint64_t m_readBytes = 0; ///< Read, but not yet given as credit.
  bool m_ended = false;
  std::optional<Error> m_failure; ///< Why it ended, if not complete.
  double m_cost = 0.0;
};

/// Counts of relays and frames, for metrics and tests.
struct RelayCounts {
  std::uint64_t Opened = 0;
  std::uint64_t Ended = 0;   ///< Each opened relay is counted once.
  std::uint64_t Lost = 0;    ///< Ended with RelayLost.
  std::uint64_t Refused = 0; ///< Ended with RelayRefused after opening.
  std::uint64_t Dropped = 0; ///< Late or crossed frames.
};

/// Opens relays to other daemons. Thread-safe. Create it before the network
/// starts and destroy it after the network has stopped and all readers are
/// gone.
class RelayClient {
public:
  RelayClient(PeerNetwork &Network, BootId Boot);

  /// Sends a request to its owner. Errors: RelayRefused (certainly not sent).
  Result<std::shared_ptr<RelayReader>>
  open(const DaemonName &To, wire::RelayContext Context, std::string Body);

  /// Sends a resent ticket to its home daemon. Errors as for open().
  Result<std::shared_ptr<RelayReader>> forward(const DaemonName &To,
                                               const Ticket &Grant,
                                               wire::RelayContext Context,
                                               std::string Body);

  [[nodiscard]] RelayCounts counts() const;
  /// Relays that have not ended.
  [[nodiscard]] std::size_t running() const;

private:
  friend class RelayReader;

  template <class Request>
  Result<std::shared_ptr<RelayReader>> start(const DaemonName &To,
                                             Request Value);
  void take(const PeerOrigin &From, const wire::Message &Value);
  void lose(const PeerLoss &Loss);
  std::shared_ptr<RelayReader> find(const PeerOrigin &From, wire::RelayId Id,
                                    BootId Boot);
  void forget(wire::RelayId Id, const std::optional<Error> &Failure);

  PeerNetwork &m_network;
  const BootId m_boot;
  mutable std::mutex m_mutex;
  /// Held while a request is queued, so that ids leave in rising order and a
  /// loss is never handled before its relay is registered.
  std::map<wire::RelayId, std::shared_ptr<RelayReader>> m_open;
  wire::RelayId m_nextId = 1;
  RelayCounts m_counts;
};

/// The answering end of one relay, for one thread. Destroying it before end()
/// ends the relay with kind Internal.
class RelayStream {
public:
  RelayStream(PeerNetwork &Network, PeerOrigin Origin, wire::RelayId Id,
              wire::RelayContext Context, std::string Body,
              std::optional<Ticket> Grant);
  ~RelayStream();
  RelayStream(const RelayStream &) = delete;
  RelayStream &operator=(const RelayStream &) = delete;

  [[nodiscard]] const wire::RelayContext &context() const { return m_context; }
  [[nodiscard]] const std::string &body() const { return m_body; }
  [[nodiscard]] const PeerOrigin &origin() const { return m_origin; }
  /// Set if the request is a forwarded ticket.
  [[nodiscard]] const std::optional<Ticket> &grant() const { return m_grant; }

  /// Sends status and content type. Errors: RelayLost, CallerDisconnected.
  Result<void> head(std::uint32_t Status, const std::string &ContentType,
                    TimePoint Deadline);

  /// Sends bytes, waiting for credit. Errors: CallerDisconnected (cancelled),
  /// CallerTooSlow (no credit until Deadline), RelayLost.
  Result<void> write(std::string_view Bytes, TimePoint Deadline);

  /// Ends the relay; further calls do nothing. Without a Failure the answer is
  /// complete.
  void end(const std::optional<Error> &Failure, double Cost,
           TimePoint Deadline);

  /// True once the caller has cancelled or the connection is lost.
  [[nodiscard]] bool cancelled() const;

private:
  friend class RelayServer;

  void addCredit(std::uint64_t Bytes);
  void stop(const Error &Cause);
  Result<std::size_t> takeCredit(std::size_t Wanted, TimePoint Deadline);
  Result<void> checkOpen() const;
  Result<void> sendFrame(const wire::Message &Value, TimePoint Deadline);

  PeerNetwork &m_network;
  const PeerOrigin m_origin;
  const wire::RelayId m_id;
  const wire::RelayContext m_context;
  const std::string m_body;
  const std::optional<Ticket> m_grant;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_credit = RelayWindowBytes;
  std::optional<Error> m_stopped; ///< Why nothing more can be sent.
  std::uint64_t m_chunks = 0;     ///< Used by the answering thread only.
  bool m_ended = false;           ///< Used by the answering thread only.
};

/// Accepts relays from other daemons. Thread-safe. Create it before the
/// network starts and destroy it after the network has stopped.
class RelayServer {
public:
  /// Called on the poll thread; has to pass the stream to another thread.
  using Handler = std::function<void(std::shared_ptr<RelayStream>)>;

  /// Relays open at once; more are answered with QueueFull.
  static constexpr std::size_t DefaultMaxOpen = 4096;

  RelayServer(PeerNetwork &Network, Handler OnRequest,
              std::size_t MaxOpen = DefaultMaxOpen);

  /// Streams that have not been destroyed.
  [[nodiscard]] std::size_t running() const;
  /// Late, crossed or repeated frames.
  [[nodiscard]] std::uint64_t dropped() const;

private:
  using Key = std::pair<ConnectionId, wire::RelayId>;

  void take(const PeerOrigin &From, const wire::Message &Value);
  template <class Request>
  void accept(const PeerOrigin &From, const Request &Value,
              const std::optional<Ticket> &Grant);
  bool isNew(const PeerOrigin &From, wire::RelayId Id, BootId Boot);
  std::shared_ptr<RelayStream> find(const PeerOrigin &From, wire::RelayId Id,
                                    BootId Boot);
  void lose(const PeerLoss &Loss);
  void removeGone();

  struct Latest {
    BootId Boot = 0;
    wire::RelayId Id = 0;
  };

  PeerNetwork &m_network;
  const Handler m_handler;
  const std::size_t m_maxOpen;
  mutable std::mutex m_mutex;
  std::map<Key, std::weak_ptr<RelayStream>> m_streams;
  /// Highest relay id seen per daemon, in its latest boot.
  std::map<DaemonName, Latest> m_latest;
  std::uint64_t m_dropped = 0;
};

} // namespace nutmegdrift::peer

#endif
