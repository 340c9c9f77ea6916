#include "nutmegdrift/daemon/directory.h"

#include <algorithm>
#include <tuple>

namespace nutmegdrift::daemon {

namespace {

/// How long an owner that refused is named last.
constexpr std::chrono::seconds RefusalAge{1};

} // namespace

void Directory::setEndpoints(
    std::map<config::ReplicaId, config::Replica> Endpoints) {
  const std::scoped_lock Lock(m_mutex);
  m_endpoints = std::move(Endpoints);
}

void Directory::setZone(const std::string &Scope,
                        const control::ZoneObject &Zone) {
  const std::scoped_lock Lock(m_mutex);
  m_zones[Scope] = Zone;
}

void Directory::setZonesOut(std::set<std::string> Zones) {
  const std::scoped_lock Lock(m_mutex);
  m_zonesOut = std::move(Zones);
}

void Directory::setLoad(const DaemonName &Daemon, const Target &What,
                        OwnerLoad Load) {
  const std::scoped_lock Lock(m_mutex);
  m_loads[{Daemon, What}] = Load;
}

std::vector<const control::MemberRecord *> Directory::activeMembers() const {
  std::vector<const control::MemberRecord *> Out;
  for (const auto &[Scope, Zone] : m_zones)
    for (const auto &[Name, Member] : Zone.Members)
      if (!Member.Leaving)
        Out.push_back(&Member);
  return Out;
}

std::map<DaemonName, std::size_t>
Directory::ownersOf(const Target &What) const {
  std::map<DaemonName, std::size_t> Out;
  for (const auto &[Scope, Zone] : m_zones)
    for (const auto &[Id, Record] : Zone.Records) {
      const auto Found = m_endpoints.find(Id);
      if (Found != m_endpoints.end() && Found->second.ServedTarget == What &&
          !Record.Owner.empty() && !Found->second.Leaving &&
          !m_zonesOut.contains(Found->second.Zone))
        ++Out[Record.Owner];
    }
  return Out;
}

void Directory::noteRefusal(const DaemonName &Owner, const Target &What,
                            TimePoint Now) {
  const std::scoped_lock Lock(m_mutex);
  m_refusals[{Owner, What}] = Now;
}

std::vector<DaemonName> Directory::otherOwners(const Target &What) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = SystemClock().now();
  std::erase_if(m_refusals,
                [&](const auto &One) { return Now - One.second > RefusalAge; });
  std::vector<std::tuple<bool, double, DaemonName>> Ranked;
  for (const auto &[Owner, Replicas] : ownersOf(What)) {
    if (Owner == m_self)
      continue;
    const auto Load = m_loads.find({Owner, What});
    const auto Queued = Load == m_loads.end() ? 0 : Load->second.Queued;
    Ranked.emplace_back(
        m_refusals.contains({Owner, What}),
        static_cast<double>(Queued) / static_cast<double>(Replicas), Owner);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<DaemonName> Out;
  Out.reserve(Ranked.size());
  for (auto &[Refused, Load, Owner] : Ranked)
    Out.push_back(std::move(Owner));
  return Out;
}

std::vector<HostPort> Directory::callerAddresses(const Target &What) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Owners = ownersOf(What);
  std::vector<HostPort> First;
  std::vector<HostPort> Rest;
  for (const auto *Member : activeMembers()) {
    auto &Into = Owners.contains(Member->Daemon) ? First : Rest;
    Into.push_back({Member->Host, Member->CallerPort});
  }
  First.insert(First.end(), Rest.begin(), Rest.end());
  return First;
}

std::vector<HostPort> Directory::otherAddresses() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<HostPort> Out;
  for (const auto *Member : activeMembers())
    if (Member->Daemon != m_self)
      Out.push_back({Member->Host, Member->CallerPort});
  return Out;
}

std::map<DaemonName, HostPort> Directory::peerAddresses() const {
  const std::scoped_lock Lock(m_mutex);
  std::map<DaemonName, HostPort> Out;
  for (const auto &[Scope, Zone] : m_zones)
    for (const auto &[Name, Member] : Zone.Members)
      if (Name != m_self)
        Out[Name] = {Member.Host, Member.PeerPort};
  if (Out.empty())
    for (const auto &Seed : m_seeds)
      Out[toString(Seed)] = Seed;
  return Out;
}

std::vector<DaemonName> Directory::members() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<DaemonName> Out;
  for (const auto *Member : activeMembers())
    Out.push_back(Member->Daemon);
  return Out;
}

bool Directory::hasEndpoint(const Target &What) const {
  const std::scoped_lock Lock(m_mutex);
  return std::any_of(
      m_endpoints.begin(), m_endpoints.end(),
      [&](const auto &One) { return One.second.ServedTarget == What; });
}

bool Directory::repeatable(const Target &What) const {
  if (What.Type == Target::Kind::Model)
    return true;
  const std::scoped_lock Lock(m_mutex);
  return std::all_of(
      m_endpoints.begin(), m_endpoints.end(), [&](const auto &One) {
        return One.second.ServedTarget != What || One.second.Repeatable;
      });
}

} // namespace nutmegdrift::daemon
