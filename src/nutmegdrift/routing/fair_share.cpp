// Virtual time and credit of start-time fair queueing.
#include "nutmegdrift/routing/fair_share.h"

#include <algorithm>
#include <cmath>

namespace nutmegdrift::routing {

void FairShare::update(std::size_t Competing, TimePoint Now) {
  using Seconds = std::chrono::duration<double>;
  if (m_updatedAt != TimePoint{})
    m_recentTokens *=
        std::exp(-Seconds(Now - m_updatedAt) / Seconds(RateWindow));
  m_updatedAt = Now;
  const double TokensPerSecond = m_recentTokens / Seconds(RateWindow).count();
  m_credit = TokensPerSecond * Seconds(CreditTime).count() /
             static_cast<double>(std::max<std::size_t>(Competing, 1));
}

void FairShare::serve(ShareAccount &Account, double Tokens) {
  const double Start = nextStart(Account);
  m_virtualTime = std::max(m_virtualTime, Start);
  Account.NextStart = Start + Tokens;
  m_recentTokens += Tokens;
}

double FairShare::nextStart(const ShareAccount &Account) const {
  return std::max(Account.NextStart, m_virtualTime - m_credit);
}

bool FairShare::isUnderserved(const ShareAccount &Account,
                              TimePoint Now) const {
  return isUnmet(Account, Now) && surplus(Account) < -UnderservedLag * m_credit;
}

} // namespace nutmegdrift::routing
