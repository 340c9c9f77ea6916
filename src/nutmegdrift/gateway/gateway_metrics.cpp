// Metric families on prometheus-cpp.
#include "nutmegdrift/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

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
  prometheus::Counter &Left = Events.Add({{"event", "caller-left"}});
  prometheus::Counter &Repeats = Events.Add({{"event", "repeat"}});
  prometheus::Counter &Resumed = Events.Add({{"event", "stream-resumed"}});
  prometheus::Counter &StoreGood = Events.Add({{"event", "store-call"}});
  prometheus::Counter &StoreBad = Events.Add({{"event", "store-call-failed"}});
  prometheus::Histogram &FirstByte =
      Latency.Add({{"of", "first-byte"}}, latencyBuckets());
  prometheus::Histogram &Wait =
      Latency.Add({{"of", "placement"}}, latencyBuckets());
  prometheus::Gauge &Age = Gauges.Add({{"name", "desired-state-age-seconds"}});
  prometheus::Gauge &Opened = Gauges.Add({{"name", "connections-opened"}});
  prometheus::Gauge &Lines = Gauges.Add({{"name", "log-lines-left-out"}});
};

GatewayMetrics::GatewayMetrics() : m_impl(std::make_unique<Impl>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::requestStarted() { m_impl->Started.Increment(); }

std::uint64_t GatewayMetrics::requests() const {
  return static_cast<std::uint64_t>(m_impl->Started.Value());
}

void GatewayMetrics::requestServed(int Status) {
  m_impl->Served.Add({{"status", std::to_string(Status)}}).Increment();
}

void GatewayMetrics::requestRefused(ErrorKind Kind) {
  m_impl->Refused.Add({{"kind", std::string(answerFor(Kind).Name)}})
      .Increment();
}

void GatewayMetrics::callerDisconnected() { m_impl->Left.Increment(); }
void GatewayMetrics::retrySent() { m_impl->Repeats.Increment(); }
void GatewayMetrics::streamResumed() { m_impl->Resumed.Increment(); }

void GatewayMetrics::firstByte(double Seconds) {
  m_impl->FirstByte.Observe(Seconds);
}

void GatewayMetrics::placementWait(double Seconds) {
  m_impl->Wait.Observe(Seconds);
}

void GatewayMetrics::storeCall(bool Succeeded) {
  (Succeeded ? m_impl->StoreGood : m_impl->StoreBad).Increment();
}

void GatewayMetrics::desiredStateAge(double Seconds) {
  m_impl->Age.Set(Seconds);
}

void GatewayMetrics::connectionsOpened(double Count) {
  m_impl->Opened.Set(Count);
}

void GatewayMetrics::logLinesSuppressed(double Count) {
  m_impl->Lines.Set(Count);
}

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(m_impl->Registry.Collect());
}

} // namespace nutmegdrift::gateway
