#include "nutmegdrift/daemon/load_reader.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>

namespace nutmegdrift::daemon {

namespace {

std::optional<EngineLoad> parseLoad(const std::string &Text) {
  const auto Body = nlohmann::json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  const auto Count = [&](const char *Field) -> std::optional<std::size_t> {
    const auto Found = Body.find(Field);
    if (Found == Body.end() || !Found->is_number_unsigned())
      return std::nullopt;
    return Found->get<std::size_t>();
  };
  const auto Running = Count("running");
  const auto Waiting = Count("waiting");
  if (!Running || !Waiting)
    return std::nullopt;
  const auto Version = Body.find("version");
  return EngineLoad{*Running, *Waiting,
                    Version != Body.end() && Version->is_string()
                        ? Version->get<std::string>()
                        : std::string()};
}

} // namespace

std::optional<EngineLoad> readLoad(const config::Replica &At,
                                   std::chrono::milliseconds Timeout) {
  if (At.ServedTarget.Type != Target::Kind::Model)
    return std::nullopt;
  try {
    Poco::Net::HTTPClientSession Session(At.Address.Host, At.Address.Port);
    Session.setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(Timeout)
            .count()));
    Poco::Net::HTTPRequest Request("GET", "/load", "HTTP/1.1");
    Request.setKeepAlive(false);
    Session.sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::string Text;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
    if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
      return std::nullopt;
    return parseLoad(Text);
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

} // namespace nutmegdrift::daemon
