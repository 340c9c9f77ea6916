// Parsing, validation and printing of the configuration documents: JSON objects
// of the platform and YAML files of operators.
#ifndef NUTMEGDRIFT_CONFIG_DOCUMENTS_H
#define NUTMEGDRIFT_CONFIG_DOCUMENTS_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/config/fleet_config.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace nutmegdrift::config {

/// Name of the platform object with the configuration.
inline constexpr auto ConfigObjectName = "config";

/// Author and summary of the last change of the configuration.
struct ChangeNote {
  std::string Author;
  std::string Summary;
  std::int64_t WallMicros = 0; ///< Microseconds since the Unix epoch.
  /// Random number of the writer. After a lost response the writer reads the
  /// object again and detects by this number whether its write took effect.
  std::uint64_t Nonce = 0;

  friend bool operator==(const ChangeNote &, const ChangeNote &) = default;
};

/// The content of the platform object "config".
struct ConfigDocument {
  FleetConfig Config;
  ChangeNote LastChange{};

  friend bool operator==(const ConfigDocument &,
                         const ConfigDocument &) = default;
};

/// Text of a file, and its name for messages.
struct NamedText {
  std::string File;
  std::string Text;
};

/// Parses and validates the JSON of the object "config". Version is the
/// object's version. Unknown fields are rejected, because a reader that ignored
/// them would remove them with its next write. Error: InvalidDocument, one line
/// for each problem.
Result<ConfigDocument> parseConfigDocument(const std::string &Text,
                                           std::uint64_t Version);
/// Like parseConfigDocument, but returns only the configuration.
Result<FleetConfig> parseFleetConfig(const std::string &Text,
                                     std::uint64_t Version);
/// Prints one line of JSON, without Config.Version.
std::string printConfigDocument(const ConfigDocument &Value);
/// Like printConfigDocument, without a note on the last change.
std::string printFleetConfig(const FleetConfig &Value);

/// Parses the JSON of an object "endpoints/<id>". Unknown fields are ignored,
/// because endpoints belong to other departments, which may add fields. Error:
/// InvalidDocument.
Result<Replica> parseReplica(const std::string &Id, const std::string &Text);
std::string printReplica(const Replica &Value);

/// The part of a configuration that operators maintain in files.
struct OperatorLists {
  std::vector<Plan> Plans;
  std::vector<Workspace> Workspaces;
  std::vector<Access> AccessRules;

  friend bool operator==(const OperatorLists &,
                         const OperatorLists &) = default;
};

/// Parses and merges operators' YAML files. A file contains the lists `plans`
/// (name, weight, max_queued, workspaces) and `access` (plan, targets), both
/// optional. With KnownTargets, other targets are errors. Error:
/// InvalidDocument, "FILE:LINE: FIELD: PROBLEM" for each problem.
Result<OperatorLists>
parseOperatorFiles(const std::vector<NamedText> &Files,
                   const std::optional<std::vector<Target>> &KnownTargets = {});

/// Reads a file. Error: NotFound.
Result<NamedText> readFile(const std::string &Path);

/// Returns Base with the operators' lists; zones and versions are unchanged.
FleetConfig withLists(FleetConfig Base, const OperatorLists &Lists);

/// Describes each difference between Before and After by a short text, such as
/// "zone cph2 out" or "plan school weight 2 -> 3".
std::vector<std::string> describeChanges(const FleetConfig &Before,
                                         const FleetConfig &After);

} // namespace nutmegdrift::config

#endif
