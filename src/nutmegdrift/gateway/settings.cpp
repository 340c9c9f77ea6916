// Parsing and validation of gateway settings.
#include "nutmegdrift/gateway/settings.h"
#include "yaml_values.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace nutmegdrift::gateway {

namespace {

HostPort parseAddress(const YAML::Node &Parent, const std::string &Name) {
  const auto Address = parseHostPort(valueOf<std::string>(Parent, Name));
  if (!Address)
    throwBadSetting(Parent[Name], Name, "not of the form host:port");
  return *Address;
}

GatewayBounds parseBounds(const YAML::Node &Node) {
  const GatewayBounds Default;
  if (!Node)
    return Default;
  const Milliseconds StopGrace =
      durationIn(Node, "stop_grace_ms", MillisecondUnit, Default.StopGrace);
  return {
      .KeyRevocation = durationIn(Node, "key_revocation_ms", MillisecondUnit,
                                  Default.KeyRevocation),
      .RevokeWhenPartitioned = valueOr<bool>(Node, "revoke_when_partitioned",
                                             Default.RevokeWhenPartitioned),
      .StoreCatchUp = durationIn(Node, "store_catch_up_ms", MillisecondUnit,
                                 Default.StoreCatchUp),
      .StopGrace = durationIn(Node, "stop_grace_s", SecondUnit, StopGrace),
      .DirectoryTtl = std::chrono::seconds(positiveInteger(
          Node, "directory_ttl_s", Default.DirectoryTtl.count())),
      .RetryShare = nonNegativeNumber(Node, "retry_share", Default.RetryShare),
      .RetryWindow =
          durationIn(Node, "retry_window_s", SecondUnit, Default.RetryWindow),
      .RetryFloor = nonNegativeNumber(Node, "retry_floor", Default.RetryFloor),
      .ColdOverage =
          nonNegativeNumber(Node, "cold_overage", Default.ColdOverage),
      .Trial = {.Share =
                    nonNegativeNumber(Node, "trial_share", Default.Trial.Share),
                .Requests = nonNegativeNumber(Node, "trial_requests",
                                              Default.Trial.Requests)},
  };
}

/// A count that the platform may write as a fraction or far too large.
unsigned countOf(const YAML::Node &Parent, const std::string &Name,
                 double Default) {
  constexpr double MaxCount = 1e9;
  return static_cast<unsigned>(
      std::clamp(positiveNumber(Parent, Name, Default), 1.0, MaxCount));
}

CallerShares parseCallers(const YAML::Node &Node) {
  const CallerShares Default;
  if (!Node)
    return Default;
  return {.MemoryShare =
              positiveNumber(Node, "memory_share", Default.MemoryShare),
          .ConnectionShare =
              positiveNumber(Node, "connection_share", Default.ConnectionShare),
          .StallTime =
              durationIn(Node, "stall_ms", MillisecondUnit, Default.StallTime)};
}

/// A number above 0; 0 counts as missing.
double orDefault(const YAML::Node &Parent, const std::string &Name,
                 double Default) {
  const double Value = nonNegativeNumber(Parent, Name, Default);
  return Value > 0.0 ? Value : Default;
}

/// A length of time of at least a millisecond; 0 counts as missing.
Milliseconds positiveDurationIn(const YAML::Node &Parent,
                                const std::string &Name, double Unit,
                                Milliseconds Default) {
  const Milliseconds Value = durationIn(Parent, Name, Unit, Default);
  return Value.count() > 0 ? Value : Default;
}

/// Names of the duties in the settings.
constexpr char UsageDuty[] = "usage_reporting";
constexpr char ScaleDuty[] = "autoscaling";

/// A section without any known duty counts as missing.
std::optional<DutySettings> parseDuties(const YAML::Node &Node) {
  if (!Node || Node.IsNull())
    return std::nullopt;
  const DutySettings Default;
  DutySettings Out{
      .Service = parseAddress(Node, "service"),
      .CallsPerSecond = orDefault(Node, "calls_per_s", Default.CallsPerSecond),
      .Lease =
          positiveDurationIn(Node, "lease_ms", MillisecondUnit, Default.Lease),
      .UsageWindow = positiveDurationIn(Node, "usage_window_s", SecondUnit,
                                        Default.UsageWindow),
      .UsageLate = positiveDurationIn(Node, "usage_late_s", SecondUnit,
                                      Default.UsageLate),
      .UsageTolerance =
          nonNegativeNumber(Node, "usage_tolerance", Default.UsageTolerance)};
  if (const YAML::Node Names = Node["names"]; Names && Names.IsSequence())
    for (const YAML::Node &Name : Names) {
      const auto Text = Name.as<std::string>("");
      Out.ReportsUsage = Out.ReportsUsage || Text == UsageDuty;
      Out.ScalesReplicas = Out.ScalesReplicas || Text == ScaleDuty;
    }
  if (!Out.ReportsUsage && !Out.ScalesReplicas)
    return std::nullopt;
  return Out;
}

GatewaySettings parseRoot(const YAML::Node &Root) {
  if (!Root.IsMap())
    throw BadSetting{"settings: not a map"};
  const YAML::Node Listen = Root["listen"];
  if (!Listen || !Listen.IsMap())
    throwBadSetting(Root, "listen", "missing");
  const GatewaySettings Default;
  GatewaySettings Out{
      .Name = valueOf<std::string>(Root, "name"),
      .Zone = valueOf<std::string>(Root, "zone"),
      .Front = parseAddress(Listen, "front"),
      .Readiness = parseAddress(Listen, "readiness"),
      .Directory = parseAddress(Listen, "directory"),
      .Internal = parseAddress(Listen, "internal"),
      .Metrics = parseAddress(Listen, "metrics"),
      .Store = parseAddress(Root, "store"),
      .StoreHistory =
          durationIn(Root, "store_history_s", SecondUnit, Default.StoreHistory),
      .ProcessorShare = positiveNumber(Root, "processor_share", 1.0),
      .MemoryMegabytes = countOf(Root, "memory_mb", 256),
      .Descriptors = countOf(Root, "descriptors", 1024),
      .Callers = parseCallers(Root["callers"]),
      .Bounds = parseBounds(Root["bounds"]),
      .Dispatch = parseDispatcherOptions(Root["dispatch"]),
      .Duties = parseDuties(Root["duties"]),
  };
  if (const YAML::Node Seeds = Root["seeds"]; Seeds && Seeds.IsSequence())
    for (const YAML::Node &Seed : Seeds) {
      const auto Address = parseHostPort(Seed.as<std::string>());
      if (!Address)
        throwBadSetting(Seed, "seeds", "not of the form host:port");
      Out.Seeds.push_back(Address->Host);
    }
  return Out;
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(const std::string &Yaml) {
  try {
    return parseRoot(YAML::Load(Yaml));
  } catch (const BadSetting &Failure) {
    return fail(ErrorKind::InvalidSettings, Failure.Message);
  } catch (const YAML::Exception &Failure) {
    return fail(ErrorKind::InvalidSettings, Failure.what());
  }
}

Result<GatewaySettings> loadGatewaySettings(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(ErrorKind::InvalidSettings, "can't read " + Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return parseGatewaySettings(Text.str());
}

} // namespace nutmegdrift::gateway
