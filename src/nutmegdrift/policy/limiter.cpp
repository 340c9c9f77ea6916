#include "nutmegdrift/policy/limiter.h"

#include <algorithm>
#include <cmath>

namespace nutmegdrift::policy {

namespace {

/// Weight of a sample below the baseline. The baseline falls quickly, so that a
/// cold start does not leave it too high.
constexpr double WeightBelowBaseline = 0.5;
/// Weight of a sample above the baseline. A lasting change is adopted after a
/// few hundred samples, a temporary one is not.
constexpr double WeightAboveBaseline = 0.01;

/// Weight of one sample in the mean time between tokens, which covers about the
/// last ten.
constexpr double IntervalSampleWeight = 0.1;

void updateBaseline(double &Baseline, double Sample) {
  if (Baseline == 0.0)
    Baseline = Sample;
  else
    Baseline +=
        (Sample < Baseline ? WeightBelowBaseline : WeightAboveBaseline) *
        (Sample - Baseline);
}

double nanoseconds(Duration Time) { return static_cast<double>(Time.count()); }

} // namespace

Limiter::Limiter(std::size_t Capacity, LimiterSettings Settings)
    : m_settings(Settings), m_capacity(std::max<std::size_t>(Capacity, 1)) {}

double Limiter::maxLimit() const {
  const double Scaled =
      std::floor(static_cast<double>(m_capacity) * m_limitFactor);
  return std::max(0.0, Scaled - static_cast<double>(m_residualRequests));
}

std::size_t Limiter::limit() const {
  return static_cast<std::size_t>(std::min(std::floor(m_limit), maxLimit()));
}

std::size_t Limiter::free() const {
  const auto Limit = limit();
  return Limit > m_running ? Limit - m_running : 0;
}

void Limiter::setCapacity(std::size_t Capacity) {
  m_capacity = std::max<std::size_t>(Capacity, 1);
  m_limit = std::min(m_limit, static_cast<double>(m_capacity));
}

void Limiter::setOwnership(double LimitFactor, std::size_t ResidualRequests) {
  m_limitFactor = std::clamp(LimitFactor, 0.0, 1.0);
  m_residualRequests = ResidualRequests;
}

void Limiter::restartSlowStart() {
  m_limit = 1.0;
  m_slowStart = true;
}

bool Limiter::indicatesCold(Duration Elapsed) const {
  return m_firstTokenBaseline > 0.0 && Elapsed > m_settings.MinColdFirstToken &&
         nanoseconds(Elapsed) > m_settings.ColdRatio * m_firstTokenBaseline;
}

void Limiter::markCold() {
  m_cold = true;
  restartSlowStart();
}

void Limiter::onFirstToken(Duration Elapsed, TimePoint) {
  const bool Cold = indicatesCold(Elapsed);
  updateBaseline(m_firstTokenBaseline, nanoseconds(Elapsed));
  if (Cold) {
    markCold();
    return;
  }
  m_cold = false;
  grow();
}

void Limiter::onFirstTokenPending(Duration Elapsed) {
  if (indicatesCold(Elapsed))
    markCold();
}

void Limiter::grow() {
  // Latency under a load far below the limit is no evidence for a higher limit.
  if (static_cast<double>(m_running) * 2.0 < std::floor(m_limit))
    return;
  m_limit += m_slowStart ? 1.0 : 1.0 / m_limit;
  m_limit = std::min(m_limit, static_cast<double>(m_capacity));
}

void Limiter::decrease(TimePoint Now) {
  if (Now - m_lastDecrease < m_settings.MinDecreaseInterval)
    return;
  m_lastDecrease = Now;
  m_slowStart = false;
  m_limit = std::max(1.0, m_limit * m_settings.DecreaseFactor);
}

void Limiter::onTokenInterval(Duration Interval, TimePoint Now) {
  const double Sample = nanoseconds(Interval);
  m_intervalMean += (m_intervalMean == 0.0 ? 1.0 : IntervalSampleWeight) *
                    (Sample - m_intervalMean);
  const bool Inflated =
      m_intervalBaseline > 0.0 &&
      m_intervalMean > m_settings.InflationRatio * m_intervalBaseline;
  updateBaseline(m_intervalBaseline, m_intervalMean);
  if (Inflated)
    decrease(Now);
}

void Limiter::onFinish(Outcome Result, TimePoint Now) {
  m_running -= std::min<std::size_t>(m_running, 1);
  if (Result == Outcome::Refused || Result == Outcome::Failed)
    decrease(Now);
}

void Limiter::onReportedLoad(std::size_t Running, std::size_t Waiting,
                             TimePoint Now) {
  if (Waiting == 0 || Now - m_lastDecrease < m_settings.MinDecreaseInterval)
    return;
  const double Reported = std::max(1.0, static_cast<double>(Running));
  m_limit = std::min(m_limit, Reported);
  m_lastDecrease = Now;
  m_slowStart = false;
}

} // namespace nutmegdrift::policy
