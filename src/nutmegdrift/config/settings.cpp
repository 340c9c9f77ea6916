#include "nutmegdrift/config/settings.h"

#include "fields.h"

namespace nutmegdrift::config {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t KiB = std::size_t{1} << 10U;
constexpr std::size_t MiB = std::size_t{1} << 20U;
/// A thread serves each active request; more would exceed a daemon's memory.
constexpr std::size_t MostActiveRequests = 20'000;
constexpr std::size_t MostTickets = 10'000'000;
/// A relayed body and its context have to fit one peer frame of 1 MiB.
constexpr std::size_t MostBodyBytes = MiB - 64 * KiB;

void readListen(Fields &In, ListenSettings &Out) {
  Out.Caller = In.address("caller", {});
  Out.Peer = In.address("peer", {});
  Out.Admin = In.address("admin", {});
}

void readPeers(Fields &In, PeerSettings &Out, Problems &Found) {
  const auto Discovery = In.text("discovery", "platform");
  if (Discovery != "platform" && Discovery != "seeds")
    In.problem("discovery", "must be platform or seeds");
  Out.FromPlatform = Discovery == "platform";
  for (const auto &[Text, Where] : In.texts("seeds")) {
    if (const auto Parsed = parseHostPort(Text); Parsed && Parsed->Port != 0)
      Out.Seeds.push_back(*Parsed);
    else
      Found.add(Where, "\"" + Text + "\" must be host:port");
  }
  if (!Out.FromPlatform && Out.Seeds.empty())
    In.problem("seeds", "needed with discovery: seeds");
}

void readBounds(Fields &In, LimitSettings &Out) {
  Out.MaxActiveRequests = In.count("max_active_requests", Out.MaxActiveRequests,
                                   1, MostActiveRequests);
  Out.MaxTickets = In.count("max_tickets", Out.MaxTickets, 1, MostTickets);
  Out.MaxBodyBytes = In.size("max_body", Out.MaxBodyBytes, KiB, MostBodyBytes);
  Out.MaxHeaderBytes = In.size("max_header", Out.MaxHeaderBytes, KiB, MiB);
}

void readTimes(Fields &In, LimitSettings &Out) {
  constexpr milliseconds Least(10);
  Out.HeaderTimeout =
      In.duration("header_timeout", Out.HeaderTimeout, Least, minutes(5));
  Out.IdleTimeout =
      In.duration("idle_timeout", Out.IdleTimeout, Least, minutes(10));
  Out.FirstTokenDeadline = In.duration(
      "first_token_deadline", Out.FirstTokenDeadline, Least, minutes(10));
  Out.ProgressDeadline = In.duration("progress_deadline", Out.ProgressDeadline,
                                     Least, minutes(10));
  Out.WriteDeadline =
      In.duration("write_deadline", Out.WriteDeadline, Least, minutes(10));
  Out.DefaultDeadline =
      In.duration("default_deadline", Out.DefaultDeadline, Least, hours(1));
  Out.MaxRequestDuration =
      In.duration("longest_request", Out.MaxRequestDuration, Least, hours(1));
  Out.TicketExpiry =
      In.duration("ticket_expiry", Out.TicketExpiry, seconds(1), hours(24));
  if (Out.DefaultDeadline > Out.MaxRequestDuration)
    In.problem("default_deadline", "must not exceed limits.longest_request");
}

void readLease(Fields &In, LeaseSettings &Out) {
  Out.Length = In.duration("length", Out.Length, milliseconds(100), minutes(1));
  Out.Margin = In.duration("margin", Out.Margin, milliseconds(10), seconds(30));
  if (Out.Margin >= Out.Length)
    In.problem("margin", "must be below lease.length");
}

void readRollout(Fields &In, RolloutSettings &Out) {
  constexpr milliseconds Least(10);
  Out.MinCanary = In.duration("min_canary", Out.MinCanary, Least, hours(24));
  Out.MinRamp = In.duration("min_ramp", Out.MinRamp, Least, hours(24));
  Out.LoadInterval =
      In.duration("load_interval", Out.LoadInterval, Least, hours(1));
  Out.MaxOrderTime =
      In.duration("longest_order", Out.MaxOrderTime, Least, hours(1));
}

DaemonSettings readSettings(Fields &Root, Problems &Found) {
  DaemonSettings Out;
  Out.Name = Root.name("name");
  Out.Zone = Root.name("zone");
  Out.Region = Root.name("region");
  Root.section("listen", [&](Fields &In) { readListen(In, Out.Listen); });
  Out.Advertised = Root.address("advertised", Out.Listen.Caller);
  Out.Platform = Root.address("platform", {});
  if (Root.has("platform") && Out.Platform.Port == 0)
    Root.problem("platform", "needs a port above 0");
  Root.section("peers", [&](Fields &In) { readPeers(In, Out.Peers, Found); });
  Root.section("limits", [&](Fields &In) {
    readBounds(In, Out.Limits);
    readTimes(In, Out.Limits);
  });
  Root.section("lease", [&](Fields &In) { readLease(In, Out.Lease); });
  Root.section("rollout", [&](Fields &In) { readRollout(In, Out.Rollout); });
  Root.refuseUnknown();
  return Out;
}

} // namespace

Result<DaemonSettings> parseSettings(const std::vector<NamedText> &Files) {
  Problems Found;
  Document All;
  for (const auto &File : Files) {
    const auto Next = readYaml(File.File, File.Text, Found);
    All.File = File.File;
    overlay(All, Next);
  }
  Fields Root(All, All.Root, "", Found);
  auto Out = readSettings(Root, Found);
  BOOST_LEAF_CHECK(Found.outcome(ErrorKind::InvalidSettings));
  return Out;
}

Result<DaemonSettings> loadSettings(const std::vector<std::string> &Paths) {
  std::vector<NamedText> Files;
  for (const auto &Path : Paths) {
    BOOST_LEAF_AUTO(File, readFile(Path));
    Files.push_back(std::move(File));
  }
  return parseSettings(Files);
}

} // namespace nutmegdrift::config
