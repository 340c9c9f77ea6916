// Tests the daemon's settings: ranges, units, unknown keys and the examples.
#include "nutmegdrift/config/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>

namespace nutmegdrift::config {
namespace {

using ::testing::HasSubstr;

constexpr auto Minimal = "name: a\nzone: z\nregion: r\nplatform: 10.0.0.1:1\n"
                         "listen: {caller: 'h:1', peer: 'h:2', admin: 'h:3'}\n";

std::string problemsWith(const std::string &Extra) {
  const auto Failure = errorOf([&] {
    return parseSettings({{"base", Minimal}, {"extra", Extra}});
  });
  return Failure ? Failure->Message : "none";
}

TEST(Settings, DefaultsAndOverlay) {
  const auto Read = capture([] {
    return parseSettings({{"base", Minimal},
                          {"own", "zone: y\nlisten: {peer: 'h:9'}\n"
                                  "limits: {longest_request: 2 min}\n"}});
  });
  ASSERT_TRUE(Read) << Read.Failure.Message;
  EXPECT_EQ(Read->Zone, "y");
  EXPECT_EQ(Read->Listen.Peer, (HostPort{"h", 9}));
  EXPECT_EQ(Read->Advertised, Read->Listen.Caller);
  EXPECT_EQ(Read->Limits, LimitSettings{});
}

// A value without a unit or out of range must be rejected, not interpreted.
TEST(Settings, RefusesEachBadField) {
  const std::vector<std::pair<std::string, std::string>> Cases{
      {"nmae: b", "extra:1: nmae: unknown field"},
      {"name: 'a b'", "extra:1: name: \"a b\" must be"},
      {"limits:\n  idle_timeout: 5", "extra:2: limits.idle_timeout: must be a "
                                     "duration from 10 ms to 600000 ms"},
      {"limits: {idle_timeout: 5 days}", "limits.idle_timeout"},
      {"limits: {idle_timeout: 1 ms}", "limits.idle_timeout"},
      {"limits: {max_body: 2 MiB}", "limits.max_body: must be a size"},
      {"limits: {max_active_requests: 0}", "whole number from 1 to 20000"},
      {"limits: {max_tickets: 1.5}", "limits.max_tickets"},
      {"limits: {default_deadline: 10 min}", "must not exceed"},
      {"limits: {colour: red}", "limits.colour: unknown field"},
      {"limits: [1]", "limits: must be a mapping"},
      {"lease: {margin: 4 s}", "must be below lease.length"},
      {"peers: {discovery: dns}", "must be platform or seeds"},
      {"peers: {discovery: seeds}", "peers.seeds: needed"},
      {"peers: {seeds: [h]}", "extra:1: peers.seeds[0]: \"h\" must be"},
      {"platform: nowhere", "platform: \"nowhere\" must be host:port"},
      {"platform: 'h:0'", "needs a port above 0"},
      {"listen: {caller: 5}", "listen.caller: must be text"}};
  for (const auto &[Extra, Part] : Cases)
    EXPECT_THAT(problemsWith(Extra), HasSubstr(Part)) << Extra;
  EXPECT_EQ(problemsWith("limits: {idle_timeout: 250ms}"), "none");
  EXPECT_THAT(capture([] {
                return parseSettings({{"f", ""}});
              }).Failure.Message,
              HasSubstr("f:1: name: missing"));
}

TEST(Settings, ExamplesAreValid) {
  const std::filesystem::path Dir =
      std::string(NUTMEGDRIFT_EXAMPLES) + "/settings";
  std::size_t Daemons = 0;
  for (const auto &File : std::filesystem::directory_iterator(Dir)) {
    const auto Path = File.path().string();
    const auto Fleet = File.path().filename().string().starts_with("morgenklub")
                           ? "morgenklub"
                           : "lone-star";
    const auto Common = (Dir / (std::string(Fleet) + "-common.yaml")).string();
    if (Path == Common)
      continue;
    ++Daemons;
    const auto Read = capture([&] { return loadSettings({Common, Path}); });
    EXPECT_TRUE(Read) << Read.Failure.Message;
  }
  EXPECT_EQ(Daemons, 16U);
}

} // namespace
} // namespace nutmegdrift::config
