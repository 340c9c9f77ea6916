// Admission as the data path sees it: waiting for a slot on a replica.
#ifndef NUTMEGDRIFT_PROXY_SLOT_SOURCE_H
#define NUTMEGDRIFT_PROXY_SLOT_SOURCE_H

#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/proxy/request.h"

#include <memory>

namespace nutmegdrift::proxy {

/// How a run at an endpoint ended, for limits and version judging.
enum class SlotOutcome {
  Succeeded,
  Failed,   ///< Error, cut or silent answer.
  Refused,  ///< The endpoint did not start the request.
  Crashed,  ///< The connection broke while the request ran.
  Canceled, ///< The caller went away.
};

/// Permission to run one request on one replica. Destroying it gives the
/// capacity back; finish() before that tells how the run ended.
class Slot {
public:
  virtual ~Slot() = default;
  [[nodiscard]] virtual const config::Replica &replica() const = 0;
  /// True if this daemon still owns the replica. Checked directly before the
  /// first byte goes to the endpoint, since a pause may have outlasted the
  /// lease.
  [[nodiscard]] virtual bool mayStart() const = 0;
  /// Charges Tokens more of service to the workspace. The first charge is the
  /// first token of the answer.
  virtual void charge(double Tokens) = 0;
  virtual void finish(SlotOutcome Outcome) = 0;
};

/// Where admitted work goes: a slot here, or the daemon that owns replicas.
struct Route {
  std::unique_ptr<Slot> Local; ///< Null if the request has to be relayed.
  DaemonName Owner;            ///< Set if Local is null.
  std::uint64_t Offer = 0;     ///< The slot that Owner holds; 0 without one.
};

class SlotSource {
public:
  virtual ~SlotSource() = default;
  /// Blocks until the request may start, is to be relayed, or is refused.
  /// Errors: QueueFull, DeadlineUnreachable, DeadlinePassed, NoEndpoint,
  /// Draining, SuspectedCrash.
  virtual Result<Route> acquire(const RequestContext &Request,
                                const config::FleetConfig &Config) = 0;
};

} // namespace nutmegdrift::proxy

#endif
