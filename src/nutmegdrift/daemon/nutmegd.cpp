// The nutmegd program: reads its settings, runs until SIGTERM or SIGINT, and
// then stops without cutting a request.
#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/config/settings.h"
#include "nutmegdrift/daemon/daemon.h"

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <pthread.h>

namespace {

using namespace nutmegdrift;

constexpr int ExitOk = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

/// Signals that stop the daemon, blocked in all threads so that one thread can
/// wait for them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A caller that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int runDaemon(const config::DaemonSettings &Settings) {
  const auto Signals = blockStopSignals();
  initialiseLogging();
  daemon::Daemon Instance(Settings);
  if (const auto Failure = errorOf([&] { return Instance.start(); })) {
    std::cerr << "nutmegd: " << Failure->Message << "\n";
    return ExitFailure;
  }
  int Number = 0;
  sigwait(&Signals, &Number);
  Instance.stop();
  return ExitOk;
}

cxxopts::Options makeOptions() {
  cxxopts::Options Spec("nutmegd",
                        "Routes requests of workspaces to endpoints.");
  Spec.add_options()("settings",
                     "YAML settings; a later file replaces fields of an "
                     "earlier one",
                     cxxopts::value<std::vector<std::string>>(), "FILE")(
      "check", "check the settings and exit")("help", "print this text");
  return Spec;
}

int runMain(int Argc, char **Argv) {
  auto Spec = makeOptions();
  const auto Args = Spec.parse(Argc, Argv);
  if (Args.count("help") != 0) {
    std::cout << Spec.help();
    return ExitOk;
  }
  if (Args.count("settings") == 0) {
    std::cerr << "nutmegd: --settings FILE is needed\n" << Spec.help();
    return ExitUsage;
  }
  const auto Settings = capture([&] {
    return config::loadSettings(
        Args["settings"].as<std::vector<std::string>>());
  });
  if (!Settings) {
    std::cerr << Settings.Failure.Message << "\n";
    return ExitUsage;
  }
  if (Args.count("check") != 0) {
    std::cout << "settings of " << Settings->Name << " are valid\n";
    return ExitOk;
  }
  return runDaemon(*Settings);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return runMain(Argc, Argv);
  } catch (const cxxopts::exceptions::exception &Caught) {
    std::cerr << "nutmegd: " << Caught.what() << "\n";
    return ExitUsage;
  } catch (const std::exception &Caught) {
    std::cerr << "nutmegd: " << Caught.what() << "\n";
    return ExitFailure;
  }
}
