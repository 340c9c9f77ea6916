// Answers of the soak's replicas.
#include "replica_stand_in.h"

#include "names.h"

namespace nutmegdrift::soak {

namespace {

namespace names = platform::names;

constexpr int Served = 200;
constexpr int Misdirected = 421;
constexpr int Full = 503;
constexpr int ServerError = 500;
/// Work on a plain request, and to a stream's first event.
constexpr Duration LeastWork = std::chrono::milliseconds(5);
constexpr Duration MostWork = std::chrono::milliseconds(60);
constexpr Duration EventGap = std::chrono::milliseconds(25);
constexpr std::size_t LeastEvents = 4;
constexpr std::size_t MoreEvents = 60;

std::string field(const net::HttpRequest &Of, const char *Name) {
  return std::string(Of.Headers.find(Name).value_or(""));
}

net::HeaderList answerHeaders(const std::string &Id,
                              const std::string &Signature) {
  return {{names::RequestId, Id}, {names::Signature, Signature}};
}

} // namespace

std::string plainAnswer(const std::string &Id) {
  return "answer to " + Id + " " + std::to_string(hashText(Id)) + "\n";
}

std::size_t eventCount(const std::string &Id) {
  return LeastEvents + hashText(Id) % MoreEvents;
}

std::string eventText(const std::string &Id, std::size_t Number) {
  return "id: " + std::to_string(Number) + "\ndata: " + Id + " " +
         std::to_string(Number) + "\n\n";
}

ReplicaStandIn::ReplicaStandIn(net::EventLoop &Loop, const Clock &Clk,
                               Random &Rng, PromiseChecker &Checker,
                               const std::string &Host, Options Traits)
    : m_loop(Loop), m_clock(Clk), m_random(Rng), m_checker(Checker),
      m_host(Host), m_options(std::move(Traits)), m_link(Loop, Clk, {}) {
  m_link.start(Host);
}

ReplicaStandIn::~ReplicaStandIn() { crash(); }

void ReplicaStandIn::start() {
  crash();
  m_id = m_options.Name + "-" + std::to_string(++m_starts);
  m_server = std::make_unique<net::HttpServer>(
      m_loop, m_clock, [this](const Exchange &Caller) { serve(Caller); });
  m_server->listen({.Host = m_host, .Port = 0});
  m_link.setTarget({.Host = m_host, .Port = m_server->port()});
}

void ReplicaStandIn::crash() {
  m_timers.clear();
  m_server.reset();
  m_link.resetAll();
}

routing::ReplicaRecord ReplicaStandIn::record(bool Draining) const {
  return {.Id = m_id,
          .Service = m_options.Service,
          .Address = m_link.address(),
          .Zone = m_options.Zone,
          .Version = "v1",
          .Slots = m_options.Slots,
          .Draining = Draining};
}

void ReplicaStandIn::after(Duration Delay, std::function<void()> What) {
  const std::uint64_t Number = m_nextTimer++;
  auto Made = std::make_unique<net::Timer>(m_loop);
  Made->callAfter(Delay, [this, Number, What = std::move(What)] {
    const auto Done = m_timers.extract(Number);
    What();
  });
  m_timers[Number] = std::move(Made);
}

std::size_t ReplicaStandIn::busy() {
  std::erase_if(m_underWay, [](const auto &Each) {
    const auto Alive = Each.lock();
    return !Alive || !Alive->open();
  });
  return m_underWay.size();
}

void ReplicaStandIn::serve(const Exchange &Caller) {
  net::HttpRequest &Request = Caller->request();
  const std::string Id = field(Request, names::RequestId);
  const std::string Expected = field(Request, names::ExpectedReplica);
  if (!Expected.empty() && Expected != m_id) {
    Caller->answer(Misdirected, {{names::RequestId, Id}}, "");
    return;
  }
  if (busy() >= m_options.Slots) {
    Caller->answer(Full, {{names::RequestId, Id}, {names::NotExecuted, "1"}},
                   "");
    return;
  }
  m_underWay.push_back(Caller);
  m_checker.ran(Id, m_id, field(Request, names::Workspace));
  const double Luck = uniform(m_random);
  if (Luck < Faults.Hangs)
    return;
  const Duration Work =
      LeastWork + std::chrono::duration_cast<Duration>((MostWork - LeastWork) *
                                                       uniform(m_random));
  const std::string Resume = field(Request, names::ResumeAfter);
  after(Work, [this, Caller, Id, Resume, Luck] {
    if (Luck < Faults.Hangs + Faults.LosesAnswer)
      Caller->abort();
    else if (Luck < Faults.Hangs + Faults.LosesAnswer + Faults.Fails)
      Caller->answer(ServerError, answerHeaders(Id, "failed"), "failed\n");
    else if (m_options.Engine) {
      Caller->begin(Served, answerHeaders(Id, "stream"), std::nullopt);
      sendEvents(Caller, Id, Resume.empty() ? 1 : std::stoull(Resume) + 1);
    } else
      answerPlain(Caller, Id);
  });
}

void ReplicaStandIn::answerPlain(const Exchange &Caller,
                                 const std::string &Id) {
  const std::string Body = plainAnswer(Id);
  Caller->answer(Served, answerHeaders(Id, std::to_string(hashText(Body))),
                 Body);
}

void ReplicaStandIn::sendEvents(const Exchange &Caller, const std::string &Id,
                                std::size_t Next) {
  if (!Caller->open())
    return;
  if (Next > eventCount(Id)) {
    Caller->finish();
    return;
  }
  Caller->write(eventText(Id, Next));
  after(EventGap,
        [this, Caller, Id, Next] { sendEvents(Caller, Id, Next + 1); });
}

} // namespace nutmegdrift::soak
