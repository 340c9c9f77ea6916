// Load pattern and policies of an experiment, read from YAML.
#ifndef NUTMEGDRIFT_LAB_SCENARIO_H
#define NUTMEGDRIFT_LAB_SCENARIO_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/lab/engine_model.h"
#include "nutmegdrift/lab/placer.h"

namespace nutmegdrift::lab {

/// One kind of request. OwnTokens and OutputTokens are means; the sizes of
/// single requests vary around them.
struct RequestKind {
  std::string Name;
  double PerSecond = 1.0;
  Duration Target{std::chrono::milliseconds(400)}; ///< To the first token.
  Duration Limit{std::chrono::seconds(10)};        ///< To the last token.
  double Worth = 1.0;
  /// Worth of an answer whose first token misses Target, within Limit.
  double MissedTargetWorth = 0.0;
  /// Number of shared prompt parts of this kind, and the tokens of each.
  std::uint32_t Subjects = 1;
  double SharedTokens = 0.0;
  double OwnTokens = 100.0;
  double OutputTokens = 50.0;
  /// Standard deviation of the logarithm of own and output tokens.
  double Spread = 0.5;

  friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

enum class EventKind { Burst, EnginesLost };

/// An event during an experiment.
struct LoadEvent {
  EventKind Kind = EventKind::Burst;
  Duration Start{0};
  Duration Length{0};
  double Factor = 1.0;  ///< Burst: applied to the load.
  std::string OnlyKind; ///< Burst: affected kind; empty: all.
  unsigned Count = 0;   ///< EnginesLost: engines that crash and restart.

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
  /// Relative number of requests of each workspace.
  std::vector<double> WorkspaceShares{1.0};
  /// Number of retries of a refused request.
  unsigned Retries = 1;
  std::vector<RequestKind> Kinds;
  std::vector<LoadEvent> Events;
  std::vector<PolicySpec> Policies;
  /// Load factors; each policy runs once per factor.
  std::vector<double> Loads{1.0};

  friend bool operator==(const Scenario &, const Scenario &) = default;
};

/// Fails with InvalidSettings, naming the field and its line.
Result<Scenario> parseScenario(const std::string &Yaml);
Result<Scenario> loadScenario(const std::string &Path);

} // namespace nutmegdrift::lab

#endif
