// Guards the lease counts, the plan's minimal movement and the claim rules.
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

// A holder that counted from the acknowledgement would outlive its lease.
TEST(LeaseHolder, CountsFromTheSendTime) {
  LeaseHolder Holder{LeaseTimes{}};
  Holder.recordSent(1, Start);
  EXPECT_FALSE(Holder.validAt(Start));
  Holder.recordAcknowledged(1);
  EXPECT_TRUE(Holder.validAt(Start + 2999ms));
  EXPECT_FALSE(Holder.validAt(Start + 3s));
}

// An observer that counted an outage would call every lease expired after it.
TEST(LeaseObserver, CountsOnlyReadableTime) {
  LeaseObserver View{LeaseTimes{}};
  for (auto At = 0ms; At <= 2s; At += 500ms)
    View.recordRead(1, 7, Start + At);
  EXPECT_EQ(View.readableTime(), 2s);
  View.recordReadFailure();
  View.recordRead(1, 7, Start + 60s);
  EXPECT_EQ(View.readableTime(), 2s);
  EXPECT_TRUE(View.interrupted());
  for (auto At = 60s + 500ms; At <= 61s + 500ms; At += 500ms)
    View.recordRead(1, 7, Start + At);
  EXPECT_TRUE(View.expired());
  View.recordRead(1, 8, Start + 62s);
  EXPECT_FALSE(View.expired());
}

std::map<std::string, DaemonName> owners(const std::vector<PlanMember> &All) {
  std::map<std::string, DaemonName> Out;
  for (int I = 0; I < 200; ++I) {
    const auto Id = "r" + std::to_string(I);
    Out[Id] = rankDaemons(Id, I % 2 == 0 ? "a" : "b", All).front();
  }
  return Out;
}

// A plan that moves unrelated replicas costs a hand-over for each of them.
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

// A cell above its bound makes heartbeats grow with the fleet.
TEST(OwnershipPlan, CellsPartitionTheMembers) {
  std::vector<DaemonName> All;
  All.reserve(53);
  for (int I = 0; I < 53; ++I)
    All.push_back("d" + std::to_string(I));
  std::set<std::vector<DaemonName>> Cells;
  std::size_t Sum = 0;
  for (const auto &Name : All)
    if (Cells.insert(cellMembers(Name, All)).second)
      Sum += cellMembers(Name, All).size();
  EXPECT_EQ(Cells.size(), 4U);
  EXPECT_EQ(Sum, 53U);
  for (const auto &Cell : Cells)
    EXPECT_LE(Cell.size(), MaxCellSize);
}

// A wrong row lets two daemons use one replica.
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

// The successor's room and what may still run must not exceed Bears.
TEST(ClaimRules, CarryLeavesOnlyTheRest) {
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
