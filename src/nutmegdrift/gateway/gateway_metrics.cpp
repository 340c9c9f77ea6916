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
  prometheus::Counter &Started = Events.Add({{"event", "request"}});
  prometheus::Counter &Disconnected = Events.Add({{"event", "caller-left"}});
  prometheus::Counter &Retries = Events.Add({{"event", "repeat"}});
  prometheus::Counter &Resumed = Events.Add({{"event", "stream-resumed"}});
  prometheus::Counter &Crashes = Events.Add({{"event", "replica-crash"}});
  prometheus::Counter &Unexpected = Events.Add({{"event", "unexpected-error"}});
  prometheus::Counter &StoreSuccesses = Events.Add({{"event", "store-call"}});
  prometheus::Counter &StoreFailures =
      Events.Add({{"event", "store-call-failed"}});
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

void GatewayMetrics::desiredStateAge(double Seconds) {
  m_impl->DesiredStateAge.Set(Seconds);
}

void GatewayMetrics::connectionsOpened(double Count) {
  m_impl->OpenedConnections.Set(Count);
}

void GatewayMetrics::logLinesSuppressed(double Count) {
  m_impl->SuppressedLines.Set(Count);
}

void GatewayMetrics::replicaCrashed() { m_impl->Crashes.Increment(); }
void GatewayMetrics::unexpectedError() { m_impl->Unexpected.Increment(); }

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(m_impl->Registry.Collect());
}

} // namespace nutmegdrift::gateway
