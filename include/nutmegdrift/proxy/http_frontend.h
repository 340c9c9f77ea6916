// The HTTP interface to callers: addresses, model requests, plain services.
#ifndef NUTMEGDRIFT_PROXY_HTTP_FRONTEND_H
#define NUTMEGDRIFT_PROXY_HTTP_FRONTEND_H

#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/proxy/filter_chain.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Poco::Net {
class HTTPServer;
} // namespace Poco::Net

namespace Poco {
class ThreadPool;
} // namespace Poco

namespace nutmegdrift::proxy {

/// Bounds of the caller port.
struct FrontendOptions {
  HostPort Listen;
  /// Requests served at once; one thread each.
  int MaxActiveRequests = 640;
  /// Connections waiting for a thread; further ones are closed.
  int MaxWaitingConnections = 256;
  std::size_t MaxBodyBytes = 512UL * 1024UL;
  /// Names and values of all header fields.
  std::size_t MaxHeaderBytes = 16UL * 1024UL;
  /// Silence of a caller that is sending its request.
  std::chrono::milliseconds ReadTimeout{10000};
  /// A caller that takes no byte for so long is given up.
  std::chrono::milliseconds WriteTimeout{10000};
  /// Idle connections hold a thread, so they are closed soon.
  std::chrono::milliseconds KeepAliveTimeout{2000};
  std::chrono::milliseconds DefaultDeadline{60000};
  std::chrono::milliseconds LongestRequest{120000};
};

/// Addresses and tickets for one caller, from the rest of the daemon.
struct AddressAnswer {
  std::vector<HostPort> Addresses; ///< Best first.
  std::chrono::milliseconds ValidFor{0};
  DaemonName TicketHome{};
  BootId TicketBoot = 0;
  std::uint64_t TicketFirst = 0;
  std::uint64_t TicketCount = 0;
  std::chrono::milliseconds TicketExpiry{0};
};

/// What the frontend needs from the rest of the daemon.
struct FrontendHooks {
  std::function<std::shared_ptr<const config::FleetConfig>()> CurrentConfig;
  /// Addresses for a workspace and target; Tickets is how many it asked for.
  std::function<Result<AddressAnswer>(
      const std::string &Workspace, const Target &What, std::uint64_t Tickets)>
      Address;
  /// Addresses that a refused caller can use instead of this daemon.
  std::function<std::vector<HostPort>()> OtherAddresses;
  /// Called once a request ended, with its error if it failed.
  std::function<void(const RequestContext &, const std::optional<Error> &)>
      Ended;
};

/// Identity of this daemon for request ids.
struct Identity {
  DaemonName Name;
  BootId Boot = 0;
};

/// Serves callers over HTTP and runs each request through the chain.
class HttpFrontend {
public:
  HttpFrontend(const Clock &Clk, EventLog &Log, Identity Self,
               FrontendOptions Options, const FilterChain &Chain,
               FrontendHooks Hooks);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend &) = delete;
  HttpFrontend &operator=(const HttpFrontend &) = delete;

  /// Starts listening. Throws Poco::Exception if the port is taken.
  void start();
  /// New requests are refused with other addresses from now on.
  void drain();
  /// Closes the port. Running requests end first or at Wait.
  void stop(std::chrono::milliseconds Wait);

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] int activeRequests() const { return m_active.load(); }

private:
  friend class FrontendRequest;

  const Clock &m_clock;
  EventLog &m_log;
  const Identity m_self;
  const FrontendOptions m_options;
  const FilterChain &m_chain;
  const FrontendHooks m_hooks;
  std::atomic<std::uint64_t> m_nextRequest{1};
  std::atomic<int> m_active{0};
  std::atomic<bool> m_draining{false};
  std::unique_ptr<Poco::ThreadPool> m_threads;
  std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// The JSON body of a refusal: error, state, retry_after_ms, request_id,
/// message, addresses.
std::string refusalBody(const Error &Failure, const std::string &RequestId,
                        const std::vector<HostPort> &Others);

} // namespace nutmegdrift::proxy

#endif
