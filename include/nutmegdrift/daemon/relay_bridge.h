// Relays between the request chain and the peer network, in both directions.
#ifndef NUTMEGDRIFT_DAEMON_RELAY_BRIDGE_H
#define NUTMEGDRIFT_DAEMON_RELAY_BRIDGE_H

#include "nutmegdrift/peer/relay.h"
#include "nutmegdrift/proxy/filter_chain.h"
#include "nutmegdrift/proxy/filters.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace nutmegdrift::daemon {

/// Sends requests to their owner and passes the answer on.
class RelaySender final : public proxy::Relayer {
public:
  /// Refused is called when an owner refuses a relayed request.
  RelaySender(
      const Clock &Clk, peer::RelayClient &Client,
      std::function<void(const DaemonName &, const Target &)> Refused = {})
      : m_clock(Clk), m_client(Client), m_refused(std::move(Refused)) {}

  Result<void> relay(const DaemonName &Owner,
                     const proxy::RequestContext &Request, std::uint64_t Offer,
                     proxy::ResponseSink &Sink) override;
  /// Sends a request with a ticket to the daemon that decides about it.
  Result<void> forward(const DaemonName &To, const Ticket &Grant,
                       const proxy::RequestContext &Request,
                       proxy::ResponseSink &Sink);

private:
  Result<void> pass(peer::RelayReader &Reader,
                    const proxy::RequestContext &Request,
                    proxy::ResponseSink &Sink);

  const Clock &m_clock;
  peer::RelayClient &m_client;
  const std::function<void(const DaemonName &, const Target &)> m_refused;
};

/// What the receiver of relayed requests needs from the daemon.
struct RelayHooks {
  std::function<std::shared_ptr<const config::FleetConfig>()> CurrentConfig;
  /// Called once a relayed request ended.
  std::function<void(const proxy::RequestContext &,
                     const std::optional<Error> &)>
      Ended;
};

/// Runs requests that other daemons relayed, on threads of its own.
class RelayReceiver {
public:
  static constexpr std::size_t DefaultThreads = 256;

  /// Requests beyond Threads running ones wait in a queue that the relay
  /// server bounds.
  RelayReceiver(const Clock &Clk, EventLog &Log,
                const proxy::FilterChain &Chain, RelayHooks Hooks,
                std::size_t MaxThreads = DefaultThreads);
  ~RelayReceiver();
  RelayReceiver(const RelayReceiver &) = delete;
  RelayReceiver &operator=(const RelayReceiver &) = delete;

  /// Takes one request; returns at once. For the relay server's handler.
  void accept(std::shared_ptr<peer::RelayStream> Stream);
  /// Ends the threads after their current requests.
  void stop();

private:
  void work();
  void run(peer::RelayStream &Stream);

  const Clock &m_clock;
  EventLog &m_log;
  const proxy::FilterChain &m_chain;
  const RelayHooks m_hooks;
  const std::size_t m_maxThreads;
  std::mutex m_mutex; ///< Guards all below.
  std::condition_variable m_changed;
  std::deque<std::shared_ptr<peer::RelayStream>> m_queue;
  std::vector<std::thread> m_threads;
  std::size_t m_idle = 0; ///< Threads that wait for work.
  bool m_stopping = false;
};

} // namespace nutmegdrift::daemon

#endif
