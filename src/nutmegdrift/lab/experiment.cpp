// The loop of an experiment and its reports.
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
/// Time between looks of a policy at waiting requests, as in the daemon.
constexpr Duration PumpInterval = std::chrono::milliseconds(5);
/// A crashed engine is still offered for this long: the daemons learn of a
/// change from the platform with about this delay.
constexpr Duration NoticeDelay = std::chrono::milliseconds(300);

double inMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

std::uint32_t atLeastOne(double Value) {
  return static_cast<std::uint32_t>(std::max(1.0, std::round(Value)));
}

/// A number with the mean and a logarithm that varies normally.
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
  TimePoint First{}; ///< Of its first attempt; times count from here.
  unsigned ReturnsLeft = 0;
  std::optional<unsigned> Engine{}; ///< Where it runs.
  std::optional<TimePoint> FirstToken{};
  bool Over = false;
};

enum class Happening { Arrival, Return, GiveUp, Lost, Noticed, Back };

struct Entry {
  TimePoint At;
  std::uint64_t Order; ///< Entries of one time happen in the order of making.
  Happening What;
  std::uint64_t Which; ///< Index of the caller, the event or the engine.
  bool operator<(const Entry &Other) const {
    return std::tie(At, Order) > std::tie(Other.At, Other.Order);
  }
};

class Run {
public:
  Run(const Scenario &Of, const PolicySpec &Policy, double Load)
      : m_scenario(Of), m_load(Load), m_random(Of.Seed),
        m_placer(
            makePlacer(Policy.Base, {.Engine = {.Slots = Of.Engine.Slots,
                                                .KvTokens = Of.Engine.KvTokens},
                                     .Options = Policy.Options,
                                     .Seed = Of.Seed})),
        m_engines(Of.Engines, EngineModel(Of.Engine)),
        m_live(Of.Engines, true) {
    m_out.Policy = Policy.Name;
    m_out.Load = Load;
    makeCallers();
  }

  RunOutcome run() {
    tellEngines(Origin);
    TimePoint NextPump = Origin + PumpInterval;
    while (true) {
      const auto Step = nextStep();
      const TimePoint Event =
          m_entries.empty() ? TimePoint::max() : m_entries.top().At;
      const TimePoint StepAt =
          Step ? *m_engines[*Step].stepEnds() : TimePoint::max();
      if (Event == TimePoint::max() && StepAt == TimePoint::max())
        break;
      if (NextPump <= std::min(Event, StepAt)) {
        take(m_placer->pump(NextPump), NextPump);
        // Nothing waits for long without an event or a step.
        NextPump = std::max(NextPump + PumpInterval,
                            std::min(Event, StepAt) - PumpInterval);
      } else if (Event <= StepAt) {
        const Entry Next = m_entries.top();
        m_entries.pop();
        happen(Next);
      } else {
        endStep(static_cast<unsigned>(*Step), StepAt);
      }
    }
    return report();
  }

private:
  void makeCallers() {
    for (std::size_t Kind = 0; Kind < m_scenario.Kinds.size(); ++Kind)
      makeCallersOf(Kind);
    std::sort(
        m_callers.begin(), m_callers.end(),
        [](const Caller &A, const Caller &B) { return A.First < B.First; });
    for (std::size_t I = 0; I < m_callers.size(); ++I) {
      m_callers[I].Request.Key = I + 1;
      add(m_callers[I].First, Happening::Arrival, I);
    }
    for (std::size_t I = 0; I < m_scenario.Events.size(); ++I)
      if (m_scenario.Events[I].What == EventKind::EnginesLost)
        add(Origin + m_scenario.Events[I].At, Happening::Lost, I);
  }

  double factorAt(const RequestKind &Of, Duration At) const {
    double Out = m_load;
    for (const LoadEvent &Each : m_scenario.Events)
      if (Each.What == EventKind::Burst && At >= Each.At &&
          At < Each.At + Each.For &&
          (Each.OnlyKind.empty() || Each.OnlyKind == Of.Name))
        Out *= Each.Factor;
    return Out;
  }

  void makeCallersOf(std::size_t Index) {
    const RequestKind &Of = m_scenario.Kinds[Index];
    std::discrete_distribution<std::size_t> Workspace(
        m_scenario.WorkspaceShares.begin(), m_scenario.WorkspaceShares.end());
    Duration At{0};
    while (true) {
      const double Rate = Of.PerSecond * factorAt(Of, At);
      At += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::exponential_distribution<double>(Rate)(m_random)));
      if (At >= m_scenario.Length)
        return;
      Caller Next{.Kind = &Of,
                  .Workspace = Workspace(m_random),
                  .First = Origin + At,
                  .ReturnsLeft = m_scenario.Returns};
      const auto Subject = static_cast<std::uint64_t>(
          uniform(m_random) * static_cast<double>(Of.Subjects));
      routing::ModelRequest &Request = Next.Request;
      Request.Workspace = "w" + std::to_string(Next.Workspace);
      const std::uint32_t Own =
          atLeastOne(vary(m_random, Of.OwnTokens, Of.Spread));
      if (Of.SharedTokens >= 1.0) {
        Request.Prompt.push_back({.Id = hashText(Of.Name, Subject + 1),
                                  .Tokens = atLeastOne(Of.SharedTokens)});
        Request.PromptTokens += Request.Prompt.back().Tokens;
      }
      Request.Prompt.push_back({.Id = m_random(), .Tokens = Own});
      Request.PromptTokens += Own;
      Request.OutputTokens =
          atLeastOne(vary(m_random, Of.OutputTokens, Of.Spread));
      Request.FirstTokenTarget = Of.Target;
      m_callers.push_back(std::move(Next));
    }
  }

  void add(TimePoint At, Happening What, std::uint64_t Which) {
    m_entries.push({At, m_order++, What, Which});
  }

  std::optional<std::size_t> nextStep() const {
    std::optional<std::size_t> Out;
    for (std::size_t I = 0; I < m_engines.size(); ++I)
      if (m_engines[I].stepEnds() &&
          (!Out || *m_engines[I].stepEnds() < *m_engines[*Out].stepEnds()))
        Out = I;
    return Out;
  }

  void tellEngines(TimePoint Now) {
    std::vector<unsigned> Live;
    for (unsigned I = 0; I < m_live.size(); ++I)
      if (m_live[I])
        Live.push_back(I);
    m_placer->setEngines(Live, Now);
  }

  void happen(const Entry &Next) {
    switch (Next.What) {
    case Happening::Arrival:
    case Happening::Return: {
      Caller &Of = m_callers[Next.Which];
      Of.Request.Arrived = Next.At;
      Of.Request.FirstTokenDeadline = Of.First + Of.Kind->Limit;
      if (Next.What == Happening::Arrival)
        add(Of.Request.FirstTokenDeadline, Happening::GiveUp, Next.Which);
      if (!Of.Over)
        take(m_placer->offer(Of.Request, Next.At), Next.At);
      return;
    }
    case Happening::GiveUp:
      giveUp(m_callers[Next.Which], Next.At);
      return;
    case Happening::Lost: {
      const LoadEvent &Of = m_scenario.Events[Next.Which];
      for (unsigned I = 0, Left = Of.Count; I < m_live.size() && Left > 0; ++I)
        if (m_live[I]) {
          --Left;
          lose(I, Next.At);
          add(Next.At + Of.For, Happening::Back, I);
        }
      add(Next.At + NoticeDelay, Happening::Noticed, 0);
      return;
    }
    case Happening::Back:
      m_live[Next.Which] = true;
      add(Next.At + NoticeDelay, Happening::Noticed, 0);
      return;
    case Happening::Noticed:
      tellEngines(Next.At);
      return;
    }
  }

  void lose(unsigned Engine, TimePoint Now) {
    m_live[Engine] = false;
    for (const RequestKey Key : m_engines[Engine].crash()) {
      Caller &Of = m_callers[Key - 1];
      Of.Over = true;
      ++m_out.Failed;
      m_placer->ended(Key, ReplicaOutcome::Failed, Now);
    }
  }

  void giveUp(Caller &Of, TimePoint Now) {
    if (Of.Over)
      return;
    Of.Over = true;
    if (Of.Engine) {
      ++m_out.Failed;
      m_engines[*Of.Engine].cancel(Of.Request.Key);
    } else {
      ++m_out.Refused;
    }
    m_placer->ended(Of.Request.Key, ReplicaOutcome::Abandoned, Now);
  }

  void take(const std::vector<ModelDecision> &Made, TimePoint Now) {
    for (const ModelDecision &Each : Made) {
      Caller &Of = m_callers[Each.Key - 1];
      if (Of.Over)
        continue;
      if (Each.Destination.empty()) {
        if (Of.ReturnsLeft-- == 0) {
          Of.Over = true;
          ++m_out.Refused;
          continue;
        }
        add(Now + Each.RetryAfter, Happening::Return, Each.Key - 1);
        continue;
      }
      const auto Engine = static_cast<unsigned>(std::stoul(Each.Destination));
      if (!m_live[Engine]) {
        Of.Over = true;
        ++m_out.Failed;
        m_placer->ended(Each.Key, ReplicaOutcome::Unreachable, Now);
        continue;
      }
      Of.Engine = Engine;
      m_out.PromptTokens += Of.Request.PromptTokens;
      m_engines[Engine].submit(
          Each.Key, routing::SharedPrefix(Of.Request.Prompt),
          Of.Request.PromptTokens, Of.Request.OutputTokens, Now);
    }
  }

  void endStep(unsigned Engine, TimePoint Now) {
    for (const EngineProgress &Each : m_engines[Engine].endStep()) {
      Caller &Of = m_callers[Each.Key - 1];
      if (Each.First) {
        Of.FirstToken = Now;
        m_placer->started(Each.Key, Now);
      }
      if (!Each.Done)
        continue;
      Of.Over = true;
      const Duration Waited = *Of.FirstToken - Of.First;
      const bool InTarget = Waited <= Of.Kind->Target;
      ++(InTarget ? m_out.InTarget : m_out.Late);
      const double Worth = InTarget ? Of.Kind->Worth : Of.Kind->LateWorth;
      m_out.Earned += Worth;
      m_earned[Of.Workspace] += Worth;
      m_firstTokens.push_back(inMs(Waited));
      m_placer->ended(Each.Key, ReplicaOutcome::Served, Now);
    }
    take(m_placer->pump(Now), Now);
  }

  RunOutcome report() {
    m_out.Asked = m_callers.size();
    std::map<std::size_t, double> Owed;
    for (const Caller &Each : m_callers) {
      m_out.Owed += Each.Kind->Worth;
      Owed[Each.Workspace] += Each.Kind->Worth;
    }
    m_out.WorstWorkspace = Owed.empty() ? 0.0 : 1.0;
    for (const auto &[Workspace, Worth] : Owed)
      m_out.WorstWorkspace =
          std::min(m_out.WorstWorkspace, m_earned[Workspace] / Worth);
    std::sort(m_firstTokens.begin(), m_firstTokens.end());
    m_out.FirstTokenP50Ms = quantile(0.5);
    m_out.FirstTokenP99Ms = quantile(0.99);
    for (const EngineModel &Each : m_engines)
      m_out.TokensRead += Each.tokensRead();
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
  std::priority_queue<Entry> m_entries;
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

RunOutcome runPolicy(const Scenario &Of, const PolicySpec &Policy,
                     double Load) {
  return Run(Of, Policy, Load).run();
}

std::vector<RunOutcome> runAll(const Scenario &Of) {
  std::vector<RunOutcome> Out;
  for (const double Load : Of.Loads)
    for (const PolicySpec &Each : Of.Policies)
      Out.push_back(runPolicy(Of, Each, Load));
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
  for (const RunOutcome &Each : All)
    printRow(Out, {Each.Policy, text(Each.Load, 2), text(Each.worth(), 3),
                   text(Each.WorstWorkspace, 3), std::to_string(Each.Asked),
                   std::to_string(Each.InTarget), std::to_string(Each.Late),
                   std::to_string(Each.Refused), std::to_string(Each.Failed),
                   text(Each.FirstTokenP50Ms, 0), text(Each.FirstTokenP99Ms, 0),
                   text(Each.PromptTokens > 0
                            ? static_cast<double>(Each.TokensRead) /
                                  static_cast<double>(Each.PromptTokens)
                            : 0.0,
                        3)});
}

void drawOutcomes(const std::vector<RunOutcome> &All, std::ostream &Out) {
  constexpr double Width = 640;
  constexpr double Height = 400;
  constexpr double Margin = 50;
  constexpr std::array<const char *, 6> Colours = {
      "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#566573"};
  double Least = 1e9;
  double Most = 0.0;
  std::map<std::string, std::vector<const RunOutcome *>> Lines;
  for (const RunOutcome &Each : All) {
    Least = std::min(Least, Each.Load);
    Most = std::max(Most, Each.Load);
    Lines[Each.Policy].push_back(&Each);
  }
  const double Range = std::max(Most - Least, 1e-9);
  const auto X = [&](double Load) {
    return text(Margin + (Load - Least) / Range * (Width - 4 * Margin), 1);
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
      << "\">worth over load, from " << text(Least, 2) << " to "
      << text(Most, 2) << "</text>\n";
  std::size_t Number = 0;
  for (auto &[Policy, Points] : Lines) {
    const char *Colour = Colours.at(Number % Colours.size());
    std::sort(Points.begin(), Points.end(),
              [](const auto *A, const auto *B) { return A->Load < B->Load; });
    Out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << Colour
        << "\" points=\"";
    for (const RunOutcome *Each : Points)
      Out << X(Each->Load) << "," << Y(Each->worth()) << " ";
    Out << "\"/>\n";
    for (const RunOutcome *Each : Points)
      Out << "<circle r=\"3\" fill=\"" << Colour << "\" cx=\"" << X(Each->Load)
          << "\" cy=\"" << Y(Each->worth()) << "\"/>\n";
    Out << "<text x=\"" << Width - 3 * Margin + 10 << "\" y=\""
        << Margin + 18.0 * static_cast<double>(Number) << "\" fill=\"" << Colour
        << "\">" << Policy << "</text>\n";
    ++Number;
  }
  Out << "</svg>\n";
}

} // namespace nutmegdrift::lab
