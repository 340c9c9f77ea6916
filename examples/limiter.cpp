// A fresh replica that bears 8 starts with one request at a time; the limit
// rises while its slots are used and first tokens arrive in time, up to 8.
#include "nutmegdrift/policy/limiter.h"

#include <iostream>

int main() {
  using namespace nutmegdrift;
  constexpr std::size_t Bears = 8;
  policy::Limiter Limit(Bears);
  ManualClock Clk;
  const auto Fresh = Limit.limit();
  constexpr std::chrono::milliseconds FirstToken{30};
  for (int Round = 0; Round < 20; ++Round) {
    const auto Slots = Limit.free();
    for (std::size_t I = 0; I < Slots; ++I)
      Limit.onStart();
    Clk.advance(FirstToken);
    for (std::size_t I = 0; I < Slots; ++I)
      Limit.onFirstToken(FirstToken, Clk.now());
    for (std::size_t I = 0; I < Slots; ++I)
      Limit.onFinish(policy::Outcome::Completed, Clk.now());
  }
  std::cout << "fresh " << Fresh << ", warm " << Limit.limit() << "\n";
  return Fresh == 1 && Limit.limit() == Bears ? 0 : 1;
}
