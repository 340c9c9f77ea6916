// Binding and accepting.
#include "nutmegdrift/net/tcp_listener.h"

namespace nutmegdrift::net {

TcpListener::TcpListener(EventLoop &Loop, OnSocket OnAccepted)
    : m_onAccepted(std::move(OnAccepted)), m_acceptor(Loop), m_retry(Loop) {}

bool TcpListener::listen(const HostPort &Address) {
  const auto Endpoint = tcpEndpoint(Address);
  if (!Endpoint)
    return false;
  boost::system::error_code Failed;
  m_acceptor.open(Endpoint->protocol(), Failed);
  if (!Failed)
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                          Failed);
  if (!Failed)
    m_acceptor.bind(*Endpoint, Failed);
  // Accepted sockets inherit the options.
  if (!Failed)
    tuneSocket(m_acceptor.native_handle());
  if (!Failed)
    m_acceptor.listen(Backlog, Failed);
  if (!Failed)
    m_acceptor.non_blocking(true, Failed);
  if (Failed)
    return false;
  accept();
  return true;
}

void TcpListener::accept() {
  m_acceptor.async_wait(boost::asio::socket_base::wait_read,
                        [this](const boost::system::error_code &Failed) {
                          if (Failed != boost::asio::error::operation_aborted &&
                              m_acceptor.is_open())
                            acceptPending();
                        });
}

void TcpListener::acceptPending() {
  for (int I = 0; I < MaxAcceptsPerTurn; ++I) {
    boost::system::error_code Failed;
    TcpSocket Socket = m_acceptor.accept(Failed);
    if (Failed == boost::asio::error::would_block ||
        Failed == boost::asio::error::try_again)
      break;
    // The caller has disconnected; others may be in the queue behind it.
    if (Failed == boost::asio::error::connection_aborted)
      continue;
    if (Failed) {
      m_retry.callAfter(AcceptRetryDelay, [this] { accept(); });
      return;
    }
    m_onAccepted(std::move(Socket));
  }
  accept();
}

void TcpListener::stop() {
  for (int I = 0; I < Backlog && m_acceptor.is_open(); ++I) {
    boost::system::error_code Failed;
    TcpSocket Socket = m_acceptor.accept(Failed);
    if (Failed == boost::asio::error::connection_aborted)
      continue;
    if (Failed)
      break;
    m_onAccepted(std::move(Socket));
  }
  m_retry.cancel();
  boost::system::error_code Ignored;
  m_acceptor.close(Ignored);
}

std::uint16_t TcpListener::port() const {
  boost::system::error_code Failed;
  const auto Endpoint = m_acceptor.local_endpoint(Failed);
  return Failed ? 0 : Endpoint.port();
}

} // namespace nutmegdrift::net
