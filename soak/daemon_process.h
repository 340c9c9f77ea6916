// One nutmegd-platform process of the soak, with faulty links to its callers
// and to the store.
#ifndef NUTMEGDRIFT_SOAK_DAEMON_PROCESS_H
#define NUTMEGDRIFT_SOAK_DAEMON_PROCESS_H

#include "faulty_link.h"
#include "promise_checker.h"

#include "support/child_process.h"

namespace nutmegdrift::soak {

class DaemonProcess {
public:
  /// From SIGTERM to SIGKILL.
  static constexpr std::chrono::seconds StopGrace{8};

  static constexpr char BuiltProgram[] =
      NUTMEGDRIFT_BINARIES "/platform/nutmegd-platform";

  struct Options {
    std::string Name;
    std::string Host; ///< A loopback address of its own.
    std::string Zone;
    std::vector<std::string> Seeds; ///< Hosts of other daemons.
    HostPort Store;
    std::string Directory; ///< For settings and logs.
    std::string Program;
  };

  DaemonProcess(net::EventLoop &Loop, const Clock &Clk, Disturbances &Disturbed,
                PromiseChecker &Checker, Options Traits);
  ~DaemonProcess();

  void start();
  /// Starts the process now or, if it is stopping, once it has ended.
  void startWhenStopped();
  /// Ends the process at once.
  void kill();
  /// Sends SIGTERM, and SIGKILL after the grace.
  void terminate();
  void pause();
  void resume();
  /// Writes the settings anew, with other seeds, and sends SIGHUP.
  void reload(std::vector<std::string> Seeds);
  /// Notices an end; call regularly. A process that ends without a signal of
  /// the soak is an error.
  void poll();

  [[nodiscard]] bool running() const { return m_process.has_value(); }
  [[nodiscard]] bool paused() const { return m_paused; }
  [[nodiscard]] bool stopping() const { return m_stopping; }
  [[nodiscard]] const std::string &name() const { return m_options.Name; }
  [[nodiscard]] const std::string &host() const { return m_options.Host; }
  [[nodiscard]] HostPort front() const;
  [[nodiscard]] HostPort directory() const;
  /// Between callers and the daemon.
  [[nodiscard]] FaultyLink &callers() { return m_callers; }
  /// Between the daemon and the store.
  [[nodiscard]] FaultyLink &store() { return m_store; }
  /// Ends that no signal explains.
  [[nodiscard]] unsigned unexplainedEnds() const { return m_unexplained; }

private:
  void writeSettings() const;
  void ended();

  const Clock &m_clock;
  Disturbances &m_disturbed;
  PromiseChecker &m_checker;
  Options m_options;
  FaultyLink m_callers;
  FaultyLink m_store;
  net::Timer m_graceTimer;
  std::optional<nutmegdrift::testing::ChildProcess> m_process;
  bool m_paused = false;
  bool m_stopping = false;
  bool m_startAgain = false; ///< Once it has ended.
  unsigned m_unexplained = 0;
};

} // namespace nutmegdrift::soak

#endif
