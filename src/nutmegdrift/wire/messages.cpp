#include "nutmegdrift/wire/messages.h"

#include "nutmegdrift/base/msgpack_reader.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <concepts>
#include <limits>
#include <tuple>
#include <type_traits>

namespace nutmegdrift::wire {

namespace {

using Json = nlohmann::json;

/// A message nests at most: message, entry list, entry, member.
constexpr std::size_t MaxDepth = 6;
/// Values in one message. Above what any message of MaxFrameBytes needs; keeps
/// a frame of one-byte values from growing to many times its size.
constexpr std::size_t MaxValues = std::size_t{1} << 18U;

/// Members in wire order, for each struct that travels.
template <class T> struct Members;

template <> struct Members<Target> {
  static constexpr std::tuple List{&Target::Type, &Target::Name};
};
template <> struct Members<Ticket> {
  static constexpr std::tuple List{&Ticket::Home, &Ticket::Boot,
                                   &Ticket::Sequence};
};
template <> struct Members<Hello> {
  static constexpr std::tuple List{&Hello::Daemon, &Hello::Boot, &Hello::Zone,
                                   &Hello::Protocol};
};
template <> struct Members<Heartbeat> {
  static constexpr std::tuple List{&Heartbeat::Renewal, &Heartbeat::State,
                                   &Heartbeat::Version};
};
template <> struct Members<LeaseAck> {
  static constexpr std::tuple List{&LeaseAck::Version, &LeaseAck::Renewal,
                                   &LeaseAck::Boot};
};
template <> struct Members<MemberAge> {
  static constexpr std::tuple List{&MemberAge::Daemon, &MemberAge::Age};
};
template <> struct Members<Beat> {
  static constexpr std::tuple List{&Beat::Seq, &Beat::ConfigVersion,
                                   &Beat::Ages};
};
template <> struct Members<BeatEcho> {
  static constexpr std::tuple List{&BeatEcho::Seq, &BeatEcho::Boot,
                                   &BeatEcho::PlatformUnreadable};
};
template <> struct Members<CounterEntry> {
  static constexpr std::tuple List{
      &CounterEntry::Number, &CounterEntry::Workspace, &CounterEntry::Service,
      &CounterEntry::Backlog};
};
template <> struct Members<Counters> {
  static constexpr std::tuple List{&Counters::What, &Counters::Free,
                                   &Counters::Credit, &Counters::Entries};
};
template <> struct Members<SlotOffer> {
  static constexpr std::tuple List{&SlotOffer::What, &SlotOffer::Slots,
                                   &SlotOffer::Workspace, &SlotOffer::ExpiresIn,
                                   &SlotOffer::Id};
};
template <> struct Members<RelayContext> {
  static constexpr std::tuple List{
      &RelayContext::RequestId, &RelayContext::Workspace,
      &RelayContext::What,      &RelayContext::Method,
      &RelayContext::Path,      &RelayContext::ContentType,
      &RelayContext::TimeLeft,  &RelayContext::CostHint,
      &RelayContext::Ticket,    &RelayContext::IdempotencyKey,
      &RelayContext::Offer,     &RelayContext::PrefixHash,
      &RelayContext::Streaming};
};
template <> struct Members<RelayRequest> {
  static constexpr std::tuple List{&RelayRequest::Id, &RelayRequest::Boot,
                                   &RelayRequest::Context, &RelayRequest::Body};
};
template <> struct Members<RelayHead> {
  static constexpr std::tuple List{&RelayHead::Id, &RelayHead::Boot,
                                   &RelayHead::Status, &RelayHead::ContentType};
};
template <> struct Members<RelayChunk> {
  static constexpr std::tuple List{&RelayChunk::Id, &RelayChunk::Boot,
                                   &RelayChunk::Seq, &RelayChunk::Bytes};
};
template <> struct Members<RelayEnd> {
  static constexpr std::tuple List{&RelayEnd::Id,      &RelayEnd::Boot,
                                   &RelayEnd::Chunks,  &RelayEnd::Failure,
                                   &RelayEnd::Message, &RelayEnd::RetryAfter,
                                   &RelayEnd::Cost};
};
template <> struct Members<RelayCredit> {
  static constexpr std::tuple List{&RelayCredit::Id, &RelayCredit::Boot,
                                   &RelayCredit::Bytes};
};
template <> struct Members<RelayCancel> {
  static constexpr std::tuple List{&RelayCancel::Id, &RelayCancel::Boot,
                                   &RelayCancel::Reason};
};
template <> struct Members<TicketForward> {
  static constexpr std::tuple List{
      &TicketForward::Id, &TicketForward::Boot, &TicketForward::Grant,
      &TicketForward::Context, &TicketForward::Body};
};
template <> struct Members<StoredAnswer> {
  static constexpr std::tuple List{&StoredAnswer::Status,
                                   &StoredAnswer::ContentType,
                                   &StoredAnswer::Body, &StoredAnswer::Failure};
};
template <> struct Members<TicketRange> {
  static constexpr std::tuple List{&TicketRange::First, &TicketRange::Count,
                                   &TicketRange::ExpiresIn};
};
template <> struct Members<TicketEntry> {
  static constexpr std::tuple List{&TicketEntry::Sequence, &TicketEntry::State,
                                   &TicketEntry::Fingerprint,
                                   &TicketEntry::Answer};
};
template <> struct Members<TicketTableHandover> {
  static constexpr std::tuple List{
      &TicketTableHandover::Home,         &TicketTableHandover::Boot,
      &TicketTableHandover::Successor,    &TicketTableHandover::SuccessorBoot,
      &TicketTableHandover::ExporterBoot, &TicketTableHandover::Part,
      &TicketTableHandover::Parts,        &TicketTableHandover::Ranges,
      &TicketTableHandover::Entries};
};
template <> struct Members<TicketHandoverAck> {
  static constexpr std::tuple List{&TicketHandoverAck::Home,
                                   &TicketHandoverAck::Boot,
                                   &TicketHandoverAck::Part};
};
template <> struct Members<Carry> {
  static constexpr std::tuple List{&Carry::Replica, &Carry::Epoch,
                                   &Carry::Running};
};
template <> struct Members<OwnershipHandover> {
  static constexpr std::tuple List{
      &OwnershipHandover::Replica, &OwnershipHandover::Epoch,
      &OwnershipHandover::Running, &OwnershipHandover::Boot,
      &OwnershipHandover::Factor,  &OwnershipHandover::Ack};
};
template <> struct Members<ConfigOffer> {
  static constexpr std::tuple List{&ConfigOffer::Version};
};
template <> struct Members<ConfigFetch> {
  static constexpr std::tuple List{&ConfigFetch::Version};
};
template <> struct Members<SuspectEntry> {
  static constexpr std::tuple List{&SuspectEntry::Fingerprint,
                                   &SuspectEntry::Crashes};
};
template <> struct Members<Suspects> {
  static constexpr std::tuple List{&Suspects::Entries};
};
template <> struct Members<TicketSuccessor> {
  static constexpr std::tuple List{&TicketSuccessor::Home,
                                   &TicketSuccessor::Boot,
                                   &TicketSuccessor::Successor};
};
template <> struct Members<ConfigBody> {
  static constexpr std::tuple List{&ConfigBody::Version, &ConfigBody::Document};
};
template <> struct Members<VersionSampleEntry> {
  static constexpr std::tuple List{&VersionSampleEntry::Plan,
                                   &VersionSampleEntry::Fresh,
                                   &VersionSampleEntry::Failed,
                                   &VersionSampleEntry::Cold,
                                   &VersionSampleEntry::FirstTokenMicros,
                                   &VersionSampleEntry::TokenGapMicros,
                                   &VersionSampleEntry::Age};
};
template <> struct Members<RouteDispatches> {
  static constexpr std::tuple List{&RouteDispatches::Plan,
                                   &RouteDispatches::Count};
};
template <> struct Members<VersionSamples> {
  static constexpr std::tuple List{
      &VersionSamples::What, &VersionSamples::ServesFresh,
      &VersionSamples::Routes, &VersionSamples::Entries};
};
template <> struct Members<RouteShare> {
  static constexpr std::tuple List{&RouteShare::Plan, &RouteShare::Share,
                                   &RouteShare::Elsewhere};
};
template <> struct Members<ReplicaLoad> {
  static constexpr std::tuple List{&ReplicaLoad::Replica,
                                   &ReplicaLoad::Version};
};
template <> struct Members<VersionShares> {
  static constexpr std::tuple List{
      &VersionShares::What,       &VersionShares::Order,
      &VersionShares::Fence,      &VersionShares::Version,
      &VersionShares::Phase,      &VersionShares::Reason,
      &VersionShares::OtherShare, &VersionShares::Routes,
      &VersionShares::Loads};
};

/// Last value of each enumeration that travels as a number.
template <class E> constexpr E LastOf = E{};
template <> constexpr Target::Kind LastOf<Target::Kind> = Target::Kind::Service;
template <> constexpr MemberState LastOf<MemberState> = MemberState::Leaving;
template <> constexpr TicketState LastOf<TicketState> = TicketState::Unknown;

// Encoding.

template <class T> Json toJson(const T &Value);

template <class T> Json toJson(const std::vector<T> &Values) {
  auto Out = Json::array();
  for (const auto &Value : Values)
    Out.push_back(toJson(Value));
  return Out;
}

template <class T> void appendMembers(Json &Out, const T &Value) {
  std::apply(
      [&](auto... Member) { (Out.push_back(toJson(Value.*Member)), ...); },
      Members<T>::List);
}

template <class T> Json toJson(const T &Value) {
  if constexpr (std::is_same_v<T, Millis>) {
    return Value.count();
  } else if constexpr (std::is_same_v<T, std::optional<ErrorKind>>) {
    // By stable name: the numbers of ErrorKind differ between versions.
    return Value ? std::string(answerFor(*Value).Name) : std::string();
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<std::uint32_t>(Value);
  } else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    return Value;
  } else {
    auto Out = Json::array();
    appendMembers(Out, Value);
    return Out;
  }
}

// Decoding. Each function returns false for a value of the wrong type.

bool read(const Json &From, std::string &To) {
  if (!From.is_string())
    return false;
  To = From.get_ref<const std::string &>();
  return true;
}

bool read(const Json &From, bool &To) {
  if (!From.is_boolean())
    return false;
  To = From.get<bool>();
  return true;
}

template <std::unsigned_integral T> bool read(const Json &From, T &To) {
  if (!From.is_number_unsigned())
    return false;
  const auto Value = From.get<std::uint64_t>();
  if (Value > std::numeric_limits<T>::max())
    return false;
  To = static_cast<T>(Value);
  return true;
}

bool read(const Json &From, double &To) {
  if (!From.is_number())
    return false;
  To = From.get<double>();
  // A NaN or infinity would spoil every sum it is merged into.
  return std::isfinite(To);
}

bool read(const Json &From, Millis &To) {
  // Bounds the value so that conversion to nanoseconds cannot overflow.
  constexpr std::int64_t Longest = 1'000'000'000'000;
  if (!From.is_number_integer())
    return false;
  if (From.is_number_unsigned() && From.get<std::uint64_t>() > Longest)
    return false;
  To = Millis(From.get<std::int64_t>());
  return To >= Millis(-Longest);
}

bool read(const Json &From, std::optional<ErrorKind> &To) {
  if (!From.is_string())
    return false;
  const auto &Name = From.get_ref<const std::string &>();
  To = parseErrorKind(Name);
  return Name.empty() || To.has_value();
}

template <class E>
requires std::is_enum_v<E>
bool read(const Json &From, E &To) {
  std::uint32_t Number = 0;
  if (!read(From, Number) || Number > static_cast<std::uint32_t>(LastOf<E>))
    return false;
  To = static_cast<E>(Number);
  return true;
}

template <class T>
bool readMembers(const Json &From, std::size_t Offset, T &To);

template <class T>
requires requires { Members<T>::List; }
bool read(const Json &From, T &To) { return readMembers(From, 0, To); }

template <class T> bool read(const Json &From, std::vector<T> &To) {
  if (!From.is_array())
    return false;
  To.resize(From.size());
  for (std::size_t I = 0; I < To.size(); ++I)
    if (!read(From[I], To[I]))
      return false;
  return true;
}

template <class T>
bool readMembers(const Json &From, std::size_t Offset, T &To) {
  constexpr auto Count = std::tuple_size_v<decltype(Members<T>::List)>;
  if (!From.is_array() || From.size() != Offset + Count)
    return false;
  return std::apply(
      [&](auto... Member) { return (read(From[Offset++], To.*Member) && ...); },
      Members<T>::List);
}

constexpr std::size_t HeaderValues = 2; ///< Type and schema version.

template <std::size_t Type> bool readAs(const Json &From, Message &To) {
  std::variant_alternative_t<Type, Message> Value;
  if (!readMembers(From, HeaderValues, Value))
    return false;
  To = std::move(Value);
  return true;
}

using ReadFunction = bool (*)(const Json &, Message &);

template <std::size_t... Types>
constexpr auto readersFor(std::index_sequence<Types...> /*List*/) {
  return std::array<ReadFunction, sizeof...(Types)>{&readAs<Types>...};
}

constexpr auto Readers = readersFor(std::make_index_sequence<MessageTypes>());

bool readMessage(const Json &From, Message &To) {
  std::uint32_t Type = 0;
  std::uint32_t Schema = 0;
  return From.is_array() && From.size() >= HeaderValues &&
         read(From[0], Type) && Type < MessageTypes && read(From[1], Schema) &&
         Schema == SchemaVersion && Readers.at(Type)(From, To);
}

constexpr std::array<std::string_view, MessageTypes> Names{
    "hello",
    "heartbeat",
    "lease-ack",
    "beat",
    "beat-echo",
    "counters",
    "slot-offer",
    "relay-request",
    "relay-head",
    "relay-chunk",
    "relay-end",
    "relay-credit",
    "relay-cancel",
    "ticket-forward",
    "ticket-table-handover",
    "ticket-handover-ack",
    "carry",
    "ownership-handover",
    "config-offer",
    "config-fetch",
    "config-body",
    "suspects",
    "ticket-successor",
    "version-samples",
    "version-shares"};

constexpr unsigned BitsPerByte = 8;

std::size_t readLength(std::string_view Prefix) {
  std::size_t Length = 0;
  for (const char Byte : Prefix)
    Length = Length << BitsPerByte | static_cast<unsigned char>(Byte);
  return Length;
}

} // namespace

std::string_view messageName(std::size_t Type) { return Names.at(Type); }

bool isRelayed(std::size_t Type) {
  return Names.at(Type).starts_with("relay-") ||
         Names.at(Type) == "ticket-forward";
}

std::string encode(const Message &Value) {
  auto Out = Json::array({Value.index(), SchemaVersion});
  std::visit([&](const auto &Typed) { appendMembers(Out, Typed); }, Value);
  std::string Bytes;
  Json::to_msgpack(Out, Bytes);
  return Bytes;
}

Result<Message> decode(std::string_view Payload) {
  if (Payload.size() > MaxFrameBytes)
    return fail(ErrorKind::BadFrame, "payload is above the size limit");
  const auto Read =
      readMsgpack(Payload, {.MaxDepth = MaxDepth, .MaxValues = MaxValues});
  if (!Read)
    return fail(ErrorKind::BadFrame, "payload is not a msgpack message");
  Message Out;
  if (!readMessage(*Read, Out))
    return fail(ErrorKind::BadFrame, "payload does not fit the schema");
  return Out;
}

Result<std::string> frame(std::string_view Payload) {
  if (Payload.size() > MaxFrameBytes)
    return fail(ErrorKind::BadFrame, "message of " +
                                         std::to_string(Payload.size()) +
                                         " bytes is above the frame limit");
  std::string Out;
  Out.reserve(FramePrefixBytes + Payload.size());
  for (std::size_t I = FramePrefixBytes; I-- > 0;)
    Out.push_back(static_cast<char>(Payload.size() >> (I * BitsPerByte)));
  return Out.append(Payload);
}

void FrameReader::append(std::string_view Bytes) {
  m_bytes.erase(0, m_position);
  m_position = 0;
  m_bytes.append(Bytes);
}

Result<std::optional<std::string>> FrameReader::next() {
  const auto Rest = std::string_view(m_bytes).substr(m_position);
  if (Rest.size() < FramePrefixBytes)
    return std::optional<std::string>();
  const auto Length = readLength(Rest.substr(0, FramePrefixBytes));
  if (Length > MaxFrameBytes)
    return fail(ErrorKind::BadFrame, "announced length " +
                                         std::to_string(Length) +
                                         " is above the frame limit");
  if (Rest.size() < FramePrefixBytes + Length)
    return std::optional<std::string>();
  m_position += FramePrefixBytes + Length;
  return std::optional<std::string>(Rest.substr(FramePrefixBytes, Length));
}

} // namespace nutmegdrift::wire
