// Prints fairness gap, utilisation and longest wait of the deployments in the
// design, beside two baselines, and fails when a stated bound is broken.
#include "nutmegdrift/policy/fairness_driver.h"

#include <cstdio>
#include <cstdlib>

namespace nutmegdrift::policy::testing {
namespace {

struct Row {
  const char *Name;
  Scenario Setting;
};

constexpr double MinUtilisation = 0.95;
/// P5 below saturation: no queue waits beside a free slot for more than half an
/// exchange interval, in seconds.
constexpr double MaxIdleWait = 0.25;

const char *policyName(Queueing Policy) {
  if (Policy == Queueing::Fair)
    return "fair, exchange";
  if (Policy == Queueing::NoCredit)
    return "no credits";
  return Policy == Queueing::NoExchange ? "fair, no exchange" : "first come";
}

bool keepsBounds(const Scenario &S, const Measured &Result) {
  return Result.Gap <= gapBound(S) &&
         (Result.Utilisation >= MinUtilisation ||
          Result.IdleWait <= MaxIdleWait) &&
         Result.MaxDispatchWait <= waitBound(S) &&
         Result.PeakRunning <= S.Capacity;
}

/// True if the scheduler keeps the bounds; a baseline may break them.
bool printRow(const Row &Line) {
  const auto Result = FairnessDriver(Line.Setting).run();
  std::printf(
      "%-16s %6.2f %-18s %8.0f %8.2f %6.3f %9.2f %9.3f %9.4f %5zu %6llu\n",
      Line.Name, Line.Setting.Demand, policyName(Line.Setting.Policy),
      Result.Gap, Result.Gap / gapBound(Line.Setting), Result.Utilisation,
      Result.MaxDispatchWait, Result.IdleWait, Result.IdleShare,
      Result.PeakRunning,
      static_cast<unsigned long long>(Result.EarlyMessages));
  return Line.Setting.Policy != Queueing::Fair ||
         keepsBounds(Line.Setting, Result);
}

std::vector<Row> rows() {
  std::vector<Row> Out{
      {"Morgenklub 18", {}},
      {"Lone Star 12", {.Replicas = 12}},
      {"220 workspaces", {.Workspaces = 220, .Active = 22, .Flooder = 20}}};
  for (const double Demand : {0.5, 0.8, 0.95})
    for (const std::size_t Replicas : {18U, 12U})
      Out.push_back({Replicas == 18 ? "Morgenklub 18" : "Lone Star 12",
                     {.Replicas = Replicas,
                      .Demand = Demand,
                      .FloodFactor = 1.0,
                      .Length = std::chrono::seconds(150)}});
  return Out;
}

int printTable() {
  std::printf("%-16s %6s %-18s %8s %8s %6s %9s %9s %9s %5s %6s\n", "deployment",
              "demand", "queueing", "gap tok", "gap/bnd", "util", "wait s",
              "idle s", "idle shr", "peak", "early");
  bool Kept = true;
  for (auto Line : rows())
    for (const auto Policy : {Queueing::Fair, Queueing::NoCredit,
                              Queueing::NoExchange, Queueing::FirstCome}) {
      Line.Setting.Policy = Policy;
      Kept = printRow(Line) && Kept;
    }
  return Kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace nutmegdrift::policy::testing

int main() { return nutmegdrift::policy::testing::printTable(); }
