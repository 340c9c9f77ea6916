// Runs a policy against a scenario in virtual time.
#ifndef NUTMEGDRIFT_LAB_EXPERIMENT_H
#define NUTMEGDRIFT_LAB_EXPERIMENT_H

#include "nutmegdrift/lab/scenario.h"

#include <iosfwd>

namespace nutmegdrift::lab {

/// What callers got in one run.
struct RunOutcome {
  std::string Policy;
  double Load = 1.0;
  std::size_t Asked = 0;
  std::size_t InTarget = 0;
  std::size_t Late = 0;
  std::size_t Refused = 0; ///< And not served when they came back.
  std::size_t Failed = 0;  ///< Begun and not finished.
  double Earned = 0.0;
  double Owed = 0.0;
  /// Least part of what a workspace is owed that it got, over the workspaces.
  double WorstWorkspace = 0.0;
  double FirstTokenP50Ms = 0.0; ///< Of served requests, from their arrival.
  double FirstTokenP99Ms = 0.0;
  std::uint64_t PromptTokens = 0; ///< Of all placed requests.
  std::uint64_t TokensRead = 0;   ///< By the engines.

  /// Part of what callers are owed that they got, 0 to 1.
  [[nodiscard]] double worth() const { return Owed > 0 ? Earned / Owed : 0.0; }

  friend bool operator==(const RunOutcome &, const RunOutcome &) = default;
};

/// One run. The same scenario, policy and load always give the same outcome.
RunOutcome runPolicy(const Scenario &Of, const PolicySpec &Policy, double Load);

/// All policies at all loads, in the scenario's order.
std::vector<RunOutcome> runAll(const Scenario &Of);

/// One line a run, best worth first within each load.
void printOutcomes(std::vector<RunOutcome> All, std::ostream &Out);
/// Worth over load as an SVG drawing, one line a policy.
void drawOutcomes(const std::vector<RunOutcome> &All, std::ostream &Out);

} // namespace nutmegdrift::lab

#endif
