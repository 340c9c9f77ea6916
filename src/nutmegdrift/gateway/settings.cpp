// Reading and checking of gateway settings.
#include "nutmegdrift/gateway/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

namespace nutmegdrift::gateway {

namespace {

/// Thrown while parsing, turned into an Error at the boundary.
struct BadSetting {
  std::string Message;
};

[[noreturn]] void bad(const YAML::Node &At, const std::string &Name,
                      const std::string &What) {
  std::string Where;
  if (At.IsDefined() && !At.Mark().is_null())
    Where = " (line " + std::to_string(At.Mark().line + 1) + ")";
  throw BadSetting{Name + ": " + What + Where};
}

template <class T>
T valueOf(const YAML::Node &Parent, const std::string &Name) {
  const YAML::Node Node = Parent[Name];
  if (!Node || !Node.IsScalar())
    bad(Parent, Name, "missing");
  try {
    return Node.as<T>();
  } catch (const YAML::Exception &) {
    bad(Node, Name, "wrong type");
  }
}

template <class T>
T valueOr(const YAML::Node &Parent, const std::string &Name, T Default) {
  const YAML::Node Node = Parent[Name];
  if (!Node || Node.IsNull())
    return Default;
  return valueOf<T>(Parent, Name);
}

HostPort addressOf(const YAML::Node &Parent, const std::string &Name) {
  const auto Address = parseHostPort(valueOf<std::string>(Parent, Name));
  if (!Address)
    bad(Parent[Name], Name, "not of the form host:port");
  return *Address;
}

std::int64_t positive(const YAML::Node &Parent, const std::string &Name,
                      std::int64_t Default) {
  const auto Value = valueOr<std::int64_t>(Parent, Name, Default);
  if (Value <= 0)
    bad(Parent[Name], Name, "must be above 0");
  return Value;
}

double fraction(const YAML::Node &Parent, const std::string &Name,
                double Default) {
  const auto Value = valueOr<double>(Parent, Name, Default);
  if (!(Value > 0.0))
    bad(Parent[Name], Name, "must be above 0");
  return Value;
}

GatewayBounds boundsOf(const YAML::Node &Node) {
  const GatewayBounds Default;
  if (!Node)
    return Default;
  return {
      .KeyRevocation = Milliseconds(
          positive(Node, "key_revocation_ms", Default.KeyRevocation.count())),
      .StopGrace = Milliseconds(
          positive(Node, "stop_grace_ms", Default.StopGrace.count())),
      .DirectoryTtl = std::chrono::seconds(
          positive(Node, "directory_ttl_s", Default.DirectoryTtl.count())),
      .RetryShare = fraction(Node, "retry_share", Default.RetryShare),
      .RetryWindow = std::chrono::seconds(
          positive(Node, "retry_window_s", Default.RetryWindow.count())),
      .RetryFloor = valueOr<unsigned>(Node, "retry_floor", Default.RetryFloor),
      .ColdOverage = fraction(Node, "cold_overage", Default.ColdOverage),
  };
}

routing::DispatcherOptions dispatchOf(const YAML::Node &Node) {
  routing::DispatcherOptions Out;
  if (!Node)
    return Out;
  auto Time = [&](const char *Name, Duration Default) {
    const double Millis = valueOr<double>(
        Node, Name, std::chrono::duration<double, std::milli>(Default).count());
    if (!(Millis >= 0.0))
      bad(Node[Name], Name, "must be 0 or more");
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Millis));
  };
  Out.TargetBacklog = Time("target_backlog_ms", Out.TargetBacklog);
  Out.ReadingDuty = fraction(Node, "reading_duty", Out.ReadingDuty);
  Out.RereadCost = Time("reread_cost_ms", Out.RereadCost);
  Out.LateCost = Time("late_cost_ms", Out.LateCost);
  Out.WaitWeight = fraction(Node, "wait_weight", Out.WaitWeight);
  Out.TargetShare = fraction(Node, "target_share", Out.TargetShare);
  Out.LateWait = Time("late_wait_ms", Out.LateWait);
  return Out;
}

GatewaySettings settingsOf(const YAML::Node &Root) {
  if (!Root.IsMap())
    throw BadSetting{"settings: not a map"};
  const YAML::Node Listen = Root["listen"];
  if (!Listen || !Listen.IsMap())
    bad(Root, "listen", "missing");
  GatewaySettings Out{
      .Name = valueOf<std::string>(Root, "name"),
      .Zone = valueOf<std::string>(Root, "zone"),
      .Front = addressOf(Listen, "front"),
      .Readiness = addressOf(Listen, "readiness"),
      .Directory = addressOf(Listen, "directory"),
      .Internal = addressOf(Listen, "internal"),
      .Metrics = addressOf(Listen, "metrics"),
      .Store = addressOf(Root, "store"),
      .ProcessorShare = fraction(Root, "processor_share", 1.0),
      .MemoryMegabytes =
          static_cast<unsigned>(positive(Root, "memory_mb", 256)),
      .Descriptors = static_cast<unsigned>(positive(Root, "descriptors", 1024)),
      .Bounds = boundsOf(Root["bounds"]),
      .Dispatch = dispatchOf(Root["dispatch"]),
  };
  if (const YAML::Node Seeds = Root["seeds"]; Seeds && Seeds.IsSequence())
    for (const YAML::Node &Each : Seeds) {
      const auto Address = parseHostPort(Each.as<std::string>());
      if (!Address)
        bad(Each, "seeds", "not of the form host:port");
      Out.Seeds.push_back(Address->Host);
    }
  return Out;
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(const std::string &Yaml) {
  try {
    return settingsOf(YAML::Load(Yaml));
  } catch (const BadSetting &Bad) {
    return fail(ErrorKind::InvalidSettings, Bad.Message);
  } catch (const YAML::Exception &Bad) {
    return fail(ErrorKind::InvalidSettings, Bad.what());
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
