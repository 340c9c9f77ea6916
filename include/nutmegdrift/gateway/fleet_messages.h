// Messages between daemons: beats over UDP and placement over TCP, both
// msgpack arrays. Times are relative, so clocks need not agree.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_MESSAGES_H
#define NUTMEGDRIFT_GATEWAY_FLEET_MESSAGES_H

#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/policy/version_judge.h"
#include "nutmegdrift/routing/model_dispatcher.h"

#include <string>
#include <variant>
#include <vector>

namespace nutmegdrift::gateway {

using routing::Milliseconds;

/// A request that crashed replicas, and which crashes it was part of.
struct SuspectCount {
  std::uint64_t Fingerprint = 0;
  std::vector<std::string> Crashed; ///< Replica starts, sorted.

  friend bool operator==(const SuspectCount &, const SuspectCount &) = default;
};

enum class RolloutStage { Canary, Moving, Completed, RolledBack };

/// "canary", "moving", "completed" or "rolled-back".
std::string_view toString(RolloutStage Stage);

/// How far a daemon believes a roll-out to be.
struct RolloutStatus {
  std::string Service;
  std::string Version;
  RolloutStage Stage = RolloutStage::Canary;
  Milliseconds Elapsed{0}; ///< Since the order.

  friend bool operator==(const RolloutStatus &,
                         const RolloutStatus &) = default;
};

/// The outcome of one request during a roll-out. Sample.At is not told.
struct RolloutOutcome {
  std::string Service;
  std::string Version; ///< That is rolled out.
  policy::VersionSample Sample;

  friend bool operator==(const RolloutOutcome &,
                         const RolloutOutcome &) = default;
};

/// What a daemon tells all others several times a second.
struct Heartbeat {
  DaemonName Daemon;
  BootId Boot = 0;
  HostPort Front;    ///< Where callers connect.
  HostPort Internal; ///< Where daemons reach it, over UDP and TCP.
  bool Ready = false;
  bool Stopping = false;
  double Weight = 1.0;            ///< Share of a processor.
  std::uint64_t StateVersion = 0; ///< Desired state in force; 0: none.
  /// Age of the newest confirmation by the store that StateVersion is the
  /// newest; negative: none.
  Milliseconds StateAge{-1};
  /// Newest store revision seen for each watched kind.
  std::vector<std::uint64_t> Revisions;
  std::vector<HostPort> Peers; ///< Some other daemons, for discovery.
  std::vector<SuspectCount> Suspects;
  std::vector<RolloutStatus> Rollouts;
  std::vector<RolloutOutcome> Outcomes; ///< Since the last beat.

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Asks a dispatcher for a replica.
struct PlaceRequest {
  std::uint64_t Sequence = 0; ///< Unique on the connection.
  std::string Service;
  std::string Workspace;
  std::vector<routing::PromptPart> Prompt;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  Milliseconds Age{0}; ///< Since the caller's request arrived.
  Milliseconds Target{0};
  Milliseconds RemainingWait{0};
  std::vector<routing::ReplicaId> Tried;
  /// The replica that it runs at already, when told to a new dispatcher.
  routing::ReplicaId RunningOn;
  bool Started = false;
  bool Repeated = false;       ///< See routing::ModelRequest.
  Milliseconds ReportDelay{0}; ///< See routing::ModelRequest.

  friend bool operator==(const PlaceRequest &, const PlaceRequest &) = default;
};

struct WithdrawRequest {
  std::uint64_t Sequence = 0;
  friend bool operator==(const WithdrawRequest &,
                         const WithdrawRequest &) = default;
};

struct StartedReport {
  std::uint64_t Sequence = 0;
  Milliseconds TimeToFirstEvent{
      0}; ///< From sending the request to its first event.
  friend bool operator==(const StartedReport &,
                         const StartedReport &) = default;
};

struct EndedReport {
  std::uint64_t Sequence = 0;
  routing::ReplicaOutcome Outcome = routing::ReplicaOutcome::Served;
  friend bool operator==(const EndedReport &, const EndedReport &) = default;
};

struct PlaceGrant {
  std::uint64_t Sequence = 0;
  routing::ReplicaId Replica;
  routing::ReplicaId FetchFrom; ///< See routing::ModelDecision.
  friend bool operator==(const PlaceGrant &, const PlaceGrant &) = default;
};

struct PlaceRefusal {
  std::uint64_t Sequence = 0;
  Milliseconds RetryAfter{0};
  friend bool operator==(const PlaceRefusal &, const PlaceRefusal &) = default;
};

/// The dispatcher lives though it has nothing to say.
struct DispatcherKeepAlive {
  friend bool operator==(const DispatcherKeepAlive &,
                         const DispatcherKeepAlive &) = default;
};

using PlacementMessage =
    std::variant<PlaceRequest, WithdrawRequest, StartedReport, EndedReport,
                 PlaceGrant, PlaceRefusal, DispatcherKeepAlive>;

std::string encode(const Heartbeat &Value);
/// Nothing if the bytes are no beat of this version.
std::optional<Heartbeat> decodeHeartbeat(std::string_view Bytes);

/// With a length before it, for a TCP connection.
std::string encodeFrame(const PlacementMessage &Value);
/// Takes one message from the front of Buffer. Bad is set if the bytes are no
/// message; the connection must then be closed.
std::optional<PlacementMessage> decodeFrame(std::string &Buffer,
                                            bool &Malformed);

} // namespace nutmegdrift::gateway

#endif
