// Kinds of faults and their ends.
#include "fault_injector.h"

#include <algorithm>

namespace nutmegdrift::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Between the starts of two faults.
constexpr Duration LeastPause = milliseconds(150);
constexpr Duration MostPause = milliseconds(1500);
constexpr Duration ShortFault = milliseconds(300);
constexpr Duration LongFault = seconds(6);
constexpr Duration MostRestart = seconds(2);
/// A replica goes on serving this long after it has said that it leaves.
constexpr Duration ReplicaLinger = seconds(4);
/// Share of its requests that a failing replica treats badly.
constexpr double BadShare = 0.5;
/// Part of the daemons that killMost() ends.
constexpr double KilledPart = 0.7;

} // namespace

FaultInjector::FaultInjector(Fleet &Of, std::uint64_t Seed)
    : FaultPlan(Of, Seed), m_timer(Of.Loop) {}

const std::vector<FaultInjector::Kind> &FaultInjector::kinds() {
  static const std::vector<Kind> Table = {
      {"kill", &FaultInjector::killDaemon},
      {"kill-series", &FaultInjector::killAgainAndAgain},
      {"kill-most", &FaultInjector::killMost},
      {"terminate", &FaultInjector::terminateDaemon},
      {"terminate-in-turn", &FaultInjector::terminateInTurn},
      {"pause", &FaultInjector::pauseDaemon},
      {"reload", &FaultInjector::reloadDaemon},
      {"caller-link", &FaultInjector::disturbCallers},
      {"caller-reset", &FaultInjector::resetCallers},
      {"store-link", &FaultInjector::disturbStoreLink},
      {"store-reset", &FaultInjector::resetStoreLink},
      {"replica-link", &FaultInjector::disturbReplicaLink},
      {"replica-reset", &FaultInjector::resetReplicaLink},
      {"store-down", &FaultInjector::storeDown},
      {"store-history", &FaultInjector::storeForgetsHistory},
      {"replica-crash", &FaultInjector::crashReplica},
      {"replica-drain", &FaultInjector::drainReplica},
      {"replica-fails", &FaultInjector::replicaFails},
      {"replica-hangs", &FaultInjector::replicaHangs},
      {"replica-loses", &FaultInjector::replicaLosesAnswers},
      {"route-added", &FaultInjector::addRoute},
      {"route-removed", &FaultInjector::removeRoute},
      {"key-replaced", &FaultInjector::replaceKey}};
  return Table;
}

void FaultInjector::start() {
  m_timer.callAfter(between(LeastPause, MostPause), [this] { next(); });
}

void FaultInjector::next() {
  const Kind &Chosen = kinds()[m_random() % kinds().size()];
  ++m_started;
  m_fleet.note(std::string("fault=") + Chosen.Name);
  (this->*Chosen.Run)();
  start();
}

void FaultInjector::settle() {
  m_settled = true;
  m_timer.cancel();
  m_pending.clear();
  for (const auto &[Number, Undo] : std::exchange(m_undo, {}))
    Undo();
  resumeAll();
  m_fleet.note("fault=none");
}

void FaultInjector::later(Duration Delay, std::function<void()> What) {
  const std::uint64_t Number = m_next++;
  m_undo[Number] = std::move(What);
  auto Made = std::make_unique<net::Timer>(m_fleet.Loop);
  Made->callAfter(Delay, [this, Number] {
    const auto Done = m_pending.extract(Number);
    if (auto Undo = m_undo.extract(Number))
      Undo.mapped()();
  });
  m_pending[Number] = std::move(Made);
}

void FaultInjector::disturbLink(FaultyLink &Link,
                                const std::vector<std::string> &Names) {
  constexpr Duration LeastDelay = milliseconds(20);
  constexpr Duration MostDelay = milliseconds(400);
  const std::uint64_t Way = m_random() % 4;
  Link.setFault(
      {.Delay = Way == 0 ? between(LeastDelay, MostDelay) : Duration{0},
       .CutThere = Way == 1 || Way == 3,
       .CutBack = Way == 2 || Way == 3});
  for (const std::string &Each : Names)
    m_fleet.Disturbed.begin(Each, m_fleet.Clk.now());
  later(between(ShortFault, LongFault), [this, &Link, Names] {
    Link.setFault({});
    for (const std::string &Each : Names)
      m_fleet.Disturbed.end(Each, m_fleet.Clk.now());
  });
}

void FaultInjector::killAndStart(DaemonProcess &Which) {
  Which.kill();
  later(between(milliseconds(50), MostRestart), [&Which] { Which.start(); });
}

void FaultInjector::killDaemon() { killAndStart(daemon()); }

void FaultInjector::killAgainAndAgain() {
  constexpr int Times = 4;
  DaemonProcess &Which = daemon();
  Duration At{0};
  for (int I = 0; I < Times; ++I) {
    later(At, [this, &Which] {
      if (!m_settled)
        killAndStart(Which);
    });
    At += between(milliseconds(100), MostRestart);
  }
}

void FaultInjector::killMost() {
  for (const auto &Each : m_fleet.Daemons)
    if (uniform(m_random) < KilledPart)
      killAndStart(*Each);
}

void FaultInjector::terminateDaemon() {
  DaemonProcess &Which = daemon();
  Which.terminate();
  later(DaemonProcess::StopGrace + between(ShortFault, MostRestart),
        [&Which] { Which.start(); });
}

void FaultInjector::terminateInTurn() {
  Duration At{0};
  for (const auto &Each : m_fleet.Daemons) {
    later(At, [this, Which = Each.get()] {
      if (m_settled)
        return;
      Which->terminate();
      later(DaemonProcess::StopGrace + ShortFault, [Which] { Which->start(); });
    });
    At += seconds(1);
  }
}

void FaultInjector::pauseDaemon() {
  DaemonProcess &Which = daemon();
  Which.pause();
  later(between(ShortFault, LongFault), [&Which] { Which.resume(); });
}

void FaultInjector::reloadDaemon() {
  DaemonProcess &Which = daemon();
  Which.reload({daemon().host(), daemon().host()});
}

void FaultInjector::disturbCallers() {
  DaemonProcess &Which = daemon();
  disturbLink(Which.callers(), {Which.name()});
}

void FaultInjector::resetCallers() {
  DaemonProcess &Which = daemon();
  m_fleet.Disturbed.begin(Which.name(), m_fleet.Clk.now());
  Which.callers().resetAll();
  m_fleet.Disturbed.end(Which.name(), m_fleet.Clk.now());
}

void FaultInjector::disturbStoreLink() {
  DaemonProcess &Which = daemon();
  disturbLink(Which.store(), {Which.name()});
}

void FaultInjector::resetStoreLink() {
  DaemonProcess &Which = daemon();
  m_fleet.Disturbed.begin(Which.name(), m_fleet.Clk.now());
  Which.store().resetAll();
  m_fleet.Disturbed.end(Which.name(), m_fleet.Clk.now());
}

void FaultInjector::disturbReplicaLink() {
  ReplicaStandIn &Which = replica();
  disturbLink(Which.link(), {Which.id()});
}

void FaultInjector::resetReplicaLink() {
  ReplicaStandIn &Which = replica();
  m_fleet.Disturbed.begin(Which.id(), m_fleet.Clk.now());
  Which.link().resetAll();
  m_fleet.Disturbed.end(Which.id(), m_fleet.Clk.now());
}

void FaultInjector::storeDown() {
  m_fleet.Disturbed.begin(PromiseChecker::Store, m_fleet.Clk.now());
  m_fleet.Store.Down = true;
  later(between(ShortFault, LongFault), [this] {
    m_fleet.Store.Down = false;
    m_fleet.Disturbed.end(PromiseChecker::Store, m_fleet.Clk.now());
  });
}

void FaultInjector::storeForgetsHistory() {
  m_fleet.Disturbed.begin(PromiseChecker::Store, m_fleet.Clk.now());
  m_fleet.Store.forgetHistory();
  m_fleet.Disturbed.end(PromiseChecker::Store, m_fleet.Clk.now());
}

void FaultInjector::replaceReplica(ReplicaStandIn &Which) {
  const std::string Old = Which.id();
  Which.start();
  m_fleet.Operations->registerReplica(Which);
  m_fleet.note("replica=" + Which.id() + " before=" + Old);
}

void FaultInjector::crashReplica() {
  ReplicaStandIn &Which = replica();
  if (!Which.running())
    return;
  const std::string Old = Which.id();
  m_fleet.Disturbed.begin(Old, m_fleet.Clk.now());
  Which.crash();
  // The entry lapses some time after the replica is gone.
  later(between(ShortFault, seconds(3)), [this, &Which, Old] {
    m_fleet.Operations->unregisterReplica(Old);
    replaceReplica(Which);
  });
}

void FaultInjector::drainReplica() {
  ReplicaStandIn &Which = replica();
  if (!Which.running())
    return;
  const std::string Old = Which.id();
  m_fleet.Operations->announceDraining(Which);
  later(ReplicaLinger, [this, &Which, Old] {
    if (Which.id() != Old || !Which.running())
      return;
    m_fleet.Disturbed.begin(Old, m_fleet.Clk.now());
    m_fleet.Operations->unregisterReplica(Old);
    replaceReplica(Which);
  });
}

void FaultInjector::replicaFails() {
  ReplicaStandIn &Which = replica();
  Which.Faults.Fails = BadShare;
  later(between(ShortFault, LongFault), [&Which] { Which.Faults.Fails = 0; });
}

void FaultInjector::replicaHangs() {
  ReplicaStandIn &Which = replica();
  Which.Faults.Hangs = BadShare;
  later(between(ShortFault, LongFault), [&Which] { Which.Faults.Hangs = 0; });
}

void FaultInjector::replicaLosesAnswers() {
  ReplicaStandIn &Which = replica();
  Which.Faults.LosesAnswer = BadShare;
  later(between(ShortFault, LongFault),
        [&Which] { Which.Faults.LosesAnswer = 0; });
}

void FaultInjector::addRoute() { m_fleet.Operations->addRoute(); }
void FaultInjector::removeRoute() { m_fleet.Operations->removeRoute(); }
void FaultInjector::replaceKey() { m_fleet.Operations->replaceKey(m_random); }

} // namespace nutmegdrift::soak
