// Requests of the soak's callers.
#include "caller.h"

#include "sample_deployment.h"

namespace nutmegdrift::soak {

namespace {

namespace names = platform::names;
using routing::Milliseconds;

/// One second for a new connection, as callers of the platform allow.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
constexpr Milliseconds PlainDeadline{1500};
constexpr Milliseconds StreamDeadline{4000};
/// Longest pause between two requests of one caller.
constexpr Duration MostThought = std::chrono::milliseconds(120);
/// A caller waits this much longer than its deadline before it leaves, so that
/// an answer that is due at the deadline still arrives.
constexpr Duration LeaveAfterDeadline = std::chrono::seconds(1);
/// Share of callers that leave early.
constexpr double LeavesEarly = 0.03;
/// Share of requests that go on a new connection.
constexpr double OpensAnew = 0.1;
constexpr Duration DirectoryTime = std::chrono::seconds(2);
/// Shared first parts of prompts.
constexpr std::uint64_t Prefixes = 12;
constexpr std::uint32_t PrefixTokens = 600;
constexpr std::uint32_t OwnTokens = 200;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;

} // namespace

Caller::Caller(Fleet &Of, unsigned Number)
    : m_fleet(Of), m_name("c" + std::to_string(Number)), m_timer(Of.Loop),
      m_patience(Of.Loop) {}

Caller::~Caller() {
  for (const auto &[Name, Each] : m_kept)
    Each->close();
  if (m_connection)
    m_connection->close();
  if (m_directory)
    m_directory->close();
}

void Caller::wait(Duration Time) {
  m_timer.callAfter(Time, [this] { sendNext(); });
}

void Caller::askDirectory() {
  m_namedUntil = m_fleet.Clk.now() + DirectoryTime;
  const auto &Asked = m_fleet.Daemons[m_fleet.Rng() % m_fleet.Daemons.size()];
  if (m_directory)
    m_directory->close();
  m_directory = std::make_shared<net::ClientConnection>(
      m_fleet.Loop, m_fleet.Clk, Asked->directory());
  auto Body = std::make_shared<std::string>();
  net::HttpRequest Request{.Method = "GET",
                           .Target = std::string(names::DirectoryPath) +
                                     "?name=" + platform::SampleHost +
                                     "&region=r&zone=z0",
                           .Headers = {{"Host", platform::SampleHost}},
                           .Body = {}};
  m_directory->send(
      net::serialise(Request), ConnectTimeout,
      {.OnBody = [Body](std::string_view Part) { Body->append(Part); },
       .OnEnd =
           [this, Body] {
             const auto Read = nlohmann::json::parse(*Body, nullptr, false);
             if (!Read.is_object() || !Read.contains("addresses"))
               return;
             m_named.clear();
             for (const auto &Each : Read["addresses"])
               if (const auto At = parseHostPort(Each.get<std::string>()))
                 m_named.push_back(*At);
           },
       // An answer that doesn't come leaves the earlier one in use.
       .OnFailure = [](net::ClientFailure) {}});
}

DaemonProcess &Caller::chooseDaemon() {
  const auto &All = m_fleet.Daemons;
  if (m_named.empty())
    return *All[m_fleet.Rng() % All.size()];
  const HostPort &Front = m_named[m_fleet.Rng() % m_named.size()];
  for (const auto &Each : All)
    if (Each->front() == Front)
      return *Each;
  return *All.front();
}

void Caller::sendNext() {
  if (m_stopped)
    return;
  const TimePoint Now = m_fleet.Clk.now();
  if (Now >= m_namedUntil)
    askDirectory();
  DaemonProcess &At = chooseDaemon();
  const routing::DesiredState &State = m_fleet.Operations->state();
  const routing::Route &Route =
      State.Routes[m_fleet.Rng() % State.Routes.size()];
  const std::vector<routing::Workspace> &Owners = State.Workspaces.value();
  const routing::Workspace &Owner = Owners[m_fleet.Rng() % Owners.size()];
  const bool Model = routing::isStream(Route.Kind);
  const Milliseconds Deadline = Model ? StreamDeadline : PlainDeadline;
  m_request = {.Id = m_name + "-" + std::to_string(++m_count),
               .Daemon = At.name(),
               .Key = Owner.Keys.front(),
               .Route = Route.Name,
               .Kind = Route.Kind,
               .At = Now,
               .Deadline = Now + Deadline};
  platform::SampleRequest Sample{.Id = m_request.Id,
                                 .Target = Route.PathPrefix + m_request.Id,
                                 .Key = m_request.Key,
                                 .Deadline = Deadline};
  if (Model) {
    Sample.Prompt = {
        {.Id = 1 + m_fleet.Rng() % Prefixes, .Tokens = PrefixTokens},
        {.Id = hashText(m_request.Id), .Tokens = OwnTokens}};
    Sample.OutputTokens = 64;
  }
  auto &Kept = m_kept[At.name()];
  const bool Anew = uniform(m_fleet.Rng) < OpensAnew;
  if (!Kept || !Kept->reusable() || Anew)
    Kept = std::make_shared<net::ClientConnection>(m_fleet.Loop, m_fleet.Clk,
                                                   At.callers().address());
  m_connection = Kept;
  m_head = {};
  m_body.clear();
  m_fleet.Checker.sent(m_request);
  m_connection->send(
      net::serialise(platform::sampleRequest(Sample)), ConnectTimeout,
      {.OnHead = [this](net::HttpAnswerHead Head) { m_head = std::move(Head); },
       .OnBody = [this](std::string_view Part) { m_body.append(Part); },
       .OnEnd = [this] { onEnd(); },
       .OnFailure =
           [this](net::ClientFailure Why) {
             // What came before the cut must be the replica's all the same.
             std::string Detail = "cause=" + std::string(net::toString(Why));
             const bool Wrong = endingOf(Detail) == Ending::Broken &&
                                Detail.find("short") == std::string::npos;
             finish(Wrong ? Ending::Broken : Ending::Cut, Detail);
           }});
  const Duration Patience = uniform(m_fleet.Rng) < LeavesEarly
                                ? std::chrono::duration_cast<Duration>(
                                      Deadline * uniform(m_fleet.Rng))
                                : Deadline + LeaveAfterDeadline;
  m_patience.callAfter(Patience, [this] { finish(Ending::Left, ""); });
}

Ending Caller::endingOf(std::string &Detail) const {
  Detail += " status=" + std::to_string(m_head.Status);
  if (m_head.Status >= FirstSuccess && m_head.Status < FirstRedirect) {
    std::string Wanted;
    if (routing::isStream(m_request.Kind))
      for (std::size_t I = 1; I <= eventCount(m_request.Id); ++I)
        Wanted += eventText(m_request.Id, I);
    else
      Wanted = plainAnswer(m_request.Id);
    if (m_body == Wanted &&
        m_head.Headers.find(names::RequestId) == m_request.Id)
      return Ending::Served;
    Detail += Wanted.starts_with(m_body) ? " body=short" : " body=other";
    return Ending::Broken;
  }
  switch (m_head.Status) {
  case 408:
  case 421:
  case 429:
  case 503:
    return Ending::NotRun;
  case 401:
  case 403:
  case 404:
    return Ending::Denied;
  default:
    return Ending::Failed;
  }
}

void Caller::onEnd() {
  std::string Detail;
  finish(endingOf(Detail), Detail);
}

void Caller::finish(Ending How, const std::string &Detail) {
  m_patience.cancel();
  m_fleet.Checker.ended(m_request.Id, How, Detail);
  if (m_connection && m_connection->busy())
    m_connection->close();
  m_connection.reset();
  Duration Pause =
      std::chrono::duration_cast<Duration>(MostThought * uniform(m_fleet.Rng));
  if (const auto Back = m_head.Headers.find("Retry-After");
      Back && How == Ending::NotRun)
    Pause += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::stod(std::string(*Back))));
  wait(std::min<Duration>(Pause, ConnectTimeout));
}

} // namespace nutmegdrift::soak
