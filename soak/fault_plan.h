// What a soak does to its fleet.
#ifndef NUTMEGDRIFT_SOAK_FAULT_PLAN_H
#define NUTMEGDRIFT_SOAK_FAULT_PLAN_H

#include <cstddef>

namespace nutmegdrift::soak {

class FaultPlan {
public:
  virtual ~FaultPlan() = default;

  virtual void start() = 0;
  /// Starts no more faults, ends all and lets every process run again.
  virtual void settle() = 0;
  /// Number of faults that were started.
  [[nodiscard]] virtual std::size_t started() const = 0;
};

} // namespace nutmegdrift::soak

#endif
