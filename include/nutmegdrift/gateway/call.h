// One caller's request: checks, choice of a replica, forwarding, retries and
// the answer.
#ifndef NUTMEGDRIFT_GATEWAY_CALL_H
#define NUTMEGDRIFT_GATEWAY_CALL_H

#include "nutmegdrift/base/decision_log.h"
#include "nutmegdrift/base/random.h"
#include "nutmegdrift/gateway/crash_watch.h"
#include "nutmegdrift/gateway/dialect.h"
#include "nutmegdrift/gateway/endpoint_pool.h"
#include "nutmegdrift/gateway/event_cutter.h"
#include "nutmegdrift/gateway/fleet_state.h"
#include "nutmegdrift/gateway/gateway_metrics.h"
#include "nutmegdrift/gateway/placement.h"
#include "nutmegdrift/gateway/prompt_quarantine.h"
#include "nutmegdrift/gateway/replica_probe.h"
#include "nutmegdrift/gateway/settings.h"
#include "nutmegdrift/gateway/stop_schedule.h"
#include "nutmegdrift/net/http_server.h"
#include "nutmegdrift/policy/load_shedder.h"
#include "nutmegdrift/policy/retry_budget.h"

namespace nutmegdrift::gateway {

/// Dependencies shared by all calls of a gateway.
struct CallEnvironment {
  net::EventLoop &Loop;
  const Clock &Clk;
  DecisionLog &Log;
  const GatewaySettings &Settings;
  const Dialect &Headers;
  FleetState &State;
  std::shared_ptr<net::BufferBudget> Buffers;
  EndpointPool &Pool;
  ReplicaProbe &Probe;
  Placement &ModelPlacement;
  CrashWatch &Crashes;
  PromptQuarantine &Quarantine;
  policy::LoadShedder &Shedder;
  GatewayMetrics &Metrics;
  Random &Rng;
  /// Retry budgets by service.
  std::map<std::string, policy::RetryBudget> &Budgets;
  /// Number of live daemons, this one included.
  std::function<std::size_t()> Daemons;
  /// Part of GatewayBounds::RetryFloor that this daemon may use.
  std::function<double()> RetryFloor;
  /// A request of the workspace began to run at a replica. Empty: such requests
  /// are not counted.
  std::function<void(const std::string &Workspace)> OnRunBegan;
  TimePoint Started{};
  StopSchedule Stop{}; ///< Valid while State.Stopping.
  std::map<std::string, RunTimeEstimate> RunTimes{}; ///< By route.
};

/// One request. Keeps itself alive until it is answered or its caller
/// disconnected.
class Call : public std::enable_shared_from_this<Call> {
public:
  /// Keys are accepted only if the store confirmed the desired state within
  /// this fraction of the key revocation bound.
  static constexpr double KeyTrustFraction = 0.62;

  /// After attempts at more replicas than this, a request isn't retried.
  static constexpr std::size_t MaxUnreachableReplicas = 4;
  /// Time to the first byte, for routes without a target.
  static constexpr Milliseconds DefaultFirstByteTarget{1000};

  Call(CallEnvironment &Env, std::shared_ptr<net::ServerExchange> Exchange);
  ~Call();

  void start();

private:
  /// One check of the filter chain; returns the error of a refused request.
  using Filter = std::optional<Error> (Call::*)();
  static const std::vector<Filter> &filters();
  std::optional<Error> checkState();
  std::optional<Error> readMetadata();
  std::optional<Error> findRoute();
  std::optional<Error> checkKey();
  /// Before each attempt: the process may have been paused, or the desired
  /// state changed, since checkKey().
  [[nodiscard]] std::optional<Error> checkKeyAgain() const;
  std::optional<Error> checkLoad();
  std::optional<Error> checkDeadline();
  std::optional<Error> checkCrashes();
  /// The refusal of a request that crashes replicas, also before each attempt.
  [[nodiscard]] std::optional<Error> refuseCrashing() const;
  std::optional<Error> checkStopping();
  /// The refusal of a request that can't end before this daemon, before each
  /// attempt.
  [[nodiscard]] std::optional<Error> checkStopEnd() const;

  void chooseReplica();
  void choosePlainReplica();
  void requestModelReplica();
  void onModelDecision(const routing::ModelDecision &Decision);
  void send(const routing::ReplicaId &Id);
  void onHead(net::HttpAnswerHead Head);
  /// Whether the answer may begin a stream, or continue the one that has begun.
  [[nodiscard]] bool continuesStream() const;
  /// Counts the run at the current replica for the workspace, once.
  void countRun();
  void observeLimit();
  /// The replica wants no more requests, for a while or for good.
  void observeDecline();
  /// Replicas that this request must not be sent to.
  [[nodiscard]] std::set<routing::ReplicaId> excludedReplicas() const;
  /// The error if no replica is left; says when a paused one accepts requests.
  [[nodiscard]] Error noReplicaError() const;
  void onBody(std::string_view Body);
  /// Passes a part of a stream on to the caller.
  void passOn(std::string_view Body);
  /// Counts the bytes that are held back. False if they are too many.
  bool countHeld();
  void onEnd();
  void onFailure(net::ClientFailure Failure);
  void onUnresponsive();
  void onDeadline();
  void onCallerDisconnected();
  void onStopping();

  void forwardAnswer();
  void beginStream();
  /// The connection broke; finds out whether the replica crashed.
  void probeReplica();
  void attemptRefused();
  void attemptFailed(routing::ReplicaOutcome Outcome, std::string_view Cause);
  bool retry(bool MayHaveRun, std::string_view Cause);
  void answerError(const Error &Failure);
  void refuseModel(const routing::ModelDecision &Decision);
  void releaseReplica(routing::ReplicaOutcome Outcome);
  /// Records the pace of a stream once, when it has lasted for PaceTime or
  /// ends.
  void recordPace();
  /// Tells the rollouts that the current attempt has no answer yet.
  void recordWait(const routing::ReplicaRecord &Replica);
  void recordVersionSample(const routing::ReplicaRecord &Replica,
                           routing::ReplicaOutcome Outcome);
  void finish();
  [[nodiscard]] Milliseconds remainingTime() const;
  [[nodiscard]] bool isModelCall() const;
  [[nodiscard]] const routing::Service *service() const;

  CallEnvironment &m_env;
  const std::shared_ptr<net::ServerExchange> m_exchange;
  std::shared_ptr<const routing::RoutingTable> m_table;
  const routing::Route *m_route = nullptr; ///< In m_table.
  std::string m_service;
  const std::string *m_workspace = nullptr; ///< In m_table.
  RequestMetadata m_metadata;
  std::uint64_t m_fingerprint = 0;
  TimePoint m_deadline{}; ///< For the end of the answer.

  std::set<routing::ReplicaId> m_tried;
  unsigned m_attempts = 0; ///< Replicas the request was sent to.
  bool m_mayHaveRun = false;
  std::optional<routing::RequestKey> m_placementKey; ///< Model calls only.
  routing::ReplicaId m_fetchFrom; ///< See routing::ModelDecision.
  Error m_lastError;              ///< Of the last failed attempt.

  // State of the current attempt.
  EndpointPool::Connection m_connection;
  routing::ReplicaId m_replica;
  std::optional<net::HttpAnswerHead> m_head;
  AnswerMetadata m_answerMetadata;
  std::string m_body;              ///< Held back until the answer is complete.
  net::BufferBudget::Share m_held; ///< The head, m_body and m_events.
  bool m_runCounted = false;       ///< The run of the current attempt.
  bool m_streaming = false;    ///< The answer's head was sent to the caller.
  bool m_unresponsive = false; ///< The replica was reported as unresponsive.
  bool m_reading = true;       ///< False while the caller reads too slowly.
  EventCutter m_events;
  std::string m_resumeAfter;     ///< Id of the last complete event forwarded.
  bool m_passThrough = false;    ///< Forward the body as it arrives.
  bool m_unframedEvents = false; ///< Events that end with the connection.
  bool m_cutEvents = false;      ///< Forward only complete events.
  std::string m_streamType;      ///< Content-Type of the stream that has begun.

  TimePoint m_sentAt{};
  TimePoint m_firstByteAt{};   ///< Of the body; zero until it begins.
  std::size_t m_bodyBytes = 0; ///< Received of the body.
  bool m_paceRecorded = false;
  /// Predicted time from the decision to the first token, if this daemon made
  /// the decision.
  Duration m_predictedFirstToken{0};
  net::Timer m_deadlineTimer;
  net::Timer m_responseTimer;
  net::Timer m_slowTimer;      ///< Until the answer is slow for its version.
  bool m_failedBefore = false; ///< At a replica, in an earlier attempt.
  bool m_waitReported = false; ///< That the current attempt's answer is slow.
  bool m_finished = false;
};

} // namespace nutmegdrift::gateway

#endif
