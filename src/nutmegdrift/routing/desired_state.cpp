// Lookup tables for the desired state.
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
  for (const Route &Entry : m_state.Routes)
    m_byHost[lowerCase(Entry.Host)].push_back(&Entry);
  for (auto &[Host, Routes] : m_byHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route *A, const Route *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
  if (!m_state.Workspaces)
    return;
  for (const Workspace &Owner : *m_state.Workspaces)
    for (const std::string &Key : Owner.Keys)
      m_workspaceByKey.emplace(Key, &Owner.Name);
}

const Route *RoutingTable::match(std::string_view Host,
                                 std::string_view Target) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const auto HostRoutes = m_byHost.find(lowerCase(Name));
  if (HostRoutes == m_byHost.end())
    return nullptr;
  for (const Route *Candidate : HostRoutes->second)
    if (Path.starts_with(Candidate->PathPrefix))
      return Candidate;
  return nullptr;
}

const Service *RoutingTable::service(std::string_view Name) const {
  for (const Service &Entry : m_state.Services)
    if (Entry.Name == Name)
      return &Entry;
  return nullptr;
}

const std::string *RoutingTable::workspaceOf(const std::string &Key) const {
  const auto Entry = m_workspaceByKey.find(Key);
  return Entry == m_workspaceByKey.end() ? nullptr : Entry->second;
}

const std::string &RoutingTable::pickService(const Route &MatchedRoute,
                                             double Draw) {
  double Total = 0.0;
  for (const RouteShare &Share : MatchedRoute.Shares)
    Total += Share.Weight;
  double Remaining = Draw * Total;
  for (const RouteShare &Share : MatchedRoute.Shares) {
    if (Remaining < Share.Weight)
      return Share.Service;
    Remaining -= Share.Weight;
  }
  return MatchedRoute.Shares.back().Service;
}

} // namespace nutmegdrift::routing
