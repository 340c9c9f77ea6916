// Splits a stream of server-sent events into whole events.
#ifndef NUTMEGDRIFT_PROXY_EVENT_STREAM_H
#define NUTMEGDRIFT_PROXY_EVENT_STREAM_H

#include "nutmegdrift/base/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace nutmegdrift::proxy {

/// Takes bytes in any pieces and gives back whole events only, so that an
/// error event can always follow what was sent.
class EventStreamScanner {
public:
  /// A longer event is refused, so that memory stays bounded.
  static constexpr std::size_t MaxEventBytes = 256UL * 1024UL;

  /// Whole events completed by Bytes, as one string ready to be passed on.
  /// Error: EndpointFailed if an event is too long or follows the last one.
  Result<std::string> feed(std::string_view Bytes);

  /// Events seen so far without the closing one.
  [[nodiscard]] std::size_t tokens() const { return m_tokens; }
  /// True once "data: [DONE]" was seen.
  [[nodiscard]] bool done() const { return m_done; }

private:
  void classify(std::string_view Event);

  std::string m_partial; ///< Bytes of the event that is not complete yet.
  std::size_t m_tokens = 0;
  bool m_done = false;
};

} // namespace nutmegdrift::proxy

#endif
