// Tests that replay the load of days on which large requests or most callers
// were refused, see docs/design/heavy-load.md.
#include "nutmegdrift/routing/load_replay.h"

#include <gtest/gtest.h>

namespace nutmegdrift::routing {
namespace {

using namespace std::chrono_literals;

/// One workspace far above its share, beside eleven of three kinds.
std::vector<ReplayedWorkspace> oneBusyWorkspace() {
  std::vector<ReplayedWorkspace> Workspaces{{.Share = 12.0, .Target = 600ms}};
  for (const Duration Target : {250ms, 400ms, 800ms})
    Workspaces.insert(Workspaces.end(), 3, {.Share = 1.0, .Target = Target});
  return Workspaces;
}

struct SizeGroups {
  CallerGroup All;
  CallerGroup LargestTenth;
  CallerGroup FifthBelow;
};

/// Groups the callers of a kind, which is the workspaces with one target.
SizeGroups groupBySize(std::vector<CallerOutcome> Callers,
                       const ReplayedDay &Day, Duration Target) {
  std::erase_if(Callers, [&](const CallerOutcome &Caller) {
    return Day.Workspaces[Caller.Workspace].Target != Target;
  });
  std::sort(Callers.begin(), Callers.end(),
            [](const auto &A, const auto &B) { return A.Tokens > B.Tokens; });
  SizeGroups Groups;
  for (std::size_t I = 0; I < Callers.size(); ++I) {
    Groups.All.add(Callers[I]);
    if (I < Callers.size() / 10)
      Groups.LargestTenth.add(Callers[I]);
    else if (I < Callers.size() * 3 / 10)
      Groups.FifthBelow.add(Callers[I]);
  }
  return Groups;
}

/// Replays a day with three seeds.
std::vector<CallerOutcome> replaySeeds(ReplayedDay Day) {
  std::vector<CallerOutcome> Callers;
  for (Day.Seed = 1; Day.Seed <= 3; ++Day.Seed) {
    LoadReplay Replay(Day);
    Replay.run();
    // The engines' rates are learned by then, and the last callers have time to
    // return.
    const auto Added = Replay.callers(8s, 14s);
    Callers.insert(Callers.end(), Added.begin(), Added.end());
  }
  return Callers;
}

void print(const char *Name, const CallerGroup &Group) {
  printf("%s: served %.3f, on time %.3f, tokens on time %.3f\n", Name,
         Group.servedShare(), Group.onTimeShare(), Group.onTimeTokenShare());
}

/// Checks that the large requests of each kind are served at least this often,
/// relative to the whole kind.
void expectServedAsOften(const ReplayedDay &Day, double Ratio) {
  const auto Callers = replaySeeds(Day);
  CallerGroup Total;
  for (const CallerOutcome &Caller : Callers)
    Total.add(Caller);
  print("all", Total);
  for (const Duration Target : {250ms, 400ms, 600ms, 800ms}) {
    const SizeGroups Groups = groupBySize(Callers, Day, Target);
    print("kind", Groups.All);
    print("  largest tenth", Groups.LargestTenth);
    print("  fifth below", Groups.FifthBelow);
    const double Served = Groups.All.servedShare();
    EXPECT_GE(Groups.LargestTenth.servedShare(), Ratio * Served);
    EXPECT_GE(Groups.FifthBelow.servedShare(), Ratio * Served);
  }
}

// Large prompts were refused because they could wait less than small ones, and
// were passed over by small ones when memory became free: 0.47 of the largest
// tenth of a kind were served, and 0.97 of all.
TEST(ServedBySize, LargePromptsAreServedAsOftenAsTheWholeKind) {
  expectServedAsOften({.Workspaces = oneBusyWorkspace(), .Demand = 0.9}, 0.8);
}

// The same with more demand than the engines can read while some are down. The
// bound is that of the users' gate.
TEST(ServedBySize, LargePromptsAreServedHalfAsOftenUnderOverload) {
  expectServedAsOften({.Workspaces = oneBusyWorkspace(), .Demand = 1.0}, 0.5);
}

} // namespace
} // namespace nutmegdrift::routing
