// Tests the documents: round trips, all errors with their locations, and the
// example lists.
#include "nutmegdrift/config/documents.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace nutmegdrift::config {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

constexpr auto Examples = NUTMEGDRIFT_EXAMPLES;

const Target Letters{Target::Kind::Model, "letters"};

ConfigDocument sampleDocument() {
  return {
      .Config = {.Version = 7,
                 .Plans = {{"school", 2.5, 10}},
                 .Workspaces = {{"odense", "school"}},
                 .AccessRules = {{"school", {Letters}}},
                 .Zones = {{"cph1", true}},
                 .Versions = {{Letters, "v2", std::chrono::hours(2), true}}},
      .LastChange = {"kim", "zone cph1 out", 5, UINT64_MAX}};
}

std::string
problemsIn(const std::vector<NamedText> &Files,
           const std::optional<std::vector<Target>> &KnownTargets = {}) {
  const auto Failure =
      errorOf([&] { return parseOperatorFiles(Files, KnownTargets); });
  if (!Failure)
    return "none";
  EXPECT_EQ(Failure->Kind, ErrorKind::InvalidDocument);
  return Failure->Message;
}

TEST(Documents, RoundTrip) {
  const auto Value = sampleDocument();
  const auto Text = printConfigDocument(Value);
  const auto Read = capture([&] { return parseConfigDocument(Text, 7); });
  ASSERT_TRUE(Read) << Read.Failure.Message;
  EXPECT_EQ(*Read, Value);
  const Replica Endpoint{
      "e1", Letters, {"10.0.0.1", 80}, "cph1", "v1", 4, true, false, true};
  const auto Parsed =
      capture([&] { return parseReplica("e1", printReplica(Endpoint)); });
  ASSERT_TRUE(Parsed) << Parsed.Failure.Message;
  EXPECT_EQ(*Parsed, Endpoint);
}

// Malformed objects must result in an error, not an exception or a default
// value.
TEST(Documents, RefusesMalformedJson) {
  for (const auto *Text :
       {"", "[]", "{", "{\"plans\":3}", "{\"plans\":[3]}", "{\"extra\":1}",
        R"({"plans":[{"name":"a","weight":"2"}]})",
        R"({"plans":[{"name":"a","max_queued":-1}]})",
        R"({"versions":[{"target":"x","version":"v"}]})",
        R"({"workspaces":[{"name":"w","plan":"none"}]})",
        R"({"zones":[{"name":"z"},{"name":"z"}]})"})
    EXPECT_TRUE(errorOf([&] { return parseFleetConfig(Text, 1); })) << Text;
  for (const auto *Text :
       {"{}", R"({"target":"model:m","address":"nowhere","zone":"z"})",
        R"({"target":"model:m","address":"h:1","zone":"z","bears":0})"})
    EXPECT_TRUE(errorOf([&] { return parseReplica("e", Text); })) << Text;
  const auto Malformed =
      capture([] { return parseFleetConfig("{\n\n x}", 1); });
  EXPECT_THAT(Malformed.Failure.Message, HasSubstr("config:3: not JSON"));
}

// An operator must be able to find the faulty field by the message alone.
TEST(OperatorFiles, NamesFileLineAndField) {
  const NamedText Plans{"p.yaml", "plans:\n"
                                  "  - name: a\n"
                                  "    weight: 0\n"
                                  "    workspaces: [w]\n"
                                  "  - name: a\n"
                                  "    wieght: 1\n"
                                  "    workspaces:\n"
                                  "      - w\n"
                                  "      - 17\n"};
  const NamedText Access{"a.yaml", "access:\n"
                                   "  - plan: b\n"
                                   "    targets: [model:x, letters]\n"};
  const auto Text = problemsIn({Plans, Access}, std::vector<Target>{Letters});
  for (const auto *Part :
       {"p.yaml:3: plans[0].weight: must be above 0",
        "p.yaml:5: plans[1]: duplicate plan \"a\", first in p.yaml:2",
        "p.yaml:6: plans[1].wieght: unknown field",
        "p.yaml:8: plans[1].workspaces[0]: duplicate workspace \"w\"",
        "p.yaml:9: plans[1].workspaces[1]: must be text",
        "a.yaml:2: access[0].plan: unknown plan \"b\"",
        "a.yaml:3: access[0].targets[0]: unknown target \"model:x\"",
        "a.yaml:3: access[0].targets[1]: \"letters\" must be"})
    EXPECT_THAT(Text, HasSubstr(Part));
}

TEST(OperatorFiles, RefusesBadYaml) {
  EXPECT_THAT(problemsIn({{"f", "plans:\n  - name: [a\n"}}),
              HasSubstr("not YAML"));
  EXPECT_THAT(problemsIn({{"f", "plans: []\nplans: []\n"}}),
              HasSubstr("f:2: plans: field is given twice"));
  EXPECT_THAT(problemsIn({{"f", "- a\n"}}), HasSubstr("must be a mapping"));
}

// Nested aliases double the size with every level; parsing must be bounded.
TEST(OperatorFiles, BoundsExpansionOfAliases) {
  std::string Text = "a0: &a0 [x, x]\n";
  for (int I = 1; I < 28; ++I) {
    const auto Name = "a" + std::to_string(I);
    const auto Inner = "*a" + std::to_string(I - 1);
    for (const auto &Part :
         {Name, std::string(": &"), Name, std::string(" ["), Inner,
          std::string(", "), Inner, std::string("]\n")})
      Text += Part;
  }
  EXPECT_THAT(problemsIn({{"f", Text}}), HasSubstr("too many"));
}

TEST(OperatorFiles, ExamplesAreValid) {
  for (const std::string Fleet : {"morgenklub", "lone-star"}) {
    std::vector<NamedText> Files;
    for (const auto *Part : {"-plans.yaml", "-access.yaml"}) {
      const auto File = capture([&] {
        return readFile(std::string(Examples) + "/lists/" + Fleet + Part);
      });
      ASSERT_TRUE(File) << File.Failure.Message;
      Files.push_back(*File);
    }
    EXPECT_EQ(problemsIn(Files), "none");
  }
}

TEST(Changes, AreDescribed) {
  const auto Before = sampleDocument().Config;
  auto After = Before;
  After.Plans[0].Weight = 3;
  After.Zones[0].Evacuated = false;
  After.Workspaces.clear();
  EXPECT_THAT(describeChanges(Before, After),
              ElementsAre("workspace odense removed",
                          "plan school weight: 2.5 -> 3.0",
                          "zone cph1: out -> in"));
  EXPECT_TRUE(describeChanges(Before, Before).empty());
}

} // namespace
} // namespace nutmegdrift::config
