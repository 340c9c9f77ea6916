// Traffic patterns in which engines crash, with and without a prompt part as
// the cause.
#include "nutmegdrift/routing/part_crashes.h"

#include "nutmegdrift/base/random.h"

#include <gtest/gtest.h>

#include <set>

namespace nutmegdrift::routing {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Deadly = 7;
const std::set<std::set<std::uint64_t>> OnlyDeadly{{Deadly}};

/// Requests of one service, with a start a short time after each was sent.
struct Traffic {
  RequestKey send(std::vector<std::uint64_t> Shared, TimePoint At) {
    std::vector<PromptPart> Prompt;
    Prompt.reserve(Shared.size() + 1);
    for (const std::uint64_t Id : Shared)
      Prompt.push_back({.Id = Id, .Tokens = 10});
    Prompt.push_back({.Id = 1000000 + ++LastKey, .Tokens = 10});
    Evidence.sent(LastKey, Prompt);
    Sent[LastKey] = {std::move(Shared), At};
    return LastKey;
  }
  void serve(std::vector<std::uint64_t> Shared, TimePoint At) {
    const RequestKey Key = send(std::move(Shared), At);
    Evidence.started(Key, At);
    Evidence.ended(Key);
  }
  void crash(RequestKey Key, const ReplicaId &Replica, TimePoint At) {
    const auto &[Parts, SentAt] = Sent.at(Key);
    Evidence.ended(Key);
    Evidence.crashed(
        {.Key = Key, .Replica = Replica, .Parts = Parts, .SentAt = SentAt}, At);
    takeVerdicts();
  }
  void takeVerdicts() {
    for (const PartVerdict &Verdict : Evidence.takeVerdicts())
      Quarantined.insert({Verdict.Parts.begin(), Verdict.Parts.end()});
  }

  PartCrashes Evidence;
  std::set<std::set<std::uint64_t>> Quarantined;
  std::map<RequestKey, std::pair<std::vector<std::uint64_t>, TimePoint>> Sent;
  RequestKey LastKey = 0;
};

TEST(PartCrashes, APartWithThreeCrashesAndNoStartIsQuarantined) {
  Traffic Seen;
  for (int I = 0; I < 3; ++I) {
    const TimePoint Now = Start + I * 1s;
    for (int J = 0; J < 10; ++J)
      Seen.serve({Common, 8}, Now);
    const RequestKey Key = Seen.send({Common, Deadly}, Now + 10ms);
    Seen.crash(Key, "r" + std::to_string(I), Now + 400ms);
  }
  EXPECT_EQ(Seen.Quarantined, OnlyDeadly);
}

// A replica may send the head or the first event before it crashes.
TEST(PartCrashes, AStartJustBeforeTheCrashIsNoProof) {
  Traffic Seen;
  for (int I = 0; I < 3; ++I) {
    const TimePoint Now = Start + I * 1s;
    for (int J = 0; J < 10; ++J)
      Seen.serve({Common}, Now);
    const RequestKey Key = Seen.send({Common, Deadly}, Now + 10ms);
    Seen.Evidence.started(Key, Now + 300ms);
    Seen.crash(Key, "r", Now + 340ms);
  }
  EXPECT_EQ(Seen.Quarantined, OnlyDeadly);
}

// A large fleet, where requests with the deadly part crash 17 engines a second
// and each takes sound requests with the first part, of the same workspace and
// of rare parts with it.
TEST(PartCrashes, SoundPartsAreNotQuarantinedWhenManyEnginesCrash) {
  Traffic Seen;
  Random Rng(20261204);
  const auto Rare = [&] { return 100 + Rng() % 300; };
  for (int Millis = 0; Millis < 20000; Millis += 4) {
    const TimePoint Now = Start + std::chrono::milliseconds(Millis);
    Seen.serve({Common, Rare()}, Now);
    if (Millis % 60 != 0)
      continue;
    std::vector<RequestKey> Lost{Seen.send({Common, Deadly}, Now - 100ms)};
    Lost.reserve(5);
    for (int I = 0; I < 4; ++I)
      Lost.push_back(Seen.send({Common, Rare()}, Now - 100ms));
    for (const RequestKey Key : Lost)
      Seen.crash(Key, "r" + std::to_string(Millis), Now);
  }
  EXPECT_EQ(Seen.Quarantined, OnlyDeadly);
}

// All requests with the deadly part also have part 9, which sound ones share.
TEST(PartCrashes, ASoundPartThatAlwaysComesWithTheDeadlyOneIsNotQuarantined) {
  Traffic Seen;
  for (int I = 0; I < 3; ++I) {
    const TimePoint Now = Start + I * 1s;
    for (int J = 0; J < 10; ++J)
      Seen.serve({Common}, Now);
    const RequestKey Key = Seen.send({Common, 9, Deadly}, Now + 10ms);
    Seen.crash(Key, "r", Now + 340ms);
  }
  const std::set<std::set<std::uint64_t>> Both{{9, Deadly}};
  EXPECT_EQ(Seen.Quarantined, Both);
  Seen.Quarantined.clear();
  Seen.serve({Common, 9}, Start + 3s);
  Seen.serve({Common}, Start + 4s);
  Seen.takeVerdicts();
  EXPECT_EQ(Seen.Quarantined, OnlyDeadly);
}

TEST(PartCrashes, SeveralDeadlyPartsAreQuarantinedAtOnce) {
  Traffic Seen;
  const std::set<std::set<std::uint64_t>> All{{7}, {8}, {9}};
  for (int I = 0; I < 4; ++I)
    for (const std::uint64_t Part : {7U, 8U, 9U}) {
      const TimePoint Now = Start + I * 1s + Part * 20ms;
      for (int J = 0; J < 10; ++J)
        Seen.serve({Common, 50}, Now);
      Seen.crash(Seen.send({Common, Part}, Now + 1ms), "r", Now + 100ms);
    }
  EXPECT_EQ(Seen.Quarantined, All);
}

// Many replicas lose power at the same moment, with requests of each part.
TEST(PartCrashes, OneFailureOfManyReplicasCountsOnce) {
  Traffic Seen;
  for (int J = 0; J < 50; ++J)
    Seen.serve({Common, 8}, Start);
  std::vector<RequestKey> Lost;
  Lost.reserve(12);
  for (int I = 0; I < 12; ++I)
    Lost.push_back(Seen.send({Common, 9}, Start + I * 1ms));
  for (int J = 0; J < 50; ++J)
    Seen.serve({8}, Start + 300ms);
  for (std::size_t I = 0; I < Lost.size(); ++I)
    Seen.crash(Lost[I], "r" + std::to_string(I), Start + 300ms + I * 100ms);
  EXPECT_TRUE(Seen.Quarantined.empty());
}

// If all requests of a service fail, no part of them is the cause.
TEST(PartCrashes, AServiceThatFailsAsAWholeQuarantinesNothing) {
  Traffic Seen;
  for (int I = 0; I < 30; ++I) {
    const TimePoint Now = Start + I * 500ms;
    const RequestKey Key = Seen.send({Common, 10U + I % 2U}, Now);
    Seen.crash(Key, "r", Now + 100ms);
  }
  EXPECT_TRUE(Seen.Quarantined.empty());
}

TEST(PartCrashes, OldCrashesExpire) {
  Traffic Seen;
  for (int I = 0; I < 6; ++I) {
    const TimePoint Now = Start + I * (PartCrashes::EvidenceRetention * 2 / 3);
    for (int J = 0; J < 20; ++J)
      Seen.serve({Common}, Now);
    Seen.crash(Seen.send({Common, 9}, Now), "r", Now + 100ms);
  }
  EXPECT_TRUE(Seen.Quarantined.empty());
}

} // namespace
} // namespace nutmegdrift::routing
