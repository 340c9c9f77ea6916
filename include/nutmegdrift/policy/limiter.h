// Adaptive concurrency limit of one replica, driven by latency, errors and
// refusals.
#ifndef NUTMEGDRIFT_POLICY_LIMITER_H
#define NUTMEGDRIFT_POLICY_LIMITER_H

#include "nutmegdrift/base/clock.h"

#include <cstddef>

namespace nutmegdrift::policy {

/// How a request ended at its replica.
enum class Outcome {
  Completed, ///< The complete answer arrived.
  Refused,   ///< The replica refused it or did not accept the connection.
  Failed,    ///< Error, truncation or no more data after the start.
  Cancelled, ///< Cancelled by the caller; no evidence about the replica.
};

struct LimiterSettings {
  /// A time between tokens above this multiple of the baseline means overload.
  double InflationRatio = 1.5;
  /// A first-token time above this multiple of the baseline means that the
  /// replica is cold. Prompts of usual lengths differ by less than this.
  double ColdRatio = 4.0;
  /// First-token times below this never count as cold, whatever the baseline.
  Duration MinColdFirstToken = std::chrono::milliseconds(100);
  /// Factor on the limit after inflated latency, an error or a refusal.
  double DecreaseFactor = 0.7;
  /// At most one decrease in this time, so that one incident that fails
  /// several running requests counts once.
  Duration MinDecreaseInterval = std::chrono::seconds(1);
};

/// Not thread-safe. The limit starts at 1 and grows by 1 for each first token
/// that arrives in time (slow start) until the first decrease, and by 1/limit
/// after it. It never exceeds the replica's capacity.
class Limiter {
public:
  Limiter(std::size_t Capacity, LimiterSettings Settings = {});

  /// Requests that this owner may run at once; 0 while requests of an earlier
  /// owner may fill the replica.
  [[nodiscard]] std::size_t limit() const;
  [[nodiscard]] std::size_t running() const { return m_running; }
  /// Free slots.
  [[nodiscard]] std::size_t free() const;
  /// True from a rise of the first-token time until a first token in time.
  [[nodiscard]] bool cold() const { return m_cold; }

  void setCapacity(std::size_t Capacity);
  /// \p LimitFactor in (0, 1] scales the capacity; \p ResidualRequests of an
  /// previous owner may still run at the replica.
  void setOwnership(double LimitFactor, std::size_t ResidualRequests);
  /// For a replica that returns to service.
  void restartSlowStart();

  void onStart() { ++m_running; }
  /// \p Elapsed is the time from start to first token.
  void onFirstToken(Duration Elapsed, TimePoint Now);
  /// A running request has waited \p Elapsed for its first token. Detects a
  /// cold replica before that token arrives.
  void onFirstTokenPending(Duration Elapsed);
  /// \p Interval is the mean time between tokens over a part of one stream.
  void onTokenInterval(Duration Interval, TimePoint Now);
  void onFinish(Outcome Result, TimePoint Now);
  /// Load in requests as the replica reports it. The report lags, so waiting
  /// requests lower the limit, but an empty queue does not raise it.
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
  /// At least 1 and at most m_capacity.
  double m_limit = 1.0;
  bool m_slowStart = true;
  bool m_cold = false;
  /// Baselines in nanoseconds; 0 until the first sample.
  double m_firstTokenBaseline = 0.0;
  double m_intervalBaseline = 0.0;
  /// Moving mean of the samples; single samples vary with chunk sizes.
  double m_intervalMean = 0.0;
  TimePoint m_lastDecrease{};
};

} // namespace nutmegdrift::policy

#endif
