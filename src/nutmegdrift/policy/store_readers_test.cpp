// Who reads the store for the others while daemons lose it or each other.
#include "nutmegdrift/policy/store_readers.h"

#include <gtest/gtest.h>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;
using Reason = ReaderRole::Reason;

constexpr TimePoint Start{1h};
constexpr Duration Settled =
    ReaderRole::DiscoveryTime + ReaderRole::PromotionDelay;
constexpr std::size_t Late = ReaderRole::Readers; ///< Rank of no reader.

// A daemon that the store refuses accepts requests while the confirmations of
// the others reach it, and stayed first.
TEST(ReaderPlace, ADaemonWithoutTheStoreComesLast) {
  const ReaderPlace First{.Daemon = "a"};
  const ReaderPlace Second{.Daemon = "b"};
  const ReaderPlace Refusing{.Refusing = true, .Daemon = "a"};
  const ReaderPlace Lost{.LostStore = true, .Daemon = "a"};
  EXPECT_LT(First, Second);
  EXPECT_LT(Second, Refusing);
  EXPECT_LT(Refusing, Lost);
}

// One connection that breaks, or all that break at once, are no loss of the
// store: each change of the readers costs calls.
TEST(StoreReach, BrokenConnectionsAloneAreNoLoss) {
  StoreReach Reach;
  Reach.callEnded(false, Start);
  EXPECT_FALSE(Reach.lost(Start + 1h));
  Reach.callEnded(false, Start);
  EXPECT_FALSE(Reach.lost(Start));
  Reach.callEnded(true, Start + 10ms);
  EXPECT_FALSE(Reach.lost(Start + 1h));
}

TEST(StoreReach, FailuresWithoutAnAnswerAreALoss) {
  StoreReach Reach;
  Reach.callEnded(false, Start);
  Reach.callEnded(false, Start + 10ms);
  EXPECT_TRUE(Reach.lost(Start + StoreReach::MinLossTime));
  Reach.callEnded(true, Start + 1s);
  EXPECT_FALSE(Reach.lost(Start + 1s));
}

// Daemons that start together all take themselves for the first.
TEST(ReaderRole, ADaemonThatHasJustStartedDoesNotRead) {
  ReaderRole Role(Start);
  EXPECT_EQ(Role.decide(0, Start).Because, Reason::JustStarted);
  EXPECT_TRUE(Role.decide(0, Start + Settled).Current);
}

// In an outage, daemons are first in the order until they notice it too. Each
// would begin four watches that are never answered.
TEST(ReaderRole, AShortPromotionMakesNoReader) {
  ReaderRole Role(Start);
  TimePoint Now = Start + Settled;
  EXPECT_FALSE(Role.decide(Late, Now).Current);
  EXPECT_FALSE(Role.decide(0, Now += 100ms).Current);
  EXPECT_FALSE(Role.decide(Late, Now += ReaderRole::PromotionDelay).Current);
  EXPECT_FALSE(Role.decide(0, Now += 100ms).Current);
  EXPECT_TRUE(Role.decide(0, Now + ReaderRole::PromotionDelay).Current);
}

// Confirmations that other daemons had received and passed on counted as those
// of a reader, and nobody read.
TEST(ReaderRole, OnlyAReaderMakesReadingNeedless) {
  ReaderRole Role(Start);
  const TimePoint Now = Start + Settled;
  EXPECT_EQ(Role.decide(Late, Now).Because, Reason::NotFirst);
  Role.confirmedHere(Now);
  for (const StoreContact Contact : {StoreContact::Late, StoreContact::Lost}) {
    Role.heardEarlier(Contact, Now);
    EXPECT_EQ(Role.decide(Late, Now),
              (ReaderRole::Decision{.Current = true,
                                    .Because = Reason::NoKnownReader}));
  }
  Role.heardEarlier(StoreContact::Current, Now);
  EXPECT_EQ(Role.decide(Late, Now).Because, Reason::OtherReader);
  EXPECT_TRUE(Role.decide(Late, Now + ReaderRole::ReaderTimeout).Current);
  EXPECT_FALSE(
      Role.decide(Late, Now + ReaderRole::ReadTimeAfterConfirm).Current);
  Role.lostStore();
  EXPECT_FALSE(Role.decide(Late, Now + ReaderRole::ReaderTimeout).Current);
}

} // namespace
} // namespace nutmegdrift::policy
