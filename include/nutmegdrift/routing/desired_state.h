// The operators' configuration of routes, services, workspaces and limits, and
// the lookups in one immutable version of it.
#ifndef NUTMEGDRIFT_ROUTING_DESIRED_STATE_H
#define NUTMEGDRIFT_ROUTING_DESIRED_STATE_H

#include "nutmegdrift/base/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegdrift::routing {

using Milliseconds = std::chrono::milliseconds;

/// How often a request may run and in which form it is answered.
enum class RequestKind {
  Idempotent,      ///< May run more than once.
  RunOnce,         ///< Runs at most once.
  Stream,          ///< Event stream that runs at most once.
  ResumableStream, ///< Event stream that another replica may continue.
};

/// Whether the kind may run more than once.
constexpr bool mayRepeat(RequestKind Kind) {
  return Kind == RequestKind::Idempotent ||
         Kind == RequestKind::ResumableStream;
}

constexpr bool isStream(RequestKind Kind) {
  return Kind == RequestKind::Stream || Kind == RequestKind::ResumableStream;
}

/// One of the services that share a route's traffic.
struct RouteShare {
  std::string Service;
  double Weight = 1.0;

  friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::RunOnce;
  Milliseconds Timeout{0}; ///< Until the answer is complete; 0: none.
  Milliseconds FirstByteTarget{0};
  std::vector<RouteShare> Shares; ///< Never empty.
  unsigned MaxReplicas = 1; ///< Replicas to which one request may be sent.
  bool AllowAnonymous = false;

  friend bool operator==(const Route &, const Route &) = default;
};

/// Capacity of a service's model engines.
struct EngineTraits {
  unsigned Slots = 1;         ///< Requests that run at once.
  std::uint64_t KvTokens = 0; ///< Memory for prompt and output tokens.
  /// Time to fetch 1000 prompt tokens from another engine's memory; 0: engines
  /// can't fetch.
  Duration FetchPerThousand{0};

  friend bool operator==(const EngineTraits &, const EngineTraits &) = default;
};

/// Bounds of the number of replicas that the fleet may order.
struct ScalingBounds {
  unsigned Minimum = 1;    ///< In each zone.
  unsigned Maximum = 1;    ///< In each zone.
  Milliseconds Startup{0}; ///< Until a new replica serves.

  friend bool operator==(const ScalingBounds &,
                         const ScalingBounds &) = default;
};

struct Service {
  std::string Name;
  std::string HealthPath;
  unsigned ConnectionLimit = 0; ///< Per replica, over all callers; 0: unknown.
  /// Requests per second that a cold replica can serve; 0: no limit.
  double ColdPerSecond = 0.0;
  std::optional<EngineTraits> Engine; ///< Absent: a plain service.
  /// Absent: the number of replicas is not the fleet's to decide.
  std::optional<ScalingBounds> Scaling{};

  friend bool operator==(const Service &, const Service &) = default;
};

/// Limits on callers' connections and requests.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
  Milliseconds HeaderTimeout{3000};
  Milliseconds IdleTimeout{15000};
  double TokensPerSecond = 0.0; ///< Sum over all replicas; 0: unknown.

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

struct Workspace {
  std::string Name;
  std::vector<std::string> Keys;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

struct DesiredState {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  /// Absent: requests carry no keys. Empty: no key is valid.
  std::optional<std::vector<Workspace>> Workspaces;
  CallerLimits Limits;

  friend bool operator==(const DesiredState &, const DesiredState &) = default;
};

/// Lookups in one version of the desired state.
class RoutingTable {
public:
  explicit RoutingTable(DesiredState State);
  RoutingTable(const RoutingTable &) = delete;
  RoutingTable &operator=(const RoutingTable &) = delete;

  [[nodiscard]] const DesiredState &state() const { return m_state; }
  /// The host's route with the longest matching path prefix; null if there is
  /// none. The port and case of Host are ignored. Target may include a query.
  [[nodiscard]] const Route *match(std::string_view Host,
                                   std::string_view Target) const;
  [[nodiscard]] const Service *service(std::string_view Name) const;
  /// The workspace that the key belongs to; null if it is unknown.
  [[nodiscard]] const std::string *workspaceOf(const std::string &Key) const;
  [[nodiscard]] bool keysRequired() const {
    return m_state.Workspaces.has_value();
  }
  /// Picks a service of the route by weight; Draw is uniform in [0, 1).
  [[nodiscard]] static const std::string &pickService(const Route &MatchedRoute,
                                                      double Draw);

private:
  const DesiredState m_state;
  /// Routes by host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
  std::unordered_map<std::string, const std::string *> m_workspaceByKey;
};

} // namespace nutmegdrift::routing

#endif
