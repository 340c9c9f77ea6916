// Control of the refused share, and its division between workspaces.
#include "nutmegdrift/policy/load_shedder.h"

#include <algorithm>
#include <vector>

namespace nutmegdrift::policy {

namespace {

/// Entries with less demand than a thousandth of one request are removed.
constexpr double Negligible = LoadShedder::BaseRequestTokens / 1000;

} // namespace

void LoadShedder::tick(Duration MeanLag) {
  const double RelativeExcess = std::chrono::duration<double>(MeanLag) /
                                    std::chrono::duration<double>(TargetLag) -
                                1.0;
  m_refusedShare +=
      RelativeExcess > 0 ? Rise * std::min(RelativeExcess, 1.0) : -Fall;
  m_refusedShare = std::clamp(m_refusedShare, 0.0, MaxRefusedShare);
  updateServedDemand();
  for (auto &[Workspace, Demand] : m_demand)
    Demand *= DemandRetention;
  std::erase_if(m_demand,
                [](const auto &Entry) { return Entry.second < Negligible; });
}

void LoadShedder::updateServedDemand() {
  m_servedDemand = std::numeric_limits<double>::infinity();
  if (m_refusedShare <= 0)
    return;
  std::vector<double> SortedDemands;
  double RemainingDemand = 0;
  for (const auto &[Workspace, Demand] : m_demand) {
    SortedDemands.push_back(Demand);
    RemainingDemand += Demand;
  }
  RemainingDemand *= 1.0 - m_refusedShare;
  std::sort(SortedDemands.begin(), SortedDemands.end());
  for (std::size_t I = 0; I < SortedDemands.size(); ++I) {
    const double EqualShare =
        RemainingDemand / static_cast<double>(SortedDemands.size() - I);
    if (SortedDemands[I] >= EqualShare) {
      m_servedDemand = EqualShare;
      return;
    }
    RemainingDemand -= SortedDemands[I];
  }
}

bool LoadShedder::shouldRefuse(const std::string &Workspace, double Tokens,
                               double Draw) {
  double &Demand = m_demand[Workspace];
  const double Size = BaseRequestTokens + Tokens;
  Demand += Size;
  m_meanSize += SizeSmoothing * (Size - m_meanSize);
  if (m_refusedShare <= 0 || Demand <= m_servedDemand)
    return false;
  return Draw <
         (1.0 - m_servedDemand / Demand) * std::min(1.0, m_meanSize / Size);
}

} // namespace nutmegdrift::policy
