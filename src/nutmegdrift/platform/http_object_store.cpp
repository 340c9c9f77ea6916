#include "nutmegdrift/platform/http_object_store.h"
#include "nutmegdrift/base/uri.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <nlohmann/json.hpp>

#include <array>
#include <optional>

namespace nutmegdrift::platform {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr auto VersionHeader = "X-Object-Version";
constexpr auto ConditionHeader = "X-If-Version";

std::string objectPath(const std::string &Name) {
  return "/objects/" + encodeUriPath(Name);
}

Poco::Timespan toTimespan(std::chrono::milliseconds Time) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(Time).count());
}

std::optional<ObjectVersion> versionOf(const HTTPResponse &Head) {
  const auto Text = Head.get(VersionHeader, "");
  if (Text.empty() || Text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  constexpr std::size_t MostDigits = 19;
  if (Text.size() > MostDigits)
    return std::nullopt;
  return std::stoull(Text);
}

/// Reads the body. Fails if it is longer than Most or than Content-Length
/// announces, or if the connection ended early.
bool readBody(std::istream &In, const HTTPResponse &Head, std::size_t Most,
              std::string &Out) {
  constexpr std::size_t BlockSize = 16384;
  std::array<char, BlockSize> Block{};
  while (In.read(Block.data(), Block.size()) || In.gcount() > 0) {
    Out.append(Block.data(), static_cast<std::size_t>(In.gcount()));
    if (Out.size() > Most)
      return false;
  }
  // A chunked body cut short is found when its JSON is parsed.
  if (!Head.hasContentLength())
    return Head.getChunkedTransferEncoding();
  return Out.size() == static_cast<std::size_t>(Head.getContentLength64());
}

Object objectFrom(const Json &Item) {
  return {Item.at("name").get<std::string>(),
          Item.at("version").get<ObjectVersion>(),
          Item.value("text", std::string())};
}

Listing listingFrom(const Json &Root) {
  Listing Out{.Revision = Root.at("revision").get<ObjectVersion>(),
              .Objects = {}};
  for (const auto &Item : Root.at("objects"))
    Out.Objects.push_back(objectFrom(Item));
  return Out;
}

Changes changesFrom(const Json &Root) {
  Changes Out{.Revision = Root.at("revision").get<ObjectVersion>(),
              .Items = {}};
  for (const auto &Item : Root.at("changes"))
    Out.Items.push_back({objectFrom(Item), Item.value("deleted", false)});
  return Out;
}

template <class Convert>
auto parsed(const std::string &Body, Convert Read)
    -> Result<decltype(Read(Json()))> {
  try {
    return Read(Json::parse(Body));
  } catch (const Json::exception &Failure) {
    return fail(ErrorKind::PlatformUnavailable,
                std::string("malformed answer: ") + Failure.what());
  }
}

} // namespace

/// One call as sent. Only writes have a condition.
struct HttpObjectStore::Call {
  std::string Method;
  std::string Path;
  std::string Body{};
  std::optional<ObjectVersion> Condition{};
  std::chrono::milliseconds Wait{0};
};

struct HttpObjectStore::Answer {
  std::string Body;
  std::optional<ObjectVersion> Version;
};

HttpObjectStore::HttpObjectStore(HttpStoreOptions Options)
    : m_options(std::move(Options)) {}

namespace {

/// The error for a status other than 200.
Error errorFor(int Status, bool Write, const std::string &Body) {
  constexpr std::size_t MostShown = 200;
  const auto Text =
      "status " + std::to_string(Status) + ": " + Body.substr(0, MostShown);
  switch (Status) {
  case HTTPResponse::HTTP_NOT_FOUND:
    return {ErrorKind::NotFound, Text};
  case HTTPResponse::HTTP_CONFLICT:
  case HTTPResponse::HTTP_GONE:
    return {ErrorKind::Conflict, Text};
  case HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE:
    return {ErrorKind::BodyTooLarge, Text};
  case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
    return {ErrorKind::PlatformUnavailable, Text};
  default:
    break;
  }
  // Only these are refusals; a write with another answer may have taken effect.
  if (Status >= HTTPResponse::HTTP_BAD_REQUEST &&
      Status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
    return {ErrorKind::InvalidDocument, Text};
  return {Write ? ErrorKind::PlatformOutcomeUnknown
                : ErrorKind::PlatformUnavailable,
          Text};
}

} // namespace

Result<HttpObjectStore::Answer> HttpObjectStore::exchange(const Call &What,
                                                          bool &Sent) const {
  Poco::Net::StreamSocket Socket;
  Socket.connect(
      Poco::Net::SocketAddress(m_options.Address.Host, m_options.Address.Port),
      toTimespan(m_options.ConnectTimeout));
  // Set on the socket: the session sets its own only when it connects.
  Socket.setSendTimeout(toTimespan(m_options.CallTimeout));
  Socket.setReceiveTimeout(toTimespan(m_options.CallTimeout + What.Wait));
  Poco::Net::HTTPClientSession Session(Socket);
  HTTPRequest Head(What.Method, What.Path, HTTPRequest::HTTP_1_1);
  Head.setHost(m_options.Address.Host, m_options.Address.Port);
  Head.setContentLength64(static_cast<Poco::Int64>(What.Body.size()));
  if (What.Condition)
    Head.set(ConditionHeader, std::to_string(*What.Condition));
  Sent = true;
  Session.sendRequest(Head) << What.Body;
  HTTPResponse AnswerHead;
  auto &In = Session.receiveResponse(AnswerHead);
  Answer Out{.Body = {}, .Version = versionOf(AnswerHead)};
  const bool Complete =
      readBody(In, AnswerHead, m_options.MaxAnswerBytes, Out.Body);
  const bool Good = AnswerHead.getStatus() == HTTPResponse::HTTP_OK;
  if (!Good)
    return fail(
        errorFor(AnswerHead.getStatus(), What.Condition.has_value(), Out.Body));
  if (!Complete)
    return fail(ErrorKind::PlatformUnavailable, "truncated or too long answer");
  return Out;
}

Result<HttpObjectStore::Answer> HttpObjectStore::perform(const Call &What) {
  bool Sent = false;
  ++m_calls;
  m_bytesSent += What.Body.size();
  try {
    BOOST_LEAF_AUTO(Out, exchange(What, Sent));
    m_bytesReceived += Out.Body.size();
    return Out;
  } catch (const Poco::Exception &Failure) {
    const bool Unknown = Sent && What.Condition.has_value();
    return fail(Unknown ? ErrorKind::PlatformOutcomeUnknown
                        : ErrorKind::PlatformUnavailable,
                What.Method + " " + What.Path + ": " + Failure.displayText());
  }
}

Result<Object> HttpObjectStore::get(const std::string &Name) {
  BOOST_LEAF_AUTO(Out, perform({.Method = "GET", .Path = objectPath(Name)}));
  if (!Out.Version)
    return fail(ErrorKind::PlatformUnavailable, "answer without version");
  return Object{Name, *Out.Version, std::move(Out.Body)};
}

Result<Listing> HttpObjectStore::list(const std::string &Prefix) {
  BOOST_LEAF_AUTO(
      Out, perform({.Method = "GET",
                    .Path = "/objects?prefix=" + encodeUriComponent(Prefix)}));
  return parsed(Out.Body, listingFrom);
}

Result<ObjectVersion> HttpObjectStore::put(const std::string &Name,
                                           const std::string &Text,
                                           ObjectVersion Expected) {
  BOOST_LEAF_AUTO(Out, perform({.Method = "PUT",
                                .Path = objectPath(Name),
                                .Body = Text,
                                .Condition = Expected}));
  if (!Out.Version)
    return fail(ErrorKind::PlatformOutcomeUnknown, "answer without version");
  return *Out.Version;
}

Result<void> HttpObjectStore::remove(const std::string &Name,
                                     ObjectVersion Expected) {
  BOOST_LEAF_CHECK(perform(
      {.Method = "DELETE", .Path = objectPath(Name), .Condition = Expected}));
  return {};
}

Result<Changes> HttpObjectStore::watch(const std::string &Prefix,
                                       ObjectVersion After,
                                       std::chrono::milliseconds Wait) {
  BOOST_LEAF_AUTO(
      Out, perform({.Method = "GET",
                    .Path = "/watch?prefix=" + encodeUriComponent(Prefix) +
                            "&after=" + std::to_string(After) +
                            "&wait_ms=" + std::to_string(Wait.count()),
                    .Wait = Wait}));
  return parsed(Out.Body, changesFrom);
}

HttpStoreCounts HttpObjectStore::counts() const {
  return {m_calls, m_bytesSent, m_bytesReceived};
}

} // namespace nutmegdrift::platform
