// Concurrency limit of one replica, learned from latency, errors and refusals.
#ifndef NUTMEGDRIFT_POLICY_LIMITER_H
#define NUTMEGDRIFT_POLICY_LIMITER_H

#include "nutmegdrift/base/clock.h"

#include <cstddef>

namespace nutmegdrift::policy {

/// How a request ended at its replica.
enum class Outcome {
  Completed, ///< The whole answer arrived.
  Refused,   ///< The replica refused it or did not accept the connection.
  Failed,    ///< Error, truncation or silence after the start.
  Cancelled, ///< Given up by the caller; says nothing about the replica.
};

struct LimiterSettings {
  /// Time between tokens above this multiple of the baseline is inflation.
  double InflationRatio = 1.5;
  /// First-token time above this multiple of the baseline means cold. Prompts
  /// of usual lengths differ by less than this.
  double ColdRatio = 4.0;
  /// First-token times below this never mean cold, whatever the baseline.
  Duration MinColdFirstToken = std::chrono::milliseconds(100);
  /// Factor on the limit on inflation, an error or a refusal.
  double DecreaseFactor = 0.7;
  /// At most one cut in this time, so that one incident that fails several
  /// running requests counts once.
  Duration MinDecreaseInterval = std::chrono::seconds(1);
};

/// Not thread-safe. The limit starts at 1, grows by 1 for each first token that
/// arrives in time (slow start) until the first cut, and by 1/limit after it.
/// It never exceeds what the replica bears.
class Limiter {
public:
  Limiter(std::size_t Capacity, LimiterSettings Settings = {});

  /// Requests that this owner may run at once; 0 while carry fills the replica.
  [[nodiscard]] std::size_t limit() const;
  [[nodiscard]] std::size_t running() const { return m_running; }
  /// Slots free now.
  [[nodiscard]] std::size_t free() const;
  /// True from a rise of first-token time until a first token in time.
  [[nodiscard]] bool cold() const { return m_cold; }

  void setCapacity(std::size_t Capacity);
  /// \p LimitFactor in (0, 1] scales what the replica bears; \p Carry requests
  /// of an earlier owner may still run there.
  void setOwnership(double LimitFactor, std::size_t ResidualRequests);
  /// Back to slow start, for a replica that returns to service.
  void restartSlowStart();

  void onStart() { ++m_running; }
  /// \p Elapsed from start to first token.
  void onFirstToken(Duration Elapsed, TimePoint Now);
  /// A running request has had no first token for \p Elapsed. Detects a cold
  /// replica before its first token arrives.
  void onFirstTokenPending(Duration Elapsed);
  /// Mean time between tokens over a part of one stream.
  void onTokenInterval(Duration Interval, TimePoint Now);
  void onFinish(Outcome Result, TimePoint Now);
  /// Load as the replica reports it. It lags, so waiting requests there lower
  /// the limit and an empty queue there changes nothing.
  void onReportedLoad(std::size_t Running, std::size_t Waiting, TimePoint Now);

private:
  [[nodiscard]] bool indicatesCold(Duration Elapsed) const;
  void markCold();
  void grow();
  void decrease(TimePoint Now);
  [[nodiscard]] double maxLimit() const;

  LimiterSettings m_settings;
  std::size_t m_capacity;
  double m_limitFactor = 1.0;
  std::size_t m_residualRequests = 0;
  std::size_t m_running = 0;
  /// At least 1 and at most m_bears.
  double m_limit = 1.0;
  bool m_slowStart = true;
  bool m_cold = false;
  /// Nanoseconds; 0 until the first sample.
  double m_firstTokenBaseline = 0.0;
  double m_intervalBaseline = 0.0;
  /// Moving mean of the samples; single ones vary with chunk sizes.
  double m_intervalMean = 0.0;
  TimePoint m_lastDecrease{};
};

} // namespace nutmegdrift::policy

#endif
