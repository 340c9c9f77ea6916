#include "nutmegdrift/proxy/suspect_filter.h"

#include "nutmegdrift/proxy/endpoint_session.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <algorithm>

namespace nutmegdrift::proxy {

namespace {

/// A running endpoint accepts a connection and answers its health check well
/// within this time.
constexpr long ProbeTimeoutMicros = 300'000;

/// Whether the endpoint's process still serves. An accepted connection is no
/// proof: a process that ends closes its listening socket after others, and
/// until then the kernel accepts. One that accepts and stays silent may be
/// busy, and counts as serving.
bool stillServes(const config::Replica &Where) {
  EndpointSession Session(Where.Address.Host, Where.Address.Port);
  try {
    Session.open({Where.Address.Host, Where.Address.Port},
                 Poco::Timespan(ProbeTimeoutMicros));
  } catch (const Poco::Exception &) {
    return false;
  }
  try {
    Session.socket().setReceiveTimeout(Poco::Timespan(ProbeTimeoutMicros));
    Poco::Net::HTTPRequest Probe("GET", "/health",
                                 Poco::Net::HTTPRequest::HTTP_1_1);
    Session.sendRequest(Probe).flush();
    Poco::Net::HTTPResponse Answer;
    Session.receiveHead(Answer);
    return true;
  } catch (const Poco::TimeoutException &) {
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

SuspectDesk::SuspectDesk(DaemonName Self, BootId Boot, const Clock &Clk,
                         EventLog &Log, Sender Send)
    : m_clock(Clk), m_log(Log), m_send(std::move(Send)),
      m_suspects(std::move(Self), Boot) {}

Result<void> SuspectDesk::check(policy::Fingerprint Request) {
  const std::scoped_lock Lock(m_mutex);
  return m_suspects.check(Request, m_clock.now());
}

std::vector<config::ReplicaId>
SuspectDesk::toAvoid(policy::Fingerprint Request,
                     const std::vector<config::ReplicaId> &Candidates) const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<config::ReplicaId> Out;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Out),
               [&](const auto &Id) {
                 return !m_suspects.mayStart(Request, Id, Candidates);
               });
  return Out;
}

void SuspectDesk::started(policy::Fingerprint Request,
                          const config::ReplicaId &Where) {
  const std::scoped_lock Lock(m_mutex);
  m_suspects.started(Request, Where);
}

void SuspectDesk::ended(policy::Fingerprint Request,
                        const config::ReplicaId &Where) {
  const std::scoped_lock Lock(m_mutex);
  m_suspects.ended(Request, Where);
}

void SuspectDesk::connectionBroke(const config::Replica &Where) {
  if (stillServes(Where))
    return;
  std::vector<policy::SuspectEntry> Changed;
  {
    const std::scoped_lock Lock(m_mutex);
    m_suspects.crashed(Where.Id, m_clock.now());
    Changed = m_suspects.drainChanges();
  }
  if (Changed.empty())
    return;
  m_log.event(
      "endpoint.crashed",
      {{"endpoint", Where.Id}, {"suspects", std::to_string(Changed.size())}});
  m_send(Changed);
}

void SuspectDesk::merge(const std::vector<policy::SuspectEntry> &Entries) {
  const std::scoped_lock Lock(m_mutex);
  m_suspects.merge(Entries, m_clock.now());
}

Result<void> SuspectFilter::handle(Exchange &Current, const Next &Rest) {
  const auto &Request = Current.Request;
  BOOST_LEAF_CHECK(m_suspects.check(
      policy::fingerprintOf(Request.Workspace, Request.What, Request.Body)));
  return Rest(Current);
}

} // namespace nutmegdrift::proxy
