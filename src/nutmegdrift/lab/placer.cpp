// The dispatcher of the daemons, and simple policies, as placers.
#include "nutmegdrift/lab/placer.h"

#include <algorithm>
#include <array>

namespace nutmegdrift::lab {

namespace {

using routing::ModelDecision;
using routing::ModelRequest;
using routing::ReplicaOutcome;
using routing::RequestKey;

const std::string ServiceName = "s";

class DispatcherPlacer final : public Placer {
public:
  explicit DispatcherPlacer(const PlacerContext &Context)
      : m_service{.Name = ServiceName, .Engine = Context.Engine},
        m_dispatcher(Context.Options, Context.Seed) {}

  void setEngines(const std::vector<unsigned> &Live, TimePoint Now) override {
    std::vector<routing::ReplicaRecord> Records;
    Records.reserve(Live.size());
    for (const unsigned Engine : Live)
      Records.push_back({.Id = std::to_string(Engine),
                         .Service = ServiceName,
                         .Slots = m_service.Engine->Slots});
    m_table.replaceAll(Records, Now, std::nullopt);
    m_dispatcher.setReplicas(m_table.usable(ServiceName), m_service);
  }
  std::vector<ModelDecision> offer(ModelRequest Request,
                                   TimePoint Now) override {
    if (const auto Refused = m_dispatcher.offer(std::move(Request), Now))
      return {*Refused};
    return m_dispatcher.pump(Now);
  }
  std::vector<ModelDecision> pump(TimePoint Now) override {
    return m_dispatcher.pump(Now);
  }
  void started(RequestKey Key, TimePoint Now) override {
    m_dispatcher.started(Key, Now);
  }
  void ended(RequestKey Key, ReplicaOutcome Outcome, TimePoint Now) override {
    if (!m_dispatcher.withdraw(Key))
      m_dispatcher.ended(Key, Outcome, Now);
  }

private:
  const routing::Service m_service;
  routing::ReplicaTable m_table;
  routing::ModelDispatcher m_dispatcher;
};

/// Places each request on arrival by a fixed rule.
class ImmediatePlacer final : public Placer {
public:
  /// Returns an index into m_live.
  using Rule = std::size_t (ImmediatePlacer::*)(const ModelRequest &);
  explicit ImmediatePlacer(Rule Choose) : m_choose(Choose) {}

  void setEngines(const std::vector<unsigned> &Live, TimePoint) override {
    m_live = Live;
  }
  std::vector<ModelDecision> offer(ModelRequest Request, TimePoint) override {
    if (m_live.empty())
      return {{.Key = Request.Key, .RetryAfter = routing::Milliseconds(1000)}};
    const unsigned Engine = m_live[(this->*m_choose)(Request)];
    ++m_requests[Engine];
    m_engineByRequest[Request.Key] = Engine;
    return {{.Key = Request.Key, .Destination = std::to_string(Engine)}};
  }
  std::vector<ModelDecision> pump(TimePoint) override { return {}; }
  void started(RequestKey, TimePoint) override {}
  void ended(RequestKey Key, ReplicaOutcome, TimePoint) override {
    const auto Entry = m_engineByRequest.find(Key);
    if (Entry == m_engineByRequest.end())
      return;
    --m_requests[Entry->second];
    m_engineByRequest.erase(Entry);
  }

  std::size_t roundRobin(const ModelRequest &) {
    return m_nextIndex++ % m_live.size();
  }
  std::size_t leastRequests(const ModelRequest &) {
    const auto Least = std::min_element(m_live.begin(), m_live.end(),
                                        [this](unsigned A, unsigned B) {
                                          return m_requests[A] < m_requests[B];
                                        });
    return static_cast<std::size_t>(Least - m_live.begin());
  }
  /// Selects the shared prefix's preferred engine, however busy it is.
  std::size_t preferredEngine(const ModelRequest &Request) {
    const routing::SharedPrefix Prefix(Request.Prompt);
    if (Prefix.levels().empty())
      return leastRequests(Request);
    const auto Score = [&](unsigned Engine) {
      return hashText(std::to_string(Engine), Prefix.levels().back().Chain);
    };
    const auto Best = std::max_element(
        m_live.begin(), m_live.end(),
        [&](unsigned A, unsigned B) { return Score(A) < Score(B); });
    return static_cast<std::size_t>(Best - m_live.begin());
  }

private:
  const Rule m_choose;
  std::vector<unsigned> m_live;
  std::map<unsigned, std::size_t> m_requests;
  std::map<RequestKey, unsigned> m_engineByRequest;
  std::size_t m_nextIndex = 0;
};

struct PlacerEntry {
  const char *Name;
  std::unique_ptr<Placer> (*Make)(const PlacerContext &);
};

template <ImmediatePlacer::Rule Choose>
std::unique_ptr<Placer> immediate(const PlacerContext &) {
  return std::make_unique<ImmediatePlacer>(Choose);
}

const std::array<PlacerEntry, 4> Placers{
    {{"dispatcher",
      [](const PlacerContext &Context) -> std::unique_ptr<Placer> {
        return std::make_unique<DispatcherPlacer>(Context);
      }},
     {"round-robin", immediate<&ImmediatePlacer::roundRobin>},
     {"least-requests", immediate<&ImmediatePlacer::leastRequests>},
     {"prefix-home", immediate<&ImmediatePlacer::preferredEngine>}}};

} // namespace

std::vector<std::string> placerNames() {
  std::vector<std::string> Out;
  Out.reserve(Placers.size());
  for (const PlacerEntry &Entry : Placers)
    Out.emplace_back(Entry.Name);
  return Out;
}

bool isPlacer(const std::string &Name) {
  const auto All = placerNames();
  return std::find(All.begin(), All.end(), Name) != All.end();
}

std::unique_ptr<Placer> makePlacer(const std::string &Name,
                                   const PlacerContext &Context) {
  for (const PlacerEntry &Entry : Placers)
    if (Name == Entry.Name)
      return Entry.Make(Context);
  return nullptr;
}

} // namespace nutmegdrift::lab
