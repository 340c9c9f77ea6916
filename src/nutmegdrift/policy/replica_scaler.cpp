// Bounds of the demand to come, and the orders that follow from them.
#include "nutmegdrift/policy/replica_scaler.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace nutmegdrift::policy {

namespace {

double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

std::string wholeNumber(double Value) {
  return std::to_string(std::llround(Value));
}

} // namespace

void ReplicaScaler::report(const std::string &Service, const DaemonName &Daemon,
                           const DemandReport &Report, TimePoint Now) {
  m_services[Service].Reports[Daemon] = {Report, Now};
}

bool ReplicaScaler::takeSample(Track &Tracked, const ServiceState &State,
                               double HeardShare, TimePoint Now) const {
  std::erase_if(Tracked.Reports, [&](const auto &Entry) {
    return Now - Entry.second.second > ReportRetention;
  });
  double Current = 0.0;
  double Missing = 0.0;
  double Unserved = 0.0;
  bool Known = false;
  bool Partial = HeardShare < MinHeardForLess;
  for (const auto &[Daemon, Entry] : Tracked.Reports) {
    const auto &[Report, At] = Entry;
    if (Now - At > CurrentReport) {
      Missing += Report.Replicas;
      continue;
    }
    Known = true;
    Current += Report.Replicas;
    Unserved += Report.UnservedShare * Report.Replicas;
    Partial = Partial || Report.Measured < MinMeasured;
  }
  // Before the first requests, replicas may still register: their number says
  // nothing, and no demand has been measured.
  if (Known && std::max(Current, Missing) >= SignificantDemand)
    Tracked.Requested = true;
  if (!Known || HeardShare < MinHeard || !Tracked.Requested) {
    Tracked.CompleteSince.reset();
    if (HeardShare < MinHeard)
      Tracked.KnownSince.reset();
    return false;
  }
  if (!Tracked.KnownSince || Tracked.Samples.empty() ||
      Now - Tracked.Samples.back().At > MaxGap)
    Tracked.KnownSince = Now;
  if (Partial || Missing > SignificantDemand)
    Tracked.CompleteSince.reset();
  else if (!Tracked.CompleteSince)
    Tracked.CompleteSince = Now;
  // The requests of a lost dispatcher go to another one, so the two must not be
  // added.
  Sample Next{.At = Now,
              .Demand = std::max(Current, Missing),
              .UnservedShare = Current > 0.0 ? Unserved / Current : 0.0};
  for (const auto &[Zone, Replicas] : State.Zones)
    Next.Failing[Zone] = Replicas.Failing;
  std::vector<double> Recent{Next.Demand};
  for (const Sample &Earlier : Tracked.Samples)
    if (Now - Earlier.At <= LevelTime)
      Recent.push_back(Earlier.Demand);
  Next.Level = median(std::move(Recent));
  Tracked.Samples.push_back(std::move(Next));
  while (Now - Tracked.Samples.front().At > m_options.Period)
    Tracked.Samples.pop_front();
  return true;
}

ReplicaScaler::Crest ReplicaScaler::crest(const Track &Tracked,
                                          const ServiceState &State,
                                          TimePoint Now) const {
  const double Level = Tracked.Samples.back().Level;
  const double Swing = m_options.Swing;
  double Highest = Level;
  double HighestBefore = 0.0; ///< Up to LevelTime ago.
  double Before = Level;      ///< LevelTime ago.
  for (const Sample &Each : Tracked.Samples) {
    // The first levels are medians of few samples.
    if (Each.At - *Tracked.KnownSince < LevelTime)
      continue;
    Highest = std::max(Highest, Each.Level);
    if (Now - Each.At < LevelTime)
      continue;
    HighestBefore = std::max(HighestBefore, Each.Level);
    Before = Each.Level;
  }
  // If the crest was not seen yet, it lies in the part of the period that was
  // not seen; the highest level seen is at least that at the part's edges.
  const double Seen =
      Tracked.CompleteSince
          ? std::min(1.0, inSeconds(Now - *Tracked.CompleteSince) /
                              inSeconds(m_options.Period))
          : 0.0;
  const double AtEdge = std::cos(std::numbers::pi * (1.0 - Seen));
  const double Unseen = Highest * (1.0 + Swing) / (1.0 + Swing * AtEdge);
  Crest Out{.AtLeast = Highest, .AtMost = Unseen};
  // Demand above the crest of the last period is a new load. It goes on to rise
  // while new replicas start, but by no more than the wave does.
  if (Seen >= 1.0 && Level > NewLoad * HighestBefore) {
    const double Rise = (Level - Before) / inSeconds(LevelTime) *
                        inSeconds(State.Bounds.Startup);
    Out.AtLeast = std::min(Level + Rise, Level * (1.0 + Swing));
    Out.AtMost = std::max(Out.AtMost, Out.AtLeast);
  }
  return Out;
}

bool ReplicaScaler::overloaded(const Track &Tracked, double Serving,
                               TimePoint Now) {
  std::vector<double> Unserved;
  for (const Sample &Each : Tracked.Samples)
    if (Now - Each.At <= LevelTime)
      Unserved.push_back(Each.UnservedShare);
  const double Level = Tracked.Samples.back().Level;
  return Level > OverloadDemand * Serving ||
         (median(std::move(Unserved)) > OverloadUnserved &&
          Level > MinOverloadDemand * Serving);
}

void ReplicaScaler::decide(Track &Tracked, const ServiceState &State,
                           TimePoint Now) const {
  double Serving = 0.0;
  double Open = 0.0;
  std::map<std::string, unsigned> Failing;
  for (const auto &[Zone, Order] : Tracked.Zones) {
    if (State.Evacuated.contains(Zone))
      continue;
    ++Open;
    // Those that failed for all of LevelTime.
    unsigned Lasting = State.Bounds.Maximum;
    for (const Sample &Each : Tracked.Samples)
      if (Now - Each.At <= LevelTime) {
        const auto Known = Each.Failing.find(Zone);
        Lasting =
            std::min(Lasting, Known == Each.Failing.end() ? 0 : Known->second);
      }
    Failing[Zone] = Lasting;
    if (const auto Known = State.Zones.find(Zone); Known != State.Zones.end())
      Serving += Known->second.Present -
                 std::min(Known->second.Present, Known->second.Failing);
  }
  if (Open == 0.0)
    return;
  const Crest Demand = crest(Tracked, State, Now);
  const bool Overload = overloaded(Tracked, Serving, Now);
  const bool MayOrderLess =
      Tracked.CompleteSince && Now - *Tracked.CompleteSince >= DownDelay &&
      !State.InRollout && Now - Tracked.LastLess >= DownInterval &&
      Now - Tracked.LastMore >= State.Bounds.Startup;
  const auto PerZone = [&](double Replicas, const std::string &Zone) {
    const double Count =
        std::ceil(Replicas / m_options.TargetUse / Open) + Failing.at(Zone);
    return static_cast<unsigned>(
        std::clamp<double>(Count, State.Bounds.Minimum, State.Bounds.Maximum));
  };
  for (auto &[Zone, Order] : Tracked.Zones) {
    if (State.Evacuated.contains(Zone))
      continue;
    const unsigned Step = std::max(
        1U, static_cast<unsigned>(std::lround(MinChange * Order.Count)));
    const unsigned More =
        Overload ? State.Bounds.Maximum : PerZone(Demand.AtLeast, Zone);
    const unsigned Less = PerZone(Demand.AtMost, Zone);
    const std::string Figures =
        "demand " + wholeNumber(Tracked.Samples.back().Level) + ", crest " +
        wholeNumber(Demand.AtLeast) + " to " + wholeNumber(Demand.AtMost) +
        ", serving " + wholeNumber(Serving) + ", failing in the zone " +
        std::to_string(Failing.at(Zone));
    if (More >= Order.Count + Step) {
      Order = {.Count = More,
               .Changed = true,
               .Reason = (Overload ? "overload: " : "more: ") + Figures};
      Tracked.LastMore = Now;
    } else if (!Overload && MayOrderLess && Less + Step <= Order.Count) {
      const auto Largest =
          std::max(1U, static_cast<unsigned>(DownStep * Order.Count));
      Order = {.Count = std::max(Less, Order.Count - Largest),
               .Changed = true,
               .Reason = "less: " + Figures};
      Tracked.LastLess = Now;
    }
  }
}

void ReplicaScaler::update(TimePoint Now, double HeardShare,
                           const std::vector<ServiceState> &Services) {
  std::erase_if(m_services, [&](const auto &Entry) {
    return std::none_of(Services.begin(), Services.end(),
                        [&](const ServiceState &State) {
                          return State.Service == Entry.first;
                        }) &&
           HeardShare >= MinHeard;
  });
  for (const ServiceState &State : Services) {
    Track &Tracked = m_services[State.Service];
    if (HeardShare >= MinHeard)
      for (const auto &[Zone, Replicas] : State.Zones) {
        ZoneOrder &Order = Tracked.Zones[Zone];
        // Replicas that crash later must not lower the number found.
        if (!Order.Changed)
          Order.Count = std::max(Order.Count, Replicas.Present);
      }
    if (takeSample(Tracked, State, HeardShare, Now) &&
        Now - *Tracked.KnownSince >= UpDelay)
      decide(Tracked, State, Now);
  }
}

std::vector<ReplicaOrder> ReplicaScaler::orders() const {
  std::vector<ReplicaOrder> Out;
  for (const auto &[Service, Tracked] : m_services)
    for (const auto &[Zone, Order] : Tracked.Zones)
      if (Order.Changed)
        Out.push_back({.Service = Service,
                       .Zone = Zone,
                       .Count = Order.Count,
                       .Reason = Order.Reason});
  return Out;
}

void ReplicaScaler::setOrders(const std::vector<ReplicaOrder> &InForce) {
  for (const ReplicaOrder &Order : InForce)
    m_services[Order.Service].Zones[Order.Zone] = {
        .Count = Order.Count, .Changed = true, .Reason = Order.Reason};
}

} // namespace nutmegdrift::policy
