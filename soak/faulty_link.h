// A loopback proxy that shows the faults of a network to the connections that
// it carries.
#ifndef NUTMEGDRIFT_SOAK_FAULTY_LINK_H
#define NUTMEGDRIFT_SOAK_FAULTY_LINK_H

#include "nutmegdrift/net/byte_stream.h"

#include <set>
#include <vector>

namespace nutmegdrift::soak {

/// What a link does to the bytes that it carries.
struct LinkFault {
  Duration Delay{0};     ///< Of bytes in both directions.
  bool CutThere = false; ///< Bytes to the target wait until the fault ends.
  bool CutBack = false;  ///< Bytes from the target wait until the fault ends.
  /// Bytes are lost. A connection that has lost any carries nothing further.
  bool Lose = false;
  /// With Lose: requests arrive, and of what the target sends on a connection
  /// only this many bytes are carried. 0: requests are lost too.
  std::size_t PassedBack = 0;
  /// New connections are not completed, as behind a full queue of a listener.
  bool AcceptNone = false;

  friend bool operator==(const LinkFault &, const LinkFault &) = default;
};

/// Forwards connections to one target. Bytes that a cut holds up arrive when it
/// ends, unless their connection is gone by then.
class FaultyLink {
public:
  FaultyLink(net::EventLoop &Loop, const Clock &Clk, HostPort Target);
  ~FaultyLink();

  /// Listens at a free port of Host; false if none can be bound.
  bool start(const std::string &Host);
  /// Where callers connect.
  [[nodiscard]] HostPort address() const;
  /// For connections made from now on.
  void setTarget(HostPort Target) { m_target = std::move(Target); }
  void setFault(const LinkFault &Fault);
  [[nodiscard]] const LinkFault &fault() const { return m_fault; }
  /// All open connections carry nothing further.
  void muteAll();
  /// Resets every open connection at both ends.
  void resetAll();
  [[nodiscard]] std::size_t connections() const { return m_pairs.size(); }
  /// Connections that have lost bytes or were muted so far.
  [[nodiscard]] std::size_t muted() const { return m_muted; }

private:
  class Pair;

  void accept();
  /// Sets the length of the queue of connections that wait to be accepted.
  void setQueue(int Length);

  net::EventLoop &m_loop;
  const Clock &m_clock;
  HostPort m_target;
  std::string m_host;
  LinkFault m_fault;
  boost::asio::ip::tcp::acceptor m_acceptor;
  /// Fill the acceptor's queue while no connection is accepted.
  std::vector<net::TcpSocket> m_fillers;
  std::size_t m_muted = 0;
  std::set<std::shared_ptr<Pair>> m_pairs;
};

} // namespace nutmegdrift::soak

#endif
