// Parsing and validation of gateway settings.
#include "nutmegdrift/gateway/settings.h"
#include "yaml_values.h"

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
  return {
      .KeyRevocation = Milliseconds(positiveInteger(
          Node, "key_revocation_ms", Default.KeyRevocation.count())),
      .StopGrace = Milliseconds(
          positiveInteger(Node, "stop_grace_ms", Default.StopGrace.count())),
      .DirectoryTtl = std::chrono::seconds(positiveInteger(
          Node, "directory_ttl_s", Default.DirectoryTtl.count())),
      .RetryShare = positiveNumber(Node, "retry_share", Default.RetryShare),
      .RetryWindow = std::chrono::seconds(
          positiveInteger(Node, "retry_window_s", Default.RetryWindow.count())),
      .RetryFloor = valueOr<unsigned>(Node, "retry_floor", Default.RetryFloor),
      .ColdOverage = positiveNumber(Node, "cold_overage", Default.ColdOverage),
  };
}

GatewaySettings parseRoot(const YAML::Node &Root) {
  if (!Root.IsMap())
    throw BadSetting{"settings: not a map"};
  const YAML::Node Listen = Root["listen"];
  if (!Listen || !Listen.IsMap())
    throwBadSetting(Root, "listen", "missing");
  GatewaySettings Out{
      .Name = valueOf<std::string>(Root, "name"),
      .Zone = valueOf<std::string>(Root, "zone"),
      .Front = parseAddress(Listen, "front"),
      .Readiness = parseAddress(Listen, "readiness"),
      .Directory = parseAddress(Listen, "directory"),
      .Internal = parseAddress(Listen, "internal"),
      .Metrics = parseAddress(Listen, "metrics"),
      .Store = parseAddress(Root, "store"),
      .ProcessorShare = positiveNumber(Root, "processor_share", 1.0),
      .MemoryMegabytes =
          static_cast<unsigned>(positiveInteger(Root, "memory_mb", 256)),
      .Descriptors =
          static_cast<unsigned>(positiveInteger(Root, "descriptors", 1024)),
      .Bounds = parseBounds(Root["bounds"]),
      .Dispatch = parseDispatcherOptions(Root["dispatch"]),
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
