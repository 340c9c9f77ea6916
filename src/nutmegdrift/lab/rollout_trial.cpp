// Plays rollouts against the daemons' own decisions.
#include "nutmegdrift/lab/rollout_trial.h"
#include "nutmegdrift/base/random.h"
#include "nutmegdrift/gateway/fleet_rollouts.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <memory>
#include <ostream>
#include <queue>

namespace nutmegdrift::lab {

namespace {

using gateway::FleetRollouts;
using gateway::RolloutStage;
using namespace std::chrono_literals;

constexpr Duration Step = 5ms;
constexpr Duration TickInterval = 100ms;
constexpr Duration HeartbeatInterval = 500ms;
/// From the report of a result until all daemons know it.
constexpr Duration ReportTime = 50ms;
/// The load of a version is its share of the requests of this time.
constexpr Duration LoadWindow = 250ms;
/// Logarithmic spread of the answer times.
constexpr double AnswerSpread = 0.5;
constexpr const char *ServiceName = "app";
constexpr const char *OldVersion = "v1";
constexpr const char *NewVersion = "v2";
const TimePoint Start{1h};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Time) * Factor);
}

/// A request that is being answered.
struct Running {
  TimePoint EndsAt;
  std::size_t Daemon = 0;
  std::size_t Route = 0;
  std::string Version;
  TimePoint SentAt;
  bool Failed = false;
  bool CallerLeaves = false;
  bool Bad = false; ///< By the fault of the new version.
  bool WaitReported = false;

  friend bool operator>(const Running &A, const Running &B) {
    return A.EndsAt > B.EndsAt;
  }
};

/// A request that has not been answered when a slow answer is known as such.
struct WaitCheck {
  TimePoint At;
  std::shared_ptr<Running> Request;

  friend bool operator>(const WaitCheck &A, const WaitCheck &B) {
    return A.At > B.At;
  }
};

class Trial {
public:
  Trial(const TrialScenario &Scenario, std::uint64_t Seed)
      : m_scenario(Scenario), m_rng(Seed) {
    for (std::size_t I = 0; I < Scenario.Daemons; ++I)
      m_daemons.push_back(makeDaemon());
    addReplicas(OldVersion);
    for (std::size_t I = 0; I < Scenario.Daemons; ++I)
      m_phases.push_back(scaled(HeartbeatInterval, uniform(m_rng)));
  }

  TrialResult run() {
    const TimePoint End = Start + m_scenario.Length;
    bool Ordered = false;
    bool Started = false;
    for (m_now = Start - 2s; m_now < End; m_now += Step) {
      if (!Ordered && m_now >= Start) {
        Ordered = true;
        for (auto &Daemon : m_daemons)
          Daemon->applyOrder(order(), m_now);
      }
      if (!Started && m_now >= Start + m_scenario.ReplicasStart) {
        Started = true;
        addReplicas(NewVersion);
      }
      restartDaemons();
      endRequests();
      startRequests();
      exchange();
      if (Ordered)
        decide();
    }
    m_result.OverShare = static_cast<double>(m_result.New) >
                         0.1 * static_cast<double>(m_result.Requests) + 50.0;
    return m_result;
  }

private:
  [[nodiscard]] gateway::RolloutOrder order() const {
    return {.Service = ServiceName,
            .Version = NewVersion,
            .Length = m_scenario.Length};
  }

  std::unique_ptr<FleetRollouts> makeDaemon() {
    auto Out = std::make_unique<FleetRollouts>();
    Out->setPhase(uniform(m_rng));
    return Out;
  }

  void addReplicas(const std::string &Version) {
    for (std::size_t I = 0; I < m_scenario.Replicas; ++I)
      m_replicas.upsert({.Id = Version + "-" + std::to_string(I),
                         .Service = ServiceName,
                         .Version = Version},
                        m_now);
  }

  template <class Function> void forActive(Function &&Apply) {
    for (const TrialTrouble &Trouble : m_scenario.Troubles)
      if (m_now >= Start + Trouble.Begin && m_now < Start + Trouble.End)
        Apply(Trouble);
  }

  void restartDaemons() {
    for (const TrialTrouble &Trouble : m_scenario.Troubles)
      if (m_now - Step < Start + Trouble.Begin &&
          m_now >= Start + Trouble.Begin)
        for (std::size_t I = 0;
             I < std::min(Trouble.Restarts, m_daemons.size()); ++I) {
          m_daemons[I] = makeDaemon();
          m_boots[I] += 1000;
          m_daemons[I]->applyOrder(order(), m_now);
        }
  }

  /// Whether a replica that limits its rate refuses a request now.
  bool refuses(const routing::ReplicaId &Id) {
    bool Refused = false;
    forActive([&](const TrialTrouble &Trouble) {
      if (Trouble.Limited <= 0.0 ||
          static_cast<double>(hashText(Id) % 1000) >= Trouble.Limited * 1000)
        return;
      auto [It, Added] = m_allowances.try_emplace(Id, 1.0, m_now);
      auto &[Tokens, At] = It->second;
      Tokens = std::min(1.0 + Trouble.LimitPerSecond / 10,
                        Tokens + seconds(m_now - At) * Trouble.LimitPerSecond);
      At = m_now;
      Refused = Tokens < 1.0;
      Tokens -= Refused ? 0.0 : 1.0;
    });
    return Refused;
  }

  [[nodiscard]] bool faulty(const TrialRoute &Route) {
    const VersionFault &Fault = m_scenario.Fault;
    if (Fault.Share <= 0.0 || m_now < Start + Fault.After ||
        (!Fault.Route.empty() && Fault.Route != Route.Name))
      return false;
    while (!m_recent.empty() && m_now - m_recent.front().first > LoadWindow) {
      m_recentNew -= m_recent.front().second ? 1 : 0;
      m_recent.pop_front();
    }
    if (static_cast<double>(m_recentNew) <
        Fault.Load * static_cast<double>(m_recent.size()))
      return false;
    return uniform(m_rng) < Fault.Share;
  }

  void startRequests() {
    for (std::size_t I = 0; I < m_scenario.Routes.size(); ++I) {
      std::poisson_distribution<int> Count(m_scenario.Routes[I].PerSecond *
                                           seconds(Step));
      for (int N = Count(m_rng); N > 0; --N)
        startRequest(I);
    }
  }

  void startRequest(std::size_t RouteIndex) {
    const TrialRoute &Route = m_scenario.Routes[RouteIndex];
    const std::size_t Daemon = m_rng() % m_daemons.size();
    // A refused request goes to another replica, twice at most.
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      const auto Candidates = m_daemons[Daemon]->selectForRequest(
          ServiceName, Route.Name, m_replicas.usable(ServiceName), Attempt > 0);
      if (Candidates.empty())
        return;
      const routing::Replica *Target = Candidates[m_rng() % Candidates.size()];
      m_daemons[Daemon]->recordSent(Target->Record);
      const bool ToNew = Target->Record.Version == NewVersion;
      if (m_now >= Start) {
        ++m_result.Requests;
        m_result.New += ToNew ? 1 : 0;
      }
      m_recent.emplace_back(m_now, ToNew);
      m_recentNew += ToNew ? 1 : 0;
      if (refuses(Target->Record.Id))
        continue;
      answer(RouteIndex, Daemon, Target->Record.Version);
      return;
    }
  }

  void answer(std::size_t RouteIndex, std::size_t Daemon,
              const std::string &Version) {
    const TrialRoute &Route = m_scenario.Routes[RouteIndex];
    std::normal_distribution<double> Spread(0.0, AnswerSpread);
    Duration Time = scaled(Route.AnswerTime, std::exp(Spread(m_rng)));
    bool Failed = uniform(m_rng) < Route.Failures;
    bool Leaves = false;
    bool Bad = false;
    if (Version == NewVersion && faulty(Route)) {
      Bad = true;
      if (m_scenario.Fault.SlowFactor > 0)
        Time = scaled(Time, m_scenario.Fault.SlowFactor);
      else
        Failed = true;
    }
    forActive([&](const TrialTrouble &Trouble) {
      Failed = Failed || uniform(m_rng) < Trouble.Failures;
      Time = scaled(Time, Trouble.SlowFactor);
    });
    forActive([&](const TrialTrouble &Trouble) {
      if (uniform(m_rng) < Trouble.Leaving && Time > Trouble.Patience) {
        Leaves = true;
        Time = Trouble.Patience;
      }
    });
    const auto Request =
        std::make_shared<Running>(Running{.EndsAt = m_now + Time,
                                          .Daemon = Daemon,
                                          .Route = RouteIndex,
                                          .Version = Version,
                                          .SentAt = m_now,
                                          .Failed = Failed,
                                          .CallerLeaves = Leaves,
                                          .Bad = Bad});
    m_running.push({Request->EndsAt, Request});
    if (const auto After =
            m_daemons[Daemon]->slowAfter(ServiceName, Route.Name))
      m_waits.push({m_now + *After, Request});
  }

  void endRequests() {
    while (!m_waits.empty() && m_waits.top().At <= m_now) {
      const auto Request = m_waits.top().Request;
      const TimePoint At = m_waits.top().At;
      m_waits.pop();
      if (Request->EndsAt > At)
        reportWait(*Request, At);
    }
    while (!m_running.empty() && m_running.top().At <= m_now) {
      const auto Request = m_running.top().Request;
      m_running.pop();
      endRequest(*Request);
    }
  }

  void reportWait(Running &Request, TimePoint At) {
    Request.WaitReported = true;
    m_daemons[Request.Daemon]->recordWait(
        ServiceName, Request.Version,
        {.Route = m_scenario.Routes[Request.Route].Name,
         .FirstToken = At - Request.SentAt,
         .CompletedAt = At});
  }

  void endRequest(Running &Request) {
    if (Request.Version == NewVersion && m_now < Start + m_scenario.Length)
      m_result.BadAnswers += Request.Bad ? 1 : 0;
    if (Request.CallerLeaves) {
      if (!Request.WaitReported)
        reportWait(Request, m_now);
      return;
    }
    m_daemons[Request.Daemon]->recordOutcome(
        ServiceName, Request.Version,
        {.Route = m_scenario.Routes[Request.Route].Name,
         .Failed = Request.Failed,
         .FirstToken = Request.EndsAt - Request.SentAt,
         .CompletedAt = m_now,
         .WaitReported = Request.WaitReported});
  }

  void exchange() {
    double Loss = 0.0;
    forActive([&](const TrialTrouble &Trouble) {
      Loss = std::max(Loss, Trouble.HeartbeatLoss);
    });
    for (std::size_t I = 0; I < m_daemons.size(); ++I) {
      FleetRollouts &Daemon = *m_daemons[I];
      if (m_now < Start - 2s + m_phases[I])
        continue;
      const Duration Interval = Daemon.hasUrgentOutcomes()
                                    ? FleetRollouts::MovingHeartbeatInterval
                                    : HeartbeatInterval;
      if (m_now - m_sentAt[I] < Interval)
        continue;
      m_sentAt[I] = m_now;
      const auto Statuses = Daemon.statuses(m_now);
      const auto Outcomes = Daemon.drainOutcomes();
      for (std::size_t J = 0; J < m_daemons.size(); ++J)
        if (J != I && uniform(m_rng) >= Loss)
          m_daemons[J]->receive(m_boots[I] + I + 1, Statuses, Outcomes, m_now);
    }
  }

  void decide() {
    if (m_result.Ended == TrialResult::End::Completed) {
      if (!m_stored && m_now >= m_reportedAt + ReportTime) {
        m_stored = true;
        for (auto &Daemon : m_daemons)
          Daemon->recordResult(ServiceName, NewVersion, RolloutStage::Completed,
                               m_replicas);
        for (std::size_t I = 0; I < m_scenario.Replicas; ++I)
          m_replicas.remove(std::string(OldVersion) + "-" + std::to_string(I),
                            std::nullopt);
      }
      return;
    }
    if ((m_now - Start) % TickInterval != 0ms)
      return;
    for (auto &Daemon : m_daemons) {
      Daemon->tick(m_replicas, m_now);
      const auto Reports = Daemon->reports(m_now);
      if (Reports.empty() || Reports.front().Stage == RolloutStage::Canary ||
          m_result.Ended != TrialResult::End::Open)
        continue;
      m_result.Ended = Reports.front().Stage == RolloutStage::Completed
                           ? TrialResult::End::Completed
                           : TrialResult::End::RolledBack;
      m_result.EndedAfter = m_now - Start;
      m_result.Reason = Reports.front().Reason;
      m_reportedAt = m_now;
    }
  }

  struct Ending {
    TimePoint At;
    std::shared_ptr<Running> Request;
    friend bool operator>(const Ending &A, const Ending &B) {
      return A.At > B.At;
    }
  };

  const TrialScenario &m_scenario;
  Random m_rng;
  TimePoint m_now = Start - 2s;
  routing::ReplicaTable m_replicas;
  std::vector<std::unique_ptr<FleetRollouts>> m_daemons;
  std::vector<Duration> m_phases;
  std::map<std::size_t, TimePoint> m_sentAt;
  std::map<std::size_t, std::uint64_t> m_boots;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_running;
  std::priority_queue<WaitCheck, std::vector<WaitCheck>, std::greater<>>
      m_waits;
  std::map<routing::ReplicaId, std::pair<double, TimePoint>> m_allowances;
  std::deque<std::pair<TimePoint, bool>> m_recent;
  std::uint64_t m_recentNew = 0;
  TimePoint m_reportedAt{};
  bool m_stored = false;
  TrialResult m_result;
};

/// Three routes: most requests, a route that fails often, and one with few.
std::vector<TrialRoute> routes(double PerSecond) {
  return {{.Name = "confirm", .PerSecond = PerSecond * 0.65, .Failures = 0.004},
          {.Name = "lookup", .PerSecond = PerSecond * 0.28, .Failures = 0.14},
          {.Name = "export",
           .PerSecond = PerSecond * 0.07,
           .AnswerTime = 60ms,
           .Failures = 0.01}};
}

TrialTrouble limits(double PerReplica, Duration Begin = 9s,
                    Duration End = 17s) {
  return {.Begin = Begin,
          .End = End,
          .Limited = 0.62,
          .LimitPerSecond = PerReplica};
}

TrialTrouble leaving(Duration Begin = 8s, Duration End = 17s) {
  return {.Begin = Begin, .End = End, .Leaving = 0.48, .Patience = 50ms};
}

/// The loads and troubles that good and bad versions share.
std::vector<TrialScenario> loads() {
  std::vector<TrialScenario> Out;
  for (const double PerSecond : {10.0, 30.0, 100.0, 1000.0})
    Out.push_back({.Name = std::to_string(static_cast<int>(PerSecond)) + "/s",
                   .Routes = routes(PerSecond),
                   .Replicas = PerSecond > 50 ? 8U : 3U});
  TrialScenario Small{.Name = "30/s", .Routes = routes(30.0)};
  const auto Add = [&](const std::string &Name,
                       std::vector<TrialTrouble> Troubles) {
    Out.push_back(Small);
    Out.back().Name += " " + Name;
    Out.back().Troubles = std::move(Troubles);
  };
  Add("limits", {limits(5.0)});
  Add("leaving", {leaving()});
  Add("limits, leaving", {limits(5.0), leaving()});
  Add("failures", {{.Begin = 6s, .End = 12s, .Failures = 0.5}});
  Add("slow", {{.Begin = 8s, .End = 15s, .SlowFactor = 4.0}});
  Add("losses", {{.Begin = 0s, .End = 17s, .HeartbeatLoss = 0.3}});
  Add("restarts", {{.Begin = 10s, .End = 10s, .Restarts = 4}});
  Small.Routes[0].Failures = Small.Routes[1].Failures = 0.5;
  Add("half fail", {});
  return Out;
}

std::vector<TrialScenario> withFault(const std::string &Name,
                                     const VersionFault &Fault) {
  std::vector<TrialScenario> Out = loads();
  for (TrialScenario &Scenario : Out) {
    Scenario.Name = Name + ", " + Scenario.Name;
    Scenario.Fault = Fault;
  }
  return Out;
}

std::string percent(std::size_t Part, std::size_t Whole) {
  return std::to_string(
      std::lround(100.0 * static_cast<double>(Part) /
                  static_cast<double>(std::max<std::size_t>(Whole, 1))));
}

} // namespace

TrialResult playTrial(const TrialScenario &Scenario, std::uint64_t Seed) {
  return Trial(Scenario, Seed).run();
}

TrialSummary playTrials(const TrialScenario &Scenario, std::size_t Plays,
                        std::uint64_t FirstSeed) {
  TrialSummary Sum{.Name = Scenario.Name, .Plays = Plays};
  for (std::size_t I = 0; I < Plays; ++I) {
    const TrialResult Result = playTrial(Scenario, FirstSeed + I);
    Sum.Completed += Result.Ended == TrialResult::End::Completed ? 1 : 0;
    Sum.RolledBack += Result.Ended == TrialResult::End::RolledBack ? 1 : 0;
    Sum.OverShare += Result.OverShare ? 1 : 0;
    Sum.MeanNew += static_cast<double>(Result.New);
    Sum.MeanBadAnswers += static_cast<double>(Result.BadAnswers);
    Sum.MeanEnd += Result.EndedAfter;
  }
  const auto Count = static_cast<double>(std::max<std::size_t>(Plays, 1));
  Sum.MeanNew /= Count;
  Sum.MeanBadAnswers /= Count;
  Sum.MeanEnd = scaled(Sum.MeanEnd, 1.0 / Count);
  return Sum;
}

std::vector<TrialScenario> goodVersionTrials() { return withFault("good", {}); }

std::vector<TrialScenario> badVersionTrials() {
  std::vector<TrialScenario> Out;
  const auto Add = [&](const std::string &Name, const VersionFault &Fault) {
    std::ranges::move(withFault(Name, Fault), std::back_inserter(Out));
  };
  Add("fails 0.4", {.Share = 0.4});
  Add("slow 0.5 x5", {.Share = 0.5, .SlowFactor = 5.0});
  Add("slow 0.4 x8", {.Share = 0.4, .SlowFactor = 8.0});
  Add("fails 0.5 after 8 s", {.Share = 0.5, .After = 8s});
  Add("slow 0.5 x6 under load", {.Share = 0.5, .SlowFactor = 6.0, .Load = 0.7});
  Add("fails 0.5 on lookup", {.Share = 0.5, .Route = "lookup"});
  Add("slow 0.6 x6 on lookup",
      {.Share = 0.6, .SlowFactor = 6.0, .Route = "lookup"});
  return Out;
}

void printTrials(const std::vector<TrialScenario> &Scenarios, std::size_t Plays,
                 std::uint64_t FirstSeed, std::ostream &Out) {
  Out << std::left << std::setw(44) << "scenario" << std::right << std::setw(11)
      << "completed%" << std::setw(9) << "rolled%" << std::setw(8) << "over%"
      << std::setw(9) << "new" << std::setw(9) << "bad" << std::setw(9)
      << "end s"
      << "\n";
  for (const TrialScenario &Scenario : Scenarios) {
    const TrialSummary Sum = playTrials(Scenario, Plays, FirstSeed);
    Out << std::left << std::setw(44) << Sum.Name << std::right << std::fixed
        << std::setprecision(1) << std::setw(11)
        << percent(Sum.Completed, Plays) << std::setw(9)
        << percent(Sum.RolledBack, Plays) << std::setw(8)
        << percent(Sum.OverShare, Plays) << std::setw(9) << Sum.MeanNew
        << std::setw(9) << Sum.MeanBadAnswers << std::setw(9)
        << seconds(Sum.MeanEnd) << "\n";
  }
}

} // namespace nutmegdrift::lab
