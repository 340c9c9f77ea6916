#include "nutmegdrift/daemon/relay_bridge.h"

namespace nutmegdrift::daemon {

namespace {

using proxy::RequestContext;

/// Time to tell the other daemon how a request ended.
constexpr std::chrono::seconds EndTimeout{2};

wire::RelayContext wireContext(const RequestContext &Request, TimePoint Now,
                               std::uint64_t Offer) {
  return {.RequestId = Request.Id,
          .Workspace = Request.Workspace,
          .What = Request.What,
          .Method = Request.Method,
          .Path = Request.Path,
          .ContentType = Request.ContentType,
          .TimeLeft =
              std::chrono::duration_cast<wire::Millis>(Request.Deadline - Now),
          .CostHint = Request.CostHint.value_or(0.0),
          .Ticket =
              Request.RunTicket ? toString(*Request.RunTicket) : std::string(),
          .IdempotencyKey = Request.IdempotencyKey,
          .Offer = Offer,
          .PrefixHash = Request.PrefixHash,
          .Streaming = Request.Streaming};
}

RequestContext localContext(const peer::RelayStream &Stream, TimePoint Now) {
  const auto &From = Stream.context();
  RequestContext Out{.Id = From.RequestId,
                     .Workspace = From.Workspace,
                     .What = From.What,
                     .Method = From.Method,
                     .Path = From.Path,
                     .ContentType = From.ContentType,
                     .Body = Stream.body()};
  if (!From.Ticket.empty())
    Out.RunTicket = parseTicket(From.Ticket);
  Out.IdempotencyKey = From.IdempotencyKey;
  if (From.CostHint > 0)
    Out.CostHint = From.CostHint;
  Out.Deadline = Now + From.TimeLeft;
  Out.PrefixHash = From.PrefixHash;
  Out.Offer = From.Offer;
  Out.Streaming = From.Streaming;
  Out.Relayed = true;
  Out.AtHome = Stream.grant().has_value();
  Out.CallerGone = [&Stream] { return Stream.cancelled(); };
  return Out;
}

/// Sends the answer of a relayed request back over its relay.
class RelaySink final : public proxy::ResponseSink {
public:
  RelaySink(const Clock &Clk, peer::RelayStream &Stream, TimePoint Deadline)
      : m_clock(Clk), m_stream(Stream), m_deadline(Deadline) {}

  Result<void> begin(const proxy::ResponseHead &Head) override {
    m_started = true;
    return m_stream.head(static_cast<std::uint32_t>(Head.Status),
                         Head.ContentType, m_deadline);
  }
  Result<void> write(std::string_view Bytes) override {
    return m_stream.write(Bytes, m_deadline);
  }
  Result<void> finish() override {
    m_stream.end(std::nullopt, 0.0, m_clock.now() + EndTimeout);
    return {};
  }
  void abort(const Error &Failure) override {
    m_stream.end(Failure, 0.0, m_clock.now() + EndTimeout);
  }
  [[nodiscard]] bool started() const override { return m_started; }

private:
  const Clock &m_clock;
  peer::RelayStream &m_stream;
  const TimePoint m_deadline;
  bool m_started = false;
};

} // namespace

Result<void> RelaySender::relay(const DaemonName &Owner,
                                const RequestContext &Request,
                                std::uint64_t Offer,
                                proxy::ResponseSink &Sink) {
  BOOST_LEAF_AUTO(
      Reader, m_client.open(Owner, wireContext(Request, m_clock.now(), Offer),
                            Request.Body));
  const auto Failure = errorOf([&] { return pass(*Reader, Request, Sink); });
  if (!Failure)
    return {};
  if (m_refused && Failure->Kind == ErrorKind::RelayRefused)
    m_refused(Owner, Request.What);
  return fail(*Failure);
}

Result<void> RelaySender::forward(const DaemonName &To, const Ticket &Grant,
                                  const RequestContext &Request,
                                  proxy::ResponseSink &Sink) {
  BOOST_LEAF_AUTO(Reader, m_client.forward(
                              To, Grant, wireContext(Request, m_clock.now(), 0),
                              Request.Body));
  return pass(*Reader, Request, Sink);
}

Result<void> RelaySender::pass(peer::RelayReader &Reader,
                               const RequestContext &Request,
                               proxy::ResponseSink &Sink) {
  // Plain answers arrive whole before the first byte goes to the caller, so
  // that a lost relay does not leave a cut answer behind.
  const auto Failure = errorOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(Head, Reader.head(Request.Deadline));
    proxy::ResponseHead Out{.Status = static_cast<int>(Head.Status),
                            .ContentType = Head.ContentType};
    std::string Whole;
    if (Request.Streaming)
      BOOST_LEAF_CHECK(Sink.begin(Out));
    for (;;) {
      BOOST_LEAF_AUTO(Part, Reader.read(Request.Deadline));
      if (!Part)
        break;
      if (Request.Streaming)
        BOOST_LEAF_CHECK(Sink.write(*Part));
      else
        Whole += *Part;
    }
    if (!Request.Streaming) {
      Out.Length = Whole.size();
      BOOST_LEAF_CHECK(Sink.begin(Out));
      BOOST_LEAF_CHECK(Sink.write(Whole));
    }
    return Sink.finish();
  });
  if (!Failure)
    return {};
  Reader.cancel(std::string(answerFor(Failure->Kind).Name));
  return fail(*Failure);
}

RelayReceiver::RelayReceiver(const Clock &Clk, EventLog &Log,
                             const proxy::FilterChain &Chain, RelayHooks Hooks,
                             std::size_t MaxThreads)
    : m_clock(Clk), m_log(Log), m_chain(Chain), m_hooks(std::move(Hooks)),
      m_maxThreads(MaxThreads) {}

RelayReceiver::~RelayReceiver() { stop(); }

void RelayReceiver::accept(std::shared_ptr<peer::RelayStream> Stream) {
  const std::scoped_lock Lock(m_mutex);
  if (m_stopping)
    return;
  m_queue.push_back(std::move(Stream));
  if (m_idle < m_queue.size() && m_threads.size() < m_maxThreads)
    m_threads.emplace_back([this] { work(); });
  m_changed.notify_one();
}

void RelayReceiver::stop() {
  std::vector<std::thread> Threads;
  {
    const std::scoped_lock Lock(m_mutex);
    m_stopping = true;
    m_queue.clear();
    Threads.swap(m_threads);
    m_changed.notify_all();
  }
  for (auto &One : Threads)
    One.join();
}

void RelayReceiver::work() {
  std::unique_lock Lock(m_mutex);
  for (;;) {
    ++m_idle;
    m_changed.wait(Lock, [&] { return m_stopping || !m_queue.empty(); });
    --m_idle;
    if (m_stopping)
      return;
    const auto Stream = std::move(m_queue.front());
    m_queue.pop_front();
    Lock.unlock();
    run(*Stream);
    Lock.lock();
  }
}

void RelayReceiver::run(peer::RelayStream &Stream) {
  auto Request = localContext(Stream, m_clock.now());
  RelaySink Sink(m_clock, Stream, Request.Deadline);
  m_log.event("relay.received", {{"request", Request.Id},
                                 {"workspace", Request.Workspace},
                                 {"from", Stream.origin().Daemon}});
  const auto Failure = errorOf([&]() -> Result<void> {
    const auto Config = m_hooks.CurrentConfig();
    if (!Config)
      return fail(ErrorKind::NotReady, "no configuration yet");
    if (Request.Deadline <= m_clock.now())
      return fail(ErrorKind::DeadlinePassed, "deadline passed on the way");
    proxy::Exchange Current{Request, Sink, Config};
    return m_chain.run(Current);
  });
  if (Failure) {
    m_log.event("relay.failed",
                {{"request", Request.Id},
                 {"error", std::string(answerFor(Failure->Kind).Name)},
                 {"detail", Failure->Message}});
    Sink.abort(*Failure);
  }
  m_hooks.Ended(Request, Failure);
}

} // namespace nutmegdrift::daemon
