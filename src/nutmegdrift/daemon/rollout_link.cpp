#include "nutmegdrift/daemon/rollout_link.h"

#include "nutmegdrift/policy/ownership_plan.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cmath>
#include <thread>

#include <nlohmann/json.hpp>

namespace nutmegdrift::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReadTimeout{200};
/// An order whose answer takes longer may still be carried out; the version
/// read back tells.
constexpr milliseconds OrderTimeout{1000};
/// From the announcement of a load to its order, so that owners have stopped
/// sending to the replica before its version changes.
constexpr milliseconds AnnounceLead{300};
constexpr milliseconds ReadingAge{500};
constexpr milliseconds RecordsInterval{1000};
constexpr milliseconds RepeatInterval{1000};
/// Daemons without a replica of the target get each change of the phase, and
/// all get a repetition this often; owners are told more often, so that the
/// bytes a second don't grow with the fleet.
constexpr milliseconds RepeatToAllInterval{10'000};
/// An owner that has sent nothing for longer no longer counts.
constexpr milliseconds ReportAge{3000};
/// Samples that wait for the controller, per target.
constexpr std::size_t MaxInbox = 4096;
/// Shares are rounded down to this step, because each change of a share starts
/// the counts of an owner anew.
constexpr double ShareSteps = 20.0;

double rounded(double Share) {
  constexpr double Tiny = 1e-9;
  return std::min(1.0, std::floor(Share * ShareSteps + Tiny) / ShareSteps);
}

bool hasShare(const wire::VersionShares &Of) {
  return Of.OtherShare > 0.0 ||
         std::ranges::any_of(
             Of.Routes, [](const auto &Route) { return Route.Share > 0.0; });
}

bool ended(const std::string &Phase) {
  return Phase == "done" || Phase == "taken-back";
}

Target targetOf(const std::string &Text) {
  return parseTarget(Text).value_or(Target{});
}

std::map<std::string, double> routeShares(const wire::VersionShares &Of) {
  std::map<std::string, double> Out;
  for (const auto &Route : Of.Routes)
    Out[Route.Plan] = Route.Share;
  return Out;
}

bool sameShares(const wire::VersionShares &A, const wire::VersionShares &B) {
  return A.Version == B.Version && A.OtherShare == B.OtherShare &&
         routeShares(A) == routeShares(B);
}

std::uint64_t micros(Duration Value) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(Value).count()));
}

/// Posts a load order. Zero if no answer came.
int postOrder(const config::Replica &At, const std::string &Version,
              std::uint64_t Fence) {
  try {
    const auto Body = nlohmann::json{
        {"order", "load_version"},
        {"version", Version},
        {"fence", Fence}}.dump();
    Poco::Net::HTTPClientSession Session(At.Address.Host, At.Address.Port);
    Session.setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(OrderTimeout)
            .count()));
    Poco::Net::HTTPRequest Request("POST", "/orders", "HTTP/1.1");
    Request.setKeepAlive(false);
    Request.setContentType("application/json");
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    Session.sendRequest(Request) << Body << std::flush;
    Poco::Net::HTTPResponse Response;
    Session.receiveResponse(Response);
    return Response.getStatus();
  } catch (const Poco::Exception &) {
    return 0;
  }
}

control::RolloutTimes rolloutTimes(const config::DaemonSettings &Settings) {
  return {.Lease = Settings.Lease.Length,
          .Margin = Settings.Lease.Margin,
          .RenewalInterval = Settings.Lease.Length / 3,
          .MaxOrderTime = Settings.Rollout.MaxOrderTime,
          .LoadInterval = Settings.Rollout.LoadInterval,
          .Phases = {.MinCanary = Settings.Rollout.MinCanary,
                     .MinRamp = Settings.Rollout.MinRamp}};
}

wire::VersionShares shareMessage(const policy::RolloutPlan &Plan,
                                 const policy::RolloutStep &Step,
                                 std::uint64_t Fence) {
  wire::VersionShares Out{.What = targetOf(Plan.Target),
                          .Order = Plan.Order,
                          .Fence = Fence,
                          .Version = Plan.Version,
                          .Phase = {},
                          .Reason = {},
                          .OtherShare = rounded(Step.OtherShare),
                          .Routes = {},
                          .Loads = {}};
  for (const auto &[Route, Share] : Step.Shares)
    Out.Routes.push_back({.Plan = Route, .Share = rounded(Share)});
  return Out;
}

} // namespace

RolloutLink::RolloutLink(RolloutParts Parts,
                         const config::DaemonSettings &Settings, BootId Boot)
    : m_parts(std::move(Parts)), m_self(Settings.Name),
      m_longestOrder(Settings.Rollout.MaxOrderTime),
      m_controller(m_parts.Store, m_parts.Time, *this, m_parts.Log, m_self,
                   Boot, rolloutTimes(Settings)) {}

// The controller's side.

bool RolloutLink::isController() const {
  auto Names = m_parts.Members.liveMembers(false);
  std::ranges::sort(Names, std::greater(), [](const auto &Name) {
    return policy::rendezvousScore(Name, "rollout", 1.0);
  });
  const auto First = Names.begin();
  const auto Last = First + static_cast<std::ptrdiff_t>(
                                std::min(ControllerDaemons, Names.size()));
  return std::find(First, Last, m_self) != Last;
}

void RolloutLink::controllerStep() {
  const std::scoped_lock Lock(m_controllerMutex);
  if (m_stopped)
    return;
  if (!isController()) {
    m_controller.release();
    return;
  }
  readRecords();
  std::vector<config::VersionOrder> Orders;
  {
    const std::scoped_lock Inner(m_mutex);
    Orders = m_orders;
  }
  if (m_recordsKnown)
    for (const auto &Order : Orders)
      followOrder(Order);
  m_controller.tick();
  repeatSettled();
}

void RolloutLink::readRecords() {
  const auto Now = m_parts.Time.now();
  if (m_recordsKnown && Now - m_recordsRead < RecordsInterval)
    return;
  const auto Found = capture(
      [&] { return m_parts.Store.list(std::string(control::RolloutPrefix)); });
  if (!Found)
    return;
  m_recordsRead = Now;
  m_recordsKnown = true;
  const std::scoped_lock Lock(m_mutex);
  m_records.clear();
  for (const auto &Stored : Found->Objects) {
    const auto Record =
        capture([&] { return control::decodeRollout(Stored.Text); });
    if (!Record)
      continue;
    if (const auto What = parseTarget(Record->Plan.Target))
      m_records.insert_or_assign(*What, *Record);
  }
}

void RolloutLink::followOrder(const config::VersionOrder &Order) {
  std::optional<control::RolloutRecord> Known;
  {
    const std::scoped_lock Lock(m_mutex);
    if (const auto Found = m_records.find(Order.RolloutTarget);
        Found != m_records.end())
      Known = Found->second;
  }
  const bool Newer = !Known || (Known->Plan.Order < Order.Id &&
                                !control::needsController(*Known));
  if (Newer && !Order.RollBack)
    return startOrder(Order);
  const bool Ask = Known && Known->Plan.Order == Order.Id && Order.RollBack &&
                   Known->RollbackReason.empty() &&
                   Known->Progress.Phase != policy::RolloutPhase::RolledBack;
  if (!Ask)
    return;
  // A conflict is settled by the next step, after another read.
  (void)errorOf([&] {
    return control::requestRollback(
        m_parts.Store, toString(Order.RolloutTarget), "version take-back");
  });
  m_recordsKnown = false;
}

void RolloutLink::startOrder(const config::VersionOrder &Order) {
  const auto Old = oldVersion(Order);
  if (Old.empty())
    return;
  const auto Failure = errorOf([&] {
    return control::startRollout(m_parts.Store,
                                 {.Target = toString(Order.RolloutTarget),
                                  .Version = Order.Version,
                                  .OldVersion = Old,
                                  .FinishWithin = Order.FinishWithin,
                                  .Order = Order.Id});
  });
  m_recordsKnown = false;
  if (!Failure)
    m_parts.Log.event("rollout.started",
                      {{"target", toString(Order.RolloutTarget)},
                       {"version", Order.Version},
                       {"old_version", Old}});
}

/// The version that most replicas serve besides the ordered one; the ordered
/// one if all serve it; empty if no replica answers.
std::string RolloutLink::oldVersion(const config::VersionOrder &Order) {
  std::map<std::string, std::size_t> Counts;
  for (const auto &One : replicas(toString(Order.RolloutTarget)))
    if (const auto Version = capture([&] { return readVersion(One.Id); }))
      ++Counts[*Version];
  const bool Any = !Counts.empty();
  Counts.erase(Order.Version);
  if (Counts.empty())
    return Any ? Order.Version : "";
  return std::ranges::max_element(Counts, {},
                                  [](const auto &One) { return One.second; })
      ->first;
}

/// Owners that start later learn from this how an ended rollout ended.
void RolloutLink::repeatSettled() {
  std::vector<wire::VersionShares> Out;
  {
    const std::scoped_lock Lock(m_mutex);
    for (const auto &[What, Record] : m_records) {
      if (control::needsController(Record))
        continue;
      const bool Done = Record.Progress.Phase == policy::RolloutPhase::Done;
      auto &Of = m_steering[What];
      if (m_parts.Time.now() - Of.SentAt >= RepeatInterval)
        Out.push_back(shareMessage(Record.Plan,
                                   {.Shares = {},
                                    .OtherShare = Done ? 1.0 : 0.0,
                                    .TargetNewReplicas = 0},
                                   Record.Fence));
    }
  }
  for (auto &Message : Out)
    broadcast(std::move(Message), true);
}

std::vector<config::Replica>
RolloutLink::replicas(const std::string &TargetText) {
  std::vector<config::Replica> Out;
  for (auto &One : m_parts.Ownership.endpoints())
    if (toString(One.ServedTarget) == TargetText && !One.Leaving)
      Out.push_back(std::move(One));
  return Out;
}

Result<std::string> RolloutLink::readVersion(const config::ReplicaId &Id) {
  const auto Now = m_parts.Time.now();
  const auto Known = m_readings.find(Id);
  if (Known != m_readings.end() && Now - Known->second.At < ReadingAge)
    return Known->second.Version;
  for (const auto &One : m_parts.Ownership.endpoints()) {
    if (One.Id != Id)
      continue;
    const auto Load = readLoad(One, ReadTimeout);
    if (!Load || Load->Version.empty())
      return fail(ErrorKind::EndpointTimeout, Id + " reports no version");
    m_readings[Id] = {.Version = Load->Version, .At = Now};
    const std::scoped_lock Lock(m_mutex);
    auto &Loads = m_steering[One.ServedTarget].Loads;
    if (const auto Ordered = Loads.find(Id);
        Ordered != Loads.end() && Ordered->second.Version == Load->Version)
      Loads.erase(Ordered);
    return Load->Version;
  }
  return fail(ErrorKind::NotFound, "no endpoint " + Id);
}

Result<void> RolloutLink::orderLoad(const config::ReplicaId &Id,
                                    const std::string &Version,
                                    std::uint64_t Fence) {
  const auto All = m_parts.Ownership.endpoints();
  const auto Found = std::ranges::find(All, Id, &config::Replica::Id);
  if (Found == All.end())
    return fail(ErrorKind::EndpointRefused, "no endpoint " + Id);
  wire::VersionShares Message;
  {
    const std::scoped_lock Lock(m_mutex);
    auto &Of = m_steering[Found->ServedTarget];
    Of.Loads[Id] = {.Version = Version, .Since = m_parts.Time.now()};
    Message = Of.Last;
  }
  broadcast(std::move(Message));
  std::erase_if(m_posts, [](const auto &One) {
    return One.wait_for(milliseconds(0)) == std::future_status::ready;
  });
  m_posts.push_back(
      std::async(std::launch::async, [this, At = *Found, Version, Fence] {
        std::this_thread::sleep_for(AnnounceLead);
        const int Status = postOrder(At, Version, Fence);
        m_parts.Log.event("rollout.order_answer",
                          {{"engine", At.Id},
                           {"version", Version},
                           {"status", std::to_string(Status)}});
      }));
  return {};
}

std::vector<policy::VersionSample>
RolloutLink::collectSamples(const std::string &TargetText) {
  const std::scoped_lock Lock(m_mutex);
  return std::exchange(m_steering[targetOf(TargetText)].Inbox, {});
}

void RolloutLink::setShares(const policy::RolloutPlan &Plan,
                            const policy::RolloutStep &Step,
                            std::uint64_t Fence) {
  auto Message = shareMessage(Plan, Step, Fence);
  {
    const std::scoped_lock Lock(m_mutex);
    auto &Of = m_steering[Message.What];
    const bool Changed =
        Of.Last.Fence != Fence || !sameShares(Of.Last, Message);
    if (!Changed && m_parts.Time.now() - Of.SentAt < RepeatInterval)
      return;
    if (const auto Found = m_records.find(Message.What);
        Found != m_records.end() && Found->second.Plan.Order == Plan.Order) {
      Message.Phase = policy::toString(Found->second.Progress.Phase);
      Message.Reason = Found->second.Progress.Reason;
    }
  }
  broadcast(std::move(Message));
}

/// Splits the requests started at owners without the new version among those
/// with it, so that their shares together refer to the route's total.
void RolloutLink::addElsewhere(Steering &Of,
                               wire::VersionShares &Message) const {
  const auto Now = m_parts.Time.now();
  std::erase_if(Of.Owners, [&](const auto &One) {
    return Now - One.second.At > ReportAge;
  });
  std::size_t Fresh = 0;
  std::map<std::string, std::uint64_t> Total;
  for (auto &[Name, Report] : Of.Owners) {
    Fresh += Report.ServesFresh ? 1 : 0;
    if (!Report.ServesFresh)
      for (const auto &[Plan, Count] : Report.Dispatches)
        Total[Plan] += Count;
  }
  if (Fresh == 0)
    return;
  for (auto &[Name, Report] : Of.Owners)
    Report.Dispatches.clear();
  for (const auto &[Plan, Count] : Total) {
    auto Route =
        std::ranges::find(Message.Routes, Plan, &wire::RouteShare::Plan);
    if (Route == Message.Routes.end())
      Route = Message.Routes.insert(
          Route, {.Plan = Plan, .Share = Message.OtherShare});
    Route->Elsewhere = Count / Fresh;
  }
}

void RolloutLink::addLoads(Steering &Of, wire::VersionShares &Message) const {
  std::erase_if(Of.Loads, [&](const auto &One) {
    return m_parts.Time.now() - One.second.Since > m_longestOrder;
  });
  Message.Loads.clear();
  for (const auto &[Id, Load] : Of.Loads)
    Message.Loads.push_back({.Replica = Id, .Version = Load.Version});
}

/// Owners of the target, and at times all daemons. A settled rollout is told to
/// an owner once.
std::vector<DaemonName>
RolloutLink::recipients(Steering &Of, const wire::VersionShares &Message,
                        bool Settled) const {
  const auto Now = m_parts.Time.now();
  std::vector<DaemonName> Out;
  const bool News = Of.Last.Fence != Message.Fence ||
                    Of.Last.Phase != Message.Phase ||
                    hasShare(Of.Last) != hasShare(Message);
  if (News || Now - Of.SentToAllAt >= RepeatToAllInterval) {
    Of.SentToAllAt = Now;
    for (const auto &[Name, Address] : m_parts.Known.peerAddresses())
      Out.push_back(Name);
    return Out;
  }
  for (auto &Owner : m_parts.Known.otherOwners(Message.What)) {
    const auto Boot = m_parts.Network.bootOf(Owner);
    const auto Told = Of.Informed.find(Owner);
    if (Settled && Boot && Told != Of.Informed.end() && Told->second == *Boot)
      continue;
    if (Settled && Boot)
      Of.Informed[Owner] = *Boot;
    Out.push_back(std::move(Owner));
  }
  return Out;
}

void RolloutLink::broadcast(wire::VersionShares Message, bool Settled) {
  std::vector<DaemonName> To;
  {
    const std::scoped_lock Lock(m_mutex);
    auto &Of = m_steering[Message.What];
    if (Message.Phase.empty())
      if (const auto Found = m_records.find(Message.What);
          Found != m_records.end()) {
        Message.Phase = policy::toString(Found->second.Progress.Phase);
        Message.Reason = Found->second.Progress.Reason;
      }
    To = recipients(Of, Message, Settled);
    if (!Settled)
      Of.Informed.clear();
    Of.Last = Message;
    Of.SentAt = m_parts.Time.now();
    addElsewhere(Of, Message);
    addLoads(Of, Message);
  }
  for (const auto &Name : To)
    (void)errorOf([&] { return m_parts.Network.send(Name, Message); });
  onShares(m_self, Message);
}

void RolloutLink::onSamples(const DaemonName &From,
                            const wire::VersionSamples &Message) {
  const auto Now = m_parts.Time.now();
  const std::scoped_lock Lock(m_mutex);
  auto &Of = m_steering[Message.What];
  auto &Report = Of.Owners[From];
  Report.ServesFresh = Message.ServesFresh;
  Report.At = Now;
  for (const auto &Route : Message.Routes)
    Report.Dispatches[Route.Plan] += Route.Count;
  for (const auto &Entry : Message.Entries) {
    if (Of.Inbox.size() >= MaxInbox)
      return;
    Of.Inbox.push_back(
        {.Route = Entry.Plan,
         .FromNewVersion = Entry.Fresh,
         .Failed = Entry.Failed,
         .Cold = Entry.Cold,
         .FirstToken = std::chrono::microseconds(Entry.FirstTokenMicros),
         .TokenGap = std::chrono::microseconds(Entry.TokenGapMicros),
         .CompletedAt = Now - Entry.Age});
  }
}

void RolloutLink::release() {
  const std::scoped_lock Lock(m_controllerMutex);
  m_stopped = true;
  m_controller.release();
  m_posts.clear();
}

// The owner's side.

void RolloutLink::applyConfig(const config::FleetConfig &Config) {
  std::vector<config::VersionOrder> Unknown;
  {
    const std::scoped_lock Lock(m_mutex);
    m_orders = Config.Versions;
    // Until the controller's first message, which may be late for a daemon
    // that has just started, an ordered version gets nothing.
    for (const auto &Order : m_orders)
      if (!m_applied.contains(Order.RolloutTarget)) {
        m_applied[Order.RolloutTarget].Shares = {.What = Order.RolloutTarget,
                                                 .Version = Order.Version};
        Unknown.push_back(Order);
      }
  }
  for (const auto &Order : Unknown)
    m_parts.Slots.setVersionShare(Order.RolloutTarget, Order.Version, 0.0);
  watchTargets();
  m_parts.ReplicasChanged();
}

/// Samples are taken while a rollout is under way.
void RolloutLink::watchTargets() {
  std::map<Target, std::string> Fresh;
  {
    const std::scoped_lock Lock(m_mutex);
    for (const auto &[What, Now] : m_applied)
      if (Now.Shares.Fence > 0 && !ended(Now.Shares.Phase))
        Fresh[What] = Now.Shares.Version;
  }
  m_parts.Sampler.watch(std::move(Fresh));
}

bool RolloutLink::onMessage(const peer::PeerOrigin &From,
                            const wire::Message &Message) {
  if (const auto *Shares = std::get_if<wire::VersionShares>(&Message))
    onShares(From.Daemon, *Shares);
  else if (const auto *Samples = std::get_if<wire::VersionSamples>(&Message))
    onSamples(From.Daemon, *Samples);
  else
    return false;
  return true;
}

void RolloutLink::onShares(const DaemonName &From,
                           const wire::VersionShares &Message) {
  std::optional<wire::VersionShares> Before;
  bool Fresh = false;
  bool Changed = false;
  {
    const std::scoped_lock Lock(m_mutex);
    auto &Now = m_applied[Message.What];
    if (Message.Fence < Now.Shares.Fence)
      return;
    if (!Now.Shares.Version.empty())
      Before = Now.Shares;
    Now = {.Shares = Message, .From = From};
    Changed = noteLoads(Message);
    Fresh = servesFresh(Message.What, Message.Version);
  }
  applyShares(Message, Before, Fresh);
  watchTargets();
  if (Changed || !Before || hasShare(*Before) != hasShare(Message) ||
      ended(Before->Phase) != ended(Message.Phase))
    m_parts.ReplicasChanged();
}

/// True if a replica starts to load, or has not loaded in time.
bool RolloutLink::noteLoads(const wire::VersionShares &Message) {
  const auto Now = m_parts.Time.now();
  bool Changed = std::erase_if(m_loading, [&](const auto &One) {
                   return Now - One.second.Since > m_longestOrder;
                 }) > 0;
  for (const auto &Load : Message.Loads) {
    const auto Known = m_versions.find(Load.Replica);
    if (Known != m_versions.end() && Known->second == Load.Version)
      continue;
    auto &Mark = m_loading[Load.Replica];
    if (Mark.Version == Load.Version)
      continue;
    Mark = {.Version = Load.Version, .Since = Now};
    Changed = true;
  }
  return Changed;
}

void RolloutLink::applyShares(const wire::VersionShares &Message,
                              const std::optional<wire::VersionShares> &Before,
                              bool ServesFresh) {
  if (Before && Before->Version != Message.Version)
    m_parts.Slots.setVersionShare(Message.What, Before->Version, 1.0);
  if (!Before || !sameShares(*Before, Message))
    m_parts.Slots.setVersionShare(Message.What, Message.Version,
                                  Message.OtherShare, routeShares(Message));
  if (!ServesFresh)
    return;
  for (const auto &Route : Message.Routes)
    if (Route.Elsewhere > 0)
      m_parts.Slots.addRouteDispatches(Message.What, Route.Plan,
                                       Route.Elsewhere);
}

bool RolloutLink::servesFresh(const Target &What,
                              const std::string &Version) const {
  return std::ranges::any_of(m_owned, [&](const auto &One) {
    const auto Served = m_versions.find(One.first);
    return One.second.ServedTarget == What && Served != m_versions.end() &&
           Served->second == Version;
  });
}

void RolloutLink::sampleStep() {
  std::map<Target, DaemonName> Targets;
  {
    const std::scoped_lock Lock(m_mutex);
    for (const auto &[What, Now] : m_applied)
      if (!Now.From.empty() && !ended(Now.Shares.Phase))
        Targets[What] = Now.From;
  }
  for (const auto &[What, To] : Targets)
    sendSamples(What, To);
}

void RolloutLink::sendSamples(const Target &What, const DaemonName &To) {
  const auto Batch = m_parts.Sampler.take(What);
  const auto Now = m_parts.Time.now();
  wire::VersionSamples Out{.What = What};
  {
    const std::scoped_lock Lock(m_mutex);
    Out.ServesFresh = servesFresh(What, m_applied[What].Shares.Version);
  }
  for (const auto &[Plan, Count] : Batch.Dispatches)
    Out.Routes.push_back({.Plan = Plan, .Count = Count});
  for (const auto &One : Batch.Samples)
    Out.Entries.push_back({.Plan = One.Route,
                           .Fresh = One.FromNewVersion,
                           .Failed = One.Failed,
                           .Cold = One.Cold,
                           .FirstTokenMicros = micros(One.FirstToken),
                           .TokenGapMicros = micros(One.TokenGap),
                           .Age = std::chrono::duration_cast<wire::Millis>(
                               Now - One.CompletedAt)});
  if (To == m_self)
    return onSamples(m_self, Out);
  // Lost samples only delay the judgement.
  (void)errorOf([&] { return m_parts.Network.send(To, Out); });
}

void RolloutLink::readUnread() {
  std::vector<config::Replica> Unread;
  {
    const std::scoped_lock Lock(m_mutex);
    for (const auto &[Id, Record] : m_owned)
      if (!m_versions.contains(Id) || m_loading.contains(Id))
        Unread.push_back(Record);
  }
  for (const auto &Record : Unread)
    if (const auto Load = readLoad(Record, ReadTimeout))
      noteVersion(Record.Id, Load->Version);
}

void RolloutLink::noteVersion(const config::ReplicaId &Id,
                              const std::string &Version) {
  if (Version.empty())
    return;
  {
    const std::scoped_lock Lock(m_mutex);
    const auto Load = m_loading.find(Id);
    const bool Ended =
        Load != m_loading.end() &&
        (Load->second.Version == Version ||
         m_parts.Time.now() - Load->second.Since > m_longestOrder);
    if (Ended)
      m_loading.erase(Load);
    auto &Known = m_versions[Id];
    if (Known == Version && !Ended)
      return;
    Known = Version;
  }
  m_parts.ReplicasChanged();
}

std::vector<policy::OwnedReplicaState>
RolloutLink::overlay(std::vector<policy::OwnedReplicaState> Owned) {
  const std::scoped_lock Lock(m_mutex);
  m_owned.clear();
  for (const auto &One : Owned)
    m_owned.emplace(One.Record.Id, One.Record);
  std::erase_if(m_versions,
                [&](const auto &One) { return !m_owned.contains(One.first); });
  for (auto &One : Owned) {
    auto &Record = One.Record;
    const auto Served = m_versions.find(Record.Id);
    if (Served != m_versions.end())
      Record.Version = Served->second;
    const auto Now = m_applied.find(Record.ServedTarget);
    if (Now == m_applied.end())
      continue;
    const auto &Shares = Now->second.Shares;
    // Before a controller has the rollout, no replica has been ordered to load.
    const bool Unread =
        Served == m_versions.end() && Shares.Fence > 0 && !ended(Shares.Phase);
    const bool Withheld = Record.Version == Shares.Version && !hasShare(Shares);
    Record.Leaving =
        Record.Leaving || Unread || Withheld || m_loading.contains(Record.Id);
  }
  return Owned;
}

std::vector<RolloutFigures> RolloutLink::figures() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<RolloutFigures> Out;
  for (const auto &[What, Now] : m_applied) {
    double Share = Now.Shares.OtherShare;
    for (const auto &Route : Now.Shares.Routes)
      Share = std::max(Share, Route.Share);
    Out.push_back(
        {.What = What,
         .Version = Now.Shares.Version,
         .Phase = Now.Shares.Phase.empty() ? "waiting" : Now.Shares.Phase,
         .Reason = Now.Shares.Reason,
         .Share = Share});
  }
  return Out;
}

} // namespace nutmegdrift::daemon
