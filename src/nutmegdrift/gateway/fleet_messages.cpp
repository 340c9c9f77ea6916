// Encoding of the messages between daemons as msgpack arrays.
#include "nutmegdrift/gateway/fleet_messages.h"

#include "nutmegdrift/base/msgpack_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace nutmegdrift::gateway {

namespace {

using nlohmann::json;

/// Incremented when the format of any message changes.
constexpr int FormatVersion = 3;
/// First byte of usage counts. It is no msgpack array, so that daemons of
/// versions without usage counts drop them.
constexpr char UsageTag = 'U';
constexpr int UsageFormatVersion = 1;
/// Wall times of other daemons are limited to the year 2200, so that times
/// computed from them can't overflow.
constexpr std::int64_t MaxWallMicros = 7'258'118'400'000'000;
/// Larger frames are malformed.
constexpr std::size_t MaxFrameBytes = std::size_t{1} << 20U;
constexpr std::size_t LengthBytes = 4;
/// A daemon with a longer interval of heartbeats would not be found to be lost.
constexpr Milliseconds MinInterval{100};
constexpr Milliseconds MaxInterval{30000};

json toJson(const HostPort &Address) {
  return json::array({Address.Host, Address.Port});
}

HostPort decodeHostPort(const json &Value) {
  return {.Host = Value.at(0).get<std::string>(),
          .Port = Value.at(1).get<std::uint16_t>()};
}

/// A length of time of another daemon, limited so that times computed from it
/// can't overflow.
Milliseconds decodeTime(const json &Value) {
  constexpr Milliseconds MaxTime = std::chrono::hours(365 * 24);
  return std::clamp(Milliseconds(Value.get<std::int64_t>()), -MaxTime, MaxTime);
}

json toJson(const std::vector<routing::PromptPart> &Prompt) {
  json Out = json::array();
  for (const routing::PromptPart &Part : Prompt) {
    Out.push_back(Part.Id);
    Out.push_back(Part.Tokens);
  }
  return Out;
}

std::vector<routing::PromptPart> decodePromptParts(const json &Value) {
  std::vector<routing::PromptPart> Out;
  for (std::size_t I = 0; I + 1 < Value.size(); I += 2)
    Out.push_back({.Id = Value[I].get<std::uint64_t>(),
                   .Tokens = Value[I + 1].get<std::uint32_t>()});
  return Out;
}

json toJson(const RolloutOutcome &Outcome) {
  const policy::VersionSample &Sample = Outcome.Sample;
  const auto Micros = [](Duration Time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
  };
  return json::array({Outcome.Service, Outcome.Version, Sample.Route,
                      Sample.FromNewVersion, Sample.Failed, Sample.Cold,
                      Micros(Sample.FirstToken), Micros(Sample.TokenGap),
                      Sample.PaceOnly, Sample.WaitOnly, Sample.WaitReported});
}

/// A field that older senders leave out.
template <class T> T optionalField(const json &V, std::size_t Index) {
  return Index < V.size() ? V.at(Index).get<T>() : T();
}

RolloutOutcome decodeRolloutOutcome(const json &V) {
  const auto Time = [&](std::size_t Index) {
    constexpr std::chrono::microseconds MaxTime = std::chrono::hours(24);
    return std::clamp(
        std::chrono::microseconds(V.at(Index).get<std::int64_t>()), -MaxTime,
        MaxTime);
  };
  return {.Service = V.at(0).get<std::string>(),
          .Version = V.at(1).get<std::string>(),
          .Sample = {.Route = V.at(2).get<std::string>(),
                     .FromNewVersion = V.at(3).get<bool>(),
                     .Failed = V.at(4).get<bool>(),
                     .Cold = V.at(5).get<bool>(),
                     .FirstToken = Time(6),
                     .TokenGap = Time(7),
                     .CompletedAt = {},
                     .PaceOnly = optionalField<bool>(V, 8),
                     .WaitOnly = optionalField<bool>(V, 9),
                     .WaitReported = optionalField<bool>(V, 10)}};
}

policy::StoreContact decodeContact(int Value) {
  if (Value < 0 || Value > static_cast<int>(policy::StoreContact::Lost))
    throw std::out_of_range("contact");
  return static_cast<policy::StoreContact>(Value);
}

RolloutStatus decodeRolloutStatus(const json &V) {
  const int Stage = V.at(2).get<int>();
  if (Stage < 0 || Stage > static_cast<int>(RolloutStage::RolledBack))
    throw std::out_of_range("stage");
  const int Verdict = optionalField<int>(V, 6);
  if (Verdict < 0 || Verdict > static_cast<int>(TrialVerdict::Proven))
    throw std::out_of_range("verdict");
  return {.Service = V.at(0).get<std::string>(),
          .Version = V.at(1).get<std::string>(),
          .Stage = static_cast<RolloutStage>(Stage),
          .Elapsed = decodeTime(V.at(3)),
          .Sent = {.All = optionalField<std::uint64_t>(V, 4),
                   .New = optionalField<std::uint64_t>(V, 5)},
          .Verdict = static_cast<TrialVerdict>(Verdict)};
}

// Fields appended to a message are optional for its receiver, and older
// receivers ignore them, so that daemons of two versions understand each other
// during an upgrade.
struct MessageEncoder {
  json operator()(const PlaceRequest &M) const {
    json Out = json::array();
    Out = {0,
           M.Sequence,
           M.Service,
           M.Workspace,
           toJson(M.Prompt),
           M.PromptTokens,
           M.OutputTokens,
           M.Age.count(),
           M.Target.count(),
           M.RemainingWait.count(),
           M.Tried,
           M.RunningOn,
           M.Started,
           M.Repeated,
           M.ReportDelay.count(),
           M.Sender};
    return Out;
  }
  json operator()(const WithdrawRequest &M) const {
    return json::array({1, M.Sequence});
  }
  json operator()(const StartedReport &M) const {
    json Out = json::array({2, M.Sequence, M.TimeToFirstEvent.count()});
    if (M.RateLimit)
      Out.push_back(*M.RateLimit);
    return Out;
  }
  json operator()(const EndedReport &M) const {
    json Out = json::array({3, M.Sequence, static_cast<int>(M.Outcome)});
    if (M.Crash)
      Out.push_back(json::array({M.Crash->Service, M.Crash->Replica,
                                 M.Crash->Parts, M.Crash->SentAgo.count()}));
    else if (M.RateLimit)
      Out.push_back(nullptr);
    if (M.RateLimit)
      Out.push_back(*M.RateLimit);
    return Out;
  }
  json operator()(const PlaceGrant &M) const {
    return json::array({4, M.Sequence, M.Replica, M.FetchFrom});
  }
  json operator()(const PlaceRefusal &M) const {
    return json::array(
        {5, M.Sequence, M.RetryAfter.count(), M.PredictedFirstToken.count()});
  }
  json operator()(const DispatcherKeepAlive &) const {
    return json::array({6});
  }
};

PlaceRequest decodePlaceRequest(const json &V) {
  return {.Sequence = V.at(1).get<std::uint64_t>(),
          .Service = V.at(2).get<std::string>(),
          .Workspace = V.at(3).get<std::string>(),
          .Prompt = decodePromptParts(V.at(4)),
          .PromptTokens = V.at(5).get<std::uint32_t>(),
          .OutputTokens = V.at(6).get<std::uint32_t>(),
          .Age = decodeTime(V.at(7)),
          .Target = decodeTime(V.at(8)),
          .RemainingWait = decodeTime(V.at(9)),
          .Tried = V.at(10).get<std::vector<std::string>>(),
          .RunningOn = V.at(11).get<std::string>(),
          .Started = V.at(12).get<bool>(),
          .Repeated = V.at(13).get<bool>(),
          .ReportDelay = decodeTime(V.at(14)),
          .Sender = optionalField<std::string>(V, 15)};
}

std::optional<double> optionalRate(const json &V, std::size_t Index) {
  if (Index >= V.size())
    return std::nullopt;
  const double Rate = V.at(Index).get<double>();
  if (!std::isfinite(Rate) || Rate < 0.0)
    throw std::out_of_range("rate");
  return Rate;
}

routing::DemandSummary decodeDemand(const json &V) {
  return {.Service = V.at(0).get<std::string>(),
          .Replicas = optionalRate(V, 1).value_or(0.0),
          .UnservedShare = std::min(1.0, optionalRate(V, 2).value_or(0.0)),
          .Measured = std::max(decodeTime(V.at(3)), Milliseconds(0)),
          .Failing = V.at(4).get<std::vector<std::string>>()};
}

EndedReport decodeEndedReport(const json &V) {
  const int Outcome = V.at(2).get<int>();
  if (Outcome < 0 ||
      Outcome > static_cast<int>(routing::ReplicaOutcome::Abandoned))
    throw std::out_of_range("outcome");
  EndedReport Report{.Sequence = V.at(1).get<std::uint64_t>(),
                     .Outcome = static_cast<routing::ReplicaOutcome>(Outcome)};
  Report.RateLimit = optionalRate(V, 4);
  if (V.size() > 3 && !V.at(3).is_null())
    Report.Crash =
        CrashReport{.Service = V.at(3).at(0).get<std::string>(),
                    .Replica = V.at(3).at(1).get<std::string>(),
                    .Parts = V.at(3).at(2).get<std::vector<std::uint64_t>>(),
                    .SentAgo = decodeTime(V.at(3).at(3))};
  return Report;
}

PlacementMessage decodeMessage(const json &V) {
  switch (V.at(0).get<int>()) {
  case 0:
    return decodePlaceRequest(V);
  case 1:
    return WithdrawRequest{.Sequence = V.at(1).get<std::uint64_t>()};
  case 2:
    return StartedReport{.Sequence = V.at(1).get<std::uint64_t>(),
                         .TimeToFirstEvent = decodeTime(V.at(2)),
                         .RateLimit = optionalRate(V, 3)};
  case 3:
    return decodeEndedReport(V);
  case 4:
    return PlaceGrant{.Sequence = V.at(1).get<std::uint64_t>(),
                      .Replica = V.at(2).get<std::string>(),
                      .FetchFrom = V.at(3).get<std::string>()};
  case 5:
    return PlaceRefusal{.Sequence = V.at(1).get<std::uint64_t>(),
                        .RetryAfter = decodeTime(V.at(2)),
                        .PredictedFirstToken = V.size() > 3
                                                   ? decodeTime(V.at(3))
                                                   : Milliseconds(0)};
  case 6:
    return DispatcherKeepAlive{};
  default:
    throw std::out_of_range("type");
  }
}

std::string toMsgpack(const json &Value) {
  std::string Out;
  json::to_msgpack(Value, nlohmann::detail::output_adapter<char>(Out));
  return Out;
}

} // namespace

std::string encode(const Heartbeat &B) {
  json Peers = json::array();
  for (const HostPort &Address : B.Peers)
    Peers.push_back(toJson(Address));
  json Suspects = json::array();
  for (const SuspectCount &Suspect : B.Suspects)
    Suspects.push_back(json::array(
        {Suspect.Fingerprint, Suspect.Crashed, Suspect.Age.count()}));
  json Rollouts = json::array();
  for (const RolloutStatus &Status : B.Rollouts)
    Rollouts.push_back(json::array(
        {Status.Service, Status.Version, static_cast<int>(Status.Stage),
         Status.Elapsed.count(), Status.Sent.All, Status.Sent.New,
         static_cast<int>(Status.Verdict)}));
  json Outcomes = json::array();
  for (const RolloutOutcome &Outcome : B.Outcomes)
    Outcomes.push_back(toJson(Outcome));
  json Quarantine = json::array();
  for (const QuarantinedParts &Entry : B.Quarantine)
    Quarantine.push_back(
        json::array({Entry.Service, Entry.Parts, Entry.Age.count()}));
  json Limits = json::array();
  for (const routing::NamedLimit &Limit : B.Limits)
    Limits.push_back(json::array(
        {Limit.Service, Limit.Replica, Limit.PerSecond,
         std::chrono::duration_cast<Milliseconds>(Limit.Age).count()}));
  json Demand = json::array();
  for (const routing::DemandSummary &Each : B.Demand)
    Demand.push_back(
        json::array({Each.Service, Each.Replicas, Each.UnservedShare,
                     Each.Measured.count(), Each.Failing}));
  json Out = json::array();
  Out = {FormatVersion,
         B.Daemon,
         B.Boot,
         toJson(B.Front),
         toJson(B.Internal),
         B.Ready,
         B.Stopping,
         B.Weight,
         B.StateVersion,
         B.StateAge.count(),
         B.Revisions,
         std::move(Peers),
         std::move(Suspects),
         std::move(Rollouts),
         std::move(Outcomes),
         B.Interval.count(),
         std::move(Quarantine),
         std::move(Limits),
         B.StoreEra,
         B.WallMicros,
         std::move(Demand),
         json::array({B.Duties.Holder, B.Duties.Epoch, B.Duties.Decided}),
         static_cast<int>(B.Contact)};
  return toMsgpack(Out);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  try {
    const auto Read = readMsgpack(Bytes);
    if (!Read)
      return std::nullopt;
    const json &V = *Read;
    if (V.at(0).get<int>() != FormatVersion)
      return std::nullopt;
    Heartbeat B{.Daemon = V.at(1).get<std::string>(),
                .Boot = V.at(2).get<std::uint64_t>(),
                .Front = decodeHostPort(V.at(3)),
                .Internal = decodeHostPort(V.at(4)),
                .Ready = V.at(5).get<bool>(),
                .Stopping = V.at(6).get<bool>(),
                .Weight = V.at(7).get<double>(),
                .StateVersion = V.at(8).get<std::uint64_t>(),
                .StateAge = decodeTime(V.at(9)),
                .Revisions = V.at(10).get<std::vector<std::uint64_t>>()};
    if (!std::isfinite(B.Weight) || B.Weight < 0.0)
      return std::nullopt;
    for (const json &Entry : V.at(11))
      B.Peers.push_back(decodeHostPort(Entry));
    for (const json &Entry : V.at(12))
      B.Suspects.push_back(
          {.Fingerprint = Entry.at(0).get<std::uint64_t>(),
           .Crashed = Entry.at(1).get<std::vector<std::string>>(),
           .Age = Entry.size() > 2
                      ? std::max(decodeTime(Entry.at(2)), Milliseconds(0))
                      : Milliseconds(0)});
    for (const json &Entry : V.at(13))
      B.Rollouts.push_back(decodeRolloutStatus(Entry));
    for (const json &Entry : V.at(14))
      B.Outcomes.push_back(decodeRolloutOutcome(Entry));
    if (V.size() > 15)
      B.Interval = decodeTime(V.at(15));
    if (V.size() > 16)
      for (const json &Entry : V.at(16))
        B.Quarantine.push_back(
            {.Service = Entry.at(0).get<std::string>(),
             .Parts = Entry.at(1).get<std::vector<std::uint64_t>>(),
             .Age = std::max(decodeTime(Entry.at(2)), Milliseconds(0))});
    if (V.size() > 17)
      for (const json &Entry : V.at(17))
        B.Limits.push_back(
            {.Service = Entry.at(0).get<std::string>(),
             .Replica = Entry.at(1).get<std::string>(),
             .PerSecond = optionalRate(Entry, 2).value_or(0.0),
             .Age = std::max(decodeTime(Entry.at(3)), Milliseconds(0))});
    B.StoreEra = optionalField<std::uint64_t>(V, 18);
    B.WallMicros = std::clamp<std::int64_t>(optionalField<std::int64_t>(V, 19),
                                            0, MaxWallMicros);
    if (V.size() > 20)
      for (const json &Entry : V.at(20))
        B.Demand.push_back(decodeDemand(Entry));
    if (V.size() > 21)
      B.Duties = {.Holder = V.at(21).at(0).get<std::string>(),
                  .Epoch = V.at(21).at(1).get<std::uint64_t>(),
                  .Decided = V.at(21).at(2).get<std::uint64_t>()};
    B.Contact = decodeContact(optionalField<int>(V, 22));
    if (B.Interval < MinInterval || B.Interval > MaxInterval)
      return std::nullopt;
    return B;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string encode(const policy::UsageCounts &Value) {
  json Counts = json::array();
  for (const auto &[Workspace, Count] : Value.Counts) {
    Counts.push_back(Workspace);
    Counts.push_back(Count);
  }
  json Out = json::array();
  Out = {UsageFormatVersion,
         Value.Daemon,
         Value.Boot,
         Value.Window,
         Value.First,
         Value.Newest,
         std::chrono::duration_cast<std::chrono::microseconds>(
             Value.CompleteUpTo.time_since_epoch())
             .count(),
         Value.Ended,
         std::move(Counts)};
  return UsageTag + toMsgpack(Out);
}

bool isUsageCounts(std::string_view Bytes) {
  return Bytes.starts_with(UsageTag);
}

std::optional<policy::UsageCounts> decodeUsageCounts(std::string_view Bytes) {
  if (!isUsageCounts(Bytes))
    return std::nullopt;
  try {
    const auto Read = readMsgpack(Bytes.substr(1));
    if (!Read || Read->at(0).get<int>() != UsageFormatVersion)
      return std::nullopt;
    const json &V = *Read;
    const auto CompleteUpTo =
        std::clamp<std::int64_t>(V.at(6).get<std::int64_t>(), 0, MaxWallMicros);
    policy::UsageCounts Out{
        .Daemon = V.at(1).get<std::string>(),
        .Boot = V.at(2).get<std::uint64_t>(),
        .Window = V.at(3).get<std::uint64_t>(),
        .First = V.at(4).get<std::uint64_t>(),
        .Newest = V.at(5).get<std::uint64_t>(),
        .CompleteUpTo = WallTime(std::chrono::microseconds(CompleteUpTo)),
        .Ended = V.at(7).get<bool>()};
    const json &Counts = V.at(8);
    for (std::size_t I = 0; I + 1 < Counts.size(); I += 2)
      Out.Counts[Counts[I].get<std::string>()] =
          Counts[I + 1].get<std::uint64_t>();
    return Out;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string encodeFrame(const PlacementMessage &Value) {
  const std::string Body = toMsgpack(std::visit(MessageEncoder{}, Value));
  std::string Frame(LengthBytes, '\0');
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Frame[I] =
        static_cast<char>((Body.size() >> (8 * (LengthBytes - 1 - I))) & 0xFFU);
  return Frame + Body;
}

std::optional<PlacementMessage> decodeFrame(std::string &Buffer,
                                            bool &Malformed) {
  if (Buffer.size() < LengthBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length = (Length << 8U) | static_cast<unsigned char>(Buffer[I]);
  if (Length > MaxFrameBytes) {
    Malformed = true;
    return std::nullopt;
  }
  if (Buffer.size() < LengthBytes + Length)
    return std::nullopt;
  try {
    const auto Begin = Buffer.begin() + LengthBytes;
    const auto End = Begin + static_cast<std::ptrdiff_t>(Length);
    const auto Read = readMsgpack({Begin, End});
    Malformed = !Read;
    if (!Read)
      return std::nullopt;
    auto Message = decodeMessage(*Read);
    Buffer.erase(Buffer.begin(), End);
    return Message;
  } catch (const std::exception &) {
    Malformed = true;
    return std::nullopt;
  }
}

} // namespace nutmegdrift::gateway
