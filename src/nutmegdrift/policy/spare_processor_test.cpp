// Replays the processor use of small VMs.
#include "nutmegdrift/policy/spare_processor.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

struct Replay {
  /// Each sample lasts 500 ms and uses this part of the share.
  void play(int Samples, double Use) {
    for (int I = 0; I < Samples; ++I) {
      Now += 500ms;
      Used += std::chrono::duration_cast<Duration>(500ms * Share * Use);
      const bool Before = Processor.overloaded();
      Processor.observe(Used, Now);
      Changes += Processor.overloaded() != Before ? 1 : 0;
    }
  }

  static constexpr double Share = 0.12;
  SpareProcessor Processor{Share};
  TimePoint Now{};
  Duration Used{0};
  int Changes = 0;
};

// Guards against a change where no VM is overloaded.
TEST(SpareProcessor, ACalmDaemonKeepsItsExactWeight) {
  Replay Day;
  for (int I = 0; I < 20; ++I) {
    Day.play(1, 1.0); // A burst.
    Day.play(3, 0.6);
    EXPECT_EQ(Day.Processor.weight(), Replay::Share);
  }
  EXPECT_EQ(Day.Changes, 0);
}

// Guards against a dispatcher whose callers use its whole processor: 2,300 of
// 4,222 requests went to one VM with 0.12 of a core.
TEST(SpareProcessor, AnOverloadedDaemonFallsBelowTheOthers) {
  Replay Day;
  Day.play(4, 0.1);
  Day.play(4, 1.0);
  EXPECT_EQ(Day.Processor.weight(), Replay::Share * SpareProcessor::BusyWeight);
}

// Guards against a role that moves with each wave of the load.
TEST(SpareProcessor, TheWeightDoesNotFollowWavesOfTheLoad) {
  Replay Day;
  for (int I = 0; I < 10; ++I) {
    Day.play(6, 1.0);
    Day.play(6, 0.3);
  }
  EXPECT_EQ(Day.Changes, 1);
  Day.play(12, 0.3);
  EXPECT_EQ(Day.Changes, 2);
  EXPECT_EQ(Day.Processor.weight(), Replay::Share);
}

} // namespace
} // namespace nutmegdrift::policy
