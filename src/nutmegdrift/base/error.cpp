// The table of error answers.
#include "nutmegdrift/base/error.h"

#include <algorithm>
#include <array>

namespace nutmegdrift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds NoRetry{0};
constexpr milliseconds ShortDelay{200};
constexpr milliseconds MediumDelay{1000};
constexpr milliseconds LongDelay{30000};

using enum ErrorKind;
using enum RunState;

/// One row per kind, in the order of ErrorKind.
constexpr std::array<ErrorAnswer, ErrorKindCount> Answers{{
    {MalformedRequest, "malformed-request", 400, NotRun, NoRetry},
    {BodyTooLarge, "body-too-large", 413, NotRun, NoRetry},
    {HeaderTooLarge, "header-too-large", 431, NotRun, NoRetry},
    {UnknownWorkspace, "unknown-workspace", 403, NotRun, NoRetry},
    {UnknownKey, "unknown-key", 401, NotRun, NoRetry},
    {UnknownTarget, "unknown-target", 404, NotRun, NoRetry},
    {AccessDenied, "access-denied", 403, NotRun, NoRetry},
    {DeadlinePassed, "deadline-passed", 504, NotRun, NoRetry},
    {TicketRequired, "ticket-required", 428, NotRun, NoRetry},
    {TicketInvalid, "ticket-invalid", 400, NotRun, NoRetry},
    {TicketOutcomeUnknown, "ticket-outcome-unknown", 409, Unknown, NoRetry},
    {TicketTableFull, "ticket-table-full", 503, NotRun, MediumDelay},
    {KeyOutcomeUnknown, "key-outcome-unknown", 409, Unknown, NoRetry},
    {KeyStoreUnavailable, "key-store-unavailable", 503, NotRun, MediumDelay},
    {HomeUnreachable, "home-unreachable", 409, Unknown, NoRetry},
    {QueueFull, "queue-full", 429, NotRun, MediumDelay},
    {DeadlineUnreachable, "deadline-unreachable", 503, NotRun, MediumDelay},
    {NoEndpoint, "no-endpoint", 503, NotRun, MediumDelay},
    {Draining, "draining", 503, NotRun, ShortDelay},
    {NotReady, "not-ready", 503, NotRun, MediumDelay},
    {SuspectedCrash, "suspected-crash", 422, NotRun, LongDelay},
    {RetryBudgetSpent, "retry-budget-spent", 503, NotRun, MediumDelay},
    {EndpointRefused, "endpoint-refused", 502, NotRun, ShortDelay},
    {EndpointFailed, "endpoint-failed", 502, Unknown, NoRetry},
    {EndpointTimeout, "endpoint-timeout", 504, Unknown, NoRetry},
    {EndpointTruncated, "endpoint-truncated", 502, Unknown, NoRetry},
    {AnswerTooLarge, "answer-too-large", 502, Ran, NoRetry},
    {RelayRefused, "relay-refused", 503, NotRun, ShortDelay},
    {RelayLost, "relay-lost", 502, Unknown, NoRetry},
    {CallerDisconnected, "caller-gone", 499, Unknown, NoRetry},
    {CallerTooSlow, "caller-too-slow", 408, Unknown, NoRetry},
    {Conflict, "conflict", 409, NotRun, ShortDelay},
    {NotFound, "not-found", 404, NotRun, NoRetry},
    {InvalidDocument, "invalid-document", 422, NotRun, NoRetry},
    {PlatformUnavailable, "platform-unavailable", 503, NotRun, MediumDelay},
    {PlatformOutcomeUnknown, "platform-outcome-unknown", 503, Unknown,
     MediumDelay},
    {LeaseLost, "lease-lost", 503, NotRun, ShortDelay},
    {BadFrame, "bad-frame", 400, NotRun, NoRetry},
    {PeerUnreachable, "peer-unreachable", 503, NotRun, ShortDelay},
    {InvalidSettings, "invalid-settings", 500, NotRun, NoRetry},
    {Internal, "internal", 500, Unknown, NoRetry},
}};

constexpr bool rowsInOrder() {
  for (std::size_t Row = 0; Row < Answers.size(); ++Row)
    if (static_cast<std::size_t>(Answers[Row].Kind) != Row)
      return false;
  return true;
}
static_assert(rowsInOrder(), "the table must have one row per kind, in order");

} // namespace

std::string_view toString(RunState State) {
  switch (State) {
  case NotRun:
    return "not-run";
  case Ran:
    return "ran";
  case Unknown:
    break;
  }
  return "unknown";
}

const ErrorAnswer &answerFor(ErrorKind Kind) {
  return Answers.at(static_cast<std::size_t>(Kind));
}

std::optional<ErrorKind> parseErrorKind(std::string_view Name) {
  const auto *Row = std::find_if(
      Answers.begin(), Answers.end(),
      [&](const ErrorAnswer &Answer) { return Answer.Name == Name; });
  if (Row == Answers.end())
    return std::nullopt;
  return Row->Kind;
}

} // namespace nutmegdrift
