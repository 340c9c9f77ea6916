// What callers and replicas saw, and the promises that it must keep.
#ifndef NUTMEGDRIFT_SOAK_PROMISE_CHECKER_H
#define NUTMEGDRIFT_SOAK_PROMISE_CHECKER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/routing/desired_state.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegdrift::soak {

/// Times at which something was disturbed, by name. A disturbance lasts for
/// Settle after its end, because the promises with time bounds count from
/// there.
class Disturbances {
public:
  /// From the end of a disturbance until bounds hold again; contactMs of the
  /// deployments.
  static constexpr Duration Settle = std::chrono::seconds(3);

  void begin(const std::string &What, TimePoint Now);
  void end(const std::string &What, TimePoint Now);
  /// Whether nothing disturbed it at any moment between From and To.
  [[nodiscard]] bool calm(const std::string &What, TimePoint From,
                          TimePoint To) const;

private:
  struct Span {
    TimePoint Begin;
    TimePoint End;
    bool Open = true;
  };
  std::map<std::string, std::vector<Span>> m_spans;
};

/// Bounds of the promises; the values are those of the deployments' sheets.
struct Bounds {
  Duration KeyRevocation = std::chrono::milliseconds(5000);
  Duration StateApplied = std::chrono::milliseconds(2000);
  Duration ReplicaLeft = std::chrono::milliseconds(2000);
  Duration Evacuated = std::chrono::milliseconds(5000);
  /// A request that has no answer this long after its deadline was forgotten.
  Duration AnswerAfterDeadline = std::chrono::milliseconds(500);
};

/// How a request ended for its caller.
enum class Ending {
  Served, ///< Success with the whole answer.
  Broken, ///< Success, but the answer was not the replica's.
  NotRun, ///< A status that promises that it did not run.
  Denied, ///< 401, 403 or 404.
  Failed, ///< Any other status.
  Cut,    ///< The connection ended without a whole answer.
  Left,   ///< The caller gave up.
};

/// One request of a caller.
struct SentRequest {
  std::string Id;
  std::string Daemon;
  std::string Key;
  std::string Route;
  routing::RequestKind Kind = routing::RequestKind::RunOnce;
  TimePoint At{};
  TimePoint Deadline{};
};

/// Checks all requests. Names of daemons and replicas, and Store, are the names
/// in Disturbed.
class PromiseChecker {
public:
  /// The name of the store in Disturbances.
  static constexpr char Store[] = "store";
  /// Violations written out; the others are counted.
  static constexpr std::size_t MaxDescribed = 40;

  PromiseChecker(const Clock &Clk, const Disturbances &Disturbed, Bounds Limits)
      : m_clock(Clk), m_disturbed(Disturbed), m_bounds(Limits) {}

  // What operators and replicas told the store, once it had accepted it.
  void keyAdded(const std::string &Key) { m_addedKeys[Key] = m_clock.now(); }
  void keyRemoved(const std::string &Key) {
    m_removedKeys[Key] = m_clock.now();
  }
  void routeAdded(const std::string &Route) {
    m_addedRoutes[Route] = m_clock.now();
  }
  void routeRemoved(const std::string &Route) {
    m_removedRoutes[Route] = m_clock.now();
  }
  void replicaLeft(const std::string &Replica) {
    m_leftReplicas[Replica] = m_clock.now();
  }

  void replicaInZone(const std::string &Replica, const std::string &Zone) {
    m_zones[Replica] = Zone;
  }
  void zoneEvacuated(const std::string &Zone) {
    m_evacuated[Zone] = m_clock.now();
  }
  void zoneTakenBack(const std::string &Zone) { m_evacuated.erase(Zone); }

  void sent(SentRequest Request);
  /// A replica began to run a request. Workspace is what it was told.
  void ran(const std::string &Id, const std::string &Replica,
           const std::string &Workspace);
  void ended(const std::string &Id, Ending How, const std::string &Detail);
  /// The daemon got a stop signal and was not disturbed otherwise.
  void stopping(const std::string &Daemon) { m_stops[Daemon] = m_clock.now(); }
  /// Looks for requests without an answer and forgets old ones.
  void sweep();

  /// "time_us=..." of now, as in the daemons' logs.
  [[nodiscard]] std::string timeText() const;

  /// The workspace that a key belongs to.
  std::map<std::string, std::string> Workspaces;

  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_violations;
  }
  [[nodiscard]] std::size_t violationCount() const { return m_count; }
  /// Requests by ending since the last call.
  [[nodiscard]] std::map<Ending, std::size_t> takeEndings() {
    return std::exchange(m_endings, {});
  }
  [[nodiscard]] std::size_t sentCount() const { return m_sentCount; }

private:
  struct Entry {
    SentRequest Request;
    std::vector<std::string> Replicas; ///< That ran it.
    std::optional<Ending> How;
    bool Overdue = false; ///< Reported as unanswered.
  };

  void violate(const std::string &Promise, const Entry &Of,
               const std::string &Detail);
  void checkRun(Entry &Of, const std::string &Replica,
                const std::string &Workspace);
  void checkEvacuation(const Entry &Of, const std::string &Replica);
  void checkEnding(const Entry &Of, Ending How, const std::string &Detail);
  /// Whether the request's daemon and the store were undisturbed throughout.
  [[nodiscard]] bool calm(const Entry &Of, TimePoint From) const;
  [[nodiscard]] static std::optional<TimePoint>
  find(const std::map<std::string, TimePoint> &Among, const std::string &Name);

  const Clock &m_clock;
  const Disturbances &m_disturbed;
  const Bounds m_bounds;
  std::unordered_map<std::string, Entry> m_entries;
  std::map<std::string, TimePoint> m_addedKeys;
  std::map<std::string, TimePoint> m_removedKeys;
  std::map<std::string, TimePoint> m_addedRoutes;
  std::map<std::string, TimePoint> m_removedRoutes;
  std::map<std::string, TimePoint> m_leftReplicas;
  std::map<std::string, std::string> m_zones;   ///< By replica.
  std::map<std::string, TimePoint> m_evacuated; ///< Zones, with the start.
  std::map<std::string, TimePoint> m_stops;
  std::map<Ending, std::size_t> m_endings;
  std::vector<std::string> m_violations;
  std::size_t m_count = 0;
  std::size_t m_sentCount = 0;
};

} // namespace nutmegdrift::soak

#endif
