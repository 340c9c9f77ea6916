// Readers of the sections of a daemon's settings.
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
/// Each active request needs a thread; more would exceed a daemon's memory.
constexpr std::size_t MaxActiveRequestsBound = 20'000;
constexpr std::size_t MaxTicketsBound = 10'000'000;
/// A relayed body and its context must fit into a peer frame of 1 MiB.
constexpr std::size_t MaxBodyBytesBound = MiB - 64 * KiB;

void readListen(Fields &In, ListenSettings &Out) {
  Out.Caller = In.address("caller", {});
  Out.Peer = In.address("peer", {});
  Out.Admin = In.address("admin", {});
}

void readPeers(Fields &In, PeerSettings &Out, Problems &Errors) {
  const auto Discovery = In.text("discovery", "platform");
  if (Discovery != "platform" && Discovery != "seeds")
    In.problem("discovery", "must be platform or seeds");
  Out.FromPlatform = Discovery == "platform";
  for (const auto &[Text, Location] : In.texts("seeds")) {
    if (const auto Parsed = parseHostPort(Text); Parsed && Parsed->Port != 0)
      Out.Seeds.push_back(*Parsed);
    else
      Errors.add(Location, "\"" + Text + "\" must be host:port");
  }
  if (!Out.FromPlatform && Out.Seeds.empty())
    In.problem("seeds", "needed with discovery: seeds");
}

void readLimits(Fields &In, LimitSettings &Out) {
  Out.MaxActiveRequests = In.count("max_active_requests", Out.MaxActiveRequests,
                                   1, MaxActiveRequestsBound);
  Out.MaxTickets = In.count("max_tickets", Out.MaxTickets, 1, MaxTicketsBound);
  Out.MaxBodyBytes =
      In.size("max_body", Out.MaxBodyBytes, KiB, MaxBodyBytesBound);
  Out.MaxHeaderBytes = In.size("max_header", Out.MaxHeaderBytes, KiB, MiB);
}

void readTimeouts(Fields &In, LimitSettings &Out) {
  constexpr milliseconds MinDuration(10);
  Out.HeaderTimeout =
      In.duration("header_timeout", Out.HeaderTimeout, MinDuration, minutes(5));
  Out.IdleTimeout =
      In.duration("idle_timeout", Out.IdleTimeout, MinDuration, minutes(10));
  Out.FirstTokenDeadline = In.duration(
      "first_token_deadline", Out.FirstTokenDeadline, MinDuration, minutes(10));
  Out.ProgressDeadline = In.duration("progress_deadline", Out.ProgressDeadline,
                                     MinDuration, minutes(10));
  Out.WriteDeadline = In.duration("write_deadline", Out.WriteDeadline,
                                  MinDuration, minutes(10));
  Out.DefaultDeadline = In.duration("default_deadline", Out.DefaultDeadline,
                                    MinDuration, hours(1));
  Out.MaxRequestDuration = In.duration(
      "longest_request", Out.MaxRequestDuration, MinDuration, hours(1));
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
  constexpr milliseconds MinDuration(10);
  Out.MinCanary =
      In.duration("min_canary", Out.MinCanary, MinDuration, hours(24));
  Out.MinRamp = In.duration("min_ramp", Out.MinRamp, MinDuration, hours(24));
  Out.LoadInterval =
      In.duration("load_interval", Out.LoadInterval, MinDuration, hours(1));
  Out.MaxOrderTime =
      In.duration("longest_order", Out.MaxOrderTime, MinDuration, hours(1));
}

DaemonSettings readSettings(Fields &Root, Problems &Errors) {
  DaemonSettings Out;
  Out.Name = Root.name("name");
  Out.Zone = Root.name("zone");
  Out.Region = Root.name("region");
  Root.section("listen", [&](Fields &In) { readListen(In, Out.Listen); });
  Out.Advertised = Root.address("advertised", Out.Listen.Caller);
  Out.Platform = Root.address("platform", {});
  if (Root.has("platform") && Out.Platform.Port == 0)
    Root.problem("platform", "needs a port above 0");
  Root.section("peers", [&](Fields &In) { readPeers(In, Out.Peers, Errors); });
  Root.section("limits", [&](Fields &In) {
    readLimits(In, Out.Limits);
    readTimeouts(In, Out.Limits);
  });
  Root.section("lease", [&](Fields &In) { readLease(In, Out.Lease); });
  Root.section("rollout", [&](Fields &In) { readRollout(In, Out.Rollout); });
  Root.rejectUnknown();
  return Out;
}

} // namespace

Result<DaemonSettings> parseSettings(const std::vector<NamedText> &Files) {
  Problems Errors;
  Document Merged;
  for (const auto &File : Files) {
    const auto Next = readYaml(File.File, File.Text, Errors);
    Merged.File = File.File;
    overlay(Merged, Next);
  }
  Fields Root(Merged, Merged.Root, "", Errors);
  auto Out = readSettings(Root, Errors);
  BOOST_LEAF_CHECK(Errors.outcome(ErrorKind::InvalidSettings));
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
