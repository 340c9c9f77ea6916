// Measures requests by route and version while a version is rolled out.
#ifndef NUTMEGDRIFT_PROXY_VERSION_SAMPLER_H
#define NUTMEGDRIFT_PROXY_VERSION_SAMPLER_H

#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/policy/version_judge.h"
#include "nutmegdrift/proxy/request.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::proxy {

/// Times of the tokens of one answer.
struct TokenTimes {
  TimePoint Sent{};
  TimePoint First{};
  TimePoint Last{};
  std::size_t Tokens = 0;

  void note(TimePoint Now, std::size_t Seen) {
    if (Tokens == 0)
      First = Now;
    Last = Now;
    Tokens = Seen;
  }

  friend bool operator==(const TokenTimes &, const TokenTimes &) = default;
};

/// What was measured at one target since the last take().
struct SampleBatch {
  std::map<std::string, std::uint64_t> Dispatches; ///< By plan.
  std::vector<policy::VersionSample> Samples;

  friend bool operator==(const SampleBatch &, const SampleBatch &) = default;
};

/// Thread-safe. Measures only targets that are watched.
class VersionSampler {
public:
  /// Samples kept per target, route and version between two take().
  static constexpr std::size_t MaxSamples = 64;
  /// The first answers of a replica after a load come with cold caches.
  static constexpr std::size_t ColdRequests = 50;

  explicit VersionSampler(const Clock &Clk) : m_clock(Clk) {}

  /// Targets under rollout, with the new version of each.
  void watch(std::map<Target, std::string> Fresh);
  /// Notes a request that was sent to a replica. Ends that tell nothing about
  /// the replica, such as a caller that went away, count only as dispatches.
  void add(const RequestContext &Request, const config::Replica &At,
           const TokenTimes &Times, const std::optional<Error> &Failure);
  SampleBatch take(const Target &What);

private:
  struct Served {
    std::string Version;
    std::size_t Requests = 0;
  };

  bool countCold(const config::Replica &At);

  const Clock &m_clock;
  std::mutex m_mutex; ///< Guards all below.
  std::map<Target, std::string> m_fresh;
  std::map<Target, SampleBatch> m_batches;
  std::map<Target, std::map<std::pair<std::string, bool>, std::size_t>> m_kept;
  std::map<config::ReplicaId, Served> m_served;
};

} // namespace nutmegdrift::proxy

#endif
