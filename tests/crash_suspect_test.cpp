// A request that crashes every endpoint that runs it (P10), resent by its
// caller through several daemons.
#include "support/loopback_fleet.h"

#include <gtest/gtest.h>

namespace nutmegdrift::testing {
namespace {

const Target Model{Target::Kind::Model, "small"};
constexpr std::size_t Daemons = 3;
constexpr std::size_t Engines = 5;
/// The bound that the promise states.
constexpr int MaxEndpointsLost = 2;
constexpr int Resends = 9;
constexpr auto Poison = "poison-prompt";

class CrashSuspect : public ::testing::Test {
protected:
  CrashSuspect() {
    for (std::size_t I = 1; I <= Engines; ++I)
      m_fleet.addEndpoint({.Id = "e" + std::to_string(I), .What = Model});
    for (std::size_t I = 1; I <= Daemons; ++I)
      m_fleet.addDaemon("d" + std::to_string(I), "z" + std::to_string(I));
  }

  void SetUp() override {
    ASSERT_TRUE(m_fleet.waitForOwners());
    // Long enough that a fallen engine stays down through the test's sends.
    for (std::size_t I = 0; I < Engines; ++I)
      LoopbackFleet::faults(m_fleet.endpoint(I),
                            {{"crash_on", Poison}, {"down_ms", 3000}});
  }

  /// Crashes of all engines, once all are back.
  int falls() {
    int Out = 0;
    for (std::size_t I = 0; I < Engines; ++I) {
      nlohmann::json Runs;
      EXPECT_TRUE(eventually(20, [&] {
        Runs = LoopbackFleet::runs(m_fleet.endpoint(I));
        return Runs.is_object();
      }));
      Out += Runs.value("falls", 0);
    }
    return Out;
  }
  HttpAnswer send(std::size_t Through) {
    return complete(m_fleet.daemon(Through % Daemons), "beta", 3, Poison);
  }
  static std::string errorOf(const HttpAnswer &Answer) {
    const auto Body = Answer.json();
    return Body.is_object() ? Body.value("error", "") : "";
  }

  LoopbackFleet m_fleet;
};

// Resends through all daemons must lose at most two endpoints and then be
// refused, while other requests are answered.
TEST_F(CrashSuspect, ResendsLoseAtMostTwoEndpoints) {
  HttpAnswer Last;
  for (int I = 0; I < Resends; ++I) {
    Last = send(static_cast<std::size_t>(I));
    EXPECT_NE(Last.Status, 200);
    HttpAnswer Healthy;
    EXPECT_TRUE(eventually(10, [&] {
      Healthy = complete(m_fleet.daemon(static_cast<std::size_t>(I) % Daemons),
                         "alpha", 3);
      return Healthy.Status == 200;
    })) << Healthy.Body;
  }
  for (std::size_t I = 0; I < Daemons; ++I) {
    Last = send(I);
    EXPECT_EQ(errorOf(Last), "suspected-crash") << Last.Body;
    EXPECT_EQ(Last.json().value("state", ""), "not-run");
    EXPECT_TRUE(Last.Headers.contains("Retry-After"));
  }
  const auto Lost = falls();
  EXPECT_GE(Lost, 1);
  EXPECT_LE(Lost, MaxEndpointsLost);
}

// An ending process drops its connections before its listening socket closes.
// A connection that is accepted meanwhile must not hide the crash, or the
// request goes on to crash more endpoints.
TEST_F(CrashSuspect, CrashCountsThoughThePortStillAccepts) {
  for (std::size_t I = 0; I < Engines; ++I)
    LoopbackFleet::faults(m_fleet.endpoint(I), {{"accept_lag_ms", 500}});
  for (int I = 0; I < Resends; ++I)
    EXPECT_NE(send(static_cast<std::size_t>(I)).Status, 200);
  EXPECT_EQ(errorOf(send(0)), "suspected-crash");
  const auto Lost = falls();
  EXPECT_GE(Lost, 1);
  EXPECT_LE(Lost, MaxEndpointsLost);
}

// The daemon's own retries count like the caller's resends: with a full retry
// budget one send must not go through all engines.
TEST_F(CrashSuspect, RetriesOfOneSendLoseAtMostTwoEndpoints) {
  constexpr int FirstTries = 40;
  for (int I = 0; I < FirstTries; ++I)
    for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon)
      ASSERT_EQ(complete(m_fleet.daemon(Daemon), "alpha", 1).Status, 200);
  for (std::size_t I = 0; I < Daemons; ++I)
    EXPECT_NE(send(I).Status, 200);
  const auto Lost = falls();
  EXPECT_GE(Lost, 1);
  EXPECT_LE(Lost, MaxEndpointsLost);
}

} // namespace
} // namespace nutmegdrift::testing
