// Start, signals and end of a daemon.
#include "daemon_process.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace nutmegdrift::soak {

namespace {

// The same on every loopback address.
constexpr std::uint16_t FrontPort = 8783;
constexpr std::uint16_t ReadinessPort = 8780;
constexpr std::uint16_t DirectoryPort = 8789;
constexpr std::uint16_t InternalPort = 7400;
constexpr std::uint16_t MetricsPort = 9464;

} // namespace

DaemonProcess::DaemonProcess(net::EventLoop &Loop, const Clock &Clk,
                             Disturbances &Disturbed, PromiseChecker &Checker,
                             Options Traits)
    : m_clock(Clk), m_disturbed(Disturbed), m_checker(Checker),
      m_options(std::move(Traits)),
      m_callers(Loop, Clk, {.Host = m_options.Host, .Port = FrontPort}),
      m_store(Loop, Clk, m_options.Store), m_graceTimer(Loop) {
  m_callers.start(m_options.Host);
  m_store.start(m_options.Host);
  // Not running counts as a disturbance; start() ends it.
  m_disturbed.begin(name(), m_clock.now());
}

DaemonProcess::~DaemonProcess() = default;

HostPort DaemonProcess::front() const {
  return {.Host = m_options.Host, .Port = FrontPort};
}

HostPort DaemonProcess::directory() const {
  return {.Host = m_options.Host, .Port = DirectoryPort};
}

void DaemonProcess::writeSettings() const {
  const auto Port = [this](std::uint16_t Number) {
    return "\"" + toString(HostPort{.Host = m_options.Host, .Port = Number}) +
           "\"\n";
  };
  std::ofstream Out(m_options.Directory + "/" + name() + ".yaml");
  Out << "name: " << name() << "\nzone: " << m_options.Zone << "\nlisten:\n"
      << "  front: " << Port(FrontPort)
      << "  readiness: " << Port(ReadinessPort)
      << "  directory: " << Port(DirectoryPort)
      << "  internal: " << Port(InternalPort)
      << "  metrics: " << Port(MetricsPort) << "store: \""
      << toString(m_store.address())
      << "\"\nstore_history_s: 20\nprocessor_share: 0.25\nbounds:\n  "
         "key_revocation_ms: 5000\n"
      << "  stop_grace_ms: " << StopGrace.count() << "000\n"
      << "  directory_ttl_s: 2\n  retry_share: 0.2\n  retry_window_s: 10\n"
      << "  retry_floor: 56\nseeds:\n";
  for (const std::string &Each : m_options.Seeds)
    Out << "  - \"" << Each << ":" << InternalPort << "\"\n";
}

void DaemonProcess::start() {
  if (running())
    return;
  writeSettings();
  m_process.emplace(
      m_options.Program,
      std::vector<std::string>{"--settings",
                               m_options.Directory + "/" + name() + ".yaml"},
      m_options.Directory + "/" + name() + ".log",
      nutmegdrift::testing::ChildOutput::ToLog);
  m_paused = m_stopping = false;
  m_disturbed.end(name(), m_clock.now());
}

void DaemonProcess::startWhenStopped() {
  m_startAgain = m_stopping;
  start();
}

void DaemonProcess::ended() {
  m_process.reset();
  m_graceTimer.cancel();
  if (m_paused)
    m_disturbed.end(name(), m_clock.now());
  m_paused = m_stopping = false;
  m_disturbed.begin(name(), m_clock.now());
  if (std::exchange(m_startAgain, false))
    start();
}

void DaemonProcess::kill() {
  if (running())
    ended();
}

void DaemonProcess::terminate() {
  if (!running() || m_stopping)
    return;
  m_stopping = true;
  m_checker.stopping(name());
  m_process->signal(SIGTERM);
  m_graceTimer.callAfter(StopGrace, [this] { kill(); });
}

void DaemonProcess::pause() {
  if (!running() || m_paused)
    return;
  m_paused = true;
  m_disturbed.begin(name(), m_clock.now());
  m_process->signal(SIGSTOP);
}

void DaemonProcess::resume() {
  if (!running() || !m_paused)
    return;
  m_paused = false;
  m_process->signal(SIGCONT);
  m_disturbed.end(name(), m_clock.now());
}

void DaemonProcess::reload(std::vector<std::string> Seeds) {
  m_options.Seeds = std::move(Seeds);
  if (!running())
    return;
  writeSettings();
  m_process->signal(SIGHUP);
}

void DaemonProcess::poll() {
  if (!running())
    return;
  const auto Status = m_process->tryWait();
  if (!Status)
    return;
  if (!m_stopping || *Status != 0)
    ++m_unexplained;
  ended();
}

} // namespace nutmegdrift::soak
