// A request on its way through the filter chain, and where its answer goes.
#ifndef NUTMEGDRIFT_PROXY_REQUEST_H
#define NUTMEGDRIFT_PROXY_REQUEST_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegdrift::proxy {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// One request as identified at its entry. Only the dispatch filter changes
/// it, between tries.
struct RequestContext {
  std::string Id; ///< Unique over the fleet; in every answer and frame.
  std::string Workspace;
  Target What;
  std::string Method;
  std::string Path; ///< Path and query at the endpoint.
  std::string ContentType;
  std::string Body;
  std::optional<Ticket> RunTicket{};
  std::string IdempotencyKey{};     ///< Empty if the caller sent none.
  std::optional<double> CostHint{}; ///< Tokens; off by up to ten times.
  TimePoint Deadline{};
  std::string Plan{};           ///< Of the workspace; names the route.
  std::uint64_t PrefixHash = 0; ///< Of the prompt's start; 0 without one.
  /// Slot that another owner holds for this request; 0 without one.
  std::uint64_t Offer = 0;
  /// Replicas on which an earlier try failed.
  std::vector<std::string> FailedOn{};
  bool Streaming = false; ///< The answer is a stream of server-sent events.
  bool Relayed = false;   ///< Came from another daemon; not relayed again.
  bool AtHome = false;    ///< Forwarded here as the home of its ticket.
  /// True once the caller has closed its connection; empty if not known.
  std::function<bool()> CallerGone{};

  /// Runs at most once: it is never sent to an endpoint a second time.
  [[nodiscard]] bool runsAtMostOnce() const {
    return RunTicket.has_value() || !IdempotencyKey.empty();
  }
};

/// Status line and headers of an answer.
struct ResponseHead {
  int Status = 200;
  std::string ContentType;
  /// Bytes of the body; absent for a stream.
  std::optional<std::size_t> Length{};
  Headers Extra{};

  friend bool operator==(const ResponseHead &, const ResponseHead &) = default;
};

/// Receives one answer. Calls come in the order begin, write..., finish.
/// Errors: CallerDisconnected, CallerTooSlow.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;
  virtual Result<void> begin(const ResponseHead &Head) = 0;
  virtual Result<void> write(std::string_view Bytes) = 0;
  virtual Result<void> finish() = 0;
  /// Ends the answer with an error: a refusal if nothing was sent yet,
  /// otherwise an error event and a body that the caller sees as cut.
  virtual void abort(const Error &Failure) = 0;
  /// True once begin was called; from then on the request is not retried.
  [[nodiscard]] virtual bool started() const = 0;
};

} // namespace nutmegdrift::proxy

#endif
