// The state of the scaled services as this daemon sees it.
#include "nutmegdrift/gateway/scaling_control.h"

#include <algorithm>

namespace nutmegdrift::gateway {

std::vector<routing::DemandSummary> ScalingControl::demand() const {
  std::vector<routing::DemandSummary> Out;
  if (!m_env.State.Table)
    return Out;
  for (const routing::Service &Service : m_env.State.Table->state().Services)
    if (Service.Scaling)
      if (auto Summary = m_env.Demand(Service.Name))
        Out.push_back(std::move(*Summary));
  return Out;
}

void ScalingControl::record(const DaemonName &Daemon,
                            const std::vector<routing::DemandSummary> &Demand) {
  const TimePoint Now = m_env.Clk.now();
  std::set<routing::ReplicaId> Failing;
  for (const routing::DemandSummary &Each : Demand) {
    Failing.insert(Each.Failing.begin(), Each.Failing.end());
    const routing::Service *Service =
        m_env.State.Table ? m_env.State.Table->service(Each.Service) : nullptr;
    if (Service && Service->Scaling)
      m_scaler.report(Each.Service, Daemon,
                      {.Replicas = Each.Replicas,
                       .UnservedShare = Each.UnservedShare,
                       .Measured = Each.Measured},
                      Now);
  }
  if (!Demand.empty())
    m_failing[Daemon] = {std::move(Failing), Now};
}

void ScalingControl::onHeartbeat(const Heartbeat &Received) {
  record(Received.Daemon, Received.Demand);
}

double ScalingControl::heardShare(TimePoint Now) {
  const std::uint64_t Era = m_env.StoreEra();
  if (Era > m_storeEra) {
    if (m_storeEra > 0)
      m_restored = Now;
    m_storeEra = Era;
  }
  const auto Age = m_env.State.Freshness.age(Now);
  if (!Age || *Age > MaxStateAge ||
      (m_restored != TimePoint{} && Now - m_restored < RestoreDelay))
    return 0.0;
  const FleetView &View = m_env.Beacon.view();
  return static_cast<double>(View.aliveCount(Now) + 1) /
         static_cast<double>(View.members().size() + 1);
}

std::vector<policy::ReplicaScaler::ServiceState>
ScalingControl::services(TimePoint Now) const {
  std::set<routing::ReplicaId> Failing;
  for (const auto &[Daemon, Entry] : m_failing)
    if (Now - Entry.second <= policy::ReplicaScaler::CurrentReport)
      Failing.insert(Entry.first.begin(), Entry.first.end());
  std::set<std::string> Moving;
  for (const RolloutStatus &Status : m_env.State.Rollouts.statuses(Now))
    if (Status.Stage == RolloutStage::Canary ||
        Status.Stage == RolloutStage::Moving)
      Moving.insert(Status.Service);
  std::map<std::string, policy::ReplicaScaler::ServiceState> Found;
  for (const routing::Service &Service : m_env.State.Table->state().Services)
    if (Service.Scaling)
      Found[Service.Name] = {.Service = Service.Name,
                             .Bounds = {.Minimum = Service.Scaling->Minimum,
                                        .Maximum = Service.Scaling->Maximum,
                                        .Startup = Service.Scaling->Startup},
                             .Zones = {},
                             .Evacuated = m_env.State.Replicas.evacuated(),
                             .InRollout = Moving.contains(Service.Name)};
  for (const auto &[Id, Each] : m_env.State.Replicas.all()) {
    const auto Service = Found.find(Each.Record.Service);
    if (Service == Found.end() || Each.Record.Draining || Each.Leaving)
      continue;
    auto &Zone = Service->second.Zones[Each.Record.Zone];
    ++Zone.Present;
    Zone.Failing += Failing.contains(Id) ? 1 : 0;
  }
  std::vector<policy::ReplicaScaler::ServiceState> Out;
  for (auto &[Name, State] : Found)
    Out.push_back(std::move(State));
  return Out;
}

void ScalingControl::logChanges(
    const std::vector<policy::ReplicaOrder> &Before) {
  for (const policy::ReplicaOrder &Order : m_scaler.orders())
    if (std::find(Before.begin(), Before.end(), Order) == Before.end())
      m_env.Log.line(LogClass::State, "scaling.computed",
                     {{"service", Order.Service},
                      {"zone", Order.Zone},
                      {"replicas", std::to_string(Order.Count)},
                      {"reason", Order.Reason}});
}

void ScalingControl::tick() {
  const TimePoint Now = m_env.Clk.now();
  if (!m_env.State.Table ||
      (m_lastUpdate &&
       Now - *m_lastUpdate < policy::ReplicaScaler::SampleInterval))
    return;
  m_lastUpdate = Now;
  record(m_env.Self, demand());
  std::erase_if(m_failing, [&](const auto &Entry) {
    return Now - Entry.second.second > policy::ReplicaScaler::ReportRetention;
  });
  const auto Before = m_scaler.orders();
  m_scaler.update(Now, heardShare(Now), services(Now));
  logChanges(Before);
}

} // namespace nutmegdrift::gateway
