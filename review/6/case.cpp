// A zone is evacuated after the platform's store has answered nothing for 8 s.
#include "lab.h"

#include <iostream>

namespace {

using namespace review;

/// Bounds of the sheet: evacuation, and contact.
constexpr double EvacuationMs = 5000;
constexpr double ContactMs = 3000;
/// Largest dose of the site.
constexpr double SilentMs = 8000;
constexpr double EvacuatedMs = 8000;
/// From the start of the daemons; their watches are renewed each 12 s.
constexpr double OutageAt = 19300;

int runCase(const Arguments &Run) {
  Record Out;
  const std::string Network = ownNetwork();
  const json Deployment = readDeployment(Run);
  Store Platform(Network + ".20", 0, Out);
  Platform.put(names::StateKind, names::StateName, Deployment.at("state"));
  constexpr double WorkMs = 15;
  std::vector<std::unique_ptr<Replica>> Replicas;
  const auto Entry = [&](std::size_t Index) {
    json Value = Deployment.at("replica");
    Value["address"] = Replicas[Index]->address();
    Value["zone"] = std::string("tx-central-") + static_cast<char>('a' + Index);

    return Value;
  };
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Replicas.push_back(
        std::make_unique<Replica>(Network + "." + std::to_string(30 + Index),
                                  "i-" + std::to_string(Index), WorkMs, Out));
    Platform.put(names::ReplicaKind, Replicas[Index]->id(), Entry(Index));
  }
  Fleet System(Network, Platform, Run.Logs, Run.Program, Out);
  const double Start = nowMs();
  System.start();
  if (!System.waitReady(nowMs() + 15000))
    return CouldNotRun;
  std::vector<std::unique_ptr<Caller>> Callers;
  constexpr double PauseMs = 40;
  for (std::size_t Index = 0; Index < System.Daemons.size(); ++Index)
    Callers.push_back(std::make_unique<Caller>(*System.Daemons[Index],
                                               "m" + std::to_string(Index),
                                               "/pay/", PauseMs, Out));
  sleepUntil(Start + OutageAt);
  if (Run.Trouble) {
    Out.line("the store answers nothing");
    Platform.pause();
  }
  sleepMs(SilentMs);
  Platform.resume();
  Out.line("the store answers");
  sleepMs(ContactMs + 100);
  const std::string Zone = "tx-central-c";
  Replica &Evacuated = *Replicas[2];
  const double Ack = Platform.put(names::EvacuationKind, Zone, json::object());
  Out.lineAt(Ack, "the store accepts the evacuation of " + Zone);
  sleepUntil(Ack + EvacuatedMs);
  const double Back = Platform.remove(names::EvacuationKind, Zone);
  Out.lineAt(Back, "the store accepts that " + Zone + " is taken back");
  for (const auto &Each : Callers)
    Each->stop();
  int Late = 0;
  std::set<char> Machines;
  for (const Arrival &Each : Evacuated.arrivals()) {
    if (Each.Time <= Ack + EvacuationMs || Each.Time >= Back)
      continue;
    ++Late;
    Machines.insert(Each.Id[1]);
    Out.lineAt(Each.Time, "BROKEN EVAC: " + Each.Id + " reaches " +
                              Evacuated.id() + " in " + Zone + " " +
                              std::to_string(Each.Time - Ack) +
                              " ms after the ack");
  }
  int Served = 0;
  for (const auto &Each : Callers)
    for (const Outcome &One : Each->outcomes())
      Served += One.Status == 200 ? 1 : 0;
  Out.line("served " + std::to_string(Served) + ", late in the zone " +
           std::to_string(Late));
  std::cout << "served " << Served << ", late " << Late << " from "
            << Machines.size() << " machines\n";
  for (const auto &Each : System.Daemons)
    Each->kill();
  Platform.stop();
  Out.write(Run.Case + "/record.txt");
  return Served == 0 ? CouldNotRun : Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(Arguments::parse(Count, Values));
}
