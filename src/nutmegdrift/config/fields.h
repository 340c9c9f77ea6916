// Reads typed fields from YAML or JSON text and collects all problems with
// their file, line and field. Private to the config module.
#ifndef NUTMEGDRIFT_CONFIG_FIELDS_H
#define NUTMEGDRIFT_CONFIG_FIELDS_H

#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/identifiers.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegdrift::config {

using Json = nlohmann::json;

/// Location of a field. Line 0: unknown, as in one-line JSON.
struct SourceLocation {
  std::string File;
  int Line = 0;
  std::string Field;
};

/// Collects problems, one line of text each.
class Problems {
public:
  void add(const SourceLocation &Location, const std::string &Problem);
  [[nodiscard]] bool empty() const { return m_lines.empty(); }
  /// Returns all problems as one Error of this kind, or success.
  [[nodiscard]] Result<void> outcome(ErrorKind Kind) const;

private:
  std::vector<std::string> m_lines;
};

/// A parsed text. The keys of Locations are paths of fields, such as
/// "plans[1].weight".
struct Document {
  std::string File;
  Json Root = Json::object();
  std::map<std::string, SourceLocation> Locations{};
};

Document readYaml(const std::string &File, const std::string &Text,
                  Problems &Errors);
Document readJson(const std::string &File, const std::string &Text,
                  Problems &Errors);

/// Adds the fields of Override to Base. A field in both gets Override's value;
/// lists are replaced as a whole.
void overlay(Document &Base, const Document &Override);

/// True for 1 to 64 letters, digits, '.', '_' and '-'. Names are used in
/// headers, object names and log lines, where other characters would need
/// escapes.
bool validName(std::string_view Name);

/// Parses "512 B", "64 KiB" or "1 MiB" into bytes.
std::optional<std::size_t> parseSize(const std::string &Text);

/// The fields of one mapping. After a problem, a read method returns a default
/// value, so that one run reports all problems.
class Fields {
public:
  Fields(const Document &Source, const Json &Node, std::string Path,
         Problems &Errors);

  std::string text(const std::string &Key);
  std::string text(const std::string &Key, const std::string &Default);
  std::string name(const std::string &Key);
  double number(const std::string &Key, double Default);
  std::size_t count(const std::string &Key, std::size_t Default,
                    std::size_t Min, std::size_t Max);
  bool flag(const std::string &Key, bool Default);
  std::chrono::milliseconds duration(const std::string &Key,
                                     std::chrono::milliseconds Default,
                                     std::chrono::milliseconds Min,
                                     std::chrono::milliseconds Max);
  std::size_t size(const std::string &Key, std::size_t Default, std::size_t Min,
                   std::size_t Max);
  HostPort address(const std::string &Key, std::optional<HostPort> Default);
  Target target(const std::string &Key);
  std::vector<std::pair<std::string, SourceLocation>>
  texts(const std::string &Key);

  /// Calls Read for each mapping in the list at Key; a missing list is empty.
  void each(const std::string &Key, const std::function<void(Fields &)> &Read);
  /// Calls Read for the mapping at Key, or for an empty one.
  void section(const std::string &Key,
               const std::function<void(Fields &)> &Read);

  /// Reports all fields that no read method has requested.
  void rejectUnknown();
  void problem(const std::string &Key, const std::string &Problem);
  [[nodiscard]] SourceLocation location(const std::string &Key = "") const;
  [[nodiscard]] bool has(const std::string &Key) const;

private:
  const Json *find(const std::string &Key);
  const Json *required(const std::string &Key);
  [[nodiscard]] std::string pathOf(const std::string &Key) const;

  const Document &m_source;
  const Json &m_node;
  const std::string m_path;
  Problems &m_errors;
  std::set<std::string> m_readKeys; ///< Keys requested by read methods.
};

} // namespace nutmegdrift::config

#endif
