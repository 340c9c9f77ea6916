// Requests that may not be repeated: tickets and idempotency keys.
#ifndef NUTMEGDRIFT_PROXY_RUN_ONCE_FILTER_H
#define NUTMEGDRIFT_PROXY_RUN_ONCE_FILTER_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/policy/ticket_table.h"
#include "nutmegdrift/proxy/filter_chain.h"

#include <condition_variable>
#include <mutex>

namespace nutmegdrift::proxy {

/// The ticket table for request threads. Thread-safe.
class TicketDesk {
public:
  TicketDesk(DaemonName Self, BootId Boot, const Clock &Clk,
             policy::TicketTableOptions Options = {});

  Result<wire::TicketRange> grant(std::uint64_t Count);
  [[nodiscard]] bool answersFor(const Ticket &Value) const;
  /// Says whether to run the ticket; waits until Deadline while another
  /// request runs it. Errors: those of TicketTable, DeadlinePassed as
  /// TicketOutcomeUnknown.
  Result<policy::TicketStart>
  start(const Ticket &Value, std::uint64_t Fingerprint, TimePoint Deadline);
  void finish(const Ticket &Value, wire::StoredAnswer Answer);
  void release(const Ticket &Value);
  std::vector<wire::TicketTableHandover> exportTo(const DaemonName &Successor,
                                                  BootId SuccessorBoot);
  Result<wire::TicketHandoverAck> import(const wire::TicketTableHandover &Part);
  [[nodiscard]] std::uint64_t size() const;

private:
  const Clock &m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  policy::TicketTable m_table; ///< Guarded by m_mutex.
};

/// Records an idempotency key before its request runs.
class KeyRecorder {
public:
  virtual ~KeyRecorder() = default;
  /// Errors: KeyOutcomeUnknown (recorded before), KeyStoreUnavailable.
  virtual Result<void> record(const std::string &Workspace,
                              const std::string &Key) = 0;
};

/// Sends a ticket to the daemon that decides about it.
class TicketForwarder {
public:
  virtual ~TicketForwarder() = default;
  /// Errors: HomeUnreachable, and those of the home's chain.
  virtual Result<void> forward(const RequestContext &Request,
                               ResponseSink &Sink) = 0;
};

/// What the filter asks about targets.
struct RunOnceHooks {
  /// True if calls to the target may be repeated freely.
  std::function<bool(const Target &)> Repeatable;
};

/// Lets a request with a ticket or key run at most once, and refuses calls
/// that may not be repeated without one.
class RunOnceFilter final : public Filter {
public:
  RunOnceFilter(const Clock &Clk, EventLog &Log, TicketDesk &Tickets,
                KeyRecorder &Keys, TicketForwarder &Homes, RunOnceHooks Hooks);
  Result<void> handle(Exchange &Current, const Next &Rest) override;

private:
  Result<void> runTicket(Exchange &Current, const Next &Rest);
  Result<void> runStarted(Exchange &Current, const Next &Rest);
  [[nodiscard]] bool needsRecord(const RequestContext &Request) const;

  const Clock &m_clock;
  EventLog &m_log;
  TicketDesk &m_tickets;
  KeyRecorder &m_keys;
  TicketForwarder &m_homes;
  const RunOnceHooks m_hooks;
};

/// Identifies what a ticket or a crash belongs to: hash of workspace, target,
/// method, path and body.
std::uint64_t requestFingerprint(const RequestContext &Request);

} // namespace nutmegdrift::proxy

#endif
