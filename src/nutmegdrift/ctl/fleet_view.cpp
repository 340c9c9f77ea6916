#include "nutmegdrift/ctl/fleet_view.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timestamp.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace nutmegdrift::ctl {

namespace {

using Json = nlohmann::json;

constexpr int AdminTimeoutSeconds = 3;
/// 8,192 events of a few hundred bytes fit.
constexpr std::size_t MaxAnswerBytes = std::size_t{16} << 20U;
constexpr std::string_view FleetPrefix = "fleet/";

std::string readBounded(std::istream &In) {
  constexpr std::size_t BlockSize = 16384;
  std::array<char, BlockSize> Block{};
  std::string Out;
  while (Out.size() <= MaxAnswerBytes &&
         (In.read(Block.data(), Block.size()) || In.gcount() > 0))
    Out.append(Block.data(), static_cast<std::size_t>(In.gcount()));
  return Out;
}

void readMembers(const platform::Object &Item,
                 std::vector<DaemonAddress> &Out) {
  const auto Root = Json::parse(Item.Text);
  for (const auto &Member : Root.value("members", Json::array())) {
    const auto Port = Member.value("adminPort", 0U);
    if (Port == 0 || Port > UINT16_MAX)
      continue;
    Out.push_back({Member.at("daemon").get<std::string>(),
                   Member.value("zone", Item.Name.substr(FleetPrefix.size())),
                   Member.value("state", "active"),
                   {Member.at("host").get<std::string>(),
                    static_cast<std::uint16_t>(Port)}});
  }
}

std::string textOf(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

bool hasField(const Event &Value, std::initializer_list<std::string_view> Keys,
              const std::string &Wanted) {
  return std::any_of(
      Value.Fields.begin(), Value.Fields.end(), [&](const auto &Field) {
        return Field.second == Wanted &&
               std::find(Keys.begin(), Keys.end(), Field.first) != Keys.end();
      });
}

} // namespace

Result<std::string> HttpAdminClient::get(const HostPort &Daemon,
                                         const std::string &Path) {
  try {
    Poco::Net::HTTPClientSession Session(Daemon.Host, Daemon.Port);
    Session.setTimeout(Poco::Timespan(AdminTimeoutSeconds, 0));
    Poco::Net::HTTPRequest Head("GET", Path, "HTTP/1.1");
    Session.sendRequest(Head);
    Poco::Net::HTTPResponse Answer;
    auto Body = readBounded(Session.receiveResponse(Answer));
    if (Answer.getStatus() == Poco::Net::HTTPResponse::HTTP_OK &&
        Body.size() <= MaxAnswerBytes)
      return Body;
    return fail(ErrorKind::PeerUnreachable,
                "status " + std::to_string(Answer.getStatus()));
  } catch (const Poco::Exception &Failure) {
    return fail(ErrorKind::PeerUnreachable, Failure.displayText());
  }
}

Result<std::vector<DaemonAddress>>
discoverDaemons(platform::ObjectStore &Store) {
  BOOST_LEAF_AUTO(Found, Store.list(std::string(FleetPrefix)));
  std::vector<DaemonAddress> Out;
  for (const auto &Item : Found.Objects) {
    try {
      readMembers(Item, Out);
    } catch (const Json::exception &) {
      continue; // One malformed record must not hide the other zones.
    }
  }
  std::sort(Out.begin(), Out.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  return Out;
}

Result<std::vector<DaemonAddress>> parseDaemons(const std::string &Text) {
  std::vector<DaemonAddress> Out;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');) {
    const auto Address = parseHostPort(Part);
    if (!Address)
      return fail(ErrorKind::MalformedRequest,
                  "\"" + Part + "\" must be host:port");
    Out.push_back({Part, "", "", *Address});
  }
  return Out;
}

Result<std::vector<ProcessEvent>> parseEvents(const std::string &Text) {
  try {
    const auto Root = Json::parse(Text);
    const auto Process = Root.at("process").get<std::string>();
    std::vector<ProcessEvent> Out;
    for (const auto &Item : Root.at("events")) {
      Event Value{.WallMicros = Item.at("wall_us").get<std::int64_t>(),
                  .Sequence = Item.at("seq").get<std::uint64_t>(),
                  .Name = Item.at("name").get<std::string>(),
                  .Fields = {}};
      const auto Fields = Item.value("fields", Json::object());
      for (const auto &[Key, Field] : Fields.items())
        Value.Fields.emplace_back(Key, textOf(Field));
      Out.push_back({Process, std::move(Value)});
    }
    return Out;
  } catch (const Json::exception &Failure) {
    return fail(ErrorKind::MalformedRequest, Failure.what());
  }
}

namespace {

/// Takes the next key=value pair off the front of Text. A quoted value may hold
/// any character, with a backslash before quotes and backslashes.
std::optional<std::pair<std::string, std::string>>
takeField(std::string_view &Text) {
  Text.remove_prefix(std::min(Text.find_first_not_of(' '), Text.size()));
  const auto Equals = Text.find('=');
  if (Text.empty() || Equals == std::string_view::npos)
    return std::nullopt;
  std::pair<std::string, std::string> Out{Text.substr(0, Equals), ""};
  Text.remove_prefix(Equals + 1);
  if (Text.empty() || Text.front() != '"') {
    const auto End = std::min(Text.find(' '), Text.size());
    Out.second = Text.substr(0, End);
    Text.remove_prefix(End);
    return Out;
  }
  std::size_t At = 1;
  for (; At < Text.size() && Text[At] != '"'; ++At) {
    At += Text[At] == '\\' && At + 1 < Text.size() ? 1 : 0;
    Out.second += Text[At];
  }
  Text.remove_prefix(std::min(At + 1, Text.size()));
  return Out;
}

} // namespace

std::optional<ProcessEvent> parseLogLine(std::string_view Line) {
  constexpr std::string_view First = "time_us=";
  const auto Start = Line.find(First);
  if (Start == std::string_view::npos)
    return std::nullopt;
  Line.remove_prefix(Start);
  ProcessEvent Out;
  while (auto Field = takeField(Line)) {
    auto &[Key, Value] = *Field;
    if (Key == "time_us") {
      const auto [End, Code] = std::from_chars(
          Value.data(), Value.data() + Value.size(), Out.Value.WallMicros);
      if (Code != std::errc() || End != Value.data() + Value.size())
        return std::nullopt;
    } else if (Key == "process" && Out.Process.empty()) {
      Out.Process = std::move(Value);
    } else if (Key == "event" && Out.Value.Name.empty()) {
      Out.Value.Name = std::move(Value);
    } else {
      Out.Value.Fields.push_back(std::move(*Field));
    }
  }
  if (Out.Process.empty() || Out.Value.Name.empty())
    return std::nullopt;
  return Out;
}

bool matches(const ProcessEvent &Value, const TimelineFilter &Filter) {
  const auto &Item = Value.Value;
  return Item.WallMicros >= Filter.SinceMicros &&
         (!Filter.Request || hasField(Item, {"request"}, *Filter.Request)) &&
         (!Filter.Workspace ||
          hasField(Item, {"workspace"}, *Filter.Workspace)) &&
         (!Filter.Endpoint ||
          hasField(Item, {"endpoint", "replica"}, *Filter.Endpoint));
}

std::vector<ProcessEvent> mergeTimeline(std::vector<ProcessEvent> Events,
                                        const TimelineFilter &Filter) {
  std::erase_if(Events,
                [&](const auto &Item) { return !matches(Item, Filter); });
  std::sort(Events.begin(), Events.end(), [](const auto &A, const auto &B) {
    return std::tie(A.Value.WallMicros, A.Process, A.Value.Sequence) <
           std::tie(B.Value.WallMicros, B.Process, B.Value.Sequence);
  });
  return Events;
}

std::string formatTimelineLine(const ProcessEvent &Value) {
  const auto Time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(Value.Value.WallMicros), "%Y-%m-%dT%H:%M:%s");
  return Time + "Z " + Value.Process + " " + formatEvent(Value.Value);
}

} // namespace nutmegdrift::ctl
