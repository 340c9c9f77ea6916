// Stand-in for a plain service: answers any path with JSON that holds the
// request id and the body. GET /runs is the tests' oracle.
#include "fake_support.h"

namespace {

using namespace nutmegdrift::fakes;

Json answerTo(const Endpoint &State, const HTTPServerRequest &Request,
              const std::string &Body) {
  return {{"request_id", Request.get("X-Request-Id", "")},
          {"service", State.options().Id},
          {"method", Request.getMethod()},
          {"path", Request.getURI()},
          {"body", Body}};
}

/// Announces the full length, sends only the first Bytes bytes and closes.
void sendCut(HTTPServerRequest &Request, HTTPServerResponse &Response,
             const std::string &Text, std::size_t Bytes) {
  echoRequestId(Request, Response);
  Response.setContentType("application/json");
  Response.setContentLength64(static_cast<Poco::Int64>(Text.size()));
  auto &Out = Response.send();
  Out << Text.substr(0, Bytes) << std::flush;
  dropConnection(Request);
}

void answer(Endpoint &State, HTTPServerRequest &Request,
            HTTPServerResponse &Response, std::size_t Index,
            const std::string &Body) {
  const auto Reply = answerTo(State, Request, Body);
  const auto Cut = State.faults().CutAfterTokens;
  if (Cut >= 0) {
    State.end(Index, "cut");
    return sendCut(Request, Response, Reply.dump(),
                   static_cast<std::size_t>(Cut));
  }
  State.end(Index, "completed");
  sendJson(Request, Response, 200, Reply);
}

void handleService(Endpoint &State, HTTPServerRequest &Request,
                   HTTPServerResponse &Response) {
  const auto Connected =
      State.connectedSince(Request.clientAddress().toString());
  const auto Raw = State.faults().RawAnswer;
  if (!Raw.empty() && State.faults().RawEarly) {
    State.end(State.begin(Request), "raw");
    return sendRaw(Request, Raw, true);
  }
  const auto Body = readBody(Request);
  const auto Index = State.begin(Request);
  if (!Raw.empty()) {
    State.end(Index, "raw");
    return sendRaw(Request, Raw, false);
  }
  if (crashedOn(State, Request, Index, Body))
    return;
  if (State.drawError(Request.get("X-Workspace", ""))) {
    State.end(Index, "error");
    return sendJson(Request, Response, 500, {{"error", "injected"}});
  }
  const auto Time = Millis(static_cast<Millis::rep>(
      static_cast<double>(State.options().Latency.count()) * State.slowness()));
  const auto Why = waitFor(State, Request, Time, Connected);
  if (Why != WaitEnd::Elapsed)
    return endEarly(State, Request, Index, Why);
  answer(State, Request, Response, Index, Body);
}

} // namespace

int main(int Argc, char **Argv) {
  Endpoint State(parseOptions(Argc, Argv, "fake_service"));
  serve(State, handleService);
}
