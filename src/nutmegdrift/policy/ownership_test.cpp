// Tests lease timing, minimal movement of the ownership plan and claim rules.
#include "nutmegdrift/policy/claim_rules.h"
#include "nutmegdrift/policy/lease.h"
#include "nutmegdrift/policy/ownership_plan.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

// A holder that counted from the acknowledgement would serve after its lease
// has expired for observers.
TEST(LeaseHolder, CountsFromTheSendTime) {
  LeaseHolder Holder{LeaseTimes{}};
  Holder.recordSent(1, Start);
  EXPECT_FALSE(Holder.validAt(Start));
  Holder.recordAcknowledged(1);
  EXPECT_TRUE(Holder.validAt(Start + 2999ms));
  EXPECT_FALSE(Holder.validAt(Start + 3s));
}

// An observer that counted outage time would treat each lease as expired after
// the outage.
TEST(LeaseObserver, CountsOnlyReadableTime) {
  LeaseObserver Observer{LeaseTimes{}};
  for (auto Elapsed = 0ms; Elapsed <= 2s; Elapsed += 500ms)
    Observer.recordRead(1, 7, Start + Elapsed);
  EXPECT_EQ(Observer.readableTime(), 2s);
  Observer.recordReadFailure();
  Observer.recordRead(1, 7, Start + 60s);
  EXPECT_EQ(Observer.readableTime(), 2s);
  EXPECT_TRUE(Observer.interrupted());
  for (auto Elapsed = 60s + 500ms; Elapsed <= 61s + 500ms; Elapsed += 500ms)
    Observer.recordRead(1, 7, Start + Elapsed);
  EXPECT_TRUE(Observer.expired());
  Observer.recordRead(1, 8, Start + 62s);
  EXPECT_FALSE(Observer.expired());
}

std::map<std::string, DaemonName> owners(const std::vector<PlanMember> &All) {
  std::map<std::string, DaemonName> Out;
  for (int I = 0; I < 200; ++I) {
    const auto Id = "r" + std::to_string(I);
    Out[Id] = rankDaemons(Id, I % 2 == 0 ? "a" : "b", All).front();
  }
  return Out;
}

// Each replica that moves without need costs a hand-over.
TEST(OwnershipPlan, JoinMovesOnlyTheJoinersShare) {
  std::vector<PlanMember> Members;
  Members.reserve(9);
  for (int I = 0; I < 8; ++I)
    Members.push_back({"d" + std::to_string(I), I < 4 ? "a" : "b"});
  const auto Before = owners(Members);
  Members.push_back({"d8", "a"});
  int Moved = 0;
  for (const auto &[Id, Owner] : owners(Members)) {
    if (Owner == Before.at(Id))
      continue;
    ++Moved;
    EXPECT_EQ(Owner, "d8");
  }
  EXPECT_GE(Moved, 10); // A fifth of zone a's 100 replicas is 20.
  EXPECT_LE(Moved, 30);
}

// Cells without a size bound make heartbeats grow with the fleet.
TEST(OwnershipPlan, CellsPartitionTheMembers) {
  std::vector<DaemonName> All;
  All.reserve(53);
  for (int I = 0; I < 53; ++I)
    All.push_back("d" + std::to_string(I));
  std::set<std::vector<DaemonName>> Cells;
  std::size_t TotalMembers = 0;
  for (const auto &Name : All)
    if (Cells.insert(cellMembers(Name, All)).second)
      TotalMembers += cellMembers(Name, All).size();
  EXPECT_EQ(Cells.size(), 4U);
  EXPECT_EQ(TotalMembers, 53U);
  for (const auto &Cell : Cells)
    EXPECT_LE(Cell.size(), MaxCellSize);
}

// A wrong entry lets two daemons use one replica beyond its capacity.
TEST(ClaimRules, Table) {
  EXPECT_EQ(claimFactor({.Unowned = true}), FullLimitFactor);
  EXPECT_EQ(claimFactor({.ContinuousReads = true}), std::nullopt);
  EXPECT_EQ(claimFactor({.ConnectionRefused = true}), std::nullopt);
  EXPECT_EQ(claimFactor({.ConnectionRefused = true, .ContinuousReads = true}),
            FullLimitFactor);
  EXPECT_EQ(claimFactor({.Rebooted = true, .ContinuousReads = true}),
            FullLimitFactor);
  EXPECT_EQ(claimFactor({.LeaseExpired = true, .ContinuousReads = true}),
            FullLimitFactor);
  EXPECT_EQ(claimFactor({.LeaseExpired = true,
                         .ContinuousReads = true,
                         .PeersReportOutage = true}),
            std::nullopt);
  EXPECT_EQ(claimFactor({.LeaseExpired = true,
                         .OutageSinceRenewal = true,
                         .ContinuousReads = true}),
            HalfLimitFactor);
  EXPECT_EQ(outageFactor({.CellSize = 8, .MembersWithoutHeartbeat = 8}),
            std::nullopt);
  EXPECT_EQ(outageFactor({.AllLeasesExpired = true,
                          .CellSize = 8,
                          .MembersWithoutHeartbeat = 4}),
            std::nullopt);
  EXPECT_EQ(outageFactor({.AllLeasesExpired = true,
                          .CellSize = 8,
                          .MembersWithoutHeartbeat = 5}),
            HalfLimitFactor);
  EXPECT_EQ(outageFactor({.ConnectionRefused = true, .CellSize = 8}),
            HalfLimitFactor);
}

// The successor's limit and the requests that may still run must not exceed the
// capacity.
TEST(ClaimRules, ResidualRequestsLeaveTheRemainder) {
  EXPECT_EQ(requestLimit(4, FullLimitFactor,
                         residualAfterClaim(4, FullLimitFactor, 3)),
            1U);
  EXPECT_EQ(requestLimit(4, FullLimitFactor,
                         residualAfterClaim(4, FullLimitFactor, {})),
            1U);
  EXPECT_EQ(requestLimit(4, HalfLimitFactor,
                         residualAfterClaim(4, HalfLimitFactor, 2)),
            2U);
  EXPECT_EQ(requestLimit(4, HalfLimitFactor,
                         residualAfterClaim(4, HalfLimitFactor, 4)),
            0U);
  EXPECT_EQ(requestLimit(1, HalfLimitFactor, 0), 0U);
}

} // namespace
} // namespace nutmegdrift::policy
