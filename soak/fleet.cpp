// Set-up of the soak's fleet.
#include "fleet.h"

#include <iostream>

#include <unistd.h>

namespace nutmegdrift::soak {

namespace {

constexpr unsigned Zones = 3;
constexpr unsigned FirstDaemonHost = 10;
constexpr unsigned MaxSeeds = 3;

std::string zone(unsigned Number) {
  return "z" + std::to_string(Number % Zones);
}

} // namespace

Fleet::Fleet(const FleetOptions &Options)
    : Rng(Options.Seed), Checker(Clk, Disturbed, {}), Store(Loop, Clk) {
  Store.start(host(1));
  Operations = std::make_unique<Operator>(Store, Checker);
  const unsigned Count = Options.PlainReplicas + Options.Engines;
  for (unsigned I = 0; I < Count; ++I) {
    const bool Engine = I >= Options.PlainReplicas;
    Replicas.push_back(std::make_unique<ReplicaStandIn>(
        Loop, Clk, Rng, Checker, host(2),
        ReplicaStandIn::Options{
            .Name = (Engine ? "e" : "p") + std::to_string(I),
            .Service = Engine ? Operator::ModelService : Operator::PlainService,
            .Zone = zone(I),
            .Engine = Engine}));
  }
  std::vector<std::string> Seeds;
  for (unsigned I = 0; I < std::min(MaxSeeds, Options.Daemons); ++I)
    Seeds.push_back(host(FirstDaemonHost + I));
  for (unsigned I = 0; I < Options.Daemons; ++I)
    Daemons.push_back(std::make_unique<DaemonProcess>(
        Loop, Clk, Disturbed, Checker,
        DaemonProcess::Options{.Name = "d" + std::to_string(I),
                               .Host = host(FirstDaemonHost + I),
                               .Zone = zone(I),
                               .Seeds = Seeds,
                               .Store = Store.address(),
                               .Directory = Options.Directory,
                               .Program = Options.Program}));
}

std::string Fleet::host(unsigned Number) const {
  // The process id makes the second and third number, so that runs beside each
  // other don't meet.
  constexpr unsigned Byte = 256;
  constexpr unsigned FirstNet = 16;
  constexpr unsigned Nets = 200;
  const auto Process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(FirstNet + Process / Byte % Nets) + "." +
         std::to_string(Process % Byte) + "." + std::to_string(Number);
}

void Fleet::start() {
  for (const auto &Each : Replicas) {
    Each->start();
    Operations->registerReplica(*Each);
  }
  for (const auto &Each : Daemons)
    Each->start();
}

void Fleet::note(const std::string &Text) {
  std::cout << Checker.timeText() << " " << Text << std::endl;
}

} // namespace nutmegdrift::soak
