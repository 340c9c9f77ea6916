// What a soak does to its fleet.
#ifndef NUTMEGDRIFT_SOAK_FAULT_PLAN_H
#define NUTMEGDRIFT_SOAK_FAULT_PLAN_H

#include "fleet.h"

namespace nutmegdrift::soak {

/// A sequence of faults, which the seed gives whatever callers do.
class FaultPlan {
public:
  virtual ~FaultPlan() = default;
  FaultPlan(const FaultPlan &) = delete;
  FaultPlan &operator=(const FaultPlan &) = delete;

  virtual void start() = 0;
  /// Starts no more faults, ends all and lets every process run again.
  virtual void settle() = 0;
  /// Number of faults or rounds that were started.
  [[nodiscard]] std::size_t started() const { return m_started; }

protected:
  FaultPlan(Fleet &Of, std::uint64_t Seed) : m_fleet(Of), m_random(Seed) {}

  /// A random time.
  [[nodiscard]] Duration between(Duration Least, Duration Most);
  /// A random target, which is noted.
  [[nodiscard]] DaemonProcess &daemon();
  [[nodiscard]] ReplicaStandIn &replica();
  /// Lets every daemon run again.
  void resumeAll();

  Fleet &m_fleet;
  Random m_random; ///< Of its own, because callers use the fleet's.
  std::size_t m_started = 0;
};

} // namespace nutmegdrift::soak

#endif
