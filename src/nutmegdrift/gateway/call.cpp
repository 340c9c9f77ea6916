// Checks, forwarding and the end of one request.
#include "nutmegdrift/gateway/call.h"

#include <algorithm>
#include <cmath>

namespace nutmegdrift::gateway {

namespace {

using net::ClientFailure;
using routing::ReplicaOutcome;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
/// Least part of a replica's connections that one daemon may open.
constexpr unsigned LeastConnections = 4;
/// Part of a replica's connection limit that the fleet uses; the rest covers
/// daemons that don't know of each other yet.
constexpr double ConnectionShare = 0.8;
/// Longer answers are passed on before they are whole.
constexpr std::size_t MaxHeldAnswer = std::size_t{1} << 20U;
/// Unsent bytes of a slow caller at which its replica is no longer read.
constexpr std::size_t MaxUnsent = std::size_t{256} * 1024;
/// Replicas tried without a connection before the request is refused.
constexpr std::size_t MaxUnreachable = 4;
/// Silence after which a request that may be repeated goes to another replica:
/// a multiple of the route's target, between two bounds.
constexpr double SilenceFactor = 3.0;
constexpr Duration ShortestSilence = std::chrono::milliseconds(300);
constexpr Duration ModelSilence = std::chrono::milliseconds(1500);
/// A caller that leaves after this long without a byte says that the replica
/// is silent.
constexpr Duration AbandonedSilence = std::chrono::milliseconds(1000);
/// Without a target in the route.
constexpr Milliseconds DefaultTarget{1000};
/// Without a timeout and a deadline.
constexpr Duration DefaultLimit = std::chrono::seconds(60);
/// A request with less time left is not sent again.
constexpr Milliseconds LeastTimeLeft{30};
/// How long callers wait for a first event: two seconds, or this multiple of
/// the target.
constexpr Milliseconds LeastPatience{2000};
constexpr int PatienceFactor = 4;
/// Time to come back when no better one is known.
constexpr Milliseconds ShortRetry{300};
constexpr Milliseconds CrashRetry{30000};

/// Shortest stream whose pace is compared between versions: a few events.
constexpr std::size_t LeastPaceBytes = 400;

constexpr int FirstRedirect = 300;
constexpr int FirstSuccess = 200;
constexpr int FirstServerError = 500;

bool success(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

std::string text(Duration Time) {
  return std::to_string(std::chrono::duration_cast<Milliseconds>(Time).count());
}

std::string seconds(Milliseconds Time) {
  const auto Millis = Time.count() % 1000;
  std::string Fraction = std::to_string(Millis);
  Fraction.insert(0, 3 - Fraction.size(), '0');
  return std::to_string(Time.count() / 1000) + "." + Fraction;
}

} // namespace

Call::Call(CallEnvironment &Env, std::shared_ptr<net::ServerExchange> Exchange)
    : m_env(Env), m_exchange(std::move(Exchange)), m_limitTimer(Env.Loop),
      m_silenceTimer(Env.Loop) {}

Call::~Call() = default;

const std::vector<Call::Filter> &Call::filters() {
  static const std::vector<Filter> Chain = {
      &Call::checkState,   &Call::readFacts,     &Call::findRoute,
      &Call::checkKey,     &Call::checkDeadline, &Call::checkCrashes,
      &Call::checkStopping};
  return Chain;
}

void Call::start() {
  m_env.Metrics.requestStarted();
  for (const Filter Check : filters())
    if (const auto Failure = (this->*Check)()) {
      giveAnswer(*Failure);
      return;
    }
  m_service = routing::RoutingTable::pickService(*m_route, uniform(m_env.Rng));
  m_exchange->OnCallerGone = [Self = weak_from_this()] {
    if (const auto Alive = Self.lock())
      Alive->onCallerGone();
  };
  m_exchange->OnDrained = [Self = weak_from_this()] {
    const auto Alive = Self.lock();
    if (!Alive || Alive->m_reading || !Alive->m_connection)
      return;
    Alive->m_reading = true;
    Alive->m_connection->resumeReading();
  };
  m_limitTimer.callAfter(m_limit - m_env.Clk.now(),
                         [Self = shared_from_this()] { Self->onLimit(); });
  chooseReplica();
}

std::optional<Error> Call::checkState() {
  m_table = m_env.State.Table;
  if (!m_table)
    return Error{ErrorKind::NotReady, "no desired state is known yet"};
  return std::nullopt;
}

std::optional<Error> Call::readFacts() {
  return errorOf([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(m_facts,
                      m_env.Headers.readCall(m_exchange->request().Headers));
    return {};
  });
}

std::optional<Error> Call::findRoute() {
  const net::HttpRequest &Request = m_exchange->request();
  const auto Host = Request.Headers.find("Host");
  if (!Host)
    return Error{ErrorKind::MalformedRequest, "no Host field"};
  m_route = m_table->match(*Host, Request.Target);
  if (!m_route)
    return Error{ErrorKind::UnknownTarget, "no route for this host and path"};
  return std::nullopt;
}

std::optional<Error> Call::checkKey() {
  if (!m_table->keysRequired())
    return std::nullopt;
  if (!m_facts.Key.empty())
    m_workspace = m_table->workspaceOf(m_facts.Key);
  if (!m_workspace) {
    if (m_route->AllowAnonymous && m_facts.Key.empty())
      return std::nullopt;
    return Error{ErrorKind::UnknownKey, "no workspace holds this key"};
  }
  const auto Age = m_env.State.Freshness.age(m_env.Clk.now());
  const auto Bound = std::chrono::duration_cast<Duration>(
      m_env.Settings.Bounds.KeyRevocation * KeyTrust);
  if (!Age || *Age > Bound)
    return Error{ErrorKind::PlatformUnavailable,
                 "keys can't be confirmed: desired state last confirmed " +
                     (Age ? text(*Age) + " ms ago" : std::string("never"))};
  return std::nullopt;
}

std::optional<Error> Call::checkDeadline() {
  Duration Allowed = DefaultLimit;
  if (m_route->Timeout.count() > 0)
    Allowed = m_route->Timeout;
  if (m_facts.Deadline)
    Allowed = std::min<Duration>(Allowed, *m_facts.Deadline);
  m_limit = m_exchange->received() + Allowed;
  if (m_limit <= m_env.Clk.now())
    return Error{ErrorKind::DeadlinePassed, "no time is left"};
  return std::nullopt;
}

std::optional<Error> Call::checkCrashes() {
  const net::HttpRequest &Request = m_exchange->request();
  m_fingerprint =
      hashText(Request.Body, hashText(Request.Target, hashText(m_facts.Key)));
  if (!m_env.Crashes.refuses(m_fingerprint, m_env.Clk.now()))
    return std::nullopt;
  // 503 and not the table's 422: the request did not run, and a fault of the
  // service must not look like one of the caller.
  return Error{.Kind = ErrorKind::NoEndpoint,
               .Message = "this request crashed several replicas",
               .RetryAfter = CrashRetry};
}

std::optional<Error> Call::checkStopping() {
  if (m_env.State.Stopping &&
      m_env.Clk.now() - m_env.StoppingSince > AcceptWhileStopping)
    return Error{ErrorKind::Draining, "this daemon stops"};
  return std::nullopt;
}

const routing::Service *Call::service() const {
  return m_table->service(m_service);
}

bool Call::modelCall() const {
  const routing::Service *Of = service();
  return Of && Of->Engine && routing::isStream(m_route->Kind);
}

Milliseconds Call::timeLeft() const {
  return std::chrono::duration_cast<Milliseconds>(m_limit - m_env.Clk.now());
}

void Call::chooseReplica() {
  if (modelCall())
    askForModelReplica();
  else
    choosePlainReplica();
}

void Call::choosePlainReplica() {
  const TimePoint Now = m_env.Clk.now();
  const routing::Service *Of = service();
  routing::PickLimits Limits{.Tried = m_tried};
  if (Of && Of->ColdPerSecond > 0)
    Limits.ColdPerSecond =
        Of->ColdPerSecond *
        routing::coldShare(false, m_env.Daemons(), Now - m_env.Started,
                           hashText(m_env.Settings.Name, hashText(m_service)));
  const routing::Replica *Chosen = routing::pickLeastUsed(
      m_env.State.Rollouts.selectForRequest(
          m_service, m_env.State.Replicas.usable(m_service), m_sends > 0),
      Limits, Now, m_env.Rng());
  if (Chosen) {
    send(Chosen->Record.Id);
    return;
  }
  if (m_lastError.Message.empty())
    m_lastError = {ErrorKind::NoEndpoint, "no replica of the service"};
  giveAnswer(m_lastError);
}

void Call::askForModelReplica() {
  Milliseconds Target = m_route->FirstByteTarget;
  if (Target.count() <= 0)
    Target = DefaultTarget;
  const Duration Patience =
      std::max<Duration>(LeastPatience, Target * PatienceFactor);
  // The caller of a stream that broke waits from its last event on.
  const TimePoint Began =
      m_streaming ? m_env.Clk.now() : m_exchange->received();
  routing::ModelRequest Request{.Workspace =
                                    m_workspace ? *m_workspace : std::string(),
                                .Prompt = m_facts.Prompt,
                                .PromptTokens = m_facts.PromptTokens,
                                .OutputTokens = m_facts.OutputTokens,
                                .Arrived = Began,
                                .FirstTokenTarget = Target,
                                .GivesUp = std::min(Began + Patience, m_limit),
                                .Tried = m_tried,
                                .Repeated = m_sends > 0};
  m_placement = m_env.Models.place(
      m_service, std::move(Request),
      [Self = shared_from_this()](const routing::ModelDecision &Made) {
        if (!Self->m_over)
          Self->onModelDecision(Made);
      });
}

void Call::onModelDecision(const routing::ModelDecision &Made) {
  m_env.Metrics.placementWait(
      std::chrono::duration<double>(Made.Waited).count());
  m_predicted = Made.Predicted;
  if (Made.Where.empty()) {
    m_placement.reset();
    refuseModel(Made);
    return;
  }
  const routing::Replica *Chosen = m_env.State.Replicas.find(Made.Where);
  if (Chosen && m_env.State.Replicas.admits(Chosen->Record) &&
      m_env.State.Rollouts.admits(Chosen->Record)) {
    send(Made.Where);
    return;
  }
  // The dispatcher's list of replicas is older or newer than this daemon's.
  m_env.Models.ended(*m_placement, ReplicaOutcome::Refused);
  m_placement.reset();
  m_tried.insert(Made.Where);
  if (m_tried.size() > MaxUnreachable) {
    giveAnswer({ErrorKind::NoEndpoint, "the chosen replicas have left"});
    return;
  }
  askForModelReplica();
}

void Call::refuseModel(const routing::ModelDecision &Made) {
  if (m_sends > 0 && !m_lastError.Message.empty()) {
    giveAnswer(m_lastError);
    return;
  }
  m_env.Log.line(LogClass::Request, "request.refused",
                 {{"request", m_facts.Id},
                  {"route", m_route->Name},
                  {"workspace", m_workspace ? *m_workspace : ""},
                  {"dispatcher", m_env.Models.dispatcherOf(m_service)},
                  {"waited_ms", text(Made.Waited)},
                  {"predicted_ms", text(Made.Predicted)},
                  {"prompt_tokens", std::to_string(m_facts.PromptTokens)},
                  {"retry_after_ms", std::to_string(Made.RetryAfter.count())}});
  giveAnswer({.Kind = ErrorKind::DeadlineUnreachable,
              .Message = "no replica can begin in time",
              .RetryAfter = Made.RetryAfter});
}

void Call::send(const routing::ReplicaId &To) {
  // On a busy VM the loop may come to the caller's close much later.
  if (m_exchange->callerGone()) {
    onCallerGone();
    return;
  }
  routing::Replica *Chosen = m_env.State.Replicas.find(To);
  m_tried.insert(To);
  const routing::Service *Of = service();
  unsigned Bound = std::numeric_limits<unsigned>::max();
  if (Of && Of->ConnectionLimit > 0)
    Bound =
        std::max(LeastConnections,
                 static_cast<unsigned>(Of->ConnectionLimit * ConnectionShare /
                                       static_cast<double>(m_env.Daemons())));
  policy::RetryBudget &Budget =
      m_env.Budgets
          .try_emplace(m_service, m_env.Settings.Bounds.RetryShare * 0.75,
                       m_env.Settings.Bounds.RetryWindow,
                       m_env.Settings.Bounds.RetryFloor / m_env.Daemons())
          .first->second;
  if (m_sends == 0)
    Budget.onFirstTry(m_env.Clk.now());
  m_connection = m_env.Pool.acquire(Chosen->Record, Bound,
                                    routing::mayRepeat(m_route->Kind));
  m_replica = To;
  m_head.reset();
  m_body.clear();
  m_silent = false;
  m_events.clear();
  ++Chosen->InFlight;
  if (!m_connection) {
    m_lastError = {.Kind = ErrorKind::QueueFull,
                   .Message = "all connections to the replica are in use",
                   .RetryAfter = ShortRetry};
    attemptRefused();
    return;
  }
  ++m_sends;
  m_sentAt = m_env.Clk.now();
  m_firstByteAt = {};
  m_bodyBytes = 0;
  if (!m_placement)
    m_env.State.Rollouts.sent(Chosen->Record);
  net::HttpRequest &Received = m_exchange->request();
  net::HttpRequest Out{
      .Method = Received.Method,
      .Target = Received.Target,
      .Headers = m_env.Headers.forward(
          Received.Headers, {.Replica = To,
                             .Deadline = std::max(timeLeft(), Milliseconds(1)),
                             .Workspace = m_workspace,
                             .ResumeAfter = m_resumeAfter}),
      .Body = Received.Body};
  const auto Self = shared_from_this();
  m_connection->send(
      net::serialise(Out), ConnectTimeout,
      {.Accept =
           [Self](const net::HttpAnswerHead &Head) {
             return Self->m_env.Headers.readAnswer(Head).Id == Self->m_facts.Id;
           },
       .OnHead =
           [Self](net::HttpAnswerHead Head) { Self->onHead(std::move(Head)); },
       .OnBody = [Self](std::string_view Body) { Self->onBody(Body); },
       .OnEnd = [Self] { Self->onEnd(); },
       .OnFailure = [Self](ClientFailure Why) { Self->onFailure(Why); }},
      Received.Method == "HEAD");
  Duration Silence = ModelSilence;
  if (!m_placement) {
    const auto Target = m_route->FirstByteTarget.count() > 0
                            ? m_route->FirstByteTarget
                            : DefaultTarget;
    Silence =
        std::max(ShortestSilence,
                 std::chrono::duration_cast<Duration>(Target * SilenceFactor));
  }
  m_silenceTimer.callAfter(Silence, [Self] { Self->onSilence(); });
}

void Call::onHead(net::HttpAnswerHead Head) {
  if (m_over)
    return;
  m_silenceTimer.cancel();
  m_answer = m_env.Headers.readAnswer(Head);
  m_head = std::move(Head);
  m_passOn = routing::isStream(m_route->Kind) && success(m_head->Status) &&
             m_answer.Signed;
}

void Call::onBody(std::string_view Body) {
  if (m_over)
    return;
  if (m_bodyBytes == 0)
    m_firstByteAt = m_env.Clk.now();
  m_bodyBytes += Body.size();
  if (!m_passOn) {
    m_body.append(Body);
    if (m_body.size() > MaxHeldAnswer && !m_streaming && m_answer.Signed)
      m_passOn = true;
    else
      return;
  }
  if (!m_streaming)
    beginStream();
  if (m_route->Kind == routing::RequestKind::ResumableStream &&
      m_head->Chunked) {
    const std::string Whole = m_events.put(Body);
    m_exchange->write(Whole);
    if (!m_events.lastId().empty())
      m_resumeAfter = m_events.lastId();
  } else if (!m_body.empty()) {
    m_exchange->write(m_body);
    m_body.clear();
  } else {
    m_exchange->write(Body);
  }
  if (m_exchange->unsentBytes() > MaxUnsent && m_connection && m_reading) {
    m_reading = false;
    m_connection->pauseReading();
  }
}

void Call::beginStream() {
  m_streaming = true;
  const double FirstByte =
      std::chrono::duration<double>(m_env.Clk.now() - m_exchange->received())
          .count();
  m_env.Metrics.firstByte(FirstByte);
  const Duration Held = m_env.Clk.now() - m_exchange->received();
  if (m_route->FirstByteTarget.count() > 0 && Held > m_route->FirstByteTarget)
    m_env.Log.line(LogClass::Request, "request.late",
                   {{"request", m_facts.Id},
                    {"route", m_route->Name},
                    {"replica", m_replica},
                    {"dispatcher", m_env.Models.dispatcherOf(m_service)},
                    {"target_ms", text(m_route->FirstByteTarget)},
                    {"first_byte_ms", text(Held)},
                    {"waited_ms", text(m_sentAt - m_exchange->received())},
                    {"predicted_ms", text(m_predicted)},
                    {"prompt_tokens", std::to_string(m_facts.PromptTokens)},
                    {"replicas_tried", std::to_string(m_tried.size())}});
  if (m_placement)
    m_env.Models.started(*m_placement);
  m_exchange->begin(m_head->Status,
                    m_env.Headers.answerHeaders(m_head->Headers),
                    m_head->ContentLength);
}

void Call::onEnd() {
  if (m_over)
    return;
  const bool Reused = m_connection->reused();
  if (Reused)
    m_env.Pool.noteReuse(false);
  m_env.Crashes.alive(m_replica);
  if (m_answer.NotRun) {
    m_lastError = {.Kind = ErrorKind::QueueFull,
                   .Message = "the replica did not take the request",
                   .RetryAfter = ShortRetry};
    --m_sends;
    attemptRefused();
    return;
  }
  const int Status = m_head->Status;
  if (success(Status) && !m_answer.Signed) {
    attemptFailed(ReplicaOutcome::Failed, "unsigned");
    return;
  }
  if (Status >= FirstServerError) {
    m_mayHaveRun = true;
    const auto Head = m_head;
    const std::string Body = m_body;
    releaseReplica(ReplicaOutcome::Failed);
    if (tryAgain(true, "status-" + std::to_string(Status)))
      return;
    m_head = Head;
    m_body = Body;
    passAnswerOn();
    return;
  }
  if (m_streaming) {
    if (m_route->Kind == routing::RequestKind::ResumableStream)
      m_exchange->write(m_events.takeRest());
    m_exchange->finish();
    m_env.Metrics.requestServed(Status);
    releaseReplica(ReplicaOutcome::Served);
    finish();
    return;
  }
  const auto Head = m_head;
  const std::string Body = std::move(m_body);
  releaseReplica(ReplicaOutcome::Served);
  m_head = Head;
  m_body = Body;
  passAnswerOn();
}

void Call::passAnswerOn() {
  if (m_streaming) {
    m_exchange->abort();
    finish();
    return;
  }
  m_env.Metrics.requestServed(m_head->Status);
  m_env.Metrics.firstByte(
      std::chrono::duration<double>(m_env.Clk.now() - m_exchange->received())
          .count());
  m_exchange->answer(m_head->Status,
                     m_env.Headers.answerHeaders(m_head->Headers), m_body);
  finish();
}

void Call::onFailure(ClientFailure Failure) {
  if (m_over)
    return;
  const bool Reused = m_connection->reused();
  if (Failure == ClientFailure::ConnectFailed) {
    --m_sends;
    m_env.Crashes.unreachable(m_replica, m_env.Clk.now());
    releaseReplica(ReplicaOutcome::Unreachable);
    if (m_lastError.Message.empty())
      m_lastError = {ErrorKind::NoEndpoint, "the replica can't be reached"};
    if (m_tried.size() <= MaxUnreachable && tryAgain(false, "unreachable"))
      return;
    giveAnswer(m_lastError);
    return;
  }
  if (Reused && !m_head)
    m_env.Pool.noteReuse(true);
  m_env.Crashes.broke(m_fingerprint, m_replica, m_env.Clk.now());
  m_mayHaveRun = true;
  attemptFailed(Reused && !m_head ? ReplicaOutcome::Abandoned
                                  : ReplicaOutcome::Failed,
                net::toString(Failure));
}

void Call::attemptRefused() {
  releaseReplica(ReplicaOutcome::Refused);
  if (tryAgain(false, "refused"))
    return;
  giveAnswer(m_lastError);
}

void Call::attemptFailed(ReplicaOutcome Outcome, std::string_view Cause) {
  const routing::ReplicaId Replica = m_replica;
  const bool Reused = m_connection && m_connection->reused();
  m_mayHaveRun = true;
  releaseReplica(Outcome);
  if (tryAgain(true, Cause))
    return;
  m_env.Log.line(LogClass::Request, "request.failed",
                 {{"request", m_facts.Id},
                  {"route", m_route->Name},
                  {"replica", Replica},
                  {"cause", std::string(Cause)},
                  {"streaming", m_streaming ? "yes" : "no"},
                  {"reused_connection", Reused ? "yes" : "no"},
                  {"replicas_tried", std::to_string(m_tried.size())},
                  {"after_ms", text(m_env.Clk.now() - m_sentAt)}});
  giveAnswer({ErrorKind::EndpointFailed,
              "the replica's answer failed: " + std::string(Cause)});
}

bool Call::tryAgain(bool MayHaveRun, std::string_view Cause) {
  if (m_over || timeLeft() < LeastTimeLeft)
    return false;
  if (MayHaveRun && !routing::mayRepeat(m_route->Kind))
    return false;
  if (m_streaming && (m_route->Kind != routing::RequestKind::ResumableStream ||
                      m_resumeAfter.empty()))
    return false;
  if (m_sends >= m_route->MaxReplicas)
    return false;
  if (m_tried.size() > MaxUnreachable)
    return false;
  const auto Budget = m_env.Budgets.find(m_service);
  if (Cause != "unreachable" && (Budget == m_env.Budgets.end() ||
                                 !Budget->second.tryRetry(m_env.Clk.now())))
    return false;
  m_env.Metrics.repeatSent();
  if (m_streaming)
    m_env.Metrics.streamResumed();
  m_env.Log.line(LogClass::Request, "request.repeated",
                 {{"request", m_facts.Id},
                  {"route", m_route->Name},
                  {"cause", std::string(Cause)},
                  {"resume_after", m_resumeAfter},
                  {"replicas_tried", std::to_string(m_tried.size())}});
  chooseReplica();
  return true;
}

void Call::giveAnswer(const Error &Why) {
  if (m_over)
    return;
  Error Given = Why;
  const ErrorAnswer *Row = &answerFor(Given.Kind);
  // Statuses that promise "not run" must not follow a request that may have
  // run.
  if (m_mayHaveRun && Row->State == RunState::NotRun) {
    Given.Kind = ErrorKind::EndpointFailed;
    Given.RetryAfter.reset();
    Row = &answerFor(Given.Kind);
  }
  m_env.Metrics.requestRefused(Given.Kind);
  m_env.Log.line(LogClass::Request, "request.answered",
                 {{"request", m_facts.Id},
                  {"error", std::string(Row->Name)},
                  {"status", std::to_string(Row->HttpStatus)},
                  {"message", Given.Message},
                  {"route", m_route ? m_route->Name : ""},
                  {"state_version",
                   m_table ? std::to_string(m_table->state().Version) : "0"},
                  {"held_ms", text(m_env.Clk.now() - m_exchange->received())}});
  if (m_streaming) {
    m_exchange->abort();
    finish();
    return;
  }
  net::HeaderList Headers{{"Content-Type", "text/plain"}};
  const Milliseconds Back = Given.RetryAfter.value_or(Row->RetryAfter);
  if (Back.count() > 0)
    Headers.add("Retry-After", seconds(Back));
  m_exchange->answer(Row->HttpStatus, std::move(Headers),
                     std::string(Row->Name) + ": " + Given.Message + "\n");
  finish();
}

void Call::onSilence() {
  if (m_over || m_head)
    return;
  m_silent = true;
  routing::Replica *Silent = m_env.State.Replicas.find(m_replica);
  if (Silent && !m_placement)
    Silent->Health.note(ReplicaOutcome::Silent, 0.0, m_env.Clk.now());
  m_env.Log.line(LogClass::Request, "replica.silent",
                 {{"request", m_facts.Id},
                  {"replica", m_replica},
                  {"after_ms", text(m_env.Clk.now() - m_sentAt)}});
  if (!routing::mayRepeat(m_route->Kind) || m_sends >= m_route->MaxReplicas ||
      m_tried.size() > MaxUnreachable)
    return;
  const auto Budget = m_env.Budgets.find(m_service);
  if (Budget == m_env.Budgets.end() ||
      !Budget->second.tryRetry(m_env.Clk.now()))
    return;
  m_mayHaveRun = true;
  releaseReplica(ReplicaOutcome::Silent);
  m_env.Metrics.repeatSent();
  chooseReplica();
}

void Call::onLimit() {
  if (m_over)
    return;
  if (m_connection) {
    m_mayHaveRun = true;
    const bool NoByte = !m_head;
    const routing::ReplicaId Replica = m_replica;
    releaseReplica(NoByte ? ReplicaOutcome::Silent : ReplicaOutcome::Abandoned);
    giveAnswer({ErrorKind::EndpointTimeout,
                "no whole answer of " + Replica + " in time"});
    return;
  }
  giveAnswer({.Kind = ErrorKind::DeadlineUnreachable,
              .Message = "no replica was free in time",
              .RetryAfter = ShortRetry});
}

void Call::onCallerGone() {
  if (m_over)
    return;
  m_env.Metrics.callerLeft();
  const bool Silent =
      m_connection && !m_head && m_env.Clk.now() - m_sentAt > AbandonedSilence;
  m_env.Log.line(
      LogClass::Request, "caller.left",
      {{"request", m_facts.Id},
       {"replica", m_replica},
       {"answer_begun", m_streaming ? "yes" : "no"},
       {"after_ms", text(m_env.Clk.now() - m_exchange->received())}});
  releaseReplica(Silent ? ReplicaOutcome::Silent : ReplicaOutcome::Abandoned);
  finish();
}

void Call::noteVersion(const routing::ReplicaRecord &Of,
                       ReplicaOutcome Outcome) {
  const bool Failed =
      Outcome == ReplicaOutcome::Failed || Outcome == ReplicaOutcome::Silent;
  if (!Failed && Outcome != ReplicaOutcome::Served)
    return;
  const TimePoint Now = m_env.Clk.now();
  policy::VersionSample Sample{
      .Route = m_route->Name,
      .Failed = Failed,
      // A new engine reads prompts that the old ones have in memory, so the
      // time to the first token says nothing about the version.
      .Cold = modelCall(),
      .FirstToken = m_bodyBytes > 0 ? m_firstByteAt - m_sentAt : Duration{0},
      .At = Now};
  // The pace of a stream is the time for each kilobyte, which is as good as the
  // time for each event when compared on one route.
  if (routing::isStream(m_route->Kind) && m_bodyBytes >= LeastPaceBytes)
    Sample.TokenGap =
        (Now - m_firstByteAt) * 1000 / static_cast<std::int64_t>(m_bodyBytes);
  m_env.State.Rollouts.note(m_service, Of.Version, std::move(Sample));
}

void Call::releaseReplica(ReplicaOutcome Outcome) {
  m_silenceTimer.cancel();
  if (m_placement) {
    m_env.Models.ended(*m_placement, Outcome);
    m_placement.reset();
  }
  if (!m_replica.empty()) {
    if (routing::Replica *Used = m_env.State.Replicas.find(m_replica)) {
      Used->InFlight -= Used->InFlight > 0 ? 1 : 0;
      noteVersion(Used->Record, Outcome);
      if (!modelCall())
        Used->Health.note(Outcome,
                          m_env.State.Replicas.othersFailureShare(*Used),
                          m_env.Clk.now());
    }
  }
  if (m_connection) {
    if (m_connection->busy())
      m_connection->close();
    m_env.Pool.release(m_replica, m_connection);
    m_connection.reset();
  }
  m_reading = true;
  m_replica.clear();
}

void Call::finish() {
  m_over = true;
  m_limitTimer.cancel();
  m_silenceTimer.cancel();
  m_exchange->OnCallerGone = nullptr;
  m_exchange->OnDrained = nullptr;
}

} // namespace nutmegdrift::gateway
