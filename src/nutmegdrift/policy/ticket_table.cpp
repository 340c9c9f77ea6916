#include "nutmegdrift/policy/ticket_table.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace nutmegdrift::policy {

namespace {

using wire::TicketState;

/// Bytes of entries in one hand-over part, which leaves room for its other
/// fields in a frame.
constexpr std::size_t PartBytes = wire::MaxFrameBytes / 2;
constexpr auto MaxSequence = std::numeric_limits<std::uint64_t>::max();
/// Parts of one export. Bounds the memory that a malformed count can take.
constexpr std::uint32_t MaxParts = 4096;
/// Upper bound of the wire size of a range, or of an entry without its answer.
constexpr std::size_t RecordBytes = 64;

std::size_t answerSize(const wire::StoredAnswer &Answer) {
  return Answer.Body.size() + Answer.ContentType.size();
}

/// Replaces an answer that is not stored; says that the request ran.
wire::StoredAnswer omittedAnswer() {
  constexpr auto Kind = ErrorKind::AnswerTooLarge;
  return {static_cast<std::uint32_t>(answerFor(Kind).HttpStatus), "", "", Kind};
}

wire::Millis until(TimePoint Expiry, TimePoint Now) {
  return std::chrono::duration_cast<wire::Millis>(Expiry - Now);
}

} // namespace

TicketTable::TicketTable(DaemonName Self, BootId Boot, const Clock &Clk,
                         TicketTableOptions Options)
    : m_self(std::move(Self)), m_boot(Boot), m_clock(Clk), m_options(Options) {
  m_sections[{m_self, m_boot}] = Section{};
}

Result<wire::TicketRange> TicketTable::grant(std::uint64_t Count) {
  if (m_successor)
    return fail(ErrorKind::Draining, "the ticket table was handed over");
  if (Count == 0)
    return fail(ErrorKind::MalformedRequest,
                "the requested number of tickets is 0");
  expire();
  const auto Used = m_size;
  if (Used > m_options.MaxTickets || Count > m_options.MaxTickets - Used)
    return fail(ErrorKind::TicketTableFull,
                std::to_string(Used) + " tickets are granted");
  auto &Local = m_sections[{m_self, m_boot}];
  const Range Granted{Local.NextSequence, Count,
                      m_clock.now() + m_options.Lifetime};
  Local.Ranges[Granted.First] = Granted;
  Local.NextSequence += Count;
  m_size += Count;
  return wire::TicketRange{
      Granted.First, Count,
      std::chrono::duration_cast<wire::Millis>(m_options.Lifetime)};
}

bool TicketTable::answersFor(const DaemonName &Home, BootId Boot) const {
  const auto Match = m_sections.find({Home, Boot});
  return Match != m_sections.end() && Match->second.MissingParts.empty();
}

TicketTable::Section *TicketTable::findSection(const Ticket &Value) {
  const auto Match = m_sections.find({Value.Home, Value.Boot});
  return Match == m_sections.end() ? nullptr : &Match->second;
}

const TicketTable::Range *TicketTable::findRange(const Section &Tickets,
                                                 std::uint64_t Sequence) {
  auto After = Tickets.Ranges.upper_bound(Sequence);
  if (After == Tickets.Ranges.begin())
    return nullptr;
  const auto &Candidate = std::prev(After)->second;
  return Sequence - Candidate.First < Candidate.Count ? &Candidate : nullptr;
}

void TicketTable::expireSection(Section &Tickets, TimePoint Now) {
  // Ranges are granted in order with the same lifetime, so the first to expire
  // is the first in the map.
  while (!Tickets.Ranges.empty() &&
         Tickets.Ranges.begin()->second.Expiry <= Now) {
    const auto Expired = Tickets.Ranges.begin()->second;
    // A ticket without a range never starts, so its entry is not needed.
    Tickets.Entries.erase(
        Tickets.Entries.lower_bound(Expired.First),
        Tickets.Entries.lower_bound(Expired.First + Expired.Count));
    Tickets.Ranges.erase(Tickets.Ranges.begin());
    m_size -= Expired.Count;
  }
}

void TicketTable::expire() {
  const auto Now = m_clock.now();
  for (auto &[Key, Tickets] : m_sections)
    expireSection(Tickets, Now);
  evictAnswers();
}

Result<void> TicketTable::checkStartable(const Section &Tickets,
                                         const Ticket &Value) const {
  const bool Local = Value.Home == m_self && Value.Boot == m_boot;
  if (Local && Value.Sequence >= Tickets.NextSequence)
    return fail(ErrorKind::TicketInvalid,
                "ticket " + toString(Value) + " was never granted");
  const auto *Granted = findRange(Tickets, Value.Sequence);
  if (!Granted || Granted->Expiry <= m_clock.now())
    return fail(ErrorKind::TicketOutcomeUnknown,
                "ticket " + toString(Value) + " has expired");
  if (!Tickets.MissingParts.empty())
    return fail(ErrorKind::TicketOutcomeUnknown,
                "the hand-over of " + Value.Home + " is incomplete");
  return {};
}

Result<TicketStart> TicketTable::start(const Ticket &Value,
                                       std::uint64_t Fingerprint) {
  auto *Tickets = findSection(Value);
  if (!Tickets)
    return fail(ErrorKind::TicketOutcomeUnknown,
                "ticket " + toString(Value) +
                    " belongs to another daemon or boot");
  BOOST_LEAF_CHECK(checkStartable(*Tickets, Value));
  return startIn(*Tickets, Value, Fingerprint);
}

Result<TicketStart> TicketTable::startIn(Section &Tickets, const Ticket &Value,
                                         std::uint64_t Fingerprint) {
  const auto Match = Tickets.Entries.find(Value.Sequence);
  if (Match == Tickets.Entries.end()) {
    if (m_successor)
      return fail(ErrorKind::TicketOutcomeUnknown,
                  "the ticket table was handed over to " + m_successor->first);
    Tickets.Entries[Value.Sequence] = {TicketState::Running, Fingerprint, {}};
    return TicketStart{};
  }
  const auto &Stored = Match->second;
  if (Stored.State == TicketState::Unknown)
    return fail(ErrorKind::TicketOutcomeUnknown,
                "ticket " + toString(Value) + " may have run");
  if (Stored.Fingerprint != Fingerprint)
    return fail(ErrorKind::TicketInvalid,
                "ticket " + toString(Value) + " was used for another request");
  if (Stored.State == TicketState::Running)
    return TicketStart{TicketDecision::Join, {}};
  return TicketStart{TicketDecision::Replay, Stored.Answer};
}

TicketTable::Entry *TicketTable::runningEntry(const Ticket &Value) {
  auto *Tickets = findSection(Value);
  if (!Tickets)
    return nullptr;
  const auto Match = Tickets->Entries.find(Value.Sequence);
  if (Match == Tickets->Entries.end() ||
      Match->second.State != TicketState::Running)
    return nullptr;
  return &Match->second;
}

void TicketTable::finish(const Ticket &Value, wire::StoredAnswer Answer) {
  if (auto *Running = runningEntry(Value))
    storeAnswer(Value, *Running, std::move(Answer));
}

void TicketTable::storeAnswer(const Ticket &Value, Entry &Stored,
                              wire::StoredAnswer Answer) {
  const auto Size = answerSize(Answer);
  Stored.State = TicketState::Done;
  if (Size > m_options.MaxBytesPerAnswer || Size > m_options.MaxStoredBytes) {
    Stored.Answer = omittedAnswer();
    return;
  }
  Stored.Answer = std::move(Answer);
  m_answers.emplace_back(Value, Size);
  m_answerBytes += Size;
  evictAnswers();
}

void TicketTable::evictAnswers() {
  const auto FindEntry = [&](const Ticket &Value) -> Entry * {
    auto *Tickets = findSection(Value);
    if (!Tickets)
      return nullptr;
    const auto Match = Tickets->Entries.find(Value.Sequence);
    return Match == Tickets->Entries.end() ? nullptr : &Match->second;
  };
  while (!m_answers.empty()) {
    auto *Oldest = FindEntry(m_answers.front().first);
    if (Oldest && m_answerBytes <= m_options.MaxStoredBytes)
      return;
    if (Oldest)
      Oldest->Answer = omittedAnswer();
    m_answerBytes -= m_answers.front().second;
    m_answers.pop_front();
  }
}

void TicketTable::release(const Ticket &Value) {
  auto *Running = runningEntry(Value);
  if (!Running)
    return;
  // The exported entry may already have told the successor that it runs.
  if (m_successor)
    Running->State = TicketState::Unknown;
  else
    findSection(Value)->Entries.erase(Value.Sequence);
}

std::vector<wire::TicketTableHandover>
TicketTable::exportTo(const DaemonName &Successor, BootId SuccessorBoot) {
  expire();
  const BootKey SuccessorKey{Successor, SuccessorBoot};
  if (!m_successor)
    m_successor = SuccessorKey;
  const auto [Match, IsNew] = m_exports.try_emplace(SuccessorKey);
  if (IsNew)
    Match->second = makeParts(SuccessorKey, SuccessorKey != *m_successor);
  return Match->second;
}

TicketTable::Parts TicketTable::makeParts(const BootKey &SuccessorKey,
                                          bool StartedOnly) const {
  Parts Out;
  for (const auto &[Key, Tickets] : m_sections) {
    if (!Tickets.MissingParts.empty())
      continue; // Incomplete import: its tickets keep an unknown outcome.
    for (auto &Part : exportSection(Tickets, StartedOnly)) {
      std::tie(Part.Home, Part.Boot) = Key;
      std::tie(Part.Successor, Part.SuccessorBoot) = SuccessorKey;
      Part.ExporterBoot = m_boot;
      Out.push_back(std::move(Part));
    }
  }
  return Out;
}

std::vector<wire::TicketRange>
TicketTable::rangesToExport(const Section &Tickets, bool StartedOnly) const {
  const auto Now = m_clock.now();
  std::vector<wire::TicketRange> Out;
  if (!StartedOnly)
    for (const auto &[First, Granted] : Tickets.Ranges)
      Out.push_back({First, Granted.Count, until(Granted.Expiry, Now)});
  else
    for (const auto &[Sequence, Stored] : Tickets.Entries)
      if (const auto *Granted = findRange(Tickets, Sequence))
        Out.push_back({Sequence, 1, until(Granted->Expiry, Now)});
  return Out;
}

TicketTable::Parts TicketTable::exportSection(const Section &Tickets,
                                              bool StartedOnly) const {
  Parts Out(1);
  std::size_t Bytes = 0;
  const auto PartWithRoom =
      [&](std::size_t Size) -> wire::TicketTableHandover & {
    Bytes += Size;
    if (Bytes > PartBytes) {
      Out.emplace_back();
      Bytes = Size;
    }
    return Out.back();
  };
  for (const auto &Granted : rangesToExport(Tickets, StartedOnly))
    PartWithRoom(RecordBytes).Ranges.push_back(Granted);
  for (const auto &[Sequence, Stored] : Tickets.Entries)
    PartWithRoom(RecordBytes + answerSize(Stored.Answer))
        .Entries.push_back(
            {Sequence, Stored.State, Stored.Fingerprint, Stored.Answer});
  for (std::size_t I = 0; I < Out.size(); ++I) {
    Out[I].Part = static_cast<std::uint32_t>(I);
    Out[I].Parts = static_cast<std::uint32_t>(Out.size());
  }
  return Out;
}

Result<TicketTable::Section *>
TicketTable::sectionFor(const wire::TicketTableHandover &Part) {
  if (Part.Part >= Part.Parts || Part.Parts > MaxParts)
    return fail(ErrorKind::InvalidDocument, "part number is out of range");
  const auto [Match, IsNew] = m_sections.try_emplace({Part.Home, Part.Boot});
  auto &Imported = Match->second;
  if (IsNew) {
    Imported.Parts = Part.Parts;
    Imported.ExporterBoot = Part.ExporterBoot;
    for (std::uint32_t I = 0; I < Part.Parts; ++I)
      Imported.MissingParts.insert(I);
  }
  if (Imported.Parts != Part.Parts ||
      Imported.ExporterBoot != Part.ExporterBoot)
    return fail(ErrorKind::Conflict,
                "another export of " + Part.Home + " was imported before");
  return &Imported;
}

Result<wire::TicketHandoverAck>
TicketTable::import(const wire::TicketTableHandover &Part) {
  if (Part.Successor != m_self || Part.SuccessorBoot != m_boot)
    return fail(ErrorKind::Conflict, "the hand-over of " + Part.Home +
                                         " is for another daemon or boot");
  if (m_successor || (Part.Home == m_self && Part.Boot == m_boot))
    return fail(ErrorKind::Conflict,
                "this daemon cannot import a ticket table");
  for (const auto &Value : Part.Ranges)
    if (Value.Count == 0 || Value.Count > m_options.MaxTickets ||
        Value.First > MaxSequence - Value.Count)
      return fail(ErrorKind::InvalidDocument, "ticket range is out of bounds");
  BOOST_LEAF_AUTO(Imported, sectionFor(Part));
  if (Imported->MissingParts.erase(Part.Part) > 0) {
    importRanges(*Imported, Part.Ranges);
    for (const auto &Value : Part.Entries)
      importEntry(*Imported, {Part.Home, Part.Boot}, Value);
  }
  return wire::TicketHandoverAck{Part.Home, Part.Boot, Part.Part};
}

void TicketTable::importRanges(Section &Tickets,
                               const std::vector<wire::TicketRange> &Ranges) {
  for (const auto &Value : Ranges) {
    const Range Granted{Value.First, Value.Count,
                        m_clock.now() + std::min<Duration>(Value.ExpiresIn,
                                                           m_options.Lifetime)};
    if (Tickets.Ranges.try_emplace(Value.First, Granted).second)
      m_size += Value.Count;
  }
}

void TicketTable::importEntry(Section &Tickets, const BootKey &Key,
                              const wire::TicketEntry &Value) {
  auto &Stored = Tickets.Entries[Value.Sequence];
  Stored.Fingerprint = Value.Fingerprint;
  Stored.State = TicketState::Unknown;
  if (Value.State == TicketState::Done)
    storeAnswer({Key.first, Key.second, Value.Sequence}, Stored, Value.Answer);
}

} // namespace nutmegdrift::policy
