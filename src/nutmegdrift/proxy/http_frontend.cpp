#include "nutmegdrift/proxy/http_frontend.h"

#include "http_sink.h"
#include "request_parser.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

namespace nutmegdrift::proxy {

namespace {

/// Handlers use little stack; the default of 8 MiB would count against the
/// memory of a small VM for each open stream.
constexpr int HandlerStackBytes = 256 * 1024;
constexpr int IdleThreadSeconds = 30;
constexpr int MinThreads = 8;
constexpr std::uint64_t MaxTicketsPerAnswer = 100;

Poco::Timespan timespan(std::chrono::milliseconds Value) {
  return {std::chrono::duration_cast<std::chrono::microseconds>(Value).count()};
}

nlohmann::json addressesJson(const std::vector<HostPort> &Addresses) {
  auto Out = nlohmann::json::array();
  for (const auto &Address : Addresses)
    Out.push_back({{"host", Address.Host}, {"port", Address.Port}});
  return Out;
}

std::string addressBody(const AddressAnswer &Answer) {
  nlohmann::json Body = {{"addresses", addressesJson(Answer.Addresses)},
                         {"valid_for_ms", Answer.ValidFor.count()}};
  if (Answer.TicketCount > 0) {
    std::string Boot =
        toString(Ticket{Answer.TicketHome, Answer.TicketBoot, 0});
    Boot = Boot.substr(Answer.TicketHome.size() + 1);
    Body["tickets"] = {{"home", Answer.TicketHome},
                       {"boot", Boot.substr(0, Boot.find('.'))},
                       {"first", Answer.TicketFirst},
                       {"count", Answer.TicketCount},
                       {"expires_ms", Answer.TicketExpiry.count()}};
  }
  return Body.dump();
}

} // namespace

/// Handles one HTTP request.
class FrontendRequest final : public Poco::Net::HTTPRequestHandler {
public:
  explicit FrontendRequest(HttpFrontend &Owner) : m_owner(Owner) {
    ++m_owner.m_active;
  }
  ~FrontendRequest() override { --m_owner.m_active; }
  FrontendRequest(const FrontendRequest &) = delete;
  FrontendRequest &operator=(const FrontendRequest &) = delete;

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const auto Id = makeRequestId(m_owner.m_self.Name, m_owner.m_self.Boot,
                                  m_owner.m_nextRequest++);
    if (m_owner.m_draining)
      Response.setKeepAlive(false);
    HttpSink Sink(m_owner.m_clock,
                  dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request),
                  Response, Id, m_owner.m_options.WriteTimeout,
                  m_owner.m_hooks.OtherAddresses);
    std::optional<RequestContext> Context;
    const auto Failure =
        errorOf([&] { return serve(Request, Id, Context, Sink); });
    if (Failure) {
      // The rest of an unread body would be taken for the next request.
      if (!Context)
        Response.setKeepAlive(false);
      logFailure(Id, Context, *Failure);
      Sink.abort(*Failure);
      if (!Context)
        Sink.discardRest();
    }
    if (Context)
      m_owner.m_hooks.Ended(*Context, Failure);
  }

private:
  Result<void> serve(Poco::Net::HTTPServerRequest &Request,
                     const std::string &Id,
                     std::optional<RequestContext> &Context, HttpSink &Sink) {
    if (m_owner.m_draining)
      return fail(ErrorKind::Draining, m_owner.m_self.Name + " is stopping");
    if (Request.getURI().starts_with("/v1/address"))
      return serveAddress(Request, Sink);
    BOOST_LEAF_AUTO(Parsed, parseRequest(Request, Id, m_owner.m_clock.now(),
                                         m_owner.m_options));
    Context = std::move(Parsed);
    Context->CallerGone = [&Sink] { return Sink.callerGone(); };
    m_owner.m_log.event("request.received",
                        {{"request", Id},
                         {"workspace", Context->Workspace},
                         {"target", toString(Context->What)}});
    const auto Config = m_owner.m_hooks.CurrentConfig();
    if (!Config)
      return fail(ErrorKind::NotReady, "no configuration yet");
    Exchange Current{*Context, Sink, Config};
    BOOST_LEAF_CHECK(m_owner.m_chain.run(Current));
    m_owner.m_log.event("request.answered",
                        {{"request", Id}, {"workspace", Context->Workspace}});
    return {};
  }

  Result<void> serveAddress(const Poco::Net::HTTPServerRequest &Request,
                            HttpSink &Sink) {
    std::string Workspace;
    std::optional<Target> What;
    std::uint64_t Tickets = 0;
    for (const auto &[Name, Value] :
         Poco::URI(Request.getURI()).getQueryParameters()) {
      if (Name == "workspace")
        Workspace = Value;
      else if (Name == "target")
        What = parseTarget(Value);
      else if (Name == "tickets")
        Tickets = std::min<std::uint64_t>(
            std::strtoull(Value.c_str(), nullptr, 10), MaxTicketsPerAnswer);
    }
    if (!isName(Workspace) || !What)
      return fail(ErrorKind::MalformedRequest,
                  "workspace=NAME and target=model:NAME or service:NAME "
                  "are needed");
    BOOST_LEAF_AUTO(Answer, m_owner.m_hooks.Address(Workspace, *What, Tickets));
    const auto Body = addressBody(Answer);
    BOOST_LEAF_CHECK(Sink.begin({.Status = 200,
                                 .ContentType = "application/json",
                                 .Length = Body.size()}));
    return Sink.write(Body);
  }

  void logFailure(const std::string &Id,
                  const std::optional<RequestContext> &Context,
                  const Error &Failure) {
    const auto &Answer = answerFor(Failure.Kind);
    m_owner.m_log.event(
        "request.failed",
        {{"request", Id},
         {"workspace", Context ? Context->Workspace : std::string("-")},
         {"error", std::string(Answer.Name)},
         {"state", std::string(toString(Answer.State))},
         {"detail", Failure.Message}});
  }

  HttpFrontend &m_owner;
};

namespace {

class FrontendFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit FrontendFactory(HttpFrontend &Owner) : m_owner(Owner) {}
  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new FrontendRequest(m_owner);
  }

private:
  HttpFrontend &m_owner;
};

} // namespace

HttpFrontend::HttpFrontend(const Clock &Clk, EventLog &Log, Identity Self,
                           FrontendOptions Options, const FilterChain &Chain,
                           FrontendHooks Hooks)
    : m_clock(Clk), m_log(Log), m_self(std::move(Self)),
      m_options(std::move(Options)), m_chain(Chain), m_hooks(std::move(Hooks)),
      m_threads(std::make_unique<Poco::ThreadPool>(
          MinThreads, std::max(MinThreads, m_options.MaxActiveRequests),
          IdleThreadSeconds, HandlerStackBytes)) {}

HttpFrontend::~HttpFrontend() { stop(std::chrono::milliseconds(0)); }

void HttpFrontend::start() {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(m_options.MaxActiveRequests);
  Params->setMaxQueued(m_options.MaxWaitingConnections);
  Params->setTimeout(timespan(m_options.ReadTimeout));
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(timespan(m_options.KeepAliveTimeout));
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress(m_options.Listen.Host, m_options.Listen.Port),
      m_options.MaxWaitingConnections);
  m_server = std::make_unique<Poco::Net::HTTPServer>(
      new FrontendFactory(*this), *m_threads, Socket, Params);
  m_server->start();
}

void HttpFrontend::drain() { m_draining = true; }

void HttpFrontend::stop(std::chrono::milliseconds Wait) {
  if (!m_server)
    return;
  const auto Limit = m_clock.now() + Wait;
  constexpr std::chrono::milliseconds Step{20};
  while (m_active.load() > 0 && m_clock.now() < Limit)
    Poco::Thread::sleep(Step.count());
  m_server->stop();
  m_server->stopAll(true);
  m_threads->joinAll();
  m_server.reset();
}

std::uint16_t HttpFrontend::port() const {
  return m_server ? m_server->port() : m_options.Listen.Port;
}

} // namespace nutmegdrift::proxy
