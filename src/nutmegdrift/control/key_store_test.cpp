// Tests of at-most-once execution by idempotency key: concurrent daemons, lost
// write answers, delayed writes and outages must never grant a key twice.
#include "nutmegdrift/control/key_store.h"

#include "nutmegdrift/platform/memory_object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <set>
#include <thread>

namespace nutmegdrift::control {
namespace {

using platform::ObjectVersion;

std::optional<ErrorKind> claimFailure(KeyStore &Keys, const std::string &Key) {
  const auto Failure = errorOf([&] { return Keys.claim("w", Key); });
  return Failure ? std::optional(Failure->Kind) : std::nullopt;
}

/// A store that can lose the answer before or after the write, delay the write,
/// or run a write of another daemon first.
class FaultyStore final : public platform::ObjectStore {
public:
  enum class Fault { None, LostBefore, LostAfter, Late, Race, Down, Count };

  platform::MemoryObjectStore Inner;
  std::function<Fault()> NextFault = [] { return Fault::None; };
  std::function<void()> OnRace = [] {};

  Result<platform::Object> get(const std::string &Name) override {
    applyLate();
    return Inner.get(Name);
  }
  Result<platform::Listing> list(const std::string &Prefix) override {
    return Inner.list(Prefix);
  }
  Result<ObjectVersion> put(const std::string &Name, const std::string &Text,
                            ObjectVersion Expected) override {
    switch (NextFault()) {
    case Fault::Down:
      return fail(ErrorKind::PlatformUnavailable, "down");
    case Fault::LostBefore:
      return fail(ErrorKind::PlatformOutcomeUnknown, "lost before");
    case Fault::LostAfter:
      (void)errorOf([&] { return Inner.put(Name, Text, Expected); });
      return fail(ErrorKind::PlatformOutcomeUnknown, "lost after");
    case Fault::Late:
      m_late.push_back([=, this] { return Inner.put(Name, Text, Expected); });
      return fail(ErrorKind::PlatformOutcomeUnknown, "late");
    case Fault::Race:
      OnRace();
      break;
    default:
      break;
    }
    return Inner.put(Name, Text, Expected);
  }
  Result<void> remove(const std::string &Name,
                      ObjectVersion Expected) override {
    return Inner.remove(Name, Expected);
  }
  Result<platform::Changes> watch(const std::string &Prefix,
                                  ObjectVersion After,
                                  std::chrono::milliseconds Wait) override {
    return Inner.watch(Prefix, After, Wait);
  }
  /// Applies the delayed writes on every third read.
  void applyLate() {
    if (++m_reads % 3 != 0)
      return;
    for (const auto &Write : std::exchange(m_late, {}))
      (void)errorOf(Write);
  }

private:
  std::vector<std::function<Result<ObjectVersion>()>> m_late;
  int m_reads = 0;
};

TEST(KeyStore, SecondClaimHasUnknownOutcome) {
  platform::MemoryObjectStore Store;
  const ManualClock Clk;
  KeyStore First(Store, Clk, 1);
  KeyStore Other(Store, Clk, 2);
  EXPECT_EQ(claimFailure(First, "k"), std::nullopt);
  EXPECT_EQ(claimFailure(First, "k"), ErrorKind::KeyOutcomeUnknown);
  EXPECT_EQ(claimFailure(Other, "k"), ErrorKind::KeyOutcomeUnknown);
}

// A claim must succeed if its write took effect although the answer was lost.
TEST(KeyStore, LostAnswerIsResolvedByNonce) {
  platform::MemoryObjectStore Store;
  const ManualClock Clk;
  KeyStore Keys(Store, Clk, 1);
  Store.setFaults({.LoseWriteAnswer = true});
  EXPECT_EQ(claimFailure(Keys, "k"), std::nullopt);
  Store.setFaults({});
  EXPECT_EQ(claimFailure(Keys, "k"), ErrorKind::KeyOutcomeUnknown);
}

TEST(KeyStore, OutageRefuses) {
  platform::MemoryObjectStore Store;
  const ManualClock Clk;
  KeyStore Keys(Store, Clk, 1);
  Store.setFaults({.Down = true});
  EXPECT_EQ(claimFailure(Keys, "k"), ErrorKind::KeyStoreUnavailable);
  Store.setFaults({});
  EXPECT_EQ(claimFailure(Keys, "k"), std::nullopt);
}

TEST(KeyStore, StaleReadsNeverGiveAKeyTwice) {
  platform::MemoryObjectStore Store;
  const ManualClock Clk;
  KeyStore First(Store, Clk, 1);
  EXPECT_EQ(claimFailure(First, "k"), std::nullopt);
  Store.setFaults({.StaleReads = true});
  KeyStore Other(Store, Clk, 2);
  EXPECT_NE(claimFailure(Other, "k"), std::nullopt);
}

// Guards against shards that reach the platform's size limit because records
// never expire.
TEST(KeyStore, ExpiresAndBoundsShards) {
  platform::MemoryObjectStore Store;
  ManualClock Clk;
  KeyStore Keys(Store, Clk, 1, {.MaxShardBytes = 100});
  std::string Key;
  for (int I = 0; claimFailure(Keys, Key = std::to_string(I)) == std::nullopt;
       ++I)
    ASSERT_LT(I, 1000);
  EXPECT_EQ(claimFailure(Keys, Key), ErrorKind::KeyStoreUnavailable);
  Clk.advance(std::chrono::hours(25));
  EXPECT_EQ(claimFailure(Keys, Key), std::nullopt);
}

TEST(KeyStore, MalformedShardRefuses) {
  platform::MemoryObjectStore Store;
  const ManualClock Clk;
  KeyStore Keys(Store, Clk, 1);
  for (std::size_t I = 0; I < KeyShardCount; ++I)
    ASSERT_TRUE(Store.put("keys/" + std::to_string(I), "{\"keys\":[", 0));
  EXPECT_EQ(claimFailure(Keys, "k"), ErrorKind::KeyStoreUnavailable);
}

// Concurrent daemons claim the same keys, with many claims waiting per shard.
TEST(KeyStore, ThreadsOfRacingDaemonsGetEachKeyOnce) {
  constexpr int DaemonCount = 4;
  constexpr int ThreadCount = 16;
  constexpr int KeyCount = 100;
  platform::MemoryObjectStore Store;
  const ManualClock Clk;
  std::vector<std::unique_ptr<KeyStore>> Daemons;
  Daemons.reserve(DaemonCount);
  for (int I = 0; I < DaemonCount; ++I)
    Daemons.push_back(std::make_unique<KeyStore>(
        Store, Clk, I + 1, KeyStoreOptions{.MaxAttempts = 1000}));
  std::vector<std::atomic<int>> Granted(KeyCount);
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([&, I] {
      for (int K = 0; K < KeyCount; ++K)
        if (!claimFailure(*Daemons[I % DaemonCount], std::to_string(K)))
          ++Granted[K];
    });
  for (auto &Thread : Threads)
    Thread.join();
  for (const auto &Count : Granted)
    EXPECT_EQ(Count, 1);
}

// Counts dispatches by key over daemons that race, restart without state, and
// encounter every fault of the store.
TEST(KeyFuzz, NoKeyIsDispatchedTwice) {
  std::size_t Total = 0;
  using Fault = FaultyStore::Fault;
  EXPECT_TRUE(rc::check("no key is dispatched twice", [&] {
    FaultyStore Store;
    const ManualClock Clk;
    BootId NextBoot = 1;
    std::vector<std::unique_ptr<KeyStore>> Daemons(3);
    for (auto &Keys : Daemons)
      Keys = std::make_unique<KeyStore>(Store, Clk, NextBoot++);
    std::map<std::string, int> Runs;
    const auto Faults = *rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(0, static_cast<int>(Fault::Count))));
    const auto Picks = *rc::gen::resize(
        rc::kNominalSize, rc::gen::container<std::vector<std::size_t>>(
                              200, rc::gen::inRange<std::size_t>(0, 1000)));
    std::size_t Step = 0;
    const auto Claim = [&](std::size_t Daemon, std::size_t Pick) {
      const auto Key = std::to_string(Pick % 25);
      if (!claimFailure(*Daemons[Daemon], Key))
        ++Runs[Key];
    };
    std::size_t FaultStep = 0;
    Store.NextFault = [&] {
      return static_cast<Fault>(Faults[FaultStep++ % Faults.size()]);
    };
    // The racing daemon must not be one that runs a claim at this time.
    Store.OnRace = [&] {
      const auto SavedFault =
          std::exchange(Store.NextFault, [] { return Fault::None; });
      Claim(2, Picks[Step]);
      Store.NextFault = SavedFault;
    };
    for (; Step < Picks.size(); ++Step) {
      const auto Daemon = Picks[Step] % 2;
      if (Picks[Step] % 16 == 0)
        Daemons[Daemon] = std::make_unique<KeyStore>(Store, Clk, NextBoot++);
      Claim(Daemon, Picks[Step]);
    }
    for (const auto &[Key, Count] : Runs)
      RC_ASSERT(Count <= 1);
    Total += Runs.size();
  }));
  // Without dispatches the property would also hold for a store that is down.
  EXPECT_GT(Total, 1000U);
}

} // namespace
} // namespace nutmegdrift::control
