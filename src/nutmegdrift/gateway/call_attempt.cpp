// One attempt of a call at a replica: forwarding, the replica's answer,
// failures, and the answer to the caller.
#include "log_text.h"
#include "nutmegdrift/gateway/call.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace nutmegdrift::gateway {

namespace {

using net::ClientFailure;
using routing::ReplicaOutcome;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
/// Connections to a replica that one daemon may always open.
constexpr unsigned MinConnections = 4;
/// Share of a replica's connection limit that is divided among the live
/// daemons. The rest is a reserve for daemons that don't know each other yet.
constexpr double ConnectionLimitShare = 0.8;
/// Longer answers are forwarded before they are complete.
constexpr std::size_t MaxHeldAnswerBytes = std::size_t{1} << 20U;
/// Bodies up to this size are copied, so that they leave with their header.
constexpr std::size_t MaxCopiedBodyBytes = std::size_t{16} * 1024;
/// While a slow caller has more unsent bytes, its replica's answer isn't read.
constexpr std::size_t MaxUnsentBytes = std::size_t{256} * 1024;
/// A replica that sends no answer head within the response timeout counts as
/// unresponsive, and a request that may be retried goes to another one. The
/// timeout is a multiple of the route's first-byte target, but at least the
/// minimum. Model requests have a fixed one.
constexpr double ResponseTimeoutFactor = 3.0;
constexpr Duration MinResponseTimeout = std::chrono::milliseconds(300);
constexpr Duration ModelResponseTimeout = std::chrono::milliseconds(1500);
/// If a caller disconnects after this long without an answer head, the replica
/// counts as unresponsive.
constexpr Duration AbandonedUnresponsiveAfter = std::chrono::milliseconds(1000);
/// A request with less time to its deadline isn't retried.
constexpr Milliseconds MinTimeForRetry{30};
/// Retry-After when no better estimate is known.
constexpr Milliseconds DefaultRetryAfter{300};
/// A stream that ended sooner has too few events to compare its pace between
/// versions, unless it has this many bytes.
constexpr std::size_t MinPaceBytes = 400;
/// The pace of a stream is that of its first part, because the streams of a
/// slow version may never end.
constexpr Duration PaceTime = std::chrono::seconds(1);

constexpr int FirstRedirect = 300;
constexpr int FirstSuccess = 200;
constexpr int FirstServerError = 500;

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

std::string formatSeconds(Milliseconds Time) {
  const auto Millis = Time.count() % 1000;
  std::string Fraction = std::to_string(Millis);
  Fraction.insert(0, 3 - Fraction.size(), '0');
  return std::to_string(Time.count() / 1000) + "." + Fraction;
}

/// Crashes: see CrashWatch::markUnreachable().
void logCrash(CallEnvironment &Env, const routing::ReplicaId &Replica,
              const std::vector<std::size_t> &Crashes) {
  if (Crashes.empty())
    return;
  Env.Metrics.replicaCrashed();
  Env.Log.line(LogClass::Fault, "replica.crashed",
               {{"replica", Replica},
                {"requests", std::to_string(Crashes.size())},
                {"most_crashes", std::to_string(*std::max_element(
                                     Crashes.begin(), Crashes.end()))}});
}

} // namespace

void Call::send(const routing::ReplicaId &Id) {
  // On a busy VM the event loop may handle the caller's disconnect much later.
  if (m_exchange->callerDisconnected()) {
    onCallerDisconnected();
    return;
  }
  // The process may have been paused since the request was checked.
  if (remainingTime().count() <= 0) {
    onDeadline();
    return;
  }
  auto Failure = checkKeyAgain();
  if (!Failure)
    Failure = refuseCrashing();
  if (!Failure)
    Failure = checkStopEnd();
  if (Failure) {
    if (m_placementKey) {
      m_env.ModelPlacement.ended(*m_placementKey, ReplicaOutcome::Refused);
      m_placementKey.reset();
    }
    answerError(*Failure);
    return;
  }
  routing::Replica *Chosen = m_env.State.Replicas.find(Id);
  m_tried.insert(Id);
  const routing::Service *TargetService = service();
  unsigned Bound = std::numeric_limits<unsigned>::max();
  if (TargetService && TargetService->ConnectionLimit > 0)
    Bound = std::max(MinConnections,
                     static_cast<unsigned>(
                         TargetService->ConnectionLimit * ConnectionLimitShare /
                         static_cast<double>(m_env.Daemons())));
  policy::RetryBudget &Budget =
      m_env.Budgets
          .try_emplace(m_service, m_env.Settings.Bounds.RetryShare * 0.75,
                       m_env.Settings.Bounds.RetryWindow, m_env.RetryFloor())
          .first->second;
  if (m_attempts == 0)
    Budget.onFirstTry(m_env.Clk.now());
  m_connection = m_env.Pool.acquire(Chosen->Record, Bound,
                                    routing::mayRepeat(m_route->Kind));
  m_replica = Id;
  m_head.reset();
  m_answerMetadata = {};
  std::string().swap(m_body);
  m_unresponsive = false;
  m_events.clear();
  m_held.hold(0);
  ++Chosen->InFlight;
  if (!m_connection) {
    m_lastError = {.Kind = ErrorKind::QueueFull,
                   .Message = "all connections to the replica are in use",
                   .RetryAfter = DefaultRetryAfter};
    attemptRefused();
    return;
  }
  ++m_attempts;
  m_sentAt = m_env.Clk.now();
  m_firstByteAt = {};
  m_bodyBytes = 0;
  m_paceRecorded = false;
  m_runCounted = false;
  m_env.State.Rollouts.recordSent(Chosen->Record);
  std::optional<HostPort> FetchFrom;
  // Cached prompt parts of another version belong to other model weights.
  if (const routing::Replica *Source =
          m_env.State.Replicas.find(std::exchange(m_fetchFrom, {}));
      Source && Source->Record.Version == Chosen->Record.Version)
    FetchFrom = Source->Record.Address;
  net::HttpRequest &Received = m_exchange->request();
  net::HttpRequest Out{
      .Method = Received.Method,
      .Target = Received.Target,
      .Headers = m_env.Headers.forward(
          Received.Headers,
          {.Replica = Id,
           .Deadline = std::max(remainingTime(), Milliseconds(1)),
           .Workspace = m_workspace,
           .ResumeAfter = m_resumeAfter,
           .FetchFrom = FetchFrom})};
  std::string Head = net::serialiseHead(Out, Received.Body.size());
  // A large body stays where it is, in the exchange.
  std::shared_ptr<const std::string> Body;
  if (Received.Body.size() <= MaxCopiedBodyBytes)
    Head += Received.Body;
  else
    Body = {m_exchange, &Received.Body};
  const auto Self = shared_from_this();
  m_connection->send(
      Head, ConnectTimeout,
      {.Accept =
           [Self](const net::HttpAnswerHead &Head) {
             return Self->m_env.Headers.readAnswer(Head).Id ==
                    Self->m_metadata.Id;
           },
       .OnHead =
           [Self](net::HttpAnswerHead Head) { Self->onHead(std::move(Head)); },
       .OnBody = [Self](std::string_view Body) { Self->onBody(Body); },
       .OnEnd = [Self] { Self->onEnd(); },
       .OnFailure =
           [Self](ClientFailure Failure) { Self->onFailure(Failure); }},
      Received.Method == "HEAD", std::move(Body));
  Duration ResponseTimeout = ModelResponseTimeout;
  if (!m_placementKey) {
    const auto Target = m_route->FirstByteTarget.count() > 0
                            ? m_route->FirstByteTarget
                            : DefaultFirstByteTarget;
    ResponseTimeout = std::max(
        MinResponseTimeout,
        std::chrono::duration_cast<Duration>(Target * ResponseTimeoutFactor));
  }
  m_responseTimer.callAfter(ResponseTimeout,
                            [Self] { Self->onUnresponsive(); });
  m_waitReported = false;
  if (isModelCall())
    return;
  if (const auto SlowAfter =
          m_env.State.Rollouts.slowAfter(m_service, m_route->Name))
    m_slowTimer.callAfter(*SlowAfter, [Self] {
      const auto *Used = Self->m_env.State.Replicas.find(Self->m_replica);
      if (Used && Self->m_bodyBytes == 0)
        Self->recordWait(Used->Record);
    });
}

void Call::onHead(net::HttpAnswerHead Head) {
  if (m_finished)
    return;
  m_responseTimer.cancel();
  m_answerMetadata = m_env.Headers.readAnswer(Head);
  observeLimit();
  observeDecline();
  m_head = std::move(Head);
  if (!isModelCall() && !m_answerMetadata.NotRun &&
      !m_answerMetadata.ReadAsNotRun)
    countRun();
  // A plain answer is held back until it is complete, so that no event shows
  // its start.
  if (m_placementKey && !isModelCall())
    m_env.ModelPlacement.started(*m_placementKey,
                                 m_env.Clk.now() - m_connection->sentAt(),
                                 m_answerMetadata.RateLimit);
  m_passThrough = routing::isStream(m_route->Kind) && continuesStream();
  m_unframedEvents = m_passThrough && !m_head->Chunked &&
                     !m_head->ContentLength &&
                     m_head->Headers.find("Content-Type")
                         .value_or("")
                         .starts_with("text/event-stream");
  // The answer that continues a stream must break off at an event too, however
  // it is framed.
  m_cutEvents = m_unframedEvents ||
                (m_route->Kind == routing::RequestKind::ResumableStream &&
                 (m_head->Chunked || m_streaming));
}

void Call::countRun() {
  if (std::exchange(m_runCounted, true) || !m_workspace || !m_env.OnRunBegan)
    return;
  m_env.OnRunBegan(*m_workspace);
}

bool Call::continuesStream() const {
  return isSuccess(m_head->Status) && m_answerMetadata.Signed &&
         (!m_streaming ||
          m_head->Headers.find("Content-Type").value_or("") == m_streamType);
}

void Call::observeDecline() {
  if (!m_answerMetadata.Leaving && !m_answerMetadata.PauseFor)
    return;
  routing::Replica *Used = m_env.State.Replicas.find(m_replica);
  if (!Used)
    return;
  const TimePoint Now = m_env.Clk.now();
  const bool Before = Used->declines(Now);
  Used->Leaving = Used->Leaving || m_answerMetadata.Leaving;
  if (m_answerMetadata.PauseFor)
    Used->PausedUntil =
        std::max(Used->PausedUntil, Now + *m_answerMetadata.PauseFor);
  if (!Before && Used->declines(Now))
    m_env.Log.line(
        LogClass::State, "replica.declines",
        {{"service", m_service},
         {"replica", m_replica},
         {"leaving", Used->Leaving ? "yes" : "no"},
         {"pause_ms",
          Used->Leaving ? "" : millisText(Used->PausedUntil - Now)}});
}

void Call::observeLimit() {
  const TimePoint Now = m_env.Clk.now();
  const bool Before = m_env.State.Limits.find(m_replica, Now).has_value();
  m_env.State.Limits.observe(m_service, m_replica, m_answerMetadata.RateLimit,
                             Now);
  const auto Limit = m_env.State.Limits.find(m_replica, Now);
  if (Limit.has_value() != Before)
    m_env.Log.line(LogClass::State,
                   Limit ? "replica.limited" : "replica.unlimited",
                   {{"service", m_service},
                    {"replica", m_replica},
                    {"per_second", Limit ? std::to_string(*Limit) : ""}});
}

void Call::onBody(std::string_view Body) {
  if (m_finished)
    return;
  if (m_bodyBytes == 0)
    m_firstByteAt = m_env.Clk.now();
  m_bodyBytes += Body.size();
  // The prompt of a model request may be given up before its first event.
  if (m_passThrough && isModelCall())
    countRun();
  if (m_passThrough && m_env.Clk.now() - m_firstByteAt >= PaceTime)
    recordPace();
  if (!m_passThrough) {
    m_body.append(Body);
    if (countHeld() && m_body.size() <= MaxHeldAnswerBytes)
      return;
    // Only a success can be passed on before its end is known.
    if (m_streaming || !continuesStream()) {
      attemptFailed(ReplicaOutcome::Failed, "too-long");
      return;
    }
    m_passThrough = true;
  }
  passOn(Body);
  countHeld();
  const std::size_t MaxUnsent =
      std::min(MaxUnsentBytes, m_env.Buffers->allowance());
  if (m_exchange->unsentBytes() > MaxUnsent && m_connection && m_reading) {
    m_reading = false;
    m_connection->pauseReading();
  }
}

void Call::passOn(std::string_view Body) {
  const net::WriteBatch Batch = m_exchange->batch();
  if (!m_streaming)
    beginStream();
  if (m_cutEvents) {
    const std::string CompleteEvents = m_events.put(Body);
    m_exchange->write(CompleteEvents);
    if (!countHeld() && m_events.withinEvent())
      m_exchange->write(m_events.splitEvent());
    m_resumeAfter = m_events.lastId();
  } else if (!m_body.empty()) {
    m_exchange->write(std::exchange(m_body, {}));
  } else {
    m_exchange->write(Body);
  }
}

bool Call::countHeld() {
  std::size_t HeadBytes = 0;
  for (const net::HeaderField &Field : m_head->Headers.all())
    HeadBytes += sizeof(Field) + Field.Name.size() + Field.Value.size();
  return m_held.hold(HeadBytes + m_body.capacity() + m_events.heldBytes());
}

void Call::beginStream() {
  m_streaming = true;
  m_streamType = m_head->Headers.find("Content-Type").value_or("");
  const double FirstByte =
      std::chrono::duration<double>(m_env.Clk.now() - m_exchange->received())
          .count();
  m_env.Metrics.firstByte(FirstByte);
  const Duration Held = m_env.Clk.now() - m_exchange->received();
  if (m_route->FirstByteTarget.count() > 0 && Held > m_route->FirstByteTarget)
    m_env.Log.line(
        LogClass::Request, "request.late",
        {{"request", m_metadata.Id},
         {"route", m_route->Name},
         {"replica", m_replica},
         {"dispatcher", m_env.ModelPlacement.dispatcherOf(m_service)},
         {"target_ms", millisText(m_route->FirstByteTarget)},
         {"first_byte_ms", millisText(Held)},
         {"waited_ms", millisText(m_sentAt - m_exchange->received())},
         {"predicted_ms", millisText(m_predictedFirstToken)},
         {"prompt_tokens", std::to_string(m_metadata.PromptTokens)},
         {"replicas_tried", std::to_string(m_tried.size())}});
  if (m_placementKey)
    m_env.ModelPlacement.started(*m_placementKey,
                                 m_firstByteAt - m_connection->sentAt(),
                                 m_answerMetadata.RateLimit);
  m_exchange->begin(m_head->Status,
                    m_env.Headers.answerHeaders(m_head->Headers),
                    m_head->ContentLength);
}

void Call::onEnd() {
  if (m_finished)
    return;
  const bool Reused = m_connection->reused();
  if (Reused)
    m_env.Pool.recordReuse(false);
  m_env.Crashes.markAlive(m_replica);
  if (m_answerMetadata.NotRun) {
    m_lastError = {.Kind = ErrorKind::QueueFull,
                   .Message = "the replica refused the request",
                   .RetryAfter = DefaultRetryAfter};
    --m_attempts;
    attemptRefused();
    return;
  }
  const int Status = m_head->Status;
  // Forwarded, the status would promise the caller what no replica said.
  if (m_answerMetadata.ReadAsNotRun) {
    attemptFailed(ReplicaOutcome::Failed, "status-" + std::to_string(Status));
    return;
  }
  if (isSuccess(Status) && !m_answerMetadata.Signed) {
    attemptFailed(ReplicaOutcome::Failed, "unsigned");
    return;
  }
  if (Status >= FirstServerError) {
    m_mayHaveRun = true;
    releaseReplica(ReplicaOutcome::Failed);
    if (!retry(true, "status-" + std::to_string(Status)))
      forwardAnswer();
    return;
  }
  if (m_streaming && !continuesStream()) {
    attemptFailed(ReplicaOutcome::Failed, "not-the-stream");
    return;
  }
  if (m_unframedEvents && (m_events.withinEvent() || m_bodyBytes == 0)) {
    attemptFailed(ReplicaOutcome::Failed, "closed-within-event");
    return;
  }
  if (m_streaming) {
    if (m_route->Kind == routing::RequestKind::ResumableStream)
      m_exchange->write(m_events.takePartialEvent());
    m_exchange->finish();
    m_env.Metrics.requestServed(Status);
    releaseReplica(ReplicaOutcome::Served);
    finish();
    return;
  }
  releaseReplica(ReplicaOutcome::Served);
  forwardAnswer();
}

void Call::forwardAnswer() {
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
  if (m_finished)
    return;
  const bool Reused = m_connection->reused();
  if (Failure == ClientFailure::ConnectFailed) {
    --m_attempts;
    m_env.Crashes.markUnreachable(m_replica, m_env.Clk.now());
    releaseReplica(ReplicaOutcome::Unreachable);
    if (m_lastError.Message.empty())
      m_lastError = {ErrorKind::NoEndpoint, "the replica can't be reached"};
    if (m_tried.size() <= MaxUnreachableReplicas && retry(false, "unreachable"))
      return;
    answerError(m_lastError);
    return;
  }
  if (Reused && !m_head)
    m_env.Pool.recordReuse(true);
  probeReplica();
  m_mayHaveRun = true;
  // A reused connection can break without a fault of the replica.
  attemptFailed(Reused && !m_head ? ReplicaOutcome::Abandoned
                                  : ReplicaOutcome::Failed,
                net::toString(Failure));
}

void Call::probeReplica() {
  const TimePoint Now = m_env.Clk.now();
  m_env.Crashes.connectionBroke(m_fingerprint, m_replica, Now);
  const routing::Replica *Broken = m_env.State.Replicas.find(m_replica);
  if (!Broken)
    return;
  // An answer that began long before can't be the cause.
  const bool Suspect = m_placementKey &&
                       (m_firstByteAt == TimePoint{} ||
                        Now - m_firstByteAt < routing::PartCrashes::ProofDelay);
  m_env.Probe.start(
      m_replica, Broken->Record.Address,
      [&Env = m_env, Service = m_service, Suspect,
       Request = routing::CrashedRequest{
           .Key = m_placementKey.value_or(0),
           .Replica = m_replica,
           .Parts = routing::sharedParts(m_metadata.Prompt),
           .SentAt = m_sentAt}] {
        logCrash(Env, Request.Replica,
                 Env.Crashes.markUnreachable(Request.Replica, Env.Clk.now()));
        if (Suspect)
          Env.ModelPlacement.crashed(Service, Request);
      });
}

void Call::attemptRefused() {
  // Another replica has the address, so this one can't be reached. A later
  // request shows whether its entry is right by then.
  releaseReplica(m_answerMetadata.Misdirected ? ReplicaOutcome::Unreachable
                                              : ReplicaOutcome::Refused);
  if (retry(false, "refused"))
    return;
  answerError(m_lastError);
}

void Call::attemptFailed(ReplicaOutcome Outcome, std::string_view Cause) {
  const routing::ReplicaId Replica = m_replica;
  const bool Reused = m_connection && m_connection->reused();
  m_mayHaveRun = true;
  releaseReplica(Outcome);
  if (retry(true, Cause))
    return;
  m_env.Log.line(LogClass::Request, "request.failed",
                 {{"request", m_metadata.Id},
                  {"route", m_route->Name},
                  {"replica", Replica},
                  {"cause", std::string(Cause)},
                  {"streaming", m_streaming ? "yes" : "no"},
                  {"reused_connection", Reused ? "yes" : "no"},
                  {"replicas_tried", std::to_string(m_tried.size())},
                  {"after_ms", millisText(m_env.Clk.now() - m_sentAt)}});
  answerError({ErrorKind::EndpointFailed,
               "the replica's answer failed: " + std::string(Cause)});
}

bool Call::retry(bool MayHaveRun, std::string_view Cause) {
  if (m_finished || remainingTime() < MinTimeForRetry)
    return false;
  if (MayHaveRun && !routing::mayRepeat(m_route->Kind))
    return false;
  if (m_streaming && (m_route->Kind != routing::RequestKind::ResumableStream ||
                      m_resumeAfter.empty()))
    return false;
  if (m_attempts >= m_route->MaxReplicas)
    return false;
  if (m_tried.size() > MaxUnreachableReplicas)
    return false;
  const auto Budget = m_env.Budgets.find(m_service);
  if (Cause != "unreachable" && (Budget == m_env.Budgets.end() ||
                                 !Budget->second.tryRetry(m_env.Clk.now())))
    return false;
  m_env.Metrics.retrySent();
  if (m_streaming)
    m_env.Metrics.streamResumed();
  m_env.Log.line(LogClass::Request, "request.repeated",
                 {{"request", m_metadata.Id},
                  {"route", m_route->Name},
                  {"cause", std::string(Cause)},
                  {"resume_after", m_resumeAfter},
                  {"replicas_tried", std::to_string(m_tried.size())}});
  chooseReplica();
  return true;
}

void Call::answerError(const Error &Failure) {
  if (m_finished)
    return;
  Error Reported = Failure;
  const ErrorAnswer *Row = &answerFor(Reported.Kind);
  // A status that promises "not run" is wrong for a request that may have run.
  if (m_mayHaveRun && Row->State == RunState::NotRun) {
    Reported.Kind = ErrorKind::EndpointFailed;
    Reported.RetryAfter.reset();
    Row = &answerFor(Reported.Kind);
  }
  m_env.Metrics.requestRefused(Reported.Kind);
  if (!m_env.Log.suppress(LogClass::Request))
    m_env.Log.line(
        LogClass::Request, "request.answered",
        {{"request", m_metadata.Id},
         {"error", std::string(Row->Name)},
         {"status", std::to_string(Row->HttpStatus)},
         {"message", Reported.Message},
         {"route", m_route ? m_route->Name : ""},
         {"state_version",
          m_table ? std::to_string(m_table->state().Version) : "0"},
         {"held_ms", millisText(m_env.Clk.now() - m_exchange->received())}});
  if (m_streaming) {
    m_exchange->abort();
    finish();
    return;
  }
  net::HeaderList Headers{{"Content-Type", "text/plain"}};
  const Milliseconds RetryAfter = Reported.RetryAfter.value_or(Row->RetryAfter);
  if (RetryAfter.count() > 0)
    Headers.add("Retry-After", formatSeconds(RetryAfter));
  m_exchange->answer(Row->HttpStatus, std::move(Headers),
                     std::string(Row->Name) + ": " + Reported.Message + "\n");
  finish();
}

void Call::onUnresponsive() {
  if (m_finished || m_head)
    return;
  m_unresponsive = true;
  routing::Replica *Used = m_env.State.Replicas.find(m_replica);
  if (Used && !m_placementKey)
    Used->Health.recordOutcome(ReplicaOutcome::Unresponsive, 0.0,
                               m_env.Clk.now());
  m_env.Log.line(LogClass::Request, "replica.silent",
                 {{"request", m_metadata.Id},
                  {"replica", m_replica},
                  {"after_ms", millisText(m_env.Clk.now() - m_sentAt)}});
  if (!routing::mayRepeat(m_route->Kind) ||
      m_attempts >= m_route->MaxReplicas ||
      m_tried.size() > MaxUnreachableReplicas)
    return;
  const auto Budget = m_env.Budgets.find(m_service);
  if (Budget == m_env.Budgets.end() ||
      !Budget->second.tryRetry(m_env.Clk.now()))
    return;
  m_mayHaveRun = true;
  releaseReplica(ReplicaOutcome::Unresponsive);
  m_env.Metrics.retrySent();
  chooseReplica();
}

void Call::onDeadline() {
  if (m_finished)
    return;
  if (m_connection) {
    m_mayHaveRun = true;
    // The caller of a plain answer that was read without a pause waited for
    // the replica only.
    const bool Unresponsive =
        !m_head || (!routing::isStream(m_route->Kind) && m_reading);
    const routing::ReplicaId Replica = m_replica;
    m_env.Log.line(LogClass::Request, "request.timed_out",
                   {{"request", m_metadata.Id},
                    {"route", m_route->Name},
                    {"replica", Replica},
                    {"answer_begun", m_head ? "yes" : "no"},
                    {"body_bytes", std::to_string(m_bodyBytes)},
                    {"sent_ms_ago", millisText(m_env.Clk.now() - m_sentAt)}});
    releaseReplica(Unresponsive ? ReplicaOutcome::Unresponsive
                                : ReplicaOutcome::Abandoned);
    answerError({ErrorKind::EndpointTimeout,
                 "no complete answer of " + Replica + " before the deadline"});
    return;
  }
  answerError({.Kind = ErrorKind::DeadlineUnreachable,
               .Message = "no replica was free before the deadline",
               .RetryAfter = DefaultRetryAfter});
}

void Call::onCallerDisconnected() {
  if (m_finished)
    return;
  m_env.Metrics.callerDisconnected();
  const bool Unresponsive =
      m_connection && !m_head &&
      m_env.Clk.now() - m_sentAt > AbandonedUnresponsiveAfter;
  m_env.Log.line(
      LogClass::Request, "caller.left",
      {{"request", m_metadata.Id},
       {"replica", m_replica},
       {"answer_begun", m_streaming ? "yes" : "no"},
       {"after_ms", millisText(m_env.Clk.now() - m_exchange->received())}});
  releaseReplica(Unresponsive ? ReplicaOutcome::Unresponsive
                              : ReplicaOutcome::Abandoned);
  finish();
}

void Call::onStopping() {
  if (m_finished)
    return;
  m_mayHaveRun = m_mayHaveRun || m_connection;
  releaseReplica(ReplicaOutcome::Abandoned);
  answerError({ErrorKind::Draining, "this daemon has stopped"});
}

void Call::recordPace() {
  if (m_paceRecorded || m_bodyBytes == 0 || !routing::isStream(m_route->Kind))
    return;
  const TimePoint Now = m_env.Clk.now();
  const Duration Lasted = Now - m_firstByteAt;
  if (Lasted < PaceTime && m_bodyBytes < MinPaceBytes)
    return;
  m_paceRecorded = true;
  const routing::Replica *Used = m_env.State.Replicas.find(m_replica);
  // Each replica is slow just after its start, whatever its version.
  if (!Used || Now < Used->ColdUntil)
    return;
  // Time per 1000 bytes compares as well as the time per event within one
  // route. It is known at another time than the outcome, so it is paired apart.
  m_env.State.Rollouts.recordPace(
      m_service, Used->Record.Version,
      {.Route = m_route->Name,
       .TokenGap = Lasted * 1000 / static_cast<std::int64_t>(m_bodyBytes),
       .CompletedAt = Now,
       .PaceOnly = true});
}

void Call::recordWait(const routing::ReplicaRecord &Replica) {
  const TimePoint Now = m_env.Clk.now();
  m_waitReported = true;
  m_env.State.Rollouts.recordWait(m_service, Replica.Version,
                                  {.Route = m_route->Name,
                                   .FirstToken = Now - m_sentAt,
                                   .CompletedAt = Now});
}

void Call::recordVersionSample(const routing::ReplicaRecord &Replica,
                               ReplicaOutcome Outcome) {
  const bool Failed = Outcome == ReplicaOutcome::Failed ||
                      Outcome == ReplicaOutcome::Unresponsive;
  // The answers that callers leave are the slow ones.
  if (Outcome == ReplicaOutcome::Abandoned && m_bodyBytes == 0 &&
      !m_waitReported && !isModelCall())
    recordWait(Replica);
  if (!Failed && Outcome != ReplicaOutcome::Served)
    return;
  // A request that failed once often fails again for a reason of its own, so
  // its further attempts are no samples of their own.
  if (std::exchange(m_failedBefore, m_failedBefore || Failed))
    return;
  const TimePoint Now = m_env.Clk.now();
  policy::VersionSample Sample{
      .Route = m_route->Name,
      .Failed = Failed,
      // A new engine reads prompts that the old ones have cached, so the time
      // to the first token says nothing about the version.
      .Cold = isModelCall(),
      .FirstToken = m_bodyBytes > 0 ? m_firstByteAt - m_sentAt : Duration{0},
      .CompletedAt = Now,
      .WaitReported = m_waitReported};
  m_env.State.Rollouts.recordOutcome(m_service, Replica.Version,
                                     std::move(Sample));
}

void Call::releaseReplica(ReplicaOutcome Outcome) {
  m_responseTimer.cancel();
  m_slowTimer.cancel();
  if (m_placementKey) {
    m_env.ModelPlacement.ended(*m_placementKey, Outcome,
                               m_answerMetadata.RateLimit);
    m_placementKey.reset();
  }
  if (!m_replica.empty()) {
    if (Outcome == ReplicaOutcome::Served)
      m_env.RunTimes[m_route->Name].record(m_env.Clk.now() - m_sentAt,
                                           m_metadata.OutputTokens);
    if (routing::Replica *Used = m_env.State.Replicas.find(m_replica)) {
      Used->InFlight -= Used->InFlight > 0 ? 1 : 0;
      recordPace();
      recordVersionSample(Used->Record, Outcome);
      if (!isModelCall())
        Used->Health.recordOutcome(
            Outcome, m_env.State.Replicas.othersFailureShare(*Used),
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
  m_finished = true;
  m_deadlineTimer.cancel();
  m_responseTimer.cancel();
  m_slowTimer.cancel();
  m_exchange->OnCallerDisconnected = nullptr;
  m_exchange->OnDrained = nullptr;
  m_exchange->OnStopping = nullptr;
}

} // namespace nutmegdrift::gateway
