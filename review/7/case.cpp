// A replica leaves while the platform's store turns the first two machines
// away.
#include "../6/lab.h"

#include <iostream>

namespace {

using namespace review;

/// Bound of the sheet: drain.
constexpr double DrainMs = 2000;
/// Beyond the bound, until the replica exits.
constexpr double LittleLongerMs = 1500;
/// Age of what the store answers where an old answer is allowed.
constexpr double StaleMs = 4000;
constexpr std::size_t TurnedAway = 2;

std::size_t machineOf(const std::string &Id) {
  return std::stoul(Id.substr(1));
}

int runCase(const Arguments &Run) {
  Record Out;
  const std::string Network = ownNetwork();
  const json Deployment = readDeployment(Run);
  Store Platform(Network + ".20", StaleMs, Out);
  Platform.put(names::StateKind, names::StateName, Deployment.at("state"));
  constexpr double WorkMs = 30;
  std::vector<std::unique_ptr<Replica>> Replicas;
  const auto Entry = [&](std::size_t Index, const char *State) {
    json Value = Deployment.at("replica");
    Value["address"] = Replicas[Index]->address();
    Value["zone"] = std::string("tx-central-") + static_cast<char>('a' + Index);
    Value["state"] = State;
    return Value;
  };
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Replicas.push_back(
        std::make_unique<Replica>(Network + "." + std::to_string(30 + Index),
                                  "i-" + std::to_string(Index), WorkMs, Out));
    Platform.put(names::ReplicaKind, Replicas[Index]->id(),
                 Entry(Index, "ready"));
  }
  Fleet System(Network, Platform, Run.Logs, Run.Program, Out);
  System.start();
  if (!System.waitReady(nowMs() + 15000))
    return CouldNotRun;
  sleepMs(6000);
  std::vector<std::unique_ptr<Caller>> Callers;
  constexpr double PauseMs = 20;
  for (std::size_t Index = 0; Index < System.Daemons.size(); ++Index)
    Callers.push_back(std::make_unique<Caller>(*System.Daemons[Index],
                                               "m" + std::to_string(Index),
                                               "/pay/", PauseMs, Out));
  sleepMs(3000);
  if (Run.Trouble) {
    for (std::size_t Index = 0; Index < TurnedAway; ++Index) {
      Out.line("the store turns away " + System.Daemons[Index]->name());
      Platform.turnAway(Index);
    }
  }
  sleepMs(3500);
  Replica &Leaving = *Replicas[1];
  const double Ack =
      Platform.put(names::ReplicaKind, Leaving.id(), Entry(1, "draining"));
  Out.lineAt(Ack, "the store accepts that " + Leaving.id() + " drains");
  sleepUntil(Ack + DrainMs + LittleLongerMs);
  Out.line(Leaving.id() + " exits");
  Leaving.exit();
  const double Removed = Platform.remove(names::ReplicaKind, Leaving.id());
  Out.lineAt(Removed, "the store removes " + Leaving.id());
  sleepMs(1500);
  for (const auto &Each : Callers)
    Each->stop();
  int Late = 0;
  double Last = 0;
  std::set<std::string> Given;
  for (const Arrival &Each : Leaving.arrivals()) {
    if (Each.Time <= Ack + DrainMs || machineOf(Each.Id) < TurnedAway)
      continue;
    ++Late;
    Last = Each.Time - Ack;
    Given.insert(Each.Id);
    Out.lineAt(Each.Time,
               "BROKEN DRAIN: " + Each.Id + " reaches " + Leaving.id() + " " +
                   std::to_string(Each.Time - Ack) + " ms after the ack");
  }
  int Lost = 0;
  int Served = 0;
  for (const auto &Each : Callers)
    for (const Outcome &One : Each->outcomes()) {
      Served += One.Status == 200 ? 1 : 0;
      if (Given.contains(One.Id) && One.Status != 200) {
        ++Lost;
        Out.lineAt(One.Answered, "LOST: " + One.Id + " ran and ends with " +
                                     std::to_string(One.Status));
      }
    }
  Out.line("served " + std::to_string(Served) + ", late at the replica " +
           std::to_string(Late) + ", of these lost " + std::to_string(Lost));
  std::cout << "served " << Served << ", late " << Late << " (last " << Last
            << " ms after the ack), lost " << Lost << "\n";
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
