// The error kinds, the answer that callers get for each, and helpers for
// Boost.LEAF results with an Error.
#ifndef NUTMEGDRIFT_BASE_ERROR_H
#define NUTMEGDRIFT_BASE_ERROR_H

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegdrift {

/// Whether a request ran at an endpoint, as reported to its caller.
enum class RunState {
  /// No byte reached an endpoint, or the endpoint confirmed that it did not
  /// start the request.
  NotRun,
  Ran,     ///< It ran; the result is known.
  Unknown, ///< It may have run; it will not be run again.
};

/// "not-run", "ran" or "unknown".
std::string_view toString(RunState State);

/// Every way in which a request or an operation can fail.
enum class ErrorKind {
  // Invalid requests.
  MalformedRequest,
  BodyTooLarge,
  HeaderTooLarge,
  UnknownWorkspace,
  UnknownKey,
  UnknownTarget,
  AccessDenied,
  DeadlinePassed,
  TicketRequired,
  // At-most-once execution.
  TicketInvalid,
  TicketOutcomeUnknown,
  TicketTableFull,
  KeyOutcomeUnknown,
  KeyStoreUnavailable,
  HomeUnreachable,
  // Admission.
  QueueFull,
  DeadlineUnreachable,
  NoEndpoint,
  Draining,
  NotReady,
  SuspectedCrash,
  RetryBudgetSpent,
  // Execution.
  EndpointRefused,
  EndpointFailed,
  EndpointTimeout,
  EndpointTruncated,
  AnswerTooLarge,
  RelayRefused,
  RelayLost,
  CallerDisconnected,
  CallerTooSlow,
  // Platform and operators.
  Conflict,
  NotFound,
  InvalidDocument,
  PlatformUnavailable,
  PlatformOutcomeUnknown,
  LeaseLost,
  // Between daemons.
  BadFrame,
  PeerUnreachable,
  // Start.
  InvalidSettings,
  Internal,
};

/// Number of entries in ErrorKind.
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// The answer that a caller gets for an error kind.
struct ErrorAnswer {
  ErrorKind Kind;
  std::string_view Name; ///< Stable name in answers, logs and metrics.
  int HttpStatus;
  RunState State;
  std::chrono::milliseconds RetryAfter; ///< Zero: do not retry unchanged.

  friend bool operator==(const ErrorAnswer &, const ErrorAnswer &) = default;
};

/// The answer for an error kind.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// The kind with this ErrorAnswer::Name, if any.
std::optional<ErrorKind> parseErrorKind(std::string_view Name);

/// A failure: its kind and a message with further details.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  /// Overrides ErrorAnswer::RetryAfter.
  std::optional<std::chrono::milliseconds> RetryAfter{};

  friend bool operator==(const Error &, const Error &) = default;
};

template <class T> using Result = boost::leaf::result<T>;

/// Returns a new failure. LEAF keeps the Error only while a function up the
/// call stack is inside capture() or handle(); otherwise it is discarded.
inline boost::leaf::error_id fail(ErrorKind Kind, std::string Message) {
  return boost::leaf::new_error(Error{Kind, std::move(Message)});
}

inline boost::leaf::error_id fail(Error Failure) {
  return boost::leaf::new_error(std::move(Failure));
}

/// Runs Attempt, which returns Result<T>. On failure, returns the result of
/// Recover(const Error &), which must be a T.
template <class Try, class OnError>
auto handle(Try &&Attempt, OnError &&Recover) {
  return boost::leaf::try_handle_all(
      std::forward<Try>(Attempt),
      [&](const Error &Failure) { return Recover(Failure); },
      [&] {
        return Recover(Error{ErrorKind::Internal, "unspecified error"});
      });
}

/// Runs Attempt and returns its Error, or nothing if it succeeded.
///
/// \code
///   if (auto Failure = errorOf([&] { return Store.put(Name, Text); }))
///     Log.event("platform.write_failed", {{"error", Failure->Message}});
/// \endcode
template <class Try> std::optional<Error> errorOf(Try &&Attempt) {
  return handle(
      [&]() -> Result<std::optional<Error>> {
        auto Outcome = Attempt();
        if (!Outcome)
          return Outcome.error();
        return std::optional<Error>{};
      },
      [](const Error &Failure) { return std::optional<Error>(Failure); });
}

/// A value or an Error that is valid outside of LEAF's handling scopes.
template <class T> struct Expected {
  std::optional<T> Value{};
  Error Failure{};

  explicit operator bool() const { return Value.has_value(); }
  const T &operator*() const { return *Value; }
  T &operator*() { return *Value; }
  const T *operator->() const { return &*Value; }
};

/// Runs Attempt, which returns Result<T>, and returns its value or its Error.
template <class Try> auto capture(Try &&Attempt) {
  using T = std::decay_t<decltype(Attempt().value())>;
  return handle(
      [&]() -> Result<Expected<T>> {
        auto Outcome = Attempt();
        if (!Outcome)
          return Outcome.error();
        return Expected<T>{.Value = std::move(Outcome.value())};
      },
      [](const Error &Failure) { return Expected<T>{.Failure = Failure}; });
}

} // namespace nutmegdrift

#endif
