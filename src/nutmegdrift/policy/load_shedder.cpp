// Control of the refused part, and its division between workspaces.
#include "nutmegdrift/policy/load_shedder.h"

#include <algorithm>
#include <vector>

namespace nutmegdrift::policy {

namespace {

/// Less demand than this is forgotten: a thousandth of one request.
constexpr double Negligible = LoadShedder::BaseRequestTokens / 1000;

} // namespace

void LoadShedder::tick(Duration MeanLag) {
  const double Over = std::chrono::duration<double>(MeanLag) /
                          std::chrono::duration<double>(TargetLag) -
                      1.0;
  m_refusedShare += Over > 0 ? Rise * std::min(Over, 1.0) : -Fall;
  m_refusedShare = std::clamp(m_refusedShare, 0.0, MaxRefusedShare);
  updateServedDemand();
  for (auto &[Workspace, Demand] : m_demand)
    Demand *= DemandRetention;
  std::erase_if(m_demand,
                [](const auto &Each) { return Each.second < Negligible; });
}

void LoadShedder::updateServedDemand() {
  m_servedDemand = std::numeric_limits<double>::infinity();
  if (m_refusedShare <= 0)
    return;
  std::vector<double> Sorted;
  double Left = 0;
  for (const auto &[Workspace, Demand] : m_demand) {
    Sorted.push_back(Demand);
    Left += Demand;
  }
  Left *= 1.0 - m_refusedShare;
  std::sort(Sorted.begin(), Sorted.end());
  for (std::size_t I = 0; I < Sorted.size(); ++I) {
    const double Equal = Left / static_cast<double>(Sorted.size() - I);
    if (Sorted[I] >= Equal) {
      m_servedDemand = Equal;
      return;
    }
    Left -= Sorted[I];
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
