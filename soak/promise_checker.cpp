// The promises, checked as requests run and end.
#include "promise_checker.h"

#include <algorithm>

namespace nutmegdrift::soak {

namespace {

/// Requests are forgotten this long after their deadline. A late second run
/// would come before.
constexpr Duration Memory = std::chrono::seconds(30);

std::string millis(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

void Disturbances::begin(const std::string &What, TimePoint Now) {
  m_spans[What].push_back({.Begin = Now, .End = Now});
}

void Disturbances::end(const std::string &What, TimePoint Now) {
  // Disturbances of one thing overlap; the oldest open one ends first, which
  // leaves the same time covered.
  for (Span &Each : m_spans[What])
    if (Each.Open) {
      Each.Open = false;
      Each.End = Now;
      return;
    }
}

bool Disturbances::calm(const std::string &What, TimePoint From,
                        TimePoint To) const {
  const auto Found = m_spans.find(What);
  if (Found == m_spans.end())
    return true;
  return std::none_of(
      Found->second.begin(), Found->second.end(), [&](const Span &Each) {
        return Each.Begin <= To && (Each.Open || Each.End + Settle >= From);
      });
}

std::string PromiseChecker::timeText() const {
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
      m_clock.wallNow().time_since_epoch());
  return "time_us=" + std::to_string(Micros.count());
}

std::optional<TimePoint>
PromiseChecker::find(const std::map<std::string, TimePoint> &Among,
                     const std::string &Name) {
  const auto Found = Among.find(Name);
  return Found == Among.end() ? std::nullopt : std::optional(Found->second);
}

bool PromiseChecker::calm(const Entry &Of, TimePoint From) const {
  const TimePoint Now = m_clock.now();
  return m_disturbed.calm(Of.Request.Daemon, From, Now) &&
         m_disturbed.calm(Store, From, Now);
}

void PromiseChecker::violate(const std::string &Promise, const Entry &Of,
                             const std::string &Detail) {
  ++m_count;
  if (m_violations.size() >= MaxDescribed)
    return;
  m_violations.push_back(
      timeText() + " promise=" + Promise + " request=" + Of.Request.Id +
      " daemon=" + Of.Request.Daemon + " route=" + Of.Request.Route +
      " age_ms=" + millis(m_clock.now() - Of.Request.At) + " " + Detail);
}

void PromiseChecker::sent(SentRequest Request) {
  ++m_sentCount;
  const std::string Id = Request.Id;
  m_entries[Id].Request = std::move(Request);
}

void PromiseChecker::ran(const std::string &Id, const std::string &Replica,
                         const std::string &Workspace) {
  const auto Found = m_entries.find(Id);
  if (Found == m_entries.end()) {
    violate("known-request", {.Request = {.Id = Id}},
            "replica=" + Replica + " detail=no-caller-sent-it");
    return;
  }
  checkRun(Found->second, Replica, Workspace);
  Found->second.Replicas.push_back(Replica);
}

void PromiseChecker::checkRun(Entry &Of, const std::string &Replica,
                              const std::string &Workspace) {
  const SentRequest &Request = Of.Request;
  const TimePoint Now = m_clock.now();
  if (!routing::mayRepeat(Request.Kind) && !Of.Replicas.empty())
    violate("run-once", Of,
            "replica=" + Replica + " before=" + Of.Replicas.back());
  if (Of.How == Ending::NotRun)
    violate("not-run", Of, "replica=" + Replica + " detail=ran-after-refusal");
  const auto Owner = Workspaces.find(Request.Key);
  if (Owner == Workspaces.end() || Owner->second != Workspace)
    violate("workspace", Of, "replica=" + Replica + " told=" + Workspace);
  // A key's bound holds whatever is disturbed.
  if (const auto Removed = find(m_removedKeys, Request.Key);
      Removed && Request.At > *Removed + m_bounds.KeyRevocation)
    violate("key-removed", Of,
            "removed_ms_before=" + millis(Request.At - *Removed));
  if (const auto Removed = find(m_removedRoutes, Request.Route);
      Removed && Request.At > *Removed + m_bounds.StateApplied &&
      calm(Of, Request.At - m_bounds.StateApplied))
    violate("route-removed", Of,
            "removed_ms_before=" + millis(Request.At - *Removed));
  if (const auto Left = find(m_leftReplicas, Replica);
      Left && Now > *Left + m_bounds.ReplicaLeft &&
      calm(Of, Now - m_bounds.ReplicaLeft) &&
      m_disturbed.calm(Replica, Request.At, Now))
    violate("replica-left", Of,
            "replica=" + Replica + " left_ms_before=" + millis(Now - *Left));
  checkEvacuation(Of, Replica);
}

void PromiseChecker::checkEvacuation(const Entry &Of,
                                     const std::string &Replica) {
  const auto Zone = m_zones.find(Replica);
  if (Zone == m_zones.end())
    return;
  const auto Since = find(m_evacuated, Zone->second);
  const TimePoint Now = m_clock.now();
  if (Since && Now > *Since + m_bounds.Evacuated && calm(Of, *Since))
    violate("evacuated", Of,
            "replica=" + Replica + " zone=" + Zone->second +
                " evacuated_ms_before=" + millis(Now - *Since));
}

void PromiseChecker::ended(const std::string &Id, Ending How,
                           const std::string &Detail) {
  const auto Found = m_entries.find(Id);
  if (Found == m_entries.end() || Found->second.How)
    return;
  ++m_endings[How];
  Found->second.How = How;
  checkEnding(Found->second, How, Detail);
}

void PromiseChecker::checkEnding(const Entry &Of, Ending How,
                                 const std::string &Detail) {
  const SentRequest &Request = Of.Request;
  if (How == Ending::Broken)
    violate("whole-answer", Of, Detail);
  if (How == Ending::NotRun && !Of.Replicas.empty() &&
      !routing::mayRepeat(Request.Kind))
    violate("not-run", Of,
            "replica=" + Of.Replicas.back() + " detail=refused-after-it-ran");
  if (How == Ending::Denied) {
    // A request that a version has just allowed may come before it is applied.
    TimePoint Allowed{};
    for (const auto &Added :
         {find(m_addedRoutes, Request.Route), find(m_addedKeys, Request.Key)})
      Allowed = std::max(Allowed, Added.value_or(TimePoint{}));
    const bool InForce = !m_removedKeys.contains(Request.Key) &&
                         !m_removedRoutes.contains(Request.Route) &&
                         Request.At > Allowed + m_bounds.StateApplied;
    if (InForce && calm(Of, Request.At - m_bounds.StateApplied))
      violate("allowed", Of, Detail);
  }
  if (How == Ending::Cut) {
    // A stop must not lose what the daemon has taken. A replica that was
    // disturbed may have broken off itself.
    const auto Stop = find(m_stops, Request.Daemon);
    const bool Undisturbed = std::all_of(
        Of.Replicas.begin(), Of.Replicas.end(), [&](const std::string &Each) {
          return m_disturbed.calm(Each, Request.At, m_clock.now());
        });
    if (Stop && Request.At > *Stop - std::chrono::seconds(8) &&
        !Of.Replicas.empty() && Undisturbed && calm(Of, Request.At))
      violate("stop-loses-nothing", Of, Detail);
  }
}

void PromiseChecker::sweep() {
  const TimePoint Now = m_clock.now();
  for (auto &[Id, Each] : m_entries) {
    if (Each.How || Each.Overdue ||
        Now < Each.Request.Deadline + m_bounds.AnswerAfterDeadline)
      continue;
    Each.Overdue = true;
    if (calm(Each, Each.Request.At))
      violate("answered-by-deadline", Each, "detail=no-answer");
  }
  std::erase_if(m_entries, [&](const auto &Each) {
    return Now > Each.second.Request.Deadline + Memory;
  });
}

} // namespace nutmegdrift::soak
