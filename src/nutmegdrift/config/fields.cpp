// Conversion of YAML and JSON to fields, and the checks of field values.
#include "fields.h"

#include "nutmegdrift/config/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace nutmegdrift::config {

namespace {

/// Limits of a YAML text: with aliases a short text can expand exponentially.
constexpr std::size_t MaxNodes = 200'000;
constexpr int MaxDepth = 32;

template <class T> std::optional<T> parseNumber(std::string_view Text) {
  T Value{};
  const auto *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc{} || Rest != End)
    return std::nullopt;
  return Value;
}

std::string joinPath(std::string Path, const std::string &Key) {
  if (!Path.empty() && !Key.empty())
    Path += '.';
  return Path += Key;
}

Json scalarOf(const YAML::Node &Node) {
  const auto &Text = Node.Scalar();
  if (Node.Tag() == "!") // Quoted.
    return Text;
  if (Text == "true" || Text == "false")
    return Text == "true";
  if (const auto Integer = parseNumber<std::uint64_t>(Text))
    return *Integer;
  if (const auto Real = parseNumber<double>(Text); Real && std::isfinite(*Real))
    return *Real;
  return Text;
}

class YamlReader {
public:
  YamlReader(Document &Out, Problems &Errors)
      : m_document(Out), m_errors(Errors) {}

  Json read(const YAML::Node &Node, const std::string &Path, int Depth) {
    const SourceLocation Location{m_document.File,
                                  std::max(Node.Mark().line + 1, 1), Path};
    m_document.Locations.emplace(Path, Location);
    if (++m_nodeCount > MaxNodes || Depth > MaxDepth) {
      if (!std::exchange(m_tooLarge, true))
        m_errors.add(Location, "too many or too deeply nested fields");
      return {};
    }
    if (Node.IsMap())
      return readMap(Node, Path, Depth);
    if (Node.IsSequence())
      return readList(Node, Path, Depth);
    return Node.IsScalar() ? scalarOf(Node) : Json();
  }

private:
  Json readMap(const YAML::Node &Node, const std::string &Path, int Depth) {
    Json Out = Json::object();
    for (const auto &Entry : Node) {
      const SourceLocation Location{m_document.File,
                                    Entry.first.Mark().line + 1, Path};
      if (!Entry.first.IsScalar()) {
        m_errors.add(Location, "a field name must be text");
        continue;
      }
      const auto &Key = Entry.first.Scalar();
      const auto Inner = joinPath(Path, Key);
      if (Out.contains(Key))
        m_errors.add({Location.File, Location.Line, Inner},
                     "field is given twice");
      m_document.Locations[Inner] = {Location.File, Location.Line, Inner};
      Out[Key] = read(Entry.second, Inner, Depth + 1);
      if (m_tooLarge)
        break;
    }
    return Out;
  }

  Json readList(const YAML::Node &Node, const std::string &Path, int Depth) {
    Json Out = Json::array();
    for (const auto &Entry : Node) {
      Out.push_back(read(Entry, Path + "[" + std::to_string(Out.size()) + "]",
                         Depth + 1));
      if (m_tooLarge)
        break;
    }
    return Out;
  }

  Document &m_document;
  Problems &m_errors;
  std::size_t m_nodeCount = 0;
  bool m_tooLarge = false;
};

void checkRoot(Document &Out, Problems &Errors) {
  if (Out.Root.is_null())
    Out.Root = Json::object();
  if (Out.Root.is_object())
    return;
  Errors.add({Out.File, 1, ""}, "the document must be a mapping");
  Out.Root = Json::object();
}

struct Unit {
  std::string_view Name;
  std::uint64_t Factor;
};

/// Parses an integer without a sign and a unit, such as "3 s". Returns the
/// integer times the factor of the unit.
std::optional<std::uint64_t> parseWithUnit(const std::string &Text,
                                           std::initializer_list<Unit> Units) {
  const auto Digits =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  const auto Number = parseNumber<std::uint32_t>({Text.data(), Digits});
  const auto Start = Text.find_first_not_of(' ', Digits);
  if (!Number || Start == std::string::npos)
    return std::nullopt;
  for (const auto &Entry : Units)
    if (Text.substr(Start) == Entry.Name)
      return *Number * Entry.Factor;
  return std::nullopt;
}

} // namespace

void Problems::add(const SourceLocation &Location, const std::string &Problem) {
  auto Line = Location.File;
  if (Location.Line > 0)
    Line += ":" + std::to_string(Location.Line);
  if (!Location.Field.empty())
    Line += ": " + Location.Field;
  m_lines.push_back(Line + ": " + Problem);
}

Result<void> Problems::outcome(ErrorKind Kind) const {
  if (m_lines.empty())
    return {};
  std::string All;
  for (const auto &Line : m_lines)
    All += (All.empty() ? "" : "\n") + Line;
  return fail(Kind, All);
}

Document readYaml(const std::string &File, const std::string &Text,
                  Problems &Errors) {
  Document Out{.File = File};
  try {
    const auto Node = YAML::Load(Text);
    Out.Root = YamlReader(Out, Errors).read(Node, "", 0);
  } catch (const YAML::Exception &Failure) {
    Errors.add({File, Failure.mark.line + 1, ""}, "not YAML: " + Failure.msg);
  }
  checkRoot(Out, Errors);
  return Out;
}

Document readJson(const std::string &File, const std::string &Text,
                  Problems &Errors) {
  Document Out{.File = File};
  try {
    Out.Root = Json::parse(Text);
  } catch (const Json::parse_error &Failure) {
    const auto End = Text.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(Failure.byte, Text.size()));
    const auto Line = 1 + std::count(Text.begin(), End, '\n');
    Errors.add({File, static_cast<int>(Line), ""},
               std::string("not JSON: ") + Failure.what());
  }
  checkRoot(Out, Errors);
  return Out;
}

namespace {

void overlayNode(Json &Base, const Json &Override) {
  if (!Base.is_object() || !Override.is_object()) {
    Base = Override;
    return;
  }
  for (const auto &[Key, Value] : Override.items())
    overlayNode(Base[Key], Value);
}

} // namespace

void overlay(Document &Base, const Document &Override) {
  overlayNode(Base.Root, Override.Root);
  for (const auto &[Path, Location] : Override.Locations)
    Base.Locations[Path] = Location;
}

bool validName(std::string_view Name) {
  constexpr std::size_t MaxName = 64;
  constexpr std::string_view Allowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !Name.empty() && Name.size() <= MaxName &&
         Name.find_first_not_of(Allowed) == std::string_view::npos;
}

std::optional<std::chrono::milliseconds>
parseDuration(const std::string &Text) {
  const auto Value = parseWithUnit(
      Text, {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}});
  if (!Value)
    return std::nullopt;
  return std::chrono::milliseconds(*Value);
}

std::optional<std::size_t> parseSize(const std::string &Text) {
  return parseWithUnit(Text,
                       {{"B", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}});
}

Fields::Fields(const Document &Source, const Json &Node, std::string Path,
               Problems &Errors)
    : m_source(Source), m_node(Node), m_path(std::move(Path)),
      m_errors(Errors) {
  if (!m_node.is_object())
    problem("", "must be a mapping");
}

std::string Fields::pathOf(const std::string &Key) const {
  return joinPath(m_path, Key);
}

SourceLocation Fields::location(const std::string &Key) const {
  const auto Path = pathOf(Key);
  if (const auto Entry = m_source.Locations.find(Path);
      Entry != m_source.Locations.end())
    return Entry->second;
  // A missing field is reported at the line of its mapping.
  const auto Parent = m_source.Locations.find(m_path);
  if (Parent != m_source.Locations.end())
    return {Parent->second.File, Parent->second.Line, Path};
  return {m_source.File, 0, Path};
}

void Fields::problem(const std::string &Key, const std::string &Problem) {
  m_errors.add(location(Key), Problem);
}

bool Fields::has(const std::string &Key) const {
  return m_node.is_object() && m_node.contains(Key);
}

const Json *Fields::find(const std::string &Key) {
  m_readKeys.insert(Key);
  return has(Key) ? &m_node.at(Key) : nullptr;
}

const Json *Fields::required(const std::string &Key) {
  const auto *Value = find(Key);
  if (Value == nullptr && m_node.is_object())
    problem(Key, "missing");
  return Value;
}

std::string Fields::text(const std::string &Key) {
  const auto *Value = required(Key);
  if (Value == nullptr)
    return {};
  if (!Value->is_string()) {
    problem(Key, "must be text; numbers and true or false need quotes");
    return {};
  }
  return Value->get<std::string>();
}

std::string Fields::text(const std::string &Key, const std::string &Default) {
  return find(Key) == nullptr ? Default : text(Key);
}

std::string Fields::name(const std::string &Key) {
  auto Value = text(Key);
  if (has(Key) && m_node.at(Key).is_string() && !validName(Value))
    problem(Key, "\"" + Value +
                     "\" must be 1 to 64 of letters, digits, '.', "
                     "'_' and '-'");
  return Value;
}

double Fields::number(const std::string &Key, double Default) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return Default;
  if (Value->is_number())
    return Value->get<double>();
  problem(Key, "must be a number");
  return Default;
}

std::size_t Fields::count(const std::string &Key, std::size_t Default,
                          std::size_t Min, std::size_t Max) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return Default;
  const bool Integer = Value->is_number_unsigned();
  const auto Count = Integer ? Value->get<std::size_t>() : 0;
  if (Integer && Count >= Min && Count <= Max)
    return Count;
  problem(Key, "must be a whole number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
  return Default;
}

bool Fields::flag(const std::string &Key, bool Default) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  problem(Key, "must be true or false");
  return Default;
}

std::chrono::milliseconds Fields::duration(const std::string &Key,
                                           std::chrono::milliseconds Default,
                                           std::chrono::milliseconds Min,
                                           std::chrono::milliseconds Max) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return Default;
  const auto Parsed = Value->is_string()
                          ? parseDuration(Value->get<std::string>())
                          : std::nullopt;
  if (Parsed && *Parsed >= Min && *Parsed <= Max)
    return *Parsed;
  problem(Key, "must be a duration from " + std::to_string(Min.count()) +
                   " ms to " + std::to_string(Max.count()) +
                   " ms with its unit (ms, s, min or h)");
  return Default;
}

std::size_t Fields::size(const std::string &Key, std::size_t Default,
                         std::size_t Min, std::size_t Max) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return Default;
  const auto Parsed =
      Value->is_string() ? parseSize(Value->get<std::string>()) : std::nullopt;
  if (Parsed && *Parsed >= Min && *Parsed <= Max)
    return *Parsed;
  problem(Key, "must be a size from " + std::to_string(Min) + " B to " +
                   std::to_string(Max) + " B with its unit (B, KiB or MiB)");
  return Default;
}

HostPort Fields::address(const std::string &Key,
                         std::optional<HostPort> Default) {
  if (Default && find(Key) == nullptr)
    return *Default;
  const auto Value = text(Key);
  if (const auto Parsed = parseHostPort(Value))
    return *Parsed;
  if (has(Key) && m_node.at(Key).is_string())
    problem(Key, "\"" + Value + "\" must be host:port");
  return {};
}

Target Fields::target(const std::string &Key) {
  const auto Value = text(Key);
  if (const auto Parsed = parseTarget(Value); Parsed && validName(Parsed->Name))
    return *Parsed;
  if (has(Key) && m_node.at(Key).is_string())
    problem(Key, "\"" + Value + "\" must be model:NAME or service:NAME");
  return {};
}

std::vector<std::pair<std::string, SourceLocation>>
Fields::texts(const std::string &Key) {
  std::vector<std::pair<std::string, SourceLocation>> Out;
  const auto *Value = find(Key);
  if (Value == nullptr)
    return Out;
  if (!Value->is_array()) {
    problem(Key, "must be a list");
    return Out;
  }
  for (std::size_t I = 0; I < Value->size(); ++I) {
    const auto Location = location(Key + "[" + std::to_string(I) + "]");
    if ((*Value)[I].is_string())
      Out.emplace_back((*Value)[I].get<std::string>(), Location);
    else
      m_errors.add(Location,
                   "must be text; numbers and true or false need quotes");
  }
  return Out;
}

void Fields::each(const std::string &Key,
                  const std::function<void(Fields &)> &Read) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_array()) {
    problem(Key, "must be a list");
    return;
  }
  for (std::size_t I = 0; I < Value->size(); ++I) {
    Fields Inner(m_source, (*Value)[I],
                 pathOf(Key) + "[" + std::to_string(I) + "]", m_errors);
    Read(Inner);
    Inner.rejectUnknown();
  }
}

void Fields::section(const std::string &Key,
                     const std::function<void(Fields &)> &Read) {
  static const Json Empty = Json::object();
  const auto *Value = find(Key);
  Fields Inner(m_source, Value == nullptr ? Empty : *Value, pathOf(Key),
               m_errors);
  Read(Inner);
  Inner.rejectUnknown();
}

void Fields::rejectUnknown() {
  if (!m_node.is_object())
    return;
  for (const auto &[Key, Value] : m_node.items())
    if (!m_readKeys.contains(Key))
      problem(Key, "unknown field");
}

} // namespace nutmegdrift::config
