// Placement policies that an experiment compares.
#ifndef NUTMEGDRIFT_LAB_PLACER_H
#define NUTMEGDRIFT_LAB_PLACER_H

#include "nutmegdrift/routing/model_dispatcher.h"

#include <memory>

namespace nutmegdrift::lab {

/// Decides where and when requests run. Replicas are named "0", "1" and so on.
class Placer {
public:
  virtual ~Placer() = default;
  /// Replaces the set of live engines, given by number.
  virtual void setEngines(const std::vector<unsigned> &Live, TimePoint Now) = 0;
  /// Return the decisions that follow from a new request or from the elapsed
  /// time.
  virtual std::vector<routing::ModelDecision>
  offer(routing::ModelRequest Request, TimePoint Now) = 0;
  virtual std::vector<routing::ModelDecision> pump(TimePoint Now) = 0;
  virtual void started(routing::RequestKey Key, TimePoint Now) = 0;
  virtual void ended(routing::RequestKey Key, routing::ReplicaOutcome Outcome,
                     TimePoint Now) = 0;
};

/// The parameters of a policy. Engine is all that it knows of the engines
/// beforehand.
struct PlacerContext {
  routing::EngineTraits Engine{};
  routing::DispatcherOptions Options{};
  std::uint64_t Seed = 1;

  friend bool operator==(const PlacerContext &,
                         const PlacerContext &) = default;
};

/// "dispatcher" is routing::ModelDispatcher. "round-robin", "least-requests"
/// and "prefix-home" place each request on arrival and refuse none while an
/// engine is live.
[[nodiscard]] std::vector<std::string> placerNames();
[[nodiscard]] bool isPlacer(const std::string &Name);
/// Name must be one of placerNames().
std::unique_ptr<Placer> makePlacer(const std::string &Name,
                                   const PlacerContext &Context);

} // namespace nutmegdrift::lab

#endif
