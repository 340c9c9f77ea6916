// A fleet in virtual time for tests: daemons with both controllers, a message
// bus and per-daemon platform access with faults, and endpoints whose running
// requests are counted.
#ifndef NUTMEGDRIFT_CONTROL_FLEET_SIMULATION_H
#define NUTMEGDRIFT_CONTROL_FLEET_SIMULATION_H

#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/ownership_controller.h"
#include "nutmegdrift/platform/memory_object_store.h"

#include <deque>
#include <memory>
#include <sstream>

namespace nutmegdrift::control {

/// One daemon's access to the platform.
class FaultyAccess final : public platform::ObjectStore {
public:
  explicit FaultyAccess(platform::MemoryObjectStore &Store) : m_store(Store) {}
  bool Cut = false;
  bool Stale = false;
  int LoseAnswers = 0;    ///< Writes whose answers are still to be lost.
  int StaleAfterLoss = 0; ///< Stale gets that follow a lost answer.

  Result<platform::Object> get(const std::string &Name) override {
    if (Cut)
      return fail(ErrorKind::PlatformUnavailable, "cut");
    const bool Behind = m_staleGets > 0 && m_staleGets-- > 0;
    m_store.setFaults({.Down = Down, .StaleReads = Stale || Behind});
    return m_store.get(Name);
  }
  Result<platform::Listing> list(const std::string &Prefix) override {
    if (Cut)
      return fail(ErrorKind::PlatformUnavailable, "cut");
    m_store.setFaults({.Down = Down, .StaleReads = Stale});
    return m_store.list(Prefix);
  }
  Result<platform::ObjectVersion>
  put(const std::string &Name, const std::string &Text,
      platform::ObjectVersion Expected) override {
    if (Cut)
      return fail(ErrorKind::PlatformUnavailable, "cut");
    const bool Lose = LoseAnswers > 0 && LoseAnswers-- > 0;
    if (Lose)
      m_staleGets = StaleAfterLoss;
    m_store.setFaults({.Down = Down, .LoseWriteAnswer = Lose});
    return m_store.put(Name, Text, Expected);
  }
  Result<void> remove(const std::string &Name,
                      platform::ObjectVersion Expected) override {
    return m_store.remove(Name, Expected);
  }
  Result<platform::Changes> watch(const std::string &Prefix,
                                  platform::ObjectVersion After,
                                  std::chrono::milliseconds Wait) override {
    return m_store.watch(Prefix, After, Wait);
  }
  static inline bool Down = false; ///< The platform is down for all.

private:
  platform::MemoryObjectStore &m_store;
  int m_staleGets = 0;
};

class FleetSimulation {
public:
  enum class Life { Runs, Paused, Died, Vanished };
  static constexpr Duration Step = std::chrono::milliseconds(100);

  struct Node final : FleetChannel, RunningCounts {
    Node(FleetSimulation &Of, DaemonName Name)
        : Sim(Of), Self(std::move(Name)) {}
    void send(const DaemonName &T, const LeaseRenewalMessage &M) override {
      post(T, [M](Node &N, const DaemonName &F) {
        N.Members->onLeaseRenewal(F, M);
      });
    }
    void send(const DaemonName &T, const LeaseAckMessage &M) override {
      post(T,
           [M](Node &N, const DaemonName &F) { N.Members->onLeaseAck(F, M); });
    }
    void send(const DaemonName &T, const PeerHeartbeatMessage &M) override {
      post(T, [M](Node &N, const DaemonName &F) {
        N.Members->onPeerHeartbeat(F, M);
      });
    }
    void send(const DaemonName &T, const PeerHeartbeatEchoMessage &M) override {
      post(T, [M](Node &N, const DaemonName &F) {
        N.Members->onPeerHeartbeatEcho(F, M);
      });
    }
    void send(const DaemonName &T, const ResidualRequestsMessage &M) override {
      post(T, [M](Node &N, const DaemonName &F) {
        N.Owner->onResidualRequests(F, M);
      });
    }
    void send(const DaemonName &T, const HandoverMessage &M) override {
      if (!(M.Ack && Sim.LoseAcks))
        post(T,
             [M](Node &N, const DaemonName &F) { N.Owner->onHandover(F, M); });
    }
    ProbeResult probe(const DaemonName &T) override {
      const auto &To = *Sim.Nodes.at(T);
      if (Sim.cut(Self, T) || To.State == Life::Vanished)
        return ProbeResult::NoAnswer;
      return To.State == Life::Died ? ProbeResult::Refused : ProbeResult::Alive;
    }
    std::size_t local(const config::ReplicaId &Id) override {
      return Running[Id];
    }
    std::optional<std::size_t>
    reported(const config::Replica &Replica) override {
      return Sim.runningAt(Replica.Id);
    }
    using Delivery = std::function<void(Node &, const DaemonName &)>;
    void post(const DaemonName &To, Delivery What) const {
      if (!Sim.cut(Self, To))
        Sim.Queue.push_back({Self, To, std::move(What)});
    }

    FleetSimulation &Sim;
    DaemonName Self;
    Life State = Life::Runs;
    std::unique_ptr<FaultyAccess> Access;
    std::unique_ptr<EventLog> Log;
    std::unique_ptr<MembershipController> Members;
    std::unique_ptr<OwnershipController> Owner;
    std::map<config::ReplicaId, std::size_t> Running;
    std::size_t Changes = 0;
    std::vector<OwnedReplica> Reported; ///< By the last change.
  };
  struct Envelope {
    DaemonName From;
    DaemonName To;
    Node::Delivery What;
  };

  FleetSimulation() { FaultyAccess::Down = false; }

  void addReplica(const config::ReplicaId &Id, const std::string &Zone,
                  std::size_t Bears) {
    config::Replica At;
    At.Id = Id;
    At.What = {Target::Kind::Model, "m"};
    At.Address = {"127.0.0.1", 1};
    At.Zone = Zone;
    At.Bears = Bears;
    Replicas[Id] = At;
    std::ignore = capture([&] {
      return Store.put("endpoints/" + Id, config::printReplica(At), 0);
    });
  }

  /// Starts a daemon, or starts it again with a new boot id and empty.
  Node &start(const DaemonName &Name, const std::string &Zone,
              const std::string &Scope, const std::set<std::string> &Zones) {
    auto &Slot = Nodes[Name];
    Slot = std::make_unique<Node>(*this, Name);
    Slot->Access = std::make_unique<FaultyAccess>(Store);
    Slot->Log = std::make_unique<EventLog>(Clk, Name, false);
    MemberRecord Self;
    Self.Daemon = Name;
    Self.Boot = ++m_boots;
    Self.Zone = Zone;
    Slot->Members = std::make_unique<MembershipController>(
        MembershipOptions{.Self = Self, .Scope = Scope, .Seed = m_boots}, Clk,
        *Slot->Access, *Slot, *Slot->Log);
    Slot->Owner = std::make_unique<OwnershipController>(
        OwnershipOptions{.Zones = Zones}, *Slot->Members, Clk, *Slot->Access,
        *Slot, *Slot, *Slot->Log);
    Slot->Owner->onChange([N = Slot.get()](const auto &Owned) {
      ++N->Changes;
      N->Reported = Owned;
    });
    return *Slot;
  }

  [[nodiscard]] bool cut(const DaemonName &A, const DaemonName &B) const {
    return Cuts.contains({A, B}) || Cuts.contains({B, A}) ||
           Isolated.contains(A) || Isolated.contains(B);
  }
  /// A died process loses its connections; a vanished VM's requests go on.
  void kill(const DaemonName &Name, Life How) {
    auto &N = *Nodes.at(Name);
    N.State = How;
    std::erase_if(Queue, [&](const auto &Item) {
      return How != Life::Paused && How != Life::Runs && Item.To == Name;
    }); // Unread bytes are lost with the process.
    if (How == Life::Died)
      N.Running.clear();
  }
  [[nodiscard]] std::size_t runningAt(const config::ReplicaId &Id) const {
    std::size_t Sum = 0;
    for (const auto &[Name, N] : Nodes)
      if (const auto At = N->Running.find(Id); At != N->Running.end())
        Sum += At->second;
    return Sum;
  }
  /// Daemons that may admit to the replica now. A paused daemon counts, since
  /// it may resume at this moment.
  [[nodiscard]] std::vector<DaemonName>
  admitters(const config::ReplicaId &Id) const {
    std::vector<DaemonName> Out;
    for (const auto &[Name, N] : Nodes)
      if ((N->State == Life::Runs || N->State == Life::Paused) &&
          N->Owner->mayAdmit(Id))
        Out.push_back(Name);
    return Out;
  }
  /// What is wrong with the replica's limits now; empty if nothing is.
  [[nodiscard]] std::string violation() const {
    for (const auto &[Id, At] : Replicas) {
      std::size_t Sum = 0;
      std::string Who;
      for (const auto &Name : admitters(Id))
        for (const auto &Item : Nodes.at(Name)->Owner->owned())
          if (Item.Replica.Id == Id) {
            Sum += Item.limit() + Item.ResidualRequests;
            Who.append(" ").append(Name).append(":");
            Who.append(std::to_string(Item.limit())).append("+");
            Who.append(std::to_string(Item.ResidualRequests));
          }
      if (Sum > At.Bears || runningAt(Id) > At.Bears) {
        std::ostringstream Out;
        Out << Id << " bears " << At.Bears << ", running " << runningAt(Id)
            << ", limits" << Who;
        return Out.str();
      }
    }
    return "";
  }

  /// One step of 100 ms: messages, ticks, and requests up to every limit.
  void step() {
    Clk.advance(Step);
    deliver();
    for (auto &[Name, N] : Nodes) {
      if (N->State == Life::Runs) {
        N->Members->tick();
        N->Owner->tick();
        if (Load)
          admitAll(*N);
      }
      if (Load && Violation.empty())
        Violation = violation();
    }
    ++m_steps;
    if (Load &&
        m_steps % 20 == 0) // Every request runs for at most some seconds.
      for (auto &[Name, N] : Nodes)
        for (auto &[Id, Count] : N->Running)
          Count -= std::min<std::size_t>(Count, 1);
  }
  void deliver() {
    auto Batch = std::exchange(Queue, {});
    for (auto &Item : Batch) {
      auto &To = *Nodes.at(Item.To);
      if (To.State == Life::Runs)
        Item.What(To, Item.From);
      else if (To.State == Life::Paused)
        Queue.push_back(std::move(Item)); // Waits in the socket.
    }
  }
  static void admitAll(Node &N) {
    for (const auto &Item : N.Owner->owned())
      while (N.Running[Item.Replica.Id] < Item.limit() &&
             N.Owner->mayAdmit(Item.Replica.Id))
        ++N.Running[Item.Replica.Id];
  }
  void run(Duration Time) {
    for (Duration At{0}; At < Time; At += Step)
      step();
  }

  ManualClock Clk;
  platform::MemoryObjectStore Store;
  std::map<DaemonName, std::unique_ptr<Node>> Nodes;
  std::map<config::ReplicaId, config::Replica> Replicas;
  std::deque<Envelope> Queue;
  std::set<std::pair<DaemonName, DaemonName>> Cuts;
  std::set<DaemonName> Isolated; ///< Cut from all other daemons.
  bool LoseAcks = false;
  bool Load = true;      ///< Requests run, and every step is checked.
  std::string Violation; ///< The first one seen.

private:
  BootId m_boots = 0;
  std::uint64_t m_steps = 0;
};

} // namespace nutmegdrift::control

#endif
