// Event boundaries and ids.
#include "nutmegdrift/gateway/event_cutter.h"

namespace nutmegdrift::gateway {

std::string EventCutter::put(std::string_view Bytes) {
  // An end may lie across the old and the new bytes.
  m_held.append(Bytes);
  const std::size_t Lf = m_held.rfind("\n\n");
  const std::size_t CrLf = m_held.rfind("\r\n\r\n");
  std::size_t End = 0;
  if (Lf != std::string::npos)
    End = Lf + 2;
  if (CrLf != std::string::npos)
    End = std::max(End, CrLf + 4);
  if (End == 0) {
    if (m_held.size() <= MaxHeldBytes)
      return {};
    return std::move(m_held);
  }
  std::string Whole = m_held.substr(0, End);
  m_held.erase(0, End);
  recordLastId(Whole);
  return Whole;
}

void EventCutter::recordLastId(std::string_view Events) {
  constexpr std::string_view Field = "id:";
  // Only the last id counts, so the search goes backwards.
  std::size_t At = Events.rfind(Field);
  while (At != std::string_view::npos) {
    if (At == 0 || Events[At - 1] == '\n') {
      std::string_view Value = Events.substr(At + Field.size());
      Value = Value.substr(0, Value.find_first_of("\r\n"));
      if (!Value.empty() && Value.front() == ' ')
        Value.remove_prefix(1);
      m_lastId = Value;
      return;
    }
    if (At == 0)
      return;
    At = Events.rfind(Field, At - 1);
  }
}

} // namespace nutmegdrift::gateway
