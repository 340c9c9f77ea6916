#include "nutmegdrift/proxy/run_once_filter.h"

namespace nutmegdrift::proxy {

namespace {

/// Passes an answer on and keeps a copy for resends of its ticket. A caller
/// that goes away does not end the run: its resend gets the kept answer.
class RecordingSink final : public ResponseSink {
public:
  explicit RecordingSink(ResponseSink &To) : m_to(To) {}

  Result<void> begin(const ResponseHead &Head) override {
    m_answer.Status = static_cast<std::uint32_t>(Head.Status);
    m_answer.ContentType = Head.ContentType;
    m_started = true;
    return pass([&] { return m_to.begin(Head); });
  }
  Result<void> write(std::string_view Bytes) override {
    m_answer.Body.append(Bytes);
    return pass([&] { return m_to.write(Bytes); });
  }
  Result<void> finish() override {
    return pass([&] { return m_to.finish(); });
  }
  void abort(const Error &Failure) override { m_to.abort(Failure); }
  [[nodiscard]] bool started() const override { return m_started; }

  /// The answer so far; complete once the chain has returned.
  wire::StoredAnswer take() { return std::move(m_answer); }
  [[nodiscard]] const std::optional<Error> &callerLoss() const {
    return m_callerLoss;
  }

private:
  template <class Call> Result<void> pass(Call &&Send) {
    if (!m_callerLoss)
      m_callerLoss = errorOf(std::forward<Call>(Send));
    return {};
  }

  ResponseSink &m_to;
  wire::StoredAnswer m_answer;
  std::optional<Error> m_callerLoss;
  bool m_started = false;
};

Result<void> replay(const wire::StoredAnswer &Answer, ResponseSink &Sink) {
  if (Answer.Failure)
    return fail(ErrorKind::TicketOutcomeUnknown,
                "the request ended earlier with " +
                    std::string(answerFor(*Answer.Failure).Name));
  BOOST_LEAF_CHECK(Sink.begin({.Status = static_cast<int>(Answer.Status),
                               .ContentType = Answer.ContentType,
                               .Length = Answer.Body.size(),
                               .Extra = {{"X-Replayed", "true"}}}));
  BOOST_LEAF_CHECK(Sink.write(Answer.Body));
  return Sink.finish();
}

bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

} // namespace

std::uint64_t requestFingerprint(const RequestContext &Request) {
  auto Hash = hashText(Request.Workspace);
  for (const auto &Part :
       {toString(Request.What), Request.Method, Request.Path})
    Hash = hashText(Part, Hash);
  return hashText(Request.Body, Hash);
}

TicketDesk::TicketDesk(DaemonName Self, BootId Boot, const Clock &Clk,
                       policy::TicketTableOptions Options)
    : m_clock(Clk), m_table(std::move(Self), Boot, Clk, Options) {}

Result<wire::TicketRange> TicketDesk::grant(std::uint64_t Count) {
  const std::scoped_lock Lock(m_mutex);
  return m_table.grant(Count);
}

bool TicketDesk::answersFor(const Ticket &Value) const {
  const std::scoped_lock Lock(m_mutex);
  return m_table.answersFor(Value.Home, Value.Boot);
}

Result<policy::TicketStart> TicketDesk::start(const Ticket &Value,
                                              std::uint64_t Fingerprint,
                                              TimePoint Deadline) {
  std::unique_lock Lock(m_mutex);
  for (;;) {
    BOOST_LEAF_AUTO(Start, m_table.start(Value, Fingerprint));
    if (Start.Decision != policy::TicketDecision::Join)
      return Start;
    if (m_clock.now() >= Deadline)
      return fail(ErrorKind::TicketOutcomeUnknown,
                  "the request still runs at the deadline of this resend");
    m_changed.wait_until(Lock, Deadline);
  }
}

void TicketDesk::finish(const Ticket &Value, wire::StoredAnswer Answer) {
  const std::scoped_lock Lock(m_mutex);
  m_table.finish(Value, std::move(Answer));
  m_changed.notify_all();
}

void TicketDesk::release(const Ticket &Value) {
  const std::scoped_lock Lock(m_mutex);
  m_table.release(Value);
  m_changed.notify_all();
}

std::vector<wire::TicketTableHandover>
TicketDesk::exportTo(const DaemonName &Successor, BootId SuccessorBoot) {
  const std::scoped_lock Lock(m_mutex);
  return m_table.exportTo(Successor, SuccessorBoot);
}

Result<wire::TicketHandoverAck>
TicketDesk::import(const wire::TicketTableHandover &Part) {
  const std::scoped_lock Lock(m_mutex);
  return m_table.import(Part);
}

std::uint64_t TicketDesk::size() const {
  const std::scoped_lock Lock(m_mutex);
  return m_table.size();
}

RunOnceFilter::RunOnceFilter(const Clock &Clk, EventLog &Log,
                             TicketDesk &Tickets, KeyRecorder &Keys,
                             TicketForwarder &Homes, RunOnceHooks Hooks)
    : m_clock(Clk), m_log(Log), m_tickets(Tickets), m_keys(Keys),
      m_homes(Homes), m_hooks(std::move(Hooks)) {}

bool RunOnceFilter::needsRecord(const RequestContext &Request) const {
  return Request.What.Type == Target::Kind::Service &&
         !isSafeMethod(Request.Method) && !m_hooks.Repeatable(Request.What);
}

Result<void> RunOnceFilter::handle(Exchange &Current, const Next &Rest) {
  const auto &Request = Current.Request;
  // A relayed request was admitted by its home, or its key was recorded by the
  // daemon that relayed it.
  if (Request.Relayed && !Request.AtHome)
    return Rest(Current);
  if (Request.RunTicket)
    return runTicket(Current, Rest);
  if (!Request.IdempotencyKey.empty()) {
    BOOST_LEAF_CHECK(m_keys.record(Request.Workspace, Request.IdempotencyKey));
    return Rest(Current);
  }
  if (needsRecord(Request))
    return fail(ErrorKind::TicketRequired,
                "this call may not be repeated; send X-Ticket or "
                "Idempotency-Key");
  return Rest(Current);
}

Result<void> RunOnceFilter::runTicket(Exchange &Current, const Next &Rest) {
  const auto &Request = Current.Request;
  if (!m_tickets.answersFor(*Request.RunTicket) && !Request.AtHome)
    return m_homes.forward(Request, Current.Sink);
  BOOST_LEAF_AUTO(Start, m_tickets.start(*Request.RunTicket,
                                         requestFingerprint(Request),
                                         Request.Deadline));
  if (Start.Decision == policy::TicketDecision::Replay) {
    m_log.event("ticket.replayed", {{"request", Request.Id},
                                    {"workspace", Request.Workspace},
                                    {"ticket", toString(*Request.RunTicket)}});
    return replay(Start.Answer, Current.Sink);
  }
  m_log.event("ticket.started", {{"request", Request.Id},
                                 {"workspace", Request.Workspace},
                                 {"ticket", toString(*Request.RunTicket)}});
  return runStarted(Current, Rest);
}

Result<void> RunOnceFilter::runStarted(Exchange &Current, const Next &Rest) {
  const auto Grant = *Current.Request.RunTicket;
  RecordingSink Sink(Current.Sink);
  Exchange Inner{Current.Request, Sink, Current.Config};
  const auto Failure = errorOf([&] { return Rest(Inner); });
  if (!Failure) {
    m_tickets.finish(Grant, Sink.take());
    if (Sink.callerLoss())
      return fail(*Sink.callerLoss());
    return {};
  }
  if (answerFor(Failure->Kind).State == RunState::NotRun && !Sink.started())
    m_tickets.release(Grant);
  else
    m_tickets.finish(Grant, {.Failure = Failure->Kind});
  return fail(*Failure);
}

} // namespace nutmegdrift::proxy
