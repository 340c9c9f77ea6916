// Detection of event boundaries and ids.
#include "nutmegdrift/gateway/event_cutter.h"

namespace nutmegdrift::gateway {

std::string EventCutter::put(std::string_view Bytes) {
  // A boundary may span buffered and new bytes.
  m_partial.append(Bytes);
  const std::size_t LfBoundary = m_partial.rfind("\n\n");
  const std::size_t CrLfBoundary = m_partial.rfind("\r\n\r\n");
  std::size_t End = 0;
  if (LfBoundary != std::string::npos)
    End = LfBoundary + 2;
  if (CrLfBoundary != std::string::npos)
    End = std::max(End, CrLfBoundary + 4);
  if (End == 0) {
    if (m_partial.size() <= MaxPartialBytes)
      return {};
    return std::move(m_partial);
  }
  std::string CompleteEvents = m_partial.substr(0, End);
  m_partial.erase(0, End);
  recordLastId(CompleteEvents);
  return CompleteEvents;
}

void EventCutter::recordLastId(std::string_view Events) {
  constexpr std::string_view Field = "id:";
  // Only the last id counts, so this searches backwards.
  std::size_t Position = Events.rfind(Field);
  while (Position != std::string_view::npos) {
    if (Position == 0 || Events[Position - 1] == '\n') {
      std::string_view Value = Events.substr(Position + Field.size());
      Value = Value.substr(0, Value.find_first_of("\r\n"));
      if (!Value.empty() && Value.front() == ' ')
        Value.remove_prefix(1);
      m_lastId = Value;
      return;
    }
    if (Position == 0)
      return;
    Position = Events.rfind(Field, Position - 1);
  }
}

} // namespace nutmegdrift::gateway
