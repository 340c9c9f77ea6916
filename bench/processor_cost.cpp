// Counts what each kind of request costs one nutmegd-platform: system calls
// (strace) and instructions (valgrind). It drives a daemon against stand-ins
// and compares with a daemon that served nothing for the same time.
//   processor_cost [--requests N] [--daemon PROGRAM] [--folder FOLDER]
#include "fake_store.h"
#include "sample_deployment.h"

#include "nutmegdrift/net/client_connection.h"
#include "support/child_process.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <regex>

namespace {

using namespace nutmegdrift;
using namespace std::chrono_literals;
namespace names = platform::names;

/// Time in which the requests of a kind are sent, evenly spread.
constexpr Duration LoadTime = 4s;
/// Between the events of an answer; longer than the daemon needs for one, so
/// that each is read by itself.
constexpr Duration EventGap = 8ms;
constexpr Duration PlainWork = 5ms;
constexpr int StopSeconds = 60;
constexpr unsigned KvTokens = 100'000;
constexpr char Key[] = "k";

struct Kind {
  const char *Name;
  bool Model = false;
  int Events = 0;            ///< Of the answer to a model request.
  bool UnknownKey = false;   ///< Refused when the header has been read.
  std::uint32_t Tokens = 10; ///< Of the prompt.
  bool OwnConnection = false;
  bool Sends = true;
  int LoadTimes = 1; ///< How often LoadTime lasts.
};

constexpr int FewEvents = 2;
constexpr int ManyEvents = 12;

const std::vector<Kind> &kinds() {
  static const std::vector<Kind> All = {
      {.Name = "nothing", .Sends = false},
      {.Name = "nothing, twice the time", .Sends = false, .LoadTimes = 2},
      {.Name = "plain"},
      {.Name = "plain, own connection", .OwnConnection = true},
      {.Name = "model, 2 events", .Model = true, .Events = FewEvents},
      {.Name = "model, 12 events", .Model = true, .Events = ManyEvents},
      {.Name = "refused on arrival", .UnknownKey = true},
      {.Name = "refused, own connection",
       .UnknownKey = true,
       .OwnConnection = true},
      {.Name = "refused by dispatcher",
       .Model = true,
       .Events = FewEvents,
       .Tokens = 2 * KvTokens},
  };
  return All;
}

struct Tool {
  const char *Name;
  Duration Startup; ///< Until the daemon surely serves.
  std::vector<std::string> (*Arguments)(const std::string &Output);
  double (*Read)(const std::string &Output);
};

std::string contentOf(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

double lastNumber(const std::string &Text, const char *Pattern) {
  double Last = 0.0;
  const std::regex Wanted(Pattern);
  for (std::sregex_iterator It(Text.begin(), Text.end(), Wanted), End;
       It != End; ++It)
    Last = std::stod((*It)[1]);
  return Last;
}

const Tool Strace{.Name = "strace",
                  .Startup = 3s,
                  .Arguments =
                      [](const std::string &Output) {
                        return std::vector<std::string>{
                            "-D", "-f", "-c", "-U", "calls,name", "-o", Output};
                      },
                  .Read =
                      [](const std::string &Output) {
                        return lastNumber(contentOf(Output), "([0-9]+) +total");
                      }};

const Tool Callgrind{
    .Name = "valgrind",
    .Startup = 8s,
    .Arguments =
        [](const std::string &Output) {
          return std::vector<std::string>{"--tool=callgrind",
                                          "--callgrind-out-file=" + Output};
        },
    .Read =
        [](const std::string &Output) {
          return lastNumber(contentOf(Output), "totals: ([0-9]+)");
        }};

routing::DesiredState sampleDesiredState() {
  routing::DesiredState State{
      .Version = 1,
      .Services = {{.Name = "app", .ConnectionLimit = 100},
                   {.Name = "llm",
                    .ConnectionLimit = 100,
                    .Engine = {{.Slots = 16, .KvTokens = KvTokens}}}},
      .Workspaces = {{{.Name = "w", .Keys = {Key}}}},
      .Limits = {}};
  State.Routes = {{.Name = "plain",
                   .Host = platform::SampleHost,
                   .PathPrefix = "/a/",
                   .Kind = routing::RequestKind::Idempotent,
                   .Timeout = 10s,
                   .FirstByteTarget = 500ms,
                   .Shares = {{.Service = "app"}},
                   .MaxReplicas = 2},
                  {.Name = "model",
                   .Host = platform::SampleHost,
                   .PathPrefix = "/m/",
                   .Kind = routing::RequestKind::Stream,
                   .Timeout = 60s,
                   .FirstByteTarget = 500ms,
                   .Shares = {{.Service = "llm"}},
                   .MaxReplicas = 2}};
  return State;
}

/// Answers requests to either service.
class Replica {
public:
  Replica(net::EventLoop &Loop, const Clock &Clk, int Events)
      : m_loop(Loop), m_events(Events),
        m_server(Loop, Clk,
                 [this](const std::shared_ptr<net::ServerExchange> &Exchange) {
                   answer(Exchange);
                 }) {
    m_server.listen({.Host = "127.0.0.1", .Port = 0});
  }
  [[nodiscard]] routing::ReplicaRecord record(const char *Service) const {
    return {.Id = std::string("i-") + Service,
            .Service = Service,
            .Address = {.Host = "127.0.0.1", .Port = m_server.port()},
            .Zone = "z",
            .Version = "v1",
            .Slots = 16};
  }

private:
  void answer(const std::shared_ptr<net::ServerExchange> &Exchange) {
    const net::HttpRequest &Request = Exchange->request();
    net::HeaderList Headers{
        {names::RequestId,
         std::string(Request.Headers.find(names::RequestId).value_or(""))},
        {names::Signature, "s"}};
    const auto Pause = std::make_shared<net::Timer>(m_loop);
    if (Request.Target.starts_with("/m/")) {
      Headers.add("Content-Type", "text/event-stream");
      Pause->callAfter(EventGap, [this, Exchange, Pause, Headers] {
        Exchange->begin(200, Headers, std::nullopt);
        sendEvents(Exchange, Pause, m_events);
      });
      return;
    }
    Pause->callAfter(PlainWork, [Exchange, Pause, Headers] {
      Exchange->answer(200, Headers, "sound");
    });
  }

  void sendEvents(const std::shared_ptr<net::ServerExchange> &Exchange,
                  const std::shared_ptr<net::Timer> &Pause, int Left) {
    if (Left == 0) {
      Exchange->finish();
      return;
    }
    Exchange->write("data: a token of the answer\n\n");
    Pause->callAfter(EventGap, [this, Exchange, Pause, Left] {
      sendEvents(Exchange, Pause, Left - 1);
    });
  }

  net::EventLoop &m_loop;
  const int m_events;
  net::HttpServer m_server;
};

/// One daemon with its stand-ins, and the callers of one kind.
class Trial {
public:
  Trial(net::EventLoop &Loop, const Clock &Clk, const Kind &Sent, int Requests,
        std::string Folder)
      : m_loop(Loop), m_clock(Clk), m_kind(Sent), m_requests(Requests),
        m_folder(std::move(Folder)), m_store(Loop, Clk),
        m_replica(Loop, Clk, Sent.Events), m_pace(Loop) {
    std::filesystem::create_directories(m_folder);
    m_store.start();
    m_store.put(names::StateKind, names::StateName,
                platform::sampleState(sampleDesiredState()));
    for (const char *Service : {"app", "llm"}) {
      const auto Record = m_replica.record(Service);
      m_store.put(names::ReplicaKind, Record.Id,
                  platform::sampleReplica(Record));
    }
  }

  void start(const Tool &Used, const std::string &Daemon) {
    ::setenv("NUTMEGDRIFT_BOOT", writeSettings().c_str(), 1);
    std::vector<std::string> Words = Used.Arguments(output());
    Words.push_back(Daemon);
    m_daemon.emplace(std::string("/usr/bin/") + Used.Name, Words,
                     m_folder + "/daemon.log", testing::ChildOutput::ToLog);
  }

  void sendAll() {
    if (!m_kind.Sends || m_sent == m_requests)
      return;
    m_pace.callAfter(LoadTime / m_requests, [this] { sendAll(); });
    send();
  }
  void signal(int Number) { m_daemon->signal(Number); }
  bool wait() { return m_daemon->wait(StopSeconds).has_value(); }

  [[nodiscard]] std::string output() const { return m_folder + "/counts"; }
  [[nodiscard]] const std::map<int, int> &statuses() const {
    return m_statuses;
  }

private:
  std::string writeSettings() {
    std::string Path = m_folder + "/settings.yaml";
    std::ofstream Out(Path);
    Out << "name: d0\nzone: z\nlisten:\n";
    for (const char *Name :
         {"front", "readiness", "directory", "internal", "metrics"}) {
      const HostPort Address{.Host = "127.0.0.1", .Port = testing::freePort()};
      Out << "  " << Name << ": \"" << toString(Address) << "\"\n";
      if (std::string(Name) == "front")
        m_front = Address;
    }
    Out << "store: \"" << toString(m_store.address())
        << "\"\nprocessor_share: 0.25\nmemory_mb: 260\ndescriptors: 4100\n"
           "bounds:\n  retry_floor: 56\n";
    return Path;
  }

  std::shared_ptr<net::ClientConnection> connection() {
    if (!m_kind.OwnConnection)
      for (const auto &Each : m_connections)
        if (Each->reusable())
          return Each;
    m_connections.push_back(
        std::make_shared<net::ClientConnection>(m_loop, m_clock, m_front));
    return m_connections.back();
  }

  void send() {
    const std::string Id = "id" + std::to_string(++m_sent);
    const net::HttpRequest Request = platform::sampleRequest(
        {.Id = Id,
         .Target = m_kind.Model ? "/m/x" : "/a/x",
         .Key = m_kind.UnknownKey ? "unknown" : Key,
         .Deadline = 8s,
         .Prompt =
             m_kind.Model
                 ? std::vector<routing::PromptPart>{{.Id = 7,
                                                     .Tokens = m_kind.Tokens}}
                 : std::vector<routing::PromptPart>(),
         .OutputTokens = 20});
    const auto Used = connection();
    const auto Status = std::make_shared<int>(0);
    const auto Ended = [this, Status, Used] {
      ++m_statuses[*Status];
      if (m_kind.OwnConnection)
        boost::asio::post(m_loop, [Used] { Used->close(); });
    };
    Used->send(net::serialise(Request), 1s,
               {.OnHead =
                    [Status](const net::HttpAnswerHead &Head) {
                      *Status = Head.Status;
                    },
                .OnBody = [](std::string_view) {},
                .OnEnd = Ended,
                .OnFailure = [Ended](net::ClientFailure) { Ended(); }});
  }

  net::EventLoop &m_loop;
  const Clock &m_clock;
  const Kind m_kind;
  const int m_requests;
  const std::string m_folder;
  platform::FakeStore m_store;
  Replica m_replica;
  net::Timer m_pace;
  std::optional<testing::ChildProcess> m_daemon;
  HostPort m_front;
  std::vector<std::shared_ptr<net::ClientConnection>> m_connections;
  int m_sent = 0;
  std::map<int, int> m_statuses; ///< Answers by status; 0: none.
};

using Counts = std::map<std::string, double>;

/// Runs all kinds at once, each with a daemon of its own.
Counts run(const Tool &Used, const std::string &Daemon, int Requests,
           const std::string &Folder) {
  net::EventLoop Loop(1);
  SystemClock Clk;
  std::vector<std::unique_ptr<Trial>> Trials;
  for (const Kind &Each : kinds())
    Trials.push_back(std::make_unique<Trial>(
        Loop, Clk, Each, Requests,
        Folder + "/" + Used.Name + std::to_string(Trials.size())));
  for (const auto &Each : Trials)
    Each->start(Used, Daemon);
  Loop.run_for(Used.Startup);
  for (const auto &Each : Trials)
    Each->sendAll();
  // The requests sent last are answered in the time added.
  Loop.run_for(LoadTime + 500ms);
  for (std::size_t I = 0; I < Trials.size(); ++I)
    if (kinds()[I].LoadTimes == 1)
      Trials[I]->signal(SIGTERM);
  Loop.run_for(LoadTime);
  for (std::size_t I = 0; I < Trials.size(); ++I)
    if (kinds()[I].LoadTimes > 1)
      Trials[I]->signal(SIGTERM);
  Loop.run_for(LoadTime);
  Counts Out;
  for (std::size_t I = 0; I < Trials.size(); ++I) {
    if (!Trials[I]->wait())
      std::printf("%s: the daemon did not stop\n", kinds()[I].Name);
    Loop.run_for(100ms); // strace writes its counts after the daemon's end.
    Out[kinds()[I].Name] = Used.Read(Trials[I]->output());
    std::printf("%s: %-26s", Used.Name, kinds()[I].Name);
    for (const auto &[Status, Count] : Trials[I]->statuses())
      std::printf(" %d x %d", Count, Status);
    std::printf("\n");
  }
  return Out;
}

} // namespace

int main(int Count, char **Words) {
  cxxopts::Options Parser("processor_cost");
  Parser.add_options()("requests", "",
                       cxxopts::value<int>()->default_value("200"))(
      "daemon", "",
      cxxopts::value<std::string>()->default_value(
          NUTMEGDRIFT_PLATFORM_DAEMON))("folder", "where the tools' files stay",
                                        cxxopts::value<std::string>());
  const auto Given = Parser.parse(Count, Words);
  const int Requests = Given["requests"].as<int>();
  const std::string Folder =
      Given.count("folder") > 0
          ? Given["folder"].as<std::string>()
          : (std::filesystem::temp_directory_path() /
             ("processor-cost-" + std::to_string(getpid())))
                .string();
  const std::string Daemon = Given["daemon"].as<std::string>();
  Counts Calls = run(Strace, Daemon, Requests, Folder);
  Counts Instructions = run(Callgrind, Daemon, Requests, Folder);
  std::printf("%-26s %12s %14s\n", "", "system calls", "instructions");
  const auto Print = [&](const char *Name, const char *More, const char *Less,
                         double Divisor) {
    std::printf("%-26s %12.1f %14.0f\n", Name,
                (Calls[More] - Calls[Less]) / Divisor,
                (Instructions[More] - Instructions[Less]) / Divisor);
  };
  Print("idle second", "nothing, twice the time", "nothing",
        std::chrono::duration<double>(LoadTime).count());
  for (const Kind &Each : kinds())
    if (Each.Sends)
      Print(Each.Name, Each.Name, "nothing", Requests);
  Print("one more event", "model, 12 events", "model, 2 events",
        Requests * (ManyEvents - FewEvents));
  if (Given.count("folder") == 0)
    std::filesystem::remove_all(Folder);
  return 0;
}
