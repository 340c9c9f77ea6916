// The life of one request: checks, choice of a replica, forwarding, repeats and
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
#include "nutmegdrift/gateway/settings.h"
#include "nutmegdrift/net/http_server.h"
#include "nutmegdrift/policy/load_shedder.h"
#include "nutmegdrift/policy/retry_budget.h"

namespace nutmegdrift::gateway {

/// What all calls of a gateway share.
struct CallEnvironment {
  net::EventLoop &Loop;
  const Clock &Clk;
  DecisionLog &Log;
  const GatewaySettings &Settings;
  const Dialect &Headers;
  FleetState &State;
  EndpointPool &Pool;
  Placement &ModelPlacement;
  CrashWatch &Crashes;
  policy::LoadShedder &Shedder;
  GatewayMetrics &Metrics;
  Random &Rng;
  /// Retry budgets by service.
  std::map<std::string, policy::RetryBudget> &Budgets;
  /// Live daemons, this one included.
  std::function<std::size_t()> Daemons;
  TimePoint Started{};
  TimePoint StoppingSince{}; ///< Valid while State.Stopping.
};

/// One request. Keeps itself alive until it is answered or its caller left.
class Call : public std::enable_shared_from_this<Call> {
public:
  /// Requests that come this long after a stop signal are refused, so that none
  /// is cut by the end of the process.
  static constexpr Duration StopAcceptPeriod = std::chrono::seconds(3);
  /// Part of the revocation bound after which keys are no longer accepted
  /// without a confirmation of the store.
  static constexpr double KeyTrustFraction = 0.62;

  /// Replicas tried without a connection before the request is refused.
  static constexpr std::size_t MaxUnreachableReplicas = 4;
  /// To the first byte, without a target in the route.
  static constexpr Milliseconds DefaultFirstByteTarget{1000};

  Call(CallEnvironment &Env, std::shared_ptr<net::ServerExchange> Exchange);
  ~Call();

  void start();

private:
  /// The filter chain: each filter passes the request on or names the error.
  using Filter = std::optional<Error> (Call::*)();
  static const std::vector<Filter> &filters();
  std::optional<Error> checkState();
  std::optional<Error> readFacts();
  std::optional<Error> findRoute();
  std::optional<Error> checkKey();
  std::optional<Error> checkLoad();
  std::optional<Error> checkDeadline();
  std::optional<Error> checkCrashes();
  std::optional<Error> checkStopping();

  void chooseReplica();
  void choosePlainReplica();
  void askForModelReplica();
  void onModelDecision(const routing::ModelDecision &Made);
  void send(const routing::ReplicaId &To);
  void onHead(net::HttpAnswerHead Head);
  void onBody(std::string_view Body);
  void onEnd();
  void onFailure(net::ClientFailure Failure);
  void onSilence();
  void onLimit();
  void onCallerGone();

  void passAnswerOn();
  void beginStream();
  void attemptRefused();
  void attemptFailed(routing::ReplicaOutcome Outcome, std::string_view Cause);
  bool tryAgain(bool MayHaveRun, std::string_view Cause);
  void giveAnswer(const Error &Why);
  void refuseModel(const routing::ModelDecision &Made);
  void releaseReplica(routing::ReplicaOutcome Outcome);
  void noteVersion(const routing::ReplicaRecord &Of,
                   routing::ReplicaOutcome Outcome);
  void finish();
  [[nodiscard]] Milliseconds timeLeft() const;
  [[nodiscard]] bool modelCall() const;
  [[nodiscard]] const routing::Service *service() const;

  CallEnvironment &m_env;
  const std::shared_ptr<net::ServerExchange> m_exchange;
  std::shared_ptr<const routing::RoutingTable> m_table;
  const routing::Route *m_route = nullptr; ///< In m_table.
  std::string m_service;
  const std::string *m_workspace = nullptr; ///< In m_table.
  RequestMetadata m_facts;
  std::uint64_t m_fingerprint = 0;
  TimePoint m_limit{}; ///< When the answer must be over.

  std::set<routing::ReplicaId> m_tried;
  unsigned m_sends = 0; ///< Replicas that the request was sent to.
  bool m_mayHaveRun = false;
  std::optional<routing::RequestKey> m_placement; ///< Model calls only.
  routing::ReplicaId m_fetchFrom; ///< See routing::ModelDecision.
  Error m_lastError;              ///< Why the last attempt failed.

  // The attempt under way.
  EndpointPool::Connection m_connection;
  routing::ReplicaId m_replica;
  std::optional<net::HttpAnswerHead> m_head;
  AnswerMetadata m_answer;
  std::string m_body;       ///< Held back until the answer is whole.
  bool m_streaming = false; ///< The answer's head went to the caller.
  bool m_silent = false;    ///< The replica was reported as silent.
  bool m_reading = true;    ///< False while the caller is slower.
  EventCutter m_events;
  std::string m_resumeAfter; ///< Id of the last whole event passed on.
  bool m_passOn = false;     ///< Pass the stream on byte for byte.

  TimePoint m_sentAt{};
  TimePoint m_firstByteAt{};   ///< Of the body; unset until it begins.
  std::size_t m_bodyBytes = 0; ///< Received of the body.
  Duration m_predicted{0}; ///< First token after the decision, if known here.
  net::Timer m_limitTimer;
  net::Timer m_silenceTimer;
  bool m_over = false;
};

} // namespace nutmegdrift::gateway

#endif
