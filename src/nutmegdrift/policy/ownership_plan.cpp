#include "nutmegdrift/policy/ownership_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace nutmegdrift::policy {

double rendezvousScore(const DaemonName &Name, const std::string &Key,
                       double Weight) {
  // A double holds 53 bits exactly; 0.5 keeps the value strictly between 0 and
  // 1.
  constexpr int MantissaBits = 53;
  const auto Bits = hashText(Name, hashText(Key)) >> (64 - MantissaBits);
  const double Unit =
      (static_cast<double>(Bits) + 0.5) / std::ldexp(1.0, MantissaBits);
  return -Weight / std::log(Unit);
}

std::vector<DaemonName> rankDaemons(const std::string &ReplicaId,
                                    const std::string &Zone,
                                    const std::vector<PlanMember> &Members) {
  std::vector<std::tuple<bool, double, DaemonName>> Scored;
  Scored.reserve(Members.size());
  for (const auto &Member : Members)
    Scored.emplace_back(Member.Zone == Zone,
                        rendezvousScore(Member.Name, ReplicaId, Member.Weight),
                        Member.Name);
  std::sort(Scored.rbegin(), Scored.rend());
  std::vector<DaemonName> Out;
  Out.reserve(Scored.size());
  for (auto &Item : Scored)
    Out.push_back(std::move(std::get<2>(Item)));
  return Out;
}

DaemonName lowestRanked(const std::string &Key,
                        const std::vector<DaemonName> &Members) {
  const auto Lowest = std::min_element(
      Members.begin(), Members.end(), [&](const auto &A, const auto &B) {
        return std::tuple(hashText(A, hashText(Key)), A) <
               std::tuple(hashText(B, hashText(Key)), B);
      });
  return Lowest == Members.end() ? DaemonName() : *Lowest;
}

std::vector<DaemonName> cellMembers(const DaemonName &Self,
                                    std::vector<DaemonName> Members) {
  std::sort(Members.begin(), Members.end(), [](const auto &A, const auto &B) {
    return std::tuple(hashText(A), A) < std::tuple(hashText(B), B);
  });
  const auto Size = Members.size();
  const auto Cells = (Size + MaxCellSize - 1) / MaxCellSize;
  for (std::size_t Cell = 0; Cell < Cells; ++Cell) {
    const auto Begin =
        Members.begin() + static_cast<std::ptrdiff_t>(Size * Cell / Cells);
    const auto End = Members.begin() +
                     static_cast<std::ptrdiff_t>(Size * (Cell + 1) / Cells);
    if (std::find(Begin, End, Self) != End)
      return {Begin, End};
  }
  return {};
}

} // namespace nutmegdrift::policy
