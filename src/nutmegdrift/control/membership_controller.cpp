// Lease renewal, the zone object and the hold during platform outages.
#include "nutmegdrift/control/membership_controller.h"

#include "nutmegdrift/policy/claim_rules.h"

#include <algorithm>

namespace nutmegdrift::control {
namespace {

/// Conditional writes attempted by one call of update().
constexpr int MaxAttempts = 3;
/// After a longer pause of the ticking thread, the times since the peers' last
/// heartbeats are unreliable.
constexpr Duration MaxTickGap = std::chrono::seconds(1);

} // namespace

MembershipController::MembershipController(MembershipOptions Options,
                                           const Clock &Clk,
                                           platform::ObjectStore &Store,
                                           FleetChannel &Channel, EventLog &Log)
    : m_options(std::move(Options)), m_clock(Clk), m_store(Store),
      m_channel(Channel), m_log(Log), m_objectName("fleet/" + m_options.Scope),
      m_random(m_options.Seed), m_holder(m_options.Times) {}

void MembershipController::tick() {
  resetAfterPause();
  if (readDue())
    read();
  renew();
  writeRenewals();
  updateOutageHold();
  sendHeartbeats();
}

/// After a pause of this daemon, heartbeats of peers may still wait to be
/// processed, so the times since the peers' last heartbeats start anew. A pause
/// as long as the lease also ends the confirmation of the hold, since others
/// may have claimed.
void MembershipController::resetAfterPause() {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  m_isolated = m_isolated || (m_lastConfirmation && !hasMajorityAt(Now));
  if (m_lastTick && Now - *m_lastTick > MaxTickGap) {
    // The platform may have been readable during the pause.
    if (m_failingSince)
      m_failingSince = Now;
    for (auto &[Name, Peer] : m_peers)
      if (Peer.LastHeartbeat)
        Peer.LastHeartbeat = Now;
  }
  m_lastTick = Now;
}

bool MembershipController::readDue() {
  const std::scoped_lock Lock(m_mutex);
  return m_clock.now() >= m_nextRead;
}

bool MembershipController::read() {
  auto Read = capture([&] { return m_store.get(m_objectName); });
  {
    const std::scoped_lock Lock(m_mutex);
    m_nextRead = m_clock.now() + m_options.ReadInterval;
  }
  if (!Read && Read.Failure.Kind != ErrorKind::NotFound) {
    onPlatformFailure();
    return false;
  }
  if (Read && Read->Version > version()) {
    auto Zone = capture([&] { return parseZoneObject(Read->Text); });
    if (!Zone) {
      m_log.event("membership.invalid_zone_object",
                  {{"object", m_objectName}, {"error", Zone.Failure.Message}});
      return false;
    }
    applyZoneObject(std::move(*Zone), Read->Version);
  }
  onReadSucceeded();
  return true;
}

void MembershipController::applyZoneObject(ZoneObject Zone,
                                           std::uint64_t Version) {
  const std::scoped_lock Lock(m_mutex);
  if (Version < m_version)
    return; // A stale read must not replace a newer version.
  m_zone = std::move(Zone);
  m_version = Version;
  m_newestVersion = std::max(m_newestVersion, Version);
  const auto SelfMember = m_zone.Members.find(m_options.Self.Daemon);
  if (SelfMember != m_zone.Members.end() &&
      SelfMember->second.Boot == m_options.Self.Boot)
    applyAck(SelfMember->second.Renewal, Version);
}

/// Called with the lock held.
void MembershipController::applyAck(std::uint64_t Renewal,
                                    std::uint64_t Version) {
  const auto Now = m_clock.now();
  if (!m_holder.validAt(Now))
    m_requiredVersion.reset();
  if (!m_holder.validAt(Now) && !m_leaseLapsed) {
    m_leaseLapsed = true;
    // A successor of the outage may hold half the limit without a record yet,
    // unless a majority has confirmed this daemon's hold without a break.
    m_isolated = m_isolated || !m_lastConfirmation || !hasMajorityAt(Now);
  }
  m_holder.recordAcknowledged(Renewal);
  if (!m_holder.validAt(m_clock.now()))
    return;
  if (m_leaseLapsed && !m_requiredVersion)
    m_requiredVersion = Version;
  if (m_requiredVersion && m_version >= *m_requiredVersion) {
    m_leaseLapsed = false;
    m_requiredVersion.reset();
  }
}

void MembershipController::onReadSucceeded() {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  for (const auto &[Name, Member] : m_zone.Members)
    m_leaseObservers.try_emplace(Name, m_options.Times)
        .first->second.recordRead(Member.Boot, Member.Renewal, Now);
  std::erase_if(m_leaseObservers, [&](const auto &Item) {
    return !m_zone.Members.contains(Item.first);
  });
  if (!m_lastRead || Now - *m_lastRead > m_options.Times.MaxReadGap)
    m_readableSince = Now;
  m_lastRead = Now;
  m_failingSince.reset();
  for (auto &[Name, Peer] : m_peers)
    Peer.EchoSuppressed = false;
}

void MembershipController::onPlatformFailure() {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  for (auto &[Name, Observer] : m_leaseObservers)
    Observer.recordReadFailure();
  m_lastRead.reset();
  m_readableSince.reset();
  m_lastFailure = Now;
  if (!m_failingSince) {
    m_failingSince = Now;
    m_nextHeartbeat = Now; // Query at once whether the peers can read.
  }
}

bool MembershipController::update(
    const std::function<bool(ZoneObject &)> &Change) {
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Outcome = tryUpdate(Change);
    if (Outcome != WriteResult::LostRace)
      return Outcome == WriteResult::Written;
    if (!read())
      return false;
  }
  return false;
}

MembershipController::WriteResult MembershipController::tryUpdate(
    const std::function<bool(ZoneObject &)> &Change) {
  ZoneObject Next = zone();
  if (!Change(Next))
    return WriteResult::NotWritten;
  {
    const std::scoped_lock Lock(m_mutex);
    applyRenewals(Next);
    Next.Nonce =
        makeRequestId(m_options.Self.Daemon, m_options.Self.Boot, ++m_writes);
  }
  return writeZoneObject(std::move(Next));
}

MembershipController::WriteResult
MembershipController::writeZoneObject(ZoneObject Next) {
  const auto Started = m_clock.now();
  const auto Put = capture(
      [&] { return m_store.put(m_objectName, toJson(Next), version()); });
  if (Put) {
    applyZoneObject(std::move(Next), *Put);
    recordOwnWrite(*Put, Started);
    acknowledgeRenewals();
    return WriteResult::Written;
  }
  if (Put.Failure.Kind == ErrorKind::Conflict)
    return WriteResult::LostRace;
  if (Put.Failure.Kind == ErrorKind::PlatformOutcomeUnknown)
    return confirmWrite(Next.Nonce, Started) ? WriteResult::Written
                                             : WriteResult::NotWritten;
  onPlatformFailure();
  return WriteResult::NotWritten;
}

/// Whether the latest write of the object is the one with this nonce. False if
/// another write followed; the object that was read then shows what that write
/// kept of this one.
bool MembershipController::confirmWrite(const std::string &Nonce,
                                        TimePoint Started) {
  if (!read() || zone().Nonce != Nonce)
    return false;
  recordOwnWrite(version(), Started);
  acknowledgeRenewals();
  return true;
}

void MembershipController::recordOwnWrite(std::uint64_t Version,
                                          TimePoint Started) {
  const std::scoped_lock Lock(m_mutex);
  m_ownWrites[Version] = Started;
  std::erase_if(m_ownWrites, [&](const auto &Item) {
    return Started - Item.second > m_options.Times.MaxRenewalAge;
  });
}

/// Called with the lock held. Returns a time before which no message with this
/// version was sent; nothing if it is unknown or too long ago.
std::optional<TimePoint>
MembershipController::minSendTime(std::uint64_t Version) const {
  const auto NextWrite = m_ownWrites.upper_bound(Version);
  if (NextWrite == m_ownWrites.begin())
    return {};
  return std::prev(NextWrite)->second;
}

bool MembershipController::tooOld(const PendingRenewal &Item,
                                  TimePoint Now) const {
  return Now - Item.MinSendTime > m_options.Times.MaxRenewalAge;
}

/// Called with the lock held.
void MembershipController::applyRenewals(ZoneObject &Zone) const {
  auto &SelfRecord = Zone.Members[m_options.Self.Daemon];
  SelfRecord = m_options.Self;
  SelfRecord.Renewal = m_renewal;
  const auto Now = m_clock.now();
  for (const auto &[Name, Pending] : m_pendingRenewals) {
    const auto &Message = Pending.Message;
    const auto Member = Zone.Members.find(Name);
    if (Member == Zone.Members.end() || Member->second.Boot != Message.Boot ||
        tooOld(Pending, Now))
      continue;
    Member->second.Renewal = std::max(Member->second.Renewal, Message.Renewal);
    Member->second.Leaving = Member->second.Leaving || Message.Leaving;
  }
  for (const auto &[Name, Observer] : m_leaseObservers)
    if (Observer.readableTime() >= m_options.MemberTimeout)
      Zone.Members.erase(Name);
}

void MembershipController::acknowledgeRenewals() {
  const std::scoped_lock Lock(m_mutex);
  std::erase_if(m_pendingRenewals, [&](const auto &Item) {
    const auto &Name = Item.first;
    const auto &Message = Item.second.Message;
    const auto Member = m_zone.Members.find(Name);
    if (Member == m_zone.Members.end() || Member->second.Boot != Message.Boot)
      return true;
    if (Member->second.Renewal < Message.Renewal)
      return false;
    m_channel.send(
        Name, LeaseAckMessage{Message.Boot, m_version, Member->second.Renewal});
    return true;
  });
}

/// Called with the lock held. A daemon writes its own renewal if it is the zone
/// writer, is not yet a member, or has waited too long for an acknowledgement.
bool MembershipController::needsOwnWrite() const {
  const auto Live = liveLocked(false);
  if (policy::lowestRanked(m_options.Scope, Live) == m_options.Self.Daemon)
    return true;
  const auto Renewed = m_holder.renewedAt();
  return !Renewed || m_clock.now() - *Renewed >=
                         m_options.RenewInterval + m_options.Times.Lease / 3;
}

void MembershipController::renew() {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  if (Now < m_nextRenewal)
    return;
  m_nextRenewal = Now + m_options.RenewInterval;
  m_holder.recordSent(++m_renewal, Now);
  const auto Writer = policy::lowestRanked(m_options.Scope, liveLocked(false));
  if (!Writer.empty() && Writer != m_options.Self.Daemon)
    m_channel.send(Writer, LeaseRenewalMessage{m_options.Self.Boot, m_renewal,
                                               m_options.Self.Leaving,
                                               m_newestVersion});
}

void MembershipController::writeRenewals() {
  {
    const std::scoped_lock Lock(m_mutex);
    std::erase_if(m_pendingRenewals,
                  [&, Now = m_clock.now()](const auto &Item) {
                    return tooOld(Item.second, Now);
                  });
    const auto SelfMember = m_zone.Members.find(m_options.Self.Daemon);
    const bool Renewed = SelfMember != m_zone.Members.end() &&
                         SelfMember->second.Boot == m_options.Self.Boot &&
                         SelfMember->second.Renewal == m_renewal;
    const bool WriteOwn = !Renewed && needsOwnWrite();
    if (m_clock.now() < m_nextWrite || (!WriteOwn && m_pendingRenewals.empty()))
      return;
  }
  const bool Written = update([](ZoneObject &) { return true; });
  const std::scoped_lock Lock(m_mutex);
  const auto Spread = m_options.MaxRetryDelay - m_options.MinRetryDelay;
  const auto RetryDelay = std::chrono::duration_cast<Duration>(
      m_options.MinRetryDelay + uniform(m_random) * Spread);
  m_nextWrite =
      m_clock.now() + (Written ? m_options.WriteBatchInterval : RetryDelay);
}

void MembershipController::updateOutageHold() {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  const bool Leased = m_holder.validAt(Now) && !m_leaseLapsed;
  m_claimsPossible = !Leased && (m_claimsPossible || peerReadsPlatformAt(Now));
  if (Leased && readableAt(Now)) {
    m_lastConfirmation.reset();
    m_isolated = m_isolated && !readsStableAt(Now);
    return;
  }
  const bool Confirmed = hasMajorityAt(Now) && !peerReadsPlatformAt(Now);
  // The hold starts only under a valid lease: a daemon that was paused beyond
  // its lease cannot exclude that another daemon has claimed.
  if (Confirmed && (Leased ? isOutageAt(Now) : m_lastConfirmation.has_value()))
    m_lastConfirmation = m_isolated ? m_lastConfirmation : Now;
  else if (m_lastConfirmation && !m_isolated && !hasMajorityAt(Now)) {
    m_isolated = true;
    m_log.event("membership.isolated", {{"daemon", m_options.Self.Daemon}});
  }
}

/// Called with the lock held. Without echoes, an unresponsive peer cannot count
/// this daemon as confirming its hold.
void MembershipController::suppressUnresponsivePeers() {
  const auto Now = m_clock.now();
  if (readableAt(Now))
    return;
  for (auto &[Name, Peer] : m_peers)
    if (Peer.LastHeartbeat &&
        Now - *Peer.LastHeartbeat >= unresponsiveTimeout())
      Peer.EchoSuppressed = true;
}

void MembershipController::sendHeartbeats() {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  suppressUnresponsivePeers();
  if (Now < m_nextHeartbeat)
    return;
  m_nextHeartbeat = Now + (readableAt(Now) ? m_options.HeartbeatInterval
                                           : m_options.OutageHeartbeatInterval);
  PeerHeartbeatMessage Heartbeat{
      m_options.Self.Boot, ++m_heartbeatSequence, {}};
  // The ages are used only during an outage, and only then echoes to
  // unresponsive peers are suppressed.
  for (const auto &[Name, Peer] : m_peers)
    if (Peer.LastHeartbeat && !readableAt(Now))
      Heartbeat.HeartbeatAges[Name] = Now - *Peer.LastHeartbeat;
  m_heartbeatSendTimes[m_heartbeatSequence] = Now;
  std::erase_if(m_heartbeatSendTimes, [&](const auto &Item) {
    return Now - Item.second > m_options.Times.Lease;
  });
  for (const auto &Name : cellLocked())
    if (Name != m_options.Self.Daemon)
      m_channel.send(Name, Heartbeat);
}

void MembershipController::leave() {
  const std::scoped_lock Lock(m_mutex);
  m_options.Self.Leaving = true;
  m_nextRenewal = m_clock.now();
}

void MembershipController::onLeaseRenewal(const DaemonName &From,
                                          const LeaseRenewalMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  const auto MinSendTime = minSendTime(Message.Version);
  if (!MinSendTime || tooOld({Message, *MinSendTime}, m_clock.now())) {
    // With this version the sender can bound the age of its next renewal.
    m_channel.send(From, LeaseAckMessage{Message.Boot, m_version, 0});
    return;
  }
  m_pendingRenewals[From] = {Message, *MinSendTime};
}

void MembershipController::onLeaseAck(const DaemonName & /*From*/,
                                      const LeaseAckMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  if (Message.Boot != m_options.Self.Boot)
    return;
  m_newestVersion = std::max(m_newestVersion, Message.Version);
  if (Message.Renewal > 0)
    applyAck(Message.Renewal, Message.Version);
}

void MembershipController::onPeerHeartbeat(
    const DaemonName &From, const PeerHeartbeatMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  suppressUnresponsivePeers();
  auto &Peer = m_peers[From];
  Peer.LastHeartbeat = Now;
  Peer.HeartbeatAges = Message.HeartbeatAges;
  Peer.AgesReceivedAt = Now;
  if (Peer.EchoSuppressed)
    return;
  // A failure is reported for some time, so that all peers learn of a short
  // outage.
  const bool RecentFailure =
      m_lastFailure && Now - *m_lastFailure < m_options.RecoveryDwell;
  m_channel.send(From,
                 PeerHeartbeatEchoMessage{Message.Boot, Message.Sequence,
                                          RecentFailure || !readableAt(Now)});
}

void MembershipController::onPeerHeartbeatEcho(
    const DaemonName &From, const PeerHeartbeatEchoMessage &Message) {
  const std::scoped_lock Lock(m_mutex);
  const auto Sent = m_heartbeatSendTimes.find(Message.Sequence);
  if (Message.Boot != m_options.Self.Boot || Sent == m_heartbeatSendTimes.end())
    return;
  auto &Peer = m_peers[From];
  if (Peer.EchoedSendTime && *Peer.EchoedSendTime > Sent->second)
    return;
  Peer.EchoedSendTime = Sent->second;
  if (!Message.PlatformUnreadable) {
    m_lastPeerRead = m_clock.now();
    Peer.ReadableSince = Peer.ReadableSince.value_or(m_clock.now());
    return;
  }
  Peer.ReadableSince.reset();
  for (auto &[Name, Observer] : m_leaseObservers)
    Observer.markInterrupted(m_clock.now());
}

bool MembershipController::readableAt(TimePoint Now) const {
  return m_lastRead && Now - *m_lastRead <= m_options.Times.MaxReadGap;
}

bool MembershipController::readsStableAt(TimePoint Now) const {
  return readableAt(Now) && Now - *m_readableSince >= stableReadTime();
}

bool MembershipController::isOutageAt(TimePoint Now) const {
  return m_failingSince && Now - *m_failingSince >= m_options.OutageDwell;
}

bool MembershipController::hasRecentEcho(const PeerState &Peer,
                                         TimePoint Now) const {
  return Peer.EchoedSendTime &&
         Now - *Peer.EchoedSendTime < m_options.Times.Lease;
}

bool MembershipController::hasMajorityAt(TimePoint Now) const {
  // In a cell of one daemon there are no echoes that expire during a pause.
  if (!m_lastTick || Now - *m_lastTick >= m_options.Times.Lease)
    return false;
  const auto Cell = cellLocked();
  const auto Count =
      std::count_if(Cell.begin(), Cell.end(), [&](const auto &Name) {
        const auto Peer = m_peers.find(Name);
        return Name == m_options.Self.Daemon ||
               (Peer != m_peers.end() && hasRecentEcho(Peer->second, Now));
      });
  return !Cell.empty() &&
         static_cast<std::size_t>(Count) >= policy::majorityCount(Cell.size());
}

/// Whether a peer can read the platform, so that claims may be written.
bool MembershipController::peerReadsPlatformAt(TimePoint Now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &Item) {
    const auto &Peer = Item.second;
    return hasRecentEcho(Peer, Now) && Peer.ReadableSince &&
           Now - *Peer.ReadableSince > m_options.RecoveryDwell;
  });
}

HoldState MembershipController::holdStateAt(TimePoint Now) const {
  if (m_holder.validAt(Now) && !m_leaseLapsed)
    return m_isolated ? HoldState::OutageHalf : HoldState::Leased;
  if (!m_lastConfirmation || m_claimsPossible || peerReadsPlatformAt(Now))
    return HoldState::Stopped;
  if (m_isolated)
    return Now - *m_lastConfirmation < m_options.MaxIsolationTime
               ? HoldState::OutageHalf
               : HoldState::Stopped;
  return hasMajorityAt(Now) ? HoldState::OutageFull : HoldState::Stopped;
}

HoldState MembershipController::holdState() const {
  const std::scoped_lock Lock(m_mutex);
  return holdStateAt(m_clock.now());
}

ZoneObject MembershipController::zone() const {
  const std::scoped_lock Lock(m_mutex);
  return m_zone;
}

std::uint64_t MembershipController::version() const {
  const std::scoped_lock Lock(m_mutex);
  return m_version;
}

bool MembershipController::platformReadable() const {
  const std::scoped_lock Lock(m_mutex);
  return readableAt(m_clock.now());
}

bool MembershipController::stableReads() const {
  const std::scoped_lock Lock(m_mutex);
  return readsStableAt(m_clock.now());
}

bool MembershipController::outageConfirmed() const {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  return m_lastConfirmation && !m_isolated && isOutageAt(Now) &&
         hasMajorityAt(Now) && !m_claimsPossible && !peerReadsPlatformAt(Now);
}

bool MembershipController::leasesExpired() const {
  const std::scoped_lock Lock(m_mutex);
  // While a peer reads the platform, owners may renew their leases.
  return m_failingSince &&
         m_clock.now() - std::max(*m_failingSince, m_lastPeerRead) >=
             unresponsiveTimeout();
}

bool MembershipController::peersInOutage(const DaemonName &Owner) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  const auto Others =
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &Item) {
        return Item.first != Owner && hasRecentEcho(Item.second, Now) &&
               !Item.second.ReadableSince;
      });
  return static_cast<std::size_t>(Others) + 1 >=
         policy::majorityCount(cellLocked().size());
}

std::optional<policy::LeaseObserver>
MembershipController::leaseOf(const DaemonName &Name) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Observer = m_leaseObservers.find(Name);
  if (Observer == m_leaseObservers.end())
    return {};
  return Observer->second;
}

std::vector<DaemonName>
MembershipController::liveLocked(bool IncludeLeaving) const {
  std::vector<DaemonName> Out;
  for (const auto &[Name, Member] : m_zone.Members) {
    const auto Observer = m_leaseObservers.find(Name);
    const bool Live = Name == m_options.Self.Daemon ||
                      Observer == m_leaseObservers.end() ||
                      !Observer->second.expired();
    if (Live && (IncludeLeaving || !Member.Leaving))
      Out.push_back(Name);
  }
  return Out;
}

std::vector<DaemonName>
MembershipController::liveMembers(bool IncludeLeaving) const {
  const std::scoped_lock Lock(m_mutex);
  return liveLocked(IncludeLeaving);
}

std::vector<DaemonName> MembershipController::cellLocked() const {
  return policy::cellMembers(m_options.Self.Daemon, liveLocked(true));
}

std::vector<DaemonName> MembershipController::cell() const {
  const std::scoped_lock Lock(m_mutex);
  return cellLocked();
}

std::size_t MembershipController::membersWithoutHeartbeatFrom(
    const DaemonName &Name) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Now = m_clock.now();
  const auto Cell = cellLocked();
  return static_cast<std::size_t>(
      std::count_if(Cell.begin(), Cell.end(), [&](const auto &Member) {
        if (Member == m_options.Self.Daemon) {
          const auto Peer = m_peers.find(Name);
          return Peer != m_peers.end() && Peer->second.EchoSuppressed;
        }
        const auto Peer = m_peers.find(Member);
        if (Peer == m_peers.end() || !Peer->second.AgesReceivedAt ||
            Now - *Peer->second.AgesReceivedAt > m_options.Times.Lease)
          return false;
        const auto Age = Peer->second.HeartbeatAges.find(Name);
        return Age != Peer->second.HeartbeatAges.end() &&
               Age->second >= unresponsiveTimeout();
      }));
}

} // namespace nutmegdrift::control
