// HTTP on the admin port: metrics, health, events, status and stop.
#ifndef NUTMEGDRIFT_DAEMON_ADMIN_SERVER_H
#define NUTMEGDRIFT_DAEMON_ADMIN_SERVER_H

#include "nutmegdrift/base/identifiers.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServer;
} // namespace Poco::Net

namespace Poco {
class ThreadPool;
} // namespace Poco

namespace nutmegdrift::daemon {

struct AdminAnswer {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Query parameters of a request.
using AdminQuery = std::map<std::string, std::string>;
using AdminHandler = std::function<AdminAnswer(const AdminQuery &)>;

/// Serves a fixed set of paths with a few threads of its own, so that it
/// answers while all request threads are busy.
class AdminServer {
public:
  /// Keys are "METHOD /path".
  AdminServer(HostPort Listen, std::map<std::string, AdminHandler> Handlers);
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  /// Throws Poco::Exception if the port is taken.
  void start();
  void stop();
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] AdminAnswer answer(const std::string &Method,
                                   const std::string &Uri) const;

private:
  const HostPort m_listen;
  const std::map<std::string, AdminHandler> m_handlers;
  std::unique_ptr<Poco::ThreadPool> m_threads;
  std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace nutmegdrift::daemon

#endif
