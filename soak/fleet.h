// The soak's fleet: daemons, replicas, store, operator and the random source
// that all of them share.
#ifndef NUTMEGDRIFT_SOAK_FLEET_H
#define NUTMEGDRIFT_SOAK_FLEET_H

#include "daemon_process.h"
#include "operator.h"

namespace nutmegdrift::soak {

struct FleetOptions {
  std::uint64_t Seed = 1;
  unsigned Daemons = 5;
  unsigned PlainReplicas = 3;
  unsigned Engines = 4;
  std::string Directory; ///< For settings and logs.
  std::string Program = DaemonProcess::BuiltProgram;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &Options);

  /// Starts all replicas and daemons.
  void start();
  /// A loopback address that no other fleet of this machine uses.
  [[nodiscard]] std::string host(unsigned Number) const;
  /// One key=value line of what the soak does.
  void note(const std::string &Text);

  net::EventLoop Loop{1};
  SystemClock Clk;
  Random Rng;
  Disturbances Disturbed;
  PromiseChecker Checker;
  platform::FakeStore Store;
  std::unique_ptr<Operator> Operations;
  std::vector<std::unique_ptr<ReplicaStandIn>> Replicas;
  std::vector<std::unique_ptr<DaemonProcess>> Daemons;
};

} // namespace nutmegdrift::soak

#endif
