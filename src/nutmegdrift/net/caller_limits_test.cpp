// Decisions on which callers have to give way, without a network.
#include "nutmegdrift/net/caller_memory.h"
#include "nutmegdrift/net/connection_limit.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace nutmegdrift::net {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Megabyte = std::size_t{1} << 20U;
constexpr std::size_t ReadBytes = std::size_t{32} * 1024;

class CallerMemoryTest : public ::testing::Test {
protected:
  /// A caller whose body grows with what it sends.
  struct Body {
    explicit Body(CallerMemoryTest &Owner, const std::string &Workspace)
        : Reserved(Owner.m_memory) {
      Reserved.setOwner(Workspace);
      Reserved.OnGiveWay = [this] { GaveWay = true; };
    }
    CallerMemory::Share Reserved;
    std::size_t Received = 0;
    bool Refused = false;
    bool GaveWay = false;

    [[nodiscard]] bool open() const { return !Refused && !GaveWay; }
  };

  std::unique_ptr<Body> body(const std::string &Workspace = "w") {
    return std::make_unique<Body>(*this, Workspace);
  }

  /// Receives bytes, or is refused. Checks the bound.
  void receive(Body &Each, std::size_t Bytes) {
    if (!Each.open())
      return;
    Each.Received += Bytes;
    if (!Each.Reserved.reserve(Each.Received, Each.Received, m_clk)) {
      Each.Refused = true;
      Each.Reserved.release();
    }
    ASSERT_LE(m_memory->used(), Limit);
  }

  static constexpr std::size_t Limit = 40 * Megabyte;
  ManualClock m_clk;
  std::shared_ptr<CallerMemory> m_memory =
      std::make_shared<CallerMemory>(CallerMemory::Options{.Limit = Limit});
};

// The load of docs/plan.md: each body was within the limit of a request, and
// 300 of them took five times the memory of the process.
TEST_F(CallerMemoryTest, ManyBodiesThatStopBeforeTheirEndStayWithinTheLimit) {
  std::vector<std::unique_ptr<Body>> Crowd(300);
  for (auto &Each : Crowd)
    Each = body("crowd");
  for (std::size_t Sent = 0; Sent < 4 * Megabyte; Sent += ReadBytes)
    for (const auto &Each : Crowd)
      receive(*Each, ReadBytes);
  // Another workspace still gets a body of the largest size, and a small one
  // gets through in any case.
  const auto Other = body("other");
  receive(*Other, 4 * Megabyte);
  EXPECT_TRUE(Other->open());
  const auto Small = body();
  receive(*Small, ReadBytes);
  EXPECT_TRUE(Small->open());
}

// Bodies that no longer arrived kept their memory until their time-out.
TEST_F(CallerMemoryTest, ABodyWithoutProgressGivesWay) {
  std::vector<std::unique_ptr<Body>> Crowd;
  for (int I = 0; I < 20; ++I) {
    Crowd.push_back(body());
    receive(*Crowd.back(), 4 * Megabyte - ReadBytes);
  }
  m_clk.advance(2s);
  // A few bytes are no progress.
  for (const auto &Each : Crowd)
    receive(*Each, 1);
  const auto Sound = body();
  receive(*Sound, 4 * Megabyte);
  EXPECT_TRUE(Sound->open());
  EXPECT_EQ(m_memory->gaveWay(), 1U);
}

// A body that arrives steadily must not give way to one that came later.
TEST_F(CallerMemoryTest, ABodyWithProgressStays) {
  const auto Slow = body();
  std::vector<std::unique_ptr<Body>> Crowd;
  for (std::size_t Sent = 0; Sent < 4 * Megabyte; Sent += ReadBytes) {
    receive(*Slow, ReadBytes);
    Crowd.push_back(body());
    receive(*Crowd.back(), 2 * Megabyte);
    m_clk.advance(100ms);
  }
  EXPECT_TRUE(Slow->open());
  EXPECT_EQ(Slow->Received, 4 * Megabyte);
}

// A request that was passed on is never dropped for memory.
TEST_F(CallerMemoryTest, ACompleteRequestStays) {
  std::vector<std::unique_ptr<Body>> Waiting;
  for (int I = 0; I < 20; ++I) {
    Waiting.push_back(body());
    receive(*Waiting.back(), 4 * Megabyte);
    if (Waiting.back()->open())
      Waiting.back()->Reserved.keep(4 * Megabyte);
  }
  m_clk.advance(10s);
  const auto Late = body();
  receive(*Late, 4 * Megabyte);
  EXPECT_TRUE(Late->Refused);
  EXPECT_EQ(m_memory->gaveWay(), 0U);
  Waiting.clear();
  EXPECT_EQ(m_memory->used(), 0U);
}

// A single request within the limits is served on the smallest VM.
TEST(CallerMemory, OneLargestBodyFitsOnTheSmallestMachine) {
  constexpr std::size_t SmallestMegabytes = 120;
  constexpr double DefaultShare = 0.4;
  ManualClock Clk;
  const auto Memory = std::make_shared<CallerMemory>(
      CallerMemory::Options{.Limit = static_cast<std::size_t>(
                                SmallestMegabytes * DefaultShare * Megabyte)});
  CallerMemory::Share One(Memory);
  EXPECT_TRUE(One.reserve(4 * Megabyte, 0, Clk));
}

// Silent connections must go before those that ordinary callers use again, and
// those with a request in progress stay.
TEST(ConnectionLimit, SilentConnectionsGoFirst) {
  ManualClock Clk;
  const TimePoint Start = Clk.now();
  const std::vector<ConnectionState> States = {
      {.Use = ConnectionUse::Busy, .Since = Start},
      {.Use = ConnectionUse::Idle, .Since = Start},
      {.Use = ConnectionUse::Unknown, .Since = Start + 2s},
      {.Use = ConnectionUse::Unknown, .Since = Start + 1s},
      {.Use = ConnectionUse::Ending, .Since = Start + 3s},
      {.Use = ConnectionUse::Idle, .Since = Start + 1s}};
  using Indices = std::vector<std::size_t>;
  EXPECT_EQ(chooseConnectionsToClose(States, 3), (Indices{4, 3, 2}));
  EXPECT_EQ(chooseConnectionsToClose(States, 100), (Indices{4, 3, 2, 1, 5}));
}

} // namespace
} // namespace nutmegdrift::net
