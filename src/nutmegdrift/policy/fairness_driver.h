// Simulates the owners of one target, each with a FairScheduler, in virtual
// time and measures fairness gap, utilisation, waits and goodput. Endpoints are
// modelled by a token rate and a first-token time only.
#ifndef NUTMEGDRIFT_POLICY_FAIRNESS_DRIVER_H
#define NUTMEGDRIFT_POLICY_FAIRNESS_DRIVER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/random.h"
#include "nutmegdrift/policy/fair_scheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegdrift::policy::testing {

using namespace std::chrono_literals;

enum class Queueing {
  Fair,       ///< The scheduler with the exchange between owners.
  NoCredit,   ///< Baseline: the exchange at its interval and slot offers only.
  NoExchange, ///< Baseline: a fair queue at each owner, without exchange.
  FirstCome,  ///< Baseline: one queue in order of arrival at each owner.
};

/// Tokens a second of one stream: 30 ms between tokens.
inline constexpr double StreamRate = 1.0 / 0.030;
inline constexpr double MaxCost = 1'000.0;
inline constexpr Duration Tick = 10ms;
inline constexpr Duration ExchangeInterval = 500ms;
/// Not part of the figures: slow start and first cost estimates.
inline constexpr Duration WarmUp = 30s;
inline constexpr Duration Never = 1'000'000s;

struct Scenario {
  Queueing Policy = Queueing::Fair;
  std::size_t Owners = 8;
  std::size_t Replicas = 18;
  std::size_t Capacity = 16; ///< Of each replica.
  std::size_t Workspaces = 16;
  /// Workspaces with demand at one time; the set changes every 120 s.
  std::size_t Active = 16;
  double MaxWeight = 10.0; ///< Weights range from 1 to this.
  /// Demand of every active workspace as a multiple of its fair share.
  double Demand = 2.0;
  std::size_t EntryOwners = 8; ///< Owners at which requests arrive.
  std::size_t Flooder = 10;    ///< Workspace of weight 1 that floods.
  double FloodFactor = 20.0;   ///< Extra factor on the flooder's demand.
  Duration FloodFrom = 40s;
  Duration RequestDeadline = Never;
  Duration Length = 300s;
  Duration OwnerLostAt = Never;
  Duration PartitionFrom = Never;
  Duration PartitionTo = Never;
  Duration ColdAt = Never; ///< Replica 0 is cold for 15 s from then on.
  std::uint64_t Seed = 20261204;
};

struct Measured {
  double Gap = 0.0; ///< Normalised tokens; maximum of all intervals and pairs.
  double Utilisation = 0.0;     ///< While any request waits.
  double MaxDispatchWait = 0.0; ///< Seconds backlogged without a dispatch.
  /// Longest time in seconds that the queue of one owner is not empty while
  /// any owner has a free slot.
  double IdleWait = 0.0;
  double IdleShare = 0.0; ///< Share of time in which any owner waits like that.
  double Goodput = 0.0;   ///< Tokens a second of requests completed in time.
  std::size_t PeakRunning = 0; ///< At any one replica.
  /// Starts at a detectably cold replica next to a running request.
  std::size_t StartsWhileCold = 0;
  std::uint64_t Refused = 0;
  std::uint64_t RefusedWithoutRetryAfter = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Moves = 0;         ///< Requests moved on credit.
  std::uint64_t EarlyMessages = 0; ///< Counters sent before their interval.
};

/// Tokens a second of all slots.
inline double capacity(const Scenario &S) {
  return static_cast<double>(S.Replicas * S.Capacity) * StreamRate;
}

/// P5: the largest request cost for each replica plus the service of one
/// exchange interval.
inline double gapBound(const Scenario &S) {
  return static_cast<double>(S.Replicas) * MaxCost + capacity(S) * 0.5;
}

/// P5 as a time: how long the workspace of least weight may wait for a dispatch
/// when it is ahead by the gap bound and the largest request.
inline double waitBound(const Scenario &S) {
  const double MeanWeight = (1.0 + S.MaxWeight) / 2.0;
  const double Weights = MeanWeight * static_cast<double>(S.Active);
  return (gapBound(S) + MaxCost) * Weights / capacity(S);
}

class FairnessDriver {
public:
  explicit FairnessDriver(Scenario S);
  Measured run();
  /// Tokens over weight of each workspace, over all owners.
  [[nodiscard]] const std::vector<double> &service() const { return m_service; }

private:
  struct Request {
    std::size_t Workspace = 0;
    double Cost = 0.0;
    double Hint = 0.0;
    TimePoint Deadline{};
  };
  struct Stream {
    Request Job;
    WorkId Work = 0;
    std::size_t Replica = 0;
    TimePoint FirstToken{};
    double Done = 0.0;
  };
  struct Owner {
    std::unique_ptr<FairScheduler> Scheduler;
    std::map<WorkId, Request> Queued;
    std::vector<Stream> Streams;
    std::vector<SlotOffer> Inbox;
    std::map<std::size_t, std::uint64_t> Cursors;
    Duration Idle{}; ///< For how long its queue has waited next to free slots.
    bool Alive = true;
  };
  struct PairRange {
    double Low = 0.0;
    double High = 0.0;
    bool Joint = false;
  };

  static std::string name(std::size_t Id) { return std::to_string(Id); }
  [[nodiscard]] Duration elapsed() const { return m_clock.now() - m_start; }
  [[nodiscard]] double weight(std::size_t Workspace) const;
  [[nodiscard]] bool active(std::size_t Workspace) const;
  [[nodiscard]] bool connected(std::size_t A, std::size_t B) const;
  [[nodiscard]] bool isCold(std::size_t Replica) const;
  double drawCost() {
    return std::round(40.0 * std::pow(MaxCost / 40.0, uniform(m_rng)));
  }
  void assignReplicas();
  void loseOwner();
  void arrive(std::size_t Workspace);
  void arrivals();
  void addToQueue(Owner &Local, WorkId Id, const Request &Job);
  Request removeFromQueue(Owner &Local, WorkId Id);
  void submit(std::size_t Index, const Request &Job, bool Relayed = false);
  WorkItem item(const Request &Job) const;
  void exchange();
  void sendCounters(std::size_t Sender, std::size_t Receiver, SpareSlots Spare);
  void useCredits(std::size_t Index);
  void answerOffers(std::size_t Index);
  void dispatch(std::size_t Index);
  void startStream(Owner &Local, const Dispatch &Started);
  void advanceStreams(Owner &Local);
  bool advanceStream(Owner &Local, Stream &Running);
  void measure();
  void measureIdle();
  void measureGap(const std::vector<bool> &Waiting);

  Scenario m_scenario;
  ManualClock m_clock;
  TimePoint m_start = m_clock.now();
  Random m_rng;
  std::vector<Owner> m_owners;
  std::vector<std::size_t> m_running;
  std::vector<double> m_service;
  std::vector<std::size_t> m_waiting; ///< Queued requests of each workspace.
  std::vector<TimePoint> m_lastDispatch;
  std::vector<PairRange> m_pairs;
  Measured m_result;
  double m_busy = 0.0;
  double m_offered = 0.0;
};

inline FairnessDriver::FairnessDriver(Scenario S)
    : m_scenario(S), m_rng(S.Seed), m_owners(S.Owners), m_running(S.Replicas),
      m_service(S.Workspaces), m_waiting(S.Workspaces),
      m_lastDispatch(S.Workspaces, m_start),
      m_pairs(S.Workspaces * S.Workspaces) {
  for (std::size_t I = 0; I < m_owners.size(); ++I) {
    m_owners[I].Scheduler = std::make_unique<FairScheduler>(
        Target{Target::Kind::Model, "m"}, name(I), I + 1,
        SchedulerSettings{.MaxDebt = gapBound(S)});
    for (std::size_t W = 0; W < S.Workspaces; ++W)
      m_owners[I].Scheduler->setWorkspace(name(W), weight(W), 64);
    m_owners[I].Scheduler->setWorkspace("all", 1.0, 64 * S.Active);
  }
  assignReplicas();
}

inline double FairnessDriver::weight(std::size_t Workspace) const {
  // A step of 7 spreads the weights over active and inactive workspaces.
  return 1.0 + static_cast<double>(Workspace * 7 % 10) *
                   (m_scenario.MaxWeight - 1.0) / 9.0;
}

inline bool FairnessDriver::active(std::size_t Workspace) const {
  const auto Turn = static_cast<std::size_t>(elapsed() / 120s);
  const auto First = Turn * m_scenario.Active / 2;
  return (Workspace + m_scenario.Workspaces - First % m_scenario.Workspaces) %
             m_scenario.Workspaces <
         m_scenario.Active;
}

inline bool FairnessDriver::connected(std::size_t A, std::size_t B) const {
  const bool Cut = elapsed() >= m_scenario.PartitionFrom &&
                   elapsed() < m_scenario.PartitionTo;
  return m_owners[A].Alive && m_owners[B].Alive &&
         !(Cut && (A < m_scenario.Owners / 2) != (B < m_scenario.Owners / 2));
}

inline bool FairnessDriver::isCold(std::size_t Replica) const {
  return Replica == 0 && elapsed() >= m_scenario.ColdAt &&
         elapsed() < m_scenario.ColdAt + 15s;
}

inline void FairnessDriver::assignReplicas() {
  std::vector<std::size_t> Alive;
  for (std::size_t I = 0; I < m_owners.size(); ++I)
    if (m_owners[I].Alive)
      Alive.push_back(I);
  std::vector<std::vector<OwnedReplicaState>> Owned(m_owners.size());
  for (std::size_t R = 0; R < m_scenario.Replicas; ++R) {
    const auto FirstOwner = R % m_scenario.Owners;
    const auto NewOwner =
        m_owners[FirstOwner].Alive ? FirstOwner : Alive[R % Alive.size()];
    Owned[NewOwner].push_back({.Record = {.Id = name(R),
                                          .ServedTarget = {},
                                          .Address = {},
                                          .Zone = "a",
                                          .Version = "1",
                                          .Capacity = m_scenario.Capacity}});
  }
  for (const auto I : Alive)
    m_owners[I].Scheduler->setReplicas(Owned[I]);
}

inline void FairnessDriver::loseOwner() {
  auto &LostOwner = m_owners.front();
  LostOwner.Alive = false;
  for (const auto &Running : LostOwner.Streams)
    --m_running[Running.Replica];
  LostOwner.Streams.clear();
  while (!LostOwner.Queued.empty())
    removeFromQueue(LostOwner, LostOwner.Queued.begin()->first);
  LostOwner.Inbox.clear();
  for (std::size_t I = 1; I < m_owners.size(); ++I)
    m_owners[I].Scheduler->dropPeer(name(0));
  assignReplicas();
}

inline WorkItem FairnessDriver::item(const Request &Job) const {
  return {.Workspace = m_scenario.Policy == Queueing::FirstCome
                           ? "all"
                           : name(Job.Workspace),
          .Plan = "p",
          .CostHint = Job.Hint,
          .PrefixHash = Job.Workspace + 1,
          .Deadline = Job.Deadline};
}

inline void FairnessDriver::addToQueue(Owner &Local, WorkId Id,
                                       const Request &Job) {
  Local.Queued.emplace(Id, Job);
  ++m_waiting[Job.Workspace];
}

inline FairnessDriver::Request FairnessDriver::removeFromQueue(Owner &Local,
                                                               WorkId Id) {
  const auto Removed = Local.Queued.extract(Id).mapped();
  --m_waiting[Removed.Workspace];
  return Removed;
}

inline void FairnessDriver::submit(std::size_t Index, const Request &Job,
                                   bool Relayed) {
  auto &Local = m_owners[Index];
  auto Item = item(Job);
  Item.Relayed = Relayed;
  const auto Id = Local.Scheduler->enqueue(std::move(Item), m_clock.now());
  if (Id) {
    addToQueue(Local, *Id, Job);
    return;
  }
  ++m_result.Refused;
  m_result.RefusedWithoutRetryAfter += Id.Failure.RetryAfter ? 0 : 1;
}

inline void FairnessDriver::arrive(std::size_t Workspace) {
  // Half of a workspace's requests reach one owner, a quarter the next, and so
  // on, so that owners and workspaces are loaded unevenly.
  std::size_t Index = Workspace * 3;
  while (uniform(m_rng) < 0.5)
    ++Index;
  Index %= m_scenario.EntryOwners;
  if (!m_owners[Index].Alive)
    Index = (Index + 1) % m_scenario.Owners;
  const double Cost = drawCost();
  const double Hint = Cost * std::pow(10.0, 2.0 * uniform(m_rng) - 1.0);
  const auto Deadline = m_scenario.RequestDeadline == Never
                            ? TimePoint::max()
                            : m_clock.now() + m_scenario.RequestDeadline;
  submit(Index, {Workspace, Cost, Hint, Deadline});
}

inline void FairnessDriver::arrivals() {
  // Mean of the distribution in drawCost().
  const double MeanCost = (MaxCost - 40.0) / std::log(MaxCost / 40.0);
  double Weights = 0.0;
  for (std::size_t W = 0; W < m_scenario.Workspaces; ++W)
    Weights += active(W) ? weight(W) : 0.0;
  for (std::size_t W = 0; W < m_scenario.Workspaces; ++W) {
    if (!active(W))
      continue;
    const bool Floods =
        W == m_scenario.Flooder && elapsed() >= m_scenario.FloodFrom;
    const double Fair = capacity(m_scenario) * weight(W) / Weights;
    const double Rate = m_scenario.Demand * Fair / MeanCost *
                        (Floods ? m_scenario.FloodFactor : 1.0);
    std::poisson_distribution<int> Count(Rate * 0.010);
    for (int I = Count(m_rng); I > 0; --I)
      arrive(W);
  }
}

inline void FairnessDriver::sendCounters(std::size_t Sender,
                                         std::size_t Receiver,
                                         SpareSlots Spare) {
  auto &Cursor = m_owners[Sender].Cursors[Receiver];
  const auto Changes = m_owners[Sender].Scheduler->changesSince(Cursor);
  m_owners[Receiver].Scheduler->merge(Changes.Entries);
  Cursor = Changes.Cursor;
  if (m_scenario.Policy != Queueing::NoCredit)
    m_owners[Receiver].Scheduler->setPeerSpare(name(Sender), Spare,
                                               m_clock.now());
}

inline void FairnessDriver::exchange() {
  for (std::size_t Sender = 0; Sender < m_owners.size(); ++Sender) {
    std::vector<std::size_t> Peers;
    for (std::size_t Receiver = 0; Receiver < m_owners.size(); ++Receiver)
      if (Sender != Receiver && connected(Sender, Receiver))
        Peers.push_back(Receiver);
    const auto Spare = m_owners[Sender].Scheduler->splitSpare(Peers.size());
    for (std::size_t I = 0; I < Peers.size(); ++I)
      sendCounters(Sender, Peers[I], Spare[I]);
  }
}

/// Moved requests arrive at the other owner in the same tick; early counters
/// are answered with offers in the next one.
inline void FairnessDriver::useCredits(std::size_t Index) {
  auto &Local = m_owners[Index];
  for (const auto &Move : Local.Scheduler->nextCreditMoves(m_clock.now())) {
    const auto Moved = removeFromQueue(Local, Move.Work);
    // Without a connection the relay is refused, and the request stays.
    const auto Destination = connected(Index, std::stoul(Move.Receiver))
                                 ? std::stoul(Move.Receiver)
                                 : Index;
    ++m_result.Moves;
    submit(Destination, Moved, true);
    dispatch(Destination);
  }
  for (const auto &Peer : Local.Scheduler->peersToNotify(m_clock.now())) {
    ++m_result.EarlyMessages;
    if (connected(Index, std::stoul(Peer)))
      sendCounters(Index, std::stoul(Peer), {});
  }
}

inline void FairnessDriver::answerOffers(std::size_t Index) {
  auto &Local = m_owners[Index];
  for (const auto &Offer : std::exchange(Local.Inbox, {})) {
    auto &OfferingOwner = m_owners[std::stoul(Offer.Receiver)];
    // Receiver holds the offering owner here, see dispatch().
    const auto Popped =
        Local.Scheduler->popForOffer(Offer.Workspace, m_clock.now());
    if (!Popped) {
      OfferingOwner.Scheduler->declineOffer(Offer.Id);
      continue;
    }
    const auto Moved = removeFromQueue(Local, Popped->Work);
    if (const auto Id = OfferingOwner.Scheduler->enqueueOffered(
            Offer.Id, Popped->Item, m_clock.now()))
      addToQueue(OfferingOwner, *Id, Moved);
    else
      ++m_result.Refused;
  }
}

inline void FairnessDriver::dispatch(std::size_t Index) {
  auto &Local = m_owners[Index];
  const auto Now = m_clock.now();
  for (const auto Id : Local.Scheduler->expire(Now))
    removeFromQueue(Local, Id);
  if (m_scenario.Policy != Queueing::NoExchange)
    for (auto Offer : Local.Scheduler->nextOffers(Now)) {
      const auto Receiver = std::stoul(Offer.Receiver);
      Offer.Receiver = name(Index);
      if (connected(Index, Receiver))
        m_owners[Receiver].Inbox.push_back(Offer);
    }
  for (const auto &Started : Local.Scheduler->nextDispatch(Now))
    startStream(Local, Started);
}

inline void FairnessDriver::startStream(Owner &Local, const Dispatch &Started) {
  const auto Moved = removeFromQueue(Local, Started.Work);
  const auto R = std::stoul(Started.Replica);
  if (isCold(R) && elapsed() > m_scenario.ColdAt + 2s && m_running[R] > 0)
    ++m_result.StartsWhileCold;
  m_result.PeakRunning = std::max(m_result.PeakRunning, ++m_running[R]);
  m_lastDispatch[Moved.Workspace] = m_clock.now();
  Local.Streams.push_back(
      {.Job = Moved,
       .Work = Started.Work,
       .Replica = R,
       .FirstToken = m_clock.now() + (isCold(R) ? 3s : 300ms)});
}

inline bool FairnessDriver::advanceStream(Owner &Local, Stream &Running) {
  const auto Now = m_clock.now();
  if (Now < Running.FirstToken)
    return true;
  const double Age =
      std::chrono::duration<double>(Now - Running.FirstToken).count();
  const double Streamed = std::floor(Age * StreamRate) + 1.0;
  const double Due = std::min(Running.Job.Cost, Streamed) - Running.Done;
  const bool Ends = Running.Done + Due >= Running.Job.Cost;
  // Charging ten tokens at once keeps the simulation fast.
  if (Due < 10.0 && Running.Done > 0.0 && !Ends)
    return true;
  Local.Scheduler->charge(Running.Work, Due, Now);
  Running.Done += Due;
  m_service[Running.Job.Workspace] += Due / weight(Running.Job.Workspace);
  if (!Ends && Now < Running.Job.Deadline)
    return true;
  Local.Scheduler->finish(Running.Work,
                          Ends ? Outcome::Completed : Outcome::Cancelled, Now);
  --m_running[Running.Replica];
  if (Ends && elapsed() > WarmUp) {
    ++m_result.Completed;
    m_result.Goodput +=
        Running.Job.Cost /
        std::chrono::duration<double>(m_scenario.Length - WarmUp).count();
  }
  return false;
}

inline void FairnessDriver::advanceStreams(Owner &Local) {
  std::erase_if(Local.Streams, [&](Stream &Running) {
    return !advanceStream(Local, Running);
  });
}

inline void FairnessDriver::measureGap(const std::vector<bool> &Waiting) {
  for (std::size_t A = 0; A < Waiting.size(); ++A)
    for (std::size_t B = A + 1; B < Waiting.size(); ++B) {
      auto &Range = m_pairs[A * Waiting.size() + B];
      const double Difference = m_service[A] - m_service[B];
      if (!Waiting[A] || !Waiting[B])
        Range.Joint = false;
      else if (!Range.Joint)
        Range = {Difference, Difference, true};
      else
        Range = {std::min(Range.Low, Difference),
                 std::max(Range.High, Difference), true};
      if (Range.Joint)
        m_result.Gap = std::max(m_result.Gap, Range.High - Range.Low);
    }
}

inline void FairnessDriver::measure() {
  std::vector<bool> Waiting(m_scenario.Workspaces);
  bool Any = false;
  for (std::size_t W = 0; W < Waiting.size(); ++W)
    Any = (Waiting[W] = m_waiting[W] > 0) || Any;
  for (std::size_t W = 0; W < Waiting.size(); ++W) {
    if (!Waiting[W])
      m_lastDispatch[W] = m_clock.now();
    m_result.MaxDispatchWait = std::max(
        m_result.MaxDispatchWait,
        std::chrono::duration<double>(m_clock.now() - m_lastDispatch[W])
            .count());
  }
  if (Any) {
    m_offered += static_cast<double>(m_scenario.Replicas * m_scenario.Capacity);
    for (const auto Running : m_running)
      m_busy += static_cast<double>(Running);
  }
  measureIdle();
  measureGap(Waiting);
}

inline void FairnessDriver::measureIdle() {
  const bool AnyFree = std::ranges::any_of(m_owners, [](const Owner &Member) {
    return Member.Alive && Member.Scheduler->freeSlots() > 0;
  });
  bool AnyIdle = false;
  for (auto &Member : m_owners) {
    const bool Idle = AnyFree && !Member.Queued.empty();
    Member.Idle = Idle ? Member.Idle + Tick : Duration{};
    m_result.IdleWait = std::max(
        m_result.IdleWait, std::chrono::duration<double>(Member.Idle).count());
    AnyIdle = AnyIdle || Idle;
  }
  if (AnyIdle)
    m_result.IdleShare +=
        std::chrono::duration<double>(Tick) /
        std::chrono::duration<double>(m_scenario.Length - WarmUp);
}

inline Measured FairnessDriver::run() {
  for (std::size_t Step = 1; elapsed() < m_scenario.Length; ++Step) {
    m_clock.advance(Tick);
    if (m_owners.front().Alive && elapsed() >= m_scenario.OwnerLostAt)
      loseOwner();
    arrivals();
    if (m_scenario.Policy != Queueing::NoExchange &&
        Step % (ExchangeInterval / Tick) == 0)
      exchange();
    for (std::size_t Index = 0; Index < m_owners.size(); ++Index)
      if (m_owners[Index].Alive) {
        advanceStreams(m_owners[Index]);
        answerOffers(Index);
        dispatch(Index);
        if (m_scenario.Policy == Queueing::Fair)
          useCredits(Index);
      }
    if (elapsed() > WarmUp)
      measure();
  }
  m_result.Utilisation = m_offered > 0.0 ? m_busy / m_offered : 1.0;
  return m_result;
}

} // namespace nutmegdrift::policy::testing

#endif
