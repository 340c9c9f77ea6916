// Metric families, implemented with prometheus-cpp.
#include "nutmegdrift/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace nutmegdrift::gateway {

namespace {

prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};
}

} // namespace

std::string_view toString(DutyCallResult Result) {
  switch (Result) {
  case DutyCallResult::Accepted:
    return "accepted";
  case DutyCallResult::Limited:
    return "limited";
  case DutyCallResult::Refused:
    return "refused";
  case DutyCallResult::Failed:
    return "failed";
  }
  return "unknown";
}

struct GatewayMetrics::Impl {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Served =
      prometheus::BuildCounter()
          .Name("nutmegdrift_answers_total")
          .Help("Answers of replicas passed on, by status")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Refused =
      prometheus::BuildCounter()
          .Name("nutmegdrift_refusals_total")
          .Help("Answers of the gateway itself, by error kind")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Events =
      prometheus::BuildCounter()
          .Name("nutmegdrift_events_total")
          .Help("Events by kind")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &Latency =
      prometheus::BuildHistogram()
          .Name("nutmegdrift_seconds")
          .Help("Time to the first byte and wait for a replica")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Gauges =
      prometheus::BuildGauge()
          .Name("nutmegdrift_value")
          .Help("Present values by name")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &DutyCalls =
      prometheus::BuildCounter()
          .Name("nutmegdrift_duty_calls_total")
          .Help("Calls to the service of the duties, by duty and result")
          .Register(Registry);
  prometheus::Counter &Started = Events.Add({{"event", "request"}});
  prometheus::Counter &Disconnected = Events.Add({{"event", "caller-left"}});
  prometheus::Counter &Retries = Events.Add({{"event", "repeat"}});
  prometheus::Counter &Resumed = Events.Add({{"event", "stream-resumed"}});
  prometheus::Counter &Crashes = Events.Add({{"event", "replica-crash"}});
  prometheus::Counter &Unexpected = Events.Add({{"event", "unexpected-error"}});
  prometheus::Counter &MemoryRefused =
      Events.Add({{"event", "caller-memory-refused"}});
  prometheus::Counter &MemoryGaveWay =
      Events.Add({{"event", "caller-memory-gave-way"}});
  prometheus::Counter &ConnectionsClosed =
      Events.Add({{"event", "caller-connection-closed"}});
  prometheus::Counter &ConnectionsNotAccepted =
      Events.Add({{"event", "caller-connection-not-accepted"}});
  prometheus::Counter &StoreSuccesses = Events.Add({{"event", "store-call"}});
  prometheus::Counter &StoreFailures =
      Events.Add({{"event", "store-call-failed"}});
  prometheus::Counter &DutiesClaimed =
      Events.Add({{"event", "duties-claimed"}});
  prometheus::Histogram &FirstByte =
      Latency.Add({{"of", "first-byte"}}, latencyBuckets());
  prometheus::Histogram &PlacementWait =
      Latency.Add({{"of", "placement"}}, latencyBuckets());
  /// Counters of the families by label, since a look-up by labels costs more
  /// than the rest of a refusal's bookkeeping.
  std::map<int, prometheus::Counter *> ServedByStatus;
  std::map<ErrorKind, prometheus::Counter *> RefusedByKind;
  prometheus::Gauge &DesiredStateAge =
      Gauges.Add({{"name", "desired-state-age-seconds"}});
  prometheus::Gauge &OpenedConnections =
      Gauges.Add({{"name", "connections-opened"}});
  prometheus::Gauge &SuppressedLines =
      Gauges.Add({{"name", "log-lines-left-out"}});
};

GatewayMetrics::GatewayMetrics() : m_impl(std::make_unique<Impl>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::requestStarted() { m_impl->Started.Increment(); }

std::uint64_t GatewayMetrics::requests() const {
  return static_cast<std::uint64_t>(m_impl->Started.Value());
}

void GatewayMetrics::requestServed(int Status) {
  prometheus::Counter *&Counter = m_impl->ServedByStatus[Status];
  if (!Counter)
    Counter = &m_impl->Served.Add({{"status", std::to_string(Status)}});
  Counter->Increment();
}

void GatewayMetrics::requestRefused(ErrorKind Kind) {
  prometheus::Counter *&Counter = m_impl->RefusedByKind[Kind];
  if (!Counter)
    Counter =
        &m_impl->Refused.Add({{"kind", std::string(answerFor(Kind).Name)}});
  Counter->Increment();
}

void GatewayMetrics::callerDisconnected() { m_impl->Disconnected.Increment(); }
void GatewayMetrics::retrySent() { m_impl->Retries.Increment(); }
void GatewayMetrics::streamResumed() { m_impl->Resumed.Increment(); }

void GatewayMetrics::firstByte(double Seconds) {
  m_impl->FirstByte.Observe(Seconds);
}

void GatewayMetrics::placementWait(double Seconds) {
  m_impl->PlacementWait.Observe(Seconds);
}

void GatewayMetrics::storeCall(bool Succeeded) {
  (Succeeded ? m_impl->StoreSuccesses : m_impl->StoreFailures).Increment();
}

void GatewayMetrics::duties(const DutyGauges &Now) {
  const auto Set = [this](const char *Name, double Value) {
    m_impl->Gauges.Add({{"name", Name}}).Set(Value);
  };
  Set("duty-holder", Now.Holds ? 1.0 : 0.0);
  Set("duty-epoch", static_cast<double>(Now.Epoch));
  Set("duty-decided-window", static_cast<double>(Now.DecidedWindow));
  Set("duty-pending-windows", static_cast<double>(Now.PendingWindows));
  Set("duty-overdue-windows", static_cast<double>(Now.OverdueWindows));
  Set("duty-ordered-replicas", static_cast<double>(Now.OrderedReplicas));
}

void GatewayMetrics::dutyCall(std::string_view Duty, DutyCallResult Result) {
  m_impl->DutyCalls
      .Add({{"duty", std::string(Duty)},
            {"result", std::string(toString(Result))}})
      .Increment();
}

void GatewayMetrics::dutiesClaimed() { m_impl->DutiesClaimed.Increment(); }

void GatewayMetrics::desiredStateAge(double Seconds) {
  m_impl->DesiredStateAge.Set(Seconds);
}

void GatewayMetrics::connectionsOpened(double Count) {
  m_impl->OpenedConnections.Set(Count);
}

void GatewayMetrics::logLinesSuppressed(double Count) {
  m_impl->SuppressedLines.Set(Count);
}

void GatewayMetrics::usageWindowsPending(double Count) {
  m_impl->Gauges.Add({{"name", "usage-windows-pending"}}).Set(Count);
}

void GatewayMetrics::replicaCrashed() { m_impl->Crashes.Increment(); }
void GatewayMetrics::callerLimits(const CallerLimitCounts &Since) {
  m_impl->MemoryRefused.Increment(static_cast<double>(Since.MemoryRefused));
  m_impl->MemoryGaveWay.Increment(static_cast<double>(Since.MemoryGaveWay));
  m_impl->ConnectionsClosed.Increment(
      static_cast<double>(Since.ConnectionsClosed));
  m_impl->ConnectionsNotAccepted.Increment(
      static_cast<double>(Since.ConnectionsNotAccepted));
}

void GatewayMetrics::unexpectedError() { m_impl->Unexpected.Increment(); }

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(m_impl->Registry.Collect());
}

} // namespace nutmegdrift::gateway
