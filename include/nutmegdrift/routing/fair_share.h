// Start-time fair queueing of workspaces: orders them by the service that they
// received, in a virtual time that advances with the service of all.
#ifndef NUTMEGDRIFT_ROUTING_FAIR_SHARE_H
#define NUTMEGDRIFT_ROUTING_FAIR_SHARE_H

#include "nutmegdrift/base/clock.h"

#include <cstddef>

namespace nutmegdrift::routing {

/// The account of one workspace with a FairShare.
struct ShareAccount {
  /// Virtual time at which the workspace's next request starts, in tokens.
  double NextStart = 0.0;
  /// When a request of the workspace was last refused or placed too late.
  TimePoint LastUnmet{};

  friend bool operator==(const ShareAccount &, const ShareAccount &) = default;
};

/// Compares workspaces by the tokens they were served. The virtual time is the
/// latest start among the requests served so far; a workspace can't fall behind
/// it by more than the credit, so nobody saves up service, and service without
/// competition is not held against a workspace later. The credit is a bounded
/// time of what a workspace can get now: if capacity drops, differences that
/// were built up before it shrink with it. Not thread-safe.
class FairShare {
public:
  /// Time of an equal share of the service that a workspace may be behind.
  static constexpr Duration CreditTime = std::chrono::seconds(2);
  /// Time constant of the measured rate of service.
  static constexpr Duration RateWindow = std::chrono::seconds(1);
  /// A workspace competes for this long after a request was not served in time.
  static constexpr Duration UnmetTime = std::chrono::seconds(1);
  /// Share of the credit by which an underserved workspace is behind.
  static constexpr double UnderservedLag = 0.5;

  /// To be called at regular intervals. Competing: workspaces with requests
  /// that wait or were not served in time.
  void update(std::size_t Competing, TimePoint Now);
  /// Charges a request to its workspace.
  void serve(ShareAccount &Account, double Tokens);

  /// Virtual start of the next request; the smallest goes first.
  [[nodiscard]] double nextStart(const ShareAccount &Account) const;
  /// Largest lag of a workspace behind the virtual time, in tokens.
  [[nodiscard]] double credit() const { return m_credit; }
  /// Service by which a workspace is ahead of the virtual time, in tokens;
  /// negative: behind.
  [[nodiscard]] double surplus(const ShareAccount &Account) const {
    return nextStart(Account) - m_virtualTime;
  }
  /// Whether requests of the workspace were recently refused or late although
  /// it is behind.
  [[nodiscard]] bool isUnderserved(const ShareAccount &Account,
                                   TimePoint Now) const;
  [[nodiscard]] static bool isUnmet(const ShareAccount &Account,
                                    TimePoint Now) {
    return Account.LastUnmet != TimePoint{} &&
           Now - Account.LastUnmet < UnmetTime;
  }

private:
  double m_virtualTime = 0.0;
  double m_recentTokens = 0.0; ///< Decaying sum; RateWindow is the constant.
  double m_credit = 0.0;
  TimePoint m_updatedAt{};
};

} // namespace nutmegdrift::routing

#endif
