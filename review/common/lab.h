// Stand-ins of the review: blocking sockets, HTTP messages, the platform's
// store, and processes. One thread a connection.
#ifndef NUTMEGDRIFT_REVIEW_LAB_H
#define NUTMEGDRIFT_REVIEW_LAB_H

#include "../../platform/names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace names = nutmegdrift::platform::names;
using Steady = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

inline void pauseFor(Millis Time) { std::this_thread::sleep_for(Time); }

/// The parts as one text.
template <class... Parts> std::string text(const Parts &...Each) {
  std::ostringstream Out;
  (Out << ... << Each);
  return Out.str();
}

/// What was sent, answered and run, one line each.
class Record {
public:
  explicit Record(const std::string &Path) : m_out(Path) {}

  template <class... Parts> void line(const Parts &...Each) {
    const std::scoped_lock Lock(m_mutex);
    m_out << elapsed() << " ms  " << text(Each...) << std::endl;
  }
  [[nodiscard]] long elapsed() const {
    return static_cast<long>(
        std::chrono::duration_cast<Millis>(Steady::now() - m_start).count());
  }

private:
  const Steady::time_point m_start = Steady::now();
  std::mutex m_mutex;
  std::ofstream m_out;
};

// --- Sockets ---------------------------------------------------------------

inline sockaddr_in addressOf(const std::string &Host, int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Host.c_str(), &Out.sin_addr);
  return Out;
}

/// A listening socket; -1 if the address can't be bound.
inline int listenOn(const std::string &Host, int Port = 0) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Host, Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Socket, SOMAXCONN) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

inline int portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// Segments as large as on an Ethernet link, and a window of WindowBytes.
/// Loopback's segments of 64 KB let the kernel keep 4 MB of a message.
struct EthernetLink {
  int WindowBytes = 65536;
  int SegmentBytes = 1460;

  void apply(int Socket) const {
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof(int));
    ::setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof(int));
  }
};

/// A connected socket, or -1.
inline int connectTo(const std::string &Host, int Port,
                     std::optional<EthernetLink> Link = std::nullopt) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Link)
    Link->apply(Socket);
  const sockaddr_in Address = addressOf(Host, Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(Socket);
    return -1;
  }
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

inline bool sendAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

// --- HTTP ------------------------------------------------------------------

/// A request or an answer.
struct Message {
  std::string FirstLine;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  std::size_t BodyBytes = 0; ///< Also of a body that was dropped.
  bool Complete = false;     ///< Ended as its framing says.
  bool ByLength = false;     ///< Has a length or chunks.
  bool Reset = false;        ///< The connection was reset.

  [[nodiscard]] std::string field(std::string_view Name) const {
    for (const auto &[Key, Value] : Headers)
      if (Key.size() == Name.size() &&
          ::strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
        return Value;
    return {};
  }
  [[nodiscard]] int status() const {
    return FirstLine.size() > 9 ? std::atoi(FirstLine.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string target() const {
    const std::size_t Begin = FirstLine.find(' ') + 1;
    return FirstLine.substr(Begin, FirstLine.find(' ', Begin) - Begin);
  }
  [[nodiscard]] std::string method() const {
    return FirstLine.substr(0, FirstLine.find(' '));
  }
};

/// Reads messages from a socket.
class Reader {
public:
  explicit Reader(int Socket) : m_socket(Socket) {}

  /// Bytes a second at which the socket is read; 0: as fast as possible.
  double Rate = 0.0;
  /// Bodies are counted and not kept.
  bool DropBody = false;

  /// The head of the next message; false if the connection ended before it.
  bool readHead(Message &Out) {
    std::size_t End = std::string::npos;
    while ((End = m_bytes.find("\r\n\r\n")) == std::string::npos)
      if (!more(Out))
        return false;
    std::istringstream Lines(m_bytes.substr(0, End));
    m_bytes.erase(0, End + 4);
    std::string Line;
    std::getline(Lines, Line);
    Out.FirstLine = trimmed(Line);
    while (std::getline(Lines, Line)) {
      const std::size_t Colon = Line.find(':');
      if (Colon != std::string::npos)
        Out.Headers.emplace_back(Line.substr(0, Colon),
                                 trimmed(Line.substr(Colon + 1)));
    }
    return true;
  }

  /// The body. Request: one without a length has none.
  void readBody(Message &Out, bool Request) {
    const std::string Length = Out.field("Content-Length");
    Out.ByLength = true;
    if (Out.field("Transfer-Encoding") == "chunked") {
      Out.Complete = readChunks(Out);
      return;
    }
    if (!Length.empty()) {
      Out.Complete = readBytes(Out, std::stoull(Length));
      return;
    }
    Out.ByLength = false;
    if (!Request) {
      do {
        keep(Out, m_bytes.size());
      } while (more(Out));
    }
    Out.Complete = !Out.Reset;
  }

  bool readMessage(Message &Out, bool Request) {
    if (!readHead(Out))
      return false;
    readBody(Out, Request);
    return true;
  }

private:
  static std::string trimmed(std::string Text) {
    while (!Text.empty() && (Text.back() == '\r' || Text.back() == ' '))
      Text.pop_back();
    while (!Text.empty() && Text.front() == ' ')
      Text.erase(0, 1);
    return Text;
  }

  bool more(Message &Out) {
    char Buffer[65536];
    const std::size_t Want = Rate > 0
                                 ? std::min<std::size_t>(sizeof(Buffer), 16384)
                                 : sizeof(Buffer);
    const ssize_t Got = ::recv(m_socket, Buffer, Want, 0);
    if (Got < 0)
      Out.Reset = true;
    if (Got <= 0)
      return false;
    m_bytes.append(Buffer, static_cast<std::size_t>(Got));
    if (Rate > 0)
      std::this_thread::sleep_for(
          std::chrono::duration<double>(static_cast<double>(Got) / Rate));
    return true;
  }

  void keep(Message &Out, std::size_t Count) {
    Out.BodyBytes += Count;
    if (!DropBody)
      Out.Body.append(m_bytes, 0, Count);
    m_bytes.erase(0, Count);
  }

  bool readBytes(Message &Out, std::size_t Count) {
    while (Count > 0) {
      const std::size_t Have = std::min(Count, m_bytes.size());
      keep(Out, Have);
      Count -= Have;
      if (Count > 0 && !more(Out))
        return false;
    }
    return true;
  }

  bool readChunks(Message &Out) {
    for (;;) {
      std::size_t End = std::string::npos;
      while ((End = m_bytes.find("\r\n")) == std::string::npos)
        if (!more(Out))
          return false;
      const std::size_t Size = std::stoull(m_bytes.substr(0, End), nullptr, 16);
      m_bytes.erase(0, End + 2);
      if (Size > 0 && !readBytes(Out, Size))
        return false;
      while (m_bytes.size() < 2)
        if (!more(Out))
          return false;
      m_bytes.erase(0, 2);
      if (Size == 0)
        return true;
    }
  }

  const int m_socket;
  std::string m_bytes;
};

/// Serves each connection on a thread of its own.
class Server {
public:
  using Handler = std::function<void(int Socket)>;

  Server(const std::string &Host, Handler OnConnection,
         std::optional<EthernetLink> Link = std::nullopt)
      : m_socket(listenOn(Host)), m_handler(std::move(OnConnection)) {
    if (Link)
      Link->apply(m_socket);
    std::thread([this] { accept(); }).detach();
  }
  [[nodiscard]] int port() const { return portOf(m_socket); }

private:
  void accept() {
    for (;;) {
      const int Socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([this, Socket] {
        m_handler(Socket);
        ::close(Socket);
      }).detach();
    }
  }

  const int m_socket;
  const Handler m_handler;
};

// --- The platform's store ----------------------------------------------------

/// Lists and watches of objects, as the pages describe them.
class Store {
public:
  using Json = nlohmann::json;

  explicit Store(const std::string &Host)
      : m_host(Host), m_server(Host, [this](int Socket) { serve(Socket); }) {}

  [[nodiscard]] std::string address() const {
    return m_host + ":" + std::to_string(m_server.port());
  }
  void put(const std::string &Kind, const std::string &Name, Json Spec) {
    const std::scoped_lock Lock(m_mutex);
    Json &Object = m_objects[Kind][Name];
    Object["specification"] = std::move(Spec);
    Object["metadata"] = {{"name", Name}, {"revision", ++m_revision}};
    m_events.push_back({Kind, m_revision, Object, false});
    m_changed.notify_all();
  }
  void remove(const std::string &Kind, const std::string &Name) {
    const std::scoped_lock Lock(m_mutex);
    Json Object = m_objects[Kind][Name];
    m_objects[Kind].erase(Name);
    Object["metadata"]["revision"] = ++m_revision;
    m_events.push_back({Kind, m_revision, Object, true});
    m_changed.notify_all();
  }
  /// A replica's entry.
  void putReplica(const std::string &Id, const std::string &Service,
                  const std::string &Address, unsigned Slots) {
    Json Spec{{"service", Service}, {"address", Address},
              {"zone", "z0"},       {"version", "v1"},
              {"slots", Slots},     {"state", "ready"},
              {"sequence", 1},      {"born", 1700000000000 + m_revision}};
    put(names::ReplicaKind, Id, std::move(Spec));
  }

private:
  struct Event {
    std::string Kind;
    std::uint64_t Revision;
    Json Object;
    bool Tombstone;
  };

  static std::optional<std::uint64_t> number(const std::string &Target,
                                             const std::string &Name) {
    const std::size_t Position = Target.find(Name + "=");
    if (Position == std::string::npos)
      return std::nullopt;
    return std::stoull(Target.substr(Position + Name.size() + 1));
  }

  Json changesAfter(const std::string &Kind, std::uint64_t After) const {
    Json Out = Json::array();
    for (const Event &Each : m_events)
      if (Each.Kind == Kind && Each.Revision > After)
        Out.push_back({{"object", Each.Object}, {"tombstone", Each.Tombstone}});
    return Out;
  }

  std::string answer(const std::string &Target) {
    std::unique_lock Lock(m_mutex);
    const std::string Path = Target.substr(0, Target.find('?'));
    const std::string Kind = Path.substr(std::strlen(names::ObjectsPath));
    if (const auto After = number(Target, "watch")) {
      const Millis Wait(number(Target, "waitMs").value_or(0));
      m_changed.wait_for(Lock, Wait,
                         [&] { return !changesAfter(Kind, *After).empty(); });
      return Json{{"events", changesAfter(Kind, *After)}, {"at", m_revision}}
          .dump();
    }
    Json Items = Json::array();
    for (const auto &[Name, Object] : m_objects[Kind])
      Items.push_back(Object);
    return Json{
        {"items", std::move(Items)}, {"hasMore", false}, {"at", m_revision}}
        .dump();
  }

  void serve(int Socket) {
    Reader In(Socket);
    for (;;) {
      Message Request;
      if (!In.readMessage(Request, true))
        return;
      const std::string Body = answer(Request.target());
      if (!sendAll(Socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                           "\r\nContent-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  const std::string m_host;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Json>> m_objects;
  std::vector<Event> m_events;
  std::uint64_t m_revision = 1;
  Server m_server;
};

// --- Processes ---------------------------------------------------------------

/// A process that the case started; killed when the object is destroyed.
class Process {
public:
  Process(const std::vector<std::string> &Command, const std::string &Log,
          const std::string &Variable = {}, const std::string &Value = {}) {
    m_id = ::fork();
    if (m_id != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case, however it ends.
    if (!Variable.empty())
      ::setenv(Variable.c_str(), Value.c_str(), 1);
    if (std::freopen(Log.c_str(), "a", stdout) == nullptr)
      ::_exit(127);
    ::dup2(STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> Words;
    for (const std::string &Word : Command)
      Words.push_back(const_cast<char *>(Word.c_str()));
    Words.push_back(nullptr);
    ::execv(Words[0], Words.data());
    ::_exit(127);
  }
  ~Process() { kill(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  [[nodiscard]] pid_t id() const { return m_id; }
  void signal(int Number) const {
    if (m_id > 0)
      ::kill(m_id, Number);
  }
  /// Whether the process still runs.
  bool running() {
    if (m_id > 0 && ::waitpid(m_id, &m_status, WNOHANG) == m_id)
      m_id = 0;
    return m_id > 0;
  }
  /// Status of the ended process, as waitpid() gives it.
  [[nodiscard]] int status() const { return m_status; }
  void kill() {
    if (!running())
      return;
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, &m_status, 0);
    m_id = 0;
  }

private:
  pid_t m_id = -1;
  int m_status = 0;
};

/// The folders and addresses of one case.
struct Setting {
  std::string Root;   ///< Of the repository.
  std::string Folder; ///< For logs and settings.
  bool Trouble = true;

  /// A loopback address of this run.
  [[nodiscard]] static std::string host(unsigned Number) {
    const auto Id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(16 + Id / 256 % 200) + "." +
           std::to_string(Id % 256) + "." + std::to_string(Number);
  }
};

inline constexpr int FrontPort = 8783;
inline constexpr int ReadinessPort = 8780;
inline constexpr int DirectoryPort = 8789;

/// Writes the settings of a daemon as platform/settings.yaml.tmpl has them,
/// with the figures of the site lsdf-rota.
inline std::string writeSettings(const Setting &Where, const std::string &Name,
                                 const std::string &Host,
                                 const std::vector<std::string> &Seeds,
                                 const std::string &StoreAddress) {
  const std::string Path = Where.Folder + "/" + Name + ".yaml";
  std::ofstream Out(Path);
  Out << "name: \"" << Name << "\"\nzone: \"z0\"\nlisten:\n"
      << "  front: \"" << Host << ":" << FrontPort << "\"\n"
      << "  readiness: \"" << Host << ":" << ReadinessPort << "\"\n"
      << "  directory: \"" << Host << ":" << DirectoryPort << "\"\n"
      << "  internal: \"" << Host << ":7400\"\n"
      << "  metrics: \"" << Host << ":9464\"\n"
      << "store: \"" << StoreAddress << "\"\nstore_history_s: 20\n"
      << "processor_share: 0.25\nmemory_mb: 260\ndescriptors: 4100\nseeds:\n";
  for (const std::string &Seed : Seeds)
    Out << "  - \"" << Seed << ":8785\"\n";
  Out << "bounds:\n  key_revocation_ms: 5000\n  store_catch_up_ms: 3000\n"
         "  revoke_when_partitioned: true\n  stop_grace_s: 8\n"
         "  directory_ttl_s: 2\n  retry_share: 0.2\n  retry_window_s: 10\n"
         "  retry_floor: 56\n  cold_overage: 1.5\n  trial_share: 0.1\n"
         "  trial_requests: 50\n";
  return Path;
}

/// Starts the daemon with the command of the deploy file.
inline std::unique_ptr<Process> startDaemon(const Setting &Where,
                                            const std::string &Name,
                                            const std::string &Settings) {
  return std::make_unique<Process>(
      std::vector<std::string>{Where.Root +
                               "/target/platform/nutmegd-platform"},
      Where.Folder + "/" + Name + ".log", "NUTMEGDRIFT_BOOT", Settings);
}

/// Waits until the daemon says that it is ready; false after 10 s.
inline bool waitReady(const std::string &Host) {
  const auto End = Steady::now() + std::chrono::seconds(10);
  while (Steady::now() < End) {
    const int Socket = connectTo(Host, ReadinessPort);
    if (Socket >= 0) {
      sendAll(Socket, std::string("GET ") + names::ReadinessPath +
                          " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      Message Answer;
      Reader(Socket).readMessage(Answer, false);
      ::close(Socket);
      if (Answer.status() == 200)
        return true;
    }
    pauseFor(Millis(50));
  }
  return false;
}

/// Reads a JSON document.
inline nlohmann::json readJson(const std::string &Path) {
  std::ifstream In(Path);
  return nlohmann::json::parse(In);
}

/// ROOT FOLDER; the variable TROUBLE=0 leaves out the disruption.
inline Setting settingOf(char **Words) {
  const char *Trouble = std::getenv("TROUBLE");
  return {.Root = Words[1],
          .Folder = Words[2],
          .Trouble = !Trouble || std::string(Trouble) != "0"};
}

} // namespace review

#endif
