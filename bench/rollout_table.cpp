// Table of rollouts by kind of badness: share taken until detection, requests
// hit, time to detection; for good versions the share finished in time and the
// false take-back rate. Exits non-zero if a bound of the design is broken.
#include "nutmegdrift/policy/rollout_simulation.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>

namespace {

using namespace nutmegdrift;
using namespace nutmegdrift::policy;
using namespace nutmegdrift::policy::simulation;

/// Requests by which the share of a route may be exceeded through rounding.
constexpr double RoundingRequests = 1.0;

/// Largest, over runs and routes.
struct Worst {
  double OpenShare = 0; ///< Share of a route before it was judged good.
  double Share = 0;     ///< Share of a route until the end of the rollout.
  double Hit = 0;       ///< Requests hit on all routes.
  double Seconds = 0;   ///< Time to detection.
};

/// All runs of one kind of badness.
struct Row {
  Worst Max;
  double HitSum = 0;
  double SecondsSum = 0;
  int TakenBack = 0;
  int InTime = 0;
  std::uint64_t FreshAfter = 0;
  bool ShareBroken = false;
};

void addRoute(Row &R, const RouteOutcome &Route) {
  const auto Requests = std::max(1.0, static_cast<double>(Route.Requests));
  const auto Open = std::max(1.0, static_cast<double>(Route.Unjudged));
  const auto OpenFresh = static_cast<double>(Route.UnjudgedNewVersion);
  R.Max.Share =
      std::max(R.Max.Share, static_cast<double>(Route.NewVersion) / Requests);
  R.Max.OpenShare = std::max(R.Max.OpenShare, OpenFresh / Open);
  R.ShareBroken =
      R.ShareBroken ||
      OpenFresh > RolloutMachine::CanaryShare * Open + RoundingRequests;
}

void addRun(Row &R, const Outcome &Run, double FinishSeconds) {
  double Hit = 0;
  for (const auto &[Name, Route] : Run.Routes) {
    addRoute(R, Route);
    Hit += static_cast<double>(Route.Degraded);
  }
  R.HitSum += Hit;
  R.Max.Hit = std::max(R.Max.Hit, Hit);
  R.SecondsSum += Run.DetectionSeconds;
  R.Max.Seconds = std::max(R.Max.Seconds, Run.DetectionSeconds);
  R.FreshAfter += Run.RequestsAfterRollback;
  R.TakenBack += Run.Phase == RolloutPhase::RolledBack ? 1 : 0;
  R.InTime += Run.Phase == RolloutPhase::Done && Run.Seconds <= FinishSeconds;
}

Row runAll(const VersionFault &Kind, int Runs) {
  Row R;
  for (int Seed = 1; Seed <= Runs; ++Seed) {
    const Setup In{.Fault = Kind, .Seed = static_cast<std::uint64_t>(Seed)};
    addRun(R, simulate(In),
           std::chrono::duration<double>(In.FinishWithin).count());
  }
  return R;
}

/// Prints a bad kind. True if its bounds hold: every run taken back, at most
/// 5% of a route until judged good, no request after the take-back, faults that
/// show during the ramp found in MaxRampDetection.
bool printBad(const VersionFault &Kind, const Row &R, int Runs) {
  const bool InRamp = Kind.FromSeconds > 0 || Kind.AboveShare > 0;
  const bool Held = R.TakenBack == Runs && !R.ShareBroken &&
                    R.FreshAfter == 0 &&
                    (!InRamp || R.Max.Seconds <= MaxRampDetection);
  std::printf(
      "%-28s %5d/%-4d %7.1f%% %7.1f%% %7.1f %6.0f %8.1f %7.1f %6lu  %s\n",
      Kind.Name.data(), R.TakenBack, Runs, 100 * R.Max.OpenShare,
      100 * R.Max.Share, R.HitSum / Runs, R.Max.Hit, R.SecondsSum / Runs,
      R.Max.Seconds, static_cast<unsigned long>(R.FreshAfter),
      Held ? "ok" : "BROKEN");
  return Held;
}

/// Prints the good versions. True if the stated rate of false alarms holds and
/// all others finished in time.
bool printGood(const Row &R, int Runs) {
  const double Rate = static_cast<double>(R.TakenBack) / Runs;
  const bool Held = Rate <= VersionJudge::FalseAlarm &&
                    R.InTime + R.TakenBack == Runs && !R.ShareBroken;
  std::printf("\ngood versions: %d runs, finished in time %.1f%%, taken back "
              "falsely %.2f%% (bound %.0f%%), largest share until judged "
              "%.1f%%  %s\n",
              Runs, 100.0 * R.InTime / Runs, 100 * Rate,
              100 * VersionJudge::FalseAlarm, 100 * R.Max.OpenShare,
              Held ? "ok" : "BROKEN");
  return Held;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Spec("rollout_table", "Rollouts by kind of badness.");
  Spec.add_options()("bad-runs", "runs per kind",
                     cxxopts::value<int>()->default_value("100"))(
      "good-runs", "runs of good versions",
      cxxopts::value<int>()->default_value("400"));
  const auto Args = Spec.parse(Argc, Argv);
  const int BadRuns = Args["bad-runs"].as<int>();
  const int GoodRuns = Args["good-runs"].as<int>();
  std::printf("%-28s %10s %8s %8s %7s %6s %8s %7s %6s\n", "kind", "taken back",
              "open max", "all max", "hit", "max", "detect s", "max", "after");
  bool Held = true;
  for (const auto &Kind : FaultKinds)
    Held = printBad(Kind, runAll(Kind, BadRuns), BadRuns) && Held;
  Held = printGood(runAll({}, GoodRuns), GoodRuns) && Held;
  return Held ? 0 : 1;
}
