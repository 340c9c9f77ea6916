#include "nutmegdrift/peer/peer_network.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace nutmegdrift::peer {

namespace {

using Poco::Net::PollSet;
using Poco::Net::Socket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

/// Bytes read from one connection before the others get their turn.
constexpr int ReadBytes = 64 << 10;
/// Upper bound of one wait for sockets.
constexpr long PollMicros = 50'000;
/// Deadlines and keep-alives of all connections are checked this often, not
/// after each message.
constexpr std::chrono::milliseconds CheckInterval{25};
/// Largest share of a send queue for relay frames: 3/4.
constexpr std::size_t RelayShareNumerator = 3;
constexpr std::size_t RelayShareDenominator = 4;
constexpr int AcceptBacklog = 128;
/// How long a full send queue is waited for before its state is read again.
constexpr std::chrono::milliseconds RoomWait{20};

SocketAddress socketAddress(const HostPort &Address) {
  return {Address.Host, Address.Port};
}

/// The number of a message that opens a relay.
std::optional<wire::RelayId> relayOpenedBy(const wire::Message &Value) {
  if (const auto *Request = std::get_if<wire::RelayRequest>(&Value))
    return Request->Id;
  if (const auto *Forward = std::get_if<wire::TicketForward>(&Value))
    return Forward->Id;
  return std::nullopt;
}

/// A relay request in a send queue.
struct QueuedRequest {
  std::uint64_t Start = 0; ///< Position of its first byte in the stream.
  wire::RelayId Id = 0;
};

struct Connection {
  ConnectionId Id = 0;
  StreamSocket Stream;
  DaemonName Expected; ///< Daemon connected to; empty if accepted.
  bool Connecting = false;
  bool Failed = false; ///< A sender saw an error; the poll thread closes it.

  // Guarded by the network's mutex.
  std::string Out;            ///< Frames not yet handed to the socket.
  std::uint64_t Written = 0;  ///< Bytes of the stream handed over.
  std::size_t HelloBytes = 0; ///< Size of the first frame.
  std::deque<QueuedRequest> Requests;
  bool WaitsForRoom = false;      ///< Write interest is set.
  std::optional<PeerOrigin> Peer; ///< Set by the Hello received.
  TimePoint LastSent;

  // Used by the poll thread only.
  wire::FrameReader Reader;
  TimePoint LastReceived;
};

struct PeerRecord {
  std::optional<HostPort> Address;
  ConnectionId Current = 0; ///< Connection that send() uses; 0 for none.
  std::optional<BootId> Boot;
  TimePoint RetryAt;
  Duration Backoff{0};
};

/// One frame read, or the end of reading.
struct ReadResult {
  std::vector<std::string> Payloads;
  std::string Failure; ///< Why the connection has to be closed.
};

void readSome(Connection &From, ReadResult &Out) {
  std::string Buffer(ReadBytes, '\0');
  try {
    const int Count = From.Stream.receiveBytes(Buffer.data(), ReadBytes);
    if (Count == 0)
      Out.Failure = "closed by the other side";
    if (Count > 0)
      From.Reader.append(std::string_view(Buffer).substr(0, Count));
  } catch (const Poco::TimeoutException &) {
    return; // Nothing to read now.
  } catch (const Poco::Exception &Cause) {
    Out.Failure = Cause.displayText();
  }
}

/// Reads once and splits what arrived into payloads.
ReadResult readFrames(Connection &From) {
  ReadResult Out;
  readSome(From, Out);
  for (;;) {
    auto Next = capture([&] { return From.Reader.next(); });
    if (!Next)
      Out.Failure = Next.Failure.Message;
    if (!Next || !*Next)
      return Out;
    Out.Payloads.push_back(std::move(**Next));
  }
}

/// Reads from a blocking socket until a Hello; nothing, or a Poco exception,
/// if none came before Deadline.
std::optional<wire::Hello> readHello(StreamSocket &Stream, const Clock &Clk,
                                     TimePoint Deadline) {
  wire::FrameReader Reader;
  std::array<char, 4096> Buffer{};
  for (;;) {
    // Per read, so that single bytes cannot prolong the probe.
    const auto Left = std::chrono::duration_cast<std::chrono::microseconds>(
        Deadline - Clk.now());
    if (Left.count() <= 0)
      return std::nullopt;
    Stream.setReceiveTimeout(Poco::Timespan(Left.count()));
    const int Count = Stream.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0)
      return std::nullopt;
    Reader.append({Buffer.data(), static_cast<std::size_t>(Count)});
    const auto Next = capture([&] { return Reader.next(); });
    if (!Next)
      return std::nullopt;
    if (!*Next)
      continue;
    const auto First = capture([&] { return wire::decode(**Next); });
    if (!First || !std::holds_alternative<wire::Hello>(*First))
      return std::nullopt;
    return std::get<wire::Hello>(*First);
  }
}

} // namespace

std::uint64_t PeerTraffic::controlBytes() const {
  std::uint64_t Sum = KeepAlivesSent.Bytes + KeepAlivesReceived.Bytes;
  for (std::size_t Type = 0; Type < wire::MessageTypes; ++Type)
    if (!wire::isRelayed(Type))
      Sum += Sent.at(Type).Bytes + Received.at(Type).Bytes;
  return Sum;
}

std::uint64_t PeerTraffic::relayedBytes() const {
  std::uint64_t Sum = 0;
  for (std::size_t Type = 0; Type < wire::MessageTypes; ++Type)
    if (wire::isRelayed(Type))
      Sum += Sent.at(Type).Bytes + Received.at(Type).Bytes;
  return Sum;
}

/// Only the poll thread closes and erases connections, so it may keep a
/// pointer to one without the lock; other threads need the lock.
class PeerNetwork::Impl {
public:
  Impl(PeerOptions Options, const Clock &Clk, EventLog &Log)
      : m_options(std::move(Options)), m_clock(Clk), m_log(Log) {}
  ~Impl() { stop(); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  std::vector<MessageHandler> MessageHandlers;
  std::vector<LossHandler> LossHandlers;

  Result<void> start();
  void stop();
  HostPort address() const;
  void setPeers(const std::map<DaemonName, HostPort> &Peers);
  Result<ConnectionId> send(const DaemonName &To, const wire::Message &Value);
  Result<void> sendOn(ConnectionId Id, const wire::Message &Value);
  void waitForRoom(TimePoint Deadline);
  PeerLiveness probe(const DaemonName &Name, std::chrono::milliseconds Timeout);
  std::optional<BootId> bootOf(const DaemonName &Name) const;
  PeerTraffic traffic() const;

private:
  // With the lock held.
  Result<Connection *> currentFor(const DaemonName &To);
  Result<Connection *> connect(const DaemonName &To, PeerRecord &Record);
  Connection &add(const StreamSocket &Stream, const DaemonName &Expected);
  Result<void> enqueue(Connection &To, const wire::Message &Value,
                       const std::string &Frame);
  void flush(Connection &To);
  void setInterest(Connection &To);
  void backOff(PeerRecord &Record);
  Connection *find(ConnectionId Id);

  // On the poll thread, without the lock.
  void run();
  void serve(const Socket &Ready, int Mode);
  void accept();
  void read(Connection &From);
  void write(Connection &To);
  bool takePayload(Connection &From, const std::string &Payload);
  bool takeHello(Connection &From, const wire::Hello &Value);
  void closeOtherBoots(const PeerOrigin &Latest);
  void checkTimes();
  void sendKeepAlive(Connection &To, TimePoint Now);
  void close(ConnectionId Id, const std::string &Reason);
  PeerLoss remove(Connection &Gone, const std::string &Reason);
  std::vector<ConnectionId> ids() const;
  std::string helloFrame() const;

  const PeerOptions m_options;
  const Clock &m_clock;
  EventLog &m_log;
  PollSet m_polled;
  Poco::Net::ServerSocket m_listener;
  std::thread m_thread;
  std::atomic<bool> m_stopping = false;
  TimePoint m_nextCheck; ///< Used by the poll thread only.

  mutable std::mutex m_mutex;
  std::condition_variable m_room; ///< Signalled when a queue got shorter.
  bool m_running = false;
  std::uint16_t m_port = 0;
  std::map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  std::map<Socket, ConnectionId> m_bySocket;
  std::map<DaemonName, PeerRecord> m_peers;
  ConnectionId m_nextId = 1;
  PeerTraffic m_traffic;
};

std::string PeerNetwork::Impl::helloFrame() const {
  const wire::Hello Own{m_options.Self, m_options.Boot, m_options.Zone,
                        wire::SchemaVersion};
  return wire::frame(wire::encode(Own)).value();
}

Result<void> PeerNetwork::Impl::start() {
  try {
    m_listener.bind(socketAddress(m_options.Listen), true);
    m_listener.listen(AcceptBacklog);
    m_listener.setBlocking(false);
    m_polled.add(m_listener, PollSet::POLL_READ);
  } catch (const Poco::Exception &Cause) {
    return fail(ErrorKind::InvalidSettings, "cannot listen on " +
                                                toString(m_options.Listen) +
                                                ": " + Cause.displayText());
  }
  const std::scoped_lock Lock(m_mutex);
  m_port = m_listener.address().port();
  m_running = true;
  m_thread = std::thread([this] { run(); });
  return {};
}

void PeerNetwork::Impl::stop() {
  m_stopping = true;
  if (m_thread.joinable())
    m_thread.join();
}

HostPort PeerNetwork::Impl::address() const {
  const std::scoped_lock Lock(m_mutex);
  return {m_options.Listen.Host, m_port};
}

void PeerNetwork::Impl::setPeers(const std::map<DaemonName, HostPort> &Peers) {
  const std::scoped_lock Lock(m_mutex);
  for (auto &[Name, Record] : m_peers)
    if (!Peers.contains(Name))
      Record.Address.reset();
  for (const auto &[Name, Address] : Peers) {
    auto &Record = m_peers[Name];
    if (Record.Address != Address)
      Record.RetryAt = {};
    Record.Address = Address;
  }
}

Connection *PeerNetwork::Impl::find(ConnectionId Id) {
  const auto Found = m_connections.find(Id);
  return Found == m_connections.end() ? nullptr : Found->second.get();
}

Connection &PeerNetwork::Impl::add(const StreamSocket &Stream,
                                   const DaemonName &Expected) {
  auto Made = std::make_unique<Connection>();
  Made->Id = m_nextId++;
  Made->Stream = Stream;
  Made->Expected = Expected;
  Made->Connecting = !Expected.empty();
  Made->LastReceived = Made->LastSent = m_clock.now();
  Made->Out = helloFrame();
  Made->HelloBytes = Made->Out.size();
  auto &Out = *Made;
  m_bySocket[Stream] = Made->Id;
  m_connections[Made->Id] = std::move(Made);
  Out.WaitsForRoom = true;
  m_polled.add(Stream,
               PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR);
  return Out;
}

void PeerNetwork::Impl::backOff(PeerRecord &Record) {
  Record.Backoff = std::clamp(Record.Backoff * 2, m_options.BackoffMin,
                              m_options.BackoffMax);
  Record.RetryAt = m_clock.now() + Record.Backoff;
}

Result<Connection *> PeerNetwork::Impl::connect(const DaemonName &To,
                                                PeerRecord &Record) {
  if (!Record.Address)
    return fail(ErrorKind::PeerUnreachable, "no address of daemon " + To);
  if (m_clock.now() < Record.RetryAt)
    return fail(ErrorKind::PeerUnreachable,
                "daemon " + To + " is not connected, waiting to try again");
  try {
    StreamSocket Stream;
    Stream.connectNB(socketAddress(*Record.Address));
    auto &Made = add(Stream, To);
    Record.Current = Made.Id;
    return &Made;
  } catch (const Poco::Exception &Cause) {
    backOff(Record);
    return fail(ErrorKind::PeerUnreachable,
                "cannot connect to " + To + ": " + Cause.displayText());
  }
}

Result<Connection *> PeerNetwork::Impl::currentFor(const DaemonName &To) {
  if (!m_running)
    return fail(ErrorKind::PeerUnreachable, "the peer network is stopped");
  const auto Found = m_peers.find(To);
  if (Found == m_peers.end())
    return fail(ErrorKind::PeerUnreachable, "no address of daemon " + To);
  if (auto *Current = find(Found->second.Current); Current && !Current->Failed)
    return Current;
  return connect(To, Found->second);
}

void PeerNetwork::Impl::setInterest(Connection &To) {
  // Before the other Hello only our own may leave: a request to a paused
  // process then stays certainly unsent.
  const bool Wants = To.Failed || To.Connecting ||
                     (To.Peer ? !To.Out.empty() : To.Written < To.HelloBytes);
  if (Wants == To.WaitsForRoom)
    return;
  To.WaitsForRoom = Wants;
  m_polled.update(To.Stream, PollSet::POLL_READ | PollSet::POLL_ERROR |
                                 (Wants ? PollSet::POLL_WRITE : 0));
}

void PeerNetwork::Impl::flush(Connection &To) {
  try {
    while (!To.Connecting && !To.Failed && !To.Out.empty()) {
      const auto Limit =
          To.Peer ? To.Out.size()
                  : To.HelloBytes -
                        std::min<std::size_t>(To.HelloBytes, To.Written);
      if (Limit == 0)
        break;
      const int Count = To.Stream.sendBytes(
          To.Out.data(), static_cast<int>(Limit), MSG_NOSIGNAL);
      if (Count <= 0)
        break;
      To.Out.erase(0, static_cast<std::size_t>(Count));
      To.Written += static_cast<std::uint64_t>(Count);
      To.LastSent = m_clock.now();
      m_room.notify_all();
    }
  } catch (const Poco::TimeoutException &) {
    // The socket takes no more now.
  } catch (const Poco::Exception &) {
    To.Failed = true;
  }
  while (!To.Requests.empty() && To.Requests.front().Start < To.Written)
    To.Requests.pop_front();
  setInterest(To);
}

Result<void> PeerNetwork::Impl::enqueue(Connection &To,
                                        const wire::Message &Value,
                                        const std::string &Frame) {
  auto Limit = m_options.MaxQueuedBytes;
  if (wire::isRelayed(Value.index()))
    Limit = Limit / RelayShareDenominator * RelayShareNumerator;
  if (To.Out.size() + Frame.size() > Limit)
    return fail(ErrorKind::QueueFull,
                "send queue to daemon " +
                    (To.Peer ? To.Peer->Daemon : To.Expected) + " holds " +
                    std::to_string(To.Out.size()) + " bytes");
  if (const auto Id = relayOpenedBy(Value))
    To.Requests.push_back({To.Written + To.Out.size(), *Id});
  To.Out += Frame;
  auto &Count = m_traffic.Sent.at(Value.index());
  ++Count.Messages;
  Count.Bytes += Frame.size();
  flush(To);
  return {};
}

Result<ConnectionId> PeerNetwork::Impl::send(const DaemonName &To,
                                             const wire::Message &Value) {
  BOOST_LEAF_AUTO(Frame, wire::frame(wire::encode(Value)));
  const std::scoped_lock Lock(m_mutex);
  BOOST_LEAF_AUTO(Current, currentFor(To));
  BOOST_LEAF_CHECK(enqueue(*Current, Value, Frame));
  return Current->Id;
}

Result<void> PeerNetwork::Impl::sendOn(ConnectionId Id,
                                       const wire::Message &Value) {
  BOOST_LEAF_AUTO(Frame, wire::frame(wire::encode(Value)));
  const std::scoped_lock Lock(m_mutex);
  auto *Current = find(Id);
  if (!Current || Current->Failed)
    return fail(ErrorKind::PeerUnreachable,
                "connection " + std::to_string(Id) + " is gone");
  return enqueue(*Current, Value, Frame);
}

void PeerNetwork::Impl::waitForRoom(TimePoint Deadline) {
  std::unique_lock Lock(m_mutex);
  m_room.wait_until(Lock, std::min(Deadline, m_clock.now() + RoomWait));
}

void PeerNetwork::Impl::run() {
  while (!m_stopping) {
    for (const auto &[Ready, Mode] : m_polled.poll(Poco::Timespan(PollMicros)))
      serve(Ready, Mode);
    if (m_clock.now() >= m_nextCheck)
      checkTimes();
  }
  {
    const std::scoped_lock Lock(m_mutex);
    m_running = false;
  }
  m_polled.remove(m_listener);
  m_listener.close();
  for (const auto Id : ids())
    close(Id, "this daemon stops");
}

void PeerNetwork::Impl::serve(const Socket &Ready, int Mode) {
  if (Ready == m_listener)
    return accept();
  ConnectionId Id = 0;
  Connection *Current = nullptr;
  {
    const std::scoped_lock Lock(m_mutex);
    const auto Found = m_bySocket.find(Ready);
    if (Found == m_bySocket.end())
      return;
    Id = Found->second;
    Current = find(Id);
  }
  if ((Mode & (PollSet::POLL_WRITE | PollSet::POLL_ERROR)) != 0)
    write(*Current);
  bool Failed = false;
  {
    const std::scoped_lock Lock(m_mutex);
    Failed = Current->Failed;
  }
  if (Failed)
    return close(Id, "connection failed");
  if ((Mode & PollSet::POLL_READ) != 0)
    read(*Current);
}

void PeerNetwork::Impl::accept() {
  try {
    auto Stream = m_listener.acceptConnection();
    const std::scoped_lock Lock(m_mutex);
    if (m_connections.size() >= m_options.MaxConnections)
      return;
    Stream.setBlocking(false);
    Stream.setNoDelay(true);
    add(Stream, "");
  } catch (const Poco::Exception &) {
    return; // The caller gave up before it was accepted.
  }
}

void PeerNetwork::Impl::write(Connection &To) {
  const std::scoped_lock Lock(m_mutex);
  if (To.Connecting) {
    To.Connecting = false;
    To.Failed = To.Stream.impl()->socketError() != 0;
    if (!To.Failed)
      To.Stream.setNoDelay(true);
  }
  flush(To);
}

void PeerNetwork::Impl::read(Connection &From) {
  const auto Id = From.Id;
  const auto Got = readFrames(From);
  From.LastReceived = m_clock.now();
  for (const auto &Payload : Got.Payloads)
    if (!takePayload(From, Payload))
      return close(Id, "malformed or unexpected message");
  if (!Got.Failure.empty())
    close(Id, Got.Failure);
}

bool PeerNetwork::Impl::takePayload(Connection &From,
                                    const std::string &Payload) {
  const auto Bytes = wire::FramePrefixBytes + Payload.size();
  if (Payload.empty()) {
    const std::scoped_lock Lock(m_mutex);
    ++m_traffic.KeepAlivesReceived.Messages;
    m_traffic.KeepAlivesReceived.Bytes += Bytes;
    return true;
  }
  const auto Value = capture([&] { return wire::decode(Payload); });
  if (!Value)
    return false;
  std::optional<PeerOrigin> Origin;
  {
    const std::scoped_lock Lock(m_mutex);
    ++m_traffic.Received.at(Value->index()).Messages;
    m_traffic.Received.at(Value->index()).Bytes += Bytes;
    Origin = From.Peer;
  }
  if (!Origin)
    return std::holds_alternative<wire::Hello>(*Value) &&
           takeHello(From, std::get<wire::Hello>(*Value));
  if (std::holds_alternative<wire::Hello>(*Value))
    return false;
  for (const auto &Handler : MessageHandlers)
    Handler(*Origin, *Value);
  return true;
}

bool PeerNetwork::Impl::takeHello(Connection &From, const wire::Hello &Value) {
  if (!From.Expected.empty() && From.Expected != Value.Daemon &&
      !parseHostPort(From.Expected))
    return false;
  const PeerOrigin Origin{Value.Daemon, Value.Boot, From.Id};
  closeOtherBoots(Origin);
  const std::scoped_lock Lock(m_mutex);
  From.Peer = Origin;
  auto &Record = m_peers[Value.Daemon];
  Record.Boot = Value.Boot;
  Record.Backoff = Duration{0};
  if (!find(Record.Current))
    Record.Current = From.Id;
  flush(From);
  return true;
}

void PeerNetwork::Impl::closeOtherBoots(const PeerOrigin &Latest) {
  std::vector<ConnectionId> Old;
  {
    const std::scoped_lock Lock(m_mutex);
    for (const auto &[Id, Other] : m_connections)
      if (Other->Peer && Other->Peer->Daemon == Latest.Daemon &&
          Other->Peer->Boot != Latest.Boot)
        Old.push_back(Id);
  }
  for (const auto Id : Old)
    close(Id, "daemon " + Latest.Daemon + " has a new boot");
}

std::vector<ConnectionId> PeerNetwork::Impl::ids() const {
  const std::scoped_lock Lock(m_mutex);
  std::vector<ConnectionId> Out;
  for (const auto &Item : m_connections)
    Out.push_back(Item.first);
  return Out;
}

void PeerNetwork::Impl::checkTimes() {
  const auto Now = m_clock.now();
  m_nextCheck = Now + CheckInterval;
  for (const auto Id : ids()) {
    Connection *Current = nullptr;
    {
      const std::scoped_lock Lock(m_mutex);
      Current = find(Id);
      sendKeepAlive(*Current, Now);
    }
    if (Now - Current->LastReceived > m_options.ProgressDeadline)
      close(Id, "silent past the progress deadline");
  }
}

void PeerNetwork::Impl::sendKeepAlive(Connection &To, TimePoint Now) {
  if (!To.Peer || !To.Out.empty() ||
      Now - To.LastSent < m_options.KeepAliveAfter)
    return;
  To.Out.append(wire::FramePrefixBytes, '\0');
  ++m_traffic.KeepAlivesSent.Messages;
  m_traffic.KeepAlivesSent.Bytes += wire::FramePrefixBytes;
  flush(To);
}

PeerLoss PeerNetwork::Impl::remove(Connection &Gone,
                                   const std::string &Reason) {
  const auto Name = Gone.Peer ? Gone.Peer->Daemon : Gone.Expected;
  PeerLoss Loss{Name, Gone.Id, Reason, {}};
  for (const auto &Request : Gone.Requests)
    Loss.Unsent.push_back(Request.Id);
  if (const auto Record = m_peers.find(Name); Record != m_peers.end()) {
    if (Record->second.Current == Gone.Id)
      Record->second.Current = 0;
    if (!Gone.Peer)
      backOff(Record->second);
  }
  m_polled.remove(Gone.Stream);
  m_bySocket.erase(Gone.Stream);
  Gone.Stream.close();
  m_connections.erase(Loss.Connection);
  m_room.notify_all();
  return Loss;
}

void PeerNetwork::Impl::close(ConnectionId Id, const std::string &Reason) {
  PeerLoss Loss;
  {
    const std::scoped_lock Lock(m_mutex);
    auto *Gone = find(Id);
    if (!Gone)
      return;
    Loss = remove(*Gone, Reason);
  }
  if (Loss.Daemon.empty())
    return; // A probe, or a connection that never said who it is.
  m_log.event("peer.connection_lost",
              {{"peer", Loss.Daemon}, {"reason", Reason}});
  for (const auto &Handler : LossHandlers)
    Handler(Loss);
}

PeerLiveness PeerNetwork::Impl::probe(const DaemonName &Name,
                                      std::chrono::milliseconds Timeout) {
  std::optional<HostPort> Address;
  {
    const std::scoped_lock Lock(m_mutex);
    if (const auto Found = m_peers.find(Name); Found != m_peers.end())
      Address = Found->second.Address;
  }
  if (!Address)
    return PeerLiveness::Silent;
  const auto Deadline = m_clock.now() + Timeout;
  const Poco::Timespan Wait(std::chrono::microseconds(Timeout).count());
  try {
    StreamSocket Stream;
    Stream.connect(socketAddress(*Address), Wait);
    const auto Answer = readHello(Stream, m_clock, Deadline);
    return Answer && Answer->Daemon == Name ? PeerLiveness::Alive
                                            : PeerLiveness::Silent;
  } catch (const Poco::Net::ConnectionRefusedException &) {
    return PeerLiveness::Refused;
  } catch (const Poco::Exception &) {
    return PeerLiveness::Silent;
  }
}

std::optional<BootId> PeerNetwork::Impl::bootOf(const DaemonName &Name) const {
  const std::scoped_lock Lock(m_mutex);
  const auto Found = m_peers.find(Name);
  return Found == m_peers.end() ? std::nullopt : Found->second.Boot;
}

PeerTraffic PeerNetwork::Impl::traffic() const {
  const std::scoped_lock Lock(m_mutex);
  return m_traffic;
}

PeerNetwork::PeerNetwork(PeerOptions Options, const Clock &Clk, EventLog &Log)
    : m_impl(std::make_unique<Impl>(std::move(Options), Clk, Log)) {}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::onMessage(MessageHandler Handler) {
  m_impl->MessageHandlers.push_back(std::move(Handler));
}

void PeerNetwork::onLoss(LossHandler Handler) {
  m_impl->LossHandlers.push_back(std::move(Handler));
}

Result<void> PeerNetwork::start() { return m_impl->start(); }

void PeerNetwork::stop() { m_impl->stop(); }

HostPort PeerNetwork::address() const { return m_impl->address(); }

void PeerNetwork::setPeers(const std::map<DaemonName, HostPort> &Peers) {
  m_impl->setPeers(Peers);
}

Result<ConnectionId> PeerNetwork::send(const DaemonName &To,
                                       const wire::Message &Value) {
  return m_impl->send(To, Value);
}

Result<void> PeerNetwork::sendOn(ConnectionId Connection,
                                 const wire::Message &Value) {
  return m_impl->sendOn(Connection, Value);
}

Result<void> PeerNetwork::sendOnWithin(ConnectionId Connection,
                                       const wire::Message &Value,
                                       TimePoint Deadline) {
  for (;;) {
    const auto Failure = errorOf([&] { return sendOn(Connection, Value); });
    if (!Failure)
      return {};
    if (Failure->Kind != ErrorKind::QueueFull ||
        std::chrono::steady_clock::now() >= Deadline)
      return fail(*Failure);
    m_impl->waitForRoom(Deadline);
  }
}

PeerLiveness PeerNetwork::probe(const DaemonName &Name,
                                std::chrono::milliseconds Timeout) {
  return m_impl->probe(Name, Timeout);
}

std::optional<BootId> PeerNetwork::bootOf(const DaemonName &Name) const {
  return m_impl->bootOf(Name);
}

PeerTraffic PeerNetwork::traffic() const { return m_impl->traffic(); }

} // namespace nutmegdrift::peer
