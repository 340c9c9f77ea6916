#include "nutmegdrift/ctl/commands.h"

#include "nutmegdrift/config/settings.h"
#include "nutmegdrift/ctl/config_change.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <set>
#include <sstream>

namespace nutmegdrift::ctl {

namespace {

using Json = nlohmann::json;
using config::FleetConfig;

constexpr auto DefaultPlatform = "127.0.0.1:7300";
constexpr Duration WatchInterval = std::chrono::seconds(1);

/// One parsed command line.
struct Invocation {
  const Environment &With;
  const cxxopts::ParseResult &Options;
  std::vector<std::string> Names; ///< Arguments after the command.

  [[nodiscard]] bool json() const {
    return Options["output"].as<std::string>() == "json";
  }
  [[nodiscard]] std::string option(const std::string &Name) const {
    return Options.count(Name) == 0 ? "" : Options[Name].as<std::string>();
  }
  [[nodiscard]] std::shared_ptr<platform::ObjectStore> store() const {
    return With.Connect(*parseHostPort(
        option("platform").empty() ? DefaultPlatform : option("platform")));
  }
};

struct OptionSpec {
  std::string_view Name;
  std::string_view Help;
};

struct Command {
  std::string_view Path;
  std::string_view Arguments;
  std::string_view Summary;
  std::size_t Least; ///< Number of arguments.
  std::size_t Most;
  std::vector<OptionSpec> Extra;
  Result<ExitCode> (*Run)(const Invocation &);
};

constexpr std::size_t AnyNumber = 1000;

ExitCode exitCodeFor(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::MalformedRequest:
    return ExitCode::Usage;
  case ErrorKind::InvalidDocument:
  case ErrorKind::InvalidSettings:
    return ExitCode::InvalidFile;
  case ErrorKind::Conflict:
    return ExitCode::LostRace;
  case ErrorKind::PlatformUnavailable:
    return ExitCode::PlatformUnavailable;
  case ErrorKind::PlatformOutcomeUnknown:
    return ExitCode::OutcomeUnknown;
  case ErrorKind::NotFound:
    return ExitCode::NotFound;
  default:
    return ExitCode::Failed;
  }
}

config::ChangeNote noteFor(const Invocation &In) {
  const auto Author = In.option("author");
  return {.Author = Author.empty() ? In.With.User : Author,
          .Summary = {},
          .WallMicros = std::chrono::duration_cast<std::chrono::microseconds>(
                            In.With.Time.wallNow().time_since_epoch())
                            .count(),
          .Nonce = In.With.Rng()};
}

/// Prints rows with aligned columns; the first row is the head.
void printTable(std::ostream &Out,
                const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const auto &Row : Rows) {
    std::ostringstream Line;
    for (std::size_t I = 0; I < Row.size(); ++I)
      Line << std::left << std::setw(static_cast<int>(Widths[I]) + 2) << Row[I];
    auto Text = Line.str();
    Text.erase(Text.find_last_not_of(' ') + 1);
    Out << Text << "\n";
  }
}

/// Writes After and reports what changed.
Result<ExitCode> write(const Invocation &In, platform::ObjectStore &Store,
                       const FleetConfig &Before, const FleetConfig &After) {
  BOOST_LEAF_AUTO(Done, writeConfig(Store, Before, After, noteFor(In)));
  if (In.json()) {
    In.With.Out << Json{{"version", Done.Version}, {"changes", Done.Changes}}
                << "\n";
    return ExitCode::Done;
  }
  for (const auto &Line : Done.Changes)
    In.With.Out << Line << "\n";
  In.With.Out << (Done.Changes.empty() ? "no change, version " : "version ")
              << Done.Version << "\n";
  return ExitCode::Done;
}

Result<std::vector<config::Replica>> endpoints(platform::ObjectStore &Store) {
  constexpr std::string_view Prefix = "endpoints/";
  BOOST_LEAF_AUTO(Found, Store.list(std::string(Prefix)));
  std::vector<config::Replica> Out;
  for (const auto &Item : Found.Objects)
    if (const auto Parsed = capture([&] {
          return config::parseReplica(Item.Name.substr(Prefix.size()),
                                      Item.Text);
        }))
      Out.push_back(*Parsed);
  return Out;
}

Result<config::OperatorLists>
readLists(const Invocation &In,
          const std::optional<std::vector<Target>> &KnownTargets) {
  std::vector<config::NamedText> Files;
  for (const auto &Path : In.Names) {
    BOOST_LEAF_AUTO(File, config::readFile(Path));
    Files.push_back(File);
  }
  return config::parseOperatorFiles(Files, KnownTargets);
}

Result<std::vector<Target>> knownTargets(platform::ObjectStore &Store) {
  BOOST_LEAF_AUTO(Replicas, endpoints(Store));
  std::vector<Target> Out;
  Out.reserve(Replicas.size());
  for (const auto &Item : Replicas)
    Out.push_back(Item.ServedTarget);
  return Out;
}

Result<ExitCode> configCheck(const Invocation &In) {
  std::optional<std::vector<Target>> Known;
  if (!In.option("platform").empty()) {
    BOOST_LEAF_AUTO(Found, knownTargets(*In.store()));
    Known = Found;
  }
  BOOST_LEAF_AUTO(Lists, readLists(In, Known));
  if (In.json())
    In.With.Out << Json{{"plans", Lists.Plans.size()},
                        {"workspaces", Lists.Workspaces.size()},
                        {"access", Lists.AccessRules.size()}}
                << "\n";
  else
    In.With.Out << Lists.Plans.size() << " plans, " << Lists.Workspaces.size()
                << " workspaces, " << Lists.AccessRules.size()
                << " access rules\n";
  return ExitCode::Done;
}

Result<ExitCode> configApply(const Invocation &In) {
  const auto Store = In.store();
  BOOST_LEAF_AUTO(Now, readConfig(*Store));
  BOOST_LEAF_AUTO(Known, knownTargets(*Store));
  BOOST_LEAF_AUTO(Lists, readLists(In, Known));
  const auto Wanted = In.option("if-version");
  if (!Wanted.empty() && Wanted != std::to_string(Now.Config.Version))
    return fail(ErrorKind::Conflict,
                "lost to version " + std::to_string(Now.Config.Version) +
                    " by " + Now.LastChange.Author + " (" +
                    Now.LastChange.Summary + "); --if-version is " + Wanted);
  return write(In, *Store, Now.Config, config::withLists(Now.Config, Lists));
}

Result<ExitCode> configShow(const Invocation &In) {
  BOOST_LEAF_AUTO(Now, readConfig(*In.store()));
  auto Root = Json::parse(config::printConfigDocument(Now));
  Root["version"] = Now.Config.Version;
  if (In.json()) {
    In.With.Out << Root << "\n";
    return ExitCode::Done;
  }
  In.With.Out << "version " << Now.Config.Version << " by "
              << Now.LastChange.Author << ": " << Now.LastChange.Summary
              << "\n";
  for (const auto &Line : config::describeChanges({}, Now.Config))
    In.With.Out << Line << "\n";
  return ExitCode::Done;
}

Result<bool> zoneExists(platform::ObjectStore &Store, const FleetConfig &Now,
                        const std::string &Name) {
  if (std::any_of(Now.Zones.begin(), Now.Zones.end(),
                  [&](const auto &Zone) { return Zone.Name == Name; }))
    return true;
  BOOST_LEAF_AUTO(Fleets, Store.list("fleet/" + Name));
  for (const auto &Item : Fleets.Objects)
    if (Item.Name == "fleet/" + Name)
      return true;
  BOOST_LEAF_AUTO(Replicas, endpoints(Store));
  return std::any_of(Replicas.begin(), Replicas.end(),
                     [&](const auto &Item) { return Item.Zone == Name; });
}

Result<ExitCode> setZone(const Invocation &In, bool Out) {
  const auto Store = In.store();
  const auto &Name = In.Names[0];
  BOOST_LEAF_AUTO(Now, readConfig(*Store));
  BOOST_LEAF_AUTO(Exists, zoneExists(*Store, Now.Config, Name));
  if (!Exists)
    return fail(ErrorKind::NotFound, "no availability zone \"" + Name + "\"");
  auto Next = Now.Config;
  const auto At =
      std::find_if(Next.Zones.begin(), Next.Zones.end(),
                   [&](const auto &Zone) { return Zone.Name == Name; });
  if (At != Next.Zones.end())
    At->Evacuated = Out;
  else if (Out)
    Next.Zones.push_back({Name, Out});
  return write(In, *Store, Now.Config, Next);
}

Result<ExitCode> zoneOut(const Invocation &In) { return setZone(In, true); }
Result<ExitCode> zoneIn(const Invocation &In) { return setZone(In, false); }

boost::leaf::error_id badTarget(const std::string &Text) {
  return fail(ErrorKind::MalformedRequest,
              "\"" + Text + "\" must be model:NAME or service:NAME");
}

/// The state of a rollout as its controller reports it.
struct RolloutState {
  std::string State;
  std::string Version;
  std::uint64_t Order = 0; ///< VersionOrder::Id that it carries out.
  double Share = 0;        ///< Of the traffic, 0 to 1.
  std::string Reason;

  [[nodiscard]] bool ended() const {
    return State == "done" || State == "taken-back";
  }
  friend bool operator==(const RolloutState &, const RolloutState &) = default;
};

/// The state of the target's rollout; "waiting" before the controller has
/// recorded one.
Result<RolloutState> rolloutOf(platform::ObjectStore &Store,
                               const Target &What) {
  const auto Found =
      capture([&] { return Store.get("rollout/" + toString(What)); });
  if (!Found && Found.Failure.Kind == ErrorKind::NotFound)
    return RolloutState{.State = "waiting", .Version = {}, .Reason = {}};
  if (!Found)
    return fail(Found.Failure);
  try {
    const auto Root = Json::parse(Found->Text);
    return RolloutState{.State = Root.at("phase").get<std::string>(),
                        .Version = Root.value("version", ""),
                        .Order = Root.value("order", std::uint64_t{0}),
                        .Share = Root.value("share", 0.0),
                        .Reason = Root.value("reason", "")};
  } catch (const Json::exception &Failure) {
    return fail(ErrorKind::Internal,
                "rollout object: " + std::string(Failure.what()));
  }
}

std::vector<config::VersionOrder>::iterator orderFor(FleetConfig &In,
                                                     const Target &What) {
  return std::find_if(
      In.Versions.begin(), In.Versions.end(),
      [&](const auto &Order) { return Order.RolloutTarget == What; });
}

Result<ExitCode> versionStart(const Invocation &In) {
  const auto Store = In.store();
  const auto What = parseTarget(In.Names[0]);
  if (!What)
    return badTarget(In.Names[0]);
  const auto Finish = config::parseDuration(In.option("finish-within"));
  if (!Finish || *Finish < std::chrono::seconds(1))
    return fail(ErrorKind::MalformedRequest,
                "--finish-within needs a time such as 2h or 30min");
  BOOST_LEAF_AUTO(Now, readConfig(*Store));
  BOOST_LEAF_AUTO(Known, knownTargets(*Store));
  if (std::find(Known.begin(), Known.end(), *What) == Known.end())
    return fail(ErrorKind::NotFound, "no endpoint of " + toString(*What));
  BOOST_LEAF_AUTO(State, rolloutOf(*Store, *What));
  auto Next = Now.Config;
  const auto At = orderFor(Next, *What);
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(*Finish);
  config::VersionOrder Order{*What, In.Names[1], Seconds, false,
                             Now.Config.Version + 1};
  if (At == Next.Versions.end()) {
    Next.Versions.push_back(Order);
    return write(In, *Store, Now.Config, Next);
  }
  const bool Ended = State.ended() && State.Order == At->Id;
  if (!Ended && At->Version != Order.Version)
    return fail(ErrorKind::Conflict,
                "version " + At->Version + " is under way (" + State.State +
                    "); wait for its end or take it back first");
  // Ordering the version under way again changes only its finish time.
  if (!Ended && !At->RollBack)
    Order.Id = At->Id;
  *At = Order;
  return write(In, *Store, Now.Config, Next);
}

Result<ExitCode> versionTakeBack(const Invocation &In) {
  const auto Store = In.store();
  const auto What = parseTarget(In.Names[0]);
  if (!What)
    return badTarget(In.Names[0]);
  BOOST_LEAF_AUTO(Now, readConfig(*Store));
  auto Next = Now.Config;
  const auto At = orderFor(Next, *What);
  if (At == Next.Versions.end())
    return fail(ErrorKind::NotFound, "no version order for " + toString(*What));
  At->RollBack = true;
  return write(In, *Store, Now.Config, Next);
}

void printRollout(const Invocation &In, const Target &What,
                  const RolloutState &Value) {
  if (In.json()) {
    In.With.Out << Json{{"target", toString(What)},
                        {"state", Value.State},
                        {"version", Value.Version},
                        {"share", Value.Share},
                        {"reason", Value.Reason}}
                << std::endl;
    return;
  }
  constexpr double Percent = 100;
  In.With.Out << toString(What) << " " << Value.Version << " " << Value.State
              << " " << std::lround(Value.Share * Percent) << "%";
  if (!Value.Reason.empty())
    In.With.Out << " (" << Value.Reason << ")";
  In.With.Out << std::endl;
}

Result<ExitCode> versionWatch(const Invocation &In) {
  const auto Store = In.store();
  const auto What = parseTarget(In.Names[0]);
  if (!What)
    return badTarget(In.Names[0]);
  const auto Limit = config::parseDuration(
      In.option("timeout").empty() ? "24h" : In.option("timeout"));
  if (!Limit)
    return fail(ErrorKind::MalformedRequest,
                "--timeout needs a time such as 2h or 30min");
  BOOST_LEAF_AUTO(Now, readConfig(*Store));
  const auto At = orderFor(Now.Config, *What);
  if (At == Now.Config.Versions.end())
    return fail(ErrorKind::NotFound, "no version order for " + toString(*What));
  std::optional<RolloutState> Shown;
  const auto End = In.With.Time.now() + *Limit;
  while (In.With.Time.now() < End) {
    auto State = capture([&] { return rolloutOf(*Store, *What); });
    // During a platform outage the rollout waits, and so does the watch.
    if (!State)
      State.Value = RolloutState{.State = "waiting",
                                 .Version = At->Version,
                                 .Reason = State.Failure.Message};
    if (State->Order != At->Id) // Left from an earlier order.
      State.Value = RolloutState{
          .State = "waiting", .Version = At->Version, .Reason = {}};
    if (Shown != *State)
      printRollout(In, *What, *State);
    Shown = *State;
    if (State->ended())
      return State->State == "done" ? ExitCode::Done : ExitCode::TakenBack;
    In.With.Sleep(WatchInterval);
  }
  return ExitCode::TimedOut;
}

Result<std::vector<DaemonAddress>> daemonsOf(const Invocation &In) {
  if (!In.option("daemons").empty())
    return parseDaemons(In.option("daemons"));
  return discoverDaemons(*In.store());
}

/// A daemon's status; null if it gave no usable answer.
Json statusOf(const Invocation &In, const DaemonAddress &Daemon) {
  const auto Answer =
      capture([&] { return In.With.Admin.get(Daemon.Admin, "/admin/status"); });
  if (!Answer)
    return {};
  auto Parsed = Json::parse(*Answer, nullptr, false);
  return Parsed.is_object() ? Parsed : Json();
}

/// State of one move: "done" once every daemon that answered, and at least
/// one, holds the configuration.
std::string zoneMoveState(const std::vector<Json> &Answers,
                          std::uint64_t Version) {
  std::size_t Holding = 0;
  for (const auto &Answer : Answers)
    if (Answer.is_object() &&
        Answer.value("config_version", std::uint64_t{0}) >= Version)
      ++Holding;
  if (Holding == Answers.size() && Holding > 0)
    return "done";
  return "under way, " + std::to_string(Holding) + " of " +
         std::to_string(Answers.size()) + " daemons";
}

/// Rows of kind, name, wanted, state and detail.
Result<std::vector<std::vector<std::string>>>
moveRows(platform::ObjectStore &Store, const FleetConfig &Now,
         const std::vector<Json> &Answers) {
  std::vector<std::vector<std::string>> Rows;
  for (const auto &Zone : Now.Zones)
    Rows.push_back({"zone", Zone.Name, Zone.Evacuated ? "out" : "in",
                    zoneMoveState(Answers, Now.Version), ""});
  for (const auto &Order : Now.Versions) {
    BOOST_LEAF_AUTO(State, rolloutOf(Store, Order.RolloutTarget));
    const bool Current = State.Order == Order.Id;
    Rows.push_back({"version", toString(Order.RolloutTarget),
                    Order.Version + (Order.RollBack ? " taken back" : ""),
                    Current ? State.State : "waiting",
                    Current ? State.Reason : ""});
  }
  return Rows;
}

Json objectsFrom(const std::vector<std::vector<std::string>> &Rows) {
  Json Out = Json::array();
  for (std::size_t I = 1; I < Rows.size(); ++I) {
    Json Item = Json::object();
    for (std::size_t Column = 0; Column < Rows[I].size(); ++Column)
      Item[Rows[0][Column]] = Rows[I][Column];
    Out.push_back(Item);
  }
  return Out;
}

Result<ExitCode> status(const Invocation &In) {
  const auto Store = In.store();
  BOOST_LEAF_AUTO(Daemons, daemonsOf(In));
  BOOST_LEAF_AUTO(Now, readConfig(*Store));
  std::vector<Json> Answers;
  std::vector<std::vector<std::string>> Members{
      {"daemon", "zone", "state", "address", "config_version"}};
  bool All = true;
  for (const auto &Daemon : Daemons) {
    Answers.push_back(statusOf(In, Daemon));
    const auto &Answer = Answers.back();
    All = All && Answer.is_object();
    Members.push_back(
        {Daemon.Name, Daemon.Zone, Daemon.State, toString(Daemon.Admin),
         Answer.is_object() ? Answer.value("config_version", Json(0)).dump()
                            : "no answer"});
  }
  std::vector<std::vector<std::string>> Moves{
      {"kind", "name", "wanted", "state", "detail"}};
  BOOST_LEAF_AUTO(Rows, moveRows(*Store, Now.Config, Answers));
  Moves.insert(Moves.end(), Rows.begin(), Rows.end());
  if (In.json()) {
    In.With.Out << Json{{"version", Now.Config.Version},
                        {"moves", objectsFrom(Moves)},
                        {"daemons", objectsFrom(Members)}}
                << "\n";
  } else {
    In.With.Out << "configuration version " << Now.Config.Version << "\n\n";
    printTable(In.With.Out, Moves);
    In.With.Out << "\n";
    printTable(In.With.Out, Members);
  }
  return All ? ExitCode::Done : ExitCode::Partial;
}

Result<TimelineFilter> filterFrom(const Invocation &In) {
  TimelineFilter Out;
  if (!In.option("request").empty())
    Out.Request = In.option("request");
  if (!In.option("workspace").empty())
    Out.Workspace = In.option("workspace");
  if (!In.option("endpoint").empty())
    Out.Endpoint = In.option("endpoint");
  if (In.option("since").empty())
    return Out;
  const auto Age = config::parseDuration(In.option("since"));
  if (!Age)
    return fail(ErrorKind::MalformedRequest,
                "--since needs a time such as 10min");
  Out.SinceMicros = std::chrono::duration_cast<std::chrono::microseconds>(
                        (In.With.Time.wallNow() - *Age).time_since_epoch())
                        .count();
  return Out;
}

void printTimeline(const Invocation &In,
                   const std::vector<ProcessEvent> &Events) {
  for (const auto &Item : Events) {
    if (!In.json()) {
      In.With.Out << formatTimelineLine(Item) << "\n";
      continue;
    }
    Json Fields = Json::object();
    for (const auto &[Key, Value] : Item.Value.Fields)
      Fields[Key] = Value;
    In.With.Out << Json{{"process", Item.Process},
                        {"wall_us", Item.Value.WallMicros},
                        {"seq", Item.Value.Sequence},
                        {"name", Item.Value.Name},
                        {"fields", Fields}}
                << "\n";
  }
}

/// Events of saved logs, numbered by line so that the order in a file holds for
/// events of the same time.
Result<std::vector<ProcessEvent>> eventsOfLogs(const std::string &Files) {
  std::vector<ProcessEvent> Out;
  std::istringstream Names(Files);
  for (std::string Name; std::getline(Names, Name, ',');) {
    std::ifstream File(Name);
    if (!File)
      return fail(ErrorKind::NotFound, "cannot read the log " + Name);
    std::uint64_t Number = 0;
    for (std::string Line; std::getline(File, Line);) {
      ++Number;
      if (auto Item = parseLogLine(Line)) {
        Item->Value.Sequence = Number;
        Out.push_back(std::move(*Item));
      }
    }
  }
  return Out;
}

Result<ExitCode> timeline(const Invocation &In) {
  BOOST_LEAF_AUTO(Filter, filterFrom(In));
  if (const auto Logs = In.option("logs"); !Logs.empty()) {
    BOOST_LEAF_AUTO(Saved, eventsOfLogs(Logs));
    printTimeline(In, mergeTimeline(std::move(Saved), Filter));
    return ExitCode::Done;
  }
  BOOST_LEAF_AUTO(Daemons, daemonsOf(In));
  std::vector<ProcessEvent> Events;
  bool All = true;
  for (const auto &Daemon : Daemons) {
    const auto Answer = capture([&]() -> Result<std::vector<ProcessEvent>> {
      BOOST_LEAF_AUTO(Text, In.With.Admin.get(Daemon.Admin, "/admin/events"));
      return parseEvents(Text);
    });
    if (Answer) {
      Events.insert(Events.end(), Answer->begin(), Answer->end());
      continue;
    }
    All = false;
    In.With.Problems << "nutmegctl: " << Daemon.Name << ": "
                     << Answer.Failure.Message << "\n";
  }
  printTimeline(In, mergeTimeline(std::move(Events), Filter));
  return All ? ExitCode::Done : ExitCode::Partial;
}

/// Rows of the state that a daemon serves at /duties.
std::vector<std::vector<std::string>> dutyRows(const Json &State) {
  std::vector<std::vector<std::string>> Rows;
  const auto Add = [&](const char *Title, const char *Field) {
    const Json &Value = State.at(Field);
    Rows.push_back(
        {Title, Value.is_string() ? Value.get<std::string>() : Value.dump()});
  };
  Add("asked daemon", "daemon");
  Add("holder", "holder");
  Add("epoch", "epoch");
  Add("holds the duties", "holds");
  Add("lease left, ms", "validMs");
  Add("rank", "rank");
  Add("last window decided", "decidedWindow");
  Add("last window accepted", "acceptedWindow");
  Add("windows pending", "pendingWindows");
  Add("windows overdue", "overdueWindows");
  for (const Json &Order : State.at("orders"))
    Rows.push_back({"order " + Order.at("service").get<std::string>() + " " +
                        Order.at("zone").get<std::string>(),
                    Order.at("count").dump() +
                        (Order.at("accepted").get<bool>() ? " accepted "
                                                          : " not accepted ") +
                        Order.at("reason").get<std::string>()});
  return Rows;
}

Result<ExitCode> duties(const Invocation &In) {
  const auto Daemon = parseHostPort(In.Names.front());
  if (!Daemon)
    return fail(ErrorKind::MalformedRequest,
                In.Names.front() + " is not of the form host:port");
  BOOST_LEAF_AUTO(Text, In.With.Admin.get(*Daemon, "/duties"));
  try {
    const Json State = Json::parse(Text);
    const auto Rows = dutyRows(State);
    if (In.json())
      In.With.Out << State << "\n";
    else
      printTable(In.With.Out, Rows);
  } catch (const Json::exception &Failure) {
    return fail(ErrorKind::InvalidDocument,
                std::string("answer of the daemon: ") + Failure.what());
  }
  return ExitCode::Done;
}

Result<ExitCode> completionBash(const Invocation &In);

const std::vector<Command> &commands() {
  static const std::vector<Command> Table{
      {"config check",
       "FILE...",
       "Check operators' files; with --platform also the targets",
       1,
       AnyNumber,
       {},
       configCheck},
      {"config apply",
       "FILE...",
       "Put the lists in the files in force",
       1,
       AnyNumber,
       {{"if-version", "Refuse unless this version is in force"}},
       configApply},
      {"config show",
       "",
       "Show the configuration in force",
       0,
       0,
       {},
       configShow},
      {"zone out",
       "NAME",
       "Take an availability zone out of service",
       1,
       1,
       {},
       zoneOut},
      {"zone in", "NAME", "Bring an availability zone back", 1, 1, {}, zoneIn},
      {"version start",
       "TARGET VERSION",
       "Move a target to a new version",
       2,
       2,
       {{"finish-within", "Time for the whole move, such as 2h"}},
       versionStart},
      {"version watch",
       "TARGET",
       "Follow a move until it ends",
       1,
       1,
       {{"timeout", "Longest time to follow, such as 30min (24h)"}},
       versionWatch},
      {"version take-back",
       "TARGET",
       "Return a target to its old version",
       1,
       1,
       {},
       versionTakeBack},
      {"status", "", "Show the moves and the daemons", 0, 0, {}, status},
      {"timeline",
       "",
       "Merge the events of all daemons",
       0,
       0,
       {{"request", "Only this request id"},
        {"workspace", "Only this workspace"},
        {"endpoint", "Only this endpoint"},
        {"since", "Only events of the last time, such as 10min"},
        {"logs", "Read these saved logs instead, separated by commas"}},
       timeline},
      {"duties",
       "HOST:PORT",
       "Show the duties as the daemon with this metrics address knows them",
       1,
       1,
       {},
       duties},
      {"completion bash",
       "",
       "Print completion for bash",
       0,
       0,
       {},
       completionBash}};
  return Table;
}

Result<ExitCode> completionBash(const Invocation &In) {
  std::set<std::string> Words;
  for (const auto &Item : commands()) {
    std::istringstream Path{std::string(Item.Path)};
    for (std::string Word; Path >> Word;)
      Words.insert(Word);
    for (const auto &Option : Item.Extra)
      Words.insert("--" + std::string(Option.Name));
  }
  for (const auto *Common :
       {"--platform", "--daemons", "--output", "--author", "--help"})
    Words.insert(Common);
  In.With.Out << "_nutmegctl() {\n  COMPREPLY=($(compgen -o default -W \"";
  for (const auto &Word : Words)
    In.With.Out << Word << " ";
  In.With.Out << "\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
              << "complete -o default -F _nutmegctl nutmegctl\n";
  return ExitCode::Done;
}

void printOverview(std::ostream &Out) {
  Out << "usage: nutmegctl COMMAND [OPTIONS]\n\n";
  for (const auto &Item : commands())
    Out << "  " << std::left << std::setw(36)
        << std::string(Item.Path) + " " + std::string(Item.Arguments)
        << Item.Summary << "\n";
  Out << "\nnutmegctl COMMAND --help shows a command's options.\n";
}

/// The command at the start of the arguments, and its number of words.
std::pair<const Command *, std::size_t>
findCommand(const std::vector<std::string> &Arguments) {
  for (const auto &Item : commands()) {
    const auto Words = std::size_t{1} +
                       static_cast<std::size_t>(
                           std::count(Item.Path.begin(), Item.Path.end(), ' '));
    if (Arguments.size() < Words)
      continue;
    const auto Given =
        Words == 1 ? Arguments[0] : Arguments[0] + " " + Arguments[1];
    if (Given == Item.Path)
      return {&Item, Words};
  }
  return {nullptr, 0};
}

cxxopts::Options optionsFor(const Command &Item) {
  cxxopts::Options Options("nutmegctl " + std::string(Item.Path),
                           std::string(Item.Summary));
  auto Add = Options.add_options();
  Add("platform", "The platform's object API, host:port (127.0.0.1:7300)",
      cxxopts::value<std::string>());
  Add("daemons", "Administration addresses, host:port,... (from the platform)",
      cxxopts::value<std::string>());
  Add("output", "table or json",
      cxxopts::value<std::string>()->default_value("table"));
  Add("author", "Author recorded with a change (the user's name)",
      cxxopts::value<std::string>());
  Add("help", "Show this text");
  Add("names", "", cxxopts::value<std::vector<std::string>>());
  for (const auto &Extra : Item.Extra)
    Add(std::string(Extra.Name), std::string(Extra.Help),
        cxxopts::value<std::string>());
  Options.parse_positional({"names"});
  Options.positional_help(std::string(Item.Arguments));
  return Options;
}

std::string usageProblem(const Command &Item, const Invocation &In) {
  const auto Output = In.option("output");
  if (In.Names.size() < Item.Least || In.Names.size() > Item.Most)
    return "expected arguments: " +
           (Item.Arguments.empty() ? "none" : std::string(Item.Arguments));
  if (!Output.empty() && Output != "table" && Output != "json")
    return "--output must be table or json";
  const auto Platform = In.option("platform");
  if (!Platform.empty() && !parseHostPort(Platform))
    return "--platform must be host:port";
  return "";
}

ExitCode report(const Environment &With, const Error &Failure) {
  With.Problems << "nutmegctl: " << answerFor(Failure.Kind).Name << ": "
                << Failure.Message << "\n";
  return exitCodeFor(Failure.Kind);
}

ExitCode runFound(const Command &Item, std::vector<std::string> Arguments,
                  const Environment &With) {
  auto Options = optionsFor(Item);
  Arguments.insert(Arguments.begin(), "nutmegctl");
  std::vector<const char *> Pointers;
  Pointers.reserve(Arguments.size());
  for (const auto &Text : Arguments)
    Pointers.push_back(Text.c_str());
  const auto Given =
      Options.parse(static_cast<int>(Pointers.size()), Pointers.data());
  if (Given.count("help") != 0) {
    With.Out << Options.help();
    return ExitCode::Done;
  }
  Invocation In{With, Given, {}};
  if (Given.count("names") != 0)
    In.Names = Given["names"].as<std::vector<std::string>>();
  if (const auto Problem = usageProblem(Item, In); !Problem.empty())
    return report(With, {ErrorKind::MalformedRequest, Problem});
  return handle([&] { return Item.Run(In); },
                [&](const Error &Failure) { return report(With, Failure); });
}

} // namespace

ExitCode runCommand(const std::vector<std::string> &Arguments,
                    const Environment &With) {
  if (Arguments.empty() || Arguments[0] == "--help") {
    printOverview(With.Out);
    return Arguments.empty() ? ExitCode::Usage : ExitCode::Done;
  }
  const auto [Item, Words] = findCommand(Arguments);
  if (Item == nullptr)
    return report(With, {ErrorKind::MalformedRequest,
                         "unknown command; see nutmegctl --help"});
  try {
    return runFound(*Item,
                    {Arguments.begin() + static_cast<std::ptrdiff_t>(Words),
                     Arguments.end()},
                    With);
  } catch (const cxxopts::exceptions::exception &Failure) {
    return report(With, {ErrorKind::MalformedRequest, Failure.what()});
  }
}

} // namespace nutmegdrift::ctl
