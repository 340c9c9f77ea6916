#include "nutmegdrift/control/key_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace nutmegdrift::control {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t FirstSeed = 0;
constexpr std::uint64_t SecondSeed = 0x9e3779b97f4a7c15;

/// 128 bits, so that two keys do not share a record by chance. A shared record
/// would refuse the second request, never run one twice.
std::string hashOf(const std::string &Workspace, const std::string &Key) {
  const auto Text =
      std::to_string(Workspace.size()) + ":" + Workspace + ":" + Key;
  return std::to_string(hashText(Text, FirstSeed)) + "-" +
         std::to_string(hashText(Text, SecondSeed));
}

} // namespace

KeyStore::KeyStore(platform::ObjectStore &Store, const Clock &Clk, BootId Boot,
                   KeyStoreOptions Options)
    : m_store(Store), m_clock(Clk), m_boot(Boot), m_options(Options) {}

std::int64_t KeyStore::wallSeconds() const {
  return std::chrono::duration_cast<std::chrono::seconds>(
             m_clock.wallNow().time_since_epoch())
      .count();
}

std::string KeyStore::toText(const Document &Value) {
  auto Records = Json::object();
  for (const auto &[Hash, Known] : Value.Records)
    Records[Hash] = Json::array({Known.Nonce, Known.Recorded});
  return Json{{"keys", std::move(Records)}}.dump();
}

Result<KeyStore::Document> KeyStore::load(const std::string &Name) const {
  const auto Read = capture([&] { return m_store.get(Name); });
  if (!Read && Read.Failure.Kind == ErrorKind::NotFound)
    return Document{};
  if (!Read)
    return fail(Read.Failure);
  const auto Parsed = Json::parse(Read->Text, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("keys") ||
      !Parsed["keys"].is_object())
    return fail(ErrorKind::InvalidDocument, Name + " is not a key shard");
  Document Out{Read->Version, {}};
  for (const auto &[Hash, Known] : Parsed["keys"].items()) {
    if (!Known.is_array() || Known.size() != 2 || !Known[0].is_string() ||
        !Known[1].is_number_integer())
      return fail(ErrorKind::InvalidDocument, Name + " has a malformed record");
    Out.Records[Hash] = {Known[0].get<std::string>(),
                         Known[1].get<std::int64_t>()};
  }
  return Out;
}

void KeyStore::removeExpired(Document &Of) const {
  const auto Oldest = wallSeconds() - m_options.Retention.count();
  std::erase_if(Of.Records, [&](const auto &Item) {
    return Item.second.Recorded < Oldest;
  });
}

/// Decides claims whose key has a record; true if all are decided.
bool KeyStore::decide(const Document &Known, const Batch &Claims) {
  bool All = true;
  for (const auto &One : Claims) {
    if (One->Decided)
      continue;
    const auto Found = Known.Records.find(One->Hash);
    if (Found == Known.Records.end()) {
      All = false;
      continue;
    }
    One->Decided = true;
    if (Found->second.Nonce != One->Nonce)
      One->Failure = Error{ErrorKind::KeyOutcomeUnknown,
                           "the idempotency key was used before"};
  }
  return All;
}

void KeyStore::failAll(const Batch &Claims, const std::string &Reason) {
  for (const auto &One : Claims) {
    if (One->Decided)
      continue;
    One->Decided = true;
    One->Failure = Error{ErrorKind::KeyStoreUnavailable, Reason};
  }
}

/// One read, if the shard is not cached, and one conditional update. True if
/// all claims are decided.
bool KeyStore::tryRecord(const std::string &Name, Shard &In,
                         const Batch &Claims) {
  if (!In.Cached) {
    auto Read = capture([&] { return load(Name); });
    if (!Read) {
      failAll(Claims, Read.Failure.Message);
      return true;
    }
    In.Cached = std::move(*Read);
  }
  auto Next = *In.Cached;
  removeExpired(Next);
  if (decide(Next, Claims))
    return true;
  for (const auto &One : Claims)
    if (!One->Decided)
      Next.Records.try_emplace(One->Hash, Record{One->Nonce, wallSeconds()});
  const auto Text = toText(Next);
  if (Text.size() > m_options.MaxShardBytes) {
    failAll(Claims, Name + " is full");
    return true;
  }
  const auto Put =
      capture([&] { return m_store.put(Name, Text, Next.Version); });
  In.Cached.reset();
  if (Put) {
    Next.Version = *Put;
    In.Cached = std::move(Next);
    return decide(*In.Cached, Claims);
  }
  // After a conflict or a lost answer the next tryRecord reads the shard back
  // and finds its own nonces if this write took effect.
  if (Put.Failure.Kind == ErrorKind::Conflict ||
      Put.Failure.Kind == ErrorKind::PlatformOutcomeUnknown)
    return false;
  failAll(Claims, Put.Failure.Message);
  return true;
}

void KeyStore::recordBatch(const std::string &Name, Shard &In,
                           const Batch &Claims) {
  for (int I = 0; I < m_options.MaxAttempts; ++I)
    if (tryRecord(Name, In, Claims))
      return;
  failAll(Claims, "no update of " + Name + " was confirmed");
}

Result<void> KeyStore::claim(const std::string &Workspace,
                             const std::string &Key) {
  const auto Own = std::make_shared<Claim>();
  Own->Hash = hashOf(Workspace, Key);
  Own->Nonce = std::to_string(m_boot) + "." + std::to_string(m_nextClaim++);
  const auto Index = hashText(Own->Hash) % KeyShardCount;
  const auto Name = "keys/" + std::to_string(Index);
  auto &In = m_shards.at(Index);
  std::unique_lock Lock(In.Mutex);
  In.Waiting.push_back(Own);
  while (!Own->Done) {
    if (In.Writing) {
      In.Changed.wait(Lock);
      continue;
    }
    In.Writing = true;
    const auto Claims = std::exchange(In.Waiting, {});
    Lock.unlock();
    recordBatch(Name, In, Claims);
    Lock.lock();
    for (const auto &One : Claims)
      One->Done = true;
    In.Writing = false;
    In.Changed.notify_all();
  }
  if (Own->Failure)
    return fail(*Own->Failure);
  return {};
}

} // namespace nutmegdrift::control
