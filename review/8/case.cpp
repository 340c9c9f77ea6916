// The desired state takes the last tenant away.
#include "../6/lab.h"

#include <iostream>

namespace {

using namespace review;

/// Bounds of the sheet: revocation, and a margin for the way to the daemon.
constexpr double RevocationMs = 5000;
constexpr double MarginMs = 1000;
constexpr char NeverHeld[] = "never-held-by-any-tenant";

/// One request on a channel of its own; its status, 0 without an answer.
int ask(const Daemon &Target, const std::string &Id, const std::string &Key) {
  Channel Peer(Channel::connectTo(Target.host(), Daemon::FrontPort));
  if (!Peer.open() ||
      !Peer.send("POST /pay/" + Id + " HTTP/1.1\r\nHost: " + Host + "\r\n" +
                 names::RequestId + ": " + Id + "\r\n" + names::Deadline +
                 ": 2500\r\nAuthorization: Bearer " + Key +
                 "\r\nContent-Length: 4\r\n\r\npay!"))
    return 0;
  const auto Answer = Peer.read(nowMs() + 2500);
  return Answer ? Answer->status() : 0;
}

int runCase(const Arguments &Run) {
  Record Out;
  const std::string Network = ownNetwork();
  const json Deployment = readDeployment(Run);
  Store Platform(Network + ".20", 0, Out);
  json State = Deployment.at("state");
  Platform.put(names::StateKind, names::StateName, State);
  constexpr double WorkMs = 15;
  std::vector<std::unique_ptr<Replica>> Replicas;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Replicas.push_back(
        std::make_unique<Replica>(Network + "." + std::to_string(30 + Index),
                                  "i-" + std::to_string(Index), WorkMs, Out));
    json Value = Deployment.at("replica");
    Value["address"] = Replicas[Index]->address();
    Value["zone"] = std::string("tx-central-") + static_cast<char>('a' + Index);
    Platform.put(names::ReplicaKind, Replicas[Index]->id(), Value);
  }
  Fleet System(Network, Platform, Run.Logs, Run.Program, Out);
  System.start();
  if (!System.waitReady(nowMs() + 15000))
    return CouldNotRun;
  sleepMs(5000);
  int Served = 0;
  int Wrong = 0;
  const auto AskAll = [&](const std::string &Name, const std::string &Key) {
    for (std::size_t Index = 0; Index < System.Daemons.size(); ++Index) {
      const std::string Id = Name + "-" + std::to_string(Index);
      Out.line(
          std::string("caller sends ").append(Id).append(" with the key ") +
          Key);
      const int Status = ask(*System.Daemons[Index], Id, Key);
      Out.line("caller gets " + std::to_string(Status) + " for " + Id);
      Served += Status == 200 ? 1 : 0;
    }
  };
  AskAll("before", Key);
  AskAll("stranger-before", NeverHeld);
  const int ServedBefore = Served;
  State["version"] = 8;
  if (Run.Trouble)
    State["tenants"] = json::array();
  const double Ack = Platform.put(names::StateKind, names::StateName, State);
  Out.lineAt(Ack, Run.Trouble ? "the store accepts version 8, without tenants"
                              : "the store accepts version 8");
  sleepUntil(Ack + RevocationMs + MarginMs);
  AskAll("after", Key);
  AskAll("stranger-after", NeverHeld);
  for (const auto &Each : Replicas)
    for (const Arrival &One : Each->arrivals()) {
      const bool Revoked = Run.Trouble && One.Id.starts_with("after");
      const bool Stranger = One.Id.starts_with("stranger");
      if (!Revoked && !Stranger)
        continue;
      ++Wrong;
      Out.lineAt(One.Time,
                 (Revoked ? "BROKEN CONFIG: the key was taken away, " + One.Id
                          : "BROKEN ROUTE: the key was never held, " + One.Id) +
                     " runs at " + Each->id());
      if (One.CarriesKey)
        Out.lineAt(One.Time, "BROKEN UNASKED: the key of " + One.Id +
                                 " is passed on to " + Each->id());
    }
  std::cout << "served before " << ServedBefore << ", wrongly run " << Wrong
            << "\n";
  for (const auto &Each : System.Daemons)
    Each->kill();
  Platform.stop();
  Out.write(Run.Case + "/record.txt");
  if (ServedBefore == 0)
    return CouldNotRun;
  return Wrong > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(Arguments::parse(Count, Values));
}
