// Cuts a server-sent event stream at the ends of its events.
#ifndef NUTMEGDRIFT_GATEWAY_EVENT_CUTTER_H
#define NUTMEGDRIFT_GATEWAY_EVENT_CUTTER_H

#include <string>
#include <string_view>

namespace nutmegdrift::gateway {

/// Holds back the bytes of an event until its end, so that a stream that breaks
/// inside an event can go on elsewhere.
class EventCutter {
public:
  /// Longer events are passed on in parts.
  static constexpr std::size_t MaxHeldBytes = std::size_t{256} * 1024;

  /// Takes bytes and returns those up to the end of the last whole event.
  std::string put(std::string_view Bytes);
  /// The bytes held back.
  std::string takePartialEvent() { return std::move(m_held); }
  void clear() { m_held.clear(); }
  /// Id of the last whole event with an id.
  [[nodiscard]] const std::string &lastId() const { return m_lastId; }

private:
  void noteIds(std::string_view Events);

  std::string m_held;
  std::string m_lastId;
};

} // namespace nutmegdrift::gateway

#endif
