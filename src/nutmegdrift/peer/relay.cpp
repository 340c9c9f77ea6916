#include "nutmegdrift/peer/relay.h"

#include <algorithm>
#include <utility>

namespace nutmegdrift::peer {

namespace {

/// Credit goes back in few frames: after half a window was read.
constexpr std::size_t CreditStep = RelayWindowBytes / 2;
/// Largest chunk; smaller than a window, so that a chunk never waits for the
/// whole window to be read.
constexpr std::size_t MaxChunkBytes = RelayWindowBytes / 4;
/// Time for the last frame of a stream that was destroyed without an end.
constexpr std::chrono::milliseconds AbandonedEndWait{100};

Error lostError(const std::string &Why) {
  return Error{ErrorKind::RelayLost, "relay lost: " + Why};
}

} // namespace

// RelayReader

RelayReader::RelayReader(RelayClient &Client, PeerNetwork &Network,
                         wire::RelayId Id, BootId Boot)
    : m_client(Client), m_network(Network), m_id(Id), m_boot(Boot) {}

void RelayReader::takeHead(const wire::RelayHead &Head) {
  const std::scoped_lock Lock(m_mutex);
  if (m_ended || m_head)
    return;
  m_head = Head;
  m_changed.notify_all();
}

void RelayReader::takeChunk(const wire::RelayChunk &Chunk) {
  bool Valid = true;
  {
    const std::scoped_lock Lock(m_mutex);
    if (m_ended)
      return;
    Valid = m_head && Chunk.Seq == m_nextSeq &&
            m_buffered + m_readBytes + Chunk.Bytes.size() <= RelayWindowBytes;
    if (Valid) {
      ++m_nextSeq;
      m_buffered += Chunk.Bytes.size();
      m_chunks.push_back(Chunk.Bytes);
      m_changed.notify_all();
    }
  }
  if (!Valid)
    finish(lostError("a chunk is out of order or above the credit"));
}

void RelayReader::takeEnd(const wire::RelayEnd &End) {
  std::optional<Error> Failure;
  {
    const std::scoped_lock Lock(m_mutex);
    m_cost = End.Cost;
    if (End.Failure)
      Failure = Error{*End.Failure, End.Message, End.RetryAfter};
    else if (!m_head || End.Chunks != m_nextSeq)
      Failure = lostError("the answer is incomplete");
  }
  finish(Failure);
}

void RelayReader::finish(const std::optional<Error> &Failure) {
  const std::scoped_lock Lock(m_mutex);
  if (m_ended)
    return;
  m_ended = true;
  m_failure = Failure;
  // Before the waiting thread goes on, so that an ended relay is never counted
  // as open.
  m_client.forget(m_id, Failure);
  m_changed.notify_all();
}

Result<void> RelayReader::waitFor(std::unique_lock<std::mutex> &Lock,
                                  TimePoint Deadline,
                                  const std::function<bool()> &Ready) {
  if (m_changed.wait_until(Lock, Deadline, Ready))
    return {};
  Lock.unlock();
  cancel("no answer before the deadline");
  return fail(ErrorKind::EndpointTimeout,
              "no answer from the other daemon before the deadline");
}

Result<wire::RelayHead> RelayReader::head(TimePoint Deadline) {
  std::unique_lock Lock(m_mutex);
  BOOST_LEAF_CHECK(waitFor(Lock, Deadline, [&] { return m_head || m_ended; }));
  if (m_head)
    return *m_head;
  return fail(m_failure.value_or(lostError("ended without a head")));
}

std::uint64_t RelayReader::dueCredit(std::size_t Read) {
  m_readBytes += Read;
  if (m_ended || m_readBytes < CreditStep)
    return 0;
  return std::exchange(m_readBytes, 0);
}

Result<std::optional<std::string>> RelayReader::read(TimePoint Deadline) {
  std::unique_lock Lock(m_mutex);
  BOOST_LEAF_CHECK(
      waitFor(Lock, Deadline, [&] { return !m_chunks.empty() || m_ended; }));
  if (m_chunks.empty()) {
    if (m_failure)
      return fail(*m_failure);
    return std::optional<std::string>();
  }
  auto Out = std::move(m_chunks.front());
  m_chunks.pop_front();
  m_buffered -= Out.size();
  const auto Credit = dueCredit(Out.size());
  Lock.unlock();
  // If this fails, the connection is lost and its loss ends the relay.
  if (Credit > 0)
    (void)errorOf([&] {
      return m_network.sendOnWithin(
          m_connection, wire::RelayCredit{m_id, m_boot, Credit}, Deadline);
    });
  return std::optional<std::string>(std::move(Out));
}

double RelayReader::cost() const {
  const std::scoped_lock Lock(m_mutex);
  return m_cost;
}

void RelayReader::cancel(const std::string &Reason) {
  {
    const std::scoped_lock Lock(m_mutex);
    if (m_ended)
      return;
  }
  finish(Error{ErrorKind::CallerDisconnected, Reason});
  (void)errorOf([&] {
    return m_network.sendOn(m_connection,
                            wire::RelayCancel{m_id, m_boot, Reason});
  });
}

// RelayClient

RelayClient::RelayClient(PeerNetwork &Network, BootId Boot)
    : m_network(Network), m_boot(Boot) {
  Network.onMessage([this](const PeerOrigin &From, const wire::Message &Value) {
    take(From, Value);
  });
  Network.onLoss([this](const PeerLoss &Loss) { lose(Loss); });
}

Result<std::shared_ptr<RelayReader>>
RelayClient::open(const DaemonName &To, wire::RelayContext Context,
                  std::string Body) {
  return start(
      To, wire::RelayRequest{0, m_boot, std::move(Context), std::move(Body)});
}

Result<std::shared_ptr<RelayReader>>
RelayClient::forward(const DaemonName &To, const Ticket &Grant,
                     wire::RelayContext Context, std::string Body) {
  return start(To, wire::TicketForward{0, m_boot, Grant, std::move(Context),
                                       std::move(Body)});
}

template <class Request>
Result<std::shared_ptr<RelayReader>> RelayClient::start(const DaemonName &To,
                                                        Request Value) {
  const std::scoped_lock Lock(m_mutex);
  Value.Id = m_nextId++;
  auto Reader =
      std::make_shared<RelayReader>(*this, m_network, Value.Id, m_boot);
  const auto Connection = capture([&] { return m_network.send(To, Value); });
  if (!Connection)
    return fail(ErrorKind::RelayRefused,
                "relay to " + To + ": " + Connection.Failure.Message);
  Reader->m_connection = *Connection;
  m_open[Value.Id] = Reader;
  ++m_counts.Opened;
  return std::shared_ptr<RelayReader>(Reader.get(), [Reader](RelayReader *) {
    Reader->cancel("the reader is gone");
  });
}

std::shared_ptr<RelayReader> RelayClient::find(const PeerOrigin &From,
                                               wire::RelayId Id, BootId Boot) {
  const std::scoped_lock Lock(m_mutex);
  const auto Found = m_open.find(Id);
  if (Boot == m_boot && Found != m_open.end() &&
      Found->second->m_connection == From.Connection)
    return Found->second;
  ++m_counts.Dropped;
  return nullptr;
}

void RelayClient::take(const PeerOrigin &From, const wire::Message &Value) {
  const auto With = [&](const auto &Frame, auto Take) {
    if (const auto Reader = find(From, Frame.Id, Frame.Boot))
      ((*Reader).*Take)(Frame);
  };
  if (const auto *Head = std::get_if<wire::RelayHead>(&Value))
    With(*Head, &RelayReader::takeHead);
  else if (const auto *Chunk = std::get_if<wire::RelayChunk>(&Value))
    With(*Chunk, &RelayReader::takeChunk);
  else if (const auto *End = std::get_if<wire::RelayEnd>(&Value))
    With(*End, &RelayReader::takeEnd);
}

void RelayClient::lose(const PeerLoss &Loss) {
  std::vector<std::shared_ptr<RelayReader>> Lost;
  {
    const std::scoped_lock Lock(m_mutex);
    for (const auto &Item : m_open)
      if (Item.second->m_connection == Loss.Connection)
        Lost.push_back(Item.second);
  }
  for (const auto &Reader : Lost) {
    const bool Unsent = std::find(Loss.Unsent.begin(), Loss.Unsent.end(),
                                  Reader->m_id) != Loss.Unsent.end();
    Reader->finish(Unsent ? Error{ErrorKind::RelayRefused,
                                  "request was not sent: " + Loss.Reason}
                          : lostError(Loss.Reason));
  }
}

void RelayClient::forget(wire::RelayId Id,
                         const std::optional<Error> &Failure) {
  const std::scoped_lock Lock(m_mutex);
  m_open.erase(Id);
  ++m_counts.Ended;
  m_counts.Lost += Failure && Failure->Kind == ErrorKind::RelayLost ? 1U : 0U;
  m_counts.Refused +=
      Failure && Failure->Kind == ErrorKind::RelayRefused ? 1U : 0U;
}

RelayCounts RelayClient::counts() const {
  const std::scoped_lock Lock(m_mutex);
  return m_counts;
}

std::size_t RelayClient::running() const {
  const std::scoped_lock Lock(m_mutex);
  return m_open.size();
}

// RelayStream

RelayStream::RelayStream(PeerNetwork &Network, PeerOrigin Origin,
                         wire::RelayId Id, wire::RelayContext Context,
                         std::string Body, std::optional<Ticket> Grant)
    : m_network(Network), m_origin(std::move(Origin)), m_id(Id),
      m_context(std::move(Context)), m_body(std::move(Body)),
      m_grant(std::move(Grant)) {}

RelayStream::~RelayStream() {
  end(Error{ErrorKind::Internal, "the request was abandoned"}, 0.0,
      std::chrono::steady_clock::now() + AbandonedEndWait);
}

Result<void> RelayStream::checkOpen() const {
  const std::scoped_lock Lock(m_mutex);
  if (m_stopped)
    return fail(*m_stopped);
  return {};
}

Result<void> RelayStream::sendFrame(const wire::Message &Value,
                                    TimePoint Deadline) {
  const auto Failure = errorOf([&] {
    return m_network.sendOnWithin(m_origin.Connection, Value, Deadline);
  });
  if (!Failure)
    return {};
  if (Failure->Kind == ErrorKind::QueueFull)
    return fail(ErrorKind::CallerTooSlow, Failure->Message);
  return fail(lostError(Failure->Message));
}

Result<void> RelayStream::head(std::uint32_t Status,
                               const std::string &ContentType,
                               TimePoint Deadline) {
  BOOST_LEAF_CHECK(checkOpen());
  return sendFrame(wire::RelayHead{m_id, m_origin.Boot, Status, ContentType},
                   Deadline);
}

Result<std::size_t> RelayStream::takeCredit(std::size_t Wanted,
                                            TimePoint Deadline) {
  std::unique_lock Lock(m_mutex);
  if (!m_changed.wait_until(Lock, Deadline,
                            [&] { return m_credit > 0 || m_stopped; }))
    return fail(ErrorKind::CallerTooSlow, "no credit before the deadline");
  if (m_stopped)
    return fail(*m_stopped);
  const auto Taken = std::min<std::uint64_t>({Wanted, m_credit, MaxChunkBytes});
  m_credit -= Taken;
  return Taken;
}

Result<void> RelayStream::write(std::string_view Bytes, TimePoint Deadline) {
  while (!Bytes.empty()) {
    BOOST_LEAF_AUTO(Size, takeCredit(Bytes.size(), Deadline));
    BOOST_LEAF_CHECK(
        sendFrame(wire::RelayChunk{m_id, m_origin.Boot, m_chunks,
                                   std::string(Bytes.substr(0, Size))},
                  Deadline));
    ++m_chunks;
    Bytes.remove_prefix(Size);
  }
  return {};
}

void RelayStream::end(const std::optional<Error> &Failure, double Cost,
                      TimePoint Deadline) {
  if (std::exchange(m_ended, true) || cancelled())
    return;
  wire::RelayEnd Last;
  Last.Id = m_id;
  Last.Boot = m_origin.Boot;
  Last.Chunks = m_chunks;
  Last.Cost = Cost;
  if (Failure) {
    Last.Failure = Failure->Kind;
    Last.Message = Failure->Message;
    Last.RetryAfter =
        Failure->RetryAfter.value_or(answerFor(Failure->Kind).RetryAfter);
  }
  // If this fails, the loss of the connection ends the relay at the reader.
  (void)errorOf([&] { return sendFrame(Last, Deadline); });
}

bool RelayStream::cancelled() const {
  const std::scoped_lock Lock(m_mutex);
  return m_stopped.has_value();
}

void RelayStream::addCredit(std::uint64_t Bytes) {
  const std::scoped_lock Lock(m_mutex);
  m_credit = std::min<std::uint64_t>(
      RelayWindowBytes,
      m_credit + std::min<std::uint64_t>(Bytes, RelayWindowBytes));
  m_changed.notify_all();
}

void RelayStream::stop(const Error &Cause) {
  const std::scoped_lock Lock(m_mutex);
  if (!m_stopped)
    m_stopped = Cause;
  m_changed.notify_all();
}

// RelayServer

RelayServer::RelayServer(PeerNetwork &Network, Handler OnRequest,
                         std::size_t MaxOpen)
    : m_network(Network), m_handler(std::move(OnRequest)), m_maxOpen(MaxOpen) {
  Network.onMessage([this](const PeerOrigin &From, const wire::Message &Value) {
    take(From, Value);
  });
  Network.onLoss([this](const PeerLoss &Loss) { lose(Loss); });
}

void RelayServer::take(const PeerOrigin &From, const wire::Message &Value) {
  if (const auto *Request = std::get_if<wire::RelayRequest>(&Value)) {
    accept(From, *Request, std::nullopt);
  } else if (const auto *Forward = std::get_if<wire::TicketForward>(&Value)) {
    accept(From, *Forward, Forward->Grant);
  } else if (const auto *Credit = std::get_if<wire::RelayCredit>(&Value)) {
    if (const auto Stream = find(From, Credit->Id, Credit->Boot))
      Stream->addCredit(Credit->Bytes);
  } else if (const auto *Cancel = std::get_if<wire::RelayCancel>(&Value)) {
    if (const auto Stream = find(From, Cancel->Id, Cancel->Boot))
      Stream->stop(Error{ErrorKind::CallerDisconnected, Cancel->Reason});
  }
}

bool RelayServer::isNew(const PeerOrigin &From, wire::RelayId Id, BootId Boot) {
  auto &Last = m_latest[From.Daemon];
  if (Last.Boot != From.Boot)
    Last = {From.Boot, 0};
  if (Boot != From.Boot || Id <= Last.Id) {
    ++m_dropped;
    return false;
  }
  Last.Id = Id;
  return true;
}

template <class Request>
void RelayServer::accept(const PeerOrigin &From, const Request &Value,
                         const std::optional<Ticket> &Grant) {
  std::shared_ptr<RelayStream> Stream;
  bool Full = false;
  {
    const std::scoped_lock Lock(m_mutex);
    if (!isNew(From, Value.Id, Value.Boot))
      return;
    removeGone();
    Full = m_streams.size() >= m_maxOpen;
    Stream = std::make_shared<RelayStream>(m_network, From, Value.Id,
                                           Value.Context, Value.Body, Grant);
    if (!Full)
      m_streams[{From.Connection, Value.Id}] = Stream;
  }
  if (Full)
    Stream->end(Error{ErrorKind::QueueFull, "too many relays are open"}, 0.0,
                {});
  else
    m_handler(std::move(Stream));
}

void RelayServer::removeGone() {
  std::erase_if(m_streams,
                [](const auto &Item) { return Item.second.expired(); });
}

std::shared_ptr<RelayStream> RelayServer::find(const PeerOrigin &From,
                                               wire::RelayId Id, BootId Boot) {
  const std::scoped_lock Lock(m_mutex);
  const auto Found = m_streams.find({From.Connection, Id});
  auto Stream = Found == m_streams.end() ? nullptr : Found->second.lock();
  if (Stream && Boot == From.Boot)
    return Stream;
  ++m_dropped;
  return nullptr;
}

void RelayServer::lose(const PeerLoss &Loss) {
  std::vector<std::shared_ptr<RelayStream>> Lost;
  {
    const std::scoped_lock Lock(m_mutex);
    removeGone();
    for (const auto &[Place, Weak] : m_streams)
      if (Place.first == Loss.Connection)
        if (auto Stream = Weak.lock())
          Lost.push_back(std::move(Stream));
  }
  for (const auto &Stream : Lost)
    Stream->stop(lostError(Loss.Reason));
}

std::size_t RelayServer::running() const {
  const std::scoped_lock Lock(m_mutex);
  return static_cast<std::size_t>(
      std::count_if(m_streams.begin(), m_streams.end(),
                    [](const auto &Item) { return !Item.second.expired(); }));
}

std::uint64_t RelayServer::dropped() const {
  const std::scoped_lock Lock(m_mutex);
  return m_dropped;
}

} // namespace nutmegdrift::peer
