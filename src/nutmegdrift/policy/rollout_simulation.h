// Simulates one rollout in virtual time, for the tests and for rollout_table:
// routes with different traffic, load waves and error bursts that affect both
// versions, cold starts, and a fault of the new version.
#ifndef NUTMEGDRIFT_POLICY_ROLLOUT_SIMULATION_H
#define NUTMEGDRIFT_POLICY_ROLLOUT_SIMULATION_H

#include "nutmegdrift/base/random.h"
#include "nutmegdrift/policy/rollout_machine.h"

#include <cmath>
#include <deque>

namespace nutmegdrift::policy::simulation {

/// How the new version is worse than the old one.
struct VersionFault {
  std::string_view Name = "good";
  double ErrorRate = 0.0;       ///< Added to the rate of both versions.
  double FirstToken = 1.0;      ///< Factor on the first-token time.
  double TokenGap = 1.0;        ///< Factor on the time between tokens.
  double FromSeconds = 0.0;     ///< After the start of the rollout.
  double AboveShare = 0.0;      ///< Only while it serves more than this share.
  std::string_view OnlyRoute{}; ///< Empty: on all routes.
};

inline constexpr std::array<VersionFault, 8> FaultKinds = {{
    {.Name = "fails at once, 100%", .ErrorRate = 1.0},
    {.Name = "fails at once, 20%", .ErrorRate = 0.2},
    {.Name = "fails later, 50%", .ErrorRate = 0.5, .FromSeconds = 700},
    {.Name = "fails under load, 30%", .ErrorRate = 0.3, .AboveShare = 0.3},
    {.Name = "fails on a small route, 50%",
     .ErrorRate = 0.5,
     .OnlyRoute = "plan-e"},
    {.Name = "slow first token, 1.6x", .FirstToken = 1.6},
    {.Name = "slow tokens, 1.5x", .TokenGap = 1.5},
    {.Name = "slow tokens later, 2x", .TokenGap = 2.0, .FromSeconds = 700},
}};

/// Most seconds to find a fault that appears during the ramp, at the simulated
/// 20 requests/s; the share of the route is not limited by then.
inline constexpr double MaxRampDetection = 60.0;

/// One simulated fleet.
struct Setup {
  VersionFault Fault{};
  std::uint64_t Seed = 1;
  std::size_t Replicas = 10;
  Duration FinishWithin = std::chrono::minutes(30);
  Duration LoadInterval = std::chrono::seconds(20);
  Duration LoadTime = std::chrono::seconds(10);
};

/// Request counts of one route.
struct RouteOutcome {
  std::uint64_t Requests = 0;   ///< Since the new version first served.
  std::uint64_t NewVersion = 0; ///< Of these, served by the new version.
  std::uint64_t Degraded = 0;   ///< Affected by the fault.
  std::uint64_t Unjudged = 0; ///< As Requests, until the route is judged good.
  std::uint64_t UnjudgedNewVersion = 0; ///< As NewVersion, until judged good.
};

struct Outcome {
  RolloutPhase Phase = RolloutPhase::Loading;
  std::string Reason;
  double Seconds = 0.0;          ///< Until done or rolled back.
  double DetectionSeconds = 0.0; ///< From the first degraded request.
  /// Served by the new version within a minute after the rollback.
  std::uint64_t RequestsAfterRollback = 0;
  std::map<RouteName, RouteOutcome> Routes;
};

/// Requests per second of each route.
inline const std::map<RouteName, double> &routeRates() {
  static const std::map<RouteName, double> Rates = {{"plan-a", 8.0},
                                                    {"plan-b", 6.0},
                                                    {"plan-c", 3.0},
                                                    {"plan-d", 2.0},
                                                    {"plan-e", 1.0}};
  return Rates;
}

class RolloutSimulation {
public:
  explicit RolloutSimulation(const Setup &In)
      : m_setup(In), m_random(In.Seed),
        m_machine({.Target = "model:sim",
                   .Version = "v2",
                   .OldVersion = "v1",
                   .FinishWithin = In.FinishWithin},
                  In.LoadInterval) {}

  Outcome run() {
    while (!ended() && m_elapsed < 2 * m_setup.FinishWithin)
      tick();
    m_out.Phase = m_machine.phase();
    m_out.Reason = m_machine.progress().Reason;
    m_out.Seconds = elapsedSeconds();
    if (m_firstDegraded)
      m_out.DetectionSeconds = elapsedSeconds() - *m_firstDegraded;
    if (m_out.Phase == RolloutPhase::RolledBack)
      countAfterRollback();
    return m_out;
  }

private:
  static constexpr Duration Step = std::chrono::milliseconds(100);
  static constexpr double BackgroundErrors = 0.002;
  static constexpr double BurstErrors = 0.25; ///< Of both versions.
  static constexpr double BurstPeriod = 400.0;
  static constexpr double BurstSeconds = 20.0;
  static constexpr double Noise = 0.3; ///< Sigma of the logarithm of times.
  static constexpr int ColdRequests = 20;
  static constexpr Duration RollbackObservation = std::chrono::minutes(1);

  [[nodiscard]] bool ended() const {
    return m_machine.phase() == RolloutPhase::Done ||
           m_machine.phase() == RolloutPhase::RolledBack;
  }
  [[nodiscard]] double elapsedSeconds() const {
    return std::chrono::duration<double>(m_elapsed).count();
  }

  [[nodiscard]] ReplicaCounts counts() const {
    return {.Old = m_setup.Replicas - m_newReplicas - m_loading.size(),
            .New = m_newReplicas,
            .Loading = m_loading.size()};
  }

  void tick() {
    m_elapsed += Step;
    while (!m_loading.empty() && m_loading.front() <= m_elapsed) {
      m_loading.pop_front();
      ++m_newReplicas;
      m_cold = ColdRequests;
    }
    m_step = m_machine.advance(Step, counts());
    if (m_newReplicas + m_loading.size() < m_step.TargetNewReplicas &&
        m_elapsed >= m_nextLoad) {
      m_loading.push_back(m_elapsed + m_setup.LoadTime);
      m_nextLoad = m_elapsed + m_setup.LoadInterval;
    }
    for (const auto &[Route, Rate] : routeRates())
      if (uniform(m_random) <
          Rate * std::chrono::duration<double>(Step).count())
        request(Route);
  }

  double shareOf(const RouteName &Route) const {
    const auto Entry = m_step.Shares.find(Route);
    return Entry == m_step.Shares.end() ? m_step.OtherShare : Entry->second;
  }

  /// Distributes the requests of a route so that the new version never exceeds
  /// its share, as the scheduler does.
  bool goesToNewVersion(const RouteName &Route) {
    auto &Credit = m_credit[Route];
    Credit = std::min(Credit + shareOf(Route), 1.0);
    if (m_newReplicas == 0 || Credit < 1.0 - 1e-9 || shareOf(Route) <= 0.0)
      return false;
    Credit = 0.0;
    return true;
  }

  [[nodiscard]] bool faultApplies(const RouteName &Route) const {
    const auto &Fault = m_setup.Fault;
    const double Share = static_cast<double>(m_newReplicas) /
                         static_cast<double>(m_setup.Replicas);
    return elapsedSeconds() >= Fault.FromSeconds &&
           (Fault.AboveShare <= 0.0 || Share > Fault.AboveShare) &&
           (Fault.OnlyRoute.empty() || Fault.OnlyRoute == Route) &&
           Fault.Name != "good";
  }

  double withNoise(double Millis) {
    const double Load = 1.0 + 0.5 * std::sin(elapsedSeconds() / 60.0);
    return Millis * Load *
           std::exp(std::normal_distribution<double>(0, Noise)(m_random));
  }

  static Duration millis(double Value) {
    return Duration(static_cast<Duration::rep>(Value * 1e6));
  }

  VersionSample sampleOf(const RouteName &Route, bool NewVersion, bool Faulty) {
    const bool Burst =
        std::fmod(elapsedSeconds(), BurstPeriod) > BurstPeriod - BurstSeconds;
    const double Errors = (Burst ? BurstErrors : BackgroundErrors) +
                          (Faulty ? m_setup.Fault.ErrorRate : 0.0);
    const bool Cold = NewVersion && m_cold > 0;
    if (Cold)
      --m_cold;
    return {.Route = Route,
            .FromNewVersion = NewVersion,
            .Failed = uniform(m_random) < Errors,
            .Cold = Cold,
            .FirstToken = millis(withNoise(200.0) * (Cold ? 4.0 : 1.0) *
                                 (Faulty ? m_setup.Fault.FirstToken : 1.0)),
            .TokenGap = millis(withNoise(20.0) *
                               (Faulty ? m_setup.Fault.TokenGap : 1.0)),
            .CompletedAt = TimePoint(m_elapsed)};
  }

  void request(const RouteName &Route) {
    const bool NewVersion = goesToNewVersion(Route);
    const bool Faulty = NewVersion && faultApplies(Route);
    const auto Sample = sampleOf(Route, NewVersion, Faulty);
    if (m_machine.phase() != RolloutPhase::Loading)
      record(Route, NewVersion,
             Faulty && (Sample.Failed || m_setup.Fault.ErrorRate <= 0));
    m_machine.addSample(Sample);
  }

  void record(const RouteName &Route, bool NewVersion, bool Degraded) {
    auto &Counts = m_out.Routes[Route];
    const bool Unjudged = !m_machine.judgedGood(Route);
    ++Counts.Requests;
    Counts.NewVersion += NewVersion ? 1 : 0;
    Counts.Degraded += Degraded ? 1 : 0;
    Counts.Unjudged += Unjudged ? 1 : 0;
    Counts.UnjudgedNewVersion += Unjudged && NewVersion ? 1 : 0;
    if (Degraded && !m_firstDegraded)
      m_firstDegraded = elapsedSeconds();
  }

  void countAfterRollback() {
    const auto Before = m_out.Routes;
    const auto End = m_elapsed + RollbackObservation;
    while (m_elapsed < End)
      tick();
    for (const auto &[Route, Counts] : m_out.Routes)
      m_out.RequestsAfterRollback +=
          Counts.NewVersion - Before.at(Route).NewVersion;
    m_out.Routes = Before;
  }

  const Setup m_setup;
  Random m_random;
  RolloutMachine m_machine;
  RolloutStep m_step;
  Duration m_elapsed{0};
  Duration m_nextLoad{0};
  std::deque<Duration> m_loading; ///< Times at which loads end.
  std::size_t m_newReplicas = 0;
  int m_cold = 0; ///< Requests until the newest replica is warm.
  std::map<RouteName, double> m_credit;
  std::optional<double> m_firstDegraded;
  Outcome m_out;
};

inline Outcome simulate(const Setup &In) { return RolloutSimulation(In).run(); }

} // namespace nutmegdrift::policy::simulation

#endif
