// Runs placement policies against a scenario in virtual time.
#ifndef NUTMEGDRIFT_LAB_EXPERIMENT_H
#define NUTMEGDRIFT_LAB_EXPERIMENT_H

#include "nutmegdrift/lab/scenario.h"

#include <iosfwd>

namespace nutmegdrift::lab {

/// The results of one run.
struct RunOutcome {
  std::string Policy;
  double Load = 1.0;
  std::size_t Requests = 0;
  std::size_t InTarget = 0;
  std::size_t MissedTarget = 0;
  std::size_t Refused = 0; ///< Never placed, not even on a retry.
  std::size_t Failed = 0;  ///< Placed and not completed.
  double EarnedWorth = 0.0;
  double MaxWorth = 0.0;
  /// Smallest ratio of earned to possible worth over the workspaces.
  double WorstWorkspace = 0.0;
  double FirstTokenP50Ms = 0.0; ///< Of served requests, from first attempt.
  double FirstTokenP99Ms = 0.0;
  std::uint64_t PromptTokens = 0; ///< Of all placed requests.
  std::uint64_t TokensRead = 0;   ///< By the engines.

  /// Ratio of earned to possible worth, 0 to 1.
  [[nodiscard]] double worth() const {
    return MaxWorth > 0 ? EarnedWorth / MaxWorth : 0.0;
  }

  friend bool operator==(const RunOutcome &, const RunOutcome &) = default;
};

/// Performs one run. The same scenario, policy and load always give the same
/// outcome.
RunOutcome runPolicy(const Scenario &Setup, const PolicySpec &Policy,
                     double Load);

/// Runs all policies at all loads, in the scenario's order.
std::vector<RunOutcome> runAll(const Scenario &Setup);

/// Prints one line per run, the best worth first within each load.
void printOutcomes(std::vector<RunOutcome> All, std::ostream &Out);
/// Draws worth over load as SVG, one line per policy.
void drawOutcomes(const std::vector<RunOutcome> &All, std::ostream &Out);

} // namespace nutmegdrift::lab

#endif
