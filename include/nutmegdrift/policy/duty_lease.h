// The lease on a fleet's duties: which daemon holds them, until when it may
// act, and what is decided. Does no I/O.
#ifndef NUTMEGDRIFT_POLICY_DUTY_LEASE_H
#define NUTMEGDRIFT_POLICY_DUTY_LEASE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/policy/usage_ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegdrift::policy {

/// A service and a zone.
using DutySubject = std::pair<std::string, std::string>;

/// The content of the store object that holds the lease and what is decided.
struct DutyRecord {
  DaemonName Holder; ///< Empty: nobody has held the duties.
  BootId Boot = 0;   ///< Of the holder.
  /// Increases with each change of the holder or its boot. Sent with each call.
  std::uint64_t Epoch = 0;
  std::uint64_t Renewal = 0; ///< Number of the write within the boot.
  DaemonName Previous;       ///< The holder before this one.
  bool Released = false;     ///< The holder acts no more.
  std::uint64_t Era = 0;     ///< Of the store when the record was written.
  std::uint64_t Decided = 0; ///< Newest window whose report is decided.
  /// All reports up to this window were accepted, or dropped.
  std::uint64_t Settled = 0;
  /// Decided reports that are not known to be accepted, oldest first.
  std::vector<UsageReport> Pending;
  std::map<DutySubject, unsigned> Orders; ///< Number of replicas.

  friend bool operator==(const DutyRecord &, const DutyRecord &) = default;
};

struct StoredDuties {
  DutyRecord Record;
  std::uint64_t Revision = 0;

  friend bool operator==(const StoredDuties &, const StoredDuties &) = default;
};

/// What the next write is to decide.
struct DutyDecisions {
  std::vector<UsageReport> Reports; ///< Oldest first.
  std::map<DutySubject, unsigned> Orders;

  [[nodiscard]] bool empty() const { return Reports.empty() && Orders.empty(); }
};

/// A write of the object, on condition that it still has the revision.
struct DutyWrite {
  enum class Purpose { Claim, Renew, Release };
  Purpose Why = Purpose::Renew;
  DutyRecord Record;
  std::optional<std::uint64_t> Revision; ///< Unset: creates the object.
};

/// What daemons tell each other of the duties.
struct DutyView {
  DaemonName Holder; ///< Empty: none is known.
  std::uint64_t Epoch = 0;
  std::uint64_t Decided = 0;

  friend bool operator==(const DutyView &, const DutyView &) = default;
};

/// Lengths of time that all daemons of a fleet have to agree on.
struct DutyTimes {
  /// The values for a lease, which deployments choose.
  static DutyTimes of(Duration Lease);

  Duration Lease{};
  /// Subtracted by the holder and added by the others, for clocks that run at
  /// different rates and calls that end late.
  Duration Margin{};
  Duration RenewInterval{};
  /// Between writes that decide something. Each write is billed.
  Duration DecisionInterval{};
  /// A call to the service begins only if this time is left, and gets at most
  /// MaxCallTimeout.
  Duration MinCallTimeout{};
  Duration MaxCallTimeout{};
  /// Between the claims of two candidates, so that few write at a time.
  Duration ClaimStagger{};
  /// Of the last current read when the lease is claimed.
  Duration MaxReadAge{};
};

/// The lease as one daemon sees it: as holder, candidate or neither.
///
/// A holder may act while its last accepted write, counted from when it was
/// sent, is younger than the lease. Another daemon claims the lease only with a
/// write on condition of a revision that it has known for longer than that.
class DutyLease {
public:
  /// Only daemons with a rank below this claim the lease.
  static constexpr std::size_t MaxCandidates = 3;
  /// Each era of the store has its own range of epochs, because the changes of
  /// the holder after the copy was made are lost with a restore.
  static constexpr std::uint64_t EpochsPerEra = 1000;
  /// A store with a later era has been restored.
  static constexpr std::uint64_t FirstEra = 1;
  /// Keeps epochs below 2^53, beyond which JSON numbers may lose digits.
  static constexpr std::uint64_t MaxEra = 9'000'000'000'000;
  /// Older reports are dropped, so that the object stays small while the
  /// service is down.
  static constexpr std::size_t MaxPending = 64;

  DutyLease(DaemonName Self, BootId Boot, DutyTimes Times, TimePoint Started);

  /// The store answered: it holds this object, or none. The answer may be
  /// stale.
  void observe(const std::optional<StoredDuties> &Stored, std::uint64_t Era,
               TimePoint Now);
  /// The same for a read that is not stale and was sent at Requested.
  void observeCurrent(const std::optional<StoredDuties> &Stored,
                      std::uint64_t Era, TimePoint Requested, TimePoint Now);
  /// A read failed: a holder may have renewed the lease meanwhile.
  void recordReadFailure(TimePoint Now);
  /// Another daemon's view arrived.
  void observeView(const DutyView &Heard, TimePoint Now);

  struct Context {
    std::size_t Rank = 0; ///< In the order of candidates.
    /// Newest window that may have begun, by the daemon's clock.
    std::uint64_t CurrentWindow = 0;
    DutyDecisions Decisions{};
  };
  /// The write that is due. Sending it has to be reported by recordSent().
  [[nodiscard]] std::optional<DutyWrite> dueWrite(TimePoint Now,
                                                  const Context &With) const;
  /// The write that gives the lease up. No call may be in progress. From
  /// startRelease() on nothing may be begun.
  void startRelease() { m_releasing = true; }
  [[nodiscard]] std::optional<DutyWrite> dueRelease() const;
  void recordSent(const DutyWrite &Write, TimePoint Now);
  /// The write that was sent is stored with this revision.
  void recordStored(std::uint64_t Revision, std::uint64_t Era, TimePoint Now);
  /// The write that was sent was not stored, because the store holds this.
  void recordConflict(const std::optional<StoredDuties> &Stored,
                      std::uint64_t Era, TimePoint Now);
  /// The write that was sent may have been stored; a read has to show it.
  void recordUnknown();
  /// Whether a current read of the object is needed before the next write. A
  /// claim needs one even if the object is known: while the daemon was paused
  /// or cut off, the store may have been restored and have given out the known
  /// revision again.
  [[nodiscard]] bool needsRead(TimePoint Now, std::size_t Rank) const;

  /// Whether the stored lease is this boot's, even if it has run out.
  [[nodiscard]] bool holds() const;
  /// Whether a call that ends by End, or an action at End, is covered.
  [[nodiscard]] bool covers(TimePoint End) const;
  /// End of the time in which this daemon may act, if it holds the lease.
  [[nodiscard]] std::optional<TimePoint> validUntil() const;
  /// The reports to send: stored, and not accepted.
  [[nodiscard]] std::vector<const UsageReport *> openReports() const;
  /// The service has accepted the report of the window.
  void recordAccepted(std::uint64_t Window);

  [[nodiscard]] const DutyRecord &record() const { return m_record; }
  /// The newest that is known, from the store or from other daemons.
  [[nodiscard]] DutyView view() const;
  [[nodiscard]] std::uint64_t era() const { return m_era; }
  [[nodiscard]] const DutyTimes &times() const { return m_times; }

private:
  struct Sent {
    DutyWrite Write;
    TimePoint At{};
  };

  void adopt(const DutyRecord &Incoming, TimePoint Now);
  void setValid(TimePoint SentAt);
  [[nodiscard]] bool claimAllowed(TimePoint Now, std::size_t Rank) const;
  [[nodiscard]] DutyWrite claim(std::uint64_t CurrentWindow) const;
  [[nodiscard]] DutyWrite renewal(const DutyDecisions &Decisions) const;
  [[nodiscard]] DutyRecord nextRecord() const;
  [[nodiscard]] std::uint64_t nextEpoch() const;
  [[nodiscard]] bool isOwn(const DutyRecord &Record) const {
    return Record.Holder == m_self && Record.Boot == m_boot;
  }
  /// Whether decisions may have been lost with a restore of the store, or are
  /// known to other daemons only.
  [[nodiscard]] bool mayLackDecisions() const;

  DaemonName m_self;
  BootId m_boot;
  DutyTimes m_times;
  TimePoint m_started;
  DutyRecord m_record;                       ///< The newest that is known.
  std::optional<std::uint64_t> m_revision{}; ///< Unset: no object.
  bool m_known = false;                      ///< The store was read.
  std::uint64_t m_era = 0;
  DutyView m_heard;
  TimePoint m_changed{};      ///< When a change was last seen.
  TimePoint m_epochChanged{}; ///< When a change of the holder was last seen.
  TimePoint m_currentAt{};    ///< When the last current answer was requested.
  bool m_held = false;        ///< This boot has held the lease.
  /// This boot's lease ran out before a restore of the store was seen, so that
  /// another daemon may have held it since.
  bool m_forfeited = false;
  bool m_releasing = false;
  bool m_readNeeded = false;
  std::optional<TimePoint> m_validUntil{};
  std::optional<Sent> m_sent{};    ///< The write in progress.
  std::optional<Sent> m_unknown{}; ///< A write whose result is unknown.
  std::optional<TimePoint> m_lastSent{};
  std::uint64_t m_lastRenewal = 0;    ///< Of all writes of this boot.
  std::set<std::uint64_t> m_accepted; ///< Not yet removed from m_record.
};

} // namespace nutmegdrift::policy

#endif
