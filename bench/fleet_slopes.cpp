// Slopes that are measured on real daemons: memory and processor time from
// /proc, traffic from /metrics, calls from the fake platform.
#include "slope_series.h"

#include "support/loopback_fleet.h"

#include "nutmegdrift/config/documents.h"
#include "nutmegdrift/control/zone_object.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace nutmegdrift::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testing::FleetDaemon;
using testing::HttpAnswer;
using testing::LoopbackFleet;

constexpr std::size_t BaseDaemons = 8;
constexpr std::size_t BaseReplicas = 24;
constexpr std::size_t BaseWorkspaces = 16;
constexpr std::size_t BaseModels = 4;
/// Live engines of the load axis, and the requests each of them bears.
constexpr std::size_t LoadEngines = 8;
constexpr std::size_t EngineBears = 8;
/// Two lengths, so that the cost of a request and of a token can be told apart.
constexpr int ShortAnswerTokens = 15;
constexpr int LongAnswerTokens = 240;
constexpr double BytesPerKb = 1024.0;

/// Time for elections and first reads, and the window of the figures.
struct Windows {
  milliseconds Settle{5'000};
  milliseconds Measure{7'000};
};

/// What a fleet is made of.
struct Shape {
  std::size_t Daemons = BaseDaemons;
  std::size_t Replicas = BaseReplicas;
  std::size_t Workspaces = BaseWorkspaces;
  std::size_t Models = BaseModels;
};

Target modelOf(std::size_t Index) {
  return {Target::Kind::Model, "model-" + std::to_string(Index)};
}

std::string workspaceOf(std::size_t Index) {
  return "workspace-" + std::to_string(Index);
}

void writeConfig(const LoopbackFleet &Fleet, const Shape &Of) {
  config::FleetConfig Config;
  Config.Plans = {{"usual", 1.0, 64}};
  Config.Zones = {{"z1", false}, {"z2", false}, {"z3", false}};
  for (std::size_t I = 0; I < Of.Workspaces; ++I)
    Config.Workspaces.push_back({workspaceOf(I), "usual"});
  config::Access Rule{"usual", {{Target::Kind::Model, "small"}}};
  for (std::size_t I = 0; I < Of.Models; ++I)
    Rule.Targets.push_back(modelOf(I));
  Config.AccessRules = {Rule};
  Fleet.writeObject("config", config::printFleetConfig(Config));
}

/// Writes endpoint records without an engine: connections to Port are refused.
void writeRecords(const LoopbackFleet &Fleet, const Shape &Of,
                  std::uint16_t Port) {
  for (std::size_t I = 0; I < Of.Replicas; ++I) {
    const auto Id = "replica-" + std::to_string(I);
    const config::Replica Record{.Id = Id,
                                 .ServedTarget = modelOf(I % Of.Models),
                                 .Address = {"127.0.0.1", Port},
                                 .Zone = "z" + std::to_string(1 + I % 3),
                                 .Version = "v1",
                                 .Capacity = EngineBears};
    Fleet.writeObject("endpoints/" + Id, config::printReplica(Record));
  }
}

void startDaemons(LoopbackFleet &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    Fleet.addDaemon("d" + std::to_string(I), "z" + std::to_string(1 + I % 3),
                    false);
  constexpr int ReadySeconds = 40;
  for (std::size_t I = 0; I < Count; ++I)
    if (!LoopbackFleet::waitReady(Fleet.daemon(I), ReadySeconds))
      throw std::runtime_error("daemon " + std::to_string(I) +
                               " did not become ready");
}

/// Totals of one daemon since its start, and its memory now.
struct Totals {
  steady_clock::time_point When;
  double ResidentKb = 0.0;
  double CpuSeconds = 0.0;
  double ControlBytes = 0.0;
  double Messages = 0.0;
  double PlatformCalls = 0.0;
  double PlatformBytes = 0.0;
};

double residentKb(pid_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stod(Line.substr(Line.find(':') + 1));
  return 0.0;
}

/// User and system time.
double cpuSeconds(pid_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text;
  std::getline(In, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
  constexpr int BeforeTimes = 11; // Fields between the name and utime.
  std::string Skipped;
  for (int I = 0; I < BeforeTimes; ++I)
    Fields >> Skipped;
  double User = 0.0;
  double System = 0.0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Sum of the samples of one metric, over all its labels, or over those of
/// one label if Name ends in its value.
double metric(const std::string &Text, const std::string &Name) {
  std::istringstream In(Text);
  double Sum = 0.0;
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with(Name) &&
        std::string(" {}").find(Line[Name.size()]) != std::string::npos)
      Sum += std::stod(Line.substr(Line.rfind(' ')));
  return Sum;
}

/// The text of /metrics. A lost answer is asked for again: counters read as 0
/// would give negative rates.
std::string metricsOf(const FleetDaemon &Of) {
  constexpr int Tries = 3;
  for (int I = 0; I < Tries; ++I) {
    const auto Answer =
        testing::call({.Port = Of.AdminPort, .Path = "/metrics"});
    if (Answer.Status == 200 && Answer.Whole)
      return Answer.Body;
    std::cerr << Of.Name << ": /metrics answered status " << Answer.Status
              << (Answer.Whole ? "" : ", cut short") << "\n";
  }
  throw std::runtime_error(Of.Name + " does not answer /metrics");
}

Totals read(const FleetDaemon &Of) {
  const auto Text = metricsOf(Of);
  return {.When = steady_clock::now(),
          .ResidentKb = residentKb(Of.Process->pid()),
          .CpuSeconds = cpuSeconds(Of.Process->pid()),
          .ControlBytes = metric(Text, "nutmegdrift_control_bytes_total"),
          .Messages = metric(Text, "nutmegdrift_peer_messages_total"),
          .PlatformCalls = metric(Text, "nutmegdrift_platform_calls_total"),
          .PlatformBytes = metric(Text, "nutmegdrift_platform_bytes_total")};
}

/// Means over the daemons, a second, and the platform's own count of calls.
struct Rates {
  double ResidentMb = 0.0;
  double CpuPercent = 0.0;
  double ControlBytes = 0.0;
  double Messages = 0.0;
  double PlatformCalls = 0.0;
  double PlatformBytes = 0.0;
  double BusiestControlBytes = 0.0; ///< Of one daemon, usually zone writer.
  double BusiestCpuPercent = 0.0;   ///< Of one daemon.
  double Reads = 0.0;               ///< Whole fleet.
  double Writes = 0.0;              ///< Whole fleet.
  double Watches = 0.0;             ///< Whole fleet.
};

void addRates(Rates &To, const Totals &Before, const Totals &After,
              double Daemons) {
  const double Seconds =
      std::chrono::duration<double>(After.When - Before.When).count();
  const double Scale = 1.0 / (Seconds * Daemons);
  To.ResidentMb += After.ResidentKb / BytesPerKb / Daemons;
  To.CpuPercent += 100.0 * (After.CpuSeconds - Before.CpuSeconds) * Scale;
  To.ControlBytes += (After.ControlBytes - Before.ControlBytes) * Scale;
  To.BusiestControlBytes =
      std::max(To.BusiestControlBytes,
               (After.ControlBytes - Before.ControlBytes) / Seconds);
  To.BusiestCpuPercent =
      std::max(To.BusiestCpuPercent,
               100.0 * (After.CpuSeconds - Before.CpuSeconds) / Seconds);
  To.Messages += (After.Messages - Before.Messages) * Scale;
  To.PlatformCalls += (After.PlatformCalls - Before.PlatformCalls) * Scale;
  To.PlatformBytes += (After.PlatformBytes - Before.PlatformBytes) * Scale;
}

std::vector<Totals> readAll(LoopbackFleet &Fleet) {
  std::vector<Totals> Out;
  for (std::size_t I = 0; I < Fleet.daemons(); ++I)
    Out.push_back(read(Fleet.daemon(I)));
  return Out;
}

nlohmann::json platformCalls(const LoopbackFleet &Fleet) {
  return testing::call({.Port = Fleet.platformPort(), .Path = "/calls"}).json();
}

Rates measure(LoopbackFleet &Fleet, milliseconds Window) {
  const auto CallsBefore = platformCalls(Fleet);
  const auto Start = steady_clock::now();
  const auto Before = readAll(Fleet);
  std::this_thread::sleep_for(Window);
  const auto After = readAll(Fleet);
  const auto CallsAfter = platformCalls(Fleet);
  const double Seconds =
      std::chrono::duration<double>(steady_clock::now() - Start).count();
  Rates Out;
  for (std::size_t I = 0; I < Before.size(); ++I)
    addRates(Out, Before[I], After[I], static_cast<double>(Before.size()));
  const auto Rate = [&](const char *Kind) {
    return (CallsAfter.value(Kind, 0.0) - CallsBefore.value(Kind, 0.0)) /
           Seconds;
  };
  Out.Reads = Rate("reads");
  Out.Writes = Rate("writes");
  Out.Watches = Rate("watches");
  return Out;
}

/// A figure of Rates with its name and limit.
struct Figure {
  const char *Name;
  double Rates::*Value;
  const char *Limit;
};

constexpr std::array PerDaemon{
    Figure{"resident MB per daemon", &Rates::ResidentMb, "128"},
    Figure{"CPU percent per daemon", &Rates::CpuPercent, "2"},
    Figure{"control bytes/s per daemon", &Rates::ControlBytes, "5000"},
    Figure{"control bytes/s of the busiest daemon", &Rates::BusiestControlBytes,
           "5000"},
    Figure{"CPU percent of the busiest daemon", &Rates::BusiestCpuPercent, "2"},
    Figure{"messages/s per daemon", &Rates::Messages, ""},
    Figure{"platform calls/s per daemon", &Rates::PlatformCalls, ""},
    Figure{"platform bytes/s per daemon", &Rates::PlatformBytes, "5000"},
};
constexpr std::array PerFleet{
    Figure{"platform reads/s of the fleet", &Rates::Reads, "2000"},
    Figure{"platform writes/s of the fleet", &Rates::Writes, "several 100"},
    Figure{"platform watches/s of the fleet", &Rates::Watches, "2000"},
};

/// All daemons of a loopback fleet are in one region, and state and messages
/// of a daemon concern its region: a third of the daemons at the target size.
constexpr double TargetDaemons = 370.0;
constexpr double TargetRegionDaemons = 124.0;
/// Daemons that exchange beats (design, section 6).
constexpr std::size_t MaxCell = 16;

struct Axis {
  std::string Name;
  double Target = 0.0;
  std::vector<std::size_t> Sizes;
};

class AxisRecorder {
public:
  explicit AxisRecorder(const Axis &Of, bool WithFleet) {
    for (const auto &One : PerDaemon)
      add(One, Of);
    if (WithFleet)
      for (const auto &One : PerFleet)
        add(One, {"daemons of the fleet", TargetDaemons, {}});
  }

  void record(double X, const Rates &At) {
    for (std::size_t I = 0; I < m_series.size(); ++I)
      m_series[I].Points.push_back({X, At.*m_values[I]});
    std::cerr << m_series.front().Axis << " " << X << " measured\n";
  }

  [[nodiscard]] const std::vector<Series> &series() const { return m_series; }

private:
  void add(const Figure &One, const Axis &Of) {
    m_series.push_back({One.Name, Of.Name, Of.Target, One.Limit});
    m_values.push_back(One.Value);
  }

  std::vector<Series> m_series;
  std::vector<double Rates::*> m_values;
};

/// Mean members of a cell, which the daemons are divided evenly into.
double cellSize(std::size_t Daemons) {
  const auto Cells = (Daemons + MaxCell - 1) / MaxCell;
  return static_cast<double>(Daemons) / static_cast<double>(Cells);
}

/// A new fleet for each point.
std::vector<Series> daemonsAxis(const Axis &Of, const Windows &Time) {
  AxisRecorder Out(Of, true);
  Series Cell{"control bytes/s per daemon", "members of a cell",
              static_cast<double>(MaxCell), "5000"};
  for (const auto Count : Of.Sizes) {
    const Shape Made{.Daemons = Count};
    LoopbackFleet Fleet;
    writeConfig(Fleet, Made);
    writeRecords(Fleet, Made, testing::freePort());
    startDaemons(Fleet, Made.Daemons);
    std::this_thread::sleep_for(Time.Settle);
    const auto Rates = measure(Fleet, Time.Measure);
    Out.record(static_cast<double>(Count), Rates);
    Cell.Points.push_back({cellSize(Count), Rates.ControlBytes});
  }
  auto All = Out.series();
  All.push_back(Cell);
  return All;
}

/// One fleet, whose records and configuration grow from point to point.
std::vector<Series> growingAxis(const Axis &Of, const Windows &Time,
                                std::size_t Shape::*Grows, Shape Made) {
  AxisRecorder Out(Of, false);
  LoopbackFleet Fleet;
  const auto Refusing = testing::freePort();
  bool Started = false;
  for (const auto Size : Of.Sizes) {
    Made.*Grows = Size;
    writeConfig(Fleet, Made);
    writeRecords(Fleet, Made, Refusing);
    if (!Started)
      startDaemons(Fleet, Made.Daemons);
    Started = true;
    std::this_thread::sleep_for(Time.Settle);
    Out.record(static_cast<double>(Size), measure(Fleet, Time.Measure));
  }
  return Out.series();
}

/// Callers that each send one request after another until destroyed.
class Callers {
public:
  Callers(LoopbackFleet &Fleet, std::size_t Count, int Tokens)
      : m_tokens(Tokens) {
    for (std::size_t I = 0; I < Count; ++I)
      m_threads.emplace_back([this, &Fleet, I] { callOften(Fleet, I); });
  }
  ~Callers() {
    m_stop = true;
    for (auto &One : m_threads)
      One.join();
  }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  [[nodiscard]] std::uint64_t completed() const { return m_completed; }

private:
  void callOften(LoopbackFleet &Fleet, std::size_t Caller) {
    while (!m_stop) {
      const auto Answer =
          testing::complete(Fleet.daemon(Caller % Fleet.daemons()),
                            workspaceOf(Caller), m_tokens);
      if (Answer.Status == 200 && Answer.Whole)
        ++m_completed;
      else
        std::this_thread::sleep_for(milliseconds(100));
    }
  }

  const int m_tokens; ///< Asked for in each request.
  std::atomic<bool> m_stop{false};
  std::atomic<std::uint64_t> m_completed{0};
  std::vector<std::thread> m_threads;
};

/// Requests from as many workspaces as callers, to live engines. Adds the
/// requests/s, so that the processor time of one can be told from it.
std::vector<Series> loadAxis(const Axis &Of, const Windows &Time, int Tokens) {
  AxisRecorder Out(Of, false);
  Series Cpu{"CPU percent per daemon",
             "requests/s per daemon of " + std::to_string(Tokens) + " tokens",
             24.0, ""};
  Series Busy{"requests/s per daemon", Of.Name, Of.Target, ""};
  LoopbackFleet Fleet;
  writeConfig(Fleet, {.Workspaces = Of.Sizes.back()});
  for (std::size_t I = 0; I < LoadEngines; ++I)
    Fleet.addEndpoint({.Id = "engine-" + std::to_string(I),
                       .What = {Target::Kind::Model, "small"},
                       .Zone = "z" + std::to_string(1 + I % 3),
                       .Bears = EngineBears});
  startDaemons(Fleet, BaseDaemons);
  for (const auto Count : Of.Sizes) {
    const Callers Load(Fleet, Count, Tokens);
    std::this_thread::sleep_for(Time.Settle);
    const auto Before = Load.completed();
    const auto Start = steady_clock::now();
    const auto Rates = measure(Fleet, Time.Measure);
    const double Seconds =
        std::chrono::duration<double>(steady_clock::now() - Start).count();
    const double Requests = static_cast<double>(Load.completed() - Before) /
                            Seconds / static_cast<double>(BaseDaemons);
    Out.record(static_cast<double>(Count), Rates);
    Cpu.Points.push_back({Requests, Rates.CpuPercent});
    Busy.Points.push_back({static_cast<double>(Count), Requests});
  }
  auto All = Out.series();
  All.push_back(Cpu);
  All.push_back(Busy);
  return All;
}

/// Seconds until Done, which is asked every 20 ms; throws after a minute.
double secondsUntil(const std::function<bool()> &Done) {
  constexpr int SecondsMax = 60;
  const auto Start = steady_clock::now();
  if (!testing::eventually(SecondsMax, Done))
    throw std::runtime_error("a fleet did not recover within a minute");
  return std::chrono::duration<double>(steady_clock::now() - Start).count();
}

/// Records of the region's zone object.
std::map<config::ReplicaId, control::OwnershipRecord>
ownersOf(const LoopbackFleet &Fleet) {
  const auto Text = Fleet.readObject("fleet/r1").Body;
  return control::parseZoneObject(Text).value().Records;
}

bool ownsAny(const LoopbackFleet &Fleet, const DaemonName &Who) {
  const auto Records = ownersOf(Fleet);
  return std::any_of(Records.begin(), Records.end(), [&](const auto &Item) {
    return Item.second.Owner == Who;
  });
}

/// Sends a signal to a daemon that owns replicas and measures the time until
/// none of them is recorded as its own.
double takeoverSeconds(LoopbackFleet &Fleet, int Signal) {
  for (std::size_t I = 0; I < Fleet.daemons(); ++I) {
    const auto &One = Fleet.daemon(I);
    if (!ownsAny(Fleet, One.Name))
      continue;
    One.Process->signal(Signal);
    return secondsUntil([&] { return !ownsAny(Fleet, One.Name); });
  }
  throw std::runtime_error("no daemon owns a replica");
}

/// Bytes of configuration messages of one daemon since its start.
double configMessageBytes(const FleetDaemon &Of) {
  const auto Text = metricsOf(Of);
  double Sum = 0.0;
  for (const auto *Type : {"config-offer", "config-fetch", "config-body"})
    Sum += metric(Text, "nutmegdrift_peer_bytes_total{type=\"" +
                            std::string(Type) + "\"}");
  return Sum;
}

/// What a configuration change took.
struct ChangeCost {
  double Seconds = 0.0;
  double Bytes = 0.0; ///< Of configuration messages, mean of the daemons.
};

double meanConfigBytes(LoopbackFleet &Fleet) {
  double Sum = 0.0;
  for (std::size_t I = 0; I < Fleet.daemons(); ++I)
    Sum += configMessageBytes(Fleet.daemon(I));
  return Sum / static_cast<double>(Fleet.daemons());
}

/// One more workspace, until every daemon has it in force.
ChangeCost changeConfig(LoopbackFleet &Fleet, const Shape &Made) {
  const double Before = meanConfigBytes(Fleet);
  const auto Start = steady_clock::now();
  writeConfig(Fleet, Made);
  const auto Wanted =
      std::stod(Fleet.readObject("config").Headers.at("X-Object-Version"));
  (void)secondsUntil([&] {
    for (std::size_t I = 0; I < Fleet.daemons(); ++I)
      if (metric(metricsOf(Fleet.daemon(I)), "nutmegdrift_config_version") <
          Wanted)
        return false;
    return true;
  });
  const double Seconds =
      std::chrono::duration<double>(steady_clock::now() - Start).count();
  constexpr milliseconds OffersEnd{1'000};
  std::this_thread::sleep_for(OffersEnd);
  return {Seconds, meanConfigBytes(Fleet) - Before};
}

/// Recovery time and traffic of single events, by the size of the fleet.
std::vector<Series> eventsAxis(const Axis &Of, const Windows &Time) {
  Series Change{"seconds until a configuration change is in force everywhere",
                Of.Name, Of.Target, "7"};
  Series Bytes{"configuration message bytes per daemon and change", Of.Name,
               Of.Target, ""};
  Series Killed{"seconds until a killed daemon's replicas have owners", Of.Name,
                Of.Target, "1"};
  Series Silent{"seconds until a silent daemon's replicas have owners", Of.Name,
                Of.Target, "4"};
  for (const auto Count : Of.Sizes) {
    const Shape Made{.Daemons = Count};
    LoopbackFleet Fleet;
    writeConfig(Fleet, Made);
    writeRecords(Fleet, Made, testing::freePort());
    startDaemons(Fleet, Made.Daemons);
    std::this_thread::sleep_for(Time.Settle);
    const auto X = static_cast<double>(Count);
    const auto Cost = changeConfig(Fleet, {.Workspaces = BaseWorkspaces + 1});
    Change.Points.push_back({X, Cost.Seconds});
    Bytes.Points.push_back({X, Cost.Bytes});
    Killed.Points.push_back({X, takeoverSeconds(Fleet, SIGKILL)});
    Silent.Points.push_back({X, takeoverSeconds(Fleet, SIGSTOP)});
    std::cerr << "events " << Count << " measured\n";
  }
  return {Change, Bytes, Killed, Silent};
}

void append(std::vector<Series> &To, const std::vector<Series> &More) {
  To.insert(To.end(), More.begin(), More.end());
}

} // namespace

std::vector<Series> measureDaemons(bool Quick) {
  if (Quick)
    return daemonsAxis({"daemons", TargetRegionDaemons, {4, 8, 16}},
                       {milliseconds(4'000), milliseconds(4'000)});
  return daemonsAxis({"daemons", TargetRegionDaemons, {4, 8, 16, 24, 32, 40}},
                     {});
}

std::vector<Series> measureGrowth() {
  auto Out = growingAxis({"replicas", 740, {12, 24, 48, 96}}, {},
                         &Shape::Replicas, {});
  append(Out, growingAxis({"workspaces", 220, {16, 55, 110, 220}}, {},
                          &Shape::Workspaces, {}));
  append(Out, growingAxis({"models", 33, {1, 8, 16, 33}}, {}, &Shape::Models,
                          {.Replicas = 33}));
  return Out;
}

std::vector<Series> measureLoad() {
  const std::vector<std::size_t> Busy{4, 16, 32, 64};
  auto Out = loadAxis({"busy workspaces, 15-token requests", 22, Busy}, {},
                      ShortAnswerTokens);
  append(Out, loadAxis({"busy workspaces, 240-token requests", 22, Busy}, {},
                       LongAnswerTokens));
  return Out;
}

std::vector<Series> measureEvents() {
  return eventsAxis({"daemons", TargetRegionDaemons, {4, 8, 16, 32}}, {});
}

} // namespace nutmegdrift::bench
