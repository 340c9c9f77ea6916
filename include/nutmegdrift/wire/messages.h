// The messages between daemons, their msgpack codec and the frame reader.
#ifndef NUTMEGDRIFT_WIRE_MESSAGES_H
#define NUTMEGDRIFT_WIRE_MESSAGES_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegdrift::wire {

/// Largest payload of one frame, in bytes.
inline constexpr std::size_t MaxFrameBytes = std::size_t{1} << 20U;
/// Length prefix of a frame, in bytes.
inline constexpr std::size_t FramePrefixBytes = 4;
/// Schema version in every message; another version is a bad frame.
inline constexpr std::uint32_t SchemaVersion = 1;

using Millis = std::chrono::milliseconds;

enum class MemberState { Active, Leaving };

/// First message on each connection, in both directions.
struct Hello {
  DaemonName Daemon;
  BootId Boot = 0;
  std::string Zone;
  std::uint32_t Protocol = SchemaVersion;

  friend bool operator==(const Hello &, const Hello &) = default;
};

/// Lease renewal to the zone writer.
struct Heartbeat {
  std::uint64_t Renewal = 0;
  MemberState State = MemberState::Active;
  /// Newest version of the zone object known to the sender, which bounds the
  /// age of the heartbeat.
  std::uint64_t Version = 0;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Sent by the zone writer after its conditional update took the renewal.
struct LeaseAck {
  std::uint64_t Version = 0;
  std::uint64_t Renewal = 0; ///< 0: the heartbeat was refused as too old.
  BootId Boot = 0;           ///< The boot whose renewal was stored.

  friend bool operator==(const LeaseAck &, const LeaseAck &) = default;
};

/// Time since the sender last heard one member of its cell.
struct MemberAge {
  DaemonName Daemon;
  Millis Age{0};

  friend bool operator==(const MemberAge &, const MemberAge &) = default;
};

struct Beat {
  std::uint64_t Seq = 0;
  std::uint64_t ConfigVersion = 0;
  std::vector<MemberAge> Ages;

  friend bool operator==(const Beat &, const Beat &) = default;
};

/// Answer to a Beat, with its sequence number.
struct BeatEcho {
  std::uint64_t Seq = 0;
  BootId Boot = 0; ///< The boot that sent the beat.
  bool PlatformUnreadable = false;

  friend bool operator==(const BeatEcho &, const BeatEcho &) = default;
};

/// Cumulative service of one workspace at the sender's boot.
struct CounterEntry {
  std::uint32_t Number = 0;  ///< Of the workspace; fixed for the sender's boot.
  std::string Workspace;     ///< Empty once sent over the connection.
  std::uint64_t Service = 0; ///< Tokens since the boot.
  std::uint64_t Backlog = 0; ///< Waiting requests.

  friend bool operator==(const CounterEntry &, const CounterEntry &) = default;
};

/// Daemon and boot are those of the connection.
struct Counters {
  Target What;
  std::uint32_t Free = 0;   ///< Free slots that no work of the sender needs.
  std::uint32_t Credit = 0; ///< Of these, requests the receiver may send.
  std::vector<CounterEntry> Entries; ///< Changed entries only.

  friend bool operator==(const Counters &, const Counters &) = default;
};

struct SlotOffer {
  Target What;
  std::uint32_t Slots = 0; ///< 0: the receiver of offer Id had nothing queued.
  std::string Workspace;   ///< Empty: any workspace.
  Millis ExpiresIn{300};
  std::uint64_t Id = 0; ///< Of the offer at its sender.

  friend bool operator==(const SlotOffer &, const SlotOffer &) = default;
};

/// Relay number, unique within the boot of the requesting daemon.
using RelayId = std::uint64_t;

/// What the owner needs to run a relayed request.
struct RelayContext {
  std::string RequestId;
  std::string Workspace;
  Target What;
  std::string Method;
  std::string Path;
  std::string ContentType;
  Millis TimeLeft{0}; ///< Until the caller's deadline, at sending.
  double CostHint = 0.0;
  std::string Ticket;         ///< Text form; empty without one.
  std::string IdempotencyKey; ///< Empty without one.
  std::uint64_t Offer = 0;    ///< Slot held for the request; 0 without one.
  std::uint64_t PrefixHash = 0;
  bool Streaming = false;

  friend bool operator==(const RelayContext &, const RelayContext &) = default;
};

struct RelayRequest {
  RelayId Id = 0;
  BootId Boot = 0; ///< Of the requesting daemon, as in all relay frames.
  RelayContext Context;
  std::string Body;

  friend bool operator==(const RelayRequest &, const RelayRequest &) = default;
};

struct RelayHead {
  RelayId Id = 0;
  BootId Boot = 0;
  std::uint32_t Status = 0; ///< HTTP status.
  std::string ContentType;

  friend bool operator==(const RelayHead &, const RelayHead &) = default;
};

struct RelayChunk {
  RelayId Id = 0;
  BootId Boot = 0;
  std::uint64_t Seq = 0; ///< From 0; a gap means that a chunk was lost.
  std::string Bytes;

  friend bool operator==(const RelayChunk &, const RelayChunk &) = default;
};

struct RelayEnd {
  RelayId Id = 0;
  BootId Boot = 0;
  std::uint64_t Chunks = 0;         ///< Chunks sent; fewer received is a loss.
  std::optional<ErrorKind> Failure; ///< Nothing: the answer is complete.
  std::string Message;
  Millis RetryAfter{0};
  double Cost = 0.0; ///< Service charged for the request, in cost units.

  friend bool operator==(const RelayEnd &, const RelayEnd &) = default;
};

struct RelayCredit {
  RelayId Id = 0;
  BootId Boot = 0;
  std::uint64_t Bytes = 0; ///< Added to what the sender may send.

  friend bool operator==(const RelayCredit &, const RelayCredit &) = default;
};

struct RelayCancel {
  RelayId Id = 0;
  BootId Boot = 0;
  std::string Reason;

  friend bool operator==(const RelayCancel &, const RelayCancel &) = default;
};

/// A resent ticket on its way to its home daemon; answered like a
/// RelayRequest.
struct TicketForward {
  RelayId Id = 0;
  BootId Boot = 0;
  nutmegdrift::Ticket Grant;
  RelayContext Context;
  std::string Body;

  friend bool operator==(const TicketForward &,
                         const TicketForward &) = default;
};

enum class TicketState {
  Running, ///< Started, no result yet.
  Done,    ///< Ended; the stored answer is the result.
  Unknown, ///< It may have run; it is not run again.
};

/// The answer to a request, kept for resends of its ticket.
struct StoredAnswer {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  std::optional<ErrorKind> Failure; ///< Set if the request failed.

  friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// Consecutive tickets granted together.
struct TicketRange {
  std::uint64_t First = 0;
  std::uint64_t Count = 0;
  Millis ExpiresIn{0};

  friend bool operator==(const TicketRange &, const TicketRange &) = default;
};

/// One ticket that was started.
struct TicketEntry {
  std::uint64_t Sequence = 0;
  TicketState State = TicketState::Unknown;
  std::uint64_t Fingerprint = 0;
  StoredAnswer Answer; ///< Meaningful only in state Done.

  friend bool operator==(const TicketEntry &, const TicketEntry &) = default;
};

/// One part of a ticket table on its way to a successor.
struct TicketTableHandover {
  DaemonName Home; ///< Home and boot named in the tickets.
  BootId Boot = 0;
  DaemonName Successor;
  BootId SuccessorBoot = 0; ///< Another boot must not take the table.
  /// Boot that made the parts; parts of different exports do not mix.
  BootId ExporterBoot = 0;
  std::uint32_t Part = 0; ///< From 0.
  std::uint32_t Parts = 1;
  std::vector<TicketRange> Ranges;
  std::vector<TicketEntry> Entries;

  friend bool operator==(const TicketTableHandover &,
                         const TicketTableHandover &) = default;
};

struct TicketHandoverAck {
  DaemonName Home;
  BootId Boot = 0;
  std::uint32_t Part = 0;

  friend bool operator==(const TicketHandoverAck &,
                         const TicketHandoverAck &) = default;
};

/// Requests of a previous owner that still run on a replica.
struct Carry {
  std::string Replica;
  std::uint64_t Epoch = 0;
  std::uint64_t Running = 0;

  friend bool operator==(const Carry &, const Carry &) = default;
};

struct OwnershipHandover {
  std::string Replica;
  std::uint64_t Epoch = 0;
  std::uint64_t Running = 0;
  BootId Boot = 0;     ///< The receiver's boot.
  double Factor = 1.0; ///< The giver's limit factor.
  bool Ack = false;

  friend bool operator==(const OwnershipHandover &,
                         const OwnershipHandover &) = default;
};

struct ConfigOffer {
  std::uint64_t Version = 0;

  friend bool operator==(const ConfigOffer &, const ConfigOffer &) = default;
};

struct ConfigFetch {
  std::uint64_t Version = 0;

  friend bool operator==(const ConfigFetch &, const ConfigFetch &) = default;
};

struct ConfigBody {
  std::uint64_t Version = 0;
  std::string Document;

  friend bool operator==(const ConfigBody &, const ConfigBody &) = default;
};

/// The crashes of endpoints that one request was part of.
struct SuspectEntry {
  std::uint64_t Fingerprint = 0;
  std::vector<std::string> Crashes; ///< Identify each crash.

  friend bool operator==(const SuspectEntry &, const SuspectEntry &) = default;
};

/// Requests under suspicion of crashing endpoints, sent when one is added.
struct Suspects {
  std::vector<SuspectEntry> Entries;

  friend bool operator==(const Suspects &, const Suspects &) = default;
};

/// Sent to all daemons after a ticket table was handed over.
struct TicketSuccessor {
  DaemonName Home; ///< Home and boot named in the tickets.
  BootId Boot = 0;
  DaemonName Successor;

  friend bool operator==(const TicketSuccessor &,
                         const TicketSuccessor &) = default;
};

/// Outcome of one request, as policy::VersionSample.
struct VersionSampleEntry {
  std::string Plan;
  bool Fresh = false;
  bool Failed = false;
  bool Cold = false;
  std::uint64_t FirstTokenMicros = 0;
  std::uint64_t TokenGapMicros = 0;
  Millis Age{0}; ///< Since the request ended.

  friend bool operator==(const VersionSampleEntry &,
                         const VersionSampleEntry &) = default;
};

/// Requests started on a route since the last message.
struct RouteDispatches {
  std::string Plan;
  std::uint64_t Count = 0;

  friend bool operator==(const RouteDispatches &,
                         const RouteDispatches &) = default;
};

/// From an owner to the controller of the target's rollout, once a second.
struct VersionSamples {
  Target What;
  bool ServesFresh = false; ///< The sender owns a replica of the new version.
  std::vector<RouteDispatches> Routes;
  std::vector<VersionSampleEntry>
      Entries; ///< At most 64 per route and version.

  friend bool operator==(const VersionSamples &,
                         const VersionSamples &) = default;
};

struct RouteShare {
  std::string Plan;
  double Share = 0.0;
  /// The receiver's part of requests that started at owners without a replica
  /// of the new version since the last message.
  std::uint64_t Elsewhere = 0;

  friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

/// A replica that has been ordered to load a version.
struct ReplicaLoad {
  std::string Replica;
  std::string Version;

  friend bool operator==(const ReplicaLoad &, const ReplicaLoad &) = default;
};

/// Decision of a rollout's controller. Owners keep the one with the highest
/// Fence and Order.
struct VersionShares {
  Target What;
  std::uint64_t Order = 0;
  std::uint64_t Fence = 0;
  std::string Version;
  std::string Phase;
  std::string Reason;
  double OtherShare = 0.0; ///< For routes that are not named.
  std::vector<RouteShare> Routes;
  std::vector<ReplicaLoad> Loads;

  friend bool operator==(const VersionShares &,
                         const VersionShares &) = default;
};

/// The position in the list is the message type on the wire; append only.
using Message =
    std::variant<Hello, Heartbeat, LeaseAck, Beat, BeatEcho, Counters,
                 SlotOffer, RelayRequest, RelayHead, RelayChunk, RelayEnd,
                 RelayCredit, RelayCancel, TicketForward, TicketTableHandover,
                 TicketHandoverAck, Carry, OwnershipHandover, ConfigOffer,
                 ConfigFetch, ConfigBody, Suspects, TicketSuccessor,
                 VersionSamples, VersionShares>;

/// Number of message types.
inline constexpr std::size_t MessageTypes = std::variant_size_v<Message>;

/// Name of a message type, for example "relay-chunk"; for logs and metrics.
std::string_view messageName(std::size_t Type);

/// True for messages that carry relayed requests, which do not count as
/// control traffic.
bool isRelayed(std::size_t Type);

/// The msgpack payload of a frame, without its length prefix.
std::string encode(const Message &Value);

/// Errors: BadFrame for anything but a complete message of this schema. Never
/// throws; memory is bounded by a small multiple of the payload.
Result<Message> decode(std::string_view Payload);

/// Prepends the length to a payload of at most MaxFrameBytes; BadFrame above.
Result<std::string> frame(std::string_view Payload);

/// Splits a byte stream into frames. Keeps at most one frame and the bytes of
/// the last append. Not thread-safe.
///
/// \code
///   Reader.append(Bytes);
///   BOOST_LEAF_AUTO(Payload, Reader.next()); // empty optional: need more
/// \endcode
class FrameReader {
public:
  void append(std::string_view Bytes);

  /// The next whole payload; nothing if more bytes are needed. An empty
  /// payload is a keep-alive. Errors: BadFrame if the announced length is
  /// above MaxFrameBytes; the stream cannot be read any further then.
  Result<std::optional<std::string>> next();

private:
  std::string m_bytes;
  std::size_t m_position = 0; ///< Bytes before it were returned.
};

} // namespace nutmegdrift::wire

#endif
