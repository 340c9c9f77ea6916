// A gateway on loopback with scripted replicas and a raw caller, for tests.
#ifndef NUTMEGDRIFT_GATEWAY_GATEWAY_FIXTURE_H
#define NUTMEGDRIFT_GATEWAY_GATEWAY_FIXTURE_H

#include "nutmegdrift/gateway/gateway.h"

#include "support/child_process.h"
#include "support/raw_peer.h"

#include <gtest/gtest.h>

#include <sstream>

namespace nutmegdrift::gateway {

using namespace std::chrono_literals;

/// A dialect with short header names, independent of any platform.
class PlainDialect final : public Dialect {
public:
  Result<RequestMetadata>
  readRequest(const net::HeaderList &Headers) const override {
    RequestMetadata Metadata;
    const auto Id = Headers.find("Id");
    if (!Id)
      return fail(ErrorKind::MalformedRequest, "no id");
    Metadata.Id = *Id;
    Metadata.Key = std::string(Headers.find("Key").value_or(""));
    if (const auto Tokens = Headers.find("Tokens")) {
      Metadata.PromptTokens =
          static_cast<std::uint32_t>(std::stoul(std::string(*Tokens)));
      Metadata.OutputTokens = 10;
      Metadata.Prompt = {{.Id = 1, .Tokens = Metadata.PromptTokens}};
    }
    // Ids of the prompt's parts, separated by commas.
    if (const auto Prompt = Headers.find("Prompt")) {
      std::istringstream Ids{std::string(*Prompt)};
      Metadata.Prompt.clear();
      for (std::string Id; std::getline(Ids, Id, ',');)
        Metadata.Prompt.push_back({.Id = std::stoull(Id), .Tokens = 10});
      Metadata.PromptTokens =
          static_cast<std::uint32_t>(10 * Metadata.Prompt.size());
      Metadata.OutputTokens = 10;
    }
    return Metadata;
  }
  net::HeaderList forward(const net::HeaderList &Received,
                          const ForwardMetadata &Metadata) const override {
    if (Received.find("Throw"))
      throw std::runtime_error("as the test asked");
    net::HeaderList Out = net::endToEndFields(Received);
    Out.set("Replica", Metadata.Replica);
    if (Metadata.Workspace)
      Out.set("Workspace", *Metadata.Workspace);
    if (!Metadata.ResumeAfter.empty())
      Out.set("After", Metadata.ResumeAfter);
    return Out;
  }
  AnswerMetadata readAnswer(const net::HttpAnswerHead &Head) const override {
    return {.Id = std::string(Head.Headers.find("Id").value_or("")),
            .NotRun = Head.Headers.find("Not-Run").has_value(),
            .ReadAsNotRun = Head.Status == 429 || Head.Status == 503,
            .Signed = Head.Headers.find("Sig").has_value(),
            .RateLimit = rateLimit(Head.Headers),
            .Leaving = Head.Headers.find("Leaving").has_value(),
            .PauseFor = pause(Head.Headers)};
  }
  static std::optional<Milliseconds> pause(const net::HeaderList &Headers) {
    const auto Text = Headers.find("Pause-Ms");
    return Text ? std::optional(Milliseconds(std::stoi(std::string(*Text))))
                : std::nullopt;
  }
  static std::optional<double> rateLimit(const net::HeaderList &Headers) {
    const auto Text = Headers.find("Limit");
    return Text ? std::optional(std::stod(std::string(*Text))) : std::nullopt;
  }
  net::HeaderList answerHeaders(const net::HeaderList &Headers) const override {
    return net::endToEndFields(Headers);
  }
  std::string_view directoryPath() const override { return "/where"; }
  std::string directoryBody(const std::vector<HostPort> &Addresses,
                            std::chrono::seconds) const override {
    std::string Out;
    for (const HostPort &Address : Addresses)
      Out += toString(Address) + "\n";
    return Out;
  }
  std::string_view readinessPath() const override { return "/ready"; }
};

/// The system's clock, which a test can move ahead as if the process had been
/// paused.
class SteppedClock final : public Clock {
public:
  TimePoint now() const override { return m_system.now() + m_ahead; }
  WallTime wallNow() const override { return m_system.wallNow(); }
  void pause(Duration Length) { m_ahead += Length; }

private:
  SystemClock m_system;
  Duration m_ahead{0};
};

/// A replica that handles each request with a function of the test.
class ScriptedReplica {
public:
  using Reaction = std::function<void(net::ServerExchange &)>;

  ScriptedReplica(net::EventLoop &Loop, const Clock &Clk,
                  const Reaction &OnRequest)
      : m_server(Loop, Clk,
                 [this, OnRequest](
                     const std::shared_ptr<net::ServerExchange> &Exchange) {
                   ++Requests;
                   LastHeaders = Exchange->request().Headers;
                   Exchanges.push_back(Exchange);
                   OnRequest(*Exchange);
                   if (AfterRequest)
                     AfterRequest();
                 }) {
    EXPECT_TRUE(m_server.listen({.Host = "127.0.0.1", .Port = 0}));
  }
  HostPort address() const {
    return {.Host = "127.0.0.1", .Port = m_server.port()};
  }

  int Requests = 0;
  std::function<void()> AfterRequest; ///< Called after the reaction, if set.
  net::HeaderList LastHeaders;
  std::vector<std::shared_ptr<net::ServerExchange>> Exchanges;

private:
  net::HttpServer m_server;
};

struct GatewayFixture : ::testing::Test {
  GatewayFixture() {
    auto Port = [&] {
      return HostPort{.Host = "127.0.0.1",
                      .Port = nutmegdrift::testing::freePort()};
    };
    Settings = {.Name = "d1",
                .Zone = "z",
                .Front = Port(),
                .Readiness = Port(),
                .Directory = Port(),
                .Internal = Port(),
                .Metrics = Port(),
                .Store = Port()};
    Settings.Bounds.RetryFloor = 100;
    Daemon.emplace(Loop, Clk, Log, Settings, Headers,
                   Gateway::Hooks{.OnStopped = [this] { Stopped = true; }});
    EXPECT_FALSE(errorOf([&] { return Daemon->start(); }));
  }

  routing::Route route(const std::string &Prefix, routing::RequestKind Kind,
                       unsigned Replicas = 2) {
    return {.Name = Prefix,
            .Host = "h",
            .PathPrefix = Prefix,
            .Kind = Kind,
            .Timeout = RouteTimeout,
            .FirstByteTarget = 100ms,
            .Shares = {{"s", 1}},
            .MaxReplicas = Replicas};
  }
  void apply(std::uint64_t Version = 1,
             std::optional<std::vector<routing::Workspace>> Workspaces = {}) {
    using routing::RequestKind;
    Daemon->setDesiredState(
        {.Version = Version,
         .Routes = {route("/safe/", RequestKind::Idempotent),
                    route("/once/", RequestKind::RunOnce),
                    route("/stream/", RequestKind::Stream),
                    route("/resume/", RequestKind::ResumableStream)},
         .Services = {{.Name = "s"}},
         .Workspaces = std::move(Workspaces)});
  }
  ScriptedReplica &replica(const ScriptedReplica::Reaction &OnRequest) {
    Replicas.push_back(std::make_unique<ScriptedReplica>(Loop, Clk, OnRequest));
    addReplica("r" + std::to_string(Replicas.size()),
               Replicas.back()->address());
    return *Replicas.back();
  }
  /// A replica that writes what Script returns for each request it reads.
  testing::RawPeer &rawReplica(testing::RawPeer::Script Script) {
    RawReplicas.push_back(
        std::make_unique<testing::RawPeer>(Loop, std::move(Script)));
    addReplica("raw" + std::to_string(RawReplicas.size()),
               RawReplicas.back()->address());
    return *RawReplicas.back();
  }
  void addReplica(const routing::ReplicaId &Id, const HostPort &Address) {
    Daemon->state().Replicas.upsert(
        {.Id = Id, .Service = "s", .Address = Address, .Zone = "z"}, Clk.now());
    Daemon->replicasChanged();
  }
  static void answerDone(net::ServerExchange &Exchange) {
    Exchange.answer(200, answerHeaders(Exchange), "done");
  }
  static net::HeaderList answerHeaders(net::ServerExchange &Exchange) {
    return {
        {"Id", std::string(Exchange.request().Headers.find("Id").value_or(""))},
        {"Sig", "x"}};
  }

  struct Answer {
    int Status = 0;
    std::string Body;
    net::HeaderList Headers;
    std::optional<net::ClientFailure> Failure;
  };
  Answer call(const std::string &Path, net::HeaderList Extra = {},
              const std::optional<HostPort> &Address = std::nullopt) {
    Answer Received;
    bool Done = false;
    Caller = std::make_shared<net::ClientConnection>(
        Loop, Clk, Address.value_or(Settings.Front));
    net::HttpRequest Request{.Method = "GET", .Target = Path};
    Request.Headers = std::move(Extra);
    Request.Headers.add("Host", "h");
    if (!Request.Headers.find("Id"))
      Request.Headers.add("Id", "id" + std::to_string(++LastId));
    Caller->send(
        net::serialise(Request), 1s,
        {.OnHead =
             [&](const net::HttpAnswerHead &Head) {
               Received.Status = Head.Status;
               Received.Headers = Head.Headers;
             },
         .OnBody = [&](std::string_view B) { Received.Body.append(B); },
         .OnEnd = [&] { Done = true; },
         .OnFailure =
             [&](net::ClientFailure Failure) {
               Received.Failure = Failure;
               Done = true;
             }});
    runUntil([&] { return Done; });
    EXPECT_TRUE(Done);
    Caller->close();
    return Received;
  }
  /// Sends bytes to the front and returns all that comes back until the
  /// connection ends. Endless is sent again and again until then.
  std::string rawCall(const std::string &Bytes,
                      const std::string &Endless = {}) {
    struct RawCaller final : net::ByteStream::Listener {
      void onData(std::string_view Data) override { Received.append(Data); }
      void onEnd(net::StreamEnd End) override { Ended = End; }
      std::string Received;
      std::optional<net::StreamEnd> Ended;
    } Raw;
    const auto Stream = std::make_shared<net::ByteStream>(Loop, Raw);
    Stream->write(Bytes);
    Stream->connect(Settings.Front, 1s);
    constexpr std::size_t MaxUnsent = std::size_t{64} * 1024;
    runUntil([&] {
      if (!Endless.empty() && !Raw.Ended && Raw.Received.empty() &&
          Stream->unsentBytes() < MaxUnsent) {
        Stream->write(Endless);
        RawSent += Endless.size();
      }
      return Raw.Ended.has_value();
    });
    Stream->close();
    RawEnd = Raw.Ended;
    return Raw.Received;
  }
  void runUntil(const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + 8s;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      Loop.run_one_for(20ms);
  }

  net::EventLoop Loop{1};
  SteppedClock Clk;
  std::vector<std::string> Lines;
  DecisionLog Log{Clk,
                  "d1",
                  {.RequestLines = 1e6, .StateLines = 1e6, .FaultLines = 1e6},
                  [this](std::string_view Line) {
                    Lines.emplace_back(Line);
                    return true;
                  }};
  PlainDialect Headers;
  GatewaySettings Settings;
  std::vector<std::unique_ptr<ScriptedReplica>> Replicas;
  std::vector<std::unique_ptr<testing::RawPeer>> RawReplicas;
  std::optional<Gateway> Daemon;
  std::shared_ptr<net::ClientConnection> Caller;
  int LastId = 0;
  Milliseconds RouteTimeout{1500};
  std::vector<std::unique_ptr<net::Timer>> Timers;
  bool Stopped = false;
  std::uint64_t RawSent = 0;            ///< Endless bytes of rawCall().
  std::optional<net::StreamEnd> RawEnd; ///< Of the last rawCall().
};

} // namespace nutmegdrift::gateway

#endif
