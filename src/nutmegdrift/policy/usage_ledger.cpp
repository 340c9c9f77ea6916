// Counts by window, their messages and the decision of reports.
#include "nutmegdrift/policy/usage_ledger.h"

#include <algorithm>
#include <limits>

namespace nutmegdrift::policy {

UsageLedger::UsageLedger(DaemonName Self, BootId Boot, const Options &Settings)
    : m_boot(Boot), m_options(Settings) {
  m_starts[m_boot].Daemon = std::move(Self);
}

WindowNumber UsageLedger::windowAt(WallTime Time) const {
  return static_cast<WindowNumber>(Time.time_since_epoch() / m_options.Window);
}

WallTime UsageLedger::endOf(WindowNumber Window) const {
  const auto Length =
      std::chrono::duration_cast<WallTime::duration>(m_options.Window);
  // Windows of messages are not checked; the product must not overflow.
  const auto Last =
      static_cast<WindowNumber>(WallTime::duration::max() / Length) - 1;
  return WallTime(Length *
                  static_cast<std::int64_t>(std::min(Window, Last) + 1));
}

std::optional<std::size_t> UsageLedger::indexOf(const std::string &Workspace) {
  if (const auto Known = m_indexes.find(Workspace); Known != m_indexes.end())
    return Known->second;
  if (m_workspaces.size() >= MaxWorkspaces)
    return std::nullopt;
  m_workspaces.push_back(Workspace);
  return m_indexes.emplace(Workspace, m_workspaces.size() - 1).first->second;
}

void UsageLedger::openWindows(WindowNumber Current) {
  Start &Self = m_starts.at(m_boot);
  if (Self.Windows.contains(Current))
    return;
  if (!m_counting)
    Self.First = Current;
  m_counting = true;
  Self.First = std::min(Self.First, Current);
  Self.Newest = std::max(Self.Newest, Current);
  // Windows without requests are reported as complete too.
  WindowNumber Next = std::max(Self.First, m_decided + 1);
  if (Current >= MaxPendingWindows)
    Next = std::max(Next, Current - MaxPendingWindows + 1);
  for (; Next <= Current; ++Next)
    Self.Windows.try_emplace(Next);
  dropOldest(Self);
}

void UsageLedger::dropOldest(Start &Known) {
  while (Known.Windows.size() > MaxPendingWindows)
    Known.Windows.erase(Known.Windows.begin());
}

void UsageLedger::count(const std::string &Workspace, WallTime Began) {
  // With a clock that is late, the request would be lost in a decided window.
  const WindowNumber Window = std::max(windowAt(Began), m_decided + 1);
  openWindows(Window);
  const auto Index = indexOf(Workspace);
  if (!Index)
    return;
  WindowCounts &Counts = m_starts.at(m_boot).Windows[Window];
  if (Counts.ByWorkspace.size() <= *Index)
    Counts.ByWorkspace.resize(*Index + 1);
  ++Counts.ByWorkspace[*Index];
}

void UsageLedger::merge(const UsageCounts &Received, WallTime FleetTime) {
  const WindowNumber Current = windowAt(FleetTime);
  if (Received.Boot == m_boot || Received.Window > Current + MaxWindowsAhead ||
      Received.Window + MaxPendingWindows < Current)
    return;
  Start &Sender =
      m_starts
          .try_emplace(Received.Boot, Start{.Daemon = Received.Daemon,
                                            .First = Received.First})
          .first->second;
  Sender.First = std::min(Sender.First, Received.First);
  Sender.Newest = std::max(Sender.Newest, Received.Newest);
  Sender.Ended = Sender.Ended || Received.Ended;
  if (Received.Window <= m_decided)
    return;
  WindowCounts &Known = Sender.Windows[Received.Window];
  Known.CompleteUpTo = std::max(Known.CompleteUpTo, Received.CompleteUpTo);
  for (const auto &[Workspace, Count] : Received.Counts) {
    const auto Index = indexOf(Workspace);
    if (!Index)
      continue;
    if (Known.ByWorkspace.size() <= *Index)
      Known.ByWorkspace.resize(*Index + 1);
    Known.ByWorkspace[*Index] =
        std::max(Known.ByWorkspace[*Index],
                 static_cast<std::uint32_t>(std::min<std::uint64_t>(
                     Count, std::numeric_limits<std::uint32_t>::max())));
  }
  dropOldest(Sender);
}

void UsageLedger::dropDecided(WindowNumber Last) {
  if (Last <= m_decided)
    return;
  m_decided = Last;
  for (auto &[Boot, Known] : m_starts)
    Known.Windows.erase(Known.Windows.begin(),
                        Known.Windows.upper_bound(m_decided));
}

UsageCounts UsageLedger::message(BootId Boot, const Start &Sender,
                                 WindowNumber Window) const {
  const WindowCounts &Known = Sender.Windows.at(Window);
  UsageCounts Out{.Daemon = Sender.Daemon,
                  .Boot = Boot,
                  .Window = Window,
                  .First = Sender.First,
                  .Newest = Sender.Newest,
                  .CompleteUpTo = Known.CompleteUpTo,
                  .Ended = Sender.Ended};
  for (std::size_t I = 0; I < Known.ByWorkspace.size(); ++I)
    if (Known.ByWorkspace[I] > 0)
      Out.Counts[m_workspaces[I]] = Known.ByWorkspace[I];
  return Out;
}

std::vector<UsageCounts> UsageLedger::takeMessages(TimePoint Now,
                                                   WallTime FleetTime,
                                                   const Fleet &Others) {
  openWindows(windowAt(FleetTime));
  std::erase_if(m_starts, [&](const auto &Entry) {
    return Entry.first != m_boot && Entry.second.Windows.empty() &&
           !Others.contains(Entry.first);
  });
  std::vector<UsageCounts> Out;
  for (auto &[Boot, Sender] : m_starts) {
    const auto Known = Others.find(Boot);
    if (Boot != m_boot && Known != Others.end() && Known->second)
      continue;
    for (auto &[Window, Counts] : Sender.Windows) {
      const bool Slow =
          Boot != m_boot || FleetTime - endOf(Window) > FrequentAfterEnd;
      // Half an interval of tolerance, as the calls are not exact.
      const Duration Interval =
          (Slow ? SlowSendInterval : SendInterval) - SendInterval / 2;
      if (Counts.SentAt && Now - *Counts.SentAt < Interval)
        continue;
      if (Boot == m_boot)
        Counts.CompleteUpTo = std::max(Counts.CompleteUpTo, FleetTime);
      Counts.SentAt = Now;
      Out.push_back(message(Boot, Sender, Window));
    }
  }
  return Out;
}

std::vector<UsageCounts> UsageLedger::lastMessages(WallTime FleetTime) {
  openWindows(windowAt(FleetTime));
  Start &Self = m_starts.at(m_boot);
  Self.Ended = true;
  std::vector<UsageCounts> Out;
  for (auto &[Window, Counts] : Self.Windows) {
    Counts.CompleteUpTo = std::max(endOf(Window), FleetTime);
    Out.push_back(message(m_boot, Self, Window));
  }
  return Out;
}

void UsageLedger::resendAll() {
  for (auto &[Boot, Known] : m_starts)
    for (auto &[Window, Counts] : Known.Windows)
      Counts.SentAt.reset();
}

bool UsageLedger::complete(BootId Boot, WindowNumber Window,
                           WallTime FleetTime) const {
  if (Boot == m_boot)
    return FleetTime >= endOf(Window);
  const auto Known = m_starts.find(Boot);
  if (Known == m_starts.end())
    return false;
  const Start &Sender = Known->second;
  if (Window < Sender.First || (Sender.Ended && Window > Sender.Newest))
    return true;
  const auto Counts = Sender.Windows.find(Window);
  return Counts != Sender.Windows.end() &&
         Counts->second.CompleteUpTo >= endOf(Window);
}

std::size_t UsageLedger::missing(WindowNumber Window, WallTime FleetTime,
                                 const Fleet &Others) const {
  return static_cast<std::size_t>(
      std::count_if(Others.begin(), Others.end(), [&](const auto &Entry) {
        return !complete(Entry.first, Window, FleetTime);
      }));
}

UsageLedger::Readiness UsageLedger::readiness(WindowNumber Window,
                                              WallTime FleetTime,
                                              const Fleet &Others) const {
  const std::size_t Missing = missing(Window, FleetTime, Others);
  const bool AliveComplete =
      std::all_of(Others.begin(), Others.end(), [&](const auto &Entry) {
        return !Entry.second || complete(Entry.first, Window, FleetTime);
      });
  const Duration Age = FleetTime - endOf(Window);
  const auto Waited = [&](double Fraction) {
    return Age >=
           std::chrono::duration_cast<Duration>(m_options.Late * Fraction);
  };
  const bool MostComplete = 2 * Missing <= Others.size() + 1;
  const bool Decides = Missing == 0 || Waited(MajorityWait) ||
                       (MostComplete && (Waited(AliveWait) ||
                                         (AliveComplete && Waited(LostWait))));
  if (!Decides)
    return Readiness::Open;
  const bool Known =
      std::any_of(m_starts.begin(), m_starts.end(), [&](const auto &Entry) {
        return Entry.second.Windows.contains(Window);
      });
  return Known ? Readiness::Ready : Readiness::Unknown;
}

UsageReport UsageLedger::report(WindowNumber Window) const {
  UsageReport Out{.Window = Window, .Counts = {}};
  for (const auto &[Boot, Known] : m_starts) {
    const auto Counts = Known.Windows.find(Window);
    if (Counts == Known.Windows.end())
      continue;
    const auto &ByWorkspace = Counts->second.ByWorkspace;
    for (std::size_t I = 0; I < ByWorkspace.size(); ++I)
      if (ByWorkspace[I] > 0)
        Out.Counts[m_workspaces[I]] += ByWorkspace[I];
  }
  return Out;
}

std::optional<WindowNumber> UsageLedger::oldestKnown() const {
  std::optional<WindowNumber> Oldest;
  for (const auto &[Boot, Known] : m_starts)
    if (!Known.Windows.empty())
      Oldest = std::min(Oldest.value_or(Known.Windows.begin()->first),
                        Known.Windows.begin()->first);
  return Oldest;
}

std::vector<UsageReport> UsageLedger::due(TimePoint Now, WallTime FleetTime,
                                          const Fleet &Others,
                                          WindowNumber After) {
  openWindows(windowAt(FleetTime));
  if (!m_askedSince || Now - m_lastAsked > MaxAskGap)
    m_askedSince = Now;
  m_lastAsked = Now;
  std::vector<UsageReport> Out;
  const auto Oldest = oldestKnown();
  if (!Oldest || Now - *m_askedSince < HolderDelay)
    return Out;
  for (WindowNumber Window = std::max({After + 1, m_decided + 1, *Oldest});
       FleetTime >= endOf(Window) + DecisionDelay; ++Window) {
    const Readiness State = readiness(Window, FleetTime, Others);
    if (State == Readiness::Open)
      break;
    if (State == Readiness::Ready)
      Out.push_back(report(Window));
  }
  return Out;
}

std::size_t UsageLedger::pending(WallTime FleetTime) const {
  const auto &Windows = m_starts.at(m_boot).Windows;
  return static_cast<std::size_t>(
      std::count_if(Windows.begin(), Windows.end(), [&](const auto &Entry) {
        return FleetTime >= endOf(Entry.first);
      }));
}

} // namespace nutmegdrift::policy
