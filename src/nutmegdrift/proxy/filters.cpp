#include "nutmegdrift/proxy/filters.h"

#include <algorithm>
#include <thread>

namespace nutmegdrift::proxy {

const config::Plan *findPlan(const config::FleetConfig &Config,
                             const std::string &Workspace) {
  const auto Member =
      std::find_if(Config.Workspaces.begin(), Config.Workspaces.end(),
                   [&](const auto &W) { return W.Name == Workspace; });
  if (Member == Config.Workspaces.end())
    return nullptr;
  const auto Found =
      std::find_if(Config.Plans.begin(), Config.Plans.end(),
                   [&](const auto &P) { return P.Name == Member->Plan; });
  return Found == Config.Plans.end() ? nullptr : &*Found;
}

bool mayUse(const config::FleetConfig &Config, const std::string &Plan,
            const Target &What) {
  return std::any_of(Config.AccessRules.begin(), Config.AccessRules.end(),
                     [&](const config::Access &Rule) {
                       return Rule.Plan == Plan &&
                              std::find(Rule.Targets.begin(),
                                        Rule.Targets.end(),
                                        What) != Rule.Targets.end();
                     });
}

namespace {

/// The last error of a request that may have run in an earlier try: a refusal
/// of the last try alone would wrongly say that it did not run.
Error asUnknown(const Error &Last) {
  if (answerFor(Last.Kind).State != RunState::NotRun)
    return Last;
  return {ErrorKind::EndpointFailed,
          "an earlier try failed; then: " + Last.Message};
}

/// True if any plan may use the target; otherwise the target is unknown.
bool isKnown(const config::FleetConfig &Config, const Target &What) {
  return std::any_of(
      Config.Plans.begin(), Config.Plans.end(),
      [&](const config::Plan &P) { return mayUse(Config, P.Name, What); });
}

} // namespace

Result<void> AccessFilter::handle(Exchange &Current, const Next &Rest) {
  const auto &Request = Current.Request;
  const auto *Plan = findPlan(*Current.Config, Request.Workspace);
  if (Plan == nullptr)
    return fail(ErrorKind::UnknownWorkspace,
                "workspace " + Request.Workspace + " is not configured");
  if (!isKnown(*Current.Config, Request.What))
    return fail(ErrorKind::UnknownTarget,
                toString(Request.What) + " is not configured");
  if (!mayUse(*Current.Config, Plan->Name, Request.What))
    return fail(ErrorKind::AccessDenied, "plan " + Plan->Name +
                                             " does not include " +
                                             toString(Request.What));
  Current.Request.Plan = Plan->Name;
  return Rest(Current);
}

DispatchFilter::DispatchFilter(const Clock &Clk, SlotSource &Slots,
                               const EndpointClient &Endpoints, Relayer &Relays,
                               RetryPolicy &Retries, EventLog &Log)
    : m_clock(Clk), m_slots(Slots), m_endpoints(Endpoints), m_relays(Relays),
      m_retries(Retries), m_log(Log) {}

Result<void> DispatchFilter::handle(Exchange &Current, const Next & /*Rest*/) {
  m_retries.recordFirstTry();
  bool MayHaveRun = false;
  int Reroutes = 0;
  for (int Try = 1;;) {
    const auto Failure = errorOf([&] { return tryOnce(Current); });
    if (!Failure)
      return {};
    m_log.event("request.try_failed",
                {{"request", Current.Request.Id},
                 {"workspace", Current.Request.Workspace},
                 {"try", std::to_string(Try)},
                 {"error", std::string(answerFor(Failure->Kind).Name)},
                 {"detail", Failure->Message}});
    MayHaveRun =
        MayHaveRun || answerFor(Failure->Kind).State != RunState::NotRun;
    if (reroute(Current, *Failure, Reroutes))
      continue;
    if (!mayRetry(Current, *Failure, Try++))
      return fail(MayHaveRun ? asUnknown(*Failure) : *Failure);
  }
}

Result<void> DispatchFilter::tryOnce(Exchange &Current) {
  const auto &Request = Current.Request;
  BOOST_LEAF_AUTO(Where, m_slots.acquire(Request, *Current.Config));
  if (!Where.Local) {
    m_log.event("request.relayed", {{"request", Request.Id},
                                    {"workspace", Request.Workspace},
                                    {"owner", Where.Owner}});
    return m_relays.relay(Where.Owner, Request, Where.Offer, Current.Sink);
  }
  m_log.event("request.dispatched", {{"request", Request.Id},
                                     {"workspace", Request.Workspace},
                                     {"endpoint", Where.Local->replica().Id}});
  return runLocal(Current, *Where.Local);
}

/// Runs on the replica, and keeps a later try away from it if it failed.
Result<void> DispatchFilter::runLocal(Exchange &Current, Slot &Where) {
  const auto Failure = errorOf(
      [&] { return m_endpoints.run(Current.Request, Where, Current.Sink); });
  if (!Failure)
    return {};
  Current.Request.FailedOn.push_back(Where.replica().Id);
  // A slot that another owner held is used up by one try.
  Current.Request.Offer = 0;
  return fail(*Failure);
}

bool DispatchFilter::reroute(const Exchange &Current, const Error &Failure,
                             int &Reroutes) {
  const bool OwnerChanged = Failure.Kind == ErrorKind::LeaseLost ||
                            Failure.Kind == ErrorKind::RelayRefused;
  // A relayed request goes back to its entry daemon, which routes it anew.
  if (!OwnerChanged || Current.Request.Relayed || Current.Sink.started() ||
      Reroutes == MaxReroutes)
    return false;
  const auto Wait = std::min(FirstReroute * (1 << Reroutes++), LongestReroute);
  if (m_clock.now() + Wait >= Current.Request.Deadline)
    return false;
  std::this_thread::sleep_for(Wait);
  return true;
}

bool DispatchFilter::mayRetry(const Exchange &Current, const Error &Failure,
                              int Try) {
  if (Current.Sink.started() || Try >= MaxTries ||
      m_clock.now() >= Current.Request.Deadline)
    return false;
  switch (Failure.Kind) {
  case ErrorKind::EndpointRefused:
    return m_retries.takeRetry();
  case ErrorKind::EndpointFailed:
  case ErrorKind::EndpointTimeout:
  case ErrorKind::EndpointTruncated:
  case ErrorKind::RelayLost:
    return !Current.Request.runsAtMostOnce() &&
           Current.Request.What.Type == Target::Kind::Model &&
           m_retries.takeRetry();
  default:
    return false;
  }
}

} // namespace nutmegdrift::proxy
