// Splits a server-sent event stream at event boundaries.
#ifndef NUTMEGDRIFT_GATEWAY_EVENT_CUTTER_H
#define NUTMEGDRIFT_GATEWAY_EVENT_CUTTER_H

#include <string>
#include <string_view>
#include <utility>

namespace nutmegdrift::gateway {

/// Buffers the bytes of an event until the event is complete, so that a stream
/// that breaks within an event can be resumed on another replica.
class EventCutter {
public:
  /// Larger events are passed on in parts. A stream that breaks within one
  /// can't be resumed.
  static constexpr std::size_t MaxPartialBytes = std::size_t{256} * 1024;

  /// Appends Bytes; returns the buffered bytes up to the end of the last
  /// complete event.
  std::string put(std::string_view Bytes);
  /// Returns and removes the buffered bytes.
  std::string takePartialEvent() {
    m_searched = 0;
    return std::exchange(m_partial, {});
  }
  [[nodiscard]] std::size_t heldBytes() const { return m_partial.size(); }
  /// Returns the buffered part of the current event, which can't be held any
  /// longer.
  std::string splitEvent();
  /// Whether the bytes so far end within an event.
  [[nodiscard]] bool withinEvent() const {
    return m_split || !m_partial.empty();
  }
  void clear() {
    m_partial.clear();
    m_searched = 0;
    m_split = false;
  }
  /// Id of the last complete event that has one; empty within an event of which
  /// a part was passed on.
  [[nodiscard]] const std::string &lastId() const { return m_lastId; }

private:
  void recordLastId(std::string_view Events);

  std::string m_partial;
  /// Bytes of m_partial in which no event ends.
  std::size_t m_searched = 0;
  bool m_split = false; ///< A part of the current event was passed on.
  std::string m_lastId;
};

} // namespace nutmegdrift::gateway

#endif
