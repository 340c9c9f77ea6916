// Lookup tables over a desired state.
#include "nutmegdrift/routing/desired_state.h"

#include <algorithm>
#include <cctype>

namespace nutmegdrift::routing {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Lower;
}

} // namespace

RoutingTable::RoutingTable(DesiredState State) : m_state(std::move(State)) {
  for (const Route &Each : m_state.Routes)
    m_byHost[lowerCase(Each.Host)].push_back(&Each);
  for (auto &[Host, Routes] : m_byHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route *A, const Route *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
  for (const Workspace &Each : m_state.Workspaces)
    for (const std::string &Key : Each.Keys)
      m_workspaceByKey.emplace(Key, &Each.Name);
}

const Route *RoutingTable::match(std::string_view Host,
                                 std::string_view Target) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const auto Found = m_byHost.find(lowerCase(Name));
  if (Found == m_byHost.end())
    return nullptr;
  for (const Route *Each : Found->second)
    if (Path.starts_with(Each->PathPrefix))
      return Each;
  return nullptr;
}

const Service *RoutingTable::service(std::string_view Name) const {
  for (const Service &Each : m_state.Services)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

const std::string *RoutingTable::workspaceOf(const std::string &Key) const {
  const auto Found = m_workspaceByKey.find(Key);
  return Found == m_workspaceByKey.end() ? nullptr : Found->second;
}

const std::string &RoutingTable::pickService(const Route &MatchedRoute,
                                             double Draw) {
  double Total = 0.0;
  for (const RouteShare &Each : MatchedRoute.Shares)
    Total += Each.Weight;
  double Left = Draw * Total;
  for (const RouteShare &Each : MatchedRoute.Shares) {
    if (Left < Each.Weight)
      return Each.Service;
    Left -= Each.Weight;
  }
  return MatchedRoute.Shares.back().Service;
}

} // namespace nutmegdrift::routing
