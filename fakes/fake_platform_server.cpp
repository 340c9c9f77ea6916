#include "fake_platform_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace nutmegdrift::fakes {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int MaxThreads = 512; ///< A waiting watch holds a thread.
constexpr int MaxWaitingConnections = 512;
constexpr std::size_t MaxObjectBytes = 1'000'000;
constexpr std::chrono::milliseconds MaxWait{60'000};
constexpr std::string_view ObjectsPath = "/objects/";

Json toJson(const platform::Object &Value) {
  return {
      {"name", Value.Name}, {"version", Value.Version}, {"text", Value.Text}};
}

Json toJson(const PlatformFaults &Value) {
  return {{"down", Value.Store.Down},
          {"slow_ms", Value.Slow.count()},
          {"lose_write_answer", Value.Store.LoseWriteAnswer},
          {"stale_reads", Value.Store.StaleReads},
          {"watch_gap", Value.WatchGaps}};
}

PlatformFaults withFields(PlatformFaults Value, const Json &Fields) {
  Value.Store.Down = Fields.value("down", Value.Store.Down);
  Value.Store.LoseWriteAnswer =
      Fields.value("lose_write_answer", Value.Store.LoseWriteAnswer);
  Value.Store.StaleReads = Fields.value("stale_reads", Value.Store.StaleReads);
  Value.Slow = std::chrono::milliseconds(
      Fields.value("slow_ms", std::int64_t{Value.Slow.count()}));
  Value.WatchGaps = Fields.value("watch_gap", Value.WatchGaps);
  return Value;
}

void send(HTTPServerResponse &Out, int Status, const std::string &Body) {
  Out.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
  Out.sendBuffer(Body.data(), Body.size());
}

HTTPResponse::HTTPStatus statusFor(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::NotFound:
    return HTTPResponse::HTTP_NOT_FOUND;
  case ErrorKind::Conflict:
    return HTTPResponse::HTTP_CONFLICT;
  default:
    return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  }
}

class Handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(FakePlatformServer &Server) : m_server(Server) {}

  void handleRequest(HTTPServerRequest &In, HTTPServerResponse &Out) override {
    try {
      route(In, Out);
    } catch (const Json::exception &Failure) {
      send(Out, HTTPResponse::HTTP_BAD_REQUEST, Failure.what());
    } catch (const std::logic_error &Failure) { // std::stoull
      send(Out, HTTPResponse::HTTP_BAD_REQUEST, Failure.what());
    }
  }

private:
  void route(HTTPServerRequest &In, HTTPServerResponse &Out) {
    const Poco::URI Uri(In.getURI());
    const auto &Path = Uri.getPath();
    if (Path == "/faults" || Path == "/calls")
      return control(Path, In, Out);
    std::this_thread::sleep_for(m_server.faults().Slow);
    if (Path == "/objects")
      return list(parameter(Uri, "prefix"), Out);
    if (Path == "/watch")
      return watch(Uri, Out);
    if (!Path.starts_with(ObjectsPath))
      return send(Out, HTTPResponse::HTTP_NOT_FOUND, "no such path");
    const auto Name = Path.substr(ObjectsPath.size());
    if (In.getMethod() == "GET")
      return get(Name, Out);
    return write(Name, In, Out);
  }

  static std::string parameter(const Poco::URI &Uri, const std::string &Key) {
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      if (Name == Key)
        return Value;
    return {};
  }

  void control(const std::string &Path, HTTPServerRequest &In,
               HTTPServerResponse &Out) {
    if (Path == "/calls") {
      const auto Calls = m_server.store().calls();
      return send(Out, HTTPResponse::HTTP_OK,
                  Json{{"reads", Calls.Reads},
                       {"writes", Calls.Writes},
                       {"watches", Calls.Watches}}
                      .dump());
    }
    if (In.getMethod() == "POST")
      m_server.setFaults(
          withFields(m_server.faults(), Json::parse(bodyOf(In))));
    send(Out, HTTPResponse::HTTP_OK, toJson(m_server.faults()).dump());
  }

  static std::string bodyOf(HTTPServerRequest &In) {
    std::string Body;
    Poco::StreamCopier::copyToString(In.stream(), Body);
    return Body;
  }

  void get(const std::string &Name, HTTPServerResponse &Out) {
    const auto Found = capture([&] { return m_server.store().get(Name); });
    if (!Found)
      return send(Out, statusFor(Found.Failure.Kind), Found.Failure.Message);
    Out.set("X-Object-Version", std::to_string(Found->Version));
    send(Out, HTTPResponse::HTTP_OK, Found->Text);
  }

  void list(const std::string &Prefix, HTTPServerResponse &Out) {
    const auto Found = capture([&] { return m_server.store().list(Prefix); });
    if (!Found)
      return send(Out, statusFor(Found.Failure.Kind), Found.Failure.Message);
    Json Objects = Json::array();
    for (const auto &Item : Found->Objects)
      Objects.push_back(toJson(Item));
    send(Out, HTTPResponse::HTTP_OK,
         Json{{"revision", Found->Revision}, {"objects", Objects}}.dump());
  }

  void watch(const Poco::URI &Uri, HTTPServerResponse &Out) {
    if (m_server.takeWatchGap())
      return send(Out, HTTPResponse::HTTP_GONE, "revision is too old");
    const auto Wait = std::min(MaxWait, std::chrono::milliseconds(std::stoull(
                                            "0" + parameter(Uri, "wait_ms"))));
    const auto Found = capture([&] {
      return m_server.store().watch(parameter(Uri, "prefix"),
                                    std::stoull("0" + parameter(Uri, "after")),
                                    Wait);
    });
    if (!Found)
      return send(Out,
                  Found.Failure.Kind == ErrorKind::Conflict
                      ? HTTPResponse::HTTP_GONE
                      : statusFor(Found.Failure.Kind),
                  Found.Failure.Message);
    Json Items = Json::array();
    for (const auto &Item : Found->Items) {
      Items.push_back(toJson(Item.Value));
      Items.back()["deleted"] = Item.Deleted;
    }
    send(Out, HTTPResponse::HTTP_OK,
         Json{{"revision", Found->Revision}, {"changes", Items}}.dump());
  }

  Result<platform::ObjectVersion> apply(const std::string &Name,
                                        const std::string &Method,
                                        const std::string &Body,
                                        platform::ObjectVersion Expected) {
    if (Method == "PUT")
      return m_server.store().put(Name, Body, Expected);
    BOOST_LEAF_CHECK(m_server.store().remove(Name, Expected));
    return platform::ObjectVersion{0};
  }

  void write(const std::string &Name, HTTPServerRequest &In,
             HTTPServerResponse &Out) {
    if (In.getMethod() != "PUT" && In.getMethod() != "DELETE")
      return send(Out, HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "");
    if (In.getContentLength64() > static_cast<Poco::Int64>(MaxObjectBytes))
      return send(Out, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                  "object is above 1 MB");
    const auto Expected = std::stoull(In.get("X-If-Version"));
    const auto Body = bodyOf(In);
    const auto Done =
        capture([&] { return apply(Name, In.getMethod(), Body, Expected); });
    if (Done) {
      Out.set("X-Object-Version", std::to_string(*Done));
      return send(Out, HTTPResponse::HTTP_OK, std::to_string(*Done));
    }
    if (Done.Failure.Kind != ErrorKind::PlatformOutcomeUnknown)
      return send(Out, statusFor(Done.Failure.Kind), Done.Failure.Message);
    // The write took effect; the caller gets no answer.
    static_cast<Poco::Net::HTTPServerRequestImpl &>(In).socket().shutdown();
  }

  FakePlatformServer &m_server;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(FakePlatformServer &Server) : m_server(Server) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest & /*In*/) override {
    return new Handler(m_server);
  }

private:
  FakePlatformServer &m_server;
};

} // namespace

FakePlatformServer::FakePlatformServer(std::uint16_t Port)
    : m_threads(2, MaxThreads) {
  auto Options = Poco::makeAuto<Poco::Net::HTTPServerParams>();
  Options->setMaxThreads(MaxThreads);
  Options->setMaxQueued(MaxWaitingConnections);
  Options->setKeepAlive(false);
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress("127.0.0.1", Port));
  m_server = std::make_unique<Poco::Net::HTTPServer>(
      new Factory(*this), m_threads, Socket, Options);
  m_server->start();
}

FakePlatformServer::~FakePlatformServer() {
  m_store.setFaults({.Down = true}); // Ends waiting watches.
  m_server->stopAll(true);
  m_threads.joinAll();
}

std::uint16_t FakePlatformServer::port() const { return m_server->port(); }

void FakePlatformServer::setFaults(const PlatformFaults &Faults) {
  const std::scoped_lock Lock(m_mutex);
  m_faults = Faults;
  m_store.setFaults(Faults.Store);
}

PlatformFaults FakePlatformServer::faults() const {
  const std::scoped_lock Lock(m_mutex);
  return m_faults;
}

bool FakePlatformServer::takeWatchGap() {
  const std::scoped_lock Lock(m_mutex);
  if (m_faults.WatchGaps == 0)
    return false;
  --m_faults.WatchGaps;
  return true;
}

} // namespace nutmegdrift::fakes
