// Limits of the waiting time, by target, reading time and the mean of others.
#include "nutmegdrift/routing/wait_limit.h"

#include <algorithm>

namespace nutmegdrift::routing {

void WaitLimit::observe(Duration Target, Duration Reading) {
  if (m_means.size() >= MaxTargets && !m_means.contains(Target))
    return;
  Mean &Observed = m_means[Target];
  Observed.Samples += 1.0;
  const double Weight = std::max(1.0 / Observed.Samples, Smoothing);
  const double Ms = std::chrono::duration<double, std::milli>(Reading).count();
  Observed.ReadingMs += Weight * (Ms - Observed.ReadingMs);
}

Duration WaitLimit::firstToken(Duration Target, Duration Reading) {
  return std::max(Target, Reading + LargePromptSlack);
}

Duration WaitLimit::surplus(Duration Target, Duration Reading) const {
  const auto Observed = m_means.find(Target);
  if (Observed == m_means.end())
    return Duration{0};
  const auto LargeReading = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(LargePrompt *
                                                Observed->second.ReadingMs));
  const auto Shared =
      std::max(Target - LargeReading,
               std::chrono::duration_cast<Duration>(Target * MinShare));
  return std::max(waiting(Target, Reading) - Shared, Duration{0});
}

} // namespace nutmegdrift::routing
