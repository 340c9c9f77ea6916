// Readers, checks and printers of the configuration documents.
#include "nutmegdrift/config/documents.h"

#include "fields.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace nutmegdrift::config {

namespace {

constexpr std::size_t MaxQueuedLimit = 100'000;
constexpr std::size_t MaxCapacity = 100'000;
/// Above this weight sums of normalised service would lose too much precision.
constexpr double MaxWeight = 1e6;
constexpr std::size_t MaxFinishSeconds = 14UL * 24 * 3600;

/// Locations of the items of a FleetConfig, in the same order.
struct ConfigLocations {
  std::vector<SourceLocation> Plans;
  std::vector<SourceLocation> Workspaces;
  std::vector<SourceLocation> Rules;
  std::vector<SourceLocation> Zones;
  std::vector<SourceLocation> Versions;
};

/// Reports all repeated keys.
template <class T, class KeyOf>
void rejectDuplicates(const std::vector<T> &Items,
                      const std::vector<SourceLocation> &ItemLocations,
                      const std::string &Kind, KeyOf Key, Problems &Errors) {
  std::map<std::string, SourceLocation> FirstLocations;
  for (std::size_t I = 0; I < Items.size(); ++I) {
    const auto [First, Inserted] =
        FirstLocations.emplace(Key(Items[I]), ItemLocations[I]);
    if (Inserted)
      continue;
    auto Text = "duplicate " + Kind + " \"" + First->first + "\"";
    if (First->second.Line > 0)
      Text += ", first in " + First->second.File + ":" +
              std::to_string(First->second.Line);
    Errors.add(ItemLocations[I], Text);
  }
}

void checkNames(const FleetConfig &Value, const ConfigLocations &Locations,
                Problems &Errors) {
  rejectDuplicates(
      Value.Plans, Locations.Plans, "plan",
      [](const Plan &P) { return P.Name; }, Errors);
  rejectDuplicates(
      Value.Workspaces, Locations.Workspaces, "workspace",
      [](const Workspace &W) { return W.Name; }, Errors);
  rejectDuplicates(
      Value.AccessRules, Locations.Rules, "access rule for plan",
      [](const Access &A) { return A.Plan; }, Errors);
  rejectDuplicates(
      Value.Zones, Locations.Zones, "availability zone",
      [](const ZoneSetting &Z) { return Z.Name; }, Errors);
  rejectDuplicates(
      Value.Versions, Locations.Versions, "version order for",
      [](const VersionOrder &V) { return toString(V.RolloutTarget); }, Errors);
}

void checkPlans(const FleetConfig &Value, const ConfigLocations &Locations,
                Problems &Errors) {
  std::set<std::string> PlanNames;
  for (const auto &Entry : Value.Plans)
    PlanNames.insert(Entry.Name);
  for (std::size_t I = 0; I < Value.Workspaces.size(); ++I)
    if (!PlanNames.contains(Value.Workspaces[I].Plan))
      Errors.add(Locations.Workspaces[I],
                 "unknown plan \"" + Value.Workspaces[I].Plan + "\"");
  for (std::size_t I = 0; I < Value.AccessRules.size(); ++I)
    if (!PlanNames.contains(Value.AccessRules[I].Plan))
      Errors.add(Locations.Rules[I],
                 "unknown plan \"" + Value.AccessRules[I].Plan + "\"");
}

void check(const FleetConfig &Value, const ConfigLocations &Locations,
           Problems &Errors) {
  checkNames(Value, Locations, Errors);
  checkPlans(Value, Locations, Errors);
}

Plan readPlan(Fields &In) {
  const auto Weight = In.number("weight", 1.0);
  if (!(Weight > 0 && Weight <= MaxWeight))
    In.problem("weight", "must be above 0 and at most 1000000");
  return {.Name = In.name("name"),
          .Weight = Weight,
          .MaxQueued =
              In.count("max_queued", Plan{}.MaxQueued, 1, MaxQueuedLimit)};
}

bool contains(const std::vector<Target> &Items, const Target &Candidate) {
  return std::find(Items.begin(), Items.end(), Candidate) != Items.end();
}

Access readAccess(Fields &In,
                  const std::optional<std::vector<Target>> &KnownTargets,
                  Problems &Errors) {
  Access Out{.Plan = In.name("plan"), .Targets = {}};
  for (const auto &[Text, Location] : In.texts("targets")) {
    const auto Parsed = parseTarget(Text);
    if (!Parsed || !validName(Parsed->Name))
      Errors.add(Location,
                 "\"" + Text + "\" must be model:NAME or service:NAME");
    else if (KnownTargets && !contains(*KnownTargets, *Parsed))
      Errors.add(Location, "unknown target \"" + Text + "\"");
    else if (contains(Out.Targets, *Parsed))
      Errors.add(Location, "duplicate target \"" + Text + "\"");
    else
      Out.Targets.push_back(*Parsed);
  }
  return Out;
}

VersionOrder readOrder(Fields &In) {
  return {.RolloutTarget = In.target("target"),
          .Version = In.name("version"),
          .FinishWithin = std::chrono::seconds(
              In.count("finish_within_s", 0, 0, MaxFinishSeconds)),
          .RollBack = In.flag("take_back", false),
          .Id = In.count("id", 0, 0, SIZE_MAX)};
}

ChangeNote readNote(Fields &In) {
  constexpr auto MaxMicros = static_cast<std::size_t>(INT64_MAX);
  return {.Author = In.text("author", ""),
          .Summary = In.text("summary", ""),
          .WallMicros =
              static_cast<std::int64_t>(In.count("wall_us", 0, 0, MaxMicros)),
          .Nonce = In.count("nonce", 0, 0, SIZE_MAX)};
}

FleetConfig readConfig(Fields &Root, ConfigLocations &Locations,
                       Problems &Errors) {
  FleetConfig Out;
  Root.each("plans", [&](Fields &In) {
    Out.Plans.push_back(readPlan(In));
    Locations.Plans.push_back(In.location());
  });
  Root.each("workspaces", [&](Fields &In) {
    Out.Workspaces.push_back({In.name("name"), In.name("plan")});
    Locations.Workspaces.push_back(In.location());
  });
  Root.each("access", [&](Fields &In) {
    Out.AccessRules.push_back(readAccess(In, {}, Errors));
    Locations.Rules.push_back(In.location("plan"));
  });
  Root.each("zones", [&](Fields &In) {
    Out.Zones.push_back({In.name("name"), In.flag("out", false)});
    Locations.Zones.push_back(In.location());
  });
  Root.each("versions", [&](Fields &In) {
    Out.Versions.push_back(readOrder(In));
    Locations.Versions.push_back(In.location());
  });
  return Out;
}

Json printTargets(const std::vector<Target> &Targets) {
  Json Out = Json::array();
  for (const auto &Entry : Targets)
    Out.push_back(toString(Entry));
  return Out;
}

Json printConfig(const FleetConfig &Value) {
  Json Out{{"plans", Json::array()},
           {"workspaces", Json::array()},
           {"access", Json::array()},
           {"zones", Json::array()},
           {"versions", Json::array()}};
  for (const auto &Entry : Value.Plans)
    Out["plans"].push_back({{"name", Entry.Name},
                            {"weight", Entry.Weight},
                            {"max_queued", Entry.MaxQueued}});
  for (const auto &Entry : Value.Workspaces)
    Out["workspaces"].push_back({{"name", Entry.Name}, {"plan", Entry.Plan}});
  for (const auto &Entry : Value.AccessRules)
    Out["access"].push_back(
        {{"plan", Entry.Plan}, {"targets", printTargets(Entry.Targets)}});
  for (const auto &Entry : Value.Zones)
    Out["zones"].push_back({{"name", Entry.Name}, {"out", Entry.Evacuated}});
  for (const auto &Entry : Value.Versions)
    Out["versions"].push_back({{"target", toString(Entry.RolloutTarget)},
                               {"version", Entry.Version},
                               {"finish_within_s", Entry.FinishWithin.count()},
                               {"take_back", Entry.RollBack},
                               {"id", Entry.Id}});
  return Out;
}

/// Prints replacement characters for invalid UTF-8 instead of throwing.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void readOperatorFile(const NamedText &File,
                      const std::optional<std::vector<Target>> &KnownTargets,
                      FleetConfig &Out, ConfigLocations &Locations,
                      Problems &Errors) {
  const auto Source = readYaml(File.File, File.Text, Errors);
  Fields Root(Source, Source.Root, "", Errors);
  Root.each("plans", [&](Fields &In) {
    const auto Entry = readPlan(In);
    Out.Plans.push_back(Entry);
    Locations.Plans.push_back(In.location());
    for (const auto &[Name, Location] : In.texts("workspaces")) {
      if (!validName(Name))
        Errors.add(Location, "\"" + Name +
                                 "\" must be 1 to 64 of letters, digits, "
                                 "'.', '_' and '-'");
      Out.Workspaces.push_back({Name, Entry.Name});
      Locations.Workspaces.push_back(Location);
    }
  });
  Root.each("access", [&](Fields &In) {
    Out.AccessRules.push_back(readAccess(In, KnownTargets, Errors));
    Locations.Rules.push_back(In.location("plan"));
  });
  Root.rejectUnknown();
}

} // namespace

Result<ConfigDocument> parseConfigDocument(const std::string &Text,
                                           std::uint64_t Version) {
  Problems Errors;
  const auto Source = readJson(ConfigObjectName, Text, Errors);
  Fields Root(Source, Source.Root, "", Errors);
  ConfigLocations Locations;
  ConfigDocument Out{.Config = readConfig(Root, Locations, Errors)};
  Root.section("change", [&](Fields &In) { Out.LastChange = readNote(In); });
  Root.rejectUnknown();
  check(Out.Config, Locations, Errors);
  BOOST_LEAF_CHECK(Errors.outcome(ErrorKind::InvalidDocument));
  Out.Config.Version = Version;
  return Out;
}

Result<FleetConfig> parseFleetConfig(const std::string &Text,
                                     std::uint64_t Version) {
  BOOST_LEAF_AUTO(Out, parseConfigDocument(Text, Version));
  return std::move(Out.Config);
}

std::string printConfigDocument(const ConfigDocument &Value) {
  auto Out = printConfig(Value.Config);
  Out["change"] = {{"author", Value.LastChange.Author},
                   {"summary", Value.LastChange.Summary},
                   {"wall_us", Value.LastChange.WallMicros},
                   {"nonce", Value.LastChange.Nonce}};
  return dump(Out);
}

std::string printFleetConfig(const FleetConfig &Value) {
  return dump(printConfig(Value));
}

Result<Replica> parseReplica(const std::string &Id, const std::string &Text) {
  Problems Errors;
  const auto Source = readJson("endpoints/" + Id, Text, Errors);
  Fields In(Source, Source.Root, "", Errors);
  Replica Out{.Id = Id,
              .ServedTarget = In.target("target"),
              .Address = In.address("address", {}),
              .Zone = In.name("zone"),
              .Version = In.text("version", ""),
              .Capacity = In.count("bears", 1, 1, MaxCapacity),
              .Leaving = In.flag("leaving", false),
              .ChecksFencing = In.flag("checks_fencing", true),
              .Repeatable = In.flag("repeatable", false)};
  BOOST_LEAF_CHECK(Errors.outcome(ErrorKind::InvalidDocument));
  return Out;
}

std::string printReplica(const Replica &Value) {
  return dump({{"target", toString(Value.ServedTarget)},
               {"address", toString(Value.Address)},
               {"zone", Value.Zone},
               {"version", Value.Version},
               {"bears", Value.Capacity},
               {"leaving", Value.Leaving},
               {"checks_fencing", Value.ChecksFencing},
               {"repeatable", Value.Repeatable}});
}

Result<OperatorLists>
parseOperatorFiles(const std::vector<NamedText> &Files,
                   const std::optional<std::vector<Target>> &KnownTargets) {
  Problems Errors;
  FleetConfig Merged;
  ConfigLocations Locations;
  for (const auto &File : Files)
    readOperatorFile(File, KnownTargets, Merged, Locations, Errors);
  check(Merged, Locations, Errors);
  BOOST_LEAF_CHECK(Errors.outcome(ErrorKind::InvalidDocument));
  return OperatorLists{.Plans = Merged.Plans,
                       .Workspaces = Merged.Workspaces,
                       .AccessRules = Merged.AccessRules};
}

Result<NamedText> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    return fail(ErrorKind::NotFound, Path + ": cannot be read or is empty");
  return NamedText{.File = Path, .Text = Text.str()};
}

FleetConfig withLists(FleetConfig Base, const OperatorLists &Lists) {
  Base.Plans = Lists.Plans;
  Base.Workspaces = Lists.Workspaces;
  Base.AccessRules = Lists.AccessRules;
  return Base;
}

namespace {

/// Texts that describe the values of items, by key.
using ItemTexts = std::map<std::string, std::string>;

std::string join(std::initializer_list<std::string_view> Parts) {
  std::string Out;
  for (const auto Part : Parts)
    Out += Part;
  return Out;
}

void compare(const ItemTexts &Before, const ItemTexts &After,
             std::vector<std::string> &Out) {
  for (const auto &[Key, Text] : Before)
    if (!After.contains(Key))
      Out.push_back(Key + " removed");
  for (const auto &[Key, Text] : After) {
    const auto Previous = Before.find(Key);
    if (Previous == Before.end())
      Out.push_back(join({Key, " added: ", Text}));
    else if (Previous->second != Text)
      Out.push_back(join({Key, ": ", Previous->second, " -> ", Text}));
  }
}

ItemTexts describeItems(const FleetConfig &Value) {
  ItemTexts Out;
  for (const auto &Entry : Value.Plans) {
    Out["plan " + Entry.Name + " weight"] = Json(Entry.Weight).dump();
    Out["plan " + Entry.Name + " max_queued"] = std::to_string(Entry.MaxQueued);
  }
  for (const auto &Entry : Value.Workspaces)
    Out["workspace " + Entry.Name] = "plan " + Entry.Plan;
  for (const auto &Entry : Value.AccessRules)
    Out["access of plan " + Entry.Plan] = printTargets(Entry.Targets).dump();
  for (const auto &Entry : Value.Zones)
    Out["zone " + Entry.Name] = Entry.Evacuated ? "out" : "in";
  for (const auto &Entry : Value.Versions)
    Out["version of " + toString(Entry.RolloutTarget)] =
        Entry.Version +
        (Entry.Id == 0 ? "" : " (order " + std::to_string(Entry.Id) + ")") +
        (Entry.RollBack ? " (take back)" : "");
  return Out;
}

} // namespace

std::vector<std::string> describeChanges(const FleetConfig &Before,
                                         const FleetConfig &After) {
  std::vector<std::string> Out;
  compare(describeItems(Before), describeItems(After), Out);
  return Out;
}

} // namespace nutmegdrift::config
