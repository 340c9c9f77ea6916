// Two workspaces of weight 2 and 1 share one replica that runs one request at
// a time: of 30 dispatches the first gets twice as many as the second.
#include "nutmegdrift/policy/fair_scheduler.h"

#include <iostream>
#include <map>

int main() {
  using namespace nutmegdrift;
  const Target Letters{Target::Kind::Model, "letters"};
  policy::FairScheduler Scheduler(Letters, "d1", 1);
  Scheduler.setWorkspace("large", 2.0, 64);
  Scheduler.setWorkspace("usual", 1.0, 64);
  Scheduler.setReplicas({{.Record = {.Id = "r1",
                                     .ServedTarget = Letters,
                                     .Address = {"127.0.0.1", 80},
                                     .Zone = "z1",
                                     .Version = "v1",
                                     .Capacity = 1}}});
  ManualClock Clk;
  std::map<policy::WorkId, std::string> Waiting;
  for (int I = 0; I < 30; ++I)
    for (const auto *Workspace : {"large", "usual"})
      Waiting[*Scheduler.enqueue({.Workspace = Workspace, .Plan = Workspace},
                                 Clk.now())] = Workspace;
  std::map<std::string, int> Served;
  for (int I = 0; I < 30; ++I)
    for (const auto &Started : Scheduler.nextDispatch(Clk.now())) {
      ++Served[Waiting[Started.Work]];
      Clk.advance(std::chrono::milliseconds(100));
      Scheduler.charge(Started.Work, 100.0, Clk.now());
      Scheduler.finish(Started.Work, policy::Outcome::Completed, Clk.now());
    }
  std::cout << "large " << Served["large"] << ", usual " << Served["usual"]
            << "\n";
  return Served["large"] == 20 && Served["usual"] == 10 ? 0 : 1;
}
