#include "nutmegdrift/base/error.h"

#include <algorithm>
#include <array>

namespace nutmegdrift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Never{0};
constexpr milliseconds Soon{200};
constexpr milliseconds Later{1000};
constexpr milliseconds MuchLater{30000};

using enum ErrorKind;
using enum RunState;

/// One row per kind, in the order of ErrorKind.
constexpr std::array<ErrorAnswer, ErrorKindCount> Answers{{
    {MalformedRequest, "malformed-request", 400, NotRun, Never},
    {BodyTooLarge, "body-too-large", 413, NotRun, Never},
    {HeaderTooLarge, "header-too-large", 431, NotRun, Never},
    {UnknownWorkspace, "unknown-workspace", 403, NotRun, Never},
    {UnknownKey, "unknown-key", 401, NotRun, Never},
    {UnknownTarget, "unknown-target", 404, NotRun, Never},
    {AccessDenied, "access-denied", 403, NotRun, Never},
    {DeadlinePassed, "deadline-passed", 504, NotRun, Never},
    {TicketRequired, "ticket-required", 428, NotRun, Never},
    {TicketInvalid, "ticket-invalid", 400, NotRun, Never},
    {TicketOutcomeUnknown, "ticket-outcome-unknown", 409, Unknown, Never},
    {TicketTableFull, "ticket-table-full", 503, NotRun, Later},
    {KeyOutcomeUnknown, "key-outcome-unknown", 409, Unknown, Never},
    {KeyStoreUnavailable, "key-store-unavailable", 503, NotRun, Later},
    {HomeUnreachable, "home-unreachable", 409, Unknown, Never},
    {QueueFull, "queue-full", 429, NotRun, Later},
    {DeadlineUnreachable, "deadline-unreachable", 503, NotRun, Later},
    {NoEndpoint, "no-endpoint", 503, NotRun, Later},
    {Draining, "draining", 503, NotRun, Soon},
    {NotReady, "not-ready", 503, NotRun, Later},
    {SuspectedCrash, "suspected-crash", 422, NotRun, MuchLater},
    {RetryBudgetSpent, "retry-budget-spent", 503, NotRun, Later},
    {EndpointRefused, "endpoint-refused", 502, NotRun, Soon},
    {EndpointFailed, "endpoint-failed", 502, Unknown, Never},
    {EndpointTimeout, "endpoint-timeout", 504, Unknown, Never},
    {EndpointTruncated, "endpoint-truncated", 502, Unknown, Never},
    {AnswerTooLarge, "answer-too-large", 502, Ran, Never},
    {RelayRefused, "relay-refused", 503, NotRun, Soon},
    {RelayLost, "relay-lost", 502, Unknown, Never},
    {CallerDisconnected, "caller-gone", 499, Unknown, Never},
    {CallerTooSlow, "caller-too-slow", 408, Unknown, Never},
    {Conflict, "conflict", 409, NotRun, Soon},
    {NotFound, "not-found", 404, NotRun, Never},
    {InvalidDocument, "invalid-document", 422, NotRun, Never},
    {PlatformUnavailable, "platform-unavailable", 503, NotRun, Later},
    {PlatformOutcomeUnknown, "platform-outcome-unknown", 503, Unknown, Later},
    {LeaseLost, "lease-lost", 503, NotRun, Soon},
    {BadFrame, "bad-frame", 400, NotRun, Never},
    {PeerUnreachable, "peer-unreachable", 503, NotRun, Soon},
    {InvalidSettings, "invalid-settings", 500, NotRun, Never},
    {Internal, "internal", 500, Unknown, Never},
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
