#include "nutmegdrift/platform/status_writer.h"

namespace nutmegdrift::platform {

StatusWriter::StatusWriter(ObjectStore &Store, std::size_t MaxPendingBytes)
    : m_store(Store), m_maxPendingBytes(MaxPendingBytes) {}

bool StatusWriter::set(const std::string &Name, const std::string &Text) {
  const std::scoped_lock Lock(m_mutex);
  const auto Found = m_pending.find(Name);
  const auto Old =
      Found == m_pending.end() ? 0 : Found->first.size() + Found->second.size();
  const auto Next = m_pendingBytes - Old + Name.size() + Text.size();
  if (Next > m_maxPendingBytes)
    return false;
  m_pending[Name] = Text;
  m_pendingBytes = Next;
  return true;
}

std::size_t StatusWriter::pendingBytes() const {
  const std::scoped_lock Lock(m_mutex);
  return m_pendingBytes;
}

std::map<std::string, std::string> StatusWriter::takePending(std::size_t Most) {
  const std::scoped_lock Lock(m_mutex);
  std::map<std::string, std::string> Out;
  while (Out.size() < Most && !m_pending.empty()) {
    auto Next = m_pending.upper_bound(m_cursor);
    if (Next == m_pending.end())
      Next = m_pending.begin();
    m_cursor = Next->first;
    m_pendingBytes -= Next->first.size() + Next->second.size();
    Out.insert(m_pending.extract(Next));
  }
  return Out;
}

void StatusWriter::putBack(const std::string &Name, const std::string &Text) {
  const std::scoped_lock Lock(m_mutex);
  const auto Size = Name.size() + Text.size();
  if (m_pending.contains(Name) || m_pendingBytes + Size > m_maxPendingBytes)
    return;
  m_pending[Name] = Text;
  m_pendingBytes += Size;
}

bool StatusWriter::write(const std::string &Name, const std::string &Text) {
  auto &Known = m_versions[Name];
  const auto Written = capture([&] { return m_store.put(Name, Text, Known); });
  if (Written) {
    Known = *Written;
    return true;
  }
  // Another version is stored, or the answer was lost: read it back.
  const auto Kind = Written.Failure.Kind;
  if (Kind != ErrorKind::Conflict && Kind != ErrorKind::PlatformOutcomeUnknown)
    return false;
  const auto Stored = capture([&] { return m_store.get(Name); });
  if (Stored)
    Known = Stored->Version;
  else if (Stored.Failure.Kind == ErrorKind::NotFound)
    Known = 0;
  return Stored && Stored->Text == Text;
}

std::size_t StatusWriter::flush(std::size_t MostObjects) {
  const std::scoped_lock Lock(m_flushMutex);
  std::size_t Count = 0;
  for (const auto &[Name, Text] : takePending(MostObjects)) {
    if (write(Name, Text))
      ++Count;
    else
      putBack(Name, Text);
  }
  return Count;
}

} // namespace nutmegdrift::platform
