// Splits a server-sent event stream at event boundaries.
#ifndef NUTMEGDRIFT_GATEWAY_EVENT_CUTTER_H
#define NUTMEGDRIFT_GATEWAY_EVENT_CUTTER_H

#include <string>
#include <string_view>

namespace nutmegdrift::gateway {

/// Buffers the bytes of an event until the event is complete, so that a stream
/// that breaks within an event can be resumed on another replica.
class EventCutter {
public:
  /// Larger events are passed on in parts.
  static constexpr std::size_t MaxPartialBytes = std::size_t{256} * 1024;

  /// Appends Bytes; returns the buffered bytes up to the end of the last
  /// complete event.
  std::string put(std::string_view Bytes);
  /// Returns and removes the buffered bytes.
  std::string takePartialEvent() { return std::move(m_partial); }
  /// Whether the bytes so far end within an event.
  [[nodiscard]] bool withinEvent() const { return !m_partial.empty(); }
  void clear() { m_partial.clear(); }
  /// Id of the last complete event that has one.
  [[nodiscard]] const std::string &lastId() const { return m_lastId; }

private:
  void recordLastId(std::string_view Events);

  std::string m_partial;
  std::string m_lastId;
};

} // namespace nutmegdrift::gateway

#endif
