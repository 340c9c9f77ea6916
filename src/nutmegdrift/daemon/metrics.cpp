#include "nutmegdrift/daemon/metrics.h"

#include <algorithm>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace nutmegdrift::daemon {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;

namespace {

template <class Builder>
auto &family(Builder Build, prometheus::Registry &Into, const char *Name,
             const char *Help) {
  return Build.Name(Name).Help(Help).Register(Into);
}

/// Largest difference between the normalised service of two workspaces of one
/// target, in tokens at weight 1.
double fairnessGap(const proxy::TargetFigures &Figures) {
  if (Figures.ServiceByWorkspace.empty())
    return 0.0;
  double Least = Figures.ServiceByWorkspace.begin()->second;
  double Most = Least;
  for (const auto &[Workspace, Service] : Figures.ServiceByWorkspace) {
    Least = std::min(Least, Service);
    Most = std::max(Most, Service);
  }
  return Most - Least;
}

} // namespace

struct Metrics::Families {
  prometheus::Registry Registry;

  Family<Counter> &counters(const char *Name, const char *Help) {
    return family(prometheus::BuildCounter(), Registry, Name, Help);
  }
  Family<Gauge> &gauges(const char *Name, const char *Help) {
    return family(prometheus::BuildGauge(), Registry, Name, Help);
  }

  Family<Counter> &Requests =
      counters("nutmegdrift_requests_total",
               "Requests by target and result; result is ok or an error kind");
  Family<Counter> &Relayed =
      counters("nutmegdrift_relayed_total", "Requests relayed to an owner");
  Family<Counter> &Retries =
      counters("nutmegdrift_retries_total", "Tries after the first");
  Family<Gauge> &Limit = gauges("nutmegdrift_limit",
                                "Requests the owned replicas may run at once");
  Family<Gauge> &Running =
      gauges("nutmegdrift_running", "Requests running on owned replicas");
  Family<Gauge> &Queued =
      gauges("nutmegdrift_queued", "Requests waiting for a slot");
  Family<Gauge> &Utilisation = gauges(
      "nutmegdrift_utilisation", "Running requests as a share of the limit");
  Family<Gauge> &Gap =
      gauges("nutmegdrift_fairness_gap_tokens",
             "Largest difference of normalised service between backlogged "
             "workspaces");
  Family<Gauge> &ControlBytes =
      gauges("nutmegdrift_control_bytes_total",
             "Bytes of messages between daemons without relayed requests");
  Family<Gauge> &RelayBytes = gauges("nutmegdrift_relay_bytes_total",
                                     "Bytes of relayed requests and answers");
  Family<Gauge> &PlatformCalls =
      gauges("nutmegdrift_platform_calls_total", "Calls of the platform");
  Family<Gauge> &PlatformBytes =
      gauges("nutmegdrift_platform_bytes_total",
             "Bytes of bodies sent to and received from the platform");
  Family<Gauge> &PeerMessages =
      gauges("nutmegdrift_peer_messages_total",
             "Messages sent to and received from daemons, by type");
  Family<Gauge> &PeerBytes =
      gauges("nutmegdrift_peer_bytes_total",
             "Bytes sent to and received from daemons, by message type");
  Family<Gauge> &ConfigVersion =
      gauges("nutmegdrift_config_version", "Version of the configuration");
  Family<Gauge> &Tickets =
      gauges("nutmegdrift_tickets", "Tickets granted and not expired");
  Family<Gauge> &Active =
      gauges("nutmegdrift_active_requests", "Requests of callers being served");
  Family<Gauge> &Owned =
      gauges("nutmegdrift_owned_replicas", "Replicas owned by this daemon");
};

Metrics::Metrics() : m_families(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::countRequest(const Target &What,
                           const std::optional<Error> &Failure) {
  const std::string Outcome =
      Failure ? std::string(answerFor(Failure->Kind).Name) : "ok";
  m_families->Requests.Add({{"target", toString(What)}, {"result", Outcome}})
      .Increment();
}

void Metrics::countRelayed(const Target &What) {
  m_families->Relayed.Add({{"target", toString(What)}}).Increment();
}

void Metrics::countRetry() { m_families->Retries.Add({}).Increment(); }

void Metrics::renderPeerTraffic(const peer::PeerTraffic &Traffic) {
  for (std::size_t Type = 0; Type < wire::MessageTypes; ++Type) {
    const auto &Sent = Traffic.Sent.at(Type);
    const auto &Received = Traffic.Received.at(Type);
    if (Sent.Messages + Received.Messages == 0)
      continue;
    const prometheus::Labels Labels{
        {"type", std::string(wire::messageName(Type))}};
    m_families->PeerMessages.Add(Labels).Set(
        static_cast<double>(Sent.Messages + Received.Messages));
    m_families->PeerBytes.Add(Labels).Set(
        static_cast<double>(Sent.Bytes + Received.Bytes));
  }
}

std::string Metrics::render(const MetricsSnapshot &Now) {
  auto &F = *m_families;
  for (const auto &One : Now.Targets) {
    const prometheus::Labels Labels{{"target", toString(One.What)}};
    const auto Limit = static_cast<double>(One.Limit);
    const auto Running = static_cast<double>(One.Running);
    F.Limit.Add(Labels).Set(Limit);
    F.Running.Add(Labels).Set(Running);
    F.Queued.Add(Labels).Set(static_cast<double>(One.Queued));
    F.Utilisation.Add(Labels).Set(Limit > 0 ? Running / Limit : 0.0);
    F.Gap.Add(Labels).Set(fairnessGap(One));
  }
  F.ControlBytes.Add({}).Set(static_cast<double>(Now.Traffic.controlBytes()));
  F.RelayBytes.Add({}).Set(static_cast<double>(Now.Traffic.relayedBytes()));
  F.PlatformCalls.Add({}).Set(static_cast<double>(Now.PlatformCalls));
  F.PlatformBytes.Add({}).Set(static_cast<double>(Now.PlatformBytes));
  renderPeerTraffic(Now.Traffic);
  F.ConfigVersion.Add({}).Set(static_cast<double>(Now.ConfigVersion));
  F.Tickets.Add({}).Set(static_cast<double>(Now.TicketsHeld));
  F.Active.Add({}).Set(Now.ActiveRequests);
  F.Owned.Add({}).Set(static_cast<double>(Now.OwnedReplicas));
  return prometheus::TextSerializer().Serialize(F.Registry.Collect());
}

} // namespace nutmegdrift::daemon
