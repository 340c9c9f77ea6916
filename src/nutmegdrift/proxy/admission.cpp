#include "nutmegdrift/proxy/admission.h"

#include "nutmegdrift/proxy/filters.h"

#include <algorithm>
#include <set>

namespace nutmegdrift::proxy {

using policy::FairScheduler;
using policy::WorkId;

namespace {

/// How often a waiting request looks whether its caller is still there.
constexpr std::chrono::milliseconds CallerCheckInterval{250};

/// A request that runs at most once stays queued: its caller may come back
/// for the answer with the same ticket or key.
bool abandoned(const RequestContext &Request) {
  return !Request.runsAtMostOnce() && Request.CallerGone &&
         Request.CallerGone();
}

policy::Fingerprint fingerprintOf(const RequestContext &Request) {
  return policy::fingerprintOf(Request.Workspace, Request.What, Request.Body);
}

} // namespace

/// One request thread that waits for its slot. Guarded by the lane's mutex.
struct Admission::Waiter {
  enum class State { Waiting, Dispatched, Taken, Expired, Displaced };

  std::string Workspace;
  State Now = State::Waiting;
  config::ReplicaId Replica; ///< Set if dispatched.
  DaemonName TakenBy;        ///< Set if taken for another owner's slot.
  policy::OfferId Offer = 0;
  std::condition_variable Changed;

  void set(State To) {
    Now = To;
    Changed.notify_one();
  }
};

/// The scheduler of one target and the threads that wait at it.
struct Admission::Lane {
  Lane(Target Name, const DaemonName &Self, BootId Boot,
       const policy::SchedulerSettings &Settings)
      : What(std::move(Name)), Scheduler(What, Self, Boot, Settings) {}

  [[nodiscard]] std::vector<config::ReplicaId> replicaIds() const {
    std::vector<config::ReplicaId> Out;
    for (const auto &[Id, Record] : Replicas)
      Out.push_back(Id);
    return Out;
  }

  const Target What;
  std::mutex Mutex; ///< Guards all below.
  FairScheduler Scheduler;
  std::map<WorkId, Waiter *> Waiting;
  std::map<config::ReplicaId, config::Replica> Replicas;
  bool Usable = false; ///< Any replica may get new work.
};

/// A slot on a replica of this daemon.
class Admission::LocalSlot final : public Slot {
public:
  LocalSlot(Admission &Owner, std::shared_ptr<Lane> Where, WorkId Work,
            config::Replica Record, policy::Fingerprint Request)
      : m_owner(Owner), m_lane(std::move(Where)), m_work(Work),
        m_replica(std::move(Record)), m_request(Request) {
    m_owner.m_hooks.Suspects.started(m_request, m_replica.Id);
    const std::scoped_lock Lock(m_owner.m_runningMutex);
    ++m_owner.m_runningByReplica[m_replica.Id];
  }
  ~LocalSlot() override {
    finish(SlotOutcome::Canceled);
    m_owner.m_hooks.Suspects.ended(m_request, m_replica.Id);
    const std::scoped_lock Lock(m_owner.m_runningMutex);
    auto Count = m_owner.m_runningByReplica.find(m_replica.Id);
    if (--Count->second == 0)
      m_owner.m_runningByReplica.erase(Count);
  }
  LocalSlot(const LocalSlot &) = delete;
  LocalSlot &operator=(const LocalSlot &) = delete;

  [[nodiscard]] const config::Replica &replica() const override {
    return m_replica;
  }
  [[nodiscard]] bool mayStart() const override {
    return m_owner.m_hooks.MayStart(m_replica.Id);
  }
  void charge(double Tokens) override {
    const std::scoped_lock Lock(m_lane->Mutex);
    m_lane->Scheduler.charge(m_work, Tokens, m_owner.m_clock.now());
  }
  void finish(SlotOutcome Outcome) override {
    if (std::exchange(m_finished, true))
      return;
    if (Outcome == SlotOutcome::Crashed)
      m_owner.m_hooks.Suspects.connectionBroke(m_replica);
    std::unique_lock Lock(m_lane->Mutex);
    m_lane->Scheduler.finish(m_work, translate(Outcome), m_owner.m_clock.now());
    m_owner.pump(*m_lane, Lock);
  }

private:
  static policy::Outcome translate(SlotOutcome Outcome) {
    switch (Outcome) {
    case SlotOutcome::Succeeded:
      return policy::Outcome::Completed;
    case SlotOutcome::Refused:
      return policy::Outcome::Refused;
    case SlotOutcome::Canceled:
      return policy::Outcome::Cancelled;
    case SlotOutcome::Failed:
    case SlotOutcome::Crashed:
      break;
    }
    return policy::Outcome::Failed;
  }

  Admission &m_owner;
  const std::shared_ptr<Lane> m_lane;
  const WorkId m_work;
  const config::Replica m_replica;
  const policy::Fingerprint m_request;
  bool m_finished = false;
};

Admission::Admission(const Clock &Clk, EventLog &Log, DaemonName Self,
                     BootId Boot, policy::SchedulerSettings Settings,
                     AdmissionHooks Hooks)
    : m_clock(Clk), m_log(Log), m_self(std::move(Self)), m_boot(Boot),
      m_settings(Settings), m_hooks(std::move(Hooks)) {}

Admission::~Admission() = default;

std::shared_ptr<Admission::Lane> Admission::lane(const Target &What) {
  const std::scoped_lock Lock(m_mutex);
  auto &Found = m_lanes[What];
  if (!Found) {
    Found = std::make_shared<Lane>(What, m_self, m_boot, m_settings);
    applyConfig(*Found, m_config);
  }
  return Found;
}

std::shared_ptr<Admission::Lane> Admission::findLane(const Target &What) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Found = m_lanes.find(What);
  return Found == m_lanes.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<Admission::Lane>> Admission::lanes() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<std::shared_ptr<Lane>> Out;
  for (const auto &[What, Where] : m_lanes)
    Out.push_back(Where);
  return Out;
}

Result<Route> Admission::acquire(const RequestContext &Request,
                                 const config::FleetConfig & /*Config*/) {
  // Checked for each try: a retry must not go on after the second crash.
  BOOST_LEAF_CHECK(m_hooks.Suspects.check(fingerprintOf(Request)));
  const auto Where = findLane(Request.What);
  if (!Where || draining())
    return relayRoute(Request);
  {
    const std::scoped_lock Lock(Where->Mutex);
    if (!Where->Usable && Request.Offer == 0)
      return relayRoute(Request);
    // Work that may not start here by the share of a version doesn't wait for
    // the share to grow while another owner serves the old version.
    if (Where->Usable && Request.Offer == 0 &&
        !Where->Scheduler.routeAvailable(Request.Plan) &&
        !m_hooks.OtherOwners(Request.What).empty())
      return relayRoute(Request);
  }
  return waitForSlot(Where, Request);
}

bool Admission::draining() const {
  const std::scoped_lock Lock(m_mutex);
  return m_draining;
}

Result<Route> Admission::relayRoute(const RequestContext &Request) {
  if (Request.Relayed)
    return fail(ErrorKind::RelayRefused,
                m_self + " owns no replica of " + toString(Request.What));
  const auto Owners = m_hooks.OtherOwners(Request.What);
  if (Owners.empty() && m_hooks.HasEndpoint(Request.What))
    return fail(ErrorKind::RelayRefused, "no daemon owns a replica of " +
                                             toString(Request.What) + " now");
  if (Owners.empty())
    return fail(ErrorKind::NoEndpoint,
                "no replica of " + toString(Request.What) + " is known");
  return Route{.Local = nullptr, .Owner = Owners.front()};
}

Result<Route> Admission::waitForSlot(const std::shared_ptr<Lane> &Where,
                                     const RequestContext &Request) {
  Waiter Mine;
  Mine.Workspace = Request.Workspace;
  const auto Print = fingerprintOf(Request);
  std::unique_lock Lock(Where->Mutex);
  policy::WorkItem Item{.Workspace = Request.Workspace,
                        .Plan = Request.Plan,
                        .CostHint = Request.CostHint.value_or(0.0),
                        .PrefixHash = Request.PrefixHash,
                        .Deadline = Request.Deadline,
                        .AvoidReplicas = Request.FailedOn,
                        .Relayed = Request.Relayed};
  for (auto &Id : m_hooks.Suspects.toAvoid(Print, Where->replicaIds()))
    Item.AvoidReplicas.push_back(std::move(Id));
  const auto Now = m_clock.now();
  const auto Queued =
      Request.Offer != 0
          ? Where->Scheduler.enqueueOffered(Request.Offer, std::move(Item), Now)
          : Where->Scheduler.enqueue(std::move(Item), Now);
  if (!Queued)
    return fail(Queued.Failure);
  Where->Waiting[*Queued] = &Mine;
  pump(*Where, Lock);
  while (Mine.Now == Waiter::State::Waiting) {
    Mine.Changed.wait_until(
        Lock, std::min(Request.Deadline, m_clock.now() + CallerCheckInterval));
    if (Mine.Now != Waiter::State::Waiting)
      break;
    if (m_clock.now() >= Request.Deadline)
      pump(*Where, Lock);
    else if (abandoned(Request))
      return leaveQueue(*Where, *Queued);
  }
  Where->Waiting.erase(*Queued);
  switch (Mine.Now) {
  case Waiter::State::Dispatched: {
    auto Record = Where->Replicas[Mine.Replica];
    Lock.unlock();
    auto Taken = std::make_unique<LocalSlot>(*this, Where, *Queued,
                                             std::move(Record), Print);
    // Copies of the request may have crashed endpoints while this one waited.
    BOOST_LEAF_CHECK(m_hooks.Suspects.check(Print));
    return Route{.Local = std::move(Taken), .Owner = {}};
  }
  case Waiter::State::Taken:
    return Route{.Local = nullptr, .Owner = Mine.TakenBy, .Offer = Mine.Offer};
  case Waiter::State::Displaced:
    return relayRoute(Request);
  default:
    return fail(ErrorKind::DeadlinePassed, "deadline passed while waiting");
  }
}

/// Gives up the place of a request whose caller has gone. Called with the
/// lane's mutex held.
Result<Route> Admission::leaveQueue(Lane &Where, WorkId Work) {
  Where.Scheduler.cancel(Work, m_clock.now());
  Where.Waiting.erase(Work);
  return fail(ErrorKind::CallerDisconnected,
              "caller left while its request waited");
}

/// Starts what may start, moves what another owner has a slot for and expires
/// what waited too long. Messages go out without the lock.
void Admission::pump(Lane &Where, std::unique_lock<std::mutex> &Lock) {
  const auto Now = m_clock.now();
  const auto Wake = [&](WorkId Id, auto &&Change) {
    const auto Found = Where.Waiting.find(Id);
    if (Found != Where.Waiting.end())
      Change(*Found->second);
  };
  for (const auto Id : Where.Scheduler.expire(Now))
    Wake(Id, [](Waiter &W) { W.set(Waiter::State::Expired); });
  const auto Offers = Where.Scheduler.nextOffers(Now);
  for (const auto &Started : Where.Scheduler.nextDispatch(Now))
    Wake(Started.Work, [&](Waiter &W) {
      W.Replica = Started.Replica;
      W.set(Waiter::State::Dispatched);
    });
  for (const auto &Move : Where.Scheduler.nextCreditMoves(Now))
    Wake(Move.Work, [&](Waiter &W) {
      W.TakenBy = Move.Receiver;
      W.set(Waiter::State::Taken);
    });
  const auto Peers = Where.Scheduler.peersToNotify(Now);
  if (Offers.empty() && Peers.empty())
    return;
  Lock.unlock();
  if (!Peers.empty() && m_hooks.TellPeers)
    m_hooks.TellPeers(Where.What, Peers);
  for (const auto &Offer : Offers)
    m_hooks.SendOffer(Where.What, Offer);
  Lock.lock();
}

void Admission::setReplicas(
    const std::vector<policy::OwnedReplicaState> &Replicas) {
  {
    const std::scoped_lock Lock(m_mutex);
    m_owned = Replicas;
  }
  spreadReplicas();
}

void Admission::setZonesOut(const std::set<std::string> &Zones) {
  {
    const std::scoped_lock Lock(m_mutex);
    m_zonesOut = Zones;
  }
  spreadReplicas();
}

/// Gives each lane its replicas. Calls from two threads end with the latest
/// state, since each reads it under the spreading lock.
void Admission::spreadReplicas() {
  const std::scoped_lock Spreading(m_spreadMutex);
  std::map<Target, std::vector<policy::OwnedReplicaState>> ByTarget;
  for (const auto &Known : lanes())
    ByTarget[Known->What];
  {
    const std::scoped_lock Lock(m_mutex);
    for (auto Owned : m_owned) {
      Owned.ZoneOutOfService = m_zonesOut.contains(Owned.Record.Zone);
      ByTarget[Owned.Record.ServedTarget].push_back(Owned);
    }
  }
  for (const auto &[What, Owned] : ByTarget)
    setLaneReplicas(*lane(What), Owned);
}

void Admission::setLaneReplicas(
    Lane &Where, const std::vector<policy::OwnedReplicaState> &Owned) {
  std::unique_lock Lock(Where.Mutex);
  Where.Replicas.clear();
  bool Usable = false;
  for (const auto &One : Owned) {
    Where.Replicas[One.Record.Id] = One.Record;
    Usable = Usable || !(One.ZoneOutOfService || One.Record.Leaving);
  }
  Where.Scheduler.setReplicas(Owned);
  Where.Usable = Usable;
  // Nothing can start here any more, so what waits goes to other owners.
  if (!Usable)
    displaceAll(Where);
  pump(Where, Lock);
}

void Admission::displaceAll(Lane &Where) {
  for (const auto &[Id, Waiting] : Where.Waiting) {
    if (Waiting->Now != Waiter::State::Waiting)
      continue;
    Where.Scheduler.cancel(Id, m_clock.now());
    Waiting->set(Waiter::State::Displaced);
  }
}

void Admission::applyConfig(Lane &Where,
                            const config::FleetConfig &Config) const {
  for (const auto &Member : Config.Workspaces)
    if (const auto *Plan = findPlan(Config, Member.Name))
      Where.Scheduler.setWorkspace(Member.Name, Plan->Weight, Plan->MaxQueued);
}

void Admission::setConfig(const config::FleetConfig &Config) {
  {
    const std::scoped_lock Lock(m_mutex);
    m_config = Config;
  }
  for (const auto &Where : lanes()) {
    const std::scoped_lock Lock(Where->Mutex);
    applyConfig(*Where, Config);
  }
}

void Admission::setVersionShare(const Target &What, const std::string &Version,
                                double Share) {
  setVersionShare(What, Version, Share, {});
}

void Admission::setVersionShare(const Target &What, const std::string &Version,
                                double Share,
                                std::map<std::string, double> Routes) {
  const auto Where = lane(What);
  std::unique_lock Lock(Where->Mutex);
  Where->Scheduler.setVersionShare(Version, Share, std::move(Routes));
  pump(*Where, Lock);
}

void Admission::addRouteDispatches(const Target &What, const std::string &Plan,
                                   std::uint64_t Count) {
  const auto Where = lane(What);
  std::unique_lock Lock(Where->Mutex);
  Where->Scheduler.addRouteDispatches(Plan, Count);
  pump(*Where, Lock);
}

void Admission::reportLoad(const Target &What, const config::ReplicaId &Replica,
                           std::size_t Running, std::size_t Waiting) {
  if (const auto Where = findLane(What)) {
    const std::scoped_lock Lock(Where->Mutex);
    Where->Scheduler.reportLoad(Replica, Running, Waiting, m_clock.now());
  }
}

void Admission::drain() {
  {
    const std::scoped_lock Lock(m_mutex);
    m_draining = true;
  }
  for (const auto &Where : lanes()) {
    const std::scoped_lock Lock(Where->Mutex);
    displaceAll(*Where);
  }
}

policy::CounterChanges Admission::changesSince(const Target &What,
                                               std::uint64_t Cursor) {
  const auto Where = lane(What);
  const std::scoped_lock Lock(Where->Mutex);
  return Where->Scheduler.changesSince(Cursor);
}

void Admission::merge(const Target &What,
                      const std::vector<policy::CounterEntry> &Entries) {
  const auto Where = lane(What);
  std::unique_lock Lock(Where->Mutex);
  Where->Scheduler.merge(Entries);
  pump(*Where, Lock);
}

std::vector<policy::SpareSlots> Admission::splitSpare(const Target &What,
                                                      std::size_t Peers) {
  const auto Where = lane(What);
  const std::scoped_lock Lock(Where->Mutex);
  return Where->Scheduler.splitSpare(Peers);
}

void Admission::setPeerSpare(const Target &What, const DaemonName &From,
                             policy::SpareSlots Spare) {
  const auto Where = lane(What);
  const std::scoped_lock Lock(Where->Mutex);
  Where->Scheduler.setPeerSpare(From, Spare, m_clock.now());
}

void Admission::dropPeer(const DaemonName &Daemon) {
  for (const auto &Where : lanes()) {
    const std::scoped_lock Lock(Where->Mutex);
    Where->Scheduler.dropPeer(Daemon);
  }
}

void Admission::onOffer(const DaemonName &From, const Target &What,
                        policy::OfferId Offer, const std::string &Workspace) {
  const auto Where = findLane(What);
  if (Where) {
    const std::scoped_lock Lock(Where->Mutex);
    const auto Taken = Where->Scheduler.popForOffer(Workspace, m_clock.now());
    if (Taken) {
      const auto Found = Where->Waiting.find(Taken->Work);
      if (Found != Where->Waiting.end()) {
        Found->second->TakenBy = From;
        Found->second->Offer = Offer;
        Found->second->set(Waiter::State::Taken);
        return;
      }
    }
  }
  m_hooks.DeclineOffer(From, What, Offer);
}

void Admission::onDecline(const Target &What, policy::OfferId Offer) {
  if (const auto Where = findLane(What)) {
    std::unique_lock Lock(Where->Mutex);
    Where->Scheduler.declineOffer(Offer);
    pump(*Where, Lock);
  }
}

void Admission::tick() {
  for (const auto &Where : lanes()) {
    std::unique_lock Lock(Where->Mutex);
    pump(*Where, Lock);
  }
}

std::vector<TargetFigures> Admission::figures() const {
  std::vector<TargetFigures> Out;
  for (const auto &Where : lanes()) {
    const std::scoped_lock Lock(Where->Mutex);
    TargetFigures One{.What = Where->What,
                      .Limit = Where->Scheduler.limit(),
                      .Running = Where->Scheduler.running(),
                      .Queued = Where->Scheduler.queued(),
                      .Replicas = Where->Replicas.size(),
                      .ServiceByWorkspace = {}};
    for (const auto &[Id, Waiting] : Where->Waiting)
      One.ServiceByWorkspace[Waiting->Workspace] =
          Where->Scheduler.normalisedService(Waiting->Workspace);
    Out.push_back(std::move(One));
  }
  return Out;
}

std::size_t Admission::running(const config::ReplicaId &Replica) const {
  const std::scoped_lock Lock(m_runningMutex);
  const auto Found = m_runningByReplica.find(Replica);
  return Found == m_runningByReplica.end() ? 0 : Found->second;
}

} // namespace nutmegdrift::proxy
