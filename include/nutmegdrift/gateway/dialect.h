// Metadata of requests and answers, independent of the header names of a
// deployment.
#ifndef NUTMEGDRIFT_GATEWAY_DIALECT_H
#define NUTMEGDRIFT_GATEWAY_DIALECT_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/net/http_message.h"
#include "nutmegdrift/routing/engine_estimate.h"
#include "nutmegdrift/routing/replica_table.h"

namespace nutmegdrift::gateway {

using routing::Milliseconds;

/// Metadata from the headers of a caller's request.
struct RequestMetadata {
  std::string Id; ///< Unique for each attempt of the caller.
  std::optional<Milliseconds> Deadline; ///< How long the caller waits.
  std::string Key; ///< The caller's API key; empty if it sent none.
  std::vector<routing::PromptPart> Prompt;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; ///< Expected.

  friend bool operator==(const RequestMetadata &,
                         const RequestMetadata &) = default;
};

/// Metadata that the gateway adds when it forwards a request to a replica.
struct ForwardMetadata {
  routing::ReplicaId Replica;
  std::optional<Milliseconds> Deadline;
  const std::string *Workspace = nullptr; ///< Null: no keys in force.
  /// Id of the last event before a resumed stream; empty: as the caller sent
  /// it.
  std::string ResumeAfter;
  /// An engine from which cached prompt parts can be fetched.
  std::optional<HostPort> FetchFrom;
};

/// Metadata from the head of a replica's answer.
struct AnswerMetadata {
  std::string Id;      ///< Of the request that it answers.
  bool NotRun = false; ///< The replica did not run the request.
  /// The address belongs to another replica than the request was sent to.
  bool Misdirected = false;
  /// Callers read the status as a promise that the request did not run, whether
  /// or not the replica says so.
  bool ReadAsNotRun = false;
  bool Signed = false; ///< Has the replica's signature.
  /// Requests per second that the replica accepts from all callers together;
  /// none: it named no limit.
  std::optional<double> RateLimit{};
  /// The replica is about to end and wants no more requests.
  bool Leaving = false;
  /// The replica refused and wants no requests from this daemon for so long.
  std::optional<Milliseconds> PauseFor{};

  friend bool operator==(const AnswerMetadata &,
                         const AnswerMetadata &) = default;
};

/// Translates between headers of one deployment and their metadata.
class Dialect {
public:
  virtual ~Dialect() = default;

  /// Fails with MalformedRequest if a field can't be read.
  [[nodiscard]] virtual Result<RequestMetadata>
  readRequest(const net::HeaderList &Headers) const = 0;
  /// End-to-end headers for a replica; fields that only the fleet may set are
  /// replaced.
  [[nodiscard]] virtual net::HeaderList
  forward(const net::HeaderList &Received,
          const ForwardMetadata &Facts) const = 0;
  [[nodiscard]] virtual AnswerMetadata
  readAnswer(const net::HttpAnswerHead &Head) const = 0;
  /// End-to-end headers of a replica's answer for the caller.
  [[nodiscard]] virtual net::HeaderList
  answerHeaders(const net::HeaderList &Received) const = 0;

  /// The path, without a query, of the directory of addresses for callers.
  [[nodiscard]] virtual std::string_view directoryPath() const = 0;
  /// The body of a directory answer, as application/json.
  [[nodiscard]] virtual std::string
  directoryBody(const std::vector<HostPort> &Addresses,
                std::chrono::seconds Ttl) const = 0;
  [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

} // namespace nutmegdrift::gateway

#endif
