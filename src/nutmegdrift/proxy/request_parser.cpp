#include "request_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <nlohmann/json.hpp>

namespace nutmegdrift::proxy {

namespace {

using Poco::Net::HTTPServerRequest;

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxKeyLength = 256;
constexpr double MaxCostHint = 1e6;
/// Start of a prompt by which requests with a common prefix find the replica
/// that has it cached.
constexpr std::size_t PrefixBytes = 512;

std::optional<long> parseLong(const std::string &Text) {
  long Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Value;
}

Result<std::string> readBody(HTTPServerRequest &Request, std::size_t MaxBytes) {
  // A cut chunked body cannot be told from a whole one, so a length is needed.
  if (Request.getChunkedTransferEncoding())
    return fail(ErrorKind::MalformedRequest, "a body needs Content-Length");
  if (!Request.hasContentLength())
    return std::string{};
  const auto Length = Request.getContentLength64();
  if (Length < 0)
    return fail(ErrorKind::MalformedRequest, "bad Content-Length");
  if (static_cast<std::size_t>(Length) > MaxBytes)
    return fail(ErrorKind::BodyTooLarge,
                "body of " + std::to_string(Length) + " bytes, at most " +
                    std::to_string(MaxBytes) + " are taken");
  std::string Body(static_cast<std::size_t>(Length), '\0');
  Request.stream().read(Body.data(), static_cast<std::streamsize>(Length));
  if (Request.stream().gcount() != Length)
    return fail(ErrorKind::MalformedRequest, "body shorter than its length");
  return Body;
}

Result<void> checkHeaders(const HTTPServerRequest &Request,
                          std::size_t MaxBytes) {
  std::size_t Bytes = 0;
  for (const auto &[Name, Value] : Request)
    Bytes += Name.size() + Value.size();
  if (Bytes > MaxBytes)
    return fail(ErrorKind::HeaderTooLarge,
                "header of " + std::to_string(Bytes) + " bytes, at most " +
                    std::to_string(MaxBytes) + " are taken");
  return {};
}

Result<TimePoint> parseDeadline(const HTTPServerRequest &Request, TimePoint Now,
                                const FrontendOptions &Options) {
  if (!Request.has("X-Deadline-Ms"))
    return Now + Options.DefaultDeadline;
  const auto Millis = parseLong(Request.get("X-Deadline-Ms"));
  if (!Millis)
    return fail(ErrorKind::MalformedRequest, "X-Deadline-Ms is not a number");
  if (*Millis <= 0)
    return fail(ErrorKind::DeadlinePassed, "deadline is in the past");
  return Now +
         std::min(std::chrono::milliseconds(*Millis), Options.LongestRequest);
}

Result<void> parseModel(RequestContext &Context) {
  const auto Body = nlohmann::json::parse(Context.Body, nullptr, false);
  if (!Body.is_object())
    return fail(ErrorKind::MalformedRequest, "body is not a JSON object");
  const auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string() ||
      !isName(Model->get_ref<const std::string &>()))
    return fail(ErrorKind::MalformedRequest, "field model is missing or bad");
  const auto Stream = Body.find("stream");
  if (Stream != Body.end() && !Stream->is_boolean())
    return fail(ErrorKind::MalformedRequest, "field stream is not a boolean");
  Context.What = {Target::Kind::Model, *Model};
  Context.Streaming = Stream != Body.end() && Stream->get<bool>();
  const auto Prompt = Body.find("prompt");
  if (Prompt != Body.end() && Prompt->is_string())
    Context.PrefixHash =
        hashText(std::string_view(Prompt->get_ref<const std::string &>())
                     .substr(0, PrefixBytes),
                 hashText(Context.Workspace));
  return {};
}

Result<void> parseService(RequestContext &Context) {
  const auto Rest =
      std::string_view(Context.Path).substr(ServicesPrefix.size());
  const auto Slash = Rest.find('/');
  const auto Name = Rest.substr(0, std::min(Slash, Rest.find('?')));
  if (!isName(Name))
    return fail(ErrorKind::MalformedRequest, "bad service name in the path");
  Context.What = {Target::Kind::Service, std::string(Name)};
  Context.Path = Slash == std::string_view::npos
                     ? std::string("/")
                     : std::string(Rest.substr(Slash));
  return {};
}

Result<void> parseTarget(RequestContext &Context) {
  if (Context.Path.starts_with(ServicesPrefix))
    return parseService(Context);
  if (Context.Path != CompletionsPath)
    return fail(ErrorKind::UnknownTarget, "no such path");
  if (Context.Method != "POST")
    return fail(ErrorKind::MalformedRequest, "completions are sent by POST");
  return parseModel(Context);
}

Result<void> parseRunOnce(const HTTPServerRequest &Request,
                          RequestContext &Context) {
  Context.IdempotencyKey = Request.get("Idempotency-Key", "");
  if (Context.IdempotencyKey.size() > MaxKeyLength)
    return fail(ErrorKind::MalformedRequest, "Idempotency-Key is too long");
  if (!Request.has("X-Ticket"))
    return {};
  Context.RunTicket = parseTicket(Request.get("X-Ticket"));
  if (!Context.RunTicket)
    return fail(ErrorKind::TicketInvalid, "X-Ticket is not home.boot.sequence");
  return {};
}

Result<void> parseCostHint(const HTTPServerRequest &Request,
                           RequestContext &Context) {
  if (!Request.has("X-Cost-Hint"))
    return {};
  const auto Tokens = parseLong(Request.get("X-Cost-Hint"));
  if (!Tokens || *Tokens < 0)
    return fail(ErrorKind::MalformedRequest, "X-Cost-Hint is not a count");
  Context.CostHint = std::min(static_cast<double>(*Tokens), MaxCostHint);
  return {};
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '.' || C == '_' || C == '-';
         });
}

Result<RequestContext> parseRequest(HTTPServerRequest &Request, std::string Id,
                                    TimePoint Now,
                                    const FrontendOptions &Options) {
  RequestContext Context{.Id = std::move(Id),
                         .Workspace = Request.get("X-Workspace", ""),
                         .What = {},
                         .Method = Request.getMethod(),
                         .Path = Request.getURI(),
                         .ContentType = Request.getContentType(),
                         .Body = {}};
  BOOST_LEAF_CHECK(checkHeaders(Request, Options.MaxHeaderBytes));
  BOOST_LEAF_AUTO(Body, readBody(Request, Options.MaxBodyBytes));
  Context.Body = std::move(Body);
  if (!isName(Context.Workspace))
    return fail(ErrorKind::MalformedRequest,
                "header X-Workspace is missing or bad");
  BOOST_LEAF_CHECK(parseTarget(Context));
  BOOST_LEAF_CHECK(parseRunOnce(Request, Context));
  BOOST_LEAF_CHECK(parseCostHint(Request, Context));
  BOOST_LEAF_AUTO(Deadline, parseDeadline(Request, Now, Options));
  Context.Deadline = Deadline;
  return Context;
}

} // namespace nutmegdrift::proxy
