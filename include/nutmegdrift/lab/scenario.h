// Load patterns and policies of an experiment, in YAML.
#ifndef NUTMEGDRIFT_LAB_SCENARIO_H
#define NUTMEGDRIFT_LAB_SCENARIO_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/lab/engine_model.h"
#include "nutmegdrift/lab/placer.h"

namespace nutmegdrift::lab {

/// One kind of request. Sizes vary around their means.
struct RequestKind {
  std::string Name;
  double PerSecond = 1.0;
  Duration Target{std::chrono::milliseconds(400)}; ///< To the first token.
  Duration Limit{std::chrono::seconds(10)};        ///< To the last token.
  double Worth = 1.0;
  double LateWorth = 0.0; ///< After the target, within the limit.
  /// Shared prompt parts of this kind, and the tokens of each.
  std::uint32_t Subjects = 1;
  double SharedTokens = 0.0;
  double OwnTokens = 100.0;
  double OutputTokens = 50.0;
  double Spread = 0.5; ///< Standard deviation of the logarithm of own sizes.

  friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

enum class EventKind { Burst, EnginesLost };

/// Something that happens during an experiment.
struct LoadEvent {
  EventKind What = EventKind::Burst;
  Duration At{0};
  Duration For{0};
  double Factor = 1.0;  ///< Burst: of the load.
  std::string OnlyKind; ///< Burst: of this kind only; empty: all.
  unsigned Count = 0;   ///< EnginesLost: engines that crash and come back.

  friend bool operator==(const LoadEvent &, const LoadEvent &) = default;
};

/// A policy under test.
struct PolicySpec {
  std::string Name;
  std::string Base; ///< A name that makePlacer() knows.
  routing::DispatcherOptions Options{};

  friend bool operator==(const PolicySpec &, const PolicySpec &) = default;
};

struct Scenario {
  Duration Length{std::chrono::seconds(30)};
  std::uint64_t Seed = 1;
  unsigned Engines = 8;
  EngineTraits Engine{};
  /// Requests of each workspace, relative to the others.
  std::vector<double> WorkspaceShares{1.0};
  /// Times that a refused request comes back.
  unsigned Returns = 1;
  std::vector<RequestKind> Kinds;
  std::vector<LoadEvent> Events;
  std::vector<PolicySpec> Policies;
  /// Factors on the load, one run of each policy for each.
  std::vector<double> Loads{1.0};

  friend bool operator==(const Scenario &, const Scenario &) = default;
};

/// Fails with InvalidSettings, naming the field and its line.
Result<Scenario> parseScenario(const std::string &Yaml);
Result<Scenario> loadScenario(const std::string &Path);

} // namespace nutmegdrift::lab

#endif
