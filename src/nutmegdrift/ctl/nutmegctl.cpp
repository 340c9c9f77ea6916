// The operator's command line.
#include "nutmegdrift/ctl/commands.h"
#include "nutmegdrift/platform/http_object_store.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int Count, char **Arguments) {
  using namespace nutmegdrift;
  const SystemClock Time;
  auto Rng = makeRandom();
  ctl::HttpAdminClient Admin;
  const char *User = std::getenv("USER");
  const ctl::Environment With{
      .Connect =
          [](const HostPort &Address) {
            return std::make_shared<platform::HttpObjectStore>(
                platform::HttpStoreOptions{.Address = Address});
          },
      .Admin = Admin,
      .Time = Time,
      .Rng = Rng,
      .Out = std::cout,
      .Problems = std::cerr,
      .Sleep = [](Duration Time) { std::this_thread::sleep_for(Time); },
      .User = User == nullptr ? "unknown" : User};
  return static_cast<int>(
      ctl::runCommand({Arguments + 1, Arguments + Count}, With));
}
