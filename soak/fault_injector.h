// Random faults from outside the processes, in a sequence that the seed gives.
#ifndef NUTMEGDRIFT_SOAK_FAULT_INJECTOR_H
#define NUTMEGDRIFT_SOAK_FAULT_INJECTOR_H

#include "fault_plan.h"

namespace nutmegdrift::soak {

/// Starts faults of random kinds at random moments; they overlap, and some come
/// in series. Everything ends with settle().
class FaultInjector final : public FaultPlan {
public:
  FaultInjector(Fleet &Of, std::uint64_t Seed);

  void start() override;
  void settle() override;

private:
  using Fault = void (FaultInjector::*)();
  struct Kind {
    const char *Name;
    Fault Run;
  };
  static const std::vector<Kind> &kinds();

  void next();
  void later(Duration Delay, std::function<void()> What);
  /// Shows a random fault on a link; Names are disturbed meanwhile.
  void disturbLink(FaultyLink &Link, const std::vector<std::string> &Names);
  void killAndStart(DaemonProcess &Which);
  void replaceReplica(ReplicaStandIn &Which);

  void killDaemon();
  void killAgainAndAgain();
  void killMost();
  void terminateDaemon();
  void terminateInTurn();
  void pauseDaemon();
  void reloadDaemon();
  void disturbCallers();
  void resetCallers();
  void disturbStoreLink();
  void resetStoreLink();
  void disturbReplicaLink();
  void resetReplicaLink();
  void storeDown();
  void storeForgetsHistory();
  void crashReplica();
  void drainReplica();
  void replicaFails();
  void replicaHangs();
  void replicaLosesAnswers();
  void addRoute();
  void removeRoute();
  void replaceKey();

  net::Timer m_timer;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_pending;
  /// Undo of faults that are still there, by number.
  std::map<std::uint64_t, std::function<void()>> m_undo;
  std::uint64_t m_next = 0;
  bool m_settled = false;
};

} // namespace nutmegdrift::soak

#endif
