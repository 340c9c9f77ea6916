// The filters of the request chain that need no other daemon.
#ifndef NUTMEGDRIFT_PROXY_FILTERS_H
#define NUTMEGDRIFT_PROXY_FILTERS_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/proxy/endpoint_client.h"
#include "nutmegdrift/proxy/filter_chain.h"

namespace nutmegdrift::proxy {

/// The plan of a workspace, or null.
const config::Plan *findPlan(const config::FleetConfig &Config,
                             const std::string &Workspace);

/// True if the plan may use the target.
bool mayUse(const config::FleetConfig &Config, const std::string &Plan,
            const Target &What);

/// Refuses unknown workspaces and targets, and what the plan does not include.
class AccessFilter final : public Filter {
public:
  Result<void> handle(Exchange &Current, const Next &Rest) override;
};

/// Decides whether another try may be made, for example from a budget.
class RetryPolicy {
public:
  virtual ~RetryPolicy() = default;
  virtual void recordFirstTry() = 0;
  /// True if the budget allows one more try; takes it from the budget.
  virtual bool takeRetry() = 0;
};

/// Sends a request to the daemon that owns replicas of its target.
class Relayer {
public:
  virtual ~Relayer() = default;
  /// Errors: RelayRefused (not run), RelayLost, those of the owner's chain and
  /// those of the sink.
  virtual Result<void> relay(const DaemonName &Owner,
                             const RequestContext &Request, std::uint64_t Offer,
                             ResponseSink &Sink) = 0;
};

/// Waits for a slot, runs the request there or relays it, and tries again
/// where that is safe: if the request did not run, or may be repeated, and
/// nothing was sent to the caller. Tries that reached an endpoint count against
/// the retry budget. Tries that only found that a replica has a new owner do
/// not, since they put no load on endpoints; they wait for the next view of the
/// owners.
class DispatchFilter final : public Filter {
public:
  /// Tries that did not run are also bounded, so that a request does not
  /// circle between endpoints that refuse it.
  static constexpr int MaxTries = 4;
  /// Waits of 100, 200, 400 and 800 ms, then 1 s each: 9.5 s together, longer
  /// than a take-over after silence (4 s) while the platform is slow.
  static constexpr int MaxReroutes = 12;
  static constexpr std::chrono::milliseconds FirstReroute{100};
  static constexpr std::chrono::milliseconds LongestReroute{1000};

  DispatchFilter(const Clock &Clk, SlotSource &Slots,
                 const EndpointClient &Endpoints, Relayer &Relays,
                 RetryPolicy &Retries, EventLog &Log);
  Result<void> handle(Exchange &Current, const Next &Rest) override;

private:
  Result<void> tryOnce(Exchange &Current);
  Result<void> runLocal(Exchange &Current, Slot &Where);
  bool mayRetry(const Exchange &Current, const Error &Failure, int Try);
  /// Waits for a newer view of the owners; false if the request gives up.
  bool reroute(const Exchange &Current, const Error &Failure, int &Reroutes);

  const Clock &m_clock;
  SlotSource &m_slots;
  const EndpointClient &m_endpoints;
  Relayer &m_relays;
  RetryPolicy &m_retries;
  EventLog &m_log;
};

} // namespace nutmegdrift::proxy

#endif
