// Computes the phases, shares and replica counts of one rollout.
#include "nutmegdrift/policy/rollout_machine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegdrift::policy {

namespace {

constexpr std::array<std::string_view, 5> PhaseNames = {
    "loading", "canary", "ramp", "done", "taken-back"};

Duration fraction(Duration Whole, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Whole.count()) * Factor));
}

std::string seconds(Duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::seconds>(Time).count()) +
         " s";
}

std::size_t total(const ReplicaCounts &Counts) {
  return Counts.Old + Counts.New + Counts.Loading;
}

/// Replicas that a share of the traffic needs, rounded up.
std::size_t replicasFor(double Share, const ReplicaCounts &Counts) {
  const auto Needed = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(total(Counts))));
  return std::clamp<std::size_t>(Needed, 1, total(Counts));
}

/// Planned, limited to the share that the new replicas can serve. Without an
/// old replica the new version gets all requests, as with a target of one
/// replica.
double servableShare(double Planned, const ReplicaCounts &Counts) {
  if (Counts.New == 0)
    return 0.0;
  if (Counts.Old == 0)
    return 1.0;
  const auto Serving = static_cast<double>(Counts.Old + Counts.New);
  return std::min(Planned, static_cast<double>(Counts.New) / Serving);
}

} // namespace

std::string_view toString(RolloutPhase Phase) {
  return PhaseNames.at(static_cast<std::size_t>(Phase));
}

std::optional<RolloutPhase> parseRolloutPhase(std::string_view Text) {
  const auto Entry = std::ranges::find(PhaseNames, Text);
  if (Entry == PhaseNames.end())
    return std::nullopt;
  return static_cast<RolloutPhase>(Entry - PhaseNames.begin());
}

RolloutMachine::RolloutMachine(RolloutPlan Plan, Duration LoadInterval,
                               RolloutProgress Saved, PhaseTimes Times)
    : m_plan(std::move(Plan)), m_loadInterval(LoadInterval), m_times(Times),
      m_progress(std::move(Saved)), m_judge(m_progress.Routes) {}

RolloutProgress RolloutMachine::progress() const {
  auto Out = m_progress;
  Out.Routes = m_judge.state();
  return Out;
}

void RolloutMachine::addSample(const VersionSample &Sample) {
  if (phase() != RolloutPhase::Canary && phase() != RolloutPhase::Ramp)
    return;
  m_judge.add(Sample);
  if (const auto &Bad = m_judge.finding())
    rollBack("route " + Bad->Route + " is worse by " +
             std::string(toString(Bad->Signal)) + " after " +
             std::to_string(Bad->Pairs) + " pairs of samples");
}

void RolloutMachine::rollBack(std::string Reason) {
  if (phase() == RolloutPhase::RolledBack)
    return;
  m_progress.Phase = RolloutPhase::RolledBack;
  m_progress.Reason = std::move(Reason);
  m_progress.DelayReason.clear();
}

RolloutStep RolloutMachine::advance(Duration Step,
                                    const ReplicaCounts &Counts) {
  m_progress.Elapsed += Step;
  if (m_progress.Phase != RolloutPhase::Loading && sparseTimePassed())
    m_judge.judgeWithFewPairs();
  changePhase(Counts);
  updateDelayReason(Counts);
  return step(Counts);
}

void RolloutMachine::changePhase(const ReplicaCounts &Counts) {
  auto &Progress = m_progress;
  if (Progress.Phase == RolloutPhase::Loading && Counts.New > 0) {
    Progress.Phase = RolloutPhase::Canary;
    Progress.CanaryStarted = Progress.Elapsed;
  }
  if (Progress.Phase == RolloutPhase::Canary && canaryPassed()) {
    Progress.Phase = RolloutPhase::Ramp;
    Progress.RampStarted = Progress.Elapsed;
  }
  if (Progress.Phase == RolloutPhase::Ramp && Counts.New > 0 &&
      Counts.New == total(Counts)) {
    Progress.Phase = RolloutPhase::Done;
    Progress.Reason = std::string("all ") + std::to_string(Counts.New) +
                      " replicas run version " + m_plan.Version + " after " +
                      seconds(Progress.Elapsed);
  }
}

bool RolloutMachine::sparseTimePassed() const {
  return m_progress.Elapsed - m_progress.CanaryStarted >=
         fraction(m_plan.FinishWithin, SparseRouteWait);
}

bool RolloutMachine::judgedGood(const RouteName &Route) const {
  return m_judge.verdict(Route) == RouteVerdict::Good;
}

bool RolloutMachine::allJudgedGood() const {
  return std::ranges::all_of(m_judge.routes(),
                             [&](const auto &R) { return judgedGood(R); });
}

bool RolloutMachine::canaryPassed() const {
  if (m_progress.Elapsed - m_progress.CanaryStarted < m_times.MinCanary)
    return false;
  return sparseTimePassed() || (!m_judge.routes().empty() && allJudgedGood());
}

Duration RolloutMachine::rampTime() const {
  return std::max(m_times.MinRamp, fraction(m_plan.FinishWithin, PlannedEnd) -
                                       m_progress.RampStarted);
}

double RolloutMachine::plannedShare(Duration Elapsed) const {
  const auto Since =
      static_cast<double>((Elapsed - m_progress.RampStarted).count());
  const double Fraction = Since / static_cast<double>(rampTime().count());
  return std::min(1.0, CanaryShare + (1.0 - CanaryShare) * Fraction);
}

double RolloutMachine::shareOf(const RouteName &Route, double Ramp) const {
  // Ramp is 1 only if no replica serves the old version.
  return judgedGood(Route) || Ramp >= 1.0 ? Ramp : std::min(Ramp, CanaryShare);
}

RolloutStep RolloutMachine::rollbackStep(const ReplicaCounts &Counts) const {
  return {.Shares = {},
          .OtherShare = servableShare(0.0, Counts),
          .TargetNewReplicas = 0};
}

RolloutStep RolloutMachine::step(const ReplicaCounts &Counts) const {
  switch (phase()) {
  case RolloutPhase::Loading:
    return {.Shares = {},
            .OtherShare = 0.0,
            .TargetNewReplicas = replicasFor(CanaryShare, Counts)};
  case RolloutPhase::Canary:
    return {.Shares = {},
            .OtherShare = servableShare(CanaryShare, Counts),
            .TargetNewReplicas = replicasFor(CanaryShare, Counts)};
  case RolloutPhase::Done:
    return {
        .Shares = {}, .OtherShare = 1.0, .TargetNewReplicas = total(Counts)};
  case RolloutPhase::RolledBack:
    return rollbackStep(Counts);
  case RolloutPhase::Ramp:
    break;
  }
  const double Ramp = servableShare(plannedShare(m_progress.Elapsed), Counts);
  RolloutStep Out{
      .Shares = {},
      .OtherShare = shareOf({}, Ramp),
      .TargetNewReplicas = replicasFor(
          plannedShare(m_progress.Elapsed + m_loadInterval), Counts)};
  if (!allJudgedGood() && total(Counts) > 1)
    Out.TargetNewReplicas = std::min(Out.TargetNewReplicas, total(Counts) - 1);
  for (const auto &Route : m_judge.routes())
    Out.Shares[Route] = shareOf(Route, Ramp);
  return Out;
}

void RolloutMachine::updateDelayReason(const ReplicaCounts &Counts) {
  auto &Progress = m_progress;
  if (Progress.Phase == RolloutPhase::Done ||
      Progress.Phase == RolloutPhase::RolledBack)
    return;
  const auto Loads = static_cast<Duration::rep>(total(Counts) - Counts.New);
  const bool Ramping = Progress.Phase == RolloutPhase::Ramp;
  const auto CanaryEnd =
      Ramping ? Progress.RampStarted
      : Progress.Phase == RolloutPhase::Canary
          ? std::max(Progress.Elapsed,
                     Progress.CanaryStarted + m_times.MinCanary)
          : Progress.Elapsed + m_loadInterval + m_times.MinCanary;
  const auto Expected = std::max(Progress.Elapsed + Loads * m_loadInterval,
                                 CanaryEnd + m_times.MinRamp);
  Progress.DelayReason.clear();
  if (Expected > m_plan.FinishWithin)
    Progress.DelayReason = std::string("expected to take ") +
                           seconds(Expected) + " of " +
                           seconds(m_plan.FinishWithin) + ", " +
                           std::to_string(Loads) + " replicas still to load";
  if (Ramping && !allJudgedGood() && plannedShare(Progress.Elapsed) >= 1.0)
    Progress.DelayReason =
        "the last replica waits for a route that is not judged good";
}

} // namespace nutmegdrift::policy
