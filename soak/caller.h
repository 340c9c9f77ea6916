// A caller of the soak: asks where to connect, sends one request after the
// other over kept connections, and compares each answer with what it must be.
#ifndef NUTMEGDRIFT_SOAK_CALLER_H
#define NUTMEGDRIFT_SOAK_CALLER_H

#include "fleet.h"

#include "nutmegdrift/net/client_connection.h"

namespace nutmegdrift::soak {

class Caller {
public:
  Caller(Fleet &Of, unsigned Number);
  ~Caller();

  void start() { wait(Duration{0}); }
  /// Sends no more requests.
  void stop() { m_stopped = true; }

private:
  void wait(Duration Time);
  void sendNext();
  void askDirectory();
  [[nodiscard]] DaemonProcess &chooseDaemon();
  void onEnd();
  void finish(Ending How, const std::string &Detail);
  [[nodiscard]] Ending endingOf(std::string &Detail) const;

  Fleet &m_fleet;
  const std::string m_name;
  net::Timer m_timer;
  net::Timer m_patience;
  bool m_stopped = false;
  /// Fronts of the last directory answer; empty: any daemon.
  std::vector<HostPort> m_named;
  std::shared_ptr<net::ClientConnection> m_directory;
  TimePoint m_namedUntil{};
  std::map<std::string, std::shared_ptr<net::ClientConnection>> m_kept;

  // The request under way.
  std::shared_ptr<net::ClientConnection> m_connection;
  SentRequest m_request;
  net::HttpAnswerHead m_head;
  std::string m_body;
  unsigned m_count = 0;
};

} // namespace nutmegdrift::soak

#endif
