// Sequential tests on paired samples of two versions.
#include "nutmegdrift/policy/version_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace nutmegdrift::policy {

namespace {

/// Share of the capital that is not invested after Count pairs. It falls so
/// slowly that a fault that starts late costs little more than the logarithm of
/// the count.
double uninvestedShare(std::uint64_t Count) {
  return std::log(2.0) / std::log(static_cast<double>(Count) + 2.0);
}

/// False-alarm probability assigned to one signal of the route with this rank.
/// The sum over any number of routes is at most FalseAlarm.
double falseAlarmShare(std::uint64_t Rank) {
  const auto RouteRank = static_cast<double>(Rank);
  return VersionJudge::FalseAlarm / (RouteRank * (RouteRank + 1) *
                                     static_cast<double>(VersionSignalCount));
}

/// Whether the new version was worse (true) or better (false) in this pair;
/// nothing if both did equally well.
std::optional<bool> compareFailures(const VersionSample &New,
                                    const VersionSample &Old) {
  if (New.Failed == Old.Failed)
    return std::nullopt;
  return New.Failed;
}

std::optional<bool> compareTimes(Duration New, Duration Old,
                                 Duration MinDifference) {
  if (New.count() <= 0 || Old.count() <= 0)
    return std::nullopt;
  // Symmetric about the tolerance, or versions at it would look worse.
  const double Tolerated =
      static_cast<double>(Old.count()) * VersionJudge::Tolerance;
  if (std::abs(static_cast<double>(New.count()) - Tolerated) <
      static_cast<double>(MinDifference.count()))
    return std::nullopt;
  const double Ratio = static_cast<double>(New.count()) / Tolerated;
  if (Ratio > VersionJudge::EqualityBand)
    return true;
  if (Ratio < 1.0 / VersionJudge::EqualityBand)
    return false;
  return std::nullopt;
}

/// Upper bound of the mean number of events, two standard deviations above a
/// number that was counted.
double upperBound(double Count) {
  return Count + 1.0 + 2.0 * std::sqrt(Count + 1.0);
}

/// Shares of an event at a version whose share is Good, and at one that is
/// worse. Where most outcomes are such events, little room is left between.
EventShares sharesFrom(double Good) {
  const double Limited =
      std::min(VersionJudge::GoodExcess + Good, VersionJudge::MaxGoodShare);
  return {.Good = Limited,
          .Bad = std::min(Limited + VersionJudge::BadExcess,
                          (1.0 + Limited) / 2.0)};
}

void storeUnpaired(std::deque<VersionSample> &Unpaired,
                   const VersionSample &Sample) {
  Unpaired.push_back(Sample);
  if (Unpaired.size() > VersionJudge::MaxUnpaired)
    Unpaired.pop_front();
}

/// Drops samples from before Oldest, but keeps the last ones whatever their
/// age: while all requests go to the new version, they are all that it can be
/// compared with.
void dropBefore(std::deque<VersionSample> &Samples, TimePoint Oldest,
                std::size_t Kept) {
  while (Samples.size() > Kept && Samples.front().CompletedAt < Oldest)
    Samples.pop_front();
}

/// The median of the samples whose time is known; nothing if none is.
std::optional<Duration> median(const std::deque<VersionSample> &Samples,
                               Duration VersionSample::*Time) {
  std::vector<Duration> Times;
  Times.reserve(Samples.size());
  for (const VersionSample &Each : Samples)
    if (!Each.WaitOnly)
      Times.push_back(Each.*Time);
  if (Times.empty())
    return std::nullopt;
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

std::optional<VersionSample> popPartner(std::deque<VersionSample> &Unpaired,
                                        TimePoint Now) {
  while (!Unpaired.empty() &&
         Now - Unpaired.front().CompletedAt > VersionJudge::PairWindow)
    Unpaired.pop_front();
  if (Unpaired.empty())
    return std::nullopt;
  const auto Partner = Unpaired.back();
  Unpaired.pop_back();
  return Partner;
}

/// The first token after which an answer is slow.
Duration slowFirstToken(Duration Median) {
  const auto Factored = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Median) * VersionJudge::FirstTokenFactor);
  return std::max(Factored, Median + VersionJudge::MinFirstTokenDifference);
}

bool lacksEvidence(const RouteJudgement &Route) {
  return std::ranges::all_of(Route.Tests, [](const auto &Test) {
    return SequentialTest(Test).wealth() <= VersionJudge::MaxGoodWealth;
  });
}

} // namespace

std::string_view toString(VersionSignal Signal) {
  static constexpr std::array<std::string_view, VersionSignalCount> Names = {
      "errors", "first-token", "token-gap"};
  return Names.at(static_cast<std::size_t>(Signal));
}

std::string toString(const VersionDoubt &Doubt) {
  return std::string(toString(Doubt.Signal)) +
         (Doubt.Route.empty() ? "" : " on " + Doubt.Route) + " after " +
         std::to_string(Doubt.Compared) + " samples";
}

void SequentialTest::add(bool Worse) {
  const double Invested =
      uninvestedShare(m_state.Count) - uninvestedShare(m_state.Count + 1);
  for (std::size_t I = 0; I < Stakes.size(); ++I)
    m_state.Wealth.at(I) = (m_state.Wealth.at(I) + Invested) *
                           (1.0 + (Worse ? Stakes.at(I) : -Stakes.at(I)));
  ++m_state.Count;
}

double SequentialTest::wealth() const {
  const double Sum =
      std::accumulate(m_state.Wealth.begin(), m_state.Wealth.end(), 0.0);
  return Sum / static_cast<double>(Stakes.size()) +
         uninvestedShare(m_state.Count);
}

VersionJudge::VersionJudge(const std::vector<RouteJudgement> &Saved) {
  for (const auto &Route : Saved)
    m_routes[Route.Route].Saved = Route;
}

VersionJudge::RouteState &VersionJudge::routeState(const RouteName &Route) {
  auto [It, Added] = m_routes.try_emplace(Route);
  if (Added) {
    It->second.Saved.Route = Route;
    It->second.Saved.Rank = m_routes.size();
  }
  return It->second;
}

void VersionJudge::addPace(const VersionSample &Sample) {
  ++(Sample.FromNewVersion ? m_newStreams : m_oldStreams);
  RouteState &Route = m_paceSamples[Sample.Route];
  storeUnpaired(Sample.FromNewVersion ? Route.New : Route.Old, Sample);
  comparePaces(Route, Sample.CompletedAt);
}

void VersionJudge::comparePaces(RouteState &Route, TimePoint Now) {
  dropBefore(Route.Old, Now - PairWindow, MinOldPaces);
  if (Route.New.empty() || Route.Old.size() < MinOldPaces)
    return;
  const Duration Middle =
      median(Route.Old, &VersionSample::TokenGap).value_or(Duration{0});
  constexpr EventShares Shares{.Good = GoodSlowShare, .Bad = BadSlowShare};
  for (const VersionSample &New : std::exchange(Route.New, {})) {
    const bool Slow = static_cast<double>(New.TokenGap.count()) >
                      PaceFactor * static_cast<double>(Middle.count());
    ++m_comparedPaces;
    addEvent(New.Route, VersionSignal::TokenGap, Slow, Shares, Shares);
  }
}

void VersionJudge::addFirstToken(const VersionSample &Sample) {
  if (Sample.Failed || Sample.Cold || Sample.WaitReported ||
      Sample.FirstToken.count() <= 0)
    return;
  m_oldFirstTokens += Sample.FromNewVersion ? 0 : 1;
  RouteState &Route = m_firstTokenSamples[Sample.Route];
  storeUnpaired(Sample.FromNewVersion ? Route.New : Route.Old, Sample);
  compareFirstTokens(Route, Sample.CompletedAt);
}

void VersionJudge::compareFirstTokens(RouteState &Route, TimePoint Now) {
  dropBefore(Route.Old, Now - FailureWindow, MinOldFirstTokens);
  const auto Middle = median(Route.Old, &VersionSample::FirstToken);
  if (Route.New.empty() || Route.Old.size() < MinBaseline || !Middle)
    return;
  const Duration SlowTime = slowFirstToken(*Middle);
  const auto Slow = [SlowTime](const VersionSample &Sample) {
    return Sample.FirstToken >= SlowTime;
  };
  // A caller who left before the answer was slow tells nothing.
  const auto Known = [&](const VersionSample &Sample) {
    return !Sample.WaitOnly || Slow(Sample);
  };
  const Baseline Old{
      .Events = static_cast<std::size_t>(
          std::count_if(Route.Old.begin(), Route.Old.end(), Slow)),
      .All = static_cast<std::size_t>(
          std::count_if(Route.Old.begin(), Route.Old.end(), Known)),
      .Recent = Now - Route.Old.back().CompletedAt <= PairWindow};
  for (const VersionSample &New : std::exchange(Route.New, {}))
    if (Known(New))
      addEvent(New.Route, VersionSignal::FirstToken, Slow(New), Old);
}

std::optional<Duration> VersionJudge::slowTime(const RouteName &Route) const {
  const auto Entry = m_firstTokenSamples.find(Route);
  if (Entry == m_firstTokenSamples.end() ||
      Entry->second.Old.size() < MinBaseline)
    return std::nullopt;
  const auto Middle = median(Entry->second.Old, &VersionSample::FirstToken);
  return Middle ? std::optional(slowFirstToken(*Middle)) : std::nullopt;
}

void VersionJudge::countFailure(const VersionSample &Sample) {
  auto &Old = m_oldFailures[Sample.Route];
  while (Old.size() > MinOldOutcomes &&
         Sample.CompletedAt - Old.front().first > FailureWindow)
    Old.pop_front();
  if (!Sample.FromNewVersion) {
    Old.emplace_back(Sample.CompletedAt, Sample.Failed);
    return;
  }
  if (Old.empty())
    return;
  addEvent(Sample.Route, VersionSignal::Errors, Sample.Failed,
           {.Events = static_cast<std::size_t>(
                std::count_if(Old.begin(), Old.end(),
                              [](const auto &Each) { return Each.second; })),
            .All = Old.size(),
            .Recent = Sample.CompletedAt - Old.back().first <= PairWindow});
}

void VersionJudge::addEvent(const RouteName &Route, VersionSignal Signal,
                            bool Event, const Baseline &Old) {
  if (Old.All < MinBaseline)
    return;
  const auto Events = static_cast<double>(Old.Events);
  const auto All = static_cast<double>(Old.All);
  std::optional<EventShares> Against;
  if (Old.Recent)
    Against = sharesFrom(upperBound(Events) / All);
  addEvent(Route, Signal, Event, Against,
           sharesFrom((Events + 0.5) / (All + 1.0)));
}

void VersionJudge::addEvent(const RouteName &Route, VersionSignal Signal,
                            bool Event,
                            const std::optional<EventShares> &Against,
                            const EventShares &Remaining) {
  const auto Index = static_cast<std::size_t>(Signal);
  SignalRatios &All = m_ratios.at(Index);
  SignalRatios &OfRoute = m_routeRatios[Route].at(Index);
  for (SignalRatios *Ratios : {&All, &OfRoute}) {
    ++Ratios->Compared;
    Ratios->Remaining.add(Event, Remaining);
    if (Against)
      Ratios->Against.add(Event, *Against);
  }
  if (!m_finding && (All.Against.value() >= BadRatio ||
                     OfRoute.Against.value() >= BadRouteRatio))
    m_finding = {Route, Signal, All.Compared};
}

bool VersionJudge::applies(VersionSignal Signal) const {
  switch (Signal) {
  case VersionSignal::Errors:
    return true;
  case VersionSignal::FirstToken:
    return m_oldFirstTokens >= MinFirstTokensToProve;
  case VersionSignal::TokenGap:
    return m_oldStreams >= MinStreamsToProve;
  }
  return true;
}

void VersionJudge::requireMoreProof() {
  for (SignalRatios &Ratios : m_ratios)
    Ratios.Remaining.raiseTo(ReproofRatio);
}

std::optional<VersionDoubt> VersionJudge::doubt() const {
  for (std::size_t I = 0; I < VersionSignalCount; ++I)
    if (applies(static_cast<VersionSignal>(I)) &&
        m_ratios.at(I).Remaining.value() > ProvenRatio)
      return VersionDoubt{
          {}, static_cast<VersionSignal>(I), m_ratios.at(I).Compared};
  for (const auto &[Route, Outcomes] : m_routeOutcomes)
    if (const std::uint64_t Old = Outcomes.All - Outcomes.New;
        Old >= MinRouteOutcomes)
      if (auto Doubt = doubtOn(
              Route, Old >= ProvableRouteOutcomes ? ProvenRouteRatio : 1.0))
        return Doubt;
  return std::nullopt;
}

std::optional<VersionDoubt> VersionJudge::doubtOn(const RouteName &Route,
                                                  double Ratio) const {
  const auto Entry = m_routeRatios.find(Route);
  const Ratios Known = Entry == m_routeRatios.end() ? Ratios() : Entry->second;
  const auto IsOpen = [&](VersionSignal Signal) {
    return Known.at(static_cast<std::size_t>(Signal)).Remaining.value() > Ratio;
  };
  const auto DoubtAbout = [&](VersionSignal Signal) {
    return VersionDoubt{Route, Signal,
                        Known.at(static_cast<std::size_t>(Signal)).Compared};
  };
  if (IsOpen(VersionSignal::Errors))
    return DoubtAbout(VersionSignal::Errors);
  if (slowTime(Route) && IsOpen(VersionSignal::FirstToken))
    return DoubtAbout(VersionSignal::FirstToken);
  // Few streams have a pace, so all routes are tested together.
  return std::nullopt;
}

std::optional<VersionSignal> VersionJudge::suspicion() const {
  for (std::size_t I = 0; I < m_ratios.size(); ++I)
    if (m_ratios.at(I).Against.value() >= SuspectRatio ||
        std::ranges::any_of(m_routes, [&](const auto &Entry) {
          return SequentialTest(Entry.second.Saved.Tests.at(I)).wealth() >=
                 SuspectWealth;
        }))
      return static_cast<VersionSignal>(I);
  return std::nullopt;
}

bool VersionJudge::starved(double MeantShare) const {
  const auto All = static_cast<double>(m_oldStreams + m_newStreams);
  return m_oldStreams >= MinStreamsToStarve &&
         static_cast<double>(m_newStreams) < All * MeantShare * StarvedPart;
}

double VersionJudge::evidence() const {
  double Most = 1.0;
  for (const SignalRatios &Ratios : m_ratios)
    Most = std::max(Most, Ratios.Against.value());
  for (const auto &[Name, Route] : m_routes)
    for (const auto &Test : Route.Saved.Tests)
      Most = std::max(Most, SequentialTest(Test).wealth());
  return Most;
}

void VersionJudge::add(const VersionSample &Sample) {
  if (Sample.PaceOnly) {
    addPace(Sample);
    return;
  }
  if (Sample.WaitOnly) {
    addFirstToken(Sample);
    return;
  }
  OutcomeCounts &Counts = Sample.FromNewVersion ? m_newOutcomes : m_oldOutcomes;
  ++Counts.All;
  Counts.Failed += Sample.Failed ? 1U : 0U;
  RouteOutcomes &OfRoute = m_routeOutcomes[Sample.Route];
  ++OfRoute.All;
  OfRoute.Failed += Sample.Failed ? 1U : 0U;
  OfRoute.New += Sample.FromNewVersion ? 1U : 0U;
  OfRoute.NewFailed += Sample.FromNewVersion && Sample.Failed ? 1U : 0U;
  auto &Route = routeState(Sample.Route);
  countFailure(Sample);
  addFirstToken(Sample);
  auto &Partners = Sample.FromNewVersion ? Route.Old : Route.New;
  if (const auto Partner = popPartner(Partners, Sample.CompletedAt))
    Sample.FromNewVersion ? compare(Route, Sample, *Partner)
                          : compare(Route, *Partner, Sample);
  else
    storeUnpaired(Sample.FromNewVersion ? Route.New : Route.Old, Sample);
}

void VersionJudge::compare(RouteState &Route, const VersionSample &New,
                           const VersionSample &Old) {
  ++Route.Saved.Pairs;
  test(Route, VersionSignal::Errors, compareFailures(New, Old));
  if (!New.Failed && !Old.Failed) {
    if (!New.Cold && !Old.Cold)
      test(Route, VersionSignal::FirstToken,
           compareTimes(New.FirstToken, Old.FirstToken,
                        MinFirstTokenDifference));
    test(Route, VersionSignal::TokenGap,
         compareTimes(New.TokenGap, Old.TokenGap, Duration{0}));
  }
  conclude(Route);
}

void VersionJudge::test(RouteState &Route, VersionSignal Signal,
                        std::optional<bool> Worse) {
  if (!Worse)
    return;
  auto &Saved = Route.Saved.Tests.at(static_cast<std::size_t>(Signal));
  SequentialTest Test(Saved);
  Test.add(*Worse);
  Saved = Test.state();
  if (!m_finding && Test.wealth() * falseAlarmShare(Route.Saved.Rank) >= 1.0)
    m_finding = {Route.Saved.Route, Signal, Route.Saved.Pairs};
}

void VersionJudge::conclude(RouteState &Route) {
  if (Route.Saved.Pairs >= MinGoodPairs && lacksEvidence(Route.Saved))
    Route.Saved.Good = true;
}

void VersionJudge::judgeWithFewPairs() {
  for (auto &[Name, Route] : m_routes)
    if (Route.Saved.Pairs > 0 && lacksEvidence(Route.Saved))
      Route.Saved.Good = true;
}

RouteVerdict VersionJudge::verdict(const RouteName &Route) const {
  if (m_finding && m_finding->Route == Route)
    return RouteVerdict::Bad;
  const auto Entry = m_routes.find(Route);
  return Entry != m_routes.end() && Entry->second.Saved.Good
             ? RouteVerdict::Good
             : RouteVerdict::Undecided;
}

std::vector<RouteName> VersionJudge::routes() const {
  std::vector<RouteName> Out;
  for (const auto &[Name, Route] : m_routes)
    Out.push_back(Name);
  return Out;
}

std::vector<RouteJudgement> VersionJudge::state() const {
  std::vector<RouteJudgement> Out;
  for (const auto &[Name, Route] : m_routes)
    Out.push_back(Route.Saved);
  return Out;
}

} // namespace nutmegdrift::policy
