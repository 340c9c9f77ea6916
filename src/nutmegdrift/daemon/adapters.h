// Adapters between the interfaces that modules ask for and the parts of the
// daemon that serve them.
#ifndef NUTMEGDRIFT_DAEMON_ADAPTERS_H
#define NUTMEGDRIFT_DAEMON_ADAPTERS_H

#include "nutmegdrift/control/config_controller.h"
#include "nutmegdrift/control/key_store.h"
#include "nutmegdrift/control/ownership_controller.h"
#include "nutmegdrift/daemon/directory.h"
#include "nutmegdrift/daemon/load_reader.h"
#include "nutmegdrift/daemon/metrics.h"
#include "nutmegdrift/daemon/relay_bridge.h"
#include "nutmegdrift/policy/retry_budget.h"
#include "nutmegdrift/proxy/run_once_filter.h"

#include <map>
#include <mutex>

namespace nutmegdrift::daemon {

/// Longest wait for the load that an engine reports.
inline constexpr std::chrono::milliseconds LoadTimeout{200};
/// Retries are at most this share of first tries in the window.
inline constexpr double RetryShare = 0.1;
inline constexpr std::chrono::seconds RetryWindow{10};
/// Retries in a window at any rate. Below one request a second the share alone
/// allows none, so one refused connection would reach a caller; three a window
/// are at most 0.3 requests/s more for each daemon.
inline constexpr std::uint64_t RetryFloor = 3;

/// Retries of all request threads within one budget.
class SharedRetryBudget final : public proxy::RetryPolicy {
public:
  SharedRetryBudget(const Clock &Clk, Metrics &Counts)
      : m_clock(Clk), m_metrics(Counts) {}

  void recordFirstTry() override {
    const std::scoped_lock Lock(m_mutex);
    m_budget.onFirstTry(m_clock.now());
  }
  bool takeRetry() override {
    const std::scoped_lock Lock(m_mutex);
    if (!m_budget.tryRetry(m_clock.now()))
      return false;
    m_metrics.countRetry();
    return true;
  }

private:
  const Clock &m_clock;
  Metrics &m_metrics;
  std::mutex m_mutex;
  /// Guarded by m_mutex.
  policy::RetryBudget m_budget{RetryShare, RetryWindow, RetryFloor};
};

/// Running requests by replica, from admission and from what engines report.
class EndpointCounts final : public control::RunningCounts {
public:
  explicit EndpointCounts(const proxy::Admission &Slots) : m_slots(Slots) {}

  std::size_t local(const config::ReplicaId &Id) override {
    return m_slots.running(Id);
  }
  std::optional<std::size_t> reported(const config::Replica &Replica) override {
    const auto Load = readLoad(Replica, LoadTimeout);
    if (!Load)
      return std::nullopt;
    return Load->Running;
  }

private:
  const proxy::Admission &m_slots;
};

/// Sends tickets to their home, or to the daemon that took over its table.
class HomeForwarder final : public proxy::TicketForwarder {
public:
  explicit HomeForwarder(RelaySender &Relays) : m_relays(Relays) {}

  void setSuccessor(const wire::TicketSuccessor &Message) {
    const std::scoped_lock Lock(m_mutex);
    m_successors[{Message.Home, Message.Boot}] = Message.Successor;
  }

  Result<void> forward(const proxy::RequestContext &Request,
                       proxy::ResponseSink &Sink) override {
    const auto To = answering(*Request.RunTicket);
    const auto Failure = errorOf([&] {
      return m_relays.forward(To, *Request.RunTicket, Request, Sink);
    });
    if (!Failure)
      return {};
    // The ticket may have run at its home before, so even a forward that was
    // not sent leaves the outcome unknown.
    if (Failure->Kind == ErrorKind::RelayRefused ||
        Failure->Kind == ErrorKind::PeerUnreachable)
      return fail(ErrorKind::HomeUnreachable,
                  To + " cannot be asked: " + Failure->Message);
    return fail(*Failure);
  }

private:
  DaemonName answering(const Ticket &Value) {
    const std::scoped_lock Lock(m_mutex);
    const auto Found = m_successors.find({Value.Home, Value.Boot});
    return Found == m_successors.end() ? Value.Home : Found->second;
  }

  RelaySender &m_relays;
  std::mutex m_mutex;
  std::map<std::pair<DaemonName, BootId>, DaemonName> m_successors;
};

/// Records keys in the platform.
class StoredKeys final : public proxy::KeyRecorder {
public:
  explicit StoredKeys(control::KeyStore &Keys) : m_keys(Keys) {}

  Result<void> record(const std::string &Workspace,
                      const std::string &Key) override {
    return m_keys.claim(Workspace, Key);
  }

private:
  control::KeyStore &m_keys;
};

/// Sends configuration messages over the peer network.
class ConfigLink final : public control::ConfigPeers {
public:
  ConfigLink(peer::PeerNetwork &Network, const Directory &Known)
      : m_network(Network), m_directory(Known) {}

  void offerAll(std::uint64_t Version) override {
    for (const auto &[Name, Address] : m_directory.peerAddresses())
      offer(Name, Version);
  }
  void offer(const DaemonName &To, std::uint64_t Version) override {
    post(To, wire::ConfigOffer{Version});
  }
  void fetch(const DaemonName &From, std::uint64_t HeldVersion) override {
    post(From, wire::ConfigFetch{HeldVersion});
  }
  void send(const DaemonName &To, const control::ConfigText &Body) override {
    post(To, wire::ConfigBody{Body.Version, Body.Text});
  }

private:
  /// A message that cannot be sent is lost, as the interface allows.
  void post(const DaemonName &To, const wire::Message &Message) {
    (void)errorOf([&] { return m_network.send(To, Message); });
  }

  peer::PeerNetwork &m_network;
  const Directory &m_directory;
};

} // namespace nutmegdrift::daemon

#endif
