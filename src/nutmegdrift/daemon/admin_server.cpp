#include "nutmegdrift/daemon/admin_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace nutmegdrift::daemon {

namespace {

constexpr int Threads = 4;
constexpr int WaitingConnections = 16;
constexpr int TimeoutSeconds = 5;

class AdminRequest final : public Poco::Net::HTTPRequestHandler {
public:
  explicit AdminRequest(const AdminServer &Owner) : m_owner(Owner) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const auto Answer = m_owner.answer(Request.getMethod(), Request.getURI());
    Response.setKeepAlive(false);
    Response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status));
    Response.setContentType(Answer.ContentType);
    Response.sendBuffer(Answer.Body.data(), Answer.Body.size());
  }

private:
  const AdminServer &m_owner;
};

class AdminFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit AdminFactory(const AdminServer &Owner) : m_owner(Owner) {}
  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new AdminRequest(m_owner);
  }

private:
  const AdminServer &m_owner;
};

} // namespace

AdminServer::AdminServer(HostPort Listen,
                         std::map<std::string, AdminHandler> Handlers)
    : m_listen(std::move(Listen)), m_handlers(std::move(Handlers)),
      m_threads(std::make_unique<Poco::ThreadPool>(1, Threads)) {}

AdminServer::~AdminServer() { stop(); }

void AdminServer::start() {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Threads);
  Params->setMaxQueued(WaitingConnections);
  Params->setTimeout(Poco::Timespan(TimeoutSeconds, 0));
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress(m_listen.Host, m_listen.Port));
  m_server = std::make_unique<Poco::Net::HTTPServer>(
      new AdminFactory(*this), *m_threads, Socket, Params);
  m_server->start();
}

void AdminServer::stop() {
  if (!m_server)
    return;
  m_server->stopAll(true);
  m_threads->joinAll();
  m_server.reset();
}

std::uint16_t AdminServer::port() const {
  return m_server ? m_server->port() : m_listen.Port;
}

AdminAnswer AdminServer::answer(const std::string &Method,
                                const std::string &Uri) const {
  AdminQuery Query;
  std::string Path = Uri;
  try {
    const Poco::URI Parsed(Uri);
    Path = Parsed.getPath();
    for (const auto &[Name, Value] : Parsed.getQueryParameters())
      Query[Name] = Value;
  } catch (const Poco::SyntaxException &) {
    return {.Status = 400, .Body = R"({"error":"malformed-request"})"};
  }
  const auto Found = m_handlers.find(Method + " " + Path);
  if (Found == m_handlers.end())
    return {.Status = 404, .Body = R"({"error":"not-found"})"};
  return Found->second(Query);
}

} // namespace nutmegdrift::daemon
