#include "nutmegdrift/proxy/endpoint_client.h"

#include "nutmegdrift/proxy/endpoint_session.h"
#include "nutmegdrift/proxy/event_stream.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <algorithm>

namespace nutmegdrift::proxy {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// An endpoint that answers with this header and value did not start the
/// request.
constexpr auto RunStateHeader = "X-Run-State";
constexpr auto NotRunValue = "not-run";
/// Tokens charged for a call to a plain service, whose cost is its slot.
constexpr double ServiceCallCost = 1.0;

Poco::Timespan timespan(std::chrono::milliseconds Value) {
  return {std::chrono::duration_cast<std::chrono::microseconds>(Value).count()};
}

/// Time left until the deadline, at most Bound and at least one millisecond.
std::chrono::milliseconds remaining(TimePoint Now, TimePoint Deadline,
                                    std::chrono::milliseconds Bound) {
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - Now);
  return std::clamp(Left, std::chrono::milliseconds(1), Bound);
}

/// RFC 9110, section 15: other numbers are no status of a final answer.
bool isFinalStatus(int Status) {
  constexpr int MaxStatus = 599;
  return Status >= HTTPResponse::HTTP_OK && Status <= MaxStatus;
}

/// The state of one run; its methods throw Poco exceptions.
class Run {
public:
  Run(const Clock &Clk, const EndpointOptions &Options,
      const RequestContext &Request, Slot &Where, ResponseSink &Sink)
      : m_clock(Clk), m_options(Options), m_request(Request), m_slot(Where),
        m_sink(Sink),
        m_session(Where.replica().Address.Host, Where.replica().Address.Port) {}

  Result<void> execute() {
    if (!m_slot.mayStart())
      return fail(ErrorKind::LeaseLost, "lease of " + m_slot.replica().Id +
                                            " ended before the request began");
    BOOST_LEAF_CHECK(send());
    HTTPResponse Response;
    m_session.receiveHead(Response);
    if (!isFinalStatus(Response.getStatus()))
      return fail(ErrorKind::EndpointFailed,
                  m_slot.replica().Id + " answered with " +
                      std::to_string(Response.getStatus()) +
                      ", which is no final status");
    if (Response.get(RunStateHeader, "") == NotRunValue)
      return fail(ErrorKind::EndpointRefused,
                  m_slot.replica().Id + " did not start the request");
    const bool Model = m_request.What.Type == Target::Kind::Model;
    if (Model &&
        Response.getStatus() >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
      return fail(ErrorKind::EndpointFailed,
                  m_slot.replica().Id + " answered with status " +
                      std::to_string(Response.getStatus()));
    if (m_request.Streaming &&
        Response.getContentType().starts_with("text/event-stream"))
      return stream(Response);
    return passWhole(Response);
  }

  [[nodiscard]] bool sent() const { return m_sent; }
  [[nodiscard]] const TokenTimes &times() const { return m_times; }

private:
  Result<void> send() {
    const auto &Address = m_slot.replica().Address;
    m_session.open({Address.Host, Address.Port},
                   timespan(m_options.ConnectTimeout));
    m_session.socket().setSendTimeout(timespan(m_options.ProgressTimeout));
    m_session.socket().setReceiveTimeout(timespan(remaining(
        m_clock.now(), m_request.Deadline, m_options.FirstByteTimeout)));
    HTTPRequest Head = makeHead();
    m_sent = true;
    m_times.Sent = m_clock.now();
    m_session.sendRequest(Head) << m_request.Body << std::flush;
    return {};
  }

  [[nodiscard]] HTTPRequest makeHead() const {
    HTTPRequest Head(m_request.Method, m_request.Path, HTTPRequest::HTTP_1_1);
    // A reused connection that the endpoint has closed meanwhile would leave
    // open whether the request ran, so each request has its own.
    Head.setKeepAlive(false);
    if (!m_request.ContentType.empty())
      Head.setContentType(m_request.ContentType);
    Head.setContentLength64(static_cast<Poco::Int64>(m_request.Body.size()));
    Head.set("X-Request-Id", m_request.Id);
    Head.set("X-Workspace", m_request.Workspace);
    if (m_request.RunTicket)
      Head.set("X-Ticket", toString(*m_request.RunTicket));
    if (!m_request.IdempotencyKey.empty())
      Head.set("Idempotency-Key", m_request.IdempotencyKey);
    return Head;
  }

  Result<void> stream(const HTTPResponse &Response) {
    EventStreamScanner Scanner;
    bool First = true;
    for (auto Part = m_session.readBody(); !Part.empty();
         Part = m_session.readBody()) {
      const auto Before = Scanner.tokens();
      BOOST_LEAF_AUTO(Events, Scanner.feed(Part));
      if (First && !Events.empty()) {
        BOOST_LEAF_CHECK(begin(Response));
        First = false;
      }
      if (Scanner.tokens() > Before) {
        m_slot.charge(static_cast<double>(Scanner.tokens() - Before));
        m_times.note(m_clock.now(), Scanner.tokens());
      }
      if (!Events.empty())
        BOOST_LEAF_CHECK(m_sink.write(Events));
      if (m_clock.now() > m_request.Deadline)
        return fail(ErrorKind::EndpointTimeout, "deadline passed mid-stream");
    }
    if (!Scanner.done())
      return fail(ErrorKind::EndpointTruncated,
                  m_slot.replica().Id + " ended the stream early");
    return m_sink.finish();
  }

  Result<void> begin(const HTTPResponse &Response) {
    m_session.socket().setReceiveTimeout(timespan(m_options.ProgressTimeout));
    return m_sink.begin({.Status = Response.getStatus(),
                         .ContentType = Response.getContentType()});
  }

  Result<void> passWhole(const HTTPResponse &Response) {
    std::string Body;
    for (auto Part = m_session.readBody(); !Part.empty();
         Part = m_session.readBody()) {
      Body.append(Part);
      if (Body.size() > m_options.MaxBufferedAnswer)
        return fail(ErrorKind::AnswerTooLarge,
                    "answer of " + m_slot.replica().Id + " is over " +
                        std::to_string(m_options.MaxBufferedAnswer) + " bytes");
    }
    m_slot.charge(ServiceCallCost);
    // The endpoint is done; a slow caller must not keep its slot.
    m_slot.finish(SlotOutcome::Succeeded);
    BOOST_LEAF_CHECK(m_sink.begin({.Status = Response.getStatus(),
                                   .ContentType = Response.getContentType(),
                                   .Length = Body.size()}));
    if (!Body.empty())
      BOOST_LEAF_CHECK(m_sink.write(Body));
    return m_sink.finish();
  }

  const Clock &m_clock;
  const EndpointOptions &m_options;
  const RequestContext &m_request;
  Slot &m_slot;
  ResponseSink &m_sink;
  EndpointSession m_session;
  TokenTimes m_times{};
  bool m_sent = false; ///< True from before the first byte is written.
};

SlotOutcome outcomeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::CallerDisconnected:
  case ErrorKind::CallerTooSlow:
    return SlotOutcome::Canceled;
  case ErrorKind::EndpointRefused:
  case ErrorKind::LeaseLost:
    return SlotOutcome::Refused;
  case ErrorKind::EndpointTruncated:
    return SlotOutcome::Crashed;
  default:
    return SlotOutcome::Failed;
  }
}

/// Runs and turns Poco exceptions into error kinds.
Result<void> runGuarded(Run &Current, const std::string &Replica) {
  try {
    return Current.execute();
  } catch (const Poco::TimeoutException &Caught) {
    return fail(Current.sent() ? ErrorKind::EndpointTimeout
                               : ErrorKind::EndpointRefused,
                Replica + " was silent: " + Caught.displayText());
  } catch (const Poco::Exception &Caught) {
    return fail(Current.sent() ? ErrorKind::EndpointTruncated
                               : ErrorKind::EndpointRefused,
                Replica + ": " + Caught.displayText());
  }
}

} // namespace

EndpointClient::EndpointClient(const Clock &Clk, EndpointOptions Options,
                               VersionSampler *Sampler)
    : m_clock(Clk), m_options(Options), m_sampler(Sampler) {}

Result<void> EndpointClient::run(const RequestContext &Request, Slot &Where,
                                 ResponseSink &Sink) const {
  Run Current(m_clock, m_options, Request, Where, Sink);
  auto Failure =
      errorOf([&] { return runGuarded(Current, Where.replica().Id); });
  if (m_sampler != nullptr && Current.sent())
    m_sampler->add(Request, Where.replica(), Current.times(), Failure);
  Where.finish(Failure ? outcomeOf(Failure->Kind) : SlotOutcome::Succeeded);
  if (Failure)
    return fail(*Failure);
  return {};
}

} // namespace nutmegdrift::proxy
