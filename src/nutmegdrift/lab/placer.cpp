// The product's dispatcher and simple policies behind one interface.
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
  explicit DispatcherPlacer(const PlacerContext &With)
      : m_service{.Name = ServiceName, .Engine = With.Engine},
        m_dispatcher(With.Options, With.Seed) {}

  void setEngines(const std::vector<unsigned> &Live, TimePoint Now) override {
    std::vector<routing::ReplicaRecord> Records;
    Records.reserve(Live.size());
    for (const unsigned Each : Live)
      Records.push_back({.Id = std::to_string(Each),
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

/// Places each request at once by a rule.
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
    const unsigned Where = m_live[(this->*m_choose)(Request)];
    ++m_requests[Where];
    m_placedAt[Request.Key] = Where;
    return {{.Key = Request.Key, .Destination = std::to_string(Where)}};
  }
  std::vector<ModelDecision> pump(TimePoint) override { return {}; }
  void started(RequestKey, TimePoint) override {}
  void ended(RequestKey Key, ReplicaOutcome, TimePoint) override {
    const auto Found = m_placedAt.find(Key);
    if (Found == m_placedAt.end())
      return;
    --m_requests[Found->second];
    m_placedAt.erase(Found);
  }

  std::size_t inTurn(const ModelRequest &) { return m_turn++ % m_live.size(); }
  std::size_t leastRequests(const ModelRequest &) {
    const auto Least = std::min_element(m_live.begin(), m_live.end(),
                                        [this](unsigned A, unsigned B) {
                                          return m_requests[A] < m_requests[B];
                                        });
    return static_cast<std::size_t>(Least - m_live.begin());
  }
  /// The engine that the shared part belongs to, however busy it is.
  std::size_t home(const ModelRequest &Request) {
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
  std::map<RequestKey, unsigned> m_placedAt;
  std::size_t m_turn = 0;
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
      [](const PlacerContext &With) -> std::unique_ptr<Placer> {
        return std::make_unique<DispatcherPlacer>(With);
      }},
     {"round-robin", immediate<&ImmediatePlacer::inTurn>},
     {"least-requests", immediate<&ImmediatePlacer::leastRequests>},
     {"prefix-home", immediate<&ImmediatePlacer::home>}}};

} // namespace

std::vector<std::string> placerNames() {
  std::vector<std::string> Out;
  Out.reserve(Placers.size());
  for (const PlacerEntry &Each : Placers)
    Out.emplace_back(Each.Name);
  return Out;
}

bool isPlacer(const std::string &Name) {
  const auto All = placerNames();
  return std::find(All.begin(), All.end(), Name) != All.end();
}

std::unique_ptr<Placer> makePlacer(const std::string &Name,
                                   const PlacerContext &With) {
  for (const PlacerEntry &Each : Placers)
    if (Name == Each.Name)
      return Each.Make(With);
  return nullptr;
}

} // namespace nutmegdrift::lab
