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
/// A weight range within which sums of normalised service stay exact enough.
constexpr double MaxWeight = 1e6;
constexpr std::size_t MaxFinishSeconds = 14UL * 24 * 3600;

/// Places of the items of a FleetConfig, in the same order.
struct Origins {
  std::vector<Place> Plans;
  std::vector<Place> Workspaces;
  std::vector<Place> Rules;
  std::vector<Place> Zones;
  std::vector<Place> Versions;
};

/// Reports each key that occurs again.
template <class T, class KeyOf>
void refuseDuplicates(const std::vector<T> &Items,
                      const std::vector<Place> &Places, const std::string &What,
                      KeyOf Key, Problems &Found) {
  std::map<std::string, Place> Seen;
  for (std::size_t I = 0; I < Items.size(); ++I) {
    const auto [First, New] = Seen.emplace(Key(Items[I]), Places[I]);
    if (New)
      continue;
    auto Text = "duplicate " + What + " \"" + First->first + "\"";
    if (First->second.Line > 0)
      Text += ", first in " + First->second.File + ":" +
              std::to_string(First->second.Line);
    Found.add(Places[I], Text);
  }
}

void checkNames(const FleetConfig &Value, const Origins &From,
                Problems &Found) {
  refuseDuplicates(
      Value.Plans, From.Plans, "plan", [](const Plan &P) { return P.Name; },
      Found);
  refuseDuplicates(
      Value.Workspaces, From.Workspaces, "workspace",
      [](const Workspace &W) { return W.Name; }, Found);
  refuseDuplicates(
      Value.AccessRules, From.Rules, "access rule for plan",
      [](const Access &A) { return A.Plan; }, Found);
  refuseDuplicates(
      Value.Zones, From.Zones, "availability zone",
      [](const ZoneSetting &Z) { return Z.Name; }, Found);
  refuseDuplicates(
      Value.Versions, From.Versions, "version order for",
      [](const VersionOrder &V) { return toString(V.What); }, Found);
}

void checkPlans(const FleetConfig &Value, const Origins &From,
                Problems &Found) {
  std::set<std::string> Known;
  for (const auto &Entry : Value.Plans)
    Known.insert(Entry.Name);
  for (std::size_t I = 0; I < Value.Workspaces.size(); ++I)
    if (!Known.contains(Value.Workspaces[I].Plan))
      Found.add(From.Workspaces[I],
                "unknown plan \"" + Value.Workspaces[I].Plan + "\"");
  for (std::size_t I = 0; I < Value.AccessRules.size(); ++I)
    if (!Known.contains(Value.AccessRules[I].Plan))
      Found.add(From.Rules[I],
                "unknown plan \"" + Value.AccessRules[I].Plan + "\"");
}

void check(const FleetConfig &Value, const Origins &From, Problems &Found) {
  checkNames(Value, From, Found);
  checkPlans(Value, From, Found);
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

bool contains(const std::vector<Target> &Items, const Target &Wanted) {
  return std::find(Items.begin(), Items.end(), Wanted) != Items.end();
}

Access readAccess(Fields &In,
                  const std::optional<std::vector<Target>> &KnownTargets,
                  Problems &Found) {
  Access Out{.Plan = In.name("plan"), .Targets = {}};
  for (const auto &[Text, Where] : In.texts("targets")) {
    const auto Parsed = parseTarget(Text);
    if (!Parsed || !validName(Parsed->Name))
      Found.add(Where, "\"" + Text + "\" must be model:NAME or service:NAME");
    else if (KnownTargets && !contains(*KnownTargets, *Parsed))
      Found.add(Where, "unknown target \"" + Text + "\"");
    else if (contains(Out.Targets, *Parsed))
      Found.add(Where, "duplicate target \"" + Text + "\"");
    else
      Out.Targets.push_back(*Parsed);
  }
  return Out;
}

VersionOrder readOrder(Fields &In) {
  return {.What = In.target("target"),
          .Version = In.name("version"),
          .FinishWithin = std::chrono::seconds(
              In.count("finish_within_s", 0, 0, MaxFinishSeconds)),
          .RollBack = In.flag("take_back", false),
          .Id = In.count("id", 0, 0, SIZE_MAX)};
}

ChangeNote readNote(Fields &In) {
  constexpr auto Most = static_cast<std::size_t>(INT64_MAX);
  return {.Author = In.text("author", ""),
          .Summary = In.text("summary", ""),
          .WallMicros =
              static_cast<std::int64_t>(In.count("wall_us", 0, 0, Most)),
          .Nonce = In.count("nonce", 0, 0, SIZE_MAX)};
}

FleetConfig readConfig(Fields &Root, Origins &From, Problems &Found) {
  FleetConfig Out;
  Root.each("plans", [&](Fields &In) {
    Out.Plans.push_back(readPlan(In));
    From.Plans.push_back(In.place());
  });
  Root.each("workspaces", [&](Fields &In) {
    Out.Workspaces.push_back({In.name("name"), In.name("plan")});
    From.Workspaces.push_back(In.place());
  });
  Root.each("access", [&](Fields &In) {
    Out.AccessRules.push_back(readAccess(In, {}, Found));
    From.Rules.push_back(In.place("plan"));
  });
  Root.each("zones", [&](Fields &In) {
    Out.Zones.push_back({In.name("name"), In.flag("out", false)});
    From.Zones.push_back(In.place());
  });
  Root.each("versions", [&](Fields &In) {
    Out.Versions.push_back(readOrder(In));
    From.Versions.push_back(In.place());
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
    Out["versions"].push_back({{"target", toString(Entry.What)},
                               {"version", Entry.Version},
                               {"finish_within_s", Entry.FinishWithin.count()},
                               {"take_back", Entry.RollBack},
                               {"id", Entry.Id}});
  return Out;
}

/// Text that is not UTF-8 is printed with replacement characters, not thrown.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void readOperatorFile(const NamedText &File,
                      const std::optional<std::vector<Target>> &KnownTargets,
                      FleetConfig &Out, Origins &From, Problems &Found) {
  const auto Source = readYaml(File.File, File.Text, Found);
  Fields Root(Source, Source.Root, "", Found);
  Root.each("plans", [&](Fields &In) {
    const auto Entry = readPlan(In);
    Out.Plans.push_back(Entry);
    From.Plans.push_back(In.place());
    for (const auto &[Name, Where] : In.texts("workspaces")) {
      if (!validName(Name))
        Found.add(Where, "\"" + Name +
                             "\" must be 1 to 64 of letters, digits, "
                             "'.', '_' and '-'");
      Out.Workspaces.push_back({Name, Entry.Name});
      From.Workspaces.push_back(Where);
    }
  });
  Root.each("access", [&](Fields &In) {
    Out.AccessRules.push_back(readAccess(In, KnownTargets, Found));
    From.Rules.push_back(In.place("plan"));
  });
  Root.refuseUnknown();
}

} // namespace

Result<ConfigDocument> parseConfigDocument(const std::string &Text,
                                           std::uint64_t Version) {
  Problems Found;
  const auto Source = readJson(ConfigObjectName, Text, Found);
  Fields Root(Source, Source.Root, "", Found);
  Origins From;
  ConfigDocument Out{.Config = readConfig(Root, From, Found)};
  Root.section("change", [&](Fields &In) { Out.LastChange = readNote(In); });
  Root.refuseUnknown();
  check(Out.Config, From, Found);
  BOOST_LEAF_CHECK(Found.outcome(ErrorKind::InvalidDocument));
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
  Problems Found;
  const auto Source = readJson("endpoints/" + Id, Text, Found);
  Fields In(Source, Source.Root, "", Found);
  Replica Out{.Id = Id,
              .What = In.target("target"),
              .Address = In.address("address", {}),
              .Zone = In.name("zone"),
              .Version = In.text("version", ""),
              .Capacity = In.count("bears", 1, 1, MaxCapacity),
              .Leaving = In.flag("leaving", false),
              .ChecksFencing = In.flag("checks_fencing", true),
              .Repeatable = In.flag("repeatable", false)};
  BOOST_LEAF_CHECK(Found.outcome(ErrorKind::InvalidDocument));
  return Out;
}

std::string printReplica(const Replica &Value) {
  return dump({{"target", toString(Value.What)},
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
  Problems Found;
  FleetConfig All;
  Origins From;
  for (const auto &File : Files)
    readOperatorFile(File, KnownTargets, All, From, Found);
  check(All, From, Found);
  BOOST_LEAF_CHECK(Found.outcome(ErrorKind::InvalidDocument));
  return OperatorLists{.Plans = All.Plans,
                       .Workspaces = All.Workspaces,
                       .AccessRules = All.AccessRules};
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

/// Items by key, with the text that shows an item's value.
using Shown = std::map<std::string, std::string>;

std::string join(std::initializer_list<std::string_view> Parts) {
  std::string Out;
  for (const auto Part : Parts)
    Out += Part;
  return Out;
}

void compare(const Shown &Before, const Shown &After,
             std::vector<std::string> &Out) {
  for (const auto &[Key, Text] : Before)
    if (!After.contains(Key))
      Out.push_back(Key + " removed");
  for (const auto &[Key, Text] : After) {
    const auto Old = Before.find(Key);
    if (Old == Before.end())
      Out.push_back(join({Key, " added: ", Text}));
    else if (Old->second != Text)
      Out.push_back(join({Key, ": ", Old->second, " -> ", Text}));
  }
}

Shown shownItems(const FleetConfig &Value) {
  Shown Out;
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
    Out["version of " + toString(Entry.What)] =
        Entry.Version +
        (Entry.Id == 0 ? "" : " (order " + std::to_string(Entry.Id) + ")") +
        (Entry.RollBack ? " (take back)" : "");
  return Out;
}

} // namespace

std::vector<std::string> describeChanges(const FleetConfig &Before,
                                         const FleetConfig &After) {
  std::vector<std::string> Out;
  compare(shownItems(Before), shownItems(After), Out);
  return Out;
}

} // namespace nutmegdrift::config
