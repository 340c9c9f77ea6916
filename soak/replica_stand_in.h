// Replicas of the soak: they answer in the platform's form, tell the promise
// checker what they run, and fail as they are told.
#ifndef NUTMEGDRIFT_SOAK_REPLICA_STAND_IN_H
#define NUTMEGDRIFT_SOAK_REPLICA_STAND_IN_H

#include "faulty_link.h"
#include "promise_checker.h"

#include "nutmegdrift/net/http_server.h"
#include "nutmegdrift/routing/replica_table.h"

namespace nutmegdrift::soak {

/// Shares of the requests that a replica treats badly.
struct ReplicaFaults {
  double Fails = 0.0;       ///< Answers 500 after running the request.
  double LosesAnswer = 0.0; ///< Runs it and resets the connection.
  double Hangs = 0.0;       ///< Runs it and never answers.

  friend bool operator==(const ReplicaFaults &,
                         const ReplicaFaults &) = default;
};

/// The answer that a request must get, whichever replica runs it.
std::string plainAnswer(const std::string &Id);
/// Events of a stream's answer.
std::size_t eventCount(const std::string &Id);
std::string eventText(const std::string &Id, std::size_t Number);

/// One slot of the deployment in which replicas follow each other. All of them
/// are reached through one faulty link.
class ReplicaStandIn {
public:
  struct Options {
    std::string Name; ///< Ids are made from it.
    std::string Service;
    std::string Zone;
    bool Engine = false;
    unsigned Slots = 8;
  };

  ReplicaStandIn(net::EventLoop &Loop, const Clock &Clk, Random &Rng,
                 PromiseChecker &Checker, const std::string &Host,
                 Options Traits);
  ~ReplicaStandIn();

  /// Starts a replica with a new id.
  void start();
  /// Ends it: its connections and the work on them are gone.
  void crash();
  [[nodiscard]] bool running() const { return m_server != nullptr; }
  /// The entry of the running replica.
  [[nodiscard]] routing::ReplicaRecord record(bool Draining) const;
  [[nodiscard]] FaultyLink &link() { return m_link; }
  [[nodiscard]] const std::string &id() const { return m_id; }

  ReplicaFaults Faults;

private:
  using Exchange = std::shared_ptr<net::ServerExchange>;

  void serve(const Exchange &Caller);
  void answerPlain(const Exchange &Caller, const std::string &Id);
  void sendEvents(const Exchange &Caller, const std::string &Id,
                  std::size_t Next);
  void after(Duration Delay, std::function<void()> What);
  [[nodiscard]] std::size_t busy();

  net::EventLoop &m_loop;
  const Clock &m_clock;
  Random &m_random;
  PromiseChecker &m_checker;
  const std::string m_host;
  const Options m_options;
  FaultyLink m_link;
  std::unique_ptr<net::HttpServer> m_server;
  std::string m_id;
  unsigned m_starts = 0;
  std::vector<std::weak_ptr<net::ServerExchange>> m_underWay;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_timers;
  std::uint64_t m_nextTimer = 0;
};

} // namespace nutmegdrift::soak

#endif
