// Replays a load against a dispatcher and simulated engines, without a network,
// and records what became of each caller. For tests.
#ifndef NUTMEGDRIFT_ROUTING_LOAD_REPLAY_H
#define NUTMEGDRIFT_ROUTING_LOAD_REPLAY_H

#include "nutmegdrift/routing/model_dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace nutmegdrift::routing {

/// The requests of one workspace. Those of one kind have the same target.
struct ReplayedWorkspace {
  double Share = 1.0; ///< Of the requests of all workspaces.
  Duration Target = std::chrono::milliseconds(400);
};

/// Sizes, reading rates and speeds are those of docs/plan.md, part D. The
/// spread of sizes, memory, output time and numbers of workspaces are assumed.
struct ReplayedDay {
  std::vector<ReplayedWorkspace> Workspaces;
  /// Offered prompt tokens, relative to what the engines can read within
  /// DispatcherOptions::ReadingDuty.
  double Demand = 0.9;
  Duration Length = std::chrono::seconds(16);
  int Engines = 100;
  /// Engines that are down from DownAt to DownUntil.
  int Down = 18;
  Duration DownAt = std::chrono::seconds(9);
  Duration DownUntil = std::chrono::seconds(12);
  std::uint64_t Seed = 1;
};

/// What became of one caller, over all its attempts.
struct CallerOutcome {
  std::size_t Workspace = 0;
  std::uint32_t Tokens = 0;
  TimePoint FirstArrival{};
  int Attempts = 0;
  bool Served = false; ///< Got its first token before its deadline.
  bool OnTime = false; ///< Within the target, counted from FirstArrival.
  TimePoint FirstToken{};
};

/// A group of callers, for ratios.
struct CallerGroup {
  double Callers = 0.0;
  double Tokens = 0.0;
  double Served = 0.0;
  double OnTime = 0.0;
  double OnTimeTokens = 0.0;

  void add(const CallerOutcome &Caller) {
    Callers += 1.0;
    Tokens += Caller.Tokens;
    Served += Caller.Served ? 1.0 : 0.0;
    OnTime += Caller.OnTime ? 1.0 : 0.0;
    OnTimeTokens += Caller.OnTime ? Caller.Tokens : 0.0;
  }
  [[nodiscard]] double servedShare() const { return Served / Callers; }
  [[nodiscard]] double onTimeShare() const { return OnTime / Callers; }
  [[nodiscard]] double onTimeTokenShare() const {
    return OnTimeTokens / Tokens;
  }
};

class LoadReplay {
public:
  explicit LoadReplay(ReplayedDay Day)
      : m_day(std::move(Day)), m_random(Day.Seed),
        m_engines(static_cast<std::size_t>(m_day.Engines)) {
    for (std::size_t I = 0; I < m_engines.size(); ++I)
      m_engines[I].TokensPerMs = MeanTokensPerMs * Speeds[I % Speeds.size()];
    setReplicas(0);
  }

  void run() {
    const double MeanRead =
        MeanTokensPerMs * (Speeds[0] + Speeds[1] + Speeds[2]) / Speeds.size();
    const double PerStep = m_day.Demand * MeanRead * m_day.Engines *
                           DispatcherOptions{}.ReadingDuty * inMs(Step) /
                           MeanTokens;
    double Owed = 0.0;
    bool Down = false;
    while (m_now < m_start + m_day.Length) {
      const bool DownNow =
          m_now >= m_start + m_day.DownAt && m_now < m_start + m_day.DownUntil;
      if (DownNow != Down) {
        Down = DownNow;
        setReplicas(Down ? m_day.Down : 0);
      }
      progress();
      while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
        const std::size_t Back = m_returning.begin()->second;
        m_returning.erase(m_returning.begin());
        offer(Back);
      }
      // Arrivals come in bursts: a step has none or up to twice the mean.
      Owed += 2.0 * PerStep * uniform(m_random);
      while (Owed >= 1.0) {
        offer(newCaller());
        Owed -= 1.0;
      }
      for (const ModelDecision &Decision : m_dispatcher.pump(m_now))
        decide(Decision);
      m_now += Step;
    }
  }

  /// Callers whose first attempt was between the times since the start.
  [[nodiscard]] std::vector<CallerOutcome> callers(Duration From,
                                                   Duration Until) const {
    std::vector<CallerOutcome> Selected;
    for (const CallerOutcome &Caller : m_callers)
      if (Caller.FirstArrival >= m_start + From &&
          Caller.FirstArrival < m_start + Until)
        Selected.push_back(Caller);
    return Selected;
  }
  /// Tokens of prompts whose first token came in that time.
  [[nodiscard]] double begunTokens(Duration From, Duration Until) const {
    double Sum = 0.0;
    for (const CallerOutcome &Caller : m_callers)
      if (Caller.Served && Caller.FirstToken >= m_start + From &&
          Caller.FirstToken < m_start + Until)
        Sum += Caller.Tokens;
    return Sum;
  }

private:
  static constexpr Duration Step = std::chrono::milliseconds(5);
  static constexpr double MeanTokensPerMs = 141.0; ///< 125 to 157.
  static constexpr std::array<double, 3> Speeds{0.7, 0.7, 1.7};
  static constexpr double MeanTokens = 12000.0;
  static constexpr double MaxTokens = 69000.0;
  static constexpr double SizeSpread = 0.9; ///< Of the logarithm of sizes.
  /// Assumed: room for 23 requests of mean size, so that memory can be full
  /// before the reading time is used up.
  static constexpr std::uint64_t KvTokens = 300000;
  static constexpr unsigned Slots = 64;
  static constexpr std::uint32_t OutputTokens = 150;
  static constexpr Duration OutputTime = std::chrono::milliseconds(1500);
  static constexpr Duration FirstEvent = std::chrono::milliseconds(20);

  struct SimulatedEngine {
    double TokensPerMs = 0.0;
    TimePoint BusyUntil{};
    bool Down = false;
    std::vector<RequestKey> Running{};
  };
  struct Attempt {
    std::size_t Caller;
    TimePoint Deadline;
  };

  static double inMs(Duration Time) {
    return std::chrono::duration<double, std::milli>(Time).count();
  }
  static ReplicaId engineName(std::size_t Number) {
    return "r" + std::to_string(Number);
  }
  static std::size_t engineNumber(const ReplicaId &Id) {
    return static_cast<std::size_t>(std::stoul(Id.substr(1)));
  }

  void setReplicas(int Down) {
    std::vector<ReplicaRecord> Records;
    for (std::size_t I = 0; I < m_engines.size(); ++I) {
      const bool IsDown = I < static_cast<std::size_t>(Down);
      if (IsDown)
        for (const RequestKey Key : m_engines[I].Running) {
          m_dispatcher.ended(Key, ReplicaOutcome::Failed, m_now);
          m_attempts.erase(Key);
        }
      if (IsDown != m_engines[I].Down)
        m_engines[I].Running.clear();
      m_engines[I].Down = IsDown;
      m_engines[I].BusyUntil = std::max(m_engines[I].BusyUntil, m_now);
      if (!IsDown)
        Records.push_back(
            {.Id = engineName(I), .Service = "s", .Slots = Slots});
    }
    ReplicaTable Table;
    Table.replaceAll(Records, m_now, std::nullopt);
    m_dispatcher.setReplicas(
        Table.usable("s"),
        {.Name = "s",
         .Engine = EngineTraits{.Slots = Slots, .KvTokens = KvTokens}});
  }

  std::size_t newCaller() {
    double Total = 0.0;
    for (const ReplayedWorkspace &Each : m_day.Workspaces)
      Total += Each.Share;
    double Draw = uniform(m_random) * Total;
    std::size_t Workspace = 0;
    while (Workspace + 1 < m_day.Workspaces.size() &&
           Draw >= m_day.Workspaces[Workspace].Share)
      Draw -= m_day.Workspaces[Workspace++].Share;
    // A log-normal size; its mean is MeanTokens.
    const double Normal = std::sqrt(-2.0 * std::log(1.0 - uniform(m_random))) *
                          std::cos(2.0 * std::numbers::pi * uniform(m_random));
    const double Size = MeanTokens * std::exp(SizeSpread * Normal -
                                              SizeSpread * SizeSpread / 2.0);
    m_callers.push_back({.Workspace = Workspace,
                         .Tokens = static_cast<std::uint32_t>(
                             std::clamp(Size, 200.0, MaxTokens)),
                         .FirstArrival = m_now});
    return m_callers.size() - 1;
  }

  void offer(std::size_t Number) {
    CallerOutcome &Caller = m_callers[Number];
    ++Caller.Attempts;
    const Duration Target = m_day.Workspaces[Caller.Workspace].Target;
    const Duration Patience =
        std::max<Duration>(4 * Target, std::chrono::seconds(2));
    const ModelRequest Request{
        .Key = ++m_lastKey,
        .Workspace = "w" + std::to_string(Caller.Workspace),
        .Prompt = {{.Id = Number + 1, .Tokens = Caller.Tokens}},
        .PromptTokens = Caller.Tokens,
        .OutputTokens = OutputTokens,
        .Arrived = m_now,
        .FirstTokenTarget = Target,
        .FirstTokenDeadline = m_now + Patience};
    m_attempts[Request.Key] = {.Caller = Number, .Deadline = m_now + Patience};
    if (const auto Refusal = m_dispatcher.offer(Request, m_now))
      decide(*Refusal);
  }

  void decide(const ModelDecision &Decision) {
    const std::size_t Number = m_attempts.at(Decision.Key).Caller;
    CallerOutcome &Caller = m_callers[Number];
    if (Decision.Destination.empty()) {
      m_attempts.erase(Decision.Key);
      if (Caller.Attempts == 1 && Decision.RetryAfter > Milliseconds{0})
        m_returning.emplace(m_now + Decision.RetryAfter, Number);
      return;
    }
    SimulatedEngine &Engine = m_engines[engineNumber(Decision.Destination)];
    Engine.Running.push_back(Decision.Key);
    Engine.BusyUntil = std::max(Engine.BusyUntil, m_now) +
                       std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double, std::milli>(
                               Caller.Tokens / Engine.TokensPerMs));
    m_starts.emplace(Engine.BusyUntil + FirstEvent, Decision.Key);
    m_ends.emplace(Engine.BusyUntil + FirstEvent + OutputTime, Decision.Key);
  }

  void progress() {
    for (; !m_starts.empty() && m_starts.begin()->first <= m_now;
         m_starts.erase(m_starts.begin())) {
      const auto Started = m_attempts.find(m_starts.begin()->second);
      if (Started == m_attempts.end())
        continue;
      CallerOutcome &Caller = m_callers[Started->second.Caller];
      m_dispatcher.started(Started->first, m_now);
      // A caller that has disconnected costs the reading time all the same.
      Caller.Served = m_now <= Started->second.Deadline;
      Caller.FirstToken = m_now;
      Caller.OnTime = Caller.Served &&
                      m_now <= Caller.FirstArrival +
                                   m_day.Workspaces[Caller.Workspace].Target;
    }
    for (; !m_ends.empty() && m_ends.begin()->first <= m_now;
         m_ends.erase(m_ends.begin())) {
      const RequestKey Key = m_ends.begin()->second;
      if (m_attempts.erase(Key) == 0)
        continue;
      const ReplicaId Replica = m_dispatcher.replicaOf(Key);
      if (!Replica.empty())
        std::erase(m_engines[engineNumber(Replica)].Running, Key);
      m_dispatcher.ended(Key, ReplicaOutcome::Served, m_now);
    }
  }

  const ReplayedDay m_day;
  const TimePoint m_start{std::chrono::hours(1)};
  TimePoint m_now = m_start;
  Random m_random;
  ModelDispatcher m_dispatcher{{}, 1};
  std::vector<SimulatedEngine> m_engines;
  std::vector<CallerOutcome> m_callers;
  std::map<RequestKey, Attempt> m_attempts;
  RequestKey m_lastKey = 0;
  std::multimap<TimePoint, std::size_t> m_returning;
  std::multimap<TimePoint, RequestKey> m_starts;
  std::multimap<TimePoint, RequestKey> m_ends;
};

} // namespace nutmegdrift::routing

#endif
