#include "nutmegdrift/proxy/event_stream.h"

namespace nutmegdrift::proxy {

namespace {
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view LastEvent = "data: [DONE]";
} // namespace

void EventStreamScanner::classify(std::string_view Event) {
  if (Event.starts_with(LastEvent))
    m_done = true;
  else if (Event.starts_with("data:"))
    ++m_tokens;
}

Result<std::string> EventStreamScanner::feed(std::string_view Bytes) {
  if (m_done && !Bytes.empty())
    return fail(ErrorKind::EndpointFailed, "bytes after the last event");
  m_partial.append(Bytes);
  std::size_t Start = 0;
  for (auto End = m_partial.find(EventEnd); End != std::string::npos;
       End = m_partial.find(EventEnd, Start)) {
    classify(std::string_view(m_partial).substr(Start, End - Start));
    Start = End + EventEnd.size();
  }
  std::string Whole = m_partial.substr(0, Start);
  m_partial.erase(0, Start);
  if (m_partial.size() > MaxEventBytes)
    return fail(ErrorKind::EndpointFailed, "event longer than 256 KiB");
  return Whole;
}

} // namespace nutmegdrift::proxy
