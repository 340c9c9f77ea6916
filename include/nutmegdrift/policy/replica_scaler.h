// Orders for the number of replicas. Interface only; the scaler is added later.
#ifndef NUTMEGDRIFT_POLICY_REPLICA_SCALER_H
#define NUTMEGDRIFT_POLICY_REPLICA_SCALER_H

#include <string>

namespace nutmegdrift::policy {

/// The number of replicas that a service should have in a zone.
struct ReplicaOrder {
  std::string Service;
  std::string Zone;
  unsigned Count;
  std::string Reason;
};

} // namespace nutmegdrift::policy

#endif
