// Tests of the emulated engine, scenarios, runs and reports.
#include "nutmegdrift/lab/experiment.h"
#include "nutmegdrift/lab/rollout_trial.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace nutmegdrift::lab {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

routing::SharedPrefix prefix(std::uint64_t Shared, std::uint32_t Tokens) {
  return routing::SharedPrefix(
      {{.Id = Shared, .Tokens = Tokens}, {.Id = 999, .Tokens = 1}});
}

/// Runs the engine until it is idle. Returns the times of first and last
/// tokens.
std::map<RequestKey, std::pair<TimePoint, TimePoint>>
drain(EngineModel &Engine) {
  std::map<RequestKey, std::pair<TimePoint, TimePoint>> Out;
  while (const auto End = Engine.stepEnd())
    for (const EngineProgress &Progress : Engine.endStep()) {
      if (Progress.FirstToken)
        Out[Progress.Key].first = *End;
      if (Progress.LastToken)
        Out[Progress.Key].second = *End;
    }
  return Out;
}

TEST(EngineModel, ReadsAPromptInChunksAndThenMakesATokenAStep) {
  EngineModel Engine({.PromptTokensPerMs = 50.0,
                      .ChunkTokens = 1000,
                      .Step = 4ms,
                      .StepPerRequest = 0ms});
  Engine.submit(1, {}, 2500, 3, Start);
  const auto Times = drain(Engine);
  // Three steps with 50 ms of reading, then two steps for two more tokens.
  EXPECT_EQ(Times.at(1).first, Start + 50ms + 12ms);
  EXPECT_EQ(Times.at(1).second, Start + 50ms + 20ms);
  EXPECT_EQ(Engine.tokensRead(), 2500U);
}

TEST(EngineModel, DoesNotReadWhatItsMemoryHolds) {
  EngineModel Engine({.KvTokens = 10000});
  Engine.submit(1, prefix(7, 4000), 5000, 1, Start);
  drain(Engine);
  Engine.submit(2, prefix(7, 4000), 5000, 1, Start + 1s);
  drain(Engine);
  EXPECT_EQ(Engine.tokensRead(), 6000U);
  // Other parts evict it.
  Engine.submit(3, prefix(8, 8000), 9000, 1, Start + 2s);
  drain(Engine);
  Engine.submit(4, prefix(7, 4000), 5000, 1, Start + 3s);
  drain(Engine);
  EXPECT_EQ(Engine.tokensRead(), 6000U + 9000U + 5000U);
}

TEST(EngineModel, RequestsBeyondItsSlotsWait) {
  EngineModel Engine({.Slots = 1});
  Engine.submit(1, {}, 100, 10, Start);
  Engine.submit(2, {}, 100, 10, Start);
  EXPECT_EQ(Engine.requests(), 2U);
  const auto Times = drain(Engine);
  EXPECT_GT(Times.at(2).first, Times.at(1).second);
}

TEST(EngineModel, ForgetsCancelledAndCrashedRequests) {
  EngineModel Engine({});
  Engine.submit(1, {}, 100, 10, Start);
  Engine.submit(2, {}, 100, 10, Start);
  Engine.cancel(1);
  Engine.cancel(1);
  EXPECT_EQ(Engine.crash(), std::vector<RequestKey>{2});
  EXPECT_FALSE(Engine.stepEnd());
  Engine.submit(3, {}, 100, 1, Start + 1s);
  EXPECT_EQ(drain(Engine).size(), 1U);
}

Expected<Scenario> parse(const std::string &Yaml) {
  return capture([&] { return parseScenario(Yaml); });
}

const std::string Small = "seconds: 4\n"
                          "engines: {count: 2}\n"
                          "kinds: [{name: a, per_second: 20}]\n"
                          "policies: [{name: p}]\n";

TEST(Scenario, NamesTheFieldAndItsLine) {
  ASSERT_TRUE(parse(Small));
  for (const auto &[Bad, Field] :
       {std::pair{"seconds: -1\n", "seconds"},
        {"loads: [0]\n", "list"},
        {"kinds: [{name: a, per_sec: 3}]\n", "per_sec"},
        {"policies: [{name: p, base: best}]\n", "base"},
        {"events: [{kind: rain}]\n", "kind"},
        {"speed: 3\n", "speed"}}) {
    const std::string Key = std::string(Bad).substr(0, 5);
    std::string Text = "# first\n";
    std::istringstream Lines(Small);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.substr(0, 5) != Key)
        Text += Line + "\n";
    const auto Read = parse(Text + Bad);
    ASSERT_FALSE(Read) << Bad;
    EXPECT_NE(Read.Failure.Message.find(Field), std::string::npos)
        << Read.Failure.Message;
  }
}

TEST(Experiment, EveryRequestEndsOnceAndRunsRepeat) {
  const auto Read = parse(Small);
  ASSERT_TRUE(Read);
  Scenario Setup = *Read;
  Setup.Events = {
      {.Kind = EventKind::EnginesLost, .Start = 1s, .Length = 1s, .Count = 1}};
  for (const std::string &Name : placerNames()) {
    const PolicySpec Policy{.Name = Name, .Base = Name};
    const RunOutcome Once = runPolicy(Setup, Policy, 3.0);
    EXPECT_GT(Once.Requests, 100U);
    EXPECT_EQ(Once.InTarget + Once.MissedTarget + Once.Refused + Once.Failed,
              Once.Requests)
        << Name;
    EXPECT_EQ(Once, runPolicy(Setup, Policy, 3.0)) << Name;
  }
}

// Guards against an emulator that can't tell policies apart: with long shared
// prompts a policy that uses the cached ones reads less and earns more than one
// that doesn't.
TEST(Experiment, ShowsWhatSharedPromptsAreWorth) {
  auto Setup = capture([] {
    return loadScenario(std::string(NUTMEGDRIFT_EXAMPLES) +
                        "/lab/shared-prompts.yaml");
  });
  ASSERT_TRUE(Setup) << Setup.Failure.Message;
  const RunOutcome Dispatcher =
      runPolicy(*Setup, {"own", "dispatcher", {}}, 1.0);
  const RunOutcome RoundRobin =
      runPolicy(*Setup, {"blind", "round-robin", {}}, 1.0);
  EXPECT_LT(Dispatcher.TokensRead * RoundRobin.PromptTokens,
            RoundRobin.TokensRead * Dispatcher.PromptTokens);
  EXPECT_GT(Dispatcher.worth(), RoundRobin.worth());
}

TEST(Reports, ListTheBestFirstAndDrawALineEach) {
  const std::vector<RunOutcome> All = {
      {.Policy = "poor", .Load = 1.0, .EarnedWorth = 1.0, .MaxWorth = 4.0},
      {.Policy = "good", .Load = 1.0, .EarnedWorth = 3.0, .MaxWorth = 4.0},
      {.Policy = "good", .Load = 2.0, .EarnedWorth = 2.0, .MaxWorth = 4.0}};
  std::ostringstream Table;
  printOutcomes(All, Table);
  EXPECT_LT(Table.str().find("good"), Table.str().find("poor"));
  EXPECT_NE(Table.str().find("0.750"), std::string::npos);
  std::ostringstream Drawing;
  drawOutcomes(All, Drawing);
  const std::string Svg = Drawing.str();
  EXPECT_NE(Svg.find(">good</text>"), std::string::npos);
  EXPECT_EQ(Svg.find("nan"), std::string::npos);
  EXPECT_EQ(Svg.substr(Svg.size() - 7), "</svg>\n");
}

/// Plays all scenarios whose name contains Text.
TrialSummary playMatching(const std::vector<TrialScenario> &Scenarios,
                          const std::string &Text) {
  constexpr std::size_t Plays = 10;
  TrialSummary Sum;
  for (const TrialScenario &Scenario : Scenarios) {
    if (Scenario.Name.find(Text) == std::string::npos)
      continue;
    const TrialSummary Played = playTrials(Scenario, Plays, 1);
    Sum.Plays += Played.Plays;
    Sum.Completed += Played.Completed;
    Sum.OverShare += Played.OverShare;
  }
  return Sum;
}

/// The error rates of a sequential test with the bounds 1/20 and 20.
constexpr double MaxErrors = 0.05;

// The verdict on a version was open when its trial ended, and it was completed:
// by the luck of ten outcomes, beside limits and callers who leave.
TEST(RolloutTrials, BadVersionsAreNotCompletedWithAnOpenVerdict) {
  for (const char *Fault : {"fails 0.4, ", "slow 0.5 x5, ", "slow 0.4 x8, ",
                            "fails 0.5 after 8 s, ", "fails 0.5 on lookup, ",
                            "slow 0.6 x6 on lookup, "}) {
    const TrialSummary Sum = playMatching(badVersionTrials(), Fault);
    EXPECT_LE(static_cast<double>(Sum.Completed),
              MaxErrors * static_cast<double>(Sum.Plays))
        << Fault;
    EXPECT_LE(Sum.OverShare, Sum.Completed) << Fault;
  }
}

// The other side: a good version must be completed in time.
TEST(RolloutTrials, GoodVersionsAreCompleted) {
  for (const char *Load :
       {"good, 10/s", "good, 30/s", "good, 100/s", "good, 1000/s"}) {
    const auto Scenarios = goodVersionTrials();
    const auto Exact = std::ranges::find(Scenarios, Load, &TrialScenario::Name);
    ASSERT_NE(Exact, Scenarios.end());
    const TrialSummary Sum = playTrials(*Exact, 20, 1);
    EXPECT_GE(static_cast<double>(Sum.Completed),
              (1.0 - MaxErrors) * static_cast<double>(Sum.Plays))
        << Load;
  }
}

} // namespace
} // namespace nutmegdrift::lab
