// Command line of the emulator.
#include "nutmegdrift/lab/experiment.h"
#include "nutmegdrift/lab/rollout_trial.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

namespace {

using namespace nutmegdrift;

constexpr int ExitUsage = 2;
constexpr int ExitInvalidFile = 3;

cxxopts::Options makeOptions() {
  cxxopts::Options Spec("nutmeglab",
                        "Compares placement policies on emulated engines.");
  Spec.positional_help("SCENARIO");
  Spec.add_options()("scenario", "YAML file with load, engines and policies",
                     cxxopts::value<std::string>(),
                     "FILE")("plot", "write worth over load as an SVG file",
                             cxxopts::value<std::string>(),
                             "FILE")("check", "check the scenario and exit")(
      "rollouts", "play good and bad versions this many times each",
      cxxopts::value<std::size_t>()->default_value("0"),
      "N")("help", "print this text");
  Spec.parse_positional({"scenario"});
  return Spec;
}

int runMain(int Argc, char **Argv) {
  auto Spec = makeOptions();
  const auto Args = Spec.parse(Argc, Argv);
  if (Args.count("help") != 0) {
    std::cout << Spec.help();
    return EXIT_SUCCESS;
  }
  if (const auto Plays = Args["rollouts"].as<std::size_t>(); Plays > 0) {
    constexpr std::uint64_t FirstSeed = 1;
    lab::printTrials(lab::goodVersionTrials(), Plays, FirstSeed, std::cout);
    lab::printTrials(lab::badVersionTrials(), Plays, FirstSeed, std::cout);
    return EXIT_SUCCESS;
  }
  if (Args.count("scenario") == 0) {
    std::cerr << "nutmeglab: no scenario is given\n" << Spec.help();
    return ExitUsage;
  }
  const auto Path = Args["scenario"].as<std::string>();
  const auto Read = capture([&] { return lab::loadScenario(Path); });
  if (!Read) {
    std::cerr << "nutmeglab: " << Path << ": " << Read.Failure.Message << "\n";
    return ExitInvalidFile;
  }
  if (Args.count("check") != 0) {
    std::cout << "the scenario is valid\n";
    return EXIT_SUCCESS;
  }
  const auto Outcomes = lab::runAll(*Read);
  lab::printOutcomes(Outcomes, std::cout);
  if (Args.count("plot") == 0)
    return EXIT_SUCCESS;
  const auto Target = Args["plot"].as<std::string>();
  std::ofstream Out(Target);
  lab::drawOutcomes(Outcomes, Out);
  if (Out.flush())
    return EXIT_SUCCESS;
  std::cerr << "nutmeglab: cannot write " << Target << "\n";
  return EXIT_FAILURE;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return runMain(Argc, Argv);
  } catch (const cxxopts::exceptions::exception &Caught) {
    std::cerr << "nutmeglab: " << Caught.what() << "\n";
    return ExitUsage;
  } catch (const std::exception &Caught) {
    std::cerr << "nutmeglab: " << Caught.what() << "\n";
    return EXIT_FAILURE;
  }
}
