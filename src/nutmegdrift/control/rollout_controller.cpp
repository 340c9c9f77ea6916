// Lease handling, orders and progress writes of rollouts.
#include "nutmegdrift/control/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace nutmegdrift::control {

namespace {

using policy::RolloutPhase;

/// Longest time between two reads that counts as observed; the platform may
/// have been unreadable during a longer gap.
constexpr Duration MaxObservedStep = std::chrono::seconds(1);
/// At most this part of the replicas load at the same time, but at least one.
constexpr std::size_t LoadingPart = 4;

bool settled(const Error &Failure) {
  return Failure.Kind != ErrorKind::PlatformOutcomeUnknown;
}

} // namespace

RolloutController::RolloutController(platform::ObjectStore &Store,
                                     const Clock &Clk, EngineFleet &Fleet,
                                     EventLog &Log, const DaemonName &Name,
                                     BootId Boot, const RolloutTimes &Times)
    : m_store(Store), m_clock(Clk), m_fleet(Fleet), m_log(Log),
      m_self(makeRequestId(Name, Boot, 0)), m_times(Times) {}

bool RolloutController::leaseValid(const Held &Mine) const {
  return m_clock.now() - Mine.LeaseFrom < m_times.Lease;
}

Duration RolloutController::loadInterval() const {
  return m_times.LoadInterval *
         static_cast<Duration::rep>(std::max<std::size_t>(m_active, 1));
}

std::string RolloutController::nextNonce() {
  return m_self + "-" + std::to_string(++m_counter);
}

void RolloutController::drop(const std::string &Name, std::string_view Why) {
  m_log.event("rollout.lease_lost",
              {{"object", Name}, {"why", std::string(Why)}});
  m_held.erase(Name);
}

void RolloutController::tick() {
  std::vector<std::string> Names;
  for (const auto &[Name, Mine] : m_held)
    Names.push_back(Name);
  for (const auto &Name : Names)
    if (!leaseValid(m_held.at(Name)))
      drop(Name, "not renewed in time");
  readAll();
  Names.clear();
  for (const auto &[Name, Mine] : m_held)
    Names.push_back(Name);
  for (const auto &Name : Names)
    work(Name);
}

void RolloutController::readAll() {
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
  m_active = 0;
  for (const auto &Stored : Listing->Objects)
    see(Stored, Readable);
}

void RolloutController::see(const platform::Object &Stored, Duration Readable) {
  const auto Record = capture([&] { return decodeRollout(Stored.Text); });
  if (!Record) {
    m_log.event("rollout.malformed",
                {{"object", Stored.Name}, {"error", Record.Failure.Message}});
    return;
  }
  if (needsController(*Record))
    ++m_active;
  auto &Seen = m_observed[Stored.Name];
  const bool Changed = Seen.Version != Stored.Version;
  Seen.Unchanged = Changed ? Duration(0) : Seen.Unchanged + Readable;
  Seen.Version = Stored.Version;
  if (const auto Mine = m_held.find(Stored.Name); Mine != m_held.end())
    return reconcile(Mine->second, Stored, *Record);
  const auto Lost = m_claims.find(Stored.Name);
  if (Lost != m_claims.end() && Lost->second.Nonce == Record->Nonce) {
    const auto From = Lost->second;
    m_claims.erase(Lost);
    if (m_clock.now() - From.SentAt < m_times.Lease)
      return hold(Stored.Name, Stored.Version, *Record, From);
  }
  if (claimable(*Record, Seen))
    claim(Stored, *Record, Seen);
}

void RolloutController::reconcile(Held &Mine, const platform::Object &Stored,
                                  const RolloutRecord &Record) {
  if (Stored.Version <= Mine.Version)
    return;
  if (Record.Holder != m_self || Record.Fence != Mine.Record.Fence)
    return drop(Stored.Name, "another controller holds it");
  if (!Mine.PendingNonce.empty() && Record.Nonce == Mine.PendingNonce)
    Mine.LeaseFrom = std::max(Mine.LeaseFrom, Mine.PendingSent);
  Mine.Version = Stored.Version;
  Mine.Record.TakeBack = Record.TakeBack;
}

bool RolloutController::claimable(const RolloutRecord &Record,
                                  const Observed &Seen) const {
  if (!needsController(Record))
    return false;
  return Record.Holder.empty() || Record.Holder == m_self ||
         Seen.Unchanged >= m_times.Lease + m_times.Margin;
}

void RolloutController::claim(const platform::Object &Stored,
                              RolloutRecord Record, const Observed &Seen) {
  const Claim From{.Nonce = nextNonce(),
                   .SentAt = m_clock.now(),
                   .HadHolder = !Record.Holder.empty()};
  Record.Holder = m_self;
  Record.Fence = Stored.Version;
  Record.Nonce = From.Nonce;
  Record.Settled = false;
  Record.Progress.Elapsed += Seen.Unchanged;
  const auto Done = capture([&] {
    return m_store.put(Stored.Name, encodeRollout(Record), Stored.Version);
  });
  if (Done)
    return hold(Stored.Name, *Done, Record, From);
  // The next read shows whether a write with a lost answer took effect.
  if (!settled(Done.Failure))
    m_claims.insert_or_assign(Stored.Name, From);
}

void RolloutController::hold(const std::string &Name,
                             platform::ObjectVersion Version,
                             const RolloutRecord &Record, const Claim &From) {
  const auto Now = m_clock.now();
  m_log.event("rollout.claimed",
              {{"object", Name}, {"fence", std::to_string(Record.Fence)}});
  // A full interval before the first load, because the previous holder may
  // have ordered one just before it stopped.
  m_held.insert_or_assign(
      Name,
      Held{.Version = Version,
           .Record = Record,
           .Machine = policy::RolloutMachine(Record.Plan, loadInterval(),
                                             Record.Progress, m_times.Phases),
           .LeaseFrom = From.SentAt,
           .Advanced = Now,
           .NextLoad = From.HadHolder ? Now + loadInterval() : Now,
           .NextWrite = Now,
           .HoldUntil = From.HadHolder ? Now + m_times.LongestOrder : Now});
}

void RolloutController::work(const std::string &Name) {
  auto &Mine = m_held.at(Name);
  const auto Before = Mine.Machine.phase();
  const auto Late = Mine.Machine.progress().DelayReason;
  Mine.Machine.setLoadInterval(loadInterval());
  for (const auto &Sample : m_fleet.takeSamples(Mine.Record.Plan.Target))
    Mine.Machine.addSample(Sample);
  if (!Mine.Record.TakeBack.empty())
    Mine.Machine.rollBack("operator: " + Mine.Record.TakeBack);
  const auto Seen = survey(Mine);
  const auto Now = m_clock.now();
  const auto Step = Mine.Machine.advance(
      Now - std::exchange(Mine.Advanced, Now), Seen.Counts);
  if (!leaseValid(Mine))
    return drop(Name, "expired before orders");
  m_fleet.setShares(Mine.Record.Plan, Step, Mine.Record.Fence);
  order(Mine, Seen, Step);
  const auto After = Mine.Machine.phase();
  const bool AllOld = Seen.Counts.New + Seen.Counts.Loading == 0;
  Mine.Record.Settled = After == RolloutPhase::Done ||
                        (After == RolloutPhase::RolledBack && AllOld);
  Mine.Record.Share = Step.OtherShare;
  for (const auto &[Route, Share] : Step.Shares)
    Mine.Record.Share = std::max(Mine.Record.Share, Share);
  report(Mine, Name, Before, Late);
  if (Before != After || Mine.Record.Settled || Now >= Mine.NextWrite)
    write(Name);
}

void RolloutController::report(const Held &Mine, const std::string &Name,
                               RolloutPhase Before, const std::string &Late) {
  const auto Now = Mine.Machine.progress();
  const auto Phase = std::string(policy::toString(Now.Phase));
  if (!Now.DelayReason.empty() && Late.empty())
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
  for (auto &[Name, Mine] : m_held) {
    if (!leaseValid(Mine))
      continue;
    Mine.Record.Progress = Mine.Machine.progress();
    Mine.Record.Holder.clear();
    Mine.Record.Nonce = nextNonce();
    // If the write fails, the lease ends by itself.
    const auto Failure = errorOf([&, &At = Name, &Own = Mine] {
      return m_store.put(At, encodeRollout(Own.Record), Own.Version);
    });
    m_log.event("rollout.released",
                {{"object", Name}, {"error", Failure ? Failure->Message : ""}});
  }
  m_held.clear();
}

RolloutController::Survey RolloutController::survey(Held &Mine) {
  Survey Out;
  for (const auto &Engine : m_fleet.replicas(Mine.Record.Plan.Target))
    place(Mine, Engine, Out);
  return Out;
}

void RolloutController::place(Held &Mine, const config::Replica &Engine,
                              Survey &Out) {
  const auto Version = capture([&] { return m_fleet.readVersion(Engine.Id); });
  const auto Now = m_clock.now();
  const auto Pending = Mine.Orders.find(Engine.Id);
  if (Pending != Mine.Orders.end()) {
    const bool Loaded = Version && *Version == Pending->second.Version;
    if (!Loaded && Now - Pending->second.SentAt < m_times.LongestOrder) {
      ++Out.Counts.Loading;
      return;
    }
    Mine.Orders.erase(Pending);
  }
  if (!Version) {
    ++Out.Counts.Loading;
    return;
  }
  const bool Fresh = *Version == Mine.Record.Plan.Version;
  ++(Fresh ? Out.Counts.New : Out.Counts.Old);
  if (Engine.ChecksFencing || Now >= Mine.HoldUntil)
    (Fresh ? Out.Fresh : Out.Old).push_back(Engine);
}

void RolloutController::order(Held &Mine, const Survey &Seen,
                              const policy::RolloutStep &Step) {
  const auto &Counts = Seen.Counts;
  const auto Total = Counts.Old + Counts.New + Counts.Loading;
  if (m_clock.now() < Mine.NextLoad ||
      Counts.Loading >= std::max<std::size_t>(1, Total / LoadingPart))
    return;
  const bool Back = Mine.Machine.phase() == RolloutPhase::RolledBack;
  if (Back && !Seen.Fresh.empty())
    return send(Mine, Seen.Fresh.front(), Mine.Record.Plan.OldVersion);
  if (Back || Seen.Old.empty() ||
      Counts.New + Counts.Loading >= Step.TargetNewReplicas)
    return;
  // Once the last old replica loads, a cap would leave requests without any
  // replica that may serve them.
  if (Counts.Old == 1 && Counts.New > 0)
    m_fleet.setShares(Mine.Record.Plan,
                      {.Shares = {},
                       .OtherShare = 1.0,
                       .TargetNewReplicas = Step.TargetNewReplicas},
                      Mine.Record.Fence);
  send(Mine, Seen.Old.front(), Mine.Record.Plan.Version);
}

void RolloutController::send(Held &Mine, const config::Replica &Engine,
                             const std::string &Version) {
  if (!leaseValid(Mine))
    return;
  const auto Now = m_clock.now();
  Mine.NextLoad = Now + loadInterval();
  Mine.Orders[Engine.Id] = {.Version = Version, .SentAt = Now};
  const auto Failure = errorOf(
      [&] { return m_fleet.orderLoad(Engine.Id, Version, Mine.Record.Fence); });
  m_log.event("rollout.order", {{"engine", Engine.Id},
                                {"version", Version},
                                {"fence", std::to_string(Mine.Record.Fence)},
                                {"error", Failure ? Failure->Message : ""}});
  if (!Failure)
    return;
  if (Failure->Kind == ErrorKind::EndpointRefused)
    Mine.Orders.erase(Engine.Id);
  // The engine has seen a newer number, so a newer controller exists.
  if (Failure->Kind == ErrorKind::Conflict)
    Mine.LeaseFrom = Now - m_times.Lease;
}

void RolloutController::write(const std::string &Name) {
  auto &Mine = m_held.at(Name);
  if (!leaseValid(Mine))
    return drop(Name, "expired before a write");
  Mine.Record.Progress = Mine.Machine.progress();
  Mine.Record.Holder = Mine.Record.Settled ? "" : m_self;
  Mine.Record.Nonce = Mine.PendingNonce = nextNonce();
  Mine.PendingSent = m_clock.now();
  const auto Done = capture([&] {
    return m_store.put(Name, encodeRollout(Mine.Record), Mine.Version);
  });
  if (!Done)
    return settleWrite(Name, Done.Failure);
  if (Mine.Record.Settled) {
    m_log.event("rollout.settled", {{"status", describeRollout(Mine.Record)}});
    m_held.erase(Name);
    return;
  }
  Mine.Version = *Done;
  Mine.LeaseFrom = Mine.PendingSent;
  Mine.NextWrite = Mine.PendingSent + m_times.RenewEvery;
}

void RolloutController::settleWrite(const std::string &Name,
                                    const Error &Failure) {
  if (Failure.Kind == ErrorKind::PlatformUnavailable)
    return;
  const auto Stored = capture([&] { return m_store.get(Name); });
  if (!Stored) // The next read settles it.
    return;
  const auto Record = capture([&] { return decodeRollout(Stored->Text); });
  auto &Mine = m_held.at(Name);
  if (Record && Record->Nonce == Mine.PendingNonce && Record->Settled) {
    m_held.erase(Name);
    return;
  }
  if (Record)
    reconcile(Mine, *Stored, *Record);
}

} // namespace nutmegdrift::control
