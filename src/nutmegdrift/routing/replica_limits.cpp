// The limits that replicas named last, and when they lapse.
#include "nutmegdrift/routing/replica_limits.h"

#include <algorithm>

namespace nutmegdrift::routing {

bool ReplicaLimits::inForce(const Entry &Value, TimePoint Now) {
  Duration Retention = MinRetention;
  if (Value.PerSecond > 0.0)
    Retention = std::max(
        Retention,
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            std::min(RetainedRequests / Value.PerSecond, 3600.0))));
  return Now - Value.NamedAt <= Retention;
}

void ReplicaLimits::observe(const std::string &Service,
                            const ReplicaId &Replica,
                            std::optional<double> Limit, TimePoint Now) {
  if (Limit) {
    m_limits[Replica] = {
        .Service = Service, .PerSecond = *Limit, .NamedAt = Now};
    return;
  }
  if (m_limits.empty())
    return;
  const auto Known = m_limits.find(Replica);
  if (Known != m_limits.end() && Now - Known->second.NamedAt >= ClearDelay)
    m_limits.erase(Known);
}

void ReplicaLimits::merge(const NamedLimit &Reported, TimePoint Now) {
  Entry Received{.Service = Reported.Service,
                 .PerSecond = Reported.PerSecond,
                 .NamedAt = Now - Reported.Age};
  if (!inForce(Received, Now))
    return;
  Entry &Known = m_limits[Reported.Replica];
  if (Received.NamedAt > Known.NamedAt)
    Known = std::move(Received);
}

std::optional<double> ReplicaLimits::find(const ReplicaId &Replica,
                                          TimePoint Now) const {
  if (m_limits.empty())
    return std::nullopt;
  const auto Known = m_limits.find(Replica);
  if (Known == m_limits.end() || !inForce(Known->second, Now))
    return std::nullopt;
  return Known->second.PerSecond;
}

bool ReplicaLimits::limited(const std::string &Service, TimePoint Now) const {
  return std::any_of(m_limits.begin(), m_limits.end(), [&](const auto &Known) {
    return Known.second.Service == Service && inForce(Known.second, Now);
  });
}

std::vector<NamedLimit> ReplicaLimits::of(const std::string &Service,
                                          TimePoint Now) const {
  std::vector<NamedLimit> Out;
  for (const auto &[Replica, Known] : m_limits)
    if (Known.Service == Service && inForce(Known, Now))
      Out.push_back({.Service = Service,
                     .Replica = Replica,
                     .PerSecond = Known.PerSecond,
                     .Age = Now - Known.NamedAt});
  return Out;
}

void ReplicaLimits::expire(TimePoint Now) {
  std::erase_if(m_limits,
                [&](const auto &Known) { return !inForce(Known.second, Now); });
}

} // namespace nutmegdrift::routing
