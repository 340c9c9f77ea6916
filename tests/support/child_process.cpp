#include "child_process.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <thread>
#include <utility>

namespace nutmegdrift::testing {

namespace {

constexpr int OutputTimeoutMs = 10000;

} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Args,
                           const std::string &LogFile, ChildOutput Output) {
  std::array<int, 2> Pipe{};
  if (::pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("pipe failed");
  posix_spawn_file_actions_t Actions;
  ::posix_spawn_file_actions_init(&Actions);
  ::posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  constexpr mode_t Mode = 0644;
  ::posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO, LogFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, Mode);
  if (Output == ChildOutput::ToLog)
    ::posix_spawn_file_actions_adddup2(&Actions, STDERR_FILENO, STDOUT_FILENO);
  // Sockets of this process must not live on in the program.
  ::posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  std::vector<char *> Argv{const_cast<char *>(Program.c_str())};
  for (const auto &Arg : Args)
    Argv.push_back(const_cast<char *>(Arg.c_str()));
  Argv.push_back(nullptr);
  const int Failed = ::posix_spawn(&m_pid, Program.c_str(), &Actions, nullptr,
                                   Argv.data(), environ);
  ::posix_spawn_file_actions_destroy(&Actions);
  ::close(Pipe[1]);
  m_output = Pipe[0];
  if (Failed != 0)
    throw std::runtime_error("cannot start " + Program);
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : m_pid(std::exchange(Other.m_pid, -1)),
      m_output(std::exchange(Other.m_output, -1)) {}

ChildProcess::~ChildProcess() {
  if (m_pid > 0) {
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
  if (m_output >= 0)
    ::close(m_output);
}

std::uint16_t ChildProcess::listeningPort() {
  std::string Text;
  pollfd Poll{m_output, POLLIN, 0};
  while (Text.find('\n') == std::string::npos) {
    std::array<char, 256> Buffer{};
    if (::poll(&Poll, 1, OutputTimeoutMs) <= 0)
      return 0;
    const auto Got = ::read(m_output, Buffer.data(), Buffer.size());
    if (Got <= 0)
      return 0;
    Text.append(Buffer.data(), static_cast<std::size_t>(Got));
  }
  const auto Colon = Text.rfind(':');
  return Colon == std::string::npos
             ? 0
             : static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1)));
}

void ChildProcess::signal(int Number) const {
  if (m_pid > 0)
    ::kill(m_pid, Number);
}

std::optional<int> ChildProcess::wait(int SecondsMax) {
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(SecondsMax);
  while (m_pid > 0 && std::chrono::steady_clock::now() < Limit) {
    if (const auto Status = tryWait())
      return Status;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return std::nullopt;
}

std::optional<int> ChildProcess::tryWait() {
  int Status = 0;
  if (m_pid <= 0 || ::waitpid(m_pid, &Status, WNOHANG) != m_pid)
    return std::nullopt;
  m_pid = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

namespace {

/// Ports below the range from which the kernel gives ports to outgoing
/// connections, any of which could take a port before its daemon binds it.
constexpr std::uint16_t FirstPort = 12000;
constexpr std::uint16_t LastPort = 31999;

/// Claims the port among the test programs of this machine, until this process
/// ends. The claim is a name in the abstract socket namespace.
bool claimPort(std::uint16_t Port) {
  const auto Name = "nutmegdrift-test-port-" + std::to_string(Port);
  sockaddr_un Address{};
  Address.sun_family = AF_UNIX;
  Name.copy(Address.sun_path + 1, sizeof(Address.sun_path) - 1);
  const int Claim = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (Claim < 0)
    throw std::runtime_error("cannot make a socket");
  const auto Length = offsetof(sockaddr_un, sun_path) + 1 + Name.size();
  if (::bind(Claim, reinterpret_cast<const sockaddr *>(&Address),
             static_cast<socklen_t>(Length)) == 0)
    return true;
  ::close(Claim);
  return false;
}

bool bindable(std::uint16_t Port) {
  try {
    const Poco::Net::ServerSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", Port));
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

std::uint16_t freePort() {
  static std::uint16_t Next =
      FirstPort +
      static_cast<std::uint16_t>(::getpid() * 37 % (LastPort - FirstPort));
  for (int Tried = FirstPort; Tried <= LastPort; ++Tried) {
    Next = Next >= LastPort ? FirstPort : Next + 1;
    if (claimPort(Next) && bindable(Next))
      return Next;
  }
  throw std::runtime_error("no free port");
}

} // namespace nutmegdrift::testing
