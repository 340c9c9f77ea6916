// Tests of timers, with run() and with the event loop's own functions.
#include "nutmegdrift/net/call_in_turn.h"

#include <gtest/gtest.h>

namespace nutmegdrift::net {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

void runQueue(EventLoop &Loop) { TimerQueue::of(Loop).run(); }
void runLoop(EventLoop &Loop) { Loop.run(); }

struct TimerQueueTest : ::testing::TestWithParam<void (*)(EventLoop &)> {
  EventLoop Loop{1};
};

// Guards against a deadline that ends a request before its time.
TEST_P(TimerQueueTest, FiresInOrderAndNeverEarly) {
  Timer Long(Loop);
  Timer Short(Loop);
  std::vector<int> Order;
  const auto Start = Steady::now();
  Long.callAfter(60ms, [&] {
    EXPECT_GE(Steady::now() - Start, 60ms);
    Order.push_back(60);
  });
  Short.callAfter(20ms, [&] {
    EXPECT_GE(Steady::now() - Start, 20ms);
    Order.push_back(20);
  });
  GetParam()(Loop);
  EXPECT_EQ(Order, (std::vector{20, 60}));
}

// Guards against one wake-up for each of several deadlines that are close. The
// second deadline is later than the first, but within its slack.
TEST_P(TimerQueueTest, DeadlinesWithinTheSlackFireTogether) {
  Timer Tolerant(Loop);
  Timer Exact(Loop);
  bool Together = false;
  Tolerant.callAfter(100ms, [] {});
  Exact.callExactlyAfter(109ms, [&] {
    // Posted work runs before the next wake-up.
    boost::asio::post(Loop, [&] { Together = !Tolerant.armed(); });
  });
  GetParam()(Loop);
  EXPECT_TRUE(Together);
}

// Guards against a call after its object cancelled it at the same wake-up.
TEST_P(TimerQueueTest, ACallbackCancelsAnotherThatIsDue) {
  Timer First(Loop);
  Timer Second(Loop);
  int Calls = 0;
  First.callExactlyAfter(0ms, [&] {
    ++Calls;
    Second.cancel();
  });
  Second.callExactlyAfter(0ms, [&] {
    ++Calls;
    First.cancel();
  });
  GetParam()(Loop);
  EXPECT_EQ(Calls, 1);
}

// Guards against the destruction of an object by its own call of cancel().
TEST_P(TimerQueueTest, ACallbackMayOwnItsTimer) {
  auto Owned = std::make_shared<Timer>(Loop);
  std::weak_ptr<Timer> Watched = Owned;
  Owned->callAfter(1h, [Owned] {});
  Timer Canceller(Loop);
  Canceller.callAfter(1ms, [Raw = Owned.get()] {
    Raw->cancel();
    EXPECT_FALSE(Raw->armed());
  });
  Owned.reset();
  GetParam()(Loop);
  EXPECT_TRUE(Watched.expired());
}

// Guards against timers that stop after an unexpected error.
TEST_P(TimerQueueTest, AnExceptionLosesNoOtherTimer) {
  Timer Failing(Loop);
  Timer Sound(Loop);
  bool Called = false;
  Failing.callExactlyAfter(0ms, [] { throw std::runtime_error("fault"); });
  Sound.callExactlyAfter(0ms, [&] { Called = true; });
  EXPECT_THROW(GetParam()(Loop), std::runtime_error);
  GetParam()(Loop);
  EXPECT_TRUE(Called);
}

// Guards against a loop that serves only timers or only other work.
TEST_P(TimerQueueTest, ATimerWithoutDelayDoesNotStarveOtherWork) {
  Timer Again(Loop);
  bool Done = false;
  std::function<void()> Repeat = [&] {
    if (!Done)
      Again.callAfter(0ms, Repeat);
  };
  Repeat();
  boost::asio::post(Loop,
                    [&] { boost::asio::post(Loop, [&] { Done = true; }); });
  GetParam()(Loop);
  EXPECT_TRUE(Done);
}

INSTANTIATE_TEST_SUITE_P(Runs, TimerQueueTest,
                         ::testing::Values(&runQueue, &runLoop));

// The lag of a loop was measured by a timer alone, which fires between two
// handlers: a daemon that was late with all requests took itself for idle.
TEST(CallInTurn, RunsBehindWhatIsReady) {
  EventLoop Loop{1};
  const auto Owner = std::make_shared<int>();
  std::string Order;
  boost::asio::post(Loop, [&] {
    Order += "a";
    boost::asio::post(Loop, [&] { Order += "b"; });
  });
  callInTurn(Loop, Owner, [&] { Order += "t"; });
  boost::asio::post(Loop, [&] { Order += "c"; });
  Loop.run();
  EXPECT_EQ(Order, "acbt");
}

TEST(CallInTurn, NothingIsCalledOnceTheOwnerIsGone) {
  EventLoop Loop{1};
  auto Owner = std::make_shared<int>();
  bool Called = false;
  callInTurn(Loop, Owner, [&] { Called = true; });
  Loop.run_one();
  Owner.reset();
  Loop.run();
  EXPECT_FALSE(Called);
}

} // namespace
} // namespace nutmegdrift::net
