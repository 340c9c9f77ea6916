// Stand-in for a model engine: continuous batching, cold starts, orders with
// fencing numbers, and fault switches. GET /runs is the tests' oracle.
#include "fake_support.h"

#include <cmath>

namespace {

using namespace nutmegdrift::fakes;

constexpr int DefaultTokens = 16;

Millis scaled(Millis Time, double Factor) {
  return Millis(std::llround(static_cast<double>(Time.count()) * Factor));
}

Json tokenEvent(const std::string &Id, int Index) {
  return {{"id", Id}, {"token", "t" + std::to_string(Index)}, {"index", Index}};
}

/// One completion from its first check to its last byte.
class Completion {
public:
  Completion(Endpoint &State, HTTPServerRequest &Request,
             HTTPServerResponse &Response)
      : m_state(State), m_request(Request), m_response(Response),
        m_id(Request.get("X-Request-Id", "")),
        m_connected(State.connectedSince(Request.clientAddress().toString())) {}

  void run() {
    const auto Text = readBody(m_request);
    const auto Body = Json::parse(Text);
    m_tokens = Body.value("max_tokens", DefaultTokens);
    m_index = m_state.begin(m_request);
    if (crashedOn(m_state, m_request, m_index, Body.value("prompt", "")))
      return;
    if (m_state.overloadedWhileCold())
      return fallOver();
    if (m_state.drawError(m_request.get("X-Workspace", "")))
      return answerError();
    if (!wait(scaled(m_state.options().FirstToken, m_state.coldness())))
      return;
    Body.value("stream", false) ? stream() : answerWhole();
  }

private:
  void fallOver() {
    m_state.fall();
    m_state.end(m_index, "crashed");
    dropConnection(m_request);
  }

  void answerError() {
    m_state.end(m_index, "error");
    sendJson(m_request, m_response, 500, {{"error", "injected"}});
  }

  /// False if the run has ended.
  bool wait(Millis Time) {
    const auto Why = waitFor(m_state, m_request,
                             scaled(Time, m_state.slowness()), m_connected);
    if (Why != WaitEnd::Elapsed)
      endEarly(m_state, m_request, m_index, Why);
    return Why == WaitEnd::Elapsed;
  }

  /// Waits for token Index and counts it. False if the run has ended.
  bool produce(int Index) {
    if (m_state.faults().CutAfterTokens == Index) {
      m_state.end(m_index, "cut");
      dropConnection(m_request);
      return false;
    }
    if (Index > 0 && !wait(m_state.options().Token))
      return false;
    m_state.countToken(m_index);
    return true;
  }

  void stream() {
    echoRequestId(m_request, m_response);
    m_response.setContentType("text/event-stream");
    m_response.setChunkedTransferEncoding(true);
    auto &Out = m_response.send();
    for (int I = 0; I < m_tokens; ++I) {
      if (!produce(I))
        return;
      Out << "data: " << tokenEvent(m_id, I).dump() << "\n\n" << std::flush;
      if (!Out)
        return endEarly(m_state, m_request, m_index, WaitEnd::PeerClosed);
    }
    m_state.end(m_index, "completed");
    Out << "data: [DONE]\n\n" << std::flush;
  }

  void answerWhole() {
    std::string Text;
    for (int I = 0; I < m_tokens; ++I) {
      if (!produce(I))
        return;
      Text += "t" + std::to_string(I) + " ";
    }
    m_state.end(m_index, "completed");
    sendJson(m_request, m_response, 200,
             {{"id", m_id}, {"text", Text}, {"tokens", m_tokens}});
  }

  Endpoint &m_state;
  HTTPServerRequest &m_request;
  HTTPServerResponse &m_response;
  const std::string m_id;
  const SteadyClock::time_point m_connected;
  std::size_t m_index = 0;
  int m_tokens = 0;
};

void takeOrder(Endpoint &State, HTTPServerRequest &Request,
               HTTPServerResponse &Response) {
  const auto Body = Json::parse(readBody(Request));
  const auto Fence = Body.at("fence").get<std::uint64_t>();
  if (Body.at("order") != "load_version")
    return sendJson(Request, Response, 400, {{"error", "unknown order"}});
  if (!State.takeFence(Fence))
    return sendJson(Request, Response, 409, {{"error", "old fencing number"}});
  std::this_thread::sleep_for(State.faults().Order);
  State.setVersion(Body.at("version"), Fence);
  sendJson(Request, Response, 200, State.load());
}

void handleEngine(Endpoint &State, HTTPServerRequest &Request,
                  HTTPServerResponse &Response) {
  if (Request.getURI() == "/v1/completions")
    return Completion(State, Request, Response).run();
  if (Request.getURI() == "/orders")
    return takeOrder(State, Request, Response);
  sendJson(Request, Response, 404, {{"error", "no such path"}});
}

} // namespace

int main(int Argc, char **Argv) {
  Endpoint State(parseOptions(Argc, Argv, "fake_engine"));
  serve(State, handleEngine);
}
