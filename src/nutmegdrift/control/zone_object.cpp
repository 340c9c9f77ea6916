// JSON form of the zone object.
#include "nutmegdrift/control/zone_object.h"

#include <nlohmann/json.hpp>

namespace nutmegdrift::control {
namespace {

using Json = nlohmann::json;

/// Runs Parse and turns every JSON error into InvalidDocument.
template <class T, class Parse> Result<T> parseDocument(Parse &&Attempt) {
  try {
    return Attempt();
  } catch (const Json::exception &Failure) {
    return fail(ErrorKind::InvalidDocument, Failure.what());
  }
}

MemberRecord parseMember(const Json &Item) {
  return {.Daemon = Item.at("daemon"),
          .Boot = Item.at("boot"),
          .Zone = Item.at("zone"),
          .Host = Item.at("host"),
          .CallerPort = Item.at("callerPort"),
          .PeerPort = Item.at("peerPort"),
          .AdminPort = Item.value("adminPort", std::uint16_t{0}),
          .Renewal = Item.at("renewal"),
          .Leaving = Item.at("state") == "leaving"};
}

OwnershipRecord parseRecord(const Json &Item) {
  return {.Owner = Item.at("owner"),
          .Boot = Item.at("boot"),
          .Epoch = Item.at("epoch"),
          .ResidualRequests = Item.at("carry"),
          .Factor = Item.value("factor", 1.0),
          .Previous = Item.value("previous", ""),
          .Claimed = Item.value("claimed", false)};
}

} // namespace

std::string toJson(const ZoneObject &Value) {
  Json Out{{"members", Json::array()},
           {"records", Json::array()},
           {"nonce", Value.Nonce}};
  for (const auto &[Name, M] : Value.Members)
    Out["members"].push_back({{"daemon", Name},
                              {"boot", M.Boot},
                              {"zone", M.Zone},
                              {"host", M.Host},
                              {"callerPort", M.CallerPort},
                              {"peerPort", M.PeerPort},
                              {"adminPort", M.AdminPort},
                              {"renewal", M.Renewal},
                              {"state", M.Leaving ? "leaving" : "active"}});
  for (const auto &[Id, R] : Value.Records)
    Out["records"].push_back({{"replica", Id},
                              {"owner", R.Owner},
                              {"boot", R.Boot},
                              {"epoch", R.Epoch},
                              {"carry", R.ResidualRequests},
                              {"factor", R.Factor},
                              {"previous", R.Previous},
                              {"claimed", R.Claimed}});
  return Out.dump();
}

Result<ZoneObject> parseZoneObject(const std::string &Text) {
  return parseDocument<ZoneObject>([&] {
    const auto Document = Json::parse(Text);
    ZoneObject Out;
    Out.Nonce = Document.value("nonce", "");
    for (const auto &Item : Document.at("members"))
      Out.Members.emplace(Item.at("daemon"), parseMember(Item));
    for (const auto &Item : Document.at("records"))
      Out.Records.emplace(Item.at("replica"), parseRecord(Item));
    return Out;
  });
}

} // namespace nutmegdrift::control
