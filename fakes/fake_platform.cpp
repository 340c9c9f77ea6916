// Runs the fake platform until it is stopped by a signal.
#include "fake_platform_server.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

int main(int Count, char **Arguments) {
  cxxopts::Options Options("fake_platform", "The platform's object API, kept "
                                            "in memory, with fault switches");
  Options.add_options()("port", "Port on 127.0.0.1; 0: any free one",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "help", "Show this text");
  try {
    const auto Given = Options.parse(Count, Arguments);
    if (Given.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    // Blocked before threads start, so that only sigwait takes the signals.
    sigset_t Signals;
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGINT);
    sigaddset(&Signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
    const nutmegdrift::fakes::FakePlatformServer Server(
        Given["port"].as<std::uint16_t>());
    std::cout << "listening on 127.0.0.1:" << Server.port() << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
  } catch (const std::exception &Failure) {
    std::cerr << "fake_platform: " << Failure.what() << "\n";
    return 1;
  }
  return 0;
}
