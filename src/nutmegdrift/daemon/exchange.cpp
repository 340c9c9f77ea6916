#include "nutmegdrift/daemon/exchange.h"

namespace nutmegdrift::daemon {

namespace {
/// Workspaces that one peer may number, which bounds the memory for its names.
constexpr std::uint32_t MaxWorkspaceNumbers = 65'536;
} // namespace

Exchange::Exchange(peer::PeerNetwork &Network, proxy::Admission &Slots,
                   Directory &Known)
    : m_network(Network), m_slots(Slots), m_directory(Known) {}

void Exchange::tick() {
  for (const auto &One : m_slots.figures()) {
    const auto Owners = m_directory.otherOwners(One.What);
    const auto Spare = m_slots.splitSpare(One.What, Owners.size());
    for (std::size_t I = 0; I < Owners.size(); ++I)
      sendChanges(One.What, Owners[I], Spare[I]);
  }
}

void Exchange::tell(const Target &What, const std::vector<DaemonName> &Peers) {
  for (const auto &Peer : Peers)
    sendChanges(What, Peer, {});
}

wire::Counters
Exchange::message(const Target &What, const Sent &Before,
                  policy::SpareSlots Spare,
                  const std::vector<policy::CounterEntry> &Entries) {
  wire::Counters Out{
      .What = What, .Free = Spare.Free, .Credit = Spare.Credit, .Entries = {}};
  for (const auto &Entry : Entries) {
    const auto Next = static_cast<std::uint32_t>(m_numbers.size());
    const auto Number = m_numbers.try_emplace(Entry.Workspace, Next).first;
    const bool Known = Before.Named.contains(Number->second);
    Out.Entries.push_back({.Number = Number->second,
                           .Workspace = Known ? std::string() : Entry.Workspace,
                           .Service = Entry.Service,
                           .Backlog = Entry.Backlog});
  }
  return Out;
}

void Exchange::sendChanges(const Target &What, const DaemonName &To,
                           policy::SpareSlots Spare) {
  const std::scoped_lock Lock(m_sendMutex);
  auto &Before = m_sent[{What, To}];
  const auto Changes = m_slots.changesSince(What, Before.Cursor);
  if (Changes.Entries.empty() && Spare.Free == 0 && !Before.Free)
    return;
  const auto Out = message(What, Before, Spare, Changes.Entries);
  const auto Connection = capture([&] { return m_network.send(To, Out); });
  if (!Connection)
    return;
  if (Before.Connection != *Connection) {
    Before = {.Connection = *Connection};
    return;
  }
  Before.Cursor = Changes.Cursor;
  Before.Free = Spare.Free > 0;
  for (const auto &Entry : Out.Entries)
    Before.Named.insert(Entry.Number);
}

std::vector<policy::CounterEntry>
Exchange::resolve(const peer::PeerOrigin &From, const wire::Counters &Message) {
  const std::scoped_lock Lock(m_mutex);
  auto &Names = m_names[From.Daemon];
  if (Names.Boot != From.Boot)
    Names = {.Boot = From.Boot, .ByNumber = {}};
  std::vector<policy::CounterEntry> Out;
  for (const auto &Entry : Message.Entries) {
    if (!Entry.Workspace.empty() && Entry.Number < MaxWorkspaceNumbers)
      Names.ByNumber[Entry.Number] = Entry.Workspace;
    const auto Name = Names.ByNumber.find(Entry.Number);
    if (Name == Names.ByNumber.end())
      continue;
    Out.push_back({.Daemon = From.Daemon,
                   .Boot = From.Boot,
                   .ServedTarget = Message.What,
                   .Workspace = Name->second,
                   .Service = Entry.Service,
                   .Backlog = Entry.Backlog});
  }
  return Out;
}

void Exchange::onCounters(const peer::PeerOrigin &From,
                          const wire::Counters &Message) {
  const auto Entries = resolve(From, Message);
  noteBacklog(From.Daemon, Message.What, Entries);
  m_slots.setPeerSpare(Message.What, From.Daemon,
                       {Message.Free, Message.Credit});
  m_slots.merge(Message.What, Entries);
}

/// Messages carry changed entries only, so the sum is kept by workspace.
void Exchange::noteBacklog(const DaemonName &From, const Target &What,
                           const std::vector<policy::CounterEntry> &Entries) {
  const std::scoped_lock Lock(m_mutex);
  auto &ByWorkspace = m_backlogs[{What, From}];
  for (const auto &Entry : Entries)
    ByWorkspace[Entry.Workspace] = Entry.Backlog;
  std::uint64_t Queued = 0;
  for (const auto &[Workspace, Backlog] : ByWorkspace)
    Queued += Backlog;
  m_directory.setLoad(From, What, {.Queued = Queued});
}

void Exchange::onOffer(const DaemonName &From, const wire::SlotOffer &Message) {
  if (Message.Slots == 0)
    m_slots.onDecline(Message.What, Message.Id);
  else
    m_slots.onOffer(From, Message.What, Message.Id, Message.Workspace);
}

void Exchange::sendOffer(const Target &What, const policy::SlotOffer &Offer) {
  const auto Sent = capture([&] {
    return m_network.send(Offer.Receiver,
                          wire::SlotOffer{.What = What,
                                          .Slots = 1,
                                          .Workspace = Offer.Workspace,
                                          .Id = Offer.Id});
  });
  if (!Sent)
    m_slots.onDecline(What, Offer.Id);
}

void Exchange::declineOffer(const DaemonName &To, const Target &What,
                            policy::OfferId Offer) {
  (void)errorOf([&] {
    return m_network.send(
        To, wire::SlotOffer{
                .What = What, .Slots = 0, .Workspace = {}, .Id = Offer});
  });
}

} // namespace nutmegdrift::daemon
