// Limits of callers, from the settings.
#include "nutmegdrift/gateway/caller_limits.h"

#include <algorithm>
#include <utility>

#include <malloc.h>

namespace nutmegdrift::gateway {

namespace {

constexpr double Megabyte = 1024.0 * 1024.0;
/// Descriptors for listeners, the store, other daemons and replicas. A machine
/// with less than twice as many gives half to callers.
constexpr std::size_t OtherDescriptors = 64;
/// Connections that each listener may always have.
constexpr std::size_t MinConnections = 8;
/// A fall of the callers' memory by this much makes the allocator return what
/// it keeps. Smaller buffers are soon used again.
constexpr std::size_t MinReturnedBytes = std::size_t{8} * 1024 * 1024;

} // namespace

CallerLimits::CallerLimits(const GatewaySettings &Settings)
    : m_memory(std::make_shared<net::CallerMemory>(net::CallerMemory::Options{
          .Limit =
              static_cast<std::size_t>(Settings.MemoryMegabytes * Megabyte *
                                       Settings.Callers.MemoryShare),
          .StallTime = Settings.Callers.StallTime})),
      m_descriptors(Settings.Descriptors),
      m_connectionShare(Settings.Callers.ConnectionShare) {}

net::SharedCallerLimits CallerLimits::front(
    std::function<std::string(const net::HeaderList &)> OwnerOf) const {
  net::SharedCallerLimits Limits = other(m_connectionShare);
  Limits.OwnerOf = std::move(OwnerOf);
  const std::size_t Rest =
      m_descriptors - std::min(m_descriptors, OtherDescriptors);
  Limits.MaxConnections =
      std::min(Limits.MaxConnections, std::max(Rest, m_descriptors / 2));
  return Limits;
}

net::SharedCallerLimits CallerLimits::other(double DescriptorShare) const {
  return {.Memory = m_memory,
          .MaxConnections = std::max(
              MinConnections,
              static_cast<std::size_t>(static_cast<double>(m_descriptors) *
                                       DescriptorShare))};
}

void CallerLimits::sweep(const net::HttpServer &Front, DecisionLog &Log,
                         GatewayMetrics &Metrics) {
  const std::uint64_t Refused =
      m_memory->refused() - std::exchange(m_refused, m_memory->refused());
  const std::uint64_t GaveWay =
      m_memory->gaveWay() - std::exchange(m_gaveWay, m_memory->gaveWay());
  if (Refused + GaveWay > 0)
    Log.line(LogClass::Fault, "callers.memory_limit",
             {{"refused", std::to_string(Refused)},
              {"gave_way", std::to_string(GaveWay)},
              {"used_kb", std::to_string(m_memory->used() / 1024)}});
  const std::uint64_t Closed = Front.closedForOthers() -
                               std::exchange(m_closed, Front.closedForOthers());
  const std::uint64_t NotAccepted =
      Front.notAccepted() - std::exchange(m_notAccepted, Front.notAccepted());
  if (Closed + NotAccepted > 0)
    Log.line(LogClass::Fault, "callers.connection_limit",
             {{"closed", std::to_string(Closed)},
              {"not_accepted", std::to_string(NotAccepted)},
              {"open", std::to_string(Front.connections())}});
  Metrics.callerLimits({.MemoryRefused = Refused,
                        .MemoryGaveWay = GaveWay,
                        .ConnectionsClosed = Closed,
                        .ConnectionsNotAccepted = NotAccepted});
  if (m_memory->takePeak() >= m_memory->used() + MinReturnedBytes)
    ::malloc_trim(0);
}

} // namespace nutmegdrift::gateway
