// Division of a cold replica's request rate between daemons.
#include "nutmegdrift/routing/cold_allowance.h"

namespace nutmegdrift::routing {

namespace {

constexpr double DispatcherShare = 0.7;
constexpr double OthersShare = 0.3;
/// Daemons beside the dispatcher that may send to cold replicas. Each one's
/// bucket holds one request; all of them must stay within the allowed overage.
constexpr std::size_t MaxSenders = 8;
/// Share of a named rate for all daemons beside the dispatcher, and how many of
/// them may use it.
constexpr double ExcessShare = 0.2;
constexpr std::size_t MaxLimitedSenders = 4;
/// A daemon that has just started does not know the number of daemons yet.
constexpr Duration DiscoveryTime = std::chrono::seconds(2);

} // namespace

double coldShare(bool IsDispatcher, std::size_t Daemons, Duration Uptime,
                 std::uint64_t Draw) {
  if (Uptime < DiscoveryTime)
    return 0.0;
  if (IsDispatcher)
    return DispatcherShare;
  const std::size_t Others = std::max<std::size_t>(Daemons, 1);
  if (Others > MaxSenders && Draw % Others >= MaxSenders)
    return 0.0;
  return OthersShare / static_cast<double>(std::min(Others, MaxSenders));
}

double limitShare(bool IsDispatcher, std::size_t Daemons, std::uint64_t Draw) {
  if (IsDispatcher)
    return 1.0;
  const std::size_t Others = std::max<std::size_t>(Daemons, 1);
  if (Others > MaxLimitedSenders && Draw % Others >= MaxLimitedSenders)
    return 0.0;
  return ExcessShare / static_cast<double>(std::min(Others, MaxLimitedSenders));
}

} // namespace nutmegdrift::routing
