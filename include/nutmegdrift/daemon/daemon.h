// Assembles one nutmegd: the request chain, the controllers and the servers.
#ifndef NUTMEGDRIFT_DAEMON_DAEMON_H
#define NUTMEGDRIFT_DAEMON_DAEMON_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/config/settings.h"

#include <memory>

namespace nutmegdrift::daemon {

/// One running daemon.
///
/// \code
///   Daemon Instance(Settings);
///   BOOST_LEAF_CHECK(Instance.start());
///   waitForSignal();
///   Instance.stop();
/// \endcode
class Daemon {
public:
  explicit Daemon(config::DaemonSettings Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Listens and joins the fleet. Error: InvalidSettings if an address cannot
  /// be bound.
  Result<void> start();

  /// Planned stop: leaves the address answers, hands over replicas, waiting
  /// requests and tickets, lets running requests end, then closes.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace nutmegdrift::daemon

#endif
