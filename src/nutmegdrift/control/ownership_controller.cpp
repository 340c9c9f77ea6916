// Claims, hand-overs and take-overs of replicas, and their admission check.
#include "nutmegdrift/control/ownership_controller.h"

#include "nutmegdrift/config/documents.h"

#include <algorithm>

namespace nutmegdrift::control {
namespace {

const std::string EndpointPrefix = "endpoints/";
/// Changes are polled at an interval, since the ticking thread must not block
/// on a watch.
constexpr std::chrono::milliseconds NoWait{0};

std::string text(std::uint64_t Number) { return std::to_string(Number); }

} // namespace

OwnershipController::OwnershipController(OwnershipOptions Options,
                                         MembershipController &Members,
                                         const Clock &Clk,
                                         platform::ObjectStore &Store,
                                         FleetChannel &Channel,
                                         RunningCounts &Running, EventLog &Log)
    : m_options(std::move(Options)), m_members(Members), m_clock(Clk),
      m_channel(Channel), m_running(Running), m_log(Log),
      m_endpointObjects(Clk, Store, EndpointPrefix, [this](const auto &Item) {
        applyEndpointChange(Item);
      }) {}

void OwnershipController::tick() {
  readEndpoints();
  reconcileRecords();
  processMessages();
  probeOwners();
  dropExpiredTakeovers();
  if (m_members.platformReadable()) {
    recordOutageChanges();
    handOverReplicas();
    claimReplicas();
  } else if (m_members.outageConfirmed()) {
    takeOverInOutage();
    handOverReplicas();
  }
  reconcileRecords();
  reportResidualRequests();
  publish();
}

void OwnershipController::onChange(ChangeHandler Handler) {
  const std::scoped_lock Lock(m_mutex);
  m_handler = std::move(Handler);
}

bool OwnershipController::mayAdmit(const config::ReplicaId &Id) const {
  const auto State = m_members.holdState();
  const std::scoped_lock Lock(m_mutex);
  // Admits nothing while the published limits belong to another hold state.
  if (State == HoldState::Stopped || State != m_publishedState ||
      !m_published.contains(Id))
    return false;
  return !m_unrecordedTakeovers.contains(Id) || m_members.outageConfirmed();
}

std::vector<OwnedReplica> OwnershipController::owned() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<OwnedReplica> Out;
  for (const auto &[Id, Item] : m_published)
    Out.push_back(Item);
  return Out;
}

std::vector<config::Replica> OwnershipController::endpoints() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<config::Replica> Out;
  for (const auto &[Id, Item] : m_endpoints)
    Out.push_back(Item);
  return Out;
}

void OwnershipController::setEvacuatedZones(std::set<std::string> Zones) {
  const std::scoped_lock Lock(m_mutex);
  m_evacuatedZones = std::move(Zones);
}

void OwnershipController::onResidualRequests(
    const DaemonName &From, const ResidualRequestsMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  m_residualMessages.emplace_back(From, Message);
}

void OwnershipController::onHandover(const DaemonName &From,
                                     const HandoverMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  m_handoverMessages.emplace_back(From, Message);
}

bool OwnershipController::drained() const {
  const std::scoped_lock Lock(m_mutex);
  return m_allHandedOver;
}

void OwnershipController::readEndpoints() {
  if (m_clock.now() < m_nextEndpointRead)
    return;
  m_nextEndpointRead = m_clock.now() + m_options.EndpointReadInterval;
  // If the platform can't be read, the last known endpoints stay in use.
  if (errorOf([&] { return m_endpointObjects.step(NoWait); }))
    return;
  std::map<config::ReplicaId, config::Replica> Next;
  for (const auto &[Name, Replica] : m_endpointRecords)
    if (inScope(Replica))
      Next.emplace(Replica.Id, Replica);
  const std::scoped_lock Lock(m_mutex);
  m_endpoints = std::move(Next);
}

/// Stores the changed endpoint, or removes it if it is deleted or invalid.
void OwnershipController::applyEndpointChange(const platform::Change &Item) {
  const auto &Name = Item.Value.Name;
  m_endpointRecords.erase(Name);
  if (Item.Deleted)
    return;
  auto Read = capture([&] {
    return config::parseReplica(Name.substr(EndpointPrefix.size()),
                                Item.Value.Text);
  });
  if (Read)
    m_endpointRecords.emplace(Name, std::move(*Read));
  else
    m_log.event("ownership.invalid_endpoint",
                {{"object", Name}, {"error", Read.Failure.Message}});
}

bool OwnershipController::inScope(const config::Replica &Replica) const {
  return m_options.Zones.empty() || m_options.Zones.contains(Replica.Zone);
}

bool OwnershipController::ownedBySelf(const OwnershipRecord &Record) const {
  return Record.Owner == m_members.self().Daemon &&
         Record.Boot == m_members.self().Boot;
}

/// Reconciles the held replicas with the newest zone object.
void OwnershipController::reconcileRecords() {
  const auto Version = m_members.version();
  if (Version == m_version)
    return;
  m_version = Version;
  m_zone = m_members.zone();
  resetRankings();
  for (const auto &[Id, Record] : m_zone.Records)
    reconcileReplica(Id, Record);
  std::vector<config::ReplicaId> RemovedIds;
  for (const auto &[Id, Held] : m_heldReplicas)
    if (!m_zone.Records.contains(Id))
      RemovedIds.push_back(Id);
  for (const auto &Id : RemovedIds)
    m_heldReplicas.erase(Id);
}

void OwnershipController::reconcileReplica(const config::ReplicaId &Id,
                                           const OwnershipRecord &Record) {
  const auto HeldEntry = m_heldReplicas.find(Id);
  if (!ownedBySelf(Record)) {
    // A take-over stays valid while the record still names the replaced owner.
    if (HeldEntry != m_heldReplicas.end() &&
        (!HeldEntry->second.ReplacedOwner ||
         Record.Epoch >= HeldEntry->second.Epoch))
      release(Id, Record.Owner, Record.Epoch);
    return;
  }
  if (HeldEntry != m_heldReplicas.end() &&
      HeldEntry->second.Epoch == Record.Epoch) {
    auto &Held = HeldEntry->second;
    if (Held.ReplacedOwner) {
      Held.ReplacedOwner.reset();
      Held.FencingNumber = m_version;
    }
    if (Held.StoppedAtVersion && m_version > *Held.StoppedAtVersion)
      Held.StoppedAtVersion.reset();
    return;
  }
  acquire(Id, HeldReplica{.Factor = Record.Factor,
                          .ResidualRequests = Record.ResidualRequests,
                          .Epoch = Record.Epoch,
                          .Previous = Record.Previous,
                          .Claimed = Record.Claimed});
}

void OwnershipController::acquire(const config::ReplicaId &Id,
                                  HeldReplica Held) {
  const auto Now = m_clock.now();
  const auto &Options = m_members.options();
  Held.ResidualUntil = Now + m_options.MaxRequestDuration;
  Held.FullLimitAt = Now + Options.Times.Lease + Options.Times.Margin;
  if (!Held.PreviousStopped)
    Held.FullLimitAt += Options.MaxIsolationTime;
  Held.FencingNumber = m_version;
  m_log.event("ownership.acquired", {{"replica", Id},
                                     {"epoch", text(Held.Epoch)},
                                     {"carry", text(Held.ResidualRequests)},
                                     {"from", Held.Previous}});
  m_residualLoads.erase(Id);
  m_heldReplicas[Id] = std::move(Held);
}

/// Raises a half limit to the full one once no previous owner can hold the
/// other half.
void OwnershipController::raiseLimitFactor(HeldReplica &Held,
                                           TimePoint Now) const {
  if (!Held.ReplacedOwner && m_members.platformReadable() &&
      Now >= Held.FullLimitAt)
    Held.Factor = policy::FullLimitFactor;
}

/// Releases a replica. From then on its residual requests are reported to the
/// new owner, if there is one.
void OwnershipController::release(const config::ReplicaId &Id,
                                  const DaemonName &To, std::uint64_t Epoch) {
  const auto &Held = m_heldReplicas.at(Id);
  if (!To.empty())
    m_residualLoads[Id] =
        ResidualLoad{.NewOwner = To,
                     .Epoch = Epoch,
                     .InheritedRequests = Held.ResidualRequests,
                     .InheritedUntil = Held.ResidualUntil};
  m_heldReplicas.erase(Id);
  const std::scoped_lock Lock(m_mutex);
  m_withdrawn = m_published.erase(Id) > 0 || m_withdrawn;
  m_log.event("ownership.released", {{"replica", Id}, {"to", To}});
}

void OwnershipController::processMessages() {
  std::vector<std::pair<DaemonName, ResidualRequestsMessage>> Residuals;
  Inbox Handovers;
  {
    const std::scoped_lock Lock(m_mutex);
    Residuals.swap(m_residualMessages);
    Handovers.swap(m_handoverMessages);
  }
  for (const auto &[From, Message] : Residuals)
    applyResidualRequests(From, Message);
  for (const auto &[From, Message] : Handovers)
    applyHandover(From, Message);
}

void OwnershipController::applyResidualRequests(
    const DaemonName &From, const ResidualRequestsMessage &Message) {
  const auto HeldEntry = m_heldReplicas.find(Message.Replica);
  if (HeldEntry == m_heldReplicas.end() ||
      HeldEntry->second.Epoch != Message.Epoch ||
      HeldEntry->second.Previous != From)
    return;
  auto &Held = HeldEntry->second;
  // The message proves that the previous owner has stopped, so its half is
  // free.
  if (Held.Claimed && !Held.ReplacedOwner)
    Held.Factor = policy::FullLimitFactor;
  Held.ResidualRequests = Message.Running;
  Held.ResidualUntil = m_clock.now() + m_options.MaxRequestDuration;
}

void OwnershipController::applyHandover(const DaemonName &From,
                                        const HandoverMessage &Message) {
  const auto HeldEntry = m_heldReplicas.find(Message.Replica);
  if (Message.Ack) {
    if (HeldEntry != m_heldReplicas.end() && HeldEntry->second.Receiver == From)
      HeldEntry->second.HandoverAcked = true;
    return;
  }
  if (Message.Boot != m_members.self().Boot)
    return;
  if (HeldEntry == m_heldReplicas.end()) {
    const auto Record = m_zone.Records.find(Message.Replica);
    if (Record == m_zone.Records.end() || Record->second.Owner != From ||
        Record->second.Epoch + 1 != Message.Epoch)
      return;
    acquire(Message.Replica, HeldReplica{.Factor = Message.Factor,
                                         .ResidualRequests = Message.Running,
                                         .Epoch = Message.Epoch,
                                         .Previous = From,
                                         .PreviousStopped = true,
                                         .ReplacedOwner = From});
  }
  auto Ack = Message;
  Ack.Ack = true;
  m_channel.send(From, Ack);
}

/// Drops unrecorded take-overs if the last confirmation of the outage is too
/// old. The replaced owner returns to its full limit once every successor must
/// have recorded its take-over, so a daemon that was paused must not record its
/// own.
void OwnershipController::dropExpiredTakeovers() {
  const auto Now = m_clock.now();
  if (m_members.outageConfirmed())
    m_lastOutageConfirmation = Now;
  if (Now - m_lastOutageConfirmation <= m_options.TakeoverRecordTimeout)
    return;
  const std::scoped_lock Lock(m_mutex);
  std::erase_if(m_heldReplicas, [&](const auto &Item) {
    const auto &[Id, Held] = Item;
    if (!Held.ReplacedOwner)
      return false;
    m_withdrawn = m_published.erase(Id) > 0 || m_withdrawn;
    m_log.event("ownership.takeover_dropped",
                {{"replica", Id}, {"owner", *Held.ReplacedOwner}});
    return true;
  });
}

/// Writes the take-overs and direct hand-overs of an outage to the zone object.
void OwnershipController::recordOutageChanges() {
  const bool HasChanges = std::any_of(
      m_heldReplicas.begin(), m_heldReplicas.end(), [](const auto &Item) {
        return Item.second.ReplacedOwner || Item.second.Receiver;
      });
  if (!HasChanges)
    return;
  m_members.update([&](ZoneObject &Next) {
    bool Changed = false;
    for (const auto &[Id, Held] : m_heldReplicas)
      Changed = recordOutageChange(Next, Id, Held) || Changed;
    return Changed;
  });
  reconcileRecords();
}

bool OwnershipController::recordOutageChange(ZoneObject &Next,
                                             const config::ReplicaId &Id,
                                             const HeldReplica &Held) const {
  const auto RecordEntry = Next.Records.find(Id);
  if (RecordEntry == Next.Records.end())
    return false;
  auto &Record = RecordEntry->second;
  if (Held.ReplacedOwner && Record.Owner == *Held.ReplacedOwner &&
      Record.Epoch + 1 == Held.Epoch) {
    Record = recordFor(Held);
    return true;
  }
  if (Held.Receiver && ownedBySelf(Record) && Record.Epoch == Held.Epoch) {
    Record = {.Owner = *Held.Receiver,
              .Boot = Held.Handover.Boot,
              .Epoch = Held.Handover.Epoch,
              .ResidualRequests = Held.Handover.Running,
              .Factor = Held.Handover.Factor,
              .Previous = m_members.self().Daemon};
    return true;
  }
  return false;
}

OwnershipRecord OwnershipController::recordFor(const HeldReplica &Held) const {
  return {.Owner = m_members.self().Daemon,
          .Boot = m_members.self().Boot,
          .Epoch = Held.Epoch,
          .ResidualRequests = Held.ResidualRequests,
          .Factor = Held.Factor,
          .Previous = Held.Previous,
          .Claimed = Held.Claimed};
}

/// The cell members that may take over a replica during an outage, sorted.
std::vector<DaemonName> OwnershipController::cellSuccessors() const {
  auto Out = m_members.cell();
  std::erase_if(Out, [&](const auto &Name) {
    const auto Member = m_zone.Members.find(Name);
    return Member == m_zone.Members.end() || Member->second.Leaving;
  });
  std::sort(Out.begin(), Out.end());
  return Out;
}

/// Returns the cached ranking, which stays valid while the members stay the
/// same. A new ranking costs a hash per member and replica.
const std::vector<DaemonName> &
OwnershipController::ranking(const config::Replica &Replica) {
  auto &Kept = m_rankings[Replica.Id];
  if (Kept.empty())
    Kept = policy::rankDaemons(Replica.Id, Replica.Zone, m_rankedMembers);
  return Kept;
}

void OwnershipController::resetRankings() {
  std::vector<policy::PlanMember> Members;
  for (const auto &[Name, Member] : m_zone.Members)
    Members.push_back({.Name = Name, .Zone = Member.Zone});
  if (Members == m_rankedMembers)
    return;
  m_rankedMembers = std::move(Members);
  m_rankings.clear();
}

DaemonName
OwnershipController::preferredOwner(const config::Replica &Replica,
                                    const std::vector<DaemonName> &Candidates,
                                    const DaemonName &Excluded) {
  for (const auto &Name : ranking(Replica))
    if (Name != Excluded &&
        std::binary_search(Candidates.begin(), Candidates.end(), Name) &&
        !provenDead(Name, m_zone.Members.at(Name).Boot))
      return Name;
  return {};
}

bool OwnershipController::provenDead(const DaemonName &Name,
                                     BootId Boot) const {
  return m_deadBoots.contains({Name, Boot});
}

/// Probes the owners of the replicas for which this daemon is the successor.
void OwnershipController::probeOwners() {
  if (m_clock.now() < m_nextProbe)
    return;
  m_nextProbe = m_clock.now() + m_options.ProbeInterval;
  std::set<DaemonName> Owners;
  const auto Candidates = m_members.liveMembers(false);
  for (const auto &Replica : endpoints()) {
    const auto Record = m_zone.Records.find(Replica.Id);
    if (Record == m_zone.Records.end() || Record->second.Owner.empty() ||
        Record->second.Owner == m_members.self().Daemon)
      continue;
    if (preferredOwner(Replica, Candidates, Record->second.Owner) ==
        m_members.self().Daemon)
      Owners.insert(Record->second.Owner);
  }
  for (const auto &Name : Owners) {
    const auto Member = m_zone.Members.find(Name);
    if (Member == m_zone.Members.end() ||
        provenDead(Name, Member->second.Boot) ||
        m_channel.probe(Name) != ProbeResult::Refused)
      continue;
    m_deadBoots.insert({Name, Member->second.Boot});
    m_log.event("ownership.death_proven", {{"daemon", Name}});
  }
}

policy::ClaimConditions
OwnershipController::claimConditions(const OwnershipRecord *Record) const {
  policy::ClaimConditions Conditions{
      .Unowned = !Record || Record->Owner.empty(),
      .ContinuousReads = m_members.stableReads()};
  if (Conditions.Unowned)
    return Conditions;
  Conditions.PeersReportOutage = m_members.peersInOutage(Record->Owner);
  const auto Member = m_zone.Members.find(Record->Owner);
  const auto View = m_members.leaseOf(Record->Owner);
  if (Member == m_zone.Members.end() || !View) {
    // The member was removed after MemberTimeout without a renewal.
    Conditions.LeaseExpired = Member == m_zone.Members.end();
    return Conditions;
  }
  Conditions.LeaseExpired = View->expired();
  Conditions.OutageSinceRenewal = View->interrupted();
  Conditions.ConnectionRefused = provenDead(Record->Owner, Record->Boot);
  Conditions.Rebooted = Member->second.Boot != Record->Boot;
  return Conditions;
}

std::optional<OwnershipController::Claim>
OwnershipController::claimFor(const config::Replica &Replica) {
  const auto RecordEntry = m_zone.Records.find(Replica.Id);
  const auto *Record =
      RecordEntry == m_zone.Records.end() ? nullptr : &RecordEntry->second;
  const auto Factor = policy::claimFactor(claimConditions(Record));
  if (!Factor)
    return {};
  Claim NewClaim{.Id = Replica.Id};
  if (Record) {
    NewClaim.ExpectedRecord = *Record;
    const auto Member = m_zone.Members.find(Record->Owner);
    if (Member != m_zone.Members.end())
      NewClaim.ExpectedRenewal = Member->second.Renewal;
  }
  const bool Unowned = !Record || Record->Owner.empty();
  NewClaim.NewRecord = {.Owner = m_members.self().Daemon,
                        .Boot = m_members.self().Boot,
                        .Epoch = Record ? Record->Epoch + 1 : 1,
                        .ResidualRequests =
                            Record ? Record->ResidualRequests : 0,
                        .Factor = *Factor,
                        .Previous = Record ? Record->Owner : DaemonName(),
                        .Claimed = true};
  if (!Unowned)
    NewClaim.NewRecord.ResidualRequests = policy::residualAfterClaim(
        Replica.Capacity, *Factor, m_running.reported(Replica));
  return NewClaim;
}

void OwnershipController::claimReplicas() {
  if (m_members.holdState() != HoldState::Leased || m_members.self().Leaving)
    return;
  const auto Candidates = m_members.liveMembers(false);
  std::vector<Claim> Claims;
  for (const auto &Replica : endpoints()) {
    const auto Record = m_zone.Records.find(Replica.Id);
    if (Record != m_zone.Records.end() && ownedBySelf(Record->second))
      continue;
    if (preferredOwner(Replica, Candidates) != m_members.self().Daemon)
      continue;
    if (auto NewClaim = claimFor(Replica))
      Claims.push_back(std::move(*NewClaim));
  }
  if (Claims.empty())
    return;
  m_members.update([&](ZoneObject &Next) {
    bool Changed = false;
    for (const auto &NewClaim : Claims) {
      const auto RecordEntry = Next.Records.find(NewClaim.Id);
      const bool RecordUnchanged =
          NewClaim.ExpectedRecord
              ? RecordEntry != Next.Records.end() &&
                    RecordEntry->second == *NewClaim.ExpectedRecord
              : RecordEntry == Next.Records.end();
      const auto Owner = Next.Members.find(NewClaim.ExpectedRecord
                                               ? NewClaim.ExpectedRecord->Owner
                                               : DaemonName());
      const auto Renewal =
          Owner == Next.Members.end() ? 0 : Owner->second.Renewal;
      if (!RecordUnchanged || Renewal != NewClaim.ExpectedRenewal)
        continue;
      Next.Records[NewClaim.Id] = NewClaim.NewRecord;
      Changed = true;
    }
    return Changed;
  });
}

/// Takes over replicas during a platform outage, at half the limit.
void OwnershipController::takeOverInOutage() {
  const auto Cell = m_members.cell();
  const auto Successors = cellSuccessors();
  for (const auto &Replica : endpoints()) {
    const auto RecordEntry = m_zone.Records.find(Replica.Id);
    if (RecordEntry == m_zone.Records.end() ||
        m_heldReplicas.contains(Replica.Id))
      continue;
    const auto &Record = RecordEntry->second;
    if (std::find(Cell.begin(), Cell.end(), Record.Owner) == Cell.end())
      continue;
    if (preferredOwner(Replica, Successors, Record.Owner) !=
        m_members.self().Daemon)
      continue;
    const bool Dead = provenDead(Record.Owner, Record.Boot);
    const auto Factor = policy::outageFactor(
        {.ConnectionRefused = Dead,
         .AllLeasesExpired = m_members.leasesExpired(),
         .CellSize = Cell.size(),
         .MembersWithoutHeartbeat =
             m_members.membersWithoutHeartbeatFrom(Record.Owner)});
    if (!Factor)
      continue;
    acquire(
        Replica.Id,
        HeldReplica{.Factor = *Factor,
                    .ResidualRequests = policy::residualAfterClaim(
                        Replica.Capacity, *Factor, m_running.reported(Replica)),
                    .Epoch = Record.Epoch + 1,
                    .Previous = Record.Owner,
                    .Claimed = true,
                    .PreviousStopped = Dead,
                    .ReplacedOwner = Record.Owner});
  }
}

/// Hands over the replicas that another daemon should own, or all replicas if
/// this daemon is leaving.
void OwnershipController::handOverReplicas() {
  const bool Readable = m_members.platformReadable();
  const auto Candidates =
      Readable ? m_members.liveMembers(false) : cellSuccessors();
  const bool Leaving = m_members.self().Leaving;
  if (Readable && m_members.holdState() != HoldState::Leased)
    return;
  std::map<config::ReplicaId, DaemonName> Receivers;
  const auto Endpoints = endpoints();
  for (const auto &Replica : Endpoints) {
    const auto HeldEntry = m_heldReplicas.find(Replica.Id);
    if (HeldEntry == m_heldReplicas.end() || HeldEntry->second.ReplacedOwner)
      continue;
    auto &Held = HeldEntry->second;
    if (Held.Receiver) {
      if (!Readable && !Held.HandoverAcked)
        m_channel.send(*Held.Receiver, Held.Handover);
      continue;
    }
    const auto Receiver = preferredOwner(
        Replica, Candidates, Leaving ? m_members.self().Daemon : DaemonName());
    if (Receiver == m_members.self().Daemon || (Receiver.empty() && !Leaving))
      continue;
    if (Readable)
      Receivers.emplace(Replica.Id, Receiver);
    else if (Leaving && !Receiver.empty())
      handOverByMessage(Replica.Id, Held, Receiver);
  }
  if (Readable && !Endpoints.empty())
    for (const auto &Id : heldWithoutEndpoint(Endpoints))
      Receivers.emplace(Id, DaemonName());
  if (!Receivers.empty())
    handOverByRecord(Receivers);
}

/// Held replicas whose endpoint object no longer exists.
std::vector<config::ReplicaId> OwnershipController::heldWithoutEndpoint(
    const std::vector<config::Replica> &Endpoints) const {
  std::set<config::ReplicaId> Ids;
  for (const auto &Replica : Endpoints)
    Ids.insert(Replica.Id);
  std::vector<config::ReplicaId> Out;
  for (const auto &[Id, Held] : m_heldReplicas)
    if (!Held.ReplacedOwner && !Held.Receiver && !Ids.contains(Id))
      Out.push_back(Id);
  return Out;
}

/// Ends admissions, before the running requests are counted for a hand-over.
void OwnershipController::stopAdmissions(HeldReplica &Held,
                                         const config::ReplicaId &Id) {
  const std::scoped_lock Lock(m_mutex);
  m_withdrawn = m_published.erase(Id) > 0 || m_withdrawn;
  Held.StoppedAtVersion = m_members.version();
}

std::size_t
OwnershipController::runningRequests(const config::ReplicaId &Id,
                                     const HeldReplica &Held) const {
  return m_running.local(Id) + Held.ResidualRequests;
}

void OwnershipController::handOverByRecord(
    const std::map<config::ReplicaId, DaemonName> &Receivers) {
  for (const auto &[Id, Receiver] : Receivers)
    stopAdmissions(m_heldReplicas.at(Id), Id);
  m_members.update([&](ZoneObject &Next) {
    bool Changed = false;
    for (const auto &[Id, Receiver] : Receivers) {
      auto &Held = m_heldReplicas.at(Id);
      Held.StoppedAtVersion = m_members.version();
      const auto Record = Next.Records.find(Id);
      const auto Member = Next.Members.find(Receiver);
      const bool ReceiverRemoved =
          !Receiver.empty() && Member == Next.Members.end();
      if (Record == Next.Records.end() || !ownedBySelf(Record->second) ||
          Record->second.Epoch != Held.Epoch || ReceiverRemoved)
        continue;
      Record->second = {.Owner = Receiver,
                        .Boot = Receiver.empty() ? 0 : Member->second.Boot,
                        .Epoch = Held.Epoch + 1,
                        .ResidualRequests = runningRequests(Id, Held),
                        .Factor = Held.Factor,
                        .Previous = m_members.self().Daemon};
      Changed = true;
    }
    return Changed;
  });
  reconcileRecords();
}

void OwnershipController::handOverByMessage(const config::ReplicaId &Id,
                                            HeldReplica &Held,
                                            const DaemonName &To) {
  stopAdmissions(Held, Id);
  Held.Receiver = To;
  Held.Handover = {.Replica = Id,
                   .Epoch = Held.Epoch + 1,
                   .Boot = m_zone.Members.at(To).Boot,
                   // A successor with another view of the membership may take
                   // over the other half.
                   .Factor = policy::HalfLimitFactor,
                   .Running = runningRequests(Id, Held)};
  m_channel.send(To, Held.Handover);
}

void OwnershipController::reportResidualRequests() {
  const auto Now = m_clock.now();
  if (Now < m_nextResidualReport)
    return;
  m_nextResidualReport = Now + m_options.ResidualReportInterval;
  for (auto &[Id, Load] : m_residualLoads) {
    const auto InheritedRequests =
        Now < Load.InheritedUntil ? Load.InheritedRequests : 0;
    const auto Running = m_running.local(Id) + InheritedRequests;
    if (Running == 0)
      --Load.RemainingZeroReports;
    m_channel.send(Load.NewOwner,
                   ResidualRequestsMessage{Id, Load.Epoch, Running});
  }
  std::erase_if(m_residualLoads, [](const auto &Item) {
    return Item.second.RemainingZeroReports <= 0;
  });
}

double OwnershipController::effectiveFactor(const HeldReplica &Held,
                                            HoldState State) const {
  return State == HoldState::OutageHalf
             ? std::min(Held.Factor, policy::HalfLimitFactor)
             : Held.Factor;
}

/// Publishes the replicas that may be used now, and calls the handler if they
/// have changed.
void OwnershipController::publish() {
  const auto Now = m_clock.now();
  const auto State = m_members.holdState();
  const bool Outage = m_members.outageConfirmed();
  std::map<config::ReplicaId, OwnedReplica> Next;
  std::set<config::ReplicaId> Unrecorded;
  std::unique_lock Lock(m_mutex);
  for (auto &[Id, Held] : m_heldReplicas) {
    if (Now >= Held.ResidualUntil)
      Held.ResidualRequests = 0;
    raiseLimitFactor(Held, Now);
    const auto Endpoint = m_endpoints.find(Id);
    if (State == HoldState::Stopped || Held.StoppedAtVersion || Held.Receiver ||
        (Held.ReplacedOwner && !Outage) || Endpoint == m_endpoints.end() ||
        Endpoint->second.Leaving ||
        m_evacuatedZones.contains(Endpoint->second.Zone))
      continue;
    if (Held.ReplacedOwner)
      Unrecorded.insert(Id);
    const auto Factor = effectiveFactor(Held, State);
    // A replica that changes owners back and forth counts some requests twice.
    // Residual requests beyond this share are included in the running count
    // that a successor reads from the endpoint.
    const auto Share =
        policy::requestLimit(Endpoint->second.Capacity, Factor, 0);
    Next[Id] = {.Replica = Endpoint->second,
                .LimitFactor = Factor,
                .ResidualRequests = std::min(Held.ResidualRequests, Share),
                .FencingNumber = Held.FencingNumber};
  }
  m_allHandedOver =
      std::all_of(m_heldReplicas.begin(), m_heldReplicas.end(),
                  [](const auto &Item) { return Item.second.HandoverAcked; });
  m_publishedState = State;
  m_unrecordedTakeovers = std::move(Unrecorded);
  const bool Changed = std::exchange(m_withdrawn, false) || Next != m_published;
  m_published = std::move(Next);
  const auto Handler = m_handler;
  Lock.unlock();
  if (Changed && Handler)
    Handler(owned());
}

} // namespace nutmegdrift::control
