// A small deployment on loopback: daemons as separate processes, and stand-ins
// for the platform's store, for replicas and for callers.
#ifndef NUTMEGDRIFT_REVIEW_6_LAB_H
#define NUTMEGDRIFT_REVIEW_6_LAB_H

#include "http.h"

#include "../../platform/names.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

namespace names = nutmegdrift::platform::names;
using nlohmann::json;

inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;
inline constexpr char Key[] = "asnmgkcuyj8pjbvk9m68";
inline constexpr char Host[] = "yard.example";

/// Lines with their time, for record.txt.
class Record {
public:
  void line(const std::string &Text) { lineAt(nowMs(), Text); }
  void lineAt(double Time, const std::string &Text) {
    const std::scoped_lock Lock(m_mutex);
    m_lines.emplace(Time, Text);
  }
  void write(const std::string &Path) {
    const std::scoped_lock Lock(m_mutex);
    std::ofstream Out(Path);
    for (const auto &[Time, Text] : m_lines) {
      char Stamp[32];
      std::snprintf(Stamp, sizeof Stamp, "%10.1f ms  ", Time);
      Out << Stamp << Text << "\n";
    }
  }

private:
  std::mutex m_mutex;
  std::multimap<double, std::string> m_lines;
};

/// The platform's store: objects, lists, watches and reports on roll-outs. Each
/// daemon has an address of its own, so that it can be turned away alone.
class Store {
public:
  Store(std::string Host, double StaleMs, Record &Out)
      : m_host(std::move(Host)), m_staleMs(StaleMs), m_record(Out) {}

  /// Address for one more machine.
  std::string addMachine() {
    auto &Added = m_machines.emplace_back(std::make_unique<Machine>());
    Machine *const Own = Added.get();
    Added->Listener = std::make_unique<Server>(
        m_host, [this, Own](const Message &Request, Channel &Peer) {
          return serve(*Own, Request, Peer);
        });
    return Added->Listener->address();
  }
  /// From now on the machine's calls get 503.
  void turnAway(std::size_t Machine) {
    m_machines[Machine]->Refused = true;
    m_machines[Machine]->Listener->dropConnections();
  }
  void accept(std::size_t Machine) { m_machines[Machine]->Refused = false; }

  /// The store answers nothing, to any machine, until it continues.
  void pause() { m_paused = true; }
  void resume() { m_paused = false; }

  /// Creates or replaces an object; returns the time of the ack.
  double put(const std::string &Kind, const std::string &Name, json Value) {
    const std::scoped_lock Lock(m_mutex);
    json &Object = m_objects[Kind][Name];
    Object["specification"] = std::move(Value);
    Object["metadata"] = {{"name", Name},
                          {"revision", ++m_revision},
                          {"createdAt", 1},
                          {"finalizers", json::array()},
                          {"deletionPending", false}};
    Object["status"] = Object.value("status", json());
    m_events.push_back({nowMs(), m_revision, Kind, Object, false});
    m_changed.notify_all();
    return m_events.back().Time;
  }
  double remove(const std::string &Kind, const std::string &Name) {
    const std::scoped_lock Lock(m_mutex);
    json Object = m_objects[Kind][Name];
    m_objects[Kind].erase(Name);
    Object["metadata"]["revision"] = ++m_revision;
    m_events.push_back({nowMs(), m_revision, Kind, Object, true});
    m_changed.notify_all();
    return m_events.back().Time;
  }
  void stop() {
    {
      const std::scoped_lock Lock(m_mutex);
      m_stopped = true;
      m_changed.notify_all();
    }
    for (const auto &Each : m_machines)
      Each->Listener->stop();
  }

private:
  struct Event {
    double Time;
    std::uint64_t Revision;
    std::string Kind;
    json Object;
    bool Tombstone;
  };
  struct Machine {
    std::unique_ptr<Server> Listener;
    std::atomic<bool> Refused = false;
  };

  static std::string parameter(const std::string &Query,
                               const std::string &Name) {
    const std::size_t At = ("&" + Query).find("&" + Name + "=");
    if (At == std::string::npos)
      return {};
    const std::size_t Begin = At + Name.size() + 1;
    return Query.substr(Begin, Query.find('&', Begin) - Begin);
  }
  static bool answer(Channel &Peer, int Status, const std::string &Body) {
    return Peer.send("HTTP/1.1 " + std::to_string(Status) +
                     " Status\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  bool serve(Machine &From, const Message &Request, Channel &Peer) {
    constexpr double AnswerMs = 4;
    sleepMs(AnswerMs);
    if (m_paused) {
      // The channel returns nothing further.
      while (Peer.fill(nowMs() + 1000) || !Peer.ended())
        if (m_stopped)
          break;
      return false;
    }
    if (From.Refused)
      return answer(Peer, 503, "");
    const std::string Target = Request.word(1);
    const std::size_t Mark = Target.find('?');
    const std::string Path = Target.substr(0, Mark);
    const std::string Query =
        Mark == std::string::npos ? "" : Target.substr(Mark + 1);
    const std::string Prefix = names::ObjectsPath;
    if (!Path.starts_with(Prefix) || Request.word(0) != "GET")
      return answer(Peer, 404, "");
    const std::string Kind = Path.substr(Prefix.size());
    const std::string Watch = parameter(Query, "watch");
    if (!Watch.empty())
      return watch(From, Kind, Query, std::stoull(Watch), Peer);
    const std::scoped_lock Lock(m_mutex);
    json Items = json::array();
    for (const auto &[Name, Object] : m_objects[Kind])
      Items.push_back(Object);
    return answer(
        Peer, 200,
        json{{"items", Items}, {"hasMore", false}, {"at", m_revision}}.dump());
  }

  bool watch(const Machine &From, const std::string &Kind,
             const std::string &Query, std::uint64_t After, Channel &Peer) {
    const double Behind = parameter(Query, "staleOk") == "1" ? m_staleMs : 0;
    const double Until = nowMs() + std::stod(parameter(Query, "waitMs"));
    json Events = json::array();
    std::uint64_t At = After;
    {
      std::unique_lock Lock(m_mutex);
      while (!m_stopped && !From.Refused) {
        const double Visible = nowMs() - Behind;
        for (const Event &Each : m_events) {
          if (Each.Time > Visible)
            break;
          At = std::max(At, Each.Revision);
          if (Each.Kind == Kind && Each.Revision > After)
            Events.push_back(
                {{"object", Each.Object}, {"tombstone", Each.Tombstone}});
        }
        if (!m_paused && (!Events.empty() || nowMs() >= Until))
          break;
        Events.clear();
        m_changed.wait_for(Lock, std::chrono::milliseconds(10));
      }
    }
    if (m_stopped || From.Refused)
      return false;
    return answer(Peer, 200, json{{"events", Events}, {"at", At}}.dump());
  }

  const std::string m_host;
  const double m_staleMs; ///< Age of the answers that may be old.
  Record &m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, json>> m_objects;
  std::deque<Event> m_events;
  std::uint64_t m_revision = 100;
  std::atomic<bool> m_stopped = false;
  std::atomic<bool> m_paused = false;
  std::vector<std::unique_ptr<Machine>> m_machines;
};

/// A request that reached a replica.
struct Arrival {
  double Time;
  std::string Id;
  bool CarriesKey; ///< The caller's key was passed on.
};

/// A plain service's replica.
class Replica {
public:
  Replica(const std::string &Host, std::string Id, double WorkMs, Record &Out)
      : m_id(std::move(Id)), m_workMs(WorkMs), m_record(Out),
        m_server(Host, [this](const Message &Request, Channel &Peer) {
          return serve(Request, Peer);
        }) {}

  [[nodiscard]] const std::string &id() const { return m_id; }
  [[nodiscard]] std::string address() const { return m_server.address(); }
  [[nodiscard]] std::vector<Arrival> arrivals() {
    const std::scoped_lock Lock(m_mutex);
    return m_arrivals;
  }
  /// The process exits.
  void exit() { m_server.stop(); }

private:
  bool serve(const Message &Request, Channel &Peer) {
    const std::string Id = Request.field(names::RequestId);
    const std::string Expected = Request.field(names::ExpectedReplica);
    if (!Expected.empty() && Expected != m_id)
      return reply(Peer, "421 Misdirected Request", Id, "");
    {
      const std::scoped_lock Lock(m_mutex);
      m_arrivals.push_back(
          {nowMs(), Id, !Request.field("Authorization").empty()});
    }
    m_record.line("replica " + m_id + " runs " + Id);
    sleepMs(m_workMs);
    return !m_server.stopped() && reply(Peer, "200 OK", Id, "done " + Id);
  }
  static bool reply(Channel &Peer, const std::string &Status,
                    const std::string &Id, const std::string &Body) {
    return Peer.send("HTTP/1.1 " + Status + "\r\n" + names::RequestId + ": " +
                     Id + "\r\n" + names::Signature +
                     ": 3e1b.07\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  const std::string m_id;
  const double m_workMs;
  Record &m_record;
  std::mutex m_mutex;
  std::vector<Arrival> m_arrivals;
  Server m_server;
};

/// A nutmegd-platform process, started with the command of the deploy file.
class Daemon {
public:
  struct Options {
    std::string Name;
    std::string Zone;
    std::string Host;
    std::string Store;
    std::vector<std::string> Seeds; ///< Hosts.
    std::string Directory;
    std::string Program;
  };
  static constexpr std::uint16_t FrontPort = 8783;
  static constexpr std::uint16_t ReadinessPort = 8780;

  Daemon(Options Traits, Record &Out)
      : m_options(std::move(Traits)), m_record(Out) {}
  ~Daemon() { kill(); }
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  [[nodiscard]] const std::string &name() const { return m_options.Name; }
  [[nodiscard]] const std::string &host() const { return m_options.Host; }

  void start() {
    const std::string Settings = m_options.Directory + "/" + name() + ".yaml";
    writeSettings(Settings);
    const std::string Log = m_options.Directory + "/" + name() + ".log";
    m_process = ::fork();
    if (m_process == 0) {
      // Also if the case itself is killed at its time limit.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      const std::string Boot = "NUTMEGDRIFT_BOOT=" + Settings;
      std::string Path = "PATH=/usr/bin:/bin";
      std::string Variable = Boot;
      char *Environment[] = {Variable.data(), Path.data(), nullptr};
      char *Arguments[] = {m_options.Program.data(), nullptr};
      ::execve(m_options.Program.c_str(), Arguments, Environment);
      ::_exit(127);
    }
    m_record.line("start " + name());
  }
  void signal(int Number, const std::string &Text) {
    m_record.line(Text + " " + name());
    ::kill(m_process, Number);
  }
  /// Sends SIGKILL and waits for the end.
  void kill() {
    if (m_process <= 0)
      return;
    m_record.line("SIGKILL " + name());
    ::kill(m_process, SIGCONT);
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = 0;
  }
  /// Whether the process has ended by itself.
  bool ended() {
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
      m_process = 0;
    return m_process == 0;
  }
  [[nodiscard]] bool ready() const {
    Channel Peer(Channel::connectTo(host(), ReadinessPort));
    constexpr double Patience = 500;
    if (!Peer.open() || !Peer.send(std::string("GET ") + names::ReadinessPath +
                                   " HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    const auto Answer = Peer.read(nowMs() + Patience);
    return Answer && Answer->status() == 200;
  }
  bool waitReady(double Until) const {
    while (!ready()) {
      if (nowMs() > Until)
        return false;
      sleepMs(20);
    }
    return true;
  }

private:
  void writeSettings(const std::string &Path) const {
    const auto At = [this](int Port) {
      return "\"" + host() + ":" + std::to_string(Port) + "\"\n";
    };
    std::ofstream Out(Path);
    Out << "name: \"" << name() << "\"\nzone: \"" << m_options.Zone
        << "\"\nlisten:\n  front: " << At(FrontPort)
        << "  readiness: " << At(ReadinessPort) << "  directory: " << At(8789)
        << "  internal: " << At(7400) << "  metrics: " << At(9464)
        << "store: \"" << m_options.Store << "\"\n"
        << "store_history_s: 20\nprocessor_share: 0.25\nmemory_mb: 260\n"
        << "descriptors: 4100\nseeds:\n";
    for (const std::string &Each : m_options.Seeds)
      Out << "  - \"" << Each << ":8785\"\n";
    Out << "bounds:\n  key_revocation_ms: 5000\n  store_catch_up_ms: 3000\n"
        << "  revoke_when_partitioned: true\n  stop_grace_s: 8\n"
        << "  directory_ttl_s: 2\n  retry_share: 0.2\n  retry_window_s: 10\n"
        << "  retry_floor: 56\n  cold_overage: 1.5\n  trial_share: 0.1\n"
        << "  trial_requests: 50\n";
  }

  Options m_options;
  Record &m_record;
  pid_t m_process = 0;
};

/// What a caller saw of one request.
struct Outcome {
  double Sent;
  double Answered;
  std::string Id;
  int Status; ///< 0: the channel ended without an answer.
};

/// Sends requests to one daemon, one after another on a kept channel.
class Caller {
public:
  Caller(const Daemon &Target, std::string Name, std::string Path,
         double PauseMs, Record &Out)
      : m_host(Target.host()), m_name(std::move(Name)), m_path(std::move(Path)),
        m_pauseMs(PauseMs), m_record(Out), m_thread([this] { run(); }) {}
  ~Caller() { stop(); }
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  void stop() {
    m_stopped = true;
    if (m_thread.joinable())
      m_thread.join();
  }
  [[nodiscard]] const std::vector<Outcome> &outcomes() const {
    return m_outcomes;
  }

private:
  void run() {
    std::unique_ptr<Channel> Peer;
    for (int Count = 0; !m_stopped; ++Count) {
      sleepMs(m_pauseMs);
      if (!Peer || !Peer->open())
        Peer = std::make_unique<Channel>(
            Channel::connectTo(m_host, Daemon::FrontPort));
      if (!Peer->open())
        continue;
      const std::string Id = m_name + "-" + std::to_string(Count);
      constexpr double DeadlineMs = 2500;
      const double Sent = nowMs();
      Peer->send("POST " + m_path + Id + " HTTP/1.1\r\nHost: " + Host + "\r\n" +
                 names::RequestId + ": " + Id + "\r\n" + names::Deadline +
                 ": 2500\r\nAuthorization: Bearer " + Key +
                 "\r\nContent-Length: 4\r\n\r\npay!");
      const auto Answer = Peer->read(Sent + DeadlineMs);
      const int Status = Answer ? Answer->status() : 0;
      m_outcomes.push_back({Sent, nowMs(), Id, Status});
      m_record.lineAt(Sent, "caller sends " + Id);
      m_record.line("caller gets " + std::to_string(Status) + " for " + Id);
      if (!Answer || Answer->field("Connection") == "close")
        Peer.reset();
    }
  }

  const std::string m_host;
  const std::string m_name;
  const std::string m_path;
  const double m_pauseMs;
  Record &m_record;
  std::atomic<bool> m_stopped = false;
  std::vector<Outcome> m_outcomes;
  std::thread m_thread;
};

/// Eight machines in three zones, as in the small deployments.
struct Fleet {
  std::vector<std::unique_ptr<Daemon>> Daemons;

  Fleet(const std::string &Network, Store &Platform,
        const std::string &Directory, const std::string &Program, Record &Out) {
    const char *const Machines[] = {"a-1", "a-2", "a-3", "b-1",
                                    "b-2", "b-3", "c-1", "c-2"};
    const std::vector<std::string> Seeds = {Network + ".1", Network + ".4",
                                            Network + ".7"};
    int Number = 0;
    for (const char *Each : Machines)
      Daemons.push_back(std::make_unique<Daemon>(
          Daemon::Options{.Name = std::string("front-tx-central-") + Each,
                          .Zone = std::string("tx-central-") + Each[0],
                          .Host = Network + "." + std::to_string(++Number),
                          .Store = Platform.addMachine(),
                          .Seeds = Seeds,
                          .Directory = Directory,
                          .Program = Program},
          Out));
  }
  void start() {
    for (const auto &Each : Daemons)
      Each->start();
  }
  [[nodiscard]] bool waitReady(double Until) const {
    return std::all_of(Daemons.begin(), Daemons.end(), [&](const auto &Each) {
      return Each->waitReady(Until);
    });
  }
};

/// The network of this run: 127.X.Y, so that two runs don't share addresses.
inline std::string ownNetwork() {
  const int Process = ::getpid();
  return "127." + std::to_string(64 + Process % 128) + "." +
         std::to_string(Process / 128 % 250 + 1);
}

/// Arguments: folder of the case, folder for logs, program.
struct Arguments {
  std::string Case;
  std::string Logs;
  std::string Program;
  bool Trouble = true;

  static Arguments parse(int Count, char **Values) {
    if (Count != 4) {
      std::fprintf(stderr, "usage: case FOLDER LOGS PROGRAM\n");
      std::exit(CouldNotRun); // NOLINT(concurrency-mt-unsafe)
    }
    const char *Trouble =
        std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    return {.Case = Values[1],
            .Logs = Values[2],
            .Program = Values[3],
            .Trouble = !Trouble || std::string(Trouble) != "0"};
  }
};

inline json readDeployment(const Arguments &Run) {
  std::ifstream In(Run.Case + "/../6/state.json");
  return json::parse(In);
}

} // namespace review

#endif
