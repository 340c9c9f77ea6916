// Order in which connections give way.
#include "nutmegdrift/net/connection_limit.h"

#include <algorithm>
#include <tuple>

namespace nutmegdrift::net {

std::vector<std::size_t>
chooseConnectionsToClose(const std::vector<ConnectionState> &States,
                         std::size_t Count) {
  std::vector<std::size_t> Chosen;
  for (std::size_t I = 0; I < States.size(); ++I)
    if (States[I].Use != ConnectionUse::Busy)
      Chosen.push_back(I);
  const auto End = Chosen.begin() +
                   static_cast<std::ptrdiff_t>(std::min(Count, Chosen.size()));
  std::partial_sort(Chosen.begin(), End, Chosen.end(),
                    [&](std::size_t A, std::size_t B) {
                      return std::tie(States[A].Use, States[A].Since) <
                             std::tie(States[B].Use, States[B].Since);
                    });
  Chosen.erase(End, Chosen.end());
  return Chosen;
}

} // namespace nutmegdrift::net
