// Parsing of YAML values. Errors name the field and its line.
#ifndef NUTMEGDRIFT_GATEWAY_YAML_VALUES_H
#define NUTMEGDRIFT_GATEWAY_YAML_VALUES_H

#include "nutmegdrift/routing/model_dispatcher.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>

namespace nutmegdrift::gateway {

/// Thrown while parsing; the function that parses a file converts it to an
/// Error.
struct BadSetting {
  std::string Message;
};

[[noreturn]] inline void throwBadSetting(const YAML::Node &Node,
                                         const std::string &Name,
                                         const std::string &Problem) {
  std::string Location;
  if (Node.IsDefined() && !Node.Mark().is_null())
    Location = " (line " + std::to_string(Node.Mark().line + 1) + ")";
  throw BadSetting{Name + ": " + Problem + Location};
}

template <class T>
T valueOf(const YAML::Node &Parent, const std::string &Name) {
  const YAML::Node Node = Parent[Name];
  if (!Node || !Node.IsScalar())
    throwBadSetting(Parent, Name, "missing");
  try {
    return Node.as<T>();
  } catch (const YAML::Exception &) {
    throwBadSetting(Node, Name, "wrong type");
  }
}

template <class T>
T valueOr(const YAML::Node &Parent, const std::string &Name, T Default) {
  const YAML::Node Node = Parent[Name];
  if (!Node || Node.IsNull())
    return Default;
  return valueOf<T>(Parent, Name);
}

inline std::int64_t positiveInteger(const YAML::Node &Parent,
                                    const std::string &Name,
                                    std::int64_t Default) {
  const auto Value = valueOr<std::int64_t>(Parent, Name, Default);
  if (Value <= 0)
    throwBadSetting(Parent[Name], Name, "must be above 0");
  return Value;
}

inline double positiveNumber(const YAML::Node &Parent, const std::string &Name,
                             double Default) {
  const auto Value = valueOr<double>(Parent, Name, Default);
  if (!(Value > 0.0))
    throwBadSetting(Parent[Name], Name, "must be above 0");
  return Value;
}

inline double nonNegativeNumber(const YAML::Node &Parent,
                                const std::string &Name, double Default) {
  const auto Value = valueOr<double>(Parent, Name, Default);
  if (!(Value >= 0.0) || !std::isfinite(Value))
    throwBadSetting(Parent[Name], Name, "must be 0 or more");
  return Value;
}

inline constexpr double MillisecondUnit = 1.0; ///< In milliseconds.
inline constexpr double SecondUnit = 1000.0;   ///< In milliseconds.

/// A length of time, which may be a fraction of its unit. Lengths of more than
/// a year count as a year.
inline routing::Milliseconds durationIn(const YAML::Node &Parent,
                                        const std::string &Name,
                                        double UnitInMilliseconds,
                                        routing::Milliseconds Default) {
  constexpr double MaxMilliseconds = 365.0 * 24 * 3600 * 1000;
  const double Units = nonNegativeNumber(
      Parent, Name, static_cast<double>(Default.count()) / UnitInMilliseconds);
  return routing::Milliseconds(static_cast<std::int64_t>(
      std::min(Units * UnitInMilliseconds, MaxMilliseconds)));
}

/// Parses the options of a dispatcher; missing ones keep their defaults.
inline routing::DispatcherOptions
parseDispatcherOptions(const YAML::Node &Node) {
  routing::DispatcherOptions Out;
  if (!Node)
    return Out;
  auto ParseMilliseconds = [&](const char *Name, Duration Default) {
    const double Millis = valueOr<double>(
        Node, Name, std::chrono::duration<double, std::milli>(Default).count());
    if (!(Millis >= 0.0))
      throwBadSetting(Node[Name], Name, "must be 0 or more");
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Millis));
  };
  Out.TargetBacklog = ParseMilliseconds("target_backlog_ms", Out.TargetBacklog);
  Out.ReadingDuty = positiveNumber(Node, "reading_duty", Out.ReadingDuty);
  Out.RereadCost = ParseMilliseconds("reread_cost_ms", Out.RereadCost);
  Out.FetchCost = ParseMilliseconds("fetch_cost_ms", Out.FetchCost);
  Out.MissedTargetCost =
      ParseMilliseconds("late_cost_ms", Out.MissedTargetCost);
  Out.WaitWeight = positiveNumber(Node, "wait_weight", Out.WaitWeight);
  Out.TargetShare = positiveNumber(Node, "target_share", Out.TargetShare);
  Out.MissedTargetWait =
      ParseMilliseconds("late_wait_ms", Out.MissedTargetWait);
  return Out;
}

} // namespace nutmegdrift::gateway

#endif
