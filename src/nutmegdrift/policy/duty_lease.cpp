// Claims, renewals and the validity of the lease on the duties.
#include "nutmegdrift/policy/duty_lease.h"

#include <algorithm>
#include <tuple>

namespace nutmegdrift::policy {

DutyTimes DutyTimes::of(Duration Lease) {
  // With the usual 3 s: a write is renewed twice before the holder has to stop,
  // and a call that begins just before a renewal still has time to end.
  return {.Lease = Lease,
          .Margin = Lease / 10,
          .RenewInterval = Lease / 3,
          .DecisionInterval = Lease / 6,
          .MinCallTimeout = Lease / 5,
          .MaxCallTimeout = Lease / 2,
          .ClaimStagger = Lease / 6,
          .MaxReadAge = Lease / 6};
}

DutyLease::DutyLease(DaemonName Self, BootId Boot, DutyTimes Times,
                     TimePoint Started)
    : m_self(std::move(Self)), m_boot(Boot), m_times(Times),
      m_started(Started) {}

void DutyLease::observe(const std::optional<StoredDuties> &Stored,
                        std::uint64_t Era, TimePoint Now) {
  if (m_known && Era < m_era)
    return; // A stale answer from before a restore.
  const bool Restored = m_known && Era > m_era;
  const bool First = !m_known;
  if (Restored && !(m_validUntil && Now < *m_validUntil))
    m_forfeited = true;
  if (!Restored && m_revision && Stored && Stored->Revision < *m_revision)
    return; // Stale.
  m_known = true;
  m_era = Era;
  const auto Unknown = std::exchange(m_unknown, std::nullopt);
  const std::optional<std::uint64_t> Revision =
      Stored ? std::optional(Stored->Revision) : std::nullopt;
  if (!Restored && !First && Revision == m_revision)
    return;
  m_revision = Revision;
  m_changed = Now;
  if (!Stored)
    return;
  adopt(Stored->Record, Now);
  if (Unknown && isOwn(Stored->Record) &&
      Stored->Record.Renewal == Unknown->Write.Record.Renewal)
    setValid(Unknown->At);
}

void DutyLease::observeCurrent(const std::optional<StoredDuties> &Stored,
                               std::uint64_t Era, TimePoint Requested,
                               TimePoint Now) {
  m_currentAt = std::max(m_currentAt, Requested);
  m_readNeeded = false;
  observe(Stored, Era, Now);
}

void DutyLease::adopt(const DutyRecord &Incoming, TimePoint Now) {
  const auto Age = [](const DutyRecord &Record) {
    return std::tie(Record.Epoch, Record.Renewal);
  };
  // A renewal number belongs to its boot, and each boot has its own epochs. The
  // known record is newer only if the store was restored or the object removed.
  const bool KnownIsNewer = Age(m_record) > Age(Incoming);
  const DutyRecord Known = m_record;
  if (!KnownIsNewer)
    m_record = Incoming;
  const DutyRecord &Other = KnownIsNewer ? Incoming : Known;
  // What was decided stays decided: a report may have been sent.
  for (const UsageReport &Report : Other.Pending)
    if (Report.Window > m_record.Decided)
      m_record.Pending.push_back(Report);
  m_record.Decided = std::max(m_record.Decided, Other.Decided);
  m_record.Settled = std::max(m_record.Settled, Other.Settled);
  std::erase_if(m_record.Pending, [&](const UsageReport &Report) {
    return Report.Window <= m_record.Settled;
  });
  if (Incoming.Era == m_era)
    m_forfeited = false;
  if (m_record.Epoch != Known.Epoch)
    m_epochChanged = Now;
  if (!isOwn(m_record))
    m_validUntil.reset();
}

void DutyLease::recordReadFailure(TimePoint Now) {
  // A holder that lost the store too gets time to renew the lease first. Not
  // the whole lease, so that some failed reads don't prevent a takeover.
  m_changed = std::max(m_changed, Now - (m_times.Lease + m_times.Margin) / 2);
}

void DutyLease::observeView(const DutyView &Heard, TimePoint Now) {
  if (Heard.Epoch < m_heard.Epoch)
    return;
  if (Heard.Epoch > m_heard.Epoch) {
    if (Heard.Epoch > m_record.Epoch)
      m_changed = Now;
    const std::uint64_t Decided = m_heard.Decided;
    m_heard = Heard;
    m_heard.Decided = std::max(Decided, Heard.Decided);
    return;
  }
  m_heard.Decided = std::max(m_heard.Decided, Heard.Decided);
}

DutyView DutyLease::view() const {
  DutyView Out = m_heard;
  if (m_record.Epoch >= m_heard.Epoch)
    Out = {.Holder = m_record.Holder,
           .Epoch = m_record.Epoch,
           .Decided = m_record.Decided};
  Out.Decided = std::max(m_record.Decided, m_heard.Decided);
  return Out;
}

bool DutyLease::needsRead(TimePoint Now, std::size_t Rank) const {
  if (m_sent)
    return false;
  if (!m_known || m_readNeeded)
    return true;
  const bool Writes =
      holds() ? m_validUntil && Now >= *m_validUntil : claimAllowed(Now, Rank);
  return Writes && Now - m_currentAt > m_times.MaxReadAge;
}

bool DutyLease::holds() const {
  return isOwn(m_record) && !m_record.Released && !m_forfeited;
}

std::optional<TimePoint> DutyLease::validUntil() const {
  if (!holds() || m_releasing || m_record.Era != m_era)
    return std::nullopt;
  return m_validUntil;
}

bool DutyLease::covers(TimePoint End) const {
  const auto Until = validUntil();
  return Until && End < *Until;
}

std::vector<const UsageReport *> DutyLease::openReports() const {
  std::vector<const UsageReport *> Open;
  for (const UsageReport &Report : m_record.Pending)
    if (!m_accepted.contains(Report.Window))
      Open.push_back(&Report);
  return Open;
}

void DutyLease::recordAccepted(std::uint64_t Window) {
  m_accepted.insert(Window);
}

void DutyLease::setValid(TimePoint SentAt) {
  if (!holds())
    return;
  m_held = true;
  m_validUntil = SentAt + m_times.Lease - m_times.Margin;
}

bool DutyLease::mayLackDecisions() const {
  // The object may have been created after the copy was made.
  if (!m_revision && m_era > FirstEra)
    return true;
  return (m_record.Epoch > 0 || m_heard.Epoch > 0) &&
         (!m_revision || m_record.Era < m_era || m_forfeited ||
          m_heard.Epoch > m_record.Epoch);
}

bool DutyLease::claimAllowed(TimePoint Now, std::size_t Rank) const {
  if (Rank >= MaxCandidates)
    return false;
  const Duration Stagger = m_times.ClaimStagger * Rank;
  const Duration Expiry = m_times.Lease + m_times.Margin;
  if (!m_revision && m_record.Epoch == 0 && !mayLackDecisions())
    return Now - m_changed >= Stagger; // Nobody has held the duties.
  if (!m_record.Released || mayLackDecisions())
    return Now - m_changed >= Expiry + Stagger;
  // This daemon may have held the duties before the one that released them.
  const TimePoint Since =
      m_held || m_record.Holder == m_self || m_record.Previous == m_self
          ? std::max(m_started, m_epochChanged)
          : m_started;
  return Now - Since >= Expiry && Now - m_changed >= Stagger;
}

std::uint64_t DutyLease::nextEpoch() const {
  return std::max({m_record.Epoch, m_heard.Epoch,
                   std::min(m_era, MaxEra) * EpochsPerEra}) +
         1;
}

DutyRecord DutyLease::nextRecord() const {
  DutyRecord Next = m_record;
  Next.Renewal = m_lastRenewal + 1;
  std::erase_if(Next.Pending, [&](const UsageReport &Report) {
    return m_accepted.contains(Report.Window);
  });
  if (Next.Era < m_era)
    Next.Epoch = nextEpoch();
  Next.Era = m_era;
  return Next;
}

DutyWrite DutyLease::claim(std::uint64_t CurrentWindow) const {
  DutyRecord Next = nextRecord();
  if (Next.Holder != m_self)
    Next.Previous = Next.Holder;
  Next.Holder = m_self;
  Next.Boot = m_boot;
  Next.Epoch = nextEpoch();
  Next.Released = false;
  // A window of which a lost report may have been sent must not be reported
  // with other counts.
  if (mayLackDecisions())
    Next.Decided = std::max({Next.Decided, m_heard.Decided, CurrentWindow});
  return {.Why = DutyWrite::Purpose::Claim,
          .Record = std::move(Next),
          .Revision = m_revision};
}

DutyWrite DutyLease::renewal(const DutyDecisions &Decisions) const {
  DutyRecord Next = nextRecord();
  for (const UsageReport &Report : Decisions.Reports) {
    if (Report.Window <= Next.Decided)
      continue;
    Next.Decided = Report.Window;
    Next.Pending.push_back(Report);
  }
  if (Next.Pending.size() > MaxPending)
    Next.Pending.erase(Next.Pending.begin(), Next.Pending.end() - MaxPending);
  Next.Settled =
      Next.Pending.empty() ? Next.Decided : Next.Pending.front().Window - 1;
  for (const auto &[Subject, Count] : Decisions.Orders)
    Next.Orders[Subject] = Count;
  return {.Why = DutyWrite::Purpose::Renew,
          .Record = std::move(Next),
          .Revision = m_revision};
}

std::optional<DutyWrite> DutyLease::dueWrite(TimePoint Now,
                                             const Context &With) const {
  if (m_sent || m_releasing || needsRead(Now, With.Rank))
    return std::nullopt;
  if (!holds())
    return claimAllowed(Now, With.Rank)
               ? std::optional(claim(With.CurrentWindow))
               : std::nullopt;
  const Duration Interval =
      With.Decisions.empty() ? m_times.RenewInterval : m_times.DecisionInterval;
  const bool Due = !m_lastSent || Now - *m_lastSent >= Interval ||
                   m_record.Era != m_era || !m_validUntil;
  return Due ? std::optional(renewal(With.Decisions)) : std::nullopt;
}

std::optional<DutyWrite> DutyLease::dueRelease() const {
  if (!m_releasing || m_sent || m_readNeeded || !holds())
    return std::nullopt;
  DutyWrite Write = renewal({});
  Write.Why = DutyWrite::Purpose::Release;
  Write.Record.Released = true;
  return Write;
}

void DutyLease::recordSent(const DutyWrite &Write, TimePoint Now) {
  m_sent = {.Write = Write, .At = Now};
  m_lastSent = Now;
  m_lastRenewal = Write.Record.Renewal;
}

void DutyLease::recordStored(std::uint64_t Revision, std::uint64_t Era,
                             TimePoint Now) {
  if (!m_sent)
    return;
  const Sent Stored = *std::exchange(m_sent, std::nullopt);
  if (Era != m_era) {
    // The store was restored: the lease is not valid before a renewal.
    m_unknown.reset();
    observe(StoredDuties{.Record = Stored.Write.Record, .Revision = Revision},
            Era, Now);
    return;
  }
  if (m_record.Epoch != Stored.Write.Record.Epoch)
    m_epochChanged = Now;
  if (m_revision && *m_revision > Revision)
    return; // A read has shown a later write.
  m_record = Stored.Write.Record;
  std::erase_if(m_accepted, [&](std::uint64_t Window) {
    return Window <= m_record.Settled;
  });
  m_revision = Revision;
  m_changed = Now;
  m_currentAt = Stored.At;
  m_forfeited = false;
  setValid(Stored.At);
}

void DutyLease::recordConflict(const std::optional<StoredDuties> &Stored,
                               std::uint64_t Era, TimePoint Now) {
  if (!m_sent)
    return;
  const TimePoint Requested = m_sent->At;
  m_sent.reset();
  const auto Before = m_revision;
  observeCurrent(Stored, Era, Requested, Now);
  m_readNeeded = m_revision == Before;
}

void DutyLease::recordUnknown() {
  m_unknown = std::exchange(m_sent, std::nullopt);
  m_readNeeded = true;
}

} // namespace nutmegdrift::policy
