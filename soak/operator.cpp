// Changes of the desired state.
#include "operator.h"

#include "sample_deployment.h"

namespace nutmegdrift::soak {

namespace {

namespace names = platform::names;
using routing::RequestKind;

constexpr unsigned Workspaces = 4;
constexpr std::uint64_t FirstVersion = 3;
/// Versions grow in uneven steps.
constexpr std::uint64_t VersionStep = 2;
constexpr routing::Milliseconds Timeout{4000};

routing::Route route(const std::string &Name, RequestKind Kind,
                     const char *Service, unsigned MaxReplicas) {
  return {.Name = Name,
          .Host = platform::SampleHost,
          .PathPrefix = "/" + Name + "/",
          .Kind = Kind,
          .Timeout = Timeout,
          .FirstByteTarget = routing::Milliseconds(400),
          .Shares = {{.Service = Service}},
          .MaxReplicas = MaxReplicas};
}

} // namespace

Operator::Operator(platform::FakeStore &Store, PromiseChecker &Checker)
    : m_store(Store), m_checker(Checker) {
  m_state.Version = FirstVersion;
  m_state.Routes = {
      route("lookup", RequestKind::Idempotent, PlainService, 3),
      route("charge", RequestKind::RunOnce, PlainService, 2),
      route("report", RequestKind::Stream, ModelService, 2),
      route("chat", RequestKind::ResumableStream, ModelService, 3)};
  m_fixedRoutes = m_state.Routes.size();
  m_state.Services = {
      {.Name = PlainService, .ConnectionLimit = 200},
      {.Name = ModelService,
       .ConnectionLimit = 200,
       .Engine = routing::EngineTraits{.Slots = 8, .KvTokens = 400000}}};
  std::vector<routing::Workspace> &Owners = m_state.Workspaces.emplace();
  for (unsigned I = 0; I < Workspaces; ++I) {
    const std::string Name = "w" + std::to_string(I);
    Owners.push_back({.Name = Name, .Keys = {"key-" + Name}});
    m_checker.Workspaces["key-" + Name] = Name;
  }
  write();
}

void Operator::write() {
  m_store.put(names::StateKind, names::StateName,
              platform::sampleState(m_state));
  m_state.Version += VersionStep;
}

void Operator::addRoute() {
  const std::string Name = "extra" + std::to_string(++m_names);
  m_state.Routes.push_back(route(Name, RequestKind::RunOnce, PlainService, 2));
  write();
  m_checker.routeAdded(Name);
}

void Operator::removeRoute() {
  if (m_state.Routes.size() <= m_fixedRoutes)
    return;
  const auto Oldest =
      m_state.Routes.begin() + static_cast<std::ptrdiff_t>(m_fixedRoutes);
  const std::string Name = Oldest->Name;
  m_state.Routes.erase(Oldest);
  write();
  m_checker.routeRemoved(Name);
}

void Operator::replaceKey(Random &Rng) {
  std::vector<routing::Workspace> &Owners = m_state.Workspaces.value();
  routing::Workspace &Owner = Owners[Rng() % Owners.size()];
  const std::string Old = Owner.Keys.front();
  const std::string New = "key-" + std::to_string(++m_names) + "-" + Owner.Name;
  m_checker.Workspaces[New] = Owner.Name;
  Owner.Keys = {New};
  write();
  m_checker.keyAdded(New);
  m_checker.keyRemoved(Old);
}

void Operator::registerReplica(const ReplicaStandIn &Which) {
  m_store.put(names::ReplicaKind, Which.id(),
              platform::sampleReplica(Which.record(false)));
  m_checker.replicaInZone(Which.id(), Which.record(false).Zone);
}

void Operator::announceDraining(const ReplicaStandIn &Which) {
  m_store.put(names::ReplicaKind, Which.id(),
              platform::sampleReplica(Which.record(true)));
  m_checker.replicaLeft(Which.id());
}

void Operator::evacuate(const std::string &Zone) {
  m_store.put(names::EvacuationKind, Zone, nlohmann::json::object());
  m_checker.zoneEvacuated(Zone);
}

void Operator::takeBack(const std::string &Zone) {
  m_store.remove(names::EvacuationKind, Zone);
  m_checker.zoneTakenBack(Zone);
}

void Operator::unregisterReplica(const std::string &Id) {
  m_store.remove(names::ReplicaKind, Id);
  m_checker.replicaLeft(Id);
}

} // namespace nutmegdrift::soak
