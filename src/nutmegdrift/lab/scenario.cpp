// Reads and validates scenarios.
#include "nutmegdrift/lab/scenario.h"
#include "nutmegdrift/gateway/yaml_values.h"

#include <fstream>
#include <set>
#include <sstream>

namespace nutmegdrift::lab {

namespace {

using gateway::BadSetting;
using gateway::positiveInteger;
using gateway::positiveNumber;
using gateway::throwBadSetting;
using gateway::valueOf;
using gateway::valueOr;

Duration seconds(const YAML::Node &Parent, const std::string &Name,
                 double Default) {
  const double Value = valueOr<double>(Parent, Name, Default);
  if (!(Value >= 0.0))
    throwBadSetting(Parent[Name], Name, "must be 0 or more");
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

Duration millis(const YAML::Node &Parent, const std::string &Name,
                Duration Default) {
  return seconds(Parent, Name,
                 std::chrono::duration<double, std::milli>(Default).count()) /
         1000;
}

double zeroOrMore(const YAML::Node &Parent, const std::string &Name,
                  double Default) {
  const double Value = valueOr<double>(Parent, Name, Default);
  if (!(Value >= 0.0))
    throwBadSetting(Parent[Name], Name, "must be 0 or more");
  return Value;
}

/// Rejects unknown fields, because a misspelt one would silently change the
/// comparison.
void onlyFields(const YAML::Node &Node, const std::set<std::string> &Allowed) {
  if (!Node.IsMap())
    throwBadSetting(Node, "entry", "must be a map");
  for (const auto &Field : Node)
    if (const auto Name = Field.first.as<std::string>();
        !Allowed.contains(Name))
      throwBadSetting(Field.first, Name, "unknown field");
}

RequestKind kindOf(const YAML::Node &Node) {
  onlyFields(Node, {"name", "per_second", "target_ms", "limit_ms", "worth",
                    "late_worth", "subjects", "shared_tokens", "own_tokens",
                    "output_tokens", "spread"});
  const RequestKind Default;
  return {.Name = valueOf<std::string>(Node, "name"),
          .PerSecond = positiveNumber(Node, "per_second", Default.PerSecond),
          .Target = millis(Node, "target_ms", Default.Target),
          .Limit = millis(Node, "limit_ms", Default.Limit),
          .Worth = positiveNumber(Node, "worth", Default.Worth),
          .MissedTargetWorth =
              zeroOrMore(Node, "late_worth", Default.MissedTargetWorth),
          .Subjects = static_cast<std::uint32_t>(
              positiveInteger(Node, "subjects", Default.Subjects)),
          .SharedTokens =
              zeroOrMore(Node, "shared_tokens", Default.SharedTokens),
          .OwnTokens = positiveNumber(Node, "own_tokens", Default.OwnTokens),
          .OutputTokens =
              positiveNumber(Node, "output_tokens", Default.OutputTokens),
          .Spread = zeroOrMore(Node, "spread", Default.Spread)};
}

LoadEvent eventOf(const YAML::Node &Node) {
  onlyFields(Node, {"kind", "at_s", "for_s", "factor", "only", "count"});
  const auto Kind = valueOf<std::string>(Node, "kind");
  if (Kind != "burst" && Kind != "engines-lost")
    throwBadSetting(Node["kind"], "kind", "must be burst or engines-lost");
  return {.Kind = Kind == "burst" ? EventKind::Burst : EventKind::EnginesLost,
          .Start = seconds(Node, "at_s", 0),
          .Length = seconds(Node, "for_s", 0),
          .Factor = positiveNumber(Node, "factor", 1.0),
          .OnlyKind = valueOr<std::string>(Node, "only", ""),
          .Count = valueOr<unsigned>(Node, "count", 0)};
}

PolicySpec policyOf(const YAML::Node &Node) {
  onlyFields(Node, {"name", "base", "dispatch"});
  PolicySpec Out{.Name = valueOf<std::string>(Node, "name"),
                 .Base = valueOr<std::string>(Node, "base", "dispatcher"),
                 .Options = gateway::parseDispatcherOptions(Node["dispatch"])};
  if (!isPlacer(Out.Base))
    throwBadSetting(Node["base"], "base", "unknown policy");
  return Out;
}

EngineTraits engineOf(const YAML::Node &Node) {
  const EngineTraits Default;
  if (!Node)
    return Default;
  onlyFields(Node, {"count", "slots", "kv_tokens", "prompt_tokens_per_ms",
                    "chunk_tokens", "step_ms", "step_ms_per_request"});
  return {.Slots = static_cast<unsigned>(
              positiveInteger(Node, "slots", Default.Slots)),
          .KvTokens = static_cast<std::uint64_t>(positiveInteger(
              Node, "kv_tokens", static_cast<std::int64_t>(Default.KvTokens))),
          .PromptTokensPerMs = positiveNumber(Node, "prompt_tokens_per_ms",
                                              Default.PromptTokensPerMs),
          .ChunkTokens = static_cast<std::uint32_t>(
              positiveInteger(Node, "chunk_tokens", Default.ChunkTokens)),
          .Step = millis(Node, "step_ms", Default.Step),
          .StepPerRequest =
              millis(Node, "step_ms_per_request", Default.StepPerRequest)};
}

template <class T, class Read>
std::vector<T> listOf(const YAML::Node &Root, const std::string &Name,
                      Read ReadEntry) {
  std::vector<T> Out;
  const YAML::Node Node = Root[Name];
  if (!Node)
    return Out;
  if (!Node.IsSequence())
    throwBadSetting(Node, Name, "must be a list");
  for (const YAML::Node &Entry : Node)
    Out.push_back(ReadEntry(Entry));
  return Out;
}

Scenario scenarioOf(const YAML::Node &Root) {
  if (!Root.IsMap())
    throw BadSetting{"scenario: must be a map"};
  onlyFields(Root, {"seconds", "seed", "engines", "workspaces", "returns",
                    "kinds", "events", "policies", "loads"});
  const auto Positive = [](const YAML::Node &Entry) {
    const double Value = Entry.as<double>();
    if (!(Value > 0.0))
      throwBadSetting(Entry, "list", "every number must be above 0");
    return Value;
  };
  Scenario Out{.Length = seconds(Root, "seconds", 30),
               .Seed = valueOr<std::uint64_t>(Root, "seed", 1),
               .Engines = Root["engines"]
                              ? static_cast<unsigned>(positiveInteger(
                                    Root["engines"], "count", 8))
                              : 8,
               .Engine = engineOf(Root["engines"]),
               .Retries = valueOr<unsigned>(Root, "returns", 1),
               .Kinds = listOf<RequestKind>(Root, "kinds", kindOf),
               .Events = listOf<LoadEvent>(Root, "events", eventOf),
               .Policies = listOf<PolicySpec>(Root, "policies", policyOf)};
  if (const auto Shares = listOf<double>(Root, "workspaces", Positive);
      !Shares.empty())
    Out.WorkspaceShares = Shares;
  if (const auto Loads = listOf<double>(Root, "loads", Positive);
      !Loads.empty())
    Out.Loads = Loads;
  if (Out.Kinds.empty())
    throwBadSetting(Root, "kinds", "missing or empty");
  if (Out.Policies.empty())
    throwBadSetting(Root, "policies", "missing or empty");
  return Out;
}

} // namespace

Result<Scenario> parseScenario(const std::string &Yaml) {
  try {
    return scenarioOf(YAML::Load(Yaml));
  } catch (const BadSetting &Bad) {
    return fail(ErrorKind::InvalidSettings, Bad.Message);
  } catch (const YAML::Exception &Bad) {
    return fail(ErrorKind::InvalidSettings, Bad.what());
  }
}

Result<Scenario> loadScenario(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(ErrorKind::InvalidSettings, "can't read " + Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return parseScenario(Text.str());
}

} // namespace nutmegdrift::lab
