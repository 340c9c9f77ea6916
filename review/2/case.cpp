// A grey replica runs requests and fails a part of them with 429, without the
// header that says "not run".
//   case ROOT FOLDER RECORD STATE
#include "../common/lab.h"

#include <memory>

namespace {

using namespace review;

constexpr int Replicas = 3;
constexpr unsigned Slots = 6;
constexpr Millis Work{15};
/// With the disruption, one replica fails this part of its requests.
constexpr double FailedPart = 0.45;
constexpr Millis GreyTime{6500};
/// Between two requests.
constexpr Millis Gap{100};

class Case {
public:
  explicit Case(char **Words)
      : m_where(settingOf(Words)), m_log(Words[3]), m_state(Words[4]),
        m_store(Setting::host(1)) {}

  int run() {
    m_store.put(names::StateKind, names::StateName, readJson(m_state));
    for (int I = 0; I < Replicas; ++I)
      startReplica(text("i-", I), m_where.Trouble && I == 0);
    const auto Daemon = startDaemon(
        m_where, "d0",
        writeSettings(m_where, "d0", m_host, {m_host}, m_store.address()));
    if (!waitReady(m_host)) {
      m_log.line("the daemon doesn't get ready");
      return CouldNotRun;
    }
    pauseFor(Millis(3500)); // In touch.
    const int Socket = connectTo(m_host, FrontPort);
    Reader In(Socket);
    int Answered = 0;
    int Requests = 0;
    const auto End = Steady::now() + GreyTime;
    for (; Steady::now() < End; ++Requests) {
      Answered += ask(Socket, In, text("attempt", Requests)) ? 1 : 0;
      pauseFor(Gap);
    }
    ::close(Socket);
    const std::scoped_lock Lock(m_mutex);
    const auto Twice =
        std::count_if(m_runs.begin(), m_runs.end(),
                      [](const auto &E) { return E.second > 1; });
    m_log.line(Requests, " requests, ", Answered, " with a success, ", Twice,
               " ran more than once");
    if (!m_where.Trouble && Answered != Requests)
      return CouldNotRun;
    return Twice > 0 ? RuleBroken : RuleHeld;
  }

private:
  void startReplica(const std::string &Id, bool Grey) {
    m_replicas.push_back(std::make_unique<Server>(
        Setting::host(2),
        [this, Id, Grey](int Socket) { serve(Socket, Id, Grey); }));
    m_store.putReplica(Id, "yard-app",
                       text(Setting::host(2), ":", m_replicas.back()->port()),
                       Slots);
  }

  void serve(int Socket, const std::string &Id, bool Grey) {
    Reader In(Socket);
    for (;;) {
      Message Request;
      if (!In.readMessage(Request, true))
        return;
      const std::string Attempt = Request.field(names::RequestId);
      const bool Fails = runs(Attempt, Id) && Grey;
      pauseFor(Work);
      const std::string Body = Fails ? "failed" : "confirmed";
      if (!sendAll(Socket,
                   text(Fails ? "HTTP/1.1 429 Too Many Requests\r\n"
                              : "HTTP/1.1 200 OK\r\n",
                        names::RequestId, ": ", Attempt, "\r\n",
                        names::Signature, ": ", Id,
                        "\r\nContent-Length: ", Body.size(), "\r\n\r\n", Body)))
        return;
    }
  }

  /// Notes the run; true for the part of the runs that a grey replica fails.
  bool runs(const std::string &Attempt, const std::string &Id) {
    const std::scoped_lock Lock(m_mutex);
    m_log.line("replica ", Id, " runs ", Attempt, ", for the ",
               ++m_runs[Attempt], ". time");
    const int Count = ++m_runsOf[Id];
    return static_cast<int>(Count * FailedPart) >
           static_cast<int>((Count - 1) * FailedPart);
  }

  bool ask(int Socket, Reader &In, const std::string &Attempt) {
    m_log.line("sent ", Attempt);
    sendAll(Socket,
            text("POST /confirm/load HTTP/1.1\r\nHost: yard.example\r\n",
                 names::RequestId, ": ", Attempt, "\r\n", names::Deadline,
                 ": 1500\r\n", names::Authorization, ": ", names::BearerPrefix,
                 "farmkey0001\r\nContent-Length: 4\r\n\r\nload"));
    Message Answer;
    In.readMessage(Answer, false);
    m_log.line("answer to ", Attempt, ": ", Answer.FirstLine, ", signature '",
               Answer.field(names::Signature), "'");
    return Answer.status() / 100 == 2;
  }

  const Setting m_where;
  Record m_log;
  const std::string m_state;
  const std::string m_host = Setting::host(10);
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;   ///< By attempt.
  std::map<std::string, int> m_runsOf; ///< By replica.
  Store m_store;
  std::vector<std::unique_ptr<Server>> m_replicas;
};

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 5)
    return CouldNotRun;
  // Threads of connections may still use the case.
  auto *Running = new Case(Words);
  std::_Exit(Running->run());
}
