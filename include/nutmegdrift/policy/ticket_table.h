// At-most-once execution of requests with tickets at their home daemon.
#ifndef NUTMEGDRIFT_POLICY_TICKET_TABLE_H
#define NUTMEGDRIFT_POLICY_TICKET_TABLE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/wire/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace nutmegdrift::policy {

struct TicketTableOptions {
  /// Granted tickets that have not expired. A full table grants no more.
  std::uint64_t MaxTickets = 65'536;
  Duration Lifetime = std::chrono::minutes(10);
  /// Answer bytes stored for resends, over all tickets.
  std::size_t MaxStoredBytes = std::size_t{16} << 20U;
  /// A longer answer is not stored; a resend learns only that the request ran.
  std::size_t MaxBytesPerAnswer = std::size_t{256} << 10U;
};

/// What to do with a request that carries a ticket.
enum class TicketDecision {
  Run,    ///< Run it now, then call finish() or release().
  Join,   ///< It is already running: wait, then call start() again.
  Replay, ///< It has finished: send the stored answer.
};

struct TicketStart {
  TicketDecision Decision = TicketDecision::Run;
  wire::StoredAnswer Answer; ///< Meaningful for Replay only.
};

/// Decides for each ticket of one boot of a daemon, and of boots handed over to
/// it, whether the request may run. Not thread-safe.
///
/// \code
///   BOOST_LEAF_AUTO(Start, Table.start(Ticket, Fingerprint));
///   if (Start.Decision == TicketDecision::Run)
///     Table.finish(Ticket, execute(Request));
/// \endcode
class TicketTable {
public:
  TicketTable(DaemonName Self, BootId Boot, const Clock &Clk,
              TicketTableOptions Options = {});

  /// Grants \p Count consecutive tickets. Errors: TicketTableFull, Draining
  /// (the table was handed over), MalformedRequest (\p Count is 0).
  Result<wire::TicketRange> grant(std::uint64_t Count);

  /// True if this table decides for tickets of this home and boot.
  [[nodiscard]] bool answersFor(const DaemonName &Home, BootId Boot) const;

  /// \p Fingerprint is a hash of the request; a ticket serves one request only.
  /// Errors: TicketInvalid (never granted, or used for another request),
  /// TicketOutcomeUnknown (expired, of another boot or home, interrupted, or
  /// handed over).
  Result<TicketStart> start(const Ticket &Value, std::uint64_t Fingerprint);

  /// Stores the answer of a ticket for which start() returned Run.
  void finish(const Ticket &Value, wire::StoredAnswer Answer);

  /// Undoes a start() that returned Run: the ticket may be started again. Only
  /// for requests of which no byte reached an endpoint.
  void release(const Ticket &Value);

  /// Exports the table to a successor, in parts that fit a frame. From the
  /// first call on, this table starts no ticket. A repeated call returns the
  /// same parts, because parts made at different times could lose an entry
  /// between them. Another successor, or another boot of the same one, gets
  /// only the tickets that were started here, because the first one may run the
  /// others.
  std::vector<wire::TicketTableHandover> exportTo(const DaemonName &Successor,
                                                  BootId SuccessorBoot);

  /// Imports one part. This table decides for the tickets of a boot once all
  /// its parts have arrived. A repeated part is acknowledged and changes
  /// nothing. Errors: Conflict if the part is for another daemon or boot, comes
  /// from a second export of the same tickets, or this table was itself handed
  /// over; InvalidDocument if part numbers or ranges are out of bounds.
  Result<wire::TicketHandoverAck> import(const wire::TicketTableHandover &Part);

  /// Granted tickets that have not expired, including imported ones.
  [[nodiscard]] std::uint64_t size() const { return m_size; }
  [[nodiscard]] std::size_t answerBytes() const { return m_answerBytes; }

private:
  struct Range {
    std::uint64_t First = 0;
    std::uint64_t Count = 0;
    TimePoint Expiry;
  };
  struct Entry {
    wire::TicketState State = wire::TicketState::Running;
    std::uint64_t Fingerprint = 0;
    wire::StoredAnswer Answer;
  };
  using BootKey = std::pair<DaemonName, BootId>;
  /// Tickets of one home and boot.
  struct Section {
    std::map<std::uint64_t, Range> Ranges;  ///< By first sequence; disjoint.
    std::map<std::uint64_t, Entry> Entries; ///< Started tickets by sequence.
    /// First sequence not granted; local section only.
    std::uint64_t NextSequence = 0;
    std::set<std::uint32_t> MissingParts; ///< Empty once complete.
    std::uint32_t Parts = 0;              ///< Imported sections only.
    BootId ExporterBoot = 0;              ///< Imported sections only.
  };

  void expire();
  void expireSection(Section &Tickets, TimePoint Now);
  Result<TicketStart> startIn(Section &Tickets, const Ticket &Value,
                              std::uint64_t Fingerprint);
  Result<void> checkStartable(const Section &Tickets,
                              const Ticket &Value) const;
  static const Range *findRange(const Section &Tickets, std::uint64_t Sequence);
  Entry *runningEntry(const Ticket &Value);
  void storeAnswer(const Ticket &Value, Entry &Stored,
                   wire::StoredAnswer Answer);
  void evictAnswers();
  Section *findSection(const Ticket &Value);
  using Parts = std::vector<wire::TicketTableHandover>;
  [[nodiscard]] Parts makeParts(const BootKey &SuccessorKey,
                                bool StartedOnly) const;
  [[nodiscard]] std::vector<wire::TicketRange>
  rangesToExport(const Section &Tickets, bool StartedOnly) const;
  [[nodiscard]] Parts exportSection(const Section &Tickets,
                                    bool StartedOnly) const;
  Result<Section *> sectionFor(const wire::TicketTableHandover &Part);
  void importRanges(Section &Tickets,
                    const std::vector<wire::TicketRange> &Ranges);
  void importEntry(Section &Tickets, const BootKey &Key,
                   const wire::TicketEntry &Value);

  const DaemonName m_self;
  const BootId m_boot;
  const Clock &m_clock;
  const TicketTableOptions m_options;
  /// Imported sections stay after their tickets have expired, so that a late
  /// repeated part does not make the tickets startable again.
  std::map<BootKey, Section> m_sections;
  std::uint64_t m_size = 0; ///< Tickets in all ranges.
  /// Tickets whose answer is stored, with its size; oldest first.
  std::deque<std::pair<Ticket, std::size_t>> m_answers;
  std::size_t m_answerBytes = 0; ///< Sum over m_answers.
  /// First successor; set by the first export.
  std::optional<BootKey> m_successor;
  std::map<BootKey, Parts> m_exports; ///< By successor.
};

} // namespace nutmegdrift::policy

#endif
