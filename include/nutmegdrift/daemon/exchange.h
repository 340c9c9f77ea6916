// Exchanges service counters and slot offers with other owners.
#ifndef NUTMEGDRIFT_DAEMON_EXCHANGE_H
#define NUTMEGDRIFT_DAEMON_EXCHANGE_H

#include "nutmegdrift/daemon/directory.h"
#include "nutmegdrift/peer/peer_network.h"
#include "nutmegdrift/proxy/admission.h"

#include <map>
#include <mutex>
#include <set>

namespace nutmegdrift::daemon {

/// tick() is called every 500 ms. Thread-safe.
class Exchange {
public:
  static constexpr std::chrono::milliseconds Interval{500};

  Exchange(peer::PeerNetwork &Network, proxy::Admission &Slots,
           Directory &Known);

  /// Sends the changed counters of each target to the other owners.
  void tick();
  /// Sends the changed counters of one target to these owners now.
  void tell(const Target &What, const std::vector<DaemonName> &Peers);
  void onCounters(const peer::PeerOrigin &From, const wire::Counters &Message);
  void onOffer(const DaemonName &From, const wire::SlotOffer &Message);

  void sendOffer(const Target &What, const policy::SlotOffer &Offer);
  void declineOffer(const DaemonName &To, const Target &What,
                    policy::OfferId Offer);

private:
  /// Workspaces that a peer numbers in its entries, within its boot.
  struct PeerNames {
    BootId Boot = 0;
    std::map<std::uint32_t, std::string> ByNumber;
  };
  /// What one owner has been sent of one target.
  struct Sent {
    std::uint64_t Cursor = 0;
    /// A new connection starts over, because what was sent over an earlier one
    /// may be lost.
    peer::ConnectionId Connection = 0;
    std::set<std::uint32_t> Named;
    bool Free = false; ///< The last message reported free slots.
  };
  void sendChanges(const Target &What, const DaemonName &To,
                   policy::SpareSlots Spare);
  [[nodiscard]] wire::Counters
  message(const Target &What, const Sent &Before, policy::SpareSlots Spare,
          const std::vector<policy::CounterEntry> &Entries);
  [[nodiscard]] std::vector<policy::CounterEntry>
  resolve(const peer::PeerOrigin &From, const wire::Counters &Message);
  void noteBacklog(const DaemonName &From, const Target &What,
                   const std::vector<policy::CounterEntry> &Entries);

  peer::PeerNetwork &m_network;
  proxy::Admission &m_slots;
  Directory &m_directory;
  std::mutex m_sendMutex; ///< Guards the next two; taken before others.
  std::map<std::pair<Target, DaemonName>, Sent> m_sent;
  std::map<std::string, std::uint32_t> m_numbers; ///< Own, by workspace.
  std::mutex m_mutex; ///< Guards m_names and m_backlogs.
  std::map<DaemonName, PeerNames> m_names;
  std::map<std::pair<Target, DaemonName>, std::map<std::string, std::uint64_t>>
      m_backlogs;
};

} // namespace nutmegdrift::daemon

#endif
