// Tests of the virtual time, and of what workspaces get from a dispatcher under
// loads that broke their shares.
#include "nutmegdrift/routing/model_dispatcher.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <functional>

namespace nutmegdrift::routing {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

/// Serves Account at this rate for the time given.
void serveAt(FairShare &Shares, ShareAccount &Account, double TokensPerSecond,
             Duration Time, TimePoint &Now) {
  constexpr Duration Step = 10ms;
  for (const TimePoint End = Now + Time; Now < End; Now += Step) {
    Shares.update(2, Now);
    Shares.serve(Account, TokensPerSecond / 100.0);
  }
}

// A workspace that had got much while the engines gave five times as much
// waited for seconds until the others had caught up.
TEST(FairShare, ASurplusShrinksWithTheCapacity) {
  FairShare Shares;
  ShareAccount Busy;
  ShareAccount Other;
  TimePoint Now = Start;
  serveAt(Shares, Busy, 500000, 5s, Now);
  const double Before = Shares.nextStart(Busy) - Shares.nextStart(Other);
  EXPECT_GT(Before, 400000);
  constexpr double Rate = 100000;
  serveAt(Shares, Other, Rate, 2s, Now);
  const double After = Shares.nextStart(Busy) - Shares.nextStart(Other);
  EXPECT_LE(After, 1.5 * Rate);
}

TEST(FairShare, AnIdleWorkspaceSavesUpNoMoreThanTheCredit) {
  FairShare Shares;
  ShareAccount Busy;
  ShareAccount Idle;
  TimePoint Now = Start;
  serveAt(Shares, Busy, 100000, 20s, Now);
  EXPECT_LE(Shares.nextStart(Busy) - Shares.nextStart(Idle),
            Shares.credit() + 100000.0 / 100);
}

TEST(FairShare, OnlyWorkspacesWithUnmetRequestsAreUnderserved) {
  FairShare Shares;
  ShareAccount Busy;
  ShareAccount Behind;
  TimePoint Now = Start;
  serveAt(Shares, Busy, 100000, 3s, Now);
  EXPECT_FALSE(Shares.isUnderserved(Behind, Now));
  Behind.LastUnmet = Now;
  EXPECT_TRUE(Shares.isUnderserved(Behind, Now));
  Busy.LastUnmet = Now;
  EXPECT_FALSE(Shares.isUnderserved(Busy, Now));
  EXPECT_FALSE(Shares.isUnderserved(Behind, Now + FairShare::UnmetTime));
}

/// The requests of one workspace. Every LargeEvery-th one has LargeTokens.
struct WorkspaceLoad {
  double PerSecond;
  std::uint32_t Tokens;
  int LargeEvery = 0;
  std::uint32_t LargeTokens = 0;
};

struct ReplayedLoad {
  const char *Name;
  std::vector<WorkspaceLoad> Workspaces;
  int Engines = 6;
  /// From ChangeAt on: requests per second that each engine accepts, engines
  /// that are left, and factor on the rate of requests.
  std::optional<double> NamedRate{};
  int EnginesLeft = 6;
  double Burst = 1.0;
  bool NewDispatcher = false; ///< Another one takes over at ChangeAt.
};

/// Plays a load against a dispatcher and records what each workspace requests
/// and gets in each second.
class ShareReplay {
public:
  static constexpr int Seconds = 24;
  static constexpr int ChangeAt = 8;

  explicit ShareReplay(const ReplayedLoad &Load)
      : m_load(Load), m_random(7), m_seconds(Seconds),
        m_owed(Load.Workspaces.size()), m_sent(Load.Workspaces.size()) {
    for (Second &Each : m_seconds)
      Each.resize(Load.Workspaces.size());
    replaceDispatcher();
    setEngines(Load.Engines);
  }

  void run() {
    for (; m_now < Start + std::chrono::seconds(Seconds); m_now += Step) {
      if (m_now == Start + std::chrono::seconds(ChangeAt))
        change();
      if (m_limited)
        for (int I = 0; I < m_engines; ++I)
          m_limits.observe("s", engineName(I), *m_load.NamedRate, m_now);
      progress();
      returnCallers();
      arrive();
      for (const ModelDecision &Decision : m_dispatcher->pump(m_now))
        decide(Decision);
    }
  }

  /// The smallest part, over all workspaces and spans of six seconds with unmet
  /// requests in each, of what the workspace requested or the best served one
  /// got, whichever is less. Three of the largest requests count as served.
  [[nodiscard]] double smallestShare() const {
    double Smallest = 1.0;
    for (std::size_t First = 2; First + Span <= m_seconds.size(); ++First)
      for (std::size_t Tested = 0; Tested < m_owed.size(); ++Tested)
        Smallest = std::min(Smallest, shareOf(Tested, First));
    return Smallest;
  }

private:
  static constexpr Duration Step = 5ms;
  static constexpr std::size_t Span = 6;
  static constexpr double TokensPerMs = 50.0;
  static constexpr Duration OutputTime = 500ms;

  struct Tally {
    double Requested = 0.0;
    double Got = 0.0;
    bool Unmet = false;
  };
  using Second = std::vector<Tally>;
  struct Caller {
    ModelRequest Request;
    std::size_t Workspace = 0;
    bool Returned = false;
    ReplicaId Engine{};
  };

  /// Requests of plain services have no tokens and are counted.
  static double sizeOf(std::uint32_t Tokens) {
    return std::max(1.0, static_cast<double>(Tokens));
  }
  static std::string engineName(int Number) {
    return "r" + std::to_string(Number);
  }
  Tally &tally(std::size_t Workspace) {
    const auto Now =
        std::chrono::duration_cast<std::chrono::seconds>(m_now - Start);
    return m_seconds[static_cast<std::size_t>(Now.count())][Workspace];
  }
  double shareOf(std::size_t Tested, std::size_t First) const {
    std::size_t Best = 0;
    double BestGot = -1.0;
    for (std::size_t Other = 0; Other < m_owed.size(); ++Other) {
      double Got = 0.0;
      for (std::size_t I = First; I < First + Span; ++I)
        Got += m_seconds[I][Other].Got;
      if (Got > BestGot) {
        BestGot = Got;
        Best = Other;
      }
    }
    double Due = 0.0;
    double Got = 0.0;
    for (std::size_t I = First; I < First + Span; ++I) {
      const Tally &Own = m_seconds[I][Tested];
      if (!Own.Unmet)
        return 1.0;
      Due += std::min(Own.Requested, m_seconds[I][Best].Got);
      Got += Own.Got;
    }
    const WorkspaceLoad &Load = m_load.Workspaces[Tested];
    Got += 3.0 * sizeOf(std::max(Load.Tokens, Load.LargeTokens));
    return Due > 0.0 ? Got / Due : 1.0;
  }

  void replaceDispatcher() {
    m_dispatcher.emplace(DispatcherOptions{}, m_random(), &m_limits);
  }
  void setEngines(int Count) {
    m_engines = Count;
    std::vector<ReplicaRecord> Records;
    Records.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Records.push_back({.Id = engineName(I), .Service = "s", .Slots = 32});
    m_table.replaceAll(Records, m_now, std::nullopt);
    m_dispatcher->setReplicas(
        m_table.usable("s"),
        {.Name = "s", .Engine = EngineTraits{.Slots = 32, .KvTokens = 600000}});
  }
  void change() {
    m_limited = m_load.NamedRate.has_value();
    m_factor = m_load.Burst;
    if (m_load.NewDispatcher) {
      replaceDispatcher();
      setEngines(m_engines);
      for (auto &[Key, Running] : m_callers)
        if (!Running.Engine.empty())
          m_dispatcher->takeOver(Running.Request, Running.Engine, true, m_now);
      std::erase_if(m_callers,
                    [](const auto &E) { return E.second.Engine.empty(); });
    }
    setEngines(std::min(m_engines, m_load.EnginesLeft));
  }

  void arrive() {
    for (std::size_t W = 0; W < m_owed.size(); ++W) {
      const WorkspaceLoad &Load = m_load.Workspaces[W];
      m_owed[W] += Load.PerSecond * m_factor *
                   std::chrono::duration<double>(Step).count();
      for (; m_owed[W] >= 1.0; m_owed[W] -= 1.0) {
        const bool Large =
            Load.LargeEvery > 0 && ++m_sent[W] % Load.LargeEvery == 0;
        Caller Next{.Workspace = W};
        Next.Request = {.Workspace = "w" + std::to_string(W),
                        .Prompt = {{.Id = m_random(), .Tokens = 100}},
                        .PromptTokens = Large ? Load.LargeTokens : Load.Tokens,
                        .FirstTokenTarget = 400ms};
        tally(W).Requested += sizeOf(Next.Request.PromptTokens);
        offer(std::move(Next));
      }
    }
  }
  void offer(Caller Next) {
    ModelRequest &Request = Next.Request;
    Request.Key = ++m_lastKey;
    Request.Arrived = m_now;
    Request.FirstTokenDeadline = m_now + 3s;
    const ModelRequest Offered = Request;
    m_callers[Offered.Key] = std::move(Next);
    if (const auto Refusal = m_dispatcher->offer(Offered, m_now))
      decide(*Refusal);
  }
  void decide(const ModelDecision &Decision) {
    Caller &Decided = m_callers.at(Decision.Key);
    if (Decision.Destination.empty()) {
      tally(Decided.Workspace).Unmet = true;
      if (!Decided.Returned) {
        Decided.Returned = true;
        m_returning.emplace(m_now + Decision.RetryAfter, std::move(Decided));
      }
      m_callers.erase(Decision.Key);
      return;
    }
    Tally &Got = tally(Decided.Workspace);
    Got.Got += sizeOf(Decided.Request.PromptTokens);
    Got.Unmet = Got.Unmet || Decided.Returned;
    Decided.Engine = Decision.Destination;
    TimePoint &Busy = m_busyUntil[Decision.Destination];
    Busy = std::max(Busy, m_now) +
           std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>(
                   Decided.Request.PromptTokens / TokensPerMs));
    m_starts.emplace(Busy, Decision.Key);
    m_ends.emplace(Busy + OutputTime, Decision.Key);
  }
  void progress() {
    for (; !m_starts.empty() && m_starts.begin()->first <= m_now;
         m_starts.erase(m_starts.begin()))
      m_dispatcher->started(m_starts.begin()->second, m_now);
    for (; !m_ends.empty() && m_ends.begin()->first <= m_now;
         m_ends.erase(m_ends.begin())) {
      m_dispatcher->ended(m_ends.begin()->second, ReplicaOutcome::Served,
                          m_now);
      m_callers.erase(m_ends.begin()->second);
    }
  }
  void returnCallers() {
    while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
      Caller Back = std::move(m_returning.begin()->second);
      m_returning.erase(m_returning.begin());
      offer(std::move(Back));
    }
  }

  const ReplayedLoad m_load;
  Random m_random;
  std::vector<Second> m_seconds;
  std::vector<double> m_owed; ///< Fractions of requests, by workspace.
  std::vector<int> m_sent;
  TimePoint m_now = Start;
  double m_factor = 1.0;
  bool m_limited = false;
  int m_engines = 0;
  ReplicaLimits m_limits;
  ReplicaTable m_table;
  std::optional<ModelDispatcher> m_dispatcher;
  RequestKey m_lastKey = 0;
  std::map<RequestKey, Caller> m_callers;
  std::multimap<TimePoint, Caller> m_returning;
  std::multimap<TimePoint, RequestKey> m_starts;
  std::multimap<TimePoint, RequestKey> m_ends;
  std::map<ReplicaId, TimePoint> m_busyUntil;
};

/// Most requests come from one workspace, some of them with large prompts.
std::vector<WorkspaceLoad> oneLargeWorkspace() {
  std::vector<WorkspaceLoad> Loads{
      {.PerSecond = 60, .Tokens = 1200, .LargeEvery = 5, .LargeTokens = 15000},
      {.PerSecond = 18, .Tokens = 2000},
      {.PerSecond = 12, .Tokens = 2500}};
  for (int I = 0; I < 8; ++I)
    Loads.push_back({.PerSecond = 6, .Tokens = 2000});
  return Loads;
}

class ShareUnderLoad : public ::testing::TestWithParam<ReplayedLoad> {};

// A workspace got nothing for seconds, or less than half of what another one
// got, although it had requests all the time.
TEST_P(ShareUnderLoad, NoWorkspaceGetsLessThanHalfOfItsShare) {
  ShareReplay Replay(GetParam());
  Replay.run();
  EXPECT_GE(Replay.smallestShare(), 0.5);
}

const std::array<ReplayedLoad, 9> Loads{
    {{.Name = "QuarterOfTheRate",
      .Workspaces = oneLargeWorkspace(),
      .NamedRate = 4.5},
     {.Name = "FifthOfTheRateBesideABurst",
      .Workspaces = oneLargeWorkspace(),
      .NamedRate = 3.0,
      .Burst = 2.0},
     {.Name = "FifthOfTheEngines",
      .Workspaces = oneLargeWorkspace(),
      .Engines = 10,
      .EnginesLeft = 2},
     {.Name = "Burst", .Workspaces = oneLargeWorkspace(), .Burst = 2.5},
     {.Name = "NewDispatcher",
      .Workspaces = oneLargeWorkspace(),
      .Burst = 2.0,
      .NewDispatcher = true},
     {.Name = "NewDispatcherAndQuarterOfTheRate",
      .Workspaces = oneLargeWorkspace(),
      .NamedRate = 4.5,
      .NewDispatcher = true},
     {.Name = "LatePromptsOnly",
      .Workspaces = {{.PerSecond = 3, .Tokens = 30000},
                     {.PerSecond = 90, .Tokens = 2000},
                     {.PerSecond = 90, .Tokens = 2000}},
      .Burst = 2.0},
     {.Name = "ManySmallRequestsUnderARate",
      .Workspaces = {{.PerSecond = 80, .Tokens = 300},
                     {.PerSecond = 10, .Tokens = 6000},
                     {.PerSecond = 10, .Tokens = 6000}},
      .NamedRate = 3.0},
     {.Name = "PlainRequestsUnderARate",
      .Workspaces = {{.PerSecond = 80, .Tokens = 0},
                     {.PerSecond = 10, .Tokens = 0},
                     {.PerSecond = 4, .Tokens = 0}},
      .NamedRate = 3.0}}};

INSTANTIATE_TEST_SUITE_P(All, ShareUnderLoad, ::testing::ValuesIn(Loads),
                         [](const auto &Tested) {
                           return std::string(Tested.param.Name);
                         });

} // namespace
} // namespace nutmegdrift::routing
