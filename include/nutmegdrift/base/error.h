// The closed list of error kinds, the table from kind to answer, and helpers
// for Boost.LEAF results that carry an Error.
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

/// Whether a request ran at an endpoint, as told to its caller.
enum class RunState {
  NotRun,  ///< No byte reached an endpoint, or it confirmed it did not start.
  Ran,     ///< It ran; the result is known.
  Unknown, ///< It may have run; it will not be run again.
};

/// "not-run", "ran" or "unknown".
std::string_view toString(RunState State);

/// Every way in which a request or an operation can fail.
enum class ErrorKind {
  // Shape of the request.
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
  CallerGone,
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

/// The answer that a caller gets for one kind of error.
struct ErrorAnswer {
  ErrorKind Kind;
  std::string_view Name; ///< Stable name in answers, logs and metrics.
  int HttpStatus;
  RunState State;
  std::chrono::milliseconds RetryAfter; ///< Zero: do not retry as it is.

  friend bool operator==(const ErrorAnswer &, const ErrorAnswer &) = default;
};

/// The table from kind to answer.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// The kind with this stable name, if any.
std::optional<ErrorKind> errorKindNamed(std::string_view Name);

/// One failure: its kind and what a person needs to know beyond the kind.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  /// Replaces the table's time to come back when a better one is known.
  std::optional<std::chrono::milliseconds> RetryAfter{};

  friend bool operator==(const Error &, const Error &) = default;
};

template <class T> using Result = boost::leaf::result<T>;

/// Starts a failure. LEAF keeps the Error only while a caller up the stack is
/// inside capture() or handle(); without one the Error is discarded.
inline boost::leaf::error_id fail(ErrorKind Kind, std::string Message) {
  return boost::leaf::new_error(Error{Kind, std::move(Message)});
}

inline boost::leaf::error_id fail(Error Failure) {
  return boost::leaf::new_error(std::move(Failure));
}

/// Runs Try, which returns Result<T>; OnError(const Error &) must return T.
template <class Try, class OnError>
auto handle(Try &&Attempt, OnError &&Recover) {
  return boost::leaf::try_handle_all(
      std::forward<Try>(Attempt),
      [&](const Error &Failure) { return Recover(Failure); },
      [&] {
        return Recover(Error{ErrorKind::Internal, "unspecified error"});
      });
}

/// The Error of Attempt, or nothing if it succeeded.
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

/// A value or an Error, for keeping a result beyond LEAF's scope.
template <class T> struct Expected {
  std::optional<T> Value{};
  Error Failure{};

  explicit operator bool() const { return Value.has_value(); }
  const T &operator*() const { return *Value; }
  T &operator*() { return *Value; }
  const T *operator->() const { return &*Value; }
};

/// Runs Attempt, which returns Result<T>, and keeps its value or its Error.
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
