// Simulation of a fleet in virtual time for tests: daemons with both
// controllers, a message queue, platform access with faults for each daemon,
// and endpoints whose running requests are counted.
#ifndef NUTMEGDRIFT_CONTROL_FLEET_SIMULATION_H
#define NUTMEGDRIFT_CONTROL_FLEET_SIMULATION_H

#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/ownership_controller.h"
#include "nutmegdrift/platform/memory_object_store.h"

#include <deque>
#include <memory>
#include <sstream>

namespace nutmegdrift::control {

/// Access of one daemon to the platform, with faults.
class FaultyAccess final : public platform::ObjectStore {
public:
  explicit FaultyAccess(platform::MemoryObjectStore &Store) : m_store(Store) {}
  bool Disconnected = false;
  bool StaleReads = false;
  int AnswersToLose = 0;      ///< Number of write responses to lose.
  int StaleGetsAfterLoss = 0; ///< Stale gets after a lost response.

  Result<platform::Object> get(const std::string &Name) override {
    if (Disconnected)
      return fail(ErrorKind::PlatformUnavailable, "cut");
    const bool StaleGet = m_staleGets > 0 && m_staleGets-- > 0;
    m_store.setFaults({.Down = Down, .StaleReads = StaleReads || StaleGet});
    return m_store.get(Name);
  }
  Result<platform::Listing> list(const std::string &Prefix) override {
    if (Disconnected)
      return fail(ErrorKind::PlatformUnavailable, "cut");
    m_store.setFaults({.Down = Down, .StaleReads = StaleReads});
    return m_store.list(Prefix);
  }
  Result<platform::ObjectVersion>
  put(const std::string &Name, const std::string &Text,
      platform::ObjectVersion Expected) override {
    if (Disconnected)
      return fail(ErrorKind::PlatformUnavailable, "cut");
    const bool Lose = AnswersToLose > 0 && AnswersToLose-- > 0;
    if (Lose)
      m_staleGets = StaleGetsAfterLoss;
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
  static inline bool Down = false; ///< For all daemons.

private:
  platform::MemoryObjectStore &m_store;
  int m_staleGets = 0;
};

class FleetSimulation {
public:
  enum class NodeState { Running, Paused, Exited, Vanished };
  static constexpr Duration Step = std::chrono::milliseconds(100);

  struct Node final : FleetChannel, RunningCounts {
    Node(FleetSimulation &Simulation, DaemonName Name)
        : Sim(Simulation), Self(std::move(Name)) {}
    void send(const DaemonName &To,
              const LeaseRenewalMessage &Message) override {
      post(To, [Message](Node &Receiver, const DaemonName &From) {
        Receiver.Membership->onLeaseRenewal(From, Message);
      });
    }
    void send(const DaemonName &To, const LeaseAckMessage &Message) override {
      post(To, [Message](Node &Receiver, const DaemonName &From) {
        Receiver.Membership->onLeaseAck(From, Message);
      });
    }
    void send(const DaemonName &To,
              const PeerHeartbeatMessage &Message) override {
      post(To, [Message](Node &Receiver, const DaemonName &From) {
        Receiver.Membership->onPeerHeartbeat(From, Message);
      });
    }
    void send(const DaemonName &To,
              const PeerHeartbeatEchoMessage &Message) override {
      post(To, [Message](Node &Receiver, const DaemonName &From) {
        Receiver.Membership->onPeerHeartbeatEcho(From, Message);
      });
    }
    void send(const DaemonName &To,
              const ResidualRequestsMessage &Message) override {
      post(To, [Message](Node &Receiver, const DaemonName &From) {
        Receiver.Ownership->onResidualRequests(From, Message);
      });
    }
    void send(const DaemonName &To, const HandoverMessage &Message) override {
      if (!(Message.Ack && Sim.LoseAcks))
        post(To, [Message](Node &Receiver, const DaemonName &From) {
          Receiver.Ownership->onHandover(From, Message);
        });
    }
    ProbeResult probe(const DaemonName &To) override {
      const auto &Peer = *Sim.Nodes.at(To);
      if (Sim.isCut(Self, To) || Peer.State == NodeState::Vanished)
        return ProbeResult::NoAnswer;
      return Peer.State == NodeState::Exited ? ProbeResult::Refused
                                             : ProbeResult::Alive;
    }
    std::size_t local(const config::ReplicaId &Id) override {
      return Running[Id];
    }
    std::optional<std::size_t>
    reported(const config::Replica &Replica) override {
      return Sim.runningAt(Replica.Id);
    }
    using Delivery = std::function<void(Node &, const DaemonName &)>;
    void post(const DaemonName &To, Delivery Deliver) const {
      if (!Sim.isCut(Self, To))
        Sim.Queue.push_back({Self, To, std::move(Deliver)});
    }

    FleetSimulation &Sim;
    DaemonName Self;
    NodeState State = NodeState::Running;
    std::unique_ptr<FaultyAccess> Access;
    std::unique_ptr<EventLog> Log;
    std::unique_ptr<MembershipController> Membership;
    std::unique_ptr<OwnershipController> Ownership;
    std::map<config::ReplicaId, std::size_t> Running;
    std::size_t Changes = 0;
    std::vector<OwnedReplica> LastReported; ///< At the last change.
  };
  struct Envelope {
    DaemonName From;
    DaemonName To;
    Node::Delivery Deliver;
  };

  FleetSimulation() { FaultyAccess::Down = false; }

  void addReplica(const config::ReplicaId &Id, const std::string &Zone,
                  std::size_t Capacity) {
    config::Replica Replica;
    Replica.Id = Id;
    Replica.ServedTarget = {Target::Kind::Model, "m"};
    Replica.Address = {"127.0.0.1", 1};
    Replica.Zone = Zone;
    Replica.Capacity = Capacity;
    Replicas[Id] = Replica;
    std::ignore = capture([&] {
      return Store.put("endpoints/" + Id, config::printReplica(Replica), 0);
    });
  }

  /// Starts a daemon, or restarts it with a new boot id and without state.
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
    Slot->Membership = std::make_unique<MembershipController>(
        MembershipOptions{.Self = Self, .Scope = Scope, .Seed = m_boots}, Clk,
        *Slot->Access, *Slot, *Slot->Log);
    Slot->Ownership = std::make_unique<OwnershipController>(
        OwnershipOptions{.Zones = Zones}, *Slot->Membership, Clk, *Slot->Access,
        *Slot, *Slot, *Slot->Log);
    Slot->Ownership->onChange([N = Slot.get()](const auto &Owned) {
      ++N->Changes;
      N->LastReported = Owned;
    });
    return *Slot;
  }

  [[nodiscard]] bool isCut(const DaemonName &A, const DaemonName &B) const {
    return CutLinks.contains({A, B}) || CutLinks.contains({B, A}) ||
           Isolated.contains(A) || Isolated.contains(B);
  }
  /// The requests of an exited process end; those of a vanished VM keep
  /// running.
  void setState(const DaemonName &Name, NodeState NewState) {
    auto &N = *Nodes.at(Name);
    N.State = NewState;
    std::erase_if(Queue, [&](const auto &Item) {
      return NewState != NodeState::Paused && NewState != NodeState::Running &&
             Item.To == Name;
    }); // Unread messages are lost with the process.
    if (NewState == NodeState::Exited)
      N.Running.clear();
  }
  [[nodiscard]] std::size_t runningAt(const config::ReplicaId &Id) const {
    std::size_t Sum = 0;
    for (const auto &[Name, N] : Nodes)
      if (const auto Entry = N->Running.find(Id); Entry != N->Running.end())
        Sum += Entry->second;
    return Sum;
  }
  /// Daemons that may admit requests to the replica now. Paused daemons count,
  /// since they may resume at any moment.
  [[nodiscard]] std::vector<DaemonName>
  admittingDaemons(const config::ReplicaId &Id) const {
    std::vector<DaemonName> Out;
    for (const auto &[Name, N] : Nodes)
      if ((N->State == NodeState::Running || N->State == NodeState::Paused) &&
          N->Ownership->mayAdmit(Id))
        Out.push_back(Name);
    return Out;
  }
  /// Describes a replica whose limits or running requests exceed its capacity
  /// now; empty if there is none.
  [[nodiscard]] std::string violation() const {
    for (const auto &[Id, Replica] : Replicas) {
      std::size_t Sum = 0;
      std::string Limits;
      for (const auto &Name : admittingDaemons(Id))
        for (const auto &Item : Nodes.at(Name)->Ownership->owned())
          if (Item.Replica.Id == Id) {
            Sum += Item.limit() + Item.ResidualRequests;
            Limits.append(" ").append(Name).append(":");
            Limits.append(std::to_string(Item.limit())).append("+");
            Limits.append(std::to_string(Item.ResidualRequests));
          }
      if (Sum > Replica.Capacity || runningAt(Id) > Replica.Capacity) {
        std::ostringstream Out;
        Out << Id << " has capacity " << Replica.Capacity << ", running "
            << runningAt(Id) << ", limits" << Limits;
        return Out.str();
      }
    }
    return "";
  }

  /// Advances by 100 ms: delivers messages, ticks the controllers and starts
  /// requests up to all limits.
  void step() {
    Clk.advance(Step);
    deliver();
    for (auto &[Name, N] : Nodes) {
      if (N->State == NodeState::Running) {
        N->Membership->tick();
        N->Ownership->tick();
        if (GenerateLoad)
          admitAll(*N);
      }
      if (GenerateLoad && Violation.empty())
        Violation = violation();
    }
    ++m_steps;
    if (GenerateLoad && m_steps % 20 == 0) // Requests end after some seconds.
      for (auto &[Name, N] : Nodes)
        for (auto &[Id, Count] : N->Running)
          Count -= std::min<std::size_t>(Count, 1);
  }
  void deliver() {
    auto Batch = std::exchange(Queue, {});
    for (auto &Item : Batch) {
      auto &To = *Nodes.at(Item.To);
      if (To.State == NodeState::Running)
        Item.Deliver(To, Item.From);
      else if (To.State == NodeState::Paused)
        Queue.push_back(std::move(Item)); // Stays in the socket buffer.
    }
  }
  static void admitAll(Node &N) {
    for (const auto &Item : N.Ownership->owned())
      while (N.Running[Item.Replica.Id] < Item.limit() &&
             N.Ownership->mayAdmit(Item.Replica.Id))
        ++N.Running[Item.Replica.Id];
  }
  void run(Duration Time) {
    for (Duration Elapsed{0}; Elapsed < Time; Elapsed += Step)
      step();
  }

  ManualClock Clk;
  platform::MemoryObjectStore Store;
  std::map<DaemonName, std::unique_ptr<Node>> Nodes;
  std::map<config::ReplicaId, config::Replica> Replicas;
  std::deque<Envelope> Queue;
  std::set<std::pair<DaemonName, DaemonName>> CutLinks;
  std::set<DaemonName> Isolated; ///< Without links to other daemons.
  bool LoseAcks = false;
  bool GenerateLoad = true; ///< Runs requests and checks each step.
  std::string Violation;    ///< The first one found.

private:
  BootId m_boots = 0;
  std::uint64_t m_steps = 0;
};

} // namespace nutmegdrift::control

#endif
