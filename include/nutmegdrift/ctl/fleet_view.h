// What nutmegctl reads from the daemons: members, their events and status.
#ifndef NUTMEGDRIFT_CTL_FLEET_VIEW_H
#define NUTMEGDRIFT_CTL_FLEET_VIEW_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/platform/object_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegdrift::ctl {

/// A daemon's administration address.
struct DaemonAddress {
  std::string Name; ///< The address itself if the name is not known.
  std::string Zone;
  std::string State;
  HostPort Admin;

  friend bool operator==(const DaemonAddress &,
                         const DaemonAddress &) = default;
};

/// Reads a path of a daemon's administration port.
class AdminClient {
public:
  virtual ~AdminClient() = default;
  /// Errors: PeerUnreachable.
  virtual Result<std::string> get(const HostPort &Daemon,
                                  const std::string &Path) = 0;
};

/// Over HTTP, with a bound on time and on the size of the answer.
class HttpAdminClient final : public AdminClient {
public:
  Result<std::string> get(const HostPort &Daemon,
                          const std::string &Path) override;
};

/// Members in the objects fleet/<zone>, by name. Records without an
/// administration port and objects that are not JSON are left out.
Result<std::vector<DaemonAddress>>
discoverDaemons(platform::ObjectStore &Store);

/// "host:port,host:port". Error: MalformedRequest.
Result<std::vector<DaemonAddress>> parseDaemons(const std::string &Text);

/// One event of one process.
struct ProcessEvent {
  std::string Process;
  Event Value;

  friend bool operator==(const ProcessEvent &, const ProcessEvent &) = default;
};

/// Which events to show; an unset field matches all.
struct TimelineFilter {
  std::optional<std::string> Request;
  std::optional<std::string> Workspace;
  /// Matches the fields "endpoint" and "replica".
  std::optional<std::string> Endpoint;
  std::int64_t SinceMicros = 0; ///< Wall time, microseconds.
};

/// Parses an answer of /admin/events. Error: MalformedRequest.
Result<std::vector<ProcessEvent>> parseEvents(const std::string &Text);

/// The event in one line of a saved log, "time_us=N process=P event=E key=value
/// ..."; what stands before time_us is left out. Nothing if the line has none.
std::optional<ProcessEvent> parseLogLine(std::string_view Line);

bool matches(const ProcessEvent &Value, const TimelineFilter &Filter);

/// Events that match, by wall time, then process, then sequence.
std::vector<ProcessEvent> mergeTimeline(std::vector<ProcessEvent> Events,
                                        const TimelineFilter &Filter);

/// "2026-12-04T03:08:00.123456Z PROCESS event=...".
std::string formatTimelineLine(const ProcessEvent &Value);

} // namespace nutmegdrift::ctl

#endif
