// Refuses requests that crashed endpoints before, and counts crashes.
#ifndef NUTMEGDRIFT_PROXY_SUSPECT_FILTER_H
#define NUTMEGDRIFT_PROXY_SUSPECT_FILTER_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/policy/crash_suspects.h"
#include "nutmegdrift/proxy/filter_chain.h"

#include <functional>
#include <mutex>

namespace nutmegdrift::proxy {

/// The crash counts for request threads. Thread-safe.
class SuspectDesk {
public:
  using Sender = std::function<void(const std::vector<policy::SuspectEntry> &)>;

  /// Send passes changed entries to the other daemons.
  SuspectDesk(DaemonName Self, BootId Boot, const Clock &Clk, EventLog &Log,
              Sender Send);

  /// Error: SuspectedCrash.
  Result<void> check(policy::Fingerprint Request);
  /// Those of Candidates on which the request must not run now.
  std::vector<config::ReplicaId>
  toAvoid(policy::Fingerprint Request,
          const std::vector<config::ReplicaId> &Candidates) const;
  void started(policy::Fingerprint Request, const config::ReplicaId &Where);
  void ended(policy::Fingerprint Request, const config::ReplicaId &Where);
  /// Called when the connection to a replica broke while requests ran. If the
  /// replica refuses connections or closes one without an answer to a health
  /// check, the crash is counted against all that ran on it, and the other
  /// daemons are told before this returns, so that a resend through one of
  /// them finds the count.
  void connectionBroke(const config::Replica &Where);
  void merge(const std::vector<policy::SuspectEntry> &Entries);

private:
  const Clock &m_clock;
  EventLog &m_log;
  const Sender m_send;
  mutable std::mutex m_mutex;
  policy::CrashSuspects m_suspects; ///< Guarded by m_mutex.
};

/// Refuses a request whose fingerprint is refused everywhere.
class SuspectFilter final : public Filter {
public:
  explicit SuspectFilter(SuspectDesk &Suspects) : m_suspects(Suspects) {}
  Result<void> handle(Exchange &Current, const Next &Rest) override;

private:
  SuspectDesk &m_suspects;
};

} // namespace nutmegdrift::proxy

#endif
