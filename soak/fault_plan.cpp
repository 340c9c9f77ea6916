// Choices that all plans make.
#include "fault_plan.h"

namespace nutmegdrift::soak {

Duration FaultPlan::between(Duration Least, Duration Most) {
  return Least + std::chrono::duration_cast<Duration>((Most - Least) *
                                                      uniform(m_random));
}

DaemonProcess &FaultPlan::daemon() {
  DaemonProcess &Chosen = *m_fleet.Daemons[m_random() % m_fleet.Daemons.size()];
  m_fleet.note("target=" + Chosen.name());
  return Chosen;
}

ReplicaStandIn &FaultPlan::replica() {
  ReplicaStandIn &Chosen =
      *m_fleet.Replicas[m_random() % m_fleet.Replicas.size()];
  m_fleet.note("target=" + Chosen.id());
  return Chosen;
}

void FaultPlan::resumeAll() {
  for (const auto &Each : m_fleet.Daemons) {
    Each->resume();
    Each->startWhenStopped();
  }
}

} // namespace nutmegdrift::soak
