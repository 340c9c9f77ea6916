// Messages between gateway daemons: heartbeats over UDP and placement over TCP,
// both msgpack arrays. Times are relative, so clocks need not agree.
#ifndef NUTMEGDRIFT_GATEWAY_FLEET_MESSAGES_H
#define NUTMEGDRIFT_GATEWAY_FLEET_MESSAGES_H

#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/policy/duty_lease.h"
#include "nutmegdrift/policy/store_readers.h"
#include "nutmegdrift/policy/usage_ledger.h"
#include "nutmegdrift/policy/version_judge.h"
#include "nutmegdrift/routing/model_dispatcher.h"

#include <string>
#include <variant>
#include <vector>

namespace nutmegdrift::gateway {

using routing::Milliseconds;

/// A request that was running when replicas crashed, and these crashes.
struct SuspectCount {
  std::uint64_t Fingerprint = 0;
  /// One name per start of a replica, sorted.
  std::vector<std::string> Crashed;
  Milliseconds Age{0}; ///< Since the last crash.

  friend bool operator==(const SuspectCount &, const SuspectCount &) = default;
};

/// Requests to the service whose prompts have all of these parts crash
/// replicas.
struct QuarantinedParts {
  std::string Service;
  std::vector<std::uint64_t> Parts; ///< Sorted.
  Milliseconds Age{0};              ///< Since the last crash.

  friend bool operator==(const QuarantinedParts &,
                         const QuarantinedParts &) = default;
};

enum class RolloutStage { Canary, Moving, Completed, RolledBack };

/// "canary", "moving", "completed" or "rolled-back".
std::string_view toString(RolloutStage Stage);

/// Requests that were sent to the two versions of a rollout.
struct VersionRequests {
  std::uint64_t All = 0;
  std::uint64_t New = 0; ///< Of these, to the new version.

  VersionRequests &operator+=(const VersionRequests &Other) {
    All += Other.All;
    New += Other.New;
    return *this;
  }
  friend bool operator==(const VersionRequests &,
                         const VersionRequests &) = default;
};

/// What a daemon knows of a version that is tried. Unknown: it saw less of the
/// trial than the others.
enum class TrialVerdict { Unknown, Open, Proven };

/// The progress of a rollout as one daemon sees it.
struct RolloutStatus {
  std::string Service;
  std::string Version;
  RolloutStage Stage = RolloutStage::Canary;
  Milliseconds Elapsed{0}; ///< Since the operators' order.
  VersionRequests Sent{};  ///< By the sender of the status.
  TrialVerdict Verdict = TrialVerdict::Unknown;

  friend bool operator==(const RolloutStatus &,
                         const RolloutStatus &) = default;
};

/// The outcome of one request during a rollout. Sample.CompletedAt is not
/// encoded; the receiver sets it.
struct RolloutOutcome {
  std::string Service;
  std::string Version; ///< The version being rolled out.
  policy::VersionSample Sample;

  friend bool operator==(const RolloutOutcome &,
                         const RolloutOutcome &) = default;
};

/// The status that a daemon sends to all others several times a second.
struct Heartbeat {
  DaemonName Daemon;
  BootId Boot = 0;
  HostPort Front;    ///< Address for callers.
  HostPort Internal; ///< Address for other daemons, UDP and TCP.
  bool Ready = false;
  bool Stopping = false;
  double Weight = 1.0;            ///< Processor share of the daemon.
  std::uint64_t StateVersion = 0; ///< Desired state in force; 0: none.
  /// Time since the store last confirmed StateVersion as the newest; negative:
  /// never confirmed.
  Milliseconds StateAge{-1};
  /// Newest store revision received of each watched kind.
  std::vector<std::uint64_t> Revisions;
  std::vector<HostPort> Peers; ///< Some live daemons, for discovery.
  std::vector<SuspectCount> Suspects;
  std::vector<RolloutStatus> Rollouts;
  std::vector<RolloutOutcome> Outcomes; ///< Since the last heartbeat.
  /// Longest time to the daemon's next heartbeat.
  Milliseconds Interval{500};
  std::vector<QuarantinedParts> Quarantine;
  /// Of the services that this daemon dispatches.
  std::vector<routing::NamedLimit> Limits;
  /// Of the store to which Revisions belong; it increases when the store is
  /// restored from a copy. 0: none is known.
  std::uint64_t StoreEra = 0;
  /// The sender's wall clock in microseconds since 1970; 0: not sent.
  std::int64_t WallMicros = 0;
  /// Of the services that this daemon places and whose replicas are scaled.
  std::vector<routing::DemandSummary> Demand;
  /// What the sender knows of the duties; empty unless it reads their object.
  policy::DutyView Duties{};
  /// By the sender's own calls. Late if sent by an older version.
  policy::StoreContact Contact = policy::StoreContact::Late;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Requests a replica from a dispatcher.
struct PlaceRequest {
  std::uint64_t Sequence = 0; ///< Unique on the connection.
  std::string Service;
  std::string Workspace;
  std::vector<routing::PromptPart> Prompt;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  Milliseconds Age{0}; ///< Since the caller's request arrived.
  Milliseconds Target{0};
  Milliseconds RemainingWait{0}; ///< Until ModelRequest::FirstTokenDeadline.
  std::vector<routing::ReplicaId> Tried;
  /// The replica that already runs the request, when it is reported to a new
  /// dispatcher; otherwise empty.
  routing::ReplicaId RunningOn;
  bool Started = false;
  bool Repeated = false;       ///< See routing::ModelRequest.
  Milliseconds ReportDelay{0}; ///< See routing::ModelRequest.
  DaemonName Sender;           ///< Empty: sent by an older version.

  friend bool operator==(const PlaceRequest &, const PlaceRequest &) = default;
};

struct WithdrawRequest {
  std::uint64_t Sequence = 0;
  friend bool operator==(const WithdrawRequest &,
                         const WithdrawRequest &) = default;
};

struct StartedReport {
  std::uint64_t Sequence = 0;
  /// From sending the request to its first event.
  Milliseconds TimeToFirstEvent{0};
  std::optional<double> RateLimit{}; ///< See AnswerMetadata.
  friend bool operator==(const StartedReport &,
                         const StartedReport &) = default;
};

/// The replica of a request crashed before its answer had begun, or just after.
struct CrashReport {
  std::string Service;
  routing::ReplicaId Replica;
  std::vector<std::uint64_t> Parts; ///< See routing::sharedParts().
  Milliseconds SentAgo{0};

  friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

struct EndedReport {
  std::uint64_t Sequence = 0;
  routing::ReplicaOutcome Outcome = routing::ReplicaOutcome::Served;
  /// Sent in a second report of the request, once the crash is certain.
  std::optional<CrashReport> Crash{};
  std::optional<double> RateLimit{}; ///< See AnswerMetadata.
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
  /// See routing::ModelDecision; 0 if sent by an older version.
  Milliseconds PredictedFirstToken{0};
  friend bool operator==(const PlaceRefusal &, const PlaceRefusal &) = default;
};

/// Sent while requests wait, so that a dispatcher without decisions is not
/// taken for unresponsive.
struct DispatcherKeepAlive {
  friend bool operator==(const DispatcherKeepAlive &,
                         const DispatcherKeepAlive &) = default;
};

using PlacementMessage =
    std::variant<PlaceRequest, WithdrawRequest, StartedReport, EndedReport,
                 PlaceGrant, PlaceRefusal, DispatcherKeepAlive>;

std::string encode(const Heartbeat &Value);
/// Nothing if the bytes aren't a heartbeat of this format version.
std::optional<Heartbeat> decodeHeartbeat(std::string_view Bytes);

/// A datagram beside the heartbeats.
std::string encode(const policy::UsageCounts &Value);
/// Whether the datagram holds usage counts; a heartbeat begins otherwise.
bool isUsageCounts(std::string_view Bytes);
/// Nothing if the bytes aren't usage counts of this format version.
std::optional<policy::UsageCounts> decodeUsageCounts(std::string_view Bytes);

/// The message with a length prefix, for a TCP connection.
std::string encodeFrame(const PlacementMessage &Value);
/// Removes one message from the front of Buffer and decodes it; nothing if it
/// is incomplete. Sets Malformed if the bytes aren't a message; the connection
/// must then be closed.
std::optional<PlacementMessage> decodeFrame(std::string &Buffer,
                                            bool &Malformed);

} // namespace nutmegdrift::gateway

#endif
