// One connection attempt for each probed replica.
#include "nutmegdrift/gateway/replica_probe.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace nutmegdrift::gateway {

class ReplicaProbe::Attempt final : public net::ByteStream::Listener {
public:
  Attempt(ReplicaProbe &Owner, std::string Replica)
      : m_owner(Owner), m_replica(std::move(Replica)),
        m_stream(std::make_shared<net::ByteStream>(Owner.m_loop, *this)),
        m_started(Owner.m_clock.now()) {}
  ~Attempt() override { m_stream->close(); }

  void connect(const HostPort &Address) { m_stream->connect(Address, Timeout); }
  void onConnected() override { finish(false); }
  void onConnectFailed() override {
    finish(m_owner.m_clock.now() - m_started < Timeout);
  }
  void onData(std::string_view) override {}
  void onEnd(net::StreamEnd) override { finish(false); }

  std::vector<OnRefused> Callbacks;

private:
  void finish(bool Refused) {
    m_stream->close();
    m_owner.finish(m_replica, Refused);
  }

  ReplicaProbe &m_owner;
  const std::string m_replica;
  std::shared_ptr<net::ByteStream> m_stream;
  const TimePoint m_started;
};

ReplicaProbe::ReplicaProbe(net::EventLoop &Loop, const Clock &Clk)
    : m_loop(Loop), m_clock(Clk) {}

ReplicaProbe::~ReplicaProbe() = default;

void ReplicaProbe::start(const std::string &Replica, const HostPort &Address,
                         OnRefused Callback) {
  auto &Current = m_attempts[Replica];
  if (Current) {
    Current->Callbacks.push_back(std::move(Callback));
    return;
  }
  Current = std::make_unique<Attempt>(*this, Replica);
  Current->Callbacks.push_back(std::move(Callback));
  Current->connect(Address);
}

void ReplicaProbe::finish(const std::string &Replica, bool Refused) {
  const auto Entry = m_attempts.find(Replica);
  if (Entry == m_attempts.end())
    return;
  // Posted, because the attempt's stream is still calling it.
  const std::shared_ptr<Attempt> Done = std::move(Entry->second);
  m_attempts.erase(Entry);
  boost::asio::post(m_loop, [Done] {});
  if (Refused)
    for (const OnRefused &Callback : Done->Callbacks)
      Callback();
}

} // namespace nutmegdrift::gateway
