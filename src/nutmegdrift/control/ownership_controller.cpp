#include "nutmegdrift/control/ownership_controller.h"

#include "nutmegdrift/config/documents.h"

#include <algorithm>

namespace nutmegdrift::control {
namespace {

const std::string EndpointPrefix = "endpoints/";
/// Changes are asked for at an interval, since the ticking thread must not
/// block on a watch.
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
      m_endpointObjects(Clk, Store, EndpointPrefix,
                        [this](const auto &Item) { takeEndpoint(Item); }) {}

void OwnershipController::tick() {
  readEndpoints();
  followRecords();
  readMessages();
  probeOwners();
  dropLateTakeovers();
  if (m_members.platformReadable()) {
    recordTakeovers();
    handOverDue();
    claimDue();
  } else if (m_members.outageConfirmed()) {
    takeOverInOutage();
    handOverDue();
  }
  followRecords();
  sendCarries();
  publish();
}

void OwnershipController::onChange(ChangeHandler Handler) {
  const std::scoped_lock Lock(m_mutex);
  m_handler = std::move(Handler);
}

bool OwnershipController::mayAdmit(const config::ReplicaId &Id) const {
  const auto State = m_members.holdState();
  const std::scoped_lock Lock(m_mutex);
  // A state that the published limits do not reflect yet admits nothing.
  if (State == HoldState::Stopped || State != m_publishedState ||
      !m_published.contains(Id))
    return false;
  return !m_unrecorded.contains(Id) || m_members.outageConfirmed();
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
  m_zonesOut = std::move(Zones);
}

void OwnershipController::onResidualRequests(
    const DaemonName &From, const ResidualRequestsMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  m_carries.emplace_back(From, Message);
}

void OwnershipController::onHandover(const DaemonName &From,
                                     const HandoverMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  m_handovers.emplace_back(From, Message);
}

bool OwnershipController::drained() const {
  const std::scoped_lock Lock(m_mutex);
  return m_empty;
}

void OwnershipController::readEndpoints() {
  if (m_clock.now() < m_nextEndpoints)
    return;
  m_nextEndpoints = m_clock.now() + m_options.EndpointReadInterval;
  // Without an answer the last known endpoints stay.
  if (errorOf([&] { return m_endpointObjects.step(NoWait); }))
    return;
  std::map<config::ReplicaId, config::Replica> Next;
  for (const auto &[Name, At] : m_parsed)
    if (inScope(At))
      Next.emplace(At.Id, At);
  const std::scoped_lock Lock(m_mutex);
  m_endpoints = std::move(Next);
}

/// Keeps the latest valid record of each endpoint object.
void OwnershipController::takeEndpoint(const platform::Change &Item) {
  const auto &Name = Item.Value.Name;
  m_parsed.erase(Name);
  if (Item.Deleted)
    return;
  auto Read = capture([&] {
    return config::parseReplica(Name.substr(EndpointPrefix.size()),
                                Item.Value.Text);
  });
  if (Read)
    m_parsed.emplace(Name, std::move(*Read));
  else
    m_log.event("ownership.invalid_endpoint",
                {{"object", Name}, {"error", Read.Failure.Message}});
}

bool OwnershipController::inScope(const config::Replica &At) const {
  return m_options.Zones.empty() || m_options.Zones.contains(At.Zone);
}

bool OwnershipController::ownedBySelf(const OwnershipRecord &Record) const {
  return Record.Owner == m_members.self().Daemon &&
         Record.Boot == m_members.self().Boot;
}

/// Brings what is held in line with the newest zone object.
void OwnershipController::followRecords() {
  const auto Version = m_members.version();
  if (Version == m_version)
    return;
  m_version = Version;
  m_zone = m_members.zone();
  resetRankings();
  for (const auto &[Id, Record] : m_zone.Records)
    followHeld(Id, Record);
  std::vector<config::ReplicaId> Gone;
  for (const auto &[Id, Mine] : m_held)
    if (!m_zone.Records.contains(Id))
      Gone.push_back(Id);
  for (const auto &Id : Gone)
    m_held.erase(Id);
}

void OwnershipController::followHeld(const config::ReplicaId &Id,
                                     const OwnershipRecord &Record) {
  const auto Found = m_held.find(Id);
  if (!ownedBySelf(Record)) {
    // A take-over stays while the record still names the replaced owner.
    if (Found != m_held.end() &&
        (!Found->second.TakenFrom || Record.Epoch >= Found->second.Epoch))
      release(Id, Record.Owner, Record.Epoch);
    return;
  }
  if (Found != m_held.end() && Found->second.Epoch == Record.Epoch) {
    auto &Mine = Found->second;
    if (Mine.TakenFrom) {
      Mine.TakenFrom.reset();
      Mine.Fence = m_version;
    }
    if (Mine.StoppedAt && m_version > *Mine.StoppedAt)
      Mine.StoppedAt.reset();
    return;
  }
  startHolding(Id, Held{.Factor = Record.Factor,
                        .Carry = Record.ResidualRequests,
                        .Epoch = Record.Epoch,
                        .Previous = Record.Previous,
                        .Claimed = Record.Claimed});
}

void OwnershipController::startHolding(const config::ReplicaId &Id, Held Mine) {
  const auto Now = m_clock.now();
  const auto &Options = m_members.options();
  Mine.CarryUntil = Now + m_options.MaxRequestDuration;
  Mine.FullAt = Now + Options.Times.Lease + Options.Times.Margin;
  if (!Mine.PreviousGone)
    Mine.FullAt += Options.MaxIsolationTime;
  Mine.Fence = m_version;
  m_log.event("ownership.acquired", {{"replica", Id},
                                     {"epoch", text(Mine.Epoch)},
                                     {"carry", text(Mine.Carry)},
                                     {"from", Mine.Previous}});
  m_trailing.erase(Id);
  m_held[Id] = std::move(Mine);
}

/// A half limit turns full once no former owner can hold the other half.
void OwnershipController::raiseFactor(Held &Mine, TimePoint Now) const {
  if (!Mine.TakenFrom && m_members.platformReadable() && Now >= Mine.FullAt)
    Mine.Factor = policy::FullLimitFactor;
}

/// Another daemon owns the replica: tells it what still runs here.
void OwnershipController::release(const config::ReplicaId &Id,
                                  const DaemonName &To, std::uint64_t Epoch) {
  const auto &Mine = m_held.at(Id);
  if (!To.empty())
    m_trailing[Id] = Trailing{.To = To,
                              .Epoch = Epoch,
                              .Extra = Mine.Carry,
                              .ExtraUntil = Mine.CarryUntil};
  m_held.erase(Id);
  const std::scoped_lock Lock(m_mutex);
  m_withdrawn = m_published.erase(Id) > 0 || m_withdrawn;
  m_log.event("ownership.released", {{"replica", Id}, {"to", To}});
}

void OwnershipController::readMessages() {
  std::vector<std::pair<DaemonName, ResidualRequestsMessage>> Carries;
  Inbox Handovers;
  {
    const std::scoped_lock Lock(m_mutex);
    Carries.swap(m_carries);
    Handovers.swap(m_handovers);
  }
  for (const auto &[From, Message] : Carries)
    takeCarry(From, Message);
  for (const auto &[From, Message] : Handovers)
    takeHandover(From, Message);
}

void OwnershipController::takeCarry(const DaemonName &From,
                                    const ResidualRequestsMessage &Message) {
  const auto Found = m_held.find(Message.Replica);
  if (Found == m_held.end() || Found->second.Epoch != Message.Epoch ||
      Found->second.Previous != From)
    return;
  auto &Mine = Found->second;
  // The message shows that the former owner has stopped, so its half is free.
  if (Mine.Claimed && !Mine.TakenFrom)
    Mine.Factor = policy::FullLimitFactor;
  Mine.Carry = Message.Running;
  Mine.CarryUntil = m_clock.now() + m_options.MaxRequestDuration;
}

void OwnershipController::takeHandover(const DaemonName &From,
                                       const HandoverMessage &Message) {
  const auto Found = m_held.find(Message.Replica);
  if (Message.Ack) {
    if (Found != m_held.end() && Found->second.GivenTo == From)
      Found->second.GivenAcked = true;
    return;
  }
  if (Message.Boot != m_members.self().Boot)
    return;
  if (Found == m_held.end()) {
    const auto Record = m_zone.Records.find(Message.Replica);
    if (Record == m_zone.Records.end() || Record->second.Owner != From ||
        Record->second.Epoch + 1 != Message.Epoch)
      return;
    startHolding(Message.Replica, Held{.Factor = Message.Factor,
                                       .Carry = Message.Running,
                                       .Epoch = Message.Epoch,
                                       .Previous = From,
                                       .PreviousGone = true,
                                       .TakenFrom = From});
  }
  auto Ack = Message;
  Ack.Ack = true;
  m_channel.send(From, Ack);
}

/// Gives up take-overs whose outage was confirmed too long ago. The replaced
/// owner returns to its full limit once every successor must have recorded its
/// take-over, so a daemon that was paused meanwhile must not record its own.
void OwnershipController::dropLateTakeovers() {
  const auto Now = m_clock.now();
  if (m_members.outageConfirmed())
    m_confirmedAt = Now;
  if (Now - m_confirmedAt <= m_options.TakeoverRecordTimeout)
    return;
  const std::scoped_lock Lock(m_mutex);
  std::erase_if(m_held, [&](const auto &Item) {
    const auto &[Id, Mine] = Item;
    if (!Mine.TakenFrom)
      return false;
    m_withdrawn = m_published.erase(Id) > 0 || m_withdrawn;
    m_log.event("ownership.takeover_dropped",
                {{"replica", Id}, {"owner", *Mine.TakenFrom}});
    return true;
  });
}

/// Writes take-overs and direct hand-overs of an outage into the records.
void OwnershipController::recordTakeovers() {
  const bool Any =
      std::any_of(m_held.begin(), m_held.end(), [](const auto &Item) {
        return Item.second.TakenFrom || Item.second.GivenTo;
      });
  if (!Any)
    return;
  m_members.update([&](ZoneObject &Next) {
    bool Changed = false;
    for (const auto &[Id, Mine] : m_held)
      Changed = recordTakeover(Next, Id, Mine) || Changed;
    return Changed;
  });
  followRecords();
}

bool OwnershipController::recordTakeover(ZoneObject &Next,
                                         const config::ReplicaId &Id,
                                         const Held &Mine) const {
  const auto Found = Next.Records.find(Id);
  if (Found == Next.Records.end())
    return false;
  auto &Record = Found->second;
  if (Mine.TakenFrom && Record.Owner == *Mine.TakenFrom &&
      Record.Epoch + 1 == Mine.Epoch) {
    Record = recordFor(Mine);
    return true;
  }
  if (Mine.GivenTo && ownedBySelf(Record) && Record.Epoch == Mine.Epoch) {
    Record = {.Owner = *Mine.GivenTo,
              .Boot = Mine.Given.Boot,
              .Epoch = Mine.Given.Epoch,
              .ResidualRequests = Mine.Given.Running,
              .Factor = Mine.Given.Factor,
              .Previous = m_members.self().Daemon};
    return true;
  }
  return false;
}

OwnershipRecord OwnershipController::recordFor(const Held &Mine) const {
  return {.Owner = m_members.self().Daemon,
          .Boot = m_members.self().Boot,
          .Epoch = Mine.Epoch,
          .ResidualRequests = Mine.Carry,
          .Factor = Mine.Factor,
          .Previous = Mine.Previous,
          .Claimed = Mine.Claimed};
}

/// The cell members that may succeed to a replica during an outage.
std::vector<DaemonName> OwnershipController::cellSuccessors() const {
  auto Out = m_members.cell();
  std::erase_if(Out, [&](const auto &Name) {
    const auto Member = m_zone.Members.find(Name);
    return Member == m_zone.Members.end() || Member->second.Leaving;
  });
  std::sort(Out.begin(), Out.end());
  return Out;
}

/// The ranking is kept while the members stay the same, because it costs a hash
/// per member and replica.
const std::vector<DaemonName> &
OwnershipController::ranking(const config::Replica &At) {
  auto &Kept = m_rankings[At.Id];
  if (Kept.empty())
    Kept = policy::rankDaemons(At.Id, At.Zone, m_ranked);
  return Kept;
}

void OwnershipController::resetRankings() {
  std::vector<policy::PlanMember> Members;
  for (const auto &[Name, Member] : m_zone.Members)
    Members.push_back({.Name = Name, .Zone = Member.Zone});
  if (Members == m_ranked)
    return;
  m_ranked = std::move(Members);
  m_rankings.clear();
}

DaemonName
OwnershipController::wantedOwner(const config::Replica &At,
                                 const std::vector<DaemonName> &Candidates,
                                 const DaemonName &Except) {
  for (const auto &Name : ranking(At))
    if (Name != Except &&
        std::binary_search(Candidates.begin(), Candidates.end(), Name) &&
        !provenDead(Name, m_zone.Members.at(Name).Boot))
      return Name;
  return {};
}

bool OwnershipController::provenDead(const DaemonName &Name,
                                     BootId Boot) const {
  return m_dead.contains({Name, Boot});
}

/// Probes the owners of the replicas that this daemon would succeed to.
void OwnershipController::probeOwners() {
  if (m_clock.now() < m_nextProbe)
    return;
  m_nextProbe = m_clock.now() + m_options.ProbeInterval;
  std::set<DaemonName> Owners;
  const auto Candidates = m_members.liveMembers(false);
  for (const auto &At : endpoints()) {
    const auto Record = m_zone.Records.find(At.Id);
    if (Record == m_zone.Records.end() || Record->second.Owner.empty() ||
        Record->second.Owner == m_members.self().Daemon)
      continue;
    if (wantedOwner(At, Candidates, Record->second.Owner) ==
        m_members.self().Daemon)
      Owners.insert(Record->second.Owner);
  }
  for (const auto &Name : Owners) {
    const auto Member = m_zone.Members.find(Name);
    if (Member == m_zone.Members.end() ||
        provenDead(Name, Member->second.Boot) ||
        m_channel.probe(Name) != ProbeResult::Refused)
      continue;
    m_dead.insert({Name, Member->second.Boot});
    m_log.event("ownership.death_proven", {{"daemon", Name}});
  }
}

policy::ClaimConditions
OwnershipController::factsFor(const OwnershipRecord *Record) const {
  policy::ClaimConditions Facts{.Unowned = !Record || Record->Owner.empty(),
                                .ContinuousReads = m_members.stableReads()};
  if (Facts.Unowned)
    return Facts;
  Facts.PeersReportOutage = m_members.peersInOutage(Record->Owner);
  const auto Member = m_zone.Members.find(Record->Owner);
  const auto View = m_members.leaseOf(Record->Owner);
  if (Member == m_zone.Members.end() || !View) {
    // The record was removed after MemberTimeout without a renewal.
    Facts.LeaseExpired = Member == m_zone.Members.end();
    return Facts;
  }
  Facts.LeaseExpired = View->expired();
  Facts.OutageSinceRenewal = View->interrupted();
  Facts.ConnectionRefused = provenDead(Record->Owner, Record->Boot);
  Facts.Rebooted = Member->second.Boot != Record->Boot;
  return Facts;
}

std::optional<OwnershipController::Claim>
OwnershipController::claimFor(const config::Replica &At) {
  const auto Found = m_zone.Records.find(At.Id);
  const auto *Record = Found == m_zone.Records.end() ? nullptr : &Found->second;
  const auto Factor = policy::claimFactor(factsFor(Record));
  if (!Factor)
    return {};
  Claim Out{.Id = At.Id};
  if (Record) {
    Out.Seen = *Record;
    const auto Member = m_zone.Members.find(Record->Owner);
    if (Member != m_zone.Members.end())
      Out.SeenRenewal = Member->second.Renewal;
  }
  const bool Free = !Record || Record->Owner.empty();
  Out.Next = {.Owner = m_members.self().Daemon,
              .Boot = m_members.self().Boot,
              .Epoch = Record ? Record->Epoch + 1 : 1,
              .ResidualRequests = Record ? Record->ResidualRequests : 0,
              .Factor = *Factor,
              .Previous = Record ? Record->Owner : DaemonName(),
              .Claimed = true};
  if (!Free)
    Out.Next.ResidualRequests =
        policy::residualAfterClaim(At.Bears, *Factor, m_running.reported(At));
  return Out;
}

void OwnershipController::claimDue() {
  if (m_members.holdState() != HoldState::Leased || m_members.self().Leaving)
    return;
  const auto Candidates = m_members.liveMembers(false);
  std::vector<Claim> Claims;
  for (const auto &At : endpoints()) {
    const auto Record = m_zone.Records.find(At.Id);
    if (Record != m_zone.Records.end() && ownedBySelf(Record->second))
      continue;
    if (wantedOwner(At, Candidates) != m_members.self().Daemon)
      continue;
    if (auto Due = claimFor(At))
      Claims.push_back(std::move(*Due));
  }
  if (Claims.empty())
    return;
  m_members.update([&](ZoneObject &Next) {
    bool Changed = false;
    for (const auto &Due : Claims) {
      const auto Found = Next.Records.find(Due.Id);
      const bool Same =
          Due.Seen ? Found != Next.Records.end() && Found->second == *Due.Seen
                   : Found == Next.Records.end();
      const auto Owner =
          Next.Members.find(Due.Seen ? Due.Seen->Owner : DaemonName());
      const auto Renewal =
          Owner == Next.Members.end() ? 0 : Owner->second.Renewal;
      if (!Same || Renewal != Due.SeenRenewal)
        continue;
      Next.Records[Due.Id] = Due.Next;
      Changed = true;
    }
    return Changed;
  });
}

/// Successions during a platform outage, at half the limit.
void OwnershipController::takeOverInOutage() {
  const auto Cell = m_members.cell();
  const auto Successors = cellSuccessors();
  for (const auto &At : endpoints()) {
    const auto Found = m_zone.Records.find(At.Id);
    if (Found == m_zone.Records.end() || m_held.contains(At.Id))
      continue;
    const auto &Record = Found->second;
    if (std::find(Cell.begin(), Cell.end(), Record.Owner) == Cell.end())
      continue;
    if (wantedOwner(At, Successors, Record.Owner) != m_members.self().Daemon)
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
    startHolding(At.Id, Held{.Factor = *Factor,
                             .Carry = policy::residualAfterClaim(
                                 At.Bears, *Factor, m_running.reported(At)),
                             .Epoch = Record.Epoch + 1,
                             .Previous = Record.Owner,
                             .Claimed = true,
                             .PreviousGone = Dead,
                             .TakenFrom = Record.Owner});
  }
}

/// Hands over what another daemon should own, or everything when leaving.
void OwnershipController::handOverDue() {
  const bool Readable = m_members.platformReadable();
  const auto Candidates =
      Readable ? m_members.liveMembers(false) : cellSuccessors();
  const bool Leaving = m_members.self().Leaving;
  if (Readable && m_members.holdState() != HoldState::Leased)
    return;
  std::map<config::ReplicaId, DaemonName> Due;
  const auto Known = endpoints();
  for (const auto &At : Known) {
    const auto Found = m_held.find(At.Id);
    if (Found == m_held.end() || Found->second.TakenFrom)
      continue;
    auto &Mine = Found->second;
    if (Mine.GivenTo) {
      if (!Readable && !Mine.GivenAcked)
        m_channel.send(*Mine.GivenTo, Mine.Given);
      continue;
    }
    const auto To = wantedOwner(
        At, Candidates, Leaving ? m_members.self().Daemon : DaemonName());
    if (To == m_members.self().Daemon || (To.empty() && !Leaving))
      continue;
    if (Readable)
      Due.emplace(At.Id, To);
    else if (Leaving && !To.empty())
      giveByMessage(At.Id, Mine, To);
  }
  if (Readable && !Known.empty())
    for (const auto &Id : withoutEndpoint(Known))
      Due.emplace(Id, DaemonName());
  if (!Due.empty())
    giveByRecord(Due);
}

/// Held replicas whose endpoint object is gone.
std::vector<config::ReplicaId> OwnershipController::withoutEndpoint(
    const std::vector<config::Replica> &Known) const {
  std::set<config::ReplicaId> Ids;
  for (const auto &At : Known)
    Ids.insert(At.Id);
  std::vector<config::ReplicaId> Out;
  for (const auto &[Id, Mine] : m_held)
    if (!Mine.TakenFrom && !Mine.GivenTo && !Ids.contains(Id))
      Out.push_back(Id);
  return Out;
}

/// Ends admissions before the count of running requests is taken.
void OwnershipController::stop(Held &Mine, const config::ReplicaId &Id) {
  const std::scoped_lock Lock(m_mutex);
  m_withdrawn = m_published.erase(Id) > 0 || m_withdrawn;
  Mine.StoppedAt = m_members.version();
}

std::size_t OwnershipController::runningAt(const config::ReplicaId &Id,
                                           const Held &Mine) const {
  return m_running.local(Id) + Mine.Carry;
}

void OwnershipController::giveByRecord(
    const std::map<config::ReplicaId, DaemonName> &Due) {
  for (const auto &[Id, To] : Due)
    stop(m_held.at(Id), Id);
  m_members.update([&](ZoneObject &Next) {
    bool Changed = false;
    for (const auto &[Id, To] : Due) {
      auto &Mine = m_held.at(Id);
      Mine.StoppedAt = m_members.version();
      const auto Record = Next.Records.find(Id);
      const auto Member = Next.Members.find(To);
      const bool Gone = !To.empty() && Member == Next.Members.end();
      if (Record == Next.Records.end() || !ownedBySelf(Record->second) ||
          Record->second.Epoch != Mine.Epoch || Gone)
        continue;
      Record->second = {.Owner = To,
                        .Boot = To.empty() ? 0 : Member->second.Boot,
                        .Epoch = Mine.Epoch + 1,
                        .ResidualRequests = runningAt(Id, Mine),
                        .Factor = Mine.Factor,
                        .Previous = m_members.self().Daemon};
      Changed = true;
    }
    return Changed;
  });
  followRecords();
}

void OwnershipController::giveByMessage(const config::ReplicaId &Id, Held &Mine,
                                        const DaemonName &To) {
  stop(Mine, Id);
  Mine.GivenTo = To;
  Mine.Given = {.Replica = Id,
                .Epoch = Mine.Epoch + 1,
                .Boot = m_zone.Members.at(To).Boot,
                // Another successor may take the other half if the membership
                // that it last read differs.
                .Factor = policy::HalfLimitFactor,
                .Running = runningAt(Id, Mine)};
  m_channel.send(To, Mine.Given);
}

void OwnershipController::sendCarries() {
  const auto Now = m_clock.now();
  if (Now < m_nextCarry)
    return;
  m_nextCarry = Now + m_options.ResidualReportInterval;
  for (auto &[Id, Left] : m_trailing) {
    const auto Extra = Now < Left.ExtraUntil ? Left.Extra : 0;
    const auto Running = m_running.local(Id) + Extra;
    if (Running == 0)
      --Left.ZerosLeft;
    m_channel.send(Left.To, ResidualRequestsMessage{Id, Left.Epoch, Running});
  }
  std::erase_if(m_trailing,
                [](const auto &Item) { return Item.second.ZerosLeft <= 0; });
}

double OwnershipController::factorNow(const Held &Mine, HoldState State) const {
  return State == HoldState::OutageHalf
             ? std::min(Mine.Factor, policy::HalfLimitFactor)
             : Mine.Factor;
}

/// Publishes the replicas that may be used, and calls the handler if they
/// differ from the last time.
void OwnershipController::publish() {
  const auto Now = m_clock.now();
  const auto State = m_members.holdState();
  const bool Outage = m_members.outageConfirmed();
  std::map<config::ReplicaId, OwnedReplica> Next;
  std::set<config::ReplicaId> Unrecorded;
  std::unique_lock Lock(m_mutex);
  for (auto &[Id, Mine] : m_held) {
    if (Now >= Mine.CarryUntil)
      Mine.Carry = 0;
    raiseFactor(Mine, Now);
    const auto At = m_endpoints.find(Id);
    if (State == HoldState::Stopped || Mine.StoppedAt || Mine.GivenTo ||
        (Mine.TakenFrom && !Outage) || At == m_endpoints.end() ||
        At->second.Leaving || m_zonesOut.contains(At->second.Zone))
      continue;
    if (Mine.TakenFrom)
      Unrecorded.insert(Id);
    const auto Factor = factorNow(Mine, State);
    // A replica that goes back and forth counts some requests twice. What does
    // not fit into this share is in the running count that a successor reads
    // from the endpoint.
    const auto Share = policy::requestLimit(At->second.Bears, Factor, 0);
    Next[Id] = {.Replica = At->second,
                .LimitFactor = Factor,
                .ResidualRequests = std::min(Mine.Carry, Share),
                .FencingNumber = Mine.Fence};
  }
  m_empty = std::all_of(m_held.begin(), m_held.end(), [](const auto &Item) {
    return Item.second.GivenAcked;
  });
  m_publishedState = State;
  m_unrecorded = std::move(Unrecorded);
  const bool Changed = std::exchange(m_withdrawn, false) || Next != m_published;
  m_published = std::move(Next);
  const auto Handler = m_handler;
  Lock.unlock();
  if (Changed && Handler)
    Handler(owned());
}

} // namespace nutmegdrift::control
