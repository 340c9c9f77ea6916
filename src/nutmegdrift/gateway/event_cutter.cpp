// Detection of event boundaries and ids.
#include "nutmegdrift/gateway/event_cutter.h"

#include <algorithm>

namespace nutmegdrift::gateway {

namespace {

constexpr std::string_view LfBoundary = "\n\n";
constexpr std::string_view CrLfBoundary = "\r\n\r\n";

/// Length of Bytes up to the end of the last boundary; 0 if there is none.
std::size_t lastEnd(std::string_view Bytes) {
  std::size_t End = 0;
  for (const std::string_view Boundary : {LfBoundary, CrLfBoundary})
    if (const std::size_t Found = Bytes.rfind(Boundary);
        Found != std::string_view::npos)
      End = std::max(End, Found + Boundary.size());
  return End;
}

} // namespace

std::string EventCutter::put(std::string_view Bytes) {
  m_partial.append(Bytes);
  // A boundary may span searched and new bytes. Searching all bytes again for
  // each part of an event would take time quadratic in its length.
  const std::size_t From =
      m_searched - std::min(m_searched, CrLfBoundary.size() - 1);
  const std::size_t Found = lastEnd(std::string_view(m_partial).substr(From));
  if (Found == 0) {
    m_searched = m_partial.size();
    if (m_partial.size() <= MaxPartialBytes)
      return {};
    return splitEvent();
  }
  const std::size_t End = From + Found;
  std::string CompleteEvents = m_partial.substr(0, End);
  m_partial.erase(0, End);
  m_searched = m_partial.size();
  m_split = false;
  recordLastId(CompleteEvents);
  return CompleteEvents;
}

std::string EventCutter::splitEvent() {
  // The id of this event may be in the part that is passed on.
  m_lastId.clear();
  m_split = true;
  return takePartialEvent();
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
