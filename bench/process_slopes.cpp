// Slopes that are measured inside the process: bytes of state and messages,
// processor time of the codec and of the scheduler.
#include "slope_series.h"

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/zone_object.h"
#include "nutmegdrift/policy/crash_suspects.h"
#include "nutmegdrift/policy/fair_scheduler.h"
#include "nutmegdrift/policy/service_counters.h"
#include "nutmegdrift/policy/ticket_table.h"
#include "nutmegdrift/wire/messages.h"

#include <malloc.h>

#include <chrono>
#include <functional>
#include <memory>

namespace nutmegdrift::bench {

namespace {

constexpr BootId SampleBoot = 0x1234567890abcdef;
/// One region of three, with the zone object of the daemon (see
/// membershipOptions): a third of 370 daemons and of 740 replicas.
constexpr double TargetRegionDaemons = 124.0;
constexpr double TargetRegionReplicas = 247.0;
constexpr double TargetWorkspaces = 220.0;
/// A tenth of the workspaces is backlogged.
constexpr double TargetBacklogged = 22.0;
constexpr double TargetCell = 16.0;
/// 24 requests/s for the ticket lifetime of 600 s, if all carried a ticket.
constexpr double TargetTickets = 14'400.0;
/// Assumed size of a stored answer of a plain service.
constexpr std::size_t AnswerBytes = 200;
/// Fingerprints that are kept at most.
constexpr double TargetSuspects = 16'384.0;

using Sizes = std::vector<std::size_t>;

std::string name(const char *Prefix, std::size_t Index) {
  return Prefix + std::to_string(Index);
}

double heapBytes() {
  const auto Info = ::mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

double secondsOf(const std::function<void()> &Work) {
  const auto Start = std::chrono::steady_clock::now();
  Work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

/// Calls Measure(N) for each size; the figure is what it returns.
Series along(Series Out, const Sizes &At,
             const std::function<double(std::size_t)> &Measure) {
  for (const auto N : At)
    Out.Points.push_back({static_cast<double>(N), Measure(N)});
  return Out;
}

/// Heap held by the object that Build returns.
template <class Build> double heldBy(Build Make) {
  const double Before = heapBytes();
  const auto Held = Make();
  return heapBytes() - Before;
}

double ticketBytes(std::size_t Count) {
  const SystemClock Clk;
  return heldBy([&] {
    auto Table = std::make_unique<policy::TicketTable>("d1", SampleBoot, Clk);
    const auto First = Table->grant(Count).value().First;
    for (std::size_t I = 0; I < Count; ++I) {
      const Ticket Value{"d1", SampleBoot, First + I};
      (void)Table->start(Value, I).value();
      Table->finish(Value, {200, "application/json",
                            std::string(AnswerBytes, 'a'), std::nullopt});
    }
    return Table;
  });
}

double counterBytes(std::size_t Count) {
  return heldBy([&] {
    auto Counters =
        std::make_unique<policy::ServiceCounters>("self", SampleBoot);
    for (std::size_t I = 0; I < Count; ++I)
      Counters->merge({.Daemon = name("daemon-", I / 220),
                       .Boot = SampleBoot,
                       .ServedTarget = {Target::Kind::Model, "model-1"},
                       .Workspace = name("workspace-", I % 220),
                       .Service = I});
    return Counters;
  });
}

double suspectBytes(std::size_t Count) {
  return heldBy([&] {
    auto Suspects = std::make_unique<policy::CrashSuspects>("d1", SampleBoot);
    std::vector<policy::SuspectEntry> Entries;
    for (std::size_t I = 0; I < Count; ++I)
      Entries.push_back({I + 1, {name("daemon-1-1234567890abcdef-", I)}});
    Suspects->merge(Entries, TimePoint(std::chrono::hours(1)));
    return Suspects;
  });
}

control::ZoneObject zoneWith(std::size_t Members, std::size_t Replicas) {
  control::ZoneObject Out;
  for (std::size_t I = 0; I < Members; ++I) {
    const auto Daemon = name("r1-z1-entry-", I);
    Out.Members[Daemon] = {Daemon, SampleBoot, "r1-z1", "10.120.100.100",
                           7000,   7100,       7200,    100'000};
  }
  for (std::size_t I = 0; I < Replicas; ++I)
    Out.Records[name("model-01-replica-", I)] = {
        .Owner = name("r1-z1-entry-", I / 2),
        .Boot = SampleBoot,
        .Epoch = 12,
        .Previous = {}};
  return Out;
}

config::Replica replicaSample(std::size_t Index) {
  return {.Id = name("model-01-replica-", Index),
          .ServedTarget = {Target::Kind::Model, "model-01"},
          .Address = {"10.120.100.100", 8000},
          .Zone = "r1-z1",
          .Version = "v12",
          .Capacity = 16};
}

double configBytes(std::size_t Workspaces) {
  config::FleetConfig Config;
  Config.Plans = {{"large", 2.0, 64}, {"usual", 1.0, 64}};
  for (std::size_t I = 0; I < Workspaces; ++I)
    Config.Workspaces.push_back({name("workspace-", I), "usual"});
  return static_cast<double>(config::printFleetConfig(Config).size());
}

wire::Counters countersWith(std::size_t Entries) {
  // Names go with the first message of a connection only.
  wire::Counters Out{.What = {Target::Kind::Model, "small-7b"}};
  for (std::size_t I = 0; I < Entries; ++I)
    Out.Entries.push_back({.Number = static_cast<std::uint32_t>(I),
                           .Service = 12345 + I,
                           .Backlog = I});
  return Out;
}

wire::Beat beatWith(std::size_t Members) {
  wire::Beat Out{100'000, 100'000, {}};
  for (std::size_t I = 0; I < Members; ++I)
    Out.Ages.push_back({name("r1-z1-entry-", I), wire::Millis(500)});
  return Out;
}

double encodedBytes(const wire::Message &Value) {
  return static_cast<double>(wire::encode(Value).size() +
                             wire::FramePrefixBytes);
}

/// Microseconds to encode and decode one message.
double codecMicros(const wire::Message &Value) {
  constexpr int Rounds = 2'000;
  const double Seconds = secondsOf([&] {
    for (int I = 0; I < Rounds; ++I)
      (void)wire::decode(wire::encode(Value)).value();
  });
  return 1e6 * Seconds / Rounds;
}

/// Microseconds to dispatch, charge and finish one request while every
/// workspace has a queue.
double dispatchMicros(std::size_t Workspaces) {
  constexpr int Rounds = 20'000;
  policy::FairScheduler Scheduler({Target::Kind::Model, "m"}, "d1", SampleBoot);
  TimePoint Now{std::chrono::seconds(1)};
  Scheduler.setReplicas({{.Record = replicaSample(0)}});
  for (std::size_t I = 0; I < Workspaces; ++I) {
    Scheduler.setWorkspace(name("w", I), 1.0, 64);
    for (int Queued = 0; Queued < 2; ++Queued)
      (void)Scheduler.enqueue({.Workspace = name("w", I)}, Now);
  }
  int Done = 0;
  const double Seconds = secondsOf([&] {
    for (int I = 0; I < Rounds; ++I) {
      Now += std::chrono::milliseconds(10);
      for (const auto &One : Scheduler.nextDispatch(Now)) {
        Scheduler.charge(One.Work, 10.0, Now);
        Scheduler.finish(One.Work, policy::Outcome::Completed, Now);
        (void)Scheduler.enqueue(
            {.Workspace =
                 name("w", static_cast<std::size_t>(Done) % Workspaces)},
            Now);
        ++Done;
      }
    }
  });
  return 1e6 * Seconds / std::max(Done, 1);
}

std::vector<Series> stateSeries() {
  const Sizes Items{1'000, 2'000, 4'000, 8'000};
  const std::string Memory = "128 MB for all state";
  return {along({"ticket table heap bytes", "started tickets", TargetTickets,
                 Memory},
                Items, ticketBytes),
          along({"counter heap bytes", "entries (daemon x workspace)",
                 TargetRegionDaemons * TargetWorkspaces, Memory},
                Items, counterBytes),
          along({"crash suspect heap bytes", "fingerprints", TargetSuspects,
                 Memory},
                Items, suspectBytes)};
}

std::vector<Series> documentSeries() {
  const std::string Value = "1 MB";
  const Sizes Records{16, 64, 128, 256};
  return {along({"zone object bytes of members", "daemons in the region",
                 TargetRegionDaemons, Value},
                {8, 16, 40, 124},
                [](auto N) {
                  return static_cast<double>(toJson(zoneWith(N, 0)).size());
                }),
          along({"zone object bytes of replicas", "replicas in the region",
                 TargetRegionReplicas, Value},
                Records,
                [](auto N) {
                  return static_cast<double>(toJson(zoneWith(0, N)).size());
                }),
          along({"endpoint record bytes", "replicas of the fleet", 740, ""},
                {96, 192, 384, 740},
                [](auto N) {
                  double Sum = 0.0;
                  for (std::size_t I = 0; I < N; ++I)
                    Sum += static_cast<double>(
                        config::printReplica(replicaSample(I)).size());
                  return Sum;
                }),
          along({"configuration bytes", "workspaces", TargetWorkspaces, Value},
                {16, 55, 110, 220}, configBytes)};
}

std::vector<Series> messageSeries() {
  const Sizes Entries{1, 5, 11, 22, 44};
  return {along({"Counters message bytes", "entries", TargetBacklogged,
                 "within 5 KB/s"},
                Entries, [](auto N) { return encodedBytes(countersWith(N)); }),
          along({"Counters codec microseconds", "entries", TargetBacklogged,
                 "within 2% of a core"},
                Entries, [](auto N) { return codecMicros(countersWith(N)); }),
          along({"Beat message bytes", "members of a cell", TargetCell,
                 "within 5 KB/s"},
                {4, 8, 12, 16},
                [](auto N) { return encodedBytes(beatWith(N)); }),
          along({"RelayChunk codec microseconds", "bytes of the chunk", 120,
                 "no control cost"},
                {60, 120, 480, 1'920}, [](auto N) {
                  return codecMicros(
                      wire::RelayChunk{1, SampleBoot, 7, std::string(N, 't')});
                })};
}

} // namespace

std::vector<Series> measureInProcess(bool Quick) {
  auto Out = messageSeries();
  if (Quick)
    return Out;
  for (auto &One : stateSeries())
    Out.push_back(std::move(One));
  for (auto &One : documentSeries())
    Out.push_back(std::move(One));
  Out.push_back(
      along({"scheduler microseconds per request", "backlogged workspaces",
             TargetBacklogged, "within 2% of a core"},
            {16, 55, 110, 220}, dispatchMicros));
  return Out;
}

} // namespace nutmegdrift::bench
