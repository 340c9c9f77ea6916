// Leases, load orders and progress records of rollouts.
#include "nutmegdrift/control/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace nutmegdrift::control {

namespace {

using policy::RolloutPhase;

/// The most time between two reads that counts as observed, because the
/// platform may have been unreadable during a longer gap.
constexpr Duration MaxObservedStep = std::chrono::seconds(1);
/// At most one replica in this many loads at the same time, but at least one.
constexpr std::size_t LoadingDivisor = 4;

bool outcomeKnown(const Error &Failure) {
  return Failure.Kind != ErrorKind::PlatformOutcomeUnknown;
}

} // namespace

RolloutController::RolloutController(platform::ObjectStore &Store,
                                     const Clock &Clk, EngineFleet &Fleet,
                                     EventLog &Log, const DaemonName &Name,
                                     BootId Boot, const RolloutTimes &Times)
    : m_store(Store), m_clock(Clk), m_fleet(Fleet), m_log(Log),
      m_self(makeRequestId(Name, Boot, 0)), m_times(Times) {}

bool RolloutController::leaseValid(const HeldRollout &Rollout) const {
  return m_clock.now() - Rollout.LeaseStart < m_times.Lease;
}

Duration RolloutController::loadInterval() const {
  return m_times.LoadInterval *
         static_cast<Duration::rep>(std::max<std::size_t>(m_activeRollouts, 1));
}

std::string RolloutController::nextNonce() {
  return m_self + "-" + std::to_string(++m_nonceCount);
}

void RolloutController::drop(const std::string &Name, std::string_view Reason) {
  m_log.event("rollout.lease_lost",
              {{"object", Name}, {"why", std::string(Reason)}});
  m_held.erase(Name);
}

void RolloutController::tick() {
  std::vector<std::string> Names;
  for (const auto &[Name, Rollout] : m_held)
    Names.push_back(Name);
  for (const auto &Name : Names)
    if (!leaseValid(m_held.at(Name)))
      drop(Name, "not renewed in time");
  readRollouts();
  Names.clear();
  for (const auto &[Name, Rollout] : m_held)
    Names.push_back(Name);
  for (const auto &Name : Names)
    advanceRollout(Name);
}

void RolloutController::readRollouts() {
  const auto Listing =
      capture([&] { return m_store.list(std::string(RolloutPrefix)); });
  const auto Now = m_clock.now();
  if (!Listing) {
    if (!m_waiting)
      m_log.event("rollout.waits_for_platform",
                  {{"error", Listing.Failure.Message}});
    m_waiting = true;
    return;
  }
  const auto Readable =
      m_waiting ? Duration(0) : std::min(Now - m_lastRead, MaxObservedStep);
  m_waiting = false;
  m_lastRead = Now;
  m_activeRollouts = 0;
  for (const auto &Stored : Listing->Objects)
    observe(Stored, Readable);
}

void RolloutController::observe(const platform::Object &Stored,
                                Duration Readable) {
  const auto Record = capture([&] { return decodeRollout(Stored.Text); });
  if (!Record) {
    m_log.event("rollout.malformed",
                {{"object", Stored.Name}, {"error", Record.Failure.Message}});
    return;
  }
  if (needsController(*Record))
    ++m_activeRollouts;
  auto &Observation = m_observed[Stored.Name];
  const bool Changed = Observation.Version != Stored.Version;
  Observation.Unchanged =
      Changed ? Duration(0) : Observation.Unchanged + Readable;
  Observation.Version = Stored.Version;
  if (const auto Rollout = m_held.find(Stored.Name); Rollout != m_held.end())
    return reconcile(Rollout->second, Stored, *Record);
  const auto Unconfirmed = m_unconfirmedClaims.find(Stored.Name);
  if (Unconfirmed != m_unconfirmedClaims.end() &&
      Unconfirmed->second.Nonce == Record->Nonce) {
    const auto Attempt = Unconfirmed->second;
    m_unconfirmedClaims.erase(Unconfirmed);
    if (m_clock.now() - Attempt.SentAt < m_times.Lease)
      return acquire(Stored.Name, Stored.Version, *Record, Attempt);
  }
  if (claimable(*Record, Observation))
    claim(Stored, *Record, Observation);
}

void RolloutController::reconcile(HeldRollout &Rollout,
                                  const platform::Object &Stored,
                                  const RolloutRecord &Record) {
  if (Stored.Version <= Rollout.Version)
    return;
  if (Record.Holder != m_self || Record.Fence != Rollout.Record.Fence)
    return drop(Stored.Name, "another controller holds it");
  if (!Rollout.PendingNonce.empty() && Record.Nonce == Rollout.PendingNonce)
    Rollout.LeaseStart = std::max(Rollout.LeaseStart, Rollout.PendingSent);
  Rollout.Version = Stored.Version;
  Rollout.Record.RollbackReason = Record.RollbackReason;
}

bool RolloutController::claimable(const RolloutRecord &Record,
                                  const Observed &Observation) const {
  if (!needsController(Record))
    return false;
  return Record.Holder.empty() || Record.Holder == m_self ||
         Observation.Unchanged >= m_times.Lease + m_times.Margin;
}

void RolloutController::claim(const platform::Object &Stored,
                              RolloutRecord Record,
                              const Observed &Observation) {
  const Claim Attempt{.Nonce = nextNonce(),
                      .SentAt = m_clock.now(),
                      .HadHolder = !Record.Holder.empty()};
  Record.Holder = m_self;
  Record.Fence = Stored.Version;
  Record.Nonce = Attempt.Nonce;
  Record.Converged = false;
  Record.Progress.Elapsed += Observation.Unchanged;
  const auto Done = capture([&] {
    return m_store.put(Stored.Name, encodeRollout(Record), Stored.Version);
  });
  if (Done)
    return acquire(Stored.Name, *Done, Record, Attempt);
  // The next read shows whether a write without an answer took effect.
  if (!outcomeKnown(Done.Failure))
    m_unconfirmedClaims.insert_or_assign(Stored.Name, Attempt);
}

void RolloutController::acquire(const std::string &Name,
                                platform::ObjectVersion Version,
                                const RolloutRecord &Record,
                                const Claim &Attempt) {
  const auto Now = m_clock.now();
  m_log.event("rollout.claimed",
              {{"object", Name}, {"fence", std::to_string(Record.Fence)}});
  // Wait a full interval before the first load, because the previous holder may
  // have ordered one just before it stopped.
  m_held.insert_or_assign(
      Name,
      HeldRollout{.Version = Version,
                  .Record = Record,
                  .Machine =
                      policy::RolloutMachine(Record.Plan, loadInterval(),
                                             Record.Progress, m_times.Phases),
                  .LeaseStart = Attempt.SentAt,
                  .LastAdvance = Now,
                  .NextLoad = Attempt.HadHolder ? Now + loadInterval() : Now,
                  .NextWrite = Now,
                  .UnfencedOrdersFrom =
                      Attempt.HadHolder ? Now + m_times.MaxOrderTime : Now});
}

void RolloutController::advanceRollout(const std::string &Name) {
  auto &Rollout = m_held.at(Name);
  const auto Before = Rollout.Machine.phase();
  const auto PreviousDelay = Rollout.Machine.progress().DelayReason;
  Rollout.Machine.setLoadInterval(loadInterval());
  for (const auto &Sample : m_fleet.collectSamples(Rollout.Record.Plan.Target))
    Rollout.Machine.addSample(Sample);
  if (!Rollout.Record.RollbackReason.empty())
    Rollout.Machine.rollBack("operator: " + Rollout.Record.RollbackReason);
  const auto Engines = survey(Rollout);
  const auto Now = m_clock.now();
  const auto Step = Rollout.Machine.advance(
      Now - std::exchange(Rollout.LastAdvance, Now), Engines.Counts);
  if (!leaseValid(Rollout))
    return drop(Name, "expired before orders");
  m_fleet.setShares(Rollout.Record.Plan, Step, Rollout.Record.Fence);
  orderNextLoad(Rollout, Engines, Step);
  const auto After = Rollout.Machine.phase();
  const bool AllOld = Engines.Counts.New + Engines.Counts.Loading == 0;
  Rollout.Record.Converged = After == RolloutPhase::Done ||
                             (After == RolloutPhase::RolledBack && AllOld);
  Rollout.Record.Share = Step.OtherShare;
  for (const auto &[Route, Share] : Step.Shares)
    Rollout.Record.Share = std::max(Rollout.Record.Share, Share);
  logProgress(Rollout, Name, Before, PreviousDelay);
  if (Before != After || Rollout.Record.Converged || Now >= Rollout.NextWrite)
    writeRecord(Name);
}

void RolloutController::logProgress(const HeldRollout &Rollout,
                                    const std::string &Name,
                                    RolloutPhase Before,
                                    const std::string &PreviousDelay) {
  const auto Now = Rollout.Machine.progress();
  const auto Phase = std::string(policy::toString(Now.Phase));
  if (!Now.DelayReason.empty() && PreviousDelay.empty())
    m_log.event("rollout.late", {{"object", Name}, {"why", Now.DelayReason}});
  if (Before == Now.Phase)
    return;
  m_log.event("rollout.phase",
              {{"object", Name}, {"phase", Phase}, {"reason", Now.Reason}});
  if (Now.Phase == RolloutPhase::Done)
    m_log.event("rollout.done", {{"object", Name}, {"reason", Now.Reason}});
  if (Now.Phase == RolloutPhase::RolledBack)
    m_log.event("rollout.taken_back",
                {{"object", Name}, {"reason", Now.Reason}});
}

void RolloutController::release() {
  for (auto &[Name, Rollout] : m_held) {
    if (!leaseValid(Rollout))
      continue;
    Rollout.Record.Progress = Rollout.Machine.progress();
    Rollout.Record.Holder.clear();
    Rollout.Record.Nonce = nextNonce();
    // If the write fails, the lease expires.
    const auto Failure = errorOf([&, &ObjectName = Name, &Current = Rollout] {
      return m_store.put(ObjectName, encodeRollout(Current.Record),
                         Current.Version);
    });
    m_log.event("rollout.released",
                {{"object", Name}, {"error", Failure ? Failure->Message : ""}});
  }
  m_held.clear();
}

RolloutController::Survey RolloutController::survey(HeldRollout &Rollout) {
  Survey Out;
  for (const auto &Engine : m_fleet.replicas(Rollout.Record.Plan.Target))
    classify(Rollout, Engine, Out);
  return Out;
}

void RolloutController::classify(HeldRollout &Rollout,
                                 const config::Replica &Engine, Survey &Out) {
  const auto Version = capture([&] { return m_fleet.readVersion(Engine.Id); });
  const auto Now = m_clock.now();
  const auto Pending = Rollout.Orders.find(Engine.Id);
  if (Pending != Rollout.Orders.end()) {
    const bool Loaded = Version && *Version == Pending->second.Version;
    if (!Loaded && Now - Pending->second.SentAt < m_times.MaxOrderTime) {
      ++Out.Counts.Loading;
      return;
    }
    Rollout.Orders.erase(Pending);
  }
  if (!Version) {
    ++Out.Counts.Loading;
    return;
  }
  const bool OnNew = *Version == Rollout.Record.Plan.Version;
  ++(OnNew ? Out.Counts.New : Out.Counts.Old);
  if (Engine.ChecksFencing || Now >= Rollout.UnfencedOrdersFrom)
    (OnNew ? Out.OnNewVersion : Out.OnOldVersion).push_back(Engine);
}

void RolloutController::orderNextLoad(HeldRollout &Rollout,
                                      const Survey &Engines,
                                      const policy::RolloutStep &Step) {
  const auto &Counts = Engines.Counts;
  const auto Total = Counts.Old + Counts.New + Counts.Loading;
  if (m_clock.now() < Rollout.NextLoad ||
      Counts.Loading >= std::max<std::size_t>(1, Total / LoadingDivisor))
    return;
  const bool RollingBack = Rollout.Machine.phase() == RolloutPhase::RolledBack;
  if (RollingBack && !Engines.OnNewVersion.empty())
    return sendLoadOrder(Rollout, Engines.OnNewVersion.front(),
                         Rollout.Record.Plan.OldVersion);
  if (RollingBack || Engines.OnOldVersion.empty() ||
      Counts.New + Counts.Loading >= Step.TargetNewReplicas)
    return;
  // Once the last replica with the old version loads, a limit on the share of
  // the new version would leave requests without a replica.
  if (Counts.Old == 1 && Counts.New > 0)
    m_fleet.setShares(Rollout.Record.Plan,
                      {.Shares = {},
                       .OtherShare = 1.0,
                       .TargetNewReplicas = Step.TargetNewReplicas},
                      Rollout.Record.Fence);
  sendLoadOrder(Rollout, Engines.OnOldVersion.front(),
                Rollout.Record.Plan.Version);
}

void RolloutController::sendLoadOrder(HeldRollout &Rollout,
                                      const config::Replica &Engine,
                                      const std::string &Version) {
  if (!leaseValid(Rollout))
    return;
  const auto Now = m_clock.now();
  Rollout.NextLoad = Now + loadInterval();
  Rollout.Orders[Engine.Id] = {.Version = Version, .SentAt = Now};
  const auto Failure = errorOf([&] {
    return m_fleet.orderLoad(Engine.Id, Version, Rollout.Record.Fence);
  });
  m_log.event("rollout.order", {{"engine", Engine.Id},
                                {"version", Version},
                                {"fence", std::to_string(Rollout.Record.Fence)},
                                {"error", Failure ? Failure->Message : ""}});
  if (!Failure)
    return;
  if (Failure->Kind == ErrorKind::EndpointRefused)
    Rollout.Orders.erase(Engine.Id);
  // The engine has received a higher fencing number, so another controller
  // holds the rollout.
  if (Failure->Kind == ErrorKind::Conflict)
    Rollout.LeaseStart = Now - m_times.Lease;
}

void RolloutController::writeRecord(const std::string &Name) {
  auto &Rollout = m_held.at(Name);
  if (!leaseValid(Rollout))
    return drop(Name, "expired before a write");
  Rollout.Record.Progress = Rollout.Machine.progress();
  Rollout.Record.Holder = Rollout.Record.Converged ? "" : m_self;
  Rollout.Record.Nonce = Rollout.PendingNonce = nextNonce();
  Rollout.PendingSent = m_clock.now();
  const auto Done = capture([&] {
    return m_store.put(Name, encodeRollout(Rollout.Record), Rollout.Version);
  });
  if (!Done)
    return resolveWrite(Name, Done.Failure);
  if (Rollout.Record.Converged) {
    m_log.event("rollout.settled",
                {{"status", describeRollout(Rollout.Record)}});
    m_held.erase(Name);
    return;
  }
  Rollout.Version = *Done;
  Rollout.LeaseStart = Rollout.PendingSent;
  Rollout.NextWrite = Rollout.PendingSent + m_times.RenewalInterval;
}

void RolloutController::resolveWrite(const std::string &Name,
                                     const Error &Failure) {
  if (Failure.Kind == ErrorKind::PlatformUnavailable)
    return;
  const auto Stored = capture([&] { return m_store.get(Name); });
  if (!Stored) // The next read will show the result.
    return;
  const auto Record = capture([&] { return decodeRollout(Stored->Text); });
  auto &Rollout = m_held.at(Name);
  if (Record && Record->Nonce == Rollout.PendingNonce && Record->Converged) {
    m_held.erase(Name);
    return;
  }
  if (Record)
    reconcile(Rollout, *Stored, *Record);
}

} // namespace nutmegdrift::control
