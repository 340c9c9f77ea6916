// Drives one FairScheduler for each owner of a target in virtual time and
// measures the fairness gap, utilisation, waits and goodput. Endpoints are only
// a token rate and a first-token time.
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
inline constexpr double LargestCost = 1'000.0;
inline constexpr Duration Tick = 10ms;
inline constexpr Duration ExchangeInterval = 500ms;
/// Slow start and the first measured costs are not part of the figures.
inline constexpr Duration WarmUp = 30s;
inline constexpr Duration Never = 1'000'000s;

struct Scenario {
  Queueing Policy = Queueing::Fair;
  std::size_t Owners = 8;
  std::size_t Replicas = 18;
  std::size_t Bears = 16;
  std::size_t Workspaces = 16;
  /// Workspaces with demand at one time; the set moves on every 120 s.
  std::size_t Active = 16;
  double MaxWeight = 10.0; ///< Weights go from 1 to this.
  /// Demand of every active workspace as a multiple of its fair share.
  double Demand = 2.0;
  std::size_t Entries = 8;   ///< Owners that requests arrive at.
  std::size_t Flooder = 10;  ///< A workspace of weight 1.
  double FloodFactor = 20.0; ///< Extra factor on the flooder's demand.
  Duration FloodFrom = 40s;
  Duration RequestDeadline = Never;
  Duration Length = 300s;
  Duration OwnerLostAt = Never;
  Duration PartitionFrom = Never;
  Duration PartitionTo = Never;
  Duration ColdAt = Never; ///< Replica 0 is cold for 15 s from here.
  std::uint64_t Seed = 20261204;
};

struct Measured {
  double Gap = 0.0;         ///< Normalised tokens, any interval, any pair.
  double Utilisation = 0.0; ///< While any request waits.
  double LongestWait = 0.0; ///< Seconds backlogged without a dispatch.
  /// Longest time in seconds that the queue of one owner is not empty while
  /// any owner has a free slot.
  double IdleWait = 0.0;
  double IdleShare = 0.0;      ///< Share of time in which that is so anywhere.
  double Goodput = 0.0;        ///< Tokens a second completed in time.
  std::size_t PeakRunning = 0; ///< At any one replica.
  std::size_t StartsWhileCold = 0; ///< Beside another request, once detectable.
  std::uint64_t Refused = 0;
  std::uint64_t RefusedWithoutTime = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Moves = 0;         ///< Requests moved on credit.
  std::uint64_t EarlyMessages = 0; ///< Counters sent before their interval.
};

/// Tokens a second of all slots.
inline double capacity(const Scenario &S) {
  return static_cast<double>(S.Replicas * S.Bears) * StreamRate;
}

/// P5: the largest request cost for each replica plus the service of one
/// exchange interval.
inline double gapBound(const Scenario &S) {
  return static_cast<double>(S.Replicas) * LargestCost + capacity(S) * 0.5;
}

/// P5 as a time: how long the lightest workspace may wait for a dispatch when
/// it is ahead by the whole gap bound and the largest request.
inline double waitBound(const Scenario &S) {
  const double MeanWeight = (1.0 + S.MaxWeight) / 2.0;
  const double Weights = MeanWeight * static_cast<double>(S.Active);
  return (gapBound(S) + LargestCost) * Weights / capacity(S);
}

class FairnessDriver {
public:
  explicit FairnessDriver(Scenario S);
  Measured run();
  /// Fleet-wide tokens over weight of each workspace.
  [[nodiscard]] const std::vector<double> &service() const { return m_service; }

private:
  struct Request {
    std::size_t Workspace = 0;
    double Cost = 0.0;
    double Hint = 0.0;
    TimePoint Deadline{};
  };
  struct Stream {
    Request What;
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
    Duration Idle{}; ///< Queue not empty beside free slots for so long.
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
  [[nodiscard]] bool replicaCold(std::size_t Replica) const;
  double drawCost() {
    return std::round(40.0 * std::pow(LargestCost / 40.0, uniform(m_rng)));
  }
  void assignReplicas();
  void loseOwner();
  void arrive(std::size_t Workspace);
  void arrivals();
  void joinQueue(Owner &At, WorkId Id, const Request &What);
  Request leaveQueue(Owner &At, WorkId Id);
  void submit(std::size_t At, const Request &What, bool Relayed = false);
  WorkItem item(const Request &What) const;
  void exchange();
  void sendCounters(std::size_t From, std::size_t To, SpareSlots Spare);
  void useCredits(std::size_t At);
  void answerOffers(std::size_t From);
  void dispatch(std::size_t At);
  void begin(Owner &At, const Dispatch &Started);
  void stream(Owner &At);
  bool advance(Owner &At, Stream &Running);
  void measure();
  void measureIdle();
  void measureGap(const std::vector<bool> &Waiting);

  Scenario m_s;
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
    : m_s(S), m_rng(S.Seed), m_owners(S.Owners), m_running(S.Replicas),
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
  // A step of 7 spreads the weights over active and passive workspaces.
  return 1.0 +
         static_cast<double>(Workspace * 7 % 10) * (m_s.MaxWeight - 1.0) / 9.0;
}

inline bool FairnessDriver::active(std::size_t Workspace) const {
  const auto Turn = static_cast<std::size_t>(elapsed() / 120s);
  const auto First = Turn * m_s.Active / 2;
  return (Workspace + m_s.Workspaces - First % m_s.Workspaces) %
             m_s.Workspaces <
         m_s.Active;
}

inline bool FairnessDriver::connected(std::size_t A, std::size_t B) const {
  const bool Cut =
      elapsed() >= m_s.PartitionFrom && elapsed() < m_s.PartitionTo;
  return m_owners[A].Alive && m_owners[B].Alive &&
         !(Cut && (A < m_s.Owners / 2) != (B < m_s.Owners / 2));
}

inline bool FairnessDriver::replicaCold(std::size_t Replica) const {
  return Replica == 0 && elapsed() >= m_s.ColdAt &&
         elapsed() < m_s.ColdAt + 15s;
}

inline void FairnessDriver::assignReplicas() {
  std::vector<std::size_t> Alive;
  for (std::size_t I = 0; I < m_owners.size(); ++I)
    if (m_owners[I].Alive)
      Alive.push_back(I);
  std::vector<std::vector<OwnedReplicaState>> Owned(m_owners.size());
  for (std::size_t R = 0; R < m_s.Replicas; ++R) {
    const auto Home = R % m_s.Owners;
    const auto To = m_owners[Home].Alive ? Home : Alive[R % Alive.size()];
    Owned[To].push_back({.Record = {.Id = name(R),
                                    .ServedTarget = {},
                                    .Address = {},
                                    .Zone = "a",
                                    .Version = "1",
                                    .Capacity = m_s.Bears}});
  }
  for (const auto I : Alive)
    m_owners[I].Scheduler->setReplicas(Owned[I]);
}

inline void FairnessDriver::loseOwner() {
  auto &Lost = m_owners.front();
  Lost.Alive = false;
  for (const auto &Running : Lost.Streams)
    --m_running[Running.Replica];
  Lost.Streams.clear();
  while (!Lost.Queued.empty())
    leaveQueue(Lost, Lost.Queued.begin()->first);
  Lost.Inbox.clear();
  for (std::size_t I = 1; I < m_owners.size(); ++I)
    m_owners[I].Scheduler->dropPeer(name(0));
  assignReplicas();
}

inline WorkItem FairnessDriver::item(const Request &What) const {
  return {.Workspace =
              m_s.Policy == Queueing::FirstCome ? "all" : name(What.Workspace),
          .Plan = "p",
          .CostHint = What.Hint,
          .PrefixHash = What.Workspace + 1,
          .Deadline = What.Deadline};
}

inline void FairnessDriver::joinQueue(Owner &At, WorkId Id,
                                      const Request &What) {
  At.Queued.emplace(Id, What);
  ++m_waiting[What.Workspace];
}

inline FairnessDriver::Request FairnessDriver::leaveQueue(Owner &At,
                                                          WorkId Id) {
  const auto Left = At.Queued.extract(Id).mapped();
  --m_waiting[Left.Workspace];
  return Left;
}

inline void FairnessDriver::submit(std::size_t At, const Request &What,
                                   bool Relayed) {
  auto &To = m_owners[At];
  auto Item = item(What);
  Item.Relayed = Relayed;
  const auto Id = To.Scheduler->enqueue(std::move(Item), m_clock.now());
  if (Id) {
    joinQueue(To, *Id, What);
    return;
  }
  ++m_result.Refused;
  m_result.RefusedWithoutTime += Id.Failure.RetryAfter ? 0 : 1;
}

inline void FairnessDriver::arrive(std::size_t Workspace) {
  // Half of a workspace's requests reach one owner, a quarter the next, and so
  // on, so that owners and workspaces are loaded unevenly.
  std::size_t At = Workspace * 3;
  while (uniform(m_rng) < 0.5)
    ++At;
  At %= m_s.Entries;
  if (!m_owners[At].Alive)
    At = (At + 1) % m_s.Owners;
  const double Cost = drawCost();
  const double Hint = Cost * std::pow(10.0, 2.0 * uniform(m_rng) - 1.0);
  const auto Deadline = m_s.RequestDeadline == Never
                            ? TimePoint::max()
                            : m_clock.now() + m_s.RequestDeadline;
  submit(At, {Workspace, Cost, Hint, Deadline});
}

inline void FairnessDriver::arrivals() {
  // Mean of the distribution in drawCost().
  const double MeanCost = (LargestCost - 40.0) / std::log(LargestCost / 40.0);
  double Weights = 0.0;
  for (std::size_t W = 0; W < m_s.Workspaces; ++W)
    Weights += active(W) ? weight(W) : 0.0;
  for (std::size_t W = 0; W < m_s.Workspaces; ++W) {
    if (!active(W))
      continue;
    const bool Floods = W == m_s.Flooder && elapsed() >= m_s.FloodFrom;
    const double Fair = capacity(m_s) * weight(W) / Weights;
    const double Rate =
        m_s.Demand * Fair / MeanCost * (Floods ? m_s.FloodFactor : 1.0);
    std::poisson_distribution<int> Count(Rate * 0.010);
    for (int I = Count(m_rng); I > 0; --I)
      arrive(W);
  }
}

inline void FairnessDriver::sendCounters(std::size_t From, std::size_t To,
                                         SpareSlots Spare) {
  auto &Cursor = m_owners[From].Cursors[To];
  const auto Changes = m_owners[From].Scheduler->changesSince(Cursor);
  m_owners[To].Scheduler->merge(Changes.Entries);
  Cursor = Changes.Cursor;
  if (m_s.Policy != Queueing::NoCredit)
    m_owners[To].Scheduler->setPeerSpare(name(From), Spare, m_clock.now());
}

inline void FairnessDriver::exchange() {
  for (std::size_t From = 0; From < m_owners.size(); ++From) {
    std::vector<std::size_t> Peers;
    for (std::size_t To = 0; To < m_owners.size(); ++To)
      if (From != To && connected(From, To))
        Peers.push_back(To);
    const auto Spare = m_owners[From].Scheduler->splitSpare(Peers.size());
    for (std::size_t I = 0; I < Peers.size(); ++I)
      sendCounters(From, Peers[I], Spare[I]);
  }
}

/// Requests that move arrive at the other owner within the tick; counters sent
/// early are answered by offers in the next one.
inline void FairnessDriver::useCredits(std::size_t At) {
  auto &Here = m_owners[At];
  for (const auto &Move : Here.Scheduler->nextCreditMoves(m_clock.now())) {
    const auto Moved = leaveQueue(Here, Move.Work);
    // A connection that is lost refuses the relay, and the request stays.
    const auto To = connected(At, std::stoul(Move.Receiver))
                        ? std::stoul(Move.Receiver)
                        : At;
    ++m_result.Moves;
    submit(To, Moved, true);
    dispatch(To);
  }
  for (const auto &Peer : Here.Scheduler->peersToNotify(m_clock.now())) {
    ++m_result.EarlyMessages;
    if (connected(At, std::stoul(Peer)))
      sendCounters(At, std::stoul(Peer), {});
  }
}

inline void FairnessDriver::answerOffers(std::size_t At) {
  auto &Here = m_owners[At];
  for (const auto &Offer : std::exchange(Here.Inbox, {})) {
    auto &From = m_owners[std::stoul(Offer.Receiver)];
    // To names the offering owner here, see dispatch().
    const auto Taken =
        Here.Scheduler->popForOffer(Offer.Workspace, m_clock.now());
    if (!Taken) {
      From.Scheduler->declineOffer(Offer.Id);
      continue;
    }
    const auto Moved = leaveQueue(Here, Taken->Work);
    if (const auto Id = From.Scheduler->enqueueOffered(Offer.Id, Taken->Item,
                                                       m_clock.now()))
      joinQueue(From, *Id, Moved);
    else
      ++m_result.Refused;
  }
}

inline void FairnessDriver::dispatch(std::size_t At) {
  auto &Here = m_owners[At];
  const auto Now = m_clock.now();
  for (const auto Id : Here.Scheduler->expire(Now))
    leaveQueue(Here, Id);
  if (m_s.Policy != Queueing::NoExchange)
    for (auto Offer : Here.Scheduler->nextOffers(Now)) {
      const auto To = std::stoul(Offer.Receiver);
      Offer.Receiver = name(At);
      if (connected(At, To))
        m_owners[To].Inbox.push_back(Offer);
    }
  for (const auto &Started : Here.Scheduler->nextDispatch(Now))
    begin(Here, Started);
}

inline void FairnessDriver::begin(Owner &At, const Dispatch &Started) {
  const auto Moved = leaveQueue(At, Started.Work);
  const auto R = std::stoul(Started.Replica);
  if (replicaCold(R) && elapsed() > m_s.ColdAt + 2s && m_running[R] > 0)
    ++m_result.StartsWhileCold;
  m_result.PeakRunning = std::max(m_result.PeakRunning, ++m_running[R]);
  m_lastDispatch[Moved.Workspace] = m_clock.now();
  At.Streams.push_back(
      {.What = Moved,
       .Work = Started.Work,
       .Replica = R,
       .FirstToken = m_clock.now() + (replicaCold(R) ? 3s : 300ms)});
}

inline bool FairnessDriver::advance(Owner &At, Stream &Running) {
  const auto Now = m_clock.now();
  if (Now < Running.FirstToken)
    return true;
  const double Age =
      std::chrono::duration<double>(Now - Running.FirstToken).count();
  const double Streamed = std::floor(Age * StreamRate) + 1.0;
  const double Due = std::min(Running.What.Cost, Streamed) - Running.Done;
  const bool Ends = Running.Done + Due >= Running.What.Cost;
  // Ten tokens a charge keep the virtual run short.
  if (Due < 10.0 && Running.Done > 0.0 && !Ends)
    return true;
  At.Scheduler->charge(Running.Work, Due, Now);
  Running.Done += Due;
  m_service[Running.What.Workspace] += Due / weight(Running.What.Workspace);
  if (!Ends && Now < Running.What.Deadline)
    return true;
  At.Scheduler->finish(Running.Work,
                       Ends ? Outcome::Completed : Outcome::Cancelled, Now);
  --m_running[Running.Replica];
  if (Ends && elapsed() > WarmUp) {
    ++m_result.Completed;
    m_result.Goodput +=
        Running.What.Cost /
        std::chrono::duration<double>(m_s.Length - WarmUp).count();
  }
  return false;
}

inline void FairnessDriver::stream(Owner &At) {
  std::erase_if(At.Streams,
                [&](Stream &Running) { return !advance(At, Running); });
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
  std::vector<bool> Waiting(m_s.Workspaces);
  bool Any = false;
  for (std::size_t W = 0; W < Waiting.size(); ++W)
    Any = (Waiting[W] = m_waiting[W] > 0) || Any;
  for (std::size_t W = 0; W < Waiting.size(); ++W) {
    if (!Waiting[W])
      m_lastDispatch[W] = m_clock.now();
    m_result.LongestWait = std::max(
        m_result.LongestWait,
        std::chrono::duration<double>(m_clock.now() - m_lastDispatch[W])
            .count());
  }
  if (Any) {
    m_offered += static_cast<double>(m_s.Replicas * m_s.Bears);
    for (const auto Running : m_running)
      m_busy += static_cast<double>(Running);
  }
  measureIdle();
  measureGap(Waiting);
}

inline void FairnessDriver::measureIdle() {
  const bool Free = std::ranges::any_of(m_owners, [](const Owner &Each) {
    return Each.Alive && Each.Scheduler->freeSlots() > 0;
  });
  bool Any = false;
  for (auto &Each : m_owners) {
    const bool Idle = Free && !Each.Queued.empty();
    Each.Idle = Idle ? Each.Idle + Tick : Duration{};
    m_result.IdleWait = std::max(
        m_result.IdleWait, std::chrono::duration<double>(Each.Idle).count());
    Any = Any || Idle;
  }
  if (Any)
    m_result.IdleShare += std::chrono::duration<double>(Tick) /
                          std::chrono::duration<double>(m_s.Length - WarmUp);
}

inline Measured FairnessDriver::run() {
  for (std::size_t Step = 1; elapsed() < m_s.Length; ++Step) {
    m_clock.advance(Tick);
    if (m_owners.front().Alive && elapsed() >= m_s.OwnerLostAt)
      loseOwner();
    arrivals();
    if (m_s.Policy != Queueing::NoExchange &&
        Step % (ExchangeInterval / Tick) == 0)
      exchange();
    for (std::size_t At = 0; At < m_owners.size(); ++At)
      if (m_owners[At].Alive) {
        stream(m_owners[At]);
        answerOffers(At);
        dispatch(At);
        if (m_s.Policy == Queueing::Fair)
          useCredits(At);
      }
    if (elapsed() > WarmUp)
      measure();
  }
  m_result.Utilisation = m_offered > 0.0 ? m_busy / m_offered : 1.0;
  return m_result;
}

} // namespace nutmegdrift::policy::testing

#endif
