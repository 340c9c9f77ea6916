// Compares a new version with the old one while both serve, per route, by
// errors, first-token time and time between tokens.
#ifndef NUTMEGDRIFT_POLICY_VERSION_JUDGE_H
#define NUTMEGDRIFT_POLICY_VERSION_JUDGE_H

#include "nutmegdrift/base/clock.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegdrift::policy {

/// The workspace plan. A judge serves one target, so the plan identifies the
/// route.
using RouteName = std::string;

/// The outcome of one request.
struct VersionSample {
  RouteName Route;
  bool FromNewVersion = false; ///< Served by the new version.
  bool Failed = false;
  bool Cold = false; ///< The replica was in slow start; its first-token time
                     ///< is not compared.
  Duration FirstToken{0};
  Duration TokenGap{0}; ///< Mean time between tokens; 0 if unknown.
  TimePoint CompletedAt;
  /// Only TokenGap is known, because the request still runs or was cut. It is
  /// tested apart from the outcomes.
  bool PaceOnly = false;
  /// The answer has not begun, or its caller left before: FirstToken is a lower
  /// bound, and the sample is no outcome.
  bool WaitOnly = false;
  /// A WaitOnly sample of the same request went before.
  bool WaitReported = false;

  friend bool operator==(const VersionSample &,
                         const VersionSample &) = default;
};

enum class VersionSignal { Errors, FirstToken, TokenGap };
inline constexpr std::size_t VersionSignalCount = 3;

/// "errors", "first-token" or "token-gap".
std::string_view toString(VersionSignal Signal);

/// Sequential test of whether "worse" is more likely than "better" in a series
/// of independent pairs. It may be evaluated after any number of pairs.
///
/// The test bets on "worse" with several stakes and invests its capital
/// gradually, so that a fault that starts late is found without first making up
/// for earlier losses. If "worse" is not more likely than "better", the total
/// is a non-negative martingale that starts at 1, so by Ville's inequality it
/// ever reaches 1/p with probability at most p.
class SequentialTest {
public:
  static constexpr std::array<double, 4> Stakes = {0.25, 0.5, 0.75, 0.95};

  /// State from which another instance can continue.
  struct State {
    std::array<double, Stakes.size()> Wealth{};
    std::uint64_t Count = 0;

    friend bool operator==(const State &, const State &) = default;
  };

  SequentialTest() = default;
  explicit SequentialTest(const State &Saved) : m_state(Saved) {}

  void add(bool Worse);
  [[nodiscard]] double wealth() const;
  [[nodiscard]] const State &state() const { return m_state; }

private:
  State m_state;
};

enum class RouteVerdict { Undecided, Good, Bad };

/// The reason why a version was judged bad.
struct VersionFinding {
  RouteName Route;
  VersionSignal Signal = VersionSignal::Errors;
  std::uint64_t Pairs = 0; ///< Compared on the route until then.

  friend bool operator==(const VersionFinding &,
                         const VersionFinding &) = default;
};

/// State of one route from which another controller can continue.
struct RouteJudgement {
  RouteName Route;
  std::uint64_t Rank = 0; ///< Order of appearance, from 1.
  std::uint64_t Pairs = 0;
  bool Good = false;
  std::array<SequentialTest::State, VersionSignalCount> Tests{};

  friend bool operator==(const RouteJudgement &,
                         const RouteJudgement &) = default;
};

/// Outcomes of requests at one version.
struct OutcomeCounts {
  std::uint64_t All = 0;
  std::uint64_t Failed = 0;

  friend bool operator==(const OutcomeCounts &,
                         const OutcomeCounts &) = default;
};

/// Probability of an event at a good version, and at a bad one.
struct EventShares {
  double Good = 0.0;
  double Bad = 0.0;
};

/// Likelihood ratio of a bad version against a good one, by how often an event
/// occurs. It has a floor, so that a good beginning doesn't hide a later fault.
class LikelihoodRatio {
public:
  static constexpr double MaxValue = 1e12;

  explicit LikelihoodRatio(double Floor, double Ceiling = MaxValue)
      : m_floor(Floor), m_ceiling(Ceiling) {}

  void raiseTo(double Value) { m_value = std::max(m_value, Value); }

  void add(bool Event, const EventShares &Shares) {
    const double Factor = Event ? Shares.Bad / Shares.Good
                                : (1.0 - Shares.Bad) / (1.0 - Shares.Good);
    m_value = std::clamp(m_value * Factor, m_floor, m_ceiling);
  }
  [[nodiscard]] double value() const { return m_value; }

private:
  double m_floor;
  double m_ceiling;
  double m_value = 1.0;
};

/// What is not known of a version. Neither bound of the sequential test is
/// reached, so the version may be good or bad.
struct VersionDoubt {
  RouteName Route; ///< Empty: all routes together.
  VersionSignal Signal = VersionSignal::Errors;
  std::uint64_t Compared = 0; ///< Samples of the new version until then.

  friend bool operator==(const VersionDoubt &, const VersionDoubt &) = default;
};

/// "errors on ROUTE after 12 samples".
std::string toString(const VersionDoubt &Doubt);

/// Pairs each sample of the new version with one of the old version on the same
/// route at the same time, and tests the pairs that differ. Pairing makes the
/// test insensitive to load or faults that affect both versions.
///
/// The probability that a version no worse than the old one is ever judged bad
/// is at most FalseAlarm over the whole rollout, all routes and all signals.
/// "No worse" includes times that are longer by the factor Tolerance.
///
/// Beside this, likelihood ratios test for large differences: more failures,
/// several times slower answers, and a several times slower pace of streams
/// that have not ended (VersionSample::PaceOnly). They use all outcomes of the
/// old version and so need fewer of the new one. Each has two bounds, as in
/// Wald's sequential test: at BadRatio the version is bad, at ProvenRatio it is
/// good, and between them doubt() says what is missing. They test all routes
/// together, and each route with enough requests by itself, because a version
/// may be bad on one route only. Not thread-safe.
class VersionJudge {
public:
  /// Probability of judging a good version bad, over one rollout.
  static constexpr double FalseAlarm = 0.01;
  /// A new version may be slower by this factor, because a rollout should not
  /// stop for differences that callers don't notice.
  static constexpr double Tolerance = 1.10;
  /// Times within this factor of each other count as equal, so that noise does
  /// not dilute the pairs that differ.
  static constexpr double EqualityBand = 1.10;
  /// Times to the first token that differ by less count as equal: callers don't
  /// notice it, and a busy processor adds as much to one request and not to
  /// another.
  static constexpr Duration MinFirstTokenDifference =
      std::chrono::milliseconds(10);
  /// Samples are paired only if they are at most this far apart.
  static constexpr Duration PairWindow = std::chrono::seconds(10);
  /// Unpaired samples kept, per route and version.
  static constexpr std::size_t MaxUnpaired = 64;
  /// Pairs required before a route is judged good.
  static constexpr std::uint64_t MinGoodPairs = 100;
  /// A route is not judged good while a test's wealth, which is the evidence
  /// against the version, is above this.
  static constexpr double MaxGoodWealth = 4.0;
  /// Likelihood ratio at which a version is bad, and that at which it must not
  /// get more requests. A slow version gets few of them, because its engines
  /// are soon full, and so yields little evidence.
  static constexpr double BadRatio = 500.0;
  static constexpr double SuspectRatio = 20.0;
  /// Of one route, of which there may be many.
  static constexpr double BadRouteRatio = 2000.0;
  /// Likelihood ratio at which a version is shown to be good, over all routes
  /// and on one route. The floor of the ratio is lower, so that a single event
  /// doesn't raise the doubt again.
  static constexpr double ProvenRatio = 0.05;
  static constexpr double ProvenRouteRatio = 0.25;
  static constexpr double MinRatio = 0.005;
  static constexpr double MaxRatio = 2.0;
  /// What requireMoreProof() raises the ratio to.
  static constexpr double ReproofRatio = 0.3;
  /// A route with fewer outcomes of the old version is judged together with
  /// the others only. With a few more, the version must not look worse than
  /// good there, because the trial yields too little to show that it is good.
  static constexpr std::uint64_t MinRouteOutcomes = 20;
  static constexpr std::uint64_t ProvableRouteOutcomes = 40;
  /// Streams and first tokens of the old version that must be known before the
  /// new version has to be proved by them.
  static constexpr std::uint64_t MinStreamsToProve = 100;
  static constexpr std::uint64_t MinFirstTokensToProve = 20;
  /// The same for the wealth of a paired test. It may be that large by chance
  /// in one of a hundred tests.
  static constexpr double SuspectWealth = 100.0;
  /// A good version may fail or be slow more often than the old one, as far as
  /// the outcomes of the old one show, by this share; a bad one by BadExcess
  /// more.
  static constexpr double GoodExcess = 0.05;
  static constexpr double BadExcess = 0.25;
  /// A good version that fails or is slow more often than this is taken for one
  /// that does so this often.
  static constexpr double MaxGoodShare = 0.9;
  /// Failures are compared with those of this time before on the same route, or
  /// with the last MinOldOutcomes. It is short, because all versions may fail
  /// more for some seconds.
  static constexpr Duration FailureWindow = std::chrono::seconds(3);
  static constexpr std::size_t MinOldOutcomes = 20;
  static constexpr std::size_t MinOldFirstTokens = 12;
  /// With fewer nothing is compared.
  static constexpr std::size_t MinBaseline = 5;
  /// Share of slow streams of a good version at most, and of a bad one.
  static constexpr double GoodSlowShare = 0.25;
  static constexpr double BadSlowShare = 0.6;
  /// The pace of one stream varies with what else its engine does, so each is
  /// compared with the median of this many streams of the old version or more.
  /// It is slow if it takes longer by this factor. New engines of a good
  /// version are slower by up to three for some seconds after their start.
  static constexpr std::size_t MinOldPaces = 5;
  static constexpr double PaceFactor = 4.0;
  /// The same for the time to the first token.
  static constexpr double FirstTokenFactor = 3.0;
  /// A version is starved below this part of its share.
  static constexpr double StarvedPart = 1.0 / 3.0;
  static constexpr std::uint64_t MinStreamsToStarve = 200;

  VersionJudge() = default;
  explicit VersionJudge(const std::vector<RouteJudgement> &Saved);

  void add(const VersionSample &Sample);
  [[nodiscard]] RouteVerdict verdict(const RouteName &Route) const;
  /// Judges each route that has any pairs good, unless a test's wealth is above
  /// MaxGoodWealth.
  void judgeWithFewPairs();
  /// The first finding, if the version is bad.
  [[nodiscard]] const std::optional<VersionFinding> &finding() const {
    return m_finding;
  }
  /// The signal with a likelihood ratio of at least SuspectRatio or a wealth of
  /// at least SuspectWealth, if any.
  [[nodiscard]] std::optional<VersionSignal> suspicion() const;
  /// The version gets a larger load. It has to be shown to be good again, with
  /// fewer samples than before.
  void requireMoreProof();
  /// Why the version is not shown to be good; nothing if it is.
  [[nodiscard]] std::optional<VersionDoubt> doubt() const;
  /// The same for one route, however few requests it has. Ratio: the largest
  /// likelihood ratio without a doubt.
  [[nodiscard]] std::optional<VersionDoubt>
  doubtOn(const RouteName &Route, double Ratio = ProvenRouteRatio) const;
  /// The time after which an answer that has not begun is slow; nothing if too
  /// little is known of the old version.
  [[nodiscard]] std::optional<Duration> slowTime(const RouteName &Route) const;
  /// Outcomes on one route, at both versions and at the new one.
  struct RouteOutcomes {
    std::uint64_t All = 0;
    std::uint64_t Failed = 0;
    std::uint64_t New = 0;
    std::uint64_t NewFailed = 0;
  };
  [[nodiscard]] const std::map<RouteName, RouteOutcomes> &
  routeOutcomes() const {
    return m_routeOutcomes;
  }
  [[nodiscard]] const OutcomeCounts &newOutcomes() const {
    return m_newOutcomes;
  }
  [[nodiscard]] const OutcomeCounts &oldOutcomes() const {
    return m_oldOutcomes;
  }
  /// The strongest evidence of any test against the version, as a likelihood
  /// ratio.
  [[nodiscard]] double evidence() const;
  /// Streams of the new version that were compared.
  [[nodiscard]] std::uint64_t comparedPaces() const { return m_comparedPaces; }
  /// Whether the new version yielded far fewer streams than the share that was
  /// meant for it, because its engines accept no more. False while too few
  /// streams of the old version are known.
  [[nodiscard]] bool starved(double MeantShare) const;
  [[nodiscard]] std::vector<RouteName> routes() const;
  [[nodiscard]] std::vector<RouteJudgement> state() const;

private:
  struct RouteState {
    RouteJudgement Saved;
    std::deque<VersionSample> Old; ///< Unpaired, oldest first.
    std::deque<VersionSample> New; ///< Unpaired, oldest first.
  };

  /// Both ratios of one signal.
  struct SignalRatios {
    LikelihoodRatio Against{1.0}; ///< Finds a bad version.
    LikelihoodRatio Remaining{MinRatio,
                              MaxRatio}; ///< Shows that a version is good.
    std::uint64_t Compared = 0;
  };
  using Ratios = std::array<SignalRatios, VersionSignalCount>;
  /// How often an event occurred at the old version on one route.
  struct Baseline {
    std::size_t Events = 0;
    std::size_t All = 0;
    bool Recent = false; ///< Any of them within PairWindow.
  };

  void addPace(const VersionSample &Sample);
  void countFailure(const VersionSample &Sample);
  void addFirstToken(const VersionSample &Sample);
  void comparePaces(RouteState &Route, TimePoint Now);
  void compareFirstTokens(RouteState &Route, TimePoint Now);
  void addEvent(const RouteName &Route, VersionSignal Signal, bool Event,
                const Baseline &Old);
  void addEvent(const RouteName &Route, VersionSignal Signal, bool Event,
                const std::optional<EventShares> &Against,
                const EventShares &Remaining);
  [[nodiscard]] bool applies(VersionSignal Signal) const;
  RouteState &routeState(const RouteName &Route);
  void compare(RouteState &Route, const VersionSample &New,
               const VersionSample &Old);
  void test(RouteState &Route, VersionSignal Signal, std::optional<bool> Worse);
  static void conclude(RouteState &Route);

  std::map<RouteName, RouteState> m_routes;
  /// Only Old and New are used; all routes are tested together.
  std::map<RouteName, RouteState> m_paceSamples;
  std::map<RouteName, RouteState> m_firstTokenSamples;
  /// Whether each request of the old version failed, within FailureWindow.
  std::map<RouteName, std::deque<std::pair<TimePoint, bool>>> m_oldFailures;
  Ratios m_ratios; ///< Over all routes.
  std::map<RouteName, Ratios> m_routeRatios;
  std::map<RouteName, RouteOutcomes> m_routeOutcomes;
  std::uint64_t m_comparedPaces = 0;
  std::uint64_t m_oldFirstTokens = 0;
  std::uint64_t m_oldStreams = 0;
  std::uint64_t m_newStreams = 0;
  OutcomeCounts m_newOutcomes;
  OutcomeCounts m_oldOutcomes;
  std::optional<VersionFinding> m_finding;
};

} // namespace nutmegdrift::policy

#endif
