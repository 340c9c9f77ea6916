#include "nutmegdrift/proxy/version_sampler.h"

#include <utility>

namespace nutmegdrift::proxy {

namespace {

bool blamesReplica(ErrorKind Kind) {
  return Kind == ErrorKind::EndpointFailed ||
         Kind == ErrorKind::EndpointTimeout ||
         Kind == ErrorKind::EndpointTruncated;
}

Duration tokenGap(const TokenTimes &Times) {
  if (Times.Tokens < 2)
    return Duration(0);
  return (Times.Last - Times.First) /
         static_cast<Duration::rep>(Times.Tokens - 1);
}

} // namespace

void VersionSampler::watch(std::map<Target, std::string> Fresh) {
  const std::scoped_lock Lock(m_mutex);
  m_fresh = std::move(Fresh);
  const auto Ended = [&](const auto &One) {
    return !m_fresh.contains(One.first);
  };
  std::erase_if(m_batches, Ended);
  std::erase_if(m_kept, Ended);
  if (m_fresh.empty())
    m_served.clear();
}

bool VersionSampler::countCold(const config::Replica &At) {
  auto &Seen = m_served[At.Id];
  if (Seen.Version != At.Version)
    Seen = {.Version = At.Version};
  return ++Seen.Requests <= ColdRequests;
}

void VersionSampler::add(const RequestContext &Request,
                         const config::Replica &At, const TokenTimes &Times,
                         const std::optional<Error> &Failure) {
  const std::scoped_lock Lock(m_mutex);
  const auto Watched = m_fresh.find(Request.What);
  if (Watched == m_fresh.end())
    return;
  auto &Batch = m_batches[Request.What];
  ++Batch.Dispatches[Request.Plan];
  const bool Cold = countCold(At);
  const bool Failed = Failure && blamesReplica(Failure->Kind);
  if (Failure && !Failed)
    return;
  const bool Fresh = At.Version == Watched->second;
  if (m_kept[Request.What][{Request.Plan, Fresh}]++ >= MaxSamples)
    return;
  Batch.Samples.push_back(
      {.Route = Request.Plan,
       .FromNewVersion = Fresh,
       .Failed = Failed,
       .Cold = Cold,
       .FirstToken = Times.Tokens > 0 ? Times.First - Times.Sent : Duration(0),
       .TokenGap = tokenGap(Times),
       .CompletedAt = m_clock.now()});
}

SampleBatch VersionSampler::take(const Target &What) {
  const std::scoped_lock Lock(m_mutex);
  m_kept.erase(What);
  return std::exchange(m_batches[What], {});
}

} // namespace nutmegdrift::proxy
