// Targets of usage counts, and the fleet's time by which they are counted.
#include "nutmegdrift/gateway/usage_exchange.h"

#include <algorithm>
#include <tuple>

namespace nutmegdrift::gateway {

namespace {

/// The holder and the candidate that takes over from it.
constexpr std::size_t MaxTargets = 2;

} // namespace

UsageExchange::UsageExchange(Environment Env, const DutySettings &Duties)
    : m_env(std::move(Env)),
      m_ledger(m_env.Self, m_env.Boot,
               {.Window = Duties.UsageWindow, .Late = Duties.UsageLate}) {
  const TimePoint Now = m_env.Clk.now();
  m_fleetClock.observe(m_env.Self, m_env.Clk.wallNow(), Now);
  m_fleetClock.update(Now);
}

void UsageExchange::count(const std::string &Workspace) {
  m_ledger.count(Workspace, m_fleetClock.at(m_env.Clk.now()));
}

void UsageExchange::onHeartbeat(const Heartbeat &Received) {
  if (Received.WallMicros <= 0)
    return;
  const TimePoint Now = m_env.Clk.now();
  m_fleetClock.observe(Received.Daemon,
                       WallTime(std::chrono::microseconds(Received.WallMicros)),
                       Now);
  m_fleetClock.update(Now);
}

void UsageExchange::onCounts(const policy::UsageCounts &Received) {
  m_ledger.merge(Received, m_fleetClock.at(m_env.Clk.now()));
}

policy::UsageLedger::Fleet UsageExchange::fleet(TimePoint Now) const {
  policy::UsageLedger::Fleet Out;
  const FleetView &View = m_env.Beacon.view();
  for (const auto &[Name, Peer] : View.members())
    if (Name != m_env.Self)
      Out[Peer.Status.Boot] = View.alive(Peer, Now);
  return Out;
}

std::vector<HostPort> UsageExchange::targets(TimePoint Now) const {
  struct Candidate {
    bool IsNotHolder;
    bool IsNotReady;
    DaemonName Name;
    std::optional<HostPort> Address; ///< Empty: this daemon.
  };
  const auto IsNotHolder = [&](const DaemonName &Name) {
    return m_holder != Name;
  };
  std::vector<Candidate> Candidates{
      {IsNotHolder(m_env.Self), !m_env.Accepts(), m_env.Self, std::nullopt}};
  const FleetView &View = m_env.Beacon.view();
  for (const auto &[Name, Peer] : View.members())
    if (Name != m_env.Self && View.alive(Peer, Now) && !Peer.Status.Stopping)
      Candidates.push_back(
          {IsNotHolder(Name), !Peer.Status.Ready, Name, Peer.Status.Internal});
  const auto Used = std::min(MaxTargets, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(Used),
                    Candidates.end(),
                    [](const Candidate &A, const Candidate &B) {
                      return std::tie(A.IsNotHolder, A.IsNotReady, A.Name) <
                             std::tie(B.IsNotHolder, B.IsNotReady, B.Name);
                    });
  std::vector<HostPort> Out;
  for (std::size_t I = 0; I < Used; ++I)
    if (Candidates[I].Address)
      Out.push_back(*Candidates[I].Address);
  return Out;
}

void UsageExchange::send(const std::vector<policy::UsageCounts> &Messages) {
  for (const policy::UsageCounts &Message : Messages) {
    const std::string Bytes = encode(Message);
    for (const HostPort &Target : m_targets)
      m_env.Beacon.sendTo(Target, Bytes);
  }
}

void UsageExchange::tick() {
  const TimePoint Now = m_env.Clk.now();
  m_fleetClock.observe(m_env.Self, m_env.Clk.wallNow(), Now);
  m_fleetClock.update(Now);
  if (m_lastSend && Now - *m_lastSend < policy::UsageLedger::SendInterval)
    return;
  m_lastSend = Now;
  std::vector<HostPort> Targets = targets(Now);
  if (Targets != m_targets)
    m_ledger.resendAll();
  m_targets = std::move(Targets);
  send(m_ledger.takeMessages(Now, m_fleetClock.at(Now), fleet(Now)));
}

void UsageExchange::sendLast() {
  const TimePoint Now = m_env.Clk.now();
  m_targets = targets(Now);
  send(m_ledger.lastMessages(m_fleetClock.at(Now)));
}

void UsageExchange::setHolder(std::optional<DaemonName> Holder,
                              policy::WindowNumber LastDecided) {
  if (Holder != m_holder)
    m_lastSend.reset();
  m_holder = std::move(Holder);
  m_ledger.dropDecided(LastDecided);
}

std::vector<policy::UsageReport>
UsageExchange::due(TimePoint Now, policy::WindowNumber After) {
  const auto Others = fleet(Now);
  const WallTime FleetTime = m_fleetClock.at(Now);
  auto Reports = m_ledger.due(Now, FleetTime, Others, After);
  for (const policy::UsageReport &Report : Reports) {
    const std::size_t Missing =
        m_ledger.missing(Report.Window, FleetTime, Others);
    if (Missing == 0 || Report.Window <= m_lastIncomplete)
      continue;
    m_lastIncomplete = Report.Window;
    m_env.Log.line(LogClass::Fault, "usage.incomplete",
                   {{"window", std::to_string(Report.Window)},
                    {"missing_daemons", std::to_string(Missing)},
                    {"daemons", std::to_string(Others.size() + 1)}});
  }
  return Reports;
}

std::size_t UsageExchange::pending() const {
  return m_ledger.pending(m_fleetClock.at(m_env.Clk.now()));
}

} // namespace nutmegdrift::gateway
