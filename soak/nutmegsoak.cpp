// Randomized soak: real daemons as processes, faults from outside them, and
// the promises checked from what callers and replicas see.
#include "caller.h"
#include "fault_injector.h"
#include "silence_rounds.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <tuple>

#include <cxxopts.hpp>

namespace nutmegdrift::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ExitUsage = 2;
/// Until callers begin; the daemons find the store and each other.
constexpr Duration WarmUp = seconds(3);
/// From the last fault until the fleet must serve again; recoveryS of the
/// deployments.
constexpr Duration Recovery = seconds(12);
/// Over which the share of served requests is taken after that.
constexpr Duration Final = seconds(4);
/// Share of requests that must be served then.
constexpr double ServedAfterRecovery = 0.25;
constexpr Duration PollInterval = milliseconds(50);
/// The soak itself was held up; times that it measured are not to be trusted.
constexpr Duration StallGap = milliseconds(250);

/// Set by SIGINT and SIGTERM, read at each poll.
volatile std::sig_atomic_t Interrupted = 0;

/// The plans by name.
using PlanMaker = std::unique_ptr<FaultPlan> (*)(Fleet &, std::uint64_t);
const std::map<std::string, PlanMaker> &plans() {
  static const std::map<std::string, PlanMaker> Table = {
      {"faults",
       [](Fleet &Of, std::uint64_t Seed) -> std::unique_ptr<FaultPlan> {
         return std::make_unique<FaultInjector>(Of, Seed);
       }},
      {"silences",
       [](Fleet &Of, std::uint64_t Seed) -> std::unique_ptr<FaultPlan> {
         return std::make_unique<SilenceRounds>(Of, Seed);
       }}};
  return Table;
}

class Soak {
public:
  Soak(const FleetOptions &Options, PlanMaker Plan, unsigned Callers,
       seconds Length)
      : m_fleet(Options), m_faults(Plan(m_fleet, Options.Seed)),
        m_length(Length), m_poll(m_fleet.Loop), m_phase(m_fleet.Loop) {
    for (unsigned I = 0; I < Callers; ++I)
      m_callers.push_back(std::make_unique<Caller>(m_fleet, I));
  }

  int run() {
    m_fleet.start();
    poll();
    m_phase.callAfter(WarmUp, [this] { begin(); });
    m_fleet.Loop.run();
    return report();
  }

private:
  void begin() {
    for (const auto &Each : m_callers)
      Each->start();
    m_faults->start();
    m_phase.callAfter(m_length, [this] {
      m_faults->settle();
      m_phase.callAfter(Recovery, [this] { beginFinal(); });
    });
  }
  void beginFinal() {
    std::ignore = m_fleet.Checker.takeEndings();
    m_phase.callAfter(Final, [this] {
      m_final = m_fleet.Checker.takeEndings();
      m_done = true;
      m_fleet.Loop.stop();
    });
  }
  void poll() {
    if (Interrupted != 0) {
      m_fleet.Loop.stop();
      return;
    }
    const TimePoint Now = m_fleet.Clk.now();
    if (m_polled != TimePoint{} && Now - m_polled > StallGap) {
      m_fleet.Disturbed.begin(PromiseChecker::Store, m_polled);
      m_fleet.Disturbed.end(PromiseChecker::Store, Now);
      m_fleet.note("soak=stalled");
    }
    m_polled = Now;
    for (const auto &Each : m_fleet.Daemons)
      Each->poll();
    m_fleet.Checker.sweep();
    m_poll.callAfter(PollInterval, [this] { poll(); });
  }
  int report() {
    bool Bad = m_fleet.Checker.violationCount() > 0 || !m_done;
    for (const std::string &Each : m_fleet.Checker.violations())
      std::cout << "violation " << Each << "\n";
    for (const auto &Each : m_fleet.Daemons)
      if (Each->unexplainedEnds() > 0) {
        Bad = true;
        std::cout << "violation promise=no-crash daemon=" << Each->name()
                  << " ends=" << Each->unexplainedEnds() << "\n";
      }
    std::size_t All = 0;
    for (const auto &[How, Count] : m_final)
      All += Count;
    const std::size_t Served = m_final[Ending::Served];
    if (Served == 0 || static_cast<double>(Served) <
                           ServedAfterRecovery * static_cast<double>(All)) {
      Bad = true;
      std::cout << "violation promise=recovery served=" << Served
                << " of=" << All << "\n";
    }
    std::cout << "result=" << (Bad ? "failed" : "passed")
              << " requests=" << m_fleet.Checker.sentCount()
              << " faults=" << m_faults->started()
              << " violations=" << m_fleet.Checker.violationCount()
              << " served_at_end=" << Served << "/" << All << "\n";
    return Bad ? EXIT_FAILURE : EXIT_SUCCESS;
  }

  Fleet m_fleet;
  const std::unique_ptr<FaultPlan> m_faults;
  std::vector<std::unique_ptr<Caller>> m_callers;
  const Duration m_length;
  net::Timer m_poll;
  net::Timer m_phase;
  TimePoint m_polled{};
  std::map<Ending, std::size_t> m_final;
  bool m_done = false;
};

int runMain(int Argc, char **Argv) {
  cxxopts::Options Spec("nutmegsoak", "Runs daemons under random faults and "
                                      "checks what they promise.");
  Spec.add_options()("seed", "of the faults",
                     cxxopts::value<std::uint64_t>()->default_value("1"),
                     "NUMBER")("seconds", "for which faults come",
                               cxxopts::value<unsigned>()->default_value("30"),
                               "NUMBER")(
      "daemons", "processes", cxxopts::value<unsigned>()->default_value("5"),
      "NUMBER")("callers", "that send requests",
                cxxopts::value<unsigned>()->default_value("40"), "NUMBER")(
      "engines", "replicas of the model service",
      cxxopts::value<unsigned>()->default_value("4"), "NUMBER")(
      "plan", "faults: random and overlapping, or silences: of the store",
      cxxopts::value<std::string>()->default_value("faults"), "NAME")(
      "program", "the daemon, in place of the one built with this program",
      cxxopts::value<std::string>()->default_value(DaemonProcess::BuiltProgram),
      "PATH")("out", "directory for settings and logs; made if it isn't there",
              cxxopts::value<std::string>()->default_value("soak-out"),
              "DIRECTORY")("help", "print this text");
  const auto Args = Spec.parse(Argc, Argv);
  if (Args.count("help") != 0) {
    std::cout << Spec.help();
    return EXIT_SUCCESS;
  }
  constexpr unsigned MostDaemons = 200;
  const unsigned Daemons = Args["daemons"].as<unsigned>();
  if (Daemons == 0 || Daemons > MostDaemons) {
    std::cerr << "nutmegsoak: --daemons must be from 1 to " << MostDaemons
              << "\n";
    return ExitUsage;
  }
  const auto Plan = plans().find(Args["plan"].as<std::string>());
  if (Plan == plans().end()) {
    std::cerr << "nutmegsoak: --plan must be faults or silences\n";
    return ExitUsage;
  }
  const std::string Program = Args["program"].as<std::string>();
  if (!std::filesystem::exists(Program)) {
    std::cerr << "nutmegsoak: there is no program " << Program << "\n";
    return ExitUsage;
  }
  const std::string Out = Args["out"].as<std::string>();
  std::filesystem::create_directories(Out);
  const std::uint64_t Seed = Args["seed"].as<std::uint64_t>();
  std::cout << "seed=" << Seed << "\n";
  return Soak({.Seed = Seed,
               .Daemons = Daemons,
               .Engines = Args["engines"].as<unsigned>(),
               .Directory = Out,
               .Program = Program},
              Plan->second, Args["callers"].as<unsigned>(),
              seconds(Args["seconds"].as<unsigned>()))
      .run();
}

} // namespace
} // namespace nutmegdrift::soak

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGINT, SIGTERM})
    std::signal(Signal, [](int) { nutmegdrift::soak::Interrupted = 1; });
  try {
    return nutmegdrift::soak::runMain(Argc, Argv);
  } catch (const std::exception &Caught) {
    std::cerr << "nutmegsoak: " << Caught.what() << "\n";
    return nutmegdrift::soak::ExitUsage;
  }
}
