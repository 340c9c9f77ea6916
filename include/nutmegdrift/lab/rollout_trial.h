// Emulated rollouts: the daemons' own decisions on a load, a fault of the new
// version and trouble beside it, in virtual time.
#ifndef NUTMEGDRIFT_LAB_ROLLOUT_TRIAL_H
#define NUTMEGDRIFT_LAB_ROLLOUT_TRIAL_H

#include "nutmegdrift/base/clock.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace nutmegdrift::lab {

/// Requests of one route of a plain service.
struct TrialRoute {
  std::string Name;
  double PerSecond = 0.0;
  Duration AnswerTime = std::chrono::milliseconds(15); ///< Median.
  double Failures = 0.0; ///< Share that any version fails.
};

/// What is wrong with the new version.
struct VersionFault {
  double Share = 0.0;      ///< Of its answers; 0 for a good version.
  double SlowFactor = 0.0; ///< Longer by this; 0: the answers are failures.
  Duration After{0};       ///< Since the order.
  /// Only while its replicas get at least this part of the service's requests
  /// of the last moments.
  double Load = 0.0;
  std::string Route; ///< The only route concerned; empty: all.
};

/// Trouble that concerns both versions, from Begin to End after the order.
struct TrialTrouble {
  Duration Begin{0};
  Duration End{0};
  double Leaving = 0.0; ///< Share of callers who leave after Patience.
  Duration Patience{0};
  double Limited = 0.0;        ///< Share of replicas that limit their rate.
  double LimitPerSecond = 0.0; ///< Of each of these.
  double Failures = 0.0;       ///< Further share of answers that fail.
  double SlowFactor = 1.0;     ///< All answers take longer by this.
  double HeartbeatLoss = 0.0;  ///< Share of heartbeats that are lost.
  std::size_t Restarts = 0;    ///< Daemons that restart at Begin.
};

struct TrialScenario {
  std::string Name;
  std::vector<TrialRoute> Routes;
  std::size_t Daemons = 8;
  std::size_t Replicas = 3; ///< Of each version.
  Duration Length = std::chrono::seconds(17);
  Duration ReplicasStart = std::chrono::milliseconds(400);
  VersionFault Fault;
  std::vector<TrialTrouble> Troubles;
};

struct TrialResult {
  enum class End { Completed, RolledBack, Open };
  End Ended = End::Open;
  Duration EndedAfter{0};     ///< Since the order.
  std::string Reason;         ///< Of a roll-back.
  std::uint64_t Requests = 0; ///< Until the order's deadline.
  std::uint64_t New = 0;      ///< Of these, to the new version.
  std::uint64_t BadAnswers = 0;
  /// The new version got more than a tenth of the requests and 50.
  bool OverShare = false;
};

TrialResult playTrial(const TrialScenario &Scenario, std::uint64_t Seed);

/// Results of one scenario over many seeds.
struct TrialSummary {
  std::string Name;
  std::size_t Plays = 0;
  std::size_t Completed = 0;
  std::size_t RolledBack = 0;
  std::size_t OverShare = 0;
  double MeanNew = 0.0;
  double MeanBadAnswers = 0.0;
  Duration MeanEnd{0};
};

TrialSummary playTrials(const TrialScenario &Scenario, std::size_t Plays,
                        std::uint64_t FirstSeed);

/// Versions that must be completed, and versions that must not.
std::vector<TrialScenario> goodVersionTrials();
std::vector<TrialScenario> badVersionTrials();

/// One line for each scenario.
void printTrials(const std::vector<TrialScenario> &Scenarios, std::size_t Plays,
                 std::uint64_t FirstSeed, std::ostream &Out);

} // namespace nutmegdrift::lab

#endif
