#include "loopback_fleet.h"

#include "nutmegdrift/config/documents.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace nutmegdrift::testing {

namespace {

using nlohmann::json;

const Target Model{Target::Kind::Model, "small"};
const Target Service{Target::Kind::Service, "register"};

std::string makeDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "nutmegdrift-XXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot make a directory for the fleet");
  return Pattern;
}

} // namespace

std::string program(const std::string &Name) {
  return std::string(NUTMEGDRIFT_BINARIES) + "/" + Name;
}

LoopbackFleet::LoopbackFleet() : m_directory(makeDirectory()) {
  m_platform = std::make_unique<ChildProcess>(
      program("fakes/fake_platform"), std::vector<std::string>{"--port", "0"},
      m_directory + "/platform.log");
  m_platformPort = m_platform->listeningPort();
  if (m_platformPort == 0)
    throw std::runtime_error("the fake platform did not start");
  writeConfig();
}

LoopbackFleet::~LoopbackFleet() {
  m_daemons.clear();
  m_endpoints.clear();
  m_platform.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(m_directory, Ignored);
}

void LoopbackFleet::writeConfig() const {
  const config::FleetConfig Config{
      .Version = 0,
      .Plans = {{"large", 2.0, 64}, {"usual", 1.0, 64}},
      .Workspaces = {{"alpha", "large"}, {"beta", "usual"}, {"gamma", "usual"}},
      .AccessRules = {{"large", {Model, Service}}, {"usual", {Model, Service}}},
      .Zones = {{"z1", false}, {"z2", false}, {"z3", false}},
      .Versions = {}};
  writeObject("config", config::printFleetConfig(Config));
}

FleetEndpoint &LoopbackFleet::addEndpoint(const EndpointPlan &Plan) {
  auto Added = std::make_unique<FleetEndpoint>();
  const bool Engine = Plan.What.Type == Target::Kind::Model;
  std::vector<std::string> Args{"--port",    "0",
                                "--id",      Plan.Id,
                                "--bears",   std::to_string(Plan.Bears),
                                "--version", Plan.Version};
  Args.insert(Args.end(), Plan.Args.begin(), Plan.Args.end());
  Added->Process = std::make_unique<ChildProcess>(
      program(Engine ? "fakes/fake_engine" : "fakes/fake_service"), Args,
      m_directory + "/" + Plan.Id + ".log");
  const auto Port = Added->Process->listeningPort();
  if (Port == 0)
    throw std::runtime_error(Plan.Id + " did not start");
  Added->Record = {.Id = Plan.Id,
                   .ServedTarget = Plan.What,
                   .Address = {"127.0.0.1", Port},
                   .Zone = Plan.Zone,
                   .Version = Plan.Version,
                   .Capacity = Plan.Bears};
  writeObject("endpoints/" + Plan.Id, config::printReplica(Added->Record));
  m_endpoints.push_back(std::move(Added));
  return *m_endpoints.back();
}

FleetDaemon &LoopbackFleet::addDaemon(const std::string &Name,
                                      const std::string &Zone, bool Wait) {
  auto Added = std::make_unique<FleetDaemon>();
  Added->Name = Name;
  Added->Zone = Zone;
  Added->CallerPort = freePort();
  Added->PeerPort = freePort();
  Added->AdminPort = freePort();
  launch(*Added);
  m_daemons.push_back(std::move(Added));
  if (Wait && !waitReady(*m_daemons.back()))
    throw std::runtime_error(Name + " did not become ready");
  return *m_daemons.back();
}

void LoopbackFleet::launch(FleetDaemon &Which) {
  const auto File = m_directory + "/" + Which.Name + ".yaml";
  const auto Local = [](std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port) + "\n";
  };
  std::ofstream(File) << "name: " << Which.Name << "\n"
                      << "zone: " << Which.Zone << "\n"
                      << "region: r1\n"
                      << "platform: " << Local(m_platformPort) << "listen:\n"
                      << "  caller: " << Local(Which.CallerPort)
                      << "  peer: " << Local(Which.PeerPort)
                      << "  admin: " << Local(Which.AdminPort)
                      << m_extraSettings;
  if (!m_daemons.empty()) {
    std::ofstream Out(File, std::ios::app);
    Out << "peers:\n  seeds:\n";
    for (const auto &One : m_daemons)
      Out << "    - " << Local(One->PeerPort);
  }
  Which.Process = std::make_unique<ChildProcess>(
      program("src/nutmegdrift/daemon/nutmegd"),
      std::vector<std::string>{"--settings", File},
      m_directory + "/" + Which.Name + ".log");
}

void LoopbackFleet::restart(FleetDaemon &Which, bool Wait) {
  launch(Which);
  if (Wait && !waitReady(Which))
    throw std::runtime_error(Which.Name + " did not become ready");
}

void LoopbackFleet::platformFaults(const json &Faults) const {
  call({.Port = m_platformPort,
        .Method = "POST",
        .Path = "/faults",
        .Body = Faults.dump()});
}

void LoopbackFleet::faults(const FleetEndpoint &At, const json &Faults) {
  call({.Port = At.Record.Address.Port,
        .Method = "POST",
        .Path = "/faults",
        .Body = Faults.dump()});
}

json LoopbackFleet::runs(const FleetEndpoint &At) {
  return call({.Port = At.Record.Address.Port, .Path = "/runs"}).json();
}

std::map<std::string, int> LoopbackFleet::runsByKey() const {
  std::map<std::string, int> Out;
  for (const auto &One : m_endpoints)
    for (const auto &Run : runs(*One).value("runs", json::array()))
      if (const auto Key = Run.value("key", ""); !Key.empty())
        ++Out[Key];
  return Out;
}

HttpAnswer LoopbackFleet::readObject(const std::string &Name) const {
  return call({.Port = m_platformPort, .Path = "/objects/" + Name});
}

void LoopbackFleet::writeObject(const std::string &Name,
                                const std::string &Text) const {
  const auto Old = readObject(Name);
  const auto Version =
      Old.Status == 200 ? Old.Headers.at("X-Object-Version") : "0";
  const auto Answer = call({.Port = m_platformPort,
                            .Method = "PUT",
                            .Path = "/objects/" + Name,
                            .Headers = {{"X-If-Version", Version}},
                            .Body = Text});
  if (Answer.Status != 200)
    throw std::runtime_error("cannot write " + Name);
}

bool LoopbackFleet::waitReady(const FleetDaemon &Which, int SecondsMax) {
  return eventually(SecondsMax, [&] {
    return call({.Port = Which.AdminPort, .Path = "/readyz"}).Status == 200;
  });
}

bool LoopbackFleet::waitForOwners(int SecondsMax) const {
  return eventually(SecondsMax, [&] {
    std::size_t Owned = 0;
    for (const auto &One : m_daemons)
      Owned += call({.Port = One->AdminPort, .Path = "/admin/status"})
                   .json()
                   .value("owned", json::array())
                   .size();
    return Owned == m_endpoints.size();
  });
}

HttpAnswer complete(const FleetDaemon &At, const std::string &Workspace,
                    int Tokens, const std::string &Prompt,
                    const std::map<std::string, std::string> &Extra) {
  const json Body = {{"model", "small"},
                     {"prompt", Prompt},
                     {"max_tokens", Tokens},
                     {"stream", true}};
  std::map<std::string, std::string> Headers{
      {"X-Workspace", Workspace}, {"Content-Type", "application/json"}};
  Headers.insert(Extra.begin(), Extra.end());
  return call({.Port = At.CallerPort,
               .Method = "POST",
               .Path = "/v1/completions",
               .Headers = Headers,
               .Body = Body.dump()});
}

TicketSet getTickets(const FleetDaemon &At, std::uint64_t Count) {
  const auto Answer =
      call({.Port = At.CallerPort,
            .Path = "/v1/address?workspace=alpha&target=service:register"
                    "&tickets=" +
                    std::to_string(Count)})
          .json();
  const auto &Granted = Answer.at("tickets");
  return {Granted.at("home"), Granted.at("boot"), Granted.at("first"),
          Granted.at("count")};
}

HttpAnswer pay(const FleetDaemon &At, const std::string &Ticket,
               const std::string &Body, std::chrono::milliseconds Timeout) {
  return call({.Port = At.CallerPort,
               .Method = "POST",
               .Path = "/v1/services/register/payments",
               .Headers = {{"X-Workspace", "alpha"},
                           {"X-Ticket", Ticket},
                           {"Content-Type", "application/json"}},
               .Body = Body,
               .Timeout = Timeout});
}

} // namespace nutmegdrift::testing
