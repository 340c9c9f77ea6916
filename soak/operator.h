// The soak's operator: writes desired states and the replicas' entries to the
// store, and tells the promise checker what it accepted.
#ifndef NUTMEGDRIFT_SOAK_OPERATOR_H
#define NUTMEGDRIFT_SOAK_OPERATOR_H

#include "fake_store.h"
#include "replica_stand_in.h"

namespace nutmegdrift::soak {

class Operator {
public:
  static constexpr char PlainService[] = "app";
  static constexpr char ModelService[] = "pool";

  Operator(platform::FakeStore &Store, PromiseChecker &Checker);

  /// Routes and keys that callers may use now.
  [[nodiscard]] const routing::DesiredState &state() const { return m_state; }

  void addRoute();
  /// Removes the oldest of the added routes, if there is one.
  void removeRoute();
  /// Replaces a workspace's key by a new one.
  void replaceKey(Random &Rng);

  void registerReplica(const ReplicaStandIn &Which);
  void announceDraining(const ReplicaStandIn &Which);
  void unregisterReplica(const std::string &Id);
  void evacuate(const std::string &Zone);
  void takeBack(const std::string &Zone);

private:
  void write();

  platform::FakeStore &m_store;
  PromiseChecker &m_checker;
  routing::DesiredState m_state;
  std::size_t m_fixedRoutes = 0; ///< At the front of the routes; never removed.
  unsigned m_names = 0;
};

} // namespace nutmegdrift::soak

#endif
