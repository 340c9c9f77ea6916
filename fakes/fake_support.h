// Shared by the stand-ins for endpoints: options, fault switches, the log of
// runs, and a server that can fall over and come back on the same port.
#ifndef NUTMEGDRIFT_FAKES_FAKE_SUPPORT_H
#define NUTMEGDRIFT_FAKES_FAKE_SUPPORT_H

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace nutmegdrift::fakes {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Connections served at once; more wait in the listen backlog.
inline constexpr int MaxConnections = 600;
/// How often a waiting handler looks for a closed connection or a fall.
inline constexpr Millis CheckInterval{5};
/// Idle time after which the server closes a kept-alive connection.
inline constexpr std::chrono::seconds KeepAlive{10};

/// Command line of a stand-in.
struct Options {
  std::uint16_t Port = 0; ///< 0: the system picks one.
  std::string Id = "endpoint";
  std::string Version = "v1";
  int Bears = 4;         ///< Concurrent requests borne.
  int WarmTokens = 200;  ///< Tokens after which a cold engine is warm.
  Millis FirstToken{20}; ///< When warm and not above Bears.
  Millis Token{5};
  Millis Latency{5}; ///< Plain service only.
};

inline Options parseOptions(int Argc, char **Argv, const char *Program) {
  cxxopts::Options Spec(Program, "Stand-in for an endpoint, for tests only.");
  Spec.add_options()("port", "TCP port on 127.0.0.1, 0 picks one",
                     cxxopts::value<std::uint16_t>()->default_value("0"))(
      "id", "name in answers",
      cxxopts::value<std::string>()->default_value("endpoint"))(
      "version", "version served",
      cxxopts::value<std::string>()->default_value("v1"))(
      "bears", "concurrent requests borne",
      cxxopts::value<int>()->default_value("4"))(
      "warm-tokens", "tokens until warm",
      cxxopts::value<int>()->default_value("200"))(
      "first-token-ms", "first-token time",
      cxxopts::value<int>()->default_value("20"))(
      "token-ms", "time between tokens",
      cxxopts::value<int>()->default_value("5"))(
      "latency-ms", "service latency",
      cxxopts::value<int>()->default_value("5"))("help", "print this text");
  const auto Args = Spec.parse(Argc, Argv);
  if (Args.count("help") != 0) {
    std::cout << Spec.help();
    std::exit(0); // NOLINT(concurrency-mt-unsafe)
  }
  return {.Port = Args["port"].as<std::uint16_t>(),
          .Id = Args["id"].as<std::string>(),
          .Version = Args["version"].as<std::string>(),
          .Bears = Args["bears"].as<int>(),
          .WarmTokens = Args["warm-tokens"].as<int>(),
          .FirstToken = Millis(Args["first-token-ms"].as<int>()),
          .Token = Millis(Args["token-ms"].as<int>()),
          .Latency = Millis(Args["latency-ms"].as<int>())};
}

/// Fault switches, set by POST /faults. A field that the request omits keeps
/// its value; "reset": true first restores the defaults.
struct Faults {
  std::string CrashOn;    ///< "crash_on": falls over on a body containing this.
  Millis Down{1000};      ///< "down_ms": time refusing after a fall; 0: exit.
  Millis AcceptLag{0};    ///< "accept_lag_ms": time after a fall for which
                          ///< connections are still accepted, then dropped.
  double Slow = 1.0;      ///< "slow": factor on all times.
  double ErrorRate = 0.0; ///< "error_rate": share answered with 500.
  int ErrorAbove = 0;     ///< "error_above": errors only above this load.
  std::string ErrorWorkspace; ///< "error_workspace": errors only for this one.
  std::string OnlyVersion;    ///< "only_version": slow and errors only on this.
  int CutAfterTokens = -1;    ///< "cut_after_tokens": below 0 is off. A service
                              ///< counts bytes.
  /// "raw_answer": bytes that a service sends as its answer; empty: off.
  std::string RawAnswer;
  /// "raw_early": the bytes are sent before the body of the request is read,
  /// and then the connection is reset.
  bool RawEarly = false;
  bool IgnoreFencing = false; ///< "ignore_fencing": takes any order.
  Millis LoadLag{0};          ///< "load_lag_ms": age of what GET /load reports.
  Millis Order{0};            ///< "order_ms": time that an order takes.
};

inline void setFaults(Faults &F, const Json &In) {
  if (In.value("reset", false))
    F = {};
  F.CrashOn = In.value("crash_on", F.CrashOn);
  F.Down = Millis(In.value("down_ms", F.Down.count()));
  F.AcceptLag = Millis(In.value("accept_lag_ms", F.AcceptLag.count()));
  F.Slow = In.value("slow", F.Slow);
  F.ErrorRate = In.value("error_rate", F.ErrorRate);
  F.ErrorAbove = In.value("error_above", F.ErrorAbove);
  F.ErrorWorkspace = In.value("error_workspace", F.ErrorWorkspace);
  F.OnlyVersion = In.value("only_version", F.OnlyVersion);
  F.CutAfterTokens = In.value("cut_after_tokens", F.CutAfterTokens);
  F.RawAnswer = In.value("raw_answer", F.RawAnswer);
  F.RawEarly = In.value("raw_early", F.RawEarly);
  F.IgnoreFencing = In.value("ignore_fencing", F.IgnoreFencing);
  F.LoadLag = Millis(In.value("load_lag_ms", F.LoadLag.count()));
  F.Order = Millis(In.value("order_ms", F.Order.count()));
}

/// One request that reached the endpoint.
struct Run {
  std::string RequestId;
  std::string Key; ///< Ticket or idempotency key.
  std::string Workspace;
  std::string Version;
  std::int64_t StartMicros = 0; ///< Wall time, microseconds since the epoch.
  std::int64_t EndMicros = 0;   ///< 0 while it runs.
  int Tokens = 0;
  std::string Outcome = "running"; ///< Then completed, error, crashed, cut,
                                   ///< cancelled or dropped.
};

inline Json toJson(const Run &R) {
  return {{"request_id", R.RequestId}, {"key", R.Key},
          {"workspace", R.Workspace},  {"version", R.Version},
          {"start_us", R.StartMicros}, {"end_us", R.EndMicros},
          {"tokens", R.Tokens},        {"outcome", R.Outcome}};
}

inline std::int64_t wallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// State of one stand-in: faults, runs, load, warmth, version. Thread-safe.
class Endpoint {
public:
  explicit Endpoint(Options Opts)
      : m_options(std::move(Opts)), m_version(m_options.Version) {
    m_load.emplace_back(SteadyClock::now(), 0);
  }

  [[nodiscard]] const Options &options() const { return m_options; }

  [[nodiscard]] Faults faults() const {
    const std::scoped_lock Lock(m_mutex);
    return m_faults;
  }

  void applyFaults(const Json &In) {
    const std::scoped_lock Lock(m_mutex);
    setFaults(m_faults, In);
    if (In.value("cold", false))
      m_warmTokens = 0;
    if (In.value("silent", false))
      m_silentBefore = SteadyClock::now();
  }

  /// Notes a request. The result indexes the log of runs.
  std::size_t begin(const HTTPServerRequest &Request) {
    const std::scoped_lock Lock(m_mutex);
    Run R{.RequestId = Request.get("X-Request-Id", ""),
          .Key = Request.get("X-Ticket", Request.get("Idempotency-Key", "")),
          .Workspace = Request.get("X-Workspace", ""),
          .Version = m_version,
          .StartMicros = wallMicros()};
    m_runs.push_back(std::move(R));
    noteRunning(m_running + 1);
    return m_runs.size() - 1;
  }

  void end(std::size_t Index, const std::string &Outcome) {
    const std::scoped_lock Lock(m_mutex);
    m_runs[Index].Outcome = Outcome;
    m_runs[Index].EndMicros = wallMicros();
    noteRunning(m_running - 1);
  }

  void countToken(std::size_t Index) {
    const std::scoped_lock Lock(m_mutex);
    ++m_runs[Index].Tokens;
    ++m_warmTokens;
  }

  [[nodiscard]] bool overloadedWhileCold() const {
    const std::scoped_lock Lock(m_mutex);
    return cold() && m_running > m_options.Bears;
  }

  /// Factor on all times: the slow fault, and the cube of the overload.
  [[nodiscard]] double slowness() const {
    const std::scoped_lock Lock(m_mutex);
    const double Over =
        std::max(1.0, static_cast<double>(m_running) / m_options.Bears);
    return (faultyVersion() ? m_faults.Slow : 1.0) * Over * Over * Over;
  }

  /// Factor on the first-token time: 4 when entirely cold, 1 when warm.
  [[nodiscard]] double coldness() const {
    const std::scoped_lock Lock(m_mutex);
    if (!cold())
      return 1.0;
    return 4.0 - 3.0 * m_warmTokens / m_options.WarmTokens;
  }

  /// Draws whether this request is to fail.
  [[nodiscard]] bool drawError(const std::string &Workspace) {
    const std::scoped_lock Lock(m_mutex);
    if (!faultyVersion() || m_running <= m_faults.ErrorAbove)
      return false;
    if (!m_faults.ErrorWorkspace.empty() &&
        m_faults.ErrorWorkspace != Workspace)
      return false;
    return std::uniform_real_distribution<double>(0, 1)(m_random) <
           m_faults.ErrorRate;
  }

  /// Whether a connection that was open at From has been silenced.
  [[nodiscard]] bool silent(SteadyClock::time_point From) const {
    const std::scoped_lock Lock(m_mutex);
    return From < m_silentBefore;
  }

  /// Since when this client's connection has been open. A client port that
  /// was idle for longer than the keep-alive time is a new connection.
  SteadyClock::time_point connectedSince(const std::string &Client) {
    const std::scoped_lock Lock(m_mutex);
    const auto Now = SteadyClock::now();
    auto &[Opened, Used] =
        m_clients.try_emplace(Client, Now, Now).first->second;
    if (Now - Used > KeepAlive)
      Opened = Now;
    Used = Now;
    return Opened;
  }

  [[nodiscard]] Json load() const {
    const std::scoped_lock Lock(m_mutex);
    const auto Until = SteadyClock::now() - m_faults.LoadLag;
    int Running = m_load.front().second;
    for (const auto &[At, Count] : m_load)
      if (At <= Until)
        Running = Count;
    return {{"running", Running}, {"waiting", 0}, {"version", m_version}};
  }

  /// False if the fencing number is older than one seen before.
  bool takeFence(std::uint64_t Fence) {
    const std::scoped_lock Lock(m_mutex);
    if (Fence < m_fence && !m_faults.IgnoreFencing)
      return false;
    m_fence = std::max(m_fence, Fence);
    return true;
  }

  /// A loaded version starts cold.
  void setVersion(const std::string &Version, std::uint64_t Fence) {
    const std::scoped_lock Lock(m_mutex);
    m_version = Version;
    m_warmTokens = 0;
    m_orders.push_back({{"version", Version}, {"fence", Fence}});
  }

  [[nodiscard]] Json runs() const {
    const std::scoped_lock Lock(m_mutex);
    Json Out = {{"id", m_options.Id},   {"bears", m_options.Bears},
                {"peak", m_peak},       {"cold_peak", m_coldPeak},
                {"running", m_running}, {"falls", m_falls},
                {"version", m_version}, {"fence", m_fence},
                {"cold", cold()},       {"orders", m_orders},
                {"runs", Json::array()}};
    for (const auto &R : m_runs)
      Out["runs"].push_back(toJson(R));
    return Out;
  }

  /// Drops all connections and refuses for the down time; cold afterwards.
  void fall() {
    const std::scoped_lock Lock(m_mutex);
    if (m_faults.Down.count() == 0)
      std::_Exit(EXIT_FAILURE);
    if (m_down)
      return;
    m_down = true;
    ++m_falls;
    m_warmTokens = 0;
    m_changed.notify_all();
  }

  [[nodiscard]] bool down() const {
    const std::scoped_lock Lock(m_mutex);
    return m_down;
  }

  void awaitFall() {
    std::unique_lock Lock(m_mutex);
    m_changed.wait(Lock, [&] { return m_down; });
  }

  /// Waits until all handlers of the fallen server have returned.
  void awaitIdle() {
    std::unique_lock Lock(m_mutex);
    m_changed.wait(Lock, [&] { return m_running == 0; });
  }

  void recover() {
    const std::scoped_lock Lock(m_mutex);
    m_down = false;
    m_clients.clear();
  }

private:
  [[nodiscard]] bool cold() const {
    return m_warmTokens < m_options.WarmTokens;
  }
  [[nodiscard]] bool faultyVersion() const {
    return m_faults.OnlyVersion.empty() || m_faults.OnlyVersion == m_version;
  }
  void noteRunning(int Running) {
    m_running = Running;
    m_peak = std::max(m_peak, Running);
    if (cold())
      m_coldPeak = std::max(m_coldPeak, Running);
    m_load.emplace_back(SteadyClock::now(), Running);
    if (m_load.size() > LoadHistory)
      m_load.pop_front();
    m_changed.notify_all();
  }

  /// Changes of the load kept for lagging reports.
  static constexpr std::size_t LoadHistory = 8192;

  const Options m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  Faults m_faults;
  std::vector<Run> m_runs; ///< Only grows, so indexes stay valid.
  std::deque<std::pair<SteadyClock::time_point, int>> m_load;
  std::map<std::string,
           std::pair<SteadyClock::time_point, SteadyClock::time_point>>
      m_clients; ///< Client address to times of first and last request.
  Json m_orders = Json::array();
  std::string m_version;
  std::uint64_t m_fence = 0;
  int m_running = 0;
  int m_peak = 0;
  int m_coldPeak = 0;
  int m_falls = 0;
  int m_warmTokens = 0;
  bool m_down = false;
  SteadyClock::time_point m_silentBefore{};
  std::mt19937_64 m_random{1};
};

inline Poco::Net::StreamSocket &socketOf(HTTPServerRequest &Request) {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
}

/// Ends the connection so that a body in progress stays truncated.
inline void dropConnection(HTTPServerRequest &Request) {
  try {
    socketOf(Request).shutdown();
  } catch (const Poco::Exception &) { // The peer closed it first.
    return;
  }
}

/// Sends bytes that need not be an answer, and ends the connection.
inline void sendRaw(HTTPServerRequest &Request, const std::string &Bytes,
                    bool Reset) {
  try {
    auto &Socket = socketOf(Request);
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    if (Reset) {
      Socket.setLinger(true, 0);
      Socket.close();
    } else {
      Socket.shutdownSend();
    }
  } catch (const Poco::Exception &) { // The peer closed it first.
    return;
  }
}

/// Whether the peer has closed the connection.
inline bool peerClosed(HTTPServerRequest &Request) {
  try {
    auto &Socket = socketOf(Request);
    return Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           Socket.available() == 0;
  } catch (const Poco::Exception &) {
    return true;
  }
}

/// Why a handler stopped waiting.
enum class WaitEnd { Elapsed, Fell, PeerClosed };

/// Waits for Time, or without end once the connection is silenced.
inline WaitEnd waitFor(Endpoint &State, HTTPServerRequest &Request, Millis Time,
                       SteadyClock::time_point Connected) {
  const auto Until = SteadyClock::now() + Time;
  while (true) {
    if (State.down())
      return WaitEnd::Fell;
    if (peerClosed(Request))
      return WaitEnd::PeerClosed;
    const auto Left = Until - SteadyClock::now();
    const bool Silent = State.silent(Connected);
    if (Left <= Left.zero() && !Silent)
      return WaitEnd::Elapsed;
    std::this_thread::sleep_for(
        Silent ? CheckInterval
               : std::min<SteadyClock::duration>(Left, CheckInterval));
  }
}

inline std::string readBody(HTTPServerRequest &Request) {
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  return Body;
}

inline void echoRequestId(HTTPServerRequest &Request,
                          HTTPServerResponse &Response) {
  if (Request.has("X-Request-Id"))
    Response.set("X-Request-Id", Request.get("X-Request-Id"));
}

inline void sendJson(HTTPServerRequest &Request, HTTPServerResponse &Response,
                     int Status, const Json &Body) {
  const auto Text = Body.dump();
  echoRequestId(Request, Response);
  Response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(Status));
  Response.setContentType("application/json");
  Response.sendBuffer(Text.data(), Text.size());
}

/// Answers one request.
using Handler =
    std::function<void(Endpoint &, HTTPServerRequest &, HTTPServerResponse &)>;

/// Serves the control paths itself and hands the rest to Work.
class FunctionHandler final : public HTTPRequestHandler {
public:
  FunctionHandler(Endpoint &State, const Handler &Work)
      : m_state(State), m_work(Work) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    try {
      dispatch(Request, Response);
    } catch (const Json::exception &Failure) {
      sendJson(Request, Response, 400, {{"error", Failure.what()}});
    }
  }

private:
  void dispatch(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    const auto &Path = Request.getURI();
    if (m_state.down())
      return dropConnection(Request);
    if (Path == "/runs")
      return sendJson(Request, Response, 200, m_state.runs());
    if (Path == "/health")
      return sendJson(Request, Response, 200, {{"id", m_state.options().Id}});
    if (Path == "/load")
      return sendJson(Request, Response, 200, m_state.load());
    if (Path == "/faults") {
      m_state.applyFaults(Json::parse(readBody(Request)));
      return sendJson(Request, Response, 200, Json::object());
    }
    m_work(m_state, Request, Response);
  }

  Endpoint &m_state;
  const Handler &m_work;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  HandlerFactory(Endpoint &State, const Handler &Work)
      : m_state(State), m_work(Work) {}
  HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest & /*Request*/) override {
    return new FunctionHandler(m_state, m_work);
  }

private:
  Endpoint &m_state;
  const Handler &m_work;
};

/// Serves until the endpoint falls over, then drops all connections.
inline void serveUntilFall(Endpoint &State, const Handler &Work,
                           Poco::ThreadPool &Pool,
                           Poco::Net::ServerSocket &Socket) {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxConnections);
  Params->setMaxQueued(MaxConnections);
  Params->setKeepAliveTimeout(Poco::Timespan(KeepAlive.count(), 0));
  Poco::Net::HTTPServer Server(new HandlerFactory(State, Work), Pool, Socket,
                               Params);
  Server.start();
  State.awaitFall();
  std::this_thread::sleep_for(State.faults().AcceptLag);
  // The server's accept loop notices stop() only after its poll of 250 ms;
  // shutting down the listening socket refuses connections at once.
  Socket.impl()->shutdownReceive();
  Server.stopAll(true);
  Socket.close();
  State.awaitIdle();
}

/// Runs the stand-in for good: it falls over and comes back on its port.
[[noreturn]] inline void serve(Endpoint &State, const Handler &Work) {
  Poco::ThreadPool Pool(4, 2 * MaxConnections);
  auto Address = Poco::Net::SocketAddress("127.0.0.1", State.options().Port);
  for (bool First = true;; First = false) {
    Poco::Net::ServerSocket Socket(Address, MaxConnections);
    Address = Socket.address();
    if (First)
      std::cout << "listening on " << Address.toString() << std::endl;
    serveUntilFall(State, Work, Pool, Socket);
    std::this_thread::sleep_for(State.faults().Down);
    State.recover();
  }
}

/// Ends a run whose wait ended early, and closes its connection.
inline void endEarly(Endpoint &State, HTTPServerRequest &Request,
                     std::size_t Index, WaitEnd Why) {
  State.end(Index, Why == WaitEnd::Fell ? "dropped" : "cancelled");
  dropConnection(Request);
}

/// Falls over if the body names the crashing text. True if it did.
inline bool crashedOn(Endpoint &State, HTTPServerRequest &Request,
                      std::size_t Index, const std::string &Body) {
  const auto Text = State.faults().CrashOn;
  if (Text.empty() || Body.find(Text) == std::string::npos)
    return false;
  State.fall();
  State.end(Index, "crashed");
  dropConnection(Request);
  return true;
}

} // namespace nutmegdrift::fakes

#endif
