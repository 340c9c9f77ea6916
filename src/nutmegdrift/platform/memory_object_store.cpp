#include "nutmegdrift/platform/memory_object_store.h"

namespace nutmegdrift::platform {

Result<Object> MemoryObjectStore::get(const std::string &Name) {
  const std::scoped_lock Lock(m_mutex);
  ++m_calls.Reads;
  if (m_faults.Down)
    return fail(ErrorKind::PlatformUnavailable, "store is down");
  const auto Found = m_entries.find(Name);
  if (Found == m_entries.end())
    return fail(ErrorKind::NotFound, "no object " + Name);
  const auto &Stored = Found->second;
  return m_faults.StaleReads && Stored.Previous ? *Stored.Previous
                                                : Stored.Latest;
}

Result<Listing> MemoryObjectStore::list(const std::string &Prefix) {
  const std::scoped_lock Lock(m_mutex);
  ++m_calls.Reads;
  if (m_faults.Down)
    return fail(ErrorKind::PlatformUnavailable, "store is down");
  Listing Out{.Revision = m_revision, .Objects = {}};
  for (auto It = m_entries.lower_bound(Prefix);
       It != m_entries.end() && It->first.starts_with(Prefix); ++It) {
    const auto &Stored = It->second;
    Out.Objects.push_back(m_faults.StaleReads && Stored.Previous
                              ? *Stored.Previous
                              : Stored.Latest);
  }
  return Out;
}

Result<void> MemoryObjectStore::checkWrite(const std::string &Name,
                                           ObjectVersion Expected) {
  ++m_calls.Writes;
  if (m_faults.Down)
    return fail(ErrorKind::PlatformUnavailable, "store is down");
  const auto Found = m_entries.find(Name);
  const auto Stored =
      Found == m_entries.end() ? 0 : Found->second.Latest.Version;
  if (Stored != Expected)
    return fail(ErrorKind::Conflict, Name + " is at version " +
                                         std::to_string(Stored) + ", not " +
                                         std::to_string(Expected));
  return {};
}

void MemoryObjectStore::record(const Object &Value, bool Deleted) {
  m_history.push_back({Value, Deleted});
  if (m_history.size() > HistorySize) {
    m_oldest = m_history.front().Value.Version;
    m_history.pop_front();
  }
  m_changed.notify_all();
}

Result<ObjectVersion> MemoryObjectStore::put(const std::string &Name,
                                             const std::string &Text,
                                             ObjectVersion Expected) {
  const std::scoped_lock Lock(m_mutex);
  BOOST_LEAF_CHECK(checkWrite(Name, Expected));
  auto &Stored = m_entries[Name];
  if (Expected != 0)
    Stored.Previous = Stored.Latest;
  Stored.Latest = Object{Name, ++m_revision, Text};
  record(Stored.Latest, false);
  if (m_faults.LoseWriteAnswer)
    return fail(ErrorKind::PlatformOutcomeUnknown, "answer lost");
  return m_revision;
}

Result<void> MemoryObjectStore::remove(const std::string &Name,
                                       ObjectVersion Expected) {
  const std::scoped_lock Lock(m_mutex);
  BOOST_LEAF_CHECK(checkWrite(Name, Expected));
  m_entries.erase(Name);
  record(Object{Name, ++m_revision, ""}, true);
  if (m_faults.LoseWriteAnswer)
    return fail(ErrorKind::PlatformOutcomeUnknown, "answer lost");
  return {};
}

std::vector<Change> MemoryObjectStore::changesAfter(const std::string &Prefix,
                                                    ObjectVersion After) const {
  std::vector<Change> Out;
  for (const auto &Item : m_history)
    if (Item.Value.Version > After && Item.Value.Name.starts_with(Prefix))
      Out.push_back(Item);
  return Out;
}

Result<Changes> MemoryObjectStore::watch(const std::string &Prefix,
                                         ObjectVersion After,
                                         std::chrono::milliseconds Wait) {
  std::unique_lock Lock(m_mutex);
  ++m_calls.Watches;
  if (m_faults.Down)
    return fail(ErrorKind::PlatformUnavailable, "store is down");
  if (After < m_oldest)
    return fail(ErrorKind::Conflict, "revision is too old to watch from");
  m_changed.wait_for(Lock, Wait, [&] {
    return m_faults.Down || !changesAfter(Prefix, After).empty();
  });
  if (m_faults.Down)
    return fail(ErrorKind::PlatformUnavailable, "store is down");
  return Changes{m_revision, changesAfter(Prefix, After)};
}

void MemoryObjectStore::setFaults(const StoreFaults &Faults) {
  const std::scoped_lock Lock(m_mutex);
  m_faults = Faults;
  m_changed.notify_all();
}

StoreCalls MemoryObjectStore::calls() const {
  const std::scoped_lock Lock(m_mutex);
  return m_calls;
}

} // namespace nutmegdrift::platform
