// The event loop of an experiment, and its reports.
#include "nutmegdrift/lab/experiment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <ostream>
#include <queue>

namespace nutmegdrift::lab {

namespace {

using routing::ModelDecision;
using routing::ReplicaOutcome;

constexpr TimePoint Origin{std::chrono::hours(1)};
/// Time between two calls of Placer::pump(), as in the daemon.
constexpr Duration PumpInterval = std::chrono::milliseconds(5);
/// Delay until a placer is notified of a crash or restart; until then it may
/// choose a crashed engine. Daemons receive such a change from the platform
/// with about this delay.
constexpr Duration NoticeDelay = std::chrono::milliseconds(300);

double inMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

std::uint32_t atLeastOne(double Value) {
  return static_cast<std::uint32_t>(std::max(1.0, std::round(Value)));
}

/// Draws from a log-normal distribution with this mean. Spread is the standard
/// deviation of the logarithm.
double vary(Random &Rng, double Mean, double Spread) {
  if (Spread <= 0.0)
    return Mean;
  return Mean *
         std::lognormal_distribution<double>(-Spread * Spread / 2, Spread)(Rng);
}

struct Caller {
  routing::ModelRequest Request;
  const RequestKind *Kind = nullptr;
  std::size_t Workspace = 0;
  TimePoint First{}; ///< Of its first attempt, from which times are measured.
  unsigned RemainingRetries = 0;
  std::optional<unsigned> Engine{}; ///< The one that it runs on.
  std::optional<TimePoint> FirstToken{};
  bool Finished = false;
};

enum class EventType { Arrival, Retry, Abandon, Crash, UpdateEngines, Restart };

struct QueuedEvent {
  TimePoint Time;
  /// Creation number, by which events of the same time are ordered.
  std::uint64_t Order;
  EventType Type;
  std::uint64_t Index; ///< Of the caller, the load event or the engine.
  bool operator<(const QueuedEvent &Other) const {
    return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
  }
};

class Run {
public:
  Run(const Scenario &Setup, const PolicySpec &Policy, double Load)
      : m_scenario(Setup), m_load(Load), m_random(Setup.Seed),
        m_placer(makePlacer(Policy.Base,
                            {.Engine = {.Slots = Setup.Engine.Slots,
                                        .KvTokens = Setup.Engine.KvTokens},
                             .Options = Policy.Options,
                             .Seed = Setup.Seed})),
        m_engines(Setup.Engines, EngineModel(Setup.Engine)),
        m_live(Setup.Engines, true) {
    m_out.Policy = Policy.Name;
    m_out.Load = Load;
    makeCallers();
  }

  RunOutcome run() {
    updateEngines(Origin);
    TimePoint NextPump = Origin + PumpInterval;
    while (true) {
      const auto Step = nextStep();
      const TimePoint Event =
          m_queue.empty() ? TimePoint::max() : m_queue.top().Time;
      const TimePoint StepAt =
          Step ? *m_engines[*Step].stepEnd() : TimePoint::max();
      if (Event == TimePoint::max() && StepAt == TimePoint::max())
        break;
      if (NextPump <= std::min(Event, StepAt)) {
        apply(m_placer->pump(NextPump), NextPump);
        // No request waits long without an event or a step, so pumps until
        // shortly before the next one are skipped.
        NextPump = std::max(NextPump + PumpInterval,
                            std::min(Event, StepAt) - PumpInterval);
      } else if (Event <= StepAt) {
        const QueuedEvent Next = m_queue.top();
        m_queue.pop();
        process(Next);
      } else {
        endStep(static_cast<unsigned>(*Step), StepAt);
      }
    }
    return report();
  }

private:
  void makeCallers() {
    for (std::size_t Kind = 0; Kind < m_scenario.Kinds.size(); ++Kind)
      makeCallersOfKind(Kind);
    std::sort(
        m_callers.begin(), m_callers.end(),
        [](const Caller &A, const Caller &B) { return A.First < B.First; });
    for (std::size_t I = 0; I < m_callers.size(); ++I) {
      m_callers[I].Request.Key = I + 1;
      add(m_callers[I].First, EventType::Arrival, I);
    }
    for (std::size_t I = 0; I < m_scenario.Events.size(); ++I)
      if (m_scenario.Events[I].Kind == EventKind::EnginesLost)
        add(Origin + m_scenario.Events[I].Start, EventType::Crash, I);
  }

  double factorAt(const RequestKind &Kind, Duration Offset) const {
    double Out = m_load;
    for (const LoadEvent &Event : m_scenario.Events)
      if (Event.Kind == EventKind::Burst && Offset >= Event.Start &&
          Offset < Event.Start + Event.Length &&
          (Event.OnlyKind.empty() || Event.OnlyKind == Kind.Name))
        Out *= Event.Factor;
    return Out;
  }

  void makeCallersOfKind(std::size_t Index) {
    const RequestKind &Kind = m_scenario.Kinds[Index];
    std::discrete_distribution<std::size_t> Workspace(
        m_scenario.WorkspaceShares.begin(), m_scenario.WorkspaceShares.end());
    Duration Offset{0};
    while (true) {
      const double Rate = Kind.PerSecond * factorAt(Kind, Offset);
      Offset +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              std::exponential_distribution<double>(Rate)(m_random)));
      if (Offset >= m_scenario.Length)
        return;
      Caller Next{.Kind = &Kind,
                  .Workspace = Workspace(m_random),
                  .First = Origin + Offset,
                  .RemainingRetries = m_scenario.Retries};
      const auto Subject = static_cast<std::uint64_t>(
          uniform(m_random) * static_cast<double>(Kind.Subjects));
      routing::ModelRequest &Request = Next.Request;
      Request.Workspace = "w" + std::to_string(Next.Workspace);
      const std::uint32_t OwnSize =
          atLeastOne(vary(m_random, Kind.OwnTokens, Kind.Spread));
      if (Kind.SharedTokens >= 1.0) {
        Request.Prompt.push_back({.Id = hashText(Kind.Name, Subject + 1),
                                  .Tokens = atLeastOne(Kind.SharedTokens)});
        Request.PromptTokens += Request.Prompt.back().Tokens;
      }
      Request.Prompt.push_back({.Id = m_random(), .Tokens = OwnSize});
      Request.PromptTokens += OwnSize;
      Request.OutputTokens =
          atLeastOne(vary(m_random, Kind.OutputTokens, Kind.Spread));
      Request.FirstTokenTarget = Kind.Target;
      m_callers.push_back(std::move(Next));
    }
  }

  void add(TimePoint Time, EventType Type, std::uint64_t Index) {
    m_queue.push({Time, m_order++, Type, Index});
  }

  std::optional<std::size_t> nextStep() const {
    std::optional<std::size_t> Out;
    for (std::size_t I = 0; I < m_engines.size(); ++I)
      if (m_engines[I].stepEnd() &&
          (!Out || *m_engines[I].stepEnd() < *m_engines[*Out].stepEnd()))
        Out = I;
    return Out;
  }

  void updateEngines(TimePoint Now) {
    std::vector<unsigned> Live;
    for (unsigned I = 0; I < m_live.size(); ++I)
      if (m_live[I])
        Live.push_back(I);
    m_placer->setEngines(Live, Now);
  }

  void process(const QueuedEvent &Next) {
    switch (Next.Type) {
    case EventType::Arrival:
    case EventType::Retry: {
      Caller &Source = m_callers[Next.Index];
      Source.Request.Arrived = Next.Time;
      Source.Request.FirstTokenDeadline = Source.First + Source.Kind->Limit;
      if (Next.Type == EventType::Arrival)
        add(Source.Request.FirstTokenDeadline, EventType::Abandon, Next.Index);
      if (!Source.Finished)
        apply(m_placer->offer(Source.Request, Next.Time), Next.Time);
      return;
    }
    case EventType::Abandon:
      abandon(m_callers[Next.Index], Next.Time);
      return;
    case EventType::Crash: {
      const LoadEvent &Loss = m_scenario.Events[Next.Index];
      for (unsigned I = 0, Remaining = Loss.Count;
           I < m_live.size() && Remaining > 0; ++I)
        if (m_live[I]) {
          --Remaining;
          crashEngine(I, Next.Time);
          add(Next.Time + Loss.Length, EventType::Restart, I);
        }
      add(Next.Time + NoticeDelay, EventType::UpdateEngines, 0);
      return;
    }
    case EventType::Restart:
      m_live[Next.Index] = true;
      add(Next.Time + NoticeDelay, EventType::UpdateEngines, 0);
      return;
    case EventType::UpdateEngines:
      updateEngines(Next.Time);
      return;
    }
  }

  void crashEngine(unsigned Engine, TimePoint Now) {
    m_live[Engine] = false;
    for (const RequestKey Key : m_engines[Engine].crash()) {
      Caller &Source = m_callers[Key - 1];
      Source.Finished = true;
      ++m_out.Failed;
      m_placer->ended(Key, ReplicaOutcome::Failed, Now);
    }
  }

  void abandon(Caller &Source, TimePoint Now) {
    if (Source.Finished)
      return;
    Source.Finished = true;
    if (Source.Engine) {
      ++m_out.Failed;
      m_engines[*Source.Engine].cancel(Source.Request.Key);
    } else {
      ++m_out.Refused;
    }
    m_placer->ended(Source.Request.Key, ReplicaOutcome::Abandoned, Now);
  }

  void apply(const std::vector<ModelDecision> &Made, TimePoint Now) {
    for (const ModelDecision &Decision : Made) {
      Caller &Source = m_callers[Decision.Key - 1];
      if (Source.Finished)
        continue;
      if (Decision.Destination.empty()) {
        if (Source.RemainingRetries-- == 0) {
          Source.Finished = true;
          ++m_out.Refused;
          continue;
        }
        add(Now + Decision.RetryAfter, EventType::Retry, Decision.Key - 1);
        continue;
      }
      const auto Engine =
          static_cast<unsigned>(std::stoul(Decision.Destination));
      if (!m_live[Engine]) {
        Source.Finished = true;
        ++m_out.Failed;
        m_placer->ended(Decision.Key, ReplicaOutcome::Unreachable, Now);
        continue;
      }
      Source.Engine = Engine;
      m_out.PromptTokens += Source.Request.PromptTokens;
      m_engines[Engine].submit(
          Decision.Key, routing::SharedPrefix(Source.Request.Prompt),
          Source.Request.PromptTokens, Source.Request.OutputTokens, Now);
    }
  }

  void endStep(unsigned Engine, TimePoint Now) {
    for (const EngineProgress &Progress : m_engines[Engine].endStep()) {
      Caller &Source = m_callers[Progress.Key - 1];
      if (Progress.FirstToken) {
        Source.FirstToken = Now;
        m_placer->started(Progress.Key, Now);
      }
      if (!Progress.LastToken)
        continue;
      Source.Finished = true;
      const Duration Waited = *Source.FirstToken - Source.First;
      const bool InTarget = Waited <= Source.Kind->Target;
      ++(InTarget ? m_out.InTarget : m_out.MissedTarget);
      const double Worth =
          InTarget ? Source.Kind->Worth : Source.Kind->MissedTargetWorth;
      m_out.EarnedWorth += Worth;
      m_earned[Source.Workspace] += Worth;
      m_firstTokens.push_back(inMs(Waited));
      m_placer->ended(Progress.Key, ReplicaOutcome::Served, Now);
    }
    apply(m_placer->pump(Now), Now);
  }

  RunOutcome report() {
    m_out.Requests = m_callers.size();
    std::map<std::size_t, double> MaxWorth;
    for (const Caller &Source : m_callers) {
      m_out.MaxWorth += Source.Kind->Worth;
      MaxWorth[Source.Workspace] += Source.Kind->Worth;
    }
    m_out.WorstWorkspace = MaxWorth.empty() ? 0.0 : 1.0;
    for (const auto &[Workspace, Worth] : MaxWorth)
      m_out.WorstWorkspace =
          std::min(m_out.WorstWorkspace, m_earned[Workspace] / Worth);
    std::sort(m_firstTokens.begin(), m_firstTokens.end());
    m_out.FirstTokenP50Ms = quantile(0.5);
    m_out.FirstTokenP99Ms = quantile(0.99);
    for (const EngineModel &Engine : m_engines)
      m_out.TokensRead += Engine.tokensRead();
    return m_out;
  }

  double quantile(double Part) const {
    if (m_firstTokens.empty())
      return 0.0;
    return m_firstTokens[static_cast<std::size_t>(
        Part * static_cast<double>(m_firstTokens.size() - 1))];
  }

  const Scenario &m_scenario;
  const double m_load;
  Random m_random;
  const std::unique_ptr<Placer> m_placer;
  std::vector<EngineModel> m_engines;
  std::vector<bool> m_live;
  std::vector<Caller> m_callers; ///< By key less one.
  std::priority_queue<QueuedEvent> m_queue;
  std::uint64_t m_order = 0;
  std::map<std::size_t, double> m_earned; ///< By workspace.
  std::vector<double> m_firstTokens;      ///< Milliseconds.
  RunOutcome m_out;
};

std::string text(double Value, int Digits) {
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.*f", Digits, Value);
  return Buffer.data();
}

void printRow(std::ostream &Out, const std::vector<std::string> &Cells) {
  constexpr std::size_t NameWidth = 22;
  constexpr std::size_t NumberWidth = 9;
  for (std::size_t I = 0; I < Cells.size(); ++I) {
    const std::size_t Width = I == 0 ? NameWidth : NumberWidth;
    const std::string Pad(Width - std::min(Width - 1, Cells[I].size()), ' ');
    Out << (I == 0 ? Cells[I] + Pad : Pad + Cells[I]);
  }
  Out << "\n";
}

} // namespace

RunOutcome runPolicy(const Scenario &Setup, const PolicySpec &Policy,
                     double Load) {
  return Run(Setup, Policy, Load).run();
}

std::vector<RunOutcome> runAll(const Scenario &Setup) {
  std::vector<RunOutcome> Out;
  for (const double Load : Setup.Loads)
    for (const PolicySpec &Policy : Setup.Policies)
      Out.push_back(runPolicy(Setup, Policy, Load));
  return Out;
}

void printOutcomes(std::vector<RunOutcome> All, std::ostream &Out) {
  std::stable_sort(All.begin(), All.end(),
                   [](const RunOutcome &A, const RunOutcome &B) {
                     if (A.Load != B.Load)
                       return A.Load < B.Load;
                     return A.worth() > B.worth();
                   });
  printRow(Out, {"policy", "load", "worth", "worst ws", "asked", "in aim",
                 "late", "refused", "failed", "p50 ms", "p99 ms", "read"});
  for (const RunOutcome &Outcome : All)
    printRow(
        Out,
        {Outcome.Policy, text(Outcome.Load, 2), text(Outcome.worth(), 3),
         text(Outcome.WorstWorkspace, 3), std::to_string(Outcome.Requests),
         std::to_string(Outcome.InTarget), std::to_string(Outcome.MissedTarget),
         std::to_string(Outcome.Refused), std::to_string(Outcome.Failed),
         text(Outcome.FirstTokenP50Ms, 0), text(Outcome.FirstTokenP99Ms, 0),
         text(Outcome.PromptTokens > 0
                  ? static_cast<double>(Outcome.TokensRead) /
                        static_cast<double>(Outcome.PromptTokens)
                  : 0.0,
              3)});
}

void drawOutcomes(const std::vector<RunOutcome> &All, std::ostream &Out) {
  constexpr double Width = 640;
  constexpr double Height = 400;
  constexpr double Margin = 50;
  constexpr std::array<const char *, 6> Colours = {
      "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#566573"};
  double MinLoad = 1e9;
  double MaxLoad = 0.0;
  std::map<std::string, std::vector<const RunOutcome *>> Lines;
  for (const RunOutcome &Outcome : All) {
    MinLoad = std::min(MinLoad, Outcome.Load);
    MaxLoad = std::max(MaxLoad, Outcome.Load);
    Lines[Outcome.Policy].push_back(&Outcome);
  }
  const double Range = std::max(MaxLoad - MinLoad, 1e-9);
  const auto X = [&](double Load) {
    return text(Margin + (Load - MinLoad) / Range * (Width - 4 * Margin), 1);
  };
  const auto Y = [&](double Worth) {
    return text(Height - Margin - Worth * (Height - 2 * Margin), 1);
  };
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width
      << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  for (const double Mark : {0.0, 0.25, 0.5, 0.75, 1.0})
    Out << "<line x1=\"" << Margin << "\" x2=\"" << Width - 3 * Margin
        << "\" y1=\"" << Y(Mark) << "\" y2=\"" << Y(Mark)
        << "\" stroke=\"#ddd\"/><text x=\"10\" y=\"" << Y(Mark) << "\">"
        << text(Mark, 2) << "</text>\n";
  Out << "<text x=\"" << Margin << "\" y=\"" << Height - 15
      << "\">worth over load, from " << text(MinLoad, 2) << " to "
      << text(MaxLoad, 2) << "</text>\n";
  std::size_t Number = 0;
  for (auto &[Policy, Points] : Lines) {
    const char *Colour = Colours.at(Number % Colours.size());
    std::sort(Points.begin(), Points.end(),
              [](const auto *A, const auto *B) { return A->Load < B->Load; });
    Out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << Colour
        << "\" points=\"";
    for (const RunOutcome *Outcome : Points)
      Out << X(Outcome->Load) << "," << Y(Outcome->worth()) << " ";
    Out << "\"/>\n";
    for (const RunOutcome *Outcome : Points)
      Out << "<circle r=\"3\" fill=\"" << Colour << "\" cx=\""
          << X(Outcome->Load) << "\" cy=\"" << Y(Outcome->worth()) << "\"/>\n";
    Out << "<text x=\"" << Width - 3 * Margin + 10 << "\" y=\""
        << Margin + 18.0 * static_cast<double>(Number) << "\" fill=\"" << Colour
        << "\">" << Policy << "</text>\n";
    ++Number;
  }
  Out << "</svg>\n";
}

} // namespace nutmegdrift::lab
