// A replica answers a long request early, without a length, and crashes before
// the end of its answer.
//   case ROOT FOLDER RECORD STATE
//   case replica HOST ID FOLDER
#include "../common/lab.h"

#include <memory>

namespace {

using namespace review;

constexpr std::size_t RequestBytes = 2000000; ///< Below maxBodyBytes.
/// What the replica has read of a request when it begins its answer.
constexpr std::size_t ReadBefore = 65536;
constexpr std::size_t Blocks = 20;
constexpr std::size_t BlockBytes = 10000;
constexpr Millis BlockGap{50};
/// Blocks that are sent when the replica crashes.
constexpr Millis CrashAfter{500};
constexpr int Rounds = 3;
constexpr int Replicas = 3;
constexpr unsigned Slots = 6;
/// A replica that crashed is back after some seconds, with a new id.
constexpr Millis RestartTime{2000};

/// One connection of the replica. Answers with Blocks blocks, and reads the
/// rest of the request afterwards.
void serveEarly(int Socket, const std::string &Id, const std::string &Folder) {
  std::string Head;
  char Buffer[ReadBefore];
  while (Head.size() < ReadBefore) {
    const ssize_t Got = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Got <= 0)
      return;
    Head.append(Buffer, static_cast<std::size_t>(Got));
  }
  std::string Lower = Head.substr(0, Head.find("\r\n\r\n"));
  const std::size_t At = Lower.find(names::RequestId);
  if (At == std::string::npos)
    return;
  const std::size_t Begin = At + std::strlen(names::RequestId) + 2;
  const std::string Request =
      Lower.substr(Begin, Lower.find("\r\n", Begin) - Begin);
  std::ofstream(Folder + "/" + Request + ".run") << Id << std::endl;
  sendAll(Socket, std::string("HTTP/1.1 200 OK\r\n") + names::RequestId + ": " +
                      Request + "\r\n" + names::Signature +
                      ": whole-answer\r\nConnection: close\r\n\r\n");
  for (std::size_t I = 0; I < Blocks; ++I) {
    if (!sendAll(Socket, std::string(BlockBytes, 'a')))
      return;
    pauseFor(BlockGap);
  }
  // The whole answer is sent. What is left of the request is read, so that the
  // close of the channel is no reset.
  const auto Left = [&] {
    pollfd Waiting{.fd = Socket, .events = POLLIN, .revents = 0};
    return ::poll(&Waiting, 1, 300) > 0 &&
           ::recv(Socket, Buffer, sizeof(Buffer), 0) > 0;
  };
  while (Left())
    ;
}

int runReplica(char **Words) {
  const std::string Id = Words[3];
  const std::string Folder = Words[4];
  Server Listening(
      Words[2], [=](int Socket) { serveEarly(Socket, Id, Folder); },
      EthernetLink{});
  std::ofstream(Folder + "/" + Id + ".port") << Listening.port() << std::endl;
  for (;;)
    pauseFor(Millis(1000));
}

/// The first word of a file, once it is there; empty after 5 s.
std::string wordIn(const std::string &Path) {
  std::string Word;
  for (int Try = 0; Try < 100 && Word.empty(); ++Try) {
    std::ifstream(Path) >> Word;
    if (Word.empty())
      pauseFor(Millis(50));
  }
  return Word;
}

class Case {
public:
  explicit Case(char **Words)
      : m_where(settingOf(Words)), m_log(Words[3]), m_state(Words[4]),
        m_store(Setting::host(1)) {}

  int run() {
    m_store.put(names::StateKind, names::StateName, readJson(m_state));
    const auto Daemon = startDaemon(
        m_where, "d0",
        writeSettings(m_where, "d0", m_host, {m_host}, m_store.address()));
    if (!waitReady(m_host)) {
      m_log.line("the daemon doesn't get ready");
      return CouldNotRun;
    }
    for (int I = 0; I < Replicas; ++I)
      startReplica();
    int Whole = 0;
    int Broken = 0;
    for (int Round = 0; Round < Rounds && Broken == 0; ++Round) {
      pauseFor(RestartTime);
      const Message Answer = send("attempt" + std::to_string(Round));
      const bool Success = Answer.status() / 100 == 2 && Answer.Complete;
      const bool All = Answer.BodyBytes == Blocks * BlockBytes;
      Whole += Success && All ? 1 : 0;
      Broken += Success && !All ? 1 : 0;
    }
    m_log.line(std::to_string(Broken) +
               " successes with a part of the replica's body, " +
               std::to_string(Whole) + " with the whole body");
    if (!m_where.Trouble && Whole != Rounds && Broken == 0)
      return CouldNotRun;
    return Broken > 0 ? RuleBroken : RuleHeld;
  }

private:
  void startReplica() {
    const std::string Id = "i-" + std::to_string(m_started++);
    m_replicas[Id] = std::make_unique<Process>(
        std::vector<std::string>{"/proc/self/exe", "replica", Setting::host(2),
                                 Id, m_where.Folder},
        m_where.Folder + "/replica.log");
    m_store.putReplica(Id, "yard-app",
                       Setting::host(2) + ":" +
                           wordIn(m_where.Folder + "/" + Id + ".port"),
                       Slots);
  }

  /// The replica is gone, and another start of it comes.
  void crash(const std::string &Id) {
    m_replicas.erase(Id);
    m_log.line("replica " + Id + " crashes");
  }

  Message send(const std::string &Attempt) {
    const int Socket = connectTo(m_host, FrontPort);
    const std::string Body(RequestBytes, static_cast<char>('a' + m_started));
    sendAll(Socket, "POST /confirm/load HTTP/1.1\r\nHost: yard.example\r\n" +
                        std::string(names::RequestId) + ": " + Attempt +
                        "\r\n" + names::Deadline + ": 14000\r\n" +
                        names::Authorization + ": " + names::BearerPrefix +
                        "farmkey0001\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
    m_log.line("sent " + Attempt + ", " + std::to_string(Body.size()) +
               " bytes");
    const std::string Id = wordIn(m_where.Folder + "/" + Attempt + ".run");
    m_log.line(Attempt + " runs at replica " + Id);
    pauseFor(CrashAfter);
    if (m_where.Trouble)
      crash(Id);
    Message Answer;
    Reader In(Socket);
    In.DropBody = true;
    In.readMessage(Answer, false);
    ::close(Socket);
    m_log.line("answer to " + Attempt + ": '" + Answer.FirstLine +
               "', signature '" + Answer.field(names::Signature) + "', " +
               std::to_string(Answer.BodyBytes) + " bytes, " +
               (Answer.Complete ? "complete" : "visibly incomplete"));
    if (m_where.Trouble) {
      m_store.remove(names::ReplicaKind, Id);
      startReplica();
    }
    return Answer;
  }

  const Setting m_where;
  Record m_log;
  const std::string m_state;
  const std::string m_host = Setting::host(10);
  Store m_store;
  std::map<std::string, std::unique_ptr<Process>> m_replicas;
  int m_started = 0;
};

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count == 5 && std::string(Words[1]) == "replica")
    return runReplica(Words);
  if (Count != 5)
    return CouldNotRun;
  // Threads of connections may still use the case.
  auto *Running = new Case(Words);
  std::_Exit(Running->run());
}
