// Starts one of the project's programs for a process test.
#ifndef NUTMEGDRIFT_TESTS_SUPPORT_CHILD_PROCESS_H
#define NUTMEGDRIFT_TESTS_SUPPORT_CHILD_PROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::testing {

/// Where a program's standard output goes.
enum class ChildOutput {
  ToReader, ///< Read by listeningPort().
  ToLog,    ///< Into the log file, beside its standard error.
};

/// A running program; killed when destroyed. Its standard error goes to a
/// file.
class ChildProcess {
public:
  ChildProcess(const std::string &Program, const std::vector<std::string> &Args,
               const std::string &LogFile,
               ChildOutput Output = ChildOutput::ToReader);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;
  ChildProcess(const ChildProcess &) = delete;

  /// Reads "listening on 127.0.0.1:PORT" from standard output; 0 if it does
  /// not come within ten seconds.
  std::uint16_t listeningPort();

  void signal(int Number) const;
  /// Exit status, or minus the signal that ended it; nothing after SecondsMax.
  std::optional<int> wait(int SecondsMax);
  /// The same without waiting.
  std::optional<int> tryWait();
  [[nodiscard]] pid_t pid() const { return m_pid; }

private:
  pid_t m_pid = -1; ///< -1 once it was waited for.
  int m_output = -1;
};

/// A TCP port on the loopback interface that is free and that no other test
/// program and no outgoing connection takes.
std::uint16_t freePort();

} // namespace nutmegdrift::testing

#endif
