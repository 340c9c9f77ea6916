// Shares of the rate that cold replicas bear.
#include "nutmegdrift/routing/cold_allowance.h"

namespace nutmegdrift::routing {

namespace {

constexpr double DispatcherShare = 0.7;
constexpr double OthersShare = 0.3;
/// Daemons beside the dispatcher that may feed cold replicas. Each may save up
/// one request, and together they must stay inside the tolerated overage.
constexpr std::size_t Feeders = 8;
/// A daemon that just started does not know the others yet.
constexpr Duration LearningTime = std::chrono::seconds(2);

} // namespace

double coldShare(bool IsDispatcher, std::size_t Daemons, Duration Uptime,
                 std::uint64_t Draw) {
  if (Uptime < LearningTime)
    return 0.0;
  if (IsDispatcher)
    return DispatcherShare;
  const std::size_t Others = std::max<std::size_t>(Daemons, 1);
  if (Others > Feeders && Draw % Others >= Feeders)
    return 0.0;
  return OthersShare / static_cast<double>(std::min(Others, Feeders));
}

} // namespace nutmegdrift::routing
