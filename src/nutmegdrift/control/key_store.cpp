// Batched conditional updates of the key shards.
#include "nutmegdrift/control/key_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace nutmegdrift::control {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t FirstSeed = 0;
constexpr std::uint64_t SecondSeed = 0x9e3779b97f4a7c15;

/// 128 bits, so that collisions are very unlikely. A collision would refuse the
/// second request but never run a request twice.
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
  for (const auto &[Hash, Entry] : Value.Records)
    Records[Hash] = Json::array({Entry.Nonce, Entry.Recorded});
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
  for (const auto &[Hash, Entry] : Parsed["keys"].items()) {
    if (!Entry.is_array() || Entry.size() != 2 || !Entry[0].is_string() ||
        !Entry[1].is_number_integer())
      return fail(ErrorKind::InvalidDocument, Name + " has a malformed record");
    Out.Records[Hash] = {Entry[0].get<std::string>(),
                         Entry[1].get<std::int64_t>()};
  }
  return Out;
}

void KeyStore::removeExpired(Document &Current) const {
  const auto Oldest = wallSeconds() - m_options.Retention.count();
  std::erase_if(Current.Records, [&](const auto &Item) {
    return Item.second.Recorded < Oldest;
  });
}

/// Decides the claims whose key has a record. Returns whether all are decided.
bool KeyStore::decide(const Document &Current, const Batch &Claims) {
  bool All = true;
  for (const auto &Entry : Claims) {
    if (Entry->Decided)
      continue;
    const auto Existing = Current.Records.find(Entry->Hash);
    if (Existing == Current.Records.end()) {
      All = false;
      continue;
    }
    Entry->Decided = true;
    if (Existing->second.Nonce != Entry->Nonce)
      Entry->Failure = Error{ErrorKind::KeyOutcomeUnknown,
                             "the idempotency key was used before"};
  }
  return All;
}

void KeyStore::failAll(const Batch &Claims, const std::string &Reason) {
  for (const auto &Entry : Claims) {
    if (Entry->Decided)
      continue;
    Entry->Decided = true;
    Entry->Failure = Error{ErrorKind::KeyStoreUnavailable, Reason};
  }
}

/// Reads the shard if it is not cached and does one conditional update. Returns
/// whether all claims are decided.
bool KeyStore::tryRecord(const std::string &Name, Shard &KeyShard,
                         const Batch &Claims) {
  if (!KeyShard.Cached) {
    auto Read = capture([&] { return load(Name); });
    if (!Read) {
      failAll(Claims, Read.Failure.Message);
      return true;
    }
    KeyShard.Cached = std::move(*Read);
  }
  auto Next = *KeyShard.Cached;
  removeExpired(Next);
  if (decide(Next, Claims))
    return true;
  for (const auto &Entry : Claims)
    if (!Entry->Decided)
      Next.Records.try_emplace(Entry->Hash,
                               Record{Entry->Nonce, wallSeconds()});
  const auto Text = toText(Next);
  if (Text.size() > m_options.MaxShardBytes) {
    failAll(Claims, Name + " is full");
    return true;
  }
  const auto Put =
      capture([&] { return m_store.put(Name, Text, Next.Version); });
  KeyShard.Cached.reset();
  if (Put) {
    Next.Version = *Put;
    KeyShard.Cached = std::move(Next);
    return decide(*KeyShard.Cached, Claims);
  }
  // After a conflict or a lost answer, the next attempt reads the shard again
  // and finds the nonces of these claims if this write took effect.
  if (Put.Failure.Kind == ErrorKind::Conflict ||
      Put.Failure.Kind == ErrorKind::PlatformOutcomeUnknown)
    return false;
  failAll(Claims, Put.Failure.Message);
  return true;
}

void KeyStore::recordBatch(const std::string &Name, Shard &KeyShard,
                           const Batch &Claims) {
  for (int I = 0; I < m_options.MaxAttempts; ++I)
    if (tryRecord(Name, KeyShard, Claims))
      return;
  failAll(Claims, "no update of " + Name + " was confirmed");
}

Result<void> KeyStore::claim(const std::string &Workspace,
                             const std::string &Key) {
  const auto NewClaim = std::make_shared<Claim>();
  NewClaim->Hash = hashOf(Workspace, Key);
  NewClaim->Nonce =
      std::to_string(m_boot) + "." + std::to_string(m_nextClaim++);
  const auto Index = hashText(NewClaim->Hash) % KeyShardCount;
  const auto Name = "keys/" + std::to_string(Index);
  auto &KeyShard = m_shards.at(Index);
  std::unique_lock Lock(KeyShard.Mutex);
  KeyShard.Waiting.push_back(NewClaim);
  while (!NewClaim->Done) {
    if (KeyShard.Writing) {
      KeyShard.Changed.wait(Lock);
      continue;
    }
    KeyShard.Writing = true;
    const auto Claims = std::exchange(KeyShard.Waiting, {});
    Lock.unlock();
    recordBatch(Name, KeyShard, Claims);
    Lock.lock();
    for (const auto &Entry : Claims)
      Entry->Done = true;
    KeyShard.Writing = false;
    KeyShard.Changed.notify_all();
  }
  if (NewClaim->Failure)
    return fail(*NewClaim->Failure);
  return {};
}

} // namespace nutmegdrift::control
